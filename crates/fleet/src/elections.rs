//! Core of the ownership: who claims it, who keeps it, who has lost it.
//!
//! The newest record under one key of one topic names the owner. Every record there, claims and
//! renewals alike, is appended on the condition that the topic ends where its writer has read it
//! to, so that of two writers one fails. A renewal that succeeds proves that nobody had claimed
//! when it was sent.

use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

/// Interval of the owner's renewals. Each costs one write and a read by each other entry.
const RENEWAL: Millis = Millis(500);
/// Time without a renewal after which another entry claims: three renewals, and an answer that is
/// late as on a slow day of the store.
const SILENCE: Millis = Millis(1_800);
/// Time without a renewal after which another entry asks the owner itself: one renewal, and 0.1 s for
/// the way to the store and back. A first look at a record asks at once, since its age is not known.
const ASK_AFTER: Millis = Millis(600);
/// Interval at which it asks again.
const ASK_INTERVAL: Millis = Millis(300);
/// Age of the last proof from which an owner whose calls to the store fail gives way to one whose
/// calls succeed.
const YIELD_AGE: Millis = Millis(700);
/// Wait after a failed call; it doubles up to [`LONGEST_PAUSE`] with each further one.
const PAUSE: Millis = Millis(60);
/// Longest wait after failed calls.
const LONGEST_PAUSE: Millis = Millis(240);

/// The owner, as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lead {
    /// Host.
    pub node: Arc<str>,
    /// Random number of the process.
    pub life: u64,
    /// Address for the system's own processes.
    pub address: SocketAddr,
    /// Number of the ownership, from 1; a later one is higher.
    pub epoch: u64,
    /// Whether the owner has stopped and another one may claim at once.
    pub resigned: bool,
}

/// Settings of a candidate.
#[derive(Clone, Debug)]
pub struct ClaimOptions {
    /// Host.
    pub node: Arc<str>,
    /// Random number of the process.
    pub life: u64,
    /// Address for the system's own processes.
    pub address: SocketAddr,
    /// Time by which the candidate lets others go first.
    pub delay: Millis,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Read the newest record.
    Newest,
    /// Wait for a record from this offset on.
    Follow(u64),
    /// Ask the owner whether it still owns the jobs.
    Ask(Lead),
    /// Append this record on the condition that the topic ends at the offset.
    Append(u64, Lead),
    /// Wait.
    Sleep(Millis),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimEvent {
    /// The process owns the jobs from now on.
    Owned(Lead),
    /// The process owned them until now.
    Deposed,
    /// The store proved at this time that the process owned them.
    Proved(Millis),
    /// Another process owns them.
    Follows(Lead),
}

/// Core of a candidate.
#[derive(Debug)]
pub struct Claims {
    options: ClaimOptions,
    /// End of the topic, or none if it has to be read.
    end: Option<u64>,
    lead: Option<Lead>,
    /// When the record was seen to change.
    changed: Millis,
    /// When the last successful read was sent.
    read: Millis,
    owned: Option<u64>,
    /// When the last proof was sent.
    proved: Millis,
    /// Failed calls in a row.
    failures: u32,
    /// Epoch up to which this process has given way and owns nothing any more.
    yielded: u64,
    /// Epoch whose owner is known to be gone.
    gone: u64,
    asked: Option<Millis>,
    /// Highest epoch of an owner that another entry named.
    heard: u64,
    next: Millis,
    leaving: bool,
}

impl Claims {
    /// Creates a candidate.
    #[must_use]
    pub const fn new(now: Millis, options: ClaimOptions) -> Self {
        Self {
            options,
            end: None,
            lead: None,
            changed: now,
            read: Millis(0),
            owned: None,
            proved: Millis(0),
            failures: 0,
            yielded: 0,
            gone: 0,
            asked: None,
            heard: 0,
            next: Millis(0),
            leaving: false,
        }
    }

    /// Gives the ownership back, and claims no more.
    pub const fn leave(&mut self) {
        self.leaving = true;
        self.next = Millis(0);
    }

    /// Returns whether nothing is left to give back.
    #[must_use]
    pub const fn has_left(&self) -> bool {
        self.leaving && self.owned.is_none()
    }

    /// Takes in an owner that another entry knows, while the store does not answer this one. Only a
    /// later owner than the known one counts, and nothing but where requests go depends on it.
    pub fn heard(&mut self, lead: Lead) -> Vec<ClaimEvent> {
        let known = self.lead.as_ref().map_or(0, |known| known.epoch);
        let is_later = lead.epoch > known.max(self.heard) && !lead.resigned;
        if !is_later || self.owned.is_some() {
            return Vec::new();
        }
        self.heard = lead.epoch;
        vec![ClaimEvent::Follows(lead)]
    }

    /// Returns whether the last call to the store failed.
    #[must_use]
    pub const fn is_cut(&self) -> bool {
        self.failures > 0
    }

    /// Returns the owner.
    #[must_use]
    pub const fn lead(&self) -> Option<&Lead> {
        self.lead.as_ref()
    }

    fn record(&self, epoch: u64, resigned: bool) -> Lead {
        Lead {
            node: Arc::clone(&self.options.node),
            life: self.options.life,
            address: self.options.address,
            epoch,
            resigned,
        }
    }

    /// Returns what to do next.
    #[must_use]
    pub fn step(&self, now: Millis) -> Step {
        if now < self.next {
            return Step::Sleep(self.next - now);
        }
        let Some(end) = self.end else {
            return Step::Newest;
        };
        if let Some(epoch) = self.owned {
            return Step::Append(end, self.record(epoch, self.leaving));
        }
        if self.leaving {
            // Requests still go to the next owner until the process ends.
            return Step::Follow(end);
        }
        if let Some(from) = self.vacant_from() {
            return match now >= from {
                true => Step::Append(end, self.record(end + 1, false)),
                false => Step::Sleep(from - now),
            };
        }
        if self.is_silent() {
            return Step::Append(end, self.record(end + 1, false));
        }
        if let Some(lead) = self.lead.as_ref().filter(|_| self.may_ask(now)) {
            return Step::Ask(lead.clone());
        }
        Step::Follow(end)
    }

    /// Returns whether the owner is to be asked itself.
    fn may_ask(&self, now: Millis) -> bool {
        match self.asked {
            None => true,
            Some(asked) => now >= self.changed + ASK_AFTER && now >= asked + ASK_INTERVAL,
        }
    }

    /// Returns the time from which the jobs may be claimed if nobody owns them. Candidates that claim
    /// at once do no harm, since the store takes the claim of one.
    fn vacant_from(&self) -> Option<Millis> {
        let Some(lead) = &self.lead else {
            return Some(self.changed + self.options.delay);
        };
        if lead.node == self.options.node && lead.life != self.options.life {
            // An earlier process of the same host has ended, which no other candidate can know.
            return Some(Millis(0));
        }
        let is_own = lead.node == self.options.node;
        let is_gone = lead.resigned || lead.epoch <= self.gone || is_own;
        is_gone.then(|| self.changed + self.options.delay)
    }

    /// Returns whether the owner has been silent for long enough, by a read that was sent that late.
    fn is_silent(&self) -> bool {
        self.read.since(self.changed) >= SILENCE + self.options.delay
    }

    /// Takes in what the owner of an epoch said of itself, or that nothing listens at its address.
    pub const fn asked(&mut self, now: Millis, epoch: u64, is_gone: bool) {
        self.asked = Some(now);
        if is_gone && epoch > self.gone {
            self.gone = epoch;
        }
    }

    /// Answers another entry, whose calls to the store succeed, whether this process owns the jobs.
    /// It gives way if its own calls fail.
    pub fn give_way(&mut self, now: Millis, epoch: u64) -> Vec<ClaimEvent> {
        let is_cut = self.failures > 0 && now.since(self.proved) >= YIELD_AGE;
        if self.owned != Some(epoch) || !is_cut {
            return Vec::new();
        }
        self.owned = None;
        self.yielded = epoch;
        self.gone = self.gone.max(epoch);
        vec![ClaimEvent::Deposed]
    }

    /// Returns whether the process owns the jobs in an epoch.
    #[must_use]
    pub fn owns(&self, epoch: u64) -> bool {
        self.owned == Some(epoch)
    }

    /// Takes in the newest record.
    pub fn newest(
        &mut self,
        sent: Millis,
        now: Millis,
        end: u64,
        lead: Option<Lead>,
    ) -> Vec<ClaimEvent> {
        self.end = Some(end);
        self.read = sent;
        let was_cut = std::mem::take(&mut self.failures) > 0;
        if lead == self.lead && self.owned.is_none() {
            if was_cut {
                // The store may have been down for the owner too, which renews now.
                self.changed = now;
            }
            return Vec::new();
        }
        self.observe(sent, now, lead)
    }

    /// Takes in the records that came while following.
    pub fn followed(
        &mut self,
        sent: Millis,
        now: Millis,
        end: u64,
        lead: Option<Lead>,
    ) -> Vec<ClaimEvent> {
        self.end = Some(end);
        self.read = sent;
        self.failures = 0;
        match lead {
            Some(lead) => self.observe(sent, now, Some(lead)),
            None => Vec::new(),
        }
    }

    fn observe(&mut self, sent: Millis, now: Millis, lead: Option<Lead>) -> Vec<ClaimEvent> {
        self.changed = now;
        let mut events = Vec::new();
        match &lead {
            Some(found) if found.life == self.options.life && !found.resigned => {
                // A claim or renewal that was not answered has been executed after all.
                let is_new = self.owned != Some(found.epoch);
                if found.epoch <= self.yielded {
                    // A renewal that was executed after this process had given way.
                } else if is_new && !self.leaving {
                    self.owned = Some(found.epoch);
                    events.push(ClaimEvent::Owned(found.clone()));
                } else if !is_new {
                    self.proved = sent;
                    events.push(ClaimEvent::Proved(sent));
                }
            }
            Some(found) => {
                if self.owned.take().is_some() {
                    events.push(ClaimEvent::Deposed);
                }
                if self.lead.as_ref().map(|l| (l.life, l.epoch)) != Some((found.life, found.epoch))
                {
                    events.push(ClaimEvent::Follows(found.clone()));
                }
            }
            None => {}
        }
        self.lead = lead;
        events
    }

    /// Takes in that an append succeeded.
    pub fn appended(&mut self, sent: Millis, now: Millis, lead: Lead) -> Vec<ClaimEvent> {
        self.end = self.end.map(|end| end + 1);
        self.next = now + RENEWAL;
        self.changed = now;
        self.failures = 0;
        self.proved = sent;
        let mut events = Vec::new();
        if lead.epoch <= self.yielded {
            self.next = Millis(0);
        } else if lead.resigned {
            self.next = Millis(0);
            self.owned = None;
            events.push(ClaimEvent::Deposed);
        } else if self.owned == Some(lead.epoch) {
            events.push(ClaimEvent::Proved(sent));
        } else {
            self.owned = Some(lead.epoch);
            events.push(ClaimEvent::Owned(lead.clone()));
        }
        self.lead = Some(lead);
        events
    }

    /// Takes in that a call failed or its outcome is unknown; the newest record tells.
    pub fn failed(&mut self, now: Millis) {
        self.end = None;
        let pause = PAUSE.0 << self.failures.min(4);
        self.failures = self.failures.saturating_add(1);
        self.next = now + Millis(pause).min(LONGEST_PAUSE);
    }

    /// Takes in that the topic ends elsewhere.
    pub const fn moved(&mut self) {
        self.end = None;
        self.next = Millis(0);
    }
}

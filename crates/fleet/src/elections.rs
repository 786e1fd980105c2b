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
const RENEWAL_INTERVAL: Millis = Millis(500);
/// Time without a renewal after which another entry claims: three renewals, and an answer that is
/// late as on a slow day of the store.
const RENEWAL_TIMEOUT: Millis = Millis(1_800);
/// Time without a renewal after which another entry asks the owner itself: one renewal, and 0.1 s for
/// the way to the store and back. A first look at a record asks at once, since its age is not known.
const PROBE_AFTER: Millis = Millis(600);
/// Interval at which it asks again.
const PROBE_INTERVAL: Millis = Millis(300);
/// Age of the last proof from which an owner whose calls to the store fail gives way to one whose
/// calls succeed.
const YIELD_AFTER: Millis = Millis(700);
/// Wait after a failed call; it doubles up to [`MAX_BACKOFF`] with each further one.
const MIN_BACKOFF: Millis = Millis(60);
/// Longest wait after failed calls.
const MAX_BACKOFF: Millis = Millis(240);

/// The owner, as recorded.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Host.
    pub node: Arc<str>,
    /// Random number of the process.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address for the system's own processes.
    pub address: SocketAddr,
    /// Number of the ownership, from 1; a later one is higher.
    pub epoch: u64,
    /// Whether the owner has stopped and another one may claim at once.
    #[serde(rename = "resigned")]
    pub has_resigned: bool,
}

/// Settings of a candidate.
#[derive(Clone, Debug)]
pub struct ElectionOptions {
    /// Host.
    pub node: Arc<str>,
    /// Random number of the process.
    pub incarnation: u64,
    /// Address for the system's own processes.
    pub address: SocketAddr,
    /// Time by which the candidate lets others go first.
    pub claim_delay: Millis,
}

/// What the driver does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Read the newest record.
    ReadNewest,
    /// Wait for a record from this offset on.
    Follow(u64),
    /// Ask the owner whether it still owns the jobs.
    ProbeOwner(OwnerRecord),
    /// Append this record on the condition that the topic ends at the offset.
    Append(u64, OwnerRecord),
    /// Wait.
    Sleep(Millis),
}

/// What has changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// The process owns the jobs from now on.
    Acquired(OwnerRecord),
    /// The process owned them until now.
    Lost,
    /// The store proved at this time that the process owned them.
    Confirmed(Millis),
    /// Another process owns them.
    OwnerChanged(OwnerRecord),
}

/// Core of a candidate.
#[derive(Debug)]
pub struct Election {
    options: ElectionOptions,
    /// End of the topic, or none if it has to be read.
    end: Option<u64>,
    owner: Option<OwnerRecord>,
    /// When the record was seen to change.
    changed_at: Millis,
    /// When the last successful read was sent.
    last_read_at: Millis,
    owned_epoch: Option<u64>,
    /// When the last proof was sent.
    confirmed_at: Millis,
    /// Failed calls in a row.
    failures: u32,
    /// Epoch up to which this process has given way and owns nothing any more.
    yielded_epoch: u64,
    /// Epoch whose owner is known to be gone.
    lost_epoch: u64,
    probed_at: Option<Millis>,
    /// Highest epoch of an owner that another entry named.
    hinted_epoch: u64,
    next_step_at: Millis,
    is_resigning: bool,
}

impl Election {
    /// Creates a candidate.
    #[must_use]
    pub const fn new(now: Millis, options: ElectionOptions) -> Self {
        Self {
            options,
            end: None,
            owner: None,
            changed_at: now,
            last_read_at: Millis(0),
            owned_epoch: None,
            confirmed_at: Millis(0),
            failures: 0,
            yielded_epoch: 0,
            lost_epoch: 0,
            probed_at: None,
            hinted_epoch: 0,
            next_step_at: Millis(0),
            is_resigning: false,
        }
    }

    /// Gives the ownership back, and claims no more.
    pub const fn resign(&mut self) {
        self.is_resigning = true;
        self.next_step_at = Millis(0);
    }

    /// Returns whether nothing is left to give back.
    #[must_use]
    pub const fn has_resigned(&self) -> bool {
        self.is_resigning && self.owned_epoch.is_none()
    }

    /// Takes in an owner that another entry knows, while the store does not answer this one. Only a
    /// later owner than the known one counts, and nothing but where requests go depends on it.
    pub fn on_peer_hint(&mut self, owner: OwnerRecord) -> Vec<ElectionEvent> {
        let known = self.owner.as_ref().map_or(0, |known| known.epoch);
        let is_later = owner.epoch > known.max(self.hinted_epoch) && !owner.has_resigned;
        if !is_later || self.owned_epoch.is_some() {
            return Vec::new();
        }
        self.hinted_epoch = owner.epoch;
        vec![ElectionEvent::OwnerChanged(owner)]
    }

    /// Returns whether the last call to the store failed.
    #[must_use]
    pub const fn is_store_unreachable(&self) -> bool {
        self.failures > 0
    }

    /// Returns the owner.
    #[must_use]
    pub const fn owner(&self) -> Option<&OwnerRecord> {
        self.owner.as_ref()
    }

    fn own_record(&self, epoch: u64, has_resigned: bool) -> OwnerRecord {
        OwnerRecord {
            node: Arc::clone(&self.options.node),
            incarnation: self.options.incarnation,
            address: self.options.address,
            epoch,
            has_resigned,
        }
    }

    /// Returns what to do next.
    #[must_use]
    pub fn next_step(&self, now: Millis) -> ElectionStep {
        if now < self.next_step_at {
            return ElectionStep::Sleep(self.next_step_at - now);
        }
        let Some(end) = self.end else {
            return ElectionStep::ReadNewest;
        };
        if let Some(epoch) = self.owned_epoch {
            return ElectionStep::Append(end, self.own_record(epoch, self.is_resigning));
        }
        if self.is_resigning {
            // Requests still go to the next owner until the process ends.
            return ElectionStep::Follow(end);
        }
        if let Some(from) = self.claimable_from() {
            return match now >= from {
                true => ElectionStep::Append(end, self.own_record(end + 1, false)),
                false => ElectionStep::Sleep(from - now),
            };
        }
        if self.is_owner_timed_out() {
            return ElectionStep::Append(end, self.own_record(end + 1, false));
        }
        if let Some(owner) = self.owner.as_ref().filter(|_| self.may_probe(now)) {
            return ElectionStep::ProbeOwner(owner.clone());
        }
        ElectionStep::Follow(end)
    }

    /// Returns whether the owner is to be asked itself.
    fn may_probe(&self, now: Millis) -> bool {
        match self.probed_at {
            None => true,
            Some(probed_at) => {
                now >= self.changed_at + PROBE_AFTER && now >= probed_at + PROBE_INTERVAL
            }
        }
    }

    /// Returns the time from which the jobs may be claimed if nobody owns them. Candidates that claim
    /// at once do no harm, since the store takes the claim of one.
    fn claimable_from(&self) -> Option<Millis> {
        let Some(owner) = &self.owner else {
            return Some(self.changed_at + self.options.claim_delay);
        };
        if owner.node == self.options.node && owner.incarnation != self.options.incarnation {
            // An earlier process of the same host has ended, which no other candidate can know.
            return Some(Millis(0));
        }
        let is_own = owner.node == self.options.node;
        let is_lost = owner.has_resigned || owner.epoch <= self.lost_epoch || is_own;
        is_lost.then(|| self.changed_at + self.options.claim_delay)
    }

    /// Returns whether the owner has been silent for long enough, by a read that was sent that late.
    fn is_owner_timed_out(&self) -> bool {
        self.last_read_at.since(self.changed_at) >= RENEWAL_TIMEOUT + self.options.claim_delay
    }

    /// Takes in what the owner of an epoch said of itself, or that nothing listens at its address.
    pub const fn on_owner_probe(&mut self, now: Millis, epoch: u64, is_lost: bool) {
        self.probed_at = Some(now);
        if is_lost && epoch > self.lost_epoch {
            self.lost_epoch = epoch;
        }
    }

    /// Answers another entry, whose calls to the store succeed, whether this process owns the jobs.
    /// It gives way if its own calls fail.
    pub fn yield_if_unreachable(&mut self, now: Millis, epoch: u64) -> Vec<ElectionEvent> {
        let is_unreachable = self.failures > 0 && now.since(self.confirmed_at) >= YIELD_AFTER;
        if self.owned_epoch != Some(epoch) || !is_unreachable {
            return Vec::new();
        }
        self.owned_epoch = None;
        self.yielded_epoch = epoch;
        self.lost_epoch = self.lost_epoch.max(epoch);
        vec![ElectionEvent::Lost]
    }

    /// Returns whether the process owns the jobs in an epoch.
    #[must_use]
    pub fn owns(&self, epoch: u64) -> bool {
        self.owned_epoch == Some(epoch)
    }

    /// Takes in the newest record.
    pub fn on_newest(
        &mut self,
        sent_at: Millis,
        now: Millis,
        end: u64,
        owner: Option<OwnerRecord>,
    ) -> Vec<ElectionEvent> {
        self.end = Some(end);
        self.last_read_at = sent_at;
        let was_unreachable = std::mem::take(&mut self.failures) > 0;
        if owner == self.owner && self.owned_epoch.is_none() {
            if was_unreachable {
                // The store may have been down for the owner too, which renews now.
                self.changed_at = now;
            }
            return Vec::new();
        }
        self.observe(sent_at, now, owner)
    }

    /// Takes in the records that came while following.
    pub fn on_follow(
        &mut self,
        sent_at: Millis,
        now: Millis,
        end: u64,
        owner: Option<OwnerRecord>,
    ) -> Vec<ElectionEvent> {
        self.end = Some(end);
        self.last_read_at = sent_at;
        self.failures = 0;
        match owner {
            Some(owner) => self.observe(sent_at, now, Some(owner)),
            None => Vec::new(),
        }
    }

    fn observe(
        &mut self,
        sent_at: Millis,
        now: Millis,
        owner: Option<OwnerRecord>,
    ) -> Vec<ElectionEvent> {
        self.changed_at = now;
        let mut events = Vec::new();
        match &owner {
            Some(found) if found.incarnation == self.options.incarnation && !found.has_resigned => {
                // A claim or renewal that was not answered has been executed after all.
                let is_new = self.owned_epoch != Some(found.epoch);
                if found.epoch <= self.yielded_epoch {
                    // A renewal that was executed after this process had given way.
                } else if is_new && !self.is_resigning {
                    self.owned_epoch = Some(found.epoch);
                    events.push(ElectionEvent::Acquired(found.clone()));
                } else if !is_new {
                    self.confirmed_at = sent_at;
                    events.push(ElectionEvent::Confirmed(sent_at));
                }
            }
            Some(found) => {
                if self.owned_epoch.take().is_some() {
                    events.push(ElectionEvent::Lost);
                }
                if self.owner.as_ref().map(|l| (l.incarnation, l.epoch))
                    != Some((found.incarnation, found.epoch))
                {
                    events.push(ElectionEvent::OwnerChanged(found.clone()));
                }
            }
            None => {}
        }
        self.owner = owner;
        events
    }

    /// Takes in that an append succeeded.
    pub fn on_append(
        &mut self,
        sent_at: Millis,
        now: Millis,
        owner: OwnerRecord,
    ) -> Vec<ElectionEvent> {
        self.end = self.end.map(|end| end + 1);
        self.next_step_at = now + RENEWAL_INTERVAL;
        self.changed_at = now;
        self.failures = 0;
        self.confirmed_at = sent_at;
        let mut events = Vec::new();
        if owner.epoch <= self.yielded_epoch {
            self.next_step_at = Millis(0);
        } else if owner.has_resigned {
            self.next_step_at = Millis(0);
            self.owned_epoch = None;
            events.push(ElectionEvent::Lost);
        } else if self.owned_epoch == Some(owner.epoch) {
            events.push(ElectionEvent::Confirmed(sent_at));
        } else {
            self.owned_epoch = Some(owner.epoch);
            events.push(ElectionEvent::Acquired(owner.clone()));
        }
        self.owner = Some(owner);
        events
    }

    /// Takes in that a call failed or its outcome is unknown; the newest record tells.
    pub fn on_failure(&mut self, now: Millis) {
        self.end = None;
        let backoff = MIN_BACKOFF.0 << self.failures.min(4);
        self.failures = self.failures.saturating_add(1);
        self.next_step_at = now + Millis(backoff).min(MAX_BACKOFF);
    }

    /// Takes in that the topic ends elsewhere.
    pub const fn on_end_moved(&mut self) {
        self.end = None;
        self.next_step_at = Millis(0);
    }
}

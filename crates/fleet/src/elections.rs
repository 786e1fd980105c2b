//! State machine that elects the owner of the jobs and keeps, renews or gives up its ownership.
//!
//! The newest record under one key of one topic names the owner. Claims and renewals are both
//! conditional appends: they succeed only if the topic still ends where the writer last read it, so
//! that of two concurrent writers one fails. A successful renewal confirms that no other process
//! had claimed the ownership when the renewal was sent.

use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{CallPermit, RENEWAL_VALIDITY, RenewalProof};
use serde::{Deserialize, Serialize};

/// Interval of the owner's renewals. Each costs one write, and one read by every other entry.
const RENEWAL_INTERVAL: Millis = Millis(500);
/// Time without a renewal after which another entry claims the ownership: three renewals plus a
/// response that is delayed by a slow store.
const RENEWAL_TIMEOUT: Millis = Millis(1_800);
const _: () = assert!(RENEWAL_TIMEOUT.0 * 98 / 100 > RENEWAL_VALIDITY.0);
/// Time without a renewal after which another entry probes the owner directly: one renewal plus
/// 0.1 s for the round trip to the store. The first probe of a record is sent at once, since the
/// age of the record is unknown.
const PROBE_AFTER: Millis = Millis(600);
/// Interval between probes of the owner.
const PROBE_INTERVAL: Millis = Millis(300);
/// Age of the last confirmation from which an owner that cannot reach the store gives up the
/// ownership to an entry that can.
const YIELD_AFTER: Millis = Millis(700);
/// Delay after a failed call to the store; it doubles with each further failure up to
/// [`MAX_BACKOFF`].
const MIN_BACKOFF: Millis = Millis(60);
/// Maximum delay after failed calls to the store.
const MAX_BACKOFF: Millis = Millis(240);

/// Record in the store that names the owner. Its claims and renewals all have this form.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerRecord {
    /// Host name of the owner.
    pub node: Arc<str>,
    /// Random number that tells processes on the same host apart.
    #[serde(rename = "life")]
    pub incarnation: u64,
    /// Address at which the owner serves agents and other entries.
    pub address: SocketAddr,
    /// Number of the ownership: the end of the topic before the claim, plus 1. It grows with every
    /// change of owner.
    pub epoch: u64,
    /// Whether the owner has stopped on purpose, so that another entry may claim at once.
    #[serde(rename = "resigned")]
    pub has_resigned: bool,
}

/// Error of decoding an owner record.
#[derive(Debug, thiserror::Error)]
pub enum OwnerRecordError {
    /// The record has another form.
    #[error("invalid record: {0}")]
    Form(#[from] serde_json::Error),
    /// No owner can have claimed this epoch yet. Candidates and agents that believed it would take
    /// every later owner for an earlier one.
    #[error("epoch {0} is after the end of the topic")]
    Epoch(u64),
}

impl OwnerRecord {
    /// Decodes a record of a topic that ended at `end` or before when it was read.
    ///
    /// # Errors
    ///
    /// Returns [`OwnerRecordError`] if the record has another form, or an epoch that no owner can
    /// have claimed before `end`.
    pub fn decode(end: u64, value: &[u8]) -> Result<Self, OwnerRecordError> {
        let owner: Self = serde_json::from_slice(value)?;
        match owner.epoch > end {
            true => Err(OwnerRecordError::Epoch(owner.epoch)),
            false => Ok(owner),
        }
    }
}

/// Identity and settings of a candidate.
#[derive(Clone, Debug)]
pub struct ElectionOptions {
    /// Host name of this process.
    pub node: Arc<str>,
    /// Random number that tells processes on the same host apart.
    pub incarnation: u64,
    /// Address at which this process serves agents and other entries.
    pub address: SocketAddr,
    /// Delay before this candidate claims a vacant ownership, so that candidates do not all claim
    /// at the same time.
    pub claim_delay: Millis,
}

/// Next action that the driver has to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionStep {
    /// Read the newest record and the end of the topic.
    ReadNewest,
    /// Wait for records from this offset on.
    Follow(u64),
    /// Query the owner whether it still owns the jobs.
    ProbeOwner(OwnerRecord),
    /// Append this record on the condition that the topic ends at this offset.
    Append(u64, OwnerRecord),
    /// Do nothing for this long.
    Sleep(Millis),
}

/// Change of the ownership, as this process knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ElectionEvent {
    /// This process has become the owner.
    Acquired(OwnerRecord),
    /// This process is no longer the owner.
    Lost,
    /// The store confirmed the ownership of this process with a call that was sent at this time.
    Confirmed(Millis),
    /// As [`ElectionEvent::Confirmed`], with a new record. No other candidate's timeout ends within
    /// [`RENEWAL_VALIDITY`] after this time, since each counts from when it reads the record.
    Renewed(Millis),
    /// Another process is the owner, or a record of another owner was read.
    OwnerChanged(OwnerRecord),
}

/// State of one candidate. The driver executes [`Election::next_step`] and reports the outcome
/// through the `on_*` methods.
#[derive(Debug)]
pub struct Election {
    options: ElectionOptions,
    /// End of the topic, or none if it has to be read.
    end: Option<u64>,
    /// End of the topic when it was last read or written.
    last_end: u64,
    /// Newest record that was read or written.
    owner: Option<OwnerRecord>,
    /// When the newest record was last seen to change.
    changed_at: Millis,
    /// When the last successful read was sent.
    last_read_at: Millis,
    /// Epoch in which this process owns the jobs.
    owned_epoch: Option<u64>,
    /// When the call that last confirmed the ownership was sent.
    confirmed_at: Millis,
    /// Consecutive failed calls to the store.
    failures: u32,
    /// Highest epoch that this process has given up. It never resumes this epoch or an earlier one.
    yielded_epoch: u64,
    /// Highest epoch whose owner is known to have lost the ownership.
    lost_epoch: u64,
    /// When an owner was last probed.
    probed_at: Option<Millis>,
    /// Highest epoch of an owner that another entry reported.
    hinted_epoch: u64,
    next_step_at: Millis,
    is_resigning: bool,
}

impl Election {
    /// Creates a candidate that has read nothing yet.
    #[must_use]
    pub const fn new(now: Millis, options: ElectionOptions) -> Self {
        Self {
            options,
            end: None,
            last_end: 0,
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

    /// Gives up the ownership, if this process has it, and makes no further claims.
    pub const fn resign(&mut self) {
        self.is_resigning = true;
        self.next_step_at = Millis(0);
    }

    /// Returns whether this process has resigned and no longer owns the jobs.
    #[must_use]
    pub const fn has_resigned(&self) -> bool {
        self.is_resigning && self.owned_epoch.is_none()
    }

    /// Handles a hint from another entry about the owner, received while this entry cannot reach
    /// the store. Hints about earlier or known owners are ignored. The result only decides where
    /// requests are forwarded; the election itself ignores hints.
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

    /// Returns the newest record of an owner, which may have resigned since.
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

    /// Returns the next action for the driver.
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
            // Requests are still forwarded to the next owner until the process ends.
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

    /// Returns whether a probe of the owner is due.
    fn may_probe(&self, now: Millis) -> bool {
        match self.probed_at {
            None => true,
            Some(probed_at) => {
                now >= self.changed_at + PROBE_AFTER && now >= probed_at + PROBE_INTERVAL
            }
        }
    }

    /// Returns the time from which this candidate may claim, or none if the ownership is not
    /// vacant. Concurrent claims are harmless, since the store accepts only one.
    fn claimable_from(&self) -> Option<Millis> {
        let Some(owner) = &self.owner else {
            return Some(self.changed_at + self.options.claim_delay);
        };
        if owner.node == self.options.node && owner.incarnation != self.options.incarnation {
            // An earlier process of the same host has ended. Other candidates cannot know this.
            return Some(Millis(0));
        }
        let is_own = owner.node == self.options.node;
        let is_lost = owner.has_resigned || owner.epoch <= self.lost_epoch || is_own;
        is_lost.then(|| self.changed_at + self.options.claim_delay)
    }

    /// Returns whether the owner's renewals have timed out. The time counts up to when the last
    /// read was sent, since a later renewal may not have been read yet.
    fn is_owner_timed_out(&self) -> bool {
        self.last_read_at.since(self.changed_at) >= RENEWAL_TIMEOUT + self.options.claim_delay
    }

    /// Handles the outcome of a probe. `is_lost` is set if the owner of the epoch replied that it
    /// no longer owns the jobs, or if nothing listens at its address.
    pub const fn on_owner_probe(&mut self, now: Millis, epoch: u64, is_lost: bool) {
        self.probed_at = Some(now);
        if is_lost && epoch > self.lost_epoch {
            self.lost_epoch = epoch;
        }
    }

    /// Gives up the ownership of an epoch if this process cannot reach the store. Called when
    /// another entry, which can reach it, probes this process.
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

    /// Returns whether this process owns the jobs in an epoch.
    #[must_use]
    pub fn owns(&self, epoch: u64) -> bool {
        self.owned_epoch == Some(epoch)
    }

    /// Returns the permit to send a call as the owner of an epoch now, by the clock of the proof. An
    /// owner that has given up the ownership, or is about to, gets none although its proof is valid:
    /// another entry may claim without waiting for the timeout.
    #[must_use]
    pub fn permit(&self, now: Millis, epoch: u64, proof: RenewalProof) -> Option<CallPermit> {
        let is_owner = self.owns(epoch) && !self.is_resigning;
        is_owner.then(|| proof.permit(now))?
    }

    /// Handles a successful read of the newest record. `sent_at` is when the read was sent.
    pub fn on_newest(
        &mut self,
        sent_at: Millis,
        now: Millis,
        end: u64,
        owner: Option<OwnerRecord>,
    ) -> Vec<ElectionEvent> {
        // A renewal repeats the record, so that only the end of the topic shows it.
        let is_renewed = end != self.last_end;
        self.set_end(end);
        self.last_read_at = sent_at;
        let was_unreachable = std::mem::take(&mut self.failures) > 0;
        if owner == self.owner && self.owned_epoch.is_none() {
            // The store may have been unreachable for the owner too. Gives it time to renew.
            if is_renewed || was_unreachable {
                self.changed_at = now;
            }
            return Vec::new();
        }
        self.apply_record(sent_at, now, owner)
    }

    /// Handles the end of a wait for records. `owner` is the newest of them, if there were any.
    pub fn on_follow(
        &mut self,
        sent_at: Millis,
        now: Millis,
        end: u64,
        owner: Option<OwnerRecord>,
    ) -> Vec<ElectionEvent> {
        self.set_end(end);
        self.last_read_at = sent_at;
        self.failures = 0;
        match owner {
            Some(owner) => self.apply_record(sent_at, now, Some(owner)),
            None => Vec::new(),
        }
    }

    fn apply_record(
        &mut self,
        sent_at: Millis,
        now: Millis,
        owner: Option<OwnerRecord>,
    ) -> Vec<ElectionEvent> {
        self.changed_at = now;
        let mut events = Vec::new();
        match &owner {
            Some(found) if found.incarnation == self.options.incarnation && !found.has_resigned => {
                // A claim or renewal whose response was lost has been executed.
                let is_new = self.owned_epoch != Some(found.epoch);
                if found.epoch <= self.yielded_epoch {
                    // A late renewal, executed after this process gave up the ownership.
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
                if self
                    .owner
                    .as_ref()
                    .map(|known| (known.incarnation, known.epoch))
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

    const fn set_end(&mut self, end: u64) {
        self.end = Some(end);
        self.last_end = end;
    }

    /// Handles a successful append of a record.
    pub fn on_append(
        &mut self,
        sent_at: Millis,
        now: Millis,
        owner: OwnerRecord,
    ) -> Vec<ElectionEvent> {
        if let Some(end) = self.end {
            self.set_end(end + 1);
        }
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
            events.push(ElectionEvent::Renewed(sent_at));
        } else {
            self.owned_epoch = Some(owner.epoch);
            events.push(ElectionEvent::Acquired(owner.clone()));
            events.push(ElectionEvent::Renewed(sent_at));
        }
        self.owner = Some(owner);
        events
    }

    /// Handles a call that failed or whose outcome is unknown. The newest record is read again to
    /// learn the outcome.
    pub fn on_failure(&mut self, now: Millis) {
        self.end = None;
        let backoff = MIN_BACKOFF.0 << self.failures.min(4);
        self.failures = self.failures.saturating_add(1);
        self.next_step_at = now + Millis(backoff).min(MAX_BACKOFF);
    }

    /// Handles an append or read that the store rejected because its offset is out of date.
    pub const fn on_end_moved(&mut self) {
        self.end = None;
        self.next_step_at = Millis(0);
    }
}

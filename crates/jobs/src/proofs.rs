//! What the owner knows about its ownership: when it was last confirmed, and whether the process
//! has stood still since. [`RenewalProof`] guards what a later owner could contradict: answers to
//! callers and calls with an effect outside.

use hyssop_core::Millis;

use crate::limits::{CALL_CONNECT_MARGIN, CONFIRMATION_WAIT, MAX_TICK_GAP, RENEWAL_VALIDITY};

/// Proof that no other process has claimed the ownership, which ends
/// [`RENEWAL_VALIDITY`](crate::RENEWAL_VALIDITY) after the renewal that it comes from. Only the owner
/// creates one, and a call needs the [`CallPermit`] that it gives at the moment of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RenewalProof {
    renewed_at: Millis,
}

impl RenewalProof {
    /// Returns the proof of a renewal that was sent at `renewed_at`, if it is still valid.
    fn new(renewed_at: Millis, now: Millis) -> Option<Self> {
        (now.since(renewed_at) <= RENEWAL_VALIDITY).then_some(Self { renewed_at })
    }

    /// Returns the permit to send one call now, if the proof stays valid until the call has its
    /// connection. `now` must be read when the call is sent, from a clock that counts suspended
    /// time: the process may have stood still since the owner decided on the call.
    #[must_use]
    pub fn permit(self, now: Millis) -> Option<CallPermit> {
        Self::new(self.renewed_at, now + CALL_CONNECT_MARGIN).map(|_| CallPermit(()))
    }
}

/// Permit to send one call whose effect a later owner could contradict. Clients of such calls take
/// it, so that none can be sent without a check of the [`RenewalProof`].
#[derive(Debug)]
pub struct CallPermit(());

/// Times by the owner's clock, which counts suspended time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Proof {
    /// When the last call that confirmed the ownership was sent.
    pub(crate) confirmed_at: Millis,
    /// When the last renewal was sent, if any.
    renewed_at: Option<Millis>,
    /// When the process last resumed after it had stood still; 0 if it never has.
    pub(crate) resumed_at: Millis,
}

impl Proof {
    /// Creates the state of an owner that has just been elected.
    pub(crate) const fn new(acquired_at: Millis) -> Self {
        Self {
            confirmed_at: acquired_at,
            renewed_at: None,
            resumed_at: Millis(0),
        }
    }

    pub(crate) fn confirm(&mut self, at: Millis) {
        self.confirmed_at = self.confirmed_at.max(at);
    }

    pub(crate) fn renew(&mut self, at: Millis) {
        self.confirm(at);
        self.renewed_at = self.renewed_at.max(Some(at));
    }

    /// Records the time between two ticks.
    pub(crate) fn note_tick(&mut self, previous: Millis, now: Millis) {
        if now.since(previous) > MAX_TICK_GAP {
            self.resumed_at = now;
        }
    }

    /// Returns the proof by the last renewal, if it is still valid.
    pub(crate) fn renewal(&self, now: Millis) -> Option<RenewalProof> {
        self.renewed_at.and_then(|at| RenewalProof::new(at, now))
    }

    /// Returns whether no other process had claimed the ownership when a question was taken up. The
    /// answer may be sent later: it was true after the question was asked.
    pub(crate) fn covers(&self, now: Millis, asked_at: Millis) -> bool {
        self.confirmed_at >= asked_at || self.renewal(now).is_some()
    }

    /// Returns whether the process has just resumed, so that it cannot know yet whether it still is
    /// the owner.
    pub(crate) fn has_just_resumed(&self, now: Millis) -> bool {
        self.resumed_at > Millis(0) && now < self.resumed_at + CONFIRMATION_WAIT
    }
}

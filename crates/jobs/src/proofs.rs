//! What the owner knows about its ownership: when it was last confirmed, and whether the process
//! has stood still since.

use hyssop_core::Millis;

use crate::limits::{CONFIRMATION_WAIT, MAX_TICK_GAP, RENEWAL_VALIDITY};

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

    /// Returns whether no other process had claimed the ownership when a question was taken up.
    pub(crate) fn covers(&self, now: Millis, asked_at: Millis) -> bool {
        let is_renewed = |at: Millis| now.since(at) <= RENEWAL_VALIDITY;
        self.confirmed_at >= asked_at || self.renewed_at.is_some_and(is_renewed)
    }

    /// Returns whether the process has just resumed, so that it cannot know yet whether it still is
    /// the owner.
    pub(crate) fn has_just_resumed(&self, now: Millis) -> bool {
        self.resumed_at > Millis(0) && now < self.resumed_at + CONFIRMATION_WAIT
    }
}

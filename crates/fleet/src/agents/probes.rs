//! Probes of the worker that are in flight.

use hyssop_core::Millis;
use smallvec::SmallVec;

/// Time beyond a probe's wait after which another probe is sent beside it. A worker that answers
/// only some of its calls then answers one of several within the time that its lease lasts.
const HEDGE_DELAY: Millis = Millis(300);

/// Time for which an answer shows that the worker answers calls.
const FRESH_TIME: Millis = Millis(100);

/// Probes that were sent and have neither been answered nor failed.
#[derive(Debug, Default)]
pub(super) struct ProbesInFlight {
    /// When each was sent, the earliest first.
    sent: SmallVec<[Millis; 4]>,
    /// When the last probe was sent, and how long the worker may wait with its answer.
    last: (Millis, Millis),
    /// When the last probe that was answered was sent.
    answered: Millis,
    /// When the last answer came.
    answered_at: Millis,
}

impl ProbesInFlight {
    /// Returns whether no probe is in flight.
    pub(super) fn is_empty(&self) -> bool {
        self.sent.is_empty()
    }

    /// Returns when the last probe that was answered was sent.
    pub(super) const fn last_answered(&self) -> Millis {
        self.answered
    }

    /// Returns whether the last probe is in flight.
    pub(super) fn is_waiting(&self) -> bool {
        self.sent.last() == Some(&self.last.0)
    }

    /// Returns whether the last probe was answered. If not, the next one may reach a later incarnation.
    pub(super) fn is_last_answered(&self) -> bool {
        self.answered >= self.last.0
    }

    /// Returns whether the last probe should have been answered, so that another one is due.
    pub(super) fn is_hedge_due(&self, now: Millis) -> bool {
        let (sent_at, wait) = self.last;
        self.is_waiting() && now >= sent_at + wait + HEDGE_DELAY
    }

    /// Returns whether the worker has just answered a probe, so that it is likely to answer further calls.
    pub(super) fn is_fresh(&self, now: Millis) -> bool {
        now <= self.answered_at + FRESH_TIME
    }

    /// Returns whether a probe has to be sent for an answer that [`Self::is_fresh`].
    pub(super) fn is_refresh_due(&self, now: Millis) -> bool {
        !self.is_fresh(now) && now > self.last.0 + FRESH_TIME
    }

    pub(super) fn send(&mut self, now: Millis, wait: Millis) {
        self.sent.push(now);
        self.last = (now, wait);
    }

    /// Removes a probe that was answered. Returns false if the answer to a later one has overtaken
    /// it, so that its lists are out of date.
    pub(super) fn answer(&mut self, now: Millis, sent_at: Millis) -> bool {
        // The call is sent a little later than the core has ordered it.
        let index = self.sent.iter().rposition(|&sent| sent <= sent_at);
        if !self.sent.is_empty() {
            // If none is as early, its entry was removed for a later probe that failed before it.
            self.sent.remove(index.unwrap_or(0));
        }
        let is_latest = sent_at >= self.answered;
        self.answered = self.answered.max(sent_at);
        self.answered_at = now;
        is_latest
    }

    /// Removes the earliest probe. It is the first to time out; if a later one has failed otherwise, the
    /// number of entries still is the number of probes in flight. Returns false if the worker has
    /// answered another one since the removed one was sent.
    pub(super) fn fail(&mut self) -> bool {
        if self.sent.is_empty() {
            return true;
        }
        let sent_at = self.sent.remove(0);
        self.answered_at <= sent_at
    }
}

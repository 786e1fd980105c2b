//! Detection of connections that have gone silent. No reset tells: the peer or the network has lost
//! the connection, while new connections to the same process work.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Least time for which calls have to wait on a connection that receives nothing before it counts as
/// silent. Some calls have the deadline of a caller, which may be milliseconds, so that calls without
/// a response do not show by themselves that a connection is silent. It is shorter than the shortest
/// timeout of the system's own calls, 300 ms for a question to another entry, so that each of them
/// counts. A report of an agent times out after 1.4 s, so that two silent connections in a row cost
/// less than the lease of a worker, 4 s.
const MIN_SILENCE: Duration = Duration::from_millis(250);

/// Data received on one connection, and calls that have waited for it.
pub(super) struct Activity(Mutex<ActivityState>);

struct ActivityState {
    /// When data was last received, or the connection was opened.
    received_at: Instant,
    /// How long calls without a response have waited since then. Time in which several calls have
    /// waited counts once.
    waited: Duration,
    /// Until when `waited` is counted.
    waited_until: Instant,
}

impl Activity {
    pub(super) const fn new(opened_at: Instant) -> Self {
        Self(Mutex::new(ActivityState {
            received_at: opened_at,
            waited: Duration::ZERO,
            waited_until: opened_at,
        }))
    }

    /// Records that data was received.
    pub(super) fn record_data(&self, now: Instant) {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        state.received_at = now;
        state.waited = Duration::ZERO;
    }

    /// Records a call without a response at its deadline. Returns whether the connection is silent:
    /// nothing was received on it since the call was sent, and calls have waited for long enough.
    pub(super) fn record_no_response(&self, sent_at: Instant, deadline: Instant) -> bool {
        let mut state = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if state.received_at > sent_at {
            return false;
        }
        let waited = deadline.saturating_duration_since(sent_at.max(state.waited_until));
        state.waited += waited;
        state.waited_until = state.waited_until.max(deadline);
        state.waited >= MIN_SILENCE
    }
}

/// Silence that was found on a connection of a link. What silences one connection often silences
/// others of the same link, so that those are not used again either, unless they have received
/// something in the meantime.
#[derive(Default)]
pub(super) struct Silence {
    /// When the last call was sent that has shown a silent connection.
    since: Mutex<Option<Instant>>,
}

impl Silence {
    /// Records that a connection is silent since a call was sent.
    pub(super) fn record(&self, sent_at: Instant) {
        let mut since = self.since.lock().unwrap_or_else(PoisonError::into_inner);
        *since = (*since).max(Some(sent_at));
    }

    /// Returns whether a connection may be silent: it was opened before the silence that was found
    /// last and has received nothing since.
    pub(super) fn includes(&self, activity: &Activity) -> bool {
        let since = *self.since.lock().unwrap_or_else(PoisonError::into_inner);
        let state = activity.0.lock().unwrap_or_else(PoisonError::into_inner);
        since.is_some_and(|since| state.received_at <= since)
    }
}

//! Monotonic time of the process, and conversions of durations.

use std::time::{Duration, Instant};

use hyssop_core::Millis;

/// Monotonic clock that counts from the start of the entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at 0.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the clock was created.
    pub(crate) fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Converts milliseconds into a `Duration`.
pub(crate) const fn duration(time: Millis) -> Duration {
    Duration::from_millis(time.0)
}

/// Converts a `Duration` into milliseconds, rounded down.
pub(crate) fn millis(time: Duration) -> Millis {
    Millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

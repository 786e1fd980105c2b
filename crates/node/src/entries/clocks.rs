//! Time of the process.

use std::time::{Duration, Instant};

use hyssop_core::Millis;

/// Monotonic clock whose epoch is the start of the entry.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Clock {
    start: Instant,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn new() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// Returns the time since the start.
    pub(crate) fn now(&self) -> Millis {
        Millis(u64::try_from(self.start.elapsed().as_millis()).unwrap_or(u64::MAX))
    }
}

/// Converts a time span for the timers of the runtime.
pub(crate) const fn duration(time: Millis) -> Duration {
    Duration::from_millis(time.0)
}

/// Converts a time span of the runtime.
pub(crate) fn millis(time: Duration) -> Millis {
    Millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}

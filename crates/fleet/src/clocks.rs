//! Clocks for leases, confirmations and scheduled times.

use std::time::{SystemTime, UNIX_EPOCH};

use hyssop_core::Millis;
use nix::time::{ClockId, clock_gettime};

/// Returns the time of day at which the clock of [`now`] was zero, in milliseconds since 1970. It
/// changes when the time of day is set, and differs between hosts.
pub(crate) fn boot_unix_ms() -> u64 {
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH);
    // With a clock before 1970 all jobs count as new, and no scheduled occurrence is due.
    let time = unix_time.map_or(0, |time| {
        u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
    });
    time.saturating_sub(now().0)
}

/// Returns the time since the host started. It includes suspended time, so that leases and
/// confirmations keep ageing while the host is suspended.
///
/// # Panics
///
/// Panics if the system lacks the clock, which Linux has had since 2.6.39.
pub(crate) fn now() -> Millis {
    let time = clock_gettime(ClockId::CLOCK_BOOTTIME).expect("CLOCK_BOOTTIME");
    let seconds = u64::try_from(time.tv_sec()).unwrap_or_default();
    let nanos = u64::try_from(time.tv_nsec()).unwrap_or_default();
    Millis(seconds * 1_000 + nanos / 1_000_000)
}

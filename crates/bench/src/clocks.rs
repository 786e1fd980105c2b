//! Processor time of the calling thread and resident memory of the process.

use std::fs;
use std::time::Duration;

use eyre::{Result, WrapErr, eyre};
use nix::time::{ClockId, clock_gettime};

/// Size of the pages that `/proc/self/statm` counts.
const PAGE_BYTES: u64 = 4_096;

/// Returns the processor time that the calling thread has used.
///
/// # Panics
///
/// Panics if the system does not support `CLOCK_THREAD_CPUTIME_ID`.
#[must_use]
pub fn thread_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_THREAD_CPUTIME_ID)
        .expect("CLOCK_THREAD_CPUTIME_ID is supported")
        .into()
}

/// Returns the processor time that all threads of the process have used.
///
/// # Panics
///
/// Panics if the system does not support `CLOCK_PROCESS_CPUTIME_ID`.
#[must_use]
pub fn process_cpu_time() -> Duration {
    clock_gettime(ClockId::CLOCK_PROCESS_CPUTIME_ID)
        .expect("CLOCK_PROCESS_CPUTIME_ID is supported")
        .into()
}

/// Returns the resident memory of the process, in bytes.
///
/// # Errors
///
/// Returns an error if `/proc/self/statm` cannot be read.
pub fn resident_bytes() -> Result<u64> {
    let text = fs::read_to_string("/proc/self/statm").wrap_err("read /proc/self/statm")?;
    let pages = text.split_whitespace().nth(1);
    let pages: u64 = pages
        .ok_or_else(|| eyre!("/proc/self/statm has fewer than two fields"))?
        .parse()?;
    Ok(pages * PAGE_BYTES)
}

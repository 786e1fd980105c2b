//! Cost of the cores: processor time, bytes and memory by size.

mod bytes;
mod cells;
mod confs;
mod exchanges;
mod fixtures;
mod memory;
mod routes;
mod workers;

use eyre::Result;

use crate::reports::Report;

/// Measures the cost of the cores.
///
/// # Errors
///
/// Returns an error if the system's clocks or memory figures cannot be read, or the loopback
/// connections of the byte counts fail.
pub fn measure() -> Result<Report> {
    let mut report = Report::default();
    // Memory first: later measurements leave freed memory behind that would hide growth.
    memory::measure(&mut report)?;
    cells::measure(&mut report);
    confs::measure(&mut report);
    routes::measure(&mut report);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(bytes::measure(&mut report))?;
    exchanges::measure(&mut report)?;
    Ok(report)
}

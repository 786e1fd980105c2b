//! Costs of the cores: processor time, message sizes and memory by load.

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

/// Measures the costs of the cores. Takes all measurements in this process, one after another.
///
/// # Errors
///
/// Returns an error if the memory use of the process cannot be read, or if a server on the
/// loopback interface cannot be started or reached.
pub fn measure() -> Result<Report> {
    let mut report = Report::default();
    // Memory is measured first: freed memory of other measurements would be reused and hide growth.
    memory::measure(&mut report)?;
    cells::measure(&mut report);
    confs::measure(&mut report);
    routes::measure(&mut report);
    let runtime = tokio::runtime::Runtime::new()?;
    runtime.block_on(bytes::measure(&mut report))?;
    exchanges::measure(&mut report)?;
    Ok(report)
}

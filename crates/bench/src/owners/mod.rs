//! Processor time of the owner of jobs by the size of the fleet, in virtual time and without I/O.

mod models;

use std::time::Duration;

use models::{Load, Model};

use crate::reports::{Report, Series};

/// Virtual time before the measurement, in which the service tasks start and interference is
/// learned.
const WARM_UP_SECONDS: u64 = 5;
/// Virtual time of one measurement.
const MEASURED_SECONDS: u64 = 5;
/// Virtual time between two ticks, in milliseconds. A driver ticks with each batch of events.
const TICK_MS: u64 = 5;

/// Measures the owner at each number of workers. Jobs arrive at a rate that grows with the fleet.
#[must_use]
pub fn measure(sizes: &[usize]) -> Report {
    let mut report = Report::default();
    let mut seconds = Vec::new();
    let mut starts = Vec::new();
    for &workers in sizes {
        let mut model = Model::new(Load::per_worker(workers));
        model.run(WARM_UP_SECONDS * 1_000, TICK_MS);
        let started_before = model.start_count();
        let cpu = model.run(MEASURED_SECONDS * 1_000, TICK_MS);
        let started = model.start_count() - started_before;
        seconds.push((workers as f64, millis(cpu) / MEASURED_SECONDS as f64));
        starts.push((workers as f64, started as f64 / MEASURED_SECONDS as f64));
    }
    let name = "owner, one second under load";
    report.add_series(Series::new(name, "workers", "ms", seconds));
    let name = "starts in that second";
    report.add_series(Series::new(name, "workers", "starts", starts));
    report
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

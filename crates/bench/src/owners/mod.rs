//! Processor time of the owner of jobs by the size of the fleet, in virtual time and without I/O,
//! and jobs that stand still meanwhile.

mod checks;
mod loads;
mod models;
mod workers;

use std::time::Duration;

use checks::Checker;
use hyssop_core::Millis;
use loads::Load;
use models::Model;

use crate::reports::{Report, Series};

/// Virtual time before the measurement, in which the service tasks start and interference is
/// learned.
const WARM_UP_SECONDS: u64 = 5;
/// Virtual time of one measurement.
const MEASURED_SECONDS: u64 = 5;
/// Virtual time after the measurement in which no best-effort jobs arrive in a backlog. Late jobs
/// of the backlog may stand still then, too.
const DRAIN_SECONDS: u64 = 10;
/// Virtual time between two ticks, in milliseconds. A driver ticks with each batch of events.
const TICK_MS: u64 = 5;
/// Number of jobs that stood still that a report names by size.
const NAMED_JOBS: usize = 3;

/// Jobs that arrive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Pattern {
    /// Jobs in the shares of a large deployment, which reserve most of the processors.
    Mixed,
    /// Best-effort jobs that need this multiple of the idle processors, while less than half of the
    /// capacity is reserved.
    Backlog(f64),
}

/// What was measured with one number of workers.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Processor time of the owner for one second.
    pub cpu: Duration,
    /// Starts in that second.
    pub starts: f64,
    /// Jobs that were not complete at the end of the measurement.
    pub open_jobs: usize,
    /// Highest number of accepted jobs that had nothing running at the same time.
    pub idle_jobs: usize,
    /// Share of the time in which half of the capacity was in use, so that no job but service jobs
    /// has to progress, in percent.
    pub busy_percent: f64,
    /// Jobs that stood still for 3 s or more, or one of whose service tasks was away for 6 s or
    /// more.
    pub stalled_jobs: usize,
    /// Longest time without a running task while there was capacity.
    pub longest: Millis,
    /// Descriptions of what stood still.
    pub stalls: Vec<String>,
}

/// Plays a pattern with a number of workers in virtual time.
#[must_use]
pub fn play(workers: usize, pattern: Pattern) -> Outcome {
    let load = match pattern {
        Pattern::Mixed => Load::per_worker(workers),
        Pattern::Backlog(factor) => Load::backlog(workers, factor),
    };
    let mut checker = Checker::default();
    let mut model = Model::new(load);
    model.run(WARM_UP_SECONDS * 1_000, TICK_MS, &mut checker);
    let started_before = model.start_count();
    let cpu = model.run(MEASURED_SECONDS * 1_000, TICK_MS, &mut checker);
    let started = model.start_count() - started_before;
    let open_jobs = model.jobs.len();
    if load.is_backlog {
        model.stop_best_effort();
        model.run(DRAIN_SECONDS * 1_000, TICK_MS, &mut checker);
    }
    Outcome {
        cpu: cpu / MEASURED_SECONDS as u32,
        starts: started as f64 / MEASURED_SECONDS as f64,
        open_jobs,
        idle_jobs: checker.idle_peak(),
        busy_percent: checker.busy_percent(),
        stalled_jobs: checker.stalled_jobs(),
        longest: Millis(checker.longest()),
        stalls: checker.stalls(),
    }
}

/// Measures the owner at each number of workers. Jobs arrive at a rate that grows with the fleet.
#[must_use]
pub fn measure(sizes: &[usize], pattern: Pattern) -> Report {
    let mut report = Report::default();
    let mut outcomes = Vec::new();
    for &workers in sizes {
        let outcome = play(workers, pattern);
        for stall in outcome.stalls.iter().take(NAMED_JOBS) {
            report.add_note(format!("{workers} workers, stood still: {stall}"));
        }
        outcomes.push((workers as f64, outcome));
    }
    let mut add = |name: &str, unit: &str, value: &dyn Fn(&Outcome) -> f64| {
        let points = outcomes.iter();
        let points = points.map(|(workers, outcome)| (*workers, value(outcome)));
        report.add_series(Series::new(name, "workers", unit, points.collect()));
    };
    let millis = |outcome: &Outcome| outcome.cpu.as_secs_f64() * 1e3;
    add("owner, one second under load", "ms", &millis);
    add("starts in that second", "starts", &|o| o.starts);
    add("jobs not complete after it", "jobs", &|o| {
        o.open_jobs as f64
    });
    let idle = |outcome: &Outcome| outcome.idle_jobs as f64;
    add("jobs with nothing running, highest", "jobs", &idle);
    let busy = |outcome: &Outcome| outcome.busy_percent;
    add("time with half of the capacity in use", "%", &busy);
    let stalled = |outcome: &Outcome| outcome.stalled_jobs as f64;
    add("jobs that stood still for 3 s", "jobs", &stalled);
    let longest = |outcome: &Outcome| outcome.longest.0 as f64;
    add("longest time without a running task", "ms", &longest);
    report
}

//! Workers on which most runs fail.

use hyssop_jobs::{EndKind, JobId, Refusal, Report, RunId};

use crate::support::{Fleet, complete_report, ends_report, job, rule, run_end, step, worker};

/// Duration of a quarantine, in milliseconds.
const QUARANTINE_MS: u64 = 3_000;

/// Starts one job of one task each on a single worker.
fn fleet_with_jobs(count: u64) -> (Fleet, Vec<RunId>) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    for id in 1..=count {
        fleet.submit(JobId(id), rule(5), job(vec![step(1, &[])]));
    }
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len() as u64, count);
    (fleet, runs)
}

/// Guards against a refused start that ends the quarantine of its worker early, so that more runs
/// fail there.
#[test]
fn refusal_does_not_shorten_a_quarantine() {
    let (mut fleet, runs) = fleet_with_jobs(4);
    let ends = (1..).zip(&runs[..3]);
    let ends = ends.map(|(number, &run)| run_end(number, run, EndKind::Failed));
    fleet.report(1, ends_report(ends.collect()));
    let refusal = Report {
        refused: vec![(runs[3], Refusal::NoRoom)],
        ..Report::default()
    };
    fleet.report(1, refusal);
    fleet.advance(QUARANTINE_MS - 500, &[1]);
    assert_eq!(fleet.take_started(1), vec![]);
    fleet.advance(1_000, &[1]);
    assert_eq!(fleet.take_started(1).len(), 4);
}

/// Guards against a quarantine caused by one job that fails everywhere.
#[test]
fn repeated_failures_of_one_job_count_once() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JobId(1), rule(5), job(vec![step(4, &[])]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    let ends = (1..).zip(&runs);
    let ends = ends.map(|(number, &run)| run_end(number, run, EndKind::Failed));
    fleet.report(1, ends_report(ends.collect()));
    fleet.advance(500, &[1]);
    assert_eq!(fleet.take_started(1).len(), 4);
}

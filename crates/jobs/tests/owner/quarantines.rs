//! Workers on which most runs fail.

use hyssop_jobs::{EndKind, JobId, Refusal, Report, RunId};

use crate::stalls::MAX_IDLE_MS;
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

/// Guards against failures of a few jobs that quarantine all workers at once, so that nothing of
/// another job runs although all workers are free.
#[test]
fn job_starts_although_failing_jobs_have_quarantined_all_workers() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    for id in 1..=8 {
        let mut failing = step(2, &[]);
        failing.max_per_worker = 1;
        fleet.submit(JobId(id), rule(1), job(vec![failing]));
    }
    fleet.step(vec![]);
    let running: Vec<_> = [1, 2].map(|session| fleet.take_started(session)).into();
    assert_eq!(running.concat().len(), 16);
    let other = JobId(0xbb);
    for number in 1..=8_u64 {
        for (session, runs) in (1..).zip(&running) {
            let run = runs[number as usize - 1];
            let end = run_end(number, run, EndKind::Failed);
            fleet.report(session, ends_report(vec![end]));
        }
        if number == 4 {
            fleet.submit(other, rule(2), job(vec![step(1, &[])]));
        }
        fleet.advance(300, &[1, 2]);
    }
    fleet.advance(MAX_IDLE_MS - 1_500, &[1, 2]);
    let started = [1, 2].map(|session| fleet.take_started(session)).concat();
    assert!(
        started.iter().any(|run| run.task.job == other),
        "{started:?}"
    );
}

/// Runs four jobs with one task on each worker, which fail on some workers and complete on the
/// others. Then submits another such job and returns the sessions of the workers that it starts on.
fn sessions_in_use(count: u64, failing: &[u64]) -> Vec<u64> {
    let mut fleet = Fleet::new();
    let sessions: Vec<u64> = (1..=count).collect();
    for &session in &sessions {
        let id = format!("i-{session}");
        fleet.connect(session, worker(&id, 1), complete_report(vec![], vec![]));
    }
    let mut on_each = step(count as u32, &[]);
    on_each.max_per_worker = 1;
    for id in 1..=4 {
        fleet.submit(JobId(id), rule(5), job(vec![on_each.clone()]));
    }
    fleet.step(vec![]);
    let runs: Vec<_> = sessions.iter().map(|&id| fleet.take_started(id)).collect();
    for number in 1..=4 {
        for (&session, runs) in sessions.iter().zip(&runs) {
            let kind = match failing.contains(&session) {
                true => EndKind::Failed,
                false => EndKind::Done,
            };
            let end = run_end(number, runs[number as usize - 1], kind);
            fleet.report(session, ends_report(vec![end]));
        }
    }
    let other = JobId(0xbb);
    fleet.submit(other, rule(2), job(vec![on_each]));
    fleet.advance(QUARANTINE_MS - 1_000, &sessions);
    let mut in_use = sessions;
    in_use.retain(|&session| {
        let started = fleet.take_started(session);
        started.iter().any(|run| run.task.job == other)
    });
    in_use
}

/// Guards against a worker that fails everything and goes on getting tasks.
#[test]
fn worker_that_fails_more_than_others_is_quarantined() {
    assert_eq!(sessions_in_use(4, &[2]), vec![1, 3, 4]);
}

/// Guards against quarantines of so many workers that the others cannot run the jobs of the service.
#[test]
fn quarter_of_the_workers_is_quarantined_at_most() {
    assert_eq!(sessions_in_use(7, &[2, 3]).len(), 6);
    assert_eq!(sessions_in_use(8, &[2, 3]), vec![1, 4, 5, 6, 7, 8]);
}

/// Guards against a quarantine of workers on which the same jobs fail as on all others.
#[test]
fn jobs_that_fail_everywhere_quarantine_no_worker() {
    let all: Vec<u64> = (1..=8).collect();
    assert_eq!(sessions_in_use(8, &all), all);
}

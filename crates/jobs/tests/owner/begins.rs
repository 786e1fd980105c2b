//! When a job counts as begun: in the number of waiting jobs and in the state that callers see.

use hyssop_jobs::{CallerRequest, CallerResponse, EndKind, JobId, JobState, Report, RunId};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

/// Time within which what a worker lists is stored, in milliseconds.
const STORED_MS: u64 = 300;

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet
}

/// Submits jobs with these identifiers and returns the runs that the worker is told to start.
fn start(fleet: &mut Fleet, ids: impl Iterator<Item = u64>) -> Vec<RunId> {
    for id in ids {
        fleet.submit(JobId(id), rule(2), job(vec![step(1, &[]), step(1, &[0])]));
    }
    fleet.advance(100, &[1]);
    fleet.take_started(1)
}

fn list(fleet: &mut Fleet, session: u64, runs: &[RunId]) {
    let running = runs.iter().copied().map(run_status).collect();
    let report = Report {
        running: Some(running),
        ..Report::default()
    };
    fleet.report(session, report);
}

fn pending(fleet: &mut Fleet) -> Option<u64> {
    match fleet.request(CallerRequest::Pending("queue".into())) {
        Some(CallerResponse::Pending(count)) => Some(count),
        _ => None,
    }
}

/// Guards against jobs that count as begun because their starts were ordered, while the worker leaves
/// all orders without an answer: callers were told that no job waits while twelve did.
#[test]
fn jobs_with_unanswered_orders_wait() {
    let mut fleet = fleet();
    let runs = start(&mut fleet, 1..=12);
    assert_eq!(runs.len(), 12);
    for _ in 0..5 {
        list(&mut fleet, 1, &[]);
        fleet.advance(400, &[1]);
        assert_eq!(pending(&mut fleet), Some(12));
        assert_eq!(fleet.state(JobId(1)), Some(JobState::Queued));
    }
    list(&mut fleet, 1, &runs[..1]);
    assert_eq!(pending(&mut fleet), Some(11));
    fleet.advance(STORED_MS, &[1]);
    assert_eq!(fleet.state(runs[0].task.job), Some(JobState::Running));
    assert_eq!(fleet.state(runs[1].task.job), Some(JobState::Queued));
}

/// Guards against a job that counts as waiting although a task of it has already ended, without that
/// any report has listed it as running.
#[test]
fn job_of_which_only_an_end_is_listed_has_begun() {
    let mut fleet = fleet();
    let runs = start(&mut fleet, 1..=2);
    let ends = vec![
        run_end(1, runs[0], EndKind::Done),
        run_end(2, runs[1], EndKind::Failed),
    ];
    fleet.report(1, ends_report(ends));
    assert_eq!(pending(&mut fleet), Some(0));
    fleet.advance(STORED_MS, &[1]);
    for run in runs {
        assert_eq!(fleet.state(run.task.job), Some(JobState::Running));
    }
}

/// Guards against a job that was running and counts as waiting again because its worker is lost.
#[test]
fn job_has_begun_for_good() {
    let mut fleet = fleet();
    let runs = start(&mut fleet, 1..=1);
    list(&mut fleet, 1, &runs);
    fleet.advance(STORED_MS, &[1]);
    let lost = Report {
        is_dead: true,
        ..Report::default()
    };
    fleet.report(1, lost);
    fleet.advance(1_000, &[]);
    assert_eq!(pending(&mut fleet), Some(0));
    assert_eq!(fleet.state(JobId(1)), Some(JobState::Running));
}

/// Guards against callers who see a job as running, and as queued after the owner was replaced, before
/// its worker has reported to the later one or because the worker is lost as well.
#[test]
fn later_owner_keeps_a_job_running_that_callers_have_seen_running() {
    let mut fleet = fleet();
    let runs = start(&mut fleet, 1..=1);
    fleet.is_store_up = false;
    list(&mut fleet, 1, &runs);
    fleet.advance(STORED_MS, &[1]);
    assert_eq!(fleet.state(JobId(1)), Some(JobState::Queued));
    let mut early = fleet.successor(2);
    assert_eq!(early.state(JobId(1)), Some(JobState::Queued));
    fleet.is_store_up = true;
    fleet.step(vec![]);
    assert_eq!(fleet.state(JobId(1)), Some(JobState::Running));
    let mut later = fleet.successor(2);
    assert_eq!(later.state(JobId(1)), Some(JobState::Running));
    assert_eq!(pending(&mut later), Some(0));
}

/// Guards against a job that counts as waiting although a later owner has found a run of it.
#[test]
fn adopted_run_begins_its_job() {
    let mut earlier = fleet();
    let runs = start(&mut earlier, 1..=1);
    let mut fleet = earlier.successor(2);
    assert_eq!(pending(&mut fleet), Some(1));
    let listed = vec![run_status(runs[0])];
    fleet.connect(1, worker("i-1", 1), complete_report(listed, vec![]));
    assert_eq!(pending(&mut fleet), Some(0));
    fleet.advance(STORED_MS, &[1]);
    assert_eq!(fleet.state(JobId(1)), Some(JobState::Running));
}

/// Guards against a second line on the first start of a job, and a second count of it, when the order
/// had no effect and is repeated elsewhere.
#[test]
fn first_start_is_logged_once() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    let refused = Report {
        refused: vec![(runs[0], hyssop_jobs::Refusal::Other)],
        ..Report::default()
    };
    fleet.report(1, refused);
    fleet.advance(1_000, &[1]);
    assert_eq!(fleet.take_started(1).len(), 1);
    let text = format!("job {JOB} starts with");
    let lines = fleet.logs.iter().filter(|line| line.contains(&text));
    assert_eq!(lines.count(), 1);
}

//! Detection of stalled jobs: the count, and the log lines that explain them.

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, Input, Report, RunId, StepSpec, WorkerState};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

/// Returns a step of tasks that run until their job is cancelled.
fn service(count: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        is_service: true,
        ..step(count, after)
    }
}

/// Connects a worker and submits a job of one service step, all tasks of which start.
fn service_fleet(count: u32) -> (Fleet, Vec<RunId>) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![service(count, &[])]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), count as usize);
    (fleet, runs)
}

/// Lists runs every 400 ms for some time.
fn list_runs(fleet: &mut Fleet, runs: &[RunId], millis: u64) {
    for _ in 0..millis / 400 {
        let running = Some(runs.iter().map(|&run| run_status(run)).collect());
        fleet.report(
            1,
            Report {
                running,
                ..Report::default()
            },
        );
        fleet.advance(400, &[1]);
    }
}

fn stall_lines(fleet: &Fleet) -> Vec<&String> {
    let lines = fleet.logs.iter();
    lines
        .filter(|line| line.contains("has no running"))
        .collect()
}

/// Guards against a service task that is assigned and runs nowhere, unnoticed because other tasks of
/// its job run.
#[test]
fn service_task_that_no_worker_lists_counts_as_stalled() {
    let (mut fleet, runs) = service_fleet(3);
    list_runs(&mut fleet, &runs, 2_000);
    list_runs(&mut fleet, &runs[..2], 4_000);
    assert_eq!(fleet.owner.stalled_jobs(), 0);
    list_runs(&mut fleet, &runs[..2], 2_000);
    assert_eq!(fleet.owner.stalled_jobs(), 1);
    let lines = stall_lines(&fleet);
    let text = "has no running service task 2 ";
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains(text), "{lines:?}");
    assert!(lines[0].contains("assigned=1 on=i-1 cause=unlisted"));
    list_runs(&mut fleet, &runs, 1_200);
    assert_eq!(fleet.owner.stalled_jobs(), 0);
}

/// Guards against a service task that waits for a worker, unnoticed because others of its job run.
#[test]
fn service_task_that_waits_counts_as_stalled() {
    let (mut fleet, runs) = service_fleet(2);
    list_runs(&mut fleet, &runs, 400);
    let mut closed = worker("i-1", 1);
    closed.state = WorkerState::Draining;
    fleet.step(vec![Input::WorkerChanged {
        session: 1,
        worker: closed,
    }]);
    fleet.report(1, ends_report(vec![run_end(1, runs[1], EndKind::Failed)]));
    list_runs(&mut fleet, &runs[..1], 6_000);
    assert_eq!(fleet.owner.stalled_jobs(), 1);
    let lines = stall_lines(&fleet);
    assert!(lines[0].contains("has no running service task 1 "));
    assert!(lines[0].contains("waiting=1 assigned=0 on= cause=capacity"));
}

/// Guards against a service task that counts as stalled while the step before it runs, or as soon as
/// that is complete.
#[test]
fn service_task_stalls_only_after_the_step_before_it() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut first = step(1, &[]);
    first.estimate = Millis(20_000);
    fleet.submit(JOB, rule(2), job(vec![first, service(1, &[0])]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    list_runs(&mut fleet, &runs, 12_000);
    assert_eq!(fleet.owner.stalled_jobs(), 0);
    fleet.report(1, ends_report(vec![run_end(1, runs[0], EndKind::Done)]));
    fleet.advance(1_000, &[1]);
    assert_eq!(fleet.owner.stalled_jobs(), 0);
    fleet.advance(2_000, &[1]);
    assert_eq!(fleet.owner.stalled_jobs(), 1);
    assert!(stall_lines(&fleet)[0].contains("step=1 waiting=0 assigned=1 on=i-1 cause=unlisted"));
}

/// Guards against inherited service tasks that count as stalled before their workers have had time
/// to report to the new owner.
#[test]
fn inherited_service_task_stalls_from_the_takeover_on() {
    let (mut fleet, runs) = service_fleet(2);
    list_runs(&mut fleet, &runs, 8_000);
    let mut later = fleet.successor(2);
    later.advance(600, &[]);
    assert_eq!(later.owner.stalled_jobs(), 0);
}

/// Guards against a flood of lines, and against lines that name all workers of a large step.
#[test]
fn line_on_a_stalled_job_names_three_workers_at_most() {
    let mut fleet = Fleet::new();
    let sessions = [1, 2, 3, 4, 5];
    for session in sessions {
        let id = format!("i-{session}");
        fleet.connect(session, worker(&id, 1), complete_report(vec![], vec![]));
    }
    let mut spread = step(5, &[]);
    spread.max_per_worker = 1;
    fleet.submit(JOB, rule(2), job(vec![spread]));
    fleet.advance(4_000, &sessions);
    let lines = stall_lines(&fleet);
    assert_eq!(lines.len(), 1, "{lines:?}");
    assert!(lines[0].contains("waiting=0 assigned=5 on=i-1,i-2,i-3 cause=unlisted"));
    fleet.advance(4_000, &sessions);
    assert_eq!(stall_lines(&fleet).len(), 2);
}

/// Guards against jobs that count as stalled as soon as a slow store has accepted them: seed 52090002
/// of the soak logged a job 0.2 s after its acceptance.
#[test]
fn job_stalls_only_after_its_acceptance_is_stored() {
    for spec in [step(1, &[]), service(1, &[])] {
        let mut fleet = Fleet::new();
        fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
        fleet.is_store_up = false;
        fleet.submit(JOB, rule(2), job(vec![spec]));
        fleet.advance(6_000, &[1]);
        assert_eq!(fleet.owner.stalled_jobs(), 0);
        fleet.is_store_up = true;
        fleet.advance(1_000, &[1]);
        assert_eq!(fleet.take_started(1).len(), 1);
        assert_eq!(fleet.owner.stalled_jobs(), 0);
        fleet.advance(2_000, &[1]);
        assert_eq!(fleet.owner.stalled_jobs(), 1);
    }
}

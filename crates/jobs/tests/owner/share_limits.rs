//! What the minimum shares of idle best-effort jobs must not do, and service tasks that get one.

use hyssop_jobs::{JobId, Refusal, Report};

use crate::stalls::{best_effort, progress_report};
use crate::support::{Fleet, JOB, complete_report, job, rule, step, worker};

/// Time without a run after which a best-effort job may use its share, in milliseconds, and a margin.
const SHARE_WAIT_MS: u64 = 2_500;
/// Pause of a task after a refusal, in milliseconds.
const RETRY_DELAY_MS: u64 = 150;

/// Guards against a share that is given to a job of an earlier owner while a run of the task may
/// still exist on a worker that has not reported, so that it runs twice.
#[test]
fn share_of_an_inherited_job_waits_for_the_takeover() {
    let mut earlier = Fleet::new();
    earlier.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    earlier.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    earlier.submit(JOB, rule(2), job(vec![best_effort(1, 2_000)]));
    let mut fleet = earlier.successor(2);
    fleet.connect(3, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.advance(SHARE_WAIT_MS, &[3]);
    assert_eq!(fleet.take_started(3), vec![]);
    fleet.connect(4, worker("i-2", 1), complete_report(vec![], vec![]));
    let started = [3, 4].map(|session| fleet.take_started(session)).concat();
    assert_eq!(started.len(), 1);
}

/// Guards against a share that is given to a job before its acceptance is stored: a later owner would
/// not know of its run.
#[test]
fn share_waits_until_the_acceptance_is_stored() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.is_store_up = false;
    fleet.submit(JOB, rule(2), job(vec![best_effort(1, 2_000)]));
    fleet.advance(SHARE_WAIT_MS, &[1]);
    assert_eq!(fleet.take_started(1), vec![]);
    fleet.is_store_up = true;
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a task that was refused and is started for the share at once elsewhere, so that
/// refusals by all workers cause starts in a tight loop.
#[test]
fn share_waits_for_the_pause_after_a_refusal() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.submit(JobId(1), rule(2), job(vec![best_effort(16, 2_000)]));
    fleet.step(vec![]);
    let busy = [1, 2].map(|session| fleet.take_started(session));
    assert_eq!(busy.concat().len(), 16);
    fleet.submit(JOB, rule(2), job(vec![best_effort(1, 2_000)]));
    let mut started = [vec![], vec![]];
    for percent_done in 1..=SHARE_WAIT_MS as u32 / 100 {
        for (session, runs) in (1..).zip(&busy) {
            fleet.report(session, progress_report(runs, percent_done));
        }
        fleet.advance(100, &[1, 2]);
        started = [1, 2].map(|session| fleet.take_started(session));
        if !started.concat().is_empty() {
            break;
        }
    }
    let (refusing, other) = if started[0].is_empty() {
        (2, 1)
    } else {
        (1, 2)
    };
    let refusal = Report {
        refused: vec![(started.concat()[0], Refusal::NoRoom)],
        ..Report::default()
    };
    fleet.report(refusing, refusal);
    let refused_at = fleet.now;
    while fleet.now < refused_at + RETRY_DELAY_MS - 1 {
        fleet.step(vec![]);
        let started = [1, 2].map(|session| fleet.take_started(session)).concat();
        assert_eq!(started, vec![]);
    }
    fleet.advance(200, &[1, 2]);
    assert_eq!(fleet.take_started(other).len(), 1);
}

/// Guards against a best-effort service task that never starts because another task of its job runs:
/// callers may see each service task away for 6 s.
#[test]
fn each_best_effort_service_task_starts() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![best_effort(8, 2_000)]));
    fleet.step(vec![]);
    let busy = fleet.take_started(1);
    assert_eq!(busy.len(), 8);
    let other = JobId(0xbb);
    let mut service = best_effort(2, 2_000);
    service.is_service = true;
    fleet.submit(other, rule(2), job(vec![service]));
    let mut started = Vec::new();
    for percent_done in 1..=20 {
        fleet.report(1, progress_report(&busy, percent_done));
        fleet.advance(400, &[1]);
        started.extend(fleet.take_started(1));
    }
    let started = started.iter().filter(|run| run.task.job == other);
    assert_eq!(started.count(), 2);
}

/// Guards against a best-effort service task that never starts because most of the service's capacity
/// is reserved: callers may see it away for 6 s, however full the service is.
#[test]
fn best_effort_service_task_starts_in_a_full_service() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut service = step(24, &[]);
    service.is_service = true;
    fleet.submit(JobId(1), rule(2), job(vec![service]));
    fleet.submit(JobId(2), rule(2), job(vec![best_effort(2, 2_000)]));
    fleet.step(vec![]);
    let busy = fleet.take_started(1);
    assert_eq!(busy.len(), 26);
    let mut service = best_effort(1, 2_000);
    service.is_service = true;
    fleet.submit(JOB, rule(2), job(vec![service]));
    let mut started = Vec::new();
    for percent_done in 1..=15 {
        fleet.report(1, progress_report(&busy, percent_done));
        fleet.advance(400, &[1]);
        started.extend(fleet.take_started(1));
    }
    let started = started.iter().filter(|run| run.task.job == JOB);
    assert_eq!(started.count(), 1);
}

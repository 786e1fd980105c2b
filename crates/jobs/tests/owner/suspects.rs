//! Starts of tasks under which workers have crashed.

use hyssop_jobs::{JobId, JobState, StepSpec};

use crate::crashes::{
    MAX_IDLE_MS, OTHER, crash_report, fleet_with_workers, list_report, next_start, take_starts_of,
};
use crate::support::{Fleet, JOB, complete_report, job, rule, step, worker};

/// Guards against a probation that keeps other tasks from a worker for longer than its bound, when
/// the worker lists nothing.
#[test]
fn probation_does_not_block_others_for_long() {
    let mut fleet = fleet_with_workers(2);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let (session, _) = next_start(&mut fleet, &[1, 2], MAX_IDLE_MS).expect("start");
    fleet.report(session, crash_report());
    let other = 3 - session;
    let (_, run) = next_start(&mut fleet, &[other], MAX_IDLE_MS).expect("start apart");
    fleet.submit(OTHER, rule(5), job(vec![step(1, &[])]));
    fleet.advance(300, &[other]);
    assert_eq!(fleet.take_started(other), vec![], "{run} is on probation");
    fleet.advance(900, &[other]);
    assert_eq!(fleet.take_started(other).len(), 1);
}

/// Guards against a suspect that waits without end for a worker of its own, because others start on
/// all workers all the time.
#[test]
fn suspect_starts_on_a_busy_worker_after_its_wait() {
    let mut fleet = fleet_with_workers(2);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let (session, _) = next_start(&mut fleet, &[1, 2], MAX_IDLE_MS).expect("start");
    fleet.report(session, crash_report());
    let other = 3 - session;
    // The worker lists nothing, so that it is never known to be free of others.
    for number in 0..30 {
        fleet.submit(JobId(0x100 + number), rule(5), job(vec![step(1, &[])]));
        fleet.advance(100, &[other]);
    }
    let started = fleet.take_started(other);
    assert!(started.iter().any(|run| run.task.job == JOB), "{started:?}");
}

/// Guards against innocent tasks that wait one after the other although one run of their step has
/// shown that the step does not crash its workers.
#[test]
fn tasks_of_an_innocent_job_start_together_once_one_has_settled() {
    let mut fleet = fleet_with_workers(4);
    let spread = StepSpec {
        max_per_worker: 1,
        ..step(4, &[])
    };
    fleet.submit(JOB, rule(5), job(vec![spread]));
    fleet.step(vec![]);
    for session in 1..=4 {
        assert_eq!(fleet.take_started(session).len(), 1);
        fleet.report(session, crash_report());
    }
    let sessions = [11, 12, 13, 14];
    for session in sessions {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    let (first, run) = next_start(&mut fleet, &sessions, MAX_IDLE_MS).expect("start");
    fleet.advance(200, &sessions);
    assert_eq!(take_starts_of(&mut fleet, &sessions, JOB), 0);
    fleet.advance(400, &sessions);
    fleet.report(first, list_report(&[run]));
    let mut started = 0;
    for _ in 0..3 {
        for session in sessions.into_iter().filter(|&session| session != first) {
            fleet.report(session, list_report(&[]));
        }
        fleet.advance(50, &sessions);
        started += take_starts_of(&mut fleet, &sessions, JOB);
    }
    assert_eq!(started, 3);
}

/// Lets two workers crash under the tasks of two jobs, and a third under the task of [`JOB`] alone,
/// which shows it to be the cause. The fleet has no workers after that.
fn crash_beside_the_cause(innocent: JobId) -> Fleet {
    let mut fleet = fleet_with_workers(1);
    for id in [JOB, innocent] {
        fleet.submit(id, rule(5), job(vec![step(1, &[])]));
    }
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 2);
    fleet.report(1, crash_report());
    for session in 2..=3 {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
        fleet.advance(100, &[session]);
        assert_eq!(take_starts_of(&mut fleet, &[session], JOB), 1);
        fleet.report(session, crash_report());
    }
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
    fleet
}

/// Checks that the task of a job starts on a new worker, and another one beside it at once.
fn check_not_apart(fleet: &mut Fleet, innocent: JobId) {
    let info = worker("i-9", 1);
    fleet.connect(9, info, complete_report(vec![], vec![]));
    fleet.advance(100, &[9]);
    assert_eq!(take_starts_of(fleet, &[9], innocent), 1);
    fleet.submit(OTHER, rule(5), job(vec![step(1, &[])]));
    fleet.advance(100, &[9]);
    assert_eq!(take_starts_of(fleet, &[9], OTHER), 1);
}

/// Guards against tasks that go on counting as suspects, and take workers from others, because of
/// crashes of which another task has been shown to be the cause.
#[test]
fn crash_is_taken_back_once_its_cause_is_known() {
    let innocent = JobId(0xfff);
    let mut fleet = crash_beside_the_cause(innocent);
    check_not_apart(&mut fleet, innocent);
}

/// Guards against a later owner that does not know that such a crash was taken back.
#[test]
fn later_owner_knows_that_a_crash_was_taken_back() {
    let innocent = JobId(0xfff);
    let mut fleet = crash_beside_the_cause(innocent);
    fleet.advance(300, &[]);
    let mut next = fleet.successor(2);
    next.advance(300, &[]);
    check_not_apart(&mut next, innocent);
}

/// Guards against a task that is given up because of another one that has waited for long and joins
/// it on its worker, although it would be given up after one more crash.
#[test]
fn nothing_joins_a_task_that_may_be_given_up() {
    let mut fleet = Fleet::new();
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    // Nothing lists the runs, so that none of these crashes is certain.
    for session in 1..=4 {
        let mut info = worker(&format!("i-{session}"), session);
        info.address = "i-1:8080".into();
        if session == 4 {
            info.labels.push("b".into());
        }
        fleet.connect(session, info, complete_report(vec![], vec![]));
        if session < 4 {
            let started = next_start(&mut fleet, &[session], MAX_IDLE_MS);
            assert!(started.is_some(), "start {session}");
        }
        if session == 3 {
            let labelled = StepSpec {
                label: Some("b".into()),
                ..step(1, &[])
            };
            fleet.submit(OTHER, rule(5), job(vec![labelled]));
            fleet.advance(3_000, &[3]);
        }
    }
    fleet.step(vec![]);
    let started = fleet.take_started(4);
    assert_eq!(started.len(), 1, "{started:?}");
    let run = started[0];
    assert_eq!(run.task.job, JOB);
    fleet.advance(600, &[4]);
    assert_eq!(fleet.take_started(4), vec![]);
    fleet.report(4, list_report(&[run]));
    fleet.advance(100, &[4]);
    assert_eq!(take_starts_of(&mut fleet, &[4], OTHER), 1);
}

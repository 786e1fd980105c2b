//! Limit on the workers that crash under one task.

use hyssop_jobs::{EndKind, JobId, JobState, OccurrenceProgress, Report, RunId, StepSpec};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

/// Job that runs beside the one under test.
pub(crate) const OTHER: JobId = JobId(0xbb);
/// Time within which a ready task has to start while there is room, in milliseconds.
pub(crate) const MAX_IDLE_MS: u64 = 3_000;

pub(crate) fn crash_report() -> Report {
    Report {
        is_dead: true,
        has_crashed: true,
        ..Report::default()
    }
}

pub(crate) fn list_report(runs: &[RunId]) -> Report {
    Report {
        running: Some(runs.iter().map(|&run| run_status(run)).collect()),
        ..Report::default()
    }
}

/// Returns a fleet with workers `i-1` to `i-<count>`, whose sessions have the same numbers.
pub(crate) fn fleet_with_workers(count: u64) -> Fleet {
    let mut fleet = Fleet::new();
    for session in 1..=count {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    fleet
}

/// Lets the workers of these sessions list no runs, and returns the first start that is ordered
/// within `millis`, with its session.
pub(crate) fn next_start(fleet: &mut Fleet, sessions: &[u64], millis: u64) -> Option<(u64, RunId)> {
    for _ in 0..millis.div_ceil(100) {
        for &session in sessions {
            if let Some(&run) = fleet.take_started(session).first() {
                return Some((session, run));
            }
            fleet.report(session, list_report(&[]));
        }
        fleet.advance(100, sessions);
    }
    None
}

/// Lets the workers of these sessions crash one after the other under the only run. Returns the
/// number of starts.
pub(crate) fn crash_each(fleet: &mut Fleet, sessions: &[u64]) -> usize {
    let mut alive = sessions.to_vec();
    let mut starts = 0;
    while let Some((session, _)) = next_start(fleet, &alive, MAX_IDLE_MS) {
        starts += 1;
        fleet.advance(100, &alive);
        fleet.report(session, crash_report());
        alive.retain(|&other| other != session);
    }
    starts
}

/// Returns how many runs of a job these sessions were ordered to start since the last call.
pub(crate) fn take_starts_of(fleet: &mut Fleet, sessions: &[u64], id: JobId) -> usize {
    let started = sessions.iter().flat_map(|&s| fleet.take_started(s));
    started.filter(|run| run.task.job == id).count()
}

/// Guards against a task that crashes every worker that starts it and is started again without end.
#[test]
fn task_that_crashes_every_worker_is_given_up() {
    let mut fleet = fleet_with_workers(9);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let starts = crash_each(&mut fleet, &[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    assert!((2..=3).contains(&starts), "{starts} starts");
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against a later owner that counts the crashes anew, so that every owner lets a task crash
/// as many workers.
#[test]
fn later_owner_knows_the_crashes() {
    let mut fleet = fleet_with_workers(1);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 1);
    fleet.report(1, crash_report());
    fleet.advance(300, &[]);
    let mut next = fleet.successor(2);
    for session in 2..=6 {
        let info = worker(&format!("i-{session}"), 1);
        next.connect(session, info, complete_report(vec![], vec![]));
    }
    let starts = crash_each(&mut next, &[2, 3, 4, 5, 6]);
    assert_eq!(starts, 1);
    assert_eq!(next.state(JOB), Some(JobState::Failed));
}

/// Guards against stored progress of an earlier version that cannot be read.
#[test]
fn progress_without_crashes_is_read() {
    let text = r#"{"number":0,"done":[[0]],"fails":[],"saved":[]}"#;
    let progress: OccurrenceProgress = serde_json::from_str(text).unwrap();
    assert_eq!(progress.crashed_runs, vec![]);
}

fn service_step() -> StepSpec {
    StepSpec {
        is_service: true,
        max_unavailable: Some(1),
        ..step(1, &[])
    }
}

/// Guards against crashes that a service task collects over its long life, although others cause
/// them.
#[test]
fn service_task_that_has_run_for_long_is_not_blamed() {
    let mut fleet = fleet_with_workers(6);
    fleet.submit(JOB, rule(5), job(vec![service_step()]));
    let mut alive: Vec<u64> = (1..=6).collect();
    for _ in 0..5 {
        let (session, run) = next_start(&mut fleet, &alive, MAX_IDLE_MS).expect("start");
        for _ in 0..26 {
            fleet.report(session, list_report(&[run]));
            fleet.advance(400, &alive);
        }
        fleet.report(session, crash_report());
        alive.retain(|&other| other != session);
    }
    assert!(next_start(&mut fleet, &alive, MAX_IDLE_MS).is_some());
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
}

/// Guards against a service task that crashes workers soon after each start and is started without
/// end, because service tasks have no limit on their failures.
#[test]
fn service_task_that_crashes_workers_is_given_up() {
    let mut fleet = fleet_with_workers(9);
    fleet.submit(JOB, rule(5), job(vec![service_step()]));
    let starts = crash_each(&mut fleet, &[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    assert!((2..=3).contains(&starts), "{starts} starts");
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against a gang that crashes workers and is started without end.
#[test]
fn gang_that_crashes_workers_is_given_up() {
    let mut fleet = fleet_with_workers(12);
    let gang = StepSpec {
        is_gang: true,
        max_per_worker: 1,
        ..step(2, &[])
    };
    fleet.submit(JOB, rule(5), job(vec![gang]));
    let mut alive: Vec<u64> = (1..=12).collect();
    let mut starts = 0;
    while let Some((session, run)) = next_start(&mut fleet, &alive, MAX_IDLE_MS) {
        starts += 1;
        alive.retain(|&other| other != session);
        fleet.advance(100, &alive);
        fleet.report(session, crash_report());
        // The other member has started, too, and breaks.
        let mut others = alive.iter().copied();
        let other = others.find_map(|other| Some((other, *fleet.take_started(other).first()?)));
        if let Some((other, run)) = other {
            let number = starts as u64;
            fleet.report(
                other,
                ends_report(vec![run_end(number, run, EndKind::GangBroken)]),
            );
        }
        assert!(starts < 9, "{run} is started again");
    }
    assert!((2..=3).contains(&starts), "{starts} starts");
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against a task that crashes its worker two seconds after the start, when nothing tells it
/// from others, and is started without end.
#[test]
fn task_that_crashes_workers_late_is_given_up() {
    let mut fleet = fleet_with_workers(9);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut alive: Vec<u64> = (1..=9).collect();
    let mut starts = 0;
    while let Some((session, run)) = next_start(&mut fleet, &alive, MAX_IDLE_MS) {
        starts += 1;
        for _ in 0..5 {
            fleet.report(session, list_report(&[run]));
            fleet.advance(400, &alive);
        }
        fleet.report(session, crash_report());
        alive.retain(|&other| other != session);
        assert!(starts < 9, "{run} is started again");
    }
    assert_eq!(starts, 3);
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

//! Ends of workers that count as crashes of their runs, and those that do not.

use hyssop_jobs::{EndKind, Input, JobState, Report, RunId, WorkerState};

use crate::crashes::{MAX_IDLE_MS, crash_report, fleet_with_workers, list_report, next_start};
use crate::support::{Fleet, JOB, complete_report, ends_report, job, rule, run_end, step, worker};

/// Guards against crashes that are seen only by the next process at the worker's address, with the
/// same or another identifier, and do not count.
#[test]
fn later_process_at_the_address_shows_a_crash() {
    let mut fleet = fleet_with_workers(1);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut session = 1;
    let mut starts = 0;
    while let Some((_, run)) = next_start(&mut fleet, &[session], MAX_IDLE_MS) {
        starts += 1;
        assert!(starts < 9, "{run} is started again");
        fleet.report(session, list_report(&[run]));
        session += 1;
        let id = if starts % 2 == 0 { "i-1" } else { "i-2" };
        let mut info = worker(id, session);
        info.address = "i-1:8080".into();
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    assert!((2..=3).contains(&starts), "{starts} starts");
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Ends workers under the only run, in a way that is no crash, and checks that the job goes on.
fn check_not_counted(mut end: impl FnMut(&mut Fleet, u64)) {
    let mut fleet = fleet_with_workers(8);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut alive: Vec<u64> = (1..=8).collect();
    for _ in 0..7 {
        let started = next_start(&mut fleet, &alive, MAX_IDLE_MS);
        let Some((session, _)) = started else {
            panic!("not started, state {:?}", fleet.state(JOB));
        };
        fleet.advance(100, &alive);
        alive.retain(|&other| other != session);
        end(&mut fleet, session);
    }
    assert!(next_start(&mut fleet, &alive, MAX_IDLE_MS).is_some());
    let is_counted = |line: &String| line.contains("crashed with worker");
    assert!(!fleet.logs.iter().any(is_counted), "{:?}", fleet.logs);
}

/// Guards against a planned end of a worker, or one of which the agent knows no cause, that counts
/// as a crash.
#[test]
fn deregistered_worker_is_no_crash() {
    check_not_counted(|fleet, session| {
        let report = Report {
            is_dead: true,
            ..Report::default()
        };
        fleet.report(session, report);
    });
}

/// Guards against a draining worker that ends as planned and counts as crashed.
#[test]
fn draining_worker_is_no_crash() {
    check_not_counted(|fleet, session| {
        let mut info = worker(&format!("i-{session}"), 1);
        info.state = WorkerState::Draining;
        fleet.step(vec![Input::WorkerChanged {
            session,
            worker: info,
        }]);
        fleet.report(session, crash_report());
    });
}

/// Guards against a worker that does not respond and counts as crashed when its lease has ended.
#[test]
fn expired_lease_is_no_crash() {
    let mut fleet = fleet_with_workers(3);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    for session in 1..=2 {
        let started = next_start(&mut fleet, &[1, 2, 3], MAX_IDLE_MS);
        let Some((silent, _)) = started else {
            panic!("not started in round {session}");
        };
        let alive: Vec<u64> = (1..=3).filter(|&other| other != silent).collect();
        fleet.advance(5_000, &alive);
        let info = worker(&format!("i-{silent}"), 1);
        fleet.connect(silent, info, complete_report(vec![], vec![]));
    }
    assert!(!matches!(fleet.state(JOB), Some(JobState::Failed)));
    let is_counted = |line: &String| line.contains("crashed with worker");
    assert!(!fleet.logs.iter().any(is_counted), "{:?}", fleet.logs);
}

/// Guards against an innocent task that is given up because its rack was lost: it starts again on a
/// worker that has been lost, too, and whose agent has not noticed yet.
#[test]
fn task_is_not_blamed_for_workers_lost_at_the_same_time() {
    let mut fleet = fleet_with_workers(6);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let all: Vec<u64> = (1..=6).collect();
    let (first, _) = next_start(&mut fleet, &all, MAX_IDLE_MS).expect("start");
    // Five workers are lost; their agents notice it 50 ms one after the other.
    for session in [first].into_iter().chain(all.iter().copied()) {
        if session != 6 || first == 6 {
            fleet.report(session, crash_report());
            fleet.now += 50;
            fleet.step(vec![Input::OwnershipRenewed(hyssop_core::Millis(
                fleet.now,
            ))]);
        }
    }
    assert!(!matches!(fleet.state(JOB), Some(JobState::Failed)));
}

/// Guards against a job that is reported as failed although only one worker has crashed under it: the
/// start on the other one had not reached it.
#[test]
fn start_that_has_not_reached_its_worker_is_not_blamed() {
    let mut fleet = fleet_with_workers(5);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut alive = vec![1, 2, 3, 4, 5];
    let mut reached = 0;
    for crash in 0..4 {
        let Some((session, run)) = next_start(&mut fleet, &alive, MAX_IDLE_MS) else {
            break;
        };
        // The first start is refused, the second one is not answered, the others are confirmed.
        let crashed_runs = match crash {
            0 => vec![],
            1 => vec![(run, false)],
            _ => vec![(run, true)],
        };
        reached += usize::from(crash > 0);
        fleet.report(
            session,
            Report {
                crashed_runs: Some(crashed_runs),
                ..crash_report()
            },
        );
        alive.retain(|&other| other != session);
        let is_failed = fleet.state(JOB) == Some(JobState::Failed);
        assert!(!is_failed || reached >= 2, "failed after {reached}");
    }
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Returns the report of a worker that has crashed under a run, and whether the run was certainly there.
fn crash_under(run: RunId, is_certain: bool) -> Report {
    Report {
        crashed_runs: Some(vec![(run, is_certain)]),
        ..crash_report()
    }
}

/// Lets the worker of each start crash under it, and returns the number of starts until none follows.
/// The worker has answered the starts at these positions.
fn crash_under_each(fleet: &mut Fleet, sessions: &[u64], answered: &[usize]) -> usize {
    let mut alive = sessions.to_vec();
    let mut starts = 0;
    while let Some((session, run)) = next_start(fleet, &alive, MAX_IDLE_MS) {
        fleet.report(session, crash_under(run, answered.contains(&starts)));
        alive.retain(|&other| other != session);
        starts += 1;
    }
    starts
}

/// Guards against a job that is shown as failed after one crash under its task: a second worker has
/// crashed without having answered the start of the next run, which was apart from others.
#[test]
fn unanswered_start_apart_from_others_is_not_blamed() {
    let mut fleet = fleet_with_workers(5);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut alive = vec![1, 2, 3, 4, 5];
    for is_certain in [true, false] {
        let start = next_start(&mut fleet, &alive, MAX_IDLE_MS);
        let (session, run) = start.expect("start");
        fleet.report(session, crash_under(run, is_certain));
        alive.retain(|&other| other != session);
    }
    assert!(fleet.logs.iter().any(|line| line.contains("apart=true")));
    let start = next_start(&mut fleet, &alive, MAX_IDLE_MS);
    let (session, run) = start.expect("the task starts again");
    fleet.report(session, list_report(&[run]));
    fleet.report(session, ends_report(vec![run_end(1, run, EndKind::Done)]));
    fleet.advance(300, &alive);
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
}

/// Guards against the same after a change of owners: the later one has to know which of the crashes
/// were certain.
#[test]
fn later_owner_blames_no_unanswered_start() {
    let mut fleet = fleet_with_workers(2);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    assert_eq!(crash_under_each(&mut fleet, &[1, 2], &[]), 2);
    let mut next = fleet.successor(2);
    for session in 3..=7 {
        let info = worker(&format!("i-{session}"), 1);
        next.connect(session, info, complete_report(vec![], vec![]));
    }
    let starts = crash_under_each(&mut next, &[3, 4, 5, 6, 7], &[0, 1]);
    assert_eq!(starts, 2, "one certain crash is not enough, two are");
    assert_eq!(next.state(JOB), Some(JobState::Failed));
}

/// Guards against a task that is started without end because it crashes each worker before that can
/// answer its start, so that no crash is certain. Callers forbid three more starts after three crashes,
/// and a change of owners can hide one crash.
#[test]
fn task_that_crashes_workers_before_they_answer_is_given_up() {
    let mut fleet = fleet_with_workers(9);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let starts = crash_under_each(&mut fleet, &[1, 2, 3, 4, 5, 6, 7, 8, 9], &[]);
    assert_eq!(starts, 4);
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against the same when some of the starts are answered: two certain crashes are enough, and
/// the limit on all crashes holds with fewer.
#[test]
fn answered_and_unanswered_starts_count_together() {
    for (answered, expected) in [(&[0, 2][..], 3), (&[0, 1], 2), (&[0], 4), (&[3], 4)] {
        let mut fleet = fleet_with_workers(9);
        fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
        let starts = crash_under_each(&mut fleet, &[1, 2, 3, 4, 5, 6, 7, 8, 9], answered);
        assert_eq!(starts, expected, "answered {answered:?}");
        assert_eq!(fleet.state(JOB), Some(JobState::Failed));
    }
}

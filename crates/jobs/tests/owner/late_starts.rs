//! Starts without an answer that a later incarnation of their worker may still execute.

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, Input, JobState, LateStartCause, Refusal, Report, Resources, RunId, WorkerInfo,
    WorkerState,
};

use crate::support::{Fleet, JOB, complete_report, job, rule, run_end, run_status, step, worker};

/// Time for which the starts may be executed, as the agent reports it.
const REMAINING: Millis = Millis(8_000);

/// Creates an owner with one job, whose two tasks were ordered to worker i-1, and an idle worker i-2.
fn fleet_with_runs() -> (Fleet, Vec<RunId>) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 5), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(9), job(vec![step(2, &[])]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 2);
    fleet.connect(2, worker("i-2", 5), complete_report(vec![], vec![]));
    (fleet, runs)
}

/// Reports that worker i-1 is lost, and that one of its starts may still be executed.
fn lose_worker(fleet: &mut Fleet, late: RunId) {
    let report = Report {
        is_dead: true,
        late_starts: vec![(late, REMAINING)],
        ..Report::default()
    };
    fleet.report(1, report);
}

/// Connects the next incarnation of worker i-1, which runs nothing and refuses a late start. It has less
/// room than worker i-2, which tasks prefer.
fn connect_restarted(fleet: &mut Fleet, void: Option<RunId>) {
    let report = Report {
        void_starts: void.into_iter().map(|run| (run, REMAINING)).collect(),
        ..complete_report(vec![], vec![])
    };
    let info = WorkerInfo {
        capacity: Resources {
            cpu: 1_000,
            mem: 1_000,
            gpu: 0,
        },
        ..worker("i-1", 6)
    };
    fleet.connect(3, info, report);
}

/// Guards against two runs of one task: the worker was lost, and a start without an answer was executed
/// by the next process under its identifier. Also guards against a wait of the other tasks.
#[test]
fn task_of_a_lost_worker_waits_while_its_start_may_be_executed() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    let started = fleet.take_started(2);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task, runs[1].task);
    fleet.advance(REMAINING.0 - 500, &[2]);
    assert!(fleet.take_started(2).is_empty());
    fleet.advance(1_000, &[2]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against waits for late starts that operators do not see: their number, their duration and their
/// cause, also while they last. A task that does not wait counts for nothing.
#[test]
fn waits_for_late_starts_are_counted_by_cause() {
    let causes = [
        (vec![], LateStartCause::Unanswered),
        (vec![0, 1], LateStartCause::UnknownIncarnation),
    ];
    for (answered, cause) in causes {
        let (mut fleet, runs) = fleet_with_runs();
        let report = Report {
            is_dead: true,
            late_starts: vec![(runs[0], REMAINING)],
            answered_starts: answered.into_iter().map(|n: usize| runs[n]).collect(),
            ..Report::default()
        };
        fleet.report(1, report);
        fleet.advance(2_000, &[2]);
        assert_eq!(fleet.late_start_waits, []);
        let longest = fleet.owner.longest_late_start_wait();
        assert!((2_000..2_100).contains(&longest.0), "{longest:?}");
        fleet.advance(7_000, &[2]);
        let [(counted, time)] = fleet.late_start_waits[..] else {
            panic!("{:?}", fleet.late_start_waits);
        };
        assert_eq!(counted, cause);
        assert!(
            time >= REMAINING && time <= REMAINING + Millis(200),
            "{time:?}"
        );
        assert_eq!(fleet.owner.longest_late_start_wait(), Millis(0));
    }
}

/// Guards against a crashed worker's tasks that wait although all their starts were answered.
#[test]
fn tasks_of_a_lost_worker_start_at_once_without_late_starts() {
    let (mut fleet, _) = fleet_with_runs();
    let report = Report {
        is_dead: true,
        ..Report::default()
    };
    fleet.report(1, report);
    assert_eq!(fleet.take_started(2).len(), 2);
}

/// Guards against a task that waits although the restarted worker refuses the late start: the first
/// call of its session had a higher token. Also guards against two runs of one task: the task started
/// elsewhere, the restarted worker crashed, and its next process executed the late start. The agent
/// may have restarted, too, and name no starts.
#[test]
fn complete_report_of_the_restarted_worker_ends_the_wait() {
    for void_starts in [true, false] {
        let (mut fleet, runs) = fleet_with_runs();
        lose_worker(&mut fleet, runs[0]);
        fleet.take_started(2);
        connect_restarted(&mut fleet, void_starts.then_some(runs[0]));
        fleet.advance(200, &[2, 3]);
        assert_eq!(fleet.take_started(3), [runs[0]]);
        assert!(fleet.take_started(2).is_empty());
    }
}

/// Guards against two runs of one task: the restarted worker, which refused the late start, crashed in
/// turn, and its next process executed the start while the task ran elsewhere.
#[test]
fn late_start_that_is_executed_after_two_restarts_is_adopted() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    fleet.take_started(2);
    connect_restarted(&mut fleet, Some(runs[0]));
    fleet.advance(200, &[2, 3]);
    let report = Report {
        is_dead: true,
        late_starts: vec![(runs[0], REMAINING)],
        ..Report::default()
    };
    fleet.report(3, report);
    fleet.advance(3_000, &[2]);
    assert!(fleet.take_started(2).is_empty());
    let report = complete_report(vec![run_status(runs[0])], vec![]);
    fleet.connect(4, worker("i-1", 7), report);
    fleet.advance(REMAINING.0 + 1_000, &[2, 4]);
    assert!(fleet.take_started(2).is_empty());
    assert!(fleet.orders.remove(&4).is_none());
}

/// Guards against two runs of one task: the restarted worker has no room for it, so that it started
/// elsewhere before the late start counted as lost.
#[test]
fn task_without_room_on_the_restarted_worker_waits_for_its_late_start() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    fleet.take_started(2);
    let draining = WorkerInfo {
        state: WorkerState::Draining,
        ..worker("i-1", 6)
    };
    fleet.connect(3, draining, complete_report(vec![], vec![]));
    fleet.advance(REMAINING.0 - 500, &[2, 3]);
    assert!(fleet.take_started(2).is_empty() && fleet.take_started(3).is_empty());
    fleet.advance(1_000, &[2, 3]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against two runs of one task, and against a start that is ordered again and again: the
/// restarted worker had executed the late start, and refuses its repetition as old.
#[test]
fn task_waits_after_its_repeated_start_was_refused() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    fleet.take_started(2);
    connect_restarted(&mut fleet, Some(runs[0]));
    fleet.advance(200, &[2, 3]);
    assert_eq!(fleet.take_started(3), [runs[0]]);
    let report = Report {
        refused: vec![(runs[0], Refusal::Old)],
        ..Report::default()
    };
    fleet.report(3, report);
    fleet.advance(REMAINING.0 - 1_000, &[2, 3]);
    assert!(fleet.take_started(2).is_empty() && fleet.take_started(3).is_empty());
    fleet.advance(1_500, &[2, 3]);
    let mut started = fleet.take_started(2);
    started.extend(fleet.take_started(3));
    assert_eq!(started.len(), 1);
    assert!(started[0].run > runs[0].run);
}

/// Guards against a task that never runs again: its run was stopped on the worker and was ordered there
/// again in another session, and the agent took the listed end for that of the repetition.
#[test]
fn run_whose_end_is_listed_is_not_ordered_again() {
    let (mut fleet, runs) = fleet_with_runs();
    let ends = vec![run_end(1, runs[0], EndKind::Stopped)];
    let report = Report {
        ended: ends.clone(),
        late_starts: vec![(runs[0], REMAINING)],
        ..Report::default()
    };
    fleet.report(1, report);
    let report = Report {
        void_starts: vec![(runs[0], REMAINING)],
        ..complete_report(vec![run_status(runs[1])], ends)
    };
    fleet.connect(3, worker("i-1", 5), report);
    fleet.advance(REMAINING.0 - 500, &[2, 3]);
    assert!(fleet.take_started(2).is_empty() && fleet.take_started(3).is_empty());
    fleet.advance(1_000, &[2, 3]);
    let mut started = fleet.take_started(2);
    started.extend(fleet.take_started(3));
    assert_eq!(started.len(), 1);
    assert!(started[0].run > runs[0].run);
}

/// Guards against two runs of one task after a change of owners: the later owner learns from the agent
/// which start the restarted worker refuses.
#[test]
fn later_owner_starts_a_task_where_its_late_start_is_refused() {
    let (fleet, runs) = fleet_with_runs();
    let mut successor = fleet.successor(2);
    successor.connect(2, worker("i-2", 5), complete_report(vec![], vec![]));
    let report = Report {
        void_starts: vec![(runs[0], REMAINING)],
        ..complete_report(vec![run_status(runs[1])], vec![])
    };
    successor.connect(1, worker("i-1", 6), report);
    successor.advance(500, &[1, 2]);
    assert!(successor.take_started(2).is_empty());
    assert_eq!(successor.take_started(1), [runs[0]]);
}

/// Guards against a task that crashes one worker after the other without an end: its run was ordered
/// again under the same number, and the second crash was taken for the first one.
#[test]
fn crash_under_a_run_that_was_ordered_again_counts() {
    let (mut fleet, runs) = fleet_with_runs();
    let crash = |late| Report {
        is_dead: true,
        has_crashed: true,
        crashed_runs: Some(vec![(runs[0], true)]),
        late_starts: late,
        ..Report::default()
    };
    fleet.report(1, crash(vec![(runs[0], REMAINING)]));
    fleet.take_started(2);
    connect_restarted(&mut fleet, Some(runs[0]));
    fleet.advance(3_000, &[2, 3]);
    assert_eq!(fleet.take_started(3), [runs[0]]);
    fleet.report(3, crash(vec![]));
    fleet.advance(500, &[2]);
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against two runs of one task: the restarted worker had executed the late start before the
/// first call of its session.
#[test]
fn late_start_that_was_executed_is_adopted() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    fleet.take_started(2);
    let report = complete_report(vec![run_status(runs[0])], vec![]);
    fleet.connect(3, worker("i-1", 6), report);
    fleet.advance(REMAINING.0 + 1_000, &[2, 3]);
    assert!(fleet.take_started(2).is_empty());
    assert!(fleet.orders.remove(&3).is_none());
}

/// Guards against a task that waits although its address answers for another worker, which rejects
/// calls that name the lost one.
#[test]
fn answer_of_another_worker_ends_the_wait() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    fleet.take_started(2);
    let newcomer = WorkerInfo {
        address: worker("i-1", 1).address,
        ..worker("i-3", 9)
    };
    fleet.connect(3, newcomer, complete_report(vec![], vec![]));
    fleet.advance(200, &[2, 3]);
    let started = fleet.take_started(2).len() + fleet.take_started(3).len();
    assert_eq!(started, 1);
}

/// Guards against two runs of one task: a repetition of a start was executed and the run failed, the
/// task ran elsewhere, and the first transmission reached the worker after its restart.
#[test]
fn failed_task_waits_while_an_earlier_transmission_may_be_executed() {
    let (mut fleet, runs) = fleet_with_runs();
    let report = Report {
        ended: vec![run_end(1, runs[0], EndKind::Failed)],
        late_starts: vec![(runs[0], REMAINING)],
        ..Report::default()
    };
    fleet.report(1, report);
    fleet.advance(REMAINING.0 - 500, &[1, 2]);
    assert!(fleet.take_started(2).is_empty());
    fleet.advance(1_000, &[1, 2]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against two runs of one task after a change of owners: the later owner knows no starts, and
/// the agent reports those that may still be executed.
#[test]
fn later_owner_lets_a_task_wait_for_a_late_start() {
    let (fleet, runs) = fleet_with_runs();
    let mut successor = fleet.successor(2);
    successor.connect(2, worker("i-2", 5), complete_report(vec![], vec![]));
    let report = Report {
        late_starts: vec![(runs[0], REMAINING)],
        ..complete_report(vec![run_status(runs[1])], vec![])
    };
    successor.connect(1, worker("i-1", 5), report);
    successor.advance(REMAINING.0 - 500, &[1, 2]);
    assert!(successor.take_started(1).is_empty() && successor.take_started(2).is_empty());
    successor.advance(1_000, &[1, 2]);
    let started = successor.take_started(1).len() + successor.take_started(2).len();
    assert_eq!(started, 1);
}

/// Guards against two runs of one task after a change of owners: the record of the lost worker was
/// dropped, so that the later owner did not wait for the report of its next process. Also guards
/// against a record that is kept for ever.
#[test]
fn record_of_a_lost_worker_is_kept_while_its_start_may_be_executed() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    fleet.advance(500, &[2]);
    let mut successor = fleet.successor(2);
    let listed = complete_report(vec![run_status(fleet.take_started(2)[0])], vec![]);
    successor.connect(2, worker("i-2", 5), listed.clone());
    successor.advance(1_000, &[2]);
    assert!(successor.take_started(2).is_empty());
    let report = complete_report(vec![run_status(runs[0])], vec![]);
    successor.connect(1, worker("i-1", 6), report);
    successor.advance(1_000, &[1, 2]);
    assert!(successor.take_started(1).is_empty() && successor.take_started(2).is_empty());

    fleet.advance(REMAINING.0 + 500, &[2]);
    let mut successor = fleet.successor(3);
    successor.connect(2, worker("i-2", 5), listed);
    successor.advance(300, &[2]);
    assert_eq!(successor.take_started(2).len(), 1);
}

/// Guards against a task that runs again although a late start of it has ended as done while it waited.
#[test]
fn late_start_that_has_ended_as_done_finishes_its_task() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    let other = fleet.take_started(2)[0];
    let ends = vec![run_end(1, runs[0], EndKind::Done)];
    fleet.connect(3, worker("i-1", 6), complete_report(vec![], ends));
    fleet.advance(REMAINING.0 + 1_000, &[2, 3]);
    assert!(fleet.take_started(2).is_empty() && fleet.take_started(3).is_empty());
    let report = Report {
        ended: vec![run_end(1, other, EndKind::Done)],
        ..Report::default()
    };
    fleet.report(2, report);
    fleet.advance(500, &[2, 3]);
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
}

/// Guards against a task that waits to the end although its start was executed: a later report, which
/// was under way for a shorter time, named an earlier end of the wait.
#[test]
fn wait_ends_early_after_reports_that_were_under_way_for_different_times() {
    let (mut fleet, runs) = fleet_with_runs();
    let late = |ended, remaining| Report {
        ended,
        late_starts: vec![(runs[0], remaining)],
        ..Report::default()
    };
    let ends = vec![run_end(1, runs[0], EndKind::Failed)];
    fleet.report(1, late(ends, REMAINING));
    fleet.advance(100, &[2]);
    fleet.report(1, late(vec![], REMAINING - Millis(200)));
    fleet.report(1, late(vec![], Millis(0)));
    fleet.advance(3_000, &[1, 2]);
    let started = fleet.take_started(1).len() + fleet.take_started(2).len();
    assert_eq!(started, 1);
}

/// Guards against a record that is kept for ever, so that all later owners wait for a lost worker: the
/// agent's next worker, at another address, reports the start that was meant for the earlier one.
#[test]
fn record_is_dropped_although_another_worker_reports_the_late_start() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    let report = Report {
        late_starts: vec![(runs[0], REMAINING)],
        ..complete_report(vec![], vec![])
    };
    fleet.connect(3, worker("i-3", 9), report);
    fleet.advance(REMAINING.0 + 1_000, &[2, 3]);
    assert!(fleet.store.keys().all(|key| !key.contains("i-1")));
}

/// Guards against a task that waits although its start was executed: the worker has listed the run, which
/// the agent reports.
#[test]
fn failed_task_does_not_wait_for_a_start_that_was_executed() {
    let (mut fleet, runs) = fleet_with_runs();
    let late = Report {
        late_starts: vec![(runs[0], REMAINING)],
        ..Report::default()
    };
    fleet.report(1, late);
    let listed = Report {
        running: Some(runs.iter().map(|&run| run_status(run)).collect()),
        late_starts: vec![(runs[0], Millis(0))],
        ..Report::default()
    };
    fleet.report(1, listed);
    let failed = Report {
        ended: vec![run_end(1, runs[0], EndKind::Failed)],
        ..Report::default()
    };
    fleet.report(1, failed);
    fleet.advance(3_000, &[1, 2]);
    let started = fleet.take_started(1).len() + fleet.take_started(2).len();
    assert_eq!(started, 1);
}

/// Guards against a task that waits for good: a list that the worker made before the run ended arrives
/// after the list with the end.
#[test]
fn older_list_after_an_end_does_not_keep_the_task() {
    for kind in [EndKind::Failed, EndKind::Stopped] {
        let (mut fleet, runs) = fleet_with_runs();
        let list = |running: Vec<RunId>, ended| Report {
            running: Some(running.into_iter().map(run_status).collect()),
            ended,
            ..Report::default()
        };
        fleet.report(1, list(runs.clone(), vec![]));
        let ends = vec![run_end(1, runs[0], kind)];
        fleet.report(1, list(vec![runs[1]], ends.clone()));
        fleet.report(1, list(runs.clone(), vec![]));
        let mut started = fleet.take_started(1);
        started.extend(fleet.take_started(2));
        for _ in 0..40 {
            fleet.report(1, list(vec![runs[1]], ends.clone()));
            fleet.advance(500, &[1, 2]);
            started.extend(fleet.take_started(1));
            started.extend(fleet.take_started(2));
        }
        assert!(!started.is_empty(), "{kind:?}");
    }
}

/// Guards against run numbers that an owner in between may have used: after the repetition of an earlier
/// owner's run has failed, the next run has a number of this owner.
#[test]
fn run_after_a_repeated_one_has_a_number_of_its_owner() {
    let (old, runs) = fleet_with_runs();
    let mut new = old.successor(50);
    new.connect(12, worker("i-2", 5), complete_report(vec![], vec![]));
    connect_restarted(&mut new, Some(runs[0]));
    new.advance(500, &[3, 12]);
    let repeated = new.take_started(3);
    assert!(repeated.contains(&runs[0]), "{repeated:?}");
    let failed = Report {
        ended: vec![run_end(1, runs[0], EndKind::Failed)],
        ..Report::default()
    };
    new.report(3, failed);
    new.advance(REMAINING.0 + 1_000, &[3, 12]);
    let started = [new.take_started(3), new.take_started(12)].concat();
    let next = started.iter().find(|run| run.task == runs[0].task);
    assert!(next.is_some_and(|run| run.run > 49_000), "{next:?}");
}

/// Guards against a task that starts elsewhere while the next incarnation of its worker runs it, or has
/// done it: a report says that the late start was executed, and overtakes the complete report that lists
/// the run.
#[test]
fn executed_late_start_is_not_released_before_the_complete_report() {
    let (mut fleet, runs) = fleet_with_runs();
    lose_worker(&mut fleet, runs[0]);
    fleet.take_started(2);
    fleet.step(vec![Input::Attach {
        session: 3,
        worker: worker("i-1", 6),
    }]);
    let report = Report {
        ended: vec![run_end(1, runs[0], EndKind::Done)],
        late_starts: vec![(runs[0], Millis(0))],
        ..Report::default()
    };
    fleet.report(3, report);
    fleet.advance(2_000, &[2]);
    let started = fleet.take_started(2);
    assert!(started.is_empty(), "{started:?}");
}

//! Workers of which ends may be hidden, because a late acknowledgement may have reached them.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, JobId, Order, Refusal, Report, RunId, RunStatus, StepSpec, TaskId};

use crate::support::{
    Fleet, JOB, LONGEST_LEASE, complete_report, ends_report, job, rule, run_end, run_status, step,
    worker,
};

fn hiding_report() -> Report {
    Report {
        may_hide_ends: true,
        ..complete_report(vec![], vec![])
    }
}

/// Creates an owner with one worker, of which ends may be hidden.
fn fleet_with_hiding_worker() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 5), hiding_report());
    fleet
}

fn submit(fleet: &mut Fleet, id: JobId, steps: Vec<StepSpec>) {
    fleet.submit(id, rule(9), job(steps));
    fleet.step(vec![]);
}

/// Returns steps of each kind of task that ends as done.
fn steps_that_end() -> Vec<StepSpec> {
    let gang = StepSpec {
        is_gang: true,
        ..step(2, &[])
    };
    let best_effort = StepSpec {
        is_best_effort: true,
        image: Some(Arc::from("image")),
        ..step(1, &[])
    };
    vec![step(1, &[]), gang, best_effort]
}

fn service_step() -> StepSpec {
    StepSpec {
        is_service: true,
        ..step(1, &[])
    }
}

/// Time after which a task of an idle job may be a canary.
const CANARY_WAIT: u64 = 2_100;

/// Step with one task that is long enough to be a canary after [`CANARY_WAIT`].
fn long_step() -> StepSpec {
    StepSpec {
        estimate: Millis(5_000),
        ..step(1, &[])
    }
}

/// Removes all orders of a session and returns the runs that are started as canaries.
fn take_canaries(fleet: &mut Fleet, session: u64) -> Vec<RunId> {
    let orders = fleet.orders.remove(&session).unwrap_or_default();
    let canary = |order| match order {
        Order::Canary(start) => Some(start.run),
        Order::Start(start) => panic!("{} starts on a worker that may hide ends", start.run),
        Order::Stop(_) | Order::Pace(..) => None,
    };
    orders.into_iter().filter_map(canary).collect()
}

/// Lets the agent report that a run has ended without a listed end.
fn report_hidden(fleet: &mut Fleet, session: u64, run: RunId, refusal: Refusal) {
    let report = Report {
        refused: vec![(run, refusal)],
        may_hide_ends: true,
        ..Report::default()
    };
    fleet.report(session, report);
    fleet.step(vec![]);
}

/// Lets each canary of a session end without a listed end, for a time. Returns their number.
fn hide_canaries(fleet: &mut Fleet, session: u64, millis: u64) -> usize {
    let mut count = 0;
    for _ in 0..millis / 100 {
        fleet.advance(100, &[session]);
        for run in take_canaries(fleet, session) {
            count += 1;
            report_hidden(fleet, session, run, Refusal::EndHidden);
        }
    }
    count
}

/// Guards against a task that starts again after it was done: the worker that ran it never listed its
/// end. Tasks that can be done start there as canaries only, for as long as it lists no end.
#[test]
fn worker_that_may_hide_ends_gets_canaries_only() {
    let mut fleet = fleet_with_hiding_worker();
    submit(&mut fleet, JOB, steps_that_end());
    assert!(hide_canaries(&mut fleet, 1, 30_000) > 3);
    assert_eq!(fleet.owner.stalled_jobs(), 1);
    let is_stall = |line: &&String| line.contains("has no running task");
    let stall = fleet.logs.iter().find(is_stall);
    assert!(
        stall.is_some_and(|line| line.contains("hiding_ends=1")),
        "{stall:?}"
    );
    fleet.connect(2, worker("i-2", 5), complete_report(vec![], vec![]));
    let mut started = fleet.take_started(2);
    for _ in 0..10 {
        hide_canaries(&mut fleet, 1, 100);
        started.extend(fleet.take_started(2));
    }
    assert_eq!(started.len(), 4);
    // None is left for the other worker.
    assert_eq!(hide_canaries(&mut fleet, 1, 5_000), 0);
}

/// Guards against a job that never starts because its only worker may hide ends: no task that could end
/// there was started, so that nothing ended the doubt (`review/14`).
#[test]
fn job_starts_once_its_only_worker_lists_the_end_of_a_canary() {
    let mut fleet = fleet_with_hiding_worker();
    submit(
        &mut fleet,
        JOB,
        vec![StepSpec {
            count: 2,
            ..long_step()
        }],
    );
    fleet.advance(CANARY_WAIT, &[1]);
    let canaries = take_canaries(&mut fleet, 1);
    // One is enough for an answer.
    assert_eq!(canaries.len(), 1);
    let end = run_end(1, canaries[0], EndKind::Stopped);
    fleet.report(1, ends_report(vec![end]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 2);
    assert_eq!(fleet.owner.hiding_workers(), 0);
}

/// Guards against a task that starts again after it was done (`review/7`): the worker that may hide ends may
/// have executed a late start of it. Tasks of other steps are canaries there.
#[test]
fn task_with_an_unsettled_start_is_no_canary() {
    let mut fleet = Fleet::new();
    let unsettled = RunId {
        task: TaskId {
            job: JOB,
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: 1,
    };
    let report = Report {
        unsettled_starts: vec![unsettled],
        ..hiding_report()
    };
    fleet.connect(1, worker("i-1", 5), report);
    submit(&mut fleet, JOB, vec![long_step()]);
    fleet.advance(30_000, &[1]);
    assert_eq!(take_canaries(&mut fleet, 1), []);
    let other = JobId(JOB.0 + 1);
    submit(&mut fleet, other, vec![long_step()]);
    fleet.advance(CANARY_WAIT, &[1]);
    let canaries = take_canaries(&mut fleet, 1);
    assert_eq!(canaries.len(), 1);
    assert_eq!(canaries[0].task.job, other);
}

/// As above, with a worker that does hide ends: each canary uses up one of the hidden numbers, and their
/// number grows with each.
#[test]
fn job_starts_once_all_hidden_numbers_are_used_up() {
    let mut fleet = fleet_with_hiding_worker();
    for id in 1..20 {
        submit(&mut fleet, JobId(id), vec![long_step()]);
    }
    let mut hidden = 0;
    let mut last_canaries = Vec::new();
    for _ in 0..100 {
        fleet.advance(100, &[1]);
        let canaries = take_canaries(&mut fleet, 1);
        assert!(
            canaries.len() <= hidden + 1,
            "{} after {hidden}",
            canaries.len()
        );
        if hidden + canaries.len() > 12 {
            last_canaries = canaries;
            break;
        }
        for run in canaries {
            hidden += 1;
            report_hidden(&mut fleet, 1, run, Refusal::EndHidden);
        }
    }
    assert!(last_canaries.len() > 1);
    let ends = last_canaries
        .iter()
        .map(|&run| run_end(13, run, EndKind::Stopped));
    fleet.report(1, ends_report(ends.take(1).collect()));
    fleet.step(vec![]);
    let remaining = last_canaries.len() - 1;
    assert_eq!(fleet.take_started(1).len(), 19 - remaining);
}

/// Guards against a task that starts again although a run of it may have ended as done, also after the
/// next owner has taken over.
#[test]
fn task_of_a_canary_with_an_unknown_end_does_not_start_again() {
    let mut fleet = fleet_with_hiding_worker();
    submit(&mut fleet, JOB, vec![long_step()]);
    fleet.advance(CANARY_WAIT, &[1]);
    let canaries = take_canaries(&mut fleet, 1);
    report_hidden(&mut fleet, 1, canaries[0], Refusal::EndUnknown);
    assert_eq!(fleet.owner.unknown_ends(), 1);
    fleet.connect(2, worker("i-2", 5), complete_report(vec![], vec![]));
    fleet.advance(20_000, &[1, 2]);
    assert_eq!(take_canaries(&mut fleet, 1), []);
    assert_eq!(fleet.take_started(2), []);

    let mut next = fleet.successor(2);
    let report = Report {
        refused: vec![(canaries[0], Refusal::EndUnknown)],
        ..complete_report(vec![], vec![])
    };
    next.connect(3, worker("i-1", 5), report);
    next.connect(4, worker("i-2", 5), complete_report(vec![], vec![]));
    next.advance(20_000, &[3, 4]);
    assert_eq!(take_canaries(&mut next, 3), []);
    assert_eq!(next.take_started(4), []);
}

/// Guards against a task that is held up although its run cannot have done it: a member of a gang does
/// not work alone.
#[test]
fn gang_starts_again_after_a_canary_with_an_unknown_end() {
    let mut fleet = fleet_with_hiding_worker();
    let gang = StepSpec {
        is_gang: true,
        ..step(2, &[])
    };
    submit(&mut fleet, JOB, vec![gang]);
    let canaries = take_canaries(&mut fleet, 1);
    assert_eq!(canaries.len(), 2);
    fleet.connect(2, worker("i-2", 5), complete_report(vec![], vec![]));
    for run in canaries {
        report_hidden(&mut fleet, 1, run, Refusal::EndUnknown);
    }
    assert_eq!(fleet.take_started(2).len(), 2);
}

/// As above, with a service task, which is never done.
#[test]
fn service_task_starts_again_after_an_unknown_end() {
    let mut fleet = fleet_with_hiding_worker();
    submit(&mut fleet, JOB, vec![service_step()]);
    let runs = fleet.take_started(1);
    report_hidden(&mut fleet, 1, runs[0], Refusal::EndUnknown);
    fleet.advance(500, &[1]);
    assert_eq!(fleet.take_started(1).len(), 1);
    assert_eq!(fleet.owner.unknown_ends(), 0);
}

/// Guards against tasks that end before they are paused, and so are held up: they become canaries only
/// once nothing of their job has run for some time, and short ones later. Callers allow 3 s.
#[test]
fn tasks_wait_before_they_become_canaries() {
    let short = StepSpec {
        estimate: Millis(300),
        ..step(1, &[])
    };
    for (step, wait) in [(long_step(), 1_900), (short, 2_500)] {
        let mut fleet = fleet_with_hiding_worker();
        submit(&mut fleet, JOB, vec![step]);
        fleet.advance(wait, &[1]);
        assert_eq!(take_canaries(&mut fleet, 1), []);
        fleet.advance(200, &[1]);
        assert_eq!(take_canaries(&mut fleet, 1).len(), 1);
    }
}

/// Guards against a worker that counts as slow, or as one on which runs hang, because a canary is paused.
#[test]
fn paused_canary_tells_nothing_of_the_speed_of_its_worker() {
    let mut fleet = fleet_with_hiding_worker();
    submit(&mut fleet, JOB, vec![long_step()]);
    fleet.advance(CANARY_WAIT, &[1]);
    let canaries = take_canaries(&mut fleet, 1);
    for _ in 0..30 {
        fleet.advance(100, &[1]);
        let status = RunStatus {
            percent_done: 1,
            ..run_status(canaries[0])
        };
        let report = Report {
            running: Some(vec![status]),
            ..Report::default()
        };
        fleet.report(1, report);
    }
    assert_eq!(fleet.take_stopped(1), []);
    assert!(fleet.logs.iter().all(|line| !line.contains("migrating")));
}

/// Guards against canaries while calls get lost: one that is not paused in time is held up. A worker that
/// stays away is not waited for.
#[test]
fn canaries_wait_for_workers_that_are_expected_back() {
    let mut fleet = fleet_with_hiding_worker();
    fleet.connect(2, worker("i-2", 5), complete_report(vec![], vec![]));
    let unresponsive = || Report {
        is_unresponsive: true,
        ..Report::default()
    };
    fleet.report(2, unresponsive());
    submit(&mut fleet, JOB, vec![long_step()]);
    let mut waited = 0;
    let mut canaries = Vec::new();
    while canaries.is_empty() && waited < 10_000 {
        waited += 100;
        fleet.advance(100, &[1, 2]);
        fleet.report(2, unresponsive());
        canaries = take_canaries(&mut fleet, 1);
    }
    assert!((4_000..=5_500).contains(&waited), "{waited}");
    assert_eq!(fleet.take_started(2), []);
}

/// Guards against a preempted run on a worker that does not get the task that it makes room for.
#[test]
fn no_run_is_stopped_for_a_task_on_a_worker_that_may_hide_ends() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 5), complete_report(vec![], vec![]));
    let large = StepSpec {
        resources: worker("i-1", 5).capacity,
        ..step(1, &[])
    };
    let idle_rule = hyssop_jobs::QueueRule {
        priority: 5,
        ..rule(9)
    };
    fleet.submit(JOB, idle_rule, job(vec![large.clone()]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 1);
    let report = Report {
        running: Some(vec![run_status(runs[0])]),
        ..hiding_report()
    };
    fleet.connect(2, worker("i-1", 6), report);
    // The run is stopped in any case, and that once.
    assert_eq!(fleet.take_stopped(2), runs);
    submit(&mut fleet, JobId(0xbb), vec![large]);
    fleet.advance(20_000, &[2]);
    let orders = fleet.orders.remove(&2).unwrap_or_default();
    assert!(
        orders.iter().all(|order| matches!(order, Order::Pace(..))),
        "{orders:?}"
    );
}

/// Guards against a task that starts again after it was done: its run was on the worker before the mark, and
/// its end would never be listed. Service tasks never end as done.
#[test]
fn runs_of_a_worker_that_may_hide_ends_are_stopped() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 5), complete_report(vec![], vec![]));
    submit(&mut fleet, JOB, vec![step(1, &[]), service_step()]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 2);
    let report = Report {
        running: Some(runs.iter().map(|&run| run_status(run)).collect()),
        ..hiding_report()
    };
    fleet.connect(2, worker("i-1", 6), report);
    let stopped = fleet.take_stopped(2);
    assert_eq!(stopped.len(), 1);
    assert_eq!(stopped[0].task.step, 0);
}

/// Guards against service tasks that do not run although there is capacity: they never end as done, so
/// that they may start again after any end.
#[test]
fn service_tasks_start_on_a_worker_that_may_hide_ends() {
    let mut fleet = fleet_with_hiding_worker();
    submit(&mut fleet, JOB, vec![service_step()]);
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a worker that gets no tasks although it lists ends, and against one that gets none
/// because of a report that was overtaken.
#[test]
fn worker_that_lists_an_end_gets_tasks_again() {
    let mut fleet = fleet_with_hiding_worker();
    submit(&mut fleet, JOB, vec![service_step()]);
    let runs = fleet.take_started(1);
    submit(&mut fleet, JobId(0xbb), vec![step(1, &[])]);
    assert_eq!(fleet.take_started(1), []);
    fleet.report(1, ends_report(vec![run_end(3, runs[0], EndKind::Failed)]));
    let overtaken = Report {
        is_complete: false,
        running: None,
        ..hiding_report()
    };
    fleet.report(1, overtaken);
    fleet.step(vec![]);
    let started = fleet.take_started(1);
    assert!(started.iter().any(|run| run.task.job == JobId(0xbb)));
    let count = |text: &str| fleet.logs.iter().filter(|line| line.contains(text)).count();
    assert_eq!(count("worker i-1 may hide ends"), 1);
    assert_eq!(count("worker i-1 lists an end"), 1);
}

/// Guards against a worker that counts as safe because its agent has restarted, which does not know of
/// the acknowledgement.
#[test]
fn mark_outlives_the_agent() {
    let mut fleet = fleet_with_hiding_worker();
    fleet.connect(2, worker("i-1", 5), complete_report(vec![], vec![]));
    submit(&mut fleet, JOB, steps_that_end());
    assert!(hide_canaries(&mut fleet, 2, 5_000) > 0);
}

/// As above, while the owner changes too.
#[test]
fn mark_outlives_the_owner() {
    let fleet = fleet_with_hiding_worker();
    let mut next = fleet.successor(2);
    next.connect(2, worker("i-1", 5), complete_report(vec![], vec![]));
    submit(&mut next, JOB, steps_that_end());
    assert!(hide_canaries(&mut next, 2, 5_000) > 0);
    let mut last = next.successor(3);
    last.connect(3, worker("i-1", 5), complete_report(vec![], vec![]));
    assert!(hide_canaries(&mut last, 3, 20_000) > 0);
}

/// Guards against a later incarnation that gets no tasks because of the mark of an earlier one, and
/// against a mark in the store that outlives its reason.
#[test]
fn mark_ends_with_the_incarnation() {
    let mut fleet = fleet_with_hiding_worker();
    submit(&mut fleet, JOB, vec![step(1, &[])]);
    fleet.connect(2, worker("i-1", 6), complete_report(vec![], vec![]));
    fleet.advance(500, &[2]);
    assert_eq!(fleet.take_started(2).len(), 1);

    let mut next = fleet_with_hiding_worker().successor(2);
    next.connect(2, worker("i-1", 6), complete_report(vec![], vec![]));
    submit(&mut next, JOB, vec![step(1, &[])]);
    next.advance(500, &[2]);
    assert_eq!(next.take_started(2).len(), 1);
}

/// Guards against records that earlier versions cannot read, or that say nothing of the mark.
#[test]
fn record_has_the_mark_while_ends_may_be_hidden() {
    let text = |fleet: &Fleet| String::from_utf8(fleet.store["w/i-1"].clone()).unwrap();
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 5), complete_report(vec![], vec![]));
    assert_eq!(text(&fleet), r#"{"born":5,"address":"i-1:8080"}"#);
    let report = Report {
        lease_remaining: Millis(LONGEST_LEASE),
        ..hiding_report()
    };
    fleet.connect(2, worker("i-1", 6), report);
    assert_eq!(
        text(&fleet),
        r#"{"born":6,"address":"i-1:8080","stale":true,"hides":true}"#
    );
    submit(&mut fleet, JOB, vec![service_step()]);
    let runs = fleet.take_started(2);
    fleet.report(2, ends_report(vec![run_end(1, runs[0], EndKind::Failed)]));
    fleet.advance(500, &[2]);
    assert_eq!(
        text(&fleet),
        r#"{"born":6,"address":"i-1:8080","stale":true}"#
    );
    fleet.advance(LONGEST_LEASE + 1_000, &[2]);
    assert_eq!(text(&fleet), r#"{"born":6,"address":"i-1:8080"}"#);
}

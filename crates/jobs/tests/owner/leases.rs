//! Leases of workers and confirmations of ownership.

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, Input, JobState, MAX_CONFIRMATION_AGE, Report, WORKER_LEASE};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

fn fleet_with_run() -> (Fleet, hyssop_jobs::RunId) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.take_started(1)[0];
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    (fleet, run)
}

/// Guards against two runs of one task: a worker that cannot be reached keeps running it until its
/// lease has expired.
#[test]
fn task_of_an_unreachable_worker_waits_for_its_lease() {
    let (mut fleet, _) = fleet_with_run();
    fleet.owner.renew_lease(Millis(fleet.now), 1);
    fleet.advance(WORKER_LEASE.0 - 100, &[2]);
    assert!(fleet.take_started(2).is_empty());
    fleet.advance(600, &[2]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against waiting for the lease of a worker that is known to be lost.
#[test]
fn task_of_a_lost_worker_restarts_immediately() {
    let (mut fleet, _) = fleet_with_run();
    fleet.report(
        1,
        Report {
            is_dead: true,
            ..Report::default()
        },
    );
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against losing the tasks of a worker that restarts under the same identifier.
#[test]
fn new_incarnation_of_a_worker_runs_nothing() {
    let (mut fleet, _) = fleet_with_run();
    fleet.connect(3, worker("i-1", 2), complete_report(vec![], vec![]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(2).len() + fleet.take_started(3).len(), 1);
}

/// Guards against a task that runs again although it is done: its run ended before the lease did, the
/// end was reported after it, and nothing of the task ran elsewhere.
#[test]
fn end_as_done_after_the_lease_finishes_a_task_that_waits() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.take_started(1)[0];
    fleet.advance(WORKER_LEASE.0 + 1_000, &[]);
    let ended = vec![run_end(1, run, EndKind::Done)];
    fleet.connect(2, worker("i-1", 1), complete_report(vec![], ended));
    fleet.advance(500, &[2]);
    assert!(fleet.take_started(2).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
}

/// Guards against a second run of a task that is given up because the first one ended without a result
/// and was reported late. The end as done is in `late_ends`.
#[test]
fn late_end_without_a_result_keeps_the_current_run() {
    let (mut fleet, run) = fleet_with_run();
    fleet.owner.renew_lease(Millis(fleet.now), 1);
    fleet.advance(WORKER_LEASE.0 + 600, &[2]);
    let second = fleet.take_started(2)[0];
    fleet.connect(
        3,
        worker("i-1", 1),
        complete_report(vec![], vec![run_end(1, run, EndKind::LeaseExpired)]),
    );
    fleet.advance(500, &[2, 3]);
    assert_eq!(fleet.state(JOB), Some(hyssop_jobs::JobState::Running));
    assert!(fleet.take_started(3).is_empty());
    assert!(fleet.take_stopped(2).is_empty());
    fleet.report(2, ends_report(vec![run_end(1, second, EndKind::Done)]));
    fleet.advance(500, &[2, 3]);
    assert_eq!(fleet.state(JOB), Some(hyssop_jobs::JobState::Complete));
}

/// Guards against an owner that was replaced without knowing. Without a recent confirmation it
/// starts nothing and renews no lease.
#[test]
fn unconfirmed_owner_starts_nothing() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.now += MAX_CONFIRMATION_AGE.0 + 10;
    assert!(!fleet.owner.renew_lease(Millis(fleet.now), 1));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    assert!(fleet.take_started(1).is_empty());
    let now = Millis(fleet.now);
    fleet.step(vec![Input::OwnershipConfirmed(now)]);
    fleet.connect(2, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against a worker that discards an end before it is stored. A change of owners would then
/// lose it, and the task would run again.
#[test]
fn end_is_acknowledged_after_it_is_stored() {
    let (mut fleet, run) = fleet_with_run();
    fleet.is_store_up = false;
    fleet.report(1, ends_report(vec![run_end(1, run, EndKind::Done)]));
    fleet.advance(500, &[1, 2]);
    assert_eq!(fleet.acknowledged_ends.get(&1), None);
    assert_ne!(fleet.state(JOB), Some(hyssop_jobs::JobState::Complete));
    fleet.is_store_up = true;
    fleet.advance(500, &[1, 2]);
    assert_eq!(fleet.acknowledged_ends.get(&1), Some(&1));
    assert_eq!(fleet.state(JOB), Some(hyssop_jobs::JobState::Complete));
}

/// Guards against starts lost with a connection: the agent connects again and sends a complete
/// report, and a start that is missing from it is repeated as a new run.
#[test]
fn lost_start_is_repeated() {
    let (mut fleet, run) = fleet_with_run();
    fleet.connect(3, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.advance(400, &[2, 3]);
    let again = [fleet.take_started(2), fleet.take_started(3)].concat();
    assert_eq!(again.len(), 1);
    assert!(again[0].run > run.run);
    fleet.connect(
        4,
        worker("i-1", 1),
        complete_report(vec![run_status(again[0])], vec![]),
    );
}

/// Guards against two runs of one task: an owner that was cut off treats a lease as expired
/// although a later owner has renewed it. Only a confirmation of ownership after the end of the
/// lease excludes that.
#[test]
fn lease_expiry_requires_a_later_confirmation() {
    let (mut fleet, _) = fleet_with_run();
    fleet.step(vec![Input::OwnershipConfirmed(Millis(fleet.now))]);
    fleet.owner.renew_lease(Millis(fleet.now), 1);
    fleet.now += 900;
    fleet.step(vec![Input::OwnershipConfirmed(Millis(fleet.now))]);
    fleet.now += WORKER_LEASE.0 - 600;
    fleet.owner.renew_lease(Millis(fleet.now), 2);
    fleet.step(vec![]);
    assert!(fleet.owner.is_ownership_confirmed(Millis(fleet.now)));
    assert!(fleet.take_started(2).is_empty());
    fleet.step(vec![Input::OwnershipConfirmed(Millis(fleet.now + 1))]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against two runs of one task: a second complete report of a session may have been created
/// before the agent received the orders that followed the first one, so it does not list their
/// runs.
#[test]
fn second_complete_report_requeues_nothing() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 1);
    fleet.report(1, complete_report(vec![], vec![]));
    fleet.advance(500, &[1]);
    assert!(fleet.take_started(1).is_empty());
}

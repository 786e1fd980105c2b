//! Leases of workers and proofs of ownership.

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, Input, MAX_CONFIRMATION_AGE, Report, WORKER_LEASE};

use crate::support::{Fleet, JOB, complete, end, ends, job, row, rule, step, worker};

fn running() -> (Fleet, hyssop_jobs::RunId) {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.started(1)[0];
    fleet.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    (fleet, run)
}

/// Guards against two runs of one task: a silent worker runs on until its lease has ended.
#[test]
fn task_of_a_silent_worker_waits_for_the_end_of_its_lease() {
    let (mut fleet, _) = running();
    fleet.owner.renew_lease(Millis(fleet.now), 1);
    fleet.pass(WORKER_LEASE.0 - 100, &[2]);
    assert!(fleet.started(2).is_empty());
    fleet.pass(600, &[2]);
    assert_eq!(fleet.started(2).len(), 1);
}

/// Guards against a wait for a lease of a worker that is known to be gone.
#[test]
fn task_of_a_dead_worker_starts_elsewhere_at_once() {
    let (mut fleet, _) = running();
    fleet.report(
        1,
        Report {
            is_dead: true,
            ..Report::default()
        },
    );
    fleet.step(vec![]);
    assert_eq!(fleet.started(2).len(), 1);
}

/// Guards against tasks that are lost with a worker that comes back under its old name.
#[test]
fn later_life_of_a_worker_runs_nothing() {
    let (mut fleet, _) = running();
    fleet.attach(3, worker("i-1", 2), complete(vec![], vec![]));
    fleet.step(vec![]);
    assert_eq!(fleet.started(2).len() + fleet.started(3).len(), 1);
}

/// Guards against the late end of a run whose task runs elsewhere by now.
#[test]
fn end_of_an_outdated_run_changes_nothing() {
    let (mut fleet, run) = running();
    fleet.owner.renew_lease(Millis(fleet.now), 1);
    fleet.pass(WORKER_LEASE.0 + 600, &[2]);
    let second = fleet.started(2)[0];
    fleet.attach(
        3,
        worker("i-1", 1),
        complete(vec![], vec![end(1, run, EndKind::Done)]),
    );
    fleet.pass(500, &[2, 3]);
    assert_eq!(fleet.state(JOB), Some(hyssop_jobs::JobState::Running));
    fleet.report(2, ends(vec![end(1, second, EndKind::Done)]));
    fleet.pass(500, &[2, 3]);
    assert_eq!(fleet.state(JOB), Some(hyssop_jobs::JobState::Complete));
}

/// Guards against an owner that has lost the jobs without knowing: without a proof it starts nothing
/// and extends no lease.
#[test]
fn owner_without_proof_starts_nothing() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.now += MAX_CONFIRMATION_AGE.0 + 10;
    assert!(!fleet.owner.renew_lease(Millis(fleet.now), 1));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    assert!(fleet.started(1).is_empty());
    let now = Millis(fleet.now);
    fleet.step(vec![Input::OwnershipConfirmed(now)]);
    fleet.attach(2, worker("i-1", 1), complete(vec![], vec![]));
    fleet.step(vec![]);
    assert_eq!(fleet.started(2).len(), 1);
}

/// Guards against an end that the worker forgets before it is stored: with the owner it would be
/// lost, and the task would run again.
#[test]
fn end_is_acknowledged_after_it_is_stored() {
    let (mut fleet, run) = running();
    fleet.store_up = false;
    fleet.report(1, ends(vec![end(1, run, EndKind::Done)]));
    fleet.pass(500, &[1, 2]);
    assert_eq!(fleet.acknowledged.get(&1), None);
    assert_ne!(fleet.state(JOB), Some(hyssop_jobs::JobState::Complete));
    fleet.store_up = true;
    fleet.pass(500, &[1, 2]);
    assert_eq!(fleet.acknowledged.get(&1), Some(&1));
    assert_eq!(fleet.state(JOB), Some(hyssop_jobs::JobState::Complete));
}

/// Guards against an answer that is lost with a connection: an agent that attaches again reports
/// completely, and a start that never arrived is made anew.
#[test]
fn start_that_never_arrived_is_made_anew() {
    let (mut fleet, run) = running();
    fleet.attach(3, worker("i-1", 1), complete(vec![], vec![]));
    fleet.pass(400, &[2, 3]);
    let again = [fleet.started(2), fleet.started(3)].concat();
    assert_eq!(again.len(), 1);
    assert!(again[0].run > run.run);
    fleet.attach(4, worker("i-1", 1), complete(vec![row(again[0])], vec![]));
}

/// Guards against two runs of one task: an owner that was cut off takes the silence of a worker for
/// the end of its lease, while a later owner has extended it. Only a proof of ownership after the end
/// of the lease rules that out.
#[test]
fn lease_ends_only_for_an_owner_that_is_proved_afterwards() {
    let (mut fleet, _) = running();
    fleet.step(vec![Input::OwnershipConfirmed(Millis(fleet.now))]);
    fleet.owner.renew_lease(Millis(fleet.now), 1);
    fleet.now += 900;
    fleet.step(vec![Input::OwnershipConfirmed(Millis(fleet.now))]);
    fleet.now += WORKER_LEASE.0 - 600;
    fleet.owner.renew_lease(Millis(fleet.now), 2);
    fleet.step(vec![]);
    assert!(fleet.owner.is_ownership_confirmed(Millis(fleet.now)));
    assert!(fleet.started(2).is_empty());
    fleet.step(vec![Input::OwnershipConfirmed(Millis(fleet.now + 1))]);
    assert_eq!(fleet.started(2).len(), 1);
}

/// Guards against two runs of one task: a second complete report of a session was put together before
/// the agent took in the orders that followed the first, and does not list them.
#[test]
fn second_complete_report_takes_nothing_back() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    assert_eq!(fleet.started(1).len(), 1);
    fleet.report(1, complete(vec![], vec![]));
    fleet.pass(500, &[1]);
    assert!(fleet.started(1).is_empty());
}

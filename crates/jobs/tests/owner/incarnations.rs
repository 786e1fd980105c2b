//! Workers that restart, and workers at the address of another one.

use hyssop_jobs::{Input, WorkerInfo};

use crate::support::{Fleet, JOB, complete_report, job, rule, run_status, step, worker};

/// Creates an owner with one job, whose only task runs on worker i-1, and an idle worker i-2.
fn fleet_with_run() -> (Fleet, hyssop_jobs::RunId) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 5), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.take_started(1)[0];
    fleet.connect(2, worker("i-2", 5), complete_report(vec![], vec![]));
    (fleet, run)
}

/// Returns the description of another worker that announces the address of worker i-1.
fn newcomer(incarnation: u64) -> WorkerInfo {
    WorkerInfo {
        address: worker("i-1", 1).address,
        ..worker("i-3", incarnation)
    }
}

/// Guards against two runs of one task: the start had reached the worker after its restart under the
/// same identifier, and the owner started the task elsewhere when the worker's session was opened.
#[test]
fn run_that_a_restarted_worker_lists_goes_on() {
    let (mut fleet, run) = fleet_with_run();
    let report = complete_report(vec![run_status(run)], vec![]);
    fleet.connect(3, worker("i-1", 6), report);
    fleet.advance(1_000, &[2, 3]);
    assert!(fleet.take_started(2).is_empty());
    assert!(fleet.take_started(3).is_empty());
}

/// Guards against a task that stays assigned to a restarted worker that sends no report, and against
/// two runs of one task: a start that was meant for its earlier incarnation may have leased the worker
/// for 10 s, the longest lease of these tests.
#[test]
fn run_of_a_restarted_worker_without_report_ends_with_its_lease() {
    let (mut fleet, _) = fleet_with_run();
    fleet.step(vec![Input::Attach {
        session: 3,
        worker: worker("i-1", 6),
    }]);
    assert!(fleet.take_started(2).is_empty());
    fleet.advance(9_900, &[2]);
    assert!(fleet.take_started(2).is_empty());
    fleet.advance(900, &[2]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against two runs of one task: another worker announced the address of a live one, from
/// which it had no answer yet, and the live one counted as lost.
#[test]
fn announced_address_alone_does_not_end_a_worker() {
    let (mut fleet, run) = fleet_with_run();
    fleet.step(vec![Input::Attach {
        session: 3,
        worker: newcomer(9),
    }]);
    fleet.advance(1_000, &[1, 2]);
    assert!(fleet.take_started(2).is_empty());
    // The live worker is not locked out by the announcement either.
    fleet.connect(
        4,
        worker("i-1", 5),
        complete_report(vec![run_status(run)], vec![]),
    );
    fleet.submit(hyssop_jobs::JobId(0xbb), rule(2), job(vec![step(20, &[])]));
    fleet.advance(300, &[2, 4]);
    assert!(!fleet.take_started(4).is_empty());
}

/// Guards against a task that waits for the lease of a worker whose successor has answered at the
/// same address.
#[test]
fn answer_of_a_later_worker_ends_the_earlier_one_at_its_address() {
    let (mut fleet, _) = fleet_with_run();
    fleet.connect(3, newcomer(9), complete_report(vec![], vec![]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(2).len() + fleet.take_started(3).len(), 1);
}

/// Guards against two runs of one task: a later owner did not wait for the complete report of a
/// worker that had restarted, and started what the earlier owner had started there.
#[test]
fn later_owner_waits_for_a_restarted_worker() {
    let (fleet, run) = fleet_with_run();
    let mut successor = fleet.successor(2);
    successor.connect(1, worker("i-2", 5), complete_report(vec![], vec![]));
    successor.step(vec![Input::Attach {
        session: 2,
        worker: worker("i-1", 6),
    }]);
    successor.advance(300, &[1, 2]);
    assert!(successor.take_started(1).is_empty());
    let report = complete_report(vec![run_status(run)], vec![]);
    successor.step(vec![Input::Report { session: 2, report }]);
    successor.advance(300, &[1, 2]);
    assert!(successor.take_started(1).is_empty());
    assert!(successor.take_started(2).is_empty());
}

/// Guards against a worker that is locked out: another writer announced a later incarnation of it, which
/// never answered, and the sessions of the real one were refused from then on.
#[test]
fn announced_incarnation_alone_does_not_lock_a_worker_out() {
    let (mut fleet, run) = fleet_with_run();
    fleet.step(vec![Input::Attach {
        session: 3,
        worker: worker("i-1", 99),
    }]);
    let report = complete_report(vec![run_status(run)], vec![]);
    fleet.connect(4, worker("i-1", 5), report);
    fleet.submit(hyssop_jobs::JobId(0xbb), rule(2), job(vec![step(20, &[])]));
    fleet.advance(300, &[2, 4]);
    assert!(!fleet.take_started(4).is_empty());
}

/// Guards against a task that stays assigned to a silent worker: its agent opened session after session
/// without an answer of the worker, and each one extended the lease by which the owner gives it up.
#[test]
fn sessions_without_reports_do_not_extend_a_lease() {
    let (mut fleet, _) = fleet_with_run();
    for session in 3..13 {
        fleet.step(vec![Input::Attach {
            session,
            worker: worker("i-1", 5),
        }]);
        fleet.advance(1_000, &[2]);
    }
    assert_eq!(fleet.take_started(2).len(), 1);
}

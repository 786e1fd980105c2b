//! Maintenance orders of an owner that may have been replaced without knowing.

use hyssop_core::Millis;
use hyssop_jobs::{Input, MaintenanceReply, RENEWAL_VALIDITY};

use crate::support::{Fleet, JOB, complete_report, job, rule, step, worker};
use crate::waves::{fleet, machine_list, ordered_machines, reply_to_order, wave};

/// Time for which the owner's process stands still: long enough for another entry to claim, and
/// short enough that the owner may still start tasks.
const LONG_FREEZE_MS: u64 = 3_400;

/// Time for which the owner's process stands still although nobody else can have claimed since.
const SHORT_FREEZE_MS: u64 = 900;

/// Returns a fleet whose machine waits for a task that cannot move, until 3 s after this.
fn vacating_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 1);
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1")], &[])]);
    fleet.advance(500, &[1]);
    assert!(fleet.shutdowns.is_empty());
    fleet
}

fn renew(fleet: &mut Fleet) {
    let now = Millis(fleet.now);
    fleet.step(vec![Input::OwnershipRenewed(now)]);
}

/// Guards against an order with a lower token after one of the next owner: the wait for the tasks
/// on the machine is over when the owner resumes, before it learns whether it still is the owner. A
/// read that confirms the ownership does not keep others from claiming it a moment later.
#[test]
fn order_waits_for_a_renewal_after_a_freeze() {
    let mut fleet = vacating_fleet();
    fleet.now += LONG_FREEZE_MS;
    fleet.step(vec![]);
    assert!(fleet.shutdowns.is_empty(), "{:?}", fleet.shutdowns);
    let now = Millis(fleet.now);
    fleet.step(vec![Input::OwnershipConfirmed(now)]);
    assert!(fleet.shutdowns.is_empty(), "{:?}", fleet.shutdowns);
    renew(&mut fleet);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
}

/// Guards against the same order when nothing runs on the machine, so that it is ordered in the tick
/// in which the wave turns to it.
#[test]
fn order_for_an_idle_worker_waits_for_a_renewal() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.now += LONG_FREEZE_MS;
    for _ in 0..3 {
        fleet.step(vec![machine_list(&[("m-1", "i-1")], &[])]);
    }
    assert!(fleet.shutdowns.is_empty(), "{:?}", fleet.shutdowns);
    renew(&mut fleet);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
}

/// Guards against a wave that waits after each short freeze although no other entry can have claimed
/// the ownership.
#[test]
fn order_is_sent_after_a_short_freeze() {
    let mut fleet = vacating_fleet();
    fleet.advance(2_300, &[1]);
    assert!(fleet.shutdowns.is_empty(), "{:?}", fleet.shutdowns);
    fleet.now += SHORT_FREEZE_MS;
    fleet.step(vec![]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
}

/// Guards against an order without an answer that is repeated after the next owner has ordered the
/// machine.
#[test]
fn repeated_order_waits_for_a_renewal_after_a_freeze() {
    let mut fleet = fleet();
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::Unknown);
    fleet.now += LONG_FREEZE_MS;
    fleet.step(vec![]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
    renew(&mut fleet);
    assert_eq!(ordered_machines(&fleet), ["m-1", "m-1"]);
}

/// Guards against an order that is sent after the process stood still between the decision on it and
/// its sending.
#[test]
fn order_gets_no_permit_after_its_proof_has_ended() {
    let fleet = fleet();
    let proof = fleet.last_proof.unwrap();
    let now = Millis(fleet.now);
    assert!(proof.permit(now).is_some());
    assert!(proof.permit(now + RENEWAL_VALIDITY).is_none());
    assert!(proof.permit(now + Millis(LONG_FREEZE_MS)).is_none());
}

/// Guards against a machine that is forgotten because its order was not sent, and against one that
/// is taken down in its place: an earlier order may have been carried out.
#[test]
fn order_that_was_not_sent_is_repeated_after_a_renewal() {
    let mut fleet = fleet();
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::NotSent);
    fleet.now += LONG_FREEZE_MS;
    fleet.step(vec![]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
    renew(&mut fleet);
    assert_eq!(ordered_machines(&fleet), ["m-1", "m-1"]);
}

//! Permits of the owner for calls that a later owner could contradict.

use hyssop_core::Millis;
use hyssop_jobs::{Input, Owner, OwnerOptions, RENEWAL_VALIDITY, RenewalProof, StoredRecords};

use crate::support::{Entry, Topic, entry, run};

/// Returns a running owner of epoch 1, the proof of its last renewal and the time of that.
fn owner() -> (Entry, RenewalProof, Millis) {
    let mut entries = [entry("a", 1, 0)];
    let mut topic = Topic::default();
    run(1_000, 2_000, &mut entries, &mut topic);
    let [entry] = entries;
    let renewed_at = entry.renewed_at.unwrap();
    let options = OwnerOptions {
        epoch: 1,
        acquired_at: renewed_at,
        clock_origin: 0,
        max_lease: Millis(10_000),
        max_record_bytes: 262_143,
    };
    let (mut core, _) = Owner::new(renewed_at, options, &StoredRecords::new());
    core.tick(renewed_at, vec![Input::OwnershipRenewed(renewed_at)]);
    let proof = core.renewal_proof(renewed_at).unwrap();
    (entry, proof, renewed_at)
}

/// Guards against a call that is sent when another entry may be the owner: the process stood still
/// between the decision of the owner's core and the sending.
#[test]
fn no_permit_after_a_freeze_between_decision_and_sending() {
    let (entry, proof, renewed_at) = owner();
    let permit = |at: Millis| entry.election.permit(at, 1, proof);
    assert!(permit(renewed_at + Millis(600)).is_some());
    assert!(permit(renewed_at + RENEWAL_VALIDITY).is_none());
    assert!(permit(renewed_at + Millis(3_400)).is_none());
}

/// Guards against a call of an owner that yields to another entry: that one claims without waiting
/// for the timeout, while the last renewal still proves the ownership by its age.
#[test]
fn no_permit_after_the_ownership_was_yielded() {
    let (mut entry, proof, renewed_at) = owner();
    let now = renewed_at + Millis(800);
    entry.election.on_failure(now);
    assert!(entry.election.permit(now, 1, proof).is_some());
    let events = entry.election.yield_if_unreachable(now, 1);
    entry.apply(events);
    assert_eq!(entry.owned_epoch, None);
    assert!(entry.election.permit(now, 1, proof).is_none());
}

/// Guards against a call of an owner that resigns: the store may have the record by which another
/// entry claims at once, although the response is still under way.
#[test]
fn no_permit_while_the_owner_resigns() {
    let (mut entry, proof, renewed_at) = owner();
    entry.election.resign();
    assert!(entry.election.owns(1));
    assert!(entry.election.permit(renewed_at, 1, proof).is_none());
}

/// Guards against a call of an earlier ownership of the same process.
#[test]
fn no_permit_for_another_epoch() {
    let (entry, proof, renewed_at) = owner();
    assert!(entry.election.permit(renewed_at, 1, proof).is_some());
    assert!(entry.election.permit(renewed_at, 2, proof).is_none());
}

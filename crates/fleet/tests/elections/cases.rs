//! Changes of the owner, one cause at a time.

use std::net::SocketAddr;

use hyssop_core::Millis;
use hyssop_fleet::{ElectionStep, OwnerRecord};
use hyssop_jobs::CallerResponse;

use crate::support::{Topic, entry, run};

/// Returns the indexes of the running entries that own the jobs.
fn owner_indexes(entries: &[crate::support::Entry]) -> Vec<usize> {
    let is_running = entries
        .iter()
        .enumerate()
        .filter(|(_, e)| e.is_running && e.owned_epoch.is_some());
    is_running.map(|(index, _)| index).collect()
}

/// Guards against two owners, or none, after candidates start.
#[test]
fn candidate_with_the_shortest_delay_becomes_owner() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    run(1_000, 500, &mut entries, &mut topic);
    assert_eq!(owner_indexes(&entries), [0]);
    assert_eq!(entries[0].owned_epoch, Some(1));
}

/// Guards against jobs that make no progress after the owner's process was killed.
#[test]
fn killed_owner_is_replaced_within_two_seconds() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    entries[0].is_running = false;
    entries[0].owned_epoch = None;
    run(now, 2_000, &mut entries, &mut topic);
    assert_eq!(owner_indexes(&entries), [1]);
}

/// Guards against a delay of several seconds after all processes restart at the same time, when the
/// record still names a process that has ended.
#[test]
fn restarted_processes_claim_at_once() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    let mut entries = [entry("a", 3, 0), entry("b", 4, 200)];
    run(now, 600, &mut entries, &mut topic);
    assert_eq!(owner_indexes(&entries).len(), 1);
    assert!(
        entries
            .iter()
            .all(|e| e.owned_epoch.is_none_or(|epoch| epoch > 1))
    );
}

/// Guards against an owner that keeps the ownership while it cannot reach the store and others can.
#[test]
fn owner_without_the_store_yields() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    entries[0].is_store_reachable = false;
    let now = run(now, 1_700, &mut entries, &mut topic);
    assert_eq!(owner_indexes(&entries), [1]);
    entries[0].is_store_reachable = true;
    run(now, 1_000, &mut entries, &mut topic);
    assert_eq!(owner_indexes(&entries), [1]);
}

/// Guards against a needless change of the owner while no candidate can reach the store.
#[test]
fn owner_stays_while_the_store_is_down_for_all() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    for entry in &mut entries {
        entry.is_store_reachable = false;
    }
    let now = run(now, 5_000, &mut entries, &mut topic);
    for entry in &mut entries {
        entry.is_store_reachable = true;
    }
    run(now, 2_000, &mut entries, &mut topic);
    assert_eq!(owner_indexes(&entries), [0]);
}

/// Guards against an owner that was frozen and resumes while its successor is running.
#[test]
fn frozen_owner_steps_down_when_it_resumes() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    entries[0].is_running = false;
    let now = run(now, 4_000, &mut entries, &mut topic);
    entries[0].is_running = true;
    run(now, 700, &mut entries, &mut topic);
    assert_eq!(owner_indexes(&entries), [1]);
}

/// Guards against a gap without an owner after a planned stop.
#[test]
fn resigning_owner_is_replaced_at_once() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    entries[0].election.resign();
    run(now, 400, &mut entries, &mut topic);
    assert!(entries[0].election.has_resigned());
    assert_eq!(owner_indexes(&entries), [1]);
    // Requests that still arrive can be forwarded to the new owner.
    assert_eq!(
        entries[0].election.owner().map(|owner| owner.epoch),
        entries[1].owned_epoch
    );
}

fn owner_record(node: &str, has_resigned: bool) -> OwnerRecord {
    OwnerRecord {
        node: node.into(),
        incarnation: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 7_720)),
        epoch: 1,
        has_resigned,
    }
}

/// Guards against a planned stop after which there is no owner until two reads that wait for
/// records have ended.
#[test]
fn resigned_owner_is_replaced_without_another_read() {
    let mut election = entry("b", 2, 100).election;
    let at = Millis;
    election.on_newest(at(1_000), at(1_005), 1, Some(owner_record("a", false)));
    election.on_owner_probe(at(1_010), 1, false);
    election.on_follow(at(1_100), at(1_290), 2, Some(owner_record("a", true)));
    assert_eq!(
        election.next_step(at(1_290)),
        ElectionStep::Sleep(Millis(100))
    );
    assert!(matches!(
        election.next_step(at(1_390)),
        ElectionStep::Append(2, _)
    ));
}

/// Guards against a restarted process that waits before it replaces its own earlier incarnation.
#[test]
fn earlier_incarnation_is_replaced_at_once() {
    let mut election = entry("a", 2, 100).election;
    election.on_newest(
        Millis(1_000),
        Millis(1_005),
        1,
        Some(owner_record("a", false)),
    );
    assert!(matches!(
        election.next_step(Millis(1_005)),
        ElectionStep::Append(1, _)
    ));
}

/// Guards against a killed owner that is probed only a second after its last renewal, because the
/// time that reads wait for records was not counted.
#[test]
fn owner_is_probed_after_one_missed_renewal() {
    let mut election = entry("b", 2, 100).election;
    let at = Millis;
    election.on_newest(at(1_000), at(1_000), 1, Some(owner_record("a", false)));
    election.on_owner_probe(at(1_000), 1, false);
    for sent in [1_000, 1_300] {
        election.on_follow(at(sent), at(sent + 300), 1, None);
    }
    assert!(matches!(
        election.next_step(at(1_600)),
        ElectionStep::ProbeOwner(_)
    ));
    election.on_owner_probe(at(1_601), 1, true);
    assert!(matches!(
        election.next_step(at(1_601)),
        ElectionStep::Append(1, _)
    ));
}

/// Guards against an owner that yielded and regains the ownership through a renewal that the store
/// executed late.
#[test]
fn late_renewal_does_not_restore_an_owner_that_yielded() {
    let mut entries = [entry("a", 1, 0)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    let renewal = topic.owner.clone().unwrap();
    entries[0].election.on_failure(Millis(now));
    let events = entries[0]
        .election
        .yield_if_unreachable(Millis(now + 2_000), 1);
    entries[0].apply(events);
    assert_eq!(entries[0].owned_epoch, None);
    let events =
        entries[0]
            .election
            .on_newest(Millis(now + 2_000), Millis(now + 2_000), 9, Some(renewal));
    entries[0].apply(events);
    assert_eq!(entries[0].owned_epoch, None);
}

/// Guards against an entry that rejects callers for as long as it cannot reach the store. It learns
/// the new owner from the other entries.
#[test]
fn entry_that_yielded_learns_its_successor_from_peers() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    let first = topic.owner.clone().unwrap();
    entries[0].is_store_reachable = false;
    run(now, 1_700, &mut entries, &mut topic);
    let successor = topic.owner.clone().unwrap();
    assert!(entries[0].election.is_store_unreachable() && entries[0].owned_epoch.is_none());
    assert_eq!(entries[0].election.on_peer_hint(first), []);
    let events = entries[0].election.on_peer_hint(successor.clone());
    assert_eq!(
        events,
        [hyssop_fleet::ElectionEvent::OwnerChanged(successor.clone())]
    );
    assert_eq!(entries[0].election.on_peer_hint(successor), []);
}

/// Guards against a candidate that deposes a live owner: its claim comes just after a renewal, which
/// repeats the record, so that only the end of the topic shows it.
#[test]
fn renewal_that_beats_a_claim_restarts_the_timeout() {
    let mut candidate = entry("b", 2, 0).election;
    let owner = OwnerRecord {
        node: "a".into(),
        incarnation: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 7_720)),
        epoch: 1,
        has_resigned: false,
    };
    let start = Millis(1_000);
    candidate.on_newest(start, start, 5, Some(owner.clone()));
    candidate.on_owner_probe(start, 1, false);
    let late = start + Millis(2_000);
    candidate.on_follow(late, late, 5, None);
    let step = candidate.next_step(late);
    assert!(matches!(step, ElectionStep::Append(5, _)), "{step:?}");
    candidate.on_end_moved();
    assert_eq!(candidate.next_step(late), ElectionStep::ReadNewest);
    candidate.on_newest(late, late, 6, Some(owner));
    assert_eq!(candidate.next_step(late), ElectionStep::Follow(6));
}

/// Guards against a response of "not executed" for a job that runs: an owner that stops after it
/// received a request may have stored the job.
#[test]
fn request_that_an_owner_received_may_have_been_executed() {
    assert!(hyssop_fleet::RequestReply::NotOwner.is_not_executed());
    assert!(!hyssop_fleet::RequestReply::Lost.is_not_executed());
}

/// Guards against an answer of an owner that may have been replaced: the entry asks again.
#[test]
fn unconfirmed_answer_is_not_passed_on() {
    let unconfirmed = hyssop_fleet::RequestReply::Answered(CallerResponse::Unconfirmed);
    assert!(unconfirmed.is_not_executed());
    assert_eq!(unconfirmed.into_response(), None);
}

/// Guards against candidates and agents that follow a record which is no owner's: after one with an
/// epoch that is too high, they would take every later owner for an earlier one.
#[test]
fn owner_record_that_no_owner_wrote_is_rejected() {
    let record = |address: &str, epoch: &str| {
        format!(r#"{{"node":"n","life":1,"address":"{address}","epoch":{epoch},"resigned":false}}"#)
    };
    let decode = |text: &str| OwnerRecord::decode(7, text.as_bytes());
    assert_eq!(decode(&record("10.0.0.1:1", "7")).unwrap().epoch, 7);
    let nested = "[".repeat(10_000) + &"]".repeat(10_000);
    let invalid = [
        record("10.0.0.1:1", "8"),
        record("10.0.0.1:1", "18446744073709551615"),
        record("10.0.0.1:1", "18446744073709551616"),
        record("10.0.0.1:1", &nested),
        record("10.0.0.1:70000", "7"),
        nested,
        String::new(),
    ];
    for text in invalid {
        assert!(decode(&text).is_err(), "{text:.100}");
    }
}

//! Takeovers, one cause at a time.

use std::net::SocketAddr;

use hyssop_core::Millis;
use hyssop_fleet::{Lead, Step};

use crate::support::{Topic, entry, run};

fn owners(entries: &[crate::support::Entry]) -> Vec<usize> {
    let alive = entries
        .iter()
        .enumerate()
        .filter(|(_, e)| e.alive && e.owns.is_some());
    alive.map(|(at, _)| at).collect()
}

/// Guards against a fleet without an owner, or with two.
#[test]
fn first_candidate_claims() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    run(1_000, 500, &mut entries, &mut topic);
    assert_eq!(owners(&entries), [0]);
    assert_eq!(entries[0].owns, Some(1));
}

/// Guards against jobs that stand still after the owner's process was killed.
#[test]
fn killed_owner_is_replaced_within_two_seconds() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    entries[0].alive = false;
    entries[0].owns = None;
    run(now, 2_000, &mut entries, &mut topic);
    assert_eq!(owners(&entries), [1]);
}

/// Guards against a wait of several seconds when all processes come back at once: the record names
/// a process that has ended.
#[test]
fn restarted_processes_claim_at_once() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    let mut entries = [entry("a", 3, 0), entry("b", 4, 200)];
    run(now, 600, &mut entries, &mut topic);
    assert_eq!(owners(&entries).len(), 1);
    assert!(entries.iter().all(|e| e.owns.is_none_or(|epoch| epoch > 1)));
}

/// Guards against an owner that keeps the jobs while it cannot store anything and others can.
#[test]
fn owner_that_the_store_refuses_gives_way() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    entries[0].reaches = false;
    let now = run(now, 1_700, &mut entries, &mut topic);
    assert_eq!(owners(&entries), [1]);
    entries[0].reaches = true;
    run(now, 1_000, &mut entries, &mut topic);
    assert_eq!(owners(&entries), [1]);
}

/// Guards against a change of owners for nothing: while the store answers nobody, the owner stays.
#[test]
fn owner_stays_while_the_store_is_down_for_all() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    for entry in &mut entries {
        entry.reaches = false;
    }
    let now = run(now, 5_000, &mut entries, &mut topic);
    for entry in &mut entries {
        entry.reaches = true;
    }
    run(now, 2_000, &mut entries, &mut topic);
    assert_eq!(owners(&entries), [0]);
}

/// Guards against an owner that was frozen and goes on beside its successor.
#[test]
fn frozen_owner_finds_that_it_was_replaced() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    entries[0].alive = false;
    let now = run(now, 4_000, &mut entries, &mut topic);
    entries[0].alive = true;
    run(now, 700, &mut entries, &mut topic);
    assert_eq!(owners(&entries), [1]);
}

/// Guards against a pause after a planned stop.
#[test]
fn owner_that_stops_is_replaced_at_once() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    entries[0].claims.leave();
    run(now, 400, &mut entries, &mut topic);
    assert!(entries[0].claims.has_left());
    assert_eq!(owners(&entries), [1]);
    // Requests that still arrive are sent on to the new owner.
    assert_eq!(
        entries[0].claims.lead().map(|lead| lead.epoch),
        entries[1].owns
    );
}

fn lead(node: &str, resigned: bool) -> Lead {
    Lead {
        node: node.into(),
        life: 1,
        address: SocketAddr::from(([10, 0, 0, 1], 7_720)),
        epoch: 1,
        resigned,
    }
}

/// Guards against a planned stop after which nobody owns the jobs until two reads that wait for a
/// record have ended.
#[test]
fn resigned_owner_is_replaced_without_another_read() {
    let mut claims = entry("b", 2, 100).claims;
    let at = Millis;
    claims.newest(at(1_000), at(1_005), 1, Some(lead("a", false)));
    claims.asked(at(1_010), 1, false);
    claims.followed(at(1_100), at(1_290), 2, Some(lead("a", true)));
    assert_eq!(claims.step(at(1_290)), Step::Sleep(Millis(100)));
    assert!(matches!(claims.step(at(1_390)), Step::Append(2, _)));
}

/// Guards against a restarted host that waits before it replaces its own earlier process.
#[test]
fn earlier_process_of_the_host_is_replaced_at_once() {
    let mut claims = entry("a", 2, 100).claims;
    claims.newest(Millis(1_000), Millis(1_005), 1, Some(lead("a", false)));
    assert!(matches!(claims.step(Millis(1_005)), Step::Append(1, _)));
}

/// Guards against a killed owner that is asked only a second after its last renewal, because the wait
/// of the reads was counted out.
#[test]
fn silent_owner_is_asked_after_one_renewal() {
    let mut claims = entry("b", 2, 100).claims;
    let at = Millis;
    claims.newest(at(1_000), at(1_000), 1, Some(lead("a", false)));
    claims.asked(at(1_000), 1, false);
    for sent in [1_000, 1_300] {
        claims.followed(at(sent), at(sent + 300), 1, None);
    }
    assert!(matches!(claims.step(at(1_600)), Step::Ask(_)));
    claims.asked(at(1_601), 1, true);
    assert!(matches!(claims.step(at(1_601)), Step::Append(1, _)));
}

/// Guards against an owner that gave way and comes back by a renewal that was executed late.
#[test]
fn late_renewal_does_not_bring_back_an_owner_that_gave_way() {
    let mut entries = [entry("a", 1, 0)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    let renewal = topic.lead.clone().unwrap();
    entries[0].claims.failed(Millis(now));
    let events = entries[0].claims.give_way(Millis(now + 2_000), 1);
    entries[0].take(events);
    assert_eq!(entries[0].owns, None);
    let events =
        entries[0]
            .claims
            .newest(Millis(now + 2_000), Millis(now + 2_000), 9, Some(renewal));
    entries[0].take(events);
    assert_eq!(entries[0].owns, None);
}

/// Guards against an entry that refuses callers for as long as the store refuses it: it learns of the
/// new owner from the other entries.
#[test]
fn entry_that_gave_way_learns_of_its_successor() {
    let mut entries = [entry("a", 1, 0), entry("b", 2, 200)];
    let mut topic = Topic::default();
    let now = run(1_000, 2_000, &mut entries, &mut topic);
    let first = topic.lead.clone().unwrap();
    entries[0].reaches = false;
    run(now, 1_700, &mut entries, &mut topic);
    let successor = topic.lead.clone().unwrap();
    assert!(entries[0].claims.is_cut() && entries[0].owns.is_none());
    assert_eq!(entries[0].claims.heard(first), []);
    let heard = entries[0].claims.heard(successor.clone());
    assert_eq!(
        heard,
        [hyssop_fleet::ClaimEvent::Follows(successor.clone())]
    );
    assert_eq!(entries[0].claims.heard(successor), []);
}

/// Guards against "not run" for a job that runs: an owner that stops after it has taken a request in
/// may have stored it.
#[test]
fn request_that_an_owner_took_in_may_have_run() {
    assert!(hyssop_fleet::AskReply::NotOwner.is_not_run());
    assert!(!hyssop_fleet::AskReply::Lost.is_not_run());
}

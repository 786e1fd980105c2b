//! Tests of the connectivity, majority, cells and election ranks derived from heartbeats.

use hyssop_conf::{Confirmation, Peers};
use hyssop_core::{
    CellId, CellState, CellSummary, Connectivity, DomainName, EntryName, Heartbeat, Incarnation,
    Millis, Offset, Term,
};
use smallvec::SmallVec;

const HOUR: Millis = Millis(3_600_000);

fn entry(name: &str) -> EntryName {
    EntryName::new(name).expect("entry name")
}

fn heartbeat(name: &str, incarnation: u64, uptime: u64) -> Heartbeat {
    Heartbeat {
        entry: entry(name),
        incarnation: Incarnation(incarnation),
        applied: Offset(7),
        confirmation_age: Some(Millis(100)),
        uptime: Millis(uptime),
        cells: SmallVec::new(),
        view: None,
    }
}

fn cell(shard: u16) -> CellId {
    CellId::new(DomainName::new("bergen-a").expect("domain name"), shard)
}

fn state(shard: u16, term: u64, owner: &str, incarnation: u64) -> CellState {
    CellState {
        cell: cell(shard),
        term: Term(term),
        owner: entry(owner),
        incarnation: Incarnation(incarnation),
        summary: CellSummary::default(),
    }
}

fn peers(own: &str) -> Peers {
    Peers::new(entry(own), ["a", "b", "c"].map(entry))
}

/// Guards against an entry that serves although it reaches neither the log nor a majority, and
/// against one that stops serving although it reaches one of them.
///
/// The connectivity is `Confirmed` while the configuration's last confirmation is younger than
/// `FRESHNESS_LIMIT` (3 s), else `MajorityReachable` while a majority has replied to heartbeats sent
/// within `PEER_TIMEOUT` (3 s), else `Isolated`.
#[test]
fn connectivity_follows_confirmation_and_majority() {
    let mut peers = peers("a");
    let now = Millis(10_000);
    assert_eq!(peers.connectivity(now, None), Connectivity::Isolated);
    assert_eq!(
        peers.connectivity(now, Some(Millis(2_999))),
        Connectivity::Confirmed
    );
    assert!(peers.record_reply(Millis(9_000), now, &heartbeat("b", 1, 500)));
    assert_eq!(
        peers.connectivity(now, Some(Millis(3_000))),
        Connectivity::MajorityReachable
    );
    assert_eq!(
        peers.connectivity(Millis(11_999), None),
        Connectivity::MajorityReachable
    );
    assert_eq!(
        peers.connectivity(Millis(12_000), None),
        Connectivity::Isolated
    );
}

/// Guards against a delayed reply that counts as recent, such as one that is received after this
/// process was suspended.
#[test]
fn reply_counts_from_the_send_time() {
    let mut peers = peers("a");
    let now = Millis(60_000);
    assert!(peers.record_reply(Millis(10_000), now, &heartbeat("b", 1, 500)));
    assert!(!peers.has_majority(now));
}

/// Guards against a majority of two out of four entries, because two such majorities can be
/// disjoint.
#[test]
fn half_of_the_entries_is_no_majority() {
    let mut peers = Peers::new(entry("a"), ["a", "b", "c", "d"].map(entry));
    let now = Millis(100);
    peers.record_reply(now, now, &heartbeat("b", 1, 500));
    assert!(!peers.has_majority(now));
    peers.record_reply(now, now, &heartbeat("c", 1, 500));
    assert!(peers.has_majority(now));
    assert!(Peers::new(entry("a"), []).has_majority(now));
}

/// Guards against a one-way network failure that goes unnoticed: the heartbeats of the peers
/// arrive, but this entry gets no replies. The age of the peers' confirmations is then not known,
/// so they must not be used.
#[test]
fn one_way_contact_is_no_majority() {
    let mut peers = peers("a");
    let now = Millis(10_000);
    let mut owner = heartbeat("b", 1, 500);
    owner.cells.push(state(0, 4, "b", 1));
    assert!(peers.record_heartbeat(now, &owner));
    assert!(peers.record_heartbeat(now, &heartbeat("c", 1, 500)));
    assert_eq!(peers.connectivity(now, None), Connectivity::Isolated);
    assert!(peers.confirmations().is_empty());
    assert_eq!(peers.cells(), [state(0, 4, "b", 1)]);
    assert!(peers.is_alive(now, &entry("b"), Incarnation(1)));
    assert_eq!(peers.alive_entries(now), ["a", "b", "c"].map(entry));
}

/// Guards against a replaced process that counts again when its late replies arrive.
#[test]
fn replaced_process_is_ignored() {
    let mut peers = peers("a");
    assert!(peers.record_reply(Millis(0), Millis(1), &heartbeat("b", 1, 9_000)));
    assert!(peers.record_reply(Millis(500), Millis(501), &heartbeat("b", 2, 10)));
    assert!(!peers.record_reply(Millis(600), Millis(601), &heartbeat("b", 1, 9_600)));
    assert!(!peers.is_alive(Millis(601), &entry("b"), Incarnation(1)));
    assert!(peers.is_alive(Millis(601), &entry("b"), Incarnation(2)));
    // Its heartbeats are ignored until it has sent none for 60 s. Then the incarnation is accepted
    // again.
    assert!(!peers.record_heartbeat(Millis(60_600), &heartbeat("b", 1, 69_000)));
    assert!(!peers.record_heartbeat(Millis(120_599), &heartbeat("b", 1, 129_000)));
    assert!(peers.record_heartbeat(Millis(180_599), &heartbeat("b", 1, 189_000)));
}

/// Guards against a reply of the old process that counts for its replacement.
#[test]
fn replacement_has_to_reply_itself() {
    let mut peers = peers("a");
    peers.record_reply(Millis(0), Millis(1), &heartbeat("b", 1, 9_000));
    assert!(peers.has_majority(Millis(2)));
    peers.record_heartbeat(Millis(2), &heartbeat("b", 2, 1));
    assert!(!peers.has_majority(Millis(3)));
}

/// Guards against a late heartbeat that restores cells whose ownership its sender has given up.
#[test]
fn late_heartbeat_does_not_restore_cells() {
    let mut peers = peers("a");
    let mut early = heartbeat("b", 1, 500);
    early.cells.push(state(0, 4, "b", 1));
    peers.record_reply(Millis(600), Millis(610), &heartbeat("b", 1, 1_000));
    peers.record_heartbeat(Millis(620), &early);
    assert!(peers.cells().is_empty());
}

/// Guards against an earlier owner that is reported instead of the current one.
#[test]
fn owner_with_the_highest_term_is_reported() {
    let mut peers = peers("a");
    let mut old = heartbeat("b", 1, 500);
    old.cells.push(state(0, 4, "b", 1));
    old.cells.push(state(1, 5, "b", 1));
    let mut new = heartbeat("c", 3, 500);
    new.cells.push(state(0, 9, "c", 3));
    peers.record_reply(Millis(1), Millis(2), &new);
    peers.record_reply(Millis(1), Millis(2), &old);
    assert_eq!(peers.cells(), [state(0, 9, "c", 3), state(1, 5, "b", 1)]);
}

/// Guards against a recent start of an entry that goes unnoticed. The entry may have replaced an
/// owner that still runs and renews leases, so a new owner then waits longer for the leases on
/// unresponsive workers.
#[test]
fn recent_start_is_reported() {
    let mut peers = peers("a");
    let now = Millis(1_000);
    assert!(peers.has_recent_start(now, Millis(HOUR.0 - 1)));
    assert!(!peers.has_recent_start(now, HOUR));
    peers.record_reply(now, now, &heartbeat("b", 1, HOUR.0));
    assert!(!peers.has_recent_start(now, HOUR));
    peers.record_reply(now, now, &heartbeat("c", 1, HOUR.0 - 1));
    assert!(peers.has_recent_start(now, HOUR));
    // The replies of both peers are 3 s old, so the peers no longer count as reachable.
    assert!(!peers.has_recent_start(Millis(4_000), HOUR));
}

/// Guards against two entries with the same rank, and against a failed entry that keeps its rank.
#[test]
fn ranks_are_distinct_and_skip_failed_entries() {
    let names = ["a", "b", "c"];
    let now = Millis(1_000);
    for shard in 0..20 {
        let mut ranks: Vec<u32> = names
            .iter()
            .map(|own| {
                let mut peers = peers(own);
                for name in names {
                    peers.record_reply(now, now, &heartbeat(name, 1, 500));
                }
                peers.election_rank(now, &cell(shard))
            })
            .collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2]);
        assert_eq!(peers("a").election_rank(now, &cell(shard)), 0);
    }
}

/// Guards against a majority that includes heartbeats under this entry's own name or from unknown
/// entries.
#[test]
fn unknown_entries_do_not_count() {
    let mut peers = peers("a");
    let now = Millis(1_000);
    assert!(!peers.record_reply(now, now, &heartbeat("a", 9, 500)));
    assert!(!peers.record_reply(now, now, &heartbeat("x", 1, 500)));
    assert!(!peers.has_majority(now));
    assert_eq!(
        peers.alive_entries(now),
        Vec::<EntryName>::from([entry("a")])
    );
}

/// Guards against a confirmation whose age leaves out the round-trip time, and against one that is
/// replaced by an older one from a later reply.
#[test]
fn confirmation_keeps_the_send_time() {
    let mut peers = peers("a");
    peers.record_reply(Millis(500), Millis(2_000), &heartbeat("b", 1, 600));
    let mut with_older_confirmation = heartbeat("b", 1, 700);
    with_older_confirmation.confirmation_age = Some(Millis(900));
    peers.record_reply(Millis(600), Millis(2_100), &with_older_confirmation);
    let confirmation = Confirmation {
        sent_at: Millis(500),
        age: Millis(100),
        applied: Offset(7),
    };
    assert_eq!(peers.confirmations().as_slice(), [confirmation]);
}

//! Focused tests of the view of the other entries.

use hyssop_conf::{Peers, Proof};
use hyssop_core::{
    CellId, CellState, CellSummary, Connectivity, DomainName, EntryName, Heartbeat, Incarnation,
    Millis, Offset, Term,
};
use smallvec::SmallVec;

const HOUR: Millis = Millis(3_600_000);

fn entry(name: &str) -> EntryName {
    EntryName::new(name).expect("entry name")
}

fn beat(name: &str, life: u64, uptime: u64) -> Heartbeat {
    Heartbeat {
        entry: entry(name),
        incarnation: Incarnation(life),
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

fn state(shard: u16, term: u64, owner: &str, life: u64) -> CellState {
    CellState {
        cell: cell(shard),
        term: Term(term),
        owner: entry(owner),
        incarnation: Incarnation(life),
        summary: CellSummary::default(),
    }
}

fn peers(own: &str) -> Peers {
    Peers::new(entry(own), ["a", "b", "c"].map(entry))
}

/// Guards against an entry that serves although it hears no majority, and one that stops although
/// it does.
#[test]
fn standing_follows_proof_and_majority() {
    let mut peers = peers("a");
    let now = Millis(10_000);
    assert_eq!(peers.standing(now, None), Connectivity::Isolated);
    assert_eq!(
        peers.standing(now, Some(Millis(2_999))),
        Connectivity::Confirmed
    );
    assert!(peers.heard(Millis(9_000), now, &beat("b", 1, 500)));
    assert_eq!(
        peers.standing(now, Some(Millis(3_000))),
        Connectivity::MajorityReachable
    );
    assert_eq!(
        peers.standing(Millis(11_999), None),
        Connectivity::MajorityReachable
    );
    assert_eq!(peers.standing(Millis(12_000), None), Connectivity::Isolated);
}

/// Guards against a delayed answer, such as after this process was frozen, that counts as recent.
#[test]
fn answer_counts_from_its_sending() {
    let mut peers = peers("a");
    let now = Millis(60_000);
    assert!(peers.heard(Millis(10_000), now, &beat("b", 1, 500)));
    assert!(!peers.majority(now));
}

/// Guards against a majority of two out of four, which need not share an entry with another.
#[test]
fn half_is_no_majority() {
    let mut peers = Peers::new(entry("a"), ["a", "b", "c", "d"].map(entry));
    let now = Millis(100);
    peers.heard(now, now, &beat("b", 1, 500));
    assert!(!peers.majority(now));
    peers.heard(now, now, &beat("c", 1, 500));
    assert!(peers.majority(now));
    assert!(Peers::new(entry("a"), []).majority(now));
}

/// Guards against a one-way cut that passes for contact: the peers' heartbeats arrive, but none of
/// this entry's is answered. Their proofs have no known age and must not be used.
#[test]
fn one_way_cut_is_no_majority() {
    let mut peers = peers("a");
    let now = Millis(10_000);
    let mut owner = beat("b", 1, 500);
    owner.cells.push(state(0, 4, "b", 1));
    assert!(peers.received(now, &owner));
    assert!(peers.received(now, &beat("c", 1, 500)));
    assert_eq!(peers.standing(now, None), Connectivity::Isolated);
    assert!(peers.proofs().is_empty());
    assert_eq!(peers.cells(), [state(0, 4, "b", 1)]);
    assert!(peers.is_alive(now, &entry("b"), Incarnation(1)));
    assert_eq!(peers.alive(now), ["a", "b", "c"].map(entry));
}

/// Guards against a replaced process that counts again when its late answers arrive.
#[test]
fn replaced_entry_is_retired() {
    let mut peers = peers("a");
    assert!(peers.heard(Millis(0), Millis(1), &beat("b", 1, 9_000)));
    assert!(peers.heard(Millis(500), Millis(501), &beat("b", 2, 10)));
    assert!(!peers.heard(Millis(600), Millis(601), &beat("b", 1, 9_600)));
    assert!(!peers.is_alive(Millis(601), &entry("b"), Incarnation(1)));
    assert!(peers.is_alive(Millis(601), &entry("b"), Incarnation(2)));
    // Still running, it stays retired; silent for 60 s, it is forgotten.
    assert!(!peers.received(Millis(60_600), &beat("b", 1, 69_000)));
    assert!(!peers.received(Millis(120_599), &beat("b", 1, 129_000)));
    assert!(peers.received(Millis(180_599), &beat("b", 1, 189_000)));
}

/// Guards against the time at which the old process was heard counting for its replacement.
#[test]
fn replacement_has_to_be_heard_itself() {
    let mut peers = peers("a");
    peers.heard(Millis(0), Millis(1), &beat("b", 1, 9_000));
    assert!(peers.majority(Millis(2)));
    peers.received(Millis(2), &beat("b", 2, 1));
    assert!(!peers.majority(Millis(3)));
}

/// Guards against a late heartbeat that brings back cells which its sender has given up.
#[test]
fn late_heartbeat_changes_no_cells() {
    let mut peers = peers("a");
    let mut early = beat("b", 1, 500);
    early.cells.push(state(0, 4, "b", 1));
    peers.heard(Millis(600), Millis(610), &beat("b", 1, 1_000));
    peers.received(Millis(620), &early);
    assert!(peers.cells().is_empty());
}

/// Guards against an old owner hiding the new one.
#[test]
fn highest_term_of_a_cell_wins() {
    let mut peers = peers("a");
    let mut old = beat("b", 1, 500);
    old.cells.push(state(0, 4, "b", 1));
    old.cells.push(state(1, 5, "b", 1));
    let mut new = beat("c", 3, 500);
    new.cells.push(state(0, 9, "c", 3));
    peers.heard(Millis(1), Millis(2), &new);
    peers.heard(Millis(1), Millis(2), &old);
    assert_eq!(peers.cells(), [state(0, 9, "c", 3), state(1, 5, "b", 1)]);
}

/// Guards against a short takeover wait while an entry may have been replaced.
#[test]
fn young_entry_is_reported() {
    let mut peers = peers("a");
    let now = Millis(1_000);
    assert!(peers.young(now, Millis(HOUR.0 - 1)));
    assert!(!peers.young(now, HOUR));
    peers.heard(now, now, &beat("b", 1, HOUR.0));
    assert!(!peers.young(now, HOUR));
    peers.heard(now, now, &beat("c", 1, HOUR.0 - 1));
    assert!(peers.young(now, HOUR));
    assert!(!peers.young(Millis(4_000), HOUR));
}

/// Guards against two entries of the same rank, and against a dead entry that keeps its rank.
#[test]
fn ranks_are_distinct_and_skip_the_dead() {
    let names = ["a", "b", "c"];
    let now = Millis(1_000);
    for shard in 0..20 {
        let mut ranks: Vec<u32> = names
            .iter()
            .map(|own| {
                let mut peers = peers(own);
                for name in names {
                    peers.heard(now, now, &beat(name, 1, 500));
                }
                peers.rank(now, &cell(shard))
            })
            .collect();
        ranks.sort_unstable();
        assert_eq!(ranks, [0, 1, 2]);
        assert_eq!(peers("a").rank(now, &cell(shard)), 0);
    }
}

/// Guards against heartbeats of this entry's own name or of unknown entries in the majority.
#[test]
fn strangers_do_not_count() {
    let mut peers = peers("a");
    let now = Millis(1_000);
    assert!(!peers.heard(now, now, &beat("a", 9, 500)));
    assert!(!peers.heard(now, now, &beat("x", 1, 500)));
    assert!(!peers.majority(now));
    assert_eq!(peers.alive(now), Vec::<EntryName>::from([entry("a")]));
}

/// Guards against a proof whose age hides the time that the answer took.
#[test]
fn proof_keeps_the_send_time() {
    let mut peers = peers("a");
    peers.heard(Millis(500), Millis(2_000), &beat("b", 1, 600));
    let mut older = beat("b", 1, 700);
    older.confirmation_age = Some(Millis(900));
    peers.heard(Millis(600), Millis(2_100), &older);
    let proof = Proof {
        sent: Millis(500),
        age: Millis(100),
        applied: Offset(7),
    };
    assert_eq!(peers.proofs().as_slice(), [proof]);
}

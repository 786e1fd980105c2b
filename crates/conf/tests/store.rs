//! Focused tests of the store: proofs, snapshots, recovery after a long outage, checks of changes.

mod common;

use std::collections::BTreeSet;

use common::{doc, entry, envelope, put};
use hyssop_conf::{Applied, ConfStore, Error, HISTORY_LIMIT};
use hyssop_core::{
    ConfRecord, ConfView, DomainName, DomainState, Millis, Offset, Quota, ServiceName, TeamName,
    Version,
};

fn service(name: &str) -> ServiceName {
    ServiceName::new(name).expect("service name")
}

fn domain(name: &str) -> DomainName {
    DomainName::new(name).expect("domain name")
}

fn team(name: &str) -> TeamName {
    TeamName::new(name).expect("team name")
}

/// Returns a store whose first record was a snapshot of an empty one.
fn started() -> ConfStore {
    let mut store = ConfStore::new();
    let empty = store.snapshot(Offset(0));
    store.apply(Offset(0), &envelope(1, "entry-a", empty));
    store
}

fn accept(store: &mut ConfStore, id: u128, body: ConfRecord) -> Version {
    match store.apply(store.next(), &envelope(id, "entry-a", body)) {
        Applied::Accepted { version } => version,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Guards against two winners, and against a conflict that does not name the winner.
#[test]
fn racing_change_names_winner() {
    let mut store = started();
    accept(&mut store, 2, put("planner", 0, 1));
    let late = envelope(3, "entry-b", put("planner", 0, 2));
    let applied = store.apply(Offset(2), &late);
    let expected = Applied::Conflict {
        current: Version(1),
        winner: Some(entry("entry-a")),
    };
    assert_eq!(applied, expected);
    assert_eq!(store.view().docs[&service("planner")].doc.moves.away, 1);
}

/// Guards against two domains that are taken out on checks of the same state, and against a
/// conflict that does not name the change of the other domain.
#[test]
fn change_of_another_domain_makes_check_void() {
    let mut store = started();
    let out = |name, base, seen| ConfRecord::Domain {
        domain: domain(name),
        base: Version(base),
        state: DomainState::Out,
        domains_version: Version(seen),
    };
    accept(&mut store, 2, out("bergen-a", 0, 0));
    let late = envelope(3, "entry-b", out("bergen-b", 0, 0));
    let lost = Applied::Conflict {
        current: Version(1),
        winner: Some(entry("entry-a")),
    };
    assert_eq!(store.apply(Offset(2), &late), lost);
    assert_eq!(store.view().domains.len(), 1);
    let again = envelope(4, "entry-b", out("bergen-b", 0, 1));
    store.apply(Offset(3), &again);
    // A conflict within the domain names the change of that domain.
    let stale = envelope(5, "entry-a", out("bergen-a", 0, 3));
    assert_eq!(store.apply(Offset(4), &stale), lost);
    assert_eq!(store.view().domains_version(), Version(3));
}

/// Guards against a second copy of a creation that brings a removed document back.
#[test]
fn copy_does_not_restore_removed_document() {
    let mut store = started();
    let created = envelope(2, "entry-a", put("planner", 0, 1));
    store.apply(Offset(1), &created);
    let remove = ConfRecord::Remove {
        service: service("planner"),
        base: Version(1),
    };
    accept(&mut store, 3, remove);
    let mut restored = ConfStore::new();
    let snapshot = envelope(4, "entry-a", store.snapshot(store.next()));
    assert!(restored.restore(Offset(3), &snapshot));
    for reader in [&mut store, &mut restored] {
        reader.apply(Offset(3), &snapshot);
        assert_eq!(reader.apply(Offset(4), &created), Applied::Duplicate);
        assert!(reader.view().docs.is_empty());
    }
}

/// Guards against a proof by a read of records that the store has not applied.
#[test]
fn proof_needs_the_head() {
    let mut store = started();
    assert_eq!(store.age(Millis(10)), None);
    assert!(!store.prove(Millis(10), Offset(2)));
    assert!(store.prove(Millis(10), Offset(1)));
    assert!(store.prove(Millis(5), Offset(1)));
    assert_eq!(store.age(Millis(15)), Some(Millis(5)));
    assert!(store.is_fresh(Millis(3_009)));
    assert!(!store.is_fresh(Millis(3_010)));
}

/// Guards against an age that leaves out the time that the peer's own proof had.
#[test]
fn peer_proof_adds_both_ages() {
    let mut store = started();
    assert!(!store.prove_via(Millis(100), Millis(0), Offset(9)));
    assert!(store.prove_via(Millis(100), Millis(250), Offset(1)));
    assert_eq!(store.age(Millis(200)), Some(Millis(350)));
}

/// Guards against a damaged or impossible snapshot being taken as the state.
#[test]
fn bad_snapshots_are_refused() {
    let mut store = started();
    accept(&mut store, 2, put("planner", 0, 1));
    let good = store.snapshot(store.next());
    let ConfRecord::Snapshot { upto, hash, state } = good.clone() else {
        panic!("a snapshot");
    };
    let damaged = ConfRecord::Snapshot {
        upto,
        hash,
        state: state.replace("planner", "plunder"),
    };
    let early = ConfRecord::Snapshot {
        upto: Offset(9),
        hash,
        state,
    };
    let mut reader = ConfStore::new();
    assert!(!reader.restore(Offset(2), &envelope(3, "entry-a", damaged.clone())));
    assert!(!reader.restore(Offset(2), &envelope(3, "entry-a", early)));
    assert!(!reader.restore(Offset(2), &envelope(3, "entry-a", put("planner", 0, 1))));
    assert_eq!(*reader.view().as_ref(), ConfView::default());
    assert!(reader.restore(Offset(2), &envelope(3, "entry-a", good)));
    assert_eq!(reader.view(), store.view());
    let applied = store.apply(Offset(2), &envelope(4, "entry-a", damaged));
    assert_eq!(applied, Applied::Ignored);
}

/// Guards against task starts on a configuration that may have missed changes, and against lost
/// changes when the stores that remain know different parts.
#[test]
fn stores_converge_after_lost_records() {
    let mut ahead = started();
    accept(&mut ahead, 2, put("planner", 0, 1));
    let mut behind = ahead.clone();
    accept(&mut ahead, 3, put("routes", 0, 1));
    let remove = ConfRecord::Remove {
        service: service("planner"),
        base: Version(1),
    };
    accept(&mut ahead, 4, remove);

    for store in [&mut behind, &mut ahead] {
        store.skip(Offset(20));
        assert!(store.owes_snapshot());
        assert!(!store.prove(Millis(1), Offset(20)));
    }
    let poor = envelope(5, "entry-b", behind.snapshot(Offset(20)));
    for store in [&mut behind, &mut ahead] {
        store.apply(Offset(20), &poor);
    }
    assert!(!behind.owes_snapshot());
    assert!(ahead.owes_snapshot());
    assert!(!ahead.view().docs.contains_key(&service("planner")));
    let rich = envelope(6, "entry-a", ahead.snapshot(Offset(21)));
    for store in [&mut behind, &mut ahead] {
        store.apply(Offset(21), &rich);
        assert!(!store.owes_snapshot());
        assert!(store.prove(Millis(2), Offset(22)));
    }
    assert_eq!(behind.view(), ahead.view());
    assert_eq!(behind.view().docs.len(), 1);
    assert_eq!(behind.snapshot(Offset(22)), ahead.snapshot(Offset(22)));
}

/// Guards against a peer's earlier copy replacing a later one, and against a store that forgets an
/// adopted copy when it skips.
#[test]
fn adopted_view_outlives_skip() {
    let mut ahead = started();
    let mut behind = ahead.clone();
    accept(&mut ahead, 2, put("planner", 0, 1));
    let old = behind.view().clone();
    assert!(behind.adopt(ahead.view()));
    assert!(!behind.adopt(&old));
    behind.skip(Offset(9));
    let record = envelope(3, "entry-b", behind.snapshot(Offset(9)));
    behind.apply(Offset(9), &record);
    assert_eq!(behind.view().docs, ahead.view().docs);
    assert_eq!(behind.view().applied, Offset(10));
}

/// Guards against the loss of an adopted copy that reaches beyond the skipped offsets, when no
/// other process is left to write a snapshot.
#[test]
fn adopted_view_beyond_gap_is_offered() {
    let mut ahead = started();
    let mut behind = ahead.clone();
    accept(&mut ahead, 2, put("planner", 0, 1));
    accept(&mut ahead, 3, put("planner", 1, 2));
    behind.adopt(ahead.view());
    behind.skip(Offset(2));
    let second = envelope(3, "entry-a", put("planner", 1, 2));
    assert_eq!(behind.apply(Offset(2), &second), Applied::Ignored);
    assert!(!behind.is_whole());
    let record = envelope(4, "entry-b", behind.snapshot(Offset(3)));
    behind.apply(Offset(3), &record);
    assert!(behind.is_whole());
    assert_eq!(behind.view().docs, ahead.view().docs);
    assert_eq!(behind.view().applied, Offset(4));
}

/// Guards against a record that cannot be decoded stopping the reader.
#[test]
fn unreadable_record_is_passed() {
    let mut store = started();
    store.pass(Offset(1));
    assert_eq!(store.next(), Offset(2));
    assert!(store.prove(Millis(1), Offset(2)));
    store.pass(Offset(7));
    assert_eq!(store.next(), Offset(2));
}

/// Guards against a change at offset 0, whose version would read as "none".
#[test]
fn first_offset_sets_no_version() {
    let mut store = ConfStore::new();
    let applied = store.apply(Offset(0), &envelope(1, "entry-a", put("planner", 0, 1)));
    assert_eq!(applied, Applied::Ignored);
    assert!(store.view().docs.is_empty());
}

/// Guards against a history that grows without limit or loses the removal.
#[test]
fn history_is_bounded() {
    let mut store = started();
    let mut base = Version(0);
    for step in 0..40 {
        base = accept(&mut store, 10 + step, put("planner", base.0, 1));
    }
    let remove = ConfRecord::Remove {
        service: service("planner"),
        base,
    };
    accept(&mut store, 90, remove);
    let history = store.history(&service("planner"));
    assert_eq!(history.len(), HISTORY_LIMIT);
    assert_eq!(history.last().map(|last| last.doc.is_none()), Some(true));
    assert!(history.is_sorted_by_key(|version| version.version));
    assert!(store.history(&service("routes")).is_empty());
}

/// Guards against changes that the settings or the owner of the document rule out, and against
/// messages that do not name the field and the allowed values.
#[test]
fn changes_are_checked() {
    let mut store = started();
    accept(&mut store, 2, put("planner", 0, 1));
    let known = BTreeSet::from([domain("bergen-a"), domain("forde")]);
    let haugland = team("haugland");
    let morski = team("morski");
    let check = |change: &ConfRecord, team| store.check_change(change, &known, team);

    assert_eq!(check(&put("planner", 1, 2), Some(&haugland)), Ok(()));
    let error = check(&put("planner", 1, 2), Some(&morski)).expect_err("other team");
    assert_eq!(error.to_string(), "team: haugland; allowed: morski");

    let stolen = ConfRecord::Put {
        base: Version(1),
        doc: doc("planner", "morski", 1),
    };
    let error = check(&stolen, Some(&morski)).expect_err("document of another team");
    assert!(matches!(error, Error::Team { .. }), "{error}");
    assert!(
        error
            .to_string()
            .contains("allowed: changes by team haugland")
    );
    assert_eq!(check(&stolen, None), Ok(()));

    let mut elsewhere = doc("routes", "haugland", 1);
    elsewhere.domains.push(domain("gdynia"));
    let change = ConfRecord::Put {
        base: Version(0),
        doc: elsewhere,
    };
    let error = check(&change, Some(&haugland)).expect_err("unknown domain");
    assert_eq!(
        error.to_string(),
        "domains[1]: gdynia; allowed: bergen-a, forde"
    );

    let change = ConfRecord::Domain {
        domain: domain("gdynia"),
        base: Version(0),
        state: DomainState::Out,
        domains_version: Version(0),
    };
    let error = check(&change, None).expect_err("unknown domain");
    assert_eq!(
        error.to_string(),
        "domain: gdynia; allowed: bergen-a, forde"
    );

    let remove = ConfRecord::Remove {
        service: service("planner"),
        base: Version(1),
    };
    assert!(check(&remove, Some(&morski)).is_err());
    let quota = ConfRecord::Quota {
        team: haugland.clone(),
        base: Version(0),
        quota: Quota::default(),
    };
    assert_eq!(check(&quota, None), Ok(()));
    assert!(check(&store.snapshot(Offset(1)), None).is_err());
}

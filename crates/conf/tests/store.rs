//! Tests of the store: conflicts, confirmations, snapshots, recovery after a long outage, and
//! checks of changes.

mod common;

use std::collections::BTreeSet;

use common::{doc, entry, envelope, put};
use hyssop_conf::{ApplyOutcome, ConfStore, Error, MAX_HISTORY_VERSIONS};
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

/// Returns a store that has applied a snapshot of an empty store at offset 0.
fn started_store() -> ConfStore {
    let mut store = ConfStore::new();
    let empty = store.snapshot(Offset(0));
    store.apply(Offset(0), &envelope(1, "entry-a", empty));
    store
}

fn apply_accepted(store: &mut ConfStore, id: u128, body: ConfRecord) -> Version {
    match store.apply(store.next_offset(), &envelope(id, "entry-a", body)) {
        ApplyOutcome::Accepted { version } => version,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Guards against two accepted changes with the same base, and against a conflict that does not
/// name the writer of the accepted one.
#[test]
fn conflict_names_the_winner() {
    let mut store = started_store();
    apply_accepted(&mut store, 2, put("planner", 0, 1));
    let late = envelope(3, "entry-b", put("planner", 0, 2));
    let outcome = store.apply(Offset(2), &late);
    let expected = ApplyOutcome::Conflict {
        current: Version(1),
        winner: Some(entry("entry-a")),
    };
    assert_eq!(outcome, expected);
    assert_eq!(store.view().docs[&service("planner")].doc.moves.away, 1);
}

/// Guards against two domains that are taken out of service after checks of the same state, and
/// against a conflict that does not name the change of the other domain.
#[test]
fn change_of_another_domain_is_a_conflict() {
    let mut store = started_store();
    let out = |name, base, domains_version| ConfRecord::Domain {
        domain: domain(name),
        base: Version(base),
        state: DomainState::Out,
        domains_version: Version(domains_version),
    };
    apply_accepted(&mut store, 2, out("bergen-a", 0, 0));
    let late = envelope(3, "entry-b", out("bergen-b", 0, 0));
    let conflict = ApplyOutcome::Conflict {
        current: Version(1),
        winner: Some(entry("entry-a")),
    };
    assert_eq!(store.apply(Offset(2), &late), conflict);
    assert_eq!(store.view().domains.len(), 1);
    let again = envelope(4, "entry-b", out("bergen-b", 0, 1));
    store.apply(Offset(3), &again);
    // A conflict within the domain names the change of that domain.
    let stale = envelope(5, "entry-a", out("bergen-a", 0, 3));
    assert_eq!(store.apply(Offset(4), &stale), conflict);
    assert_eq!(store.view().domains_version(), Version(3));
}

/// Guards against a second copy of a document's first record that restores the removed document.
#[test]
fn second_copy_does_not_restore_a_removed_document() {
    let mut store = started_store();
    let created = envelope(2, "entry-a", put("planner", 0, 1));
    store.apply(Offset(1), &created);
    let remove = ConfRecord::Remove {
        service: service("planner"),
        base: Version(1),
    };
    apply_accepted(&mut store, 3, remove);
    let mut restored = ConfStore::new();
    let snapshot = envelope(4, "entry-a", store.snapshot(store.next_offset()));
    assert!(restored.restore(Offset(3), &snapshot));
    for reader in [&mut store, &mut restored] {
        reader.apply(Offset(3), &snapshot);
        assert_eq!(reader.apply(Offset(4), &created), ApplyOutcome::Duplicate);
        assert!(reader.view().docs.is_empty());
    }
}

/// Guards against a confirmation by a read while the store has not applied all records below the
/// head.
#[test]
fn read_confirms_only_up_to_the_applied_offset() {
    let mut store = started_store();
    assert_eq!(store.confirmation_age(Millis(10)), None);
    assert!(!store.confirm_by_read(Millis(10), Offset(2)));
    assert!(store.confirm_by_read(Millis(10), Offset(1)));
    assert!(store.confirm_by_read(Millis(5), Offset(1)));
    assert_eq!(store.confirmation_age(Millis(15)), Some(Millis(5)));
    assert!(store.is_fresh(Millis(3_009)));
    assert!(!store.is_fresh(Millis(3_010)));
}

/// Guards against an age that leaves out the age of the peer's own confirmation.
#[test]
fn confirmation_by_peer_adds_both_ages() {
    let mut store = started_store();
    assert!(!store.confirm_by_peer(Millis(100), Millis(0), Offset(9)));
    assert!(store.confirm_by_peer(Millis(100), Millis(250), Offset(1)));
    assert_eq!(store.confirmation_age(Millis(200)), Some(Millis(350)));
}

/// Guards against a damaged or impossible snapshot that becomes the state.
#[test]
fn invalid_snapshots_are_rejected() {
    let mut store = started_store();
    apply_accepted(&mut store, 2, put("planner", 0, 1));
    let good = store.snapshot(store.next_offset());
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
    let outcome = store.apply(Offset(2), &envelope(4, "entry-a", damaged));
    assert_eq!(outcome, ApplyOutcome::Ignored);
}

/// Guards against task starts with a configuration that may lack changes, and against lost changes
/// when each of the remaining stores has only some of them.
#[test]
fn stores_converge_after_lost_records() {
    let mut ahead = started_store();
    apply_accepted(&mut ahead, 2, put("planner", 0, 1));
    let mut behind = ahead.clone();
    apply_accepted(&mut ahead, 3, put("routes", 0, 1));
    let remove = ConfRecord::Remove {
        service: service("planner"),
        base: Version(1),
    };
    apply_accepted(&mut ahead, 4, remove);

    for store in [&mut behind, &mut ahead] {
        store.skip_to(Offset(20));
        assert!(store.needs_snapshot());
        assert!(!store.confirm_by_read(Millis(1), Offset(20)));
    }
    let older_snapshot = envelope(5, "entry-b", behind.snapshot(Offset(20)));
    for store in [&mut behind, &mut ahead] {
        store.apply(Offset(20), &older_snapshot);
    }
    assert!(!behind.needs_snapshot());
    assert!(ahead.needs_snapshot());
    assert!(!ahead.view().docs.contains_key(&service("planner")));
    let newer_snapshot = envelope(6, "entry-a", ahead.snapshot(Offset(21)));
    for store in [&mut behind, &mut ahead] {
        store.apply(Offset(21), &newer_snapshot);
        assert!(!store.needs_snapshot());
        assert!(store.confirm_by_read(Millis(2), Offset(22)));
    }
    assert_eq!(behind.view(), ahead.view());
    assert_eq!(behind.view().docs.len(), 1);
    assert_eq!(behind.snapshot(Offset(22)), ahead.snapshot(Offset(22)));
}

/// Guards against a peer's copy that replaces a later one, and against a store that loses an
/// adopted copy when it skips records.
#[test]
fn adopted_view_is_retained_after_a_skip() {
    let mut ahead = started_store();
    let mut behind = ahead.clone();
    apply_accepted(&mut ahead, 2, put("planner", 0, 1));
    let old = behind.view().clone();
    assert!(behind.adopt(ahead.view()));
    assert!(!behind.adopt(&old));
    behind.skip_to(Offset(9));
    let record = envelope(3, "entry-b", behind.snapshot(Offset(9)));
    behind.apply(Offset(9), &record);
    assert_eq!(behind.view().docs, ahead.view().docs);
    assert_eq!(behind.view().applied, Offset(10));
}

/// Guards against the loss of an adopted copy that reaches beyond the skipped offsets, if no other
/// process can write a snapshot.
#[test]
fn adopted_view_beyond_the_gap_is_in_the_snapshot() {
    let mut ahead = started_store();
    let mut behind = ahead.clone();
    apply_accepted(&mut ahead, 2, put("planner", 0, 1));
    apply_accepted(&mut ahead, 3, put("planner", 1, 2));
    behind.adopt(ahead.view());
    behind.skip_to(Offset(2));
    let second = envelope(3, "entry-a", put("planner", 1, 2));
    assert_eq!(behind.apply(Offset(2), &second), ApplyOutcome::Ignored);
    assert!(!behind.is_complete());
    let record = envelope(4, "entry-b", behind.snapshot(Offset(3)));
    behind.apply(Offset(3), &record);
    assert!(behind.is_complete());
    assert_eq!(behind.view().docs, ahead.view().docs);
    assert_eq!(behind.view().applied, Offset(4));
}

/// Guards against a record that cannot be decoded and stops the reader.
#[test]
fn undecodable_record_is_skipped() {
    let mut store = started_store();
    store.skip_record(Offset(1));
    assert_eq!(store.next_offset(), Offset(2));
    assert!(store.confirm_by_read(Millis(1), Offset(2)));
    store.skip_record(Offset(7));
    assert_eq!(store.next_offset(), Offset(2));
}

/// Guards against a change at offset 0, whose version would stand for "none".
#[test]
fn change_at_offset_zero_is_ignored() {
    let mut store = ConfStore::new();
    let outcome = store.apply(Offset(0), &envelope(1, "entry-a", put("planner", 0, 1)));
    assert_eq!(outcome, ApplyOutcome::Ignored);
    assert!(store.view().docs.is_empty());
}

/// Guards against a history that grows without bound or lacks the removal.
#[test]
fn history_is_bounded() {
    let mut store = started_store();
    let mut base = Version(0);
    for step in 0..40 {
        base = apply_accepted(&mut store, 10 + step, put("planner", base.0, 1));
    }
    let remove = ConfRecord::Remove {
        service: service("planner"),
        base,
    };
    apply_accepted(&mut store, 90, remove);
    let history = store.history(&service("planner"));
    assert_eq!(history.len(), MAX_HISTORY_VERSIONS);
    assert_eq!(history.last().map(|last| last.doc.is_none()), Some(true));
    assert!(history.is_sorted_by_key(|version| version.version));
    assert!(store.history(&service("routes")).is_empty());
}

/// Guards against changes that the settings or the team of the document do not allow, and against
/// messages that do not name the field and the allowed values.
#[test]
fn changes_are_checked() {
    let mut store = started_store();
    apply_accepted(&mut store, 2, put("planner", 0, 1));
    let known_domains = BTreeSet::from([domain("bergen-a"), domain("forde")]);
    let haugland = team("haugland");
    let morski = team("morski");
    let check = |change: &ConfRecord, team| store.check_change(change, &known_domains, team);

    assert_eq!(check(&put("planner", 1, 2), Some(&haugland)), Ok(()));
    let error = check(&put("planner", 1, 2), Some(&morski)).expect_err("other team");
    assert_eq!(error.to_string(), "team: haugland; allowed: morski");

    let foreign_doc = ConfRecord::Put {
        base: Version(1),
        doc: doc("planner", "morski", 1),
    };
    let error = check(&foreign_doc, Some(&morski)).expect_err("document of another team");
    assert!(matches!(error, Error::TeamMismatch { .. }), "{error}");
    assert!(
        error
            .to_string()
            .contains("allowed: changes by team haugland")
    );
    assert_eq!(check(&foreign_doc, None), Ok(()));

    let mut unknown_domain = doc("routes", "haugland", 1);
    unknown_domain.domains.push(domain("gdynia"));
    let change = ConfRecord::Put {
        base: Version(0),
        doc: unknown_domain,
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

//! Tests with records, copies and heartbeats whose contents no correct process sends.

mod common;

use hyssop_conf::{ApplyOutcome, ConfStore, Peers};
use hyssop_core::{
    ConfRecord, ConfView, Connectivity, DomainName, DomainState, Heartbeat, Incarnation, Millis,
    Offset, Quota, ServiceName, TeamName, Version,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smallvec::SmallVec;

use common::{entry, envelope, put};

/// Returns the settings of all property tests: a fixed seed, and the number of cases from
/// `HYSSOP_CASES` if it is set.
fn config() -> ProptestConfig {
    let cases = std::env::var("HYSSOP_CASES").ok();
    ProptestConfig {
        cases: cases.map_or(512, |cases| cases.parse().expect("a number")),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}

/// Returns a store that has one document, at version 1.
fn store() -> ConfStore {
    let mut store = ConfStore::new();
    let first = ConfRecord::Quota {
        team: TeamName::new("haugland").unwrap(),
        base: Version(0),
        quota: Quota::default(),
    };
    store.apply(Offset(0), &envelope(1, "a", first));
    let outcome = store.apply(Offset(1), &envelope(2, "a", put("planner", 0, 1)));
    assert!(matches!(outcome, ApplyOutcome::Accepted { .. }));
    store
}

/// Generates numbers, with those at the ends of the range more often than others.
fn edge_number() -> impl Strategy<Value = u64> {
    prop_oneof![
        2 => Just(0),
        2 => Just(u64::MAX),
        1 => Just(u64::MAX - 1),
        3 => 0..5_u64,
        1 => any::<u64>(),
    ]
}

/// Generates records whose base is never the version in force.
fn stale_records() -> impl Strategy<Value = ConfRecord> {
    let base = || {
        edge_number()
            .prop_filter("not in force", |base| *base > 1)
            .prop_map(Version)
    };
    let text = prop_oneof![Just(String::new()), Just("{}".to_owned()), ".{0,60}"];
    prop_oneof![
        base().prop_map(|base| put("planner", base.0, 2)),
        base().prop_map(|base| put("other", base.0, 2)),
        base().prop_map(|base| ConfRecord::Remove {
            service: ServiceName::new("planner").unwrap(),
            base,
        }),
        (base(), edge_number()).prop_map(|(base, domains_version)| ConfRecord::Domain {
            domain: DomainName::new("bergen-a").unwrap(),
            base,
            state: DomainState::Out,
            domains_version: Version(domains_version),
        }),
        base().prop_map(|base| ConfRecord::Quota {
            team: TeamName::new("haugland").unwrap(),
            base,
            quota: Quota::default(),
        }),
        (edge_number(), any::<u64>(), text).prop_map(|(upto, hash, state)| ConfRecord::Snapshot {
            upto: Offset(upto),
            hash,
            state,
        }),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Guards against invalid records that change the configuration, and against arithmetic
    /// overflow at the ends of the number range.
    #[test]
    fn invalid_records_have_no_effect(records in prop::collection::vec(stale_records(), 1..20)) {
        let mut store = store();
        let before = store.view().docs.clone();
        for (at, record) in (2..).zip(records) {
            store.apply(Offset(at), &envelope(u128::from(at) + 1, "b", record.clone()));
            store.restore(Offset(at), &envelope(u128::from(at) + 1, "b", record));
        }
        prop_assert_eq!(&store.view().docs, &before);
        let view = store.view();
        prop_assert!(view.domains.is_empty());
        let change = put("planner", 1, 3);
        let next = store.next_offset();
        let outcome = store.apply(next, &envelope(99, "a", change));
        let accepted = matches!(outcome, ApplyOutcome::Accepted { .. });
        prop_assert!(accepted, "a valid change is still accepted: {:?}", outcome);
    }

    /// Guards against an old copy of a peer that reverts a change.
    #[test]
    fn old_copies_are_ignored(applied in 0..=2_u64) {
        let mut store = store();
        let before = store.view().clone();
        let copy = ConfView { applied: Offset(applied), ..ConfView::default() };
        prop_assert!(!store.adopt(&copy));
        prop_assert_eq!(store.view(), &before);
    }

    /// Guards against heartbeats of unknown entries that count, and against times at the ends of
    /// the number range that make a confirmation appear more recent than it is.
    #[test]
    fn heartbeats_with_invalid_contents_do_not_improve_confirmations(
        name in prop::sample::select(vec!["a", "b", "c", "stranger"]),
        numbers in prop::collection::vec(edge_number(), 6),
    ) {
        let mut peers = Peers::new(entry("a"), ["a", "b", "c"].map(entry));
        let now = Millis(10_000);
        let heartbeat = Heartbeat {
            entry: entry(name),
            incarnation: Incarnation(numbers[0]),
            applied: Offset(numbers[1]),
            confirmation_age: Some(Millis(numbers[2])),
            uptime: Millis(numbers[3]),
            cells: SmallVec::new(),
            view: None,
        };
        let sent_at = Millis(numbers[4]).min(now);
        let is_known = name == "b" || name == "c";
        prop_assert_eq!(peers.record_reply(sent_at, now, &heartbeat), is_known);
        prop_assert_eq!(peers.record_heartbeat(now, &heartbeat), is_known);
        let is_reachable = is_known && now.since(sent_at) < Millis(3_000);
        let expected = if is_reachable {
            Connectivity::MajorityReachable
        } else {
            Connectivity::Isolated
        };
        prop_assert_eq!(peers.connectivity(now, None), expected);
        let mut store = store();
        for confirmation in peers.confirmations() {
            store.confirm_by_peer(confirmation.sent_at, confirmation.age, confirmation.applied);
        }
        if let Some(age) = store.confirmation_age(now) {
            prop_assert!(age >= now.since(sent_at), "age {:?}, sent at {:?}", age, sent_at);
            prop_assert!(age >= Millis(numbers[2].min(u64::MAX >> 1)), "{:?}", age);
        }
    }
}

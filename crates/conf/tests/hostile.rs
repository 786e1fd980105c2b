//! Records, copies and heartbeats with contents that no well-behaved process sends.

mod common;

use hyssop_conf::{Applied, ConfStore, Peers};
use hyssop_core::{
    ConfRecord, ConfView, Connectivity, DomainName, DomainState, Heartbeat, Incarnation, Millis,
    Offset, Quota, ServiceName, TeamName, Version,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use smallvec::SmallVec;

use common::{entry, envelope, put};

/// Returns the settings of all properties: a fixed seed, and more cases with `HYSSOP_CASES`.
fn config() -> ProptestConfig {
    let cases = std::env::var("HYSSOP_CASES").ok();
    ProptestConfig {
        cases: cases.map_or(512, |cases| cases.parse().expect("a number")),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}

/// Returns a store with one document at version 1.
fn store() -> ConfStore {
    let mut store = ConfStore::new();
    let first = ConfRecord::Quota {
        team: TeamName::new("haugland").unwrap(),
        base: Version(0),
        quota: Quota::default(),
    };
    store.apply(Offset(0), &envelope(1, "a", first));
    let applied = store.apply(Offset(1), &envelope(2, "a", put("planner", 0, 1)));
    assert!(matches!(applied, Applied::Accepted { .. }));
    store
}

/// Numbers with those at the ends more often.
fn number() -> impl Strategy<Value = u64> {
    prop_oneof![
        2 => Just(0),
        2 => Just(u64::MAX),
        1 => Just(u64::MAX - 1),
        3 => 0..5_u64,
        1 => any::<u64>(),
    ]
}

/// Records whose base is never the version in force.
fn stale() -> impl Strategy<Value = ConfRecord> {
    let base = || {
        number()
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
        (base(), number()).prop_map(|(base, seen)| ConfRecord::Domain {
            domain: DomainName::new("bergen-a").unwrap(),
            base,
            state: DomainState::Out,
            domains_version: Version(seen),
        }),
        base().prop_map(|base| ConfRecord::Quota {
            team: TeamName::new("haugland").unwrap(),
            base,
            quota: Quota::default(),
        }),
        (number(), any::<u64>(), text).prop_map(|(upto, hash, state)| ConfRecord::Snapshot {
            upto: Offset(upto),
            hash,
            state,
        }),
    ]
}

proptest! {
    #![proptest_config(config())]

    /// Guards against records that change something without being valid, and against arithmetic
    /// at the ends of the numbers.
    #[test]
    fn invalid_records_change_nothing(records in prop::collection::vec(stale(), 1..20)) {
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
        let next = store.next();
        let applied = store.apply(next, &envelope(99, "a", change));
        let accepted = matches!(applied, Applied::Accepted { .. });
        prop_assert!(accepted, "a valid change is still accepted: {:?}", applied);
    }

    /// Guards against a copy of another process that takes anything back.
    #[test]
    fn old_copies_are_ignored(applied in 0..=2_u64) {
        let mut store = store();
        let before = store.view().clone();
        let copy = ConfView { applied: Offset(applied), ..ConfView::default() };
        prop_assert!(!store.adopt(&copy));
        prop_assert_eq!(store.view(), &before);
    }

    /// Guards against heartbeats of strangers that count, and against times at the ends of the
    /// numbers that make a proof younger than it is.
    #[test]
    fn heartbeats_of_any_contents_prove_nothing_new(
        name in prop::sample::select(vec!["a", "b", "c", "stranger"]),
        numbers in prop::collection::vec(number(), 6),
    ) {
        let mut peers = Peers::new(entry("a"), ["a", "b", "c"].map(entry));
        let now = Millis(10_000);
        let beat = Heartbeat {
            entry: entry(name),
            incarnation: Incarnation(numbers[0]),
            applied: Offset(numbers[1]),
            confirmation_age: Some(Millis(numbers[2])),
            uptime: Millis(numbers[3]),
            cells: SmallVec::new(),
            view: None,
        };
        let sent = Millis(numbers[4]).min(now);
        let known = name == "b" || name == "c";
        prop_assert_eq!(peers.heard(sent, now, &beat), known);
        prop_assert_eq!(peers.received(now, &beat), known);
        let heard = known && now.since(sent) < Millis(3_000);
        let expected = if heard { Connectivity::MajorityReachable } else { Connectivity::Isolated };
        prop_assert_eq!(peers.standing(now, None), expected);
        let mut store = store();
        for proof in peers.proofs() {
            store.prove_via(proof.sent, proof.age, proof.applied);
        }
        if let Some(age) = store.age(now) {
            prop_assert!(age >= now.since(sent), "{:?} for one sent at {:?}", age, sent);
            prop_assert!(age >= Millis(numbers[2].min(u64::MAX >> 1)), "{:?}", age);
        }
    }
}

//! Compares stores that read one stream in different ways with a small reference model.
//!
//! Guards against versions that fall, two winners of one race, and readers that disagree because
//! one started from a snapshot, adopted a peer's copy or skipped offsets.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{entry, envelope, put};
use hyssop_conf::{Applied, ConfStore};
use hyssop_core::{
    ConfRecord, ConfView, DomainName, DomainState, Envelope, Offset, ServiceName, Version,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const STORES: usize = 3;
const SERVICES: [&str; 3] = ["planner", "cut-list", "routes"];
const WRITERS: [&str; 2] = ["entry-a", "entry-b"];

/// Version that a change names.
#[derive(Clone, Copy, Debug)]
enum Base {
    Current,
    Zero,
    Other(u64),
}

/// Whether a change of a domain was checked after the latest change of any domain.
#[derive(Clone, Copy, Debug)]
enum Seen {
    Latest,
    Older(u64),
}

#[derive(Clone, Copy, Debug)]
enum Kind {
    Put,
    Remove,
    Domain,
}

#[derive(Clone, Debug)]
enum Op {
    Change {
        kind: Kind,
        entity: usize,
        base: Base,
        seen: Seen,
        writer: usize,
    },
    /// Appends a second copy of a record.
    Copy(usize),
    /// A store writes a snapshot.
    Snapshot(usize),
    Read(usize, usize),
    /// Delivers a record that the store has applied.
    Again(usize, usize),
    /// Delivers a record beyond the next one.
    Early(usize, usize),
    Adopt(usize, usize),
    Restart(usize),
    /// A store that is behind the retained records skips to the first of them.
    Skip(usize),
    /// Drops all records; one store that has read them writes a snapshot.
    Lapse(usize),
}

/// A change at one offset of the stream.
#[derive(Clone, Debug)]
struct Change {
    id: u128,
    writer: &'static str,
    body: ConfRecord,
}

type Key = (bool, String);

/// The entities after one offset: version, whether it exists, and writer.
type Entities = BTreeMap<Key, (u64, bool, &'static str)>;

#[derive(Clone, Debug, Default)]
struct Model {
    /// Changes by offset; `None` stands for a snapshot.
    stream: Vec<Option<Change>>,
    decisions: Vec<Option<Applied>>,
    states: Vec<Entities>,
    ids: BTreeSet<u128>,
}

fn key(body: &ConfRecord) -> (Key, Version) {
    match body {
        ConfRecord::Put { base, doc } => ((true, doc.service.to_string()), *base),
        ConfRecord::Remove { base, service } => ((true, service.to_string()), *base),
        ConfRecord::Domain { base, domain, .. } => ((false, domain.to_string()), *base),
        _ => unreachable!("the machine makes no other changes"),
    }
}

/// Returns the entity of the domain that was changed last.
fn latest_domain(state: &Entities) -> Option<(u64, bool, &'static str)> {
    let domains = state.iter().filter(|((is_doc, _), _)| !is_doc);
    domains.map(|(_, entity)| *entity).max()
}

impl Model {
    fn now(&self) -> Entities {
        self.states.last().cloned().unwrap_or_default()
    }

    fn push(&mut self, entry: Option<Change>) {
        let offset = self.stream.len() as u64;
        let mut state = self.now();
        let decision = entry
            .as_ref()
            .map(|change| self.decide(&mut state, offset, change));
        self.stream.push(entry);
        self.decisions.push(decision);
        self.states.push(state);
    }

    fn decide(&mut self, state: &mut Entities, offset: u64, change: &Change) -> Applied {
        let Change { id, writer, body } = change;
        if offset == 0 {
            return Applied::Ignored;
        }
        if !self.ids.insert(*id) {
            return Applied::Duplicate;
        }
        let (key, base) = key(body);
        let known = state.get(&key).copied();
        let current = known.map_or(0, |(version, exists, _)| if exists { version } else { 0 });
        if base.0 != current {
            return Applied::Conflict {
                current: Version(current),
                winner: known.map(|(_, _, writer)| entry(writer)),
            };
        }
        if let ConfRecord::Domain {
            domains_version: seen,
            ..
        } = body
        {
            let latest = latest_domain(state);
            let version = latest.map_or(0, |(version, _, _)| version);
            if seen.0 != version {
                return Applied::Conflict {
                    current: Version(version),
                    winner: latest.map(|(_, _, writer)| entry(writer)),
                };
            }
        }
        let removes = matches!(body, ConfRecord::Remove { .. });
        if removes && current == 0 {
            return Applied::Ignored;
        }
        state.insert(key, (offset, !removes, writer));
        Applied::Accepted {
            version: Version(offset),
        }
    }

    fn change(&self, kind: Kind, entity: usize, base: Base, seen: Seen, writer: usize) -> Change {
        let name = SERVICES[entity];
        let is_doc = !matches!(kind, Kind::Domain);
        let current = match self.now().get(&(is_doc, name.to_owned())) {
            Some((version, true, _)) => *version,
            _ => 0,
        };
        let base = match base {
            Base::Current => current,
            Base::Zero => 0,
            Base::Other(version) => version,
        };
        let seen = match seen {
            Seen::Latest => latest_domain(&self.now()).map_or(0, |(version, _, _)| version),
            Seen::Older(version) => version,
        };
        let body = match kind {
            Kind::Put => put(name, base, self.stream.len() as u32 + 1),
            Kind::Remove => ConfRecord::Remove {
                service: ServiceName::new(name).expect("name"),
                base: Version(base),
            },
            Kind::Domain => ConfRecord::Domain {
                domain: DomainName::new(name).expect("name"),
                base: Version(base),
                state: [DomainState::In, DomainState::Out][self.stream.len() % 2],
                domains_version: Version(seen),
            },
        };
        Change {
            id: self.stream.len() as u128,
            writer: WRITERS[writer],
            body,
        }
    }
}

impl ReferenceStateMachine for Model {
    type State = Self;
    type Transition = Op;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(state: &Self) -> BoxedStrategy<Op> {
        let len = state.stream.len().max(1);
        let kind =
            prop_oneof![3 => Just(Kind::Put), 1 => Just(Kind::Remove), 2 => Just(Kind::Domain)];
        let base = prop_oneof![
            4 => Just(Base::Current),
            1 => Just(Base::Zero),
            1 => (0..len as u64).prop_map(Base::Other)
        ];
        let seen = prop_oneof![
            3 => Just(Seen::Latest),
            1 => (0..len as u64).prop_map(Seen::Older)
        ];
        let change = (kind, 0..SERVICES.len(), base, seen, 0..WRITERS.len()).prop_map(
            |(kind, entity, base, seen, writer)| Op::Change {
                kind,
                entity,
                base,
                seen,
                writer,
            },
        );
        let store = 0..STORES;
        prop_oneof![
            8 => change,
            2 => (0..len).prop_map(Op::Copy),
            2 => store.clone().prop_map(Op::Snapshot),
            8 => (store.clone(), 1..6_usize).prop_map(|(s, n)| Op::Read(s, n)),
            1 => (store.clone(), 0..len).prop_map(|(s, n)| Op::Again(s, n)),
            1 => (store.clone(), 1..4_usize).prop_map(|(s, n)| Op::Early(s, n)),
            2 => (store.clone(), store.clone()).prop_map(|(a, b)| Op::Adopt(a, b)),
            1 => store.clone().prop_map(Op::Restart),
            2 => store.clone().prop_map(Op::Skip),
            1 => store.prop_map(Op::Lapse),
        ]
        .boxed()
    }

    fn apply(mut state: Self, op: &Op) -> Self {
        match op {
            Op::Change {
                kind,
                entity,
                base,
                seen,
                writer,
            } => {
                let entry = state.change(*kind, *entity, *base, *seen, *writer);
                state.push(Some(entry));
            }
            Op::Copy(at) => {
                if let Some(entry) = state.stream.get(*at).cloned() {
                    state.push(entry);
                }
            }
            Op::Snapshot(_) | Op::Lapse(_) => state.push(None),
            _ => {}
        }
        state
    }
}

struct Fleet {
    stream: Vec<Envelope<ConfRecord>>,
    first: usize,
    stores: Vec<ConfStore>,
}

fn versions(view: &ConfView) -> Entities {
    let docs = view.docs.iter().map(|(name, doc)| {
        let key = (true, name.to_string());
        (key, (doc.version.0, true, ""))
    });
    let domains = view.domains.iter().map(|(name, (version, _))| {
        let key = (false, name.to_string());
        (key, (version.0, true, ""))
    });
    docs.chain(domains).collect()
}

/// Checks that a view is what the model has after the view's last offset.
fn check_view(view: &ConfView, model: &Model) {
    let expected = match view.applied.0.checked_sub(1) {
        Some(last) => model.states[last as usize].clone(),
        None => Entities::new(),
    };
    let expected: Entities = expected
        .into_iter()
        .filter(|(_, (_, exists, _))| *exists)
        .map(|(key, (version, _, _))| (key, (version, true, "")))
        .collect();
    assert_eq!(versions(view), expected, "view at {}", view.applied);
    for (name, doc) in &view.docs {
        let Some(Change { body, .. }) = &model.stream[doc.version.0 as usize] else {
            panic!("{name} has the version of a snapshot");
        };
        let ConfRecord::Put { doc: written, .. } = body else {
            panic!("{name} has the version of another record");
        };
        assert_eq!(&doc.doc, written);
    }
}

impl Fleet {
    /// Restores a store from the newest snapshot that covers more.
    fn restore(&mut self, index: usize) -> bool {
        let store = &mut self.stores[index];
        (self.first..self.stream.len())
            .rev()
            .any(|at| store.restore(Offset(at as u64), &self.stream[at]))
    }

    fn is_behind(&self, index: usize) -> bool {
        self.stores[index].next().0 < self.first as u64
    }

    fn read(&mut self, index: usize, count: usize, model: &Model) {
        if self.is_behind(index) {
            assert!(
                self.restore(index),
                "the records from a snapshot on are retained"
            );
        }
        for _ in 0..count {
            let reader = &mut self.stores[index];
            let at = reader.next().0 as usize;
            let Some(env) = self.stream.get(at) else {
                return;
            };
            let whole = reader.is_whole();
            let applied = reader.apply(Offset(at as u64), env);
            match &model.decisions[at] {
                Some(expected) if whole => assert_eq!(applied, *expected),
                Some(_) => assert_eq!(applied, Applied::Ignored),
                None => {}
            }
        }
    }

    fn append_snapshot(&mut self, index: usize) {
        let store = &self.stores[index];
        let record = store.snapshot(store.next());
        let id = 1_000_000 + self.stream.len() as u128;
        self.stream.push(envelope(id, WRITERS[0], record));
    }

    fn step(&mut self, model: &Model, op: &Op) {
        match op {
            Op::Change { .. } => self.copy(model),
            Op::Copy(at) => {
                if *at < self.stream.len() {
                    self.stream.push(self.stream[*at].clone());
                }
            }
            Op::Snapshot(index) => {
                self.read(*index, usize::MAX, model);
                self.append_snapshot(*index);
            }
            Op::Read(index, count) => self.read(*index, *count, model),
            Op::Again(index, at) => self.deliver_out_of_order(*index, *at, 0),
            Op::Early(index, more) => self.deliver_out_of_order(*index, usize::MAX, *more),
            Op::Adopt(to, from) => {
                let view = self.stores[*from].view().clone();
                let store = &mut self.stores[*to];
                let higher = view.applied > store.view().applied;
                assert_eq!(store.adopt(&view), higher);
            }
            Op::Restart(index) => {
                self.stores[*index] = ConfStore::new();
                self.restore(*index);
            }
            Op::Skip(index) => {
                if self.is_behind(*index) {
                    let reader = &mut self.stores[*index];
                    reader.skip(Offset(self.first as u64));
                }
            }
            Op::Lapse(index) => {
                self.read(*index, usize::MAX, model);
                self.first = self.stream.len();
                self.append_snapshot(*index);
            }
        }
    }

    /// Appends the model's last record.
    fn copy(&mut self, model: &Model) {
        let Some(Some(Change { id, writer, body })) = model.stream.last() else {
            panic!("the model has appended a change");
        };
        self.stream.push(envelope(*id, writer, body.clone()));
    }

    /// Delivers a record that is not the next one, which must change nothing.
    fn deliver_out_of_order(&mut self, index: usize, at: usize, more: usize) {
        let store = &mut self.stores[index];
        let next = store.next().0 as usize;
        let at = if more > 0 { next + more } else { at };
        if at == next || at >= self.stream.len() {
            return;
        }
        let before = store.view().clone();
        let applied = store.apply(Offset(at as u64), &self.stream[at]);
        assert_eq!(applied, Applied::Ignored);
        assert_eq!(store.next().0 as usize, next);
        assert_eq!(*store.view(), before);
    }
}

struct StoreTest;

impl StateMachineTest for StoreTest {
    type SystemUnderTest = Fleet;
    type Reference = Model;

    fn init_test(_: &Model) -> Fleet {
        Fleet {
            stream: Vec::new(),
            first: 0,
            stores: (0..STORES).map(|_| ConfStore::new()).collect(),
        }
    }

    fn apply(mut fleet: Fleet, model: &Model, op: Op) -> Fleet {
        let before: Vec<_> = fleet
            .stores
            .iter()
            .map(|reader| reader.view().clone())
            .collect();
        fleet.step(model, &op);
        assert_eq!(fleet.stream.len(), model.stream.len());
        for (index, reader) in fleet.stores.iter().enumerate() {
            if matches!(op, Op::Restart(restarted) if restarted == index) {
                continue;
            }
            let view = reader.view();
            assert!(view.applied >= before[index].applied);
            let old = versions(&before[index]);
            for (key, (version, _, _)) in versions(view) {
                assert!(old.get(&key).is_none_or(|known| known.0 <= version));
            }
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, model: &Model) {
        for reader in &fleet.stores {
            if !reader.owes_snapshot() {
                check_view(reader.view(), model);
            }
        }
    }

    fn teardown(mut fleet: Fleet, model: Model) {
        for index in 0..STORES {
            fleet.read(index, usize::MAX, &model);
            let reader = &fleet.stores[index];
            assert!(!reader.owes_snapshot());
            assert_eq!(reader.view().applied.0 as usize, fleet.stream.len());
            check_view(reader.view(), &model);
        }
    }
}

prop_state_machine! {
    #[test]
    fn stores_agree_with_the_model(sequential 1..80 => StoreTest);
}

//! Compares stores that read one stream in different ways with a small reference model.
//!
//! Guards against versions that decrease, two accepted changes with the same base, and readers that
//! differ because one started from a snapshot, adopted a peer's copy or skipped offsets.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::{entry, envelope, put};
use hyssop_conf::{ApplyOutcome, ConfStore};
use hyssop_core::{
    ConfRecord, ConfView, DomainName, DomainState, Envelope, Offset, ServiceName, Version,
};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const STORES: usize = 3;
const SERVICES: [&str; 3] = ["planner", "cut-list", "routes"];
const WRITERS: [&str; 2] = ["entry-a", "entry-b"];

/// Base version that a change names.
#[derive(Clone, Copy, Debug)]
enum Base {
    Current,
    Zero,
    Offset(u64),
}

/// Version of the latest domain change at the time when a change of a domain was checked.
#[derive(Clone, Copy, Debug)]
enum CheckedAt {
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
        checked_at: CheckedAt,
        writer: usize,
    },
    /// Appends another copy of the record at an offset.
    AppendCopy(usize),
    /// A store writes a snapshot.
    Snapshot(usize),
    /// A store reads up to a number of records.
    Read(usize, usize),
    /// Delivers the record at an offset other than the next one to a store.
    DeliverOld(usize, usize),
    /// Delivers a record at a distance beyond the next one to a store.
    DeliverEarly(usize, usize),
    /// The first store adopts the view of the second one.
    Adopt(usize, usize),
    /// A store is replaced by an empty one, which starts from a snapshot if there is one.
    Restart(usize),
    /// A store that lacks records that are no longer retained skips to the first retained one.
    Skip(usize),
    /// Drops all records after one store has read them; this store then writes a snapshot.
    DropAll(usize),
}

/// A change at one offset of the stream.
#[derive(Clone, Debug)]
struct Change {
    id: u128,
    writer: &'static str,
    body: ConfRecord,
}

/// Key of an entity: whether it is a document rather than a domain, and its name.
type Key = (bool, String);

/// The entities after one offset: version, whether the entity exists, and writer.
type Entities = BTreeMap<Key, (u64, bool, &'static str)>;

#[derive(Clone, Debug, Default)]
struct Model {
    /// Records by offset; `None` stands for a snapshot.
    stream: Vec<Option<Change>>,
    decisions: Vec<Option<ApplyOutcome>>,
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

/// Returns the entity of the domain with the latest change.
fn latest_domain(state: &Entities) -> Option<(u64, bool, &'static str)> {
    let domains = state.iter().filter(|((is_doc, _), _)| !is_doc);
    domains.map(|(_, entity)| *entity).max()
}

impl Model {
    fn current_entities(&self) -> Entities {
        self.states.last().cloned().unwrap_or_default()
    }

    fn push(&mut self, entry: Option<Change>) {
        let offset = self.stream.len() as u64;
        let mut state = self.current_entities();
        let decision = entry
            .as_ref()
            .map(|change| self.decide(&mut state, offset, change));
        self.stream.push(entry);
        self.decisions.push(decision);
        self.states.push(state);
    }

    fn decide(&mut self, state: &mut Entities, offset: u64, change: &Change) -> ApplyOutcome {
        let Change { id, writer, body } = change;
        if offset == 0 {
            return ApplyOutcome::Ignored;
        }
        if !self.ids.insert(*id) {
            return ApplyOutcome::Duplicate;
        }
        let (key, base) = key(body);
        let existing = state.get(&key).copied();
        let current = existing.map_or(0, |(version, exists, _)| if exists { version } else { 0 });
        if base.0 != current {
            return ApplyOutcome::Conflict {
                current: Version(current),
                winner: existing.map(|(_, _, writer)| entry(writer)),
            };
        }
        if let ConfRecord::Domain {
            domains_version: checked_at,
            ..
        } = body
        {
            let latest = latest_domain(state);
            let version = latest.map_or(0, |(version, _, _)| version);
            if checked_at.0 != version {
                return ApplyOutcome::Conflict {
                    current: Version(version),
                    winner: latest.map(|(_, _, writer)| entry(writer)),
                };
            }
        }
        let is_removal = matches!(body, ConfRecord::Remove { .. });
        if is_removal && current == 0 {
            return ApplyOutcome::Ignored;
        }
        state.insert(key, (offset, !is_removal, writer));
        ApplyOutcome::Accepted {
            version: Version(offset),
        }
    }

    fn change(
        &self,
        kind: Kind,
        entity: usize,
        base: Base,
        checked_at: CheckedAt,
        writer: usize,
    ) -> Change {
        let name = SERVICES[entity];
        let is_doc = !matches!(kind, Kind::Domain);
        let current = match self.current_entities().get(&(is_doc, name.to_owned())) {
            Some((version, true, _)) => *version,
            _ => 0,
        };
        let base = match base {
            Base::Current => current,
            Base::Zero => 0,
            Base::Offset(version) => version,
        };
        let checked_at = match checked_at {
            CheckedAt::Latest => {
                latest_domain(&self.current_entities()).map_or(0, |(version, _, _)| version)
            }
            CheckedAt::Older(version) => version,
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
                domains_version: Version(checked_at),
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
            1 => (0..len as u64).prop_map(Base::Offset)
        ];
        let checked_at = prop_oneof![
            3 => Just(CheckedAt::Latest),
            1 => (0..len as u64).prop_map(CheckedAt::Older)
        ];
        let change = (kind, 0..SERVICES.len(), base, checked_at, 0..WRITERS.len()).prop_map(
            |(kind, entity, base, checked_at, writer)| Op::Change {
                kind,
                entity,
                base,
                checked_at,
                writer,
            },
        );
        let store = 0..STORES;
        prop_oneof![
            8 => change,
            2 => (0..len).prop_map(Op::AppendCopy),
            2 => store.clone().prop_map(Op::Snapshot),
            8 => (store.clone(), 1..6_usize).prop_map(|(s, n)| Op::Read(s, n)),
            1 => (store.clone(), 0..len).prop_map(|(s, n)| Op::DeliverOld(s, n)),
            1 => (store.clone(), 1..4_usize).prop_map(|(s, n)| Op::DeliverEarly(s, n)),
            2 => (store.clone(), store.clone()).prop_map(|(a, b)| Op::Adopt(a, b)),
            1 => store.clone().prop_map(Op::Restart),
            2 => store.clone().prop_map(Op::Skip),
            1 => store.prop_map(Op::DropAll),
        ]
        .boxed()
    }

    fn apply(mut state: Self, op: &Op) -> Self {
        match op {
            Op::Change {
                kind,
                entity,
                base,
                checked_at,
                writer,
            } => {
                let entry = state.change(*kind, *entity, *base, *checked_at, *writer);
                state.push(Some(entry));
            }
            Op::AppendCopy(at) => {
                if let Some(entry) = state.stream.get(*at).cloned() {
                    state.push(entry);
                }
            }
            Op::Snapshot(_) | Op::DropAll(_) => state.push(None),
            _ => {}
        }
        state
    }
}

struct Fleet {
    stream: Vec<Envelope<ConfRecord>>,
    first_retained: usize,
    stores: Vec<ConfStore>,
}

fn view_entities(view: &ConfView) -> Entities {
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

/// Checks that a view equals the model's entities after the view's last offset.
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
    assert_eq!(view_entities(view), expected, "view at {}", view.applied);
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
    /// Restores a store from the newest snapshot that covers gap than the store.
    fn restore(&mut self, index: usize) -> bool {
        let store = &mut self.stores[index];
        (self.first_retained..self.stream.len())
            .rev()
            .any(|at| store.restore(Offset(at as u64), &self.stream[at]))
    }

    fn is_behind(&self, index: usize) -> bool {
        self.stores[index].next_offset().0 < self.first_retained as u64
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
            let at = reader.next_offset().0 as usize;
            let Some(envelope) = self.stream.get(at) else {
                return;
            };
            let is_complete = reader.is_complete();
            let outcome = reader.apply(Offset(at as u64), envelope);
            match &model.decisions[at] {
                Some(expected) if is_complete => assert_eq!(outcome, *expected),
                Some(_) => assert_eq!(outcome, ApplyOutcome::Ignored),
                None => {}
            }
        }
    }

    fn append_snapshot(&mut self, index: usize) {
        let store = &self.stores[index];
        let record = store.snapshot(store.next_offset());
        let id = 1_000_000 + self.stream.len() as u128;
        self.stream.push(envelope(id, WRITERS[0], record));
    }

    fn step(&mut self, model: &Model, op: &Op) {
        match op {
            Op::Change { .. } => self.append_change(model),
            Op::AppendCopy(at) => {
                if *at < self.stream.len() {
                    self.stream.push(self.stream[*at].clone());
                }
            }
            Op::Snapshot(index) => {
                self.read(*index, usize::MAX, model);
                self.append_snapshot(*index);
            }
            Op::Read(index, count) => self.read(*index, *count, model),
            Op::DeliverOld(index, at) => self.deliver_out_of_order(*index, *at, 0),
            Op::DeliverEarly(index, gap) => self.deliver_out_of_order(*index, usize::MAX, *gap),
            Op::Adopt(to, from) => {
                let view = self.stores[*from].view().clone();
                let store = &mut self.stores[*to];
                let is_newer = view.applied > store.view().applied;
                assert_eq!(store.adopt(&view), is_newer);
            }
            Op::Restart(index) => {
                self.stores[*index] = ConfStore::new();
                self.restore(*index);
            }
            Op::Skip(index) => {
                if self.is_behind(*index) {
                    let reader = &mut self.stores[*index];
                    reader.skip_to(Offset(self.first_retained as u64));
                }
            }
            Op::DropAll(index) => {
                self.read(*index, usize::MAX, model);
                self.first_retained = self.stream.len();
                self.append_snapshot(*index);
            }
        }
    }

    /// Appends the last change of the model.
    fn append_change(&mut self, model: &Model) {
        let Some(Some(Change { id, writer, body })) = model.stream.last() else {
            panic!("the model has appended a change");
        };
        self.stream.push(envelope(*id, writer, body.clone()));
    }

    /// Delivers a record that is not the next one and must have no effect.
    fn deliver_out_of_order(&mut self, index: usize, at: usize, gap: usize) {
        let store = &mut self.stores[index];
        let next = store.next_offset().0 as usize;
        let at = if gap > 0 { next + gap } else { at };
        if at == next || at >= self.stream.len() {
            return;
        }
        let before = store.view().clone();
        let outcome = store.apply(Offset(at as u64), &self.stream[at]);
        assert_eq!(outcome, ApplyOutcome::Ignored);
        assert_eq!(store.next_offset().0 as usize, next);
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
            first_retained: 0,
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
            let old = view_entities(&before[index]);
            for (key, (version, _, _)) in view_entities(view) {
                assert!(old.get(&key).is_none_or(|previous| previous.0 <= version));
            }
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, model: &Model) {
        for reader in &fleet.stores {
            if !reader.needs_snapshot() {
                check_view(reader.view(), model);
            }
        }
    }

    fn teardown(mut fleet: Fleet, model: Model) {
        for index in 0..STORES {
            fleet.read(index, usize::MAX, &model);
            let reader = &fleet.stores[index];
            assert!(!reader.needs_snapshot());
            assert_eq!(reader.view().applied.0 as usize, fleet.stream.len());
            check_view(reader.view(), &model);
        }
    }
}

prop_state_machine! {
    #[test]
    fn stores_agree_with_the_model(sequential 1..80 => StoreTest);
}

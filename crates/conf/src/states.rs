//! State of the configuration stream: a function of its records alone.
//!
//! Removed documents leave a marker with the version of their removal, and the identifiers of the
//! last records are kept. Both are part of the snapshots, so that every reader answers each later
//! record alike, wherever in the stream it started.

use std::collections::BTreeMap;

use hyssop_core::{
    ConfRecord, ConfView, DocView, DomainName, DomainState, EntryName, Envelope, Offset, Quota,
    RecordId, ServiceDoc, ServiceName, TeamName, Version,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::Applied;

/// Identifiers of records that are remembered to drop second copies.
///
/// A copy can only follow while its writer retries, which takes minutes; at 1,700 changes a day
/// the window covers 14 hours.
const ID_WINDOW: usize = 1_024;

/// Markers of removed documents that are kept; the oldest is dropped first.
const REMOVED_LIMIT: usize = 1_024;

/// One entity with the version and the writer of the record that set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entity<T> {
    /// Offset of the record.
    pub(crate) version: Version,
    /// Entry that wrote the record; `None` if only a peer's view told of it.
    pub(crate) writer: Option<EntryName>,
    /// Contents.
    pub(crate) value: T,
}

/// Contents of an entity.
pub(crate) trait Value {
    /// Tells whether the entity was removed.
    fn is_removed(&self) -> bool {
        false
    }
}

impl Value for Option<ServiceDoc> {
    fn is_removed(&self) -> bool {
        self.is_none()
    }
}

impl Value for DomainState {}

impl Value for Quota {}

impl<T: Value> Entity<T> {
    /// Returns what decides which of two copies of an entity is kept: the later one, and of the
    /// same version the one that tells more.
    fn order(&self) -> (Version, bool, bool) {
        let removed = self.value.is_removed();
        (self.version, removed, self.writer.is_some())
    }
}

/// Everything that the records applied so far amount to.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct State {
    /// Documents; `None` marks a removed one.
    pub(crate) docs: BTreeMap<ServiceName, Entity<Option<ServiceDoc>>>,
    /// Domains that were ever changed.
    domains: BTreeMap<DomainName, Entity<DomainState>>,
    /// Quotas.
    quotas: BTreeMap<TeamName, Entity<Quota>>,
    /// Identifiers of the latest changes, by offset.
    ids: BTreeMap<Offset, RecordId>,
}

impl State {
    /// Applies one change; snapshots are not changes and are ignored.
    pub(crate) fn change(&mut self, offset: Offset, env: &Envelope<ConfRecord>) -> Applied {
        // Version 0 stands for "none", so a change cannot take it.
        if offset.0 == 0 || matches!(env.body, ConfRecord::Snapshot { .. }) {
            return Applied::Ignored;
        }
        if self.ids.values().any(|id| *id == env.id) {
            return Applied::Duplicate;
        }
        self.ids.insert(offset, env.id);
        self.trim_ids();
        let stamp = Stamp {
            version: Version(offset.0),
            writer: &env.writer,
        };
        match &env.body {
            ConfRecord::Put { base, doc } => self.put(*base, doc, &stamp),
            ConfRecord::Remove { service, base } => self.remove(*base, service, &stamp),
            ConfRecord::Domain {
                domain,
                base,
                state,
                domains_version: seen,
            } => match self.overtaken(domain, *base, *seen) {
                Some(conflict) => conflict,
                None => replace(&mut self.domains, domain, *base, *state, &stamp),
            },
            ConfRecord::Quota { team, base, quota } => {
                replace(&mut self.quotas, team, *base, *quota, &stamp)
            }
            ConfRecord::Snapshot { .. } => Applied::Ignored,
        }
    }

    fn put(&mut self, base: Version, doc: &ServiceDoc, stamp: &Stamp<'_>) -> Applied {
        let entity = self.docs.get(&doc.service);
        let current = doc_version(entity);
        if base != current {
            return conflict(current, entity);
        }
        let entity = stamp.entity(Some(doc.clone()));
        self.docs.insert(doc.service.clone(), entity);
        stamp.accepted()
    }

    /// Returns the conflict of a change of a domain with the latest change of another one. The
    /// last domain in service and the room for work are checked over all domains, so of two
    /// changes that were checked on the same state only the first counts.
    fn overtaken(&self, domain: &DomainName, base: Version, seen: Version) -> Option<Applied> {
        let own = self.domains.get(domain);
        if own.map_or(Version(0), |own| own.version) != base {
            // The conflict within the domain itself is reported instead.
            return None;
        }
        let latest = self.domains.values().max_by_key(|entity| entity.version);
        let current = latest.map_or(Version(0), |latest| latest.version);
        (current != seen).then(|| conflict(current, latest))
    }

    fn remove(&mut self, base: Version, service: &ServiceName, stamp: &Stamp<'_>) -> Applied {
        let entity = self.docs.get(service);
        let current = doc_version(entity);
        if base != current {
            return conflict(current, entity);
        }
        if current == Version(0) {
            return Applied::Ignored;
        }
        self.docs.insert(service.clone(), stamp.entity(None));
        self.trim_removed();
        stamp.accepted()
    }

    /// Takes every entity of which `other` has a higher version, and the identifiers that are
    /// missing. Returns whether an entity changed.
    pub(crate) fn merge(&mut self, other: Self) -> bool {
        let docs = join(&mut self.docs, other.docs);
        let domains = join(&mut self.domains, other.domains);
        let quotas = join(&mut self.quotas, other.quotas);
        self.ids.extend(other.ids);
        self.trim_ids();
        self.trim_removed();
        docs || domains || quotas
    }

    /// Takes the entities of a peer's view that are newer. Documents that the view does not have
    /// were removed before its offset.
    pub(crate) fn absorb(&mut self, view: &ConfView) {
        let mut other = Self::default();
        for (service, shown) in &view.docs {
            let entity = untold(shown.version, Some(shown.doc.clone()));
            other.docs.insert(service.clone(), entity);
        }
        for (domain, (version, state)) in &view.domains {
            other
                .domains
                .insert(domain.clone(), untold(*version, *state));
        }
        for (team, (version, quota)) in &view.quotas {
            other.quotas.insert(team.clone(), untold(*version, *quota));
        }
        for (service, known) in &self.docs {
            // The version of the removal is not known; on equal versions the removal counts.
            let removed = || untold(known.version, None);
            other.docs.entry(service.clone()).or_insert_with(removed);
        }
        self.merge(other);
    }

    /// Tells whether every entity that is set below `upto` is in `other` in the same or a higher
    /// version.
    pub(crate) fn is_within(&self, other: &Self, upto: Offset) -> bool {
        within(&self.docs, &other.docs, upto)
            && within(&self.domains, &other.domains, upto)
            && within(&self.quotas, &other.quotas, upto)
    }

    /// Tells whether no change has been applied.
    pub(crate) fn is_empty(&self) -> bool {
        self.docs.is_empty() && self.domains.is_empty() && self.quotas.is_empty()
    }

    /// Returns the offset after the last one that the state names.
    fn end(&self) -> Offset {
        let docs = self.docs.values().map(|entity| entity.version.0);
        let domains = self.domains.values().map(|entity| entity.version.0);
        let quotas = self.quotas.values().map(|entity| entity.version.0);
        let ids = self.ids.keys().map(|offset| offset.0);
        let last = docs.chain(domains).chain(quotas).chain(ids).max();
        last.map_or(Offset(0), |last| Offset(last).next())
    }

    /// Returns what is in force.
    pub(crate) fn view(&self, applied: Offset) -> ConfView {
        let mut view = ConfView {
            applied,
            ..ConfView::default()
        };
        for (service, entity) in &self.docs {
            if let Some(doc) = entity.value.clone() {
                let version = entity.version;
                view.docs.insert(service.clone(), DocView { version, doc });
            }
        }
        for (domain, entity) in &self.domains {
            let shown = (entity.version, entity.value);
            view.domains.insert(domain.clone(), shown);
        }
        for (team, entity) in &self.quotas {
            let shown = (entity.version, entity.value);
            view.quotas.insert(team.clone(), shown);
        }
        view
    }

    /// Writes the state as a snapshot record that covers the offsets below `upto`.
    pub(crate) fn snapshot(&self, upto: Offset) -> ConfRecord {
        // Maps with text keys and derived representations do not fail to serialize.
        let state = serde_json::to_string(self).unwrap_or_default();
        let hash = xxh3_64(state.as_bytes());
        ConfRecord::Snapshot { upto, hash, state }
    }

    /// Reads a snapshot record that stands at `offset`. Returns `None` for other records, if the
    /// hash does not match, and if the contents claim what cannot be known at that offset.
    pub(crate) fn read(offset: Offset, record: &ConfRecord) -> Option<(Offset, Self)> {
        let ConfRecord::Snapshot { upto, hash, state } = record else {
            return None;
        };
        if *upto > offset || xxh3_64(state.as_bytes()) != *hash {
            return None;
        }
        let state: Self = serde_json::from_str(state).ok()?;
        (state.end() <= offset).then_some((*upto, state))
    }

    fn trim_ids(&mut self) {
        while self.ids.len() > ID_WINDOW {
            self.ids.pop_first();
        }
    }

    fn trim_removed(&mut self) {
        let removed = self.docs.iter().filter(|(_, doc)| doc.value.is_none());
        let mut removed: Vec<_> = removed
            .map(|(service, doc)| (doc.version, service.clone()))
            .collect();
        if removed.len() <= REMOVED_LIMIT {
            return;
        }
        removed.sort_unstable();
        let surplus = removed.len() - REMOVED_LIMIT;
        for (_, service) in removed.into_iter().take(surplus) {
            self.docs.remove(&service);
        }
    }
}

/// Version and writer of the record being applied.
struct Stamp<'a> {
    version: Version,
    writer: &'a EntryName,
}

impl Stamp<'_> {
    fn entity<T>(&self, value: T) -> Entity<T> {
        Entity {
            version: self.version,
            writer: Some(self.writer.clone()),
            value,
        }
    }

    const fn accepted(&self) -> Applied {
        Applied::Accepted {
            version: self.version,
        }
    }
}

/// Creates an entity that a peer's view told of.
const fn untold<T>(version: Version, value: T) -> Entity<T> {
    Entity {
        version,
        writer: None,
        value,
    }
}

/// Returns the version that a change of a document has to name: 0 once it is removed.
fn doc_version(entity: Option<&Entity<Option<ServiceDoc>>>) -> Version {
    match entity {
        Some(entity) if entity.value.is_some() => entity.version,
        _ => Version(0),
    }
}

fn conflict<T>(current: Version, entity: Option<&Entity<T>>) -> Applied {
    Applied::Conflict {
        current,
        winner: entity.and_then(|entity| entity.writer.clone()),
    }
}

fn replace<K: Ord + Clone, T>(
    map: &mut BTreeMap<K, Entity<T>>,
    key: &K,
    base: Version,
    value: T,
    stamp: &Stamp<'_>,
) -> Applied {
    let entity = map.get(key);
    let current = entity.map_or(Version(0), |entity| entity.version);
    if base != current {
        return conflict(current, entity);
    }
    map.insert(key.clone(), stamp.entity(value));
    stamp.accepted()
}

fn join<K: Ord, T: Value>(map: &mut BTreeMap<K, Entity<T>>, other: BTreeMap<K, Entity<T>>) -> bool {
    let mut changed = false;
    for (key, entity) in other {
        let known = map.get(&key).map(Entity::order);
        if known < Some(entity.order()) {
            map.insert(key, entity);
            changed = true;
        }
    }
    changed
}

fn within<K: Ord, T: Value>(
    map: &BTreeMap<K, Entity<T>>,
    other: &BTreeMap<K, Entity<T>>,
    upto: Offset,
) -> bool {
    map.iter()
        .filter(|(_, entity)| entity.version.0 < upto.0)
        .all(|(key, entity)| other.get(key).map(Entity::order) >= Some(entity.order()))
}

//! State of the configuration stream, which depends on the records of the stream alone.
//!
//! A removed document leaves a marker with the version of its removal, and the identifiers of the
//! most recent records are kept. Both are part of the snapshots, so that all readers decide each
//! later record alike, wherever in the stream they started.

use std::collections::BTreeMap;

use hyssop_core::{
    ConfRecord, ConfView, DocView, DomainName, DomainState, EntryName, Envelope, Offset, Quota,
    RecordId, ServiceDoc, ServiceName, TeamName, Version,
};
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::ApplyOutcome;

/// Maximum number of record identifiers that are kept to recognise second copies of a record.
///
/// A copy can only follow while its writer retries, which takes minutes. At a rate of 1,700 changes
/// a day, the identifiers kept cover 14 hours.
const MAX_RECENT_IDS: usize = 1_024;

/// Maximum number of markers of removed documents that are kept; the oldest is dropped first.
const MAX_REMOVAL_MARKERS: usize = 1_024;

/// One entity with the version and the writer of the record that set it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Entity<T> {
    /// Offset of the record that set it.
    pub(crate) version: Version,
    /// Entry that wrote the record; `None` if the entity comes from a peer's view, which does not
    /// contain the writer.
    pub(crate) writer: Option<EntryName>,
    /// Contents of the entity.
    pub(crate) value: T,
}

/// Type that an entity can contain.
pub(crate) trait Value {
    /// Returns whether the value marks a removed entity.
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
    /// Returns the key by which a merge selects one of two copies of an entity: the higher version
    /// and, at equal versions, first a removal and then a copy whose writer is known.
    fn merge_key(&self) -> (Version, bool, bool) {
        let removed = self.value.is_removed();
        (self.version, removed, self.writer.is_some())
    }
}

/// Result of all records applied so far. It is serialized in snapshots.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct State {
    /// Documents by service; `None` marks a removed one.
    pub(crate) docs: BTreeMap<ServiceName, Entity<Option<ServiceDoc>>>,
    /// States of the failure domains that have been changed at least once.
    domains: BTreeMap<DomainName, Entity<DomainState>>,
    /// Quotas by team.
    quotas: BTreeMap<TeamName, Entity<Quota>>,
    /// Record identifiers of the most recent changes, keyed by the offset of the change.
    #[serde(rename = "ids")]
    recent_record_ids: BTreeMap<Offset, RecordId>,
}

impl State {
    /// Applies one change. Snapshots are ignored.
    pub(crate) fn apply_change(
        &mut self,
        offset: Offset,
        envelope: &Envelope<ConfRecord>,
    ) -> ApplyOutcome {
        // Version 0 stands for "none", so no change can have it.
        if offset.0 == 0 || matches!(envelope.body, ConfRecord::Snapshot { .. }) {
            return ApplyOutcome::Ignored;
        }
        if self.recent_record_ids.values().any(|id| *id == envelope.id) {
            return ApplyOutcome::Duplicate;
        }
        self.recent_record_ids.insert(offset, envelope.id);
        self.trim_record_ids();
        let context = ChangeContext {
            version: Version(offset.0),
            writer: &envelope.writer,
        };
        match &envelope.body {
            ConfRecord::Put { base, doc } => self.put(*base, doc, &context),
            ConfRecord::Remove { service, base } => self.remove(*base, service, &context),
            ConfRecord::Domain {
                domain,
                base,
                state,
                domains_version,
            } => match self.domain_conflict(domain, *base, *domains_version) {
                Some(conflict) => conflict,
                None => replace_entity(&mut self.domains, domain, *base, *state, &context),
            },
            ConfRecord::Quota { team, base, quota } => {
                replace_entity(&mut self.quotas, team, *base, *quota, &context)
            }
            ConfRecord::Snapshot { .. } => ApplyOutcome::Ignored,
        }
    }

    fn put(
        &mut self,
        base: Version,
        doc: &ServiceDoc,
        context: &ChangeContext<'_>,
    ) -> ApplyOutcome {
        let entity = self.docs.get(&doc.service);
        let current = current_version(entity);
        if base != current {
            return conflict(current, entity);
        }
        let entity = context.new_entity(Some(doc.clone()));
        self.docs.insert(doc.service.clone(), entity);
        context.accepted_outcome()
    }

    /// Returns a conflict if another domain was changed after the entry checked this change, that
    /// is, after version `domains_version`. The entry's check covers all domains: at least one
    /// stays in service, and those in service have enough capacity. So of two changes that were
    /// checked against the same state, only the first is accepted.
    fn domain_conflict(
        &self,
        domain: &DomainName,
        base: Version,
        domains_version: Version,
    ) -> Option<ApplyOutcome> {
        let own = self.domains.get(domain);
        if own.map_or(Version(0), |own| own.version) != base {
            // `replace_entity` reports a conflict with this domain's own version.
            return None;
        }
        let latest = self.domains.values().max_by_key(|entity| entity.version);
        let current = latest.map_or(Version(0), |latest| latest.version);
        (current != domains_version).then(|| conflict(current, latest))
    }

    fn remove(
        &mut self,
        base: Version,
        service: &ServiceName,
        context: &ChangeContext<'_>,
    ) -> ApplyOutcome {
        let entity = self.docs.get(service);
        let current = current_version(entity);
        if base != current {
            return conflict(current, entity);
        }
        if current == Version(0) {
            return ApplyOutcome::Ignored;
        }
        self.docs.insert(service.clone(), context.new_entity(None));
        self.trim_removals();
        context.accepted_outcome()
    }

    /// Copies every entity whose copy in `other` has the higher [`Entity::merge_key`], and the
    /// identifiers that are missing. Returns whether an entity has changed.
    pub(crate) fn merge(&mut self, other: Self) -> bool {
        let docs = merge_entities(&mut self.docs, other.docs);
        let domains = merge_entities(&mut self.domains, other.domains);
        let quotas = merge_entities(&mut self.quotas, other.quotas);
        self.recent_record_ids.extend(other.recent_record_ids);
        self.trim_record_ids();
        self.trim_removals();
        docs || domains || quotas
    }

    /// Copies the entities that are newer in a peer's view. The view must cover at least the offsets
    /// that this state covers: documents that it does not contain count as removed.
    pub(crate) fn merge_view(&mut self, view: &ConfView) {
        let mut other = Self::default();
        for (service, current) in &view.docs {
            let entity = entity_without_writer(current.version, Some(current.doc.clone()));
            other.docs.insert(service.clone(), entity);
        }
        for (domain, (version, state)) in &view.domains {
            other
                .domains
                .insert(domain.clone(), entity_without_writer(*version, *state));
        }
        for (team, (version, quota)) in &view.quotas {
            other
                .quotas
                .insert(team.clone(), entity_without_writer(*version, *quota));
        }
        for (service, existing) in &self.docs {
            // The version of the removal is not known; at equal versions the removal takes
            // precedence.
            let removal = || entity_without_writer(existing.version, None);
            other.docs.entry(service.clone()).or_insert_with(removal);
        }
        self.merge(other);
    }

    /// Returns whether `other` contains, in the same or a higher version, each entity of this state
    /// that was set below `upto`.
    pub(crate) fn is_covered_by(&self, other: &Self, upto: Offset) -> bool {
        covers_entities(&self.docs, &other.docs, upto)
            && covers_entities(&self.domains, &other.domains, upto)
            && covers_entities(&self.quotas, &other.quotas, upto)
    }

    /// Returns whether there is no entity.
    pub(crate) fn is_empty(&self) -> bool {
        self.docs.is_empty() && self.domains.is_empty() && self.quotas.is_empty()
    }

    /// Returns the offset after the highest one in the state.
    fn end_offset(&self) -> Offset {
        let docs = self.docs.values().map(|entity| entity.version.0);
        let domains = self.domains.values().map(|entity| entity.version.0);
        let quotas = self.quotas.values().map(|entity| entity.version.0);
        let ids = self.recent_record_ids.keys().map(|offset| offset.0);
        let last = docs.chain(domains).chain(quotas).chain(ids).max();
        last.map_or(Offset(0), |last| Offset(last).next())
    }

    /// Returns the configuration in force. `applied` is the first offset that the state does not
    /// cover.
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
            let versioned = (entity.version, entity.value);
            view.domains.insert(domain.clone(), versioned);
        }
        for (team, entity) in &self.quotas {
            let versioned = (entity.version, entity.value);
            view.quotas.insert(team.clone(), versioned);
        }
        view
    }

    /// Creates a snapshot record of the state that covers the offsets below `upto`.
    pub(crate) fn snapshot(&self, upto: Offset) -> ConfRecord {
        // Maps with text or integer keys and derived `Serialize` implementations do not fail.
        let state = serde_json::to_string(self).unwrap_or_default();
        let hash = xxh3_64(state.as_bytes());
        ConfRecord::Snapshot { upto, hash, state }
    }

    /// Decodes the snapshot record at `offset`, and returns the first offset that it does not cover
    /// and the state. Returns `None` for other records, if the hash does not match, and if the
    /// contents name offsets from `offset` on.
    pub(crate) fn from_record(offset: Offset, record: &ConfRecord) -> Option<(Offset, Self)> {
        let ConfRecord::Snapshot { upto, hash, state } = record else {
            return None;
        };
        if *upto > offset || xxh3_64(state.as_bytes()) != *hash {
            return None;
        }
        let state: Self = serde_json::from_str(state).ok()?;
        (state.end_offset() <= offset).then_some((*upto, state))
    }

    fn trim_record_ids(&mut self) {
        while self.recent_record_ids.len() > MAX_RECENT_IDS {
            self.recent_record_ids.pop_first();
        }
    }

    fn trim_removals(&mut self) {
        let removed = self.docs.iter().filter(|(_, doc)| doc.value.is_none());
        let mut removed: Vec<_> = removed
            .map(|(service, doc)| (doc.version, service.clone()))
            .collect();
        if removed.len() <= MAX_REMOVAL_MARKERS {
            return;
        }
        removed.sort_unstable();
        let surplus = removed.len() - MAX_REMOVAL_MARKERS;
        for (_, service) in removed.into_iter().take(surplus) {
            self.docs.remove(&service);
        }
    }
}

/// Version and writer of the change that is being applied, which its results contain.
struct ChangeContext<'a> {
    version: Version,
    writer: &'a EntryName,
}

impl ChangeContext<'_> {
    fn new_entity<T>(&self, value: T) -> Entity<T> {
        Entity {
            version: self.version,
            writer: Some(self.writer.clone()),
            value,
        }
    }

    const fn accepted_outcome(&self) -> ApplyOutcome {
        ApplyOutcome::Accepted {
            version: self.version,
        }
    }
}

/// Creates an entity from a peer's view, which does not contain the writer.
const fn entity_without_writer<T>(version: Version, value: T) -> Entity<T> {
    Entity {
        version,
        writer: None,
        value,
    }
}

/// Returns the base version that a change of a document has to name: the document's version, or 0
/// if it does not exist or was removed.
fn current_version(entity: Option<&Entity<Option<ServiceDoc>>>) -> Version {
    match entity {
        Some(entity) if entity.value.is_some() => entity.version,
        _ => Version(0),
    }
}

fn conflict<T>(current: Version, entity: Option<&Entity<T>>) -> ApplyOutcome {
    ApplyOutcome::Conflict {
        current,
        winner: entity.and_then(|entity| entity.writer.clone()),
    }
}

fn replace_entity<K: Ord + Clone, T>(
    map: &mut BTreeMap<K, Entity<T>>,
    key: &K,
    base: Version,
    value: T,
    context: &ChangeContext<'_>,
) -> ApplyOutcome {
    let entity = map.get(key);
    let current = entity.map_or(Version(0), |entity| entity.version);
    if base != current {
        return conflict(current, entity);
    }
    map.insert(key.clone(), context.new_entity(value));
    context.accepted_outcome()
}

fn merge_entities<K: Ord, T: Value>(
    map: &mut BTreeMap<K, Entity<T>>,
    other: BTreeMap<K, Entity<T>>,
) -> bool {
    let mut has_changed = false;
    for (key, entity) in other {
        let existing = map.get(&key).map(Entity::merge_key);
        if existing < Some(entity.merge_key()) {
            map.insert(key, entity);
            has_changed = true;
        }
    }
    has_changed
}

fn covers_entities<K: Ord, T: Value>(
    map: &BTreeMap<K, Entity<T>>,
    other: &BTreeMap<K, Entity<T>>,
    upto: Offset,
) -> bool {
    map.iter()
        .filter(|(_, entity)| entity.version.0 < upto.0)
        .all(|(key, entity)| other.get(key).map(Entity::merge_key) >= Some(entity.merge_key()))
}

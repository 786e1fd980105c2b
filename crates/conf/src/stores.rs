//! The configuration store: the state of the stream, the view in force and the time at which the
//! view was last confirmed to be current.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::limits::FRESHNESS_LIMIT;
use hyssop_core::{
    ConfRecord, ConfView, DocVersion, DocView, EntryName, Envelope, Millis, Offset, ServiceName,
    Version,
};

use crate::states::State;

/// Maximum number of versions in the history of one document.
pub const MAX_HISTORY_VERSIONS: usize = 16;

/// Effect of a record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is in force.
    Accepted {
        /// Version that the change set.
        version: Version,
    },
    /// The change names another base version than the one in force and has no effect. A change of
    /// a domain also conflicts with a change of another domain that was accepted after the entry
    /// checked this one.
    Conflict {
        /// Version in force, 0 for none; in a conflict with another domain, the version of that
        /// domain.
        current: Version,
        /// Entry that wrote that version, or the removal; `None` if it is not known.
        winner: Option<EntryName>,
    },
    /// The record is a second copy of a record that was applied.
    Duplicate,
    /// The record has no effect, for example because it is out of order, follows skipped offsets,
    /// is a snapshot without newer versions, or removes a document that does not exist.
    Ignored,
}

/// Configuration of the fleet in one process.
///
/// The store has two layers. The *state* is built from the records of the stream in offset order,
/// with or without a snapshot as its start, and decides which changes are accepted. The *view* is
/// the configuration in force: the state, or a peer's copy while that covers a higher offset. Both
/// are the same function of the stream, so a copy never changes which changes are accepted.
#[derive(Clone, Debug, Default)]
pub struct ConfStore {
    state: State,
    /// First offset that the state does not cover, and offset of the next record.
    next_offset: Offset,
    /// Offset after the skipped records, until a snapshot covers them.
    gap_end: Option<Offset>,
    /// Whether the state has a version that the last snapshot in the stream lacks.
    is_ahead: bool,
    view: Arc<ConfView>,
    /// Whether the view is a peer's copy.
    is_adopted: bool,
    /// Latest time in milliseconds at which the view is confirmed to have been current. Negative
    /// if that was before the driver's clock started.
    confirmed_at: Option<i64>,
    history: BTreeMap<ServiceName, Vec<DocVersion>>,
}

impl ConfStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record that [`Self::apply`] accepts.
    #[must_use]
    pub const fn next_offset(&self) -> Offset {
        self.next_offset
    }

    /// Returns the configuration in force.
    #[must_use]
    pub const fn view(&self) -> &Arc<ConfView> {
        &self.view
    }

    /// Returns the latest versions of a document, at most [`MAX_HISTORY_VERSIONS`], oldest first. A
    /// removal is a version without a document.
    #[must_use]
    pub fn history(&self, service: &ServiceName) -> &[DocVersion] {
        self.history.get(service).map_or(&[], Vec::as_slice)
    }

    /// Applies the record at `offset`. Any other offset than [`Self::next_offset`] is ignored: a
    /// lower one has been applied, and a higher one needs [`Self::skip_record`], [`Self::skip_to`]
    /// or [`Self::restore`] first. After skipped offsets, changes are neither accepted nor rejected
    /// until a snapshot covers the gap; [`Self::next_offset`] then goes back to the first record
    /// that the snapshot does not cover.
    pub fn apply(&mut self, offset: Offset, envelope: &Envelope<ConfRecord>) -> ApplyOutcome {
        if offset != self.next_offset {
            return ApplyOutcome::Ignored;
        }
        self.next_offset = offset.next();
        if matches!(envelope.body, ConfRecord::Snapshot { .. }) {
            return self.apply_snapshot(offset, &envelope.body);
        }
        if self.gap_end.is_some() {
            return ApplyOutcome::Ignored;
        }
        let outcome = self.state.apply_change(offset, envelope);
        let change = match outcome {
            ApplyOutcome::Accepted { .. } => Some(&envelope.body),
            _ => None,
        };
        if let Some(change) = change {
            self.record_change(offset, &envelope.writer, change);
        }
        self.update_view(change);
        outcome
    }

    /// Skips the record at [`Self::next_offset`], which cannot be decoded. All readers of the
    /// stream skip it, so their states stay equal. Any other offset is ignored.
    pub fn skip_record(&mut self, offset: Offset) {
        if offset == self.next_offset {
            self.next_offset = offset.next();
            self.update_view(None);
        }
    }

    /// Continues at `head`, because the records below it are no longer retained and no snapshot
    /// covers them. The view stays in force, but no change is accepted or rejected and no read of
    /// the stream confirms the view until a snapshot that covers the skipped offsets is applied.
    pub fn skip_to(&mut self, head: Offset) {
        if head <= self.next_offset {
            return;
        }
        if self.next_offset < self.view.applied && self.view.applied <= head {
            self.state.merge_view(&self.view);
        }
        self.next_offset = head;
        self.gap_end = Some(head);
    }

    /// Starts from the snapshot at `offset` and continues with the first record that it does not
    /// cover. Returns `false`, and changes nothing, if the record is not a valid snapshot or covers
    /// no more than the store. A snapshot at a lower offset may still cover more, since a second
    /// copy of an old snapshot can be appended late.
    pub fn restore(&mut self, offset: Offset, envelope: &Envelope<ConfRecord>) -> bool {
        let Some((upto, state)) = State::from_record(offset, &envelope.body) else {
            return false;
        };
        let is_newer = match self.gap_end {
            Some(end) => upto >= end,
            None => upto > self.next_offset,
        };
        if is_newer {
            self.start_from(upto, state);
        }
        is_newer
    }

    /// Puts a peer's copy in force if it covers a higher offset. Returns whether it did.
    pub fn adopt(&mut self, view: &ConfView) -> bool {
        if view.applied <= self.view.applied {
            return false;
        }
        // A copy that ends within the gap contains records that this store has skipped.
        if self.gap_end.is_some_and(|end| view.applied <= end) {
            self.state.merge_view(view);
        }
        let mut view = view.clone();
        retain_newer(&mut view, &self.view);
        self.view = Arc::new(view);
        self.is_adopted = true;
        true
    }

    /// Returns a snapshot of the state for the stream. It covers the offsets below `upto`, or below
    /// the first record that this store has not applied if that is lower.
    #[must_use]
    pub fn snapshot(&self, upto: Offset) -> ConfRecord {
        let Some(end) = self.gap_end else {
            return self.state.snapshot(upto.min(self.next_offset));
        };
        if self.view.applied <= end {
            return self.state.snapshot(upto.min(end));
        }
        // Only the peer's copy reaches beyond the gap, so the snapshot includes it.
        let mut state = self.state.clone();
        state.merge_view(&self.view);
        state.snapshot(upto.min(self.view.applied))
    }

    /// Returns whether the stream needs a snapshot of this store: no snapshot covers the records
    /// that were skipped, or the last snapshot lacks a version that this store has.
    #[must_use]
    pub const fn needs_snapshot(&self) -> bool {
        self.gap_end.is_some() || self.is_ahead
    }

    /// Returns whether the store accepts and rejects changes: no offsets were skipped, or a
    /// snapshot has covered them.
    #[must_use]
    pub const fn is_complete(&self) -> bool {
        self.gap_end.is_none()
    }

    /// Returns whether the store has any entity. Of the processes whose stores need a snapshot,
    /// those with an empty store have to wait for the others to write one.
    #[must_use]
    pub fn has_state(&self) -> bool {
        !self.state.is_empty()
    }

    /// Records that a read of the stream, sent at `sent_at`, returned `head` as the end of the
    /// stream. Returns whether this confirms that the view was current at `sent_at`.
    pub fn confirm_by_read(&mut self, sent_at: Millis, head: Offset) -> bool {
        let is_confirmed = self.gap_end.is_none() && self.next_offset >= head;
        if is_confirmed {
            self.record_confirmation(signed_millis(sent_at));
        }
        is_confirmed
    }

    /// Records that a peer replied to a message sent at `sent_at`. The peer's view covered the
    /// offsets below `applied` and had been confirmed `age` before the reply. Returns whether this
    /// confirms the view.
    pub fn confirm_by_peer(&mut self, sent_at: Millis, age: Millis, applied: Offset) -> bool {
        let is_confirmed = self.view.applied >= applied;
        if is_confirmed {
            self.record_confirmation(signed_millis(sent_at).saturating_sub(signed_millis(age)));
        }
        is_confirmed
    }

    /// Returns the time since the view was last confirmed to be current; `None` if it never was.
    #[must_use]
    pub fn confirmation_age(&self, now: Millis) -> Option<Millis> {
        let age = signed_millis(now).saturating_sub(self.confirmed_at?);
        Some(Millis(u64::try_from(age).unwrap_or(0)))
    }

    /// Returns whether the view was confirmed within [`FRESHNESS_LIMIT`].
    #[must_use]
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.confirmation_age(now)
            .is_some_and(|age| age < FRESHNESS_LIMIT)
    }

    fn record_confirmation(&mut self, at: i64) {
        self.confirmed_at = self.confirmed_at.max(Some(at));
    }

    fn apply_snapshot(&mut self, offset: Offset, record: &ConfRecord) -> ApplyOutcome {
        let accepted = ApplyOutcome::Accepted {
            version: Version(offset.0),
        };
        let Some((upto, state)) = State::from_record(offset, record) else {
            self.update_view(None);
            return ApplyOutcome::Ignored;
        };
        if let Some(end) = self.gap_end {
            if upto < end {
                return ApplyOutcome::Ignored;
            }
            let next = if upto == offset {
                self.next_offset
            } else {
                upto
            };
            self.start_from(next, state);
            return accepted;
        }
        self.is_ahead = !self.state.is_covered_by(&state, upto);
        if !self.state.merge(state) {
            self.update_view(None);
            return ApplyOutcome::Ignored;
        }
        self.extend_history();
        self.rebuild_view();
        accepted
    }

    /// Merges the state of a snapshot and continues with the record at `next_offset`.
    fn start_from(&mut self, next_offset: Offset, state: State) {
        self.is_ahead = !self.state.is_covered_by(&state, next_offset);
        self.state.merge(state);
        self.next_offset = next_offset;
        self.gap_end = None;
        self.extend_history();
        self.rebuild_view();
    }

    /// Updates the view after one record; `change` is the record if it was an accepted change.
    fn update_view(&mut self, change: Option<&ConfRecord>) {
        if self.gap_end.is_some() {
            return;
        }
        if self.is_adopted {
            return self.rebuild_view();
        }
        let version = Version(self.next_offset.0 - 1);
        let view = Arc::make_mut(&mut self.view);
        view.applied = view.applied.max(self.next_offset);
        if let Some(change) = change {
            patch_view(view, version, change);
        }
    }

    /// Rebuilds the view from the state, unless a peer's copy covers a higher offset.
    fn rebuild_view(&mut self) {
        if self.next_offset < self.view.applied {
            return;
        }
        self.view = Arc::new(self.state.view(self.next_offset));
        self.is_adopted = false;
    }

    fn record_change(&mut self, offset: Offset, writer: &EntryName, change: &ConfRecord) {
        let (service, doc) = match change {
            ConfRecord::Put { doc, .. } => (&doc.service, Some(doc.clone())),
            ConfRecord::Remove { service, .. } => (service, None),
            _ => return,
        };
        let version = DocVersion {
            version: Version(offset.0),
            doc,
            writer: writer.clone(),
        };
        push_version(&mut self.history, service, version);
    }

    /// Adds the versions of a snapshot to the history, and removes services that are no longer in
    /// the state.
    fn extend_history(&mut self) {
        let docs = &self.state.docs;
        self.history.retain(|service, _| docs.contains_key(service));
        for (service, entity) in &self.state.docs {
            if let Some(writer) = entity.writer.clone() {
                let version = DocVersion {
                    version: entity.version,
                    doc: entity.value.clone(),
                    writer,
                };
                push_version(&mut self.history, service, version);
            }
        }
    }
}

fn push_version(
    history: &mut BTreeMap<ServiceName, Vec<DocVersion>>,
    service: &ServiceName,
    version: DocVersion,
) {
    let versions = history.entry(service.clone()).or_default();
    let latest = versions.last().map(|latest| latest.version);
    if latest >= Some(version.version) {
        return;
    }
    if versions.len() == MAX_HISTORY_VERSIONS {
        versions.remove(0);
    }
    versions.push(version);
}

/// Applies an accepted change to a view.
fn patch_view(view: &mut ConfView, version: Version, change: &ConfRecord) {
    match change {
        ConfRecord::Put { doc, .. } => {
            let doc = doc.clone();
            let service = doc.service.clone();
            view.docs.insert(service, DocView { version, doc });
        }
        ConfRecord::Remove { service, .. } => {
            view.docs.remove(service);
        }
        ConfRecord::Domain { domain, state, .. } => {
            view.domains.insert(domain.clone(), (version, *state));
        }
        ConfRecord::Quota { team, quota, .. } => {
            view.quotas.insert(team.clone(), (version, *quota));
        }
        ConfRecord::Snapshot { .. } => {}
    }
}

/// Copies the entities from `old` that have a higher version than in `view`. A peer's copy from
/// after a gap may lack a change that only some processes had applied; their snapshot brings it
/// back into the stream.
fn retain_newer(view: &mut ConfView, old: &ConfView) {
    for (service, current) in &mut view.docs {
        match old.docs.get(service) {
            Some(previous) if previous.version > current.version => *current = previous.clone(),
            _ => {}
        }
    }
    for (domain, previous) in &old.domains {
        let current = view.domains.entry(domain.clone()).or_insert(*previous);
        if previous.0 > current.0 {
            *current = *previous;
        }
    }
    for (team, previous) in &old.quotas {
        let current = view.quotas.entry(team.clone()).or_insert(*previous);
        if previous.0 > current.0 {
            *current = *previous;
        }
    }
}

fn signed_millis(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}

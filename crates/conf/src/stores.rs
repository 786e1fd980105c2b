//! The configuration store: the stream's state, the view in force and the proof of freshness.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::limits::FRESHNESS_LIMIT;
use hyssop_core::{
    ConfRecord, ConfView, DocVersion, DocView, EntryName, Envelope, Millis, Offset, ServiceName,
    Version,
};

use crate::states::State;

/// Versions of one document that are kept for the history.
pub const HISTORY_LIMIT: usize = 16;

/// What became of a record of the configuration stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Applied {
    /// The change is in force.
    Accepted {
        /// Version that it set.
        version: Version,
    },
    /// The change named another version than the one in force and has no effect. A change of a
    /// domain also loses against a change of another domain since it was checked.
    Conflict {
        /// Version in force, 0 for none; that of the other domain if it came first.
        current: Version,
        /// Entry that wrote the version in force, or the removal; `None` if it is not known.
        winner: Option<EntryName>,
    },
    /// The record is a second copy of one that was applied.
    Duplicate,
    /// The record has no effect: it is out of order, a snapshot of what is known, or the removal
    /// of a document that does not exist.
    Ignored,
}

/// Configuration of the fleet as one process knows it.
///
/// The store has two layers. The *state* is built from the records of the stream in offset order,
/// with or without a snapshot as its start, and decides which changes are accepted. The *view* is
/// what is in force; it is the state, or a peer's copy as long as that covers a higher offset.
/// Since both are the same function of the stream, a copy never changes how records are decided.
#[derive(Clone, Debug, Default)]
pub struct ConfStore {
    state: State,
    /// First offset that the state does not cover.
    next: Offset,
    /// End of the offsets that were skipped, until a snapshot covers them.
    gap: Option<Offset>,
    /// Whether the stream's last snapshot lacks a version that the state has.
    ahead: bool,
    view: Arc<ConfView>,
    /// Whether the view is a peer's copy.
    adopted: bool,
    /// Time as of which the view is proved; before the driver's epoch if negative.
    proof: Option<i64>,
    history: BTreeMap<ServiceName, Vec<DocVersion>>,
}

impl ConfStore {
    /// Creates an empty store.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the offset of the next record that [`Self::apply`] takes.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Returns what is in force.
    #[must_use]
    pub const fn view(&self) -> &Arc<ConfView> {
        &self.view
    }

    /// Returns the latest versions of a document, oldest first; removals have no contents.
    #[must_use]
    pub fn history(&self, service: &ServiceName) -> &[DocVersion] {
        self.history.get(service).map_or(&[], Vec::as_slice)
    }

    /// Applies the record at `offset`. Any other offset than [`Self::next`] is ignored: a lower
    /// one is known, and a higher one needs [`Self::pass`], [`Self::skip`] or [`Self::restore`]
    /// first. After skipped offsets, changes are left undecided until a snapshot covers the gap;
    /// [`Self::next`] then goes back to the first record that the snapshot does not cover.
    pub fn apply(&mut self, offset: Offset, env: &Envelope<ConfRecord>) -> Applied {
        if offset != self.next {
            return Applied::Ignored;
        }
        self.next = offset.next();
        if matches!(env.body, ConfRecord::Snapshot { .. }) {
            return self.apply_snapshot(offset, &env.body);
        }
        if self.gap.is_some() {
            return Applied::Ignored;
        }
        let applied = self.state.change(offset, env);
        let change = match applied {
            Applied::Accepted { .. } => Some(&env.body),
            _ => None,
        };
        if let Some(change) = change {
            self.note_change(offset, &env.writer, change);
        }
        self.publish(change);
        applied
    }

    /// Passes over the record at [`Self::next`], which cannot be decoded. All readers of the
    /// stream do the same, so nothing is missed.
    pub fn pass(&mut self, offset: Offset) {
        if offset == self.next {
            self.next = offset.next();
            self.publish(None);
        }
    }

    /// Continues at `head`, because the records below are no longer retained and no snapshot
    /// covers them. What the store holds stays in force, but nothing is decided and a read of the
    /// stream proves nothing until a snapshot that covers the skipped offsets has been applied.
    pub fn skip(&mut self, head: Offset) {
        if head <= self.next {
            return;
        }
        if self.next < self.view.applied && self.view.applied <= head {
            self.state.absorb(&self.view);
        }
        self.next = head;
        self.gap = Some(head);
    }

    /// Starts from the snapshot that stands at `offset` and continues with the first record that
    /// it does not cover. Returns `false`, and changes nothing, if the record is not a valid
    /// snapshot or covers no more than the store; an earlier snapshot may still cover more, since
    /// a copy of an old one can arrive late.
    pub fn restore(&mut self, offset: Offset, env: &Envelope<ConfRecord>) -> bool {
        let Some((upto, state)) = State::read(offset, &env.body) else {
            return false;
        };
        let covers = match self.gap {
            Some(end) => upto >= end,
            None => upto > self.next,
        };
        if covers {
            self.rebase(upto, state);
        }
        covers
    }

    /// Takes over a peer's copy if it covers a higher offset. Returns whether it was taken.
    pub fn adopt(&mut self, view: &ConfView) -> bool {
        if view.applied <= self.view.applied {
            return false;
        }
        // A copy taken before the gap is a later part of the history that this store missed.
        if self.gap.is_some_and(|end| view.applied <= end) {
            self.state.absorb(view);
        }
        let mut view = view.clone();
        keep_newer(&mut view, &self.view);
        self.view = Arc::new(view);
        self.adopted = true;
        true
    }

    /// Returns a snapshot of the state for the stream, which covers the offsets below `upto` or,
    /// if that is lower, below the first record that is not decided.
    #[must_use]
    pub fn snapshot(&self, upto: Offset) -> ConfRecord {
        let Some(end) = self.gap else {
            return self.state.snapshot(upto.min(self.next));
        };
        if self.view.applied <= end {
            return self.state.snapshot(upto.min(end));
        }
        // Only a peer's copy reaches beyond the gap, so it is what can be offered.
        let mut state = self.state.clone();
        state.absorb(&self.view);
        state.snapshot(upto.min(self.view.applied))
    }

    /// Tells whether the stream needs a snapshot of this store: records were skipped that no
    /// snapshot covers, or the last snapshot lacks something that this store holds.
    #[must_use]
    pub const fn owes_snapshot(&self) -> bool {
        self.gap.is_some() || self.ahead
    }

    /// Tells whether the store decides changes: no offsets were skipped, or a snapshot covers them.
    #[must_use]
    pub const fn is_whole(&self) -> bool {
        self.gap.is_none()
    }

    /// Tells whether the store holds anything. Of the stores that owe a snapshot, the empty ones
    /// have to leave time to the others.
    #[must_use]
    pub fn holds_state(&self) -> bool {
        !self.state.is_empty()
    }

    /// Notes that a read of the stream, sent at `sent`, was answered with `head`. Returns whether
    /// that proves the view.
    pub fn prove(&mut self, sent: Millis, head: Offset) -> bool {
        let proves = self.gap.is_none() && self.next >= head;
        if proves {
            self.note_proof(signed(sent));
        }
        proves
    }

    /// Notes that a message sent at `sent` was answered by a peer whose state up to `applied` had
    /// a proof of this age. Returns whether that proves the view.
    pub fn prove_via(&mut self, sent: Millis, age: Millis, applied: Offset) -> bool {
        let proves = self.view.applied >= applied;
        if proves {
            self.note_proof(signed(sent).saturating_sub(signed(age)));
        }
        proves
    }

    /// Returns the age of the proof of freshness; `None` without any.
    #[must_use]
    pub fn age(&self, now: Millis) -> Option<Millis> {
        let age = signed(now).saturating_sub(self.proof?);
        Some(Millis(u64::try_from(age).unwrap_or(0)))
    }

    /// Tells whether the proof of freshness is younger than [`FRESH_LIMIT`].
    #[must_use]
    pub fn is_fresh(&self, now: Millis) -> bool {
        self.age(now).is_some_and(|age| age < FRESHNESS_LIMIT)
    }

    fn note_proof(&mut self, at: i64) {
        self.proof = self.proof.max(Some(at));
    }

    fn apply_snapshot(&mut self, offset: Offset, record: &ConfRecord) -> Applied {
        let accepted = Applied::Accepted {
            version: Version(offset.0),
        };
        let Some((upto, state)) = State::read(offset, record) else {
            self.publish(None);
            return Applied::Ignored;
        };
        if let Some(end) = self.gap {
            if upto < end {
                return Applied::Ignored;
            }
            let next = if upto == offset { self.next } else { upto };
            self.rebase(next, state);
            return accepted;
        }
        self.ahead = !self.state.is_within(&state, upto);
        if !self.state.merge(state) {
            self.publish(None);
            return Applied::Ignored;
        }
        self.note_docs();
        self.republish();
        accepted
    }

    /// Takes a snapshot as the start of the records from `next` on.
    fn rebase(&mut self, next: Offset, state: State) {
        self.ahead = !self.state.is_within(&state, next);
        self.state.merge(state);
        self.next = next;
        self.gap = None;
        self.note_docs();
        self.republish();
    }

    /// Brings the view up to the state after one record.
    fn publish(&mut self, change: Option<&ConfRecord>) {
        if self.gap.is_some() {
            return;
        }
        if self.adopted {
            return self.republish();
        }
        let version = Version(self.next.0 - 1);
        let view = Arc::make_mut(&mut self.view);
        view.applied = view.applied.max(self.next);
        if let Some(change) = change {
            patch(view, version, change);
        }
    }

    /// Rebuilds the view from the state, unless a peer's copy covers more.
    fn republish(&mut self) {
        if self.next < self.view.applied {
            return;
        }
        self.view = Arc::new(self.state.view(self.next));
        self.adopted = false;
    }

    fn note_change(&mut self, offset: Offset, writer: &EntryName, change: &ConfRecord) {
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

    /// Adds the versions of a snapshot to the history, and forgets services that the state has
    /// forgotten.
    fn note_docs(&mut self) {
        let known = &self.state.docs;
        self.history
            .retain(|service, _| known.contains_key(service));
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
    let last = versions.last().map(|last| last.version);
    if last >= Some(version.version) {
        return;
    }
    if versions.len() == HISTORY_LIMIT {
        versions.remove(0);
    }
    versions.push(version);
}

/// Applies an accepted change to a view.
fn patch(view: &mut ConfView, version: Version, change: &ConfRecord) {
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

/// Keeps the entities of `old` that have a higher version than in `view`. A copy from after a gap
/// may lack a change that only some processes held; it reaches the stream with their snapshot.
fn keep_newer(view: &mut ConfView, old: &ConfView) {
    for (service, shown) in &mut view.docs {
        match old.docs.get(service) {
            Some(known) if known.version > shown.version => *shown = known.clone(),
            _ => {}
        }
    }
    for (domain, known) in &old.domains {
        let shown = view.domains.entry(domain.clone()).or_insert(*known);
        if known.0 > shown.0 {
            *shown = *known;
        }
    }
    for (team, known) in &old.quotas {
        let shown = view.quotas.entry(team.clone()).or_insert(*known);
        if known.0 > shown.0 {
            *shown = *known;
        }
    }
}

fn signed(time: Millis) -> i64 {
    i64::try_from(time.0).unwrap_or(i64::MAX)
}

//! The fleet as this entry knows it: configuration, other entries, cells and domains.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_conf::{ConfStore, Peers};
use hyssop_core::limits::{FRESHNESS_LIMIT, ORDER_TTL, PEER_TIMEOUT};
use hyssop_core::{
    CellId, CellState, ConfView, Connectivity, DomainName, DomainState, EntryName, Heartbeat,
    Incarnation, Millis, Offset, Version,
};
use smallvec::SmallVec;

/// Time after which a domain that was taken out has had its last task start everywhere.
const STOP_TIME: Millis = Millis(FRESHNESS_LIMIT.0 + ORDER_TTL.0);
/// Most cells that a heartbeat may name. They are passed on in this entry's own heartbeats, which
/// would exceed the frame limit otherwise; the target size has 47 cells.
const MAX_CELLS: usize = 1_024;
/// Time over which the owners of cells refill a domain that is back.
const REFILL_TIME: Millis = Millis(20_000);

/// What one other entry last said.
#[derive(Debug)]
struct Statement {
    at: Millis,
    heard: Option<Millis>,
    incarnation: Incarnation,
    age: Option<Millis>,
    applied: Offset,
    cells: SmallVec<[CellState; 4]>,
}

/// Another entry, for status.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// Entry.
    pub(crate) entry: EntryName,
    /// Whether anything arrived from it within the limit.
    pub(crate) alive: bool,
    /// Time since a heartbeat of this entry was last answered.
    pub(crate) heard: Option<Millis>,
    /// Age of its proof, as it last stated.
    pub(crate) age: Option<Millis>,
}

/// What this entry can prove at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Proven {
    /// Standing.
    pub(crate) standing: Connectivity,
    /// Whether a majority of the entries is heard.
    pub(crate) majority: bool,
    /// Whether an entry that is heard, or this one, has been up only briefly.
    pub(crate) young: bool,
}

/// Change of a domain's state as this entry saw it.
#[derive(Clone, Copy, Debug)]
struct Change {
    version: Version,
    state: DomainState,
    /// Time at which the change was seen; `None` for the state at the first look.
    seen: Option<Millis>,
}

/// Tables that the drivers of an entry share.
#[derive(Debug)]
pub(crate) struct Fleet {
    name: EntryName,
    incarnation: Incarnation,
    /// Configuration.
    pub(crate) conf: ConfStore,
    /// Other entries.
    pub(crate) peers: Peers,
    /// Cells of this process.
    owned: BTreeMap<CellId, CellState>,
    statements: BTreeMap<EntryName, Statement>,
    changes: BTreeMap<DomainName, Change>,
}

impl Fleet {
    /// Creates empty tables.
    pub(crate) fn new(
        name: EntryName,
        incarnation: Incarnation,
        peers: impl IntoIterator<Item = EntryName>,
    ) -> Self {
        Self {
            peers: Peers::new(name.clone(), peers),
            name,
            incarnation,
            conf: ConfStore::new(),
            owned: BTreeMap::new(),
            statements: BTreeMap::new(),
            changes: BTreeMap::new(),
        }
    }

    /// Returns what this entry can prove now. Its clock starts with the process, so `now` is also
    /// the time for which it has been up.
    pub(crate) fn proven(&self, now: Millis) -> Proven {
        Proven {
            standing: self.standing(now),
            majority: self.peers.majority(now),
            young: self.peers.young(now, now),
        }
    }

    /// Returns the standing.
    pub(crate) fn standing(&self, now: Millis) -> Connectivity {
        self.peers.standing(now, self.conf.age(now))
    }

    /// Returns a heartbeat, with the configuration if the receiver is behind.
    pub(crate) fn beat(&self, now: Millis, applied: Option<Offset>) -> Heartbeat {
        let view = self.conf.view();
        let behind = applied.is_some_and(|applied| applied < view.applied);
        Heartbeat {
            entry: self.name.clone(),
            incarnation: self.incarnation,
            applied: view.applied,
            confirmation_age: self.conf.age(now),
            uptime: now,
            cells: self.known_cells(now),
            view: behind.then(|| ConfView::clone(view)),
        }
    }

    /// Returns the offset up to which a peer has applied the configuration.
    pub(crate) fn applied_by(&self, peer: &EntryName) -> Option<Offset> {
        self.statements.get(peer).map(|said| said.applied)
    }

    /// Takes the answer to a heartbeat that was sent at `sent`.
    pub(crate) fn heard(&mut self, sent: Millis, now: Millis, beat: &Heartbeat) {
        if beat.cells.len() > MAX_CELLS || !self.peers.heard(sent, now, beat) {
            return;
        }
        self.note(now, Some(sent), beat);
        if let Some(view) = &beat.view {
            self.conf.adopt(view);
        }
        for proof in self.peers.proofs() {
            self.conf.prove_via(proof.sent, proof.age, proof.applied);
        }
    }

    /// Takes a heartbeat that a peer sent.
    pub(crate) fn received(&mut self, now: Millis, beat: &Heartbeat) {
        if beat.cells.len() > MAX_CELLS || !self.peers.received(now, beat) {
            return;
        }
        self.note(now, None, beat);
        if let Some(view) = &beat.view {
            self.conf.adopt(view);
        }
    }

    fn note(&mut self, now: Millis, heard: Option<Millis>, beat: &Heartbeat) {
        let earlier = self.statements.get(&beat.entry);
        let earlier = earlier.filter(|said| said.incarnation == beat.incarnation);
        let heard = heard.max(earlier.and_then(|said| said.heard));
        let said = Statement {
            at: now,
            heard,
            incarnation: beat.incarnation,
            age: beat.confirmation_age,
            applied: beat.applied,
            cells: beat.cells.clone(),
        };
        self.statements.insert(beat.entry.clone(), said);
    }

    /// Notes whether this process owns a cell.
    pub(crate) fn own(&mut self, cell: &CellId, state: Option<CellState>) {
        match state {
            Some(state) => {
                self.owned.insert(cell.clone(), state);
            }
            None => {
                self.owned.remove(cell);
            }
        }
    }

    /// Tells whether this process owns a cell.
    pub(crate) fn owns(&self, cell: &CellId) -> bool {
        self.owned.contains_key(cell)
    }

    /// Returns the cells of which this process knows at first hand: its own, and those that a
    /// live peer says it owns. Heartbeats carry them, because an owner that is cut off from its
    /// successor has to learn of it from the entries that hear both.
    fn known_cells(&self, now: Millis) -> SmallVec<[CellState; 4]> {
        let mut cells = self.stated(now, false);
        for (cell, state) in &self.owned {
            merge(&mut cells, cell, state);
        }
        cells.into_values().collect()
    }

    /// Returns the cells that live peers name, each with its highest term. `hearsay` includes
    /// those that a peer names as another one's.
    fn stated(&self, now: Millis, hearsay: bool) -> BTreeMap<CellId, CellState> {
        let mut cells = BTreeMap::new();
        let live = self.statements.iter();
        let live = live.filter(|(_, said)| now.since(said.at) < PEER_TIMEOUT);
        for (entry, said) in live.clone() {
            let own = |state: &&CellState| state.owner == *entry;
            for state in said.cells.iter().filter(own) {
                merge(&mut cells, &state.cell, state);
            }
        }
        if hearsay {
            for state in live.flat_map(|(_, said)| &said.cells) {
                merge(&mut cells, &state.cell, state);
            }
        }
        cells
    }

    /// Returns the cells as the core of one cell has to know them: those of the other entries,
    /// and the others of this process.
    pub(crate) fn cells_beside(&self, now: Millis, cell: &CellId) -> Vec<CellState> {
        let mut cells = self.stated(now, true);
        // What others say about this process is not news, and may be out of date.
        cells.retain(|_, state| !self.is_own(state));
        for (other, state) in self.owned.iter().filter(|(other, _)| *other != cell) {
            merge(&mut cells, other, state);
        }
        cells.into_values().collect()
    }

    /// Returns all cells whose owner is known.
    pub(crate) fn cells(&self, now: Millis) -> BTreeMap<CellId, CellState> {
        let mut cells = self.stated(now, true);
        cells.retain(|_, state| !self.is_own(state));
        for (cell, state) in &self.owned {
            merge(&mut cells, cell, state);
        }
        cells
    }

    fn is_own(&self, state: &CellState) -> bool {
        state.owner == self.name && state.incarnation == self.incarnation
    }

    /// Tells whether a live entry, or this one, is known to own a cell.
    pub(crate) fn has_owner(&self, now: Millis, cell: &CellId) -> bool {
        let live = self.statements.values();
        let mut live = live.filter(|said| now.since(said.at) < PEER_TIMEOUT);
        let named = live.any(|said| said.cells.iter().any(|state| state.cell == *cell));
        named || self.owns(cell)
    }

    /// Returns the entry that owns a cell, as far as this one knows.
    pub(crate) fn owner(&self, now: Millis, cell: &CellId) -> Option<EntryName> {
        self.cells(now).remove(cell).map(|state| state.owner)
    }

    /// Returns the other entries.
    pub(crate) fn peer_views(&self, now: Millis, names: &[EntryName]) -> Vec<PeerView> {
        let views = names.iter().map(|entry| {
            let said = self.statements.get(entry);
            PeerView {
                entry: entry.clone(),
                alive: said.is_some_and(|said| now.since(said.at) < PEER_TIMEOUT),
                heard: said.and_then(|said| said.heard).map(|at| now.since(at)),
                age: said.and_then(|said| said.age),
            }
        });
        views.collect()
    }

    /// Notes the states of the domains in force. Returns the domains whose state has changed.
    pub(crate) fn note_domains(&mut self, now: Millis) -> Vec<(DomainName, Version, DomainState)> {
        let view = Arc::clone(self.conf.view());
        let mut changed = Vec::new();
        for (domain, (version, state)) in &view.domains {
            let known = self.changes.get(domain);
            if known.is_some_and(|known| known.version >= *version) {
                continue;
            }
            let reversed = known.is_some_and(|known| known.state != *state);
            // Without an earlier look the domain was in service, or this process has just started.
            let started = known.is_none() && now < STOP_TIME;
            let change = Change {
                version: *version,
                state: *state,
                seen: (reversed || !started).then_some(now),
            };
            self.changes.insert(domain.clone(), change);
            changed.push((domain.clone(), *version, *state));
        }
        changed
    }

    /// Tells whether a domain is being refilled.
    pub(crate) fn is_returning(&self, now: Millis, domain: &DomainName) -> bool {
        let change = self.changes.get(domain);
        change.is_some_and(|change| {
            let recent = |at: Millis| now.since(at) < REFILL_TIME;
            change.state == DomainState::In && change.seen.is_some_and(recent)
        })
    }

    /// Tells whether tasks may still start in a domain that is out, because not every owner has
    /// to know yet.
    pub(crate) fn may_start(&self, now: Millis, domain: &DomainName) -> bool {
        let change = self.changes.get(domain);
        change.is_none_or(|change| now.since(change.seen.unwrap_or_default()) < STOP_TIME)
    }
}

/// Keeps the state of the higher term, and the earlier one of two with the same term.
fn merge(cells: &mut BTreeMap<CellId, CellState>, cell: &CellId, state: &CellState) {
    let known = cells.entry(cell.clone()).or_insert_with(|| state.clone());
    if known.term < state.term {
        *known = state.clone();
    }
}

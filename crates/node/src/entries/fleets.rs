//! State of the fleet as known to this entry: configuration, peers, cells and failure domains.

use std::collections::BTreeMap;

use hyssop_conf::{ConfStore, DomainTracker, Peers};
use hyssop_core::limits::PEER_TIMEOUT;
use hyssop_core::{
    CellId, CellState, ConfView, Connectivity, EntryName, Heartbeat, Incarnation, Millis, Offset,
};
use smallvec::SmallVec;

/// Most cells that a received heartbeat may list. This entry repeats them in its own heartbeats,
/// which would exceed the frame limit otherwise; the target size has 47 cells.
const MAX_HEARTBEAT_CELLS: usize = 1_024;

/// Contents of the last heartbeat of one peer.
#[derive(Debug)]
struct PeerState {
    received_at: Millis,
    /// Time at which the last heartbeat to the peer that it replied to was sent.
    last_reply_at: Option<Millis>,
    incarnation: Incarnation,
    confirmation_age: Option<Millis>,
    applied: Offset,
    cells: SmallVec<[CellState; 4]>,
}

/// Status of a peer.
#[derive(Clone, Debug)]
pub(crate) struct PeerView {
    /// Name of the peer.
    pub(crate) entry: EntryName,
    /// Whether a heartbeat or a reply arrived within `PEER_TIMEOUT`.
    pub(crate) is_alive: bool,
    /// Time since the last heartbeat to the peer that it replied to was sent.
    pub(crate) last_reply_age: Option<Millis>,
    /// Age of the peer's confirmation of the configuration, as in its last heartbeat.
    pub(crate) confirmation_age: Option<Millis>,
}

/// What this entry knows about its connection to the log and the peers at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ConnectivityState {
    /// Whether the log or a majority of the entries is reachable.
    pub(crate) connectivity: Connectivity,
    /// Whether a majority of the entries is reachable.
    pub(crate) has_majority: bool,
    /// Whether this entry or a reachable peer has started recently.
    pub(crate) has_recent_start: bool,
}

/// State that the drivers and handlers of an entry share.
#[derive(Debug)]
pub(crate) struct Fleet {
    name: EntryName,
    incarnation: Incarnation,
    /// Configuration as read from its stream.
    pub(crate) conf: ConfStore,
    /// Reachability of the other entries.
    pub(crate) peers: Peers,
    /// Cells that this process owns.
    owned: BTreeMap<CellId, CellState>,
    peer_states: BTreeMap<EntryName, PeerState>,
    /// Recent changes of failure domains.
    pub(crate) domains: DomainTracker,
}

impl Fleet {
    /// Creates the state of an entry that has received nothing yet.
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
            peer_states: BTreeMap::new(),
            domains: DomainTracker::new(),
        }
    }

    /// Returns the connectivity of this entry. Its clock starts with the process, so `now` is also
    /// its uptime.
    pub(crate) fn connectivity_state(&self, now: Millis) -> ConnectivityState {
        ConnectivityState {
            connectivity: self.connectivity(now),
            has_majority: self.peers.has_majority(now),
            has_recent_start: self.peers.has_recent_start(now, now),
        }
    }

    /// Returns whether the log or a majority of the entries is reachable.
    pub(crate) fn connectivity(&self, now: Millis) -> Connectivity {
        self.peers
            .connectivity(now, self.conf.confirmation_age(now))
    }

    /// Creates a heartbeat. It carries the configuration if the receiver has applied less than this
    /// entry; `applied` is the offset up to which the receiver has, if that is known.
    pub(crate) fn heartbeat(&self, now: Millis, applied: Option<Offset>) -> Heartbeat {
        let view = self.conf.view();
        let is_behind = applied.is_some_and(|applied| applied < view.applied);
        Heartbeat {
            entry: self.name.clone(),
            incarnation: self.incarnation,
            applied: view.applied,
            confirmation_age: self.conf.confirmation_age(now),
            uptime: now,
            cells: self.known_cells(now),
            view: is_behind.then(|| ConfView::clone(view)),
        }
    }

    /// Returns the offset up to which a peer has applied the configuration.
    pub(crate) fn applied_by(&self, peer: &EntryName) -> Option<Offset> {
        self.peer_states
            .get(peer)
            .map(|peer_state| peer_state.applied)
    }

    /// Records the reply to a heartbeat that was sent at `sent_at`.
    pub(crate) fn record_reply(&mut self, sent_at: Millis, now: Millis, heartbeat: &Heartbeat) {
        if heartbeat.cells.len() > MAX_HEARTBEAT_CELLS
            || !self.peers.record_reply(sent_at, now, heartbeat)
        {
            return;
        }
        self.update_peer(now, Some(sent_at), heartbeat);
        if let Some(view) = &heartbeat.view {
            self.conf.adopt(view);
        }
        for confirmation in self.peers.confirmations() {
            self.conf
                .confirm_by_peer(confirmation.sent_at, confirmation.age, confirmation.applied);
        }
    }

    /// Records a heartbeat that a peer sent.
    pub(crate) fn record_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) {
        if heartbeat.cells.len() > MAX_HEARTBEAT_CELLS
            || !self.peers.record_heartbeat(now, heartbeat)
        {
            return;
        }
        self.update_peer(now, None, heartbeat);
        if let Some(view) = &heartbeat.view {
            self.conf.adopt(view);
        }
    }

    fn update_peer(&mut self, now: Millis, last_reply_at: Option<Millis>, heartbeat: &Heartbeat) {
        let earlier = self.peer_states.get(&heartbeat.entry);
        let earlier = earlier.filter(|peer_state| peer_state.incarnation == heartbeat.incarnation);
        let last_reply_at =
            last_reply_at.max(earlier.and_then(|peer_state| peer_state.last_reply_at));
        let peer_state = PeerState {
            received_at: now,
            last_reply_at,
            incarnation: heartbeat.incarnation,
            confirmation_age: heartbeat.confirmation_age,
            applied: heartbeat.applied,
            cells: heartbeat.cells.clone(),
        };
        self.peer_states.insert(heartbeat.entry.clone(), peer_state);
    }

    /// Records the state of a cell that this process owns, or with `None` that it owns it no longer.
    pub(crate) fn set_owned(&mut self, cell: &CellId, state: Option<CellState>) {
        match state {
            Some(state) => {
                self.owned.insert(cell.clone(), state);
            }
            None => {
                self.owned.remove(cell);
            }
        }
    }

    /// Returns whether this process owns a cell.
    pub(crate) fn owns(&self, cell: &CellId) -> bool {
        self.owned.contains_key(cell)
    }

    /// Returns the cells that this process owns and those that live peers report as their own.
    /// Heartbeats carry both, because an owner that cannot reach its successor has to learn of it
    /// from an entry that reaches both.
    fn known_cells(&self, now: Millis) -> SmallVec<[CellState; 4]> {
        let mut cells = self.peer_cells(now, false);
        for (cell, state) in &self.owned {
            merge(&mut cells, cell, state);
        }
        cells.into_values().collect()
    }

    /// Returns the cells that live peers report as their own, each with its highest term. With
    /// `include_hints` the cells that a peer reports as owned by another entry are added.
    fn peer_cells(&self, now: Millis, include_hints: bool) -> BTreeMap<CellId, CellState> {
        let mut cells = BTreeMap::new();
        let live = self.peer_states.iter();
        let live = live.filter(|(_, peer_state)| now.since(peer_state.received_at) < PEER_TIMEOUT);
        for (entry, peer_state) in live.clone() {
            let is_peers_own = |state: &&CellState| state.owner == *entry;
            for state in peer_state.cells.iter().filter(is_peers_own) {
                merge(&mut cells, &state.cell, state);
            }
        }
        if include_hints {
            for state in live.flat_map(|(_, peer_state)| &peer_state.cells) {
                merge(&mut cells, &state.cell, state);
            }
        }
        cells
    }

    /// Returns the owned cells other than `cell`, as input for its core: those of the other entries
    /// and the remaining ones of this process.
    pub(crate) fn other_cells(&self, now: Millis, cell: &CellId) -> Vec<CellState> {
        let mut cells = self.peer_cells(now, true);
        // Reports of peers about this process may be out of date.
        cells.retain(|_, state| !self.is_own(state));
        for (other, state) in self.owned.iter().filter(|(other, _)| *other != cell) {
            merge(&mut cells, other, state);
        }
        cells.into_values().collect()
    }

    /// Returns all cells with a known owner.
    pub(crate) fn cells(&self, now: Millis) -> BTreeMap<CellId, CellState> {
        let mut cells = self.peer_cells(now, true);
        cells.retain(|_, state| !self.is_own(state));
        for (cell, state) in &self.owned {
            merge(&mut cells, cell, state);
        }
        cells
    }

    fn is_own(&self, state: &CellState) -> bool {
        state.owner == self.name && state.incarnation == self.incarnation
    }

    /// Returns whether this entry or a live peer owns a cell, or a live peer reports its owner.
    pub(crate) fn has_owner(&self, now: Millis, cell: &CellId) -> bool {
        let live = self.peer_states.values();
        let mut live = live.filter(|peer_state| now.since(peer_state.received_at) < PEER_TIMEOUT);
        let is_reported =
            live.any(|peer_state| peer_state.cells.iter().any(|state| state.cell == *cell));
        is_reported || self.owns(cell)
    }

    /// Returns the entry that owns a cell; `None` if no owner is known.
    pub(crate) fn owner(&self, now: Millis, cell: &CellId) -> Option<EntryName> {
        self.cells(now).remove(cell).map(|state| state.owner)
    }

    /// Returns the status of the peers with these names.
    pub(crate) fn peer_views(&self, now: Millis, names: &[EntryName]) -> Vec<PeerView> {
        let views = names.iter().map(|entry| {
            let peer_state = self.peer_states.get(entry);
            PeerView {
                entry: entry.clone(),
                is_alive: peer_state
                    .is_some_and(|peer_state| now.since(peer_state.received_at) < PEER_TIMEOUT),
                last_reply_age: peer_state
                    .and_then(|peer_state| peer_state.last_reply_at)
                    .map(|at| now.since(at)),
                confirmation_age: peer_state.and_then(|peer_state| peer_state.confirmation_age),
            }
        });
        views.collect()
    }
}

/// Adds a cell's state, or replaces the one present if that has a lower term.
fn merge(cells: &mut BTreeMap<CellId, CellState>, cell: &CellId, state: &CellState) {
    let known = cells.entry(cell.clone()).or_insert_with(|| state.clone());
    if known.term < state.term {
        *known = state.clone();
    }
}

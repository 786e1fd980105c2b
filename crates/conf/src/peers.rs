//! State of the other entries, as known from their heartbeats.

use std::collections::BTreeMap;

use hyssop_core::limits::{BATCH_RENEWAL_LIMIT, FRESHNESS_LIMIT, PEER_TIMEOUT};
use hyssop_core::{
    CellId, CellState, Connectivity, EntryName, Heartbeat, Incarnation, Millis, Offset,
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which an earlier incarnation of an entry is remembered after its last heartbeat.
const OLD_INCARNATION_TTL: Millis = Millis(60_000);

/// Maximum number of earlier incarnations remembered of one entry; the oldest is dropped first.
const MAX_OLD_INCARNATIONS: usize = 16;

/// A peer's statement that its configuration is current, to be passed to
/// [`crate::ConfStore::confirm_by_peer`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Time at which this process sent the heartbeat to which the peer replied.
    pub sent_at: Millis,
    /// Time since the peer's configuration was confirmed, as the peer stated it.
    pub age: Millis,
    /// First offset that the peer's configuration does not cover.
    pub applied: Offset,
}

/// The entries of the settings as this one knows them.
///
/// An entry is *reachable* only if it replied to a heartbeat of this process, because a reply shows
/// that both directions work. A reply counts from the time at which the heartbeat was sent, so that
/// a delayed reply does not count as recent.
#[derive(Clone, Debug)]
pub struct Peers {
    own: EntryName,
    peers: BTreeMap<EntryName, Peer>,
}

/// One other entry.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Send time of the latest heartbeat of this process to which the peer has replied.
    last_reply_at: Option<Millis>,
    /// Time of arrival of the latest heartbeat or reply.
    last_message_at: Option<Millis>,
    /// Process that runs according to the latest heartbeat.
    process: Option<PeerProcess>,
    /// Latest confirmation that the peer has stated in a reply.
    confirmation: Option<Confirmation>,
    /// Replaced incarnations with the times of their latest heartbeats.
    old_incarnations: SmallVec<[(Incarnation, Millis); 2]>,
}

/// The current process of an entry.
#[derive(Clone, Debug)]
struct PeerProcess {
    incarnation: Incarnation,
    /// Uptime in the latest heartbeat, which orders the heartbeats of one incarnation.
    uptime: Millis,
    cells: SmallVec<[CellState; 4]>,
}

impl Peers {
    /// Creates the table for the entry `own`. `entries` are the entries of the settings.
    #[must_use]
    pub fn new(own: EntryName, entries: impl IntoIterator<Item = EntryName>) -> Self {
        let others = entries.into_iter().filter(|name| *name != own);
        let peers = others.map(|name| (name, Peer::default())).collect();
        Self { own, peers }
    }

    /// Records the reply to a heartbeat that this process sent at `sent_at`. Returns whether the
    /// reply counts: its sender is in the settings and has not been replaced.
    pub fn record_reply(&mut self, sent_at: Millis, now: Millis, heartbeat: &Heartbeat) -> bool {
        let Some(peer) = self.peers.get_mut(&heartbeat.entry) else {
            return false;
        };
        if !peer.apply_heartbeat(now, heartbeat) {
            return false;
        }
        peer.last_reply_at = peer.last_reply_at.max(Some(sent_at));
        if let Some(age) = heartbeat.confirmation_age {
            peer.record_confirmation(Confirmation {
                sent_at,
                age,
                applied: heartbeat.applied,
            });
        }
        true
    }

    /// Records a heartbeat that a peer sent by itself. It updates the peer's cells, but does not
    /// make the peer reachable, and its confirmation is not used, because the transmission time is
    /// not known. Returns whether the sender is in the settings and has not been replaced.
    pub fn record_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) -> bool {
        match self.peers.get_mut(&heartbeat.entry) {
            Some(peer) => peer.apply_heartbeat(now, heartbeat),
            None => false,
        }
    }

    /// Returns the connectivity of this entry. `confirmation_age` is the time since its
    /// configuration was confirmed; `None` if it never was.
    #[must_use]
    pub fn connectivity(&self, now: Millis, confirmation_age: Option<Millis>) -> Connectivity {
        if confirmation_age.is_some_and(|age| age < FRESHNESS_LIMIT) {
            Connectivity::Confirmed
        } else if self.has_majority(now) {
            Connectivity::MajorityReachable
        } else {
            Connectivity::Isolated
        }
    }

    /// Returns whether a majority of the entries in the settings, this one included, has been
    /// reachable within [`PEER_TIMEOUT`].
    #[must_use]
    pub fn has_majority(&self, now: Millis) -> bool {
        let reachable = self.peers.values().filter(|peer| peer.has_replied(now));
        let reachable = reachable.count() + 1;
        2 * reachable > self.peers.len() + 1
    }

    /// Returns whether a reachable entry, or this one, has been up for less than
    /// [`BATCH_RENEWAL_LIMIT`]: it may have replaced a process that still runs.
    #[must_use]
    pub fn has_recent_start(&self, now: Millis, own_uptime: Millis) -> bool {
        let reachable = self.peers.values().filter(|peer| peer.has_replied(now));
        let mut processes = reachable.filter_map(|peer| peer.process.as_ref());
        own_uptime < BATCH_RENEWAL_LIMIT
            || processes.any(|process| process.uptime < BATCH_RENEWAL_LIMIT)
    }

    /// Returns the entries that are alive as far as this one knows, in the order of their names:
    /// itself and those whose heartbeat or reply arrived within [`PEER_TIMEOUT`].
    #[must_use]
    pub fn alive_entries(&self, now: Millis) -> Vec<EntryName> {
        let others = self.peers.iter().filter(|(_, peer)| peer.is_alive(now));
        let mut alive: Vec<_> = others.map(|(name, _)| name.clone()).collect();
        alive.push(self.own.clone());
        alive.sort_unstable();
        alive
    }

    /// Returns whether this incarnation of an entry, which owns a cell, is alive as far as this
    /// entry knows.
    #[must_use]
    pub fn is_alive(&self, now: Millis, entry: &EntryName, incarnation: Incarnation) -> bool {
        let Some(peer) = self.peers.get(entry) else {
            return false;
        };
        let current = peer.process.as_ref().map(|process| process.incarnation);
        peer.is_alive(now) && current == Some(incarnation)
    }

    /// Returns the cells in the latest heartbeats of all peers, each with the state of the highest
    /// term.
    #[must_use]
    pub fn cells(&self) -> Vec<CellState> {
        let processes = self.peers.values().filter_map(|peer| peer.process.as_ref());
        let mut cells = BTreeMap::<&CellId, &CellState>::new();
        for state in processes.flat_map(|process| &process.cells) {
            let current = cells.entry(&state.cell).or_insert(state);
            if current.term < state.term {
                *current = state;
            }
        }
        cells.into_values().cloned().collect()
    }

    /// Returns the position of this entry, from 0, in the order in which the entries alive may
    /// become owner of a cell. The order is a rendezvous hash, so that the cells of a failed entry
    /// are distributed over the others.
    #[must_use]
    pub fn election_rank(&self, now: Millis, cell: &CellId) -> u32 {
        let own = (rendezvous_weight(&self.own, cell), &self.own);
        let others = self.peers.iter().filter(|(_, peer)| peer.is_alive(now));
        let preceding = others.filter(|(name, _)| (rendezvous_weight(name, cell), *name) > own);
        u32::try_from(preceding.count()).unwrap_or(u32::MAX)
    }

    /// Returns the latest confirmation of each peer that has stated one.
    #[must_use]
    pub fn confirmations(&self) -> SmallVec<[Confirmation; 4]> {
        self.peers
            .values()
            .filter_map(|peer| peer.confirmation)
            .collect()
    }
}

impl Peer {
    /// Applies a heartbeat or a reply. Returns `false` if its sender was replaced.
    fn apply_heartbeat(&mut self, now: Millis, heartbeat: &Heartbeat) -> bool {
        self.old_incarnations
            .retain(|(_, at)| now.since(*at) < OLD_INCARNATION_TTL);
        let mut old = self.old_incarnations.iter_mut();
        if let Some((_, at)) = old.find(|(incarnation, _)| *incarnation == heartbeat.incarnation) {
            // A replaced process that still runs is ignored as long as it sends heartbeats.
            *at = now;
            return false;
        }
        let current = self.process.as_ref();
        match current.map(|process| (process.incarnation, process.uptime)) {
            Some((incarnation, uptime)) if incarnation == heartbeat.incarnation => {
                // A lower uptime means that the heartbeat is older than the one applied last.
                if heartbeat.uptime >= uptime {
                    self.set_process(heartbeat);
                }
            }
            Some((incarnation, _)) => {
                self.replace_process(now, incarnation);
                self.set_process(heartbeat);
            }
            None => self.set_process(heartbeat),
        }
        self.last_message_at = self.last_message_at.max(Some(now));
        true
    }

    fn set_process(&mut self, heartbeat: &Heartbeat) {
        self.process = Some(PeerProcess {
            incarnation: heartbeat.incarnation,
            uptime: heartbeat.uptime,
            cells: heartbeat.cells.clone(),
        });
    }

    fn replace_process(&mut self, now: Millis, incarnation: Incarnation) {
        if self.old_incarnations.len() == MAX_OLD_INCARNATIONS {
            self.old_incarnations.remove(0);
        }
        self.old_incarnations.push((incarnation, now));
        // The new process has not replied yet.
        self.last_reply_at = None;
    }

    fn record_confirmation(&mut self, confirmation: Confirmation) {
        // The later confirmation is the one with the higher send time minus age.
        let is_later = |current: Confirmation| {
            confirmation.sent_at + current.age >= current.sent_at + confirmation.age
        };
        if self.confirmation.is_none_or(is_later) {
            self.confirmation = Some(confirmation);
        }
    }

    /// Returns whether the peer has replied to a heartbeat sent within [`PEER_TIMEOUT`].
    fn has_replied(&self, now: Millis) -> bool {
        self.last_reply_at
            .is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    /// Returns whether a heartbeat or a reply arrived within [`PEER_TIMEOUT`].
    fn is_alive(&self, now: Millis) -> bool {
        self.last_message_at
            .is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }
}

/// Returns the rendezvous weight of an entry for a cell.
fn rendezvous_weight(entry: &EntryName, cell: &CellId) -> u64 {
    xxh3_64(format!("{entry}\n{cell}").as_bytes())
}

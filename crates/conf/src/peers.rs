//! What the heartbeats of the other entries say.

use std::collections::BTreeMap;

use hyssop_core::limits::{BATCH_RENEWAL_LIMIT, FRESHNESS_LIMIT, PEER_TIMEOUT};
use hyssop_core::{
    CellId, CellState, Connectivity, EntryName, Heartbeat, Incarnation, Millis, Offset,
};
use smallvec::SmallVec;
use xxhash_rust::xxh3::xxh3_64;

/// Time for which the earlier lives of an entry are remembered after their last heartbeat.
const RETIRED_TTL: Millis = Millis(60_000);

/// Earlier lives that are remembered of one entry; the oldest is dropped first.
const RETIRED_LIMIT: usize = 16;

/// A peer's proof of freshness, to be passed to [`crate::ConfStore::prove_via`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Time at which this process sent the heartbeat that was answered with the proof.
    pub sent: Millis,
    /// Age of the proof as the peer stated it.
    pub age: Millis,
    /// Offset that the proof covers.
    pub applied: Offset,
}

/// The entries of the settings as this one knows them.
///
/// Only an answered heartbeat counts as *heard*, because it shows that both directions work, and
/// its time is the time of sending, so that an answer that was delayed does not count as recent.
#[derive(Clone, Debug)]
pub struct Peers {
    own: EntryName,
    peers: BTreeMap<EntryName, Peer>,
}

/// One other entry.
#[derive(Clone, Debug, Default)]
struct Peer {
    /// Send time of the latest heartbeat of this process that was answered.
    heard: Option<Millis>,
    /// Time of the latest heartbeat or answer.
    seen: Option<Millis>,
    life: Option<Life>,
    proof: Option<Proof>,
    retired: SmallVec<[(Incarnation, Millis); 2]>,
}

/// The current process of an entry.
#[derive(Clone, Debug)]
struct Life {
    incarnation: Incarnation,
    uptime: Millis,
    cells: SmallVec<[CellState; 4]>,
}

impl Peers {
    /// Creates the table of this entry, `own`, and the other entries of the settings.
    #[must_use]
    pub fn new(own: EntryName, entries: impl IntoIterator<Item = EntryName>) -> Self {
        let others = entries.into_iter().filter(|name| *name != own);
        let peers = others.map(|name| (name, Peer::default())).collect();
        Self { own, peers }
    }

    /// Notes that a heartbeat of this process, sent at `sent`, was answered. Returns whether it
    /// counts: the sender is in the settings and has not been replaced.
    pub fn heard(&mut self, sent: Millis, now: Millis, beat: &Heartbeat) -> bool {
        let Some(peer) = self.peers.get_mut(&beat.entry) else {
            return false;
        };
        if !peer.note(now, beat) {
            return false;
        }
        peer.heard = peer.heard.max(Some(sent));
        if let Some(age) = beat.confirmation_age {
            peer.note_proof(Proof {
                sent,
                age,
                applied: beat.applied,
            });
        }
        true
    }

    /// Notes a heartbeat that a peer sent. It tells of the peer's cells, but it does not count as
    /// heard, and its proof is not taken: the time that it was under way is not known. Returns
    /// whether the sender is in the settings and has not been replaced.
    pub fn received(&mut self, now: Millis, beat: &Heartbeat) -> bool {
        match self.peers.get_mut(&beat.entry) {
            Some(peer) => peer.note(now, beat),
            None => false,
        }
    }

    /// Returns the standing of this entry, given the age of its proof of freshness.
    #[must_use]
    pub fn standing(&self, now: Millis, proof_age: Option<Millis>) -> Connectivity {
        if proof_age.is_some_and(|age| age < FRESHNESS_LIMIT) {
            Connectivity::Confirmed
        } else if self.majority(now) {
            Connectivity::MajorityReachable
        } else {
            Connectivity::Isolated
        }
    }

    /// Tells whether a majority of the entries in the settings, this one included, was heard
    /// within [`PEER_TIMEOUT`].
    #[must_use]
    pub fn majority(&self, now: Millis) -> bool {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        let heard = heard.count() + 1;
        2 * heard > self.peers.len() + 1
    }

    /// Tells whether an entry that is heard, or this one, has been up for less than
    /// [`BLIND_LIMIT`]: it may have replaced a process that still runs.
    #[must_use]
    pub fn young(&self, now: Millis, own_uptime: Millis) -> bool {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        let mut lives = heard.filter_map(|peer| peer.life.as_ref());
        own_uptime < BATCH_RENEWAL_LIMIT || lives.any(|life| life.uptime < BATCH_RENEWAL_LIMIT)
    }

    /// Returns the entries that run as far as this one knows, itself included: those from which
    /// anything arrived within [`PEER_TIMEOUT`].
    #[must_use]
    pub fn alive(&self, now: Millis) -> Vec<EntryName> {
        let others = self.peers.iter().filter(|(_, peer)| peer.is_seen(now));
        let mut alive: Vec<_> = others.map(|(name, _)| name.clone()).collect();
        alive.push(self.own.clone());
        alive.sort_unstable();
        alive
    }

    /// Tells whether the process that owns a cell runs as far as this entry knows.
    #[must_use]
    pub fn is_alive(&self, now: Millis, entry: &EntryName, incarnation: Incarnation) -> bool {
        let Some(peer) = self.peers.get(entry) else {
            return false;
        };
        let life = peer.life.as_ref().map(|life| life.incarnation);
        peer.is_seen(now) && life == Some(incarnation)
    }

    /// Returns the cells that the peers' last heartbeats name, each with its highest term.
    #[must_use]
    pub fn cells(&self) -> Vec<CellState> {
        let lives = self.peers.values().filter_map(|peer| peer.life.as_ref());
        let mut cells = BTreeMap::<&CellId, &CellState>::new();
        for state in lives.flat_map(|life| &life.cells) {
            let known = cells.entry(&state.cell).or_insert(state);
            if known.term < state.term {
                *known = state;
            }
        }
        cells.into_values().cloned().collect()
    }

    /// Returns the position of this entry among those alive, in the order in which they may claim
    /// a cell: by rendezvous hash, so that the cells of a dead entry spread over the others.
    #[must_use]
    pub fn rank(&self, now: Millis, cell: &CellId) -> u32 {
        let own = (weight(&self.own, cell), &self.own);
        let others = self.peers.iter().filter(|(_, peer)| peer.is_seen(now));
        let before = others.filter(|(name, _)| (weight(name, cell), *name) > own);
        u32::try_from(before.count()).unwrap_or(u32::MAX)
    }

    /// Returns the latest proof of each peer.
    #[must_use]
    pub fn proofs(&self) -> SmallVec<[Proof; 4]> {
        self.peers.values().filter_map(|peer| peer.proof).collect()
    }
}

impl Peer {
    /// Takes what a heartbeat says of its sender. Returns `false` if the sender was replaced.
    fn note(&mut self, now: Millis, beat: &Heartbeat) -> bool {
        self.retired.retain(|(_, at)| now.since(*at) < RETIRED_TTL);
        let mut retired = self.retired.iter_mut();
        if let Some((_, at)) = retired.find(|(life, _)| *life == beat.incarnation) {
            // A replaced process that still runs is kept out for as long as it sends.
            *at = now;
            return false;
        }
        let known = self.life.as_ref();
        match known.map(|life| (life.incarnation, life.uptime)) {
            Some((life, uptime)) if life == beat.incarnation => {
                // The uptime orders the heartbeats of one process; an older one is late.
                if beat.uptime >= uptime {
                    self.take(beat);
                }
            }
            Some((life, _)) => {
                self.retire(now, life);
                self.take(beat);
            }
            None => self.take(beat),
        }
        self.seen = self.seen.max(Some(now));
        true
    }

    fn take(&mut self, beat: &Heartbeat) {
        self.life = Some(Life {
            incarnation: beat.incarnation,
            uptime: beat.uptime,
            cells: beat.cells.clone(),
        });
    }

    fn retire(&mut self, now: Millis, life: Incarnation) {
        if self.retired.len() == RETIRED_LIMIT {
            self.retired.remove(0);
        }
        self.retired.push((life, now));
        // The new process has not been heard yet.
        self.heard = None;
    }

    fn note_proof(&mut self, proof: Proof) {
        // The later proof is the one whose sending time less its age is higher.
        let later = |known: Proof| proof.sent + known.age >= known.sent + proof.age;
        if self.proof.is_none_or(later) {
            self.proof = Some(proof);
        }
    }

    fn is_heard(&self, now: Millis) -> bool {
        self.heard.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    fn is_seen(&self, now: Millis) -> bool {
        self.seen.is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }
}

/// Returns the rendezvous weight of an entry for a cell.
fn weight(entry: &EntryName, cell: &CellId) -> u64 {
    xxh3_64(format!("{entry}\n{cell}").as_bytes())
}

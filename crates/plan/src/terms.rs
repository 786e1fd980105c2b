//! Terms that peers and workers state and that the stream does not have yet, or not at all.
//!
//! An owner that hears of a higher term stops deciding and renewing at once. A valid term is the
//! offset of a claim that its owner has read back, so that any read of the stream which is sent
//! later shows it. A term that such a read does not show is false, and whoever stated it is not
//! believed again until it states the term in force.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::limits::PEER_TIMEOUT;
use hyssop_core::{CellState, EntryName, Millis, Reason, Subject, Term, WorkerName};

use crate::Cell;

/// A term, and the time since which its author states terms that are not known.
type Stated = (Term, Millis);

/// Terms above the one in force that were stated outside the stream.
#[derive(Debug, Default)]
pub(crate) struct Rumours {
    /// Terms of peers that no read has settled.
    peers: BTreeMap<EntryName, Stated>,
    /// Terms of workers that no read has settled.
    workers: BTreeMap<WorkerName, Stated>,
    /// Peers that stated a false one.
    denied: BTreeSet<EntryName>,
}

impl Rumours {
    /// Tells whether a stated term is not yet settled.
    pub(crate) fn is_open(&self) -> bool {
        !self.peers.is_empty() || !self.workers.is_empty()
    }

    /// Tells whether a peer's statement about the cell counts, and notes it if its term is not
    /// known.
    pub(crate) fn is_credible(
        &mut self,
        now: Millis,
        state: &CellState,
        known: Option<Term>,
    ) -> bool {
        if Some(state.term) == known {
            self.denied.remove(&state.owner);
            return true;
        }
        if self.denied.contains(&state.owner) {
            return false;
        }
        let stated = self.peers.entry(state.owner.clone());
        stated.or_insert((state.term, now)).0 = state.term;
        true
    }

    /// Returns since when the oldest unsettled term is stated.
    fn oldest(&self) -> Option<Millis> {
        let stated = self.peers.values().chain(self.workers.values());
        stated.map(|(_, at)| *at).min()
    }
}

impl Cell {
    /// Takes in a term that a worker states and that is not this owner's.
    pub(crate) fn alleged(&mut self, now: Millis, name: &WorkerName, term: Term) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.denied.is_some() {
            worker.denied = Some(term);
        } else if Some(term) > self.ledger.term {
            let stated = self.office.rumours.workers.entry(name.clone());
            stated.or_insert((term, now)).0 = term;
        }
    }

    /// Settles the stated terms by a read that was sent after them. Returns whether one has waited
    /// for such a read for too long.
    pub(crate) fn check_rumours(&mut self, now: Millis) -> bool {
        let Some(oldest) = self.office.rumours.oldest() else {
            return false;
        };
        // After a loss of records the term in force is not certain.
        let read = self.office.read.filter(|_| self.office.is_read());
        let Some(read) = read.filter(|read| *read >= oldest && !self.ledger.lost) else {
            return now.since(oldest) > PEER_TIMEOUT;
        };
        let known = self.ledger.term;
        let rumours = &mut self.office.rumours;
        let false_peers = rumours.peers.iter();
        let false_peers = false_peers.filter(|(_, (term, at))| *at <= read && Some(*term) > known);
        let false_peers: Vec<_> = false_peers.map(|(name, _)| name.clone()).collect();
        rumours.denied.extend(false_peers);
        rumours.peers.retain(|_, (_, at)| *at > read);
        let workers = std::mem::take(&mut rumours.workers).into_iter();
        let (workers, later): (BTreeMap<_, _>, _) = workers.partition(|(_, (_, at))| *at <= read);
        rumours.workers = later;
        for (name, (term, _)) in workers {
            if Some(term) > known {
                self.deny(now, &name, term);
            }
        }
        false
    }

    /// Takes a worker that states a false term for one that does not answer.
    fn deny(&mut self, now: Millis, name: &WorkerName, term: Term) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.denied = Some(term);
        }
        let reason = Reason::TermUnknown(name.clone(), term);
        let subject = Subject::Worker(name.clone());
        self.explains.add(now, subject, reason);
    }
}

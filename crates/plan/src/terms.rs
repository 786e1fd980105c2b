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
type Hint = (Term, Millis);

/// Terms above the one in force that were stated outside the stream.
#[derive(Debug, Default)]
pub(crate) struct TermHints {
    /// Terms of peers that no read has settled.
    peers: BTreeMap<EntryName, Hint>,
    /// Terms of workers that no read has settled.
    workers: BTreeMap<WorkerName, Hint>,
    /// Peers that stated a false one.
    rejected_peers: BTreeSet<EntryName>,
}

impl TermHints {
    /// Tells whether a stated term is not yet settled.
    pub(crate) fn has_pending(&self) -> bool {
        !self.peers.is_empty() || !self.workers.is_empty()
    }

    /// Tells whether a peer's statement about the cell counts, and notes it if its term is not
    /// known.
    pub(crate) fn check_peer(
        &mut self,
        now: Millis,
        state: &CellState,
        known: Option<Term>,
    ) -> bool {
        if Some(state.term) == known {
            self.rejected_peers.remove(&state.owner);
            return true;
        }
        if self.rejected_peers.contains(&state.owner) {
            return false;
        }
        let stated = self.peers.entry(state.owner.clone());
        stated.or_insert((state.term, now)).0 = state.term;
        true
    }

    /// Returns since when the oldest unsettled term is stated.
    fn oldest_hint_at(&self) -> Option<Millis> {
        let stated = self.peers.values().chain(self.workers.values());
        stated.map(|(_, at)| *at).min()
    }
}

impl Cell {
    /// Takes in a term that a worker states and that is not this owner's.
    pub(crate) fn record_worker_term(&mut self, now: Millis, name: &WorkerName, term: Term) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.rejected_term.is_some() {
            worker.rejected_term = Some(term);
        } else if Some(term) > self.ledger.term {
            let stated = self.ownership.term_hints.workers.entry(name.clone());
            stated.or_insert((term, now)).0 = term;
        }
    }

    /// Settles the stated terms by a read that was sent after them. Returns whether one has waited
    /// for such a read for too long.
    pub(crate) fn resolve_term_hints(&mut self, now: Millis) -> bool {
        let Some(oldest) = self.ownership.term_hints.oldest_hint_at() else {
            return false;
        };
        // After a loss of records the term in force is not certain.
        let read = self
            .ownership
            .head_read_at
            .filter(|_| self.ownership.is_caught_up());
        let Some(read) = read.filter(|read| *read >= oldest && !self.ledger.has_lost_records)
        else {
            return now.since(oldest) > PEER_TIMEOUT;
        };
        let known = self.ledger.term;
        let rumours = &mut self.ownership.term_hints;
        let false_peers = rumours.peers.iter();
        let false_peers = false_peers.filter(|(_, (term, at))| *at <= read && Some(*term) > known);
        let false_peers: Vec<_> = false_peers.map(|(name, _)| name.clone()).collect();
        rumours.rejected_peers.extend(false_peers);
        rumours.peers.retain(|_, (_, at)| *at > read);
        let workers = std::mem::take(&mut rumours.workers).into_iter();
        let (workers, later): (BTreeMap<_, _>, _) = workers.partition(|(_, (_, at))| *at <= read);
        rumours.workers = later;
        for (name, (term, _)) in workers {
            if Some(term) > known {
                self.reject_worker_term(now, &name, term);
            }
        }
        false
    }

    /// Takes a worker that states a false term for one that does not answer.
    fn reject_worker_term(&mut self, now: Millis, name: &WorkerName, term: Term) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.rejected_term = Some(term);
        }
        let reason = Reason::TermUnknown(name.clone(), term);
        let subject = Subject::Worker(name.clone());
        self.explanations.add(now, subject, reason);
    }
}

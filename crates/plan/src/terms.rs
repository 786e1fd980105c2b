//! Terms reported by peers and workers that are higher than the latest term in the stream.
//!
//! An owner that receives a report of a higher term stops deciding and renewing leases at once. A
//! valid term is the offset of a claim that its owner has read back, so that every read of the
//! stream which is sent later contains it. A term that is missing from such a read is false, and
//! further terms from its sender are ignored until it reports the term in force.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::limits::PEER_TIMEOUT;
use hyssop_core::{CellState, EntryName, Millis, Reason, Subject, Term, WorkerName};

use crate::Cell;

/// The term that a sender reported last, and the time of its first report that the stream did not
/// show.
type Hint = (Term, Millis);

/// Terms above the one in force that were reported outside the stream.
#[derive(Debug, Default)]
pub(crate) struct TermHints {
    /// Terms from peers that no read has confirmed or refuted yet.
    peers: BTreeMap<EntryName, Hint>,
    /// Terms from workers that no read has confirmed or refuted yet.
    workers: BTreeMap<WorkerName, Hint>,
    /// Peers that reported a false term and have not reported the term in force since.
    rejected_peers: BTreeSet<EntryName>,
}

impl TermHints {
    /// Returns whether a reported term is neither confirmed nor refuted yet.
    pub(crate) fn has_pending(&self) -> bool {
        !self.peers.is_empty() || !self.workers.is_empty()
    }

    /// Returns whether a peer's report about the cell counts, and stores it as a hint if its term
    /// is not the one in force.
    pub(crate) fn check_peer(
        &mut self,
        now: Millis,
        state: &CellState,
        known_term: Option<Term>,
    ) -> bool {
        if Some(state.term) == known_term {
            self.rejected_peers.remove(&state.owner);
            return true;
        }
        if self.rejected_peers.contains(&state.owner) {
            return false;
        }
        let hint = self.peers.entry(state.owner.clone());
        hint.or_insert((state.term, now)).0 = state.term;
        true
    }

    /// Returns the time of the first report of the oldest hint.
    fn oldest_hint_at(&self) -> Option<Millis> {
        let hints = self.peers.values().chain(self.workers.values());
        hints.map(|(_, at)| *at).min()
    }
}

impl Cell {
    /// Stores a term that a worker reports and that is not this owner's.
    pub(crate) fn record_worker_term(&mut self, now: Millis, name: &WorkerName, term: Term) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if worker.rejected_term.is_some() {
            worker.rejected_term = Some(term);
        } else if Some(term) > self.ledger.term {
            let hint = self.ownership.term_hints.workers.entry(name.clone());
            hint.or_insert((term, now)).0 = term;
        }
    }

    /// Confirms or refutes the reported terms by a read that was sent after them. Returns whether
    /// one of them has waited for such a read for longer than `PEER_TIMEOUT`.
    pub(crate) fn resolve_term_hints(&mut self, now: Millis) -> bool {
        let Some(oldest_at) = self.ownership.term_hints.oldest_hint_at() else {
            return false;
        };
        // After a loss of records the term in force is not certain.
        let read_at = self
            .ownership
            .head_read_at
            .filter(|_| self.ownership.is_caught_up());
        let Some(read_at) =
            read_at.filter(|read_at| *read_at >= oldest_at && !self.ledger.has_lost_records)
        else {
            return now.since(oldest_at) > PEER_TIMEOUT;
        };
        let known_term = self.ledger.term;
        let hints = &mut self.ownership.term_hints;
        let false_peers = hints.peers.iter();
        let false_peers =
            false_peers.filter(|(_, (term, at))| *at <= read_at && Some(*term) > known_term);
        let false_peers: Vec<_> = false_peers.map(|(name, _)| name.clone()).collect();
        hints.rejected_peers.extend(false_peers);
        hints.peers.retain(|_, (_, at)| *at > read_at);
        let workers = std::mem::take(&mut hints.workers).into_iter();
        let (resolved, later): (BTreeMap<_, _>, _) =
            workers.partition(|(_, (_, at))| *at <= read_at);
        hints.workers = later;
        for (name, (term, _)) in resolved {
            if Some(term) > known_term {
                self.reject_worker_term(now, &name, term);
            }
        }
        false
    }

    /// Treats a worker that reports a false term like one that does not respond.
    fn reject_worker_term(&mut self, now: Millis, name: &WorkerName, term: Term) {
        if let Some(worker) = self.workers.get_mut(name) {
            worker.rejected_term = Some(term);
        }
        let reason = Reason::TermUnknown(name.clone(), term);
        let subject = Subject::Worker(name.clone());
        self.explanations.add(now, subject, reason);
    }
}

//! Records that this process has submitted and its core has not read back.

use std::collections::BTreeMap;

use hyssop_core::{Offset, RecordId, Term};

use crate::Submission;

/// A submitted record, with its offset once it is settled.
#[derive(Debug)]
struct Waiting {
    submission: Submission,
    settled: Option<Offset>,
}

/// Submitted records by identifier.
///
/// The settler may find a record that expires from the log before the tail hands it out. The core
/// would wait for it for ever, so it is appended again; a second copy of an identifier has no
/// effect on those that have read the first.
#[derive(Debug, Default)]
pub struct UnreadRecords {
    records: BTreeMap<RecordId, Waiting>,
}

impl UnreadRecords {
    /// Notes a record that is submitted.
    pub fn insert(&mut self, submission: Submission) {
        let settled = None;
        let id = submission.id;
        let waiting = Waiting {
            submission,
            settled,
        };
        self.records.insert(id, waiting);
    }

    /// Notes that a record stands in the log.
    pub fn mark_committed(&mut self, id: RecordId, offset: Offset) {
        if let Some(waiting) = self.records.get_mut(&id) {
            waiting.settled = Some(offset);
        }
    }

    /// Forgets a record that was handed out or given up.
    pub fn remove(&mut self, id: RecordId) {
        self.records.remove(&id);
    }

    /// Forgets the records of a term.
    pub fn remove_term(&mut self, term: Term) {
        self.records.retain(|_, w| w.submission.term != term);
    }

    /// Returns the records that stood below the first offset still kept, to be submitted again.
    #[must_use]
    pub fn take_expired(&mut self, first: Offset) -> Vec<Submission> {
        let expired = |w: &&mut Waiting| w.settled.is_some_and(|at| at < first);
        let mut again = Vec::new();
        for waiting in self.records.values_mut().filter(expired) {
            waiting.settled = None;
            again.push(waiting.submission.clone());
        }
        again
    }
}

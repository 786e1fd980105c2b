//! Records that this process has submitted and the core has not yet read from the stream.

use std::collections::BTreeMap;

use hyssop_core::{Offset, RecordId, Term};

use crate::Submission;

/// A submitted record, with its offset once it is committed.
#[derive(Debug)]
struct UnreadRecord {
    submission: Submission,
    committed_offset: Option<Offset>,
}

/// Submitted records by identifier.
///
/// The commit tracker may find a record that the log drops before the tail returns it. The core
/// would wait for this record forever, so it is appended again. A second copy of an identifier has
/// no effect on readers of the first one.
#[derive(Debug, Default)]
pub struct UnreadRecords {
    records: BTreeMap<RecordId, UnreadRecord>,
}

impl UnreadRecords {
    /// Adds a submitted record that the core has not read.
    pub fn insert(&mut self, submission: Submission) {
        let committed_offset = None;
        let id = submission.id;
        let unread = UnreadRecord {
            submission,
            committed_offset,
        };
        self.records.insert(id, unread);
    }

    /// Records the offset of a committed record.
    pub fn mark_committed(&mut self, id: RecordId, offset: Offset) {
        if let Some(unread) = self.records.get_mut(&id) {
            unread.committed_offset = Some(offset);
        }
    }

    /// Removes a record that the tail has returned or that was given up.
    pub fn remove(&mut self, id: RecordId) {
        self.records.remove(&id);
    }

    /// Removes the records of a term that has ended.
    pub fn remove_term(&mut self, term: Term) {
        self.records
            .retain(|_, record| record.submission.term != term);
    }

    /// Returns the records committed below `first`, the first offset still retained, which have to
    /// be submitted again. They count as uncommitted until then.
    #[must_use]
    pub fn take_expired(&mut self, first: Offset) -> Vec<Submission> {
        let is_expired =
            |record: &&mut UnreadRecord| record.committed_offset.is_some_and(|at| at < first);
        let mut expired = Vec::new();
        for unread in self.records.values_mut().filter(is_expired) {
            unread.committed_offset = None;
            expired.push(unread.submission.clone());
        }
        expired
    }
}

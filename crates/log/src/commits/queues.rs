//! Records that are neither committed nor given up, in the order of submission.

use std::collections::{HashSet, VecDeque};

use hyssop_core::{Millis, Offset, RecordId, Term};

use super::messages::{AppendResult, GiveUpOutcome, Submission, TrackerOptions, TrackerOutput};

/// State of the latest append of a record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// Waits to be appended.
    Queued,
    /// Part of the append in flight.
    InFlight { batch_id: u64 },
    /// The log service replied that it appended the record at this offset; it is not yet read back.
    Acknowledged { offset: Offset },
    /// The outcome of the last append is unknown. Only reads with this or a higher identifier were
    /// sent after the append had ended and can show that the record is missing.
    Unconfirmed { min_read_id: u64 },
}

/// A submitted record with the state of its appends.
#[derive(Clone, Debug)]
pub(super) struct PendingRecord {
    pub(super) id: RecordId,
    pub(super) term: Term,
    pub(super) deadline: Option<Millis>,
    pub(super) state: State,
    text: String,
    /// Position in its append, added to the offset of the append's first record.
    position: u64,
    /// Whether an earlier append may have taken effect or may still do so.
    is_retried: bool,
    /// Whether the log service dropped offsets that were not read back and may have held a copy.
    has_unread_gap: bool,
}

impl PendingRecord {
    fn new(submission: Submission) -> Self {
        Self {
            id: submission.id,
            term: submission.term,
            deadline: submission.deadline,
            state: State::Queued,
            text: submission.text,
            position: 0,
            is_retried: false,
            has_unread_gap: false,
        }
    }

    pub(super) const fn is_queued(&self) -> bool {
        matches!(self.state, State::Queued)
    }

    /// Returns whether the end of the append in flight decides if the record is in the stream.
    pub(super) const fn awaits_first_append(&self) -> bool {
        matches!(self.state, State::InFlight { .. }) && !self.is_retried
    }

    pub(super) const fn is_unconfirmed(&self) -> bool {
        matches!(self.state, State::Unconfirmed { .. })
    }

    /// Returns whether a copy may be in the stream or may still be appended.
    pub(super) const fn may_be_in_stream(&self) -> bool {
        self.is_retried || !self.is_queued()
    }

    pub(super) const fn awaits_read(&self) -> bool {
        matches!(
            self.state,
            State::Unconfirmed { .. } | State::Acknowledged { .. }
        )
    }

    /// Notes that offsets were dropped before they were read back.
    pub(super) const fn mark_gap(&mut self) {
        self.has_unread_gap = self.has_unread_gap || self.may_be_in_stream();
    }

    pub(super) const fn end_attempt(&mut self, result: AppendResult, min_read_id: u64) {
        self.state = match result {
            AppendResult::Appended(first) => State::Acknowledged {
                offset: Offset(first.0 + self.position),
            },
            AppendResult::NotAppended => State::Queued,
            AppendResult::Unknown => State::Unconfirmed { min_read_id },
        };
        if !self.may_be_in_stream() {
            self.has_unread_gap = false;
        }
    }

    /// Reports a record of which a copy was read at `at`. If copies may have been dropped before
    /// they were read, this copy need not be the first one. The offset is then known only if the
    /// record was appended once and the append was acknowledged.
    pub(super) fn resolve_found(&self, at: Offset) -> TrackerOutput {
        let offset = match self.state {
            _ if !self.has_unread_gap => at,
            State::Acknowledged { offset } if !self.is_retried => offset.min(at),
            _ => return self.give_up(),
        };
        TrackerOutput::Committed {
            id: self.id,
            offset,
        }
    }

    /// Resolves a record that was not found below `cursor`, or returns `None` while it stays
    /// pending. `read_id` identifies the read that reached the head, if one did.
    pub(super) fn resolve_missing(
        &mut self,
        cursor: Offset,
        read_id: Option<u64>,
    ) -> Option<TrackerOutput> {
        match self.state {
            State::Acknowledged { offset } if cursor > offset => Some(self.resolve_expired(offset)),
            State::Unconfirmed { min_read_id }
                if read_id.is_some_and(|read| read >= min_read_id) =>
            {
                self.resolve_unconfirmed()
            }
            _ => None,
        }
    }

    /// Resolves an acknowledged record that was dropped before it could be read. Its offset is
    /// certain only if the record was appended once.
    fn resolve_expired(&self, offset: Offset) -> TrackerOutput {
        if self.has_unread_gap && !self.is_retried {
            let id = self.id;
            return TrackerOutput::Committed { id, offset };
        }
        self.give_up()
    }

    /// Queues a record that is missing up to the head, unless it may have been dropped before it
    /// was read.
    fn resolve_unconfirmed(&mut self) -> Option<TrackerOutput> {
        if self.has_unread_gap {
            return Some(self.give_up());
        }
        self.state = State::Queued;
        self.is_retried = true;
        None
    }

    pub(super) const fn give_up(&self) -> TrackerOutput {
        let outcome = if self.may_be_in_stream() {
            GiveUpOutcome::Unknown
        } else {
            GiveUpOutcome::NotAppended
        };
        let id = self.id;
        TrackerOutput::GivenUp { id, outcome }
    }
}

/// Pending records in the order of submission.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingQueue {
    records: VecDeque<PendingRecord>,
    ids: HashSet<RecordId>,
    /// Bytes of text of all records.
    bytes: usize,
}

impl PendingQueue {
    pub(super) fn len(&self) -> usize {
        self.records.len()
    }

    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn contains(&self, id: RecordId) -> bool {
        self.ids.contains(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &PendingRecord> {
        self.records.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut PendingRecord> {
        self.records.iter_mut()
    }

    pub(super) fn push(&mut self, submission: Submission) {
        self.ids.insert(submission.id);
        self.bytes += submission.text.len();
        self.records.push_back(PendingRecord::new(submission));
    }

    /// Removes the records for which `predicate` returns true.
    pub(super) fn remove_if(&mut self, mut predicate: impl FnMut(&mut PendingRecord) -> bool) {
        let Self {
            records,
            ids,
            bytes,
        } = self;
        records.retain_mut(|pending| {
            let is_removed = predicate(pending);
            if is_removed {
                ids.remove(&pending.id);
                *bytes -= pending.text.len();
            }
            !is_removed
        });
    }

    /// Marks the next queued records, up to the bounds of one append, as in flight and returns
    /// their texts.
    pub(super) fn take_batch(&mut self, batch_id: u64, options: &TrackerOptions) -> Vec<String> {
        let mut records = Vec::new();
        let mut bytes = 0;
        for pending in self.records.iter_mut().filter(|p| p.is_queued()) {
            bytes += pending.text.len();
            let is_full =
                records.len() >= options.max_batch_records || bytes > options.max_batch_bytes;
            if is_full && !records.is_empty() {
                break;
            }
            pending.position = records.len() as u64;
            pending.state = State::InFlight { batch_id };
            records.push(pending.text.clone());
        }
        records
    }
}

//! Records that wait for settlement, in order of submission.

use std::collections::{HashSet, VecDeque};

use hyssop_core::{Millis, Offset, RecordId, Term};

use super::messages::{AppendResult, GiveUpOutcome, Submission, TrackerOptions, TrackerOutput};

/// Progress of one record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum State {
    /// To be appended.
    Queued,
    /// Part of the append in flight.
    Flying { batch: u64 },
    /// The service said that it appended the record here; to be read back.
    Acked { offset: Offset },
    /// The outcome of the last try is unknown. Only a read with at least this number was sent
    /// after the try had ended and can prove that the record is missing.
    Doubtful { after: u64 },
}

/// One record.
#[derive(Clone, Debug)]
pub(super) struct Pending {
    pub(super) id: RecordId,
    pub(super) term: Term,
    pub(super) until: Option<Millis>,
    pub(super) state: State,
    text: String,
    /// Position in its append, added to the offset of the append's first record.
    place: u64,
    /// An earlier try may have taken effect or may still do so.
    repeated: bool,
    /// The service dropped offsets, unread, at which the record may have stood.
    lost: bool,
}

impl Pending {
    fn new(submission: Submission) -> Self {
        Self {
            id: submission.id,
            term: submission.term,
            until: submission.deadline,
            state: State::Queued,
            text: submission.text,
            place: 0,
            repeated: false,
            lost: false,
        }
    }

    pub(super) const fn is_queued(&self) -> bool {
        matches!(self.state, State::Queued)
    }

    pub(super) const fn is_in_doubt(&self) -> bool {
        matches!(self.state, State::Doubtful { .. })
    }

    /// Tells whether a copy may stand in the stream.
    pub(super) const fn is_tried(&self) -> bool {
        self.repeated || !self.is_queued()
    }

    pub(super) const fn awaits_read(&self) -> bool {
        matches!(self.state, State::Doubtful { .. } | State::Acked { .. })
    }

    pub(super) const fn note_loss(&mut self) {
        self.lost = self.lost || self.is_tried();
    }

    pub(super) const fn end_try(&mut self, result: AppendResult, after: u64) {
        self.state = match result {
            AppendResult::Appended(first) => State::Acked {
                offset: Offset(first.0 + self.place),
            },
            AppendResult::NotAppended => State::Queued,
            AppendResult::Unknown => State::Doubtful { after },
        };
        if !self.is_tried() {
            self.lost = false;
        }
    }

    /// Reports a record of which a copy was read at `at`. If copies may have been dropped unread,
    /// that copy need not be the first one, and only the answer to a single try tells the offset.
    pub(super) fn found(&self, at: Offset) -> TrackerOutput {
        let offset = match self.state {
            _ if !self.lost => at,
            State::Acked { offset } if !self.repeated => offset.min(at),
            _ => return self.give_up(),
        };
        TrackerOutput::Committed {
            id: self.id,
            offset,
        }
    }

    /// Returns the verdict on a record that was not found below `cursor`. `read` is the number of
    /// the read that reached the head, if one did.
    pub(super) fn judge(&mut self, cursor: Offset, read: Option<u64>) -> Option<TrackerOutput> {
        match self.state {
            State::Acked { offset } if cursor > offset => Some(self.judge_acked(offset)),
            State::Doubtful { after } if read.is_some_and(|read| read >= after) => {
                self.judge_doubtful()
            }
            _ => None,
        }
    }

    /// Judges a record that the service has taken but that was dropped before it could be read.
    fn judge_acked(&self, offset: Offset) -> TrackerOutput {
        if self.lost && !self.repeated {
            let id = self.id;
            return TrackerOutput::Committed { id, offset };
        }
        self.give_up()
    }

    /// Queues a record that is missing up to the head, unless it may have been dropped unread.
    fn judge_doubtful(&mut self) -> Option<TrackerOutput> {
        if self.lost {
            return Some(self.give_up());
        }
        self.state = State::Queued;
        self.repeated = true;
        None
    }

    pub(super) const fn give_up(&self) -> TrackerOutput {
        let outcome = if self.is_tried() {
            GiveUpOutcome::Unknown
        } else {
            GiveUpOutcome::NotAppended
        };
        let id = self.id;
        TrackerOutput::GivenUp { id, outcome }
    }
}

/// Waiting records in order of submission.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    items: VecDeque<Pending>,
    ids: HashSet<RecordId>,
    bytes: usize,
}

impl Queue {
    pub(super) fn len(&self) -> usize {
        self.items.len()
    }

    pub(super) const fn bytes(&self) -> usize {
        self.bytes
    }

    pub(super) fn contains(&self, id: RecordId) -> bool {
        self.ids.contains(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = &Pending> {
        self.items.iter()
    }

    pub(super) fn iter_mut(&mut self) -> impl Iterator<Item = &mut Pending> {
        self.items.iter_mut()
    }

    pub(super) fn push(&mut self, submission: Submission) {
        self.ids.insert(submission.id);
        self.bytes += submission.text.len();
        self.items.push_back(Pending::new(submission));
    }

    /// Removes the records for which `test` returns true.
    pub(super) fn remove_if(&mut self, mut test: impl FnMut(&mut Pending) -> bool) {
        let Self { items, ids, bytes } = self;
        items.retain_mut(|pending| {
            let removed = test(pending);
            if removed {
                ids.remove(&pending.id);
                *bytes -= pending.text.len();
            }
            !removed
        });
    }

    /// Marks the next queued records as in flight and returns their texts.
    pub(super) fn take_batch(&mut self, batch: u64, options: &TrackerOptions) -> Vec<String> {
        let mut records = Vec::new();
        let mut bytes = 0;
        for pending in self.items.iter_mut().filter(|p| p.is_queued()) {
            bytes += pending.text.len();
            let full = records.len() >= options.max_batch || bytes > options.max_batch_bytes;
            if full && !records.is_empty() {
                break;
            }
            pending.place = records.len() as u64;
            pending.state = State::Flying { batch };
            records.push(pending.text.clone());
        }
        records
    }
}

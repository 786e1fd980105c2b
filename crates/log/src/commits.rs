//! Appends records exactly once, as replay counts them, over a log whose answers may be lost.
//!
//! One settler serves one stream. A record counts as settled only when it has been read back,
//! because after a repeated append the first copy in the stream is the one that replay counts,
//! and only a read tells its offset. Records keep their order of submission: while the outcome
//! of one is in doubt, no later one is appended.

mod messages;
mod queues;

use std::collections::HashMap;

use hyssop_core::{Millis, Offset, RecordId, Term};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use messages::{
    AppendResult, GiveUpOutcome, ReadBack, Submission, TrackerInput, TrackerOptions, TrackerOutput,
    record_id,
};
use queues::{Pending, Queue, State};

/// Largest exponent of the backoff; the wait is bounded before it is reached.
const MAX_DOUBLINGS: u32 = 16;

/// Waits after failures, growing up to a bound, with jitter.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    failures: u32,
    until: Millis,
}

impl Backoff {
    fn fail(&mut self, now: Millis, options: &TrackerOptions, rng: &mut SmallRng) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let longest = (options.initial_backoff.0 << doublings).min(options.max_backoff.0);
        let wait = rng.random_range(longest / 2..=longest);
        self.failures = self.failures.saturating_add(1);
        self.until = now + Millis(wait);
    }

    fn succeed(&mut self) {
        *self = Self::default();
    }
}

/// Decides when to append records and when to append them again. Does no I/O.
#[derive(Clone, Debug)]
pub struct CommitTracker {
    options: TrackerOptions,
    rng: SmallRng,
    queue: Queue,
    /// All offsets below this have been seen.
    cursor: Offset,
    batches: u64,
    reads: u64,
    /// Number of the append in flight.
    batch: Option<u64>,
    /// Number of the read in flight.
    read: Option<u64>,
    next_append: Millis,
    append_backoff: Backoff,
    read_backoff: Backoff,
}

impl CommitTracker {
    /// Creates a settler for a stream that has been read up to `from`. The offset must not be
    /// above the head of the stream; a lower one only costs more reading.
    #[must_use]
    pub fn new(options: TrackerOptions, from: Offset, seed: u64) -> Self {
        Self {
            options,
            rng: SmallRng::seed_from_u64(seed),
            queue: Queue::default(),
            cursor: from,
            batches: 0,
            reads: 0,
            batch: None,
            read: None,
            next_append: Millis(0),
            append_backoff: Backoff::default(),
            read_backoff: Backoff::default(),
        }
    }

    /// Returns the number of records that wait.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.queue.len()
    }

    /// Tells whether a record waits.
    #[must_use]
    pub fn contains(&self, id: RecordId) -> bool {
        self.queue.contains(id)
    }

    /// Returns the first offset that has not been read back.
    #[must_use]
    pub const fn cursor(&self) -> Offset {
        self.cursor
    }

    /// Takes one record; equal to a tick with [`TrackerInput::Submit`].
    pub fn submit(&mut self, now: Millis, submission: Submission) -> Vec<TrackerOutput> {
        self.tick(now, [TrackerInput::Submit(submission)])
    }

    /// Takes inputs and returns what is due at `now`.
    pub fn tick(
        &mut self,
        now: Millis,
        inputs: impl IntoIterator<Item = TrackerInput>,
    ) -> Vec<TrackerOutput> {
        let mut out = Vec::new();
        for input in inputs {
            self.take(now, input, &mut out);
        }
        self.expire(now, &mut out);
        self.start_append(now, &mut out);
        self.start_read(now, &mut out);
        out
    }

    /// Returns the time at which the next tick has something to do without further input.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        let append = self.may_append().then(|| self.append_at());
        let read = self.wants_read().then_some(self.read_backoff.until);
        let expiry = self.queue.iter().filter_map(|p| p.until).min();
        [append, read, expiry].into_iter().flatten().min()
    }

    fn take(&mut self, now: Millis, input: TrackerInput, out: &mut Vec<TrackerOutput>) {
        match input {
            TrackerInput::Submit(submission) => self.enqueue(submission, out),
            TrackerInput::AppendEnded { batch_id, result } => self.on_append(now, batch_id, result),
            TrackerInput::ReadSucceeded(back) => self.end_read(now, &back, out),
            TrackerInput::ReadFailed { read_id } => self.fail_read(now, read_id),
            TrackerInput::Abandon { term } => self.abandon(term, out),
        }
    }

    fn enqueue(&mut self, submission: Submission, out: &mut Vec<TrackerOutput>) {
        if self.queue.contains(submission.id) {
            return;
        }
        let bytes = self.queue.bytes() + submission.text.len();
        let full =
            self.queue.len() >= self.options.max_pending || bytes > self.options.max_pending_bytes;
        if full {
            out.push(TrackerOutput::GivenUp {
                id: submission.id,
                outcome: GiveUpOutcome::QueueFull,
            });
            return;
        }
        self.queue.push(submission);
    }

    fn on_append(&mut self, now: Millis, batch: u64, result: AppendResult) {
        if self.batch != Some(batch) {
            return;
        }
        self.batch = None;
        let after = self.reads;
        let flying = State::Flying { batch };
        let pending = self.queue.iter_mut().filter(|p| p.state == flying);
        for pending in pending {
            pending.end_try(result, after);
        }
        if matches!(result, AppendResult::Appended(_)) {
            self.append_backoff.succeed();
        } else {
            self.append_backoff.fail(now, &self.options, &mut self.rng);
        }
    }

    fn end_read(&mut self, now: Millis, back: &ReadBack, out: &mut Vec<TrackerOutput>) {
        let own = back.read_id.is_some() && back.read_id == self.read;
        if own {
            self.read = None;
            self.read_backoff.succeed();
        }
        let leaves_gap = back.from > self.cursor;
        if leaves_gap && self.queue.iter().any(Pending::is_tried) {
            return;
        }
        if back.first > self.cursor {
            self.queue.iter_mut().for_each(Pending::note_loss);
        }
        self.settle_found(back, out);
        let behind = back.head < self.cursor;
        let advanced = back.upto > self.cursor;
        self.cursor = self.cursor.max(back.upto);
        if !behind {
            self.judge_missing(back, out);
        }
        // A service that answers without what it has acknowledged is not read in a tight loop.
        if own && !advanced && self.wants_read() {
            self.read_backoff.fail(now, &self.options, &mut self.rng);
        }
    }

    /// Reports the records that the read has found.
    fn settle_found(&mut self, back: &ReadBack, out: &mut Vec<TrackerOutput>) {
        let fresh = back.ids.iter().filter(|(at, _)| *at >= self.cursor);
        let mut found: HashMap<RecordId, Offset> = HashMap::new();
        for (offset, id) in fresh {
            if self.queue.contains(*id) {
                found.entry(*id).or_insert(*offset);
            }
        }
        if found.is_empty() {
            return;
        }
        self.queue.remove_if(|pending| {
            let output = found.get(&pending.id).map(|at| pending.found(*at));
            let decided = output.is_some();
            out.extend(output);
            decided
        });
    }

    /// Decides about tried records that the stream up to the cursor does not hold.
    fn judge_missing(&mut self, back: &ReadBack, out: &mut Vec<TrackerOutput>) {
        let at_head = self.cursor >= back.head;
        let read = back.read_id.filter(|_| at_head);
        let cursor = self.cursor;
        self.queue.remove_if(|pending| {
            let output = pending.judge(cursor, read);
            let decided = output.is_some();
            out.extend(output);
            decided
        });
    }

    fn fail_read(&mut self, now: Millis, read: u64) {
        if self.read == Some(read) {
            self.read = None;
            self.read_backoff.fail(now, &self.options, &mut self.rng);
        }
    }

    fn abandon(&mut self, term: Term, out: &mut Vec<TrackerOutput>) {
        self.queue.remove_if(|pending| {
            let abandoned = pending.term == term;
            if abandoned {
                out.push(pending.give_up());
            }
            abandoned
        });
    }

    fn expire(&mut self, now: Millis, out: &mut Vec<TrackerOutput>) {
        self.queue.remove_if(|pending| {
            let expired = pending.until.is_some_and(|until| until <= now);
            if expired {
                out.push(pending.give_up());
            }
            expired
        });
    }

    /// Tells whether there is something to append and nothing in doubt before it.
    fn may_append(&self) -> bool {
        let in_doubt = self.queue.iter().any(Pending::is_in_doubt);
        let queued = self.queue.iter().any(Pending::is_queued);
        self.batch.is_none() && queued && !in_doubt
    }

    fn append_at(&self) -> Millis {
        self.next_append.max(self.append_backoff.until)
    }

    fn start_append(&mut self, now: Millis, out: &mut Vec<TrackerOutput>) {
        if !self.may_append() || now < self.append_at() {
            return;
        }
        let batch_id = self.batches;
        let records = self.queue.take_batch(batch_id, &self.options);
        self.batches += 1;
        self.batch = Some(batch_id);
        self.next_append = now + self.options.append_interval;
        out.push(TrackerOutput::Append { batch_id, records });
    }

    fn wants_read(&self) -> bool {
        self.read.is_none() && self.queue.iter().any(Pending::awaits_read)
    }

    fn start_read(&mut self, now: Millis, out: &mut Vec<TrackerOutput>) {
        if !self.wants_read() || now < self.read_backoff.until {
            return;
        }
        let read_id = self.reads;
        self.reads += 1;
        self.read = Some(read_id);
        out.push(TrackerOutput::Read {
            read_id,
            from: self.cursor,
            max: self.options.max_read,
        });
    }
}

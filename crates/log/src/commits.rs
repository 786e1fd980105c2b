//! Appends each record so that replay applies it exactly once, although responses of the log may
//! be lost.
//!
//! There is one tracker per stream. A record is committed only when it has been read back: after a
//! repeated append, replay applies the first copy in the stream, and only a read shows the offset
//! of that copy. Records are appended in the order of submission: while the outcome of one append
//! is unknown, no later record is appended.

mod messages;
mod queues;

use std::collections::HashMap;

use hyssop_core::{Millis, Offset, RecordId, Term};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

pub use messages::{
    AppendResult, GiveUpOutcome, ReadResult, Submission, TrackerInput, TrackerOptions,
    TrackerOutput, record_id,
};
use queues::{PendingQueue, PendingRecord, State};

/// Largest exponent of the backoff. The delay reaches its maximum with fewer doublings.
const MAX_DOUBLINGS: u32 = 16;

/// Exponential backoff with a maximum delay and jitter.
#[derive(Clone, Copy, Debug, Default)]
struct Backoff {
    /// Failures since the last success.
    failures: u32,
    /// Time before which nothing is retried.
    retry_at: Millis,
}

impl Backoff {
    fn record_failure(&mut self, now: Millis, options: &TrackerOptions, rng: &mut SmallRng) {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        let max_delay = (options.initial_backoff.0 << doublings).min(options.max_backoff.0);
        let delay = rng.random_range(max_delay / 2..=max_delay);
        self.failures = self.failures.saturating_add(1);
        self.retry_at = now + Millis(delay);
    }

    fn reset(&mut self) {
        *self = Self::default();
    }
}

/// Decides when records are appended, read back and appended again. Does no I/O.
#[derive(Clone, Debug)]
pub struct CommitTracker {
    options: TrackerOptions,
    rng: SmallRng,
    queue: PendingQueue,
    /// All offsets below this one have been read back.
    cursor: Offset,
    next_batch_id: u64,
    next_read_id: u64,
    /// Identifier of the batch whose append is in flight.
    inflight_batch: Option<u64>,
    /// Identifier of the read in flight.
    inflight_read: Option<u64>,
    next_append_at: Millis,
    append_backoff: Backoff,
    read_backoff: Backoff,
}

impl CommitTracker {
    /// Creates a tracker for a stream that has been read up to `from`. The offset must not be
    /// above the head of the stream; a lower one only causes more reads. `seed` determines the
    /// jitter of the backoff.
    #[must_use]
    pub fn new(options: TrackerOptions, from: Offset, seed: u64) -> Self {
        Self {
            options,
            rng: SmallRng::seed_from_u64(seed),
            queue: PendingQueue::default(),
            cursor: from,
            next_batch_id: 0,
            next_read_id: 0,
            inflight_batch: None,
            inflight_read: None,
            next_append_at: Millis(0),
            append_backoff: Backoff::default(),
            read_backoff: Backoff::default(),
        }
    }

    /// Returns the number of records that are neither committed nor given up.
    #[must_use]
    pub fn pending_count(&self) -> usize {
        self.queue.len()
    }

    /// Returns whether a record is neither committed nor given up.
    #[must_use]
    pub fn contains(&self, id: RecordId) -> bool {
        self.queue.contains(id)
    }

    /// Returns the first offset that has not been read back.
    #[must_use]
    pub const fn cursor(&self) -> Offset {
        self.cursor
    }

    /// Submits one record. Equivalent to a tick with [`TrackerInput::Submit`].
    pub fn submit(&mut self, now: Millis, submission: Submission) -> Vec<TrackerOutput> {
        self.tick(now, [TrackerInput::Submit(submission)])
    }

    /// Handles inputs and returns the results and the requests that are due at `now`.
    pub fn tick(
        &mut self,
        now: Millis,
        inputs: impl IntoIterator<Item = TrackerInput>,
    ) -> Vec<TrackerOutput> {
        let mut out = Vec::new();
        for input in inputs {
            self.handle_input(now, input, &mut out);
        }
        self.expire_records(now, &mut out);
        self.start_append(now, &mut out);
        self.start_read(now, &mut out);
        out
    }

    /// Returns the time of the next tick that has something to do without further input, or `None`
    /// if only an input can cause it.
    #[must_use]
    pub fn wake_at(&self) -> Option<Millis> {
        let append = self.can_append().then(|| self.append_at());
        let read = self.needs_read().then_some(self.read_backoff.retry_at);
        let expirable = self.queue.iter().filter(|p| !p.awaits_first_append());
        let expiry = expirable.filter_map(|p| p.deadline).min();
        [append, read, expiry].into_iter().flatten().min()
    }

    fn handle_input(&mut self, now: Millis, input: TrackerInput, out: &mut Vec<TrackerOutput>) {
        match input {
            TrackerInput::Submit(submission) => self.enqueue(submission, out),
            TrackerInput::AppendEnded { batch_id, result } => self.on_append(now, batch_id, result),
            TrackerInput::ReadSucceeded(result) => self.on_read(now, &result, out),
            TrackerInput::ReadFailed { read_id } => self.on_read_failure(now, read_id),
            TrackerInput::GiveUp { term } => self.give_up_term(term, out),
        }
    }

    fn enqueue(&mut self, submission: Submission, out: &mut Vec<TrackerOutput>) {
        if self.queue.contains(submission.id) {
            return;
        }
        let bytes = self.queue.bytes() + submission.text.len();
        let is_full = self.queue.len() >= self.options.max_pending_records
            || bytes > self.options.max_pending_bytes;
        if is_full {
            out.push(TrackerOutput::GivenUp {
                id: submission.id,
                outcome: GiveUpOutcome::QueueFull,
            });
            return;
        }
        self.queue.push(submission);
    }

    fn on_append(&mut self, now: Millis, batch_id: u64, result: AppendResult) {
        if self.inflight_batch != Some(batch_id) {
            return;
        }
        self.inflight_batch = None;
        let min_read_id = self.next_read_id;
        let in_flight = State::InFlight { batch_id };
        let pending = self.queue.iter_mut().filter(|p| p.state == in_flight);
        for pending in pending {
            pending.end_attempt(result, min_read_id);
        }
        if matches!(result, AppendResult::Appended(_)) {
            self.append_backoff.reset();
        } else {
            self.append_backoff
                .record_failure(now, &self.options, &mut self.rng);
        }
    }

    fn on_read(&mut self, now: Millis, result: &ReadResult, out: &mut Vec<TrackerOutput>) {
        let is_own = result.read_id.is_some() && result.read_id == self.inflight_read;
        if is_own {
            self.inflight_read = None;
            self.read_backoff.reset();
        }
        let has_gap = result.from > self.cursor;
        if has_gap && self.queue.iter().any(PendingRecord::may_be_in_stream) {
            return;
        }
        if result.first > self.cursor {
            self.queue.iter_mut().for_each(PendingRecord::mark_gap);
        }
        self.commit_found(result, out);
        let is_stale = result.head < self.cursor;
        let has_advanced = result.upto > self.cursor;
        self.cursor = self.cursor.max(result.upto);
        if !is_stale {
            self.resolve_missing(result, out);
        }
        // Avoids a tight loop of reads if the service replies without records that it has
        // acknowledged.
        if is_own && !has_advanced && self.needs_read() {
            self.read_backoff
                .record_failure(now, &self.options, &mut self.rng);
        }
    }

    /// Reports and removes the records that the read has found.
    fn commit_found(&mut self, result: &ReadResult, out: &mut Vec<TrackerOutput>) {
        let unread = result.ids.iter().filter(|(at, _)| *at >= self.cursor);
        let mut found: HashMap<RecordId, Offset> = HashMap::new();
        for (offset, id) in unread {
            if self.queue.contains(*id) {
                found.entry(*id).or_insert(*offset);
            }
        }
        if found.is_empty() {
            return;
        }
        self.queue.remove_if(|pending| {
            let output = found.get(&pending.id).map(|at| pending.resolve_found(*at));
            let is_resolved = output.is_some();
            out.extend(output);
            is_resolved
        });
    }

    /// Resolves attempted records that are not in the stream below the cursor.
    fn resolve_missing(&mut self, result: &ReadResult, out: &mut Vec<TrackerOutput>) {
        let is_at_head = self.cursor >= result.head;
        let read_id = result.read_id.filter(|_| is_at_head);
        let cursor = self.cursor;
        self.queue.remove_if(|pending| {
            let output = pending.resolve_missing(cursor, read_id);
            let is_resolved = output.is_some();
            out.extend(output);
            is_resolved
        });
    }

    fn on_read_failure(&mut self, now: Millis, read_id: u64) {
        if self.inflight_read == Some(read_id) {
            self.inflight_read = None;
            self.read_backoff
                .record_failure(now, &self.options, &mut self.rng);
        }
    }

    fn give_up_term(&mut self, term: Term, out: &mut Vec<TrackerOutput>) {
        self.queue.remove_if(|pending| {
            let is_of_term = pending.term == term;
            if is_of_term {
                out.push(pending.give_up());
            }
            is_of_term
        });
    }

    fn expire_records(&mut self, now: Millis, out: &mut Vec<TrackerOutput>) {
        self.queue.remove_if(|pending| {
            let has_passed = pending.deadline.is_some_and(|deadline| deadline <= now);
            let is_expired = has_passed && !pending.awaits_first_append();
            if is_expired {
                out.push(pending.give_up());
            }
            is_expired
        });
    }

    /// Returns whether a record is queued, no append is in flight and no outcome is unknown.
    fn can_append(&self) -> bool {
        let has_unconfirmed = self.queue.iter().any(PendingRecord::is_unconfirmed);
        let has_queued = self.queue.iter().any(PendingRecord::is_queued);
        self.inflight_batch.is_none() && has_queued && !has_unconfirmed
    }

    fn append_at(&self) -> Millis {
        self.next_append_at.max(self.append_backoff.retry_at)
    }

    fn start_append(&mut self, now: Millis, out: &mut Vec<TrackerOutput>) {
        if !self.can_append() || now < self.append_at() {
            return;
        }
        let batch_id = self.next_batch_id;
        let records = self.queue.take_batch(batch_id, &self.options);
        self.next_batch_id += 1;
        self.inflight_batch = Some(batch_id);
        self.next_append_at = now + self.options.append_interval;
        out.push(TrackerOutput::Append { batch_id, records });
    }

    fn needs_read(&self) -> bool {
        self.inflight_read.is_none() && self.queue.iter().any(PendingRecord::awaits_read)
    }

    fn start_read(&mut self, now: Millis, out: &mut Vec<TrackerOutput>) {
        if !self.needs_read() || now < self.read_backoff.retry_at {
            return;
        }
        let read_id = self.next_read_id;
        self.next_read_id += 1;
        self.inflight_read = Some(read_id);
        out.push(TrackerOutput::Read {
            read_id,
            from: self.cursor,
            max: self.options.max_read_records,
        });
    }
}

//! Driver of the configuration in a simulated entry: tail of the stream, commits of changes, and
//! snapshots.

use std::collections::BTreeMap;

use hyssop_conf::{ApplyOutcome, ConfStore};
use hyssop_core::limits::{CONF_POLL_INTERVAL, CONF_STREAM};
use hyssop_core::{ConfRecord, EntryName, Envelope, Millis, Offset, ReadReply, RecordId, Term};
use hyssop_log::{
    AppendResult, CommitTracker, ReadResult, Submission, Tail, TailEvent, TailOptions,
    TrackerInput, TrackerOptions, TrackerOutput,
};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use super::entries::{Entry, ExchangeError, ExchangeResult, PendingKind};
use super::nodes::{Body, Node};

/// Timeout of a request to the log.
pub(crate) const LOG_TIMEOUT_MS: u64 = 1_000;

/// An entry's configuration store with the reads and appends of its stream.
#[derive(Debug)]
pub(crate) struct ConfDriver {
    pub(crate) store: ConfStore,
    writer: EntryName,
    tail: Tail<ConfRecord>,
    tracker: CommitTracker,
    inputs: Vec<TrackerInput>,
    is_reading: bool,
    last_read_at: Option<Millis>,
    /// Whether the last read ended before the head of the stream.
    is_behind: bool,
    rng: SmallRng,
    /// Outcome of each applied record, by identifier.
    pub(crate) outcomes: BTreeMap<RecordId, ApplyOutcome>,
    last_snapshot_at: Option<Millis>,
    retention: Millis,
}

impl ConfDriver {
    pub(crate) fn new(writer: EntryName, seed: u64, retention: Millis) -> Self {
        Self {
            store: ConfStore::new(),
            writer,
            tail: Tail::new(TailOptions::default()),
            tracker: CommitTracker::new(TrackerOptions::default(), Offset(0), seed),
            inputs: Vec::new(),
            is_reading: false,
            last_read_at: None,
            is_behind: true,
            rng: SmallRng::seed_from_u64(seed),
            outcomes: BTreeMap::new(),
            last_snapshot_at: None,
            retention,
        }
    }

    /// Submits a change and returns the identifier of its record.
    pub(crate) fn submit(&mut self, body: ConfRecord) -> RecordId {
        let high = u128::from(self.rng.next_u64()) << 64;
        let id = RecordId(high | u128::from(self.rng.next_u64()));
        let envelope = Envelope {
            id,
            writer: self.writer.clone(),
            term: Term(0),
            body,
        };
        let text = serde_json::to_string(&envelope).expect("a record is JSON");
        let submission = Submission::new(id, Term(0), text);
        self.inputs.push(TrackerInput::Submit(submission));
        id
    }

    pub(crate) fn handle_append(&mut self, batch_id: u64, result: &ExchangeResult) {
        self.inputs.push(TrackerInput::AppendEnded {
            batch_id,
            result: append_result(result),
        });
    }

    pub(crate) fn handle_read(
        &mut self,
        now: Millis,
        sent: Millis,
        read_id: Option<u64>,
        from: Offset,
        result: ExchangeResult,
    ) {
        if read_id.is_none() {
            self.is_reading = false;
        }
        let Ok(Body::Records(reply)) = result else {
            if let Some(read_id) = read_id {
                self.inputs.push(TrackerInput::ReadFailed { read_id });
            }
            return;
        };
        let read_back = ReadResult::new(read_id, from, &reply);
        self.inputs.push(TrackerInput::ReadSucceeded(read_back));
        if read_id.is_none() && from == self.tail.next_request().from {
            self.apply_read(now, sent, &reply);
        }
    }

    fn apply_read(&mut self, now: Millis, sent: Millis, reply: &ReadReply) {
        let progress = self.tail.apply(reply, |entry| match &entry.envelope.body {
            ConfRecord::Snapshot { upto, .. } => Some(*upto),
            _ => None,
        });
        for event in progress.events {
            self.apply_event(now, event);
        }
        self.is_behind = !progress.is_at_head;
        if progress.is_at_head {
            self.store.confirm_by_read(sent, reply.head);
        }
    }

    fn apply_event(&mut self, now: Millis, event: TailEvent<ConfRecord>) {
        match event {
            TailEvent::Start => {}
            TailEvent::Snapshot { entry, upto } => {
                if !self.store.restore(entry.offset, &entry.envelope)
                    && self.store.next_offset() < upto
                {
                    self.tail.reject_snapshot(entry.offset);
                }
            }
            TailEvent::NoSnapshot { first, .. } => self.store.skip_to(first),
            TailEvent::Record(entry) => {
                let (offset, envelope) = (entry.offset, entry.envelope);
                if offset > self.store.next_offset() {
                    // The tail drops duplicate records, so their offsets are skipped.
                    while self.store.next_offset() < offset {
                        let next = self.store.next_offset();
                        self.store.skip_record(next);
                    }
                }
                if matches!(envelope.body, ConfRecord::Snapshot { .. }) {
                    self.last_snapshot_at = Some(now);
                }
                let applied = self.store.apply(offset, &envelope);
                self.outcomes.entry(envelope.id).or_insert(applied);
                if self.store.next_offset() <= offset {
                    let next = self.store.next_offset();
                    self.tail = Tail::resume(TailOptions::default(), next);
                }
            }
            TailEvent::Malformed { offset, .. } => self.store.skip_record(offset),
        }
    }

    /// Writes a snapshot when one is due. Only the first of the live entries, given by `is_first`,
    /// writes it.
    fn write_snapshot(&mut self, now: Millis, is_first: bool) {
        let since = *self.last_snapshot_at.get_or_insert(now);
        let is_old = now.since(since).0 >= self.retention.0 / 4;
        let is_needed = self.store.needs_snapshot() && self.store.has_state();
        let has_waited = now.since(since).0 >= 2_000;
        if is_first && !self.is_behind && (is_old || is_needed && has_waited) {
            self.last_snapshot_at = Some(now);
            let body = self.store.snapshot(Offset(u64::MAX));
            self.submit(body);
        }
    }
}

/// Converts the result of an exchange with the log to the result of an append.
pub(crate) fn append_result(result: &ExchangeResult) -> AppendResult {
    match result {
        Ok(Body::Appended(offset)) => AppendResult::Appended(*offset),
        Err(ExchangeError::Refused) => AppendResult::NotAppended,
        _ => AppendResult::Unknown,
    }
}

impl Entry {
    pub(crate) fn drive_conf(&mut self, now: Millis) {
        let is_first = self.peers.alive_entries(now).first() == Some(&self.name);
        self.conf.write_snapshot(now, is_first);
        let due = self
            .conf
            .last_read_at
            .is_none_or(|at| now.since(at) >= CONF_POLL_INTERVAL);
        if !self.conf.is_reading && (due || self.conf.is_behind) {
            self.conf.is_reading = true;
            self.conf.last_read_at = Some(now);
            let from = self.conf.tail.next_request().from;
            self.read(now, CONF_STREAM, from, PendingKind::ConfRead(None, from));
        }
        let inputs = std::mem::take(&mut self.conf.inputs);
        for output in self.conf.tracker.tick(now, inputs) {
            match output {
                TrackerOutput::Append { batch_id, records } => {
                    let body = Body::Append(CONF_STREAM.to_owned(), records);
                    self.send_request(
                        now,
                        Node::Log,
                        body,
                        LOG_TIMEOUT_MS,
                        PendingKind::ConfAppend(batch_id),
                    );
                }
                TrackerOutput::Read { read_id, from, .. } => {
                    self.read(
                        now,
                        CONF_STREAM,
                        from,
                        PendingKind::ConfRead(Some(read_id), from),
                    );
                }
                TrackerOutput::Committed { .. } | TrackerOutput::GivenUp { .. } => {}
            }
        }
    }

    pub(crate) fn read(&mut self, now: Millis, stream: &str, from: Offset, kind: PendingKind) {
        let body = Body::Read(stream.to_owned(), from);
        self.send_request(now, Node::Log, body, LOG_TIMEOUT_MS, kind);
    }
}

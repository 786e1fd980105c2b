//! Driver of the configuration in an entry: tail, settlement of changes, and snapshots.

use std::collections::BTreeMap;

use hyssop_conf::{Applied, ConfStore};
use hyssop_core::limits::{CONF_POLL_INTERVAL, CONF_STREAM};
use hyssop_core::{ConfRecord, EntryName, Envelope, Millis, Offset, ReadReply, RecordId, Term};
use hyssop_log::{
    AppendResult, ReadBack, Settler, SettlerInput, SettlerOptions, SettlerOutput, Submission, Tail,
    TailEvent, TailOptions,
};
use rand::rngs::SmallRng;
use rand::{RngCore, SeedableRng};

use super::entries::{End, Entry, Failed, Kind};
use super::nodes::{Body, Node};

/// Time limit of a request to the log.
pub(crate) const LOG_LIMIT: u64 = 1_000;

/// Configuration of an entry.
#[derive(Debug)]
pub(crate) struct ConfDriver {
    pub(crate) store: ConfStore,
    writer: EntryName,
    tail: Tail<ConfRecord>,
    settler: Settler,
    inputs: Vec<SettlerInput>,
    reading: bool,
    read_at: Option<Millis>,
    /// Whether the last read left records unread.
    behind: bool,
    rng: SmallRng,
    /// Decisions on the records of this process, by identifier.
    pub(crate) decided: BTreeMap<RecordId, Applied>,
    snapshot: Option<Millis>,
    retention: Millis,
}

impl ConfDriver {
    pub(crate) fn new(writer: EntryName, seed: u64, retention: Millis) -> Self {
        Self {
            store: ConfStore::new(),
            writer,
            tail: Tail::new(TailOptions::default()),
            settler: Settler::new(SettlerOptions::default(), Offset(0), seed),
            inputs: Vec::new(),
            reading: false,
            read_at: None,
            behind: true,
            rng: SmallRng::seed_from_u64(seed),
            decided: BTreeMap::new(),
            snapshot: None,
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
        self.inputs.push(SettlerInput::Submit(submission));
        id
    }

    pub(crate) fn appended(&mut self, batch: u64, end: &End) {
        self.inputs.push(SettlerInput::Appended {
            batch,
            result: append_result(end),
        });
    }

    pub(crate) fn read_back(
        &mut self,
        now: Millis,
        sent: Millis,
        read: Option<u64>,
        from: Offset,
        end: End,
    ) {
        if read.is_none() {
            self.reading = false;
        }
        let Ok(Body::Records(reply)) = end else {
            if let Some(read) = read {
                self.inputs.push(SettlerInput::ReadFailed { read });
            }
            return;
        };
        let back = ReadBack::new(read, from, &reply);
        self.inputs.push(SettlerInput::Read(back));
        if read.is_none() && from == self.tail.request().from {
            self.follow(now, sent, &reply);
        }
    }

    fn follow(&mut self, now: Millis, sent: Millis, reply: &ReadReply) {
        let progress = self.tail.apply(reply, |entry| match &entry.envelope.body {
            ConfRecord::Snapshot { upto, .. } => Some(*upto),
            _ => None,
        });
        for event in progress.events {
            self.take(now, event);
        }
        self.behind = !progress.at_head;
        if progress.at_head {
            self.store.prove(sent, reply.head);
        }
    }

    fn take(&mut self, now: Millis, event: TailEvent<ConfRecord>) {
        match event {
            TailEvent::Start => {}
            TailEvent::Snapshot { entry, upto } => {
                if !self.store.restore(entry.offset, &entry.envelope) && self.store.next() < upto {
                    self.tail.reject(entry.offset);
                }
            }
            TailEvent::NoSnapshot { first, .. } => self.store.skip(first),
            TailEvent::Record(entry) => {
                let (offset, envelope) = (entry.offset, entry.envelope);
                if offset > self.store.next() {
                    // The tail drops second copies of an identifier.
                    while self.store.next() < offset {
                        let next = self.store.next();
                        self.store.pass(next);
                    }
                }
                if matches!(envelope.body, ConfRecord::Snapshot { .. }) {
                    self.snapshot = Some(now);
                }
                let applied = self.store.apply(offset, &envelope);
                self.decided.entry(envelope.id).or_insert(applied);
                if self.store.next() <= offset {
                    let next = self.store.next();
                    self.tail = Tail::resume(TailOptions::default(), next);
                }
            }
            TailEvent::Malformed { offset, .. } => self.store.pass(offset),
        }
    }

    /// Writes a snapshot when one is due. `first` tells whether this entry is the first of those
    /// alive.
    fn write_snapshot(&mut self, now: Millis, first: bool) {
        let since = *self.snapshot.get_or_insert(now);
        let old = now.since(since).0 >= self.retention.0 / 4;
        let owed = self.store.owes_snapshot() && self.store.holds_state();
        let waited = now.since(since).0 >= 2_000;
        if first && !self.behind && (old || owed && waited) {
            self.snapshot = Some(now);
            let body = self.store.snapshot(Offset(u64::MAX));
            self.submit(body);
        }
    }
}

/// Returns what an exchange says of an append.
pub(crate) fn append_result(end: &End) -> AppendResult {
    match end {
        Ok(Body::Appended(offset)) => AppendResult::Appended(*offset),
        Err(Failed::Refused) => AppendResult::NotAppended,
        _ => AppendResult::Unknown,
    }
}

impl Entry {
    pub(crate) fn drive_conf(&mut self, now: Millis) {
        let first = self.peers.alive(now).first() == Some(&self.name);
        self.conf.write_snapshot(now, first);
        let due = self
            .conf
            .read_at
            .is_none_or(|at| now.since(at) >= CONF_POLL_INTERVAL);
        if !self.conf.reading && (due || self.conf.behind) {
            self.conf.reading = true;
            self.conf.read_at = Some(now);
            let from = self.conf.tail.request().from;
            self.read(now, CONF_STREAM, from, Kind::ConfRead(None, from));
        }
        let inputs = std::mem::take(&mut self.conf.inputs);
        for output in self.conf.settler.tick(now, inputs) {
            match output {
                SettlerOutput::Append { batch, records } => {
                    let body = Body::Append(CONF_STREAM.to_owned(), records);
                    self.ask(now, Node::Log, body, LOG_LIMIT, Kind::ConfAppend(batch));
                }
                SettlerOutput::Read { read, from, .. } => {
                    self.read(now, CONF_STREAM, from, Kind::ConfRead(Some(read), from));
                }
                SettlerOutput::Settled { .. } | SettlerOutput::GivenUp { .. } => {}
            }
        }
    }

    pub(crate) fn read(&mut self, now: Millis, stream: &str, from: Offset, kind: Kind) {
        let body = Body::Read(stream.to_owned(), from);
        self.ask(now, Node::Log, body, LOG_LIMIT, kind);
    }
}

//! Driver of the configuration: reads the stream, proves it fresh and writes changes.

use std::collections::HashMap;
use std::sync::Arc;

use hyssop_conf::ApplyOutcome;
use hyssop_core::limits::{CONF_POLL_INTERVAL, CONF_STREAM};
use hyssop_core::{
    CellId, ConfRecord, ConfView, DomainName, Envelope, Millis, Offset, RecordId, Term,
};
use hyssop_log::{GiveUpOutcome, LogClient, LogEntry, Submission, TailEvent};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::{mpsc, oneshot};
use tokio::time::{MissedTickBehavior, interval};
use xxhash_rust::xxh3::xxh3_64;

use super::drains;
use super::shared::Shared;
use super::snapshots::{SNAPSHOT_LIMIT, Snapshots};
use super::streams::{LogEvent, Stream, TICK, Tailed};

/// A change of the configuration that an operator asks for.
#[derive(Debug)]
pub(crate) struct Write {
    /// Identifier of its record.
    pub(crate) id: RecordId,
    /// Change.
    pub(crate) change: ConfRecord,
    /// Time at which it is given up.
    pub(crate) until: Millis,
    /// Takes what became of it.
    pub(crate) reply: oneshot::Sender<Written>,
}

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// It was read back, and the store decided about it.
    Decided(ApplyOutcome),
    /// It is not in the stream and will not be.
    Refused,
    /// It may be in the stream.
    Unknown,
}

/// The driver.
pub(crate) struct ConfDriver {
    shared: Arc<Shared>,
    stream: Stream<ConfRecord>,
    ended: mpsc::UnboundedReceiver<LogEvent>,
    writes: mpsc::Receiver<Write>,
    waiters: HashMap<RecordId, oneshot::Sender<Written>>,
    snapshots: Snapshots,
    /// Whether the head of the stream was reached once.
    reached: bool,
    rng: StdRng,
    /// Stands for the stream in the order of the entries that write its snapshots.
    rank: Option<CellId>,
    published: Arc<ConfView>,
}

impl ConfDriver {
    /// Creates the driver.
    pub(crate) fn new(
        shared: Arc<Shared>,
        client: LogClient,
        writes: mpsc::Receiver<Write>,
        retention: Millis,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let name = CONF_STREAM.to_owned();
        let (stream, ended) = Stream::new(name, client, CONF_POLL_INTERVAL, rng.random());
        Self {
            shared,
            stream,
            ended,
            writes,
            waiters: HashMap::new(),
            snapshots: Snapshots::new(retention),
            reached: false,
            rng,
            rank: DomainName::new(CONF_STREAM)
                .ok()
                .map(|name| CellId::new(name, 0)),
            published: Arc::default(),
        }
    }

    /// Runs until the entry ends.
    pub(crate) async fn run(mut self) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = self.ended.recv() => self.take(event),
                Some(write) = self.writes.recv() => self.write(write),
                _ = tick.tick() => {}
            }
            let now = self.shared.now();
            self.write_snapshot(now);
            self.stream.pump(now, true);
            self.answer_given_up();
            self.waiters.retain(|_, waiter| !waiter.is_closed());
            self.publish(now);
            self.measure(now);
        }
    }

    fn take(&mut self, event: LogEvent) {
        let now = self.shared.now();
        if let Some(tailed) = self.stream.take(now, event, covers) {
            self.apply(now, tailed);
        }
    }

    fn apply(&mut self, now: Millis, tailed: Tailed<ConfRecord>) {
        for event in tailed.events {
            match event {
                TailEvent::Start => {}
                TailEvent::Snapshot { entry, .. } => {
                    if !self
                        .shared
                        .fleet()
                        .conf
                        .restore(entry.offset, &entry.envelope)
                    {
                        self.stream.reject(entry.offset);
                        return;
                    }
                    self.snapshots.note(None, entry.offset, entry.envelope.id);
                }
                TailEvent::NoSnapshot { first, .. } => {
                    log::warn!("configuration records below offset {first} are no longer kept");
                    self.shared.fleet().conf.skip_to(first);
                }
                TailEvent::Record(entry) => self.apply_record(now, &entry),
                TailEvent::Malformed { offset, cause } => {
                    log::warn!("configuration record {offset} is not readable: {cause}");
                    self.shared.fleet().conf.skip_record(offset);
                }
            }
        }
        let next = self.shared.fleet().conf.next_offset();
        if self.stream.is_following() && next != self.stream.next() {
            // A snapshot covered a gap, or the store knew more than the snapshot found.
            self.stream.resume(next);
        } else if tailed.at_head {
            self.reached = true;
            self.shared
                .fleet()
                .conf
                .confirm_by_read(tailed.sent, tailed.head);
        }
    }

    fn apply_record(&mut self, now: Millis, entry: &LogEntry<ConfRecord>) {
        let envelope = &entry.envelope;
        let applied = self.shared.fleet().conf.apply(entry.offset, envelope);
        if matches!(envelope.body, ConfRecord::Snapshot { .. }) {
            let at = self.reached.then_some(now);
            self.snapshots.note(at, entry.offset, envelope.id);
        }
        let whole = self.shared.fleet().conf.is_complete();
        let written = match whole {
            true => Written::Decided(applied),
            false => Written::Unknown,
        };
        self.answer(envelope.id, written);
    }

    fn write(&mut self, write: Write) {
        let now = self.shared.now();
        // Submitted only once the waiter is there, since a full queue is reported at once.
        self.waiters.insert(write.id, write.reply);
        self.submit(now, write.id, write.change, write.until);
    }

    fn submit(&mut self, now: Millis, id: RecordId, body: ConfRecord, until: Millis) {
        let envelope = Envelope {
            id,
            writer: self.shared.name.clone(),
            term: Term(0),
            body,
        };
        match serde_json::to_string(&envelope) {
            Ok(text) => {
                let submission = Submission::new(id, Term(0), text).with_deadline(until);
                self.stream.submit(now, submission);
            }
            Err(e) => {
                log::error!("configuration record not encoded: {e}");
                self.answer(id, Written::Refused);
            }
        }
    }

    /// Answers the operator who waits for a record, if there is one.
    fn answer(&mut self, id: RecordId, written: Written) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // The operator may have gone away.
            let _gone = waiter.send(written);
        }
    }

    fn answer_given_up(&mut self) {
        for (id, outcome) in self.stream.given_up() {
            self.snapshots.drop_pending(id);
            let written = match outcome {
                GiveUpOutcome::QueueFull | GiveUpOutcome::NotAppended => Written::Refused,
                GiveUpOutcome::Unknown => Written::Unknown,
            };
            self.answer(id, written);
        }
    }

    fn write_snapshot(&mut self, now: Millis) {
        let body = {
            let fleet = self.shared.fleet();
            let rank = self.rank.as_ref();
            let rank = rank.map(|stream| fleet.peers.election_rank(now, stream));
            if !self
                .snapshots
                .is_due(now, &fleet.conf, rank.unwrap_or_default())
            {
                return;
            }
            fleet.conf.snapshot(fleet.conf.next_offset())
        };
        let id = RecordId(self.rng.random());
        self.snapshots.submitted(now, id);
        self.submit(now, id, body, now + SNAPSHOT_LIMIT);
    }

    fn measure(&mut self, now: Millis) {
        let metrics = &self.shared.metrics;
        if let Some(age) = self.shared.fleet().conf.confirmation_age(now) {
            metrics.set_confirmation_age(age);
        }
        metrics.set_ready(self.shared.obstacle().is_none());
        metrics.set_snapshot_age(CONF_STREAM, self.snapshots.age(now));
        self.snapshots.alarm(now);
    }

    /// Tells the agents of the domains whose state has changed.
    fn publish(&mut self, now: Millis) {
        let mut fleet = self.shared.fleet();
        if Arc::ptr_eq(&self.published, fleet.conf.view()) {
            return;
        }
        self.published = Arc::clone(fleet.conf.view());
        let changed = fleet.note_domains(now);
        drop(fleet);
        for (domain, version, state) in changed {
            drains::announce(&self.shared, &domain, version, state);
        }
    }
}

/// Returns the first offset that a snapshot does not cover, if its contents are undamaged.
fn covers(entry: &LogEntry<ConfRecord>) -> Option<Offset> {
    match &entry.envelope.body {
        ConfRecord::Snapshot { upto, hash, state } => {
            (xxh3_64(state.as_bytes()) == *hash).then_some(*upto)
        }
        _ => None,
    }
}

//! Configuration driver: reads the configuration stream, confirms that the view is fresh, and
//! appends changes and snapshots.

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
use super::snapshots::{SNAPSHOT_TIMEOUT, SnapshotSchedule};
use super::streams::{LogEvent, Stream, TICK_INTERVAL, TailUpdate};

/// A change of the configuration that a caller has requested.
#[derive(Debug)]
pub(crate) struct ConfWrite {
    /// Identifier of the record that carries the change.
    pub(crate) id: RecordId,
    /// Record body to append.
    pub(crate) change: ConfRecord,
    /// Time after which the append is given up if it is not committed.
    pub(crate) deadline: Millis,
    /// Receives the outcome.
    pub(crate) reply: oneshot::Sender<WriteOutcome>,
}

/// Outcome of a requested change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The record was read back and applied to the store.
    Decided(ApplyOutcome),
    /// The record is not in the stream and will not be appended.
    Refused,
    /// The record may be in the stream.
    Unknown,
}

/// Task that reads and writes the configuration stream.
pub(crate) struct ConfDriver {
    shared: Arc<Shared>,
    stream: Stream<ConfRecord>,
    log_events: mpsc::UnboundedReceiver<LogEvent>,
    writes: mpsc::Receiver<ConfWrite>,
    waiters: HashMap<RecordId, oneshot::Sender<WriteOutcome>>,
    snapshots: SnapshotSchedule,
    /// Whether the head of the stream has been reached since the start.
    has_reached_head: bool,
    rng: StdRng,
    /// Key under which the entries are ranked for writing snapshots of this stream.
    rank_key: Option<CellId>,
    /// View whose domain states have been announced to the agents.
    announced_view: Arc<ConfView>,
}

impl ConfDriver {
    /// Creates the driver. `retention` is the time for which the log keeps records.
    pub(crate) fn new(
        shared: Arc<Shared>,
        client: LogClient,
        writes: mpsc::Receiver<ConfWrite>,
        retention: Millis,
        seed: u64,
    ) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let name = CONF_STREAM.to_owned();
        let (stream, log_events) = Stream::new(name, client, CONF_POLL_INTERVAL, rng.random());
        Self {
            shared,
            stream,
            log_events,
            writes,
            waiters: HashMap::new(),
            snapshots: SnapshotSchedule::new(retention),
            has_reached_head: false,
            rng,
            rank_key: DomainName::new(CONF_STREAM)
                .ok()
                .map(|name| CellId::new(name, 0)),
            announced_view: Arc::default(),
        }
    }

    /// Runs until the task is aborted.
    pub(crate) async fn run(mut self) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(event) = self.log_events.recv() => self.handle_log_event(event),
                Some(write) = self.writes.recv() => self.append_change(write),
                _ = tick.tick() => {}
            }
            let now = self.shared.now();
            self.write_snapshot(now);
            self.stream.advance(now, true);
            self.report_given_up();
            self.waiters.retain(|_, waiter| !waiter.is_closed());
            self.announce_domains(now);
            self.update_metrics(now);
        }
    }

    fn handle_log_event(&mut self, event: LogEvent) {
        let now = self.shared.now();
        if let Some(update) = self.stream.handle_event(now, event, snapshot_end) {
            self.apply(now, update);
        }
    }

    fn apply(&mut self, now: Millis, update: TailUpdate<ConfRecord>) {
        for event in update.events {
            match event {
                TailEvent::Start => {}
                TailEvent::Snapshot { entry, .. } => {
                    if !self
                        .shared
                        .fleet()
                        .conf
                        .restore(entry.offset, &entry.envelope)
                    {
                        self.stream.reject_snapshot(entry.offset);
                        return;
                    }
                    self.snapshots
                        .record_snapshot(None, entry.offset, entry.envelope.id);
                }
                TailEvent::NoSnapshot { first, .. } => {
                    log::warn!(
                        "no snapshot found; configuration records below offset {first} have expired"
                    );
                    self.shared.fleet().conf.skip_to(first);
                }
                TailEvent::Record(entry) => self.apply_record(now, &entry),
                TailEvent::Malformed { offset, cause } => {
                    log::warn!("malformed configuration record at offset {offset}: {cause}");
                    self.shared.fleet().conf.skip_record(offset);
                }
            }
        }
        let next = self.shared.fleet().conf.next_offset();
        if self.stream.is_following() && next != self.stream.next_offset() {
            // The snapshot covers a gap, or the store has already applied records beyond it.
            self.stream.resume_at(next);
        } else if update.is_at_head {
            self.has_reached_head = true;
            self.shared
                .fleet()
                .conf
                .confirm_by_read(update.sent_at, update.head_offset);
        }
    }

    fn apply_record(&mut self, now: Millis, entry: &LogEntry<ConfRecord>) {
        let envelope = &entry.envelope;
        let applied = self.shared.fleet().conf.apply(entry.offset, envelope);
        if matches!(envelope.body, ConfRecord::Snapshot { .. }) {
            let seen_at = self.has_reached_head.then_some(now);
            self.snapshots
                .record_snapshot(seen_at, entry.offset, envelope.id);
        }
        let is_complete = self.shared.fleet().conf.is_complete();
        let outcome = match is_complete {
            true => WriteOutcome::Decided(applied),
            false => WriteOutcome::Unknown,
        };
        self.send_outcome(envelope.id, outcome);
    }

    fn append_change(&mut self, write: ConfWrite) {
        let now = self.shared.now();
        // The waiter is inserted before the submission, since a full queue is reported at once.
        self.waiters.insert(write.id, write.reply);
        self.submit(now, write.id, write.change, write.deadline);
    }

    fn submit(&mut self, now: Millis, id: RecordId, body: ConfRecord, deadline: Millis) {
        let envelope = Envelope {
            id,
            writer: self.shared.name.clone(),
            term: Term(0),
            body,
        };
        match serde_json::to_string(&envelope) {
            Ok(text) => {
                let submission = Submission::new(id, Term(0), text).with_deadline(deadline);
                self.stream.submit(now, submission);
            }
            Err(e) => {
                log::error!("cannot encode a configuration record: {e}");
                self.send_outcome(id, WriteOutcome::Refused);
            }
        }
    }

    /// Sends the outcome of a record to its waiter, if there is one.
    fn send_outcome(&mut self, id: RecordId, outcome: WriteOutcome) {
        if let Some(waiter) = self.waiters.remove(&id) {
            // The waiter may have been dropped.
            let _closed = waiter.send(outcome);
        }
    }

    fn report_given_up(&mut self) {
        for (id, outcome) in self.stream.take_given_up() {
            self.snapshots.clear_pending(id);
            let outcome = match outcome {
                GiveUpOutcome::QueueFull | GiveUpOutcome::NotAppended => WriteOutcome::Refused,
                GiveUpOutcome::Unknown => WriteOutcome::Unknown,
            };
            self.send_outcome(id, outcome);
        }
    }

    fn write_snapshot(&mut self, now: Millis) {
        let body = {
            let fleet = self.shared.fleet();
            let rank = self.rank_key.as_ref();
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
        self.snapshots.record_submission(now, id);
        self.submit(now, id, body, now + SNAPSHOT_TIMEOUT);
    }

    fn update_metrics(&mut self, now: Millis) {
        let metrics = &self.shared.metrics;
        if let Some(age) = self.shared.fleet().conf.confirmation_age(now) {
            metrics.set_confirmation_age(age);
        }
        metrics.set_ready(self.shared.unready_reason().is_none());
        metrics.set_snapshot_age(CONF_STREAM, self.snapshots.age(now));
        self.snapshots.warn_if_stale(now);
    }

    /// Announces domains whose state has changed to their agents.
    fn announce_domains(&mut self, now: Millis) {
        let view = {
            let mut guard = self.shared.fleet();
            let fleet = &mut *guard;
            if Arc::ptr_eq(&self.announced_view, fleet.conf.view()) {
                return;
            }
            fleet.domains.update(now, fleet.conf.view());
            Arc::clone(fleet.conf.view())
        };
        for (domain, &(version, state)) in &view.domains {
            let announced = self.announced_view.domains.get(domain);
            if announced.is_none_or(|(announced, _)| *announced < version) {
                drains::announce(&self.shared, domain, version, state);
            }
        }
        self.announced_view = view;
    }
}

/// Returns the offset after the last record that a snapshot covers; `None` for other records and
/// for a snapshot whose hash does not match.
fn snapshot_end(entry: &LogEntry<ConfRecord>) -> Option<Offset> {
    match &entry.envelope.body {
        ConfRecord::Snapshot { upto, hash, state } => {
            (xxh3_64(state.as_bytes()) == *hash).then_some(*upto)
        }
        _ => None,
    }
}

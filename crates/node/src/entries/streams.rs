//! Reads and appends of one stream of the log, carried out beside the core that uses them.

use std::time::Duration;

use hyssop_core::{Millis, Offset, ReadReply, RecordId};
use hyssop_log::{
    AppendResult, CommitTracker, GiveUpOutcome, LogClient, LogEntry, ReadBack, Submission, Tail,
    TailEvent, TailOptions, TailProgress, TailRequest, TrackerInput, TrackerOptions, TrackerOutput,
    UnreadRecords,
};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// Wait after a failed read of the stream. Reads during an outage are few, so that the log is not
/// held down when it comes back.
const READ_BACKOFF: Millis = Millis(250);

/// End of an exchange with the log.
#[derive(Debug)]
pub(crate) enum LogEvent {
    /// A read of the tail ended.
    Tailed {
        /// Time at which it was sent.
        sent: Millis,
        /// What was asked for.
        request: TailRequest,
        /// Reply.
        result: hyssop_log::Result<ReadReply>,
    },
    /// An append or a read of the settler ended.
    Settler(TrackerInput),
}

/// What a read of the tail brought.
#[derive(Debug)]
pub(crate) struct Tailed<T> {
    /// Time at which the read was sent.
    pub(crate) sent: Millis,
    /// First offset still kept.
    pub(crate) first: Offset,
    /// Offset after the last record of the stream.
    pub(crate) head: Offset,
    /// What was found, in order.
    pub(crate) events: Vec<TailEvent<T>>,
    /// Whether all records below the head have been handed out.
    pub(crate) at_head: bool,
}

/// A record that is no longer tried.
pub(crate) type GivenUp = (RecordId, GiveUpOutcome);

/// Tail and settler of one stream with their exchanges in flight.
pub(crate) struct Stream<T> {
    name: String,
    client: LogClient,
    wait: Millis,
    tail: Tail<T>,
    settler: CommitTracker,
    events: mpsc::UnboundedSender<LogEvent>,
    reading: bool,
    retry: Millis,
    given: Vec<GivenUp>,
    unread: UnreadRecords,
}

impl<T: DeserializeOwned> Stream<T> {
    /// Creates a stream that is read from its newest snapshot on; a read at the head waits up to
    /// `wait` for a record. Returns it with the channel on which its exchanges end.
    pub(crate) fn new(
        name: String,
        client: LogClient,
        wait: Millis,
        seed: u64,
    ) -> (Self, mpsc::UnboundedReceiver<LogEvent>) {
        let (events, ended) = mpsc::unbounded_channel();
        let stream = Self {
            name,
            client,
            wait,
            tail: Tail::new(Self::tail_options()),
            settler: CommitTracker::new(TrackerOptions::default(), Offset(0), seed),
            events,
            reading: false,
            retry: Millis(0),
            given: Vec::new(),
            unread: UnreadRecords::default(),
        };
        (stream, ended)
    }

    /// Repeated records are left to the cores, which would miss their offsets otherwise.
    fn tail_options() -> TailOptions {
        TailOptions::default().with_dedup_window(0)
    }

    /// Returns the first offset that has not been handed out.
    pub(crate) const fn next(&self) -> Offset {
        self.tail.next_offset()
    }

    /// Tells whether records are handed out, and no snapshot is being searched for.
    pub(crate) const fn is_following(&self) -> bool {
        self.tail.is_following()
    }

    /// Searches for a snapshot below one that is not valid.
    pub(crate) fn reject(&mut self, snapshot: Offset) {
        self.tail.reject_snapshot(snapshot);
    }

    /// Continues at an offset below which the core holds the state.
    pub(crate) fn resume(&mut self, next: Offset) {
        self.tail = Tail::resume(Self::tail_options(), next);
    }

    /// Submits a record.
    pub(crate) fn submit(&mut self, now: Millis, submission: Submission) {
        self.unread.insert(submission.clone());
        self.settle(now, [TrackerInput::Submit(submission)]);
    }

    /// Drops the records of a term.
    pub(crate) fn abandon(&mut self, now: Millis, term: hyssop_core::Term) {
        self.unread.remove_term(term);
        self.settle(now, [TrackerInput::Abandon { term }]);
    }

    /// Returns the records given up since the last call.
    pub(crate) fn given_up(&mut self) -> Vec<GivenUp> {
        std::mem::take(&mut self.given)
    }

    /// Starts what is due. Called on each tick of the driver. Nothing is read ahead unless `watch`
    /// is set; reading goes on later from where it ended.
    pub(crate) fn pump(&mut self, now: Millis, watch: bool) {
        if self.settler.wake_at().is_some_and(|at| at <= now) {
            self.settle(now, []);
        }
        if watch && !self.reading && now >= self.retry {
            self.reading = true;
            self.spawn_tail(now);
        }
    }

    /// Takes the end of an exchange. `covers` returns the first offset that a snapshot record
    /// does not cover if it is valid by itself.
    pub(crate) fn take(
        &mut self,
        now: Millis,
        event: LogEvent,
        covers: impl Fn(&LogEntry<T>) -> Option<Offset>,
    ) -> Option<Tailed<T>> {
        let (sent, request, result) = match event {
            LogEvent::Settler(input) => {
                self.settle(now, [input]);
                return None;
            }
            LogEvent::Tailed {
                sent,
                request,
                result,
            } => (sent, request, result),
        };
        self.reading = false;
        let reply = match result {
            Ok(reply) => reply,
            Err(e) => {
                log::debug!(stream = self.name.as_str(); "read failed: {e}");
                self.retry = now + READ_BACKOFF;
                return None;
            }
        };
        let back = ReadBack::new(None, request.from, &reply);
        self.settle(now, [TrackerInput::ReadSucceeded(back)]);
        let TailProgress {
            events,
            is_at_head: at_head,
        } = self.tail.apply(&reply, covers);
        for event in &events {
            if let TailEvent::Record(entry) | TailEvent::Snapshot { entry, .. } = event {
                self.unread.remove(entry.envelope.id);
            }
        }
        let again = self.unread.take_expired(reply.first);
        self.settle(now, again.into_iter().map(TrackerInput::Submit));
        Some(Tailed {
            sent,
            first: reply.first,
            head: reply.head,
            events,
            at_head,
        })
    }

    fn settle(&mut self, now: Millis, inputs: impl IntoIterator<Item = TrackerInput>) {
        for output in self.settler.tick(now, inputs) {
            match output {
                TrackerOutput::Append { batch_id, records } => self.spawn_append(batch_id, records),
                TrackerOutput::Read { read_id, from, max } => self.spawn_read(read_id, from, max),
                // The tail hands the record out as well, with its contents.
                TrackerOutput::Committed { id, offset } => self.unread.mark_committed(id, offset),
                TrackerOutput::GivenUp { id, outcome } => {
                    self.unread.remove(id);
                    self.given.push((id, outcome));
                }
            }
        }
    }

    fn spawn_tail(&self, sent: Millis) {
        let request = self.tail.next_request();
        let wait = if request.can_wait {
            self.wait
        } else {
            Millis(0)
        };
        let (client, events, name) = self.parts();
        tokio::spawn(async move {
            let result = client.read(&name, request.from, request.max, wait).await;
            // A closed channel means that the driver has ended.
            let _ended = events.send(LogEvent::Tailed {
                sent,
                request,
                result,
            });
        });
    }

    fn spawn_append(&self, batch_id: u64, records: Vec<String>) {
        let (client, events, name) = self.parts();
        tokio::spawn(async move {
            let result = client.append(&name, &records).await;
            if let Err(e) = &result {
                log::debug!(stream = name.as_str(); "append failed: {e}");
            }
            let result = AppendResult::from(&result);
            let _ended = events.send(LogEvent::Settler(TrackerInput::AppendEnded {
                batch_id,
                result,
            }));
        });
    }

    fn spawn_read(&self, read_id: u64, from: Offset, max: u32) {
        let (client, events, name) = self.parts();
        tokio::spawn(async move {
            let input = match client.read(&name, from, max, Millis(0)).await {
                Ok(reply) => {
                    TrackerInput::ReadSucceeded(ReadBack::new(Some(read_id), from, &reply))
                }
                Err(_) => TrackerInput::ReadFailed { read_id },
            };
            let _ended = events.send(LogEvent::Settler(input));
        });
    }

    fn parts(&self) -> (LogClient, mpsc::UnboundedSender<LogEvent>, String) {
        let name = self.name.clone();
        (self.client.clone(), self.events.clone(), name)
    }
}

/// Interval at which the drivers tick without events.
pub(crate) const TICK: Duration = Duration::from_millis(50);

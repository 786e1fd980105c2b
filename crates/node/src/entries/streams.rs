//! Reads and appends records of one log stream in background tasks.

use std::time::Duration;

use hyssop_core::{Millis, Offset, ReadReply, RecordId};
use hyssop_log::{
    AppendResult, CommitTracker, GiveUpOutcome, LogClient, LogEntry, ReadBack, Submission, Tail,
    TailEvent, TailOptions, TailProgress, TailRequest, TrackerInput, TrackerOptions, TrackerOutput,
    UnreadRecords,
};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

/// Delay after a failed read of the stream. It limits the reads during an outage, so that they do
/// not overload the log when it recovers.
const READ_BACKOFF: Millis = Millis(250);

/// End of a request to the log.
#[derive(Debug)]
pub(crate) enum LogEvent {
    /// A read for the tail ended.
    TailRead {
        /// Time at which the read was sent.
        sent_at: Millis,
        /// Request of the tail that led to the read.
        request: TailRequest,
        /// Reply of the log, or the error.
        result: hyssop_log::Result<ReadReply>,
    },
    /// An append or a read for the commit tracker ended.
    Tracker(TrackerInput),
}

/// Records from one read for the tail.
#[derive(Debug)]
pub(crate) struct TailUpdate<T> {
    /// Time at which the read was sent.
    pub(crate) sent_at: Millis,
    /// First offset that the log still keeps.
    pub(crate) first_offset: Offset,
    /// Offset after the last record of the stream.
    pub(crate) head_offset: Offset,
    /// Records and other events, in order of their offsets.
    pub(crate) events: Vec<TailEvent<T>>,
    /// Whether all records below the head have been returned.
    pub(crate) is_at_head: bool,
}

/// A record whose append was given up.
pub(crate) type GivenUp = (RecordId, GiveUpOutcome);

/// Tail and commit tracker of one stream, with their requests in flight.
pub(crate) struct Stream<T> {
    name: String,
    client: LogClient,
    max_wait: Millis,
    tail: Tail<T>,
    tracker: CommitTracker,
    event_sender: mpsc::UnboundedSender<LogEvent>,
    is_reading: bool,
    retry_at: Millis,
    given_up: Vec<GivenUp>,
    unread: UnreadRecords,
}

impl<T: DeserializeOwned> Stream<T> {
    /// Creates a stream that is read from its newest snapshot on. A read at the head waits up to
    /// `max_wait` for a record. Returns the stream with the receiver of its events, which the caller
    /// passes to [`Stream::handle_event`].
    pub(crate) fn new(
        name: String,
        client: LogClient,
        max_wait: Millis,
        seed: u64,
    ) -> (Self, mpsc::UnboundedReceiver<LogEvent>) {
        let (event_sender, event_receiver) = mpsc::unbounded_channel();
        let stream = Self {
            name,
            client,
            max_wait,
            tail: Tail::new(Self::tail_options()),
            tracker: CommitTracker::new(TrackerOptions::default(), Offset(0), seed),
            event_sender,
            is_reading: false,
            retry_at: Millis(0),
            given_up: Vec::new(),
            unread: UnreadRecords::default(),
        };
        (stream, event_receiver)
    }

    /// Returns options without deduplication: the cores detect repeated records themselves, and
    /// need the offset of every record.
    fn tail_options() -> TailOptions {
        TailOptions::default().with_dedup_window(0)
    }

    /// Returns the offset after the last record that was returned.
    pub(crate) const fn next_offset(&self) -> Offset {
        self.tail.next_offset()
    }

    /// Returns whether the tail returns records, as opposed to searching for a snapshot.
    pub(crate) const fn is_following(&self) -> bool {
        self.tail.is_following()
    }

    /// Rejects the snapshot at an offset; the tail then searches for an earlier one.
    pub(crate) fn reject_snapshot(&mut self, snapshot: Offset) {
        self.tail.reject_snapshot(snapshot);
    }

    /// Continues reading at an offset, up to which the core has the state.
    pub(crate) fn resume_at(&mut self, next: Offset) {
        self.tail = Tail::resume(Self::tail_options(), next);
    }

    /// Submits a record for appending. It is appended again until committed, given up, or abandoned.
    pub(crate) fn submit(&mut self, now: Millis, submission: Submission) {
        self.unread.insert(submission.clone());
        self.run_tracker(now, [TrackerInput::Submit(submission)]);
    }

    /// Stops appending the submitted records of a term.
    pub(crate) fn abandon_term(&mut self, now: Millis, term: hyssop_core::Term) {
        self.unread.remove_term(term);
        self.run_tracker(now, [TrackerInput::Abandon { term }]);
    }

    /// Removes and returns the records given up since the last call.
    pub(crate) fn take_given_up(&mut self) -> Vec<GivenUp> {
        std::mem::take(&mut self.given_up)
    }

    /// Starts the requests that are due. The driver calls this on each tick. Without `should_read`
    /// the tail pauses, and continues later from where it ended.
    pub(crate) fn advance(&mut self, now: Millis, should_read: bool) {
        if self.tracker.wake_at().is_some_and(|at| at <= now) {
            self.run_tracker(now, []);
        }
        if should_read && !self.is_reading && now >= self.retry_at {
            self.is_reading = true;
            self.spawn_tail_read(now);
        }
    }

    /// Handles the end of a request, and returns the records of a read for the tail. `snapshot_end`
    /// returns the offset after the last record that a snapshot covers, `None` if its contents are
    /// invalid.
    pub(crate) fn handle_event(
        &mut self,
        now: Millis,
        event: LogEvent,
        snapshot_end: impl Fn(&LogEntry<T>) -> Option<Offset>,
    ) -> Option<TailUpdate<T>> {
        let (sent_at, request, result) = match event {
            LogEvent::Tracker(input) => {
                self.run_tracker(now, [input]);
                return None;
            }
            LogEvent::TailRead {
                sent_at,
                request,
                result,
            } => (sent_at, request, result),
        };
        self.is_reading = false;
        let reply = match result {
            Ok(reply) => reply,
            Err(e) => {
                log::debug!(stream = self.name.as_str(); "read failed: {e}");
                self.retry_at = now + READ_BACKOFF;
                return None;
            }
        };
        let read_back = ReadBack::new(None, request.from, &reply);
        self.run_tracker(now, [TrackerInput::ReadSucceeded(read_back)]);
        let TailProgress { events, is_at_head } = self.tail.apply(&reply, snapshot_end);
        for event in &events {
            if let TailEvent::Record(entry) | TailEvent::Snapshot { entry, .. } = event {
                self.unread.remove(entry.envelope.id);
            }
        }
        let expired = self.unread.take_expired(reply.first);
        self.run_tracker(now, expired.into_iter().map(TrackerInput::Submit));
        Some(TailUpdate {
            sent_at,
            first_offset: reply.first,
            head_offset: reply.head,
            events,
            is_at_head,
        })
    }

    fn run_tracker(&mut self, now: Millis, inputs: impl IntoIterator<Item = TrackerInput>) {
        for output in self.tracker.tick(now, inputs) {
            match output {
                TrackerOutput::Append { batch_id, records } => self.spawn_append(batch_id, records),
                TrackerOutput::Read { read_id, from, max } => self.spawn_read(read_id, from, max),
                // The tail returns the contents of the record.
                TrackerOutput::Committed { id, offset } => self.unread.mark_committed(id, offset),
                TrackerOutput::GivenUp { id, outcome } => {
                    self.unread.remove(id);
                    self.given_up.push((id, outcome));
                }
            }
        }
    }

    fn spawn_tail_read(&self, sent_at: Millis) {
        let request = self.tail.next_request();
        let wait = if request.can_wait {
            self.max_wait
        } else {
            Millis(0)
        };
        let (client, events, name) = self.request_parts();
        tokio::spawn(async move {
            let result = client.read(&name, request.from, request.max, wait).await;
            // A closed channel means that the driver has ended.
            let _closed = events.send(LogEvent::TailRead {
                sent_at,
                request,
                result,
            });
        });
    }

    fn spawn_append(&self, batch_id: u64, records: Vec<String>) {
        let (client, events, name) = self.request_parts();
        tokio::spawn(async move {
            let result = client.append(&name, &records).await;
            if let Err(e) = &result {
                log::debug!(stream = name.as_str(); "append failed: {e}");
            }
            let result = AppendResult::from(&result);
            let _closed = events.send(LogEvent::Tracker(TrackerInput::AppendEnded {
                batch_id,
                result,
            }));
        });
    }

    fn spawn_read(&self, read_id: u64, from: Offset, max: u32) {
        let (client, events, name) = self.request_parts();
        tokio::spawn(async move {
            let input = match client.read(&name, from, max, Millis(0)).await {
                Ok(reply) => {
                    TrackerInput::ReadSucceeded(ReadBack::new(Some(read_id), from, &reply))
                }
                Err(_) => TrackerInput::ReadFailed { read_id },
            };
            let _closed = events.send(LogEvent::Tracker(input));
        });
    }

    fn request_parts(&self) -> (LogClient, mpsc::UnboundedSender<LogEvent>, String) {
        let name = self.name.clone();
        (self.client.clone(), self.event_sender.clone(), name)
    }
}

/// Interval at which the drivers run without events.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);

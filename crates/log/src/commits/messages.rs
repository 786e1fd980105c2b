//! Inputs, outputs and options of the commit tracker.
//!
//! The driver is the code around the tracker: it executes the tracker's requests against the log
//! service and passes the results back.

use hyssop_core::{Millis, Offset, ReadReply, RecordId, Term};
use serde::Deserialize;

use crate::{Error, Result};

/// Bounds and intervals of a [`CommitTracker`](crate::CommitTracker).
#[derive(Clone, Copy, Debug)]
pub struct TrackerOptions {
    /// Maximum number of pending records, whether they have been appended or not.
    pub max_pending_records: usize,
    /// Maximum size of the text of all pending records, in bytes.
    pub max_pending_bytes: usize,
    /// Maximum number of records in one append.
    pub max_batch_records: usize,
    /// Maximum size of the text in one append, in bytes; a larger record is appended alone.
    pub max_batch_bytes: usize,
    /// Maximum number of records requested by one read.
    pub max_read_records: u32,
    /// Minimum time between the starts of two appends. The log service accepts several hundred
    /// appends a second from all clients together.
    pub append_interval: Millis,
    /// Delay, before jitter, after the first failure of an append or a read; it doubles with each
    /// further failure.
    pub initial_backoff: Millis,
    /// Maximum delay, before jitter, after any number of failures.
    pub max_backoff: Millis,
}

impl Default for TrackerOptions {
    fn default() -> Self {
        Self {
            max_pending_records: 4_096,
            max_pending_bytes: 16 * 1024 * 1024,
            max_batch_records: 256,
            max_batch_bytes: 1024 * 1024,
            max_read_records: 1_024,
            append_interval: Millis(20),
            initial_backoff: Millis(100),
            max_backoff: Millis(2_000),
        }
    }
}

impl TrackerOptions {
    /// Sets the maximum number of pending records.
    #[must_use]
    pub const fn with_max_pending_records(mut self, max_pending_records: usize) -> Self {
        self.max_pending_records = max_pending_records;
        self
    }

    /// Sets the maximum number of records in one append.
    #[must_use]
    pub const fn with_max_batch_records(mut self, max_batch_records: usize) -> Self {
        self.max_batch_records = max_batch_records;
        self
    }

    /// Sets the maximum number of records requested by one read.
    #[must_use]
    pub const fn with_max_read_records(mut self, max_read_records: u32) -> Self {
        self.max_read_records = max_read_records;
        self
    }

    /// Sets the minimum time between the starts of two appends.
    #[must_use]
    pub const fn with_append_interval(mut self, append_interval: Millis) -> Self {
        self.append_interval = append_interval;
        self
    }

    /// Sets the initial and the maximum backoff.
    #[must_use]
    pub const fn with_backoff(mut self, initial: Millis, max: Millis) -> Self {
        self.initial_backoff = initial;
        self.max_backoff = max;
        self
    }
}

/// Record that the tracker appends, repeatedly if necessary, until it is committed or given up.
/// Replay ignores further copies, so it applies the record at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Random identifier that no other record uses; the text contains it as `id`.
    pub id: RecordId,
    /// Term of the writer; 0 in the configuration stream.
    pub term: Term,
    /// Record in JSON.
    pub text: String,
    /// Time at which the tracker gives the record up; `None` for never. A record whose append is in
    /// flight then is given up when the append ends, since only its result shows whether the record
    /// may be in the stream.
    pub deadline: Option<Millis>,
}

impl Submission {
    /// Creates a submission that is retried until the record is committed.
    #[must_use]
    pub const fn new(id: RecordId, term: Term, text: String) -> Self {
        Self {
            id,
            term,
            text,
            deadline: None,
        }
    }

    /// Sets the time at which the tracker gives the record up.
    #[must_use]
    pub const fn with_deadline(mut self, deadline: Millis) -> Self {
        self.deadline = Some(deadline);
        self
    }
}

/// Result of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendResult {
    /// The records were appended from this offset on.
    Appended(Offset),
    /// The append certainly has no effect.
    NotAppended,
    /// The append may have taken effect or may still do so.
    Unknown,
}

impl From<&Result<Offset>> for AppendResult {
    fn from(result: &Result<Offset>) -> Self {
        match result {
            Ok(offset) => Self::Appended(*offset),
            Err(e) if Error::is_not_appended(e) => Self::NotAppended,
            Err(_) => Self::Unknown,
        }
    }
}

/// Result of a read: the range that it covers and the identifiers found in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadResult {
    /// Identifier of the read if the tracker requested it; `None` for a read that the driver
    /// started by itself.
    pub read_id: Option<u64>,
    /// Offset at which the read started.
    pub from: Offset,
    /// First offset that the reply does not cover.
    pub upto: Offset,
    /// First offset that the log service still retains.
    pub first: Offset,
    /// Offset after the last record of the stream.
    pub head: Offset,
    /// Offsets and identifiers of the records read, in order; records without an identifier are
    /// left out.
    pub ids: Vec<(Offset, RecordId)>,
}

impl ReadResult {
    /// Extracts the identifiers from the reply to a read that started at `from`.
    #[must_use]
    pub fn new(read_id: Option<u64>, from: Offset, reply: &ReadReply) -> Self {
        let upto = reply
            .records
            .last()
            .map_or(from.max(reply.first), |last| last.offset.next());
        let ids = reply.records.iter();
        let ids = ids.filter_map(|r| Some((r.offset, record_id(&r.record)?)));
        Self {
            read_id,
            from,
            upto,
            first: reply.first,
            head: reply.head,
            ids: ids.collect(),
        }
    }
}

/// Parses the identifier of a record in JSON and ignores its other fields. Returns `None` if there
/// is no valid identifier.
#[must_use]
pub fn record_id(text: &str) -> Option<RecordId> {
    #[derive(Deserialize)]
    struct IdOnly {
        id: RecordId,
    }
    let record: IdOnly = serde_json::from_str(text).ok()?;
    Some(record.id)
}

/// Event that a driver passes to the commit tracker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerInput {
    /// Appends a record. Ignored if a record with this identifier is pending.
    Submit(Submission),
    /// An append ended. Each [`TrackerOutput::Append`] is followed by exactly one such input.
    AppendEnded {
        /// Identifier of the batch, from [`TrackerOutput::Append`].
        batch_id: u64,
        /// How the append ended.
        result: AppendResult,
    },
    /// A read succeeded. A driver that tails the stream passes the results of its own reads as
    /// well, so that the tracker does not fall behind while it has no pending records.
    ReadSucceeded(ReadResult),
    /// A read that the tracker requested failed.
    ReadFailed {
        /// Identifier of the read.
        read_id: u64,
    },
    /// Gives up the pending records of a term that has ended.
    GiveUp {
        /// Term that the records were submitted with.
        term: Term,
    },
}

/// Request to the driver, or result of a submission.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerOutput {
    /// Append these records together and in order.
    Append {
        /// Identifier of the batch of records, which the driver returns with the result.
        batch_id: u64,
        /// Records in JSON.
        records: Vec<String>,
    },
    /// Read from this offset, without waiting for records.
    Read {
        /// Identifier of the read.
        read_id: u64,
        /// First offset to read.
        from: Offset,
        /// Maximum number of records to return.
        max: u32,
    },
    /// The record is in the stream; replay applies the copy at this offset.
    Committed {
        /// Identifier of the record.
        id: RecordId,
        /// Offset of the first copy.
        offset: Offset,
    },
    /// The record is no longer pending and will not be appended again.
    GivenUp {
        /// Identifier of the record.
        id: RecordId,
        /// Whether the record may be in the stream.
        outcome: GiveUpOutcome,
    },
}

/// What is known about a record that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpOutcome {
    /// The bound on pending records is reached; the record was not appended.
    QueueFull,
    /// The record is certainly not in the stream and will not be.
    NotAppended,
    /// The record may be in the stream or may still be appended.
    Unknown,
}

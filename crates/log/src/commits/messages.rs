//! Inputs, outputs and options of the settler.

use hyssop_core::{Millis, Offset, ReadReply, RecordId, Term};
use serde::Deserialize;

use crate::{Error, Result};

/// Bounds and intervals of a settler.
#[derive(Clone, Copy, Debug)]
pub struct TrackerOptions {
    /// Most records that may wait, whether tried or not.
    pub max_pending: usize,
    /// Most bytes of text that may wait.
    pub max_pending_bytes: usize,
    /// Most records in one append.
    pub max_batch: usize,
    /// Most bytes of text in one append; a single larger record goes alone.
    pub max_batch_bytes: usize,
    /// Most records asked for by one read.
    pub max_read: u32,
    /// Shortest time between two appends. The service takes several hundred a second from all
    /// clients together.
    pub append_interval: Millis,
    /// Longest wait after the first failure of an append or a read.
    pub initial_backoff: Millis,
    /// Longest wait after any number of failures.
    pub max_backoff: Millis,
}

impl Default for TrackerOptions {
    fn default() -> Self {
        Self {
            max_pending: 4_096,
            max_pending_bytes: 16 * 1024 * 1024,
            max_batch: 256,
            max_batch_bytes: 1024 * 1024,
            max_read: 1_024,
            append_interval: Millis(20),
            initial_backoff: Millis(100),
            max_backoff: Millis(2_000),
        }
    }
}

impl TrackerOptions {
    /// Sets the most records that may wait.
    #[must_use]
    pub const fn with_max_pending(mut self, max_pending: usize) -> Self {
        self.max_pending = max_pending;
        self
    }

    /// Sets the most records in one append.
    #[must_use]
    pub const fn with_max_batch(mut self, max_batch: usize) -> Self {
        self.max_batch = max_batch;
        self
    }

    /// Sets the most records asked for by one read.
    #[must_use]
    pub const fn with_max_read(mut self, max_read: u32) -> Self {
        self.max_read = max_read;
        self
    }

    /// Sets the shortest time between two appends.
    #[must_use]
    pub const fn with_append_interval(mut self, append_interval: Millis) -> Self {
        self.append_interval = append_interval;
        self
    }

    /// Sets the longest waits after the first and after any number of failures.
    #[must_use]
    pub const fn with_backoff(mut self, first: Millis, max: Millis) -> Self {
        self.initial_backoff = first;
        self.max_backoff = max;
        self
    }
}

/// A record that is to be appended exactly once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Submission {
    /// Identifier, random and never used before; the text carries it as `id`.
    pub id: RecordId,
    /// Term of the writer; 0 in the configuration stream.
    pub term: Term,
    /// Record in JSON.
    pub text: String,
    /// Time at which the settler gives up; `None` for never.
    pub deadline: Option<Millis>,
}

impl Submission {
    /// Creates a submission that is tried until it is settled.
    #[must_use]
    pub const fn new(id: RecordId, term: Term, text: String) -> Self {
        Self {
            id,
            term,
            text,
            deadline: None,
        }
    }

    /// Sets the time at which the settler gives up.
    #[must_use]
    pub const fn with_deadline(mut self, deadline: Millis) -> Self {
        self.deadline = Some(deadline);
        self
    }
}

/// How an append ended.
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

/// What the settler needs to know of an answered read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ReadBack {
    /// Number of the read, if the settler asked for it; `None` for a read of the driver's own.
    pub read_id: Option<u64>,
    /// Offset asked for.
    pub from: Offset,
    /// First offset that the reply does not cover.
    pub upto: Offset,
    /// First offset still kept.
    pub first: Offset,
    /// Offset after the last record of the stream.
    pub head: Offset,
    /// Identifiers found, in order; records without one are left out.
    pub ids: Vec<(Offset, RecordId)>,
}

impl ReadBack {
    /// Extracts the identifiers from the reply to a read from `from`.
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

/// Reads the identifier of a record, whatever its body is.
#[must_use]
pub fn record_id(text: &str) -> Option<RecordId> {
    #[derive(Deserialize)]
    struct Head {
        id: RecordId,
    }
    let head: Head = serde_json::from_str(text).ok()?;
    Some(head.id)
}

/// What a driver tells the settler.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerInput {
    /// A record is to be appended. A repeated identifier that still waits is ignored.
    Submit(Submission),
    /// An append ended. Each one asked for ends with exactly one such input.
    AppendEnded {
        /// Number of the append.
        batch_id: u64,
        /// How it ended.
        result: AppendResult,
    },
    /// A read was answered. A driver that tails the stream passes its own reads as well, so that
    /// the settler does not fall behind while it has nothing to settle.
    ReadSucceeded(ReadBack),
    /// A read that the settler asked for failed.
    ReadFailed {
        /// Number of the read.
        read_id: u64,
    },
    /// The records of a term no longer count; they are given up.
    Abandon {
        /// Term.
        term: Term,
    },
}

/// What the settler asks of its driver or reports.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TrackerOutput {
    /// Append these records together and in order.
    Append {
        /// Number of the append.
        batch_id: u64,
        /// Records in JSON.
        records: Vec<String>,
    },
    /// Read from this offset, without waiting for records.
    Read {
        /// Number of the read.
        read_id: u64,
        /// First offset wanted.
        from: Offset,
        /// Most records wanted.
        max: u32,
    },
    /// The record stands in the stream; replay counts the copy at this offset.
    Committed {
        /// Identifier.
        id: RecordId,
        /// Offset of the first copy.
        offset: Offset,
    },
    /// The record is no longer tried.
    GivenUp {
        /// Identifier.
        id: RecordId,
        /// Whether it may stand in the stream.
        outcome: GiveUpOutcome,
    },
}

/// What is known about a record that was given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpOutcome {
    /// The bound on waiting records is reached; nothing was tried.
    QueueFull,
    /// It certainly is not in the stream and will not be.
    NotAppended,
    /// It may be in the stream or may still get there.
    Unknown,
}

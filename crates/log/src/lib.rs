//! Client of the platform's append-only log: appends that are committed by reading them back, and
//! readers that follow a stream.
//!
//! [`LogClient`] does the I/O. [`CommitTracker`] and [`Tail`] do none: they return the appends and
//! reads that are due and accept the results, so that any driver can run them.

mod clients;
mod commits;
mod errors;
mod tails;
mod unread_records;

pub use clients::{APPEND_TIMEOUT, LogClient, LogOptions};
pub use commits::{
    AppendResult, CommitTracker, GiveUpOutcome, ReadResult, Submission, TrackerInput,
    TrackerOptions, TrackerOutput, record_id,
};
pub use errors::{Error, Result};
pub use tails::{LogEntry, Tail, TailEvent, TailOptions, TailProgress, TailRequest};
pub use unread_records::UnreadRecords;

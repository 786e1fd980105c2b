//! Client of the platform's append-only log: append with settlement by read-back, and tail.
//!
//! [`LogClient`] does the I/O. [`CommitTracker`] and [`Tail`] are pure: they say which appends and
//! reads are due and take their results, so that any driver can run them.

mod clients;
mod commits;
mod errors;
mod tails;
mod unread_records;

pub use clients::{LogClient, LogOptions};
pub use commits::{
    AppendResult, CommitTracker, GiveUpOutcome, ReadBack, Submission, TrackerInput, TrackerOptions,
    TrackerOutput, record_id,
};
pub use errors::{Error, Result};
pub use tails::{LogEntry, Tail, TailEvent, TailOptions, TailProgress, TailRequest};
pub use unread_records::UnreadRecords;

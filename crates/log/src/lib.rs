//! Client of the platform's append-only log: append with settlement by read-back, and tail.
//!
//! [`LogClient`] does the I/O. [`Settler`] and [`Tail`] are pure: they say which appends and
//! reads are due and take their results, so that any driver can run them.

mod clients;
mod errors;
mod settlers;
mod tails;
mod unread;

pub use clients::{LogClient, LogOptions};
pub use errors::{Error, Result};
pub use settlers::{
    AppendResult, GiveUp, ReadBack, Settler, SettlerInput, SettlerOptions, SettlerOutput,
    Submission, record_id,
};
pub use tails::{Entry, Progress, Tail, TailEvent, TailOptions, TailRequest};
pub use unread::Unread;

//! Configuration store and view of the other entries.
//!
//! [`ConfStore`] turns the records of the configuration stream into the documents, domain states
//! and quotas in force, decides which of two racing changes wins, and keeps the proof of
//! freshness. [`Peers`] keeps what the heartbeats of the other entries say and derives the
//! standing of this one. Both do no I/O and read no clock: the driver passes the time in.

mod changes;
mod errors;
mod peers;
mod states;
mod stores;

pub use errors::{Error, Result};
pub use peers::{Confirmation, Peers};
pub use stores::{ApplyOutcome, ConfStore, MAX_HISTORY_VERSIONS};

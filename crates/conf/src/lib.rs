//! Configuration store, and the state of the other entries as this one knows it.
//!
//! [`ConfStore`] turns the records of the configuration stream into the documents, domain states
//! and quotas in force, decides which of two concurrent changes is accepted, and records when the
//! configuration was last confirmed to be current. [`Peers`] evaluates the heartbeats of the other
//! entries and derives the connectivity of this one. [`DomainTracker`] records when failure domains changed.
//! They do no I/O and read no clock: the driver passes the time in.

mod changes;
mod domains;
mod errors;
mod peers;
mod states;
mod stores;

pub use domains::DomainTracker;
pub use errors::{Error, Result};
pub use peers::{Confirmation, Peers};
pub use stores::{ApplyOutcome, ConfStore, MAX_HISTORY_VERSIONS};

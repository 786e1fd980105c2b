//! Decisions of a cell's owner: placement, protection, drains and recovery.
//!
//! [`Cell`] is a pure core: the driver passes the time and what happened, and carries out what
//! the core returns. The same inputs give the same outputs byte for byte.

mod aways;
mod buckets;
mod calls;
mod cells;
mod doubts;
mod drains;
mod estimates;
mod explains;
mod io;
mod jobs;
mod journal;
mod ledger;
mod moves;
mod offices;
mod packs;
mod places;
mod polls;
mod preempts;
mod protect;
mod quarantine;
mod queues;
mod quotas;
mod reasons;
mod replays;
mod reports;
mod retries;
mod standing;
mod terms;
mod workers;

pub use cells::Cell;
pub use io::{CellOptions, Input, Output};

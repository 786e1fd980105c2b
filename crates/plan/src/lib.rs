//! Decisions of a cell's owner: placement, protection, drains and recovery.
//!
//! [`Cell`] is a deterministic core without I/O: the driver passes the time and the inputs, and
//! carries out the outputs. The same inputs give the same outputs byte for byte.

mod calls;
mod cells;
mod crashes;
mod deliveries;
mod disruptions;
mod drains;
mod encodings;
mod estimates;
mod explanations;
mod groups;
mod io;
mod jobs;
mod journal;
mod late_ends;
mod ledger;
mod losses;
mod moves;
mod ownerships;
mod placements;
mod polls;
mod preemptions;
mod protections;
mod quarantines;
mod queues;
mod quotas;
mod reasons;
mod refusals;
mod replays;
mod reports;
mod retries;
mod services;
mod summaries;
mod terms;
mod workers;

pub use cells::Cell;
pub use io::{CellOptions, Input, Output};

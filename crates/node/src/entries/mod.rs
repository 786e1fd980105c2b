//! The entry: takes the requests of callers and operators and owns cells.
//!
//! [`start`] runs all parts of an entry as tasks of the current runtime: the drivers of the
//! configuration, of the other entries and of the cells, and the servers. The decisions are those
//! of the cores; the tasks only carry messages.

mod access;
mod capacities;
mod cells;
mod clocks;
mod confs;
mod drains;
mod errors;
mod fleets;
mod handles;
mod heartbeats;
mod http;
mod jobs;
mod options;
mod phases;
mod requests;
mod rpcs;
mod shared;
mod snapshots;
mod streams;
mod writes;

pub use errors::{Error, Result};
pub use handles::{EntryHandle, start};
pub use options::EntryOptions;

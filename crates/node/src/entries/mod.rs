//! The entry daemon: serves callers and operators over HTTP, and owns cells.
//!
//! [`start`] spawns the tasks of an entry on the current runtime: the drivers of the configuration,
//! of the heartbeats to peers and of the cells, and the HTTP and RPC servers. The tasks only do
//! I/O; all decisions are made by the cores in `hyssop-plan`, `hyssop-conf` and `hyssop-route`.

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

//! Daemons of hyssoptrack: settings, servers, clients, and the drivers that run the scheduling and
//! routing crates, which do no I/O of their own.

pub mod agents;
pub mod daemons;
pub mod entries;
pub mod links;
pub mod settings;
pub mod telemetry;

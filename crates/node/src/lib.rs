//! Daemons of hyssoptrack: settings, servers, clients, and the drivers that perform the I/O of the
//! planning and routing logic.

pub mod agents;
pub mod daemons;
pub mod entries;
pub mod links;
pub mod settings;
pub mod telemetry;

//! Daemons of hyssoptrack: settings, servers, clients and drivers at the edge of the cores.

pub mod agents;
pub mod daemons;
pub mod entries;
pub mod links;
pub mod settings;
pub mod telemetry;

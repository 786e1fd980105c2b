//! The daemons as processes: an entry or an agent with its settings, log and metrics.
//!
//! [`run_entry`] and [`run_agent`] are all that the two programs do after reading their settings.

mod options;
mod processes;

pub use options::{agent_options, entry_options};
pub use processes::{Error, Result, run_agent, run_entry};

//! The daemons as processes: settings, log lines and metrics around an entry or an agent.
//!
//! [`run_entry`] and [`run_agent`] are the whole of the two programs.

mod options;
mod processes;

pub use options::{agent_options, entry_options};
pub use processes::{Error, Result, run_agent, run_entry};

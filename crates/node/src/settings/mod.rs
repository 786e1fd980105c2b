//! Settings of the daemons: flags, with environment variables as fallback.
//!
//! All values are read and validated together when a daemon starts, and all problems are reported
//! at once, each with the setting and its allowed values. The tables [`ENTRY_SETTINGS`] and
//! [`AGENT_SETTINGS`] list every setting; the flags are generated from the same definitions.

mod addresses;
mod agents;
mod entries;
mod exits;
mod secrets;
mod sources;
mod tables;

pub use addresses::{EntryAddress, HttpBase, WorkerAddress};
pub use agents::AgentSettings;
pub use entries::EntrySettings;
pub use exits::{Exit, Problem, Problems};
pub use secrets::{Secret, Tokens};
pub use sources::{LogFormat, LogSettings};
pub use tables::{AGENT_SETTINGS, ENTRY_SETTINGS, Setting};

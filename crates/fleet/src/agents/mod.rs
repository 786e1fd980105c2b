//! The agent: stands beside one worker, extends its lease, passes on orders and reports.

mod cores;
mod drivers;
mod io;
mod servers;
mod sessions;

pub use cores::Core;
pub use drivers::run;
pub use io::{AgentInput, AgentOutput, ProbeError, StartError};

//! Agent that runs beside one worker: renews its lease, forwards orders to it and reports to the
//! owner.

mod acknowledgements;
mod canaries;
mod cores;
mod descriptions;
mod drivers;
mod io;
mod isolations;
mod late_starts;
mod leases;
mod orders;
mod probes;
mod reported_rows;
mod servers;
mod sessions;
mod unreadable_rows;

pub use cores::Core;
pub use drivers::run;
pub use io::{AgentInput, AgentOutput, Inspection, ProbeError, SpeedError, StartError};

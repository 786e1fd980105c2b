//! Fleets of which each part is a process of its own on loopback.
//!
//! A process is ended when its handle is dropped, also while a test panics, and only by the handle
//! that started it.

mod children;
mod fleets;
mod ports;
mod programs;

pub use children::Process;
pub use fleets::{
    AgentProcess, EntryProcess, Fleet, FleetOptions, OPERATOR_TOKEN, StandInProcess, TEAM,
    TEAM_TOKEN,
};
pub use ports::Ports;
pub use programs::program;

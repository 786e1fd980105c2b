//! Randomized fault injection for the `hyssop-fleet` processes.
//!
//! A [`Fleet`] runs `hyssop-fleet` as processes on loopback addresses, against stand-ins of the
//! platform. A [`Plan`] is a random but reproducible series of faults: processes are killed, frozen
//! and stopped, workers restart or do not respond, the store fails, and a [`Proxy`] between a host and the store
//! delays, resets or blocks traffic in one or both directions. [`run`] executes a plan while callers
//! submit, cancel and query jobs. After the last fault, a [`ProgressChecker`] watches for jobs that
//! stand still. The run then reports the violated guarantees, as observed by the callers and the
//! workers.

mod callers;
mod fleets;
mod plans;
mod processes;
mod progress;
mod proxies;
mod requests;
mod restarts;
mod runs;
mod scheduling;

pub use fleets::{Fleet, FleetOptions};
pub use nix::sys::signal::Signal;
pub use plans::{Fault, FaultMix, FleetSize, Plan};
pub use progress::ProgressChecker;
pub use proxies::{Proxy, ProxyMode};
pub use restarts::{OwnerFault, Restart};
pub use runs::{Report, RunOptions, run};

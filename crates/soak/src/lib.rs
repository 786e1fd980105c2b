//! Randomized faults against the programs on the users' platform.
//!
//! A [`Fleet`] runs `hyssop-fleet` as processes on addresses of the loopback network, against
//! stand-ins of the platform. A [`Plan`] is a series of faults drawn from a seed: processes are
//! killed, frozen and stopped, the store fails, and a [`Proxy`] between a host and the store delays,
//! resets, silences or cuts one way. [`run`] plays a plan while callers submit, cancel and ask for
//! jobs, and tells which promises were broken, from what the callers and the workers saw.

mod fleets;
mod plans;
mod proxies;
mod runs;

pub use fleets::{Fleet, FleetOptions};
pub use nix::sys::signal::Signal;
pub use plans::{Fault, FleetSize, Plan};
pub use proxies::{Proxy, ProxyMode};
pub use runs::{Report, RunOptions, run};

//! Stand-ins (test doubles) for the platform's log service, its workers and backend servers.
//!
//! Each can be started in-process or as a program of its own, and injects faults on request. This
//! is test support: no shipped crate depends on it.

mod backends;
mod errors;
mod logs;
mod relays;
mod servers;
mod signals;
mod workers;

pub use backends::{
    BackendFaults, BackendHandle, BackendLedger, BackendMode, BackendOptions, BackendServer, Echo,
    RequestRun,
};
pub use errors::{Error, Result};
pub use logs::{LogFaults, LogHandle, LogServer, LogServerOptions, LogStore};
pub use relays::Relay;
pub use signals::wait_for_stop_signal;
pub use workers::{
    LedgerEntry, TaskChange, TaskProfile, WorkerFaults, WorkerHandle, WorkerLedger, WorkerOptions,
    WorkerServer, WorkerState,
};

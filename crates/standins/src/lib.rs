//! Stand-ins for the platform's log service and workers and for backend servers.
//!
//! Each can be started in-process or as a program, and injects faults on request. They are test
//! support: no shipped crate depends on this one.

mod backends;
mod errors;
mod logs;
mod servers;
mod signals;
mod workers;

pub use backends::{
    BackendFaults, BackendHandle, BackendLedger, BackendMode, BackendOptions, BackendServer, Echo,
    RequestRun,
};
pub use errors::{Error, Result};
pub use logs::{LogFaults, LogHandle, LogServer, LogServerOptions, LogStore};
pub use signals::wait_for_stop_signal;
pub use workers::{
    LedgerEntry, TaskChange, TaskProfile, WorkerFaults, WorkerHandle, WorkerLedger, WorkerOptions,
    WorkerServer, WorkerState,
};

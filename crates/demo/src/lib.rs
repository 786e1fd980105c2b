//! Fleets of hyssoptrack over loopback, for the demo program and for tests with real processes.
//!
//! Not shipped, because it combines the daemons with stand-ins, which are test support.

pub mod batches;
pub mod callers;
pub mod checks;
pub mod fleets;
pub mod loads;
pub mod operators;
pub mod processes;
pub mod runs;
pub mod summaries;
pub mod waits;

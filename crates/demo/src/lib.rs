//! Fleets of hyssoptrack over loopback, for the main job and for tests with real processes.
//!
//! Not shipped: daemons and stand-ins meet here and nowhere else.

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

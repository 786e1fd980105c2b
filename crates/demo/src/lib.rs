//! Fleets of hyssoptrack over loopback, for the main job and for tests with real processes.
//!
//! Not shipped: daemons and stand-ins meet here and nowhere else.

pub mod callers;
pub mod processes;
pub mod waits;

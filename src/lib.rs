//! Scheduler for colocated latency-critical and batch work.

pub use hyssop_core as core;

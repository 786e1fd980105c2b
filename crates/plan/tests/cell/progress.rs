//! Liveness of the owner: no accepted job or service task waits without bound while a worker has
//! capacity for it and no rule forbids its start.
//!
//! A model of callers, operators and faults drives the owners over virtual time. A checker compares
//! what runs on the workers with what could run.

mod checks;
mod models;
mod seeds;
mod stalls;

//! Liveness of the owner: no accepted job stands still while the workers have capacity for it.
//!
//! A model of workers, callers and faults drives the owner over virtual time. After the faults have
//! ended, a checker compares what runs on the workers with what could run.

mod checks;
mod faults;
mod loads;
mod models;
mod recoveries;
mod scenarios;
mod seeds;

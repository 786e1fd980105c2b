//! Simulation tests of the guarantees: invariants over typed observations, and a simulated
//! deployment of the real cores in virtual time for the fault matrix. No shipped crate depends on
//! this crate.

pub mod invariants;
pub mod matrix;
pub mod sessions;
pub mod world;

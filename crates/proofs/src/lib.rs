//! Test support that checks the guarantees: invariants over typed observations, and a world of
//! the real cores in virtual time for the fault matrix. No shipped crate depends on it.

pub mod invariants;
pub mod matrix;
pub mod world;

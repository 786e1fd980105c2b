//! The entry: serves callers, and owns all jobs while it is its turn.

mod asks;
mod drivers;
mod http;
mod policies;
mod rpcs;

pub use asks::hold_limit;
pub use drivers::run;

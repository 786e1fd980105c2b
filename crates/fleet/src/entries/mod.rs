//! The entry: serves callers, and owns all jobs while it is its turn.

mod drivers;
mod http;
mod policies;
mod requests;
mod rpcs;

pub use drivers::run;
pub use requests::request_timeout;

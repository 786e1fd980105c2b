//! Entry that serves callers, and owns all jobs while it is the elected owner.

mod drivers;
mod http;
mod policies;
mod requests;
mod rpcs;

pub use drivers::run;
pub use requests::request_timeout;

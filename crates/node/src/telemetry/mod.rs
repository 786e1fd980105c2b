//! Log lines and metrics of the daemons.
//!
//! Log lines carry fields besides the text. Those about the same thing have the same name
//! everywhere: `request`, `job`, `attempt`, `worker`, `domain` and `version`; for example
//! `log::info!(job:% = job, attempt:% = attempt; "attempt lost")`.

mod errors;
mod labels;
mod limiters;
mod logs;
mod metrics;

pub use errors::{Error, Result};
pub use labels::{KIND_LIMIT, OTHER, TEAM_LIMIT};
pub use limiters::{LogLimiter, Suppressed};
pub use logs::{encoder, init_logs, message_line};
pub use metrics::Metrics;

//! Log lines and metrics of the daemons.
//!
//! Log lines have fields besides the text. The same concept has the same field name everywhere:
//! `request`, `job`, `attempt`, `worker`, `domain` and `version`; for example
//! `log::info!(job:% = job, attempt:% = attempt; "attempt lost")`.

mod errors;
mod labels;
mod limiters;
mod logs;
mod metrics;

pub use errors::{Error, Result};
pub use labels::{MAX_KIND_LABELS, MAX_TEAM_LABELS, OTHER_LABEL};
pub use limiters::{LogLimiter, SuppressedCount};
pub use logs::{encoder, init_logs, message_line};
pub use metrics::Metrics;

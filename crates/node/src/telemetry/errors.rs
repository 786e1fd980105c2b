//! Errors of the set-up of log lines and metrics.

/// Result of the set-up of log lines and metrics.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why log lines or metrics cannot be set up.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The logger cannot be installed.
    #[error("log lines: {0}")]
    Logs(String),
    /// The metrics cannot be set up.
    #[error("metrics: {0}")]
    Metrics(String),
}

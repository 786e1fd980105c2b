//! Errors when setting up or exporting logs and metrics.

/// Result of a telemetry operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Failure to set up the logger, or to set up, render or export the metrics.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The logger cannot be installed; the text is the cause.
    #[error("log lines: {0}")]
    Logs(String),
    /// The metrics cannot be set up, rendered or exported; the text is the cause.
    #[error("metrics: {0}")]
    Metrics(String),
}

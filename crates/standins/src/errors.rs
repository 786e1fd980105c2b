//! Errors of the stand-ins.

/// Result of operations on stand-ins.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// A stand-in that cannot run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The address cannot be listened on.
    #[error("listen on {address}: {cause}")]
    Listen {
        /// Address asked for.
        address: String,
        /// Why.
        cause: String,
    },
    /// The HTTP client cannot be set up.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The signal handler cannot be set up.
    #[error("signals: {0}")]
    Signal(#[from] std::io::Error),
}

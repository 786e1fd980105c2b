//! Errors of the stand-ins.

/// Result of operations on stand-ins.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason why a stand-in cannot start or run.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The listener cannot be bound.
    #[error("listen on {address}: {cause}")]
    Listen {
        /// Configured address, before a port is chosen.
        address: String,
        /// Error of the socket.
        cause: String,
    },
    /// The HTTP client cannot be set up.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
    /// The signal handler cannot be set up.
    #[error("signals: {0}")]
    Signal(#[from] std::io::Error),
}

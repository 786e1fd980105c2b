//! Errors that end an entry or prevent its start.

use std::net::SocketAddr;

/// Result of the start of an entry.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason for which an entry cannot start or cannot continue.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An address cannot be listened on.
    #[error("listen on {address}: {cause}")]
    Listen {
        /// Address from the options.
        address: SocketAddr,
        /// Error of the operating system.
        cause: String,
    },
    /// An HTTP client cannot be set up.
    #[error("client: {0}")]
    Client(String),
    /// A task that has to run for the lifetime of the entry has ended.
    #[error("a task of the entry has ended: {0}")]
    TaskEnded(String),
    /// The metrics cannot be set up.
    #[error("{0}")]
    Metrics(String),
}

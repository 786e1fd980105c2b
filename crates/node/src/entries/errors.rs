//! Errors of the start of an entry.

use std::net::SocketAddr;

/// Result of the start of an entry.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an entry cannot start, or cannot go on.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// An address cannot be listened on.
    #[error("listen on {address}: {cause}")]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Why.
        cause: String,
    },
    /// An HTTP client cannot be set up.
    #[error("client: {0}")]
    Client(String),
    /// A part of a running entry has ended by a fault.
    #[error("a part of the entry has ended: {0}")]
    TaskEnded(String),
    /// The metrics cannot be set up.
    #[error("{0}")]
    Metrics(String),
}

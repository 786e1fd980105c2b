//! Connections between the system's own processes: tarpc with bincode over TCP.

mod clients;
mod connections;
mod servers;
mod silences;
mod transports;

pub use clients::{AgentLink, EntryLink, Link, REPLY_GRACE};
pub use servers::{RpcRequest, RpcServer, ServeOptions, listen, serve};

/// Result of a call to another process.
pub type LinkResult<T> = Result<T, LinkError>;

/// Reason why a call to another process has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum LinkError {
    /// The attempt to connect failed or timed out.
    #[error("connecting failed: {0}")]
    Connect(std::io::ErrorKind),
    /// Recent attempts to connect failed, and the next one is not due yet.
    #[error("not connected: recent attempts failed and the next one is not due yet")]
    Backoff,
    /// The deadline passed before a connection was established.
    #[error("deadline exceeded before a connection was established")]
    ConnectDeadline,
    /// The message can't be encoded or exceeds the frame limit.
    #[error("the message cannot be encoded or exceeds the frame limit")]
    TooLarge,
    /// The peer has run the call, and the response exceeds the frame limit.
    #[error("the response exceeds the frame limit")]
    ResponseTooLarge,
    /// The peer rejected the call because of its limit on calls in flight, and didn't run it.
    #[error("the peer has too many calls in flight")]
    Busy,
    /// The deadline passed before the response arrived.
    #[error("deadline exceeded before the response arrived")]
    ResponseDeadline,
    /// The connection broke before the response arrived.
    #[error("connection broken before the response arrived")]
    ConnectionBroken,
    /// The response fails its checksum or belongs to another call.
    #[error("the response is corrupt or belongs to another call")]
    InvalidResponse,
}

impl LinkError {
    /// Tells whether the peer has certainly not run the call. Otherwise the outcome is unknown.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        match self {
            Self::Connect(_)
            | Self::Backoff
            | Self::ConnectDeadline
            | Self::TooLarge
            | Self::Busy => true,
            Self::ResponseTooLarge
            | Self::ResponseDeadline
            | Self::ConnectionBroken
            | Self::InvalidResponse => false,
        }
    }
}

//! Connections between the system's own processes: tarpc with bincode over TCP.

mod clients;
mod connections;
mod servers;
mod transports;

pub use clients::{AgentLink, EntryLink, Link, REPLY_GRACE};
pub use servers::{RpcRequest, RpcServer, ServeOptions, listen, serve};

/// Result of a call to another process.
pub type LinkResult<T> = Result<T, LinkError>;

/// Why a call to another process has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum LinkError {
    /// No connection could be made.
    #[error("no connection could be made: {0}")]
    Connect(std::io::ErrorKind),
    /// The last attempts to connect failed a moment ago.
    #[error("connecting failed a moment ago and is not tried again yet")]
    Backoff,
    /// The time was over before a connection was there.
    #[error("the deadline passed before a connection was there")]
    ConnectDeadline,
    /// The message could not be encoded or exceeds the frame limit.
    #[error("the message can't be encoded within the frame limit")]
    TooLarge,
    /// The peer refused the call because of its limit on calls in flight, and didn't run it.
    #[error("the peer has too many calls in flight")]
    Busy,
    /// The time was over before the answer came.
    #[error("the deadline passed before the answer came")]
    ResponseDeadline,
    /// The connection broke before the answer came.
    #[error("the connection broke before the answer came")]
    ConnectionBroken,
    /// The answer is damaged or belongs to another call.
    #[error("the answer is damaged or belongs to another call")]
    InvalidResponse,
}

impl LinkError {
    /// Tells whether the peer has surely not run the call. Otherwise the outcome is unknown.
    #[must_use]
    pub const fn is_not_run(self) -> bool {
        match self {
            Self::Connect(_)
            | Self::Backoff
            | Self::ConnectDeadline
            | Self::TooLarge
            | Self::Busy => true,
            Self::ResponseDeadline | Self::ConnectionBroken | Self::InvalidResponse => false,
        }
    }
}

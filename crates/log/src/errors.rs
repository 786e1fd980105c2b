//! Errors of the log client.

/// Result of operations on the log.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Failure of a call to the log service.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The HTTP client cannot be created.
    #[error("cannot create the log client: {0}")]
    Setup(String),
    /// The append has not taken effect and will not do so.
    #[error("not appended: {0}")]
    NotAppended(String),
    /// The append may have taken effect, or may still do so.
    #[error("outcome of the append is unknown: {0}")]
    Unknown(String),
    /// A read failed.
    #[error("read: {0}")]
    Read(String),
}

impl Error {
    /// Returns whether an append that ended with this error certainly has no effect.
    #[must_use]
    pub const fn is_not_appended(&self) -> bool {
        matches!(self, Self::NotAppended(_) | Self::Setup(_))
    }
}

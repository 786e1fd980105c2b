//! Errors of job descriptions and stored records.

/// Result type of this crate.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason why a job description, an identifier or a stored record is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// The job description breaks a limit or refers to a step that does not precede it.
    #[error("invalid job: {0}")]
    Spec(String),
    /// The text does not parse as an identifier. Holds at most its first 64 characters.
    #[error("invalid identifier: {0:?}")]
    Id(String),
    /// A stored record could not be parsed.
    #[error("record {key:?}: {reason}")]
    Record {
        /// Key of the record, cut to 64 characters if the key itself cannot be parsed.
        key: String,
        /// Parser error or the part of the key that is missing.
        reason: String,
    },
}

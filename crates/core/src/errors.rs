//! Errors of the shared types.

/// Result of operations on shared types.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// An input that is not a valid shared type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A name has a character or length that is not allowed.
    #[error(
        "{field}: {value:?} is not a name; allowed are 1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':'"
    )]
    Name {
        /// Field that holds the name.
        field: &'static str,
        /// Refused text, cut to 64 characters.
        value: String,
    },
    /// A field of a document has a value that is not allowed.
    #[error("{field}: {found}; allowed: {allowed}")]
    Field {
        /// Path of the field.
        field: String,
        /// What stands there.
        found: String,
        /// What may stand there.
        allowed: String,
    },
    /// A document is not well-formed; the message names line and column.
    #[error("document: {0}")]
    Document(String),
    /// A text or message cannot be decoded.
    #[error("decode: {0}")]
    Decode(String),
}

impl Error {
    /// Creates an error about the value of one field.
    #[must_use]
    pub fn field(
        field: impl Into<String>,
        found: impl Into<String>,
        allowed: impl Into<String>,
    ) -> Self {
        Self::Field {
            field: field.into(),
            found: found.into(),
            allowed: allowed.into(),
        }
    }
}

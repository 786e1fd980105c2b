//! Errors for input that is not a valid shared type.

/// Result of operations on shared types.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Input that is not a valid value of a shared type.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A name has a length or a character that is not allowed.
    #[error(
        "{field}: {value:?} is not a name; allowed are 1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':'"
    )]
    Name {
        /// Field that holds the name.
        field: &'static str,
        /// Rejected text, cut to 64 characters.
        value: String,
    },
    /// A field has a value that is not allowed.
    #[error("{field}: {found}; allowed: {allowed}")]
    Field {
        /// Path of the field, such as `needs.resources`.
        field: String,
        /// Value found, or a description of it.
        found: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// A document is malformed; the message states line and column.
    #[error("document: {0}")]
    Document(String),
    /// A text or message cannot be decoded.
    #[error("decode: {0}")]
    Decode(String),
}

impl Error {
    /// Creates an [`Error::Field`] for one field.
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

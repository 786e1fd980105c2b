//! Error body and its mapping to HTTP status codes.

use std::fmt;

use serde::{Deserialize, Serialize};

use super::{OUTCOME_NOT_RUN, OUTCOME_UNKNOWN, Shortfall};
use crate::{EntryName, Error, NotRun, RecordId, Refusal, Unknown, Version};

/// Machine-readable kind of an error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum ErrorCode {
    /// The request cannot be parsed (400).
    Malformed,
    /// The token is missing or unknown (401).
    Unauthenticated,
    /// The token does not permit the call (403).
    Forbidden,
    /// The entity does not exist (404).
    NotFound,
    /// Another change of the same entity was committed first (409).
    Conflict,
    /// The remaining failure domains lack capacity and the call was not forced (409).
    #[serde(rename = "no-room")]
    NoCapacity,
    /// The job has no result yet (409).
    NotFinished,
    /// The result was fetched with another receipt (409).
    #[serde(rename = "taken")]
    AlreadyFetched,
    /// The request, document or response is too large (413).
    TooLarge,
    /// A field has a value that is not allowed (422).
    Invalid,
    /// The job can never run (422).
    NeverRuns,
    /// The key was used with a different request or job (422).
    KeyReused,
    /// A limit was reached (429).
    Limit,
    /// The request did not run, or the change was not accepted; nothing changed (503).
    NotRun,
    /// The request may have run, or the change may be committed (504).
    Unknown,
}

impl ErrorCode {
    /// Returns the HTTP status with which an error of this kind is sent.
    #[must_use]
    pub const fn status(self) -> u16 {
        match self {
            Self::Malformed => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden => 403,
            Self::NotFound => 404,
            Self::Conflict | Self::NoCapacity | Self::NotFinished | Self::AlreadyFetched => 409,
            Self::TooLarge => 413,
            Self::Invalid | Self::NeverRuns | Self::KeyReused => 422,
            Self::Limit => 429,
            Self::NotRun => 503,
            Self::Unknown => 504,
        }
    }

    /// Returns the value of the outcome header: all errors except [`Self::Unknown`] state that
    /// nothing ran.
    #[must_use]
    pub const fn outcome(self) -> &'static str {
        match self {
            Self::Unknown => OUTCOME_UNKNOWN,
            _ => OUTCOME_NOT_RUN,
        }
    }

    /// Returns the kind for an HTTP status when the body of the response cannot be parsed.
    #[must_use]
    pub const fn from_status(status: u16) -> Self {
        match status {
            401 => Self::Unauthenticated,
            403 => Self::Forbidden,
            404 => Self::NotFound,
            409 => Self::Conflict,
            413 => Self::TooLarge,
            422 => Self::Invalid,
            429 => Self::Limit,
            503 => Self::NotRun,
            400..=499 => Self::Malformed,
            _ => Self::Unknown,
        }
    }
}

/// Body of every error response.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub struct ApiError {
    /// Kind of the error, from which the HTTP status follows.
    pub code: ErrorCode,
    /// Description for people, without the details in the other fields.
    pub message: String,
    /// Field or header with a value that is not allowed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub field: Option<Box<str>>,
    /// Description of the values that `field` may have.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub allowed: Option<Box<str>>,
    /// Entry through which the change that was committed first was made; set for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub winner: Option<EntryName>,
    /// Version in force; set for a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<Version>,
    /// Identifier of the record of a change whose outcome is unknown, for finding it in the log.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub record: Option<Box<RecordId>>,
    /// Work for which the failure domains that remain in service lack capacity.
    #[serde(default, skip_serializing_if = "<[Shortfall]>::is_empty")]
    pub shortfall: Box<[Shortfall]>,
}

impl fmt::Display for ApiError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.message)?;
        if let Some(field) = &self.field {
            write!(f, " (field {field}")?;
            if let Some(allowed) = &self.allowed {
                write!(f, ", allowed: {allowed}")?;
            }
            f.write_str(")")?;
        }
        if let Some(record) = &self.record {
            write!(f, " (record {record})")?;
        }
        Ok(())
    }
}

impl ApiError {
    /// Creates an error without optional details.
    #[must_use]
    pub fn new(code: ErrorCode, message: impl Into<String>) -> Self {
        Self {
            code,
            message: message.into(),
            field: None,
            allowed: None,
            winner: None,
            version: None,
            record: None,
            shortfall: Box::default(),
        }
    }

    /// Creates the error for a change that lost to another one.
    #[must_use]
    pub fn conflict(
        message: impl Into<String>,
        winner: Option<EntryName>,
        version: Version,
    ) -> Self {
        let mut error = Self::new(ErrorCode::Conflict, message);
        error.winner = winner;
        error.version = Some(version);
        error
    }

    /// Adds the field with the invalid value and the values that it may have.
    #[must_use]
    pub fn with_field(mut self, field: impl Into<String>, allowed: impl Into<String>) -> Self {
        self.field = Some(field.into().into_boxed_str());
        self.allowed = Some(allowed.into().into_boxed_str());
        self
    }

    /// Adds the record of a change whose outcome is unknown.
    #[must_use]
    pub fn with_record(mut self, record: RecordId) -> Self {
        self.record = Some(Box::new(record));
        self
    }

    /// Adds the work for which capacity is missing.
    #[must_use]
    pub fn with_shortfall(mut self, shortfall: impl Into<Box<[Shortfall]>>) -> Self {
        self.shortfall = shortfall.into();
        self
    }

    /// Returns the HTTP status with which the error is sent.
    #[must_use]
    pub const fn status(&self) -> u16 {
        self.code.status()
    }
}

impl From<Error> for ApiError {
    fn from(error: Error) -> Self {
        let message = error.to_string();
        match error {
            Error::Name { field, .. } => Self::new(ErrorCode::Invalid, message).with_field(
                field,
                "1 to 64 characters of a-z, 0-9, '-', '_', '.' and ':'",
            ),
            Error::Field {
                field,
                found,
                allowed,
            } => Self::new(ErrorCode::Invalid, format!("{field} has {found}"))
                .with_field(field, allowed),
            Error::Document(_) | Error::Decode(_) => Self::new(ErrorCode::Malformed, message),
        }
    }
}

impl From<Refusal> for ApiError {
    fn from(refusal: Refusal) -> Self {
        let code = match &refusal {
            Refusal::NotFound(_) => ErrorCode::NotFound,
            Refusal::NotOwner(_) => ErrorCode::NotRun,
            Refusal::NeverRuns(_) => ErrorCode::NeverRuns,
            Refusal::NotFinished => ErrorCode::NotFinished,
            Refusal::AlreadyFetched => ErrorCode::AlreadyFetched,
            Refusal::Reused => ErrorCode::KeyReused,
            Refusal::Limit(_) => ErrorCode::Limit,
        };
        Self::new(code, refusal.to_string())
    }
}

impl From<NotRun> for ApiError {
    fn from(reason: NotRun) -> Self {
        let code = match reason {
            NotRun::TeamLimit => ErrorCode::Limit,
            NotRun::TicketReused => ErrorCode::KeyReused,
            NotRun::TicketMissing => ErrorCode::Malformed,
            NotRun::NoService => ErrorCode::NotFound,
            NotRun::NoServer
            | NotRun::QueueFull
            | NotRun::Deadline
            | NotRun::Leaving
            | NotRun::TicketExpired
            | NotRun::TicketRefused
            | NotRun::Isolated => ErrorCode::NotRun,
        };
        Self::new(code, reason.to_string())
    }
}

impl From<Unknown> for ApiError {
    fn from(reason: Unknown) -> Self {
        Self::new(ErrorCode::Unknown, reason.to_string())
    }
}

//! Errors of configuration changes.

use hyssop_core::{ServiceName, TeamName};

/// Result of operations on the configuration.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Reason for rejecting a change before it is written to the log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[non_exhaustive]
pub enum Error {
    /// A field has a value that is not allowed.
    #[error(transparent)]
    Value(#[from] hyssop_core::Error),
    /// The document in force belongs to another team.
    #[error("team: document {service} belongs to team {owner}; allowed: changes by team {owner}")]
    TeamMismatch {
        /// Service that the document describes.
        service: ServiceName,
        /// Team that owns the document in force.
        owner: TeamName,
    },
}

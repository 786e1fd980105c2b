//! Arguments of the commands about service documents.

use argh::FromArgs;
use hyssop_core::ServiceName;

/// Put a service document in force and show what differs from the one before.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// file with the document in TOML, or - after -- for standard input
    #[argh(positional)]
    pub(crate) file: String,
    /// version that the document replaces, 0 for a new one (default: the version in force)
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
    /// check and show the difference only
    #[argh(switch)]
    pub(crate) dry_run: bool,
}

/// Show a service document in TOML, ready to be edited and applied.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "get")]
pub(crate) struct Get {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: ServiceName,
}

/// List the service documents in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct List {}

/// Show the versions of a service document and what each changed.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: ServiceName,
}

/// Remove a service document; its service then runs nothing.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Remove {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: ServiceName,
    /// version that is removed (default: the version in force)
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
}

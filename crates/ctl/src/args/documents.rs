//! Arguments of the commands for service documents.

use argh::FromArgs;
use hyssop_core::ServiceName;

/// Put a service document in force and show its differences from the current one.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct Apply {
    /// file with the document in TOML, or - after -- for standard input
    #[argh(positional)]
    pub(crate) file: String,
    /// version that the document replaces, 0 for a new one (default: the version in force)
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
    /// only check the document and show the differences
    #[argh(switch)]
    pub(crate) dry_run: bool,
}

/// Show a service document in TOML, in a form that can be edited and applied.
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

/// Show the versions of a service document and their changes.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "history")]
pub(crate) struct History {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: ServiceName,
}

/// Remove a service document; its service then stops running.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "remove")]
pub(crate) struct Remove {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: ServiceName,
    /// version to remove (default: the version in force)
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
}

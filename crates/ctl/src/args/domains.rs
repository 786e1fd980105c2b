//! Arguments of the commands for failure domains and quotas.

use argh::FromArgs;
use hyssop_core::{DomainName, TeamName};

/// Show failure domains, take them out of service and bring them back.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "domain")]
pub(crate) struct Domain {
    #[argh(subcommand)]
    pub(crate) command: DomainCommand,
}

/// Subcommands of `domain`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum DomainCommand {
    List(DomainList),
    Out(DomainOut),
    Back(DomainBack),
}

/// List the failure domains with their phase and load.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct DomainList {}

/// Take a failure domain out of service: it accepts no new work and is drained.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "out")]
pub(crate) struct DomainOut {
    /// name of the failure domain
    #[argh(positional)]
    pub(crate) domain: DomainName,
    /// take it out even if the remaining domains lack capacity for all work
    #[argh(switch)]
    pub(crate) force: bool,
    /// only report whether the remaining domains have enough capacity
    #[argh(switch)]
    pub(crate) dry_run: bool,
    /// wait until the domain is empty
    #[argh(switch)]
    pub(crate) wait: bool,
    /// seconds after which the wait ends with exit code 1 (default: no limit)
    #[argh(option, arg_name = "seconds")]
    pub(crate) wait_limit: Option<u64>,
    /// version of the domain's state that is replaced (default: the version in force)
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
}

/// Bring a failure domain back into service: work is placed there again.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "back")]
pub(crate) struct DomainBack {
    /// name of the failure domain
    #[argh(positional)]
    pub(crate) domain: DomainName,
    /// wait until the domain is in service again
    #[argh(switch)]
    pub(crate) wait: bool,
    /// seconds after which the wait ends with exit code 1 (default: no limit)
    #[argh(option, arg_name = "seconds")]
    pub(crate) wait_limit: Option<u64>,
    /// version of the domain's state that is replaced (default: the version in force)
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
}

/// Show and set the quotas of teams.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "quota")]
pub(crate) struct Quota {
    #[argh(subcommand)]
    pub(crate) command: QuotaCommand,
}

/// Subcommands of `quota`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum QuotaCommand {
    List(QuotaList),
    Set(QuotaSet),
}

/// List the quotas in force.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct QuotaList {}

/// Set the resources that a team may have allocated at a time, over all domains.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "set")]
pub(crate) struct QuotaSet {
    /// name of the team
    #[argh(positional)]
    pub(crate) of: TeamName,
    /// processors, in thousandths of a core
    #[argh(option, arg_name = "millicores")]
    pub(crate) cpu: u32,
    /// memory, in MiB
    #[argh(option, arg_name = "mib")]
    pub(crate) mem: u32,
    /// accelerators (default 0)
    #[argh(option, default = "0", arg_name = "number")]
    pub(crate) accel: u32,
    /// version of the quota that is replaced (default: the version in force)
    #[argh(option, arg_name = "version")]
    pub(crate) base: Option<u64>,
}

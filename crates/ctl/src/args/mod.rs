//! Command line arguments.

mod documents;
mod domains;
mod fleet;
mod jobs;

use argh::FromArgs;
use hyssop_core::TeamName;

pub(crate) use documents::{Apply, Get, History, List, Remove};
pub(crate) use domains::{Domain, DomainBack, DomainCommand, DomainOut};
pub(crate) use domains::{Quota, QuotaCommand, QuotaSet};
pub(crate) use fleet::{Explain, ExplainCommand, Status, TicketArgs, Version, Worker};
pub(crate) use jobs::{Cancel, Job, JobCommand, JobShow, Jobs, ResultArgs, Submit};

/// Name of the program in help and errors.
const PROGRAM: &str = "hyssopctl";
/// Global options that take a value.
const GLOBAL_OPTIONS: [&str; 4] = ["--entry", "--token", "--team", "--timeout"];
/// Global switches.
const GLOBAL_SWITCHES: [&str; 1] = ["--json"];

/// Controls hyssoptrack: service documents, failure domains, quotas and jobs.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Apply a document, look at what would change first:\n  {command_name} apply --dry-run examples/haugland.planner.toml\n  {command_name} apply examples/haugland.planner.toml",
    example = "Take a failure domain out for cleaning and wait until it is empty:\n  {command_name} domain out bergen-a --wait",
    note = "Global options may stand before or after the command. Addresses of entries are\nplain http://ip:port. With several, the next one is tried when one does not\nanswer; a call that takes effect each time is never repeated.",
    note = "Changes carry the version that they replace (--base, by default the one in\nforce), so that of two operators one wins and the other gets exit code 3.",
    error_code(0, "ok"),
    error_code(1, "refused, or a wait that ran out; a refused change is not in force"),
    error_code(
        2,
        "usage: the command line is wrong or a file cannot be read; nothing was sent"
    ),
    error_code(3, "conflict: another operator's change or another receipt came first"),
    error_code(4, "not reachable: no entry answered, nothing was changed"),
    error_code(
        5,
        "outcome unknown: the change may be in force; see the printed next step"
    )
)]
pub(crate) struct Args {
    /// address of an entry, http://ip:port; may be repeated or hold a comma list
    /// (env HYSSOP_ENTRY)
    #[argh(option, arg_name = "address")]
    pub(crate) entry: Vec<String>,
    /// token of the operator or team; the environment keeps it out of process lists
    /// (env HYSSOP_TOKEN)
    #[argh(option, arg_name = "token")]
    pub(crate) token: Option<String>,
    /// team for which an operator's token calls (env HYSSOP_TEAM)
    #[argh(option, arg_name = "team")]
    pub(crate) team: Option<TeamName>,
    /// seconds to wait for an answer of one entry (default 10)
    #[argh(option, arg_name = "seconds")]
    pub(crate) timeout: Option<u64>,
    /// write results and errors as JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Commands.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Apply(Apply),
    Get(Get),
    List(List),
    History(History),
    Remove(Remove),
    Domain(Domain),
    Quota(Quota),
    Submit(Submit),
    Jobs(Jobs),
    Job(Job),
    Cancel(Cancel),
    Result(ResultArgs),
    Status(Status),
    Worker(Worker),
    Explain(Explain),
    Ticket(TicketArgs),
    Version(Version),
}

/// What a command line asks for.
#[derive(Debug)]
pub(crate) enum Parsed {
    /// A command.
    Run(Box<Args>),
    /// Help, with its text.
    Help(String),
    /// Nothing valid, with the reason.
    Usage(String),
}

/// Parses a command line without the program name.
pub(crate) fn parse(args: &[String]) -> Parsed {
    let args = move_global_options_first(args);
    let texts: Vec<&str> = args.iter().map(String::as_str).collect();
    match Args::from_args(&[PROGRAM], &texts) {
        Ok(args) => Parsed::Run(Box::new(args)),
        Err(exit) if exit.status.is_ok() => Parsed::Help(exit.output),
        Err(exit) => Parsed::Usage(exit.output.trim().to_owned()),
    }
}

/// Moves the global options before the command, where the parser expects them.
fn move_global_options_first(args: &[String]) -> Vec<String> {
    let mut global = Vec::new();
    let mut rest = Vec::new();
    let mut args = args.iter().cloned();
    while let Some(arg) = args.next() {
        if arg == "--" {
            rest.push(arg);
            rest.extend(args.by_ref());
        } else if GLOBAL_SWITCHES.contains(&arg.as_str()) {
            global.push(arg);
        } else if GLOBAL_OPTIONS.contains(&arg.as_str()) {
            global.push(arg);
            global.extend(args.next());
        } else {
            rest.push(arg);
        }
    }
    global.extend(rest);
    global
}

//! Parsing of the command line.

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

/// Name of the program in the help and in errors.
const PROGRAM: &str = "hyssopctl";
/// Global options with a value, accepted before and after the command.
const GLOBAL_OPTIONS: [&str; 4] = ["--entry", "--token", "--team", "--timeout"];
/// Global options without a value, accepted before and after the command.
const GLOBAL_SWITCHES: [&str; 1] = ["--json"];

/// Controls hyssoptrack: service documents, failure domains, quotas and jobs.
#[derive(Debug, FromArgs)]
#[argh(
    example = "Apply a document, after checking what would change:\n  {command_name} apply --dry-run examples/haugland.planner.toml\n  {command_name} apply examples/haugland.planner.toml",
    example = "Take a failure domain out of service and wait until it is empty:\n  {command_name} domain out bergen-a --wait",
    note = "Global options may precede or follow the command. Addresses of entries are\nplain http://ip:port. With several, the next one is tried when one does not\nanswer; a call that is not idempotent is never repeated.",
    note = "Changes carry the version that they replace (--base, by default the one in\nforce), so that of two concurrent changes one fails with exit code 3.",
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
    /// address of an entry, http://ip:port; may be repeated or be a comma-separated list
    /// (env HYSSOP_ENTRY)
    #[argh(option, arg_name = "address")]
    pub(crate) entry: Vec<String>,
    /// token of the operator or team; the environment keeps it out of process lists
    /// (env HYSSOP_TOKEN)
    #[argh(option, arg_name = "token")]
    pub(crate) token: Option<String>,
    /// team on whose behalf an operator calls (env HYSSOP_TEAM)
    #[argh(option, arg_name = "team")]
    pub(crate) team: Option<TeamName>,
    /// seconds to wait for the response of one entry (default 10)
    #[argh(option, arg_name = "seconds")]
    pub(crate) timeout: Option<u64>,
    /// write results and errors as JSON
    #[argh(switch)]
    pub(crate) json: bool,
    #[argh(subcommand)]
    pub(crate) command: Command,
}

/// Commands of the program.
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

/// Result of parsing a command line.
#[derive(Debug)]
pub(crate) enum Parsed {
    /// A valid command to run.
    Run(Box<Args>),
    /// A request for help, with the text to print.
    Help(String),
    /// An invalid command line, with the error message.
    Usage(String),
}

/// Parses a command line. `args` excludes the program name.
pub(crate) fn parse(args: &[String]) -> Parsed {
    let args = move_global_options_first(args);
    let texts: Vec<&str> = args.iter().map(String::as_str).collect();
    match Args::from_args(&[PROGRAM], &texts) {
        Ok(args) => Parsed::Run(Box::new(args)),
        Err(exit) if exit.status.is_ok() => Parsed::Help(exit.output),
        Err(exit) => Parsed::Usage(exit.output.trim().to_owned()),
    }
}

/// Moves the global options in front of the command, because the parser accepts them only there.
/// Arguments after `--` stay in place.
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

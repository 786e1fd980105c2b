//! Arguments of the commands that show the state of the fleet.

use argh::FromArgs;
use hyssop_core::{JobId, ServiceName, WorkerName};

/// Show the state of the entry that answers: freshness, cells, backend servers and peers.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct Status {}

/// Show the decisions about a worker and the team's jobs on it.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "worker")]
pub(crate) struct Worker {
    /// name of the worker
    #[argh(positional)]
    pub(crate) worker: WorkerName,
}

/// Show recent decisions with their reasons.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "explain")]
pub(crate) struct Explain {
    #[argh(subcommand)]
    pub(crate) command: ExplainCommand,
}

/// Subcommands of `explain`, one for each kind of subject.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum ExplainCommand {
    Job(ExplainJob),
    Worker(ExplainWorker),
    Service(ExplainService),
}

/// Explain the placement of a job, or why it does not run.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct ExplainJob {
    /// identifier of the job
    #[argh(positional)]
    pub(crate) name: JobId,
}

/// Explain throttling, paused placements and quarantine of a worker.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "worker")]
pub(crate) struct ExplainWorker {
    /// name of the worker
    #[argh(positional)]
    pub(crate) name: WorkerName,
}

/// Explain the placement and protection of a service.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "service")]
pub(crate) struct ExplainService {
    /// name of the service
    #[argh(positional)]
    pub(crate) name: ServiceName,
}

/// Issue tickets, the request keys of non-idempotent requests.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "ticket")]
pub(crate) struct TicketArgs {
    /// name of the service
    #[argh(positional)]
    pub(crate) service: ServiceName,
    /// number of tickets, 1 to 16 (default 1)
    #[argh(option, default = "1", arg_name = "number")]
    pub(crate) count: u32,
}

/// Show the version of this program.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "version")]
pub(crate) struct Version {}

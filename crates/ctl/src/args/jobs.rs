//! Arguments of the commands for jobs.

use argh::FromArgs;
use hyssop_core::{Class, DomainName, JobId, ServiceName};

/// Submit a job that runs to completion exactly once.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct Submit {
    /// name of the service whose document applies to the job
    #[argh(positional)]
    pub(crate) service: ServiceName,
    /// any text that identifies this submission; repeating it never creates a second job
    #[argh(option, arg_name = "key")]
    pub(crate) key: String,
    /// kind under which the result is counted, such as cut-list (default: the service)
    #[argh(option, arg_name = "kind")]
    pub(crate) kind: Option<ServiceName>,
    /// urgent or batch (default batch)
    #[argh(
        option,
        default = "Class::Batch",
        from_str_fn(parse_class),
        arg_name = "class"
    )]
    pub(crate) class: Class,
    /// processors, in thousandths of a core
    #[argh(option, arg_name = "millicores")]
    pub(crate) cpu: u32,
    /// memory, in MiB
    #[argh(option, arg_name = "mib")]
    pub(crate) mem: u32,
    /// accelerators (default 0)
    #[argh(option, default = "0", arg_name = "number")]
    pub(crate) accel: u32,
    /// expected run time on a worker without interference, in milliseconds
    #[argh(option, arg_name = "ms")]
    pub(crate) work: u64,
    /// failure domain in which the job may run; may be repeated (default: all that the
    /// document allows)
    #[argh(option, arg_name = "domain")]
    pub(crate) domain: Vec<DomainName>,
    /// input passed to the task (default: none)
    #[argh(option, default = "String::new()", arg_name = "text")]
    pub(crate) payload: String,
}

/// List the team's jobs.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "jobs")]
pub(crate) struct Jobs {
    /// only jobs of this service
    #[argh(option, arg_name = "service")]
    pub(crate) service: Option<ServiceName>,
}

/// Show a single job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct Job {
    #[argh(subcommand)]
    pub(crate) command: JobCommand,
}

/// Subcommands of `job`.
#[derive(Debug, FromArgs)]
#[argh(subcommand)]
pub(crate) enum JobCommand {
    Show(JobShow),
}

/// Show a job with its history.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct JobShow {
    /// identifier of the job
    #[argh(positional)]
    pub(crate) job: JobId,
}

/// Cancel a job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct Cancel {
    /// identifier of the job
    #[argh(positional)]
    pub(crate) job: JobId,
}

/// Fetch the result of a finished job.
#[derive(Debug, FromArgs)]
#[argh(subcommand, name = "result")]
pub(crate) struct ResultArgs {
    /// identifier of the job
    #[argh(positional)]
    pub(crate) job: JobId,
    /// any text that only you use; only the first receipt gets the result, and may fetch it again
    #[argh(option, arg_name = "receipt")]
    pub(crate) receipt: String,
}

fn parse_class(text: &str) -> Result<Class, String> {
    match text {
        "urgent" => Ok(Class::Urgent),
        "batch" => Ok(Class::Batch),
        _ => Err(format!("invalid class {text:?}; allowed: urgent, batch")),
    }
}

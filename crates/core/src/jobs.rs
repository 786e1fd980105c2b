//! Jobs as callers submit and see them, and the calls that entries forward to owners.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    Attempt, Class, DomainName, Explanation, JobId, Millis, Resources, ServiceName, TeamName,
    WorkerName,
};

/// What a team asks to be run to completion exactly once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identifier, derived from the team and the submission key.
    pub id: JobId,
    /// Team that pays for the job out of its quota.
    pub team: TeamName,
    /// Service whose document governs the job.
    pub service: ServiceName,
    /// Kind under which the result is counted, such as `cut-list`.
    pub kind: ServiceName,
    /// Class of the job.
    pub class: Class,
    /// Declared needs.
    pub needs: Resources,
    /// Declared work, in milliseconds on an unhindered worker.
    pub work: Millis,
    /// Domains in which the job may run; empty for all that the document allows.
    #[serde(default)]
    pub domains: SmallVec<[DomainName; 4]>,
    /// Opaque input handed to the task.
    #[serde(default)]
    pub payload: String,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// Accepted and waiting for a worker.
    Pending,
    /// An intent is written; the attempt may be running.
    Running,
    /// The worker of the running attempt cannot be reached.
    InDoubt,
    /// Finished; the result waits to be fetched.
    Finished,
    /// Finished, and a receipt has been given for the result.
    Fetched,
    /// Failed for good; the history says why.
    Failed,
    /// Cancelled by its team.
    Cancelled,
    /// Moved to another cell.
    Moved,
}

/// A job as its owner sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identifier.
    pub id: JobId,
    /// Team.
    pub team: TeamName,
    /// Service.
    pub service: ServiceName,
    /// Kind.
    pub kind: ServiceName,
    /// Class.
    pub class: Class,
    /// Phase.
    pub phase: JobPhase,
    /// Latest attempt, 0 before the first.
    pub attempt: Attempt,
    /// Worker of the latest attempt.
    pub worker: Option<WorkerName>,
    /// Evictions so far.
    pub evictions: u32,
    /// Latest explanations, oldest first.
    pub history: Vec<Explanation>,
}

/// A call about jobs that an entry forwards to the owner of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCall {
    /// Accepts a job.
    Submit(JobSpec),
    /// Shows a job.
    Show(JobId),
    /// Lists the jobs of a team.
    List(TeamName),
    /// Cancels a job.
    Cancel(JobId),
    /// Hands out the result against a receipt chosen by the caller.
    Fetch {
        /// Job whose result is asked for.
        job: JobId,
        /// Receipt; the first one settled gets the result.
        receipt: String,
    },
    /// Hands over a job that does not run; answered with the status once settled.
    Transfer {
        /// The job.
        spec: JobSpec,
        /// Last attempt used, 0 for none.
        attempt: Attempt,
        /// Work done at the last checkpoint, in milliseconds.
        checkpoint: u64,
    },
    /// Explains a job, worker or service.
    Explain(crate::Subject),
}

/// The owner's answer to a [`JobCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// State of one job.
    Status(JobStatus),
    /// States of several jobs.
    List(Vec<JobStatus>),
    /// Result of a finished job.
    Result {
        /// Job.
        job: JobId,
        /// Attempt that finished.
        attempt: Attempt,
        /// Result as the task gave it.
        result: String,
    },
    /// Explanations, oldest first.
    Explained(Vec<Explanation>),
    /// The job was handed to another cell; the call is to be made there.
    #[serde(rename = "Elsewhere")]
    Redirect(crate::CellId),
    /// The call was refused and changed nothing.
    Refused(Refusal),
    /// The log gave no clear answer; the same call may be made again.
    Unknown,
}

/// Why a call about jobs was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The job is not known here.
    #[error("job {0} is not known")]
    NotFound(JobId),
    /// This process does not own the cell, or is not fresh enough to decide.
    #[error("not the owner: {0}")]
    NotOwner(String),
    /// The job can never run; the text names the field and the allowed values.
    #[error("the job can never run: {0}")]
    #[serde(rename = "Never")]
    NeverRuns(String),
    /// The result is not there yet.
    #[error("the job has no result yet")]
    NotFinished,
    /// Another receipt has taken the result.
    #[error("the result was handed out under another receipt")]
    #[serde(rename = "Taken")]
    AlreadyFetched,
    /// The same identifier was submitted with other contents.
    #[error("the submission key was used for a different job")]
    Reused,
    /// A limit was reached.
    #[error("limit reached: {0}")]
    Limit(String),
}

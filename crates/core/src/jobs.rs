//! Specification and status of jobs, and the calls that entries forward to owners.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    Attempt, Class, Crashes, DomainName, Explanation, JobId, Millis, Resources, ServiceName,
    TeamName, WorkerName,
};

/// Specification of a job, which runs to completion exactly once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// Identifier, derived from the team and the submission key.
    pub id: JobId,
    /// Team that submitted the job; its quota limits the job's resources.
    pub team: TeamName,
    /// Service whose document governs the job.
    pub service: ServiceName,
    /// Label under which results are counted, such as `cut-list`.
    pub kind: ServiceName,
    /// Scheduling class: urgent or batch for submitted jobs.
    pub class: Class,
    /// Resources that the job declares.
    pub needs: Resources,
    /// Work that the job declares: its run time on a worker without interference.
    pub work: Millis,
    /// Failure domains in which the job may run; empty for all that the document allows.
    #[serde(default)]
    pub domains: SmallVec<[DomainName; 4]>,
    /// Opaque input that is passed to the task.
    #[serde(default)]
    pub payload: String,
}

/// Phase in the life cycle of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobPhase {
    /// Accepted, and waiting for a worker.
    Pending,
    /// An intent is committed; the attempt may be running.
    Running,
    /// The worker of the current attempt does not respond.
    InDoubt,
    /// Finished; the result has not been fetched.
    Finished,
    /// Finished, and the result was fetched with a receipt.
    Fetched,
    /// Failed permanently; the history states the cause.
    Failed,
    /// Cancelled by its team.
    Cancelled,
    /// Transferred to another cell.
    Moved,
}

/// State of a job as reported by its owner.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobStatus {
    /// Identifier of the job.
    pub id: JobId,
    /// Team that submitted the job.
    pub team: TeamName,
    /// Service whose document governs the job.
    pub service: ServiceName,
    /// Label under which the result is counted.
    pub kind: ServiceName,
    /// Scheduling class of the job.
    pub class: Class,
    /// Current phase.
    pub phase: JobPhase,
    /// Number of the latest attempt, 0 before the first.
    pub attempt: Attempt,
    /// Worker of the latest attempt; `None` before the first.
    pub worker: Option<WorkerName>,
    /// Number of times that the job was evicted.
    pub evictions: u32,
    /// Most recent explanations, oldest first.
    pub history: Vec<Explanation>,
}

/// A call about jobs that an entry forwards to the owner of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobCall {
    /// Submits a job. The reply is the status of the accepted job.
    Submit(JobSpec),
    /// Requests the status of a job.
    Show(JobId),
    /// Requests the statuses of all jobs of a team.
    List(TeamName),
    /// Cancels a job.
    Cancel(JobId),
    /// Fetches the result of a job.
    Fetch {
        /// Job whose result is requested.
        job: JobId,
        /// Receipt chosen by the caller; the first one committed gets the result.
        receipt: String,
    },
    /// Transfers a job that is not running from another cell. The reply is its status, sent once
    /// the transfer is committed.
    Transfer {
        /// Specification of the job.
        spec: JobSpec,
        /// Number of the last attempt, 0 for none.
        attempt: Attempt,
        /// Work done at the last checkpoint, in milliseconds.
        checkpoint: u64,
    },
    /// Requests the explanations about a job, a worker or a service.
    Explain(crate::Subject),
    /// A [`JobCall::Transfer`] of a job under which workers have crashed. It is a variant of its own
    /// because the encoding between entries does not allow new fields.
    TransferWithCrashes {
        /// Specification of the job.
        spec: JobSpec,
        /// Number of the last attempt, 0 for none.
        attempt: Attempt,
        /// Work done at the last checkpoint, in milliseconds.
        checkpoint: u64,
        /// Crashes of workers under its attempts.
        crashes: Crashes,
    },
    /// Reports the result of an attempt that was given up before its job was transferred. The reply
    /// is the job's status; the caller repeats the call until that is of an ended job. An entry of a
    /// version without this call cannot decode it and closes the connection.
    LateResult {
        /// Job to which the result belongs.
        job: JobId,
        /// Number of the attempt that finished.
        attempt: Attempt,
        /// Result as returned by the task.
        result: String,
    },
}

impl JobCall {
    /// Returns the call that transfers a job.
    #[must_use]
    pub fn transfer(spec: JobSpec, attempt: Attempt, checkpoint: u64, crashes: Crashes) -> Self {
        if crashes.is_empty() {
            Self::Transfer {
                spec,
                attempt,
                checkpoint,
            }
        } else {
            Self::TransferWithCrashes {
                spec,
                attempt,
                checkpoint,
                crashes,
            }
        }
    }
}

/// The owner's reply to a [`JobCall`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobReply {
    /// Status of one job.
    Status(JobStatus),
    /// Statuses of several jobs.
    List(Vec<JobStatus>),
    /// Result of a finished job.
    Result {
        /// Job to which the result belongs.
        job: JobId,
        /// Number of the attempt that finished.
        attempt: Attempt,
        /// Result as returned by the task.
        result: String,
    },
    /// Explanations, oldest first.
    Explained(Vec<Explanation>),
    /// The job was transferred to this cell; the caller repeats the call there.
    #[serde(rename = "Elsewhere")]
    Redirect(crate::CellId),
    /// The call was refused and changed nothing.
    Refused(Refusal),
    /// The log did not confirm or reject the change; the caller may repeat the same call.
    Unknown,
}

/// Reason for which a call about jobs was refused.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
pub enum Refusal {
    /// The cell has no such job.
    #[error("job {0} is not known")]
    NotFound(JobId),
    /// This process does not own the cell, or its configuration is not confirmed fresh.
    #[error("not the owner: {0}")]
    NotOwner(String),
    /// The job can never run; the text states the field and the allowed values.
    #[error("the job can never run: {0}")]
    #[serde(rename = "Never")]
    NeverRuns(String),
    /// The job has not finished.
    #[error("the job has no result yet")]
    NotFinished,
    /// The result was fetched with another receipt.
    #[error("the result was handed out under another receipt")]
    #[serde(rename = "Taken")]
    AlreadyFetched,
    /// The same identifier was submitted with different contents.
    #[error("the submission key was used for a different job")]
    Reused,
    /// A limit was reached; the text states which.
    #[error("limit reached: {0}")]
    Limit(String),
}

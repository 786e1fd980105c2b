//! Ledger of the task changes on a worker, from which tests check the scheduler's guarantees.

use hyssop_core::{Attempt, Incarnation, JobId, Millis, Resources, Term, WorkerName};
use serde::{Deserialize, Serialize};

/// Maximum number of recorded entries; the oldest are dropped first.
pub(super) const MAX_LEDGER_ENTRIES: usize = 1 << 20;

/// Kind of change in the state of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskChange {
    /// The task started.
    Started,
    /// The task completed its work.
    Finished,
    /// The task failed.
    Failed,
    /// The task was checkpointed and stopped by an order.
    Evicted,
    /// The task was stopped because its lease had expired.
    Lapsed,
    /// The task was stopped by an order without a checkpoint, or replaced by a later attempt.
    Stopped,
    /// The task ended because the worker stopped.
    Killed,
}

/// Change of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Time of the change on the worker's clock.
    pub at: Millis,
    /// Job that the task belongs to.
    pub job: JobId,
    /// Attempt of the job that the task is.
    pub attempt: Attempt,
    /// Highest term received in a poll by then; `None` before the first poll.
    pub term: Option<Term>,
    /// Resources allocated to the task.
    pub needs: Resources,
    /// Work done by then, in milliseconds, including work resumed from an earlier attempt.
    #[serde(rename = "done")]
    pub work_done: u64,
    /// Kind of change.
    pub change: TaskChange,
}

/// Response to `GET /v1/ledger`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLedger {
    /// Name of the worker.
    pub worker: WorkerName,
    /// Incarnation of the worker.
    pub incarnation: Incarnation,
    /// Unix time at which the worker's clock showed 0.
    #[serde(rename = "epoch")]
    pub clock_start: Millis,
    /// Changes, oldest first.
    pub entries: Vec<LedgerEntry>,
}

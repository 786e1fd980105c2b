//! Record of everything that a worker ran, for checks of the guarantees.

use hyssop_core::{Attempt, Incarnation, JobId, Millis, Resources, Term, WorkerName};
use serde::{Deserialize, Serialize};

/// Most entries kept; the oldest are dropped first.
pub(super) const MAX_ENTRIES: usize = 1 << 20;

/// What changed about a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskChange {
    /// It started.
    Started,
    /// It finished.
    Finished,
    /// It failed.
    Failed,
    /// It was checkpointed and stopped by order.
    Evicted,
    /// It was stopped because its lease had lapsed.
    Lapsed,
    /// It was stopped by order without a checkpoint, or replaced by a later attempt.
    Stopped,
    /// It ended with the worker.
    Killed,
}

/// One change of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerEntry {
    /// Time on the worker's clock.
    pub at: Millis,
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: Attempt,
    /// Highest term seen at that time.
    pub term: Option<Term>,
    /// Promised resources.
    pub needs: Resources,
    /// Work done by then, in milliseconds, including what an earlier attempt had done.
    #[serde(rename = "done")]
    pub work_done: u64,
    /// What changed.
    pub change: TaskChange,
}

/// Answer to `GET /v1/ledger`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerLedger {
    /// Worker.
    pub worker: WorkerName,
    /// Life of the worker.
    pub incarnation: Incarnation,
    /// Time since the Unix epoch at which the worker's clock showed 0.
    #[serde(rename = "epoch")]
    pub clock_start: Millis,
    /// Changes, oldest first.
    pub entries: Vec<LedgerEntry>,
}

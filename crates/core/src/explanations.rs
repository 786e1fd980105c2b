//! Typed reasons for decisions that a person may ask about.

use serde::{Deserialize, Serialize};

use crate::{Attempt, DomainName, JobId, Millis, ServiceName, Term, WorkerName};

/// What an explanation is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// A job.
    Job(JobId),
    /// A worker.
    Worker(WorkerName),
    /// A service.
    Service(ServiceName),
}

/// One decision and its reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Time of the decision on the decider's clock.
    pub at: Millis,
    /// Reason.
    pub reason: Reason,
}

/// Why something was done or not done.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Reason {
    /// An attempt was placed.
    #[error(
        "attempt {attempt} placed on {worker}: {candidates} candidates, slowdown estimate {slowdown} percent"
    )]
    Placed {
        /// Attempt.
        attempt: Attempt,
        /// Worker.
        worker: WorkerName,
        /// Workers that had room.
        candidates: u32,
        /// Estimated slowdown of the residents, in percent.
        slowdown: u32,
    },
    /// No worker has room.
    #[error("no worker has room; the nearest lacks {missing}")]
    #[serde(rename = "no-room")]
    NoCapacity {
        /// Resource that is short.
        #[serde(rename = "lacks")]
        missing: String,
    },
    /// The team's quota is used up.
    #[error("the team's quota in this cell is used up")]
    QuotaFull,
    /// The job can never run.
    #[error("can never run: {0}")]
    #[serde(rename = "never")]
    NeverRuns(String),
    /// The failure domain is out of service.
    #[error("failure domain {0} is out of service")]
    DomainOut(DomainName),
    /// The owner cannot prove that its configuration is fresh.
    #[error("the configuration is not proved fresh; nothing starts")]
    #[serde(rename = "stale")]
    StaleConfig,
    /// The owner waits for inventories after a takeover.
    #[error("waiting for the worker of attempt {0} to answer or its lease to lapse")]
    InDoubt(Attempt),
    /// A task was throttled.
    #[error("throttled to {percent} percent on {worker} for {victim}")]
    Throttled {
        /// Worker.
        worker: WorkerName,
        /// Share of its speed left to the task.
        percent: u32,
        /// Service that is protected.
        victim: ServiceName,
    },
    /// A task was evicted.
    #[error("attempt {attempt} evicted from {worker}: {cause}")]
    Evicted {
        /// Attempt.
        attempt: Attempt,
        /// Worker.
        worker: WorkerName,
        /// Cause: `protect`, `preempt`, `drain` or `rebalance`.
        cause: String,
    },
    /// New placements on a worker are held.
    #[error("placements on {0} are held to protect its latency-critical tasks")]
    #[serde(rename = "held")]
    PlacementsPaused(WorkerName),
    /// A worker is in quarantine.
    #[error("worker {0} is quarantined: {1}")]
    Quarantined(WorkerName, String),
    /// An attempt failed.
    #[error("attempt {0} failed on {1}: {2}")]
    AttemptFailed(Attempt, WorkerName, String),
    /// The next attempt waits.
    #[error("backing off for {0} ms after a failure")]
    Backoff(Millis),
    /// An attempt was lost with its worker.
    #[error("attempt {0} was lost with {1}")]
    Lost(Attempt, WorkerName),
    /// A job was paused for a move for longer than its document allows.
    #[error("paused for longer than the {allowed} s that the document allows")]
    PauseExceeded {
        /// Longest pause of the document, in seconds.
        allowed: u32,
    },
    /// As many instances of a service are away as its document allows.
    #[error("{0} instances are away, the most that the document allows; the next stop waits")]
    AwayLimit(u32),
    /// Starts are limited in each round, and others go first.
    #[error("waits for its turn; starts are limited in each round")]
    Queued,
    /// A record about the job is on its way to the log.
    #[error("a record about the job waits for the log")]
    #[serde(rename = "unsettled")]
    Uncommitted,
    /// A worker does not answer.
    #[error("worker {0} does not answer")]
    #[serde(rename = "silent")]
    Unresponsive(WorkerName),
    /// A result that nobody fetched was dropped to keep the cell's state within its bound.
    #[error("the result was dropped because too many results of the cell are not fetched")]
    ResultDropped,
    /// A worker states a term that the cell's stream does not have.
    #[error("worker {0} states term {1}, which the stream does not have; it counts as silent")]
    TermUnknown(WorkerName, Term),
    /// Other text, for decisions without a type of their own.
    #[error("{0}")]
    #[serde(rename = "note")]
    Other(String),
}

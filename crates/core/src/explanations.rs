//! Typed reasons for scheduling decisions, shown to operators and teams on request.

use serde::{Deserialize, Serialize};

use crate::{Attempt, DomainName, JobId, Millis, ServiceName, Term, WorkerName};

/// Entity whose decisions are explained.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// One job, with the decisions about its attempts.
    Job(JobId),
    /// One worker, with the decisions about its placements and quarantine.
    Worker(WorkerName),
    /// One service, with the decisions about its instances.
    Service(ServiceName),
}

/// A decision and the reason for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Explanation {
    /// Time of the decision on the clock of the process that made it.
    pub at: Millis,
    /// What was decided and for which reason.
    pub reason: Reason,
}

/// Reason for which the scheduler did something or did not do it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
#[non_exhaustive]
pub enum Reason {
    /// An attempt was placed on a worker.
    #[error(
        "attempt {attempt} placed on {worker}: {candidates} candidates, slowdown estimate {slowdown} percent"
    )]
    Placed {
        /// Number of the attempt.
        attempt: Attempt,
        /// Worker chosen.
        worker: WorkerName,
        /// Number of workers that had enough free capacity.
        candidates: u32,
        /// Estimated slowdown of the tasks already on the worker, in percent.
        slowdown: u32,
    },
    /// No worker has enough free capacity.
    #[error("no worker has room; the nearest lacks {missing}")]
    #[serde(rename = "no-room")]
    NoCapacity {
        /// Resources that the worker closest to fitting is short of.
        #[serde(rename = "lacks")]
        missing: String,
    },
    /// The team's share of its quota in this cell is used up.
    #[error("the team's quota in this cell is used up")]
    QuotaFull,
    /// The job can never run; the text states the cause.
    #[error("can never run: {0}")]
    #[serde(rename = "never")]
    NeverRuns(String),
    /// The failure domain is out of service.
    #[error("failure domain {0} is out of service")]
    DomainOut(DomainName),
    /// The owner has no recent freshness confirmation of its configuration.
    #[error("the configuration is not proved fresh; nothing starts")]
    #[serde(rename = "stale")]
    StaleConfig,
    /// The worker of an attempt has not responded, and the lease may still be running.
    #[error("waiting for the worker of attempt {0} to answer or its lease to lapse")]
    InDoubt(Attempt),
    /// A task was throttled.
    #[error("throttled to {percent} percent on {worker} for {victim}")]
    Throttled {
        /// Worker on which the task runs.
        worker: WorkerName,
        /// Share of the full speed that the task keeps, in percent.
        percent: u32,
        /// Latency-critical service that is protected.
        victim: ServiceName,
    },
    /// A task was evicted.
    #[error("attempt {attempt} evicted from {worker}: {cause}")]
    Evicted {
        /// Number of the attempt that was stopped.
        attempt: Attempt,
        /// Worker on which it ran.
        worker: WorkerName,
        /// Cause: `protect`, `preempt`, `drain` or `rebalance`.
        cause: String,
    },
    /// New placements on a worker are paused to protect its latency-critical tasks.
    #[error("placements on {0} are paused to protect its latency-critical tasks")]
    #[serde(rename = "held")]
    PlacementsPaused(WorkerName),
    /// A worker is in quarantine; the text states the cause.
    #[error("worker {0} is quarantined: {1}")]
    Quarantined(WorkerName, String),
    /// An attempt failed on a worker; the text states the cause.
    #[error("attempt {0} failed on {1}: {2}")]
    AttemptFailed(Attempt, WorkerName, String),
    /// The next attempt is delayed after a failure.
    #[error("backing off for {0} ms after a failure")]
    Backoff(Millis),
    /// An attempt was marked lost because its worker no longer responds.
    #[error("attempt {0} was lost with {1}")]
    Lost(Attempt, WorkerName),
    /// A move paused a job for longer than its document allows.
    #[error("paused for longer than the {allowed} s that the document allows")]
    PauseExceeded {
        /// Longest pause that the document allows, in seconds.
        allowed: u32,
    },
    /// As many instances of a service are unavailable as its document allows.
    #[error(
        "{0} instances are unavailable, the most that the document allows; the next stop is deferred"
    )]
    AwayLimit(u32),
    /// The limit on starts in each round was reached, and other jobs have priority.
    #[error("waits for its turn; starts are limited in each round")]
    Queued,
    /// A record about the job is not yet committed to the log.
    #[error("a record about the job is not yet committed to the log")]
    #[serde(rename = "unsettled")]
    Uncommitted,
    /// A worker does not respond to polls.
    #[error("worker {0} does not respond")]
    #[serde(rename = "silent")]
    Unresponsive(WorkerName),
    /// A result that was not fetched was dropped to bound the size of the cell's state.
    #[error("the result was dropped because the cell holds too many unfetched results")]
    ResultDropped,
    /// A worker reports a term that the cell's stream does not contain.
    #[error(
        "worker {0} reports term {1}, which the cell's stream does not contain; it counts as unresponsive"
    )]
    TermUnknown(WorkerName, Term),
    /// Decision that has no variant of its own, as text.
    #[error("{0}")]
    #[serde(rename = "note")]
    Other(String),
}

//! Checks the guarantees G1 to G10 on a stream of typed observations.
//!
//! Observations don't depend on their source, so the fault matrix, property tests and process tests
//! share the same checks. Each observation is checked when it arrives; a violation is stored with
//! its time and the number of the guarantee.

mod confs;
mod requests;
mod streams;
mod tasks;

use std::fmt;

use bytes::Bytes;
use hyssop_core::limits::{FRESHNESS_LIMIT, HEARTBEAT_INTERVAL, ORDER_TTL, PEER_TIMEOUT};
use hyssop_core::{
    AgentName, Attempt, CellId, CellRecord, Class, DomainName, DomainState, Envelope, Incarnation,
    JobId, Millis, Offset, Outcome, Resources, Ticket, Version, WorkerName,
};
use hyssop_route::LEAVE_GRACE;

/// Longest time from the acceptance of a change until it takes effect everywhere.
pub const CHANGE_DEADLINE: Millis = Millis(FRESHNESS_LIMIT.0 + ORDER_TTL.0);

/// Longest time from the acceptance of a removal until its backend servers get no new work. An
/// entry that missed the change must lose its confirmed configuration or its majority, the agent
/// must stop counting that entry's last reply, and requests queued at the agent have the gate's
/// grace period.
pub const REMOVAL_DEADLINE: Millis =
    Millis(FRESHNESS_LIMIT.0 + HEARTBEAT_INTERVAL.0 + PEER_TIMEOUT.0 + LEAVE_GRACE.0);

/// How a task ended on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// The task finished its work.
    Finished,
    /// The task was checkpointed and stopped, by an order or because its lease had expired.
    Evicted,
    /// The task failed, was stopped without a checkpoint, or ended with its worker's process.
    Aborted,
}

/// Configuration that a daemon (an entry or an agent) holds at one time.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfStatus {
    /// Name of the entry or agent.
    pub daemon: String,
    /// Incarnation of the daemon's process.
    pub incarnation: Incarnation,
    /// First offset of the configuration stream that the daemon has not applied.
    pub applied: Offset,
    /// Highest version of any document, domain or quota in the daemon's view.
    pub version: Version,
    /// Whether the daemon considers its configuration fresh.
    pub is_fresh: bool,
    /// Time since which the daemon runs and can reach a source of the configuration; `None` while
    /// it cannot.
    pub reachable_since: Option<Millis>,
}

/// An event in the system or at its callers and operators.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A worker's process started, with the worker's real capacity.
    WorkerRegistered {
        /// Name of the worker.
        worker: WorkerName,
        /// Failure domain of the process.
        domain: DomainName,
        /// Real capacity, which may differ from the capacity that the worker reports.
        capacity: Resources,
    },
    /// A task started on a worker.
    TaskStarted {
        /// Name of the worker.
        worker: WorkerName,
        /// Job of the task or result.
        job: JobId,
        /// Attempt number, unique per job.
        attempt: Attempt,
        /// Class of the task; most checks exclude latency-critical tasks.
        class: Class,
        /// Resources allocated to the task.
        needs: Resources,
        /// Work already done at the start, in milliseconds; 0 without a checkpoint.
        done: u64,
    },
    /// A task ended on a worker.
    TaskEnded {
        /// Name of the worker.
        worker: WorkerName,
        /// Job of the task or result.
        job: JobId,
        /// Attempt number, unique per job.
        attempt: Attempt,
        /// Reason of the end.
        end: TaskEnd,
    },
    /// A worker was paused and makes no progress from now on.
    WorkerFrozen(WorkerName),
    /// A paused worker resumed. Tasks whose leases expired meanwhile were reported as ended before.
    WorkerResumed(WorkerName),
    /// A record was appended to a cell's stream.
    RecordAppended {
        /// Cell of the stream.
        cell: CellId,
        /// Offset of the record in the stream.
        offset: Offset,
        /// Record with its writer and term.
        record: Envelope<CellRecord>,
    },
    /// A caller received the acceptance of a job.
    JobAccepted(JobId),
    /// A caller received the cancellation of a job.
    JobCancelled(JobId),
    /// A caller received the result of a job.
    ResultDelivered {
        /// Job of the task or result.
        job: JobId,
        /// Receipt under which the caller fetched the result.
        receipt: String,
        /// Result as returned to the caller.
        result: String,
    },
    /// A valid change of a domain's state was appended to the log.
    DomainChanged {
        /// Failure domain whose state changed.
        domain: DomainName,
        /// New state of the domain.
        state: DomainState,
    },
    /// An entry with a confirmed configuration and a majority of peers reported to an operator that
    /// a change of a domain's state is accepted.
    DomainReported {
        /// Failure domain whose state changed.
        domain: DomainName,
        /// New state of the domain.
        state: DomainState,
    },
    /// A change of the configuration was accepted under this version.
    ConfAccepted(Version),
    /// A daemon's configuration, sampled at each of its ticks.
    ConfReported(ConfStatus),
    /// A caller sent a request. A repeat under the same ticket has the same number.
    RequestSent {
        /// Number of the request, unique per run; repeats keep it.
        request: u64,
        /// Ticket that prevents a second run; `None` for idempotent requests.
        ticket: Option<Ticket>,
        /// Whether the request may run more than once.
        is_idempotent: bool,
        /// Response body that a backend server returns for this request.
        expected_body: Bytes,
    },
    /// A backend server exists behind an agent.
    ServerRegistered {
        /// Name of the agent in front of the backend server.
        agent: AgentName,
        /// Failure domain of the process.
        domain: DomainName,
    },
    /// A backend server started to run a request.
    RequestStarted {
        /// Name of the agent in front of the backend server.
        agent: AgentName,
        /// Number of the request, unique per run; repeats keep it.
        request: u64,
    },
    /// A backend server finished a request.
    RequestFinished {
        /// Name of the agent in front of the backend server.
        agent: AgentName,
        /// Number of the request, unique per run; repeats keep it.
        request: u64,
    },
    /// A caller received an outcome.
    ResponseReceived {
        /// Number of the request, unique per run; repeats keep it.
        request: u64,
        /// Outcome as returned to the caller.
        outcome: Outcome,
    },
    /// A planned stop of a backend server began, or its agent restarted.
    ServerLeaving {
        /// Name of the agent in front of the backend server.
        agent: AgentName,
        /// True at the start of a planned stop, false after the restart.
        is_leaving: bool,
    },
    /// A backend server and its agent stopped, as planned or because of a fault.
    ServerStopped {
        /// Name of the agent in front of the backend server.
        agent: AgentName,
        /// Whether the stop was planned; only planned stops must not cut off requests.
        is_planned: bool,
    },
}

/// A violated guarantee.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Number of the guarantee, 1 to 10; 0 for the exactly-once completion of accepted jobs.
    pub guarantee: u8,
    /// Virtual time of the observation that violates the guarantee.
    pub at: Millis,
    /// Description of the violation.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "G{} at {}: {}", self.guarantee, self.at, self.text)
    }
}

/// Collects the violations found by the checks.
#[derive(Debug, Default)]
pub(crate) struct Findings {
    now: Millis,
    list: Vec<Violation>,
}

impl Findings {
    pub(crate) fn add(&mut self, guarantee: u8, text: String) {
        let at = self.now;
        self.list.push(Violation {
            guarantee,
            at,
            text,
        });
    }
}

/// Checks observations against the guarantees.
#[derive(Debug, Default)]
pub struct Checker {
    findings: Findings,
    tasks: tasks::Tasks,
    streams: streams::Streams,
    requests: requests::Requests,
    confs: confs::Confs,
}

impl Checker {
    /// Creates a checker without observations.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Checks an observation made at `now`; the times of successive calls must not decrease.
    pub fn observe(&mut self, now: Millis, obs: &Observation) {
        self.findings.now = now;
        let findings = &mut self.findings;
        self.tasks.observe(now, obs, findings);
        self.streams.observe(obs, findings);
        self.requests.observe(now, obs, findings);
        self.confs.observe(now, obs, findings);
    }

    /// Returns the violations found so far, in the order of the observations.
    #[must_use]
    pub fn violations(&self) -> &[Violation] {
        &self.findings.list
    }

    /// Returns the accepted jobs that have neither finished nor been cancelled or abandoned.
    #[must_use]
    pub fn open_jobs(&self) -> Vec<JobId> {
        self.streams.open_jobs()
    }

    /// Returns the jobs that run in a failure domain and are not latency-critical.
    #[must_use]
    pub fn running_in(&self, domain: &DomainName) -> Vec<JobId> {
        self.tasks.running_in(domain)
    }
}

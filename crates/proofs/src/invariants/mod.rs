//! One checker of the guarantees G1 to G10, fed with typed observations.
//!
//! The observations carry no reference to where they come from, so that the fault matrix,
//! property tests and tests of processes can use the same checks. Each observation is judged when
//! it arrives; a violation is kept with its time and guarantee.

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

/// Time from the acceptance of a change until it is in force.
pub const CHANGE_DEADLINE: Millis = Millis(FRESHNESS_LIMIT.0 + ORDER_TTL.0);

/// Time from the acceptance of a removal until its backend servers get no new work: an entry that
/// does not know it loses its proof or its majority, the agent ceases to count that entry's last
/// word, and requests that wait there have the grace of the gate.
pub const REMOVAL_DEADLINE: Millis =
    Millis(FRESHNESS_LIMIT.0 + HEARTBEAT_INTERVAL.0 + PEER_TIMEOUT.0 + LEAVE_GRACE.0);

/// How a task ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskEnd {
    /// It finished.
    Finished,
    /// It was checkpointed and stopped, by order or because its lease had lapsed.
    Evicted,
    /// It failed, was stopped, or ended with its worker.
    Aborted,
}

/// Version and state of a daemon's configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfStatus {
    /// Daemon.
    pub daemon: String,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// First offset that is not applied.
    pub applied: Offset,
    /// Highest version of an entity.
    pub version: Version,
    /// Whether the daemon takes its configuration for fresh.
    pub is_fresh: bool,
    /// Time since which it reaches a source of the configuration and runs; `None` if it does not.
    pub reachable_since: Option<Millis>,
}

/// Something that was seen.
#[derive(Clone, Debug)]
pub enum Observation {
    /// A worker and what it has.
    WorkerRegistered {
        /// Worker.
        worker: WorkerName,
        /// Failure domain.
        domain: DomainName,
        /// Capacity.
        capacity: Resources,
    },
    /// A task started on a worker.
    TaskStarted {
        /// Worker.
        worker: WorkerName,
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
        /// Class.
        class: Class,
        /// Promised resources.
        needs: Resources,
        /// Work done at the start, in milliseconds.
        done: u64,
    },
    /// A task ended on a worker.
    TaskEnded {
        /// Worker.
        worker: WorkerName,
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
        /// How.
        end: TaskEnd,
    },
    /// A worker makes no progress from now on.
    WorkerFrozen(WorkerName),
    /// A worker goes on, and what its leases ended meanwhile was observed.
    WorkerResumed(WorkerName),
    /// A record was appended to a cell's stream.
    RecordAppended {
        /// Cell.
        cell: CellId,
        /// Offset.
        offset: Offset,
        /// Record.
        record: Envelope<CellRecord>,
    },
    /// A caller was told that a job is accepted.
    JobAccepted(JobId),
    /// A caller was told that a job is cancelled.
    JobCancelled(JobId),
    /// A caller got the result of a job.
    ResultDelivered {
        /// Job.
        job: JobId,
        /// Receipt.
        receipt: String,
        /// Result.
        result: String,
    },
    /// A change of a domain's state stands in the log and is valid there.
    DomainChanged {
        /// Domain.
        domain: DomainName,
        /// State.
        state: DomainState,
    },
    /// An operator was told that a change of a domain's state is accepted, by an entry that reaches
    /// the log and hears a majority.
    DomainReported {
        /// Domain.
        domain: DomainName,
        /// State.
        state: DomainState,
    },
    /// A change of the configuration was accepted.
    ConfAccepted(Version),
    /// Configuration of a daemon.
    ConfReported(ConfStatus),
    /// A caller sent a request. A repeat under the same ticket has the same number.
    RequestSent {
        /// Number of the request.
        request: u64,
        /// Request key.
        ticket: Option<Ticket>,
        /// Whether it may run more than once.
        is_idempotent: bool,
        /// The answer that a backend server gives to this request.
        expected_body: Bytes,
    },
    /// A backend server is there, behind an agent.
    ServerRegistered {
        /// Agent.
        agent: AgentName,
        /// Failure domain.
        domain: DomainName,
    },
    /// A request arrived at a backend server.
    RequestStarted {
        /// Agent.
        agent: AgentName,
        /// Number of the request.
        request: u64,
    },
    /// A backend server has finished a request.
    RequestFinished {
        /// Agent.
        agent: AgentName,
        /// Number of the request.
        request: u64,
    },
    /// A caller got an outcome.
    ResponseReceived {
        /// Number of the request.
        request: u64,
        /// Outcome.
        outcome: Outcome,
    },
    /// A backend server was told to leave or to return.
    ServerLeaving {
        /// Agent.
        agent: AgentName,
        /// Whether it leaves.
        is_leaving: bool,
    },
    /// A backend server and its agent ended: planned, or by a fault.
    ServerStopped {
        /// Agent.
        agent: AgentName,
        /// Whether the stop was planned.
        is_planned: bool,
    },
}

/// A guarantee that did not hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Violation {
    /// Number of the guarantee, 1 to 10; 0 for the exactly-once end of accepted jobs.
    pub guarantee: u8,
    /// Time.
    pub at: Millis,
    /// What was seen.
    pub text: String,
}

impl fmt::Display for Violation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "G{} at {}: {}", self.guarantee, self.at, self.text)
    }
}

/// Collects violations.
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
    /// Creates a checker that has seen nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Judges an observation.
    pub fn observe(&mut self, now: Millis, obs: &Observation) {
        self.findings.now = now;
        let findings = &mut self.findings;
        self.tasks.observe(now, obs, findings);
        self.streams.observe(obs, findings);
        self.requests.observe(now, obs, findings);
        self.confs.observe(now, obs, findings);
    }

    /// Returns what did not hold.
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

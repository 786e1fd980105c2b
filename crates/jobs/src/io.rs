//! Inputs and outputs of the owner.

use std::sync::Arc;

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

use crate::{JobId, JobSpec, Policy, QueueRule, Record, Resources, RunId, StepId, TaskId};

/// Number by which the driver finds the caller that waits for an answer.
pub type RequestId = u64;

/// What a caller asks.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Accept a job.
    Submit {
        /// Identifier chosen by the caller.
        job: JobId,
        /// Rules of the queue, as the entry knows them.
        rule: QueueRule,
        /// The job.
        spec: JobSpec,
    },
    /// Tell the state of a job.
    Show(JobId),
    /// Cancel a job.
    Cancel(JobId),
    /// Count the accepted jobs of a queue of which no task has started.
    Pending(Arc<str>),
}

/// State of a job as callers see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// No task has started.
    Queued,
    /// A task has started.
    Running,
    /// All tasks are done.
    Complete,
    /// A task has failed too often.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// Answer to a caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerResponse {
    /// The job is accepted and stored.
    Accepted,
    /// The job was not accepted and never runs, unless it is submitted again.
    Refused {
        /// Why.
        reason: String,
        /// When to come back.
        #[serde(rename = "retry")]
        retry_after: Millis,
    },
    /// The job cannot be accepted as it is.
    Invalid(String),
    /// State of the job.
    State(JobState),
    /// The cancellation is stored.
    Cancelled,
    /// No such job.
    Unknown,
    /// Jobs of the queue of which no task has started.
    Pending(u64),
}

/// State of a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// It takes tasks.
    Ready,
    /// It leaves.
    Draining,
}

/// A worker as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Identifier.
    pub id: Arc<str>,
    /// Start of this life, in milliseconds since 1970. A later life has a higher one.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Address of its own server. Of two lives with one address the earlier one has ended.
    pub address: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Failure domain.
    pub domain: Arc<str>,
    /// Labels, its rack among them.
    pub labels: Vec<Arc<str>>,
    /// Room.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// State.
    pub state: WorkerState,
}

impl WorkerInfo {
    /// Returns the rack, which is the last label.
    #[must_use]
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// A run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Run.
    pub run: RunId,
    /// Newest checkpoint.
    #[serde(rename = "saved")]
    pub checkpoint: Option<Arc<str>>,
    /// Share of its work that is done, in percent; 100 for a standing task that is at work.
    #[serde(rename = "done")]
    pub percent_done: u32,
    /// Tail latency in milliseconds for a task that serves, otherwise processors in use.
    #[serde(rename = "figure")]
    pub measurement: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// Its work is done.
    Done,
    /// It failed, by its own fault or the worker's.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease ended.
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// Another member of its gang ended.
    #[serde(rename = "Broken")]
    GangBroken,
    /// It waited too long for the other members of its gang.
    #[serde(rename = "Alone")]
    GangTimedOut,
}

/// The end of a run, as a worker lists it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Number of the end in this life of the worker, from 1.
    pub number: u64,
    /// Run.
    pub run: RunId,
    /// How it ended.
    pub kind: EndKind,
    /// Newest checkpoint.
    #[serde(rename = "saved")]
    pub checkpoint: Option<Arc<str>>,
}

/// Why a worker did not start a run. It never will.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// It has seen a higher fencing token.
    Fenced,
    /// A run with this number or a higher one was there already.
    Old,
    /// The lease ended before the order came.
    Late,
    /// It has no room.
    NoRoom,
    /// The ticket is missing or not valid any more.
    Ticket,
    /// It refused for another reason.
    Other,
}

/// What an agent reports of its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// All runs, if the report is complete or these were read anew.
    pub running: Option<Vec<RunStatus>>,
    /// Whether the report is complete: every run that is not in it, neither running nor ended, and
    /// was ordered before this session is gone.
    #[serde(rename = "complete")]
    pub is_complete: bool,
    /// Ends that are not acknowledged.
    pub ended: Vec<RunEnd>,
    /// Orders that were refused.
    pub refused: Vec<(RunId, Refusal)>,
    /// Whether the worker runs nothing for sure: it is gone, or its lease has ended.
    #[serde(rename = "dead")]
    pub is_dead: bool,
    /// Whether the worker does not answer at the moment.
    #[serde(rename = "stalled")]
    pub is_unresponsive: bool,
}

/// Where a step may run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Workers and their tickets.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// Time for which the tickets are valid.
    pub valid_for: Millis,
}

/// What a machine does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// It runs a worker.
    Up,
    /// It is down for upkeep.
    InMaintenance,
    /// It is on its way to another pool, or down for another reason.
    Unavailable,
}

/// A machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name, which stays with it over the lives of its workers.
    pub name: Arc<str>,
    /// State.
    pub state: MachineState,
    /// Identifier of its worker.
    pub worker: Option<Arc<str>>,
}

impl Machine {
    /// Returns whether it is up with another worker than this one.
    pub(crate) fn has_other(&self, worker: &Arc<str>) -> bool {
        self.state == MachineState::Up && self.worker.as_ref() != Some(worker)
    }
}

/// Answer to an order to take a machine down for upkeep.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceReply {
    /// Its upkeep has begun, now or earlier.
    Begun,
    /// It cannot go down at the moment.
    Busy,
    /// It does not exist or does not belong to the wave.
    Gone,
    /// No usable answer; the order may have been carried out.
    Unknown,
}

/// What happened.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Operators set a policy.
    Policy(Arc<Policy>),
    /// A caller asks.
    Request(RequestId, CallerRequest),
    /// A worker's agent has opened a session; orders of earlier sessions are void.
    Attach {
        /// Session.
        session: u64,
        /// The worker.
        worker: WorkerInfo,
    },
    /// The worker of a session has changed its state.
    WorkerChanged {
        /// Session.
        session: u64,
        /// The worker.
        worker: WorkerInfo,
    },
    /// An agent reports.
    Report {
        /// Session.
        session: u64,
        /// What it reports.
        report: Report,
    },
    /// The store proved at this time that the owner is still the owner.
    OwnershipConfirmed(Millis),
    /// A write is stored.
    WriteCompleted(u64),
    /// An answer to [`Output::ListMachines`], or none if there was none.
    MachineList(Option<Vec<Machine>>),
    /// An answer to [`Output::StartMaintenance`].
    MaintenanceReply {
        /// Wave.
        wave: u64,
        /// Machine.
        machine: Arc<str>,
        /// Answer.
        reply: MaintenanceReply,
    },
    /// An answer to [`Output::RequestAdvice`].
    AdviceReply {
        /// Step.
        step: StepId,
        /// The answer, if one came.
        advice: Option<Advice>,
    },
    /// The owner's clock started at this time of day, in milliseconds since 1970. It changes when the
    /// time of day is set.
    ClockOrigin(u64),
}

/// The start of a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Run.
    pub run: RunId,
    /// Text handed to the task.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// Checkpoint to resume from.
    #[serde(rename = "saved")]
    pub checkpoint: Option<Arc<str>>,
    /// Ticket for the worker, in queues that need one.
    pub ticket: Option<Arc<str>>,
}

/// An order to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Start a run.
    Start(Start),
    /// Stop a run.
    Stop(RunId),
    /// Let a run work at a share of its speed, in percent.
    Pace(RunId, u32),
}

impl Order {
    /// Returns the task that the order is about.
    #[must_use]
    pub const fn task(&self) -> TaskId {
        match self {
            Self::Start(Start { run, .. }) | Self::Stop(run) | Self::Pace(run, _) => run.task,
        }
    }
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Append these records at once, all or nothing, in the order of the numbers.
    Write {
        /// Number of the write, from 1.
        number: u64,
        /// Records.
        records: Vec<Record>,
    },
    /// Answer a caller.
    Response(RequestId, CallerResponse),
    /// Send orders to a worker.
    Orders {
        /// Session.
        session: u64,
        /// Orders, in this order.
        orders: Vec<Order>,
    },
    /// Let a worker forget its ends up to this number; they are stored.
    Acknowledge {
        /// Session.
        session: u64,
        /// Number of the last end.
        number: u64,
    },
    /// The session has ended; its agent has to open another.
    CloseSession(u64),
    /// List the machines.
    ListMachines,
    /// Take a machine down for the upkeep of a wave.
    StartMaintenance {
        /// Wave.
        wave: u64,
        /// Machine.
        machine: Arc<str>,
    },
    /// Tell operators how far a wave is.
    WaveStatus {
        /// Wave.
        wave: u64,
        /// Whether the upkeep of each machine that stays has begun.
        is_complete: bool,
    },
    /// Ask which of these workers may run a step.
    RequestAdvice {
        /// Step.
        step: StepId,
        /// Workers.
        workers: Vec<Arc<str>>,
    },
    /// A decision, for the log.
    Log(String),
}

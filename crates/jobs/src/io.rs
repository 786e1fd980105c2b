//! Inputs and outputs of the owner.

use std::sync::Arc;

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

use crate::{
    JobId, JobSpec, Key, Policy, QueueRule, Record, RenewalProof, Resources, RunId, StepId, TaskId,
};

/// Identifier that the driver gives to a request, to route the response to its caller.
pub type RequestId = u64;

/// Request of a caller.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum CallerRequest {
    /// Submits a job. Repeating it with the same identifier has no further effect.
    Submit {
        /// Identifier chosen by the caller.
        job: JobId,
        /// Rules of the queue as the receiving entry knows them.
        rule: QueueRule,
        /// Description of the job.
        spec: JobSpec,
    },
    /// Asks for the state of a job.
    Show(JobId),
    /// Cancels a job.
    Cancel(JobId),
    /// Counts the accepted jobs of a queue of which no worker has listed a run.
    Pending(Arc<str>),
}

/// State of a job as reported to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum JobState {
    /// The job is accepted, and it is not stored that a worker has listed a run of it.
    Queued,
    /// A worker has listed a run of the job or the end of one.
    Running,
    /// All tasks of all occurrences are done.
    Complete,
    /// A task has used up the attempts that its queue allows.
    Failed,
    /// The caller cancelled it.
    Cancelled,
}

/// Response to a [`CallerRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CallerResponse {
    /// The job is stored and will run.
    Accepted,
    /// The job is not stored. It never runs unless it is submitted again.
    Refused {
        /// Explanation for the caller.
        reason: String,
        /// Delay after which the caller may try again.
        #[serde(rename = "retry")]
        retry_after: Millis,
    },
    /// The job description is not valid, for this reason.
    Invalid(String),
    /// Current state of the job.
    State(JobState),
    /// The cancellation is stored, or the job had ended before.
    Cancelled,
    /// No job with this identifier is known.
    Unknown,
    /// Number of jobs of the queue that have not started any task.
    Pending(u64),
    /// The owner cannot prove that it still is the owner, so that its answer may be wrong. The
    /// request had no effect.
    Unconfirmed,
    /// The job is larger than the store takes, for this reason. It is not stored and never runs.
    TooLarge(String),
}

/// State that a worker announces.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum WorkerState {
    /// Accepts new tasks.
    Ready,
    /// Accepts no new tasks and will shut down.
    Draining,
}

/// Description that a worker announces of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerInfo {
    /// Identifier, unique in the fleet.
    pub id: Arc<str>,
    /// Start time of the worker process in milliseconds since 1970. A restarted process has a
    /// higher one.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Address of the worker's own server. If two incarnations or workers share an address, the one
    /// with the lower `incarnation` has ended.
    pub address: Arc<str>,
    /// Service that the worker belongs to. Only queues of this service use it.
    pub service: Arc<str>,
    /// Failure domain that the worker is in.
    pub domain: Arc<str>,
    /// Labels of the worker. The last one is its rack.
    pub labels: Vec<Arc<str>>,
    /// Resources that the worker offers to tasks in total.
    #[serde(rename = "room")]
    pub capacity: Resources,
    /// Whether the worker accepts new tasks.
    pub state: WorkerState,
}

impl WorkerInfo {
    /// Returns the rack, which is the last label. Absent if the worker has no labels.
    #[must_use]
    pub fn rack(&self) -> Option<&Arc<str>> {
        self.labels.last()
    }
}

/// Status of a run that a worker lists as running.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// Run that the status is about.
    pub run: RunId,
    /// Newest checkpoint, if the task has saved one.
    #[serde(rename = "saved")]
    pub checkpoint: Option<Arc<str>>,
    /// Completed share of the work in percent. A service task that is active reports 100.
    #[serde(rename = "done")]
    pub percent_done: u32,
    /// Tail latency in milliseconds for a latency-critical task; for others, the processors in use
    /// in thousandths of a core.
    #[serde(rename = "figure")]
    pub measurement: u64,
}

/// Outcome of a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndKind {
    /// The task completed its work.
    Done,
    /// The run failed, through a fault of the task or of the worker.
    Failed,
    /// The run was stopped by an order.
    Stopped,
    /// The worker's lease expired and the worker stopped the run.
    #[serde(rename = "Lapsed")]
    LeaseExpired,
    /// Another member of the gang ended first.
    #[serde(rename = "Broken")]
    GangBroken,
    /// The other members of the gang did not start in time.
    #[serde(rename = "Alone")]
    GangTimedOut,
}

/// End of a run as a worker lists it, until the owner acknowledges it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// Sequence number of the end within the worker's incarnation, from 1.
    pub number: u64,
    /// Run that ended.
    pub run: RunId,
    /// Outcome of the run.
    pub kind: EndKind,
    /// Newest checkpoint, if the task has saved one.
    #[serde(rename = "saved")]
    pub checkpoint: Option<Arc<str>>,
}

/// Reason why a run that was ordered is not on its worker. The worker never starts that run later.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Refusal {
    /// The worker has seen a higher fencing token, so the order is from an outdated owner.
    Fenced,
    /// The worker already had this run or a later one of the same task.
    Old,
    /// The lease expired before the order arrived.
    Late,
    /// The worker lacks free capacity.
    NoRoom,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// Any other reason.
    Other,
    /// The run of an [`Order::Canary`] was stopped before it could end as done, and its end is not listed.
    EndHidden,
    /// The run of an [`Order::Canary`] has ended, or a late start may have been executed and its run have
    /// ended; the end is not listed, and it may have ended as done.
    EndUnknown,
}

/// Report of an agent on its worker.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// All current runs of the worker. Present if the report is complete or the agent has read the
    /// list again since its last report.
    pub running: Option<Vec<RunStatus>>,
    /// Whether the report is complete. A run that was ordered before this session and is listed
    /// neither as running nor as ended no longer exists.
    #[serde(rename = "complete")]
    pub is_complete: bool,
    /// Ends of runs that the owner has not acknowledged yet.
    pub ended: Vec<RunEnd>,
    /// Runs that are not on the worker and have no listed end, with the reasons: mostly starts that it
    /// rejected.
    pub refused: Vec<(RunId, Refusal)>,
    /// Whether the worker certainly runs nothing: its process has ended or its lease has expired.
    #[serde(rename = "dead")]
    pub is_dead: bool,
    /// Whether the worker may have further runs or ends, which do not fit into its list or cannot be
    /// read. What is missing from such a report may be running or have ended.
    #[serde(default, rename = "more")]
    pub has_more_ends: bool,
    /// Whether the worker's process has ended without a planned end, as far as the agent can tell:
    /// nothing listens at its address, or another incarnation does. Implies `is_dead`.
    #[serde(rename = "crashed", default)]
    pub has_crashed: bool,
    /// Runs that may have been on a worker that has crashed, each with whether that is certain: it was
    /// listed, or this incarnation has confirmed its start. The worker has received no start of any other
    /// run. If absent, all runs that were ordered count as certain.
    #[serde(default, rename = "under")]
    pub crashed_runs: Option<Vec<(RunId, bool)>>,
    /// Starts that a later incarnation of the worker may still execute or have executed, each with the
    /// time for which that holds, 0 once no later one can. An end of such a run proves nothing about the
    /// start, since a repetition may have been executed.
    #[serde(default, rename = "late")]
    pub late_starts: Vec<(RunId, Millis)>,
    /// Those of `late_starts` and `void_starts` that were answered without showing by which incarnation.
    #[serde(default, rename = "answered")]
    pub answered_starts: Vec<RunId>,
    /// Longest time for which the worker may still hold a lease that calls of earlier sessions have set.
    /// They may have been meant for an earlier incarnation, whose clock was ahead. Only complete reports
    /// name it.
    #[serde(default, rename = "leased")]
    pub lease_remaining: Millis,
    /// In a complete report, the starts that the worker refuses because it has answered a call of a later
    /// session, and that its next incarnation may still execute, each with the time for which that holds.
    #[serde(default, rename = "void")]
    pub void_starts: Vec<(RunId, Millis)>,
    /// Whether the worker currently does not respond to its agent.
    #[serde(rename = "stalled")]
    pub is_unresponsive: bool,
    /// Whether ends of this incarnation of the worker may never be listed: an acknowledgement that was
    /// meant for an earlier one may have reached it. False once it has listed an end.
    #[serde(default, rename = "hides")]
    pub may_hide_ends: bool,
    /// In a complete report of a worker that may hide ends, the runs that this incarnation may have started
    /// by calls for an earlier one, and may have ended as done without listing the end.
    #[serde(default, rename = "unsettled")]
    pub unsettled_starts: Vec<RunId>,
}

/// Why a start may be executed by a later incarnation of its worker, or was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LateStartCause {
    /// The call got no answer.
    Unanswered,
    /// The call was answered, and the answer does not show which incarnation gave it.
    UnknownIncarnation,
}

impl LateStartCause {
    /// Returns the name in log lines and metrics.
    #[must_use]
    pub const fn name(self) -> &'static str {
        match self {
            Self::Unanswered => "unanswered",
            Self::UnknownIncarnation => "unknown_incarnation",
        }
    }
}

/// Reply of the platform's advice service: the workers that may run a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Advice {
    /// Eligible workers and the ticket for each of them.
    pub tickets: Vec<(Arc<str>, Arc<str>)>,
    /// Time for which the tickets are valid after they were issued.
    pub valid_for: Millis,
}

/// Outcome of a request for advice.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AdviceReply {
    /// The service has decided.
    Answered(Advice),
    /// The service rejects the request, because too many requests of this host wait there.
    Overloaded,
    /// There is no usable response. The service may still have the request in hand.
    Failed,
}

/// What the owner knows about its requests for advice.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AdviceStatus {
    /// Requests that the service has not answered, as far as the owner knows.
    pub open_calls: usize,
    /// Time from a request to its answer, of the last one that was answered.
    pub call_time: Millis,
    /// Time for which the step that has waited longest has needed an answer.
    pub oldest_wait: Millis,
}

/// State of a machine as the platform lists it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MachineState {
    /// The machine runs a worker.
    Up,
    /// The machine is down for maintenance.
    InMaintenance,
    /// The machine is moving to another pool, or is down for another reason.
    Unavailable,
}

/// Machine as the platform lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Machine {
    /// Name of the machine. It stays the same when the machine gets another worker.
    pub name: Arc<str>,
    /// Whether the machine is up.
    pub state: MachineState,
    /// Identifier of the machine's worker, if it has one.
    pub worker: Option<Arc<str>>,
}

impl Machine {
    /// Returns whether the machine is up and its worker is not this one.
    pub(crate) fn has_other(&self, worker: &Arc<str>) -> bool {
        self.state == MachineState::Up && self.worker.as_ref() != Some(worker)
    }
}

/// Reply to an order to take a machine down for maintenance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MaintenanceReply {
    /// The maintenance has begun, through this order or an earlier one.
    Begun,
    /// The machine cannot go down at the moment.
    Busy,
    /// The machine does not exist or is not part of the wave.
    Gone,
    /// No usable reply. The order may have been carried out.
    Unknown,
    /// The driver did not send the order, because its proof was no longer valid.
    NotSent,
}

/// Event that the driver passes to the owner.
#[derive(Clone, Debug, PartialEq)]
pub enum Input {
    /// Operators changed the policy. Versions below the current one are ignored.
    Policy(Arc<Policy>),
    /// A caller sent a request.
    Request(RequestId, CallerRequest),
    /// A worker's agent opened a session. Orders of earlier sessions are no longer delivered.
    Attach {
        /// Identifier of the new session.
        session: u64,
        /// Description of the worker.
        worker: WorkerInfo,
    },
    /// The worker of a session announced a changed description.
    WorkerChanged {
        /// Session of the worker's agent.
        session: u64,
        /// New description of the worker.
        worker: WorkerInfo,
    },
    /// An agent sent a report.
    Report {
        /// Session of the agent.
        session: u64,
        /// Contents of the report.
        report: Report,
    },
    /// At this time of the owner's clock, the store confirmed that this process is still the owner.
    OwnershipConfirmed(Millis),
    /// As [`Input::OwnershipConfirmed`], with a record that lets no other process claim for
    /// [`RENEWAL_VALIDITY`](crate::RENEWAL_VALIDITY) after this time.
    OwnershipRenewed(Millis),
    /// The write with this number is stored.
    WriteCompleted(u64),
    /// The write with this number is over. The store refuses the records with these keys for good,
    /// and has stored the others.
    WriteRefused {
        /// Number of the write.
        number: u64,
        /// Keys of the records that are not stored.
        refused: Vec<Key>,
    },
    /// Reply to [`Output::ListMachines`], or none if the list could not be read.
    MachineList(Option<Vec<Machine>>),
    /// Reply to [`Output::StartMaintenance`].
    MaintenanceReply {
        /// Number of the maintenance wave.
        wave: u64,
        /// Name of the machine.
        machine: Arc<str>,
        /// Result of the order.
        reply: MaintenanceReply,
    },
    /// Reply to [`Output::RequestAdvice`].
    AdviceReply {
        /// Number of the request.
        call: u64,
        /// Outcome of the request.
        reply: AdviceReply,
    },
    /// Wall-clock time at which the owner's monotonic clock read 0, in milliseconds since 1970. It
    /// changes when the wall clock is adjusted.
    ClockOrigin(u64),
}

/// Order to start a run.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// Run to start.
    pub run: RunId,
    /// Payload from the job description, passed to the task unchanged.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// Checkpoint to resume from, if the task has saved one.
    #[serde(rename = "saved")]
    pub checkpoint: Option<Arc<str>>,
    /// Ticket of the advice service, in queues that need one.
    pub ticket: Option<Arc<str>>,
}

/// Order from the owner to a worker.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
    /// Starts a run.
    Start(Start),
    /// Stops a run.
    Stop(RunId),
    /// Limits the speed of a run, in percent of full speed.
    Pace(RunId, u32),
    /// Starts a run only to learn whether the worker lists its end. The agent stops it before it can end
    /// as done.
    Canary(Start),
}

impl Order {
    /// Returns the run that the order applies to.
    #[must_use]
    pub const fn run(&self) -> RunId {
        match self {
            Self::Start(Start { run, .. })
            | Self::Canary(Start { run, .. })
            | Self::Stop(run)
            | Self::Pace(run, _) => *run,
        }
    }

    /// Returns the task that the order applies to.
    #[must_use]
    pub const fn task(&self) -> TaskId {
        self.run().task
    }
}

/// Action for the driver to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Appends these records, atomically unless the store's limits or refusals prevent it; those of
    /// one job then stay in their order. Writes must be appended in the order of their numbers.
    Write {
        /// Number of the write, from 1. [`Input::WriteCompleted`] returns it.
        number: u64,
        /// Records to append.
        records: Vec<Record>,
    },
    /// Sends a response to a caller.
    Response(RequestId, CallerResponse),
    /// Sends orders to a worker.
    Orders {
        /// Session of the worker's agent.
        session: u64,
        /// Orders, to be delivered in this sequence.
        orders: Vec<Order>,
    },
    /// Tells an agent that the ends of runs up to this number are stored, so that its worker may
    /// discard them.
    Acknowledge {
        /// Session of the worker's agent.
        session: u64,
        /// Sequence number of the last stored end.
        number: u64,
    },
    /// Counts the time that a job of a queue has lost, by cause, when it has ended.
    LostTime {
        /// Name of the queue.
        queue: Arc<str>,
        /// Names of causes with their times.
        lost: Vec<(&'static str, Millis)>,
    },
    /// Counts a wait of a task for a start that might still have been executed.
    LateStartWait {
        /// Why the start might have been executed.
        cause: LateStartCause,
        /// Duration of the wait.
        time: Millis,
    },
    /// Counts a run of a queue's job under which its worker has crashed.
    CrashedRun {
        /// Name of the queue.
        queue: Arc<str>,
        /// Whether the task was given up for it, so that its job has failed.
        is_given_up: bool,
    },
    /// Closes a session. The agent has to open another one.
    CloseSession(u64),
    /// Requests the list of machines. [`Input::MachineList`] returns it.
    ListMachines,
    /// Orders a machine to go down for maintenance. [`Input::MaintenanceReply`] returns the result.
    StartMaintenance {
        /// Number of the maintenance wave.
        wave: u64,
        /// Name of the machine.
        machine: Arc<str>,
        /// Proof of the ownership. The order is sent only if it gives a permit at that moment.
        proof: RenewalProof,
    },
    /// Reports the progress of a maintenance wave to operators.
    WaveStatus {
        /// Number of the maintenance wave.
        wave: u64,
        /// Whether maintenance has begun on every machine of the wave that still exists.
        is_complete: bool,
    },
    /// Asks the advice service which of these workers may run a step. [`Input::AdviceReply`]
    /// returns the reply.
    RequestAdvice {
        /// Number of the request, from 1.
        call: u64,
        /// Step that needs advice.
        step: StepId,
        /// Identifiers of the candidate workers, the best ones first.
        workers: Vec<Arc<str>>,
        /// Time after which the request has failed.
        timeout: Millis,
    },
    /// Writes a line to the log.
    Log(String),
}

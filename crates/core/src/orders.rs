//! Messages between the owner of a cell and its workers.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    Attempt, Class, EntryName, Incarnation, JobId, Millis, RackName, Resources, ServiceName, Term,
};

/// A time on the worker's monotonic clock, valid only within one incarnation of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTimestamp {
    /// Incarnation of the worker's process.
    pub incarnation: Incarnation,
    /// Time on the worker's clock when it sent the reply.
    pub at: Millis,
}

/// Tasks whose leases a poll renews.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Renewal {
    /// All tasks.
    #[default]
    All,
    /// Latency-critical tasks only: the owner has been without a freshness confirmation for too
    /// long, or the worker has not responded.
    Critical,
    /// No tasks: all leases run out.
    Nothing,
}

/// A poll of a worker by the owner of its cell: carries orders and requests the worker's events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Term of the owner; a worker rejects a poll with a lower term than it has seen.
    pub term: Term,
    /// Entry that sends the poll.
    pub owner: EntryName,
    /// Latest timestamp that the owner received from this worker. Without a valid one the worker
    /// rejects the orders and renews no leases.
    #[serde(rename = "stamp")]
    pub timestamp: Option<WorkerTimestamp>,
    /// Leases that the poll renews, counted from `timestamp`.
    #[serde(rename = "renew")]
    pub renewal: Renewal,
    /// Whether the reply must contain a full inventory.
    #[serde(rename = "full")]
    pub wants_inventory: bool,
    /// Highest event number that the owner has committed; the worker may forget events up to it.
    #[serde(rename = "acked")]
    pub acked_seq: u64,
    /// Orders, executed in sequence.
    pub orders: Vec<Order>,
}

/// A command from an owner to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Starts an attempt.
    Start(StartOrder),
    /// Limits the speed of a task.
    Throttle {
        /// Job whose task is throttled.
        job: JobId,
        /// Attempt that must be running for the order to apply.
        attempt: Attempt,
        /// Share of the full speed, in percent from 1 to 100.
        percent: u8,
    },
    /// Checkpoints a task and stops it.
    Evict {
        /// Job whose task is evicted.
        job: JobId,
        /// Attempt that must be running for the order to apply.
        attempt: Attempt,
    },
    /// Stops a task without a checkpoint.
    Stop {
        /// Job whose task is stopped.
        job: JobId,
        /// Attempt that must be running for the order to apply.
        attempt: Attempt,
    },
}

/// Everything that a worker needs to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Job to which the attempt belongs.
    pub job: JobId,
    /// Number of the attempt; higher than that of any earlier attempt of the job.
    pub attempt: Attempt,
    /// Service whose document governs the job.
    pub service: ServiceName,
    /// Scheduling class of the task.
    pub class: Class,
    /// Resources allocated to the task.
    pub needs: Resources,
    /// Work that the job declares: its run time on a worker without interference.
    pub work: Millis,
    /// Work done at the last checkpoint, in milliseconds; 0 for a first attempt.
    pub checkpoint: u64,
    /// Opaque input that is passed to the task.
    pub payload: String,
}

/// A worker's reply to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// Timestamp to send with the next poll.
    #[serde(rename = "stamp")]
    pub timestamp: WorkerTimestamp,
    /// Highest term that the worker has seen, which is that of the poll.
    pub term: Term,
    /// Total resources of the worker.
    pub capacity: Resources,
    /// Rack of the worker.
    pub rack: RackName,
    /// Events that the owner has not acknowledged, in ascending order of their numbers.
    pub events: Vec<Event>,
    /// Measurements that changed since the last reply. They lag behind the present use.
    pub usage: Vec<Usage>,
    /// All tasks that run; present when requested and in the first reply of a term.
    pub inventory: Option<Vec<RunningTask>>,
    /// Rejected orders, each with its position in the request.
    pub rejected: SmallVec<[(u32, OrderReject); 2]>,
}

/// Reply to a poll whose term has been superseded (HTTP status 409).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// Highest term that the worker has seen.
    pub term: Term,
}

/// Reason for which a worker rejected an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderReject {
    /// The timestamp is missing, too old or from another incarnation.
    #[serde(rename = "stale-stamp")]
    StaleTimestamp,
    /// The worker has seen an attempt of the job with this or a higher number.
    OldAttempt,
    /// The needs do not fit beside the tasks that run.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// The attempt does not run here.
    NoTask,
}

/// A change in the state of a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Sequence number, increasing within one incarnation of the worker.
    pub seq: u64,
    /// Job to which the task belongs.
    pub job: JobId,
    /// Attempt that the task executes.
    pub attempt: Attempt,
    /// What happened to the task.
    pub kind: EventKind,
}

/// Kind of an [`Event`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The task was started.
    Started,
    /// The task has completed its work.
    Finished {
        /// Result as returned by the task.
        result: String,
    },
    /// The task failed.
    Failed {
        /// Cause of the failure as reported by the worker.
        cause: String,
    },
    /// The task was checkpointed and stopped, by order or because its lease lapsed.
    Evicted {
        /// Work done at the checkpoint, in milliseconds.
        checkpoint: u64,
    },
    /// The task was stopped without a checkpoint.
    Stopped,
}

/// A task in the inventory of a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Attempt that the task executes.
    pub attempt: Attempt,
    /// Scheduling class of the task.
    pub class: Class,
    /// Resources allocated to the task.
    pub needs: Resources,
    /// Work done at the last checkpoint, in milliseconds.
    pub checkpoint: u64,
}

/// A measurement of one task. It lags behind the present use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Job to which the task belongs.
    pub job: JobId,
    /// Attempt that the task executes.
    pub attempt: Attempt,
    /// Age of the measurement when the reply was sent.
    #[serde(rename = "age")]
    pub sample_age: Millis,
    /// Resources that the task used when it was measured.
    pub used: Resources,
    /// Work done so far, in milliseconds.
    #[serde(rename = "done")]
    pub work_done: u64,
    /// Work done at the last checkpoint, in milliseconds.
    pub checkpoint: u64,
    /// Time needed for a unit of work relative to a worker without interference, in percent; 100 is
    /// no slowdown.
    pub slowdown: u32,
}

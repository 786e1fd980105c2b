//! Messages between the owner of a cell and its workers.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    Attempt, Class, EntryName, Incarnation, JobId, Millis, RackName, Resources, ServiceName, Term,
};

/// A time on the worker's own monotonic clock, valid only within one incarnation of the worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerTimestamp {
    /// Life of the worker's process.
    pub incarnation: Incarnation,
    /// Time on the worker's clock.
    pub at: Millis,
}

/// Which leases a poll renews.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Renewal {
    /// All tasks.
    #[default]
    All,
    /// Latency-critical tasks only: the owner has been without the log for too long.
    Critical,
    /// None.
    Nothing,
}

/// Orders of an owner and its question for news.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollRequest {
    /// Term of the owner.
    pub term: Term,
    /// Owner.
    pub owner: EntryName,
    /// Last stamp that the owner saw from this worker. Without a valid one orders are refused and
    /// leases not renewed.
    #[serde(rename = "stamp")]
    pub timestamp: Option<WorkerTimestamp>,
    /// Leases to renew.
    #[serde(rename = "renew")]
    pub renewal: Renewal,
    /// Whether a full inventory is asked for.
    #[serde(rename = "full")]
    pub wants_inventory: bool,
    /// Events up to this number are settled and may be forgotten.
    #[serde(rename = "acked")]
    pub acked_seq: u64,
    /// Orders, carried out in turn.
    pub orders: Vec<Order>,
}

/// One order to a worker.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Order {
    /// Starts an attempt.
    Start(StartOrder),
    /// Limits the speed of a task.
    Throttle {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
        /// Share of the full speed, 1 to 100.
        percent: u8,
    },
    /// Checkpoints a task and stops it.
    Evict {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
    },
    /// Stops a task without a checkpoint.
    Stop {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
    },
}

/// What a worker needs to start an attempt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: Attempt,
    /// Service.
    pub service: ServiceName,
    /// Class.
    pub class: Class,
    /// Promised resources.
    pub needs: Resources,
    /// Declared work.
    pub work: Millis,
    /// Work already done at the last checkpoint, in milliseconds.
    pub checkpoint: u64,
    /// Opaque input.
    pub payload: String,
}

/// A worker's answer to a poll.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PollReply {
    /// Stamp for the next poll.
    #[serde(rename = "stamp")]
    pub timestamp: WorkerTimestamp,
    /// Highest term seen, which is the owner's.
    pub term: Term,
    /// What the worker has.
    pub capacity: Resources,
    /// Rack of the worker.
    pub rack: RackName,
    /// Events not yet acknowledged, by number.
    pub events: Vec<Event>,
    /// Lagging measurements that changed.
    pub usage: Vec<Usage>,
    /// Everything that runs, when asked for or when the term is new.
    pub inventory: Option<Vec<RunningTask>>,
    /// Orders that were refused, by position in the request.
    pub rejected: SmallVec<[(u32, OrderReject); 2]>,
}

/// Answer to a poll with a term that has been superseded (HTTP status 409).
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fenced {
    /// Highest term seen by the worker.
    pub term: Term,
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum OrderReject {
    /// The stamp is missing, too old or of another incarnation.
    #[serde(rename = "stale-stamp")]
    StaleTimestamp,
    /// An attempt with this or a higher number was seen.
    OldAttempt,
    /// The needs do not fit beside what runs.
    #[serde(rename = "no-room")]
    NoCapacity,
    /// No such task runs.
    NoTask,
}

/// Something that happened to a task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// Number, rising within one incarnation of the worker.
    pub seq: u64,
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: Attempt,
    /// What happened.
    pub kind: EventKind,
}

/// Kinds of events.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EventKind {
    /// The task runs.
    Started,
    /// The task is done.
    Finished {
        /// Result.
        result: String,
    },
    /// The task failed.
    Failed {
        /// Why.
        cause: String,
    },
    /// The task was checkpointed and stopped, by order or because its lease lapsed.
    Evicted {
        /// Work done, in milliseconds.
        checkpoint: u64,
    },
    /// The task was stopped without a checkpoint.
    Stopped,
}

/// A task that a worker runs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunningTask {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: Attempt,
    /// Class.
    pub class: Class,
    /// Promised resources.
    pub needs: Resources,
    /// Work done at the last checkpoint, in milliseconds.
    pub checkpoint: u64,
}

/// A lagging measurement of one task.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: Attempt,
    /// Age of the measurement when the reply was sent.
    #[serde(rename = "age")]
    pub sample_age: Millis,
    /// Observed use.
    pub used: Resources,
    /// Work done so far, in milliseconds.
    #[serde(rename = "done")]
    pub work_done: u64,
    /// Work done at the last checkpoint, in milliseconds.
    pub checkpoint: u64,
    /// Time taken per unit of work against an unhindered worker, in percent; 100 is unhindered.
    pub slowdown: u32,
}

//! Inputs and outputs of the cell core.

use std::sync::Arc;

use hyssop_core::{
    Attempt, CellId, CellRecord, CellState, ConfView, Connectivity, Crashes, EntryName, Envelope,
    Incarnation, JobCall, JobId, JobReply, JobSpec, Millis, Offset, PollReply, PollRequest, Term,
    WorkerName,
};

/// Settings of one cell core.
#[derive(Clone, Debug)]
pub struct CellOptions {
    /// Cell that the core runs.
    pub cell: CellId,
    /// All cells of the fleet, in a fixed order.
    pub cells: Vec<CellId>,
    /// Workers of the cell according to the settings.
    pub workers: Vec<WorkerName>,
    /// Name of this entry, as other entries and workers know it.
    pub entry: EntryName,
    /// Incarnation of this process, different after each restart.
    pub incarnation: Incarnation,
    /// Seed of the generator for identifiers, jitter and other random choices.
    pub seed: u64,
    /// Interval between polls of a worker without pending orders.
    pub poll_interval: Millis,
    /// Retention time of the log; a snapshot is due after a quarter of it.
    pub retention: Millis,
}

/// Input that the driver passes to [`Cell::tick`](crate::Cell::tick).
#[derive(Clone, Debug)]
pub enum Input {
    /// Records read from the cell's stream, in order.
    Read {
        /// Time at which the read was sent.
        sent_at: Millis,
        /// First offset that the log still keeps.
        first_offset: Offset,
        /// Offset after the last record of the stream when the read was made.
        head_offset: Offset,
        /// Records from the requested offset on.
        records: Vec<(Offset, Envelope<CellRecord>)>,
    },
    /// Configuration in force, whenever it changes.
    Conf(Arc<ConfView>),
    /// Connectivity of this entry to the store and to the other entries, passed in each tick.
    Connectivity {
        /// What the entry can confirm at present.
        connectivity: Connectivity,
        /// Whether heartbeats of a majority of the entries arrive; a claim needs it.
        has_majority: bool,
        /// Whether this entry, or one whose heartbeats arrive, has been up for less than
        /// `BATCH_RENEWAL_LIMIT`.
        has_recent_start: bool,
        /// Position of this entry among the live candidates for the cell; 0 claims first.
        rank: u32,
    },
    /// States of cells as reported by the other live entries and by this process's other cores.
    /// Each list replaces the earlier one.
    Peers(Vec<CellState>),
    /// Reply of a worker to a poll.
    Polled {
        /// Worker that replied.
        worker: WorkerName,
        /// Time at which the poll was sent.
        sent_at: Millis,
        /// Reply, unchanged.
        reply: PollReply,
    },
    /// A worker has rejected a poll because it knows a higher term.
    Fenced {
        /// Worker that rejected the poll.
        worker: WorkerName,
        /// Highest term that the worker knows.
        term: Term,
    },
    /// A poll got no valid reply.
    PollFailed {
        /// Worker that was polled.
        worker: WorkerName,
        /// Time at which the poll was sent.
        sent_at: Millis,
    },
    /// A poll failed because the worker's host refused the connection: its process has ended. It is a
    /// [`Input::PollFailed`] that says more.
    PollRefused {
        /// Worker that was polled.
        worker: WorkerName,
        /// Time at which the poll was sent.
        sent_at: Millis,
    },
    /// A call about jobs. Every call gets one [`Output::Reply`].
    Call {
        /// Number that the driver chooses to match the reply with the call.
        token: u64,
        /// Call as it was received.
        call: JobCall,
    },
    /// Reply to an [`Output::Transfer`] or an [`Output::SendResult`].
    Transferred {
        /// Job that was sent, or whose result was sent.
        job: JobId,
        /// Reply of the other cell's owner.
        reply: JobReply,
    },
    /// This process shuts down: nothing more is started and the core resigns.
    Shutdown,
}

/// Action for the driver to carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Appends records to the cell's stream in one request. The driver repeats the append with the
    /// same identifiers and contents until the records are read back.
    Append(Vec<Envelope<CellRecord>>),
    /// Stops repeating all earlier appends, because the term has ended.
    AbandonAppends,
    /// Polls a worker. The outcome comes back as [`Input::Polled`], [`Input::Fenced`] or
    /// [`Input::PollFailed`].
    Poll {
        /// Worker to poll.
        worker: WorkerName,
        /// Request to send.
        request: PollRequest,
    },
    /// Replies to a call.
    Reply {
        /// Token of the call.
        token: u64,
        /// Reply to pass on to the caller.
        reply: JobReply,
    },
    /// Sends a job to the owner of another cell. The reply comes back as [`Input::Transferred`].
    Transfer {
        /// Cell that the job moves to.
        to: CellId,
        /// Specification of the job.
        spec: JobSpec,
        /// Last attempt number used for the job.
        attempt: Attempt,
        /// Work done at the last checkpoint, in milliseconds.
        checkpoint: u64,
        /// Crashes of workers under its attempts. The call is [`JobCall::transfer`].
        crashes: Crashes,
    },
    /// Sends a late result to the owner of the cell that its job has moved to. The reply comes back as
    /// [`Input::Transferred`]. The call is [`JobCall::LateResult`].
    SendResult {
        /// Cell that the job has moved to.
        to: CellId,
        /// Job to which the result belongs.
        job: JobId,
        /// Number of the attempt that finished.
        attempt: Attempt,
        /// Result as returned by the task.
        result: String,
    },
    /// This process does not own the cell any more after [`Input::Shutdown`] and will not claim it.
    Stopped,
}

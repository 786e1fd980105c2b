//! Inputs and outputs of the cell core.

use std::sync::Arc;

use hyssop_core::{
    Attempt, CellId, CellRecord, CellState, ConfView, EntryName, Envelope, Incarnation, JobCall,
    JobId, JobReply, JobSpec, Millis, Offset, PollReply, PollRequest, Standing, Term, WorkerName,
};

/// Settings of one cell core.
#[derive(Clone, Debug)]
pub struct CellOptions {
    /// Cell that the core decides for.
    pub cell: CellId,
    /// All cells of the fleet, in a fixed order.
    pub cells: Vec<CellId>,
    /// Workers of the cell.
    pub workers: Vec<WorkerName>,
    /// This process.
    pub entry: EntryName,
    /// Life of this process.
    pub incarnation: Incarnation,
    /// Seed of all random choices.
    pub seed: u64,
    /// Interval of polls of an idle worker.
    pub poll_interval: Millis,
    /// Retention of the log; a snapshot is due after a quarter of it.
    pub retention: Millis,
}

/// Something that the driver tells the core.
#[derive(Clone, Debug)]
pub enum Input {
    /// Records read from the cell's stream, in order.
    Read {
        /// Time at which the read was sent.
        sent_at: Millis,
        /// First offset that the log still keeps.
        first_offset: Offset,
        /// Offset after the last record of the stream.
        head_offset: Offset,
        /// Records from the offset asked for.
        records: Vec<(Offset, Envelope<CellRecord>)>,
    },
    /// Configuration in force, when it changed.
    Conf(Arc<ConfView>),
    /// What this entry can prove, and whether an entry it hears has been up only briefly.
    Connectivity {
        /// Standing.
        connectivity: Standing,
        /// Whether a majority of the entries is heard; a claim needs it.
        has_majority: bool,
        /// Whether an entry that is heard, or this one, has been up for less than `BLIND_LIMIT`.
        has_recent_start: bool,
        /// Position of this entry among the live candidates for the cell; 0 claims first.
        rank: u32,
    },
    /// Cells as the other live entries, and this process's other cores, state them. Each list
    /// replaces the earlier one.
    Peers(Vec<CellState>),
    /// Answer of a worker.
    Polled {
        /// Worker.
        worker: WorkerName,
        /// Time at which the poll was sent.
        sent_at: Millis,
        /// Answer.
        reply: PollReply,
    },
    /// A worker has seen a higher term.
    Fenced {
        /// Worker.
        worker: WorkerName,
        /// Term that it has seen.
        term: Term,
    },
    /// A poll had no answer.
    PollFailed {
        /// Worker.
        worker: WorkerName,
        /// Time at which the poll was sent.
        sent_at: Millis,
    },
    /// A call about jobs.
    Call {
        /// Number under which the driver waits for the reply.
        token: u64,
        /// Call.
        call: JobCall,
    },
    /// Answer to a transfer.
    Transferred {
        /// Job.
        job: JobId,
        /// Answer of the other cell's owner.
        reply: JobReply,
    },
    /// This process shuts down: nothing more is started and the cell is given up.
    Shutdown,
}

/// Something that the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Appends records to the cell's stream in one request. The driver settles them: it appends
    /// the same ids again until they are read back, without a change in what they say.
    Append(Vec<Envelope<CellRecord>>),
    /// Stops appending these records: the term has ended.
    AbandonAppends,
    /// Polls a worker and reports the answer.
    Poll {
        /// Worker.
        worker: WorkerName,
        /// Request.
        request: PollRequest,
    },
    /// Answers a call.
    Reply {
        /// Number of the call.
        token: u64,
        /// Answer.
        reply: JobReply,
    },
    /// Sends a job to the owner of another cell and reports the answer.
    Transfer {
        /// Cell.
        to: CellId,
        /// The job.
        spec: JobSpec,
        /// Last attempt used.
        attempt: Attempt,
        /// Work done at the last checkpoint, in milliseconds.
        checkpoint: u64,
    },
    /// The cell has given up ownership after [`Input::Shutdown`].
    Stopped,
}

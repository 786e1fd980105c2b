//! Shared names, units, records, documents, messages and errors.
//!
//! This crate does no I/O. Types that cross a process boundary derive plain serde
//! representations, because the same types travel as JSON (platform, callers) and as bincode
//! (between the system's own processes).

pub mod api;
mod cells;
mod documents;
mod errors;
mod explanations;
mod jobs;
mod messages;
mod names;
mod orders;
mod platform;
mod records;
mod resources;
mod rpc;
mod units;

pub use cells::{
    CellId, CellState, CellSummary, Connectivity, EvictionCause, Evictions, ParseCellError,
};
pub use documents::{Class, DomainState, Limits, Moves, Needs, Quota, ServiceDoc};
pub use errors::{Error, Result};
pub use explanations::{Explanation, Reason, Subject};
pub use jobs::{JobCall, JobPhase, JobReply, JobSpec, JobStatus, Refusal};
pub use messages::{
    AnnounceReply, Announcement, Call, CallId, CompleteResponse, ConfView, DocView, Drain,
    Heartbeat, Load, MemberState, NotRun, Outcome, Reply, Ticket, TicketCall, Unknown,
};
pub use names::{
    AgentName, DomainName, EntryName, JobId, RackName, ServiceName, TeamName, WorkerName,
};
pub use orders::{
    Event, EventKind, Fenced, Order, OrderReject, PollReply, PollRequest, Renewal, RunningTask,
    StartOrder, Usage, WorkerTimestamp,
};
pub use platform::{
    AppendReply, AppendRequest, BackendAck, BackendAnnouncement, ReadReply, StoredRecord,
};
pub use records::{CellRecord, ConfRecord, Crash, Crashes, DocVersion, Envelope, Intent, RecordId};
pub use resources::Resources;
pub use rpc::{AgentRpc, AgentRpcClient, AgentRpcRequest, AgentRpcResponse};
pub use rpc::{EntryRpc, EntryRpcClient, EntryRpcRequest, EntryRpcResponse};
pub use units::{Attempt, Incarnation, Millis, Offset, Term, Version};

/// Bounds, intervals and lifetimes that several crates must agree on.
pub mod limits {
    use crate::Millis;

    /// Age of the last freshness confirmation from which a process starts nothing.
    ///
    /// Together with [`ORDER_TTL`] it bounds the time until a configuration change is in force
    /// everywhere to 4 s.
    pub const FRESHNESS_LIMIT: Millis = Millis(3_000);
    /// Age of a worker timestamp, on the worker's clock, above which the worker rejects the orders
    /// of a poll.
    pub const ORDER_TTL: Millis = Millis(1_000);
    /// Age of a worker timestamp, on the owner's clock, up to which the owner sends orders with it.
    /// With an older one it first polls without orders to obtain a new timestamp.
    pub const TIMESTAMP_REUSE_LIMIT: Millis = Millis(500);
    /// Time without a lease renewal after which a worker stops a task.
    pub const TASK_LEASE: Millis = Millis(15_000);
    /// Margin for differences in clock rate, added when a process waits until a lease on another
    /// host has lapsed.
    pub const LEASE_MARGIN: Millis = Millis(1_000);
    /// Age of the last freshness confirmation above which an owner stops renewing batch tasks.
    pub const BATCH_RENEWAL_LIMIT: Millis = Millis(3_600_000);
    /// Time that a new owner waits for the leases on a worker that does not respond: the former
    /// owner's freshness confirmation and its last contact with a majority must age out, a
    /// heartbeat interval must pass, and the lease must lapse.
    pub const FAILOVER_WAIT: Millis = Millis(
        FRESHNESS_LIMIT.0 + PEER_TIMEOUT.0 + HEARTBEAT_INTERVAL.0 + TASK_LEASE.0 + LEASE_MARGIN.0,
    );
    /// Time without a message after which a member or a peer counts as lost.
    pub const PEER_TIMEOUT: Millis = Millis(3_000);
    /// Interval between the heartbeats that an entry sends to each other entry.
    pub const HEARTBEAT_INTERVAL: Millis = Millis(500);
    /// Default interval between the announcements of an agent to each entry.
    pub const ANNOUNCE_INTERVAL: Millis = Millis(1_000);
    /// Interval at which an entry reads the configuration stream.
    pub const CONF_POLL_INTERVAL: Millis = Millis(500);
    /// Default interval at which an owner polls a worker for which no orders are queued.
    pub const WORKER_POLL_INTERVAL: Millis = Millis(1_000);
    /// Interval at which an owner polls a worker for which orders are queued.
    pub const BUSY_POLL_INTERVAL: Millis = Millis(250);
    /// Shortest interval between two batches of intents of one cell.
    pub const INTENT_BATCH_INTERVAL: Millis = Millis(250);
    /// Validity of an unused ticket, on the clock of the agent that issued it.
    pub const TICKET_TTL: Millis = Millis(60_000);
    /// Time for which an agent stores the response to a request with a ticket, to return it when
    /// the request is repeated.
    pub const RESPONSE_TTL: Millis = Millis(600_000);
    /// Largest number of tickets issued by one call.
    pub const MAX_TICKET_BATCH: u32 = 16;
    /// Largest number of workers in one cell, from the control traffic budget of 4 KB a second.
    pub const MAX_CELL_WORKERS: usize = 32;
    /// Largest request or response body that is forwarded.
    pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;
    /// Largest service document, as TOML.
    pub const MAX_DOCUMENT_BYTES: usize = 64 * 1024;
    /// Largest frame between the system's own processes.
    pub const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;
    /// Largest result of a job.
    pub const MAX_RESULT_BYTES: usize = 16 * 1024;
    /// Name of the log stream that holds the configuration records.
    pub const CONF_STREAM: &str = "config";
}

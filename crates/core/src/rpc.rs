//! RPC services between the system's own processes.
//!
//! The macro generates items without documentation.
#![allow(missing_docs)]

use crate::{
    AnnounceReply, Announcement, Call, Drain, Heartbeat, JobCall, JobReply, MemberState, NotRun,
    Reply, Ticket, TicketCall,
};

/// Served by an agent to the entries.
#[tarpc::service]
pub trait AgentRpc {
    /// Runs a request at the backend server.
    async fn call(call: Call) -> Reply;
    /// Issues tickets bound to this agent's incarnation.
    async fn tickets(call: TicketCall) -> Result<Vec<Ticket>, NotRun>;
    /// Tells that the agent's failure domain leaves or returns.
    async fn drain(drain: Drain) -> MemberState;
}

/// Served by an entry to the agents and to the other entries.
#[tarpc::service]
pub trait EntryRpc {
    /// Takes an agent's announcement.
    async fn announce(announcement: Announcement) -> AnnounceReply;
    /// Exchanges heartbeats.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    /// Answers a call about jobs of the cells that this entry owns.
    async fn jobs(cell: crate::CellId, call: JobCall) -> JobReply;
}

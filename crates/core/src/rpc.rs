//! RPC services between the system's own processes.
//!
//! The macro generates items without documentation.
#![allow(missing_docs)]

use crate::{
    AnnounceReply, Announcement, Call, Drain, Heartbeat, JobCall, JobReply, MemberState, NotRun,
    Reply, Ticket, TicketCall,
};

/// Service of an agent, called by the entries.
#[tarpc::service]
pub trait AgentRpc {
    /// Runs a request on the backend server.
    async fn call(call: Call) -> Reply;
    /// Issues tickets bound to the agent's incarnation.
    async fn tickets(call: TicketCall) -> Result<Vec<Ticket>, NotRun>;
    /// Notifies the agent of a new state of its failure domain; returns the backend server's state.
    async fn drain(drain: Drain) -> MemberState;
}

/// Service of an entry, called by the agents and the other entries.
#[tarpc::service]
pub trait EntryRpc {
    /// Receives an announcement and returns the configuration if the agent is behind.
    async fn announce(announcement: Announcement) -> AnnounceReply;
    /// Receives a heartbeat and returns one of its own.
    async fn heartbeat(heartbeat: Heartbeat) -> Heartbeat;
    /// Executes a call about jobs of a cell that this entry owns.
    async fn jobs(cell: crate::CellId, call: JobCall) -> JobReply;
}

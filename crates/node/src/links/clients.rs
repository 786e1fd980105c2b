//! RPC clients of agents and entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyssop_core::{
    AgentRpcClient, AgentRpcRequest, AgentRpcResponse, AnnounceReply, Announcement, Call, CellId,
    Drain, EntryRpcClient, EntryRpcRequest, EntryRpcResponse, Heartbeat, JobCall, JobReply,
    MemberState, NotRun, Outcome, Reply, Ticket, TicketCall,
};
use serde::{Deserialize, Serialize};
use tarpc::RequestName;
use tarpc::client::{Channel, RpcError};
use tarpc::context::{self, Context};
use tokio::time::{Instant, timeout_at};

use super::connections::{Backoff, LazyConnection};
use super::silences::Silence;
use super::transports::RESPONSE_TOO_LARGE;
use super::{LinkError, LinkResult};

/// Time that a call may take beyond the caller's deadline. The agent's own reply at the deadline,
/// which states the outcome more precisely than a timeout here, can still arrive.
pub const REPLY_GRACE: Duration = Duration::from_millis(200);
/// Connections to one agent. On a single connection, a large body would delay all other calls.
const AGENT_CONNECTIONS: usize = 4;
/// Connections to one entry. One is enough, because the calls are few and small.
const ENTRY_CONNECTIONS: usize = 1;

/// Client of one process at a fixed address. Connections are opened on demand, and broken ones are
/// replaced.
pub struct Link<Req, Resp> {
    address: SocketAddr,
    connections: Vec<LazyConnection<Req, Resp>>,
    next_index: AtomicUsize,
    backoff: Backoff,
    silence: Silence,
}

/// Client of an agent, for the calls of entries.
pub type AgentLink = Link<AgentRpcRequest, AgentRpcResponse>;
/// Client of an entry, for announcements of agents and calls of other entries.
pub type EntryLink = Link<EntryRpcRequest, EntryRpcResponse>;

impl<Req, Resp> Link<Req, Resp>
where
    Req: RequestName + Serialize + Send + 'static,
    Resp: for<'a> Deserialize<'a> + Send + 'static,
{
    /// Creates a client of a process without connecting. Calls are distributed over `connections`
    /// connections in turn.
    #[must_use]
    pub fn with_connections(address: SocketAddr, connections: usize) -> Self {
        Self {
            address,
            connections: (0..connections).map(|_| LazyConnection::new()).collect(),
            next_index: AtomicUsize::new(0),
            backoff: Backoff::default(),
            silence: Silence::default(),
        }
    }

    /// Returns the address of the process.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call. `send` starts it on the given channel and with the given deadline.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no response within `limit`.
    pub async fn exchange<T, F>(
        &self,
        limit: Duration,
        send: impl FnOnce(Channel<Req, Resp>, Context) -> F,
    ) -> LinkResult<T>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + limit;
        let index = self.next_index.fetch_add(1, Ordering::Relaxed) % self.connections.len();
        let connection = self.connections[index]
            .acquire(self.address, &self.backoff, &self.silence, deadline)
            .await?;
        let mut context = context::current();
        context.deadline = deadline.into_std();
        let sent_at = Instant::now();
        let response = timeout_at(deadline, send(connection.channel.clone(), context)).await;
        let response = response.unwrap_or(Err(RpcError::DeadlineExceeded));
        if matches!(response, Err(RpcError::DeadlineExceeded))
            && connection.record_no_response(sent_at, deadline)
        {
            log::info!(peer:% = self.address; "connection silent: not used for further calls");
            self.silence.record(sent_at);
        }
        response.map_err(|err| classify(&err))
    }
}

impl AgentLink {
    /// Creates a client of an agent without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_connections(address, AGENT_CONNECTIONS)
    }

    /// Sends a request to the agent and checks that the reply is complete and belongs to it.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no such reply until [`REPLY_GRACE`] after the end of the
    /// call's budget.
    pub async fn call(&self, call: Call) -> LinkResult<Reply> {
        let id = call.id;
        let limit = Duration::from_millis(call.budget.0) + REPLY_GRACE;
        let send = |channel, context| async move {
            let client = AgentRpcClient::from(channel);
            client.call(context, call).await
        };
        let reply = self.exchange(limit, send).await?;
        let is_valid = match &reply.outcome {
            Outcome::Complete(response) => response.is_intact(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => true,
        };
        match is_valid && reply.id == id {
            true => Ok(reply),
            false => Err(LinkError::InvalidResponse),
        }
    }

    /// Requests tickets from the agent. The inner error is the agent's refusal.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no response within `limit`.
    pub async fn tickets(
        &self,
        call: TicketCall,
        limit: Duration,
    ) -> LinkResult<Result<Vec<Ticket>, NotRun>> {
        let send = |channel, context| async move {
            let client = AgentRpcClient::from(channel);
            client.tickets(context, call).await
        };
        self.exchange(limit, send).await
    }

    /// Notifies the agent that a failure domain is taken out of service or back into it, and
    /// returns the agent's state.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no response within `limit`.
    pub async fn drain(&self, drain: Drain, limit: Duration) -> LinkResult<MemberState> {
        let send = |channel, context| async move {
            let client = AgentRpcClient::from(channel);
            client.drain(context, drain).await
        };
        self.exchange(limit, send).await
    }
}

impl EntryLink {
    /// Creates a client of an entry without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_connections(address, ENTRY_CONNECTIONS)
    }

    /// Sends an announcement of an agent to the entry.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no response within `limit`.
    pub async fn announce(
        &self,
        announcement: Announcement,
        limit: Duration,
    ) -> LinkResult<AnnounceReply> {
        let send = |channel, context| async move {
            let client = EntryRpcClient::from(channel);
            client.announce(context, announcement).await
        };
        self.exchange(limit, send).await
    }

    /// Sends a heartbeat to the entry and returns the entry's own one.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no response within `limit`.
    pub async fn heartbeat(&self, heartbeat: Heartbeat, limit: Duration) -> LinkResult<Heartbeat> {
        let send = |channel, context| async move {
            let client = EntryRpcClient::from(channel);
            client.heartbeat(context, heartbeat).await
        };
        self.exchange(limit, send).await
    }

    /// Forwards a call about jobs to the entry that owns their cell.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no response within `limit`.
    pub async fn jobs(&self, cell: CellId, call: JobCall, limit: Duration) -> LinkResult<JobReply> {
        let send = |channel, context| async move {
            let client = EntryRpcClient::from(channel);
            client.jobs(context, cell, call).await
        };
        self.exchange(limit, send).await
    }
}

fn classify(err: &RpcError) -> LinkError {
    match err {
        RpcError::Send(_) => LinkError::TooLarge,
        RpcError::DeadlineExceeded => LinkError::ResponseDeadline,
        RpcError::Server(err) if err.detail == RESPONSE_TOO_LARGE => LinkError::ResponseTooLarge,
        // Generated services return no errors of their own, so this is otherwise the limit on calls
        // in flight, which is checked before a call is run. The error kind isn't usable: it is encoded
        // as a signed and decoded as an unsigned number.
        RpcError::Server(_) => LinkError::Busy,
        // A shutdown may be reported before or after the message was written, so the outcome is
        // unknown.
        RpcError::Shutdown | RpcError::Channel(_) => LinkError::ConnectionBroken,
    }
}

//! Clients of agents and entries.

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

use super::connections::{Backoff, Slot};
use super::{LinkError, LinkResult};

/// Time that a call may take beyond the caller's deadline, so that the agent's own answer at the
/// deadline, which is more exact than a timeout here, still arrives.
pub const REPLY_GRACE: Duration = Duration::from_millis(200);
/// Connections to one agent. With one, a large body would hold up all other calls.
const AGENT_CONNECTIONS: usize = 4;
/// Connections to one entry, whose calls are few and small.
const ENTRY_CONNECTIONS: usize = 1;

/// Client of one process at a fixed address. Connections are made when they are needed and made
/// again after they broke.
pub struct Link<Req, Resp> {
    address: SocketAddr,
    slots: Vec<Slot<Req, Resp>>,
    next: AtomicUsize,
    backoff: Backoff,
}

/// Client of an agent.
pub type AgentLink = Link<AgentRpcRequest, AgentRpcResponse>;
/// Client of an entry.
pub type EntryLink = Link<EntryRpcRequest, EntryRpcResponse>;

impl<Req, Resp> Link<Req, Resp>
where
    Req: RequestName + Serialize + Send + 'static,
    Resp: for<'a> Deserialize<'a> + Send + 'static,
{
    /// Creates a client of a process without connecting. Calls are spread over `connections`.
    #[must_use]
    pub fn with_connections(address: SocketAddr, connections: usize) -> Self {
        Self {
            address,
            slots: (0..connections).map(|_| Slot::new()).collect(),
            next: AtomicUsize::new(0),
            backoff: Backoff::default(),
        }
    }

    /// Returns the address of the process.
    #[must_use]
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Makes one call, which `send` starts on the connection that it is given.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no answer within `limit`.
    pub async fn exchange<T, F>(
        &self,
        limit: Duration,
        send: impl FnOnce(Channel<Req, Resp>, Context) -> F,
    ) -> LinkResult<T>
    where
        F: Future<Output = Result<T, RpcError>>,
    {
        let deadline = Instant::now() + limit;
        let at = self.next.fetch_add(1, Ordering::Relaxed) % self.slots.len();
        let open = self.slots[at].open(self.address, &self.backoff, deadline);
        let open = open.await?;
        let mut context = context::current();
        context.deadline = deadline.into_std();
        let answer = timeout_at(deadline, send(open.channel.clone(), context)).await;
        let answer = answer.unwrap_or(Err(RpcError::DeadlineExceeded));
        match &answer {
            Ok(_) | Err(RpcError::Server(_)) => open.answered(),
            Err(_) => open.missed(),
        }
        answer.map_err(|err| classify(&err))
    }
}

impl AgentLink {
    /// Creates a client without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_connections(address, AGENT_CONNECTIONS)
    }

    /// Has the agent run a request and checks that the answer is whole and its own.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no such answer until [`REPLY_GRACE`] after the end of the
    /// call's budget.
    pub async fn call(&self, call: Call) -> LinkResult<Reply> {
        let id = call.id;
        let limit = Duration::from_millis(call.budget.0) + REPLY_GRACE;
        let send = |channel, context| async move {
            let client = AgentRpcClient::from(channel);
            client.call(context, call).await
        };
        let reply = self.exchange(limit, send).await?;
        let intact = match &reply.outcome {
            Outcome::Complete(whole) => whole.is_intact(),
            Outcome::NotRun(_) | Outcome::Unknown(_) => true,
        };
        match intact && reply.id == id {
            true => Ok(reply),
            false => Err(LinkError::InvalidResponse),
        }
    }

    /// Asks the agent for tickets.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no answer within `limit`.
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

    /// Tells the agent that its failure domain leaves or returns.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no answer within `limit`.
    pub async fn drain(&self, drain: Drain, limit: Duration) -> LinkResult<MemberState> {
        let send = |channel, context| async move {
            let client = AgentRpcClient::from(channel);
            client.drain(context, drain).await
        };
        self.exchange(limit, send).await
    }
}

impl EntryLink {
    /// Creates a client without connecting.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_connections(address, ENTRY_CONNECTIONS)
    }

    /// Announces an agent.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no answer within `limit`.
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

    /// Exchanges heartbeats.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no answer within `limit`.
    pub async fn heartbeat(&self, heartbeat: Heartbeat, limit: Duration) -> LinkResult<Heartbeat> {
        let send = |channel, context| async move {
            let client = EntryRpcClient::from(channel);
            client.heartbeat(context, heartbeat).await
        };
        self.exchange(limit, send).await
    }

    /// Forwards a call about jobs to the owner of their cell.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if there is no answer within `limit`.
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
        // Generated services return no errors of their own, so that this is always the limit on
        // calls in flight, which is checked before a call is run. The kind can't be relied on: it
        // is encoded as a signed and decoded as an unsigned number.
        RpcError::Server(_) => LinkError::Busy,
        // A shutdown is reported both before and after the message was written.
        RpcError::Shutdown | RpcError::Channel(_) => LinkError::ConnectionBroken,
    }
}

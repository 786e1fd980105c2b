//! The agent daemon: announces one backend server on its host to the entries and forwards their
//! requests to it.

mod announcers;
mod backends;
mod drivers;
mod exchanges;
mod servers;
mod services;

use std::net::SocketAddr;
use std::time::Duration;

use hyssop_core::limits::{ANNOUNCE_INTERVAL, TICKET_TTL};
use hyssop_core::{
    AgentName, AgentRpc, AgentRpcRequest, AgentRpcResponse, DomainName, EntryName, Incarnation,
    Load, MemberState, Offset, RackName, ServiceName,
};
use hyssop_route::GateOptions;
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout, timeout_at};

use crate::links::{self, RpcRequest, RpcServer, ServeOptions};
use announcers::Announcer;
use drivers::{Command, Driver};
use servers::LocalServer;
use services::AgentService;

/// Capacity of the driver's command queue; senders wait while it is full.
const COMMAND_QUEUE_LEN: usize = 1_024;
/// Time allowed for closing connections after the last request has ended.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Name of the agent, the same after a restart.
    pub name: AgentName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Rack of the host.
    pub rack: RackName,
    /// Service that the backend server implements.
    pub service: ServiceName,
    /// Listening address of the HTTP server that the backend server calls.
    pub local_address: SocketAddr,
    /// Listening address for the calls of the entries. The bound address is announced unchanged,
    /// so the entries must be able to reach it.
    pub rpc_address: SocketAddr,
    /// Entries to which the agent announces itself, with their RPC addresses.
    pub entries: Vec<(EntryName, SocketAddr)>,
    /// Time between two announcements to an entry.
    pub announce_interval: Duration,
    /// Longest duration of a graceful stop.
    pub shutdown_limit: Duration,
    /// Most bytes of stored responses to requests with tickets.
    pub max_response_bytes: usize,
    /// Most tickets that are tracked at a time.
    pub max_tickets: usize,
}

impl AgentOptions {
    /// Creates options with the default limits and without entries.
    #[must_use]
    pub fn new(
        name: AgentName,
        domain: DomainName,
        rack: RackName,
        service: ServiceName,
        local_address: SocketAddr,
        rpc_address: SocketAddr,
    ) -> Self {
        Self {
            name,
            domain,
            rack,
            service,
            local_address,
            rpc_address,
            entries: Vec::new(),
            announce_interval: Duration::from_millis(ANNOUNCE_INTERVAL.0),
            // A stopping agent answers requests with unused tickets until the tickets expire.
            shutdown_limit: Duration::from_millis(TICKET_TTL.0) + CLOSE_TIMEOUT,
            // A quarter of the memory of a daemon; queued request bodies need memory as well.
            max_response_bytes: 64 * 1024 * 1024,
            max_tickets: 100_000,
        }
    }
}

/// State of an agent and its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentStatus {
    /// State that is announced to the entries.
    pub state: MemberState,
    /// Load of the backend server as announced: running and queued requests, and slots.
    pub load: Load,
    /// Whether any entry has recently confirmed that it serves requests.
    pub is_entry_serving: bool,
    /// Offset of the configuration stream up to which records are applied.
    pub applied: Offset,
    /// Latest time at which an entry confirmed the applied configuration as current; `None` until
    /// the first confirmation.
    pub config_confirmed_at: Option<Instant>,
    /// Whether a graceful stop can finish: no request is in flight and no unused ticket is valid.
    /// False unless the agent is stopping.
    pub is_idle: bool,
}

/// Reason why an agent can't start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AgentError {
    /// A listening socket can't be opened.
    #[error("{purpose} on {address}: {source}")]
    Listen {
        /// Callers that the socket serves.
        purpose: &'static str,
        /// Address that was to be bound.
        address: SocketAddr,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The HTTP client can't be set up.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
}

/// A running agent. Dropping the handle ends the agent immediately, as a crash would.
#[derive(Debug)]
pub struct AgentHandle {
    incarnation: Incarnation,
    shutdown_limit: Duration,
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<AgentStatus>,
    rpc: RpcServer,
    local: LocalServer,
    tasks: JoinSet<()>,
}

impl AgentHandle {
    /// Returns the bound address for the calls of the entries.
    #[must_use]
    pub const fn rpc_address(&self) -> SocketAddr {
        self.rpc.address()
    }

    /// Returns the bound address of the HTTP server that the backend server calls.
    #[must_use]
    pub const fn local_address(&self) -> SocketAddr {
        self.local.address()
    }

    /// Returns the incarnation of this agent, which is new at each start.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns a receiver of the current status and its changes.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<AgentStatus> {
        self.status.clone()
    }

    /// Stops gracefully: the agent announces that it is leaving, completes the requests in flight,
    /// and answers requests with unused tickets until these expire, at most for the shutdown limit.
    pub async fn stop(mut self) {
        let deadline = Instant::now() + self.shutdown_limit;
        let idle = async {
            // Both fail only if the driver has ended, and then nothing is left to wait for.
            let _ = self.commands.send(Command::Stop).await;
            let _ = self.status.wait_for(|status| status.is_idle).await;
        };
        if timeout_at(deadline, idle).await.is_err() {
            log::warn!("shutdown limit exceeded before all requests ended and all tickets expired");
        }
        self.rpc.stop(CLOSE_TIMEOUT).await;
        self.local.stop(CLOSE_TIMEOUT).await;
        self.tasks.abort_all();
        let _ = timeout(CLOSE_TIMEOUT, async {
            while self.tasks.join_next().await.is_some() {}
        })
        .await;
    }
}

/// Starts an agent.
///
/// # Errors
///
/// Returns [`AgentError`] if a socket can't be opened or the HTTP client can't be set up.
pub async fn start(options: AgentOptions) -> Result<AgentHandle, AgentError> {
    let listen = |purpose, address| {
        let error = move |source| AgentError::Listen {
            purpose,
            address,
            source,
        };
        links::listen(address).map_err(error)
    };
    let rpc = listen("calls of the entries", options.rpc_address)?;
    let local = listen("announcements of the backend server", options.local_address)?;
    let error = |source| AgentError::Listen {
        purpose: "calls of the entries",
        address: options.rpc_address,
        source,
    };
    let incarnation = Incarnation(rand::random());
    let (commands, inbox) = mpsc::channel(COMMAND_QUEUE_LEN);
    let driver = Driver::new(
        gate_options(&options, incarnation),
        options.announce_interval,
        inbox,
    )?;
    let status = driver.status();
    let service = AgentService::new(incarnation, commands.clone());
    let handle = move |request: RpcRequest<AgentRpcRequest, AgentRpcResponse>| {
        request.execute(service.clone().serve())
    };
    let rpc = links::serve(rpc, ServeOptions::default(), handle).map_err(error)?;
    let local = servers::serve(local, &commands, &status).map_err(error)?;
    let mut tasks = JoinSet::new();
    tasks.spawn(driver.run());
    let announcer = Announcer::new(&options, incarnation, rpc.address(), &commands, &status);
    announcer.spawn(&options.entries, &mut tasks);
    log::info!(agent:% = options.name, rpc:% = rpc.address(); "the agent has started");
    Ok(AgentHandle {
        incarnation,
        shutdown_limit: options.shutdown_limit,
        commands,
        status,
        rpc,
        local,
        tasks,
    })
}

fn gate_options(options: &AgentOptions, incarnation: Incarnation) -> GateOptions {
    GateOptions {
        service: options.service.clone(),
        domain: options.domain.clone(),
        incarnation,
        seed: rand::random(),
        max_response_bytes: options.max_response_bytes,
        max_tickets: options.max_tickets,
    }
}

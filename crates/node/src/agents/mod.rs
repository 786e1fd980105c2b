//! The agent daemon: it stands beside one backend server, announces it, and runs requests there.

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

/// Commands that wait for the driver. Senders wait when it is full.
const COMMANDS: usize = 1_024;
/// Time to close connections after the last request has ended.
const CLOSE_LIMIT: Duration = Duration::from_secs(2);

/// Settings of an agent.
#[derive(Clone, Debug)]
pub struct AgentOptions {
    /// Name of the agent.
    pub name: AgentName,
    /// Failure domain.
    pub domain: DomainName,
    /// Rack.
    pub rack: RackName,
    /// Service of the backend server.
    pub service: ServiceName,
    /// Address of the HTTP server for the backend server.
    pub local_address: SocketAddr,
    /// Address on which the entries call; it is announced as it is.
    pub rpc_address: SocketAddr,
    /// Entries to which the agent announces itself.
    pub entries: Vec<(EntryName, SocketAddr)>,
    /// Interval of the announcements.
    pub announce_interval: Duration,
    /// Longest time of a graceful stop.
    pub shutdown_limit: Duration,
    /// Most bytes of kept answers.
    pub max_response_bytes: usize,
    /// Most tickets in the table.
    pub max_tickets: usize,
}

impl AgentOptions {
    /// Creates settings with defaults for everything that has one.
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
            // Unused tickets are answered until they expire.
            shutdown_limit: Duration::from_millis(TICKET_TTL.0) + CLOSE_LIMIT,
            // A quarter of the memory of a daemon; waiting bodies need room too.
            max_response_bytes: 64 * 1024 * 1024,
            max_tickets: 100_000,
        }
    }
}

/// What an agent knows of itself and its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgentStatus {
    /// State that is announced.
    pub state: MemberState,
    /// Load.
    pub load: Load,
    /// Whether an entry said within the limit that it serves.
    pub is_entry_serving: bool,
    /// Offset up to which the configuration is applied.
    pub applied: Offset,
    /// Time as of which the configuration is proved to be in force.
    pub config_confirmed_at: Option<Instant>,
    /// Whether a stop has nothing left to wait for.
    pub is_idle: bool,
}

/// Why an agent can't start.
#[derive(Debug, thiserror::Error)]
#[non_exhaustive]
pub enum AgentError {
    /// A listening socket can't be opened.
    #[error("{purpose} on {address}: {source}")]
    Listen {
        /// What the socket is for.
        purpose: &'static str,
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: std::io::Error,
    },
    /// The HTTP client can't be set up.
    #[error("HTTP client: {0}")]
    Client(#[from] reqwest::Error),
}

/// A running agent. Dropping it ends the agent at once, as a crash would.
#[derive(Debug)]
pub struct AgentHandle {
    incarnation: Incarnation,
    shutdown: Duration,
    commands: mpsc::Sender<Command>,
    status: watch::Receiver<AgentStatus>,
    rpc: RpcServer,
    local: LocalServer,
    tasks: JoinSet<()>,
}

impl AgentHandle {
    /// Returns the address on which the entries call.
    #[must_use]
    pub const fn rpc_address(&self) -> SocketAddr {
        self.rpc.address()
    }

    /// Returns the address of the HTTP server for the backend server.
    #[must_use]
    pub const fn local_address(&self) -> SocketAddr {
        self.local.address()
    }

    /// Returns the life of this agent.
    #[must_use]
    pub const fn incarnation(&self) -> Incarnation {
        self.incarnation
    }

    /// Returns the status and its changes.
    #[must_use]
    pub fn status(&self) -> watch::Receiver<AgentStatus> {
        self.status.clone()
    }

    /// Stops gracefully: the agent announces that it leaves, ends the requests in flight, and
    /// answers unused tickets until they expire, at the latest until the shutdown limit.
    pub async fn stop(mut self) {
        let deadline = Instant::now() + self.shutdown;
        let idle = async {
            // Both fail only if the driver has ended, and then there is nothing to wait for.
            let _ = self.commands.send(Command::Stop).await;
            let _ = self.status.wait_for(|status| status.is_idle).await;
        };
        if timeout_at(deadline, idle).await.is_err() {
            log::warn!("the shutdown limit passed before all requests and tickets were answered");
        }
        self.rpc.stop(CLOSE_LIMIT).await;
        self.local.stop(CLOSE_LIMIT).await;
        self.tasks.abort_all();
        let _ = timeout(CLOSE_LIMIT, async {
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
    let (commands, inbox) = mpsc::channel(COMMANDS);
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
        shutdown: options.shutdown_limit,
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

//! A whole fleet in this process, over loopback.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use eyre::{Result, WrapErr, eyre};
use hyssop_core::{
    AgentName, CellId, DomainName, EntryName, RackName, Resources, ServiceName, TeamName,
    WorkerName,
};
use hyssop_node::agents::{self, AgentHandle, AgentOptions};
use hyssop_node::entries::{self, EntryHandle, EntryOptions};
use hyssop_node::settings::{HttpBase, Secret, Tokens};
use hyssop_standins::{
    BackendHandle, BackendLedger, BackendOptions, BackendServer, LogHandle, LogServer,
    LogServerOptions, WorkerHandle, WorkerLedger, WorkerOptions, WorkerServer,
};

use crate::processes::{OPERATOR_TOKEN, Ports, TEAM, TEAM_TOKEN};

/// Failure domains of the fleet.
pub const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "forde"];
/// Workers in each domain.
pub const WORKERS_PER_DOMAIN: usize = 2;
/// Backend servers in each domain.
pub const BACKENDS_PER_DOMAIN: usize = 2;
/// Service of the backend servers.
pub const SERVICE: &str = "planner";

/// Capacity of a worker: 16 cores and 60 GiB.
const CAPACITY: Resources = Resources::new(16_000, 61_440, 0);
/// Starts with other ports after one was taken.
const STARTS: usize = 5;

/// A worker with its place.
struct Worker {
    handle: WorkerHandle,
    name: WorkerName,
    domain: DomainName,
}

/// A backend server with the agent beside it.
struct Server {
    agent: AgentHandle,
    backend: BackendHandle,
    domain: DomainName,
}

/// A running fleet: one log service, one entry in each domain, workers, agents, backend servers.
pub struct Fleet {
    servers: Vec<Server>,
    entries: Vec<EntryHandle>,
    workers: Vec<Worker>,
    log: LogHandle,
}

impl Fleet {
    /// Starts all parts.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start.
    pub async fn start() -> Result<Self> {
        let log = LogServer::start(LogServerOptions::default()).await?;
        let mut workers = Vec::new();
        for (domain, number) in places(WORKERS_PER_DOMAIN) {
            workers.push(start_worker(domain, number).await?);
        }
        let entries = start_entries(log.address(), &workers).await?;
        let mut servers = Vec::new();
        for (domain, number) in places(BACKENDS_PER_DOMAIN) {
            servers.push(start_server(domain, number, &entries).await?);
        }
        Ok(Self {
            servers,
            entries,
            workers,
            log,
        })
    }

    /// Returns the base URLs of the entries.
    #[must_use]
    pub fn entry_urls(&self) -> Vec<String> {
        let addresses = self.entries.iter().map(EntryHandle::http_address);
        addresses
            .map(|address| format!("http://{address}"))
            .collect()
    }

    /// Returns what the backend servers ran, with their domains.
    #[must_use]
    pub fn backend_ledgers(&self) -> Vec<(DomainName, BackendLedger)> {
        let servers = self.servers.iter();
        let ledgers = servers.map(|server| (server.domain.clone(), server.backend.ledger()));
        ledgers.collect()
    }

    /// Returns what the workers ran, with their domains.
    #[must_use]
    pub fn worker_ledgers(&self) -> Vec<(DomainName, WorkerLedger)> {
        let workers = self.workers.iter();
        let ledgers = workers.map(|worker| (worker.domain.clone(), worker.handle.ledger()));
        ledgers.collect()
    }

    /// Stops the entries in order and everything else at once.
    pub async fn stop(self) {
        for entry in self.entries {
            entry.stop().await;
        }
        for server in self.servers {
            // An agent would wait for its unused tickets, which nobody is going to use.
            drop(server.agent);
            server.backend.kill().await;
        }
        for worker in self.workers {
            worker.handle.stop().await;
        }
        self.log.stop().await;
    }
}

fn places(count: usize) -> impl Iterator<Item = (&'static str, usize)> {
    DOMAINS
        .into_iter()
        .flat_map(move |domain| (1..=count).map(move |number| (domain, number)))
}

async fn start_worker(domain: &str, number: usize) -> Result<Worker> {
    let name = WorkerName::new(format!("worker-{domain}-{number}"))?;
    let options = WorkerOptions::new(name.clone(), rack(domain, number)?, CAPACITY);
    Ok(Worker {
        handle: WorkerServer::start(options).await?,
        name,
        domain: DomainName::new(domain)?,
    })
}

async fn start_server(domain: &str, number: usize, entries: &[EntryHandle]) -> Result<Server> {
    let service = ServiceName::new(SERVICE)?;
    let free = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut options = AgentOptions::new(
        AgentName::new(format!("agent-{domain}-{number}"))?,
        DomainName::new(domain)?,
        rack(domain, number)?,
        service.clone(),
        free,
        free,
    );
    for (index, entry) in entries.iter().enumerate() {
        options
            .entries
            .push((entry_name(index)?, entry.rpc_address()));
    }
    let agent = agents::start(options).await?;
    let local = agent.local_address().to_string();
    let backend = BackendOptions::new(service).with_agent(local);
    Ok(Server {
        agent,
        backend: BackendServer::start(backend).await?,
        domain: DomainName::new(domain)?,
    })
}

/// Starts the entries, with other ports if another program has taken one after its release.
async fn start_entries(log: SocketAddr, workers: &[Worker]) -> Result<Vec<EntryHandle>> {
    let mut last = eyre!("no entries");
    for _ in 0..STARTS {
        match try_entries(log, workers).await {
            Ok(entries) => return Ok(entries),
            Err(error) => last = error,
        }
    }
    Err(last.wrap_err("start of the entries"))
}

async fn try_entries(log: SocketAddr, workers: &[Worker]) -> Result<Vec<EntryHandle>> {
    let ports = Ports::reserve(DOMAINS.len())?;
    let addresses = ports.addresses()?;
    ports.release();
    let mut entries = Vec::new();
    for index in 0..DOMAINS.len() {
        let options = entry_options(index, &addresses, log, workers)?;
        entries.push(entries::start(options).await?);
    }
    Ok(entries)
}

fn entry_options(
    index: usize,
    addresses: &[SocketAddr],
    log: SocketAddr,
    workers: &[Worker],
) -> Result<EntryOptions> {
    let operator = Secret::new(OPERATOR_TOKEN).ok_or_else(|| eyre!("operators' token"))?;
    let domain = DomainName::new(DOMAINS[index])?;
    let mut options = EntryOptions::new(entry_name(index)?, domain, HttpBase(log), operator);
    let token = Secret::new(TEAM_TOKEN).ok_or_else(|| eyre!("team's token"))?;
    options.tokens = Tokens::default();
    options.tokens.insert(TeamName::new(TEAM)?, token);
    options.rpc_address = addresses[index];
    for (other, address) in addresses.iter().enumerate() {
        if other != index {
            options.peers.push((entry_name(other)?, *address));
        }
    }
    let domains = DOMAINS.into_iter().map(DomainName::new);
    options.domains = domains.collect::<hyssop_core::Result<BTreeSet<_>>>()?;
    for worker in workers {
        let cell = CellId::new(worker.domain.clone(), 0);
        let place = (worker.name.clone(), cell, worker.handle.address());
        options.workers.push(place);
    }
    Ok(options)
}

fn entry_name(index: usize) -> Result<EntryName> {
    EntryName::new(format!("entry-{}", index + 1)).wrap_err("name of an entry")
}

fn rack(domain: &str, number: usize) -> Result<RackName> {
    RackName::new(format!("{domain}-r{number}")).wrap_err("name of a rack")
}

//! Fleet of processes.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use hyssop_standins::{BackendLedger, WorkerLedger};
use serde::de::DeserializeOwned;

use super::{Ports, Process};
use crate::waits::wait_until;

/// Team to which [`TEAM_TOKEN`] belongs.
pub const TEAM: &str = "haugland";
/// Token of [`TEAM`] that the entries accept.
pub const TEAM_TOKEN: &str = "team-token-for-tests";
/// Operators' token that the entries accept.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";

/// Timeout for a process to listen, with a margin for busy machines.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// Timeout for an entry to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for a process to stop; longer than the shutdown limits of the processes.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Attempts to start a process; a new one is needed if another program takes a released port.
const MAX_START_ATTEMPTS: usize = 5;

/// Options of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of entries.
    pub entries: usize,
    /// Failure domains; each gets a worker, an agent and a backend server.
    pub domains: Vec<String>,
    /// Service that the backend servers run.
    pub service: String,
    /// Time that each request takes at a backend server, in milliseconds.
    pub service_time_ms: u64,
}

impl Default for FleetOptions {
    fn default() -> Self {
        let domains = ["bergen-a", "bergen-b", "forde"];
        Self {
            entries: 2,
            domains: domains.map(str::to_owned).to_vec(),
            service: "planner".to_owned(),
            service_time_ms: 5,
        }
    }
}

/// Process of a stand-in.
#[derive(Debug)]
pub struct StandInProcess {
    /// Handle of the process.
    pub process: Process,
    /// Failure domain; empty for the log service.
    pub domain: String,
    /// Address of the HTTP interface.
    pub address: SocketAddr,
}

/// Process of an entry.
#[derive(Debug)]
pub struct EntryProcess {
    /// Handle of the process.
    pub process: Process,
    /// Name of the entry.
    pub name: String,
    /// RPC address for agents and other entries.
    pub rpc_address: SocketAddr,
    /// Base URL for callers and operators, without a trailing slash.
    pub base_url: String,
    args: Vec<String>,
}

/// Process of an agent.
#[derive(Debug)]
pub struct AgentProcess {
    /// Handle of the process.
    pub process: Process,
    /// Failure domain that the agent serves.
    pub domain: String,
    /// Address that the backend server of the agent uses.
    pub local_address: SocketAddr,
    args: Vec<String>,
}

/// Fleet of processes, which are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Options that the fleet was started with.
    pub options: FleetOptions,
    /// Backend servers, in the order of the domains.
    pub backends: Vec<StandInProcess>,
    /// Agents, in the order of the domains.
    pub agents: Vec<AgentProcess>,
    /// Entries, in the order of their numbers.
    pub entries: Vec<EntryProcess>,
    /// Workers, in the order of the domains.
    pub workers: Vec<StandInProcess>,
    /// Log service of all entries.
    pub log: StandInProcess,
}

impl Fleet {
    /// Starts all components and waits until the entries are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a component does not start or an entry does not become ready.
    pub async fn start(options: FleetOptions) -> Result<Self> {
        let log = start_log().await?;
        let mut workers = Vec::new();
        for domain in &options.domains {
            workers.push(start_worker(domain).await?);
        }
        let entries = start_entries(&options, &log, &workers).await?;
        let mut fleet = Self {
            options,
            backends: Vec::new(),
            agents: Vec::new(),
            entries,
            workers,
            log,
        };
        for domain in fleet.options.domains.clone() {
            let agent = fleet.start_agent(&domain).await?;
            let backend = fleet.start_backend(&domain, agent.local_address).await?;
            fleet.agents.push(agent);
            fleet.backends.push(backend);
        }
        for entry in &fleet.entries {
            entry
                .wait_ready()
                .await
                .wrap_err_with(|| entry.process.output())?;
        }
        Ok(fleet)
    }

    /// Returns the base URLs of the entries.
    #[must_use]
    pub fn entry_urls(&self) -> Vec<String> {
        let urls = self.entries.iter().map(|entry| entry.base_url.clone());
        urls.collect()
    }

    /// Restarts an entry that has exited, with its name and RPC address and on a new HTTP port.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub async fn restart_entry(&mut self, index: usize) -> Result<()> {
        let Some(entry) = self.entries.get_mut(index) else {
            bail!("there is no entry {index}");
        };
        entry.process = start_daemon("hyssop-entry", &entry.name, &entry.args)?;
        let (http, _) = entry.process.listen_addresses().await?;
        entry.base_url = format!("http://{http}");
        Ok(())
    }

    /// Restarts an agent that has exited, with its name and local address.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start.
    pub async fn restart_agent(&mut self, index: usize) -> Result<()> {
        let Some(agent) = self.agents.get_mut(index) else {
            bail!("there is no agent {index}");
        };
        let name = agent.process.name().to_owned();
        agent.process = start_daemon("hyssop-agent", &name, &agent.args)?;
        agent.process.listen_addresses().await?;
        Ok(())
    }

    /// Returns the ledgers of the backend servers.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not respond.
    pub async fn backend_ledgers(&self) -> Result<Vec<BackendLedger>> {
        fetch_ledgers(&self.backends).await
    }

    /// Returns the ledgers of the workers.
    ///
    /// # Errors
    ///
    /// Returns an error if one of them does not respond.
    pub async fn worker_ledgers(&self) -> Result<Vec<WorkerLedger>> {
        fetch_ledgers(&self.workers).await
    }

    /// Stops all components with SIGTERM, in this order: backend servers, agents, entries, workers,
    /// log.
    ///
    /// # Errors
    ///
    /// Returns an error if a process does not exit in time, or exits with a status other than 0.
    pub async fn stop(mut self) -> Result<()> {
        let backends = self.backends.iter_mut().map(|part| &mut part.process);
        stop_all(backends).await?;
        stop_all(self.agents.iter_mut().map(|part| &mut part.process)).await?;
        stop_all(self.entries.iter_mut().map(|part| &mut part.process)).await?;
        stop_all(self.workers.iter_mut().map(|part| &mut part.process)).await?;
        stop_all(std::iter::once(&mut self.log.process)).await
    }

    /// Starts an agent; tries again with another port if another program takes the released one.
    async fn start_agent(&self, domain: &str) -> Result<AgentProcess> {
        let mut last_error = eyre!("no agent");
        for _ in 0..MAX_START_ATTEMPTS {
            match self.try_agent(domain).await {
                Ok(agent) => return Ok(agent),
                Err(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn try_agent(&self, domain: &str) -> Result<AgentProcess> {
        let name = format!("agent-{domain}");
        let entries = self
            .entries
            .iter()
            .map(|e| format!("{}={}", e.name, e.rpc_address));
        // The port is fixed, so that the backend server finds the agent after a restart.
        let listen = Ports::reserve(1)?.addresses()?;
        let listen = listen.first().ok_or_else(|| eyre!("no free port"))?;
        let args = flags(&[
            ("name", &name),
            ("domain", domain),
            ("rack", &format!("{domain}-r1")),
            ("service", &self.options.service),
            ("listen", &listen.to_string()),
            ("rpc", "127.0.0.1:0"),
            ("entries", &Vec::from_iter(entries).join(",")),
            // A short limit, because the agent would wait until unused tickets expire.
            ("shutdown-limit", "5"),
        ]);
        let mut process = start_daemon("hyssop-agent", &name, &args)?;
        let (local_address, _) = process.listen_addresses().await?;
        Ok(AgentProcess {
            process,
            domain: domain.to_owned(),
            local_address,
            args,
        })
    }

    async fn start_backend(&self, domain: &str, agent: SocketAddr) -> Result<StandInProcess> {
        let service_time = self.options.service_time_ms.to_string();
        let args = flags(&[
            ("listen", "127.0.0.1:0"),
            ("service", &self.options.service),
            ("agent", &agent.to_string()),
            ("service-time", &service_time),
        ]);
        start_stand_in(
            "standin-backend",
            &format!("backend-{domain}"),
            domain,
            &args,
        )
        .await
    }
}

impl EntryProcess {
    /// Waits until the entry is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if the entry is not ready within a minute.
    pub async fn wait_ready(&self) -> Result<()> {
        let client = http_client()?;
        let url = format!("{}/readyz", self.base_url);
        let what = format!("{} is ready", self.name);
        wait_until(&what, READY_TIMEOUT, async || {
            let response = client.get(&url).send().await.ok()?;
            response.status().is_success().then_some(())
        })
        .await
    }
}

impl Process {
    /// Waits for the log line with the HTTP and RPC addresses of a daemon, and returns them.
    async fn listen_addresses(&mut self) -> Result<(SocketAddr, SocketAddr)> {
        self.wait_for_line("a daemon listens", START_TIMEOUT, |line| {
            let (_, rest) = line.split_once(" listening ")?;
            let field = |name| rest.split(' ').find_map(|part| part.strip_prefix(name));
            Some((field("http=")?.parse().ok()?, field("rpc=")?.parse().ok()?))
        })
        .await
    }
}

async fn start_log() -> Result<StandInProcess> {
    let args = flags(&[("listen", "127.0.0.1:0")]);
    start_stand_in("standin-log", "log", "", &args).await
}

async fn start_worker(domain: &str) -> Result<StandInProcess> {
    let name = format!("worker-{domain}");
    let rack = format!("{domain}-r1");
    let args = flags(&[("listen", "127.0.0.1:0"), ("name", &name), ("rack", &rack)]);
    start_stand_in("standin-worker", &name, domain, &args).await
}

async fn start_stand_in(
    program: &str,
    name: &str,
    domain: &str,
    args: &[String],
) -> Result<StandInProcess> {
    let mut process = Process::start(name, program, args, &[])?;
    let address = process.wait_for_line("a stand-in listens", START_TIMEOUT, |line| {
        line.strip_prefix("listening on ")?.parse().ok()
    });
    let address = address.await?;
    Ok(StandInProcess {
        process,
        domain: domain.to_owned(),
        address,
    })
}

/// Starts the entries; tries again with other ports if another program takes a released one.
async fn start_entries(
    options: &FleetOptions,
    log: &StandInProcess,
    workers: &[StandInProcess],
) -> Result<Vec<EntryProcess>> {
    let mut last_error = eyre!("no entries");
    for _ in 0..MAX_START_ATTEMPTS {
        match try_entries(options, log, workers).await {
            Ok(entries) => return Ok(entries),
            Err(error) => last_error = error,
        }
    }
    Err(last_error)
}

async fn try_entries(
    options: &FleetOptions,
    log: &StandInProcess,
    workers: &[StandInProcess],
) -> Result<Vec<EntryProcess>> {
    let ports = Ports::reserve(options.entries)?;
    let addresses = ports.addresses()?;
    let name = |index: usize| format!("entry-{}", index + 1);
    let members = workers.iter().map(|worker| {
        let name = worker.process.name();
        format!("{name}@{}=http://{}", worker.domain, worker.address)
    });
    let members = Vec::from_iter(members).join(",");
    ports.release();
    let mut entries = Vec::new();
    for (index, rpc) in addresses.iter().enumerate() {
        let others = addresses.iter().enumerate();
        let others = others.filter(|(other, _)| *other != index);
        let peers = others.map(|(other, rpc)| format!("{}={rpc}", name(other)));
        let domain = options.domains.get(index % options.domains.len().max(1));
        let args = flags(&[
            ("name", &name(index)),
            ("domain", domain.map_or("", String::as_str)),
            ("listen", "127.0.0.1:0"),
            ("rpc", &rpc.to_string()),
            ("peers", &Vec::from_iter(peers).join(",")),
            ("log", &format!("http://{}", log.address)),
            ("workers", &members),
            ("domains", &options.domains.join(",")),
        ]);
        let mut process = start_daemon("hyssop-entry", &name(index), &args)?;
        let (http, rpc_address) = process.listen_addresses().await?;
        entries.push(EntryProcess {
            process,
            name: name(index),
            rpc_address,
            base_url: format!("http://{http}"),
            args,
        });
    }
    Ok(entries)
}

/// Starts a daemon with the tokens in its environment; an agent ignores them.
fn start_daemon(program: &str, name: &str, args: &[String]) -> Result<Process> {
    let tokens = format!("{TEAM}={TEAM_TOKEN}");
    let env = [
        ("HYSSOP_TOKENS", tokens.as_str()),
        ("HYSSOP_OPERATOR_TOKEN", OPERATOR_TOKEN),
    ];
    Process::start(name, program, args, &env)
}

fn flags(pairs: &[(&str, &str)]) -> Vec<String> {
    let flags = pairs
        .iter()
        .flat_map(|(name, value)| [format!("--{name}"), (*value).to_owned()]);
    flags.collect()
}

async fn stop_all(processes: impl Iterator<Item = &mut Process>) -> Result<()> {
    let mut stopping = Vec::new();
    for process in processes {
        process.signal(nix::sys::signal::Signal::SIGTERM)?;
        stopping.push(process);
    }
    for process in stopping {
        let status = process.wait_for_exit(STOP_TIMEOUT).await?;
        if !status.success() {
            bail!(
                "{} ended with {status}; output:\n{}",
                process.name(),
                process.output()
            );
        }
    }
    Ok(())
}

fn http_client() -> Result<reqwest::Client> {
    let client = reqwest::Client::builder().no_proxy();
    Ok(client.timeout(Duration::from_secs(10)).build()?)
}

async fn fetch_ledgers<T: DeserializeOwned>(processes: &[StandInProcess]) -> Result<Vec<T>> {
    let client = http_client()?;
    let mut ledgers = Vec::new();
    for process in processes {
        let url = format!("http://{}/v1/ledger", process.address);
        let response = client.get(url).send().await?.error_for_status()?;
        ledgers.push(response.json().await?);
    }
    Ok(ledgers)
}

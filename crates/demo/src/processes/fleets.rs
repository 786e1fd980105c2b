//! A whole fleet of processes.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, WrapErr, bail, eyre};
use hyssop_standins::{BackendLedger, WorkerLedger};
use serde::de::DeserializeOwned;

use super::{Ports, Process};
use crate::waits::wait_until;

/// Team to which [`TEAM_TOKEN`] belongs.
pub const TEAM: &str = "haugland";
/// Token of the team.
pub const TEAM_TOKEN: &str = "team-token-for-tests";
/// Token of the operators.
pub const OPERATOR_TOKEN: &str = "operator-token-for-tests";

/// Longest wait for a process to listen; a busy machine needs some of it.
const START_LIMIT: Duration = Duration::from_secs(30);
/// Longest wait for the fleet to become ready.
const READY_LIMIT: Duration = Duration::from_secs(60);
/// Longest stop of one process, above the limits of their own stops.
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// Starts of the entries with other ports after one was taken.
const STARTS: usize = 5;

/// Options of a [`Fleet`].
#[derive(Clone, Debug)]
pub struct FleetOptions {
    /// Number of entries.
    pub entries: usize,
    /// Failure domains; each gets a worker, an agent and a backend server.
    pub domains: Vec<String>,
    /// Service of the backend servers.
    pub service: String,
    /// Time that a request takes at a backend server, in milliseconds.
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

/// A stand-in.
#[derive(Debug)]
pub struct StandInProcess {
    /// Process.
    pub process: Process,
    /// Failure domain; empty for the log service.
    pub domain: String,
    /// Address of its HTTP interface.
    pub address: SocketAddr,
}

/// An entry.
#[derive(Debug)]
pub struct EntryProcess {
    /// Process.
    pub process: Process,
    /// Name.
    pub name: String,
    /// Address for agents and the other entries.
    pub rpc_address: SocketAddr,
    /// Base URL for callers and operators.
    pub base_url: String,
    args: Vec<String>,
}

/// An agent.
#[derive(Debug)]
pub struct AgentProcess {
    /// Process.
    pub process: Process,
    /// Failure domain.
    pub domain: String,
    /// Address for its backend server.
    pub local_address: SocketAddr,
    args: Vec<String>,
}

/// A fleet of processes. All end when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Options.
    pub options: FleetOptions,
    /// Backend servers, in the order of the domains.
    pub backends: Vec<StandInProcess>,
    /// Agents, in the order of the domains.
    pub agents: Vec<AgentProcess>,
    /// Entries.
    pub entries: Vec<EntryProcess>,
    /// Workers, in the order of the domains.
    pub workers: Vec<StandInProcess>,
    /// Log service.
    pub log: StandInProcess,
}

impl Fleet {
    /// Starts all parts and waits until the entries are ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a part does not start or the entries do not become ready.
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
        let bases = self.entries.iter().map(|entry| entry.base_url.clone());
        bases.collect()
    }

    /// Starts an entry again that has ended, under its name and addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn restart_entry(&mut self, index: usize) -> Result<()> {
        let Some(entry) = self.entries.get_mut(index) else {
            bail!("there is no entry {index}");
        };
        entry.process = start_daemon("hyssop-entry", &entry.name, &entry.args)?;
        let (http, _) = entry.process.listening().await?;
        entry.base_url = format!("http://{http}");
        Ok(())
    }

    /// Starts an agent again that has ended, under its name and addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if it does not start.
    pub async fn restart_agent(&mut self, index: usize) -> Result<()> {
        let Some(agent) = self.agents.get_mut(index) else {
            bail!("there is no agent {index}");
        };
        let name = agent.process.name().to_owned();
        agent.process = start_daemon("hyssop-agent", &name, &agent.args)?;
        agent.process.listening().await?;
        Ok(())
    }

    /// Returns what the backend servers ran.
    ///
    /// # Errors
    ///
    /// Returns an error if one does not answer.
    pub async fn backend_ledgers(&self) -> Result<Vec<BackendLedger>> {
        ledgers(&self.backends).await
    }

    /// Returns what the workers ran.
    ///
    /// # Errors
    ///
    /// Returns an error if one does not answer.
    pub async fn worker_ledgers(&self) -> Result<Vec<WorkerLedger>> {
        ledgers(&self.workers).await
    }

    /// Stops all parts in order with SIGTERM: backend servers, agents, entries, workers, log.
    ///
    /// # Errors
    ///
    /// Returns an error if one does not end, or with another status than 0.
    pub async fn stop(mut self) -> Result<()> {
        let backends = self.backends.iter_mut().map(|part| &mut part.process);
        stop_all(backends).await?;
        stop_all(self.agents.iter_mut().map(|part| &mut part.process)).await?;
        stop_all(self.entries.iter_mut().map(|part| &mut part.process)).await?;
        stop_all(self.workers.iter_mut().map(|part| &mut part.process)).await?;
        stop_all(std::iter::once(&mut self.log.process)).await
    }

    /// Starts an agent, with another port if another program has taken one after its release.
    async fn start_agent(&self, domain: &str) -> Result<AgentProcess> {
        let mut last = eyre!("no agent");
        for _ in 0..STARTS {
            match self.try_agent(domain).await {
                Ok(agent) => return Ok(agent),
                Err(error) => last = error,
            }
        }
        Err(last)
    }

    async fn try_agent(&self, domain: &str) -> Result<AgentProcess> {
        let name = format!("agent-{domain}");
        let rpcs = self
            .entries
            .iter()
            .map(|e| format!("{}={}", e.name, e.rpc_address));
        // The backend server finds an agent that was restarted under the same address.
        let listen = Ports::reserve(1)?.addresses()?;
        let listen = listen.first().ok_or_else(|| eyre!("no free port"))?;
        let args = flags(&[
            ("name", &name),
            ("domain", domain),
            ("rack", &format!("{domain}-r1")),
            ("service", &self.options.service),
            ("listen", &listen.to_string()),
            ("rpc", "127.0.0.1:0"),
            ("entries", &Vec::from_iter(rpcs).join(",")),
            // Tickets that nobody uses are not what the tests wait for.
            ("shutdown-limit", "5"),
        ]);
        let mut process = start_daemon("hyssop-agent", &name, &args)?;
        let (local, _) = process.listening().await?;
        Ok(AgentProcess {
            process,
            domain: domain.to_owned(),
            local_address: local,
            args,
        })
    }

    async fn start_backend(&self, domain: &str, agent: SocketAddr) -> Result<StandInProcess> {
        let time = self.options.service_time_ms.to_string();
        let args = flags(&[
            ("listen", "127.0.0.1:0"),
            ("service", &self.options.service),
            ("agent", &agent.to_string()),
            ("service-time", &time),
        ]);
        start_part(
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
    /// Returns an error if it is not within a minute.
    pub async fn wait_ready(&self) -> Result<()> {
        let client = client()?;
        let url = format!("{}/readyz", self.base_url);
        let what = format!("{} is ready", self.name);
        wait_until(&what, READY_LIMIT, async || {
            let response = client.get(&url).send().await.ok()?;
            response.status().is_success().then_some(())
        })
        .await
    }
}

impl Process {
    /// Waits for the line in which a daemon states its HTTP and RPC addresses.
    async fn listening(&mut self) -> Result<(SocketAddr, SocketAddr)> {
        self.wait_for_line("a daemon listens", START_LIMIT, |line| {
            let (_, rest) = line.split_once(" listening ")?;
            let field = |name| rest.split(' ').find_map(|part| part.strip_prefix(name));
            Some((field("http=")?.parse().ok()?, field("rpc=")?.parse().ok()?))
        })
        .await
    }
}

async fn start_log() -> Result<StandInProcess> {
    let args = flags(&[("listen", "127.0.0.1:0")]);
    start_part("standin-log", "log", "", &args).await
}

async fn start_worker(domain: &str) -> Result<StandInProcess> {
    let name = format!("worker-{domain}");
    let rack = format!("{domain}-r1");
    let args = flags(&[("listen", "127.0.0.1:0"), ("name", &name), ("rack", &rack)]);
    start_part("standin-worker", &name, domain, &args).await
}

async fn start_part(of: &str, name: &str, domain: &str, args: &[String]) -> Result<StandInProcess> {
    let mut process = Process::start(name, of, args, &[])?;
    let address = process.wait_for_line("a stand-in listens", START_LIMIT, |line| {
        line.strip_prefix("listening on ")?.parse().ok()
    });
    let address = address.await?;
    Ok(StandInProcess {
        process,
        domain: domain.to_owned(),
        address,
    })
}

/// Starts the entries, with other ports if another program has taken one after its release.
async fn start_entries(
    options: &FleetOptions,
    log: &StandInProcess,
    workers: &[StandInProcess],
) -> Result<Vec<EntryProcess>> {
    let mut last = eyre!("no entries");
    for _ in 0..STARTS {
        match try_entries(options, log, workers).await {
            Ok(entries) => return Ok(entries),
            Err(error) => last = error,
        }
    }
    Err(last)
}

async fn try_entries(
    options: &FleetOptions,
    log: &StandInProcess,
    workers: &[StandInProcess],
) -> Result<Vec<EntryProcess>> {
    let ports = Ports::reserve(options.entries)?;
    let addresses = ports.addresses()?;
    let name = |index: usize| format!("entry-{}", index + 1);
    let places = workers.iter().map(|worker| {
        let name = worker.process.name();
        format!("{name}@{}=http://{}", worker.domain, worker.address)
    });
    let places = Vec::from_iter(places).join(",");
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
            ("workers", &places),
            ("domains", &options.domains.join(",")),
        ]);
        let mut process = start_daemon("hyssop-entry", &name(index), &args)?;
        let (http, rpc) = process.listening().await?;
        entries.push(EntryProcess {
            process,
            name: name(index),
            rpc_address: rpc,
            base_url: format!("http://{http}"),
            args,
        });
    }
    Ok(entries)
}

/// Starts a daemon; an agent leaves the tokens unread.
fn start_daemon(of: &str, name: &str, args: &[String]) -> Result<Process> {
    let tokens = format!("{TEAM}={TEAM_TOKEN}");
    let env = [
        ("HYSSOP_TOKENS", tokens.as_str()),
        ("HYSSOP_OPERATOR_TOKEN", OPERATOR_TOKEN),
    ];
    Process::start(name, of, args, &env)
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
        let status = process.wait_for_exit(STOP_LIMIT).await?;
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

fn client() -> Result<reqwest::Client> {
    let client = reqwest::Client::builder().no_proxy();
    Ok(client.timeout(Duration::from_secs(10)).build()?)
}

async fn ledgers<T: DeserializeOwned>(parts: &[StandInProcess]) -> Result<Vec<T>> {
    let client = client()?;
    let mut ledgers = Vec::new();
    for part in parts {
        let url = format!("http://{}/v1/ledger", part.address);
        let response = client.get(url).send().await?.error_for_status()?;
        ledgers.push(response.json().await?);
    }
    Ok(ledgers)
}

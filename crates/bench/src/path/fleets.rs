//! Log, entry, agent and backend server in this process, connected over loopback.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::{Result, bail, ensure};
use hyssop_core::api::TicketsReply;
use hyssop_core::{AgentName, DomainName, EntryName, Millis, RackName, ServiceName, TeamName};
use hyssop_node::agents::{self, AgentHandle, AgentOptions};
use hyssop_node::entries::{self, EntryHandle, EntryOptions};
use hyssop_node::settings::{HttpBase, Secret, Tokens};
use hyssop_standins::{
    BackendHandle, BackendOptions, BackendServer, LogHandle, LogServer, LogServerOptions,
};
use reqwest::Client;
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Token of the calling team.
pub(super) const TOKEN: &str = "team-token-of-the-measurement";
const OPERATOR: &str = "operator-token-of-the-measurement";
const DOMAIN: &str = "bergen-a";
/// Longest wait for the fleet to be ready.
const PATIENCE: Duration = Duration::from_secs(30);
const LOOK: Duration = Duration::from_millis(50);

/// As many slots as callers, so that no request waits for a slot on any path.
const DOCUMENT: &str = r#"
service = "planner"
team = "haugland"
class = "latency-critical"
domains = ["bergen-a"]

[needs]
instances = 1
resources = { cpu = 1000, mem = 1024 }

[limits]
slots = 64
connections = 128
inflight = 1024
deadline = 10000
"#;

/// Everything that runs.
pub(super) struct Fleet {
    _log: LogHandle,
    entry: EntryHandle,
    _agent: AgentHandle,
    backend: BackendHandle,
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Fleet {
    /// Starts all parts and waits until a request gets its response.
    pub(super) async fn start(client: &Client, service_time: Millis) -> Result<Self> {
        let log = LogServer::start(LogServerOptions::default()).await?;
        let entry = entries::start(entry_options(&log)?).await?;
        apply(client, &entry).await?;
        let service = ServiceName::new("planner")?;
        let mut options = AgentOptions::new(
            AgentName::new("agent-a")?,
            DomainName::new(DOMAIN)?,
            RackName::new("bergen-a-r0")?,
            service.clone(),
            any_port(),
            any_port(),
        );
        options.entries = vec![(EntryName::new("entry-a")?, entry.rpc_address())];
        let agent = agents::start(options).await?;
        let backend = BackendOptions::new(service)
            .with_agent(agent.local_address().to_string())
            .with_slots(64, 128)
            .with_service_time(service_time)
            .with_announce_interval(Millis(1_000));
        let fleet = Self {
            backend: BackendServer::start(backend).await?,
            _agent: agent,
            entry,
            _log: log,
        };
        fleet.wait(client).await?;
        Ok(fleet)
    }

    /// Returns the address of the backend server.
    pub(super) fn backend(&self) -> SocketAddr {
        self.backend.address()
    }

    /// Returns the URL of the service through the entry.
    pub(super) fn url(&self) -> String {
        format!("http://{}/v1/call/planner", self.entry.http_address())
    }

    async fn wait(&self, client: &Client) -> Result<()> {
        let end = Instant::now() + PATIENCE;
        let mut look = interval(LOOK);
        look.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let url = format!("{}/free", self.url());
        loop {
            look.tick().await;
            let response = client.get(&url).bearer_auth(TOKEN).send().await?;
            if response.status().is_success() {
                return Ok(());
            }
            if Instant::now() > end {
                bail!("the fleet is not ready: {}", response.text().await?);
            }
        }
    }

    /// Obtains tickets for requests that run once.
    pub(super) async fn tickets(&self, client: &Client, count: usize) -> Result<Vec<String>> {
        let url = format!(
            "http://{}/v1/services/planner/tickets",
            self.entry.http_address()
        );
        let mut tickets = Vec::new();
        while tickets.len() < count {
            let question = serde_json::json!({ "count": 16 });
            let request = client.post(&url).bearer_auth(TOKEN).json(&question);
            let reply = request.send().await?.error_for_status()?;
            let reply: TicketsReply = serde_json::from_slice(&reply.bytes().await?)?;
            tickets.extend(reply.tickets.iter().map(ToString::to_string));
        }
        Ok(tickets)
    }
}

fn entry_options(log: &LogHandle) -> Result<EntryOptions> {
    let secret = |text: &str| Secret::new(text).ok_or_else(|| eyre::eyre!("no valid token"));
    let mut tokens = Tokens::default();
    ensure!(
        tokens.insert(TeamName::new("haugland")?, secret(TOKEN)?),
        "the token is in use"
    );
    let mut options = EntryOptions::new(
        EntryName::new("entry-a")?,
        DomainName::new(DOMAIN)?,
        HttpBase(log.address()),
        secret(OPERATOR)?,
    );
    options.tokens = tokens;
    Ok(options)
}

/// Applies the document, once the entry can decide about it.
async fn apply(client: &Client, entry: &EntryHandle) -> Result<()> {
    let url = format!(
        "http://{}/v1/documents/planner?base=0",
        entry.http_address()
    );
    let end = Instant::now() + PATIENCE;
    let mut look = interval(LOOK);
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        look.tick().await;
        let request = client.put(&url).bearer_auth(TOKEN).body(DOCUMENT);
        let response = request.send().await?;
        if response.status().is_success() {
            return Ok(());
        }
        if Instant::now() > end {
            bail!("the document is not accepted: {}", response.text().await?);
        }
    }
}

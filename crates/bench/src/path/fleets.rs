//! A fleet of log, entry, agent and backend server in this process, connected over loopback.

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

/// Token of the team whose callers send the requests.
pub(super) const TEAM_TOKEN: &str = "team-token-of-the-measurement";
const OPERATOR_TOKEN: &str = "operator-token-of-the-measurement";
const DOMAIN: &str = "bergen-a";
/// Longest wait until the document is accepted, and then until a request succeeds.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval of the requests that probe whether the fleet is ready.
const PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Document of the service. It has as many slots as there are callers, so that no request waits for
/// a slot on any path.
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

/// The running parts of the fleet.
pub(super) struct Fleet {
    _log: LogHandle,
    entry: EntryHandle,
    _agent: AgentHandle,
    backend: BackendHandle,
}

fn loopback_any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

impl Fleet {
    /// Starts all parts and waits until a request through the entry succeeds.
    pub(super) async fn start(client: &Client, service_time: Millis) -> Result<Self> {
        let log = LogServer::start(LogServerOptions::default()).await?;
        let entry = entries::start(entry_options(&log)?).await?;
        apply_document(client, &entry).await?;
        let service = ServiceName::new("planner")?;
        let mut options = AgentOptions::new(
            AgentName::new("agent-a")?,
            DomainName::new(DOMAIN)?,
            RackName::new("bergen-a-r0")?,
            service.clone(),
            loopback_any_port(),
            loopback_any_port(),
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
        fleet.wait_ready(client).await?;
        Ok(fleet)
    }

    /// Returns the address of the backend server.
    pub(super) fn backend_address(&self) -> SocketAddr {
        self.backend.address()
    }

    /// Returns the URL of the service through the entry.
    pub(super) fn service_url(&self) -> String {
        format!("http://{}/v1/call/planner", self.entry.http_address())
    }

    async fn wait_ready(&self, client: &Client) -> Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        let mut probe_timer = interval(PROBE_INTERVAL);
        probe_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let url = format!("{}/free", self.service_url());
        loop {
            probe_timer.tick().await;
            let response = client.get(&url).bearer_auth(TEAM_TOKEN).send().await?;
            if response.status().is_success() {
                return Ok(());
            }
            if Instant::now() > deadline {
                bail!("the fleet is not ready: {}", response.text().await?);
            }
        }
    }

    /// Obtains at least `count` tickets for requests that must run only once.
    pub(super) async fn obtain_tickets(
        &self,
        client: &Client,
        count: usize,
    ) -> Result<Vec<String>> {
        let url = format!(
            "http://{}/v1/services/planner/tickets",
            self.entry.http_address()
        );
        let mut tickets = Vec::new();
        while tickets.len() < count {
            let body = serde_json::json!({ "count": 16 });
            let request = client.post(&url).bearer_auth(TEAM_TOKEN).json(&body);
            let reply = request.send().await?.error_for_status()?;
            let reply: TicketsReply = serde_json::from_slice(&reply.bytes().await?)?;
            tickets.extend(reply.tickets.iter().map(ToString::to_string));
        }
        Ok(tickets)
    }
}

fn entry_options(log: &LogHandle) -> Result<EntryOptions> {
    let secret = |text: &str| Secret::new(text).ok_or_else(|| eyre::eyre!("the token is invalid"));
    let mut tokens = Tokens::default();
    ensure!(
        tokens.insert(TeamName::new("haugland")?, secret(TEAM_TOKEN)?),
        "the token is in use"
    );
    let mut options = EntryOptions::new(
        EntryName::new("entry-a")?,
        DomainName::new(DOMAIN)?,
        HttpBase(log.address()),
        secret(OPERATOR_TOKEN)?,
    );
    options.tokens = tokens;
    Ok(options)
}

/// Applies the document of the service. Retries until the entry accepts it.
async fn apply_document(client: &Client, entry: &EntryHandle) -> Result<()> {
    let url = format!(
        "http://{}/v1/documents/planner?base=0",
        entry.http_address()
    );
    let deadline = Instant::now() + READY_TIMEOUT;
    let mut probe_timer = interval(PROBE_INTERVAL);
    probe_timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        probe_timer.tick().await;
        let request = client.put(&url).bearer_auth(TEAM_TOKEN).body(DOCUMENT);
        let response = request.send().await?;
        if response.status().is_success() {
            return Ok(());
        }
        if Instant::now() > deadline {
            bail!("the document is not accepted: {}", response.text().await?);
        }
    }
}

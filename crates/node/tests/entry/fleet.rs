//! A small fleet in one process: log, workers, entries, agents and backend servers. Workers, log and
//! backend servers are stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyssop_core::api::{ApiError, StatusReply};
use hyssop_core::{
    AgentName, CellId, DomainName, EntryName, Millis, RackName, Resources, ServiceName, TeamName,
    WorkerName,
};
use hyssop_node::agents::{self, AgentHandle, AgentOptions};
use hyssop_node::entries::{self, EntryHandle, EntryOptions};
use hyssop_node::settings::{HttpBase, Secret, Tokens};
use hyssop_standins::{
    BackendHandle, BackendOptions, BackendServer, LogHandle, LogServer, LogServerOptions,
    WorkerHandle, WorkerOptions, WorkerServer,
};
use reqwest::{Client, Method, RequestBuilder, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::io::copy_bidirectional;
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, MissedTickBehavior, interval};

/// Time after which a test fails if a condition does not hold.
pub(crate) const CONDITION_TIMEOUT: Duration = Duration::from_secs(40);
/// Interval at which conditions are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

pub(crate) const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "forde"];
pub(crate) const TEAM_TOKEN: &str = "haugland-secret";
pub(crate) const OTHER_TOKEN: &str = "morski-secret";
pub(crate) const OPERATOR_TOKEN: &str = "operator-secret";

pub(crate) const PLANNER: &str = r#"
service = "planner"
team = "haugland"
class = "latency-critical"
domains = ["bergen-a", "bergen-b", "forde"]
idempotent = ["/day-sheets"]

[needs]
instances = 3
resources = { cpu = 1000, mem = 1024 }
"#;

pub(crate) const CUT_LISTS: &str = r#"
service = "cut-lists"
team = "haugland"
class = "batch"
domains = ["bergen-a", "bergen-b", "forde"]

[needs]
resources = { cpu = 2000, mem = 2048 }
"#;

pub(crate) fn team() -> TeamName {
    TeamName::new("haugland").unwrap()
}

pub(crate) fn service(name: &str) -> ServiceName {
    ServiceName::new(name).unwrap()
}

pub(crate) fn domain(name: &str) -> DomainName {
    DomainName::new(name).unwrap()
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Reserves a port for an entry, because its peers need its address before it starts.
///
/// The socket is bound and never listens. The system gives its port to no other socket, but an entry
/// can listen on it because it sets `SO_REUSEADDR`. A port that is found and released can be taken
/// by a parallel test before the entry starts.
pub(crate) struct ReservedPort(TcpSocket);

impl ReservedPort {
    pub(crate) fn new() -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(any_port()).unwrap();
        Self(socket)
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.0.local_addr().unwrap()
    }

    /// Forwards connections to this port to another address until the runtime ends.
    fn forward(self, to: SocketAddr) {
        let listener = self.0.listen(16).unwrap();
        tokio::spawn(async move {
            while let Ok((mut inbound, _)) = listener.accept().await {
                tokio::spawn(async move {
                    let mut outbound = TcpStream::connect(to).await?;
                    copy_bidirectional(&mut inbound, &mut outbound).await
                });
            }
        });
    }
}

/// Links of an entry to its peers that are not connected yet.
pub(crate) struct CutLinks(Vec<(ReservedPort, SocketAddr)>);

impl CutLinks {
    /// Connects the links, so that the entry exchanges heartbeats with its peers.
    pub(crate) fn connect(self) {
        for (port, to) in self.0 {
            port.forward(to);
        }
    }
}

/// Waits until `check` returns a value.
pub(crate) async fn wait_for<T, F>(what: &str, mut check: impl FnMut() -> F) -> T
where
    F: Future<Output = Option<T>>,
{
    let end = Instant::now() + CONDITION_TIMEOUT;
    let mut ticks = interval(CHECK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        if let Some(value) = check().await {
            return value;
        }
        assert!(Instant::now() < end, "not in time: {what}");
    }
}

/// Parts of the fleet. All of them stop when it is dropped.
pub(crate) struct Fleet {
    pub(crate) log: LogHandle,
    pub(crate) workers: BTreeMap<WorkerName, WorkerHandle>,
    pub(crate) entries: Vec<Option<EntryHandle>>,
    pub(crate) agents: Vec<AgentHandle>,
    pub(crate) backends: Vec<BackendHandle>,
    options: Vec<EntryOptions>,
    /// Ports of the entries, reserved also while an entry is down.
    ports: Vec<ReservedPort>,
    http: Client,
}

impl Fleet {
    /// Starts the log, `workers` workers in each domain, and `count` entries.
    pub(crate) async fn start(count: usize, workers: usize) -> Self {
        Self::start_with_retention(count, workers, Millis(3_600_000)).await
    }

    /// Starts a fleet whose log keeps records for `retention`.
    pub(crate) async fn start_with_retention(
        count: usize,
        workers: usize,
        retention: Millis,
    ) -> Self {
        let log = LogServerOptions::default().with_retention(retention);
        let log = LogServer::start(log).await.unwrap();
        let mut fleet = Self {
            log,
            workers: BTreeMap::new(),
            entries: Vec::new(),
            agents: Vec::new(),
            backends: Vec::new(),
            options: Vec::new(),
            ports: (0..count).map(|_| ReservedPort::new()).collect(),
            http: Client::builder().no_proxy().build().unwrap(),
        };
        for domain in DOMAINS {
            for number in 0..workers {
                fleet.start_worker(domain, number).await;
            }
        }
        fleet.options = fleet.entry_options(retention);
        for entry_index in 0..count {
            fleet.entries.push(None);
            fleet.start_entry(entry_index).await;
        }
        fleet
    }

    async fn start_worker(&mut self, domain: &str, number: usize) {
        let name = WorkerName::new(format!("{domain}.w{number}")).unwrap();
        let rack = RackName::new(format!("{domain}.r{}", number / 3)).unwrap();
        let options = WorkerOptions::new(name.clone(), rack, Resources::new(16_000, 60_000, 0));
        let worker = WorkerServer::start(options).await.unwrap();
        self.workers.insert(name, worker);
    }

    fn entry_options(&self, retention: Millis) -> Vec<EntryOptions> {
        let count = self.ports.len();
        let addresses: Vec<_> = self.ports.iter().map(ReservedPort::address).collect();
        let name = |entry_index: usize| EntryName::new(format!("entry-{entry_index}")).unwrap();
        let mut tokens = Tokens::default();
        assert!(tokens.insert(team(), Secret::new(TEAM_TOKEN).unwrap()));
        let morski = TeamName::new("morski").unwrap();
        assert!(tokens.insert(morski, Secret::new(OTHER_TOKEN).unwrap()));
        let workers = self.workers.iter().map(|(name, worker)| {
            let (domain, _) = name.as_str().rsplit_once(".w").unwrap();
            let cell = CellId::new(DomainName::new(domain).unwrap(), 0);
            (name.clone(), cell, worker.address())
        });
        let workers: Vec<_> = workers.collect();
        let options_of = |entry_index: usize| {
            let peers = (0..count).filter(|other| *other != entry_index);
            EntryOptions {
                rpc_address: addresses[entry_index],
                peers: peers.map(|other| (name(other), addresses[other])).collect(),
                workers: workers.clone(),
                domains: DOMAINS.into_iter().map(domain).collect(),
                tokens: tokens.clone(),
                retention,
                poll_interval: Millis(200),
                shutdown_limit: Millis(8_000),
                ..EntryOptions::new(
                    name(entry_index),
                    domain(DOMAINS[entry_index % DOMAINS.len()]),
                    HttpBase(self.log.address()),
                    Secret::new(OPERATOR_TOKEN).unwrap(),
                )
            }
        };
        (0..count).map(options_of).collect()
    }

    /// Starts an entry with a new incarnation.
    pub(crate) async fn start_entry(&mut self, entry_index: usize) {
        let options = self.options[entry_index].clone();
        self.start_with_options(entry_index, options).await;
    }

    /// Starts an entry that reaches none of its peers until its links are connected, and that they
    /// do not reach at all.
    pub(crate) async fn start_cut_off_entry(&mut self, entry_index: usize) -> CutLinks {
        let mut options = self.options[entry_index].clone();
        options.rpc_address = any_port();
        let mut links = Vec::new();
        for (_, address) in &mut options.peers {
            let port = ReservedPort::new();
            let to = std::mem::replace(address, port.address());
            links.push((port, to));
        }
        self.start_with_options(entry_index, options).await;
        CutLinks(links)
    }

    async fn start_with_options(&mut self, entry_index: usize, mut options: EntryOptions) {
        options.incarnation = hyssop_core::Incarnation(rand::random());
        // The socket of an earlier incarnation closes a moment after its handle is dropped.
        let handle = wait_for("the entry starts", || async {
            match entries::start(options.clone()).await {
                Ok(handle) => Some(handle),
                Err(entries::Error::Listen { .. }) => None,
                Err(e) => panic!("{e}"),
            }
        });
        self.entries[entry_index] = Some(handle.await);
    }

    /// Returns the handle of an entry that must be running.
    pub(crate) fn entry(&self, entry_index: usize) -> &EntryHandle {
        self.entries[entry_index].as_ref().expect("the entry runs")
    }

    /// Starts a backend server with an agent in a domain.
    pub(crate) async fn start_backend(&mut self, service: &str, domain_name: &str) {
        let number = self.agents.len();
        let service = ServiceName::new(service).unwrap();
        let mut options = AgentOptions::new(
            AgentName::new(format!("agent-{number}")).unwrap(),
            domain(domain_name),
            RackName::new("r0").unwrap(),
            service.clone(),
            any_port(),
            any_port(),
        );
        let entries = self.options.iter();
        options.entries = entries
            .map(|entry| (entry.name.clone(), entry.rpc_address))
            .collect();
        options.announce_interval = Duration::from_millis(200);
        options.shutdown_limit = Duration::from_secs(3);
        let agent = agents::start(options).await.unwrap();
        let backend = BackendOptions::new(service).with_agent(agent.local_address().to_string());
        let backend = backend.with_announce_interval(Millis(200));
        self.backends
            .push(BackendServer::start(backend).await.unwrap());
        self.agents.push(agent);
    }

    /// Creates a request to an entry with a token.
    pub(crate) fn request(
        &self,
        entry_index: usize,
        method: Method,
        path: &str,
        token: &str,
    ) -> RequestBuilder {
        let url = format!("http://{}{path}", self.entry(entry_index).http_address());
        let request = self.http.request(method, url);
        request.header("Authorization", format!("Bearer {token}"))
    }

    /// Gets JSON from an entry with the operator token. Panics if the entry responds with an error.
    pub(crate) async fn get<T: DeserializeOwned>(&self, entry_index: usize, path: &str) -> T {
        let request = self.request(entry_index, Method::GET, path, OPERATOR_TOKEN);
        reply(request.send().await.unwrap()).await.unwrap()
    }

    /// Gets JSON from an entry with the operator token; `None` if it cannot be reached or responds with
    /// an error.
    pub(crate) async fn try_get<T: DeserializeOwned>(
        &self,
        entry_index: usize,
        path: &str,
    ) -> Option<T> {
        let request = self.request(entry_index, Method::GET, path, OPERATOR_TOKEN);
        reply(request.send().await.ok()?).await.ok()
    }

    /// Sends JSON to an entry, and returns its reply or the error in it.
    pub(crate) async fn send<T: DeserializeOwned>(
        &self,
        entry_index: usize,
        method: Method,
        path: &str,
        token: &str,
        body: &impl Serialize,
    ) -> Result<T, ApiError> {
        let request = self.request(entry_index, method, path, token).json(body);
        reply(request.send().await.unwrap()).await
    }

    /// Applies a new document with the team's token. Panics if it is not accepted.
    pub(crate) async fn apply(&self, entry_index: usize, name: &str, text: &str) {
        let path = format!("/v1/documents/{name}?base=0");
        let request = self.request(entry_index, Method::PUT, &path, TEAM_TOKEN);
        let response = request.body(text.to_owned()).send().await.unwrap();
        let reply: hyssop_core::api::ApplyReply = reply(response).await.unwrap();
        assert!(reply.has_changed, "{reply:?}");
    }

    /// Waits until an entry has confirmed the configuration and reaches all peers, so that it accepts
    /// changes.
    pub(crate) async fn wait_until_ready(&self, entry_index: usize) {
        wait_for("the entry is ready", || async {
            let status: StatusReply = self.try_get(entry_index, "/v1/status").await?;
            let is_confirmed = status.connectivity == hyssop_core::Connectivity::Confirmed;
            let are_peers_reachable = status
                .peers
                .iter()
                .all(|peer| peer.last_reply_age.is_some());
            let has_records = status.applied > hyssop_core::Offset(0);
            (is_confirmed && are_peers_reachable && has_records).then_some(())
        })
        .await;
    }

    /// Waits until every cell has an owner and all workers reply to the polls.
    pub(crate) async fn wait_for_owners(&self, entry_index: usize) -> StatusReply {
        let all = self.workers.len();
        wait_for("every cell has an owner and all workers reply", || async {
            let status: StatusReply = self.try_get(entry_index, "/v1/status").await?;
            let worker_counts = status
                .cells
                .iter()
                .map(|cell| cell.summary.workers as usize);
            let is_complete =
                status.cells.len() == DOMAINS.len() && worker_counts.sum::<usize>() == all;
            is_complete.then_some(status)
        })
        .await
    }

    /// Waits until an entry lists exactly `count` members in state `Up`.
    pub(crate) async fn wait_for_members(&self, entry_index: usize, count: usize) {
        wait_for("the members are up", || async {
            let status: StatusReply = self.try_get(entry_index, "/v1/status").await?;
            let up = status.members.iter();
            let up = up.filter(|member| member.state == hyssop_core::MemberState::Up);
            (up.count() == count).then_some(())
        })
        .await;
    }
}

/// Parses the JSON body of a response, or the error in it.
pub(crate) async fn reply<T: DeserializeOwned>(response: Response) -> Result<T, ApiError> {
    let status = response.status();
    let text = response.text().await.unwrap();
    if status.is_success() {
        return Ok(serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}")));
    }
    let error: ApiError = serde_json::from_str(&text).unwrap_or_else(|e| panic!("{e}: {text}"));
    assert_eq!(error.status(), status.as_u16());
    Err(error)
}

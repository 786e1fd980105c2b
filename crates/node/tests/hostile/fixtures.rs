//! Test fixture: an entry, an agent and a stand-in backend server, with a check that hostile input
//! has not affected them.

use std::net::SocketAddr;
use std::sync::Once;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use hyssop_core::api::StatusReply;
use hyssop_core::{
    AgentName, CellId, DomainName, EntryName, Millis, Offset, RackName, ServiceName, TeamName,
    WorkerName,
};
use hyssop_node::agents::{self, AgentHandle, AgentOptions};
use hyssop_node::entries::{self, EntryHandle, EntryOptions};
use hyssop_node::settings::{HttpBase, Secret, Tokens};
use hyssop_standins::{
    BackendHandle, BackendOptions, BackendServer, LogHandle, LogServer, LogServerOptions,
};
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use reqwest::{Client, Method, RequestBuilder};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout};

pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);
pub(crate) const TEAM_TOKEN: &str = "haugland-secret";
pub(crate) const OPERATOR_TOKEN: &str = "operator-secret";
/// Number of generated inputs per test unless `HYSSOP_CASES` is set.
const DEFAULT_CASES: usize = 48;

const PLANNER: &str = r#"
service = "planner"
team = "haugland"
class = "latency-critical"
domains = ["bergen-a"]

[needs]
resources = { cpu = 1000, mem = 1024 }
"#;

static PANICS: AtomicUsize = AtomicUsize::new(0);
static HOOK: Once = Once::new();

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

/// Returns generated values of a strategy, the same in each run.
pub(crate) fn cases<T>(strategy: &impl Strategy<Value = T>) -> Vec<T> {
    let count = std::env::var("HYSSOP_CASES").ok();
    let count = count.map_or(DEFAULT_CASES, |count| count.parse().expect("a number"));
    let mut runner = TestRunner::deterministic();
    let next_case = |_| strategy.new_tree(&mut runner).expect("a value").current();
    (0..count).map(next_case).collect()
}

/// Sends bytes on a new connection and returns everything received until it is closed.
pub(crate) async fn send_raw(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The server may close the connection before it has read everything.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut received = Vec::new();
    let ended = timeout(TEST_TIMEOUT, stream.read_to_end(&mut received)).await;
    let _reset = ended.expect("the connection ends");
    received
}

/// All running processes and stand-ins of a test.
pub(crate) struct Fixture {
    pub(crate) log: LogHandle,
    pub(crate) entry: EntryHandle,
    pub(crate) agent: AgentHandle,
    pub(crate) backend: BackendHandle,
    http: Client,
    /// Configuration at the start, as operators read it.
    config: Vec<String>,
}

impl Fixture {
    /// Starts everything and applies one service document. The entry has an unreachable peer.
    pub(crate) async fn start() -> Self {
        Self::start_with_worker(None).await
    }

    /// Starts everything. With the address of a worker, the entry has no peer.
    pub(crate) async fn start_with_worker(worker: Option<SocketAddr>) -> Self {
        HOOK.call_once(|| {
            let previous_hook = std::panic::take_hook();
            std::panic::set_hook(Box::new(move |info| {
                // A failed assertion of a test isn't a panic of the tested code.
                let location = info.location().map_or("", |location| location.file());
                let is_test_file = location.contains("tests/hostile");
                PANICS.fetch_add(usize::from(!is_test_file), Ordering::Relaxed);
                previous_hook(info);
            }));
        });
        let log = LogServer::start(LogServerOptions::default()).await.unwrap();
        let entry = start_entry(&log, worker).await;
        let agent = start_agent(&entry).await;
        let backend = BackendOptions::new(ServiceName::new("planner").unwrap());
        let backend = backend.with_agent(agent.local_address().to_string());
        let backend = backend.with_announce_interval(Millis(200));
        let mut fixture = Self {
            log,
            entry,
            agent,
            backend: BackendServer::start(backend).await.unwrap(),
            http: client(),
            config: Vec::new(),
        };
        fixture.apply().await;
        fixture.config = fixture.read_config().await;
        fixture.wait_until_served("the start").await;
        fixture
    }

    async fn apply(&self) {
        let mut ticks = poll_interval();
        let path = "/v1/documents/planner?base=0";
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            ticks.tick().await;
            let request = self.request(Method::PUT, path, TEAM_TOKEN).body(PLANNER);
            if request.send().await.unwrap().status() == 200 {
                return;
            }
            assert!(Instant::now() < end, "the document is accepted");
        }
    }

    pub(crate) fn request(&self, method: Method, path: &str, token: &str) -> RequestBuilder {
        let url = format!("http://{}{path}", self.entry.http_address());
        self.http.request(method, url).bearer_auth(token)
    }

    async fn read_config(&self) -> Vec<String> {
        let mut all = Vec::new();
        for path in ["/v1/documents", "/v1/domains", "/v1/quotas"] {
            let request = self.request(Method::GET, path, OPERATOR_TOKEN);
            let response = request.send().await.unwrap();
            assert_eq!(response.status(), 200, "{path}");
            all.push(response.text().await.unwrap());
        }
        all
    }

    /// Waits until the entry has applied the configuration up to an offset.
    pub(crate) async fn wait_until_applied(&self, head: Offset) {
        let mut ticks = poll_interval();
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            ticks.tick().await;
            let request = self.request(Method::GET, "/v1/status", OPERATOR_TOKEN);
            let status: StatusReply = request.send().await.unwrap().json().await.unwrap();
            if status.applied >= head {
                return;
            }
            assert!(Instant::now() < end, "{} of {head}", status.applied);
        }
    }

    /// Waits until a valid request is served.
    async fn wait_until_served(&self, what: &str) {
        let mut ticks = poll_interval();
        let end = Instant::now() + TEST_TIMEOUT;
        loop {
            ticks.tick().await;
            let path = "/v1/call/planner/day-sheets";
            let request = self.request(Method::GET, path, TEAM_TOKEN);
            let status = request.send().await.map(|response| response.status());
            if status.as_ref().is_ok_and(|status| *status == 200) {
                return;
            }
            assert!(Instant::now() < end, "served after {what}: {status:?}");
        }
    }

    /// Asserts that a valid request is served, no hostile request has reached the backend server,
    /// the configuration is unchanged, and nothing has panicked.
    pub(crate) async fn assert_unharmed(&self, what: &str) {
        self.wait_until_served(what).await;
        let ledger = self.backend.ledger();
        let unexpected = ledger.runs.iter().find(|run| run.path != "/day-sheets");
        assert!(unexpected.is_none(), "{what} ran: {unexpected:?}");
        assert_eq!(self.read_config().await, self.config, "after {what}");
        assert_eq!(PANICS.load(Ordering::Relaxed), 0, "panics after {what}");
    }
}

/// Returns a client that doesn't reuse connections: a server may close a connection after rejecting
/// a request that it hasn't read completely, and the next request on it would fail only for that
/// reason.
pub(crate) fn client() -> Client {
    let client = Client::builder().no_proxy().pool_max_idle_per_host(0);
    client.build().unwrap()
}

fn poll_interval() -> tokio::time::Interval {
    let mut ticks = interval(Duration::from_millis(50));
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    ticks
}

async fn start_entry(log: &LogHandle, worker: Option<SocketAddr>) -> EntryHandle {
    let mut tokens = Tokens::default();
    let team = TeamName::new("haugland").unwrap();
    assert!(tokens.insert(team, Secret::new(TEAM_TOKEN).unwrap()));
    // Nothing listens on the discard port.
    let peer = (
        EntryName::new("entry-2").unwrap(),
        SocketAddr::from(([127, 0, 0, 1], 9)),
    );
    let cell = CellId::new(DomainName::new("bergen-a").unwrap(), 0);
    // With an unreachable peer there is no majority: the cell has no owner, and its worker isn't
    // polled. So a fixture with a worker has no peer.
    let peers = if worker.is_some() {
        Vec::new()
    } else {
        vec![peer]
    };
    let worker = worker.map(|address| (WorkerName::new("w0").unwrap(), cell, address));
    let options = EntryOptions {
        workers: worker.into_iter().collect(),
        poll_interval: Millis(50),
        tokens,
        peers,
        ..EntryOptions::new(
            EntryName::new("entry-1").unwrap(),
            DomainName::new("bergen-a").unwrap(),
            HttpBase(log.address()),
            Secret::new(OPERATOR_TOKEN).unwrap(),
        )
    };
    entries::start(options).await.unwrap()
}

async fn start_agent(entry: &EntryHandle) -> AgentHandle {
    let mut options = AgentOptions::new(
        AgentName::new("agent-1").unwrap(),
        DomainName::new("bergen-a").unwrap(),
        RackName::new("r1").unwrap(),
        ServiceName::new("planner").unwrap(),
        any_port(),
        any_port(),
    );
    options.announce_interval = Duration::from_millis(100);
    options.entries = vec![(EntryName::new("entry-1").unwrap(), entry.rpc_address())];
    agents::start(options).await.unwrap()
}

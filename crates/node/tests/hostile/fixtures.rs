//! An entry, an agent and a backend server, with a check that they are unharmed.

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

pub(crate) const PATIENCE: Duration = Duration::from_secs(30);
pub(crate) const TEAM_TOKEN: &str = "haugland-secret";
pub(crate) const OPERATOR_TOKEN: &str = "operator-secret";
/// Inputs of each property unless `HYSSOP_CASES` asks for more.
const CASES: usize = 48;

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

/// Returns values of a strategy, the same in each run.
pub(crate) fn cases<T>(strategy: &impl Strategy<Value = T>) -> Vec<T> {
    let count = std::env::var("HYSSOP_CASES").ok();
    let count = count.map_or(CASES, |count| count.parse().expect("a number"));
    let mut runner = TestRunner::deterministic();
    let one = |_| strategy.new_tree(&mut runner).expect("a value").current();
    (0..count).map(one).collect()
}

/// Sends bytes on a connection of their own and returns what comes back until its end.
pub(crate) async fn exchange(address: SocketAddr, bytes: &[u8]) -> Vec<u8> {
    let mut stream = TcpStream::connect(address).await.expect("a connection");
    // The server may close before it has read everything.
    let _ = stream.write_all(bytes).await;
    let _ = stream.shutdown().await;
    let mut back = Vec::new();
    let ended = timeout(PATIENCE, stream.read_to_end(&mut back)).await;
    let _reset = ended.expect("the connection ends");
    back
}

/// Everything that runs.
pub(crate) struct Stage {
    pub(crate) log: LogHandle,
    pub(crate) entry: EntryHandle,
    pub(crate) agent: AgentHandle,
    pub(crate) backend: BackendHandle,
    http: Client,
    /// Configuration as operators see it.
    conf: Vec<String>,
}

impl Stage {
    /// Starts everything with one document in force. The entry has a peer that does not answer.
    pub(crate) async fn open() -> Self {
        Self::open_beside(None).await
    }

    /// Starts everything with a worker at an address, and then without a peer.
    pub(crate) async fn open_beside(worker: Option<SocketAddr>) -> Self {
        HOOK.call_once(|| {
            let earlier = std::panic::take_hook();
            std::panic::set_hook(Box::new(move |info| {
                // A failed check of a test is not a panic of what is tested.
                let place = info.location().map_or("", |place| place.file());
                let own = place.contains("tests/hostile");
                PANICS.fetch_add(usize::from(!own), Ordering::Relaxed);
                earlier(info);
            }));
        });
        let log = LogServer::start(LogServerOptions::default()).await.unwrap();
        let entry = start_entry(&log, worker).await;
        let agent = start_agent(&entry).await;
        let backend = BackendOptions::new(ServiceName::new("planner").unwrap());
        let backend = backend.with_agent(agent.local_address().to_string());
        let backend = backend.with_announce_interval(Millis(200));
        let mut stage = Self {
            log,
            entry,
            agent,
            backend: BackendServer::start(backend).await.unwrap(),
            http: client(),
            conf: Vec::new(),
        };
        stage.apply().await;
        stage.conf = stage.conf().await;
        stage.serves("the stage").await;
        stage
    }

    async fn apply(&self) {
        let mut look = looks();
        let path = "/v1/documents/planner?base=0";
        let end = Instant::now() + PATIENCE;
        loop {
            look.tick().await;
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

    async fn conf(&self) -> Vec<String> {
        let mut all = Vec::new();
        for path in ["/v1/documents", "/v1/domains", "/v1/quotas"] {
            let request = self.request(Method::GET, path, OPERATOR_TOKEN);
            let response = request.send().await.unwrap();
            assert_eq!(response.status(), 200, "{path}");
            all.push(response.text().await.unwrap());
        }
        all
    }

    /// Waits until the entry has read the configuration up to an offset.
    pub(crate) async fn applied(&self, head: Offset) {
        let mut look = looks();
        let end = Instant::now() + PATIENCE;
        loop {
            look.tick().await;
            let request = self.request(Method::GET, "/v1/status", OPERATOR_TOKEN);
            let status: StatusReply = request.send().await.unwrap().json().await.unwrap();
            if status.applied >= head {
                return;
            }
            assert!(Instant::now() < end, "{} of {head}", status.applied);
        }
    }

    /// Waits until a request is served.
    async fn serves(&self, what: &str) {
        let mut look = looks();
        let end = Instant::now() + PATIENCE;
        loop {
            look.tick().await;
            let path = "/v1/call/planner/day-sheets";
            let request = self.request(Method::GET, path, TEAM_TOKEN);
            let status = request.send().await.map(|response| response.status());
            if status.as_ref().is_ok_and(|status| *status == 200) {
                return;
            }
            assert!(Instant::now() < end, "served after {what}: {status:?}");
        }
    }

    /// Checks that no hostile request has reached the backend server, nothing has panicked, the
    /// configuration is the one at the start, and a good request is served.
    pub(crate) async fn unharmed(&self, what: &str) {
        self.serves(what).await;
        let ledger = self.backend.ledger();
        let strange = ledger.runs.iter().find(|run| run.path != "/day-sheets");
        assert!(strange.is_none(), "{what} ran: {strange:?}");
        assert_eq!(self.conf().await, self.conf, "after {what}");
        assert_eq!(PANICS.load(Ordering::Relaxed), 0, "panics after {what}");
    }
}

/// Returns a client that uses each connection once: a server may close one whose request it has
/// not read to the end, and the next request on it would fail for that reason only.
pub(crate) fn client() -> Client {
    let client = Client::builder().no_proxy().pool_max_idle_per_host(0);
    client.build().unwrap()
}

fn looks() -> tokio::time::Interval {
    let mut look = interval(Duration::from_millis(50));
    look.set_missed_tick_behavior(MissedTickBehavior::Delay);
    look
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
    // Without a majority the cell is not claimed and its worker not polled.
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

//! Test fixture: an agent with a stand-in entry that records announcements and a stand-in backend
//! server whose response depends on the path.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use hyssop_core::{
    AgentName, AnnounceReply, Announcement, BackendAck, BackendAnnounce, Call, CallId, CellId,
    ConfView, DomainName, EntryName, EntryRpc, EntryRpcRequest, EntryRpcResponse, Heartbeat,
    Incarnation, JobCall, JobReply, Load, MemberState, Millis, Offset, Outcome, RackName,
    ServiceName, TeamName, Ticket, TicketCall,
};
use hyssop_node::agents::{AgentHandle, AgentOptions, start};
use hyssop_node::links::{AgentLink, RpcRequest, RpcServer, ServeOptions, listen, serve};
use tarpc::context::Context;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};
use tokio::task::{AbortHandle, JoinSet};
use tokio::time::timeout;

pub(crate) const TEST_TIMEOUT: Duration = Duration::from_secs(30);

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn service() -> ServiceName {
    ServiceName::new("planner").unwrap()
}

pub(crate) fn domain() -> DomainName {
    DomainName::new("bergen-a").unwrap()
}

/// Waits until a watched value meets a condition and returns it.
pub(crate) async fn wait_until<T>(
    receiver: &mut watch::Receiver<T>,
    what: &str,
    check: impl FnMut(&T) -> bool,
) -> T
where
    T: Clone,
{
    let met = timeout(TEST_TIMEOUT, receiver.wait_for(check)).await;
    let met = met.unwrap_or_else(|_| panic!("timed out: {what}"));
    met.expect("the sender is alive").clone()
}

/// Contents of the entry's replies to announcements.
#[derive(Clone, Default)]
pub(crate) struct EntryReply {
    pub(crate) is_serving: bool,
    pub(crate) view: Option<ConfView>,
}

/// A stand-in entry.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) reply: watch::Sender<EntryReply>,
    pub(crate) announcements: watch::Sender<Vec<Announcement>>,
}

impl Entry {
    pub(crate) fn listen() -> (Self, RpcServer) {
        let entry = Self {
            reply: watch::Sender::new(EntryReply {
                is_serving: true,
                view: None,
            }),
            announcements: watch::Sender::new(Vec::new()),
        };
        let served = entry.clone();
        let handle = move |request: RpcRequest<EntryRpcRequest, EntryRpcResponse>| {
            request.execute(EntryRpc::serve(served.clone()))
        };
        let listener = listen(any_port()).unwrap();
        let server = serve(listener, ServeOptions::default(), handle).unwrap();
        (entry, server)
    }

    /// Waits for an announcement that meets a condition.
    pub(crate) async fn wait_for_announcement(
        &self,
        what: &str,
        check: impl Fn(&Announcement) -> bool,
    ) {
        let mut announcements = self.announcements.subscribe();
        wait_until(&mut announcements, what, |all| all.iter().any(&check)).await;
    }
}

impl EntryRpc for Entry {
    async fn announce(self, _: Context, announcement: Announcement) -> AnnounceReply {
        self.announcements.send_modify(|all| all.push(announcement));
        let reply = self.reply.borrow().clone();
        AnnounceReply {
            applied: reply.view.as_ref().map_or(Offset(0), |view| view.applied),
            view: reply.view,
            confirmation_age: Some(Millis(10)),
            can_serve: reply.is_serving,
        }
    }

    async fn heartbeat(self, _: Context, heartbeat: Heartbeat) -> Heartbeat {
        heartbeat
    }

    async fn jobs(self, _: Context, _: CellId, _: JobCall) -> JobReply {
        JobReply::Unknown
    }
}

/// A stand-in backend server. The path of a request selects the kind of response.
#[derive(Clone)]
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    /// Number of runs by request key, or by path for requests without one.
    pub(crate) runs: watch::Sender<BTreeMap<String, u32>>,
    /// Request line and headers of the last request, in lower case.
    pub(crate) head: Arc<Mutex<String>>,
    /// Closed to let requests to `/hold` complete.
    pub(crate) gate: Arc<Semaphore>,
}

impl Backend {
    pub(crate) async fn listen(tasks: &mut JoinSet<()>) -> (Self, AbortHandle) {
        let listener = TcpListener::bind(any_port()).await.unwrap();
        let backend = Self {
            address: listener.local_addr().unwrap(),
            runs: watch::Sender::new(BTreeMap::new()),
            head: Arc::default(),
            gate: Arc::new(Semaphore::new(0)),
        };
        let served = backend.clone();
        let task = tasks.spawn(async move {
            let mut open = JoinSet::new();
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let backend = served.clone();
                open.spawn(async move { backend.serve_connection(stream).await });
            }
        });
        (backend, task)
    }

    /// Waits until at least `count` requests with this key or path have arrived.
    pub(crate) async fn wait_for_runs(&self, key: &str, count: u32) {
        let mut runs = self.runs.subscribe();
        let check = |runs: &BTreeMap<String, u32>| runs.get(key).is_some_and(|c| *c >= count);
        wait_until(&mut runs, "the request reaches the backend server", check).await;
    }

    pub(crate) fn count(&self, key: &str) -> u32 {
        self.runs.borrow().get(key).copied().unwrap_or(0)
    }

    async fn serve_connection(self, mut stream: TcpStream) -> Option<()> {
        loop {
            let (head, body) = read_request(&mut stream).await?;
            let path = head.split(' ').nth(1)?.to_owned();
            let key = head.lines().find_map(|l| l.strip_prefix("x-request-key: "));
            let key = key.unwrap_or(&path).to_owned();
            head.clone_into(&mut self.head.lock().unwrap());
            self.runs
                .send_modify(|runs| *runs.entry(key).or_default() += 1);
            if !self.respond(&mut stream, &path, &body).await? {
                return None;
            }
        }
    }

    /// Sends the response and returns whether the connection stays open.
    async fn respond(&self, stream: &mut TcpStream, path: &str, body: &[u8]) -> Option<bool> {
        let with_length = |body: &[u8]| {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            [head.as_bytes(), body].concat()
        };
        let (text, is_kept_open) = match path {
            "/hold" => {
                let _ = self.gate.acquire().await;
                (with_length(body), true)
            }
            "/chunked" => (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"
                    .to_vec(),
                true,
            ),
            "/cut" => (
                b"HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc".to_vec(),
                false,
            ),
            "/cut-chunks" => (
                b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n3\r\nabc\r\n".to_vec(),
                false,
            ),
            "/until-close" => (b"HTTP/1.1 200 OK\r\n\r\nabc".to_vec(), false),
            "/huge" => (
                b"HTTP/1.1 200 OK\r\ncontent-length: 99999999\r\n\r\n".to_vec(),
                true,
            ),
            "/endless" => {
                let head = b"HTTP/1.1 200 OK\r\ncontent-length: 9999999\r\n\r\n";
                ([head.as_slice(), &vec![0; 5 * 1024 * 1024]].concat(), true)
            }
            "/redirect" => (
                b"HTTP/1.1 302 Found\r\nlocation: /echo\r\ncontent-length: 0\r\n\r\n".to_vec(),
                true,
            ),
            "/nothing" => (Vec::new(), false),
            _ => (with_length(body), true),
        };
        stream.write_all(&text).await.ok()?;
        Some(is_kept_open)
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).ok()?.to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: "));
    let length = length.map_or(0, |length| length.parse().unwrap());
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, body))
}

/// Announces the backend server periodically, often enough that it isn't marked lost on a slow
/// machine.
async fn announce(
    http: reqwest::Client,
    url: String,
    announced_backend: watch::Receiver<Option<BackendAnnounce>>,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(300));
    loop {
        ticks.tick().await;
        let body = announced_backend.borrow().clone();
        if let Some(body) = body {
            let body = serde_json::to_vec(&body).unwrap();
            // Fails if the test has stopped the agent.
            let _ = http.post(&url).body(body).send().await;
        }
    }
}

/// An agent with a stand-in entry and a stand-in backend server.
pub(crate) struct Fixture {
    pub(crate) agent: AgentHandle,
    pub(crate) entry: Entry,
    pub(crate) backend: Backend,
    pub(crate) http: reqwest::Client,
    /// Announcement that is repeated periodically; `None` sends nothing.
    announced_backend: watch::Sender<Option<BackendAnnounce>>,
    entry_server: RpcServer,
    backend_task: AbortHandle,
    /// Tasks of the backend server, aborted on drop.
    _tasks: JoinSet<()>,
}

impl Fixture {
    /// Starts all three and waits until the agent accepts requests.
    pub(crate) async fn start(slots: u32, connections: u32) -> Self {
        let (entry, entry_server) = Entry::listen();
        let mut tasks = JoinSet::new();
        let (backend, backend_task) = Backend::listen(&mut tasks).await;
        let mut options = AgentOptions::new(
            AgentName::new("agent-1").unwrap(),
            domain(),
            RackName::new("r1").unwrap(),
            service(),
            any_port(),
            any_port(),
        );
        options.announce_interval = Duration::from_millis(50);
        let name = EntryName::new("entry-1").unwrap();
        options.entries = vec![(name, entry_server.address())];
        let agent = start(options).await.unwrap();
        let http = reqwest::Client::builder().no_proxy().build().unwrap();
        let announced_backend = watch::Sender::new(None);
        let url = format!("http://{}/v1/announce", agent.local_address());
        tasks.spawn(announce(http.clone(), url, announced_backend.subscribe()));
        let fixture = Self {
            agent,
            entry,
            backend,
            http,
            announced_backend,
            entry_server,
            backend_task,
            _tasks: tasks,
        };
        let ack = fixture.announce(1, slots, connections).await;
        assert_eq!(ack.state, MemberState::Up);
        let mut status = fixture.agent.status();
        wait_until(&mut status, "an entry serves", |status| {
            status.is_entry_serving
        })
        .await;
        fixture
    }

    fn announcement(&self, incarnation: u64, slots: u32, connections: u32) -> BackendAnnounce {
        BackendAnnounce {
            service: service(),
            address: self.backend.address.to_string(),
            slots,
            connections,
            incarnation: Incarnation(incarnation),
        }
    }

    pub(crate) async fn post(&self, path: &str, body: &impl serde::Serialize) -> reqwest::Response {
        let url = format!("http://{}{path}", self.agent.local_address());
        let body = serde_json::to_vec(body).unwrap();
        self.http.post(url).body(body).send().await.unwrap()
    }

    /// Announces the backend server once, and repeats the announcement periodically.
    pub(crate) async fn announce(
        &self,
        incarnation: u64,
        slots: u32,
        connections: u32,
    ) -> BackendAck {
        let body = self.announcement(incarnation, slots, connections);
        self.announced_backend.send_replace(Some(body));
        self.announce_once(incarnation, slots, connections).await
    }

    pub(crate) async fn announce_once(
        &self,
        incarnation: u64,
        slots: u32,
        connections: u32,
    ) -> BackendAck {
        let body = self.announcement(incarnation, slots, connections);
        self.post("/v1/announce", &body).await.json().await.unwrap()
    }

    pub(crate) async fn leave(&self, incarnation: u64) -> BackendAck {
        let body = self.announcement(incarnation, 1, 1);
        self.post("/v1/leave", &body).await.json().await.unwrap()
    }

    pub(crate) async fn get_status(&self, path: &str) -> u16 {
        let url = format!("http://{}{path}", self.agent.local_address());
        self.http.get(url).send().await.unwrap().status().as_u16()
    }

    /// Returns a new client, as each entry has its own.
    pub(crate) fn link(&self) -> AgentLink {
        AgentLink::new(self.agent.rpc_address())
    }

    pub(crate) async fn ticket(&self, link: &AgentLink) -> Ticket {
        let tickets = link.tickets(ticket_request(), TEST_TIMEOUT).await.unwrap();
        tickets.expect("a ticket")[0]
    }

    pub(crate) async fn wait_for_load(&self, what: &str, check: impl Fn(&Load) -> bool) {
        let mut status = self.agent.status();
        wait_until(&mut status, what, |status| check(&status.load)).await;
    }

    /// Stops the periodic announcements of the backend server.
    pub(crate) fn stop_announcing(&self) {
        self.announced_backend.send_replace(None);
    }

    /// Kills the backend server. Its announcements continue.
    pub(crate) fn kill_backend(&self) {
        self.backend_task.abort();
    }

    /// Stops the agent gracefully while the entry and the backend server keep running.
    pub(crate) async fn stop_agent(self) {
        self.agent.stop().await;
        drop(self.entry_server);
    }
}

pub(crate) fn ticket_request() -> TicketCall {
    TicketCall {
        team: TeamName::new("haugland").unwrap(),
        service: service(),
        count: 1,
    }
}

pub(crate) fn call(id: u64, path: &str, ticket: Option<Ticket>) -> Call {
    Call {
        id: CallId(id),
        team: TeamName::new("haugland").unwrap(),
        service: service(),
        method: "POST".to_owned(),
        path: path.to_owned(),
        headers: vec![("content-type".to_owned(), Bytes::from_static(b"text/plain"))],
        body: Bytes::from_static(b"fitting"),
        budget: Millis(20_000),
        ticket,
        is_idempotent: ticket.is_none(),
        refusal: None,
    }
}

/// Returns the body of a complete response.
pub(crate) fn response_body(outcome: &Outcome) -> &[u8] {
    match outcome {
        Outcome::Complete(response) => &response.body,
        other => panic!("no complete response: {other:?}"),
    }
}

//! An entry that records announcements and a backend server that answers by path.

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

pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

pub(crate) fn service() -> ServiceName {
    ServiceName::new("planner").unwrap()
}

pub(crate) fn domain() -> DomainName {
    DomainName::new("bergen-a").unwrap()
}

/// Waits until a watched value meets a condition.
pub(crate) async fn until<T>(
    receiver: &mut watch::Receiver<T>,
    what: &str,
    check: impl FnMut(&T) -> bool,
) -> T
where
    T: Clone,
{
    let met = timeout(PATIENCE, receiver.wait_for(check)).await;
    let met = met.unwrap_or_else(|_| panic!("not in time: {what}"));
    met.expect("the sender is there").clone()
}

/// What the entry answers to announcements.
#[derive(Clone, Default)]
pub(crate) struct Word {
    pub(crate) serving: bool,
    pub(crate) view: Option<ConfView>,
}

/// An entry.
#[derive(Clone)]
pub(crate) struct Entry {
    pub(crate) word: watch::Sender<Word>,
    pub(crate) heard: watch::Sender<Vec<Announcement>>,
}

impl Entry {
    pub(crate) fn listen() -> (Self, RpcServer) {
        let entry = Self {
            word: watch::Sender::new(Word {
                serving: true,
                view: None,
            }),
            heard: watch::Sender::new(Vec::new()),
        };
        let served = entry.clone();
        let handle = move |request: RpcRequest<EntryRpcRequest, EntryRpcResponse>| {
            request.execute(EntryRpc::serve(served.clone()))
        };
        let listener = listen(any_port()).unwrap();
        let server = serve(listener, ServeOptions::default(), handle).unwrap();
        (entry, server)
    }

    /// Waits for an announcement.
    pub(crate) async fn hears(&self, what: &str, check: impl Fn(&Announcement) -> bool) {
        let mut heard = self.heard.subscribe();
        until(&mut heard, what, |all| all.iter().any(&check)).await;
    }
}

impl EntryRpc for Entry {
    async fn announce(self, _: Context, announcement: Announcement) -> AnnounceReply {
        self.heard.send_modify(|all| all.push(announcement));
        let word = self.word.borrow().clone();
        AnnounceReply {
            applied: word.view.as_ref().map_or(Offset(0), |view| view.applied),
            view: word.view,
            confirmation_age: Some(Millis(10)),
            can_serve: word.serving,
        }
    }

    async fn heartbeat(self, _: Context, beat: Heartbeat) -> Heartbeat {
        beat
    }

    async fn jobs(self, _: Context, _: CellId, _: JobCall) -> JobReply {
        JobReply::Unknown
    }
}

/// A backend server. The path chooses the way of answering.
#[derive(Clone)]
pub(crate) struct Backend {
    pub(crate) address: SocketAddr,
    /// Runs by request key.
    pub(crate) runs: watch::Sender<BTreeMap<String, u32>>,
    /// Head of the last request.
    pub(crate) head: Arc<Mutex<String>>,
    /// Closed to let requests to `/hold` end.
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
                open.spawn(async move { backend.converse(stream).await });
            }
        });
        (backend, task)
    }

    /// Waits until requests with this key or path have run.
    pub(crate) async fn has(&self, key: &str, count: u32) {
        let mut runs = self.runs.subscribe();
        let check = |runs: &BTreeMap<String, u32>| runs.get(key).is_some_and(|c| *c >= count);
        until(&mut runs, "the request reaches the backend server", check).await;
    }

    pub(crate) fn count(&self, key: &str) -> u32 {
        self.runs.borrow().get(key).copied().unwrap_or(0)
    }

    async fn converse(self, mut stream: TcpStream) -> Option<()> {
        loop {
            let (head, body) = read_request(&mut stream).await?;
            let path = head.split(' ').nth(1)?.to_owned();
            let key = head.lines().find_map(|l| l.strip_prefix("x-request-key: "));
            let key = key.unwrap_or(&path).to_owned();
            head.clone_into(&mut self.head.lock().unwrap());
            self.runs
                .send_modify(|runs| *runs.entry(key).or_default() += 1);
            if !self.answer(&mut stream, &path, &body).await? {
                return None;
            }
        }
    }

    /// Answers and tells whether the connection goes on.
    async fn answer(&self, stream: &mut TcpStream, path: &str, body: &[u8]) -> Option<bool> {
        let length = |body: &[u8]| {
            let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n", body.len());
            [head.as_bytes(), body].concat()
        };
        let (text, goes_on) = match path {
            "/hold" => {
                let _ = self.gate.acquire().await;
                (length(body), true)
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
            _ => (length(body), true),
        };
        stream.write_all(&text).await.ok()?;
        Some(goes_on)
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

/// Announces the backend server, often enough that a slow machine doesn't make it seem lost.
async fn announce(
    http: reqwest::Client,
    url: String,
    announced: watch::Receiver<Option<BackendAnnounce>>,
) {
    let mut ticks = tokio::time::interval(Duration::from_millis(300));
    loop {
        ticks.tick().await;
        let body = announced.borrow().clone();
        if let Some(body) = body {
            let body = serde_json::to_vec(&body).unwrap();
            // The agent may have been stopped by the test.
            let _ = http.post(&url).body(body).send().await;
        }
    }
}

/// An agent with an entry and a backend server.
pub(crate) struct Stage {
    pub(crate) agent: AgentHandle,
    pub(crate) entry: Entry,
    pub(crate) backend: Backend,
    pub(crate) http: reqwest::Client,
    /// What the backend server announces again and again.
    announced: watch::Sender<Option<BackendAnnounce>>,
    entry_server: RpcServer,
    server: AbortHandle,
    /// Tasks of the backend server.
    _tasks: JoinSet<()>,
}

impl Stage {
    /// Starts all three and waits until the agent takes work.
    pub(crate) async fn open(slots: u32, connections: u32) -> Self {
        let (entry, entry_server) = Entry::listen();
        let mut tasks = JoinSet::new();
        let (backend, server) = Backend::listen(&mut tasks).await;
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
        let announced = watch::Sender::new(None);
        let url = format!("http://{}/v1/announce", agent.local_address());
        tasks.spawn(announce(http.clone(), url, announced.subscribe()));
        let stage = Self {
            agent,
            entry,
            backend,
            http,
            announced,
            entry_server,
            server,
            _tasks: tasks,
        };
        let ack = stage.announce(1, slots, connections).await;
        assert_eq!(ack.state, MemberState::Up);
        let mut status = stage.agent.status();
        until(&mut status, "an entry serves", |status| {
            status.is_entry_serving
        })
        .await;
        stage
    }

    fn body(&self, life: u64, slots: u32, connections: u32) -> BackendAnnounce {
        BackendAnnounce {
            service: service(),
            address: self.backend.address.to_string(),
            slots,
            connections,
            incarnation: Incarnation(life),
        }
    }

    pub(crate) async fn post(&self, path: &str, body: &impl serde::Serialize) -> reqwest::Response {
        let url = format!("http://{}{path}", self.agent.local_address());
        let body = serde_json::to_vec(body).unwrap();
        self.http.post(url).body(body).send().await.unwrap()
    }

    /// Announces the backend server, and goes on with it.
    pub(crate) async fn announce(&self, life: u64, slots: u32, connections: u32) -> BackendAck {
        let body = self.body(life, slots, connections);
        self.announced.send_replace(Some(body));
        self.announce_once(life, slots, connections).await
    }

    pub(crate) async fn announce_once(&self, life: u64, slots: u32, open: u32) -> BackendAck {
        let body = self.body(life, slots, open);
        self.post("/v1/announce", &body).await.json().await.unwrap()
    }

    pub(crate) async fn leave(&self, life: u64) -> BackendAck {
        let body = self.body(life, 1, 1);
        self.post("/v1/leave", &body).await.json().await.unwrap()
    }

    pub(crate) async fn get(&self, path: &str) -> u16 {
        let url = format!("http://{}{path}", self.agent.local_address());
        self.http.get(url).send().await.unwrap().status().as_u16()
    }

    /// Returns a client of its own, as each entry has one.
    pub(crate) fn link(&self) -> AgentLink {
        AgentLink::new(self.agent.rpc_address())
    }

    pub(crate) async fn ticket(&self, link: &AgentLink) -> Ticket {
        let tickets = link.tickets(question(), PATIENCE).await.unwrap();
        tickets.expect("a ticket")[0]
    }

    pub(crate) async fn load(&self, what: &str, check: impl Fn(&Load) -> bool) {
        let mut status = self.agent.status();
        until(&mut status, what, |status| check(&status.load)).await;
    }

    /// Ends the announcements of the backend server.
    pub(crate) fn fall_silent(&self) {
        self.announced.send_replace(None);
    }

    /// Kills the backend server.
    pub(crate) fn kill_backend(&self) {
        self.server.abort();
    }

    /// Stops the agent gracefully while the entry and the backend server go on.
    pub(crate) async fn stop_agent(self) {
        self.agent.stop().await;
        drop(self.entry_server);
    }
}

pub(crate) fn question() -> TicketCall {
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

/// Returns the body of a whole answer.
pub(crate) fn body(outcome: &Outcome) -> &[u8] {
    match outcome {
        Outcome::Complete(whole) => &whole.body,
        other => panic!("no answer: {other:?}"),
    }
}

//! Tests of the backend server and of the worker's HTTP side over loopback.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use hyssop_core::{
    BackendAck, BackendAnnounce, EntryName, Fenced, MemberState, Millis, PollReply, PollRequest,
    RackName, Renewal, Resources, ServiceName, Term, WorkerName,
};
use hyssop_standins::{
    BackendFaults, BackendHandle, BackendMode, BackendOptions, BackendServer, Echo, WorkerFaults,
    WorkerLedger, WorkerOptions, WorkerServer,
};
use salvo::conn::{Acceptor, Listener, TcpListener};
use salvo::writing::Json;
use salvo::{Request, Response, Router, Server, handler};
use tokio::time::timeout;

/// Bound on each wait for a condition; reached only when a test fails.
const PATIENCE: Duration = Duration::from_secs(20);

fn http() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

fn options() -> BackendOptions {
    BackendOptions::new(ServiceName::new("planner").unwrap())
}

async fn backend(mode: BackendMode) -> BackendHandle {
    let faults = BackendFaults::default().with_mode(mode);
    let options = options().with_faults(faults);
    BackendServer::start(options).await.unwrap()
}

fn request(backend: &BackendHandle) -> reqwest::RequestBuilder {
    let url = format!("http://{}/book/fitting?x=1", backend.address());
    http()
        .post(url)
        .header("X-Request-Key", "k-1")
        .body("carpet")
}

/// Guards against an echo or a ledger that does not show what ran.
#[tokio::test]
async fn a_request_is_echoed_and_recorded() {
    let backend = backend(BackendMode::Normal).await;
    let reply = request(&backend).send().await.unwrap();
    let echo: Echo = reply.json().await.unwrap();
    assert_eq!(
        (echo.method.as_str(), echo.path.as_str()),
        ("POST", "/book/fitting")
    );
    assert_eq!(echo.key.as_deref(), Some("k-1"));
    assert_eq!(echo.incarnation, backend.incarnation());
    let ledger = backend.stop().await;
    assert_eq!((ledger.runs.len(), ledger.max_running), (1, 1));
    assert_eq!(ledger.runs[0].hash, echo.hash);
    assert!(ledger.runs[0].ended_at.is_some());
}

/// Guards against broken answers that a client could take for complete ones.
#[tokio::test]
async fn broken_answers_are_recorded_as_run() {
    let cut = backend(BackendMode::Truncated).await;
    let reply = request(&cut).send().await.unwrap();
    assert!(reply.content_length().is_some());
    reply.bytes().await.unwrap_err();
    assert_eq!(cut.ledger().runs.len(), 1);

    let failing = backend(BackendMode::Errors).await;
    let reply = request(&failing).send().await.unwrap();
    assert_eq!(reply.status(), 500);
    assert_eq!(failing.ledger().runs.len(), 1);

    let hanging = backend(BackendMode::Hang).await;
    let hung = tokio::spawn(request(&hanging).send());
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    let ended = async {
        while !hanging
            .ledger()
            .runs
            .iter()
            .any(|run| run.ended_at.is_some())
        {
            ticks.tick().await;
        }
    };
    timeout(PATIENCE, ended).await.expect("the request runs");
    assert!(!hung.is_finished());
    hung.abort();
}

/// Guards against a close-delimited fault that still proves its completeness.
#[tokio::test]
async fn a_close_delimited_answer_has_no_length_and_no_chunks() {
    let backend = backend(BackendMode::CloseDelimited).await;
    let reply = request(&backend).send().await.unwrap();
    assert!(reply.headers().get("content-length").is_none());
    assert!(reply.headers().get("transfer-encoding").is_none());
    let echo: Echo = reply.json().await.unwrap();
    assert_eq!(echo.path, "/book/fitting");
}

/// Agent that answers leaves with the given numbers of requests in flight.
#[derive(Debug, Default)]
struct AgentState {
    announces: Vec<BackendAnnounce>,
    leaves: Vec<BackendAnnounce>,
    inflight: VecDeque<u32>,
}

#[derive(Clone)]
struct Agent {
    state: Arc<Mutex<AgentState>>,
    leaving: bool,
}

#[handler]
impl Agent {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let announce: BackendAnnounce = req.parse_json().await.unwrap();
        let mut state = self.state.lock().unwrap();
        if self.leaving {
            state.leaves.push(announce);
        } else {
            state.announces.push(announce);
        }
        let inflight = state.inflight.pop_front().unwrap_or(0);
        let state = MemberState::Leaving;
        res.render(Json(BackendAck { state, inflight }));
    }
}

/// Guards against a backend server that exits while its agent still has requests for it.
#[tokio::test]
async fn a_leaving_backend_server_waits_for_its_agent() {
    let acceptor = TcpListener::new("127.0.0.1:0").try_bind().await.unwrap();
    let agent = acceptor.holdings()[0]
        .local_addr
        .clone()
        .into_std()
        .unwrap();
    let state = Arc::new(Mutex::new(AgentState::default()));
    let handler = |leaving| Agent {
        state: Arc::clone(&state),
        leaving,
    };
    let router = Router::new()
        .push(Router::with_path("v1/announce").post(handler(false)))
        .push(Router::with_path("v1/leave").post(handler(true)));
    let server = tokio::spawn(Server::new(acceptor).serve(router));
    let options = options()
        .with_agent(agent.to_string())
        .with_announce_interval(Millis(10));
    let backend = BackendServer::start(options).await.unwrap();
    let mut ticks = tokio::time::interval(Duration::from_millis(5));
    let announced = async {
        while state.lock().unwrap().announces.len() < 2 {
            ticks.tick().await;
        }
    };
    timeout(PATIENCE, announced).await.expect("announcements");
    state.lock().unwrap().inflight = [2, 1].into();
    let (address, incarnation) = (backend.address().to_string(), backend.incarnation());
    timeout(PATIENCE, backend.stop())
        .await
        .expect("the backend server stops");
    let state = state.lock().unwrap();
    assert!(state.inflight.is_empty());
    assert!(!state.leaves.is_empty());
    let announces = state.announces.iter().chain(&state.leaves);
    for announce in announces {
        assert_eq!(
            (&announce.address, announce.incarnation),
            (&address, incarnation)
        );
        assert_eq!((announce.slots, announce.connections), (8, 64));
    }
    server.abort();
}

/// Guards against a worker whose HTTP side loses terms, faults or the ledger.
#[tokio::test]
async fn a_worker_is_polled_over_http() {
    let name = WorkerName::new("w-1").unwrap();
    let rack = RackName::new("r-1").unwrap();
    let options = WorkerOptions::new(name, rack, Resources::new(1_000, 1_000, 0));
    let worker = WorkerServer::start(options).await.unwrap();
    let base = format!("http://{}/v1", worker.address());
    let poll = |term| PollRequest {
        term: Term(term),
        owner: EntryName::new("entry-1").unwrap(),
        timestamp: None,
        renewal: Renewal::All,
        wants_inventory: false,
        acked_seq: 0,
        orders: Vec::new(),
    };
    let send = |term| http().post(format!("{base}/poll")).json(&poll(term)).send();
    let reply: PollReply = send(3).await.unwrap().json().await.unwrap();
    assert_eq!(reply.inventory, Some(Vec::new()));
    let fenced = send(2).await.unwrap();
    assert_eq!(fenced.status(), 409);
    let fenced: Fenced = fenced.json().await.unwrap();
    assert_eq!(fenced, Fenced { term: Term(3) });
    let ledger = http().get(format!("{base}/ledger")).send().await.unwrap();
    let ledger: WorkerLedger = ledger.json().await.unwrap();
    assert!(ledger.entries.is_empty());
    worker.set_faults(WorkerFaults::default().with_down());
    assert_eq!(send(3).await.unwrap().status(), 503);
    worker.set_faults(WorkerFaults::default().with_frozen());
    let mut frozen = tokio::spawn(send(3));
    let early = timeout(Duration::from_millis(100), &mut frozen).await;
    assert!(early.is_err());
    worker.set_faults(WorkerFaults::default());
    let thawed = timeout(PATIENCE, frozen).await.unwrap().unwrap().unwrap();
    assert_eq!(thawed.status(), 200);
}

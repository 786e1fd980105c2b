//! Tests of the backend server and of the worker's HTTP interface over loopback.

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

/// Timeout of each wait for a condition; expires only when a test fails.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

fn http_client() -> reqwest::Client {
    reqwest::Client::builder().no_proxy().build().unwrap()
}

fn options() -> BackendOptions {
    BackendOptions::new(ServiceName::new("planner").unwrap())
}

async fn start_backend(mode: BackendMode) -> BackendHandle {
    let faults = BackendFaults::default().with_mode(mode);
    let options = options().with_faults(faults);
    BackendServer::start(options).await.unwrap()
}

fn booking_request(backend: &BackendHandle) -> reqwest::RequestBuilder {
    let url = format!("http://{}/book/fitting?x=1", backend.address());
    http_client()
        .post(url)
        .header("X-Request-Key", "k-1")
        .body("carpet")
}

/// Guards against an echo or a ledger that differs from the request that ran.
#[tokio::test]
async fn a_request_is_echoed_and_recorded() {
    let backend = start_backend(BackendMode::Normal).await;
    let reply = booking_request(&backend).send().await.unwrap();
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

/// Guards against faulty responses that a client could take for complete ones, and against their
/// requests missing from the ledger.
#[tokio::test]
async fn requests_with_faulty_responses_are_recorded() {
    let truncated = start_backend(BackendMode::Truncated).await;
    let reply = booking_request(&truncated).send().await.unwrap();
    assert!(reply.content_length().is_some());
    reply.bytes().await.unwrap_err();
    assert_eq!(truncated.ledger().runs.len(), 1);

    let failing = start_backend(BackendMode::Errors).await;
    let reply = booking_request(&failing).send().await.unwrap();
    assert_eq!(reply.status(), 500);
    assert_eq!(failing.ledger().runs.len(), 1);

    let hanging = start_backend(BackendMode::Hang).await;
    let pending = tokio::spawn(booking_request(&hanging).send());
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
    timeout(WAIT_TIMEOUT, ended)
        .await
        .expect("the request runs");
    assert!(!pending.is_finished());
    pending.abort();
}

/// Guards against a close-delimited response whose end a client could still verify.
#[tokio::test]
async fn a_close_delimited_response_has_no_length_and_no_chunks() {
    let backend = start_backend(BackendMode::CloseDelimited).await;
    let reply = booking_request(&backend).send().await.unwrap();
    assert!(reply.headers().get("content-length").is_none());
    assert!(reply.headers().get("transfer-encoding").is_none());
    let echo: Echo = reply.json().await.unwrap();
    assert_eq!(echo.path, "/book/fitting");
}

/// Requests received by the agent, and the numbers of requests in flight that it reports next.
#[derive(Debug, Default)]
struct AgentState {
    announcements: Vec<BackendAnnounce>,
    deregistrations: Vec<BackendAnnounce>,
    inflight: VecDeque<u32>,
}

/// Handler of the agent's announce or leave route.
#[derive(Clone)]
struct Agent {
    state: Arc<Mutex<AgentState>>,
    is_leave: bool,
}

#[handler]
impl Agent {
    async fn handle(&self, req: &mut Request, res: &mut Response) {
        let announcement: BackendAnnounce = req.parse_json().await.unwrap();
        let mut state = self.state.lock().unwrap();
        if self.is_leave {
            state.deregistrations.push(announcement);
        } else {
            state.announcements.push(announcement);
        }
        let inflight = state.inflight.pop_front().unwrap_or(0);
        let state = MemberState::Leaving;
        res.render(Json(BackendAck { state, inflight }));
    }
}

/// Guards against a backend server that exits while its agent still has requests in flight.
#[tokio::test]
async fn a_graceful_shutdown_waits_for_requests_at_the_agent() {
    let acceptor = TcpListener::new("127.0.0.1:0").try_bind().await.unwrap();
    let agent = acceptor.holdings()[0]
        .local_addr
        .clone()
        .into_std()
        .unwrap();
    let state = Arc::new(Mutex::new(AgentState::default()));
    let handler = |is_leave| Agent {
        state: Arc::clone(&state),
        is_leave,
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
    let two_announced = async {
        while state.lock().unwrap().announcements.len() < 2 {
            ticks.tick().await;
        }
    };
    timeout(WAIT_TIMEOUT, two_announced)
        .await
        .expect("announcements");
    state.lock().unwrap().inflight = [2, 1].into();
    let (address, incarnation) = (backend.address().to_string(), backend.incarnation());
    timeout(WAIT_TIMEOUT, backend.stop())
        .await
        .expect("the backend server stops");
    let state = state.lock().unwrap();
    assert!(state.inflight.is_empty());
    assert!(!state.deregistrations.is_empty());
    let announcements = state.announcements.iter().chain(&state.deregistrations);
    for announcement in announcements {
        assert_eq!(
            (&announcement.address, announcement.incarnation),
            (&address, incarnation)
        );
        assert_eq!((announcement.slots, announcement.connections), (8, 64));
    }
    server.abort();
}

/// Guards against a worker whose HTTP interface ignores terms or faults, or returns no ledger.
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
    let send = |term| {
        http_client()
            .post(format!("{base}/poll"))
            .json(&poll(term))
            .send()
    };
    let reply: PollReply = send(3).await.unwrap().json().await.unwrap();
    assert_eq!(reply.inventory, Some(Vec::new()));
    let fenced = send(2).await.unwrap();
    assert_eq!(fenced.status(), 409);
    let fenced: Fenced = fenced.json().await.unwrap();
    assert_eq!(fenced, Fenced { term: Term(3) });
    let ledger = http_client()
        .get(format!("{base}/ledger"))
        .send()
        .await
        .unwrap();
    let ledger: WorkerLedger = ledger.json().await.unwrap();
    assert!(ledger.entries.is_empty());
    worker.set_faults(WorkerFaults::default().with_down());
    assert_eq!(send(3).await.unwrap().status(), 503);
    worker.set_faults(WorkerFaults::default().with_frozen());
    let mut frozen = tokio::spawn(send(3));
    let early = timeout(Duration::from_millis(100), &mut frozen).await;
    assert!(early.is_err());
    worker.set_faults(WorkerFaults::default());
    let thawed = timeout(WAIT_TIMEOUT, frozen)
        .await
        .unwrap()
        .unwrap()
        .unwrap();
    assert_eq!(thawed.status(), 200);
}

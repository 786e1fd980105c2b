//! Tests of the RPC links between the system's own processes.

mod silences;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyssop_core::limits::MAX_FRAME_BYTES;
use hyssop_core::{
    AgentRpc, Call, CallId, CompleteResponse, Drain, Incarnation, Load, MemberState, Millis,
    NotRun, Outcome, Reply, ServiceName, TeamName, Ticket, TicketCall,
};
use hyssop_node::links::{AgentLink, LinkError, RpcServer, ServeOptions, serve};
use tarpc::context::Context;
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::timeout;

const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A stand-in agent that counts calls and replies to them after [`Agent::release`].
#[derive(Clone)]
struct Agent {
    received_calls: Arc<watch::Sender<usize>>,
    gate: Arc<Semaphore>,
    reply_mode: ReplyMode,
}

#[derive(Clone, Copy)]
enum ReplyMode {
    Echo,
    OtherId,
    Corrupt,
    /// As [`ReplyMode::Echo`], but a call with an empty body gets a body above the frame limit.
    Oversized,
}

impl Agent {
    fn new(reply_mode: ReplyMode) -> Self {
        Self {
            received_calls: Arc::new(watch::Sender::new(0)),
            gate: Arc::new(Semaphore::new(0)),
            reply_mode,
        }
    }

    /// Lets all current and later calls complete.
    fn release(&self) {
        self.gate.close();
    }

    async fn wait_for_calls(&self, calls: usize) {
        let mut received_calls = self.received_calls.subscribe();
        let reached = received_calls.wait_for(|received_calls| *received_calls >= calls);
        let reached = timeout(TEST_TIMEOUT, reached).await;
        reached.expect("calls arrive").expect("the agent is alive");
    }

    fn listen(&self, address: SocketAddr, options: ServeOptions) -> RpcServer {
        let agent = self.clone();
        let listener = hyssop_node::links::listen(address).unwrap();
        let handle = move |request: hyssop_node::links::RpcRequest<_, _>| {
            request.execute(AgentRpc::serve(agent.clone()))
        };
        serve(listener, options, handle).unwrap()
    }
}

impl AgentRpc for Agent {
    async fn call(self, _: Context, call: Call) -> Reply {
        self.received_calls
            .send_modify(|received_calls| *received_calls += 1);
        let _ = self.gate.acquire().await;
        let body = match self.reply_mode {
            ReplyMode::Oversized if call.body.is_empty() => {
                Bytes::from(vec![0; MAX_FRAME_BYTES + 1])
            }
            _ => call.body,
        };
        let mut response = CompleteResponse::new(200, Vec::new(), body);
        let mut id = call.id;
        match self.reply_mode {
            ReplyMode::Echo | ReplyMode::Oversized => {}
            ReplyMode::OtherId => id = CallId(id.0 + 1),
            ReplyMode::Corrupt => response.hash ^= 1,
        }
        Reply {
            id,
            incarnation: Incarnation(1),
            outcome: Outcome::Complete(response),
            load: Load::default(),
        }
    }

    async fn tickets(self, _: Context, call: TicketCall) -> Result<Vec<Ticket>, NotRun> {
        let ticket = Ticket {
            incarnation: Incarnation(1),
            nonce: u64::from(call.count),
        };
        Ok(vec![ticket])
    }

    async fn drain(self, _: Context, _: Drain) -> MemberState {
        MemberState::Leaving
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn call(id: u64, body: Bytes, budget: u64) -> Call {
    Call {
        id: CallId(id),
        team: TeamName::new("haugland").unwrap(),
        service: ServiceName::new("planner").unwrap(),
        method: "GET".to_owned(),
        path: "/".to_owned(),
        headers: vec![("accept".to_owned(), Bytes::from_static(b"*/*"))],
        body,
        budget: Millis(budget),
        ticket: None,
        is_idempotent: true,
        refusal: None,
    }
}

fn small(id: u64) -> Call {
    call(id, Bytes::from(id.to_string()), 10_000)
}

/// Guards against concurrent calls that wait for one another, and against responses that reach
/// another caller.
#[tokio::test]
async fn concurrent_calls_get_their_own_responses() {
    let agent = Agent::new(ReplyMode::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = Arc::new(AgentLink::new(server.address()));
    let mut callers = JoinSet::new();
    for id in 0..64 {
        let link = Arc::clone(&link);
        callers.spawn(async move { (id, link.call(small(id)).await) });
    }
    agent.wait_for_calls(64).await;
    agent.release();
    while let Some(result) = callers.join_next().await {
        let (id, reply) = result.unwrap();
        let Outcome::Complete(response) = reply.unwrap().outcome else {
            panic!("call {id} has no response");
        };
        assert_eq!(response.body, id.to_string());
    }
}

/// Guards against the outcome "unknown" for calls that were never sent, and against attempts to
/// connect without a backoff.
#[tokio::test]
async fn refused_connection_is_not_run() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let link = AgentLink::new(address);
    let err = link.call(small(1)).await.unwrap_err();
    assert!(matches!(err, LinkError::Connect(_)), "{err}");
    assert!(err.is_not_run());
    let backoff = async { while link.call(small(2)).await != Err(LinkError::Backoff) {} };
    timeout(TEST_TIMEOUT, backoff)
        .await
        .expect("the link backs off");
    assert!(LinkError::Backoff.is_not_run());
}

/// Guards against the outcome "not run" for calls that the peer had received when it failed, and
/// against a link that doesn't reconnect when the peer is back.
#[tokio::test]
async fn broken_connection_is_unknown_and_reestablished() {
    let agent = Agent::new(ReplyMode::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let address = server.address();
    let link = Arc::new(AgentLink::new(address));
    let pending = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(small(1)).await }
    });
    agent.wait_for_calls(1).await;
    drop(server);
    let err = pending.await.unwrap().unwrap_err();
    assert_eq!(err, LinkError::ConnectionBroken);
    assert!(!err.is_not_run());

    let agent = Agent::new(ReplyMode::Echo);
    agent.release();
    let _server = agent.listen(address, ServeOptions::default());
    let recovered = async {
        while link.call(small(2)).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, recovered)
        .await
        .expect("the link recovers");
}

/// Guards against a call that exceeds its deadline, and against the outcome "not run" for one that
/// may be running.
#[tokio::test]
async fn unresponsive_peer_is_unknown_at_the_deadline() {
    let agent = Agent::new(ReplyMode::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = AgentLink::new(server.address());
    let err = link.call(call(1, Bytes::new(), 50)).await.unwrap_err();
    assert_eq!(err, LinkError::ResponseDeadline);
    assert!(!err.is_not_run());
}

/// Guards against accepting a response that belongs to another call or is corrupt.
#[tokio::test]
async fn mismatched_and_corrupt_responses_are_rejected() {
    for reply_mode in [ReplyMode::OtherId, ReplyMode::Corrupt] {
        let agent = Agent::new(reply_mode);
        agent.release();
        let server = agent.listen(any_port(), ServeOptions::default());
        let link = AgentLink::new(server.address());
        let err = link.call(small(1)).await.unwrap_err();
        assert_eq!(err, LinkError::InvalidResponse);
        assert!(!err.is_not_run());
    }
}

/// Guards against a message above the frame limit that breaks the connection for other calls.
#[tokio::test]
async fn oversized_call_is_not_sent() {
    let agent = Agent::new(ReplyMode::Echo);
    agent.release();
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = AgentLink::new(server.address());
    let body = Bytes::from(vec![0; MAX_FRAME_BYTES + 1]);
    let err = link.call(call(1, body, 10_000)).await.unwrap_err();
    assert_eq!(err, LinkError::TooLarge);
    assert!(err.is_not_run());
    assert!(link.call(small(2)).await.is_ok());
}

/// Guards against a response above the frame limit that breaks the connection for other calls. All
/// connections of the link have a call in flight while the oversized responses are sent.
#[tokio::test]
async fn oversized_response_fails_its_call_only() {
    let agent = Agent::new(ReplyMode::Oversized);
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = Arc::new(AgentLink::new(server.address()));
    let mut callers = JoinSet::new();
    for id in 0..8 {
        let link = Arc::clone(&link);
        let body = Bytes::from(vec![0; usize::from(id >= 4)]);
        let is_oversized = body.is_empty();
        let call = call(id, body, 15_000);
        callers.spawn(async move { (is_oversized, link.call(call).await) });
    }
    agent.wait_for_calls(8).await;
    agent.release();
    while let Some(ended) = callers.join_next().await {
        let (is_oversized, reply) = ended.unwrap();
        let expected = is_oversized.then_some(LinkError::ResponseTooLarge);
        assert_eq!(reply.err(), expected);
    }
    assert!(!LinkError::ResponseTooLarge.is_not_run());
    assert!(link.call(small(9)).await.is_ok());
}

/// Guards against a server that accepts an unlimited number of calls in flight.
#[tokio::test]
async fn calls_above_the_limit_are_rejected() {
    let agent = Agent::new(ReplyMode::Echo);
    let options = ServeOptions {
        max_inflight: 1,
        ..ServeOptions::default()
    };
    let server = agent.listen(any_port(), options);
    let link = Arc::new(AgentLink::new(server.address()));
    let mut callers = JoinSet::new();
    for id in 0..8 {
        let link = Arc::clone(&link);
        callers.spawn(async move { link.call(small(id)).await.map(|_| ()) });
    }
    // Each of the four connections has one call in flight; all others are rejected meanwhile.
    for _ in 0..4 {
        let refused = timeout(TEST_TIMEOUT, callers.join_next()).await;
        let refused = refused.expect("rejected immediately").unwrap().unwrap();
        assert_eq!(refused, Err(LinkError::Busy));
    }
    agent.wait_for_calls(4).await;
    agent.release();
    while let Some(result) = callers.join_next().await {
        assert_eq!(result.unwrap(), Ok(()));
    }
}

/// Guards against a graceful stop that aborts calls in flight.
#[tokio::test]
async fn stop_completes_calls_in_flight() {
    let agent = Agent::new(ReplyMode::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = Arc::new(AgentLink::new(server.address()));
    let body = Bytes::from(vec![7; 4 * 1024 * 1024]);
    let pending = tokio::spawn({
        let link = Arc::clone(&link);
        let call = call(1, body.clone(), 10_000);
        async move { link.call(call).await }
    });
    agent.wait_for_calls(1).await;
    let stopped = tokio::spawn(server.stop(TEST_TIMEOUT));
    agent.release();
    let Outcome::Complete(response) = pending.await.unwrap().unwrap().outcome else {
        panic!("the call was aborted");
    };
    assert_eq!(response.body, body);
    timeout(TEST_TIMEOUT, stopped)
        .await
        .expect("the server stops")
        .unwrap();
    // The first call on each connection may only detect that it was closed.
    let refused = async { while !link.call(small(2)).await.unwrap_err().is_not_run() {} };
    timeout(TEST_TIMEOUT, refused)
        .await
        .expect("calls are refused");
}

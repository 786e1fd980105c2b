//! Tests of the connections between the system's own processes.

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

const PATIENCE: Duration = Duration::from_secs(20);

/// An agent that counts the calls it has and answers them when it is told to.
#[derive(Clone)]
struct Agent {
    inside: Arc<watch::Sender<usize>>,
    open: Arc<Semaphore>,
    answer: Answer,
}

#[derive(Clone, Copy)]
enum Answer {
    Echo,
    OtherId,
    Damaged,
}

impl Agent {
    fn new(answer: Answer) -> Self {
        Self {
            inside: Arc::new(watch::Sender::new(0)),
            open: Arc::new(Semaphore::new(0)),
            answer,
        }
    }

    /// Lets all calls through.
    fn release(&self) {
        self.open.close();
    }

    async fn has(&self, calls: usize) {
        let mut inside = self.inside.subscribe();
        let reached = inside.wait_for(|inside| *inside >= calls);
        let reached = timeout(PATIENCE, reached).await;
        reached.expect("calls arrive").expect("the agent is there");
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
        self.inside.send_modify(|inside| *inside += 1);
        let _ = self.open.acquire().await;
        let mut whole = CompleteResponse::new(200, Vec::new(), call.body);
        let mut id = call.id;
        match self.answer {
            Answer::Echo => {}
            Answer::OtherId => id = CallId(id.0 + 1),
            Answer::Damaged => whole.hash ^= 1,
        }
        Reply {
            id,
            incarnation: Incarnation(1),
            outcome: Outcome::Complete(whole),
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

/// Guards against calls that wait for one another on a single connection, and answers that reach
/// another caller.
#[tokio::test]
async fn many_callers_at_once() {
    let agent = Agent::new(Answer::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = Arc::new(AgentLink::new(server.address()));
    let mut callers = JoinSet::new();
    for id in 0..64 {
        let link = Arc::clone(&link);
        callers.spawn(async move { (id, link.call(small(id)).await) });
    }
    agent.has(64).await;
    agent.release();
    while let Some(answer) = callers.join_next().await {
        let (id, reply) = answer.unwrap();
        let Outcome::Complete(whole) = reply.unwrap().outcome else {
            panic!("call {id} has no answer");
        };
        assert_eq!(whole.body, id.to_string());
    }
}

/// Guards against "unknown" for calls that were never sent.
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
    timeout(PATIENCE, backoff)
        .await
        .expect("the link backs off");
    assert!(LinkError::Backoff.is_not_run());
}

/// Guards against "not run" for calls that the peer had when it went away, and against a link
/// that doesn't recover when the peer is back.
#[tokio::test]
async fn broken_connection_is_unknown_and_made_again() {
    let agent = Agent::new(Answer::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let address = server.address();
    let link = Arc::new(AgentLink::new(address));
    let pending = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(small(1)).await }
    });
    agent.has(1).await;
    drop(server);
    let err = pending.await.unwrap().unwrap_err();
    assert_eq!(err, LinkError::ConnectionBroken);
    assert!(!err.is_not_run());

    let agent = Agent::new(Answer::Echo);
    agent.release();
    let _server = agent.listen(address, ServeOptions::default());
    let recovered = async {
        while link.call(small(2)).await.is_err() {
            tokio::task::yield_now().await;
        }
    };
    timeout(PATIENCE, recovered)
        .await
        .expect("the link recovers");
}

/// Guards against a call without end and against "not run" for one that may be running.
#[tokio::test]
async fn silent_peer_is_unknown_at_the_deadline() {
    let agent = Agent::new(Answer::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = AgentLink::new(server.address());
    let err = link.call(call(1, Bytes::new(), 50)).await.unwrap_err();
    assert_eq!(err, LinkError::ResponseDeadline);
    assert!(!err.is_not_run());
}

/// Guards against an answer that belongs to another call or was damaged on the way.
#[tokio::test]
async fn foreign_and_damaged_answers_are_refused() {
    for answer in [Answer::OtherId, Answer::Damaged] {
        let agent = Agent::new(answer);
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
    let agent = Agent::new(Answer::Echo);
    agent.release();
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = AgentLink::new(server.address());
    let body = Bytes::from(vec![0; MAX_FRAME_BYTES + 1]);
    let err = link.call(call(1, body, 10_000)).await.unwrap_err();
    assert_eq!(err, LinkError::TooLarge);
    assert!(err.is_not_run());
    assert!(link.call(small(2)).await.is_ok());
}

/// Guards against a server that takes on any number of calls.
#[tokio::test]
async fn calls_above_the_limit_are_refused() {
    let agent = Agent::new(Answer::Echo);
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
    // Four connections hold one call each; the rest is refused while these are held.
    for _ in 0..4 {
        let refused = timeout(PATIENCE, callers.join_next()).await;
        let refused = refused.expect("refused at once").unwrap().unwrap();
        assert_eq!(refused, Err(LinkError::Busy));
    }
    agent.has(4).await;
    agent.release();
    while let Some(answer) = callers.join_next().await {
        assert_eq!(answer.unwrap(), Ok(()));
    }
}

/// Guards against a planned stop that cuts off calls in flight.
#[tokio::test]
async fn stop_ends_the_calls_in_flight() {
    let agent = Agent::new(Answer::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let link = Arc::new(AgentLink::new(server.address()));
    let body = Bytes::from(vec![7; 4 * 1024 * 1024]);
    let pending = tokio::spawn({
        let link = Arc::clone(&link);
        let call = call(1, body.clone(), 10_000);
        async move { link.call(call).await }
    });
    agent.has(1).await;
    let stopped = tokio::spawn(server.stop(PATIENCE));
    agent.release();
    let Outcome::Complete(whole) = pending.await.unwrap().unwrap().outcome else {
        panic!("the call was cut off");
    };
    assert_eq!(whole.body, body);
    timeout(PATIENCE, stopped)
        .await
        .expect("the server stops")
        .unwrap();
    // Each connection may first have to notice that it was closed.
    let refused = async { while !link.call(small(2)).await.unwrap_err().is_not_run() {} };
    timeout(PATIENCE, refused).await.expect("calls are refused");
}

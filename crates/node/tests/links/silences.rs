//! Tests of connections that go silent while new ones to the same process work.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyssop_core::limits::MAX_FRAME_BYTES;
use hyssop_core::{AgentRpcClient, DomainName, DomainState, Drain, MemberState, Version};
use hyssop_node::links::{AgentLink, LinkError, LinkResult, RpcServer, ServeOptions};
use hyssop_standins::Relay;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

use crate::{Agent, ReplyMode, TEST_TIMEOUT, any_port, call};

/// Limit of calls that get no response. It is far longer than the silence after which a connection is
/// replaced, so that delays on a busy machine do not matter.
const SILENT_LIMIT: Duration = Duration::from_secs(2);

/// Starts an agent behind a relay.
async fn relayed_agent() -> (Agent, RpcServer, Relay) {
    let agent = Agent::new(ReplyMode::Echo);
    let server = agent.listen(any_port(), ServeOptions::default());
    let relay = Relay::start(server.address()).await.unwrap();
    (agent, server, relay)
}

/// Makes a call that the agent answers at once.
async fn drain(link: &AgentLink, limit: Duration) -> LinkResult<MemberState> {
    let drain = Drain {
        domain: DomainName::new("d-1").unwrap(),
        version: Version(1),
        state: DomainState::Out,
    };
    link.drain(drain, limit).await
}

/// Makes a call that the agent does not answer before [`Agent::release`].
async fn blocked_call(link: &AgentLink, limit: Duration) -> LinkResult<()> {
    let call = call(1, Bytes::new(), 60_000);
    let send =
        |channel, context| async move { AgentRpcClient::from(channel).call(context, call).await };
    link.exchange(limit, send).await.map(|_| ())
}

/// Guards against a connection that has gone silent and costs more than one call its response.
#[tokio::test]
async fn call_after_an_unanswered_one_uses_another_connection() {
    let (_agent, _server, relay) = relayed_agent().await;
    let link = AgentLink::with_connections(relay.address(), 1);
    drain(&link, TEST_TIMEOUT).await.unwrap();
    relay.silence_open_connections();
    let unanswered = drain(&link, SILENT_LIMIT).await;
    assert_eq!(unanswered, Err(LinkError::ResponseDeadline));
    let answered = drain(&link, TEST_TIMEOUT).await;
    assert_eq!(answered, Ok(MemberState::Leaving));
    assert_eq!(relay.accepted(), 2);
}

/// Guards against a link with several silent connections, each of which costs a call its response.
#[tokio::test]
async fn one_unanswered_call_replaces_all_silent_connections() {
    let (_agent, _server, relay) = relayed_agent().await;
    let link = AgentLink::with_connections(relay.address(), 4);
    for _ in 0..4 {
        drain(&link, TEST_TIMEOUT).await.unwrap();
    }
    assert_eq!(relay.accepted(), 4);
    relay.silence_open_connections();
    let unanswered = drain(&link, SILENT_LIMIT).await;
    assert_eq!(unanswered, Err(LinkError::ResponseDeadline));
    for _ in 0..8 {
        let answered = drain(&link, TEST_TIMEOUT).await;
        assert_eq!(answered, Ok(MemberState::Leaving));
    }
    assert_eq!(relay.accepted(), 8);
}

/// Guards against calls with short deadlines that use a silent connection for good.
#[tokio::test]
async fn short_unanswered_calls_replace_a_silent_connection_together() {
    let (_agent, _server, relay) = relayed_agent().await;
    let link = AgentLink::with_connections(relay.address(), 1);
    drain(&link, TEST_TIMEOUT).await.unwrap();
    relay.silence_open_connections();
    let replaced = async {
        while relay.accepted() == 1 {
            let _ = drain(&link, Duration::from_millis(20)).await;
        }
    };
    timeout(TEST_TIMEOUT, replaced)
        .await
        .expect("the connection is replaced");
}

/// Guards against a slow call that replaces a connection on which other calls are answered.
#[tokio::test]
async fn slow_call_beside_answered_ones_keeps_the_connection() {
    let (agent, _server, relay) = relayed_agent().await;
    let mut calls = 0;
    let link = loop {
        let link = Arc::new(AgentLink::with_connections(relay.address(), 1));
        drain(&link, TEST_TIMEOUT).await.unwrap();
        let slow = tokio::spawn({
            let link = Arc::clone(&link);
            async move { blocked_call(&link, Duration::from_secs(1)).await }
        });
        calls += 1;
        agent.wait_for_calls(calls).await;
        drain(&link, TEST_TIMEOUT).await.unwrap();
        // On a busy machine, the slow call may end before the other one is answered.
        let is_answered_meanwhile = !slow.is_finished();
        assert_eq!(slow.await.unwrap(), Err(LinkError::ResponseDeadline));
        if is_answered_meanwhile {
            break link;
        }
    };
    let accepted = relay.accepted();
    drain(&link, TEST_TIMEOUT).await.unwrap();
    assert_eq!(relay.accepted(), accepted);
}

/// Guards against calls with the deadline of a caller, which may be milliseconds, that replace a
/// working connection.
#[tokio::test]
async fn short_deadlines_keep_the_connection() {
    let (_agent, _server, relay) = relayed_agent().await;
    let link = AgentLink::with_connections(relay.address(), 1);
    drain(&link, TEST_TIMEOUT).await.unwrap();
    for _ in 0..10 {
        let unanswered = blocked_call(&link, Duration::from_millis(5)).await;
        assert_eq!(unanswered, Err(LinkError::ResponseDeadline));
    }
    drain(&link, TEST_TIMEOUT).await.unwrap();
    assert_eq!(relay.accepted(), 1);
}

/// Guards against calls in flight that are aborted with the silent connection of another call.
#[tokio::test]
async fn calls_in_flight_outlive_the_replacement_of_their_connection() {
    let (agent, _server, relay) = relayed_agent().await;
    let link = Arc::new(AgentLink::with_connections(relay.address(), 1));
    let pending = tokio::spawn({
        let link = Arc::clone(&link);
        async move { blocked_call(&link, TEST_TIMEOUT).await }
    });
    agent.wait_for_calls(1).await;
    let unanswered = blocked_call(&link, SILENT_LIMIT).await;
    assert_eq!(unanswered, Err(LinkError::ResponseDeadline));
    drain(&link, TEST_TIMEOUT).await.unwrap();
    assert_eq!(relay.accepted(), 2);
    agent.release();
    assert_eq!(pending.await.unwrap(), Ok(()));
}

/// Guards against a flood of connections to a peer that accepts them and never answers.
#[tokio::test]
async fn unanswered_calls_open_at_most_one_connection_each() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let address = listener.local_addr().unwrap();
    let (accepted_sender, accepted) = watch::channel(0);
    tokio::spawn(async move {
        let mut connections = Vec::new();
        while let Ok(connection) = listener.accept().await {
            connections.push(connection);
            accepted_sender.send_replace(connections.len());
        }
    });
    let link = Arc::new(AgentLink::with_connections(address, 1));
    for calls in 1..=3 {
        let unanswered = drain(&link, SILENT_LIMIT).await;
        assert_eq!(unanswered, Err(LinkError::ResponseDeadline));
        assert!(*accepted.borrow() <= calls);
    }
    // Calls that are sent at once share a connection.
    for _ in 0..2 {
        let mut callers = JoinSet::new();
        for _ in 0..8 {
            let link = Arc::clone(&link);
            callers.spawn(async move { drain(&link, SILENT_LIMIT).await });
        }
        while let Some(result) = callers.join_next().await {
            assert_eq!(result.unwrap(), Err(LinkError::ResponseDeadline));
        }
    }
    assert!(*accepted.borrow() <= 5);
}

/// Guards against a connection that is kept, with the calls that are not written yet, because its
/// peer reads nothing.
#[tokio::test]
async fn unused_connection_is_closed_although_its_peer_does_not_read() {
    let listener = TcpListener::bind(any_port()).await.unwrap();
    let link = AgentLink::with_connections(listener.local_addr().unwrap(), 1);
    let metrics = tokio::runtime::Handle::current().metrics();
    let tasks = metrics.num_alive_tasks();
    // The call is larger than the buffers of the sockets.
    let large = call(1, Bytes::from(vec![0; MAX_FRAME_BYTES - 1024]), 200);
    let unanswered = link.call(large).await.map(|_| ());
    assert_eq!(unanswered, Err(LinkError::ResponseDeadline));
    drop(link);
    let closed = async {
        while metrics.num_alive_tasks() > tasks {
            tokio::task::yield_now().await;
        }
    };
    timeout(TEST_TIMEOUT, closed)
        .await
        .expect("the connection is closed");
}

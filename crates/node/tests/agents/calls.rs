//! Requests that the agent forwards to the backend server.

use std::sync::Arc;

use bytes::Bytes;
use hyssop_core::{Millis, NotRun, Outcome, Unknown};
use tokio::task::JoinSet;

use crate::fixtures::{Fixture, call, response_body, wait_until};

/// Guards against truncated responses that are forwarded, and against complete ones that are
/// rejected.
#[tokio::test]
async fn only_complete_responses_are_forwarded() {
    let fixture = Fixture::start(8, 64).await;
    let link = fixture.link();
    let cases = [
        ("/echo", Ok(&b"fitting"[..])),
        ("/chunked", Ok(b"abc")),
        ("/cut", Err(Unknown::Incomplete)),
        ("/cut-chunks", Err(Unknown::Incomplete)),
        ("/until-close", Err(Unknown::Incomplete)),
        ("/huge", Err(Unknown::TooLarge)),
        ("/endless", Err(Unknown::TooLarge)),
        ("/nothing", Err(Unknown::ConnectionBroken)),
    ];
    for (id, (path, expected)) in cases.into_iter().enumerate() {
        let reply = link.call(call(id as u64, path, None)).await.unwrap();
        match expected {
            Ok(text) => assert_eq!(response_body(&reply.outcome), text, "{path}"),
            Err(cause) => assert_eq!(reply.outcome, Outcome::Unknown(cause), "{path}"),
        }
        assert_eq!(fixture.backend.count(path), 1, "{path} runs once");
    }
}

/// Guards against an HTTP client that follows redirects, and so sends a second request.
#[tokio::test]
async fn redirects_are_forwarded() {
    let fixture = Fixture::start(8, 64).await;
    let reply = fixture
        .link()
        .call(call(1, "/redirect", None))
        .await
        .unwrap();
    let Outcome::Complete(response) = reply.outcome else {
        panic!("no complete response: {:?}", reply.outcome);
    };
    assert_eq!(response.status, 302);
    assert_eq!(fixture.backend.count("/echo"), 0);
}

/// Guards against forwarding headers of the caller that override the agent's own ones or apply to a
/// single connection.
#[tokio::test]
async fn backend_server_receives_ticket_and_team_headers() {
    let fixture = Fixture::start(8, 64).await;
    let link = fixture.link();
    let ticket = fixture.ticket(&link).await;
    let mut request = call(1, "/echo", Some(ticket));
    for name in ["X-Request-Key", "X-Team", "Connection", "Content-Length"] {
        let value = Bytes::from_static(b"close");
        request.headers.push((name.to_owned(), value));
    }
    let reply = link.call(request).await.unwrap();
    assert_eq!(response_body(&reply.outcome), b"fitting");
    let head = fixture.backend.head.lock().unwrap().clone();
    assert!(
        head.contains(&format!("x-request-key: {ticket}\r\n")),
        "{head}"
    );
    assert!(head.contains("x-team: haugland\r\n"), "{head}");
    assert!(head.contains("content-type: text/plain\r\n"), "{head}");
    assert!(!head.contains("close"), "{head}");
}

/// Guards against a request that runs twice when two entries send it with the same ticket at once,
/// and against different responses to it.
#[tokio::test]
async fn concurrent_requests_with_one_ticket_run_once() {
    let fixture = Fixture::start(8, 64).await;
    let links = [Arc::new(fixture.link()), Arc::new(fixture.link())];
    let ticket = fixture.ticket(&links[0]).await;
    let mut callers = JoinSet::new();
    for id in 0..8 {
        let link = Arc::clone(&links[id % 2]);
        callers.spawn(async move { link.call(call(id as u64, "/hold", Some(ticket))).await });
    }
    let key = ticket.to_string();
    fixture.backend.wait_for_runs(&key, 1).await;
    fixture.backend.hold_semaphore.close();
    while let Some(result) = callers.join_next().await {
        let reply = result.unwrap().unwrap();
        assert_eq!(response_body(&reply.outcome), b"fitting");
    }
    let repeat = links[1].call(call(9, "/hold", Some(ticket))).await.unwrap();
    assert_eq!(response_body(&repeat.outcome), b"fitting");
    let mut other = call(10, "/hold", Some(ticket));
    other.body = Bytes::from_static(b"other");
    let reused = links[1].call(other).await.unwrap();
    assert_eq!(reused.outcome, Outcome::NotRun(NotRun::TicketReused));
    assert_eq!(fixture.backend.count(&key), 1);
}

/// Guards against more running requests than the backend server has slots, and against an unbounded
/// queue.
#[tokio::test]
async fn requests_are_limited_by_slots_and_connections() {
    let fixture = Fixture::start(2, 5).await;
    let link = Arc::new(fixture.link());
    let mut callers = JoinSet::new();
    for id in 0..9 {
        let link = Arc::clone(&link);
        callers.spawn(async move { link.call(call(id, "/hold", None)).await });
    }
    for _ in 0..4 {
        let reply = callers.join_next().await.unwrap().unwrap().unwrap();
        assert_eq!(reply.outcome, Outcome::NotRun(NotRun::QueueFull));
    }
    let is_full = |load: &hyssop_core::Load| (load.running, load.waiting) == (2, 3);
    fixture
        .wait_for_load("slots and queue are full", is_full)
        .await;
    fixture.backend.wait_for_runs("/hold", 2).await;
    assert_eq!(fixture.backend.count("/hold"), 2);
    fixture.backend.hold_semaphore.close();
    while let Some(result) = callers.join_next().await {
        assert_eq!(response_body(&result.unwrap().unwrap().outcome), b"fitting");
    }
    assert_eq!(fixture.backend.count("/hold"), 5);
}

/// Guards against a lost late response: the caller's deadline passes before the response arrives,
/// and a repeat with the same ticket must get that response.
#[tokio::test]
async fn repeat_after_the_deadline_gets_the_response() {
    let fixture = Fixture::start(8, 64).await;
    let link = fixture.link();
    let ticket = fixture.ticket(&link).await;
    let mut timed_out = call(1, "/hold", Some(ticket));
    timed_out.budget = Millis(50);
    let reply = link.call(timed_out).await.unwrap();
    assert_eq!(reply.outcome, Outcome::Unknown(Unknown::Deadline));
    fixture.backend.hold_semaphore.close();
    let reply = link.call(call(2, "/hold", Some(ticket))).await.unwrap();
    assert_eq!(response_body(&reply.outcome), b"fitting");
    assert_eq!(fixture.backend.count(&ticket.to_string()), 1);
}

/// Guards against the outcome "unknown" for a request that couldn't connect to the backend server,
/// and against a repeat with its ticket that runs later.
#[tokio::test]
async fn refused_connection_is_not_run() {
    let fixture = Fixture::start(8, 64).await;
    let link = fixture.link();
    let ticket = fixture.ticket(&link).await;
    fixture.kill_backend();
    let mut runs = fixture.agent.status();
    wait_until(&mut runs, "nothing runs", |status| status.load.running == 0).await;
    // The listening socket closes once the task of the backend server has been dropped.
    while tokio::net::TcpStream::connect(fixture.backend.address)
        .await
        .is_ok()
    {
        tokio::task::yield_now().await;
    }
    let reply = link.call(call(1, "/echo", Some(ticket))).await.unwrap();
    assert_eq!(reply.outcome, Outcome::NotRun(NotRun::NoServer));
    let reply = link.call(call(2, "/echo", Some(ticket))).await.unwrap();
    assert_eq!(reply.outcome, Outcome::NotRun(NotRun::TicketRefused));
}

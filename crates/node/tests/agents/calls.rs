//! Requests that run at the backend server.

use std::sync::Arc;

use bytes::Bytes;
use hyssop_core::{Millis, NotRun, Outcome, Unknown};
use tokio::task::JoinSet;

use crate::fixtures::{Stage, body, call, until};

/// Guards against answers that are passed on although they were cut short, and against whole ones
/// that are refused.
#[tokio::test]
async fn only_whole_answers_are_passed_on() {
    let stage = Stage::open(8, 64).await;
    let link = stage.link();
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
            Ok(text) => assert_eq!(body(&reply.outcome), text, "{path}"),
            Err(why) => assert_eq!(reply.outcome, Outcome::Unknown(why), "{path}"),
        }
        assert_eq!(stage.backend.count(path), 1, "{path} runs once");
    }
}

/// Guards against an HTTP client that sends a request again by itself.
#[tokio::test]
async fn redirects_are_passed_on() {
    let stage = Stage::open(8, 64).await;
    let reply = stage.link().call(call(1, "/redirect", None)).await.unwrap();
    let Outcome::Complete(whole) = reply.outcome else {
        panic!("no answer: {:?}", reply.outcome);
    };
    assert_eq!(whole.status, 302);
    assert_eq!(stage.backend.count("/echo"), 0);
}

/// Guards against headers of the caller that pose as the system's own or concern one connection.
#[tokio::test]
async fn backend_server_gets_key_and_team() {
    let stage = Stage::open(8, 64).await;
    let link = stage.link();
    let ticket = stage.ticket(&link).await;
    let mut request = call(1, "/echo", Some(ticket));
    for name in ["X-Request-Key", "X-Team", "Connection", "Content-Length"] {
        let value = Bytes::from_static(b"close");
        request.headers.push((name.to_owned(), value));
    }
    let reply = link.call(request).await.unwrap();
    assert_eq!(body(&reply.outcome), b"fitting");
    let head = stage.backend.head.lock().unwrap().clone();
    assert!(
        head.contains(&format!("x-request-key: {ticket}\r\n")),
        "{head}"
    );
    assert!(head.contains("x-team: haugland\r\n"), "{head}");
    assert!(head.contains("content-type: text/plain\r\n"), "{head}");
    assert!(!head.contains("close"), "{head}");
}

/// Guards against a ticket that runs twice when two entries use it at once, and against answers
/// that differ.
#[tokio::test]
async fn two_entries_use_one_ticket_at_once() {
    let stage = Stage::open(8, 64).await;
    let links = [Arc::new(stage.link()), Arc::new(stage.link())];
    let ticket = stage.ticket(&links[0]).await;
    let mut callers = JoinSet::new();
    for id in 0..8 {
        let link = Arc::clone(&links[id % 2]);
        callers.spawn(async move { link.call(call(id as u64, "/hold", Some(ticket))).await });
    }
    let key = ticket.to_string();
    stage.backend.has(&key, 1).await;
    stage.backend.gate.close();
    while let Some(answer) = callers.join_next().await {
        let reply = answer.unwrap().unwrap();
        assert_eq!(body(&reply.outcome), b"fitting");
    }
    let repeat = links[1].call(call(9, "/hold", Some(ticket))).await.unwrap();
    assert_eq!(body(&repeat.outcome), b"fitting");
    let mut other = call(10, "/hold", Some(ticket));
    other.body = Bytes::from_static(b"other");
    let reused = links[1].call(other).await.unwrap();
    assert_eq!(reused.outcome, Outcome::NotRun(NotRun::TicketReused));
    assert_eq!(stage.backend.count(&key), 1);
}

/// Guards against more requests at the backend server than it has slots, and against a queue
/// without end.
#[tokio::test]
async fn slots_and_connections_are_limits() {
    let stage = Stage::open(2, 5).await;
    let link = Arc::new(stage.link());
    let mut callers = JoinSet::new();
    for id in 0..9 {
        let link = Arc::clone(&link);
        callers.spawn(async move { link.call(call(id, "/hold", None)).await });
    }
    for _ in 0..4 {
        let reply = callers.join_next().await.unwrap().unwrap().unwrap();
        assert_eq!(reply.outcome, Outcome::NotRun(NotRun::QueueFull));
    }
    let full = |load: &hyssop_core::Load| (load.running, load.waiting) == (2, 3);
    stage.load("slots and queue are full", full).await;
    stage.backend.has("/hold", 2).await;
    assert_eq!(stage.backend.count("/hold"), 2);
    stage.backend.gate.close();
    while let Some(answer) = callers.join_next().await {
        assert_eq!(body(&answer.unwrap().unwrap().outcome), b"fitting");
    }
    assert_eq!(stage.backend.count("/hold"), 5);
}

/// Guards against a late answer that is lost: the caller's deadline passes, and a repeat with the
/// same ticket gets the answer.
#[tokio::test]
async fn repeat_after_the_deadline_gets_the_answer() {
    let stage = Stage::open(8, 64).await;
    let link = stage.link();
    let ticket = stage.ticket(&link).await;
    let mut hasty = call(1, "/hold", Some(ticket));
    hasty.budget = Millis(50);
    let reply = link.call(hasty).await.unwrap();
    assert_eq!(reply.outcome, Outcome::Unknown(Unknown::Deadline));
    stage.backend.gate.close();
    let reply = link.call(call(2, "/hold", Some(ticket))).await.unwrap();
    assert_eq!(body(&reply.outcome), b"fitting");
    assert_eq!(stage.backend.count(&ticket.to_string()), 1);
}

/// Guards against "unknown" for a request that found no backend server, and against a repeat that
/// then runs.
#[tokio::test]
async fn refused_connection_is_not_run() {
    let stage = Stage::open(8, 64).await;
    let link = stage.link();
    let ticket = stage.ticket(&link).await;
    stage.kill_backend();
    let mut runs = stage.agent.status();
    until(&mut runs, "nothing runs", |status| status.load.running == 0).await;
    // The listening socket closes when the task has been dropped.
    while tokio::net::TcpStream::connect(stage.backend.address)
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

//! Start, stop and loss of the agent, its backend server and its entries.

use std::sync::Arc;

use hyssop_core::{ConfView, Drain, MemberState, NotRun, Offset, Outcome, Unknown, Version};
use hyssop_core::{DomainState, Load};
use hyssop_node::links::LinkError;
use serde_json::json;
use tokio::time::timeout;

use crate::fixtures::{PATIENCE, Stage, Word, body, call, domain, question, until};

/// Guards against an agent that takes work before it has a backend server and an entry, and
/// against announcements that don't tell the load and state.
#[tokio::test]
async fn announcements_tell_state_and_load() {
    let stage = Stage::open(2, 4).await;
    let up = |a: &hyssop_core::Announcement| {
        let load = Load {
            running: 0,
            waiting: 0,
            slots: 2,
        };
        a.state == MemberState::Up && a.load == load
    };
    stage.entry.hears("the agent is up", up).await;
    assert_eq!(stage.get("/healthz").await, 200);
    assert_eq!(stage.get("/readyz").await, 200);
    let heard = stage.entry.heard.borrow().clone();
    assert!(heard.windows(2).all(|pair| pair[0].seq < pair[1].seq));
    assert_eq!(heard[0].address, stage.agent.rpc_address().to_string());
}

/// Guards against announcements of another service, without an address, or of any size.
#[tokio::test]
async fn faulty_announcements_are_refused() {
    let stage = Stage::open(2, 4).await;
    let good = json!({
        "service": "planner", "address": "127.0.0.1:1", "slots": 1, "connections": 1,
        "incarnation": 5,
    });
    let mut other = good.clone();
    other["service"] = json!("logbook");
    assert_eq!(stage.post("/v1/announce", &other).await.status(), 409);
    let mut nowhere = good.clone();
    nowhere["address"] = json!("localhost");
    assert_eq!(stage.post("/v1/announce", &nowhere).await.status(), 400);
    let mut long = good.clone();
    long["address"] = json!("1".repeat(10_000));
    assert_eq!(stage.post("/v1/announce", &long).await.status(), 400);
    assert_eq!(stage.post("/v1/announce", &good).await.status(), 200);
}

/// Guards against a planned stop that cuts off requests in flight, takes new work, or leaves
/// tickets without an answer.
#[tokio::test]
async fn stop_ends_requests_in_flight() {
    let stage = Stage::open(1, 8).await;
    let link = Arc::new(stage.link());
    let unused = stage.ticket(&link).await;
    let running = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(1, "/hold", None)).await }
    });
    stage.backend.has("/hold", 1).await;
    let waiting = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(2, "/echo", None)).await }
    });
    stage
        .load("a request waits", |load| load.waiting == 1)
        .await;

    let mut status = stage.agent.status();
    let (entry, backend) = (stage.entry.clone(), stage.backend.clone());
    let stopped = tokio::spawn(stage.stop_agent());
    until(&mut status, "the agent leaves", |status| {
        status.state == MemberState::Leaving
    })
    .await;
    let leaving = |a: &hyssop_core::Announcement| a.state == MemberState::Leaving;
    entry.hears("the agent leaves", leaving).await;
    let refused = link.call(call(3, "/echo", None)).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Leaving));
    let refused = link.tickets(question(), PATIENCE).await.unwrap();
    assert_eq!(refused, Err(NotRun::Leaving));
    backend.gate.close();
    let first = running.await.unwrap().unwrap();
    assert_eq!(body(&first.outcome), b"fitting");
    let second = waiting.await.unwrap().unwrap().outcome;
    // What waits may start for a limited time only.
    let refused = second == Outcome::NotRun(NotRun::Leaving);
    assert!(refused || body(&second) == b"fitting");
    assert_eq!(backend.count("/echo"), u32::from(!refused));
    let refused = link.call(call(4, "/echo", Some(unused))).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Leaving));
    let ended = timeout(PATIENCE, stopped).await;
    ended.expect("the agent stops").unwrap();
    // Each connection may first have to notice that it was closed.
    let late = || link.call(call(5, "/echo", Some(unused)));
    let refused = async { while !late().await.unwrap_err().is_not_run() {} };
    timeout(PATIENCE, refused).await.expect("calls are refused");
}

/// Guards against "not run" for requests that an agent had when it was killed.
#[tokio::test]
async fn killed_agent_leaves_unknown_outcomes() {
    let stage = Stage::open(1, 8).await;
    let link = Arc::new(stage.link());
    let running = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(1, "/hold", None)).await }
    });
    stage.backend.has("/hold", 1).await;
    drop(stage);
    let err = running.await.unwrap().unwrap_err();
    assert_eq!(err, LinkError::ConnectionBroken);
    assert!(!err.is_not_run());
}

/// Guards against new work on a backend server that leaves or whose domain is out.
#[tokio::test]
async fn leaving_backend_server_gets_nothing_new() {
    let stage = Stage::open(1, 8).await;
    let link = stage.link();
    let ack = stage.leave(1).await;
    assert_eq!((ack.state, ack.inflight), (MemberState::Leaving, 0));
    let ack = stage.announce(1, 1, 8).await;
    assert_eq!(ack.state, MemberState::Leaving);
    let refused = link.call(call(1, "/echo", None)).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Leaving));
    // A restarted backend server takes work again, and late words of the earlier one don't count.
    assert_eq!(stage.announce(2, 1, 8).await.state, MemberState::Up);
    assert_eq!(
        stage.announce_once(1, 1, 8).await.state,
        MemberState::Leaving
    );
    assert_eq!(stage.leave(1).await.state, MemberState::Leaving);
    let reply = link.call(call(2, "/echo", None)).await.unwrap();
    assert_eq!(body(&reply.outcome), b"fitting");

    let drain = |version, state| Drain {
        domain: domain(),
        version: Version(version),
        state,
    };
    let state = link.drain(drain(7, DomainState::Out), PATIENCE).await;
    assert_eq!(state, Ok(MemberState::Leaving));
    let state = link.drain(drain(6, DomainState::In), PATIENCE).await;
    assert_eq!(state, Ok(MemberState::Leaving));
    let refused = link.call(call(3, "/echo", None)).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Leaving));
    let state = link.drain(drain(8, DomainState::In), PATIENCE).await;
    assert_eq!(state, Ok(MemberState::Up));
}

/// Guards against a domain that is out of service by the configuration and still gets work.
#[tokio::test]
async fn configuration_comes_with_the_answers_to_announcements() {
    let stage = Stage::open(1, 8).await;
    let mut view = ConfView {
        applied: Offset(9),
        ..ConfView::default()
    };
    view.domains
        .insert(domain(), (Version(8), DomainState::Out));
    stage.entry.word.send_modify(|word| word.view = Some(view));
    let mut status = stage.agent.status();
    let status = until(&mut status, "the domain is out", |status| {
        status.state == MemberState::Leaving && status.config_confirmed_at.is_some()
    })
    .await;
    assert_eq!(status.applied, Offset(9));
    assert_eq!(stage.get("/readyz").await, 503);
    let applied = |a: &hyssop_core::Announcement| a.applied == Offset(9);
    stage.entry.hears("the offset is announced", applied).await;
}

/// Guards against work that is taken when no entry has said for 3 s that it serves.
#[tokio::test]
async fn isolated_agent_refuses() {
    let stage = Stage::open(1, 8).await;
    stage.entry.word.send_replace(Word::default());
    let mut status = stage.agent.status();
    until(&mut status, "isolation", |status| !status.is_entry_serving).await;
    let refused = stage.link().call(call(1, "/echo", None)).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Isolated));
}

/// Guards against a backend server that is silent and still gets work, and against "not run" for
/// what it had.
#[tokio::test]
async fn silent_backend_server_is_lost() {
    let stage = Stage::open(1, 8).await;
    let link = Arc::new(stage.link());
    let running = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(1, "/hold", None)).await }
    });
    stage.backend.has("/hold", 1).await;
    let waiting = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(2, "/echo", None)).await }
    });
    stage
        .load("a request waits", |load| load.waiting == 1)
        .await;
    stage.fall_silent();
    let reply = running.await.unwrap().unwrap();
    assert_eq!(reply.outcome, Outcome::Unknown(Unknown::ConnectionBroken));
    let reply = waiting.await.unwrap().unwrap();
    assert_eq!(reply.outcome, Outcome::NotRun(NotRun::NoServer));
    let down = |a: &hyssop_core::Announcement| a.state == MemberState::Down;
    stage.entry.hears("the agent is down", down).await;
    assert_eq!(stage.announce(1, 1, 8).await.state, MemberState::Up);
}

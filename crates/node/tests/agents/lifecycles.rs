//! Start, graceful stop and failure of the agent, its backend server and its entries.

use std::sync::Arc;

use hyssop_core::{ConfView, Drain, MemberState, NotRun, Offset, Outcome, Unknown, Version};
use hyssop_core::{DomainState, Load};
use hyssop_node::links::LinkError;
use serde_json::json;
use tokio::time::timeout;

use crate::fixtures::{
    EntryReply, Fixture, TEST_TIMEOUT, call, domain, response_body, ticket_request, wait_until,
};

/// Guards against announcements without the current state, load and address, and against sequence
/// numbers that don't increase.
#[tokio::test]
async fn announcements_contain_state_and_load() {
    let fixture = Fixture::start(2, 4).await;
    let is_up = |a: &hyssop_core::Announcement| {
        let load = Load {
            running: 0,
            waiting: 0,
            slots: 2,
        };
        a.state == MemberState::Up && a.load == load
    };
    fixture
        .entry
        .wait_for_announcement("the agent is up", is_up)
        .await;
    assert_eq!(fixture.get_status("/healthz").await, 200);
    assert_eq!(fixture.get_status("/readyz").await, 200);
    let announcements = fixture.entry.announcements.borrow().clone();
    assert!(
        announcements
            .windows(2)
            .all(|pair| pair[0].seq < pair[1].seq)
    );
    assert_eq!(
        announcements[0].address,
        fixture.agent.rpc_address().to_string()
    );
}

/// Guards against accepted announcements of another service, without an IP address, or of unlimited
/// size.
#[tokio::test]
async fn invalid_announcements_are_rejected() {
    let fixture = Fixture::start(2, 4).await;
    let valid = json!({
        "service": "planner", "address": "127.0.0.1:1", "slots": 1, "connections": 1,
        "incarnation": 5,
    });
    let mut other_service = valid.clone();
    other_service["service"] = json!("logbook");
    assert_eq!(
        fixture.post("/v1/announce", &other_service).await.status(),
        409
    );
    let mut no_ip = valid.clone();
    no_ip["address"] = json!("localhost");
    assert_eq!(fixture.post("/v1/announce", &no_ip).await.status(), 400);
    let mut too_long = valid.clone();
    too_long["address"] = json!("1".repeat(10_000));
    assert_eq!(fixture.post("/v1/announce", &too_long).await.status(), 400);
    assert_eq!(fixture.post("/v1/announce", &valid).await.status(), 200);
}

/// Guards against a graceful stop that aborts requests in flight, accepts new ones, or leaves
/// requests with unused tickets without a reply.
#[tokio::test]
async fn graceful_stop_completes_requests_in_flight() {
    let fixture = Fixture::start(1, 8).await;
    let link = Arc::new(fixture.link());
    let unused = fixture.ticket(&link).await;
    let running = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(1, "/hold", None)).await }
    });
    fixture.backend.wait_for_runs("/hold", 1).await;
    let waiting = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(2, "/echo", None)).await }
    });
    fixture
        .wait_for_load("a request waits", |load| load.waiting == 1)
        .await;

    let mut status = fixture.agent.status();
    let (entry, backend) = (fixture.entry.clone(), fixture.backend.clone());
    let stopped = tokio::spawn(fixture.stop_agent());
    wait_until(&mut status, "the agent leaves", |status| {
        status.state == MemberState::Leaving
    })
    .await;
    let is_leaving = |a: &hyssop_core::Announcement| a.state == MemberState::Leaving;
    entry
        .wait_for_announcement("the agent leaves", is_leaving)
        .await;
    let refused = link.call(call(3, "/echo", None)).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Leaving));
    let refused = link.tickets(ticket_request(), TEST_TIMEOUT).await.unwrap();
    assert_eq!(refused, Err(NotRun::Leaving));
    backend.gate.close();
    let first = running.await.unwrap().unwrap();
    assert_eq!(response_body(&first.outcome), b"fitting");
    let second = waiting.await.unwrap().unwrap().outcome;
    // A queued request starts only within the grace period of the stop.
    let refused = second == Outcome::NotRun(NotRun::Leaving);
    assert!(refused || response_body(&second) == b"fitting");
    assert_eq!(backend.count("/echo"), u32::from(!refused));
    let refused = link.call(call(4, "/echo", Some(unused))).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Leaving));
    let ended = timeout(TEST_TIMEOUT, stopped).await;
    ended.expect("the agent stops").unwrap();
    // The first call on each connection may only detect that it was closed.
    let late = || link.call(call(5, "/echo", Some(unused)));
    let refused = async { while !late().await.unwrap_err().is_not_run() {} };
    timeout(TEST_TIMEOUT, refused)
        .await
        .expect("calls are refused");
}

/// Guards against the outcome "not run" for requests that were running when their agent was killed.
#[tokio::test]
async fn killed_agent_leaves_unknown_outcomes() {
    let fixture = Fixture::start(1, 8).await;
    let link = Arc::new(fixture.link());
    let running = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(1, "/hold", None)).await }
    });
    fixture.backend.wait_for_runs("/hold", 1).await;
    drop(fixture);
    let err = running.await.unwrap().unwrap_err();
    assert_eq!(err, LinkError::ConnectionBroken);
    assert!(!err.is_not_run());
}

/// Guards against new requests to a backend server that is leaving or whose failure domain is out
/// of service, and against older announcements and domain states that override newer ones.
#[tokio::test]
async fn leaving_backend_server_gets_no_new_requests() {
    let fixture = Fixture::start(1, 8).await;
    let link = fixture.link();
    let ack = fixture.leave(1).await;
    assert_eq!((ack.state, ack.inflight), (MemberState::Leaving, 0));
    let ack = fixture.announce(1, 1, 8).await;
    assert_eq!(ack.state, MemberState::Leaving);
    let refused = link.call(call(1, "/echo", None)).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Leaving));
    // A restarted backend server accepts requests, and late messages of the earlier incarnation are
    // ignored.
    assert_eq!(fixture.announce(2, 1, 8).await.state, MemberState::Up);
    assert_eq!(
        fixture.announce_once(1, 1, 8).await.state,
        MemberState::Leaving
    );
    assert_eq!(fixture.leave(1).await.state, MemberState::Leaving);
    let reply = link.call(call(2, "/echo", None)).await.unwrap();
    assert_eq!(response_body(&reply.outcome), b"fitting");

    let drain = |version, state| Drain {
        domain: domain(),
        version: Version(version),
        state,
    };
    let state = link.drain(drain(7, DomainState::Out), TEST_TIMEOUT).await;
    assert_eq!(state, Ok(MemberState::Leaving));
    let state = link.drain(drain(6, DomainState::In), TEST_TIMEOUT).await;
    assert_eq!(state, Ok(MemberState::Leaving));
    let refused = link.call(call(3, "/echo", None)).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Leaving));
    let state = link.drain(drain(8, DomainState::In), TEST_TIMEOUT).await;
    assert_eq!(state, Ok(MemberState::Up));
}

/// Guards against requests to a backend server whose failure domain is out of service according to
/// the configuration.
#[tokio::test]
async fn configuration_is_applied_from_announcement_replies() {
    let fixture = Fixture::start(1, 8).await;
    let mut view = ConfView {
        applied: Offset(9),
        ..ConfView::default()
    };
    view.domains
        .insert(domain(), (Version(8), DomainState::Out));
    fixture
        .entry
        .reply
        .send_modify(|reply| reply.view = Some(view));
    let mut status = fixture.agent.status();
    let status = wait_until(&mut status, "the domain is out", |status| {
        status.state == MemberState::Leaving && status.config_confirmed_at.is_some()
    })
    .await;
    assert_eq!(status.applied, Offset(9));
    assert_eq!(fixture.get_status("/readyz").await, 503);
    let is_applied = |a: &hyssop_core::Announcement| a.applied == Offset(9);
    fixture
        .entry
        .wait_for_announcement("the offset is announced", is_applied)
        .await;
}

/// Guards against accepted requests after no entry has confirmed for 3 s that it serves.
#[tokio::test]
async fn isolated_agent_refuses_requests() {
    let fixture = Fixture::start(1, 8).await;
    fixture.entry.reply.send_replace(EntryReply::default());
    let mut status = fixture.agent.status();
    wait_until(&mut status, "isolation", |status| !status.is_entry_serving).await;
    let refused = fixture.link().call(call(1, "/echo", None)).await.unwrap();
    assert_eq!(refused.outcome, Outcome::NotRun(NotRun::Isolated));
}

/// Guards against requests to a backend server that has stopped announcing itself, and against the
/// outcome "not run" for requests that it was running.
#[tokio::test]
async fn backend_server_without_announcements_is_lost() {
    let fixture = Fixture::start(1, 8).await;
    let link = Arc::new(fixture.link());
    let running = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(1, "/hold", None)).await }
    });
    fixture.backend.wait_for_runs("/hold", 1).await;
    let waiting = tokio::spawn({
        let link = Arc::clone(&link);
        async move { link.call(call(2, "/echo", None)).await }
    });
    fixture
        .wait_for_load("a request waits", |load| load.waiting == 1)
        .await;
    fixture.stop_announcing();
    let reply = running.await.unwrap().unwrap();
    assert_eq!(reply.outcome, Outcome::Unknown(Unknown::ConnectionBroken));
    let reply = waiting.await.unwrap().unwrap();
    assert_eq!(reply.outcome, Outcome::NotRun(NotRun::NoServer));
    let is_down = |a: &hyssop_core::Announcement| a.state == MemberState::Down;
    fixture
        .entry
        .wait_for_announcement("the agent is down", is_down)
        .await;
    assert_eq!(fixture.announce(1, 1, 8).await.state, MemberState::Up);
}

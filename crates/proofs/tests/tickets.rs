//! A request that runs at its agent and is repeated through another entry.

use std::sync::Arc;

use bytes::Bytes;
use hyssop_core::{
    AgentName, Announcement, Call, CallId, Class, ConfView, Connectivity, DocView, DomainName,
    Incarnation, Load, MemberState, Millis, Offset, Outcome, RackName, ServiceName, TeamName,
    Ticket, TicketCall, Unknown, Version,
};
use hyssop_proofs::invariants::{Checker, Observation};
use hyssop_proofs::world::doc;
use hyssop_route::{
    CallerRequest, Gate, GateInput, GateOptions, GateOutput, Router, RouterOptions,
};
use rstest::rstest;
use smallvec::SmallVec;

fn service() -> ServiceName {
    ServiceName::new("planner").unwrap()
}

fn team() -> TeamName {
    TeamName::new("haugland").unwrap()
}

fn domain() -> DomainName {
    DomainName::new("bergen-a").unwrap()
}

fn agent() -> AgentName {
    AgentName::new("agent-0").unwrap()
}

/// Returns a gate that accepts calls and a ticket that it issued.
fn gate() -> (Gate, Ticket) {
    let mut gate = Gate::new(GateOptions {
        service: service(),
        domain: domain(),
        incarnation: Incarnation(7),
        seed: 1,
        max_response_bytes: 10_000,
        max_tickets: 100,
    });
    gate.step(Millis(0), GateInput::EntryServing(true));
    let backend = GateInput::BackendAnnounced {
        incarnation: Incarnation(1),
        slots: 8,
        connections: 64,
    };
    gate.step(Millis(0), backend);
    let call = TicketCall {
        team: team(),
        service: service(),
        count: 1,
    };
    let out = gate.step(Millis(0), GateInput::Tickets { token: 0, call });
    let Some(GateOutput::Tickets { reply, .. }) = out.into_iter().next() else {
        panic!("no ticket");
    };
    (gate, reply.unwrap()[0])
}

/// Returns a router that knows the agent, with a limit on a team's requests in flight.
fn router(inflight: u32, with_doc: bool, connectivity: Connectivity) -> Router {
    let mut router = Router::new(RouterOptions {
        domain: domain(),
        seed: 1,
    });
    let mut view = ConfView {
        applied: Offset(2),
        ..ConfView::default()
    };
    if with_doc {
        let mut doc = doc(&service(), Class::LatencyCritical, 1);
        doc.limits.inflight = inflight;
        let version = Version(1);
        view.docs.insert(service(), DocView { version, doc });
    }
    router.apply_conf(Arc::new(view));
    router.set_connectivity(connectivity);
    let announcement = Announcement {
        agent: agent(),
        incarnation: Incarnation(7),
        seq: 1,
        address: "127.0.0.1:7000".to_owned(),
        service: service(),
        domain: domain(),
        rack: RackName::new("r0").unwrap(),
        state: MemberState::Up,
        load: Load {
            running: 0,
            waiting: 0,
            slots: 8,
        },
        applied: Offset(2),
        interval: Millis(1_000),
    };
    router.announce(Millis(0), &announcement);
    router
}

fn caller_request(ticket: Option<Ticket>) -> CallerRequest {
    CallerRequest {
        team: team(),
        service: service(),
        ticket,
        tried_agents: SmallVec::new(),
    }
}

/// Guards against the outcome "not run" for a request that runs. Its caller got no response through
/// one entry and repeats it through a second one, which refuses it: that entry is isolated, has no
/// document, or has reached the team's limit.
#[rstest]
#[case::isolated(8, true, Connectivity::Isolated)]
#[case::no_document(8, false, Connectivity::MajorityReachable)]
#[case::team_limit(1, true, Connectivity::MajorityReachable)]
fn repeat_through_another_entry_is_never_reported_not_run(
    #[case] inflight: u32,
    #[case] with_doc: bool,
    #[case] connectivity: Connectivity,
) {
    let (mut gate, ticket) = gate();
    let mut checker = Checker::new();
    checker.observe(
        Millis(0),
        &Observation::RequestSent {
            request: 1,
            ticket: Some(ticket),
            is_idempotent: false,
            expected_body: Bytes::new(),
        },
    );
    let mut first = router(8, true, Connectivity::Confirmed);
    first
        .pick(Millis(1), &caller_request(Some(ticket)))
        .unwrap();
    let call = Call {
        id: CallId(1),
        team: team(),
        service: service(),
        method: "POST".to_owned(),
        path: "/".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"1"),
        budget: Millis(2_000),
        ticket: Some(ticket),
        is_idempotent: false,
        refusal: None,
    };
    let repeat = call.clone();
    let out = gate.step(Millis(1), GateInput::Call { token: 1, call });
    assert!(matches!(out[..], [GateOutput::Run { .. }]), "it runs");
    let ran = Observation::RequestStarted {
        agent: agent(),
        request: 1,
    };
    checker.observe(Millis(1), &ran);

    let mut second = router(inflight, with_doc, connectivity);
    if inflight == 1 {
        second.pick(Millis(1), &caller_request(None)).unwrap();
    }
    let outcome = match second.pick(Millis(2), &caller_request(Some(ticket))) {
        Err(outcome) => outcome,
        Ok(pick) => {
            assert!(pick.refusal.is_some(), "the second entry refuses it");
            let call = Call {
                refusal: pick.refusal,
                ..repeat
            };
            let out = gate.step(Millis(2), GateInput::Call { token: 2, call });
            assert!(out.is_empty(), "the repeat waits for the run: {out:?}");
            let outcome = Outcome::Unknown(Unknown::ConnectionBroken);
            let call_ended = gate.step(Millis(3), GateInput::CallEnded { token: 1, outcome });
            let reply = call_ended.iter().find_map(|output| match output {
                GateOutput::Reply { token: 2, reply } => Some(reply.outcome.clone()),
                _ => None,
            });
            reply.expect("a reply to the repeat")
        }
    };
    checker.observe(
        Millis(2),
        &Observation::ResponseReceived {
            request: 1,
            outcome,
        },
    );
    assert_eq!(checker.violations(), []);
}

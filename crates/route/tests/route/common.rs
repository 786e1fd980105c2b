//! Builders shared by the tests of the gate and the router.

use std::sync::Arc;

use bytes::Bytes;
use hyssop_core::{
    AgentName, Announcement, Call, CallId, Class, CompleteResponse, ConfView, DocView, DomainName,
    DomainState, Incarnation, Limits, Load, MemberState, Millis, Moves, Needs, Offset, Outcome,
    RackName, Resources, ServiceDoc, ServiceName, TeamName, Ticket, TicketCall, Version,
};
use hyssop_route::{Gate, GateInput, GateOptions, GateOutput};
use smallvec::smallvec;

/// Incarnation of the agent under test.
pub(crate) const AGENT_INCARNATION: Incarnation = Incarnation(7);

pub(crate) fn service() -> ServiceName {
    ServiceName::new("planner").unwrap()
}

pub(crate) fn team(name: &str) -> TeamName {
    TeamName::new(name).unwrap()
}

pub(crate) fn domain(name: &str) -> DomainName {
    DomainName::new(name).unwrap()
}

pub(crate) fn response(text: &str) -> Outcome {
    let body = Bytes::copy_from_slice(text.as_bytes());
    Outcome::Complete(CompleteResponse::new(200, Vec::new(), body))
}

/// Creates a configuration with one document and the given failure domains out of service.
pub(crate) fn conf(applied: u64, limits: Limits, out_domains: &[&str]) -> Arc<ConfView> {
    let doc = ServiceDoc {
        service: service(),
        team: team("haugland"),
        class: Class::LatencyCritical,
        domains: smallvec![domain("bergen-a"), domain("bergen-b"), domain("forde")],
        needs: Needs {
            resources: Resources {
                cpu: 1_000,
                mem: 1_000,
                ..Resources::default()
            },
            instances: 3,
        },
        moves: Moves::default(),
        limits,
        idempotent: Vec::new(),
    };
    let version = Version(applied.saturating_sub(1));
    let mut view = ConfView {
        applied: Offset(applied),
        ..ConfView::default()
    };
    view.docs.insert(service(), DocView { version, doc });
    for name in ["bergen-a", "bergen-b", "forde"] {
        let state = match out_domains.contains(&name) {
            true => DomainState::Out,
            false => DomainState::In,
        };
        view.domains.insert(domain(name), (version, state));
    }
    Arc::new(view)
}

pub(crate) fn call(
    id: u64,
    team_name: &str,
    ticket: Option<Ticket>,
    body: &str,
    budget: u64,
) -> Call {
    Call {
        id: CallId(id),
        team: team(team_name),
        service: service(),
        method: "POST".to_owned(),
        path: "/fittings".to_owned(),
        headers: Vec::new(),
        body: Bytes::copy_from_slice(body.as_bytes()),
        budget: Millis(budget),
        ticket,
        is_idempotent: ticket.is_none(),
        refusal: None,
    }
}

pub(crate) fn announcement(
    agent: &str,
    incarnation: u64,
    seq: u64,
    domain_name: &str,
) -> Announcement {
    Announcement {
        agent: AgentName::new(agent).unwrap(),
        incarnation: Incarnation(incarnation),
        seq,
        address: format!("127.0.0.1:{}", 7_000 + incarnation),
        service: service(),
        domain: domain(domain_name),
        rack: RackName::new("r1").unwrap(),
        state: MemberState::Up,
        load: Load {
            running: 0,
            waiting: 0,
            slots: 8,
        },
        applied: Offset(0),
        interval: Millis(1_000),
    }
}

pub(crate) fn gate_options() -> GateOptions {
    GateOptions {
        service: service(),
        domain: domain("bergen-a"),
        incarnation: AGENT_INCARNATION,
        seed: 1,
        max_response_bytes: 10_000,
        max_tickets: 100,
    }
}

/// Creates a gate that accepts work, with a backend server and a serving entry.
pub(crate) fn open_gate(slots: u32, connections: u32) -> Gate {
    let mut gate = Gate::new(gate_options());
    gate.step(Millis(0), GateInput::EntryServing(true));
    gate.step(Millis(0), backend_announced(1, slots, connections));
    gate
}

pub(crate) fn backend_announced(incarnation: u64, slots: u32, connections: u32) -> GateInput {
    GateInput::BackendAnnounced {
        incarnation: Incarnation(incarnation),
        slots,
        connections,
    }
}

pub(crate) fn issue_ticket(gate: &mut Gate, now: u64, team_name: &str) -> Ticket {
    let call = TicketCall {
        team: team(team_name),
        service: service(),
        count: 1,
    };
    let outputs = gate.step(Millis(now), GateInput::Tickets { token: 0, call });
    match outputs.as_slice() {
        [
            GateOutput::Tickets {
                reply: Ok(list), ..
            },
        ] => list[0],
        other => panic!("no ticket: {other:?}"),
    }
}

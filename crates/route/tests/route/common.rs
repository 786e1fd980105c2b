//! Builders shared by the tests of the gate and the router.

use std::sync::Arc;

use bytes::Bytes;
use hyssop_core::{
    AgentName, Announcement, Call, CallId, Class, ConfView, DocView, DomainName, DomainState,
    Incarnation, Limits, Load, MemberState, Millis, Moves, Needs, Offset, Outcome, RackName,
    Resources, ServiceDoc, ServiceName, TeamName, Ticket, TicketCall, Version, Whole,
};
use hyssop_route::{Gate, GateInput, GateOptions, GateOutput};
use smallvec::smallvec;

/// Life of the agent under test.
pub(crate) const LIFE: Incarnation = Incarnation(7);

pub(crate) fn service() -> ServiceName {
    ServiceName::new("planner").unwrap()
}

pub(crate) fn team(name: &str) -> TeamName {
    TeamName::new(name).unwrap()
}

pub(crate) fn domain(name: &str) -> DomainName {
    DomainName::new(name).unwrap()
}

pub(crate) fn whole(text: &str) -> Outcome {
    let body = Bytes::copy_from_slice(text.as_bytes());
    Outcome::Whole(Whole::new(200, Vec::new(), body))
}

/// A configuration with one document and the given domains out of service.
pub(crate) fn conf(applied: u64, limits: Limits, out: &[&str]) -> Arc<ConfView> {
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
        let state = match out.contains(&name) {
            true => DomainState::Out,
            false => DomainState::In,
        };
        view.domains.insert(domain(name), (version, state));
    }
    Arc::new(view)
}

pub(crate) fn call(id: u64, from: &str, ticket: Option<Ticket>, body: &str, budget: u64) -> Call {
    Call {
        id: CallId(id),
        team: team(from),
        service: service(),
        method: "POST".to_owned(),
        path: "/fittings".to_owned(),
        headers: Vec::new(),
        body: Bytes::copy_from_slice(body.as_bytes()),
        budget: Millis(budget),
        ticket,
        idempotent: ticket.is_none(),
        refuse: None,
    }
}

pub(crate) fn announcement(agent: &str, life: u64, seq: u64, near: &str) -> Announcement {
    Announcement {
        agent: AgentName::new(agent).unwrap(),
        incarnation: Incarnation(life),
        seq,
        address: format!("127.0.0.1:{}", 7_000 + life),
        service: service(),
        domain: domain(near),
        rack: RackName::new("r1").unwrap(),
        state: MemberState::Up,
        load: Load {
            running: 0,
            waiting: 0,
            slots: 8,
        },
        applied: Offset(0),
        every: Millis(1_000),
    }
}

pub(crate) fn options() -> GateOptions {
    GateOptions {
        service: service(),
        domain: domain("bergen-a"),
        incarnation: LIFE,
        seed: 1,
        max_response_bytes: 10_000,
        max_tickets: 100,
    }
}

/// A gate with a backend server, in service.
pub(crate) fn open_gate(slots: u32, connections: u32) -> Gate {
    let mut gate = Gate::new(options());
    gate.step(Millis(0), GateInput::EntryServing(true));
    gate.step(Millis(0), backend(1, slots, connections));
    gate
}

pub(crate) fn backend(life: u64, slots: u32, connections: u32) -> GateInput {
    GateInput::BackendAnnounced {
        incarnation: Incarnation(life),
        slots,
        connections,
    }
}

pub(crate) fn issue(gate: &mut Gate, now: u64, from: &str) -> Ticket {
    let call = TicketCall {
        team: team(from),
        service: service(),
        count: 1,
    };
    let out = gate.step(Millis(now), GateInput::Tickets { token: 0, call });
    match out.as_slice() {
        [
            GateOutput::Tickets {
                reply: Ok(list), ..
            },
        ] => list[0],
        other => panic!("no ticket: {other:?}"),
    }
}

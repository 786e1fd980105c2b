//! Processor time of the router and the gate.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyssop_core::{
    AgentName, Announcement, Call, CallId, CompleteResponse, ConfView, Connectivity, DocView,
    DomainName, Incarnation, Load, MemberState, Millis, Offset, Outcome, RackName, ServiceName,
    TeamName, Ticket, TicketCall, Version,
};
use hyssop_route::{
    CallReport, CallResult, CallerRequest, Gate, GateInput, GateOptions, GateOutput, Router,
    RouterOptions,
};
use smallvec::SmallVec;

use super::fixtures::service_document;
use crate::clocks::thread_cpu_time;
use crate::reports::{Report, Series};

/// Number of requests in each measurement of the router.
const REQUEST_COUNT: u32 = 20_000;
const SERVICE: &str = "planner";
const DOMAIN: &str = "bergen-a";

pub(super) fn measure(report: &mut Report) {
    let pick_costs = [10, 30, 100, 500].map(|n| (f64::from(n), measure_pick(n)));
    let name = "Router::pick and done";
    report.add_series(Series::new(name, "members", "us", pick_costs.to_vec()));
    let announce_costs = [10, 30, 100, 500].map(|n| (f64::from(n), measure_announce(n)));
    let name = "Router::announce";
    report.add_series(Series::new(name, "members", "us", announce_costs.to_vec()));
    let gate_costs = [100, 1_000, 5_000, 20_000].map(|n| (f64::from(n), measure_gate(n)));
    let name = "Gate::step of one request with ticket: issue, call, end";
    report.add_series(Series::new(name, "tickets kept", "us", gate_costs.to_vec()));
}

fn service() -> ServiceName {
    ServiceName::new(SERVICE).expect("a valid name")
}

fn team() -> TeamName {
    TeamName::new("haugland").expect("a valid name")
}

fn domain() -> DomainName {
    DomainName::new(DOMAIN).expect("a valid name")
}

fn view() -> Arc<ConfView> {
    let mut view = ConfView {
        applied: Offset(1),
        ..ConfView::default()
    };
    let mut doc = service_document(SERVICE);
    doc.limits.inflight = 100_000;
    let version = Version(0);
    view.docs.insert(service(), DocView { version, doc });
    Arc::new(view)
}

/// Returns an announcement of agent number `n`.
pub(super) fn announcement(n: u32, seq: u64) -> Announcement {
    Announcement {
        agent: AgentName::new(format!("agent-{n}")).expect("a valid name"),
        incarnation: Incarnation(u64::from(n) + 0x1234_5678_9abc),
        seq,
        address: "10.20.30.40:7100".to_owned(),
        service: service(),
        domain: domain(),
        rack: RackName::new("bergen-a-r1").expect("a valid name"),
        state: MemberState::Up,
        load: Load {
            running: 2,
            waiting: 0,
            slots: 8,
        },
        applied: Offset(100),
        interval: Millis(1_000),
    }
}

fn router(members: u32) -> Router {
    let mut router = Router::new(RouterOptions {
        domain: domain(),
        seed: 1,
    });
    router.set_connectivity(Connectivity::Confirmed);
    router.apply_conf(view());
    for n in 0..members {
        router.announce(Millis(1_000), &announcement(n, 1));
    }
    router
}

fn micros_per_request(total: Duration, count: u32) -> f64 {
    total.as_secs_f64() * 1e6 / f64::from(count)
}

fn measure_pick(members: u32) -> f64 {
    let mut router = router(members);
    let request = CallerRequest {
        team: team(),
        service: service(),
        ticket: None,
        tried_agents: SmallVec::new(),
    };
    let report = CallReport {
        result: CallResult::Success,
        latency: Millis(3),
        load: Some(Load {
            running: 2,
            waiting: 0,
            slots: 8,
        }),
    };
    let start = thread_cpu_time();
    for n in 0..REQUEST_COUNT {
        let now = Millis(1_100 + u64::from(n / 100));
        let pick = router
            .pick(now, &request)
            .expect("a member accepts requests");
        router.report_call(now, &pick, &report);
    }
    micros_per_request(thread_cpu_time().saturating_sub(start), REQUEST_COUNT)
}

fn measure_announce(members: u32) -> f64 {
    let mut router = router(members);
    let count = REQUEST_COUNT.div_ceil(members) * members;
    let announcements: Vec<Announcement> = (0..count)
        .map(|n| announcement(n % members, u64::from(n / members) + 2))
        .collect();
    let start = thread_cpu_time();
    for announcement in &announcements {
        router.announce(Millis(1_500), announcement);
    }
    micros_per_request(thread_cpu_time().saturating_sub(start), count)
}

fn call(n: u32, ticket: Ticket) -> Call {
    Call {
        id: CallId(u64::from(n)),
        team: team(),
        service: service(),
        method: "POST".to_owned(),
        path: "/fittings".to_owned(),
        headers: Vec::new(),
        body: Bytes::from_static(b"{\"customer\":\"4711\",\"slot\":\"2026-03-02T09:00\"}"),
        budget: Millis(2_000),
        ticket: Some(ticket),
        is_idempotent: false,
        refusal: None,
    }
}

fn gate(tickets: u32) -> Gate {
    let mut gate = Gate::new(GateOptions {
        service: service(),
        domain: domain(),
        incarnation: Incarnation(7),
        seed: 1,
        max_response_bytes: 64 * 1_024 * 1_024,
        max_tickets: usize::try_from(tickets).unwrap_or(usize::MAX) + 64,
    });
    let now = Millis(0);
    gate.step(now, GateInput::EntryServing(true));
    gate.step(now, GateInput::Conf(view()));
    let backend = GateInput::BackendAnnounced {
        incarnation: Incarnation(1),
        slots: 8,
        connections: 64,
    };
    gate.step(now, backend);
    gate
}

/// Issues a ticket, runs one request with it through the gate and ends the request.
fn run_request(gate: &mut Gate, now: Millis, n: u32) {
    let token = u64::from(n) * 2;
    let request = TicketCall {
        team: team(),
        service: service(),
        count: 1,
    };
    let outputs = gate.step(
        now,
        GateInput::Tickets {
            token,
            call: request,
        },
    );
    let ticket = outputs.iter().find_map(|output| match output {
        GateOutput::Tickets { reply, .. } => reply.as_ref().ok()?.first().copied(),
        _ => None,
    });
    let call = call(n, ticket.expect("a ticket is issued"));
    let token = token + 1;
    let outputs = gate.step(now, GateInput::Call { token, call });
    let is_running = outputs
        .iter()
        .any(|output| matches!(output, GateOutput::Run { .. }));
    assert!(is_running, "the request runs");
    let body = Bytes::from_static(b"{\"fitting\":815}");
    let outcome = Outcome::Complete(CompleteResponse::new(200, Vec::new(), body));
    gate.step(now, GateInput::CallEnded { token, outcome });
}

fn measure_gate(retained_tickets: u32) -> f64 {
    let mut gate = gate(retained_tickets + REQUEST_COUNT);
    for n in 0..retained_tickets {
        run_request(&mut gate, Millis(1_000), n);
    }
    let count = 2_000;
    let start = thread_cpu_time();
    for n in retained_tickets..retained_tickets + count {
        run_request(&mut gate, Millis(2_000), n);
    }
    micros_per_request(thread_cpu_time().saturating_sub(start), count)
}

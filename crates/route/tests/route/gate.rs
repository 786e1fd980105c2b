//! Tests of single behaviours of the gate.

use crate::common::{
    AGENT_INCARNATION, backend_announced, call, conf, gate_options, issue_ticket, open_gate,
    response, service, team,
};
use hyssop_core::limits::{RESPONSE_TTL, TICKET_TTL};
use hyssop_core::{
    Call, DomainState, Incarnation, Limits, MemberState, Millis, NotRun, Outcome, Ticket,
    TicketCall, Unknown, Version,
};
use hyssop_route::{Gate, GateInput, GateOutput, LEAVE_GRACE, MAX_DEADLINE_OVERRUN};
use rstest::rstest;

fn send(gate: &mut Gate, now: u64, token: u64, call: Call) -> Vec<GateOutput> {
    gate.step(Millis(now), GateInput::Call { token, call })
        .into_vec()
}

fn end_call(gate: &mut Gate, now: u64, token: u64, outcome: Outcome) -> Vec<GateOutput> {
    gate.step(Millis(now), GateInput::CallEnded { token, outcome })
        .into_vec()
}

fn tick(gate: &mut Gate, now: u64) -> Vec<GateOutput> {
    gate.step(Millis(now), GateInput::Tick).into_vec()
}

fn started_tokens(outputs: &[GateOutput]) -> Vec<u64> {
    let token = |o: &GateOutput| match o {
        GateOutput::Run { token, .. } => Some(*token),
        _ => None,
    };
    outputs.iter().filter_map(token).collect()
}

fn replies(outputs: &[GateOutput]) -> Vec<(u64, Outcome)> {
    let reply = |o: &GateOutput| match o {
        GateOutput::Reply { token, reply } => Some((*token, reply.outcome.clone())),
        _ => None,
    };
    outputs.iter().filter_map(reply).collect()
}

fn not_run(token: u64, reason: NotRun) -> Vec<(u64, Outcome)> {
    vec![(token, Outcome::NotRun(reason))]
}

fn unknown(token: u64, reason: Unknown) -> Vec<(u64, Outcome)> {
    vec![(token, Outcome::Unknown(reason))]
}

/// Guards against a repeat that runs a second time or gets a different response.
#[test]
fn repeat_gets_the_stored_response() {
    let mut gate = open_gate(2, 4);
    let ticket = Some(issue_ticket(&mut gate, 0, "a"));
    assert_eq!(
        started_tokens(&send(&mut gate, 1, 1, call(1, "a", ticket, "x", 100))),
        [1]
    );
    let repeat = send(&mut gate, 2, 2, call(2, "a", ticket, "x", 100));
    assert!(
        repeat.is_empty(),
        "the repeat waits for the first request: {repeat:?}"
    );
    let ended = replies(&end_call(&mut gate, 3, 1, response("done")));
    assert_eq!(ended.len(), 2);
    assert!(
        ended
            .iter()
            .all(|(_, outcome)| *outcome == response("done"))
    );
    let later = send(&mut gate, 4, 3, call(3, "a", ticket, "x", 100));
    assert_eq!(replies(&later), [(3, response("done"))]);
}

/// Guards against a ticket that is used up by a request with different contents or of another team.
#[rstest]
#[case::body("a", "other")]
#[case::team("b", "x")]
fn reused_ticket_does_not_affect_the_first_request(#[case] team_name: &str, #[case] body: &str) {
    let mut gate = open_gate(2, 4);
    let ticket = Some(issue_ticket(&mut gate, 0, "a"));
    send(&mut gate, 1, 1, call(1, "a", ticket, "x", 100));
    let reused = send(&mut gate, 2, 2, call(2, team_name, ticket, body, 100));
    assert_eq!(replies(&reused), not_run(2, NotRun::TicketReused));
    assert_eq!(
        replies(&end_call(&mut gate, 3, 1, response("done"))),
        [(1, response("done"))]
    );
    let reused = send(&mut gate, 4, 3, call(3, team_name, ticket, body, 100));
    assert_eq!(replies(&reused), not_run(3, NotRun::TicketReused));
}

/// Guards against a "not run" reply for a request that may still run: the first request is still
/// queued when the deadline of its repeat passes.
#[test]
fn repeat_of_a_queued_request_times_out_as_unknown() {
    let mut gate = open_gate(1, 4);
    send(&mut gate, 0, 1, call(1, "a", None, "x", 1_000));
    let ticket = Some(issue_ticket(&mut gate, 0, "a"));
    assert!(send(&mut gate, 1, 2, call(2, "a", ticket, "y", 1_000)).is_empty());
    assert!(send(&mut gate, 2, 3, call(3, "a", ticket, "y", 10)).is_empty());
    assert_eq!(replies(&tick(&mut gate, 12)), unknown(3, Unknown::Deadline));
    assert_eq!(
        started_tokens(&end_call(&mut gate, 20, 1, response("x"))),
        [2]
    );
}

/// Guards against a refused ticket that runs when the request is repeated.
#[test]
fn refused_ticket_stays_refused() {
    let mut gate = open_gate(1, 1);
    let ticket = Some(issue_ticket(&mut gate, 0, "a"));
    send(&mut gate, 0, 1, call(1, "a", None, "x", 1_000));
    let full = send(&mut gate, 1, 2, call(2, "a", ticket, "y", 1_000));
    assert_eq!(replies(&full), not_run(2, NotRun::QueueFull));
    end_call(&mut gate, 2, 1, response("x"));
    let repeat = send(&mut gate, 3, 3, call(3, "a", ticket, "y", 1_000));
    assert_eq!(replies(&repeat), not_run(3, NotRun::TicketRefused));
}

/// Guards against a ticket that has run and is refused for the entry's reason, and against a run of
/// an unused ticket that an entry has refused.
#[test]
fn entry_refusal_applies_to_unused_tickets_only() {
    let mut gate = open_gate(2, 4);
    let refused = |id, ticket, body: &str| Call {
        refusal: Some(NotRun::Isolated),
        ..call(id, "a", ticket, body, 100)
    };
    let used = Some(issue_ticket(&mut gate, 0, "a"));
    send(&mut gate, 0, 1, call(1, "a", used, "x", 100));
    assert!(send(&mut gate, 1, 2, refused(2, used, "x")).is_empty());
    let ended = replies(&end_call(&mut gate, 2, 1, response("done")));
    assert_eq!(ended, [(2, response("done")), (1, response("done"))]);
    let repeat = send(&mut gate, 3, 3, refused(3, used, "x"));
    assert_eq!(replies(&repeat), [(3, response("done"))]);

    let unused = Some(issue_ticket(&mut gate, 3, "a"));
    let first = send(&mut gate, 3, 4, refused(4, unused, "y"));
    assert_eq!(replies(&first), not_run(4, NotRun::Isolated));
    let repeat = send(&mut gate, 4, 5, call(5, "a", unused, "y", 100));
    assert_eq!(replies(&repeat), not_run(5, NotRun::TicketRefused));
    let plain = send(&mut gate, 5, 6, refused(6, None, "z"));
    assert_eq!(replies(&plain), not_run(6, NotRun::Isolated));
}

/// Guards against a request that starts after its deadline has passed on arrival or in the queue.
#[test]
fn expired_calls_never_start() {
    let mut gate = open_gate(1, 4);
    let first = Some(issue_ticket(&mut gate, 0, "a"));
    let late = send(&mut gate, 0, 1, call(1, "a", first, "x", 0));
    assert_eq!(replies(&late), not_run(1, NotRun::Deadline));
    let repeat = send(&mut gate, 1, 2, call(2, "a", first, "x", 100));
    assert_eq!(replies(&repeat), not_run(2, NotRun::TicketRefused));

    let second = Some(issue_ticket(&mut gate, 1, "a"));
    send(&mut gate, 1, 3, call(3, "a", None, "x", 100));
    send(&mut gate, 1, 4, call(4, "a", second, "y", 50));
    let ended = end_call(&mut gate, 60, 3, response("x"));
    assert_eq!(started_tokens(&ended), Vec::<u64>::new());
    assert!(replies(&ended).contains(&(4, Outcome::NotRun(NotRun::Deadline))));
}

/// Guards against a request with an unlimited budget that occupies its slot forever.
#[test]
fn call_budget_is_bounded() {
    let mut gate = open_gate(1, 4);
    let started = send(&mut gate, 0, 1, call(1, "a", None, "x", u64::MAX));
    let [
        GateOutput::Run {
            call, time_limit, ..
        },
    ] = &started[..]
    else {
        panic!("the request must start: {started:?}");
    };
    assert_eq!(call.budget, Millis(600_000));
    assert_eq!(*time_limit, Millis(600_000) + MAX_DEADLINE_OVERRUN);
    assert_eq!(
        replies(&tick(&mut gate, 600_000)),
        unknown(1, Unknown::Deadline)
    );
}

/// Guards against a slot that is reused while the backend server is still working, and against the
/// loss of a response that arrives after the caller's deadline.
#[test]
fn late_response_is_stored_and_the_slot_stays_occupied() {
    let mut gate = open_gate(1, 4);
    let ticket = Some(issue_ticket(&mut gate, 0, "a"));
    let started = send(&mut gate, 0, 1, call(1, "a", ticket, "x", 100));
    let limit = started.iter().find_map(|o| match o {
        GateOutput::Run { time_limit, .. } => Some(*time_limit),
        _ => None,
    });
    assert_eq!(limit, Some(Millis(100) + MAX_DEADLINE_OVERRUN));
    assert_eq!(
        replies(&tick(&mut gate, 100)),
        unknown(1, Unknown::Deadline)
    );
    assert!(send(&mut gate, 110, 2, call(2, "a", None, "y", 1_000)).is_empty());
    assert_eq!(
        started_tokens(&end_call(&mut gate, 200, 1, response("late"))),
        [2]
    );
    let repeat = send(&mut gate, 210, 3, call(3, "a", ticket, "x", 100));
    assert_eq!(replies(&repeat), [(3, response("late"))]);
}

/// Guards against a team with a long queue that locks out other teams.
#[test]
fn queue_is_fair_between_teams() {
    let mut gate = open_gate(1, 4);
    for token in 1..=4 {
        send(&mut gate, 0, token, call(token, "a", None, "x", 1_000));
    }
    let full = send(&mut gate, 1, 5, call(5, "a", None, "x", 1_000));
    assert_eq!(replies(&full), not_run(5, NotRun::QueueFull));
    let other = send(&mut gate, 1, 6, call(6, "b", None, "x", 1_000));
    assert_eq!(replies(&other), not_run(4, NotRun::QueueFull));
    assert_eq!(
        started_tokens(&end_call(&mut gate, 2, 1, response("x"))),
        [2]
    );
    assert_eq!(
        started_tokens(&end_call(&mut gate, 3, 2, response("x"))),
        [6]
    );
    assert_eq!(
        started_tokens(&end_call(&mut gate, 4, 6, response("x"))),
        [3]
    );
}

/// Guards against a burst of one team that delays another one: however many requests of the first
/// team are queued, the next one of the second team starts after at most one of them.
#[rstest]
#[case::small(3)]
#[case::full(60)]
fn burst_of_one_team_does_not_delay_another_team(#[case] burst: u64) {
    let mut gate = open_gate(1, 64);
    for token in 1..=burst {
        send(&mut gate, 0, token, call(token, "a", None, "x", 60_000));
    }
    let mut running = 1;
    for round in 0..5 {
        let token = 100 + round;
        assert!(send(&mut gate, 1, token, call(token, "b", None, "y", 60_000)).is_empty());
        let mut ahead = 0;
        while running != token {
            running = started_tokens(&end_call(&mut gate, 2, running, response("x")))[0];
            ahead += u64::from(running != token);
        }
        assert!(
            ahead <= 1,
            "{ahead} requests of the burst were started first"
        );
    }
}

/// Guards against a backend server that gets a larger budget than the caller has left.
#[test]
fn queueing_time_is_deducted_from_the_budget() {
    let mut gate = open_gate(1, 4);
    send(&mut gate, 0, 1, call(1, "a", None, "x", 1_000));
    send(&mut gate, 0, 2, call(2, "a", None, "y", 1_000));
    let started = end_call(&mut gate, 400, 1, response("x"));
    let budget = started.iter().find_map(|o| match o {
        GateOutput::Run { token: 2, call, .. } => Some(call.budget),
        _ => None,
    });
    assert_eq!(budget, Some(Millis(600)));
}

/// Guards against more load than the document or the backend server allows, and against an older
/// configuration that replaces a newer one.
#[test]
fn document_limits_are_enforced() {
    let mut gate = open_gate(8, 64);
    let limits = Limits {
        slots: 1,
        connections: 2,
        ..Limits::default()
    };
    gate.step(Millis(0), GateInput::Conf(conf(5, limits, &[])));
    assert_eq!(
        started_tokens(&send(&mut gate, 0, 1, call(1, "a", None, "x", 100))),
        [1]
    );
    assert!(send(&mut gate, 0, 2, call(2, "a", None, "x", 100)).is_empty());
    let full = send(&mut gate, 0, 3, call(3, "a", None, "x", 100));
    assert_eq!(replies(&full), not_run(3, NotRun::QueueFull));
    // An older configuration that arrives late must not restore the earlier limits.
    gate.step(Millis(1), GateInput::Conf(conf(4, Limits::default(), &[])));
    let full = send(&mut gate, 1, 4, call(4, "a", None, "x", 100));
    assert_eq!(replies(&full), not_run(4, NotRun::QueueFull));
}

/// Guards against a "not run" reply for requests that were running when the backend server was
/// lost.
#[test]
fn running_requests_are_unknown_after_backend_loss() {
    let mut gate = open_gate(1, 4);
    let ticket = Some(issue_ticket(&mut gate, 0, "a"));
    send(&mut gate, 0, 1, call(1, "a", ticket, "x", 1_000));
    send(&mut gate, 0, 2, call(2, "a", None, "y", 1_000));
    let lost = replies(&gate.step(Millis(5), GateInput::BackendLost));
    let expected = [
        unknown(1, Unknown::ConnectionBroken),
        not_run(2, NotRun::NoServer),
    ]
    .concat();
    assert_eq!(lost, expected);
    let repeat = send(&mut gate, 6, 3, call(3, "a", ticket, "x", 1_000));
    assert_eq!(replies(&repeat), unknown(3, Unknown::ConnectionBroken));
    // The same incarnation is announced again: it only didn't respond and still has the request.
    gate.step(Millis(7), backend_announced(1, 1, 4));
    assert!(send(&mut gate, 8, 4, call(4, "a", None, "y", 1_000)).is_empty());
    // A new incarnation has no requests of the earlier one.
    let renewed = gate.step(Millis(9), backend_announced(2, 1, 4)).into_vec();
    assert_eq!(started_tokens(&renewed), [4]);
    let repeat = send(&mut gate, 10, 5, call(5, "a", ticket, "x", 1_000));
    assert_eq!(replies(&repeat), unknown(5, Unknown::ConnectionBroken));
}

/// Guards against new work on a leaving backend server, and against a planned stop that aborts
/// requests or leaves repeated tickets without a reply.
#[test]
fn leaving_gate_replies_to_used_tickets_and_refuses_new_work() {
    let mut gate = open_gate(1, 4);
    let used = Some(issue_ticket(&mut gate, 0, "a"));
    let unused = Some(issue_ticket(&mut gate, 0, "a"));
    send(&mut gate, 0, 1, call(1, "a", used, "x", 9_000));
    send(&mut gate, 0, 2, call(2, "a", None, "y", 9_000));
    gate.step(Millis(10), GateInput::Leave);
    assert_eq!(gate.status().state, MemberState::Leaving);
    let fresh = send(&mut gate, 11, 3, call(3, "a", unused, "z", 9_000));
    assert_eq!(replies(&fresh), not_run(3, NotRun::Leaving));
    let ticket_call = TicketCall {
        team: team("a"),
        service: service(),
        count: 1,
    };
    let refused = gate.step(
        Millis(12),
        GateInput::Tickets {
            token: 4,
            call: ticket_call,
        },
    );
    let expected = GateOutput::Tickets {
        token: 4,
        reply: Err(NotRun::Leaving),
    };
    assert_eq!(refused.as_slice(), [expected]);
    let grace = tick(&mut gate, 10 + LEAVE_GRACE.0);
    assert_eq!(replies(&grace), not_run(2, NotRun::Leaving));
    assert_eq!(
        replies(&end_call(&mut gate, 3_000, 1, response("x"))),
        [(1, response("x"))]
    );
    let repeat = send(&mut gate, 3_001, 5, call(5, "a", used, "x", 100));
    assert_eq!(replies(&repeat), [(5, response("x"))]);
    gate.step(Millis(3_002), GateInput::Rejoin);
    assert_eq!(
        started_tokens(&send(&mut gate, 3_003, 6, call(6, "a", None, "y", 100))),
        [6]
    );
}

/// Guards against a domain state that is replaced by an older one that arrives late.
#[test]
fn older_domain_state_is_ignored() {
    let mut gate = open_gate(1, 4);
    let state = |version, state| GateInput::DomainChanged {
        version: Version(version),
        state,
    };
    gate.step(Millis(0), state(9, DomainState::Out));
    gate.step(Millis(1), GateInput::Conf(conf(5, Limits::default(), &[])));
    gate.step(Millis(2), GateInput::Rejoin);
    assert_eq!(gate.status().state, MemberState::Leaving);
    gate.step(Millis(3), GateInput::Conf(conf(12, Limits::default(), &[])));
    assert_eq!(gate.status().state, MemberState::Up);
}

/// Guards against work that is accepted while no entry is serving, or for a service without a
/// document.
#[test]
fn isolated_gate_refuses_new_work() {
    let mut gate = Gate::new(gate_options());
    gate.step(Millis(0), backend_announced(1, 1, 4));
    let refused = send(&mut gate, 0, 1, call(1, "a", None, "x", 100));
    assert_eq!(replies(&refused), not_run(1, NotRun::Isolated));
    gate.step(Millis(1), GateInput::EntryServing(true));
    assert_eq!(
        started_tokens(&send(&mut gate, 1, 2, call(2, "a", None, "x", 100))),
        [2]
    );
    send(&mut gate, 1, 3, call(3, "a", None, "x", 100));
    let isolated = gate.step(Millis(2), GateInput::EntryServing(false));
    assert_eq!(replies(&isolated), not_run(3, NotRun::Isolated));
    gate.step(Millis(3), GateInput::EntryServing(true));
    let mut view = (*conf(5, Limits::default(), &[])).clone();
    view.docs.clear();
    gate.step(Millis(4), GateInput::Conf(view.into()));
    let refused = send(&mut gate, 5, 4, call(4, "a", None, "x", 100));
    assert_eq!(replies(&refused), not_run(4, NotRun::NoService));
}

/// Guards against a "not run" reply for a ticket that ran so long ago that its record has been
/// removed.
#[test]
fn ticket_without_a_record_is_unknown_after_retention() {
    let mut gate = open_gate(1, 4);
    let used = issue_ticket(&mut gate, 0, "a");
    let unused = issue_ticket(&mut gate, 0, "a");
    send(&mut gate, 0, 1, call(1, "a", Some(used), "x", 100));
    end_call(&mut gate, 50, 1, response("x"));
    let expired = TICKET_TTL.0;
    let refused = send(&mut gate, expired, 2, call(2, "a", Some(unused), "x", 100));
    assert_eq!(replies(&refused), not_run(2, NotRun::TicketExpired));
    let dropped = 50 + RESPONSE_TTL.0;
    let unknown_reply = send(&mut gate, dropped, 3, call(3, "a", Some(used), "x", 100));
    assert_eq!(replies(&unknown_reply), unknown(3, Unknown::Expired));
    let reused = send(&mut gate, dropped, 4, call(4, "a", Some(used), "y", 100));
    assert_eq!(replies(&reused), not_run(4, NotRun::TicketReused));
    let record_removed = 50 + TICKET_TTL.0 + RESPONSE_TTL.0;
    let unknown_reply = send(
        &mut gate,
        record_removed,
        5,
        call(5, "a", Some(used), "x", 100),
    );
    assert_eq!(replies(&unknown_reply), unknown(5, Unknown::Expired));
    assert_eq!(gate.status().ticket_records, 0);
}

/// Guards against an agent that accepts tickets that it didn't issue, and against requests without
/// a ticket that are not idempotent.
#[test]
fn foreign_and_missing_tickets_are_refused() {
    let mut gate = open_gate(1, 4);
    let earlier = Ticket {
        incarnation: Incarnation(6),
        nonce: 1,
    };
    let unreachable = send(&mut gate, 0, 1, call(1, "a", Some(earlier), "x", 100));
    assert_eq!(replies(&unreachable), unknown(1, Unknown::AgentUnreachable));
    let invented = Ticket {
        incarnation: AGENT_INCARNATION,
        nonce: 1,
    };
    let refused = send(&mut gate, 0, 2, call(2, "a", Some(invented), "x", 100));
    assert_eq!(replies(&refused), not_run(2, NotRun::TicketExpired));
    let mut without = call(3, "a", None, "x", 100);
    without.is_idempotent = false;
    let refused = send(&mut gate, 0, 3, without);
    assert_eq!(replies(&refused), not_run(3, NotRun::TicketMissing));
}

/// Guards against unbounded memory for stored responses and unused tickets.
#[test]
fn memory_is_bounded() {
    let mut gate = open_gate(1, 4);
    let mut last = None;
    for token in 1..=50 {
        let ticket = Some(issue_ticket(&mut gate, 0, "a"));
        send(&mut gate, 0, token, call(token, "a", ticket, "x", 100));
        end_call(&mut gate, 0, token, response(&"y".repeat(900)));
        assert!(gate.status().response_bytes <= 10_000);
        last = ticket;
    }
    let repeat = send(&mut gate, 1, 51, call(51, "a", last, "x", 100));
    assert_eq!(replies(&repeat), [(51, response(&"y".repeat(900)))]);
    for _ in 0..50 {
        issue_ticket(&mut gate, 1, "a");
    }
    let call = TicketCall {
        team: team("a"),
        service: service(),
        count: 16,
    };
    let full = gate.step(Millis(2), GateInput::Tickets { token: 0, call });
    let expected = GateOutput::Tickets {
        token: 0,
        reply: Err(NotRun::QueueFull),
    };
    assert_eq!(full.as_slice(), [expected]);
}

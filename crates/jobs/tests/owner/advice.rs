//! Queues whose steps need a ticket for each worker.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    Advice, AdviceReply, EndKind, JobId, JobState, Order, Refusal, Report, RunId, StepId,
};

use crate::advice_queues::{self, ticket_rule};
use crate::support::{Fleet, JOB, complete_report, ends_report, job, run_end, step, worker};

const STEP: StepId = StepId {
    job: JOB,
    occurrence: 0,
    step: 0,
};

/// Returns a fleet of workers with sessions from 1 whose queue needs tickets.
fn fleet(workers: u64) -> Fleet {
    advice_queues::fleet(workers, None).0
}

/// Replies to the advice request with tickets for these workers.
fn respond(fleet: &mut Fleet, tickets: &[&str], valid_for: u64) {
    let tickets = tickets
        .iter()
        .map(|id| (Arc::from(*id), format!("t-{id}").into()));
    let advice = Advice {
        tickets: tickets.collect(),
        valid_for: Millis(valid_for),
    };
    fleet.reply_advice(STEP, AdviceReply::Answered(advice));
}

/// Removes all orders of a session and returns the starts as (run, ticket).
fn take_starts(fleet: &mut Fleet, session: u64) -> Vec<(RunId, Option<Arc<str>>)> {
    let orders = fleet.orders.remove(&session).unwrap_or_default();
    let start = |order| match order {
        Order::Start(start) => Some((start.run, start.ticket)),
        Order::Stop(_) | Order::Pace(..) | Order::Canary(_) => None,
    };
    orders.into_iter().filter_map(start).collect()
}

/// Guards against starts without a ticket, which workers refuse, and against starts on ineligible
/// workers.
#[test]
fn tasks_start_with_tickets_on_eligible_workers() {
    let mut fleet = fleet(3);
    fleet.submit(JOB, ticket_rule(), job(vec![step(4, &[])]));
    fleet.advance(100, &[1, 2, 3]);
    let call = fleet.advice_calls.pop().unwrap();
    assert_eq!((call.step, call.workers.len()), (STEP, 3));
    assert!(fleet.orders.is_empty());
    respond(&mut fleet, &["i-2"], 3_000);
    assert!(take_starts(&mut fleet, 1).is_empty() && take_starts(&mut fleet, 3).is_empty());
    let started = take_starts(&mut fleet, 2);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(_, t)| t.as_deref() == Some("t-i-2")));
    assert!(fleet.advice_calls.is_empty());
}

/// Guards against repeating an advice request in each tick while one is in flight, and against
/// waiting indefinitely if it fails.
#[test]
fn failed_advice_request_is_repeated() {
    let mut fleet = fleet(1);
    fleet.submit(JOB, ticket_rule(), job(vec![step(1, &[])]));
    fleet.advance(1_000, &[1]);
    assert_eq!(fleet.advice_calls.len(), 1);
    fleet.reply_advice(STEP, AdviceReply::Failed);
    assert_eq!(fleet.advice_calls.len(), 1);
    fleet.advance(400, &[1]);
    assert_eq!(fleet.advice_calls.len(), 2);
}

/// Guards against using an expired ticket, and against requesting advice again on ineligible
/// workers.
#[test]
fn expired_ticket_is_replaced() {
    let mut fleet = fleet(2);
    fleet.submit(JOB, ticket_rule(), job(vec![step(1, &[])]));
    fleet.advance(100, &[1, 2]);
    fleet.advice_calls.clear();
    respond(&mut fleet, &["i-1"], 1_000);
    let run = take_starts(&mut fleet, 1)[0].0;
    fleet.advance(1_500, &[1, 2]);
    fleet.report(1, ends_report(vec![run_end(1, run, EndKind::Failed)]));
    fleet.advance(400, &[1, 2]);
    assert!(take_starts(&mut fleet, 1).is_empty());
    let call = fleet.advice_calls.pop().unwrap();
    assert_eq!(call.workers, [Arc::from("i-1")]);
    respond(&mut fleet, &["i-1"], 1_000);
    assert_eq!(take_starts(&mut fleet, 1).len(), 1);
}

/// Guards against further starts with a ticket that a worker has refused.
#[test]
fn refused_ticket_is_replaced() {
    let mut fleet = fleet(1);
    fleet.submit(JOB, ticket_rule(), job(vec![step(1, &[])]));
    fleet.advance(100, &[1]);
    fleet.advice_calls.clear();
    respond(&mut fleet, &["i-1"], 60_000);
    let run = take_starts(&mut fleet, 1)[0].0;
    let refused = Report {
        refused: vec![(run, Refusal::Ticket)],
        ..Report::default()
    };
    fleet.report(1, refused);
    fleet.advance(400, &[1]);
    assert_eq!(fleet.advice_calls.len(), 1);
    assert!(take_starts(&mut fleet, 1).is_empty());
}

/// Guards against using a ticket for a later incarnation of its worker.
#[test]
fn ticket_is_bound_to_the_workers_incarnation() {
    let mut fleet = fleet(1);
    fleet.submit(JOB, ticket_rule(), job(vec![step(1, &[])]));
    fleet.advance(100, &[1]);
    fleet.advice_calls.clear();
    respond(&mut fleet, &["i-1"], 60_000);
    assert_eq!(take_starts(&mut fleet, 1).len(), 1);
    fleet.connect(2, worker("i-1", 2), complete_report(vec![], vec![]));
    fleet.advance(200, &[2]);
    assert!(take_starts(&mut fleet, 2).is_empty());
    assert_eq!(fleet.advice_calls.len(), 1);
}

/// Guards against advice requests on workers without free capacity, which would be repeated while
/// the fleet is full.
#[test]
fn no_advice_request_on_full_workers() {
    let mut fleet = fleet(1);
    let mut large_step = step(2, &[]);
    large_step.resources.cpu = 16_000;
    fleet.submit(JOB, ticket_rule(), job(vec![large_step]));
    fleet.advance(100, &[1]);
    fleet.advice_calls.clear();
    respond(&mut fleet, &["i-1"], 500);
    fleet.list_started(1);
    assert_eq!(take_starts(&mut fleet, 1).len(), 1);
    fleet.advance(2_000, &[1]);
    assert!(fleet.advice_calls.is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
}

/// Guards against counting the advice request of a job that has ended for longer than the service has
/// it in hand, or than its answer is waited for if it does not come.
#[test]
fn advice_request_of_an_ended_job_counts_until_its_outcome() {
    let mut fleet = fleet(1);
    let step_of = |number: u64| StepId {
        job: JobId(number),
        ..STEP
    };
    let advice = Advice {
        tickets: vec![("i-1".into(), "ticket".into())],
        valid_for: Millis(3_000),
    };
    for (number, reply) in [
        (1, Some(AdviceReply::Failed)),
        (2, Some(AdviceReply::Answered(advice))),
        (3, Some(AdviceReply::Failed)),
        (4, None),
        (5, None),
        (6, None),
    ] {
        let id = JobId(number);
        fleet.submit(id, ticket_rule(), job(vec![step(1, &[])]));
        // Two requests are in flight before the last one, and overdue after 2.5 s.
        let limit = if number < 6 { 100 } else { 2_600 };
        fleet.advance(limit, &[1]);
        assert_eq!(fleet.advice_calls.len(), 1, "job {number}");
        fleet.advice_calls.clear();
        fleet.request(hyssop_jobs::CallerRequest::Cancel(id));
        if let Some(reply) = reply {
            fleet.reply_advice(step_of(number), reply);
        }
    }
}

/// Guards against a job that gets no advice because jobs before it use up all calls: their tickets
/// expire before they can be used.
#[test]
fn job_gets_a_ticket_behind_jobs_whose_tickets_expire() {
    let mut fleet = fleet(1);
    for id in 1..=4 {
        fleet.submit(JobId(id), ticket_rule(), job(vec![step(1, &[])]));
    }
    fleet.submit(JOB, ticket_rule(), job(vec![step(1, &[])]));
    // Callers may see nothing of a job running for 3 s.
    let end = fleet.now + 3_000;
    let mut started = Vec::new();
    while started.is_empty() && fleet.now < end {
        for call in std::mem::take(&mut fleet.advice_calls) {
            let valid_for = if call.step == STEP { 3_000 } else { 100 };
            let advice = Advice {
                tickets: vec![("i-1".into(), "ticket".into())],
                valid_for: Millis(valid_for),
            };
            fleet.reply_advice(call.step, AdviceReply::Answered(advice));
        }
        fleet.advance(100, &[1]);
        started = take_starts(&mut fleet, 1);
    }
    assert!(started.iter().any(|(run, _)| run.task.job == JOB));
}

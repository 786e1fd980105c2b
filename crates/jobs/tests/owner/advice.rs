//! Queues whose steps may run only where a service of the platform says.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    Advice, EndKind, Input, JobState, Order, Policy, QueueRule, Refusal, Report, RunId, StepId,
};

use crate::support::{Fleet, JOB, complete, end, ends, job, rule, step, worker};

const STEP: StepId = StepId {
    job: JOB,
    occurrence: 0,
    step: 0,
};

fn advised() -> QueueRule {
    QueueRule {
        needs_tickets: true,
        ..rule(2)
    }
}

/// Returns a fleet of workers with sessions from 1 whose queue needs advice.
fn fleet(workers: u64) -> Fleet {
    let mut fleet = Fleet::new();
    let mut policy = Policy {
        version: 2,
        ..Policy::default()
    };
    policy.queues.insert("queue".into(), Arc::new(advised()));
    fleet.step(vec![Input::Policy(Arc::new(policy))]);
    for session in 1..=workers {
        let info = worker(&format!("i-{session}"), 1);
        fleet.attach(session, info, complete(vec![], vec![]));
    }
    fleet
}

/// Answers a question with these workers.
fn answer(fleet: &mut Fleet, tickets: &[&str], valid_for: u64) {
    let rows = tickets
        .iter()
        .map(|id| (Arc::from(*id), format!("t-{id}").into()));
    fleet.step(vec![Input::AdviceReply {
        step: STEP,
        advice: Some(Advice {
            tickets: rows.collect(),
            valid_for: Millis(valid_for),
        }),
    }]);
}

/// Takes the starts of a session: run and ticket.
fn starts(fleet: &mut Fleet, session: u64) -> Vec<(RunId, Option<Arc<str>>)> {
    let orders = fleet.orders.remove(&session).unwrap_or_default();
    let start = |order| match order {
        Order::Start(start) => Some((start.run, start.ticket)),
        Order::Stop(_) | Order::Pace(..) => None,
    };
    orders.into_iter().filter_map(start).collect()
}

/// Guards against starts that workers refuse for want of a ticket, and against starts on workers
/// that may not run the step.
#[test]
fn tasks_start_with_tickets_on_the_workers_that_are_named() {
    let mut fleet = fleet(3);
    fleet.submit(JOB, advised(), job(vec![step(4, &[])]));
    fleet.pass(100, &[1, 2, 3]);
    let (asked, workers) = fleet.questions.pop().unwrap();
    assert_eq!((asked, workers.len()), (STEP, 3));
    assert!(fleet.orders.is_empty());
    answer(&mut fleet, &["i-2"], 3_000);
    assert!(starts(&mut fleet, 1).is_empty() && starts(&mut fleet, 3).is_empty());
    let started = starts(&mut fleet, 2);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(_, t)| t.as_deref() == Some("t-i-2")));
    assert!(fleet.questions.is_empty());
}

/// Guards against a question with each tick while one is on its way, and against waiting for good
/// when it is not answered.
#[test]
fn unanswered_question_is_asked_again_after_a_pause() {
    let mut fleet = fleet(1);
    fleet.submit(JOB, advised(), job(vec![step(1, &[])]));
    fleet.pass(1_000, &[1]);
    assert_eq!(fleet.questions.len(), 1);
    fleet.step(vec![Input::AdviceReply {
        step: STEP,
        advice: None,
    }]);
    assert_eq!(fleet.questions.len(), 1);
    fleet.pass(400, &[1]);
    assert_eq!(fleet.questions.len(), 2);
}

/// Guards against the use of a ticket that is no longer valid, and against asking again about
/// workers that may never run the step.
#[test]
fn expired_ticket_is_replaced() {
    let mut fleet = fleet(2);
    fleet.submit(JOB, advised(), job(vec![step(1, &[])]));
    fleet.pass(100, &[1, 2]);
    fleet.questions.clear();
    answer(&mut fleet, &["i-1"], 1_000);
    let run = starts(&mut fleet, 1)[0].0;
    fleet.pass(1_500, &[1, 2]);
    fleet.report(1, ends(vec![end(1, run, EndKind::Failed)]));
    fleet.pass(400, &[1, 2]);
    assert!(starts(&mut fleet, 1).is_empty());
    let (_, workers) = fleet.questions.pop().unwrap();
    assert_eq!(workers, [Arc::from("i-1")]);
    answer(&mut fleet, &["i-1"], 1_000);
    assert_eq!(starts(&mut fleet, 1).len(), 1);
}

/// Guards against starts that go on with a ticket that a worker did not take.
#[test]
fn refused_ticket_is_asked_for_anew() {
    let mut fleet = fleet(1);
    fleet.submit(JOB, advised(), job(vec![step(1, &[])]));
    fleet.pass(100, &[1]);
    fleet.questions.clear();
    answer(&mut fleet, &["i-1"], 60_000);
    let run = starts(&mut fleet, 1)[0].0;
    let refused = Report {
        refused: vec![(run, Refusal::Ticket)],
        ..Report::default()
    };
    fleet.report(1, refused);
    fleet.pass(400, &[1]);
    assert_eq!(fleet.questions.len(), 1);
    assert!(starts(&mut fleet, 1).is_empty());
}

/// Guards against a ticket that is used for a later life of its worker.
#[test]
fn ticket_ends_with_the_life_of_its_worker() {
    let mut fleet = fleet(1);
    fleet.submit(JOB, advised(), job(vec![step(1, &[])]));
    fleet.pass(100, &[1]);
    fleet.questions.clear();
    answer(&mut fleet, &["i-1"], 60_000);
    assert_eq!(starts(&mut fleet, 1).len(), 1);
    fleet.attach(2, worker("i-1", 2), complete(vec![], vec![]));
    fleet.pass(200, &[2]);
    assert!(starts(&mut fleet, 2).is_empty());
    assert_eq!(fleet.questions.len(), 1);
}

/// Guards against questions about workers without room, which would be asked again and again while
/// the fleet is full.
#[test]
fn full_workers_are_not_asked_about() {
    let mut fleet = fleet(1);
    let mut wide = step(2, &[]);
    wide.resources.cpu = 16_000;
    fleet.submit(JOB, advised(), job(vec![wide]));
    fleet.pass(100, &[1]);
    fleet.questions.clear();
    answer(&mut fleet, &["i-1"], 500);
    assert_eq!(starts(&mut fleet, 1).len(), 1);
    fleet.pass(2_000, &[1]);
    assert!(fleet.questions.is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
}

/// Guards against calls that are counted as on their way for good when their job ends first.
#[test]
fn question_of_an_ended_job_makes_way() {
    let mut fleet = fleet(1);
    for number in 1..=5 {
        let id = hyssop_jobs::JobId(number);
        fleet.submit(id, advised(), job(vec![step(1, &[])]));
        fleet.pass(100, &[1]);
        assert_eq!(fleet.questions.len(), 1, "job {number}");
        fleet.questions.clear();
        fleet.ask(hyssop_jobs::CallerRequest::Cancel(id));
    }
}

//! Queues whose steps need tickets, at an advice service that is slow or has many requests.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    AdviceCost, AdviceReply, CallerRequest, Input, JobId, Policy, QueueRule, Resources, StepId,
};

use crate::advisors::Advisor;
use crate::support::{AdviceCall, Fleet, complete_report, job, rule, step, worker};

/// Time for which callers may see nothing of a job running beyond its turn at the service.
const MAX_IDLE_MS: u64 = 3_000;

pub(crate) fn ticket_rule() -> QueueRule {
    QueueRule {
        needs_tickets: true,
        ..rule(2)
    }
}

fn step_of(job: u64) -> StepId {
    StepId {
        job: JobId(job),
        occurrence: 0,
        step: 0,
    }
}

/// Returns a fleet of workers with sessions from 1 whose queue needs tickets, with the times of the
/// service as the operators name them, if they do.
pub(crate) fn fleet(workers: u64, cost: Option<AdviceCost>) -> (Fleet, Vec<u64>) {
    let mut fleet = Fleet::new();
    let mut policy = Policy {
        version: 2,
        ..Policy::default()
    };
    policy
        .queues
        .insert("queue".into(), Arc::new(ticket_rule()));
    policy
        .advice_costs
        .extend(cost.map(|cost| (Arc::from("queue"), cost)));
    fleet.step(vec![Input::Policy(Arc::new(policy))]);
    for session in 1..=workers {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    (fleet, (1..=workers).collect())
}

fn cost(decide_ms: f64, per_worker_ms: f64) -> Option<AdviceCost> {
    Some(AdviceCost {
        decide_ms,
        per_worker_ms,
    })
}

fn submit(fleet: &mut Fleet, jobs: std::ops::RangeInclusive<u64>) {
    for id in jobs {
        fleet.submit(JobId(id), ticket_rule(), job(vec![step(1, &[])]));
    }
}

/// Guards against accepted jobs that never start on an idle fleet, because the request of each is given
/// up before the service, which is busy with those before, answers it.
#[test]
fn jobs_that_come_at_once_start_in_turn_at_a_slow_service() {
    let cases = [
        (400, 100, 3_000, 10, 6),
        // A request about all workers takes longer than the tickets are valid.
        (1_000, 210, 3_000, 10, 6),
        (3_500, 0, 3_000, 10, 4),
        (300, 30, 700, 40, 12),
        (20, 2, 3_000, 40, 60),
    ];
    for (decide_ms, per_worker_ms, valid_ms, workers, jobs) in cases {
        let cost = cost(decide_ms as f64, per_worker_ms as f64);
        let (mut fleet, sessions) = fleet(workers, cost);
        let mut advisor = Advisor::new(decide_ms, per_worker_ms, valid_ms);
        submit(&mut fleet, 1..=jobs);
        let limit = jobs * advisor.time(1) + MAX_IDLE_MS;
        let all = |advisor: &Advisor| advisor.started.len() as u64 == jobs;
        assert!(
            advisor.run_until(&mut fleet, &sessions, limit, all),
            "{decide_ms} ms and {per_worker_ms} ms: {} of {jobs} jobs started",
            advisor.started.len()
        );
        assert_eq!(advisor.refused_starts, 0);
    }
}

/// Guards against answers that are dropped although they are true: the service takes longer than the
/// operators' settings tell, or these tell nothing.
#[test]
fn late_answers_are_used() {
    for cost in [None, cost(20.0, 2.0)] {
        for valid_ms in [3_000, 60_000] {
            let (mut fleet, sessions) = fleet(10, cost);
            let mut advisor = Advisor::new(3_100, 0, valid_ms);
            submit(&mut fleet, 1..=3);
            let all = |advisor: &Advisor| advisor.started.len() == 3;
            // One wait of 2.5 s is over before the first answer.
            let is_done = advisor.run_until(&mut fleet, &sessions, 4 * 3_100 + MAX_IDLE_MS, all);
            assert!(is_done, "{:#?}", fleet.logs);
        }
    }
}

/// Guards against requests that pile up at a service that goes on with those that nobody waits for any
/// more, or that is cut off: each further one delays all behind it.
#[test]
fn few_requests_are_open_at_a_service_that_does_not_answer() {
    let (mut fleet, sessions) = fleet(10, cost(20.0, 2.0));
    let mut advisor = Advisor::new(20, 2, 3_000);
    advisor.is_silent = true;
    submit(&mut fleet, 1..=20);
    assert!(!advisor.run_until(&mut fleet, &sessions, 60_000, |_| false));
    assert!(advisor.most_pending <= 8, "{}", advisor.most_pending);
    assert!(advisor.requested.len() >= 3, "{}", advisor.requested.len());
    // It is asked again soon after it answers.
    advisor.is_silent = false;
    let all = |advisor: &Advisor| advisor.started.len() == 20;
    assert!(advisor.run_until(&mut fleet, &sessions, 30_000, all));
}

/// Guards against requests of cancelled jobs that are no longer counted although the service has them
/// in hand: the jobs that come after wait behind all of them.
#[test]
fn requests_of_cancelled_jobs_count_until_they_are_answered() {
    let (mut fleet, sessions) = fleet(10, cost(1_000.0, 0.0));
    let mut advisor = Advisor::new(1_000, 0, 3_000);
    for id in 1..=20 {
        submit(&mut fleet, id..=id);
        advisor.run_until(&mut fleet, &sessions, 100, |_| false);
        fleet.request(CallerRequest::Cancel(JobId(id)));
    }
    submit(&mut fleet, 21..=21);
    let is_started = |advisor: &Advisor| advisor.started.contains_key(&step_of(21));
    assert!(advisor.run_until(&mut fleet, &sessions, 2_000 + MAX_IDLE_MS, is_started));
    assert!(advisor.most_pending <= 2, "{}", advisor.most_pending);
}

/// Guards against a step that is passed over for ever, because it has asked before and new steps, which
/// have not, come as fast as the service answers.
#[test]
fn step_that_has_to_ask_again_gets_its_turn_among_new_ones() {
    let (mut fleet, sessions) = fleet(12, cost(500.0, 0.0));
    let mut advisor = Advisor::new(500, 0, 3_000);
    // The workers that are asked about first may not run the step.
    let ineligible = (1..=12).map(|number| Arc::from(format!("i-{number}")));
    advisor.ineligible = ineligible.collect();
    submit(&mut fleet, 1..=1);
    advisor.run_until(&mut fleet, &sessions, 700, |_| false);
    advisor.ineligible.clear();
    submit(&mut fleet, 2..=9);
    for (session, id) in [(13, "i-13"), (14, "i-14")] {
        fleet.connect(session, worker(id, 1), complete_report(vec![], vec![]));
    }
    let sessions: Vec<u64> = (1..=14).collect();
    let is_started = |advisor: &Advisor| advisor.started.contains_key(&step_of(1));
    for id in (10..).step_by(4).take(20) {
        submit(&mut fleet, id..=id + 3);
        if advisor.run_until(&mut fleet, &sessions, 800, is_started) {
            return;
        }
    }
    panic!("the first job did not start in 16 s");
}

/// Guards against asking about one worker after the other where most may not run the step.
#[test]
fn more_workers_are_asked_about_when_those_named_may_not_run_the_step() {
    let (mut fleet, sessions) = fleet(30, cost(400.0, 100.0));
    let mut advisor = Advisor::new(400, 100, 3_000);
    let ineligible = (1..=30).filter(|number| *number != 17);
    advisor.ineligible = ineligible.map(|n| Arc::from(format!("i-{n}"))).collect();
    submit(&mut fleet, 1..=1);
    let is_started = |advisor: &Advisor| advisor.started.len() == 1;
    // Twice the time of one request about all workers.
    assert!(advisor.run_until(&mut fleet, &sessions, 6_800, is_started));
    assert!(advisor.requested.len() <= 5, "{}", advisor.requested.len());
}

/// Guards against asking a service that answers quickly more often than once for each step.
#[test]
fn quick_service_is_asked_once_about_all_workers() {
    let (mut fleet, sessions) = fleet(30, cost(20.0, 2.0));
    let mut advisor = Advisor::new(20, 2, 3_000);
    for id in 1..=10 {
        submit(&mut fleet, id..=id);
        advisor.run_until(&mut fleet, &sessions, 300, |_| false);
    }
    assert_eq!((advisor.started.len(), advisor.requested.len()), (10, 10));
    let is_wide = |call: &AdviceCall| call.workers.len() >= 24;
    assert!(advisor.requested.iter().all(is_wide));
}

/// Guards against a tight loop of requests at a service that rejects them because many wait.
#[test]
fn requests_pause_when_the_service_is_overloaded() {
    let (mut fleet, sessions) = fleet(4, cost(20.0, 2.0));
    submit(&mut fleet, 1..=10);
    let mut count = 0;
    for _ in 0..100 {
        fleet.advance(100, &sessions);
        for call in std::mem::take(&mut fleet.advice_calls) {
            count += 1;
            fleet.reply_call(call.call, AdviceReply::Overloaded);
        }
    }
    assert!((4..=20).contains(&count), "{count} requests in 10 s");
    let mut advisor = Advisor::new(20, 2, 3_000);
    let all = |advisor: &Advisor| advisor.started.len() == 10;
    assert!(advisor.run_until(&mut fleet, &sessions, 4_000, all));
}

/// Guards against a gang that never starts because the tickets for its members expire one after the
/// other, each before the last is issued: alone, and in a job of which another task runs, whose steps
/// get shorter requests.
#[test]
fn gang_starts_with_tickets_that_are_valid_for_less_than_two_requests() {
    for has_running_task in [false, true] {
        let (mut fleet, sessions) = fleet(12, cost(800.0, 50.0));
        let mut advisor = Advisor::new(800, 50, 1_000);
        let ineligible = (1..=12).filter(|number| number % 3 == 0);
        advisor.ineligible = ineligible.map(|n| Arc::from(format!("i-{n}"))).collect();
        advisor.lasting.insert(1);
        let mut members = step(6, &[]);
        members.is_gang = true;
        members.resources = Resources {
            cpu: 16_000,
            mem: 100,
            gpu: 0,
        };
        let steps = match has_running_task {
            true => vec![members, step(1, &[])],
            false => vec![members],
        };
        let gang = step_of(1);
        fleet.submit(JobId(1), ticket_rule(), job(steps));
        let is_started = |advisor: &Advisor| advisor.started.contains_key(&gang);
        assert!(
            advisor.run_until(&mut fleet, &sessions, 15_000, is_started),
            "{has_running_task}: {:#?}",
            fleet.logs
        );
    }
}

/// Guards against metrics and log lines that do not show a slow service.
#[test]
fn slow_service_is_shown() {
    let (mut fleet, sessions) = fleet(4, cost(20.0, 2.0));
    let mut advisor = Advisor::new(3_000, 0, 3_000);
    submit(&mut fleet, 1..=3);
    advisor.run_until(&mut fleet, &sessions, 2_900, |_| false);
    let status = fleet.owner.advice_status();
    assert!(status.open_calls >= 1);
    assert!(status.oldest_wait >= Millis(2_800), "{status:?}");
    let is_overdue = |line: &String| line.contains("advice request overdue");
    assert!(fleet.logs.iter().any(is_overdue), "{:?}", fleet.logs);
    advisor.run_until(&mut fleet, &sessions, 500, |_| false);
    let status = fleet.owner.advice_status();
    assert!(status.call_time >= Millis(2_800), "{status:?}");
}

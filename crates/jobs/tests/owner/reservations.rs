//! Capacity that is kept for waiting gangs.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{Input, JobId, Policy, QueueRule, StepSpec, WorkerInfo};

use crate::support::{Fleet, complete_report, job, rule, step, worker};

const SESSIONS: [u64; 3] = [1, 2, 3];
const GANG: JobId = JobId(2);

fn sized(count: u32, cpu: u64, estimate: u64) -> StepSpec {
    let mut sized = step(count, &[]);
    sized.resources.cpu = cpu;
    sized.estimate = Millis(estimate);
    sized
}

/// Returns a gang with one member on each of three workers.
fn gang(cpu: u64) -> StepSpec {
    StepSpec {
        is_gang: true,
        max_per_worker: 1,
        ..sized(3, cpu, 500)
    }
}

fn with_priority(priority: u32) -> QueueRule {
    QueueRule {
        priority,
        ..rule(2)
    }
}

/// Returns a fleet of three workers of a service, one of which runs a long task.
fn fleet(service: &str) -> Fleet {
    let mut fleet = Fleet::new();
    for session in SESSIONS {
        let info = WorkerInfo {
            service: service.into(),
            ..worker(&format!("i-{session}"), 1)
        };
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    fleet
}

/// Starts a task of a minute, which leaves 7 cores of a worker.
fn start_long_task(fleet: &mut Fleet, rule: QueueRule) {
    fleet.submit(JobId(1), rule, job(vec![sized(1, 9_000, 60_000)]));
    fleet.advance(100, &SESSIONS);
    assert_eq!(started(fleet), [JobId(1)]);
}

/// Returns the jobs of the tasks that have started, one for each task.
fn started(fleet: &mut Fleet) -> Vec<JobId> {
    let runs = SESSIONS.map(|session| fleet.take_started(session)).concat();
    let mut jobs: Vec<JobId> = runs.into_iter().map(|run| run.task.job).collect();
    jobs.sort_unstable();
    jobs
}

/// Guards against short tasks that leave kept capacity unused, although they end before the gang can
/// start.
#[test]
fn short_tasks_use_kept_capacity() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    fleet.advance(2_000, &SESSIONS);
    fleet.submit(
        JobId(3),
        with_priority(1),
        job(vec![sized(2, 16_000, 1_000)]),
    );
    fleet.advance(300, &SESSIONS);
    assert_eq!(started(&mut fleet), [JobId(3); 2]);
}

/// Guards against several waiting gangs that together keep all capacity of a service from other
/// jobs.
#[test]
fn one_gang_of_a_service_keeps_capacity() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    fleet.submit(JobId(3), rule(2), job(vec![gang(7_500)]));
    fleet.advance(2_000, &SESSIONS);
    assert!(started(&mut fleet).is_empty());
    fleet.submit(
        JobId(4),
        with_priority(1),
        job(vec![sized(2, 5_000, 60_000)]),
    );
    fleet.advance(300, &SESSIONS);
    assert_eq!(started(&mut fleet), [JobId(4); 2]);
}

/// Guards against a failed search of a long task, which may not use kept capacity, that answers for
/// a short one, which may.
#[test]
fn long_task_without_kept_capacity_does_not_answer_for_a_short_one() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    fleet.advance(2_000, &SESSIONS);
    fleet.submit(
        JobId(3),
        with_priority(1),
        job(vec![sized(1, 8_000, 60_000)]),
    );
    fleet.submit(
        JobId(4),
        with_priority(2),
        job(vec![sized(1, 8_000, 1_000)]),
    );
    fleet.advance(300, &SESSIONS);
    assert_eq!(started(&mut fleet), [JobId(4)]);
}

/// Guards against a failed search of a long task that answers for a service task, which may use
/// kept capacity.
#[test]
fn long_task_without_kept_capacity_does_not_answer_for_a_service_task() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    fleet.advance(2_000, &SESSIONS);
    fleet.submit(
        JobId(3),
        with_priority(1),
        job(vec![sized(1, 8_000, 60_000)]),
    );
    let mut service = sized(1, 8_000, 0);
    service.is_service = true;
    fleet.submit(JobId(4), with_priority(2), job(vec![service]));
    fleet.advance(300, &SESSIONS);
    assert!(started(&mut fleet).contains(&JobId(4)));
}

/// Returns rules with one queue, whose workers are those of this service.
fn one_queue(version: u64, service: &str) -> (QueueRule, Input) {
    let rule = QueueRule {
        service: service.into(),
        ..rule(2)
    };
    let queues = [(Arc::clone(&rule.name), Arc::new(rule.clone()))];
    let policy = Policy {
        version,
        queues: BTreeMap::from(queues),
        ..Policy::default()
    };
    (rule, Input::Policy(Arc::new(policy)))
}

/// Guards against a gang of a moved queue that keeps capacity of one service in the name of another,
/// so that failed searches of long tasks answer for short ones there.
#[test]
fn gang_of_a_moved_queue_keeps_capacity_of_the_service_in_force() {
    let mut fleet = fleet("other");
    let (current, policy) = one_queue(2, "other");
    fleet.step(vec![policy]);
    start_long_task(&mut fleet, current.clone());
    let (former, policy) = one_queue(3, "planner");
    fleet.step(vec![policy]);
    fleet.submit(GANG, former, job(vec![gang(9_000)]));
    let (_, policy) = one_queue(4, "other");
    fleet.step(vec![policy]);
    fleet.advance(2_000, &SESSIONS);
    for (id, priority, estimate) in [(3, 1, 60_000), (4, 2, 1_000)] {
        let rule = QueueRule {
            priority,
            ..current.clone()
        };
        fleet.submit(JobId(id), rule, job(vec![sized(1, 8_000, estimate)]));
    }
    fleet.advance(300, &SESSIONS);
    assert_eq!(started(&mut fleet), [JobId(4)]);
}

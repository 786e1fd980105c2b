//! Capacity that is kept for waiting gangs.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, Input, JobId, Policy, QueueRule, RunId, StepSpec, WorkerInfo};

use crate::support::{Fleet, complete_report, ends_report, job, rule, run_end, step, worker};

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
    start_first_task(fleet, rule, 60_000);
}

/// Starts a task that leaves 7 cores of a worker. Returns its session and run.
fn start_first_task(fleet: &mut Fleet, rule: QueueRule, estimate: u64) -> (u64, RunId) {
    fleet.submit(JobId(1), rule, job(vec![sized(1, 9_000, estimate)]));
    fleet.advance(100, &SESSIONS);
    let runs = SESSIONS.map(|session| (session, fleet.take_started(session)));
    let mut runs = runs.into_iter().filter(|(_, runs)| !runs.is_empty());
    let (session, started) = runs.next().expect("no worker has started the task");
    assert!(started.len() == 1 && runs.next().is_none());
    (session, started[0])
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

/// Guards against an idle job that waits for longer than callers may see nothing of it running,
/// whenever it is submitted while a gang waits for a long task.
#[test]
fn idle_job_uses_kept_capacity_in_time() {
    for delay in 0..30 {
        let mut fleet = fleet("planner");
        start_long_task(&mut fleet, rule(2));
        fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
        fleet.advance(1_500 + delay * 100, &SESSIONS);
        let long = sized(1, 8_000, 60_000);
        fleet.submit(JobId(3), with_priority(1), job(vec![long]));
        fleet.advance(2_500, &SESSIONS);
        assert_eq!(started(&mut fleet), [JobId(3)], "after {delay} x 100 ms");
    }
}

/// Guards against an idle gang that waits for as long as another one keeps the capacity for it.
#[test]
fn idle_gang_uses_kept_capacity_in_time() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    fleet.advance(2_000, &SESSIONS);
    let mut other = gang(6_000);
    other.max_per_worker = 0;
    other.estimate = Millis(60_000);
    fleet.submit(JobId(3), with_priority(1), job(vec![other]));
    fleet.advance(2_500, &SESSIONS);
    assert_eq!(started(&mut fleet), [JobId(3); 3]);
}

/// Guards against kept capacity that goes to all tasks of a job instead of one, and to jobs that
/// have something running.
#[test]
fn idle_job_uses_kept_capacity_for_one_task() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    fleet.advance(2_000, &SESSIONS);
    let long = sized(2, 8_000, 60_000);
    fleet.submit(JobId(3), with_priority(1), job(vec![long]));
    let mut count = 0;
    for _ in 0..25 {
        fleet.advance(100, &SESSIONS);
        count += started(&mut fleet).len();
        if count > 0 {
            break;
        }
    }
    assert_eq!(count, 1);
}

/// Guards against a job with something running, which may not use kept capacity, that answers for an
/// idle one, which may.
#[test]
fn running_job_without_kept_capacity_does_not_answer_for_an_idle_one() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    fleet.advance(2_000, &SESSIONS);
    for (id, count) in [(3, 2), (4, 1)] {
        let long = sized(count, 8_000, 60_000);
        fleet.submit(JobId(id), with_priority(id as u32), job(vec![long]));
    }
    fleet.advance(2_500, &SESSIONS);
    let started = started(&mut fleet);
    assert!(
        started.contains(&JobId(3)) && started.contains(&JobId(4)),
        "{started:?}"
    );
}

/// Guards against idle jobs that use all kept capacity at once: with 60% of the service reserved,
/// they wait for the gang as others do.
#[test]
fn idle_jobs_use_kept_capacity_while_there_is_spare_capacity() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    fleet.advance(2_000, &SESSIONS);
    for id in 3..13 {
        let long = sized(1, 4_000, 60_000);
        fleet.submit(JobId(id), with_priority(1), job(vec![long]));
    }
    fleet.advance(2_500, &SESSIONS);
    // 9 of 48 cores were reserved. Each task adds 4 while less than 28.8 are.
    assert_eq!(started(&mut fleet).len(), 5);
}

/// Guards against idle jobs that get the capacity for which a gang has waited while there was none
/// to spare: the time for which it is kept begins when there is some.
#[test]
fn gang_gets_capacity_that_becomes_free_after_a_long_wait() {
    let mut fleet = fleet("planner");
    fleet.submit(JobId(1), rule(2), job(vec![sized(3, 16_000, 60_000)]));
    fleet.advance(100, &SESSIONS);
    let runs = SESSIONS.map(|session| fleet.take_started(session)[0]);
    fleet.submit(GANG, rule(2), job(vec![gang(16_000)]));
    fleet.submit(
        JobId(3),
        with_priority(1),
        job(vec![sized(1, 16_000, 60_000)]),
    );
    fleet.advance(2_900, &SESSIONS);
    for (session, run) in SESSIONS.into_iter().zip(runs) {
        let end = run_end(1, run, EndKind::Done);
        fleet.report(session, ends_report(vec![end]));
        fleet.advance(300, &SESSIONS);
    }
    assert_eq!(started(&mut fleet), [GANG; 3]);
}

/// Guards against a gang that starves because of idle jobs that arrive one after the other, with
/// less than half of the capacity in use: it starts between two times at which they may start.
#[test]
fn gang_starts_while_idle_jobs_keep_arriving() {
    let mut fleet = fleet("planner");
    // The task takes longer than estimated, so that no other may use what is kept meanwhile.
    let (session, run) = start_first_task(&mut fleet, rule(2), 1_000);
    fleet.submit(GANG, rule(2), job(vec![gang(16_000)]));
    let mut running: Vec<(u64, u64, RunId)> = vec![(session, fleet.now + 5_000, run)];
    let mut end_count = 0;
    for round in 0..100 {
        let small = sized(1, 1_500, 1_000);
        fleet.submit(JobId(100 + round), with_priority(1), job(vec![small]));
        fleet.advance(100, &SESSIONS);
        for session in SESSIONS {
            let runs = fleet.take_started(session);
            if runs.iter().any(|run| run.task.job == GANG) {
                return;
            }
            let end_at = fleet.now + 1_000;
            running.extend(runs.into_iter().map(|run| (session, end_at, run)));
        }
        let now = fleet.now;
        for (session, _, run) in running.extract_if(.., |(_, end_at, _)| *end_at <= now) {
            end_count += 1;
            let end = run_end(end_count, run, EndKind::Done);
            fleet.report(session, ends_report(vec![end]));
        }
    }
    panic!("the gang has not started within 5 s after the task that it waited for");
}

/// Guards against new jobs that use kept capacity at once in a time for which it is yielded, so that
/// a gang has to wait for all of them.
#[test]
fn new_job_does_not_use_kept_capacity() {
    let mut fleet = fleet("planner");
    start_long_task(&mut fleet, rule(2));
    fleet.submit(GANG, rule(2), job(vec![gang(9_000)]));
    // Capacity is kept from 1.5 s on, and yielded from 2.7 s to 3.9 s.
    fleet.advance(3_000, &SESSIONS);
    let long = sized(1, 8_000, 60_000);
    fleet.submit(JobId(3), with_priority(1), job(vec![long]));
    fleet.advance(500, &SESSIONS);
    assert!(started(&mut fleet).is_empty());
}

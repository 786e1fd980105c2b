//! Preemption of less urgent runs.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, JobId, QueueRule, Resources, RunId, RunStatus, StepSpec, TAKEOVER_WAIT,
};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

const URGENT: JobId = JobId(0xbb);

/// Returns rules of a queue with a lower priority than that of [`rule`].
fn low_priority_rule() -> QueueRule {
    QueueRule {
        priority: 2,
        stretch: 20.0,
        ..rule(2)
    }
}

/// Returns a step of tasks that request 4 of a worker's 16 cores each.
fn large_step(count: u32) -> StepSpec {
    StepSpec {
        resources: Resources {
            cpu: 4_000,
            mem: 100,
            gpu: 0,
        },
        estimate: Millis(2_000),
        has_checkpoints: true,
        ..step(count, &[])
    }
}

/// Returns a fleet whose only worker is fully allocated to low-priority runs, and these runs.
fn full_fleet(spec: StepSpec) -> (Fleet, Vec<RunId>) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, low_priority_rule(), job(vec![spec]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 4);
    (fleet, runs)
}

fn report(fleet: &mut Fleet, statuses: Vec<RunStatus>) {
    let report = hyssop_jobs::Report {
        running: Some(statuses),
        ..hyssop_jobs::Report::default()
    };
    fleet.report(1, report);
}

/// Guards against urgent tasks that wait for less urgent ones to end, against more stops than
/// necessary, and against further stops while the first ones are in progress.
#[test]
fn urgent_tasks_preempt_as_few_runs_as_needed() {
    let (mut fleet, runs) = full_fleet(large_step(4));
    let statuses: Vec<RunStatus> = runs
        .iter()
        .zip([90, 10, 60, 30])
        .map(|(&run, percent_done)| RunStatus {
            percent_done,
            ..run_status(run)
        })
        .collect();
    report(&mut fleet, statuses);
    fleet.submit(URGENT, rule(2), job(vec![step(3, &[])]));
    fleet.step(vec![]);
    assert!(
        fleet.take_stopped(1).is_empty(),
        "capacity may become free by itself"
    );
    fleet.advance(1_000, &[1]);
    let stopped = fleet.take_stopped(1);
    assert_eq!(stopped, [runs[1]], "the run with the least loss");
    fleet.report(1, ends_report(vec![run_end(1, runs[1], EndKind::Stopped)]));
    fleet.step(vec![]);
    let started = fleet.take_started(1);
    assert_eq!(started.len(), 3);
    assert!(started.iter().all(|run| run.task.job == URGENT));
}

/// Guards against lost work for tasks of equal priority.
#[test]
fn tasks_of_equal_priority_wait() {
    let (mut fleet, _) = full_fleet(large_step(4));
    fleet.submit(URGENT, low_priority_rule(), job(vec![step(3, &[])]));
    fleet.advance(2_000, &[1]);
    assert!(fleet.take_stopped(1).is_empty());
}

/// Guards against preempting service tasks.
#[test]
fn service_tasks_are_not_preempted() {
    let service_step = StepSpec {
        is_service: true,
        ..large_step(4)
    };
    let (mut fleet, _) = full_fleet(service_step);
    fleet.submit(URGENT, rule(2), job(vec![step(3, &[])]));
    fleet.advance(1_000, &[1]);
    assert!(fleet.take_stopped(1).is_empty());
}

/// Guards against preemption for a task that may not use the freed capacity, because it is reserved
/// for a gang.
#[test]
fn no_preemption_for_capacity_reserved_for_a_gang() {
    let (mut fleet, _) = full_fleet(large_step(4));
    let member = StepSpec {
        resources: worker("i-1", 1).capacity,
        estimate: Millis(100),
        is_gang: true,
        ..step(1, &[])
    };
    let gang_rule = QueueRule {
        margin_ms: 5_000,
        ..rule(2)
    };
    fleet.submit(JobId(0xcc), gang_rule, job(vec![member]));
    fleet.advance(2_500, &[1]);
    // This job has a later deadline than the gang but must start earlier.
    let long = StepSpec {
        estimate: Millis(2_000),
        ..step(3, &[])
    };
    fleet.submit(URGENT, rule(2), job(vec![long]));
    fleet.advance(1_500, &[1]);
    assert!(fleet.take_stopped(1).is_empty());
}

/// Guards against lost work for a job that is too late to be useful.
#[test]
fn no_preemption_for_expired_jobs() {
    let (mut fleet, runs) = full_fleet(large_step(4));
    let rule = QueueRule {
        margin_ms: 0,
        stretch: 0.01,
        ..rule(2)
    };
    fleet.submit(URGENT, rule, job(vec![step(3, &[])]));
    fleet.advance(1_000, &[1]);
    assert!(fleet.take_stopped(1).is_empty(), "{runs:?}");
}

/// Guards against a task that never completes because it is preempted again and again.
#[test]
fn preemptions_of_a_task_are_limited() {
    let one = StepSpec {
        resources: Resources {
            cpu: 16_000,
            mem: 100,
            gpu: 0,
        },
        ..large_step(1)
    };
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, low_priority_rule(), job(vec![one]));
    fleet.step(vec![]);
    let (mut stops, mut number) = (0, 0);
    for round in 0..6_u64 {
        let runs = fleet.take_started(1);
        let [run] = runs[..] else {
            panic!("{runs:?}");
        };
        fleet.submit(JobId(0x100 + round), rule(2), job(vec![step(1, &[])]));
        fleet.advance(500, &[1]);
        let stopped = fleet.take_stopped(1);
        if stopped.is_empty() {
            break;
        }
        assert_eq!(stopped, [run]);
        stops += 1;
        number += 1;
        let checkpoint = Some(Arc::from("half"));
        fleet.report(
            1,
            ends_report(vec![hyssop_jobs::RunEnd {
                checkpoint,
                ..run_end(number, run, EndKind::Stopped)
            }]),
        );
        fleet.step(vec![]);
        let urgent = fleet.take_started(1);
        assert_eq!(urgent.len(), 1);
        number += 1;
        fleet.report(
            1,
            ends_report(vec![run_end(number, urgent[0], EndKind::Done)]),
        );
        fleet.step(vec![]);
    }
    assert_eq!(stops, 3);
}

/// Guards against preemption right after a takeover: the time for which a job waited for the workers
/// of an earlier owner is no lack of capacity.
#[test]
fn wait_for_a_takeover_is_no_reason_to_preempt() {
    let (mut old, runs) = full_fleet(large_step(4));
    old.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    let patient = QueueRule {
        stretch: 60.0,
        ..rule(2)
    };
    old.submit(URGENT, patient, job(vec![large_step(1)]));
    let mut new = old.successor(50);
    let statuses = runs.iter().map(|&run| RunStatus {
        percent_done: 10,
        ..run_status(run)
    });
    new.connect(
        11,
        worker("i-1", 1),
        complete_report(statuses.collect(), vec![]),
    );
    new.advance(TAKEOVER_WAIT.0 - 500, &[11]);
    assert!(new.take_stopped(11).is_empty());
    // The second worker is given up, so that inherited jobs start.
    new.advance(2_000, &[11]);
    assert!(new.take_stopped(11).is_empty());
}

//! Preemption of less urgent runs.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, JobId, QueueRule, Resources, RunId, RunStatus, StepSpec};

use crate::support::{Fleet, JOB, complete, end, ends, job, row, rule, step, worker};

const URGENT: JobId = JobId(0xbb);

/// Returns the rules of a queue that gives way to that of [`rule`].
fn later_rule() -> QueueRule {
    QueueRule {
        priority: 2,
        stretch: 20.0,
        ..rule(2)
    }
}

/// Returns tasks that take four cores of a worker's 16 each.
fn wide(count: u32) -> StepSpec {
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

/// Returns a fleet whose only worker is full of tasks of the later queue, and their runs.
fn full(spec: StepSpec) -> (Fleet, Vec<RunId>) {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, later_rule(), job(vec![spec]));
    fleet.step(vec![]);
    let runs = fleet.started(1);
    assert_eq!(runs.len(), 4);
    (fleet, runs)
}

fn report(fleet: &mut Fleet, rows: Vec<RunStatus>) {
    let report = hyssop_jobs::Report {
        running: Some(rows),
        ..hyssop_jobs::Report::default()
    };
    fleet.report(1, report);
}

/// Guards against urgent tasks that wait until less urgent ones end, against more stops than the room
/// needs, and against stops that are repeated while the first ones are on their way.
#[test]
fn urgent_tasks_take_the_room_that_they_need() {
    let (mut fleet, runs) = full(wide(4));
    let rows: Vec<RunStatus> = runs
        .iter()
        .zip([90, 10, 60, 30])
        .map(|(&run, percent_done)| RunStatus {
            percent_done,
            ..row(run)
        })
        .collect();
    report(&mut fleet, rows);
    fleet.submit(URGENT, rule(2), job(vec![step(3, &[])]));
    fleet.step(vec![]);
    assert!(
        fleet.stopped(1).is_empty(),
        "room may become free by itself"
    );
    fleet.pass(1_000, &[1]);
    let stopped = fleet.stopped(1);
    assert_eq!(stopped, [runs[1]], "one with the least loss");
    fleet.report(1, ends(vec![end(1, runs[1], EndKind::Stopped)]));
    fleet.step(vec![]);
    let started = fleet.started(1);
    assert_eq!(started.len(), 3);
    assert!(started.iter().all(|run| run.task.job == URGENT));
}

/// Guards against work that is thrown away for tasks that are not more urgent.
#[test]
fn equals_wait() {
    let (mut fleet, _) = full(wide(4));
    fleet.submit(URGENT, later_rule(), job(vec![step(3, &[])]));
    fleet.pass(2_000, &[1]);
    assert!(fleet.stopped(1).is_empty());
}

/// Guards against standing tasks that are stopped for short ones.
#[test]
fn standing_tasks_are_not_stopped() {
    let standing = StepSpec {
        is_service: true,
        ..wide(4)
    };
    let (mut fleet, _) = full(standing);
    fleet.submit(URGENT, rule(2), job(vec![step(3, &[])]));
    fleet.pass(1_000, &[1]);
    assert!(fleet.stopped(1).is_empty());
}

/// Guards against stops for a task that may not use the room which they free, because a gang waits
/// for it.
#[test]
fn room_that_is_kept_for_a_gang_is_not_sought() {
    let (mut fleet, _) = full(wide(4));
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
    fleet.pass(2_500, &[1]);
    // Its deadline is after the gang's, and it has to start before.
    let long = StepSpec {
        estimate: Millis(2_000),
        ..step(3, &[])
    };
    fleet.submit(URGENT, rule(2), job(vec![long]));
    fleet.pass(1_500, &[1]);
    assert!(fleet.stopped(1).is_empty());
}

/// Guards against work that is thrown away for a job that is too late to be of use.
#[test]
fn jobs_past_their_time_wait() {
    let (mut fleet, runs) = full(wide(4));
    let rule = QueueRule {
        margin_ms: 0,
        stretch: 0.01,
        ..rule(2)
    };
    fleet.submit(URGENT, rule, job(vec![step(3, &[])]));
    fleet.pass(1_000, &[1]);
    assert!(fleet.stopped(1).is_empty(), "{runs:?}");
}

/// Guards against a task that never ends because more urgent ones always take its room.
#[test]
fn a_task_is_stopped_a_few_times_only() {
    let one = StepSpec {
        resources: Resources {
            cpu: 16_000,
            mem: 100,
            gpu: 0,
        },
        ..wide(1)
    };
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, later_rule(), job(vec![one]));
    fleet.step(vec![]);
    let (mut stops, mut number) = (0, 0);
    for round in 0..6_u64 {
        let runs = fleet.started(1);
        let [run] = runs[..] else {
            panic!("{runs:?}");
        };
        fleet.submit(JobId(0x100 + round), rule(2), job(vec![step(1, &[])]));
        fleet.pass(500, &[1]);
        let stopped = fleet.stopped(1);
        if stopped.is_empty() {
            break;
        }
        assert_eq!(stopped, [run]);
        stops += 1;
        number += 1;
        let checkpoint = Some(Arc::from("half"));
        fleet.report(
            1,
            ends(vec![hyssop_jobs::RunEnd {
                checkpoint,
                ..end(number, run, EndKind::Stopped)
            }]),
        );
        fleet.step(vec![]);
        let urgent = fleet.started(1);
        assert_eq!(urgent.len(), 1);
        number += 1;
        fleet.report(1, ends(vec![end(number, urgent[0], EndKind::Done)]));
        fleet.step(vec![]);
    }
    assert_eq!(stops, 3);
}

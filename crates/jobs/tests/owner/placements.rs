//! Choice of workers, and interference between tasks.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, Input, JobId, Order, Policy, Report, Resources, RunId, RunStatus, StepSpec,
    WorkerState,
};

use crate::support::{Fleet, JOB, complete_report, job, rule, run_end, run_status, step, worker};

fn best_effort(count: u32) -> StepSpec {
    let mut step = step(count, &[]);
    step.is_best_effort = true;
    step.resources.cpu = 1_000;
    step
}

fn latency_critical(count: u32) -> StepSpec {
    let mut step = step(count, &[]);
    step.is_service = true;
    step.latency_target = Some(Millis(50));
    step.image = Some("planner".into());
    step
}

/// Guards against a worker that is allocated more than its capacity.
#[test]
fn worker_capacity_is_not_exceeded() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut large = step(5, &[]);
    large.resources = Resources {
        cpu: 4_000,
        mem: 1_000,
        gpu: 0,
    };
    fleet.submit(JOB, rule(2), job(vec![large]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 4);
}

/// Guards against ignoring a step's limit of tasks per worker.
#[test]
fn step_limit_per_worker_is_respected() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    let mut spread = step(3, &[]);
    spread.max_per_worker = 1;
    fleet.submit(JOB, rule(2), job(vec![spread]));
    fleet.step(vec![]);
    assert_eq!(
        (fleet.take_started(1).len(), fleet.take_started(2).len()),
        (1, 1)
    );
}

/// Guards against starts on workers that do not match the step.
#[test]
fn worker_requirements_are_respected() {
    let mut fleet = Fleet::new();
    let mut draining = worker("i-1", 1);
    draining.state = WorkerState::Draining;
    let mut other = worker("i-2", 1);
    other.service = "other".into();
    let mut plain = worker("i-3", 1);
    plain.labels.clear();
    let mut other_domain = worker("i-4", 1);
    other_domain.domain = "forde".into();
    for (session, info) in (1..).zip([draining, other, plain, other_domain]) {
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    let mut policy = Policy {
        version: 2,
        ..Policy::default()
    };
    policy.queues.insert("queue".into(), Arc::new(rule(2)));
    policy.closed_domains.insert("forde".into());
    fleet.step(vec![Input::Policy(Arc::new(policy.clone()))]);
    let mut labelled = step(1, &[]);
    labelled.label = Some("a".into());
    fleet.submit(JOB, rule(2), job(vec![labelled]));
    fleet.step(vec![]);
    for session in 1..=4 {
        assert!(fleet.take_started(session).is_empty(), "session {session}");
    }
    policy.closed_domains.clear();
    fleet.step(vec![Input::Policy(Arc::new(policy))]);
    assert_eq!(fleet.take_started(4).len(), 1);
}

/// Guards against interference: best-effort tasks start on other workers while those have free
/// capacity.
#[test]
fn best_effort_tasks_avoid_latency_critical_ones() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![latency_critical(2), best_effort(8)]));
    fleet.step(vec![]);
    let (first, second) = (fleet.take_started(1), fleet.take_started(2));
    let (critical_runs, best_effort_runs) = if first.len() == 2 {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!((critical_runs.len(), best_effort_runs.len()), (2, 8));
}

/// Guards against interference that lasts: if a latency-critical task exceeds its target, a
/// best-effort task with checkpoints beside it is stopped, and one without is throttled until the
/// latency has fallen.
#[test]
fn best_effort_tasks_are_throttled_above_the_target() {
    for checkpoints in [true, false] {
        let mut fleet = Fleet::new();
        fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
        let mut best_effort_spec = best_effort(1);
        best_effort_spec.image = Some("heavy".into());
        best_effort_spec.has_checkpoints = checkpoints;
        fleet.submit(JOB, rule(2), job(vec![best_effort_spec]));
        fleet.submit(JobId(1), rule(2), job(vec![latency_critical(1)]));
        fleet.step(vec![]);
        let runs = fleet.take_started(1);
        assert_eq!(runs.len(), 2);
        assert_eq!(report_both(&mut fleet, &runs, 20), None);
        let slowed = report_both(&mut fleet, &runs, 60);
        if checkpoints {
            assert_eq!(slowed, Some(Order::Stop(runs[0])));
            continue;
        }
        assert!(
            matches!(slowed, Some(Order::Pace(run, 1..100)) if run == runs[0]),
            "{slowed:?}"
        );
        let again = report_both(&mut fleet, &runs, 60);
        assert!(matches!(again, Some(Order::Pace(_, 1..50))), "{again:?}");
        let raised = report_both(&mut fleet, &runs, 20);
        assert!(
            matches!(raised, Some(Order::Pace(_, 26..=100))),
            "{raised:?}"
        );
    }
}

/// Reports a best-effort run and a latency-critical one with this tail latency on one worker.
/// Returns the order for the best-effort run.
fn report_both(fleet: &mut Fleet, runs: &[RunId], latency: u64) -> Option<Order> {
    let critical_status = RunStatus {
        measurement: latency,
        ..run_status(runs[1])
    };
    let best_effort_status = RunStatus {
        measurement: 1_000,
        percent_done: 10,
        ..run_status(runs[0])
    };
    let running = Some(vec![best_effort_status, critical_status]);
    fleet.report(
        1,
        Report {
            running,
            ..Report::default()
        },
    );
    let orders = fleet.orders.remove(&1).unwrap_or_default();
    orders
        .into_iter()
        .find(|order| order.task() == runs[0].task)
}

/// Reports a latency-critical run with this tail latency, alone on its worker.
fn report_critical(fleet: &mut Fleet, run: RunId, latency: u64) {
    let critical_status = RunStatus {
        measurement: latency,
        ..run_status(run)
    };
    fleet.report(
        1,
        Report {
            running: Some(vec![critical_status]),
            ..Report::default()
        },
    );
}

/// Guards against repeated interference: an image that has slowed a latency-critical image no
/// longer starts beside it, while an image without known interference may.
#[test]
fn interfering_image_is_placed_elsewhere() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JobId(2), rule(2), job(vec![latency_critical(1)]));
    fleet.step(vec![]);
    let critical_run = fleet.take_started(1)[0];
    for _ in 0..3 {
        fleet.advance(400, &[1]);
        report_critical(&mut fleet, critical_run, 15);
    }
    let mut best_effort_spec = best_effort(1);
    best_effort_spec.image = Some("heavy".into());
    best_effort_spec.has_checkpoints = true;
    fleet.submit(JobId(1), rule(2), job(vec![best_effort_spec.clone()]));
    fleet.step(vec![]);
    let runs = [fleet.take_started(1)[0], critical_run];
    for latency in [20, 90, 120] {
        report_both(&mut fleet, &runs, latency);
    }
    let stopped = run_end(1, runs[0], EndKind::Stopped);
    let running = Some(vec![RunStatus {
        measurement: 15,
        ..run_status(runs[1])
    }]);
    fleet.report(
        1,
        Report {
            running,
            ended: vec![stopped],
            ..Report::default()
        },
    );
    fleet.advance(400, &[1]);
    assert!(fleet.take_started(1).is_empty());
    best_effort_spec.image = Some("light".into());
    fleet.submit(JobId(3), rule(2), job(vec![best_effort_spec]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a job without any running task while most capacity is free: a best-effort task
/// that no latency-critical task tolerates at full speed starts throttled.
#[test]
fn waiting_best_effort_task_starts_throttled() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JobId(2), rule(2), job(vec![latency_critical(1)]));
    fleet.step(vec![]);
    let critical_run = fleet.take_started(1)[0];
    report_critical(&mut fleet, critical_run, 45);
    let mut best_effort_spec = best_effort(1);
    best_effort_spec.image = Some("heavy".into());
    fleet.submit(JobId(1), rule(2), job(vec![best_effort_spec]));
    fleet.step(vec![]);
    assert!(fleet.take_started(1).is_empty());
    fleet.advance(2_500, &[1]);
    let orders = fleet.orders.remove(&1).unwrap_or_default();
    let speeds = orders.iter().filter_map(|order| match order {
        Order::Pace(_, percent) => Some(*percent),
        _ => None,
    });
    assert!(
        orders.iter().any(|order| matches!(order, Order::Start(_))),
        "{orders:?}"
    );
    assert!(speeds.into_iter().all(|percent| percent < 60));
}

/// Guards against attributing the load of a latency-critical job to best-effort tasks: the job's
/// other task shows the same tail latency without any of them, and other jobs of the image a lower
/// one.
#[test]
fn load_of_a_job_is_not_counted_as_interference() {
    let mut fleet = Fleet::new();
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.submit(JobId(1), rule(2), job(vec![latency_critical(3)]));
    fleet.step(vec![]);
    let critical_runs = fleet.take_started(2);
    assert_eq!(critical_runs.len(), 3);
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut spread = latency_critical(2);
    spread.max_per_worker = 1;
    fleet.submit(JobId(2), rule(2), job(vec![spread]));
    fleet.step(vec![]);
    let loaded_runs = [fleet.take_started(1)[0], fleet.take_started(2)[0]];
    let latency = |run: RunId, measurement: u64| RunStatus {
        measurement,
        ..run_status(run)
    };
    let report = |fleet: &mut Fleet, best_effort_runs: &[RunId]| {
        fleet.advance(400, &[1, 2]);
        let mut statuses: Vec<RunStatus> =
            critical_runs.iter().map(|&run| latency(run, 13)).collect();
        statuses.push(latency(loaded_runs[1], 32));
        let mut mixed_statuses = vec![latency(loaded_runs[0], 32)];
        mixed_statuses.extend(best_effort_runs.iter().map(|&run| RunStatus {
            measurement: 1_000,
            percent_done: 10,
            ..run_status(run)
        }));
        for (session, statuses) in [(2, statuses), (1, mixed_statuses)] {
            let running = Some(statuses);
            let report = Report {
                running,
                ..Report::default()
            };
            fleet.report(session, report);
        }
    };
    for _ in 0..8 {
        report(&mut fleet, &[]);
    }
    // Keeps best-effort tasks off the other worker.
    let mut draining = worker("i-2", 1);
    draining.state = WorkerState::Draining;
    fleet.step(vec![Input::WorkerChanged {
        session: 2,
        worker: draining,
    }]);
    let mut best_effort_spec = best_effort(1);
    best_effort_spec.image = Some("light".into());
    best_effort_spec.has_checkpoints = true;
    best_effort_spec.estimate = Millis(60_000);
    fleet.submit(JobId(3), rule(2), job(vec![best_effort_spec.clone()]));
    fleet.step(vec![]);
    let first = fleet.take_started(1);
    assert_eq!(first.len(), 1);
    for _ in 0..8 {
        report(&mut fleet, &first);
    }
    fleet.submit(JobId(4), rule(2), job(vec![best_effort_spec]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against interference that lasts for seconds: best-effort tasks without checkpoints are
/// stopped rather than throttled by half if a latency-critical task is at many times its target.
#[test]
fn best_effort_tasks_are_stopped_far_above_the_target() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JobId(1), rule(2), job(vec![latency_critical(1)]));
    fleet.step(vec![]);
    let critical_run = fleet.take_started(1)[0];
    for _ in 0..4 {
        fleet.advance(400, &[1]);
        report_critical(&mut fleet, critical_run, 13);
    }
    let mut best_effort_spec = best_effort(2);
    best_effort_spec.image = Some("heavy".into());
    fleet.submit(JobId(2), rule(2), job(vec![best_effort_spec]));
    fleet.step(vec![]);
    let best_effort_runs = fleet.take_started(1);
    assert_eq!(best_effort_runs.len(), 2);
    fleet.advance(400, &[1]);
    let mut running = vec![RunStatus {
        measurement: 300,
        ..run_status(critical_run)
    }];
    running.extend(best_effort_runs.iter().map(|&run| RunStatus {
        measurement: 1_000,
        percent_done: 10,
        ..run_status(run)
    }));
    let report = Report {
        running: Some(running),
        ..Report::default()
    };
    fleet.report(1, report);
    let mut stopped = fleet.take_stopped(1);
    stopped.sort_unstable();
    assert_eq!(stopped, best_effort_runs);
}

/// Guards against service tasks that rank below all later jobs once they have run for longer than a
/// job may take to complete.
#[test]
fn service_tasks_of_a_lost_worker_start_first() {
    let full_worker_step = StepSpec {
        resources: worker("i-1", 1).capacity,
        ..step(1, &[])
    };
    let service_step = StepSpec {
        is_service: true,
        ..full_worker_step.clone()
    };
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![service_step]));
    fleet.advance(30_000, &[1]);
    assert_eq!(fleet.take_started(1).len(), 1);
    fleet.submit(JobId(2), rule(2), job(vec![full_worker_step]));
    let lost = Report {
        is_dead: true,
        ..Report::default()
    };
    fleet.report(1, lost);
    fleet.connect(2, worker("i-2", 2), complete_report(vec![], vec![]));
    let started = fleet.take_started(2);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, JOB);
}

/// Guards against a step whose tasks all go to the worker that was best before the first of them was
/// placed: workers are compared once a step, and again only where a task was placed.
#[test]
fn tasks_of_one_step_spread_over_the_workers() {
    let mut fleet = Fleet::new();
    for session in 1..=4 {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    fleet.submit(JOB, rule(2), job(vec![step(12, &[])]));
    fleet.step(vec![]);
    for session in 1..=4 {
        assert_eq!(fleet.take_started(session).len(), 3);
    }
}

/// Guards against a retried task on the worker where it failed, and against a preference of that one
/// task that is applied to the other tasks of its step.
#[test]
fn retried_task_avoids_a_worker_that_others_still_use() {
    let mut fleet = Fleet::new();
    for session in 1..=2 {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    fleet.submit(JOB, rule(9), job(vec![step(8, &[])]));
    fleet.step(vec![]);
    let (first, second) = (fleet.take_started(1), fleet.take_started(2));
    let ends = |runs: &[RunId], kind: EndKind| {
        let ends = (1..).zip(runs);
        ends.map(|(number, &run)| run_end(number, run, kind))
            .collect()
    };
    // One task fails on the first worker; the others of both workers lose their runs.
    let mut failed: Vec<_> = ends(&first, EndKind::Stopped);
    failed[0].kind = EndKind::Failed;
    fleet.report(
        1,
        Report {
            ended: failed,
            ..Report::default()
        },
    );
    let stopped = ends(&second, EndKind::Stopped);
    fleet.report(
        2,
        Report {
            ended: stopped,
            ..Report::default()
        },
    );
    fleet.advance(400, &[1, 2]);
    let on_first = fleet.take_started(1);
    assert!(!on_first.is_empty());
    assert!(on_first.iter().all(|run| run.task != first[0].task));
}

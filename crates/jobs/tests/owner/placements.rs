//! Choice of workers.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, Input, JobId, Order, Policy, Report, Resources, RunId, RunStatus, StepSpec,
    WorkerState,
};

use crate::support::{Fleet, JOB, complete, end, job, row, rule, step, worker};

fn filler(count: u32) -> StepSpec {
    let mut step = step(count, &[]);
    step.is_best_effort = true;
    step.resources.cpu = 1_000;
    step
}

fn serving(count: u32) -> StepSpec {
    let mut step = step(count, &[]);
    step.is_service = true;
    step.latency_target = Some(Millis(50));
    step.image = Some("planner".into());
    step
}

/// Guards against a worker that is promised more than it has.
#[test]
fn worker_gets_no_more_than_it_has() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    let mut large = step(5, &[]);
    large.resources = Resources {
        cpu: 4_000,
        mem: 1_000,
        gpu: 0,
    };
    fleet.submit(JOB, rule(2), job(vec![large]));
    fleet.step(vec![]);
    assert_eq!(fleet.started(1).len(), 4);
}

/// Guards against tasks of one step that share a worker although the step spreads them.
#[test]
fn spread_limits_the_tasks_of_a_step_on_one_worker() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    let mut spread = step(3, &[]);
    spread.max_per_worker = 1;
    fleet.submit(JOB, rule(2), job(vec![spread]));
    fleet.step(vec![]);
    assert_eq!((fleet.started(1).len(), fleet.started(2).len()), (1, 1));
}

/// Guards against starts on workers that may not run the step.
#[test]
fn label_service_state_and_domain_are_respected() {
    let mut fleet = Fleet::new();
    let mut draining = worker("i-1", 1);
    draining.state = WorkerState::Draining;
    let mut other = worker("i-2", 1);
    other.service = "other".into();
    let mut plain = worker("i-3", 1);
    plain.labels.clear();
    let mut away = worker("i-4", 1);
    away.domain = "forde".into();
    for (session, info) in (1..).zip([draining, other, plain, away]) {
        fleet.attach(session, info, complete(vec![], vec![]));
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
        assert!(fleet.started(session).is_empty(), "session {session}");
    }
    policy.closed_domains.clear();
    fleet.step(vec![Input::Policy(Arc::new(policy))]);
    assert_eq!(fleet.started(4).len(), 1);
}

/// Guards against harm to serving tasks: fillers go elsewhere while there is room.
#[test]
fn fillers_keep_away_from_serving_tasks() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![serving(2), filler(8)]));
    fleet.step(vec![]);
    let (first, second) = (fleet.started(1), fleet.started(2));
    let (serves, fills) = if first.len() == 2 {
        (first, second)
    } else {
        (second, first)
    };
    assert_eq!((serves.len(), fills.len()), (2, 8));
}

/// Guards against harm: a filler that keeps checkpoints is stopped when a serving task beside it
/// passes its target, and one that does not is slowed until the serving task is calm again.
#[test]
fn fillers_are_removed_beside_a_tense_serving_task() {
    for checkpoints in [true, false] {
        let mut fleet = Fleet::new();
        fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
        let mut fills = filler(1);
        fills.image = Some("heavy".into());
        fills.has_checkpoints = checkpoints;
        fleet.submit(JOB, rule(2), job(vec![fills]));
        fleet.submit(JobId(1), rule(2), job(vec![serving(1)]));
        fleet.step(vec![]);
        let runs = fleet.started(1);
        assert_eq!(runs.len(), 2);
        assert_eq!(beside(&mut fleet, &runs, 20), None);
        let slowed = beside(&mut fleet, &runs, 60);
        if checkpoints {
            assert_eq!(slowed, Some(Order::Stop(runs[0])));
            continue;
        }
        assert!(
            matches!(slowed, Some(Order::Pace(run, 1..100)) if run == runs[0]),
            "{slowed:?}"
        );
        let again = beside(&mut fleet, &runs, 60);
        assert!(matches!(again, Some(Order::Pace(_, 1..50))), "{again:?}");
        let raised = beside(&mut fleet, &runs, 20);
        assert!(
            matches!(raised, Some(Order::Pace(_, 26..=100))),
            "{raised:?}"
        );
    }
}

/// Reports a filler beside a serving task with this tail latency, and returns the order for the
/// filler.
fn beside(fleet: &mut Fleet, runs: &[RunId], latency: u64) -> Option<Order> {
    let serves = RunStatus {
        measurement: latency,
        ..row(runs[1])
    };
    let fills = RunStatus {
        measurement: 1_000,
        percent_done: 10,
        ..row(runs[0])
    };
    let running = Some(vec![fills, serves]);
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

/// Reports a serving task alone on its worker with this tail latency.
fn serve(fleet: &mut Fleet, run: RunId, latency: u64) {
    let serves = RunStatus {
        measurement: latency,
        ..row(run)
    };
    fleet.report(
        1,
        Report {
            running: Some(vec![serves]),
            ..Report::default()
        },
    );
}

/// Guards against harm that is done again and again: an image that has slowed a serving image starts
/// beside it no more, while another one that has not may.
#[test]
fn image_that_did_harm_goes_elsewhere() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JobId(2), rule(2), job(vec![serving(1)]));
    fleet.step(vec![]);
    let serves = fleet.started(1)[0];
    for _ in 0..3 {
        fleet.pass(400, &[1]);
        serve(&mut fleet, serves, 15);
    }
    let mut fills = filler(1);
    fills.image = Some("heavy".into());
    fills.has_checkpoints = true;
    fleet.submit(JobId(1), rule(2), job(vec![fills.clone()]));
    fleet.step(vec![]);
    let runs = [fleet.started(1)[0], serves];
    for latency in [20, 90, 120] {
        beside(&mut fleet, &runs, latency);
    }
    let stopped = end(1, runs[0], EndKind::Stopped);
    let running = Some(vec![RunStatus {
        measurement: 15,
        ..row(runs[1])
    }]);
    fleet.report(
        1,
        Report {
            running,
            ended: vec![stopped],
            ..Report::default()
        },
    );
    fleet.pass(400, &[1]);
    assert!(fleet.started(1).is_empty());
    fills.image = Some("light".into());
    fleet.submit(JobId(3), rule(2), job(vec![fills]));
    fleet.step(vec![]);
    assert_eq!(fleet.started(1).len(), 1);
}

/// Guards against a job of which nothing runs for seconds while most of the room is free: a filler
/// that no serving task bears at full speed starts slowed.
#[test]
fn filler_without_a_place_starts_slowed() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JobId(2), rule(2), job(vec![serving(1)]));
    fleet.step(vec![]);
    let serves = fleet.started(1)[0];
    serve(&mut fleet, serves, 45);
    let mut fills = filler(1);
    fills.image = Some("heavy".into());
    fleet.submit(JobId(1), rule(2), job(vec![fills]));
    fleet.step(vec![]);
    assert!(fleet.started(1).is_empty());
    fleet.pass(2_500, &[1]);
    let orders = fleet.orders.remove(&1).unwrap_or_default();
    let paces = orders.iter().filter_map(|order| match order {
        Order::Pace(_, percent) => Some(*percent),
        _ => None,
    });
    assert!(
        orders.iter().any(|order| matches!(order, Order::Start(_))),
        "{orders:?}"
    );
    assert!(paces.into_iter().all(|percent| percent < 60));
}

/// Guards against the load of a serving job that is taken for the effect of the fillers beside it:
/// its other task shows the same tail latency without any, and other jobs of its image show less.
#[test]
fn load_of_a_serving_job_is_not_laid_on_its_fillers() {
    let mut fleet = Fleet::new();
    fleet.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    fleet.submit(JobId(1), rule(2), job(vec![serving(3)]));
    fleet.step(vec![]);
    let quiet = fleet.started(2);
    assert_eq!(quiet.len(), 3);
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    let mut spread = serving(2);
    spread.max_per_worker = 1;
    fleet.submit(JobId(2), rule(2), job(vec![spread]));
    fleet.step(vec![]);
    let busy = [fleet.started(1)[0], fleet.started(2)[0]];
    let latency = |run: RunId, measurement: u64| RunStatus {
        measurement,
        ..row(run)
    };
    let report = |fleet: &mut Fleet, fills: &[RunId]| {
        fleet.pass(400, &[1, 2]);
        let mut rows: Vec<RunStatus> = quiet.iter().map(|&run| latency(run, 13)).collect();
        rows.push(latency(busy[1], 32));
        let mut beside = vec![latency(busy[0], 32)];
        beside.extend(fills.iter().map(|&run| RunStatus {
            measurement: 1_000,
            percent_done: 10,
            ..row(run)
        }));
        for (session, rows) in [(2, rows), (1, beside)] {
            let running = Some(rows);
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
    // The other worker is left without a filler.
    let mut away = worker("i-2", 1);
    away.state = WorkerState::Draining;
    fleet.step(vec![Input::WorkerChanged {
        session: 2,
        worker: away,
    }]);
    let mut fills = filler(1);
    fills.image = Some("light".into());
    fills.has_checkpoints = true;
    fills.estimate = Millis(60_000);
    fleet.submit(JobId(3), rule(2), job(vec![fills.clone()]));
    fleet.step(vec![]);
    let first = fleet.started(1);
    assert_eq!(first.len(), 1);
    for _ in 0..8 {
        report(&mut fleet, &first);
    }
    fleet.submit(JobId(4), rule(2), job(vec![fills]));
    fleet.step(vec![]);
    assert_eq!(fleet.started(1).len(), 1);
}

/// Guards against harm that goes on for seconds: fillers that keep no checkpoints are stopped, not
/// slowed by half, where they push a serving task to many times its target.
#[test]
fn fillers_are_stopped_far_beyond_the_target() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JobId(1), rule(2), job(vec![serving(1)]));
    fleet.step(vec![]);
    let serves = fleet.started(1)[0];
    for _ in 0..4 {
        fleet.pass(400, &[1]);
        serve(&mut fleet, serves, 13);
    }
    let mut fills = filler(2);
    fills.image = Some("heavy".into());
    fleet.submit(JobId(2), rule(2), job(vec![fills]));
    fleet.step(vec![]);
    let fills = fleet.started(1);
    assert_eq!(fills.len(), 2);
    fleet.pass(400, &[1]);
    let mut running = vec![RunStatus {
        measurement: 300,
        ..row(serves)
    }];
    running.extend(fills.iter().map(|&run| RunStatus {
        measurement: 1_000,
        percent_done: 10,
        ..row(run)
    }));
    let report = Report {
        running: Some(running),
        ..Report::default()
    };
    fleet.report(1, report);
    let mut stopped = fleet.stopped(1);
    stopped.sort_unstable();
    assert_eq!(stopped, fills);
}

/// Guards against standing tasks that wait behind all later jobs once they have run for longer than
/// their start may take.
#[test]
fn standing_tasks_that_lost_their_worker_come_first() {
    let whole = StepSpec {
        resources: worker("i-1", 1).capacity,
        ..step(1, &[])
    };
    let standing = StepSpec {
        is_service: true,
        ..whole.clone()
    };
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![standing]));
    fleet.pass(30_000, &[1]);
    assert_eq!(fleet.started(1).len(), 1);
    fleet.submit(JobId(2), rule(2), job(vec![whole]));
    let dead = Report {
        is_dead: true,
        ..Report::default()
    };
    fleet.report(1, dead);
    fleet.attach(2, worker("i-2", 2), complete(vec![], vec![]));
    let started = fleet.started(2);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, JOB);
}

//! Workers whose capacity shrinks or grows while they run, and capacities of any size.

use hyssop_core::Millis;
use hyssop_jobs::{
    CallerRequest, EndKind, Input, JobId, Order, QueueRule, Report, Resources, RunId, RunStatus,
    StepSpec, TaskId, WorkerInfo,
};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

const FIRST: JobId = JobId(1);
const SECOND: JobId = JobId(2);

const fn amounts(cpu: u64, mem: u64, gpu: u64) -> Resources {
    Resources { cpu, mem, gpu }
}

/// Returns a step of tasks of a minute that request these amounts.
fn sized(count: u32, resources: Resources) -> StepSpec {
    StepSpec {
        resources,
        estimate: Millis(60_000),
        ..step(count, &[])
    }
}

fn best_effort(count: u32, resources: Resources) -> StepSpec {
    StepSpec {
        is_best_effort: true,
        image: Some("image".into()),
        estimate: Millis(2_000),
        ..sized(count, resources)
    }
}

fn info(id: &str, capacity: Resources) -> WorkerInfo {
    WorkerInfo {
        capacity,
        ..worker(id, 1)
    }
}

fn connect(fleet: &mut Fleet, session: u64, capacity: Resources) {
    let info = info(&format!("i-{session}"), capacity);
    fleet.connect(session, info, complete_report(vec![], vec![]));
}

/// Reports another capacity of the worker of a session.
fn resize(fleet: &mut Fleet, session: u64, capacity: Resources) {
    fleet.step(vec![Input::WorkerChanged {
        session,
        worker: info(&format!("i-{session}"), capacity),
    }]);
}

/// Submits a job of one step and returns the runs that the worker of session 1 is told to start.
fn start(fleet: &mut Fleet, id: JobId, spec: StepSpec) -> Vec<RunId> {
    fleet.submit(id, rule(2), job(vec![spec]));
    fleet.advance(300, &[1, 2]);
    fleet.take_started(1)
}

fn list(fleet: &mut Fleet, session: u64, runs: &[RunId]) {
    let running: Vec<RunStatus> = runs.iter().copied().map(run_status).collect();
    let report = Report {
        running: Some(running),
        ..Report::default()
    };
    fleet.report(session, report);
}

const FULL: Resources = amounts(16_000, 64_000, 4);

/// Guards against starts that bring a worker over a capacity that has shrunk, in any resource, and
/// against a worker that stays unused after its capacity has grown again.
#[test]
fn shrunk_worker_gets_what_still_fits() {
    let task = amounts(2_000, 8_000, 1);
    let small = [
        amounts(5_000, 64_000, 4),
        amounts(16_000, 20_000, 4),
        amounts(16_000, 64_000, 2),
    ];
    for capacity in small {
        let mut fleet = Fleet::new();
        connect(&mut fleet, 1, FULL);
        assert_eq!(start(&mut fleet, FIRST, sized(1, task)).len(), 1);
        resize(&mut fleet, 1, capacity);
        assert_eq!(start(&mut fleet, SECOND, sized(3, task)).len(), 1);
        fleet.advance(3_000, &[1]);
        assert_eq!(fleet.take_started(1), vec![]);
        resize(&mut fleet, 1, FULL);
        assert_eq!(fleet.take_started(1).len(), 2);
    }
}

/// Guards against starts on top of a run that is being stopped: it uses its resources until its end.
#[test]
fn stopping_run_counts_on_a_shrunk_worker() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, FULL);
    let runs = start(&mut fleet, FIRST, sized(1, amounts(8_000, 100, 0)));
    list(&mut fleet, 1, &runs);
    resize(&mut fleet, 1, amounts(8_000, 64_000, 4));
    fleet.request(CallerRequest::Cancel(FIRST));
    let task = amounts(4_000, 100, 0);
    assert_eq!(start(&mut fleet, SECOND, sized(1, task)), vec![]);
    let ended = vec![run_end(1, runs[0], EndKind::Stopped)];
    fleet.report(1, ends_report(ended));
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against gangs that start by the capacity that a worker had before it shrank.
#[test]
fn gang_waits_for_a_shrunk_worker() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, FULL);
    resize(&mut fleet, 1, amounts(8_000, 64_000, 4));
    let gang = StepSpec {
        is_gang: true,
        ..sized(2, amounts(6_000, 100, 0))
    };
    assert_eq!(start(&mut fleet, JOB, gang), vec![]);
    fleet.advance(5_000, &[1]);
    assert_eq!(fleet.take_started(1), vec![]);
    resize(&mut fleet, 1, FULL);
    assert_eq!(fleet.take_started(1).len(), 2);
}

/// Guards against best-effort tasks that reserve no processors and exceed the memory of a worker.
#[test]
fn best_effort_tasks_respect_memory_that_has_shrunk() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, FULL);
    resize(&mut fleet, 1, amounts(16_000, 9_000, 4));
    let spec = best_effort(4, amounts(1_000, 4_000, 0));
    assert_eq!(start(&mut fleet, JOB, spec).len(), 2);
    fleet.advance(5_000, &[1]);
    assert_eq!(fleet.take_started(1), vec![]);
}

/// Guards against a best-effort task that is added to a worker whose runs exceed its processors: it
/// reserves none, and the first one of a worker needs no idle ones.
#[test]
fn worker_over_its_capacity_gets_no_best_effort_task() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, FULL);
    let runs = start(&mut fleet, FIRST, sized(1, amounts(12_000, 100, 0)));
    assert_eq!(runs.len(), 1);
    resize(&mut fleet, 1, amounts(8_000, 64_000, 4));
    let spec = best_effort(1, amounts(1_000, 100, 0));
    assert_eq!(start(&mut fleet, SECOND, spec), vec![]);
    for _ in 0..10 {
        list(&mut fleet, 1, &runs);
        fleet.advance(400, &[1]);
    }
    assert_eq!(fleet.take_started(1), vec![]);
    connect(&mut fleet, 2, FULL);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against preemption that stops too little: what a worker has reserved beyond its capacity
/// becomes free for nobody.
#[test]
fn preemption_counts_what_exceeds_the_capacity() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, FULL);
    let low_priority = QueueRule {
        priority: 2,
        stretch: 20.0,
        ..rule(2)
    };
    let spec = StepSpec {
        has_checkpoints: true,
        ..sized(4, amounts(4_000, 100, 0))
    };
    fleet.submit(FIRST, low_priority, job(vec![spec]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 4);
    list(&mut fleet, 1, &runs);
    resize(&mut fleet, 1, amounts(12_000, 64_000, 4));
    fleet.submit(
        SECOND,
        rule(2),
        job(vec![StepSpec {
            resources: amounts(4_000, 100, 0),
            ..step(1, &[])
        }]),
    );
    fleet.advance(400, &[1]);
    assert_eq!(fleet.take_stopped(1).len(), 2);
}

/// Returns a run of a job that no owner knows.
const fn unknown_run() -> RunId {
    let task = TaskId {
        job: JobId(0xdead),
        occurrence: 0,
        step: 0,
        index: 0,
    };
    RunId { task, run: 1 }
}

/// Guards against starts beside an orphaned run of unknown size: it was taken to use as much as the
/// worker had when the run was found, and the worker had more before and has more again later.
#[test]
fn orphaned_run_of_unknown_size_keeps_a_grown_worker_empty() {
    let mut fleet = Fleet::new();
    let orphan = unknown_run();
    fleet.connect(
        1,
        info("i-1", amounts(2_000, 8_000, 0)),
        complete_report(vec![run_status(orphan)], vec![]),
    );
    resize(&mut fleet, 1, FULL);
    let spec = sized(1, amounts(8_000, 100, 0));
    assert_eq!(start(&mut fleet, JOB, spec), vec![]);
    let ended = vec![run_end(1, orphan, EndKind::Stopped)];
    fleet.report(1, ends_report(ended));
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a job that is kept waiting because runs exceed the capacity of one worker: callers
/// count no more of a worker as reserved than it has.
#[test]
fn runs_over_the_capacity_of_one_worker_do_not_fill_the_service() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, FULL);
    let runs = start(&mut fleet, FIRST, sized(1, amounts(16_000, 100, 0)));
    assert_eq!(runs.len(), 1);
    resize(&mut fleet, 1, amounts(1_000, 64_000, 4));
    connect(&mut fleet, 2, FULL);
    let busy = start(&mut fleet, SECOND, best_effort(16, amounts(1_000, 100, 0)));
    assert_eq!(busy, vec![]);
    let busy = fleet.take_started(2);
    assert_eq!(busy.len(), 16);
    let idle = JobId(3);
    fleet.submit(
        idle,
        rule(2),
        job(vec![best_effort(1, amounts(1_000, 100, 0))]),
    );
    let mut started = Vec::new();
    for percent_done in 1..=8 {
        list(&mut fleet, 1, &runs);
        let running = busy.iter().map(|&run| RunStatus {
            percent_done,
            ..run_status(run)
        });
        let running = Some(running.collect());
        fleet.report(
            2,
            Report {
                running,
                ..Report::default()
            },
        );
        fleet.advance(400, &[1, 2]);
        started.extend(fleet.take_started(2));
    }
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task.job, idle);
}

/// Guards against a waiting job that is not offered to other workers when the only one that could
/// run it shrinks.
#[test]
fn job_starts_elsewhere_after_its_worker_shrank() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, FULL);
    resize(&mut fleet, 1, amounts(1_000, 1_000, 0));
    let spec = sized(1, amounts(8_000, 100, 0));
    assert_eq!(start(&mut fleet, JOB, spec), vec![]);
    connect(&mut fleet, 2, FULL);
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against the capacity that an earlier session has reported.
#[test]
fn description_of_an_earlier_session_is_ignored() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, FULL);
    connect(&mut fleet, 2, FULL);
    fleet.step(vec![Input::Attach {
        session: 3,
        worker: info("i-1", amounts(2_000, 64_000, 4)),
    }]);
    resize(&mut fleet, 1, FULL);
    fleet.report(3, complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![sized(2, amounts(12_000, 100, 0))]));
    fleet.advance(300, &[2, 3]);
    assert_eq!(fleet.take_started(3), vec![]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against best-effort tasks that hang on a worker without processors, where the first one
/// needs no idle ones, and against other harm of workers that lack a resource.
#[test]
fn worker_without_a_resource_runs_only_what_needs_none() {
    let mut fleet = Fleet::new();
    connect(&mut fleet, 1, amounts(0, 64_000, 0));
    let spec = best_effort(1, amounts(1_000, 100, 0));
    assert_eq!(start(&mut fleet, FIRST, spec.clone()), vec![]);
    fleet.advance(5_000, &[1]);
    assert_eq!(fleet.take_started(1), vec![]);
    connect(&mut fleet, 2, amounts(16_000, 64_000, 0));
    fleet.advance(200, &[1, 2]);
    let runs = fleet.take_started(2);
    assert_eq!(runs.len(), 1);
    fleet.report(2, ends_report(vec![run_end(1, runs[0], EndKind::Done)]));
    resize(&mut fleet, 2, amounts(16_000, 0, 0));
    start(&mut fleet, SECOND, spec);
    start(&mut fleet, JOB, sized(1, amounts(1_000, 0, 0)));
    fleet.advance(5_000, &[1, 2]);
    let started = fleet.take_started(2);
    assert!(started.iter().all(|run| run.task.job == JOB));
    assert_eq!(started.len(), 1);
    assert_eq!(fleet.take_started(1), vec![]);
}

/// Plays tasks of all kinds on workers of these capacities.
fn play_amounts(capacities: &[Resources], needs: Resources, estimate: u64) {
    let mut fleet = Fleet::new();
    let sessions: Vec<u64> = (1..=capacities.len() as u64).collect();
    for (&session, &capacity) in sessions.iter().zip(capacities) {
        connect(&mut fleet, session, capacity);
    }
    let spec = StepSpec {
        estimate: Millis(estimate),
        ..sized(2, needs)
    };
    let service = StepSpec {
        is_service: true,
        latency_target: Some(Millis(50)),
        image: Some("service".into()),
        ..spec.clone()
    };
    let specs = [
        service,
        spec.clone(),
        StepSpec {
            is_gang: true,
            prefers_one_rack: true,
            ..spec.clone()
        },
        best_effort(2, needs),
        StepSpec {
            has_checkpoints: true,
            ..spec
        },
    ];
    for (number, spec) in (1..).zip(specs) {
        let priority = (number % 3) as u32;
        let rule = QueueRule {
            priority,
            ..rule(2)
        };
        fleet.submit(JobId(number), rule, job(vec![spec]));
    }
    let mut runs: Vec<(u64, RunId)> = Vec::new();
    let mut ends = 0;
    for round in 0..30 {
        fleet.advance(400, &sessions);
        for &session in &sessions {
            for order in fleet.orders.remove(&session).unwrap_or_default() {
                if let Order::Start(start) = order {
                    runs.push((session, start.run));
                }
            }
            let mut here = runs.iter().filter(|(on, _)| *on == session);
            let ended = here.next().filter(|_| round % 5 == 4).copied();
            ends += 1;
            let ended_runs = ended.map(|(_, run)| run_end(ends, run, EndKind::Done));
            runs.retain(|run| Some(*run) != ended);
            let here = runs.iter().filter(|(on, _)| *on == session);
            let running = here.map(|&(_, run)| RunStatus {
                percent_done: round,
                measurement: u64::MAX,
                ..run_status(run)
            });
            fleet.report(
                session,
                Report {
                    running: Some(running.collect()),
                    ended: ended_runs.into_iter().collect(),
                    ..Report::default()
                },
            );
        }
    }
}

/// Guards against an owner that panics, or that computes with wrapped numbers, on amounts that no
/// machine has: one description or job would end all work.
#[test]
fn amounts_of_any_size_do_no_harm() {
    let huge = amounts(u64::MAX, u64::MAX, u64::MAX);
    let none = amounts(0, 0, 0);
    let half = amounts(u64::MAX / 2 + 1, u64::MAX / 2 + 1, 0);
    let signed = amounts(i64::MAX as u64, i64::MAX as u64, 0);
    let usual = amounts(1_000, 100, 0);
    for capacities in [vec![huge; 3], vec![signed; 3], vec![none, huge, FULL]] {
        for needs in [usual, huge, half, signed, none] {
            for estimate in [500, u64::MAX] {
                play_amounts(&capacities, needs, estimate);
            }
        }
    }
}

/// Guards against a sum of reserved amounts that has reached the largest value and forgets other runs
/// when one of them ends: an orphaned run of unknown size counts as larger than any worker.
#[test]
fn end_of_an_unknown_run_does_not_free_the_others() {
    let mut earlier = Fleet::new();
    connect(&mut earlier, 1, FULL);
    let runs = start(&mut earlier, FIRST, sized(1, amounts(12_000, 60_000, 0)));
    let mut fleet = earlier.successor(2);
    let statuses = vec![run_status(unknown_run()), run_status(runs[0])];
    fleet.connect(1, info("i-1", FULL), complete_report(statuses, vec![]));
    let ended = vec![run_end(1, unknown_run(), EndKind::Stopped)];
    fleet.report(1, ends_report(ended));
    let spec = sized(2, amounts(4_000, 4_000, 0));
    assert_eq!(start(&mut fleet, SECOND, spec).len(), 1);
}

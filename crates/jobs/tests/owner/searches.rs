//! Workers that a search considers, and in which order.

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, JobId, Refusal, Report, RunStatus, StepSpec};

use crate::stalls::{MAX_IDLE_MS, best_effort, progress_report};
use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

/// Time for which callers may see a service task away.
const MAX_AWAY_MS: u64 = 6_000;

/// Starts best-effort tasks with estimates of 3, 6, 9, ... s on two workers, none of which makes
/// progress, so that one after the other counts as stuck. Then submits a job and returns whether a
/// task of it starts within the time for which callers may see nothing running.
fn starts_beside_stuck_runs(spec: StepSpec) -> bool {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    for seconds in 1..=20 {
        let mut hanging = best_effort(2, 100);
        hanging.max_per_worker = 1;
        hanging.estimate = Millis(seconds * 3_000);
        fleet.submit(JobId(seconds), rule(9), job(vec![hanging]));
    }
    fleet.step(vec![]);
    let first: Vec<_> = [1, 2].map(|session| fleet.take_started(session)).into();
    assert_eq!(first.concat().len(), 40);
    for _ in 0..5 {
        for (session, runs) in (1..).zip(&first) {
            fleet.report(session, progress_report(runs, 0));
        }
        fleet.advance(400, &[1, 2]);
    }
    let other = JobId(0xbb);
    fleet.submit(other, rule(2), job(vec![spec]));
    let mut started = Vec::new();
    for _ in 0..=MAX_IDLE_MS / 400 {
        for (session, runs) in (1..).zip(&first) {
            fleet.report(session, progress_report(runs, 0));
        }
        fleet.advance(400, &[1, 2]);
        started.extend([1, 2].map(|session| fleet.take_started(session)).concat());
    }
    started.iter().any(|run| run.task.job == other)
}

/// Guards against an urgent job that does not start because runs on all workers make no progress.
#[test]
fn reserving_job_starts_while_runs_on_all_workers_are_stuck() {
    assert!(starts_beside_stuck_runs(step(1, &[])));
}

/// Guards against a service task that does not start because runs on all workers make no progress.
#[test]
fn service_task_starts_while_runs_on_all_workers_are_stuck() {
    let mut service = step(1, &[]);
    service.is_service = true;
    assert!(starts_beside_stuck_runs(service));
}

/// Guards against a service task that stays away while runs on the one worker with room for it make
/// no progress, because another task of its step runs: each service task counts by itself.
#[test]
fn each_service_task_starts_while_runs_on_its_worker_are_stuck() {
    let mut fleet = Fleet::new();
    let mut labelled = worker("i-2", 1);
    labelled.labels.push("b".into());
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, labelled, complete_report(vec![], vec![]));
    let mut service = step(2, &[]);
    service.is_service = true;
    service.max_per_worker = 1;
    fleet.submit(JOB, rule(2), job(vec![service]));
    fleet.step(vec![]);
    let (serving, failing) = (fleet.take_started(1), fleet.take_started(2));
    assert_eq!((serving.len(), failing.len()), (1, 1));
    for seconds in 1..=20 {
        let mut hanging = best_effort(1, 100);
        hanging.label = Some("b".into());
        hanging.estimate = Millis(seconds * 3_000);
        fleet.submit(JobId(seconds), rule(9), job(vec![hanging]));
    }
    fleet.step(vec![]);
    let hanging = fleet.take_started(2);
    assert_eq!(hanging.len(), 20);
    let mut started_after = None;
    for tenth in 0..80 {
        if tenth == 20 {
            let end = run_end(1, failing[0], EndKind::Failed);
            fleet.report(2, ends_report(vec![end]));
        }
        fleet.report(1, progress_report(&serving, 100));
        let listed: Vec<_> = match tenth < 20 {
            true => [&failing[..], &hanging].concat(),
            false => hanging.clone(),
        };
        fleet.report(2, progress_report(&listed, 0));
        fleet.advance(100, &[1, 2]);
        let started = fleet.take_started(2);
        if started_after.is_none() && started.iter().any(|run| run.task.job == JOB) {
            started_after = Some((tenth - 20) * 100);
        }
    }
    assert!(
        started_after.is_some_and(|after| after < MAX_AWAY_MS),
        "{started_after:?}"
    );
}

/// Guards against a task that is ordered again and again to the one worker that refuses it, while
/// runs on the other one make no progress.
#[test]
fn refused_task_starts_on_a_stuck_worker() {
    let mut fleet = Fleet::new();
    let mut labelled = worker("i-2", 1);
    labelled.labels.push("b".into());
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, labelled, complete_report(vec![], vec![]));
    for seconds in 1..=20 {
        let mut hanging = best_effort(1, 100);
        hanging.label = Some("b".into());
        hanging.estimate = Millis(seconds * 3_000);
        fleet.submit(JobId(seconds), rule(9), job(vec![hanging]));
    }
    fleet.step(vec![]);
    let hanging = fleet.take_started(2);
    assert_eq!(hanging.len(), 20);
    let mut started = 0;
    for tenth in 0..=20 + MAX_IDLE_MS / 100 {
        if tenth == 20 {
            fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
        }
        let refused = fleet.take_started(1);
        let refused = refused.into_iter().map(|run| (run, Refusal::NoRoom));
        let report = Report {
            refused: refused.collect(),
            ..Report::default()
        };
        fleet.report(1, report);
        fleet.report(2, progress_report(&hanging, 0));
        fleet.advance(100, &[1, 2]);
        let runs = fleet.take_started(2);
        started += runs.iter().filter(|run| run.task.job == JOB).count();
    }
    assert_eq!(started, 1);
}

/// Guards against an idle job that starts beside a latency-critical task which is over its target,
/// because that worker is the only one with idle processors, while another one without
/// latency-critical tasks could run it.
#[test]
fn idle_job_avoids_workers_with_tasks_over_their_target() {
    let mut fleet = Fleet::new();
    let labelled = |id: &str, label: &str| {
        let mut labelled = worker(id, 1);
        labelled.labels.push(label.into());
        labelled
    };
    fleet.connect(1, labelled("i-1", "x"), complete_report(vec![], vec![]));
    fleet.connect(2, labelled("i-2", "y"), complete_report(vec![], vec![]));
    let mut critical = step(1, &[]);
    critical.is_service = true;
    critical.latency_target = Some(Millis(100));
    critical.image = Some("watch".into());
    critical.label = Some("x".into());
    fleet.submit(JobId(1), rule(2), job(vec![critical]));
    let mut filling = best_effort(8, 2_000);
    filling.label = Some("y".into());
    fleet.submit(JOB, rule(2), job(vec![filling]));
    fleet.step(vec![]);
    let (critical, busy) = (fleet.take_started(1), fleet.take_started(2));
    assert_eq!((critical.len(), busy.len()), (1, 8));
    let mut spec = best_effort(1, 2_000);
    spec.image = Some("plan".into());
    fleet.submit(JobId(2), rule(2), job(vec![spec]));
    let mut started = [0, 0];
    for percent_done in 1..=MAX_IDLE_MS as u32 / 100 {
        let over_target = RunStatus {
            measurement: 130,
            ..run_status(critical[0])
        };
        let report = Report {
            running: Some(vec![over_target]),
            ..Report::default()
        };
        fleet.report(1, report);
        fleet.report(2, progress_report(&busy, percent_done));
        fleet.advance(100, &[1, 2]);
        started[0] += fleet.take_started(1).len();
        started[1] += fleet.take_started(2).len();
    }
    assert_eq!(started, [0, 1]);
}

/// Guards against a task that is ordered to two workers by turns, which refuse it each time and have
/// the most free capacity, while a third one could run it.
#[test]
fn task_refused_by_two_workers_starts_on_the_third() {
    for is_best_effort in [false, true] {
        let mut fleet = Fleet::new();
        for session in 1..=3 {
            let mut info = worker(&format!("i-{session}"), 1);
            info.capacity.cpu = if session == 3 { 8_000 } else { 16_000 };
            fleet.connect(session, info, complete_report(vec![], vec![]));
        }
        let mut spec = step(1, &[]);
        spec.is_best_effort = is_best_effort;
        fleet.submit(JOB, rule(2), job(vec![spec]));
        let mut started = 0;
        for _ in 0..MAX_IDLE_MS / 100 {
            for session in [1, 2] {
                let refused = fleet.take_started(session).into_iter();
                let refused = refused.map(|run| (run, Refusal::NoRoom));
                let report = Report {
                    refused: refused.collect(),
                    ..Report::default()
                };
                fleet.report(session, report);
            }
            fleet.advance(100, &[1, 2, 3]);
            started += fleet.take_started(3).len();
        }
        assert_eq!(started, 1, "best_effort={is_best_effort}");
    }
}

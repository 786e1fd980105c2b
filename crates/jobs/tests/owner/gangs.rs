//! Gangs, whose tasks start and end together.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, JobId, JobState, Order, QueueRule, Refusal, Report, RunEnd, RunId, RunStatus, Start,
    StepSpec, WorkerInfo,
};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

/// Returns a gang of tasks that request half a worker each.
fn gang(count: u32) -> StepSpec {
    let mut step = step(count, &[]);
    step.is_gang = true;
    step.resources.cpu = 8_000;
    step
}

fn in_rack(id: &str, rack: &str) -> WorkerInfo {
    WorkerInfo {
        labels: vec!["a".into(), rack.into()],
        ..worker(id, 1)
    }
}

/// Returns a fleet of workers with sessions from 1, one in each of these racks.
fn fleet(racks: &[&str]) -> Fleet {
    let mut fleet = Fleet::new();
    for (session, rack) in (1..).zip(racks) {
        let info = in_rack(&format!("i-{session}"), rack);
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    fleet
}

fn all_started(fleet: &mut Fleet, workers: u64) -> Vec<(u64, RunId)> {
    let mut runs = Vec::new();
    for session in 1..=workers {
        let started = fleet.take_started(session);
        runs.extend(started.into_iter().map(|run| (session, run)));
    }
    runs
}

/// Sends the status of all these runs from their sessions.
fn report_runs(fleet: &mut Fleet, runs: &[(u64, RunId)], sessions: u64) {
    for session in 1..=sessions {
        let here = runs.iter().filter(|&&(s, _)| s == session);
        let statuses: Vec<RunStatus> = here.map(|&(_, run)| run_status(run)).collect();
        fleet.report(
            session,
            Report {
                running: Some(statuses),
                ..Report::default()
            },
        );
    }
}

/// Guards against members that wait for the others: a gang starts only if all members fit, with one
/// run number.
#[test]
fn gang_starts_completely_or_not_at_all() {
    let mut fleet = fleet(&["r1"]);
    fleet.submit(JOB, rule(2), job(vec![gang(4)]));
    fleet.advance(300, &[1]);
    assert!(fleet.take_started(1).is_empty());
    fleet.connect(2, in_rack("i-2", "r1"), complete_report(vec![], vec![]));
    let runs = all_started(&mut fleet, 2);
    assert_eq!(runs.len(), 4);
    assert!(runs.iter().all(|(_, run)| run.run == runs[0].1.run));
}

/// Guards against repeated work: one completed member completes the whole gang.
#[test]
fn completed_member_completes_the_gang() {
    let mut fleet = fleet(&["r1", "r1"]);
    fleet.submit(JOB, rule(2), job(vec![gang(4)]));
    fleet.advance(100, &[1, 2]);
    let runs = all_started(&mut fleet, 2);
    report_runs(&mut fleet, &runs, 2);
    let (session, run) = runs[0];
    fleet.report(session, ends_report(vec![run_end(1, run, EndKind::Done)]));
    fleet.advance(400, &[1, 2]);
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
    assert!(all_started(&mut fleet, 2).is_empty());
}

/// Guards against a gang that continues without a member, or starts again while a member still
/// runs.
#[test]
fn gang_restarts_when_all_members_have_ended() {
    let mut fleet = fleet(&["r1", "r1"]);
    fleet.submit(JOB, rule(3), job(vec![gang(4)]));
    fleet.advance(100, &[1, 2]);
    let runs = all_started(&mut fleet, 2);
    report_runs(&mut fleet, &runs, 2);
    let first: Vec<RunId> = runs.iter().filter(|r| r.0 == 1).map(|r| r.1).collect();
    let second: Vec<RunId> = runs.iter().filter(|r| r.0 == 2).map(|r| r.1).collect();
    let with_checkpoint = |end: RunEnd| RunEnd {
        checkpoint: Some("half".into()),
        ..end
    };
    fleet.report(
        1,
        ends_report(vec![
            with_checkpoint(run_end(1, first[0], EndKind::Failed)),
            with_checkpoint(run_end(2, first[1], EndKind::GangBroken)),
        ]),
    );
    fleet.advance(400, &[1, 2]);
    assert!(fleet.take_started(1).is_empty());
    let mut stopped = fleet.take_stopped(2);
    stopped.sort_unstable();
    assert_eq!(stopped, second);
    fleet.report(
        2,
        ends_report(vec![
            with_checkpoint(run_end(1, second[0], EndKind::GangBroken)),
            with_checkpoint(run_end(2, second[1], EndKind::GangBroken)),
        ]),
    );
    fleet.advance(400, &[1, 2]);
    // Every member resumes from the shared checkpoint of the gang.
    let orders = fleet.orders.remove(&1).unwrap_or_default();
    assert_eq!(orders.len(), 2);
    for order in orders {
        let Order::Start(Start {
            run, checkpoint, ..
        }) = order
        else {
            panic!("unexpected {order:?}");
        };
        assert!(run.run > runs[0].1.run);
        assert_eq!(checkpoint, Some(Arc::from("half")));
    }
}

/// Guards against a job that fails early because the failures of several members count as several
/// attempts.
#[test]
fn failed_run_of_a_gang_is_one_attempt() {
    let mut fleet = fleet(&["r1", "r1"]);
    fleet.submit(JOB, rule(2), job(vec![gang(4)]));
    for attempt in 1..=2 {
        fleet.advance(400, &[1, 2]);
        let runs = all_started(&mut fleet, 2);
        assert_eq!(runs.len(), 4);
        report_runs(&mut fleet, &runs, 2);
        fleet.advance(300, &[1, 2]);
        assert_eq!(fleet.state(JOB), Some(JobState::Running));
        for session in 1..=2 {
            let here = runs.iter().filter(|r| r.0 == session).map(|r| r.1);
            let first = (attempt - 1) * 2 + 1;
            let ends = (first..)
                .zip(here)
                .map(|(n, run)| run_end(n, run, EndKind::Failed));
            fleet.report(session, ends_report(ends.collect()));
        }
    }
    fleet.advance(400, &[1, 2]);
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against members that wait for one that its worker refused.
#[test]
fn refused_member_stops_the_others() {
    let mut fleet = fleet(&["r1", "r1"]);
    fleet.submit(JOB, rule(2), job(vec![gang(4)]));
    fleet.advance(100, &[1, 2]);
    let runs = all_started(&mut fleet, 2);
    let (session, run) = runs[0];
    fleet.report(
        session,
        Report {
            refused: vec![(run, Refusal::NoRoom)],
            ..Report::default()
        },
    );
    let other = 3 - session;
    assert_eq!(fleet.take_stopped(other).len(), 2);
}

/// Guards against members that wait for one whose start was lost.
#[test]
fn unlisted_member_stops_the_others() {
    let mut fleet = fleet(&["r1", "r1"]);
    fleet.submit(JOB, rule(2), job(vec![gang(4)]));
    fleet.advance(100, &[1, 2]);
    let runs = all_started(&mut fleet, 2);
    let here: Vec<_> = runs.iter().copied().filter(|r| r.0 == 1).collect();
    report_runs(&mut fleet, &here, 1);
    fleet.advance(1_500, &[1, 2]);
    assert!(fleet.take_stopped(1).is_empty());
    fleet.advance(800, &[1, 2]);
    assert_eq!(fleet.take_stopped(1).len(), 2);
}

/// Guards against spreading a gang over racks, where it is slower, although it fits into one.
#[test]
fn gang_runs_in_one_rack_if_it_fits() {
    let mut fleet = fleet(&["r1", "r2", "r2"]);
    let prefers_one_rack = StepSpec {
        prefers_one_rack: true,
        ..gang(4)
    };
    fleet.submit(JOB, rule(2), job(vec![prefers_one_rack]));
    fleet.advance(100, &[1, 2, 3]);
    let runs = all_started(&mut fleet, 3);
    assert_eq!(runs.len(), 4);
    assert!(runs.iter().all(|&(session, _)| session > 1));
}

/// Guards against a gang that waits indefinitely for capacity in one rack.
#[test]
fn gang_spreads_over_racks_after_a_wait() {
    let mut fleet = fleet(&["r1", "r2"]);
    let prefers_one_rack = StepSpec {
        prefers_one_rack: true,
        ..gang(4)
    };
    fleet.submit(JOB, rule(2), job(vec![prefers_one_rack]));
    fleet.advance(500, &[1, 2]);
    assert!(all_started(&mut fleet, 2).is_empty());
    fleet.advance(800, &[1, 2]);
    assert_eq!(all_started(&mut fleet, 2).len(), 4);
}

/// Guards against a gang that starves because of smaller tasks: after a wait, capacity that becomes
/// free is reserved for it.
#[test]
fn capacity_is_reserved_for_a_waiting_gang() {
    let mut fleet = fleet(&["r1", "r1"]);
    let mut small = step(2, &[]);
    small.resources.cpu = 16_000;
    small.estimate = Millis(60_000);
    fleet.submit(hyssop_jobs::JobId(1), rule(2), job(vec![small.clone()]));
    fleet.advance(100, &[1, 2]);
    let runs = all_started(&mut fleet, 2);
    assert_eq!(runs.len(), 2);
    report_runs(&mut fleet, &runs, 2);
    let mut large_gang = gang(4);
    large_gang.estimate = Millis(30_000);
    fleet.submit(JOB, rule(2), job(vec![large_gang]));
    fleet.submit(hyssop_jobs::JobId(2), rule(2), job(vec![small]));
    fleet.advance(2_000, &[1, 2]);
    for (session, run) in runs {
        fleet.report(session, ends_report(vec![run_end(1, run, EndKind::Done)]));
        fleet.advance(300, &[1, 2]);
    }
    let started = all_started(&mut fleet, 2);
    assert_eq!(started.len(), 4);
    assert!(started.iter().all(|(_, run)| run.task.job == JOB));
}

/// Guards against a later owner that starts a gang again while its members still run.
#[test]
fn inherited_gang_continues() {
    let mut fleet = fleet(&["r1", "r1"]);
    fleet.submit(JOB, rule(2), job(vec![gang(4)]));
    fleet.advance(100, &[1, 2]);
    let runs = all_started(&mut fleet, 2);
    let mut later = fleet.successor(2);
    for session in 1..=2 {
        let here = runs.iter().filter(|r| r.0 == session);
        let statuses = here.map(|&(_, run)| run_status(run)).collect();
        let info = in_rack(&format!("i-{session}"), "r1");
        later.connect(session, info, complete_report(statuses, vec![]));
    }
    later.advance(300, &[1, 2]);
    assert!(later.orders.is_empty(), "{:?}", later.orders);
    let (session, run) = runs[0];
    later.report(session, ends_report(vec![run_end(1, run, EndKind::Done)]));
    later.advance(400, &[1, 2]);
    assert_eq!(later.state(JOB), Some(JobState::Complete));
}

/// Guards against a gang that needs all workers and starves because tasks that fit beside the last
/// runs before it start one after the other.
#[test]
fn gang_starts_while_smaller_tasks_keep_arriving() {
    let mut fleet = fleet(&["r1", "r2"]);
    let mut large = gang(2);
    large.resources.cpu = 16_000;
    large.max_per_worker = 1;
    let less_urgent = QueueRule {
        priority: 1,
        ..rule(2)
    };
    let mut running: Vec<(u64, u64, RunId)> = Vec::new();
    let mut ends = 0;
    for round in 0..60_u64 {
        let mut small = step(4, &[]);
        small.resources.cpu = 3_000;
        fleet.submit(JobId(round + 1), less_urgent.clone(), job(vec![small]));
        if round == 5 {
            fleet.submit(JOB, rule(2), job(vec![large.clone()]));
        }
        fleet.advance(100, &[1, 2]);
        for session in [1, 2] {
            let started = fleet.take_started(session);
            if started.iter().any(|run| run.task.job == JOB) {
                return;
            }
            running.extend(
                started
                    .into_iter()
                    .map(|run| (session, fleet.now + 500, run)),
            );
        }
        let now = fleet.now;
        for (session, _, run) in running.extract_if(.., |(_, end, _)| *end <= now) {
            ends += 1;
            fleet.report(
                session,
                ends_report(vec![run_end(ends, run, EndKind::Done)]),
            );
        }
    }
    panic!("the gang has not started after 5 s");
}

/// Guards against a second best-effort gang of a job that waits although the first has just ended
/// and others have requested all idle processors: one complete member completes its gang, and the
/// next gang takes its place.
#[test]
fn gang_takes_the_place_of_the_one_before_it() {
    let mut fleet = fleet(&["r1", "r1"]);
    let mut filling = step(16, &[]);
    filling.is_best_effort = true;
    filling.resources.cpu = 2_000;
    filling.estimate = Millis(60_000);
    fleet.submit(JobId(1), rule(2), job(vec![filling.clone()]));
    fleet.advance(100, &[1, 2]);
    assert_eq!(all_started(&mut fleet, 2).len(), 16);
    let mut first = filling;
    first.count = 2;
    first.is_gang = true;
    let second = StepSpec {
        after: vec![0],
        ..first.clone()
    };
    fleet.submit(JOB, rule(2), job(vec![first, second]));
    fleet.advance(2_900, &[1, 2]);
    let runs = all_started(&mut fleet, 2);
    assert_eq!(runs.len(), 2);
    assert!(runs.iter().all(|(_, run)| run.task.job == JOB));
    let last = runs.iter().max_by_key(|(_, run)| run.task.index);
    for (number, &(session, run)) in (1..).zip(last.into_iter().chain(&runs)).take(2) {
        let end = run_end(number, run, EndKind::Done);
        fleet.report(session, ends_report(vec![end]));
    }
    fleet.advance(300, &[1, 2]);
    let runs = all_started(&mut fleet, 2);
    assert_eq!(runs.len(), 2, "{runs:?}");
    assert!(runs.iter().all(|(_, run)| run.task.step == 1));
}

/// Guards against a best-effort gang that starts for the share of its job with some of its members,
/// because the others fit on no worker.
#[test]
fn gang_starts_for_the_share_of_its_job_completely_or_not_at_all() {
    let mut fleet = fleet(&["r1", "r1"]);
    let mut member = step(3, &[]);
    member.is_best_effort = true;
    member.is_gang = true;
    member.resources.mem = 33_000;
    fleet.submit(JOB, rule(2), job(vec![member]));
    let mut small = step(2, &[]);
    small.resources.mem = 64_000;
    fleet.advance(3_000, &[1, 2]);
    assert!(all_started(&mut fleet, 2).is_empty());
    fleet.submit(JobId(2), rule(2), job(vec![small]));
    fleet.advance(100, &[1, 2]);
    assert_eq!(
        all_started(&mut fleet, 2).len(),
        2,
        "the members that fit keep no capacity"
    );
}

/// Guards against a best-effort gang that starts at full speed beside a latency-critical task that
/// would not tolerate it, when it starts for the share of its job.
#[test]
fn waiting_best_effort_gang_starts_throttled() {
    let mut fleet = fleet(&["r1"]);
    let mut critical = step(1, &[]);
    critical.is_service = true;
    critical.latency_target = Some(Millis(50));
    critical.image = Some("planner".into());
    fleet.submit(JobId(1), rule(2), job(vec![critical]));
    fleet.step(vec![]);
    let status = RunStatus {
        measurement: 45,
        ..run_status(fleet.take_started(1)[0])
    };
    fleet.report(1, complete_report(vec![status], vec![]));
    let mut heavy = gang(2);
    heavy.is_best_effort = true;
    heavy.resources.cpu = 1_000;
    heavy.image = Some("heavy".into());
    fleet.submit(JOB, rule(2), job(vec![heavy]));
    fleet.advance(1_000, &[1]);
    assert!(fleet.take_started(1).is_empty());
    fleet.advance(1_500, &[1]);
    let orders = fleet.orders.remove(&1).unwrap_or_default();
    let slowed = orders
        .iter()
        .filter(|order| matches!(order, Order::Pace(_, 1..60)));
    assert_eq!((orders.len(), slowed.count()), (4, 2), "{orders:?}");
}

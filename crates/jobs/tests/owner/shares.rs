//! Minimum shares of idle best-effort jobs: who gets one, when, and at which speed.

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, Input, JobId, Order, QueueRule, Report, Resources, RunId, RunStatus, StepSpec,
    WorkerInfo, WorkerState,
};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

/// Time for which callers may see nothing of a job running.
const MAX_IDLE_MS: u64 = 3_000;
/// Job that waits for a worker in most tests.
const IDLE_JOB: JobId = JobId(0xbb);

fn best_effort(count: u32, cpu: u64, mem: u64) -> StepSpec {
    StepSpec {
        is_best_effort: true,
        resources: Resources { cpu, mem, gpu: 0 },
        ..step(count, &[])
    }
}

/// Fleet of workers on which long runs make progress.
struct BusyFleet {
    fleet: Fleet,
    /// Runs that make progress, with their sessions.
    busy: Vec<(u64, RunId)>,
    sessions: Vec<u64>,
    percent_done: u32,
}

impl BusyFleet {
    /// Connects workers as sessions from 1 on.
    fn new(workers: Vec<WorkerInfo>) -> Self {
        let mut fleet = Fleet::new();
        let mut sessions = Vec::new();
        for (session, info) in (1..).zip(workers) {
            fleet.connect(session, info, complete_report(vec![], vec![]));
            sessions.push(session);
        }
        Self {
            fleet,
            busy: Vec::new(),
            sessions,
            percent_done: 0,
        }
    }

    /// Submits a job of which all tasks start at once and run until the end of the test.
    fn fill(&mut self, id: JobId, rule: QueueRule, spec: StepSpec) {
        let count = spec.count as usize;
        self.fleet.submit(id, rule, job(vec![spec]));
        self.fleet.step(vec![]);
        let started = self.take_started();
        assert_eq!(started.len(), count);
        self.busy.extend(started);
    }

    fn take_started(&mut self) -> Vec<(u64, RunId)> {
        let mut started = Vec::new();
        for &session in &self.sessions {
            let runs = self.fleet.take_started(session);
            started.extend(runs.into_iter().map(|run| (session, run)));
        }
        started
    }

    /// Lets time pass while the busy runs make progress. Returns the runs that start.
    fn advance(&mut self, millis: u64) -> Vec<(u64, RunId)> {
        let mut started = Vec::new();
        for _ in 0..millis / 100 {
            self.percent_done += 1;
            for &session in &self.sessions {
                let runs = self.busy.iter().filter(|(at, _)| *at == session);
                let running = runs.map(|&(_, run)| RunStatus {
                    percent_done: self.percent_done,
                    ..run_status(run)
                });
                let report = Report {
                    running: Some(running.collect()),
                    ..Report::default()
                };
                self.fleet.report(session, report);
            }
            self.fleet.advance(100, &self.sessions);
            started.extend(self.take_started());
        }
        started
    }
}

/// Returns a fleet of one worker whose idle processors are all requested by best-effort tasks.
fn overcommitted_fleet() -> BusyFleet {
    let mut fleet = BusyFleet::new(vec![worker("i-1", 1)]);
    fleet.fill(JOB, rule(2), best_effort(8, 2_000, 100));
    fleet
}

/// Guards against idle jobs that take further memory while most of it is reserved.
#[test]
fn idle_job_waits_while_most_of_the_memory_is_reserved() {
    let mut fleet = BusyFleet::new(vec![worker("i-1", 1)]);
    fleet.fill(JOB, rule(2), best_effort(12, 1_300, 4_000));
    let idle = best_effort(1, 1_300, 4_000);
    fleet.fleet.submit(IDLE_JOB, rule(2), job(vec![idle]));
    assert_eq!(fleet.advance(MAX_IDLE_MS), []);
}

/// Guards against idle jobs that start beside others while most of the processors are reserved, and
/// against a limit below the half up to which callers count a job as standing still.
#[test]
fn idle_job_starts_up_to_the_limit_of_reserved_processors() {
    // 16 cores: 7.5 reserved are 46%, and 10 are 62%.
    for (reserved, expected) in [(7_500, 1), (10_000, 0)] {
        let mut fleet = BusyFleet::new(vec![worker("i-1", 1)]);
        let mut ordinary = step(1, &[]);
        ordinary.resources.cpu = reserved;
        ordinary.estimate = Millis(20_000);
        fleet.fill(JobId(1), rule(2), ordinary);
        fleet.fill(JOB, rule(2), best_effort(3, 2_000, 100));
        let idle = best_effort(1, 4_000, 100);
        fleet.fleet.submit(IDLE_JOB, rule(2), job(vec![idle]));
        assert_eq!(fleet.advance(MAX_IDLE_MS).len(), expected, "{reserved}");
    }
}

/// Guards against a share that is given before the tasks of more urgent jobs are placed: capacity
/// that becomes free on the one worker that both can use goes to the idle job.
#[test]
fn urgent_job_is_placed_before_shares_of_less_urgent_jobs() {
    let mut labelled = worker("i-1", 1);
    labelled.labels.push("b".into());
    let mut fleet = BusyFleet::new(vec![labelled, worker("i-2", 1)]);
    let with_label = |mut spec: StepSpec| {
        spec.label = Some("b".into());
        spec
    };
    fleet.fill(JOB, rule(2), with_label(best_effort(16, 100, 4_000)));
    let less_urgent = QueueRule {
        priority: 2,
        ..rule(2)
    };
    let idle = with_label(best_effort(4, 100, 4_000));
    fleet.fleet.submit(IDLE_JOB, less_urgent, job(vec![idle]));
    assert_eq!(fleet.advance(2_500), []);
    let urgent = JobId(1);
    let mut needed = with_label(step(1, &[]));
    needed.resources.mem = 4_000;
    fleet.fleet.submit(urgent, rule(2), job(vec![needed]));
    let (_, ended) = fleet.busy.remove(0);
    let ends = vec![run_end(1, ended, EndKind::Stopped)];
    fleet.fleet.report(1, ends_report(ends));
    let started = fleet.advance(100);
    let jobs: Vec<JobId> = started.iter().map(|(_, run)| run.task.job).collect();
    assert_eq!(jobs, [urgent]);
}

/// Guards against an idle job that waits because the workers of other services are in use.
#[test]
fn idle_job_starts_while_another_service_is_full() {
    let other = |id: &str| WorkerInfo {
        service: "other".into(),
        ..worker(id, 1)
    };
    let mut fleet = BusyFleet::new(vec![worker("i-1", 1), other("i-2"), other("i-3")]);
    let other_rule = QueueRule {
        name: "second".into(),
        service: "other".into(),
        ..rule(2)
    };
    let mut ordinary = step(2, &[]);
    ordinary.resources.cpu = 16_000;
    ordinary.estimate = Millis(20_000);
    fleet.fill(JobId(1), other_rule, ordinary);
    fleet.fill(JOB, rule(2), best_effort(8, 2_000, 100));
    let idle = best_effort(1, 2_000, 100);
    fleet.fleet.submit(IDLE_JOB, rule(2), job(vec![idle]));
    assert_eq!(fleet.advance(MAX_IDLE_MS).len(), 1);
}

/// Starts a first task for the share of an idle job on a full worker. Returns its run.
fn fleet_with_used_share() -> (BusyFleet, RunId) {
    let mut fleet = overcommitted_fleet();
    let idle = best_effort(4, 2_000, 100);
    fleet.fleet.submit(IDLE_JOB, rule(2), job(vec![idle]));
    let started = fleet.advance(MAX_IDLE_MS);
    assert_eq!(started.len(), 1);
    (fleet, started[0].1)
}

/// Guards against a job that waits anew after each task that ran for its share.
#[test]
fn task_for_a_vacant_share_starts_without_a_wait() {
    let (mut fleet, run) = fleet_with_used_share();
    let ends = vec![run_end(1, run, EndKind::Done)];
    fleet.fleet.report(1, ends_report(ends));
    assert_eq!(fleet.advance(300).len(), 1);
}

/// Guards against a share that stays vacant for as long as no task of the job can start, and is then
/// used without the wait of other idle jobs.
#[test]
fn vacant_share_ends_when_no_task_starts_for_some_time() {
    let (mut fleet, run) = fleet_with_used_share();
    let set_state = |fleet: &mut BusyFleet, state| {
        let info = WorkerInfo {
            state,
            ..worker("i-1", 1)
        };
        let change = Input::WorkerChanged {
            session: 1,
            worker: info,
        };
        fleet.fleet.step(vec![change]);
    };
    set_state(&mut fleet, WorkerState::Draining);
    let ends = vec![run_end(1, run, EndKind::Done)];
    fleet.fleet.report(1, ends_report(ends));
    assert_eq!(fleet.advance(1_400), []);
    set_state(&mut fleet, WorkerState::Ready);
    assert_eq!(fleet.advance(300), []);
    assert_eq!(fleet.advance(800).len(), 1);
}

/// Guards against an idle job that starts at full speed beside a latency-critical task that is close
/// to its target.
#[test]
fn idle_job_starts_at_a_tolerable_speed() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut critical = step(1, &[]);
    critical.is_service = true;
    critical.latency_target = Some(Millis(50));
    critical.image = Some("planner".into());
    fleet.submit(JOB, rule(2), job(vec![critical]));
    fleet.step(vec![]);
    let critical_run = fleet.take_started(1)[0];
    let mut orders = Vec::new();
    for report_number in 0..MAX_IDLE_MS * 2 / 400 {
        let running = vec![RunStatus {
            measurement: 40,
            ..run_status(critical_run)
        }];
        let report = Report {
            running: Some(running),
            ..Report::default()
        };
        fleet.report(1, report);
        fleet.advance(400, &[1]);
        if report_number == 2 {
            let mut idle = best_effort(1, 2_000, 100);
            idle.image = Some("route".into());
            fleet.submit(IDLE_JOB, rule(2), job(vec![idle]));
        }
        orders.extend(fleet.orders.remove(&1).unwrap_or_default());
    }
    assert!(matches!(&orders[0], Order::Start(start) if start.run.task.job == IDLE_JOB));
    assert!(
        matches!(&orders[1], Order::Pace(run, 1..50) if run.task.job == IDLE_JOB),
        "{orders:?}"
    );
}

/// Guards against an idle job that gets one task of each of its steps instead of one.
#[test]
fn idle_job_gets_one_task_for_all_of_its_steps() {
    let mut fleet = overcommitted_fleet();
    let steps = vec![best_effort(2, 2_000, 100), best_effort(2, 2_000, 100)];
    fleet.fleet.submit(IDLE_JOB, rule(2), job(steps));
    assert_eq!(fleet.advance(MAX_IDLE_MS).len(), 1);
}

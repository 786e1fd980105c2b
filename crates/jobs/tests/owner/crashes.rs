//! Tasks under which workers crash.

use std::collections::BTreeMap;

use hyssop_jobs::{
    EndKind, Input, JobId, JobState, OccurrenceProgress, Report, RunEnd, RunId, RunStatus,
    StepSpec, TaskId, WorkerInfo, WorkerState,
};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

/// Job that runs beside the one under test.
const OTHER: JobId = JobId(0xbb);
/// Time within which a ready task has to start while there is room, in milliseconds.
const MAX_IDLE_MS: u64 = 3_000;

fn crash_report() -> Report {
    Report {
        is_dead: true,
        has_crashed: true,
        ..Report::default()
    }
}

fn list_report(runs: &[RunId]) -> Report {
    Report {
        running: Some(runs.iter().map(|&run| run_status(run)).collect()),
        ..Report::default()
    }
}

/// Returns a fleet with workers `i-1` to `i-<count>`, whose sessions have the same numbers.
fn fleet_with_workers(count: u64) -> Fleet {
    let mut fleet = Fleet::new();
    for session in 1..=count {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    fleet
}

/// Lets the workers of these sessions list no runs, and returns the first start that is ordered
/// within `millis`, with its session.
fn next_start(fleet: &mut Fleet, sessions: &[u64], millis: u64) -> Option<(u64, RunId)> {
    for _ in 0..millis.div_ceil(100) {
        for &session in sessions {
            if let Some(&run) = fleet.take_started(session).first() {
                return Some((session, run));
            }
            fleet.report(session, list_report(&[]));
        }
        fleet.advance(100, sessions);
    }
    None
}

/// Lets the workers of these sessions crash one after the other under the only run. Returns the
/// number of starts.
fn crash_each(fleet: &mut Fleet, sessions: &[u64]) -> usize {
    let mut alive = sessions.to_vec();
    let mut starts = 0;
    while let Some((session, _)) = next_start(fleet, &alive, MAX_IDLE_MS) {
        starts += 1;
        fleet.advance(100, &alive);
        fleet.report(session, crash_report());
        alive.retain(|&other| other != session);
    }
    starts
}

/// Guards against a task that crashes every worker that starts it and is started again without end.
#[test]
fn task_that_crashes_every_worker_is_given_up() {
    let mut fleet = fleet_with_workers(9);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let starts = crash_each(&mut fleet, &[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    assert!((2..=3).contains(&starts), "{starts} starts");
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against crashes that are seen only by the next process at the worker's address, with the
/// same or another identifier, and do not count.
#[test]
fn later_process_at_the_address_shows_a_crash() {
    let mut fleet = fleet_with_workers(1);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut session = 1;
    let mut starts = 0;
    while let Some((_, run)) = next_start(&mut fleet, &[session], MAX_IDLE_MS) {
        starts += 1;
        assert!(starts < 9, "{run} is started again");
        fleet.report(session, list_report(&[run]));
        session += 1;
        let id = if starts % 2 == 0 { "i-1" } else { "i-2" };
        let mut info = worker(id, session);
        info.address = "i-1:8080".into();
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    assert!((2..=3).contains(&starts), "{starts} starts");
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against a later owner that counts the crashes anew, so that every owner lets a task crash
/// as many workers.
#[test]
fn later_owner_knows_the_crashes() {
    let mut fleet = fleet_with_workers(1);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 1);
    fleet.report(1, crash_report());
    fleet.advance(300, &[]);
    let mut next = fleet.successor(2);
    for session in 2..=6 {
        let info = worker(&format!("i-{session}"), 1);
        next.connect(session, info, complete_report(vec![], vec![]));
    }
    let starts = crash_each(&mut next, &[2, 3, 4, 5, 6]);
    assert_eq!(starts, 1);
    assert_eq!(next.state(JOB), Some(JobState::Failed));
}

/// Guards against stored progress of an earlier version that cannot be read.
#[test]
fn progress_without_crashes_is_read() {
    let text = r#"{"number":0,"done":[[0]],"fails":[],"saved":[]}"#;
    let progress: OccurrenceProgress = serde_json::from_str(text).unwrap();
    assert_eq!(progress.crashed_runs, vec![]);
}

/// Ends workers under the only run, in a way that is no crash, and checks that the job goes on.
fn check_not_counted(mut end: impl FnMut(&mut Fleet, u64)) {
    let mut fleet = fleet_with_workers(8);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut alive: Vec<u64> = (1..=8).collect();
    for _ in 0..7 {
        let started = next_start(&mut fleet, &alive, MAX_IDLE_MS);
        let Some((session, _)) = started else {
            panic!("not started, state {:?}", fleet.state(JOB));
        };
        fleet.advance(100, &alive);
        alive.retain(|&other| other != session);
        end(&mut fleet, session);
    }
    assert!(next_start(&mut fleet, &alive, MAX_IDLE_MS).is_some());
    let is_counted = |line: &String| line.contains("crashed with worker");
    assert!(!fleet.logs.iter().any(is_counted), "{:?}", fleet.logs);
}

/// Guards against a planned end of a worker, or one of which the agent knows no cause, that counts
/// as a crash.
#[test]
fn deregistered_worker_is_no_crash() {
    check_not_counted(|fleet, session| {
        let report = Report {
            is_dead: true,
            ..Report::default()
        };
        fleet.report(session, report);
    });
}

/// Guards against a draining worker that ends as planned and counts as crashed.
#[test]
fn draining_worker_is_no_crash() {
    check_not_counted(|fleet, session| {
        let mut info = worker(&format!("i-{session}"), 1);
        info.state = WorkerState::Draining;
        fleet.step(vec![Input::WorkerChanged {
            session,
            worker: info,
        }]);
        fleet.report(session, crash_report());
    });
}

/// Guards against a worker that does not respond and counts as crashed when its lease has ended.
#[test]
fn expired_lease_is_no_crash() {
    let mut fleet = fleet_with_workers(3);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    for session in 1..=2 {
        let started = next_start(&mut fleet, &[1, 2, 3], MAX_IDLE_MS);
        let Some((silent, _)) = started else {
            panic!("not started in round {session}");
        };
        let alive: Vec<u64> = (1..=3).filter(|&other| other != silent).collect();
        fleet.advance(5_000, &alive);
        let info = worker(&format!("i-{silent}"), 1);
        fleet.connect(silent, info, complete_report(vec![], vec![]));
    }
    assert!(!matches!(fleet.state(JOB), Some(JobState::Failed)));
    let is_counted = |line: &String| line.contains("crashed with worker");
    assert!(!fleet.logs.iter().any(is_counted), "{:?}", fleet.logs);
}

fn service_step() -> StepSpec {
    StepSpec {
        is_service: true,
        max_unavailable: Some(1),
        ..step(1, &[])
    }
}

/// Guards against crashes that a service task collects over its long life, although others cause
/// them.
#[test]
fn service_task_that_has_run_for_long_is_not_blamed() {
    let mut fleet = fleet_with_workers(6);
    fleet.submit(JOB, rule(5), job(vec![service_step()]));
    let mut alive: Vec<u64> = (1..=6).collect();
    for _ in 0..5 {
        let (session, run) = next_start(&mut fleet, &alive, MAX_IDLE_MS).expect("start");
        for _ in 0..26 {
            fleet.report(session, list_report(&[run]));
            fleet.advance(400, &alive);
        }
        fleet.report(session, crash_report());
        alive.retain(|&other| other != session);
    }
    assert!(next_start(&mut fleet, &alive, MAX_IDLE_MS).is_some());
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
}

/// Guards against a service task that crashes workers soon after each start and is started without
/// end, because service tasks have no limit on their failures.
#[test]
fn service_task_that_crashes_workers_is_given_up() {
    let mut fleet = fleet_with_workers(9);
    fleet.submit(JOB, rule(5), job(vec![service_step()]));
    let starts = crash_each(&mut fleet, &[1, 2, 3, 4, 5, 6, 7, 8, 9]);
    assert!((2..=3).contains(&starts), "{starts} starts");
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against a gang that crashes workers and is started without end.
#[test]
fn gang_that_crashes_workers_is_given_up() {
    let mut fleet = fleet_with_workers(12);
    let gang = StepSpec {
        is_gang: true,
        max_per_worker: 1,
        ..step(2, &[])
    };
    fleet.submit(JOB, rule(5), job(vec![gang]));
    let mut alive: Vec<u64> = (1..=12).collect();
    let mut starts = 0;
    while let Some((session, run)) = next_start(&mut fleet, &alive, MAX_IDLE_MS) {
        starts += 1;
        alive.retain(|&other| other != session);
        fleet.advance(100, &alive);
        fleet.report(session, crash_report());
        // The other member has started, too, and breaks.
        let mut others = alive.iter().copied();
        let other = others.find_map(|other| Some((other, *fleet.take_started(other).first()?)));
        if let Some((other, run)) = other {
            let number = starts as u64;
            fleet.report(
                other,
                ends_report(vec![run_end(number, run, EndKind::GangBroken)]),
            );
        }
        assert!(starts < 9, "{run} is started again");
    }
    assert!((2..=3).contains(&starts), "{starts} starts");
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against a task that crashes its worker two seconds after the start, when nothing tells it
/// from others, and is started without end.
#[test]
fn task_that_crashes_workers_late_is_given_up() {
    let mut fleet = fleet_with_workers(9);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut alive: Vec<u64> = (1..=9).collect();
    let mut starts = 0;
    while let Some((session, run)) = next_start(&mut fleet, &alive, MAX_IDLE_MS) {
        starts += 1;
        for _ in 0..5 {
            fleet.report(session, list_report(&[run]));
            fleet.advance(400, &alive);
        }
        fleet.report(session, crash_report());
        alive.retain(|&other| other != session);
        assert!(starts < 9, "{run} is started again");
    }
    assert_eq!(starts, 3);
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against an innocent task that is given up because its rack was lost: it starts again on a
/// worker that has been lost, too, and whose agent has not noticed yet.
#[test]
fn task_is_not_blamed_for_workers_lost_at_the_same_time() {
    let mut fleet = fleet_with_workers(6);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let all: Vec<u64> = (1..=6).collect();
    let (first, _) = next_start(&mut fleet, &all, MAX_IDLE_MS).expect("start");
    // Five workers are lost; their agents notice it 50 ms one after the other.
    for session in [first].into_iter().chain(all.iter().copied()) {
        if session != 6 || first == 6 {
            fleet.report(session, crash_report());
            fleet.now += 50;
            fleet.step(vec![Input::OwnershipRenewed(hyssop_core::Millis(
                fleet.now,
            ))]);
        }
    }
    assert!(!matches!(fleet.state(JOB), Some(JobState::Failed)));
}

/// Guards against a probation that keeps other tasks from a worker for longer than its bound, when
/// the worker lists nothing.
#[test]
fn probation_does_not_block_others_for_long() {
    let mut fleet = fleet_with_workers(2);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let (session, _) = next_start(&mut fleet, &[1, 2], MAX_IDLE_MS).expect("start");
    fleet.report(session, crash_report());
    let other = 3 - session;
    let (_, run) = next_start(&mut fleet, &[other], MAX_IDLE_MS).expect("start apart");
    fleet.submit(OTHER, rule(5), job(vec![step(1, &[])]));
    fleet.advance(300, &[other]);
    assert_eq!(fleet.take_started(other), vec![], "{run} is on probation");
    fleet.advance(900, &[other]);
    assert_eq!(fleet.take_started(other).len(), 1);
}

/// Guards against a suspect that waits without end for a worker of its own, because others start on
/// all workers all the time.
#[test]
fn suspect_starts_on_a_busy_worker_after_its_wait() {
    let mut fleet = fleet_with_workers(2);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let (session, _) = next_start(&mut fleet, &[1, 2], MAX_IDLE_MS).expect("start");
    fleet.report(session, crash_report());
    let other = 3 - session;
    // The worker lists nothing, so that it is never known to be free of others.
    for number in 0..30 {
        fleet.submit(JobId(0x100 + number), rule(5), job(vec![step(1, &[])]));
        fleet.advance(100, &[other]);
    }
    let started = fleet.take_started(other);
    assert!(started.iter().any(|run| run.task.job == JOB), "{started:?}");
}

/// Interval at which the workers of a simulated fleet list their runs, in milliseconds.
const LIST_INTERVAL_MS: u64 = 400;

/// Worker of a simulated fleet.
struct SimWorker {
    session: u64,
    info: WorkerInfo,
    /// Runs with the times of their starts.
    runs: BTreeMap<RunId, u64>,
    ends: Vec<RunEnd>,
    end_count: u64,
    listed_at: u64,
    /// When the process crashed, until the next one has started.
    crashed_at: Option<u64>,
    is_crash_reported: bool,
}

/// Fleet whose workers run, crash and return over time.
struct Sim {
    fleet: Fleet,
    workers: Vec<SimWorker>,
    next_session: u64,
    /// Times after the start at which the tasks of these jobs crash their worker.
    crashing: BTreeMap<JobId, u64>,
    /// Workers that have crashed under a task, and starts since the third of them.
    crashes: BTreeMap<TaskId, (u32, u32)>,
    run_ms: u64,
}

impl Sim {
    const STEP_MS: u64 = 20;

    fn new(count: u64, crashing: BTreeMap<JobId, u64>, run_ms: u64) -> Self {
        let fleet = fleet_with_workers(count);
        let workers = (1..=count).map(|session| SimWorker {
            session,
            info: worker(&format!("i-{session}"), 1),
            runs: BTreeMap::new(),
            ends: Vec::new(),
            end_count: 0,
            listed_at: session * 40,
            crashed_at: None,
            is_crash_reported: false,
        });
        Self {
            fleet,
            workers: workers.collect(),
            next_session: count + 1,
            crashing,
            crashes: BTreeMap::new(),
            run_ms,
        }
    }

    fn advance(&mut self, millis: u64) {
        let end = self.fleet.now + millis;
        while self.fleet.now < end {
            self.fleet.now += Self::STEP_MS - 1;
            for worker in self.workers.iter().filter(|w| w.crashed_at.is_none()) {
                let now = hyssop_core::Millis(self.fleet.now);
                self.fleet.owner.renew_lease(now, worker.session);
            }
            let renewed = Input::OwnershipRenewed(hyssop_core::Millis(self.fleet.now));
            self.fleet.step(vec![renewed]);
            for index in 0..self.workers.len() {
                self.work(index);
            }
        }
    }

    fn work(&mut self, index: usize) {
        let now = self.fleet.now;
        let worker = &mut self.workers[index];
        if let Some(at) = worker.crashed_at {
            if now >= at + 160 && !worker.is_crash_reported {
                worker.is_crash_reported = true;
                self.fleet.report(worker.session, crash_report());
            } else if now >= at + 3_000 {
                self.restart(index);
            }
            return;
        }
        for run in self.fleet.take_started(worker.session) {
            worker.runs.insert(run, now);
            if let Some((count, starts)) = self.crashes.get_mut(&run.task)
                && *count >= 3
            {
                *starts += 1;
            }
        }
        let crashing = &self.crashing;
        let is_due = |run: &RunId, at: u64| crashing.get(&run.task.job).map(|ms| now >= at + ms);
        if worker
            .runs
            .iter()
            .any(|(run, &at)| is_due(run, at) == Some(true))
        {
            for run in worker.runs.keys() {
                let (count, _) = self.crashes.entry(run.task).or_default();
                *count += 1;
            }
            worker.runs.clear();
            worker.crashed_at = Some(now);
            return;
        }
        let runs = std::mem::take(&mut worker.runs);
        let is_done = |run: &RunId, at: u64| is_due(run, at).is_none() && now >= at + self.run_ms;
        for (run, at) in runs {
            if is_done(&run, at) {
                worker.end_count += 1;
                worker
                    .ends
                    .push(run_end(worker.end_count, run, EndKind::Done));
            } else {
                worker.runs.insert(run, at);
            }
        }
        let acknowledged = self.fleet.acknowledged_ends.get(&worker.session);
        let acknowledged = acknowledged.copied().unwrap_or(0);
        worker.ends.retain(|end| end.number > acknowledged);
        let is_list_due = now >= worker.listed_at + LIST_INTERVAL_MS;
        if is_list_due {
            worker.listed_at = now;
        }
        if is_list_due || !worker.ends.is_empty() {
            let runs: Vec<RunStatus> = worker.runs.keys().map(|&run| run_status(run)).collect();
            let report = Report {
                running: is_list_due.then_some(runs),
                ended: worker.ends.clone(),
                ..Report::default()
            };
            self.fleet.report(worker.session, report);
        }
    }

    /// Starts another process at the address of one that has crashed.
    fn restart(&mut self, index: usize) {
        let now = self.fleet.now;
        let worker = &mut self.workers[index];
        worker.session = self.next_session;
        self.next_session += 1;
        worker.info.incarnation = now;
        worker.info.id = format!("n-{}", worker.session).into();
        worker.crashed_at = None;
        worker.is_crash_reported = false;
        worker.ends.clear();
        worker.end_count = 0;
        let info = worker.info.clone();
        let session = worker.session;
        self.fleet
            .connect(session, info, complete_report(vec![], vec![]));
    }

    /// Returns the jobs that have not ended as expected.
    fn unexpected(&mut self, jobs: impl Iterator<Item = JobId>) -> Vec<(JobId, Option<JobState>)> {
        let jobs: Vec<JobId> = jobs.collect();
        let ended = jobs.into_iter().filter_map(|id| {
            let expected = match self.crashing.contains_key(&id) {
                true => JobState::Failed,
                false => JobState::Complete,
            };
            let state = self.fleet.state(id);
            (state != Some(expected)).then_some((id, state))
        });
        ended.collect()
    }

    fn max_starts_after_third_crash(&self) -> u32 {
        let crashes = self.crashes.iter();
        let crashing = crashes.filter(|(task, _)| self.crashing.contains_key(&task.job));
        let starts = crashing.map(|(_, &(_, starts))| starts);
        starts.max().unwrap_or(0)
    }
}

/// Guards against innocent tasks that are given up, or never end, because they ran beside one that
/// crashes its workers.
#[test]
fn tasks_beside_a_crashing_one_complete() {
    let mut sim = Sim::new(6, [(JOB, 60)].into(), 1_500);
    for id in 1..=12 {
        sim.fleet
            .submit(JobId(id), rule(2), job(vec![step(6, &[])]));
    }
    sim.fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    sim.advance(8_000);
    let jobs = (1..=12).map(JobId).chain([JOB]);
    assert_eq!(sim.unexpected(jobs), vec![]);
    let workers = sim.fleet.logs.iter();
    let crashes = workers.filter(|line| line.contains("crashed=true")).count();
    assert!((2..=3).contains(&crashes), "{crashes} workers crashed");
}

/// Guards against many crashing jobs at once that take innocent ones with them: their tasks crash
/// workers together with those of others, and all are suspects.
#[test]
fn ten_crashing_jobs_fail_and_all_others_complete() {
    let crashing = (0..10).map(|n| (JobId(0x100 + n), 20 + 8 * n)).collect();
    let mut sim = Sim::new(11, crashing, 900);
    let mut submitted = Vec::new();
    for round in 0..30_u64 {
        let id = JobId(round + 1);
        sim.fleet.submit(id, rule(2), job(vec![step(9, &[])]));
        submitted.push(id);
        if round % 3 == 1 {
            let id = JobId(0x100 + round / 3);
            sim.fleet.submit(id, rule(2), job(vec![step(1, &[])]));
            submitted.push(id);
        }
        sim.advance(200);
    }
    sim.advance(20_000);
    assert_eq!(sim.unexpected(submitted.into_iter()), vec![]);
    assert!(sim.max_starts_after_third_crash() < 3);
}

/// Guards against the same when all of them arrive at once.
#[test]
fn crashing_jobs_that_arrive_together_fail_and_all_others_complete() {
    let crashing = (0..10).map(|n| (JobId(0x100 + n), 20 + 8 * n)).collect();
    let mut sim = Sim::new(11, crashing, 900);
    let mut submitted = Vec::new();
    for n in 0..10 {
        for id in [JobId(n + 1), JobId(0x100 + n), JobId(n + 20)] {
            let count = if id.0 < 0x100 { 9 } else { 1 };
            sim.fleet.submit(id, rule(2), job(vec![step(count, &[])]));
            submitted.push(id);
        }
    }
    sim.advance(25_000);
    assert_eq!(sim.unexpected(submitted.into_iter()), vec![]);
    assert!(sim.max_starts_after_third_crash() < 3);
}

/// Guards against a job that is reported as failed although only one worker has crashed under it: the
/// start on the other one had not reached it.
#[test]
fn start_that_has_not_reached_its_worker_is_not_blamed() {
    let mut fleet = fleet_with_workers(5);
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    let mut alive = vec![1, 2, 3, 4, 5];
    let mut reached = 0;
    for crash in 0..4 {
        let Some((session, run)) = next_start(&mut fleet, &alive, MAX_IDLE_MS) else {
            break;
        };
        // The first start is refused, the second one is not answered, the others are confirmed.
        let crashed_runs = match crash {
            0 => vec![],
            1 => vec![(run, false)],
            _ => vec![(run, true)],
        };
        reached += usize::from(crash > 0);
        fleet.report(
            session,
            Report {
                crashed_runs: Some(crashed_runs),
                ..crash_report()
            },
        );
        alive.retain(|&other| other != session);
        let is_failed = fleet.state(JOB) == Some(JobState::Failed);
        assert!(!is_failed || reached >= 2, "failed after {reached}");
    }
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Returns how many runs of a job these sessions were ordered to start since the last call.
fn take_starts_of(fleet: &mut Fleet, sessions: &[u64], id: JobId) -> usize {
    let started = sessions.iter().flat_map(|&s| fleet.take_started(s));
    started.filter(|run| run.task.job == id).count()
}

/// Guards against a job of which all tasks crash workers, and of which each task takes a worker of
/// its own down before one of them is given up.
#[test]
fn tasks_of_a_crashing_job_start_again_one_at_a_time() {
    let mut sim = Sim::new(11, [(JOB, 60)].into(), 900);
    sim.fleet.submit(JOB, rule(5), job(vec![step(6, &[])]));
    sim.advance(100);
    let first_wave = sim.workers.iter().filter(|w| w.crashed_at.is_some());
    let first_wave = first_wave.count();
    sim.advance(20_000);
    assert_eq!(sim.unexpected([JOB].into_iter()), vec![]);
    let workers = sim.fleet.logs.iter();
    let crashes = workers.filter(|line| line.contains("crashed=true")).count();
    assert_eq!(
        crashes,
        first_wave + 1,
        "after {first_wave} in the first wave"
    );
}

/// Guards against innocent tasks that wait one after the other although one run of their step has
/// shown that the step does not crash its workers.
#[test]
fn tasks_of_an_innocent_job_start_together_once_one_has_settled() {
    let mut fleet = fleet_with_workers(4);
    let spread = StepSpec {
        max_per_worker: 1,
        ..step(4, &[])
    };
    fleet.submit(JOB, rule(5), job(vec![spread]));
    fleet.step(vec![]);
    for session in 1..=4 {
        assert_eq!(fleet.take_started(session).len(), 1);
        fleet.report(session, crash_report());
    }
    let sessions = [11, 12, 13, 14];
    for session in sessions {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
    }
    let (first, run) = next_start(&mut fleet, &sessions, MAX_IDLE_MS).expect("start");
    fleet.advance(200, &sessions);
    assert_eq!(take_starts_of(&mut fleet, &sessions, JOB), 0);
    fleet.advance(400, &sessions);
    fleet.report(first, list_report(&[run]));
    let mut started = 0;
    for _ in 0..3 {
        for session in sessions.into_iter().filter(|&session| session != first) {
            fleet.report(session, list_report(&[]));
        }
        fleet.advance(50, &sessions);
        started += take_starts_of(&mut fleet, &sessions, JOB);
    }
    assert_eq!(started, 3);
}

/// Lets two workers crash under the tasks of two jobs, and a third under the task of [`JOB`] alone,
/// which shows it to be the cause. The fleet has no workers after that.
fn crash_beside_the_cause(innocent: JobId) -> Fleet {
    let mut fleet = fleet_with_workers(1);
    for id in [JOB, innocent] {
        fleet.submit(id, rule(5), job(vec![step(1, &[])]));
    }
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 2);
    fleet.report(1, crash_report());
    for session in 2..=3 {
        let info = worker(&format!("i-{session}"), 1);
        fleet.connect(session, info, complete_report(vec![], vec![]));
        fleet.advance(100, &[session]);
        assert_eq!(take_starts_of(&mut fleet, &[session], JOB), 1);
        fleet.report(session, crash_report());
    }
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
    fleet
}

/// Checks that the task of a job starts on a new worker, and another one beside it at once.
fn check_not_apart(fleet: &mut Fleet, innocent: JobId) {
    let info = worker("i-9", 1);
    fleet.connect(9, info, complete_report(vec![], vec![]));
    fleet.advance(100, &[9]);
    assert_eq!(take_starts_of(fleet, &[9], innocent), 1);
    fleet.submit(OTHER, rule(5), job(vec![step(1, &[])]));
    fleet.advance(100, &[9]);
    assert_eq!(take_starts_of(fleet, &[9], OTHER), 1);
}

/// Guards against tasks that go on counting as suspects, and take workers from others, because of
/// crashes of which another task has been shown to be the cause.
#[test]
fn crash_is_taken_back_once_its_cause_is_known() {
    let innocent = JobId(0xfff);
    let mut fleet = crash_beside_the_cause(innocent);
    check_not_apart(&mut fleet, innocent);
}

/// Guards against a later owner that does not know that such a crash was taken back.
#[test]
fn later_owner_knows_that_a_crash_was_taken_back() {
    let innocent = JobId(0xfff);
    let mut fleet = crash_beside_the_cause(innocent);
    fleet.advance(300, &[]);
    let mut next = fleet.successor(2);
    next.advance(300, &[]);
    check_not_apart(&mut next, innocent);
}

/// Guards against a task that is given up because of another one that has waited for long and joins
/// it on its worker, although it would be given up after one more crash.
#[test]
fn nothing_joins_a_task_that_may_be_given_up() {
    let mut fleet = Fleet::new();
    fleet.submit(JOB, rule(5), job(vec![step(1, &[])]));
    // Nothing lists the runs, so that none of these crashes is certain.
    for session in 1..=4 {
        let mut info = worker(&format!("i-{session}"), session);
        info.address = "i-1:8080".into();
        if session == 4 {
            info.labels.push("b".into());
        }
        fleet.connect(session, info, complete_report(vec![], vec![]));
        if session < 4 {
            let started = next_start(&mut fleet, &[session], MAX_IDLE_MS);
            assert!(started.is_some(), "start {session}");
        }
        if session == 3 {
            let labelled = StepSpec {
                label: Some("b".into()),
                ..step(1, &[])
            };
            fleet.submit(OTHER, rule(5), job(vec![labelled]));
            fleet.advance(3_000, &[3]);
        }
    }
    fleet.step(vec![]);
    let started = fleet.take_started(4);
    assert_eq!(started.len(), 1, "{started:?}");
    let run = started[0];
    assert_eq!(run.task.job, JOB);
    fleet.advance(600, &[4]);
    assert_eq!(fleet.take_started(4), vec![]);
    fleet.report(4, list_report(&[run]));
    fleet.advance(100, &[4]);
    assert_eq!(take_starts_of(&mut fleet, &[4], OTHER), 1);
}

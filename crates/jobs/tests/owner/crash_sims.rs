//! Crashing tasks in simulated fleets, whose workers run, crash and return over time.

use std::collections::BTreeMap;

use hyssop_jobs::{
    EndKind, Input, JobId, JobState, Report, RunEnd, RunId, RunStatus, TaskId, WorkerInfo,
};

use crate::crashes::{crash_report, fleet_with_workers};
use crate::support::{Fleet, JOB, complete_report, job, rule, run_end, run_status, step, worker};

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

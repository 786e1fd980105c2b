//! More work than the workers can run: who waits, and for how long.

use hyssop_jobs::{EndKind, JobId, Resources, RunId, RunStatus, StepSpec};

use crate::support::{Fleet, complete_report, ends_report, job, rule, run_end, step, worker};

/// Running time of a task, in milliseconds.
const TASK_MS: u64 = 500;

fn half_worker(count: u32) -> StepSpec {
    let mut step = step(count, &[]);
    step.resources = Resources {
        cpu: 8_000,
        mem: 100,
        gpu: 0,
    };
    step
}

/// One worker with room for two tasks, on which every task ends on time.
struct Overload {
    fleet: Fleet,
    running: Vec<(RunId, u64)>,
    ends: u64,
    /// Jobs in the order of their first starts, with the time.
    started: Vec<(JobId, u64)>,
}

impl Overload {
    fn new() -> Self {
        let mut fleet = Fleet::new();
        fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
        Self {
            fleet,
            running: Vec::new(),
            ends: 0,
            started: Vec::new(),
        }
    }

    fn submit(&mut self, id: u64, tasks: u32) {
        let spec = job(vec![half_worker(tasks)]);
        self.fleet.submit(JobId(id), rule(2), spec);
    }

    /// Advances by 100 ms: ends the tasks that are due and takes the starts.
    fn advance(&mut self) {
        let now = self.fleet.now;
        let (due, running): (Vec<_>, Vec<_>) = std::mem::take(&mut self.running)
            .into_iter()
            .partition(|&(_, end)| end <= now);
        self.running = running;
        let mut ends = Vec::new();
        for (run, _) in due {
            self.ends += 1;
            ends.push(run_end(self.ends, run, EndKind::Done));
        }
        self.fleet.report(1, ends_report(ends));
        for run in self.fleet.take_started(1) {
            self.running.push((run, now + TASK_MS));
            if !self.started.iter().any(|(id, _)| *id == run.task.job) {
                self.started.push((run.task.job, now));
            }
        }
        let statuses = self.running.iter().map(|&(run, end)| RunStatus {
            run,
            checkpoint: None,
            percent_done: (100 - (end.saturating_sub(now) * 100 / TASK_MS)).min(99) as u32,
            measurement: 0,
        });
        let report = complete_report(statuses.collect(), vec![]);
        self.fleet.report(1, report);
        self.fleet.advance(100, &[1]);
    }

    fn started_at(&self, id: u64) -> Option<u64> {
        let found = self.started.iter().find(|(job, _)| *job == JobId(id));
        found.map(|&(_, at)| at)
    }
}

/// Pattern: a burst, then a steady load that fills the worker. Guards against jobs of the burst that
/// never start because every later job can still be in time and goes first.
#[test]
fn late_jobs_start_although_newer_ones_fill_the_worker() {
    let mut overload = Overload::new();
    for id in 1..=12 {
        overload.submit(id, 2);
    }
    let from = overload.fleet.now;
    for round in 0..1_000_u64 {
        if round % 5 == 0 {
            // Two tasks each 500 ms: all that the worker can run.
            overload.submit(100 + round, 2);
        }
        overload.advance();
    }
    for id in 1..=12 {
        let started_at = overload.started_at(id);
        let waited = started_at.map(|at| at - from);
        // Each of the twelve waits for a turn at most, which comes after twelve others of 0.6 s.
        let limit = id * 13 * 600 + 2_000;
        assert!(
            waited.is_some_and(|waited| waited < limit),
            "job {id}: {waited:?}"
        );
    }
}

/// Guards against late jobs that take all of the worker, so that every later job becomes late too.
#[test]
fn late_jobs_leave_room_for_jobs_that_can_be_in_time() {
    let mut overload = Overload::new();
    for id in 1..=12 {
        overload.submit(id, 2);
    }
    let mut in_time = 0;
    for round in 0..150_u64 {
        if round % 10 == 0 {
            overload.submit(100 + round, 2);
        }
        overload.advance();
    }
    for round in (50..150).step_by(10) {
        let submitted_at = 10_000 + round * 100;
        let started_at = overload.started_at(100 + round);
        in_time += u32::from(started_at.is_some_and(|at| at < submitted_at + 2_000));
    }
    assert!(in_time >= 5, "{in_time} of 10 started within 2 s");
}

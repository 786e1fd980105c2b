//! Progress of runs, and migration of stuck and slow ones.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::RunId;
use crate::accounts::LossCause;
use crate::io::RunStatus;
use crate::limits::{
    SLOW_WORKER_SPEED, STUCK_ESTIMATE_PERCENT, STUCK_TIMEOUT, STUCK_WORKER_BACKOFF,
};
use crate::owners::Owner;
use crate::workers::{Worker, WorkerRun, percent_of};

/// Time that a migration takes in addition to the work: a stop, a start, and resuming from a
/// checkpoint.
const MIGRATION_COST: Millis = Millis(800);

impl Owner {
    /// Applies the reported progress of a worker's runs. Migrates runs that are stuck or that
    /// another worker would complete much sooner.
    pub(crate) fn check_progress(&mut self, id: &Arc<str>, statuses: &[RunStatus]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        // Canaries are paused, which tells nothing of the worker's speed.
        let end_lists = worker.end_lists;
        let is_canary = |worker_run: &WorkerRun| end_lists.makes_canary(worker_run.is_service);
        for status in statuses {
            let Some(worker_run) = worker.runs.get_mut(&status.run) else {
                continue;
            };
            if is_canary(worker_run) {
                worker_run.is_listed = true;
                continue;
            }
            let is_new = !worker_run.is_listed;
            let sample = worker_run.update_progress(now, status);
            if is_new {
                worker.record_start();
            }
            if let Some(sample) = sample {
                worker.update_speed(now, sample);
            }
        }
        worker.update_loads();
        let stuck: Vec<RunId> = matching_runs(worker, |worker_run| {
            !is_canary(worker_run) && worker_run.is_stuck(now)
        });
        let speed = worker.relative_speed(now);
        let slow = match speed < SLOW_WORKER_SPEED {
            true => matching_runs(worker, |worker_run| {
                !is_canary(worker_run) && worker_run.is_worth_migrating(speed)
            }),
            false => Vec::new(),
        };
        if !stuck.is_empty() {
            worker.suspect_until = worker.suspect_until.max(now + STUCK_WORKER_BACKOFF);
        }
        for run in stuck {
            self.log(format!("run {run} on {id} makes no progress: migrating"));
            self.migrate_run(id, run);
        }
        for run in slow {
            self.log(format!(
                "run {run} on {id} is slow, speed={speed:.2}: migrating"
            ));
            self.migrate_run(id, run);
        }
    }

    /// Stops a run so that its task starts again, preferably on another worker.
    fn migrate_run(&mut self, id: &Arc<str>, run: RunId) {
        if let Some(job) = self.jobs.get_mut(run.task.job)
            && let Some(task) = job.task_mut(run.task)
        {
            task.avoid(id);
        }
        self.stop_run(id, run, LossCause::Migrated);
    }
}

fn matching_runs(worker: &Worker, is_wanted: impl Fn(&WorkerRun) -> bool) -> Vec<RunId> {
    let runs = worker
        .runs
        .iter()
        .filter(|(_, worker_run)| !worker_run.is_stopping && is_wanted(worker_run));
    runs.map(|(&run, _)| run).collect()
}

impl WorkerRun {
    /// Applies the status of the run. Returns its speed as a share of the expected speed, if it
    /// made progress and its processors are reserved.
    fn update_progress(&mut self, now: Millis, status: &RunStatus) -> Option<f32> {
        self.is_listed = true;
        self.measurement = status.measurement;
        // A latency-critical task is active once its startup is complete.
        self.is_active = self.is_best_effort || status.percent_done == 100;
        if status.percent_done <= self.percent_done {
            return None;
        }
        let is_first = self.percent_done == 0;
        let share = (status.percent_done - self.percent_done) as f32 / 100.0;
        let time = now.since(self.progressed_at).0.max(1) as f32;
        self.percent_done = status.percent_done;
        self.progressed_at = now;
        let is_regular = !self.is_best_effort && !self.is_service;
        // The first progress value includes the startup time.
        (is_regular && !is_first).then_some(share * self.estimate.0 as f32 / time)
    }

    fn is_stuck(&self, now: Millis) -> bool {
        let allowed_time = STUCK_TIMEOUT + percent_of(self.estimate, STUCK_ESTIMATE_PERCENT);
        !self.is_service
            && self.speed_percent == 100
            && now.since(self.progressed_at) > allowed_time
    }

    /// Returns whether another worker would need less than half of the time that remains on this
    /// one.
    fn is_worth_migrating(&self, speed: f32) -> bool {
        if self.is_service || self.is_best_effort {
            return false;
        }
        let remaining_share = (100 - self.percent_done.min(100)) as f32 / 100.0;
        let time_here = remaining_share * self.estimate.0 as f32 / speed.max(0.01);
        let share = if self.has_checkpoints {
            remaining_share
        } else {
            1.0
        };
        let time_elsewhere = share * self.estimate.0 as f32 + MIGRATION_COST.0 as f32;
        time_here > 2.0 * time_elsewhere
    }
}

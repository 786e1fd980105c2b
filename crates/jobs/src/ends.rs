//! Ends of runs: what they change in the state of their tasks.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::RunId;
use crate::accounts::LossCause;
use crate::io::{EndKind, RunEnd};
use crate::limits::{MAX_SERVICE_FAILURE_RANGES, TASK_RETRY_DELAY};
use crate::occurrences::{Occurrence, Phase, Task};
use crate::owners::Owner;
use crate::workers::WorkerRun;

impl Owner {
    /// Applies the end of a run.
    pub(crate) fn handle_run_end(&mut self, id: &Arc<str>, end: &RunEnd) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if end.number <= worker.last_end {
            return;
        }
        worker.last_end = end.number;
        if worker
            .runs
            .get(&end.run)
            .is_some_and(|worker_run| worker_run.is_best_effort && worker_run.is_active)
        {
            worker.load_dropped_at = self.now;
        }
        self.late_starts.note_end(end.run);
        let ended = worker.remove_run(end.run);
        if ended.is_some() {
            worker.record_start();
        }
        if let Some(state) = &ended {
            self.pass_ended_run(end.run, state, end.kind);
        }
        if let Some(state) = &ended
            && let Some(cause) = loss_cause(end.kind, state)
        {
            self.account_for_loss(end.run, state, cause);
        }
        if self.hold_end(id, end) {
            return;
        }
        self.mark_started(end.run.task.job);
        self.open_occurrence_of(end.run.task);
        let is_current_run = self.is_current_run(id, end.run);
        if let (true, Some(job)) = (is_current_run, self.jobs.get_mut(end.run.task.job)) {
            job.note_listed(self.now, end.run.task);
        }
        match end.kind {
            // The failed run of a task counts as an attempt whether or not it was given up before, also
            // by an earlier owner.
            EndKind::Failed => self.fail_task(id, end, is_current_run),
            EndKind::Done if self.is_unfinished(end.run) => {
                // A run that was given up has done its work all the same. Its end is acknowledged and
                // never comes again, so it counts even while another run of the task is current.
                if !is_current_run {
                    self.log(format!(
                        "run {} on {id} was given up and has ended as done: its task is done",
                        end.run
                    ));
                }
                self.stop_repetitions(end.run);
                self.finish_task(id, end);
            }
            EndKind::Done if is_current_run => self.finish_task(id, end),
            EndKind::Stopped
            | EndKind::LeaseExpired
            | EndKind::GangBroken
            | EndKind::GangTimedOut
                if is_current_run =>
            {
                self.store_checkpoint(end, true);
                self.requeue_task(end.run, Millis(0));
            }
            _ => self.store_checkpoint(end, false),
        }
    }

    /// Returns whether the end of a run changes the state of its task: the task is assigned to that
    /// run, or was inherited and waits for the reports of workers.
    fn is_current_run(&self, id: &Arc<str>, run: RunId) -> bool {
        if self.jobs.worker_of_run(run) == Some(id) {
            return true;
        }
        let Some(job) = self.jobs.get(run.task.job) else {
            return false;
        };
        let task = job.task(run.task);
        let is_waiting = task.is_some_and(|task| task.phase == Phase::Waiting);
        job.is_inherited && is_waiting && !job.has_other_gang_run(run)
    }

    /// Returns whether the task of a run is to be done and is not. Service tasks are never done.
    pub(crate) fn is_unfinished(&self, run: RunId) -> bool {
        let job = self.jobs.get(run.task.job);
        let Some(job) = job.filter(|job| job.is_open()) else {
            return false;
        };
        let spec = job.spec.steps.get(usize::from(run.task.step));
        let task = job.task(run.task);
        spec.is_some_and(|spec| !spec.is_service)
            && task.is_some_and(|task| task.phase != Phase::Done)
    }

    /// Stops another run of a task that a run has done, with all members of its gang. They keep their
    /// resources until they have ended. Members of one gang have the same run number.
    fn stop_repetitions(&mut self, done: RunId) {
        let task = done.task;
        let Some(job) = self.jobs.get(task.job) else {
            return;
        };
        let is_gang = job.gang_of(task).is_some();
        let mut runs = job.assigned_step_runs(task.occurrence, task.step);
        runs.retain(|(_, run)| run.run != done.run && (is_gang || run.task == task));
        for (worker, run) in runs {
            self.log(format!(
                "run {run} on {worker} repeats what {done} has done"
            ));
            self.stop_run(&worker, run, LossCause::Repeated);
        }
    }

    /// Keeps the checkpoint that a run has left, so that the next run of its task resumes from it.
    pub(crate) fn store_checkpoint(&mut self, end: &RunEnd, is_current: bool) {
        let run = end.run;
        let Some(job) = self.jobs.get_mut(run.task.job) else {
            return;
        };
        let is_done = |task: &Task| task.phase == Phase::Done;
        if job.task(run.task).is_none_or(is_done) {
            return;
        }
        let step = job.step_mut(run.task);
        let task = step.and_then(|step| step.history_mut(run.task.index));
        if let (Some(task), Some(checkpoint)) = (task, &end.checkpoint) {
            task.save_checkpoint(run.run, checkpoint, is_current);
        }
        self.writes.mark_progress(self.now, run.task.job, false);
    }

    pub(crate) fn finish_task(&mut self, id: &Arc<str>, end: &RunEnd) {
        let now = self.now;
        self.record_outcome(id, end.run.task.job, false);
        let task = end.run.task;
        let Some(job) = self.jobs.get_mut(task.job) else {
            return;
        };
        if job.spec.steps[usize::from(task.step)].is_service {
            self.requeue_task(end.run, TASK_RETRY_DELAY);
            return;
        }
        job.finish_task(now, task);
        if job
            .occurrences
            .get(&task.occurrence)
            .is_some_and(Occurrence::is_complete)
        {
            job.occurrences.remove(&task.occurrence);
        }
        let is_job_over = job.ended_at.is_none() && job.reached_state().is_some();
        self.writes.mark_progress(now, task.job, false);
        if is_job_over {
            self.end_job(task.job);
        }
    }

    pub(crate) fn fail_task(&mut self, id: &Arc<str>, end: &RunEnd, is_current_run: bool) {
        let run = end.run;
        let job = self.jobs.get(run.task.job);
        let task = job.and_then(|job| job.task(run.task));
        // Another run has done the work.
        if task.is_some_and(|task| task.phase == Phase::Done) {
            return;
        }
        self.store_checkpoint(end, is_current_run);
        let Some(job) = self.jobs.get_mut(run.task.job) else {
            return;
        };
        let Some(spec) = job.spec.steps.get(usize::from(run.task.step)) else {
            return;
        };
        let is_service = spec.is_service;
        let attempts = job.rule.attempts;
        if let Some(task) = job.task_mut(run.task) {
            task.avoid(id);
        }
        let step = job.step_mut(run.task);
        let Some(history) = step.and_then(|step| step.history_mut(run.task.index)) else {
            return;
        };
        let is_known = !history.failed_runs.insert(run.run);
        if is_service {
            history.failed_runs.limit_ranges(MAX_SERVICE_FAILURE_RANGES);
        }
        let failed_runs = history.failed_runs.len();
        let is_job_over = !is_known
            && !is_service
            && failed_runs >= u64::from(attempts)
            && job.ended_at.is_none();
        job.is_failed |= is_job_over;
        if is_current_run {
            self.requeue_task(run, TASK_RETRY_DELAY);
        }
        if is_known {
            return;
        }
        self.log(format!(
            "run {run} failed on {id} fails={failed_runs} attempts={attempts}"
        ));
        self.record_outcome(id, run.task.job, true);
        if is_job_over {
            self.end_job(run.task.job);
        }
    }
}

/// Returns why a run ended without a result, or none if it has one.
fn loss_cause(kind: EndKind, state: &WorkerRun) -> Option<LossCause> {
    match kind {
        EndKind::Done => None,
        EndKind::Failed => Some(LossCause::Failed),
        EndKind::LeaseExpired => Some(LossCause::WorkerLost),
        EndKind::Stopped | EndKind::GangBroken | EndKind::GangTimedOut => {
            Some(state.stop_cause.unwrap_or(LossCause::Stopped))
        }
    }
}

//! Vacating of workers whose machines are about to go down.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use crate::accounts::LossCause;
use crate::owners::Owner;
use crate::workers::{Worker, WorkerRun};
use crate::{RunId, StepId};

/// Result of an attempt to vacate a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Vacancy {
    /// The machine may go down.
    Vacated,
    /// Tasks were stopped, or others are about to end by themselves.
    Pending,
    /// Service tasks must stay until others of their steps are active again.
    Stalled,
    /// More service tasks than their steps may miss fit on no other worker, so that nothing was
    /// stopped.
    Blocked,
}

impl Owner {
    /// Stops the tasks of a worker that can move. The machine may go down once no task there must
    /// keep running, and, before the timeout, none is about to end by itself.
    ///
    /// A service task is stopped if another worker can run it, or if the machine can go down right
    /// after. Others would stay away for as long as the rest of their step keeps the machine up.
    pub(crate) fn vacate(&mut self, id: &Arc<str>, is_wait_over: bool) -> Vacancy {
        // An earlier owner may have started tasks on the worker.
        if self.unconfirmed_workers.contains(id) {
            return Vacancy::Pending;
        }
        let Some(worker) = self.workers.get(id) else {
            // The machine may have got another worker since the machines were listed.
            return match is_wait_over {
                true => Vacancy::Vacated,
                false => Vacancy::Pending,
            };
        };
        if worker.session.is_some() && !worker.has_reported {
            return Vacancy::Pending;
        }
        let is_stopping_any = worker.runs.values().any(|run_entry| run_entry.is_stopping);
        let runs = worker
            .runs
            .iter()
            .filter(|(_, run_entry)| !run_entry.is_stopping);
        let mut services: BTreeMap<StepId, Vec<RunId>> = BTreeMap::new();
        let mut stopped = Vec::new();
        let mut may_end = false;
        for (&run, run_entry) in runs {
            if run_entry.is_service {
                services.entry(run.task.of_step()).or_default().push(run);
            } else if run_entry.has_checkpoints {
                stopped.push(run);
            } else {
                may_end = true;
            }
        }
        let movable = self.movable_runs(services.values().flatten().copied());
        let may_wait = may_end && !is_wait_over;
        let mut is_within_limits = true;
        let mut moved = Vec::new();
        for (&step, runs) in &services {
            let unavailable_count = self.unavailable_count(step);
            let limit = self.max_unavailable(step).unwrap_or(u32::MAX);
            let allowed = limit.saturating_sub(unavailable_count) as usize;
            let (movable, fixed): (Vec<RunId>, Vec<RunId>) =
                runs.iter().partition(|&run| movable.contains(run));
            if fixed.len() > allowed {
                return Vacancy::Blocked;
            }
            is_within_limits &= runs.len() <= allowed;
            moved.extend(movable.into_iter().take(allowed));
        }
        let services: Vec<RunId> = services.into_values().flatten().collect();
        let is_stalled = !services.is_empty() && !is_within_limits && moved.is_empty();
        stopped.extend(match is_within_limits && !may_wait {
            true => services,
            false => moved,
        });
        let has_stopped = !stopped.is_empty();
        for run in stopped {
            self.stop_run(id, run, LossCause::Stopped);
        }
        if is_stalled {
            Vacancy::Stalled
        } else if has_stopped || ((may_end || is_stopping_any) && !is_wait_over) {
            Vacancy::Pending
        } else {
            Vacancy::Vacated
        }
    }

    /// Returns those of the runs that another worker has capacity for now, beside the service tasks
    /// that are being moved already.
    fn movable_runs(&mut self, runs: impl Iterator<Item = RunId>) -> BTreeSet<RunId> {
        let vacating = self.workers.values().filter(|worker| worker.is_vacating);
        let vacating_runs = vacating.flat_map(|worker| &worker.runs);
        let moving = vacating_runs
            .filter(|(_, run_entry)| run_entry.is_service && run_entry.is_stopping)
            .map(|(&run, _)| run);
        let candidates: Vec<RunId> = moving.chain(runs).collect();
        let mut placed: BTreeMap<RunId, Arc<str>> = BTreeMap::new();
        for run in candidates {
            let Some(request) = self.placement_request(run.task, None) else {
                continue;
            };
            // Advice is only requested for tasks that wait, so that a ticket may be missing yet.
            let workers = self.workers.values();
            let fitting = workers
                .filter(|w| request.matches(w) && request.fits(w) && !w.runs.contains_key(&run));
            let Some(best) = fitting.max_by_key(|worker| request.score(worker)) else {
                continue;
            };
            let id = Arc::clone(&best.info.id);
            let run_entry = WorkerRun::new(self.now, request.spec());
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.add_run(run, run_entry);
            }
            placed.insert(run, id);
        }
        for (&run, id) in &placed {
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove_run(run);
            }
        }
        placed.into_keys().collect()
    }

    /// Returns the limit on unavailable tasks of a service step, if it has one.
    fn max_unavailable(&self, step: StepId) -> Option<u32> {
        let job = self.jobs.get(step.job)?;
        job.spec.steps.get(usize::from(step.step))?.max_unavailable
    }

    /// Returns the number of tasks of a service step that are not active.
    fn unavailable_count(&self, step: StepId) -> u32 {
        let Some(job) = self.jobs.get(step.job) else {
            return 0;
        };
        let Some(step_state) = job.step(step.task(0)) else {
            return 0;
        };
        let is_active_run = |(worker, run): &(Arc<str>, RunId)| {
            let run_entry = self
                .workers
                .get(worker)
                .and_then(|w: &Worker| w.runs.get(run));
            run_entry.is_some_and(|run_entry| run_entry.is_active && !run_entry.is_stopping)
        };
        let runs = job.assigned_step_runs(step.occurrence, step.step);
        let active_count = runs.iter().filter(|run| is_active_run(run)).count();
        (step_state.tasks.len() - active_count) as u32
    }
}

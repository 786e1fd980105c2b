//! Preemption of less urgent runs for tasks that wait for free capacity.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::LossCause;
use crate::limits::{
    MAX_CHECKPOINT_LOSS, MAX_PREEMPT_TASKS, MAX_PREEMPT_WAIT, MAX_TASK_PREEMPTIONS,
    MIN_PREEMPT_WAIT, PREEMPT_START_MARGIN,
};
use crate::owners::Owner;
use crate::placements::PlacementRequest;
use crate::starts::Unplaced;
use crate::workers::{Worker, WorkerRun, percent_of};
use crate::{Resources, RunId, StepId};

/// Run that may be stopped for a more urgent task.
#[derive(Clone, Debug)]
struct Victim {
    run: RunId,
    priority: u32,
    reserved: Resources,
    /// Work lost by stopping the run, in milliseconds times thousandths of a core.
    loss: u64,
}

/// Preemption state of one tick, by worker.
#[derive(Debug, Default)]
pub(crate) struct Preemptions {
    /// Resources that runs being stopped will free, minus those allocated to waiting tasks.
    pending_free: BTreeMap<Arc<str>, Resources>,
    /// Runs that may be stopped, those with the least loss first.
    victims: BTreeMap<Arc<str>, Vec<Victim>>,
    /// Number of tasks that preemption was tried for in this tick.
    tasks: usize,
}

impl Owner {
    /// Stops less urgent runs for the tasks of a step that have waited for some time. Resources
    /// that earlier stops are about to free are counted, so that no runs are stopped twice for one
    /// task.
    pub(crate) fn preempt(&mut self, step_id: StepId, unplaced: &mut Unplaced) {
        if !self.may_preempt(step_id, unplaced) {
            return;
        }
        let existing = unplaced.preemptions.take();
        let mut preemptions = existing.unwrap_or_else(|| self.list_victims());
        self.preempt_for_step(step_id, &mut preemptions);
        unplaced.preemptions = Some(preemptions);
    }

    fn preempt_for_step(&mut self, step_id: StepId, preemptions: &mut Preemptions) {
        let Some(job) = self.jobs.get(step_id.job) else {
            return;
        };
        let Some(step) = job.step(step_id.task(0)) else {
            return;
        };
        let left = MAX_PREEMPT_TASKS.saturating_sub(preemptions.tasks);
        let startable = step.startable(self.now);
        let waiting = step.waiting.iter().copied();
        let waiting: Vec<u16> = waiting
            .filter(|&index| !step.is_suspect(index) && startable.contains(index))
            .take(left)
            .collect();
        for index in waiting {
            preemptions.tasks += 1;
            let Some(request) = self.placement_request(step_id.task(index), None) else {
                return;
            };
            if request.task.not_before > self.now {
                continue;
            }
            let Some((worker, victims)) = preemptions.choose_victims(&request, &self.workers)
            else {
                return;
            };
            for run in victims {
                self.log(format!(
                    "run {run} on {worker} preempted for step {step_id}"
                ));
                if let Some(job) = self.jobs.get_mut(run.task.job)
                    && let Some(task) = job.task_mut(run.task)
                {
                    task.preemption_count += 1;
                }
                self.stop_run(&worker, run, LossCause::Preempted);
            }
        }
    }

    /// Returns whether the tasks of a step may preempt others: they would be late otherwise, or
    /// they have waited for the maximum time and are still useful to their caller.
    fn may_preempt(&self, step_id: StepId, unplaced: &Unplaced) -> bool {
        let Some(job) = self.jobs.get(step_id.job) else {
            return false;
        };
        let (Some(occurrence), Some(step)) = (
            job.occurrences.get(&step_id.occurrence),
            job.step(step_id.task(0)),
        ) else {
            return false;
        };
        let spec = &job.spec.steps[usize::from(step_id.step)];
        let waited = step
            .blocked_since()
            .map_or(Millis(0), |since| self.now.since(since));
        let is_reserved = unplaced.is_reserved(&job.current_rule(&self.policy).service);
        if spec.is_best_effort || spec.is_gang || is_reserved || waited < MIN_PREEMPT_WAIT {
            return false;
        }
        if waited >= MAX_PREEMPT_WAIT {
            return spec.is_service || job.is_still_useful(self.now, occurrence);
        }
        let margin = job.start_margin(self.now, occurrence);
        !spec.is_service && margin.is_some_and(|margin| margin <= PREEMPT_START_MARGIN)
    }

    fn list_victims(&self) -> Preemptions {
        let mut preemptions = Preemptions::default();
        for (id, worker) in &self.workers {
            let mut pending_free = Resources::default();
            let mut victims = Vec::new();
            for (&run, worker_run) in &worker.runs {
                if worker_run.is_stopping {
                    pending_free = pending_free.plus(&worker_run.reserved);
                } else if let Some(victim) = self.victim(run, worker_run) {
                    victims.push(victim);
                }
            }
            victims.sort_by_key(|victim| victim.loss);
            preemptions
                .pending_free
                .insert(Arc::clone(id), pending_free);
            preemptions.victims.insert(Arc::clone(id), victims);
        }
        preemptions
    }

    fn victim(&self, run: RunId, worker_run: &WorkerRun) -> Option<Victim> {
        let job = self.jobs.get(run.task.job)?;
        let spec = job.spec.steps.get(usize::from(run.task.step))?;
        let is_exempt = job.task(run.task)?.preemption_count >= MAX_TASK_PREEMPTIONS;
        if worker_run.is_service || spec.is_gang || is_exempt {
            return None;
        }
        let done = percent_of(worker_run.estimate, u64::from(worker_run.percent_done)).0;
        let lost = if worker_run.has_checkpoints {
            done.min(MAX_CHECKPOINT_LOSS.0)
        } else {
            done
        };
        Some(Victim {
            run,
            priority: job.rule.priority,
            reserved: worker_run.reserved,
            loss: lost.saturating_mul(spec.resources.cpu),
        })
    }
}

impl Preemptions {
    /// Chooses the worker where the least work is lost and allocates its resources to the task.
    /// Returns the runs to stop there, or none if no worker can free enough capacity.
    fn choose_victims(
        &mut self,
        request: &PlacementRequest<'_>,
        workers: &BTreeMap<Arc<str>, Worker>,
    ) -> Option<(Arc<str>, Vec<RunId>)> {
        let (reserved, priority) = (request.spec().reserved(), request.job.rule.priority);
        let candidates = workers
            .values()
            .filter(|worker| request.fits_after_preemption(worker));
        let candidates = candidates.filter_map(|worker| {
            let (loss, count) = self.preemption_cost(worker, &reserved, priority)?;
            Some((loss, &worker.info.id, count))
        });
        let (_, id, count) = candidates.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)))?;
        let victims = self.victims.get_mut(id)?;
        let (mut chosen, mut remaining) = (Vec::new(), Vec::new());
        for victim in victims.drain(..) {
            if chosen.len() < count && victim.priority > priority {
                chosen.push(victim);
            } else {
                remaining.push(victim);
            }
        }
        *victims = remaining;
        let freed_parts = chosen.iter().map(|victim| &victim.reserved);
        let freed = freed_parts.fold(Resources::default(), |sum, free| sum.plus(free));
        let pending_free = self.pending_free.entry(Arc::clone(id)).or_default();
        // The worker's free resources were not sufficient, so the allocation is charged to those
        // that are about to become free.
        *pending_free = pending_free.plus(&freed).minus(&reserved);
        let runs = chosen.into_iter().map(|victim| victim.run);
        Some((Arc::clone(id), runs.collect()))
    }

    /// Returns the work lost and the number of runs stopped if a worker frees the resources.
    fn preemption_cost(
        &self,
        worker: &Worker,
        reserved: &Resources,
        priority: u32,
    ) -> Option<(u64, usize)> {
        let id = &worker.info.id;
        let pending_free = self.pending_free.get(id).copied().unwrap_or_default();
        // The runs may exceed the capacity, so that not all that they leave becomes free.
        let capacity = &worker.info.capacity;
        let mut still_reserved = worker.reserved.minus(&pending_free);
        let (mut loss, mut count) = (0_u64, 0);
        let victims = self.victims.get(id)?;
        let mut victims = victims.iter().filter(|victim| victim.priority > priority);
        while !capacity.covers(&still_reserved.plus(reserved)) {
            let victim = victims.next()?;
            still_reserved = still_reserved.minus(&victim.reserved);
            loss = loss.saturating_add(victim.loss);
            count += 1;
        }
        Some((loss, count))
    }
}

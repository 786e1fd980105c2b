//! Choice of the worker for a task.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::advice::StepAdvice;
use crate::interference::InterferenceModel;
use crate::jobs::Job;
use crate::limits::{
    MIN_REMAINING_HEADROOM, MIN_SPEED_PERCENT, SLOW_WORKER_SPEED, UNKNOWN_START_COST,
};
use crate::occurrences::Task;
use crate::owners::Owner;
use crate::workers::Worker;
use crate::{Policy, QueueRule, StepId, StepSpec, TaskId};

/// What a choice depends on beside the workers.
pub(crate) struct PlacementRequest<'a> {
    pub(crate) now: Millis,
    pub(crate) policy: &'a Policy,
    pub(crate) interference: &'a InterferenceModel,
    pub(crate) job: &'a Job,
    pub(crate) at: StepId,
    pub(crate) task: &'a Task,
    /// Rack to which the choice is limited.
    pub(crate) rack: Option<&'a Arc<str>>,
    /// What is known of the workers that may run the step.
    pub(crate) advice: Option<&'a StepAdvice>,
}

impl Owner {
    /// Returns what the choice of a worker for a task depends on.
    pub(crate) fn placement_request<'a>(
        &'a self,
        id: TaskId,
        rack: Option<&'a Arc<str>>,
    ) -> Option<PlacementRequest<'a>> {
        let job = self.jobs.get(id.job)?;
        Some(PlacementRequest {
            now: self.now,
            policy: &self.policy,
            interference: &self.interference,
            job,
            at: id.of_step(),
            task: job.task(id)?,
            rack,
            advice: self.advice.get(id.of_step()),
        })
    }
}

impl PlacementRequest<'_> {
    pub(crate) fn spec(&self) -> &StepSpec {
        &self.job.spec.steps[usize::from(self.at.step)]
    }

    /// Returns the rules of the job's queue: as they are now, or as they were when the job was
    /// accepted if the queue is gone.
    fn rule(&self) -> &QueueRule {
        let rule = self.policy.queues.get(&self.job.rule.name);
        rule.unwrap_or(&self.job.rule)
    }

    /// Returns whether the step needs advice.
    pub(crate) fn needs_ticket(&self) -> bool {
        self.rule().needs_tickets
    }

    /// Returns whether a worker may run the task as far as its service, its labels and its failure
    /// domain go.
    pub(crate) fn matches(&self, worker: &Worker) -> bool {
        let spec = self.spec();
        let has = |label: &Arc<str>| worker.info.labels.contains(label);
        worker.accepts_tasks(self.now)
            && worker.info.service == self.rule().service
            && !self.policy.closed_domains.contains(&worker.info.domain)
            && spec.label.as_ref().is_none_or(has)
            && self.rack.is_none_or(has)
    }

    /// Returns whether a worker may run the task at all.
    pub(crate) fn is_eligible(&self, worker: &Worker) -> bool {
        let has_ticket = || {
            let advice = self.advice;
            advice.is_some_and(|advice| advice.ticket(self.now, worker).is_some())
        };
        self.matches(worker) && (!self.needs_ticket() || has_ticket())
    }

    /// Returns whether a worker has the room that the task reserves, and allows for its spread.
    pub(crate) fn fits(&self, worker: &Worker) -> bool {
        self.is_within_spread(worker) && worker.free().covers(&self.spec().reserved())
    }

    fn is_within_spread(&self, worker: &Worker) -> bool {
        let limit = self.spec().max_per_worker;
        limit == 0 || worker.step_run_count(self.at) < limit
    }

    /// Returns whether a worker may run the task once it has room.
    pub(crate) fn fits_after_preemption(&self, worker: &Worker) -> bool {
        self.is_eligible(worker) && self.is_within_spread(worker)
    }

    /// Returns whether a worker has unused processors for a filler.
    fn has_unused_cpu(&self, worker: &Worker) -> bool {
        worker.unused_cpu() >= self.spec().resources.cpu || worker.best_effort_cpu == 0
    }

    /// Returns whether a filler may start on a worker: it has processors to spare, and all serving
    /// tasks there are expected to stay well below their targets.
    fn admits_best_effort(&self, worker: &Worker) -> bool {
        let spec = self.spec();
        if !self.has_unused_cpu(worker) {
            return false;
        }
        if worker.critical_count == 0 {
            return true;
        }
        let Some(image) = &spec.image else {
            return false;
        };
        let normalized_cores = worker.normalized_cores(spec.resources.cpu);
        let loads = worker.best_effort_loads();
        for (run, entry) in worker.critical_runs() {
            let (now, serving) = (self.now, &entry.image);
            let Some(ratio) = entry.latency_ratio() else {
                return false;
            };
            let added = normalized_cores * self.interference.weight(now, image, serving);
            let expected = self
                .interference
                .expected_headroom(now, run.task.job, serving, &loads);
            if expected.min(1.0 / ratio) - added < MIN_REMAINING_HEADROOM {
                return false;
            }
        }
        worker.start_budget >= self.start_cost(worker)
    }

    /// Returns how well a worker suits the task; the highest wins.
    pub(crate) fn score(&self, worker: &Worker) -> i64 {
        let spec = self.spec();
        let mut score = 0_i64;
        if self.task.avoided_worker.as_ref() == Some(&worker.info.id) {
            score -= 4_000_000;
        }
        if spec
            .rack
            .as_ref()
            .is_some_and(|rack| worker.info.labels.contains(rack))
        {
            score += 2_000_000;
        }
        if !spec.is_service && worker.relative_speed(self.now) < SLOW_WORKER_SPEED {
            score -= 3_000_000;
        }
        let spare = i64::try_from(worker.unused_cpu()).unwrap_or(i64::MAX / 4);
        let fillers = i64::try_from(worker.best_effort_cpu).unwrap_or(i64::MAX / 4);
        if spec.is_latency_critical() {
            // Serving tasks share few workers, so that the others are left to fillers.
            score += if worker.critical_count > 0 {
                1_000_000
            } else {
                0
            };
            score -= fillers;
        } else if spec.is_best_effort {
            // What is harmless beside serving tasks leaves the other workers to what is not.
            score += if worker.critical_count > 0 {
                100_000
            } else {
                0
            };
            score += spare;
        } else {
            // Other tasks go beside serving ones, where fillers don't.
            score += if worker.critical_count > 0 {
                500_000
            } else {
                0
            };
            score += spare;
        }
        score
    }

    /// Returns what the filler takes from the worker's credit: more while its effect on any of the
    /// serving tasks is unknown.
    pub(crate) fn start_cost(&self, worker: &Worker) -> u32 {
        let Some(image) = &self.spec().image else {
            return UNKNOWN_START_COST;
        };
        let mut serving = worker.critical_runs().map(|(_, entry)| entry);
        let is_known =
            serving.all(|entry| self.interference.is_harmless(self.now, image, &entry.image));
        if is_known { 1 } else { UNKNOWN_START_COST }
    }

    /// Returns the speed, in percent, at which the serving tasks of a worker are expected to bear the
    /// filler.
    fn tolerable_speed(&self, worker: &Worker) -> u32 {
        let spec = self.spec();
        let image = spec.image.clone().unwrap_or_else(|| Arc::from(""));
        let normalized_cores = worker.normalized_cores(spec.resources.cpu);
        let loads = worker.best_effort_loads();
        let mut share = 1.0_f32;
        for (run, entry) in worker.critical_runs() {
            let (now, serving) = (self.now, &entry.image);
            let expected = self
                .interference
                .expected_headroom(now, run.task.job, serving, &loads);
            let before = entry
                .latency_ratio()
                .map_or(expected, |r| expected.min(1.0 / r));
            let added = normalized_cores * self.interference.weight(now, &image, serving);
            share = share.min((before - MIN_REMAINING_HEADROOM) / added.max(0.001));
        }
        ((share * 100.0) as u32).clamp(MIN_SPEED_PERCENT, 100)
    }

    /// Chooses a worker, or none if none may run the task now.
    pub(crate) fn choose_worker(&self, workers: &BTreeMap<Arc<str>, Worker>) -> Option<Arc<str>> {
        let is_filler = self.spec().is_best_effort;
        let fitting = workers.values().filter(|worker| {
            self.is_eligible(worker)
                && self.fits(worker)
                && (!is_filler || self.admits_best_effort(worker))
        });
        let best = fitting.max_by_key(|worker| self.score(worker))?;
        Some(Arc::clone(&best.info.id))
    }

    /// Chooses a worker for a filler that has waited too long, and the speed at which it starts.
    pub(crate) fn choose_throttled(
        &self,
        workers: &BTreeMap<Arc<str>, Worker>,
    ) -> Option<(Arc<str>, u32)> {
        let fitting = workers.values().filter(|worker| {
            self.is_eligible(worker) && self.fits(worker) && self.has_unused_cpu(worker)
        });
        let speeds = fitting.map(|worker| (self.tolerable_speed(worker), worker));
        let best =
            speeds.max_by_key(|(speed_percent, worker)| (*speed_percent, self.score(worker)))?;
        Some((Arc::clone(&best.1.info.id), best.0))
    }
}

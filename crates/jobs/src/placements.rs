//! Choice of the worker for a task.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::advice::StepAdvice;
use crate::interference::Pressures;
use crate::jobs::Job;
use crate::limits::{LEAST_LEFT, LEAST_PACE, SLOW_SPEED, UNKNOWN_FILLER};
use crate::occurrences::Task;
use crate::owners::Owner;
use crate::workers::Worker;
use crate::{Policy, QueueRule, StepId, StepSpec, TaskId};

/// What a choice depends on beside the workers.
pub(crate) struct Need<'a> {
    pub(crate) now: Millis,
    pub(crate) policy: &'a Policy,
    pub(crate) pressures: &'a Pressures,
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
    pub(crate) fn need<'a>(&'a self, id: TaskId, rack: Option<&'a Arc<str>>) -> Option<Need<'a>> {
        let job = self.jobs.get(id.job)?;
        Some(Need {
            now: self.now,
            policy: &self.policy,
            pressures: &self.pressures,
            job,
            at: id.of_step(),
            task: job.task(id)?,
            rack,
            advice: self.advices.get(id.of_step()),
        })
    }
}

impl Need<'_> {
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
    pub(crate) fn is_advised(&self) -> bool {
        self.rule().needs_tickets
    }

    /// Returns whether a worker may run the task as far as its service, its labels and its failure
    /// domain go.
    pub(crate) fn is_offered(&self, worker: &Worker) -> bool {
        let spec = self.spec();
        let has = |label: &Arc<str>| worker.info.labels.contains(label);
        worker.takes_tasks(self.now)
            && worker.info.service == self.rule().service
            && !self.policy.closed_domains.contains(&worker.info.domain)
            && spec.label.as_ref().is_none_or(has)
            && self.rack.is_none_or(has)
    }

    /// Returns whether a worker may run the task at all.
    pub(crate) fn allows(&self, worker: &Worker) -> bool {
        let has_ticket = || {
            let advice = self.advice;
            advice.is_some_and(|advice| advice.ticket(self.now, worker).is_some())
        };
        self.is_offered(worker) && (!self.is_advised() || has_ticket())
    }

    /// Returns whether a worker has the room that the task reserves, and allows for its spread.
    pub(crate) fn fits(&self, worker: &Worker) -> bool {
        self.is_spread(worker) && worker.free().covers(&self.spec().reserved())
    }

    fn is_spread(&self, worker: &Worker) -> bool {
        let limit = self.spec().max_per_worker;
        limit == 0 || worker.count_of(self.at) < limit
    }

    /// Returns whether a worker may run the task once it has room.
    pub(crate) fn may_share(&self, worker: &Worker) -> bool {
        self.allows(worker) && self.is_spread(worker)
    }

    /// Returns whether a worker has unused processors for a filler.
    fn has_unused(&self, worker: &Worker) -> bool {
        worker.unused_cpu() >= self.spec().resources.cpu || worker.filler_cpu == 0
    }

    /// Returns whether a filler may start on a worker: it has processors to spare, and all serving
    /// tasks there are expected to stay well below their targets.
    fn may_fill(&self, worker: &Worker) -> bool {
        let spec = self.spec();
        if !self.has_unused(worker) {
            return false;
        }
        if worker.serving == 0 {
            return true;
        }
        let Some(image) = &spec.image else {
            return false;
        };
        let cores = worker.cores(spec.resources.cpu);
        let loads = worker.loads();
        for (run, held) in worker.serving_runs() {
            let (now, serving) = (self.now, &held.image);
            let Some(ratio) = held.ratio() else {
                return false;
            };
            let added = cores * self.pressures.weight(now, image, serving);
            let expected = self.pressures.expect(now, run.task.job, serving, &loads);
            if expected.min(1.0 / ratio) - added < LEAST_LEFT {
                return false;
            }
        }
        worker.filler_credit >= self.credit(worker)
    }

    /// Returns how well a worker suits the task; the highest wins.
    pub(crate) fn score(&self, worker: &Worker) -> i64 {
        let spec = self.spec();
        let mut score = 0_i64;
        if self.task.failed_on.as_ref() == Some(&worker.info.id) {
            score -= 4_000_000;
        }
        if spec
            .rack
            .as_ref()
            .is_some_and(|rack| worker.info.labels.contains(rack))
        {
            score += 2_000_000;
        }
        if !spec.is_service && worker.speed(self.now) < SLOW_SPEED {
            score -= 3_000_000;
        }
        let spare = i64::try_from(worker.unused_cpu()).unwrap_or(i64::MAX / 4);
        let fillers = i64::try_from(worker.filler_cpu).unwrap_or(i64::MAX / 4);
        if spec.is_latency_critical() {
            // Serving tasks share few workers, so that the others are left to fillers.
            score += if worker.serving > 0 { 1_000_000 } else { 0 };
            score -= fillers;
        } else if spec.is_best_effort {
            // What is harmless beside serving tasks leaves the other workers to what is not.
            score += if worker.serving > 0 { 100_000 } else { 0 };
            score += spare;
        } else {
            // Other tasks go beside serving ones, where fillers don't.
            score += if worker.serving > 0 { 500_000 } else { 0 };
            score += spare;
        }
        score
    }

    /// Returns what the filler takes from the worker's credit: more while its effect on any of the
    /// serving tasks is unknown.
    pub(crate) fn credit(&self, worker: &Worker) -> u32 {
        let Some(image) = &self.spec().image else {
            return UNKNOWN_FILLER;
        };
        let mut serving = worker.serving_runs().map(|(_, held)| held);
        let is_known = serving.all(|held| self.pressures.is_harmless(self.now, image, &held.image));
        if is_known { 1 } else { UNKNOWN_FILLER }
    }

    /// Returns the speed, in percent, at which the serving tasks of a worker are expected to bear the
    /// filler.
    fn bearable_pace(&self, worker: &Worker) -> u32 {
        let spec = self.spec();
        let image = spec.image.clone().unwrap_or_else(|| Arc::from(""));
        let cores = worker.cores(spec.resources.cpu);
        let loads = worker.loads();
        let mut share = 1.0_f32;
        for (run, held) in worker.serving_runs() {
            let (now, serving) = (self.now, &held.image);
            let expected = self.pressures.expect(now, run.task.job, serving, &loads);
            let before = held.ratio().map_or(expected, |r| expected.min(1.0 / r));
            let added = cores * self.pressures.weight(now, &image, serving);
            share = share.min((before - LEAST_LEFT) / added.max(0.001));
        }
        ((share * 100.0) as u32).clamp(LEAST_PACE, 100)
    }

    /// Chooses a worker, or none if none may run the task now.
    pub(crate) fn choose(&self, workers: &BTreeMap<Arc<str>, Worker>) -> Option<Arc<str>> {
        let is_filler = self.spec().is_best_effort;
        let fitting = workers.values().filter(|worker| {
            self.allows(worker) && self.fits(worker) && (!is_filler || self.may_fill(worker))
        });
        let best = fitting.max_by_key(|worker| self.score(worker))?;
        Some(Arc::clone(&best.info.id))
    }

    /// Chooses a worker for a filler that has waited too long, and the speed at which it starts.
    pub(crate) fn choose_slow(
        &self,
        workers: &BTreeMap<Arc<str>, Worker>,
    ) -> Option<(Arc<str>, u32)> {
        let fitting = workers
            .values()
            .filter(|worker| self.allows(worker) && self.fits(worker) && self.has_unused(worker));
        let paces = fitting.map(|worker| (self.bearable_pace(worker), worker));
        let best = paces.max_by_key(|(pace, worker)| (*pace, self.score(worker)))?;
        Some((Arc::clone(&best.1.info.id), best.0))
    }
}

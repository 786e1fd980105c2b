//! Preemption: a task that has waited for room gets that of less urgent runs.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::limits::{
    LOST_AT_STOP, MOST_PREEMPTIONS, PREEMPT_LATEST, PREEMPT_SLACK, PREEMPT_TASKS, PREEMPT_WAIT,
};
use crate::owners::Owner;
use crate::placements::Need;
use crate::starts::Full;
use crate::workers::{Held, Worker};
use crate::{Resources, RunId, StepId};

/// A run that may be stopped for a more urgent task.
#[derive(Clone, Debug)]
struct Victim {
    run: RunId,
    priority: u32,
    reserved: Resources,
    /// Work that a stop throws away, in milliseconds times thousandths of a core.
    loss: u64,
}

/// Room that is about to become free on the workers, as of one tick.
#[derive(Debug, Default)]
pub(crate) struct Preemptions {
    /// Room that stops on their way free, less what has been promised of it.
    coming: BTreeMap<Arc<str>, Resources>,
    /// Runs that may be stopped, those with the least loss first.
    victims: BTreeMap<Arc<str>, Vec<Victim>>,
    /// Tasks that room has been sought for.
    tasks: usize,
}

impl Owner {
    /// Stops less urgent runs to make room for the tasks of a step that have waited for some time.
    /// Room that earlier stops are about to free counts, so that each task costs one set of stops.
    pub(crate) fn preempt(&mut self, at: StepId, full: &mut Full) {
        if !self.may_preempt(at, full) {
            return;
        }
        let known = full.preemptions.take();
        let mut preemptions = known.unwrap_or_else(|| self.list_victims());
        self.seek_room(at, &mut preemptions);
        full.preemptions = Some(preemptions);
    }

    fn seek_room(&mut self, at: StepId, preemptions: &mut Preemptions) {
        let Some(step) = self.jobs.get(at.job).and_then(|job| job.step(at.task(0))) else {
            return;
        };
        let left = PREEMPT_TASKS.saturating_sub(preemptions.tasks);
        let waiting: Vec<u16> = step.waiting.iter().copied().take(left).collect();
        for index in waiting {
            preemptions.tasks += 1;
            let Some(need) = self.need(at.task(index), None) else {
                return;
            };
            if need.task.not_before > self.now {
                continue;
            }
            let Some((worker, victims)) = preemptions.claim(&need, &self.workers) else {
                return;
            };
            for run in victims {
                self.note(format!("run {run} on {worker} makes room for {at}"));
                if let Some(job) = self.jobs.get_mut(run.task.job)
                    && let Some(task) = job.task_mut(run.task)
                {
                    task.preempted += 1;
                }
                self.stop(&worker, run);
            }
        }
    }

    /// Returns whether the tasks of a step may take room from others: they would be late otherwise, or
    /// have waited for long and are still worth something to their caller.
    fn may_preempt(&self, at: StepId, full: &Full) -> bool {
        let Some(job) = self.jobs.get(at.job) else {
            return false;
        };
        let (Some(occurrence), Some(step)) =
            (job.occurrences.get(&at.occurrence), job.step(at.task(0)))
        else {
            return false;
        };
        let spec = &job.spec.steps[usize::from(at.step)];
        let waited = step
            .blocked
            .map_or(Millis(0), |since| self.now.since(since));
        let is_kept = full.keeps(&job.rule.service);
        if spec.is_best_effort || spec.is_gang || is_kept || waited < PREEMPT_WAIT {
            return false;
        }
        if waited >= PREEMPT_LATEST {
            return spec.is_service || job.is_in_time(self.now, occurrence);
        }
        let slack = job.slack(self.now, occurrence);
        !spec.is_service && slack.is_some_and(|slack| slack <= PREEMPT_SLACK)
    }

    fn list_victims(&self) -> Preemptions {
        let mut preemptions = Preemptions::default();
        for (id, worker) in &self.workers {
            let mut coming = Resources::default();
            let mut victims = Vec::new();
            for (&run, held) in &worker.runs {
                if held.stopping {
                    coming = coming.plus(&held.reserved);
                } else if let Some(victim) = self.victim(run, held) {
                    victims.push(victim);
                }
            }
            victims.sort_by_key(|victim| victim.loss);
            preemptions.coming.insert(Arc::clone(id), coming);
            preemptions.victims.insert(Arc::clone(id), victims);
        }
        preemptions
    }

    fn victim(&self, run: RunId, held: &Held) -> Option<Victim> {
        let job = self.jobs.get(run.task.job)?;
        let spec = job.spec.steps.get(usize::from(run.task.step))?;
        let is_often = job.task(run.task)?.preempted >= MOST_PREEMPTIONS;
        if held.is_service || spec.is_gang || is_often {
            return None;
        }
        let done = held.estimate.0 * u64::from(held.percent_done) / 100;
        let lost = if held.has_checkpoints {
            done.min(LOST_AT_STOP.0)
        } else {
            done
        };
        Some(Victim {
            run,
            priority: job.rule.priority,
            reserved: held.reserved,
            loss: lost * spec.resources.cpu,
        })
    }
}

impl Preemptions {
    /// Chooses the worker where the least work is lost, and sets the room aside. Returns the runs to
    /// stop there, or none if no worker can make room.
    fn claim(
        &mut self,
        need: &Need<'_>,
        workers: &BTreeMap<Arc<str>, Worker>,
    ) -> Option<(Arc<str>, Vec<RunId>)> {
        let (reserved, priority) = (need.spec().reserved(), need.job.rule.priority);
        let offers = workers.values().filter(|worker| need.may_share(worker));
        let offers = offers.filter_map(|worker| {
            let (loss, count) = self.offer(worker, &reserved, priority)?;
            Some((loss, &worker.info.id, count))
        });
        let (_, id, count) = offers.min_by(|a, b| (a.0, a.1).cmp(&(b.0, b.1)))?;
        let victims = self.victims.get_mut(id)?;
        let (mut chosen, mut kept) = (Vec::new(), Vec::new());
        for victim in victims.drain(..) {
            if chosen.len() < count && victim.priority > priority {
                chosen.push(victim);
            } else {
                kept.push(victim);
            }
        }
        *victims = kept;
        let rooms = chosen.iter().map(|victim| &victim.reserved);
        let freed = rooms.fold(Resources::default(), |sum, room| sum.plus(room));
        let coming = self.coming.entry(Arc::clone(id)).or_default();
        // Free room was not enough by itself, so that what is promised comes from the rest first.
        *coming = coming.plus(&freed).minus(&reserved);
        let runs = chosen.into_iter().map(|victim| victim.run);
        Some((Arc::clone(id), runs.collect()))
    }

    /// Returns the work that is lost and the number of runs that stop if a worker makes room.
    fn offer(&self, worker: &Worker, reserved: &Resources, priority: u32) -> Option<(u64, usize)> {
        let id = &worker.info.id;
        let coming = self.coming.get(id).copied().unwrap_or_default();
        let mut room = worker.free().plus(&coming);
        let (mut loss, mut count) = (0, 0);
        let victims = self.victims.get(id)?;
        let mut victims = victims.iter().filter(|victim| victim.priority > priority);
        while !room.covers(reserved) {
            let victim = victims.next()?;
            room = room.plus(&victim.reserved);
            loss += victim.loss;
            count += 1;
        }
        Some((loss, count))
    }
}

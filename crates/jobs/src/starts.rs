//! Starts of tasks: which step comes next, and what does not fit.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::io::{Order, Output, Start};
use crate::limits::{FILLER_WAIT, SPARE_PERCENT};
use crate::owners::Owner;
use crate::preemptions::Preemptions;
use crate::workers::Held;
use crate::{Resources, RunId, StepId, StepSpec, TaskId};

impl Owner {
    /// Starts tasks while there is room.
    pub(crate) fn place(&mut self) {
        if !self.is_ownership_confirmed(self.now) {
            return;
        }
        let is_resolved = self.unresolved.is_empty();
        let mut full = Full::default();
        for (id, occurrence) in self.jobs.ranked(self.now) {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if !job.stored || (job.inherited && !is_resolved) {
                continue;
            }
            for step in (0_u16..).take(job.spec.steps.len()) {
                let at = StepId {
                    job: id,
                    occurrence,
                    step,
                };
                self.place_step(at, &mut full);
            }
        }
    }

    fn place_step(&mut self, at: StepId, full: &mut Full) {
        let now = self.now;
        let Some(job) = self.jobs.get(at.job) else {
            return;
        };
        let spec = &job.spec.steps[usize::from(at.step)];
        let Some(occurrence) = job.occurrences.get(&at.occurrence) else {
            return;
        };
        let step = &occurrence.steps[usize::from(at.step)];
        if step.waiting.is_empty() || !occurrence.is_due(spec) {
            return;
        }
        if spec.is_gang {
            self.place_gang(at, full);
            return;
        }
        let full_need = FullNeed::new(&job.rule.service, spec);
        let is_plain = spec.max_per_worker == 0 && spec.label.is_none();
        let blocked = step.blocked;
        let has_waited = spec.is_best_effort && blocked.is_some_and(|at| now >= at + FILLER_WAIT);
        let is_starving = has_waited && job.is_idle() && self.has_spare_room();
        if full.covers(&full_need) && !is_starving {
            self.block(at, blocked.or(Some(now)));
            self.preempt(at, full);
            return;
        }
        let waiting: Vec<u16> = step.waiting.iter().copied().collect();
        for index in waiting {
            let id = at.task(index);
            let Some(need) = self.need(id, None) else {
                return;
            };
            if need.task.not_before > now {
                continue;
            }
            let mut place = need.choose(&self.workers).map(|worker| (worker, 100));
            if place.is_none() && is_starving {
                place = need.choose_slow(&self.workers);
            }
            let Some((worker, pace)) = place else {
                if need.is_advised() {
                    self.seek_advice(at);
                } else if is_plain {
                    full.add(full_need);
                }
                self.block(at, blocked.or(Some(now)));
                self.preempt(at, full);
                return;
            };
            let credit = need.credit(&self.workers[&worker]);
            let run = self.next_run(id);
            self.hold(&worker, run, pace, credit);
            self.order_start(&worker, run, pace);
            self.block(at, None);
            if pace < 100 {
                // The effect of a filler that has waited shows before the next one starts.
                return;
            }
        }
    }

    /// Returns whether so little of the fleet is in use that a caller may expect a job to run.
    fn has_spare_room(&self) -> bool {
        let workers = self
            .workers
            .values()
            .filter(|worker| worker.takes_tasks(self.now));
        let rooms = workers.map(|worker| (worker.reserved.cpu, worker.info.capacity.cpu));
        let (reserved, all) =
            rooms.fold((0, 0), |(a, b), (reserved, room)| (a + reserved, b + room));
        reserved * 100 < all * SPARE_PERCENT
    }

    pub(crate) fn block(&mut self, at: StepId, since: Option<Millis>) {
        let job = self.jobs.get_mut(at.job);
        if let Some(step) = job.and_then(|job| job.step_mut(at.task(0))) {
            step.blocked = since;
        }
    }

    /// Returns the next run of a task.
    pub(crate) fn next_run(&mut self, task: TaskId) -> RunId {
        let base = self.base();
        let next = self.next_run.entry(task).or_insert(base);
        *next += 1;
        RunId { task, run: *next }
    }

    /// Sets aside what a run takes on a worker. A filler takes `credit` from what may start beside
    /// serving tasks.
    pub(crate) fn hold(&mut self, id: &Arc<str>, run: RunId, pace: u32, credit: u32) {
        let now = self.now;
        let (Some(job), Some(worker)) = (self.jobs.get(run.task.job), self.workers.get_mut(id))
        else {
            return;
        };
        let mut held = Held::new(now, &job.spec.steps[usize::from(run.task.step)]);
        if held.is_best_effort && worker.serving > 0 {
            worker.filler_credit = worker.filler_credit.saturating_sub(credit);
            worker.loaded = now;
        }
        held.paced |= pace < 100;
        held.pace = pace;
        worker.add(run, held);
    }

    /// Orders a task to start on a worker that holds room for the run, at a speed in percent.
    pub(crate) fn order_start(&mut self, id: &Arc<str>, run: RunId, pace: u32) {
        let (Some(job), Some(worker)) = (self.jobs.get_mut(run.task.job), self.workers.get(id))
        else {
            return;
        };
        let is_first = !job.has_started;
        job.has_started = true;
        let waited = self.now.since(job.accepted_at);
        let payload = Arc::clone(&job.spec.payload);
        let Some(step) = job.step_mut(run.task) else {
            return;
        };
        step.assign(run.task.index, id, run.run);
        let ledger = step.ledger(run.task.index);
        let checkpoint = ledger.and_then(|task| task.checkpoint.clone());
        let advice = self.advices.get(run.task.of_step());
        let ticket = advice.and_then(|advice| advice.ticket(self.now, worker).cloned());
        let Some(session) = worker.session else {
            return;
        };
        if is_first {
            let text = format!(
                "job {} starts with {run} on {id} after_ms={waited}",
                run.task.job
            );
            self.outputs.push(Output::Log(text));
        }
        let orders = self.orders.entry(session).or_default();
        orders.push(Order::Start(Start {
            run,
            payload,
            checkpoint,
            ticket,
        }));
        if pace < 100 {
            orders.push(Order::Pace(run, pace));
        }
    }
}

/// A need that found no worker.
#[derive(Clone, Debug)]
struct FullNeed {
    service: Arc<str>,
    reserved: Resources,
    /// Processors and image of a filler.
    best_effort: Option<(u64, Option<Arc<str>>)>,
}

impl FullNeed {
    fn new(service: &Arc<str>, spec: &StepSpec) -> Self {
        Self {
            service: Arc::clone(service),
            reserved: spec.reserved(),
            best_effort: spec
                .is_best_effort
                .then(|| (spec.resources.cpu, spec.image.clone())),
        }
    }

    /// Returns whether `other` asks for at least as much.
    fn is_within(&self, other: &Self) -> bool {
        let is_filler_within = match (&self.best_effort, &other.best_effort) {
            (None, None) => true,
            (Some((cpu, image)), Some((more, same))) => cpu <= more && image == same,
            _ => false,
        };
        self.service == other.service && other.reserved.covers(&self.reserved) && is_filler_within
    }
}

/// What found no worker in this tick.
#[derive(Debug, Default)]
pub(crate) struct Full {
    /// What asks for as much or more is not tried again.
    needs: Vec<FullNeed>,
    /// Services whose room is kept for a gang.
    kept: Vec<Arc<str>>,
    /// Room that stops make for more urgent tasks, once it was sought.
    pub(crate) preemptions: Option<Preemptions>,
}

impl Full {
    fn add(&mut self, need: FullNeed) {
        self.needs.push(need);
    }

    /// Keeps the room of a service from what comes later.
    pub(crate) fn keep(&mut self, service: &Arc<str>) {
        self.kept.push(Arc::clone(service));
    }

    /// Returns whether the room of a service is kept for a gang.
    pub(crate) fn keeps(&self, service: &Arc<str>) -> bool {
        self.kept.contains(service)
    }

    fn covers(&self, need: &FullNeed) -> bool {
        self.keeps(&need.service) || self.needs.iter().any(|full| full.is_within(need))
    }
}

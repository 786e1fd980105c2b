//! Starts of tasks, in the order of their ranks.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::{Account, Wait, WaitCause};
use crate::advice::AdviceSearch;
use crate::hidden_ends::CanaryService;
use crate::io::{Order, Output, Start};
use crate::owners::Owner;
use crate::placements::{RankedWorkers, SearchLevel};
use crate::preemptions::Preemptions;
use crate::shares::Share;
use crate::workers::WorkerRun;
use crate::writes::Effect;
use crate::{JobId, Resources, RunId, StepId, StepSpec, TaskId};

impl Owner {
    /// Starts tasks while there is free capacity.
    pub(crate) fn start_tasks(&mut self) {
        if !self.is_ownership_confirmed(self.now) {
            self.wait_for_confirmation();
            return;
        }
        self.start_suspects();
        self.start_on_void();
        let idle = self.list_idle_tasks();
        let is_takeover_complete = self.unconfirmed_workers.is_empty();
        let mut unplaced = Unplaced::default();
        let ranking = self.jobs.ranked_occurrences(self.now);
        let mut priority = None;
        for &(id, occurrence) in ranking.iter() {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            if priority != Some(job.rule.priority) {
                priority = Some(job.rule.priority);
                self.start_idle_tasks(job.rule.priority, &idle);
            }
            let Some(job) = self.jobs.get(id).filter(|job| job.is_stored) else {
                continue;
            };
            let must_wait = job.is_inherited && !is_takeover_complete;
            for step in (0_u16..).take(job.spec.steps.len()) {
                let step_id = StepId {
                    job: id,
                    occurrence,
                    step,
                };
                if must_wait {
                    self.wait_if_ready(step_id, WaitCause::Takeover);
                } else {
                    self.start_step(step_id, &mut unplaced);
                }
            }
        }
        self.request_wanted_advice();
        if unplaced.has_reservations() {
            for worker in self.workers.values_mut() {
                worker.held = Resources::default();
            }
        }
        self.kept_services
            .retain(|service, _| unplaced.is_reserved(service));
    }

    /// Accounts for the steps that wait because the ownership is not confirmed.
    fn wait_for_confirmation(&mut self) {
        let ranking = self.jobs.ranked_occurrences(self.now);
        for &(job, occurrence) in ranking.iter() {
            let steps = self.jobs.get(job).map_or(0, |job| job.spec.steps.len());
            for step in (0_u16..).take(steps) {
                let step_id = StepId {
                    job,
                    occurrence,
                    step,
                };
                self.wait_if_ready(step_id, WaitCause::Unconfirmed);
            }
        }
    }

    /// Accounts for a wait if tasks of the step could run.
    fn wait_if_ready(&mut self, step_id: StepId, cause: WaitCause) {
        let Some(job) = self.jobs.get(step_id.job) else {
            return;
        };
        let spec = &job.spec.steps[usize::from(step_id.step)];
        let is_ready = job.occurrences.get(&step_id.occurrence).is_some_and(|o| {
            o.is_ready(spec) && !o.steps[usize::from(step_id.step)].waiting.is_empty()
        });
        if is_ready {
            self.extend_wait(step_id, cause);
        }
    }

    fn start_step(&mut self, step_id: StepId, unplaced: &mut Unplaced) {
        let now = self.now;
        let Some(job) = self.jobs.get(step_id.job) else {
            return;
        };
        let spec = &job.spec.steps[usize::from(step_id.step)];
        let Some(occurrence) = job.occurrences.get(&step_id.occurrence) else {
            return;
        };
        let step = &occurrence.steps[usize::from(step_id.step)];
        if step.waiting.is_empty() || !occurrence.is_ready(spec) {
            return;
        }
        if spec.is_gang {
            self.start_gang(step_id, unplaced);
            return;
        }
        // Suspects are started before, by `start_suspects`.
        let startable = step.startable(now);
        let is_startable = |index: &u16| !step.is_suspect(*index) && startable.contains(*index);
        // The service tasks that have been away longest come first, because their search is relaxed
        // before that of the others.
        let listed_at = |index: &u16| step.tasks[usize::from(*index)].listed_at;
        let mut indices = step.waiting.iter().copied().filter(is_startable);
        let first = match spec.is_service {
            true => indices.min_by_key(listed_at),
            false => indices.next(),
        };
        let first = first.and_then(|index| self.placement_request(step_id.task(index), None));
        let Some(request) = first else {
            return;
        };
        let mut requirement = Requirement::new(request.service(), spec, request.level);
        if self.depends_on_duration(&request) {
            requirement = requirement.with_duration(spec);
        }
        if let Some(cause) = unplaced.covering(&requirement) {
            self.extend_wait(step_id, cause);
            self.preempt(step_id, unplaced);
            return;
        }
        let mut waiting: Vec<u16> = step.waiting.iter().copied().collect();
        waiting.retain(is_startable);
        if spec.is_service {
            waiting.sort_by_key(listed_at);
        }
        let mut is_retrying = false;
        let mut ranked_workers = RankedWorkers::default();
        for index in waiting {
            let id = step_id.task(index);
            let Some(request) = self.placement_request(id, None) else {
                return;
            };
            if request.task.not_before > now {
                is_retrying = true;
                continue;
            }
            let Some(worker) = ranked_workers.choose(&request, &self.workers) else {
                let cause = request.wait_cause(&self.workers);
                if request.needs_ticket() {
                    self.want_advice(id, AdviceSearch::Regular);
                } else if request.is_unconstrained() {
                    unplaced.add(requirement.with_level(request.level), cause);
                }
                self.extend_wait(step_id, cause);
                self.preempt(step_id, unplaced);
                return;
            };
            self.start_task(id, &worker, 100, Share::Unused);
            if let Some(request) = self.placement_request(id, None) {
                ranked_workers.update(&request, &self.workers[&worker]);
            }
        }
        if is_retrying {
            self.extend_wait(step_id, WaitCause::Retry);
        }
    }

    /// Starts a task on a worker, at a speed in percent.
    pub(crate) fn start_task(
        &mut self,
        id: TaskId,
        worker: &Arc<str>,
        speed_percent: u32,
        share: Share,
    ) {
        let Some(request) = self.placement_request(id, None) else {
            return;
        };
        let start_cost = request.start_cost(&self.workers[worker]);
        let run = self.next_run(id);
        self.reserve_run(worker, run, speed_percent, start_cost);
        self.order_start(worker, run, speed_percent);
        self.end_wait(id.of_step());
        if let Some(job) = self.jobs.get_mut(id.job) {
            job.share = share;
        }
    }

    /// Records that a worker has listed a run of a job or the end of one. An order alone is no start:
    /// a worker may leave it without an answer.
    pub(crate) fn mark_started(&mut self, id: JobId) {
        let job = self.jobs.get_mut(id).filter(|job| job.is_open());
        if let Some(job) = job.filter(|job| !job.has_started) {
            job.has_started = true;
            self.writes.mark_progress(self.now, id, false);
            self.writes.add_effect(self.now, Effect::Started(id));
        }
    }

    /// Records that it is stored that a job has started, which callers may see from now on.
    pub(crate) fn mark_start_stored(&mut self, id: JobId) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.is_start_stored = true;
        }
    }

    /// Records that a step waits for workers.
    pub(crate) fn extend_wait(&mut self, step_id: StepId, cause: WaitCause) {
        let now = self.now;
        self.update_wait(step_id, |wait, account| {
            Some(Wait::extend(wait, now, cause, account))
        });
    }

    /// Records that a step no longer waits.
    pub(crate) fn end_wait(&mut self, step_id: StepId) {
        let now = self.now;
        self.update_wait(step_id, |wait, account| {
            if let Some(wait) = wait {
                wait.count(now, account);
            }
            None
        });
    }

    fn update_wait(
        &mut self,
        step_id: StepId,
        update: impl FnOnce(Option<Wait>, &mut Account) -> Option<Wait>,
    ) {
        let Some(job) = self.jobs.get_mut(step_id.job) else {
            return;
        };
        let mut account = std::mem::take(&mut job.account);
        if let Some(step) = job.step_mut(step_id.task(0)) {
            step.wait = update(step.wait, &mut account);
        }
        job.account = account;
    }

    /// Returns the next run of a task, with a number higher than those of earlier owners.
    pub(crate) fn next_run(&mut self, task: TaskId) -> RunId {
        let last_inherited_run = self.last_inherited_run();
        let next = self.next_run.entry(task).or_insert(last_inherited_run);
        *next += 1;
        RunId { task, run: *next }
    }

    /// Reserves the resources of a run on a worker. A best-effort task beside latency-critical ones
    /// takes `start_cost` from the worker's start budget.
    pub(crate) fn reserve_run(
        &mut self,
        id: &Arc<str>,
        run: RunId,
        speed_percent: u32,
        start_cost: u32,
    ) {
        let now = self.now;
        let probation = self.begin_probation(id, run);
        let (Some(job), Some(worker)) = (self.jobs.get(run.task.job), self.workers.get_mut(id))
        else {
            return;
        };
        let mut worker_run = WorkerRun::new(now, &job.spec.steps[usize::from(run.task.step)]);
        if worker_run.is_best_effort && worker.critical_count > 0 {
            worker.start_budget = worker.start_budget.saturating_sub(start_cost);
            worker.load_added_at = now;
        }
        worker_run.probation = probation;
        let step = job.step(run.task);
        let history = step.and_then(|step| step.history(run.task.index));
        worker_run.is_exclusive = history.is_some_and(|task| task.crashes.must_be_alone());
        worker_run.prefers_throttling |= speed_percent < 100;
        worker_run.speed_percent = speed_percent;
        let services = &mut self.canary_services;
        CanaryService::note_reserved(services, &worker.info.service, &worker_run.reserved);
        worker.add_run(run, worker_run);
    }

    /// Orders a task to start on a worker where its run is reserved, at a speed in percent.
    pub(crate) fn order_start(&mut self, id: &Arc<str>, run: RunId, speed_percent: u32) {
        let is_canary = self.is_canary(id, run);
        let (Some(job), Some(worker)) = (self.jobs.get_mut(run.task.job), self.workers.get(id))
        else {
            return;
        };
        let is_first = !job.is_start_ordered && !job.has_started;
        job.is_start_ordered = true;
        let waited = self.now.since(job.accepted_at);
        let payload = Arc::clone(&job.spec.payload);
        let queue = Arc::clone(&job.rule.name);
        let Some(step) = job.step_mut(run.task) else {
            return;
        };
        step.trial.begin(self.now);
        step.assign(run.task.index, id, run.run);
        let history = step.history(run.task.index);
        let checkpoint = history.and_then(|task| task.checkpoint.clone());
        let advice = self.advice.get(run.task.of_step());
        let ticket = advice.and_then(|advice| advice.ticket(self.now, worker).cloned());
        let Some(session) = worker.session else {
            return;
        };
        self.advice.note_start(run.task.of_step());
        if is_first {
            self.jobs.count_start(&queue);
            let text = format!(
                "job {} starts with {run} on {id} after_ms={waited}",
                run.task.job
            );
            self.outputs.push(Output::Log(text));
        }
        let orders = self.orders.entry(session).or_default();
        let start = Start {
            run,
            payload,
            checkpoint,
            ticket,
        };
        orders.push(match is_canary {
            true => Order::Canary(start),
            false => Order::Start(start),
        });
        if speed_percent < 100 {
            orders.push(Order::Pace(run, speed_percent));
        }
    }
}

/// Requirements of a step for which no worker was found.
#[derive(Clone, Debug)]
pub(crate) struct Requirement {
    service: Arc<str>,
    /// Workers that were considered.
    level: SearchLevel,
    reserved: Resources,
    /// Requested processors and image of a best-effort task.
    best_effort: Option<(u64, Option<Arc<str>>)>,
    /// Time for which a worker is needed, while it decides whether capacity that is kept for a gang
    /// may be used. 0 if that does not matter.
    duration: Millis,
}

impl Requirement {
    pub(crate) fn new(service: &Arc<str>, spec: &StepSpec, level: SearchLevel) -> Self {
        Self {
            service: Arc::clone(service),
            level,
            reserved: spec.reserved(),
            best_effort: spec
                .is_best_effort
                .then(|| (spec.resources.cpu, spec.image.clone())),
            duration: Millis(0),
        }
    }

    /// Requires a worker for as long as the tasks of a step run. Service tasks may use capacity that
    /// is kept for a gang in any case.
    pub(crate) fn with_duration(self, spec: &StepSpec) -> Self {
        let duration = match spec.is_service {
            true => Millis(0),
            false => spec.estimate,
        };
        Self { duration, ..self }
    }

    /// Requires no idle processors for a best-effort task, only what the task reserves.
    pub(crate) fn with_overcommitted_cpu(self) -> Self {
        Self {
            best_effort: None,
            ..self
        }
    }

    /// Requires a worker that a search of this level considers.
    fn with_level(self, level: SearchLevel) -> Self {
        Self { level, ..self }
    }

    /// Returns whether `other` requires at least as much, of no more workers.
    fn is_within(&self, other: &Self) -> bool {
        let is_best_effort_within = match (&self.best_effort, &other.best_effort) {
            (None, None) => true,
            (Some((cpu, image)), Some((other_cpu, other_image))) => {
                cpu <= other_cpu && image == other_image
            }
            _ => false,
        };
        self.service == other.service
            && self.level >= other.level
            && self.duration <= other.duration
            && other.reserved.covers(&self.reserved)
            && is_best_effort_within
    }
}

/// Requirements that no worker satisfied in this tick.
#[derive(Debug, Default)]
pub(crate) struct Unplaced {
    /// Steps that require as much as one of these, or more, are not tried again. They wait for the
    /// same cause.
    requirements: Vec<(Requirement, WaitCause)>,
    /// Services of which workers keep capacity for a waiting gang.
    reserved_services: Vec<Arc<str>>,
    /// Preemption state of this tick, once a task has needed it.
    pub(crate) preemptions: Option<Preemptions>,
}

impl Unplaced {
    /// Records a failed search for an unconstrained step.
    pub(crate) fn add(&mut self, requirement: Requirement, cause: WaitCause) {
        self.requirements.push((requirement, cause));
    }

    /// Records that workers of a service keep capacity for a gang.
    pub(crate) fn reserve_for_gang(&mut self, service: &Arc<str>) {
        self.reserved_services.push(Arc::clone(service));
    }

    fn has_reservations(&self) -> bool {
        !self.reserved_services.is_empty()
    }

    /// Returns whether workers of a service keep capacity for a gang.
    pub(crate) fn is_reserved(&self, service: &Arc<str>) -> bool {
        self.reserved_services.contains(service)
    }

    /// Returns why a step with this requirement is not tried: no worker satisfied the same or a
    /// smaller one in this tick.
    pub(crate) fn covering(&self, requirement: &Requirement) -> Option<WaitCause> {
        let mut unmet = self.requirements.iter();
        let covering = unmet.find(|(unmet, _)| unmet.is_within(requirement));
        covering.map(|&(_, cause)| cause)
    }
}

//! Starts of suspects: tasks under whose last run a worker has crashed, see [`crate::crashes`].
//!
//! Suspects start apart from others, on workers that are kept free of other starts for a bounded time.
//! There is a bound on each wait: a preference for such a worker, the time for which one is kept free,
//! and the number of those that are.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::WaitCause;
use crate::advice::AdviceSearch;
use crate::crashes::Probation;
use crate::limits::{MAX_COHORT, MAX_PROBATION_DIVISOR, PREPARATION_TIME};
use crate::occurrences::Task;
use crate::owners::Owner;
use crate::placements::{PlacementRequest, SearchLevel};
use crate::shares::Share;
use crate::starts::{Requirement, Unplaced};
use crate::trials::Startable;
use crate::workers::{Worker, WorkerRun};
use crate::{JobId, RunId, StepId, TaskId};

impl Owner {
    /// Starts suspects apart from others, as far as there are workers without other runs that have
    /// started recently. If there are too few, some are kept free of further starts, and suspects of
    /// a single crash share workers with each other.
    ///
    /// A suspect for which no worker was found for too long starts as any other task.
    pub(crate) fn start_suspects(&mut self) {
        let jobs = &self.jobs;
        self.suspects.retain(|&task| {
            let job = jobs.get(task.job).filter(|job| job.is_open());
            let task = job.and_then(|job| job.task(task));
            task.is_some_and(|task| task.crashes.probation.is_some())
        });
        let waiting = self.list_waiting_suspects();
        if waiting.is_empty() {
            return;
        }
        let mut places = SuspectPlaces::new(&self.workers, self.now, waiting.len());
        let mut failed = FailedSearches::default();
        for (task, is_urgent) in waiting {
            self.start_suspect(task, is_urgent, &mut places, &mut failed);
        }
        for worker in self.workers.values_mut() {
            worker.cohort_room = 0;
        }
    }

    /// Returns the suspects that could start, and whether they come first: the service tasks, and of
    /// each job of which nothing runs the one with the fewest crashes, so that it is not always the
    /// same task that starts beside other suspects. Among these, the tasks that would be given up
    /// after one more crash come before all others.
    fn list_waiting_suspects(&self) -> Vec<(TaskId, bool)> {
        let is_takeover_complete = self.unconfirmed_workers.is_empty();
        let mut waiting: Vec<(bool, bool, u32, Millis, TaskId)> = Vec::new();
        let mut first_of_idle: BTreeMap<JobId, (usize, TaskId)> = BTreeMap::new();
        let mut startable: Option<(StepId, Startable)> = None;
        for &id in &self.suspects {
            let job = self.jobs.get(id.job).filter(|job| job.is_stored);
            let job = job.filter(|job| is_takeover_complete || !job.is_inherited);
            let Some(job) = job.filter(|job| job.is_task_ready(self.now, id)) else {
                continue;
            };
            // Tasks of one step follow each other.
            if startable.is_none_or(|(step, _)| step != id.of_step()) {
                let step = job.step(id);
                let tasks = step.map(|step| step.startable(self.now));
                startable = tasks.map(|tasks| (id.of_step(), tasks));
            }
            if startable.is_none_or(|(_, tasks)| !tasks.contains(id.index)) {
                continue;
            }
            let Some(task) = job.task(id) else { continue };
            if job.is_idle() {
                let candidate = (task.crashes.early_count(), id);
                let first = first_of_idle.entry(id.job).or_insert(candidate);
                *first = candidate.min(*first);
            }
            let is_service = job.spec.steps[usize::from(id.step)].is_service;
            let crashed_at = task.crashes.crashed_at;
            let is_first = is_service || task.crashes.must_be_alone();
            waiting.push((
                !is_first,
                !task.crashes.must_be_alone(),
                job.rule.priority,
                crashed_at,
                id,
            ));
        }
        for (is_later, .., id) in &mut waiting {
            let first = first_of_idle.get(&id.job);
            *is_later &= first.is_none_or(|(_, first)| first != id);
        }
        waiting.sort_unstable();
        let suspects = waiting.into_iter();
        suspects.map(|(is_later, .., id)| (id, !is_later)).collect()
    }

    /// Starts a suspect apart from others, or lets it wait.
    fn start_suspect(
        &mut self,
        id: TaskId,
        is_urgent: bool,
        places: &mut SuspectPlaces,
        failed: &mut FailedSearches,
    ) {
        self.update_overdue(id, is_urgent);
        let Some(request) = self.placement_request(id, None) else {
            return;
        };
        let service = Arc::clone(request.service());
        let mut requirement = Requirement::new(&service, request.spec(), request.level);
        if self.depends_on_duration(&request) {
            requirement = requirement.with_duration(request.spec());
        }
        let crashes = &request.task.crashes;
        let may_share = crashes.may_share();
        let searches = failed
            .apart
            .entry((may_share, crashes.is_overdue))
            .or_default();
        let apart = PlacementRequest {
            is_apart: true,
            ..request
        };
        let may_take = places.may_take(&service);
        let is_open = |worker: &Worker| may_take || worker.is_reserved_for_suspect(self.now);
        let chosen = match searches.covering(&requirement) {
            Some(_) => None,
            None => apart.choose_worker_if(&self.workers, is_open),
        };
        if let Some(worker) = chosen {
            self.start_suspect_on(id, &worker, may_share, places);
            return;
        }
        let is_unconstrained = request.is_unconstrained();
        if is_unconstrained {
            searches.add(requirement.clone(), WaitCause::Probation);
        }
        if !places.take_prepared(&service)
            && places.may_reserve(&service)
            && failed.prepared.covering(&requirement).is_none()
        {
            match self.choose_prepared(&request) {
                Some(worker) => {
                    self.keep_free(&worker);
                    places.reserve(&service);
                }
                None if is_unconstrained => {
                    failed
                        .prepared
                        .add(requirement.clone(), WaitCause::Probation);
                }
                None => {}
            }
        }
        let is_full = failed.startable.covering(&requirement).is_some();
        let is_startable = !is_full && self.is_startable(id);
        if !is_startable && is_unconstrained {
            failed.startable.add(requirement, WaitCause::Capacity);
        }
        self.wait_for_probation(id, is_urgent, is_startable);
    }

    /// Keeps a worker free of further starts for a suspect.
    fn keep_free(&mut self, worker: &Arc<str>) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.apart_until = self.now + PREPARATION_TIME;
        }
    }

    fn start_suspect_on(
        &mut self,
        id: TaskId,
        worker: &Arc<str>,
        may_share: bool,
        places: &mut SuspectPlaces,
    ) {
        let state = &self.workers[worker];
        let was_probation = state.has_probation();
        let was_reserved = state.is_reserved_for_suspect(self.now);
        let cohort_room = match state.cohort_room {
            0 if may_share => places.cohort_size - 1,
            0 => 0,
            room => room - 1,
        };
        let service = Arc::clone(&state.info.service);
        if !was_reserved {
            places.reserve(&service);
            if places.take_prepared(&service) {
                self.release_prepared(&service);
                places.release(&service);
            }
        } else if !state.has_probation() {
            places.take_prepared(&service);
        }
        self.start_task(id, worker, 100, Share::Unused);
        if let Some(state) = self.workers.get_mut(worker) {
            state.is_cohort = may_share && !was_probation || state.is_cohort && was_probation;
            state.cohort_room = cohort_room;
        }
    }

    /// Lets others start again on a worker that was kept free for a suspect.
    fn release_prepared(&mut self, service: &Arc<str>) {
        let now = self.now;
        let mut workers = self.workers.values_mut();
        let is_prepared = |worker: &&mut Worker| {
            worker.info.service == *service
                && worker.is_reserved_for_suspect(now)
                && !worker.has_probation()
        };
        if let Some(worker) = workers.find(is_prepared) {
            worker.apart_until = Millis(0);
        }
    }

    /// Starts a gang of which a member crashed a worker: each member apart from other tasks.
    pub(crate) fn start_suspect_gang(&mut self, step_id: StepId) {
        let members = self.place_gang(step_id, None, |request, workers| {
            let request = PlacementRequest {
                is_apart: true,
                ..*request
            };
            Some((request.choose_worker(workers)?, 100))
        });
        match members {
            Some(members) => self.start_members(step_id, members, Share::Unused),
            None => {
                let is_startable = self.is_startable(step_id.task(0));
                self.wait_for_probation(step_id.task(0), true, is_startable);
            }
        }
    }

    /// Returns whether any worker could run a task beside others.
    fn is_startable(&self, id: TaskId) -> bool {
        let Some(request) = self.placement_request(id, None) else {
            return false;
        };
        let request = PlacementRequest {
            level: SearchLevel::Unrestricted,
            ..request
        };
        let mut workers = self.workers.values();
        workers.any(|worker| request.is_eligible(worker) && request.fits(worker))
    }

    /// Lets a suspect join others if it has waited for too long.
    fn update_overdue(&mut self, id: TaskId, is_urgent: bool) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id.job) else {
            return;
        };
        let active_until = job.active_until(id);
        if let Some(crashes) = job.crashes_mut(id) {
            crashes.is_overdue = is_urgent && crashes.has_waited(now, is_urgent, active_until);
        }
    }

    /// Lets a suspect wait for a worker, or ends its probation when it has waited for too long.
    fn wait_for_probation(&mut self, id: TaskId, is_urgent: bool, is_startable: bool) {
        let now = self.now;
        if self
            .placement_request(id, None)
            .is_some_and(|request| request.needs_ticket())
        {
            self.want_advice(id, AdviceSearch::Overdue);
        }
        self.extend_wait(id.of_step(), WaitCause::Probation);
        let Some(job) = self.jobs.get_mut(id.job) else {
            return;
        };
        let active_until = job.active_until(id);
        let Some(crashes) = job.crashes_mut(id) else {
            return;
        };
        // While there is no room for the task anywhere, it does not wait for its probation.
        if !is_startable {
            return;
        }
        crashes.begin_wait(now);
        if crashes.has_waited(now, is_urgent, active_until) {
            crashes.end_probation();
            self.log(format!(
                "task {id} starts beside others: no worker for its probation"
            ));
        }
    }

    /// Chooses the worker that is kept free for a suspect: the one with the fewest runs that have
    /// just started.
    fn choose_prepared(&self, request: &PlacementRequest<'_>) -> Option<Arc<str>> {
        let candidates = self.workers.values().filter(|worker| {
            !worker.is_reserved_for_suspect(self.now)
                && request.is_eligible(worker)
                && request.fits(worker)
        });
        let unsettled = |worker: &&Worker| {
            let runs = worker.runs.values();
            let unsettled = runs.filter(|state| !state.is_settled).count();
            (unsettled, worker.runs.len())
        };
        let chosen = candidates.min_by_key(unsettled)?;
        Some(Arc::clone(&chosen.info.id))
    }

    /// Returns the probation of a run that is about to start on a worker, if its task is a suspect
    /// and would be apart from others there. Others on the worker are no longer apart.
    pub(crate) fn begin_probation(&mut self, id: &Arc<str>, run: RunId) -> Option<Probation> {
        let now = self.now;
        let job = self.jobs.get(run.task.job)?;
        let gang = job.gang_of(run.task);
        let task = job.step(run.task)?.history(run.task.index)?;
        let worker = self.workers.get_mut(id)?;
        let probation = task.crashes.probation;
        let probation = probation.filter(|_| worker.may_run_apart(gang, task));
        match probation {
            Some(probation) => worker.apart_until = now + probation.max_duration(),
            None => worker.end_probations(),
        }
        probation
    }
}

/// Requirements for which suspects found no worker in this tick, so that others with the same ones
/// are not searched for again.
#[derive(Default)]
struct FailedSearches {
    /// Searches for a worker to be apart on, by whether the suspect may share one, and at any time.
    apart: BTreeMap<(bool, bool), Unplaced>,
    /// Searches for a worker to keep free.
    prepared: Unplaced,
    /// Searches for any worker with room.
    startable: Unplaced,
}

/// Workers of each service that are kept free for suspects.
struct SuspectPlaces {
    by_service: BTreeMap<Arc<str>, ServicePlaces>,
    /// Number of suspects of a single crash that share a worker.
    cohort_size: usize,
}

/// Workers of one service that are kept free for suspects.
#[derive(Default)]
struct ServicePlaces {
    /// Number of ready workers.
    ready: usize,
    /// Number of workers that are kept free for a suspect, or on which one is on probation.
    reserved: usize,
    /// Number of reserved workers that no suspect has taken.
    prepared: usize,
}

impl SuspectPlaces {
    fn new(workers: &BTreeMap<Arc<str>, Worker>, now: Millis, waiting: usize) -> Self {
        let mut by_service: BTreeMap<Arc<str>, ServicePlaces> = BTreeMap::new();
        for worker in workers.values().filter(|worker| worker.is_ready(now)) {
            let places = by_service
                .entry(Arc::clone(&worker.info.service))
                .or_default();
            let is_reserved = worker.is_reserved_for_suspect(now);
            places.ready += 1;
            places.reserved += usize::from(is_reserved);
            places.prepared += usize::from(is_reserved && !worker.has_probation());
        }
        let max_reserved = by_service.values().map(ServicePlaces::max_reserved);
        let cohort_size = waiting.div_ceil(max_reserved.sum::<usize>().max(1));
        Self {
            by_service,
            cohort_size: cohort_size.clamp(1, MAX_COHORT),
        }
    }

    /// Returns whether a suspect may start on a worker that is free of recent starts already: on all
    /// but a quarter, because others hardly start while there are many of them.
    fn may_take(&self, service: &Arc<str>) -> bool {
        let places = self.by_service.get(service);
        places.is_some_and(|places| places.reserved - places.prepared < places.max_taken())
    }

    /// Returns whether a worker may be kept free for a suspect.
    fn may_reserve(&self, service: &Arc<str>) -> bool {
        let places = self.by_service.get(service);
        places.is_some_and(|places| places.reserved < places.max_reserved())
    }

    fn reserve(&mut self, service: &Arc<str>) {
        if let Some(places) = self.by_service.get_mut(service) {
            places.reserved += 1;
        }
    }

    fn release(&mut self, service: &Arc<str>) {
        if let Some(places) = self.by_service.get_mut(service) {
            places.reserved -= 1;
        }
    }

    /// Takes a worker that is kept free and that no suspect has taken. Returns whether there is one.
    fn take_prepared(&mut self, service: &Arc<str>) -> bool {
        let places = self.by_service.get_mut(service);
        let Some(places) = places.filter(|places| places.prepared > 0) else {
            return false;
        };
        places.prepared -= 1;
        true
    }
}

impl ServicePlaces {
    fn max_taken(&self) -> usize {
        (self.ready - self.ready.div_ceil(4)).max(1)
    }

    fn max_reserved(&self) -> usize {
        (self.ready / MAX_PROBATION_DIVISOR).max(1)
    }
}

impl PlacementRequest<'_> {
    /// Returns whether the task would be apart from others on a worker.
    pub(crate) fn would_be_apart(&self, worker: &Worker) -> bool {
        let first = self.step_id.task(0);
        let gang = self.job.gang_of(first);
        let history = gang.and_then(|_| self.job.task(first));
        worker.may_run_apart(gang, history.unwrap_or(self.task))
    }
}

impl Worker {
    /// Returns whether the worker is kept free of starts for a suspect, or a suspect on probation
    /// runs there.
    pub(crate) fn is_reserved_for_suspect(&self, now: Millis) -> bool {
        now < self.apart_until
    }

    /// Returns whether a suspect on probation runs here that would be given up after one more crash.
    /// Nothing else starts here until its probation ends, which it does after a bounded time.
    pub(crate) fn is_exclusive(&self, now: Millis) -> bool {
        let is_exclusive =
            |state: &WorkerRun| state.probation == Some(Probation::Start) && state.is_exclusive;
        self.is_reserved_for_suspect(now) && self.runs.values().any(is_exclusive)
    }

    pub(crate) fn has_probation(&self) -> bool {
        self.runs.values().any(|state| state.probation.is_some())
    }

    /// Returns whether a suspect would be apart from others: none has just started here, none is on
    /// probation, and the worker has listed its runs since the suspect's last crash. Without that,
    /// it may have been lost together with the worker that crashed, for example with their rack, and
    /// the suspect would be taken for the cause. Other members of the suspect's gang do not count.
    fn may_run_apart(&self, gang: Option<StepId>, task: &Task) -> bool {
        let is_harmless = |(run, state): (&RunId, &WorkerRun)| {
            state.is_settled && state.probation.is_none() || gang == Some(run.task.of_step())
        };
        let may_join = self.cohort_room > 0 && task.crashes.may_share()
            || task.crashes.is_overdue && self.is_cohort && self.has_probation();
        self.listed_at >= task.crashes.crashed_at && (may_join || self.runs.iter().all(is_harmless))
    }

    /// Ends the probation of a run, or of the gang that it is part of.
    pub(crate) fn end_probation(&mut self, run: RunId) {
        if let Some(state) = self.runs.get_mut(&run) {
            state.probation = None;
        }
        if !self.has_probation() {
            self.apart_until = Millis(0);
        }
    }

    /// Ends all probations, because another task starts.
    fn end_probations(&mut self) {
        for state in self.runs.values_mut() {
            state.probation = None;
        }
        self.apart_until = Millis(0);
    }
}

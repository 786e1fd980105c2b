//! Choice of a worker for a task.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::WaitCause;
use crate::advice::StepAdvice;
use crate::hidden_ends::CanaryWorkers;
use crate::interference::InterferenceModel;
use crate::jobs::Job;
use crate::limits::{
    MIN_REMAINING_HEADROOM, MIN_SPEED_PERCENT, RELAXED_SEARCH_WAIT, SLOW_WORKER_SPEED,
    THROTTLE_RATIO, UNKNOWN_START_COST, UNRESTRICTED_SEARCH_WAIT,
};
use crate::occurrences::Task;
use crate::owners::Owner;
use crate::workers::Worker;
use crate::{Policy, QueueRule, Resources, StepId, StepSpec, TaskId};

/// Reduction of the preference for a worker on which runs made no progress or starts were refused. It
/// exceeds the sum of all preferences below, so that such a worker is chosen only if no other can run
/// the task.
const SUSPECT_PENALTY: i64 = 16_000_000;
/// Reduction of the preference for a worker on which the task would be a canary. It exceeds the sum of all
/// preferences below.
const CANARY_PENALTY: i64 = 16_000_000;
/// Reduction of the preference of a suspect for a worker with other runs, and for each of them.
const SHARED_WORKER_PENALTY: i64 = 5_000_000;
const OTHER_RUN_PENALTY: i64 = 100_000;
/// Number of other runs from which all workers are alike to a suspect.
const MAX_OTHER_RUNS: usize = 40;
/// Reduction of the preference for a worker in quarantine, which comes behind all suspect ones.
const QUARANTINE_PENALTY: i64 = 32_000_000;
/// Reduction of the preference for a worker that a task avoids, for each one that it avoids less. It
/// exceeds the sum of the others, because a worker that refused the task is likely to refuse it again.
const AVOIDED_PENALTY: i64 = 64_000_000;

/// Largest preference for idle processors, in thousandths of a core, so that a worker of any size stays
/// below the penalties above.
const MAX_CPU_PREFERENCE: u64 = 10_000_000;

/// Workers that a search considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum SearchLevel {
    /// Workers on which all runs make progress and that refuse no starts. A best-effort task starts
    /// only on idle processors and beside latency-critical tasks that are below their targets, slowed
    /// if necessary.
    Strict,
    /// Also the others, after those. A best-effort task may start slowed where other best-effort
    /// tasks have requested all idle processors, and beside a latency-critical task that is over its
    /// target if there is one on each worker that could run it.
    Relaxed,
    /// Also workers in quarantine, after all others.
    Unrestricted,
}

/// Workers for the tasks of one step, by preference, so that they are not all compared again for
/// each task.
#[derive(Debug, Default)]
pub(crate) struct RankedWorkers {
    /// None until the first task needs a worker. Entries may be out of date.
    entries: Option<BinaryHeap<(i64, Arc<str>)>>,
}

impl RankedWorkers {
    /// Chooses the worker for a task of the step, as [`PlacementRequest::choose_worker`] does.
    pub(crate) fn choose(
        &mut self,
        request: &PlacementRequest<'_>,
        workers: &BTreeMap<Arc<str>, Worker>,
    ) -> Option<Arc<str>> {
        if !request.task.avoided_workers.is_empty() {
            // The ranking does not hold for this task.
            return request.choose_worker(workers);
        }
        let entries = self.entries.get_or_insert_with(|| {
            let candidates = workers.values().filter_map(|worker| {
                let score = request.candidate_score(worker)?;
                Some((score, Arc::clone(&worker.info.id)))
            });
            candidates.collect()
        });
        while let Some((score, id)) = entries.pop() {
            let current = workers.get(&id).and_then(|w| request.candidate_score(w));
            if current == Some(score) {
                return Some(id);
            }
            entries.extend(current.map(|current| (current, id)));
        }
        None
    }

    /// Ranks a worker again after a task was placed there.
    pub(crate) fn update(&mut self, request: &PlacementRequest<'_>, worker: &Worker) {
        if let Some(entries) = &mut self.entries {
            let score = request.candidate_score(worker);
            entries.extend(score.map(|score| (score, Arc::clone(&worker.info.id))));
        }
    }
}

/// Task that needs a worker, with the state that the choice depends on.
#[derive(Clone, Copy)]
pub(crate) struct PlacementRequest<'a> {
    pub(crate) now: Millis,
    pub(crate) policy: &'a Policy,
    pub(crate) interference: &'a InterferenceModel,
    pub(crate) job: &'a Job,
    pub(crate) step_id: StepId,
    pub(crate) task: &'a Task,
    /// Rack that the worker must be in, if the choice is limited to one.
    pub(crate) rack: Option<&'a Arc<str>>,
    /// Tickets for the step, if advice was requested for it.
    pub(crate) advice: Option<&'a StepAdvice>,
    /// Workers that are considered.
    pub(crate) level: SearchLevel,
    /// Whether the task may delay a gang that capacity is kept for.
    pub(crate) may_use_kept: bool,
    /// Whether the task has to start apart from others, because workers have crashed under it.
    pub(crate) is_apart: bool,
    /// Workers on which the task may start as a canary.
    pub(crate) canary_workers: CanaryWorkers,
}

impl Job {
    /// Returns which workers are considered for a task. The search is relaxed for a job, and for a
    /// service task, of which nothing has run for some time: a preference must not keep it waiting
    /// without bound.
    pub(crate) fn search_level(&self, now: Millis, id: TaskId) -> SearchLevel {
        let idle_since = self.inactive_since(id.occurrence);
        let spec = &self.spec.steps[usize::from(id.step)];
        let has_waited = |wait: Millis| {
            let is_overdue = |since: Millis| now >= since + wait;
            let is_task_away = || spec.is_service && is_overdue(self.away_since(id));
            is_overdue(idle_since) && self.is_idle() || is_task_away()
        };
        if !has_waited(RELAXED_SEARCH_WAIT) {
            SearchLevel::Strict
        } else if !has_waited(UNRESTRICTED_SEARCH_WAIT) {
            SearchLevel::Relaxed
        } else {
            SearchLevel::Unrestricted
        }
    }
}

impl Owner {
    /// Returns the placement request for a task, or none if the task does not exist.
    pub(crate) fn placement_request<'a>(
        &'a self,
        id: TaskId,
        rack: Option<&'a Arc<str>>,
    ) -> Option<PlacementRequest<'a>> {
        let job = self.jobs.get(id.job)?;
        let request = PlacementRequest {
            now: self.now,
            policy: &self.policy,
            interference: &self.interference,
            job,
            step_id: id.of_step(),
            task: job.task(id)?,
            rack,
            advice: self.advice.get(id.of_step()),
            level: job.search_level(self.now, id),
            may_use_kept: false,
            is_apart: false,
            canary_workers: self.canary_workers(&job.current_rule(&self.policy).service),
        };
        let may_use_kept = self.may_use_kept(&request);
        Some(PlacementRequest {
            may_use_kept,
            ..request
        })
    }
}

impl PlacementRequest<'_> {
    pub(crate) fn spec(&self) -> &StepSpec {
        &self.job.spec.steps[usize::from(self.step_id.step)]
    }

    fn rule(&self) -> &QueueRule {
        self.job.current_rule(self.policy)
    }

    /// Returns whether the step runs only on workers that it has a ticket for.
    pub(crate) fn needs_ticket(&self) -> bool {
        self.rule().needs_tickets
    }

    /// Returns whether any worker of the service may run any number of the step's tasks, so that a
    /// failed search also holds for steps that need more.
    pub(crate) fn is_unconstrained(&self) -> bool {
        let spec = self.spec();
        spec.max_per_worker == 0 && spec.label.is_none() && !self.needs_ticket()
    }

    /// Returns the service whose workers run the task.
    pub(crate) fn service(&self) -> &Arc<str> {
        &self.rule().service
    }

    /// Returns whether a worker stays, runs the task's service and is in an open failure domain,
    /// whether it is reachable or not.
    pub(crate) fn is_in_service(&self, worker: &Worker) -> bool {
        worker.is_staying()
            && worker.info.service == *self.service()
            && !self.policy.closed_domains.contains(&worker.info.domain)
    }

    /// Returns whether a worker accepts tasks and satisfies the service, failure domain, label and
    /// rack requirements of the task.
    pub(crate) fn matches(&self, worker: &Worker) -> bool {
        let spec = self.spec();
        let has = |label: &Arc<str>| worker.info.labels.contains(label);
        worker.accepts_tasks(self.now)
            && self.is_in_service(worker)
            && self.level >= self.required_level(worker)
            && (!self.is_apart || self.would_be_apart(worker))
            && (self.is_apart || !worker.is_exclusive(self.now))
            && (!self.is_canary_on(worker) || self.admits_canary(worker))
            && spec.label.as_ref().is_none_or(has)
            && self.rack.is_none_or(has)
    }

    /// Returns whether a worker matches and a ticket for it exists where one is needed.
    pub(crate) fn is_eligible(&self, worker: &Worker) -> bool {
        let has_ticket = || {
            let advice = self.advice;
            advice.is_some_and(|advice| advice.ticket(self.now, worker).is_some())
        };
        self.matches(worker) && (!self.needs_ticket() || has_ticket())
    }

    /// Returns whether a worker has enough available capacity for the task and has not reached the
    /// step's limit per worker. One whose runs exceed its capacity gets no further ones, not even
    /// best-effort tasks, and one without processors none that work on idle ones.
    pub(crate) fn fits(&self, worker: &Worker) -> bool {
        self.is_below_step_limit(worker)
            && worker.is_within_capacity()
            && self.available(worker).covers(&self.spec().reserved())
            && (worker.info.capacity.cpu > 0 || self.spec().resources.cpu == 0)
    }

    fn available(&self, worker: &Worker) -> Resources {
        match self.may_use_kept {
            true => worker.free(),
            false => worker.available(self.now, self.spec()),
        }
    }

    /// Returns the number of tasks of the step that a worker has capacity for.
    pub(crate) fn count_places(&self, worker: &Worker) -> u32 {
        let spec = self.spec();
        let limit = match spec.max_per_worker {
            0 => spec.count,
            limit => limit.saturating_sub(worker.step_run_count(self.step_id)),
        };
        let available = self.available(worker);
        available.count_fitting(&spec.reserved(), limit.min(spec.count))
    }

    fn is_below_step_limit(&self, worker: &Worker) -> bool {
        let limit = self.spec().max_per_worker;
        limit == 0 || worker.step_run_count(self.step_id) < limit
    }

    /// Returns whether a worker could run the task if it had enough free capacity.
    pub(crate) fn fits_after_preemption(&self, worker: &Worker) -> bool {
        self.is_eligible(worker) && self.is_below_step_limit(worker)
    }

    /// Returns whether a worker has unused processors for a best-effort task. One that runs no
    /// best-effort task always accepts the first.
    pub(crate) fn has_unused_cpu(&self, worker: &Worker) -> bool {
        worker.unused_cpu() >= self.spec().resources.cpu || worker.best_effort_cpu == 0
    }

    /// Returns whether a best-effort task may start on a worker: there are unused processors, and
    /// all latency-critical tasks there are expected to stay well below their targets.
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
        let cores = worker.normalized_cores(spec.resources.cpu);
        let loads = &worker.best_effort_loads;
        for (run, worker_run) in worker.critical_runs() {
            let (now, critical_image) = (self.now, &worker_run.image);
            let Some(ratio) = worker_run.latency_ratio() else {
                return false;
            };
            let added = cores * self.interference.weight(now, image, critical_image);
            let expected =
                self.interference
                    .expected_headroom(now, run.task.job, critical_image, loads);
            if expected.min(1.0 / ratio) - added < MIN_REMAINING_HEADROOM {
                return false;
            }
        }
        worker.start_budget >= self.start_cost(worker)
    }

    /// Returns the preference of the task for a worker; the highest value wins.
    pub(crate) fn score(&self, worker: &Worker) -> i64 {
        let penalty = self.task.avoidance(&worker.info.id) as i64 * AVOIDED_PENALTY;
        self.step_score(worker) - penalty
    }

    /// Returns the level of searches that consider a worker.
    fn required_level(&self, worker: &Worker) -> SearchLevel {
        let is_reserved = !self.is_apart && worker.is_reserved_for_suspect(self.now);
        let level = if worker.is_quarantined(self.now) || is_reserved {
            SearchLevel::Unrestricted
        } else if self.now < worker.suspect_until {
            SearchLevel::Relaxed
        } else {
            SearchLevel::Strict
        };
        match self.is_canary_on(worker) {
            true => level.max(worker.canary_level(self.spec())),
            false => level,
        }
    }

    /// Returns the preference of all tasks of the step for a worker.
    fn step_score(&self, worker: &Worker) -> i64 {
        let spec = self.spec();
        let mut score = 0_i64;
        score -= match self.required_level(worker) {
            SearchLevel::Strict => 0,
            SearchLevel::Relaxed => SUSPECT_PENALTY,
            SearchLevel::Unrestricted => QUARANTINE_PENALTY,
        };
        if self.is_canary_on(worker) {
            score -= CANARY_PENALTY;
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
        if self.is_apart && !worker.runs.is_empty() {
            // A crash would also end the other runs.
            let others = worker.runs.len().min(MAX_OTHER_RUNS) as i64;
            score -= SHARED_WORKER_PENALTY + others * OTHER_RUN_PENALTY;
        }
        let unused_cpu = worker.unused_cpu().min(MAX_CPU_PREFERENCE) as i64;
        let best_effort_cpu = worker.best_effort_cpu.min(MAX_CPU_PREFERENCE) as i64;
        if spec.is_latency_critical() {
            // Latency-critical tasks are packed onto few workers, so that others are free for
            // best-effort tasks.
            score += if worker.critical_count > 0 {
                1_000_000
            } else {
                0
            };
            score -= best_effort_cpu;
        } else if spec.is_best_effort {
            // Best-effort tasks with little interference run beside latency-critical ones, which
            // leaves the other workers to those with more.
            score += if worker.critical_count > 0 {
                100_000
            } else {
                0
            };
            score += unused_cpu;
        } else {
            // Other tasks run beside latency-critical ones, which leaves the remaining workers to
            // best-effort tasks.
            score += if worker.critical_count > 0 {
                500_000
            } else {
                0
            };
            score += unused_cpu;
        }
        score
    }

    /// Returns what starting the best-effort task takes from the worker's start budget: more while
    /// its interference with any latency-critical task there is unknown.
    pub(crate) fn start_cost(&self, worker: &Worker) -> u32 {
        let Some(image) = &self.spec().image else {
            return UNKNOWN_START_COST;
        };
        let mut critical_runs = worker.critical_runs().map(|(_, worker_run)| worker_run);
        let is_interference_known = critical_runs.all(|worker_run| {
            self.interference
                .is_harmless(self.now, image, &worker_run.image)
        });
        if is_interference_known {
            1
        } else {
            UNKNOWN_START_COST
        }
    }

    /// Returns the speed, in percent, at which the latency-critical tasks of a worker are expected
    /// to tolerate the best-effort task.
    fn tolerable_speed(&self, worker: &Worker) -> u32 {
        if worker.critical_count == 0 {
            return 100;
        }
        let spec = self.spec();
        let image = spec.image.clone().unwrap_or_else(|| Arc::from(""));
        let cores = worker.normalized_cores(spec.resources.cpu);
        let loads = &worker.best_effort_loads;
        let mut speed_share = 1.0_f32;
        for (run, worker_run) in worker.critical_runs() {
            let (now, critical_image) = (self.now, &worker_run.image);
            let expected =
                self.interference
                    .expected_headroom(now, run.task.job, critical_image, loads);
            let headroom = worker_run
                .latency_ratio()
                .map_or(expected, |ratio| expected.min(1.0 / ratio));
            let added = cores * self.interference.weight(now, &image, critical_image);
            speed_share = speed_share.min((headroom - MIN_REMAINING_HEADROOM) / added.max(0.001));
        }
        ((speed_share * 100.0) as u32).clamp(MIN_SPEED_PERCENT, 100)
    }

    /// Returns why no worker can run the task now.
    pub(crate) fn wait_cause(&self, workers: &BTreeMap<Arc<str>, Worker>) -> WaitCause {
        let mut matching = workers.values().filter(|worker| self.matches(worker));
        if self.needs_ticket() && matching.clone().any(|worker| self.fits(worker)) {
            return WaitCause::Ticket;
        }
        if !self.spec().is_best_effort {
            return WaitCause::Capacity;
        }
        let mut fitting = matching.clone().filter(|worker| self.fits(worker));
        if fitting.any(|worker| self.has_unused_cpu(worker)) {
            WaitCause::Interference
        } else if matching.any(|worker| self.fits(worker)) {
            WaitCause::IdleCpu
        } else {
            WaitCause::Capacity
        }
    }

    /// Returns whether a worker that the task fits on could run it at full speed now.
    pub(crate) fn admits(&self, worker: &Worker) -> bool {
        !self.spec().is_best_effort || self.admits_best_effort(worker)
    }

    /// Returns whether a worker can run tasks of the step now.
    fn is_candidate(&self, worker: &Worker) -> bool {
        self.is_eligible(worker) && self.fits(worker) && self.admits(worker)
    }

    /// Returns the preference of the step for a worker, or none if it cannot run its tasks now.
    fn candidate_score(&self, worker: &Worker) -> Option<i64> {
        self.is_candidate(worker).then(|| self.step_score(worker))
    }

    /// Chooses the worker for the task. Returns none if no worker can run it now.
    pub(crate) fn choose_worker(&self, workers: &BTreeMap<Arc<str>, Worker>) -> Option<Arc<str>> {
        self.choose_worker_if(workers, |_| true)
    }

    /// Chooses the worker for the task among some.
    pub(crate) fn choose_worker_if(
        &self,
        workers: &BTreeMap<Arc<str>, Worker>,
        is_open: impl Fn(&Worker) -> bool,
    ) -> Option<Arc<str>> {
        let open = workers.values().filter(|worker| is_open(worker));
        let candidates = open.filter(|worker| self.is_candidate(worker));
        let best = candidates.max_by_key(|worker| self.score(worker))?;
        Some(Arc::clone(&best.info.id))
    }

    /// Returns whether a best-effort task may start on a worker at a reduced speed: there are unused
    /// processors, and no latency-critical task is over its target.
    fn may_start_slowed(&self, worker: &Worker) -> bool {
        self.has_unused_cpu(worker) && is_below_targets(worker)
    }

    /// Chooses a worker for a best-effort task that has waited too long, and the speed at which it
    /// starts, in percent: reduced if no worker is expected to tolerate it at full speed.
    pub(crate) fn choose_slowed(
        &self,
        workers: &BTreeMap<Arc<str>, Worker>,
    ) -> Option<(Arc<str>, u32)> {
        // Speeds are compared only if no worker has the highest rank below, which is cheaper.
        let is_first_choice = |id: &Arc<str>| {
            let worker = &workers[id];
            self.task.avoidance(id) == 0 && self.required_level(worker) == SearchLevel::Strict
        };
        if let Some(id) = self.choose_worker(workers).filter(is_first_choice) {
            return Some((id, 100));
        }
        let candidates = workers.values().filter(|worker| {
            self.is_eligible(worker)
                && self.fits(worker)
                && (self.level >= SearchLevel::Relaxed || self.may_start_slowed(worker))
        });
        let ranked = candidates.map(|worker| {
            let is_admitted = self.admits_best_effort(worker);
            let (speed_percent, requested_cpu) = match is_admitted {
                true => (100, 0),
                false => (
                    self.tolerable_speed(worker),
                    worker.normalized_cores(worker.best_effort_cpu) as u64,
                ),
            };
            // Better a reduced speed than a start on a worker that holds back, that has latency-critical
            // tasks over their targets, or that refused the task or failed it.
            let rank = (
                Reverse(self.task.avoidance(&worker.info.id)),
                is_below_targets(worker),
                Reverse(self.required_level(worker)),
                is_admitted,
                speed_percent,
                Reverse(requested_cpu),
                self.score(worker),
            );
            (rank, worker, speed_percent)
        });
        let (_, worker, speed_percent) = ranked.max_by_key(|(rank, ..)| *rank)?;
        Some((Arc::clone(&worker.info.id), speed_percent))
    }
}

/// Returns whether no latency-critical task of a worker was over its target in the last report.
fn is_below_targets(worker: &Worker) -> bool {
    let mut runs = worker.critical_runs();
    worker.critical_count == 0
        || runs.all(|(_, run)| {
            run.latency_ratio()
                .is_none_or(|ratio| ratio <= THROTTLE_RATIO)
        })
}

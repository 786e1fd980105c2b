//! Protection of latency-critical tasks from interference by batch tasks on the same worker.
//!
//! A controller for each worker uses the slowdown that its latency-critical tasks report. Reports
//! are delayed, so that after each action the controller waits until reports can show its effect
//! before it acts again for the same cause. It throttles first, then evicts, and meanwhile pauses
//! placements of batch jobs on the worker.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{
    Class, EvictionCause, JobId, Millis, Reason, ServiceName, Subject, Usage, WorkerName,
};

use crate::Cell;
use crate::estimates::Pair;
use crate::jobs::Job;
use crate::workers::OrderKind;

/// Slowdown in percent, with 100 as no slowdown, above which a worker's batch tasks are restrained.
/// The goal for tail latency is within 10% of strict isolation.
const RESTRAIN_ABOVE_PERCENT: u32 = 115;
/// Slowdown in percent up to which throttles are released, one at a time.
const RELEASE_BELOW_PERCENT: u32 = 110;
/// Time after an action from which on measurements show its effect.
const ACTION_EFFECT_DELAY: Millis = Millis(1_500);
/// Time without a slowdown above `RELEASE_BELOW_PERCENT` before a throttle is released.
const RELEASE_DELAY: Millis = Millis(8_000);
/// Speed of a throttled task, in percent of its full speed.
const THROTTLED_SPEED_PERCENT: u8 = 30;
/// Evictions for protection in one cell within `EVICTION_WINDOW`, at most.
const MAX_EVICTIONS_PER_WINDOW: usize = 4;
/// Window of the limit on evictions.
const EVICTION_WINDOW: Millis = Millis(60_000);
/// Time for which placements of batch jobs on a worker are paused after each restraint.
const PLACEMENT_PAUSE: Millis = Millis(15_000);
/// Expected slowdown, in percent above no slowdown, from which on a batch job avoids a worker.
pub(crate) const HARMFUL_SLOWDOWN_PERCENT: u32 = 15;

/// State of the protection of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerGuard {
    /// Time of the last action; measurements from before its effect are ignored.
    last_action_at: Option<Millis>,
    /// Highest slowdown reported since the controller last ran, with the service that reported it.
    worst_report: Option<(u32, ServiceName)>,
    /// Time since which no report is above `RELEASE_BELOW_PERCENT`.
    calm_since: Option<Millis>,
    /// Time until which placements of batch jobs are paused.
    paused_until: Option<Millis>,
    /// Throttled tasks with their speed in percent.
    throttled: BTreeMap<JobId, u8>,
    /// Latest report of each latency-critical task. Workers only report changes, so that it is
    /// valid until the next report.
    latest_reports: BTreeMap<JobId, Usage>,
}

impl WorkerGuard {
    /// Returns whether a measurement made at `at` can show the effect of the last action.
    fn shows_effect(&self, at: Millis) -> bool {
        self.last_action_at
            .is_none_or(|acted| at >= acted + ACTION_EFFECT_DELAY)
    }

    fn is_paused(&self, now: Millis) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }
}

/// State of the protection of all workers of a cell.
#[derive(Debug, Default)]
pub(crate) struct Protection {
    guards: BTreeMap<WorkerName, WorkerGuard>,
    /// Times of the evictions within `EVICTION_WINDOW`.
    eviction_times: VecDeque<Millis>,
}

impl Cell {
    /// Applies the measurements in a worker's reply, which were made some time before.
    pub(crate) fn apply_usage(&mut self, now: Millis, name: &WorkerName, usage: &[Usage]) {
        for report in usage {
            let task = self.tasks.get_mut(&report.job);
            let task = task.filter(|t| t.attempt == report.attempt && t.worker == *name);
            let Some(task) = task else {
                continue;
            };
            task.checkpoint = task.checkpoint.max(report.checkpoint);
            task.work_done = task.work_done.max(report.work_done);
            if task.class == Class::LatencyCritical {
                self.apply_measurement(now, name, report);
            }
        }
        self.reapply_latest_reports(now, name, usage);
    }

    /// Applies the latest report of each latency-critical task again that the worker has not
    /// reported on, because its slowdown is unchanged.
    fn reapply_latest_reports(&mut self, now: Millis, name: &WorkerName, usage: &[Usage]) {
        let Some(guard) = self.protection.guards.get_mut(name) else {
            return;
        };
        let tasks = &self.tasks;
        guard.latest_reports.retain(|job, report| {
            let task = tasks.get(job);
            task.is_some_and(|t| t.attempt == report.attempt && t.worker == *name)
        });
        let latest_reports: Vec<Usage> = guard.latest_reports.values().cloned().collect();
        for report in latest_reports {
            if usage.iter().all(|fresh| fresh.job != report.job) {
                self.update_worst_report(now, name, &report);
            }
        }
    }

    /// Updates the estimates with the slowdown of a latency-critical task, and passes it to the
    /// controller.
    fn apply_measurement(&mut self, now: Millis, name: &WorkerName, report: &Usage) {
        let at = now - report.sample_age;
        let Some(job) = self.ledger.jobs.get(&report.job) else {
            return;
        };
        let victim = job.spec.service.clone();
        let neighbours = self.neighbours_at(name, at);
        self.estimates
            .update(now, &victim, &neighbours, report.slowdown);
        let guard = self.protection.guards.entry(name.clone()).or_default();
        guard
            .latest_reports
            .insert(report.job.clone(), report.clone());
        self.update_worst_report(now, name, report);
    }

    /// Passes a measurement to the worker's controller, unless it is older than the last action's
    /// effect.
    fn update_worst_report(&mut self, now: Millis, name: &WorkerName, report: &Usage) {
        let at = now - report.sample_age;
        let Some(job) = self.ledger.jobs.get(&report.job) else {
            return;
        };
        let victim = job.spec.service.clone();
        let guard = self.protection.guards.entry(name.clone()).or_default();
        if !guard.shows_effect(at) {
            return;
        }
        if guard
            .worst_report
            .as_ref()
            .is_none_or(|(worst, _)| report.slowdown > *worst)
        {
            guard.worst_report = Some((report.slowdown, victim));
        }
    }

    /// Returns the kinds of the batch tasks that ran on a worker at the time `at`, with their
    /// speeds in percent.
    fn neighbours_at(&self, name: &WorkerName, at: Millis) -> Vec<(ServiceName, u32)> {
        let guard = self.protection.guards.get(name);
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let tasks = worker.tasks.iter().filter_map(|id| {
            let task = self.tasks.get(id)?;
            let job = self.ledger.jobs.get(id)?;
            let was_running =
                task.is_started && task.running_since <= at && task.class != Class::LatencyCritical;
            let percent = guard.and_then(|g| g.throttled.get(id)).map_or(100, |p| *p);
            was_running.then(|| (job.spec.kind.clone(), u32::from(percent)))
        });
        tasks.collect()
    }

    /// Runs the controllers: at most one action for each worker until its effect is measured.
    pub(crate) fn protect_services(&mut self, now: Millis) {
        let names: Vec<WorkerName> = self.protection.guards.keys().cloned().collect();
        for name in names {
            self.drop_stale_throttles(&name);
            self.release_without_critical(&name);
            let guard = self.protection.guards.get_mut(&name);
            let Some((slowdown, victim)) = guard.and_then(|guard| guard.worst_report.take()) else {
                continue;
            };
            if slowdown > RESTRAIN_ABOVE_PERCENT {
                self.restrain_neighbours(now, &name, &victim);
            } else {
                self.release_one_throttle(now, &name, slowdown);
            }
        }
    }

    /// Removes the throttles of tasks that no longer run on the worker.
    fn drop_stale_throttles(&mut self, name: &WorkerName) {
        let tasks = self.workers.get(name).map(|worker| &worker.tasks);
        if let Some(guard) = self.protection.guards.get_mut(name) {
            guard
                .throttled
                .retain(|job, _| tasks.is_some_and(|tasks| tasks.contains(job)));
        }
    }

    /// Releases all throttles on a worker without latency-critical tasks.
    fn release_without_critical(&mut self, name: &WorkerName) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let is_critical = |id: &JobId| {
            let task = self.tasks.get(id);
            task.is_some_and(|task| task.class == Class::LatencyCritical)
        };
        if worker.tasks.iter().any(is_critical) {
            return;
        }
        let Some(guard) = self.protection.guards.remove(name) else {
            return;
        };
        for job in guard.throttled.keys() {
            self.set_speed(name, job, 100);
        }
    }

    /// Throttles the suspects, or evicts one if all are throttled already, and pauses placements.
    /// Without suspects the service is slow by itself, and a pause would not help it.
    fn restrain_neighbours(&mut self, now: Millis, name: &WorkerName, victim: &ServiceName) {
        if let Some(guard) = self.protection.guards.get_mut(name) {
            guard.calm_since = None;
        }
        let unthrottled = self.suspects(name, victim, false);
        if unthrottled.is_empty() && self.suspects(name, victim, true).is_empty() {
            return;
        }
        let has_acted = if unthrottled.is_empty() {
            self.evict_suspect(now, name, victim)
        } else {
            self.throttle_jobs(now, name, victim, &unthrottled);
            true
        };
        let Some(guard) = self.protection.guards.get_mut(name) else {
            return;
        };
        let was_paused = guard.is_paused(now);
        guard.paused_until = Some(now + PLACEMENT_PAUSE);
        if has_acted {
            guard.last_action_at = Some(now);
        }
        if !was_paused {
            let reason = Reason::PlacementsPaused(name.clone());
            self.explanations
                .add(now, Subject::Worker(name.clone()), reason);
        }
    }

    /// Returns the batch tasks that may cause a slowdown of `victim`, either the throttled or the
    /// unthrottled ones, most harmful first.
    fn suspects(&self, name: &WorkerName, victim: &ServiceName, is_throttled: bool) -> Vec<JobId> {
        let (Some(worker), Some(guard)) =
            (self.workers.get(name), self.protection.guards.get(name))
        else {
            return Vec::new();
        };
        let mut suspects: Vec<(u32, &JobId)> = Vec::new();
        for id in &worker.tasks {
            let (Some(task), Some(job)) = (self.tasks.get(id), self.ledger.jobs.get(id)) else {
                continue;
            };
            let is_running = task.is_started
                && !task.is_closing
                && task.eviction_cause.is_none()
                && job.end.is_none();
            let is_selected = guard.throttled.contains_key(id) == is_throttled;
            if is_running && is_selected && task.class != Class::LatencyCritical {
                let pair = Pair::new(victim, &job.spec.kind);
                suspects.push((self.estimates.slowdown(&pair), id));
            }
        }
        suspects.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        // Kinds with a low estimate are left out if another kind has a high one.
        let has_likely_cause = suspects
            .iter()
            .any(|(estimate, _)| *estimate >= HARMFUL_SLOWDOWN_PERCENT / 2);
        suspects
            .into_iter()
            .filter(|(estimate, _)| !has_likely_cause || *estimate >= HARMFUL_SLOWDOWN_PERCENT / 2)
            .map(|(_, id)| id.clone())
            .collect()
    }

    /// Throttles tasks to `THROTTLED_SPEED_PERCENT`.
    fn throttle_jobs(
        &mut self,
        now: Millis,
        name: &WorkerName,
        victim: &ServiceName,
        jobs: &[JobId],
    ) {
        let reason = Reason::Throttled {
            worker: name.clone(),
            percent: u32::from(THROTTLED_SPEED_PERCENT),
            victim: victim.clone(),
        };
        self.explanations
            .add(now, Subject::Service(victim.clone()), reason);
        for job in jobs {
            self.set_speed(name, job, THROTTLED_SPEED_PERCENT);
            let reason = Reason::Throttled {
                worker: name.clone(),
                percent: u32::from(THROTTLED_SPEED_PERCENT),
                victim: victim.clone(),
            };
            self.explain_job(now, job, reason);
        }
    }

    /// Orders a speed for a task, and stores its throttle.
    fn set_speed(&mut self, name: &WorkerName, job: &JobId, percent: u8) {
        if let Some(worker) = self.workers.get_mut(name) {
            // A pending order to start, evict or stop the task takes precedence.
            let order = worker.pending_orders.entry(job.clone());
            let order = order.or_insert(OrderKind::Throttle(percent));
            if matches!(order, OrderKind::Throttle(_)) {
                *order = OrderKind::Throttle(percent);
            }
        }
        if let Some(guard) = self.protection.guards.get_mut(name) {
            if percent < 100 {
                guard.throttled.insert(job.clone(), percent);
            } else {
                guard.throttled.remove(job);
            }
        }
    }

    /// Evicts the throttled suspect that loses the least work, unless the limit on evictions is
    /// reached. Returns whether one was evicted.
    fn evict_suspect(&mut self, now: Millis, name: &WorkerName, victim: &ServiceName) -> bool {
        let evictions = &mut self.protection.eviction_times;
        while evictions
            .front()
            .is_some_and(|at| now.since(*at) > EVICTION_WINDOW)
        {
            evictions.pop_front();
        }
        if evictions.len() >= MAX_EVICTIONS_PER_WINDOW {
            return false;
        }
        let suspects = self.suspects(name, victim, true);
        let movable = suspects.into_iter().filter(|id| self.is_movable(id));
        let Some(job) = movable.min_by_key(|id| self.unsaved_work(id)) else {
            return false;
        };
        self.protection.eviction_times.push_back(now);
        self.evict(now, &job, EvictionCause::Protect);
        let note = Reason::Other(format!(
            "{job} is evicted from {name} to protect the service"
        ));
        self.explanations
            .add(now, Subject::Service(victim.clone()), note);
        true
    }

    /// Returns the work since a task's last checkpoint, in milliseconds, which an abrupt end would
    /// lose.
    pub(crate) fn unsaved_work(&self, id: &JobId) -> u64 {
        let task = self.tasks.get(id);
        task.map_or(0, |task| task.work_done.saturating_sub(task.checkpoint))
    }

    /// Releases one throttle after `RELEASE_DELAY` without a high slowdown.
    fn release_one_throttle(&mut self, now: Millis, name: &WorkerName, slowdown: u32) {
        let Some(guard) = self.protection.guards.get_mut(name) else {
            return;
        };
        if slowdown > RELEASE_BELOW_PERCENT {
            guard.calm_since = None;
            return;
        }
        let since = *guard.calm_since.get_or_insert(now);
        if now.since(since) < RELEASE_DELAY {
            return;
        }
        guard.calm_since = Some(now);
        if let Some(job) = guard.throttled.keys().next().cloned() {
            guard.last_action_at = Some(now);
            self.set_speed(name, &job, 100);
        }
    }

    /// Returns the expected slowdown if a job runs on a worker, in percent above no slowdown: for a
    /// batch job that of the worker's latency-critical tasks, otherwise that of the job itself.
    pub(crate) fn expected_slowdown(&self, name: &WorkerName, job: &Job) -> u32 {
        let Some(worker) = self.workers.get(name) else {
            return 0;
        };
        let mut sum = 0_u32;
        for id in &worker.tasks {
            let Some(other) = self.ledger.jobs.get(id) else {
                continue;
            };
            let pair = match (job.is_service_task(), other.is_service_task()) {
                (true, false) => Pair::new(&job.spec.service, &other.spec.kind),
                (false, true) => Pair::new(&other.spec.service, &job.spec.kind),
                _ => continue,
            };
            sum = sum.saturating_add(self.estimates.slowdown(&pair));
        }
        sum
    }

    /// Returns whether placements of batch jobs on a worker are paused.
    pub(crate) fn has_paused_placements(&self, now: Millis, name: &WorkerName) -> bool {
        let guard = self.protection.guards.get(name);
        guard.is_some_and(|guard| guard.is_paused(now))
    }
}

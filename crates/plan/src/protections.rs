//! Protection of latency-critical tasks from their neighbours.
//!
//! For each worker a controller watches the slowdown that its latency-critical tasks report. The
//! reports lag, so that after each action it waits until the action's effect can be seen before
//! it takes another for the same cause. It throttles first, then evicts, then holds placements.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{
    Class, EvictionCause, JobId, Millis, Reason, ServiceName, Subject, Usage, WorkerName,
};

use crate::Cell;
use crate::estimates::Pair;
use crate::jobs::Job;
use crate::workers::OrderKind;

/// Slowdown in percent above which a worker's batch tasks are restrained. The goal for tail
/// latency is within 10% of strict isolation.
const RESTRAIN_ABOVE_PERCENT: u32 = 115;
/// Slowdown in percent below which restraints are released, one at a time.
const RELEASE_BELOW_PERCENT: u32 = 110;
/// Time that an action needs to show beyond the age of the reports.
const ACTION_EFFECT_DELAY: Millis = Millis(1_500);
/// Time below `LOW` before a restraint is released.
const RELEASE_DELAY: Millis = Millis(8_000);
/// Share of its speed that a throttled task keeps, in percent.
const THROTTLED_SPEED_PERCENT: u8 = 30;
/// Evictions for protection in one cell within `EVICTION_WINDOW`.
const MAX_EVICTIONS_PER_WINDOW: usize = 4;
/// Window of the cap on evictions.
const EVICTION_WINDOW: Millis = Millis(60_000);
/// Time for which placements on a worker are held after an eviction.
const PLACEMENT_HOLD_TIME: Millis = Millis(15_000);
/// Expected slowdown, in percent above unhindered, at which a worker is avoided by a job.
pub(crate) const HARMFUL_SLOWDOWN_PERCENT: u32 = 15;

/// State of the protection of one worker.
#[derive(Clone, Debug, Default)]
pub(crate) struct WorkerGuard {
    /// Time of the last action; reports of measurements before its effect do not count.
    last_action_at: Option<Millis>,
    /// Worst slowdown of the reports since the last action, with the service that reported it.
    worst_report: Option<(u32, ServiceName)>,
    /// Since when all reports are below `LOW`.
    calm_since: Option<Millis>,
    held_until: Option<Millis>,
    throttled: BTreeMap<JobId, u8>,
    /// Latest report of each latency-critical task. Workers report changes only, so that it holds
    /// until the next.
    latest_reports: BTreeMap<JobId, Usage>,
}

impl WorkerGuard {
    /// Tells whether a measurement made at `at` can show the effect of the last action.
    fn shows_effect(&self, at: Millis) -> bool {
        self.last_action_at
            .is_none_or(|acted| at >= acted + ACTION_EFFECT_DELAY)
    }

    fn is_held(&self, now: Millis) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }
}

/// Protection of all workers of a cell.
#[derive(Debug, Default)]
pub(crate) struct Protection {
    guards: BTreeMap<WorkerName, WorkerGuard>,
    /// Times of recent evictions.
    eviction_times: VecDeque<Millis>,
}

impl Cell {
    /// Takes in lagging measurements of a worker.
    pub(crate) fn apply_usage(&mut self, now: Millis, name: &WorkerName, usage: &[Usage]) {
        for report in usage {
            let task = self.tasks.get_mut(&report.job);
            let task = task.filter(|t| t.attempt == report.attempt && t.worker == *name);
            let Some(task) = task else {
                continue;
            };
            task.checkpoint = task.checkpoint.max(report.checkpoint);
            task.work_done = task.work_done.max(report.done);
            if task.class == Class::LatencyCritical {
                self.apply_measurement(now, name, report);
            }
        }
        self.reapply_latest_reports(now, name, usage);
    }

    /// Takes the latest reports of the tasks that a worker did not report on as unchanged.
    fn reapply_latest_reports(&mut self, now: Millis, name: &WorkerName, usage: &[Usage]) {
        let Some(guard) = self.protection.guards.get_mut(name) else {
            return;
        };
        let tasks = &self.tasks;
        guard.latest_reports.retain(|job, report| {
            let task = tasks.get(job);
            task.is_some_and(|t| t.attempt == report.attempt && t.worker == *name)
        });
        let latest: Vec<Usage> = guard.latest_reports.values().cloned().collect();
        for report in latest {
            if usage.iter().all(|fresh| fresh.job != report.job) {
                self.update_worst_report(now, name, &report);
            }
        }
    }

    /// Learns from the slowdown of a latency-critical task, and notes it for the controller.
    fn apply_measurement(&mut self, now: Millis, name: &WorkerName, report: &Usage) {
        let at = now - report.age;
        let Some(job) = self.ledger.jobs.get(&report.job) else {
            return;
        };
        let victim = job.spec.service.clone();
        let neighbours = self.neighbors_at(name, at);
        self.estimates
            .learn(now, &victim, &neighbours, report.slowdown);
        let guard = self.protection.guards.entry(name.clone()).or_default();
        guard
            .latest_reports
            .insert(report.job.clone(), report.clone());
        self.update_worst_report(now, name, report);
    }

    /// Notes a measurement for the controller.
    fn update_worst_report(&mut self, now: Millis, name: &WorkerName, report: &Usage) {
        let at = now - report.age;
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

    /// Returns the kinds of the batch tasks that ran on a worker at a time, with the share of
    /// their speed.
    fn neighbors_at(&self, name: &WorkerName, at: Millis) -> Vec<(ServiceName, u32)> {
        let guard = self.protection.guards.get(name);
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let tasks = worker.tasks.iter().filter_map(|id| {
            let task = self.tasks.get(id)?;
            let job = self.ledger.jobs.get(id)?;
            let ran =
                task.is_started && task.running_since <= at && task.class != Class::LatencyCritical;
            let percent = guard.and_then(|g| g.throttled.get(id)).map_or(100, |p| *p);
            ran.then(|| (job.spec.kind.clone(), u32::from(percent)))
        });
        tasks.collect()
    }

    /// Acts on the measurements: at most one action for each worker until its effect can be seen.
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
                self.restrain_neighbors(now, &name, &victim);
            } else {
                self.release_one_throttle(now, &name, slowdown);
            }
        }
    }

    /// Drops the throttles of tasks that have left the worker.
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
        let critical = |id: &JobId| {
            let task = self.tasks.get(id);
            task.is_some_and(|task| task.class == Class::LatencyCritical)
        };
        if worker.tasks.iter().any(critical) {
            return;
        }
        let Some(guard) = self.protection.guards.remove(name) else {
            return;
        };
        for job in guard.throttled.keys() {
            self.set_speed(name, job, 100);
        }
    }

    /// Throttles the neighbours, or evicts one if they are throttled already, or holds placements.
    fn restrain_neighbors(&mut self, now: Millis, name: &WorkerName, victim: &ServiceName) {
        let free = self.suspects(name, victim, false);
        let acted = if free.is_empty() {
            self.evict_suspect(now, name, victim)
        } else {
            self.throttle_jobs(now, name, victim, &free);
            true
        };
        let Some(guard) = self.protection.guards.get_mut(name) else {
            return;
        };
        guard.calm_since = None;
        let was = guard.is_held(now);
        guard.held_until = Some(now + PLACEMENT_HOLD_TIME);
        if acted {
            guard.last_action_at = Some(now);
        }
        if !was {
            let reason = Reason::Held(name.clone());
            self.explanations
                .add(now, Subject::Worker(name.clone()), reason);
        }
    }

    /// Returns the neighbours that may be to blame, throttled or not, most harmful first.
    fn suspects(&self, name: &WorkerName, victim: &ServiceName, throttled: bool) -> Vec<JobId> {
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
            let able = task.is_started
                && !task.is_closing
                && task.eviction_cause.is_none()
                && job.end.is_none();
            let same = guard.throttled.contains_key(id) == throttled;
            if able && same && task.class != Class::LatencyCritical {
                let pair = Pair::new(victim, &job.spec.kind);
                suspects.push((self.estimates.slowdown(&pair), id));
            }
        }
        suspects.sort_by(|a, b| b.0.cmp(&a.0).then(a.1.cmp(b.1)));
        // Kinds that are known to be harmless are spared while others are there to blame.
        let blamed = suspects
            .iter()
            .any(|(estimate, _)| *estimate >= HARMFUL_SLOWDOWN_PERCENT / 2);
        suspects
            .into_iter()
            .filter(|(estimate, _)| !blamed || *estimate >= HARMFUL_SLOWDOWN_PERCENT / 2)
            .map(|(_, id)| id.clone())
            .collect()
    }

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

    fn set_speed(&mut self, name: &WorkerName, job: &JobId, percent: u8) {
        if let Some(worker) = self.workers.get_mut(name) {
            // Orders that start or end the task take precedence.
            let todo = worker.pending_orders.entry(job.clone());
            let todo = todo.or_insert(OrderKind::Throttle(percent));
            if matches!(todo, OrderKind::Throttle(_)) {
                *todo = OrderKind::Throttle(percent);
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

    /// Evicts the throttled suspect that loses the least work since its checkpoint, within the
    /// cap on evictions.
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
        let note = Reason::Note(format!(
            "{job} is evicted from {name} to protect the service"
        ));
        self.explanations
            .add(now, Subject::Service(victim.clone()), note);
        true
    }

    /// Returns the work that a task has done since its last checkpoint, in milliseconds.
    pub(crate) fn unsaved_work(&self, id: &JobId) -> u64 {
        let task = self.tasks.get(id);
        task.map_or(0, |task| task.work_done.saturating_sub(task.checkpoint))
    }

    /// Releases one throttle after a calm time.
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

    /// Returns the slowdown expected of the worker's latency-critical tasks beside a job, or of
    /// a latency-critical job beside the worker's tasks, in percent above unhindered.
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

    /// Tells whether placements of jobs on a worker are held.
    pub(crate) fn is_placement_held(&self, now: Millis, name: &WorkerName) -> bool {
        let guard = self.protection.guards.get(name);
        guard.is_some_and(|guard| guard.is_held(now))
    }
}

//! Table of workers: their sessions, leases, room and evidence about them.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::interference::Loads;
use crate::limits::{
    CRITICAL_UNUSED_PERCENT, MIN_OUTCOME_SAMPLES, OUTCOME_DECAY, QUARANTINE_DURATION,
    QUARANTINE_FAILURE_SHARE, SPEED_HALF_LIFE_MS, SPEED_SAMPLE_WEIGHT,
};
use crate::{JobId, Resources, RunId, StepId, StepSpec, WorkerInfo, WorkerState};

/// A run that a worker was ordered to start or reported.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRun {
    /// Room that it takes.
    pub(crate) reserved: Resources,
    /// What it runs.
    pub(crate) image: Arc<str>,
    /// Processors that it asks for as a filler.
    pub(crate) best_effort_cpu: u64,
    /// Whether it fills unused room.
    pub(crate) is_best_effort: bool,
    /// Whether it can be stopped without losing all its work.
    pub(crate) has_checkpoints: bool,
    /// Target latency of a run that serves.
    pub(crate) latency_target: Option<Millis>,
    /// What was reported last: tail latency of a run that serves, otherwise processors in use.
    pub(crate) measurement: u64,
    /// Whether it was reported to be at work.
    pub(crate) is_active: bool,
    /// Share of its work that was reported to be done, in percent.
    pub(crate) percent_done: u32,
    /// When that was seen to rise, or the run was ordered.
    pub(crate) progressed_at: Millis,
    /// Estimated time of the task.
    pub(crate) estimate: Millis,
    /// Whether it runs until its job is cancelled.
    pub(crate) is_service: bool,
    /// Speed that was ordered last, in percent.
    pub(crate) speed_percent: u32,
    /// Whether it is slowed in place of being stopped when it weighs on serving tasks.
    pub(crate) prefers_throttling: bool,
    /// Whether a report has listed it.
    pub(crate) is_listed: bool,
    /// Whether it was ordered to stop.
    pub(crate) is_stopping: bool,
}

impl WorkerRun {
    /// Creates the entry of a run of a step.
    pub(crate) fn new(now: Millis, step: &StepSpec) -> Self {
        Self {
            percent_done: 0,
            progressed_at: now,
            estimate: step.estimate,
            is_service: step.is_service,
            reserved: step.reserved(),
            image: step.image.clone().unwrap_or_else(|| Arc::from("")),
            best_effort_cpu: if step.is_best_effort {
                step.resources.cpu
            } else {
                0
            },
            is_best_effort: step.is_best_effort,
            has_checkpoints: step.has_checkpoints,
            latency_target: step.latency_target.filter(|_| step.is_latency_critical()),
            measurement: 0,
            is_active: false,
            speed_percent: 100,
            prefers_throttling: !step.has_checkpoints,
            is_listed: false,
            is_stopping: false,
        }
    }

    /// Returns the processors that a filler uses, or asks for if it was not reported yet.
    pub(crate) const fn cpu_in_use(&self) -> u64 {
        if self.is_active {
            self.measurement
        } else {
            self.best_effort_cpu
        }
    }

    /// Returns the reported tail latency of a run that serves, as a share of its target.
    pub(crate) fn latency_ratio(&self) -> Option<f32> {
        let target = self.latency_target?.0.max(1) as f32;
        self.is_active.then_some(self.measurement as f32 / target)
    }
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// Session of its agent, or none while it is out of reach.
    pub(crate) session: Option<u64>,
    /// Whether a complete report of the session has come.
    pub(crate) has_reported: bool,
    /// Whether its record is stored.
    pub(crate) is_stored: bool,
    /// Time from which nothing runs there for sure unless its lease is extended.
    pub(crate) lease_end: Millis,
    /// Runs there.
    pub(crate) runs: BTreeMap<RunId, WorkerRun>,
    /// Room taken by the runs.
    pub(crate) reserved: Resources,
    /// Processors that fillers ask for.
    pub(crate) best_effort_cpu: u64,
    /// Runs that serve.
    pub(crate) critical_count: u32,
    /// Number of the last end that was processed.
    pub(crate) last_end: u64,
    /// Number of the last end that may be forgotten.
    pub(crate) acknowledged_end: u64,
    /// Processors reserved for runs that serve.
    pub(crate) critical_cpu: u64,
    /// What fillers may still take of `FILLERS_PER_REPORT` before the next report.
    pub(crate) start_budget: u32,
    /// When fillers were last ordered to leave or to slow down.
    pub(crate) throttled_at: Millis,
    /// When a filler last left or was slowed.
    pub(crate) load_dropped_at: Millis,
    /// When a filler last started.
    pub(crate) load_added_at: Millis,
    /// Highest tail latency of the last report, as a share of the target.
    pub(crate) last_max_ratio: f32,
    /// Whether its machine is about to go down, so that no task starts there.
    pub(crate) is_vacating: bool,
    /// No task starts there before this time.
    pub(crate) backoff_until: Millis,
    /// Speed of its tasks as a share of the expected one, and when it was seen.
    speed: (f32, Millis),
    success_weight: f32,
    failure_weight: f32,
    last_failed_job: Option<JobId>,
}

impl Worker {
    /// Creates a worker that nothing is known of but its description.
    pub(crate) fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            session: None,
            has_reported: false,
            is_stored: false,
            lease_end: Millis(0),
            runs: BTreeMap::new(),
            reserved: Resources::default(),
            best_effort_cpu: 0,
            critical_count: 0,
            last_end: 0,
            acknowledged_end: 0,
            critical_cpu: 0,
            start_budget: 0,
            throttled_at: Millis(0),
            load_dropped_at: Millis(0),
            load_added_at: Millis(0),
            last_max_ratio: 0.0,
            is_vacating: false,
            backoff_until: Millis(0),
            speed: (1.0, Millis(0)),
            success_weight: 0.0,
            failure_weight: 0.0,
            last_failed_job: None,
        }
    }

    /// Returns whether orders reach it and it takes tasks.
    pub(crate) fn accepts_tasks(&self, now: Millis) -> bool {
        self.session.is_some()
            && self.has_reported
            && self.is_stored
            && self.info.state == WorkerState::Ready
            && !self.is_vacating
            && now >= self.backoff_until
            && now < self.lease_end
    }

    /// Returns the room that is left.
    pub(crate) const fn free(&self) -> Resources {
        self.info.capacity.minus(&self.reserved)
    }

    /// Returns the processors that are left to further fillers: what is not reserved, what serving
    /// tasks reserve and leave unused, less what fillers have asked for.
    pub(crate) const fn unused_cpu(&self) -> u64 {
        let unused = self.critical_cpu * CRITICAL_UNUSED_PERCENT / 100;
        (self.free().cpu + unused).saturating_sub(self.best_effort_cpu)
    }

    /// Returns the runs that serve.
    pub(crate) fn critical_runs(&self) -> impl Iterator<Item = (&RunId, &WorkerRun)> {
        self.runs
            .iter()
            .filter(|(_, entry)| entry.latency_target.is_some())
    }

    /// Returns the cores that fillers use, by image, as if the worker had 16 cores.
    pub(crate) fn best_effort_loads(&self) -> Loads {
        let mut best_effort_loads = Loads::new();
        for entry in self.runs.values().filter(|entry| entry.is_best_effort) {
            *best_effort_loads
                .entry(Arc::clone(&entry.image))
                .or_insert(0.0) += self.normalized_cores(entry.cpu_in_use());
        }
        best_effort_loads
    }

    /// Returns processors in cores, as if the worker had 16 cores.
    pub(crate) fn normalized_cores(&self, cpu: u64) -> f32 {
        cpu as f32 * 16.0 / self.info.capacity.cpu.max(1) as f32
    }

    /// Adds a run.
    pub(crate) fn add_run(&mut self, run: RunId, entry: WorkerRun) {
        self.remove_run(run);
        self.reserved = self.reserved.plus(&entry.reserved);
        self.best_effort_cpu += entry.best_effort_cpu;
        if entry.latency_target.is_some() {
            self.critical_count += 1;
            self.critical_cpu += entry.reserved.cpu;
        }
        self.runs.insert(run, entry);
    }

    /// Removes a run and returns whether it was there.
    pub(crate) fn remove_run(&mut self, run: RunId) -> bool {
        let Some(entry) = self.runs.remove(&run) else {
            return false;
        };
        self.reserved = self.reserved.minus(&entry.reserved);
        self.best_effort_cpu -= entry.best_effort_cpu;
        if entry.latency_target.is_some() {
            self.critical_count -= 1;
            self.critical_cpu -= entry.reserved.cpu;
        }
        true
    }

    /// Removes and returns all runs.
    pub(crate) fn remove_all_runs(&mut self) -> Vec<RunId> {
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for &run in &runs {
            self.remove_run(run);
        }
        runs
    }

    /// Returns the number of runs of one step.
    pub(crate) fn step_run_count(&self, step: StepId) -> u32 {
        let runs = self.runs.keys();
        let same = runs.filter(|run| run.task.of_step() == step);
        u32::try_from(same.count()).unwrap_or(u32::MAX)
    }

    /// Returns the speed of its tasks as a share of the expected one.
    pub(crate) fn relative_speed(&self, now: Millis) -> f32 {
        let (speed, at) = self.speed;
        let kept = 0.5_f32.powf(now.since(at).0 as f32 / SPEED_HALF_LIFE_MS);
        1.0 + (speed - 1.0) * kept
    }

    /// Takes in the speed of one task.
    pub(crate) fn update_speed(&mut self, now: Millis, sample: f32) {
        let known = self.relative_speed(now);
        self.speed = (known + (sample.min(1.5) - known) * SPEED_SAMPLE_WEIGHT, now);
    }

    /// Weighs the end of a run. Returns whether the worker is to get no tasks for a while, because
    /// most of what it ran, for several jobs, has failed.
    pub(crate) fn record_outcome(&mut self, now: Millis, job: JobId, is_failed: bool) -> bool {
        if is_failed && self.last_failed_job == Some(job) {
            return false;
        }
        self.success_weight *= OUTCOME_DECAY;
        self.failure_weight *= OUTCOME_DECAY;
        if is_failed {
            self.last_failed_job = Some(job);
            self.failure_weight += 1.0;
        } else {
            self.success_weight += 1.0;
        }
        let all = self.success_weight + self.failure_weight;
        let is_bad = all >= MIN_OUTCOME_SAMPLES * OUTCOME_DECAY
            && self.failure_weight / all >= QUARANTINE_FAILURE_SHARE;
        if is_failed && is_bad {
            self.backoff_until = now + QUARANTINE_DURATION;
        }
        is_failed && is_bad
    }
}

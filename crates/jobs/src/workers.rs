//! Table of workers: their sessions, leases, room and evidence about them.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::interference::Loads;
use crate::limits::{
    EVIDENCE_KEPT, FAIL_SHARE, JUDGE_AFTER, QUARANTINE, SERVING_UNUSED, SPEED_HALF_LIFE, SPEED_RATE,
};
use crate::{JobId, Resources, RunId, StepId, StepSpec, WorkerInfo, WorkerState};

/// A run that a worker was ordered to start or reported.
#[derive(Clone, Debug)]
pub(crate) struct Held {
    /// Room that it takes.
    pub(crate) reserved: Resources,
    /// What it runs.
    pub(crate) image: Arc<str>,
    /// Processors that it asks for as a filler.
    pub(crate) filler_cpu: u64,
    /// Whether it fills unused room.
    pub(crate) is_best_effort: bool,
    /// Whether it can be stopped without losing all its work.
    pub(crate) has_checkpoints: bool,
    /// Target latency of a run that serves.
    pub(crate) latency_target: Option<Millis>,
    /// What was reported last: tail latency of a run that serves, otherwise processors in use.
    pub(crate) measurement: u64,
    /// Whether it was reported to be at work.
    pub(crate) at_work: bool,
    /// Share of its work that was reported to be done, in percent.
    pub(crate) percent_done: u32,
    /// When that was seen to rise, or the run was ordered.
    pub(crate) moved: Millis,
    /// Estimated time of the task.
    pub(crate) estimate: Millis,
    /// Whether it runs until its job is cancelled.
    pub(crate) is_service: bool,
    /// Speed that was ordered last, in percent.
    pub(crate) pace: u32,
    /// Whether it is slowed in place of being stopped when it weighs on serving tasks.
    pub(crate) paced: bool,
    /// Whether a report has listed it.
    pub(crate) listed: bool,
    /// Whether it was ordered to stop.
    pub(crate) stopping: bool,
}

impl Held {
    /// Creates the entry of a run of a step.
    pub(crate) fn new(now: Millis, step: &StepSpec) -> Self {
        Self {
            percent_done: 0,
            moved: now,
            estimate: step.estimate,
            is_service: step.is_service,
            reserved: step.reserved(),
            image: step.image.clone().unwrap_or_else(|| Arc::from("")),
            filler_cpu: if step.is_best_effort {
                step.resources.cpu
            } else {
                0
            },
            is_best_effort: step.is_best_effort,
            has_checkpoints: step.has_checkpoints,
            latency_target: step.latency_target.filter(|_| step.is_latency_critical()),
            measurement: 0,
            at_work: false,
            pace: 100,
            paced: !step.has_checkpoints,
            listed: false,
            stopping: false,
        }
    }

    /// Returns the processors that a filler uses, or asks for if it was not reported yet.
    pub(crate) const fn load(&self) -> u64 {
        if self.at_work {
            self.measurement
        } else {
            self.filler_cpu
        }
    }

    /// Returns the reported tail latency of a run that serves, as a share of its target.
    pub(crate) fn ratio(&self) -> Option<f32> {
        let target = self.latency_target?.0.max(1) as f32;
        self.at_work.then_some(self.measurement as f32 / target)
    }
}

/// One worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// Session of its agent, or none while it is out of reach.
    pub(crate) session: Option<u64>,
    /// Whether a complete report of the session has come.
    pub(crate) reported: bool,
    /// Whether its record is stored.
    pub(crate) stored: bool,
    /// Time from which nothing runs there for sure unless its lease is extended.
    pub(crate) safe_at: Millis,
    /// Runs there.
    pub(crate) runs: BTreeMap<RunId, Held>,
    /// Room taken by the runs.
    pub(crate) reserved: Resources,
    /// Processors that fillers ask for.
    pub(crate) filler_cpu: u64,
    /// Runs that serve.
    pub(crate) serving: u32,
    /// Number of the last end that was processed.
    pub(crate) ends_seen: u64,
    /// Number of the last end that may be forgotten.
    pub(crate) acknowledged: u64,
    /// Processors reserved for runs that serve.
    pub(crate) serving_cpu: u64,
    /// What fillers may still take of `FILLERS_PER_REPORT` before the next report.
    pub(crate) filler_credit: u32,
    /// When fillers were last ordered to leave or to slow down.
    pub(crate) relieved: Millis,
    /// When a filler last left or was slowed.
    pub(crate) eased: Millis,
    /// When a filler last started.
    pub(crate) loaded: Millis,
    /// Highest tail latency of the last report, as a share of the target.
    pub(crate) last_worst: f32,
    /// Whether its machine is about to go down, so that no task starts there.
    pub(crate) vacating: bool,
    /// No task starts there before this time.
    pub(crate) held_until: Millis,
    /// Speed of its tasks as a share of the expected one, and when it was seen.
    speed: (f32, Millis),
    done_weight: f32,
    fail_weight: f32,
    last_failed: Option<JobId>,
}

impl Worker {
    /// Creates a worker that nothing is known of but its description.
    pub(crate) fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            session: None,
            reported: false,
            stored: false,
            safe_at: Millis(0),
            runs: BTreeMap::new(),
            reserved: Resources::default(),
            filler_cpu: 0,
            serving: 0,
            ends_seen: 0,
            acknowledged: 0,
            serving_cpu: 0,
            filler_credit: 0,
            relieved: Millis(0),
            eased: Millis(0),
            loaded: Millis(0),
            last_worst: 0.0,
            vacating: false,
            held_until: Millis(0),
            speed: (1.0, Millis(0)),
            done_weight: 0.0,
            fail_weight: 0.0,
            last_failed: None,
        }
    }

    /// Returns whether orders reach it and it takes tasks.
    pub(crate) fn takes_tasks(&self, now: Millis) -> bool {
        self.session.is_some()
            && self.reported
            && self.stored
            && self.info.state == WorkerState::Ready
            && !self.vacating
            && now >= self.held_until
            && now < self.safe_at
    }

    /// Returns the room that is left.
    pub(crate) const fn free(&self) -> Resources {
        self.info.capacity.minus(&self.reserved)
    }

    /// Returns the processors that are left to further fillers: what is not reserved, what serving
    /// tasks reserve and leave unused, less what fillers have asked for.
    pub(crate) const fn unused_cpu(&self) -> u64 {
        let unused = self.serving_cpu * SERVING_UNUSED / 100;
        (self.free().cpu + unused).saturating_sub(self.filler_cpu)
    }

    /// Returns the runs that serve.
    pub(crate) fn serving_runs(&self) -> impl Iterator<Item = (&RunId, &Held)> {
        self.runs
            .iter()
            .filter(|(_, held)| held.latency_target.is_some())
    }

    /// Returns the cores that fillers use, by image, as if the worker had 16 cores.
    pub(crate) fn loads(&self) -> Loads {
        let mut loads = Loads::new();
        for held in self.runs.values().filter(|held| held.is_best_effort) {
            *loads.entry(Arc::clone(&held.image)).or_insert(0.0) += self.cores(held.load());
        }
        loads
    }

    /// Returns processors in cores, as if the worker had 16 cores.
    pub(crate) fn cores(&self, cpu: u64) -> f32 {
        cpu as f32 * 16.0 / self.info.capacity.cpu.max(1) as f32
    }

    /// Adds a run.
    pub(crate) fn add(&mut self, run: RunId, held: Held) {
        self.remove(run);
        self.reserved = self.reserved.plus(&held.reserved);
        self.filler_cpu += held.filler_cpu;
        if held.latency_target.is_some() {
            self.serving += 1;
            self.serving_cpu += held.reserved.cpu;
        }
        self.runs.insert(run, held);
    }

    /// Removes a run and returns whether it was there.
    pub(crate) fn remove(&mut self, run: RunId) -> bool {
        let Some(held) = self.runs.remove(&run) else {
            return false;
        };
        self.reserved = self.reserved.minus(&held.reserved);
        self.filler_cpu -= held.filler_cpu;
        if held.latency_target.is_some() {
            self.serving -= 1;
            self.serving_cpu -= held.reserved.cpu;
        }
        true
    }

    /// Removes and returns all runs.
    pub(crate) fn clear(&mut self) -> Vec<RunId> {
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        for &run in &runs {
            self.remove(run);
        }
        runs
    }

    /// Returns the number of runs of one step.
    pub(crate) fn count_of(&self, step: StepId) -> u32 {
        let runs = self.runs.keys();
        let same = runs.filter(|run| run.task.of_step() == step);
        u32::try_from(same.count()).unwrap_or(u32::MAX)
    }

    /// Returns the speed of its tasks as a share of the expected one.
    pub(crate) fn speed(&self, now: Millis) -> f32 {
        let (speed, at) = self.speed;
        let kept = 0.5_f32.powf(now.since(at).0 as f32 / SPEED_HALF_LIFE);
        1.0 + (speed - 1.0) * kept
    }

    /// Takes in the speed of one task.
    pub(crate) fn learn_speed(&mut self, now: Millis, sample: f32) {
        let known = self.speed(now);
        self.speed = (known + (sample.min(1.5) - known) * SPEED_RATE, now);
    }

    /// Weighs the end of a run. Returns whether the worker is to get no tasks for a while, because
    /// most of what it ran, for several jobs, has failed.
    pub(crate) fn judge(&mut self, now: Millis, job: JobId, is_failed: bool) -> bool {
        if is_failed && self.last_failed == Some(job) {
            return false;
        }
        self.done_weight *= EVIDENCE_KEPT;
        self.fail_weight *= EVIDENCE_KEPT;
        if is_failed {
            self.last_failed = Some(job);
            self.fail_weight += 1.0;
        } else {
            self.done_weight += 1.0;
        }
        let all = self.done_weight + self.fail_weight;
        let is_bad = all >= JUDGE_AFTER * EVIDENCE_KEPT && self.fail_weight / all >= FAIL_SHARE;
        if is_failed && is_bad {
            self.held_until = now + QUARANTINE;
        }
        is_failed && is_bad
    }
}

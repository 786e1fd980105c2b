//! Workers of the model: what they run, and how their runs progress and disturb each other.

use std::collections::BTreeMap;

use hyssop_jobs::{
    EndKind, Order, Refusal, Resources, RunEnd, RunId, RunStatus, StepId, StepSpec, TaskId,
    WorkerInfo,
};

use super::{Model, STEP_MS};

/// Startup time of a service task.
const STARTUP_MS: u64 = 400;
/// Share of the processors reserved for services that best-effort runs get, in percent.
const SERVICE_IDLE_PERCENT: u64 = 50;

/// What a worker does with the orders that it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Health {
    /// It runs what it is told to run.
    #[default]
    Good,
    /// Every run fails soon after its start.
    Failing,
    /// Runs make no progress.
    Hanging,
    /// It refuses every start.
    Refusing,
    /// Its agent cannot reach the owner.
    CutOff,
    /// It does not answer its agent, which can reach the owner. Nothing on it makes progress.
    Frozen,
}

/// Run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct ModelRun {
    pub(crate) spec: StepSpec,
    pub(super) started_at: u64,
    /// Work that is left, in milliseconds at full speed.
    pub(super) left_ms: f64,
    pub(super) total_ms: f64,
    pub(crate) speed_percent: u32,
    pub(super) ends_at: Option<u64>,
    pub(super) is_poisoned: bool,
    /// Time after the start at which the run crashes its worker.
    pub(super) crashes_after: Option<u64>,
}

/// Worker with its agent.
#[derive(Debug)]
pub(crate) struct ModelWorker {
    pub(crate) info: WorkerInfo,
    /// Capacity that the worker has unless it has shrunk.
    pub(crate) full_capacity: Resources,
    /// Capacity in the worker's last heartbeat, which its agent has reported if it has a session.
    pub(super) reported_capacity: Resources,
    /// When the next heartbeat shows that the capacity has changed.
    pub(super) heartbeat_at: Option<u64>,
    /// Whether the worker refuses starts for which it has no room. Others start whatever they are told
    /// to.
    pub(super) guards_capacity: bool,
    pub(crate) health: Health,
    pub(crate) is_alive: bool,
    pub(crate) runs: BTreeMap<RunId, ModelRun>,
    pub(super) session: Option<u64>,
    pub(super) attach_at: u64,
    pub(super) listed_at: u64,
    pub(super) has_listed: bool,
    pub(super) ends: Vec<RunEnd>,
    pub(super) end_count: u64,
    pub(super) refused: Vec<(RunId, Refusal)>,
    pub(super) lease_until: u64,
    pub(super) highest_runs: BTreeMap<TaskId, u64>,
    /// When the next worker starts after a crash.
    pub(super) restarts_at: Option<u64>,
    /// When the worker last stopped answering its agent.
    pub(super) frozen_at: u64,
    /// Orders that the agent could not deliver yet, with the times of their receipt.
    pub(super) undelivered: Vec<(u64, Order)>,
}

impl ModelWorker {
    pub(super) fn new(info: WorkerInfo) -> Self {
        Self {
            full_capacity: info.capacity,
            reported_capacity: info.capacity,
            heartbeat_at: None,
            guards_capacity: true,
            info,
            health: Health::Good,
            is_alive: true,
            runs: BTreeMap::new(),
            session: None,
            attach_at: 0,
            listed_at: 0,
            has_listed: false,
            ends: Vec::new(),
            end_count: 0,
            refused: Vec::new(),
            lease_until: 0,
            highest_runs: BTreeMap::new(),
            restarts_at: None,
            frozen_at: 0,
            undelivered: Vec::new(),
        }
    }

    /// Returns the resources that the runs reserve, also those that are being stopped.
    pub(crate) fn reserved(&self) -> Resources {
        let reserved = self.runs.values().map(|run| run.spec.reserved());
        reserved.fold(Resources::default(), |sum, used| sum.plus(&used))
    }

    /// Returns the resources that no run reserves.
    pub(crate) fn free(&self) -> Resources {
        self.info.capacity.minus(&self.reserved())
    }

    /// Returns whether a task of a step fits beside the runs. None does while these exceed the
    /// capacity.
    pub(super) fn has_room(&self, capacity: &Resources, step: &StepSpec) -> bool {
        capacity.covers(&self.reserved().plus(&step.reserved()))
    }

    /// Returns the description of the worker that its agent knows.
    pub(super) fn reported_info(&self) -> WorkerInfo {
        WorkerInfo {
            capacity: self.reported_capacity,
            ..self.info.clone()
        }
    }

    /// Returns the number of runs of a step on the worker.
    pub(crate) fn step_run_count(&self, step: StepId) -> u32 {
        let runs = self.runs.keys();
        runs.filter(|run| run.task.of_step() == step).count() as u32
    }

    /// Returns whether a run of a task is on the worker.
    pub(crate) fn runs_task(&self, task: TaskId) -> bool {
        let all = RunId { task, run: 0 }..=RunId {
            task,
            run: u64::MAX,
        };
        self.runs.range(all).next().is_some()
    }

    pub(super) fn end(&mut self, run: RunId, kind: EndKind) {
        if self.runs.remove(&run).is_some() {
            self.end_count += 1;
            self.ends.push(RunEnd {
                number: self.end_count,
                run,
                kind,
                checkpoint: None,
            });
        }
    }
}

impl ModelRun {
    fn has_crashed(&self, now: u64) -> bool {
        self.crashes_after
            .is_some_and(|after| now >= self.started_at + after)
    }
}

impl Model {
    /// Lets the runs of a worker make progress and end.
    pub(super) fn work(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if !worker.is_alive {
            return;
        }
        if now > worker.lease_until {
            let runs: Vec<RunId> = worker.runs.keys().copied().collect();
            for run in runs {
                worker.end(run, EndKind::LeaseExpired);
            }
        }
        if worker.health == Health::Frozen {
            return;
        }
        if worker.runs.values().any(|run| run.has_crashed(now)) {
            self.crash_worker(index);
            return;
        }
        let services = worker.runs.values().filter(|run| run.spec.is_service);
        let reserved: u64 = services.map(|run| run.spec.reserved().cpu).sum();
        let idle = (worker.free().cpu + reserved * SERVICE_IDLE_PERCENT / 100) as f64;
        let best_effort = worker.runs.values().filter(|run| run.spec.is_best_effort);
        let wanted: f64 = best_effort
            .map(|run| run.spec.resources.cpu as f64 * f64::from(run.speed_percent) / 100.0)
            .sum();
        let share = if wanted > idle { idle / wanted } else { 1.0 };
        let mut ended = Vec::new();
        for (&run, state) in &mut worker.runs {
            let speed = match state.spec.is_best_effort {
                true => share * f64::from(state.speed_percent) / 100.0,
                false => 1.0,
            };
            if worker.health != Health::Hanging {
                state.left_ms -= STEP_MS as f64 * speed;
            }
            let is_failing = worker.health == Health::Failing || state.is_poisoned;
            if state.ends_at.is_some_and(|at| now >= at) {
                ended.push((run, EndKind::Stopped));
            } else if is_failing && now >= state.started_at + 200 {
                ended.push((run, EndKind::Failed));
            } else if state.left_ms <= 0.0 && !state.spec.is_service {
                ended.push((run, EndKind::Done));
            }
        }
        for (run, kind) in ended {
            worker.end(run, kind);
        }
    }

    /// Returns the tail latency of a service run as a share of its target.
    fn latency_ratio(&self, worker: &ModelWorker, run: RunId, state: &ModelRun) -> f64 {
        // The headroom of a job swings with the load of its users.
        let phase = (run.task.job.0 % 7) as f64;
        let headroom =
            2.6 + 1.2 * ((self.now as f64 / 14_000.0 + phase) * std::f64::consts::TAU).sin();
        let mut taken = 0.0;
        for other in worker.runs.values().filter(|run| run.spec.is_best_effort) {
            let images = (state.spec.image.clone(), other.spec.image.clone());
            let (Some(service_image), Some(image)) = images else {
                continue;
            };
            let weight = self.weights.get(&(service_image, image)).copied();
            let cores =
                other.spec.resources.cpu as f64 * 16.0 / worker.info.capacity.cpu.max(1) as f64;
            let speed = f64::from(other.speed_percent) / 100.0;
            taken += weight.unwrap_or(0.0) * cores / 1_000.0 * speed;
        }
        1.0 / (headroom - taken).max(0.02)
    }

    pub(super) fn statuses(&self, worker: &ModelWorker) -> Vec<RunStatus> {
        let status = |(&run, state): (&RunId, &ModelRun)| {
            let is_started = self.now >= state.started_at + STARTUP_MS;
            let (percent_done, measurement) = if state.spec.is_service {
                let target = state.spec.latency_target.map_or(0, |target| target.0);
                let ratio = self.latency_ratio(worker, run, state);
                let percent_done = if is_started { 100 } else { 0 };
                (percent_done, (target as f64 * ratio) as u64)
            } else {
                let done = 1.0 - state.left_ms / state.total_ms;
                let cpu = state.spec.resources.cpu * u64::from(state.speed_percent) / 100;
                ((done * 99.0) as u32, cpu)
            };
            RunStatus {
                run,
                checkpoint: None,
                percent_done,
                measurement,
            }
        };
        worker.runs.iter().map(status).collect()
    }
}

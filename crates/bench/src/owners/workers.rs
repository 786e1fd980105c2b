//! Workers of the model and the runs on them.

use std::collections::BTreeMap;

use hyssop_jobs::{EndKind, Resources, RunEnd, RunId, RunStatus, StepSpec, WorkerInfo};

use super::loads::{
    BEST_EFFORT_CPU, BEST_EFFORT_IMAGES, BEST_EFFORT_TASK_MS, Kind, LATENCY_TARGET_MS,
    SERVICE_IMAGES, SHORT_TASK_MS, worker_info,
};

/// Tail latency of service tasks without interference, in milliseconds.
const BASE_LATENCY_MS: f64 = 20.0;
/// Share of the processors reserved for services that best-effort tasks get, in percent.
const SERVICE_IDLE_PERCENT: u64 = 50;

/// Run on a model worker.
#[derive(Clone, Debug)]
pub(super) struct ModelRun {
    pub(super) kind: Kind,
    image: u64,
    reserved: Resources,
    /// Work in milliseconds at full speed, and what is left of it; service tasks have none.
    work: Option<(f64, f64)>,
    /// Speed that the owner allows, in percent.
    pub(super) speed_percent: u32,
    /// Speed of the last tick, as a share of full speed.
    speed: f64,
    pub(super) is_stopped: bool,
}

#[derive(Debug)]
pub(super) struct ModelWorker {
    pub(super) info: WorkerInfo,
    pub(super) runs: BTreeMap<RunId, ModelRun>,
    ends: u64,
}

impl ModelWorker {
    pub(super) fn new(number: usize) -> Self {
        Self {
            info: worker_info(number),
            runs: BTreeMap::new(),
            ends: 0,
        }
    }

    /// Returns the resources that no run reserves.
    pub(super) fn free(&self) -> Resources {
        let reserved = self.runs.values().map(|run| run.reserved);
        reserved.fold(self.info.capacity, |free, used| free.minus(&used))
    }

    /// Lets the runs make progress. If speeds are limited, best-effort runs share the idle
    /// processors and run no faster than the owner allows.
    pub(super) fn work(&mut self, millis: u64, has_speed_limits: bool) {
        let share = if has_speed_limits {
            self.best_effort_share()
        } else {
            1.0
        };
        for run in self.runs.values_mut() {
            run.speed = match run.kind {
                Kind::BestEffort if has_speed_limits => share * run.allowed_speed(),
                _ => 1.0,
            };
            if let Some((_, left)) = &mut run.work {
                *left -= millis as f64 * run.speed;
            }
        }
    }

    /// Returns the share of the processors that best-effort runs use of those that they could use
    /// at the speed that the owner allows.
    fn best_effort_share(&self) -> f64 {
        let services = self.runs.values().filter(|run| run.kind == Kind::Service);
        let reserved: u64 = services.map(|run| run.reserved.cpu).sum();
        let idle = (self.free().cpu + reserved * SERVICE_IDLE_PERCENT / 100) as f64;
        let wanted = self.best_effort_runs().map(ModelRun::allowed_speed);
        let wanted = wanted.sum::<f64>() * BEST_EFFORT_CPU as f64;
        if wanted > idle { idle / wanted } else { 1.0 }
    }

    fn best_effort_runs(&self) -> impl Iterator<Item = &ModelRun> {
        let runs = self.runs.values();
        runs.filter(|run| run.kind == Kind::BestEffort)
    }

    /// Removes the runs that have ended, and returns their ends.
    pub(super) fn take_ends(&mut self) -> Vec<RunEnd> {
        let over = self.runs.iter().filter(|(_, run)| run.is_over());
        let over: Vec<(RunId, bool)> = over.map(|(&id, run)| (id, run.is_stopped)).collect();
        let mut ends = Vec::with_capacity(over.len());
        for (run, is_stopped) in over {
            self.runs.remove(&run);
            self.ends += 1;
            ends.push(RunEnd {
                number: self.ends,
                run,
                kind: match is_stopped {
                    true => EndKind::Stopped,
                    false => EndKind::Done,
                },
                checkpoint: None,
            });
        }
        ends
    }

    pub(super) fn statuses(&self) -> Vec<RunStatus> {
        let statuses = self.runs.iter().map(|(&run, state)| RunStatus {
            run,
            checkpoint: None,
            percent_done: state.percent_done(),
            measurement: match state.kind {
                Kind::Service => self.latency(state.image) as u64,
                Kind::Short | Kind::BestEffort => (BEST_EFFORT_CPU as f64 * state.speed) as u64,
            },
        });
        statuses.collect()
    }

    /// Returns the tail latency of a service task: its headroom, the reciprocal of the latency,
    /// falls with the best-effort tasks beside it.
    fn latency(&self, image: u64) -> f64 {
        let best_effort = self.best_effort_runs();
        let taken = best_effort.map(|run| interference(run.image, image) * run.speed);
        let taken: f64 = taken.sum();
        let target = LATENCY_TARGET_MS as f64;
        let headroom = target / BASE_LATENCY_MS - taken;
        target / headroom.max(0.1)
    }
}

impl ModelRun {
    pub(super) fn new(run: RunId, kind: Kind, spec: &StepSpec) -> Self {
        let job = run.task.job.0;
        let (image, duration) = match kind {
            Kind::Service => (job % SERVICE_IMAGES, None),
            Kind::Short => (0, Some(SHORT_TASK_MS)),
            Kind::BestEffort => (job % BEST_EFFORT_IMAGES, Some(BEST_EFFORT_TASK_MS)),
        };
        Self {
            kind,
            image,
            reserved: spec.reserved(),
            work: duration.map(|duration| (duration as f64, duration as f64)),
            speed_percent: 100,
            speed: 1.0,
            is_stopped: false,
        }
    }

    fn allowed_speed(&self) -> f64 {
        f64::from(self.speed_percent) / 100.0
    }

    fn is_over(&self) -> bool {
        self.is_stopped || self.work.is_some_and(|(_, left)| left <= 0.0)
    }

    fn percent_done(&self) -> u32 {
        let Some((total, left)) = self.work else {
            return 100;
        };
        (((total - left) * 100.0 / total) as u32).min(99)
    }
}

/// Returns the headroom that one best-effort task takes. A third of the pairs of images do not
/// interfere.
fn interference(best_effort_image: u64, service_image: u64) -> f64 {
    match (best_effort_image + 5 * service_image) % 3 {
        0 => 0.0,
        1 => 0.3,
        _ => 1.2,
    }
}

//! What a caller asks for: a job of steps, each of many tasks.

use std::sync::Arc;

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

use crate::limits::{MAX_JOB_STEPS, MAX_STEP_TASKS};
use crate::{Error, Result};

/// Processors, memory and accelerators that a task asks for or a worker has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem: u64,
    /// Accelerators.
    pub gpu: u64,
}

impl Resources {
    /// Returns whether `self` has room for `other`.
    #[must_use]
    pub const fn covers(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem >= other.mem && self.gpu >= other.gpu
    }

    /// Returns what is left after `other` is taken away, at least nothing.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns the sum.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu + other.cpu,
            mem: self.mem + other.mem,
            gpu: self.gpu + other.gpu,
        }
    }
}

/// One step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Tasks.
    pub count: u32,
    /// Room that each task asks for.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Rough estimate of the time that a task takes.
    pub estimate: Millis,
    /// Earlier steps whose tasks must all be done first.
    pub after: Vec<u16>,
    /// Whether the tasks checkpoint their progress.
    #[serde(rename = "checkpoints")]
    pub has_checkpoints: bool,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data.
    pub rack: Option<Arc<str>>,
    /// Most tasks of the step on one worker; 0 for no limit.
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Whether copies of a task may run in parallel.
    #[serde(rename = "copies")]
    pub allows_copies: bool,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "standing")]
    pub is_service: bool,
    /// Whether the tasks use processors that others leave unused; their `cpu` takes no room.
    #[serde(rename = "filler")]
    pub is_best_effort: bool,
    /// What the tasks run; tasks of one image behave alike.
    pub image: Option<Arc<str>>,
    /// Tail latency that a standing task has to stay below.
    #[serde(rename = "target")]
    pub latency_target: Option<Millis>,
    /// Standing tasks that the system may make unavailable at the same time.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
    /// Whether the tasks work only together: they start with one run number and end together.
    #[serde(rename = "gang")]
    pub is_gang: bool,
    /// Whether the tasks of a gang lose time unless they are all in one rack.
    #[serde(rename = "one_rack")]
    pub prefers_one_rack: bool,
}

impl StepSpec {
    /// Returns the room that a task of the step takes from a worker.
    #[must_use]
    pub fn reserved(&self) -> Resources {
        let cpu = if self.is_best_effort {
            0
        } else {
            self.resources.cpu
        };
        Resources {
            cpu,
            ..self.resources
        }
    }

    /// Returns whether the tasks serve users of their own, whose latency fillers harm.
    #[must_use]
    pub const fn is_latency_critical(&self) -> bool {
        self.is_service && self.latency_target.is_some()
    }
}

/// A job as its caller describes it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text handed to each task.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// Steps.
    pub steps: Vec<StepSpec>,
    /// Set times at which the steps run; none for a job that runs at once.
    #[serde(rename = "times")]
    pub schedule: Option<Schedule>,
}

/// Set times of a job's occurrences.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences, at least 1.
    pub count: u32,
    /// Time of the first one, in milliseconds since 1970.
    #[serde(rename = "first")]
    pub first_due: u64,
    /// Time from one to the next.
    pub interval: Millis,
}

impl Schedule {
    /// Returns when an occurrence is due, in milliseconds since 1970.
    #[must_use]
    pub const fn due_at(&self, occurrence: u32) -> u64 {
        let after = self.interval.0.saturating_mul(occurrence as u64);
        self.first_due.saturating_add(after)
    }
}

impl JobSpec {
    /// Returns how many times the steps run.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Checks what the owner relies on.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Spec`] with the step and the limit that it breaks.
    pub fn check(&self) -> Result<()> {
        let err = |text: String| Err(Error::Spec(text));
        if self.steps.is_empty() || self.steps.len() > MAX_JOB_STEPS {
            return err(format!(
                "has {} steps, allowed are 1 to {MAX_JOB_STEPS}",
                self.steps.len()
            ));
        }
        if self.occurrences() == 0 {
            return err("has set times, but no occurrence".to_owned());
        }
        for (n, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_STEP_TASKS {
                return err(format!(
                    "step {n} has {} tasks, allowed are 1 to {MAX_STEP_TASKS}",
                    step.count
                ));
            }
            if step.after.iter().any(|&a| usize::from(a) >= n) {
                return err(format!("step {n} waits for a step that is not before it"));
            }
        }
        Ok(())
    }
}

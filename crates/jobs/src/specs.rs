//! Job descriptions: a job has steps, and each step has tasks that run alike.

use std::sync::Arc;

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

use crate::limits::{
    MAX_AMOUNT, MAX_DUE_OCCURRENCES, MAX_ESTIMATE, MAX_JOB_STEPS, MAX_JOB_TASKS, MAX_STEP_TASKS,
    MIN_OCCURRENCE_INTERVAL,
};
use crate::{Error, Result};

/// Amounts of processors, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Resources {
    /// Processors in thousandths of a core.
    pub cpu: u64,
    /// Memory in MB.
    pub mem: u64,
    /// Number of accelerators.
    pub gpu: u64,
}

impl Resources {
    /// More than any worker has.
    pub(crate) const MAX: Self = Self {
        cpu: u64::MAX,
        mem: u64::MAX,
        gpu: u64::MAX,
    };

    /// Returns whether no amount of `other` exceeds that of `self`.
    #[must_use]
    pub const fn covers(&self, other: &Self) -> bool {
        self.cpu >= other.cpu && self.mem >= other.mem && self.gpu >= other.gpu
    }

    /// Returns the difference, with 0 for each amount that would be negative.
    #[must_use]
    pub const fn minus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_sub(other.cpu),
            mem: self.mem.saturating_sub(other.mem),
            gpu: self.gpu.saturating_sub(other.gpu),
        }
    }

    /// Returns the sum of the amounts, each at most `u64::MAX`.
    #[must_use]
    pub const fn plus(&self, other: &Self) -> Self {
        Self {
            cpu: self.cpu.saturating_add(other.cpu),
            mem: self.mem.saturating_add(other.mem),
            gpu: self.gpu.saturating_add(other.gpu),
        }
    }

    /// Returns how many times `part` fits, up to `limit`.
    pub(crate) fn count_fitting(&self, part: &Self, limit: u32) -> u32 {
        let (mut free, mut count) = (*self, 0);
        while count < limit && free.covers(part) {
            free = free.minus(part);
            count += 1;
        }
        count
    }

    /// Returns whether an amount exceeds [`MAX_AMOUNT`].
    const fn is_out_of_range(&self) -> bool {
        self.cpu > MAX_AMOUNT || self.mem > MAX_AMOUNT || self.gpu > MAX_AMOUNT
    }
}

/// Description of one step of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct StepSpec {
    /// Number of tasks, from 1.
    pub count: u32,
    /// Resources that each task requests.
    #[serde(rename = "room")]
    pub resources: Resources,
    /// Rough estimate of the running time of a task.
    pub estimate: Millis,
    /// Indices of earlier steps that must be complete before this one starts.
    pub after: Vec<u16>,
    /// Whether the tasks save checkpoints and resume from them.
    #[serde(rename = "checkpoints")]
    pub has_checkpoints: bool,
    /// Label that the worker must have.
    pub label: Option<Arc<str>>,
    /// Rack that holds the data. It is preferred but not required.
    pub rack: Option<Arc<str>>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    #[serde(rename = "spread")]
    pub max_per_worker: u32,
    /// Whether several copies of a task may run in parallel.
    #[serde(rename = "copies")]
    pub allows_copies: bool,
    /// Whether the tasks are service tasks, which run until the job is cancelled.
    #[serde(rename = "standing")]
    pub is_service: bool,
    /// Whether the tasks are best-effort tasks, which use idle processors. Their `cpu` is not
    /// reserved.
    #[serde(rename = "filler")]
    pub is_best_effort: bool,
    /// Image that the tasks run. Interference is estimated for pairs of images.
    pub image: Option<Arc<str>>,
    /// Tail latency that a service task must stay below. Present for latency-critical tasks.
    #[serde(rename = "target")]
    pub latency_target: Option<Millis>,
    /// Maximum number of service tasks of the step that the system may make unavailable at the same
    /// time. Absent if there is no limit.
    #[serde(rename = "may_miss")]
    pub max_unavailable: Option<u32>,
    /// Whether the tasks form a gang, which starts with one run number and ends together.
    #[serde(rename = "gang")]
    pub is_gang: bool,
    /// Whether the tasks of a gang are slower unless they are all in one rack.
    #[serde(rename = "one_rack")]
    pub prefers_one_rack: bool,
}

impl StepSpec {
    /// Returns the resources that a task of the step reserves on a worker.
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

    /// Returns whether the tasks are latency-critical, so that best-effort tasks may harm them.
    #[must_use]
    pub const fn is_latency_critical(&self) -> bool {
        self.is_service && self.latency_target.is_some()
    }
}

/// Job description of a caller.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text passed to each task unchanged.
    #[serde(rename = "text")]
    pub payload: Arc<str>,
    /// Steps of the job. A step depends only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// Times at which the steps run. Absent for a job that runs once, immediately.
    #[serde(rename = "times")]
    pub schedule: Option<Schedule>,
}

/// Times at which a recurring job runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Schedule {
    /// Number of occurrences, at least 1.
    pub count: u32,
    /// Due time of the first occurrence in milliseconds since 1970.
    #[serde(rename = "first")]
    pub first_due: u64,
    /// Time between the due times of consecutive occurrences.
    pub interval: Millis,
}

impl Schedule {
    /// Returns the due time of an occurrence in milliseconds since 1970.
    #[must_use]
    pub const fn due_at(&self, occurrence: u32) -> u64 {
        let after = self.interval.0.saturating_mul(occurrence as u64);
        self.first_due.saturating_add(after)
    }

    /// Returns how many occurrences are due at a time in milliseconds since 1970.
    fn due_count(&self, at: u64) -> u64 {
        if self.first_due > at {
            return 0;
        }
        let intervals = (at - self.first_due).checked_div(self.interval.0);
        let due = intervals.map_or(u64::MAX, |intervals| intervals.saturating_add(1));
        due.min(u64::from(self.count))
    }
}

impl JobSpec {
    /// Returns the number of occurrences, 1 for a job without a schedule.
    #[must_use]
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.count)
    }

    /// Returns the length of the critical path in estimated time, over the steps that `is_counted`
    /// selects by their number.
    pub(crate) fn critical_path(&self, is_counted: impl Fn(usize) -> bool) -> Millis {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let dependency_ends = step.after.iter().map(|&index| ends[usize::from(index)]);
            let start = dependency_ends.max().unwrap_or(0);
            let time = if is_counted(number) {
                step.estimate.0
            } else {
                0
            };
            ends.push(start.saturating_add(time));
        }
        Millis(ends.into_iter().max().unwrap_or(0))
    }

    /// Validates the limits and dependencies that the owner relies on.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Spec`] with the step and the limit that it exceeds.
    pub fn check(&self) -> Result<()> {
        let err = |text: String| Err(Error::Spec(text));
        if self.steps.is_empty() || self.steps.len() > MAX_JOB_STEPS {
            return err(format!(
                "{} steps, must be 1 to {MAX_JOB_STEPS}",
                self.steps.len()
            ));
        }
        if self.occurrences() == 0 {
            return err("schedule has no occurrences".to_owned());
        }
        let interval = self.schedule.map(|schedule| schedule.interval);
        if u64::from(self.occurrences()) > MAX_DUE_OCCURRENCES
            && interval.is_some_and(|interval| interval < MIN_OCCURRENCE_INTERVAL)
        {
            return err(format!(
                "more than {MAX_DUE_OCCURRENCES} occurrences less than {MIN_OCCURRENCE_INTERVAL} ms apart"
            ));
        }
        for (n, step) in self.steps.iter().enumerate() {
            if step.count == 0 || step.count > MAX_STEP_TASKS {
                return err(format!(
                    "step {n} has {} tasks, must be 1 to {MAX_STEP_TASKS}",
                    step.count
                ));
            }
            if step.after.iter().any(|&a| usize::from(a) >= n) {
                return err(format!(
                    "step {n} depends on a step that does not precede it"
                ));
            }
            if step.resources.is_out_of_range() {
                return err(format!(
                    "step {n} requests more than {MAX_AMOUNT} of a resource"
                ));
            }
            if step.estimate > MAX_ESTIMATE {
                return err(format!(
                    "step {n} is estimated at {} ms, must be at most {MAX_ESTIMATE}",
                    step.estimate
                ));
            }
        }
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.count)).sum();
        if tasks > MAX_JOB_TASKS {
            return err(format!("{tasks} tasks, must be at most {MAX_JOB_TASKS}"));
        }
        Ok(())
    }

    /// Validates that a job which is accepted at this time, in milliseconds since 1970, has not too
    /// many occurrences that are due already.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Spec`] with their number.
    pub(crate) fn check_due(&self, accepted_at: u64) -> Result<()> {
        let due = self
            .schedule
            .map(|schedule| schedule.due_count(accepted_at));
        match due {
            Some(due) if due > MAX_DUE_OCCURRENCES => Err(Error::Spec(format!(
                "{due} occurrences are due already, must be at most {MAX_DUE_OCCURRENCES}"
            ))),
            _ => Ok(()),
        }
    }
}

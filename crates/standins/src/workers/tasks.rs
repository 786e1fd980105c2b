//! Simulated task with its progress, lease and measurements.

use std::collections::VecDeque;

use hyssop_core::{Class, Millis, Resources, RunningTask, StartOrder, Usage};
use serde::Deserialize;

/// Microseconds in a millisecond.
const MICROS_PER_MS: u64 = 1_000;
/// Maximum number of measurements of a task that wait for their report delay.
const MAX_SAMPLES: usize = 256;

/// Actual behaviour of a task, read from a payload that is JSON with these fields. It simulates
/// jobs whose declared sizes and run times are wrong; omitted fields follow the declaration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TaskProfile {
    /// CPU and memory usage, in percent of the allocation.
    #[serde(rename = "used")]
    pub used_percent: u32,
    /// Work in milliseconds at full speed without slowdown; a task with 0 never finishes.
    pub work: Option<u64>,
    /// Slowdown that the task causes to each other task on the worker at full speed, in percent.
    pub noise: u32,
    /// Whether the task fails when it starts.
    #[serde(rename = "fails")]
    pub is_failing: bool,
}

impl Default for TaskProfile {
    fn default() -> Self {
        Self {
            used_percent: 100,
            work: None,
            noise: 0,
            is_failing: false,
        }
    }
}

/// Measurement of a task.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    used: Resources,
    work_done: u64,
    checkpoint: u64,
    slowdown: u32,
}

impl Sample {
    /// Returns whether the measurement is worth a report. Progress alone is not, because the owner
    /// can extrapolate it.
    fn differs_from(&self, earlier: &Self) -> bool {
        self.used != earlier.used
            || self.checkpoint != earlier.checkpoint
            || self.slowdown != earlier.slowdown
    }
}

/// Running task.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) order: StartOrder,
    pub(super) profile: TaskProfile,
    /// Time at which the task stops unless its lease is renewed.
    pub(super) lease_end: Millis,
    /// Throttle set by orders, in percent of the full speed.
    pub(super) percent: u8,
    /// Time taken per unit of work, in percent of the time without slowdown.
    pub(super) slowdown: u32,
    /// Work done, in microseconds.
    work_done_us: u64,
    /// Work done at the last checkpoint, in milliseconds.
    checkpointed_work: u64,
    checkpointed_at: Millis,
    samples: VecDeque<Sample>,
    last_reported: Option<Sample>,
}

impl Task {
    pub(super) fn new(now: Millis, order: StartOrder, lease_end: Millis) -> Self {
        let profile = serde_json::from_str(&order.payload).unwrap_or_default();
        let checkpointed_work = order.checkpoint;
        Self {
            order,
            profile,
            lease_end,
            percent: 100,
            slowdown: 100,
            work_done_us: checkpointed_work.saturating_mul(MICROS_PER_MS),
            checkpointed_work,
            checkpointed_at: now,
            samples: VecDeque::new(),
            last_reported: None,
        }
    }

    /// Returns the work done, in milliseconds.
    pub(super) const fn work_done(&self) -> u64 {
        self.work_done_us / MICROS_PER_MS
    }

    pub(super) fn is_critical(&self) -> bool {
        self.order.class == Class::LatencyCritical
    }

    /// Extends the lease to `until`, never shortening it.
    pub(super) fn renew(&mut self, until: Millis) {
        self.lease_end = self.lease_end.max(until);
    }

    /// Returns the total work of the task in microseconds, or `None` if it never finishes.
    fn total_work_us(&self) -> Option<u64> {
        let work = self.profile.work.unwrap_or(self.order.work.0);
        (work > 0).then(|| work.saturating_mul(MICROS_PER_MS))
    }

    /// Returns the microseconds of work done per millisecond.
    fn progress_rate(&self, speed: u32) -> u64 {
        let full = MICROS_PER_MS * u64::from(speed) * u64::from(self.percent);
        (full / (100 * u64::from(self.slowdown.max(1)))).max(1)
    }

    /// Returns the time at which the task finishes if nothing changes.
    pub(super) fn finish_at(&self, now: Millis, speed: u32) -> Option<Millis> {
        let left = self.total_work_us()?.saturating_sub(self.work_done_us);
        Some(now + Millis(left.div_ceil(self.progress_rate(speed))))
    }

    pub(super) fn is_done(&self) -> bool {
        self.total_work_us()
            .is_some_and(|work| self.work_done_us >= work)
    }

    pub(super) fn advance(&mut self, elapsed: Millis, speed: u32) {
        let gained = elapsed.0.saturating_mul(self.progress_rate(speed));
        self.work_done_us = self.work_done_us.saturating_add(gained);
    }

    /// Makes a checkpoint and returns its work in milliseconds.
    pub(super) fn checkpoint(&mut self, now: Millis) -> u64 {
        self.checkpointed_work = self.work_done();
        self.checkpointed_at = now;
        self.checkpointed_work
    }

    /// Makes a checkpoint of a batch task if the interval since the last one has passed.
    pub(super) fn checkpoint_if_due(&mut self, now: Millis, interval: Millis) {
        let is_due = now.since(self.checkpointed_at) >= interval;
        if is_due && self.order.class == Class::Batch {
            self.checkpoint(now);
        }
    }

    /// Returns the resources that the task is using now.
    pub(super) fn used(&self) -> Resources {
        let needs = self.order.needs;
        let scale = |amount: u32, percent: u32| {
            let scaled = u64::from(amount) * u64::from(percent) / 100;
            u32::try_from(scaled).unwrap_or(u32::MAX)
        };
        let cpu = scale(needs.cpu, self.profile.used_percent);
        Resources::new(
            scale(cpu, u32::from(self.percent)),
            scale(needs.mem, self.profile.used_percent),
            needs.accel,
        )
    }

    /// Returns the slowdown that the task causes to each other task now, in percent.
    pub(super) fn interference(&self) -> u32 {
        self.profile.noise * u32::from(self.percent) / 100
    }

    pub(super) fn measure(&mut self, at: Millis) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at,
            used: self.used(),
            work_done: self.work_done(),
            checkpoint: self.checkpointed_work,
            slowdown: self.slowdown,
        });
    }

    /// Makes the next measurement be reported even if it does not differ from the last one.
    pub(super) const fn clear_last_report(&mut self) {
        self.last_reported = None;
    }

    /// Takes the measurements that have reached the report delay, and returns the newest one if it
    /// differs from the last report.
    pub(super) fn take_report(&mut self, now: Millis, delay: Millis) -> Option<Usage> {
        let mut newest = None;
        while let Some(sample) = self.samples.front().filter(|s| s.at + delay <= now) {
            newest = Some(*sample);
            self.samples.pop_front();
        }
        let sample = newest?;
        if self
            .last_reported
            .is_some_and(|last| !sample.differs_from(&last))
        {
            return None;
        }
        self.last_reported = Some(sample);
        Some(Usage {
            job: self.order.job.clone(),
            attempt: self.order.attempt,
            sample_age: now - sample.at,
            used: sample.used,
            work_done: sample.work_done,
            checkpoint: sample.checkpoint,
            slowdown: sample.slowdown,
        })
    }

    pub(super) fn running(&self) -> RunningTask {
        RunningTask {
            job: self.order.job.clone(),
            attempt: self.order.attempt,
            class: self.order.class,
            needs: self.order.needs,
            checkpoint: self.checkpointed_work,
        }
    }

    /// Returns the result that the task reports when it finishes.
    pub(super) fn result(&self) -> String {
        let StartOrder {
            service,
            job,
            attempt,
            ..
        } = &self.order;
        format!("{service}:{job}:{attempt}")
    }
}

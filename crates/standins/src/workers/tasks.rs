//! One simulated task: its progress, its lease and its measurements.

use std::collections::VecDeque;

use hyssop_core::{Class, Millis, Resources, RunningTask, StartOrder, Usage};
use serde::Deserialize;

/// Microseconds of work in a millisecond.
const MICROS: u64 = 1_000;
/// Most measurements of a task that wait for their lag.
const MAX_SAMPLES: usize = 256;

/// How a task really behaves, if its payload is JSON with these fields. Declared sizes and run
/// times of real jobs are often wrong; fields left out follow the declaration.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
#[serde(default)]
pub struct TaskProfile {
    /// Processor and memory use, in percent of the promise.
    #[serde(rename = "used")]
    pub used_percent: u32,
    /// Work, in milliseconds on an unhindered worker; 0 never finishes.
    pub work: Option<u64>,
    /// Slowdown that the task causes to each neighbour at full speed, in percent.
    pub noise: u32,
    /// The task fails as soon as it starts.
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

/// A measurement.
#[derive(Clone, Copy, Debug)]
struct Sample {
    at: Millis,
    used: Resources,
    done: u64,
    checkpoint: u64,
    slowdown: u32,
}

impl Sample {
    /// Tells whether the owner learns something from this measurement; progress alone can be
    /// extrapolated.
    fn differs(&self, earlier: &Self) -> bool {
        self.used != earlier.used
            || self.checkpoint != earlier.checkpoint
            || self.slowdown != earlier.slowdown
    }
}

/// A task that runs.
#[derive(Clone, Debug)]
pub(super) struct Task {
    pub(super) order: StartOrder,
    pub(super) profile: TaskProfile,
    /// Time at which the task stops unless its lease is renewed.
    pub(super) lease: Millis,
    /// Share of the full speed, in percent.
    pub(super) percent: u8,
    /// Time taken per unit of work, in percent of an unhindered worker.
    pub(super) slowdown: u32,
    /// Work done, in microseconds.
    done: u64,
    /// Work done at the last checkpoint, in milliseconds.
    saved: u64,
    saved_at: Millis,
    samples: VecDeque<Sample>,
    reported: Option<Sample>,
}

impl Task {
    pub(super) fn new(now: Millis, order: StartOrder, lease: Millis) -> Self {
        let profile = serde_json::from_str(&order.payload).unwrap_or_default();
        let saved = order.checkpoint;
        Self {
            order,
            profile,
            lease,
            percent: 100,
            slowdown: 100,
            done: saved.saturating_mul(MICROS),
            saved,
            saved_at: now,
            samples: VecDeque::new(),
            reported: None,
        }
    }

    /// Returns the work done, in milliseconds.
    pub(super) const fn done(&self) -> u64 {
        self.done / MICROS
    }

    pub(super) fn is_critical(&self) -> bool {
        self.order.class == Class::LatencyCritical
    }

    /// Extends the lease to `until`, never shortening it.
    pub(super) fn renew(&mut self, until: Millis) {
        self.lease = self.lease.max(until);
    }

    /// Returns the work of the whole task in microseconds, or `None` if it never finishes.
    fn work(&self) -> Option<u64> {
        let work = self.profile.work.unwrap_or(self.order.work.0);
        (work > 0).then(|| work.saturating_mul(MICROS))
    }

    /// Returns the progress per millisecond in microseconds.
    fn rate(&self, speed: u32) -> u64 {
        let full = MICROS * u64::from(speed) * u64::from(self.percent);
        (full / (100 * u64::from(self.slowdown.max(1)))).max(1)
    }

    /// Returns the time at which the task finishes if nothing changes.
    pub(super) fn finish_at(&self, now: Millis, speed: u32) -> Option<Millis> {
        let left = self.work()?.saturating_sub(self.done);
        Some(now + Millis(left.div_ceil(self.rate(speed))))
    }

    pub(super) fn is_done(&self) -> bool {
        self.work().is_some_and(|work| self.done >= work)
    }

    pub(super) fn progress(&mut self, time: Millis, speed: u32) {
        let gained = time.0.saturating_mul(self.rate(speed));
        self.done = self.done.saturating_add(gained);
    }

    /// Saves the progress and returns it in milliseconds.
    pub(super) fn checkpoint(&mut self, now: Millis) -> u64 {
        self.saved = self.done();
        self.saved_at = now;
        self.saved
    }

    /// Saves the progress of a batch task if its last checkpoint is old enough.
    pub(super) fn checkpoint_if_due(&mut self, now: Millis, interval: Millis) {
        let due = now.since(self.saved_at) >= interval;
        if due && self.order.class == Class::Batch {
            self.checkpoint(now);
        }
    }

    /// Returns the observed use.
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

    /// Returns the slowdown that the task causes to each neighbour, in percent.
    pub(super) fn noise(&self) -> u32 {
        self.profile.noise * u32::from(self.percent) / 100
    }

    pub(super) fn measure(&mut self, at: Millis) {
        if self.samples.len() >= MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back(Sample {
            at,
            used: self.used(),
            done: self.done(),
            checkpoint: self.saved,
            slowdown: self.slowdown,
        });
    }

    /// Makes the next measurement be reported even if nothing has changed.
    pub(super) const fn forget_report(&mut self) {
        self.reported = None;
    }

    /// Returns the newest measurement that has reached its lag, if it brings news.
    pub(super) fn report(&mut self, now: Millis, lag: Millis) -> Option<Usage> {
        let mut newest = None;
        while let Some(sample) = self.samples.front().filter(|s| s.at + lag <= now) {
            newest = Some(*sample);
            self.samples.pop_front();
        }
        let sample = newest?;
        if self
            .reported
            .is_some_and(|earlier| !sample.differs(&earlier))
        {
            return None;
        }
        self.reported = Some(sample);
        Some(Usage {
            job: self.order.job.clone(),
            attempt: self.order.attempt,
            sample_age: now - sample.at,
            used: sample.used,
            work_done: sample.done,
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
            checkpoint: self.saved,
        }
    }

    /// Returns the result of the task.
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

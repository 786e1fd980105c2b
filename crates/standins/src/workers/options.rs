//! Options and faults of the worker.

use hyssop_core::{Millis, RackName, Resources, WorkerName};
use serde::{Deserialize, Serialize};

/// Options of a worker.
#[derive(Clone, Debug)]
pub struct WorkerOptions {
    /// Name.
    pub name: WorkerName,
    /// Rack.
    pub rack: RackName,
    /// What the worker has.
    pub capacity: Resources,
    /// Address to listen on; port 0 takes any free port.
    pub listen: String,
    /// Age that a measurement must reach before it is reported.
    pub report_delay: Millis,
    /// Interval of the measurements.
    pub sample_interval: Millis,
    /// Interval of the checkpoints that batch tasks make by themselves.
    pub checkpoint_interval: Millis,
    /// Number of jobs whose highest attempt is remembered after their tasks have ended.
    pub max_remembered_jobs: usize,
    /// Faults from the start.
    pub faults: WorkerFaults,
}

impl WorkerOptions {
    /// Creates options for a worker with the given capacity.
    #[must_use]
    pub fn new(name: WorkerName, rack: RackName, capacity: Resources) -> Self {
        Self {
            name,
            rack,
            capacity,
            listen: "127.0.0.1:0".to_owned(),
            report_delay: Millis(2_000),
            sample_interval: Millis(500),
            checkpoint_interval: Millis(10_000),
            max_remembered_jobs: 65_536,
            faults: WorkerFaults::default(),
        }
    }

    /// Sets the address to listen on.
    #[must_use]
    pub fn with_listen(mut self, listen: impl Into<String>) -> Self {
        self.listen = listen.into();
        self
    }

    /// Sets the age that a measurement must reach before it is reported.
    #[must_use]
    pub const fn with_report_delay(mut self, report_delay: Millis) -> Self {
        self.report_delay = report_delay;
        self
    }

    /// Sets the interval of the measurements.
    #[must_use]
    pub const fn with_sample_interval(mut self, sample_interval: Millis) -> Self {
        self.sample_interval = sample_interval;
        self
    }

    /// Sets the interval of the checkpoints that batch tasks make by themselves.
    #[must_use]
    pub const fn with_checkpoint_interval(mut self, checkpoint_interval: Millis) -> Self {
        self.checkpoint_interval = checkpoint_interval;
        self
    }

    /// Sets the number of ended jobs whose highest attempt is remembered.
    #[must_use]
    pub const fn with_max_remembered_jobs(mut self, max_remembered_jobs: usize) -> Self {
        self.max_remembered_jobs = max_remembered_jobs;
        self
    }

    /// Sets faults from the start.
    #[must_use]
    pub const fn with_faults(mut self, faults: WorkerFaults) -> Self {
        self.faults = faults;
        self
    }
}

/// Faults in force. A `POST /v1/faults` replaces all of them; fields left out are off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct WorkerFaults {
    /// Every task that starts fails at once.
    #[serde(rename = "fails")]
    pub has_failing_tasks: bool,
    /// Speed of all tasks, in percent; at least 1.
    #[serde(rename = "speed")]
    pub speed_percent: u32,
    /// Polls are refused with 503.
    #[serde(rename = "down")]
    pub is_down: bool,
    /// Polls wait and nothing is noticed until the fault is cleared, as in a paused process. Then
    /// the missed time passes at once, and leases that lapsed in it end their tasks.
    #[serde(rename = "frozen")]
    pub is_frozen: bool,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            has_failing_tasks: false,
            speed_percent: 100,
            is_down: false,
            is_frozen: false,
        }
    }
}

impl WorkerFaults {
    /// Makes every task that starts fail at once.
    #[must_use]
    pub const fn with_failing_tasks(mut self) -> Self {
        self.has_failing_tasks = true;
        self
    }

    /// Sets the speed of all tasks, in percent.
    #[must_use]
    pub const fn with_speed_percent(mut self, speed_percent: u32) -> Self {
        self.speed_percent = speed_percent;
        self
    }

    /// Refuses polls.
    #[must_use]
    pub const fn with_down(mut self) -> Self {
        self.is_down = true;
        self
    }

    /// Freezes the worker.
    #[must_use]
    pub const fn with_frozen(mut self) -> Self {
        self.is_frozen = true;
        self
    }
}

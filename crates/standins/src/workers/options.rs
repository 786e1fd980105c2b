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
    pub lag: Millis,
    /// Interval of the measurements.
    pub sample: Millis,
    /// Interval of the checkpoints that batch tasks make by themselves.
    pub checkpoint: Millis,
    /// Number of jobs whose highest attempt is remembered after their tasks have ended.
    pub memory: usize,
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
            lag: Millis(2_000),
            sample: Millis(500),
            checkpoint: Millis(10_000),
            memory: 65_536,
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
    pub const fn with_lag(mut self, lag: Millis) -> Self {
        self.lag = lag;
        self
    }

    /// Sets the interval of the measurements.
    #[must_use]
    pub const fn with_sample(mut self, sample: Millis) -> Self {
        self.sample = sample;
        self
    }

    /// Sets the interval of the checkpoints that batch tasks make by themselves.
    #[must_use]
    pub const fn with_checkpoint(mut self, checkpoint: Millis) -> Self {
        self.checkpoint = checkpoint;
        self
    }

    /// Sets the number of ended jobs whose highest attempt is remembered.
    #[must_use]
    pub const fn with_memory(mut self, memory: usize) -> Self {
        self.memory = memory;
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
    pub fails: bool,
    /// Speed of all tasks, in percent; at least 1.
    pub speed: u32,
    /// Polls are refused with 503.
    pub down: bool,
    /// Polls wait and nothing is noticed until the fault is cleared, as in a paused process. Then
    /// the missed time passes at once, and leases that lapsed in it end their tasks.
    pub frozen: bool,
}

impl Default for WorkerFaults {
    fn default() -> Self {
        Self {
            fails: false,
            speed: 100,
            down: false,
            frozen: false,
        }
    }
}

impl WorkerFaults {
    /// Makes every task that starts fail at once.
    #[must_use]
    pub const fn with_fails(mut self) -> Self {
        self.fails = true;
        self
    }

    /// Sets the speed of all tasks, in percent.
    #[must_use]
    pub const fn with_speed(mut self, speed: u32) -> Self {
        self.speed = speed;
        self
    }

    /// Refuses polls.
    #[must_use]
    pub const fn with_down(mut self) -> Self {
        self.down = true;
        self
    }

    /// Freezes the worker.
    #[must_use]
    pub const fn with_frozen(mut self) -> Self {
        self.frozen = true;
        self
    }
}

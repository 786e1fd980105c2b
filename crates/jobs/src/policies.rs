//! Settings of operators: queues, closed failure domains and maintenance waves.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::MaintenanceWave;

/// Rules of one queue. They apply to all of its jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Name of the queue, unique in the policy.
    pub name: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// Priority; 0 is the most urgent.
    pub priority: u32,
    /// Number of failed runs of one task after which its job fails.
    pub attempts: u32,
    /// A job is in time if it takes at most this factor times its critical path, plus `margin_ms`.
    pub stretch: f64,
    /// Constant part of the time within which a job is in time, in milliseconds.
    #[serde(rename = "target")]
    pub margin_ms: u64,
    /// Whether the platform's advice service decides which workers may run a step, and issues a
    /// ticket for each of them.
    #[serde(default, rename = "advised")]
    pub needs_tickets: bool,
}

/// Time that the platform's advice service takes for a request, in milliseconds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AdviceCost {
    /// Constant part.
    pub decide_ms: f64,
    /// Part for each worker that the request names.
    pub per_worker_ms: f64,
}

/// All settings of operators, as of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version of the settings. A lower version never replaces a higher one.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<Arc<str>, Arc<QueueRule>>,
    /// Times of the advice service by queue, where operators name them.
    pub advice_costs: BTreeMap<Arc<str>, AdviceCost>,
    /// Failure domains that are out of service, in which no task may start.
    pub closed_domains: BTreeSet<Arc<str>>,
    /// Maintenance waves by number.
    pub waves: BTreeMap<u64, MaintenanceWave>,
}

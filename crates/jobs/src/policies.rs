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
    /// Factor of the critical path that a job may take and still be in time.
    pub stretch: f64,
    /// Time in milliseconds that a job may take in addition to that.
    #[serde(rename = "target")]
    pub margin_ms: u64,
    /// Whether the platform's advice service decides which workers may run a step, and issues a
    /// ticket for each of them.
    #[serde(default, rename = "advised")]
    pub needs_tickets: bool,
}

/// All settings of operators, as of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version of the settings. A lower version never replaces a higher one.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<Arc<str>, Arc<QueueRule>>,
    /// Failure domains that are out of service, in which no task may start.
    pub closed_domains: BTreeSet<Arc<str>>,
    /// Maintenance waves by number.
    pub waves: BTreeMap<u64, MaintenanceWave>,
}

//! What operators set: queues, and failure domains that are out of service.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::MaintenanceWave;

/// Rules of one queue.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct QueueRule {
    /// Name.
    pub name: Arc<str>,
    /// Service whose workers run the tasks.
    pub service: Arc<str>,
    /// 0 comes first.
    pub priority: u32,
    /// Failed runs of a task after which its job has failed.
    pub attempts: u32,
    /// Factor of the longest chain of work within which a job is in time.
    pub stretch: f64,
    /// Time beyond that, in milliseconds.
    #[serde(rename = "target")]
    pub margin_ms: u64,
    /// Whether a service of the platform names the workers that may run a step.
    #[serde(default, rename = "advised")]
    pub needs_tickets: bool,
}

/// Everything that operators set, as of one version.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Policy {
    /// Version; a policy with a lower one never replaces one with a higher one.
    pub version: u64,
    /// Queues by name.
    pub queues: BTreeMap<Arc<str>, Arc<QueueRule>>,
    /// Failure domains in which no task may start.
    pub closed_domains: BTreeSet<Arc<str>>,
    /// Waves of upkeep by number.
    pub waves: BTreeMap<u64, MaintenanceWave>,
}

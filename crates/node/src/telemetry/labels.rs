//! Label values of the metrics. Their number is bounded, so that no caller can make the metrics
//! grow without limit.

use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock};

use hyssop_core::{Class, EvictionCause, Outcome};
use opentelemetry::StringValue;

/// Most teams with a label of their own; the target deployment has 68 teams.
pub const MAX_TEAM_LABELS: usize = 128;

/// Most kinds of jobs with a label of their own.
pub const MAX_KIND_LABELS: usize = 128;

/// Common label of all teams and kinds beyond the limits.
pub const OTHER_LABEL: &str = "other";

/// Returns the label of the cause of an eviction.
pub(super) const fn cause_label(cause: EvictionCause) -> &'static str {
    match cause {
        EvictionCause::Protect => "protect",
        EvictionCause::Preempt => "preempt",
        EvictionCause::Drain => "drain",
        EvictionCause::Rebalance => "rebalance",
        EvictionCause::Other => OTHER_LABEL,
    }
}

/// Returns the label of a class, spelled as in service documents.
pub(super) const fn class_label(class: Class) -> &'static str {
    match class {
        Class::LatencyCritical => "latency-critical",
        Class::Urgent => "urgent",
        Class::Batch => "batch",
    }
}

/// Returns the label of an outcome.
pub(super) const fn outcome_label(outcome: &Outcome) -> &'static str {
    match outcome {
        Outcome::Complete(_) => "complete",
        Outcome::NotRun(_) => "not-run",
        Outcome::Unknown(_) => "unknown",
    }
}

/// Names that have a label of their own: the first distinct ones, up to `limit`.
#[derive(Debug)]
pub(super) struct LabelTable {
    limit: usize,
    labels: RwLock<BTreeMap<String, StringValue>>,
}

impl LabelTable {
    /// Creates an empty table.
    pub(super) const fn new(limit: usize) -> Self {
        Self {
            limit,
            labels: RwLock::new(BTreeMap::new()),
        }
    }

    /// Returns the label of a name, adding it while the table isn't full.
    pub(super) fn label(&self, name: &str) -> StringValue {
        let labels = self.labels.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(label) = labels.get(name) {
            return label.clone();
        }
        let is_full = labels.len() >= self.limit;
        drop(labels);
        if is_full {
            return OTHER_LABEL.into();
        }
        self.insert(name)
    }

    fn insert(&self, name: &str) -> StringValue {
        let mut labels = self.labels.write().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have filled the table since the check under the read lock.
        if labels.len() >= self.limit && !labels.contains_key(name) {
            return OTHER_LABEL.into();
        }
        let label = || StringValue::from(name.to_owned());
        labels.entry(name.to_owned()).or_insert_with(label).clone()
    }
}

//! Values of the metrics' labels, bounded so that no caller can make the metrics grow.

use std::collections::BTreeMap;
use std::sync::{PoisonError, RwLock};

use hyssop_core::{Class, EvictionCause, Outcome};
use opentelemetry::StringValue;

/// Teams with a label of their own; the target size has 68.
pub const MAX_TEAM_LABELS: usize = 128;

/// Kinds of jobs with a label of their own.
pub const MAX_KIND_LABELS: usize = 128;

/// Label of all further teams and kinds.
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

/// Returns the label of a class, as in documents.
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

/// Names that have a label of their own: the first ones seen, up to a limit.
#[derive(Debug)]
pub(super) struct Names {
    limit: usize,
    known: RwLock<BTreeMap<String, StringValue>>,
}

impl Names {
    /// Creates an empty table.
    pub(super) const fn new(limit: usize) -> Self {
        Self {
            limit,
            known: RwLock::new(BTreeMap::new()),
        }
    }

    /// Returns the label of a name.
    pub(super) fn label(&self, name: &str) -> StringValue {
        let known = self.known.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(label) = known.get(name) {
            return label.clone();
        }
        let is_full = known.len() >= self.limit;
        drop(known);
        if is_full {
            return OTHER_LABEL.into();
        }
        self.insert(name)
    }

    fn insert(&self, name: &str) -> StringValue {
        let mut known = self.known.write().unwrap_or_else(PoisonError::into_inner);
        // Another thread may have added names since the table was read.
        if known.len() >= self.limit && !known.contains_key(name) {
            return OTHER_LABEL.into();
        }
        let label = || StringValue::from(name.to_owned());
        known.entry(name.to_owned()).or_insert_with(label).clone()
    }
}

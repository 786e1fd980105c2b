//! Cells: the shards of a failure domain, each with a single owner.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, EntryName, Incarnation, Resources, Term};

/// Identifier of a cell, written `<domain>/<shard>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// Failure domain to which every worker of the cell belongs.
    pub domain: DomainName,
    /// Number of the cell within its failure domain.
    pub shard: u16,
}

impl CellId {
    /// Creates the identifier of one shard of a failure domain.
    #[must_use]
    pub const fn new(domain: DomainName, shard: u16) -> Self {
        Self { domain, shard }
    }

    /// Returns the name of the log stream that holds the cell's records.
    #[must_use]
    pub fn stream(&self) -> String {
        format!("cell.{}.{}", self.domain, self.shard)
    }
}

impl fmt::Display for CellId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.domain, self.shard)
    }
}

/// Error for a text that is not a cell identifier; holds the text, cut to 80 characters.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0:?} is not a cell; expected <domain>/<shard>")]
pub struct ParseCellError(String);

impl FromStr for CellId {
    type Err = ParseCellError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let err = || ParseCellError(text.chars().take(80).collect());
        let (domain, shard) = text.rsplit_once('/').ok_or_else(err)?;
        let domain = DomainName::new(domain).map_err(|_| err())?;
        let shard = shard.parse().map_err(|_| err())?;
        Ok(Self::new(domain, shard))
    }
}

/// Ownership and load of a cell, as derived from the cell's stream or received in a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellState {
    /// Identifier of the cell.
    pub cell: CellId,
    /// Term in force, used as the fencing token of the owner.
    pub term: Term,
    /// Entry that owns the cell in this term.
    pub owner: EntryName,
    /// Incarnation of the owner's process.
    pub incarnation: Incarnation,
    /// Capacity and load, as of when the owner reported them.
    pub summary: CellSummary,
}

/// Capacity and load of a cell, for capacity checks and status replies.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSummary {
    /// Sum of the capacities of the workers that respond.
    pub capacity: Resources,
    /// Sum of the resources allocated to tasks on the workers that respond.
    #[serde(rename = "promised")]
    pub allocated: Resources,
    /// Sum of the resources allocated to latency-critical tasks on all workers.
    #[serde(rename = "critical")]
    pub allocated_critical: Resources,
    /// Number of workers that respond.
    pub workers: u32,
    /// Number of attempts with an intent that have not ended, including unconfirmed ones.
    pub running: u32,
    /// Number of jobs that wait for a worker.
    pub pending: u32,
    /// Number of attempts on workers that do not respond; their state is unknown.
    #[serde(rename = "doubtful")]
    pub unconfirmed: u32,
    /// Number of jobs finished, from the cell's stream.
    pub finished: u64,
    /// Number of evictions for each cause.
    pub evictions: Evictions,
}

/// Reason for which a task was checkpointed and stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvictionCause {
    /// To protect latency-critical tasks on the worker from interference.
    Protect,
    /// To free capacity for urgent jobs or service tasks.
    Preempt,
    /// To empty a failure domain that is taken out of service.
    Drain,
    /// To spread the load more evenly over the workers.
    Rebalance,
    /// Not by an order of the current owner: the lease lapsed, or an earlier owner gave the order.
    #[default]
    Other,
}

impl fmt::Display for EvictionCause {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Protect => "protect",
            Self::Preempt => "preempt",
            Self::Drain => "drain",
            Self::Rebalance => "rebalance",
            Self::Other => "other",
        })
    }
}

/// Eviction counters for each [`EvictionCause`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Evictions {
    /// Evictions that protected latency-critical tasks.
    pub protect: u64,
    /// Evictions that freed capacity for urgent jobs or service tasks.
    pub preempt: u64,
    /// Evictions from a failure domain that was taken out of service.
    pub drain: u64,
    /// Evictions that spread the load more evenly.
    pub rebalance: u64,
    /// Evictions for a cause that the owner does not know.
    pub other: u64,
}

impl Evictions {
    /// Adds one to the counter of a cause.
    pub fn increment(&mut self, cause: EvictionCause) {
        match cause {
            EvictionCause::Protect => self.protect += 1,
            EvictionCause::Preempt => self.preempt += 1,
            EvictionCause::Drain => self.drain += 1,
            EvictionCause::Rebalance => self.rebalance += 1,
            EvictionCause::Other => self.other += 1,
        }
    }

    /// Returns the sum over all causes.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.protect + self.preempt + self.drain + self.rebalance + self.other
    }
}

/// Contact of an entry with the log and with the other entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Connectivity {
    /// Its last freshness confirmation is younger than [`crate::limits::FRESHNESS_LIMIT`].
    #[serde(rename = "proved")]
    Confirmed,
    /// It has no such confirmation but can reach a majority of the entries.
    #[serde(rename = "heard")]
    MajorityReachable,
    /// It has no such confirmation and cannot reach a majority.
    Isolated,
}

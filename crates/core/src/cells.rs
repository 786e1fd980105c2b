//! Cells: the parts of a failure domain that have one owner each.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{DomainName, EntryName, Incarnation, Resources, Term};

/// Identifier of a cell, written `<domain>/<shard>`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CellId {
    /// Failure domain of every worker of the cell.
    pub domain: DomainName,
    /// Number of the part of the domain.
    pub shard: u16,
}

impl CellId {
    /// Creates the identifier of one part of a domain.
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

/// A text that does not name a cell.
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

/// Who owns a cell, as its stream or a beat says.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellState {
    /// The cell.
    pub cell: CellId,
    /// Term in force.
    pub term: Term,
    /// Owner in that term.
    pub owner: EntryName,
    /// Life of the owner's process.
    pub incarnation: Incarnation,
    /// What the cell has and does.
    pub summary: CellSummary,
}

/// What a cell has and does, for room checks and status.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSummary {
    /// Sum of the capacities of the workers that answer.
    pub capacity: Resources,
    /// Sum of what is promised.
    #[serde(rename = "promised")]
    pub allocated: Resources,
    /// Part of the promises held by latency-critical tasks.
    #[serde(rename = "critical")]
    pub allocated_critical: Resources,
    /// Workers that answer.
    pub workers: u32,
    /// Attempts with an intent.
    pub running: u32,
    /// Jobs that wait.
    pub pending: u32,
    /// Attempts on workers that do not answer.
    #[serde(rename = "doubtful")]
    pub unconfirmed: u32,
    /// Jobs finished.
    pub finished: u64,
    /// Evictions by cause.
    pub evictions: Evictions,
}

/// Why a task was checkpointed and stopped.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum EvictionCause {
    /// To protect latency-critical tasks of the worker.
    Protect,
    /// To make room for urgent work or standing tasks.
    Preempt,
    /// Its failure domain is out of service.
    Drain,
    /// To use the workers more evenly.
    Rebalance,
    /// Not by an order of the present owner: its lease lapsed, or an earlier owner gave the order.
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

/// Numbers of evictions by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Evictions {
    /// To protect latency-critical tasks.
    pub protect: u64,
    /// To make room for more important work.
    pub preempt: u64,
    /// From a failure domain that leaves.
    pub drain: u64,
    /// To use the workers more evenly.
    pub rebalance: u64,
    /// For a cause that the owner does not know.
    pub other: u64,
}

impl Evictions {
    /// Counts one eviction.
    pub fn increment(&mut self, cause: EvictionCause) {
        match cause {
            EvictionCause::Protect => self.protect += 1,
            EvictionCause::Preempt => self.preempt += 1,
            EvictionCause::Drain => self.drain += 1,
            EvictionCause::Rebalance => self.rebalance += 1,
            EvictionCause::Other => self.other += 1,
        }
    }

    /// Returns the number over all causes.
    #[must_use]
    pub const fn total(&self) -> u64 {
        self.protect + self.preempt + self.drain + self.rebalance + self.other
    }
}

/// What an entry can prove about its place in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Connectivity {
    /// Its proof of freshness is younger than the limit.
    #[serde(rename = "proved")]
    Confirmed,
    /// It has no such proof but hears a majority of the entries.
    #[serde(rename = "heard")]
    MajorityReachable,
    /// It has neither.
    Isolated,
}

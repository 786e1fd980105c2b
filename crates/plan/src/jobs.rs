//! Jobs as the records of a cell's stream describe them.

use hyssop_core::{Attempt, CellId, Class, JobSpec, WorkerName};
use serde::{Deserialize, Serialize};

/// Prefix of the identifiers of standing tasks.
pub(crate) const STANDING: &str = "standing-";

/// How a job ended in this cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum End {
    Finished {
        attempt: Attempt,
        result: String,
        receipt: Option<String>,
    },
    Failed {
        cause: String,
    },
    Cancelled,
    Moved {
        to: CellId,
        delivered: bool,
    },
}

/// One job of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    /// Last attempt number used. A move to another cell uses one up, so that a late copy of an
    /// earlier transfer is recognised by its lower number.
    pub(crate) attempt: Attempt,
    /// Worker of the attempt that may be running.
    pub(crate) open: Option<WorkerName>,
    /// Worker of the latest attempt.
    pub(crate) worker: Option<WorkerName>,
    /// Work done at the last checkpoint, in milliseconds.
    pub(crate) checkpoint: u64,
    pub(crate) evictions: u32,
    /// Failed attempts.
    pub(crate) failures: u32,
    pub(crate) end: Option<End>,
    /// Hash of the specification as it was accepted; the payload of an ended job is dropped.
    pub(crate) digest: u64,
    /// Whether the job is in the list of ended jobs.
    pub(crate) listed: bool,
}

/// Returns a hash of a specification.
pub(crate) fn digest(spec: &JobSpec) -> u64 {
    let text = serde_json::to_vec(spec).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&text)
}

impl Job {
    pub(crate) fn new(spec: JobSpec, attempt: Attempt, checkpoint: u64) -> Self {
        Self {
            digest: digest(&spec),
            listed: false,
            spec,
            attempt,
            open: None,
            worker: None,
            checkpoint,
            evictions: 0,
            failures: 0,
            end: None,
        }
    }

    /// Tells whether the job needs a worker.
    pub(crate) fn is_waiting(&self) -> bool {
        self.open.is_none() && self.end.is_none()
    }

    /// Tells whether `attempt` is the one that may be running.
    pub(crate) fn is_open(&self, attempt: Attempt) -> bool {
        self.open.is_some() && self.attempt == attempt
    }

    /// Tells whether nothing more can happen to the job here, so that it may be forgotten.
    pub(crate) fn is_closed(&self) -> bool {
        let over = match &self.end {
            None => false,
            Some(End::Moved { delivered, .. }) => *delivered,
            Some(_) => true,
        };
        over && self.open.is_none()
    }

    /// Tells whether the job has run before, here or in the cell that it came from, and was moved.
    pub(crate) fn is_resumed(&self) -> bool {
        !self.is_standing() && (self.evictions > 0 || self.checkpoint > 0)
    }

    /// Tells whether the job is a standing task of a service.
    pub(crate) fn is_standing(&self) -> bool {
        self.spec.class == Class::LatencyCritical
    }
}

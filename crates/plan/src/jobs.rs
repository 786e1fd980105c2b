//! Jobs as the records of a cell's stream describe them.

use hyssop_core::{Attempt, CellId, Class, JobSpec, WorkerName};
use serde::{Deserialize, Serialize};

use crate::encodings::{PackedJob, SizeClass, SnapshotSize};

/// Prefix of the identifiers of standing tasks.
pub(crate) const SERVICE_TASK_PREFIX: &str = "standing-";

/// How a job ended in this cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum End {
    Finished {
        attempt: Attempt,
        result: String,
        receipt: Option<String>,
        /// Whether the result was dropped before anybody fetched it.
        #[serde(rename = "dropped")]
        is_dropped: bool,
    },
    Failed {
        cause: String,
    },
    Cancelled,
    Moved {
        to: CellId,
        #[serde(rename = "delivered")]
        is_delivered: bool,
    },
}

/// One job of the cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "PackedJob", from = "PackedJob")]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    /// Last attempt number used. A move to another cell uses one up, so that a late copy of an
    /// earlier transfer is recognised by its lower number.
    pub(crate) attempt: Attempt,
    /// Worker of the attempt that may be running.
    pub(crate) open_worker: Option<WorkerName>,
    /// Worker of the latest attempt.
    pub(crate) last_worker: Option<WorkerName>,
    /// Work done at the last checkpoint, in milliseconds.
    pub(crate) checkpoint: u64,
    pub(crate) eviction_count: u32,
    /// Failed attempts.
    pub(crate) failure_count: u32,
    pub(crate) end: Option<End>,
    /// Hash of the specification as it was accepted; the payload of an ended job is dropped.
    pub(crate) spec_hash: u64,
    /// Whether the job is in the list of ended jobs.
    pub(crate) is_listed: bool,
    /// Bytes in a snapshot, and the limit that they count against.
    pub(crate) snapshot_size: SnapshotSize,
}

/// Returns a hash of a specification.
pub(crate) fn hash_spec(spec: &JobSpec) -> u64 {
    let text = serde_json::to_vec(spec).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&text)
}

impl Job {
    pub(crate) fn new(spec: JobSpec, attempt: Attempt, checkpoint: u64) -> Self {
        Self {
            spec_hash: hash_spec(&spec),
            is_listed: false,
            snapshot_size: SnapshotSize::default(),
            spec,
            attempt,
            open_worker: None,
            last_worker: None,
            checkpoint,
            eviction_count: 0,
            failure_count: 0,
            end: None,
        }
    }

    /// Tells whether the job needs a worker.
    pub(crate) fn is_waiting(&self) -> bool {
        self.open_worker.is_none() && self.end.is_none()
    }

    /// Tells whether `attempt` is the one that may be running.
    pub(crate) fn is_open(&self, attempt: Attempt) -> bool {
        self.open_worker.is_some() && self.attempt == attempt
    }

    /// Tells whether nothing more can happen to the job here, so that it may be forgotten.
    pub(crate) fn is_closed(&self) -> bool {
        let over = match &self.end {
            None => false,
            Some(End::Moved { is_delivered, .. }) => *is_delivered,
            Some(_) => true,
        };
        over && self.open_worker.is_none()
    }

    /// Tells whether the job has run before, here or in the cell that it came from, and was moved.
    pub(crate) fn is_resumed(&self) -> bool {
        !self.is_service_task() && (self.eviction_count > 0 || self.checkpoint > 0)
    }

    /// Tells whether a result waits to be fetched.
    pub(crate) fn is_unfetched(&self) -> bool {
        matches!(
            self.end,
            Some(End::Finished {
                receipt: None,
                is_dropped: false,
                ..
            })
        )
    }

    /// Returns the limit on the size of snapshots that the job counts against.
    pub(crate) fn size_class(&self) -> SizeClass {
        if !self.is_closed() {
            SizeClass::Live
        } else if self.is_unfetched() {
            SizeClass::Unfetched
        } else {
            SizeClass::Ended
        }
    }

    /// Tells whether the job is a standing task of a service.
    pub(crate) fn is_service_task(&self) -> bool {
        self.spec.class == Class::LatencyCritical
    }
}

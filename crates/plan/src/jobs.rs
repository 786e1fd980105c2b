//! State of a job as of the records of the cell's stream.

use hyssop_core::{Attempt, CellId, Class, Crashes, JobSpec, WorkerName};
use serde::{Deserialize, Serialize};

use crate::encodings::{PackedJob, SizeClass, SnapshotSize};

/// Prefix of the identifiers of service tasks.
pub(crate) const SERVICE_TASK_PREFIX: &str = "standing-";

/// How a job ended in this cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) enum End {
    Finished {
        attempt: Attempt,
        result: String,
        /// Receipt of the fetch; `None` while the result is unfetched.
        receipt: Option<String>,
        /// Whether the result was dropped unfetched to limit the size of snapshots.
        #[serde(rename = "dropped")]
        is_dropped: bool,
    },
    Failed {
        cause: String,
    },
    Cancelled,
    Moved {
        to: CellId,
        /// Whether the other cell has accepted the job.
        #[serde(rename = "delivered")]
        is_delivered: bool,
    },
}

/// What is known of a job from before it was accepted: from other cells, or an earlier service task
/// with its identifier.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Past {
    pub(crate) attempt: Attempt,
    pub(crate) checkpoint: u64,
    pub(crate) crashes: Crashes,
}

/// A job of the cell, including service tasks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "PackedJob", from = "PackedJob")]
pub(crate) struct Job {
    pub(crate) spec: JobSpec,
    /// Last attempt number used. A move to another cell uses one as well, so that a late copy of an
    /// earlier transfer is recognised by its lower number.
    pub(crate) attempt: Attempt,
    /// Worker of the open attempt, which may be running; `None` without one.
    pub(crate) attempt_worker: Option<WorkerName>,
    /// Worker of the latest attempt.
    pub(crate) last_worker: Option<WorkerName>,
    /// Work done at the last checkpoint, in milliseconds.
    pub(crate) checkpoint: u64,
    /// Number of evictions in this cell.
    pub(crate) eviction_count: u32,
    /// Number of failed attempts in this cell.
    pub(crate) failure_count: u32,
    /// Crashes of workers under its attempts, also in the cells that it came from.
    pub(crate) crashes: Crashes,
    /// How the job ended; `None` until then. A cancelled job may still have an open attempt.
    pub(crate) end: Option<End>,
    /// Hash of the specification as it was accepted, because the payload of an ended job is
    /// dropped.
    pub(crate) spec_hash: u64,
    /// Whether the job is in one of the ledger's lists of ended jobs.
    pub(crate) is_listed: bool,
    /// Size limit that the job counts against, and the bytes that it takes in a snapshot.
    pub(crate) snapshot_size: SnapshotSize,
}

/// Returns the hash of a specification, by which a repeated submission is recognised.
pub(crate) fn hash_spec(spec: &JobSpec) -> u64 {
    let text = serde_json::to_vec(spec).unwrap_or_default();
    xxhash_rust::xxh3::xxh3_64(&text)
}

impl Job {
    pub(crate) fn new(spec: JobSpec, past: Past) -> Self {
        Self {
            spec_hash: hash_spec(&spec),
            is_listed: false,
            snapshot_size: SnapshotSize::default(),
            spec,
            attempt: past.attempt,
            attempt_worker: None,
            last_worker: None,
            checkpoint: past.checkpoint,
            eviction_count: 0,
            failure_count: 0,
            crashes: past.crashes,
            end: None,
        }
    }

    /// Returns whether the job needs a worker.
    pub(crate) fn is_waiting(&self) -> bool {
        self.attempt_worker.is_none() && self.end.is_none()
    }

    /// Returns whether `attempt` is the open attempt.
    pub(crate) fn is_open(&self, attempt: Attempt) -> bool {
        self.attempt_worker.is_some() && self.attempt == attempt
    }

    /// Returns whether the job has ended here and has no open attempt, so that it may be removed.
    pub(crate) fn is_closed(&self) -> bool {
        let has_ended = match &self.end {
            None => false,
            Some(End::Moved { is_delivered, .. }) => *is_delivered,
            Some(_) => true,
        };
        has_ended && self.attempt_worker.is_none()
    }

    /// Returns whether the job has run before, here or in the cell that it came from: it was
    /// evicted or has a checkpoint.
    pub(crate) fn has_run_before(&self) -> bool {
        !self.is_service_task() && (self.eviction_count > 0 || self.checkpoint > 0)
    }

    /// Returns whether the job has a result that was not fetched yet.
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

    /// Returns the size limit that the job counts against.
    pub(crate) fn size_class(&self) -> SizeClass {
        if !self.is_closed() {
            SizeClass::Live
        } else if self.is_unfetched() {
            SizeClass::Unfetched
        } else {
            SizeClass::Ended
        }
    }

    /// Returns whether the job is a service task: a latency-critical instance of a service.
    pub(crate) fn is_service_task(&self) -> bool {
        self.spec.class == Class::LatencyCritical
    }
}

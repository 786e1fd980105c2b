//! Compact encoding of jobs in snapshots: lists without field names, and their sizes.

use hyssop_core::{
    Attempt, Class, Crashes, DomainName, JobId, JobSpec, Millis, Resources, ServiceName,
};
use hyssop_core::{TeamName, WorkerName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::jobs::{End, Job};

/// Size limit of snapshots that a job counts against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum SizeClass {
    /// Jobs that have not ended, or whose last attempt is still open.
    #[default]
    Live,
    /// Finished jobs with an unfetched result.
    Unfetched,
    /// All other ended jobs.
    Ended,
}

/// Size limit that a job counts against, and the bytes that it takes in a snapshot.
pub(crate) type SnapshotSize = (SizeClass, usize);

/// The specification of a job as a list of its fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct PackedSpec(
    JobId,
    TeamName,
    ServiceName,
    ServiceName,
    Class,
    (u32, u32, u32),
    Millis,
    SmallVec<[DomainName; 4]>,
    String,
);

/// A job as a list of its fields.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(crate) struct PackedJob(
    PackedSpec,
    Attempt,
    Option<WorkerName>,
    Option<WorkerName>,
    u64,
    (u32, u32),
    Option<End>,
    u64,
    bool,
    // Absent in snapshots of earlier versions, and for jobs without crashes.
    #[serde(default, skip_serializing_if = "Crashes::is_empty")] Crashes,
);

impl From<Job> for PackedJob {
    fn from(job: Job) -> Self {
        let spec = job.spec;
        let needs = (spec.needs.cpu, spec.needs.mem, spec.needs.accel);
        let spec = PackedSpec(
            spec.id,
            spec.team,
            spec.service,
            spec.kind,
            spec.class,
            needs,
            spec.work,
            spec.domains,
            spec.payload,
        );
        let counts = (job.eviction_count, job.failure_count);
        Self(
            spec,
            job.attempt,
            job.attempt_worker,
            job.last_worker,
            job.checkpoint,
            counts,
            job.end,
            job.spec_hash,
            job.is_listed,
            job.crashes,
        )
    }
}

impl From<PackedJob> for Job {
    fn from(packed: PackedJob) -> Self {
        let PackedSpec(id, team, service, kind, class, (cpu, mem, accel), work, domains, payload) =
            packed.0;
        let spec = JobSpec {
            id,
            team,
            service,
            kind,
            class,
            needs: Resources::new(cpu, mem, accel),
            work,
            domains,
            payload,
        };
        Self {
            spec,
            attempt: packed.1,
            attempt_worker: packed.2,
            last_worker: packed.3,
            checkpoint: packed.4,
            eviction_count: packed.5.0,
            failure_count: packed.5.1,
            end: packed.6,
            spec_hash: packed.7,
            is_listed: packed.8,
            crashes: packed.9,
            snapshot_size: SnapshotSize::default(),
        }
    }
}

/// Encodes the jobs of a ledger as a list instead of a map, because each job has its identifier.
pub(crate) mod job_list {
    use std::collections::BTreeMap;

    use hyssop_core::JobId;
    use serde::{Deserialize, Deserializer, Serializer};

    use crate::jobs::Job;

    pub(crate) fn serialize<S: Serializer>(
        jobs: &BTreeMap<JobId, Job>,
        s: S,
    ) -> Result<S::Ok, S::Error> {
        s.collect_seq(jobs.values())
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(
        d: D,
    ) -> Result<BTreeMap<JobId, Job>, D::Error> {
        let jobs = Vec::<Job>::deserialize(d)?;
        let jobs = jobs.into_iter().map(|job| (job.spec.id.clone(), job));
        Ok(jobs.collect())
    }
}

/// Returns the bytes that a job takes in a snapshot, with its entry in a list of ended jobs. The
/// record has the state as a JSON text within JSON, so that quotes and backslashes count twice.
pub(crate) fn snapshot_bytes(job: &Job) -> usize {
    let text = serde_json::to_vec(job).unwrap_or_default();
    let escaped = text.iter().filter(|b| matches!(b, b'"' | b'\\')).count();
    let name = if job.is_listed {
        job.spec.id.as_str().len() + 5
    } else {
        0
    };
    text.len() + escaped + name + 1
}

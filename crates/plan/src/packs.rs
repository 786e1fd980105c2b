//! Compact form of jobs in snapshots: lists without field names, and the size that they take.

use hyssop_core::{Attempt, Class, DomainName, JobId, JobSpec, Millis, Resources, ServiceName};
use hyssop_core::{TeamName, WorkerName};
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::jobs::{End, Job};

/// Limit on the size of snapshots that a job counts against.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Part {
    #[default]
    Live,
    Unfetched,
    Ended,
}

/// A job's part in the size of a snapshot, in bytes.
pub(crate) type Share = (Part, usize);

/// Names and needs of a job.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Spec(
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
pub(crate) struct Packed(
    Spec,
    Attempt,
    Option<WorkerName>,
    Option<WorkerName>,
    u64,
    (u32, u32),
    Option<End>,
    u64,
    bool,
);

impl From<Job> for Packed {
    fn from(job: Job) -> Self {
        let spec = job.spec;
        let needs = (spec.needs.cpu, spec.needs.mem, spec.needs.accel);
        let spec = Spec(
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
        let counts = (job.evictions, job.failures);
        Self(
            spec,
            job.attempt,
            job.open,
            job.worker,
            job.checkpoint,
            counts,
            job.end,
            job.digest,
            job.listed,
        )
    }
}

impl From<Packed> for Job {
    fn from(packed: Packed) -> Self {
        let Spec(id, team, service, kind, class, (cpu, mem, accel), work, domains, payload) =
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
            open: packed.2,
            worker: packed.3,
            checkpoint: packed.4,
            evictions: packed.5.0,
            failures: packed.5.1,
            end: packed.6,
            digest: packed.7,
            listed: packed.8,
            share: Share::default(),
        }
    }
}

/// Reads and writes the jobs of a ledger as a list, because each job carries its identifier.
pub(crate) mod listed {
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

/// Returns the bytes that a job takes in a snapshot. The record holds the state as a JSON text
/// within JSON, so that quotes and backslashes count twice.
pub(crate) fn weigh(job: &Job) -> usize {
    let text = serde_json::to_vec(job).unwrap_or_default();
    let escaped = text.iter().filter(|b| matches!(b, b'"' | b'\\')).count();
    let name = if job.listed {
        job.spec.id.as_str().len() + 5
    } else {
        0
    };
    text.len() + escaped + name + 1
}

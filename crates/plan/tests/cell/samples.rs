//! Identifiers, documents and jobs for the tests.

use hyssop_core::{
    CellId, Class, DomainName, JobId, JobSpec, Millis, Resources, ServiceDoc, ServiceName,
    TeamName, WorkerName,
};

pub(crate) fn job_id(text: &str) -> JobId {
    JobId::new(text).expect("job")
}

pub(crate) fn service(text: &str) -> ServiceName {
    ServiceName::new(text).expect("service")
}

pub(crate) fn domain(text: &str) -> DomainName {
    DomainName::new(text).expect("domain")
}

pub(crate) fn team(text: &str) -> TeamName {
    TeamName::new(text).expect("team")
}

/// Returns a document of a service that may run in all domains of the tests.
pub(crate) fn doc(name: &str, class: Class, instances: u32) -> ServiceDoc {
    ServiceDoc {
        service: service(name),
        team: team("haugland"),
        class,
        domains: ["a", "b", "c"].map(domain).into_iter().collect(),
        needs: hyssop_core::Needs {
            resources: Resources::new(8_000, 16_000, 0),
            instances,
        },
        moves: hyssop_core::Moves {
            drain: 1,
            ..hyssop_core::Moves::default()
        },
        limits: hyssop_core::Limits::default(),
        idempotent: Vec::new(),
    }
}

/// Returns a batch job of two cores.
pub(crate) fn batch(name: &str, work: u64) -> JobSpec {
    JobSpec {
        id: job_id(name),
        team: team("haugland"),
        service: service("cuts"),
        kind: service("cut-list"),
        class: Class::Batch,
        needs: Resources::new(2_000, 2_000, 0),
        work: Millis(work),
        domains: smallvec::SmallVec::new(),
        payload: String::new(),
    }
}

pub(crate) fn worker_name(cell: &CellId, n: usize) -> WorkerName {
    WorkerName::new(format!("{}-w{n}", cell.domain)).expect("worker")
}

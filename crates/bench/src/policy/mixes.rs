//! Services and batch jobs of the two users, and the slowdowns between them, which the policy
//! cannot see.

use hyssop_core::ServiceDoc;

/// Batch jobs of one service with their arrival rate.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobKind {
    pub(super) service: &'static str,
    pub(super) cpu_millicores: u32,
    pub(super) memory_mib: u32,
    /// Least and most work of a job, from which it is drawn evenly.
    pub(super) work_ms: (u64, u64),
    /// Mean arrival rate; 0 if all jobs are submitted at the start.
    pub(super) jobs_per_second: f64,
    /// Number of jobs submitted at the start of the run.
    pub(super) initial_jobs: usize,
    /// Whether the jobs arrive in waves under `Scenario::Waves`.
    pub(super) has_waves: bool,
}

/// Services, domains and batch jobs of one user.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Name of the user in the table of results.
    pub name: &'static str,
    pub(super) team: &'static str,
    pub(super) domains: [&'static str; 3],
    /// Latency-critical service whose tail latency is measured.
    pub(super) critical_service: &'static str,
    pub(super) docs: Vec<ServiceDoc>,
    pub(super) job_kinds: Vec<JobKind>,
}

fn parse_documents(texts: &[&str]) -> Vec<ServiceDoc> {
    let parse = |text: &&str| ServiceDoc::parse(text).expect("the example documents are valid");
    texts.iter().map(parse).collect()
}

impl Mix {
    /// Returns the services of Haugland: the planner and the day sheets share workers with route
    /// plans, cut lists and slot-watchers.
    ///
    /// # Panics
    ///
    /// Panics if the example documents are malformed.
    #[must_use]
    pub fn haugland() -> Self {
        Self {
            name: "haugland",
            team: "haugland",
            domains: ["bergen-a", "bergen-b", "forde"],
            critical_service: "planner",
            docs: parse_documents(&[
                include_str!("../../../../examples/haugland.planner.toml"),
                include_str!("../../../../examples/haugland.day-sheets.toml"),
                include_str!("../../../../examples/haugland.route-plans.toml"),
                include_str!("../../../../examples/haugland.cut-lists.toml"),
                include_str!("../../../../examples/haugland.slot-watchers.toml"),
            ]),
            job_kinds: vec![
                JobKind {
                    service: "route-plans",
                    cpu_millicores: 4_000,
                    memory_mib: 8_192,
                    work_ms: (50_000, 150_000),
                    jobs_per_second: 0.1375,
                    initial_jobs: 12,
                    has_waves: true,
                },
                JobKind {
                    service: "cut-lists",
                    cpu_millicores: 2_000,
                    memory_mib: 4_096,
                    work_ms: (10_000, 30_000),
                    jobs_per_second: 0.375,
                    initial_jobs: 0,
                    has_waves: false,
                },
                JobKind {
                    service: "slot-watchers",
                    cpu_millicores: 500,
                    memory_mib: 1_024,
                    work_ms: (3_600_000, 7_200_000),
                    jobs_per_second: 0.0,
                    initial_jobs: 20,
                    has_waves: false,
                },
            ],
        }
    }

    /// Returns the services of Morski: the logbook shares workers with reconciliations and quota
    /// summaries.
    ///
    /// # Panics
    ///
    /// Panics if the example documents are malformed.
    #[must_use]
    pub fn morski() -> Self {
        Self {
            name: "morski",
            team: "morski",
            domains: ["gdynia", "kolobrzeg", "wladyslawowo"],
            critical_service: "logbook",
            docs: parse_documents(&[
                include_str!("../../../../examples/morski.logbook.toml"),
                include_str!("../../../../examples/morski.reconciliations.toml"),
                include_str!("../../../../examples/morski.quota-summaries.toml"),
            ]),
            job_kinds: vec![
                JobKind {
                    service: "quota-summaries",
                    cpu_millicores: 6_000,
                    memory_mib: 12_288,
                    work_ms: (45_000, 135_000),
                    jobs_per_second: 0.0926,
                    initial_jobs: 8,
                    has_waves: true,
                },
                JobKind {
                    service: "reconciliations",
                    cpu_millicores: 2_000,
                    memory_mib: 6_144,
                    work_ms: (20_000, 60_000),
                    jobs_per_second: 0.4,
                    initial_jobs: 16,
                    has_waves: false,
                },
            ],
        }
    }
}

/// Returns the slowdown that one task of service `neighbour` adds to a task of service `victim`,
/// where 0.01 means one percent more time.
pub(super) fn slowdown_share(victim: &str, neighbour: &str) -> f64 {
    match (victim, neighbour) {
        ("planner", "route-plans") => 0.025,
        ("planner", "cut-lists") => 0.01,
        ("planner", "slot-watchers") => 0.002,
        ("planner", "planner") | ("logbook", "logbook") => 0.01,
        ("planner", "day-sheets") => 0.005,
        ("day-sheets", "route-plans") => 0.0125,
        ("logbook", "quota-summaries") => 0.035,
        ("logbook", "reconciliations") => 0.01,
        _ => 0.01,
    }
}

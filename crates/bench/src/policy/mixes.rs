//! The two users' services, their batch work and the slowdowns that the policy cannot see.

use hyssop_core::ServiceDoc;

/// A kind of batch job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Kind {
    pub(super) service: &'static str,
    pub(super) cpu: u32,
    pub(super) mem: u32,
    /// Least and most work, in milliseconds.
    pub(super) work: (u64, u64),
    /// Jobs a second; 0 for those that are only submitted at the start.
    pub(super) rate: f64,
    /// Jobs submitted at the start.
    pub(super) first: usize,
    /// Whether the kind arrives in waves.
    pub(super) waves: bool,
}

/// Services and work of a user.
#[derive(Clone, Debug)]
pub struct Mix {
    /// Name of the user.
    pub name: &'static str,
    pub(super) team: &'static str,
    pub(super) domains: [&'static str; 3],
    /// Latency-critical service whose tail is measured.
    pub(super) service: &'static str,
    pub(super) docs: Vec<ServiceDoc>,
    pub(super) kinds: Vec<Kind>,
}

fn docs(texts: &[&str]) -> Vec<ServiceDoc> {
    let parse = |text: &&str| ServiceDoc::parse(text).expect("the example documents are valid");
    texts.iter().map(parse).collect()
}

impl Mix {
    /// Returns Haugland's services: the planner and the day sheets beside route plans, cut lists
    /// and slot-watchers.
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
            service: "planner",
            docs: docs(&[
                include_str!("../../../../examples/haugland.planner.toml"),
                include_str!("../../../../examples/haugland.day-sheets.toml"),
                include_str!("../../../../examples/haugland.route-plans.toml"),
                include_str!("../../../../examples/haugland.cut-lists.toml"),
                include_str!("../../../../examples/haugland.slot-watchers.toml"),
            ]),
            kinds: vec![
                Kind {
                    service: "route-plans",
                    cpu: 4_000,
                    mem: 8_192,
                    work: (50_000, 150_000),
                    rate: 0.1375,
                    first: 12,
                    waves: true,
                },
                Kind {
                    service: "cut-lists",
                    cpu: 2_000,
                    mem: 4_096,
                    work: (10_000, 30_000),
                    rate: 0.375,
                    first: 0,
                    waves: false,
                },
                Kind {
                    service: "slot-watchers",
                    cpu: 500,
                    mem: 1_024,
                    work: (3_600_000, 7_200_000),
                    rate: 0.0,
                    first: 20,
                    waves: false,
                },
            ],
        }
    }

    /// Returns Morski's services: the logbook beside reconciliations and quota summaries.
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
            service: "logbook",
            docs: docs(&[
                include_str!("../../../../examples/morski.logbook.toml"),
                include_str!("../../../../examples/morski.reconciliations.toml"),
                include_str!("../../../../examples/morski.quota-summaries.toml"),
            ]),
            kinds: vec![
                Kind {
                    service: "quota-summaries",
                    cpu: 6_000,
                    mem: 12_288,
                    work: (45_000, 135_000),
                    rate: 0.0926,
                    first: 8,
                    waves: true,
                },
                Kind {
                    service: "reconciliations",
                    cpu: 2_000,
                    mem: 6_144,
                    work: (20_000, 60_000),
                    rate: 0.4,
                    first: 16,
                    waves: false,
                },
            ],
        }
    }
}

/// Returns by how much one task of `other` slows `victim` down, as a part of its unhindered speed.
pub(super) fn slowdown(victim: &str, other: &str) -> f64 {
    match (victim, other) {
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

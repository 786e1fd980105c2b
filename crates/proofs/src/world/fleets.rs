//! Names of the simulated users' fleets.

use hyssop_core::{DomainName, JobSpec, ServiceDoc, ServiceName, TeamName};

/// Names of a user's domains, services and team.
#[derive(Clone, Copy, Debug)]
pub struct Fleet {
    domains: [&'static str; 3],
    service: &'static str,
    jobs: &'static str,
    team: &'static str,
}

impl Fleet {
    /// Haugland: the planner service and the cut list jobs.
    pub const HAUGLAND: Self = Self {
        domains: ["bergen-a", "bergen-b", "forde"],
        service: "planner",
        jobs: "cuts",
        team: "haugland",
    };
    /// Morski: the logbook service, and report jobs for franchisees and inspectors.
    pub const MORSKI: Self = Self {
        domains: ["gdynia", "kolobrzeg", "wladyslawowo"],
        service: "logbook",
        jobs: "reports",
        team: "morski",
    };

    pub(crate) fn domains(&self) -> Vec<DomainName> {
        let names = self.domains.iter();
        names.map(|d| DomainName::new(d).expect("domain")).collect()
    }

    /// Returns the latency-critical service.
    pub(crate) fn service(&self) -> ServiceName {
        ServiceName::new(self.service).expect("service")
    }

    /// Returns the service of the batch jobs.
    pub(crate) fn jobs(&self) -> ServiceName {
        ServiceName::new(self.jobs).expect("service")
    }

    pub(crate) fn team(&self) -> TeamName {
        TeamName::new(self.team).expect("team")
    }

    /// Returns a document with its team and domains replaced by this fleet's.
    pub(crate) fn own(&self, doc: ServiceDoc) -> ServiceDoc {
        ServiceDoc {
            team: self.team(),
            domains: self.domains().into_iter().collect(),
            ..doc
        }
    }

    /// Returns a job with its team, service and kind replaced by this fleet's.
    ///
    /// # Panics
    ///
    /// Panics if the kind is not a valid name.
    #[must_use]
    pub fn job(&self, kind: &str, spec: JobSpec) -> JobSpec {
        JobSpec {
            team: self.team(),
            service: self.jobs(),
            kind: ServiceName::new(kind).expect("kind"),
            ..spec
        }
    }
}

//! Jobs, results, tickets and explanations.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    Attempt, Class, DomainName, Explanation, JobId, JobSpec, JobStatus, Millis, Resources,
    ServiceName, Subject, TeamName, Ticket,
};

/// Body of `POST /v1/jobs`. The team is taken from the caller's token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmit {
    /// Submission key chosen by the caller; a repeated submission with the same key yields the same
    /// job.
    pub key: String,
    /// Service whose document governs the job.
    pub service: ServiceName,
    /// Label under which the result is counted.
    pub kind: ServiceName,
    /// Scheduling class; batch by default.
    #[serde(default)]
    pub class: Class,
    /// Resources that the job declares.
    pub needs: Resources,
    /// Work that the job declares: its run time on a worker without interference, in milliseconds.
    pub work: Millis,
    /// Failure domains in which the job may run; empty for all that the document allows.
    #[serde(default)]
    pub domains: SmallVec<[DomainName; 4]>,
    /// Opaque input that is passed to the task.
    #[serde(default)]
    pub payload: String,
}

impl JobSubmit {
    /// Converts the body into the specification of a job of `team`.
    #[must_use]
    pub fn into_spec(self, team: TeamName) -> JobSpec {
        JobSpec {
            id: JobId::derive(&team, &self.key),
            team,
            service: self.service,
            kind: self.kind,
            class: self.class,
            needs: self.needs,
            work: self.work,
            domains: self.domains,
            payload: self.payload,
        }
    }
}

/// Response to `GET /v1/jobs`. `POST /v1/jobs`, `GET` and `DELETE /v1/jobs/{id}` return one
/// [`JobStatus`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Jobs of the caller's team.
    pub jobs: Vec<JobStatus>,
}

/// Body of `POST /v1/jobs/{id}/result`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResultRequest {
    /// Receipt chosen by the caller; the first one committed gets the result.
    pub receipt: String,
}

/// Response to `POST /v1/jobs/{id}/result`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultReply {
    /// Job to which the result belongs.
    pub job: JobId,
    /// Number of the attempt that finished.
    pub attempt: Attempt,
    /// Result as returned by the task.
    pub result: String,
}

/// Body of `POST /v1/services/{service}/tickets`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketsRequest {
    /// Number of tickets, 1 to [`crate::limits::MAX_TICKET_BATCH`].
    #[serde(default = "one")]
    pub count: u32,
}

const fn one() -> u32 {
    1
}

impl Default for TicketsRequest {
    fn default() -> Self {
        Self { count: one() }
    }
}

/// Response to `POST /v1/services/{service}/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketsReply {
    /// Service for which the tickets are valid.
    pub service: ServiceName,
    /// Tickets as text, each for one request with the header `Idempotency-Key`.
    pub tickets: Vec<String>,
    /// Time for which an unused ticket is valid, in milliseconds.
    pub ttl: Millis,
}

impl TicketsReply {
    /// Formats tickets as text and adds their validity.
    #[must_use]
    pub fn new(service: ServiceName, tickets: &[Ticket]) -> Self {
        Self {
            service,
            tickets: tickets.iter().map(ToString::to_string).collect(),
            ttl: crate::limits::TICKET_TTL,
        }
    }
}

/// Response to `GET /v1/explain/{kind}/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// Entity that is explained.
    pub subject: Subject,
    /// Explanations that are still stored, oldest first.
    pub explanations: Vec<Explanation>,
}

//! Jobs, results, tickets and explanations.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    Attempt, Class, DomainName, Explanation, JobId, JobSpec, JobStatus, Millis, Resources,
    ServiceName, Subject, TeamName, Ticket,
};

/// Body of `POST /v1/jobs`. The team comes from the caller's token.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct JobSubmit {
    /// Key chosen by the caller; a repeated submission with the same key names the same job.
    pub key: String,
    /// Service whose document governs the job.
    pub service: ServiceName,
    /// Kind under which the result is counted.
    pub kind: ServiceName,
    /// Class of the job.
    #[serde(default)]
    pub class: Class,
    /// Declared needs.
    pub needs: Resources,
    /// Declared work, in milliseconds on an unhindered worker.
    pub work: Millis,
    /// Domains in which the job may run; empty for all that the document allows.
    #[serde(default)]
    pub domains: SmallVec<[DomainName; 4]>,
    /// Opaque input handed to the task.
    #[serde(default)]
    pub payload: String,
}

impl JobSubmit {
    /// Returns the job that the body asks for on behalf of a team.
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

/// Answer to `GET /v1/jobs`. `POST /v1/jobs`, `GET` and `DELETE /v1/jobs/{id}` answer with one
/// [`JobStatus`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct JobList {
    /// Jobs of the team.
    pub jobs: Vec<JobStatus>,
}

/// Body of `POST /v1/jobs/{id}/result`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ResultRequest {
    /// Receipt chosen by the caller; the first one settled gets the result.
    pub receipt: String,
}

/// Answer to `POST /v1/jobs/{id}/result`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ResultReply {
    /// Job.
    pub job: JobId,
    /// Attempt that finished.
    pub attempt: Attempt,
    /// Result as the task gave it.
    pub result: String,
}

/// Body of `POST /v1/services/{service}/tickets`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TicketsRequest {
    /// Number of tickets, 1 to [`crate::limits::TICKET_BATCH`].
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

/// Answer to `POST /v1/services/{service}/tickets`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketsReply {
    /// Service.
    pub service: ServiceName,
    /// Tickets as text, each for one request in `Idempotency-Key`.
    pub tickets: Vec<String>,
    /// Time for which an unused ticket is valid.
    pub ttl: Millis,
}

impl TicketsReply {
    /// Writes tickets as text.
    #[must_use]
    pub fn new(service: ServiceName, tickets: &[Ticket]) -> Self {
        Self {
            service,
            tickets: tickets.iter().map(ToString::to_string).collect(),
            ttl: crate::limits::TICKET_TTL,
        }
    }
}

/// Answer to `GET /v1/explain/{kind}/{name}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ExplainReply {
    /// What was asked about.
    pub subject: Subject,
    /// Explanations still kept, oldest first.
    pub explanations: Vec<Explanation>,
}

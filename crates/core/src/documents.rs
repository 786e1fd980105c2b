//! Service documents, quotas and states of failure domains.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{DomainName, Error, Resources, Result, ServiceName, TeamName, limits};

/// Scheduling class of a task, from highest to lowest priority.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Serves requests; protected from interference by other tasks on the worker.
    LatencyCritical,
    /// Job that starts within seconds and may preempt batch jobs.
    Urgent,
    /// Job that runs in the capacity left over by the other classes.
    #[default]
    Batch,
}

/// Resources that a document requests for each instance or, for batch, at most for each job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Needs {
    /// Resources of one instance.
    pub resources: Resources,
    /// Number of service tasks to keep running; 0 for a service that only runs jobs.
    #[serde(default)]
    pub instances: u32,
}

/// How the instances and jobs of a service may be moved, paused and drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Moves {
    /// Whether tasks may be checkpointed and moved to another worker.
    pub movable: bool,
    /// Largest number of instances that may be unavailable at once; 1 or more.
    pub away: u32,
    /// Longest time for which a move may pause a job, in seconds.
    pub pause: u32,
    /// Time for requests in flight to finish before an instance is stopped, in seconds.
    pub drain: u32,
}

impl Default for Moves {
    fn default() -> Self {
        Self {
            movable: true,
            away: 1,
            pause: 60,
            drain: 30,
        }
    }
}

/// Limits on the requests to a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests that one backend server runs at once; 1 to `connections`.
    pub slots: u32,
    /// Requests running and queued at one backend server.
    pub connections: u32,
    /// Requests of one calling team in flight through one entry.
    pub inflight: u32,
    /// Deadline of a request that states none, in milliseconds; 1 or more.
    pub deadline: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            slots: 8,
            connections: 64,
            inflight: 256,
            deadline: 2_000,
        }
    }
}

/// Service document: the configuration of one service, written by the team that runs it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDoc {
    /// Name of the service; the key of the document in the configuration.
    pub service: ServiceName,
    /// Team that owns the document.
    pub team: TeamName,
    /// Scheduling class of the tasks of the service.
    pub class: Class,
    /// Failure domains in which tasks of the service may run; one or more.
    pub domains: SmallVec<[DomainName; 4]>,
    /// Resources and number of instances.
    pub needs: Needs,
    /// How its tasks may be moved, paused and drained.
    #[serde(default)]
    pub moves: Moves,
    /// Limits on requests to its backend servers.
    #[serde(default)]
    pub limits: Limits,
    /// Path prefixes whose requests are idempotent whatever the method.
    #[serde(default)]
    pub idempotent: Vec<String>,
}

impl ServiceDoc {
    /// Parses and validates a document in TOML.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Document`] with line and column when the text is malformed or has an
    /// unknown field, and [`Error::Field`] when it is too long or a value is not allowed.
    pub fn parse(text: &str) -> Result<Self> {
        if text.len() > limits::MAX_DOCUMENT_BYTES {
            let found = format!("{} bytes", text.len());
            return Err(Error::field(
                "document",
                found,
                format!("at most {}", limits::MAX_DOCUMENT_BYTES),
            ));
        }
        let doc: Self = toml::from_str(text).map_err(|e| Error::Document(e.to_string()))?;
        doc.check()?;
        Ok(doc)
    }

    /// Validates what the types do not rule out.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Field`] for the first field with a value that is not allowed.
    pub fn check(&self) -> Result<()> {
        if self.domains.is_empty() {
            return Err(Error::field(
                "domains",
                "none",
                "one failure domain or more",
            ));
        }
        if self.needs.resources.cpu == 0 || self.needs.resources.mem == 0 {
            return Err(Error::field(
                "needs.resources",
                "zero cpu or mem",
                "cpu and mem above 0",
            ));
        }
        if self.limits.slots == 0 || self.limits.slots > self.limits.connections {
            let found = self.limits.slots.to_string();
            return Err(Error::field(
                "limits.slots",
                found,
                "1 to limits.connections",
            ));
        }
        if self.limits.deadline == 0 {
            return Err(Error::field("limits.deadline", "0", "1 ms or more"));
        }
        if self.moves.away == 0 {
            return Err(Error::field("moves.away", "0", "1 or more"));
        }
        Ok(())
    }

    /// Returns whether a request to `path` may be repeated without harm: by its method, or by a
    /// prefix in the document.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS")
            || self
                .idempotent
                .iter()
                .any(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// Largest amount of resources that a team may use over all cells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Resources that may be allocated to the team's jobs at any time.
    pub resources: Resources,
}

/// State of a failure domain as set by operators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// In service: accepts work.
    #[default]
    In,
    /// Out of service: is being drained or is empty.
    Out,
}

//! Service documents, quotas and the states of failure domains.

use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{DomainName, Error, Resources, Result, ServiceName, TeamName, limits};

/// Class of a task.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Serves callers; protected from its neighbours.
    LatencyCritical,
    /// Starts within seconds and may pre-empt batch.
    Urgent,
    /// Runs in what is left over.
    #[default]
    Batch,
}

/// What a document asks for each instance or, for batch, at most for each job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Needs {
    /// Resources of one instance.
    pub resources: Resources,
    /// Standing instances; 0 for a service that only runs jobs.
    #[serde(default)]
    pub instances: u32,
}

/// How the instances and jobs of a service may be moved, paused and drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Moves {
    /// Whether tasks may be checkpointed and moved.
    pub movable: bool,
    /// Most instances of the service that may be away at once.
    pub away: u32,
    /// Longest pause of a job for a move, in seconds.
    pub pause: u32,
    /// Time for requests in flight when an instance leaves, in seconds.
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

/// Limits on the requests of a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Requests running at one backend server.
    pub slots: u32,
    /// Requests running and waiting at one backend server.
    pub connections: u32,
    /// Requests of the calling team in flight through one entry.
    pub inflight: u32,
    /// Deadline of a request that names none, in milliseconds.
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

/// One service, as the team that runs it describes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDoc {
    /// Name of the service.
    pub service: ServiceName,
    /// Team that owns the document.
    pub team: TeamName,
    /// Class of its tasks.
    pub class: Class,
    /// Failure domains in which it may run.
    pub domains: SmallVec<[DomainName; 4]>,
    /// What it needs.
    pub needs: Needs,
    /// How it may be moved, paused and drained.
    #[serde(default)]
    pub moves: Moves,
    /// Limits on its requests.
    #[serde(default)]
    pub limits: Limits,
    /// Path prefixes whose requests are idempotent whatever their method.
    #[serde(default)]
    pub idempotent: Vec<String>,
}

impl ServiceDoc {
    /// Reads and checks a document in TOML.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Document`] with line and column when the text is malformed or has an
    /// unknown field, and [`Error::Field`] when a value is not allowed.
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

    /// Checks values that the types do not rule out.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Field`] for the first field that is not allowed.
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

    /// Tells whether a request to `path` is idempotent.
    #[must_use]
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        matches!(method, "GET" | "HEAD" | "PUT" | "DELETE" | "OPTIONS")
            || self
                .idempotent
                .iter()
                .any(|prefix| path.starts_with(prefix.as_str()))
    }
}

/// What a team may use over all cells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Resources promised to the team at any moment.
    pub resources: Resources,
}

/// State of a failure domain as operators set it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainState {
    /// Takes work.
    #[default]
    In,
    /// Is being emptied or is empty.
    Out,
}

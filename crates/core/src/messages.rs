//! Messages between the system's own processes.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use smallvec::SmallVec;

use crate::{
    AgentName, CellState, DomainName, DomainState, EntryName, Error, Incarnation, Millis, Offset,
    Quota, RackName, Result, ServiceDoc, ServiceName, TeamName, Version,
};

/// Identifier of one call between an entry and an agent, repeated in the reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Idempotency key of a non-idempotent request, bound to one incarnation of one agent.
///
/// Formatted as `<incarnation>-<nonce>`, each as 16 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Incarnation of the agent that issued the ticket.
    pub incarnation: Incarnation,
    /// Number chosen by the agent, unique within its incarnation.
    pub nonce: u64,
}

impl fmt::Display for Ticket {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:016x}", self.incarnation.0, self.nonce)
    }
}

impl std::str::FromStr for Ticket {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let err = || {
            Error::field(
                "Idempotency-Key",
                "not a ticket",
                "a ticket issued for the service",
            )
        };
        let (incarnation, nonce) = text.split_once('-').ok_or_else(err)?;
        // `from_str_radix` accepts a leading sign, which would give one ticket two texts.
        let is_hex = |part: &str| part.len() == 16 && part.bytes().all(|b| b.is_ascii_hexdigit());
        if !is_hex(incarnation) || !is_hex(nonce) {
            return Err(err());
        }
        let hex = |part| u64::from_str_radix(part, 16).map_err(|_| err());
        Ok(Self {
            incarnation: Incarnation(hex(incarnation)?),
            nonce: hex(nonce)?,
        })
    }
}

/// A caller's request as forwarded by an entry to an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Identifier, unique at the entry that sends the call.
    pub id: CallId,
    /// Team on whose behalf the request is made.
    pub team: TeamName,
    /// Service that the request addresses.
    pub service: ServiceName,
    /// HTTP method of the request.
    pub method: String,
    /// Path and query relative to the service.
    pub path: String,
    /// Request headers to forward.
    pub headers: Vec<(String, Bytes)>,
    /// Request body, at most [`crate::limits::MAX_BODY_BYTES`].
    pub body: Bytes,
    /// Time left until the caller's deadline when the call was sent.
    pub budget: Millis,
    /// Ticket of the request; required unless the request is idempotent.
    pub ticket: Option<Ticket>,
    /// Whether the request may run more than once.
    #[serde(rename = "idempotent")]
    pub is_idempotent: bool,
    /// Reason for which the entry refuses the request; `None` to run it. Only the agent knows
    /// whether the ticket was used, so the agent refuses an unused ticket for this reason and
    /// treats a used one as a repeat.
    #[serde(rename = "refuse")]
    pub refusal: Option<NotRun>,
}

/// An agent's reply to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Identifier of the call.
    pub id: CallId,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// What became of the request.
    pub outcome: Outcome,
    /// Load of the backend server when the reply was sent.
    pub load: Load,
}

/// Outcome of a request: it ran, it did not run, or neither is certain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The request ran; holds the complete response of the backend server.
    #[serde(rename = "Whole")]
    Complete(CompleteResponse),
    /// The request did not run and will not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

/// A complete response of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompleteResponse {
    /// HTTP status code.
    pub status: u16,
    /// Response headers to forward.
    pub headers: Vec<(String, Bytes)>,
    /// Response body, at most [`crate::limits::MAX_BODY_BYTES`].
    pub body: Bytes,
    /// XXH3-64 hash of the body, computed by the agent.
    pub hash: u64,
}

impl CompleteResponse {
    /// Creates a response and computes the hash of its body.
    #[must_use]
    pub fn new(status: u16, headers: Vec<(String, Bytes)>, body: Bytes) -> Self {
        let hash = xxhash_rust::xxh3::xxh3_64(&body);
        Self {
            status,
            headers,
            body,
            hash,
        }
    }

    /// Returns whether the body matches the hash that the agent computed.
    #[must_use]
    pub fn is_intact(&self) -> bool {
        xxhash_rust::xxh3::xxh3_64(&self.body) == self.hash
    }
}

/// Reason for which a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    /// No backend server of the service accepts requests.
    #[error("no backend server accepts requests")]
    NoServer,
    /// All slots and all places in the queue are taken.
    #[error("slots and queue are full")]
    #[serde(rename = "full")]
    QueueFull,
    /// The team's limit on requests in flight is reached.
    #[error("the team's limit on requests in flight is reached")]
    TeamLimit,
    /// The deadline passed before the request started.
    #[error("the deadline passed before the request started")]
    Deadline,
    /// The backend server is leaving and accepts no new requests.
    #[error("the backend server is leaving")]
    Leaving,
    /// The agent has no such ticket, or it expired before it was used.
    #[error("the ticket has expired or was not issued")]
    TicketExpired,
    /// A request with this ticket was refused before.
    #[error("the ticket was refused before")]
    TicketRefused,
    /// The ticket was used with a different request or belongs to another team.
    #[error("the ticket was used with a different request")]
    TicketReused,
    /// A non-idempotent request was sent without a ticket.
    #[error("a non-idempotent request needs a ticket in Idempotency-Key")]
    TicketMissing,
    /// The entry can reach neither the log nor a majority of the entries.
    #[error("this entry is isolated")]
    Isolated,
    /// The service has no document in force.
    #[error("the service is not known")]
    NoService,
}

/// Reason for which the outcome of a request is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum Unknown {
    /// The deadline passed while the request ran.
    #[error("the deadline passed while the request ran")]
    Deadline,
    /// The connection broke while the request ran.
    #[error("the connection broke while the request ran")]
    #[serde(rename = "broken")]
    ConnectionBroken,
    /// The response was truncated or damaged.
    #[error("the response was incomplete")]
    Incomplete,
    /// The agent that issued the ticket cannot be reached or has been replaced.
    #[error("the agent that issued the ticket cannot be reached")]
    #[serde(rename = "agent-gone")]
    AgentUnreachable,
    /// The response is larger than [`crate::limits::MAX_BODY_BYTES`].
    #[error("the response is too large")]
    TooLarge,
    /// The request ran earlier, and its response is no longer stored.
    #[error("the stored response has expired")]
    Expired,
}

/// Load of a backend server, included in each reply and announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that run.
    pub running: u32,
    /// Number of requests in the queue.
    pub waiting: u32,
    /// Number of requests that may run at once.
    pub slots: u32,
}

/// Requests tickets from an agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketCall {
    /// Team of the caller; the tickets are valid for this team only.
    pub team: TeamName,
    /// Service for which the tickets are valid.
    pub service: ServiceName,
    /// Number of tickets, at most [`crate::limits::MAX_TICKET_BATCH`].
    pub count: u32,
}

/// Notifies an agent that its failure domain is taken out of service or returned to it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Failure domain of the agent.
    pub domain: DomainName,
    /// Version of the domain's state; an agent ignores older ones.
    pub version: Version,
    /// New state of the failure domain.
    pub state: DomainState,
}

/// State of a backend server as announced by its agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Accepts requests.
    Up,
    /// Finishes requests in flight and accepts no new ones.
    Leaving,
    /// The agent has no backend server.
    Down,
}

/// An agent's announcement of itself and its backend server. Each one is complete and replaces all
/// earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Name of the agent.
    pub agent: AgentName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Sequence number, increasing within the incarnation.
    pub seq: u64,
    /// Address on which the agent accepts calls, `ip:port`.
    pub address: String,
    /// Service that the backend server runs.
    pub service: ServiceName,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Rack of the host.
    pub rack: RackName,
    /// State of the backend server.
    pub state: MemberState,
    /// Load of the backend server when the announcement was sent.
    pub load: Load,
    /// Offset up to which the agent has applied the configuration.
    pub applied: Offset,
    /// Interval of the announcements; a member expires after three of them.
    #[serde(rename = "every")]
    pub interval: Millis,
}

/// An entry's reply to an announcement: configuration and its freshness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Configuration, present if newer than the agent's.
    pub view: Option<ConfView>,
    /// Offset for which freshness was confirmed.
    pub applied: Offset,
    /// Age of the entry's last freshness confirmation when it replied; `None` before the first.
    #[serde(rename = "age")]
    pub confirmation_age: Option<Millis>,
    /// Whether the entry may serve callers: it has a recent freshness confirmation or can reach a
    /// majority of the entries, and is not stopping.
    #[serde(rename = "serving")]
    pub can_serve: bool,
}

/// A document in force, with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocView {
    /// Offset of the record that set the document.
    pub version: Version,
    /// Contents of the document.
    pub doc: ServiceDoc,
}

/// State of the configuration stream up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfView {
    /// Offset after the last applied record.
    pub applied: Offset,
    /// Documents in force, by service.
    pub docs: BTreeMap<ServiceName, DocView>,
    /// Version and state of each failure domain whose state was ever set.
    pub domains: BTreeMap<DomainName, (Version, DomainState)>,
    /// Version and quota of each team that has one.
    pub quotas: BTreeMap<TeamName, (Version, Quota)>,
}

impl ConfView {
    /// Returns the highest version of any failure domain's state; 0 if none was ever set.
    #[must_use]
    pub fn domains_version(&self) -> Version {
        let versions = self.domains.values().map(|(version, _)| *version);
        versions.max().unwrap_or_default()
    }

    /// Returns the state of a failure domain, which is in service unless it was set otherwise.
    #[must_use]
    pub fn domain(&self, domain: &DomainName) -> DomainState {
        self.domains
            .get(domain)
            .map_or(DomainState::In, |(_, state)| *state)
    }

    /// Returns the document of a service, or `None` if it has none.
    #[must_use]
    pub fn doc(&self, service: &ServiceName) -> Option<&ServiceDoc> {
        self.docs.get(service).map(|view| &view.doc)
    }
}

/// Heartbeat between entries, used for the request and for the reply.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Name of the sender.
    pub entry: EntryName,
    /// Incarnation of the sender.
    pub incarnation: Incarnation,
    /// Offset up to which the sender has applied the configuration.
    pub applied: Offset,
    /// Age of the sender's last freshness confirmation; `None` before the first.
    #[serde(rename = "age")]
    pub confirmation_age: Option<Millis>,
    /// Time since the start of the sender's process.
    pub uptime: Millis,
    /// Cells that the sender owns.
    pub cells: SmallVec<[CellState; 4]>,
    /// Configuration, present when the receiver is known to be behind.
    pub view: Option<ConfView>,
}

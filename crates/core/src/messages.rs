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

/// Identifier of one call between an entry and an agent; the answer repeats it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId(pub u64);

/// Request key of a non-idempotent request, bound to one incarnation of one agent.
///
/// Written `<incarnation>-<nonce>` in hexadecimal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Ticket {
    /// Life of the agent that issued the ticket.
    pub incarnation: Incarnation,
    /// Random number chosen by the agent.
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
        // A sign, which the conversion of numbers allows, would give one ticket two texts.
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

/// A caller's request on its way to a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Identifier, unique at the entry that sends it.
    pub id: CallId,
    /// Calling team.
    pub team: TeamName,
    /// Service.
    pub service: ServiceName,
    /// HTTP method.
    pub method: String,
    /// Path and query below the service.
    pub path: String,
    /// Headers passed on.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// Time left until the caller's deadline, as of sending.
    pub budget: Millis,
    /// Request key; required unless the request is idempotent.
    pub ticket: Option<Ticket>,
    /// Whether the request may run more than once.
    #[serde(rename = "idempotent")]
    pub is_idempotent: bool,
    /// Why the entry refuses the request. Only the agent can tell whether its ticket has run, so
    /// the agent refuses an unused ticket for this reason and answers a used one as any repeat.
    #[serde(rename = "refuse")]
    pub refusal: Option<NotRun>,
}

/// An agent's answer to a call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Identifier of the call.
    pub id: CallId,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Outcome.
    pub outcome: Outcome,
    /// Load of the backend server.
    pub load: Load,
}

/// The three outcomes of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The whole answer of the backend server.
    #[serde(rename = "Whole")]
    Complete(CompleteResponse),
    /// The request did not run and will not run.
    NotRun(NotRun),
    /// The request may have run.
    Unknown(Unknown),
}

/// A complete answer of a backend server.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CompleteResponse {
    /// HTTP status.
    pub status: u16,
    /// Headers passed back.
    pub headers: Vec<(String, Bytes)>,
    /// Body.
    pub body: Bytes,
    /// XXH3-64 of the body, computed by the agent.
    pub hash: u64,
}

impl CompleteResponse {
    /// Creates an answer and computes the hash of its body.
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

    /// Tells whether the body is the one that the agent hashed.
    #[must_use]
    pub fn is_intact(&self) -> bool {
        xxhash_rust::xxh3::xxh3_64(&self.body) == self.hash
    }
}

/// Why a request was not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
#[serde(rename_all = "kebab-case")]
pub enum NotRun {
    /// No backend server of the service takes work.
    #[error("no backend server takes work")]
    NoServer,
    /// All slots and connections are taken.
    #[error("slots and queue are full")]
    #[serde(rename = "full")]
    QueueFull,
    /// The team's limit on requests in flight is reached.
    #[error("the team's limit on requests in flight is reached")]
    TeamLimit,
    /// The deadline passed before the request started.
    #[error("the deadline passed before the request started")]
    Deadline,
    /// The backend server is leaving.
    #[error("the backend server is leaving")]
    Leaving,
    /// The ticket is unknown here, was never issued or has expired unused.
    #[error("the ticket has expired or was not issued")]
    TicketExpired,
    /// The ticket was refused before.
    #[error("the ticket was refused before")]
    TicketRefused,
    /// The ticket was used with different contents.
    #[error("the ticket was used with a different request")]
    TicketReused,
    /// A non-idempotent request came without a ticket.
    #[error("a non-idempotent request needs a ticket in Idempotency-Key")]
    TicketMissing,
    /// The process is cut off from the log and from most entries.
    #[error("this entry is isolated")]
    Isolated,
    /// The service has no document.
    #[error("the service is not known")]
    NoService,
}

/// Why the outcome of a request is not known.
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
    /// The answer was cut short or damaged.
    #[error("the answer was incomplete")]
    Incomplete,
    /// The agent that issued the ticket cannot be reached or is gone.
    #[error("the agent that issued the ticket cannot be reached")]
    #[serde(rename = "agent-gone")]
    AgentUnreachable,
    /// The answer is larger than the system carries.
    #[error("the answer is too large")]
    TooLarge,
    /// The kept answer has expired.
    #[error("the kept answer has expired")]
    Expired,
}

/// Load of a backend server, carried on each answer and announcement.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
}

/// Asks an agent for tickets.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TicketCall {
    /// Calling team.
    pub team: TeamName,
    /// Service.
    pub service: ServiceName,
    /// Number of tickets, at most [`crate::limits::TICKET_BATCH`].
    pub count: u32,
}

/// Tells an agent that its failure domain leaves or returns.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Drain {
    /// Domain.
    pub domain: DomainName,
    /// Version of the domain's state.
    pub version: Version,
    /// State.
    pub state: DomainState,
}

/// State of a backend server as its agent announces it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Takes work.
    Up,
    /// Finishes requests in flight and takes no new ones.
    Leaving,
    /// Has no backend server behind it.
    Down,
}

/// An agent's announcement of itself and its backend server. Each is whole, so that a later one
/// replaces all earlier ones.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Agent.
    pub agent: AgentName,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Rising number within the incarnation.
    pub seq: u64,
    /// Address on which the agent takes calls, `ip:port`.
    pub address: String,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Rack.
    pub rack: RackName,
    /// State.
    pub state: MemberState,
    /// Load.
    pub load: Load,
    /// Offset up to which the agent has applied the configuration.
    pub applied: Offset,
    /// Interval of the announcements; a member expires after three of them.
    #[serde(rename = "every")]
    pub interval: Millis,
}

/// An entry's answer to an announcement: configuration and its freshness.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnnounceReply {
    /// Configuration, if newer than the agent's.
    pub view: Option<ConfView>,
    /// Offset that the proof covers.
    pub applied: Offset,
    /// Age of the entry's proof of freshness when it answered; `None` without any.
    #[serde(rename = "age")]
    pub confirmation_age: Option<Millis>,
    /// Whether the entry may serve: it has proof, or hears a majority of entries.
    #[serde(rename = "serving")]
    pub can_serve: bool,
}

/// A document in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocView {
    /// Version.
    pub version: Version,
    /// Contents.
    pub doc: ServiceDoc,
}

/// Everything that the configuration stream says up to an offset.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfView {
    /// First offset that is not applied.
    pub applied: Offset,
    /// Documents in force.
    pub docs: BTreeMap<ServiceName, DocView>,
    /// Domains that were ever changed, with version and state.
    pub domains: BTreeMap<DomainName, (Version, DomainState)>,
    /// Quotas, with version.
    pub quotas: BTreeMap<TeamName, (Version, Quota)>,
}

impl ConfView {
    /// Returns the highest version of any failure domain; 0 if none was ever changed.
    #[must_use]
    pub fn domains_version(&self) -> Version {
        let versions = self.domains.values().map(|(version, _)| *version);
        versions.max().unwrap_or_default()
    }

    /// Returns the state of a domain; a domain that was never changed is in service.
    #[must_use]
    pub fn domain(&self, domain: &DomainName) -> DomainState {
        self.domains
            .get(domain)
            .map_or(DomainState::In, |(_, state)| *state)
    }

    /// Returns the document of a service.
    #[must_use]
    pub fn doc(&self, service: &ServiceName) -> Option<&ServiceDoc> {
        self.docs.get(service).map(|view| &view.doc)
    }
}

/// Heartbeat between entries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sender.
    pub entry: EntryName,
    /// Life of the sender.
    pub incarnation: Incarnation,
    /// Offset up to which the sender has applied the configuration.
    pub applied: Offset,
    /// Age of the sender's proof of freshness; `None` without any.
    #[serde(rename = "age")]
    pub confirmation_age: Option<Millis>,
    /// Time for which the sender's process has been up.
    pub uptime: Millis,
    /// Cells that the sender owns.
    pub cells: SmallVec<[CellState; 4]>,
    /// Configuration, when the receiver is known to be behind.
    pub view: Option<ConfView>,
}

//! State of the fleet as known to one entry.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::{
    AgentName, CellState, Connectivity, DomainName, DomainState, EntryName, Incarnation, Load,
    MemberState, Millis, Offset, RackName, Resources, ServiceName, Version,
};

/// Phase in the life cycle of a failure domain.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DomainPhase {
    /// In service: accepts work.
    #[default]
    InService,
    /// Out of service: accepts no new work, and running work is being moved away.
    Draining,
    /// Out of service, and nothing runs or may be running there.
    Empty,
    /// Back in service, and still being refilled.
    Returning,
}

impl fmt::Display for DomainPhase {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::InService => "in-service",
            Self::Draining => "draining",
            Self::Empty => "empty",
            Self::Returning => "returning",
        })
    }
}

/// Response to `GET /v1/domains`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainList {
    /// Failure domains, by name.
    pub domains: Vec<DomainStatus>,
}

/// State and load of one failure domain, as known to the entry that responds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Name of the failure domain.
    pub domain: DomainName,
    /// Version of the state; 0 if it was never set.
    pub version: Version,
    /// State as operators set it.
    pub state: DomainState,
    /// Phase in the life cycle.
    pub phase: DomainPhase,
    /// Number of attempts with an intent that have not ended, in the domain's cells.
    pub running: u32,
    /// Number of jobs that wait for a worker, in the domain's cells.
    pub pending: u32,
    /// Number of attempts on workers that do not respond; their state is unknown.
    #[serde(rename = "doubtful")]
    pub unconfirmed: u32,
    /// Number of backend servers that accept requests.
    pub members_up: u32,
    /// Number of backend servers that finish requests in flight and accept no new ones.
    pub members_leaving: u32,
    /// Number of workers that respond.
    pub workers: u32,
    /// Sum of the capacities of the workers that respond.
    pub capacity: Resources,
    /// Sum of the resources allocated to tasks on the workers that respond.
    #[serde(rename = "promised")]
    pub allocated: Resources,
}

/// Response to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Entry that responds.
    pub entry: EntryName,
    /// Incarnation of the entry's process.
    pub incarnation: Incarnation,
    /// Contact of the entry with the log and with the other entries.
    #[serde(rename = "standing")]
    pub connectivity: Connectivity,
    /// Age of its last freshness confirmation; `None` before the first.
    #[serde(rename = "age")]
    pub confirmation_age: Option<Millis>,
    /// Offset up to which it has applied the configuration.
    pub applied: Offset,
    /// Time since the start of its process.
    pub uptime: Millis,
    /// Cells that it knows, with their owners.
    pub cells: Vec<CellState>,
    /// Backend servers that it knows from announcements.
    pub members: Vec<MemberStatus>,
    /// Other entries that are configured in its settings.
    pub peers: Vec<PeerStatus>,
}

/// A backend server as known to an entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Agent that runs beside the backend server.
    pub agent: AgentName,
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// Service that the backend server runs.
    pub service: ServiceName,
    /// Failure domain of its host.
    pub domain: DomainName,
    /// Rack of its host.
    pub rack: RackName,
    /// State in the last announcement.
    pub state: MemberState,
    /// Load in the last announcement or reply.
    pub load: Load,
    /// Whether the entry has ejected it from load balancing as an outlier.
    #[serde(default, rename = "ejected")]
    pub is_ejected: bool,
}

/// Another entry as known to the entry that responds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Name of the other entry.
    pub entry: EntryName,
    /// Whether a heartbeat from it was received within [`crate::limits::PEER_TIMEOUT`].
    #[serde(rename = "alive")]
    pub is_alive: bool,
    /// Time since the last heartbeat to which it replied was sent; `None` if it never replied.
    #[serde(rename = "heard")]
    pub last_reply_age: Option<Millis>,
    /// Age of its last freshness confirmation, as last reported; `None` without any report.
    #[serde(rename = "age")]
    pub confirmation_age: Option<Millis>,
}

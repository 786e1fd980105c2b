//! State of the fleet as one entry sees it.

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
    /// Takes work.
    #[default]
    InService,
    /// Takes no new work and is being emptied.
    Draining,
    /// Is out of service, and nothing runs or may be running there.
    Empty,
    /// Is being refilled.
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

/// Answer to `GET /v1/domains`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainList {
    /// Failure domains, by name.
    pub domains: Vec<DomainStatus>,
}

/// One failure domain.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DomainStatus {
    /// Domain.
    pub domain: DomainName,
    /// Version of the state; 0 for a domain never changed.
    pub version: Version,
    /// State as operators set it.
    pub state: DomainState,
    /// Phase of the life cycle.
    pub phase: DomainPhase,
    /// Tasks that run.
    pub running: u32,
    /// Jobs that wait in the domain's cells.
    pub pending: u32,
    /// Attempts on workers that do not answer.
    #[serde(rename = "doubtful")]
    pub unconfirmed: u32,
    /// Backend servers that take work.
    pub members_up: u32,
    /// Backend servers that finish requests in flight and take no new ones.
    pub members_leaving: u32,
    /// Workers that answer.
    pub workers: u32,
    /// Sum of the capacities of the workers that answer.
    pub capacity: Resources,
    /// Sum of what is promised.
    #[serde(rename = "promised")]
    pub allocated: Resources,
}

/// Answer to `GET /v1/status`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusReply {
    /// Entry that answers.
    pub entry: EntryName,
    /// Life of its process.
    pub incarnation: Incarnation,
    /// What it can prove about its place in the fleet.
    #[serde(rename = "standing")]
    pub connectivity: Connectivity,
    /// Age of its proof of freshness; `None` without any.
    #[serde(rename = "age")]
    pub confirmation_age: Option<Millis>,
    /// Offset up to which it has applied the configuration.
    pub applied: Offset,
    /// Time for which its process has been up.
    pub uptime: Millis,
    /// Cells known to it, with their owners.
    pub cells: Vec<CellState>,
    /// Backend servers known to it.
    pub members: Vec<MemberStatus>,
    /// Other entries in its settings.
    pub peers: Vec<PeerStatus>,
}

/// A backend server as an entry knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberStatus {
    /// Agent beside the backend server.
    pub agent: AgentName,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Rack.
    pub rack: RackName,
    /// State.
    pub state: MemberState,
    /// Load last heard of.
    pub load: Load,
    /// Whether this entry has ejected it as an outlier.
    #[serde(default, rename = "ejected")]
    pub is_ejected: bool,
}

/// Another entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Entry.
    pub entry: EntryName,
    /// Whether it answered a heartbeat within the limit.
    #[serde(rename = "alive")]
    pub is_alive: bool,
    /// Time since it last answered; `None` if it never did.
    #[serde(rename = "heard")]
    pub last_reply_age: Option<Millis>,
    /// Age of its proof of freshness, as it last stated; `None` without any.
    #[serde(rename = "age")]
    pub confirmation_age: Option<Millis>,
}

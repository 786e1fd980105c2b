//! HTTP bodies of the platform's log service and of the backend servers.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MemberState, Offset, ServiceName};

/// Body of `POST /v1/streams/{stream}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records in JSON, appended together and in order.
    pub records: Vec<String>,
}

/// Answer to an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the first record.
    pub offset: Offset,
}

/// Answer to `GET /v1/streams/{stream}?from=&max=`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// First offset still kept.
    pub first: Offset,
    /// Offset after the last record of the stream.
    pub head: Offset,
    /// Records from the offset asked for, or from `first` if that is later.
    pub records: Vec<StoredRecord>,
}

/// A record with its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Offset.
    pub offset: Offset,
    /// Contents, in JSON.
    pub record: String,
}

/// Body of `POST /v1/announce` and `POST /v1/leave`, from a backend server to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAnnounce {
    /// Service.
    pub service: ServiceName,
    /// Address on which the backend server takes requests, `ip:port`.
    pub address: String,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it keeps open.
    pub connections: u32,
    /// Life of its process.
    pub incarnation: Incarnation,
}

/// The agent's answer to an announcement or a leave of its backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAck {
    /// State under which the agent announces the backend server.
    pub state: MemberState,
    /// Requests that run at the backend server or wait for it. A leaving backend server may exit
    /// once there are none.
    pub inflight: u32,
}

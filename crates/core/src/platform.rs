//! HTTP bodies of the log service, which the hosting platform provides, and of the interface between
//! an agent and the backend server on its host.

use serde::{Deserialize, Serialize};

use crate::{Incarnation, MemberState, Offset, ServiceName};

/// Body of `POST /v1/streams/{stream}`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRequest {
    /// Records in JSON, appended atomically and in order.
    pub records: Vec<String>,
}

/// Response to `POST /v1/streams/{stream}`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendReply {
    /// Offset of the first appended record.
    pub offset: Offset,
}

/// Response to `GET /v1/streams/{stream}?from=&max=`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReadReply {
    /// First offset that the log still holds.
    pub first: Offset,
    /// Offset after the last record of the stream.
    pub head: Offset,
    /// Records from the requested offset, or from `first` if that is later.
    pub records: Vec<StoredRecord>,
}

/// A record of a stream with its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StoredRecord {
    /// Position of the record in the stream.
    pub offset: Offset,
    /// Contents of the record, in JSON.
    pub record: String,
}

/// Body of `POST /v1/announce` and `POST /v1/leave`, from a backend server to its agent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAnnouncement {
    /// Service that the backend server runs.
    pub service: ServiceName,
    /// Address on which the backend server accepts requests, `ip:port`.
    pub address: String,
    /// Number of requests that it runs at once.
    pub slots: u32,
    /// Number of requests, running and queued, that it accepts at once.
    pub connections: u32,
    /// Incarnation of the backend server's process.
    pub incarnation: Incarnation,
}

/// Response of the agent to `POST /v1/announce` and `POST /v1/leave`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BackendAck {
    /// State in which the agent announces the backend server to the entries.
    pub state: MemberState,
    /// Number of requests that run at the backend server or are queued for it. A leaving backend
    /// server may exit when it is 0.
    pub inflight: u32,
}

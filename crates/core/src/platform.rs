//! HTTP bodies of the platform's log service.

use serde::{Deserialize, Serialize};

use crate::Offset;

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

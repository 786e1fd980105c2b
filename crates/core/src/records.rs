//! Records of the log streams.

use std::fmt;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use smallvec::SmallVec;

use crate::{
    Attempt, CellId, DomainName, DomainState, EntryName, EvictionCause, Incarnation, JobId,
    JobSpec, Quota, ServiceDoc, ServiceName, TeamName, Term, Version, WorkerName,
};

/// Random identifier of a record, chosen before the first try to append it.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RecordId(pub u128);

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl Serialize for RecordId {
    fn serialize<S: Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
        if s.is_human_readable() {
            s.collect_str(self)
        } else {
            s.serialize_u128(self.0)
        }
    }
}

/// Reads a record identifier from hexadecimal text or from a 128-bit number.
struct IdVisitor;

impl Visitor<'_> for IdVisitor {
    type Value = RecordId;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("32 hexadecimal digits")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<RecordId, E> {
        let err = || E::invalid_value(de::Unexpected::Str(text), &self);
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(err());
        }
        u128::from_str_radix(text, 16)
            .map(RecordId)
            .map_err(|_| err())
    }

    fn visit_u128<E: de::Error>(self, id: u128) -> Result<RecordId, E> {
        Ok(RecordId(id))
    }
}

impl<'de> Deserialize<'de> for RecordId {
    fn deserialize<D: Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
        if d.is_human_readable() {
            d.deserialize_str(IdVisitor)
        } else {
            d.deserialize_u128(IdVisitor)
        }
    }
}

/// A record as it stands in a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Identifier; a second copy of the same identifier is ignored on replay.
    pub id: RecordId,
    /// Process that wrote the record.
    pub writer: EntryName,
    /// Term of the writer in a cell stream; 0 in the configuration stream.
    pub term: Term,
    /// Contents.
    pub body: T,
}

/// Record of the configuration stream. Each change names the version that it replaces.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfRecord {
    /// Sets a service document.
    Put {
        /// Version that the operator edited; 0 for a new document.
        base: Version,
        /// New contents.
        doc: ServiceDoc,
    },
    /// Removes a service document.
    Remove {
        /// Service.
        service: ServiceName,
        /// Version that the operator saw.
        base: Version,
    },
    /// Takes a failure domain out of service or brings it back.
    Domain {
        /// Domain.
        domain: DomainName,
        /// Version that the operator saw; 0 for a domain never changed.
        base: Version,
        /// New state.
        state: DomainState,
        /// Highest version of any domain when the change was checked. The check concerns all
        /// domains together, so a change of another one since then makes it void.
        #[serde(rename = "seen")]
        domains_version: Version,
    },
    /// Sets a team's quota.
    Quota {
        /// Team.
        team: TeamName,
        /// Version that the operator saw; 0 for a team without quota.
        base: Version,
        /// New quota.
        quota: Quota,
    },
    /// Whole state of the stream below an offset, in JSON.
    Snapshot {
        /// First offset that the snapshot does not cover.
        upto: crate::Offset,
        /// XXH3-64 of the contents.
        hash: u64,
        /// Contents.
        state: String,
    },
}

/// A document with its version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocVersion {
    /// Version: offset of the record that set it.
    pub version: Version,
    /// Contents; `None` after removal.
    pub doc: Option<ServiceDoc>,
    /// Entry through which the operator made the change.
    pub writer: EntryName,
}

/// An attempt that is about to be started.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Job.
    pub job: JobId,
    /// Attempt.
    pub attempt: Attempt,
    /// Worker.
    pub worker: WorkerName,
}

/// Record of a cell stream. Except for claims, a record counts only if its envelope's term is the
/// term in force at its place in the stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellRecord {
    /// Claims the cell. Valid if `prior` is the term in force; the new term is this record's offset.
    Claim {
        /// New owner.
        owner: EntryName,
        /// Life of the owner's process.
        incarnation: Incarnation,
        /// Term that the claimant saw; `None` for a cell never claimed.
        prior: Option<Term>,
    },
    /// The owner has stopped renewing leases and gives the cell up.
    Resigned,
    /// A job is accepted, from a caller or from another cell.
    Accepted {
        /// The job.
        spec: JobSpec,
        /// Last attempt used elsewhere, 0 for none.
        attempt: Attempt,
        /// Work done at the last checkpoint, in milliseconds.
        checkpoint: u64,
    },
    /// Attempts that may start once this record is read back.
    Intents(SmallVec<[Intent; 4]>),
    /// An attempt finished.
    Finished {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
        /// Result.
        result: String,
    },
    /// An attempt was checkpointed and has stopped.
    Released {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
        /// Work done up to the checkpoint, in milliseconds.
        checkpoint: u64,
        /// Why it was stopped.
        #[serde(default)]
        cause: EvictionCause,
    },
    /// An attempt failed.
    Failed {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
        /// Why.
        cause: String,
    },
    /// An attempt is gone with its worker: its lease has certainly lapsed.
    Lost {
        /// Job.
        job: JobId,
        /// Attempt.
        attempt: Attempt,
        /// Work done up to the last checkpoint that was reported, in milliseconds.
        checkpoint: u64,
    },
    /// A job has failed for good.
    Abandoned {
        /// Job.
        job: JobId,
        /// Why.
        cause: String,
    },
    /// A job was cancelled.
    Cancelled {
        /// Job.
        job: JobId,
    },
    /// A job that is not running was handed to another cell.
    Moved {
        /// Job.
        job: JobId,
        /// Cell that accepts it next.
        to: CellId,
    },
    /// The other cell has accepted a moved job.
    Delivered {
        /// Job.
        job: JobId,
    },
    /// The result was handed out against a receipt.
    #[serde(rename = "Taken")]
    Fetched {
        /// Job.
        job: JobId,
        /// Receipt.
        receipt: String,
    },
    /// Whole state of the stream below an offset, in JSON.
    Snapshot {
        /// First offset that the snapshot does not cover.
        upto: crate::Offset,
        /// XXH3-64 of the contents.
        hash: u64,
        /// Contents.
        state: String,
    },
}

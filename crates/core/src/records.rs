//! Records of the configuration and cell streams.

use std::fmt;

use serde::de::{self, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use smallvec::SmallVec;

use crate::{
    Attempt, CellId, DomainName, DomainState, EntryName, EvictionCause, Incarnation, JobId,
    JobSpec, Quota, ServiceDoc, ServiceName, TeamName, Term, Version, WorkerName,
};

/// Random identifier of a record, chosen before the first attempt to append it.
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

/// Deserializes a record identifier from hexadecimal text or from a 128-bit number.
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

/// A record with its metadata, as stored in a stream.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// Identifier of the record; a repeated one is ignored on replay.
    pub id: RecordId,
    /// Entry that wrote the record.
    pub writer: EntryName,
    /// Term of the writer in a cell stream; 0 in the configuration stream.
    pub term: Term,
    /// Contents of the record.
    pub body: T,
}

/// Record of the configuration stream. A change states the version that it replaces and is ignored
/// if another one is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ConfRecord {
    /// Creates or replaces a service document.
    Put {
        /// Version that the operator edited; 0 for a new document.
        base: Version,
        /// New contents of the document.
        doc: ServiceDoc,
    },
    /// Removes a service document.
    Remove {
        /// Service whose document is removed.
        service: ServiceName,
        /// Version on which the operator based the removal.
        base: Version,
    },
    /// Takes a failure domain out of service or returns it to service.
    Domain {
        /// Name of the failure domain.
        domain: DomainName,
        /// Version on which the operator based the change; 0 if the state was never set.
        base: Version,
        /// State to set.
        state: DomainState,
        /// Highest version of any failure domain when the capacity was checked. The check covers
        /// all failure domains together, so a later change of another one invalidates this record.
        #[serde(rename = "seen")]
        domains_version: Version,
    },
    /// Sets a team's quota.
    Quota {
        /// Team whose quota is set.
        team: TeamName,
        /// Version on which the operator based the change; 0 for a team without a quota.
        base: Version,
        /// Quota to set.
        quota: Quota,
    },
    /// Complete state of the stream before an offset.
    Snapshot {
        /// First offset that the snapshot does not cover.
        upto: crate::Offset,
        /// XXH3-64 hash of `state`.
        hash: u64,
        /// State in JSON.
        state: String,
    },
}

/// One version of a service document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocVersion {
    /// Offset of the record that set this version.
    pub version: Version,
    /// Contents of the document; `None` for a removal.
    pub doc: Option<ServiceDoc>,
    /// Entry through which the operator made the change.
    pub writer: EntryName,
}

/// An attempt that the owner is about to start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Intent {
    /// Job to which the attempt belongs.
    pub job: JobId,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Worker that is to run the attempt.
    pub worker: WorkerName,
}

/// How a worker process ended under an attempt without a planned end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Crash {
    /// Other attempts had been started on the worker as recently, so that any of them may be the
    /// cause.
    Shared,
    /// The attempt was on probation: no other was started there shortly before it or after it.
    Apart,
    /// The attempt had been running for long. It is not blamed, and earlier crashes under its job
    /// count no more: a service task would otherwise add up restarts of hosts over its whole life.
    LongRun,
}

impl fmt::Display for Crash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Shared => "shared",
            Self::Apart => "apart",
            Self::LongRun => "long-run",
        })
    }
}

/// Crashes of workers under the attempts of a job, in all cells.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crashes {
    /// Number of crashes.
    pub count: u16,
    /// Whether one of them was [`Crash::Apart`].
    #[serde(rename = "apart")]
    pub has_apart: bool,
}

impl Crashes {
    /// Adds a crash, or forgets the earlier ones after a long run.
    pub fn add(&mut self, crash: Crash) {
        if crash == Crash::LongRun {
            *self = Self::default();
            return;
        }
        self.count = self.count.saturating_add(1);
        self.has_apart |= crash == Crash::Apart;
    }

    /// Returns whether no worker has crashed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }
}

/// Record of a cell stream. Except for claims, a record is valid only if its envelope's term is in
/// force at its offset.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum CellRecord {
    /// Claims ownership of the cell. Valid if `prior` is the term in force; the new term is the
    /// offset of this record.
    Claim {
        /// Entry that becomes the owner.
        owner: EntryName,
        /// Incarnation of the owner's process.
        incarnation: Incarnation,
        /// Term in force as known to the claimant; `None` for a cell that was never claimed.
        prior: Option<Term>,
    },
    /// The owner has stopped renewing leases and gives up the ownership.
    Resigned,
    /// A job was accepted from a caller or from another cell.
    Accepted {
        /// Specification of the job.
        spec: JobSpec,
        /// Number of the last attempt in another cell, 0 for none.
        attempt: Attempt,
        /// Work done at the last checkpoint, in milliseconds.
        checkpoint: u64,
        /// Crashes of workers under its attempts in other cells.
        #[serde(default, skip_serializing_if = "Crashes::is_empty")]
        crashes: Crashes,
    },
    /// Attempts that may be started once the owner has read this record back.
    Intents(SmallVec<[Intent; 4]>),
    /// An attempt finished.
    Finished {
        /// Job to which the attempt belongs.
        job: JobId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Result as returned by the task.
        result: String,
    },
    /// An attempt was checkpointed and stopped.
    Released {
        /// Job to which the attempt belongs.
        job: JobId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Work done at the checkpoint, in milliseconds.
        checkpoint: u64,
        /// Cause of the eviction.
        #[serde(default)]
        cause: EvictionCause,
    },
    /// An attempt failed.
    Failed {
        /// Job to which the attempt belongs.
        job: JobId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Cause of the failure as reported by the worker.
        cause: String,
    },
    /// An attempt was lost with its worker: its lease has certainly lapsed.
    Lost {
        /// Job to which the attempt belongs.
        job: JobId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Work done at the last checkpoint that the worker reported, in milliseconds.
        checkpoint: u64,
        /// Crash of the worker that counts against the job; `None` for any other loss.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        crash: Option<Crash>,
    },
    /// A job failed permanently and is not retried.
    Abandoned {
        /// Identifier of the job.
        job: JobId,
        /// Cause as shown to the team.
        cause: String,
    },
    /// A job was cancelled by its team.
    Cancelled {
        /// Identifier of the job.
        job: JobId,
    },
    /// A job that is not running is transferred to another cell.
    Moved {
        /// Identifier of the job.
        job: JobId,
        /// Cell that is to accept the job.
        to: CellId,
    },
    /// The other cell has accepted a transferred job.
    Delivered {
        /// Identifier of the job.
        job: JobId,
    },
    /// The result of a job was fetched.
    #[serde(rename = "Taken")]
    Fetched {
        /// Job whose result was fetched.
        job: JobId,
        /// Receipt chosen by the caller; only calls with this receipt get the result.
        receipt: String,
    },
    /// Complete state of the stream before an offset.
    Snapshot {
        /// First offset that the snapshot does not cover.
        upto: crate::Offset,
        /// XXH3-64 hash of `state`.
        hash: u64,
        /// State in JSON.
        state: String,
    },
}

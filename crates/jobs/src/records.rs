//! What outlives the owner: records under keys, of which the newest counts.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{Error, JobId, JobSpec, QueueRule, Result};

/// Key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// A job as accepted.
    Job(JobId),
    /// What has become of a job.
    Progress(JobId),
    /// A worker that may run tasks.
    Worker(Arc<str>),
    /// A wave of upkeep.
    Wave(u64),
    /// What is known of fillers and serving images.
    Interference,
}

impl Key {
    /// Returns the key as text.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Job(id) => format!("j/{id}"),
            Self::Progress(id) => format!("p/{id}"),
            Self::Worker(id) => format!("w/{id}"),
            Self::Wave(number) => format!("u/{number}"),
            Self::Interference => "f/weights".to_owned(),
        }
    }

    /// Reads a key.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Record`] for a key of another kind.
    pub fn parse(text: &str) -> Result<Self> {
        let err = |reason: &str| Error::Record {
            key: text.chars().take(64).collect(),
            reason: reason.to_owned(),
        };
        let (kind, rest) = text.split_once('/').ok_or_else(|| err("has no kind"))?;
        match kind {
            "j" => Ok(Self::Job(rest.parse()?)),
            "p" => Ok(Self::Progress(rest.parse()?)),
            "w" => Ok(Self::Worker(rest.into())),
            "f" => Ok(Self::Interference),
            "u" => {
                let number = rest.parse().map_err(|_| err("has no number"))?;
                Ok(Self::Wave(number))
            }
            _ => Err(err("is of another kind")),
        }
    }
}

/// A job as accepted. Never written again.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Rules of its queue when it was accepted, for when the queue is removed.
    pub rule: QueueRule,
    /// What the caller asked for.
    pub spec: JobSpec,
    /// Order of acceptance.
    #[serde(rename = "order")]
    pub sequence: u64,
    /// Time of acceptance, in milliseconds since 1970 by the clock of the owner's host. Only the
    /// order in which jobs get room depends on it.
    #[serde(rename = "accepted")]
    pub accepted_at: u64,
}

/// What has become of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Whether the caller cancelled it.
    #[serde(rename = "cancelled")]
    pub is_cancelled: bool,
    /// Whether a task has failed too often.
    #[serde(rename = "failed")]
    pub is_failed: bool,
    /// Whether any task has started.
    #[serde(rename = "begun")]
    pub has_started: bool,
    /// Occurrences that have opened. Of these, the ones that are not listed are over.
    #[serde(rename = "opened")]
    pub opened_count: u32,
    /// Occurrences that have opened and are not over.
    #[serde(rename = "turns")]
    pub occurrences: Vec<OccurrenceProgress>,
}

/// What has become of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Number, from 0.
    pub number: u32,
    /// Tasks that are done, by step, as indices.
    #[serde(rename = "done")]
    pub done_tasks: Vec<Vec<u16>>,
    /// Failed runs: step, index, numbers. The numbers tell an end that is listed again from another
    /// one.
    #[serde(rename = "fails")]
    pub failed_runs: Vec<(u16, u16, Vec<u64>)>,
    /// Newest checkpoints: step, index, checkpoint.
    #[serde(rename = "saved")]
    pub checkpoints: Vec<(u16, u16, Arc<str>)>,
}

/// A worker to which an owner may have sent orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Life of the worker.
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Address of its own server.
    pub address: Arc<str>,
}

/// How much a filler image takes from the headroom of a serving one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InterferenceRecord {
    /// Filler image.
    #[serde(rename = "filler")]
    pub best_effort_image: Arc<str>,
    /// Serving image.
    #[serde(rename = "serving")]
    pub critical_image: Arc<str>,
    /// Weight.
    pub value: f32,
    /// Samples that it comes from.
    pub samples: u32,
}

/// One change of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Key.
    pub key: Key,
    /// New value as JSON, or none to drop the key.
    pub value: Option<Vec<u8>>,
}

impl Record {
    pub(crate) fn put<T: Serialize>(key: Key, value: &T) -> Self {
        // These types have no maps with keys that JSON cannot express, so this does not fail.
        let value = serde_json::to_vec(value).unwrap_or_default();
        Self {
            key,
            value: Some(value),
        }
    }

    pub(crate) const fn drop_key(key: Key) -> Self {
        Self { key, value: None }
    }
}

/// Reads the value of a record.
///
/// # Errors
///
/// Returns [`Error::Record`] if the value is not of the type that its key says.
pub(crate) fn read<'a, T: Deserialize<'a>>(key: &Key, value: &'a [u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|e| Error::Record {
        key: key.text(),
        reason: e.to_string(),
    })
}

//! Stored records that survive a change of owners. The newest value under each key is valid.

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::{CrashedRun, Error, JobId, JobSpec, QueueRule, Result, RunEnd, RunSet, TaskSet};

/// Key of a record.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Key {
    /// Accepted job; the value is a [`JobRecord`].
    Job(JobId),
    /// Progress of a job; the value is a [`Progress`].
    Progress(JobId),
    /// Ends of runs of a job that is held because a record of it cannot be read; the value is a list
    /// of [`HeldEnd`].
    HeldEnds(JobId),
    /// Worker that may run tasks; the value is a [`WorkerRecord`].
    Worker(Arc<str>),
    /// Maintenance wave; the value is a [`WaveRecord`](crate::WaveRecord).
    Wave(u64),
    /// Interference estimates of all pairs of images; the value is a list of
    /// [`InterferenceRecord`].
    Interference,
}

impl Key {
    /// Returns the text form of the key, as [`Key::parse`] reads it.
    #[must_use]
    pub fn text(&self) -> String {
        match self {
            Self::Job(id) => format!("j/{id}"),
            Self::Progress(id) => format!("p/{id}"),
            Self::HeldEnds(id) => format!("e/{id}"),
            Self::Worker(id) => format!("w/{id}"),
            Self::Wave(number) => format!("u/{number}"),
            Self::Interference => "f/weights".to_owned(),
        }
    }

    /// Parses the text form of a key.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Record`] if the kind of the key is unknown, and [`Error::Id`] if its job
    /// identifier is malformed.
    pub fn parse(text: &str) -> Result<Self> {
        let err = |reason: &str| Error::Record {
            key: text.chars().take(64).collect(),
            reason: reason.to_owned(),
        };
        let (kind, rest) = text.split_once('/').ok_or_else(|| err("key has no kind"))?;
        match kind {
            "j" => Ok(Self::Job(rest.parse()?)),
            "p" => Ok(Self::Progress(rest.parse()?)),
            "e" => Ok(Self::HeldEnds(rest.parse()?)),
            "w" => Ok(Self::Worker(rest.into())),
            "f" => Ok(Self::Interference),
            "u" => {
                let number = rest.parse().map_err(|_| err("number cannot be parsed"))?;
                Ok(Self::Wave(number))
            }
            _ => Err(err("unknown kind")),
        }
    }
}

/// Job as accepted. Written once and never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// Rules of the job's queue at the time of acceptance. They apply if the queue is removed
    /// later.
    pub rule: QueueRule,
    /// Job description of the caller.
    pub spec: JobSpec,
    /// Sequence number of the acceptance. Jobs of equal rank are served in this order.
    #[serde(rename = "order")]
    pub sequence: u64,
    /// Time of acceptance in milliseconds since 1970, by the clock of the owner's host. Only the
    /// order in which jobs are placed depends on it.
    #[serde(rename = "accepted")]
    pub accepted_at: u64,
}

impl JobRecord {
    /// Returns the record if its description is valid.
    pub(crate) fn checked(self) -> Result<Self> {
        self.spec.check()?;
        self.spec.check_due(self.accepted_at)?;
        Ok(self)
    }
}

/// Size of the progress of one occurrence beside its sets of tasks, rounded up: the key, the names and
/// the numbers.
const PROGRESS_HEAD_BYTES: usize = 256;

/// Progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Whether a caller has cancelled the job.
    #[serde(rename = "cancelled")]
    pub is_cancelled: bool,
    /// Whether a task has used up its attempts.
    #[serde(rename = "failed")]
    pub is_failed: bool,
    /// Whether a worker has ever listed a run of the job or the end of one. Earlier versions set it
    /// when a start was ordered.
    #[serde(rename = "begun")]
    pub has_started: bool,
    /// Number of occurrences that have become due. Those of them that are missing from
    /// `occurrences` are complete.
    #[serde(rename = "opened")]
    pub opened_count: u32,
    /// Occurrences that have become due and are not complete.
    #[serde(rename = "turns")]
    pub occurrences: Vec<OccurrenceProgress>,
}

impl Progress {
    /// Returns the largest size, with its key, of the progress of one occurrence of a job in which
    /// nothing fails and no task saves a checkpoint.
    pub(crate) fn size_when_done(spec: &JobSpec) -> usize {
        let sets = spec.steps.iter();
        let sets = sets.map(|step| TaskSet::max_size(step.count) + 1);
        PROGRESS_HEAD_BYTES + sets.sum::<usize>()
    }

    /// Validates that the progress belongs to a job with this description.
    pub(crate) fn check(&self, id: JobId, spec: &JobSpec) -> Result<()> {
        let has_task = |step: u16, index: u16| {
            let step = spec.steps.get(usize::from(step));
            step.is_some_and(|step| u32::from(index) < step.count)
        };
        let is_valid = |occurrence: &OccurrenceProgress| {
            let steps = (0_u16..).zip(&occurrence.done_tasks);
            let mut done = steps.flat_map(|(step, tasks)| tasks.iter().map(move |i| (step, i)));
            let mut failed = occurrence.failed_runs.iter().map(|(s, i, _)| (*s, *i));
            let mut saved = occurrence.checkpoints.iter().map(|&(s, i, _)| (s, i));
            let mut savers = occurrence.checkpoint_runs.iter().map(|&(s, i, _)| (s, i));
            let is_known = |(step, index)| has_task(step, index);
            occurrence.number < self.opened_count
                && occurrence.done_tasks.len() == spec.steps.len()
                && done.all(is_known)
                && failed.all(is_known)
                && saved.all(is_known)
                && savers.all(is_known)
        };
        if self.opened_count <= spec.occurrences() && self.occurrences.iter().all(is_valid) {
            return Ok(());
        }
        Err(Error::Record {
            key: Key::Progress(id).text(),
            reason: "the job has no such tasks".to_owned(),
        })
    }
}

/// Progress of one occurrence of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OccurrenceProgress {
    /// Number of the occurrence, from 0.
    pub number: u32,
    /// Indices of the completed tasks, one set per step.
    #[serde(rename = "done")]
    pub done_tasks: Vec<TaskSet>,
    /// Failed runs as (step, index, run numbers). With the run numbers, an end that a worker lists
    /// again is not counted twice. Service tasks have none: their attempts are not limited, so that
    /// the runs would grow without end and nothing depends on them. Earlier versions store some.
    #[serde(rename = "fails")]
    pub failed_runs: Vec<(u16, u16, RunSet)>,
    /// Runs under which their worker has crashed as (step, index, runs). Earlier versions store none.
    #[serde(rename = "crashes", default)]
    pub crashed_runs: Vec<(u16, u16, Vec<CrashedRun>)>,
    /// Newest checkpoints as (step, index, checkpoint).
    #[serde(rename = "saved")]
    pub checkpoints: Vec<(u16, u16, Arc<str>)>,
    /// Runs that have saved the checkpoints as (step, index, run number), so that the late end of an
    /// earlier run does not replace one. Earlier versions store none.
    #[serde(rename = "savers", default, skip_serializing_if = "Vec::is_empty")]
    pub checkpoint_runs: Vec<(u16, u16, u64)>,
}

/// End of a run that could not be applied to its job.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeldEnd {
    /// Worker that listed the end.
    pub worker: Arc<str>,
    /// End of the run.
    pub end: RunEnd,
}

/// Worker that an owner may have sent orders to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerRecord {
    /// Incarnation of the worker, see [`WorkerInfo::incarnation`](crate::WorkerInfo::incarnation).
    #[serde(rename = "born")]
    pub incarnation: u64,
    /// Address of the worker's own server.
    pub address: Arc<str>,
    /// Whether calls that were meant for an earlier incarnation may have leased the worker for longer than
    /// an owner grants. Earlier versions store none.
    #[serde(default, rename = "stale", skip_serializing_if = "std::ops::Not::not")]
    pub stale_lease: bool,
    /// Whether ends of this incarnation may never be listed, see
    /// [`Report::may_hide_ends`](crate::Report::may_hide_ends). Earlier versions ignore it.
    #[serde(default, rename = "hides", skip_serializing_if = "std::ops::Not::not")]
    pub may_hide_ends: bool,
}

/// Estimate of how much a best-effort image reduces the headroom of a latency-critical one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct InterferenceRecord {
    /// Image of the best-effort tasks.
    #[serde(rename = "filler")]
    pub best_effort_image: Arc<str>,
    /// Image of the latency-critical tasks.
    #[serde(rename = "serving")]
    pub critical_image: Arc<str>,
    /// Headroom lost for each core that the best-effort tasks use.
    pub value: f32,
    /// Number of reports that the estimate is based on.
    pub samples: u32,
}

/// Change of one key in the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Record {
    /// Key to change.
    pub key: Key,
    /// New value as JSON, or none to delete the key.
    pub value: Option<Vec<u8>>,
}

impl Record {
    pub(crate) fn put<T: Serialize>(key: Key, value: &T) -> Self {
        // These types have no maps whose keys JSON cannot express, so serialization does not fail.
        let value = serde_json::to_vec(value).unwrap_or_default();
        Self {
            key,
            value: Some(value),
        }
    }

    /// Returns the size of the key and the value, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        self.key.text().len() + self.value.as_ref().map_or(0, Vec::len)
    }

    pub(crate) const fn drop_key(key: Key) -> Self {
        Self { key, value: None }
    }
}

/// Parses the value of a record.
///
/// # Errors
///
/// Returns [`Error::Record`] if the value does not have the type that belongs to the key.
pub(crate) fn read<'a, T: Deserialize<'a>>(key: &Key, value: &'a [u8]) -> Result<T> {
    serde_json::from_slice(value).map_err(|e| Error::Record {
        key: key.text(),
        reason: e.to_string(),
    })
}

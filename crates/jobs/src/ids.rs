//! Identifiers of jobs, tasks and runs.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{Error, Result};

/// Identifier of a job, chosen by the caller. Its text form is 16 lowercase hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        // Accepts one spelling only, so that two texts never identify the same job.
        let is_plain = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != 16 || !text.bytes().all(is_plain) {
            return Err(Error::Id(text.chars().take(64).collect()));
        }
        let number = u64::from_str_radix(text, 16).map_err(|_| Error::Id(text.to_owned()))?;
        Ok(Self(number))
    }
}

/// Identifier of a task: its job, the occurrence of the job, its step and its index in the step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct TaskId {
    /// Job that the task belongs to.
    pub job: JobId,
    /// Occurrence of the job, from 0. Always 0 for a job without a schedule.
    #[serde(rename = "turn")]
    pub occurrence: u32,
    /// Index of the step in the job description.
    pub step: u16,
    /// Index of the task in the step, from 0.
    pub index: u16,
}

impl TaskId {
    /// Returns the identifier of the step that contains the task.
    #[must_use]
    pub const fn of_step(self) -> StepId {
        StepId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
        }
    }
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{}.{}.{}.{}",
            self.job, self.occurrence, self.step, self.index
        )
    }
}

impl FromStr for TaskId {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self> {
        let err = || Error::Id(text.chars().take(64).collect());
        let mut parts = text.split('.');
        let mut next = || parts.next().ok_or_else(err);
        let job = next()?.parse()?;
        let occurrence = next()?.parse().map_err(|_| err())?;
        let step = next()?.parse().map_err(|_| err())?;
        let index = next()?.parse().map_err(|_| err())?;
        if parts.next().is_some() {
            return Err(err());
        }
        Ok(Self {
            job,
            occurrence,
            step,
            index,
        })
    }
}

/// Identifier of a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct StepId {
    /// Job that the step belongs to.
    pub job: JobId,
    /// Occurrence of the job, from 0. Always 0 for a job without a schedule.
    #[serde(rename = "turn")]
    pub occurrence: u32,
    /// Index of the step in the job description.
    pub step: u16,
}

impl StepId {
    /// Returns the identifier of the step's task with this index.
    #[must_use]
    pub const fn task(self, index: u16) -> TaskId {
        TaskId {
            job: self.job,
            occurrence: self.occurrence,
            step: self.step,
            index,
        }
    }
}

impl fmt::Display for StepId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}.{}", self.job, self.occurrence, self.step)
    }
}

/// Identifier of one run of a task. Each start of the task gets a higher run number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RunId {
    /// Task that is run.
    pub task: TaskId,
    /// Run number, from 1. Each start gets a higher one, also across owners.
    pub run: u64,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{}", self.task, self.run)
    }
}

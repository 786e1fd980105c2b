//! Writes to the store: what is to be written, and what waits for it.

use std::collections::BTreeSet;

use hyssop_core::Millis;

use crate::limits::{PROGRESS_WRITE_DELAY, WRITE_STALL_TIMEOUT};
use crate::{JobId, Record};

/// What follows when a write is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// The acceptance of a job is stored.
    Accepted(JobId),
    /// The end of a job is stored.
    Ended(JobId),
    /// The record of a worker is stored.
    Worker(std::sync::Arc<str>),
    /// The ends of a worker's runs up to a number are stored.
    Ends {
        /// Worker.
        worker: std::sync::Arc<str>,
        /// Session.
        session: u64,
        /// Number of the last end.
        number: u64,
    },
}

/// Changes that wait to be written, and the write on its way.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    records: Vec<Record>,
    effects: Vec<Effect>,
    changed_jobs: BTreeSet<JobId>,
    /// Time by which the waiting changes are to be written.
    due_at: Option<Millis>,
    last_number: u64,
    in_flight: Option<(u64, Vec<Effect>)>,
    /// When the write on its way was sent.
    sent_at: Millis,
}

impl Writes {
    /// Adds a record that is to be written at once.
    pub(crate) fn add(&mut self, now: Millis, record: Record, effect: Option<Effect>) {
        self.records.push(record);
        self.effects.extend(effect);
        self.due_at = Some(now);
    }

    /// Marks the progress of a job as changed; it is written at once or together with others.
    pub(crate) fn mark_progress(&mut self, now: Millis, job: JobId, urgent: bool) {
        self.changed_jobs.insert(job);
        let due_at = if urgent {
            now
        } else {
            now + PROGRESS_WRITE_DELAY
        };
        self.due_at = Some(self.due_at.map_or(due_at, |d| d.min(due_at)));
    }

    /// Adds what follows when all that waits now is stored.
    pub(crate) fn add_effect(&mut self, now: Millis, effect: Effect) {
        self.effects.push(effect);
        self.due_at = Some(self.due_at.map_or(now + PROGRESS_WRITE_DELAY, |d| {
            d.min(now + PROGRESS_WRITE_DELAY)
        }));
    }

    /// Returns the time by which a write is to be sent, unless one is on its way.
    pub(crate) const fn due_at(&self) -> Option<Millis> {
        if self.in_flight.is_some() {
            None
        } else {
            self.due_at
        }
    }

    /// Starts a write if one is due. Returns its number, its records and the jobs whose progress
    /// belongs to it.
    pub(crate) fn start_write(
        &mut self,
        now: Millis,
    ) -> Option<(u64, Vec<Record>, BTreeSet<JobId>)> {
        if self.in_flight.is_some() || self.due_at.is_none_or(|due_at| due_at > now) {
            return None;
        }
        self.due_at = None;
        self.sent_at = now;
        self.last_number += 1;
        let effects = std::mem::take(&mut self.effects);
        self.in_flight = Some((self.last_number, effects));
        let records = std::mem::take(&mut self.records);
        Some((
            self.last_number,
            records,
            std::mem::take(&mut self.changed_jobs),
        ))
    }

    /// Returns whether the store has not answered for so long that no more work is to be promised.
    pub(crate) fn is_stalled(&self, now: Millis) -> bool {
        self.in_flight.is_some() && now.since(self.sent_at) > WRITE_STALL_TIMEOUT
    }

    /// Ends the write on its way and returns what follows.
    pub(crate) fn complete_write(&mut self, last_number: u64) -> Vec<Effect> {
        match self.in_flight.take() {
            Some((n, effects)) if n == last_number => effects,
            other => {
                self.in_flight = other;
                Vec::new()
            }
        }
    }
}

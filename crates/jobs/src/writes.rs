//! Batching of writes to the store, and the effects that wait for them.

use std::collections::BTreeSet;

use hyssop_core::Millis;

use crate::limits::{PROGRESS_WRITE_DELAY, WRITE_STALL_TIMEOUT};
use crate::{JobId, Key, Record};

/// Effect that is applied once a write is stored.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Effect {
    /// Confirms the acceptance of a job to its callers.
    Accepted(JobId),
    /// Makes visible to callers that a job has started.
    Started(JobId),
    /// Makes the final state of a job visible to callers.
    Ended(JobId),
    /// Allows starts on a worker whose record is now stored.
    Worker(std::sync::Arc<str>),
    /// Acknowledges the ends of runs up to a number.
    Ends {
        /// Worker that listed the ends.
        worker: std::sync::Arc<str>,
        /// Session in which the ends were reported.
        session: u64,
        /// Sequence number of the last end.
        number: u64,
    },
}

/// Changes that wait for the next write, and the write in flight.
#[derive(Debug, Default)]
pub(crate) struct Writes {
    records: Vec<Record>,
    effects: Vec<Effect>,
    changed_jobs: BTreeSet<JobId>,
    /// Time by which the pending changes must be written.
    due_at: Option<Millis>,
    last_number: u64,
    in_flight: Option<(u64, Vec<Effect>)>,
    /// When the write in flight was sent.
    sent_at: Millis,
}

impl Writes {
    /// Adds a record that is written immediately.
    pub(crate) fn add(&mut self, now: Millis, record: Record, effect: Option<Effect>) {
        self.records.push(record);
        self.effects.extend(effect);
        self.due_at = Some(now);
    }

    /// Marks the progress of a job as changed. It is written immediately if urgent, otherwise after
    /// at most [`PROGRESS_WRITE_DELAY`], together with other changes.
    pub(crate) fn mark_progress(&mut self, now: Millis, job: JobId, is_urgent: bool) {
        self.changed_jobs.insert(job);
        let due_at = if is_urgent {
            now
        } else {
            now + PROGRESS_WRITE_DELAY
        };
        self.due_at = Some(self.due_at.map_or(due_at, |d| d.min(due_at)));
    }

    /// Adds an effect to be applied once all pending changes are stored.
    pub(crate) fn add_effect(&mut self, now: Millis, effect: Effect) {
        self.effects.push(effect);
        self.due_at = Some(self.due_at.map_or(now + PROGRESS_WRITE_DELAY, |d| {
            d.min(now + PROGRESS_WRITE_DELAY)
        }));
    }

    /// Returns when the next write is due, or none while one is in flight.
    pub(crate) const fn due_at(&self) -> Option<Millis> {
        if self.in_flight.is_some() {
            None
        } else {
            self.due_at
        }
    }

    /// Starts a write if one is due and none is in flight. Returns its number, its records, and the
    /// jobs whose progress must be added to it.
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

    /// Returns the jobs whose acceptance waits for the next write.
    pub(crate) fn pending_acceptances(&self) -> Vec<JobId> {
        let accepted = self.effects.iter().filter_map(|effect| match effect {
            Effect::Accepted(id) => Some(*id),
            _ => None,
        });
        accepted.collect()
    }

    /// Drops the permission to start tasks on a worker that waits for the next write, which also drops
    /// the worker's record.
    pub(crate) fn drop_worker(&mut self, id: &std::sync::Arc<str>) {
        let is_dropped = |effect: &Effect| matches!(effect, Effect::Worker(worker) if worker == id);
        self.effects.retain(|effect| !is_dropped(effect));
    }

    /// Drops the acceptance of a job that waits for the next write.
    pub(crate) fn drop_acceptance(&mut self, id: JobId) {
        let is_put = |record: &Record| record.value.is_some() && record.key == Key::Job(id);
        self.records.retain(|record| !is_put(record));
        self.effects
            .retain(|effect| *effect != Effect::Accepted(id));
    }

    /// Returns whether the store has not replied for so long that new jobs must be refused. Time
    /// before the process last resumed does not count, because it could not read a reply then.
    pub(crate) fn is_stalled(&self, now: Millis, resumed_at: Millis) -> bool {
        let waiting_since = self.sent_at.max(resumed_at);
        self.in_flight.is_some() && now.since(waiting_since) > WRITE_STALL_TIMEOUT
    }

    /// Completes the write in flight and returns its effects. Ignores any other number.
    pub(crate) fn complete_write(&mut self, number: u64) -> Vec<Effect> {
        match self.in_flight.take() {
            Some((n, effects)) if n == number => effects,
            other => {
                self.in_flight = other;
                Vec::new()
            }
        }
    }
}

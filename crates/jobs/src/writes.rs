//! Batching of writes to the store, and the effects that wait for them.

use std::collections::BTreeSet;

use hyssop_core::Millis;

use crate::limits::{PROGRESS_WRITE_DELAY, REFUSED_WRITE_RETRY_DELAY, WRITE_STALL_TIMEOUT};
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
        /// Jobs of the ends.
        jobs: BTreeSet<JobId>,
    },
}

/// Write that has been sent and is not over.
#[derive(Debug)]
struct PendingWrite {
    number: u64,
    effects: Vec<Effect>,
    /// Keys in the write whose last records were refused.
    retried: Vec<Key>,
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
    in_flight: Option<PendingWrite>,
    /// When the write in flight was sent.
    sent_at: Millis,
    /// Progress and held ends of jobs whose newest records the store refuses.
    refused: BTreeSet<Key>,
    /// Effects that wait until those are stored.
    withheld: Vec<Effect>,
    /// Open jobs whose refused progress is not sent again before `retry_at`.
    paused: BTreeSet<JobId>,
    /// When refused records are sent again.
    retry_at: Millis,
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
        self.in_flight = Some(PendingWrite {
            number: self.last_number,
            effects,
            retried: Vec::new(),
        });
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

    /// Returns the jobs whose acceptance waits for the write in flight, if it has this number.
    pub(crate) fn written_acceptances(&self, number: u64) -> Vec<JobId> {
        let write = self.in_flight.as_ref();
        let write = write.filter(|write| write.number == number);
        let effects = write.into_iter().flat_map(|write| &write.effects);
        let accepted = effects.filter_map(|effect| match effect {
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

    /// Notes which refused records are sent again with the write in flight.
    pub(crate) fn note_retried(&mut self, records: &[Record]) {
        if let Some(write) = &mut self.in_flight {
            let keys = records.iter().map(|record| &record.key);
            let retried = keys.filter(|key| self.refused.contains(*key));
            write.retried = retried.cloned().collect();
        }
    }

    /// Completes the write in flight, without the records that were refused. Returns the effects of
    /// what is stored, or none if the number is another one.
    pub(crate) fn complete_write(
        &mut self,
        now: Millis,
        number: u64,
        refused: &[Key],
    ) -> Option<Vec<Effect>> {
        let write = self.in_flight.take_if(|write| write.number == number)?;
        for key in &write.retried {
            self.refused.remove(key);
        }
        for key in refused {
            if let Key::Progress(id) | Key::HeldEnds(id) = key {
                if self.refused.is_empty() {
                    self.retry_at = now + REFUSED_WRITE_RETRY_DELAY;
                }
                self.refused.insert(key.clone());
                self.paused.insert(*id);
            }
        }
        let mut effects = std::mem::take(&mut self.withheld);
        effects.extend(write.effects);
        let is_lost = |effect: &Effect| match effect {
            Effect::Accepted(id) => refused.contains(&Key::Job(*id)),
            Effect::Worker(id) => refused.contains(&Key::Worker(std::sync::Arc::clone(id))),
            // The worker lists them again until they are acknowledged.
            Effect::Ends { jobs, .. } => jobs.iter().any(|&id| self.is_refused(id)),
            Effect::Started(_) | Effect::Ended(_) => false,
        };
        effects.retain(|effect| !is_lost(effect));
        let is_withheld = |effect: &Effect| match effect {
            Effect::Started(id) | Effect::Ended(id) => self.is_refused(*id),
            _ => false,
        };
        let (withheld, stored) = effects.into_iter().partition(is_withheld);
        self.withheld = withheld;
        self.withheld.dedup();
        Some(stored)
    }

    /// Returns whether the newest progress or the held ends of a job are not stored because the store
    /// refuses them.
    pub(crate) fn is_refused(&self, id: JobId) -> bool {
        !self.refused.is_empty()
            && (self.refused.contains(&Key::Progress(id))
                || self.refused.contains(&Key::HeldEnds(id)))
    }

    /// Returns whether the progress of an open job is not sent at present, because the store has just
    /// refused it.
    pub(crate) fn is_paused(&self, id: JobId) -> bool {
        self.paused.contains(&id)
    }

    /// Returns the refused records that are due to be sent again.
    pub(crate) fn take_due_retries(&mut self, now: Millis) -> Vec<Key> {
        if self.refused.is_empty() || now < self.retry_at {
            return Vec::new();
        }
        self.retry_at = now + REFUSED_WRITE_RETRY_DELAY;
        self.paused.clear();
        self.refused.iter().cloned().collect()
    }

    /// Forgets the refused records of a job that no longer exists.
    pub(crate) fn forget_job(&mut self, id: JobId) {
        self.changed_jobs.remove(&id);
        self.refused.remove(&Key::Progress(id));
        self.refused.remove(&Key::HeldEnds(id));
        self.paused.remove(&id);
    }
}

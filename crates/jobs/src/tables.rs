//! Table of all jobs, and the order in which they are placed.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::jobs::Job;
use crate::limits::{PASSED_OVER_LIMIT, RANK_INTERVAL};
use crate::occurrences::Phase;
use crate::{JobId, RunId};

/// State of all jobs.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    by_id: HashMap<JobId, Job>,
    /// Jobs that have not ended, by priority and sequence number. A stored sequence number may not
    /// be unique if another writer has copied or damaged a record.
    open: BTreeSet<(u32, u64, JobId)>,
    /// Due occurrences of jobs that have not ended, in the order in which they are placed.
    ranking: Arc<[(JobId, u32)]>,
    ranked_at: Millis,
    /// Jobs of each queue of which a start was ordered since an expired one was last given a turn.
    starts_since_turn: HashMap<Arc<str>, u32>,
    /// Whether jobs or occurrences were added or have ended since the last ranking.
    is_stale: bool,
    /// Due times of further occurrences.
    opening: BTreeSet<(Millis, JobId)>,
    /// Jobs that have ended, by time.
    ended: BTreeSet<(Millis, JobId)>,
    next_sequence: u64,
}

impl JobTable {
    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// Returns the jobs that have not ended.
    fn open_jobs(&self) -> impl Iterator<Item = &Job> {
        self.open.iter().filter_map(|(.., id)| self.by_id.get(id))
    }

    /// Returns the sequence number for the next job.
    pub(crate) const fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the due occurrences in the order in which they are placed.
    pub(crate) fn ranked_occurrences(&mut self, now: Millis) -> Arc<[(JobId, u32)]> {
        if self.is_stale || now >= self.ranked_at + RANK_INTERVAL {
            self.give_turns(now);
            let jobs = self.open_jobs();
            let mut ranks: Vec<_> = jobs
                .flat_map(|job| {
                    let priority = job.rule.priority;
                    let occurrences = job.occurrences.iter();
                    occurrences.map(move |(&n, occurrence)| {
                        (priority, job.rank(now, occurrence), job.sequence, job.id, n)
                    })
                })
                .collect();
            ranks.sort_unstable();
            self.ranking = ranks
                .into_iter()
                .map(|(.., id, occurrence)| (id, occurrence))
                .collect();
            self.ranked_at = now;
            self.is_stale = false;
        }
        Arc::clone(&self.ranking)
    }

    /// Counts the first start that is ordered for a job.
    pub(crate) fn count_start(&mut self, queue: &Arc<str>) {
        *self.starts_since_turn.entry(Arc::clone(queue)).or_default() += 1;
    }

    /// Lets the oldest expired job of each queue go first, if enough others have started since the
    /// last turn.
    fn give_turns(&mut self, now: Millis) {
        let is_due = |count: &u32| *count >= PASSED_OVER_LIMIT;
        if !self.starts_since_turn.values().any(is_due) {
            return;
        }
        let mut oldest: HashMap<Arc<str>, (Millis, JobId)> = HashMap::new();
        for job in self.open_jobs() {
            let queue = &job.rule.name;
            let is_next = self.starts_since_turn.get(queue).is_some_and(is_due);
            let Some(due_at) = job.passed_over_since(now).filter(|_| is_next) else {
                continue;
            };
            let candidate = (due_at, job.id);
            let first = oldest.entry(Arc::clone(queue)).or_insert(candidate);
            *first = candidate.min(*first);
        }
        for (queue, (_, id)) in oldest {
            self.starts_since_turn.remove(&queue);
            if let Some(job) = self.by_id.get_mut(&id) {
                job.is_in_turn = true;
            }
        }
    }

    /// Adds the occurrences that have become due. `clock_origin` is the wall-clock time in
    /// milliseconds since 1970 at which the owner's clock read 0. Returns their jobs.
    pub(crate) fn open_due_occurrences(&mut self, now: Millis, clock_origin: u64) -> Vec<JobId> {
        let mut opened = Vec::new();
        while let Some(&(at, id)) = self.opening.first() {
            if at > now {
                break;
            }
            self.opening.pop_first();
            let Some(job) = self.by_id.get_mut(&id).filter(|job| job.is_open()) else {
                continue;
            };
            if job.open_occurrences(now, clock_origin, None) {
                opened.push(id);
                self.is_stale = true;
            }
            self.opening
                .extend(job.next_due_at(clock_origin).map(|due_at| (due_at, id)));
        }
        opened
    }

    /// Recomputes when occurrences become due, after the clock origin has changed.
    pub(crate) fn reschedule_openings(&mut self, clock_origin: u64) {
        let jobs = self.open_jobs();
        let dues = jobs.filter_map(|job| Some((job.next_due_at(clock_origin)?, job.id)));
        self.opening = dues.collect();
    }

    /// Adds the occurrences of a job up to one that an earlier owner added.
    pub(crate) fn open_occurrences_through(
        &mut self,
        now: Millis,
        id: JobId,
        occurrence: u32,
        clock_origin: u64,
    ) {
        if let Some(job) = self.by_id.get_mut(&id)
            && job.is_open()
        {
            self.is_stale |= job.open_occurrences(now, clock_origin, Some(occurrence));
        }
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn insert(&mut self, job: Job, clock_origin: u64) {
        self.is_stale = true;
        let due_at = job.next_due_at(clock_origin).filter(|_| job.is_open());
        self.opening.extend(due_at.map(|due_at| (due_at, job.id)));
        self.next_sequence = self.next_sequence.max(job.sequence.saturating_add(1));
        match job.ended_at {
            Some(at) => {
                self.ended.insert((at, job.id));
            }
            None => {
                self.open.insert((job.rule.priority, job.sequence, job.id));
            }
        }
        self.by_id.insert(job.id, job);
    }

    /// Marks a job as ended.
    pub(crate) fn mark_ended(&mut self, now: Millis, id: JobId) {
        self.is_stale = true;
        if let Some(job) = self.by_id.get_mut(&id) {
            job.ended_at = Some(now);
            self.open.remove(&(job.rule.priority, job.sequence, id));
            self.ended.insert((now, id));
        }
    }

    /// Removes a job that was not stored.
    pub(crate) fn remove(&mut self, id: JobId) -> Option<Job> {
        let job = self.by_id.remove(&id)?;
        if let Some(at) = job.ended_at {
            self.ended.remove(&(at, id));
        }
        self.is_stale = true;
        self.open.remove(&(job.rule.priority, job.sequence, id));
        self.opening.retain(|&(_, opening)| opening != id);
        Some(job)
    }

    /// Returns the job that ended first, if that was before `ended_before`.
    pub(crate) fn first_expired(&self, ended_before: Millis) -> Option<JobId> {
        let &(at, id) = self.ended.first()?;
        (at < ended_before).then_some(id)
    }

    /// Removes the job that ended first.
    pub(crate) fn remove_first_ended(&mut self) {
        if let Some((_, id)) = self.ended.pop_first() {
            self.by_id.remove(&id);
        }
    }

    /// Keeps the job that ended first for as long as one that ends now.
    pub(crate) fn postpone_expiry(&mut self, now: Millis) {
        if let Some((_, id)) = self.ended.pop_first() {
            self.ended.insert((now, id));
        }
    }

    /// Returns the worker of a run, if it is the current run of its task.
    pub(crate) fn worker_of_run(&self, run: RunId) -> Option<&Arc<str>> {
        match &self.get(run.task.job)?.task(run.task)?.phase {
            Phase::Assigned { worker, run: r, .. } if *r == run.run => Some(worker),
            _ => None,
        }
    }
}

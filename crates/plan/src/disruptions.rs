//! Limits on disruptions: how many instances of a service are unavailable at once, and how long its
//! jobs are paused between two attempts.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{JobId, Millis, Reason, ServiceName, Subject, WorkerName};

use crate::Cell;
use crate::jobs::Job;
use crate::moves::MAX_MOVES_PER_ROUND;

/// Minimum time for which a stopped instance counts as unavailable. Its replacement in another
/// cell is placed, started and announced within about that time.
const MIN_UNAVAILABLE_TIME: Millis = Millis(3_000);

/// Divisor of the cell's number of workers for the largest number that paused jobs reserve at once,
/// so that other jobs still start on most workers.
const MAX_RESERVED_DIVISOR: usize = 4;

/// Number of unavailable instances by service.
pub(crate) type UnavailableCounts = BTreeMap<ServiceName, u32>;

impl Cell {
    /// Counts the unavailable instances of each service, and removes the stops older than
    /// `MIN_UNAVAILABLE_TIME`. `wanted` contains the instances that the documents ask for.
    pub(crate) fn count_unavailable(
        &mut self,
        now: Millis,
        wanted: &BTreeSet<JobId>,
    ) -> UnavailableCounts {
        self.stop_times
            .retain(|_, at| now.since(*at) < MIN_UNAVAILABLE_TIME);
        let mut unavailable = UnavailableCounts::new();
        for (id, job) in &self.ledger.jobs {
            if job.is_service_task() && self.is_unavailable(id, job, wanted) {
                *unavailable.entry(job.spec.service.clone()).or_default() += 1;
            }
        }
        unavailable
    }

    /// Returns whether an instance is being stopped, was stopped recently, or restarts.
    fn is_unavailable(&self, id: &JobId, job: &Job, wanted: &BTreeSet<JobId>) -> bool {
        let is_started = self.tasks.get(id).is_some_and(|task| task.is_started);
        let is_stopping = job.end.is_some() && job.attempt_worker.is_some();
        // An instance that has never run does not reduce the service's capacity.
        let is_restarting = wanted.contains(id) && job.attempt.0 > 0 && !is_started;
        is_stopping || is_restarting || self.stop_times.contains_key(id)
    }

    /// Returns whether a service task may be stopped within the limit of its document, and counts
    /// it as unavailable if so.
    pub(crate) fn allow_stop(
        &mut self,
        now: Millis,
        id: &JobId,
        unavailable: &mut UnavailableCounts,
    ) -> bool {
        let Some(job) = self.ledger.jobs.get(id) else {
            return true;
        };
        let Some(limit) = self.service_doc(&job.spec).map(|doc| doc.moves.away) else {
            return true;
        };
        if job.attempt_worker.is_none() {
            return true;
        }
        let service = job.spec.service.clone();
        let count = unavailable.entry(service.clone()).or_default();
        if *count >= limit {
            let reason = Reason::AwayLimit(*count);
            self.explanations
                .add(now, Subject::Service(service), reason);
            return false;
        }
        *count += 1;
        self.stop_times.insert(id.clone(), now);
        true
    }

    /// Counts the jobs of each service that are being evicted, or paused for less time than their
    /// document allows. Jobs whose allowed pause is over do not delay a drain.
    pub(crate) fn count_paused(&self, now: Millis) -> BTreeMap<ServiceName, usize> {
        let is_recent = |id: &JobId, job: &Job| {
            let since = self.paused_since(id, job);
            since.is_some_and(|since| now.since(since) < self.allowed_pause(job))
        };
        let waiting = self.waiting_groups.jobs_run_before();
        let waiting = waiting.filter_map(|id| {
            let job = self.ledger.jobs.get(id)?;
            is_recent(id, job).then_some(job)
        });
        let evicting = self
            .tasks
            .iter()
            .filter(|(_, task)| task.eviction_cause.is_some());
        let evicting = evicting.filter_map(|(id, _)| self.ledger.jobs.get(id));
        let mut paused = BTreeMap::new();
        for job in waiting.chain(evicting) {
            *paused.entry(job.spec.service.clone()).or_default() += 1;
        }
        paused
    }

    /// Returns the longest pause that a job's document allows.
    fn allowed_pause(&self, job: &Job) -> Millis {
        let pause = self.service_doc(&job.spec).map_or(0, |doc| doc.moves.pause);
        Millis(u64::from(pause) * 1_000)
    }

    /// Returns how many jobs of a service a drain may pause at once: as many as can be moved to
    /// other cells, in one round of moves a second, within the pause that the document allows.
    pub(crate) fn max_paused_jobs(&self, job: &Job) -> usize {
        let pause = self
            .service_doc(&job.spec)
            .map_or(1, |doc| doc.moves.pause.max(1));
        MAX_MOVES_PER_ROUND.saturating_mul(usize::try_from(pause).unwrap_or(usize::MAX))
    }

    /// Returns since when a job that has run before is waiting for its next attempt; `None` if it
    /// does not wait or has not run.
    pub(crate) fn paused_since(&self, id: &JobId, job: &Job) -> Option<Millis> {
        let since = self.waits.get(id).map(|wait| wait.waiting_since);
        since.filter(|_| job.is_waiting() && job.has_run_before())
    }

    /// Returns whether a job that has run before has waited for half of the pause that its document
    /// allows. It is then placed before the other jobs of its class.
    pub(crate) fn is_pause_half_over(&self, now: Millis, job: &Job, since: Millis) -> bool {
        job.has_run_before() && now.since(since).0 >= self.allowed_pause(job).0 / 2
    }

    /// Adds an explanation, once for each pause, for jobs that wait for longer than their document
    /// allows.
    pub(crate) fn explain_pauses(&mut self, now: Millis) {
        let mut exceeded = Vec::new();
        for id in self.waiting_groups.jobs_run_before() {
            let Some(job) = self.ledger.jobs.get(id) else {
                continue;
            };
            let Some(since) = self.paused_since(id, job) else {
                continue;
            };
            let pause = self.service_doc(&job.spec).map(|doc| doc.moves.pause);
            let is_explained = self
                .waits
                .get(id)
                .is_some_and(|wait| wait.is_pause_explained);
            // In seconds.
            if let Some(allowed) = pause
                && !is_explained
                && now.since(since).0 > u64::from(allowed) * 1_000
            {
                exceeded.push((id.clone(), job.spec.service.clone(), allowed));
            }
        }
        for (id, service, allowed) in exceeded {
            self.waits.entry(id.clone()).or_default().is_pause_explained = true;
            let reason = Reason::PauseExceeded { allowed };
            self.explain_job(now, &id, reason.clone());
            self.explanations
                .add(now, Subject::Service(service), reason);
        }
    }

    /// Reserves capacity for a job that was paused for long and found none, so that smaller jobs do
    /// not take the capacity bit by bit as it becomes free.
    pub(crate) fn reserve_for_long_paused(
        &mut self,
        now: Millis,
        id: &JobId,
        capacities: &[crate::placements::WorkerCapacity],
    ) {
        if self.reservations.contains_key(id) {
            return;
        }
        let Some(needs) = self.ledger.jobs.get(id).map(|job| job.spec.needs) else {
            return;
        };
        let max_reserved = (self.workers.len() / MAX_RESERVED_DIVISOR).max(1);
        if self.batch_reservations() >= max_reserved {
            return;
        }
        let is_suitable = |name: &WorkerName| {
            let worker = self.workers.get(name);
            // Service tasks do not end by themselves.
            let is_large_enough = worker.is_some_and(|worker| {
                let critical = self.allocated_critical(worker);
                needs.fits(worker.capacity.saturating_sub(critical))
            });
            is_large_enough
                && self
                    .reservations
                    .values()
                    .all(|reservation| reservation.worker != *name)
        };
        let capacities = capacities
            .iter()
            .filter(|capacity| !capacity.has_paused_placements && !capacity.is_quarantined);
        let best = capacities
            .filter(|capacity| is_suitable(&capacity.name))
            .max_by_key(|capacity| (capacity.free.cpu, std::cmp::Reverse(&capacity.name)));
        if let Some(capacity) = best {
            let worker = capacity.name.clone();
            self.reserve_capacity(now, id, worker);
        }
    }
}

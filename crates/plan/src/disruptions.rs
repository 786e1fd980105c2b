//! How many instances and jobs of a service are away because they are moved.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{JobId, Millis, Reason, ServiceName, Subject, WorkerName};

use crate::Cell;
use crate::jobs::Job;
use crate::moves::MOVES_PER_ROUND;

/// Time for which a stopped instance counts as away at least: its replacement in another cell is
/// placed, started and announced within about that time.
const MIN_UNAVAILABLE_TIME: Millis = Millis(3_000);

/// Instances that are away, by service.
pub(crate) type UnavailableCounts = BTreeMap<ServiceName, u32>;

impl Cell {
    /// Counts the instances of each service that are stopped or on their way back, and drops the
    /// stops that no longer count.
    pub(crate) fn count_unavailable(
        &mut self,
        now: Millis,
        wanted: &BTreeSet<JobId>,
    ) -> UnavailableCounts {
        self.stop_times
            .retain(|_, at| now.since(*at) < MIN_UNAVAILABLE_TIME);
        let mut away = UnavailableCounts::new();
        for (id, job) in &self.ledger.jobs {
            if job.is_service_task() && self.is_unavailable(id, job, wanted) {
                *away.entry(job.spec.service.clone()).or_default() += 1;
            }
        }
        away
    }

    fn is_unavailable(&self, id: &JobId, job: &Job, wanted: &BTreeSet<JobId>) -> bool {
        let started = self.tasks.get(id).is_some_and(|task| task.is_started);
        let stopping = job.end.is_some() && job.open_worker.is_some();
        // An instance that has never run takes nothing away from the service.
        let back = wanted.contains(id) && job.attempt.0 > 0 && !started;
        stopping || back || self.stop_times.contains_key(id)
    }

    /// Tells whether a standing task may be stopped beside those that are away, and counts it.
    pub(crate) fn count_stop(
        &mut self,
        now: Millis,
        id: &JobId,
        away: &mut UnavailableCounts,
    ) -> bool {
        let Some(job) = self.ledger.jobs.get(id) else {
            return true;
        };
        let Some(most) = self.service_doc(&job.spec).map(|doc| doc.moves.away) else {
            return true;
        };
        if job.open_worker.is_none() {
            return true;
        }
        let service = job.spec.service.clone();
        let count = away.entry(service.clone()).or_default();
        if *count >= most {
            let reason = Reason::AwayLimit(*count);
            self.explanations
                .add(now, Subject::Service(service), reason);
            return false;
        }
        *count += 1;
        self.stop_times.insert(id.clone(), now);
        true
    }

    /// Counts the jobs of each service that are evicted or paused within what their document
    /// allows. Those that have waited for longer do not hold the drain up.
    pub(crate) fn count_paused(&self, now: Millis) -> BTreeMap<ServiceName, usize> {
        let recent = |id: &JobId, job: &Job| {
            let since = self.paused_since(id, job);
            since.is_some_and(|since| now.since(since) < self.allowed_pause(job))
        };
        let waiting = self.waiting_groups.resumed();
        let waiting = waiting.filter_map(|id| {
            let job = self.ledger.jobs.get(id)?;
            recent(id, job).then_some(job)
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

    /// Returns how many jobs of a service may be paused at once by a drain: as many as the rounds
    /// of moves hand on within the pause that its document allows.
    pub(crate) fn max_paused_jobs(&self, job: &Job) -> usize {
        let pause = self
            .service_doc(&job.spec)
            .map_or(1, |doc| doc.moves.pause.max(1));
        MOVES_PER_ROUND.saturating_mul(usize::try_from(pause).unwrap_or(usize::MAX))
    }

    /// Returns since when a job is paused between two attempts, if it is.
    pub(crate) fn paused_since(&self, id: &JobId, job: &Job) -> Option<Millis> {
        let since = self.waits.get(id).map(|wait| wait.waiting_since);
        since.filter(|_| job.is_waiting() && job.is_resumed())
    }

    /// Tells whether a resumed job has used up half of the pause that its document allows. It
    /// then goes before the other jobs of its class.
    pub(crate) fn is_pause_overdue(&self, now: Millis, job: &Job, since: Millis) -> bool {
        job.is_resumed() && now.since(since).0 >= self.allowed_pause(job).0 / 2
    }

    /// Explains, once for each pause, that a job waits for longer than its document allows.
    pub(crate) fn explain_pauses(&mut self, now: Millis) {
        let mut late = Vec::new();
        for id in self.waiting_groups.resumed() {
            let Some(job) = self.ledger.jobs.get(id) else {
                continue;
            };
            let Some(since) = self.paused_since(id, job) else {
                continue;
            };
            let pause = self.service_doc(&job.spec).map(|doc| doc.moves.pause);
            let told = self
                .waits
                .get(id)
                .is_some_and(|wait| wait.is_pause_explained);
            if let Some(allowed) = pause
                && !told
                && now.since(since).0 > u64::from(allowed) * 1_000
            {
                late.push((id.clone(), job.spec.service.clone(), allowed));
            }
        }
        for (id, service, allowed) in late {
            self.waits.entry(id.clone()).or_default().is_pause_explained = true;
            let reason = Reason::PauseExceeded { allowed };
            self.explain_job(now, &id, reason.clone());
            self.explanations
                .add(now, Subject::Service(service), reason);
        }
    }

    /// Keeps room for overdue jobs that find none, so that smaller jobs do not take what becomes
    /// free piece by piece.
    pub(crate) fn reserve_for_overdue(
        &mut self,
        now: Millis,
        id: &JobId,
        rooms: &[crate::placements::WorkerCapacity],
    ) {
        if self.reservations.contains_key(id) {
            return;
        }
        let Some(needs) = self.ledger.jobs.get(id).map(|job| job.spec.needs) else {
            return;
        };
        let able = |name: &WorkerName| {
            let worker = self.workers.get(name);
            let large = worker.is_some_and(|worker| needs.fits(worker.capacity));
            large
                && self
                    .reservations
                    .values()
                    .all(|claim| claim.worker != *name)
        };
        let rooms = rooms.iter().filter(|room| !room.is_held && !room.is_probe);
        let best = rooms
            .filter(|room| able(&room.name))
            .max_by_key(|room| (room.free.cpu, std::cmp::Reverse(&room.name)));
        if let Some(room) = best {
            let worker = room.name.clone();
            self.reserve_capacity(now, id, worker, needs);
        }
    }
}

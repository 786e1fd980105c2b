//! Results of attempts that were given up: a worker that could not be reached until its leases had
//! expired reports them when it is reached again.
//!
//! The event of such a result never comes again once it is acknowledged, and any end of a later
//! attempt would start the job again. The job therefore finishes with the result, and the event is
//! acknowledged after the record of it is committed.
//!
//! A `Finished` record counts only for the open attempt, for every reader of the stream. So the
//! result is recorded for the attempt that is open when it arrives, once that one has ended. A job
//! without an open attempt gets one that is never started.

use hyssop_core::{
    Attempt, CellRecord, Event, EventKind, Intent, JobId, Millis, Reason, Resources, Term,
    WorkerName,
};
use smallvec::smallvec;

use crate::Cell;
use crate::deliveries::Delivery;
use crate::jobs::End;
use crate::placements::PendingIntent;
use crate::quotas::add_resources;
use crate::workers::{OrderKind, Worker};

/// Result of an attempt that was given up, with which its job is to finish.
#[derive(Clone, Debug)]
pub(crate) struct LateResult {
    pub(crate) attempt: Attempt,
    pub(crate) result: String,
    /// State of the calls that send it to another cell.
    pub(crate) delivery: Delivery,
}

impl LateResult {
    pub(crate) fn new(attempt: Attempt, result: String) -> Self {
        Self {
            attempt,
            result,
            delivery: Delivery::default(),
        }
    }
}

impl Cell {
    /// Keeps the result of an attempt that is not the open one, or whose loss is being recorded.
    /// All other ends of such an attempt are void.
    pub(crate) fn keep_late_result(&mut self, now: Millis, name: &WorkerName, event: &Event) {
        let EventKind::Finished { result } = &event.kind else {
            return;
        };
        let Some(job) = self.ledger.jobs.get(&event.job) else {
            return;
        };
        // The ledger has the worker of the latest attempt only.
        let was_run = event.attempt > Attempt::default()
            && (event.attempt < job.attempt
                || event.attempt == job.attempt && job.last_worker.as_ref() == Some(name));
        let has_moved = matches!(job.end, Some(End::Moved { .. }));
        let has_ended = job.end.is_some() && !has_moved;
        if !was_run || has_ended || job.is_service_task() {
            return;
        }
        if self.late_results.contains_key(&event.job) {
            return;
        }
        if has_moved && !self.has_room_for_delivery(result) {
            return self.explain_dropped_result(now, &event.job, event.attempt);
        }
        let late_result = LateResult::new(event.attempt, result.clone());
        self.late_results.insert(event.job.clone(), late_result);
        let text = format!(
            "attempt {} on {name} was given up and has finished",
            event.attempt
        );
        self.explain_job(now, &event.job, Reason::Other(text));
    }

    /// Returns the record that closes an attempt of a job with the result of an earlier one.
    pub(crate) fn late_record(&self, job: &JobId, attempt: Attempt) -> Option<CellRecord> {
        let late_result = self.late_results.get(job)?;
        Some(CellRecord::Finished {
            job: job.clone(),
            attempt,
            result: late_result.result.clone(),
        })
    }

    /// Finishes the jobs with late results that are in this cell: stops their open attempts, and
    /// opens one for those that have none.
    pub(crate) fn finish_late_results(&mut self, now: Millis, term: Term) {
        self.drop_settled_results();
        let is_here = |id: &&JobId| {
            let job = self.ledger.jobs.get(*id);
            job.is_some_and(|job| job.end.is_none())
        };
        let ids: Vec<JobId> = self.late_results.keys().filter(is_here).cloned().collect();
        for id in ids {
            if self.tasks.contains_key(&id) {
                self.stop_repeated_attempt(now, term, &id);
            } else {
                self.open_unstarted_attempt(term, &id);
            }
        }
    }

    /// Orders the open attempt of a finished job to stop, or closes it if its start was never sent.
    fn stop_repeated_attempt(&mut self, now: Millis, term: Term, id: &JobId) {
        let Some(task) = self.tasks.get(id).filter(|task| !task.is_closing) else {
            return;
        };
        if task.is_unsent() {
            self.close_lost_attempt(now, term, id, None);
        } else if let Some(worker) = self.workers.get_mut(&task.worker) {
            worker.pending_orders.insert(id.clone(), OrderKind::Stop);
        }
    }

    /// Writes an intent for a waiting job, so that its result can be recorded. It needs room like
    /// any other intent, because the allocations of the stream must fit the workers.
    fn open_unstarted_attempt(&mut self, term: Term, id: &JobId) {
        let is_ending = self.waits.get(id).is_some_and(|wait| wait.is_ending);
        if is_ending || self.pending_intents.contains_key(id) {
            return;
        }
        let Some(job) = self.ledger.jobs.get(id) else {
            return;
        };
        let (needs, attempt) = (job.spec.needs, job.attempt.next());
        let Some(worker) = self.worker_with_room(needs) else {
            return;
        };
        let intent = Intent {
            job: id.clone(),
            attempt,
            worker: worker.clone(),
        };
        let record = self
            .journal
            .write(term, CellRecord::Intents(smallvec![intent]));
        let pending_intent = PendingIntent {
            worker,
            needs,
            record,
        };
        self.pending_intents.insert(id.clone(), pending_intent);
    }

    /// Returns a worker with enough free capacity, also one that takes no starts. Usually it is the
    /// worker that reports the late result: it takes nothing while it cannot be reached.
    fn worker_with_room(&self, needs: Resources) -> Option<WorkerName> {
        let has_room = |name: &WorkerName, worker: &Worker| {
            let pending = self.pending_intents.values().filter(|p| p.worker == *name);
            let pending = pending.map(|pending_intent| pending_intent.needs);
            let allocated = pending.fold(self.allocated(name), add_resources);
            needs.fits(worker.capacity.saturating_sub(allocated))
        };
        let workers = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.has_inventory);
        let mut fitting = workers.filter(|(name, worker)| has_room(name, worker));
        fitting.next().map(|(name, _)| name.clone())
    }
}

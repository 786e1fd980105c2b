//! Workers that are lost, and the tasks of their runs, which are queued again.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::RunId;
use crate::accounts::LossCause;
use crate::io::Output;
use crate::limits::LEASE_EXPIRY_MARGIN;
use crate::owners::Owner;
use crate::records::{Key, Record};
use crate::shares::Share;
use crate::workers::{Worker, WorkerRun};

impl Owner {
    /// Marks workers lost whose leases have expired. This requires a confirmation of ownership
    /// later than the end of the lease, because an unknown later owner may have renewed it.
    pub(crate) fn expire_leases(&mut self) {
        let confirmed_at = self.proof.confirmed_at;
        let is_expired = |w: &&Worker| confirmed_at > w.lapses_at() + LEASE_EXPIRY_MARGIN;
        let expired: Vec<Arc<str>> = self
            .workers
            .values()
            .filter(is_expired)
            .filter(|w| {
                w.session.is_some()
                    || !w.runs.is_empty()
                    || self.unconfirmed_workers.contains(&w.info.id)
            })
            .map(|w| Arc::clone(&w.info.id))
            .collect();
        for id in expired {
            let worker = &self.workers[&id];
            let basis = match worker.stale_until > worker.lease_end {
                true => "earlier calls",
                false if self.unconfirmed_workers.contains(&id) => "takeover",
                false => "renewal",
            };
            let ended_before = self.now.since(worker.lapses_at());
            self.log(format!(
                "worker {id} lost: lease expired basis={basis:?} ended_before_ms={ended_before}"
            ));
            self.mark_worker_lost(&id);
        }
    }

    /// Drops the record of a worker, so that no later owner waits for it.
    pub(crate) fn drop_worker_record(&mut self, id: &Arc<str>) {
        let worker = self.workers.get_mut(id);
        if worker.is_some_and(|worker| std::mem::take(&mut worker.has_record)) {
            let record = Record::drop_key(Key::Worker(Arc::clone(id)));
            self.writes.drop_worker(id);
            self.writes.add(self.now, record, None);
        }
    }

    /// Closes the session of a worker that runs nothing any more, and queues its tasks again. Its
    /// record is dropped, unless a later incarnation may execute starts that were meant for it.
    pub(crate) fn mark_worker_lost(&mut self, id: &Arc<str>) {
        self.unconfirmed_workers.remove(id);
        if !self.late_starts.has_worker(id) {
            self.drop_worker_record(id);
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let session = worker.session.take();
        worker.has_reported = false;
        let runs = worker.remove_all_runs();
        if let Some(session) = session {
            self.sessions.remove(&session);
            self.orders.remove(&session);
            self.outputs.push(Output::CloseSession(session));
        }
        for (run, worker_run) in runs {
            self.account_for_loss(run, &worker_run, LossCause::WorkerLost);
            self.requeue_if_current(id, run, Millis(0));
        }
    }

    /// Adds a run that ended without a result to the account of its job.
    pub(crate) fn account_for_loss(&mut self, run: RunId, state: &WorkerRun, cause: LossCause) {
        let time = self.now.since(state.started_at);
        let job = self.jobs.get_mut(run.task.job).filter(|job| job.is_open());
        if let Some(job) = job.filter(|_| !state.is_service) {
            job.account.add_loss(cause, time);
        }
    }

    /// Queues the task of a run again, if it is still assigned to that run on that worker.
    pub(crate) fn requeue_if_current(&mut self, worker: &Arc<str>, run: RunId, delay: Millis) {
        let is_current = self.jobs.worker_of_run(run) == Some(worker);
        if !is_current {
            return;
        }
        self.requeue_task(run, delay);
    }

    /// Queues the task of a run again after a delay, or once no earlier start of it can be executed any
    /// more. If it belongs to a gang, the other members are stopped, so that all start again together.
    pub(crate) fn requeue_task(&mut self, run: RunId, delay: Millis) {
        let not_before = (self.now + delay).max(self.late_starts.until(run.task));
        let Some(job) = self.jobs.get_mut(run.task.job) else {
            return;
        };
        if let Some(step) = job.step_mut(run.task) {
            step.requeue(run.task.index, not_before);
        }
        self.late_starts.begin_wait(run.task, self.now);
        if job.share == Share::Used(run.task) {
            job.share = Share::Unused;
        }
        if job.spec.steps[usize::from(run.task.step)].is_gang {
            self.stop_gang(run.task);
        }
    }
}

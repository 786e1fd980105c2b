//! Attempts on workers that do not answer.

use hyssop_core::limits::{LEASE_MARGIN, PEER_TIMEOUT, TASK_LEASE};
use hyssop_core::{Class, JobId, Millis, Reason, Term, WorkerName};

use crate::Cell;
use crate::workers::Worker;

/// Silence after which the attempts on a worker are in doubt.
const UNCONFIRMED_AFTER: Millis = PEER_TIMEOUT;

impl Cell {
    /// Tells whether the attempts on a worker are in doubt.
    pub(crate) fn is_worker_unconfirmed(&self, now: Millis, worker: &Worker) -> bool {
        match worker.last_reply_at {
            Some(heard) => worker.has_missed_poll && now.since(heard) > UNCONFIRMED_AFTER,
            None => now.since(self.ownership.acquired_at) > UNCONFIRMED_AFTER,
        }
    }

    /// Returns the time at which all batch leases on a worker have lapsed.
    fn leases_expire_at(&self, worker: &Worker) -> Millis {
        let lease = TASK_LEASE + LEASE_MARGIN;
        let own = worker.last_renewal_at.unwrap_or_default() + lease;
        match worker.last_reply_at {
            // Until it answered, an earlier owner may have renewed.
            Some(heard) => own.max(heard + lease),
            None => own.max(self.ownership.prior_leases_expire_at()),
        }
    }

    /// Writes off the attempts that are certainly gone, and latency-critical ones at once: a
    /// second backend server is harmless.
    pub(crate) fn lose_unconfirmed_attempts(&mut self, now: Millis, term: Term) {
        let silent = self.workers.iter();
        let silent =
            silent.filter(|(_, w)| !w.tasks.is_empty() && self.is_worker_unconfirmed(now, w));
        let silent: Vec<_> = silent
            .map(|(name, worker)| (name.clone(), now >= self.leases_expire_at(worker)))
            .collect();
        for (name, lapsed) in silent {
            self.lose_attempts_on(now, term, &name, lapsed);
        }
    }

    fn lose_attempts_on(&mut self, now: Millis, term: Term, name: &WorkerName, lapsed: bool) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        // What is written off may still be there when the worker answers again.
        worker.needs_inventory = true;
        worker.has_inventory = false;
        let tasks: Vec<JobId> = worker.tasks.iter().cloned().collect();
        for job in tasks {
            let Some(task) = self.tasks.get(&job) else {
                continue;
            };
            if task.is_closing {
                continue;
            }
            let unsent = !task.is_inherited && !task.is_started && task.start_timestamp.is_none();
            if lapsed || unsent || task.class == Class::LatencyCritical {
                self.lose_attempt(now, term, &job);
            } else {
                let attempt = task.attempt;
                self.explain_job(now, &job, Reason::InDoubt(attempt));
            }
        }
    }
}

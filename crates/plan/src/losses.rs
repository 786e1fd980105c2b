//! Attempts on workers that do not reply: when they are unconfirmed, and when they are lost.

use std::collections::BTreeMap;

use hyssop_core::limits::{LEASE_MARGIN, PEER_TIMEOUT, TASK_LEASE};
use hyssop_core::{Class, JobId, Millis, Reason, Term, WorkerName};

use crate::Cell;
use crate::workers::Worker;

/// Time without a reply after which the attempts on a worker are unconfirmed.
const UNCONFIRMED_AFTER: Millis = PEER_TIMEOUT;

impl Cell {
    /// Returns whether the attempts on a worker are unconfirmed.
    pub(crate) fn is_worker_unconfirmed(&self, now: Millis, worker: &Worker) -> bool {
        match worker.last_reply_at {
            Some(replied_at) => worker.has_missed_poll && now.since(replied_at) > UNCONFIRMED_AFTER,
            None => now.since(self.ownership.acquired_at) > UNCONFIRMED_AFTER,
        }
    }

    /// Returns the time at which all batch leases on a worker have expired.
    fn leases_expire_at(&self, worker: &Worker) -> Millis {
        let lease = TASK_LEASE + LEASE_MARGIN;
        let own_expiry = worker.last_renewal_at.unwrap_or_default() + lease;
        match worker.last_reply_at {
            // An earlier owner may have renewed leases until the first reply in this term.
            Some(replied_at) => own_expiry.max(replied_at + lease),
            None => own_expiry.max(self.ownership.prior_leases_expire_at()),
        }
    }

    /// Marks attempts on unconfirmed workers as lost: batch attempts once their leases have
    /// expired, latency-critical ones at once, because a second backend server is harmless.
    pub(crate) fn mark_unconfirmed_lost(&mut self, now: Millis, term: Term) {
        let unconfirmed = self.workers.iter();
        let unconfirmed =
            unconfirmed.filter(|(_, w)| !w.tasks.is_empty() && self.is_worker_unconfirmed(now, w));
        let unconfirmed: Vec<_> = unconfirmed
            .map(|(name, worker)| (name.clone(), now >= self.leases_expire_at(worker)))
            .collect();
        for (name, has_expired_leases) in unconfirmed {
            self.mark_worker_attempts_lost(now, term, &name, has_expired_leases);
        }
    }

    /// Marks the attempts on one worker as lost, or explains why they are still unconfirmed.
    fn mark_worker_attempts_lost(
        &mut self,
        now: Millis,
        term: Term,
        name: &WorkerName,
        has_expired_leases: bool,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        // Lost attempts may still be running when the worker replies again.
        worker.needs_inventory = true;
        worker.has_inventory = false;
        let tasks: Vec<JobId> = worker.tasks.iter().cloned().collect();
        let (has_ended, seen_at) = (worker.has_ended, worker.incarnation_seen_at);
        let mut crashes = if has_ended {
            self.crashes_under(name, seen_at)
        } else {
            BTreeMap::default()
        };
        for job in tasks {
            let Some(task) = self.tasks.get(&job) else {
                continue;
            };
            if task.is_closing {
                continue;
            }
            let is_unsent = task.is_unsent();
            if has_expired_leases || is_unsent || task.class == Class::LatencyCritical {
                let crash = crashes.remove(&job).filter(|_| !is_unsent);
                self.close_lost_attempt(now, term, &job, crash);
            } else {
                let attempt = task.attempt;
                self.explain_job(now, &job, Reason::InDoubt(attempt));
            }
        }
    }
}

//! Attempts on workers that do not answer.

use hyssop_core::limits::{LEASE_MARGIN, PEER_TIMEOUT, TASK_LEASE};
use hyssop_core::{Class, JobId, Millis, Reason, Term, WorkerName};

use crate::Cell;
use crate::workers::Worker;

/// Silence after which the attempts on a worker are in doubt.
const DOUBT_AFTER: Millis = PEER_TIMEOUT;

impl Cell {
    /// Tells whether the attempts on a worker are in doubt.
    pub(crate) fn is_doubtful(&self, now: Millis, worker: &Worker) -> bool {
        match worker.heard {
            Some(heard) => worker.missed && now.since(heard) > DOUBT_AFTER,
            None => now.since(self.office.took) > DOUBT_AFTER,
        }
    }

    /// Returns the time at which all batch leases on a worker have lapsed.
    fn lapse(&self, worker: &Worker) -> Millis {
        let lease = TASK_LEASE + LEASE_MARGIN;
        let own = worker.renewed.unwrap_or_default() + lease;
        match worker.heard {
            // Until it answered, an earlier owner may have renewed.
            Some(heard) => own.max(heard + lease),
            None => own.max(self.office.took + self.office.wait),
        }
    }

    /// Writes off the attempts that are certainly gone, and latency-critical ones at once: a
    /// second backend server is harmless.
    pub(crate) fn doubt(&mut self, now: Millis, term: Term) {
        let silent = self.workers.iter();
        let silent = silent.filter(|(_, w)| !w.tasks.is_empty() && self.is_doubtful(now, w));
        let silent: Vec<_> = silent
            .map(|(name, worker)| (name.clone(), now >= self.lapse(worker)))
            .collect();
        for (name, lapsed) in silent {
            self.write_off(now, term, &name, lapsed);
        }
    }

    fn write_off(&mut self, now: Millis, term: Term, name: &WorkerName, lapsed: bool) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        // What is written off may still be there when the worker answers again.
        worker.full = true;
        worker.known = false;
        let tasks: Vec<JobId> = worker.tasks.iter().cloned().collect();
        for job in tasks {
            let Some(task) = self.tasks.get(&job) else {
                continue;
            };
            if task.closing {
                continue;
            }
            let unsent = !task.inherited && !task.started && task.start.is_none();
            if lapsed || unsent || task.class == Class::LatencyCritical {
                self.lose(now, term, &job);
            } else {
                let attempt = task.attempt;
                self.explain_job(now, &job, Reason::InDoubt(attempt));
            }
        }
    }
}

//! Failed and lost attempts: backoff, jitter, and the limit on failures of a job.

use hyssop_core::{CellRecord, Class, Event, EventKind, JobId, Millis, Reason, WorkerName};
use rand::Rng;

use crate::Cell;
use crate::workers::Task;

/// Failed attempts after which a job is abandoned.
const MAX_FAILED_ATTEMPTS: u32 = 5;
/// Backoff after the first failure; it doubles with each further one.
const FIRST_BACKOFF: Millis = Millis(500);
/// Longest backoff after a failure, without its jitter.
const MAX_BACKOFF: Millis = Millis(30_000);

/// Longest random delay after an attempt was lost.
const MAX_LOST_JITTER: Millis = Millis(1_000);

/// Waiting time and backoff of a job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitState {
    /// Time since which the job waits for a worker.
    pub(crate) waiting_since: Millis,
    /// Time before which the job may not be placed.
    pub(crate) not_before: Millis,
    /// Whether a record that ends the job here was written and is not yet read back.
    pub(crate) is_ending: bool,
    /// Whether the log of explanations has an entry about a pause longer than allowed.
    pub(crate) is_pause_explained: bool,
}

impl Cell {
    /// Records the end of an attempt that the worker reports, and the backoff after a failure.
    pub(crate) fn record_attempt_end(&mut self, now: Millis, name: &WorkerName, event: &Event) {
        self.record_outcome(now, name, &event.job, &event.kind);
        let EventKind::Failed { cause } = &event.kind else {
            return;
        };
        let reason = Reason::AttemptFailed(event.attempt, name.clone(), cause.clone());
        self.explain_job(now, &event.job, reason);
        let failures = self
            .ledger
            .jobs
            .get(&event.job)
            .map_or(0, |j| j.failure_count);
        let delay = self.backoff_delay(failures);
        self.explain_job(now, &event.job, Reason::Backoff(delay));
        let wait = WaitState {
            waiting_since: now,
            not_before: now + delay,
            ..WaitState::default()
        };
        self.waits.insert(event.job.clone(), wait);
    }

    /// Returns the backoff of a job that has failed `failures` times before, with a random addition
    /// of up to half of it so that jobs which failed together do not restart together.
    fn backoff_delay(&mut self, failures: u32) -> Millis {
        let doubled = FIRST_BACKOFF.0.saturating_mul(1 << failures.min(16));
        let delay = doubled.min(MAX_BACKOFF.0);
        let jitter = self.journal.rng().random_range(0..=delay / 2);
        Millis(delay + jitter)
    }

    /// Delays the next attempt of a batch job after a loss by a random time, so that the jobs of a
    /// lost rack do not all start at once.
    pub(crate) fn delay_lost_job(&mut self, now: Millis, id: &JobId) {
        let is_batch = |task: &Task| task.class == Class::Batch;
        if self.tasks.get(id).is_some_and(is_batch) {
            let delay = self.journal.rng().random_range(0..=MAX_LOST_JITTER.0);
            let wait = WaitState {
                waiting_since: now,
                not_before: now + Millis(delay),
                ..WaitState::default()
            };
            self.waits.insert(id.clone(), wait);
        }
    }

    /// Ends a job after `MAX_FAILED_ATTEMPTS` failures. Service tasks are retried without limit.
    pub(crate) fn abandon_failed_job(&mut self, now: Millis, id: &JobId) {
        let Some(term) = self.deciding_term() else {
            return;
        };
        let Some(job) = self.ledger.jobs.get(id) else {
            return;
        };
        if job.is_service_task() || job.failure_count < MAX_FAILED_ATTEMPTS {
            return;
        }
        let cause = format!("{} attempts failed", job.failure_count);
        self.explain_job(now, id, Reason::Other(cause.clone()));
        self.waits.entry(id.clone()).or_default().is_ending = true;
        let job = id.clone();
        self.journal
            .write(term, CellRecord::Abandoned { job, cause });
    }
}

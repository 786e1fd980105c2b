//! Attempts that failed: backoff, limit and the end of a job.

use hyssop_core::{CellRecord, Class, Event, EventKind, JobId, Millis, Reason, WorkerName};
use rand::Rng;

use crate::Cell;
use crate::workers::Task;

/// Failed attempts after which a job fails for good.
const MAX_FAILED_ATTEMPTS: u32 = 5;
/// Wait after the first failure; it doubles with each further one.
const FIRST_BACKOFF: Millis = Millis(500);
/// Longest wait after a failure.
const MAX_BACKOFF: Millis = Millis(30_000);

/// Longest random wait after an attempt was lost.
const MAX_LOST_JITTER: Millis = Millis(1_000);

/// Since when a job waits, and until when it may not be placed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct WaitState {
    pub(crate) waiting_since: Millis,
    pub(crate) not_before: Millis,
    /// Whether a record that ends the job here is on its way.
    pub(crate) is_ending: bool,
    /// Whether it was explained that the pause is longer than allowed.
    pub(crate) is_pause_explained: bool,
}

impl Cell {
    /// Takes in the end of an attempt as the worker reports it.
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

    /// Returns the wait after a failure that followed `failures` others, with up to half of it
    /// added at random so that jobs which failed together do not return together.
    fn backoff_delay(&mut self, failures: u32) -> Millis {
        let doubled = FIRST_BACKOFF.0.saturating_mul(1 << failures.min(16));
        let delay = doubled.min(MAX_BACKOFF.0);
        let jitter = self.journal.rng().random_range(0..=delay / 2);
        Millis(delay + jitter)
    }

    /// Delays the next attempt of a lost batch job a little, so that the jobs of a lost rack do not
    /// all start in the same moment.
    pub(crate) fn delay_lost_job(&mut self, now: Millis, id: &JobId) {
        let batch = |task: &Task| task.class == Class::Batch;
        if self.tasks.get(id).is_some_and(batch) {
            let delay = self.journal.rng().random_range(0..=MAX_LOST_JITTER.0);
            let wait = WaitState {
                waiting_since: now,
                not_before: now + Millis(delay),
                ..WaitState::default()
            };
            self.waits.insert(id.clone(), wait);
        }
    }

    /// Ends a job that has failed too often. Standing tasks are retried without limit.
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
        self.explain_job(now, id, Reason::Note(cause.clone()));
        self.waits.entry(id.clone()).or_default().is_ending = true;
        let job = id.clone();
        self.journal
            .write(term, CellRecord::Abandoned { job, cause });
    }
}

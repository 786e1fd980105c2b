//! Quarantine of workers on which runs fail more often than on others.
//!
//! Failures of a few jobs that fail everywhere must not take workers from all other jobs, so the
//! outcomes on a worker are compared with those on the other workers of its service, of which at
//! most a part is in quarantine at a time.

use std::sync::Arc;

use hyssop_core::Millis;

use crate::JobId;
use crate::limits::{
    MAX_QUARANTINED_DIVISOR, MIN_FAILURE_RATIO, MIN_OUTCOME_SAMPLES, OUTCOME_DECAY,
    QUARANTINE_DURATION, QUARANTINE_FAILURE_SHARE,
};
use crate::owners::Owner;
use crate::workers::Worker;

/// Weights of the outcomes of runs, which fall with each later outcome on the same worker.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Outcomes {
    successes: f32,
    failures: f32,
    last_failed_job: Option<JobId>,
}

impl Outcomes {
    /// Adds the outcome of a run. Returns whether a failure was added: one of the job that failed
    /// last is not counted again, not even after a success, as it may be the job that fails by turns.
    fn add(&mut self, job: JobId, is_failed: bool) -> bool {
        if is_failed && self.last_failed_job == Some(job) {
            return false;
        }
        self.successes *= OUTCOME_DECAY;
        self.failures *= OUTCOME_DECAY;
        if is_failed {
            self.last_failed_job = Some(job);
            self.failures += 1.0;
        } else {
            self.successes += 1.0;
        }
        is_failed
    }

    const fn plus(self, other: &Self) -> Self {
        Self {
            successes: self.successes + other.successes,
            failures: self.failures + other.failures,
            last_failed_job: None,
        }
    }

    /// Returns the share of failed runs, 0 without any outcome.
    fn failure_share(&self) -> f32 {
        self.failures / (self.successes + self.failures).max(f32::MIN_POSITIVE)
    }

    /// Returns whether most runs fail, as far as there are enough outcomes to tell.
    fn are_mostly_failures(&self) -> bool {
        self.successes + self.failures >= MIN_OUTCOME_SAMPLES * OUTCOME_DECAY
            && self.failure_share() >= QUARANTINE_FAILURE_SHARE
    }
}

impl Owner {
    /// Counts the outcome of a run on a worker, and quarantines the worker if most of its recent runs
    /// have failed, clearly more than on the other workers of its service.
    pub(crate) fn record_outcome(&mut self, id: &Arc<str>, job: JobId, is_failed: bool) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if !worker.outcomes.add(job, is_failed) || !worker.outcomes.are_mostly_failures() {
            return;
        }
        let share = worker.outcomes.failure_share();
        let share_elsewhere = self.failure_share_elsewhere(id);
        if share < share_elsewhere * MIN_FAILURE_RATIO || !self.may_quarantine(id) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.quarantined_until = now + QUARANTINE_DURATION;
        }
        self.log(format!(
            "worker {id} quarantined: {:.0}% of its runs failed, {:.0}% elsewhere",
            share * 100.0,
            share_elsewhere * 100.0
        ));
    }

    /// Returns the workers of the service of a worker, without the worker itself.
    fn other_workers_of_service(&self, id: &Arc<str>) -> impl Iterator<Item = &Worker> {
        let service = self.workers.get(id).map(|worker| &worker.info.service);
        let others = self.workers.values();
        others.filter(move |other| {
            other.info.id != *id && Some(&other.info.service) == service && other.is_ready(self.now)
        })
    }

    /// Returns the share of failed runs on the other workers that are not in quarantine.
    fn failure_share_elsewhere(&self, id: &Arc<str>) -> f32 {
        let others = self.other_workers_of_service(id);
        let compared = others.filter(|other| !other.is_quarantined(self.now));
        let outcomes = compared.map(|other| &other.outcomes);
        let sum = outcomes.fold(Outcomes::default(), Outcomes::plus);
        sum.failure_share()
    }

    /// Returns whether a worker may be in quarantine beside those that are.
    fn may_quarantine(&self, id: &Arc<str>) -> bool {
        let others = || self.other_workers_of_service(id);
        let quarantined = others().filter(|other| other.is_quarantined(self.now));
        let max_quarantined = (others().count() + 1) / MAX_QUARANTINED_DIVISOR;
        quarantined.count() < max_quarantined.max(1)
    }
}

impl Worker {
    /// Returns whether the worker is in quarantine.
    pub(crate) fn is_quarantined(&self, now: Millis) -> bool {
        now < self.quarantined_until
    }
}

//! Workers that fail what they start.
//!
//! A failure of an attempt speaks against the worker only as far as the job's kind does not fail
//! elsewhere too.

use std::collections::BTreeMap;

use hyssop_core::{EventKind, JobId, Millis, Reason, ServiceName, Subject, WorkerName};

use crate::Cell;

/// Failures on a worker, discounted, before its evidence counts.
const MIN_FAILURES: f64 = 3.0;
/// Share of failures on the worker above which it may be bad.
const MIN_FAILURE_RATE: f64 = 0.5;
/// Factor by which the worker must fail more than the same kinds do elsewhere.
const MIN_FAILURE_RATIO: f64 = 3.0;
/// Discount of earlier evidence with each outcome.
const OUTCOME_DECAY: f64 = 0.9;
/// Wait before a quarantined worker is probed; it doubles with each failed probe.
const FIRST_PROBE_DELAY: Millis = Millis(30_000);
/// Longest wait before a probe.
const MAX_PROBE_DELAY: Millis = Millis(600_000);
/// Successful probes in a row that restore a worker.
const PROBES_TO_RESTORE: u32 = 2;
/// Workers quarantined at most, as a divisor of the cell's workers: when more seem bad, the cause
/// is more likely the jobs or the platform.
const MAX_QUARANTINED_DIVISOR: usize = 4;

/// Outcomes, discounted by later ones.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeStats {
    failures: f64,
    total: f64,
}

impl OutcomeStats {
    fn record(&mut self, failed: bool) {
        self.failures = self.failures * OUTCOME_DECAY + f64::from(u8::from(failed));
        self.total = self.total * OUTCOME_DECAY + 1.0;
    }

    fn failure_rate(self) -> f64 {
        if self.total > 0.0 {
            self.failures / self.total
        } else {
            0.0
        }
    }
}

/// A worker in quarantine.
#[derive(Clone, Debug)]
struct QuarantinedWorker {
    /// Time of the next probe.
    next_probe_at: Millis,
    probe_delay: Millis,
    /// Job that runs as a probe.
    probe_job: Option<JobId>,
    passed_probes: u32,
    /// Why the worker is in quarantine.
    evidence: String,
}

/// Evidence about the workers and kinds of a cell, and the workers in quarantine.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    outcomes: BTreeMap<WorkerName, BTreeMap<ServiceName, OutcomeStats>>,
    workers: BTreeMap<WorkerName, QuarantinedWorker>,
}

impl Quarantine {
    /// Returns the share of failures on a worker, and of the same kinds on the others.
    fn compare_failures(&self, name: &WorkerName) -> (OutcomeStats, f64) {
        let mut here = OutcomeStats::default();
        let mut elsewhere = OutcomeStats::default();
        let Some(kinds) = self.outcomes.get(name) else {
            return (here, 0.0);
        };
        for (kind, record) in kinds {
            here.failures += record.failures;
            here.total += record.total;
            for (other, theirs) in &self.outcomes {
                if other != name
                    && !self.workers.contains_key(other)
                    && let Some(record) = theirs.get(kind)
                {
                    elsewhere.failures += record.failures;
                    elsewhere.total += record.total;
                }
            }
        }
        (here, elsewhere.failure_rate())
    }

    /// Returns why a worker is in quarantine.
    pub(crate) fn evidence(&self, name: &WorkerName) -> Option<&str> {
        self.workers.get(name).map(|ward| ward.evidence.as_str())
    }

    /// Notes that a job placed on a quarantined worker is its probe.
    pub(crate) fn start_probe(&mut self, name: &WorkerName, job: &JobId) {
        if let Some(ward) = self.workers.get_mut(name) {
            ward.probe_job = Some(job.clone());
        }
    }

    fn is_failing(&self, name: &WorkerName) -> bool {
        let (here, elsewhere) = self.compare_failures(name);
        here.failures >= MIN_FAILURES
            && here.failure_rate() >= MIN_FAILURE_RATE
            && here.failure_rate() >= MIN_FAILURE_RATIO * elsewhere
    }
}

impl Cell {
    /// Takes in an outcome as evidence about the worker.
    pub(crate) fn record_outcome(
        &mut self,
        now: Millis,
        name: &WorkerName,
        job: &JobId,
        kind: &EventKind,
    ) {
        let failed = match kind {
            EventKind::Finished { .. } => false,
            EventKind::Failed { .. } => true,
            _ => return,
        };
        let Some(service) = self.ledger.jobs.get(job).map(|j| j.spec.kind.clone()) else {
            return;
        };
        let records = self.quarantine.outcomes.entry(name.clone()).or_default();
        records.entry(service).or_default().record(failed);
        if failed {
            let names = self.failed_workers.entry(job.clone()).or_default();
            names.insert(name.clone());
        }
        if self.quarantine.workers.contains_key(name) {
            self.record_probe_outcome(now, name, job, failed);
        } else if failed && self.quarantine.is_failing(name) && self.may_quarantine() {
            self.quarantine_worker(now, name);
        }
    }

    /// Tells whether one more worker may be quarantined.
    fn may_quarantine(&self) -> bool {
        let most =
            (self.workers.len() / MAX_QUARANTINED_DIVISOR).max(usize::from(self.workers.len() > 1));
        self.quarantine.workers.len() < most
    }

    fn quarantine_worker(&mut self, now: Millis, name: &WorkerName) {
        let (here, elsewhere) = self.quarantine.compare_failures(name);
        let text = format!(
            "{:.0}% of its attempts failed, {:.0}% elsewhere",
            here.failure_rate() * 100.0,
            elsewhere * 100.0
        );
        let ward = QuarantinedWorker {
            next_probe_at: now + FIRST_PROBE_DELAY,
            probe_delay: FIRST_PROBE_DELAY,
            probe_job: None,
            passed_probes: 0,
            evidence: text.clone(),
        };
        self.quarantine.workers.insert(name.clone(), ward);
        let reason = Reason::Quarantined(name.clone(), text);
        self.explanations
            .add(now, Subject::Worker(name.clone()), reason);
    }

    fn record_probe_outcome(&mut self, now: Millis, name: &WorkerName, job: &JobId, failed: bool) {
        let Some(ward) = self.quarantine.workers.get_mut(name) else {
            return;
        };
        if ward.probe_job.as_ref() != Some(job) {
            return;
        }
        ward.probe_job = None;
        if failed {
            ward.passed_probes = 0;
            ward.probe_delay = Millis((ward.probe_delay.0 * 2).min(MAX_PROBE_DELAY.0));
            ward.next_probe_at = now + ward.probe_delay;
            return;
        }
        ward.passed_probes += 1;
        ward.next_probe_at = now;
        if ward.passed_probes == PROBES_TO_RESTORE {
            self.quarantine.workers.remove(name);
            self.quarantine.outcomes.remove(name);
            let note = Reason::Note(format!(
                "worker {name} is restored after {PROBES_TO_RESTORE} probes"
            ));
            self.explanations
                .add(now, Subject::Worker(name.clone()), note);
        }
    }

    /// Tells whether a worker is in quarantine, whatever its probes.
    pub(crate) fn is_quarantined(&self, name: &WorkerName) -> bool {
        self.quarantine.workers.contains_key(name)
    }

    /// Tells whether a quarantined worker may run one job as a probe.
    pub(crate) fn is_probe_due(&self, now: Millis, name: &WorkerName) -> bool {
        let ward = self.quarantine.workers.get(name);
        ward.is_some_and(|ward| ward.probe_job.is_none() && now >= ward.next_probe_at)
    }

    /// Lets another probe follow one that ended without an outcome, such as by eviction.
    pub(crate) fn clear_ended_probes(&mut self) {
        let live =
            |job: &JobId| self.tasks.contains_key(job) || self.pending_intents.contains_key(job);
        for ward in self.quarantine.workers.values_mut() {
            if ward.probe_job.as_ref().is_some_and(|job| !live(job)) {
                ward.probe_job = None;
            }
        }
    }
}

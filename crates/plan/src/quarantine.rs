//! Workers that fail what they start.
//!
//! A failure of an attempt speaks against the worker only as far as the job's kind does not fail
//! elsewhere too.

use std::collections::BTreeMap;

use hyssop_core::{EventKind, JobId, Millis, Reason, ServiceName, Subject, WorkerName};

use crate::Cell;

/// Failures on a worker, discounted, before its evidence counts.
const LEAST_FAILURES: f64 = 3.0;
/// Share of failures on the worker above which it may be bad.
const BAD_SHARE: f64 = 0.5;
/// Factor by which the worker must fail more than the same kinds do elsewhere.
const BAD_FACTOR: f64 = 3.0;
/// Discount of earlier evidence with each outcome.
const DISCOUNT: f64 = 0.9;
/// Wait before a quarantined worker is probed; it doubles with each failed probe.
const PROBE_AFTER: Millis = Millis(30_000);
/// Longest wait before a probe.
const PROBE_LIMIT: Millis = Millis(600_000);
/// Successful probes in a row that restore a worker.
const PROBES: u32 = 2;
/// Workers quarantined at most, as a divisor of the cell's workers: when more seem bad, the cause
/// is more likely the jobs or the platform.
const CAP_DIVISOR: usize = 4;

/// Outcomes, discounted by later ones.
#[derive(Clone, Copy, Debug, Default)]
struct Record {
    failures: f64,
    total: f64,
}

impl Record {
    fn note(&mut self, failed: bool) {
        self.failures = self.failures * DISCOUNT + f64::from(u8::from(failed));
        self.total = self.total * DISCOUNT + 1.0;
    }

    fn share(self) -> f64 {
        if self.total > 0.0 {
            self.failures / self.total
        } else {
            0.0
        }
    }
}

/// A worker in quarantine.
#[derive(Clone, Debug)]
struct Ward {
    /// Time of the next probe.
    probe: Millis,
    wait: Millis,
    /// Job that runs as a probe.
    running: Option<JobId>,
    passed: u32,
    /// Why the worker is in quarantine.
    evidence: String,
}

/// Evidence about the workers and kinds of a cell, and the workers in quarantine.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    records: BTreeMap<WorkerName, BTreeMap<ServiceName, Record>>,
    wards: BTreeMap<WorkerName, Ward>,
}

impl Quarantine {
    /// Returns the share of failures on a worker, and of the same kinds on the others.
    fn compare(&self, name: &WorkerName) -> (Record, f64) {
        let mut here = Record::default();
        let mut elsewhere = Record::default();
        let Some(kinds) = self.records.get(name) else {
            return (here, 0.0);
        };
        for (kind, record) in kinds {
            here.failures += record.failures;
            here.total += record.total;
            for (other, theirs) in &self.records {
                if other != name
                    && !self.wards.contains_key(other)
                    && let Some(record) = theirs.get(kind)
                {
                    elsewhere.failures += record.failures;
                    elsewhere.total += record.total;
                }
            }
        }
        (here, elsewhere.share())
    }

    /// Returns why a worker is in quarantine.
    pub(crate) fn evidence(&self, name: &WorkerName) -> Option<&str> {
        self.wards.get(name).map(|ward| ward.evidence.as_str())
    }

    /// Notes that a job placed on a quarantined worker is its probe.
    pub(crate) fn note_probe(&mut self, name: &WorkerName, job: &JobId) {
        if let Some(ward) = self.wards.get_mut(name) {
            ward.running = Some(job.clone());
        }
    }

    fn is_bad(&self, name: &WorkerName) -> bool {
        let (here, elsewhere) = self.compare(name);
        here.failures >= LEAST_FAILURES
            && here.share() >= BAD_SHARE
            && here.share() >= BAD_FACTOR * elsewhere
    }
}

impl Cell {
    /// Takes in an outcome as evidence about the worker.
    pub(crate) fn judge_worker(
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
        let records = self.quarantine.records.entry(name.clone()).or_default();
        records.entry(service).or_default().note(failed);
        if failed {
            let names = self.failed.entry(job.clone()).or_default();
            names.insert(name.clone());
        }
        if self.quarantine.wards.contains_key(name) {
            self.judge_probe(now, name, job, failed);
        } else if failed && self.quarantine.is_bad(name) && self.may_quarantine() {
            self.commit(now, name);
        }
    }

    /// Tells whether one more worker may be quarantined.
    fn may_quarantine(&self) -> bool {
        let most = (self.workers.len() / CAP_DIVISOR).max(usize::from(self.workers.len() > 1));
        self.quarantine.wards.len() < most
    }

    fn commit(&mut self, now: Millis, name: &WorkerName) {
        let (here, elsewhere) = self.quarantine.compare(name);
        let text = format!(
            "{:.0}% of its attempts failed, {:.0}% elsewhere",
            here.share() * 100.0,
            elsewhere * 100.0
        );
        let ward = Ward {
            probe: now + PROBE_AFTER,
            wait: PROBE_AFTER,
            running: None,
            passed: 0,
            evidence: text.clone(),
        };
        self.quarantine.wards.insert(name.clone(), ward);
        let reason = Reason::Quarantined(name.clone(), text);
        self.explains
            .add(now, Subject::Worker(name.clone()), reason);
    }

    fn judge_probe(&mut self, now: Millis, name: &WorkerName, job: &JobId, failed: bool) {
        let Some(ward) = self.quarantine.wards.get_mut(name) else {
            return;
        };
        if ward.running.as_ref() != Some(job) {
            return;
        }
        ward.running = None;
        if failed {
            ward.passed = 0;
            ward.wait = Millis((ward.wait.0 * 2).min(PROBE_LIMIT.0));
            ward.probe = now + ward.wait;
            return;
        }
        ward.passed += 1;
        ward.probe = now;
        if ward.passed == PROBES {
            self.quarantine.wards.remove(name);
            self.quarantine.records.remove(name);
            let note = Reason::Other(format!("worker {name} is restored after {PROBES} probes"));
            self.explains.add(now, Subject::Worker(name.clone()), note);
        }
    }

    /// Tells whether a worker is in quarantine, whatever its probes.
    pub(crate) fn is_quarantined(&self, name: &WorkerName) -> bool {
        self.quarantine.wards.contains_key(name)
    }

    /// Tells whether a quarantined worker may run one job as a probe.
    pub(crate) fn is_probe_due(&self, now: Millis, name: &WorkerName) -> bool {
        let ward = self.quarantine.wards.get(name);
        ward.is_some_and(|ward| ward.running.is_none() && now >= ward.probe)
    }

    /// Lets another probe follow one that ended without an outcome, such as by eviction.
    pub(crate) fn renew_probes(&mut self) {
        let live = |job: &JobId| self.tasks.contains_key(job) || self.proposed.contains_key(job);
        for ward in self.quarantine.wards.values_mut() {
            if ward.running.as_ref().is_some_and(|job| !live(job)) {
                ward.running = None;
            }
        }
    }
}

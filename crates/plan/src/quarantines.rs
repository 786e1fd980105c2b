//! Quarantine of workers on which attempts fail more often than on others.
//!
//! Failures of an attempt count against the worker only if jobs of the same kind fail less often on
//! other workers.

use std::collections::BTreeMap;

use hyssop_core::{EventKind, JobId, Millis, Reason, ServiceName, Subject, WorkerName};

use crate::Cell;

/// Decayed number of failures on a worker below which it is not quarantined.
const MIN_FAILURES: f64 = 3.0;
/// Failure rate from which on a worker may be quarantined.
const MIN_FAILURE_RATE: f64 = 0.5;
/// Smallest ratio of a quarantined worker's failure rate to that of the same kinds elsewhere.
const MIN_FAILURE_RATIO: f64 = 3.0;
/// Factor by which the counts of earlier outcomes are reduced with each new one.
const OUTCOME_DECAY: f64 = 0.9;
/// Delay before a quarantined worker is probed; it doubles with each failed probe.
const FIRST_PROBE_DELAY: Millis = Millis(30_000);
/// Longest delay before a probe.
const MAX_PROBE_DELAY: Millis = Millis(600_000);
/// Time after which a probe that still runs counts as successful. Failures of a bad worker come
/// soon, and a job that runs for hours must not keep the worker in quarantine.
const PROBE_RUN_TIME: Millis = FIRST_PROBE_DELAY;
/// Successful probes in a row that restore a worker.
const PROBES_TO_RESTORE: u32 = 2;
/// Divisor of the cell's number of workers for the largest number in quarantine: when more of them
/// fail, the cause is more likely the jobs or the platform.
const MAX_QUARANTINED_DIVISOR: usize = 4;

/// Decayed counts of the outcomes of attempts.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeStats {
    failures: f64,
    total: f64,
}

impl OutcomeStats {
    fn record(&mut self, has_failed: bool) {
        self.failures = self.failures * OUTCOME_DECAY + f64::from(u8::from(has_failed));
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
    /// Time from which on the next probe may be placed.
    next_probe_at: Millis,
    /// Delay before the last scheduled probe.
    probe_delay: Millis,
    /// Job that is placed or runs as a probe.
    probe_job: Option<JobId>,
    /// Successful probes in a row.
    passed_probes: u32,
    /// Failure rates for which the worker was quarantined, for explanations.
    evidence: String,
}

/// Outcomes by worker and kind of job, and the workers in quarantine.
#[derive(Debug, Default)]
pub(crate) struct Quarantine {
    outcomes: BTreeMap<WorkerName, BTreeMap<ServiceName, OutcomeStats>>,
    workers: BTreeMap<WorkerName, QuarantinedWorker>,
}

impl Quarantine {
    /// Returns the outcomes on a worker, and the failure rate of the same kinds on workers that are
    /// not in quarantine.
    fn compare_failures(&self, name: &WorkerName) -> (OutcomeStats, f64) {
        let mut own = OutcomeStats::default();
        let mut elsewhere = OutcomeStats::default();
        let Some(kinds) = self.outcomes.get(name) else {
            return (own, 0.0);
        };
        for (kind, stats) in kinds {
            own.failures += stats.failures;
            own.total += stats.total;
            for (other, outcomes) in &self.outcomes {
                if other != name
                    && !self.workers.contains_key(other)
                    && let Some(stats) = outcomes.get(kind)
                {
                    elsewhere.failures += stats.failures;
                    elsewhere.total += stats.total;
                }
            }
        }
        (own, elsewhere.failure_rate())
    }

    /// Returns the failure rates for which a worker is in quarantine.
    pub(crate) fn evidence(&self, name: &WorkerName) -> Option<&str> {
        self.workers
            .get(name)
            .map(|quarantined| quarantined.evidence.as_str())
    }

    /// Records that a job placed on a quarantined worker is its probe.
    pub(crate) fn start_probe(&mut self, name: &WorkerName, job: &JobId) {
        if let Some(quarantined) = self.workers.get_mut(name) {
            quarantined.probe_job = Some(job.clone());
        }
    }

    /// Returns whether a worker fails often enough to be quarantined.
    fn is_failing(&self, name: &WorkerName) -> bool {
        let (own, elsewhere) = self.compare_failures(name);
        own.failures >= MIN_FAILURES
            && own.failure_rate() >= MIN_FAILURE_RATE
            && own.failure_rate() >= MIN_FAILURE_RATIO * elsewhere
    }
}

impl Cell {
    /// Counts the outcome of an attempt for its worker, and starts or ends a quarantine.
    pub(crate) fn record_outcome(
        &mut self,
        now: Millis,
        name: &WorkerName,
        job: &JobId,
        kind: &EventKind,
    ) {
        let has_failed = match kind {
            EventKind::Finished { .. } => false,
            EventKind::Failed { .. } => true,
            _ => return,
        };
        let Some(job_kind) = self.ledger.jobs.get(job).map(|j| j.spec.kind.clone()) else {
            return;
        };
        let outcomes = self.quarantine.outcomes.entry(name.clone()).or_default();
        outcomes.entry(job_kind).or_default().record(has_failed);
        if has_failed {
            let names = self.failed_workers.entry(job.clone()).or_default();
            names.insert(name.clone());
        }
        if self.quarantine.workers.contains_key(name) {
            self.record_probe_outcome(now, name, job, has_failed);
        } else if has_failed && self.quarantine.is_failing(name) && self.may_quarantine() {
            self.quarantine_worker(now, name);
        }
    }

    /// Returns whether one more worker may be quarantined.
    fn may_quarantine(&self) -> bool {
        let max_quarantined =
            (self.workers.len() / MAX_QUARANTINED_DIVISOR).max(usize::from(self.workers.len() > 1));
        self.quarantine.workers.len() < max_quarantined
    }

    fn quarantine_worker(&mut self, now: Millis, name: &WorkerName) {
        let (own, elsewhere) = self.quarantine.compare_failures(name);
        let text = format!(
            "{:.0}% of its attempts failed, {:.0}% elsewhere",
            own.failure_rate() * 100.0,
            elsewhere * 100.0
        );
        let quarantined = QuarantinedWorker {
            next_probe_at: now + FIRST_PROBE_DELAY,
            probe_delay: FIRST_PROBE_DELAY,
            probe_job: None,
            passed_probes: 0,
            evidence: text.clone(),
        };
        self.quarantine.workers.insert(name.clone(), quarantined);
        let reason = Reason::Quarantined(name.clone(), text);
        self.explanations
            .add(now, Subject::Worker(name.clone()), reason);
    }

    /// Ends the quarantine after `PROBES_TO_RESTORE` successful probes, and delays the next probe
    /// after a failed one.
    fn record_probe_outcome(
        &mut self,
        now: Millis,
        name: &WorkerName,
        job: &JobId,
        has_failed: bool,
    ) {
        let Some(quarantined) = self.quarantine.workers.get_mut(name) else {
            return;
        };
        if quarantined.probe_job.as_ref() != Some(job) {
            return;
        }
        quarantined.probe_job = None;
        if has_failed {
            quarantined.passed_probes = 0;
            quarantined.probe_delay =
                Millis((quarantined.probe_delay.0 * 2).min(MAX_PROBE_DELAY.0));
            quarantined.next_probe_at = now + quarantined.probe_delay;
            return;
        }
        quarantined.passed_probes += 1;
        quarantined.next_probe_at = now;
        if quarantined.passed_probes == PROBES_TO_RESTORE {
            self.quarantine.workers.remove(name);
            self.quarantine.outcomes.remove(name);
            let note = Reason::Other(format!(
                "worker {name} is restored after {PROBES_TO_RESTORE} probes"
            ));
            self.explanations
                .add(now, Subject::Worker(name.clone()), note);
        }
    }

    /// Returns whether a worker is in quarantine, also while it takes a probe.
    pub(crate) fn is_quarantined(&self, name: &WorkerName) -> bool {
        self.quarantine.workers.contains_key(name)
    }

    /// Returns whether a quarantined worker may run one job as a probe now.
    pub(crate) fn is_probe_due(&self, now: Millis, name: &WorkerName) -> bool {
        let quarantined = self.quarantine.workers.get(name);
        quarantined.is_some_and(|quarantined| {
            quarantined.probe_job.is_none() && now >= quarantined.next_probe_at
        })
    }

    /// Clears probes that have ended without an outcome, such as by eviction, so that others
    /// follow, and counts those that have run for long enough as successful.
    pub(crate) fn update_probes(&mut self, now: Millis) {
        let has_passed = |job: &JobId| {
            let task = self.tasks.get(job);
            task.is_some_and(|t| t.is_started && now.since(t.running_since) >= PROBE_RUN_TIME)
        };
        let workers = self.quarantine.workers.iter();
        let probes = workers.filter_map(|(name, worker)| Some((name, worker.probe_job.as_ref()?)));
        let passed: Vec<_> = probes
            .filter(|(_, job)| has_passed(job))
            .map(|(name, job)| (name.clone(), job.clone()))
            .collect();
        for (name, job) in passed {
            self.record_probe_outcome(now, &name, &job, false);
        }
        let is_placed =
            |job: &JobId| self.tasks.contains_key(job) || self.pending_intents.contains_key(job);
        for quarantined in self.quarantine.workers.values_mut() {
            if quarantined
                .probe_job
                .as_ref()
                .is_some_and(|job| !is_placed(job))
            {
                quarantined.probe_job = None;
            }
        }
    }
}

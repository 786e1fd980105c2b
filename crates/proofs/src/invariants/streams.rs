//! Checks of the cell streams: allocations fit the workers, and each job has one open attempt, one
//! completion and one receipt.
//!
//! The replay here is independent of the implementation under test.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{
    Attempt, CellId, CellRecord, Envelope, Intent, JobId, Offset, RecordId, Resources, Term,
    WorkerName,
};

use super::{Findings, Observation};

#[derive(Debug, Default)]
struct Replay {
    term: Option<Term>,
    has_resigned: bool,
    record_ids: BTreeSet<RecordId>,
    open_attempts: BTreeMap<JobId, (Attempt, WorkerName)>,
}

#[derive(Debug, Default)]
pub(super) struct Streams {
    cells: BTreeMap<CellId, Replay>,
    capacities: BTreeMap<WorkerName, Resources>,
    needs: BTreeMap<JobId, Resources>,
    accepted_jobs: BTreeSet<JobId>,
    results: BTreeMap<JobId, String>,
    ended_jobs: BTreeSet<JobId>,
    receipts: BTreeMap<JobId, String>,
}

impl Streams {
    pub(super) fn observe(&mut self, obs: &Observation, findings: &mut Findings) {
        match obs {
            Observation::WorkerRegistered {
                worker, capacity, ..
            } => {
                self.capacities.insert(worker.clone(), *capacity);
            }
            Observation::RecordAppended {
                cell,
                offset,
                record,
            } => self.apply_record(cell, *offset, record, findings),
            Observation::JobAccepted(job) => {
                self.accepted_jobs.insert(job.clone());
            }
            Observation::JobCancelled(job) => {
                self.ended_jobs.insert(job.clone());
            }
            Observation::ResultDelivered {
                job,
                receipt,
                result,
            } => self.check_result(job, receipt, result, findings),
            _ => {}
        }
    }

    pub(super) fn open_jobs(&self) -> Vec<JobId> {
        let open =
            |job: &&JobId| !self.results.contains_key(*job) && !self.ended_jobs.contains(*job);
        self.accepted_jobs.iter().filter(open).cloned().collect()
    }

    fn apply_record(
        &mut self,
        cell: &CellId,
        offset: Offset,
        record: &Envelope<CellRecord>,
        findings: &mut Findings,
    ) {
        let replay = self.cells.entry(cell.clone()).or_default();
        if !replay.record_ids.insert(record.id) {
            return;
        }
        if let CellRecord::Claim { prior, .. } = &record.body {
            if *prior == replay.term {
                replay.term = Some(Term(offset.0));
                replay.has_resigned = false;
            }
            return;
        }
        if Some(record.term) == replay.term && !replay.has_resigned {
            self.apply_body(cell, &record.body, findings);
        }
    }

    fn apply_body(&mut self, cell: &CellId, body: &CellRecord, findings: &mut Findings) {
        match body {
            CellRecord::Resigned => {
                if let Some(replay) = self.cells.get_mut(cell) {
                    replay.has_resigned = true;
                }
            }
            CellRecord::Accepted { spec, .. } => {
                self.needs.insert(spec.id.clone(), spec.needs);
            }
            CellRecord::Intents(intents) => {
                for intent in intents {
                    self.apply_intent(cell, intent, findings);
                }
                self.check_allocations(cell, findings);
            }
            CellRecord::Finished {
                job,
                attempt,
                result,
            } => {
                let was_open = self.close_attempt(cell, job, *attempt);
                if was_open && !self.ended_jobs.contains(job) {
                    self.finish_job(job, result, findings);
                }
            }
            CellRecord::Released { job, attempt, .. }
            | CellRecord::Failed { job, attempt, .. }
            | CellRecord::Lost { job, attempt, .. } => {
                self.close_attempt(cell, job, *attempt);
            }
            CellRecord::Cancelled { job } | CellRecord::Abandoned { job, .. } => {
                self.ended_jobs.insert(job.clone());
            }
            _ => {}
        }
    }

    fn apply_intent(&mut self, cell: &CellId, intent: &Intent, findings: &mut Findings) {
        let others = self.cells.iter();
        let open = others.filter(|(_, replay)| replay.open_attempts.contains_key(&intent.job));
        for (other, _) in open {
            let text = format!("intent for {} in {cell} while open in {other}", intent.job);
            findings.add(2, text);
        }
        if self.results.contains_key(&intent.job) {
            findings.add(0, format!("intent for {}, which has finished", intent.job));
        }
        if let Some(replay) = self.cells.get_mut(cell) {
            let value = (intent.attempt, intent.worker.clone());
            replay.open_attempts.insert(intent.job.clone(), value);
        }
    }

    fn close_attempt(&mut self, cell: &CellId, job: &JobId, attempt: Attempt) -> bool {
        let Some(replay) = self.cells.get_mut(cell) else {
            return false;
        };
        let open = replay
            .open_attempts
            .get(job)
            .is_some_and(|(open, _)| *open == attempt);
        if open {
            replay.open_attempts.remove(job);
        }
        open
    }

    fn finish_job(&mut self, job: &JobId, result: &str, findings: &mut Findings) {
        if self
            .results
            .insert(job.clone(), result.to_owned())
            .is_some()
        {
            findings.add(0, format!("{job} finished twice"));
        }
    }

    fn check_allocations(&self, cell: &CellId, findings: &mut Findings) {
        let mut sums: BTreeMap<&WorkerName, Resources> = BTreeMap::new();
        let open = self.cells.get(cell).map(|replay| &replay.open_attempts);
        for (job, (_, worker)) in open.into_iter().flatten() {
            let needs = self.needs.get(job).copied().unwrap_or_default();
            let sum = sums.entry(worker).or_default();
            *sum = sum.checked_add(needs).unwrap_or(*sum);
        }
        for (worker, sum) in sums {
            let capacity = self.capacities.get(worker).copied().unwrap_or_default();
            if !sum.fits(capacity) {
                findings.add(1, format!("{worker} has {sum:?} allocated of {capacity:?}"));
            }
        }
    }

    fn check_result(&mut self, job: &JobId, receipt: &str, result: &str, findings: &mut Findings) {
        let first = self
            .receipts
            .entry(job.clone())
            .or_insert_with(|| receipt.to_owned());
        if first != receipt {
            let text = format!("the result of {job} was returned under {first} and {receipt}");
            findings.add(0, text);
        }
        if self
            .results
            .get(job)
            .is_some_and(|recorded| recorded != result)
        {
            findings.add(0, format!("{job} was returned with another result"));
        }
    }
}

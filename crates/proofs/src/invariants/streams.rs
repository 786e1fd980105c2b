//! Checks of the cell streams: promises, one open attempt, one end and one receipt per job.
//!
//! The replay is a few plain rules of its own, independent of the one under test.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{
    Attempt, CellId, CellRecord, Envelope, Intent, JobId, Offset, RecordId, Resources, Term,
    WorkerName,
};

use super::{Findings, Obs};

#[derive(Debug, Default)]
struct Replay {
    term: Option<Term>,
    resigned: bool,
    ids: BTreeSet<RecordId>,
    open: BTreeMap<JobId, (Attempt, WorkerName)>,
}

#[derive(Debug, Default)]
pub(super) struct Streams {
    cells: BTreeMap<CellId, Replay>,
    capacities: BTreeMap<WorkerName, Resources>,
    needs: BTreeMap<JobId, Resources>,
    accepted: BTreeSet<JobId>,
    finished: BTreeMap<JobId, String>,
    ended: BTreeSet<JobId>,
    receipts: BTreeMap<JobId, String>,
}

impl Streams {
    pub(super) fn observe(&mut self, obs: &Obs, findings: &mut Findings) {
        match obs {
            Obs::Worker {
                worker, capacity, ..
            } => {
                self.capacities.insert(worker.clone(), *capacity);
            }
            Obs::Record {
                cell,
                offset,
                record,
            } => self.record(cell, *offset, record, findings),
            Obs::JobAccepted(job) => {
                self.accepted.insert(job.clone());
            }
            Obs::JobCancelled(job) => {
                self.ended.insert(job.clone());
            }
            Obs::Result {
                job,
                receipt,
                result,
            } => self.result(job, receipt, result, findings),
            _ => {}
        }
    }

    pub(super) fn open_jobs(&self) -> Vec<JobId> {
        let open = |job: &&JobId| !self.finished.contains_key(*job) && !self.ended.contains(*job);
        self.accepted.iter().filter(open).cloned().collect()
    }

    fn record(
        &mut self,
        cell: &CellId,
        offset: Offset,
        record: &Envelope<CellRecord>,
        findings: &mut Findings,
    ) {
        let replay = self.cells.entry(cell.clone()).or_default();
        if !replay.ids.insert(record.id) {
            return;
        }
        if let CellRecord::Claim { prior, .. } = &record.body {
            if *prior == replay.term {
                replay.term = Some(Term(offset.0));
                replay.resigned = false;
            }
            return;
        }
        if Some(record.term) == replay.term && !replay.resigned {
            self.apply(cell, &record.body, findings);
        }
    }

    fn apply(&mut self, cell: &CellId, body: &CellRecord, findings: &mut Findings) {
        match body {
            CellRecord::Resigned => {
                if let Some(replay) = self.cells.get_mut(cell) {
                    replay.resigned = true;
                }
            }
            CellRecord::Accepted { spec, .. } => {
                self.needs.insert(spec.id.clone(), spec.needs);
            }
            CellRecord::Intents(intents) => {
                for intent in intents {
                    self.intend(cell, intent, findings);
                }
                self.promises(cell, findings);
            }
            CellRecord::Finished {
                job,
                attempt,
                result,
            } => {
                let closed = self.close(cell, job, *attempt);
                if closed && !self.ended.contains(job) {
                    self.finish(job, result, findings);
                }
            }
            CellRecord::Released { job, attempt, .. }
            | CellRecord::Failed { job, attempt, .. }
            | CellRecord::Lost { job, attempt, .. } => {
                self.close(cell, job, *attempt);
            }
            CellRecord::Cancelled { job } | CellRecord::Abandoned { job, .. } => {
                self.ended.insert(job.clone());
            }
            _ => {}
        }
    }

    fn intend(&mut self, cell: &CellId, intent: &Intent, findings: &mut Findings) {
        let others = self.cells.iter();
        let open = others.filter(|(_, replay)| replay.open.contains_key(&intent.job));
        for (other, _) in open {
            let text = format!("intent for {} in {cell} while open in {other}", intent.job);
            findings.add(2, text);
        }
        if self.finished.contains_key(&intent.job) {
            findings.add(0, format!("intent for {}, which has finished", intent.job));
        }
        if let Some(replay) = self.cells.get_mut(cell) {
            let value = (intent.attempt, intent.worker.clone());
            replay.open.insert(intent.job.clone(), value);
        }
    }

    fn close(&mut self, cell: &CellId, job: &JobId, attempt: Attempt) -> bool {
        let Some(replay) = self.cells.get_mut(cell) else {
            return false;
        };
        let open = replay.open.get(job).is_some_and(|(a, _)| *a == attempt);
        if open {
            replay.open.remove(job);
        }
        open
    }

    fn finish(&mut self, job: &JobId, result: &str, findings: &mut Findings) {
        if self
            .finished
            .insert(job.clone(), result.to_owned())
            .is_some()
        {
            findings.add(0, format!("{job} finished twice"));
        }
    }

    fn promises(&self, cell: &CellId, findings: &mut Findings) {
        let mut sums: BTreeMap<&WorkerName, Resources> = BTreeMap::new();
        let open = self.cells.get(cell).map(|replay| &replay.open);
        for (job, (_, worker)) in open.into_iter().flatten() {
            let needs = self.needs.get(job).copied().unwrap_or_default();
            let sum = sums.entry(worker).or_default();
            *sum = sum.checked_add(needs).unwrap_or(*sum);
        }
        for (worker, sum) in sums {
            let capacity = self.capacities.get(worker).copied().unwrap_or_default();
            if !sum.fits(capacity) {
                findings.add(1, format!("{worker} is promised {sum:?} of {capacity:?}"));
            }
        }
    }

    fn result(&mut self, job: &JobId, receipt: &str, result: &str, findings: &mut Findings) {
        let first = self
            .receipts
            .entry(job.clone())
            .or_insert_with(|| receipt.to_owned());
        if first != receipt {
            let text = format!("the result of {job} went out under {first} and {receipt}");
            findings.add(0, text);
        }
        if self.finished.get(job).is_some_and(|known| known != result) {
            findings.add(0, format!("{job} was answered with another result"));
        }
    }
}

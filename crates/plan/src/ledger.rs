//! State of a cell as of its stream: the owner, and the jobs with their attempts.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hyssop_core::{
    Attempt, CellId, CellRecord, Crash, EntryName, Envelope, EvictionCause, Evictions, Incarnation,
    Intent, JobId, JobSpec, Offset, RecordId, Term,
};
use serde::{Deserialize, Serialize};

use crate::encodings::{SizeClass, SnapshotSize, snapshot_bytes};
use crate::jobs::{End, Job, Past};

/// Number of record identifiers remembered to skip repeated appends. A repetition follows the first
/// append within seconds; a later copy is harmless because its preconditions no longer hold.
const REMEMBERED_RECORD_IDS: usize = 8_192;
/// Snapshot bytes of the open jobs, above which no more jobs are accepted. This limit and the two
/// below add up to 1,968 KiB of the 2 MiB that a record of the log may hold.
pub(crate) const LIVE_BYTES_LIMIT: usize = 1_200 * 1024;
/// Snapshot bytes of the jobs with unfetched results, above which the oldest result is dropped.
pub(crate) const UNFETCHED_BYTES_LIMIT: usize = 512 * 1024;
/// Snapshot bytes of the other ended jobs, above which the oldest ones are removed. The order in
/// which they ended is the same for every reader, so that all remove them at the same offset.
const ENDED_BYTES_LIMIT: usize = 256 * 1024;

/// Bytes that the jobs take in a snapshot, by size limit.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sizes {
    pub(crate) live: usize,
    unfetched: usize,
    ended: usize,
}

impl Sizes {
    fn bytes_mut(&mut self, class: SizeClass) -> &mut usize {
        match class {
            SizeClass::Live => &mut self.live,
            SizeClass::Unfetched => &mut self.unfetched,
            SizeClass::Ended => &mut self.ended,
        }
    }
}

/// State of a cell after all records below an offset. It depends on nothing but the records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Ledger {
    /// Offset of the next record to apply.
    #[serde(rename = "applied")]
    pub(crate) next_offset: Offset,
    /// Term in force; `None` before the first claim.
    pub(crate) term: Option<Term>,
    /// Entry that owns the cell in that term.
    pub(crate) owner: Option<EntryName>,
    /// Incarnation of the owner's process.
    pub(crate) incarnation: Incarnation,
    /// Whether the owner of the term in force has resigned.
    #[serde(rename = "resigned")]
    pub(crate) is_resigned: bool,
    /// Whether the owner of the term before had resigned, or there was none, so that nobody renewed
    /// leases when the term began.
    #[serde(rename = "clean")]
    pub(crate) is_clean_takeover: bool,
    #[serde(with = "crate::encodings::job_list")]
    pub(crate) jobs: BTreeMap<JobId, Job>,
    /// Jobs finished so far.
    #[serde(rename = "finished")]
    pub(crate) finished_count: u64,
    /// Evictions so far, by cause.
    pub(crate) evictions: Evictions,
    /// Whether records expired before they were read, so that the term in force is not certain.
    #[serde(rename = "lost")]
    pub(crate) has_lost_records: bool,
    /// Whether records expired before they were read and no snapshot has replaced them yet, so that
    /// jobs may be missing.
    #[serde(skip)]
    pub(crate) is_partial: bool,
    /// Records read since that gap, to be replayed on top of the next snapshot.
    #[serde(skip)]
    pub(crate) records_since_gap: VecDeque<(Offset, Envelope<CellRecord>)>,
    /// Ended jobs without an unfetched result, oldest first.
    #[serde(rename = "ended")]
    ended_jobs: VecDeque<JobId>,
    /// Finished jobs with unfetched results, oldest first.
    #[serde(rename = "unfetched")]
    unfetched_jobs: VecDeque<JobId>,
    /// Bytes that the jobs take in a snapshot.
    #[serde(skip)]
    pub(crate) sizes: Sizes,
    /// Jobs whose results were dropped since the caller last took the list.
    #[serde(skip)]
    pub(crate) dropped_results: Vec<JobId>,
    /// Identifiers of the latest records, to skip repeated appends.
    #[serde(skip)]
    record_ids: BTreeSet<RecordId>,
    /// The same identifiers, oldest first.
    #[serde(skip)]
    record_order: VecDeque<RecordId>,
    /// Jobs that need a worker.
    #[serde(skip)]
    pub(crate) waiting_jobs: BTreeSet<JobId>,
    /// Jobs that are moved to another cell, which has not accepted them yet.
    #[serde(skip)]
    pub(crate) departing_jobs: BTreeSet<JobId>,
    /// Jobs changed since the caller last took the list.
    #[serde(skip)]
    pub(crate) changed_jobs: Vec<JobId>,
}

impl Ledger {
    /// Applies the record at `offset`, unless it is a repetition or its term is not in force.
    pub(crate) fn apply(&mut self, offset: Offset, record: &Envelope<CellRecord>) {
        if offset < self.next_offset {
            return;
        }
        self.next_offset = offset.next();
        if !self.remember_id(record.id) {
            return;
        }
        if let CellRecord::Claim {
            owner,
            incarnation,
            prior,
        } = &record.body
        {
            self.apply_claim(offset, owner, *incarnation, *prior);
            return;
        }
        if self.has_lost_records && Some(record.term) > self.term {
            self.term = Some(record.term);
        }
        if self.term != Some(record.term) || self.is_resigned {
            return;
        }
        self.apply_change(&record.body);
    }

    /// Stores a record's identifier. Returns false if it is stored already.
    fn remember_id(&mut self, id: RecordId) -> bool {
        if !self.record_ids.insert(id) {
            return false;
        }
        self.record_order.push_back(id);
        if self.record_order.len() > REMEMBERED_RECORD_IDS
            && let Some(old) = self.record_order.pop_front()
        {
            self.record_ids.remove(&old);
        }
        true
    }

    /// Starts a new term if the claim was made against the term in force.
    fn apply_claim(
        &mut self,
        offset: Offset,
        owner: &EntryName,
        incarnation: Incarnation,
        prior: Option<Term>,
    ) {
        if prior != self.term && !self.has_lost_records {
            return;
        }
        self.has_lost_records = false;
        self.is_clean_takeover = self.is_resigned || self.term.is_none();
        self.term = Some(Term(offset.0));
        self.owner = Some(owner.clone());
        self.incarnation = incarnation;
        self.is_resigned = false;
    }

    fn apply_change(&mut self, body: &CellRecord) {
        match body {
            CellRecord::Claim { .. } | CellRecord::Snapshot { .. } => {}
            CellRecord::Resigned => self.is_resigned = true,
            CellRecord::Accepted {
                spec,
                attempt,
                checkpoint,
                crashes,
            } => {
                let past = Past {
                    attempt: *attempt,
                    checkpoint: *checkpoint,
                    crashes: *crashes,
                };
                self.accept_job(spec, past);
            }
            CellRecord::Intents(intents) => intents.iter().for_each(|i| self.open_attempt(i)),
            CellRecord::Finished {
                job,
                attempt,
                result,
            } => self.finish_job(job, *attempt, result),
            CellRecord::Released {
                job,
                attempt,
                checkpoint,
                cause,
            } => self.release_attempt(job, *attempt, *checkpoint, *cause),
            CellRecord::Failed { job, attempt, .. } => self.fail_attempt(job, *attempt),
            CellRecord::Lost {
                job,
                attempt,
                checkpoint,
                crash,
            } => self.mark_attempt_lost(job, *attempt, *checkpoint, *crash),
            CellRecord::Abandoned { job, cause } => self.end_job(
                job,
                End::Failed {
                    cause: cause.clone(),
                },
            ),
            CellRecord::Cancelled { job } => self.end_job(job, End::Cancelled),
            CellRecord::Moved { job, to } => self.move_job(job, to),
            CellRecord::Delivered { job } => self.mark_delivered(job),
            CellRecord::Fetched { job, receipt } => self.mark_fetched(job, receipt),
        }
    }

    /// Adds a job. A known job is replaced only if it comes back from another cell, or is a service
    /// task that starts again.
    fn accept_job(&mut self, spec: &JobSpec, past: Past) {
        let attempt = past.attempt;
        if let Some(job) = self.jobs.get(&spec.id) {
            let is_returning = matches!(job.end, Some(End::Moved { .. })) && attempt > job.attempt;
            let is_restarted = job.is_service_task() && job.is_closed() && attempt >= job.attempt;
            if !is_returning && !is_restarted {
                return;
            }
            self.ended_jobs.retain(|id| *id != spec.id);
            self.update_size(&spec.id, false);
        }
        let job = Job::new(spec.clone(), past);
        self.jobs.insert(spec.id.clone(), job);
        self.mark_changed(&spec.id);
    }

    /// Opens the next attempt of a waiting job on a worker.
    fn open_attempt(&mut self, intent: &Intent) {
        let Some(job) = self.jobs.get_mut(&intent.job) else {
            return;
        };
        if !job.is_waiting() || intent.attempt != job.attempt.next() {
            return;
        }
        job.attempt = intent.attempt;
        job.attempt_worker = Some(intent.worker.clone());
        job.last_worker = Some(intent.worker.clone());
        self.mark_changed(&intent.job);
    }

    /// Closes `attempt` if it is open, and returns its job.
    fn close_attempt(&mut self, id: &JobId, attempt: Attempt) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        if !job.is_open(attempt) {
            return None;
        }
        job.attempt_worker = None;
        Some(job)
    }

    fn finish_job(&mut self, id: &JobId, attempt: Attempt, result: &str) {
        let Some(job) = self.close_attempt(id, attempt) else {
            return;
        };
        if job.end.is_none() {
            job.end = Some(End::Finished {
                attempt,
                result: result.to_owned(),
                receipt: None,
                is_dropped: false,
            });
            self.finished_count += 1;
        }
        self.mark_changed(id);
    }

    fn release_attempt(
        &mut self,
        id: &JobId,
        attempt: Attempt,
        checkpoint: u64,
        cause: EvictionCause,
    ) {
        let Some(job) = self.close_attempt(id, attempt) else {
            return;
        };
        job.checkpoint = job.checkpoint.max(checkpoint);
        if job.end.is_none() {
            job.eviction_count += 1;
            self.evictions.increment(cause);
        }
        self.mark_changed(id);
    }

    fn fail_attempt(&mut self, id: &JobId, attempt: Attempt) {
        if let Some(job) = self.close_attempt(id, attempt) {
            job.failure_count += 1;
            self.mark_changed(id);
        }
    }

    fn mark_attempt_lost(
        &mut self,
        id: &JobId,
        attempt: Attempt,
        checkpoint: u64,
        crash: Option<Crash>,
    ) {
        if let Some(job) = self.close_attempt(id, attempt) {
            job.checkpoint = job.checkpoint.max(checkpoint);
            if let Some(crash) = crash {
                job.crashes.add(crash);
            }
            self.mark_changed(id);
        }
    }

    fn end_job(&mut self, id: &JobId, end: End) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.end.is_none()
        {
            job.end = Some(end);
            self.mark_changed(id);
        }
    }

    fn move_job(&mut self, id: &JobId, to: &CellId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.is_waiting()
        {
            job.attempt = job.attempt.next();
            job.end = Some(End::Moved {
                to: to.clone(),
                is_delivered: false,
            });
            self.mark_changed(id);
        }
    }

    fn mark_delivered(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(End::Moved { is_delivered, .. }) = &mut job.end
            && !*is_delivered
        {
            *is_delivered = true;
            self.mark_changed(id);
        }
    }

    /// Stores the receipt of the first fetch of a result.
    fn mark_fetched(&mut self, id: &JobId, new_receipt: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(End::Finished {
                receipt,
                is_dropped: false,
                ..
            }) = &mut job.end
            && receipt.is_none()
        {
            *receipt = Some(new_receipt.to_owned());
            self.unfetched_jobs.retain(|other| other != id);
            self.ended_jobs.push_back(id.clone());
            self.mark_changed(id);
        }
    }

    /// Updates the indexes and sizes after a job has changed.
    fn mark_changed(&mut self, id: &JobId) {
        self.update_indexes(id);
        self.changed_jobs.push(id.clone());
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_closed() && !job.is_listed {
            job.is_listed = true;
            job.spec.payload.clear();
            if job.is_unfetched() {
                self.unfetched_jobs.push_back(id.clone());
            } else {
                self.ended_jobs.push_back(id.clone());
            }
        }
        self.update_size(id, true);
        self.enforce_size_limits();
    }

    /// Updates the sizes with a job's current size, or subtracts it before the job is replaced.
    fn update_size(&mut self, id: &JobId, is_present: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        *self.sizes.bytes_mut(job.snapshot_size.0) -= job.snapshot_size.1;
        job.snapshot_size = if is_present {
            (job.size_class(), snapshot_bytes(job))
        } else {
            SnapshotSize::default()
        };
        *self.sizes.bytes_mut(job.snapshot_size.0) += job.snapshot_size.1;
    }

    fn update_indexes(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let is_departing = matches!(
            job.end,
            Some(End::Moved {
                is_delivered: false,
                ..
            })
        );
        set_membership(&mut self.waiting_jobs, id, job.is_waiting());
        set_membership(&mut self.departing_jobs, id, is_departing);
    }

    /// Drops the oldest unfetched results and removes the oldest ended jobs, until a snapshot fits
    /// in a record.
    fn enforce_size_limits(&mut self) {
        while self.sizes.unfetched > UNFETCHED_BYTES_LIMIT
            && let Some(old) = self.unfetched_jobs.pop_front()
        {
            self.drop_result(&old);
        }
        while self.sizes.ended > ENDED_BYTES_LIMIT
            && let Some(old) = self.ended_jobs.pop_front()
        {
            self.update_size(&old, false);
            self.jobs.remove(&old);
            self.changed_jobs.push(old);
        }
    }

    fn drop_result(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(End::Finished {
                result, is_dropped, ..
            }) = &mut job.end
        {
            result.clear();
            *is_dropped = true;
        }
        self.update_size(id, true);
        self.ended_jobs.push_back(id.clone());
        self.changed_jobs.push(id.clone());
        self.dropped_results.push(id.clone());
    }

    /// Rebuilds the indexes and sizes, which a snapshot does not contain.
    pub(crate) fn rebuild_indexes(&mut self) {
        let ids: Vec<_> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.update_size(id, true);
            self.update_indexes(id);
        }
        self.changed_jobs = ids;
    }
}

/// Inserts an identifier into a set, or removes it.
fn set_membership(ids: &mut BTreeSet<JobId>, id: &JobId, is_member: bool) {
    if is_member {
        ids.insert(id.clone());
    } else {
        ids.remove(id);
    }
}

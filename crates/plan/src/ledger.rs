//! Replay of a cell's stream: who owns the cell and what its jobs are.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hyssop_core::{
    Attempt, CellId, CellRecord, EntryName, Envelope, EvictionCause, Evictions, Incarnation,
    Intent, JobId, JobSpec, Offset, RecordId, Term,
};
use serde::{Deserialize, Serialize};

use crate::encodings::{SizeClass, SnapshotSize, snapshot_bytes};
use crate::jobs::{End, Job};

/// Record identifiers remembered. A repeated append follows the first within seconds; beyond the
/// window the preconditions of the records make a second copy harmless.
const REMEMBERED_RECORD_IDS: usize = 8_192;
/// Bytes of the jobs that have not ended, above which no more are accepted. This limit and the two
/// below add up to 1,968 KiB of the 2 MiB that a record of the log may hold.
pub(crate) const LIVE_BYTES_LIMIT: usize = 1_200 * 1024;
/// Bytes of the jobs whose results nobody has fetched, above which the oldest result is dropped.
pub(crate) const UNFETCHED_BYTES_LIMIT: usize = 512 * 1024;
/// Bytes of the other ended jobs. Older ones are forgotten in the order in which they ended, which
/// every reader does at the same place of the stream.
const ENDED_BYTES_LIMIT: usize = 256 * 1024;

/// Bytes that the jobs take in a snapshot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sizes {
    pub(crate) live: usize,
    unfetched: usize,
    ended: usize,
}

impl Sizes {
    fn bytes_mut(&mut self, part: SizeClass) -> &mut usize {
        match part {
            SizeClass::Live => &mut self.live,
            SizeClass::Unfetched => &mut self.unfetched,
            SizeClass::Ended => &mut self.ended,
        }
    }
}

/// State of a cell's stream below an offset. It depends on nothing but the records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Ledger {
    /// First offset that is not applied.
    #[serde(rename = "applied")]
    pub(crate) next_offset: Offset,
    pub(crate) term: Option<Term>,
    pub(crate) owner: Option<EntryName>,
    pub(crate) incarnation: Incarnation,
    /// Whether the owner of the term in force has given the cell up.
    #[serde(rename = "resigned")]
    pub(crate) is_resigned: bool,
    /// Whether the owner before the term in force had stopped renewing leases.
    #[serde(rename = "clean")]
    pub(crate) is_clean_takeover: bool,
    #[serde(with = "crate::encodings::job_list")]
    pub(crate) jobs: BTreeMap<JobId, Job>,
    #[serde(rename = "finished")]
    pub(crate) finished_count: u64,
    pub(crate) evictions: Evictions,
    /// Whether records expired before they were read, so that the term in force is not certain.
    #[serde(rename = "lost")]
    pub(crate) has_lost_records: bool,
    /// Whether records expired before they were read and no snapshot has made up for them, so that
    /// jobs may be missing.
    #[serde(skip)]
    pub(crate) is_partial: bool,
    /// Records read since then, from which the next snapshot is completed.
    #[serde(skip)]
    pub(crate) records_since_gap: VecDeque<(Offset, Envelope<CellRecord>)>,
    /// Ended jobs with nothing to fetch.
    #[serde(rename = "ended")]
    ended_jobs: VecDeque<JobId>,
    /// Finished jobs whose results nobody has fetched.
    #[serde(rename = "unfetched")]
    unfetched_jobs: VecDeque<JobId>,
    /// Bytes in a snapshot.
    #[serde(skip)]
    pub(crate) sizes: Sizes,
    /// Jobs whose results were dropped since the caller last took the list.
    #[serde(skip)]
    pub(crate) dropped_results: Vec<JobId>,
    #[serde(skip)]
    record_ids: BTreeSet<RecordId>,
    #[serde(skip)]
    record_order: VecDeque<RecordId>,
    /// Jobs that need a worker.
    #[serde(skip)]
    pub(crate) waiting_jobs: BTreeSet<JobId>,
    /// Jobs that another cell has not yet accepted.
    #[serde(skip)]
    pub(crate) departing_jobs: BTreeSet<JobId>,
    /// Jobs changed since the caller last took the list.
    #[serde(skip)]
    pub(crate) changed_jobs: Vec<JobId>,
}

impl Ledger {
    /// Applies the record at `offset`.
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
            } => self.accept_job(spec, *attempt, *checkpoint),
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
            } => self.lose_attempt(job, *attempt, *checkpoint),
            CellRecord::Abandoned { job, cause } => self.end_job(
                job,
                End::Failed {
                    cause: cause.clone(),
                },
            ),
            CellRecord::Cancelled { job } => self.end_job(job, End::Cancelled),
            CellRecord::Moved { job, to } => self.move_job(job, to),
            CellRecord::Delivered { job } => self.mark_delivered(job),
            CellRecord::Taken { job, receipt } => self.mark_fetched(job, receipt),
        }
    }

    fn accept_job(&mut self, spec: &JobSpec, attempt: Attempt, checkpoint: u64) {
        if let Some(job) = self.jobs.get(&spec.id) {
            let back = matches!(job.end, Some(End::Moved { .. })) && attempt > job.attempt;
            let again = job.is_service_task() && job.is_closed() && attempt >= job.attempt;
            if !back && !again {
                return;
            }
            self.ended_jobs.retain(|id| *id != spec.id);
            self.update_size(&spec.id, false);
        }
        let job = Job::new(spec.clone(), attempt, checkpoint);
        self.jobs.insert(spec.id.clone(), job);
        self.mark_changed(&spec.id);
    }

    fn open_attempt(&mut self, intent: &Intent) {
        let Some(job) = self.jobs.get_mut(&intent.job) else {
            return;
        };
        if !job.is_waiting() || intent.attempt != job.attempt.next() {
            return;
        }
        job.attempt = intent.attempt;
        job.open_worker = Some(intent.worker.clone());
        job.last_worker = Some(intent.worker.clone());
        self.mark_changed(&intent.job);
    }

    /// Closes the open attempt, if it is `attempt`.
    fn close_attempt(&mut self, id: &JobId, attempt: Attempt) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        if !job.is_open(attempt) {
            return None;
        }
        job.open_worker = None;
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
            self.evictions.count(cause);
        }
        self.mark_changed(id);
    }

    fn fail_attempt(&mut self, id: &JobId, attempt: Attempt) {
        if let Some(job) = self.close_attempt(id, attempt) {
            job.failure_count += 1;
            self.mark_changed(id);
        }
    }

    fn lose_attempt(&mut self, id: &JobId, attempt: Attempt, checkpoint: u64) {
        if let Some(job) = self.close_attempt(id, attempt) {
            job.checkpoint = job.checkpoint.max(checkpoint);
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

    fn mark_fetched(&mut self, id: &JobId, by: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(End::Finished {
                receipt,
                is_dropped: false,
                ..
            }) = &mut job.end
            && receipt.is_none()
        {
            *receipt = Some(by.to_owned());
            self.unfetched_jobs.retain(|other| other != id);
            self.ended_jobs.push_back(id.clone());
            self.mark_changed(id);
        }
    }

    /// Brings the indexes in line with a changed job.
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

    /// Adds a job to the sizes, or takes it out before it is replaced.
    fn update_size(&mut self, id: &JobId, present: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        *self.sizes.bytes_mut(job.snapshot_size.0) -= job.snapshot_size.1;
        job.snapshot_size = if present {
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
        let leaves = matches!(
            job.end,
            Some(End::Moved {
                is_delivered: false,
                ..
            })
        );
        set_membership(&mut self.waiting_jobs, id, job.is_waiting());
        set_membership(&mut self.departing_jobs, id, leaves);
    }

    /// Forgets the oldest ended jobs, and drops the oldest results that nobody has fetched, until
    /// a snapshot fits in a record.
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

    /// Rebuilds what a snapshot leaves out.
    pub(crate) fn rebuild_indexes(&mut self) {
        let ids: Vec<_> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.update_size(id, true);
            self.update_indexes(id);
        }
        self.changed_jobs = ids;
    }
}

fn set_membership(ids: &mut BTreeSet<JobId>, id: &JobId, present: bool) {
    if present {
        ids.insert(id.clone());
    } else {
        ids.remove(id);
    }
}

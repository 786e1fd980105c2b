//! Replay of a cell's stream: who owns the cell and what its jobs are.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hyssop_core::{
    Attempt, CellId, CellRecord, EntryName, Envelope, EvictionCause, Evictions, Incarnation,
    Intent, JobId, JobSpec, Offset, RecordId, Term,
};
use serde::{Deserialize, Serialize};

use crate::jobs::{End, Job};
use crate::packs::{Part, Share, weigh};

/// Record identifiers remembered. A repeated append follows the first within seconds; beyond the
/// window the preconditions of the records make a second copy harmless.
const ID_WINDOW: usize = 8_192;
/// Bytes of the jobs that have not ended, above which no more are accepted. This limit and the two
/// below add up to 1,968 KiB of the 2 MiB that a record of the log may hold.
pub(crate) const LIVE_LIMIT: usize = 1_200 * 1024;
/// Bytes of the jobs whose results nobody has fetched, above which the oldest result is dropped.
pub(crate) const UNFETCHED_LIMIT: usize = 512 * 1024;
/// Bytes of the other ended jobs. Older ones are forgotten in the order in which they ended, which
/// every reader does at the same place of the stream.
const ENDED_LIMIT: usize = 256 * 1024;

/// Bytes that the jobs take in a snapshot.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Sizes {
    pub(crate) live: usize,
    unfetched: usize,
    ended: usize,
}

impl Sizes {
    fn part(&mut self, part: Part) -> &mut usize {
        match part {
            Part::Live => &mut self.live,
            Part::Unfetched => &mut self.unfetched,
            Part::Ended => &mut self.ended,
        }
    }
}

/// State of a cell's stream below an offset. It depends on nothing but the records.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Ledger {
    /// First offset that is not applied.
    pub(crate) applied: Offset,
    pub(crate) term: Option<Term>,
    pub(crate) owner: Option<EntryName>,
    pub(crate) incarnation: Incarnation,
    /// Whether the owner of the term in force has given the cell up.
    pub(crate) resigned: bool,
    /// Whether the owner before the term in force had stopped renewing leases.
    pub(crate) clean: bool,
    #[serde(with = "crate::packs::listed")]
    pub(crate) jobs: BTreeMap<JobId, Job>,
    pub(crate) finished: u64,
    pub(crate) evictions: Evictions,
    /// Whether records expired before they were read, so that the term in force is not certain.
    pub(crate) lost: bool,
    /// Whether records expired before they were read and no snapshot has made up for them, so that
    /// jobs may be missing.
    #[serde(skip)]
    pub(crate) partial: bool,
    /// Records read since then, from which the next snapshot is completed.
    #[serde(skip)]
    pub(crate) since_gap: VecDeque<(Offset, Envelope<CellRecord>)>,
    /// Ended jobs with nothing to fetch.
    ended: VecDeque<JobId>,
    /// Finished jobs whose results nobody has fetched.
    unfetched: VecDeque<JobId>,
    /// Bytes in a snapshot.
    #[serde(skip)]
    pub(crate) sizes: Sizes,
    /// Jobs whose results were dropped since the caller last took the list.
    #[serde(skip)]
    pub(crate) dropped: Vec<JobId>,
    #[serde(skip)]
    ids: BTreeSet<RecordId>,
    #[serde(skip)]
    order: VecDeque<RecordId>,
    /// Jobs that need a worker.
    #[serde(skip)]
    pub(crate) waiting: BTreeSet<JobId>,
    /// Jobs that another cell has not yet accepted.
    #[serde(skip)]
    pub(crate) leaving: BTreeSet<JobId>,
    /// Jobs changed since the caller last took the list.
    #[serde(skip)]
    pub(crate) touched: Vec<JobId>,
}

impl Ledger {
    /// Applies the record at `offset`.
    pub(crate) fn apply(&mut self, offset: Offset, record: &Envelope<CellRecord>) {
        if offset < self.applied {
            return;
        }
        self.applied = offset.next();
        if !self.remember(record.id) {
            return;
        }
        if let CellRecord::Claim {
            owner,
            incarnation,
            prior,
        } = &record.body
        {
            self.claim(offset, owner, *incarnation, *prior);
            return;
        }
        if self.lost && Some(record.term) > self.term {
            self.term = Some(record.term);
        }
        if self.term != Some(record.term) || self.resigned {
            return;
        }
        self.change(&record.body);
    }

    fn remember(&mut self, id: RecordId) -> bool {
        if !self.ids.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > ID_WINDOW
            && let Some(old) = self.order.pop_front()
        {
            self.ids.remove(&old);
        }
        true
    }

    fn claim(
        &mut self,
        offset: Offset,
        owner: &EntryName,
        incarnation: Incarnation,
        prior: Option<Term>,
    ) {
        if prior != self.term && !self.lost {
            return;
        }
        self.lost = false;
        self.clean = self.resigned || self.term.is_none();
        self.term = Some(Term(offset.0));
        self.owner = Some(owner.clone());
        self.incarnation = incarnation;
        self.resigned = false;
    }

    fn change(&mut self, body: &CellRecord) {
        match body {
            CellRecord::Claim { .. } | CellRecord::Snapshot { .. } => {}
            CellRecord::Resigned => self.resigned = true,
            CellRecord::Accepted {
                spec,
                attempt,
                checkpoint,
            } => self.accept(spec, *attempt, *checkpoint),
            CellRecord::Intents(intents) => intents.iter().for_each(|i| self.intend(i)),
            CellRecord::Finished {
                job,
                attempt,
                result,
            } => self.finish(job, *attempt, result),
            CellRecord::Released {
                job,
                attempt,
                checkpoint,
                cause,
            } => self.release(job, *attempt, *checkpoint, *cause),
            CellRecord::Failed { job, attempt, .. } => self.fail(job, *attempt),
            CellRecord::Lost {
                job,
                attempt,
                checkpoint,
            } => self.lose(job, *attempt, *checkpoint),
            CellRecord::Abandoned { job, cause } => self.end(
                job,
                End::Failed {
                    cause: cause.clone(),
                },
            ),
            CellRecord::Cancelled { job } => self.end(job, End::Cancelled),
            CellRecord::Moved { job, to } => self.move_out(job, to),
            CellRecord::Delivered { job } => self.deliver(job),
            CellRecord::Fetched { job, receipt } => self.take(job, receipt),
        }
    }

    fn accept(&mut self, spec: &JobSpec, attempt: Attempt, checkpoint: u64) {
        if let Some(job) = self.jobs.get(&spec.id) {
            let back = matches!(job.end, Some(End::Moved { .. })) && attempt > job.attempt;
            let again = job.is_standing() && job.is_closed() && attempt >= job.attempt;
            if !back && !again {
                return;
            }
            self.ended.retain(|id| *id != spec.id);
            self.weigh(&spec.id, false);
        }
        let job = Job::new(spec.clone(), attempt, checkpoint);
        self.jobs.insert(spec.id.clone(), job);
        self.touch(&spec.id);
    }

    fn intend(&mut self, intent: &Intent) {
        let Some(job) = self.jobs.get_mut(&intent.job) else {
            return;
        };
        if !job.is_waiting() || intent.attempt != job.attempt.next() {
            return;
        }
        job.attempt = intent.attempt;
        job.open = Some(intent.worker.clone());
        job.worker = Some(intent.worker.clone());
        self.touch(&intent.job);
    }

    /// Closes the open attempt, if it is `attempt`.
    fn close(&mut self, id: &JobId, attempt: Attempt) -> Option<&mut Job> {
        let job = self.jobs.get_mut(id)?;
        if !job.is_open(attempt) {
            return None;
        }
        job.open = None;
        Some(job)
    }

    fn finish(&mut self, id: &JobId, attempt: Attempt, result: &str) {
        let Some(job) = self.close(id, attempt) else {
            return;
        };
        if job.end.is_none() {
            job.end = Some(End::Finished {
                attempt,
                result: result.to_owned(),
                receipt: None,
                dropped: false,
            });
            self.finished += 1;
        }
        self.touch(id);
    }

    fn release(&mut self, id: &JobId, attempt: Attempt, checkpoint: u64, cause: EvictionCause) {
        let Some(job) = self.close(id, attempt) else {
            return;
        };
        job.checkpoint = job.checkpoint.max(checkpoint);
        if job.end.is_none() {
            job.evictions += 1;
            self.evictions.increment(cause);
        }
        self.touch(id);
    }

    fn fail(&mut self, id: &JobId, attempt: Attempt) {
        if let Some(job) = self.close(id, attempt) {
            job.failures += 1;
            self.touch(id);
        }
    }

    fn lose(&mut self, id: &JobId, attempt: Attempt, checkpoint: u64) {
        if let Some(job) = self.close(id, attempt) {
            job.checkpoint = job.checkpoint.max(checkpoint);
            self.touch(id);
        }
    }

    fn end(&mut self, id: &JobId, end: End) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.end.is_none()
        {
            job.end = Some(end);
            self.touch(id);
        }
    }

    fn move_out(&mut self, id: &JobId, to: &CellId) {
        if let Some(job) = self.jobs.get_mut(id)
            && job.is_waiting()
        {
            job.attempt = job.attempt.next();
            job.end = Some(End::Moved {
                to: to.clone(),
                delivered: false,
            });
            self.touch(id);
        }
    }

    fn deliver(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(End::Moved { delivered, .. }) = &mut job.end
            && !*delivered
        {
            *delivered = true;
            self.touch(id);
        }
    }

    fn take(&mut self, id: &JobId, by: &str) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(End::Finished {
                receipt,
                dropped: false,
                ..
            }) = &mut job.end
            && receipt.is_none()
        {
            *receipt = Some(by.to_owned());
            self.unfetched.retain(|other| other != id);
            self.ended.push_back(id.clone());
            self.touch(id);
        }
    }

    /// Brings the indexes in line with a changed job.
    fn touch(&mut self, id: &JobId) {
        self.index(id);
        self.touched.push(id.clone());
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.is_closed() && !job.listed {
            job.listed = true;
            job.spec.payload.clear();
            if job.is_unfetched() {
                self.unfetched.push_back(id.clone());
            } else {
                self.ended.push_back(id.clone());
            }
        }
        self.weigh(id, true);
        self.forget();
    }

    /// Adds a job to the sizes, or takes it out before it is replaced.
    fn weigh(&mut self, id: &JobId, present: bool) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        *self.sizes.part(job.share.0) -= job.share.1;
        job.share = if present {
            (job.part(), weigh(job))
        } else {
            Share::default()
        };
        *self.sizes.part(job.share.0) += job.share.1;
    }

    fn index(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let leaves = matches!(
            job.end,
            Some(End::Moved {
                delivered: false,
                ..
            })
        );
        set(&mut self.waiting, id, job.is_waiting());
        set(&mut self.leaving, id, leaves);
    }

    /// Forgets the oldest ended jobs, and drops the oldest results that nobody has fetched, until
    /// a snapshot fits in a record.
    fn forget(&mut self) {
        while self.sizes.unfetched > UNFETCHED_LIMIT
            && let Some(old) = self.unfetched.pop_front()
        {
            self.drop_result(&old);
        }
        while self.sizes.ended > ENDED_LIMIT
            && let Some(old) = self.ended.pop_front()
        {
            self.weigh(&old, false);
            self.jobs.remove(&old);
            self.touched.push(old);
        }
    }

    fn drop_result(&mut self, id: &JobId) {
        if let Some(job) = self.jobs.get_mut(id)
            && let Some(End::Finished {
                result, dropped, ..
            }) = &mut job.end
        {
            result.clear();
            *dropped = true;
        }
        self.weigh(id, true);
        self.ended.push_back(id.clone());
        self.touched.push(id.clone());
        self.dropped.push(id.clone());
    }

    /// Rebuilds what a snapshot leaves out.
    pub(crate) fn reindex(&mut self) {
        let ids: Vec<_> = self.jobs.keys().cloned().collect();
        for id in &ids {
            self.weigh(id, true);
            self.index(id);
        }
        self.touched = ids;
    }
}

fn set(ids: &mut BTreeSet<JobId>, id: &JobId, present: bool) {
    if present {
        ids.insert(id.clone());
    } else {
        ids.remove(id);
    }
}

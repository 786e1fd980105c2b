//! The core of a cell: its tables, and the systems that run over them in each tick.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::limits::INTENT_BATCH;
use hyssop_core::{
    CellRecord, CellState, CellSummary, Class, ConfView, Envelope, JobId, JobReply, Millis, Offset,
    Reason, Term, WorkerName,
};

use crate::buckets::Buckets;
use crate::calls::Submit;
use crate::drains::Life;
use crate::estimates::Estimates;
use crate::explains::Explains;
use crate::io::{CellOptions, Input, Output};
use crate::journal::Journal;
use crate::ledger::Ledger;
use crate::offices::Office;
use crate::places::Proposed;
use crate::preempts::Claim;
use crate::protect::Protection;
use crate::quarantine::Quarantine;
use crate::quotas::add;
use crate::replays;
use crate::retries::Wait;
use crate::workers::{Task, Todo, Worker};

/// Records after which a snapshot is due.
const SNAPSHOT_RECORDS: u64 = 4_096;
/// Part of the log's retention after which a snapshot is due, as a divisor.
const SNAPSHOT_PART: u64 = 4;

/// State of one cell, owned or watched.
#[derive(Debug)]
pub struct Cell {
    pub(crate) options: CellOptions,
    pub(crate) ledger: Ledger,
    pub(crate) journal: Journal,
    pub(crate) office: Office,
    pub(crate) conf: Option<Arc<ConfView>>,
    pub(crate) peers: Vec<CellState>,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    /// Attempts that may be running.
    pub(crate) tasks: BTreeMap<JobId, Task>,
    /// Intents that are not yet read back.
    pub(crate) proposed: BTreeMap<JobId, Proposed>,
    /// Acceptances that are not yet read back.
    pub(crate) submits: BTreeMap<JobId, Submit>,
    /// Bytes that they will take in a snapshot.
    pub(crate) pledged: usize,
    pub(crate) waits: BTreeMap<JobId, Wait>,
    pub(crate) buckets: Buckets,
    /// Time of the last transfer of each job that leaves.
    pub(crate) transfers: BTreeMap<JobId, Millis>,
    pub(crate) explains: Explains,
    /// Times at which standing tasks were told to stop.
    pub(crate) stops: BTreeMap<JobId, Millis>,
    /// Room that is being made for jobs.
    pub(crate) claims: BTreeMap<JobId, Claim>,
    /// Workers on which attempts of a job have failed.
    pub(crate) failed: BTreeMap<JobId, BTreeSet<WorkerName>>,
    pub(crate) estimates: Estimates,
    pub(crate) protection: Protection,
    pub(crate) quarantine: Quarantine,
    pub(crate) life: Life,
    pub(crate) batched: Option<Millis>,
    pub(crate) place_due: bool,
    pub(crate) standing_due: bool,
    pub(crate) stood: Option<Millis>,
    pub(crate) drained: Option<Millis>,
    pub(crate) moved: Option<Millis>,
    /// Whether the owner cannot prove that its configuration is fresh.
    pub(crate) stale: bool,
    /// Time and offset of the last snapshot, as far as known.
    snapshot: (Millis, Offset),
    /// First offset that the log still keeps.
    kept: Offset,
    appended: Option<Millis>,
    pub(crate) out: Vec<Output>,
}

impl Cell {
    /// Creates the core of a cell that knows nothing yet.
    #[must_use]
    pub fn new(options: CellOptions) -> Self {
        // Two processes with the same seed must not choose the same record identifiers.
        let seed = options.seed ^ options.incarnation.0.rotate_left(32);
        let mut cell = Self {
            ledger: Ledger::default(),
            journal: Journal::new(options.entry.clone(), seed),
            office: Office::default(),
            conf: None,
            peers: Vec::new(),
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            proposed: BTreeMap::new(),
            submits: BTreeMap::new(),
            pledged: 0,
            waits: BTreeMap::new(),
            buckets: Buckets::default(),
            transfers: BTreeMap::new(),
            explains: Explains::default(),
            stops: BTreeMap::new(),
            claims: BTreeMap::new(),
            failed: BTreeMap::new(),
            estimates: Estimates::default(),
            protection: Protection::default(),
            quarantine: Quarantine::default(),
            life: Life::new(),
            batched: None,
            place_due: true,
            standing_due: true,
            stood: None,
            drained: None,
            moved: None,
            stale: false,
            snapshot: (Millis(0), Offset(0)),
            kept: Offset(0),
            appended: None,
            out: Vec::new(),
            options,
        };
        cell.clear();
        cell
    }

    /// Returns the first offset of the stream that is not applied, from which to read.
    ///
    /// When the log no longer keeps it, or at the start, the driver looks back from the head for
    /// a snapshot and passes all records from the snapshot's offset in one [`Input::Read`]. If
    /// this offset has not moved then, the snapshot was not valid, and the driver looks further
    /// back; with no snapshot left it passes all records from the first one kept.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.ledger.applied
    }

    /// Takes in what happened and returns what is to be done.
    pub fn tick(&mut self, now: Millis, inputs: Vec<Input>) -> Vec<Output> {
        self.office.begin(now);
        for input in inputs {
            self.take(now, input);
        }
        self.rule(now);
        self.note_stale(now);
        if let Some(term) = self.deciding() {
            self.decide(now, term);
        }
        self.poll(now);
        for token in self.journal.expire(now) {
            self.answer(token, JobReply::Unknown);
        }
        self.flush(now);
        std::mem::take(&mut self.out)
    }

    fn take(&mut self, now: Millis, input: Input) {
        match input {
            Input::Read {
                sent_at,
                first_offset,
                head_offset,
                records,
            } => self.read(now, sent_at, first_offset, head_offset, &records),
            Input::Conf(conf) => {
                self.conf = Some(conf);
                self.standing_due = true;
                self.place_due = true;
            }
            Input::Connectivity {
                connectivity,
                has_majority,
                has_recent_start,
                rank,
            } => self
                .office
                .stand(now, connectivity, has_majority, has_recent_start, rank),
            Input::Peers(states) => self.take_peers(now, &states),
            Input::Polled {
                worker,
                sent_at,
                reply,
            } => self.polled(now, &worker, sent_at, &reply),
            Input::Fenced { worker, term } => {
                self.miss(now, &worker);
                self.alleged(now, &worker, term);
            }
            Input::PollFailed { worker, sent_at } => self.poll_failed(now, &worker, sent_at),
            Input::Call { token, call } => {
                // An owner that has just read a higher claim must not answer as the owner.
                self.rule(now);
                self.call(now, token, call);
            }
            Input::Transferred { job, reply } => self.transferred(&job, &reply),
            Input::Shutdown => self.office.leaving = true,
        }
    }

    fn read(
        &mut self,
        now: Millis,
        sent: Millis,
        first: Offset,
        head: Offset,
        records: &[(Offset, Envelope<CellRecord>)],
    ) {
        self.kept = self.kept.max(first);
        let (lost, term) = (self.ledger.lost, self.ledger.term);
        if replays::read(&mut self.ledger, first, head, records) {
            self.office.read = self.office.read.max(Some(sent));
        }
        if self.ledger.lost && !lost {
            self.office.note_loss(now);
        }
        if self.ledger.term != term {
            self.office.note_claim(now);
        }
        self.sync(now);
        for (offset, record) in records {
            if matches!(record.body, CellRecord::Snapshot { .. })
                && self.ledger.term == Some(record.term)
            {
                self.snapshot = (now, *offset);
            }
            if let Some(unsettled) = self.journal.settle(record.id) {
                self.settled(record);
                self.answer_settled(now, unsettled.waiters);
            }
        }
    }

    /// Forgets what waited for a record that is now read back.
    fn settled(&mut self, record: &Envelope<CellRecord>) {
        match &record.body {
            CellRecord::Intents(_) => self.proposed.retain(|_, p| p.record != record.id),
            CellRecord::Accepted { spec, .. } => {
                let submit = self.submits.remove(&spec.id);
                self.pledged -= submit.map_or(0, |submit| submit.size);
            }
            _ => {}
        }
    }

    /// Brings the tables in line with the jobs that the stream changed.
    fn sync(&mut self, now: Millis) {
        let touched = std::mem::take(&mut self.ledger.touched);
        let dropped = std::mem::take(&mut self.ledger.dropped);
        if self.term().is_none() {
            return;
        }
        for id in dropped {
            self.explain_job(now, &id, Reason::ResultDropped);
        }
        for id in touched {
            self.sync_job(now, &id, false);
            self.place_due = true;
        }
    }

    fn sync_job(&mut self, now: Millis, id: &JobId, inherited: bool) {
        let Some(job) = self.ledger.jobs.get(id) else {
            self.untrack(id);
            self.waits.remove(id);
            self.buckets.remove(id);
            self.failed.remove(id);
            return;
        };
        let waiting = job.is_waiting();
        let standing = job.is_standing();
        if job.end.is_some() {
            self.failed.remove(id);
        }
        if job.open.is_none() {
            self.untrack(id);
        } else {
            self.track(now, id, inherited);
        }
        if waiting {
            let wait = Wait {
                since: now,
                ..Wait::default()
            };
            let since = self.waits.entry(id.clone()).or_insert(wait).since;
            if let Some(job) = self.ledger.jobs.get(id) {
                self.buckets.add(id, job, since);
            }
            self.limit_failures(now, id);
        } else {
            self.buckets.remove(id);
            if self.tasks.get(id).is_none_or(|task| !task.closing) {
                self.waits.remove(id);
            }
        }
        if !self.ledger.leaving.contains(id) {
            self.transfers.remove(id);
        }
        self.standing_due |= standing;
    }

    /// Enters an open attempt in the tables, or tells its worker that the job was cancelled.
    fn track(&mut self, now: Millis, id: &JobId, inherited: bool) {
        let Some(job) = self.ledger.jobs.get(id) else {
            return;
        };
        let Some(name) = job.open.clone() else {
            return;
        };
        let fresh = self.tasks.get(id).is_none_or(|t| t.attempt != job.attempt);
        let ended = job.end.is_some();
        let worker = self
            .workers
            .entry(name.clone())
            .or_insert_with(Worker::unheard);
        if fresh {
            self.tasks
                .insert(id.clone(), Task::new(job, name, inherited, now));
            worker.tasks.insert(id.clone());
            if !inherited {
                worker.todo.insert(id.clone(), Todo::Start);
            }
        }
        if ended {
            let unsent = worker.todo.get(id) == Some(&Todo::Start);
            worker.todo.insert(id.clone(), Todo::Stop);
            let never = self.tasks.get(id).is_some_and(|task| task.start.is_none());
            if unsent
                && never
                && let Some(term) = self.deciding()
            {
                self.lose(now, term, id);
            }
        }
    }

    fn untrack(&mut self, id: &JobId) {
        let Some(task) = self.tasks.remove(id) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&task.worker) {
            worker.tasks.remove(id);
            worker.todo.remove(id);
        }
    }

    /// Forgets everything that only an owner knows.
    pub(crate) fn clear(&mut self) {
        let names = self.options.workers.iter().cloned();
        self.workers = names.map(|name| (name, Worker::unheard())).collect();
        self.tasks.clear();
        self.proposed.clear();
        self.submits.clear();
        self.pledged = 0;
        self.waits.clear();
        self.buckets = Buckets::default();
        self.transfers.clear();
        self.stops.clear();
        self.claims.clear();
        self.failed.clear();
        self.protection = Protection::default();
        self.quarantine = Quarantine::default();
        self.life = Life::new();
        self.batched = None;
        self.place_due = true;
        self.standing_due = true;
    }

    /// Fills the tables of a new owner from the ledger.
    pub(crate) fn load(&mut self, now: Millis) {
        let jobs = self.ledger.jobs.iter();
        let live: Vec<JobId> = jobs
            .filter(|(_, job)| job.open.is_some() || job.end.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in live {
            self.sync_job(now, &id, true);
        }
        if self.snapshot.1 == Offset(0) {
            self.snapshot.0 = now;
        }
    }

    /// Runs the systems of an owner.
    fn decide(&mut self, now: Millis, term: Term) {
        self.acknowledge();
        self.doubt(now, term);
        self.drain(now, term);
        self.stand(now, term);
        self.protect(now);
        self.renew_probes();
        self.sweep_claims(now);
        self.place(now, term);
        self.move_jobs(now, term);
        self.send_transfers(now);
        self.write_snapshot(now, term);
    }

    fn write_snapshot(&mut self, now: Millis, term: Term) {
        let (at, offset) = self.snapshot;
        let old = now.since(at).0 >= self.options.retention.0 / SNAPSHOT_PART;
        // After an outage beyond the retention only the processes hold the state.
        let expired = offset < self.kept && !self.ledger.partial;
        let long = self.ledger.applied.0.saturating_sub(offset.0) >= SNAPSHOT_RECORDS;
        if !old && !long && !expired {
            return;
        }
        if let Some(body) = replays::snapshot(&self.ledger) {
            self.journal.write(term, body);
            self.snapshot = (now, self.ledger.applied);
        }
    }

    /// Hands the queued records to the driver, in one append for each interval of intents: the
    /// log takes several hundred appends a second from all cells together.
    fn flush(&mut self, now: Millis) {
        let early = self
            .appended
            .is_some_and(|last| now.since(last) < INTENT_BATCH);
        if !early && !self.journal.queue.is_empty() {
            self.appended = Some(now);
            let records = std::mem::take(&mut self.journal.queue);
            self.out.push(Output::Append(records));
        }
    }

    /// Returns the cell's state if this process owns it.
    #[must_use]
    pub fn state(&self) -> Option<CellState> {
        let term = self.term()?;
        Some(CellState {
            cell: self.options.cell.clone(),
            term,
            owner: self.options.entry.clone(),
            incarnation: self.options.incarnation,
            summary: self.summary(),
        })
    }

    fn summary(&self) -> CellSummary {
        let now = self.office.last.unwrap_or_default();
        let mut summary = CellSummary {
            pending: count(self.ledger.waiting.len()),
            running: count(self.tasks.len()),
            finished: self.ledger.finished,
            evictions: self.ledger.evictions,
            ..CellSummary::default()
        };
        for (name, worker) in &self.workers {
            if self.is_doubtful(now, worker) {
                summary.doubtful += count(worker.tasks.len());
            } else if worker.known {
                summary.workers += 1;
                summary.capacity = add(summary.capacity, worker.capacity);
                summary.promised = add(summary.promised, self.promised(name));
            }
        }
        let critical = self.tasks.values();
        let critical = critical.filter(|task| task.class == Class::LatencyCritical);
        summary.critical = critical.map(|task| task.needs).fold(summary.critical, add);
        summary
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

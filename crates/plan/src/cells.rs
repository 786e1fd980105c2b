//! The core of a cell: its tables, and the systems that run over them in each tick.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::limits::INTENT_BATCH;
use hyssop_core::{
    CellRecord, CellState, CellSummary, Class, ConfView, Envelope, JobId, JobReply, Millis, Offset,
    Reason, Term, WorkerName,
};

use crate::calls::PendingSubmit;
use crate::drains::DomainPhase;
use crate::estimates::Estimates;
use crate::explanations::ExplanationLog;
use crate::groups::WaitingGroups;
use crate::io::{CellOptions, Input, Output};
use crate::journal::Journal;
use crate::ledger::Ledger;
use crate::ownerships::Ownership;
use crate::placements::PendingIntent;
use crate::preemptions::Reservation;
use crate::protections::Protection;
use crate::quarantines::Quarantine;
use crate::quotas::add_resources;
use crate::replays;
use crate::retries::WaitState;
use crate::workers::{OrderKind, Task, Worker};

/// Records after which a snapshot is due.
const SNAPSHOT_RECORD_INTERVAL: u64 = 4_096;
/// Part of the log's retention after which a snapshot is due, as a divisor.
const SNAPSHOT_RETENTION_DIVISOR: u64 = 4;

/// State of one cell, owned or watched.
#[derive(Debug)]
pub struct Cell {
    pub(crate) options: CellOptions,
    pub(crate) ledger: Ledger,
    pub(crate) journal: Journal,
    pub(crate) ownership: Ownership,
    pub(crate) conf: Option<Arc<ConfView>>,
    pub(crate) peers: Vec<CellState>,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    /// Attempts that may be running.
    pub(crate) tasks: BTreeMap<JobId, Task>,
    /// Intents that are not yet read back.
    pub(crate) pending_intents: BTreeMap<JobId, PendingIntent>,
    /// Acceptances that are not yet read back.
    pub(crate) pending_submits: BTreeMap<JobId, PendingSubmit>,
    /// Bytes that they will take in a snapshot.
    pub(crate) pending_bytes: usize,
    pub(crate) waits: BTreeMap<JobId, WaitState>,
    pub(crate) waiting_groups: WaitingGroups,
    /// Time of the last transfer of each job that leaves.
    pub(crate) last_transfers: BTreeMap<JobId, Millis>,
    pub(crate) explanations: ExplanationLog,
    /// Times at which standing tasks were told to stop.
    pub(crate) stop_times: BTreeMap<JobId, Millis>,
    /// Room that is being made for jobs.
    pub(crate) reservations: BTreeMap<JobId, Reservation>,
    /// Workers on which attempts of a job have failed.
    pub(crate) failed_workers: BTreeMap<JobId, BTreeSet<WorkerName>>,
    pub(crate) estimates: Estimates,
    pub(crate) protection: Protection,
    pub(crate) quarantine: Quarantine,
    pub(crate) domain_phase: DomainPhase,
    pub(crate) last_placement_at: Option<Millis>,
    pub(crate) needs_placement: bool,
    pub(crate) needs_reconciliation: bool,
    pub(crate) last_reconciled_at: Option<Millis>,
    pub(crate) last_eviction_at: Option<Millis>,
    pub(crate) last_move_at: Option<Millis>,
    /// Whether the owner cannot prove that its configuration is fresh.
    pub(crate) is_unconfirmed: bool,
    /// Time and offset of the last snapshot, as far as known.
    last_snapshot: (Millis, Offset),
    /// First offset that the log still keeps.
    first_kept_offset: Offset,
    last_append_at: Option<Millis>,
    pub(crate) outputs: Vec<Output>,
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
            ownership: Ownership::default(),
            conf: None,
            peers: Vec::new(),
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            pending_intents: BTreeMap::new(),
            pending_submits: BTreeMap::new(),
            pending_bytes: 0,
            waits: BTreeMap::new(),
            waiting_groups: WaitingGroups::default(),
            last_transfers: BTreeMap::new(),
            explanations: ExplanationLog::default(),
            stop_times: BTreeMap::new(),
            reservations: BTreeMap::new(),
            failed_workers: BTreeMap::new(),
            estimates: Estimates::default(),
            protection: Protection::default(),
            quarantine: Quarantine::default(),
            domain_phase: DomainPhase::new(),
            last_placement_at: None,
            needs_placement: true,
            needs_reconciliation: true,
            last_reconciled_at: None,
            last_eviction_at: None,
            last_move_at: None,
            is_unconfirmed: false,
            last_snapshot: (Millis(0), Offset(0)),
            first_kept_offset: Offset(0),
            last_append_at: None,
            outputs: Vec::new(),
            options,
        };
        cell.reset_owner_state();
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
        self.ledger.next_offset
    }

    /// Takes in what happened and returns what is to be done.
    pub fn tick(&mut self, now: Millis, inputs: Vec<Input>) -> Vec<Output> {
        self.ownership.begin_tick(now);
        for input in inputs {
            self.apply_input(now, input);
        }
        self.update_role(now);
        self.explain_unconfirmed(now);
        if let Some(term) = self.deciding_term() {
            self.run_owner_systems(now, term);
        }
        self.poll_workers(now);
        for token in self.journal.expire_waiters(now) {
            self.send_reply(token, JobReply::Unknown);
        }
        self.flush_records(now);
        std::mem::take(&mut self.outputs)
    }

    fn apply_input(&mut self, now: Millis, input: Input) {
        match input {
            Input::Read {
                sent_at,
                first_offset,
                head_offset,
                records,
            } => self.apply_read(now, sent_at, first_offset, head_offset, &records),
            Input::Conf(conf) => {
                self.conf = Some(conf);
                self.needs_reconciliation = true;
                self.needs_placement = true;
            }
            Input::Connectivity {
                connectivity,
                has_majority,
                has_recent_start,
                rank,
            } => self.ownership.update_connectivity(
                now,
                connectivity,
                has_majority,
                has_recent_start,
                rank,
            ),
            Input::Peers(states) => self.apply_peers(now, &states),
            Input::Polled {
                worker,
                sent_at,
                reply,
            } => self.apply_poll_reply(now, &worker, sent_at, &reply),
            Input::Fenced { worker, term } => {
                self.record_missed_poll(now, &worker);
                self.record_worker_term(now, &worker, term);
            }
            Input::PollFailed { worker, sent_at } => self.apply_poll_failure(now, &worker, sent_at),
            Input::Call { token, call } => {
                // An owner that has just read a higher claim must not answer as the owner.
                self.update_role(now);
                self.handle_call(now, token, call);
            }
            Input::Transferred { job, reply } => self.apply_transfer_reply(&job, &reply),
            Input::Shutdown => self.ownership.is_shutting_down = true,
        }
    }

    fn apply_read(
        &mut self,
        now: Millis,
        sent: Millis,
        first: Offset,
        head: Offset,
        records: &[(Offset, Envelope<CellRecord>)],
    ) {
        self.first_kept_offset = self.first_kept_offset.max(first);
        let (lost, term) = (self.ledger.has_lost_records, self.ledger.term);
        if replays::apply_read(&mut self.ledger, first, head, records) {
            self.ownership.head_read_at = self.ownership.head_read_at.max(Some(sent));
        }
        if self.ledger.has_lost_records && !lost {
            self.ownership.delay_claim_after_loss(now);
        }
        if self.ledger.term != term {
            self.ownership.delay_claim(now);
        }
        self.sync_changed_jobs(now);
        for (offset, record) in records {
            if matches!(record.body, CellRecord::Snapshot { .. })
                && self.ledger.term == Some(record.term)
            {
                self.last_snapshot = (now, *offset);
            }
            if let Some(unsettled) = self.journal.commit(record.id) {
                self.remove_pending(record);
                self.reply_to_waiters(now, unsettled.waiters);
            }
        }
    }

    /// Forgets what waited for a record that is now read back.
    fn remove_pending(&mut self, record: &Envelope<CellRecord>) {
        match &record.body {
            CellRecord::Intents(_) => self.pending_intents.retain(|_, p| p.record != record.id),
            CellRecord::Accepted { spec, .. } => {
                let submit = self.pending_submits.remove(&spec.id);
                self.pending_bytes -= submit.map_or(0, |submit| submit.snapshot_bytes);
            }
            _ => {}
        }
    }

    /// Brings the tables in line with the jobs that the stream changed.
    fn sync_changed_jobs(&mut self, now: Millis) {
        let touched = std::mem::take(&mut self.ledger.changed_jobs);
        let dropped = std::mem::take(&mut self.ledger.dropped_results);
        if self.owned_term().is_none() {
            return;
        }
        for id in dropped {
            self.explain_job(now, &id, Reason::ResultDropped);
        }
        for id in touched {
            self.sync_job(now, &id, false);
            self.needs_placement = true;
        }
    }

    fn sync_job(&mut self, now: Millis, id: &JobId, inherited: bool) {
        let Some(job) = self.ledger.jobs.get(id) else {
            self.untrack_attempt(id);
            self.waits.remove(id);
            self.waiting_groups.remove(id);
            self.failed_workers.remove(id);
            return;
        };
        let waiting = job.is_waiting();
        let standing = job.is_service_task();
        if job.end.is_some() {
            self.failed_workers.remove(id);
        }
        if job.open_worker.is_none() {
            self.untrack_attempt(id);
        } else {
            self.track_attempt(now, id, inherited);
        }
        if waiting {
            let wait = WaitState {
                waiting_since: now,
                ..WaitState::default()
            };
            let since = self.waits.entry(id.clone()).or_insert(wait).waiting_since;
            if let Some(job) = self.ledger.jobs.get(id) {
                self.waiting_groups.add(id, job, since);
            }
            self.abandon_failed_job(now, id);
        } else {
            self.waiting_groups.remove(id);
            if self.tasks.get(id).is_none_or(|task| !task.is_closing) {
                self.waits.remove(id);
            }
        }
        if !self.ledger.departing_jobs.contains(id) {
            self.last_transfers.remove(id);
        }
        self.needs_reconciliation |= standing;
    }

    /// Enters an open attempt in the tables, or tells its worker that the job was cancelled.
    fn track_attempt(&mut self, now: Millis, id: &JobId, inherited: bool) {
        let Some(job) = self.ledger.jobs.get(id) else {
            return;
        };
        let Some(name) = job.open_worker.clone() else {
            return;
        };
        let fresh = self.tasks.get(id).is_none_or(|t| t.attempt != job.attempt);
        let ended = job.end.is_some();
        let worker = self
            .workers
            .entry(name.clone())
            .or_insert_with(Worker::without_reply);
        if fresh {
            self.tasks
                .insert(id.clone(), Task::new(job, name, inherited, now));
            worker.tasks.insert(id.clone());
            if !inherited {
                worker.pending_orders.insert(id.clone(), OrderKind::Start);
            }
        }
        if ended {
            let unsent = worker.pending_orders.get(id) == Some(&OrderKind::Start);
            worker.pending_orders.insert(id.clone(), OrderKind::Stop);
            let never = self
                .tasks
                .get(id)
                .is_some_and(|task| task.start_timestamp.is_none());
            if unsent
                && never
                && let Some(term) = self.deciding_term()
            {
                self.lose_attempt(now, term, id);
            }
        }
    }

    fn untrack_attempt(&mut self, id: &JobId) {
        let Some(task) = self.tasks.remove(id) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(&task.worker) {
            worker.tasks.remove(id);
            worker.pending_orders.remove(id);
        }
    }

    /// Forgets everything that only an owner knows.
    pub(crate) fn reset_owner_state(&mut self) {
        let names = self.options.workers.iter().cloned();
        self.workers = names.map(|name| (name, Worker::without_reply())).collect();
        self.tasks.clear();
        self.pending_intents.clear();
        self.pending_submits.clear();
        self.pending_bytes = 0;
        self.waits.clear();
        self.waiting_groups = WaitingGroups::default();
        self.last_transfers.clear();
        self.stop_times.clear();
        self.reservations.clear();
        self.failed_workers.clear();
        self.protection = Protection::default();
        self.quarantine = Quarantine::default();
        self.domain_phase = DomainPhase::new();
        self.last_placement_at = None;
        self.needs_placement = true;
        self.needs_reconciliation = true;
    }

    /// Fills the tables of a new owner from the ledger.
    pub(crate) fn load_owner_state(&mut self, now: Millis) {
        let jobs = self.ledger.jobs.iter();
        let live: Vec<JobId> = jobs
            .filter(|(_, job)| job.open_worker.is_some() || job.end.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in live {
            self.sync_job(now, &id, true);
        }
        if self.last_snapshot.1 == Offset(0) {
            self.last_snapshot.0 = now;
        }
    }

    /// Runs the systems of an owner.
    fn run_owner_systems(&mut self, now: Millis, term: Term) {
        self.acknowledge_events();
        self.lose_unconfirmed_attempts(now, term);
        self.update_drain(now, term);
        self.reconcile_services(now, term);
        self.protect_services(now);
        self.clear_ended_probes();
        self.expire_reservations(now);
        self.place_jobs(now, term);
        self.move_jobs(now, term);
        self.send_transfers(now);
        self.write_snapshot(now, term);
    }

    fn write_snapshot(&mut self, now: Millis, term: Term) {
        let (at, offset) = self.last_snapshot;
        let old = now.since(at).0 >= self.options.retention.0 / SNAPSHOT_RETENTION_DIVISOR;
        // After an outage beyond the retention only the processes hold the state.
        let expired = offset < self.first_kept_offset && !self.ledger.is_partial;
        let long = self.ledger.next_offset.0.saturating_sub(offset.0) >= SNAPSHOT_RECORD_INTERVAL;
        if !old && !long && !expired {
            return;
        }
        if let Some(body) = replays::encode_snapshot(&self.ledger) {
            self.journal.write(term, body);
            self.last_snapshot = (now, self.ledger.next_offset);
        }
    }

    /// Hands the queued records to the driver, in one append for each interval of intents: the
    /// log takes several hundred appends a second from all cells together.
    fn flush_records(&mut self, now: Millis) {
        let early = self
            .last_append_at
            .is_some_and(|last| now.since(last) < INTENT_BATCH);
        if !early && !self.journal.queue.is_empty() {
            self.last_append_at = Some(now);
            let records = std::mem::take(&mut self.journal.queue);
            self.outputs.push(Output::Append(records));
        }
    }

    /// Returns the cell's state if this process owns it.
    #[must_use]
    pub fn state(&self) -> Option<CellState> {
        let term = self.owned_term()?;
        Some(CellState {
            cell: self.options.cell.clone(),
            term,
            owner: self.options.entry.clone(),
            incarnation: self.options.incarnation,
            summary: self.summary(),
        })
    }

    fn summary(&self) -> CellSummary {
        let now = self.ownership.last_tick_at.unwrap_or_default();
        let mut summary = CellSummary {
            pending: count(self.ledger.waiting_jobs.len()),
            running: count(self.tasks.len()),
            finished: self.ledger.finished_count,
            evictions: self.ledger.evictions,
            ..CellSummary::default()
        };
        for (name, worker) in &self.workers {
            if self.is_worker_unconfirmed(now, worker) {
                summary.doubtful += count(worker.tasks.len());
            } else if worker.has_inventory {
                summary.workers += 1;
                summary.capacity = add_resources(summary.capacity, worker.capacity);
                summary.promised = add_resources(summary.promised, self.allocated(name));
            }
        }
        let critical = self.tasks.values();
        let critical = critical.filter(|task| task.class == Class::LatencyCritical);
        summary.critical = critical
            .map(|task| task.needs)
            .fold(summary.critical, add_resources);
        summary
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

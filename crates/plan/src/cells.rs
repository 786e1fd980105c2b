//! The core of a cell: its tables, and the steps that update them in each tick.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::limits::INTENT_BATCH_INTERVAL;
use hyssop_core::{
    CellRecord, CellState, ConfView, Envelope, JobId, JobReply, Millis, Offset, Reason, Term,
    WorkerName,
};

use crate::calls::PendingSubmit;
use crate::crashes::Suspects;
use crate::drains::DomainPhase;
use crate::estimates::Estimates;
use crate::explanations::ExplanationLog;
use crate::groups::WaitingGroups;
use crate::io::{CellOptions, Input, Output};
use crate::journal::Journal;
use crate::late_ends::LateResult;
use crate::ledger::Ledger;
use crate::ownerships::Ownership;
use crate::placements::PendingIntent;
use crate::preemptions::Reservation;
use crate::protections::Protection;
use crate::quarantines::Quarantine;
use crate::replays;
use crate::retries::WaitState;
use crate::workers::{OrderKind, Task, Worker};

/// Records after the last snapshot at which the next one is due.
const SNAPSHOT_RECORD_INTERVAL: u64 = 4_096;
/// Divisor of the log's retention. A snapshot is due when the last one is older than the quotient.
const SNAPSHOT_RETENTION_DIVISOR: u64 = 4;

/// State of one cell, whether this process owns it or only follows its stream.
#[derive(Debug)]
pub struct Cell {
    pub(crate) options: CellOptions,
    pub(crate) ledger: Ledger,
    pub(crate) journal: Journal,
    pub(crate) ownership: Ownership,
    /// Configuration in force; `None` before the first [`Input::Conf`].
    pub(crate) conf: Option<Arc<ConfView>>,
    /// Latest states of all cells as their owners report them.
    pub(crate) cell_states: Vec<CellState>,
    pub(crate) workers: BTreeMap<WorkerName, Worker>,
    /// Open attempts, which may be running, by job.
    pub(crate) tasks: BTreeMap<JobId, Task>,
    /// Results of attempts that were given up, until they are recorded here or in the cell that the
    /// job has moved to.
    pub(crate) late_results: BTreeMap<JobId, LateResult>,
    /// Intents that were written and are not yet read back.
    pub(crate) pending_intents: BTreeMap<JobId, PendingIntent>,
    /// Accepted jobs whose records are not yet read back.
    pub(crate) pending_submits: BTreeMap<JobId, PendingSubmit>,
    /// Bytes that `pending_submits` will take in a snapshot.
    pub(crate) pending_bytes: usize,
    /// Waiting times and backoffs of waiting jobs.
    pub(crate) waits: BTreeMap<JobId, WaitState>,
    pub(crate) waiting_groups: WaitingGroups,
    /// Time of the last transfer of each job that moves to another cell.
    pub(crate) last_transfers: BTreeMap<JobId, Millis>,
    pub(crate) explanations: ExplanationLog,
    /// Times at which stops of service tasks were decided.
    pub(crate) stop_times: BTreeMap<JobId, Millis>,
    /// Capacity reserved for jobs that found none free.
    pub(crate) reservations: BTreeMap<JobId, Reservation>,
    /// Workers on which attempts of a job have failed, or that have refused to start it.
    pub(crate) failed_workers: BTreeMap<JobId, BTreeSet<WorkerName>>,
    pub(crate) estimates: Estimates,
    pub(crate) protection: Protection,
    pub(crate) quarantine: Quarantine,
    pub(crate) suspects: Suspects,
    pub(crate) domain_phase: DomainPhase,
    /// Time of the last placement round.
    pub(crate) last_placement_at: Option<Millis>,
    /// Whether something changed that may let a waiting job start.
    pub(crate) needs_placement: bool,
    /// Whether service tasks must be compared with the documents again.
    pub(crate) needs_reconciliation: bool,
    /// Time of the last comparison of service tasks with the documents.
    pub(crate) last_reconciled_at: Option<Millis>,
    /// Time of the last round of evictions for a drain.
    pub(crate) last_eviction_at: Option<Millis>,
    /// Time of the last round of moves to other cells.
    pub(crate) last_move_at: Option<Millis>,
    /// Whether this process owned the cell at the last tick without a confirmation that it is still
    /// the owner with a current configuration.
    pub(crate) is_unconfirmed: bool,
    /// Time and offset of the last snapshot that this process has written or read.
    last_snapshot: (Millis, Offset),
    /// First offset that the log still keeps, as of the latest read.
    first_kept_offset: Offset,
    /// Time of the last append.
    last_append_at: Option<Millis>,
    /// Outputs of the current tick.
    pub(crate) outputs: Vec<Output>,
}

impl Cell {
    /// Creates the core of a cell without any state; it follows the stream from offset 0.
    #[must_use]
    pub fn new(options: CellOptions) -> Self {
        // Two processes with the same seed must not choose the same record identifiers.
        let seed = options.seed ^ options.incarnation.0.rotate_left(32);
        let mut cell = Self {
            ledger: Ledger::default(),
            journal: Journal::new(options.entry.clone(), seed),
            ownership: Ownership::default(),
            conf: None,
            cell_states: Vec::new(),
            workers: BTreeMap::new(),
            tasks: BTreeMap::new(),
            late_results: BTreeMap::new(),
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
            suspects: Suspects::default(),
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

    /// Returns the offset of the next record to apply, from which the driver reads.
    ///
    /// When the log no longer keeps it, or at the start, the driver searches backwards from the
    /// head for a snapshot and passes all records from the snapshot's offset in one
    /// [`Input::Read`]. If this offset is unchanged after that, the snapshot was not valid, and the
    /// driver searches further back; with no snapshot left it passes all records from the first
    /// one kept.
    #[must_use]
    pub fn next_offset(&self) -> Offset {
        self.ledger.next_offset
    }

    /// Applies the inputs at the time `now`, runs the steps of an owner if this process is one, and
    /// returns the outputs for the driver to carry out in order.
    pub fn tick(&mut self, now: Millis, inputs: Vec<Input>) -> Vec<Output> {
        self.ownership.begin_tick(now);
        for input in inputs {
            self.apply_input(now, input);
        }
        self.update_role(now);
        self.explain_unconfirmed(now);
        if let Some(term) = self.deciding_term() {
            self.run_owner_steps(now, term);
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
            Input::PollRefused { worker, sent_at } => {
                self.apply_poll_refusal(now, &worker, sent_at);
            }
            Input::Call { token, call } => {
                // An owner that has just read a higher claim must not reply as the owner.
                self.update_role(now);
                self.handle_call(now, token, call);
            }
            Input::Transferred { job, reply } => {
                self.apply_transfer_reply(&job, &reply);
                self.apply_result_reply(now, &job, &reply);
            }
            Input::Shutdown => self.ownership.is_shutting_down = true,
        }
    }

    fn apply_read(
        &mut self,
        now: Millis,
        sent_at: Millis,
        first_offset: Offset,
        head_offset: Offset,
        records: &[(Offset, Envelope<CellRecord>)],
    ) {
        self.first_kept_offset = self.first_kept_offset.max(first_offset);
        let (had_lost_records, term) = (self.ledger.has_lost_records, self.ledger.term);
        if replays::apply_read(&mut self.ledger, first_offset, head_offset, records) {
            self.ownership.head_read_at = self.ownership.head_read_at.max(Some(sent_at));
        }
        if self.ledger.has_lost_records && !had_lost_records {
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
            if let Some(pending) = self.journal.commit(record.id) {
                self.remove_pending(record);
                self.reply_to_waiters(now, pending.waiters);
            }
        }
    }

    /// Removes the pending intents or submit of a record that was read back.
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

    /// Updates the owner's tables for the jobs that the stream has changed.
    fn sync_changed_jobs(&mut self, now: Millis) {
        let changed = std::mem::take(&mut self.ledger.changed_jobs);
        let dropped = std::mem::take(&mut self.ledger.dropped_results);
        if self.owned_term().is_none() {
            return;
        }
        for id in dropped {
            self.explain_job(now, &id, Reason::ResultDropped);
        }
        for id in changed {
            self.sync_job(now, &id, false);
            self.needs_placement = true;
        }
    }

    /// Updates the tables for one job. `is_inherited` says that an open attempt may be from an
    /// earlier term.
    fn sync_job(&mut self, now: Millis, id: &JobId, is_inherited: bool) {
        let Some(job) = self.ledger.jobs.get(id) else {
            self.untrack_attempt(id);
            self.waits.remove(id);
            self.waiting_groups.remove(id);
            self.failed_workers.remove(id);
            return;
        };
        let is_waiting = job.is_waiting();
        let is_service_task = job.is_service_task();
        if job.end.is_some() {
            self.failed_workers.remove(id);
        }
        if job.attempt_worker.is_none() {
            self.untrack_attempt(id);
        } else {
            self.track_attempt(now, id, is_inherited);
        }
        if is_waiting {
            let wait = WaitState {
                waiting_since: now,
                ..WaitState::default()
            };
            let since = self.waits.entry(id.clone()).or_insert(wait).waiting_since;
            if let Some(job) = self.ledger.jobs.get(id) {
                self.waiting_groups.add(id, job, since);
            }
            if !self.late_results.contains_key(id) {
                self.abandon_failed_job(now, id);
                self.give_up_crashing_job(now, id);
            }
        } else {
            self.waiting_groups.remove(id);
            if self.tasks.get(id).is_none_or(|task| !task.is_closing) {
                self.waits.remove(id);
            }
        }
        if !self.ledger.departing_jobs.contains(id) {
            self.last_transfers.remove(id);
        }
        self.needs_reconciliation |= is_service_task;
    }

    /// Adds an open attempt to the tables with an order to start it, or orders its worker to stop
    /// it if the job has ended.
    fn track_attempt(&mut self, now: Millis, id: &JobId, is_inherited: bool) {
        let Some(job) = self.ledger.jobs.get(id) else {
            return;
        };
        let Some(name) = job.attempt_worker.clone() else {
            return;
        };
        let is_new = self.tasks.get(id).is_none_or(|t| t.attempt != job.attempt);
        let has_ended = job.end.is_some();
        let worker = self
            .workers
            .entry(name.clone())
            .or_insert_with(Worker::without_reply);
        if is_new {
            let waiting_since = self.waits.get(id).map_or(now, |wait| wait.waiting_since);
            let task = Task::new(job, name, is_inherited, waiting_since, now);
            self.tasks.insert(id.clone(), task);
            worker.tasks.insert(id.clone());
            if !is_inherited {
                worker.pending_orders.insert(id.clone(), OrderKind::Start);
            }
        }
        if has_ended {
            let is_start_queued = worker.pending_orders.get(id) == Some(&OrderKind::Start);
            worker.pending_orders.insert(id.clone(), OrderKind::Stop);
            let is_never_sent = self
                .tasks
                .get(id)
                .is_some_and(|task| task.start_timestamp.is_none());
            if is_start_queued
                && is_never_sent
                && let Some(term) = self.deciding_term()
            {
                self.mark_attempt_lost(now, term, id);
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

    /// Clears all state that is only valid while this process owns the cell.
    pub(crate) fn reset_owner_state(&mut self) {
        let names = self.options.workers.iter().cloned();
        self.workers = names.map(|name| (name, Worker::without_reply())).collect();
        self.tasks.clear();
        self.late_results.clear();
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
        self.suspects = Suspects::default();
        self.domain_phase = DomainPhase::new();
        self.last_placement_at = None;
        self.needs_placement = true;
        self.needs_reconciliation = true;
    }

    /// Fills the tables of a new owner from the ledger.
    pub(crate) fn load_owner_state(&mut self, now: Millis) {
        let jobs = self.ledger.jobs.iter();
        let unfinished: Vec<JobId> = jobs
            .filter(|(_, job)| job.attempt_worker.is_some() || job.end.is_none())
            .map(|(id, _)| id.clone())
            .collect();
        for id in unfinished {
            self.sync_job(now, &id, true);
        }
        if self.last_snapshot.1 == Offset(0) {
            self.last_snapshot.0 = now;
        }
    }

    /// Runs the steps of an owner; later ones depend on the results of earlier ones.
    fn run_owner_steps(&mut self, now: Millis, term: Term) {
        self.finish_late_results(now, term);
        self.send_late_results(now);
        self.acknowledge_events(now);
        self.mark_unconfirmed_lost(now, term);
        self.update_drain(now, term);
        self.reconcile_services(now, term);
        self.protect_services(now);
        self.update_probes(now);
        self.update_probations();
        self.expire_reservations(now);
        self.place_jobs(now, term);
        self.move_jobs(now, term);
        self.send_transfers(now);
        self.write_snapshot(now, term);
    }

    /// Writes a snapshot when the last one is old, far back in the stream, or expired.
    fn write_snapshot(&mut self, now: Millis, term: Term) {
        let (at, offset) = self.last_snapshot;
        let is_old = now.since(at).0 >= self.options.retention.0 / SNAPSHOT_RETENTION_DIVISOR;
        // After an outage longer than the retention the state exists only in the processes' memory.
        let is_expired = offset < self.first_kept_offset && !self.ledger.is_partial;
        let is_far_back =
            self.ledger.next_offset.0.saturating_sub(offset.0) >= SNAPSHOT_RECORD_INTERVAL;
        if !is_old && !is_far_back && !is_expired {
            return;
        }
        if let Some(body) = replays::encode_snapshot(&self.ledger) {
            self.journal.write(term, body);
            self.last_snapshot = (now, self.ledger.next_offset);
        }
    }

    /// Passes the queued records to the driver in one append per `INTENT_BATCH_INTERVAL`, because
    /// the log accepts only several hundred appends a second from all cells together.
    fn flush_records(&mut self, now: Millis) {
        let is_early = self
            .last_append_at
            .is_some_and(|last| now.since(last) < INTENT_BATCH_INTERVAL);
        if !is_early && !self.journal.queue.is_empty() {
            self.last_append_at = Some(now);
            let records = std::mem::take(&mut self.journal.queue);
            self.outputs.push(Output::Append(records));
        }
    }
}

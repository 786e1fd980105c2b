//! Driver of one cell core in a simulated entry.

use std::collections::BTreeMap;

use hyssop_core::{
    CellId, CellRecord, EntryName, Envelope, Incarnation, JobCall, JobId, Millis, Offset,
    ReadReply, RecordId, Term, WorkerName,
};
use hyssop_log::{
    CommitTracker, ReadResult, Submission, TrackerInput, TrackerOptions, TrackerOutput,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};

use super::confs::{LOG_TIMEOUT_MS, append_result};
use super::entries::{Entry, ExchangeResult, JobOrigin, PendingKind, Settings};
use super::nodes::{Body, Node};

/// Interval of reads of a cell's stream.
const READ_INTERVAL: Millis = Millis(100);
/// Timeout of a poll of a worker.
const POLL_TIMEOUT_MS: u64 = 1_500;
/// Timeout of a call about a job from one cell to another in another entry.
const TRANSFER_TIMEOUT_MS: u64 = 6_000;

/// A cell core with the reads and appends of its stream.
#[derive(Debug)]
pub(crate) struct CellDriver {
    pub(crate) cell: Cell,
    pub(crate) inputs: Vec<Input>,
    tracker: CommitTracker,
    tracker_inputs: Vec<TrackerInput>,
    /// Records that the core has appended but not read back yet.
    uncommitted: BTreeMap<RecordId, Submission>,
    /// Records that the tracker reported as committed but that the core has not read yet.
    unread_commits: BTreeMap<RecordId, Offset>,
    /// Drops records that expired before the core read them; a broken variant.
    pub(crate) drops_expired: bool,
    /// Whether the core has given up the cell after a shutdown.
    pub(crate) has_stopped: bool,
    is_reading: bool,
    last_read_at: Option<Millis>,
    /// First offset of the stream, set while the next read must search for a snapshot from there.
    search_from: Option<Offset>,
}

impl CellDriver {
    pub(crate) fn new(
        id: &CellId,
        entry: &EntryName,
        incarnation: u64,
        settings: &Settings,
    ) -> Self {
        let workers = settings.workers[id].iter();
        let options = CellOptions {
            cell: id.clone(),
            cells: settings.cells.clone(),
            workers: workers.map(|(name, _)| name.clone()).collect(),
            entry: entry.clone(),
            incarnation: Incarnation(incarnation),
            seed: settings.seed,
            poll_interval: Millis(1_000),
            retention: settings.retention,
        };
        Self {
            cell: Cell::new(options),
            inputs: Vec::new(),
            tracker: CommitTracker::new(
                TrackerOptions::default(),
                Offset(0),
                settings.seed ^ incarnation,
            ),
            tracker_inputs: Vec::new(),
            uncommitted: BTreeMap::new(),
            unread_commits: BTreeMap::new(),
            drops_expired: false,
            has_stopped: false,
            is_reading: false,
            last_read_at: None,
            search_from: None,
        }
    }

    pub(crate) fn handle_append(&mut self, batch_id: u64, result: &ExchangeResult) {
        self.tracker_inputs.push(TrackerInput::AppendEnded {
            batch_id,
            result: append_result(result),
        });
    }

    pub(crate) fn handle_read(
        &mut self,
        sent: Millis,
        read_id: Option<u64>,
        from: Offset,
        result: ExchangeResult,
    ) {
        if read_id.is_none() {
            self.is_reading = false;
        }
        let Ok(Body::Records(reply)) = result else {
            if let Some(read_id) = read_id {
                self.tracker_inputs
                    .push(TrackerInput::ReadFailed { read_id });
            }
            return;
        };
        let read_back = ReadResult::new(read_id, from, &reply);
        self.tracker_inputs
            .push(TrackerInput::ReadSucceeded(read_back));
        if read_id.is_none() {
            self.apply_read(sent, &reply);
        }
    }

    fn apply_read(&mut self, sent: Millis, reply: &ReadReply) {
        let applied = self.cell.next_offset();
        if reply.first > applied && self.search_from.is_none() {
            self.search_from = Some(reply.first);
            return;
        }
        let parse = |text: &str| serde_json::from_str::<Envelope<CellRecord>>(text).ok();
        let records = reply.records.iter();
        let mut records: Vec<_> = records
            .filter_map(|stored| Some((stored.offset, parse(&stored.record)?)))
            .collect();
        if self.search_from.take().is_some() {
            let start = replay_start(&records, reply.first);
            records.retain(|(offset, _)| *offset >= start);
        }
        for (_, record) in &records {
            self.uncommitted.remove(&record.id);
            self.unread_commits.remove(&record.id);
        }
        self.resubmit_expired(reply.first);
        self.inputs.push(Input::Read {
            sent_at: sent,
            first_offset: reply.first,
            head_offset: reply.head,
            records,
        });
    }

    pub(crate) fn handle_poll(&mut self, worker: WorkerName, sent: Millis, result: ExchangeResult) {
        self.inputs.push(match result {
            Ok(Body::PollReply(Ok(reply))) => Input::Polled {
                worker,
                sent_at: sent,
                reply,
            },
            Ok(Body::PollReply(Err(fenced))) => Input::Fenced {
                worker,
                term: fenced.term,
            },
            _ => Input::PollFailed {
                worker,
                sent_at: sent,
            },
        });
    }

    fn submit(&mut self, record: &Envelope<CellRecord>) {
        let text = serde_json::to_string(record).expect("a record is JSON");
        let submission = Submission::new(record.id, record.term, text);
        self.uncommitted.insert(record.id, submission.clone());
        self.tracker_inputs.push(TrackerInput::Submit(submission));
    }

    /// Submits records again that expired before the core read them, because the core waits until
    /// it reads them back.
    fn resubmit_expired(&mut self, first: Offset) {
        if self.drops_expired {
            return;
        }
        for (id, _) in self
            .unread_commits
            .extract_if(.., |_, offset| *offset < first)
        {
            if let Some(submission) = self.uncommitted.get(&id) {
                self.tracker_inputs
                    .push(TrackerInput::Submit(submission.clone()));
            }
        }
    }

    fn abandon(&mut self) {
        let mut terms: Vec<Term> = self.uncommitted.values().map(|s| s.term).collect();
        terms.sort_unstable();
        terms.dedup();
        self.uncommitted.clear();
        self.unread_commits.clear();
        let abandon = terms.into_iter().map(|term| TrackerInput::GiveUp { term });
        self.tracker_inputs.extend(abandon);
    }
}

/// Returns the offset at which replay starts: the end of the range that the latest snapshot covers,
/// or the first retained record.
fn replay_start(records: &[(Offset, Envelope<CellRecord>)], first: Offset) -> Offset {
    let snapshots = records.iter().filter_map(|(_, record)| match &record.body {
        CellRecord::Snapshot { upto, .. } => Some(*upto),
        _ => None,
    });
    snapshots
        .filter(|upto| *upto >= first)
        .max()
        .unwrap_or(first)
}

impl Entry {
    pub(crate) fn drive_cell(&mut self, now: Millis, id: &CellId) {
        let connectivity = Input::Connectivity {
            connectivity: self.connectivity(now),
            has_majority: self.peers.has_majority(now),
            has_recent_start: self.peers.has_recent_start(now, now.since(self.started_at)),
            rank: self.peers.election_rank(now, id),
        };
        let mut states = self.peer_claims(now, true);
        states.extend(
            self.own_cells()
                .into_iter()
                .filter(|state| state.cell != *id),
        );
        let Some(driver) = self.cells.get_mut(id) else {
            return;
        };
        let mut inputs = vec![Input::Peers(states), connectivity];
        inputs.append(&mut driver.inputs);
        for output in driver.cell.tick(now, inputs) {
            self.apply_output(now, id, output);
        }
        self.drive_tracker(now, id);
        self.read_stream(now, id);
    }

    fn read_stream(&mut self, now: Millis, id: &CellId) {
        let Some(driver) = self.cells.get_mut(id) else {
            return;
        };
        let due = driver
            .last_read_at
            .is_none_or(|at| now.since(at) >= READ_INTERVAL);
        if driver.is_reading || !due {
            return;
        }
        driver.is_reading = true;
        driver.last_read_at = Some(now);
        let from = driver
            .search_from
            .unwrap_or_else(|| driver.cell.next_offset());
        self.read(
            now,
            &id.stream(),
            from,
            PendingKind::CellRead(id.clone(), None, from),
        );
    }

    fn drive_tracker(&mut self, now: Millis, id: &CellId) {
        let Some(driver) = self.cells.get_mut(id) else {
            return;
        };
        let inputs = std::mem::take(&mut driver.tracker_inputs);
        let outputs = driver.tracker.tick(now, inputs);
        for output in outputs {
            match output {
                TrackerOutput::Append { batch_id, records } => {
                    let body = Body::Append(id.stream(), records);
                    let kind = PendingKind::CellAppend(id.clone(), batch_id);
                    self.send_request(now, Node::Log, body, LOG_TIMEOUT_MS, kind);
                }
                TrackerOutput::Read { read_id, from, .. } => {
                    let kind = PendingKind::CellRead(id.clone(), Some(read_id), from);
                    self.read(now, &id.stream(), from, kind);
                }
                TrackerOutput::Committed { id: record, offset } => {
                    if let Some(driver) = self.cells.get_mut(id)
                        && driver.uncommitted.contains_key(&record)
                    {
                        driver.unread_commits.insert(record, offset);
                    }
                }
                TrackerOutput::GivenUp { id: record, .. } => {
                    // The core waits until it reads the record back.
                    if let Some(driver) = self.cells.get_mut(id)
                        && let Some(submission) = driver.uncommitted.get(&record)
                    {
                        let input = TrackerInput::Submit(submission.clone());
                        driver.tracker_inputs.push(input);
                    }
                }
            }
        }
    }

    fn apply_output(&mut self, now: Millis, id: &CellId, output: Output) {
        match output {
            Output::Append(records) => {
                if let Some(driver) = self.cells.get_mut(id) {
                    records.iter().for_each(|record| driver.submit(record));
                }
            }
            Output::AbandonAppends => {
                if let Some(driver) = self.cells.get_mut(id) {
                    driver.abandon();
                }
            }
            Output::Poll { worker, request } => {
                let workers = self.settings.workers[id].iter();
                let number = workers.filter(|(name, _)| *name == worker).map(|(_, n)| *n);
                let Some(number) = number.into_iter().next() else {
                    return;
                };
                let body = Body::Poll(id.clone(), request);
                let kind = PendingKind::Poll(id.clone(), worker);
                self.send_request(now, Node::Worker(number), body, POLL_TIMEOUT_MS, kind);
            }
            Output::Reply { token, reply } => self.finish_job_call(token, reply),
            Output::Transfer {
                to,
                spec,
                attempt,
                checkpoint,
                crashes,
            } => {
                let job = spec.id.clone();
                let call = JobCall::transfer(spec, attempt, checkpoint, crashes);
                self.call_cell(now, id, &to, job, call);
            }
            Output::SendResult {
                to,
                job,
                attempt,
                result,
            } => {
                let call = JobCall::LateResult {
                    job: job.clone(),
                    attempt,
                    result,
                };
                self.call_cell(now, id, &to, job, call);
            }
            Output::Stopped => {
                if let Some(driver) = self.cells.get_mut(id) {
                    driver.has_stopped = true;
                }
            }
        }
    }

    /// Calls the owner of another cell about a job. The reply is passed to the core of `from`.
    fn call_cell(&mut self, now: Millis, from: &CellId, to: &CellId, job: JobId, call: JobCall) {
        if self
            .cells
            .get(to)
            .is_some_and(|driver| driver.cell.state().is_some())
        {
            return self.handle_job_call(to, call, JobOrigin::Local(from.clone(), job));
        }
        let states = self.peer_claims(now, true);
        let owners = states.iter().filter(|state| state.cell == *to);
        let owner = owners.max_by_key(|state| state.term);
        let names = &self.settings.entries;
        let number = owner.and_then(|state| names.iter().position(|name| *name == state.owner));
        if let Some(number) = number {
            let kind = PendingKind::Transfer(from.clone(), job);
            let body = Body::JobCall(to.clone(), call);
            self.send_request(now, Node::Entry(number), body, TRANSFER_TIMEOUT_MS, kind);
        }
    }
}

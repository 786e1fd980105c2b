//! Driver of one cell core in an entry.

use std::collections::BTreeMap;

use hyssop_core::{
    CellId, CellRecord, EntryName, Envelope, Incarnation, JobCall, JobId, Millis, Offset,
    ReadReply, RecordId, Term, WorkerName,
};
use hyssop_log::{ReadBack, Settler, SettlerInput, SettlerOptions, SettlerOutput, Submission};
use hyssop_plan::{Cell, CellOptions, Input, Output};

use super::confs::{LOG_LIMIT, append_result};
use super::entries::{End, Entry, JobOrigin, Kind, Settings};
use super::nodes::{Body, Node};

/// Interval of reads of a cell's stream.
const READ_EVERY: Millis = Millis(100);
/// Time limit of a poll.
const POLL_LIMIT: u64 = 1_500;
/// Time limit of a transfer.
const JOB_LIMIT: u64 = 6_000;

/// A core with its stream.
#[derive(Debug)]
pub(crate) struct CellDriver {
    pub(crate) cell: Cell,
    pub(crate) inputs: Vec<Input>,
    settler: Settler,
    settling: Vec<SettlerInput>,
    /// Records that are not yet settled, in the words of the core.
    unsettled: BTreeMap<RecordId, Submission>,
    /// Records that the settler found but that the core has not read yet.
    unread: BTreeMap<RecordId, Offset>,
    /// Drops records that expired before the core has read them; a broken variant.
    pub(crate) careless: bool,
    /// Whether the core has given the cell up after a shutdown.
    pub(crate) stopped: bool,
    reading: bool,
    read_at: Option<Millis>,
    /// Whether the stream is to be read from its first record, to find a snapshot.
    search: Option<Offset>,
}

impl CellDriver {
    pub(crate) fn new(id: &CellId, entry: &EntryName, life: u64, settings: &Settings) -> Self {
        let workers = settings.workers[id].iter();
        let options = CellOptions {
            cell: id.clone(),
            cells: settings.cells.clone(),
            workers: workers.map(|(name, _)| name.clone()).collect(),
            entry: entry.clone(),
            incarnation: Incarnation(life),
            seed: settings.seed,
            poll_interval: Millis(1_000),
            retention: settings.retention,
        };
        Self {
            cell: Cell::new(options),
            inputs: Vec::new(),
            settler: Settler::new(SettlerOptions::default(), Offset(0), settings.seed ^ life),
            settling: Vec::new(),
            unsettled: BTreeMap::new(),
            unread: BTreeMap::new(),
            careless: false,
            stopped: false,
            reading: false,
            read_at: None,
            search: None,
        }
    }

    pub(crate) fn appended(&mut self, batch: u64, end: &End) {
        self.settling.push(SettlerInput::Appended {
            batch,
            result: append_result(end),
        });
    }

    pub(crate) fn read_back(&mut self, sent: Millis, read: Option<u64>, from: Offset, end: End) {
        if read.is_none() {
            self.reading = false;
        }
        let Ok(Body::Records(reply)) = end else {
            if let Some(read) = read {
                self.settling.push(SettlerInput::ReadFailed { read });
            }
            return;
        };
        let back = ReadBack::new(read, from, &reply);
        self.settling.push(SettlerInput::Read(back));
        if read.is_none() {
            self.follow(sent, &reply);
        }
    }

    fn follow(&mut self, sent: Millis, reply: &ReadReply) {
        let applied = self.cell.next_offset();
        if reply.first > applied && self.search.is_none() {
            self.search = Some(reply.first);
            return;
        }
        let parse = |text: &str| serde_json::from_str::<Envelope<CellRecord>>(text).ok();
        let records = reply.records.iter();
        let mut records: Vec<_> = records
            .filter_map(|stored| Some((stored.offset, parse(&stored.record)?)))
            .collect();
        if self.search.take().is_some() {
            let start = start_of(&records, reply.first);
            records.retain(|(offset, _)| *offset >= start);
        }
        for (_, record) in &records {
            self.unsettled.remove(&record.id);
            self.unread.remove(&record.id);
        }
        self.submit_lost(reply.first);
        self.inputs.push(Input::Read {
            sent_at: sent,
            first_offset: reply.first,
            head_offset: reply.head,
            records,
        });
    }

    pub(crate) fn polled(&mut self, worker: WorkerName, sent: Millis, end: End) {
        self.inputs.push(match end {
            Ok(Body::Polled(Ok(reply))) => Input::Polled {
                worker,
                sent_at: sent,
                reply,
            },
            Ok(Body::Polled(Err(fenced))) => Input::Fenced {
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
        self.unsettled.insert(record.id, submission.clone());
        self.settling.push(SettlerInput::Submit(submission));
    }

    /// Appends the records again that expired before the core has read them. It waits for them
    /// until they are read back.
    fn submit_lost(&mut self, first: Offset) {
        if self.careless {
            return;
        }
        for (id, _) in self.unread.extract_if(.., |_, offset| *offset < first) {
            if let Some(submission) = self.unsettled.get(&id) {
                self.settling.push(SettlerInput::Submit(submission.clone()));
            }
        }
    }

    fn abandon(&mut self) {
        let mut terms: Vec<Term> = self.unsettled.values().map(|s| s.term).collect();
        terms.sort_unstable();
        terms.dedup();
        self.unsettled.clear();
        self.unread.clear();
        let abandon = terms.into_iter().map(|term| SettlerInput::Abandon { term });
        self.settling.extend(abandon);
    }
}

/// Returns where replay starts among all records kept: at the end of the last snapshot's part.
fn start_of(records: &[(Offset, Envelope<CellRecord>)], first: Offset) -> Offset {
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
        let standing = Input::Connectivity {
            connectivity: self.standing(now),
            has_majority: self.peers.majority(now),
            has_recent_start: self.peers.young(now, now.since(self.started)),
            rank: self.peers.rank(now, id),
        };
        let mut states = self.stated(now, true);
        states.extend(self.states().into_iter().filter(|state| state.cell != *id));
        let Some(driver) = self.cells.get_mut(id) else {
            return;
        };
        let mut inputs = vec![Input::Peers(states), standing];
        inputs.append(&mut driver.inputs);
        for output in driver.cell.tick(now, inputs) {
            self.carry_out(now, id, output);
        }
        self.settle(now, id);
        self.follow_cell(now, id);
    }

    fn follow_cell(&mut self, now: Millis, id: &CellId) {
        let Some(driver) = self.cells.get_mut(id) else {
            return;
        };
        let due = driver.read_at.is_none_or(|at| now.since(at) >= READ_EVERY);
        if driver.reading || !due {
            return;
        }
        driver.reading = true;
        driver.read_at = Some(now);
        let from = driver.search.unwrap_or_else(|| driver.cell.next_offset());
        self.read(
            now,
            &id.stream(),
            from,
            Kind::CellRead(id.clone(), None, from),
        );
    }

    fn settle(&mut self, now: Millis, id: &CellId) {
        let Some(driver) = self.cells.get_mut(id) else {
            return;
        };
        let inputs = std::mem::take(&mut driver.settling);
        let outputs = driver.settler.tick(now, inputs);
        for output in outputs {
            match output {
                SettlerOutput::Append { batch, records } => {
                    let body = Body::Append(id.stream(), records);
                    let kind = Kind::CellAppend(id.clone(), batch);
                    self.ask(now, Node::Log, body, LOG_LIMIT, kind);
                }
                SettlerOutput::Read { read, from, .. } => {
                    let kind = Kind::CellRead(id.clone(), Some(read), from);
                    self.read(now, &id.stream(), from, kind);
                }
                SettlerOutput::Settled { id: record, offset } => {
                    if let Some(driver) = self.cells.get_mut(id)
                        && driver.unsettled.contains_key(&record)
                    {
                        driver.unread.insert(record, offset);
                    }
                }
                SettlerOutput::GivenUp { id: record, .. } => {
                    // The core waits for the record until it is read back.
                    if let Some(driver) = self.cells.get_mut(id)
                        && let Some(submission) = driver.unsettled.get(&record)
                    {
                        let input = SettlerInput::Submit(submission.clone());
                        driver.settling.push(input);
                    }
                }
            }
        }
    }

    fn carry_out(&mut self, now: Millis, id: &CellId, output: Output) {
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
                let kind = Kind::Poll(id.clone(), worker);
                self.ask(now, Node::Worker(number), body, POLL_LIMIT, kind);
            }
            Output::Reply { token, reply } => self.job_done(token, reply),
            Output::Transfer {
                to,
                spec,
                attempt,
                checkpoint,
            } => {
                let job = spec.id.clone();
                let call = JobCall::Transfer {
                    spec,
                    attempt,
                    checkpoint,
                };
                self.transfer(now, id, &to, job, call);
            }
            Output::Stopped => {
                if let Some(driver) = self.cells.get_mut(id) {
                    driver.stopped = true;
                }
            }
        }
    }

    fn transfer(&mut self, now: Millis, from: &CellId, to: &CellId, job: JobId, call: JobCall) {
        if self.cells.get(to).is_some_and(|d| d.cell.state().is_some()) {
            return self.job(to, call, JobOrigin::Local(from.clone(), job));
        }
        let states = self.stated(now, true);
        let owners = states.iter().filter(|state| state.cell == *to);
        let owner = owners.max_by_key(|state| state.term);
        let names = &self.settings.entries;
        let number = owner.and_then(|state| names.iter().position(|name| *name == state.owner));
        if let Some(number) = number {
            let kind = Kind::Transfer(from.clone(), job);
            let body = Body::Job(to.clone(), call);
            self.ask(now, Node::Entry(number), body, JOB_LIMIT, kind);
        }
    }
}

//! A simulated fleet in virtual time: entries with cell cores, in-memory streams and fake workers.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hyssop_core::{
    CellId, CellRecord, CellState, Class, ConfView, DocView, DomainName, DomainState, EntryName,
    Envelope, Incarnation, JobCall, JobPhase, JobReply, JobStatus, Millis, Offset, PollReply,
    PollRequest, RecordId, Resources, ServiceDoc, Version, WorkerName,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};

use crate::cell_calls::CellCalls;
use crate::samples::{doc, domain, job_id, worker_name};
use crate::streams::{Stream, append, read};
use crate::worker::FakeWorker;

/// Delay after which a poll arrives that the driver has reported as failed.
const LATE_POLL_DELAY: Millis = Millis(700);
/// Interval between ticks of the cores.
pub(crate) const TICK_INTERVAL: Millis = Millis(50);

/// An entry process with a core for each cell.
pub(crate) struct Entry {
    incarnation: Incarnation,
    pub(crate) cell_cores: BTreeMap<CellId, Core>,
    /// Whether the process runs; a suspended one keeps its state.
    pub(crate) is_running: bool,
    /// Whether the process reaches the log.
    pub(crate) reaches_log: bool,
    /// Whether heartbeats between the process and the other entries arrive.
    pub(crate) reaches_peers: bool,
    /// Time of the last confirmation by the log.
    pub(crate) confirmed_at: Option<Millis>,
    /// Last heartbeats of the other entries: their times and cell states.
    pub(crate) last_heartbeats: BTreeMap<usize, (Millis, Vec<CellState>)>,
    /// Offset of the configuration that the process has.
    conf_offset: Offset,
}

/// The core of a cell, a state machine without I/O, with its driver's state.
pub(crate) struct Core {
    pub(crate) cell: Cell,
    inputs: Vec<Input>,
    /// Records that are appended again until they are read back.
    uncommitted: Vec<Envelope<CellRecord>>,
    pub(crate) is_stopped: bool,
}

/// A message to or from a worker that is not delivered yet.
enum Message {
    Poll {
        entry: usize,
        cell: CellId,
        worker: WorkerName,
        sent: Millis,
        request: PollRequest,
    },
    /// A poll that was reported as failed; its reply is discarded.
    Late {
        worker: WorkerName,
        request: PollRequest,
    },
    Reply {
        entry: usize,
        cell: CellId,
        worker: WorkerName,
        sent: Millis,
        reply: PollReply,
    },
}

/// A simulated fleet.
pub(crate) struct Fleet {
    pub(crate) now: Millis,
    pub(crate) entries: Vec<Entry>,
    pub(crate) streams: BTreeMap<CellId, Stream>,
    pub(crate) workers: BTreeMap<WorkerName, FakeWorker>,
    pub(crate) conf: ConfView,
    pub(crate) cells: Vec<CellId>,
    pub(crate) replies: BTreeMap<u64, JobReply>,
    /// Whether the log is available.
    pub(crate) is_log_up: bool,
    /// Whether every appended record is stored twice.
    pub(crate) doubles_appends: bool,
    /// Number of messages to and from workers that are dropped next.
    pub(crate) messages_to_drop: u32,
    /// Number of polls that are reported as failed next and arrive late.
    pub(crate) polls_to_delay: u32,
    /// Poll interval of entries that are created from now on.
    pub(crate) poll_interval: Millis,
    /// Whether the entries see one that has been up only briefly.
    pub(crate) has_recent_start: bool,
    /// All outputs, for comparisons between runs.
    pub(crate) trace: Vec<String>,
    /// Time since which each domain is out of service.
    pub(crate) out_since: BTreeMap<DomainName, Millis>,
    messages: VecDeque<(Millis, Message)>,
    last_token: u64,
    /// Calls between cells.
    pub(crate) cell_calls: CellCalls,
}

impl Fleet {
    /// Creates a fleet of `entries` entries and `workers` workers in each of `domains`.
    pub(crate) fn new(entries: u64, domains: &[&str], workers: usize) -> Self {
        let cells: Vec<_> = domains.iter().map(|d| CellId::new(domain(d), 0)).collect();
        let mut fleet = Self {
            now: Millis(10_000),
            entries: Vec::new(),
            streams: cells
                .iter()
                .map(|c| (c.clone(), Stream::default()))
                .collect(),
            workers: BTreeMap::new(),
            conf: ConfView::default(),
            cells,
            replies: BTreeMap::new(),
            is_log_up: true,
            doubles_appends: false,
            messages_to_drop: 0,
            polls_to_delay: 0,
            poll_interval: Millis(1_000),
            has_recent_start: false,
            trace: Vec::new(),
            out_since: BTreeMap::new(),
            messages: VecDeque::new(),
            last_token: 0,
            cell_calls: CellCalls::default(),
        };
        for cell in fleet.cells.clone() {
            for n in 0..workers {
                let name = worker_name(&cell, n);
                let rack = format!("{}-r{}", cell.domain, n / 3);
                let worker = FakeWorker::new(Resources::new(16_000, 60_000, 0), &rack, 100);
                fleet.workers.insert(name, worker);
            }
        }
        fleet.set_doc(doc("cuts", Class::Batch, 0));
        for n in 0..entries {
            fleet.add_entry(n, 1);
        }
        fleet
    }

    fn add_entry(&mut self, n: u64, incarnation: u64) {
        let entry = self.build_entry(n, incarnation);
        self.entries.push(entry);
    }

    fn build_entry(&self, n: u64, incarnation: u64) -> Entry {
        let name = EntryName::new(format!("entry-{n}")).expect("entry");
        let incarnation = Incarnation(n * 1_000 + incarnation);
        let core = |cell: &CellId| {
            let names = self.workers.keys();
            let prefix = format!("{}-", cell.domain);
            let options = CellOptions {
                cell: cell.clone(),
                cells: self.cells.clone(),
                workers: names
                    .filter(|w| w.as_str().starts_with(&prefix))
                    .cloned()
                    .collect(),
                entry: name.clone(),
                incarnation,
                seed: 7,
                poll_interval: self.poll_interval,
                retention: Millis(60_000),
            };
            Core {
                cell: Cell::new(options),
                inputs: Vec::new(),
                uncommitted: Vec::new(),
                is_stopped: false,
            }
        };
        Entry {
            cell_cores: self.cells.iter().map(|c| (c.clone(), core(c))).collect(),
            incarnation,
            is_running: true,
            reaches_log: true,
            reaches_peers: true,
            confirmed_at: None,
            last_heartbeats: BTreeMap::new(),
            conf_offset: Offset(0),
        }
    }

    /// Replaces an entry by a new process with the same name.
    pub(crate) fn replace_entry(&mut self, n: usize) {
        let incarnation = self.entries[n].incarnation.0 % 1_000 + 1;
        let number = u64::try_from(n).expect("number");
        self.entries[n] = self.build_entry(number, incarnation);
    }

    pub(crate) fn set_doc(&mut self, doc: ServiceDoc) {
        let version = Version(self.conf.applied.0);
        self.conf
            .docs
            .insert(doc.service.clone(), DocView { version, doc });
        self.bump_conf_version();
    }

    pub(crate) fn set_domain(&mut self, name: &str, state: DomainState) {
        let version = Version(self.conf.applied.0);
        self.conf.domains.insert(domain(name), (version, state));
        match state {
            DomainState::Out => self.out_since.insert(domain(name), self.now),
            DomainState::In => self.out_since.remove(&domain(name)),
        };
        self.bump_conf_version();
    }

    /// Makes a change of the configuration visible to the entries.
    pub(crate) fn bump_conf_version(&mut self) {
        self.conf.applied = self.conf.applied.next();
    }

    /// Passes a changed configuration to an entry if it reaches the log.
    fn update_conf(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        if !self.is_log_up || !entry.reaches_log || entry.conf_offset == self.conf.applied {
            return;
        }
        entry.conf_offset = self.conf.applied;
        let view = Arc::new(self.conf.clone());
        for core in entry.cell_cores.values_mut() {
            core.inputs.push(Input::Conf(view.clone()));
        }
    }

    /// Requests the shutdown of an entry.
    pub(crate) fn shut_down(&mut self, n: usize) {
        for core in self.entries[n].cell_cores.values_mut() {
            core.inputs.push(Input::Shutdown);
        }
    }

    /// Returns the numbers of waiting and running tasks of each cell as reported by its owner.
    pub(crate) fn unfinished(&self) -> Vec<(CellId, u32, u32)> {
        let owners = self.cells.iter().filter_map(|cell| {
            let owner = self.owner(cell)?;
            let state = self.entries[owner].cell_cores[cell].cell.state()?;
            Some((cell.clone(), state.summary.pending, state.summary.running))
        });
        owners.collect()
    }

    /// Returns whether all cells have owners and only the two service tasks run.
    pub(crate) fn is_idle(&self) -> bool {
        let open = self.unfinished();
        let batch = self.workers.values().flat_map(|w| w.tasks.values());
        let busy = batch.filter(|task| task.order.class != Class::LatencyCritical);
        open.len() == self.cells.len()
            && open.iter().all(|(_, pending, _)| *pending == 0)
            && open.iter().map(|(_, _, running)| running).sum::<u32>() == 2
            && busy.count() == 0
    }

    /// Makes a call to the owner of a cell, or to the first entry without one, and returns its
    /// token.
    pub(crate) fn call(&mut self, cell: &CellId, call: JobCall) -> u64 {
        let owner = self.owner(cell).unwrap_or(0);
        self.call_at(owner, cell, call)
    }

    pub(crate) fn call_at(&mut self, entry: usize, cell: &CellId, call: JobCall) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        let core = self.entries[entry].cell_cores.get_mut(cell).expect("core");
        core.inputs.push(Input::Call { token, call });
        token
    }

    /// Makes a call and advances the time until the reply arrives.
    pub(crate) fn call_and_wait(&mut self, cell: &CellId, call: JobCall) -> JobReply {
        let token = self.call(cell, call);
        let has_reply = self.run_until(10_000, |fleet| fleet.replies.contains_key(&token));
        assert!(has_reply, "call {token} has no reply");
        self.replies.remove(&token).expect("reply")
    }

    pub(crate) fn status(&mut self, cell: &CellId, job: &str) -> JobStatus {
        match self.call_and_wait(cell, JobCall::Show(job_id(job))) {
            JobReply::Status(status) => status,
            other => panic!("no status of {job}: {other:?}"),
        }
    }

    pub(crate) fn is_phase(&mut self, cell: &CellId, job: &str, phase: JobPhase) -> bool {
        self.status(cell, job).phase == phase
    }

    /// Returns the entry that owns a cell.
    pub(crate) fn owner(&self, cell: &CellId) -> Option<usize> {
        let owns =
            |entry: &Entry| entry.is_running && entry.cell_cores[cell].cell.state().is_some();
        self.entries.iter().position(owns)
    }

    /// Advances the time until `is_done` returns true, at most by `limit` milliseconds. Returns
    /// whether it did.
    pub(crate) fn run_until(&mut self, limit: u64, is_done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + Millis(limit);
        while self.now < end {
            self.step();
            if is_done(self) {
                return true;
            }
        }
        false
    }

    /// Advances the time by `time` milliseconds.
    pub(crate) fn run(&mut self, time: u64) {
        let _ = self.run_until(time, |_| false);
    }

    /// Advances the time by one tick of all workers and entries.
    pub(crate) fn step(&mut self) {
        self.now = self.now + TICK_INTERVAL;
        for worker in self.workers.values_mut() {
            worker.run(self.now, TICK_INTERVAL);
        }
        self.deliver_cell_calls();
        self.deliver_messages();
        self.exchange_heartbeats();
        for n in 0..self.entries.len() {
            if self.entries[n].is_running {
                self.update_conf(n);
                for cell in self.cells.clone() {
                    self.tick_core(n, &cell);
                }
            }
        }
    }

    fn tick_core(&mut self, n: usize, cell: &CellId) {
        let reaches_log = self.is_log_up && self.entries[n].reaches_log;
        let connectivity = self.connectivity(n);
        let peers = self.peer_states(n, cell);
        let core = self.entries[n].cell_cores.get_mut(cell).expect("core");
        let mut inputs = std::mem::take(&mut core.inputs);
        if reaches_log {
            let stream = self.streams.get_mut(cell).expect("stream");
            append(stream, &core.uncommitted, self.doubles_appends);
            let read = read(stream, self.now, core.cell.next_offset());
            if let Input::Read { records, .. } = &read {
                let ids: BTreeSet<RecordId> = records.iter().map(|(_, r)| r.id).collect();
                core.uncommitted.retain(|record| !ids.contains(&record.id));
            }
            inputs.insert(0, read);
        }
        inputs.insert(0, connectivity);
        inputs.insert(0, peers);
        let outputs = core.cell.tick(self.now, inputs);
        for output in outputs {
            self.trace
                .push(format!("{} {n} {cell} {output:?}", self.now));
            self.apply_output(n, cell, output);
        }
    }

    fn apply_output(&mut self, n: usize, cell: &CellId, output: Output) {
        let core = self.entries[n].cell_cores.get_mut(cell).expect("core");
        match output {
            Output::Append(records) => core.uncommitted.extend(records),
            Output::AbandonAppends => core.uncommitted.clear(),
            Output::Poll { worker, request } => {
                let message = Message::Poll {
                    entry: n,
                    cell: cell.clone(),
                    worker,
                    sent: self.now,
                    request,
                };
                self.messages.push_back((self.now, message));
            }
            Output::Reply { token, reply } => {
                self.replies.insert(token, reply);
            }
            Output::Transfer {
                to,
                spec,
                attempt,
                checkpoint,
                crashes,
            } => {
                let job = spec.id.clone();
                let call = JobCall::transfer(spec, attempt, checkpoint, crashes);
                self.call_cell(n, cell, &to, job, call);
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
                self.call_cell(n, cell, &to, job, call);
            }
            Output::Stopped => core.is_stopped = true,
        }
    }

    fn deliver_messages(&mut self) {
        let messages = std::mem::take(&mut self.messages);
        for (at, message) in messages {
            if at >= self.now {
                self.messages.push_back((at, message));
                continue;
            }
            if self.messages_to_drop > 0 {
                self.messages_to_drop -= 1;
                continue;
            }
            self.deliver_message(message);
        }
    }

    fn deliver_message(&mut self, message: Message) {
        match message {
            Message::Poll {
                entry,
                cell,
                worker,
                sent,
                request,
            } => {
                let fake = self.workers.get_mut(&worker).expect("worker");
                let input = if self.polls_to_delay > 0 {
                    self.polls_to_delay -= 1;
                    let message = Message::Late {
                        worker: worker.clone(),
                        request,
                    };
                    self.messages
                        .push_back((self.now + LATE_POLL_DELAY, message));
                    Input::PollFailed {
                        worker,
                        sent_at: sent,
                    }
                } else if fake.is_down(self.now) {
                    Input::PollRefused {
                        worker,
                        sent_at: sent,
                    }
                } else if fake.is_unreachable {
                    Input::PollFailed {
                        worker,
                        sent_at: sent,
                    }
                } else {
                    match fake.poll(self.now, &request) {
                        Ok(reply) => {
                            let message = Message::Reply {
                                entry,
                                cell,
                                worker,
                                sent,
                                reply,
                            };
                            self.messages.push_back((self.now, message));
                            return;
                        }
                        Err(fenced) => Input::Fenced {
                            worker,
                            term: fenced.term,
                        },
                    }
                };
                self.entries[entry].push(&cell, input);
            }
            Message::Late { worker, request } => {
                let fake = self.workers.get_mut(&worker).expect("worker");
                let _ = fake.poll(self.now, &request);
            }
            Message::Reply {
                entry,
                cell,
                worker,
                sent,
                reply,
            } => self.entries[entry].push(
                &cell,
                Input::Polled {
                    worker,
                    sent_at: sent,
                    reply,
                },
            ),
        }
    }
}

impl Entry {
    pub(crate) fn push(&mut self, cell: &CellId, input: Input) {
        let core = self.cell_cores.get_mut(cell).expect("core");
        core.inputs.push(input);
    }
}

//! Cell cores against an in-memory stream and fake workers in virtual time.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hyssop_core::{
    CellId, CellRecord, CellState, Class, ConfView, DocView, DomainName, DomainState, EntryName,
    Envelope, Incarnation, JobCall, JobId, JobPhase, JobReply, JobSpec, JobStatus, Millis, Offset,
    PollReply, PollRequest, RecordId, Resources, ServiceDoc, Version, WorkerName,
};
use hyssop_plan::{Cell, CellOptions, Input, Output};

use crate::samples::{doc, domain, job_id, worker_name};
use crate::streams::{Stream, append, read};
use crate::worker::FakeWorker;

/// Delay of a poll that the driver has given up.
const LATE: Millis = Millis(700);
/// Interval of the drivers' ticks.
pub(crate) const STEP: Millis = Millis(50);

/// A process that owns or watches cells.
pub(crate) struct Entry {
    incarnation: Incarnation,
    pub(crate) cores: BTreeMap<CellId, Core>,
    /// Whether the process runs; a frozen one keeps its state.
    pub(crate) running: bool,
    pub(crate) log: bool,
    pub(crate) peers: bool,
    /// Time of the last proof of freshness.
    pub(crate) proof: Option<Millis>,
    /// Last beats of the other entries.
    pub(crate) heard: BTreeMap<usize, (Millis, Vec<CellState>)>,
    /// Version of the configuration that the process has.
    applied: Offset,
}

/// A core with its driver's state.
pub(crate) struct Core {
    pub(crate) cell: Cell,
    inputs: Vec<Input>,
    /// Records that the driver appends until they are read back.
    settling: Vec<Envelope<CellRecord>>,
    pub(crate) stopped: bool,
}

/// A message to or from a worker that is under way.
enum Message {
    Poll {
        entry: usize,
        cell: CellId,
        worker: WorkerName,
        sent: Millis,
        request: PollRequest,
    },
    /// A poll that the driver has given up; nobody waits for its answer.
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

/// Everything that takes part.
pub(crate) struct Fleet {
    pub(crate) now: Millis,
    pub(crate) entries: Vec<Entry>,
    pub(crate) streams: BTreeMap<CellId, Stream>,
    pub(crate) workers: BTreeMap<WorkerName, FakeWorker>,
    pub(crate) conf: ConfView,
    pub(crate) cells: Vec<CellId>,
    pub(crate) replies: BTreeMap<u64, JobReply>,
    /// Whether the log takes and returns records.
    pub(crate) log: bool,
    /// Whether every append takes effect twice.
    pub(crate) doubled: bool,
    /// Drops the next messages to and from workers.
    pub(crate) drops: u32,
    /// Delays the next polls, whose senders are told that they failed.
    pub(crate) late: u32,
    /// Interval of polls of idle workers, for entries added later.
    pub(crate) poll: Millis,
    /// Whether each entry has been up for long.
    pub(crate) young: bool,
    /// All outputs, for comparisons between runs.
    pub(crate) trace: Vec<String>,
    pub(crate) out_since: BTreeMap<DomainName, Millis>,
    messages: VecDeque<(Millis, Message)>,
    token: u64,
    transfers: Vec<(u64, usize, CellId, JobId)>,
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
            log: true,
            doubled: false,
            drops: 0,
            late: 0,
            poll: Millis(1_000),
            young: false,
            trace: Vec::new(),
            out_since: BTreeMap::new(),
            messages: VecDeque::new(),
            token: 0,
            transfers: Vec::new(),
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
                poll_interval: self.poll,
                retention: Millis(60_000),
            };
            Core {
                cell: Cell::new(options),
                inputs: Vec::new(),
                settling: Vec::new(),
                stopped: false,
            }
        };
        Entry {
            cores: self.cells.iter().map(|c| (c.clone(), core(c))).collect(),
            incarnation,
            running: true,
            log: true,
            peers: true,
            proof: None,
            heard: BTreeMap::new(),
            applied: Offset(0),
        }
    }

    /// Replaces an entry by a new process of the same name.
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
        self.spread_conf();
    }

    pub(crate) fn set_domain(&mut self, name: &str, state: DomainState) {
        let version = Version(self.conf.applied.0);
        self.conf.domains.insert(domain(name), (version, state));
        match state {
            DomainState::Out => self.out_since.insert(domain(name), self.now),
            DomainState::In => self.out_since.remove(&domain(name)),
        };
        self.spread_conf();
    }

    pub(crate) fn spread_conf(&mut self) {
        self.conf.applied = self.conf.applied.next();
    }

    /// Hands a changed configuration to an entry that reaches the log.
    fn read_conf(&mut self, n: usize) {
        let entry = &mut self.entries[n];
        if !self.log || !entry.log || entry.applied == self.conf.applied {
            return;
        }
        entry.applied = self.conf.applied;
        let view = Arc::new(self.conf.clone());
        for core in entry.cores.values_mut() {
            core.inputs.push(Input::Conf(view.clone()));
        }
    }

    /// Tells a process to stop.
    pub(crate) fn shut_down(&mut self, n: usize) {
        for core in self.entries[n].cores.values_mut() {
            core.inputs.push(Input::Shutdown);
        }
    }

    /// Returns the phases of the cells' waiting and running work, as their owners state them.
    pub(crate) fn unfinished(&self) -> Vec<(CellId, u32, u32)> {
        let owners = self.cells.iter().filter_map(|cell| {
            let owner = self.owner(cell)?;
            let state = self.entries[owner].cores[cell].cell.state()?;
            Some((cell.clone(), state.summary.pending, state.summary.running))
        });
        owners.collect()
    }

    /// Tells whether all cells are owned and only standing tasks run.
    pub(crate) fn is_idle(&self) -> bool {
        let open = self.unfinished();
        let batch = self.workers.values().flat_map(|w| w.tasks.values());
        let busy = batch.filter(|live| live.order.class != Class::LatencyCritical);
        open.len() == self.cells.len()
            && open.iter().all(|(_, pending, _)| *pending == 0)
            && open.iter().map(|(_, _, running)| running).sum::<u32>() == 2
            && busy.count() == 0
    }

    /// Makes a call at the owner of a cell, or at the first entry, and returns its token.
    pub(crate) fn call(&mut self, cell: &CellId, call: JobCall) -> u64 {
        let owner = self.owner(cell).unwrap_or(0);
        self.call_at(owner, cell, call)
    }

    pub(crate) fn call_at(&mut self, entry: usize, cell: &CellId, call: JobCall) -> u64 {
        self.token += 1;
        let token = self.token;
        let core = self.entries[entry].cores.get_mut(cell).expect("core");
        core.inputs.push(Input::Call { token, call });
        token
    }

    /// Makes a call and lets time pass until it is answered.
    pub(crate) fn ask(&mut self, cell: &CellId, call: JobCall) -> JobReply {
        let token = self.call(cell, call);
        let answered = self.run_until(10_000, |fleet| fleet.replies.contains_key(&token));
        assert!(answered, "call {token} is not answered");
        self.replies.remove(&token).expect("reply")
    }

    pub(crate) fn status(&mut self, cell: &CellId, job: &str) -> JobStatus {
        match self.ask(cell, JobCall::Show(job_id(job))) {
            JobReply::Status(status) => status,
            other => panic!("no status of {job}: {other:?}"),
        }
    }

    pub(crate) fn is_phase(&mut self, cell: &CellId, job: &str, phase: JobPhase) -> bool {
        self.status(cell, job).phase == phase
    }

    /// Returns the entry that owns a cell.
    pub(crate) fn owner(&self, cell: &CellId) -> Option<usize> {
        let owns = |entry: &Entry| entry.running && entry.cores[cell].cell.state().is_some();
        self.entries.iter().position(owns)
    }

    /// Lets time pass until `done`, at most for `limit` milliseconds. Returns whether it was.
    pub(crate) fn run_until(&mut self, limit: u64, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + Millis(limit);
        while self.now < end {
            self.step();
            if done(self) {
                return true;
            }
        }
        false
    }

    pub(crate) fn run(&mut self, time: u64) {
        let _ = self.run_until(time, |_| false);
    }

    /// Lets one step of time pass.
    pub(crate) fn step(&mut self) {
        self.now = self.now + STEP;
        for worker in self.workers.values_mut() {
            worker.run(self.now, STEP);
        }
        self.answer_transfers();
        self.deliver();
        self.beat();
        for n in 0..self.entries.len() {
            if self.entries[n].running {
                self.read_conf(n);
                for cell in self.cells.clone() {
                    self.drive(n, &cell);
                }
            }
        }
    }

    fn drive(&mut self, n: usize, cell: &CellId) {
        let reachable = self.log && self.entries[n].log;
        let standing = self.standing(n);
        let peers = self.peers(n, cell);
        let core = self.entries[n].cores.get_mut(cell).expect("core");
        let mut inputs = std::mem::take(&mut core.inputs);
        if reachable {
            let stream = self.streams.get_mut(cell).expect("stream");
            append(stream, &core.settling, self.doubled);
            let read = read(stream, self.now, core.cell.next_offset());
            if let Input::Read { records, .. } = &read {
                let ids: BTreeSet<RecordId> = records.iter().map(|(_, r)| r.id).collect();
                core.settling.retain(|record| !ids.contains(&record.id));
            }
            inputs.insert(0, read);
        }
        inputs.insert(0, standing);
        inputs.insert(0, peers);
        let outputs = core.cell.tick(self.now, inputs);
        for output in outputs {
            self.trace
                .push(format!("{} {n} {cell} {output:?}", self.now));
            self.carry_out(n, cell, output);
        }
    }

    fn carry_out(&mut self, n: usize, cell: &CellId, output: Output) {
        let core = self.entries[n].cores.get_mut(cell).expect("core");
        match output {
            Output::Append(records) => core.settling.extend(records),
            Output::AbandonAppends => core.settling.clear(),
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
            } => self.transfer(n, cell, &to, spec, attempt, checkpoint),
            Output::Stopped => core.stopped = true,
        }
    }

    /// Carries a transfer to the owner of the other cell. Its answer is read in a later step.
    fn transfer(
        &mut self,
        n: usize,
        cell: &CellId,
        to: &CellId,
        spec: JobSpec,
        attempt: hyssop_core::Attempt,
        checkpoint: u64,
    ) {
        let job = spec.id.clone();
        let token = self.call(
            to,
            JobCall::Transfer {
                spec,
                attempt,
                checkpoint,
            },
        );
        self.transfers.push((token, n, cell.clone(), job));
    }

    /// Hands the answers to transfers to the cores that asked.
    fn answer_transfers(&mut self) {
        for (token, n, cell, job) in std::mem::take(&mut self.transfers) {
            match self.replies.remove(&token) {
                Some(reply) => self.entries[n].push(&cell, Input::Transferred { job, reply }),
                None => self.transfers.push((token, n, cell, job)),
            }
        }
    }

    fn deliver(&mut self) {
        let messages = std::mem::take(&mut self.messages);
        for (at, message) in messages {
            if at >= self.now {
                self.messages.push_back((at, message));
                continue;
            }
            if self.drops > 0 {
                self.drops -= 1;
                continue;
            }
            self.deliver_one(message);
        }
    }

    fn deliver_one(&mut self, message: Message) {
        match message {
            Message::Poll {
                entry,
                cell,
                worker,
                sent,
                request,
            } => {
                let fake = self.workers.get_mut(&worker).expect("worker");
                let input = if self.late > 0 {
                    self.late -= 1;
                    let message = Message::Late {
                        worker: worker.clone(),
                        request,
                    };
                    self.messages.push_back((self.now + LATE, message));
                    Input::PollFailed {
                        worker,
                        sent_at: sent,
                    }
                } else if fake.silent {
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
    fn push(&mut self, cell: &CellId, input: Input) {
        let core = self.cores.get_mut(cell).expect("core");
        core.inputs.push(input);
    }
}

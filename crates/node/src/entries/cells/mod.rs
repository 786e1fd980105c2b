//! Drivers of the cells: each runs one core, reads its stream and polls its workers.

mod events;
mod polls;
mod receipts;
mod replays;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::{
    CellId, CellRecord, CellState, ConfView, DomainState, Envelope, EvictionCause, Evictions,
    JobCall, JobReply, Millis, ServiceName, Term, WorkerName,
};
use hyssop_log::{GiveUpOutcome, LogClient, Submission};
use hyssop_plan::{Cell, CellOptions, Input, Output};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::jobs;
use super::shared::Shared;
use super::streams::{LogEvent, Stream, TICK};
use polls::Pollster;
pub(crate) use polls::client as worker_client;
use receipts::Receipts;
use replays::Replay;

/// Longest wait of a read of the stream for a record.
const READ_WAIT: Millis = Millis(1_000);
/// Interval at which the core is told of the other cells.
const PEERS_INTERVAL: Millis = Millis(200);
/// Interval at which the core of a cell that another entry owns ticks without events. It is well
/// below the time after which a core takes its process to have been frozen.
const WATCH_TICK: Millis = Millis(250);
/// Entries, in the order of their claims, that read a cell's stream ahead: a first owner and two
/// successors.
const CANDIDATES: u32 = 3;
/// Calls that may wait for a cell.
pub(crate) const CALLS: usize = 1_024;

/// A call about jobs of one cell.
#[derive(Debug)]
pub(crate) struct CellCall {
    /// Call.
    pub(crate) call: JobCall,
    /// Takes the answer.
    pub(crate) reply: oneshot::Sender<JobReply>,
}

/// What a driver is given besides the shared state.
pub(crate) struct CellParts {
    /// Options of the core.
    pub(crate) options: CellOptions,
    /// Client of the log.
    pub(crate) log: LogClient,
    /// Client of the workers.
    pub(crate) http: reqwest::Client,
    /// Addresses of the workers.
    pub(crate) workers: HashMap<WorkerName, SocketAddr>,
    /// Calls about jobs.
    pub(crate) calls: mpsc::Receiver<CellCall>,
    /// Becomes true when the entry stops.
    pub(crate) stop: watch::Receiver<bool>,
}

/// The driver of one cell.
pub(crate) struct CellDriver {
    shared: Arc<Shared>,
    id: CellId,
    core: Cell,
    stream: Stream<CellRecord>,
    ended: mpsc::UnboundedReceiver<LogEvent>,
    replay: Replay,
    pollster: Pollster,
    /// Answers of workers and of the owners of other cells.
    inputs: mpsc::UnboundedReceiver<Input>,
    answers: mpsc::UnboundedSender<Input>,
    calls: mpsc::Receiver<CellCall>,
    stop: watch::Receiver<bool>,
    waiters: HashMap<u64, oneshot::Sender<JobReply>>,
    tokens: u64,
    receipts: Receipts,
    conf: Option<Arc<ConfView>>,
    told: Option<Millis>,
    /// Terms under which records were submitted.
    terms: Vec<Term>,
    /// Term of this process, if it owns the cell, and its evictions so far.
    owned: Option<(Term, Evictions)>,
    ticked: Millis,
    /// Whether the stream is read ahead, and when that was last decided.
    watch: bool,
    looked: Option<Millis>,
    stopped: bool,
}

impl CellDriver {
    /// Creates the driver.
    pub(crate) fn new(shared: Arc<Shared>, parts: CellParts) -> Self {
        let id = parts.options.cell.clone();
        let seed = parts.options.seed;
        let (stream, ended) = Stream::new(id.stream(), parts.log, READ_WAIT, seed);
        let (answers, inputs) = mpsc::unbounded_channel();
        Self {
            core: Cell::new(parts.options),
            pollster: Pollster::new(parts.http, parts.workers, answers.clone()),
            shared,
            id,
            stream,
            ended,
            replay: Replay::default(),
            inputs,
            answers,
            calls: parts.calls,
            stop: parts.stop,
            waiters: HashMap::new(),
            tokens: 0,
            receipts: Receipts::default(),
            conf: None,
            told: None,
            terms: Vec::new(),
            owned: None,
            ticked: Millis(0),
            watch: true,
            looked: None,
            stopped: false,
        }
    }

    /// Runs until the cell is given up after a stop.
    pub(crate) async fn run(mut self) {
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = self.stop.clone();
        let mut stopping = false;
        while !self.stopped {
            let mut inputs = Vec::new();
            tokio::select! {
                Some(event) = self.ended.recv() => self.take(event, &mut inputs),
                Some(input) = self.inputs.recv() => inputs.push(input),
                Some(call) = self.calls.recv() => self.accept(call, &mut inputs),
                () = stop_asked(&mut stop), if !stopping => {
                    stopping = true;
                    inputs.push(Input::Shutdown);
                }
                _ = tick.tick() => self.forget_callers(),
            }
            self.gather(&mut inputs);
            let idle = inputs.is_empty() && self.owned.is_none();
            if idle && self.shared.now().since(self.ticked) < WATCH_TICK {
                self.pump();
                continue;
            }
            self.step(inputs);
        }
        self.shared.fleet().own(&self.id, None);
    }

    /// Takes what else has arrived, so that one tick serves it all.
    fn gather(&mut self, inputs: &mut Vec<Input>) {
        while let Ok(event) = self.ended.try_recv() {
            self.take(event, inputs);
        }
        while let Ok(input) = self.inputs.try_recv() {
            inputs.push(input);
        }
        while let Ok(call) = self.calls.try_recv() {
            self.accept(call, inputs);
        }
    }

    fn take(&mut self, event: LogEvent, inputs: &mut Vec<Input>) {
        let now = self.shared.now();
        if let Some(tailed) = self.stream.take(now, event, replays::covers) {
            let read = self.replay.take(tailed, self.stream.is_following());
            inputs.extend(read);
        }
    }

    fn accept(&mut self, call: CellCall, inputs: &mut Vec<Input>) {
        let CellCall { call, reply } = call;
        let question = self.token();
        if let Some(call) = self.receipts.precede(question, &call) {
            let token = question;
            inputs.push(Input::Call { token, call });
        }
        let token = self.token();
        self.waiters.insert(token, reply);
        inputs.push(Input::Call { token, call });
    }

    const fn token(&mut self) -> u64 {
        self.tokens += 1;
        self.tokens
    }

    /// Drops the calls whose caller no longer waits.
    fn forget_callers(&mut self) {
        self.waiters.retain(|_, waiter| !waiter.is_closed());
    }

    /// Runs the core once. The state of the fleet comes before what has happened, so that a
    /// process that was frozen decides nothing on an earlier state.
    fn step(&mut self, inputs: Vec<Input>) {
        let now = self.shared.now();
        self.ticked = now;
        let mut all = self.surroundings(now);
        all.extend(inputs);
        let outputs = self.core.tick(now, all);
        if let Some(snapshot) = self.replay.rejected(self.core.next_offset()) {
            self.stream.reject(snapshot);
        }
        let state = self.core.state();
        self.note_state(state.as_ref());
        self.shared.fleet().own(&self.id, state);
        for output in outputs {
            self.carry_out(now, output);
        }
        self.pump();
        self.check_given_up();
    }

    /// Goes on with the stream. Besides the owner only the first candidates read it ahead, because
    /// a read by every entry would be several hundred a second at the target. The others learn of
    /// the owner by heartbeats and read as well while none is known.
    fn pump(&mut self) {
        let now = self.shared.now();
        let known = self.looked.is_some_and(|at| now.since(at) < PEERS_INTERVAL);
        if !known {
            self.looked = Some(now);
            let fleet = self.shared.fleet();
            let candidate = fleet.peers.election_rank(now, &self.id) < CANDIDATES;
            self.watch = candidate || !fleet.has_owner(now, &self.id);
        }
        self.stream.pump(now, self.watch || self.owned.is_some());
    }

    /// Logs a change of the ownership and counts the evictions of the own term.
    fn note_state(&mut self, state: Option<&CellState>) {
        let owned = state.map(|state| (state.term, state.summary.evictions));
        match (self.owned, owned) {
            (Some((before, _)), Some((term, _))) if before != term => {}
            (Some((_, before)), Some((_, now))) => self.count_evictions(before, now),
            (None, Some((term, _))) => log::info!(cell:% = self.id, term:% = term; "cell owned"),
            (Some((term, _)), None) => {
                log::info!(cell:% = self.id, term:% = term; "cell given up");
                self.receipts.clear();
            }
            (None, None) => {}
        }
        self.owned = owned;
    }

    fn count_evictions(&self, before: Evictions, now: Evictions) {
        let metrics = &self.shared.metrics;
        let count = |cause, before: u64, now: u64| {
            metrics.record_evictions(cause, now.saturating_sub(before));
        };
        count(EvictionCause::Protect, before.protect, now.protect);
        count(EvictionCause::Preempt, before.preempt, now.preempt);
        count(EvictionCause::Drain, before.drain, now.drain);
        count(EvictionCause::Rebalance, before.rebalance, now.rebalance);
        count(EvictionCause::Other, before.other, now.other);
    }

    fn count_completed(&self, kind: &ServiceName) {
        let view = self.shared.view();
        let mut states = view.domains.values();
        let out = states.any(|(_, state)| *state == DomainState::Out);
        self.shared.metrics.record_completed_job(kind, out);
    }

    fn surroundings(&mut self, now: Millis) -> Vec<Input> {
        let fleet = self.shared.fleet();
        let proven = fleet.proven(now);
        let mut inputs = vec![Input::Connectivity {
            connectivity: proven.standing,
            has_majority: proven.majority,
            has_recent_start: proven.young,
            rank: fleet.peers.election_rank(now, &self.id),
        }];
        let view = fleet.conf.view();
        // Nothing is known of the configuration before its stream was read once.
        let known = fleet.conf.confirmation_age(now).is_some();
        if known
            && self
                .conf
                .as_ref()
                .is_none_or(|conf| !Arc::ptr_eq(conf, view))
        {
            self.conf = Some(Arc::clone(view));
            inputs.push(Input::Conf(Arc::clone(view)));
        }
        if self
            .told
            .is_none_or(|told| now.since(told) >= PEERS_INTERVAL)
        {
            self.told = Some(now);
            inputs.push(Input::Peers(fleet.cells_beside(now, &self.id)));
        }
        inputs
    }

    fn carry_out(&mut self, now: Millis, output: Output) {
        match output {
            Output::Append(records) => self.append(now, records),
            Output::AbandonAppends => {
                for term in std::mem::take(&mut self.terms) {
                    self.stream.abandon(now, term);
                }
            }
            Output::Poll { worker, request } => self.pollster.poll(now, worker, request),
            Output::Reply { token, reply } => {
                if self.receipts.answered(token, &reply) {
                    return;
                }
                if let Some(kind) = self.receipts.received(&reply) {
                    self.count_completed(&kind);
                }
                if let Some(waiter) = self.waiters.remove(&token) {
                    // The caller may have gone away.
                    let _gone = waiter.send(reply);
                }
            }
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
                let (shared, answers) = (Arc::clone(&self.shared), self.answers.clone());
                tokio::spawn(async move {
                    let reply = jobs::call(&shared, &to, call).await;
                    // A closed channel means that the driver has ended.
                    let _ended = answers.send(Input::Transferred { job, reply });
                });
            }
            Output::Stopped => self.stopped = true,
        }
    }

    fn append(&mut self, now: Millis, records: Vec<Envelope<CellRecord>>) {
        for record in records {
            events::note(&self.shared, now, &self.id, &record);
            if !self.terms.contains(&record.term) {
                self.terms.push(record.term);
            }
            match serde_json::to_string(&record) {
                Ok(text) => {
                    let submission = Submission::new(record.id, record.term, text);
                    self.stream.submit(now, submission);
                }
                Err(e) => log::error!(cell:% = self.id; "record not encoded: {e}"),
            }
        }
    }

    fn check_given_up(&mut self) {
        for (id, outcome) in self.stream.given_up() {
            // Without a time limit only a full queue gives up records of the term in force.
            if outcome == GiveUpOutcome::QueueFull {
                log::error!(cell:% = self.id; "record {id} dropped: too many records wait");
            }
        }
    }
}

/// Waits until the entry stops; a handle that is gone means the same.
async fn stop_asked(stop: &mut watch::Receiver<bool>) {
    let _gone = stop.wait_for(|stop| *stop).await;
}

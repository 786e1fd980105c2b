//! Drivers of the cells. Each runs the core of one cell, reads its stream and polls its workers.

mod events;
mod polls;
mod receipts;
mod replays;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::{
    CellId, CellRecord, CellState, ConfView, Crash, DomainState, Envelope, EvictionCause,
    Evictions, JobCall, JobId, JobReply, Millis, ServiceName, Term, WorkerName,
};
use hyssop_log::{GiveUpOutcome, LogClient, Submission};
use hyssop_plan::{Cell, CellOptions, Input, Output};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::{MissedTickBehavior, interval};

use super::jobs;
use super::shared::Shared;
use super::streams::{LogEvent, Stream, TICK_INTERVAL};
use polls::WorkerPoller;
pub(crate) use polls::client as worker_client;
use receipts::Receipts;
use replays::Replay;

/// Longest wait of a read at the head of the stream for a record.
const MAX_READ_WAIT: Millis = Millis(1_000);
/// Interval at which the core gets the states of the other cells, and at which the driver decides
/// whether to read ahead.
const PEER_UPDATE_INTERVAL: Millis = Millis(200);
/// Interval at which the core of a cell that another entry owns ticks without events. It is well
/// below the gap between ticks from which a core infers that its process was suspended.
const IDLE_TICK_INTERVAL: Millis = Millis(250);
/// Number of entries, in order of their election rank, that read a cell's stream continuously: the
/// first owner and two successors.
const READ_AHEAD_CANDIDATES: u32 = 3;
/// Capacity of a cell's queue of job calls.
pub(crate) const MAX_PENDING_CALLS: usize = 1_024;

/// A job call to one cell.
#[derive(Debug)]
pub(crate) struct CellCall {
    /// Call for the core.
    pub(crate) call: JobCall,
    /// Receives the reply of the core.
    pub(crate) reply: oneshot::Sender<JobReply>,
}

/// Clients, channels and options of a driver.
pub(crate) struct CellParts {
    /// Options of the core.
    pub(crate) options: CellOptions,
    /// Client of the log.
    pub(crate) log: LogClient,
    /// Client of the workers.
    pub(crate) http: reqwest::Client,
    /// HTTP addresses of the cell's workers.
    pub(crate) workers: HashMap<WorkerName, SocketAddr>,
    /// Queue of job calls.
    pub(crate) calls: mpsc::Receiver<CellCall>,
    /// Becomes true when the entry is stopping.
    pub(crate) stop: watch::Receiver<bool>,
}

/// The driver of one cell.
pub(crate) struct CellDriver {
    shared: Arc<Shared>,
    id: CellId,
    core: Cell,
    stream: Stream<CellRecord>,
    log_events: mpsc::UnboundedReceiver<LogEvent>,
    replay: Replay,
    poller: WorkerPoller,
    /// Replies of workers and of the owners of other cells.
    inputs: mpsc::UnboundedReceiver<Input>,
    input_sender: mpsc::UnboundedSender<Input>,
    calls: mpsc::Receiver<CellCall>,
    stop: watch::Receiver<bool>,
    waiters: HashMap<u64, oneshot::Sender<JobReply>>,
    last_token: u64,
    receipts: Receipts,
    /// View that the core got last.
    conf: Option<Arc<ConfView>>,
    peers_sent_at: Option<Millis>,
    /// Terms of the submitted records.
    submitted_terms: Vec<Term>,
    /// Term under which this process owns the cell, and the evictions counted in it; `None` if
    /// another entry owns the cell.
    ownership: Option<(Term, Evictions)>,
    last_tick_at: Millis,
    /// Whether the stream is read although this process doesn't own the cell, and when that was last
    /// decided.
    is_reading_ahead: bool,
    read_ahead_checked_at: Option<Millis>,
    has_stopped: bool,
}

impl CellDriver {
    /// Creates the driver.
    pub(crate) fn new(shared: Arc<Shared>, parts: CellParts) -> Self {
        let id = parts.options.cell.clone();
        let seed = parts.options.seed;
        let (stream, log_events) = Stream::new(id.stream(), parts.log, MAX_READ_WAIT, seed);
        let (input_sender, inputs) = mpsc::unbounded_channel();
        Self {
            core: Cell::new(parts.options),
            poller: WorkerPoller::new(parts.http, parts.workers, input_sender.clone()),
            shared,
            id,
            stream,
            log_events,
            replay: Replay::default(),
            inputs,
            input_sender,
            calls: parts.calls,
            stop: parts.stop,
            waiters: HashMap::new(),
            last_token: 0,
            receipts: Receipts::default(),
            conf: None,
            peers_sent_at: None,
            submitted_terms: Vec::new(),
            ownership: None,
            last_tick_at: Millis(0),
            is_reading_ahead: true,
            read_ahead_checked_at: None,
            has_stopped: false,
        }
    }

    /// Runs until the entry stops and the cell has been resigned.
    pub(crate) async fn run(mut self) {
        let mut tick = interval(TICK_INTERVAL);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        let mut stop = self.stop.clone();
        let mut is_stopping = false;
        while !self.has_stopped {
            let mut inputs = Vec::new();
            tokio::select! {
                Some(event) = self.log_events.recv() => self.handle_log_event(event, &mut inputs),
                Some(input) = self.inputs.recv() => inputs.push(input),
                Some(call) = self.calls.recv() => self.accept(call, &mut inputs),
                () = wait_for_stop(&mut stop), if !is_stopping => {
                    is_stopping = true;
                    inputs.push(Input::Shutdown);
                }
                _ = tick.tick() => self.drop_abandoned_calls(),
            }
            self.collect_inputs(&mut inputs);
            let is_idle = inputs.is_empty() && self.ownership.is_none();
            if is_idle && self.shared.now().since(self.last_tick_at) < IDLE_TICK_INTERVAL {
                self.advance_stream();
                continue;
            }
            self.tick_core(inputs);
        }
        self.shared.fleet().set_owned(&self.id, None);
    }

    /// Collects everything that has arrived meanwhile, so that one tick of the core handles it.
    fn collect_inputs(&mut self, inputs: &mut Vec<Input>) {
        while let Ok(event) = self.log_events.try_recv() {
            self.handle_log_event(event, inputs);
        }
        while let Ok(input) = self.inputs.try_recv() {
            inputs.push(input);
        }
        while let Ok(call) = self.calls.try_recv() {
            self.accept(call, inputs);
        }
    }

    fn handle_log_event(&mut self, event: LogEvent, inputs: &mut Vec<Input>) {
        let now = self.shared.now();
        if let Some(update) = self.stream.handle_event(now, event, replays::snapshot_end) {
            let read_input = self.replay.add(update, self.stream.is_following());
            inputs.extend(read_input);
        }
    }

    fn accept(&mut self, call: CellCall, inputs: &mut Vec<Input>) {
        let CellCall { call, reply } = call;
        let status_token = self.next_token();
        if let Some(call) = self.receipts.status_call_before(status_token, &call) {
            let token = status_token;
            inputs.push(Input::Call { token, call });
        }
        let token = self.next_token();
        self.waiters.insert(token, reply);
        inputs.push(Input::Call { token, call });
    }

    const fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    /// Drops the waiters of callers that have disconnected.
    fn drop_abandoned_calls(&mut self) {
        self.waiters.retain(|_, waiter| !waiter.is_closed());
    }

    /// Runs one tick of the core. The state of the fleet precedes the other inputs, so that after a
    /// suspension of the process the core decides nothing on an old state.
    fn tick_core(&mut self, inputs: Vec<Input>) {
        let now = self.shared.now();
        self.last_tick_at = now;
        let mut all = self.state_inputs(now);
        all.extend(inputs);
        let outputs = self.core.tick(now, all);
        if let Some(snapshot) = self.replay.take_rejected(self.core.next_offset()) {
            self.stream.reject_snapshot(snapshot);
        }
        let state = self.core.state();
        self.update_ownership(state.as_ref());
        self.shared.fleet().set_owned(&self.id, state);
        for output in outputs {
            self.apply_output(now, output);
        }
        self.advance_stream();
        self.check_given_up();
    }

    /// Starts the requests to the log that are due. Besides the owner only the first candidates read
    /// the stream, because reads by all entries would be several hundred a second at the target
    /// size. The others learn of the owner by heartbeats, and read the stream while no owner is
    /// known.
    fn advance_stream(&mut self) {
        let now = self.shared.now();
        let is_current = self
            .read_ahead_checked_at
            .is_some_and(|at| now.since(at) < PEER_UPDATE_INTERVAL);
        if !is_current {
            self.read_ahead_checked_at = Some(now);
            let fleet = self.shared.fleet();
            let is_candidate = fleet.peers.election_rank(now, &self.id) < READ_AHEAD_CANDIDATES;
            self.is_reading_ahead = is_candidate || !fleet.has_owner(now, &self.id);
        }
        self.stream
            .advance(now, self.is_reading_ahead || self.ownership.is_some());
    }

    /// Logs a change of the ownership, and counts the evictions of the current term.
    fn update_ownership(&mut self, state: Option<&CellState>) {
        let ownership = state.map(|state| (state.term, state.summary.evictions));
        match (self.ownership, ownership) {
            (Some((before, _)), Some((term, _))) if before != term => {}
            (Some((_, before)), Some((_, now))) => self.count_evictions(before, now),
            (None, Some((term, _))) => log::info!(cell:% = self.id, term:% = term; "cell owned"),
            (Some((term, _)), None) => {
                log::info!(cell:% = self.id, term:% = term; "cell given up");
                self.receipts.clear();
            }
            (None, None) => {}
        }
        self.ownership = ownership;
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

    fn state_inputs(&mut self, now: Millis) -> Vec<Input> {
        let fleet = self.shared.fleet();
        let state = fleet.connectivity_state(now);
        let mut inputs = vec![Input::Connectivity {
            connectivity: state.connectivity,
            has_majority: state.has_majority,
            has_recent_start: state.has_recent_start,
            rank: fleet.peers.election_rank(now, &self.id),
        }];
        let view = fleet.conf.view();
        // Before its stream has been read once, the view holds no configuration.
        let is_conf_known = fleet.conf.confirmation_age(now).is_some();
        if is_conf_known
            && self
                .conf
                .as_ref()
                .is_none_or(|conf| !Arc::ptr_eq(conf, view))
        {
            self.conf = Some(Arc::clone(view));
            inputs.push(Input::Conf(Arc::clone(view)));
        }
        if self
            .peers_sent_at
            .is_none_or(|peers_sent_at| now.since(peers_sent_at) >= PEER_UPDATE_INTERVAL)
        {
            self.peers_sent_at = Some(now);
            inputs.push(Input::Peers(fleet.other_cells(now, &self.id)));
        }
        inputs
    }

    fn apply_output(&mut self, now: Millis, output: Output) {
        match output {
            Output::Append(records) => self.append(now, records),
            Output::AbandonAppends => {
                for term in std::mem::take(&mut self.submitted_terms) {
                    self.stream.abandon_term(now, term);
                }
            }
            Output::Poll { worker, request } => self.poller.poll(now, worker, request),
            Output::Reply { token, reply } => {
                if self.receipts.on_status_reply(token, &reply) {
                    return;
                }
                if let Some(kind) = self.receipts.on_result_reply(&reply) {
                    self.count_completed(&kind);
                }
                if let Some(waiter) = self.waiters.remove(&token) {
                    // The caller may have disconnected.
                    let _closed = waiter.send(reply);
                }
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
                self.call_cell(to, job, call);
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
                self.call_cell(to, job, call);
            }
            Output::Stopped => self.has_stopped = true,
        }
    }

    /// Calls the owner of another cell about a job, and passes the reply to the core.
    fn call_cell(&self, to: CellId, job: JobId, call: JobCall) {
        let (shared, input_sender) = (Arc::clone(&self.shared), self.input_sender.clone());
        tokio::spawn(async move {
            let reply = jobs::call(&shared, &to, call).await;
            // A closed channel means that the driver has ended.
            let _closed = input_sender.send(Input::Transferred { job, reply });
        });
    }

    fn append(&mut self, now: Millis, records: Vec<Envelope<CellRecord>>) {
        for record in records {
            events::log_record(&self.shared, now, &self.id, &record);
            if let CellRecord::Lost {
                crash: Some(crash @ (Crash::Shared | Crash::Apart)),
                ..
            } = &record.body
            {
                self.shared.metrics.record_worker_crash(*crash);
            }
            if !self.submitted_terms.contains(&record.term) {
                self.submitted_terms.push(record.term);
            }
            match serde_json::to_string(&record) {
                Ok(text) => {
                    let submission = Submission::new(record.id, record.term, text);
                    self.stream.submit(now, submission);
                }
                Err(e) => log::error!(cell:% = self.id; "cannot encode a cell record: {e}"),
            }
        }
    }

    fn check_given_up(&mut self) {
        for (id, outcome) in self.stream.take_given_up() {
            // Records are submitted without a deadline, so those of the current term are given up
            // only if the queue is full.
            if outcome == GiveUpOutcome::QueueFull {
                log::error!(cell:% = self.id; "record {id} dropped: the append queue is full");
            }
        }
    }
}

/// Waits until the entry is stopping, or its handle has been dropped.
async fn wait_for_stop(stop: &mut watch::Receiver<bool>) {
    let _closed = stop.wait_for(|stop| *stop).await;
}

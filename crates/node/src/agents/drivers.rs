//! The task that owns the gate: passes commands and timer events to it and executes its outputs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::limits::FRESHNESS_LIMIT;
use hyssop_core::{
    AnnounceReply, BackendAck, BackendAnnounce, Call, DomainName, Drain, Incarnation, MemberState,
    Millis, NotRun, Offset, Outcome, Reply, ServiceName, Ticket, TicketCall, Unknown,
};
use hyssop_route::{Gate, GateInput, GateOptions, GateOutput};
use reqwest::Client;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{Id, JoinError, JoinSet};
use tokio::time::{Instant, sleep_until};

use super::AgentStatus;
use super::backends::{Backends, IncarnationStatus};
use super::exchanges;

/// Longest time between two checks of the timeouts of the backend server and the entries.
const MAX_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Time without any step after which this process is assumed to have been suspended.
const STALL_THRESHOLD: Duration = Duration::from_secs(1);
/// Time for which an entry's reply that it serves remains valid, measured from the sending of the
/// announcement.
const SERVING_VALIDITY: Duration = Duration::from_millis(FRESHNESS_LIMIT.0);

/// Input of the driver from other tasks.
#[derive(Debug)]
pub(super) enum Command {
    /// Runs a request.
    Call {
        call: Call,
        received_at: Instant,
        reply: oneshot::Sender<Reply>,
    },
    /// Issues tickets.
    Tickets {
        call: TicketCall,
        reply: oneshot::Sender<Result<Vec<Ticket>, NotRun>>,
    },
    /// Applies the state of a failure domain.
    Drain {
        drain: Drain,
        reply: oneshot::Sender<MemberState>,
    },
    /// Applies an announcement of the backend server; the reply is `None` if it names another
    /// service than the agent's.
    BackendAnnounced {
        announce: BackendAnnounce,
        address: SocketAddr,
        reply: oneshot::Sender<Option<BackendAck>>,
    },
    /// The backend server is leaving. Without an incarnation the current one is meant.
    BackendLeaves {
        incarnation: Option<Incarnation>,
        reply: oneshot::Sender<BackendAck>,
    },
    /// An entry has replied to an announcement.
    AnnounceReplied {
        sent_at: Instant,
        reply: AnnounceReply,
    },
    /// Starts a graceful stop.
    Stop,
}

/// Owner of the gate.
pub(super) struct Driver {
    gate: Gate,
    service: ServiceName,
    domain: DomainName,
    started_at: Instant,
    last_step_at: Instant,
    inbox: mpsc::Receiver<Command>,
    client: Client,
    backends: Backends,
    last_token: u64,
    pending_calls: HashMap<u64, oneshot::Sender<Reply>>,
    pending_tickets: HashMap<u64, oneshot::Sender<Result<Vec<Ticket>, NotRun>>>,
    runs: JoinSet<(u64, Outcome)>,
    run_tokens: HashMap<Id, u64>,
    applied: Offset,
    config_confirmed_at: Option<Instant>,
    /// Time until which an entry's reply that it serves is valid; `None` before the first one.
    serving_until: Option<Instant>,
    is_entry_serving: bool,
    /// Time from which a graceful stop may finish; `None` unless the agent is stopping.
    idle_allowed_at: Option<Instant>,
    announce_interval: Duration,
    status: watch::Sender<AgentStatus>,
}

impl Driver {
    /// Creates a driver that reads its commands from `inbox`.
    ///
    /// # Errors
    ///
    /// Returns an error if the HTTP client can't be set up.
    pub(super) fn new(
        options: GateOptions,
        announce_interval: Duration,
        inbox: mpsc::Receiver<Command>,
    ) -> reqwest::Result<Self> {
        let now = Instant::now();
        let (service, domain) = (options.service.clone(), options.domain.clone());
        let gate = Gate::new(options);
        let status = AgentStatus {
            state: gate.status().state,
            load: gate.status().load,
            is_entry_serving: false,
            applied: Offset(0),
            config_confirmed_at: None,
            is_idle: false,
        };
        Ok(Self {
            gate,
            service,
            domain,
            started_at: now,
            last_step_at: now,
            inbox,
            client: exchanges::client()?,
            backends: Backends::default(),
            last_token: 0,
            pending_calls: HashMap::new(),
            pending_tickets: HashMap::new(),
            runs: JoinSet::new(),
            run_tokens: HashMap::new(),
            applied: Offset(0),
            config_confirmed_at: None,
            serving_until: None,
            is_entry_serving: false,
            idle_allowed_at: None,
            announce_interval,
            status: watch::Sender::new(status),
        })
    }

    /// Returns a receiver of the current status and its changes.
    pub(super) fn status(&self) -> watch::Receiver<AgentStatus> {
        self.status.subscribe()
    }

    /// Runs until all command senders have been dropped.
    pub(super) async fn run(mut self) {
        loop {
            let wakeup = self.next_wakeup();
            tokio::select! {
                biased;
                Some(ended) = self.runs.join_next_with_id() => {
                    self.apply_timeouts();
                    self.on_run_ended(ended);
                }
                command = self.inbox.recv() => match command {
                    Some(command) => {
                        self.apply_timeouts();
                        self.handle(command);
                    }
                    None => return,
                },
                () = sleep_until(wakeup) => {
                    self.apply_timeouts();
                    self.step(GateInput::Tick);
                }
            }
            self.publish_status();
        }
    }

    fn next_wakeup(&self) -> Instant {
        let latest = Instant::now() + MAX_TICK_INTERVAL;
        let due = self.gate.next_tick_at();
        due.map_or(latest, |due| {
            latest.min(self.started_at + Duration::from_millis(due.0))
        })
    }

    fn now(&self) -> Millis {
        let elapsed = self.started_at.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Applies timeouts. Called before each input, because after a suspension of this process other
    /// inputs may be ready before any timer fires.
    fn apply_timeouts(&mut self) {
        let now = Instant::now();
        let gap = now - self.last_step_at;
        self.last_step_at = now;
        if gap > STALL_THRESHOLD {
            log::warn!("process was suspended for {} ms", gap.as_millis());
            self.backends.extend_timeout(gap);
        }
        let is_serving = self.serving_until.is_some_and(|until| now < until);
        if is_serving != self.is_entry_serving {
            self.is_entry_serving = is_serving;
            self.step(GateInput::EntryServing(is_serving));
        }
        if self.backends.detect_loss(now) {
            log::warn!("backend server lost: no announcement within the timeout");
            self.step(GateInput::BackendLost);
        }
    }

    fn handle(&mut self, command: Command) {
        match command {
            Command::Call {
                call,
                received_at,
                reply,
            } => self.submit_call(call, received_at, reply),
            Command::Tickets { call, reply } => {
                let token = self.next_token();
                self.pending_tickets.insert(token, reply);
                self.step(GateInput::Tickets { token, call });
            }
            Command::Drain { drain, reply } => {
                if drain.domain == self.domain {
                    let Drain { version, state, .. } = drain;
                    self.step(GateInput::DomainChanged { version, state });
                }
                let _ = reply.send(self.gate.status().state);
            }
            Command::BackendAnnounced {
                announce,
                address,
                reply,
            } => {
                let _ = reply.send(self.on_backend_announced(&announce, address));
            }
            Command::BackendLeaves { incarnation, reply } => {
                let is_current =
                    incarnation.is_none_or(|incarnation| self.backends.is_current(incarnation));
                if is_current {
                    self.step(GateInput::Leave);
                }
                let _ = reply.send(self.backend_ack(is_current));
            }
            Command::AnnounceReplied { sent_at, reply } => self.on_announce_reply(sent_at, reply),
            Command::Stop => {
                self.idle_allowed_at = Some(Instant::now() + self.announce_interval);
                self.step(GateInput::Leave);
            }
        }
    }

    fn submit_call(&mut self, mut call: Call, received_at: Instant, reply: oneshot::Sender<Reply>) {
        let queued_for = received_at.elapsed().as_millis();
        let queued_for = Millis(u64::try_from(queued_for).unwrap_or(u64::MAX));
        call.budget = call.budget - queued_for;
        let token = self.next_token();
        self.pending_calls.insert(token, reply);
        self.step(GateInput::Call { token, call });
    }

    fn on_backend_announced(
        &mut self,
        announce: &BackendAnnounce,
        address: SocketAddr,
    ) -> Option<BackendAck> {
        if announce.service != self.service {
            return None;
        }
        let incarnation_status = self
            .backends
            .on_announcement(Instant::now(), announce, address);
        if incarnation_status == IncarnationStatus::Replaced {
            return Some(self.backend_ack(false));
        }
        if incarnation_status == IncarnationStatus::New && self.idle_allowed_at.is_none() {
            // The leaving incarnation has been replaced, and the new one accepts requests.
            self.step(GateInput::Rejoin);
        }
        self.step(GateInput::BackendAnnounced {
            incarnation: announce.incarnation,
            slots: announce.slots,
            connections: announce.connections,
        });
        Some(self.backend_ack(true))
    }

    /// Returns the reply to the backend server. A replaced incarnation has nothing in flight.
    fn backend_ack(&self, is_current: bool) -> BackendAck {
        let status = self.gate.status();
        match is_current {
            true => BackendAck {
                state: status.state,
                inflight: status.load.running + status.load.waiting,
            },
            false => BackendAck {
                state: MemberState::Leaving,
                inflight: 0,
            },
        }
    }

    fn on_announce_reply(&mut self, sent_at: Instant, reply: AnnounceReply) {
        if let Some(view) = reply.view.filter(|view| view.applied > self.applied) {
            self.applied = view.applied;
            self.step(GateInput::Conf(Arc::new(view)));
        }
        if let Some(age) = reply.confirmation_age
            && self.applied >= reply.applied
        {
            let confirmed_at = sent_at.checked_sub(Duration::from_millis(age.0));
            self.config_confirmed_at = self.config_confirmed_at.max(confirmed_at);
        }
        if reply.can_serve {
            self.serving_until = self.serving_until.max(Some(sent_at + SERVING_VALIDITY));
            self.apply_timeouts();
        }
    }

    fn on_run_ended(&mut self, ended: Result<(Id, (u64, Outcome)), JoinError>) {
        let (id, outcome) = match ended {
            Ok((id, (_, outcome))) => (id, outcome),
            Err(err) => (err.id(), Outcome::Unknown(Unknown::ConnectionBroken)),
        };
        if let Some(token) = self.run_tokens.remove(&id) {
            self.step(GateInput::CallEnded { token, outcome });
        }
    }

    fn next_token(&mut self) -> u64 {
        self.last_token += 1;
        self.last_token
    }

    fn step(&mut self, input: GateInput) {
        for output in self.gate.step(self.now(), input) {
            match output {
                GateOutput::Run {
                    token,
                    call,
                    budget,
                } => self.start_run(token, call, budget),
                GateOutput::Reply { token, reply } => {
                    // Sending fails if the caller has given up.
                    let _ = self
                        .pending_calls
                        .remove(&token)
                        .map(|caller| caller.send(reply));
                }
                GateOutput::Tickets { token, reply } => {
                    let caller = self.pending_tickets.remove(&token);
                    let _ = caller.map(|caller| caller.send(reply));
                }
            }
        }
    }

    fn start_run(&mut self, token: u64, call: Call, budget: Millis) {
        let client = self.client.clone();
        let address = self.backends.address();
        let limit = Duration::from_millis(budget.0);
        let task = self.runs.spawn(async move {
            let outcome = match address {
                Some(address) => exchanges::run(client, address, call, limit).await,
                None => Outcome::NotRun(NotRun::NoServer),
            };
            (token, outcome)
        });
        self.run_tokens.insert(task.id(), token);
    }

    fn publish_status(&mut self) {
        let gate = self.gate.status();
        let status = AgentStatus {
            state: gate.state,
            load: gate.load,
            is_entry_serving: self.is_entry_serving,
            applied: self.applied,
            config_confirmed_at: self.config_confirmed_at,
            is_idle: self.is_idle(),
        };
        self.status.send_if_modified(|current| {
            let has_changed = *current != status;
            *current = status;
            has_changed
        });
    }

    /// Tells whether a graceful stop may finish: the entries have had time to receive the
    /// announcement, nothing is in flight, and all unused tickets have expired.
    fn is_idle(&self) -> bool {
        let now = self.now();
        let has_unused_tickets = || {
            self.gate
                .unused_tickets_until()
                .is_some_and(|until| now < until)
        };
        let is_announced = self
            .idle_allowed_at
            .is_some_and(|until| Instant::now() >= until);
        let status = self.gate.status();
        is_announced
            && status.waiting_callers == 0
            && status.load.running == 0
            && !has_unused_tickets()
    }
}

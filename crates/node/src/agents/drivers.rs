//! The task that owns the gate: it feeds it with inputs and carries out its outputs.

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
use super::backends::{Arrival, Backends};
use super::exchanges;

/// Longest wait for the next input, so that silence of others is noticed.
const MAX_WAIT: Duration = Duration::from_millis(100);
/// Time without any step after which this process must have stood still.
const STALL: Duration = Duration::from_secs(1);
/// Age of an entry's word that it serves, from the sending of the question, up to which it counts.
const SERVING_LIMIT: Duration = Duration::from_millis(FRESHNESS_LIMIT.0);

/// Something that the driver is asked to do.
#[derive(Debug)]
pub(super) enum Command {
    /// Runs a request.
    Call {
        call: Call,
        received: Instant,
        reply: oneshot::Sender<Reply>,
    },
    /// Issues tickets.
    Tickets {
        call: TicketCall,
        reply: oneshot::Sender<Result<Vec<Ticket>, NotRun>>,
    },
    /// Takes a state of a failure domain.
    Drain {
        drain: Drain,
        reply: oneshot::Sender<MemberState>,
    },
    /// Takes an announcement of the backend server; answered with `None` for another service.
    Backend {
        announce: BackendAnnounce,
        address: SocketAddr,
        reply: oneshot::Sender<Option<BackendAck>>,
    },
    /// Notes that the backend server leaves.
    BackendLeaves {
        life: Option<Incarnation>,
        reply: oneshot::Sender<BackendAck>,
    },
    /// Takes an entry's answer to an announcement.
    Heard { sent: Instant, reply: AnnounceReply },
    /// Begins a graceful stop.
    Stop,
}

/// Owner of the gate.
pub(super) struct Driver {
    gate: Gate,
    service: ServiceName,
    domain: DomainName,
    epoch: Instant,
    stepped: Instant,
    inbox: mpsc::Receiver<Command>,
    client: Client,
    backends: Backends,
    token: u64,
    calls: HashMap<u64, oneshot::Sender<Reply>>,
    questions: HashMap<u64, oneshot::Sender<Result<Vec<Ticket>, NotRun>>>,
    runs: JoinSet<(u64, Outcome)>,
    run_tokens: HashMap<Id, u64>,
    applied: Offset,
    proved: Option<Instant>,
    /// Time until which an entry's word that it serves counts.
    served: Option<Instant>,
    serving: bool,
    /// Time from which on a stop may end.
    stopping: Option<Instant>,
    announce: Duration,
    status: watch::Sender<AgentStatus>,
}

impl Driver {
    /// Creates the driver.
    ///
    /// # Errors
    ///
    /// Returns the error of the HTTP client.
    pub(super) fn new(
        options: GateOptions,
        announce: Duration,
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
            epoch: now,
            stepped: now,
            inbox,
            client: exchanges::client()?,
            backends: Backends::default(),
            token: 0,
            calls: HashMap::new(),
            questions: HashMap::new(),
            runs: JoinSet::new(),
            run_tokens: HashMap::new(),
            applied: Offset(0),
            proved: None,
            served: None,
            serving: false,
            stopping: None,
            announce,
            status: watch::Sender::new(status),
        })
    }

    /// Returns the status and its changes.
    pub(super) fn status(&self) -> watch::Receiver<AgentStatus> {
        self.status.subscribe()
    }

    /// Runs until all senders of commands are gone.
    pub(super) async fn run(mut self) {
        loop {
            let wake = self.wake();
            tokio::select! {
                biased;
                Some(ended) = self.runs.join_next_with_id() => {
                    self.refresh();
                    self.ended(ended);
                }
                command = self.inbox.recv() => match command {
                    Some(command) => {
                        self.refresh();
                        self.obey(command);
                    }
                    None => return,
                },
                () = sleep_until(wake) => {
                    self.refresh();
                    self.step(GateInput::Tick);
                }
            }
            self.publish();
        }
    }

    fn wake(&self) -> Instant {
        let latest = Instant::now() + MAX_WAIT;
        let due = self.gate.next_tick_at();
        due.map_or(latest, |due| {
            latest.min(self.epoch + Duration::from_millis(due.0))
        })
    }

    fn now(&self) -> Millis {
        let elapsed = self.epoch.elapsed().as_millis();
        Millis(u64::try_from(elapsed).unwrap_or(u64::MAX))
    }

    /// Applies what only time changes. It comes before each input, since after a standstill of
    /// this process other inputs may be ready before any timer.
    fn refresh(&mut self) {
        let now = Instant::now();
        let gap = now - self.stepped;
        self.stepped = now;
        if gap > STALL {
            log::warn!("this process stood still for {} ms", gap.as_millis());
            self.backends.excuse(gap);
        }
        let serving = self.served.is_some_and(|until| now < until);
        if serving != self.serving {
            self.serving = serving;
            self.step(GateInput::EntryServing(serving));
        }
        if self.backends.is_newly_lost(now) {
            log::warn!("the backend server has stopped announcing itself");
            self.step(GateInput::BackendLost);
        }
    }

    fn obey(&mut self, command: Command) {
        match command {
            Command::Call {
                call,
                received,
                reply,
            } => self.call(call, received, reply),
            Command::Tickets { call, reply } => {
                let token = self.next_token();
                self.questions.insert(token, reply);
                self.step(GateInput::Tickets { token, call });
            }
            Command::Drain { drain, reply } => {
                if drain.domain == self.domain {
                    let Drain { version, state, .. } = drain;
                    self.step(GateInput::DomainChanged { version, state });
                }
                let _ = reply.send(self.gate.status().state);
            }
            Command::Backend {
                announce,
                address,
                reply,
            } => {
                let _ = reply.send(self.backend(&announce, address));
            }
            Command::BackendLeaves { life, reply } => {
                let present = life.is_none_or(|life| self.backends.is_present(life));
                if present {
                    self.step(GateInput::Leave);
                }
                let _ = reply.send(self.ack(present));
            }
            Command::Heard { sent, reply } => self.heard(sent, reply),
            Command::Stop => {
                self.stopping = Some(Instant::now() + self.announce);
                self.step(GateInput::Leave);
            }
        }
    }

    fn call(&mut self, mut call: Call, received: Instant, reply: oneshot::Sender<Reply>) {
        let waited = received.elapsed().as_millis();
        let waited = Millis(u64::try_from(waited).unwrap_or(u64::MAX));
        call.budget = call.budget - waited;
        let token = self.next_token();
        self.calls.insert(token, reply);
        self.step(GateInput::Call { token, call });
    }

    fn backend(&mut self, announce: &BackendAnnounce, address: SocketAddr) -> Option<BackendAck> {
        if announce.service != self.service {
            return None;
        }
        let arrival = self.backends.announced(Instant::now(), announce, address);
        if arrival == Arrival::Retired {
            return Some(self.ack(false));
        }
        if arrival == Arrival::Fresh && self.stopping.is_none() {
            // The life that left is gone, and a new one takes work again.
            self.step(GateInput::Rejoin);
        }
        self.step(GateInput::BackendAnnounced {
            incarnation: announce.incarnation,
            slots: announce.slots,
            connections: announce.connections,
        });
        Some(self.ack(true))
    }

    /// Answers the backend server. A life that has been replaced has nothing in flight.
    fn ack(&self, present: bool) -> BackendAck {
        let status = self.gate.status();
        match present {
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

    fn heard(&mut self, sent: Instant, reply: AnnounceReply) {
        if let Some(view) = reply.view.filter(|view| view.applied > self.applied) {
            self.applied = view.applied;
            self.step(GateInput::Conf(Arc::new(view)));
        }
        if let Some(age) = reply.confirmation_age
            && self.applied >= reply.applied
        {
            let proved = sent.checked_sub(Duration::from_millis(age.0));
            self.proved = self.proved.max(proved);
        }
        if reply.can_serve {
            self.served = self.served.max(Some(sent + SERVING_LIMIT));
            self.refresh();
        }
    }

    fn ended(&mut self, ended: Result<(Id, (u64, Outcome)), JoinError>) {
        let (id, outcome) = match ended {
            Ok((id, (_, outcome))) => (id, outcome),
            Err(err) => (err.id(), Outcome::Unknown(Unknown::ConnectionBroken)),
        };
        if let Some(token) = self.run_tokens.remove(&id) {
            self.step(GateInput::CallEnded { token, outcome });
        }
    }

    fn next_token(&mut self) -> u64 {
        self.token += 1;
        self.token
    }

    fn step(&mut self, input: GateInput) {
        for output in self.gate.step(self.now(), input) {
            match output {
                GateOutput::Run {
                    token,
                    call,
                    budget,
                } => self.start(token, call, budget),
                GateOutput::Reply { token, reply } => {
                    // The caller may have given up.
                    let _ = self.calls.remove(&token).map(|caller| caller.send(reply));
                }
                GateOutput::Tickets { token, reply } => {
                    let caller = self.questions.remove(&token);
                    let _ = caller.map(|caller| caller.send(reply));
                }
            }
        }
    }

    fn start(&mut self, token: u64, call: Call, budget: Millis) {
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

    fn publish(&mut self) {
        let gate = self.gate.status();
        let status = AgentStatus {
            state: gate.state,
            load: gate.load,
            is_entry_serving: self.serving,
            applied: self.applied,
            config_confirmed_at: self.proved,
            is_idle: self.is_idle(),
        };
        self.status.send_if_modified(|known| {
            let changed = *known != status;
            *known = status;
            changed
        });
    }

    /// Tells whether a stop may end: the entries had time to hear of it, nothing is in flight and
    /// no unused ticket may come.
    fn is_idle(&self) -> bool {
        let now = self.now();
        let unused = || {
            self.gate
                .unused_tickets_until()
                .is_some_and(|until| now < until)
        };
        let told = self.stopping.is_some_and(|until| Instant::now() >= until);
        let status = self.gate.status();
        told && status.waiting_callers == 0 && status.load.running == 0 && !unused()
    }
}

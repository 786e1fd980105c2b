//! Agents with their gates, and backend servers.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use hyssop_conf::ConfStore;
use hyssop_core::limits::{ANNOUNCE_INTERVAL, PEER_TIMEOUT};
use hyssop_core::{
    AgentName, AnnounceReply, Announcement, CompleteResponse, DomainName, Incarnation, MemberState,
    Millis, Offset, Outcome, RackName, ServiceName,
};
use hyssop_route::{Gate, GateInput, GateOptions, GateOutput};

use super::nodes::{Body, Message, Node};
use crate::invariants::{ConfSeen, Obs};

/// Time that a backend server takes for a request.
const WORK: Millis = Millis(150);

/// A request that a backend server runs.
#[derive(Debug)]
struct Run {
    until: Millis,
    token: u64,
    life: u64,
    request: u64,
    body: Bytes,
}

/// A backend server: answers each request after a while. It outlives its agent.
#[derive(Debug, Default)]
struct Backend {
    life: u64,
    runs: Vec<Run>,
    /// Requests whose answers wait for the agent.
    done: Vec<Run>,
}

/// An agent and its backend server.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) number: usize,
    pub(crate) name: AgentName,
    pub(crate) domain: DomainName,
    pub(crate) life: u64,
    entries: usize,
    service: ServiceName,
    gate: Gate,
    store: ConfStore,
    backend: Backend,
    seq: u64,
    announced: Option<Millis>,
    /// Send time of the latest announcement that was answered as serving.
    served: Option<Millis>,
    sent: BTreeMap<u64, Millis>,
    calls: BTreeMap<u64, Message>,
    applied: Offset,
    tokens: u64,
    /// Takes any copy of the configuration, also an older one; a broken variant.
    pub(crate) forgets: bool,
    /// Does not pass the configuration on to the gate; a broken variant.
    pub(crate) ignores: bool,
}

/// What a step of an agent brings about.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) send: Vec<Message>,
    pub(crate) seen: Vec<Obs>,
}

impl Agent {
    pub(crate) fn new(
        number: usize,
        domain: &DomainName,
        service: &ServiceName,
        entries: usize,
        life: u64,
    ) -> Self {
        let options = GateOptions {
            service: service.clone(),
            domain: domain.clone(),
            incarnation: Incarnation(life),
            seed: life,
            max_response_bytes: 1 << 20,
            max_tickets: 10_000,
        };
        Self {
            number,
            name: AgentName::new(format!("agent-{number}")).expect("agent"),
            domain: domain.clone(),
            life,
            entries,
            service: service.clone(),
            gate: Gate::new(options),
            store: ConfStore::new(),
            backend: Backend {
                life: 1,
                ..Backend::default()
            },
            seq: 0,
            announced: None,
            served: None,
            sent: BTreeMap::new(),
            calls: BTreeMap::new(),
            applied: Offset(0),
            tokens: 0,
            forgets: false,
            ignores: false,
        }
    }

    /// Replaces the process; the backend server goes on.
    pub(crate) fn restart(&mut self) {
        let life = self.life + 1_000;
        let mut next = Self::new(self.number, &self.domain, &self.service, self.entries, life);
        next.backend = std::mem::take(&mut self.backend);
        (next.forgets, next.ignores) = (self.forgets, self.ignores);
        *self = next;
    }

    pub(crate) const fn node(&self) -> Node {
        Node::Agent(self.number)
    }

    /// Tells whether the agent may be stopped as planned: it leaves and nothing is in flight.
    pub(crate) fn may_stop(&self, now: Millis) -> bool {
        let status = self.gate.status();
        let unused = self
            .gate
            .unused_tickets_until()
            .is_some_and(|until| until > now);
        let idle = status.load.running + status.load.waiting + status.waiting_callers == 0;
        status.state == MemberState::Leaving && idle && !unused
    }

    /// Returns the state that the agent announces.
    pub(crate) fn state(&self) -> MemberState {
        self.gate.status().state
    }

    /// Tells the gate that the process leaves.
    pub(crate) fn leave(&mut self, now: Millis, rpc: &mut u64, fx: &mut Effects) {
        self.step(now, GateInput::Leave, fx);
        self.announce(now, rpc, fx);
    }

    /// Returns what the daemon has of the configuration.
    pub(crate) fn conf(&self, now: Millis, reachable: Option<Millis>) -> Obs {
        let view = self.store.view();
        Obs::Conf(ConfSeen {
            daemon: self.name.to_string(),
            life: Incarnation(self.life),
            applied: view.applied,
            version: super::highest(view),
            proved: self.store.is_fresh(now),
            reachable,
        })
    }

    /// Lets the backend server work. It does so whether its agent runs or not.
    pub(crate) fn work(&mut self, now: Millis, running: bool, fx: &mut Effects) {
        let done: Vec<Run> = self
            .backend
            .runs
            .extract_if(.., |run| run.until <= now)
            .collect();
        for run in &done {
            fx.seen.push(Obs::RunEnded {
                agent: self.name.clone(),
                request: run.request,
            });
        }
        self.backend.done.extend(done);
        if !running {
            return;
        }
        for run in std::mem::take(&mut self.backend.done) {
            if run.life == self.life {
                let whole = CompleteResponse::new(200, Vec::new(), answer_to(&run.body));
                let outcome = Outcome::Complete(whole);
                let token = run.token;
                self.step(now, GateInput::CallEnded { token, outcome }, fx);
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Millis, rpc: &mut u64, fx: &mut Effects) {
        self.note_serving(now, fx);
        let backend = GateInput::BackendAnnounced {
            incarnation: Incarnation(self.backend.life),
            slots: 8,
            connections: 64,
        };
        self.step(now, backend, fx);
        self.step(now, GateInput::Tick, fx);
        let due = |last: Millis| now.since(last) >= ANNOUNCE_INTERVAL;
        if self.announced.is_none_or(due) {
            self.announce(now, rpc, fx);
        }
    }

    /// Tells the gate whether an entry serves. Done before each input, because time may have
    /// passed without a tick.
    fn note_serving(&mut self, now: Millis, fx: &mut Effects) {
        let recent = |sent| now.since(sent) < PEER_TIMEOUT;
        let serving = self.served.is_some_and(recent);
        self.step(now, GateInput::EntryServing(serving || self.ignores), fx);
    }

    fn announce(&mut self, now: Millis, rpc: &mut u64, fx: &mut Effects) {
        self.announced = Some(now);
        self.seq += 1;
        let status = self.gate.status();
        let announcement = Announcement {
            agent: self.name.clone(),
            incarnation: Incarnation(self.life),
            seq: self.seq,
            address: format!("127.0.0.1:{}", 7_000 + self.number),
            service: self.service.clone(),
            domain: self.domain.clone(),
            rack: RackName::new(format!("{}-r0", self.domain)).expect("rack"),
            state: status.state,
            load: status.load,
            applied: self.store.view().applied,
            interval: ANNOUNCE_INTERVAL,
        };
        for entry in 0..self.entries {
            *rpc += 1;
            self.sent.insert(*rpc, now);
            fx.send.push(Message {
                from: self.node(),
                life: self.life,
                to: Node::Entry(entry),
                rpc: *rpc,
                body: Body::Announce(announcement.clone()),
            });
        }
    }

    pub(crate) fn receive(&mut self, now: Millis, message: Message, fx: &mut Effects) {
        self.note_serving(now, fx);
        match &message.body {
            Body::Call(call) => {
                self.tokens += 1;
                let (token, call) = (self.tokens, call.clone());
                self.calls.insert(token, message);
                self.step(now, GateInput::Call { token, call }, fx);
            }
            Body::Tickets(call) => {
                self.tokens += 1;
                let (token, call) = (self.tokens, call.clone());
                self.calls.insert(token, message);
                self.step(now, GateInput::Tickets { token, call }, fx);
            }
            Body::Announced(reply) => {
                if let Some(sent) = self.sent.remove(&message.rpc) {
                    self.answered(now, sent, reply, fx);
                }
            }
            _ => {}
        }
    }

    fn answered(&mut self, now: Millis, sent: Millis, reply: &AnnounceReply, fx: &mut Effects) {
        if let Some(view) = &reply.view {
            if self.forgets {
                self.store = ConfStore::new();
            }
            self.store.adopt(view);
        }
        if let Some(age) = reply.confirmation_age {
            self.store.prove_via(sent, age, reply.applied);
        }
        if reply.can_serve {
            self.served = self.served.max(Some(sent));
        }
        let view = Arc::clone(self.store.view());
        if view.applied != self.applied && !self.ignores {
            self.applied = view.applied;
            self.step(now, GateInput::Conf(view), fx);
        }
    }

    fn step(&mut self, now: Millis, input: GateInput, fx: &mut Effects) {
        for output in self.gate.step(now, input) {
            match output {
                GateOutput::Run { token, call, .. } => {
                    let request = number_of(&call.body);
                    fx.seen.push(Obs::Ran {
                        agent: self.name.clone(),
                        request,
                    });
                    self.backend.runs.push(Run {
                        until: now + WORK,
                        token,
                        life: self.life,
                        request,
                        body: call.body,
                    });
                }
                GateOutput::Reply { token, reply } => {
                    if let Some(call) = self.calls.remove(&token) {
                        fx.send.push(call.answer(Body::Called(reply)));
                    }
                }
                GateOutput::Tickets { token, reply } => {
                    if let Some(call) = self.calls.remove(&token) {
                        fx.send.push(call.answer(Body::Issued(reply.ok())));
                    }
                }
            }
        }
    }
}

/// Returns the body of a request.
pub(crate) fn body_of(request: u64) -> Bytes {
    Bytes::from(request.to_string())
}

fn number_of(body: &Bytes) -> u64 {
    std::str::from_utf8(body)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(u64::MAX)
}

/// Returns the answer that a backend server gives to a request with this body.
pub(crate) fn answer_to(body: &Bytes) -> Bytes {
    let mut answer = b"answer to ".to_vec();
    answer.extend_from_slice(body);
    Bytes::from(answer)
}

//! Simulated agents with their gates, and backend servers.

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
use crate::invariants::{ConfStatus, Observation};

/// Time that a backend server takes for a request.
const REQUEST_DURATION: Millis = Millis(150);

/// A request that a backend server runs.
#[derive(Debug)]
struct Run {
    ends_at: Millis,
    token: u64,
    incarnation: u64,
    request: u64,
    body: Bytes,
}

/// A backend server, which completes each request after `REQUEST_DURATION` and outlives its agent.
#[derive(Debug, Default)]
struct Backend {
    incarnation: u64,
    runs: Vec<Run>,
    /// Completed requests whose agent has not read the response yet.
    finished: Vec<Run>,
}

/// An agent and its backend server.
#[derive(Debug)]
pub(crate) struct Agent {
    pub(crate) number: usize,
    pub(crate) name: AgentName,
    pub(crate) domain: DomainName,
    pub(crate) incarnation: u64,
    entries: usize,
    service: ServiceName,
    gate: Gate,
    store: ConfStore,
    backend: Backend,
    seq: u64,
    last_announced_at: Option<Millis>,
    /// Send time of the latest announcement to which an entry replied that it serves.
    last_serving_at: Option<Millis>,
    announce_sent_at: BTreeMap<u64, Millis>,
    pending_calls: BTreeMap<u64, Message>,
    applied: Offset,
    last_token: u64,
    /// Accepts any copy of the configuration, even an older one; a broken variant.
    pub(crate) accepts_old_confs: bool,
    /// Doesn't pass the configuration to the gate; a broken variant.
    pub(crate) ignores_conf: bool,
}

/// Messages and observations that a step of an agent produces.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) messages: Vec<Message>,
    pub(crate) observations: Vec<Observation>,
}

impl Agent {
    pub(crate) fn new(
        number: usize,
        domain: &DomainName,
        service: &ServiceName,
        entries: usize,
        incarnation: u64,
    ) -> Self {
        let options = GateOptions {
            service: service.clone(),
            domain: domain.clone(),
            incarnation: Incarnation(incarnation),
            seed: incarnation,
            max_response_bytes: 1 << 20,
            max_tickets: 10_000,
        };
        Self {
            number,
            name: AgentName::new(format!("agent-{number}")).expect("agent"),
            domain: domain.clone(),
            incarnation,
            entries,
            service: service.clone(),
            gate: Gate::new(options),
            store: ConfStore::new(),
            backend: Backend {
                incarnation: 1,
                ..Backend::default()
            },
            seq: 0,
            last_announced_at: None,
            last_serving_at: None,
            announce_sent_at: BTreeMap::new(),
            pending_calls: BTreeMap::new(),
            applied: Offset(0),
            last_token: 0,
            accepts_old_confs: false,
            ignores_conf: false,
        }
    }

    /// Replaces the agent's process; the backend server continues to run.
    pub(crate) fn restart(&mut self) {
        let incarnation = self.incarnation + 1_000;
        let mut next = Self::new(
            self.number,
            &self.domain,
            &self.service,
            self.entries,
            incarnation,
        );
        next.backend = std::mem::take(&mut self.backend);
        (next.accepts_old_confs, next.ignores_conf) = (self.accepts_old_confs, self.ignores_conf);
        *self = next;
    }

    pub(crate) const fn node(&self) -> Node {
        Node::Agent(self.number)
    }

    /// Returns whether the agent may be stopped as planned: it is leaving, nothing is in flight and
    /// no unused ticket is still valid.
    pub(crate) fn can_stop(&self, now: Millis) -> bool {
        let status = self.gate.status();
        let unused = self
            .gate
            .unused_tickets_until()
            .is_some_and(|until| until > now);
        let idle = status.load.running + status.load.waiting + status.waiting_callers == 0;
        status.state == MemberState::Leaving && idle && !unused
    }

    /// Returns the state that the agent announces.
    pub(crate) fn member_state(&self) -> MemberState {
        self.gate.status().state
    }

    /// Starts a planned stop: the gate stops taking work and the agent announces it.
    pub(crate) fn leave(&mut self, now: Millis, rpc: &mut u64, effects: &mut Effects) {
        self.step(now, GateInput::Leave, effects);
        self.announce(now, rpc, effects);
    }

    /// Returns the state of the agent's configuration for the invariants.
    pub(crate) fn conf_status(&self, now: Millis, reachable_since: Option<Millis>) -> Observation {
        let view = self.store.view();
        Observation::ConfReported(ConfStatus {
            daemon: self.name.to_string(),
            incarnation: Incarnation(self.incarnation),
            applied: view.applied,
            version: super::highest_version(view),
            is_fresh: self.store.is_fresh(now),
            reachable_since,
        })
    }

    /// Completes the backend server's due requests. The gate gets the responses only while the
    /// agent is `running`.
    pub(crate) fn run_backend(&mut self, now: Millis, running: bool, effects: &mut Effects) {
        let finished: Vec<Run> = self
            .backend
            .runs
            .extract_if(.., |run| run.ends_at <= now)
            .collect();
        for run in &finished {
            effects.observations.push(Observation::RequestFinished {
                agent: self.name.clone(),
                request: run.request,
            });
        }
        self.backend.finished.extend(finished);
        if !running {
            return;
        }
        for run in std::mem::take(&mut self.backend.finished) {
            if run.incarnation == self.incarnation {
                let response = CompleteResponse::new(200, Vec::new(), response_body(&run.body));
                let outcome = Outcome::Complete(response);
                let token = run.token;
                self.step(now, GateInput::CallEnded { token, outcome }, effects);
            }
        }
    }

    pub(crate) fn tick(&mut self, now: Millis, rpc: &mut u64, effects: &mut Effects) {
        self.report_serving(now, effects);
        let backend = GateInput::BackendAnnounced {
            incarnation: Incarnation(self.backend.incarnation),
            slots: 8,
            connections: 64,
        };
        self.step(now, backend, effects);
        self.step(now, GateInput::Tick, effects);
        let is_due = |last: Millis| now.since(last) >= ANNOUNCE_INTERVAL;
        if self.last_announced_at.is_none_or(is_due) {
            self.announce(now, rpc, effects);
        }
    }

    /// Reports to the gate whether an entry serves. Called before each input, because time may have
    /// passed without a tick.
    fn report_serving(&mut self, now: Millis, effects: &mut Effects) {
        let recent = |sent| now.since(sent) < PEER_TIMEOUT;
        let serving = self.last_serving_at.is_some_and(recent);
        self.step(
            now,
            GateInput::EntryServing(serving || self.ignores_conf),
            effects,
        );
    }

    fn announce(&mut self, now: Millis, rpc: &mut u64, effects: &mut Effects) {
        self.last_announced_at = Some(now);
        self.seq += 1;
        let status = self.gate.status();
        let announcement = Announcement {
            agent: self.name.clone(),
            incarnation: Incarnation(self.incarnation),
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
            self.announce_sent_at.insert(*rpc, now);
            effects.messages.push(Message {
                from: self.node(),
                incarnation: self.incarnation,
                to: Node::Entry(entry),
                rpc: *rpc,
                body: Body::Announce(announcement.clone()),
            });
        }
    }

    pub(crate) fn receive(&mut self, now: Millis, message: Message, effects: &mut Effects) {
        self.report_serving(now, effects);
        match &message.body {
            Body::Call(call) => {
                self.last_token += 1;
                let (token, call) = (self.last_token, call.clone());
                self.pending_calls.insert(token, message);
                self.step(now, GateInput::Call { token, call }, effects);
            }
            Body::IssueTickets(call) => {
                self.last_token += 1;
                let (token, call) = (self.last_token, call.clone());
                self.pending_calls.insert(token, message);
                self.step(now, GateInput::Tickets { token, call }, effects);
            }
            Body::AnnounceReply(reply) => {
                if let Some(sent) = self.announce_sent_at.remove(&message.rpc) {
                    self.handle_announce_reply(now, sent, reply, effects);
                }
            }
            _ => {}
        }
    }

    fn handle_announce_reply(
        &mut self,
        now: Millis,
        sent: Millis,
        reply: &AnnounceReply,
        effects: &mut Effects,
    ) {
        if let Some(view) = &reply.view {
            if self.accepts_old_confs {
                self.store = ConfStore::new();
            }
            self.store.adopt(view);
        }
        if let Some(age) = reply.confirmation_age {
            self.store.confirm_by_peer(sent, age, reply.applied);
        }
        if reply.can_serve {
            self.last_serving_at = self.last_serving_at.max(Some(sent));
        }
        let view = Arc::clone(self.store.view());
        if view.applied != self.applied && !self.ignores_conf {
            self.applied = view.applied;
            self.step(now, GateInput::Conf(view), effects);
        }
    }

    fn step(&mut self, now: Millis, input: GateInput, effects: &mut Effects) {
        for output in self.gate.step(now, input) {
            match output {
                GateOutput::Run { token, call, .. } => {
                    let request = request_number(&call.body);
                    effects.observations.push(Observation::RequestStarted {
                        agent: self.name.clone(),
                        request,
                    });
                    self.backend.runs.push(Run {
                        ends_at: now + REQUEST_DURATION,
                        token,
                        incarnation: self.incarnation,
                        request,
                        body: call.body,
                    });
                }
                GateOutput::Reply { token, reply } => {
                    if let Some(call) = self.pending_calls.remove(&token) {
                        effects.messages.push(call.reply(Body::CallReply(reply)));
                    }
                }
                GateOutput::Tickets { token, reply } => {
                    if let Some(call) = self.pending_calls.remove(&token) {
                        effects
                            .messages
                            .push(call.reply(Body::TicketsIssued(reply.ok())));
                    }
                }
            }
        }
    }
}

/// Returns the body of the request with this number.
pub(crate) fn request_body(request: u64) -> Bytes {
    Bytes::from(request.to_string())
}

fn request_number(body: &Bytes) -> u64 {
    std::str::from_utf8(body)
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(u64::MAX)
}

/// Returns the response body for a request with this body.
pub(crate) fn response_body(body: &Bytes) -> Bytes {
    let mut body_text = b"answer to ".to_vec();
    body_text.extend_from_slice(body);
    Bytes::from(body_text)
}

//! Agents of the model: their cores, with an equivalent of their driver, and heartbeats.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput, Core};
use hyssop_fleet::{OwnerRecord, ReportReply, ReportRequest};
use hyssop_jobs::WorkerInfo;
use rand::Rng;

use super::calls::{Call, Order};
use super::workers::MAX_SPEED_DELAY_MS;
use super::{Event, Model};

/// Interval between ticks of an agent.
const TICK_MS: u64 = 50;
/// Timeout of a report.
const REPORT_TIMEOUT_MS: u64 = 1_400;
/// Interval of heartbeats.
const HEARTBEAT_MS: u64 = 1_500;

/// Event for an agent.
#[derive(Clone, Debug)]
pub(crate) enum AgentEvent {
    Core(AgentInput),
    /// Heartbeat with its number.
    Heartbeat(u64, WorkerInfo),
    Left(Arc<str>),
}

/// Process of an agent.
#[derive(Debug)]
pub(crate) struct Agent {
    core: Core,
    /// Number of the process, unique in the model.
    process: u64,
    /// Number of the last heartbeat of each incarnation of a worker.
    heartbeats: BTreeMap<(Arc<str>, u64), u64>,
    frozen_until: u64,
    inbox: Vec<AgentEvent>,
}

/// Report in flight.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReportCall {
    host: usize,
    process: u64,
    epoch: u64,
    sent_at: u64,
    number: u64,
}

impl Agent {
    /// Translates an event as the driver does: outdated heartbeats are dropped.
    fn on_event(&mut self, event: AgentEvent) -> Option<AgentInput> {
        match event {
            AgentEvent::Core(input) => Some(input),
            AgentEvent::Left(id) => Some(AgentInput::WorkerLeft(id)),
            AgentEvent::Heartbeat(number, info) => {
                let sender = (Arc::clone(&info.id), info.incarnation);
                let last = self.heartbeats.get(&sender);
                if last.is_some_and(|&last| number < last) {
                    return None;
                }
                self.heartbeats.insert(sender, number);
                Some(AgentInput::Heartbeat(info))
            }
        }
    }
}

impl Model {
    pub(crate) fn start_agent(&mut self, host: usize) {
        self.next_process += 1;
        let process = self.next_process;
        self.hosts[host].agent = Some(Agent {
            core: Core::new()
                .with_max_lease(Millis(self.options.max_lease_ms))
                .with_speed_delay(Millis(MAX_SPEED_DELAY_MS)),
            process,
            heartbeats: BTreeMap::new(),
            frozen_until: 0,
            inbox: Vec::new(),
        });
        self.schedule(0, Event::AgentTick(host, process));
    }

    pub(crate) fn kill_agent(&mut self, host: usize) {
        self.hosts[host].agent = None;
        self.judge.note_host(self.now, host, "agent killed");
    }

    pub(crate) fn freeze_agent(&mut self, host: usize, duration: u64) {
        let until = self.now + duration;
        if let Some(agent) = &mut self.hosts[host].agent {
            agent.frozen_until = agent.frozen_until.max(until);
            let text = format!("agent frozen until {until}");
            self.judge.note_host(self.now, host, &text);
        }
    }

    pub(super) fn deliver_to_agent(&mut self, host: usize, process: u64, event: AgentEvent) {
        let now = self.now;
        let Some(agent) = &mut self.hosts[host].agent else {
            return;
        };
        if agent.process != process {
            return;
        }
        agent.inbox.push(event);
        if now >= agent.frozen_until {
            self.run_agent(host);
        }
    }

    /// Delivers a message of a worker, or of another writer, to the agent that runs on a host now.
    pub(super) fn deliver_to_host(&mut self, host: usize, event: AgentEvent) {
        match &event {
            AgentEvent::Heartbeat(number, info)
                if info.incarnation != self.live_incarnation(host) =>
            {
                let text = format!(
                    "heartbeat {number} of {} incarnation {} address {} arrives",
                    info.id, info.incarnation, info.address
                );
                self.judge.note_host(self.now, host, &text);
            }
            AgentEvent::Left(id) => {
                let text = format!("notice that {id} leaves arrives");
                self.judge.note_host(self.now, host, &text);
            }
            _ => {}
        }
        if let Some(agent) = &self.hosts[host].agent {
            let process = agent.process;
            self.deliver_to_agent(host, process, event);
        }
    }

    fn live_incarnation(&self, host: usize) -> u64 {
        let worker = self.hosts[host].worker;
        worker.map_or(0, |index| self.workers[index].info.incarnation)
    }

    pub(super) fn on_agent_tick(&mut self, host: usize, process: u64) {
        let now = self.now;
        let Some(agent) = &self.hosts[host].agent else {
            return;
        };
        if agent.process != process {
            return;
        }
        let is_frozen = now < agent.frozen_until;
        let wait = match is_frozen {
            true => agent.frozen_until - now,
            false => TICK_MS,
        };
        self.schedule(wait, Event::AgentTick(host, process));
        if !is_frozen {
            self.run_agent(host);
        }
    }

    fn run_agent(&mut self, host: usize) {
        let now = self.now;
        let Some(agent) = &mut self.hosts[host].agent else {
            return;
        };
        let events = std::mem::take(&mut agent.inbox);
        let mut inputs = Vec::new();
        for event in events {
            inputs.extend(agent.on_event(event));
        }
        for output in agent.core.tick(Millis(now), inputs) {
            self.execute_agent(host, output);
        }
    }

    fn execute_agent(&mut self, host: usize, output: AgentOutput) {
        match output {
            AgentOutput::Log(text) => {
                let text = format!("agent: {text}");
                self.judge.note_host(self.now, host, &text);
            }
            AgentOutput::Inspect { token, worker } => {
                self.send_to_worker(host, token, worker, Order::Inspect);
            }
            AgentOutput::EndRun { token, worker, run } => {
                self.send_to_worker(host, token, worker, Order::EndRun(run));
            }
            AgentOutput::LocateOwner => self.locate_owner(host),
            AgentOutput::SendReport {
                owner,
                number,
                request,
            } => self.send_report(host, &owner, number, *request),
            AgentOutput::Probe {
                session,
                lease,
                acknowledged_end,
                wait,
            } => {
                let order = Order::Probe {
                    lease,
                    acknowledged: acknowledged_end,
                    wait,
                };
                self.call_worker(host, session, order);
            }
            AgentOutput::Start {
                session,
                start,
                lease,
            } => self.call_worker(host, session, Order::Start(start, lease)),
            AgentOutput::Stop { session, run } => {
                self.call_worker(host, session, Order::Stop(run));
            }
            AgentOutput::SetSpeed {
                session,
                run,
                percent,
            } => self.call_worker(host, session, Order::Speed(run, percent)),
        }
    }

    fn call_worker(&mut self, host: usize, session: u64, order: Order) {
        let agent = self.hosts[host].agent.as_ref();
        if let Some(info) = agent.and_then(|agent| agent.core.worker()) {
            self.send_to_worker(host, session, info.clone(), order);
        }
    }

    fn send_to_worker(&mut self, host: usize, session: u64, info: WorkerInfo, order: Order) {
        let sent_at = self.now;
        let Some(agent) = &self.hosts[host].agent else {
            return;
        };
        let call = Call {
            host,
            process: agent.process,
            session,
            sent_at,
            info,
            order,
        };
        self.send_call(call);
    }

    fn locate_owner(&mut self, host: usize) {
        let Some(agent) = &self.hosts[host].agent else {
            return;
        };
        let process = agent.process;
        let delay = self.rng.random_range(3..40);
        let is_found = self.now >= self.store.away_until && self.now >= self.hosts[host].cut_until;
        let owner = self.store.owner.clone().filter(|_| is_found);
        let input = AgentEvent::Core(AgentInput::OwnerLocated(owner));
        self.schedule(delay, Event::AgentInput(host, process, input));
    }

    fn send_report(
        &mut self,
        host: usize,
        owner: &OwnerRecord,
        number: u64,
        request: ReportRequest,
    ) {
        let Some(agent) = &self.hosts[host].agent else {
            return;
        };
        self.next_report += 1;
        let id = self.next_report;
        let call = ReportCall {
            host,
            process: agent.process,
            epoch: owner.epoch,
            sent_at: self.now,
            number,
        };
        self.reports.insert(id, call);
        self.schedule(REPORT_TIMEOUT_MS, Event::ReportEnds(id, None));
        if let Some(delay) = self.draw_report_delay(host) {
            let entry = usize::from(owner.address.port());
            self.schedule(delay, Event::Report(entry, id, Box::new(request)));
        }
    }

    /// Returns the delay of a message between an agent and an owner, or none if it is lost.
    pub(super) fn draw_report_delay(&mut self, host: usize) -> Option<u64> {
        if self.now < self.hosts[host].cut_until || self.rng.random_bool(self.rates.report_lost) {
            return None;
        }
        Some(match self.rng.random_bool(self.rates.report_late) {
            true => self.rng.random_range(50..3_000),
            false => self.rng.random_range(1..8),
        })
    }

    /// Returns the host of a report in flight.
    pub(super) fn report_host(&self, id: u64) -> Option<usize> {
        self.reports.get(&id).map(|call| call.host)
    }

    pub(super) fn on_report_ends(&mut self, id: u64, reply: Option<ReportReply>) {
        let Some(call) = self.reports.remove(&id) else {
            return;
        };
        let epoch = call.epoch;
        let input = match reply {
            Some(reply) => AgentInput::ReportAnswered {
                epoch,
                sent_at: Millis(call.sent_at),
                number: call.number,
                reply,
            },
            None => AgentInput::ReportFailed {
                epoch,
                number: call.number,
            },
        };
        self.deliver_to_agent(call.host, call.process, AgentEvent::Core(input));
    }

    /// Sends a heartbeat of a worker and schedules the next one.
    pub(super) fn send_heartbeats(&mut self, index: usize) {
        if !self.workers[index].is_alive {
            return;
        }
        self.send_heartbeat(index);
        let wait = HEARTBEAT_MS + self.rng.random_range(0..60);
        self.schedule(wait, Event::Heartbeat(index));
    }

    pub(crate) fn send_heartbeat(&mut self, index: usize) {
        let worker = &mut self.workers[index];
        worker.heartbeats += 1;
        let event = AgentEvent::Heartbeat(worker.heartbeats, worker.info.clone());
        let host = worker.host;
        let delay = self.draw_heartbeat_delay();
        self.schedule(delay, Event::HostInput(host, event));
    }

    /// Sends the notice that a worker leaves.
    pub(crate) fn send_departure(&mut self, index: usize) {
        let worker = &self.workers[index];
        let (host, event) = (worker.host, AgentEvent::Left(Arc::clone(&worker.info.id)));
        let delay = self.draw_heartbeat_delay();
        self.schedule(delay, Event::HostInput(host, event));
    }

    fn draw_heartbeat_delay(&mut self) -> u64 {
        match self.rng.random_bool(self.rates.heartbeat_late) {
            true => self.rng.random_range(100..8_000),
            false => self.rng.random_range(0..5),
        }
    }
}

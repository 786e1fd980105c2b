//! Simulated entries: the drivers of the configuration, the cells and the router in one process.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_conf::Peers;
use hyssop_core::limits::{HEARTBEAT_INTERVAL, PEER_TIMEOUT};
use hyssop_core::{
    AnnounceReply, CellId, CellState, Connectivity, EntryName, Heartbeat, Incarnation, JobCall,
    JobId, JobReply, Millis, Offset, ServiceName, TeamName, WorkerName,
};
use hyssop_plan::Input;
use hyssop_route::{Router, RouterOptions};

use super::cells::CellDriver;
use super::confs::ConfDriver;
use super::nodes::{Body, Message, Node};
use super::requests::Forward;
use crate::invariants::{ConfStatus, Observation};

/// Settings that all processes of the world share.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Service of all requests.
    pub(crate) service: ServiceName,
    /// Team of all requests.
    pub(crate) team: TeamName,
    pub(crate) entries: Vec<EntryName>,
    pub(crate) cells: Vec<CellId>,
    /// Workers of each cell, with their indices in the world.
    pub(crate) workers: BTreeMap<CellId, Vec<(WorkerName, usize)>>,
    pub(crate) retention: Millis,
    pub(crate) seed: u64,
}

/// The purpose of an exchange that an entry has started.
#[derive(Debug)]
pub(crate) enum PendingKind {
    ConfAppend(u64),
    ConfRead(Option<u64>, Offset),
    CellAppend(CellId, u64),
    CellRead(CellId, Option<u64>, Offset),
    Poll(CellId, WorkerName),
    Heartbeat,
    Transfer(CellId, JobId),
    Forward(Box<Forward>),
    RequestTicket(Box<Message>),
}

#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) sent_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) kind: PendingKind,
}

/// Reason why an exchange has no reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ExchangeError {
    /// The receiver refused the request, which had no effect.
    Refused,
    /// No reply arrived in time; the request may have taken effect.
    Timeout,
}

/// Reply to an exchange, or the reason why there is none.
pub(crate) type ExchangeResult = Result<Body, ExchangeError>;

/// An entry and the state of its process.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) number: usize,
    pub(crate) name: EntryName,
    pub(crate) incarnation: u64,
    pub(crate) started_at: Millis,
    pub(crate) conf: ConfDriver,
    pub(crate) peers: Peers,
    pub(crate) cells: BTreeMap<CellId, CellDriver>,
    pub(crate) router: Router,
    pub(crate) pending: BTreeMap<u64, Pending>,
    /// Origins of the job calls that the cores are processing, by token.
    pub(crate) jobs: BTreeMap<u64, JobOrigin>,
    pub(crate) outbox: Vec<Message>,
    last_rpc: u64,
    last_token: u64,
    last_heartbeat_at: Option<Millis>,
    /// Latest cell states received from each entry, with the time of receipt.
    peer_cells: BTreeMap<EntryName, (Millis, Vec<CellState>)>,
    applied: Offset,
    pub(crate) settings: Arc<Settings>,
    /// Considers its configuration fresh regardless of its age; a broken variant.
    pub(crate) ignores_conf_age: bool,
}

/// Destination of the reply to a job call.
#[derive(Debug)]
pub(crate) enum JobOrigin {
    /// A call in a message from another process.
    Remote(Box<Message>),
    /// A transfer or a late result between two cores of this process.
    Local(CellId, JobId),
}

impl Entry {
    pub(crate) fn new(
        number: usize,
        settings: &Arc<Settings>,
        incarnation: u64,
        started_at: Millis,
    ) -> Self {
        let name = settings.entries[number].clone();
        let seed = settings.seed ^ incarnation;
        let cells = settings.cells.iter();
        let cells = cells.map(|cell| {
            let driver = CellDriver::new(cell, &name, incarnation, settings);
            (cell.clone(), driver)
        });
        let domain = settings.cells[number % settings.cells.len()].domain.clone();
        Self {
            number,
            incarnation,
            started_at,
            conf: ConfDriver::new(name.clone(), seed, settings.retention),
            peers: Peers::new(name.clone(), settings.entries.iter().cloned()),
            cells: cells.collect(),
            router: Router::new(RouterOptions { domain, seed }),
            pending: BTreeMap::new(),
            jobs: BTreeMap::new(),
            outbox: Vec::new(),
            last_rpc: incarnation << 24,
            last_token: 0,
            last_heartbeat_at: None,
            peer_cells: BTreeMap::new(),
            applied: Offset(0),
            settings: Arc::clone(settings),
            ignores_conf_age: false,
            name,
        }
    }

    pub(crate) const fn node(&self) -> Node {
        Node::Entry(self.number)
    }

    /// Sends a request and registers the handler of its reply or timeout.
    pub(crate) fn send_request(
        &mut self,
        now: Millis,
        to: Node,
        body: Body,
        timeout_ms: u64,
        kind: PendingKind,
    ) {
        self.last_rpc += 1;
        let pending = Pending {
            sent_at: now,
            deadline: now + Millis(timeout_ms),
            kind,
        };
        self.pending.insert(self.last_rpc, pending);
        self.outbox.push(Message {
            from: self.node(),
            incarnation: self.incarnation,
            to,
            rpc: self.last_rpc,
            body,
        });
    }

    pub(crate) fn connectivity(&self, now: Millis) -> Connectivity {
        if self.ignores_conf_age {
            return Connectivity::Confirmed;
        }
        self.peers
            .connectivity(now, self.conf.store.confirmation_age(now))
    }

    /// Runs the periodic work of all drivers.
    pub(crate) fn tick(&mut self, now: Millis) {
        self.expire_pending(now);
        self.drive_conf(now);
        self.send_heartbeats(now);
        let connectivity = self.connectivity(now);
        self.router.set_connectivity(connectivity);
        let view = Arc::clone(self.conf.store.view());
        let changed = view.applied != self.applied;
        if changed {
            self.applied = view.applied;
            self.router.apply_conf(Arc::clone(&view));
        }
        self.router.sweep(now);
        for cell in self.settings.cells.clone() {
            if changed && let Some(driver) = self.cells.get_mut(&cell) {
                driver.inputs.push(Input::Conf(Arc::clone(&view)));
            }
            self.drive_cell(now, &cell);
        }
    }

    fn expire_pending(&mut self, now: Millis) {
        let is_expired = |pending: &Pending| pending.deadline <= now;
        let expired: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| is_expired(pending))
            .map(|(rpc, _)| *rpc)
            .collect();
        for rpc in expired {
            if let Some(pending) = self.pending.remove(&rpc) {
                self.finish_exchange(now, pending, Err(ExchangeError::Timeout));
            }
        }
    }

    fn send_heartbeats(&mut self, now: Millis) {
        if self
            .last_heartbeat_at
            .is_some_and(|at| now.since(at) < HEARTBEAT_INTERVAL)
        {
            return;
        }
        self.last_heartbeat_at = Some(now);
        let heartbeat = self.own_heartbeat(now);
        for other in 0..self.settings.entries.len() {
            if other != self.number {
                let body = Body::Heartbeat(heartbeat.clone());
                self.send_request(now, Node::Entry(other), body, 1_000, PendingKind::Heartbeat);
            }
        }
    }

    fn own_heartbeat(&self, now: Millis) -> Heartbeat {
        Heartbeat {
            entry: self.name.clone(),
            incarnation: Incarnation(self.incarnation),
            applied: self.conf.store.view().applied,
            confirmation_age: self.conf.store.confirmation_age(now),
            uptime: now.since(self.started_at),
            cells: self.known_cells(now).into_iter().collect(),
            view: None,
        }
    }

    /// Returns the cell states known at first hand: those of this process, and those that a live
    /// entry reports as its own. A deposed owner learns of a new claim through an entry that
    /// exchanges heartbeats with both owners.
    fn known_cells(&self, now: Millis) -> Vec<CellState> {
        let mut known = self.peer_claims(now, false);
        known.extend(self.own_cells());
        known
    }

    /// Returns the cell states that live entries report: those of the cells they own, and with
    /// `with_hints` also those they received from others.
    pub(crate) fn peer_claims(&self, now: Millis, with_hints: bool) -> Vec<CellState> {
        let live = self.peer_cells.iter();
        let live = live.filter(|(_, (at, _))| now.since(*at) < PEER_TIMEOUT);
        let mut claims = Vec::new();
        for (name, (_, states)) in live {
            let states = states.iter();
            let selected = states.filter(|state| with_hints || state.owner == *name);
            claims.extend(selected.cloned());
        }
        claims.retain(|state| state.owner != self.name || state.incarnation.0 != self.incarnation);
        claims
    }

    fn record_peer_cells(&mut self, now: Millis, heartbeat: &Heartbeat) {
        let cells = (now, heartbeat.cells.to_vec());
        self.peer_cells.insert(heartbeat.entry.clone(), cells);
    }

    pub(crate) fn own_cells(&self) -> Vec<CellState> {
        let drivers = self.cells.values();
        drivers.filter_map(|driver| driver.cell.state()).collect()
    }

    pub(crate) fn receive(&mut self, now: Millis, message: Message) {
        if message.body.is_reply() {
            if message.incarnation == self.incarnation
                && let Some(pending) = self.pending.remove(&message.rpc)
            {
                let result = match message.body {
                    Body::Refused => Err(ExchangeError::Refused),
                    body => Ok(body),
                };
                self.finish_exchange(now, pending, result);
            }
            return;
        }
        match &message.body {
            Body::Heartbeat(heartbeat) => {
                if self.peers.record_heartbeat(now, heartbeat) {
                    self.record_peer_cells(now, heartbeat);
                }
                let mut own = self.own_heartbeat(now);
                let view = self.conf.store.view();
                own.view = (heartbeat.applied < view.applied).then(|| (**view).clone());
                self.outbox.push(message.reply(Body::HeartbeatReply(own)));
            }
            Body::Announce(announcement) => {
                self.router.announce(now, announcement);
                let store = &self.conf.store;
                let view = store.view();
                let reply = AnnounceReply {
                    view: (announcement.applied < view.applied).then(|| (**view).clone()),
                    applied: view.applied,
                    confirmation_age: store.confirmation_age(now),
                    can_serve: self.connectivity(now) != Connectivity::Isolated,
                };
                self.outbox.push(message.reply(Body::AnnounceReply(reply)));
            }
            Body::JobCall(cell, call) => {
                let (cell, call) = (cell.clone(), call.clone());
                self.handle_job_call(&cell, call, JobOrigin::Remote(Box::new(message)));
            }
            Body::Request(request) => {
                let request = request.clone();
                self.handle_request(now, &request, message);
            }
            Body::RequestTicket => self.request_ticket(now, message),
            _ => {}
        }
    }

    /// Passes a job call to the core of its cell.
    pub(crate) fn handle_job_call(&mut self, cell: &CellId, call: JobCall, origin: JobOrigin) {
        self.last_token += 1;
        let token = self.last_token;
        if let Some(driver) = self.cells.get_mut(cell) {
            driver.inputs.push(Input::Call { token, call });
            self.jobs.insert(token, origin);
        }
    }

    /// Returns the reply of a core to the origin of the job call.
    pub(crate) fn finish_job_call(&mut self, token: u64, reply: JobReply) {
        match self.jobs.remove(&token) {
            Some(JobOrigin::Remote(message)) => {
                self.outbox.push(message.reply(Body::JobReply(reply)));
            }
            Some(JobOrigin::Local(cell, job)) => {
                if let Some(driver) = self.cells.get_mut(&cell) {
                    driver.inputs.push(Input::Transferred { job, reply });
                }
            }
            None => {}
        }
    }

    fn finish_exchange(&mut self, now: Millis, pending: Pending, result: ExchangeResult) {
        let sent = pending.sent_at;
        match pending.kind {
            PendingKind::ConfAppend(batch_id) => self.conf.handle_append(batch_id, &result),
            PendingKind::ConfRead(id, from) => self.conf.handle_read(now, sent, id, from, result),
            PendingKind::CellAppend(cell, batch_id) => {
                if let Some(driver) = self.cells.get_mut(&cell) {
                    driver.handle_append(batch_id, &result);
                }
            }
            PendingKind::CellRead(cell, read_id, from) => {
                if let Some(driver) = self.cells.get_mut(&cell) {
                    driver.handle_read(sent, read_id, from, result);
                }
            }
            PendingKind::Poll(cell, worker) => {
                if let Some(driver) = self.cells.get_mut(&cell) {
                    driver.handle_poll(worker, sent, result);
                }
            }
            PendingKind::Heartbeat => {
                if let Ok(Body::HeartbeatReply(heartbeat)) = result {
                    self.handle_heartbeat_reply(now, sent, &heartbeat);
                }
            }
            PendingKind::Transfer(cell, job) => {
                if let (Some(driver), Ok(Body::JobReply(reply))) =
                    (self.cells.get_mut(&cell), result)
                {
                    driver.inputs.push(Input::Transferred { job, reply });
                }
            }
            PendingKind::Forward(forward) => self.handle_call_reply(now, sent, *forward, result),
            PendingKind::RequestTicket(origin) => {
                let tickets = match result {
                    Ok(Body::TicketsIssued(Some(tickets))) => tickets.first().copied(),
                    _ => None,
                };
                self.outbox
                    .push(origin.reply(Body::TicketResponse(tickets)));
            }
        }
    }

    fn handle_heartbeat_reply(&mut self, now: Millis, sent: Millis, heartbeat: &Heartbeat) {
        if !self.peers.record_reply(sent, now, heartbeat) {
            return;
        }
        self.record_peer_cells(now, heartbeat);
        if let Some(view) = &heartbeat.view {
            self.conf.store.adopt(view);
        }
        if let Some(age) = heartbeat.confirmation_age {
            self.conf
                .store
                .confirm_by_peer(sent, age, heartbeat.applied);
        }
    }

    /// Returns the state of the entry's configuration for the invariants.
    pub(crate) fn conf_status(&self, now: Millis, reachable_since: Option<Millis>) -> Observation {
        let view = self.conf.store.view();
        Observation::ConfReported(ConfStatus {
            daemon: self.name.to_string(),
            incarnation: Incarnation(self.incarnation),
            applied: view.applied,
            version: super::highest_version(view),
            is_fresh: self.conf.store.is_fresh(now),
            reachable_since,
        })
    }
}

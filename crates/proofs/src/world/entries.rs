//! Entries: the drivers of the configuration, the cells and the router in one process.

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
use crate::invariants::{ConfSeen, Obs};

/// Settings that all processes of the world share.
#[derive(Clone, Debug)]
pub(crate) struct Settings {
    /// Service of all requests.
    pub(crate) service: ServiceName,
    /// Team of all requests.
    pub(crate) team: TeamName,
    pub(crate) entries: Vec<EntryName>,
    pub(crate) cells: Vec<CellId>,
    /// Workers by cell, with their numbers.
    pub(crate) workers: BTreeMap<CellId, Vec<(WorkerName, usize)>>,
    pub(crate) retention: Millis,
    pub(crate) seed: u64,
}

/// What an entry waits for.
#[derive(Debug)]
pub(crate) enum Kind {
    ConfAppend(u64),
    ConfRead(Option<u64>, Offset),
    CellAppend(CellId, u64),
    CellRead(CellId, Option<u64>, Offset),
    Poll(CellId, WorkerName),
    Beat,
    Transfer(CellId, JobId),
    Forward(Box<Forward>),
    Tickets(Box<Message>),
}

#[derive(Debug)]
pub(crate) struct Pending {
    pub(crate) sent: Millis,
    pub(crate) until: Millis,
    pub(crate) kind: Kind,
}

/// Why an exchange had no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Failed {
    /// Certainly without effect.
    Refused,
    /// Nothing came in time.
    Timeout,
}

/// How an exchange ended for the one that asked.
pub(crate) type End = Result<Body, Failed>;

/// An entry.
#[derive(Debug)]
pub(crate) struct Entry {
    pub(crate) number: usize,
    pub(crate) name: EntryName,
    pub(crate) life: u64,
    pub(crate) started: Millis,
    pub(crate) conf: ConfDriver,
    pub(crate) peers: Peers,
    pub(crate) cells: BTreeMap<CellId, CellDriver>,
    pub(crate) router: Router,
    pub(crate) pending: BTreeMap<u64, Pending>,
    /// Calls about jobs that the cores have, by token.
    pub(crate) jobs: BTreeMap<u64, JobOrigin>,
    pub(crate) out: Vec<Message>,
    rpcs: u64,
    tokens: u64,
    beaten: Option<Millis>,
    /// Latest cells that each entry named, and when.
    said: BTreeMap<EntryName, (Millis, Vec<CellState>)>,
    applied: Offset,
    pub(crate) settings: Arc<Settings>,
    /// Takes its configuration for fresh whatever its age; a broken variant.
    pub(crate) gullible: bool,
}

/// Where the answer to a call about a job goes.
#[derive(Debug)]
pub(crate) enum JobOrigin {
    Remote(Box<Message>),
    /// A transfer between two cores of this process.
    Local(CellId, JobId),
}

impl Entry {
    pub(crate) fn new(number: usize, settings: &Arc<Settings>, life: u64, started: Millis) -> Self {
        let name = settings.entries[number].clone();
        let seed = settings.seed ^ life;
        let cells = settings.cells.iter();
        let cells = cells.map(|cell| {
            let driver = CellDriver::new(cell, &name, life, settings);
            (cell.clone(), driver)
        });
        let domain = settings.cells[number % settings.cells.len()].domain.clone();
        Self {
            number,
            life,
            started,
            conf: ConfDriver::new(name.clone(), seed, settings.retention),
            peers: Peers::new(name.clone(), settings.entries.iter().cloned()),
            cells: cells.collect(),
            router: Router::new(RouterOptions { domain, seed }),
            pending: BTreeMap::new(),
            jobs: BTreeMap::new(),
            out: Vec::new(),
            rpcs: life << 24,
            tokens: 0,
            beaten: None,
            said: BTreeMap::new(),
            applied: Offset(0),
            settings: Arc::clone(settings),
            gullible: false,
            name,
        }
    }

    pub(crate) const fn node(&self) -> Node {
        Node::Entry(self.number)
    }

    /// Sends a request and notes what waits for its answer.
    pub(crate) fn ask(&mut self, now: Millis, to: Node, body: Body, limit: u64, kind: Kind) {
        self.rpcs += 1;
        let pending = Pending {
            sent: now,
            until: now + Millis(limit),
            kind,
        };
        self.pending.insert(self.rpcs, pending);
        self.out.push(Message {
            from: self.node(),
            life: self.life,
            to,
            rpc: self.rpcs,
            body,
        });
    }

    pub(crate) fn standing(&self, now: Millis) -> Connectivity {
        if self.gullible {
            return Connectivity::Confirmed;
        }
        self.peers.standing(now, self.conf.store.age(now))
    }

    /// Lets a tick pass.
    pub(crate) fn tick(&mut self, now: Millis) {
        self.expire(now);
        self.drive_conf(now);
        self.beat(now);
        let standing = self.standing(now);
        self.router.set_connectivity(standing);
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

    fn expire(&mut self, now: Millis) {
        let late = |pending: &Pending| pending.until <= now;
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| late(pending))
            .map(|(rpc, _)| *rpc)
            .collect();
        for rpc in late {
            if let Some(pending) = self.pending.remove(&rpc) {
                self.finish(now, pending, Err(Failed::Timeout));
            }
        }
    }

    fn beat(&mut self, now: Millis) {
        if self
            .beaten
            .is_some_and(|at| now.since(at) < HEARTBEAT_INTERVAL)
        {
            return;
        }
        self.beaten = Some(now);
        let beat = self.own_beat(now);
        for other in 0..self.settings.entries.len() {
            if other != self.number {
                let body = Body::Beat(beat.clone());
                self.ask(now, Node::Entry(other), body, 1_000, Kind::Beat);
            }
        }
    }

    fn own_beat(&self, now: Millis) -> Heartbeat {
        Heartbeat {
            entry: self.name.clone(),
            incarnation: Incarnation(self.life),
            applied: self.conf.store.view().applied,
            confirmation_age: self.conf.store.age(now),
            uptime: now.since(self.started),
            cells: self.known(now).into_iter().collect(),
            view: None,
        }
    }

    /// Returns the cells of which this process knows at first hand: its own, and those that a live
    /// entry names as its own. A claim reaches a deposed owner through an entry that both hear.
    fn known(&self, now: Millis) -> Vec<CellState> {
        let mut known = self.stated(now, false);
        known.extend(self.states());
        known
    }

    /// Returns the cells that live entries name, their own ones or also what they were told.
    pub(crate) fn stated(&self, now: Millis, hearsay: bool) -> Vec<CellState> {
        let live = self.said.iter();
        let live = live.filter(|(_, (at, _))| now.since(*at) < PEER_TIMEOUT);
        let mut stated = Vec::new();
        for (name, (_, states)) in live {
            let states = states.iter();
            let kept = states.filter(|state| hearsay || state.owner == *name);
            stated.extend(kept.cloned());
        }
        stated.retain(|state| state.owner != self.name || state.incarnation.0 != self.life);
        stated
    }

    fn note_said(&mut self, now: Millis, beat: &Heartbeat) {
        let said = (now, beat.cells.to_vec());
        self.said.insert(beat.entry.clone(), said);
    }

    pub(crate) fn states(&self) -> Vec<CellState> {
        let drivers = self.cells.values();
        drivers.filter_map(|driver| driver.cell.state()).collect()
    }

    pub(crate) fn receive(&mut self, now: Millis, message: Message) {
        if message.body.is_answer() {
            if message.life == self.life
                && let Some(pending) = self.pending.remove(&message.rpc)
            {
                let end = match message.body {
                    Body::Refused => Err(Failed::Refused),
                    body => Ok(body),
                };
                self.finish(now, pending, end);
            }
            return;
        }
        match &message.body {
            Body::Beat(beat) => {
                if self.peers.received(now, beat) {
                    self.note_said(now, beat);
                }
                let mut own = self.own_beat(now);
                let view = self.conf.store.view();
                own.view = (beat.applied < view.applied).then(|| (**view).clone());
                self.out.push(message.answer(Body::Beaten(own)));
            }
            Body::Announce(announcement) => {
                self.router.announce(now, announcement);
                let store = &self.conf.store;
                let view = store.view();
                let reply = AnnounceReply {
                    view: (announcement.applied < view.applied).then(|| (**view).clone()),
                    applied: view.applied,
                    confirmation_age: store.age(now),
                    can_serve: self.standing(now) != Connectivity::Isolated,
                };
                self.out.push(message.answer(Body::Announced(reply)));
            }
            Body::Job(cell, call) => {
                let (cell, call) = (cell.clone(), call.clone());
                self.job(&cell, call, JobOrigin::Remote(Box::new(message)));
            }
            Body::Ask(asked) => {
                let asked = asked.clone();
                self.request(now, &asked, message);
            }
            Body::AskTicket => self.ask_ticket(now, message),
            _ => {}
        }
    }

    /// Passes a call about a job to the core of its cell.
    pub(crate) fn job(&mut self, cell: &CellId, call: JobCall, origin: JobOrigin) {
        self.tokens += 1;
        let token = self.tokens;
        if let Some(driver) = self.cells.get_mut(cell) {
            driver.inputs.push(Input::Call { token, call });
            self.jobs.insert(token, origin);
        }
    }

    /// Hands out the answer of a core to a call about a job.
    pub(crate) fn job_done(&mut self, token: u64, reply: JobReply) {
        match self.jobs.remove(&token) {
            Some(JobOrigin::Remote(message)) => {
                self.out.push(message.answer(Body::JobDone(reply)));
            }
            Some(JobOrigin::Local(cell, job)) => {
                if let Some(driver) = self.cells.get_mut(&cell) {
                    driver.inputs.push(Input::Transferred { job, reply });
                }
            }
            None => {}
        }
    }

    fn finish(&mut self, now: Millis, pending: Pending, end: End) {
        let sent = pending.sent;
        match pending.kind {
            Kind::ConfAppend(batch) => self.conf.appended(batch, &end),
            Kind::ConfRead(read, from) => self.conf.read_back(now, sent, read, from, end),
            Kind::CellAppend(cell, batch) => {
                if let Some(driver) = self.cells.get_mut(&cell) {
                    driver.appended(batch, &end);
                }
            }
            Kind::CellRead(cell, read, from) => {
                if let Some(driver) = self.cells.get_mut(&cell) {
                    driver.read_back(sent, read, from, end);
                }
            }
            Kind::Poll(cell, worker) => {
                if let Some(driver) = self.cells.get_mut(&cell) {
                    driver.polled(worker, sent, end);
                }
            }
            Kind::Beat => {
                if let Ok(Body::Beaten(beat)) = end {
                    self.beaten_by(now, sent, &beat);
                }
            }
            Kind::Transfer(cell, job) => {
                if let (Some(driver), Ok(Body::JobDone(reply))) = (self.cells.get_mut(&cell), end) {
                    driver.inputs.push(Input::Transferred { job, reply });
                }
            }
            Kind::Forward(forward) => self.called(now, sent, *forward, end),
            Kind::Tickets(origin) => {
                let tickets = match end {
                    Ok(Body::Issued(Some(tickets))) => tickets.first().copied(),
                    _ => None,
                };
                self.out.push(origin.answer(Body::GiveTicket(tickets)));
            }
        }
    }

    fn beaten_by(&mut self, now: Millis, sent: Millis, beat: &Heartbeat) {
        if !self.peers.heard(sent, now, beat) {
            return;
        }
        self.note_said(now, beat);
        if let Some(view) = &beat.view {
            self.conf.store.adopt(view);
        }
        if let Some(age) = beat.confirmation_age {
            self.conf.store.prove_via(sent, age, beat.applied);
        }
    }

    /// Returns what the daemon has of the configuration.
    pub(crate) fn conf_seen(&self, now: Millis, reachable: Option<Millis>) -> Obs {
        let view = self.conf.store.view();
        Obs::Conf(ConfSeen {
            daemon: self.name.to_string(),
            life: Incarnation(self.life),
            applied: view.applied,
            version: super::highest(view),
            proved: self.conf.store.is_fresh(now),
            reachable,
        })
    }
}

//! Core of the agent.

use std::collections::BTreeSet;

use hyssop_core::Millis;
use hyssop_jobs::{Report, RunEnd, RunId, RunStatus, WORKER_LEASE, WorkerInfo};

use super::io::{AgentInput, AgentOutput, HoldError, StartError};
use super::sessions::Session;
use crate::{Exchange, ExchangeReply, Lead, NumberedOrder};

/// Wait for an end in one look at the worker. Leases are extended that often.
const LOOK: Millis = Millis(500);
/// Pause after a look that failed.
const LOOK_PAUSE: Millis = Millis(150);
/// Pause after a look that returned at once because of ends that are known already.
const KNOWN_PAUSE: Millis = Millis(25);
/// Looks in a row without an answer after which the worker counts as not answering.
const STALL_LOOKS: u32 = 1;
/// Starts of one run without an answer after which it is stopped instead.
const START_TRIES: u32 = 3;
/// Pause before an unanswered order is repeated.
const ORDER_PAUSE: Millis = Millis(100);
/// Reports on their way at once: one that waits for orders, and one with news.
const EXCHANGES: usize = 2;
/// Pause after a report that was not answered.
const EXCHANGE_PAUSE: Millis = Millis(100);
/// Interval at which the agent looks who owns the jobs, in case the owner it reports to has lost
/// them without knowing.
const LOCATE: Millis = Millis(2_000);
/// The same while it has no owner.
const LOCATE_LOST: Millis = Millis(200);
/// Interval at which the list of runs is passed on.
const ROWS: Millis = Millis(400);
/// Wait after the end of a lease before the worker's runs count as gone, for timers that fire late.
const LEASE_SLACK: Millis = Millis(150);

/// Core of the agent.
#[derive(Debug, Default)]
pub struct Core {
    now: Millis,
    worker: Option<WorkerInfo>,
    /// Whether the worker's description changed since it was last sent to the owner.
    changed: bool,
    lead: Option<Lead>,
    session: Option<Session>,
    /// Last session that was opened. One that was given up is not opened again.
    last_session: u64,
    /// Last end of a lease that was sent to the worker, on the agent's clock.
    leased: Millis,
    /// Session whose worker is gone, until the owner knows.
    dead: Option<u64>,
    out: BTreeSet<u64>,
    number: u64,
    report_at: Millis,
    located: Option<Millis>,
    locating: bool,
    outputs: Vec<AgentOutput>,
}

impl Core {
    /// Creates the core of an agent that knows nothing.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in what happened and returns what is to be done.
    pub fn tick(&mut self, now: Millis, inputs: Vec<AgentInput>) -> Vec<AgentOutput> {
        self.now = now;
        for input in inputs {
            self.handle(input);
        }
        self.check_lease();
        self.locate();
        self.look();
        self.send_orders();
        self.report();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the session, if there is one.
    #[must_use]
    pub fn session(&self) -> Option<u64> {
        self.session.as_ref().map(|session| session.id)
    }

    fn handle(&mut self, input: AgentInput) {
        match input {
            AgentInput::Beat(info) => self.beat(info),
            AgentInput::Left(id) => {
                if self.worker.as_ref().is_some_and(|worker| worker.id == id) {
                    self.bury("it has left");
                }
            }
            AgentInput::Located(lead) => self.relocate(lead),
            AgentInput::Answered {
                epoch,
                sent,
                number,
                reply,
            } => {
                self.out.remove(&number);
                if self.lead.as_ref().is_some_and(|lead| lead.epoch == epoch) {
                    self.answered(sent, reply);
                }
            }
            AgentInput::Unanswered { epoch } => {
                // Which report it was does not matter: all wait for the same connection. What it
                // held may be lost, so that another session has to report completely.
                self.out.clear();
                if self.lead.as_ref().is_some_and(|lead| lead.epoch == epoch) {
                    self.session = None;
                    self.report_at = self.now + EXCHANGE_PAUSE;
                    self.located = self.located.map(|at| at.since(LOCATE));
                }
            }
            AgentInput::Held {
                session,
                sent,
                clock,
                running,
                ended,
            } => {
                self.held(session, sent, clock, running, ended);
            }
            AgentInput::NotHeld { session, error } => self.not_held(session, error),
            AgentInput::Started {
                session,
                run,
                result,
            } => self.started(session, run, result),
            AgentInput::Stopped {
                session,
                run,
                answered,
            } => self.stopped(session, run, answered),
        }
    }

    fn beat(&mut self, info: WorkerInfo) {
        match &self.worker {
            Some(known) if known.id == info.id && known.incarnation == info.incarnation => {
                self.changed |= *known != info;
            }
            Some(known) if known.id == info.id && known.incarnation > info.incarnation => return,
            Some(_) => {
                self.bury("another one reports itself");
                self.changed = true;
            }
            None => self.changed = true,
        }
        self.worker = Some(info);
    }

    /// Takes in that nothing runs on the worker any more.
    fn bury(&mut self, reason: &str) {
        let Some(worker) = self.worker.take() else {
            return;
        };
        self.note(format!("worker {} is gone: {reason}", worker.id));
        if let Some(session) = self.session.take() {
            self.dead = Some(session.id);
        }
        self.leased = Millis(0);
    }

    fn relocate(&mut self, lead: Option<Lead>) {
        self.locating = false;
        self.located = Some(self.now);
        let Some(lead) = lead.filter(|lead| !lead.resigned) else {
            return;
        };
        let known = self.lead.as_ref().map_or(0, |known| known.epoch);
        if lead.epoch > known {
            self.note(format!("owner is {} epoch={}", lead.node, lead.epoch));
            self.session = None;
            self.dead = None;
            self.out.clear();
            self.report_at = Millis(0);
            self.lead = Some(lead);
        }
    }

    fn answered(&mut self, sent: Millis, reply: ExchangeReply) {
        if !reply.owner {
            self.report_at = self.now + EXCHANGE_PAUSE;
            self.located = self.located.map(|at| at.since(LOCATE));
            return;
        }
        if let Some(lead) = self.lead.as_mut().filter(|lead| lead.epoch < reply.epoch) {
            // The same process owns the jobs again, after another one or a start of its own.
            lead.epoch = reply.epoch;
        }
        let Some(id) = reply.session else {
            self.dead = None;
            self.session = None;
            return;
        };
        if self.dead == Some(id) {
            return;
        }
        if id > self.last_session {
            if self.worker.is_none() {
                return;
            }
            self.note(format!("session {id} opened"));
            self.session = Some(Session::new(id));
            self.last_session = id;
        }
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        if reply.granted {
            session.lease = session.lease.max(sent + WORKER_LEASE);
        }
        session.acknowledged = session.acknowledged.max(reply.acknowledged);
        for NumberedOrder { number, order } in reply.orders {
            // Replies may overtake each other; what is missing comes again.
            if number == session.seen + 1 {
                session.seen = number;
                session.take_order(order, &mut self.outputs);
            }
        }
    }

    fn held(
        &mut self,
        id: u64,
        sent: Millis,
        clock: Millis,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
    ) {
        let now = self.now;
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        session.looking = false;
        session.missed = 0;
        // A look returns at once while an end is not acknowledged.
        let last = |rows: &[RunEnd]| rows.last().map(|row| row.number);
        let is_known = last(&ended).is_some() && last(&ended) <= last(&session.ended);
        session.look_at = if is_known { now + KNOWN_PAUSE } else { now };
        session.clock = Some((clock, now));
        session.check_expected(sent, &running, &ended);
        session.rows = running;
        session.ended = ended;
        session.rows_new = true;
    }

    fn not_held(&mut self, id: u64, error: HoldError) {
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        session.looking = false;
        session.look_at = self.now + LOOK_PAUSE;
        match error {
            HoldError::Gone => self.bury("it does not answer at its address"),
            HoldError::Fenced => {
                self.note(format!("session {id} is fenced by a later owner"));
                self.session = None;
                self.located = None;
            }
            HoldError::Silent => session.missed += 1,
        }
    }

    fn started(&mut self, id: u64, run: RunId, result: Result<(), StartError>) {
        let now = self.now;
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        let Some(start) = session.starts.get_mut(&run) else {
            return;
        };
        start.in_flight = false;
        match result {
            Ok(()) => {
                session.starts.remove(&run);
                session.expected.insert(run, now);
            }
            Err(StartError::Never(_)) if start.tries > 1 => {
                // An earlier try that was not answered may have run and ended.
                session.starts.remove(&run);
                session.expected.insert(run, now);
            }
            Err(StartError::Never(refusal)) => {
                session.starts.remove(&run);
                session.refused.push((run, refusal));
            }
            Err(StartError::Unknown) if start.tries >= START_TRIES => {
                session.starts.remove(&run);
                session.stop(run);
                self.note(format!("start of {run} was not answered: it is stopped"));
            }
            Err(StartError::Unknown) => start.not_before = now + ORDER_PAUSE,
        }
    }

    fn stopped(&mut self, id: u64, run: RunId, answered: bool) {
        let now = self.now;
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        let Some(stop) = session.stops.get_mut(&run) else {
            return;
        };
        stop.in_flight = false;
        if answered {
            session.stops.remove(&run);
            session.expected.insert(run, now);
        } else {
            stop.not_before = now + ORDER_PAUSE;
        }
    }

    /// Tells the owner that the worker runs nothing once the last lease that it was sent has ended.
    fn check_lease(&mut self) {
        let is_silent = self
            .session
            .as_ref()
            .is_some_and(|session| session.missed > 0);
        if is_silent && self.leased.0 > 0 && self.now > self.leased + LEASE_SLACK {
            self.bury("it does not answer and its lease has ended");
        }
    }

    fn locate(&mut self) {
        let interval = if self.lead.is_some() {
            LOCATE
        } else {
            LOCATE_LOST
        };
        let is_due = self.located.is_none_or(|at| self.now >= at + interval);
        if is_due && !self.locating {
            self.locating = true;
            self.outputs.push(AgentOutput::Locate);
        }
    }

    fn look(&mut self) {
        let now = self.now;
        let Some(session) = self.session.as_mut() else {
            return;
        };
        if session.looking || now < session.look_at {
            return;
        }
        session.looking = true;
        let lease = session.worker_lease(now);
        if lease.is_some() {
            self.leased = self.leased.max(session.lease);
        }
        // The first look reads the clock and, by its token, voids the orders of earlier sessions.
        let wait = if session.clock.is_none() || !session.complete {
            Millis(0)
        } else {
            LOOK
        };
        let (id, seen) = (session.id, session.acknowledged);
        self.outputs.push(AgentOutput::Hold {
            session: id,
            lease,
            seen,
            wait,
        });
    }

    fn send_orders(&mut self) {
        let now = self.now;
        let Some(session) = self.session.as_mut() else {
            return;
        };
        let Some(lease) = session.worker_lease(now) else {
            return;
        };
        let id = session.id;
        let mut has_started = false;
        for start in session.starts.values_mut() {
            if start.in_flight || now < start.not_before {
                continue;
            }
            start.in_flight = true;
            start.tries += 1;
            has_started = true;
            self.outputs.push(AgentOutput::Start {
                session: id,
                start: start.start.clone(),
                lease,
            });
        }
        if has_started {
            self.leased = self.leased.max(session.lease);
        }
        for (&run, stop) in &mut session.stops {
            if !stop.in_flight && now >= stop.not_before {
                stop.in_flight = true;
                self.outputs.push(AgentOutput::Stop { session: id, run });
            }
        }
    }

    fn report(&mut self) {
        let now = self.now;
        let Some(lead) = self.lead.clone() else {
            return;
        };
        if now < self.report_at || self.out.len() >= EXCHANGES {
            return;
        }
        let is_free = self.out.is_empty();
        let exchange = if let Some(id) = self.dead {
            let report = Report {
                is_dead: true,
                ..Report::default()
            };
            is_free.then(|| Exchange {
                session: Some(id),
                report,
                ..Exchange::default()
            })
        } else if self.session.is_none() {
            let worker = self.worker.clone();
            // What changes after this description was sent is reported by itself.
            self.changed &= !is_free;
            worker.filter(|_| is_free).map(|worker| Exchange {
                worker: Some(worker),
                ..Exchange::default()
            })
        } else {
            self.session_report(is_free)
        };
        let Some(exchange) = exchange else { return };
        self.number += 1;
        self.out.insert(self.number);
        self.outputs.push(AgentOutput::Exchange {
            lead,
            number: self.number,
            exchange: Box::new(exchange),
        });
    }

    /// Returns the next report of the session, if there is news or no report waits for orders.
    fn session_report(&mut self, is_free: bool) -> Option<Exchange> {
        let now = self.now;
        let session = self.session.as_mut()?;
        session.clock?;
        let is_first = !session.complete;
        let has_news = session.has_news() || self.changed || is_first;
        if !has_news && !is_free {
            return None;
        }
        let with_rows = is_first || (session.rows_new && now >= session.rows_sent + ROWS);
        if with_rows {
            session.rows_new = false;
            session.rows_sent = now;
        }
        session.complete = true;
        session.told = session.ended.last().map_or(session.told, |row| row.number);
        let report = Report {
            running: with_rows.then(|| session.rows.clone()),
            is_complete: is_first,
            ended: session.ended.clone(),
            refused: std::mem::take(&mut session.refused),
            is_dead: false,
            is_unresponsive: session.missed >= STALL_LOOKS,
        };
        let worker = self.worker.clone().filter(|_| self.changed);
        self.changed = false;
        Some(Exchange {
            session: Some(session.id),
            worker,
            seen: session.seen,
            report,
        })
    }

    fn note(&mut self, text: String) {
        self.outputs.push(AgentOutput::Note(text));
    }
}

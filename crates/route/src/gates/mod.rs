//! The agent's side: slots, waiting requests and tickets of one backend server.

mod backends;
mod queues;
mod tickets;

use std::sync::Arc;

use hyssop_core::limits::TICKET_BATCH;
use hyssop_core::{
    Call, CallId, ConfView, Incarnation, Load, MemberState, Millis, NotRun, Outcome, Reply, Ticket,
    TicketCall, Unknown,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;

use crate::types::{GateInput, GateOptions, GateOutput};
use backends::Intake;
use queues::{FairQueue, Waiting};
use tickets::{Claim, Print, Tickets};

/// Time after the caller's deadline for which an exchange with the backend server may go on.
///
/// Until then the slot stays taken, because the backend server may still work on the request, and
/// a late answer is kept for a repeat of the ticket.
pub const MAX_DEADLINE_OVERRUN: Millis = Millis(10_000);
/// Longest time that a caller may leave for a request, the same as for callers of an entry. A
/// request without end would keep its slot for good.
const MAX_BUDGET: Millis = Millis(600_000);
/// Time for which requests that wait when the backend server starts to leave may still start.
/// Those that remain are refused, so that a leaving backend server gets nothing new after it.
pub const LEAVE_GRACE: Millis = Millis(2_000);

type Outputs = SmallVec<[GateOutput; 4]>;

/// What an agent announces and needs to know for its stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateStatus {
    /// State of the backend server.
    pub state: MemberState,
    /// Load.
    pub load: Load,
    /// Callers that wait for an answer.
    pub waiting_callers: u32,
    /// Records in the ticket table.
    pub ticket_records: usize,
    /// Bytes of kept answers.
    pub response_bytes: usize,
}

/// A caller that waits for an answer.
#[derive(Clone, Copy, Debug)]
struct Caller {
    token: u64,
    id: CallId,
    deadline: Millis,
}

/// A request that waits for a slot.
#[derive(Debug)]
struct Queued {
    call: Call,
    caller: Caller,
}

/// A request that the backend server has.
#[derive(Debug)]
struct Run {
    token: u64,
    ticket: Option<Ticket>,
    /// Caller, until it has been answered.
    caller: Option<Caller>,
    /// Life of the backend server that has the request.
    life: Incarnation,
}

/// A repeat that waits for the first request with its ticket.
#[derive(Debug)]
struct Joined {
    nonce: u64,
    caller: Caller,
}

/// Decides which requests run at the backend server, and answers tickets.
///
/// Each request is answered exactly once. A request that was answered as not run has left the
/// queue before the answer is given, and its ticket is refused from then on.
#[derive(Debug)]
pub struct Gate {
    options: GateOptions,
    intake: Intake,
    tickets: Tickets,
    queue: FairQueue<Queued>,
    runs: Vec<Run>,
    joined: Vec<Joined>,
}

impl Gate {
    /// Creates a gate that takes no work until it has a backend server and an entry serves.
    #[must_use]
    pub fn new(options: GateOptions) -> Self {
        let rng = StdRng::seed_from_u64(options.seed);
        let (bytes, records) = (options.max_response_bytes, options.max_tickets);
        Self {
            tickets: Tickets::new(options.incarnation, rng, bytes, records),
            options,
            intake: Intake::default(),
            queue: FairQueue::new(),
            runs: Vec::new(),
            joined: Vec::new(),
        }
    }

    /// Takes one input and returns what is to be done. `now` must not decrease.
    pub fn step(&mut self, now: Millis, input: GateInput) -> SmallVec<[GateOutput; 4]> {
        let mut out = Outputs::new();
        match input {
            GateInput::Call { token, call } => {
                // What has expired must neither take the room of a request nor answer it.
                self.expire(now, &mut out);
                self.tickets.sweep(now);
                self.take(now, token, call, &mut out);
            }
            GateInput::CallEnded { token, outcome } => self.end(now, token, &outcome, &mut out),
            GateInput::Tickets { token, call } => {
                let reply = self.issue(now, &call);
                out.push(GateOutput::Tickets { token, reply });
            }
            GateInput::BackendAnnounced {
                incarnation,
                slots,
                connections,
            } => {
                if self.intake.announced(incarnation, slots, connections) {
                    self.end_others(now, incarnation, &mut out);
                }
            }
            GateInput::BackendLost => self.lose(now, &mut out),
            GateInput::Leave => self.intake.leave(now),
            GateInput::Rejoin => self.intake.enter(now),
            GateInput::DomainChanged { version, state } => self.intake.domain(now, version, state),
            GateInput::Conf(view) => self.conf(now, &view),
            GateInput::EntryServing(serving) => self.intake.serving = serving,
            GateInput::Tick => {}
        }
        self.expire(now, &mut out);
        self.tickets.sweep(now);
        self.start_waiting(now, &mut out);
        out
    }

    /// Returns the state for announcements.
    #[must_use]
    pub fn status(&self) -> GateStatus {
        let unanswered = self.runs.iter().filter(|run| run.caller.is_some()).count();
        GateStatus {
            state: self.intake.state(),
            load: self.load(),
            waiting_callers: count(unanswered + self.queue.len() + self.joined.len()),
            ticket_records: self.tickets.len(),
            response_bytes: self.tickets.bytes(),
        }
    }

    /// Returns the time until which an issued and unused ticket may come.
    #[must_use]
    pub fn unused_tickets_until(&self) -> Option<Millis> {
        self.tickets.unused_until()
    }

    /// Returns the earliest time at which a [`GateInput::Tick`] has something to do.
    #[must_use]
    pub fn next_tick_at(&self) -> Option<Millis> {
        let callers = self.runs.iter().filter_map(|run| run.caller);
        let joined = self.joined.iter().map(|joined| joined.caller);
        let deadlines = callers.chain(joined).map(|caller| caller.deadline);
        let waiting = match self.queue.len() {
            0 => None,
            _ => self.intake.waiting_until(),
        };
        deadlines.chain(self.queue.earliest()).chain(waiting).min()
    }

    fn conf(&mut self, now: Millis, view: &Arc<ConfView>) {
        let options = &self.options;
        self.intake
            .conf(now, view, &options.service, &options.domain);
    }

    fn load(&self) -> Load {
        Load {
            running: count(self.runs.len()),
            waiting: count(self.queue.len()),
            slots: self.intake.slots,
        }
    }

    /// Requests that count against the connections: those that run, wait or repeat another.
    fn held(&self) -> usize {
        self.runs.len() + self.queue.len() + self.joined.len()
    }

    fn is_full(&self) -> bool {
        self.held() >= self.intake.connections as usize
    }

    fn take(&mut self, now: Millis, token: u64, call: Call, out: &mut Outputs) {
        let caller = Caller {
            token,
            id: call.id,
            deadline: now + call.budget.min(MAX_BUDGET),
        };
        if call.service != self.options.service {
            return self.refuse(caller, NotRun::NoService, out);
        }
        match call.ticket {
            Some(ticket) => self.take_ticket(now, caller, ticket, call, out),
            None if call.idempotent => {
                if let Err(why) = self.accept(now, &call, caller, out) {
                    return self.refuse(caller, why, out);
                }
                self.wait(caller, call);
            }
            None => self.refuse(caller, NotRun::TicketMissing, out),
        }
    }

    fn take_ticket(
        &mut self,
        now: Millis,
        caller: Caller,
        ticket: Ticket,
        call: Call,
        out: &mut Outputs,
    ) {
        if ticket.incarnation != self.options.incarnation {
            let outcome = Outcome::Unknown(Unknown::AgentGone);
            return self.reply(caller, outcome, out);
        }
        let print = Print::of(&call);
        match self.tickets.claim(now, ticket.nonce, &call.team, print) {
            Claim::First => match self.accept(now, &call, caller, out) {
                Ok(()) => {
                    self.tickets.queue(ticket.nonce, print);
                    self.wait(caller, call);
                }
                Err(why) => {
                    self.tickets.refuse(now, ticket.nonce);
                    self.refuse(caller, why, out);
                }
            },
            Claim::Pending { started } => self.join(ticket.nonce, caller, started, out),
            Claim::Finished(outcome) => self.reply(caller, outcome, out),
            Claim::NotRun(why) => self.refuse(caller, why, out),
            Claim::Forgotten => self.reply(caller, Outcome::Unknown(Unknown::Expired), out),
        }
    }

    /// Checks whether a new request may wait for a slot, and makes room for it.
    fn accept(
        &mut self,
        now: Millis,
        call: &Call,
        caller: Caller,
        out: &mut Outputs,
    ) -> Result<(), NotRun> {
        if let Some(why) = call.refuse {
            return Err(why);
        }
        self.intake.check()?;
        if caller.deadline <= now {
            return Err(NotRun::Deadline);
        }
        if self.is_full() {
            let displaced = self.queue.displace(&call.team).ok_or(NotRun::Full)?;
            self.refuse_queued(now, &displaced.item, NotRun::Full, out);
        }
        Ok(())
    }

    fn wait(&mut self, caller: Caller, call: Call) {
        let team = call.team.clone();
        let waiting = Waiting {
            deadline: caller.deadline,
            item: Queued { call, caller },
        };
        self.queue.push(&team, waiting);
    }

    fn join(&mut self, nonce: u64, caller: Caller, started: bool, out: &mut Outputs) {
        // The first request runs or may still run, so that the repeat can't be told "not run".
        let lost = started && !self.intake.is_present();
        if lost || self.is_full() {
            return self.reply(caller, Outcome::Unknown(Unknown::Broken), out);
        }
        self.joined.push(Joined { nonce, caller });
    }

    fn start_waiting(&mut self, now: Millis, out: &mut Outputs) {
        if let Some(why) = self.intake.refuses_waiting(now) {
            return self.refuse_waiting(now, why, out);
        }
        while self.runs.len() < self.intake.slots as usize
            && let Some(waiting) = self.queue.pop()
        {
            self.start(now, waiting.item, out);
        }
    }

    fn start(&mut self, now: Millis, queued: Queued, out: &mut Outputs) {
        let Queued { mut call, caller } = queued;
        let Some(life) = self.intake.life() else {
            return self.refuse_queued(now, &Queued { call, caller }, NotRun::NoServer, out);
        };
        call.budget = caller.deadline.since(now);
        if let Some(ticket) = call.ticket {
            self.tickets.start(ticket.nonce);
        }
        self.runs.push(Run {
            token: caller.token,
            ticket: call.ticket,
            caller: Some(caller),
            life,
        });
        out.push(GateOutput::Run {
            token: caller.token,
            budget: call.budget + MAX_DEADLINE_OVERRUN,
            call,
        });
    }

    fn end(&mut self, now: Millis, token: u64, outcome: &Outcome, out: &mut Outputs) {
        if let Some(at) = self.runs.iter().position(|run| run.token == token) {
            let run = self.runs.swap_remove(at);
            self.end_run(now, &run, outcome, out);
        }
    }

    fn end_run(&mut self, now: Millis, run: &Run, outcome: &Outcome, out: &mut Outputs) {
        if let Some(ticket) = run.ticket {
            match outcome {
                Outcome::NotRun(_) => self.tickets.refuse(now, ticket.nonce),
                _ => self.tickets.finish(now, ticket.nonce, outcome),
            }
            self.answer_joined(ticket.nonce, outcome, out);
        }
        if let Some(caller) = run.caller {
            self.reply(caller, outcome.clone(), out);
        }
    }

    fn answer_joined(&mut self, nonce: u64, outcome: &Outcome, out: &mut Outputs) {
        let joined = self.joined.extract_if(.., |joined| joined.nonce == nonce);
        let callers: SmallVec<[Caller; 4]> = joined.map(|joined| joined.caller).collect();
        for caller in callers {
            self.reply(caller, outcome.clone(), out);
        }
    }

    /// Ends the requests of earlier lives of the backend server.
    fn end_others(&mut self, now: Millis, life: Incarnation, out: &mut Outputs) {
        let broken = Outcome::Unknown(Unknown::Broken);
        let others: Vec<Run> = self.runs.extract_if(.., |run| run.life != life).collect();
        for run in others {
            self.end_run(now, &run, &broken, out);
        }
    }

    /// Answers all callers when the backend server is lost. Requests that run keep their slots
    /// until they end or a new life of the backend server is announced, because the backend
    /// server may only have been silent.
    fn lose(&mut self, now: Millis, out: &mut Outputs) {
        self.intake.lose();
        let broken = Outcome::Unknown(Unknown::Broken);
        for at in 0..self.runs.len() {
            let ticket = self.runs[at].ticket;
            if let Some(caller) = self.runs[at].caller.take() {
                self.reply(caller, broken.clone(), out);
            }
            if let Some(ticket) = ticket {
                self.answer_joined(ticket.nonce, &broken, out);
            }
        }
        self.refuse_waiting(now, NotRun::NoServer, out);
    }

    /// Answers the callers whose deadline has passed.
    fn expire(&mut self, now: Millis, out: &mut Outputs) {
        for waiting in self.queue.expired(now) {
            self.refuse_queued(now, &waiting.item, NotRun::Deadline, out);
        }
        let unknown = Outcome::Unknown(Unknown::Deadline);
        let late = |caller: &Caller| caller.deadline <= now;
        let runs = self.runs.iter_mut();
        let mut callers: SmallVec<[Caller; 4]> = runs
            .filter_map(|run| run.caller.take_if(|c| late(c)))
            .collect();
        let joined = self.joined.extract_if(.., |joined| late(&joined.caller));
        callers.extend(joined.map(|joined| joined.caller));
        for caller in callers {
            self.reply(caller, unknown.clone(), out);
        }
    }

    fn refuse_waiting(&mut self, now: Millis, why: NotRun, out: &mut Outputs) {
        for waiting in self.queue.drain() {
            self.refuse_queued(now, &waiting.item, why, out);
        }
    }

    fn refuse_queued(&mut self, now: Millis, queued: &Queued, why: NotRun, out: &mut Outputs) {
        if let Some(ticket) = queued.call.ticket {
            self.tickets.refuse(now, ticket.nonce);
            self.answer_joined(ticket.nonce, &Outcome::NotRun(why), out);
        }
        self.refuse(queued.caller, why, out);
    }

    fn issue(&mut self, now: Millis, call: &TicketCall) -> Result<Vec<Ticket>, NotRun> {
        if call.service != self.options.service {
            return Err(NotRun::NoService);
        }
        self.intake.check()?;
        let count = call.count.clamp(1, TICKET_BATCH) as usize;
        let tickets = self.tickets.issue(now, &call.team, count);
        match tickets.is_empty() {
            true => Err(NotRun::Full),
            false => Ok(tickets),
        }
    }

    fn refuse(&self, caller: Caller, why: NotRun, out: &mut Outputs) {
        self.reply(caller, Outcome::NotRun(why), out);
    }

    fn reply(&self, caller: Caller, outcome: Outcome, out: &mut Outputs) {
        let reply = Reply {
            id: caller.id,
            incarnation: self.options.incarnation,
            outcome,
            load: self.load(),
        };
        out.push(GateOutput::Reply {
            token: caller.token,
            reply,
        });
    }
}

fn count(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

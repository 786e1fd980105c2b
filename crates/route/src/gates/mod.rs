//! The gate of an agent: slots, waiting requests and tickets of one backend server.

mod backends;
mod queues;
mod tickets;

use std::sync::Arc;

use hyssop_core::limits::MAX_TICKET_BATCH;
use hyssop_core::{
    Call, CallId, ConfView, Incarnation, Load, MemberState, Millis, NotRun, Outcome, Reply, Ticket,
    TicketCall, Unknown,
};
use rand::SeedableRng;
use rand::rngs::StdRng;
use smallvec::SmallVec;

use crate::types::{GateInput, GateOptions, GateOutput};
use backends::Admission;
use queues::{FairQueue, Waiting};
use tickets::{Claim, Fingerprint, Tickets};

/// Time by which a request to the backend server may exceed the caller's deadline.
///
/// Until then the slot stays occupied, because the backend server may still be working on the
/// request, and a late response is stored for a repeat of the ticket.
pub const MAX_DEADLINE_OVERRUN: Millis = Millis(10_000);
/// Longest budget of a request, the same as for callers of an entry. A request without a time
/// limit could occupy its slot forever.
const MAX_BUDGET: Millis = Millis(600_000);
/// Time for which waiting requests may still start after the backend server has begun to leave.
/// The remaining ones are then refused, so that the backend server gets no further requests.
pub const LEAVE_GRACE: Millis = Millis(2_000);

type Outputs = SmallVec<[GateOutput; 4]>;

/// State of a gate, which an agent announces and checks before it stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateStatus {
    /// State to announce to the entries.
    pub state: MemberState,
    /// Running and waiting requests, and the slots in use for them.
    pub load: Load,
    /// Callers that have not yet been sent a reply.
    pub waiting_callers: u32,
    /// Records in the ticket table.
    pub ticket_records: usize,
    /// Bytes of stored responses.
    pub response_bytes: usize,
}

/// A caller that waits for a reply.
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

/// A request that was sent to the backend server and has not ended.
#[derive(Debug)]
struct Run {
    token: u64,
    ticket: Option<Ticket>,
    /// Caller, or `None` once it has been sent a reply.
    caller: Option<Caller>,
    /// Incarnation of the backend server to which the request was sent.
    backend_incarnation: Incarnation,
}

/// A repeated request that waits for the outcome of the first one with the same ticket.
#[derive(Debug)]
struct Repeat {
    nonce: u64,
    caller: Caller,
}

/// Decides which requests run at the backend server, and replies to repeated tickets.
///
/// Each request gets exactly one reply. A request with the outcome [`Outcome::NotRun`] has left
/// the queue before the reply is sent, and its ticket is refused from then on.
#[derive(Debug)]
pub struct Gate {
    options: GateOptions,
    admission: Admission,
    tickets: Tickets,
    queue: FairQueue<Queued>,
    runs: Vec<Run>,
    repeats: Vec<Repeat>,
}

impl Gate {
    /// Creates a gate that refuses work until it has a backend server and an entry is serving.
    #[must_use]
    pub fn new(options: GateOptions) -> Self {
        let rng = StdRng::seed_from_u64(options.seed);
        let (bytes, records) = (options.max_response_bytes, options.max_tickets);
        Self {
            tickets: Tickets::new(options.incarnation, rng, bytes, records),
            options,
            admission: Admission::default(),
            queue: FairQueue::new(),
            runs: Vec::new(),
            repeats: Vec::new(),
        }
    }

    /// Processes one input and returns the actions to perform. `now` must not decrease.
    pub fn step(&mut self, now: Millis, input: GateInput) -> SmallVec<[GateOutput; 4]> {
        let mut outputs = Outputs::new();
        match input {
            GateInput::Call { token, call } => {
                // Expired requests must not count against the limits, and expired records must
                // not determine the reply.
                self.expire_callers(now, &mut outputs);
                self.tickets.sweep(now);
                self.handle_call(now, token, call, &mut outputs);
            }
            GateInput::CallEnded { token, outcome } => {
                self.end_call(now, token, &outcome, &mut outputs);
            }
            GateInput::Tickets { token, call } => {
                let reply = self.issue_tickets(now, &call);
                outputs.push(GateOutput::Tickets { token, reply });
            }
            GateInput::BackendAnnounced {
                incarnation,
                slots,
                connections,
            } => {
                if self
                    .admission
                    .apply_announcement(incarnation, slots, connections)
                {
                    self.end_earlier_runs(now, incarnation, &mut outputs);
                }
            }
            GateInput::BackendLost => self.lose_backend(now, &mut outputs),
            GateInput::Leave => self.admission.leave(now),
            GateInput::Rejoin => self.admission.rejoin(now),
            GateInput::DomainChanged { version, state } => {
                self.admission.apply_domain(now, version, state);
            }
            GateInput::Conf(view) => self.apply_conf(now, &view),
            GateInput::EntryServing(serving) => self.admission.has_serving_entry = serving,
            GateInput::Tick => {}
        }
        self.expire_callers(now, &mut outputs);
        self.tickets.sweep(now);
        self.start_waiting(now, &mut outputs);
        outputs
    }

    /// Returns the current state.
    #[must_use]
    pub fn status(&self) -> GateStatus {
        let unanswered = self.runs.iter().filter(|run| run.caller.is_some()).count();
        GateStatus {
            state: self.admission.state(),
            load: self.load(),
            waiting_callers: to_u32(unanswered + self.queue.len() + self.repeats.len()),
            ticket_records: self.tickets.len(),
            response_bytes: self.tickets.response_bytes(),
        }
    }

    /// Returns the time until which a request with an unused ticket may still arrive; `None` if
    /// all issued tickets have been used or have expired.
    #[must_use]
    pub fn unused_tickets_until(&self) -> Option<Millis> {
        self.tickets.unused_until()
    }

    /// Returns the earliest time at which a [`GateInput::Tick`] has an effect.
    #[must_use]
    pub fn next_tick_at(&self) -> Option<Millis> {
        let callers = self.runs.iter().filter_map(|run| run.caller);
        let repeats = self.repeats.iter().map(|repeat| repeat.caller);
        let deadlines = callers.chain(repeats).map(|caller| caller.deadline);
        let waiting = match self.queue.len() {
            0 => None,
            _ => self.admission.waiting_until(),
        };
        deadlines
            .chain(self.queue.earliest_deadline())
            .chain(waiting)
            .min()
    }

    fn apply_conf(&mut self, now: Millis, view: &Arc<ConfView>) {
        let options = &self.options;
        self.admission
            .apply_conf(now, view, &options.service, &options.domain);
    }

    fn load(&self) -> Load {
        Load {
            running: to_u32(self.runs.len()),
            waiting: to_u32(self.queue.len()),
            slots: self.admission.slots,
        }
    }

    /// Number of requests that count against the limit `connections`: running and queued ones, and
    /// repeats that wait for the response to an earlier request.
    fn open_requests(&self) -> usize {
        self.runs.len() + self.queue.len() + self.repeats.len()
    }

    fn is_full(&self) -> bool {
        self.open_requests() >= self.admission.connections as usize
    }

    fn handle_call(&mut self, now: Millis, token: u64, call: Call, outputs: &mut Outputs) {
        let caller = Caller {
            token,
            id: call.id,
            deadline: now + call.budget.min(MAX_BUDGET),
        };
        if call.service != self.options.service {
            return self.refuse(caller, NotRun::NoService, outputs);
        }
        match call.ticket {
            Some(ticket) => self.handle_ticket_call(now, caller, ticket, call, outputs),
            None if call.is_idempotent => {
                if let Err(reason) = self.admit(now, &call, caller, outputs) {
                    return self.refuse(caller, reason, outputs);
                }
                self.enqueue(caller, call);
            }
            None => self.refuse(caller, NotRun::TicketMissing, outputs),
        }
    }

    fn handle_ticket_call(
        &mut self,
        now: Millis,
        caller: Caller,
        ticket: Ticket,
        call: Call,
        outputs: &mut Outputs,
    ) {
        if ticket.incarnation != self.options.incarnation {
            let outcome = Outcome::Unknown(Unknown::AgentUnreachable);
            return self.reply(caller, outcome, outputs);
        }
        let fingerprint = Fingerprint::of(&call);
        match self
            .tickets
            .claim(now, ticket.nonce, &call.team, fingerprint)
        {
            Claim::First => match self.admit(now, &call, caller, outputs) {
                Ok(()) => {
                    self.tickets.queue(ticket.nonce, fingerprint);
                    self.enqueue(caller, call);
                }
                Err(reason) => {
                    self.tickets.refuse(now, ticket.nonce);
                    self.refuse(caller, reason, outputs);
                }
            },
            Claim::Pending { is_started } => {
                self.add_repeat(ticket.nonce, caller, is_started, outputs);
            }
            Claim::Finished(outcome) => self.reply(caller, outcome, outputs),
            Claim::NotRun(reason) => self.refuse(caller, reason, outputs),
            Claim::RecordExpired => self.reply(caller, Outcome::Unknown(Unknown::Expired), outputs),
        }
    }

    /// Checks whether a new request may wait for a slot. If the limit of open requests is
    /// reached, it displaces a request of a team with a longer queue.
    fn admit(
        &mut self,
        now: Millis,
        call: &Call,
        caller: Caller,
        outputs: &mut Outputs,
    ) -> Result<(), NotRun> {
        if let Some(reason) = call.refusal {
            return Err(reason);
        }
        self.admission.check_new()?;
        if caller.deadline <= now {
            return Err(NotRun::Deadline);
        }
        if self.is_full() {
            let displaced = self.queue.displace(&call.team).ok_or(NotRun::QueueFull)?;
            self.refuse_queued(now, &displaced.item, NotRun::QueueFull, outputs);
        }
        Ok(())
    }

    fn enqueue(&mut self, caller: Caller, call: Call) {
        let team = call.team.clone();
        let waiting = Waiting {
            deadline: caller.deadline,
            item: Queued { call, caller },
        };
        self.queue.push(&team, waiting);
    }

    fn add_repeat(&mut self, nonce: u64, caller: Caller, is_started: bool, outputs: &mut Outputs) {
        // The first request is running or may still run, so the outcome can't be "not run".
        let is_lost = is_started && !self.admission.has_backend();
        if is_lost || self.is_full() {
            return self.reply(caller, Outcome::Unknown(Unknown::ConnectionBroken), outputs);
        }
        self.repeats.push(Repeat { nonce, caller });
    }

    fn start_waiting(&mut self, now: Millis, outputs: &mut Outputs) {
        if let Some(reason) = self.admission.waiting_refusal(now) {
            return self.refuse_waiting(now, reason, outputs);
        }
        while self.runs.len() < self.admission.slots as usize
            && let Some(waiting) = self.queue.pop()
        {
            self.start(now, waiting.item, outputs);
        }
    }

    fn start(&mut self, now: Millis, queued: Queued, outputs: &mut Outputs) {
        let Queued { mut call, caller } = queued;
        let Some(backend_incarnation) = self.admission.backend_incarnation() else {
            return self.refuse_queued(now, &Queued { call, caller }, NotRun::NoServer, outputs);
        };
        call.budget = caller.deadline.since(now);
        if let Some(ticket) = call.ticket {
            self.tickets.start(ticket.nonce);
        }
        self.runs.push(Run {
            token: caller.token,
            ticket: call.ticket,
            caller: Some(caller),
            backend_incarnation,
        });
        outputs.push(GateOutput::Run {
            token: caller.token,
            time_limit: call.budget + MAX_DEADLINE_OVERRUN,
            call,
        });
    }

    fn end_call(&mut self, now: Millis, token: u64, outcome: &Outcome, outputs: &mut Outputs) {
        if let Some(at) = self.runs.iter().position(|run| run.token == token) {
            let run = self.runs.swap_remove(at);
            self.end_run(now, &run, outcome, outputs);
        }
    }

    fn end_run(&mut self, now: Millis, run: &Run, outcome: &Outcome, outputs: &mut Outputs) {
        if let Some(ticket) = run.ticket {
            match outcome {
                Outcome::NotRun(_) => self.tickets.refuse(now, ticket.nonce),
                _ => self.tickets.finish(now, ticket.nonce, outcome),
            }
            self.reply_to_repeats(ticket.nonce, outcome, outputs);
        }
        if let Some(caller) = run.caller {
            self.reply(caller, outcome.clone(), outputs);
        }
    }

    fn reply_to_repeats(&mut self, nonce: u64, outcome: &Outcome, outputs: &mut Outputs) {
        let repeats = self.repeats.extract_if(.., |repeat| repeat.nonce == nonce);
        let callers: SmallVec<[Caller; 4]> = repeats.map(|repeat| repeat.caller).collect();
        for caller in callers {
            self.reply(caller, outcome.clone(), outputs);
        }
    }

    /// Ends the requests that were sent to earlier incarnations of the backend server.
    fn end_earlier_runs(&mut self, now: Millis, incarnation: Incarnation, outputs: &mut Outputs) {
        let broken = Outcome::Unknown(Unknown::ConnectionBroken);
        let earlier: Vec<Run> = self
            .runs
            .extract_if(.., |run| run.backend_incarnation != incarnation)
            .collect();
        for run in earlier {
            self.end_run(now, &run, &broken, outputs);
        }
    }

    /// Replies to all callers when the backend server is lost. Running requests keep their slots
    /// until they end or a new incarnation of the backend server is announced, because the backend
    /// server may still be running them although it does not respond.
    fn lose_backend(&mut self, now: Millis, outputs: &mut Outputs) {
        self.admission.lose_backend();
        let broken = Outcome::Unknown(Unknown::ConnectionBroken);
        for at in 0..self.runs.len() {
            let ticket = self.runs[at].ticket;
            if let Some(caller) = self.runs[at].caller.take() {
                self.reply(caller, broken.clone(), outputs);
            }
            if let Some(ticket) = ticket {
                self.reply_to_repeats(ticket.nonce, &broken, outputs);
            }
        }
        self.refuse_waiting(now, NotRun::NoServer, outputs);
    }

    /// Replies to the callers whose deadline has passed.
    fn expire_callers(&mut self, now: Millis, outputs: &mut Outputs) {
        for waiting in self.queue.remove_expired(now) {
            self.refuse_queued(now, &waiting.item, NotRun::Deadline, outputs);
        }
        let unknown = Outcome::Unknown(Unknown::Deadline);
        let late = |caller: &Caller| caller.deadline <= now;
        let runs = self.runs.iter_mut();
        let mut callers: SmallVec<[Caller; 4]> = runs
            .filter_map(|run| run.caller.take_if(|c| late(c)))
            .collect();
        let repeats = self.repeats.extract_if(.., |repeat| late(&repeat.caller));
        callers.extend(repeats.map(|repeat| repeat.caller));
        for caller in callers {
            self.reply(caller, unknown.clone(), outputs);
        }
    }

    fn refuse_waiting(&mut self, now: Millis, reason: NotRun, outputs: &mut Outputs) {
        for waiting in self.queue.drain() {
            self.refuse_queued(now, &waiting.item, reason, outputs);
        }
    }

    fn refuse_queued(
        &mut self,
        now: Millis,
        queued: &Queued,
        reason: NotRun,
        outputs: &mut Outputs,
    ) {
        if let Some(ticket) = queued.call.ticket {
            self.tickets.refuse(now, ticket.nonce);
            self.reply_to_repeats(ticket.nonce, &Outcome::NotRun(reason), outputs);
        }
        self.refuse(queued.caller, reason, outputs);
    }

    fn issue_tickets(&mut self, now: Millis, call: &TicketCall) -> Result<Vec<Ticket>, NotRun> {
        if call.service != self.options.service {
            return Err(NotRun::NoService);
        }
        self.admission.check_new()?;
        let count = call.count.clamp(1, MAX_TICKET_BATCH) as usize;
        let tickets = self.tickets.issue(now, &call.team, count);
        match tickets.is_empty() {
            true => Err(NotRun::QueueFull),
            false => Ok(tickets),
        }
    }

    fn refuse(&self, caller: Caller, reason: NotRun, outputs: &mut Outputs) {
        self.reply(caller, Outcome::NotRun(reason), outputs);
    }

    fn reply(&self, caller: Caller, outcome: Outcome, outputs: &mut Outputs) {
        let reply = Reply {
            id: caller.id,
            incarnation: self.options.incarnation,
            outcome,
            load: self.load(),
        };
        outputs.push(GateOutput::Reply {
            token: caller.token,
            reply,
        });
    }
}

fn to_u32(len: usize) -> u32 {
    u32::try_from(len).unwrap_or(u32::MAX)
}

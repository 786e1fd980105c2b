//! The path of a caller's request: choice of an agent, call, retries within the deadline.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use hyssop_core::{
    Call, CallId, CompleteResponse, Load, Millis, NotRun, Outcome, Reply, ServiceName, TeamName,
    Ticket, TicketCall, Unknown,
};
use hyssop_route::{CallReport, CallResult, CallerRequest, Pick};
use smallvec::SmallVec;
use tokio::time::{Instant, timeout_at};

use super::clocks::millis;
use super::shared::Shared;
use crate::links::{LinkError, LinkResult};

/// Part of the time left, as a divisor, that is kept back for the agent's answer, so that its own
/// answer at the deadline, which is more exact than a timeout here, still arrives in time.
const RETURN_PART: u32 = 10;
/// Most time that is kept back for the agent's answer.
const RETURN_MAX: Duration = Duration::from_millis(100);
/// Most tries of one request.
const MAX_TRIES: usize = 4;

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    /// Calling team.
    pub(crate) team: TeamName,
    /// Service.
    pub(crate) service: ServiceName,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query below the service.
    pub(crate) path: String,
    /// Headers passed on.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// Body.
    pub(crate) body: Bytes,
    /// Request key.
    pub(crate) ticket: Option<Ticket>,
    /// Whether the request may run more than once.
    pub(crate) idempotent: bool,
    /// Time at which the caller stops waiting.
    pub(crate) deadline: Instant,
}

impl CallRequest {
    fn ask(&self, tried: &Tried) -> CallerRequest {
        CallerRequest {
            team: self.team.clone(),
            service: self.service.clone(),
            ticket: self.ticket,
            tried_agents: tried.clone(),
        }
    }

    fn call(&self, id: CallId, budget: Duration, pick: &Pick) -> Call {
        Call {
            id,
            team: self.team.clone(),
            service: self.service.clone(),
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body: self.body.clone(),
            budget: millis(budget),
            ticket: self.ticket,
            is_idempotent: self.idempotent,
            refusal: pick.refusal,
        }
    }
}

type Tried = SmallVec<[hyssop_core::Incarnation; 4]>;

/// A pick that is ended when it is dropped, also when the caller goes away meanwhile.
struct Picked<'a> {
    shared: &'a Shared,
    pick: Pick,
    sent: Instant,
    end: CallResult,
    load: Option<Load>,
}

impl Drop for Picked<'_> {
    fn drop(&mut self) {
        let done = CallReport {
            result: self.end,
            latency: millis(self.sent.elapsed()),
            load: self.load,
        };
        self.shared.done(&self.pick, &done);
    }
}

/// One end of a try.
struct Try {
    outcome: Outcome,
    end: CallResult,
    load: Option<Load>,
    /// Whether the same agent may be asked again: its answer was lost, and it keeps it.
    again: bool,
}

impl Try {
    fn without_answer(outcome: Outcome, end: CallResult) -> Self {
        Self {
            outcome,
            end,
            load: None,
            again: false,
        }
    }
}

/// Carries out a request and returns its outcome.
pub(crate) async fn run(shared: &Arc<Shared>, request: &CallRequest) -> Outcome {
    if !request.idempotent && request.ticket.is_none() {
        return Outcome::NotRun(NotRun::TicketMissing);
    }
    let mut tried = Tried::new();
    let mut last: Option<Outcome> = None;
    for _ in 0..MAX_TRIES {
        if Instant::now() >= request.deadline {
            break;
        }
        let ask = request.ask(&tried);
        let pick = match shared.pick(&ask) {
            Ok(pick) => pick,
            Err(outcome) => return last.unwrap_or(outcome),
        };
        let incarnation = pick.incarnation;
        let ended = attempt(shared, request, pick).await;
        let repeat = may_repeat(request, &ended);
        let outcome = worse(request, last, ended.outcome);
        if !repeat {
            return outcome;
        }
        last = Some(outcome);
        if request.ticket.is_none() {
            tried.push(incarnation);
        }
    }
    last.unwrap_or(match request.ticket {
        // It may have run through another entry, and its agent was not asked.
        Some(_) => Outcome::Unknown(Unknown::Deadline),
        None => Outcome::NotRun(NotRun::Deadline),
    })
}

/// Returns the outcome of a request after one more try. What may have run in an earlier try stays
/// unknown, unless the later one has the response. With a ticket the agent's last answer covers
/// the earlier tries.
fn worse(request: &CallRequest, earlier: Option<Outcome>, later: Outcome) -> Outcome {
    match (earlier, later) {
        (Some(Outcome::Unknown(reason)), Outcome::NotRun(_)) if request.ticket.is_none() => {
            Outcome::Unknown(reason)
        }
        (_, later) => later,
    }
}

/// Tells whether a request may be tried once more.
fn may_repeat(request: &CallRequest, ended: &Try) -> bool {
    if request.ticket.is_some() {
        return ended.again;
    }
    match &ended.outcome {
        Outcome::Complete(_) => false,
        Outcome::Unknown(_) => request.idempotent,
        Outcome::NotRun(reason) => is_local(*reason),
    }
}

/// Tells whether another agent may have a better answer.
const fn is_local(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::NoServer | NotRun::QueueFull | NotRun::Leaving | NotRun::Isolated
    )
}

async fn attempt(shared: &Shared, request: &CallRequest, pick: Pick) -> Try {
    let mut picked = Picked {
        shared,
        sent: Instant::now(),
        // Kept if the caller goes away before there is an answer.
        end: CallResult::Unknown,
        load: None,
        pick,
    };
    let ended = exchange(shared, request, &picked.pick).await;
    picked.end = ended.end;
    picked.load = ended.load;
    ended
}

async fn exchange(shared: &Shared, request: &CallRequest, pick: &Pick) -> Try {
    let Some(link) = shared.agent(&pick.address) else {
        return unreached(request);
    };
    let left = request.deadline.saturating_duration_since(Instant::now());
    let budget = left - (left / RETURN_PART).min(RETURN_MAX);
    let call = request.call(shared.call_id(), budget, pick);
    match timeout_at(request.deadline, link.call(call)).await {
        Ok(Ok(reply)) => judge(request, pick, reply),
        Ok(Err(e)) => failed(request, e),
        Err(_) => Try::without_answer(Outcome::Unknown(Unknown::Deadline), CallResult::Unknown),
    }
}

/// Converts a call without an answer.
fn failed(request: &CallRequest, error: LinkError) -> Try {
    match error {
        LinkError::Busy => {
            Try::without_answer(not_sent(request, NotRun::QueueFull), CallResult::Refused)
        }
        error if error.is_not_run() => unreached(request),
        LinkError::ResponseDeadline => {
            Try::without_answer(Outcome::Unknown(Unknown::Deadline), CallResult::Unknown)
        }
        LinkError::InvalidResponse => {
            Try::without_answer(Outcome::Unknown(Unknown::Incomplete), CallResult::Unknown)
        }
        _ => Try {
            // With a ticket the agent runs the request once, however often it is asked.
            again: request.ticket.is_some(),
            ..Try::without_answer(
                Outcome::Unknown(Unknown::ConnectionBroken),
                CallResult::Unknown,
            )
        },
    }
}

fn unreached(request: &CallRequest) -> Try {
    Try::without_answer(not_sent(request, NotRun::NoServer), CallResult::Unreachable)
}

/// Returns the outcome of a try that sent nothing. The request of a ticket may have been sent
/// before, through this entry or another one.
fn not_sent(request: &CallRequest, reason: NotRun) -> Outcome {
    match request.ticket {
        Some(_) => Outcome::Unknown(Unknown::AgentUnreachable),
        None => Outcome::NotRun(reason),
    }
}

/// Checks that an answer comes from the chosen life of the agent and has the stated length. The
/// link has checked the identifier of the call and the hash of the body.
fn judge(request: &CallRequest, pick: &Pick, reply: Reply) -> Try {
    if reply.incarnation != pick.incarnation {
        // The agent was replaced; its successor knows nothing of what the earlier one ran.
        let reason = match request.ticket {
            Some(_) => Unknown::AgentUnreachable,
            None => Unknown::ConnectionBroken,
        };
        return Try::without_answer(Outcome::Unknown(reason), CallResult::Unknown);
    }
    let cut = matches!(&reply.outcome, Outcome::Complete(whole) if !has_length(request, whole));
    if cut {
        return Try::without_answer(Outcome::Unknown(Unknown::Incomplete), CallResult::Unknown);
    }
    let end = match &reply.outcome {
        Outcome::Complete(whole) if whole.status < 500 => CallResult::Success,
        Outcome::Complete(_) => CallResult::ServerError,
        Outcome::NotRun(_) => CallResult::Refused,
        Outcome::Unknown(_) => CallResult::Unknown,
    };
    Try {
        outcome: reply.outcome,
        end,
        load: Some(reply.load),
        again: false,
    }
}

/// Checks the length of a response where the backend server stated it.
fn has_length(request: &CallRequest, whole: &CompleteResponse) -> bool {
    let bodiless = request.method == "HEAD" || matches!(whole.status, 204 | 304);
    let stated = whole
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| std::str::from_utf8(value).ok()?.trim().parse().ok());
    bodiless || stated.is_none_or(|length: usize| length == whole.body.len())
}

/// Obtains tickets from an agent of a service.
pub(crate) async fn tickets(
    shared: &Shared,
    call: TicketCall,
    deadline: Instant,
) -> Result<Vec<Ticket>, NotRun> {
    let mut tried = Tried::new();
    let mut last = NotRun::NoServer;
    for _ in 0..MAX_TRIES {
        let ask = CallerRequest {
            team: call.team.clone(),
            service: call.service.clone(),
            ticket: None,
            tried_agents: tried.clone(),
        };
        let pick = match shared.pick(&ask) {
            Ok(pick) => pick,
            Err(Outcome::NotRun(reason)) if tried.is_empty() => return Err(reason),
            Err(_) => return Err(last),
        };
        tried.push(pick.incarnation);
        match ask_tickets(shared, &call, pick, deadline).await {
            Ok(tickets) => return Ok(tickets),
            Err(reason) => last = reason,
        }
        if Instant::now() >= deadline {
            return Err(NotRun::Deadline);
        }
    }
    Err(last)
}

async fn ask_tickets(
    shared: &Shared,
    call: &TicketCall,
    pick: Pick,
    deadline: Instant,
) -> Result<Vec<Ticket>, NotRun> {
    let mut picked = Picked {
        shared,
        sent: Instant::now(),
        end: CallResult::Unknown,
        load: None,
        pick,
    };
    let link = shared.agent(&picked.pick.address);
    let link = link.ok_or(NotRun::NoServer)?;
    let left = deadline.saturating_duration_since(Instant::now());
    let answer: LinkResult<_> = link.tickets(call.clone(), left).await;
    let (end, result) = match answer {
        Ok(Ok(tickets)) if issued(&tickets, call, &picked.pick) => {
            (CallResult::Success, Ok(tickets))
        }
        Ok(Ok(_)) => (CallResult::Unknown, Err(NotRun::NoServer)),
        Ok(Err(reason)) => (CallResult::Refused, Err(reason)),
        Err(LinkError::Busy) => (CallResult::Refused, Err(NotRun::QueueFull)),
        Err(e) if e.is_not_run() => (CallResult::Unreachable, Err(NotRun::NoServer)),
        Err(_) => (CallResult::Unknown, Err(NotRun::NoServer)),
    };
    picked.end = end;
    result
}

/// Checks that tickets were issued by the agent that was asked, and not by its successor at the
/// same address, which this entry does not know yet.
fn issued(tickets: &[Ticket], call: &TicketCall, pick: &Pick) -> bool {
    let own = |ticket: &Ticket| ticket.incarnation == pick.incarnation;
    !tickets.is_empty() && tickets.len() <= call.count as usize && tickets.iter().all(own)
}

/// Returns the deadline of a request.
pub(crate) fn deadline(budget: Millis) -> Instant {
    Instant::now() + Duration::from_millis(budget.0)
}

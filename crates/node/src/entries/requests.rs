//! Routes a caller's request: picks an agent, calls it, and retries within the deadline.

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

/// The agent's deadline is earlier than the caller's by one part in `REPLY_MARGIN_DIVISOR` of the
/// remaining time, so that the agent's reply at its deadline still arrives. That reply states the
/// outcome more exactly than a timeout in the entry.
const REPLY_MARGIN_DIVISOR: u32 = 10;
/// Upper bound of that margin.
const MAX_REPLY_MARGIN: Duration = Duration::from_millis(100);
/// Most agent calls for one request.
const MAX_ATTEMPTS: usize = 4;

/// A caller's request, checked and ready to be routed.
#[derive(Clone, Debug)]
pub(crate) struct CallRequest {
    /// Team on whose behalf the request is made.
    pub(crate) team: TeamName,
    /// Service that is called.
    pub(crate) service: ServiceName,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query below the service, as sent by the caller.
    pub(crate) path: String,
    /// Headers to forward to the backend server.
    pub(crate) headers: Vec<(String, Bytes)>,
    /// Complete body.
    pub(crate) body: Bytes,
    /// Ticket from the idempotency key; with it the agent runs the request at most once.
    pub(crate) ticket: Option<Ticket>,
    /// Whether the request may run more than once without a ticket.
    pub(crate) is_idempotent: bool,
    /// Time after which the caller gets an outcome without a response.
    pub(crate) deadline: Instant,
}

impl CallRequest {
    fn routing_request(&self, tried_agents: &TriedAgents) -> CallerRequest {
        CallerRequest {
            team: self.team.clone(),
            service: self.service.clone(),
            ticket: self.ticket,
            tried_agents: tried_agents.clone(),
        }
    }

    fn agent_call(&self, id: CallId, budget: Duration, pick: &Pick) -> Call {
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
            is_idempotent: self.is_idempotent,
            refusal: pick.refusal,
        }
    }
}

type TriedAgents = SmallVec<[hyssop_core::Incarnation; 4]>;

/// A picked agent. Reports the end of the call to the router when dropped, also when the caller
/// disconnects first.
struct PickGuard<'a> {
    shared: &'a Shared,
    pick: Pick,
    sent_at: Instant,
    result: CallResult,
    load: Option<Load>,
}

impl Drop for PickGuard<'_> {
    fn drop(&mut self) {
        let report = CallReport {
            result: self.result,
            latency: millis(self.sent_at.elapsed()),
            load: self.load,
        };
        self.shared.report_call(&self.pick, &report);
    }
}

/// End of one attempt.
struct AttemptEnd {
    outcome: Outcome,
    result: CallResult,
    load: Option<Load>,
    /// Whether the call may be repeated to the same agent: its reply was lost, but it keeps the reply
    /// by ticket.
    can_repeat: bool,
}

impl AttemptEnd {
    fn without_response(outcome: Outcome, result: CallResult) -> Self {
        Self {
            outcome,
            result,
            load: None,
            can_repeat: false,
        }
    }
}

/// Routes a request and returns its outcome. Calls up to `MAX_ATTEMPTS` agents before the deadline.
pub(crate) async fn run(shared: &Arc<Shared>, request: &CallRequest) -> Outcome {
    if !request.is_idempotent && request.ticket.is_none() {
        return Outcome::NotRun(NotRun::TicketMissing);
    }
    let mut tried_agents = TriedAgents::new();
    let mut last: Option<Outcome> = None;
    for _ in 0..MAX_ATTEMPTS {
        if Instant::now() >= request.deadline {
            break;
        }
        let routing_request = request.routing_request(&tried_agents);
        let pick = match shared.pick(&routing_request) {
            Ok(pick) => pick,
            Err(outcome) => return last.unwrap_or(outcome),
        };
        let incarnation = pick.incarnation;
        let attempt_end = attempt(shared, request, pick).await;
        let can_repeat = may_repeat(request, &attempt_end);
        let outcome = merge_outcomes(request, last, attempt_end.outcome);
        if !can_repeat {
            return outcome;
        }
        last = Some(outcome);
        if request.ticket.is_none() {
            tried_agents.push(incarnation);
        }
    }
    last.unwrap_or(match request.ticket {
        // It may have run through another entry, and its agent was not called.
        Some(_) => Outcome::Unknown(Unknown::Deadline),
        None => Outcome::NotRun(NotRun::Deadline),
    })
}

/// Merges the outcomes of the earlier attempts and of one more. A request that may have run in an
/// earlier attempt stays unknown unless a later attempt returns the response. With a ticket the
/// agent's last reply covers the earlier attempts.
fn merge_outcomes(request: &CallRequest, earlier: Option<Outcome>, later: Outcome) -> Outcome {
    match (earlier, later) {
        (Some(Outcome::Unknown(reason)), Outcome::NotRun(_)) if request.ticket.is_none() => {
            Outcome::Unknown(reason)
        }
        (_, later) => later,
    }
}

/// Returns whether another attempt may be made.
fn may_repeat(request: &CallRequest, end: &AttemptEnd) -> bool {
    if request.ticket.is_some() {
        return end.can_repeat;
    }
    match &end.outcome {
        Outcome::Complete(_) => false,
        Outcome::Unknown(_) => request.is_idempotent,
        Outcome::NotRun(reason) => is_agent_specific(*reason),
    }
}

/// Returns whether a refusal concerns one agent only, so that another may accept the request.
const fn is_agent_specific(reason: NotRun) -> bool {
    matches!(
        reason,
        NotRun::NoServer | NotRun::QueueFull | NotRun::Leaving | NotRun::Isolated
    )
}

async fn attempt(shared: &Shared, request: &CallRequest, pick: Pick) -> AttemptEnd {
    let mut guard = PickGuard {
        shared,
        sent_at: Instant::now(),
        // Remains if the caller disconnects before there is a reply.
        result: CallResult::Unknown,
        load: None,
        pick,
    };
    let end = call_agent(shared, request, &guard.pick).await;
    guard.result = end.result;
    guard.load = end.load;
    end
}

async fn call_agent(shared: &Shared, request: &CallRequest, pick: &Pick) -> AttemptEnd {
    let Some(link) = shared.agent(&pick.address) else {
        return agent_unreachable(request);
    };
    let left = request.deadline.saturating_duration_since(Instant::now());
    let budget = left - (left / REPLY_MARGIN_DIVISOR).min(MAX_REPLY_MARGIN);
    let call = request.agent_call(shared.new_call_id(), budget, pick);
    match timeout_at(request.deadline, link.call(call)).await {
        Ok(Ok(reply)) => check_reply(request, pick, reply),
        Ok(Err(e)) => link_error_end(request, e),
        Err(_) => {
            AttemptEnd::without_response(Outcome::Unknown(Unknown::Deadline), CallResult::Unknown)
        }
    }
}

/// Returns the end of an attempt whose call failed without a reply.
fn link_error_end(request: &CallRequest, error: LinkError) -> AttemptEnd {
    match error {
        LinkError::Busy => AttemptEnd::without_response(
            unsent_outcome(request, NotRun::QueueFull),
            CallResult::Refused,
        ),
        error if error.is_not_run() => agent_unreachable(request),
        LinkError::ResponseDeadline => {
            AttemptEnd::without_response(Outcome::Unknown(Unknown::Deadline), CallResult::Unknown)
        }
        LinkError::InvalidResponse => {
            AttemptEnd::without_response(Outcome::Unknown(Unknown::Incomplete), CallResult::Unknown)
        }
        _ => AttemptEnd {
            // With a ticket the agent runs the request once, however often it is called.
            can_repeat: request.ticket.is_some(),
            ..AttemptEnd::without_response(
                Outcome::Unknown(Unknown::ConnectionBroken),
                CallResult::Unknown,
            )
        },
    }
}

fn agent_unreachable(request: &CallRequest) -> AttemptEnd {
    AttemptEnd::without_response(
        unsent_outcome(request, NotRun::NoServer),
        CallResult::Unreachable,
    )
}

/// Returns the outcome of an attempt that sent nothing. A request with a ticket may have been sent
/// before, through this entry or another one.
fn unsent_outcome(request: &CallRequest, reason: NotRun) -> Outcome {
    match request.ticket {
        Some(_) => Outcome::Unknown(Unknown::AgentUnreachable),
        None => Outcome::NotRun(reason),
    }
}

/// Checks that a reply comes from the picked incarnation of the agent and that the response has the
/// stated length. The link has checked the identifier of the call and the hash of the body.
fn check_reply(request: &CallRequest, pick: &Pick, reply: Reply) -> AttemptEnd {
    if reply.incarnation != pick.incarnation {
        // The agent was replaced, and its successor does not know what the earlier one ran.
        let reason = match request.ticket {
            Some(_) => Unknown::AgentUnreachable,
            None => Unknown::ConnectionBroken,
        };
        return AttemptEnd::without_response(Outcome::Unknown(reason), CallResult::Unknown);
    }
    let is_truncated = matches!(&reply.outcome, Outcome::Complete(response) if !has_stated_length(request, response));
    if is_truncated {
        return AttemptEnd::without_response(
            Outcome::Unknown(Unknown::Incomplete),
            CallResult::Unknown,
        );
    }
    let result = match &reply.outcome {
        Outcome::Complete(response) if response.status < 500 => CallResult::Success,
        Outcome::Complete(_) => CallResult::ServerError,
        Outcome::NotRun(_) => CallResult::Refused,
        Outcome::Unknown(_) => CallResult::Unknown,
    };
    AttemptEnd {
        outcome: reply.outcome,
        result,
        load: Some(reply.load),
        can_repeat: false,
    }
}

/// Returns whether the body has the length in the `Content-Length` header, if there is one.
fn has_stated_length(request: &CallRequest, response: &CompleteResponse) -> bool {
    let has_no_body = request.method == "HEAD" || matches!(response.status, 204 | 304);
    let content_length = response
        .headers
        .iter()
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .and_then(|(_, value)| std::str::from_utf8(value).ok()?.trim().parse().ok());
    has_no_body || content_length.is_none_or(|length: usize| length == response.body.len())
}

/// Obtains tickets from an agent of a service. Calls up to `MAX_ATTEMPTS` agents.
pub(crate) async fn tickets(
    shared: &Shared,
    call: TicketCall,
    deadline: Instant,
) -> Result<Vec<Ticket>, NotRun> {
    let mut tried_agents = TriedAgents::new();
    let mut last = NotRun::NoServer;
    for _ in 0..MAX_ATTEMPTS {
        let request = CallerRequest {
            team: call.team.clone(),
            service: call.service.clone(),
            ticket: None,
            tried_agents: tried_agents.clone(),
        };
        let pick = match shared.pick(&request) {
            Ok(pick) => pick,
            Err(Outcome::NotRun(reason)) if tried_agents.is_empty() => return Err(reason),
            Err(_) => return Err(last),
        };
        tried_agents.push(pick.incarnation);
        match request_tickets(shared, &call, pick, deadline).await {
            Ok(tickets) => return Ok(tickets),
            Err(reason) => last = reason,
        }
        if Instant::now() >= deadline {
            return Err(NotRun::Deadline);
        }
    }
    Err(last)
}

async fn request_tickets(
    shared: &Shared,
    call: &TicketCall,
    pick: Pick,
    deadline: Instant,
) -> Result<Vec<Ticket>, NotRun> {
    let mut guard = PickGuard {
        shared,
        sent_at: Instant::now(),
        result: CallResult::Unknown,
        load: None,
        pick,
    };
    let link = shared.agent(&guard.pick.address);
    let link = link.ok_or(NotRun::NoServer)?;
    let left = deadline.saturating_duration_since(Instant::now());
    let reply: LinkResult<_> = link.tickets(call.clone(), left).await;
    let (call_result, tickets) = match reply {
        Ok(Ok(tickets)) if are_issued_by(&tickets, call, &guard.pick) => {
            (CallResult::Success, Ok(tickets))
        }
        Ok(Ok(_)) => (CallResult::Unknown, Err(NotRun::NoServer)),
        Ok(Err(reason)) => (CallResult::Refused, Err(reason)),
        Err(LinkError::Busy) => (CallResult::Refused, Err(NotRun::QueueFull)),
        Err(e) if e.is_not_run() => (CallResult::Unreachable, Err(NotRun::NoServer)),
        Err(_) => (CallResult::Unknown, Err(NotRun::NoServer)),
    };
    guard.result = call_result;
    tickets
}

/// Returns whether tickets were issued by the picked incarnation of the agent, and not by its
/// successor at the same address, which this entry does not know yet.
fn are_issued_by(tickets: &[Ticket], call: &TicketCall, pick: &Pick) -> bool {
    let own = |ticket: &Ticket| ticket.incarnation == pick.incarnation;
    !tickets.is_empty() && tickets.len() <= call.count as usize && tickets.iter().all(own)
}

/// Returns the time at which a request with this time budget ends.
pub(crate) fn deadline_after(budget: Millis) -> Instant {
    Instant::now() + Duration::from_millis(budget.0)
}

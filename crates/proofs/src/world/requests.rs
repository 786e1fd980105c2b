//! Request path of a simulated entry: choice of an agent, retries and outcomes.

use hyssop_core::{
    Call, CallId, Incarnation, Millis, NotRun, Outcome, TeamName, TicketCall, Unknown,
};
use hyssop_route::{CallReport, CallResult as CallEnd, CallerRequest, Pick};
use smallvec::SmallVec;

use super::agents::request_body;
use super::entries::{Entry, ExchangeError, ExchangeResult, PendingKind};
use super::fleets::Fleet;
use super::nodes::{Body, EntryRequest, Message, Node};

/// Deadline of a request, in milliseconds.
pub(crate) const REQUEST_TIMEOUT_MS: u64 = 2_000;
/// Largest number of tries of an idempotent request.
const MAX_TRIES: usize = 3;

/// Team of jobs and documents of the default fleet.
pub(crate) fn team() -> TeamName {
    Fleet::HAUGLAND.team()
}

/// A request that waits for the reply of an agent.
#[derive(Debug)]
pub(crate) struct Forward {
    request: EntryRequest,
    origin: Message,
    pick: Pick,
    deadline: Millis,
    tried_agents: SmallVec<[Incarnation; 4]>,
    /// Whether an earlier try may have run.
    is_unconfirmed: bool,
    call: CallId,
}

impl Entry {
    pub(crate) fn handle_request(&mut self, now: Millis, request: &EntryRequest, origin: Message) {
        let deadline = now + Millis(REQUEST_TIMEOUT_MS);
        self.try_request(
            now,
            request.clone(),
            origin,
            deadline,
            SmallVec::new(),
            None,
        );
    }

    fn try_request(
        &mut self,
        now: Millis,
        request: EntryRequest,
        origin: Message,
        deadline: Millis,
        tried_agents: SmallVec<[Incarnation; 4]>,
        earlier: Option<Outcome>,
    ) {
        let caller_request = CallerRequest {
            team: self.settings.team.clone(),
            service: self.settings.service.clone(),
            ticket: request.ticket,
            tried_agents: tried_agents.clone(),
        };
        let pick = match self.router.pick(now, &caller_request) {
            Ok(pick) => pick,
            Err(outcome) => {
                let outcome = earlier.unwrap_or(outcome);
                return self.outbox.push(origin.reply(Body::Response(outcome)));
            }
        };
        let Some(agent) = agent_number(&pick) else {
            return;
        };
        let call = Call {
            id: CallId(origin.rpc << 8 | tried_agents.len() as u64),
            team: self.settings.team.clone(),
            service: self.settings.service.clone(),
            method: if request.is_idempotent { "GET" } else { "POST" }.to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: request_body(request.number),
            budget: deadline.since(now),
            ticket: request.ticket,
            is_idempotent: request.is_idempotent,
            refusal: pick.refusal,
        };
        let timeout_ms = deadline.since(now).0 + 50;
        let is_unconfirmed = matches!(earlier, Some(Outcome::Unknown(_)));
        let forward = Forward {
            request,
            origin,
            pick,
            deadline,
            tried_agents,
            is_unconfirmed,
            call: call.id,
        };
        let kind = PendingKind::Forward(Box::new(forward));
        self.send_request(now, Node::Agent(agent), Body::Call(call), timeout_ms, kind);
    }

    pub(crate) fn handle_call_reply(
        &mut self,
        now: Millis,
        sent: Millis,
        forward: Forward,
        exchange: ExchangeResult,
    ) {
        let (outcome, load, mut call_result) = classify_call_result(&forward, exchange);
        if matches!(outcome, Outcome::NotRun(_)) && call_result == CallEnd::Success {
            call_result = CallEnd::Refused;
        }
        let report = CallReport {
            result: call_result,
            latency: now.since(sent),
            load,
        };
        self.router.report_call(now, &forward.pick, &report);
        let Forward {
            request,
            origin,
            pick,
            deadline,
            mut tried_agents,
            is_unconfirmed,
            ..
        } = forward;
        let outcome = match outcome {
            Outcome::NotRun(_) if is_unconfirmed => Outcome::Unknown(Unknown::ConnectionBroken),
            outcome => outcome,
        };
        tried_agents.push(pick.incarnation);
        let retry = request.is_idempotent && tried_agents.len() < MAX_TRIES && now < deadline;
        if matches!(outcome, Outcome::Complete(_)) || !retry {
            return self.outbox.push(origin.reply(Body::Response(outcome)));
        }
        self.try_request(now, request, origin, deadline, tried_agents, Some(outcome));
    }

    pub(crate) fn request_ticket(&mut self, now: Millis, origin: Message) {
        let caller_request = CallerRequest {
            team: self.settings.team.clone(),
            service: self.settings.service.clone(),
            ticket: None,
            tried_agents: SmallVec::new(),
        };
        let pick = self.router.pick(now, &caller_request);
        let agent = pick.as_ref().ok().and_then(agent_number);
        let (Ok(pick), Some(agent)) = (pick, agent) else {
            return self.outbox.push(origin.reply(Body::TicketResponse(None)));
        };
        let report = CallReport {
            result: CallEnd::Refused,
            latency: Millis(1),
            load: None,
        };
        self.router.report_call(now, &pick, &report);
        let call = TicketCall {
            team: self.settings.team.clone(),
            service: self.settings.service.clone(),
            count: 1,
        };
        let kind = PendingKind::RequestTicket(Box::new(origin));
        self.send_request(now, Node::Agent(agent), Body::IssueTickets(call), 500, kind);
    }
}

/// Returns the outcome of a call, the agent's load and the result that is reported to the router.
fn classify_call_result(
    forward: &Forward,
    exchange: ExchangeResult,
) -> (Outcome, Option<hyssop_core::Load>, CallEnd) {
    let unknown = |reason| (Outcome::Unknown(reason), None, CallEnd::Unknown);
    match exchange {
        Ok(Body::CallReply(reply)) => {
            let intact = match &reply.outcome {
                Outcome::Complete(response) => response.is_intact(),
                _ => true,
            };
            if reply.id != forward.call || !intact {
                return unknown(Unknown::Incomplete);
            }
            (reply.outcome, Some(reply.load), CallEnd::Success)
        }
        Err(ExchangeError::Refused) => {
            // Nothing was sent, but an earlier use of the ticket may have run at that agent.
            let outcome = match forward.request.ticket {
                Some(_) => Outcome::Unknown(Unknown::AgentUnreachable),
                None => Outcome::NotRun(NotRun::NoServer),
            };
            (outcome, None, CallEnd::Unreachable)
        }
        _ => unknown(Unknown::Deadline),
    }
}

fn agent_number(pick: &Pick) -> Option<usize> {
    pick.agent.as_str().strip_prefix("agent-")?.parse().ok()
}

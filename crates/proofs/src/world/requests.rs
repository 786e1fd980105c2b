//! Request path of an entry: choice of an agent, retries and outcomes.

use hyssop_core::{
    Call, CallId, Incarnation, Millis, NotRun, Outcome, TeamName, TicketCall, Unknown,
};
use hyssop_route::{CallReport, CallResult as CallEnd, CallerRequest, Pick};
use smallvec::SmallVec;

use super::agents::body_of;
use super::entries::{End, Entry, Failed, Kind};
use super::fleets::Fleet;
use super::nodes::{Asked, Body, Message, Node};

/// Deadline of a request, in milliseconds.
pub(crate) const DEADLINE: u64 = 2_000;
/// Tries of an idempotent request.
const TRIES: usize = 3;

/// Team of the jobs, unless their fleet is another.
pub(crate) fn team() -> TeamName {
    Fleet::HAUGLAND.team()
}

/// A request that waits for an agent.
#[derive(Debug)]
pub(crate) struct Forward {
    asked: Asked,
    origin: Message,
    pick: Pick,
    deadline: Millis,
    tried: SmallVec<[Incarnation; 4]>,
    /// Whether an earlier try may have run.
    doubtful: bool,
    call: CallId,
}

impl Entry {
    pub(crate) fn request(&mut self, now: Millis, asked: &Asked, origin: Message) {
        let deadline = now + Millis(DEADLINE);
        self.try_request(now, asked.clone(), origin, deadline, SmallVec::new(), None);
    }

    fn try_request(
        &mut self,
        now: Millis,
        asked: Asked,
        origin: Message,
        deadline: Millis,
        tried: SmallVec<[Incarnation; 4]>,
        earlier: Option<Outcome>,
    ) {
        let ask = CallerRequest {
            team: self.settings.team.clone(),
            service: self.settings.service.clone(),
            ticket: asked.ticket,
            tried_agents: tried.clone(),
        };
        let pick = match self.router.pick(now, &ask) {
            Ok(pick) => pick,
            Err(outcome) => {
                let outcome = earlier.unwrap_or(outcome);
                return self.out.push(origin.answer(Body::Answer(outcome)));
            }
        };
        let Some(agent) = agent_number(&pick) else {
            return;
        };
        let call = Call {
            id: CallId(origin.rpc << 8 | tried.len() as u64),
            team: self.settings.team.clone(),
            service: self.settings.service.clone(),
            method: if asked.idempotent { "GET" } else { "POST" }.to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: body_of(asked.request),
            budget: deadline.since(now),
            ticket: asked.ticket,
            is_idempotent: asked.idempotent,
            refusal: pick.refusal,
        };
        let limit = deadline.since(now).0 + 50;
        let doubtful = matches!(earlier, Some(Outcome::Unknown(_)));
        let forward = Forward {
            asked,
            origin,
            pick,
            deadline,
            tried,
            doubtful,
            call: call.id,
        };
        let kind = Kind::Forward(Box::new(forward));
        self.ask(now, Node::Agent(agent), Body::Call(call), limit, kind);
    }

    pub(crate) fn called(&mut self, now: Millis, sent: Millis, forward: Forward, end: End) {
        let (outcome, load, mut how) = judge(&forward, end);
        if matches!(outcome, Outcome::NotRun(_)) && how == CallEnd::Success {
            how = CallEnd::Refused;
        }
        let done = CallReport {
            result: how,
            latency: now.since(sent),
            load,
        };
        self.router.report_call(now, &forward.pick, &done);
        let Forward {
            asked,
            origin,
            pick,
            deadline,
            mut tried,
            doubtful,
            ..
        } = forward;
        let outcome = match outcome {
            Outcome::NotRun(_) if doubtful => Outcome::Unknown(Unknown::ConnectionBroken),
            outcome => outcome,
        };
        tried.push(pick.incarnation);
        let again = asked.idempotent && tried.len() < TRIES && now < deadline;
        if matches!(outcome, Outcome::Complete(_)) || !again {
            return self.out.push(origin.answer(Body::Answer(outcome)));
        }
        self.try_request(now, asked, origin, deadline, tried, Some(outcome));
    }

    pub(crate) fn ask_ticket(&mut self, now: Millis, origin: Message) {
        let ask = CallerRequest {
            team: self.settings.team.clone(),
            service: self.settings.service.clone(),
            ticket: None,
            tried_agents: SmallVec::new(),
        };
        let pick = self.router.pick(now, &ask);
        let agent = pick.as_ref().ok().and_then(agent_number);
        let (Ok(pick), Some(agent)) = (pick, agent) else {
            return self.out.push(origin.answer(Body::GiveTicket(None)));
        };
        let done = CallReport {
            result: CallEnd::Refused,
            latency: Millis(1),
            load: None,
        };
        self.router.report_call(now, &pick, &done);
        let call = TicketCall {
            team: self.settings.team.clone(),
            service: self.settings.service.clone(),
            count: 1,
        };
        let kind = Kind::Tickets(Box::new(origin));
        self.ask(now, Node::Agent(agent), Body::Tickets(call), 500, kind);
    }
}

/// Returns the outcome of a call, and what it says of the agent.
fn judge(forward: &Forward, end: End) -> (Outcome, Option<hyssop_core::Load>, CallEnd) {
    let unknown = |why| (Outcome::Unknown(why), None, CallEnd::Unknown);
    match end {
        Ok(Body::Called(reply)) => {
            let intact = match &reply.outcome {
                Outcome::Complete(whole) => whole.is_intact(),
                _ => true,
            };
            if reply.id != forward.call || !intact {
                return unknown(Unknown::Incomplete);
            }
            (reply.outcome, Some(reply.load), CallEnd::Success)
        }
        Err(Failed::Refused) => {
            // Nothing was sent, but an earlier use of the ticket may have run at that agent.
            let outcome = match forward.asked.ticket {
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

//! Inputs and outputs of the routing and gate cores.

use std::sync::Arc;

use hyssop_core::{
    AgentName, Call, ConfView, DomainName, DomainState, Incarnation, Load, Millis, NotRun, Outcome,
    Reply, ServiceName, TeamName, Ticket, TicketCall, Version,
};
use smallvec::SmallVec;

/// Settings of the routing core of an entry.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// Failure domain of the entry.
    pub domain: DomainName,
    /// Seed of all random choices.
    pub seed: u64,
}

/// Question for a backend server.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Calling team.
    pub team: TeamName,
    /// Service.
    pub service: ServiceName,
    /// Ticket, which fixes the agent.
    pub ticket: Option<Ticket>,
    /// Agents already tried for this request. A question that has any is a retry and is charged
    /// to the retry budget.
    pub tried_agents: SmallVec<[Incarnation; 4]>,
}

/// Chosen agent. Every pick must be ended by one call of `Router::report_call`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Agent.
    pub agent: AgentName,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Address, `ip:port`.
    pub address: String,
    /// Service.
    pub service: ServiceName,
    /// Calling team.
    pub team: TeamName,
    /// Why the entry refuses the request; to be passed on with the call. Only requests with a
    /// ticket are sent in spite of a refusal, because the ticket may have run through another
    /// entry.
    pub refusal: Option<NotRun>,
}

/// How a picked call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallReport {
    /// End of the call.
    pub result: CallResult,
    /// Time from sending to the end.
    pub latency: Millis,
    /// Load carried on the answer.
    pub load: Option<Load>,
}

/// Ends of a call as routing sees them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// A whole answer below status 500.
    Success,
    /// A whole answer of status 500 or above.
    ServerError,
    /// The agent refused the request for load, a limit or leaving.
    Refused,
    /// No clear answer in time.
    Unknown,
    /// The agent could not be reached, so nothing was sent.
    Unreachable,
}

/// Settings of the gate core of an agent.
#[derive(Clone, Debug)]
pub struct GateOptions {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Life of the agent.
    pub incarnation: Incarnation,
    /// Seed of the tickets; must be unpredictable in production.
    pub seed: u64,
    /// Most bytes of kept answers.
    pub max_response_bytes: usize,
    /// Most tickets in the table.
    pub max_tickets: usize,
}

/// Something that the driver tells the gate.
#[derive(Clone, Debug)]
pub enum GateInput {
    /// A request came.
    Call {
        /// Number under which the driver waits for the reply.
        token: u64,
        /// Request.
        call: Call,
    },
    /// The backend server ended a request, or the driver lost it.
    CallEnded {
        /// Number of the request that was run.
        token: u64,
        /// Outcome.
        outcome: Outcome,
    },
    /// Tickets are asked for.
    Tickets {
        /// Number under which the driver waits for the reply.
        token: u64,
        /// Question.
        call: TicketCall,
    },
    /// The backend server announced itself.
    BackendAnnounced {
        /// Life of the backend server.
        incarnation: Incarnation,
        /// Requests that it runs at once.
        slots: u32,
        /// Connections that it takes.
        connections: u32,
    },
    /// The backend server has stopped answering.
    BackendLost,
    /// The backend server or this process leaves; no new work is taken.
    Leave,
    /// Work may be taken again, unless the domain is out.
    Rejoin,
    /// State of the agent's own failure domain; ignored unless its version is newer than the one
    /// known.
    DomainChanged {
        /// Version of the state.
        version: Version,
        /// State.
        state: DomainState,
    },
    /// Configuration in force, when it changed.
    Conf(Arc<ConfView>),
    /// Whether an entry said within the limit that it serves.
    EntryServing(bool),
    /// Time passes.
    Tick,
}

/// Something that the driver has to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateOutput {
    /// Sends a request to the backend server, with a time limit. It must be ended by one
    /// [`GateInput::CallEnded`].
    Run {
        /// Number of the request.
        token: u64,
        /// Request; its budget is the time left until the caller's deadline.
        call: Call,
        /// Time limit of the exchange. It is longer than the caller's budget, because the slot
        /// stays taken while the backend server works and a late answer is kept for a repeat.
        budget: Millis,
    },
    /// Answers a request.
    Reply {
        /// Number of the request.
        token: u64,
        /// Answer.
        reply: Reply,
    },
    /// Answers a question for tickets.
    Tickets {
        /// Number of the question.
        token: u64,
        /// Answer.
        reply: Result<Vec<Ticket>, NotRun>,
    },
}

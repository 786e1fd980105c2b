//! Inputs, outputs and settings of the router, which chooses an agent for each request, and of the
//! gate, the admission control of an agent.

use std::sync::Arc;

use hyssop_core::{
    AgentName, Call, ConfView, DomainName, DomainState, Incarnation, Load, Millis, NotRun, Outcome,
    Reply, ServiceName, TeamName, Ticket, TicketCall, Version,
};
use smallvec::SmallVec;

/// Settings of an entry's router.
#[derive(Clone, Debug)]
pub struct RouterOptions {
    /// Failure domain of the entry; agents of the same domain are preferred.
    pub domain: DomainName,
    /// Seed of all random choices; the same seed and inputs give the same picks.
    pub seed: u64,
}

/// What the router needs to know about a request to choose an agent for it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// Team of the caller.
    pub team: TeamName,
    /// Service to call.
    pub service: ServiceName,
    /// Ticket of the request, if it has one. The request then goes to the agent that issued it.
    pub ticket: Option<Ticket>,
    /// Incarnations of the agents already tried for this request. If there are any, the request is
    /// a retry and is charged to the retry budget of the service.
    pub tried_agents: SmallVec<[Incarnation; 4]>,
}

/// An agent chosen for a request. Each pick must be followed by exactly one call of
/// `Router::report_call`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Pick {
    /// Name of the chosen agent.
    pub agent: AgentName,
    /// Incarnation of the agent for which the request is meant.
    pub incarnation: Incarnation,
    /// Address of the agent, `ip:port`.
    pub address: String,
    /// Service of the request.
    pub service: ServiceName,
    /// Team of the caller.
    pub team: TeamName,
    /// Reason for which the entry refuses the request, to be sent to the agent with the call.
    /// Set only for requests with a ticket: these are sent nevertheless, because the request
    /// may already have run through another entry; the agent then returns the stored response.
    pub refusal: Option<NotRun>,
    /// Whether the call probes an ejected agent, so that its result decides on the ejection.
    pub is_probe: bool,
}

/// Report on a picked call that has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallReport {
    /// Result of the call.
    pub result: CallResult,
    /// Time from sending the call to its end.
    pub latency: Millis,
    /// Load of the agent as stated in its reply; `None` without a reply.
    pub load: Option<Load>,
}

/// Result of a call, as far as routing distinguishes it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum CallResult {
    /// A complete response with a status below 500.
    Success,
    /// A complete response with a status of 500 or above.
    ServerError,
    /// The agent refused the request because of load, a limit, or because it is leaving.
    Refused,
    /// No conclusive reply before the deadline.
    Unknown,
    /// The agent could not be reached, so nothing was sent.
    Unreachable,
}

/// Settings of an agent's gate.
#[derive(Clone, Debug)]
pub struct GateOptions {
    /// Service of the backend server.
    pub service: ServiceName,
    /// Failure domain of the agent.
    pub domain: DomainName,
    /// Incarnation of the agent, which becomes part of the tickets that it issues.
    pub incarnation: Incarnation,
    /// Seed of the ticket nonces; must be unpredictable in production.
    pub seed: u64,
    /// Most bytes of responses stored for repeated tickets.
    pub max_response_bytes: usize,
    /// Most records in the ticket table.
    pub max_tickets: usize,
}

/// An event that the driver, the code around the gate that does the I/O, passes to it.
#[derive(Clone, Debug)]
pub enum GateInput {
    /// A request arrived.
    Call {
        /// Identifies the request in the outputs.
        token: u64,
        /// The request.
        call: Call,
    },
    /// A request sent to the backend server has ended, or its outcome is unknown.
    CallEnded {
        /// Token of the [`GateOutput::Run`].
        token: u64,
        /// Outcome of the request.
        outcome: Outcome,
    },
    /// Tickets were requested.
    Tickets {
        /// Identifies the request in the outputs.
        token: u64,
        /// The request for tickets.
        call: TicketCall,
    },
    /// The backend server announced itself.
    BackendAnnounced {
        /// Incarnation of the backend server.
        incarnation: Incarnation,
        /// Requests that it can run at the same time.
        slots: u32,
        /// Maximum number of open requests: running and queued ones, and repeats that wait for the
        /// response to an earlier request. Announcements and documents call it `connections` too.
        connections: u32,
    },
    /// The backend server is lost: it has not announced itself within the timeout.
    BackendLost,
    /// The backend server or the agent is leaving; no new work is accepted.
    Leave,
    /// Neither the backend server nor the agent is leaving any more; work is accepted again
    /// unless the failure domain is out of service.
    Rejoin,
    /// State of the agent's own failure domain; ignored unless its version is newer than the
    /// current one.
    DomainChanged {
        /// Version of the state.
        version: Version,
        /// New state.
        state: DomainState,
    },
    /// The configuration in force, reported when it has changed.
    Conf(Arc<ConfView>),
    /// Whether any entry has recently confirmed that it serves requests. Without one, the gate
    /// refuses new requests.
    EntryServing(bool),
    /// Time has passed without another event.
    Tick,
}

/// An action that the driver must perform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateOutput {
    /// Send a request to the backend server. Each must be followed by exactly one
    /// [`GateInput::CallEnded`].
    Run {
        /// Token of the request.
        token: u64,
        /// The request; its budget is the time left until the caller's deadline.
        call: Call,
        /// Time after which the outcome is unknown. It is longer than the call's budget, because
        /// the slot stays occupied while the backend server works, and a late response is stored
        /// for a repeat of the ticket.
        time_limit: Millis,
    },
    /// Reply to a request.
    Reply {
        /// Token of the request.
        token: u64,
        /// Reply to the caller.
        reply: Reply,
    },
    /// Reply to a request for tickets.
    Tickets {
        /// Token of the request.
        token: u64,
        /// Issued tickets, or the reason why there are none.
        reply: Result<Vec<Ticket>, NotRun>,
    },
}

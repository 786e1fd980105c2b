//! Processes and the messages between them.

use hyssop_core::{
    AnnounceReply, Announcement, Call, CellId, Fenced, Heartbeat, JobCall, JobReply, Offset,
    Outcome, PollReply, PollRequest, ReadReply, Reply, Ticket, TicketCall,
};

/// A process of the world, by its kind and number, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Node {
    /// The platform's log.
    Log,
    /// An entry.
    Entry(usize),
    /// An agent; its backend server has the same number.
    Agent(usize),
    /// A worker.
    Worker(usize),
    /// All callers and operators together.
    Callers,
}

/// A caller's request as sent to an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRequest {
    /// Number of the request, unique per run; repeats keep it.
    pub number: u64,
    /// Ticket that prevents a second run; `None` for idempotent requests.
    pub ticket: Option<Ticket>,
    /// Whether the request may run more than once.
    pub is_idempotent: bool,
}

/// Contents of a message: a request or its reply.
#[derive(Clone, Debug)]
pub enum Body {
    /// Appends records to a stream.
    Append(String, Vec<String>),
    /// Reads a stream from an offset.
    Read(String, Offset),
    /// Reply to an append: offset of the first record.
    Appended(Offset),
    /// Reply to a read.
    Records(ReadReply),
    /// Poll of a worker by the owner of a cell.
    Poll(CellId, PollRequest),
    /// Reply of a worker, which refuses polls of a lower term.
    PollReply(Result<PollReply, Fenced>),
    /// Heartbeat between entries.
    Heartbeat(Heartbeat),
    /// Reply to a heartbeat, with the receiver's own state.
    HeartbeatReply(Heartbeat),
    /// Announcement of an agent to an entry.
    Announce(Announcement),
    /// Reply to an announcement.
    AnnounceReply(AnnounceReply),
    /// Call from an entry to an agent.
    Call(Call),
    /// Reply of an agent to a call.
    CallReply(Reply),
    /// Request for tickets from an entry to an agent.
    IssueTickets(TicketCall),
    /// Reply to a request for tickets; `None` if the agent issues none.
    TicketsIssued(Option<Vec<Ticket>>),
    /// Job call to the owner of a cell.
    JobCall(CellId, JobCall),
    /// Reply to a job call.
    JobReply(JobReply),
    /// Request of a caller to an entry.
    Request(EntryRequest),
    /// Reply to a caller's request.
    Response(Outcome),
    /// Request of a caller for a ticket.
    RequestTicket,
    /// Reply to a caller's request for a ticket; `None` if no agent issued one.
    TicketResponse(Option<Ticket>),
    /// The receiver was down, so the request had no effect.
    Refused,
}

impl Body {
    /// Returns whether the message is a reply.
    #[must_use]
    pub const fn is_reply(&self) -> bool {
        matches!(
            self,
            Self::Appended(_)
                | Self::Records(_)
                | Self::PollReply(_)
                | Self::HeartbeatReply(_)
                | Self::AnnounceReply(_)
                | Self::CallReply(_)
                | Self::TicketsIssued(_)
                | Self::JobReply(_)
                | Self::Response(_)
                | Self::TicketResponse(_)
                | Self::Refused
        )
    }

    /// Returns whether a second delivery is equivalent to a repeat that the protocol allows. The
    /// sender never repeats a call without a ticket under the same number.
    #[must_use]
    pub const fn allows_duplicates(&self) -> bool {
        match self {
            Self::Call(call) => call.ticket.is_some(),
            Self::Request(asked) => asked.ticket.is_some(),
            Self::IssueTickets(_) | Self::RequestTicket => false,
            _ => true,
        }
    }
}

/// A message in transit.
#[derive(Clone, Debug)]
pub struct Message {
    /// Sender of the message.
    pub from: Node,
    /// Incarnation of the process that sent the request; replies to an earlier one are dropped.
    pub incarnation: u64,
    /// Receiver of the message.
    pub to: Node,
    /// Number of the exchange; a reply has the number of its request.
    pub rpc: u64,
    /// Contents of the message.
    pub body: Body,
}

impl Message {
    /// Returns a reply to this message with the given contents.
    #[must_use]
    pub const fn reply(&self, body: Body) -> Self {
        Self {
            from: self.to,
            incarnation: self.incarnation,
            to: self.from,
            rpc: self.rpc,
            body,
        }
    }
}

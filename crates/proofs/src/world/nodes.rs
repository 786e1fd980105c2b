//! Processes and the messages between them.

use hyssop_core::{
    AnnounceReply, Announcement, Call, CellId, Fenced, Heartbeat, JobCall, JobReply, Offset,
    Outcome, PollReply, PollRequest, ReadReply, Reply, Ticket, TicketCall,
};

/// A process of the world, by its kind and number.
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
    /// All callers and operators.
    Callers,
}

/// A request of a caller, as it reaches an entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryRequest {
    /// Number of the request.
    pub number: u64,
    /// Request key.
    pub ticket: Option<Ticket>,
    /// Whether it may run more than once.
    pub is_idempotent: bool,
}

/// Contents of a message.
#[derive(Clone, Debug)]
pub enum Body {
    /// Append to a stream.
    Append(String, Vec<String>),
    /// Read a stream from an offset.
    Read(String, Offset),
    /// Records were appended from this offset on.
    Appended(Offset),
    /// Answer to a read.
    Records(ReadReply),
    /// Poll of a worker by the owner of a cell.
    Poll(CellId, PollRequest),
    /// Answer of a worker.
    PollReply(Result<PollReply, Fenced>),
    /// Heartbeat.
    Heartbeat(Heartbeat),
    /// Answer to a heartbeat.
    HeartbeatReply(Heartbeat),
    /// Announcement.
    Announce(Announcement),
    /// Answer to an announcement.
    AnnounceReply(AnnounceReply),
    /// Request on its way to an agent.
    Call(Call),
    /// Answer of an agent.
    CallReply(Reply),
    /// Question for tickets.
    IssueTickets(TicketCall),
    /// Tickets.
    TicketsIssued(Option<Vec<Ticket>>),
    /// Call about a job.
    JobCall(CellId, JobCall),
    /// Answer to a call about a job.
    JobReply(JobReply),
    /// Request of a caller.
    Request(EntryRequest),
    /// Outcome for the caller.
    Response(Outcome),
    /// Question of a caller for a ticket.
    RequestTicket,
    /// Answer to it.
    TicketResponse(Option<Ticket>),
    /// The other side certainly did not take the request.
    Refused,
}

impl Body {
    /// Tells whether the message answers another.
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

    /// Tells whether a second delivery stands for a repeat that the design allows. A call without
    /// a ticket is not repeated by its sender under the same number.
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

/// A message under way.
#[derive(Clone, Debug)]
pub struct Message {
    /// Sender.
    pub from: Node,
    /// Life of the process that asked; an answer to an earlier life is dropped.
    pub incarnation: u64,
    /// Receiver.
    pub to: Node,
    /// Number of the exchange.
    pub rpc: u64,
    /// Contents.
    pub body: Body,
}

impl Message {
    /// Returns an answer to this message.
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

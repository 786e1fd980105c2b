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
pub struct Asked {
    /// Number of the request.
    pub request: u64,
    /// Request key.
    pub ticket: Option<Ticket>,
    /// Whether it may run more than once.
    pub idempotent: bool,
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
    Polled(Result<PollReply, Fenced>),
    /// Heartbeat.
    Beat(Heartbeat),
    /// Answer to a heartbeat.
    Beaten(Heartbeat),
    /// Announcement.
    Announce(Announcement),
    /// Answer to an announcement.
    Announced(AnnounceReply),
    /// Request on its way to an agent.
    Call(Call),
    /// Answer of an agent.
    Called(Reply),
    /// Question for tickets.
    Tickets(TicketCall),
    /// Tickets.
    Issued(Option<Vec<Ticket>>),
    /// Call about a job.
    Job(CellId, JobCall),
    /// Answer to a call about a job.
    JobDone(JobReply),
    /// Request of a caller.
    Ask(Asked),
    /// Outcome for the caller.
    Answer(Outcome),
    /// Question of a caller for a ticket.
    AskTicket,
    /// Answer to it.
    GiveTicket(Option<Ticket>),
    /// The other side certainly did not take the request.
    Refused,
}

impl Body {
    /// Tells whether the message answers another.
    #[must_use]
    pub const fn is_answer(&self) -> bool {
        matches!(
            self,
            Self::Appended(_)
                | Self::Records(_)
                | Self::Polled(_)
                | Self::Beaten(_)
                | Self::Announced(_)
                | Self::Called(_)
                | Self::Issued(_)
                | Self::JobDone(_)
                | Self::Answer(_)
                | Self::GiveTicket(_)
                | Self::Refused
        )
    }

    /// Tells whether a second delivery stands for a repeat that the design allows. A call without
    /// a ticket is not repeated by its sender under the same number.
    #[must_use]
    pub const fn may_repeat(&self) -> bool {
        match self {
            Self::Call(call) => call.ticket.is_some(),
            Self::Ask(asked) => asked.ticket.is_some(),
            Self::Tickets(_) | Self::AskTicket => false,
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
    pub life: u64,
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
    pub const fn answer(&self, body: Body) -> Self {
        Self {
            from: self.to,
            life: self.life,
            to: self.from,
            rpc: self.rpc,
            body,
        }
    }
}

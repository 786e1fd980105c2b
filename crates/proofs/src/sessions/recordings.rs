//! The recording: lines in the order of the events.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{Millis, Ticket};

use super::histories::History;
use super::messages::{self, Description};
use super::records;
use crate::invariants::Observation;
use crate::world::{Body, Message, Node};

/// The request that a line belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Tag {
    /// The line belongs to no request.
    None,
    /// The request of an exchange, by the number of the exchange.
    Exchange(u64),
    /// A request by its number.
    Request(u64),
}

/// Contents of a line.
#[derive(Clone, Debug)]
pub(super) enum Item {
    /// Heading of a section.
    Heading(String),
    /// A line of the section.
    Listed {
        from: String,
        to: Option<String>,
        text: String,
        tag: Tag,
    },
    /// A message that is only counted, by its kind.
    Counted { kind: &'static str, is_reply: bool },
}

/// A line and its virtual time.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub(super) at: Millis,
    pub(super) item: Item,
}

/// Numbers of messages sent for one request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RequestCounts {
    /// Times that the caller sent the request.
    pub(super) sends: u32,
    /// Calls that entries sent to agents.
    pub(super) calls: u32,
    /// Whether the caller received the complete response.
    pub(super) is_complete: bool,
}

/// A recording. It stays empty until it is started.
#[derive(Debug, Default)]
pub(crate) struct Recording {
    names: BTreeMap<Node, String>,
    pub(super) start: Millis,
    pub(super) lines: Vec<Line>,
    pub(super) listed_requests: BTreeSet<u64>,
    pub(super) request_counts: BTreeMap<u64, RequestCounts>,
    request_by_rpc: BTreeMap<u64, u64>,
    ticket_by_rpc: BTreeMap<u64, Ticket>,
    request_by_ticket: BTreeMap<Ticket, u64>,
    history: History,
}

impl Recording {
    pub(super) fn start_at(start: Millis, names: BTreeMap<Node, String>) -> Self {
        Self {
            names,
            start,
            ..Self::default()
        }
    }

    pub(super) fn add_heading(&mut self, heading: &str) {
        let at = self.lines.last().map_or(self.start, |line| line.at);
        let item = Item::Heading(heading.to_owned());
        self.lines.push(Line { at, item });
    }

    pub(super) fn list_request(&mut self, request: u64) {
        self.listed_requests.insert(request);
    }

    fn is_disabled(&self) -> bool {
        self.names.is_empty()
    }

    pub(crate) fn record_text(&mut self, at: Millis, who: &str, text: &str) {
        self.push_text(at, who, text, Tag::None);
    }

    fn push_text(&mut self, at: Millis, from: &str, text: &str, tag: Tag) {
        if self.is_disabled() {
            return;
        }
        let item = Item::Listed {
            from: from.to_owned(),
            to: None,
            text: text.to_owned(),
            tag,
        };
        self.lines.push(Line { at, item });
    }

    /// Records a fault of a process.
    pub(crate) fn record_fault(&mut self, at: Millis, node: Node, text: &str) {
        if let Some(name) = self.names.get(&node).cloned() {
            self.record_text(at, &name, &format!("*** {text}"));
        }
    }

    /// Records a message that is delivered `copies` times; 0 means it is lost.
    pub(crate) fn record_message(&mut self, at: Millis, message: &Message, copies: usize) {
        if self.is_disabled() {
            return;
        }
        self.trace_request(message);
        let item = match messages::describe(&mut self.history, message) {
            Description::Omitted => return,
            Description::Counted(kind) => Item::Counted {
                kind,
                is_reply: message.body.is_reply(),
            },
            Description::Listed(text) => Item::Listed {
                from: self.names[&message.from].clone(),
                to: Some(self.names[&message.to].clone()),
                text: match copies {
                    0 => format!("{text} (lost)"),
                    1 => text,
                    _ => format!("{text} ({copies} copies)"),
                },
                tag: tag_of(message),
            },
        };
        self.lines.push(Line { at, item });
    }

    /// Stores which request a message belongs to.
    fn trace_request(&mut self, message: &Message) {
        let rpc = message.rpc;
        match &message.body {
            Body::Request(request) => {
                self.request_by_rpc.insert(rpc, request.number);
                self.request_counts.entry(request.number).or_default().sends += 1;
                if let Some(ticket) = request.ticket {
                    self.request_by_ticket.insert(ticket, request.number);
                }
            }
            Body::Call(call) => {
                let number = messages::request_number(call);
                self.request_by_rpc.insert(rpc, number);
                self.request_counts.entry(number).or_default().calls += 1;
            }
            Body::Response(hyssop_core::Outcome::Complete(_)) => {
                if let Some(number) = self.request_by_rpc.get(&rpc) {
                    self.request_counts.entry(*number).or_default().is_complete = true;
                }
            }
            Body::TicketsIssued(Some(tickets)) => {
                let first = tickets.first().copied();
                self.ticket_by_rpc.extend(first.map(|ticket| (rpc, ticket)));
            }
            Body::TicketResponse(Some(ticket)) => {
                self.ticket_by_rpc.insert(rpc, *ticket);
            }
            _ => {}
        }
    }

    /// Returns the request of a line, if the complete recording identifies it.
    pub(super) fn request_of(&self, tag: Tag) -> Option<u64> {
        match tag {
            Tag::None => None,
            Tag::Request(number) => Some(number),
            Tag::Exchange(rpc) => {
                let by_ticket = || self.request_by_ticket.get(self.ticket_by_rpc.get(&rpc)?);
                self.request_by_rpc.get(&rpc).or_else(by_ticket).copied()
            }
        }
    }

    /// Records an observation, unless the messages show it.
    pub(crate) fn record_observation(&mut self, at: Millis, obs: &Observation) {
        if self.is_disabled() {
            return;
        }
        if let Observation::RequestStarted { agent, request } = obs {
            let text = format!("runs R{request}");
            return self.push_text(at, agent.as_str(), &text, Tag::Request(*request));
        }
        if let Some((who, text)) = records::observation_text(&mut self.history, obs) {
            self.record_text(at, &who, &text);
        }
    }
}

fn tag_of(message: &Message) -> Tag {
    match message.body {
        Body::Request(_)
        | Body::Response(_)
        | Body::RequestTicket
        | Body::TicketResponse(_)
        | Body::Call(_)
        | Body::CallReply(_)
        | Body::IssueTickets(_)
        | Body::TicketsIssued(_)
        | Body::Refused => Tag::Exchange(message.rpc),
        _ => Tag::None,
    }
}

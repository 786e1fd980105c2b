//! The tape: lines in the order in which they were seen.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{Millis, Ticket};

use super::histories::Memory;
use super::messages::{self, Said};
use super::records;
use crate::invariants::Obs;
use crate::world::{Body, Message, Node};

/// Request that a line belongs to.
#[derive(Clone, Copy, Debug)]
pub(super) enum Tag {
    /// None.
    None,
    /// The request of an exchange.
    Exchange(u64),
    /// A request by its number.
    Request(u64),
}

/// Contents of a line.
#[derive(Clone, Debug)]
pub(super) enum Item {
    /// Heading of a part.
    Chapter(String),
    /// Something that is listed.
    News {
        from: String,
        to: Option<String>,
        text: String,
        tag: Tag,
    },
    /// A message without news, by its kind.
    Idle { kind: &'static str, answer: bool },
}

/// A line and its time.
#[derive(Clone, Debug)]
pub(super) struct Line {
    pub(super) at: Millis,
    pub(super) item: Item,
}

/// Part that a message has in the course of a request.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Course {
    /// Uses by the caller.
    pub(super) asked: u32,
    /// Calls of agents.
    pub(super) called: u32,
    /// Whether the caller got the complete response.
    pub(super) whole: bool,
}

/// A recording. It does nothing until it is started.
#[derive(Debug, Default)]
pub(crate) struct Tape {
    names: BTreeMap<Node, String>,
    pub(super) start: Millis,
    pub(super) lines: Vec<Line>,
    pub(super) followed: BTreeSet<u64>,
    pub(super) courses: BTreeMap<u64, Course>,
    requests: BTreeMap<u64, u64>,
    tickets: BTreeMap<u64, Ticket>,
    holders: BTreeMap<Ticket, u64>,
    memory: Memory,
}

impl Tape {
    pub(super) fn started(start: Millis, names: BTreeMap<Node, String>) -> Self {
        Self {
            names,
            start,
            ..Self::default()
        }
    }

    pub(super) fn chapter(&mut self, heading: &str) {
        let at = self.lines.last().map_or(self.start, |line| line.at);
        let item = Item::Chapter(heading.to_owned());
        self.lines.push(Line { at, item });
    }

    pub(super) fn follow(&mut self, request: u64) {
        self.followed.insert(request);
    }

    fn is_off(&self) -> bool {
        self.names.is_empty()
    }

    pub(crate) fn fact(&mut self, at: Millis, who: &str, text: &str) {
        self.news(at, who, text, Tag::None);
    }

    fn news(&mut self, at: Millis, from: &str, text: &str, tag: Tag) {
        if self.is_off() {
            return;
        }
        let item = Item::News {
            from: from.to_owned(),
            to: None,
            text: text.to_owned(),
            tag,
        };
        self.lines.push(Line { at, item });
    }

    /// Records a fault of a process.
    pub(crate) fn fault(&mut self, at: Millis, node: Node, text: &str) {
        if let Some(name) = self.names.get(&node).cloned() {
            self.fact(at, &name, &format!("*** {text}"));
        }
    }

    /// Records a message of which `copies` arrive.
    pub(crate) fn sent(&mut self, at: Millis, message: &Message, copies: usize) {
        if self.is_off() {
            return;
        }
        self.trace_request(message);
        let item = match messages::describe(&mut self.memory, message) {
            Said::Nothing => return,
            Said::Idle(kind) => Item::Idle {
                kind,
                answer: message.body.is_answer(),
            },
            Said::News(text) => Item::News {
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

    /// Notes which request a message belongs to.
    fn trace_request(&mut self, message: &Message) {
        let rpc = message.rpc;
        match &message.body {
            Body::Ask(asked) => {
                self.requests.insert(rpc, asked.request);
                self.courses.entry(asked.request).or_default().asked += 1;
                if let Some(ticket) = asked.ticket {
                    self.holders.insert(ticket, asked.request);
                }
            }
            Body::Call(call) => {
                let number = messages::request_of(call);
                self.requests.insert(rpc, number);
                self.courses.entry(number).or_default().called += 1;
            }
            Body::Answer(hyssop_core::Outcome::Complete(_)) => {
                if let Some(number) = self.requests.get(&rpc) {
                    self.courses.entry(*number).or_default().whole = true;
                }
            }
            Body::Issued(Some(tickets)) => {
                let first = tickets.first().copied();
                self.tickets.extend(first.map(|ticket| (rpc, ticket)));
            }
            Body::GiveTicket(Some(ticket)) => {
                self.tickets.insert(rpc, *ticket);
            }
            _ => {}
        }
    }

    /// Returns the request of a line, as far as it is known in the end.
    pub(super) fn request(&self, tag: Tag) -> Option<u64> {
        match tag {
            Tag::None => None,
            Tag::Request(number) => Some(number),
            Tag::Exchange(rpc) => {
                let by_ticket = || self.holders.get(self.tickets.get(&rpc)?);
                self.requests.get(&rpc).or_else(by_ticket).copied()
            }
        }
    }

    /// Records what was seen at a process, as far as its messages do not show it.
    pub(crate) fn saw(&mut self, at: Millis, obs: &Obs) {
        if self.is_off() {
            return;
        }
        if let Obs::Ran { agent, request } = obs {
            let text = format!("runs R{request}");
            return self.news(at, agent.as_str(), &text, Tag::Request(*request));
        }
        if let Some((who, text)) = records::observation(&mut self.memory, obs) {
            self.fact(at, &who, &text);
        }
    }
}

fn tag_of(message: &Message) -> Tag {
    match message.body {
        Body::Ask(_)
        | Body::Answer(_)
        | Body::AskTicket
        | Body::GiveTicket(_)
        | Body::Call(_)
        | Body::Called(_)
        | Body::Tickets(_)
        | Body::Issued(_)
        | Body::Refused => Tag::Exchange(message.rpc),
        _ => Tag::None,
    }
}

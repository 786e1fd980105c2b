//! Callers: jobs from submission to receipt, and requests with their repeats.

use hyssop_core::{CellId, JobCall, JobPhase, JobReply, JobSpec, Millis, Outcome, Refusal, Ticket};

use super::agents::{answer_to, body_of};
use super::nodes::{Asked, Body, Message, Node};
use crate::invariants::Obs;

/// Interval of a caller's questions about a job.
const EVERY: Millis = Millis(500);
/// Time after which a caller asks another entry.
const JOB_LIMIT: Millis = Millis(6_500);
/// Time for which a caller waits for an outcome.
const ASK_LIMIT: Millis = Millis(3_000);
/// Uses of one ticket by a caller that got no outcome.
const USES: u32 = 4;

/// What a caller wants of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// To have it accepted.
    Submit,
    /// To have it finished.
    Watch,
    /// To have it cancelled.
    Cancel,
    /// To get the result.
    Fetch,
    /// To be refused the result under another receipt.
    FetchAgain,
    /// Nothing more.
    Done,
}

/// A job and its caller.
#[derive(Debug)]
pub(crate) struct JobClient {
    pub(crate) spec: JobSpec,
    home: CellId,
    cell: CellId,
    pub(crate) stage: Stage,
    entry: usize,
    next: Millis,
    waiting: Option<u64>,
    until: Millis,
}

impl JobClient {
    pub(crate) fn new(spec: JobSpec, home: CellId) -> Self {
        Self {
            spec,
            cell: home.clone(),
            home,
            stage: Stage::Submit,
            entry: 0,
            next: Millis(0),
            waiting: None,
            until: Millis(0),
        }
    }

    fn call(&self) -> JobCall {
        let job = self.spec.id.clone();
        match self.stage {
            Stage::Submit => JobCall::Submit(self.spec.clone()),
            Stage::Watch | Stage::Done => JobCall::Show(job),
            Stage::Cancel => JobCall::Cancel(job),
            Stage::Fetch => JobCall::Fetch {
                job,
                receipt: "first".to_owned(),
            },
            Stage::FetchAgain => JobCall::Fetch {
                job,
                receipt: "second".to_owned(),
            },
        }
    }

    pub(crate) fn tick(&mut self, now: Millis, rpc: &mut u64, entries: usize) -> Option<Message> {
        if self.waiting.is_some() && now >= self.until {
            self.waiting = None;
            self.entry += 1;
        }
        if self.stage == Stage::Done || self.waiting.is_some() || now < self.next {
            return None;
        }
        *rpc += 1;
        self.waiting = Some(*rpc);
        self.until = now + JOB_LIMIT;
        Some(Message {
            from: Node::Callers,
            life: 0,
            to: Node::Entry(self.entry % entries),
            rpc: *rpc,
            body: Body::Job(self.cell.clone(), self.call()),
        })
    }

    /// Takes an answer. Returns what it shows, or what is wrong with it.
    pub(crate) fn answered(
        &mut self,
        now: Millis,
        rpc: u64,
        body: &Body,
    ) -> Result<Option<Obs>, String> {
        if self.waiting != Some(rpc) {
            return Ok(None);
        }
        self.waiting = None;
        self.next = now + EVERY;
        let Body::JobDone(reply) = body else {
            self.entry += 1;
            return Ok(None);
        };
        let job = self.spec.id.clone();
        match reply {
            JobReply::Status(status) => Ok(self.status(status.phase)),
            JobReply::Result { result, .. } => {
                let receipt = match self.stage {
                    Stage::Fetch => "first",
                    _ => "second",
                };
                self.stage = Stage::FetchAgain;
                Ok(Some(Obs::Result {
                    job,
                    receipt: receipt.to_owned(),
                    result: result.clone(),
                }))
            }
            JobReply::Redirect(cell) => {
                self.cell = cell.clone();
                Ok(None)
            }
            JobReply::Refused(Refusal::NotOwner(_)) => {
                self.entry += 1;
                Ok(None)
            }
            JobReply::Refused(Refusal::AlreadyFetched) if self.stage == Stage::FetchAgain => {
                self.stage = Stage::Done;
                Ok(None)
            }
            JobReply::Refused(Refusal::NotFound(_)) if self.cell != self.home => {
                // The transfer is still under way.
                self.cell = self.home.clone();
                Ok(None)
            }
            JobReply::Unknown => Ok(None),
            other => Err(format!("{job} in stage {:?}: {other:?}", self.stage)),
        }
    }

    fn status(&mut self, phase: JobPhase) -> Option<Obs> {
        let job = self.spec.id.clone();
        match (self.stage, phase) {
            (_, JobPhase::Cancelled) => {
                self.stage = Stage::Done;
                Some(Obs::JobCancelled(job))
            }
            (Stage::Submit, _) => {
                self.stage = Stage::Watch;
                Some(Obs::JobAccepted(job))
            }
            (Stage::Watch | Stage::Cancel, JobPhase::Finished | JobPhase::Fetched) => {
                self.stage = Stage::Fetch;
                None
            }
            _ => None,
        }
    }
}

/// A request and its caller.
#[derive(Debug)]
pub(crate) struct RequestClient {
    pub(crate) number: u64,
    idempotent: bool,
    ticket: Option<Ticket>,
    entry: usize,
    pub(crate) rpc: Option<u64>,
    until: Millis,
    uses: u32,
    /// Time before which the ticket is not used.
    pub(crate) hold: Millis,
    /// Whether the caller sends each use of the ticket through two entries.
    pub(crate) eager: bool,
    pub(crate) ended: bool,
    pub(crate) outcome: Option<Outcome>,
}

impl RequestClient {
    pub(crate) const fn new(number: u64, idempotent: bool, entry: usize) -> Self {
        Self {
            number,
            idempotent,
            ticket: None,
            entry,
            rpc: None,
            until: Millis(0),
            uses: 0,
            hold: Millis(0),
            eager: false,
            ended: false,
            outcome: None,
        }
    }

    pub(crate) fn tick(
        &mut self,
        now: Millis,
        rpc: &mut u64,
        entries: usize,
    ) -> (Vec<Message>, Option<Obs>) {
        if self.rpc.is_some() && now >= self.until {
            self.rpc = None;
            self.entry += 1;
            self.ended |= self.uses >= USES || self.idempotent;
        }
        if self.ended || self.rpc.is_some() {
            return (Vec::new(), None);
        }
        if !self.idempotent && self.ticket.is_none() {
            self.uses += 1;
            self.ended |= self.uses > USES;
            return (vec![self.send(now, rpc, entries, Body::AskTicket)], None);
        }
        if now < self.hold {
            return (Vec::new(), None);
        }
        self.uses += 1;
        let asked = Asked {
            request: self.number,
            ticket: self.ticket,
            idempotent: self.idempotent,
        };
        let seen = Obs::Asked {
            request: self.number,
            ticket: self.ticket,
            idempotent: self.idempotent,
            answer: answer_to(&body_of(self.number)),
        };
        let mut sent = Vec::new();
        if self.eager && self.ticket.is_some() {
            sent.push(self.send(now, rpc, entries, Body::Ask(asked.clone())));
            self.entry += 1;
        }
        sent.push(self.send(now, rpc, entries, Body::Ask(asked)));
        (sent, Some(seen))
    }

    fn send(&mut self, now: Millis, rpc: &mut u64, entries: usize, body: Body) -> Message {
        *rpc += 1;
        self.rpc = Some(*rpc);
        self.until = now + ASK_LIMIT;
        Message {
            from: Node::Callers,
            life: 0,
            to: Node::Entry(self.entry % entries),
            rpc: *rpc,
            body,
        }
    }

    pub(crate) fn answered(&mut self, rpc: u64, body: &Body) -> Option<Obs> {
        if let Body::Answer(outcome) = body {
            if self.rpc == Some(rpc) {
                self.rpc = None;
                self.entry += 1;
                let unknown = matches!(outcome, Outcome::Unknown(_));
                let again = unknown && !self.idempotent && self.uses < USES;
                self.ended = !again;
                self.outcome = Some(outcome.clone());
            }
            return Some(Obs::Answered {
                request: self.number,
                outcome: outcome.clone(),
            });
        }
        if self.rpc == Some(rpc) {
            self.rpc = None;
            match body {
                Body::GiveTicket(Some(ticket)) => {
                    self.ticket = Some(*ticket);
                    self.uses = 0;
                }
                _ => {
                    self.entry += 1;
                    self.ended |= self.idempotent || self.uses >= USES;
                }
            }
        }
        None
    }
}

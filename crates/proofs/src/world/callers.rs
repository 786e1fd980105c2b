//! Simulated callers: jobs from submission to receipt, and requests with their repeats.

use hyssop_core::{CellId, JobCall, JobPhase, JobReply, JobSpec, Millis, Outcome, Refusal, Ticket};

use super::agents::{request_body, response_body};
use super::nodes::{Body, EntryRequest, Message, Node};
use crate::invariants::Observation;

/// Interval between a caller's calls about a job.
const STATUS_INTERVAL: Millis = Millis(500);
/// Time after which a caller sends a call about a job to another entry.
const JOB_TIMEOUT: Millis = Millis(6_500);
/// Time for which a caller waits for the outcome of a request.
const REQUEST_TIMEOUT: Millis = Millis(3_000);
/// Number of times that a caller without an outcome sends a request under one ticket.
const MAX_TICKET_USES: u32 = 4;

/// Progress of a job's caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// Submits the job until it is accepted.
    Submit,
    /// Polls the job until it has finished.
    Watch,
    /// Cancels the job.
    Cancel,
    /// Fetches the result.
    Fetch,
    /// Fetches the result under another receipt, which must be refused.
    FetchAgain,
    /// Needs nothing more.
    Done,
}

/// The caller of a job.
#[derive(Debug)]
pub(crate) struct JobClient {
    pub(crate) spec: JobSpec,
    submit_cell: CellId,
    cell: CellId,
    pub(crate) stage: Stage,
    entry: usize,
    next_call_at: Millis,
    pending_rpc: Option<u64>,
    deadline: Millis,
}

impl JobClient {
    pub(crate) fn new(spec: JobSpec, submit_cell: CellId) -> Self {
        Self {
            spec,
            cell: submit_cell.clone(),
            submit_cell,
            stage: Stage::Submit,
            entry: 0,
            next_call_at: Millis(0),
            pending_rpc: None,
            deadline: Millis(0),
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
        if self.pending_rpc.is_some() && now >= self.deadline {
            self.pending_rpc = None;
            self.entry += 1;
        }
        if self.stage == Stage::Done || self.pending_rpc.is_some() || now < self.next_call_at {
            return None;
        }
        *rpc += 1;
        self.pending_rpc = Some(*rpc);
        self.deadline = now + JOB_TIMEOUT;
        Some(Message {
            from: Node::Callers,
            incarnation: 0,
            to: Node::Entry(self.entry % entries),
            rpc: *rpc,
            body: Body::JobCall(self.cell.clone(), self.call()),
        })
    }

    /// Handles a reply. Returns the observation that it makes, or an error text if the reply is not
    /// valid in this stage.
    pub(crate) fn handle_reply(
        &mut self,
        now: Millis,
        rpc: u64,
        body: &Body,
    ) -> Result<Option<Observation>, String> {
        if self.pending_rpc != Some(rpc) {
            return Ok(None);
        }
        self.pending_rpc = None;
        self.next_call_at = now + STATUS_INTERVAL;
        let Body::JobReply(reply) = body else {
            self.entry += 1;
            return Ok(None);
        };
        let job = self.spec.id.clone();
        match reply {
            JobReply::Status(status) => Ok(self.handle_phase(status.phase)),
            JobReply::Result { result, .. } => {
                let receipt = match self.stage {
                    Stage::Fetch => "first",
                    _ => "second",
                };
                self.stage = Stage::FetchAgain;
                Ok(Some(Observation::ResultDelivered {
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
            JobReply::Refused(Refusal::NotFound(_)) if self.cell != self.submit_cell => {
                // The transfer to the other cell is still in progress.
                self.cell = self.submit_cell.clone();
                Ok(None)
            }
            JobReply::Unknown => Ok(None),
            other => Err(format!("{job} in stage {:?}: {other:?}", self.stage)),
        }
    }

    fn handle_phase(&mut self, phase: JobPhase) -> Option<Observation> {
        let job = self.spec.id.clone();
        match (self.stage, phase) {
            (_, JobPhase::Cancelled) => {
                self.stage = Stage::Done;
                Some(Observation::JobCancelled(job))
            }
            (Stage::Submit, _) => {
                self.stage = Stage::Watch;
                Some(Observation::JobAccepted(job))
            }
            (Stage::Watch | Stage::Cancel, JobPhase::Finished | JobPhase::Fetched) => {
                self.stage = Stage::Fetch;
                None
            }
            _ => None,
        }
    }
}

/// The caller of a request.
#[derive(Debug)]
pub(crate) struct RequestClient {
    pub(crate) number: u64,
    is_idempotent: bool,
    ticket: Option<Ticket>,
    entry: usize,
    pub(crate) pending_rpc: Option<u64>,
    deadline: Millis,
    uses: u32,
    /// Time before which the caller doesn't use its ticket.
    pub(crate) hold_until: Millis,
    /// Whether the caller sends each use of the ticket through two entries.
    pub(crate) uses_two_entries: bool,
    pub(crate) has_ended: bool,
    pub(crate) outcome: Option<Outcome>,
}

impl RequestClient {
    pub(crate) const fn new(number: u64, is_idempotent: bool, entry: usize) -> Self {
        Self {
            number,
            is_idempotent,
            ticket: None,
            entry,
            pending_rpc: None,
            deadline: Millis(0),
            uses: 0,
            hold_until: Millis(0),
            uses_two_entries: false,
            has_ended: false,
            outcome: None,
        }
    }

    pub(crate) fn tick(
        &mut self,
        now: Millis,
        rpc: &mut u64,
        entries: usize,
    ) -> (Vec<Message>, Option<Observation>) {
        if self.pending_rpc.is_some() && now >= self.deadline {
            self.pending_rpc = None;
            self.entry += 1;
            self.has_ended |= self.uses >= MAX_TICKET_USES || self.is_idempotent;
        }
        if self.has_ended || self.pending_rpc.is_some() {
            return (Vec::new(), None);
        }
        if !self.is_idempotent && self.ticket.is_none() {
            self.uses += 1;
            self.has_ended |= self.uses > MAX_TICKET_USES;
            return (
                vec![self.send(now, rpc, entries, Body::RequestTicket)],
                None,
            );
        }
        if now < self.hold_until {
            return (Vec::new(), None);
        }
        self.uses += 1;
        let request = EntryRequest {
            number: self.number,
            ticket: self.ticket,
            is_idempotent: self.is_idempotent,
        };
        let observation = Observation::RequestSent {
            request: self.number,
            ticket: self.ticket,
            is_idempotent: self.is_idempotent,
            expected_body: response_body(&request_body(self.number)),
        };
        let mut sent = Vec::new();
        if self.uses_two_entries && self.ticket.is_some() {
            sent.push(self.send(now, rpc, entries, Body::Request(request.clone())));
            self.entry += 1;
        }
        sent.push(self.send(now, rpc, entries, Body::Request(request)));
        (sent, Some(observation))
    }

    fn send(&mut self, now: Millis, rpc: &mut u64, entries: usize, body: Body) -> Message {
        *rpc += 1;
        self.pending_rpc = Some(*rpc);
        self.deadline = now + REQUEST_TIMEOUT;
        Message {
            from: Node::Callers,
            incarnation: 0,
            to: Node::Entry(self.entry % entries),
            rpc: *rpc,
            body,
        }
    }

    pub(crate) fn handle_reply(&mut self, rpc: u64, body: &Body) -> Option<Observation> {
        if let Body::Response(outcome) = body {
            if self.pending_rpc == Some(rpc) {
                self.pending_rpc = None;
                self.entry += 1;
                let unknown = matches!(outcome, Outcome::Unknown(_));
                let retry = unknown && !self.is_idempotent && self.uses < MAX_TICKET_USES;
                self.has_ended = !retry;
                self.outcome = Some(outcome.clone());
            }
            return Some(Observation::ResponseReceived {
                request: self.number,
                outcome: outcome.clone(),
            });
        }
        if self.pending_rpc == Some(rpc) {
            self.pending_rpc = None;
            match body {
                Body::TicketResponse(Some(ticket)) => {
                    self.ticket = Some(*ticket);
                    self.uses = 0;
                }
                _ => {
                    self.entry += 1;
                    self.has_ended |= self.is_idempotent || self.uses >= MAX_TICKET_USES;
                }
            }
        }
        None
    }
}

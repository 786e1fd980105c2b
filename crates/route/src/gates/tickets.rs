//! Ticket table: each ticket runs at most once, and a repeat gets the stored response.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::limits::{RESPONSE_TTL, TICKET_TTL};
use hyssop_core::{Call, Incarnation, Millis, NotRun, Outcome, TeamName, Ticket, Unknown};
use rand::Rng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::Xxh3;

/// Number of random low bits of a nonce. The higher bits are the second of issue.
const RANDOM_BITS: u32 = 32;
/// Time after its end for which the record of a ticket that ran is kept, and so at least this time
/// after its issue.
const RAN_RECORD_RETENTION: Millis = Millis(TICKET_TTL.0 + RESPONSE_TTL.0);

/// Hash of the parts of a request that must be the same in all requests with one ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Fingerprint(u64);

impl Fingerprint {
    /// Computes the hash of team, service, method, path and body. Headers are left out, because
    /// callers and their HTTP libraries change some of them on a repeat.
    pub(crate) fn of(call: &Call) -> Self {
        let mut hasher = Xxh3::new();
        let parts = [
            call.team.as_str().as_bytes(),
            call.service.as_str().as_bytes(),
            call.method.as_bytes(),
            call.path.as_bytes(),
            &call.body,
        ];
        for part in parts {
            hasher.update(&(part.len() as u64).to_le_bytes());
            hasher.update(part);
        }
        Self(hasher.digest())
    }
}

/// An issued ticket with its state as a type. Each transition consumes the previous state, so that
/// none can be made twice.
#[derive(Debug)]
struct TrackedTicket<S> {
    team: TeamName,
    issued_at: Millis,
    state: S,
}

#[derive(Debug)]
struct Issued;

#[derive(Debug)]
struct Queued(Fingerprint);

#[derive(Debug)]
struct Running(Fingerprint);

#[derive(Debug)]
struct Finished {
    fingerprint: Fingerprint,
    outcome: Outcome,
}

#[derive(Debug)]
struct Refused;

impl<S> TrackedTicket<S> {
    fn with_state<T>(self, state: T) -> TrackedTicket<T> {
        TrackedTicket {
            team: self.team,
            issued_at: self.issued_at,
            state,
        }
    }
}

impl TrackedTicket<Issued> {
    fn queue(self, fingerprint: Fingerprint) -> TrackedTicket<Queued> {
        self.with_state(Queued(fingerprint))
    }

    fn refuse(self) -> TrackedTicket<Refused> {
        self.with_state(Refused)
    }
}

impl TrackedTicket<Queued> {
    fn start(self) -> TrackedTicket<Running> {
        let fingerprint = self.state.0;
        self.with_state(Running(fingerprint))
    }

    fn refuse(self) -> TrackedTicket<Refused> {
        self.with_state(Refused)
    }
}

impl TrackedTicket<Running> {
    fn finish(self, outcome: Outcome) -> TrackedTicket<Finished> {
        let fingerprint = self.state.0;
        self.with_state(Finished {
            fingerprint,
            outcome,
        })
    }

    /// Refuses a ticket that was started although nothing was sent to the backend server.
    fn refuse(self) -> TrackedTicket<Refused> {
        self.with_state(Refused)
    }
}

#[derive(Debug)]
enum Record {
    Issued(TrackedTicket<Issued>),
    Queued(TrackedTicket<Queued>),
    Running(TrackedTicket<Running>),
    Finished(TrackedTicket<Finished>),
    Refused(TrackedTicket<Refused>),
}

/// How to proceed with a request, according to the record of its ticket.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// This is the first use of the ticket; the request may be queued.
    First,
    /// The same request is waiting or running.
    Pending {
        /// Whether the request has been sent to the backend server.
        is_started: bool,
    },
    /// The same request has ended with this outcome.
    Finished(Outcome),
    /// The request must not run, and no request with this ticket and these contents has run.
    NotRun(NotRun),
    /// The record of the ticket has been removed, so the ticket may have run.
    RecordExpired,
}

/// Table of the tickets issued by one incarnation of an agent.
#[derive(Debug)]
pub(crate) struct Tickets {
    incarnation: Incarnation,
    rng: StdRng,
    records: BTreeMap<u64, Record>,
    /// Nonces of all tickets with the time of issue, oldest first.
    issue_order: VecDeque<(Millis, u64)>,
    /// Nonces of finished tickets with the time of their end, oldest first.
    end_order: VecDeque<(Millis, u64)>,
    /// Nonces of stored responses with the time of their end, oldest first.
    response_order: VecDeque<(Millis, u64)>,
    response_bytes: usize,
    max_response_bytes: usize,
    max_records: usize,
}

impl Tickets {
    /// Creates an empty table.
    pub(crate) fn new(
        incarnation: Incarnation,
        rng: StdRng,
        max_response_bytes: usize,
        max_records: usize,
    ) -> Self {
        Self {
            incarnation,
            rng,
            records: BTreeMap::new(),
            issue_order: VecDeque::new(),
            end_order: VecDeque::new(),
            response_order: VecDeque::new(),
            response_bytes: 0,
            max_response_bytes,
            max_records,
        }
    }

    /// Issues up to `count` tickets, fewer if the table is nearly full.
    pub(crate) fn issue(&mut self, now: Millis, team: &TeamName, count: usize) -> Vec<Ticket> {
        let free = self.max_records.saturating_sub(self.records.len());
        let count = count.min(free);
        (0..count).map(|_| self.issue_one(now, team)).collect()
    }

    fn issue_one(&mut self, now: Millis, team: &TeamName) -> Ticket {
        // The second of issue is part of the nonce. While the records of that second are still
        // kept, a ticket without a record has never run.
        let nonce = loop {
            let random = u64::from(self.rng.random::<u32>());
            let nonce = ((now.0 / 1_000) << RANDOM_BITS) | random;
            if !self.records.contains_key(&nonce) {
                break nonce;
            }
        };
        let ticket = TrackedTicket {
            team: team.clone(),
            issued_at: now,
            state: Issued,
        };
        self.records.insert(nonce, Record::Issued(ticket));
        self.issue_order.push_back((now, nonce));
        Ticket {
            incarnation: self.incarnation,
            nonce,
        }
    }

    /// Determines how to proceed with a request that has a ticket. An unused ticket that has
    /// expired is refused permanently.
    pub(crate) fn claim(
        &mut self,
        now: Millis,
        nonce: u64,
        team: &TeamName,
        fingerprint: Fingerprint,
    ) -> Claim {
        let Some(record) = self.records.get(&nonce) else {
            return Self::claim_without_record(now, nonce);
        };
        let pending = |first: Fingerprint, is_started| match first == fingerprint {
            true => Claim::Pending { is_started },
            false => Claim::NotRun(NotRun::TicketReused),
        };
        match record {
            Record::Issued(ticket) if ticket.team != *team => Claim::NotRun(NotRun::TicketReused),
            Record::Issued(ticket) if now.since(ticket.issued_at) >= TICKET_TTL => {
                self.refuse(now, nonce);
                Claim::NotRun(NotRun::TicketExpired)
            }
            Record::Issued(_) => Claim::First,
            Record::Queued(ticket) => pending(ticket.state.0, false),
            Record::Running(ticket) => pending(ticket.state.0, true),
            Record::Finished(ticket) if ticket.state.fingerprint == fingerprint => {
                Claim::Finished(ticket.state.outcome.clone())
            }
            Record::Finished(_) => Claim::NotRun(NotRun::TicketReused),
            Record::Refused(_) => Claim::NotRun(NotRun::TicketRefused),
        }
    }

    fn claim_without_record(now: Millis, nonce: u64) -> Claim {
        let second = Millis((nonce >> RANDOM_BITS) * 1_000);
        if second + RAN_RECORD_RETENTION > now {
            Claim::NotRun(NotRun::TicketExpired)
        } else {
            Claim::RecordExpired
        }
    }

    /// Marks an issued ticket as queued.
    pub(crate) fn queue(&mut self, nonce: u64, fingerprint: Fingerprint) {
        self.update(nonce, |record| match record {
            Record::Issued(ticket) => Record::Queued(ticket.queue(fingerprint)),
            other => other,
        });
    }

    /// Marks a queued ticket as running.
    pub(crate) fn start(&mut self, nonce: u64) {
        self.update(nonce, |record| match record {
            Record::Queued(ticket) => Record::Running(ticket.start()),
            other => other,
        });
    }

    /// Refuses a ticket permanently unless it has finished.
    pub(crate) fn refuse(&mut self, now: Millis, nonce: u64) {
        self.update(nonce, |record| match record {
            Record::Issued(ticket) => Record::Refused(ticket.refuse()),
            Record::Queued(ticket) => Record::Refused(ticket.refuse()),
            Record::Running(ticket) => Record::Refused(ticket.refuse()),
            other => other,
        });
        if let Some(Record::Refused(ticket)) = self.records.get(&nonce)
            && now.since(ticket.issued_at) >= TICKET_TTL
        {
            self.records.remove(&nonce);
        }
    }

    /// Marks a running ticket as finished and stores its outcome, unless the response exceeds the
    /// limit on stored bytes.
    pub(crate) fn finish(&mut self, now: Millis, nonce: u64, outcome: &Outcome) {
        let size = response_size(outcome);
        let fits = size <= self.max_response_bytes;
        let stored = match fits {
            true => outcome.clone(),
            false => Outcome::Unknown(Unknown::Expired),
        };
        let mut is_finished = false;
        self.update(nonce, |record| match record {
            Record::Running(ticket) => {
                is_finished = true;
                Record::Finished(ticket.finish(stored))
            }
            other => other,
        });
        if !is_finished {
            return;
        }
        self.end_order.push_back((now, nonce));
        if fits && size > 0 {
            self.response_bytes += size;
            self.response_order.push_back((now, nonce));
            self.drop_oldest_responses();
        }
    }

    /// Removes records and responses that have expired.
    pub(crate) fn sweep(&mut self, now: Millis) {
        while let Some(&(issued_at, nonce)) = self.issue_order.front() {
            if now.since(issued_at) < TICKET_TTL {
                break;
            }
            self.issue_order.pop_front();
            // A ticket that never ran needs no record, because it is refused without one as well.
            if let Some(Record::Issued(_) | Record::Refused(_)) = self.records.get(&nonce) {
                self.records.remove(&nonce);
            }
        }
        while let Some(&(ended_at, nonce)) = self.response_order.front() {
            if now.since(ended_at) < RESPONSE_TTL {
                break;
            }
            self.response_order.pop_front();
            self.drop_response(nonce);
        }
        while let Some(&(ended_at, nonce)) = self.end_order.front() {
            if now.since(ended_at) < RAN_RECORD_RETENTION {
                break;
            }
            self.end_order.pop_front();
            self.records.remove(&nonce);
        }
    }

    /// Returns the expiry of the unused ticket that was issued last.
    pub(crate) fn unused_until(&self) -> Option<Millis> {
        let unused = |nonce| matches!(self.records.get(nonce), Some(Record::Issued(_)));
        let last = self
            .issue_order
            .iter()
            .rev()
            .find(|(_, nonce)| unused(nonce));
        last.map(|(issued_at, _)| *issued_at + TICKET_TTL)
    }

    /// Returns the number of ticket records.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the bytes of stored responses.
    pub(crate) const fn response_bytes(&self) -> usize {
        self.response_bytes
    }

    fn update(&mut self, nonce: u64, transition: impl FnOnce(Record) -> Record) {
        if let Some(record) = self.records.remove(&nonce) {
            self.records.insert(nonce, transition(record));
        }
    }

    fn drop_oldest_responses(&mut self) {
        while self.response_bytes > self.max_response_bytes {
            let Some((_, nonce)) = self.response_order.pop_front() else {
                return;
            };
            self.drop_response(nonce);
        }
    }

    /// Replaces a stored response by the outcome [`Unknown::Expired`].
    fn drop_response(&mut self, nonce: u64) {
        if let Some(Record::Finished(ticket)) = self.records.get_mut(&nonce) {
            self.response_bytes -= response_size(&ticket.state.outcome);
            ticket.state.outcome = Outcome::Unknown(Unknown::Expired);
        }
    }
}

fn response_size(outcome: &Outcome) -> usize {
    let Outcome::Complete(response) = outcome else {
        return 0;
    };
    let headers = response.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    // The constant covers the status, the hash and the lists, so that empty responses count too.
    response.body.len() + headers + 64
}

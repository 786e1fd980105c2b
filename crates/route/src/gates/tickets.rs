//! Tickets: each runs at most once, and a repeat gets the kept answer.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::limits::{RESPONSE_TTL, TICKET_TTL};
use hyssop_core::{Call, Incarnation, Millis, NotRun, Outcome, TeamName, Ticket, Unknown};
use rand::Rng;
use rand::rngs::StdRng;
use xxhash_rust::xxh3::Xxh3;

/// Bits of a nonce below the second of issue; they are random.
const RANDOM_BITS: u32 = 32;
/// Time from issue for which the record of a ticket that ran is kept at least.
const KEEP_RAN: Millis = Millis(TICKET_TTL.0 + RESPONSE_TTL.0);

/// Hash of the parts of a request that must not change under one ticket.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Print(u64);

impl Print {
    /// Computes the hash over team, service, method, path and body. Headers are left out, because
    /// callers and their libraries change some of them on a repeat.
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

/// A ticket in one state of its life; the methods consume it, so that no step can be repeated.
#[derive(Debug)]
struct Life<S> {
    team: TeamName,
    issued: Millis,
    state: S,
}

#[derive(Debug)]
struct Issued;

#[derive(Debug)]
struct Queued(Print);

#[derive(Debug)]
struct Running(Print);

#[derive(Debug)]
struct Finished {
    print: Print,
    outcome: Outcome,
}

#[derive(Debug)]
struct Refused;

impl<S> Life<S> {
    fn with<T>(self, state: T) -> Life<T> {
        Life {
            team: self.team,
            issued: self.issued,
            state,
        }
    }
}

impl Life<Issued> {
    fn queue(self, print: Print) -> Life<Queued> {
        self.with(Queued(print))
    }

    fn refuse(self) -> Life<Refused> {
        self.with(Refused)
    }
}

impl Life<Queued> {
    fn start(self) -> Life<Running> {
        let print = self.state.0;
        self.with(Running(print))
    }

    fn refuse(self) -> Life<Refused> {
        self.with(Refused)
    }
}

impl Life<Running> {
    fn finish(self, outcome: Outcome) -> Life<Finished> {
        let print = self.state.0;
        self.with(Finished { print, outcome })
    }

    /// Marks a ticket as refused that was started but of which nothing was sent.
    fn refuse(self) -> Life<Refused> {
        self.with(Refused)
    }
}

#[derive(Debug)]
enum Record {
    Issued(Life<Issued>),
    Queued(Life<Queued>),
    Running(Life<Running>),
    Finished(Life<Finished>),
    Refused(Life<Refused>),
}

/// What the table says about a ticket that comes with a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Claim {
    /// The first use; the request may be queued.
    First,
    /// The same request waits or runs.
    Pending {
        /// Whether it has been started.
        started: bool,
    },
    /// The same request ended.
    Finished(Outcome),
    /// The request must not run, and none of this ticket has run with these contents.
    NotRun(NotRun),
    /// The record of the ticket is gone.
    Forgotten,
}

/// Table of the tickets of one incarnation of an agent.
#[derive(Debug)]
pub(crate) struct Tickets {
    incarnation: Incarnation,
    rng: StdRng,
    records: BTreeMap<u64, Record>,
    /// Nonces in order of issue.
    issues: VecDeque<(Millis, u64)>,
    /// Nonces in order of their end.
    ends: VecDeque<(Millis, u64)>,
    /// Nonces whose answers are kept, in order of their end.
    answers: VecDeque<(Millis, u64)>,
    bytes: usize,
    max_bytes: usize,
    max_records: usize,
}

impl Tickets {
    /// Creates an empty table.
    pub(crate) fn new(
        incarnation: Incarnation,
        rng: StdRng,
        max_bytes: usize,
        max_records: usize,
    ) -> Self {
        Self {
            incarnation,
            rng,
            records: BTreeMap::new(),
            issues: VecDeque::new(),
            ends: VecDeque::new(),
            answers: VecDeque::new(),
            bytes: 0,
            max_bytes,
            max_records,
        }
    }

    /// Issues up to `count` tickets, fewer when the table fills up.
    pub(crate) fn issue(&mut self, now: Millis, team: &TeamName, count: usize) -> Vec<Ticket> {
        let room = self.max_records.saturating_sub(self.records.len());
        let count = count.min(room);
        (0..count).map(|_| self.issue_one(now, team)).collect()
    }

    fn issue_one(&mut self, now: Millis, team: &TeamName) -> Ticket {
        // The second of issue is part of the nonce. While the records of that second are still
        // kept, the absence of a record proves that the ticket never ran.
        let nonce = loop {
            let low = u64::from(self.rng.random::<u32>());
            let nonce = ((now.0 / 1_000) << RANDOM_BITS) | low;
            if !self.records.contains_key(&nonce) {
                break nonce;
            }
        };
        let life = Life {
            team: team.clone(),
            issued: now,
            state: Issued,
        };
        self.records.insert(nonce, Record::Issued(life));
        self.issues.push_back((now, nonce));
        Ticket {
            incarnation: self.incarnation,
            nonce,
        }
    }

    /// Tells what may be done with a request under a ticket. A ticket that is past its validity
    /// is refused for good.
    pub(crate) fn claim(
        &mut self,
        now: Millis,
        nonce: u64,
        team: &TeamName,
        print: Print,
    ) -> Claim {
        let Some(record) = self.records.get(&nonce) else {
            return Self::absent(now, nonce);
        };
        let pending = |seen: Print, started| match seen == print {
            true => Claim::Pending { started },
            false => Claim::NotRun(NotRun::TicketReused),
        };
        match record {
            Record::Issued(life) if life.team != *team => Claim::NotRun(NotRun::TicketReused),
            Record::Issued(life) if now.since(life.issued) >= TICKET_TTL => {
                self.refuse(now, nonce);
                Claim::NotRun(NotRun::TicketExpired)
            }
            Record::Issued(_) => Claim::First,
            Record::Queued(life) => pending(life.state.0, false),
            Record::Running(life) => pending(life.state.0, true),
            Record::Finished(life) if life.state.print == print => {
                Claim::Finished(life.state.outcome.clone())
            }
            Record::Finished(_) => Claim::NotRun(NotRun::TicketReused),
            Record::Refused(_) => Claim::NotRun(NotRun::TicketRefused),
        }
    }

    fn absent(now: Millis, nonce: u64) -> Claim {
        let second = Millis((nonce >> RANDOM_BITS) * 1_000);
        if second + KEEP_RAN > now {
            Claim::NotRun(NotRun::TicketExpired)
        } else {
            Claim::Forgotten
        }
    }

    /// Marks an issued ticket as waiting to run.
    pub(crate) fn queue(&mut self, nonce: u64, print: Print) {
        self.change(nonce, |record| match record {
            Record::Issued(life) => Record::Queued(life.queue(print)),
            other => other,
        });
    }

    /// Marks a waiting ticket as running.
    pub(crate) fn start(&mut self, nonce: u64) {
        self.change(nonce, |record| match record {
            Record::Queued(life) => Record::Running(life.start()),
            other => other,
        });
    }

    /// Refuses a ticket for good, unless it has ended.
    pub(crate) fn refuse(&mut self, now: Millis, nonce: u64) {
        self.change(nonce, |record| match record {
            Record::Issued(life) => Record::Refused(life.refuse()),
            Record::Queued(life) => Record::Refused(life.refuse()),
            Record::Running(life) => Record::Refused(life.refuse()),
            other => other,
        });
        if let Some(Record::Refused(life)) = self.records.get(&nonce)
            && now.since(life.issued) >= TICKET_TTL
        {
            self.records.remove(&nonce);
        }
    }

    /// Ends a running ticket and keeps its outcome.
    pub(crate) fn finish(&mut self, now: Millis, nonce: u64, outcome: &Outcome) {
        let size = size_of_answer(outcome);
        let fits = size <= self.max_bytes;
        let kept = match fits {
            true => outcome.clone(),
            false => Outcome::Unknown(Unknown::Expired),
        };
        let mut ended = false;
        self.change(nonce, |record| match record {
            Record::Running(life) => {
                ended = true;
                Record::Finished(life.finish(kept))
            }
            other => other,
        });
        if !ended {
            return;
        }
        self.ends.push_back((now, nonce));
        if fits && size > 0 {
            self.bytes += size;
            self.answers.push_back((now, nonce));
            self.trim();
        }
    }

    /// Forgets what is no longer needed.
    pub(crate) fn sweep(&mut self, now: Millis) {
        while let Some(&(issued, nonce)) = self.issues.front() {
            if now.since(issued) < TICKET_TTL {
                break;
            }
            self.issues.pop_front();
            // A ticket that never ran needs no record: without one it is refused as well.
            if let Some(Record::Issued(_) | Record::Refused(_)) = self.records.get(&nonce) {
                self.records.remove(&nonce);
            }
        }
        while let Some(&(ended, nonce)) = self.answers.front() {
            if now.since(ended) < RESPONSE_TTL {
                break;
            }
            self.answers.pop_front();
            self.drop_answer(nonce);
        }
        while let Some(&(ended, nonce)) = self.ends.front() {
            if now.since(ended) < KEEP_RAN {
                break;
            }
            self.ends.pop_front();
            self.records.remove(&nonce);
        }
    }

    /// Returns the time until which an issued and unused ticket may come.
    pub(crate) fn unused_until(&self) -> Option<Millis> {
        let unused = |nonce| matches!(self.records.get(nonce), Some(Record::Issued(_)));
        let last = self.issues.iter().rev().find(|(_, nonce)| unused(nonce));
        last.map(|(issued, _)| *issued + TICKET_TTL)
    }

    /// Returns the number of records.
    pub(crate) fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns the bytes of kept answers.
    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    fn change(&mut self, nonce: u64, step: impl FnOnce(Record) -> Record) {
        if let Some(record) = self.records.remove(&nonce) {
            self.records.insert(nonce, step(record));
        }
    }

    fn trim(&mut self) {
        while self.bytes > self.max_bytes {
            let Some((_, nonce)) = self.answers.pop_front() else {
                return;
            };
            self.drop_answer(nonce);
        }
    }

    /// Replaces a kept answer by the note that it has expired.
    fn drop_answer(&mut self, nonce: u64) {
        if let Some(Record::Finished(life)) = self.records.get_mut(&nonce) {
            self.bytes -= size_of_answer(&life.state.outcome);
            life.state.outcome = Outcome::Unknown(Unknown::Expired);
        }
    }
}

fn size_of_answer(outcome: &Outcome) -> usize {
    let Outcome::Complete(whole) = outcome else {
        return 0;
    };
    let headers = whole.headers.iter();
    let headers: usize = headers.map(|(name, value)| name.len() + value.len()).sum();
    // A constant covers the status, the hash and the lists, so that empty answers count too.
    whole.body.len() + headers + 64
}

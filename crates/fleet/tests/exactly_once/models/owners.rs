//! Owners of the model: their cores, with an equivalent of their driver, the store, and callers.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_fleet::{OrderQueue, OwnerRecord, ReportReply, ReportRequest};
use hyssop_jobs::{
    CallerRequest, CallerResponse, Input, JobId, JobState, Output, Owner, OwnerOptions, Record,
};
use rand::Rng;

use super::workers::CLOCK_ORIGIN;
use super::{Event, Model};

/// Maximum time that a report waits for orders.
const MAX_ORDERS_WAIT: Millis = Millis(400);
/// Maximum interval between ticks of an owner.
const TICK_MS: u64 = 50;
/// Bits of a session number below the epoch.
const SESSION_BITS: u32 = 20;
/// Interval of renewals.
const RENEWAL_MS: u64 = 500;
/// Delay before a call to the store is repeated.
const RETRY_MS: u64 = 150;
/// Number of entries that may own the jobs.
pub(crate) const ENTRIES: usize = 3;

/// Store of the model.
#[derive(Debug, Default)]
pub(crate) struct Store {
    pub(crate) owner: Option<OwnerRecord>,
    /// Epoch that fences earlier writers of the jobs' topic.
    fenced_below: u64,
    records: BTreeMap<String, Vec<u8>>,
    /// Time until which no call succeeds.
    pub(crate) away_until: u64,
    /// Time until which writes of jobs do not succeed, while other calls do.
    pub(crate) writes_away_until: u64,
}

/// Event for an owner.
#[derive(Clone, Debug)]
pub(crate) enum OwnerEvent {
    Report(u64, Box<ReportRequest>),
    Core(Input),
}

/// Process of an owner in one epoch.
#[derive(Debug)]
pub(crate) struct OwnerProcess {
    pub(crate) epoch: u64,
    pub(crate) entry: usize,
    owner: Option<Owner>,
    sessions: HashMap<u64, Session>,
    next_session: u64,
    requests: HashMap<u64, JobId>,
    next_request: u64,
    inbox: Vec<OwnerEvent>,
    writes: VecDeque<(u64, Vec<Record>)>,
    is_writing: bool,
    pub(crate) frozen_until: u64,
    /// Time until which the process cannot reach the store.
    pub(crate) cut_until: u64,
}

/// Session of an agent.
#[derive(Debug, Default)]
struct Session {
    orders: OrderQueue,
    acknowledged: u64,
    notified: u64,
    pending: Option<PendingReport>,
}

#[derive(Clone, Copy, Debug)]
struct PendingReport {
    id: u64,
    is_lease_renewed: bool,
    reply_at: Millis,
}

impl Session {
    /// Returns the reply to a report, as the owner's driver builds it.
    fn reply(&mut self, session: u64, report: PendingReport) -> ReportReply {
        self.notified = self.acknowledged;
        ReportReply {
            is_owner: true,
            epoch: session >> SESSION_BITS,
            session: Some(session),
            is_lease_renewed: report.is_lease_renewed,
            orders: self.orders.next_batch(),
            acknowledged_end: self.acknowledged,
        }
    }
}

impl OwnerProcess {
    fn plain_reply(&self, session: Option<u64>) -> ReportReply {
        ReportReply {
            is_owner: true,
            epoch: self.epoch,
            session,
            ..ReportReply::default()
        }
    }

    /// Handles a report as the driver does. Returns the reply if there is one at once.
    fn on_report(
        &mut self,
        id: u64,
        request: ReportRequest,
        inputs: &mut Vec<Input>,
        waiting: &mut Vec<(u64, u64)>,
    ) -> Option<ReportReply> {
        let Some(session) = request.session else {
            let Some(worker) = request.worker else {
                return Some(self.plain_reply(None));
            };
            self.next_session += 1;
            let session = self.next_session;
            self.sessions.insert(session, Session::default());
            inputs.push(Input::Attach { session, worker });
            return Some(self.plain_reply(Some(session)));
        };
        let Some(entry) = self.sessions.get_mut(&session) else {
            return Some(self.plain_reply(None));
        };
        entry.orders.acknowledge(request.applied_order);
        if let Some(worker) = request.worker {
            inputs.push(Input::WorkerChanged { session, worker });
        }
        let report = request.report;
        inputs.push(Input::Report { session, report });
        waiting.push((session, id));
        None
    }
}

impl Model {
    /// Lets an entry claim the ownership. It loads the jobs once it reaches the store.
    pub(crate) fn claim(&mut self, entry: usize) {
        let epoch = self.store.owner.as_ref().map_or(0, |owner| owner.epoch);
        let epoch = epoch + self.rng.random_range(1..4);
        self.store.owner = Some(OwnerRecord {
            node: format!("front-{entry}").into(),
            incarnation: 1,
            address: SocketAddr::from(([10, 0, 1, 1], entry as u16)),
            epoch,
            has_resigned: false,
        });
        self.owners.retain(|process| process.entry != entry);
        self.owners.push(OwnerProcess {
            epoch,
            entry,
            owner: None,
            sessions: HashMap::new(),
            next_session: epoch << SESSION_BITS,
            requests: HashMap::new(),
            next_request: 0,
            inbox: Vec::new(),
            writes: VecDeque::new(),
            is_writing: false,
            frozen_until: 0,
            cut_until: 0,
        });
        self.judge
            .note_all(self.now, &format!("entry {entry} claims epoch {epoch}"));
        let delay = self.rng.random_range(5..100);
        self.schedule(delay, Event::OwnerLoads(epoch, self.now));
    }

    pub(super) fn owner_index(&self, epoch: u64) -> Option<usize> {
        let mut owners = self.owners.iter();
        owners.position(|process| process.epoch == epoch)
    }

    pub(super) fn on_owner_loads(&mut self, epoch: u64, acquired_at: u64) {
        let now = self.now;
        let Some(index) = self.owner_index(epoch) else {
            return;
        };
        if self.store.fenced_below > epoch {
            return;
        }
        let resumes_at = self.owners[index].frozen_until;
        let retry_at = self
            .store
            .away_until
            .max(self.store.writes_away_until)
            .max(resumes_at)
            .max(self.owners[index].cut_until);
        if retry_at > now {
            self.schedule(retry_at - now, Event::OwnerLoads(epoch, acquired_at));
            return;
        }
        self.store.fenced_below = epoch;
        let stored = self.store.records.clone().into_iter().collect();
        let options = OwnerOptions {
            epoch,
            acquired_at: Millis(acquired_at),
            clock_origin: CLOCK_ORIGIN,
            max_lease: Millis(self.options.max_lease_ms),
            max_record_bytes: 262_143,
        };
        let (owner, errors) = Owner::new(Millis(now), options, &stored);
        assert!(errors.is_empty(), "{errors:?}");
        self.owners[index].owner = Some(owner);
        let text = format!("owner of epoch {epoch} has loaded the jobs");
        self.judge.note_all(now, &text);
        let policy = Input::Policy(Arc::new(self.policy.clone()));
        self.owners[index].inbox.push(OwnerEvent::Core(policy));
        self.schedule(0, Event::OwnerTick(epoch));
        self.schedule(1, Event::Renew(epoch));
    }

    /// Renews an ownership. An owner that was replaced ends.
    pub(super) fn on_renew(&mut self, epoch: u64) {
        let now = self.now;
        let Some(index) = self.owner_index(epoch) else {
            return;
        };
        let process = &self.owners[index];
        if now < process.frozen_until {
            self.schedule(process.frozen_until - now + 1, Event::Renew(epoch));
        } else if now < process.cut_until.max(self.store.away_until) {
            self.schedule(RETRY_MS, Event::Renew(epoch));
        } else if self.store.owner.as_ref().map(|owner| owner.epoch) != Some(epoch) {
            self.end_owner(epoch, "was replaced");
        } else {
            let delay = match self.rng.random_bool(self.rates.store_slow) {
                true => self.rng.random_range(100..900),
                false => self.rng.random_range(4..20),
            };
            let input = Input::OwnershipRenewed(Millis(now));
            self.schedule(delay, Event::OwnerInput(epoch, OwnerEvent::Core(input)));
            self.schedule(RENEWAL_MS.max(delay), Event::Renew(epoch));
        }
    }

    pub(crate) fn end_owner(&mut self, epoch: u64, reason: &str) {
        self.owners.retain(|process| process.epoch != epoch);
        let text = format!("owner of epoch {epoch} ends: {reason}");
        self.judge.note_all(self.now, &text);
    }

    pub(super) fn on_report(&mut self, entry: usize, id: u64, request: Box<ReportRequest>) {
        let process = self.owners.iter().find(|process| process.entry == entry);
        match process.map(|process| process.epoch) {
            Some(epoch) => self.on_owner_input(epoch, OwnerEvent::Report(id, request)),
            None => self.reply(id, ReportReply::default()),
        }
    }

    fn reply(&mut self, id: u64, reply: ReportReply) {
        let Some(host) = self.report_host(id) else {
            return;
        };
        if let Some(delay) = self.draw_report_delay(host) {
            self.schedule(delay, Event::ReportEnds(id, Some(Box::new(reply))));
        }
    }

    pub(super) fn on_owner_input(&mut self, epoch: u64, event: OwnerEvent) {
        let now = self.now;
        let Some(index) = self.owner_index(epoch) else {
            return;
        };
        let process = &mut self.owners[index];
        process.inbox.push(event);
        if process.owner.is_some() && now >= process.frozen_until {
            self.tick_owner(index);
        }
    }

    pub(super) fn on_owner_tick(&mut self, epoch: u64) {
        let now = self.now;
        let Some(index) = self.owner_index(epoch) else {
            return;
        };
        let frozen_until = self.owners[index].frozen_until;
        if now < frozen_until {
            self.schedule(frozen_until - now, Event::OwnerTick(epoch));
            return;
        }
        self.schedule(TICK_MS, Event::OwnerTick(epoch));
        self.tick_owner(index);
    }

    fn tick_owner(&mut self, index: usize) {
        let now = Millis(self.now);
        let process = &mut self.owners[index];
        let epoch = process.epoch;
        let (mut inputs, mut waiting, mut replies) = (Vec::new(), Vec::new(), Vec::new());
        for event in std::mem::take(&mut process.inbox) {
            match event {
                OwnerEvent::Core(input) => inputs.push(input),
                OwnerEvent::Report(id, request) => {
                    if let (None, Some(info)) = (request.session, &request.worker) {
                        self.judge.open_session(process.next_session + 1, info);
                    }
                    let reply = process.on_report(id, *request, &mut inputs, &mut waiting);
                    replies.extend(reply.map(|reply| (id, reply)));
                }
            }
        }
        let Some(owner) = &mut process.owner else {
            return;
        };
        let outputs = owner.tick(now, inputs);
        for output in outputs {
            let closed = self.execute_owner(index, output);
            replies.extend(closed);
        }
        let process = &mut self.owners[index];
        for (session, id) in waiting {
            let Some(owner) = &mut process.owner else {
                continue;
            };
            let is_lease_renewed = owner.renew_lease(now, session);
            let Some(entry) = process.sessions.get_mut(&session) else {
                replies.push((id, process.plain_reply(None)));
                continue;
            };
            let report = PendingReport {
                id,
                is_lease_renewed,
                reply_at: now + MAX_ORDERS_WAIT,
            };
            if let Some(previous) = entry.pending.replace(report) {
                replies.push((previous.id, entry.reply(session, previous)));
            }
        }
        for (&session, entry) in &mut process.sessions {
            let has_updates = !entry.orders.is_empty() || entry.acknowledged > entry.notified;
            let is_due = |report: &PendingReport| has_updates || now >= report.reply_at;
            if entry.pending.as_ref().is_some_and(is_due)
                && let Some(report) = entry.pending.take()
            {
                replies.push((report.id, entry.reply(session, report)));
            }
        }
        // The order of the sessions in their table differs between processes of the test.
        replies.sort_by_key(|(id, _)| *id);
        for (id, reply) in replies {
            self.reply(id, reply);
        }
        self.start_write(epoch);
    }

    /// Carries out an output. Returns the reply to the report of a session that is closed.
    fn execute_owner(&mut self, index: usize, output: Output) -> Option<(u64, ReportReply)> {
        let now = self.now;
        let process = &mut self.owners[index];
        match output {
            Output::Write { number, records } => process.writes.push_back((number, records)),
            Output::Response(request, response) => {
                let job = process.requests.remove(&request);
                self.on_caller_response(job, &response);
            }
            Output::Orders { session, orders } => {
                let entry = process.sessions.get_mut(&session)?;
                for order in orders {
                    entry
                        .orders
                        .push(order)
                        .expect("orders of the model are small");
                }
            }
            Output::Acknowledge { session, number } => {
                if let Some(entry) = process.sessions.get_mut(&session) {
                    entry.acknowledged = number;
                }
            }
            Output::CloseSession(session) => {
                let entry = process.sessions.remove(&session)?;
                let report = entry.pending?;
                return Some((report.id, process.plain_reply(None)));
            }
            Output::Log(text) => {
                let epoch = process.epoch;
                self.judge.log_owner(now, epoch, &text);
            }
            _ => {}
        }
        None
    }

    fn start_write(&mut self, epoch: u64) {
        let Some(index) = self.owner_index(epoch) else {
            return;
        };
        let process = &mut self.owners[index];
        if process.is_writing {
            return;
        }
        let Some((number, records)) = process.writes.pop_front() else {
            return;
        };
        process.is_writing = true;
        let delay = match self.rng.random_bool(self.rates.store_slow) {
            true => self.rng.random_range(100..2_000),
            false => self.rng.random_range(4..15),
        };
        self.schedule(delay, Event::Store(epoch, number, records));
    }

    /// Applies a write of an owner, unless a later owner has fenced it.
    pub(super) fn on_store(&mut self, epoch: u64, number: u64, records: Vec<Record>) {
        let now = self.now;
        if self.store.fenced_below > epoch {
            return;
        }
        let index = self.owner_index(epoch);
        let cut_until = index.map_or(0, |index| self.owners[index].cut_until);
        let away_until = self.store.away_until.max(self.store.writes_away_until);
        if now < away_until.max(cut_until) {
            self.schedule(RETRY_MS, Event::Store(epoch, number, records));
            return;
        }
        for record in records {
            let key = record.key.text();
            match record.value {
                Some(value) => self.store.records.insert(key, value),
                None => self.store.records.remove(&key),
            };
        }
        if let Some(index) = index {
            self.owners[index].is_writing = false;
            let delay = self.rng.random_range(1..10);
            let input = OwnerEvent::Core(Input::WriteCompleted(number));
            self.schedule(delay, Event::OwnerInput(epoch, input));
        }
    }

    /// Submits jobs that are not accepted, and asks for those that have not ended.
    pub(super) fn on_callers(&mut self) {
        self.schedule(500, Event::Callers);
        let Some(epoch) = self.store.owner.as_ref().map(|owner| owner.epoch) else {
            return;
        };
        let Some(index) = self.owner_index(epoch) else {
            return;
        };
        let mut inputs = Vec::new();
        let process = &mut self.owners[index];
        if process.owner.is_none() {
            return;
        }
        for (&id, job) in self.jobs.iter().filter(|(_, job)| !job.is_ended) {
            process.next_request += 1;
            process.requests.insert(process.next_request, id);
            let request = match job.is_accepted {
                true if job.is_cancelled => CallerRequest::Cancel(id),
                true => CallerRequest::Show(id),
                false => CallerRequest::Submit {
                    job: id,
                    rule: job.rule.clone(),
                    spec: job.spec.clone(),
                },
            };
            inputs.push(Input::Request(process.next_request, request));
        }
        process
            .inbox
            .extend(inputs.into_iter().map(OwnerEvent::Core));
    }

    fn on_caller_response(&mut self, job: Option<JobId>, response: &CallerResponse) {
        let Some((id, job)) = job.and_then(|id| Some((id, self.jobs.get_mut(&id)?))) else {
            return;
        };
        match response {
            CallerResponse::Accepted => job.is_accepted = true,
            CallerResponse::State(JobState::Complete) if !job.is_ended => {
                job.is_ended = true;
                self.judge.complete(self.now, id, &job.spec);
            }
            CallerResponse::State(JobState::Failed) if !job.is_ended => {
                job.is_ended = true;
                self.judge.fail(self.now, id, &job.spec);
            }
            CallerResponse::Cancelled | CallerResponse::State(JobState::Cancelled) => {
                job.is_ended = true;
            }
            _ => {}
        }
    }
}

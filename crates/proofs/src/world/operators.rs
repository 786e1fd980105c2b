//! Operators that repeat a change until it is accepted, the ticks of the callers, and planned
//! stops.

use hyssop_conf::ApplyOutcome;
use hyssop_core::{
    CellId, ConfRecord, ConfView, Connectivity, DomainName, DomainState, JobSpec, Millis, Outcome,
    RecordId, ServiceDoc, Version,
};

use super::agents::Effects;
use super::callers::{JobClient, RequestClient, Stage};
use super::nodes::{Message, Node};
use super::{REQUEST_INTERVAL, World};
use crate::invariants::Observation;

/// Time after which an operator submits a change again through another entry.
const RETRY_INTERVAL: Millis = Millis(3_000);

/// Time between a requested planned stop of an agent and its restart.
const RESTART_DELAY: Millis = Millis(2_000);

/// The configuration that an operator requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DesiredState {
    /// State of a failure domain.
    Domain(DomainName, DomainState),
    /// Document of a service.
    Doc(ServiceDoc),
}

impl DesiredState {
    fn is_active(&self, view: &ConfView) -> bool {
        match self {
            Self::Domain(domain, state) => view.domain(domain) == *state,
            Self::Doc(doc) => view.doc(&doc.service) == Some(doc),
        }
    }

    fn record(&self, view: &ConfView) -> ConfRecord {
        match self {
            Self::Domain(domain, state) => ConfRecord::Domain {
                domain: domain.clone(),
                base: view.domains.get(domain).map_or(Version(0), |(v, _)| *v),
                state: *state,
                domains_version: view.domains_version(),
            },
            Self::Doc(doc) => ConfRecord::Put {
                base: view
                    .docs
                    .get(&doc.service)
                    .map_or(Version(0), |d| d.version),
                doc: doc.clone(),
            },
        }
    }
}

/// A change that an operator submits until it is accepted.
#[derive(Debug)]
pub(crate) struct Goal {
    desired: DesiredState,
    entry: usize,
    last_tried_at: Option<Millis>,
    is_done: bool,
}

impl World {
    /// Lets an operator submit a change until it is accepted, first through the given entry.
    /// Replaces an earlier request for the same domain.
    pub fn request_change(&mut self, desired: DesiredState, entry: usize) {
        self.goals.retain(|goal| match (&goal.desired, &desired) {
            (DesiredState::Domain(old, _), DesiredState::Domain(new, _)) => old != new,
            _ => true,
        });
        self.goals.push(Goal {
            desired,
            entry,
            last_tried_at: None,
            is_done: false,
        });
    }

    /// Lets two operators submit conflicting changes of one domain at once, through two entries and
    /// with the same base version. Returns the entries and records, or `None` if fewer than two
    /// entries accept changes.
    pub fn race_domain_changes(&mut self, domain: &DomainName) -> Option<[(usize, RecordId); 2]> {
        let ready_entries: Vec<usize> = (0..self.entries.len())
            .filter(|n| self.can_accept_change(*n))
            .collect();
        let [first, second, ..] = ready_entries[..] else {
            return None;
        };
        let view = (**self.entries[first].conf.store.view()).clone();
        let mut submit = |n: usize, state| {
            let record = DesiredState::Domain(domain.clone(), state).record(&view);
            (n, self.entries[n].conf.submit(record))
        };
        let out = submit(first, DomainState::Out);
        Some([out, submit(second, DomainState::In)])
    }

    /// Lets an operator submit a document to an entry once. Returns its record, or `None` if the
    /// entry doesn't accept changes.
    pub fn submit_doc(&mut self, entry: usize, doc: &ServiceDoc) -> Option<RecordId> {
        if !self.can_accept_change(entry) {
            return None;
        }
        let store = &mut self.entries[entry].conf;
        let view = (**store.store.view()).clone();
        Some(store.submit(DesiredState::Doc(doc.clone()).record(&view)))
    }

    /// Returns whether the log holds exactly this document as the current one.
    #[must_use]
    pub fn is_doc_active(&self, doc: &ServiceDoc) -> bool {
        DesiredState::Doc(doc.clone()).is_active(self.reference.view())
    }

    /// Returns the outcome that an entry's store computed for a record, or `None` if it hasn't read
    /// it.
    #[must_use]
    pub fn change_outcome(&self, entry: usize, id: RecordId) -> Option<ApplyOutcome> {
        self.entries[entry].conf.outcomes.get(&id).cloned()
    }

    /// Returns whether an entry may accept a change from an operator.
    fn can_accept_change(&self, n: usize) -> bool {
        let node = Node::Entry(n);
        let entry = &self.entries[n];
        let is_running = !self.down.contains(&node) && !self.frozen.contains_key(&node);
        let is_complete = entry.conf.store.is_complete();
        let is_confirmed = entry.connectivity(self.now) == Connectivity::Confirmed;
        is_running && is_complete && is_confirmed && entry.peers.has_majority(self.now)
    }

    pub(crate) fn tick_operators(&mut self) {
        for at in 0..self.goals.len() {
            let goal = &self.goals[at];
            self.report_domain_state(&goal.desired.clone());
            let goal = &self.goals[at];
            let is_active = goal.desired.is_active(self.reference.view());
            let is_due = goal
                .last_tried_at
                .is_none_or(|tried| self.now.since(tried) >= RETRY_INTERVAL);
            if is_active {
                self.goals[at].is_done = true;
            } else if is_due {
                self.try_goal(at);
            }
        }
    }

    /// Reports the requested state of a domain to an operator, if it is current and an entry can
    /// confirm it.
    fn report_domain_state(&mut self, desired: &DesiredState) {
        let DesiredState::Domain(domain, state) = desired else {
            return;
        };
        let shows = |n: usize| desired.is_active(self.entries[n].conf.store.view());
        let mut entries = 0..self.entries.len();
        let current = desired.is_active(self.reference.view());
        if current && entries.any(|n| self.can_accept_change(n) && shows(n)) {
            self.observe(&Observation::DomainReported {
                domain: domain.clone(),
                state: *state,
            });
        }
    }

    fn try_goal(&mut self, at: usize) {
        let count = self.entries.len();
        let goal = &mut self.goals[at];
        let entry = goal.entry % count;
        goal.entry += 1;
        goal.is_done = false;
        let desired = goal.desired.clone();
        if self.can_accept_change(entry) {
            self.goals[at].last_tried_at = Some(self.now);
            let store = &mut self.entries[entry].conf;
            let view = (**store.store.view()).clone();
            store.submit(desired.record(&view));
        }
    }

    /// Returns whether all changes requested by operators are accepted.
    #[must_use]
    pub fn are_goals_met(&self) -> bool {
        self.goals
            .iter()
            .all(|goal| goal.is_done && goal.desired.is_active(self.reference.view()))
    }

    /// Lets a caller submit a job to a cell.
    pub fn submit_job(&mut self, spec: JobSpec, cell: &CellId) {
        self.jobs.push(JobClient::new(spec, cell.clone()));
    }

    /// Lets the caller of a job cancel it.
    pub fn cancel_job(&mut self, job: &str) {
        let jobs = self.jobs.iter_mut();
        for client in jobs.filter(|client| client.spec.id.as_str() == job) {
            client.stage = Stage::Cancel;
        }
    }

    /// Returns the stage of a job's caller, or `None` if no such job was submitted.
    #[must_use]
    pub fn job_stage(&self, job: &str) -> Option<Stage> {
        let mut jobs = self.jobs.iter();
        let client = jobs.find(|client| client.spec.id.as_str() == job)?;
        Some(client.stage)
    }

    /// Returns the jobs whose callers are not done, with their stages.
    #[must_use]
    pub fn waiting_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter().filter(|job| job.stage != Stage::Done);
        jobs.map(|job| format!("{} ({:?})", job.spec.id, job.stage))
            .collect()
    }

    /// Starts a request through an entry and returns the number of the request.
    pub fn start_request(&mut self, is_idempotent: bool, entry: usize) -> u64 {
        self.last_request += 1;
        let client = RequestClient::new(self.last_request, is_idempotent, entry);
        self.requests.push(client);
        self.last_request
    }

    /// Starts a request that is sent through two entries at once under one ticket, `hold_ms` from
    /// now at the earliest. Returns the number of the request.
    pub fn start_duplicated_request(&mut self, entry: usize, hold_ms: u64) -> u64 {
        let number = self.start_request(false, entry);
        if let Some(client) = self.requests.last_mut() {
            client.uses_two_entries = true;
            client.hold_until = self.now + Millis(hold_ms);
        }
        number
    }

    /// Returns the outcome of a request, or `None` while its caller still tries.
    #[must_use]
    pub fn outcome(&self, number: u64) -> Option<&Outcome> {
        let mut requests = self.requests.iter();
        let client = requests.find(|client| client.number == number)?;
        client.outcome.as_ref().filter(|_| client.has_ended)
    }

    pub(crate) fn tick_callers(&mut self) {
        let is_due = self
            .last_load_at
            .is_none_or(|at| self.now.since(at) >= REQUEST_INTERVAL);
        if self.has_load && is_due {
            self.last_load_at = Some(self.now);
            let entry = usize::try_from(self.last_request).unwrap_or(0) / 2;
            self.start_request(true, entry);
            self.start_request(false, entry);
        }
        let count = self.entries.len();
        let mut messages = Vec::new();
        for client in &mut self.jobs {
            messages.extend(client.tick(self.now, &mut self.last_rpc, count));
        }
        let mut observations = Vec::new();
        for client in self.requests.iter_mut().filter(|client| !client.has_ended) {
            let (sent, obs) = client.tick(self.now, &mut self.last_rpc, count);
            messages.extend(sent);
            observations.extend(obs);
        }
        for obs in &observations {
            self.observe(obs);
        }
        for message in messages {
            self.send_from_caller(&message);
        }
    }

    fn send_from_caller(&mut self, message: &Message) {
        if let super::Body::Request(request) = &message.body {
            self.request_by_rpc.insert(message.rpc, request.number);
        }
        self.send(message);
    }

    pub(crate) fn deliver_reply(&mut self, message: &Message) {
        let (rpc, body) = (message.rpc, &message.body);
        if let super::Body::JobReply(_) | super::Body::Refused = body {
            for at in 0..self.jobs.len() {
                match self.jobs[at].handle_reply(self.now, rpc, body) {
                    Ok(Some(obs)) => self.observe(&obs),
                    Ok(None) => {}
                    Err(text) => self.client_errors.push(text),
                }
            }
        }
        let number = self.request_by_rpc.get(&rpc).copied();
        let requests = self.requests.iter_mut();
        let client = requests
            .rev()
            .find(|client| client.pending_rpc == Some(rpc) || Some(client.number) == number);
        if let Some(obs) = client.and_then(|client| client.handle_reply(rpc, body)) {
            self.observe(&obs);
        }
    }

    /// Stops an agent if its domain is out of service or its stop was requested, and nothing is in
    /// flight.
    pub(crate) fn finish_planned_stop(&mut self, n: usize) {
        let domain = &self.agents[n].domain;
        let is_leaving = self.leaving.contains(&n);
        let should_stop = is_leaving || self.reference.view().domain(domain) == DomainState::Out;
        let has_left = self.agents[n].member_state() == hyssop_core::MemberState::Leaving;
        let is_ready = self.agents[n].can_stop(self.now) || self.skips_stop_wait && has_left;
        if should_stop && is_ready {
            self.down.insert(Node::Agent(n));
            if self.leaving.remove(&n) {
                self.schedule(
                    self.now + RESTART_DELAY,
                    super::Event::Restart(Node::Agent(n)),
                );
            } else {
                self.planned_stops.insert(n);
            }
            let agent = self.agents[n].name.clone();
            self.observe(&Observation::ServerStopped {
                agent,
                is_planned: true,
            });
        }
    }

    /// Restarts the agents of domains that are back in service.
    pub(crate) fn restart_returned_agents(&mut self) {
        for n in self.planned_stops.clone() {
            if self.reference.view().domain(&self.agents[n].domain) == DomainState::In {
                self.planned_stops.remove(&n);
                self.restart(Node::Agent(n));
            }
        }
    }

    /// Starts the planned stop of an entry.
    pub fn shut_down_entry(&mut self, entry: usize) {
        let drivers = self.entries[entry].cells.values_mut();
        drivers.for_each(|driver| driver.inputs.push(hyssop_plan::Input::Shutdown));
    }

    /// Returns whether an entry has given up all cells after the start of its planned stop.
    #[must_use]
    pub fn has_shut_down(&self, entry: usize) -> bool {
        let mut drivers = self.entries[entry].cells.values();
        drivers.all(|driver| driver.has_stopped)
    }

    /// Returns whether a process is not down; a frozen process counts as running.
    #[must_use]
    pub fn is_running(&self, node: Node) -> bool {
        !self.down.contains(&node)
    }

    /// Starts the planned stop of an agent, which restarts `RESTART_DELAY` after it has stopped.
    pub fn stop_agent(&mut self, n: usize) {
        self.leaving.insert(n);
        let mut effects = Effects::default();
        self.agents[n].leave(self.now, &mut self.last_rpc, &mut effects);
        let agent = self.agents[n].name.clone();
        self.observe(&Observation::ServerLeaving {
            agent,
            is_leaving: true,
        });
        self.apply_effects(effects);
    }
}

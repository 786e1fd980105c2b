//! Operators who insist on a change, the callers' turn, and planned stops of agents.

use hyssop_conf::Applied;
use hyssop_core::{
    CellId, ConfRecord, ConfView, Connectivity, DomainName, DomainState, JobSpec, Millis, Outcome,
    RecordId, ServiceDoc, Version,
};

use super::agents::Effects;
use super::callers::{JobClient, RequestClient, Stage};
use super::nodes::{Message, Node};
use super::{REQUESTS, World};
use crate::invariants::Obs;

/// Time after which an operator tries again through another entry.
const TRY: Millis = Millis(3_000);

/// Time for which an agent is away whose process alone was to stop.
const AWAY: Millis = Millis(2_000);

/// What an operator wants to be in force.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Wanted {
    /// State of a domain.
    Domain(DomainName, DomainState),
    /// A document.
    Doc(ServiceDoc),
}

impl Wanted {
    fn holds(&self, view: &ConfView) -> bool {
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

/// A change that an operator insists on.
#[derive(Debug)]
pub(crate) struct Goal {
    wanted: Wanted,
    entry: usize,
    tried: Option<Millis>,
    done: bool,
}

impl World {
    /// Lets an operator insist on a change, first through the given entry.
    pub fn want(&mut self, wanted: Wanted, entry: usize) {
        self.goals.retain(|goal| match (&goal.wanted, &wanted) {
            (Wanted::Domain(old, _), Wanted::Domain(new, _)) => old != new,
            _ => true,
        });
        self.goals.push(Goal {
            wanted,
            entry,
            tried: None,
            done: false,
        });
    }

    /// Lets two operators make different changes of one domain at once, through two entries that
    /// see the same version. Returns their records.
    pub fn race(&mut self, domain: &DomainName) -> Option<[(usize, RecordId); 2]> {
        let able: Vec<usize> = (0..self.entries.len())
            .filter(|n| self.may_accept(*n))
            .collect();
        let [first, second, ..] = able[..] else {
            return None;
        };
        let view = (**self.entries[first].conf.store.view()).clone();
        let mut submit = |n: usize, state| {
            let record = Wanted::Domain(domain.clone(), state).record(&view);
            (n, self.entries[n].conf.submit(record))
        };
        let out = submit(first, DomainState::Out);
        Some([out, submit(second, DomainState::In)])
    }

    /// Lets an operator send a document to an entry once. Returns its record, or `None` if the entry
    /// does not accept it.
    pub fn edit(&mut self, entry: usize, doc: &ServiceDoc) -> Option<RecordId> {
        if !self.may_accept(entry) {
            return None;
        }
        let store = &mut self.entries[entry].conf;
        let view = (**store.store.view()).clone();
        Some(store.submit(Wanted::Doc(doc.clone()).record(&view)))
    }

    /// Tells whether a document is in force.
    #[must_use]
    pub fn holds_doc(&self, doc: &ServiceDoc) -> bool {
        Wanted::Doc(doc.clone()).holds(self.reference.view())
    }

    /// Returns what an entry's store decided on one of its records.
    #[must_use]
    pub fn decision(&self, entry: usize, id: RecordId) -> Option<Applied> {
        self.entries[entry].conf.decided.get(&id).cloned()
    }

    /// Tells whether an entry may accept a change from an operator.
    fn may_accept(&self, n: usize) -> bool {
        let node = Node::Entry(n);
        let entry = &self.entries[n];
        let runs = !self.down.contains(&node) && !self.frozen.contains_key(&node);
        let whole = entry.conf.store.is_whole();
        let proved = entry.standing(self.now) == Connectivity::Confirmed;
        runs && whole && proved && entry.peers.majority(self.now)
    }

    pub(crate) fn tick_operators(&mut self) {
        for at in 0..self.goals.len() {
            let goal = &self.goals[at];
            self.tell(&goal.wanted.clone());
            let goal = &self.goals[at];
            let settled = goal.wanted.holds(self.reference.view());
            let due = goal.tried.is_none_or(|tried| self.now.since(tried) >= TRY);
            if settled {
                self.goals[at].done = true;
            } else if due {
                self.try_goal(at);
            }
        }
    }

    /// Tells an operator the state of a domain, if an entry may do so now.
    fn tell(&mut self, wanted: &Wanted) {
        let Wanted::Domain(domain, state) = wanted else {
            return;
        };
        let shows = |n: usize| wanted.holds(self.entries[n].conf.store.view());
        let mut entries = 0..self.entries.len();
        let current = wanted.holds(self.reference.view());
        if current && entries.any(|n| self.may_accept(n) && shows(n)) {
            self.see(&Obs::DomainTold {
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
        goal.done = false;
        let wanted = goal.wanted.clone();
        if self.may_accept(entry) {
            self.goals[at].tried = Some(self.now);
            let store = &mut self.entries[entry].conf;
            let view = (**store.store.view()).clone();
            store.submit(wanted.record(&view));
        }
    }

    /// Tells whether everything that operators want is accepted.
    #[must_use]
    pub fn are_goals_met(&self) -> bool {
        self.goals
            .iter()
            .all(|goal| goal.done && goal.wanted.holds(self.reference.view()))
    }

    /// Lets a caller submit a job to a cell.
    pub fn submit(&mut self, spec: JobSpec, cell: &CellId) {
        self.jobs.push(JobClient::new(spec, cell.clone()));
    }

    /// Lets the caller of a job cancel it.
    pub fn cancel(&mut self, job: &str) {
        let jobs = self.jobs.iter_mut();
        for client in jobs.filter(|client| client.spec.id.as_str() == job) {
            client.stage = Stage::Cancel;
        }
    }

    /// Returns how far the caller of a job is.
    #[must_use]
    pub fn stage(&self, job: &str) -> Option<Stage> {
        let mut jobs = self.jobs.iter();
        let client = jobs.find(|client| client.spec.id.as_str() == job)?;
        Some(client.stage)
    }

    /// Returns the jobs whose callers still wait.
    #[must_use]
    pub fn waiting_jobs(&self) -> Vec<String> {
        let jobs = self.jobs.iter().filter(|job| job.stage != Stage::Done);
        jobs.map(|job| format!("{} ({:?})", job.spec.id, job.stage))
            .collect()
    }

    /// Starts a request through an entry and returns its number.
    pub fn request(&mut self, idempotent: bool, entry: usize) -> u64 {
        self.numbers += 1;
        let client = RequestClient::new(self.numbers, idempotent, entry);
        self.requests.push(client);
        self.numbers
    }

    /// Starts a request with a ticket that is used through two entries at once, after a while.
    pub fn eager_request(&mut self, entry: usize, hold: u64) -> u64 {
        let number = self.request(false, entry);
        if let Some(client) = self.requests.last_mut() {
            client.eager = true;
            client.hold = self.now + Millis(hold);
        }
        number
    }

    /// Returns the outcome of a request, if its caller has it.
    #[must_use]
    pub fn outcome(&self, number: u64) -> Option<&Outcome> {
        let mut requests = self.requests.iter();
        let client = requests.find(|client| client.number == number)?;
        client.outcome.as_ref().filter(|_| client.ended)
    }

    pub(crate) fn tick_callers(&mut self) {
        let due = self.asked.is_none_or(|at| self.now.since(at) >= REQUESTS);
        if self.load && due {
            self.asked = Some(self.now);
            let entry = usize::try_from(self.numbers).unwrap_or(0) / 2;
            self.request(true, entry);
            self.request(false, entry);
        }
        let count = self.entries.len();
        let mut sent = Vec::new();
        for client in &mut self.jobs {
            sent.extend(client.tick(self.now, &mut self.rpc, count));
        }
        let mut seen = Vec::new();
        for client in self.requests.iter_mut().filter(|client| !client.ended) {
            let (messages, obs) = client.tick(self.now, &mut self.rpc, count);
            sent.extend(messages);
            seen.extend(obs);
        }
        for obs in &seen {
            self.see(obs);
        }
        for message in sent {
            self.sent_by_caller(&message);
        }
    }

    fn sent_by_caller(&mut self, message: &Message) {
        if let super::Body::Ask(asked) = &message.body {
            self.uses.insert(message.rpc, asked.request);
        }
        self.send(message);
    }

    pub(crate) fn answer_caller(&mut self, message: &Message) {
        let (rpc, body) = (message.rpc, &message.body);
        if let super::Body::JobDone(_) | super::Body::Refused = body {
            for at in 0..self.jobs.len() {
                match self.jobs[at].answered(self.now, rpc, body) {
                    Ok(Some(obs)) => self.see(&obs),
                    Ok(None) => {}
                    Err(text) => self.trouble.push(text),
                }
            }
        }
        let owner = self.uses.get(&rpc).copied();
        let requests = self.requests.iter_mut();
        let client = requests
            .rev()
            .find(|client| client.rpc == Some(rpc) || Some(client.number) == owner);
        if let Some(obs) = client.and_then(|client| client.answered(rpc, body)) {
            self.see(&obs);
        }
    }

    /// Stops an agent as planned once its domain is out and nothing is in flight.
    pub(crate) fn plan_stop(&mut self, n: usize) {
        let domain = &self.agents[n].domain;
        let told = self.leaving.contains(&n);
        let out = told || self.reference.view().domain(domain) == DomainState::Out;
        let leaves = self.agents[n].state() == hyssop_core::MemberState::Leaving;
        let ready = self.agents[n].may_stop(self.now) || self.hasty && leaves;
        if out && ready {
            self.down.insert(Node::Agent(n));
            if self.leaving.remove(&n) {
                self.at(self.now + AWAY, super::Event::Restart(Node::Agent(n)));
            } else {
                self.planned.insert(n);
            }
            let agent = self.agents[n].name.clone();
            self.see(&Obs::Stopped {
                agent,
                planned: true,
            });
        }
    }

    /// Starts the agents of domains that are back.
    pub(crate) fn return_agents(&mut self) {
        for n in self.planned.clone() {
            if self.reference.view().domain(&self.agents[n].domain) == DomainState::In {
                self.planned.remove(&n);
                self.restart(Node::Agent(n));
            }
        }
    }

    /// Starts the planned stop of an entry.
    pub fn shut_down(&mut self, entry: usize) {
        let drivers = self.entries[entry].cells.values_mut();
        drivers.for_each(|driver| driver.inputs.push(hyssop_plan::Input::Shutdown));
    }

    /// Tells whether an entry has given up all cells after the start of its planned stop.
    #[must_use]
    pub fn has_shut_down(&self, entry: usize) -> bool {
        let mut drivers = self.entries[entry].cells.values();
        drivers.all(|driver| driver.stopped)
    }

    /// Tells whether an agent runs.
    #[must_use]
    pub fn is_running(&self, node: Node) -> bool {
        !self.down.contains(&node)
    }

    /// Starts the planned stop of an agent, which is started again soon after it has ended.
    pub fn leave(&mut self, n: usize) {
        self.leaving.insert(n);
        let mut fx = Effects::default();
        self.agents[n].leave(self.now, &mut self.rpc, &mut fx);
        let agent = self.agents[n].name.clone();
        self.see(&Obs::Leaving {
            agent,
            leaving: true,
        });
        self.apply(fx);
    }
}

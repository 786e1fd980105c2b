//! Construction of the world and queries of its state.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hyssop_conf::ConfStore;
use hyssop_core::limits::CONF_STREAM;
use hyssop_core::{
    CellId, Class, ConfRecord, DomainName, EntryName, Envelope, JobId, JobSpec, Limits, Millis,
    Moves, Needs, Offset, RecordId, Resources, ServiceDoc, ServiceName, Term, Version, WorkerName,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use smallvec::SmallVec;

use super::agents::Agent;
use super::entries::{Entry, Settings};
use super::fleets::Fleet;
use super::logs::MemoryLog;
use super::requests::team;
use super::workers::{WORKER_CAPACITY, Worker};
use super::{Checker, Event, Links, Node, Observation, World};

/// Virtual time at which a run starts. The entries have been up for longer than
/// `BATCH_RENEWAL_LIMIT`.
const START: Millis = Millis(10_000_000);
/// Retention of the simulated log.
const RETENTION: Millis = Millis(60_000);
/// Number of entries.
const ENTRIES: usize = 3;
/// Number of workers in each domain.
const WORKERS: usize = 3;

/// Returns a batch job of the default fleet that needs `work` milliseconds on a worker.
#[must_use]
pub fn batch(name: &str, work: u64) -> JobSpec {
    JobSpec {
        id: JobId::new(name).expect("job"),
        team: team(),
        service: ServiceName::new("cuts").expect("service"),
        kind: ServiceName::new("cut-list").expect("kind"),
        class: Class::Batch,
        needs: Resources::new(2_000, 2_000, 0),
        work: Millis(work),
        domains: SmallVec::new(),
        payload: String::new(),
    }
}

/// Returns a service document of the default fleet that may run in all its domains.
#[must_use]
pub fn doc(name: &ServiceName, class: Class, instances: u32) -> ServiceDoc {
    ServiceDoc {
        service: name.clone(),
        team: team(),
        class,
        domains: Fleet::HAUGLAND.domains().into_iter().collect(),
        needs: Needs {
            resources: Resources::new(2_000, 4_000, 0),
            instances,
        },
        moves: Moves {
            drain: 2,
            ..Moves::default()
        },
        limits: Limits::default(),
        idempotent: Vec::new(),
    }
}

impl World {
    /// Creates a world of the default fleet, with all random choices derived from `seed`.
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self::with_capacity(seed, WORKER_CAPACITY)
    }

    /// Creates a world whose workers report the capacity `claimed` instead of their real one.
    #[must_use]
    pub fn with_capacity(seed: u64, claimed: Resources) -> Self {
        Self::build(seed, claimed, Fleet::HAUGLAND)
    }

    /// Creates a world of the given fleet.
    #[must_use]
    pub fn with_fleet(seed: u64, fleet: Fleet) -> Self {
        Self::build(seed, WORKER_CAPACITY, fleet)
    }

    fn build(seed: u64, claimed: Resources, fleet: Fleet) -> Self {
        let cells: Vec<CellId> = fleet
            .domains()
            .into_iter()
            .map(|d| CellId::new(d, 0))
            .collect();
        let mut workers = Vec::new();
        let mut names: BTreeMap<CellId, Vec<(WorkerName, usize)>> = BTreeMap::new();
        for cell in &cells {
            for n in 0..WORKERS {
                let number = workers.len();
                let worker = Worker::new(cell, n, claimed, 500 + number as u64);
                let entry = names.entry(cell.clone()).or_default();
                entry.push((worker.name.clone(), number));
                workers.push(worker);
            }
        }
        let entries = (0..ENTRIES).map(|n| EntryName::new(format!("entry-{n}")).expect("entry"));
        let settings = Arc::new(Settings {
            service: fleet.service(),
            team: fleet.team(),
            entries: entries.collect(),
            cells,
            workers: names,
            retention: RETENTION,
            seed,
        });
        let entries = (0..ENTRIES).map(|n| Entry::new(n, &settings, 1 + n as u64, Millis(0)));
        let agents = fleet.domains().into_iter().enumerate();
        let agents =
            agents.map(|(n, d)| Agent::new(n, &d, &fleet.service(), ENTRIES, 100 + n as u64));
        let mut world = Self {
            now: START,
            seed,
            rng: SmallRng::seed_from_u64(seed),
            log: MemoryLog::new(RETENTION),
            links: Links::default(),
            entries: entries.collect(),
            agents: agents.collect(),
            workers,
            settings,
            checker: Checker::new(),
            events: BTreeMap::new(),
            last_event_number: 0,
            last_rpc: 0,
            down: BTreeSet::new(),
            leaving: BTreeSet::new(),
            planned_stops: BTreeSet::new(),
            frozen: BTreeMap::new(),
            affected: BTreeSet::new(),
            healthy_since: BTreeMap::new(),
            faults_end_at: Millis(0),
            reference: ConfStore::new(),
            jobs: Vec::new(),
            requests: Vec::new(),
            last_request: 0,
            last_load_at: None,
            has_load: false,
            goals: Vec::new(),
            trigger: None,
            tamper: None,
            injected_at: None,
            racing_records: None,
            fault_missed: false,
            replaced_entry: None,
            stops_on_violation: true,
            skips_stop_wait: false,
            client_errors: Vec::new(),
            trace: VecDeque::new(),
            recording: crate::sessions::Recording::default(),
            request_by_rpc: BTreeMap::new(),
        };
        world.start(&fleet);
        world
    }

    fn start(&mut self, fleet: &Fleet) {
        for node in self.nodes() {
            self.healthy_since.insert(node, START);
            let offset = Millis(self.last_event_number % 50);
            self.schedule(START + offset, Event::Tick(node));
        }
        for n in 0..self.workers.len() {
            let registration = self.workers[n].registration();
            self.observe(&registration);
        }
        for n in 0..self.agents.len() {
            let agent = &self.agents[n];
            let server = Observation::ServerRegistered {
                agent: agent.name.clone(),
                domain: agent.domain.clone(),
            };
            self.observe(&server);
        }
        self.write_initial_conf(fleet);
    }

    /// Writes the documents. Offset 0 can't be a version, so an empty snapshot comes first.
    fn write_initial_conf(&mut self, fleet: &Fleet) {
        let snapshot = ConfStore::new().snapshot(Offset(0));
        let put = |doc| ConfRecord::Put {
            base: Version(0),
            doc,
        };
        let jobs = fleet.own(doc(&fleet.jobs(), Class::Batch, 0));
        let service = fleet.own(doc(&fleet.service(), Class::LatencyCritical, 3));
        let bodies = [snapshot, put(jobs), put(service)];
        for (n, body) in (1..).zip(bodies) {
            let envelope = Envelope {
                id: RecordId(n),
                writer: self.settings.entries[0].clone(),
                term: Term(0),
                body,
            };
            let text = serde_json::to_string(&envelope).expect("a record is JSON");
            let offset = self
                .log
                .append(START, CONF_STREAM, std::slice::from_ref(&text));
            self.observe_append(CONF_STREAM, offset, &text);
        }
    }

    /// Returns all processes and the callers, without the log.
    #[must_use]
    pub fn nodes(&self) -> Vec<Node> {
        let entries = (0..self.entries.len()).map(Node::Entry);
        let agents = (0..self.agents.len()).map(Node::Agent);
        let workers = (0..self.workers.len()).map(Node::Worker);
        let all = entries.chain(agents).chain(workers);
        all.chain([Node::Callers]).collect()
    }

    /// Returns the names of all processes, the callers and the log.
    pub(crate) fn node_names(&self) -> BTreeMap<Node, String> {
        let name = |node: Node| match node {
            Node::Log => "log".to_owned(),
            Node::Entry(n) => self.entries[n].name.to_string(),
            Node::Agent(n) => self.agents[n].name.to_string(),
            Node::Worker(n) => self.workers[n].name.to_string(),
            Node::Callers => "callers".to_owned(),
        };
        let nodes = self.nodes().into_iter().chain([Node::Log]);
        nodes.map(|node| (node, name(node))).collect()
    }

    /// Returns the cell of the `n`-th domain.
    #[must_use]
    pub fn cell(&self, n: usize) -> CellId {
        self.settings.cells[n].clone()
    }

    /// Returns the first running entry that considers itself the owner of a cell.
    #[must_use]
    pub fn owner(&self, cell: &CellId) -> Option<usize> {
        let owns = |n: &usize| {
            let runs = !self.down.contains(&Node::Entry(*n));
            runs && self.entries[*n].cells[cell].cell.state().is_some()
        };
        (0..self.entries.len()).find(owns)
    }

    /// Returns whether an entry considers itself the owner of a cell.
    #[must_use]
    pub fn owns(&self, entry: usize, cell: &CellId) -> bool {
        self.entries[entry].cells[cell].cell.state().is_some()
    }

    /// Returns whether every cell has a running owner.
    #[must_use]
    pub fn is_owned(&self) -> bool {
        let mut cells = self.settings.cells.iter();
        cells.all(|cell| self.owner(cell).is_some())
    }

    /// Returns the worker that runs a job, or `None` if none does.
    #[must_use]
    pub fn worker_running(&self, job: &str) -> Option<usize> {
        let job = JobId::new(job).expect("job");
        self.workers
            .iter()
            .position(|worker| worker.is_running_job(&job))
    }

    /// Returns the jobs that run in a domain, without latency-critical ones.
    #[must_use]
    pub fn running_in(&self, domain: &DomainName) -> Vec<JobId> {
        self.checker.running_in(domain)
    }

    /// Returns the invalid replies that callers received.
    #[must_use]
    pub fn client_errors(&self) -> &[String] {
        &self.client_errors
    }

    /// Returns whether records of the configuration stream have expired.
    #[must_use]
    pub fn has_lost_records(&self) -> bool {
        self.log.has_expired(CONF_STREAM)
    }
}

//! Model of a fleet: workers, agents, owners, the store and the networks between them, driven by
//! events in simulated time.

mod agents;
mod calls;
mod owners;
mod workers;

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use hyssop_fleet::{ReportReply, ReportRequest};
use hyssop_jobs::{
    EndKind, JobId, JobSpec, Policy, QueueRule, Record, RunId, StepSpec, TaskId, WorkerState,
};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::judges::Judge;
use agents::{Agent, AgentEvent, ReportCall};
use calls::{Call, Outcome};
use owners::{OwnerEvent, OwnerProcess, Store};

pub(crate) use agents::AgentEvent as HostEvent;
pub(crate) use owners::ENTRIES;
pub(crate) use workers::{
    AckRule, BEST_EFFORT_CPU, CLOCK_ORIGIN, LATENCY_TARGET, ModelWorker, host_address,
};

/// Event of the model.
#[derive(Debug)]
pub(crate) enum Event {
    AgentTick(usize, u64),
    AgentInput(usize, u64, AgentEvent),
    /// Message that a worker, or another writer, has sent to the agent of a host.
    HostInput(usize, AgentEvent),
    /// A call arrives at its host. The flag tells whether a response can come back.
    Arrive(u64, Call, bool),
    Answer(u64, bool, Outcome),
    Response(u64, Outcome),
    ProbeDue(usize, u64),
    RunEnds(usize, RunId, EndKind),
    RunStopped(usize, RunId),
    RunPaused(usize, RunId),
    LeaseCheck(usize),
    Heartbeat(usize),
    Report(usize, u64, Box<ReportRequest>),
    ReportEnds(u64, Option<Box<ReportReply>>),
    OwnerLoads(u64, u64),
    OwnerTick(u64),
    OwnerInput(u64, OwnerEvent),
    Renew(u64),
    Store(u64, u64, Vec<Record>),
    Callers,
    /// End of a fault: a worker starts under this identifier.
    StartWorker(usize, Arc<str>),
    /// A draining worker deregisters and ends.
    Leave(usize),
    StartAgent(usize),
    /// Another entry claims the ownership, unless that of this epoch was replaced already.
    Takeover(u64),
}

/// Parameters that stay the same during a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Options {
    pub(crate) hosts: usize,
    pub(crate) ack_rule: AckRule,
    /// Longest lease that a worker accepts.
    pub(crate) max_lease_ms: u64,
    /// Least and greatest duration of most runs.
    pub(crate) run_ms: (u64, u64),
    /// Share of runs that fail, in percent.
    pub(crate) failed_percent: u32,
    /// Share of ends, and of runs, whose rows cannot be read. If there are any, half of the workers list
    /// two more such rows that stay.
    pub(crate) odd_rows: f64,
}

/// Shares of messages with faults.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Rates {
    /// Calls to workers without a response.
    pub(crate) no_response: f64,
    /// Whether calls without a response may be executed seconds later.
    pub(crate) has_late_calls: bool,
    /// Calls to workers whose connection is closed without a response, and that are executed later.
    pub(crate) closed_late: f64,
    /// Calls and responses that take up to `slow_ms`.
    pub(crate) slow: f64,
    pub(crate) slow_ms: u64,
    /// Starts that a worker refuses for want of room, or because it is busy, although the owner
    /// knows of no other run there.
    pub(crate) refused: f64,
    pub(crate) heartbeat_late: f64,
    pub(crate) report_lost: f64,
    pub(crate) report_late: f64,
    /// Calls to the store that take up to 2 s.
    pub(crate) store_slow: f64,
}

/// Host of a worker and its agent.
#[derive(Debug, Default)]
pub(crate) struct Host {
    agent: Option<Agent>,
    pub(crate) worker: Option<usize>,
    /// Whether calls get no response while no worker runs, instead of being refused.
    is_silent: bool,
    /// Time until which calls get no response.
    pub(crate) silent_until: u64,
    /// Time until which the agent cannot reach owners.
    pub(crate) cut_until: u64,
    /// Number of identifiers that workers of this host have had.
    pub(crate) identities: u64,
}

/// Job as its caller knows it.
#[derive(Clone, Debug)]
pub(crate) struct ModelJob {
    pub(crate) spec: JobSpec,
    pub(crate) rule: QueueRule,
    pub(crate) is_accepted: bool,
    /// Whether its caller cancels it.
    pub(crate) is_cancelled: bool,
    pub(crate) is_ended: bool,
}

impl ModelJob {
    fn step(&self, task: TaskId) -> Option<&StepSpec> {
        self.spec.steps.get(usize::from(task.step))
    }
}

/// Fleet with one or more processes that own, or believe that they own, the jobs.
pub(crate) struct Model {
    pub(crate) now: u64,
    pub(crate) rng: StdRng,
    pub(crate) options: Options,
    pub(crate) rates: Rates,
    pub(crate) hosts: Vec<Host>,
    /// All incarnations of all workers.
    pub(crate) workers: Vec<ModelWorker>,
    pub(crate) jobs: BTreeMap<JobId, ModelJob>,
    pub(crate) owners: Vec<OwnerProcess>,
    pub(crate) store: Store,
    pub(crate) judge: Judge,
    policy: Policy,
    events: BTreeMap<(u64, u64), Event>,
    next_event: u64,
    calls: HashMap<u64, Call>,
    next_call: u64,
    reports: HashMap<u64, ReportCall>,
    next_report: u64,
    next_process: u64,
}

impl Model {
    pub(crate) fn new(seed: u64, options: Options, policy: Policy) -> Self {
        let mut model = Self {
            now: 10_000,
            rng: StdRng::seed_from_u64(seed),
            options,
            rates: Rates::default(),
            hosts: Vec::new(),
            workers: Vec::new(),
            jobs: BTreeMap::new(),
            owners: Vec::new(),
            store: Store::default(),
            judge: Judge::default(),
            policy,
            events: BTreeMap::new(),
            next_event: 0,
            calls: HashMap::new(),
            next_call: 0,
            reports: HashMap::new(),
            next_report: 0,
            next_process: 0,
        };
        for host in 0..options.hosts {
            model.hosts.push(Host::default());
            model.start_agent(host);
            let id = model.next_identity(host);
            model.start_worker(host, id);
        }
        model.claim(0);
        model.schedule(100, Event::Callers);
        model
    }

    /// Returns a new identifier for a worker of a host.
    pub(crate) fn next_identity(&mut self, host: usize) -> Arc<str> {
        let number = &mut self.hosts[host].identities;
        *number += 1;
        format!("i-{host}-{number}").into()
    }

    pub(crate) fn schedule(&mut self, delay: u64, event: Event) {
        self.next_event += 1;
        self.events
            .insert((self.now + delay, self.next_event), event);
    }

    /// Plays all events up to a time.
    pub(crate) fn advance(&mut self, until: u64) {
        while let Some(entry) = self.events.first_entry()
            && entry.key().0 <= until
        {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.play(event);
        }
        self.now = until;
    }

    fn play(&mut self, event: Event) {
        match event {
            Event::AgentTick(host, process) => self.on_agent_tick(host, process),
            Event::AgentInput(host, process, event) => self.deliver_to_agent(host, process, event),
            Event::HostInput(host, event) => self.deliver_to_host(host, event),
            Event::Arrive(id, call, responds) => self.on_arrive(id, &call, responds),
            Event::Answer(id, responds, outcome) => self.respond(id, responds, outcome),
            Event::Response(id, outcome) => self.on_response(id, outcome),
            Event::ProbeDue(worker, call) => self.on_probe_due(worker, call),
            Event::RunEnds(worker, run, kind) => self.finish_run(worker, run, kind),
            Event::RunStopped(worker, run) => self.end_run(worker, run, EndKind::Stopped),
            Event::RunPaused(worker, run) => self.pause_run(worker, run),
            Event::LeaseCheck(worker) => self.check_lease(worker),
            Event::Heartbeat(worker) => self.send_heartbeats(worker),
            Event::Report(entry, id, request) => self.on_report(entry, id, request),
            Event::ReportEnds(id, reply) => self.on_report_ends(id, reply.map(|reply| *reply)),
            Event::OwnerLoads(epoch, acquired_at) => self.on_owner_loads(epoch, acquired_at),
            Event::OwnerTick(epoch) => self.on_owner_tick(epoch),
            Event::OwnerInput(epoch, event) => self.on_owner_input(epoch, event),
            Event::Renew(epoch) => self.on_renew(epoch),
            Event::Store(epoch, number, records) => self.on_store(epoch, number, records),
            Event::Callers => self.on_callers(),
            Event::StartWorker(host, id) => {
                if self.hosts[host].worker.is_none() {
                    self.start_worker(host, id);
                }
            }
            Event::Leave(worker) => self.leave(worker),
            Event::StartAgent(host) => {
                if self.hosts[host].agent.is_none() {
                    self.start_agent(host);
                }
            }
            Event::Takeover(epoch) => self.take_over(epoch),
        }
    }

    /// Lets a worker announce that it will leave.
    pub(crate) fn drain(&mut self, index: usize) {
        self.workers[index].info.state = WorkerState::Draining;
        self.judge
            .note(self.now, index, None, "draining".to_owned());
        self.send_heartbeat(index);
    }

    fn leave(&mut self, index: usize) {
        if self.workers[index].is_alive {
            let host = self.workers[index].host;
            self.send_departure(index);
            self.crash(host, false);
        }
    }

    fn take_over(&mut self, epoch: u64) {
        let owner = self.store.owner.clone();
        let Some(owner) = owner.filter(|owner| owner.epoch == epoch) else {
            return;
        };
        let entry = (usize::from(owner.address.port()) + 1) % ENTRIES;
        self.claim(entry);
    }

    pub(crate) fn submit(&mut self, id: JobId, rule: QueueRule, spec: JobSpec) {
        let job = ModelJob {
            spec,
            rule,
            is_accepted: false,
            is_cancelled: false,
            is_ended: false,
        };
        self.judge.add_job(id, job.rule.attempts);
        self.jobs.insert(id, job);
    }
}

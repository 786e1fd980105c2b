//! Model of a fleet: workers that run tasks over virtual time, with interference between them.

mod advisors;
mod agents;
mod owners;
mod workers;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hyssop_jobs::{
    CallerRequest, CallerResponse, Input, JobId, JobSpec, JobState, Owner, Policy, QueueRule,
    Record, Report, Resources, TaskId, WorkerInfo, WorkerState,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use advisors::Advisor;
use owners::Outages;

pub(crate) use advisors::{AdviceTimes, is_eligible};
pub(crate) use workers::{Health, ModelWorker};

/// Length of one step of the model.
pub(crate) const STEP_MS: u64 = 50;
/// Time that a worker takes to stop a run.
const STOP_MS: u64 = 150;
/// Interval at which callers ask for their jobs.
const QUERY_INTERVAL_MS: u64 = 500;
/// Interval of the heartbeats with which a worker describes itself to its agent.
const HEARTBEAT_INTERVAL_MS: u64 = 1_500;
/// Number of log lines that are kept for the description of a violation.
const LOG_LINES: usize = 4_000;
/// Wall-clock time at which the owner's clock reads 0.
pub(crate) const CLOCK_ORIGIN: u64 = 1_000_000;

/// Job as its caller and the workers know it.
#[derive(Clone, Debug)]
pub(crate) struct ModelJob {
    pub(crate) spec: JobSpec,
    pub(crate) rule: QueueRule,
    pub(crate) is_accepted: bool,
    pub(crate) is_cancelled: bool,
    pub(crate) accepted_at: u64,
    /// Whether every run of the job fails.
    pub(crate) is_poisoned: bool,
    /// Whether runs of the job crash their workers.
    pub(crate) is_crashing: bool,
    /// Number of tasks of each step whose runs do.
    pub(crate) crashing_tasks: u16,
    /// Complete tasks as (occurrence, step, index).
    done: BTreeSet<(u32, u16, u16)>,
    /// Number of complete tasks by occurrence and step.
    done_counts: BTreeMap<(u32, u16), u32>,
    /// Whether an owner has shown the job as running.
    was_running: bool,
    /// Whether the owner has shown the job in a final state.
    pub(crate) is_ended: bool,
}

impl ModelJob {
    /// Records that a task is complete.
    fn finish_task(&mut self, task: TaskId) {
        if self.done.insert((task.occurrence, task.step, task.index)) {
            *self
                .done_counts
                .entry((task.occurrence, task.step))
                .or_default() += 1;
        }
    }

    /// Returns whether a step is complete. In a gang, one complete member completes all.
    pub(crate) fn is_complete(&self, occurrence: u32, step: u16) -> bool {
        let spec = &self.spec.steps[usize::from(step)];
        let needed = if spec.is_gang { 1 } else { spec.count };
        let done = self.done_counts.get(&(occurrence, step));
        done.is_some_and(|&done| done >= needed)
    }

    /// Returns the number of tasks of a step that are not complete.
    pub(crate) fn open_count(&self, occurrence: u32, step: u16) -> u32 {
        let done = self.done_counts.get(&(occurrence, step));
        self.spec.steps[usize::from(step)].count - done.copied().unwrap_or(0)
    }

    /// Returns whether all steps that a step depends on are complete.
    pub(crate) fn is_ready(&self, occurrence: u32, step: u16) -> bool {
        let mut before = self.spec.steps[usize::from(step)].after.iter();
        before.all(|&before| self.is_complete(occurrence, before))
    }

    /// Returns the number of occurrences that are due.
    pub(crate) fn due_count(&self, now: u64) -> u32 {
        let Some(schedule) = self.spec.schedule else {
            return 1;
        };
        let is_due = |number: &u32| schedule.due_at(*number) <= now + CLOCK_ORIGIN;
        (0..schedule.count).take_while(is_due).count() as u32
    }

    /// Returns the rules in force for the job.
    pub(crate) fn current_rule<'a>(&'a self, policy: &'a Policy) -> &'a QueueRule {
        policy
            .queues
            .get(&self.rule.name)
            .map_or(&self.rule, |rule| rule)
    }
}

/// Fleet with one owner at a time.
pub(crate) struct Model {
    pub(crate) now: u64,
    pub(crate) rng: StdRng,
    pub(crate) workers: Vec<ModelWorker>,
    pub(crate) jobs: BTreeMap<JobId, ModelJob>,
    pub(crate) policy: Policy,
    /// Newest lines of the owner's log, with their times.
    pub(crate) logs: VecDeque<(u64, String)>,
    /// Interference in headroom per core, by service image and best-effort image.
    pub(crate) weights: BTreeMap<(Arc<str>, Arc<str>), f64>,
    owner: Option<Owner>,
    epoch: u64,
    owner_at: u64,
    store: BTreeMap<String, Vec<u8>>,
    /// Writes in flight: number, records, and when they are stored.
    writes: VecDeque<(u64, Vec<Record>, u64)>,
    pub(crate) outages: Outages,
    advisor: Advisor,
    /// Starts that break a promise other than that of progress.
    pub(crate) breaches: Vec<String>,
    /// Crashes of workers under each crashing task, and its starts after the third.
    crashes: BTreeMap<TaskId, (u32, u32)>,
    /// Sessions of workers that have crashed, with the times at which their agents report it.
    crash_reports: Vec<(u64, u64)>,
    next_session: u64,
    next_request: u64,
    /// Jobs that requests without a response are about.
    requests: BTreeMap<u64, JobId>,
    inputs: Vec<Input>,
}

impl Model {
    pub(crate) fn new(seed: u64, workers: Vec<WorkerInfo>, policy: Policy) -> Self {
        let mut model = Self {
            now: 10_000,
            rng: StdRng::seed_from_u64(seed),
            workers: workers.into_iter().map(ModelWorker::new).collect(),
            jobs: BTreeMap::new(),
            policy,
            logs: VecDeque::new(),
            weights: BTreeMap::new(),
            owner: None,
            epoch: 0,
            owner_at: 0,
            store: BTreeMap::new(),
            writes: VecDeque::new(),
            outages: Outages::default(),
            advisor: Advisor::default(),
            breaches: Vec::new(),
            crashes: BTreeMap::new(),
            crash_reports: Vec::new(),
            next_session: 1,
            next_request: 1,
            requests: BTreeMap::new(),
            inputs: Vec::new(),
        };
        model.replace_owner(0);
        model
    }

    /// Ends the owner. The next one owns the jobs after `vacant_ms`.
    pub(crate) fn replace_owner(&mut self, vacant_ms: u64) {
        self.owner = None;
        self.writes.clear();
        self.requests.clear();
        self.inputs.clear();
        let is_same_host = self.advisor.times.is_some() && self.rng.random_bool(0.5);
        self.advisor.drop_owner(is_same_host);
        self.owner_at = self.now + vacant_ms;
        for worker in &mut self.workers {
            worker.session = None;
            worker.attach_at = self.owner_at + self.rng.random_range(20..500);
        }
    }

    /// Ends a worker and all its runs. If `returns_after` is given, another incarnation starts then.
    pub(crate) fn lose_worker(&mut self, index: usize, returns_after: Option<u64>) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let mut info = worker.info.clone();
        info.incarnation = now;
        let old = worker.session;
        *worker = ModelWorker {
            full_capacity: worker.full_capacity,
            guards_capacity: worker.guards_capacity,
            ..ModelWorker::new(info)
        };
        worker.is_alive = returns_after.is_some();
        worker.attach_at = now + returns_after.unwrap_or(0);
        if returns_after.is_none()
            && let Some(session) = old
        {
            let report = Report {
                is_dead: true,
                ..Report::default()
            };
            self.inputs.push(Input::Report { session, report });
        }
    }

    /// Changes what a worker does with its orders.
    pub(crate) fn set_health(&mut self, index: usize, health: Health) {
        let now = self.now;
        let worker = &mut self.workers[index];
        let previous = std::mem::replace(&mut worker.health, health);
        if previous == Health::CutOff && health != Health::CutOff {
            worker.session = None;
            worker.attach_at = now + 100;
        }
        if health == Health::Frozen && previous != Health::Frozen {
            worker.frozen_at = now;
        }
        if previous == Health::Frozen && health != Health::Frozen {
            self.resume_worker(index);
        }
    }

    /// Lets a worker announce that it leaves, or that it stays after all.
    pub(crate) fn set_state(&mut self, index: usize, state: WorkerState) {
        let worker = &mut self.workers[index];
        worker.info.state = state;
        if let Some(session) = worker.session.filter(|_| worker.health != Health::CutOff) {
            self.inputs.push(Input::WorkerChanged {
                session,
                worker: worker.reported_info(),
            });
        }
    }

    /// Changes the capacity of a worker. Its next heartbeat shows it.
    pub(crate) fn set_capacity(&mut self, index: usize, capacity: Resources) {
        let heartbeat_at = self.now + self.rng.random_range(0..HEARTBEAT_INTERVAL_MS);
        let worker = &mut self.workers[index];
        worker.info.capacity = capacity;
        worker.heartbeat_at = Some(worker.heartbeat_at.unwrap_or(heartbeat_at));
    }

    /// Lets every other worker start whatever it is told to.
    pub(crate) fn drop_guards(&mut self) {
        for worker in self.workers.iter_mut().step_by(2) {
            worker.guards_capacity = false;
        }
    }

    /// Adds a worker.
    pub(crate) fn add_worker(&mut self, info: WorkerInfo) {
        let mut worker = ModelWorker::new(info);
        worker.attach_at = self.now + 100;
        self.workers.push(worker);
    }

    /// Puts changed settings of the operators into force.
    pub(crate) fn change_policy(&mut self, change: impl FnOnce(&mut Policy)) {
        change(&mut self.policy);
        self.policy.version += 1;
        if self.owner.is_some() {
            self.inputs
                .push(Input::Policy(Arc::new(self.policy.clone())));
        }
    }

    /// Lets the runs of the first tasks of each step of a job crash their workers.
    pub(crate) fn set_crashing(&mut self, id: JobId, tasks: u16) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.is_crashing = true;
            job.crashing_tasks = tasks;
        }
    }

    pub(crate) fn submit(&mut self, id: JobId, rule: QueueRule, spec: JobSpec, is_poisoned: bool) {
        let request = self.next_request;
        self.next_request += 1;
        let input = CallerRequest::Submit {
            job: id,
            rule: rule.clone(),
            spec: spec.clone(),
        };
        let job = ModelJob {
            spec,
            rule,
            is_accepted: false,
            is_cancelled: false,
            accepted_at: self.now,
            is_poisoned,
            is_crashing: false,
            crashing_tasks: 0,
            done: BTreeSet::new(),
            done_counts: BTreeMap::new(),
            was_running: false,
            is_ended: false,
        };
        if self.owner.is_some() {
            self.jobs.insert(id, job);
            self.requests.insert(request, id);
            self.inputs.push(Input::Request(request, input));
        }
    }

    pub(crate) fn cancel(&mut self, id: JobId) {
        let request = self.next_request;
        self.next_request += 1;
        if let (Some(job), true) = (self.jobs.get_mut(&id), self.owner.is_some()) {
            job.is_cancelled = true;
            let cancel = CallerRequest::Cancel(id);
            self.inputs.push(Input::Request(request, cancel));
        }
    }

    /// Advances the fleet by [`STEP_MS`].
    pub(crate) fn step(&mut self) {
        self.now += STEP_MS;
        self.start_owner();
        if self.owner.is_some() && self.now.is_multiple_of(QUERY_INTERVAL_MS) {
            self.query_jobs();
        }
        self.follow_crashes();
        for index in 0..self.workers.len() {
            self.work(index);
            self.report(index);
        }
        self.tick();
        self.store_writes();
    }

    fn respond(&mut self, request: u64, response: &CallerResponse) {
        let now = self.now;
        let id = self.requests.remove(&request);
        let Some(job) = id.and_then(|id| self.jobs.get_mut(&id)) else {
            return;
        };
        match response {
            CallerResponse::Accepted => {
                job.is_accepted = true;
                job.accepted_at = now;
            }
            CallerResponse::State(JobState::Failed)
                if !self.crashes.is_empty() && !job.is_crashing && !job.is_poisoned =>
            {
                job.is_ended = true;
                let text = id.map_or_else(String::new, |id| id.to_string());
                let lines = self.logs.iter().filter(|(_, line)| line.contains(&text));
                let lines = lines.map(|(at, line)| format!("\n    {at} {line}"));
                let lines: String = lines.collect();
                self.breaches
                    .push(format!("{now} innocent job {text} has failed{lines}"));
            }
            CallerResponse::State(JobState::Complete | JobState::Failed | JobState::Cancelled) => {
                job.is_ended = true;
            }
            CallerResponse::State(JobState::Running) => job.was_running = true,
            CallerResponse::State(JobState::Queued) if job.was_running => {
                let text = id.map(|id| format!("{now} job {id} is queued after it was running"));
                self.breaches.extend(text);
            }
            _ => {}
        }
    }

    /// Asks the owner for the state of each job that has not ended.
    fn query_jobs(&mut self) {
        let open = self.jobs.iter();
        for (&id, _) in open.filter(|(_, job)| job.is_accepted && !job.is_ended) {
            let request = self.next_request;
            self.next_request += 1;
            self.requests.insert(request, id);
            let show = CallerRequest::Show(id);
            self.inputs.push(Input::Request(request, show));
        }
    }
}

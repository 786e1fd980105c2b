//! Model of a fleet: workers that run tasks over virtual time, with interference between them.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    CallerRequest, CallerResponse, EndKind, Input, JobId, JobSpec, JobState, Order, Output, Owner,
    OwnerOptions, Policy, QueueRule, Record, Refusal, Report, Resources, RunEnd, RunId, RunStatus,
    StepSpec, StoredRecords, TaskId, WorkerInfo,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// Length of one step of the model.
pub(crate) const STEP_MS: u64 = 50;
/// Interval at which a worker's runs are listed.
const LIST_INTERVAL_MS: u64 = 400;
/// Time that a worker takes to stop a run.
const STOP_MS: u64 = 150;
/// Interval at which callers ask for their jobs.
const QUERY_INTERVAL_MS: u64 = 500;
/// Startup time of a service task.
const STARTUP_MS: u64 = 400;
/// Share of the processors reserved for services that best-effort runs get, in percent.
const SERVICE_IDLE_PERCENT: u64 = 50;
/// Number of log lines that are kept for the description of a violation.
const LOG_LINES: usize = 4_000;
/// Wall-clock time at which the owner's clock reads 0.
const CLOCK_ORIGIN: u64 = 1_000_000;

/// What a worker does with the orders that it receives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum Health {
    /// It runs what it is told to run.
    #[default]
    Good,
    /// Every run fails soon after its start.
    Failing,
    /// Runs make no progress.
    Hanging,
    /// It refuses every start.
    Refusing,
    /// Its agent cannot reach the owner.
    CutOff,
}

/// Run on a worker.
#[derive(Clone, Debug)]
pub(crate) struct ModelRun {
    pub(crate) spec: StepSpec,
    started_at: u64,
    /// Work that is left, in milliseconds at full speed.
    left_ms: f64,
    total_ms: f64,
    pub(crate) speed_percent: u32,
    ends_at: Option<u64>,
    is_poisoned: bool,
}

/// Worker with its agent.
#[derive(Debug)]
pub(crate) struct ModelWorker {
    pub(crate) info: WorkerInfo,
    pub(crate) health: Health,
    pub(crate) is_alive: bool,
    pub(crate) runs: BTreeMap<RunId, ModelRun>,
    session: Option<u64>,
    attach_at: u64,
    listed_at: u64,
    has_listed: bool,
    ends: Vec<RunEnd>,
    end_count: u64,
    refused: Vec<(RunId, Refusal)>,
    lease_until: u64,
    highest_runs: BTreeMap<TaskId, u64>,
}

impl ModelWorker {
    fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            health: Health::Good,
            is_alive: true,
            runs: BTreeMap::new(),
            session: None,
            attach_at: 0,
            listed_at: 0,
            has_listed: false,
            ends: Vec::new(),
            end_count: 0,
            refused: Vec::new(),
            lease_until: 0,
            highest_runs: BTreeMap::new(),
        }
    }

    /// Returns the resources that no run reserves.
    pub(crate) fn free(&self) -> Resources {
        let reserved = self.runs.values().map(|run| run.spec.reserved());
        reserved.fold(self.info.capacity, |free, used| free.minus(&used))
    }

    fn end(&mut self, run: RunId, kind: EndKind) {
        if self.runs.remove(&run).is_some() {
            self.end_count += 1;
            self.ends.push(RunEnd {
                number: self.end_count,
                run,
                kind,
                checkpoint: None,
            });
        }
    }
}

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
    pub(crate) done: BTreeSet<(u16, u16)>,
    /// Whether the owner has shown the job in a final state.
    pub(crate) is_ended: bool,
    submission: u64,
    query: u64,
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
    writes: VecDeque<(u64, Vec<Record>)>,
    next_session: u64,
    next_request: u64,
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
            next_session: 1,
            next_request: 1,
            inputs: Vec::new(),
        };
        model.replace_owner(0);
        model
    }

    /// Ends the owner. The next one owns the jobs after `vacant_ms`.
    pub(crate) fn replace_owner(&mut self, vacant_ms: u64) {
        self.owner = None;
        self.writes.clear();
        self.inputs.clear();
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
        *worker = ModelWorker::new(info);
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
        if worker.health == Health::CutOff && health != Health::CutOff {
            worker.session = None;
            worker.attach_at = now + 100;
        }
        worker.health = health;
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
            done: BTreeSet::new(),
            is_ended: false,
            submission: request,
            query: 0,
        };
        if self.owner.is_some() {
            self.jobs.insert(id, job);
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
        for index in 0..self.workers.len() {
            self.work(index);
            self.report(index);
        }
        self.tick();
        self.store_writes();
    }

    fn start_owner(&mut self) {
        if self.owner.is_some() || self.now < self.owner_at {
            return;
        }
        self.epoch += 1;
        let options = OwnerOptions {
            epoch: self.epoch,
            acquired_at: Millis(self.now),
            clock_origin: CLOCK_ORIGIN,
        };
        let stored: StoredRecords = self
            .store
            .iter()
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let (owner, errors) = Owner::new(Millis(self.now), options, &stored);
        assert!(errors.is_empty(), "{errors:?}");
        self.owner = Some(owner);
        self.inputs
            .push(Input::Policy(Arc::new(self.policy.clone())));
    }

    fn tick(&mut self) {
        let now = Millis(self.now);
        let Some(mut owner) = self.owner.take() else {
            return;
        };
        let mut inputs = std::mem::take(&mut self.inputs);
        inputs.push(Input::OwnershipRenewed(now));
        let outputs = owner.tick(now, inputs);
        self.owner = Some(owner);
        self.apply(outputs);
    }

    fn store_writes(&mut self) {
        while let Some((number, records)) = self.writes.pop_front() {
            for record in records {
                match record.value {
                    Some(value) => self.store.insert(record.key.text(), value),
                    None => self.store.remove(&record.key.text()),
                };
            }
            let Some(mut owner) = self.owner.take() else {
                return;
            };
            let outputs = owner.tick(Millis(self.now), vec![Input::WriteCompleted(number)]);
            self.owner = Some(owner);
            self.apply(outputs);
        }
    }

    fn apply(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Write { number, records } => self.writes.push_back((number, records)),
                Output::Response(request, response) => self.respond(request, &response),
                Output::Orders { session, orders } => self.deliver(session, orders),
                Output::Acknowledge { session, number } => {
                    let worker = self.session_worker(session);
                    if let Some(worker) = worker {
                        worker.ends.retain(|end| end.number > number);
                    }
                }
                Output::CloseSession(session) => {
                    let at = self.now + 100;
                    if let Some(worker) = self.session_worker(session) {
                        worker.session = None;
                        worker.attach_at = at;
                    }
                }
                Output::Log(text) => {
                    self.logs.push_back((self.now, text));
                    if self.logs.len() > LOG_LINES {
                        self.logs.pop_front();
                    }
                }
                Output::LostTime { .. }
                | Output::ListMachines
                | Output::StartMaintenance { .. }
                | Output::WaveStatus { .. }
                | Output::RequestAdvice { .. } => {}
            }
        }
    }

    fn respond(&mut self, request: u64, response: &CallerResponse) {
        let now = self.now;
        let mut jobs = self.jobs.values_mut();
        let Some(job) = jobs.find(|job| job.submission == request || job.query == request) else {
            return;
        };
        match response {
            CallerResponse::Accepted => {
                job.is_accepted = true;
                job.accepted_at = now;
            }
            CallerResponse::State(JobState::Complete | JobState::Failed | JobState::Cancelled) => {
                job.is_ended = true;
            }
            _ => {}
        }
    }

    /// Asks the owner for the state of each job that has not ended.
    fn query_jobs(&mut self) {
        let open = self.jobs.iter_mut();
        for (&id, job) in open.filter(|(_, job)| job.is_accepted && !job.is_ended) {
            job.query = self.next_request;
            self.next_request += 1;
            let show = CallerRequest::Show(id);
            self.inputs.push(Input::Request(job.query, show));
        }
    }

    fn session_worker(&mut self, session: u64) -> Option<&mut ModelWorker> {
        self.workers
            .iter_mut()
            .find(|worker| worker.session == Some(session))
    }

    fn deliver(&mut self, session: u64, orders: Vec<Order>) {
        let now = self.now;
        let jobs = &self.jobs;
        let rng = &mut self.rng;
        let workers = self.workers.iter_mut();
        let mut reached = workers
            .filter(|worker| worker.session == Some(session) && worker.health != Health::CutOff);
        let Some(worker) = reached.next() else {
            return;
        };
        for order in orders {
            match order {
                Order::Start(start) => {
                    let run = start.run;
                    let job = &jobs[&run.task.job];
                    let spec = &job.spec.steps[usize::from(run.task.step)];
                    let highest = worker.highest_runs.get(&run.task).copied().unwrap_or(0);
                    let refusal = if run.run <= highest {
                        Some(Refusal::Old)
                    } else if worker.health == Health::Refusing {
                        Some(Refusal::Other)
                    } else if !worker.free().covers(&spec.reserved()) {
                        Some(Refusal::NoRoom)
                    } else {
                        None
                    };
                    if let Some(refusal) = refusal {
                        worker.refused.push((run, refusal));
                        continue;
                    }
                    worker.highest_runs.insert(run.task, run.run);
                    let total_ms = spec.estimate.0 as f64 * rng.random_range(0.5..2.0);
                    let model_run = ModelRun {
                        spec: spec.clone(),
                        started_at: now,
                        left_ms: total_ms,
                        total_ms,
                        speed_percent: 100,
                        ends_at: None,
                        is_poisoned: job.is_poisoned,
                    };
                    worker.runs.insert(run, model_run);
                }
                Order::Stop(run) => match worker.runs.get_mut(&run) {
                    Some(model_run) => {
                        model_run.ends_at.get_or_insert(now + STOP_MS);
                    }
                    None => {
                        let highest = worker.highest_runs.entry(run.task).or_default();
                        *highest = run.run.max(*highest);
                        worker.refused.push((run, Refusal::Other));
                    }
                },
                Order::Pace(run, percent) => {
                    if let Some(model_run) = worker.runs.get_mut(&run) {
                        model_run.speed_percent = percent;
                    }
                }
            }
        }
    }

    /// Lets the runs of a worker make progress and end.
    fn work(&mut self, index: usize) {
        let now = self.now;
        let worker = &mut self.workers[index];
        if !worker.is_alive {
            return;
        }
        if now > worker.lease_until {
            let runs: Vec<RunId> = worker.runs.keys().copied().collect();
            for run in runs {
                worker.end(run, EndKind::LeaseExpired);
            }
        }
        let services = worker.runs.values().filter(|run| run.spec.is_service);
        let reserved: u64 = services.map(|run| run.spec.reserved().cpu).sum();
        let idle = (worker.free().cpu + reserved * SERVICE_IDLE_PERCENT / 100) as f64;
        let best_effort = worker.runs.values().filter(|run| run.spec.is_best_effort);
        let wanted: f64 = best_effort
            .map(|run| run.spec.resources.cpu as f64 * f64::from(run.speed_percent) / 100.0)
            .sum();
        let share = if wanted > idle { idle / wanted } else { 1.0 };
        let mut ended = Vec::new();
        for (&run, state) in &mut worker.runs {
            let speed = match state.spec.is_best_effort {
                true => share * f64::from(state.speed_percent) / 100.0,
                false => 1.0,
            };
            if worker.health != Health::Hanging {
                state.left_ms -= STEP_MS as f64 * speed;
            }
            let is_failing = worker.health == Health::Failing || state.is_poisoned;
            if state.ends_at.is_some_and(|at| now >= at) {
                ended.push((run, EndKind::Stopped));
            } else if is_failing && now >= state.started_at + 200 {
                ended.push((run, EndKind::Failed));
            } else if state.left_ms <= 0.0 && !state.spec.is_service {
                ended.push((run, EndKind::Done));
            }
        }
        for (run, kind) in ended {
            worker.end(run, kind);
        }
    }

    /// Returns the tail latency of a service run as a share of its target.
    fn latency_ratio(&self, worker: &ModelWorker, run: RunId, state: &ModelRun) -> f64 {
        // The headroom of a job swings with the load of its users.
        let phase = (run.task.job.0 % 7) as f64;
        let headroom =
            2.6 + 1.2 * ((self.now as f64 / 14_000.0 + phase) * std::f64::consts::TAU).sin();
        let mut taken = 0.0;
        for other in worker.runs.values().filter(|run| run.spec.is_best_effort) {
            let images = (state.spec.image.clone(), other.spec.image.clone());
            let (Some(service_image), Some(image)) = images else {
                continue;
            };
            let weight = self.weights.get(&(service_image, image)).copied();
            let cores = other.spec.resources.cpu as f64 * 16.0 / worker.info.capacity.cpu as f64;
            let speed = f64::from(other.speed_percent) / 100.0;
            taken += weight.unwrap_or(0.0) * cores / 1_000.0 * speed;
        }
        1.0 / (headroom - taken).max(0.02)
    }

    fn statuses(&self, worker: &ModelWorker) -> Vec<RunStatus> {
        let status = |(&run, state): (&RunId, &ModelRun)| {
            let is_started = self.now >= state.started_at + STARTUP_MS;
            let (percent_done, measurement) = if state.spec.is_service {
                let target = state.spec.latency_target.map_or(0, |target| target.0);
                let ratio = self.latency_ratio(worker, run, state);
                let percent_done = if is_started { 100 } else { 0 };
                (percent_done, (target as f64 * ratio) as u64)
            } else {
                let done = 1.0 - state.left_ms / state.total_ms;
                let cpu = state.spec.resources.cpu * u64::from(state.speed_percent) / 100;
                ((done * 99.0) as u32, cpu)
            };
            RunStatus {
                run,
                checkpoint: None,
                percent_done,
                measurement,
            }
        };
        worker.runs.iter().map(status).collect()
    }

    /// Sends what the agent of a worker has to report.
    fn report(&mut self, index: usize) {
        let now = self.now;
        let worker = &self.workers[index];
        if !worker.is_alive || worker.health == Health::CutOff || self.owner.is_none() {
            return;
        }
        let Some(session) = worker.session else {
            if now >= worker.attach_at {
                self.attach(index);
            }
            return;
        };
        let is_first = !worker.has_listed;
        let is_list_due = is_first || now >= worker.listed_at + LIST_INTERVAL_MS;
        let running = is_list_due.then(|| self.statuses(worker));
        let worker = &mut self.workers[index];
        if is_list_due {
            worker.listed_at = now;
            worker.has_listed = true;
        }
        let report = Report {
            running,
            is_complete: is_first,
            ended: worker.ends.clone(),
            refused: std::mem::take(&mut worker.refused),
            is_dead: false,
            is_unresponsive: false,
        };
        for end in &report.ended {
            let key = (end.run.task.step, end.run.task.index);
            let job = self.jobs.get_mut(&end.run.task.job);
            if let (Some(job), EndKind::Done) = (job, end.kind) {
                job.done.insert(key);
            }
        }
        if let Some(owner) = &mut self.owner
            && owner.renew_lease(Millis(now), session)
        {
            self.workers[index].lease_until = now + 4_000;
        }
        self.inputs.push(Input::Report { session, report });
    }

    fn attach(&mut self, index: usize) {
        let session = self.next_session;
        self.next_session += 1;
        let worker = &mut self.workers[index];
        worker.session = Some(session);
        worker.has_listed = false;
        worker.refused.clear();
        self.inputs.push(Input::Attach {
            session,
            worker: worker.info.clone(),
        });
    }
}

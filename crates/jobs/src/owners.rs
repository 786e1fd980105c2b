//! The owner: holds the tables and runs the systems over them each tick.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::advice::Advices;
use crate::gangs::Gangs;
use crate::interference::Pressures;
use crate::io::{
    CallerRequest, CallerResponse, Input, JobState, Order, Output, RequestId, WorkerInfo,
};
use crate::jobs::{Job, Jobs};
use crate::limits::{
    KEEP_ENDED, LEASE_SLACK, MAX_CONFIRMATION_AGE, OPEN_JOBS, TAKEOVER_WAIT, WEIGHTS_INTERVAL,
    WORKER_LEASE,
};
use crate::records::{self, JobRecord, Key, Progress, Record, WorkerRecord};
use crate::waves::Waves;
use crate::workers::Worker;
use crate::writes::{Effect, Writes};
use crate::{Error, JobId, JobSpec, Policy, QueueRule, Resources, RunId, TaskId};

/// Runs that one owner may number for one task before the next owner's numbers begin.
const RUNS_PER_EPOCH: u64 = 1_000;

/// Change of the time of day that moves occurrences at set times. Smaller ones come from the two
/// readings of the clocks.
const DAY_SHIFT: Millis = Millis(20);

/// When a caller that was refused for overload is to come back.
const OVERLOAD_RETRY: Millis = Millis(1_000);

/// When a caller that was refused for want of the store is to come back.
const STALL_RETRY: Millis = Millis(1_000);

/// What an owner starts with.
#[derive(Clone, Copy, Debug)]
pub struct OwnerOptions {
    /// Number of the ownership, from 1. A later owner has a higher one.
    pub epoch: u64,
    /// Time at which the claim was answered.
    pub acquired_at: Millis,
    /// Time of day at which the owner's clock started, in milliseconds since 1970.
    pub clock_origin: u64,
}

/// What earlier owners stored: keys and values.
pub type StoredRecords = Vec<(String, Vec<u8>)>;

/// Owner of all jobs of a fleet.
#[derive(Debug)]
pub struct Owner {
    options: OwnerOptions,
    pub(crate) now: Millis,
    pub(crate) policy: Arc<Policy>,
    pub(crate) jobs: Jobs,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
    pub(crate) sessions: HashMap<u64, Arc<str>>,
    /// Workers of earlier owners that have not reported and whose leases may not have ended.
    pub(crate) unresolved: BTreeSet<Arc<str>>,
    pub(crate) pressures: Pressures,
    pub(crate) writes: Writes,
    pub(crate) orders: BTreeMap<u64, Vec<Order>>,
    pub(crate) outputs: Vec<Output>,
    confirmed_at: Millis,
    /// Start of the owner's clock, in milliseconds since 1970.
    clock_origin: u64,
    /// When what is known of fillers was last written.
    weights_written: Millis,
    pub(crate) gangs: Gangs,
    pub(crate) advices: Advices,
    pub(crate) waves: Waves,
    pub(crate) next_run: HashMap<TaskId, u64>,
}

impl Owner {
    /// Creates the owner from what earlier owners stored. Records that cannot be read are returned
    /// and left out.
    #[must_use]
    pub fn new(now: Millis, options: OwnerOptions, stored: &StoredRecords) -> (Self, Vec<Error>) {
        let mut owner = Self {
            options,
            now,
            policy: Arc::default(),
            jobs: Jobs::default(),
            workers: BTreeMap::new(),
            sessions: HashMap::new(),
            unresolved: BTreeSet::new(),
            pressures: Pressures::default(),
            writes: Writes::default(),
            orders: BTreeMap::new(),
            outputs: Vec::new(),
            confirmed_at: options.acquired_at,
            clock_origin: options.clock_origin,
            weights_written: now,
            gangs: Gangs::default(),
            advices: Advices::default(),
            waves: Waves::default(),
            next_run: HashMap::new(),
        };
        let errors = owner.load(now, stored);
        (owner, errors)
    }

    fn load(&mut self, now: Millis, stored: &StoredRecords) -> Vec<Error> {
        let mut accepted_at: BTreeMap<JobId, JobRecord> = BTreeMap::new();
        let mut progress: HashMap<JobId, Progress> = HashMap::new();
        let mut errors = Vec::new();
        for (key, value) in stored {
            let read = Key::parse(key).and_then(|key| {
                match &key {
                    Key::Job(id) => {
                        accepted_at.insert(*id, records::read(&key, value)?);
                    }
                    Key::Progress(id) => {
                        progress.insert(*id, records::read(&key, value)?);
                    }
                    Key::Worker(id) => self.inherit(id, &records::read(&key, value)?),
                    Key::Interference => self.pressures.restore(now, records::read(&key, value)?),
                    Key::Wave(wave) => self.waves.restore(*wave, records::read(&key, value)?),
                }
                Ok(())
            });
            errors.extend(read.err());
        }
        for (id, record) in accepted_at {
            let progress = progress.remove(&id).unwrap_or_default();
            let accepted_at = Millis(record.accepted_at.saturating_sub(self.clock_origin));
            let times = (now, accepted_at.min(now));
            let job = Job::restore(times, id, record, &progress, self.clock_origin);
            self.jobs.insert(job, self.clock_origin);
        }
        errors
    }

    /// Takes over a worker that an earlier owner may have given orders.
    fn inherit(&mut self, id: &Arc<str>, record: &WorkerRecord) {
        let info = WorkerInfo {
            id: Arc::clone(id),
            incarnation: record.incarnation,
            address: Arc::clone(&record.address),
            service: "".into(),
            domain: "".into(),
            labels: Vec::new(),
            capacity: Resources::default(),
            state: crate::WorkerState::Draining,
        };
        let mut worker = Worker::new(info);
        worker.stored = true;
        worker.safe_at = self.options.acquired_at + TAKEOVER_WAIT;
        self.unresolved.insert(Arc::clone(id));
        self.workers.insert(Arc::clone(id), worker);
    }

    /// Runs all systems once.
    pub fn tick(&mut self, now: Millis, inputs: Vec<Input>) -> Vec<Output> {
        self.now = now;
        for input in inputs {
            self.handle(input);
        }
        self.expire_leases();
        self.expire_jobs();
        self.open_occurrences();
        self.watch_gangs();
        self.keep_up();
        self.place();
        self.send_orders();
        self.send_writes();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the time of the next write, if one waits.
    #[must_use]
    pub const fn next_write_at(&self) -> Option<Millis> {
        self.writes.due()
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.open_count()
    }

    /// Returns whether the ownership was proved recently enough to start tasks.
    #[must_use]
    pub fn is_ownership_confirmed(&self, now: Millis) -> bool {
        now.since(self.confirmed_at) <= MAX_CONFIRMATION_AGE
    }

    /// Extends the lease of a session's worker to [`GRANT`] from now on, and returns whether the
    /// agent may be told so.
    pub fn renew_lease(&mut self, now: Millis, session: u64) -> bool {
        if !self.is_ownership_confirmed(now) {
            return false;
        }
        let Some(worker) = self.worker_of(session) else {
            return false;
        };
        worker.safe_at = worker.safe_at.max(now + WORKER_LEASE);
        true
    }

    fn handle(&mut self, input: Input) {
        match input {
            Input::Policy(policy) => {
                if policy.version >= self.policy.version {
                    self.policy = policy;
                }
            }
            Input::Request(tag, ask) => self.ask(tag, ask),
            Input::Attach { session, worker } => self.attach(session, worker),
            Input::WorkerChanged { session, worker } => self.change(session, worker),
            Input::Report { session, report } => self.report(session, report),
            Input::OwnershipConfirmed(at) => self.confirmed_at = self.confirmed_at.max(at),
            Input::MachineList(machines) => self.take_machines(machines),
            Input::MaintenanceReply {
                wave,
                machine,
                reply,
            } => self.take_upkeep(wave, &machine, reply),
            Input::AdviceReply { step, advice } => self.advised(step, advice),
            Input::ClockOrigin(clock_origin) => {
                if clock_origin.abs_diff(self.clock_origin) > DAY_SHIFT.0 {
                    self.clock_origin = clock_origin;
                    self.jobs.reschedule(clock_origin);
                }
            }
            Input::WriteCompleted(number) => {
                let effects = self.writes.finish(number);
                for effect in effects {
                    self.follow(effect);
                }
            }
        }
    }

    fn ask(&mut self, tag: RequestId, ask: CallerRequest) {
        match ask {
            CallerRequest::Submit { job, rule, spec } => self.submit(tag, job, rule, spec),
            CallerRequest::Show(id) => {
                let state = self.jobs.get(id).filter(|job| job.stored).map(Job::shown);
                let answer = state.map_or(CallerResponse::Unknown, CallerResponse::State);
                self.answer(tag, answer);
            }
            CallerRequest::Cancel(id) => self.cancel(tag, id),
            CallerRequest::Pending(queue) => {
                let waiting = |job: &&Job| {
                    job.rule.name == queue && job.stored && job.is_open() && !job.has_started
                };
                let count = self.jobs.values().filter(waiting).count() as u64;
                self.answer(tag, CallerResponse::Pending(count));
            }
        }
    }

    fn submit(&mut self, tag: RequestId, id: JobId, rule: QueueRule, spec: JobSpec) {
        if let Some(job) = self.jobs.get_mut(id) {
            if job.stored {
                self.answer(tag, CallerResponse::Accepted);
            } else {
                job.submitters.push(tag);
            }
            return;
        }
        if let Err(error) = spec.check() {
            self.note(format!("job {id} is invalid: {error}"));
            self.answer(tag, CallerResponse::Invalid(error.to_string()));
            return;
        }
        if self.jobs.open_count() >= OPEN_JOBS {
            let reason = format!("{OPEN_JOBS} jobs wait or run");
            self.answer(
                tag,
                CallerResponse::Refused {
                    reason,
                    retry_after: OVERLOAD_RETRY,
                },
            );
            return;
        }
        if self.writes.is_stalled(self.now) {
            let reason = "the store does not answer".to_owned();
            let retry_after = STALL_RETRY;
            self.answer(
                tag,
                CallerResponse::Refused {
                    reason,
                    retry_after,
                },
            );
            return;
        }
        let sequence = self.jobs.next_sequence();
        let record = JobRecord {
            rule: rule.clone(),
            spec: spec.clone(),
            sequence,
            accepted_at: self.now.0 + self.clock_origin,
        };
        let mut job = Job::new(self.now, id, rule, spec, sequence);
        job.submitters.push(tag);
        self.jobs.insert(job, self.clock_origin);
        let record = Record::put(Key::Job(id), &record);
        self.writes
            .add(self.now, record, Some(Effect::Accepted(id)));
    }

    fn cancel(&mut self, tag: RequestId, id: JobId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            self.answer(tag, CallerResponse::Unknown);
            return;
        };
        if job.final_state.is_some() {
            self.answer(tag, CallerResponse::Cancelled);
            return;
        }
        job.cancellers.push(tag);
        if job.ended.is_none() {
            job.is_cancelled = true;
            self.note(format!("job {id} cancelled"));
            self.close_job(id);
        }
        self.writes.touch(now, id, true);
    }

    /// Ends a job: stops its runs and stores its state.
    pub(crate) fn close_job(&mut self, id: JobId) {
        self.jobs.end(self.now, id);
        let now = self.now;
        self.writes.touch(now, id, true);
        self.writes.follow(now, Effect::Ended(id));
        self.advices.forget_job(id);
        self.pressures.forget(id);
        let Some(job) = self.jobs.get(id) else { return };
        let runs = job.assigned();
        for (worker, run) in runs {
            self.stop(&worker, run);
        }
    }

    /// Orders a run to stop, once.
    pub(crate) fn stop(&mut self, worker: &Arc<str>, run: RunId) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(held) = worker.runs.get_mut(&run) else {
            return;
        };
        if held.stopping {
            return;
        }
        held.stopping = true;
        if let Some(session) = worker.session {
            self.orders
                .entry(session)
                .or_default()
                .push(Order::Stop(run));
        }
    }

    fn follow(&mut self, effect: Effect) {
        match effect {
            Effect::Accepted(id) => self.report_acceptance(id),
            Effect::Ended(id) => self.ended(id),
            Effect::Worker(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.stored = true;
                }
            }
            Effect::Ends {
                worker,
                session,
                number,
            } => {
                let Some(worker) = self.workers.get_mut(&worker) else {
                    return;
                };
                if worker.session == Some(session) && worker.acknowledged < number {
                    worker.acknowledged = number;
                    self.outputs.push(Output::Acknowledge { session, number });
                }
            }
        }
    }

    fn report_acceptance(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.stored = true;
        let tags = std::mem::take(&mut job.submitters);
        let queue = Arc::clone(&job.rule.name);
        self.note(format!("job {id} accepted queue={queue}"));
        for tag in tags {
            self.answer(tag, CallerResponse::Accepted);
        }
    }

    fn ended(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.final_state = job.reached();
        let state = job.final_state.unwrap_or(JobState::Running);
        let after = job.ended.unwrap_or(self.now).since(job.accepted_at);
        let tags = std::mem::take(&mut job.cancellers);
        self.note(format!("job {id} ended state={state:?} after_ms={after}"));
        for tag in tags {
            self.answer(tag, CallerResponse::Cancelled);
        }
    }

    /// Takes back the tasks of workers whose leases have ended. The ownership must be proved after
    /// that: a later owner that this one does not know of may have extended them.
    fn expire_leases(&mut self) {
        let confirmed_at = self.confirmed_at;
        let is_over = |w: &&Worker| confirmed_at > w.safe_at + LEASE_SLACK;
        let over: Vec<Arc<str>> = self
            .workers
            .values()
            .filter(is_over)
            .filter(|w| {
                w.session.is_some() || !w.runs.is_empty() || self.unresolved.contains(&w.info.id)
            })
            .map(|w| Arc::clone(&w.info.id))
            .collect();
        for id in over {
            self.note(format!("worker {id} lost: its lease has ended"));
            self.lose(&id);
        }
    }

    /// Forgets the session of a worker and takes back its tasks: nothing runs there.
    pub(crate) fn lose(&mut self, id: &Arc<str>) {
        self.unresolved.remove(id);
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let session = worker.session.take();
        worker.reported = false;
        let runs = worker.clear();
        if let Some(session) = session {
            self.sessions.remove(&session);
            self.orders.remove(&session);
            self.outputs.push(Output::CloseSession(session));
        }
        for run in runs {
            self.requeue(id, run, Millis(0));
        }
    }

    /// Lets the task of a run wait again, if it is still assigned to that run.
    pub(crate) fn requeue(&mut self, worker: &Arc<str>, run: RunId, pause: Millis) {
        let is_current = self.jobs.place_of(run) == Some(worker);
        if !is_current {
            return;
        }
        self.put_back(run, pause);
    }

    /// Lets the task of a run wait again. The rest of its gang is stopped, to start with it.
    pub(crate) fn put_back(&mut self, run: RunId, pause: Millis) {
        let not_before = self.now + pause;
        let Some(job) = self.jobs.get_mut(run.task.job) else {
            return;
        };
        if let Some(step) = job.step_mut(run.task) {
            step.requeue(run.task.index, not_before);
        }
        if job.spec.steps[usize::from(run.task.step)].is_gang {
            self.stop_gang(run.task);
        }
    }

    /// Opens the occurrences that are due.
    fn open_occurrences(&mut self) {
        for id in self.jobs.open_due(self.now, self.clock_origin) {
            self.writes.touch(self.now, id, false);
            self.note(format!("job {id}: an occurrence is due"));
        }
    }

    /// Opens the occurrence of a task that an earlier owner started, whose clock was ahead.
    pub(crate) fn open_for(&mut self, task: TaskId) {
        self.jobs
            .open_through(self.now, task.job, task.occurrence, self.clock_origin);
    }

    fn expire_jobs(&mut self) {
        let limit = self.now.since(KEEP_ENDED);
        while let Some(id) = self.jobs.expire(limit) {
            self.next_run.retain(|task, _| task.job != id);
            for key in [Key::Job(id), Key::Progress(id)] {
                self.writes.add(self.now, Record::drop_key(key), None);
            }
        }
    }

    fn send_orders(&mut self) {
        for (session, orders) in std::mem::take(&mut self.orders) {
            self.outputs.push(Output::Orders { session, orders });
        }
    }

    fn send_writes(&mut self) {
        while let Some((number, mut records, progress)) = self.writes.start(self.now) {
            for id in progress {
                if let Some(job) = self.jobs.get(id) {
                    records.push(Record::put(Key::Progress(id), &job.progress()));
                }
            }
            if !records.is_empty() {
                if self.now >= self.weights_written + WEIGHTS_INTERVAL {
                    self.weights_written = self.now;
                    let weights = self.pressures.records(self.now);
                    records.push(Record::put(Key::Interference, &weights));
                }
                self.outputs.push(Output::Write { number, records });
                return;
            }
            // Nothing has to be stored for what waits, for example the end of an outdated run.
            for effect in self.writes.finish(number) {
                self.follow(effect);
            }
        }
    }

    /// Returns the highest number that a run of an earlier owner may have.
    pub(crate) const fn base(&self) -> u64 {
        (self.options.epoch - 1) * RUNS_PER_EPOCH
    }

    pub(crate) fn worker_of(&mut self, session: u64) -> Option<&mut Worker> {
        let id = self.sessions.get(&session)?;
        self.workers.get_mut(id)
    }

    fn answer(&mut self, tag: RequestId, answer: CallerResponse) {
        self.outputs.push(Output::Response(tag, answer));
    }

    pub(crate) fn note(&mut self, text: String) {
        self.outputs.push(Output::Log(text));
    }
}

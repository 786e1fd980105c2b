//! The owner: holds the state of all jobs and workers and advances it each tick.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::LossCause;
use crate::advice::AdviceTable;
use crate::crashes::RecentCrash;
use crate::gangs::{KeptServices, PendingGangs};
use crate::held_ends::HeldEnds;
use crate::hidden_ends::{CanaryService, EndLists};
use crate::interference::InterferenceModel;
use crate::io::{
    AdviceStatus, CallerResponse, Input, JobState, Order, Output, RequestId, WorkerInfo,
};
use crate::jobs::Job;
use crate::late_starts::LateStarts;
use crate::limits::{
    CLOCK_ERROR_MARGIN, ENDED_JOB_RETENTION, INTERFERENCE_WRITE_INTERVAL, MAX_CONFIRMATION_AGE,
    TAKEOVER_WAIT, WORKER_LEASE, longest_lease,
};
use crate::proofs::{Proof, RenewalProof};
use crate::records::{self, HeldEnd, JobRecord, Key, Progress, Record, WorkerRecord};
use crate::requests::HeldRequest;
use crate::shares::IdleTask;
use crate::stalls::Stalls;
use crate::tables::JobTable;
use crate::waves::WaveTable;
use crate::workers::Worker;
use crate::writes::{Effect, Writes};
use crate::{Error, JobId, Policy, Resources, RunId, TaskId};

/// Run numbers of one task that are reserved for each owner.
const RUNS_PER_EPOCH: u64 = 1_000;

/// Change of the clock origin above which scheduled occurrences are moved. Smaller changes result
/// from reading two clocks one after the other.
const CLOCK_SHIFT_TOLERANCE: Millis = Millis(20);

/// Parameters of a new owner.
#[derive(Clone, Copy, Debug)]
pub struct OwnerOptions {
    /// Epoch of the ownership, from 1. Each later owner has a higher one.
    pub epoch: u64,
    /// Time by the owner's clock at which its election was confirmed.
    pub acquired_at: Millis,
    /// Wall-clock time at which the owner's clock read 0, in milliseconds since 1970.
    pub clock_origin: u64,
    /// Longest lease that workers grant. Longer ones are shortened to it.
    pub max_lease: Millis,
    /// Largest size of the key and the value of a record that the store takes, in bytes.
    pub max_record_bytes: usize,
}

impl OwnerOptions {
    /// Returns the time that a new owner waits for a worker that it cannot reach and that calls for an
    /// earlier incarnation may have leased. The previous owner may have opened the worker's session, whose
    /// first call voids such calls, and started tasks there, until `MAX_CONFIRMATION_AGE` after the new
    /// owner's election.
    fn stale_takeover_wait(&self) -> Millis {
        MAX_CONFIRMATION_AGE + longest_lease(self.max_lease) + CLOCK_ERROR_MARGIN
    }
}

/// Records of earlier owners as pairs of key and value.
pub type StoredRecords = Vec<(String, Vec<u8>)>;

/// Owner of all jobs of a fleet.
#[derive(Debug)]
pub struct Owner {
    pub(crate) options: OwnerOptions,
    pub(crate) now: Millis,
    pub(crate) policy: Arc<Policy>,
    pub(crate) jobs: JobTable,
    pub(crate) workers: BTreeMap<Arc<str>, Worker>,
    pub(crate) sessions: HashMap<u64, Arc<str>>,
    /// Workers of earlier owners that have not sent a complete report and whose leases may not have
    /// expired. Tasks that an earlier owner may have started wait for them.
    pub(crate) unconfirmed_workers: BTreeSet<Arc<str>>,
    pub(crate) interference: InterferenceModel,
    pub(crate) writes: Writes,
    pub(crate) orders: BTreeMap<u64, Vec<Order>>,
    pub(crate) outputs: Vec<Output>,
    /// When the ownership was last confirmed and renewed, and when the process last resumed.
    pub(crate) proof: Proof,
    /// Requests that wait for a confirmation of the ownership.
    pub(crate) held_requests: Vec<HeldRequest>,
    /// Wall-clock time at which the owner's clock read 0, in milliseconds since 1970.
    pub(crate) clock_origin: u64,
    /// When the interference estimates were last written.
    interference_written_at: Millis,
    pub(crate) gangs: PendingGangs,
    pub(crate) kept_services: KeptServices,
    pub(crate) advice: AdviceTable,
    pub(crate) waves: WaveTable,
    pub(crate) next_run: HashMap<TaskId, u64>,
    pub(crate) late_starts: LateStarts,
    /// Ends of runs of the jobs that are held, because a record of theirs cannot be read.
    pub(crate) held_ends: HeldEnds,
    pub(crate) stalls: Stalls,
    /// Number of tasks that do not start again because one of their runs may have done them.
    pub(crate) unknown_ends: usize,
    /// Services in which tasks may start as canaries in this tick.
    pub(crate) canary_services: Vec<CanaryService>,
    /// Tasks whose next runs are on probation, apart from gangs.
    pub(crate) suspects: BTreeSet<TaskId>,
    /// Recent crashes of workers.
    pub(crate) recent_crashes: Vec<RecentCrash>,
    /// Last task of an idle job that a worker was searched for in the previous tick, by priority, if
    /// the tick had no time for all of them.
    pub(crate) last_idle_tries: BTreeMap<u32, IdleTask>,
}

impl Owner {
    /// Creates the owner from the records of earlier owners, and returns the errors of those that
    /// cannot be read. They are skipped as far as that is safe: a job and a maintenance wave without
    /// readable progress are held, and a worker without a readable record may run any tasks.
    #[must_use]
    pub fn new(now: Millis, options: OwnerOptions, stored: &StoredRecords) -> (Self, Vec<Error>) {
        let mut owner = Self {
            options,
            now,
            policy: Arc::default(),
            jobs: JobTable::default(),
            workers: BTreeMap::new(),
            sessions: HashMap::new(),
            unconfirmed_workers: BTreeSet::new(),
            interference: InterferenceModel::default(),
            writes: Writes::default(),
            orders: BTreeMap::new(),
            outputs: Vec::new(),
            proof: Proof::new(options.acquired_at),
            held_requests: Vec::new(),
            clock_origin: options.clock_origin,
            interference_written_at: now,
            gangs: PendingGangs::default(),
            kept_services: KeptServices::default(),
            advice: AdviceTable::default(),
            waves: WaveTable::default(),
            next_run: HashMap::new(),
            late_starts: LateStarts::default(),
            held_ends: HeldEnds::new(),
            stalls: Stalls::default(),
            unknown_ends: 0,
            canary_services: Vec::new(),
            suspects: BTreeSet::new(),
            recent_crashes: Vec::new(),
            last_idle_tries: BTreeMap::new(),
        };
        let errors = owner.load_records(now, stored);
        (owner, errors)
    }

    fn load_records(&mut self, now: Millis, stored: &StoredRecords) -> Vec<Error> {
        let mut job_records: BTreeMap<JobId, JobRecord> = BTreeMap::new();
        let mut progress: HashMap<JobId, Option<Progress>> = HashMap::new();
        let mut held_ends: HashMap<JobId, Vec<HeldEnd>> = HashMap::new();
        let mut errors = Vec::new();
        for (key, value) in stored {
            let result = Key::parse(key).and_then(|key| {
                match &key {
                    Key::Job(id) => {
                        let record = records::read(&key, value).and_then(JobRecord::checked);
                        if record.is_err() {
                            self.held_ends.insert(*id, Vec::new());
                        }
                        job_records.insert(*id, record?);
                    }
                    Key::Progress(id) => {
                        let record = records::read(&key, value);
                        progress.insert(*id, record.as_ref().ok().cloned());
                        record?;
                    }
                    Key::HeldEnds(id) => {
                        held_ends.insert(*id, records::read(&key, value)?);
                    }
                    Key::Worker(id) => {
                        let record = records::read(&key, value);
                        self.inherit_worker(id, record.as_ref().ok());
                        record?;
                    }
                    Key::Interference => {
                        self.interference.restore(now, records::read(&key, value)?);
                    }
                    Key::Wave(wave) => {
                        let record = records::read(&key, value);
                        let record = record.inspect_err(|_| self.waves.hold(*wave))?;
                        self.waves.restore(*wave, record);
                    }
                }
                Ok(())
            });
            errors.extend(result.err());
        }
        for (id, ends) in &mut self.held_ends {
            *ends = held_ends.remove(id).unwrap_or_default();
        }
        for (id, record) in job_records {
            let mut progress = progress
                .remove(&id)
                .unwrap_or_else(|| Some(Progress::default()));
            if let Some(Err(error)) = progress.as_ref().map(|p| p.check(id, &record.spec)) {
                errors.push(error);
                progress = None;
            }
            let is_held = progress.is_none();
            let progress = progress.unwrap_or_default();
            let accepted_at = Millis(record.accepted_at.saturating_sub(self.clock_origin));
            let times = (now, accepted_at.min(now));
            let mut job = Job::restore(times, id, record, &progress, self.clock_origin);
            if is_held {
                job.hold();
            }
            self.suspects.extend(job.suspects());
            self.jobs.insert(job, self.clock_origin);
            let ends = held_ends.remove(&id);
            if is_held {
                self.held_ends.insert(id, ends.unwrap_or_default());
            } else if let Some(ends) = ends {
                self.apply_held_ends(id, &ends);
            }
        }
        errors
    }

    /// Adds a worker that an earlier owner may have sent orders to, without a record if that cannot
    /// be read.
    fn inherit_worker(&mut self, id: &Arc<str>, record: Option<&WorkerRecord>) {
        let info = WorkerInfo {
            id: Arc::clone(id),
            incarnation: record.map_or(0, |record| record.incarnation),
            address: record.map_or_else(|| "".into(), |record| Arc::clone(&record.address)),
            service: "".into(),
            domain: "".into(),
            labels: Vec::new(),
            capacity: Resources::default(),
            state: crate::WorkerState::Draining,
        };
        let mut worker = Worker::new(info);
        worker.has_record = true;
        worker.is_unidentified = record.is_none();
        worker.is_stored = true;
        worker.end_lists = EndLists::of(record);
        worker.lease_end = self.options.acquired_at + TAKEOVER_WAIT;
        if record.is_none_or(|record| record.stale_lease) {
            worker.stale_record = true;
            worker.stale_until = self.options.acquired_at + self.options.stale_takeover_wait();
        }
        self.unconfirmed_workers.insert(Arc::clone(id));
        self.workers.insert(Arc::clone(id), worker);
    }

    /// Applies the inputs and advances the state to `now`. Returns the actions for the driver.
    pub fn tick(&mut self, now: Millis, inputs: Vec<Input>) -> Vec<Output> {
        self.proof.note_tick(self.now, now);
        self.now = now;
        for input in inputs {
            self.handle_input(input);
        }
        self.answer_held_requests();
        self.refuse_stalled_submissions();
        self.retry_refused_writes();
        self.expire_leases();
        self.clear_stale_records();
        self.expire_late_starts();
        self.expire_jobs();
        self.open_occurrences();
        self.stop_incomplete_gangs();
        self.advance_waves();
        self.pass_overdue_calls();
        self.find_canary_services();
        self.start_tasks();
        self.check_stalls();
        self.send_orders();
        self.send_writes();
        std::mem::take(&mut self.outputs)
    }

    /// Returns when the next write is due, if any changes are pending and no write is in flight.
    #[must_use]
    pub const fn next_write_at(&self) -> Option<Millis> {
        self.writes.due_at()
    }

    /// Returns the number of jobs that have not ended.
    #[must_use]
    pub fn open_jobs(&self) -> usize {
        self.jobs.open_count()
    }

    /// Returns the number of jobs of which a task could run and nothing has run for some time, or of
    /// which a service task has not run for some time.
    #[must_use]
    pub const fn stalled_jobs(&self) -> usize {
        self.stalls.job_count
    }

    /// Returns what is known about the requests for advice.
    #[must_use]
    pub fn advice_status(&self) -> AdviceStatus {
        self.advice.status(self.now)
    }

    /// Returns whether the ownership was confirmed recently enough to start tasks and renew leases.
    #[must_use]
    pub fn is_ownership_confirmed(&self, now: Millis) -> bool {
        now.since(self.proof.confirmed_at) <= MAX_CONFIRMATION_AGE
    }

    /// Returns the proof that no other process owns the jobs, if there is a valid one.
    #[must_use]
    pub fn renewal_proof(&self, now: Millis) -> Option<RenewalProof> {
        self.proof.renewal(now)
    }

    /// Extends the lease of a session's worker to [`WORKER_LEASE`] from now on. Returns whether the
    /// lease was renewed; the agent must not rely on it otherwise.
    pub fn renew_lease(&mut self, now: Millis, session: u64) -> bool {
        if !self.is_ownership_confirmed(now) {
            return false;
        }
        let Some(worker) = self.session_worker(session) else {
            return false;
        };
        worker.lease_end = worker.lease_end.max(now + WORKER_LEASE);
        true
    }

    fn handle_input(&mut self, input: Input) {
        match input {
            Input::Policy(policy) => {
                if policy.version >= self.policy.version {
                    self.policy = policy;
                }
            }
            Input::Request(request_id, request) => self.handle_request(request_id, request),
            Input::Attach { session, worker } => self.open_session(session, worker),
            Input::WorkerChanged { session, worker } => self.update_worker(session, worker),
            Input::Report { session, report } => self.handle_report(session, report),
            Input::OwnershipConfirmed(at) => self.proof.confirm(at),
            Input::OwnershipRenewed(at) => self.proof.renew(at),
            Input::MachineList(machines) => self.update_machines(machines),
            Input::MaintenanceReply {
                wave,
                machine,
                reply,
            } => self.handle_maintenance_reply(wave, &machine, reply),
            Input::AdviceReply { call, reply } => self.handle_advice_reply(call, reply),
            Input::ClockOrigin(clock_origin) => {
                if clock_origin.abs_diff(self.clock_origin) > CLOCK_SHIFT_TOLERANCE.0 {
                    self.clock_origin = clock_origin;
                    self.jobs.reschedule_openings(clock_origin);
                }
            }
            Input::WriteCompleted(number) => self.complete_write(number, &[]),
            Input::WriteRefused { number, refused } => self.complete_write(number, &refused),
        }
    }

    /// Ends a job: stops its runs and stores its final state.
    pub(crate) fn end_job(&mut self, id: JobId) {
        self.jobs.mark_ended(self.now, id);
        let now = self.now;
        self.writes.mark_progress(now, id, true);
        self.writes.add_effect(now, Effect::Ended(id));
        self.advice.forget_job(id);
        self.interference.forget(id);
        let Some(job) = self.jobs.get(id) else { return };
        let runs = job.assigned_runs();
        for (worker, run) in runs {
            self.stop_run(&worker, run, LossCause::Stopped);
        }
    }

    /// Orders a run to stop, unless that was done before.
    pub(crate) fn stop_run(&mut self, worker: &Arc<str>, run: RunId, cause: LossCause) {
        let Some(worker) = self.workers.get_mut(worker) else {
            return;
        };
        let Some(worker_run) = worker.runs.get_mut(&run) else {
            return;
        };
        if worker_run.is_stopping {
            return;
        }
        worker_run.is_stopping = true;
        worker_run.stop_cause = Some(cause);
        if let Some(session) = worker.session {
            self.orders
                .entry(session)
                .or_default()
                .push(Order::Stop(run));
        }
    }

    pub(crate) fn apply_effect(&mut self, effect: Effect) {
        match effect {
            Effect::Accepted(id) => self.report_acceptance(id),
            Effect::Started(id) => self.mark_start_stored(id),
            Effect::Ended(id) => self.report_end(id),
            Effect::Worker(id) => {
                if let Some(worker) = self.workers.get_mut(&id) {
                    worker.is_stored = true;
                }
            }
            Effect::Ends {
                worker,
                session,
                number,
                jobs: _,
            } => {
                let Some(worker) = self.workers.get_mut(&worker) else {
                    return;
                };
                if worker.session == Some(session) && worker.acknowledged_end < number {
                    worker.acknowledged_end = number;
                    self.outputs.push(Output::Acknowledge { session, number });
                }
            }
        }
    }

    fn report_acceptance(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.mark_stored(self.now);
        let request_ids = std::mem::take(&mut job.submit_requests);
        let queue = Arc::clone(&job.rule.name);
        self.log(format!("job {id} accepted queue={queue}"));
        for request_id in request_ids {
            self.respond(request_id, CallerResponse::Accepted);
        }
    }

    fn report_end(&mut self, id: JobId) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.final_state = job.reached_state();
        let state = job.final_state.unwrap_or(JobState::Running);
        let after = job.ended_at.unwrap_or(self.now).since(job.accepted_at);
        let request_ids = std::mem::take(&mut job.cancel_requests);
        let allowed = job.allowed_time();
        let (queue, lost) = (Arc::clone(&job.rule.name), job.account.entries());
        let mut text = format!("job {id} ended state={state:?} after_ms={after}");
        if allowed.is_some_and(|allowed| after > allowed) {
            let causes = lost.iter().map(|(cause, time)| format!(" {cause}={time}"));
            text += &format!(" late queue={queue} lost_ms:{}", causes.collect::<String>());
        }
        self.log(text);
        if !lost.is_empty() {
            self.outputs.push(Output::LostTime { queue, lost });
        }
        for request_id in request_ids {
            self.respond(request_id, CallerResponse::Cancelled);
        }
    }

    /// Adds the occurrences that have become due.
    fn open_occurrences(&mut self) {
        for id in self.jobs.open_due_occurrences(self.now, self.clock_origin) {
            self.writes.mark_progress(self.now, id, false);
            self.log(format!("job {id}: occurrence due"));
        }
    }

    /// Adds the occurrence of a task that an earlier owner started early because its clock was
    /// ahead.
    pub(crate) fn open_occurrence_of(&mut self, task: TaskId) {
        self.jobs
            .open_occurrences_through(self.now, task.job, task.occurrence, self.clock_origin);
    }

    fn expire_jobs(&mut self) {
        let ended_before = self.now.since(ENDED_JOB_RETENTION);
        while let Some(id) = self.jobs.first_expired(ended_before) {
            if self.writes.is_refused(id) {
                // Its end is not stored, so that no caller has seen it.
                self.jobs.postpone_expiry(self.now);
                continue;
            }
            self.jobs.remove_first_ended();
            self.next_run.retain(|task, _| task.job != id);
            let held = self.held_ends.remove(&id).map(|_| Key::HeldEnds(id));
            for key in [Key::Job(id), Key::Progress(id)].into_iter().chain(held) {
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
        while let Some((number, mut records, progress)) = self.writes.start_write(self.now) {
            for id in progress {
                let job = self.jobs.get(id);
                let is_paused = |job: &Job| job.is_open() && self.writes.is_paused(id);
                let job = job.filter(|job| !is_paused(job));
                if let Some(job) = job.filter(|job| !job.is_held || job.is_cancelled) {
                    records.push(Record::put(Key::Progress(id), &job.progress()));
                }
            }
            if !records.is_empty() {
                if self.now >= self.interference_written_at + INTERFERENCE_WRITE_INTERVAL {
                    self.interference_written_at = self.now;
                    let weights = self.interference.records(self.now);
                    records.push(Record::put(Key::Interference, &weights));
                }
                // Ends that were held are dropped after they were applied to the progress.
                let is_late = |record: &Record| {
                    record.value.is_none() && matches!(record.key, Key::HeldEnds(_))
                };
                records.sort_by_key(is_late);
                self.writes.note_retried(&records);
                self.outputs.push(Output::Write { number, records });
                return;
            }
            // The pending effects need no write, for example the end of an outdated run.
            self.complete_write(number, &[]);
        }
    }

    /// Returns the highest run number that earlier owners may have used.
    pub(crate) const fn last_inherited_run(&self) -> u64 {
        (self.options.epoch - 1) * RUNS_PER_EPOCH
    }

    pub(crate) fn session_worker(&mut self, session: u64) -> Option<&mut Worker> {
        let id = self.sessions.get(&session)?;
        self.workers.get_mut(id)
    }

    pub(crate) fn respond(&mut self, id: RequestId, response: CallerResponse) {
        self.outputs.push(Output::Response(id, response));
    }

    pub(crate) fn log(&mut self, text: String) {
        self.outputs.push(Output::Log(text));
    }
}

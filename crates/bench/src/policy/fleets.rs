//! A fleet in virtual time: schedulers, workers, an in-memory stream for each cell, and callers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use hdrhistogram::Histogram;
use hyssop_core::{
    CellId, Class, ConfView, DocView, DomainName, DomainState, JobCall, JobId, JobReply, JobSpec,
    Millis, PollRequest, RackName, Refusal, Resources, ServiceName, TeamName, Version, WorkerName,
};
use hyssop_plan::{Input, Output};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use super::callers::Callers;
use super::mixes::{JobKind, Mix};
use super::scenarios::Scenario;
use super::schedulers::{Policy, SchedulerDriver, WORKERS_PER_DOMAIN, create_drivers, worker_name};
use super::workers::{JobBehavior, JobBehaviors, TaskEnd, Worker};

/// Virtual time that passes in one tick.
pub(super) const TICK_INTERVAL: Millis = Millis(100);
const WORKERS_PER_RACK: usize = 3;
/// Share of batch jobs that interfere strongly, and the factor on the slowdown that they cause.
const NOISY_JOBS: (f64, f64) = (0.1, 8.0);

/// Results of one run after the warm-up.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Latencies of the latency-critical service, in microseconds.
    pub latency: Histogram<u64>,
    /// Number of requests without a running instance.
    pub unserved: u64,
    /// Batch work done and not lost, in core-seconds.
    pub work: f64,
    /// Number of batch jobs finished.
    pub finished: u64,
    /// Number of batch tasks that workers evicted on an order.
    pub evictions: u64,
    /// Batch work during the outage and the recovery of a domain, in core-seconds; 0 in scenarios
    /// without an outage.
    pub away_work: f64,
    /// Number of times that a job finished again after it had finished, including the warm-up.
    pub finished_twice: u64,
}

/// Workers and schedulers of a fleet with the load on them.
pub(super) struct Fleet {
    now: Millis,
    mix: Mix,
    scenario: Scenario,
    drivers: Vec<SchedulerDriver>,
    workers: BTreeMap<WorkerName, Worker>,
    conf: ConfView,
    /// Factor on all slowdowns caused by batch jobs.
    noise: f64,
    behaviors: JobBehaviors,
    job_cores: BTreeMap<JobId, f64>,
    saved_work: BTreeMap<JobId, u64>,
    finished: BTreeMap<JobId, u64>,
    finished_twice: u64,
    submissions: VecDeque<(usize, JobSpec)>,
    pending_submissions: BTreeMap<u64, (usize, JobSpec)>,
    pending_transfers: BTreeMap<u64, (usize, JobId)>,
    last_token: u64,
    arrival_rng: StdRng,
    submitted_jobs: usize,
    callers: Callers,
}

impl Fleet {
    pub(super) fn new(
        mix: &Mix,
        policy: Policy,
        scenario: Scenario,
        seed: u64,
        noise: f64,
    ) -> Self {
        let mut workers = BTreeMap::new();
        for (domain, count) in mix.domains.iter().zip(WORKERS_PER_DOMAIN) {
            for n in 0..count {
                let rack = RackName::new(format!("{domain}-r{}", n / WORKERS_PER_RACK));
                let worker = Worker::new(rack.expect("a valid name"));
                workers.insert(worker_name(domain, n), worker);
            }
        }
        let mut fleet = Self {
            now: Millis(10_000),
            mix: mix.clone(),
            scenario,
            drivers: create_drivers(mix, policy, seed),
            workers,
            conf: ConfView::default(),
            noise,
            behaviors: BTreeMap::new(),
            job_cores: BTreeMap::new(),
            saved_work: BTreeMap::new(),
            finished: BTreeMap::new(),
            finished_twice: 0,
            submissions: VecDeque::new(),
            pending_submissions: BTreeMap::new(),
            pending_transfers: BTreeMap::new(),
            last_token: 0,
            arrival_rng: StdRng::seed_from_u64(seed),
            submitted_jobs: 0,
            callers: Callers::new(seed),
        };
        for doc in mix.docs.clone() {
            let version = Version(0);
            let service = doc.service.clone();
            fleet.conf.docs.insert(service, DocView { version, doc });
        }
        fleet.publish_conf();
        for kind in mix.job_kinds.clone() {
            for _ in 0..kind.initial_jobs {
                fleet.add_job(kind);
            }
        }
        fleet
    }

    /// Runs the scenario for `warmup_seconds + seconds` and returns the results after the warm-up.
    pub(super) fn run(mut self, warmup_seconds: u64, seconds: u64) -> Measured {
        let (warmup_end, end) = (
            self.now + Millis(warmup_seconds * 1_000),
            warmup_seconds + seconds,
        );
        let end = self.now + Millis(end * 1_000);
        let started_at = self.now;
        let (mut warmup_work, mut warmup_finished, mut warmup_evictions) = (0.0, 0, 0);
        let (mut work_at_outage, mut away_work) = (0.0, 0.0);
        while self.now < end {
            self.tick(started_at);
            if self.now == warmup_end {
                warmup_work = self.batch_work();
                warmup_finished = self.finished.len();
                warmup_evictions = self.evictions();
                self.callers.clear();
            }
            let at = self.now.since(started_at).0 / 1_000;
            if self.now.since(started_at).0.is_multiple_of(1_000) {
                if self.scenario.domain_out_second() == Some(at) {
                    work_at_outage = self.batch_work();
                }
                if self.scenario.recovered_second() == Some(at) {
                    away_work = self.batch_work() - work_at_outage;
                }
            }
        }
        Measured {
            work: self.batch_work() - warmup_work,
            finished: (self.finished.len() - warmup_finished) as u64,
            evictions: self.evictions() - warmup_evictions,
            away_work,
            finished_twice: self.finished_twice,
            latency: self.callers.latency,
            unserved: self.callers.unserved,
        }
    }

    fn evictions(&self) -> u64 {
        self.workers.values().map(|worker| worker.evictions).sum()
    }

    /// Returns the batch work done and not lost so far, in core-seconds.
    fn batch_work(&self) -> f64 {
        let mut done: BTreeMap<&JobId, u64> =
            self.saved_work.iter().map(|(j, d)| (j, *d)).collect();
        for worker in self.workers.values() {
            done.extend(worker.batch_progress());
        }
        done.extend(self.finished.iter().map(|(j, d)| (j, *d)));
        let cores = |job: &JobId| self.job_cores.get(job).copied().unwrap_or(0.0);
        let done = done.into_iter();
        done.map(|(job, ms)| cores(job) * ms as f64 / 1_000.0).sum()
    }

    fn publish_conf(&mut self) {
        self.conf.applied = self.conf.applied.next();
        let view = Arc::new(self.conf.clone());
        for driver in &mut self.drivers {
            driver.inputs.push(Input::Conf(Arc::clone(&view)));
        }
    }

    fn tick(&mut self, started_at: Millis) {
        self.now = self.now + TICK_INTERVAL;
        let at = self.now.since(started_at);
        self.apply_scenario(at);
        let conditions = self.scenario.conditions(at);
        for worker in self.workers.values_mut().filter(|worker| !worker.is_down) {
            for (job, end) in worker.run(self.now, TICK_INTERVAL, conditions) {
                match end {
                    TaskEnd::Finished(work) => {
                        let earlier = self.finished.insert(job, work);
                        self.finished_twice += u64::from(earlier.is_some());
                    }
                    TaskEnd::Interrupted(work) => {
                        self.saved_work.insert(job, work);
                    }
                }
            }
        }
        for kind in self.mix.job_kinds.clone() {
            let rate = kind.jobs_per_second * self.scenario.arrival_factor(at, kind.has_waves);
            if self.arrival_rng.random::<f64>() < rate * TICK_INTERVAL.0 as f64 / 1_000.0 {
                self.add_job(kind);
            }
        }
        self.submit_jobs();
        for n in 0..self.drivers.len() {
            self.run_driver(n);
        }
        let service = self.mix.critical_service;
        let running = self.workers.values().filter(|worker| !worker.is_down);
        let instances: Vec<f64> = running
            .flat_map(|w| w.instance_slowdowns(service))
            .collect();
        self.callers
            .send_requests(TICK_INTERVAL, conditions.load, &instances);
    }

    /// Applies the faults and operator actions that the scenario sets for this second.
    fn apply_scenario(&mut self, at: Millis) {
        if !at.0.is_multiple_of(1_000) {
            return;
        }
        let second = at.0 / 1_000;
        let domains = self.mix.domains;
        if let Some(state) = self.scenario.domain_change(second) {
            let name = DomainName::new(domains[1]).expect("a valid name");
            let version = Version(self.conf.applied.0);
            self.conf.domains.insert(name, (version, state));
            self.publish_conf();
        }
        if let Some(is_failing) = self.scenario.worker_failure_change(second)
            && let Some(worker) = self.workers.get_mut(&worker_name(domains[0], 1))
        {
            worker.is_failing = is_failing;
        }
        if let Some(is_down) = self.scenario.worker_down_change(second)
            && let Some(worker) = self.workers.get_mut(&worker_name(domains[2], 0))
        {
            if is_down {
                self.saved_work.extend(worker.crash());
            } else {
                worker.is_down = false;
            }
        }
    }

    /// Adds a job to the next submissions. The number of random draws does not depend on the
    /// policy, so that all policies get the same jobs.
    fn add_job(&mut self, kind: JobKind) {
        self.submitted_jobs += 1;
        let team = TeamName::new(self.mix.team).expect("a valid name");
        let work = self
            .arrival_rng
            .random_range(kind.work_ms.0..=kind.work_ms.1);
        let is_noisy = self.arrival_rng.random::<f64>() < NOISY_JOBS.0;
        let noise = self.arrival_rng.random_range(0.6..1.0)
            * if is_noisy { NOISY_JOBS.1 } else { 1.0 }
            * self.noise;
        let draw = self.arrival_rng.random::<f64>();
        let (work_factor, noise_factor) = self.scenario.declaration_errors(draw);
        let id = JobId::derive(&team, &self.submitted_jobs.to_string());
        let behavior = JobBehavior {
            work: (work as f64 * work_factor) as u64,
            noise: noise * noise_factor,
        };
        self.behaviors.insert(id.clone(), behavior);
        self.job_cores
            .insert(id.clone(), f64::from(kind.cpu_millicores) / 1_000.0);
        let service = ServiceName::new(kind.service).expect("a valid name");
        let spec = JobSpec {
            id,
            team,
            kind: service.clone(),
            service,
            class: Class::Batch,
            needs: Resources::new(kind.cpu_millicores, kind.memory_mib, 0),
            work: Millis(work),
            domains: SmallVec::new(),
            payload: String::new(),
        };
        self.submissions.push_back((self.submitted_jobs, spec));
    }

    fn submit_jobs(&mut self) {
        for (n, spec) in std::mem::take(&mut self.submissions) {
            let index = n % self.drivers.len();
            let token = self.queue_call(index, JobCall::Submit(spec.clone()));
            self.pending_submissions.insert(token, (n, spec));
        }
    }

    fn queue_call(&mut self, index: usize, call: JobCall) -> u64 {
        self.last_token += 1;
        let token = self.last_token;
        self.drivers[index].inputs.push(Input::Call { token, call });
        token
    }

    fn run_driver(&mut self, n: usize) {
        let others = self.drivers.iter().enumerate().filter(|(m, _)| *m != n);
        let peers = others.filter_map(|(_, driver)| driver.state()).collect();
        let outputs = self.drivers[n].tick(self.now, peers);
        for output in outputs {
            self.handle_output(n, output);
        }
    }

    fn handle_output(&mut self, n: usize, output: Output) {
        match output {
            Output::Append(records) => self.drivers[n].unread_records.extend(records),
            Output::Poll { worker, request } => {
                let input = self.poll_worker(worker, &request);
                self.drivers[n].inputs.push(input);
            }
            Output::Reply { token, reply } => self.on_reply(token, reply),
            Output::Transfer {
                to,
                spec,
                attempt,
                checkpoint,
                crashes,
            } => {
                let job = spec.id.clone();
                let call = JobCall::transfer(spec, attempt, checkpoint, crashes);
                self.call_cell(n, &to, job, call);
            }
            Output::SendResult {
                to,
                job,
                attempt,
                result,
            } => {
                let call = JobCall::LateResult {
                    job: job.clone(),
                    attempt,
                    result,
                };
                self.call_cell(n, &to, job, call);
            }
            Output::AbandonAppends | Output::Stopped => {}
        }
    }

    fn call_cell(&mut self, n: usize, to: &CellId, job: JobId, call: JobCall) {
        let Some(index) = self.drivers.iter().position(|driver| driver.cell == *to) else {
            return;
        };
        let token = self.queue_call(index, call);
        self.pending_transfers.insert(token, (n, job));
    }

    fn on_reply(&mut self, token: u64, reply: JobReply) {
        if let Some((n, job)) = self.pending_transfers.remove(&token) {
            self.drivers[n]
                .inputs
                .push(Input::Transferred { job, reply });
        } else if let Some(submission) = self.pending_submissions.remove(&token) {
            let is_retryable = matches!(
                reply,
                JobReply::Unknown | JobReply::Refused(Refusal::NotOwner(_) | Refusal::Limit(_))
            );
            if is_retryable {
                self.submissions.push_back(submission);
            }
        }
    }

    fn poll_worker(&mut self, name: WorkerName, request: &PollRequest) -> Input {
        let sent = self.now;
        let worker = self.workers.get_mut(&name).filter(|worker| !worker.is_down);
        let Some(worker) = worker else {
            return Input::PollFailed {
                worker: name,
                sent_at: sent,
            };
        };
        let mut saved_work = Vec::new();
        let result = worker.poll(self.now, request, &self.behaviors, &mut saved_work);
        self.saved_work.extend(saved_work);
        match result {
            Ok(reply) => Input::Polled {
                worker: name,
                sent_at: sent,
                reply,
            },
            Err(fenced) => Input::Fenced {
                worker: name,
                term: fenced.term,
            },
        }
    }
}

/// Returns the state of a domain that is in or out of service.
pub(super) const fn domain_state(is_out: bool) -> DomainState {
    if is_out {
        DomainState::Out
    } else {
        DomainState::In
    }
}

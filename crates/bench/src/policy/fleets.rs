//! A fleet in virtual time: owners, workers, an in-memory stream for each cell, and callers.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use hdrhistogram::Histogram;
use hyssop_core::{
    Attempt, CellId, Class, ConfView, DocView, DomainName, DomainState, JobCall, JobId, JobReply,
    JobSpec, Millis, PollRequest, RackName, Refusal, Resources, ServiceName, TeamName, Version,
    WorkerName,
};
use hyssop_plan::{Input, Output};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use smallvec::SmallVec;

use super::callers::Callers;
use super::mixes::{Kind, Mix};
use super::scenarios::Scenario;
use super::schedulers::{Policy, Seat, WORKERS, seats, worker_name};
use super::workers::{Change, Truth, Truths, Worker};

/// Interval of the ticks.
pub(super) const STEP: Millis = Millis(100);
const RACK: usize = 3;
/// Part of the batch jobs that are loud, and the factor on the slowdown that they cause.
const LOUD: (f64, f64) = (0.1, 8.0);

/// What one run measured.
#[derive(Clone, Debug)]
pub struct Measured {
    /// Latencies of the latency-critical service, in microseconds.
    pub latency: Histogram<u64>,
    /// Requests that found no instance.
    pub unserved: u64,
    /// Batch work done, in core-seconds.
    pub work: f64,
    /// Batch jobs finished.
    pub finished: u64,
    /// Batch tasks evicted by order.
    pub evictions: u64,
    /// Batch work done while a domain was away and came back, in core-seconds.
    pub away: f64,
    /// Jobs that finished twice.
    pub twice: u64,
}

/// A fleet with its load.
pub(super) struct Fleet {
    now: Millis,
    mix: Mix,
    scenario: Scenario,
    seats: Vec<Seat>,
    workers: BTreeMap<WorkerName, Worker>,
    conf: ConfView,
    /// Factor on all slowdowns that batch jobs cause.
    noise: f64,
    truths: Truths,
    cores: BTreeMap<JobId, f64>,
    kept: BTreeMap<JobId, u64>,
    finished: BTreeMap<JobId, u64>,
    twice: u64,
    submissions: VecDeque<(usize, JobSpec)>,
    waiting: BTreeMap<u64, (usize, JobSpec)>,
    transfers: BTreeMap<u64, (usize, JobId)>,
    token: u64,
    arrivals: StdRng,
    jobs: usize,
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
        for (domain, count) in mix.domains.iter().zip(WORKERS) {
            for n in 0..count {
                let rack = RackName::new(format!("{domain}-r{}", n / RACK));
                let worker = Worker::new(rack.expect("a valid name"));
                workers.insert(worker_name(domain, n), worker);
            }
        }
        let mut fleet = Self {
            now: Millis(10_000),
            mix: mix.clone(),
            scenario,
            seats: seats(mix, policy, seed),
            workers,
            conf: ConfView::default(),
            noise,
            truths: BTreeMap::new(),
            cores: BTreeMap::new(),
            kept: BTreeMap::new(),
            finished: BTreeMap::new(),
            twice: 0,
            submissions: VecDeque::new(),
            waiting: BTreeMap::new(),
            transfers: BTreeMap::new(),
            token: 0,
            arrivals: StdRng::seed_from_u64(seed),
            jobs: 0,
            callers: Callers::new(seed),
        };
        for doc in mix.docs.clone() {
            let version = Version(0);
            let service = doc.service.clone();
            fleet.conf.docs.insert(service, DocView { version, doc });
        }
        fleet.spread_conf();
        for kind in mix.kinds.clone() {
            for _ in 0..kind.first {
                fleet.arrive(kind);
            }
        }
        fleet
    }

    /// Lets the whole scenario pass and returns what was measured after the warm-up.
    pub(super) fn run(mut self, warm: u64, seconds: u64) -> Measured {
        let (warm, end) = (self.now + Millis(warm * 1_000), warm + seconds);
        let end = self.now + Millis(end * 1_000);
        let origin = self.now;
        let (mut base, mut jobs, mut evictions) = (0.0, 0, 0);
        let (mut left, mut away) = (0.0, 0.0);
        while self.now < end {
            self.step(origin);
            if self.now == warm {
                base = self.work();
                jobs = self.finished.len();
                evictions = self.evictions();
                self.callers.clear();
            }
            let at = self.now.since(origin).0 / 1_000;
            if self.now.since(origin).0.is_multiple_of(1_000) {
                if self.scenario.leaves() == Some(at) {
                    left = self.work();
                }
                if self.scenario.settled() == Some(at) {
                    away = self.work() - left;
                }
            }
        }
        Measured {
            work: self.work() - base,
            finished: (self.finished.len() - jobs) as u64,
            evictions: self.evictions() - evictions,
            away,
            twice: self.twice,
            latency: self.callers.latency,
            unserved: self.callers.unserved,
        }
    }

    fn evictions(&self) -> u64 {
        self.workers.values().map(|worker| worker.evictions).sum()
    }

    /// Returns the batch work done and not lost so far, in core-seconds.
    fn work(&self) -> f64 {
        let mut done: BTreeMap<&JobId, u64> = self.kept.iter().map(|(j, d)| (j, *d)).collect();
        for worker in self.workers.values() {
            done.extend(worker.progress());
        }
        done.extend(self.finished.iter().map(|(j, d)| (j, *d)));
        let cores = |job: &JobId| self.cores.get(job).copied().unwrap_or(0.0);
        let done = done.into_iter();
        done.map(|(job, ms)| cores(job) * ms as f64 / 1_000.0).sum()
    }

    fn spread_conf(&mut self) {
        self.conf.applied = self.conf.applied.next();
        let view = Arc::new(self.conf.clone());
        for seat in &mut self.seats {
            seat.inputs.push(Input::Conf(Arc::clone(&view)));
        }
    }

    fn step(&mut self, origin: Millis) {
        self.now = self.now + STEP;
        let at = self.now.since(origin);
        self.apply_scenario(at);
        let weather = self.scenario.weather(at);
        for worker in self.workers.values_mut().filter(|worker| !worker.dead) {
            for (job, change) in worker.run(self.now, STEP, weather) {
                match change {
                    Change::Finished(work) => {
                        let earlier = self.finished.insert(job, work);
                        self.twice += u64::from(earlier.is_some());
                    }
                    Change::Left(work) => {
                        self.kept.insert(job, work);
                    }
                }
            }
        }
        for kind in self.mix.kinds.clone() {
            let rate = kind.rate * self.scenario.arrivals(at, kind.waves);
            if self.arrivals.random::<f64>() < rate * STEP.0 as f64 / 1_000.0 {
                self.arrive(kind);
            }
        }
        self.submit();
        for n in 0..self.seats.len() {
            self.drive(n);
        }
        let service = self.mix.service;
        let live = self.workers.values().filter(|worker| !worker.dead);
        let instances: Vec<f64> = live.flat_map(|w| w.instances(service)).collect();
        self.callers.call(STEP, weather.load, &instances);
    }

    /// Applies the faults and operators' changes of the scenario.
    fn apply_scenario(&mut self, at: Millis) {
        if !at.0.is_multiple_of(1_000) {
            return;
        }
        let second = at.0 / 1_000;
        let domains = self.mix.domains;
        if let Some(state) = self.scenario.domain(second) {
            let name = DomainName::new(domains[1]).expect("a valid name");
            let version = Version(self.conf.applied.0);
            self.conf.domains.insert(name, (version, state));
            self.spread_conf();
        }
        if let Some(fails) = self.scenario.failing(second)
            && let Some(worker) = self.workers.get_mut(&worker_name(domains[0], 1))
        {
            worker.fails = fails;
        }
        if let Some(dead) = self.scenario.dead(second)
            && let Some(worker) = self.workers.get_mut(&worker_name(domains[2], 0))
        {
            if dead {
                self.kept.extend(worker.die());
            } else {
                worker.dead = false;
            }
        }
    }

    /// Adds a job. The draws are the same whatever the policy does.
    fn arrive(&mut self, kind: Kind) {
        self.jobs += 1;
        let team = TeamName::new(self.mix.team).expect("a valid name");
        let work = self.arrivals.random_range(kind.work.0..=kind.work.1);
        let loud = self.arrivals.random::<f64>() < LOUD.0;
        let noise =
            self.arrivals.random_range(0.6..1.0) * if loud { LOUD.1 } else { 1.0 } * self.noise;
        let off = self.arrivals.random::<f64>();
        let (factor, noise_factor) = self.scenario.misstatement(off);
        let id = JobId::derive(&team, &self.jobs.to_string());
        let truth = Truth {
            work: (work as f64 * factor) as u64,
            noise: noise * noise_factor,
        };
        self.truths.insert(id.clone(), truth);
        self.cores.insert(id.clone(), f64::from(kind.cpu) / 1_000.0);
        let service = ServiceName::new(kind.service).expect("a valid name");
        let spec = JobSpec {
            id,
            team,
            kind: service.clone(),
            service,
            class: Class::Batch,
            needs: Resources::new(kind.cpu, kind.mem, 0),
            work: Millis(work),
            domains: SmallVec::new(),
            payload: String::new(),
        };
        self.submissions.push_back((self.jobs, spec));
    }

    fn submit(&mut self) {
        for (n, spec) in std::mem::take(&mut self.submissions) {
            let seat = n % self.seats.len();
            let token = self.call(seat, JobCall::Submit(spec.clone()));
            self.waiting.insert(token, (n, spec));
        }
    }

    fn call(&mut self, seat: usize, call: JobCall) -> u64 {
        self.token += 1;
        let token = self.token;
        self.seats[seat].inputs.push(Input::Call { token, call });
        token
    }

    fn drive(&mut self, n: usize) {
        let others = self.seats.iter().enumerate().filter(|(m, _)| *m != n);
        let peers = others.filter_map(|(_, seat)| seat.state()).collect();
        let outputs = self.seats[n].tick(self.now, peers);
        for output in outputs {
            self.carry_out(n, output);
        }
    }

    fn carry_out(&mut self, n: usize, output: Output) {
        match output {
            Output::Append(records) => self.seats[n].unread.extend(records),
            Output::Poll { worker, request } => {
                let input = self.poll(worker, &request);
                self.seats[n].inputs.push(input);
            }
            Output::Reply { token, reply } => self.replied(token, reply),
            Output::Transfer {
                to,
                spec,
                attempt,
                checkpoint,
            } => self.transfer(n, &to, spec, attempt, checkpoint),
            Output::AbandonAppends | Output::Stopped => {}
        }
    }

    fn transfer(&mut self, n: usize, to: &CellId, spec: JobSpec, attempt: Attempt, done: u64) {
        let Some(seat) = self.seats.iter().position(|seat| seat.cell == *to) else {
            return;
        };
        let job = spec.id.clone();
        let call = JobCall::Transfer {
            spec,
            attempt,
            checkpoint: done,
        };
        let token = self.call(seat, call);
        self.transfers.insert(token, (n, job));
    }

    fn replied(&mut self, token: u64, reply: JobReply) {
        if let Some((n, job)) = self.transfers.remove(&token) {
            self.seats[n].inputs.push(Input::Transferred { job, reply });
        } else if let Some(submission) = self.waiting.remove(&token) {
            let again = matches!(
                reply,
                JobReply::Unknown | JobReply::Refused(Refusal::NotOwner(_) | Refusal::Limit(_))
            );
            if again {
                self.submissions.push_back(submission);
            }
        }
    }

    fn poll(&mut self, name: WorkerName, request: &PollRequest) -> Input {
        let sent = self.now;
        let worker = self.workers.get_mut(&name).filter(|worker| !worker.dead);
        let Some(worker) = worker else {
            return Input::PollFailed {
                worker: name,
                sent_at: sent,
            };
        };
        let mut kept = Vec::new();
        let result = worker.poll(self.now, request, &self.truths, &mut kept);
        self.kept.extend(kept);
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

/// Returns the state of a domain that is written for a flag.
pub(super) const fn state_of(out: bool) -> DomainState {
    if out {
        DomainState::Out
    } else {
        DomainState::In
    }
}

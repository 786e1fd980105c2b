//! A worker in virtual time that keeps the platform's rules and slows neighbours down.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::limits::{ORDER_TTL, TASK_LEASE};
use hyssop_core::{
    Attempt, Class, Event, EventKind, Fenced, Incarnation, JobId, Millis, Order, OrderReject,
    PollReply, PollRequest, RackName, Renewal, Resources, RunningTask, StartOrder, Term, Usage,
    WorkerTimestamp,
};
use smallvec::SmallVec;

use super::mixes::slowdown;

/// Interval of the checkpoints that tasks make by themselves.
const CHECKPOINT: u64 = 10_000;
/// Age that a measurement must reach before it is reported.
const LAG: Millis = Millis(2_000);
/// Time that a task needs before it works, from the beginning and from a checkpoint.
const START: Millis = Millis(1_000);
const RESTORE: Millis = Millis(3_000);
/// Interval of the measurements.
const SAMPLE: u64 = 500;

/// What a job does, whatever it declares.
#[derive(Clone, Copy, Debug)]
pub(super) struct Truth {
    /// Work, in milliseconds.
    pub(super) work: u64,
    /// Factor on the slowdown that it causes.
    pub(super) noise: f64,
}

/// Conditions that hold for all workers at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Weather {
    /// Load of the latency-critical services, 1 for the mean.
    pub(super) load: f64,
    /// Factor on the slowdowns caused by batch tasks.
    pub(super) wave: f64,
}

/// A task that runs.
#[derive(Clone, Debug)]
struct Live {
    order: StartOrder,
    truth: Truth,
    lease: Millis,
    ready: Millis,
    done: f64,
    checkpoint: u64,
    percent: u8,
    slowdown: f64,
    samples: VecDeque<(Millis, u32, u64)>,
}

/// A worker.
#[derive(Debug)]
pub(super) struct Worker {
    capacity: Resources,
    rack: RackName,
    incarnation: Incarnation,
    term: Term,
    tasks: BTreeMap<JobId, Live>,
    seen: BTreeMap<JobId, Attempt>,
    events: Vec<Event>,
    seq: u64,
    sampled: Millis,
    /// Batch tasks that were evicted by order.
    pub(super) evictions: u64,
    /// Whether the host is gone.
    pub(super) dead: bool,
    /// Whether every task fails right after its start.
    pub(super) fails: bool,
}

/// What became of a task in one step.
pub(super) enum Change {
    /// The job is done; its work in milliseconds.
    Finished(u64),
    /// The job left with so much of its work kept.
    Left(u64),
}

/// Truths of all jobs.
pub(super) type Truths = BTreeMap<JobId, Truth>;

impl Worker {
    pub(super) fn new(rack: RackName) -> Self {
        Self {
            capacity: Resources::new(16_000, 60 * 1_024, 0),
            rack,
            incarnation: Incarnation(1),
            term: Term(0),
            tasks: BTreeMap::new(),
            seen: BTreeMap::new(),
            events: Vec::new(),
            seq: 0,
            sampled: Millis(0),
            evictions: 0,
            dead: false,
            fails: false,
        }
    }

    /// Loses the host with all that ran on it, and returns what is kept of the jobs.
    pub(super) fn die(&mut self) -> Vec<(JobId, u64)> {
        self.dead = true;
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.seen.clear();
        self.events.clear();
        self.seq = 0;
        self.term = Term(0);
        let tasks = std::mem::take(&mut self.tasks);
        tasks.into_iter().map(|(j, l)| (j, l.checkpoint)).collect()
    }

    /// Returns the progress of the batch tasks.
    pub(super) fn progress(&self) -> impl Iterator<Item = (&JobId, u64)> {
        let batch = self.tasks.iter();
        let batch = batch.filter(|(_, l)| l.order.class != Class::LatencyCritical);
        batch.map(|(job, live)| (job, live.done as u64))
    }

    /// Returns the slowdown of each instance of a service.
    pub(super) fn instances(&self, service: &str) -> impl Iterator<Item = f64> {
        let same = move |l: &&Live| l.order.service.as_str() == service;
        self.tasks.values().filter(same).map(|l| l.slowdown)
    }

    fn event(&mut self, job: &JobId, attempt: Attempt, kind: EventKind) {
        self.seq += 1;
        self.events.push(Event {
            seq: self.seq,
            job: job.clone(),
            attempt,
            kind,
        });
    }

    /// Computes what each task suffers from the others.
    fn interfere(&mut self, weather: Weather) {
        let loads: Vec<(JobId, String, f64, bool)> = self
            .tasks
            .iter()
            .map(|(job, live)| {
                let critical = live.order.class == Class::LatencyCritical;
                let wave = if critical { 1.0 } else { weather.wave };
                let noise = live.truth.noise * f64::from(live.percent) / 100.0 * wave;
                let service = live.order.service.as_str().to_owned();
                (job.clone(), service, noise, critical)
            })
            .collect();
        for (job, live) in &mut self.tasks {
            let victim = live.order.service.as_str();
            let others = loads.iter().filter(|(other, ..)| other != job);
            let sum: f64 = others
                .map(|(_, s, noise, _)| slowdown(victim, s) * noise)
                .sum();
            let critical = live.order.class == Class::LatencyCritical;
            live.slowdown = 1.0 + sum * if critical { weather.load } else { 1.0 };
        }
    }

    /// Lets time pass: tasks work, finish, fail and lose their leases.
    pub(super) fn run(
        &mut self,
        now: Millis,
        passed: Millis,
        weather: Weather,
    ) -> Vec<(JobId, Change)> {
        self.interfere(weather);
        let mut ended = Vec::new();
        for (job, live) in &mut self.tasks {
            let speed = f64::from(live.percent) / 100.0 / live.slowdown;
            if now > live.ready {
                live.done += passed.0 as f64 * speed;
            }
            let done = live.done as u64;
            if done >= live.checkpoint + CHECKPOINT {
                live.checkpoint = done;
            }
            if now > live.lease {
                let kind = EventKind::Evicted { checkpoint: done };
                ended.push((job.clone(), live.order.attempt, kind, Change::Left(done)));
            } else if self.fails && live.order.class != Class::LatencyCritical {
                let cause = "the task could not start".to_owned();
                let change = Change::Left(live.order.checkpoint);
                ended.push((
                    job.clone(),
                    live.order.attempt,
                    EventKind::Failed { cause },
                    change,
                ));
            } else if done >= live.truth.work {
                let result = "done".to_owned();
                let kind = EventKind::Finished { result };
                let change = Change::Finished(live.truth.work);
                ended.push((job.clone(), live.order.attempt, kind, change));
            }
        }
        self.sample(now);
        let mut changes = Vec::new();
        for (job, attempt, kind, change) in ended {
            self.tasks.remove(&job);
            self.event(&job, attempt, kind);
            changes.push((job, change));
        }
        changes
    }

    fn sample(&mut self, now: Millis) {
        if now.since(self.sampled).0 < SAMPLE {
            return;
        }
        self.sampled = now;
        for live in self.tasks.values_mut() {
            let slowdown = (live.slowdown * 100.0).round() as u32;
            live.samples.push_back((now, slowdown, live.done as u64));
        }
    }

    /// Answers a poll. Orders that end tasks report what is kept of the jobs.
    pub(super) fn poll(
        &mut self,
        now: Millis,
        request: &PollRequest,
        truths: &Truths,
        kept: &mut Vec<(JobId, u64)>,
    ) -> Result<PollReply, Fenced> {
        if request.term < self.term {
            return Err(Fenced { term: self.term });
        }
        let fresh = request.term > self.term || self.term == Term(0);
        self.term = request.term;
        self.events.retain(|event| event.seq > request.acked_seq);
        let stamp = request
            .timestamp
            .filter(|s| s.incarnation == self.incarnation);
        if let Some(stamp) = stamp {
            self.renew(stamp, request.renewal);
        }
        let valid = stamp.is_some_and(|s| now.since(s.at) <= ORDER_TTL);
        let mut rejected = SmallVec::new();
        for (place, order) in (0..).zip(&request.orders) {
            let result = if valid {
                self.obey(now, order, truths, kept)
            } else {
                Err(OrderReject::StaleTimestamp)
            };
            if let Err(reject) = result {
                rejected.push((place, reject));
            }
        }
        let full = request.wants_inventory || fresh;
        Ok(PollReply {
            timestamp: WorkerTimestamp {
                incarnation: self.incarnation,
                at: now,
            },
            term: self.term,
            capacity: self.capacity,
            rack: self.rack.clone(),
            events: self.events.clone(),
            usage: self.usage(now),
            inventory: full.then(|| self.inventory()),
            rejected,
        })
    }

    fn renew(&mut self, stamp: WorkerTimestamp, renew: Renewal) {
        for live in self.tasks.values_mut() {
            let critical = live.order.class == Class::LatencyCritical;
            if renew == Renewal::All || renew == Renewal::Critical && critical {
                live.lease = live.lease.max(stamp.at + TASK_LEASE);
            }
        }
    }

    fn obey(
        &mut self,
        now: Millis,
        order: &Order,
        truths: &Truths,
        kept: &mut Vec<(JobId, u64)>,
    ) -> Result<(), OrderReject> {
        match order {
            Order::Start(order) => self.start(now, order, truths),
            Order::Throttle {
                job,
                attempt,
                percent,
            } => {
                self.find(job, *attempt)?.percent = (*percent).clamp(1, 100);
                Ok(())
            }
            Order::Evict { job, attempt } => {
                let live = self.find(job, *attempt)?;
                let checkpoint = live.done as u64;
                let batch = live.order.class != Class::LatencyCritical;
                self.evictions += u64::from(batch);
                self.tasks.remove(job);
                kept.push((job.clone(), checkpoint));
                self.event(job, *attempt, EventKind::Evicted { checkpoint });
                Ok(())
            }
            Order::Stop { job, attempt } => {
                let checkpoint = self.find(job, *attempt)?.checkpoint;
                self.tasks.remove(job);
                kept.push((job.clone(), checkpoint));
                self.event(job, *attempt, EventKind::Stopped);
                Ok(())
            }
        }
    }

    fn find(&mut self, job: &JobId, attempt: Attempt) -> Result<&mut Live, OrderReject> {
        let live = self.tasks.get_mut(job);
        live.filter(|live| live.order.attempt == attempt)
            .ok_or(OrderReject::NoTask)
    }

    fn start(
        &mut self,
        now: Millis,
        order: &StartOrder,
        truths: &Truths,
    ) -> Result<(), OrderReject> {
        let seen = self.seen.get(&order.job);
        if seen.is_some_and(|seen| *seen >= order.attempt) {
            return Err(OrderReject::OldAttempt);
        }
        let used = self.tasks.values().map(|live| live.order.needs);
        let used = used.fold(Resources::default(), |a, b| {
            a.checked_add(b).unwrap_or(self.capacity)
        });
        let room = self.capacity.saturating_sub(used);
        if !order.needs.fits(room) || self.tasks.contains_key(&order.job) {
            return Err(OrderReject::NoCapacity);
        }
        self.seen.insert(order.job.clone(), order.attempt);
        let standing = Truth {
            work: u64::MAX,
            noise: 1.0,
        };
        let live = Live {
            truth: truths.get(&order.job).copied().unwrap_or(standing),
            lease: now + TASK_LEASE,
            ready: now + if order.checkpoint > 0 { RESTORE } else { START },
            done: order.checkpoint as f64,
            checkpoint: order.checkpoint,
            percent: 100,
            slowdown: 1.0,
            samples: VecDeque::new(),
            order: order.clone(),
        };
        self.tasks.insert(order.job.clone(), live);
        self.event(&order.job, order.attempt, EventKind::Started);
        Ok(())
    }

    /// Returns the newest measurements that are old enough.
    fn usage(&mut self, now: Millis) -> Vec<Usage> {
        let mut usage = Vec::new();
        for (job, live) in &mut self.tasks {
            let mut newest = None;
            while live.samples.front().is_some_and(|s| s.0 + LAG <= now) {
                newest = live.samples.pop_front();
            }
            let Some((at, slowdown, done)) = newest else {
                continue;
            };
            usage.push(Usage {
                job: job.clone(),
                attempt: live.order.attempt,
                sample_age: now - at,
                used: live.order.needs,
                work_done: done,
                checkpoint: live.checkpoint.min(done),
                slowdown,
            });
        }
        usage
    }

    fn inventory(&self) -> Vec<RunningTask> {
        let tasks = self.tasks.iter();
        tasks
            .map(|(job, live)| RunningTask {
                job: job.clone(),
                attempt: live.order.attempt,
                class: live.order.class,
                needs: live.order.needs,
                checkpoint: live.checkpoint,
            })
            .collect()
    }
}

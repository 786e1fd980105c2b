//! A worker in virtual time that keeps the platform's rules for orders and leases.

use std::collections::BTreeMap;

use hyssop_core::limits::{ORDER_TTL, TASK_LEASE};
use hyssop_core::{
    Attempt, Class, Event, EventKind, Fenced, Incarnation, JobId, Millis, Order, OrderReject,
    PollReply, PollRequest, RackName, Renewal, Resources, RunningTask, StartOrder, Term, Usage,
    WorkerTimestamp,
};

/// A task that runs.
#[derive(Clone, Debug)]
pub(crate) struct Live {
    pub(crate) order: StartOrder,
    lease: Millis,
    done: u64,
    checkpoint: u64,
    /// Share of the full speed.
    percent: u64,
}

/// How a worker treats its tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    Good,
    /// Fails each task right after its start.
    Failing,
}

/// A worker.
#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) capacity: Resources,
    rack: RackName,
    pub(crate) incarnation: Incarnation,
    pub(crate) term: Term,
    pub(crate) tasks: BTreeMap<JobId, Live>,
    seen: BTreeMap<JobId, Attempt>,
    events: Vec<Event>,
    seq: u64,
    /// Time for which the worker is frozen or cut off; its tasks run on.
    pub(crate) silent: bool,
    pub(crate) health: Health,
    /// Slowdown that each noisy batch task causes to latency-critical ones, in percent.
    pub(crate) noise: u32,
    /// Work between checkpoints.
    step: u64,
    /// Starts, with their time.
    pub(crate) starts: Vec<(Millis, JobId, Attempt)>,
}

impl FakeWorker {
    pub(crate) fn new(capacity: Resources, rack: &str, incarnation: u64) -> Self {
        Self {
            capacity,
            rack: RackName::new(rack).expect("rack"),
            incarnation: Incarnation(incarnation),
            term: Term(0),
            tasks: BTreeMap::new(),
            seen: BTreeMap::new(),
            events: Vec::new(),
            seq: 0,
            silent: false,
            health: Health::Good,
            noise: 0,
            step: 1_000,
            starts: Vec::new(),
        }
    }

    /// Replaces the process: nothing survives but the host.
    pub(crate) fn restart(&mut self) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.tasks.clear();
        self.seen.clear();
        self.events.clear();
        self.seq = 0;
        self.term = Term(0);
    }

    /// Returns the highest term seen.
    pub(crate) fn term(&self) -> Term {
        self.term
    }

    pub(crate) fn used(&self) -> Resources {
        let needs = self.tasks.values().map(|live| live.order.needs);
        needs.fold(Resources::default(), |sum, r| {
            sum.checked_add(r).expect("sum")
        })
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

    /// Lets time pass: tasks work, finish and lose their leases.
    pub(crate) fn run(&mut self, now: Millis, passed: Millis) {
        let jobs: Vec<JobId> = self.tasks.keys().cloned().collect();
        for job in jobs {
            let live = self.tasks.get_mut(&job).expect("task");
            let attempt = live.order.attempt;
            live.done += passed.0 * live.percent / 100;
            if live.done - live.checkpoint >= self.step {
                live.checkpoint = live.done;
            }
            let done = live.done;
            let kind = if now > live.lease {
                EventKind::Evicted { checkpoint: done }
            } else if self.health == Health::Failing {
                EventKind::Failed {
                    cause: "disk".to_owned(),
                }
            } else if done >= live.order.work.0 {
                let result = format!("{job}:{}", live.order.payload);
                EventKind::Finished { result }
            } else {
                continue;
            };
            self.tasks.remove(&job);
            self.event(&job, attempt, kind);
        }
    }

    pub(crate) fn poll(&mut self, now: Millis, request: &PollRequest) -> Result<PollReply, Fenced> {
        if request.term < self.term {
            return Err(Fenced { term: self.term });
        }
        let fresh = request.term > self.term;
        self.term = request.term;
        self.events.retain(|event| event.seq > request.acked_seq);
        let stamp = request
            .timestamp
            .filter(|s| s.incarnation == self.incarnation);
        if let Some(stamp) = stamp {
            self.renew(stamp, request.renewal);
        }
        let valid = stamp.is_some_and(|s| now.since(s.at) <= ORDER_TTL);
        let mut rejected = smallvec::SmallVec::new();
        for (place, order) in request.orders.iter().enumerate() {
            let result = if valid {
                self.obey(now, order)
            } else {
                Err(OrderReject::StaleTimestamp)
            };
            if let Err(reject) = result {
                rejected.push((u32::try_from(place).expect("place"), reject));
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
            usage: self.usage(),
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

    fn obey(&mut self, now: Millis, order: &Order) -> Result<(), OrderReject> {
        match order {
            Order::Start(order) => self.start(now, order),
            Order::Throttle {
                job,
                attempt,
                percent,
            } => {
                let live = self.find(job, *attempt)?;
                live.percent = u64::from(*percent);
                Ok(())
            }
            Order::Evict { job, attempt } => {
                let checkpoint = self.find(job, *attempt)?.done;
                self.tasks.remove(job);
                self.event(job, *attempt, EventKind::Evicted { checkpoint });
                Ok(())
            }
            Order::Stop { job, attempt } => {
                self.find(job, *attempt)?;
                self.tasks.remove(job);
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

    fn start(&mut self, now: Millis, order: &StartOrder) -> Result<(), OrderReject> {
        if self
            .seen
            .get(&order.job)
            .is_some_and(|s| *s >= order.attempt)
        {
            return Err(OrderReject::OldAttempt);
        }
        let room = self.capacity.saturating_sub(self.used());
        if !order.needs.fits(room) || self.tasks.contains_key(&order.job) {
            return Err(OrderReject::NoCapacity);
        }
        self.seen.insert(order.job.clone(), order.attempt);
        self.starts.push((now, order.job.clone(), order.attempt));
        let live = Live {
            lease: now + TASK_LEASE,
            done: order.checkpoint,
            checkpoint: order.checkpoint,
            percent: 100,
            order: order.clone(),
        };
        self.tasks.insert(order.job.clone(), live);
        self.event(&order.job, order.attempt, EventKind::Started);
        Ok(())
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

    /// Speed that the noisy tasks take, weighted by their own speed.
    fn pressure(&self) -> u64 {
        let batch = self.tasks.values();
        let noisy = batch.filter(|live| live.order.kind_is_noisy());
        noisy.map(|live| live.percent).sum::<u64>() * u64::from(self.noise) / 100
    }

    /// Returns the slowdown of the worker's latency-critical tasks, in percent.
    pub(crate) fn slowdown(&self) -> u32 {
        100 + u32::try_from(self.pressure()).expect("pressure")
    }

    fn usage(&self) -> Vec<Usage> {
        let slowdown = self.slowdown();
        let tasks = self.tasks.iter();
        tasks
            .map(|(job, live)| Usage {
                job: job.clone(),
                attempt: live.order.attempt,
                sample_age: Millis(1_000),
                used: live.order.needs,
                work_done: live.done,
                checkpoint: live.checkpoint,
                slowdown: if live.order.class == Class::LatencyCritical {
                    slowdown
                } else {
                    100
                },
            })
            .collect()
    }
}

/// Marks tasks that disturb others.
trait Noisy {
    fn kind_is_noisy(&self) -> bool;
}

impl Noisy for StartOrder {
    fn kind_is_noisy(&self) -> bool {
        self.class != Class::LatencyCritical && self.payload == "noisy"
    }
}

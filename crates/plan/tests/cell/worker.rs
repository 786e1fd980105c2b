//! A fake worker in virtual time that follows the rules for orders and leases.

use std::collections::BTreeMap;

use hyssop_core::limits::{ORDER_TTL, TASK_LEASE};
use hyssop_core::{
    Attempt, Class, Event, EventKind, Fenced, Incarnation, JobId, Millis, Order, OrderReject,
    PollReply, PollRequest, RackName, Renewal, Resources, RunningTask, StartOrder, Term, Usage,
    WorkerTimestamp,
};

/// A running task.
#[derive(Clone, Debug)]
pub(crate) struct FakeTask {
    pub(crate) order: StartOrder,
    started_at: Millis,
    /// Time at which the lease expires.
    lease_until: Millis,
    /// Work done and work as of the last checkpoint, in milliseconds.
    work_done: u64,
    checkpoint: u64,
    /// Speed in percent of the full speed.
    speed_percent: u64,
}

/// Whether tasks on a worker succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Health {
    Good,
    /// Fails each task right after its start.
    Failing,
    /// Refuses every start as if it had no capacity; its tasks keep running.
    Refusing,
    /// Receives every order after its timestamp has expired; its tasks keep running.
    Late,
}

/// A fake worker.
#[derive(Debug)]
pub(crate) struct FakeWorker {
    pub(crate) capacity: Resources,
    rack: RackName,
    pub(crate) incarnation: Incarnation,
    pub(crate) term: Term,
    pub(crate) tasks: BTreeMap<JobId, FakeTask>,
    /// Highest attempt started of each job.
    last_attempts: BTreeMap<JobId, Attempt>,
    events: Vec<Event>,
    seq: u64,
    /// Whether polls of the worker fail; its tasks keep running.
    pub(crate) is_unreachable: bool,
    pub(crate) health: Health,
    /// Interference: the slowdown that each noisy batch task causes to latency-critical ones, in
    /// percent.
    pub(crate) interference_percent: u32,
    /// Slowdown of latency-critical tasks that no other task causes, in percent.
    pub(crate) own_slowdown_percent: u32,
    /// Work between checkpoints, in milliseconds.
    checkpoint_interval: u64,
    /// Started attempts with their times.
    pub(crate) starts: Vec<(Millis, JobId, Attempt)>,
    /// Time for which the process is away after a crash.
    pub(crate) crash_downtime: Millis,
    /// Time until which the process is away after a crash.
    pub(crate) down_until: Millis,
    /// Jobs that crashed the process, with the times.
    pub(crate) crashes: Vec<(Millis, JobId)>,
}

impl FakeWorker {
    pub(crate) fn new(capacity: Resources, rack: &str, incarnation: u64) -> Self {
        Self {
            capacity,
            rack: RackName::new(rack).expect("rack"),
            incarnation: Incarnation(incarnation),
            term: Term(0),
            tasks: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            events: Vec::new(),
            seq: 0,
            is_unreachable: false,
            health: Health::Good,
            interference_percent: 0,
            own_slowdown_percent: 0,
            checkpoint_interval: 1_000,
            starts: Vec::new(),
            crash_downtime: Millis(3_000),
            down_until: Millis(0),
            crashes: Vec::new(),
        }
    }

    /// Returns whether the process is away after a crash.
    pub(crate) fn is_down(&self, now: Millis) -> bool {
        now < self.down_until
    }

    /// Ends the process if a task that crashes workers has run for long enough.
    fn crash(&mut self, now: Millis) {
        let is_due = |task: &FakeTask| {
            let crash_age = task.order.crash_age();
            crash_age.is_some_and(|age| now.since(task.started_at) >= age)
        };
        let mut tasks = self.tasks.iter();
        let Some((job, _)) = tasks.find(|(_, task)| is_due(task)) else {
            return;
        };
        self.crashes.push((now, job.clone()));
        self.restart();
        self.down_until = now + self.crash_downtime;
    }

    /// Restarts the process, which loses all its tasks and state.
    pub(crate) fn restart(&mut self) {
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.tasks.clear();
        self.last_attempts.clear();
        self.events.clear();
        self.seq = 0;
        self.term = Term(0);
    }

    /// Returns the highest term received.
    pub(crate) fn term(&self) -> Term {
        self.term
    }

    /// Returns the number of events that no owner has acknowledged.
    pub(crate) fn event_count(&self) -> usize {
        self.events.len()
    }

    pub(crate) fn allocated(&self) -> Resources {
        let needs = self.tasks.values().map(|task| task.order.needs);
        needs.fold(Resources::default(), |sum, r| {
            sum.checked_add(r).expect("sum")
        })
    }

    fn add_event(&mut self, job: &JobId, attempt: Attempt, kind: EventKind) {
        self.seq += 1;
        self.events.push(Event {
            seq: self.seq,
            job: job.clone(),
            attempt,
            kind,
        });
    }

    /// Advances the time: tasks make progress, finish, fail, or end when their lease expires.
    pub(crate) fn run(&mut self, now: Millis, elapsed: Millis) {
        self.crash(now);
        let jobs: Vec<JobId> = self.tasks.keys().cloned().collect();
        for job in jobs {
            let task = self.tasks.get_mut(&job).expect("task");
            let attempt = task.order.attempt;
            task.work_done += elapsed.0 * task.speed_percent / 100;
            if task.work_done - task.checkpoint >= self.checkpoint_interval {
                task.checkpoint = task.work_done;
            }
            let done = task.work_done;
            let kind = if now > task.lease_until {
                EventKind::Evicted { checkpoint: done }
            } else if self.health == Health::Failing {
                EventKind::Failed {
                    cause: "disk".to_owned(),
                }
            } else if done >= task.order.work.0 {
                let result = format!("{job}:{}", task.order.payload);
                EventKind::Finished { result }
            } else {
                continue;
            };
            self.tasks.remove(&job);
            self.add_event(&job, attempt, kind);
        }
    }

    pub(crate) fn poll(&mut self, now: Millis, request: &PollRequest) -> Result<PollReply, Fenced> {
        if request.term < self.term {
            return Err(Fenced { term: self.term });
        }
        let is_new_term = request.term > self.term;
        self.term = request.term;
        self.events.retain(|event| event.seq > request.acked_seq);
        let timestamp = request
            .timestamp
            .filter(|s| s.incarnation == self.incarnation);
        if let Some(timestamp) = timestamp {
            self.renew(timestamp, request.renewal);
        }
        let is_valid =
            self.health != Health::Late && timestamp.is_some_and(|s| now.since(s.at) <= ORDER_TTL);
        let mut rejected = smallvec::SmallVec::new();
        for (index, order) in request.orders.iter().enumerate() {
            let result = if is_valid {
                self.execute(now, order)
            } else {
                Err(OrderReject::StaleTimestamp)
            };
            if let Err(reject) = result {
                rejected.push((u32::try_from(index).expect("index"), reject));
            }
        }
        let wants_inventory = request.wants_inventory || is_new_term;
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
            inventory: wants_inventory.then(|| self.inventory()),
            rejected,
        })
    }

    fn renew(&mut self, timestamp: WorkerTimestamp, renewal: Renewal) {
        for task in self.tasks.values_mut() {
            let is_critical = task.order.class == Class::LatencyCritical;
            if renewal == Renewal::All || renewal == Renewal::Critical && is_critical {
                task.lease_until = task.lease_until.max(timestamp.at + TASK_LEASE);
            }
        }
    }

    fn execute(&mut self, now: Millis, order: &Order) -> Result<(), OrderReject> {
        match order {
            Order::Start(order) => self.start(now, order),
            Order::Throttle {
                job,
                attempt,
                percent,
            } => {
                let task = self.find_task(job, *attempt)?;
                task.speed_percent = u64::from(*percent);
                Ok(())
            }
            Order::Evict { job, attempt } => {
                let checkpoint = self.find_task(job, *attempt)?.work_done;
                self.tasks.remove(job);
                self.add_event(job, *attempt, EventKind::Evicted { checkpoint });
                Ok(())
            }
            Order::Stop { job, attempt } => {
                self.find_task(job, *attempt)?;
                self.tasks.remove(job);
                self.add_event(job, *attempt, EventKind::Stopped);
                Ok(())
            }
        }
    }

    fn find_task(&mut self, job: &JobId, attempt: Attempt) -> Result<&mut FakeTask, OrderReject> {
        let task = self.tasks.get_mut(job);
        task.filter(|task| task.order.attempt == attempt)
            .ok_or(OrderReject::NoTask)
    }

    fn start(&mut self, now: Millis, order: &StartOrder) -> Result<(), OrderReject> {
        if self
            .last_attempts
            .get(&order.job)
            .is_some_and(|s| *s >= order.attempt)
        {
            return Err(OrderReject::OldAttempt);
        }
        let free = self.capacity.saturating_sub(self.allocated());
        let is_refusing = self.health == Health::Refusing;
        if is_refusing || !order.needs.fits(free) || self.tasks.contains_key(&order.job) {
            return Err(OrderReject::NoCapacity);
        }
        self.last_attempts.insert(order.job.clone(), order.attempt);
        self.starts.push((now, order.job.clone(), order.attempt));
        let task = FakeTask {
            started_at: now,
            lease_until: now + TASK_LEASE,
            work_done: order.checkpoint,
            checkpoint: order.checkpoint,
            speed_percent: 100,
            order: order.clone(),
        };
        self.tasks.insert(order.job.clone(), task);
        self.add_event(&order.job, order.attempt, EventKind::Started);
        Ok(())
    }

    fn inventory(&self) -> Vec<RunningTask> {
        let tasks = self.tasks.iter();
        tasks
            .map(|(job, task)| RunningTask {
                job: job.clone(),
                attempt: task.order.attempt,
                class: task.order.class,
                needs: task.order.needs,
                checkpoint: task.checkpoint,
            })
            .collect()
    }

    /// Returns the slowdown caused by the noisy tasks, in percent, weighted by their speeds.
    fn interference(&self) -> u64 {
        let batch = self.tasks.values();
        let noisy = batch.filter(|task| task.order.is_noisy());
        noisy.map(|task| task.speed_percent).sum::<u64>() * u64::from(self.interference_percent)
            / 100
    }

    /// Returns the slowdown of the worker's latency-critical tasks, in percent.
    pub(crate) fn slowdown(&self) -> u32 {
        let interference = u32::try_from(self.interference()).expect("interference");
        100 + self.own_slowdown_percent + interference
    }

    fn usage(&self) -> Vec<Usage> {
        let slowdown = self.slowdown();
        let tasks = self.tasks.iter();
        tasks
            .map(|(job, task)| Usage {
                job: job.clone(),
                attempt: task.order.attempt,
                sample_age: Millis(1_000),
                used: task.order.needs,
                work_done: task.work_done,
                checkpoint: task.checkpoint,
                slowdown: if task.order.class == Class::LatencyCritical {
                    slowdown
                } else {
                    100
                },
            })
            .collect()
    }
}

/// Recognises tasks that disturb others.
pub(crate) trait Disturbing {
    /// Returns whether the task slows down latency-critical ones.
    fn is_noisy(&self) -> bool;

    /// Returns the age at which the task crashes its worker, if it does.
    fn crash_age(&self) -> Option<Millis>;
}

impl Disturbing for StartOrder {
    fn is_noisy(&self) -> bool {
        self.class != Class::LatencyCritical && self.payload == "noisy"
    }

    fn crash_age(&self) -> Option<Millis> {
        match (self.payload.as_str(), self.service.as_str()) {
            ("crash", _) | (_, "crashing") => Some(Millis(50)),
            ("crash-late", _) => Some(Millis(2_000)),
            _ => None,
        }
    }
}

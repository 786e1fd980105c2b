//! A worker in virtual time that follows the platform's rules and whose tasks slow each other down.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::limits::{ORDER_TTL, TASK_LEASE};
use hyssop_core::{
    Attempt, Class, Event, EventKind, Fenced, Incarnation, JobId, Millis, Order, OrderReject,
    PollReply, PollRequest, RackName, Renewal, Resources, RunningTask, StartOrder, Term, Usage,
    WorkerTimestamp,
};
use smallvec::SmallVec;

use super::mixes::slowdown_share;

/// Work between two checkpoints that a task makes without an order.
const CHECKPOINT_INTERVAL_MS: u64 = 10_000;
/// Age from which a measurement is reported.
const REPORT_DELAY: Millis = Millis(2_000);
/// Time from the order to the first work of a task that starts without a checkpoint.
const START_TIME: Millis = Millis(1_000);
/// Time from the order to the first work of a task that restores a checkpoint.
const RESTORE_TIME: Millis = Millis(3_000);
/// Interval between two measurements of a task.
const SAMPLE_INTERVAL_MS: u64 = 500;

/// Actual work and interference of a job, which its declaration may misstate.
#[derive(Clone, Copy, Debug)]
pub(super) struct JobBehavior {
    /// Work at full speed, in milliseconds.
    pub(super) work: u64,
    /// Factor on the slowdown that the job causes for its neighbours.
    pub(super) noise: f64,
}

/// Load and interference that apply to all workers at a time.
#[derive(Clone, Copy, Debug)]
pub(super) struct Conditions {
    /// Load of the latency-critical services as a multiple of the mean load.
    pub(super) load: f64,
    /// Factor on the slowdowns caused by batch tasks.
    pub(super) noise_factor: f64,
}

/// A running task.
#[derive(Clone, Debug)]
struct SimTask {
    order: StartOrder,
    behavior: JobBehavior,
    lease_end: Millis,
    ready_at: Millis,
    work_done: f64,
    checkpoint: u64,
    cpu_percent: u8,
    slowdown: f64,
    samples: VecDeque<(Millis, u32, u64)>,
}

/// A worker with its running tasks and its unacknowledged events.
#[derive(Debug)]
pub(super) struct Worker {
    capacity: Resources,
    rack: RackName,
    incarnation: Incarnation,
    term: Term,
    tasks: BTreeMap<JobId, SimTask>,
    last_attempts: BTreeMap<JobId, Attempt>,
    events: Vec<Event>,
    last_seq: u64,
    last_sampled_at: Millis,
    /// Number of batch tasks evicted on an order.
    pub(super) evictions: u64,
    /// Whether the worker is down, so that polls fail.
    pub(super) is_down: bool,
    /// Whether every batch task fails right after its start.
    pub(super) is_failing: bool,
}

/// How a task ended in one tick.
pub(super) enum TaskEnd {
    /// The job finished; its work in milliseconds.
    Finished(u64),
    /// The task ended early; the work saved for the next attempt, in milliseconds.
    Interrupted(u64),
}

/// Actual behavior of all batch jobs; service tasks are absent.
pub(super) type JobBehaviors = BTreeMap<JobId, JobBehavior>;

impl Worker {
    pub(super) fn new(rack: RackName) -> Self {
        Self {
            capacity: Resources::new(16_000, 60 * 1_024, 0),
            rack,
            incarnation: Incarnation(1),
            term: Term(0),
            tasks: BTreeMap::new(),
            last_attempts: BTreeMap::new(),
            events: Vec::new(),
            last_seq: 0,
            last_sampled_at: Millis(0),
            evictions: 0,
            is_down: false,
            is_failing: false,
        }
    }

    /// Takes the worker down with all its tasks, and returns the work saved by their checkpoints.
    /// The replacement has a new incarnation.
    pub(super) fn crash(&mut self) -> Vec<(JobId, u64)> {
        self.is_down = true;
        self.incarnation = Incarnation(self.incarnation.0 + 1);
        self.last_attempts.clear();
        self.events.clear();
        self.last_seq = 0;
        self.term = Term(0);
        let tasks = std::mem::take(&mut self.tasks);
        tasks
            .into_iter()
            .map(|(job, task)| (job, task.checkpoint))
            .collect()
    }

    /// Returns the work done by each batch task, in milliseconds.
    pub(super) fn batch_progress(&self) -> impl Iterator<Item = (&JobId, u64)> {
        let batch = self.tasks.iter();
        let batch = batch.filter(|(_, task)| task.order.class != Class::LatencyCritical);
        batch.map(|(job, task)| (job, task.work_done as u64))
    }

    /// Returns the slowdown of each running instance of a service, where 1 means unhindered.
    pub(super) fn instance_slowdowns(&self, service: &str) -> impl Iterator<Item = f64> {
        let is_instance = move |task: &&SimTask| task.order.service.as_str() == service;
        self.tasks
            .values()
            .filter(is_instance)
            .map(|task| task.slowdown)
    }

    fn push_event(&mut self, job: &JobId, attempt: Attempt, kind: EventKind) {
        self.last_seq += 1;
        self.events.push(Event {
            seq: self.last_seq,
            job: job.clone(),
            attempt,
            kind,
        });
    }

    /// Updates the slowdown of each task from the other tasks on the worker.
    fn update_slowdowns(&mut self, conditions: Conditions) {
        let loads: Vec<(JobId, String, f64, bool)> = self
            .tasks
            .iter()
            .map(|(job, task)| {
                let is_critical = task.order.class == Class::LatencyCritical;
                let noise_factor = if is_critical {
                    1.0
                } else {
                    conditions.noise_factor
                };
                let noise =
                    task.behavior.noise * f64::from(task.cpu_percent) / 100.0 * noise_factor;
                let service = task.order.service.as_str().to_owned();
                (job.clone(), service, noise, is_critical)
            })
            .collect();
        for (job, task) in &mut self.tasks {
            let victim = task.order.service.as_str();
            let others = loads.iter().filter(|(other, ..)| other != job);
            let sum: f64 = others
                .map(|(_, s, noise, _)| slowdown_share(victim, s) * noise)
                .sum();
            let is_critical = task.order.class == Class::LatencyCritical;
            task.slowdown = 1.0 + sum * if is_critical { conditions.load } else { 1.0 };
        }
    }

    /// Advances all tasks by `elapsed` and returns those that finished, failed or lost their lease.
    pub(super) fn run(
        &mut self,
        now: Millis,
        elapsed: Millis,
        conditions: Conditions,
    ) -> Vec<(JobId, TaskEnd)> {
        self.update_slowdowns(conditions);
        let mut ended = Vec::new();
        for (job, task) in &mut self.tasks {
            let speed = f64::from(task.cpu_percent) / 100.0 / task.slowdown;
            if now > task.ready_at {
                task.work_done += elapsed.0 as f64 * speed;
            }
            let done = task.work_done as u64;
            if done >= task.checkpoint + CHECKPOINT_INTERVAL_MS {
                task.checkpoint = done;
            }
            if now > task.lease_end {
                let kind = EventKind::Evicted { checkpoint: done };
                ended.push((
                    job.clone(),
                    task.order.attempt,
                    kind,
                    TaskEnd::Interrupted(done),
                ));
            } else if self.is_failing && task.order.class != Class::LatencyCritical {
                let cause = "the task could not start".to_owned();
                let end = TaskEnd::Interrupted(task.order.checkpoint);
                ended.push((
                    job.clone(),
                    task.order.attempt,
                    EventKind::Failed { cause },
                    end,
                ));
            } else if done >= task.behavior.work {
                let result = "done".to_owned();
                let kind = EventKind::Finished { result };
                let end = TaskEnd::Finished(task.behavior.work);
                ended.push((job.clone(), task.order.attempt, kind, end));
            }
        }
        self.take_samples(now);
        let mut ends = Vec::new();
        for (job, attempt, kind, end) in ended {
            self.tasks.remove(&job);
            self.push_event(&job, attempt, kind);
            ends.push((job, end));
        }
        ends
    }

    fn take_samples(&mut self, now: Millis) {
        if now.since(self.last_sampled_at).0 < SAMPLE_INTERVAL_MS {
            return;
        }
        self.last_sampled_at = now;
        for task in self.tasks.values_mut() {
            let slowdown = (task.slowdown * 100.0).round() as u32;
            task.samples
                .push_back((now, slowdown, task.work_done as u64));
        }
    }

    /// Applies the orders of a poll and returns the reply. Work saved by tasks that orders end is
    /// added to `saved_work`.
    pub(super) fn poll(
        &mut self,
        now: Millis,
        request: &PollRequest,
        behaviors: &JobBehaviors,
        saved_work: &mut Vec<(JobId, u64)>,
    ) -> Result<PollReply, Fenced> {
        if request.term < self.term {
            return Err(Fenced { term: self.term });
        }
        let is_new_term = request.term > self.term || self.term == Term(0);
        self.term = request.term;
        self.events.retain(|event| event.seq > request.acked_seq);
        let timestamp = request
            .timestamp
            .filter(|s| s.incarnation == self.incarnation);
        if let Some(timestamp) = timestamp {
            self.renew_leases(timestamp, request.renewal);
        }
        let is_fresh = timestamp.is_some_and(|s| now.since(s.at) <= ORDER_TTL);
        let mut rejected = SmallVec::new();
        for (index, order) in (0..).zip(&request.orders) {
            let result = if is_fresh {
                self.apply_order(now, order, behaviors, saved_work)
            } else {
                Err(OrderReject::StaleTimestamp)
            };
            if let Err(reject) = result {
                rejected.push((index, reject));
            }
        }
        let has_inventory = request.wants_inventory || is_new_term;
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
            inventory: has_inventory.then(|| self.inventory()),
            rejected,
        })
    }

    fn renew_leases(&mut self, timestamp: WorkerTimestamp, renewal: Renewal) {
        for task in self.tasks.values_mut() {
            let is_critical = task.order.class == Class::LatencyCritical;
            if renewal == Renewal::All || renewal == Renewal::Critical && is_critical {
                task.lease_end = task.lease_end.max(timestamp.at + TASK_LEASE);
            }
        }
    }

    fn apply_order(
        &mut self,
        now: Millis,
        order: &Order,
        behaviors: &JobBehaviors,
        saved_work: &mut Vec<(JobId, u64)>,
    ) -> Result<(), OrderReject> {
        match order {
            Order::Start(order) => self.start_task(now, order, behaviors),
            Order::Throttle {
                job,
                attempt,
                percent,
            } => {
                self.find_task(job, *attempt)?.cpu_percent = (*percent).clamp(1, 100);
                Ok(())
            }
            Order::Evict { job, attempt } => {
                let task = self.find_task(job, *attempt)?;
                let checkpoint = task.work_done as u64;
                let is_batch = task.order.class != Class::LatencyCritical;
                self.evictions += u64::from(is_batch);
                self.tasks.remove(job);
                saved_work.push((job.clone(), checkpoint));
                self.push_event(job, *attempt, EventKind::Evicted { checkpoint });
                Ok(())
            }
            Order::Stop { job, attempt } => {
                let checkpoint = self.find_task(job, *attempt)?.checkpoint;
                self.tasks.remove(job);
                saved_work.push((job.clone(), checkpoint));
                self.push_event(job, *attempt, EventKind::Stopped);
                Ok(())
            }
        }
    }

    fn find_task(&mut self, job: &JobId, attempt: Attempt) -> Result<&mut SimTask, OrderReject> {
        let task = self.tasks.get_mut(job);
        task.filter(|task| task.order.attempt == attempt)
            .ok_or(OrderReject::NoTask)
    }

    fn start_task(
        &mut self,
        now: Millis,
        order: &StartOrder,
        behaviors: &JobBehaviors,
    ) -> Result<(), OrderReject> {
        let last_attempt = self.last_attempts.get(&order.job);
        if last_attempt.is_some_and(|last_attempt| *last_attempt >= order.attempt) {
            return Err(OrderReject::OldAttempt);
        }
        let used = self.tasks.values().map(|task| task.order.needs);
        let used = used.fold(Resources::default(), |a, b| {
            a.checked_add(b).unwrap_or(self.capacity)
        });
        let available = self.capacity.saturating_sub(used);
        if !order.needs.fits(available) || self.tasks.contains_key(&order.job) {
            return Err(OrderReject::NoCapacity);
        }
        self.last_attempts.insert(order.job.clone(), order.attempt);
        let service_behavior = JobBehavior {
            work: u64::MAX,
            noise: 1.0,
        };
        let task = SimTask {
            behavior: behaviors
                .get(&order.job)
                .copied()
                .unwrap_or(service_behavior),
            lease_end: now + TASK_LEASE,
            ready_at: now
                + if order.checkpoint > 0 {
                    RESTORE_TIME
                } else {
                    START_TIME
                },
            work_done: order.checkpoint as f64,
            checkpoint: order.checkpoint,
            cpu_percent: 100,
            slowdown: 1.0,
            samples: VecDeque::new(),
            order: order.clone(),
        };
        self.tasks.insert(order.job.clone(), task);
        self.push_event(&order.job, order.attempt, EventKind::Started);
        Ok(())
    }

    /// Returns the newest measurement of each task that has reached [`REPORT_DELAY`].
    fn usage(&mut self, now: Millis) -> Vec<Usage> {
        let mut usage = Vec::new();
        for (job, task) in &mut self.tasks {
            let mut newest = None;
            while task
                .samples
                .front()
                .is_some_and(|s| s.0 + REPORT_DELAY <= now)
            {
                newest = task.samples.pop_front();
            }
            let Some((at, slowdown, done)) = newest else {
                continue;
            };
            usage.push(Usage {
                job: job.clone(),
                attempt: task.order.attempt,
                sample_age: now - at,
                used: task.order.needs,
                work_done: done,
                checkpoint: task.checkpoint.min(done),
                slowdown,
            });
        }
        usage
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
}

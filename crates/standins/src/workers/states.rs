//! State machine of a worker, without sockets and without a clock of its own.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::limits::{ORDER_TTL, TASK_LEASE};
use hyssop_core::{
    Attempt, Event, EventKind, Fenced, Incarnation, JobId, Millis, Order, OrderReject, PollReply,
    PollRequest, Renewal, Resources, RunningTask, StartOrder, Term, Usage, WorkerTimestamp,
};

use super::ledgers::{LedgerEntry, MAX_ENTRIES, TaskChange, WorkerLedger};
use super::options::{WorkerFaults, WorkerOptions};
use super::tasks::Task;

/// Most events in one reply.
const MAX_EVENTS: usize = 1_024;

/// Highest attempt seen of each job, with a bound on the jobs that no longer run.
#[derive(Clone, Debug, Default)]
struct Attempts {
    highest: BTreeMap<JobId, Attempt>,
    /// Jobs in the order in which they were first seen.
    order: VecDeque<JobId>,
}

impl Attempts {
    fn is_old(&self, job: &JobId, attempt: Attempt) -> bool {
        let highest = self.highest.get(job);
        highest.is_some_and(|highest| attempt <= *highest)
    }

    fn note(&mut self, job: &JobId, attempt: Attempt) {
        if self.highest.insert(job.clone(), attempt).is_none() {
            self.order.push_back(job.clone());
        }
    }

    /// Forgets the oldest jobs above the bound; those that run are kept.
    fn shrink(&mut self, bound: usize, tasks: &BTreeMap<JobId, Task>) {
        let surplus = self.order.len().saturating_sub(bound);
        for _ in 0..surplus {
            let Some(job) = self.order.pop_front() else {
                return;
            };
            if tasks.contains_key(&job) {
                self.order.push_back(job);
            } else {
                self.highest.remove(&job);
            }
        }
    }
}

/// A worker and its simulated tasks.
#[derive(Clone, Debug)]
pub struct WorkerState {
    options: WorkerOptions,
    incarnation: Incarnation,
    now: Millis,
    sampled: Millis,
    /// Highest term seen.
    term: Option<Term>,
    tasks: BTreeMap<JobId, Task>,
    attempts: Attempts,
    events: VecDeque<Event>,
    seq: u64,
    ledger: VecDeque<LedgerEntry>,
}

impl WorkerState {
    /// Creates a worker without tasks.
    #[must_use]
    pub fn new(options: WorkerOptions, incarnation: Incarnation) -> Self {
        Self {
            options,
            incarnation,
            now: Millis(0),
            sampled: Millis(0),
            term: None,
            tasks: BTreeMap::new(),
            attempts: Attempts::default(),
            events: VecDeque::new(),
            seq: 0,
            ledger: VecDeque::new(),
        }
    }

    /// Returns the sum of what the running tasks were allocated.
    #[must_use]
    pub fn allocated(&self) -> Resources {
        self.allocated_except(None)
    }

    /// Returns what runs.
    #[must_use]
    pub fn running(&self) -> Vec<RunningTask> {
        self.tasks.values().map(Task::running).collect()
    }

    /// Returns what ran so far; `clock_start` is the time at which the worker's clock showed 0.
    #[must_use]
    pub fn ledger(&self, clock_start: Millis) -> WorkerLedger {
        WorkerLedger {
            worker: self.options.name.clone(),
            incarnation: self.incarnation,
            clock_start,
            entries: self.ledger.iter().cloned().collect(),
        }
    }

    /// Replaces the faults in force.
    pub fn set_faults(&mut self, now: Millis, faults: WorkerFaults) {
        self.advance(now);
        self.options.faults = faults;
    }

    /// Ends all tasks with the worker.
    pub(super) fn kill(&mut self, now: Millis) {
        let jobs: Vec<JobId> = self.tasks.keys().cloned().collect();
        for job in jobs {
            self.end(now, &job, TaskChange::Killed, None);
        }
    }

    /// Carries out a poll.
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if a higher term has been seen; nothing is changed then.
    pub fn handle_poll(&mut self, now: Millis, request: &PollRequest) -> Result<PollReply, Fenced> {
        self.advance(now);
        if let Some(term) = self.term.filter(|term| request.term < *term) {
            return Err(Fenced { term });
        }
        let takeover = self.term != Some(request.term);
        self.term = Some(request.term);
        if takeover {
            self.tasks.values_mut().for_each(Task::forget_report);
        }
        let stamp = request
            .timestamp
            .filter(|s| s.incarnation == self.incarnation);
        if stamp.is_some() {
            // Numbers of an earlier incarnation's events must not remove this one's.
            self.forget_events(request.acked_seq);
        }
        let known = stamp.filter(|s| s.at <= now);
        if let Some(stamp) = known {
            // The lease counts from the stamp, so that a late renewal adds nothing to it.
            self.renew(stamp.at + TASK_LEASE, request.renewal);
        }
        let fresh = known.filter(|s| now - s.at <= ORDER_TTL);
        let rejected = self.take_orders(now, &request.orders, fresh);
        self.attempts
            .shrink(self.options.max_remembered_jobs, &self.tasks);
        let full = takeover || request.wants_inventory;
        Ok(PollReply {
            timestamp: self.stamp(now),
            term: request.term,
            capacity: self.options.capacity,
            rack: self.options.rack.clone(),
            events: self.events.iter().take(MAX_EVENTS).cloned().collect(),
            usage: self.usage(now),
            inventory: full.then(|| self.running()),
            rejected: rejected.into(),
        })
    }

    /// Lets time pass: tasks progress, finish, and stop when their leases lapse.
    pub fn advance(&mut self, now: Millis) {
        while self.now < now {
            self.set_slowdowns();
            let next = self.next_change().map_or(now, |at| at.min(now));
            let passed = next.since(self.now);
            let speed = self.speed();
            let tasks = self.tasks.values_mut();
            tasks.for_each(|task| task.progress(passed, speed));
            self.now = self.now.max(next);
            self.end_due();
        }
        self.set_slowdowns();
        self.measure();
    }

    fn speed(&self) -> u32 {
        self.options.faults.speed_percent.max(1)
    }

    /// Returns the next time at which a task finishes or its lease lapses.
    fn next_change(&self) -> Option<Millis> {
        let speed = self.speed();
        let times = self.tasks.values().map(|task| {
            let finish = task.finish_at(self.now, speed);
            finish.map_or(task.lease, |at| at.min(task.lease))
        });
        times.min()
    }

    /// Ends the tasks that are done, and those whose leases have lapsed.
    fn end_due(&mut self) {
        let now = self.now;
        let due = |task: &Task| task.is_done() || task.lease <= now;
        let jobs = self.tasks.iter().filter(|(_, task)| due(task));
        let jobs: Vec<JobId> = jobs.map(|(job, _)| job.clone()).collect();
        for job in jobs {
            let Some(task) = self.tasks.get_mut(&job) else {
                continue;
            };
            if task.is_done() {
                let result = task.result();
                let kind = EventKind::Finished { result };
                self.end(now, &job, TaskChange::Finished, Some(kind));
            } else if task.is_critical() {
                self.end(now, &job, TaskChange::Lapsed, Some(EventKind::Stopped));
            } else {
                let checkpoint = task.checkpoint(now);
                let kind = EventKind::Evicted { checkpoint };
                self.end(now, &job, TaskChange::Lapsed, Some(kind));
            }
        }
    }

    /// Removes a task, and reports it unless the worker is gone as well.
    fn end(&mut self, now: Millis, job: &JobId, change: TaskChange, kind: Option<EventKind>) {
        let Some(task) = self.tasks.remove(job) else {
            return;
        };
        self.note(now, &task, change);
        if let Some(kind) = kind {
            self.report(&task.order, kind);
        }
    }

    fn note(&mut self, at: Millis, task: &Task, change: TaskChange) {
        if self.ledger.len() >= MAX_ENTRIES {
            self.ledger.pop_front();
        }
        self.ledger.push_back(LedgerEntry {
            at,
            job: task.order.job.clone(),
            attempt: task.order.attempt,
            term: self.term,
            needs: task.order.needs,
            work_done: task.done(),
            change,
        });
    }

    fn report(&mut self, order: &StartOrder, kind: EventKind) {
        self.seq += 1;
        self.events.push_back(Event {
            seq: self.seq,
            job: order.job.clone(),
            attempt: order.attempt,
            kind,
        });
    }

    fn forget_events(&mut self, acked: u64) {
        while self.events.front().is_some_and(|event| event.seq <= acked) {
            self.events.pop_front();
        }
    }

    fn renew(&mut self, until: Millis, renewal: Renewal) {
        let renewed = |task: &&mut Task| match renewal {
            Renewal::All => true,
            Renewal::Critical => task.is_critical(),
            Renewal::Nothing => false,
        };
        let tasks = self.tasks.values_mut().filter(renewed);
        tasks.for_each(|task| task.renew(until));
    }

    fn take_orders(
        &mut self,
        now: Millis,
        orders: &[Order],
        stamp: Option<WorkerTimestamp>,
    ) -> Vec<(u32, OrderReject)> {
        let mut rejected = Vec::new();
        for (place, order) in (0..).zip(orders) {
            let result = match stamp {
                Some(stamp) => self.take_order(now, order, stamp.at + TASK_LEASE),
                None => Err(OrderReject::StaleTimestamp),
            };
            if let Err(reject) = result {
                rejected.push((place, reject));
            }
        }
        rejected
    }

    fn take_order(&mut self, now: Millis, order: &Order, lease: Millis) -> Result<(), OrderReject> {
        match order {
            Order::Start(start) => self.start(now, start, lease),
            Order::Throttle {
                job,
                attempt,
                percent,
            } => {
                self.task(job, *attempt)?.percent = (*percent).clamp(1, 100);
                self.set_slowdowns();
                Ok(())
            }
            Order::Evict { job, attempt } => {
                let checkpoint = self.task(job, *attempt)?.checkpoint(now);
                let kind = EventKind::Evicted { checkpoint };
                self.end(now, job, TaskChange::Evicted, Some(kind));
                Ok(())
            }
            Order::Stop { job, attempt } => {
                self.task(job, *attempt)?;
                self.end(now, job, TaskChange::Stopped, Some(EventKind::Stopped));
                Ok(())
            }
        }
    }

    fn task(&mut self, job: &JobId, attempt: Attempt) -> Result<&mut Task, OrderReject> {
        let task = self.tasks.get_mut(job);
        let task = task.filter(|task| task.order.attempt == attempt);
        task.ok_or(OrderReject::NoTask)
    }

    fn start(&mut self, now: Millis, order: &StartOrder, lease: Millis) -> Result<(), OrderReject> {
        if self.attempts.is_old(&order.job, order.attempt) {
            return Err(OrderReject::OldAttempt);
        }
        let allocated = self.allocated_except(Some(&order.job));
        let total = allocated.checked_add(order.needs);
        if !total.is_some_and(|total| total.fits(self.options.capacity)) {
            return Err(OrderReject::NoCapacity);
        }
        // An earlier attempt of the same job must not run beside this one.
        self.end(
            now,
            &order.job,
            TaskChange::Stopped,
            Some(EventKind::Stopped),
        );
        self.attempts.note(&order.job, order.attempt);
        let task = Task::new(now, order.clone(), lease);
        self.note(now, &task, TaskChange::Started);
        self.report(order, EventKind::Started);
        let fails = self.options.faults.has_failing_tasks || task.profile.is_failing;
        self.tasks.insert(order.job.clone(), task);
        if fails {
            let cause = "injected failure".to_owned();
            let kind = EventKind::Failed { cause };
            self.end(now, &order.job, TaskChange::Failed, Some(kind));
        }
        self.set_slowdowns();
        Ok(())
    }

    fn allocated_except(&self, job: Option<&JobId>) -> Resources {
        let tasks = self.tasks.values();
        let tasks = tasks.filter(|task| Some(&task.order.job) != job);
        tasks.fold(Resources::default(), |sum, task| {
            // Every start was checked against the capacity, so that the sum cannot overflow.
            sum.checked_add(task.order.needs).unwrap_or(sum)
        })
    }

    /// Sets the slowdown of each task from the noise of its neighbours, and from the use of more
    /// processors than there are.
    fn set_slowdowns(&mut self) {
        let used: u64 = self.tasks.values().map(|t| u64::from(t.used().cpu)).sum();
        let noise: u64 = self.tasks.values().map(|t| u64::from(t.noise())).sum();
        let cpu = u64::from(self.options.capacity.cpu.max(1));
        let contention = (used * 100 / cpu).max(100);
        for task in self.tasks.values_mut() {
            let others = noise - u64::from(task.noise());
            let slowdown = contention * (100 + others) / 100;
            task.slowdown = u32::try_from(slowdown).unwrap_or(u32::MAX);
        }
    }

    fn measure(&mut self) {
        let now = self.now;
        if now.since(self.sampled) < self.options.sample_interval {
            return;
        }
        self.sampled = now;
        let interval = self.options.checkpoint_interval;
        for task in self.tasks.values_mut() {
            task.checkpoint_if_due(now, interval);
            task.measure(now);
        }
    }

    fn usage(&mut self, now: Millis) -> Vec<Usage> {
        let lag = self.options.report_delay;
        let tasks = self.tasks.values_mut();
        tasks.filter_map(|task| task.report(now, lag)).collect()
    }

    const fn stamp(&self, now: Millis) -> WorkerTimestamp {
        WorkerTimestamp {
            incarnation: self.incarnation,
            at: now,
        }
    }
}

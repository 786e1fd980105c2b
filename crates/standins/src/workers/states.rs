//! State machine of a worker. It uses neither sockets nor a clock; callers pass the time.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::limits::{ORDER_TTL, TASK_LEASE};
use hyssop_core::{
    Attempt, Event, EventKind, Fenced, Incarnation, JobId, Millis, Order, OrderReject, PollReply,
    PollRequest, Renewal, Resources, RunningTask, StartOrder, Term, Usage, WorkerTimestamp,
};

use super::ledgers::{LedgerEntry, MAX_LEDGER_ENTRIES, TaskChange, WorkerLedger};
use super::options::{WorkerFaults, WorkerOptions};
use super::tasks::Task;

/// Maximum number of events in one poll reply.
const MAX_EVENTS: usize = 1_024;

/// Highest attempt started of each job, for a bounded number of jobs that no longer run.
#[derive(Clone, Debug, Default)]
struct Attempts {
    highest: BTreeMap<JobId, Attempt>,
    /// Jobs in the order of their first start; jobs kept past the bound move to the end.
    job_order: VecDeque<JobId>,
}

impl Attempts {
    fn is_old(&self, job: &JobId, attempt: Attempt) -> bool {
        let highest = self.highest.get(job);
        highest.is_some_and(|highest| attempt <= *highest)
    }

    fn record(&mut self, job: &JobId, attempt: Attempt) {
        if self.highest.insert(job.clone(), attempt).is_none() {
            self.job_order.push_back(job.clone());
        }
    }

    /// Removes the oldest jobs above the bound, except those with a running task.
    fn remove_oldest(&mut self, bound: usize, tasks: &BTreeMap<JobId, Task>) {
        let surplus = self.job_order.len().saturating_sub(bound);
        for _ in 0..surplus {
            let Some(job) = self.job_order.pop_front() else {
                return;
            };
            if tasks.contains_key(&job) {
                self.job_order.push_back(job);
            } else {
                self.highest.remove(&job);
            }
        }
    }
}

/// State of a worker and its simulated tasks.
#[derive(Clone, Debug)]
pub struct WorkerState {
    options: WorkerOptions,
    incarnation: Incarnation,
    /// Time to which the tasks have advanced.
    now: Millis,
    sampled_at: Millis,
    /// Highest term received in a poll.
    term: Option<Term>,
    tasks: BTreeMap<JobId, Task>,
    attempts: Attempts,
    /// Events that the owner has not acknowledged.
    events: VecDeque<Event>,
    last_seq: u64,
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
            sampled_at: Millis(0),
            term: None,
            tasks: BTreeMap::new(),
            attempts: Attempts::default(),
            events: VecDeque::new(),
            last_seq: 0,
            ledger: VecDeque::new(),
        }
    }

    /// Returns the sum of the resources allocated to running tasks.
    #[must_use]
    pub fn allocated(&self) -> Resources {
        self.allocated_except(None)
    }

    /// Returns the running tasks.
    #[must_use]
    pub fn running(&self) -> Vec<RunningTask> {
        self.tasks.values().map(Task::running).collect()
    }

    /// Returns the ledger; `clock_start` is the Unix time at which the worker's clock showed 0.
    #[must_use]
    pub fn ledger(&self, clock_start: Millis) -> WorkerLedger {
        WorkerLedger {
            worker: self.options.name.clone(),
            incarnation: self.incarnation,
            clock_start,
            entries: self.ledger.iter().cloned().collect(),
        }
    }

    /// Advances to `now` and replaces the injected faults.
    pub fn set_faults(&mut self, now: Millis, faults: WorkerFaults) {
        self.advance(now);
        self.options.faults = faults;
    }

    /// Ends all tasks because the worker stops; no events are reported.
    pub(super) fn kill(&mut self, now: Millis) {
        let jobs: Vec<JobId> = self.tasks.keys().cloned().collect();
        for job in jobs {
            self.end(now, &job, TaskChange::Killed, None);
        }
    }

    /// Advances to `now` and handles a poll: renews leases, carries out orders and reports events
    /// and measurements.
    ///
    /// # Errors
    ///
    /// Returns [`Fenced`] if a higher term was received before; the poll then has no effect.
    pub fn handle_poll(&mut self, now: Millis, request: &PollRequest) -> Result<PollReply, Fenced> {
        self.advance(now);
        if let Some(term) = self.term.filter(|term| request.term < *term) {
            return Err(Fenced { term });
        }
        let is_new_term = self.term != Some(request.term);
        self.term = Some(request.term);
        if is_new_term {
            self.tasks.values_mut().for_each(Task::clear_last_report);
        }
        let timestamp = request
            .timestamp
            .filter(|t| t.incarnation == self.incarnation);
        if timestamp.is_some() {
            // An acknowledgement for an earlier incarnation must not remove events of this one.
            self.remove_acked_events(request.acked_seq);
        }
        let valid = timestamp.filter(|t| t.at <= now);
        if let Some(timestamp) = valid {
            // The lease starts at the timestamp, so that a delayed renewal does not prolong it.
            self.renew_leases(timestamp.at + TASK_LEASE, request.renewal);
        }
        let fresh = valid.filter(|t| now - t.at <= ORDER_TTL);
        let rejected = self.apply_orders(now, &request.orders, fresh);
        self.attempts
            .remove_oldest(self.options.max_remembered_jobs, &self.tasks);
        let needs_inventory = is_new_term || request.wants_inventory;
        Ok(PollReply {
            timestamp: self.timestamp(now),
            term: request.term,
            capacity: self.options.capacity,
            rack: self.options.rack.clone(),
            events: self.events.iter().take(MAX_EVENTS).cloned().collect(),
            usage: self.usage(now),
            inventory: needs_inventory.then(|| self.running()),
            rejected: rejected.into(),
        })
    }

    /// Advances the tasks to `now`: they progress, finish, and stop when their leases expire.
    pub fn advance(&mut self, now: Millis) {
        while self.now < now {
            self.set_slowdowns();
            let next = self.next_end().map_or(now, |at| at.min(now));
            let elapsed = next.since(self.now);
            let speed = self.speed();
            let tasks = self.tasks.values_mut();
            tasks.for_each(|task| task.advance(elapsed, speed));
            self.now = self.now.max(next);
            self.end_due();
        }
        self.set_slowdowns();
        self.measure_tasks();
    }

    fn speed(&self) -> u32 {
        self.options.faults.speed_percent.max(1)
    }

    /// Returns the next time at which a task finishes or its lease expires.
    fn next_end(&self) -> Option<Millis> {
        let speed = self.speed();
        let times = self.tasks.values().map(|task| {
            let finish = task.finish_at(self.now, speed);
            finish.map_or(task.lease_end, |at| at.min(task.lease_end))
        });
        times.min()
    }

    /// Ends the tasks that have finished and those whose leases have expired.
    fn end_due(&mut self) {
        let now = self.now;
        let is_due = |task: &Task| task.is_done() || task.lease_end <= now;
        let jobs = self.tasks.iter().filter(|(_, task)| is_due(task));
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

    /// Removes a task and records the change; reports an event if `kind` is given.
    fn end(&mut self, now: Millis, job: &JobId, change: TaskChange, kind: Option<EventKind>) {
        let Some(task) = self.tasks.remove(job) else {
            return;
        };
        self.record_change(now, &task, change);
        if let Some(kind) = kind {
            self.report_event(&task.order, kind);
        }
    }

    fn record_change(&mut self, at: Millis, task: &Task, change: TaskChange) {
        if self.ledger.len() >= MAX_LEDGER_ENTRIES {
            self.ledger.pop_front();
        }
        self.ledger.push_back(LedgerEntry {
            at,
            job: task.order.job.clone(),
            attempt: task.order.attempt,
            term: self.term,
            needs: task.order.needs,
            work_done: task.work_done(),
            change,
        });
    }

    fn report_event(&mut self, order: &StartOrder, kind: EventKind) {
        self.last_seq += 1;
        self.events.push_back(Event {
            seq: self.last_seq,
            job: order.job.clone(),
            attempt: order.attempt,
            kind,
        });
    }

    fn remove_acked_events(&mut self, acked: u64) {
        while self.events.front().is_some_and(|event| event.seq <= acked) {
            self.events.pop_front();
        }
    }

    fn renew_leases(&mut self, until: Millis, renewal: Renewal) {
        let is_renewed = |task: &&mut Task| match renewal {
            Renewal::All => true,
            Renewal::Critical => task.is_critical(),
            Renewal::Nothing => false,
        };
        let tasks = self.tasks.values_mut().filter(is_renewed);
        tasks.for_each(|task| task.renew(until));
    }

    fn apply_orders(
        &mut self,
        now: Millis,
        orders: &[Order],
        timestamp: Option<WorkerTimestamp>,
    ) -> Vec<(u32, OrderReject)> {
        let mut rejected = Vec::new();
        for (index, order) in (0..).zip(orders) {
            let result = match timestamp {
                Some(timestamp) => self.apply_order(now, order, timestamp.at + TASK_LEASE),
                None => Err(OrderReject::StaleTimestamp),
            };
            if let Err(reject) = result {
                rejected.push((index, reject));
            }
        }
        rejected
    }

    fn apply_order(
        &mut self,
        now: Millis,
        order: &Order,
        lease_end: Millis,
    ) -> Result<(), OrderReject> {
        match order {
            Order::Start(start) => self.start(now, start, lease_end),
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

    fn start(
        &mut self,
        now: Millis,
        order: &StartOrder,
        lease_end: Millis,
    ) -> Result<(), OrderReject> {
        if self.attempts.is_old(&order.job, order.attempt) {
            return Err(OrderReject::OldAttempt);
        }
        let allocated = self.allocated_except(Some(&order.job));
        let total = allocated.checked_add(order.needs);
        if !total.is_some_and(|total| total.fits(self.options.capacity)) {
            return Err(OrderReject::NoCapacity);
        }
        // Stops an earlier attempt, because two attempts of a job must not run at the same time.
        self.end(
            now,
            &order.job,
            TaskChange::Stopped,
            Some(EventKind::Stopped),
        );
        self.attempts.record(&order.job, order.attempt);
        let task = Task::new(now, order.clone(), lease_end);
        self.record_change(now, &task, TaskChange::Started);
        self.report_event(order, EventKind::Started);
        let is_failing = self.options.faults.has_failing_tasks || task.profile.is_failing;
        self.tasks.insert(order.job.clone(), task);
        if is_failing {
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
            // Cannot overflow, because each start was checked against the capacity.
            sum.checked_add(task.order.needs).unwrap_or(sum)
        })
    }

    /// Sets the slowdown of each task from the interference of the other tasks and from CPU
    /// contention when the tasks use more than the capacity.
    fn set_slowdowns(&mut self) {
        let used: u64 = self.tasks.values().map(|t| u64::from(t.used().cpu)).sum();
        let interference: u64 = self
            .tasks
            .values()
            .map(|t| u64::from(t.interference()))
            .sum();
        let cpu = u64::from(self.options.capacity.cpu.max(1));
        let contention = (used * 100 / cpu).max(100);
        for task in self.tasks.values_mut() {
            let from_others = interference - u64::from(task.interference());
            let slowdown = contention * (100 + from_others) / 100;
            task.slowdown = u32::try_from(slowdown).unwrap_or(u32::MAX);
        }
    }

    fn measure_tasks(&mut self) {
        let now = self.now;
        if now.since(self.sampled_at) < self.options.sample_interval {
            return;
        }
        self.sampled_at = now;
        let interval = self.options.checkpoint_interval;
        for task in self.tasks.values_mut() {
            task.checkpoint_if_due(now, interval);
            task.measure(now);
        }
    }

    fn usage(&mut self, now: Millis) -> Vec<Usage> {
        let delay = self.options.report_delay;
        let tasks = self.tasks.values_mut();
        tasks
            .filter_map(|task| task.take_report(now, delay))
            .collect()
    }

    const fn timestamp(&self, now: Millis) -> WorkerTimestamp {
        WorkerTimestamp {
            incarnation: self.incarnation,
            at: now,
        }
    }
}

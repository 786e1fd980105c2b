//! Baseline schedulers with a complete view of the fleet and no replicated log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hyssop_core::{
    Attempt, Class, ConfView, DomainState, EntryName, EventKind, JobCall, JobId, JobReply, JobSpec,
    Millis, Order, OrderReject, PollReply, PollRequest, Renewal, Resources, StartOrder, Term,
    Usage, WorkerName, WorkerTimestamp,
};
use hyssop_plan::{Input, Output};

use super::schedulers::domain_of_worker;

/// Interval between polls of one worker.
const POLL_INTERVAL: Millis = Millis(250);
/// Time since the last reply after which the tasks of an unreachable worker count as lost.
const LOST_TIMEOUT: Millis = Millis(16_000);
/// Delay before a failed job may start again.
const RETRY_BACKOFF: Millis = Millis(1_000);
/// Least time between two evictions from one worker under [`Rule::EvictAtOnce`].
const EVICTION_INTERVAL: Millis = Millis(10_000);
/// Time during which an evicted job is not placed on the same worker again.
const AVOID_PERIOD: Millis = Millis(10_000);
/// Slowdown of a latency-critical task above which [`Rule::EvictAtOnce`] evicts, where 100 means
/// unhindered.
const EVICTION_SLOWDOWN_PERCENT: u32 = 110;

/// How a baseline protects latency-critical tasks from batch tasks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// First fit without any protection.
    NoProtection,
    /// Some workers run latency-critical tasks only, all others batch tasks only.
    Separate,
    /// First fit; the first report of a slowdown evicts the newest batch task of that worker.
    EvictAtOnce,
}

#[derive(Clone, Debug)]
struct Task {
    spec: JobSpec,
    attempt: Attempt,
    worker: WorkerName,
    is_start_sent: bool,
    is_evicting: bool,
    checkpoint: u64,
    placed_at: Millis,
}

#[derive(Clone, Debug)]
struct QueuedTask {
    spec: JobSpec,
    attempt: Attempt,
    checkpoint: u64,
    not_before: Millis,
    /// Worker that evicted the job, and the time until which it is not placed there again.
    avoid_worker: Option<(WorkerName, Millis)>,
}

#[derive(Clone, Debug, Default)]
struct WorkerView {
    timestamp: Option<WorkerTimestamp>,
    capacity: Resources,
    last_polled_at: Option<Millis>,
    last_reply_at: Millis,
    is_unreachable: bool,
    acked_seq: u64,
    queued_orders: Vec<Order>,
    sent_orders: Vec<Order>,
    is_reserved: bool,
    last_eviction_at: Option<Millis>,
}

/// One scheduler for all workers of the fleet.
#[derive(Debug)]
pub(super) struct Baseline {
    rule: Rule,
    workers: BTreeMap<WorkerName, WorkerView>,
    tasks: BTreeMap<JobId, Task>,
    queue: VecDeque<QueuedTask>,
    conf: Option<Arc<ConfView>>,
    entry: EntryName,
}

impl Baseline {
    /// Creates a scheduler. [`Rule::Separate`] reserves the workers in `reserved` for
    /// latency-critical tasks; the other rules ignore the list.
    pub(super) fn new(rule: Rule, workers: &[WorkerName], reserved: &[WorkerName]) -> Self {
        let view = |name: &WorkerName| WorkerView {
            is_reserved: reserved.contains(name),
            ..WorkerView::default()
        };
        Self {
            rule,
            workers: workers.iter().map(|w| (w.clone(), view(w))).collect(),
            tasks: BTreeMap::new(),
            queue: VecDeque::new(),
            conf: None,
            entry: EntryName::new("baseline").expect("a valid name"),
        }
    }

    pub(super) fn tick(&mut self, now: Millis, inputs: Vec<Input>) -> Vec<Output> {
        let mut out = Vec::new();
        for input in inputs {
            self.apply_input(now, input, &mut out);
        }
        self.requeue_lost_tasks(now);
        self.queue_missing_instances(now);
        self.evict_from_out_domains();
        self.place_tasks(now);
        self.send_polls(now, &mut out);
        out
    }

    fn apply_input(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Conf(conf) => self.conf = Some(conf),
            Input::Call {
                token,
                call: JobCall::Submit(spec),
            } => {
                self.queue.push_back(QueuedTask {
                    spec,
                    attempt: Attempt(0),
                    checkpoint: 0,
                    not_before: Millis(0),
                    avoid_worker: None,
                });
                // The fixture only checks whether the job was refused.
                let reply = JobReply::List(Vec::new());
                out.push(Output::Reply { token, reply });
            }
            Input::Polled { worker, reply, .. } => self.on_poll_reply(now, &worker, &reply),
            Input::PollFailed { worker, .. } => {
                if let Some(view) = self.workers.get_mut(&worker) {
                    view.is_unreachable = true;
                }
            }
            _ => {}
        }
    }

    fn on_poll_reply(&mut self, now: Millis, name: &WorkerName, reply: &PollReply) {
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        let is_restarted = view
            .timestamp
            .is_some_and(|s| s.incarnation != reply.timestamp.incarnation);
        view.timestamp = Some(reply.timestamp);
        view.capacity = reply.capacity;
        view.last_reply_at = now;
        view.is_unreachable = false;
        let sent = std::mem::take(&mut view.sent_orders);
        if is_restarted {
            view.acked_seq = 0;
            view.queued_orders.clear();
            self.requeue_all(now, name);
        }
        self.on_rejected_orders(now, &sent, reply);
        for event in &reply.events {
            let view = self.workers.get_mut(name);
            if view.as_ref().is_none_or(|view| event.seq <= view.acked_seq) {
                continue;
            }
            if let Some(view) = view {
                view.acked_seq = event.seq;
            }
            self.on_event(now, name, &event.job, event.attempt, &event.kind);
        }
        for usage in &reply.usage {
            self.on_usage(now, name, usage);
        }
    }

    fn on_rejected_orders(&mut self, now: Millis, sent: &[Order], reply: &PollReply) {
        for (index, reject) in &reply.rejected {
            let Some(Order::Start(order)) = sent.get(*index as usize) else {
                continue;
            };
            match reject {
                OrderReject::StaleTimestamp => {
                    if let Some(task) = self.tasks.get_mut(&order.job) {
                        task.is_start_sent = false;
                    }
                }
                _ => self.requeue(now, &order.job, None, Millis(500)),
            }
        }
    }

    fn on_event(
        &mut self,
        now: Millis,
        name: &WorkerName,
        job: &JobId,
        attempt: Attempt,
        kind: &EventKind,
    ) {
        let task = self.tasks.get(job);
        if task.is_none_or(|t| t.attempt != attempt || t.worker != *name) {
            return;
        }
        match kind {
            EventKind::Started => {}
            EventKind::Finished { .. } => {
                self.tasks.remove(job);
            }
            EventKind::Failed { .. } => self.requeue(now, job, None, RETRY_BACKOFF),
            EventKind::Evicted { checkpoint } => {
                let checkpoint = Some(*checkpoint);
                self.requeue(now, job, checkpoint, Millis(0));
            }
            EventKind::Stopped => {
                self.requeue(now, job, None, Millis(0));
            }
        }
    }

    /// Puts the job of a task back into the queue, to start after `delay` at the earliest.
    fn requeue(&mut self, now: Millis, job: &JobId, checkpoint: Option<u64>, delay: Millis) {
        let Some(task) = self.tasks.remove(job) else {
            return;
        };
        self.queue.push_back(QueuedTask {
            avoid_worker: task
                .is_evicting
                .then_some((task.worker, now + AVOID_PERIOD)),
            spec: task.spec,
            attempt: task.attempt,
            checkpoint: checkpoint.unwrap_or(task.checkpoint),
            not_before: now + delay,
        });
    }

    fn requeue_all(&mut self, now: Millis, name: &WorkerName) {
        let on_worker = self.tasks.iter().filter(|(_, t)| t.worker == *name);
        let jobs: Vec<JobId> = on_worker.map(|(job, _)| job.clone()).collect();
        for job in jobs {
            self.requeue(now, &job, None, Millis(0));
        }
    }

    fn on_usage(&mut self, now: Millis, name: &WorkerName, usage: &Usage) {
        let Some(task) = self.tasks.get_mut(&usage.job) else {
            return;
        };
        task.checkpoint = task.checkpoint.max(usage.checkpoint);
        let is_critical = task.spec.class == Class::LatencyCritical;
        if is_critical
            && usage.slowdown > EVICTION_SLOWDOWN_PERCENT
            && self.rule == Rule::EvictAtOnce
        {
            self.evict_newest(now, name);
        }
    }

    fn evict_newest(&mut self, now: Millis, name: &WorkerName) {
        let batch_tasks = self.tasks.iter().filter(|(_, t)| {
            t.worker == *name
                && t.is_start_sent
                && !t.is_evicting
                && t.spec.class != Class::LatencyCritical
        });
        let newest = batch_tasks
            .max_by_key(|(_, t)| t.placed_at)
            .map(|(job, _)| job.clone());
        let Some(view) = self.workers.get_mut(name) else {
            return;
        };
        let is_too_early = view
            .last_eviction_at
            .is_some_and(|at| now.since(at) < EVICTION_INTERVAL);
        if let Some(job) = newest.filter(|_| !is_too_early) {
            view.last_eviction_at = Some(now);
            self.evict(&job);
        }
    }

    fn evict(&mut self, job: &JobId) {
        let Some(task) = self.tasks.get_mut(job) else {
            return;
        };
        if std::mem::replace(&mut task.is_evicting, true) {
            return;
        }
        let order = Order::Evict {
            job: job.clone(),
            attempt: task.attempt,
        };
        if let Some(view) = self.workers.get_mut(&task.worker) {
            view.queued_orders.push(order);
        }
    }

    fn requeue_lost_tasks(&mut self, now: Millis) {
        let unreachable = self.workers.iter();
        let unreachable = unreachable
            .filter(|(_, v)| v.is_unreachable && now.since(v.last_reply_at) > LOST_TIMEOUT);
        let names: Vec<_> = unreachable.map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(view) = self.workers.get_mut(&name) {
                view.queued_orders.clear();
            }
            self.requeue_all(now, &name);
        }
    }

    fn is_out(&self, name: &WorkerName) -> bool {
        let conf = self.conf.as_ref();
        conf.is_none_or(|conf| conf.domain(&domain_of_worker(name)) == DomainState::Out)
    }

    /// Queues the service tasks that the documents ask for and that neither run nor wait.
    fn queue_missing_instances(&mut self, now: Millis) {
        let Some(conf) = self.conf.clone() else {
            return;
        };
        let known: BTreeSet<JobId> = self
            .tasks
            .keys()
            .chain(self.queue.iter().map(|w| &w.spec.id))
            .cloned()
            .collect();
        for view in conf.docs.values() {
            let doc = &view.doc;
            for n in 0..doc.needs.instances {
                let id = JobId::new(format!("standing-{}-{n}", doc.service));
                let id = id.expect("a valid name");
                if known.contains(&id) {
                    continue;
                }
                self.queue.push_front(QueuedTask {
                    spec: JobSpec {
                        id,
                        team: doc.team.clone(),
                        service: doc.service.clone(),
                        kind: doc.service.clone(),
                        class: Class::LatencyCritical,
                        needs: doc.needs.resources,
                        work: Millis(1 << 40),
                        domains: smallvec::SmallVec::new(),
                        payload: String::new(),
                    },
                    attempt: Attempt(0),
                    checkpoint: 0,
                    not_before: now,
                    avoid_worker: None,
                });
            }
        }
    }

    /// Evicts the tasks that run in domains with the state `Out`.
    fn evict_from_out_domains(&mut self) {
        let running = self.tasks.iter();
        let running =
            running.filter(|(_, t)| t.is_start_sent && !t.is_evicting && self.is_out(&t.worker));
        let jobs: Vec<JobId> = running.map(|(job, _)| job.clone()).collect();
        for job in jobs {
            self.evict(&job);
        }
    }

    fn free_resources(&self) -> BTreeMap<WorkerName, Resources> {
        let mut free = BTreeMap::new();
        for (name, view) in &self.workers {
            if view.timestamp.is_some() && !view.is_unreachable && !self.is_out(name) {
                free.insert(name.clone(), view.capacity);
            }
        }
        for task in self.tasks.values() {
            if let Some(available) = free.get_mut(&task.worker) {
                *available = available.saturating_sub(task.spec.needs);
            }
        }
        free
    }

    fn place_tasks(&mut self, now: Millis) {
        let mut free = self.free_resources();
        let mut unplaced = VecDeque::new();
        let mut queue = std::mem::take(&mut self.queue);
        // Latency-critical instances are placed before batch tasks.
        let (critical, batch): (Vec<_>, Vec<_>) = queue
            .drain(..)
            .partition(|w| w.spec.class == Class::LatencyCritical);
        for queued in critical.into_iter().chain(batch) {
            let is_due = queued.not_before <= now;
            let chosen = is_due
                .then(|| self.choose_worker(now, &queued, &free))
                .flatten();
            let Some(name) = chosen else {
                unplaced.push_back(queued);
                continue;
            };
            if let Some(available) = free.get_mut(&name) {
                *available = available.saturating_sub(queued.spec.needs);
            }
            let task = Task {
                attempt: queued.attempt.next(),
                worker: name,
                is_start_sent: false,
                is_evicting: false,
                checkpoint: queued.checkpoint,
                placed_at: now,
                spec: queued.spec,
            };
            self.tasks.insert(task.spec.id.clone(), task);
        }
        self.queue = unplaced;
    }

    fn choose_worker(
        &self,
        now: Millis,
        queued: &QueuedTask,
        free: &BTreeMap<WorkerName, Resources>,
    ) -> Option<WorkerName> {
        let is_critical = queued.spec.class == Class::LatencyCritical;
        let fits = free.iter().filter(|(name, available)| {
            let view = self.workers.get(*name);
            let is_reserved = view.is_some_and(|view| view.is_reserved);
            let is_allowed = self.rule != Rule::Separate || is_reserved == is_critical;
            let avoid = queued.avoid_worker.as_ref();
            let is_avoided =
                avoid.is_some_and(|(evicted_from, until)| evicted_from == *name && now < *until);
            is_allowed && !is_avoided && queued.spec.needs.fits(**available)
        });
        if !is_critical {
            return fits.map(|(name, _)| name.clone()).next();
        }
        // Instances of a service are spread over the workers, as the cell cores do.
        let instances_on = |name: &WorkerName| {
            let on_worker = self.tasks.values().filter(|t| t.worker == *name);
            on_worker
                .filter(|t| t.spec.service == queued.spec.service)
                .count()
        };
        fits.min_by_key(|(name, _)| instances_on(name))
            .map(|(n, _)| n.clone())
    }

    fn send_polls(&mut self, now: Millis, out: &mut Vec<Output>) {
        for (name, view) in &mut self.workers {
            if view
                .last_polled_at
                .is_some_and(|at| now.since(at) < POLL_INTERVAL)
            {
                continue;
            }
            view.last_polled_at = Some(now);
            let mut orders = std::mem::take(&mut view.queued_orders);
            if view.timestamp.is_some() && !view.is_unreachable {
                for task in self.tasks.values_mut() {
                    if task.worker == *name && !task.is_start_sent {
                        task.is_start_sent = true;
                        orders.push(start_order(task));
                    }
                }
            }
            view.sent_orders.clone_from(&orders);
            out.push(Output::Poll {
                worker: name.clone(),
                request: PollRequest {
                    term: Term(1),
                    owner: self.entry.clone(),
                    timestamp: view.timestamp,
                    renewal: Renewal::All,
                    wants_inventory: false,
                    acked_seq: view.acked_seq,
                    orders,
                },
            });
        }
    }
}

fn start_order(task: &Task) -> Order {
    Order::Start(StartOrder {
        job: task.spec.id.clone(),
        attempt: task.attempt,
        service: task.spec.service.clone(),
        class: task.spec.class,
        needs: task.spec.needs,
        work: task.spec.work,
        checkpoint: task.checkpoint,
        payload: task.spec.payload.clone(),
    })
}

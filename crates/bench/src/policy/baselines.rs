//! Baselines: schedulers that see the whole fleet at once and need no log.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::sync::Arc;

use hyssop_core::{
    Attempt, Class, ConfView, DomainState, EntryName, EventKind, JobCall, JobId, JobReply, JobSpec,
    Millis, Order, OrderReject, PollReply, PollRequest, Renewal, Resources, StartOrder, Term,
    Usage, WorkerName, WorkerTimestamp,
};
use hyssop_plan::{Input, Output};

use super::schedulers::domain_of;

/// Interval of the polls.
const POLL: Millis = Millis(250);
/// Silence after which a worker's tasks are lost.
const LOST: Millis = Millis(16_000);
/// Wait after a failed attempt.
const BACKOFF: Millis = Millis(1_000);
/// Interval of the evictions from one worker.
const EVICTIONS: Millis = Millis(10_000);
/// Time for which an evicted task does not go back to the same worker.
const AVOID: Millis = Millis(10_000);
/// Slowdown in percent at which a task is evicted at the first sign.
const SIGN: u32 = 110;

/// How a baseline treats batch beside latency-critical work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Rule {
    /// First fit, nothing else.
    NoProtection,
    /// Workers are reserved for latency-critical tasks.
    Separate,
    /// First fit, and the newest batch task goes at the first report of a slowdown.
    EvictAtOnce,
}

#[derive(Clone, Debug)]
struct Task {
    spec: JobSpec,
    attempt: Attempt,
    worker: WorkerName,
    ordered: bool,
    evicting: bool,
    checkpoint: u64,
    since: Millis,
}

#[derive(Clone, Debug)]
struct Waiting {
    spec: JobSpec,
    attempt: Attempt,
    checkpoint: u64,
    after: Millis,
    /// Worker that it was evicted from, and the time until which it does not go back.
    avoid: Option<(WorkerName, Millis)>,
}

#[derive(Clone, Debug, Default)]
struct Host {
    stamp: Option<WorkerTimestamp>,
    capacity: Resources,
    polled: Option<Millis>,
    heard: Millis,
    silent: bool,
    seen: u64,
    orders: Vec<Order>,
    sent: Vec<Order>,
    reserved: bool,
    evicted: Option<Millis>,
}

/// A scheduler of the whole fleet.
#[derive(Debug)]
pub(super) struct Baseline {
    rule: Rule,
    hosts: BTreeMap<WorkerName, Host>,
    tasks: BTreeMap<JobId, Task>,
    queue: VecDeque<Waiting>,
    conf: Option<Arc<ConfView>>,
    entry: EntryName,
}

impl Baseline {
    /// Creates a scheduler; with [`Rule::Separate`], `reserved` workers are kept for
    /// latency-critical tasks.
    pub(super) fn new(rule: Rule, workers: &[WorkerName], reserved: &[WorkerName]) -> Self {
        let host = |name: &WorkerName| Host {
            reserved: reserved.contains(name),
            ..Host::default()
        };
        Self {
            rule,
            hosts: workers.iter().map(|w| (w.clone(), host(w))).collect(),
            tasks: BTreeMap::new(),
            queue: VecDeque::new(),
            conf: None,
            entry: EntryName::new("baseline").expect("a valid name"),
        }
    }

    pub(super) fn tick(&mut self, now: Millis, inputs: Vec<Input>) -> Vec<Output> {
        let mut out = Vec::new();
        for input in inputs {
            self.take(now, input, &mut out);
        }
        self.lose_silent(now);
        self.stand(now);
        self.drain();
        self.place(now);
        self.poll(now, &mut out);
        out
    }

    fn take(&mut self, now: Millis, input: Input, out: &mut Vec<Output>) {
        match input {
            Input::Conf(conf) => self.conf = Some(conf),
            Input::Call {
                token,
                call: JobCall::Submit(spec),
            } => {
                self.queue.push_back(Waiting {
                    spec,
                    attempt: Attempt(0),
                    checkpoint: 0,
                    after: Millis(0),
                    avoid: None,
                });
                // The fixture only looks at whether the job was refused.
                let reply = JobReply::List(Vec::new());
                out.push(Output::Reply { token, reply });
            }
            Input::Polled { worker, reply, .. } => self.polled(now, &worker, &reply),
            Input::PollFailed { worker, .. } => {
                if let Some(host) = self.hosts.get_mut(&worker) {
                    host.silent = true;
                }
            }
            _ => {}
        }
    }

    fn polled(&mut self, now: Millis, name: &WorkerName, reply: &PollReply) {
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let reborn = host
            .stamp
            .is_some_and(|s| s.incarnation != reply.timestamp.incarnation);
        host.stamp = Some(reply.timestamp);
        host.capacity = reply.capacity;
        host.heard = now;
        host.silent = false;
        let sent = std::mem::take(&mut host.sent);
        if reborn {
            host.seen = 0;
            host.orders.clear();
            self.requeue_all(now, name);
        }
        self.check_rejects(now, &sent, reply);
        for event in &reply.events {
            let host = self.hosts.get_mut(name);
            if host.as_ref().is_none_or(|host| event.seq <= host.seen) {
                continue;
            }
            if let Some(host) = host {
                host.seen = event.seq;
            }
            self.event(now, name, &event.job, event.attempt, &event.kind);
        }
        for usage in &reply.usage {
            self.usage(now, name, usage);
        }
    }

    fn check_rejects(&mut self, now: Millis, sent: &[Order], reply: &PollReply) {
        for (place, reject) in &reply.rejected {
            let Some(Order::Start(order)) = sent.get(*place as usize) else {
                continue;
            };
            match reject {
                OrderReject::StaleTimestamp => {
                    if let Some(task) = self.tasks.get_mut(&order.job) {
                        task.ordered = false;
                    }
                }
                _ => self.requeue(now, &order.job, None, Millis(500)),
            }
        }
    }

    fn event(
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
            EventKind::Failed { .. } => self.requeue(now, job, None, BACKOFF),
            EventKind::Evicted { checkpoint } => {
                let at = Some(*checkpoint);
                self.requeue(now, job, at, Millis(0));
            }
            EventKind::Stopped => {
                self.requeue(now, job, None, Millis(0));
            }
        }
    }

    /// Puts a job back into the queue; a standing one is accepted again by `stand`.
    fn requeue(&mut self, now: Millis, job: &JobId, checkpoint: Option<u64>, wait: Millis) {
        let Some(task) = self.tasks.remove(job) else {
            return;
        };
        self.queue.push_back(Waiting {
            avoid: task.evicting.then_some((task.worker, now + AVOID)),
            spec: task.spec,
            attempt: task.attempt,
            checkpoint: checkpoint.unwrap_or(task.checkpoint),
            after: now + wait,
        });
    }

    fn requeue_all(&mut self, now: Millis, name: &WorkerName) {
        let on = self.tasks.iter().filter(|(_, t)| t.worker == *name);
        let jobs: Vec<JobId> = on.map(|(job, _)| job.clone()).collect();
        for job in jobs {
            self.requeue(now, &job, None, Millis(0));
        }
    }

    fn usage(&mut self, now: Millis, name: &WorkerName, usage: &Usage) {
        let Some(task) = self.tasks.get_mut(&usage.job) else {
            return;
        };
        task.checkpoint = task.checkpoint.max(usage.checkpoint);
        let critical = task.spec.class == Class::LatencyCritical;
        if critical && usage.slowdown > SIGN && self.rule == Rule::EvictAtOnce {
            self.evict_newest(now, name);
        }
    }

    fn evict_newest(&mut self, now: Millis, name: &WorkerName) {
        let on = self.tasks.iter().filter(|(_, t)| {
            t.worker == *name && t.ordered && !t.evicting && t.spec.class != Class::LatencyCritical
        });
        let newest = on.max_by_key(|(_, t)| t.since).map(|(job, _)| job.clone());
        let Some(host) = self.hosts.get_mut(name) else {
            return;
        };
        let early = host.evicted.is_some_and(|at| now.since(at) < EVICTIONS);
        if let Some(job) = newest.filter(|_| !early) {
            host.evicted = Some(now);
            self.evict(&job);
        }
    }

    fn evict(&mut self, job: &JobId) {
        let Some(task) = self.tasks.get_mut(job) else {
            return;
        };
        if std::mem::replace(&mut task.evicting, true) {
            return;
        }
        let order = Order::Evict {
            job: job.clone(),
            attempt: task.attempt,
        };
        if let Some(host) = self.hosts.get_mut(&task.worker) {
            host.orders.push(order);
        }
    }

    fn lose_silent(&mut self, now: Millis) {
        let silent = self.hosts.iter();
        let silent = silent.filter(|(_, h)| h.silent && now.since(h.heard) > LOST);
        let names: Vec<_> = silent.map(|(name, _)| name.clone()).collect();
        for name in names {
            if let Some(host) = self.hosts.get_mut(&name) {
                host.orders.clear();
            }
            self.requeue_all(now, &name);
        }
    }

    fn is_out(&self, name: &WorkerName) -> bool {
        let conf = self.conf.as_ref();
        conf.is_none_or(|conf| conf.domain(&domain_of(name)) == DomainState::Out)
    }

    /// Keeps as many instances as the documents ask for.
    fn stand(&mut self, now: Millis) {
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
                self.queue.push_front(Waiting {
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
                    after: now,
                    avoid: None,
                });
            }
        }
    }

    /// Moves tasks out of domains that are out of service.
    fn drain(&mut self) {
        let leaving = self.tasks.iter();
        let leaving = leaving.filter(|(_, t)| t.ordered && !t.evicting && self.is_out(&t.worker));
        let jobs: Vec<JobId> = leaving.map(|(job, _)| job.clone()).collect();
        for job in jobs {
            self.evict(&job);
        }
    }

    fn free(&self) -> BTreeMap<WorkerName, Resources> {
        let mut free = BTreeMap::new();
        for (name, host) in &self.hosts {
            if host.stamp.is_some() && !host.silent && !self.is_out(name) {
                free.insert(name.clone(), host.capacity);
            }
        }
        for task in self.tasks.values() {
            if let Some(room) = free.get_mut(&task.worker) {
                *room = room.saturating_sub(task.spec.needs);
            }
        }
        free
    }

    fn place(&mut self, now: Millis) {
        let mut free = self.free();
        let mut left = VecDeque::new();
        let mut queue = std::mem::take(&mut self.queue);
        // Latency-critical instances first.
        let (critical, batch): (Vec<_>, Vec<_>) = queue
            .drain(..)
            .partition(|w| w.spec.class == Class::LatencyCritical);
        for waiting in critical.into_iter().chain(batch) {
            let ready = waiting.after <= now;
            let place = ready.then(|| self.choose(now, &waiting, &free)).flatten();
            let Some(name) = place else {
                left.push_back(waiting);
                continue;
            };
            if let Some(room) = free.get_mut(&name) {
                *room = room.saturating_sub(waiting.spec.needs);
            }
            let task = Task {
                attempt: waiting.attempt.next(),
                worker: name,
                ordered: false,
                evicting: false,
                checkpoint: waiting.checkpoint,
                since: now,
                spec: waiting.spec,
            };
            self.tasks.insert(task.spec.id.clone(), task);
        }
        self.queue = left;
    }

    fn choose(
        &self,
        now: Millis,
        waiting: &Waiting,
        free: &BTreeMap<WorkerName, Resources>,
    ) -> Option<WorkerName> {
        let critical = waiting.spec.class == Class::LatencyCritical;
        let fits = free.iter().filter(|(name, room)| {
            let host = self.hosts.get(*name);
            let reserved = host.is_some_and(|host| host.reserved);
            let allowed = self.rule != Rule::Separate || reserved == critical;
            let avoid = waiting.avoid.as_ref();
            let avoided = avoid.is_some_and(|(from, until)| from == *name && now < *until);
            allowed && !avoided && waiting.spec.needs.fits(**room)
        });
        if !critical {
            return fits.map(|(name, _)| name.clone()).next();
        }
        // Instances are spread, as in the system.
        let same = |name: &WorkerName| {
            let on = self.tasks.values().filter(|t| t.worker == *name);
            on.filter(|t| t.spec.service == waiting.spec.service)
                .count()
        };
        fits.min_by_key(|(name, _)| same(name))
            .map(|(n, _)| n.clone())
    }

    fn poll(&mut self, now: Millis, out: &mut Vec<Output>) {
        for (name, host) in &mut self.hosts {
            if host.polled.is_some_and(|at| now.since(at) < POLL) {
                continue;
            }
            host.polled = Some(now);
            let mut orders = std::mem::take(&mut host.orders);
            if host.stamp.is_some() && !host.silent {
                for task in self.tasks.values_mut() {
                    if task.worker == *name && !task.ordered {
                        task.ordered = true;
                        orders.push(start(task));
                    }
                }
            }
            host.sent.clone_from(&orders);
            out.push(Output::Poll {
                worker: name.clone(),
                request: PollRequest {
                    term: Term(1),
                    owner: self.entry.clone(),
                    timestamp: host.stamp,
                    renewal: Renewal::All,
                    wants_inventory: false,
                    acked_seq: host.seen,
                    orders,
                },
            });
        }
    }
}

fn start(task: &Task) -> Order {
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

//! Simulated workers that start every task they are ordered to, whatever their free capacity.

use std::collections::BTreeMap;

use hyssop_core::{
    Attempt, Class, Event, EventKind, Incarnation, JobId, Millis, Order, PollReply, PollRequest,
    RackName, Resources, RunningTask, StartOrder, Term, Usage, WorkerTimestamp,
};
use smallvec::SmallVec;

/// A running task.
#[derive(Clone, Debug)]
struct SimTask {
    attempt: Attempt,
    class: Class,
    needs: Resources,
    ends_at: Millis,
}

/// A simulated worker with its tasks and its unacknowledged events.
#[derive(Debug)]
pub(super) struct SimWorker {
    rack: RackName,
    capacity: Resources,
    tasks: BTreeMap<JobId, SimTask>,
    events: Vec<Event>,
    last_seq: u64,
    term: Option<Term>,
}

impl SimWorker {
    pub(super) fn new(rack: RackName, capacity: Resources) -> Self {
        Self {
            rack,
            capacity,
            tasks: BTreeMap::new(),
            events: Vec::new(),
            last_seq: 0,
            term: None,
        }
    }

    /// Adds a task that is already running and never ends.
    pub(super) fn add_task(
        &mut self,
        job: JobId,
        attempt: Attempt,
        class: Class,
        needs: Resources,
    ) {
        let task = SimTask {
            attempt,
            class,
            needs,
            ends_at: Millis(u64::MAX),
        };
        self.tasks.insert(job, task);
    }

    fn push_event(&mut self, job: JobId, attempt: Attempt, kind: EventKind) {
        self.last_seq += 1;
        self.events.push(Event {
            seq: self.last_seq,
            job,
            attempt,
            kind,
        });
    }

    fn start_task(&mut self, now: Millis, order: &StartOrder) {
        let task = SimTask {
            attempt: order.attempt,
            class: order.class,
            needs: order.needs,
            ends_at: now + order.work,
        };
        self.tasks.insert(order.job.clone(), task);
        self.push_event(order.job.clone(), order.attempt, EventKind::Started);
    }

    fn finish_tasks(&mut self, now: Millis) {
        let ended = self.tasks.iter().filter(|(_, task)| task.ends_at <= now);
        let ended: Vec<_> = ended
            .map(|(job, task)| (job.clone(), task.attempt))
            .collect();
        for (job, attempt) in ended {
            self.tasks.remove(&job);
            let result = "done".to_owned();
            self.push_event(job, attempt, EventKind::Finished { result });
        }
    }

    /// Applies the orders of a poll and returns the reply. With `has_usage`, the reply has a new
    /// measurement of each task.
    pub(super) fn reply(
        &mut self,
        now: Millis,
        request: &PollRequest,
        has_usage: bool,
    ) -> PollReply {
        self.events.retain(|event| event.seq > request.acked_seq);
        for order in &request.orders {
            match order {
                Order::Start(order) => self.start_task(now, order),
                Order::Evict { job, .. } | Order::Stop { job, .. } => {
                    if let Some(task) = self.tasks.remove(job) {
                        self.push_event(job.clone(), task.attempt, EventKind::Stopped);
                    }
                }
                Order::Throttle { .. } => {}
            }
        }
        self.finish_tasks(now);
        let has_inventory = request.wants_inventory || self.term != Some(request.term);
        self.term = Some(request.term);
        PollReply {
            timestamp: WorkerTimestamp {
                incarnation: Incarnation(1),
                at: now,
            },
            term: request.term,
            capacity: self.capacity,
            rack: self.rack.clone(),
            events: self.events.clone(),
            usage: if has_usage {
                self.usage(now)
            } else {
                Vec::new()
            },
            inventory: has_inventory.then(|| self.inventory()),
            rejected: SmallVec::new(),
        }
    }

    fn usage(&self, now: Millis) -> Vec<Usage> {
        let tasks = self.tasks.iter();
        tasks
            .map(|(job, task)| Usage {
                job: job.clone(),
                attempt: task.attempt,
                sample_age: Millis(2_000),
                used: task.needs,
                work_done: now.0,
                checkpoint: now.0 / 10_000 * 10_000,
                slowdown: 100,
            })
            .collect()
    }

    fn inventory(&self) -> Vec<RunningTask> {
        let tasks = self.tasks.iter();
        tasks
            .map(|(job, task)| RunningTask {
                job: job.clone(),
                attempt: task.attempt,
                class: task.class,
                needs: task.needs,
                checkpoint: 0,
            })
            .collect()
    }
}

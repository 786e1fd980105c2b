//! Workers without resources of their own: they start all that they are told to.

use std::collections::BTreeMap;

use hyssop_core::{
    Attempt, Class, Event, EventKind, Incarnation, JobId, Millis, Order, PollReply, PollRequest,
    RackName, Resources, RunningTask, StartOrder, Term, Usage, WorkerTimestamp,
};
use smallvec::SmallVec;

/// A task on a host.
#[derive(Clone, Debug)]
struct Live {
    attempt: Attempt,
    class: Class,
    needs: Resources,
    ends: Millis,
}

/// A worker that answers polls.
#[derive(Debug)]
pub(super) struct Host {
    rack: RackName,
    capacity: Resources,
    tasks: BTreeMap<JobId, Live>,
    events: Vec<Event>,
    seq: u64,
    term: Option<Term>,
}

impl Host {
    pub(super) fn new(rack: RackName, capacity: Resources) -> Self {
        Self {
            rack,
            capacity,
            tasks: BTreeMap::new(),
            events: Vec::new(),
            seq: 0,
            term: None,
        }
    }

    /// Enters a task that runs from the beginning and does not end.
    pub(super) fn seed(&mut self, job: JobId, attempt: Attempt, class: Class, needs: Resources) {
        let live = Live {
            attempt,
            class,
            needs,
            ends: Millis(u64::MAX),
        };
        self.tasks.insert(job, live);
    }

    fn event(&mut self, job: JobId, attempt: Attempt, kind: EventKind) {
        self.seq += 1;
        self.events.push(Event {
            seq: self.seq,
            job,
            attempt,
            kind,
        });
    }

    fn start(&mut self, now: Millis, order: &StartOrder) {
        let live = Live {
            attempt: order.attempt,
            class: order.class,
            needs: order.needs,
            ends: now + order.work,
        };
        self.tasks.insert(order.job.clone(), live);
        self.event(order.job.clone(), order.attempt, EventKind::Started);
    }

    fn finish(&mut self, now: Millis) {
        let ended = self.tasks.iter().filter(|(_, live)| live.ends <= now);
        let ended: Vec<_> = ended.map(|(job, l)| (job.clone(), l.attempt)).collect();
        for (job, attempt) in ended {
            self.tasks.remove(&job);
            let result = "done".to_owned();
            self.event(job, attempt, EventKind::Finished { result });
        }
    }

    /// Answers a poll; with `usage`, all tasks have new measurements.
    pub(super) fn answer(&mut self, now: Millis, request: &PollRequest, usage: bool) -> PollReply {
        self.events.retain(|event| event.seq > request.acked_seq);
        for order in &request.orders {
            match order {
                Order::Start(order) => self.start(now, order),
                Order::Evict { job, .. } | Order::Stop { job, .. } => {
                    if let Some(live) = self.tasks.remove(job) {
                        self.event(job.clone(), live.attempt, EventKind::Stopped);
                    }
                }
                Order::Throttle { .. } => {}
            }
        }
        self.finish(now);
        let full = request.wants_inventory || self.term != Some(request.term);
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
            usage: if usage { self.usage(now) } else { Vec::new() },
            inventory: full.then(|| self.inventory()),
            rejected: SmallVec::new(),
        }
    }

    fn usage(&self, now: Millis) -> Vec<Usage> {
        let tasks = self.tasks.iter();
        tasks
            .map(|(job, live)| Usage {
                job: job.clone(),
                attempt: live.attempt,
                sample_age: Millis(2_000),
                used: live.needs,
                work_done: now.0,
                checkpoint: now.0 / 10_000 * 10_000,
                slowdown: 100,
            })
            .collect()
    }

    fn inventory(&self) -> Vec<RunningTask> {
        let tasks = self.tasks.iter();
        tasks
            .map(|(job, live)| RunningTask {
                job: job.clone(),
                attempt: live.attempt,
                class: live.class,
                needs: live.needs,
                checkpoint: 0,
            })
            .collect()
    }
}

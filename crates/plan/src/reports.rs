//! What workers answer: events, rejected orders and inventories.

use hyssop_core::limits::ORDER_TTL;
use hyssop_core::{
    CellRecord, Class, Event, EventKind, JobId, Millis, OrderReject, PollReply, Reason,
    RunningTask, Subject, Term, WorkerName, WorkerTimestamp,
};

use crate::Cell;
use crate::workers::{Flight, Sent, Stray, Task, Todo};

impl Cell {
    pub(crate) fn poll_failed(&mut self, now: Millis, name: &WorkerName, sent: Millis) {
        let worker = self.workers.get(name);
        let flight = worker.and_then(|worker| worker.flight.as_ref());
        if flight.is_some_and(|flight| flight.sent == sent) {
            self.miss(now, name);
        }
    }

    /// Notes that a poll had no answer.
    pub(crate) fn miss(&mut self, now: Millis, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.flight = None;
        worker.missed = true;
        let subject = Subject::Worker(name.clone());
        self.explains
            .add(now, subject, Reason::Unresponsive(name.clone()));
    }

    pub(crate) fn polled(
        &mut self,
        now: Millis,
        name: &WorkerName,
        sent: Millis,
        reply: &PollReply,
    ) {
        if self.term() != Some(reply.term) {
            return self.alleged(now, name, reply.term);
        }
        let Some(flight) = self.land(now, name, sent, reply) else {
            return;
        };
        let Some(term) = self.deciding() else {
            return;
        };
        self.check_life(now, term, name, reply);
        for event in &reply.events {
            self.event(now, term, name, event);
        }
        self.check_orders(now, name, &flight, reply);
        if let Some(inventory) = &reply.inventory {
            self.inventory(now, term, name, reply.timestamp, inventory);
        }
        self.usage(now, name, &reply.usage);
    }

    /// Matches an answer with its poll. An answer to an earlier poll is dropped; its events come
    /// again.
    fn land(
        &mut self,
        now: Millis,
        name: &WorkerName,
        sent: Millis,
        reply: &PollReply,
    ) -> Option<Flight> {
        let worker = self.workers.get_mut(name)?;
        let flight = worker.flight.take_if(|flight| flight.sent == sent)?;
        worker.missed = false;
        worker.denied = None;
        worker.heard = Some(now);
        worker.stamp = Some((reply.timestamp, now));
        worker.capacity = reply.capacity;
        worker.rack = Some(reply.rack.clone());
        if flight.full && flight.orders.is_empty() && reply.inventory.is_none() {
            worker.full = true;
        }
        Some(flight)
    }

    /// A new life of the worker's process has none of the earlier one's tasks.
    fn check_life(&mut self, now: Millis, term: Term, name: &WorkerName, reply: &PollReply) {
        let incarnation = reply.timestamp.incarnation;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let earlier = worker.incarnation;
        if earlier == Some(incarnation) {
            return;
        }
        worker.reborn(incarnation);
        if earlier.is_none() {
            return;
        }
        let tasks: Vec<_> = worker.tasks.iter().cloned().collect();
        for job in tasks {
            let Some(task) = self.tasks.get(&job) else {
                continue;
            };
            let of_earlier = task.start.map_or(task.started || task.inherited, |s| {
                s.incarnation != incarnation
            });
            if of_earlier {
                self.lose(now, term, &job);
            }
        }
    }

    /// Writes that an attempt is gone, unless a record about its end is on its way.
    pub(crate) fn lose(&mut self, now: Millis, term: Term, job: &JobId) {
        let Some(task) = self.tasks.get_mut(job) else {
            return;
        };
        if std::mem::replace(&mut task.closing, true) {
            return;
        }
        let (attempt, checkpoint, worker) = (task.attempt, task.checkpoint, task.worker.clone());
        if task.started || task.inherited {
            self.delay_lost(now, job);
            self.explain_job(now, job, Reason::Lost(attempt, worker.clone()));
        }
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.todo.remove(job);
        }
        let job = job.clone();
        self.journal.write(
            term,
            CellRecord::Lost {
                job,
                attempt,
                checkpoint,
            },
        );
    }

    fn event(&mut self, now: Millis, term: Term, name: &WorkerName, event: &Event) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if event.seq <= worker.seen {
            return;
        }
        worker.seen = event.seq;
        worker
            .events
            .insert(event.seq, (event.job.clone(), event.attempt));
        let Some(task) = self.tasks.get_mut(&event.job) else {
            return;
        };
        if task.attempt != event.attempt || task.worker != *name || task.closing {
            return;
        }
        if event.kind == EventKind::Started {
            task.started = true;
            worker.events.remove(&event.seq);
            return;
        }
        task.closing = true;
        worker.todo.remove(&event.job);
        let body = closing(event, task);
        self.judge_event(now, name, event);
        self.journal.write(term, body);
    }

    fn check_orders(&mut self, now: Millis, name: &WorkerName, flight: &Flight, reply: &PollReply) {
        for (place, sent) in flight.orders.iter().enumerate() {
            let rejected = reply.rejected.iter();
            let reject = rejected
                .filter(|(at, _)| *at as usize == place)
                .map(|(_, reject)| *reject)
                .next();
            match reject {
                None => self.confirm(now, name, sent),
                // Sent again with the new stamp.
                Some(OrderReject::StaleTimestamp) => {}
                Some(reject) => self.rejected(name, sent, reject),
            }
        }
    }

    fn confirm(&mut self, now: Millis, name: &WorkerName, sent: &Sent) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(stray) = worker.strays.get_mut(&(sent.job.clone(), sent.attempt)) {
            stray.told = true;
            worker.full = true;
            return;
        }
        if worker.todo.get(&sent.job) == Some(&sent.todo) {
            worker.todo.remove(&sent.job);
        }
        if let Some(task) = self.tasks.get_mut(&sent.job)
            && task.attempt == sent.attempt
            && sent.todo == Todo::Start
        {
            task.started = true;
            task.since = now;
        }
    }

    /// After a rejected order the inventory tells what runs.
    fn rejected(&mut self, name: &WorkerName, sent: &Sent, reject: OrderReject) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.full = true;
        if let Some(stray) = worker.strays.get_mut(&(sent.job.clone(), sent.attempt)) {
            stray.told = reject == OrderReject::NoTask;
        } else if worker.todo.get(&sent.job) == Some(&sent.todo) {
            worker.todo.remove(&sent.job);
        }
    }

    fn inventory(
        &mut self,
        now: Millis,
        term: Term,
        name: &WorkerName,
        stamp: WorkerTimestamp,
        inventory: &[RunningTask],
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.full = false;
        worker.known = true;
        worker.strays.clear();
        let mut absent = worker.tasks.clone();
        for running in inventory {
            let task = self.tasks.get_mut(&running.job);
            match task.filter(|t| t.attempt == running.attempt && t.worker == *name) {
                Some(task) => {
                    absent.remove(&running.job);
                    if task.inherited && !task.started && task.class != Class::LatencyCritical {
                        // Throttles of the earlier owner are not known.
                        let todo = worker.todo.entry(running.job.clone());
                        todo.or_insert(Todo::Throttle(100));
                    }
                    task.confirm(running);
                    if worker.todo.get(&running.job) == Some(&Todo::Start) {
                        worker.todo.remove(&running.job);
                    }
                }
                None => {
                    let key = (running.job.clone(), running.attempt);
                    let needs = running.needs;
                    worker.strays.insert(key, Stray { needs, told: false });
                }
            }
        }
        for job in &absent {
            self.absent(now, term, name, job, stamp);
        }
    }

    /// Decides about an attempt that an inventory lacks. A start order that was sent may still
    /// arrive until its stamp has expired by the worker's clock.
    fn absent(
        &mut self,
        now: Millis,
        term: Term,
        name: &WorkerName,
        job: &JobId,
        stamp: WorkerTimestamp,
    ) {
        let Some(task) = self.tasks.get(job) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let starting = worker.todo.get(job) == Some(&Todo::Start);
        if task.closing || starting && !task.inherited {
            return;
        }
        if can_arrive(task, stamp) {
            worker.full = true;
        } else {
            self.lose(now, term, job);
        }
    }

    /// Acknowledges the events whose records are settled.
    pub(crate) fn acknowledge(&mut self) {
        for (name, worker) in &mut self.workers {
            while let Some(entry) = worker.events.first_entry() {
                let (job, attempt) = entry.get();
                let open = self
                    .tasks
                    .get(job)
                    .is_some_and(|t| t.attempt == *attempt && t.worker == *name);
                if open {
                    break;
                }
                worker.acked = *entry.key();
                entry.remove();
            }
            if worker.events.is_empty() {
                worker.acked = worker.seen;
            }
        }
    }
}

/// Tells whether a start order of the task may still be accepted after `stamp`.
pub(crate) fn can_arrive(task: &Task, stamp: WorkerTimestamp) -> bool {
    task.start.is_some_and(|start| {
        start.incarnation == stamp.incarnation && stamp.at <= start.at + ORDER_TTL
    })
}

/// Returns the record about the end of an attempt.
fn closing(event: &Event, task: &Task) -> CellRecord {
    let job = event.job.clone();
    let attempt = event.attempt;
    let cause = task.evicting.unwrap_or_default();
    match &event.kind {
        EventKind::Finished { .. } if task.class == Class::LatencyCritical => CellRecord::Failed {
            job,
            attempt,
            cause: "a standing task ended".to_owned(),
        },
        EventKind::Finished { result } => CellRecord::Finished {
            job,
            attempt,
            result: result.clone(),
        },
        EventKind::Failed { cause } => CellRecord::Failed {
            job,
            attempt,
            cause: cause.clone(),
        },
        EventKind::Evicted { checkpoint } => CellRecord::Released {
            job,
            attempt,
            checkpoint: *checkpoint,
            cause,
        },
        EventKind::Started | EventKind::Stopped => CellRecord::Released {
            job,
            attempt,
            checkpoint: task.checkpoint,
            cause,
        },
    }
}

//! What workers answer: events, rejected orders and inventories.

use hyssop_core::limits::ORDER_TTL;
use hyssop_core::{
    CellRecord, Class, Event, EventKind, JobId, Millis, OrderReject, PollReply, Reason, Running,
    Stamp, Subject, Term, WorkerName,
};

use crate::Cell;
use crate::workers::{OrderKind, OrphanedRun, PendingPoll, SentOrder, Task};

impl Cell {
    pub(crate) fn apply_poll_failure(&mut self, now: Millis, name: &WorkerName, sent: Millis) {
        let worker = self.workers.get(name);
        let flight = worker.and_then(|worker| worker.pending_poll.as_ref());
        if flight.is_some_and(|flight| flight.sent_at == sent) {
            self.record_missed_poll(now, name);
        }
    }

    /// Notes that a poll had no answer.
    pub(crate) fn record_missed_poll(&mut self, now: Millis, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.pending_poll = None;
        worker.has_missed_poll = true;
        let subject = Subject::Worker(name.clone());
        self.explanations
            .add(now, subject, Reason::Silent(name.clone()));
    }

    pub(crate) fn apply_poll_reply(
        &mut self,
        now: Millis,
        name: &WorkerName,
        sent: Millis,
        reply: &PollReply,
    ) {
        if self.owned_term() != Some(reply.term) {
            return self.record_worker_term(now, name, reply.term);
        }
        let Some(flight) = self.match_pending_poll(now, name, sent, reply) else {
            return;
        };
        let Some(term) = self.deciding_term() else {
            return;
        };
        self.check_incarnation(now, term, name, reply);
        for event in &reply.events {
            self.apply_event(now, term, name, event);
        }
        self.apply_order_results(now, name, &flight, reply);
        if let Some(inventory) = &reply.inventory {
            self.apply_inventory(now, term, name, reply.stamp, inventory);
        }
        self.apply_usage(now, name, &reply.usage);
    }

    /// Matches an answer with its poll. An answer to an earlier poll is dropped; its events come
    /// again.
    fn match_pending_poll(
        &mut self,
        now: Millis,
        name: &WorkerName,
        sent: Millis,
        reply: &PollReply,
    ) -> Option<PendingPoll> {
        let worker = self.workers.get_mut(name)?;
        let flight = worker
            .pending_poll
            .take_if(|flight| flight.sent_at == sent)?;
        worker.has_missed_poll = false;
        worker.rejected_term = None;
        worker.last_reply_at = Some(now);
        worker.last_timestamp = Some((reply.stamp, now));
        worker.capacity = reply.capacity;
        worker.rack = Some(reply.rack.clone());
        if flight.wants_inventory && flight.orders.is_empty() && reply.inventory.is_none() {
            worker.needs_inventory = true;
        }
        Some(flight)
    }

    /// A new life of the worker's process has none of the earlier one's tasks.
    fn check_incarnation(&mut self, now: Millis, term: Term, name: &WorkerName, reply: &PollReply) {
        let incarnation = reply.stamp.incarnation;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let earlier = worker.incarnation;
        if earlier == Some(incarnation) {
            return;
        }
        worker.reset_for_incarnation(incarnation);
        if earlier.is_none() {
            return;
        }
        let tasks: Vec<_> = worker.tasks.iter().cloned().collect();
        for job in tasks {
            let Some(task) = self.tasks.get(&job) else {
                continue;
            };
            let of_earlier = task
                .start_timestamp
                .map_or(task.is_started || task.is_inherited, |s| {
                    s.incarnation != incarnation
                });
            if of_earlier {
                self.lose_attempt(now, term, &job);
            }
        }
    }

    /// Writes that an attempt is gone, unless a record about its end is on its way.
    pub(crate) fn lose_attempt(&mut self, now: Millis, term: Term, job: &JobId) {
        let Some(task) = self.tasks.get_mut(job) else {
            return;
        };
        if std::mem::replace(&mut task.is_closing, true) {
            return;
        }
        let (attempt, checkpoint, worker) = (task.attempt, task.checkpoint, task.worker.clone());
        if task.is_started || task.is_inherited {
            self.delay_lost_job(now, job);
            self.explain_job(now, job, Reason::Lost(attempt, worker.clone()));
        }
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.pending_orders.remove(job);
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

    fn apply_event(&mut self, now: Millis, term: Term, name: &WorkerName, event: &Event) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if event.seq <= worker.last_event {
            return;
        }
        worker.last_event = event.seq;
        worker
            .unacked_events
            .insert(event.seq, (event.job.clone(), event.attempt));
        let Some(task) = self.tasks.get_mut(&event.job) else {
            return;
        };
        if task.attempt != event.attempt || task.worker != *name || task.is_closing {
            return;
        }
        if event.kind == EventKind::Started {
            task.is_started = true;
            worker.unacked_events.remove(&event.seq);
            return;
        }
        task.is_closing = true;
        worker.pending_orders.remove(&event.job);
        let body = closing_record(event, task);
        self.record_attempt_end(now, name, event);
        self.journal.write(term, body);
    }

    fn apply_order_results(
        &mut self,
        now: Millis,
        name: &WorkerName,
        flight: &PendingPoll,
        reply: &PollReply,
    ) {
        for (place, sent) in flight.orders.iter().enumerate() {
            let rejected = reply.rejected.iter();
            let reject = rejected
                .filter(|(at, _)| *at as usize == place)
                .map(|(_, reject)| *reject)
                .next();
            match reject {
                None => self.confirm_order(now, name, sent),
                // Sent again with the new stamp.
                Some(OrderReject::StaleStamp) => {}
                Some(reject) => self.reject_order(name, sent, reject),
            }
        }
    }

    fn confirm_order(&mut self, now: Millis, name: &WorkerName, sent: &SentOrder) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(stray) = worker
            .orphaned_runs
            .get_mut(&(sent.job.clone(), sent.attempt))
        {
            stray.is_stopped = true;
            worker.needs_inventory = true;
            return;
        }
        if worker.pending_orders.get(&sent.job) == Some(&sent.kind) {
            worker.pending_orders.remove(&sent.job);
        }
        if let Some(task) = self.tasks.get_mut(&sent.job)
            && task.attempt == sent.attempt
            && sent.kind == OrderKind::Start
        {
            task.is_started = true;
            task.running_since = now;
        }
    }

    /// After a rejected order the inventory tells what runs.
    fn reject_order(&mut self, name: &WorkerName, sent: &SentOrder, reject: OrderReject) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.needs_inventory = true;
        if let Some(stray) = worker
            .orphaned_runs
            .get_mut(&(sent.job.clone(), sent.attempt))
        {
            stray.is_stopped = reject == OrderReject::NoTask;
        } else if worker.pending_orders.get(&sent.job) == Some(&sent.kind) {
            worker.pending_orders.remove(&sent.job);
        }
    }

    fn apply_inventory(
        &mut self,
        now: Millis,
        term: Term,
        name: &WorkerName,
        stamp: Stamp,
        inventory: &[Running],
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.needs_inventory = false;
        worker.has_inventory = true;
        worker.orphaned_runs.clear();
        let mut absent = worker.tasks.clone();
        for running in inventory {
            let task = self.tasks.get_mut(&running.job);
            match task.filter(|t| t.attempt == running.attempt && t.worker == *name) {
                Some(task) => {
                    absent.remove(&running.job);
                    if task.is_inherited && !task.is_started && task.class != Class::LatencyCritical
                    {
                        // Throttles of the earlier owner are not known.
                        let todo = worker.pending_orders.entry(running.job.clone());
                        todo.or_insert(OrderKind::Throttle(100));
                    }
                    task.confirm_running(running);
                    if worker.pending_orders.get(&running.job) == Some(&OrderKind::Start) {
                        worker.pending_orders.remove(&running.job);
                    }
                }
                None => {
                    let key = (running.job.clone(), running.attempt);
                    let needs = running.needs;
                    worker.orphaned_runs.insert(
                        key,
                        OrphanedRun {
                            needs,
                            is_stopped: false,
                        },
                    );
                }
            }
        }
        for job in &absent {
            self.check_missing_attempt(now, term, name, job, stamp);
        }
    }

    /// Decides about an attempt that an inventory lacks. A start order that was sent may still
    /// arrive until its stamp has expired by the worker's clock.
    fn check_missing_attempt(
        &mut self,
        now: Millis,
        term: Term,
        name: &WorkerName,
        job: &JobId,
        stamp: Stamp,
    ) {
        let Some(task) = self.tasks.get(job) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let starting = worker.pending_orders.get(job) == Some(&OrderKind::Start);
        if task.is_closing || starting && !task.is_inherited {
            return;
        }
        if may_still_start(task, stamp) {
            worker.needs_inventory = true;
        } else {
            self.lose_attempt(now, term, job);
        }
    }

    /// Acknowledges the events whose records are settled.
    pub(crate) fn acknowledge_events(&mut self) {
        for (name, worker) in &mut self.workers {
            while let Some(entry) = worker.unacked_events.first_entry() {
                let (job, attempt) = entry.get();
                let open = self
                    .tasks
                    .get(job)
                    .is_some_and(|t| t.attempt == *attempt && t.worker == *name);
                if open {
                    break;
                }
                worker.acked_event = *entry.key();
                entry.remove();
            }
            if worker.unacked_events.is_empty() {
                worker.acked_event = worker.last_event;
            }
        }
    }
}

/// Tells whether a start order of the task may still be accepted after `stamp`.
pub(crate) fn may_still_start(task: &Task, stamp: Stamp) -> bool {
    task.start_timestamp.is_some_and(|start| {
        start.incarnation == stamp.incarnation && stamp.at <= start.at + ORDER_TTL
    })
}

/// Returns the record about the end of an attempt.
fn closing_record(event: &Event, task: &Task) -> CellRecord {
    let job = event.job.clone();
    let attempt = event.attempt;
    let cause = task.eviction_cause.unwrap_or_default();
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

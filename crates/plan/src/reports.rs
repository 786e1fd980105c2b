//! Poll replies of workers: events, results of orders, and inventories.

use hyssop_core::limits::ORDER_TTL;
use hyssop_core::{
    CellRecord, Class, Crash, Event, EventKind, JobId, Millis, OrderReject, PollReply, Reason,
    RunningTask, Subject, Term, WorkerName, WorkerTimestamp,
};

use crate::Cell;
use crate::deliveries::MAX_HELD_EVENTS;
use crate::late_ends::LateResult;
use crate::retries::WaitState;
use crate::workers::{OrderKind, OrphanedRun, PendingPoll, SentOrder, Task};

impl Cell {
    /// Applies the failure of a poll, unless it is no longer the pending one.
    pub(crate) fn apply_poll_failure(&mut self, now: Millis, name: &WorkerName, sent_at: Millis) {
        let worker = self.workers.get(name);
        let pending_poll = worker.and_then(|worker| worker.pending_poll.as_ref());
        if pending_poll.is_some_and(|pending_poll| pending_poll.sent_at == sent_at) {
            self.record_missed_poll(now, name);
        }
    }

    /// Applies the failure of a poll to a worker whose process has ended.
    pub(crate) fn apply_poll_refusal(&mut self, now: Millis, name: &WorkerName, sent_at: Millis) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker
                .pending_poll
                .as_ref()
                .is_some_and(|p| p.sent_at == sent_at)
        {
            worker.has_ended = true;
        }
        self.apply_poll_failure(now, name, sent_at);
    }

    /// Records that a poll failed or timed out: nothing is placed on the worker until it replies.
    pub(crate) fn record_missed_poll(&mut self, now: Millis, name: &WorkerName) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.pending_poll = None;
        worker.has_missed_poll = true;
        let subject = Subject::Worker(name.clone());
        self.explanations
            .add(now, subject, Reason::Unresponsive(name.clone()));
    }

    /// Applies a worker's reply to the pending poll. A reply in another term only counts as a
    /// report of that term.
    pub(crate) fn apply_poll_reply(
        &mut self,
        now: Millis,
        name: &WorkerName,
        sent_at: Millis,
        reply: &PollReply,
    ) {
        if self.owned_term() != Some(reply.term) {
            return self.record_worker_term(now, name, reply.term);
        }
        let Some(pending_poll) = self.match_pending_poll(now, name, sent_at, reply) else {
            return;
        };
        let Some(term) = self.deciding_term() else {
            return;
        };
        self.check_incarnation(now, term, name, reply);
        for event in &reply.events {
            self.apply_event(now, term, name, event);
        }
        self.apply_order_results(now, name, &pending_poll, reply);
        if let Some(inventory) = &reply.inventory {
            self.apply_inventory(now, term, name, reply.timestamp, inventory);
        }
        self.apply_usage(now, name, &reply.usage);
    }

    /// Takes the pending poll if the reply belongs to it, and stores the worker's state. Replies to
    /// earlier polls are dropped; the worker sends their events again.
    fn match_pending_poll(
        &mut self,
        now: Millis,
        name: &WorkerName,
        sent_at: Millis,
        reply: &PollReply,
    ) -> Option<PendingPoll> {
        let worker = self.workers.get_mut(name)?;
        let pending_poll = worker
            .pending_poll
            .take_if(|pending_poll| pending_poll.sent_at == sent_at)?;
        worker.has_missed_poll = false;
        worker.has_ended = false;
        worker.rejected_term = None;
        worker.last_reply_at = Some(now);
        worker.last_timestamp = Some((reply.timestamp, now));
        worker.capacity = reply.capacity;
        worker.rack = Some(reply.rack.clone());
        if pending_poll.wants_inventory
            && pending_poll.orders.is_empty()
            && reply.inventory.is_none()
        {
            worker.needs_inventory = true;
        }
        Some(pending_poll)
    }

    /// Marks the attempts of an earlier incarnation as lost: a restarted worker process has none of
    /// its earlier tasks.
    fn check_incarnation(&mut self, now: Millis, term: Term, name: &WorkerName, reply: &PollReply) {
        let incarnation = reply.timestamp.incarnation;
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let earlier_incarnation = worker.incarnation;
        let seen_at = worker.incarnation_seen_at.replace(now);
        if earlier_incarnation == Some(incarnation) {
            return;
        }
        worker.reset_for_incarnation(incarnation);
        if earlier_incarnation.is_none() {
            return;
        }
        let tasks: Vec<_> = worker.tasks.iter().cloned().collect();
        let mut crashes = self.crashes_under(name, seen_at);
        for job in tasks {
            let Some(task) = self.tasks.get(&job) else {
                continue;
            };
            let is_from_earlier_incarnation = task
                .start_timestamp
                .map_or(task.is_started || task.is_inherited, |s| {
                    s.incarnation != incarnation
                });
            if is_from_earlier_incarnation {
                let crash = crashes.remove(&job);
                self.close_lost_attempt(now, term, &job, crash);
            }
        }
    }

    /// Writes that an attempt is lost without a crash that counts.
    pub(crate) fn mark_attempt_lost(&mut self, now: Millis, term: Term, job: &JobId) {
        self.close_lost_attempt(now, term, job, None);
    }

    /// Writes that an attempt is lost, unless a record that closes it was written already. The loss
    /// finishes a job that has a late result.
    pub(crate) fn close_lost_attempt(
        &mut self,
        now: Millis,
        term: Term,
        job: &JobId,
        crash: Option<Crash>,
    ) {
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
        } else {
            let wait = WaitState {
                waiting_since: task.waiting_since,
                ..WaitState::default()
            };
            self.waits.insert(job.clone(), wait);
        }
        if let Some(crash) = crash {
            let text = format!("{worker} crashed under attempt {attempt} ({crash})");
            self.explain_job(now, job, Reason::Other(text));
        }
        if let Some(worker) = self.workers.get_mut(&worker) {
            worker.pending_orders.remove(job);
        }
        let body = self
            .late_record(job, attempt)
            .unwrap_or_else(|| CellRecord::Lost {
                job: job.clone(),
                attempt,
                checkpoint,
                crash,
            });
        self.journal.write(term, body);
    }

    /// Applies an event once, and writes the record that closes the attempt if it has ended.
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
        let task = self.tasks.get_mut(&event.job);
        let is_current = |task: &&mut Task| task.attempt == event.attempt && task.worker == *name;
        let Some(task) = task.filter(is_current).filter(|task| !task.is_closing) else {
            return self.keep_late_result(now, name, event);
        };
        if event.kind == EventKind::Started {
            task.is_started = true;
            worker.unacked_events.remove(&event.seq);
            return;
        }
        task.is_closing = true;
        worker.pending_orders.remove(&event.job);
        let body = closing_record(event, task);
        let body = self.late_record(&event.job, event.attempt).unwrap_or(body);
        self.record_attempt_end(now, name, event);
        self.journal.write(term, body);
    }

    /// Applies the results of the orders of a poll: the worker accepted or rejected each of them.
    fn apply_order_results(
        &mut self,
        now: Millis,
        name: &WorkerName,
        pending_poll: &PendingPoll,
        reply: &PollReply,
    ) {
        for (index, sent) in pending_poll.orders.iter().enumerate() {
            let rejected = reply.rejected.iter();
            let reject = rejected
                .filter(|(rejected_index, _)| *rejected_index as usize == index)
                .map(|(_, reject)| *reject)
                .next();
            match reject {
                None => self.confirm_order(now, name, sent),
                // The order is sent again with the new worker timestamp.
                Some(OrderReject::StaleTimestamp) => {}
                Some(reject) => self.reject_order(now, name, sent, reject),
            }
        }
    }

    /// Removes an order that the worker has accepted.
    fn confirm_order(&mut self, now: Millis, name: &WorkerName, sent: &SentOrder) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        if let Some(orphan) = worker
            .orphaned_runs
            .get_mut(&(sent.job.clone(), sent.attempt))
        {
            orphan.is_stopped = true;
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
            worker.clear_refusals();
        }
    }

    /// Removes a rejected order, and requests an inventory, which shows what runs.
    fn reject_order(
        &mut self,
        now: Millis,
        name: &WorkerName,
        sent: &SentOrder,
        reject: OrderReject,
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.needs_inventory = true;
        if let Some(orphan) = worker
            .orphaned_runs
            .get_mut(&(sent.job.clone(), sent.attempt))
        {
            orphan.is_stopped = reject == OrderReject::NoTask;
        } else if worker.pending_orders.get(&sent.job) == Some(&sent.kind) {
            worker.pending_orders.remove(&sent.job);
            if sent.kind == OrderKind::Start {
                self.record_refused_start(now, name, &sent.job, reject);
            }
        }
    }

    /// Compares a full inventory with the open attempts: confirms those that run, orders orphaned
    /// runs to stop, and checks the attempts that are missing.
    fn apply_inventory(
        &mut self,
        now: Millis,
        term: Term,
        name: &WorkerName,
        timestamp: WorkerTimestamp,
        inventory: &[RunningTask],
    ) {
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.needs_inventory = false;
        worker.has_inventory = true;
        worker.orphaned_runs.clear();
        let mut missing = worker.tasks.clone();
        for running in inventory {
            let task = self.tasks.get_mut(&running.job);
            match task.filter(|t| t.attempt == running.attempt && t.worker == *name) {
                Some(task) => {
                    missing.remove(&running.job);
                    if task.is_inherited && !task.is_started && task.class != Class::LatencyCritical
                    {
                        // The task may still have a throttle from the earlier owner.
                        let pending_order = worker.pending_orders.entry(running.job.clone());
                        pending_order.or_insert(OrderKind::Throttle(100));
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
        for job in &missing {
            self.check_missing_attempt(now, term, name, job, timestamp);
        }
    }

    /// Marks an attempt that is missing from an inventory as lost, unless its start order may still
    /// arrive: the worker accepts it until its timestamp has expired by the worker's clock.
    fn check_missing_attempt(
        &mut self,
        now: Millis,
        term: Term,
        name: &WorkerName,
        job: &JobId,
        timestamp: WorkerTimestamp,
    ) {
        let Some(task) = self.tasks.get(job) else {
            return;
        };
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let is_start_queued = worker.pending_orders.get(job) == Some(&OrderKind::Start);
        if task.is_closing || is_start_queued && !task.is_inherited {
            return;
        }
        if may_still_start(task, timestamp) {
            worker.needs_inventory = true;
        } else {
            self.mark_attempt_lost(now, term, job);
        }
    }

    /// Acknowledges the events whose records are committed, in order. A late result of a job in
    /// another cell is dropped when it holds back too many later events.
    pub(crate) fn acknowledge_events(&mut self, now: Millis) {
        let mut dropped = Vec::new();
        for (name, worker) in &mut self.workers {
            while let Some(entry) = worker.unacked_events.first_entry() {
                let (job, attempt) = entry.get();
                let is_open = self
                    .tasks
                    .get(job)
                    .is_some_and(|t| t.attempt == *attempt && t.worker == *name);
                let late_result = self.late_results.get(job);
                let is_kept = late_result.is_some_and(|late| late.attempt == *attempt);
                if is_kept && late_result.is_some_and(LateResult::is_in_delivery) {
                    if worker.last_event - *entry.key() < MAX_HELD_EVENTS {
                        break;
                    }
                    self.late_results.remove(job);
                    dropped.push((job.clone(), *attempt));
                } else if is_open || is_kept {
                    break;
                }
                worker.acked_event = *entry.key();
                entry.remove();
            }
            if worker.unacked_events.is_empty() {
                worker.acked_event = worker.last_event;
            }
        }
        for (job, attempt) in dropped {
            self.explain_dropped_result(now, &job, attempt);
        }
    }
}

/// Returns whether the worker may still accept the task's start order at `timestamp`.
pub(crate) fn may_still_start(task: &Task, timestamp: WorkerTimestamp) -> bool {
    task.start_timestamp.is_some_and(|start| {
        start.incarnation == timestamp.incarnation && timestamp.at <= start.at + ORDER_TTL
    })
}

/// Returns the record that closes an attempt after an event.
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

//! When workers are polled, and which orders and lease renewals a poll carries.

use hyssop_core::limits::{BUSY_POLL_INTERVAL, TIMESTAMP_REUSE_LIMIT};
use hyssop_core::{
    Attempt, JobId, Millis, Order, PollRequest, Renewal, StartOrder, Term, WorkerName,
};

use crate::workers::{OrderKind, PendingPoll, SentOrder, Worker};
use crate::{Cell, Output};

/// Age at which a poll without a reply counts as failed.
const POLL_TIMEOUT: Millis = Millis(2_000);
/// Orders in one poll at most, so that many starts at once do not exceed the frame limit.
const ORDERS_PER_POLL: usize = 32;

/// Purpose of a poll.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollPurpose {
    /// Regular poll for lease renewals, events and usage.
    Idle,
    /// Gets a new worker timestamp, without which no orders can be sent.
    Refresh,
    /// Sends orders, or requests an inventory.
    Orders,
}

impl Cell {
    /// Polls the workers that are due.
    pub(crate) fn poll_workers(&mut self, now: Millis) {
        let Some(term) = self.owned_term() else {
            return;
        };
        if self.ownership.resignation.is_some() || self.ownership.term_hints.has_pending() {
            return;
        }
        let names: Vec<_> = self.workers.keys().cloned().collect();
        for name in names {
            self.expire_poll(now, &name);
            self.withdraw_repeated_starts(now, &name);
            if let Some(purpose) = self.due_poll(now, &name) {
                self.send_poll(now, term, &name, purpose);
            }
        }
    }

    /// Counts a poll as failed when the driver has reported no outcome for `POLL_TIMEOUT`.
    fn expire_poll(&mut self, now: Millis, name: &WorkerName) {
        let pending_poll = self.workers.get(name).and_then(|w| w.pending_poll.as_ref());
        if pending_poll.is_some_and(|pending_poll| now.since(pending_poll.sent_at) > POLL_TIMEOUT) {
            self.record_missed_poll(now, name);
        }
    }

    /// Returns the purpose for which a worker is to be polled now, if any.
    fn due_poll(&self, now: Millis, name: &WorkerName) -> Option<PollPurpose> {
        let worker = self.workers.get(name)?;
        if worker.pending_poll.is_some() {
            return None;
        }
        let is_due = |last: Option<Millis>, interval: Millis| {
            last.is_none_or(|last| now.since(last) >= interval)
        };
        let may_order = self.deciding_term().is_some() && !worker.has_missed_poll;
        if may_order
            && (self.has_orders(worker) || worker.needs_inventory)
            && is_due(worker.last_order_poll_at, BUSY_POLL_INTERVAL)
        {
            return Some(if has_usable_timestamp(worker, now) {
                PollPurpose::Orders
            } else {
                PollPurpose::Refresh
            });
        }
        let is_evicting = |job: &JobId| {
            self.tasks
                .get(job)
                .is_some_and(|task| task.eviction_cause.is_some())
        };
        let is_busy = self.has_probation(name) || worker.tasks.iter().any(is_evicting);
        let interval = if !worker.has_missed_poll && is_busy {
            BUSY_POLL_INTERVAL.min(self.options.poll_interval)
        } else {
            self.options.poll_interval
        };
        is_due(worker.last_poll_at, interval).then_some(PollPurpose::Idle)
    }

    /// Returns whether there are orders for a worker that may be sent now.
    fn has_orders(&self, worker: &Worker) -> bool {
        if self.may_start() {
            return worker.has_orders();
        }
        let is_no_start = |kind: &OrderKind| *kind != OrderKind::Start;
        worker.pending_orders.values().any(is_no_start)
            || worker
                .orphaned_runs
                .values()
                .any(|orphan| !orphan.is_stopped)
    }

    /// Returns whether start orders may be sent: the ownership and the configuration are confirmed,
    /// and the failure domain is in service.
    pub(crate) fn may_start(&self) -> bool {
        self.confirmed_term().is_some() && !self.is_own_domain_out()
    }

    fn send_poll(&mut self, now: Millis, term: Term, name: &WorkerName, purpose: PollPurpose) {
        let sent = match purpose {
            PollPurpose::Orders => self.choose_orders(name),
            PollPurpose::Idle | PollPurpose::Refresh => Vec::new(),
        };
        let orders: Vec<_> = sent.iter().filter_map(|s| self.build_order(s)).collect();
        let owner_renewal = self.ownership.renewal(now);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let timestamp = worker.last_timestamp.map(|(timestamp, _)| timestamp);
        // Batch leases of a worker that does not reply are not renewed, so that they expire at a
        // known time.
        let renewal = if worker.has_missed_poll || worker.last_reply_at.is_none() {
            Renewal::Critical
        } else {
            owner_renewal
        };
        if renewal == Renewal::All && timestamp.is_some() {
            worker.last_renewal_at = Some(now);
        }
        worker.last_poll_at = Some(now);
        match purpose {
            PollPurpose::Orders => worker.last_order_poll_at = Some(now),
            // Orders follow as soon as the worker's reply has brought a new timestamp.
            PollPurpose::Refresh | PollPurpose::Idle => {}
        }
        for order in sent.iter().filter(|sent| sent.kind == OrderKind::Start) {
            if let Some(task) = self.tasks.get_mut(&order.job) {
                task.start_timestamp = timestamp;
                task.start_polls += 1;
            }
        }
        worker.pending_poll = Some(PendingPoll {
            sent_at: now,
            wants_inventory: worker.needs_inventory,
            orders: sent,
        });
        let request = PollRequest {
            term,
            owner: self.options.entry.clone(),
            timestamp,
            renewal,
            wants_inventory: worker.needs_inventory,
            acked_seq: worker.acked_event,
            orders,
        };
        self.outputs.push(Output::Poll {
            worker: name.clone(),
            request,
        });
    }

    /// Chooses the orders of a poll. Those that free resources come first.
    fn choose_orders(&self, name: &WorkerName) -> Vec<SentOrder> {
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let orphans = worker
            .orphaned_runs
            .iter()
            .filter(|(_, orphan)| !orphan.is_stopped);
        let orphans = orphans.map(|((job, attempt), _)| sent_order(job, *attempt, OrderKind::Stop));
        let queued = |is_start: bool| {
            let orders = worker.pending_orders.iter();
            orders
                .filter(move |(_, kind)| (**kind == OrderKind::Start) == is_start)
                .filter_map(|(job, kind)| {
                    let task = self.tasks.get(job)?;
                    Some(sent_order(job, task.attempt, *kind))
                })
        };
        let starts = self.may_start().then(|| queued(true)).into_iter().flatten();
        orphans
            .chain(queued(false))
            .chain(starts)
            .take(ORDERS_PER_POLL)
            .collect()
    }

    /// Returns the order as it is sent; `None` for a start of a job that is unknown.
    fn build_order(&self, sent: &SentOrder) -> Option<Order> {
        let job = sent.job.clone();
        let attempt = sent.attempt;
        Some(match sent.kind {
            OrderKind::Evict => Order::Evict { job, attempt },
            OrderKind::Stop => Order::Stop { job, attempt },
            OrderKind::Throttle(percent) => Order::Throttle {
                job,
                attempt,
                percent,
            },
            OrderKind::Start => Order::Start(self.build_start_order(sent)?),
        })
    }

    fn build_start_order(&self, sent: &SentOrder) -> Option<StartOrder> {
        let job = self.ledger.jobs.get(&sent.job)?;
        Some(StartOrder {
            job: sent.job.clone(),
            attempt: sent.attempt,
            service: job.spec.service.clone(),
            class: job.spec.class,
            needs: job.spec.needs,
            work: job.spec.work,
            checkpoint: job.checkpoint,
            payload: job.spec.payload.clone(),
        })
    }
}

fn sent_order(job: &JobId, attempt: Attempt, kind: OrderKind) -> SentOrder {
    SentOrder {
        job: job.clone(),
        attempt,
        kind,
    }
}

/// Returns whether the worker's last timestamp is recent enough to send orders with.
fn has_usable_timestamp(worker: &Worker, now: Millis) -> bool {
    worker
        .last_timestamp
        .is_some_and(|(_, at)| now.since(at) <= TIMESTAMP_REUSE_LIMIT)
}

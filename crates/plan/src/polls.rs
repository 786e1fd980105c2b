//! Schedule and contents of the polls of workers.

use hyssop_core::limits::{BUSY_POLL, STAMP_USABLE};
use hyssop_core::{
    Attempt, JobId, Millis, Order, PollRequest, Renewal, StartOrder, Term, WorkerName,
};

use crate::workers::{OrderKind, PendingPoll, SentOrder, Worker};
use crate::{Cell, Output};

/// Age of a poll above which its answer is no longer waited for.
const POLL_TIMEOUT: Millis = Millis(2_000);
/// Orders in one poll, so that a refill does not exceed the frame limit.
const ORDERS_PER_POLL: usize = 32;

/// What a poll is sent for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum PollPurpose {
    Idle,
    /// To get a stamp with which orders can be sent.
    Refresh,
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
            if let Some(purpose) = self.due_poll(now, &name) {
                self.send_poll(now, term, &name, purpose);
            }
        }
    }

    /// Gives up a poll whose answer the driver has not reported.
    fn expire_poll(&mut self, now: Millis, name: &WorkerName) {
        let flight = self.workers.get(name).and_then(|w| w.pending_poll.as_ref());
        if flight.is_some_and(|flight| now.since(flight.sent_at) > POLL_TIMEOUT) {
            self.record_missed_poll(now, name);
        }
    }

    fn due_poll(&self, now: Millis, name: &WorkerName) -> Option<PollPurpose> {
        let worker = self.workers.get(name)?;
        if worker.pending_poll.is_some() {
            return None;
        }
        let passed =
            |last: Option<Millis>, every: Millis| last.is_none_or(|last| now.since(last) >= every);
        let ready = self.deciding_term().is_some() && !worker.has_missed_poll;
        if ready
            && (self.has_orders(worker) || worker.needs_inventory)
            && passed(worker.last_order_poll_at, BUSY_POLL)
        {
            return Some(if has_usable_timestamp(worker, now) {
                PollPurpose::Orders
            } else {
                PollPurpose::Refresh
            });
        }
        let leaving = |job: &JobId| {
            self.tasks
                .get(job)
                .is_some_and(|task| task.eviction_cause.is_some())
        };
        let every = if !worker.has_missed_poll && worker.tasks.iter().any(leaving) {
            BUSY_POLL.min(self.options.poll_interval)
        } else {
            self.options.poll_interval
        };
        passed(worker.last_poll_at, every).then_some(PollPurpose::Idle)
    }

    /// Tells whether there are orders that may be sent now.
    fn has_orders(&self, worker: &Worker) -> bool {
        if self.may_start() {
            return worker.has_orders();
        }
        let other = |todo: &OrderKind| *todo != OrderKind::Start;
        worker.pending_orders.values().any(other)
            || worker.orphaned_runs.values().any(|stray| !stray.is_stopped)
    }

    /// Tells whether starts may be ordered: the configuration is proved fresh and has the failure
    /// domain in service.
    pub(crate) fn may_start(&self) -> bool {
        self.confirmed_term().is_some() && !self.is_own_domain_out()
    }

    fn send_poll(&mut self, now: Millis, term: Term, name: &WorkerName, purpose: PollPurpose) {
        let sent = match purpose {
            PollPurpose::Orders => self.choose_orders(name),
            PollPurpose::Idle | PollPurpose::Refresh => Vec::new(),
        };
        let orders: Vec<_> = sent.iter().filter_map(|s| self.build_order(s)).collect();
        let renewal = self.ownership.renewal(now);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let stamp = worker.last_timestamp.map(|(stamp, _)| stamp);
        // A worker that does not answer is not renewed, so that its leases lapse at a known time.
        let renew = if worker.has_missed_poll || worker.last_reply_at.is_none() {
            Renewal::Critical
        } else {
            renewal
        };
        if renew == Renewal::All && stamp.is_some() {
            worker.last_renewal_at = Some(now);
        }
        worker.last_poll_at = Some(now);
        match purpose {
            PollPurpose::Orders => worker.last_order_poll_at = Some(now),
            // The orders follow as soon as the stamp is there.
            PollPurpose::Refresh | PollPurpose::Idle => {}
        }
        for order in sent.iter().filter(|sent| sent.kind == OrderKind::Start) {
            if let Some(task) = self.tasks.get_mut(&order.job) {
                task.start_timestamp = stamp;
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
            stamp,
            renew,
            full: worker.needs_inventory,
            acked: worker.acked_event,
            orders,
        };
        self.outputs.push(Output::Poll {
            worker: name.clone(),
            request,
        });
    }

    /// Chooses the orders of a poll: those that free resources come first.
    fn choose_orders(&self, name: &WorkerName) -> Vec<SentOrder> {
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let strays = worker
            .orphaned_runs
            .iter()
            .filter(|(_, stray)| !stray.is_stopped);
        let strays = strays.map(|((job, attempt), _)| sent_order(job, *attempt, OrderKind::Stop));
        let listed = |start: bool| {
            let todo = worker.pending_orders.iter();
            todo.filter(move |(_, todo)| (**todo == OrderKind::Start) == start)
                .filter_map(|(job, todo)| {
                    let task = self.tasks.get(job)?;
                    Some(sent_order(job, task.attempt, *todo))
                })
        };
        let starts = self.may_start().then(|| listed(true)).into_iter().flatten();
        strays
            .chain(listed(false))
            .chain(starts)
            .take(ORDERS_PER_POLL)
            .collect()
    }

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

fn sent_order(job: &JobId, attempt: Attempt, todo: OrderKind) -> SentOrder {
    SentOrder {
        job: job.clone(),
        attempt,
        kind: todo,
    }
}

fn has_usable_timestamp(worker: &Worker, now: Millis) -> bool {
    worker
        .last_timestamp
        .is_some_and(|(_, at)| now.since(at) <= STAMP_USABLE)
}

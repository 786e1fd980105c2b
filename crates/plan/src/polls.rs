//! Schedule and contents of the polls of workers.

use hyssop_core::limits::{BUSY_POLL, STAMP_USABLE};
use hyssop_core::{
    Attempt, JobId, Millis, Order, PollRequest, Renewal, StartOrder, Term, WorkerName,
};

use crate::workers::{Flight, Sent, Todo, Worker};
use crate::{Cell, Output};

/// Age of a poll above which its answer is no longer waited for.
const POLL_TIMEOUT: Millis = Millis(2_000);
/// Orders in one poll, so that a refill does not exceed the frame limit.
const ORDERS_PER_POLL: usize = 32;

/// What a poll is sent for.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Idle,
    /// To get a stamp with which orders can be sent.
    Refresh,
    Orders,
}

impl Cell {
    /// Polls the workers that are due.
    pub(crate) fn poll(&mut self, now: Millis) {
        let Some(term) = self.term() else {
            return;
        };
        if self.office.resigning.is_some() || self.office.rumours.is_open() {
            return;
        }
        let names: Vec<_> = self.workers.keys().cloned().collect();
        for name in names {
            self.expire(now, &name);
            if let Some(purpose) = self.due(now, &name) {
                self.send(now, term, &name, purpose);
            }
        }
    }

    /// Gives up a poll whose answer the driver has not reported.
    fn expire(&mut self, now: Millis, name: &WorkerName) {
        let flight = self.workers.get(name).and_then(|w| w.flight.as_ref());
        if flight.is_some_and(|flight| now.since(flight.sent) > POLL_TIMEOUT) {
            self.miss(now, name);
        }
    }

    fn due(&self, now: Millis, name: &WorkerName) -> Option<Purpose> {
        let worker = self.workers.get(name)?;
        if worker.flight.is_some() {
            return None;
        }
        let passed =
            |last: Option<Millis>, every: Millis| last.is_none_or(|last| now.since(last) >= every);
        let ready = self.deciding().is_some() && !worker.missed;
        if ready && (self.has_orders(worker) || worker.full) && passed(worker.busy, BUSY_POLL) {
            return Some(if usable(worker, now) {
                Purpose::Orders
            } else {
                Purpose::Refresh
            });
        }
        let leaving = |job: &JobId| {
            self.tasks
                .get(job)
                .is_some_and(|task| task.evicting.is_some())
        };
        let every = if !worker.missed && worker.tasks.iter().any(leaving) {
            BUSY_POLL.min(self.options.poll_interval)
        } else {
            self.options.poll_interval
        };
        passed(worker.polled, every).then_some(Purpose::Idle)
    }

    /// Tells whether there are orders that may be sent now.
    fn has_orders(&self, worker: &Worker) -> bool {
        if self.may_start() {
            return worker.has_orders();
        }
        let other = |todo: &Todo| *todo != Todo::Start;
        worker.todo.values().any(other) || worker.strays.values().any(|stray| !stray.told)
    }

    /// Tells whether starts may be ordered: the configuration is proved fresh and has the failure
    /// domain in service.
    pub(crate) fn may_start(&self) -> bool {
        self.proved().is_some() && !self.is_out()
    }

    fn send(&mut self, now: Millis, term: Term, name: &WorkerName, purpose: Purpose) {
        let sent = match purpose {
            Purpose::Orders => self.choose(name),
            Purpose::Idle | Purpose::Refresh => Vec::new(),
        };
        let orders: Vec<_> = sent.iter().filter_map(|s| self.order(s)).collect();
        let renewal = self.office.renewal(now);
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        let stamp = worker.stamp.map(|(stamp, _)| stamp);
        // A worker that does not answer is not renewed, so that its leases lapse at a known time.
        let renew = if worker.missed || worker.heard.is_none() {
            Renewal::Critical
        } else {
            renewal
        };
        if renew == Renewal::All && stamp.is_some() {
            worker.renewed = Some(now);
        }
        worker.polled = Some(now);
        match purpose {
            Purpose::Orders => worker.busy = Some(now),
            // The orders follow as soon as the stamp is there.
            Purpose::Refresh | Purpose::Idle => {}
        }
        for order in sent.iter().filter(|sent| sent.todo == Todo::Start) {
            if let Some(task) = self.tasks.get_mut(&order.job) {
                task.start = stamp;
            }
        }
        worker.flight = Some(Flight {
            sent: now,
            full: worker.full,
            orders: sent,
        });
        let request = PollRequest {
            term,
            owner: self.options.entry.clone(),
            stamp,
            renew,
            full: worker.full,
            acked: worker.acked,
            orders,
        };
        self.out.push(Output::Poll {
            worker: name.clone(),
            request,
        });
    }

    /// Chooses the orders of a poll: those that free resources come first.
    fn choose(&self, name: &WorkerName) -> Vec<Sent> {
        let Some(worker) = self.workers.get(name) else {
            return Vec::new();
        };
        let strays = worker.strays.iter().filter(|(_, stray)| !stray.told);
        let strays = strays.map(|((job, attempt), _)| sent(job, *attempt, Todo::Stop));
        let listed = |start: bool| {
            let todo = worker.todo.iter();
            todo.filter(move |(_, todo)| (**todo == Todo::Start) == start)
                .filter_map(|(job, todo)| {
                    let task = self.tasks.get(job)?;
                    Some(sent(job, task.attempt, *todo))
                })
        };
        let starts = self.may_start().then(|| listed(true)).into_iter().flatten();
        strays
            .chain(listed(false))
            .chain(starts)
            .take(ORDERS_PER_POLL)
            .collect()
    }

    fn order(&self, sent: &Sent) -> Option<Order> {
        let job = sent.job.clone();
        let attempt = sent.attempt;
        Some(match sent.todo {
            Todo::Evict => Order::Evict { job, attempt },
            Todo::Stop => Order::Stop { job, attempt },
            Todo::Throttle(percent) => Order::Throttle {
                job,
                attempt,
                percent,
            },
            Todo::Start => Order::Start(self.start_order(sent)?),
        })
    }

    fn start_order(&self, sent: &Sent) -> Option<StartOrder> {
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

fn sent(job: &JobId, attempt: Attempt, todo: Todo) -> Sent {
    Sent {
        job: job.clone(),
        attempt,
        todo,
    }
}

fn usable(worker: &Worker, now: Millis) -> bool {
    worker
        .stamp
        .is_some_and(|(_, at)| now.since(at) <= STAMP_USABLE)
}

//! Phases of the cell's failure domain: in service, draining, empty, returning.
//!
//! Each phase is a type of its own, so that only the transitions below compile.

use hyssop_core::{Class, EvictionCause, JobId, Millis, Reason, Term};

use crate::Cell;
use crate::workers::OrderKind;

/// Interval between rounds of evictions.
const EVICTION_INTERVAL: Millis = Millis(250);
/// Evictions in one round at most, so that the tasks of a domain do not all checkpoint at once.
const MAX_EVICTIONS_PER_ROUND: usize = 16;
/// Time over which the rate of starts grows to its limit after a domain has returned to service.
const REFILL_TIME: Millis = Millis(20_000);
/// Divisor of the limit on starts right after a domain has returned to service.
const REFILL_DIVISOR: usize = 8;

/// The domain is in service.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct InService;

/// The domain is out of service and tasks still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Draining {
    since: Millis,
}

/// The domain is out of service and nothing runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Empty;

/// The domain is in service again, and its starts are limited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Returning {
    since: Millis,
}

impl InService {
    fn drain(self, now: Millis) -> Draining {
        Draining { since: now }
    }
}

impl Draining {
    fn empty(self) -> Empty {
        Empty
    }

    /// Ends a drain before the domain is empty.
    fn bring_back(self, now: Millis) -> Returning {
        Returning { since: now }
    }
}

impl Empty {
    fn bring_back(self, now: Millis) -> Returning {
        Returning { since: now }
    }

    /// Drains again because a task was found, such as on a worker that could not be reached before.
    fn refilled(self, now: Millis) -> Draining {
        Draining { since: now }
    }
}

impl Returning {
    fn drain(self, now: Millis) -> Draining {
        Draining { since: now }
    }

    fn finish_refill(self) -> InService {
        InService
    }
}

/// Phase of the domain.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DomainPhase {
    InService(InService),
    Draining(Draining),
    Empty(Empty),
    Returning(Returning),
}

impl DomainPhase {
    pub(crate) fn new() -> Self {
        Self::InService(InService)
    }

    /// Returns the next phase, from whether the domain is out of service and has open attempts.
    fn next(self, now: Millis, is_out: bool, has_tasks: bool) -> Self {
        match self {
            Self::InService(state) if is_out => Self::Draining(state.drain(now)),
            Self::Draining(state) if !is_out => Self::Returning(state.bring_back(now)),
            Self::Draining(state) if !has_tasks => Self::Empty(state.empty()),
            Self::Empty(state) if !is_out => Self::Returning(state.bring_back(now)),
            Self::Empty(state) if has_tasks => Self::Draining(state.refilled(now)),
            Self::Returning(state) if is_out => Self::Draining(state.drain(now)),
            Self::Returning(state) if now.since(state.since) > REFILL_TIME => {
                Self::InService(state.finish_refill())
            }
            state => state,
        }
    }

    /// Returns the limit on starts in a round, at most `max_starts`.
    pub(crate) fn start_limit(self, now: Millis, max_starts: usize) -> usize {
        let Self::Returning(state) = self else {
            return max_starts;
        };
        let initial = (max_starts / REFILL_DIVISOR).max(1);
        let elapsed = usize::try_from(now.since(state.since).0).unwrap_or(usize::MAX);
        let refill_time = usize::try_from(REFILL_TIME.0).unwrap_or(usize::MAX);
        let increase = (max_starts - initial).saturating_mul(elapsed) / refill_time;
        max_starts.min(initial + increase)
    }

    /// Returns the time at which the drain began; `None` in other phases.
    pub(crate) fn draining_since(self) -> Option<Millis> {
        match self {
            Self::Draining(state) => Some(state.since),
            _ => None,
        }
    }
}

impl Cell {
    /// Updates the phase of the domain, and evicts tasks while the domain is out of service.
    pub(crate) fn update_drain(&mut self, now: Millis, term: Term) {
        if self.conf.is_none() {
            return;
        }
        let is_out = self.is_own_domain_out();
        let previous = self.domain_phase;
        self.domain_phase = previous.next(now, is_out, !self.tasks.is_empty());
        if previous != self.domain_phase {
            self.needs_placement = true;
            self.needs_reconciliation = true;
        }
        if is_out {
            self.withdraw_unsent_starts(now, term);
            if self
                .last_eviction_at
                .is_none_or(|last| now.since(last) >= EVICTION_INTERVAL)
            {
                self.last_eviction_at = Some(now);
                self.evict_movable_tasks(now);
            }
        }
    }

    /// Cancels pending start orders. Attempts whose order was never sent are lost at once; for
    /// those whose order may have arrived the worker's inventory decides.
    fn withdraw_unsent_starts(&mut self, now: Millis, term: Term) {
        let mut unsent = Vec::new();
        for worker in self.workers.values_mut() {
            let starts = worker
                .pending_orders
                .iter()
                .filter(|(_, t)| **t == OrderKind::Start);
            let starts: Vec<JobId> = starts.map(|(job, _)| job.clone()).collect();
            for job in starts {
                worker.pending_orders.remove(&job);
                worker.needs_inventory = true;
                unsent.push(job);
            }
        }
        for job in unsent {
            if self
                .tasks
                .get(&job)
                .is_some_and(|task| task.start_timestamp.is_none())
            {
                self.mark_attempt_lost(now, term, &job);
            }
        }
    }

    /// Evicts batch and urgent tasks that may be moved, within the limits for each round and
    /// service.
    fn evict_movable_tasks(&mut self, now: Millis) {
        let running = self.tasks.iter();
        let running = running.filter(|(id, task)| {
            task.is_started
                && task.eviction_cause.is_none()
                && !task.is_closing
                && task.class != Class::LatencyCritical
                && self.is_movable(id)
        });
        let mut paused = self.count_paused(now);
        let mut chosen: Vec<JobId> = Vec::new();
        for (id, _) in running {
            let Some(job) = self.ledger.jobs.get(id) else {
                continue;
            };
            let count = paused.entry(job.spec.service.clone()).or_default();
            if chosen.len() < MAX_EVICTIONS_PER_ROUND && *count < self.max_paused_jobs(job) {
                *count += 1;
                chosen.push(id.clone());
            }
        }
        for job in chosen {
            self.evict(now, &job, EvictionCause::Drain);
        }
    }

    /// Returns whether a job's document allows checkpointing and moving it.
    pub(crate) fn is_movable(&self, id: &JobId) -> bool {
        let job = self.ledger.jobs.get(id);
        let doc = job.and_then(|job| self.service_doc(&job.spec));
        doc.is_none_or(|doc| doc.moves.movable)
    }

    /// Orders a task to checkpoint and stop, unless it is being evicted already.
    pub(crate) fn evict(&mut self, now: Millis, job: &JobId, cause: EvictionCause) {
        let Some(task) = self.tasks.get_mut(job) else {
            return;
        };
        if task.eviction_cause.is_some() {
            return;
        }
        task.eviction_cause = Some(cause);
        let (attempt, name) = (task.attempt, task.worker.clone());
        if let Some(worker) = self.workers.get_mut(&name) {
            worker.pending_orders.insert(job.clone(), OrderKind::Evict);
        }
        let reason = Reason::Evicted {
            attempt,
            worker: name,
            cause: cause.to_string(),
        };
        self.explain_job(now, job, reason);
    }

    /// Returns whether a service task may be stopped: in a draining domain only after
    /// `drain_seconds`, which its document sets for requests in flight.
    pub(crate) fn may_stop_instance(&self, now: Millis, drain_seconds: u32) -> bool {
        let limit = Millis(u64::from(drain_seconds) * 1_000);
        self.domain_phase
            .draining_since()
            .is_none_or(|since| now.since(since) >= limit)
    }
}

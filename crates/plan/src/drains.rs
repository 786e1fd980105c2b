//! Life cycle of the cell's failure domain as its owner sees it.
//!
//! Each state is a type of its own, so that only the transitions below exist.

use hyssop_core::{Class, EvictionCause, JobId, Millis, Reason, Term};

use crate::Cell;
use crate::workers::OrderKind;

/// Interval of rounds of evictions and moves.
const EVICTION_INTERVAL: Millis = Millis(250);
/// Evictions in one round, so that checkpoints of a whole domain do not coincide.
const EVICTIONS_PER_ROUND: usize = 16;
/// Time over which starts return to the full rate after a domain comes back.
const REFILL_TIME: Millis = Millis(20_000);
/// Part of the full rate of starts, as a divisor, right after a domain comes back.
const REFILL_DIVISOR: usize = 8;

/// The domain takes work.
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

/// The domain is back and is filled at a limited rate.
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

    /// Reverses a drain half-way.
    fn bring_back(self, now: Millis) -> Returning {
        Returning { since: now }
    }
}

impl Empty {
    fn bring_back(self, now: Millis) -> Returning {
        Returning { since: now }
    }

    /// A task turned up after all, such as on a worker that could not be reached.
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

/// State of the domain.
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

    /// Moves on as the configuration and the tasks left say.
    fn next(self, now: Millis, out: bool, tasks: bool) -> Self {
        match self {
            Self::InService(state) if out => Self::Draining(state.drain(now)),
            Self::Draining(state) if !out => Self::Returning(state.bring_back(now)),
            Self::Draining(state) if !tasks => Self::Empty(state.empty()),
            Self::Empty(state) if !out => Self::Returning(state.bring_back(now)),
            Self::Empty(state) if tasks => Self::Draining(state.refilled(now)),
            Self::Returning(state) if out => Self::Draining(state.drain(now)),
            Self::Returning(state) if now.since(state.since) > REFILL_TIME => {
                Self::InService(state.finish_refill())
            }
            state => state,
        }
    }

    /// Returns how many of `most` starts a round may have.
    pub(crate) fn start_limit(self, now: Millis, most: usize) -> usize {
        let Self::Returning(state) = self else {
            return most;
        };
        let least = (most / REFILL_DIVISOR).max(1);
        let passed = usize::try_from(now.since(state.since).0).unwrap_or(usize::MAX);
        let whole = usize::try_from(REFILL_TIME.0).unwrap_or(usize::MAX);
        let grown = (most - least).saturating_mul(passed) / whole;
        most.min(least + grown)
    }

    /// Returns since when the domain drains.
    pub(crate) fn draining_since(self) -> Option<Millis> {
        match self {
            Self::Draining(state) => Some(state.since),
            _ => None,
        }
    }
}

impl Cell {
    /// Empties a domain that is out of service, and notes when it is empty or back.
    pub(crate) fn update_drain(&mut self, now: Millis, term: Term) {
        if self.conf.is_none() {
            return;
        }
        let out = self.is_own_domain_out();
        let before = self.domain_phase;
        self.domain_phase = before.next(now, out, !self.tasks.is_empty());
        if before != self.domain_phase {
            self.needs_placement = true;
            self.needs_reconciliation = true;
        }
        if out {
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

    /// Takes back the starts that were not sent. Those that may have arrived are looked for in
    /// the worker's inventory.
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
                self.lose_attempt(now, term, &job);
            }
        }
    }

    /// Evicts the batch and urgent tasks that may be moved, a few in each round.
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
            if chosen.len() < EVICTIONS_PER_ROUND && *count < self.max_paused_jobs(job) {
                *count += 1;
                chosen.push(id.clone());
            }
        }
        for job in chosen {
            self.evict(now, &job, EvictionCause::Drain);
        }
    }

    /// Tells whether a job's document allows to checkpoint and move it.
    pub(crate) fn is_movable(&self, id: &JobId) -> bool {
        let job = self.ledger.jobs.get(id);
        let doc = job.and_then(|job| self.service_doc(&job.spec));
        doc.is_none_or(|doc| doc.moves.movable)
    }

    /// Orders a task to checkpoint and stop.
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

    /// Tells whether a standing task may be stopped: in a domain that drains, only after the time
    /// that its document allows for requests in flight.
    pub(crate) fn may_stop_instance(&self, now: Millis, drain: u32) -> bool {
        let limit = Millis(u64::from(drain) * 1_000);
        self.domain_phase
            .draining_since()
            .is_none_or(|since| now.since(since) >= limit)
    }
}

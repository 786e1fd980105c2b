//! Tables of workers and of the attempts on them.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{
    Attempt, Class, EvictionCause, Incarnation, JobId, Millis, RackName, Resources, Running, Stamp,
    Term, WorkerName,
};

use crate::jobs::Job;

/// Something that a worker is to be told about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderKind {
    Start,
    Evict,
    Stop,
    Throttle(u8),
}

/// An order of a poll that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    pub(crate) job: JobId,
    pub(crate) attempt: Attempt,
    pub(crate) kind: OrderKind,
}

/// A poll that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingPoll {
    pub(crate) sent_at: Millis,
    pub(crate) wants_inventory: bool,
    pub(crate) orders: Vec<SentOrder>,
}

/// A task on a worker that no open attempt accounts for; it is stopped.
#[derive(Clone, Debug)]
pub(crate) struct OrphanedRun {
    pub(crate) needs: Resources,
    pub(crate) is_stopped: bool,
}

/// What the owner knows about a worker in its term.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub(crate) incarnation: Option<Incarnation>,
    /// Last stamp and the time at which it was received.
    pub(crate) last_timestamp: Option<(Stamp, Millis)>,
    pub(crate) capacity: Resources,
    pub(crate) rack: Option<RackName>,
    pub(crate) pending_poll: Option<PendingPoll>,
    /// Time of the last poll.
    pub(crate) last_poll_at: Option<Millis>,
    /// Time of the last poll with orders, or for a stamp to send orders with.
    pub(crate) last_order_poll_at: Option<Millis>,
    /// Time of the last poll that renewed batch leases.
    pub(crate) last_renewal_at: Option<Millis>,
    /// Whether the last poll had no answer.
    pub(crate) has_missed_poll: bool,
    /// Term that the worker states and that the stream does not have.
    pub(crate) rejected_term: Option<Term>,
    /// Time of the last answer.
    pub(crate) last_reply_at: Option<Millis>,
    /// Whether a full inventory was received in this term.
    pub(crate) has_inventory: bool,
    /// Whether a full inventory is asked for.
    pub(crate) needs_inventory: bool,
    /// Events not yet acknowledged, and the attempts that they are about.
    pub(crate) unacked_events: BTreeMap<u64, (JobId, Attempt)>,
    /// Highest event taken in.
    pub(crate) last_event: u64,
    pub(crate) acked_event: u64,
    pub(crate) orphaned_runs: BTreeMap<(JobId, Attempt), OrphanedRun>,
    pub(crate) pending_orders: BTreeMap<JobId, OrderKind>,
    pub(crate) tasks: BTreeSet<JobId>,
}

impl Worker {
    /// Creates the state of a worker that has not answered in this term.
    pub(crate) fn without_reply() -> Self {
        Self {
            needs_inventory: true,
            ..Self::default()
        }
    }

    /// Forgets what only held for an earlier life of the worker's process.
    pub(crate) fn reset_for_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.unacked_events.clear();
        self.last_event = 0;
        self.acked_event = 0;
        self.orphaned_runs.clear();
        self.needs_inventory = true;
        self.has_inventory = false;
    }

    /// Tells whether work may be placed on the worker.
    pub(crate) fn is_usable(&self) -> bool {
        self.has_inventory && !self.has_missed_poll
    }

    /// Tells whether a poll with orders is due.
    pub(crate) fn has_orders(&self) -> bool {
        !self.pending_orders.is_empty()
            || self.orphaned_runs.values().any(|stray| !stray.is_stopped)
    }
}

/// An attempt that may be running.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) attempt: Attempt,
    pub(crate) worker: WorkerName,
    pub(crate) needs: Resources,
    pub(crate) class: Class,
    /// Whether the intent is from an earlier term, so that only the inventory tells if it runs.
    pub(crate) is_inherited: bool,
    /// Whether the worker has confirmed the start.
    pub(crate) is_started: bool,
    /// Stamp of the last start order that was sent.
    pub(crate) start_timestamp: Option<Stamp>,
    /// Whether a record that closes the attempt is on its way.
    pub(crate) is_closing: bool,
    /// Why the task was told to checkpoint and stop, if it was.
    pub(crate) eviction_cause: Option<EvictionCause>,
    /// Work done at the last checkpoint, in milliseconds.
    pub(crate) checkpoint: u64,
    /// Work done as of the last report, in milliseconds.
    pub(crate) work_done: u64,
    /// Time at which the attempt was placed or taken over.
    pub(crate) running_since: Millis,
}

impl Task {
    pub(crate) fn new(job: &Job, worker: WorkerName, inherited: bool, now: Millis) -> Self {
        Self {
            attempt: job.attempt,
            worker,
            needs: job.spec.needs,
            class: job.spec.class,
            is_inherited: inherited,
            is_started: false,
            start_timestamp: None,
            is_closing: false,
            eviction_cause: None,
            checkpoint: job.checkpoint,
            work_done: job.checkpoint,
            running_since: now,
        }
    }

    /// Takes in what an inventory says about the task.
    pub(crate) fn confirm_running(&mut self, running: &Running) {
        self.is_started = true;
        self.checkpoint = self.checkpoint.max(running.checkpoint);
        self.work_done = self.work_done.max(running.checkpoint);
    }
}

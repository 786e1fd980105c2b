//! The owner's tables of workers and of the attempts on them.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{
    Attempt, Class, EvictionCause, Incarnation, JobId, Millis, RackName, Resources, RunningTask,
    Term, WorkerName, WorkerTimestamp,
};

use crate::jobs::Job;

/// An order about a job that is queued for its worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum OrderKind {
    Start,
    Evict,
    Stop,
    /// Limits the task's speed to this percentage; 100 removes the limit.
    Throttle(u8),
}

/// An order in a poll without a reply yet.
#[derive(Clone, Debug)]
pub(crate) struct SentOrder {
    pub(crate) job: JobId,
    pub(crate) attempt: Attempt,
    pub(crate) kind: OrderKind,
}

/// A poll without a reply yet.
#[derive(Clone, Debug)]
pub(crate) struct PendingPoll {
    pub(crate) sent_at: Millis,
    /// Whether the poll asked for a full inventory.
    pub(crate) wants_inventory: bool,
    pub(crate) orders: Vec<SentOrder>,
}

/// A task that runs on a worker without an open attempt there; it is ordered to stop.
#[derive(Clone, Debug)]
pub(crate) struct OrphanedRun {
    pub(crate) needs: Resources,
    /// Whether the worker has confirmed the stop.
    pub(crate) is_stopped: bool,
}

/// State of a worker since the owner's term began.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    /// Incarnation of the worker's process; `None` before its first reply.
    pub(crate) incarnation: Option<Incarnation>,
    /// Time of the last reply of this incarnation.
    pub(crate) incarnation_seen_at: Option<Millis>,
    /// Last worker timestamp and the time at which it was received.
    pub(crate) last_timestamp: Option<(WorkerTimestamp, Millis)>,
    pub(crate) capacity: Resources,
    pub(crate) rack: Option<RackName>,
    pub(crate) pending_poll: Option<PendingPoll>,
    /// Time of the last poll.
    pub(crate) last_poll_at: Option<Millis>,
    /// Time of the last poll with orders.
    pub(crate) last_order_poll_at: Option<Millis>,
    /// Time of the last poll that renewed batch leases.
    pub(crate) last_renewal_at: Option<Millis>,
    /// Whether the last poll failed or timed out.
    pub(crate) has_missed_poll: bool,
    /// Whether the worker's host has refused a connection since the last reply.
    pub(crate) has_ended: bool,
    /// False term that the worker reports, until its next valid reply.
    pub(crate) rejected_term: Option<Term>,
    /// Time of the last reply; `None` before the first of this term.
    pub(crate) last_reply_at: Option<Millis>,
    /// Whether a full inventory was received in this term and for this incarnation.
    pub(crate) has_inventory: bool,
    /// Whether the next poll requests a full inventory.
    pub(crate) needs_inventory: bool,
    /// Applied events whose records are not committed yet, and the attempts that they are about.
    pub(crate) unacked_events: BTreeMap<u64, (JobId, Attempt)>,
    /// Highest sequence number of the applied events.
    pub(crate) last_event: u64,
    /// Sequence number up to which events are acknowledged in the next poll.
    pub(crate) acked_event: u64,
    pub(crate) orphaned_runs: BTreeMap<(JobId, Attempt), OrphanedRun>,
    /// Orders that are not yet confirmed by the worker, one for each job.
    pub(crate) pending_orders: BTreeMap<JobId, OrderKind>,
    /// Refused starts since the last accepted one.
    pub(crate) refusal_count: u32,
    /// Time until which nothing is placed on the worker after a refused start.
    pub(crate) refuses_until: Option<Millis>,
    /// Jobs with an open attempt on the worker.
    pub(crate) tasks: BTreeSet<JobId>,
}

impl Worker {
    /// Creates the state of a worker that has not replied in this term.
    pub(crate) fn without_reply() -> Self {
        Self {
            needs_inventory: true,
            ..Self::default()
        }
    }

    /// Clears what was only valid for an earlier incarnation of the worker's process.
    pub(crate) fn reset_for_incarnation(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.unacked_events.clear();
        self.last_event = 0;
        self.acked_event = 0;
        self.orphaned_runs.clear();
        self.clear_refusals();
        self.needs_inventory = true;
        self.has_inventory = false;
    }

    /// Returns whether tasks may be placed on the worker.
    pub(crate) fn is_usable(&self) -> bool {
        self.has_inventory && !self.has_missed_poll
    }

    /// Returns whether there are orders to send.
    pub(crate) fn has_orders(&self) -> bool {
        !self.pending_orders.is_empty()
            || self.orphaned_runs.values().any(|orphan| !orphan.is_stopped)
    }
}

/// An open attempt, which may be running.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) attempt: Attempt,
    pub(crate) worker: WorkerName,
    pub(crate) needs: Resources,
    pub(crate) class: Class,
    /// Whether the intent is from an earlier term, so that only an inventory shows whether it runs.
    pub(crate) is_inherited: bool,
    /// Whether the worker has confirmed the start.
    pub(crate) is_started: bool,
    /// Worker timestamp of the last start order that was sent.
    pub(crate) start_timestamp: Option<WorkerTimestamp>,
    /// Polls with the start order that were sent.
    pub(crate) start_polls: u32,
    /// Whether a record that closes the attempt was written and is not yet read back.
    pub(crate) is_closing: bool,
    /// Cause of an eviction that was ordered; the task checkpoints and stops.
    pub(crate) eviction_cause: Option<EvictionCause>,
    /// Work done at the last checkpoint, in milliseconds.
    pub(crate) checkpoint: u64,
    /// Work done as of the last report, in milliseconds.
    pub(crate) work_done: u64,
    /// Time since which the job has waited for a worker. The wait goes on if the attempt never
    /// starts.
    pub(crate) waiting_since: Millis,
    /// Time at which the start was confirmed; until then, when the attempt was placed or inherited.
    pub(crate) running_since: Millis,
}

impl Task {
    pub(crate) fn new(
        job: &Job,
        worker: WorkerName,
        is_inherited: bool,
        waiting_since: Millis,
        now: Millis,
    ) -> Self {
        Self {
            attempt: job.attempt,
            worker,
            needs: job.spec.needs,
            class: job.spec.class,
            is_inherited,
            is_started: false,
            start_timestamp: None,
            start_polls: 0,
            is_closing: false,
            eviction_cause: None,
            checkpoint: job.checkpoint,
            work_done: job.checkpoint,
            waiting_since,
            running_since: now,
        }
    }

    /// Returns whether the start of the attempt was never sent.
    pub(crate) fn is_unsent(&self) -> bool {
        !self.is_inherited && !self.is_started && self.start_timestamp.is_none()
    }

    /// Applies the task's entry in an inventory.
    pub(crate) fn confirm_running(&mut self, running: &RunningTask) {
        self.is_started = true;
        self.checkpoint = self.checkpoint.max(running.checkpoint);
        self.work_done = self.work_done.max(running.checkpoint);
    }
}

//! Tables of workers and of the attempts on them.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{
    Attempt, Class, EvictionCause, Incarnation, JobId, Millis, RackName, Resources, RunningTask,
    Term, WorkerName, WorkerTimestamp,
};

use crate::jobs::Job;

/// Something that a worker is to be told about a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Todo {
    Start,
    Evict,
    Stop,
    Throttle(u8),
}

/// An order of a poll that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Sent {
    pub(crate) job: JobId,
    pub(crate) attempt: Attempt,
    pub(crate) todo: Todo,
}

/// A poll that has no answer yet.
#[derive(Clone, Debug)]
pub(crate) struct Flight {
    pub(crate) sent: Millis,
    pub(crate) full: bool,
    pub(crate) orders: Vec<Sent>,
}

/// A task on a worker that no open attempt accounts for; it is stopped.
#[derive(Clone, Debug)]
pub(crate) struct Stray {
    pub(crate) needs: Resources,
    pub(crate) told: bool,
}

/// What the owner knows about a worker in its term.
#[derive(Clone, Debug, Default)]
pub(crate) struct Worker {
    pub(crate) incarnation: Option<Incarnation>,
    /// Last stamp and the time at which it was received.
    pub(crate) stamp: Option<(WorkerTimestamp, Millis)>,
    pub(crate) capacity: Resources,
    pub(crate) rack: Option<RackName>,
    pub(crate) flight: Option<Flight>,
    /// Time of the last poll.
    pub(crate) polled: Option<Millis>,
    /// Time of the last poll with orders, or for a stamp to send orders with.
    pub(crate) busy: Option<Millis>,
    /// Time of the last poll that renewed batch leases.
    pub(crate) renewed: Option<Millis>,
    /// Whether the last poll had no answer.
    pub(crate) missed: bool,
    /// Term that the worker states and that the stream does not have.
    pub(crate) denied: Option<Term>,
    /// Time of the last answer.
    pub(crate) heard: Option<Millis>,
    /// Whether a full inventory was received in this term.
    pub(crate) known: bool,
    /// Whether a full inventory is asked for.
    pub(crate) full: bool,
    /// Events not yet acknowledged, and the attempts that they are about.
    pub(crate) events: BTreeMap<u64, (JobId, Attempt)>,
    /// Highest event taken in.
    pub(crate) seen: u64,
    pub(crate) acked: u64,
    pub(crate) strays: BTreeMap<(JobId, Attempt), Stray>,
    pub(crate) todo: BTreeMap<JobId, Todo>,
    pub(crate) tasks: BTreeSet<JobId>,
}

impl Worker {
    /// Creates the state of a worker that has not answered in this term.
    pub(crate) fn unheard() -> Self {
        Self {
            full: true,
            ..Self::default()
        }
    }

    /// Forgets what only held for an earlier life of the worker's process.
    pub(crate) fn reborn(&mut self, incarnation: Incarnation) {
        self.incarnation = Some(incarnation);
        self.events.clear();
        self.seen = 0;
        self.acked = 0;
        self.strays.clear();
        self.full = true;
        self.known = false;
    }

    /// Tells whether work may be placed on the worker.
    pub(crate) fn is_usable(&self) -> bool {
        self.known && !self.missed
    }

    /// Tells whether a poll with orders is due.
    pub(crate) fn has_orders(&self) -> bool {
        !self.todo.is_empty() || self.strays.values().any(|stray| !stray.told)
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
    pub(crate) inherited: bool,
    /// Whether the worker has confirmed the start.
    pub(crate) started: bool,
    /// Stamp of the last start order that was sent.
    pub(crate) start: Option<WorkerTimestamp>,
    /// Whether a record that closes the attempt is on its way.
    pub(crate) closing: bool,
    /// Why the task was told to checkpoint and stop, if it was.
    pub(crate) evicting: Option<EvictionCause>,
    /// Work done at the last checkpoint, in milliseconds.
    pub(crate) checkpoint: u64,
    /// Work done as of the last report, in milliseconds.
    pub(crate) done: u64,
    /// Time at which the attempt was placed or taken over.
    pub(crate) since: Millis,
}

impl Task {
    pub(crate) fn new(job: &Job, worker: WorkerName, inherited: bool, now: Millis) -> Self {
        Self {
            attempt: job.attempt,
            worker,
            needs: job.spec.needs,
            class: job.spec.class,
            inherited,
            started: false,
            start: None,
            closing: false,
            evicting: None,
            checkpoint: job.checkpoint,
            done: job.checkpoint,
            since: now,
        }
    }

    /// Takes in what an inventory says about the task.
    pub(crate) fn confirm(&mut self, running: &RunningTask) {
        self.started = true;
        self.checkpoint = self.checkpoint.max(running.checkpoint);
        self.done = self.done.max(running.checkpoint);
    }
}

//! Workers: the stand-in's state machine, observed through its ledger.

use hyssop_core::{
    CellId, Class, Fenced, Incarnation, JobId, Millis, PollReply, PollRequest, RackName, Resources,
    WorkerName,
};
use hyssop_standins::{LedgerEntry, TaskChange, WorkerFaults, WorkerOptions, WorkerState};

use crate::invariants::{Obs, TaskEnd};

/// What each worker has.
pub(crate) const CAPACITY: Resources = Resources::new(8_000, 16_000, 0);

/// A worker.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) name: WorkerName,
    pub(crate) cell: CellId,
    options: WorkerOptions,
    state: WorkerState,
    life: u64,
    started: Millis,
    seen: usize,
}

impl Worker {
    pub(crate) fn new(cell: &CellId, n: usize, capacity: Resources, life: u64) -> Self {
        let name = WorkerName::new(format!("{}-w{n}", cell.domain)).expect("worker");
        let rack = RackName::new(format!("{}-r0", cell.domain)).expect("rack");
        let options = WorkerOptions::new(name.clone(), rack, capacity)
            .with_report_delay(Millis(1_000))
            .with_checkpoint_interval(Millis(2_000));
        let state = WorkerState::new(options.clone(), Incarnation(life));
        Self {
            name,
            cell: cell.clone(),
            options,
            state,
            life,
            started: Millis(0),
            seen: 0,
        }
    }

    /// Returns the observation of the worker itself, with what it truly has.
    pub(crate) fn present(&self) -> Obs {
        Obs::Worker {
            worker: self.name.clone(),
            domain: self.cell.domain.clone(),
            capacity: CAPACITY,
        }
    }

    pub(crate) fn poll(&mut self, now: Millis, request: &PollRequest) -> Result<PollReply, Fenced> {
        self.state.handle_poll(now.since(self.started), request)
    }

    pub(crate) fn advance(&mut self, now: Millis) {
        self.state.advance(now.since(self.started));
    }

    /// Returns the worker's own time.
    pub(crate) fn clock(&self, now: Millis) -> Millis {
        now.since(self.started)
    }

    pub(crate) const fn incarnation(&self) -> Incarnation {
        Incarnation(self.life)
    }

    pub(crate) fn runs(&self, job: &JobId) -> bool {
        self.state.running().iter().any(|task| task.job == *job)
    }

    /// Ends the process; its tasks end with it.
    pub(crate) fn kill(&mut self) -> Vec<Obs> {
        let mut seen = self.news();
        let gone = self.state.running().into_iter().map(|task| Obs::Ended {
            worker: self.name.clone(),
            job: task.job,
            attempt: task.attempt,
            end: TaskEnd::Gone,
        });
        seen.extend(gone);
        self.state = WorkerState::new(self.options.clone(), Incarnation(self.life));
        self.seen = 0;
        seen
    }

    /// Lets the worker fail all that it starts, or ends that.
    pub(crate) fn set_fails(&mut self, now: Millis, fails: bool) {
        let faults = WorkerFaults {
            has_failing_tasks: fails,
            ..WorkerFaults::default()
        };
        self.state.set_faults(now.since(self.started), faults);
    }

    /// Starts the process again.
    pub(crate) fn restart(&mut self, now: Millis) {
        self.life += 1_000;
        self.started = now;
        self.state = WorkerState::new(self.options.clone(), Incarnation(self.life));
        self.seen = 0;
    }

    /// Returns what the ledger says since the last call.
    pub(crate) fn news(&mut self) -> Vec<Obs> {
        let ledger = self.state.ledger(Millis(0));
        let fresh = ledger.entries.iter().skip(self.seen);
        let news = fresh.map(|entry| self.observe(entry)).collect();
        self.seen = ledger.entries.len();
        news
    }

    fn observe(&self, entry: &LedgerEntry) -> Obs {
        let worker = self.name.clone();
        let (job, attempt) = (entry.job.clone(), entry.attempt);
        let end = match entry.change {
            TaskChange::Started => {
                let standing = job.as_str().starts_with("standing-");
                let class = if standing {
                    Class::LatencyCritical
                } else {
                    Class::Batch
                };
                return Obs::Started {
                    worker,
                    job,
                    attempt,
                    class,
                    needs: entry.needs,
                    done: entry.work_done,
                };
            }
            TaskChange::Finished => TaskEnd::Finished,
            TaskChange::Evicted | TaskChange::Lapsed => TaskEnd::Evicted,
            TaskChange::Failed | TaskChange::Stopped | TaskChange::Killed => TaskEnd::Gone,
        };
        Obs::Ended {
            worker,
            job,
            attempt,
            end,
        }
    }
}

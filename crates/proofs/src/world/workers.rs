//! Simulated workers: the state machine of the worker stand-in, observed through its ledger.

use hyssop_core::{
    CellId, Class, Fenced, Incarnation, JobId, Millis, PollReply, PollRequest, RackName, Resources,
    WorkerName,
};
use hyssop_standins::{LedgerEntry, TaskChange, WorkerFaults, WorkerOptions, WorkerState};

use crate::invariants::{Observation, TaskEnd};

/// Real capacity of each worker.
pub(crate) const WORKER_CAPACITY: Resources = Resources::new(8_000, 16_000, 0);

/// A worker and the state of its process.
#[derive(Debug)]
pub(crate) struct Worker {
    pub(crate) name: WorkerName,
    pub(crate) cell: CellId,
    options: WorkerOptions,
    state: WorkerState,
    incarnation: u64,
    started_at: Millis,
    observed_entries: usize,
}

impl Worker {
    pub(crate) fn new(cell: &CellId, n: usize, capacity: Resources, incarnation: u64) -> Self {
        let name = WorkerName::new(format!("{}-w{n}", cell.domain)).expect("worker");
        let rack = RackName::new(format!("{}-r0", cell.domain)).expect("rack");
        let options = WorkerOptions::new(name.clone(), rack, capacity)
            .with_report_delay(Millis(1_000))
            .with_checkpoint_interval(Millis(2_000));
        let state = WorkerState::new(options.clone(), Incarnation(incarnation));
        Self {
            name,
            cell: cell.clone(),
            options,
            state,
            incarnation,
            started_at: Millis(0),
            observed_entries: 0,
        }
    }

    /// Returns the observation of the worker's start, with its real capacity.
    pub(crate) fn registration(&self) -> Observation {
        Observation::WorkerRegistered {
            worker: self.name.clone(),
            domain: self.cell.domain.clone(),
            capacity: WORKER_CAPACITY,
        }
    }

    pub(crate) fn poll(&mut self, now: Millis, request: &PollRequest) -> Result<PollReply, Fenced> {
        self.state.handle_poll(now.since(self.started_at), request)
    }

    pub(crate) fn advance(&mut self, now: Millis) {
        self.state.advance(now.since(self.started_at));
    }

    /// Returns the time since the start of the worker's process, by which the worker measures.
    pub(crate) fn uptime(&self, now: Millis) -> Millis {
        now.since(self.started_at)
    }

    pub(crate) const fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }

    pub(crate) fn is_running_job(&self, job: &JobId) -> bool {
        self.state.running().iter().any(|task| task.job == *job)
    }

    /// Kills the process. Returns the ends of its tasks.
    pub(crate) fn kill(&mut self) -> Vec<Observation> {
        let mut observations = self.new_observations();
        let aborted = self
            .state
            .running()
            .into_iter()
            .map(|task| Observation::TaskEnded {
                worker: self.name.clone(),
                job: task.job,
                attempt: task.attempt,
                end: TaskEnd::Aborted,
            });
        observations.extend(aborted);
        self.state = WorkerState::new(self.options.clone(), Incarnation(self.incarnation));
        self.observed_entries = 0;
        observations
    }

    /// Sets whether the worker fails each task that it starts.
    pub(crate) fn set_fails(&mut self, now: Millis, fails: bool) {
        let faults = WorkerFaults {
            has_failing_tasks: fails,
            ..WorkerFaults::default()
        };
        self.state.set_faults(now.since(self.started_at), faults);
    }

    /// Restarts the process with a new incarnation.
    pub(crate) fn restart(&mut self, now: Millis) {
        self.incarnation += 1_000;
        self.started_at = now;
        self.state = WorkerState::new(self.options.clone(), Incarnation(self.incarnation));
        self.observed_entries = 0;
    }

    /// Returns the ledger entries since the last call as observations.
    pub(crate) fn new_observations(&mut self) -> Vec<Observation> {
        let ledger = self.state.ledger(Millis(0));
        let new_entries = ledger.entries.iter().skip(self.observed_entries);
        let observations = new_entries.map(|entry| self.observation(entry)).collect();
        self.observed_entries = ledger.entries.len();
        observations
    }

    fn observation(&self, entry: &LedgerEntry) -> Observation {
        let worker = self.name.clone();
        let (job, attempt) = (entry.job.clone(), entry.attempt);
        let end = match entry.change {
            TaskChange::Started => {
                let is_service_task = job.as_str().starts_with("standing-");
                let class = if is_service_task {
                    Class::LatencyCritical
                } else {
                    Class::Batch
                };
                return Observation::TaskStarted {
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
            TaskChange::Failed | TaskChange::Stopped | TaskChange::Killed => TaskEnd::Aborted,
        };
        Observation::TaskEnded {
            worker,
            job,
            attempt,
            end,
        }
    }
}

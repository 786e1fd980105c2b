//! Starts without an answer that a later incarnation of their worker may still execute.
//!
//! A call names the worker's identifier only. After a restart under the same identifier it is valid
//! until the first call of a later session, so that the end of the earlier process does not rule the
//! run out. The task waits for the later incarnation's complete report, or for the time after which
//! the agent counts the call as lost.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::occurrences::Phase;
use crate::owners::Owner;
use crate::{RunId, TaskId};

/// Start that may still be executed.
#[derive(Clone, Debug)]
struct LateStart {
    worker: Arc<str>,
    /// Time after which the call counts as lost.
    until: Millis,
}

/// Starts that may still be executed, by run.
#[derive(Clone, Debug, Default)]
pub(crate) struct LateStarts(BTreeMap<RunId, LateStart>);

impl LateStarts {
    /// Returns the time until which an earlier start of a task may be executed, 0 if there is none.
    pub(crate) fn until(&self, task: TaskId) -> Millis {
        let runs = RunId { task, run: 0 }..=RunId {
            task,
            run: u64::MAX,
        };
        let starts = self.0.range(runs).map(|(_, start)| start.until);
        starts.max().unwrap_or_default()
    }

    /// Returns whether a worker may still execute a start.
    pub(crate) fn has_worker(&self, id: &str) -> bool {
        self.0.values().any(|start| *start.worker == *id)
    }
}

impl Owner {
    /// Records the starts that may still be executed at a worker's address, each with the time for
    /// which that holds, and lets the tasks that wait there wait for longer.
    pub(crate) fn note_late_starts(&mut self, id: &Arc<str>, starts: &[(RunId, Millis)]) {
        for &(run, remaining) in starts {
            if remaining == Millis(0) {
                self.release_late_start(run);
                continue;
            }
            // Reports are under way for different times. A task waits for the latest end that was named.
            // Another worker of the same agent may name the start again, with its own session.
            let known = self.late_starts.0.get(&run);
            let known_until = known.map_or(Millis(0), |known| known.until);
            let until = known_until.max(self.now + remaining);
            let worker = known.map_or(id, |known| &known.worker);
            let start = LateStart {
                worker: Arc::clone(worker),
                until,
            };
            if self.late_starts.0.insert(run, start).is_none() {
                self.log(format!(
                    "start of {run} on {id} may be executed for {} ms more",
                    remaining.0
                ));
            }
            let job = self.jobs.get_mut(run.task.job);
            if let Some(task) = job.and_then(|job| job.task_mut(run.task))
                && task.phase == Phase::Waiting
            {
                task.not_before = task.not_before.max(until);
            }
        }
    }

    /// Lets the tasks start whose starts a worker can no longer execute: another one has answered at its
    /// address, or a later incarnation has answered a call with a higher token. Those in `kept` are
    /// meant for the worker that has answered.
    pub(crate) fn release_late_starts(&mut self, id: &str, kept: &[(RunId, Millis)]) {
        let is_released = |run: &RunId, start: &LateStart| {
            *start.worker == *id && kept.iter().all(|(kept, _)| kept != run)
        };
        let starts = self.late_starts.0.iter();
        let released = starts.filter(|(run, start)| is_released(run, start));
        let released: Vec<RunId> = released.map(|(&run, _)| run).collect();
        for run in released {
            self.release_late_start(run);
        }
    }

    fn release_late_start(&mut self, run: RunId) {
        let Some(start) = self.late_starts.0.remove(&run) else {
            return;
        };
        let not_before = self.late_starts.until(run.task).max(self.now);
        let job = self.jobs.get_mut(run.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(run.task))
            && task.not_before == start.until
        {
            task.not_before = not_before;
        }
    }

    /// Forgets the starts that count as lost, and drops the records of lost workers that were kept
    /// for them.
    pub(crate) fn expire_late_starts(&mut self) {
        let now = self.now;
        let starts = &mut self.late_starts.0;
        let expired: Vec<_> = starts
            .extract_if(.., |_, start| start.until < now)
            .collect();
        for (_, start) in expired {
            let is_lost = self
                .workers
                .get(&start.worker)
                .is_some_and(|worker| worker.session.is_none() && worker.runs.is_empty());
            let is_confirmed = !self.unconfirmed_workers.contains(&start.worker);
            if is_lost && is_confirmed && !self.late_starts.has_worker(&start.worker) {
                self.drop_worker_record(&start.worker);
            }
        }
    }
}

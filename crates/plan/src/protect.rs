//! Protection of latency-critical tasks from their neighbours.

use hyssop_core::{Millis, Usage, WorkerName};

use crate::Cell;
use crate::jobs::Job;

impl Cell {
    /// Takes in lagging measurements.
    pub(crate) fn usage(&mut self, _now: Millis, name: &WorkerName, usage: &[Usage]) {
        for report in usage {
            if let Some(task) = self.tasks.get_mut(&report.job)
                && task.attempt == report.attempt
                && task.worker == *name
            {
                task.checkpoint = task.checkpoint.max(report.checkpoint);
                task.done = task.done.max(report.done);
            }
        }
    }

    /// Returns the slowdown expected on a worker with the job, in percent above unhindered.
    pub(crate) fn estimate(&self, _name: &WorkerName, _job: &Job) -> u32 {
        0
    }

    /// Tells whether work may be placed on a worker.
    pub(crate) fn takes_work(&self, _name: &WorkerName) -> bool {
        true
    }
}

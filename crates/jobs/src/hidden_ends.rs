//! Workers of which ends of runs may never be listed.
//!
//! A worker that has restarted under its identifier executes an acknowledgement that was meant for its
//! earlier incarnation, and does not list its own ends up to the number. A run whose end is missing
//! seems to be lost, so that its task would start again after it was done.

use std::sync::Arc;

use crate::accounts::LossCause;
use crate::io::Report;
use crate::owners::Owner;
use crate::records::{Key, Record, WorkerRecord};
use crate::{RunId, StepSpec};

/// Whether an incarnation of a worker lists all ends of its runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum EndLists {
    /// Nothing indicates that ends are missing.
    #[default]
    Unproven,
    /// Ends may be missing: the worker may have executed a late acknowledgement.
    MayLackEnds,
    /// The worker has listed an end, so that it lists all later ones. Reports that say otherwise were
    /// overtaken.
    Complete,
}

impl EndLists {
    /// Returns the state that an earlier owner has stored.
    pub(crate) fn of(record: Option<&WorkerRecord>) -> Self {
        match record.is_some_and(|record| record.may_hide_ends) {
            true => Self::MayLackEnds,
            false => Self::Unproven,
        }
    }

    pub(crate) fn may_lack_ends(self) -> bool {
        self == Self::MayLackEnds
    }

    /// Returns whether tasks of a step may start on the worker. Service tasks never end as done, so
    /// that they may start again after any end.
    pub(crate) fn allow(self, spec: &StepSpec) -> bool {
        spec.is_service || !self.may_lack_ends()
    }
}

impl Owner {
    /// Stops the runs of a worker that may hide their ends. While a run is listed, it has not ended as done,
    /// so that its task may start elsewhere; and if its end is listed, the worker hides none any more.
    pub(crate) fn stop_hidden_runs(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if !worker.end_lists.may_lack_ends() {
            return;
        }
        let runs = worker.runs.iter().filter(|(_, state)| !state.is_service);
        let runs: Vec<RunId> = runs.map(|(&run, _)| run).collect();
        for run in runs {
            self.log(format!("run {run} is stopped: {id} may hide its end"));
            self.stop_run(id, run, LossCause::Stopped);
        }
    }

    /// Notes what a report tells about the ends that its worker lists. The worker's record is written
    /// with it, so that the next owner knows it if the agent does not. No start waits for that: until
    /// an end is listed, this owner sends none whose end matters.
    pub(crate) fn note_end_lists(&mut self, id: &Arc<str>, report: &Report) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let previous = worker.end_lists;
        let current = match previous {
            _ if !report.ended.is_empty() => EndLists::Complete,
            EndLists::Unproven if report.may_hide_ends => EndLists::MayLackEnds,
            _ => previous,
        };
        worker.end_lists = current;
        if previous.may_lack_ends() == current.may_lack_ends() {
            return;
        }
        if worker.has_record {
            let record = Record::put(Key::Worker(Arc::clone(id)), &worker.record());
            self.writes.add(self.now, record, None);
        }
        self.log(match current.may_lack_ends() {
            true => format!("worker {id} may hide ends: only service tasks start there"),
            false => format!("worker {id} lists an end: all tasks may start there again"),
        });
    }
}

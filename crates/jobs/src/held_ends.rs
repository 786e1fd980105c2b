//! Ends of runs whose jobs are held, because a record of theirs cannot be read.
//!
//! Such an end changes nothing that the owner knows, and once it is acknowledged the worker forgets
//! it. So it is stored by itself, and applied by the owner that reads the repaired record.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::JobId;
use crate::io::{EndKind, RunEnd};
use crate::owners::Owner;
use crate::records::{HeldEnd, Key, Record};

/// Ends by held job. A job without any has an empty list.
pub(crate) type HeldEnds = BTreeMap<JobId, Vec<HeldEnd>>;

impl Owner {
    /// Stores an end if its job is held. Returns whether it is. The list stays short: a held job has
    /// no further runs than those that had started before.
    pub(crate) fn hold_end(&mut self, worker: &Arc<str>, end: &RunEnd) -> bool {
        let id = end.run.task.job;
        let Some(ends) = self.held_ends.get_mut(&id) else {
            return false;
        };
        // A late call may start a run again on a worker that has restarted, with another end.
        let is_same = |held: &RunEnd| held.run == end.run && held.kind == end.kind;
        if ends.iter().any(|held| is_same(&held.end)) {
            return true;
        }
        ends.push(HeldEnd {
            worker: Arc::clone(worker),
            end: end.clone(),
        });
        let record = Record::put(Key::HeldEnds(id), ends);
        self.writes.add(self.now, record, None);
        self.log(format!(
            "run {} on {worker} has ended as {:?}: kept, because a record of its job cannot be read",
            end.run, end.kind
        ));
        true
    }

    /// Applies the ends that were held for a job whose records can be read again.
    pub(crate) fn apply_held_ends(&mut self, id: JobId, ends: &[HeldEnd]) {
        for HeldEnd { worker, end } in ends {
            // The repaired progress may be older than the occurrence.
            self.open_occurrence_of(end.run.task);
            match end.kind {
                EndKind::Done if self.is_unfinished(end.run) => self.finish_task(worker, end),
                EndKind::Done => {}
                EndKind::Failed => self.fail_task(worker, end, false),
                _ => self.store_checkpoint(end, false),
            }
        }
        self.writes.mark_progress(self.now, id, true);
        let record = Record::drop_key(Key::HeldEnds(id));
        self.writes.add(self.now, record, None);
    }
}

//! The worker as it describes itself, and the delivery of changes to the owner.

use hyssop_core::Millis;
use hyssop_jobs::WorkerInfo;

use super::cores::Core;

impl Core {
    /// Applies a heartbeat of the worker.
    pub(super) fn on_heartbeat(&mut self, info: WorkerInfo) {
        match &self.worker {
            Some(known) if known.id == info.id && known.incarnation == info.incarnation => {
                self.has_worker_changed |= *known != info;
            }
            Some(known) if known.id == info.id && known.incarnation > info.incarnation => return,
            Some(_) => {
                self.mark_worker_lost("replaced by another worker or incarnation");
                self.has_worker_changed = true;
            }
            None => self.has_worker_changed = true,
        }
        self.worker = Some(info);
    }

    /// Records that the worker and all its runs are lost.
    pub(super) fn mark_worker_lost(&mut self, reason: &str) {
        let Some(worker) = self.worker.take() else {
            return;
        };
        self.log(format!("worker {} is lost: {reason}", worker.id));
        if let Some(session) = self.session.take() {
            self.lost_session = Some(session.id);
        }
        self.worker_leased_until = Millis(0);
    }

    /// Returns whether the next report of the session contains the worker's description: it has
    /// changed, and no other report in flight contains one. Reports may overtake each other, and the
    /// owner would keep the older description until the next change.
    pub(super) fn may_describe_worker(&self) -> bool {
        let is_in_flight = |number: u64| self.pending_reports.contains(&number);
        self.has_worker_changed && !self.last_description.is_some_and(is_in_flight)
    }
}

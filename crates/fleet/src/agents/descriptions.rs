//! The worker of the agent: which one it is, how it describes itself, and when it counts as lost.

use std::cmp::Ordering;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{RunId, WorkerInfo, WorkerState, longest_lease};

use super::cores::Core;

/// Identity of one incarnation of a worker.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct WorkerId {
    id: Arc<str>,
    incarnation: u64,
}

impl WorkerId {
    pub(super) fn of(worker: &WorkerInfo) -> Self {
        Self {
            id: Arc::clone(&worker.id),
            incarnation: worker.incarnation,
        }
    }

    /// Returns whether two differ although they have the same identifier.
    pub(super) fn is_other_incarnation(&self, other: &Self) -> bool {
        self.id == other.id && self.incarnation != other.incarnation
    }

    /// Returns whether this is an earlier incarnation of the same worker.
    pub(super) fn is_before(&self, other: &Self) -> bool {
        self.id == other.id && self.incarnation < other.incarnation
    }

    /// Returns whether this is an incarnation of the worker with an identifier.
    pub(super) fn has_id(&self, id: &str) -> bool {
        *self.id == *id
    }
}

/// Session whose worker is lost.
#[derive(Clone, Debug)]
pub(super) struct LostSession {
    pub(super) id: u64,
    /// Whether the worker's process has ended without a planned end.
    pub(super) has_crashed: bool,
    /// Runs that may have been on the worker, each with whether that is certain. None if others may
    /// have been there, because the last lists could not be read in full.
    pub(super) runs: Option<Vec<(RunId, bool)>>,
}

impl Core {
    /// Applies a heartbeat of a worker.
    pub(super) fn on_heartbeat(&mut self, info: WorkerInfo) {
        // Delayed ones of an earlier incarnation are of no use once a later one has answered.
        let is_earlier = |answered: &WorkerId| WorkerId::of(&info).is_before(answered);
        if self.answered.as_ref().is_some_and(is_earlier) {
            return;
        }
        let Some(known) = &self.worker else {
            self.adopt_worker(info);
            return;
        };
        if known.id == info.id {
            match info.incarnation.cmp(&known.incarnation) {
                Ordering::Less => {}
                Ordering::Equal => {
                    self.has_worker_changed |= *known != info;
                    self.worker = Some(info);
                }
                Ordering::Greater => self.on_later_incarnation(info),
            }
            return;
        }
        let is_outdated = known.address == info.address && info.incarnation < known.incarnation;
        if is_outdated {
            return;
        }
        // A heartbeat of another worker may be delayed, or come from another writer. While the worker
        // answers probes, only they tell whether it has ended.
        self.note_successor(info);
    }

    /// Applies a heartbeat with the worker's identifier and a later incarnation. Another writer may have
    /// sent it, so that the next probe tells whether the worker has restarted.
    fn on_later_incarnation(&mut self, info: WorkerInfo) {
        // Once only: heartbeats that keep coming must not keep a silent worker from being given up.
        let is_known = self.successor.as_ref().is_some_and(|s| s.id == info.id);
        if !is_known {
            self.extend_stale_lease();
        }
        self.restart_announced_at = Some(self.now);
        self.note_successor(info);
    }

    /// Lets the next probe tell whether the worker has ended, if it has answered one; or replaces it.
    fn note_successor(&mut self, info: WorkerInfo) {
        match self
            .session
            .as_mut()
            .filter(|session| session.has_answered())
        {
            Some(session) => {
                session.next_probe_at = self.now;
                self.successor = Some(info);
            }
            None => self.replace_worker(info),
        }
    }

    /// Lets the next probe tell whether a worker that has deregistered has ended. The notice does not
    /// name the incarnation, so that it may be a delayed one of an earlier incarnation.
    pub(super) fn on_worker_left(&mut self, id: &Arc<str>) {
        self.successor.take_if(|successor| successor.id == *id);
        if self.worker.as_ref().is_none_or(|worker| worker.id != *id) {
            return;
        }
        self.log(format!("worker {id} has deregistered"));
        // Its end is planned, and nothing starts there any more unless it announces itself again.
        if let Some(worker) = &mut self.worker {
            worker.state = WorkerState::Draining;
            self.has_worker_changed = true;
        }
        match self.session.as_mut() {
            Some(session) => session.next_probe_at = self.now,
            None => self.worker = self.successor.take(),
        }
    }

    fn adopt_worker(&mut self, info: WorkerInfo) {
        self.restart_announced_at = None;
        self.worker = Some(info);
        self.has_worker_changed = true;
    }

    /// Records that a restarted worker with the same identifier may have been leased by a call that
    /// was meant for its earlier incarnation. The clock of that one was ahead, so that only the
    /// longest lease limits it.
    pub(super) fn extend_stale_lease(&mut self) {
        self.stale_lease_until = self.now + longest_lease(self.max_lease);
    }

    /// Replaces the worker by another one, or by its next incarnation, without a claim about the runs
    /// of the earlier one: they end with its lease, or with the complete report of the next session.
    fn replace_worker(&mut self, info: WorkerInfo) {
        self.log(format!(
            "worker {} incarnation={} takes the place of the agent's worker",
            info.id, info.incarnation
        ));
        self.end_session("another worker");
        self.worker_leased_until = Millis(0);
        self.adopt_worker(info);
    }

    /// Gives up a worker that has not answered, without a claim about its runs. Another writer may have
    /// announced it, and the next heartbeat of the real one is followed.
    pub(super) fn give_up_worker(&mut self) {
        self.restart_announced_at = None;
        if let Some(worker) = self.worker.take() {
            self.log(format!("worker {} has not answered: given up", worker.id));
        }
        self.end_session("the worker has not answered");
        if let Some(successor) = self.successor.take() {
            self.adopt_worker(successor);
        }
    }

    /// Records that the worker and all its runs are lost. `has_ended` tells whether its process is
    /// known to have ended although it has not deregistered: a crash, unless it was draining.
    pub(super) fn mark_worker_lost(&mut self, reason: &str, has_ended: bool) {
        let Some(worker) = self.worker.take() else {
            return;
        };
        self.log(format!("worker {} is lost: {reason}", worker.id));
        self.restart_announced_at = None;
        if let Some(session) = self.end_session("the worker is lost") {
            self.lost_session = Some(LostSession {
                id: session.id,
                runs: session
                    .unreadable
                    .is_empty()
                    .then(|| session.present_runs()),
                has_crashed: has_ended && worker.state == WorkerState::Ready,
            });
        }
        self.worker_leased_until = Millis(0);
        if let Some(successor) = self.successor.take() {
            self.adopt_worker(successor);
        }
    }

    /// Returns whether the next report of the session contains the worker's description: it has
    /// changed, and no other report in flight contains one. Reports may overtake each other, and the
    /// owner would keep the older description until the next change.
    pub(super) fn may_describe_worker(&self) -> bool {
        let is_in_flight = |number: u64| self.pending_reports.contains(&number);
        self.has_worker_changed && !self.last_description.is_some_and(is_in_flight)
    }
}

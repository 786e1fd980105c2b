//! Enforcement of the worker's lease while no owner replies.
//!
//! An owner that hears nothing starts the tasks of a worker elsewhere once the lease that it has granted
//! has ended. A worker that has restarted under its identifier may execute starts that were sent to its
//! earlier incarnation, and be leased for longer. Only the agent can know, so that it ends such runs
//! itself.

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, RunEnd, RunId, TAKEOVER_WAIT, WORKER_LEASE, WorkerInfo, longest_lease};

use super::cores::Core;
use super::descriptions::WorkerId;
use super::io::{AgentOutput, Inspection};
use super::late_starts::MAX_CALL_DELAY;

/// Time without a reply after which the agent acts on its own. The owner holds a report for up to 0.4 s.
const ISOLATION_DELAY: Millis = Millis(600);
/// The same once the granted lease is over, since the owner may give the worker up at any moment. An owner
/// that is well replies to a request for a session within some milliseconds.
const EXPIRED_DELAY: Millis = Millis(100);
/// Interval of inspections. `docs/platform.md` has the sum of all times until a run has ended, which must
/// be below that after which an owner gives the worker up.
const INSPECTION_INTERVAL: Millis = Millis(250);
/// Time before the end of the granted lease from which a complete report may come too late for the
/// owner to use it before it gives the worker up.
const REPORT_MARGIN: Millis = Millis(500);
/// Time that an inspection and the calls that it causes take until the runs have ended: the interval, the
/// time between two ticks and `stopMs`.
const END_MARGIN: Millis = Millis(500);
/// Margin after the end of a lease, since timers may fire late.
const LAPSE_MARGIN: Millis = Millis(150);

/// What the agent knows of the lease and of the reports that owners have received.
#[derive(Debug, Default)]
pub(super) struct Isolation {
    /// Worker that has answered in the last session in which one has.
    worker: Option<WorkerInfo>,
    /// Incarnation whose complete report an owner has received.
    reported: Option<WorkerId>,
    /// When the last session ended.
    ended_at: Millis,
    /// End of the lease that owners have granted, on the agent's clock.
    granted_until: Millis,
    /// When the first report was sent that no reply has followed.
    unanswered_since: Option<Millis>,
    next_inspection: Millis,
    /// Incarnation whose lease ends before a session is opened, and when it has ended.
    lapse: Option<(WorkerId, Millis)>,
    is_logged: bool,
}

impl Isolation {
    /// Records that a worker has answered the first probe of a session. One that this process has not met
    /// before may run what an earlier process has started, under a lease that was granted to that one.
    pub(super) fn note_answered(&mut self, worker: &WorkerInfo, now: Millis) {
        let is_known = self.worker.as_ref().is_some_and(|w| w.id == worker.id);
        if !is_known {
            self.granted_until = now + WORKER_LEASE;
            self.reported = Some(WorkerId::of(worker));
        }
        self.worker = Some(worker.clone());
    }

    /// Records that the session has ended.
    pub(super) fn note_ended(&mut self, now: Millis) {
        self.ended_at = now;
    }

    /// Records that another owner is in force.
    pub(super) fn note_owner_changed(&mut self) {
        self.note_reply();
    }

    /// Records that a report was sent.
    pub(super) fn note_sent(&mut self, now: Millis) {
        self.unanswered_since.get_or_insert(now);
    }

    /// Records that an owner has replied.
    pub(super) fn note_reply(&mut self) {
        self.unanswered_since = None;
        self.is_logged = false;
    }

    /// Records that an owner has granted a lease.
    pub(super) fn note_granted(&mut self, until: Millis) {
        self.granted_until = self.granted_until.max(until);
    }

    /// Records that an owner has received the complete report of a worker.
    pub(super) fn note_reported(&mut self, worker: &WorkerInfo) {
        self.reported = Some(WorkerId::of(worker));
    }

    /// Returns whether no owner replies, or the worker's lease has to end before one is asked for a session.
    fn is_active(&self, now: Millis) -> bool {
        let delay = match now + END_MARGIN >= self.granted_until {
            true => EXPIRED_DELAY,
            false => ISOLATION_DELAY,
        };
        let is_overdue = |since: Millis| now >= since + delay;
        let is_lapsing = self.lapse.as_ref().is_some_and(|(_, until)| now < *until);
        self.unanswered_since.is_some_and(is_overdue) || is_lapsing
    }

    /// Returns whether the lease of a worker has to end before a session is opened for it.
    pub(super) fn is_lapsing(&self, worker: Option<&WorkerInfo>, now: Millis) -> bool {
        let lapse = self.lapse.as_ref().filter(|(_, until)| now < *until);
        lapse.is_some_and(|(lapsing, _)| worker.is_some_and(|w| lapsing.has_id(&w.id)))
    }

    /// Returns whether an owner may start, or have started, the tasks of an incarnation elsewhere before it
    /// receives a complete report that is sent now. The lease of one that is reported is known to the
    /// owner; the next owner waits for [`TAKEOVER_WAIT`].
    fn may_be_given_up(&self, worker: &WorkerId, now: Millis) -> bool {
        let wait = match self.reported.as_ref() == Some(worker) {
            true => TAKEOVER_WAIT.since(WORKER_LEASE),
            false => Millis(0),
        };
        self.granted_until > Millis(0) && now + REPORT_MARGIN > self.granted_until + wait
    }

    /// Returns whether no lease of an owner covers the runs of an incarnation. If late calls may have leased
    /// it until `stale_until`, its runs do not end by themselves with the granted lease, and the calls
    /// that end them take some time.
    fn must_end_runs(&self, worker: &WorkerId, now: Millis, stale_until: Millis) -> bool {
        let margin = match now < stale_until {
            true => END_MARGIN,
            false => Millis(0),
        };
        self.reported.as_ref() != Some(worker) || now + margin >= self.granted_until
    }
}

impl Core {
    /// Inspects the worker of the last session while no owner replies. The token is above that of the last
    /// session, so that the incarnation which answers refuses its calls from then on.
    pub(super) fn inspect_worker(&mut self) {
        let now = self.now;
        let isolation = &mut self.isolation;
        // All calls of the last session, and the leases that they have set, are over by then.
        let over_at = isolation.ended_at + MAX_CALL_DELAY + longest_lease(self.max_lease);
        if self.session.is_some()
            || !isolation.is_active(now)
            || now < isolation.next_inspection
            || now > over_at
        {
            return;
        }
        let Some(worker) = isolation.worker.clone() else {
            return;
        };
        isolation.next_inspection = now + INSPECTION_INTERVAL;
        if !std::mem::replace(&mut isolation.is_logged, true) {
            let since = isolation.unanswered_since.unwrap_or(now);
            let text = format!(
                "no owner has replied for {} ms: enforcing the lease of worker {}, granted for {} ms more",
                now.since(since).0,
                worker.id,
                isolation.granted_until.since(now).0
            );
            self.log(text);
        }
        let token = self.inspection_token();
        self.outputs.push(AgentOutput::Inspect { token, worker });
    }

    /// Returns the token of the calls that the agent sends on its own. The next session has the same or a
    /// higher one.
    fn inspection_token(&self) -> u64 {
        self.last_session_id + 1
    }

    /// Ends the runs that no lease of an owner covers.
    pub(super) fn on_inspected(&mut self, token: u64, inspection: Inspection) {
        let now = self.now;
        let worker = self.isolation.worker.clone();
        let is_current = self.session.is_none() && token == self.inspection_token();
        let Some(mut worker) = worker.filter(|_| is_current) else {
            return;
        };
        worker.incarnation = inspection.incarnation;
        let id = WorkerId::of(&worker);
        if self
            .answered
            .as_ref()
            .is_some_and(|last| id.is_before(last))
        {
            return;
        }
        if self.answered.as_ref() != Some(&id) {
            let listed: Vec<RunId> = inspection.listed().collect();
            self.note_first_answer(&worker, inspection.worker_clock, &listed);
        }
        if !self
            .isolation
            .must_end_runs(&id, now, self.stale_lease_until)
        {
            return;
        }
        for status in inspection.running {
            let run = status.run;
            self.log(format!(
                "ending {run} on worker {} incarnation={}: no lease of an owner covers it",
                worker.id, worker.incarnation
            ));
            let worker = worker.clone();
            self.outputs
                .push(AgentOutput::EndRun { token, worker, run });
        }
    }

    /// Returns whether the lease of the worker has to end before its ends are reported, and drops the
    /// session then. An owner may have started the tasks of its ends as done again, which is only
    /// allowed if these ends are acknowledged after the lease, and so do not count.
    pub(super) fn must_lapse(&mut self, worker: &WorkerInfo, ended: &[RunEnd]) -> bool {
        let now = self.now;
        let leased_until = self.worker_leased_until.max(self.stale_lease_until);
        let is_done = |end: &RunEnd| end.kind == EndKind::Done;
        let id = WorkerId::of(worker);
        let must_lapse = now < leased_until
            && ended.iter().any(is_done)
            && self.isolation.may_be_given_up(&id, now);
        if must_lapse {
            self.isolation.lapse = Some((id, leased_until + LAPSE_MARGIN));
            self.end_session("tasks of the worker's ends may have started elsewhere");
            self.log(format!(
                "worker {} is not used for {} ms, until its lease has ended",
                worker.id,
                leased_until.since(now).0
            ));
        }
        must_lapse
    }
}

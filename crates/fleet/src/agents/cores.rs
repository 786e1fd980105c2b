//! Core of the agent: a state machine without I/O that renews the worker's lease (`leases.rs`),
//! applies orders and reports to the owner.

use std::collections::BTreeSet;

use hyssop_core::Millis;
use hyssop_jobs::{Order, Report, WORKER_LEASE, WorkerInfo};

use super::acknowledgements::Acknowledgements;
use super::canaries::Canaries;
use super::descriptions::{LostSession, WorkerId};
use super::io::{AgentInput, AgentOutput};
use super::isolations::Isolation;
use super::late_starts::LateStarts;
use super::reported_rows::do_ends_fit;
use super::sessions::Session;
use super::unreadable_rows::UnreadableRows;
use crate::{NumberedOrder, OwnerRecord, ReportReply, ReportRequest};

/// Consecutive failed probes after which the worker is reported as unresponsive.
const UNRESPONSIVE_PROBES: u32 = 1;
/// Maximum number of reports in flight: one that waits for orders, and one with updates.
const MAX_PENDING_REPORTS: usize = 2;
/// Delay after a report that failed.
const REPORT_RETRY_DELAY: Millis = Millis(100);
/// Time between two ticks, which are 50 ms apart, from which on the process counts as having stood still.
const MAX_TICK_GAP: Millis = Millis(500);
/// Interval at which the agent locates the owner, in case the one it reports to has lost the
/// ownership without noticing.
const LOCATE_INTERVAL: Millis = Millis(2_000);
/// The same interval while no owner is known.
const LOCATE_INTERVAL_NO_OWNER: Millis = Millis(200);
/// Minimum interval between reports that contain the list of runs.
const RUNS_INTERVAL: Millis = Millis(400);

/// Core of the agent.
#[derive(Debug, Default)]
pub struct Core {
    pub(super) now: Millis,
    pub(super) worker: Option<WorkerInfo>,
    /// Another worker that has announced itself. It takes the place of the worker once that is known
    /// to have ended.
    pub(super) successor: Option<WorkerInfo>,
    /// When the heartbeat of a later incarnation of the worker came that no probe has confirmed or
    /// disproved since. Until then, no orders and no acknowledgements are sent.
    pub(super) restart_announced_at: Option<Millis>,
    /// Number of the report that opens a session, and the worker that it is for. Another one may take
    /// its place meanwhile.
    opening: Option<(u64, WorkerId)>,
    /// Worker that has last answered the first probe of a session.
    pub(super) answered: Option<WorkerId>,
    /// Whether the worker's description changed since it was last sent to the owner.
    pub(super) has_worker_changed: bool,
    /// Number of the last report of a session that contains a description of the worker.
    pub(super) last_description: Option<u64>,
    owner: Option<OwnerRecord>,
    pub(super) session: Option<Session>,
    /// Number of the last session that was opened. A session that was dropped is not opened again.
    pub(super) last_session_id: u64,
    /// Latest end of a lease that was sent to the worker, on the agent's clock.
    pub(super) worker_leased_until: Millis,
    /// Longest lease that workers grant. Longer ones are shortened to it.
    pub(super) max_lease: Millis,
    /// Time after which a speed that the worker has confirmed is in force.
    pub(super) speed_delay: Millis,
    /// Time until which calls that were meant for an earlier incarnation may have leased the worker.
    pub(super) stale_lease_until: Millis,
    /// Unreadable rows of the worker's lists.
    pub(super) unreadable_rows: UnreadableRows,
    /// Session whose worker is lost, until the owner has acknowledged the loss.
    pub(super) lost_session: Option<LostSession>,
    /// Start calls that may still be executed.
    pub(super) late_starts: LateStarts,
    /// Acknowledgements that may still be executed.
    pub(super) acknowledgements: Acknowledgements,
    /// Runs that show whether the worker lists its ends.
    pub(super) canaries: Canaries,
    /// What counts while no owner replies.
    pub(super) isolation: Isolation,
    /// When the process last stood still.
    pub(super) resumed_at: Millis,
    /// When the latest report was sent that the owner has replied to.
    pub(super) replied_at: Millis,
    /// Numbers of the reports in flight.
    pub(super) pending_reports: BTreeSet<u64>,
    /// Number of the last report that was sent.
    pub(super) last_report_number: u64,
    next_report_at: Millis,
    /// When the last search for the owner ended. A search is due at once if there is none.
    pub(super) located_at: Option<Millis>,
    is_locating: bool,
    pub(super) outputs: Vec<AgentOutput>,
}

impl Core {
    /// Creates the core of an agent without a worker and an owner.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the longest lease that workers grant.
    #[must_use]
    pub const fn with_max_lease(mut self, max_lease: Millis) -> Self {
        self.max_lease = max_lease;
        self
    }

    /// Sets the time after which a speed that the worker has confirmed is in force.
    #[must_use]
    pub const fn with_speed_delay(mut self, speed_delay: Millis) -> Self {
        self.speed_delay = speed_delay;
        self
    }

    /// Applies the inputs and the passing of time, and returns the actions for the driver.
    pub fn tick(&mut self, now: Millis, inputs: Vec<AgentInput>) -> Vec<AgentOutput> {
        if now > self.now + MAX_TICK_GAP {
            self.resumed_at = now;
        }
        self.now = now;
        self.late_starts.expire(now);
        self.acknowledgements.expire(now);
        for input in inputs {
            self.handle(input);
        }
        self.check_lease();
        self.locate_owner();
        self.probe_worker();
        self.inspect_worker();
        self.send_orders();
        self.send_report();
        std::mem::take(&mut self.outputs)
    }

    /// Returns the number of the current session, if there is one.
    #[must_use]
    pub fn session(&self) -> Option<u64> {
        self.session.as_ref().map(|session| session.id)
    }

    /// Returns the worker that calls are meant for, if one has announced itself.
    #[must_use]
    pub const fn worker(&self) -> Option<&WorkerInfo> {
        self.worker.as_ref()
    }

    fn handle(&mut self, input: AgentInput) {
        self.acknowledgements.note_input(&input, self.now);
        match input {
            AgentInput::Heartbeat(info) => self.on_heartbeat(info),
            AgentInput::WorkerLeft(id) => self.on_worker_left(&id),
            AgentInput::OwnerLocated(owner) => self.on_owner_located(owner),
            AgentInput::ReportAnswered {
                epoch,
                sent_at,
                number,
                reply,
            } => {
                // It counted as failed. Its answer may be that its own session is closed.
                if !self.pending_reports.remove(&number) {
                    return;
                }
                if self
                    .owner
                    .as_ref()
                    .is_some_and(|owner| owner.epoch == epoch)
                {
                    self.on_report_reply(sent_at, number, reply);
                }
            }
            AgentInput::ReportFailed { epoch, number } => {
                // It counted as failed with an earlier one, and the session was dropped then.
                if !self.pending_reports.contains(&number) {
                    return;
                }
                // All reports in flight use the same connection and count as failed. Their contents
                // may be lost, so that the next session starts with a complete report.
                self.pending_reports.clear();
                if self
                    .owner
                    .as_ref()
                    .is_some_and(|owner| owner.epoch == epoch)
                {
                    self.end_session("a report got no reply");
                    self.next_report_at = self.now + REPORT_RETRY_DELAY;
                    // Makes the next search for the owner due at once.
                    self.located_at = self.located_at.map(|at| at.since(LOCATE_INTERVAL));
                }
            }
            AgentInput::Probed {
                session,
                sent_at,
                worker_clock,
                running,
                ended,
                unreadable,
            } => {
                self.on_probed(session, sent_at, worker_clock, running, ended, unreadable);
            }
            AgentInput::Inspected { token, inspection } => self.on_inspected(token, inspection),
            AgentInput::ProbeFailed { session, error } => self.on_probe_failed(session, error),
            AgentInput::Started {
                session,
                run,
                result,
                worker_clock,
            } => {
                let is_known =
                    self.late_starts
                        .note_result(session, run, result, worker_clock, self.now);
                self.on_started(session, run, result, is_known);
            }
            AgentInput::Stopped {
                session,
                run,
                is_answered,
            } => self.on_stopped(session, run, is_answered),
            AgentInput::SpeedSet {
                session,
                run,
                percent,
                result,
            } => self.on_speed_set(session, run, percent, result),
        }
    }

    fn on_owner_located(&mut self, owner: Option<OwnerRecord>) {
        self.is_locating = false;
        self.located_at = Some(self.now);
        let Some(owner) = owner.filter(|owner| !owner.has_resigned) else {
            return;
        };
        let known = self.owner.as_ref().map_or(0, |known| known.epoch);
        if owner.epoch > known {
            self.log(format!("owner is {} epoch={}", owner.node, owner.epoch));
            self.end_session("another owner");
            self.isolation.note_owner_changed();
            self.lost_session = None;
            self.pending_reports.clear();
            self.next_report_at = Millis(0);
            self.owner = Some(owner);
        }
    }

    fn on_report_reply(&mut self, sent_at: Millis, number: u64, reply: ReportReply) {
        if !reply.is_owner {
            self.next_report_at = self.now + REPORT_RETRY_DELAY;
            // Makes the next search for the owner due at once.
            self.located_at = self.located_at.map(|at| at.since(LOCATE_INTERVAL));
            return;
        }
        if let Some(owner) = self
            .owner
            .as_mut()
            .filter(|owner| owner.epoch < reply.epoch)
        {
            // The same process has become the owner again in a later epoch.
            owner.epoch = reply.epoch;
        }
        self.replied_at = self.replied_at.max(sent_at);
        self.isolation.note_reply();
        let Some(id) = reply.session else {
            self.lost_session = None;
            self.end_session("the owner has closed it");
            return;
        };
        if self.lost_session.as_ref().is_some_and(|lost| lost.id == id) {
            return;
        }
        if id > self.last_session_id {
            let worker = self.worker.as_ref().map(WorkerId::of);
            let opened = self.opening.take_if(|(opening, _)| *opening == number);
            if opened.is_none_or(|(_, opening)| Some(opening) != worker) {
                return;
            }
            self.log(format!("session {id} opened"));
            self.session = Some(Session::new(id, self.now));
            self.last_session_id = id;
            // Another request to open a session, with an older description, may have overtaken the
            // last one.
            self.has_worker_changed = true;
        }
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        if reply.is_lease_renewed {
            session.lease_until = session.lease_until.max(sent_at + WORKER_LEASE);
            self.isolation.note_granted(session.lease_until);
        }
        if let Some(worker) = &self.worker
            && session.complete_report == Some(number)
        {
            self.isolation.note_reported(worker);
        }
        session.acknowledged_end = session.acknowledged_end.max(reply.acknowledged_end);
        for NumberedOrder { number, order } in reply.orders {
            // Replies may overtake each other. Orders that were skipped are sent again.
            let Some(session) = &mut self.session else {
                return;
            };
            if number == session.applied_order + 1 {
                session.applied_order = number;
                self.apply_order(order);
            }
        }
    }

    /// Applies an order to the session. The agent paces and stops canaries itself, so that other orders for
    /// one that may have started do not count. On a worker that may hide ends, a run that is to be stopped
    /// is treated as a canary, since it may end as done before the stop reaches it.
    fn apply_order(&mut self, order: Order) {
        let (Some(session), Some(worker)) = (&mut self.session, &self.worker) else {
            return;
        };
        let run = order.run();
        match &order {
            Order::Start(_) => {}
            Order::Canary(_) => self.canaries.add(run, worker),
            Order::Stop(_) if !self.canaries.contains(run) => {
                if session.lists(run) && self.acknowledgements.may_hide_ends(worker) {
                    self.canaries.add_listed(run, worker, self.now);
                    session.set_speed(run, 0);
                    return;
                }
            }
            _ if !self.canaries.contains(run) => {}
            Order::Pace(..) => return,
            Order::Stop(_) if self.canaries.has_started(run) || session.has_sent_start(run) => {
                return;
            }
            Order::Stop(_) => self.canaries.remove(run),
        }
        session.apply_order(order);
    }

    fn locate_owner(&mut self) {
        let interval = if self.owner.is_some() {
            LOCATE_INTERVAL
        } else {
            LOCATE_INTERVAL_NO_OWNER
        };
        let is_due = self.located_at.is_none_or(|at| self.now >= at + interval);
        if is_due && !self.is_locating {
            self.is_locating = true;
            self.outputs.push(AgentOutput::LocateOwner);
        }
    }

    fn send_report(&mut self) {
        let now = self.now;
        let Some(owner) = self.owner.clone() else {
            return;
        };
        if now < self.next_report_at
            || self.pending_reports.len() >= MAX_PENDING_REPORTS
            || self.isolation.is_lapsing(self.worker.as_ref(), now)
        {
            return;
        }
        let is_idle = self.pending_reports.is_empty();
        let request = if let Some(lost) = &self.lost_session {
            let report = Report {
                is_dead: true,
                has_crashed: lost.has_crashed,
                crashed_runs: lost.runs.clone().filter(|_| lost.has_crashed),
                late_starts: self.late_starts.list_all(now),
                answered_starts: self.late_starts.answered_runs(),
                ..Report::default()
            };
            is_idle.then(|| ReportRequest {
                session: Some(lost.id),
                report,
                ..ReportRequest::default()
            })
        } else if self.session.is_none() {
            let worker = self.worker.clone();
            worker.filter(|_| is_idle).map(|worker| ReportRequest {
                worker: Some(worker),
                ..ReportRequest::default()
            })
        } else {
            self.session_report(is_idle)
        };
        let Some(request) = request else { return };
        self.last_report_number += 1;
        if request.session.is_none()
            && let Some(worker) = &request.worker
        {
            self.opening = Some((self.last_report_number, WorkerId::of(worker)));
        }
        if request.report.is_complete
            && let Some(session) = &mut self.session
        {
            session.complete_report = Some(self.last_report_number);
        }
        if request.session.is_some() && request.worker.is_some() {
            self.last_description = Some(self.last_report_number);
        }
        self.pending_reports.insert(self.last_report_number);
        self.isolation.note_sent(now);
        self.outputs.push(AgentOutput::SendReport {
            owner,
            number: self.last_report_number,
            request: Box::new(request),
        });
    }

    /// Returns the next report of the session, if there are updates or no report is waiting for
    /// orders.
    fn session_report(&mut self, is_idle: bool) -> Option<ReportRequest> {
        let now = self.now;
        let may_describe = self.may_describe_worker();
        let is_lease_denied = self.unreadable_rows.is_lease_denied(now);
        let worker = self.worker.clone()?;
        let lease_remaining = self.lease_remaining();
        let may_hide_ends = self.acknowledgements.may_hide_ends(&worker);
        let session = self.session.as_mut()?;
        session.worker_clock?;
        let is_first = !session.has_reported_fully;
        let has_updates = session.has_updates() || may_describe || is_first;
        if !has_updates && !is_idle {
            return None;
        }
        let includes_runs =
            is_first || (session.has_new_runs && now >= session.runs_sent_at + RUNS_INTERVAL);
        if includes_runs {
            session.has_new_runs = false;
            session.runs_sent_at = now;
        }
        session.has_reported_fully = true;
        let is_partial = session.is_list_partial || !do_ends_fit(&session.ended);
        session.needs_complete_report |= is_first && is_partial;
        let oversized = session.find_oversized();
        session.reported_end = session
            .ended
            .last()
            .map_or(session.reported_end, |end| end.number);
        let (late_starts, void_starts) = self.late_starts.list(&worker, now, is_first);
        let mut refused = session.take_refused();
        if is_first {
            // Another owner than the one that was told may have taken over.
            refused.extend(self.canaries.unknown_ends());
        }
        let report = Report {
            running: includes_runs.then(|| session.reported_runs()),
            is_complete: is_first,
            ended: session.reported_ends(),
            refused,
            is_dead: false,
            has_more_ends: is_partial,
            has_crashed: false,
            crashed_runs: None,
            late_starts,
            void_starts,
            answered_starts: self.late_starts.answered_runs(),
            lease_remaining: match is_first {
                true => lease_remaining,
                false => Millis(0),
            },
            is_unresponsive: session.failed_probes >= UNRESPONSIVE_PROBES || is_lease_denied,
            may_hide_ends,
            unsettled_starts: match is_first {
                true => self.canaries.unsettled().to_vec(),
                false => Vec::new(),
            },
        };
        let worker = may_describe.then_some(worker);
        self.has_worker_changed &= !may_describe;
        let request = ReportRequest {
            session: Some(session.id),
            worker,
            applied_order: session.applied_order,
            report,
        };
        if let Some(run) = oversized {
            self.log(format!(
                "checkpoint of {run} is too large for a report: not sent"
            ));
        }
        Some(request)
    }

    /// Ends the session, if there is one. Its calls may still be executed, and the log line names the
    /// starts among them.
    pub(super) fn end_session(&mut self, reason: &str) -> Option<Session> {
        let session = self.session.take()?;
        self.isolation.note_ended(self.now);
        let open = self.late_starts.describe(self.now);
        self.log(format!("session {} ended: {reason}; {open}", session.id));
        Some(session)
    }

    pub(super) fn log(&mut self, text: String) {
        self.outputs.push(AgentOutput::Log(text));
    }
}

//! Probes of the worker, and the lease that they renew.

use hyssop_core::Millis;
use hyssop_jobs::{RunEnd, RunId, RunStatus, WORKER_LEASE, WorkerInfo, longest_lease};
use hyssop_platform::UnreadableRow;

use super::canaries::Lists;
use super::cores::Core;
use super::descriptions::WorkerId;
use super::io::{AgentOutput, ProbeError};
use super::reported_rows::do_ends_fit;
use super::sessions::{Lease, MAX_LISTED_ENDS};

/// Maximum time that one probe waits for the end of a run. It is also the interval at which the
/// worker's lease is renewed.
const MAX_PROBE_WAIT: Millis = Millis(500);
/// The same while there are canaries, each of which keeps a task from running.
const CANARY_PROBE_WAIT: Millis = Millis(50);
/// Delay after a failed probe.
const PROBE_RETRY_DELAY: Millis = Millis(150);
/// Delay after a probe that returned at once because of ends that are known already or unreadable.
const KNOWN_END_DELAY: Millis = Millis(25);
/// Margin after the end of a lease before the worker's runs count as lost, since timers may fire
/// late.
const LEASE_EXPIRY_MARGIN: Millis = Millis(150);

impl Core {
    pub(super) fn on_probed(
        &mut self,
        id: u64,
        sent_at: Millis,
        worker_clock: Millis,
        running: Vec<RunStatus>,
        ended: Vec<RunEnd>,
        unreadable: Vec<UnreadableRow>,
    ) {
        let now = self.now;
        let session = self.session.as_ref().filter(|session| session.id == id);
        let (Some(session), Some(worker)) = (session, self.worker.clone()) else {
            return;
        };
        if !session.has_answered() {
            let listed = running.iter().map(|status| status.run);
            let listed: Vec<RunId> = listed.chain(ended.iter().map(|end| end.run)).collect();
            self.note_first_answer(&worker, worker_clock, &listed);
            self.isolation.note_answered(&worker, now);
            if self.must_lapse(&worker, &ended) {
                return;
            }
        }
        self.note_acknowledged(&worker, sent_at, &ended, unreadable.is_empty());
        let Some(session) = self.session.as_mut() else {
            return;
        };
        session.failed_probes = 0;
        // The worker that was announced has not taken its place.
        self.restart_announced_at.take_if(|at| sent_at > *at);
        // Lists that may lack rows do not show whether a run is there.
        if unreadable.is_empty() && ended.len() < MAX_LISTED_ENDS {
            self.late_starts.note_probed(sent_at);
        }
        let listed = running.iter().map(|status| status.run);
        for run in listed.chain(ended.iter().map(|end| end.run)) {
            self.late_starts.note_listed(run);
        }
        if !session.probes.answer(now, sent_at) {
            return;
        }
        let unreadable_ends = unreadable.iter().filter(|row| row.end_before.is_some());
        let listed_ends = ended.len() + unreadable_ends.count();
        let worker = WorkerId::of(&worker);
        if !session.unreadable.is_empty() && session.has_passed_over(&ended) {
            self.end_session("ends of the worker are listed after later ones were reported");
            return;
        }
        session.unreadable = self.unreadable_rows.update(now, worker, unreadable);
        // A probe returns at once while there is an unacknowledged end.
        let last = |ends: &[RunEnd]| ends.last().map(|end| end.number);
        let is_known = listed_ends > 0 && last(&ended) <= last(&session.ended);
        session.next_probe_at = if is_known { now + KNOWN_END_DELAY } else { now };
        session.worker_clock = Some((worker_clock, now));
        // A complete report that lacked ends is repeated in another session once they are listed.
        session.is_list_partial = listed_ends >= MAX_LISTED_ENDS || !session.unreadable.is_empty();
        let is_complete = !session.is_list_partial && do_ends_fit(&ended);
        if is_complete && session.needs_complete_report {
            self.end_session("all runs and ends of the worker are listed again");
            return;
        }
        let lists = Lists {
            running: &running,
            ended: &ended,
            is_complete: !session.is_list_partial,
            sent_at,
            received_at: now,
        };
        let awaits = |run| session.awaits(run);
        let steps = self.canaries.note_lists(id, &lists, awaits);
        session.advance_canaries(&steps);
        session.check_expected(sent_at, &running, &ended, &self.late_starts);
        session.drop_executed_starts(&running, &ended);
        session.runs = running;
        session.ended = ended;
        session.has_new_runs = true;
        if !session.is_list_partial {
            session.forget_speeds_of_ended_runs();
        }
        for run in steps.unsettled {
            self.log(format!(
                "late start of {run} may have been executed, and its end hidden"
            ));
        }
        for (run, refusal) in steps.hidden {
            self.log(format!(
                "canary {run} is gone without a listed end: {refusal:?}"
            ));
        }
    }

    /// Applies the first answer of a session, whose token voids the calls of all earlier ones. `listed` are
    /// the runs in the worker's lists.
    pub(super) fn note_first_answer(
        &mut self,
        worker: &WorkerInfo,
        clock: Millis,
        listed: &[RunId],
    ) {
        for run in self.late_starts.list_executed(worker, listed) {
            self.log(format!(
                "worker {} incarnation={} has executed {run}, whose start was sent to an earlier \
                 incarnation",
                worker.id, worker.incarnation
            ));
        }
        self.late_starts.note_answer(worker);
        self.canaries.note_answer(worker);
        let answered = Some(WorkerId::of(worker));
        if self.answered == answered {
            return;
        }
        self.answered = answered;
        // Until now, calls for an earlier incarnation may have leased the worker.
        self.stale_lease_until = self.now + longest_lease(self.max_lease);
        self.log(format!(
            "worker {} incarnation={} has answered clock_ms={clock}",
            worker.id, worker.incarnation
        ));
        let now = self.now;
        let may_hide_ends = self.acknowledgements.note_incarnation(worker, clock, now);
        self.canaries.note_incarnation(match may_hide_ends {
            true => self.late_starts.list_unsettled(worker, listed),
            false => Vec::new(),
        });
        if may_hide_ends {
            self.log(format!(
                "worker {} has restarted and may hide ends: an acknowledgement for its earlier \
                 incarnation was not answered",
                worker.id
            ));
        }
    }

    /// Applies what a list of ends shows of acknowledgements.
    fn note_acknowledged(
        &mut self,
        worker: &WorkerInfo,
        sent_at: Millis,
        ended: &[RunEnd],
        is_readable: bool,
    ) {
        self.acknowledgements.note_probed(worker, sent_at);
        if is_readable {
            self.acknowledgements.note_list(worker, sent_at, ended);
        }
        if !ended.is_empty() && self.acknowledgements.note_listed_end(worker) {
            self.log(format!(
                "worker {} lists an end, so that it hides no later ones",
                worker.id
            ));
        }
    }

    pub(super) fn on_probe_failed(&mut self, id: u64, error: ProbeError) {
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        let is_silent = session.probes.fail();
        session.next_probe_at = self.now + PROBE_RETRY_DELAY;
        match error {
            ProbeError::Lost => self.mark_worker_lost("no longer at its address", true),
            ProbeError::Restarted => {
                // The later incarnation has the same identifier and may have executed calls that were
                // meant for the earlier one. Its complete report shows which runs it has.
                self.end_session("another incarnation of the worker has answered");
                self.restart_announced_at = None;
                self.extend_stale_lease();
                self.worker_leased_until = Millis(0);
                self.worker = self.successor.take();
                self.has_worker_changed = true;
            }
            ProbeError::Fenced => {
                self.end_session("it is fenced by a later owner");
                self.located_at = None;
            }
            ProbeError::NoResponse => session.failed_probes += u32::from(is_silent),
        }
    }

    /// Marks a worker that does not respond, or whose lists cannot be read, as lost once the last lease
    /// that it was sent has ended. If this process has sent none, an earlier one may have, up to the
    /// first answer of the session. A worker that has never answered is given up without a claim about
    /// its runs.
    pub(super) fn check_lease(&mut self) {
        let Some(session) = &self.session else {
            return;
        };
        let has_answered = session.has_answered();
        if session.failed_probes > 0 {
            let sent_until = match (self.worker_leased_until, session.worker_clock) {
                (Millis(0), Some((_, answered_at))) => answered_at + longest_lease(self.max_lease),
                (Millis(0), None) => {
                    if self.now > session.opened_at + WORKER_LEASE {
                        self.give_up_worker();
                    }
                    return;
                }
                (sent_until, _) => sent_until,
            };
            if self.now > sent_until.max(self.stale_lease_until) + LEASE_EXPIRY_MARGIN {
                self.mark_worker_lapsed("it does not respond and its lease has ended");
                return;
            }
        }
        let leased_until = self.worker_leased_until.max(self.stale_lease_until);
        let lapse_end = self.unreadable_rows.lapse_end().filter(|_| has_answered);
        if let Some(lapse_end) = lapse_end
            && self.now > leased_until.max(lapse_end) + LEASE_EXPIRY_MARGIN
        {
            let worker = self.worker.clone();
            self.mark_worker_lapsed("its lists cannot be read and its lease has ended");
            // Its process still runs, and its next lists are proofs again.
            if self.worker.is_none() {
                self.worker = worker;
                self.has_worker_changed = true;
            }
        }
    }

    fn mark_worker_lapsed(&mut self, reason: &str) {
        if let Some(worker) = &self.worker {
            self.unreadable_rows.record_lapse(WorkerId::of(worker));
        }
        self.mark_worker_lost(reason, false);
    }

    /// Returns the lease to send to the worker, or none if it has ended or may not be renewed.
    pub(super) fn worker_lease(&self) -> Option<Lease> {
        let session = self.session.as_ref()?;
        let lease = session.worker_lease(self.now, self.worker_leased_until);
        lease.filter(|_| !self.unreadable_rows.is_lease_denied(self.now))
    }

    /// Returns the longest time for which the worker may still hold a lease.
    pub(super) fn lease_remaining(&self) -> Millis {
        let until = self.worker_leased_until.max(self.stale_lease_until);
        until.since(self.now)
    }

    pub(super) fn probe_worker(&mut self) {
        let now = self.now;
        let lease = self.worker_lease();
        let (Some(session), Some(worker)) = (self.session.as_mut(), &self.worker) else {
            return;
        };
        if self.acknowledgements.is_in_flight(session.id) {
            return;
        }
        let is_refresh = session.probes.is_refresh_due(now) && !self.canaries.is_empty();
        let is_hedge = session.probes.is_hedge_due(now) || is_refresh;
        let is_due = !session.probes.is_waiting() && now >= session.next_probe_at;
        if !is_due && !is_hedge {
            return;
        }
        if let Some(lease) = lease {
            self.worker_leased_until = self.worker_leased_until.max(lease.until);
        }
        // The first probe reads the worker's clock. Its fencing token voids the orders of earlier
        // sessions. After a failed probe, the next one does not wait either, so that it fails sooner
        // if it gets no response.
        let is_urgent = session.worker_clock.is_none()
            || !session.has_reported_fully
            || session.failed_probes > 0
            || is_hedge;
        let id = session.id;
        // After a probe without an answer, the next one may reach a later incarnation, which counts its
        // ends anew. An answer to an earlier probe does not rule that out.
        let may_acknowledge = session.probes.is_empty()
            && session.probes.is_last_answered()
            && self.restart_announced_at.is_none()
            && self.acknowledgements.is_due(now);
        let due_end = match may_acknowledge {
            true => session.end_to_acknowledge(&self.late_starts),
            false => 0,
        };
        // A later incarnation may execute a start and then an acknowledgement that hides its end. A probe
        // between the two shows that the intended one has received the start.
        let is_after_starts = !self.late_starts.has_in_flight()
            && self
                .acknowledgements
                .is_after_starts(session.probes.last_answered());
        let is_delayed = due_end > 0 && !is_after_starts;
        self.acknowledgements.note_delay(is_delayed, now);
        let acknowledged_end = if is_delayed { 0 } else { due_end };
        if acknowledged_end > 0 {
            let listed = &session.ended;
            self.acknowledgements
                .note_sent(id, worker, acknowledged_end, listed, now);
        }
        // One with an acknowledgement is in flight as shortly as possible.
        let wait = match is_urgent || acknowledged_end > 0 {
            true => Millis(0),
            false if !self.canaries.is_empty() => CANARY_PROBE_WAIT,
            false => MAX_PROBE_WAIT,
        };
        session.probes.send(now, wait);
        self.outputs.push(AgentOutput::Probe {
            session: id,
            lease: lease.map(|lease| lease.worker_until),
            acknowledged_end,
            wait,
        });
    }
}

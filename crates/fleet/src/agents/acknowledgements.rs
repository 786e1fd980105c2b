//! Acknowledgements of ends, which a later incarnation of the worker may execute as well.
//!
//! A worker that restarts under its identifier counts its ends anew and executes calls that were meant
//! for its earlier incarnation until the first probe of a later session reaches it. An acknowledgement
//! among them hides ends of the later incarnation: those that exist when it arrives, or all up to its
//! number.

use hyssop_core::Millis;
use hyssop_jobs::{RunEnd, WorkerInfo, slowest_time};
use smallvec::SmallVec;

use super::descriptions::WorkerId;
use super::io::{AgentInput, ProbeError, SpeedError, StartError};
use super::late_starts::MAX_CALL_DELAY;

/// Minimum time since the last acknowledgement, and since the first loss after it, while calls to the
/// worker get lost. Each acknowledgement may be executed late, and so may a lost start before it. The
/// users count ends that are not acknowledged within 4 s.
const SPARSE_INTERVAL: Millis = Millis(3_000);
/// Time after which an acknowledgement counts as unanswered. The driver gives up a probe that does not
/// wait for an end after 0.7 s.
const MAX_ANSWER_TIME: Millis = Millis(1_000);
/// Time for which starts may delay an acknowledgement. No further ones are sent after that,
/// since a steady flow of starts would delay it without end.
const MAX_START_PRIORITY: Millis = Millis(200);

/// Acknowledgement that was sent.
#[derive(Debug)]
struct Call {
    session: u64,
    worker: WorkerId,
    number: u64,
    /// End that was listed when the call was sent, and that no earlier one can have removed. Once the
    /// worker does not list it any more, the call was executed.
    proof: Option<u64>,
    sent_at: Millis,
}

/// Acknowledgements to the worker. They outlive the session, since its end does not undo them.
#[derive(Debug, Default)]
pub(super) struct Acknowledgements {
    in_flight: Option<Call>,
    /// Those that may be executed late, in the order of their sending. One whose time is over is kept until
    /// a probe shows that no other incarnation was there before.
    unanswered: SmallVec<[Call; 2]>,
    last_sent_at: Option<Millis>,
    /// When a call to the worker was last found to have no answer.
    call_lost_at: Option<Millis>,
    /// When the first call was found to have no answer since the last acknowledgement was sent.
    loss_began_at: Option<Millis>,
    /// When the last start call ended.
    start_ended_at: Option<Millis>,
    /// Since when starts delay an acknowledgement.
    delayed_since: Option<Millis>,
    /// Incarnation whose ends may be hidden.
    hidden: Option<WorkerId>,
}

impl Acknowledgements {
    /// Returns whether an acknowledgement may be sent beside other calls.
    pub(super) fn is_due(&self, now: Millis) -> bool {
        let is_after = |at: Option<Millis>, interval| at.is_none_or(|at| now >= at + interval);
        self.in_flight.is_none()
            && (is_after(self.call_lost_at, MAX_CALL_DELAY)
                || is_after(self.last_sent_at.max(self.loss_began_at), SPARSE_INTERVAL))
    }

    /// Returns whether an acknowledgement of a session is in flight. No other probe is sent beside it.
    pub(super) fn is_in_flight(&self, session: u64) -> bool {
        let call = self.in_flight.as_ref();
        call.is_some_and(|call| call.session == session)
    }

    /// Returns whether starts may be sent in a session, of which a probe that was sent at `probed_at` is
    /// the last to be answered. After an acknowledgement without an answer, only a later probe shows that
    /// the worker has not restarted, and that it does not receive the acknowledgement after the start.
    pub(super) fn allows_starts(&self, session: u64, probed_at: Millis, now: Millis) -> bool {
        let delayed_until = self.delayed_since.map(|since| since + MAX_START_PRIORITY);
        let mut unanswered = self.unanswered.iter();
        !self.is_in_flight(session)
            && delayed_until.is_none_or(|until| now < until)
            && unanswered.all(|call| call.session != session || probed_at > call.sent_at)
    }

    /// Returns whether a probe that was sent at this time shows who has answered the last start call. An
    /// answer to a start does not name the incarnation.
    pub(super) fn is_after_starts(&self, probed_at: Millis) -> bool {
        self.start_ended_at.is_none_or(|at| probed_at > at)
    }

    /// Records whether starts delay an acknowledgement that is due.
    pub(super) fn note_delay(&mut self, is_delayed: bool, now: Millis) {
        self.delayed_since = is_delayed.then(|| self.delayed_since.unwrap_or(now));
    }

    /// Records that the ends up to a number are acknowledged to a worker, which lists these ends.
    pub(super) fn note_sent(
        &mut self,
        session: u64,
        worker: &WorkerInfo,
        number: u64,
        listed: &[RunEnd],
        now: Millis,
    ) {
        let worker = WorkerId::of(worker);
        let others = self.unanswered.iter();
        let others = others.filter(|call| call.worker == worker);
        let earlier = others.map(|call| call.number).max().unwrap_or(0);
        let listed = listed.iter().map(|end| end.number);
        self.last_sent_at = Some(now);
        self.loss_began_at = None;
        self.in_flight = Some(Call {
            session,
            worker,
            number,
            proof: listed
                .filter(|end| (earlier + 1..=number).contains(end))
                .max(),
            sent_at: now,
        });
    }

    /// Applies the result of a call to the worker.
    pub(super) fn note_input(&mut self, input: &AgentInput, now: Millis) {
        let is_lost = match input {
            AgentInput::Probed { session, .. } => {
                self.note_result(*session, Ok(()));
                false
            }
            AgentInput::ProbeFailed { session, error } => {
                self.note_result(*session, Err(*error));
                *error == ProbeError::NoResponse
            }
            AgentInput::Started { result, .. } => {
                self.start_ended_at = Some(now);
                *result == Err(StartError::Unknown)
            }
            AgentInput::Stopped { is_answered, .. } => !is_answered,
            AgentInput::SpeedSet { result, .. } => *result == Err(SpeedError::Unknown),
            _ => false,
        };
        if is_lost {
            self.call_lost_at = Some(now);
            self.loss_began_at.get_or_insert(now);
        }
    }

    /// Applies the result of a probe. No other probe of its session is in flight beside an
    /// acknowledgement.
    fn note_result(&mut self, session: u64, result: Result<(), ProbeError>) {
        let Some(call) = self.in_flight.take_if(|call| call.session == session) else {
            return;
        };
        match result {
            // The worker has executed it, or no process will.
            Ok(()) | Err(ProbeError::Lost | ProbeError::Fenced) => {}
            Err(ProbeError::NoResponse | ProbeError::Restarted) => self.unanswered.push(call),
        }
    }

    /// Records which acknowledgements count as unanswered.
    pub(super) fn expire(&mut self, now: Millis) {
        let is_overdue = |call: &mut Call| now > call.sent_at + MAX_ANSWER_TIME;
        if let Some(call) = self.in_flight.take_if(is_overdue) {
            self.unanswered.push(call);
        }
    }

    /// Records that a worker has answered a probe that was sent at this time. Forgets the acknowledgements to
    /// its incarnation that no process can have executed after that.
    pub(super) fn note_probed(&mut self, worker: &WorkerInfo, sent_at: Millis) {
        let worker = WorkerId::of(worker);
        let is_over =
            |call: &Call| call.worker == worker && sent_at > call.sent_at + MAX_CALL_DELAY;
        self.unanswered.retain(|call| !is_over(call));
    }

    /// Records that an incarnation has answered its first probe, whose token voids all earlier calls.
    /// Returns whether its ends may be hidden: between its start, which its clock tells, and now, it may
    /// have received an acknowledgement that was meant for another incarnation. A clock that does not start
    /// at 0 makes it seem older, which can only add such incarnations.
    pub(super) fn note_incarnation(
        &mut self,
        worker: &WorkerInfo,
        clock: Millis,
        now: Millis,
    ) -> bool {
        let worker = WorkerId::of(worker);
        let born_at = now.since(slowest_time(clock));
        let mut calls = self.unanswered.iter().chain(&self.in_flight);
        let is_hidden = calls.any(|call| {
            call.worker.is_other_incarnation(&worker) && born_at <= call.sent_at + MAX_CALL_DELAY
        });
        self.unanswered
            .retain(|call| now <= call.sent_at + MAX_CALL_DELAY);
        self.hidden = is_hidden.then_some(worker);
        is_hidden
    }

    /// Applies a list of ends that answers a probe and can be read in full. Forgets the last
    /// acknowledgement if the list shows that it was executed: only one call was sent.
    pub(super) fn note_list(&mut self, worker: &WorkerInfo, sent_at: Millis, ended: &[RunEnd]) {
        let is_removed = |number: u64| ended.iter().all(|end| end.number != number);
        let is_executed = |call: &Call| {
            call.worker == WorkerId::of(worker)
                && self.last_sent_at == Some(call.sent_at)
                && sent_at >= call.sent_at
                && call.proof.is_some_and(is_removed)
        };
        if self.unanswered.last().is_some_and(is_executed) {
            self.unanswered.pop();
        }
    }

    /// Records that a worker has listed an end, so that it lists all later ones. Returns whether they
    /// might have been hidden until now.
    pub(super) fn note_listed_end(&mut self, worker: &WorkerInfo) -> bool {
        let worker = WorkerId::of(worker);
        self.hidden.take_if(|hidden| *hidden == worker).is_some()
    }

    /// Returns whether ends of a worker may be hidden.
    pub(super) fn may_hide_ends(&self, worker: &WorkerInfo) -> bool {
        let hidden = self.hidden.as_ref();
        hidden.is_some_and(|hidden| *hidden == WorkerId::of(worker))
    }
}

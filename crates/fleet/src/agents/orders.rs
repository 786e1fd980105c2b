//! Orders of the agent to its worker, and their results.

use hyssop_jobs::{Refusal, RunId};

use super::cores::Core;
use super::io::{AgentOutput, SpeedError, StartError};
use super::sessions::ORDER_RETRY_DELAY;

/// Unanswered start calls of one run after which the run is stopped instead.
const MAX_START_TRIES: u32 = 3;

impl Core {
    /// Applies the result of a start call. `is_known` tells whether the incarnation that the call was for
    /// has answered it.
    pub(super) fn on_started(
        &mut self,
        id: u64,
        run: RunId,
        result: Result<(), StartError>,
        is_known: bool,
    ) {
        let now = self.now;
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        let Some(start) = session.starts.get_mut(&run) else {
            return;
        };
        start.is_in_flight = false;
        let is_canary = self.canaries.contains(run);
        self.canaries
            .note_start_result(run, result, start.tries, now);
        match result {
            Ok(()) => {
                session.starts.remove(&run);
                session.expected.insert(run, now);
                session.started.insert(run, is_known);
                if is_canary {
                    session.set_speed(run, 0);
                }
            }
            // Its time to arrive is short, and an earlier call may have been executed all the same.
            Err(StartError::Refused(Refusal::Late)) if start.tries > 1 && is_canary => {
                start.not_before = now + ORDER_RETRY_DELAY;
            }
            Err(StartError::Refused(Refusal::Old | Refusal::Late)) if start.tries > 1 => {
                // An earlier, unanswered start may have been executed, and the run may have ended.
                session.starts.remove(&run);
                session.speeds.remove(&run);
                session.expected.insert(run, now);
            }
            Err(StartError::Refused(refusal)) if start.tries > 1 => {
                // An earlier, unanswered start may be executed later, when there is room for it. Only a
                // stop rules the run out.
                session.starts.remove(&run);
                session.stop(run);
                self.log(format!(
                    "repeated start of {run} was refused: {refusal:?}; stopping the run"
                ));
            }
            Err(StartError::Refused(refusal)) => {
                session.starts.remove(&run);
                session.speeds.remove(&run);
                session.refused.push((run, refusal));
            }
            // A canary is not stopped before it was answered: the answer to a repetition tells whether it
            // was executed.
            Err(StartError::Unknown | StartError::NotConnected)
                if start.tries >= MAX_START_TRIES && !is_canary =>
            {
                session.starts.remove(&run);
                session.stop(run);
                self.log(format!("start of {run} was not answered; stopping the run"));
            }
            Err(error) => {
                start.is_unanswered |= error != StartError::NotConnected;
                start.not_before = now + ORDER_RETRY_DELAY;
            }
        }
    }

    pub(super) fn on_stopped(&mut self, id: u64, run: RunId, is_answered: bool) {
        let now = self.now;
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        let Some(stop) = session.stops.get_mut(&run) else {
            return;
        };
        stop.is_in_flight = false;
        if is_answered {
            session.stops.remove(&run);
            session.expected.insert(run, now);
        } else {
            stop.not_before = now + ORDER_RETRY_DELAY;
        }
    }

    pub(super) fn on_speed_set(
        &mut self,
        id: u64,
        run: RunId,
        percent: u32,
        result: Result<(), SpeedError>,
    ) {
        let now = self.now;
        let Some(session) = self.session.as_mut().filter(|session| session.id == id) else {
            return;
        };
        session.on_speed_set(run, percent, result, now);
        if percent > 0 {
            return;
        }
        match result {
            Ok(()) => self.canaries.note_paused(run, now + self.speed_delay),
            Err(SpeedError::Refused) if self.canaries.note_pause_refused(id, run) => {
                session.stop(run);
            }
            Err(_) => {}
        }
    }

    pub(super) fn send_orders(&mut self) {
        let now = self.now;
        if self.restart_announced_at.is_some() {
            return;
        }
        let lease = self.worker_lease();
        let (Some(session), Some(lease)) = (self.session.as_mut(), lease) else {
            return;
        };
        let Some(probe) = session.last_answered_probe() else {
            return;
        };
        let first = self.outputs.len();
        // While the process stood still, the owner may have stopped the runs, and their tasks may have been
        // done elsewhere. A reply to a later report tells.
        let is_current = self.replied_at >= self.resumed_at;
        if is_current
            && self
                .acknowledgements
                .allows_starts(session.id, probe.sent_at, now)
            && session.send_starts(lease.worker_until, &self.canaries, now, &mut self.outputs)
        {
            self.worker_leased_until = self.worker_leased_until.max(lease.until);
        }
        for output in &self.outputs[first..] {
            if let (AgentOutput::Start { session, start, .. }, Some(worker)) =
                (output, &self.worker)
            {
                self.late_starts
                    .note_sent(*session, start.run, worker, probe, now);
            }
        }
        session.send_stops(now, &mut self.outputs);
        session.send_speeds(now, &mut self.outputs);
    }
}

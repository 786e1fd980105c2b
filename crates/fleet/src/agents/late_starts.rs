//! Start calls without a response, which the worker or a later incarnation of it may still execute.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{RunId, WorkerInfo, slowest_time};

use super::descriptions::WorkerId;
use super::io::StartError;
use super::sessions::slowest_share;

/// Time after which a call without a response counts as lost. The platform states no limit, and no task
/// may wait without end; this is the longest delay of a call for which the checker of single runs
/// (`tests/exactly_once`) holds.
pub(super) const MAX_CALL_DELAY: Millis = Millis(12_000);

/// Maximum number of starts that one log line names.
const MAX_DESCRIBED_STARTS: usize = 8;

/// Runs whose starts may be executed, each with the time for which that holds.
type Starts = Vec<(RunId, Millis)>;

/// Answered probe of the incarnation that a start call is for.
#[derive(Clone, Copy, Debug)]
pub(super) struct AnsweredProbe {
    pub(super) sent_at: Millis,
    pub(super) answered_at: Millis,
    /// Reading of the worker's clock in the answer.
    pub(super) worker_clock: Millis,
}

impl AnsweredProbe {
    /// Returns whether the same incarnation has answered a later call, which was sent at `sent_at` and whose
    /// answer came at `now` with this reading. The clock of each incarnation starts anew. A later one, which
    /// has started since the probe, reads less than the time since then if its clock starts at 0. If it
    /// starts anywhere, as some platforms have it, only chance brings it into the range of a few tenths of a
    /// second in which the clock of the known one is.
    fn is_of_same_incarnation(self, sent_at: Millis, worker_clock: Millis, now: Millis) -> bool {
        let min_elapsed = slowest_share(sent_at.since(self.answered_at));
        let max_elapsed = slowest_time(now.since(self.sent_at));
        let readings = self.worker_clock + min_elapsed..=self.worker_clock + max_elapsed;
        readings.contains(&worker_clock) && self.worker_clock > max_elapsed
    }
}

/// Start call whose result is awaited.
#[derive(Clone, Copy, Debug)]
struct CallInFlight {
    session: u64,
    sent_at: Millis,
    /// Last probe that was answered before.
    probe: AnsweredProbe,
}

/// Start calls of one run.
#[derive(Debug)]
struct Calls {
    worker: WorkerId,
    address: Arc<str>,
    count: u32,
    in_flight: Option<CallInFlight>,
    /// When the last call without a response was sent.
    unanswered: Option<Millis>,
    /// When the worker answered a call as executed, by an answer that does not show which incarnation gave
    /// it; or, if `is_executed`, when that was known.
    answered: Option<Millis>,
    /// Whether the only call was executed by the incarnation that it was for, or an earlier one.
    is_executed: bool,
    /// Whether the worker has answered a call of a later session, so that its incarnation refuses these.
    is_void: bool,
    /// Whether a report has named the start, so that the owner has to be told when it was executed.
    is_reported: bool,
}

impl Calls {
    /// Records that the only call was executed. The calls are kept until the owner was told, if a report
    /// has named them.
    fn note_executed(&mut self, now: Millis) {
        self.is_executed = true;
        self.answered = self.is_reported.then_some(now);
    }

    /// Returns until when one of the calls may be executed, or the run of an answered one may be on a
    /// later incarnation, which the delay of a call covers as well: it exceeds the longest lease.
    fn until(&self, includes_in_flight: bool) -> Option<Millis> {
        let in_flight = self.in_flight.filter(|_| includes_in_flight);
        let answered = self
            .answered
            .filter(|_| includes_in_flight || self.is_executed);
        let last = in_flight.map(|call| call.sent_at).max(answered);
        Some(self.unanswered.max(last)? + MAX_CALL_DELAY)
    }
}

/// Start calls that were not answered, by run. They outlive the session, since its end does not undo
/// them.
#[derive(Debug, Default)]
pub(super) struct LateStarts(BTreeMap<RunId, Calls>);

impl LateStarts {
    /// Records that a start is sent to a worker in a session, in which it has last answered `probe`.
    pub(super) fn note_sent(
        &mut self,
        session: u64,
        run: RunId,
        worker: &WorkerInfo,
        probe: AnsweredProbe,
        now: Millis,
    ) {
        let calls = self.0.entry(run).or_insert_with(|| Calls {
            worker: WorkerId::of(worker),
            address: Arc::clone(&worker.address),
            count: 0,
            in_flight: None,
            unanswered: None,
            answered: None,
            is_executed: false,
            is_void: false,
            is_reported: false,
        });
        // The result of a call of an earlier session is not awaited any more.
        let abandoned = calls.in_flight.replace(CallInFlight {
            session,
            sent_at: now,
            probe,
        });
        calls.unanswered = calls.unanswered.max(abandoned.map(|call| call.sent_at));
        calls.count += 1;
        calls.is_executed = false;
        calls.is_void = false;
    }

    /// Records the result of the call in flight, and the reading of the worker's clock that came with it.
    /// Returns whether the answer shows that the incarnation which the call was for has started the run.
    /// Otherwise the run may be on a later one, until a probe shows that it is not.
    pub(super) fn note_result(
        &mut self,
        session: u64,
        run: RunId,
        result: Result<(), StartError>,
        worker_clock: Option<Millis>,
        now: Millis,
    ) -> bool {
        let Some(calls) = self.0.get_mut(&run) else {
            return false;
        };
        let Some(call) = calls.in_flight.take_if(|call| call.session == session) else {
            return false;
        };
        let is_same = |clock| call.probe.is_of_same_incarnation(call.sent_at, clock, now);
        let is_known = result.is_ok() && worker_clock.is_some_and(is_same);
        match result {
            Ok(()) if is_known && calls.unanswered.is_none() => calls.note_executed(now),
            Ok(()) if is_known => {}
            Ok(()) => calls.answered = Some(now),
            Err(StartError::Unknown) => {
                calls.unanswered = calls.unanswered.max(Some(call.sent_at));
            }
            Err(_) => {}
        }
        self.remove_settled(run);
        is_known
    }

    /// Records that the worker has answered a probe that was sent at this time. The starts that were
    /// answered before were executed by its incarnation or an earlier one.
    pub(super) fn note_probed(&mut self, sent_at: Millis) {
        self.0.retain(|_, calls| {
            if calls.answered.is_none_or(|at| at >= sent_at) {
                return true;
            }
            if calls.unanswered.is_none() && calls.in_flight.is_none() {
                calls.is_executed = true;
                return calls.is_reported;
            }
            calls.answered = None;
            true
        });
    }

    /// Records that the worker lists a run, running or ended: one of the calls was executed.
    pub(super) fn note_listed(&mut self, run: RunId) {
        let Some(calls) = self.0.get_mut(&run).filter(|calls| calls.count == 1) else {
            return;
        };
        calls.is_executed = true;
        if calls.unanswered.is_none() && !calls.is_reported {
            self.0.remove(&run);
        }
    }

    /// Records that a worker has answered the first probe of a session. Calls that were meant for
    /// another worker at its address are forgotten. Those of earlier sessions had lower tokens, so that
    /// this incarnation refuses them; the next one with the same identifier does not.
    pub(super) fn note_answer(&mut self, worker: &WorkerInfo) {
        let is_elsewhere = |calls: &Calls| calls.address != worker.address;
        self.0
            .retain(|_, calls| is_elsewhere(calls) || calls.worker.has_id(&worker.id));
        for calls in self.0.values_mut().filter(|calls| !is_elsewhere(calls)) {
            calls.is_void = true;
        }
    }

    /// Returns which of the listed runs of an incarnation were started by calls for another one.
    pub(super) fn list_executed(&self, worker: &WorkerInfo, listed: &[RunId]) -> Vec<RunId> {
        let id = WorkerId::of(worker);
        let is_of_other = |run: &RunId| {
            let calls = self.0.get(run);
            calls.is_some_and(|calls| calls.worker.is_other_incarnation(&id))
        };
        listed.iter().copied().filter(is_of_other).collect()
    }

    /// Returns the runs that an incarnation does not list although it may have executed their starts, which
    /// were meant for another one, before its first answer to a call of a later session.
    pub(super) fn list_unsettled(&self, worker: &WorkerInfo, listed: &[RunId]) -> Vec<RunId> {
        let id = WorkerId::of(worker);
        let is_unsettled = |run: &RunId, calls: &Calls| {
            calls.address == worker.address
                && calls.worker.is_other_incarnation(&id)
                && !calls.is_executed
                && !listed.contains(run)
        };
        let calls = self
            .0
            .iter()
            .filter(|(run, calls)| is_unsettled(run, calls));
        calls.map(|(&run, _)| run).collect()
    }

    /// Returns the runs of reported calls of which the last was answered, without showing by which
    /// incarnation.
    pub(super) fn answered_runs(&self) -> Vec<RunId> {
        let is_answered = |calls: &Calls| {
            calls.is_reported && !calls.is_executed && calls.answered > calls.unanswered
        };
        let calls = self.0.iter().filter(|(_, calls)| is_answered(calls));
        calls.map(|(&run, _)| run).collect()
    }

    /// Describes the starts that may be executed, for the log.
    pub(super) fn describe(&self, now: Millis) -> String {
        let open = self.0.iter().filter_map(|(run, calls)| {
            let remaining = calls.until(true)?.since(now);
            (!calls.is_executed).then(|| format!("{run} for {} ms", remaining.0))
        });
        let shown: Vec<String> = open.take(MAX_DESCRIBED_STARTS).collect();
        match shown.as_slice() {
            [] => "no start may be executed later".to_owned(),
            shown => format!("starts that may be executed later: {}", shown.join(", ")),
        }
    }

    /// Forgets the calls that count as lost.
    pub(super) fn expire(&mut self, now: Millis) {
        self.0
            .retain(|_, calls| calls.until(true).is_some_and(|until| until >= now));
    }

    /// Returns whether a start of a run may still be executed.
    pub(super) fn contains(&self, run: RunId) -> bool {
        let calls = self.0.get(&run);
        calls.is_some_and(|calls| calls.unanswered.is_some() && !calls.is_executed)
    }

    /// Returns whether a start call of a run is in flight.
    pub(super) fn is_in_flight(&self, run: RunId) -> bool {
        let calls = self.0.get(&run);
        calls.is_some_and(|calls| calls.in_flight.is_some())
    }

    /// Returns whether a start call is in flight.
    pub(super) fn has_in_flight(&self) -> bool {
        self.0.values().any(|calls| calls.in_flight.is_some())
    }

    /// Returns the runs whose starts the next incarnation of a lost worker may still execute or have
    /// executed, each with the time for which that holds: 0 if the start was executed meanwhile.
    pub(super) fn list_all(&mut self, now: Millis) -> Starts {
        self.list_if(now, true, |_| true)
    }

    /// Returns the starts that a worker which answers may still execute, without those that were meant for
    /// an earlier incarnation and that it refuses; and, for the first report of a session, all those of
    /// earlier sessions, which it refuses. Only then can calls of earlier sessions be in flight.
    pub(super) fn list(
        &mut self,
        worker: &WorkerInfo,
        now: Millis,
        is_first: bool,
    ) -> (Starts, Starts) {
        let id = WorkerId::of(worker);
        let valid = self.list_if(now, is_first, |calls| {
            calls.is_executed || !calls.is_void || calls.worker == id
        });
        let is_refused = |calls: &Calls| is_first && calls.is_void && !calls.is_executed;
        (valid, self.list_if(now, true, is_refused))
    }

    fn list_if(
        &mut self,
        now: Millis,
        includes_in_flight: bool,
        is_listed: impl Fn(&Calls) -> bool,
    ) -> Starts {
        let starts = self.0.iter_mut().filter(|(_, calls)| is_listed(calls));
        let starts = starts.filter_map(|(&run, calls)| {
            let until = calls.until(includes_in_flight)?;
            let remaining = match calls.is_executed {
                true => Millis(0),
                false => until.since(now),
            };
            calls.is_reported |= until > now;
            (until > now).then_some((run, remaining))
        });
        starts.collect()
    }

    fn remove_settled(&mut self, run: RunId) {
        let calls = self.0.get(&run);
        if calls.is_some_and(|calls| calls.until(true).is_none()) {
            self.0.remove(&run);
        }
    }
}

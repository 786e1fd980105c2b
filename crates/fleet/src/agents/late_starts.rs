//! Start calls without a response, which the worker or a later incarnation of it may still execute.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{RunId, WorkerInfo};

use super::descriptions::WorkerId;
use super::io::StartError;

/// Time after which a call without a response counts as lost. The platform states no limit, and no task
/// may wait without end; this is the longest delay of a call for which the checker of single runs
/// (`tests/exactly_once`) holds.
pub(super) const MAX_CALL_DELAY: Millis = Millis(12_000);

/// Maximum number of starts that one log line names.
const MAX_DESCRIBED_STARTS: usize = 8;

/// Runs whose starts may be executed, each with the time for which that holds.
type Starts = Vec<(RunId, Millis)>;

/// Start calls of one run.
#[derive(Debug)]
struct Calls {
    worker: WorkerId,
    address: Arc<str>,
    count: u32,
    /// Session of the call in flight, and when it was sent.
    in_flight: Option<(u64, Millis)>,
    /// When the last call without a response was sent.
    unanswered: Option<Millis>,
    /// When the worker answered a call as executed. The answer does not tell which incarnation gave it.
    answered: Option<Millis>,
    /// Whether the worker has listed the run, so that the only call was executed.
    is_executed: bool,
    /// Whether the worker has answered a call of a later session, so that its incarnation refuses these.
    is_void: bool,
    /// Whether a report has named the start, so that the owner has to be told when it was executed.
    is_reported: bool,
}

impl Calls {
    /// Returns until when one of the calls may be executed, or the run of an answered one may be on a
    /// later incarnation, which the delay of a call covers as well: it exceeds the longest lease.
    fn until(&self, includes_in_flight: bool) -> Option<Millis> {
        let in_flight = self.in_flight.filter(|_| includes_in_flight);
        let answered = self
            .answered
            .filter(|_| includes_in_flight || self.is_executed);
        let last = in_flight.map(|(_, at)| at).max(answered);
        Some(self.unanswered.max(last)? + MAX_CALL_DELAY)
    }
}

/// Start calls that were not answered, by run. They outlive the session, since its end does not undo
/// them.
#[derive(Debug, Default)]
pub(super) struct LateStarts(BTreeMap<RunId, Calls>);

impl LateStarts {
    /// Records that a start is sent to a worker in a session.
    pub(super) fn note_sent(&mut self, session: u64, run: RunId, worker: &WorkerInfo, now: Millis) {
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
        let abandoned = calls.in_flight.replace((session, now));
        calls.unanswered = calls.unanswered.max(abandoned.map(|(_, at)| at));
        calls.count += 1;
        calls.is_executed = false;
        calls.is_void = false;
    }

    /// Records the result of the call in flight. A run that was started may be on a later incarnation
    /// than the one that the agent knows, until a probe shows otherwise.
    pub(super) fn note_result(
        &mut self,
        session: u64,
        run: RunId,
        result: Result<(), StartError>,
        now: Millis,
    ) {
        let Some(calls) = self.0.get_mut(&run) else {
            return;
        };
        let Some((_, sent_at)) = calls.in_flight.take_if(|(sent_in, _)| *sent_in == session) else {
            return;
        };
        match result {
            Ok(()) => calls.answered = Some(now),
            Err(StartError::Unknown) => calls.unanswered = calls.unanswered.max(Some(sent_at)),
            Err(_) => {}
        }
        self.remove_settled(run);
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
    pub(super) fn list_executed(
        &self,
        worker: &WorkerInfo,
        listed: impl Iterator<Item = RunId>,
    ) -> Vec<RunId> {
        let id = WorkerId::of(worker);
        let is_of_other = |run: &RunId| {
            let calls = self.0.get(run);
            calls.is_some_and(|calls| calls.worker.is_other_incarnation(&id))
        };
        listed.filter(is_of_other).collect()
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

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

/// Start calls of one run.
#[derive(Debug)]
struct Calls {
    worker: WorkerId,
    address: Arc<str>,
    count: u32,
    /// When the call in flight was sent.
    in_flight: Option<Millis>,
    /// When the last call without a response was sent.
    unanswered: Option<Millis>,
    /// Whether the worker has listed the run, so that the only call was executed.
    is_executed: bool,
}

impl Calls {
    /// Returns until when one of the calls may be executed.
    fn until(&self, includes_in_flight: bool) -> Option<Millis> {
        let in_flight = self.in_flight.filter(|_| includes_in_flight);
        let sent_at = self.unanswered.max(in_flight)?;
        Some(sent_at + MAX_CALL_DELAY)
    }
}

/// Start calls that were not answered, by run. They outlive the session, since its end does not undo
/// them.
#[derive(Debug, Default)]
pub(super) struct LateStarts(BTreeMap<RunId, Calls>);

impl LateStarts {
    /// Records that a start is sent to a worker.
    pub(super) fn note_sent(&mut self, run: RunId, worker: &WorkerInfo, now: Millis) {
        let calls = self.0.entry(run).or_insert_with(|| Calls {
            worker: WorkerId::of(worker),
            address: Arc::clone(&worker.address),
            count: 0,
            in_flight: None,
            unanswered: None,
            is_executed: false,
        });
        calls.count += 1;
        calls.is_executed = false;
        calls.in_flight = Some(now);
    }

    /// Records the result of the call in flight.
    pub(super) fn note_result(&mut self, run: RunId, result: Result<(), StartError>) {
        let Some(calls) = self.0.get_mut(&run) else {
            return;
        };
        let sent_at = calls.in_flight.take();
        if result == Err(StartError::Unknown) {
            calls.unanswered = calls.unanswered.max(sent_at);
        }
        if calls.unanswered.is_none() {
            self.0.remove(&run);
        }
    }

    /// Records that the worker lists a run, running or ended: one of the calls was executed.
    pub(super) fn note_listed(&mut self, run: RunId) {
        let Some(calls) = self.0.get_mut(&run).filter(|calls| calls.count == 1) else {
            return;
        };
        match calls.unanswered {
            // The owner knows the start as late, so that it has to be told.
            Some(_) => calls.is_executed = true,
            None => {
                self.0.remove(&run);
            }
        }
    }

    /// Forgets the calls that were meant for another process at the address of a worker that has
    /// answered a probe: its identifier differs, or the probe had a higher token.
    pub(super) fn note_answer(&mut self, worker: &WorkerInfo) {
        let id = WorkerId::of(worker);
        self.0
            .retain(|_, calls| calls.worker == id || calls.address != worker.address);
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

    /// Returns whether a start call is in flight.
    pub(super) fn has_in_flight(&self) -> bool {
        self.0.values().any(|calls| calls.in_flight.is_some())
    }

    /// Returns the runs whose starts may still be executed, each with the time for which that holds: 0 if
    /// the start was executed meanwhile.
    pub(super) fn list(&self, now: Millis, includes_in_flight: bool) -> Vec<(RunId, Millis)> {
        let starts = self.0.iter();
        let starts = starts.filter_map(|(&run, calls)| {
            let until = calls.until(includes_in_flight)?;
            let remaining = match calls.is_executed {
                true => Millis(0),
                false => until.since(now),
            };
            (until > now).then_some((run, remaining))
        });
        starts.collect()
    }
}

//! Canaries: runs that show whether a worker lists its ends.
//!
//! A canary is paused as soon as it is on the worker, and stopped once a list has shown it paused. If its
//! end is listed, the worker hides none any more. If not, the run has not ended as done all the same,
//! since a paused run makes no progress, so that its task may start again.

use std::collections::BTreeMap;

use hyssop_core::Millis;
use hyssop_jobs::{Refusal, RunEnd, RunId, RunStatus, WorkerInfo};
use smallvec::SmallVec;

use super::descriptions::WorkerId;
use super::io::StartError;

/// Maximum number of runs with an unknown end that are kept. Each holds up one task.
const MAX_UNKNOWN_ENDS: usize = 1_000;

/// What is known of one canary.
#[derive(Debug)]
struct Canary {
    worker: WorkerId,
    /// When the run became known to have started. Lists in answer to later probes show it until it ends.
    started_at: Option<Millis>,
    /// From when on the run makes no progress, because the worker has confirmed its pause.
    paused_at: Option<Millis>,
    /// Whether a list has shown the run after that.
    is_paused: bool,
    /// Session in which the run was last ordered to stop.
    stopped_in: Option<u64>,
}

/// Lists that a worker has sent in answer to a probe.
#[derive(Debug)]
pub(super) struct Lists<'a> {
    pub(super) running: &'a [RunStatus],
    pub(super) ended: &'a [RunEnd],
    /// Whether a run that both lack is not on the worker.
    pub(super) is_complete: bool,
    /// When the probe was sent.
    pub(super) sent_at: Millis,
    pub(super) received_at: Millis,
}

/// What the lists of a worker call for.
#[derive(Debug, Default)]
pub(super) struct CanarySteps {
    /// Runs to be paused.
    pub(super) paused: SmallVec<[RunId; 4]>,
    /// Runs to be stopped.
    pub(super) stopped: SmallVec<[RunId; 4]>,
    /// Runs that have ended without a listed end.
    pub(super) hidden: SmallVec<[(RunId, Refusal); 4]>,
    /// Runs that may have been started by late calls and ended without a listed end.
    pub(super) unsettled: Vec<RunId>,
}

/// Canaries of the worker. They outlive the session, since its end stops no run.
#[derive(Debug, Default)]
pub(super) struct Canaries {
    runs: BTreeMap<RunId, Canary>,
    /// Runs of which it is not known how they have ended, the latest one last.
    unknown_ends: Vec<RunId>,
    /// Runs that the worker may have started by late calls before its first answer, and whose ends it may
    /// hide.
    unsettled: Vec<RunId>,
    /// Number of ends that the worker has hidden since, each of which has taken one number.
    hidden_count: u64,
}

impl Canaries {
    /// Adds a run that a worker was ordered to start.
    pub(super) fn add(&mut self, run: RunId, worker: &WorkerInfo) {
        let canary = Canary {
            worker: WorkerId::of(worker),
            started_at: None,
            paused_at: None,
            is_paused: false,
            stopped_in: None,
        };
        self.runs.insert(run, canary);
    }

    /// Adds a run that the worker has listed.
    pub(super) fn add_listed(&mut self, run: RunId, worker: &WorkerInfo, now: Millis) {
        self.add(run, worker);
        if let Some(canary) = self.runs.get_mut(&run) {
            canary.started_at = Some(now);
        }
    }

    pub(super) fn remove(&mut self, run: RunId) {
        self.runs.remove(&run);
    }

    pub(super) fn contains(&self, run: RunId) -> bool {
        self.runs.contains_key(&run)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns whether a run is a canary that has started.
    pub(super) fn has_started(&self, run: RunId) -> bool {
        let canary = self.runs.get(&run);
        canary.is_some_and(|canary| canary.started_at.is_some())
    }

    /// Returns the runs of which it is not known how they have ended.
    pub(super) fn unknown_ends(&self) -> impl Iterator<Item = (RunId, Refusal)> {
        let runs = self.unknown_ends.iter();
        runs.map(|&run| (run, Refusal::EndUnknown))
    }

    /// Returns the runs of late starts that the worker may have started and ended without listing the end.
    pub(super) fn unsettled(&self) -> &[RunId] {
        &self.unsettled
    }

    /// Records that another incarnation has answered, with the late starts that it may have executed and
    /// whose ends it may hide.
    pub(super) fn note_incarnation(&mut self, unsettled: Vec<RunId>) {
        self.unsettled = unsettled;
        self.hidden_count = 0;
    }

    /// Returns the unsettled runs once the first listed end shows whether they may have ended: their ends
    /// would have taken lower numbers.
    fn settle(&mut self, ended: &[RunEnd]) -> Vec<RunId> {
        let Some(first) = ended.first() else {
            return Vec::new();
        };
        let unsettled = std::mem::take(&mut self.unsettled);
        match first.number > self.hidden_count + 1 {
            true => unsettled,
            false => Vec::new(),
        }
    }

    /// Forgets the runs of other incarnations than the one that answers: these have ended.
    pub(super) fn note_answer(&mut self, worker: &WorkerInfo) {
        let worker = WorkerId::of(worker);
        self.runs.retain(|_, canary| canary.worker == worker);
    }

    /// Applies the result of a start call. A repetition that is refused as old follows a start that was
    /// executed; any other refusal of a first call shows that the run never starts.
    pub(super) fn note_start_result(
        &mut self,
        run: RunId,
        result: Result<(), StartError>,
        tries: u32,
        now: Millis,
    ) {
        let Some(canary) = self.runs.get_mut(&run) else {
            return;
        };
        match result {
            Ok(()) => canary.started_at = canary.started_at.or(Some(now)),
            Err(StartError::Refused(Refusal::Old)) if tries > 1 => {
                canary.started_at = canary.started_at.or(Some(now));
            }
            Err(StartError::Refused(_)) if tries == 1 => self.remove(run),
            Err(_) => {}
        }
    }

    /// Records that the worker has paused a run, which takes effect at a time.
    pub(super) fn note_paused(&mut self, run: RunId, effective_at: Millis) {
        if let Some(canary) = self.runs.get_mut(&run) {
            canary.paused_at = Some(effective_at);
        }
    }

    /// Records that the worker cannot pause a run. Returns whether the run is to be stopped.
    pub(super) fn note_pause_refused(&mut self, session: u64, run: RunId) -> bool {
        let Some(canary) = self.runs.get_mut(&run) else {
            return false;
        };
        canary.stopped_in.replace(session) != Some(session)
    }

    /// Applies the lists that a worker has sent in a session. `is_awaited` tells whether the session expects
    /// an answer or a list to tell of a run.
    pub(super) fn note_lists(
        &mut self,
        session: u64,
        lists: &Lists<'_>,
        is_awaited: impl Fn(RunId) -> bool,
    ) -> CanarySteps {
        let mut steps = CanarySteps::default();
        self.runs.retain(|&run, canary| {
            if lists.ended.iter().any(|end| end.run == run) {
                return false;
            }
            if lists.running.iter().any(|status| status.run == run) {
                // Not when the probe was sent: it may have arrived after one that was sent later.
                canary.started_at = canary.started_at.or(Some(lists.received_at));
                canary.is_paused |= canary.paused_at.is_some_and(|at| lists.sent_at > at);
                if canary.is_paused && canary.stopped_in.replace(session) != Some(session) {
                    steps.stopped.push(run);
                } else if canary.paused_at.is_none() && canary.stopped_in != Some(session) {
                    steps.paused.push(run);
                }
                return true;
            }
            match canary.started_at {
                Some(at) if lists.is_complete && lists.sent_at > at => {
                    let refusal = match canary.is_paused {
                        true => Refusal::EndHidden,
                        false => Refusal::EndUnknown,
                    };
                    steps.hidden.push((run, refusal));
                    false
                }
                Some(_) => true,
                None => is_awaited(run),
            }
        });
        self.hidden_count += steps.hidden.len() as u64;
        steps.unsettled = self.settle(lists.ended);
        let unknown = steps.hidden.iter();
        let unknown = unknown.filter(|(_, refusal)| *refusal == Refusal::EndUnknown);
        self.unknown_ends.extend(unknown.map(|&(run, _)| run));
        self.unknown_ends.extend(&steps.unsettled);
        let excess = self.unknown_ends.len().saturating_sub(MAX_UNKNOWN_ENDS);
        self.unknown_ends.drain(..excess);
        steps
    }
}

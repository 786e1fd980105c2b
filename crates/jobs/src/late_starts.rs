//! Starts without an answer that a later incarnation of their worker may still execute.
//!
//! A call names the worker's identifier only. After a restart under the same identifier it is valid
//! until the first call of a later session, so that the end of the earlier process does not rule the
//! run out. The task waits for the time after which the agent counts the call as lost.
//!
//! An incarnation that has answered a call of a later session refuses the start, and the one after it
//! does not. So the task may start earlier on that incarnation, under the same run number: if that one
//! crashes, the run ends with it, and whatever executes the start then is the only run.

use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::io::{LateStartCause, Output, Report};
use crate::occurrences::Phase;
use crate::owners::Owner;
use crate::placements::PlacementRequest;
use crate::shares::Share;
use crate::workers::Worker;
use crate::{RunId, TaskId};

/// Start that may still be executed.
#[derive(Clone, Debug)]
struct LateStart {
    worker: Arc<str>,
    /// Time after which the call counts as lost.
    until: Millis,
    /// Incarnation of the worker that refuses the call, while the run was not ordered there again.
    void_on: Option<u64>,
    /// Whether the run was ordered again, so that an execution of it may be that of the later call.
    is_repeated: bool,
    /// Whether an end of the run was listed. An incarnation that has listed it refuses the run, and its
    /// agent cannot tell a repetition from the call that was executed.
    has_ended: bool,
    cause: LateStartCause,
    /// Since when the task waits for it.
    waiting_since: Option<Millis>,
}

impl LateStart {
    /// Creates a start that no report has named yet.
    fn new(worker: &Arc<str>) -> Self {
        Self {
            worker: Arc::clone(worker),
            until: Millis(0),
            void_on: None,
            is_repeated: false,
            has_ended: false,
            cause: LateStartCause::Unanswered,
            waiting_since: None,
        }
    }
}

/// Starts that may still be executed, by run.
#[derive(Clone, Debug, Default)]
pub(crate) struct LateStarts(BTreeMap<RunId, LateStart>);

impl LateStarts {
    /// Returns the time until which an earlier start of a task may be executed, 0 if there is none.
    pub(crate) fn until(&self, task: TaskId) -> Millis {
        let starts = self.0.range(task_runs(task)).map(|(_, start)| start.until);
        starts.max().unwrap_or_default()
    }

    /// Records that a task waits until its starts can no longer be executed.
    pub(crate) fn begin_wait(&mut self, task: TaskId, now: Millis) {
        for (_, start) in self.0.range_mut(task_runs(task)) {
            start.waiting_since.get_or_insert(now);
        }
    }

    /// Returns whether a worker may still execute a start.
    pub(crate) fn has_worker(&self, id: &str) -> bool {
        self.0.values().any(|start| *start.worker == *id)
    }

    /// Records that an end of a run is listed.
    pub(crate) fn note_end(&mut self, run: RunId) {
        if let Some(start) = self.0.get_mut(&run) {
            start.has_ended = true;
        }
    }

    /// Returns the starts that an incarnation of their worker refuses, with their workers. Those of tasks
    /// with several starts are left out: a later incarnation might execute more than one.
    fn list_void(&self) -> Vec<(RunId, Arc<str>)> {
        let is_only = |run: RunId| {
            let mut others = self.0.range(task_runs(run.task));
            others.all(|(&other, _)| other == run)
        };
        let is_void = |start: &LateStart| start.void_on.is_some() && !start.has_ended;
        let starts = self.0.iter().filter(|(_, start)| is_void(start));
        let starts = starts.filter(|(run, _)| is_only(**run));
        starts
            .map(|(&run, start)| (run, Arc::clone(&start.worker)))
            .collect()
    }
}

/// Returns the range of all runs of a task.
const fn task_runs(task: TaskId) -> RangeInclusive<RunId> {
    RunId { task, run: 0 }..=RunId {
        task,
        run: u64::MAX,
    }
}

impl Owner {
    /// Records the starts that may still be executed at a worker's address, each with the time for
    /// which that holds, and lets the tasks that wait there wait for longer.
    pub(crate) fn note_late_starts(
        &mut self,
        id: &Arc<str>,
        starts: &[(RunId, Millis)],
        answered: &[RunId],
    ) {
        for &(run, remaining) in starts {
            let known = self.late_starts.0.get(&run);
            if remaining == Millis(0) {
                if known.is_some_and(|known| !known.is_repeated) {
                    self.release_late_start(run);
                }
                continue;
            }
            // Reports are under way for different times. A task waits for the latest end that was named.
            // Another worker of the same agent may name the start again, with its own session.
            let is_new = known.is_none();
            let mut start = known.cloned().unwrap_or_else(|| LateStart::new(id));
            start.until = start.until.max(self.now + remaining);
            start.cause = match answered.contains(&run) {
                true => LateStartCause::UnknownIncarnation,
                false => LateStartCause::Unanswered,
            };
            let (until, cause) = (start.until, start.cause);
            self.late_starts.0.insert(run, start);
            if is_new {
                self.log(format!(
                    "start of {run} on {id} may be executed for {} ms more cause={}",
                    remaining.0,
                    cause.name()
                ));
            }
            let job = self.jobs.get_mut(run.task.job);
            if let Some(task) = job.and_then(|job| job.task_mut(run.task))
                && task.phase == Phase::Waiting
            {
                task.not_before = task.not_before.max(until);
                self.late_starts.begin_wait(run.task, self.now);
            }
        }
    }

    /// Returns how long a task has waited for a start, none if it does not wait any more.
    fn late_start_wait(&self, task: TaskId, start: &LateStart) -> Option<Millis> {
        let job = self.jobs.get(task.job).filter(|job| job.is_open())?;
        let is_waiting = job.task(task)?.phase == Phase::Waiting;
        let since = start.waiting_since.filter(|_| is_waiting)?;
        Some(self.now.since(since))
    }

    /// Counts the wait of a task for a start that is forgotten or repeated, if the task still waits.
    fn end_late_start_wait(&mut self, run: RunId, start: &LateStart) {
        let Some(time) = self.late_start_wait(run.task, start) else {
            return;
        };
        let cause = start.cause;
        self.log(format!(
            "task {} waited {} ms for its start on {} cause={}",
            run.task,
            time.0,
            start.worker,
            cause.name()
        ));
        self.outputs.push(Output::LateStartWait { cause, time });
    }

    /// Returns the longest time for which a task has waited, by now, for a start that may be executed.
    #[must_use]
    pub fn longest_late_start_wait(&self) -> Millis {
        let starts = self.late_starts.0.iter();
        let waits = starts.filter_map(|(run, start)| self.late_start_wait(run.task, start));
        waits.max().unwrap_or_default()
    }

    /// Lets the tasks start whose starts a worker can no longer execute, because another one has answered
    /// at its address.
    pub(crate) fn release_late_starts(&mut self, id: &str) {
        let starts = self.late_starts.0.iter();
        let released = starts.filter(|(_, start)| *start.worker == *id);
        let released: Vec<RunId> = released.map(|(&run, _)| run).collect();
        for run in released {
            self.release_late_start(run);
        }
    }

    /// Records which starts a worker refuses that has sent the first complete report of a session, which
    /// has a higher token: those that the report names so. The first report of an incarnation proves it
    /// for all that it does not name, also if the agent has restarted and does not know them.
    pub(crate) fn note_void_starts(&mut self, id: &Arc<str>, report: &Report) {
        let Some(worker) = self.workers.get(id).filter(|_| !report.has_more_ends) else {
            return;
        };
        let names = |starts: &[(RunId, Millis)], run| starts.iter().any(|(known, _)| *known == run);
        for (&run, start) in &mut self.late_starts.0 {
            let is_void = names(&report.void_starts, run)
                || !worker.has_answered && !names(&report.late_starts, run);
            if start.worker == *id && is_void {
                start.void_on = Some(worker.info.incarnation);
            }
        }
    }

    /// Starts the tasks that wait for a late start on the incarnation that refuses it, if they fit there.
    /// The run number stays the same: if a still later incarnation executes both calls, it is one run. If
    /// the incarnation had executed the late start before, it refuses this one as old, and the task waits
    /// for the time to pass.
    pub(crate) fn start_on_void(&mut self) {
        for (run, worker) in self.late_starts.list_void() {
            if self.may_repeat(run, &worker) {
                self.repeat_start(run, &worker);
            }
        }
    }

    /// Returns whether a task waits only for its late start, which was its last run and is not part of a
    /// gang, and has a place on the worker.
    fn may_repeat(&self, run: RunId, id: &Arc<str>) -> bool {
        let Some(start) = self.late_starts.0.get(&run) else {
            return false;
        };
        let job = self.jobs.get(run.task.job);
        let is_takeover_complete = self.unconfirmed_workers.is_empty();
        let job = job.filter(|job| job.is_open() && job.is_stored);
        let job = job.filter(|job| is_takeover_complete || !job.is_inherited);
        let Some(job) = job.filter(|job| job.is_task_ready(start.until, run.task)) else {
            return false;
        };
        let (Some(request), Some(step)) =
            (self.placement_request(run.task, None), job.step(run.task))
        else {
            return false;
        };
        let last_run = self.next_run.get(&run.task);
        let is_last = last_run.is_none_or(|last| *last == run.run);
        // An earlier owner may have seen the end.
        let has_failed = request.task.failed_runs.contains(run.run);
        let startable = step.startable_before(self.now, start.until);
        let request = PlacementRequest {
            is_apart: step.is_suspect(run.task.index),
            ..request
        };
        let is_refusing = |worker: &Worker| {
            worker.info.id == *id
                && Some(worker.info.incarnation) == start.void_on
                && !request.is_canary_on(worker)
        };
        is_last
            && !has_failed
            && startable.contains(run.task.index)
            && request
                .choose_worker_if(&self.workers, is_refusing)
                .is_some()
    }

    /// Orders a run again on a worker.
    fn repeat_start(&mut self, run: RunId, id: &Arc<str>) {
        let Some(request) = self.placement_request(run.task, None) else {
            return;
        };
        let start_cost = request.start_cost(&self.workers[id]);
        if let Some(start) = self.late_starts.0.get_mut(&run) {
            start.void_on = None;
            start.is_repeated = true;
            let ended = start.clone();
            start.waiting_since = None;
            self.end_late_start_wait(run, &ended);
        }
        // Numbers between those of the run's owner and this one may be taken.
        let last_run = run.run.max(self.last_inherited_run());
        self.next_run.entry(run.task).or_insert(last_run);
        self.log(format!(
            "run {run} is ordered again on {id}, which refuses its late start"
        ));
        self.reserve_run(id, run, 100, start_cost);
        self.order_start(id, run, 100);
        self.end_wait(run.task.of_step());
        if let Some(job) = self.jobs.get_mut(run.task.job) {
            job.share = Share::Unused;
            if let Some(crashes) = job.crashes_mut(run.task) {
                crashes.note_repeated(run.run);
            }
        }
    }

    fn release_late_start(&mut self, run: RunId) {
        let Some(start) = self.late_starts.0.remove(&run) else {
            return;
        };
        self.end_late_start_wait(run, &start);
        let not_before = self.late_starts.until(run.task).max(self.now);
        let job = self.jobs.get_mut(run.task.job);
        if let Some(task) = job.and_then(|job| job.task_mut(run.task))
            && task.not_before == start.until
        {
            task.not_before = not_before;
        }
    }

    /// Forgets the starts that count as lost, and drops the records of lost workers that were kept
    /// for them.
    pub(crate) fn expire_late_starts(&mut self) {
        let now = self.now;
        let starts = &mut self.late_starts.0;
        let expired: Vec<_> = starts
            .extract_if(.., |_, start| start.until < now)
            .collect();
        for (run, start) in expired {
            self.end_late_start_wait(run, &start);
            let is_lost = self
                .workers
                .get(&start.worker)
                .is_some_and(|worker| worker.session.is_none() && worker.runs.is_empty());
            let is_confirmed = !self.unconfirmed_workers.contains(&start.worker);
            if is_lost && is_confirmed && !self.late_starts.has_worker(&start.worker) {
                self.drop_worker_record(&start.worker);
            }
        }
    }
}

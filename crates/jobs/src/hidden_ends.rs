//! Workers of which ends of runs may never be listed.
//!
//! A worker that has restarted under its identifier executes an acknowledgement that was meant for its
//! earlier incarnation, and does not list its own ends up to the number. A run whose end is missing
//! seems to be lost, so that its task would start again after it was done.
//!
//! Until such a worker lists an end, which shows that it lists all later ones, tasks that can be done
//! start there as canaries only: their agent stops them before they can end as done, and reports those
//! whose ends are missing. Each of these uses up one of the hidden numbers.

use std::collections::BTreeSet;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::LossCause;
use crate::io::{Refusal, Report};
use crate::limits::{MAX_RETURN_TIME, MIN_CANARY_ESTIMATE, SPARE_CAPACITY_PERCENT};
use crate::occurrences::Phase;
use crate::owners::Owner;
use crate::placements::{PlacementRequest, SearchLevel};
use crate::records::{Key, Record, WorkerRecord};
use crate::shares::{percents, sum_reserved};
use crate::workers::{Worker, WorkerRun};
use crate::{Resources, RunId, StepId, StepSpec};

/// Time before which a task does not start whose run may have ended as done: no event tells how it has
/// ended.
const NEVER: Millis = Millis(u64::MAX);

/// Whether an incarnation of a worker lists all ends of its runs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum EndLists {
    /// Nothing indicates that ends are missing.
    #[default]
    Unproven,
    /// Ends may be missing: the worker may have executed a late acknowledgement.
    MayLackEnds,
    /// The worker has listed an end, so that it lists all later ones. Reports that say otherwise were
    /// overtaken.
    Complete,
}

impl EndLists {
    /// Returns the state that an earlier owner has stored.
    pub(crate) fn of(record: Option<&WorkerRecord>) -> Self {
        match record.is_some_and(|record| record.may_hide_ends) {
            true => Self::MayLackEnds,
            false => Self::Unproven,
        }
    }

    pub(crate) fn may_lack_ends(self) -> bool {
        self == Self::MayLackEnds
    }

    /// Returns whether a task starts on the worker as a canary. Service tasks never end as done, so that they
    /// may start again after any end.
    pub(crate) fn makes_canary(self, is_service: bool) -> bool {
        self.may_lack_ends() && !is_service
    }
}

/// Service in which tasks may start as canaries.
#[derive(Debug)]
pub(crate) struct CanaryService {
    name: Arc<str>,
    /// What is reserved of its workers, with what was reserved in this tick.
    reserved: Resources,
    /// Capacity of its workers.
    total: Resources,
}

impl CanaryService {
    /// Records that a task was given a place in a service, if it is one of these.
    pub(crate) fn note_reserved(services: &mut [Self], name: &Arc<str>, reserved: &Resources) {
        if let Some(service) = services.iter_mut().find(|service| service.name == *name) {
            service.reserved = service.reserved.plus(reserved);
        }
    }
}

/// Workers on which a task may start as a canary.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CanaryWorkers {
    None,
    /// Those on which no canary has ended without a listed end, so that it is unlikely that they hide any.
    Unproven,
    All,
}

impl PlacementRequest<'_> {
    /// Returns whether a task of the step would start on a worker as a canary.
    pub(crate) fn is_canary_on(&self, worker: &Worker) -> bool {
        worker.end_lists.makes_canary(self.spec().is_service)
    }

    /// Returns whether a task of the step may start on a worker as a canary.
    pub(crate) fn admits_canary(&self, worker: &Worker) -> bool {
        let is_admitted = match self.canary_workers {
            CanaryWorkers::None => false,
            CanaryWorkers::Unproven => worker.hidden_ends == 0,
            CanaryWorkers::All => true,
        };
        // No run of a task starts after an end as done, not even a canary.
        is_admitted
            && !worker.unsettled_steps.contains(&self.step_id)
            && worker.has_canary_place(self.step_id, self.spec())
    }
}

impl Worker {
    /// Returns whether the worker has a place for a canary: for one at first, and for one more with each
    /// that has ended there without a listed end, since many ends may be hidden. Members of a gang count as
    /// one.
    pub(crate) fn has_canary_place(&self, step: StepId, spec: &StepSpec) -> bool {
        let is_canary = |state: &WorkerRun| self.end_lists.makes_canary(state.is_service);
        let canaries = self.runs.iter().filter(|(_, state)| is_canary(state));
        let others = canaries.filter(|(run, _)| !spec.is_gang || run.task.of_step() != step);
        others.count() <= self.hidden_ends
    }

    /// Returns the level of searches that consider the worker for canaries of a step. One that ends before it
    /// is paused holds its job up if the worker does hide ends, so that short tasks, and all once an end was
    /// missing, become canaries only if nothing else of their job runs. Members of a gang cannot end alone.
    pub(crate) fn canary_level(&self, spec: &StepSpec) -> SearchLevel {
        if is_real_gang(spec) {
            SearchLevel::Strict
        } else if self.hidden_ends > 0 || spec.estimate < MIN_CANARY_ESTIMATE {
            SearchLevel::Unrestricted
        } else {
            SearchLevel::Relaxed
        }
    }
}

/// Returns whether tasks of a step can only be done together with others.
fn is_real_gang(spec: &StepSpec) -> bool {
    spec.is_gang && spec.count > 1
}

impl Owner {
    /// Returns the number of workers on which tasks start as canaries.
    #[must_use]
    pub fn hiding_workers(&self) -> usize {
        let workers = self.workers.values();
        workers.filter(|w| w.end_lists.may_lack_ends()).count()
    }

    /// Returns the number of runs of which this owner was told that nobody knows how they have ended.
    #[must_use]
    pub const fn unknown_ends(&self) -> usize {
        self.unknown_ends
    }

    /// Finds the services in which tasks may start as canaries: those with workers that need some, where
    /// no other worker is expected back. While most of a service is reserved, a task waits for another worker
    /// rather than for one that hides ends. While workers come and go, a canary may end before it is paused,
    /// because calls to its worker are slow or get lost.
    pub(crate) fn find_canary_services(&mut self) {
        let now = self.now;
        for worker in self.workers.values_mut() {
            if worker.accepts_tasks(now) {
                worker.accepted_at = Some(now);
            }
        }
        self.canary_services.clear();
        let workers = || self.workers.values();
        let hiding = workers().filter(|worker| worker.end_lists.may_lack_ends());
        let services: BTreeSet<&Arc<str>> = hiding.map(|worker| &worker.info.service).collect();
        if services.is_empty() {
            return;
        }
        let is_expected = |worker: &Worker| {
            let is_recent = |at: Millis| at < now && now < at + MAX_RETURN_TIME;
            worker.is_staying() && worker.accepted_at.is_some_and(is_recent)
        };
        // Once in a tick and not for each task, because all workers are counted.
        let admitted = services.into_iter().filter_map(|service| {
            let members = || workers().filter(|worker| worker.info.service == *service);
            if members().any(is_expected) {
                return None;
            }
            let (reserved, total) = sum_reserved(members().filter(|worker| worker.is_staying()));
            Some(CanaryService {
                name: Arc::clone(service),
                reserved,
                total,
            })
        });
        self.canary_services = admitted.collect();
    }

    /// Returns the workers of a service on which tasks may start as canaries.
    pub(crate) fn canary_workers(&self, name: &Arc<str>) -> CanaryWorkers {
        let mut services = self.canary_services.iter();
        let Some(service) = services.find(|service| service.name == *name) else {
            return CanaryWorkers::None;
        };
        let (cpu, mem) = percents((service.reserved, service.total));
        match cpu.max(mem) < SPARE_CAPACITY_PERCENT {
            true => CanaryWorkers::All,
            false => CanaryWorkers::Unproven,
        }
    }

    /// Returns whether a run on a worker is a canary, so that its job waits for another run.
    pub(crate) fn is_canary(&self, id: &Arc<str>, run: RunId) -> bool {
        let worker = self.workers.get(id).filter(|w| w.end_lists.may_lack_ends());
        worker.is_some_and(|worker| {
            let state = worker.runs.get(&run);
            state.is_some_and(|state| worker.end_lists.makes_canary(state.is_service))
        })
    }

    /// Applies the news that a canary, or the run of a late start, has ended without a listed end. Its task
    /// starts again, unless the run may have done it.
    pub(crate) fn handle_hidden_end(&mut self, id: &Arc<str>, run: RunId, refusal: Refusal) {
        if let Some(worker) = self.workers.get_mut(id)
            && let Some(state) = worker.remove_run(run)
        {
            worker.hidden_ends += 1;
            self.account_for_loss(run, &state, LossCause::Stopped);
            self.log(format!("run {run} has ended on {id}, which hides its end"));
        }
        let job = self.jobs.get(run.task.job);
        let spec = job.and_then(|job| job.spec.steps.get(usize::from(run.task.step)));
        let is_never_done = |spec: &StepSpec| spec.is_service || is_real_gang(spec);
        if refusal == Refusal::EndHidden || spec.is_some_and(is_never_done) {
            self.requeue_if_current(id, run, Millis(0));
        } else if self.is_unfinished(run) {
            self.hold_task(id, run);
        }
    }

    /// Keeps a task from starting that a run may have done, unless another run was started meanwhile.
    fn hold_task(&mut self, id: &Arc<str>, run: RunId) {
        let is_current = self.jobs.worker_of_run(run) == Some(id);
        let job = self.jobs.get_mut(run.task.job);
        let Some(step) = job.and_then(|job| job.step_mut(run.task)) else {
            return;
        };
        let task = step.tasks.get(usize::from(run.task.index));
        let could_start =
            task.is_some_and(|task| task.phase == Phase::Waiting && task.not_before != NEVER);
        if !is_current && !could_start {
            return;
        }
        step.requeue(run.task.index, NEVER);
        self.unknown_ends += 1;
        self.log(format!(
            "task of {run} does not start again: the run may have ended as done on {id}"
        ));
    }

    /// Stops the runs of a worker that may hide their ends. While a run is listed, it has not ended as done,
    /// so that its task may start elsewhere; and if its end is listed, the worker hides none any more.
    pub(crate) fn stop_hidden_runs(&mut self, id: &Arc<str>) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        if !worker.end_lists.may_lack_ends() {
            return;
        }
        let runs = worker.runs.iter().filter(|(_, state)| !state.is_service);
        let runs: Vec<RunId> = runs.map(|(&run, _)| run).collect();
        for run in runs {
            self.log(format!("run {run} is stopped: {id} may hide its end"));
            self.stop_run(id, run, LossCause::Stopped);
        }
    }

    /// Notes what a report tells about the ends that its worker lists. The worker's record is written
    /// with it, so that the next owner knows it if the agent does not. No start waits for that: until
    /// an end is listed, this owner sends canaries only.
    pub(crate) fn note_end_lists(&mut self, id: &Arc<str>, report: &Report) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let previous = worker.end_lists;
        let current = match previous {
            _ if !report.ended.is_empty() => EndLists::Complete,
            EndLists::Unproven if report.may_hide_ends => EndLists::MayLackEnds,
            _ => previous,
        };
        worker.end_lists = current;
        if report.is_complete {
            let steps = report.unsettled_starts.iter().map(|run| run.task.of_step());
            worker.unsettled_steps = steps.collect();
        }
        if !current.may_lack_ends() {
            worker.hidden_ends = 0;
            worker.unsettled_steps.clear();
        }
        if previous.may_lack_ends() == current.may_lack_ends() {
            return;
        }
        if worker.has_record {
            let record = Record::put(Key::Worker(Arc::clone(id)), &worker.record());
            self.writes.add(self.now, record, None);
        }
        self.log(match current.may_lack_ends() {
            true => format!(
                "worker {id} may hide ends: other tasks than service tasks are canaries there"
            ),
            false => format!("worker {id} lists an end: all tasks may start there again"),
        });
    }
}

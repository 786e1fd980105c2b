//! Crashes of workers under the runs of a task, and the limit on them.
//!
//! A task may crash every worker that starts it, mostly within a tenth of a second. The crash alone
//! does not tell which of the worker's runs is the cause. So the suspects start again apart: each on
//! a worker where nothing else has started recently, and where nothing else starts until the suspect
//! has run for a while. If that worker crashes, too, the suspect is the cause and is given up. A task
//! that merely ran beside the cause passes its probation and runs on.

use std::sync::Arc;

use hyssop_core::Millis;
use serde::{Deserialize, Serialize};

use crate::io::{EndKind, Output, RunStatus};
use crate::jobs::Job;
use crate::limits::{
    CRASH_WINDOW, MAX_ALONE_WAIT, MAX_EARLY_CRASHES, MAX_EXPLANATION_TIME,
    MAX_PARTIAL_PROBATION_WAIT, MAX_PROBATION_WAIT, MAX_SHARED_CRASHES, MAX_START_PROBATION,
    MIN_CRASHES, SETTLE_TIME,
};
use crate::owners::Owner;
use crate::workers::WorkerRun;
use crate::{JobId, RunId, StepId, TaskId};

/// Run of a task under which its worker has crashed, as it is stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashedRun {
    /// Run number.
    pub run: u64,
    /// Whether the run had only just started, which makes it a more likely cause.
    #[serde(rename = "early")]
    pub is_early: bool,
    /// Whether the run was certainly on the worker.
    #[serde(default, rename = "sure")]
    pub is_certain: bool,
    /// Whether another run on the worker has since been shown to be the cause. Earlier versions store
    /// and read none.
    #[serde(
        default,
        rename = "explained",
        skip_serializing_if = "std::ops::Not::not"
    )]
    pub is_explained: bool,
}

/// Time for which a run is apart from others, because workers have crashed under earlier runs of
/// its task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Probation {
    /// Until the run has settled.
    Start,
    /// For as long as crashes count: workers have crashed under runs of the task that had settled.
    Run,
}

impl Probation {
    /// Returns the time for which no other task starts on the worker.
    pub(crate) const fn max_duration(self) -> Millis {
        match self {
            Self::Start => MAX_START_PROBATION,
            Self::Run => CRASH_WINDOW,
        }
    }
}

/// Crashes of workers under the runs of one task.
#[derive(Clone, Debug, Default)]
pub(crate) struct Crashes {
    pub(crate) runs: Vec<CrashedRun>,
    /// Number of the runs after which a later run has settled, which shows that the task does not
    /// crash every worker soon after its start.
    disproved: usize,
    /// Probation of the next run. Present while the task is a suspect.
    pub(crate) probation: Option<Probation>,
    /// When the last crash was reported.
    pub(crate) crashed_at: Millis,
    /// Since when no worker was found for the next run to be apart from others. Only a listed run
    /// ends the wait, so that refused and unanswered starts do not begin it anew.
    waiting_since: Option<Millis>,
    /// Whether the task has waited for too long, so that it may join other suspects at any time.
    pub(crate) is_overdue: bool,
    /// Run that was ordered again under its number, so that another crash under it counts.
    repeated: Option<u64>,
}

impl Crashes {
    /// Restores the crashes that earlier owners have counted.
    pub(crate) fn restore(now: Millis, runs: &[CrashedRun]) -> Self {
        let mut crashes = Self {
            runs: runs.to_vec(),
            crashed_at: now,
            ..Self::default()
        };
        crashes.probation = crashes.next_probation();
        crashes
    }

    /// Adds a run, unless it is known. Returns whether it was added.
    fn add(&mut self, now: Millis, run: CrashedRun) -> bool {
        let is_repeated = self
            .repeated
            .take_if(|repeated| *repeated == run.run)
            .is_some();
        if !is_repeated && self.runs.iter().any(|known| known.run == run.run) {
            return false;
        }
        self.runs.push(run);
        self.crashed_at = now;
        self.waiting_since = None;
        self.is_overdue = false;
        self.probation = self.next_probation();
        true
    }

    /// Records that a run was ordered again under its number, on another incarnation of its worker.
    pub(crate) const fn note_repeated(&mut self, run: u64) {
        self.repeated = Some(run);
    }

    /// Returns whether the next run may start together with other suspects: it was beside others in
    /// its last one, so that neither is more likely to be the cause.
    pub(crate) fn may_share(&self) -> bool {
        self.probation == Some(Probation::Start) && self.early_count() == 1
    }

    /// Records that no worker was found for the next run, although there is room for it.
    pub(crate) fn begin_wait(&mut self, now: Millis) {
        self.waiting_since.get_or_insert(now);
    }

    /// Returns the probation after the last crash. A single crash some time after the start does not
    /// make a suspect: such a run is usually not the cause, and each suspect takes a worker from
    /// others.
    fn next_probation(&self) -> Option<Probation> {
        let open = || self.runs.iter().filter(|run| !run.is_explained);
        let late = open().filter(|run| !run.is_early).count();
        match open().next_back()?.is_early {
            true => Some(Probation::Start),
            false => (late > 1).then_some(Probation::Run),
        }
    }

    /// Returns the number of workers that have crashed soon after a start of the task.
    pub(crate) fn early_count(&self) -> usize {
        let counted = self.runs.iter().skip(self.disproved);
        counted.filter(|run| run.is_early).count()
    }

    /// Returns whether at least two workers have certainly crashed under runs of the task. Callers
    /// allow no task to be given up before. Other crashes count for the limit on all of them only
    /// ([`MAX_EARLY_CRASHES`]).
    fn may_be_given_up(&self) -> bool {
        self.runs.iter().filter(|run| run.is_certain).count() >= MIN_CRASHES
    }

    /// Returns whether the next run is the last one beside others before the task is given up, so that
    /// it has to start alone first.
    pub(crate) fn must_be_alone(&self) -> bool {
        self.early_count() >= MAX_SHARED_CRASHES
    }

    /// Records that another run was the cause of the crash under this one. The task is no suspect any
    /// more if no other crash is left. The crash still counts towards the limit on all crashes, and
    /// a task that has nearly reached that goes on starting alone.
    fn explain(&mut self, run: u64) {
        for known in self.runs.iter_mut().filter(|known| known.run == run) {
            known.is_explained = true;
        }
        if self.probation.is_some() && !self.must_be_alone() && self.next_probation().is_none() {
            self.end_probation();
        }
    }

    /// Records that a run of the task has settled.
    const fn note_settled(&mut self) {
        self.disproved = self.runs.len();
    }

    /// Records that a run of the task was listed.
    pub(crate) const fn note_listed(&mut self) {
        self.waiting_since = None;
        self.is_overdue = false;
    }

    /// Returns whether the task has waited for too long. Urgent ones wait for less, counted from the
    /// time until which something of their job ran, or of the service task.
    pub(crate) fn has_waited(&self, now: Millis, is_urgent: bool, active_until: Millis) -> bool {
        let max_wait = match (is_urgent, self.must_be_alone()) {
            (true, false) => MAX_PROBATION_WAIT,
            (true, true) => MAX_ALONE_WAIT,
            (false, _) => MAX_PARTIAL_PROBATION_WAIT,
        };
        let since = self.waiting_since.map(|since| since.max(active_until));
        since.is_some_and(|since| now >= since + max_wait)
    }

    /// Ends the probation: the task starts beside others again.
    pub(crate) const fn end_probation(&mut self) {
        self.probation = None;
        self.waiting_since = None;
        self.is_overdue = false;
    }
}

/// What shows which runs were on a worker when it crashed.
pub(crate) enum Evidence {
    /// All runs that were ordered to start there.
    Ordered,
    /// The runs that a report has listed. Other starts may not have reached the worker.
    Listed,
    /// The runs that may have been there according to the agent, each with whether that is certain.
    Reported(Vec<(RunId, bool)>),
}

/// Crash of a worker a short time ago.
#[derive(Debug)]
pub(crate) struct RecentCrash {
    at: Millis,
    /// Runs that may be the cause; none once it is known.
    runs: Vec<RunId>,
}

/// Run that may have crashed its worker.
pub(crate) struct Suspect {
    pub(crate) run: RunId,
    /// Whether the run was apart from others, so that it is the only possible cause.
    is_apart: bool,
    /// Whether the run had not settled.
    is_early: bool,
    /// Whether the run was certainly on the worker: this incarnation has listed it or answered its start.
    /// A start that was not answered may not have reached the worker.
    is_certain: bool,
}

impl Owner {
    /// Counts the crash of a worker for the runs that may be its cause, and queues its tasks again.
    /// Gives up tasks that are certainly a cause, and those that have had too many workers crash.
    pub(crate) fn handle_crash(&mut self, id: &Arc<str>, evidence: &Evidence) {
        let suspects = self.list_suspects(id, evidence);
        self.mark_worker_lost(id);
        self.count_crashes(id, &suspects);
    }

    /// Counts the crash of a worker for each of its suspects.
    pub(crate) fn count_crashes(&mut self, id: &Arc<str>, suspects: &[Suspect]) {
        let now = self.now;
        self.recent_crashes
            .retain(|crash| now < crash.at + MAX_EXPLANATION_TIME);
        let runs: Vec<RunId> = suspects.iter().map(|suspect| suspect.run).collect();
        if !runs.is_empty() {
            self.recent_crashes.push(RecentCrash { at: now, runs });
        }
        for suspect in suspects {
            self.count_crash(id, suspect);
        }
    }

    /// Takes the recent crashes in which runs of a job were suspects back from all others, because
    /// a task of the job was shown to crash workers.
    fn explain_crashes(&mut self, cause: JobId) {
        let crashes = self.recent_crashes.iter_mut();
        let explained = crashes.filter(|crash| crash.runs.iter().any(|run| run.task.job == cause));
        let runs: Vec<RunId> = explained
            .flat_map(|crash| std::mem::take(&mut crash.runs))
            .collect();
        for run in runs {
            let job = self.jobs.get_mut(run.task.job).filter(|job| job.is_open());
            let Some(crashes) = job.and_then(|job| job.crashes_mut(run.task)) else {
                continue;
            };
            crashes.explain(run.run);
            self.writes.mark_progress(self.now, run.task.job, false);
        }
    }

    /// Returns the runs that may be the cause of a crash: the one that was apart from others, or
    /// else all that were ordered recently.
    pub(crate) fn list_suspects(&self, id: &Arc<str>, evidence: &Evidence) -> Vec<Suspect> {
        // Workers that are about to leave end as planned.
        let Some(worker) = self.workers.get(id).filter(|worker| worker.is_staying()) else {
            return Vec::new();
        };
        let is_current = |run: RunId| self.jobs.worker_of_run(run) == Some(id);
        let is_recent = |state: &WorkerRun| self.now < state.started_at + CRASH_WINDOW;
        let runs = worker.runs.iter();
        let recent = runs.filter(|&(&run, state)| is_recent(state) && is_current(run));
        let suspects = recent.filter_map(|(&run, state)| {
            let is_apart = state.probation.is_some();
            let is_certain = match evidence {
                Evidence::Ordered => true,
                Evidence::Listed => state.is_listed,
                // Being apart from others does not show that a start without an answer has reached the
                // worker, which may have crashed by accident.
                Evidence::Reported(runs) => runs.iter().find(|(known, _)| *known == run)?.1,
            };
            Some(Suspect {
                run,
                is_apart,
                is_early: !state.is_settled,
                is_certain,
            })
        });
        let mut suspects: Vec<Suspect> = suspects.collect();
        if suspects.iter().any(|suspect| suspect.is_apart) {
            suspects.retain(|suspect| suspect.is_apart);
        }
        let is_only_one = suspects.iter().all(|suspect| {
            let first = &suspects[0];
            let gang = self
                .jobs
                .get(first.run.task.job)
                .and_then(|job| job.gang_of(first.run.task));
            suspect.run == first.run || gang == Some(suspect.run.task.of_step())
        });
        for suspect in &mut suspects {
            suspect.is_apart &= is_only_one;
        }
        suspects
    }

    /// Counts the crash of a worker for one of its runs.
    fn count_crash(&mut self, id: &Arc<str>, suspect: &Suspect) {
        let (now, run) = (self.now, suspect.run);
        let Some(job) = self.jobs.get_mut(run.task.job).filter(|job| job.is_open()) else {
            return;
        };
        let queue = Arc::clone(&job.rule.name);
        if let (Some(step), true) = (job.step_mut(run.task), suspect.is_early) {
            step.trial.note_crash();
        }
        let Some(crashes) = job.crashes_mut(run.task) else {
            return;
        };
        let crashed_run = CrashedRun {
            run: run.run,
            is_early: suspect.is_early,
            is_certain: suspect.is_certain,
            is_explained: false,
        };
        if !crashes.add(now, crashed_run) {
            return;
        }
        let is_over_limit = crashes.early_count() >= MAX_EARLY_CRASHES;
        let is_given_up = is_over_limit || suspect.is_apart && crashes.may_be_given_up();
        let is_sole_cause = is_given_up && suspect.is_apart;
        let count = crashes.runs.len();
        let is_suspect = crashes.probation.is_some();
        job.last_crash_at = now;
        job.has_started = true;
        job.is_failed |= is_given_up;
        self.writes.mark_progress(now, run.task.job, false);
        self.log(format!(
            "run {run} crashed with worker {id} crashes={count} early={} apart={} certain={}",
            suspect.is_early, suspect.is_apart, suspect.is_certain
        ));
        self.outputs.push(Output::CrashedRun { queue, is_given_up });
        if is_given_up {
            self.log(format!(
                "task {} given up: {count} workers crashed under it",
                run.task
            ));
            self.end_job(run.task.job);
            if is_sole_cause {
                self.explain_crashes(run.task.job);
            }
        } else if is_suspect {
            self.suspects.insert(run.task);
        }
    }

    /// Records which runs of a worker have settled: they are listed some time after their start was
    /// ordered. That ends the probation of a run, unless it lasts longer.
    pub(crate) fn settle_runs(&mut self, id: &Arc<str>, statuses: &[RunStatus]) {
        let now = self.now;
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        worker.listed_at = now;
        let (mut passed, mut settled) = (Vec::new(), Vec::new());
        for status in statuses {
            let Some(state) = worker.runs.get_mut(&status.run) else {
                continue;
            };
            if !state.is_settled && now >= state.started_at + SETTLE_TIME {
                state.is_settled = true;
                settled.push(status.run);
            }
            let is_passed = match state.probation {
                Some(Probation::Start) => state.is_settled,
                Some(Probation::Run) => now >= state.started_at + CRASH_WINDOW,
                None => false,
            };
            if is_passed {
                passed.push(status.run);
            }
        }
        for run in settled {
            let Some(job) = self.jobs.get_mut(run.task.job) else {
                continue;
            };
            if let Some(step) = job.step_mut(run.task) {
                step.trial.pass();
            }
            if let Some(crashes) = job.crashes_mut(run.task) {
                crashes.note_settled();
            }
        }
        for run in passed {
            worker.end_probation(run);
            let job = self.jobs.get_mut(run.task.job);
            if let Some(crashes) = job.and_then(|job| job.crashes_mut(run.task)) {
                crashes.end_probation();
            }
        }
    }

    /// Ends the probation of a run that has ended by itself, and the trial of its step: it did not
    /// crash its worker.
    pub(crate) fn pass_ended_run(&mut self, run: RunId, state: &WorkerRun, kind: EndKind) {
        let has_ended_itself = matches!(kind, EndKind::Done | EndKind::Failed);
        let job = self.jobs.get_mut(run.task.job);
        let Some(job) = job.filter(|_| has_ended_itself) else {
            return;
        };
        if let Some(step) = job.step_mut(run.task) {
            step.trial.pass();
        }
        if let (Some(crashes), true) = (job.crashes_mut(run.task), state.probation.is_some()) {
            crashes.end_probation();
        }
    }
}

impl Job {
    /// Returns the crashes of a task's workers. Those of a gang are counted together.
    pub(crate) fn crashes_mut(&mut self, id: TaskId) -> Option<&mut Crashes> {
        let step = self.step_mut(id)?;
        Some(&mut step.history_mut(id.index)?.crashes)
    }

    /// Returns the tasks with an inherited probation, apart from gangs.
    pub(crate) fn suspects(&self) -> Vec<TaskId> {
        let mut suspects = Vec::new();
        for (&occurrence, state) in &self.occurrences {
            for (step, state) in (0_u16..).zip(&state.steps) {
                let tasks = (0_u16..).zip(&state.tasks);
                let found = tasks.filter(|(_, task)| task.crashes.probation.is_some());
                suspects.extend(found.map(|(index, _)| TaskId {
                    job: self.id,
                    occurrence,
                    step,
                    index,
                }));
            }
        }
        suspects
    }

    /// Returns until when something of the job ran, as far as crashes show it, or of a service task.
    pub(crate) fn active_until(&self, id: TaskId) -> Millis {
        let is_service = self.spec.steps[usize::from(id.step)].is_service;
        let crashed_at = self.task(id).map(|task| task.crashes.crashed_at);
        match is_service {
            true => crashed_at.unwrap_or_default(),
            false => self.last_crash_at,
        }
    }

    /// Returns whether a task waits for a worker and could start, unless it is part of a gang.
    pub(crate) fn is_task_ready(&self, now: Millis, id: TaskId) -> bool {
        let Some(occurrence) = self.occurrences.get(&id.occurrence) else {
            return false;
        };
        let spec = &self.spec.steps[usize::from(id.step)];
        let step = &occurrence.steps[usize::from(id.step)];
        !spec.is_gang
            && step.waiting.contains(&id.index)
            && step.tasks[usize::from(id.index)].not_before <= now
            && occurrence.is_ready(spec)
    }

    /// Returns the step of a task if its tasks form a gang.
    pub(crate) fn gang_of(&self, id: TaskId) -> Option<StepId> {
        let spec = self.spec.steps.get(usize::from(id.step))?;
        spec.is_gang.then(|| id.of_step())
    }
}

//! State of tasks, steps and occurrences of a job.

use std::collections::BTreeSet;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::Wait;
use crate::crashes::Crashes;
use crate::limits::MAX_AVOIDED_WORKERS;
use crate::records::OccurrenceProgress;
use crate::trials::Trial;
use crate::{JobSpec, RunSet, StepSpec};

/// Phase of a task.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Phase {
    /// The task waits for a worker.
    Waiting,
    /// The task was ordered to run on a worker, and the end of that run is not known.
    Assigned {
        /// Worker that the task was assigned to.
        worker: Arc<str>,
        /// Run number.
        run: u64,
    },
    /// The task is complete.
    Done,
}

/// State of one task.
#[derive(Clone, Debug)]
pub(crate) struct Task {
    pub(crate) phase: Phase,
    /// Run numbers of the failed runs.
    pub(crate) failed_runs: RunSet,
    /// Crashes of workers under the task's runs.
    pub(crate) crashes: Crashes,
    /// Newest checkpoint, if the task has saved one.
    pub(crate) checkpoint: Option<Arc<str>>,
    /// Number of the run that has saved the checkpoint, unknown if an owner of an earlier version has
    /// stored it.
    checkpoint_run: Option<u64>,
    /// Time before which the task does not start.
    pub(crate) not_before: Millis,
    /// Workers where the task failed, was refused, was stuck or was slow, the last one last. Others
    /// are preferred, and then those where that was longest ago.
    pub(crate) avoided_workers: Vec<Arc<str>>,
    /// Number of times that the task was stopped for a more urgent one.
    pub(crate) preemption_count: u8,
    /// When a worker last listed the task's run or its end; 0 before that.
    pub(crate) listed_at: Millis,
}

impl Task {
    fn new() -> Self {
        Self {
            phase: Phase::Waiting,
            failed_runs: RunSet::default(),
            crashes: Crashes::default(),
            checkpoint: None,
            checkpoint_run: None,
            not_before: Millis(0),
            avoided_workers: Vec::new(),
            preemption_count: 0,
            listed_at: Millis(0),
        }
    }

    /// Keeps the checkpoint of a run, unless a later one has saved the task's checkpoint. One of an
    /// unknown run yields to that of the current run only.
    pub(crate) fn save_checkpoint(&mut self, run: u64, checkpoint: &Arc<str>, is_current: bool) {
        let is_newer = match self.checkpoint_run {
            Some(saved_by) => run >= saved_by,
            None => is_current || self.checkpoint.is_none(),
        };
        if is_newer {
            self.checkpoint = Some(Arc::clone(checkpoint));
            self.checkpoint_run = Some(run);
        }
    }

    /// Lets the task prefer other workers to this one.
    pub(crate) fn avoid(&mut self, worker: &Arc<str>) {
        self.avoided_workers.retain(|avoided| avoided != worker);
        if self.avoided_workers.len() == MAX_AVOIDED_WORKERS {
            self.avoided_workers.remove(0);
        }
        self.avoided_workers.push(Arc::clone(worker));
    }

    /// Returns how much the task prefers other workers to this one, 0 if it does not avoid it.
    pub(crate) fn avoidance(&self, worker: &Arc<str>) -> usize {
        let position = self
            .avoided_workers
            .iter()
            .position(|avoided| avoided == worker);
        position.map_or(0, |position| position + 1)
    }
}

/// State of one step of an occurrence.
#[derive(Clone, Debug)]
pub(crate) struct Step {
    pub(crate) tasks: Vec<Task>,
    /// Indices of the tasks that wait for a worker.
    pub(crate) waiting: BTreeSet<u16>,
    /// Number of tasks that are not complete.
    pub(crate) remaining: u32,
    /// Wait for workers, while none is found for the step's tasks.
    pub(crate) wait: Option<Wait>,
    /// Whether tasks crash their workers, as far as known.
    pub(crate) trial: Trial,
    /// Whether the tasks form a gang. The first task then holds the checkpoint and the failures of
    /// all.
    is_gang: bool,
}

impl Step {
    fn new(spec: &StepSpec) -> Self {
        Self {
            tasks: vec![Task::new(); spec.count as usize],
            waiting: (0..spec.count as u16).collect(),
            remaining: spec.count,
            wait: None,
            trial: Trial::default(),
            is_gang: spec.is_gang,
        }
    }

    /// Returns whether the tasks form a gang.
    pub(crate) const fn is_gang(&self) -> bool {
        self.is_gang
    }

    /// Returns the number of tasks that are assigned to workers.
    pub(crate) fn assigned_count(&self) -> usize {
        self.remaining as usize - self.waiting.len()
    }

    /// Returns since when no worker was found for the step's tasks.
    pub(crate) fn blocked_since(&self) -> Option<Millis> {
        self.wait.and_then(|wait| wait.blocked_since)
    }

    /// Returns the task that holds the checkpoint and the failures of the task with this index: the
    /// first task in a gang, and otherwise the task itself.
    pub(crate) fn history(&self, index: u16) -> Option<&Task> {
        let index = if self.is_gang { 0 } else { index };
        self.tasks.get(usize::from(index))
    }

    /// Returns the same task as [`Self::history`], to be changed.
    pub(crate) fn history_mut(&mut self, index: u16) -> Option<&mut Task> {
        let index = if self.is_gang { 0 } else { index };
        self.tasks.get_mut(usize::from(index))
    }

    /// Returns whether the next run of a task is on probation, because workers have crashed under
    /// earlier ones.
    pub(crate) fn is_suspect(&self, index: u16) -> bool {
        let task = self.history(index);
        task.is_some_and(|task| task.crashes.probation.is_some())
    }

    /// Marks a task complete. In a gang, one complete member completes all.
    pub(crate) fn finish(&mut self, index: u16) {
        if self.is_gang {
            for index in 0..self.tasks.len() as u16 {
                self.mark_task_done(index);
            }
        } else {
            self.mark_task_done(index);
        }
    }

    fn mark_task_done(&mut self, index: u16) {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else {
            return;
        };
        if task.phase != Phase::Done {
            task.phase = Phase::Done;
            task.checkpoint = None;
            self.remaining -= 1;
        }
        self.waiting.remove(&index);
    }

    /// Lets a task wait for a worker again.
    pub(crate) fn requeue(&mut self, index: u16, not_before: Millis) {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else {
            return;
        };
        if task.phase != Phase::Done {
            task.phase = Phase::Waiting;
            task.not_before = not_before;
            self.waiting.insert(index);
        }
    }

    /// Assigns a task to a worker.
    pub(crate) fn assign(&mut self, index: u16, worker: &Arc<str>, run: u64) {
        let Some(task) = self.tasks.get_mut(usize::from(index)) else {
            return;
        };
        task.phase = Phase::Assigned {
            worker: Arc::clone(worker),
            run,
        };
        self.waiting.remove(&index);
    }
}

/// State of one occurrence of a job.
#[derive(Clone, Debug)]
pub(crate) struct Occurrence {
    /// Due time of the occurrence, by the owner's clock. Its deadline is relative to that.
    pub(crate) due_at: Millis,
    pub(crate) steps: Vec<Step>,
    /// Length of the critical path of the steps that are not complete, in estimated time.
    pub(crate) remaining_path: Millis,
    /// When a step was last completed. Before that, when the occurrence was due, restored or stored.
    pub(crate) advanced_at: Millis,
}

impl Occurrence {
    pub(crate) fn new(due_at: Millis, spec: &JobSpec) -> Self {
        Self {
            due_at,
            steps: spec.steps.iter().map(Step::new).collect(),
            remaining_path: spec.critical_path(|_| true),
            advanced_at: due_at,
        }
    }

    /// Restores an occurrence that an earlier owner stored.
    pub(crate) fn restore(
        (now, due_at): (Millis, Millis),
        spec: &JobSpec,
        progress: &OccurrenceProgress,
    ) -> Self {
        let mut occurrence = Self::new(due_at, spec);
        for (step, done) in occurrence.steps.iter_mut().zip(&progress.done_tasks) {
            for index in done.iter() {
                step.mark_task_done(index);
                step.trial.pass();
            }
        }
        for (step, index, runs) in &progress.failed_runs {
            if let Some(task) = occurrence.task_mut(*step, *index) {
                task.failed_runs.clone_from(runs);
            }
        }
        for (step, index, runs) in &progress.crashed_runs {
            if let Some(task) = occurrence.task_mut(*step, *index) {
                task.crashes = Crashes::restore(now, runs);
            }
            let step = occurrence.steps.get_mut(usize::from(*step));
            if let (Some(step), true) = (step, runs.iter().any(|run| run.is_early)) {
                step.trial.note_crash();
            }
        }
        for (step, index, checkpoint) in &progress.checkpoints {
            if let Some(task) = occurrence.task_mut(*step, *index) {
                task.checkpoint = Some(Arc::clone(checkpoint));
            }
        }
        for (step, index, run) in &progress.checkpoint_runs {
            if let Some(task) = occurrence.task_mut(*step, *index) {
                task.checkpoint_run = Some(*run);
            }
        }
        occurrence.update_remaining_path(spec);
        occurrence
    }

    /// Returns the progress of the occurrence, to be stored.
    pub(crate) fn progress(&self, spec: &JobSpec, number: u32) -> OccurrenceProgress {
        let mut progress = OccurrenceProgress {
            number,
            ..OccurrenceProgress::default()
        };
        for (s, (step, spec)) in (0_u16..).zip(self.steps.iter().zip(&spec.steps)) {
            let tasks = || (0_u16..).zip(&step.tasks);
            let done = tasks().filter(|(_, task)| task.phase == Phase::Done);
            progress.done_tasks.push(done.map(|(i, _)| i).collect());
            for (i, task) in tasks() {
                if !task.failed_runs.is_empty() && !spec.is_service {
                    progress.failed_runs.push((s, i, task.failed_runs.clone()));
                }
                if !task.crashes.runs.is_empty() {
                    let runs = task.crashes.runs.clone();
                    progress.crashed_runs.push((s, i, runs));
                }
                if let (Some(checkpoint), true) = (&task.checkpoint, task.phase != Phase::Done) {
                    progress.checkpoints.push((s, i, Arc::clone(checkpoint)));
                    let run = task.checkpoint_run.map(|run| (s, i, run));
                    progress.checkpoint_runs.extend(run);
                }
            }
        }
        progress
    }

    /// Returns whether all tasks are complete.
    pub(crate) fn is_complete(&self) -> bool {
        self.steps.iter().all(|step| step.remaining == 0)
    }

    /// Returns whether all steps that a step depends on are complete.
    pub(crate) fn is_ready(&self, spec: &StepSpec) -> bool {
        let mut dependencies = spec.after.iter();
        dependencies.all(|&index| self.steps[usize::from(index)].remaining == 0)
    }

    /// Updates the remaining critical path after a step was completed.
    pub(crate) fn update_remaining_path(&mut self, spec: &JobSpec) {
        self.remaining_path = spec.critical_path(|index| self.steps[index].remaining > 0);
    }

    /// Returns the steps that are not complete and whose tasks could run, by number.
    pub(crate) fn ready_steps<'a>(
        &'a self,
        spec: &'a JobSpec,
    ) -> impl Iterator<Item = (u16, &'a StepSpec, &'a Step)> {
        let steps = (0_u16..).zip(spec.steps.iter().zip(&self.steps));
        let steps = steps.map(|(number, (spec, step))| (number, spec, step));
        steps.filter(|(_, spec, step)| step.remaining > 0 && self.is_ready(spec))
    }

    /// Returns the task with this step and index.
    pub(crate) fn task_mut(&mut self, step: u16, index: u16) -> Option<&mut Task> {
        let step = self.steps.get_mut(usize::from(step))?;
        step.tasks.get_mut(usize::from(index))
    }
}

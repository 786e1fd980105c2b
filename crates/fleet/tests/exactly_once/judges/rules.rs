//! Rules on the starts of a task after its ends, and on the ends of jobs.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_jobs::{EndKind, JobId, JobSpec, TaskId};

use super::{End, Finding, Judge, MAX_FINDINGS, Started};

/// Time from which no start of a task may be sent after its job was reported as complete, or after an
/// end as done of the task was acknowledged. The bound is stated by the users.
const MAX_START_AFTER_END_MS: u64 = 1_000;

impl Judge {
    /// Returns all findings of the run.
    pub(crate) fn finish(&mut self) -> Vec<Finding> {
        let done: Vec<End> = self.ends_as(EndKind::Done).copied().collect();
        for done in done {
            if done.acknowledged_at.is_none() || done.has_lapsed {
                continue;
            }
            let starts = self.starts[&done.run.task].iter();
            let Some(again) = starts.copied().find(|started| started.at > done.at) else {
                continue;
            };
            let first = self.starts[&done.run.task]
                .iter()
                .copied()
                .find(|started| started.run == done.run && started.worker == done.worker)
                .unwrap_or(again);
            if self.findings.len() >= MAX_FINDINGS {
                break;
            }
            let how = self.describe_cause(&first, &again);
            let kind = format!("started again after done: {how}");
            self.report(again.at, kind, done.run.task, done.at);
        }
        for (task, (at, ended_at)) in self.first_acknowledged() {
            self.check_starts_after(
                at,
                task,
                ended_at,
                "started after an acknowledged end as done",
            );
        }
        for (task, (at, ended_at)) in self.last_attempts() {
            self.check_starts_after(at, task, ended_at, "started after its attempts had failed");
        }
        for (task, ended_at) in self.used_up_attempts() {
            let starts = &self.starts[&task];
            if let Some(again) = starts.iter().find(|started| started.at > ended_at) {
                let (at, kind) = (again.at, "started after its last attempt had failed");
                self.report(at, kind.to_owned(), task, ended_at);
            }
        }
        for (at, task) in std::mem::take(&mut self.complete) {
            let is_done = |end: &End| end.run.task == task && end.at <= at;
            if !self.ends_as(EndKind::Done).any(is_done) {
                self.report(at, "complete without an end done".into(), task, at);
            }
            self.check_starts_after(at, task, at, "started after its job was complete");
        }
        std::mem::take(&mut self.findings)
    }

    /// Returns the number of runs that started later after the end of their task, or after the report
    /// of their job, than [`MAX_START_AFTER_END_MS`], by calls that were sent before.
    pub(crate) fn late_count(&self) -> usize {
        self.late_starts.len()
    }

    /// Returns when the first end as done of each task was acknowledged, and when the run had ended.
    /// An end counts even if the worker's lease has ended since: the worker forgets it once it is
    /// acknowledged. Only an end whose row nobody can read is given up with the lease, and acknowledged
    /// unread after that (`docs/platform.md`).
    fn first_acknowledged(&self) -> BTreeMap<TaskId, (u64, u64)> {
        let mut first = BTreeMap::new();
        for done in self.ends_as(EndKind::Done) {
            let is_given_up = done.is_unreadable && done.has_lapsed;
            if let Some(at) = done.acknowledged_at.filter(|_| !is_given_up) {
                let entry = first.entry(done.run.task).or_insert((at, done.at));
                *entry = (at, done.at).min(*entry);
            }
        }
        first
    }

    fn ends_as(&self, kind: EndKind) -> impl Iterator<Item = &End> {
        self.ends.iter().filter(move |end| end.kind == kind)
    }

    /// Returns the tasks of which as many runs have failed as their queue allows, with the time at
    /// which the last of these ends was acknowledged, and that at which the first run had ended.
    fn last_attempts(&self) -> BTreeMap<TaskId, (u64, u64)> {
        let mut failed: BTreeMap<TaskId, BTreeMap<u64, (u64, u64)>> = BTreeMap::new();
        for end in self.ends_as(EndKind::Failed) {
            if let Some(at) = end.acknowledged_at {
                let runs = failed.entry(end.run.task).or_default();
                runs.entry(end.run.run).or_insert((at, end.at));
            }
        }
        let mut last = BTreeMap::new();
        for (task, runs) in failed {
            let mut ends: Vec<(u64, u64)> = runs.into_values().collect();
            ends.sort_unstable();
            let attempts = self
                .attempts
                .get(&task.job)
                .map_or(0, |&count| count as usize);
            let counted = ends.iter().take(attempts);
            let first_ended_at = counted.map(|end| end.1).min();
            if let (Some(&(at, _)), Some(ended_at)) = (
                attempts.checked_sub(1).and_then(|index| ends.get(index)),
                first_ended_at,
            ) {
                last.insert(task, (at, ended_at));
            }
        }
        last
    }

    /// Returns the tasks of which as many runs have failed as their queue allows, with the time at which
    /// the last of these runs ended. Only ends that were acknowledged before the worker's lease has
    /// ended count, and no start may follow them, whenever they are acknowledged.
    fn used_up_attempts(&self) -> Vec<(TaskId, u64)> {
        let mut failed: BTreeMap<TaskId, BTreeMap<u64, u64>> = BTreeMap::new();
        for end in self.ends_as(EndKind::Failed) {
            if end.acknowledged_at.is_some() && !end.has_lapsed {
                let runs = failed.entry(end.run.task).or_default();
                runs.entry(end.run.run).or_insert(end.at);
            }
        }
        let used_up = failed.into_iter().filter_map(|(task, runs)| {
            let attempts = *self.attempts.get(&task.job)? as usize;
            let mut times: Vec<u64> = runs.into_values().collect();
            times.sort_unstable();
            Some((task, *times.get(attempts.checked_sub(1)?)?))
        });
        used_up.collect()
    }

    /// Finds a job that is reported as failed although each of its tasks has failed less often than
    /// its queue allows. A job may also fail because of crashes, so nothing is found after one.
    pub(crate) fn fail(&mut self, now: u64, job: JobId, spec: &JobSpec) {
        self.failed_count += 1;
        if self.has_crashed {
            return;
        }
        let attempts = self.attempts.get(&job).map_or(0, |&count| count as usize);
        let count_failed = |task: TaskId| {
            let ends = self.ends_as(EndKind::Failed);
            let runs = ends
                .filter(|end| end.run.task == task)
                .map(|end| end.run.run);
            runs.collect::<BTreeSet<u64>>().len()
        };
        let counts = tasks(job, spec).map(|task| (count_failed(task), task));
        let Some((count, task)) = counts.max() else {
            return;
        };
        if count < attempts {
            let kind = format!("job has failed after {count} of {attempts} attempts");
            self.report(now, kind, task, 0);
        }
    }

    /// Finds the starts of a task after a time from which it must not start again. The trace begins
    /// before `shown_from`.
    fn check_starts_after(&mut self, over_at: u64, task: TaskId, shown_from: u64, kind: &str) {
        let limit = over_at + MAX_START_AFTER_END_MS;
        let starts = self.starts.get(&task).into_iter().flatten().copied();
        let late: Vec<Started> = starts.filter(|started| started.at > limit).collect();
        for started in late {
            if started.sent.at > limit {
                self.report(started.at, kind.to_owned(), task, shown_from);
            } else {
                self.late_starts.insert((started.worker, started.run));
            }
        }
    }

    /// Reports a job that has not ended although nothing keeps it, with the trace of the first task
    /// that has not ended as done.
    pub(crate) fn miss_end(&mut self, now: u64, job: JobId, spec: &JobSpec) {
        let is_done = |task: TaskId| {
            self.ends_as(EndKind::Done)
                .any(|done| done.run.task == task)
        };
        let open = tasks(job, spec).find(|&task| !is_done(task));
        let first = tasks(job, spec).next();
        let Some(task) = open.or(first) else {
            return;
        };
        let kind = match open {
            Some(_) => "job has not ended",
            None => "job has not ended although its tasks are done",
        };
        self.report(now, kind.into(), task, 0);
    }
}

/// Returns the tasks of a job without a schedule.
pub(super) fn tasks(job: JobId, spec: &JobSpec) -> impl Iterator<Item = TaskId> {
    let steps = (0_u16..).zip(&spec.steps);
    steps.flat_map(move |(step, spec)| {
        (0..spec.count as u16).map(move |index| TaskId {
            job,
            occurrence: 0,
            step,
            index,
        })
    })
}

//! Rules on the starts of a task after its ends, and on the ends of jobs.

use std::collections::BTreeMap;

use hyssop_jobs::{JobId, JobSpec, TaskId};

use super::{Done, Finding, Judge, MAX_FINDINGS, Started};

/// Time from which no start of a task may be sent after its job was reported as complete, or after an
/// end as done of the task was acknowledged. The bound is stated by the users.
const MAX_START_AFTER_END_MS: u64 = 1_000;

impl Judge {
    /// Returns all findings of the run.
    pub(crate) fn finish(&mut self) -> Vec<Finding> {
        for done in self.done.clone() {
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
        for (at, task) in std::mem::take(&mut self.complete) {
            let ends = self.done.iter().filter(|done| done.run.task == task);
            let ends: Vec<&Done> = ends.filter(|done| done.at <= at).collect();
            if ends.is_empty() {
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
        for done in &self.done {
            let is_given_up = done.is_unreadable && done.has_lapsed;
            if let Some(at) = done.acknowledged_at.filter(|_| !is_given_up) {
                let entry = first.entry(done.run.task).or_insert((at, done.at));
                *entry = (at, done.at).min(*entry);
            }
        }
        first
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
        let is_done = |task: TaskId| self.done.iter().any(|done| done.run.task == task);
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

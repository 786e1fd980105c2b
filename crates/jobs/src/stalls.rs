//! Detection of stalled jobs: a task could run, and for some time no worker has listed any run.

use hyssop_core::Millis;

use crate::StepId;
use crate::limits::{MAX_STALL_LINES, STALL_CHECK_INTERVAL, STALL_LOG_INTERVAL, STALL_TIMEOUT};
use crate::owners::Owner;

/// Stalled jobs as of the last check.
#[derive(Debug, Default)]
pub(crate) struct Stalls {
    checked_at: Millis,
    pub(crate) job_count: usize,
}

impl Owner {
    /// Counts the stalled jobs, and logs why their tasks do not run.
    pub(crate) fn check_stalls(&mut self) {
        let now = self.now;
        if now < self.stalls.checked_at + STALL_CHECK_INTERVAL {
            return;
        }
        self.stalls.checked_at = now;
        let mut stalled = Vec::new();
        let ranking = self.jobs.ranked_occurrences(now);
        let mut previous = None;
        for &(id, _) in ranking.iter() {
            // The occurrences of a job share one state of activity.
            if previous.replace(id) == Some(id) {
                continue;
            }
            let Some(job) = self.jobs.get(id).filter(|job| job.is_stored) else {
                continue;
            };
            let step = job.first_ready_step();
            let stalled_step =
                step.filter(|step| now >= job.inactive_since(step.occurrence) + STALL_TIMEOUT);
            stalled.extend(stalled_step.map(|step| (id, step)));
        }
        self.stalls.job_count = stalled.len();
        let is_due = |at: Millis| now >= at + STALL_LOG_INTERVAL;
        stalled.retain(|(id, _)| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| job.stall_logged_at.is_none_or(is_due))
        });
        for (id, step) in stalled.into_iter().take(MAX_STALL_LINES) {
            if let Some(text) = self.describe_stall(step) {
                self.log(text);
            }
            if let Some(job) = self.jobs.get_mut(id) {
                job.stall_logged_at = Some(now);
            }
        }
    }

    /// Returns a line with the inputs that decide whether a task of the step can start.
    fn describe_stall(&self, step_id: StepId) -> Option<String> {
        let job = self.jobs.get(step_id.job)?;
        let step = job.step(step_id.task(0))?;
        let index = *step.waiting.first()?;
        let request = self.placement_request(step_id.task(index), None)?;
        let resources = request.spec().resources;
        let cause = step.wait.map_or("none", |wait| wait.cause.name());
        let matching = || self.workers.values().filter(|w| request.matches(w));
        let fitting = || matching().filter(|w| request.fits(w));
        let (cpu_percent, mem_percent) = request.reserved_percent(&self.workers);
        let unused = fitting().filter(|w| request.has_unused_cpu(w)).count();
        Some(format!(
            "job {} has no running task idle_ms={} step={} waiting={} assigned={} cause={cause} \
             cpu={} mem={} best_effort={} workers={} fitting={} with_unused_cpu={unused} \
             reserved_cpu_percent={cpu_percent} reserved_mem_percent={mem_percent}",
            step_id.job,
            self.now.since(job.inactive_since(step_id.occurrence)),
            step_id.step,
            step.waiting.len(),
            step.assigned_count(),
            resources.cpu,
            resources.mem,
            request.spec().is_best_effort,
            matching().count(),
            fitting().count(),
        ))
    }
}

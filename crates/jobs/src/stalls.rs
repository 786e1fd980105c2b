//! Detection of stalled jobs: a task could run, and for some time no worker has listed any run of the
//! job, or none of a service task.

use std::collections::BTreeSet;

use hyssop_core::Millis;

use crate::jobs::Job;
use crate::limits::{
    MAX_STALL_LINES, MAX_STALL_WORKERS, SERVICE_STALL_TIMEOUT, STALL_CHECK_INTERVAL,
    STALL_LOG_INTERVAL, STALL_TIMEOUT,
};
use crate::occurrences::Phase;
use crate::owners::Owner;
use crate::{StepId, TaskId};

/// Stalled jobs as of the last check.
#[derive(Debug, Default)]
pub(crate) struct Stalls {
    checked_at: Millis,
    pub(crate) job_count: usize,
}

/// What of a job does not run although it could.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stalled {
    /// No task of the job runs. The step is ready.
    Job(StepId),
    /// A service task does not run.
    ServiceTask(TaskId),
}

/// Stall of one job.
#[derive(Clone, Copy, Debug)]
struct Stall {
    stalled: Stalled,
    since: Millis,
}

impl Owner {
    /// Counts the stalled jobs, and logs why their tasks do not run.
    pub(crate) fn check_stalls(&mut self) {
        let now = self.now;
        if now < self.stalls.checked_at + STALL_CHECK_INTERVAL {
            return;
        }
        self.stalls.checked_at = now;
        let mut stalls = Vec::new();
        let ranking = self.jobs.ranked_occurrences(now);
        let mut previous = None;
        for &(id, _) in ranking.iter() {
            // All occurrences of a job are checked together.
            if previous.replace(id) == Some(id) {
                continue;
            }
            let job = self.jobs.get(id).filter(|job| job.is_stored);
            let stall = job.and_then(|job| job.find_stall(now));
            stalls.extend(stall.map(|stall| (id, stall)));
        }
        self.stalls.job_count = stalls.len();
        let is_due = |at: Millis| now >= at + STALL_LOG_INTERVAL;
        stalls.retain(|(id, _)| {
            let job = self.jobs.get(*id);
            job.is_some_and(|job| job.stall_logged_at.is_none_or(is_due))
        });
        for (id, stall) in stalls.into_iter().take(MAX_STALL_LINES) {
            if let Some(text) = self.describe_stall(&stall) {
                self.log(text);
            }
            if let Some(job) = self.jobs.get_mut(id) {
                job.stall_logged_at = Some(now);
            }
        }
    }

    /// Returns a line with the inputs that decide whether a task of the step can start, and the
    /// workers that its tasks are assigned to.
    fn describe_stall(&self, stall: &Stall) -> Option<String> {
        let (step_id, service_task) = match stall.stalled {
            Stalled::Job(step) => (step, None),
            Stalled::ServiceTask(task) => (task.of_step(), Some(task)),
        };
        let job = self.jobs.get(step_id.job)?;
        let step = job.step(step_id.task(0))?;
        let task = service_task.unwrap_or_else(|| step_id.task(0));
        let request = self.placement_request(task, None)?;
        let resources = request.spec().resources;
        let (subject, runs) = match service_task {
            Some(task) => {
                let runs = job.assigned_step_runs(task.occurrence, task.step);
                let runs = runs.into_iter().filter(|(_, run)| run.task == task);
                (format!("service task {}", task.index), runs.collect())
            }
            None => ("task".to_owned(), job.assigned_runs()),
        };
        let is_waiting = match service_task {
            Some(task) => step.waiting.contains(&task.index),
            None => !step.waiting.is_empty(),
        };
        let cause = match step.wait {
            _ if !is_waiting => "unlisted",
            Some(wait) => wait.cause.name(),
            None => "none",
        };
        let workers: BTreeSet<&str> = runs.iter().map(|(worker, _)| &**worker).collect();
        let workers: Vec<&str> = workers.into_iter().take(MAX_STALL_WORKERS).collect();
        let matching = || self.workers.values().filter(|w| request.matches(w));
        let fitting = || matching().filter(|w| request.fits(w));
        let (cpu_percent, mem_percent) = request.reserved_percent(&self.workers);
        let unused = fitting().filter(|w| request.has_unused_cpu(w)).count();
        let hiding_ends = self
            .workers
            .values()
            .filter(|worker| request.is_in_service(worker) && request.is_canary_on(worker));
        let hiding_ends = hiding_ends.count();
        Some(format!(
            "job {} has no running {subject} idle_ms={} step={} waiting={} assigned={} on={} \
             cause={cause} cpu={} mem={} best_effort={} workers={} fitting={} \
             with_unused_cpu={unused} reserved_cpu_percent={cpu_percent} \
             reserved_mem_percent={mem_percent} hiding_ends={hiding_ends}",
            step_id.job,
            self.now.since(stall.since),
            step_id.step,
            step.waiting.len(),
            runs.len(),
            workers.join(","),
            resources.cpu,
            resources.mem,
            request.spec().is_best_effort,
            matching().count(),
            fitting().count(),
        ))
    }
}

impl Job {
    /// Returns what of the job does not run although it could, if it is stalled.
    fn find_stall(&self, now: Millis) -> Option<Stall> {
        let is_active = now < self.active_at + STALL_TIMEOUT;
        let stall = (!is_active).then(|| self.find_job_stall(now)).flatten();
        stall.or_else(|| self.find_service_stall(now))
    }

    /// Returns the stall of the whole job: no worker lists any of its runs. A step with waiting tasks
    /// is preferred, because the cause of their wait is known.
    fn find_job_stall(&self, now: Millis) -> Option<Stall> {
        let stalled = self.occurrences.iter().filter_map(|(&number, occurrence)| {
            let since = self.inactive_since(number);
            let is_stalled = now >= since + STALL_TIMEOUT;
            is_stalled.then_some((number, since, occurrence))
        });
        let steps = stalled.flat_map(|(number, since, occurrence)| {
            let steps = occurrence.ready_steps(&self.spec);
            steps.map(move |(step, _, state)| (state.waiting.is_empty(), number, step, since))
        });
        let (_, occurrence, step, since) = steps.min()?;
        let step = StepId {
            job: self.id,
            occurrence,
            step,
        };
        Some(Stall {
            stalled: Stalled::Job(step),
            since,
        })
    }

    /// Returns the stall of the service task that no worker has listed for longest.
    fn find_service_stall(&self, now: Millis) -> Option<Stall> {
        if !self.spec.steps.iter().any(|step| step.is_service) {
            return None;
        }
        let steps = self.occurrences.iter().flat_map(|(&number, occurrence)| {
            let steps = occurrence.ready_steps(&self.spec);
            let steps = steps.filter(|(_, spec, _)| spec.is_service);
            steps.map(move |(step, _, state)| (number, step, state))
        });
        let tasks = steps.flat_map(|(occurrence, step, state)| {
            let tasks = (0_u16..).zip(&state.tasks);
            let open = tasks.filter(|(_, task)| task.phase != Phase::Done);
            open.map(move |(index, _)| {
                let task = TaskId {
                    job: self.id,
                    occurrence,
                    step,
                    index,
                };
                (self.away_since(task), task)
            })
        });
        let (since, task) = tasks.min()?;
        (now >= since + SERVICE_STALL_TIMEOUT).then_some(Stall {
            stalled: Stalled::ServiceTask(task),
            since,
        })
    }
}

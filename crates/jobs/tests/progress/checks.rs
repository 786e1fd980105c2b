//! Checks that an accepted job does not stand still.

use std::collections::BTreeMap;

use hyssop_jobs::{JobId, Resources, StepSpec, WorkerState};

use crate::models::{Model, ModelJob, ModelWorker};

/// Time for which nothing of a job may run although it could.
pub(crate) const MAX_IDLE_MS: u64 = 3_000;
/// Time for which a service task may be away although it could run.
const MAX_AWAY_MS: u64 = 6_000;
/// Share of a service's processors or memory, in percent, from which the service counts as busy.
const BUSY_PERCENT: u64 = 50;

/// Checker of one fleet.
#[derive(Default)]
pub(crate) struct Checker {
    /// Since when nothing of a job runs although it could, by job and step.
    idle: BTreeMap<(JobId, u16), u64>,
    /// Since when a service task does not run although it could.
    away: BTreeMap<(JobId, u16, u16), u64>,
    /// Description of each job that stood still for too long.
    pub(crate) violations: BTreeMap<JobId, String>,
}

impl Checker {
    /// Compares what runs with what could run.
    pub(crate) fn check(&mut self, model: &Model) {
        let mut idle = BTreeMap::new();
        let mut away = BTreeMap::new();
        let open = model.jobs.iter();
        for (&id, job) in
            open.filter(|(_, job)| job.is_accepted && !job.is_cancelled && !job.is_ended)
        {
            let is_running = running(model).any(|run| run.task.job == id);
            for (number, step) in (0_u16..).zip(&job.spec.steps) {
                let workers = service_workers(model, job);
                if !is_ready(job, number, step) || !has_places(&workers, step) {
                    continue;
                }
                if !is_running && !is_busy(&workers) {
                    let key = (id, number);
                    let since = *self.idle.get(&key).unwrap_or(&model.now);
                    idle.insert(key, since);
                    if model.now >= since + MAX_IDLE_MS {
                        self.report(model, id, number, step, since);
                    }
                }
                for index in (0..step.count as u16).filter(|_| step.is_service) {
                    let is_at_work = running(model).any(|run| {
                        let task = run.task;
                        (task.job, task.step, task.index) == (id, number, index)
                    });
                    if is_at_work {
                        continue;
                    }
                    let key = (id, number, index);
                    let since = *self.away.get(&key).unwrap_or(&model.now);
                    away.insert(key, since);
                    if model.now >= since + MAX_AWAY_MS {
                        self.report(model, id, number, step, since);
                    }
                }
            }
        }
        (self.idle, self.away) = (idle, away);
    }

    fn report(&mut self, model: &Model, id: JobId, number: u16, step: &StepSpec, since: u64) {
        self.violations.entry(id).or_insert_with(|| {
            let text = id.to_string();
            let lines = model.logs.iter().filter(|(_, line)| line.contains(&text));
            let lines: Vec<String> = lines.map(|(at, line)| format!("\n    {at} {line}")).collect();
            let first = lines.len().saturating_sub(12);
            format!(
                "{id}.0.{number} could run from {since} ms to {} ms and does not; it needs {:?}, {} \
                 in its step{}",
                model.now,
                step.resources,
                step.count,
                lines[first..].concat()
            )
        });
    }
}

fn running(model: &Model) -> impl Iterator<Item = hyssop_jobs::RunId> {
    let workers = model.workers.iter();
    workers.flat_map(|worker| worker.runs.keys().copied())
}

/// Returns whether a step has a task that is not done and all steps before it are complete.
fn is_ready(job: &ModelJob, number: u16, step: &StepSpec) -> bool {
    let done = |number: u16| job.done.iter().filter(|(step, _)| *step == number).count();
    let is_complete = |number: u16| {
        let spec = &job.spec.steps[usize::from(number)];
        let needed = if spec.is_gang { 1 } else { spec.count as usize };
        done(number) >= needed
    };
    !is_complete(number) && step.after.iter().all(|&before| is_complete(before))
}

/// Returns the workers of the job's service that take tasks.
fn service_workers<'a>(model: &'a Model, job: &ModelJob) -> Vec<&'a ModelWorker> {
    let rule = model.policy.queues.get(&job.rule.name);
    let service = rule.map_or(&job.rule.service, |rule| &rule.service);
    let workers = model.workers.iter().filter(|worker| {
        worker.is_alive
            && worker.info.service == *service
            && worker.info.state == WorkerState::Ready
            && !model.policy.closed_domains.contains(&worker.info.domain)
    });
    workers.collect()
}

/// Returns whether half of the processors or of the memory of the workers is in use. Service tasks
/// have to run however much is in use.
fn is_busy(workers: &[&ModelWorker]) -> bool {
    let sum = |of: &dyn Fn(&ModelWorker) -> Resources| {
        let parts = workers.iter().map(|worker| of(worker));
        parts.fold(Resources::default(), |sum, part| sum.plus(&part))
    };
    let total = sum(&|worker| worker.info.capacity);
    let used = total.minus(&sum(&ModelWorker::free));
    let is_busy = |used: u64, total: u64| used * 100 >= total * BUSY_PERCENT;
    is_busy(used.cpu, total.cpu) || is_busy(used.mem, total.mem)
}

/// Returns whether there is capacity for a task of the step, or for its gang, twice over.
fn has_places(workers: &[&ModelWorker], step: &StepSpec) -> bool {
    let eligible = workers.iter().filter(|worker| {
        let labels = &worker.info.labels;
        step.label
            .as_ref()
            .is_none_or(|label| labels.contains(label))
    });
    let places = eligible.map(|worker| {
        let (mut free, mut places) = (worker.free(), 0);
        let limit = match step.max_per_worker {
            0 => step.count * 2,
            limit => limit,
        };
        while places < limit && free.covers(&step.reserved()) {
            free = free.minus(&step.reserved());
            places += 1;
        }
        places
    });
    let needed = if step.is_gang { step.count } else { 1 };
    places.sum::<u32>() >= needed * 2
}

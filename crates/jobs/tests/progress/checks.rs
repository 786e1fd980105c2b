//! Checks that an accepted job does not stand still.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_jobs::{JobId, Resources, StepId, StepSpec, TaskId, WorkerState};

use crate::models::{Health, Model, ModelJob, ModelWorker, is_eligible};

/// Time for which nothing of a job may run although it could.
pub(crate) const MAX_IDLE_MS: u64 = 3_000;
/// Time for which a service task may be away although it could run.
const MAX_AWAY_MS: u64 = 6_000;
/// Requests that a step may need until a task starts: some name no eligible worker, some fail, and some
/// tickets are refused.
const ADVICE_TRIES: u64 = 3;
/// Time of the longest request that is not the smallest useful one.
const LONGEST_REQUEST_MS: u64 = 1_000;
/// Share of a service's processors or memory, in percent, from which the service counts as busy.
const BUSY_PERCENT: u64 = 50;

/// Step of a job of which nothing runs although a task of the step could.
#[derive(Clone, Copy, Debug)]
struct Idle {
    since: u64,
    /// Longest time since then that the advice service has needed for all steps that ask it.
    turn_ms: u64,
}

/// Checker of one fleet.
#[derive(Default)]
pub(crate) struct Checker {
    /// Since when nothing of a job runs although a task of the step could.
    idle: BTreeMap<StepId, Idle>,
    /// Since when a service task does not run although it could.
    away: BTreeMap<TaskId, u64>,
    /// Description of each job that stood still for too long.
    pub(crate) violations: BTreeMap<JobId, String>,
}

impl Checker {
    /// Compares what runs with what could run.
    pub(crate) fn check(&mut self, model: &Model) {
        let mut idle = BTreeMap::new();
        let mut away = BTreeMap::new();
        let turn_ms = turn_ms(model);
        let runs = model.workers.iter().flat_map(|worker| worker.runs.keys());
        let running: BTreeSet<TaskId> = runs.map(|run| run.task).collect();
        let running_jobs: BTreeSet<JobId> = running.iter().map(|task| task.job).collect();
        let open = model.jobs.iter();
        for (&id, job) in open
            .filter(|(_, job)| job.is_accepted && !job.is_cancelled && !job.is_ended)
            .filter(|(_, job)| !job.is_crashing)
        {
            let has_service_tasks = job.spec.steps.iter().any(|step| step.is_service);
            if running_jobs.contains(&id) && !has_service_tasks {
                continue;
            }
            for step_id in ready_steps(model, id, job) {
                let step = &job.spec.steps[usize::from(step_id.step)];
                if !running_jobs.contains(&id) && may_not_stand_still(model, job, step_id) {
                    let known = self.idle.get(&step_id);
                    let since = known.map_or(model.now, |known| known.since);
                    let needs_ticket = job.current_rule(&model.policy).needs_tickets;
                    let turn_ms = match needs_ticket {
                        true => known.map_or(0, |known| known.turn_ms).max(turn_ms),
                        false => 0,
                    };
                    idle.insert(step_id, Idle { since, turn_ms });
                    if model.now >= since + MAX_IDLE_MS + turn_ms {
                        self.report(model, step_id, step, since);
                    }
                }
                for index in (0..step.count as u16).filter(|_| step.is_service) {
                    let task = step_id.task(index);
                    if running.contains(&task) || !may_not_be_away(model, job, step_id) {
                        continue;
                    }
                    let since = *self.away.get(&task).unwrap_or(&model.now);
                    away.insert(task, since);
                    if model.now >= since + MAX_AWAY_MS {
                        self.report(model, step_id, step, since);
                    }
                }
            }
        }
        (self.idle, self.away) = (idle, away);
    }

    fn report(&mut self, model: &Model, id: StepId, step: &StepSpec, since: u64) {
        self.violations.entry(id.job).or_insert_with(|| {
            let text = id.job.to_string();
            let lines = model.logs.iter().filter(|(_, line)| line.contains(&text));
            let lines: Vec<String> = lines
                .map(|(at, line)| format!("\n    {at} {line}"))
                .collect();
            let first = lines.len().saturating_sub(12);
            format!(
                "{id} could run from {since} ms to {} ms and does not; it needs {:?}, {} in its \
                 step{}",
                model.now,
                step.resources,
                step.count,
                lines[first..].concat()
            )
        });
    }
}

/// Returns the time that an advice service that handles requests in turn needs for all steps that ask
/// it, and for the request that it has begun.
fn turn_ms(model: &Model) -> u64 {
    let Some(times) = model.advice_times() else {
        return 0;
    };
    let open = model.jobs.iter();
    let asking = open.filter(|(_, job)| {
        job.is_accepted
            && !job.is_cancelled
            && !job.is_ended
            && job.current_rule(&model.policy).needs_tickets
    });
    let steps = asking.flat_map(|(&id, job)| {
        let steps = ready_steps(model, id, job);
        steps.map(|step_id| &job.spec.steps[usize::from(step_id.step)])
    });
    let time_ms = |step: &StepSpec| match step.is_gang {
        true => times.time_ms(u64::from(step.count)),
        false => times.time_ms(1),
    };
    let turns: u64 = steps.map(time_ms).sum();
    ADVICE_TRIES * turns + LONGEST_REQUEST_MS.max(times.time_ms(1))
}

/// Returns the steps of due occurrences that have a task that is not done and whose dependencies
/// are complete.
fn ready_steps<'a>(
    model: &Model,
    id: JobId,
    job: &'a ModelJob,
) -> impl Iterator<Item = StepId> + 'a {
    let occurrences = 0..job.due_count(model.now);
    occurrences.flat_map(move |occurrence| {
        let steps = (0_u16..).take(job.spec.steps.len());
        let ready = steps.filter(move |&step| {
            job.is_ready(occurrence, step) && !job.is_complete(occurrence, step)
        });
        ready.map(move |step| StepId {
            job: id,
            occurrence,
            step,
        })
    })
}

/// Returns whether callers require progress of a job: less than half of the service's capacity is
/// in use, and there is capacity for a task of the step, or for its gang, twice over.
///
/// Callers count every worker that is alive and ready, whatever it does with its orders. The job is
/// excused only if the workers that run what they are ordered to have no capacity for the task or
/// the gang: no decision of the owner could start it then.
fn may_not_stand_still(model: &Model, job: &ModelJob, step_id: StepId) -> bool {
    let step = &job.spec.steps[usize::from(step_id.step)];
    let needed = if step.is_gang { step.count } else { 1 };
    let workers = service_workers(model, job);
    if is_busy(&workers) {
        return false;
    }
    let places = |worker: &&ModelWorker| count_places(model, job, step_id, worker);
    let good = workers.iter().copied().filter(is_good);
    workers.iter().map(places).sum::<u32>() >= needed * 2
        && good.map(|worker| places(&worker)).sum::<u32>() >= needed
}

/// Returns whether a worker that runs what it is ordered to has capacity for a service task,
/// however full the others are.
fn may_not_be_away(model: &Model, job: &ModelJob, step_id: StepId) -> bool {
    let mut workers = service_workers(model, job).into_iter().filter(is_good);
    workers.any(|worker| count_places(model, job, step_id, worker) > 0)
}

fn is_good(worker: &&ModelWorker) -> bool {
    worker.health == Health::Good
}

/// Returns the workers that callers count: alive, ready, of the job's service and in an open domain.
fn service_workers<'a>(model: &'a Model, job: &ModelJob) -> Vec<&'a ModelWorker> {
    let service = &job.current_rule(&model.policy).service;
    let workers = model.workers.iter().filter(|worker| {
        worker.is_alive
            && worker.info.service == *service
            && worker.info.state == WorkerState::Ready
            && !model.policy.closed_domains.contains(&worker.info.domain)
    });
    workers.collect()
}

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

/// Returns how many tasks of a step a worker has capacity for, up to twice the tasks of the step.
fn count_places(model: &Model, job: &ModelJob, step_id: StepId, worker: &ModelWorker) -> u32 {
    let step = &job.spec.steps[usize::from(step_id.step)];
    let labels = &worker.info.labels;
    let needs_ticket = job.current_rule(&model.policy).needs_tickets;
    if step
        .label
        .as_ref()
        .is_some_and(|label| !labels.contains(label))
        || (needs_ticket && !is_eligible(step_id, &worker.info))
    {
        return 0;
    }
    // Nothing may start on a worker whose runs exceed its capacity, and tasks that work on idle
    // processors make no progress where there are none.
    let capacity = &worker.info.capacity;
    if !capacity.covers(&worker.reserved()) || (capacity.cpu == 0 && step.resources.cpu > 0) {
        return 0;
    }
    let limit = match step.max_per_worker {
        0 => step.count * 2,
        limit => limit.saturating_sub(worker.step_run_count(step_id)),
    };
    let (mut free, mut places) = (worker.free(), 0);
    while places < limit && free.covers(&step.reserved()) {
        free = free.minus(&step.reserved());
        places += 1;
    }
    places
}

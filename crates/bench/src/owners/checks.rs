//! Checks that an accepted job does not stand still while its service has capacity for it.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::fmt;
use std::sync::Arc;

use hyssop_jobs::{JobId, Resources, RunId, StepSpec};

use super::models::Model;
use super::workers::ModelWorker;

/// Time for which nothing of a job may run although it could, in milliseconds. Promised to callers.
const MAX_IDLE_MS: u64 = 3_000;
/// Time for which a service task may be away although it could run, in milliseconds. Promised to
/// callers from 6 s after its last run.
const MAX_AWAY_MS: u64 = 6_000;
/// Share of the service's processors or memory, in percent, from which it owes no progress to jobs.
const BUSY_PERCENT: u64 = 50;

/// Time for which a job or a service task stood still, with the state when it had done so for too
/// long.
#[derive(Clone, Debug)]
struct Stall {
    text: String,
    millis: u64,
}

/// What stands still: a job, or one task of a service step.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Subject {
    Job(JobId),
    Task(JobId, u16, u16),
}

impl Subject {
    const fn job(self) -> JobId {
        match self {
            Self::Job(job) | Self::Task(job, ..) => job,
        }
    }
}

impl fmt::Display for Subject {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Job(job) => write!(f, "job {job}"),
            Self::Task(job, step, index) => write!(f, "service task {job}.0.{step}.{index}"),
        }
    }
}

/// Checker of one model.
#[derive(Debug, Default)]
pub(super) struct Checker {
    /// Since when a subject does not run although it could.
    since: BTreeMap<Subject, u64>,
    /// Subjects that stood still for too long.
    found: BTreeMap<Subject, Stall>,
    longest: u64,
    idle_peak: usize,
    checks: u64,
    busy_checks: u64,
}

impl Checker {
    /// Compares what runs with what could run.
    pub(super) fn check(&mut self, model: &Model) {
        let fleet = Fleet::new(model);
        self.checks += 1;
        self.busy_checks += u64::from(fleet.is_busy);
        let mut places = HashMap::new();
        let mut since = BTreeMap::new();
        let mut idle_count = 0;
        for (&id, job) in model.jobs.iter().filter(|(_, job)| job.is_accepted) {
            let is_idle = !fleet.running_jobs.contains(&id);
            idle_count += usize::from(is_idle);
            if !is_idle && !job.spec.steps[0].is_service {
                continue;
            }
            for (number, step) in (0_u16..).zip(&job.spec.steps) {
                if !job.is_ready(number) {
                    continue;
                }
                let tasks = (0..step.count as u16).filter(|_| step.is_service);
                let away = tasks.map(|index| Subject::Task(id, number, index));
                let mut subjects: Vec<Subject> = away.filter(|task| fleet.is_away(task)).collect();
                if is_idle && !fleet.is_busy {
                    subjects.push(Subject::Job(id));
                }
                if subjects.is_empty() {
                    continue;
                }
                let room = fleet.room(&mut places, id, number, step);
                if room.places < 2 {
                    continue;
                }
                for subject in subjects {
                    let from = *self.since.get(&subject).unwrap_or(&model.now);
                    since.insert(subject, from);
                    self.record(model, subject, (number, step), from, room.workers);
                }
            }
        }
        self.since = since;
        self.idle_peak = self.idle_peak.max(idle_count);
    }

    /// Records how long a subject has stood still.
    fn record(
        &mut self,
        model: &Model,
        subject: Subject,
        (number, step): (u16, &StepSpec),
        from: u64,
        room: usize,
    ) {
        let millis = model.now - from;
        let limit = match subject {
            Subject::Job(_) => MAX_IDLE_MS,
            Subject::Task(..) => MAX_AWAY_MS,
        };
        let is_stall = millis >= limit;
        if is_stall || matches!(subject, Subject::Job(_)) {
            self.longest = self.longest.max(millis);
        }
        if !is_stall {
            return;
        }
        let found = self.found.entry(subject).or_insert_with(|| {
            let Resources { cpu, mem, .. } = step.reserved();
            let log = model.stall_line(subject.job());
            let log = log.unwrap_or("the owner has logged no stall");
            let text = format!(
                "{subject} could run from {from} ms and does not: step {number} with {} tasks that \
                 reserve cpu={cpu} mem={mem} each, room on {room} of {} workers; {log}",
                step.count,
                model.workers.len()
            );
            Stall { text, millis }
        });
        found.millis = found.millis.max(millis);
    }

    /// Returns the number of jobs that stood still for too long, or one of whose tasks did.
    pub(super) fn stalled_jobs(&self) -> usize {
        let jobs = self.found.keys().map(|subject| subject.job());
        jobs.collect::<HashSet<_>>().len()
    }

    /// Returns a description of all that stood still for too long.
    pub(super) fn stalls(&self) -> Vec<String> {
        let stalls = self.found.values();
        let texts = stalls.map(|stall| format!("for {} ms, {}", stall.millis, stall.text));
        texts.collect()
    }

    /// Returns the longest time without a running task while there was capacity.
    pub(super) const fn longest(&self) -> u64 {
        self.longest
    }

    /// Returns the highest number of accepted jobs that had nothing running at the same time.
    pub(super) const fn idle_peak(&self) -> usize {
        self.idle_peak
    }

    /// Returns the share of the checks that found half of the capacity in use, in percent.
    pub(super) fn busy_percent(&self) -> f64 {
        self.busy_checks as f64 * 100.0 / (self.checks as f64).max(1.0)
    }
}

/// Room for the tasks of a step.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    workers: usize,
    places: u64,
}

/// Runs and free capacity of all workers at one time. The model has one service.
struct Fleet<'a> {
    model: &'a Model,
    free: Vec<Resources>,
    running_jobs: HashSet<JobId>,
    running_services: HashSet<(JobId, u16, u16)>,
    is_busy: bool,
}

/// Rooms by what a task reserves and the label that it needs, for steps without a limit per worker.
type Places = HashMap<(u64, u64, Option<Arc<str>>), Room>;

impl<'a> Fleet<'a> {
    fn new(model: &'a Model) -> Self {
        let workers = || model.workers.iter();
        let free: Vec<Resources> = workers().map(ModelWorker::free).collect();
        let mut total = Resources::default();
        for worker in workers() {
            total = total.plus(&worker.info.capacity);
        }
        let unused = free.iter().fold(Resources::default(), |a, b| a.plus(b));
        let is_busy = |unused: u64, total: u64| (total - unused) * 100 >= total * BUSY_PERCENT;
        let runs: Vec<&RunId> = workers().flat_map(|worker| worker.runs.keys()).collect();
        let is_service = |run: &&&RunId| {
            let job = model.jobs.get(&run.task.job);
            job.is_some_and(|job| job.spec.steps[usize::from(run.task.step)].is_service)
        };
        let services = runs.iter().filter(is_service);
        let task = |run: &&RunId| (run.task.job, run.task.step, run.task.index);
        Self {
            model,
            is_busy: is_busy(unused.cpu, total.cpu) || is_busy(unused.mem, total.mem),
            running_services: services.map(task).collect(),
            running_jobs: runs.iter().map(|run| run.task.job).collect(),
            free,
        }
    }

    fn is_away(&self, subject: &Subject) -> bool {
        match *subject {
            Subject::Task(job, step, index) => !self.running_services.contains(&(job, step, index)),
            Subject::Job(_) => false,
        }
    }

    /// Returns how many tasks of a step fit, and on how many workers.
    fn room(&self, known: &mut Places, job: JobId, number: u16, step: &StepSpec) -> Room {
        let needed = step.reserved();
        let key = (needed.cpu, needed.mem, step.label.clone());
        if step.max_per_worker == 0
            && let Some(room) = known.get(&key)
        {
            return *room;
        }
        let mut room = Room::default();
        for (worker, free) in self.model.workers.iter().zip(&self.free) {
            let has_label = |label| worker.info.labels.contains(label);
            if !step.label.as_ref().is_none_or(has_label) || !free.covers(&needed) {
                continue;
            }
            let fitting = |free: u64, needed: u64| free.checked_div(needed).unwrap_or(u64::MAX);
            let mut places = fitting(free.cpu, needed.cpu).min(fitting(free.mem, needed.mem));
            if step.max_per_worker > 0 {
                let is_same = |run: &&RunId| (run.task.job, run.task.step) == (job, number);
                let running = worker.runs.keys().filter(is_same).count() as u64;
                places = places.min(u64::from(step.max_per_worker).saturating_sub(running));
            }
            room.workers += usize::from(places > 0);
            room.places = room.places.saturating_add(places);
        }
        if step.max_per_worker == 0 {
            known.insert(key, room);
        }
        room
    }
}

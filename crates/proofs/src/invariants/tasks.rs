//! Checks of the tasks that run on the workers: G1, G2, G3 and G4.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{
    Attempt, CellRecord, Class, DomainName, DomainState, JobId, Millis, Resources, WorkerName,
};

use super::{CHANGE_DEADLINE, Findings, Observation, TaskEnd};

/// A task that runs on a worker.
#[derive(Debug)]
struct RunningTask {
    attempt: Attempt,
    class: Class,
    needs: Resources,
}

#[derive(Debug)]
struct Worker {
    domain: DomainName,
    capacity: Resources,
    is_frozen: bool,
    running: BTreeMap<JobId, RunningTask>,
}

#[derive(Debug, Default)]
pub(super) struct Tasks {
    workers: BTreeMap<WorkerName, Worker>,
    /// All attempts that were started on any worker.
    started_attempts: BTreeSet<(JobId, Attempt)>,
    /// Latest committed checkpoint of each job, with the attempt that wrote it.
    checkpoints: BTreeMap<JobId, (Attempt, u64)>,
    /// Domains out of service, with the time of the change.
    out_since: BTreeMap<DomainName, Millis>,
}

impl Tasks {
    pub(super) fn observe(&mut self, now: Millis, obs: &Observation, findings: &mut Findings) {
        match obs {
            Observation::WorkerRegistered {
                worker,
                domain,
                capacity,
            } => {
                let entry = Worker {
                    domain: domain.clone(),
                    capacity: *capacity,
                    is_frozen: false,
                    running: BTreeMap::new(),
                };
                self.workers.insert(worker.clone(), entry);
            }
            Observation::TaskStarted {
                worker,
                job,
                attempt,
                class,
                needs,
                done,
            } => {
                let task = RunningTask {
                    attempt: *attempt,
                    class: *class,
                    needs: *needs,
                };
                self.task_started(now, worker, job, task, *done, findings);
            }
            Observation::TaskEnded {
                worker,
                job,
                attempt,
                end,
            } => self.task_ended(worker, job, *attempt, *end),
            Observation::WorkerFrozen(worker) => self.set_frozen(worker, true),
            Observation::WorkerResumed(worker) => {
                self.set_frozen(worker, false);
                self.check_resumed(worker, findings);
            }
            Observation::DomainChanged { domain, state } => match state {
                DomainState::Out => {
                    self.out_since.entry(domain.clone()).or_insert(now);
                }
                DomainState::In => {
                    self.out_since.remove(domain);
                }
            },
            Observation::RecordAppended { record, .. } => {
                if let CellRecord::Released {
                    job,
                    attempt,
                    checkpoint,
                    ..
                } = &record.body
                {
                    self.checkpoints
                        .insert(job.clone(), (*attempt, *checkpoint));
                }
            }
            _ => {}
        }
    }

    pub(super) fn running_in(&self, domain: &DomainName) -> Vec<JobId> {
        let workers = self
            .workers
            .values()
            .filter(|worker| worker.domain == *domain);
        let tasks = workers.flat_map(|worker| &worker.running);
        tasks
            .filter(|(_, task)| task.class != Class::LatencyCritical)
            .map(|(job, _)| job.clone())
            .collect()
    }

    fn set_frozen(&mut self, worker: &WorkerName, is_frozen: bool) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.is_frozen = is_frozen;
        }
    }

    fn task_started(
        &mut self,
        now: Millis,
        name: &WorkerName,
        job: &JobId,
        task: RunningTask,
        done: u64,
        findings: &mut Findings,
    ) {
        if task.class != Class::LatencyCritical {
            self.check_start(now, name, job, &task, done, findings);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.running.insert(job.clone(), task);
        let needs = worker.running.values().map(|task| task.needs);
        let mut needs = needs;
        let sum = needs.try_fold(Resources::default(), Resources::checked_add);
        if !sum.is_some_and(|sum| sum.fits(worker.capacity)) {
            let capacity = worker.capacity;
            findings.add(1, format!("{name} runs {sum:?} of {capacity:?}"));
        }
    }

    fn check_start(
        &mut self,
        now: Millis,
        name: &WorkerName,
        job: &JobId,
        task: &RunningTask,
        done: u64,
        findings: &mut Findings,
    ) {
        let attempt = task.attempt;
        for other in self.other_runners(name, job) {
            findings.add(2, format!("{job} runs on {other} and {name}"));
        }
        if !self.started_attempts.insert((job.clone(), attempt)) {
            findings.add(
                3,
                format!("attempt {attempt} of {job} starts again on {name}"),
            );
        }
        if let Some((released, checkpoint)) = self.checkpoints.get(job)
            && attempt > *released
            && done < *checkpoint
        {
            let text = format!("{job} resumes at {done} and not at its checkpoint {checkpoint}");
            findings.add(3, text);
        }
        let domain = self.workers.get(name).map(|worker| &worker.domain);
        if let Some(since) = domain.and_then(|domain| self.out_since.get(domain))
            && now > *since + CHANGE_DEADLINE
        {
            findings.add(4, format!("{job} starts on {name}, out since {since}"));
        }
    }

    /// Returns the other workers that run a job and are not frozen.
    fn other_runners(&self, name: &WorkerName, job: &JobId) -> Vec<WorkerName> {
        let others = self.workers.iter().filter(|(other, _)| *other != name);
        others
            .filter(|(_, worker)| !worker.is_frozen && worker.running.contains_key(job))
            .map(|(other, _)| other.clone())
            .collect()
    }

    /// Checks that a worker which resumes runs no job that another worker runs meanwhile.
    fn check_resumed(&self, name: &WorkerName, findings: &mut Findings) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let tasks = worker.running.iter();
        for (job, _) in tasks.filter(|(_, task)| task.class != Class::LatencyCritical) {
            for other in self.other_runners(name, job) {
                findings.add(
                    2,
                    format!("{job} runs on {other} and on {name}, which resumed"),
                );
            }
        }
    }

    fn task_ended(&mut self, name: &WorkerName, job: &JobId, attempt: Attempt, _end: TaskEnd) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker
                .running
                .get(job)
                .is_some_and(|task| task.attempt == attempt)
        {
            worker.running.remove(job);
        }
    }
}

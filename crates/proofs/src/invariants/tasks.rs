//! Checks of what runs on the workers: G1, G2, G3 and G4.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{
    Attempt, CellRecord, Class, DomainName, DomainState, JobId, Millis, Resources, WorkerName,
};

use super::{Findings, IN_FORCE, Obs, TaskEnd};

/// A task that runs.
#[derive(Debug)]
struct Live {
    attempt: Attempt,
    class: Class,
    needs: Resources,
}

#[derive(Debug)]
struct Worker {
    domain: DomainName,
    capacity: Resources,
    frozen: bool,
    live: BTreeMap<JobId, Live>,
}

#[derive(Debug, Default)]
pub(super) struct Tasks {
    workers: BTreeMap<WorkerName, Worker>,
    /// Attempts that were ever started.
    started: BTreeSet<(JobId, Attempt)>,
    /// Latest settled checkpoint of each job.
    released: BTreeMap<JobId, (Attempt, u64)>,
    /// Domains out of service.
    out: BTreeMap<DomainName, Millis>,
}

impl Tasks {
    pub(super) fn observe(&mut self, now: Millis, obs: &Obs, findings: &mut Findings) {
        match obs {
            Obs::Worker {
                worker,
                domain,
                capacity,
            } => {
                let entry = Worker {
                    domain: domain.clone(),
                    capacity: *capacity,
                    frozen: false,
                    live: BTreeMap::new(),
                };
                self.workers.insert(worker.clone(), entry);
            }
            Obs::Started {
                worker,
                job,
                attempt,
                class,
                needs,
                done,
            } => {
                let live = Live {
                    attempt: *attempt,
                    class: *class,
                    needs: *needs,
                };
                self.started(now, worker, job, live, *done, findings);
            }
            Obs::Ended {
                worker,
                job,
                attempt,
                end,
            } => self.ended(worker, job, *attempt, *end),
            Obs::Frozen(worker) => self.freeze(worker, true),
            Obs::Woken(worker) => {
                self.freeze(worker, false);
                self.check_woken(worker, findings);
            }
            Obs::Domain { domain, state } => match state {
                DomainState::Out => {
                    self.out.entry(domain.clone()).or_insert(now);
                }
                DomainState::In => {
                    self.out.remove(domain);
                }
            },
            Obs::Record { record, .. } => {
                if let CellRecord::Released {
                    job,
                    attempt,
                    checkpoint,
                    ..
                } = &record.body
                {
                    self.released.insert(job.clone(), (*attempt, *checkpoint));
                }
            }
            _ => {}
        }
    }

    pub(super) fn running_in(&self, domain: &DomainName) -> Vec<JobId> {
        let workers = self.workers.values().filter(|w| w.domain == *domain);
        let live = workers.flat_map(|w| &w.live);
        live.filter(|(_, live)| live.class != Class::LatencyCritical)
            .map(|(job, _)| job.clone())
            .collect()
    }

    fn freeze(&mut self, worker: &WorkerName, frozen: bool) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.frozen = frozen;
        }
    }

    fn started(
        &mut self,
        now: Millis,
        name: &WorkerName,
        job: &JobId,
        live: Live,
        done: u64,
        findings: &mut Findings,
    ) {
        if live.class != Class::LatencyCritical {
            self.check_start(now, name, job, &live, done, findings);
        }
        let Some(worker) = self.workers.get_mut(name) else {
            return;
        };
        worker.live.insert(job.clone(), live);
        let needs = worker.live.values().map(|live| live.needs);
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
        live: &Live,
        done: u64,
        findings: &mut Findings,
    ) {
        let attempt = live.attempt;
        for other in self.others(name, job) {
            findings.add(2, format!("{job} runs on {other} and {name}"));
        }
        if !self.started.insert((job.clone(), attempt)) {
            findings.add(
                3,
                format!("attempt {attempt} of {job} starts again on {name}"),
            );
        }
        if let Some((released, checkpoint)) = self.released.get(job)
            && attempt > *released
            && done < *checkpoint
        {
            let text = format!("{job} resumes at {done} and not at its checkpoint {checkpoint}");
            findings.add(3, text);
        }
        let domain = self.workers.get(name).map(|worker| &worker.domain);
        if let Some(since) = domain.and_then(|domain| self.out.get(domain))
            && now > *since + IN_FORCE
        {
            findings.add(4, format!("{job} starts on {name}, out since {since}"));
        }
    }

    /// Returns the other workers that run a job and make progress.
    fn others(&self, name: &WorkerName, job: &JobId) -> Vec<WorkerName> {
        let others = self.workers.iter().filter(|(other, _)| *other != name);
        others
            .filter(|(_, worker)| !worker.frozen && worker.live.contains_key(job))
            .map(|(other, _)| other.clone())
            .collect()
    }

    /// A worker that wakes may hold no job that runs elsewhere by now.
    fn check_woken(&self, name: &WorkerName, findings: &mut Findings) {
        let Some(worker) = self.workers.get(name) else {
            return;
        };
        let live = worker.live.iter();
        for (job, _) in live.filter(|(_, live)| live.class != Class::LatencyCritical) {
            for other in self.others(name, job) {
                findings.add(
                    2,
                    format!("{job} runs on {other} and on {name}, which woke"),
                );
            }
        }
    }

    fn ended(&mut self, name: &WorkerName, job: &JobId, attempt: Attempt, _end: TaskEnd) {
        if let Some(worker) = self.workers.get_mut(name)
            && worker.live.get(job).is_some_and(|l| l.attempt == attempt)
        {
            worker.live.remove(job);
        }
    }
}

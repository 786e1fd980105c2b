//! Invariants that hold after every step, checked against the streams and the workers.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{
    Attempt, CellId, CellRecord, Class, JobId, JobSpec, Millis, Resources, Term, WorkerName,
};

use crate::fleet::Fleet;

/// Time after which no task may start in a domain that was taken out of service.
const OUT_START_LIMIT: Millis = Millis(4_000);

/// Replay of a stream by a few simple rules, independent of the code under test.
#[derive(Default)]
struct Replay {
    term: Option<Term>,
    is_resigned: bool,
    specs: BTreeMap<JobId, JobSpec>,
    open_attempts: BTreeMap<JobId, (Attempt, WorkerName)>,
    finished: Vec<JobId>,
    cancelled: BTreeSet<JobId>,
    /// Jobs for which further intents are ignored.
    ended: BTreeSet<JobId>,
}

impl Replay {
    fn new(fleet: &Fleet, cell: &CellId) -> Self {
        let mut replay = Self::default();
        let mut ids = BTreeSet::new();
        for (offset, record) in fleet.streams[cell].records.iter().enumerate() {
            if !ids.insert(record.id) {
                continue;
            }
            if let CellRecord::Claim { prior, .. } = &record.body {
                if *prior == replay.term {
                    replay.term = Some(Term(u64::try_from(offset).expect("offset")));
                    replay.is_resigned = false;
                }
            } else if Some(record.term) == replay.term && !replay.is_resigned {
                replay.apply(&record.body);
            }
        }
        replay
    }

    fn apply(&mut self, body: &CellRecord) {
        match body {
            CellRecord::Resigned => self.is_resigned = true,
            CellRecord::Accepted { spec, .. } => {
                self.specs.insert(spec.id.clone(), spec.clone());
                self.ended.remove(&spec.id);
            }
            CellRecord::Intents(intents) => {
                // An intent after the end of its job has no effect.
                for intent in intents.iter().filter(|i| !self.ended.contains(&i.job)) {
                    let value = (intent.attempt, intent.worker.clone());
                    let earlier = self.open_attempts.insert(intent.job.clone(), value);
                    assert!(
                        earlier.is_none(),
                        "intent for {} beside {earlier:?}",
                        intent.job
                    );
                }
            }
            CellRecord::Finished { job, attempt, .. } => self.finish(job, *attempt),
            CellRecord::Released { job, attempt, .. }
            | CellRecord::Failed { job, attempt, .. }
            | CellRecord::Lost { job, attempt, .. } => {
                self.close(job, *attempt);
            }
            CellRecord::Cancelled { job } => {
                self.cancelled.insert(job.clone());
                self.ended.insert(job.clone());
            }
            CellRecord::Moved { job, .. } | CellRecord::Abandoned { job, .. } => {
                self.ended.insert(job.clone());
            }
            _ => {}
        }
    }

    fn finish(&mut self, job: &JobId, attempt: Attempt) {
        if self.close(job, attempt) && !self.cancelled.contains(job) {
            self.finished.push(job.clone());
            self.ended.insert(job.clone());
        }
    }

    /// Closes an attempt and returns whether it was open.
    fn close(&mut self, job: &JobId, attempt: Attempt) -> bool {
        let is_open = self
            .open_attempts
            .get(job)
            .is_some_and(|(a, _)| *a == attempt);
        if is_open {
            self.open_attempts.remove(job);
        }
        is_open
    }
}

/// Checks all invariants.
pub(crate) fn check(fleet: &Fleet) {
    check_single_attempt(fleet);
    check_no_start_when_out(fleet);
    for cell in &fleet.cells {
        check_allocations(fleet, &Replay::new(fleet, cell));
    }
    check_finished_once(fleet);
}

/// G1: the needs of the open attempts fit each worker's capacity.
fn check_allocations(fleet: &Fleet, replay: &Replay) {
    let mut sums: BTreeMap<&WorkerName, Resources> = BTreeMap::new();
    for (job, (_, worker)) in &replay.open_attempts {
        let sum = sums.entry(worker).or_default();
        *sum = sum.checked_add(replay.specs[job].needs).expect("sum");
    }
    for (worker, sum) in sums {
        let capacity = fleet.workers[worker].capacity;
        assert!(
            sum.fits(capacity),
            "{sum:?} of {capacity:?} allocated on {worker} at {}",
            fleet.now
        );
    }
}

/// G2: a job runs on one worker at most.
fn check_single_attempt(fleet: &Fleet) {
    let mut running: BTreeMap<&JobId, &WorkerName> = BTreeMap::new();
    for (name, worker) in &fleet.workers {
        for (job, task) in &worker.tasks {
            if task.order.class == Class::LatencyCritical {
                continue;
            }
            if let Some(other) = running.insert(job, name) {
                panic!("{job} runs on {other} and {name} at {}", fleet.now);
            }
        }
    }
}

/// Only attempts that are open in the stream run. Holds only without a change of owner or an
/// expired lease.
pub(crate) fn check_no_orphans(fleet: &Fleet) {
    for cell in &fleet.cells {
        let open = Replay::new(fleet, cell).open_attempts;
        for (name, worker) in &fleet.workers {
            for (job, task) in &worker.tasks {
                let expected = (task.order.attempt, name.clone());
                let found = open.get(job);
                assert_eq!(found, Some(&expected), "{job} at {}", fleet.now);
            }
        }
    }
}

/// G4: nothing starts in a domain that has been out of service for `OUT_START_LIMIT`.
fn check_no_start_when_out(fleet: &Fleet) {
    for (name, since) in &fleet.out_since {
        let prefix = format!("{name}-");
        let workers = fleet.workers.iter();
        for (worker, fake) in workers.filter(|(w, _)| w.as_str().starts_with(&prefix)) {
            let late = fake.starts.iter().find(|s| s.0 > *since + OUT_START_LIMIT);
            assert!(late.is_none(), "{worker} started {late:?} after {since}");
        }
    }
}

/// Each job finishes at most once over all cells.
fn check_finished_once(fleet: &Fleet) {
    let mut seen = BTreeSet::new();
    for cell in &fleet.cells {
        for job in Replay::new(fleet, cell).finished {
            assert!(seen.insert(job.clone()), "{job} finished twice");
        }
    }
}

/// Returns the jobs that have finished.
pub(crate) fn finished_jobs(fleet: &Fleet) -> BTreeSet<JobId> {
    let cells = fleet.cells.iter();
    cells
        .flat_map(|cell| Replay::new(fleet, cell).finished)
        .collect()
}

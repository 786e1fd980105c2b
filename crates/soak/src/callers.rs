//! Callers that submit and cancel random jobs, and what they observe.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::ops::RangeInclusive;
use std::time::Duration;

use hyssop_platform_standins::{JobShape, TaskKind};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::{Instant, sleep};

use crate::fleets::Fleet;
use crate::plans::FaultMix;

/// Attempts of one submission or cancellation.
const MAX_ATTEMPTS: usize = 4;
/// Attempts to cancel a service job; enough for an outage of a minute.
const MAX_SERVICE_ATTEMPTS: usize = 400;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest delay of a caller between two jobs.
const MAX_IDLE_MS: u64 = 300;
/// Share of the accepted jobs that are cancelled.
const CANCELLED_PERCENT: u32 = 15;
/// Share of best-effort jobs, and in runs with long faults. With more, those that wait at the end do not
/// all end within a minute.
const BEST_EFFORT_PERCENT: u32 = 12;
const LONG_RUN_BEST_EFFORT_PERCENT: u32 = 4;
/// Number of service jobs. They reserve a third of the processors of three workers, so that the
/// promise of progress, which holds up to a half, applies most of the time.
const SERVICE_COUNT: usize = 3;
/// Number of tasks of a long job; usually some run on each of three workers.
const LONG_TASKS: u32 = 6;
/// Running time of the tasks of long jobs.
const LONG_TASK_MS: RangeInclusive<u64> = 12_000..=15_000;
/// Choice for what a core of a best-effort job takes from the headroom of services, in thousandths.
/// A third of the pairs that the users measured is 0, and the heaviest take several of them.
const INTERFERENCES: [u64; 4] = [0, 50, 400, 2_000];

/// Outcome of a job as its caller observed it.
#[derive(Clone, Debug)]
pub(crate) struct ObservedJob {
    pub(crate) shape: JobShape,
    pub(crate) is_accepted: bool,
    /// Whether the outcome of an attempt is unknown, so that the job may have been accepted.
    pub(crate) has_unknown_attempt: bool,
    /// Whether a cancellation was sent, so that the job may be cancelled.
    pub(crate) may_be_cancelled: bool,
    pub(crate) is_cancelled: bool,
    /// Whether an entry has answered after the acceptance that there is no such job.
    pub(crate) is_denied: bool,
    /// When the last question was sent that an entry answered with a state that is not final.
    pub(crate) shown_at: Option<Instant>,
    /// Final state that an entry has shown, and when it was asked for.
    pub(crate) shown_end: Option<(Instant, String)>,
}

/// Callers of one run. They send one request after the other.
#[derive(Debug)]
pub(crate) struct Callers {
    jobs: RefCell<BTreeMap<u64, ObservedJob>>,
    rng: RefCell<StdRng>,
    best_effort_percent: u32,
}

impl Callers {
    pub(crate) fn new(seed: u64, mix: FaultMix) -> Self {
        Self {
            best_effort_percent: match mix {
                FaultMix::RestartedWorkers => LONG_RUN_BEST_EFFORT_PERCENT,
                FaultMix::Any | FaultMix::FrozenOwners | FaultMix::SilentWorkers => {
                    BEST_EFFORT_PERCENT
                }
            },
            jobs: RefCell::default(),
            rng: RefCell::new(StdRng::seed_from_u64(seed)),
        }
    }

    /// Returns all jobs that were submitted.
    pub(crate) fn jobs(&self) -> BTreeMap<u64, ObservedJob> {
        self.jobs.borrow().clone()
    }

    pub(crate) fn update(&self, id: u64, change: impl FnOnce(&mut ObservedJob)) {
        self.jobs.borrow_mut().get_mut(&id).map(change);
    }

    fn random(&self, max: u64) -> u64 {
        self.rng.borrow_mut().random_range(0..=max)
    }

    fn add(&self, shape: JobShape) -> u64 {
        let mut jobs = self.jobs.borrow_mut();
        let id = jobs.len() as u64 + 1;
        let observed = ObservedJob {
            shape,
            is_accepted: false,
            has_unknown_attempt: false,
            may_be_cancelled: false,
            is_cancelled: false,
            is_denied: false,
            shown_at: None,
            shown_end: None,
        };
        jobs.insert(id, observed);
        id
    }

    /// Submits the service jobs and waits until they are accepted.
    pub(crate) async fn submit_services(&self, fleet: &Fleet) {
        for _ in 0..SERVICE_COUNT {
            let shape = JobShape {
                kind: TaskKind::Service,
                cpu: 2_600,
                mem: 2_000,
                ..JobShape::batch(&[2], 300)
            };
            let id = self.add(shape.clone());
            fleet.submit(id, &shape.body()).await;
            self.update(id, |job| job.is_accepted = true);
        }
    }

    /// Submits a job whose tasks outlast every lease, and waits until it is accepted.
    pub(crate) async fn submit_long_job(&self, fleet: &Fleet) {
        let work_ms = self.rng.borrow_mut().random_range(LONG_TASK_MS);
        let shape = JobShape {
            cpu: 250,
            ..JobShape::batch(&[LONG_TASKS], work_ms)
        };
        let id = self.add(shape.clone());
        fleet.submit(id, &shape.body()).await;
        self.update(id, |job| job.is_accepted = true);
    }

    /// Cancels the service jobs.
    pub(crate) async fn cancel_services(&self, fleet: &Fleet) {
        for (id, job) in self.jobs() {
            if job.shape.kind == TaskKind::Service {
                self.cancel(fleet, id, 0, MAX_SERVICE_ATTEMPTS).await;
            }
        }
    }

    /// Submits and cancels jobs for at least the given duration.
    pub(crate) async fn run(&self, fleet: &Fleet, duration: Duration) {
        let end = Instant::now() + duration;
        while Instant::now() < end {
            self.submit_random_job(fleet).await;
        }
    }

    /// Submits and cancels jobs until `is_over` is set.
    pub(crate) async fn run_until(&self, fleet: &Fleet, is_over: &Cell<bool>) {
        while !is_over.get() {
            self.query_uncertain_jobs(fleet).await;
            self.submit_random_job(fleet).await;
        }
    }

    /// Asks for jobs of which the workers have forgotten ends, so that they may be complete although
    /// the ledger does not tell.
    async fn query_uncertain_jobs(&self, fleet: &Fleet) {
        for (id, job) in self.jobs() {
            if !job.is_accepted || job.shown_end.is_some() || !fleet.ledger.has_forgotten(id) {
                continue;
            }
            self.query(fleet, id).await;
        }
    }

    /// Asks for the accepted jobs that are not known to have ended.
    pub(crate) async fn query_open_jobs(&self, fleet: &Fleet) {
        for (id, job) in self.jobs() {
            if job.is_accepted && job.shown_end.is_none() {
                self.query(fleet, id).await;
            }
        }
    }

    async fn query(&self, fleet: &Fleet, id: u64) {
        let entry = self.random(fleet.entry_count() as u64 - 1) as usize;
        let sent_at = Instant::now();
        match fleet.try_state(entry, id).await.as_deref() {
            Some("queued" | "running") => self.update(id, |job| job.shown_at = Some(sent_at)),
            Some(state) => self.update(id, |job| job.shown_end = Some((sent_at, state.to_owned()))),
            None => {}
        }
    }

    /// Returns the jobs that are accepted, not cancelled, and not known to have ended, with the time
    /// until which they surely had not: of a job that may be complete although the ledger does not
    /// tell, when an entry last showed that it is not.
    pub(crate) fn open_jobs(&self, fleet: &Fleet, now: Instant) -> Vec<(u64, JobShape, Instant)> {
        let jobs = self.jobs.borrow();
        let open = jobs
            .iter()
            .filter(|(_, job)| job.is_accepted && !job.may_be_cancelled && job.shown_end.is_none());
        let open = open.filter_map(|(&id, job)| {
            let is_uncertain = fleet.ledger.has_forgotten(id);
            let open_at = if is_uncertain { job.shown_at? } else { now };
            Some((id, job.shape.clone(), open_at))
        });
        open.collect()
    }

    /// Submits one job, cancels some of the accepted ones, and waits for a short time.
    async fn submit_random_job(&self, fleet: &Fleet) {
        let shape = random_shape(&mut self.rng.borrow_mut(), self.best_effort_percent);
        let body = shape.body();
        let id = self.add(shape);
        let mut entry = self.random(fleet.entry_count() as u64 - 1) as usize;
        let mut is_accepted = false;
        for _ in 0..MAX_ATTEMPTS {
            match fleet.try_submit(entry, id, &body).await {
                Some(200) => is_accepted = true,
                Some(429 | 503) => {}
                Some(_) | None => self.update(id, |job| job.has_unknown_attempt = true),
            }
            if is_accepted {
                break;
            }
            entry = (entry + 1) % fleet.entry_count();
            sleep(RETRY_DELAY).await;
        }
        self.update(id, |job| job.is_accepted = is_accepted);
        let is_chosen = self.rng.borrow_mut().random_ratio(CANCELLED_PERCENT, 100);
        if is_accepted && is_chosen {
            self.cancel(fleet, id, entry, MAX_ATTEMPTS).await;
        }
        sleep(Duration::from_millis(self.random(MAX_IDLE_MS))).await;
    }

    async fn cancel(&self, fleet: &Fleet, id: u64, first_entry: usize, max_attempts: usize) {
        self.update(id, |job| job.may_be_cancelled = true);
        for attempt in 0..max_attempts {
            let entry = (first_entry + attempt) % fleet.entry_count();
            if fleet.try_cancel(entry, id).await == Some(200) {
                self.update(id, |job| job.is_cancelled = true);
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

fn random_shape(rng: &mut StdRng, best_effort_percent: u32) -> JobShape {
    if !rng.random_ratio(best_effort_percent, 100) {
        let steps = rng.random_range(1..=3);
        let steps: Vec<u32> = (0..steps).map(|_| rng.random_range(1..=4)).collect();
        return JobShape::batch(&steps, rng.random_range(20..=400));
    }
    let steps = rng.random_range(1..=2);
    let steps: Vec<u32> = (0..steps).map(|_| rng.random_range(6..=20)).collect();
    JobShape {
        kind: TaskKind::BestEffort,
        cpu: rng.random_range(1_500..=3_500),
        mem: 400,
        interference: INTERFERENCES[rng.random_range(0..INTERFERENCES.len())],
        has_checkpoints: rng.random(),
        ..JobShape::batch(&steps, rng.random_range(800..=3_000))
    }
}

//! Checks that a task which could run does not wait for too long.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::limits::{LEASE_MARGIN, ORDER_TTL, PEER_TIMEOUT, TASK_LEASE};
use hyssop_core::{
    CellId, CellRecord, Class, JobCall, JobId, JobReply, JobSpec, Millis, Resources, Subject,
    WorkerName,
};

use crate::fleet::Fleet;
use crate::worker::{FakeWorker, Health};

/// Time in which an urgent job or a service task starts, by the target of the design.
pub(crate) const URGENT_START_MS: u64 = 5_800;
/// Time for which a batch job may look for a worker on which it harms no service.
const HARMLESS_WORKER_WAIT_MS: u64 = 10_000;
/// Time for which capacity may be reserved for another task.
const RESERVATION_TIMEOUT_MS: u64 = 4_000;
/// Time that a job may spend in other cells first, where its waits begin anew: the delays of moves
/// that are below the wait for a harmless worker, 2 s, 4 s and 8 s, each with an interval of moves.
const MOVES_MS: u64 = 2_000 + 4_000 + 8_000 + 3 * 1_000;
/// Time in which a batch job starts: the waits above, and the start itself.
pub(crate) const BATCH_START_MS: u64 =
    MOVES_MS + HARMLESS_WORKER_WAIT_MS + RESERVATION_TIMEOUT_MS + URGENT_START_MS;
/// Time after a slowdown for which batch jobs may be kept from a worker: the pause of placements,
/// the age of a sample and a poll.
const PLACEMENT_PAUSE_MS: u64 = 15_000 + 1_000 + 1_000;
/// Slowdown above which neighbours are restrained, in percent.
const RESTRAIN_ABOVE_PERCENT: u32 = 115;
/// First and longest backoff of a failed job; random additions are up to half of it.
const BACKOFF_MS: (u64, u64) = (500, 30_000);
/// Longest delay of a job whose attempt was lost.
const LOST_JITTER_MS: u64 = 1_000;
/// Share of the processors or memory of a cell, in percent, from which on the cell counts as busy.
const BUSY_PERCENT: u64 = 50;

/// A job or service task as the streams show it.
struct Tracked {
    spec: JobSpec,
    /// Cell that accepted it last, and when.
    cell: CellId,
    accepted_at: Millis,
    /// Worker of the open attempt.
    worker: Option<WorkerName>,
    failures: u32,
    /// Time until which a backoff may last.
    not_before: Millis,
}

/// Checker of one fleet.
#[derive(Default)]
pub(crate) struct Checker {
    /// Records of each stream that were applied.
    positions: BTreeMap<CellId, usize>,
    jobs: BTreeMap<JobId, Tracked>,
    /// Time from which on a worker that was out of reach has surely reported or lost its tasks.
    settled_at: BTreeMap<WorkerName, Millis>,
    /// Time until which placements of batch jobs may be paused.
    paused_until: BTreeMap<WorkerName, Millis>,
    /// Workers that have failed attempts and may be in quarantine.
    suspects: BTreeSet<WorkerName>,
    /// Owner of each cell and the time since which it is.
    owners: BTreeMap<CellId, (Option<usize>, Millis)>,
    /// Time since which a task could run and does not.
    idle: BTreeMap<JobId, Millis>,
    /// Description of each task that waited for too long.
    pub(crate) violations: BTreeMap<JobId, String>,
}

impl Checker {
    /// Compares what runs with what could run.
    pub(crate) fn check(&mut self, fleet: &mut Fleet) {
        self.follow_streams(fleet);
        self.follow_workers(fleet);
        let mut idle = BTreeMap::new();
        let mut late = Vec::new();
        for (id, job) in &self.jobs {
            if !self.could_run(fleet, id, job) {
                continue;
            }
            let since = *self.idle.get(id).unwrap_or(&fleet.now);
            idle.insert(id.clone(), since);
            let limit = match job.spec.class {
                Class::Batch => BATCH_START_MS,
                _ => URGENT_START_MS,
            };
            if fleet.now.since(since).0 > limit && !self.violations.contains_key(id) {
                late.push((id.clone(), since));
            }
        }
        self.idle = idle;
        for (id, since) in late {
            let text = self.describe(fleet, &id, since);
            self.violations.insert(id, text);
        }
    }

    fn follow_streams(&mut self, fleet: &Fleet) {
        for (cell, stream) in &fleet.streams {
            let position = self.positions.entry(cell.clone()).or_default();
            for record in &stream.records[*position..] {
                apply(&mut self.jobs, fleet.now, cell, &record.body);
            }
            *position = stream.records.len();
        }
    }

    fn follow_workers(&mut self, fleet: &Fleet) {
        let now = fleet.now;
        for (name, worker) in &fleet.workers {
            if worker.is_unreachable {
                let lease = TASK_LEASE.0 + LEASE_MARGIN.0 + PEER_TIMEOUT.0;
                self.settled_at.insert(name.clone(), now + Millis(lease));
            }
            if worker.is_down(now) {
                self.settled_at.insert(name.clone(), now + PEER_TIMEOUT);
            }
            if worker.health == Health::Failing {
                self.suspects.insert(name.clone());
            }
            let is_class = |critical: bool| {
                let mut tasks = worker.tasks.values();
                tasks.any(|task| (task.order.class == Class::LatencyCritical) == critical)
            };
            if worker.slowdown() > RESTRAIN_ABOVE_PERCENT && is_class(true) && is_class(false) {
                self.paused_until
                    .insert(name.clone(), now + Millis(PLACEMENT_PAUSE_MS));
            }
        }
        for cell in &fleet.cells {
            let owner = fleet.owner(cell);
            let entry = self.owners.entry(cell.clone()).or_insert((owner, now));
            if entry.0 != owner {
                *entry = (owner, now);
            }
        }
    }

    /// Returns whether a task does not run although a worker has capacity and no rule forbids it.
    fn could_run(&self, fleet: &Fleet, id: &JobId, job: &Tracked) -> bool {
        let now = fleet.now;
        let (owner, since) = &self.owners[&job.cell];
        let is_inherited = job.worker.is_some() && now.since(*since).0 < 30_000;
        let is_running = fleet.workers.values().any(|w| w.tasks.contains_key(id));
        let is_unsettled = job
            .worker
            .as_ref()
            .is_some_and(|worker| self.settled_at.get(worker).is_some_and(|at| now < *at));
        let is_out = fleet.out_since.contains_key(&job.cell.domain);
        !is_running
            && owner.is_some()
            && !is_inherited
            && !is_unsettled
            && !is_out
            && now >= job.not_before
            && self.is_within_quota(fleet, id, job)
            && self.has_capacity(fleet, job)
    }

    fn is_within_quota(&self, fleet: &Fleet, id: &JobId, job: &Tracked) -> bool {
        let Some((_, quota)) = fleet.conf.quotas.get(&job.spec.team) else {
            return true;
        };
        let cells = u32::try_from(fleet.cells.len()).expect("cells");
        let total = quota.resources;
        let share = Resources::new(total.cpu / cells, total.mem / cells, total.accel / cells);
        let open = self.jobs.iter().filter(|(other, tracked)| {
            *other != id
                && tracked.cell == job.cell
                && tracked.spec.team == job.spec.team
                && tracked.worker.is_some()
                && tracked.spec.class != Class::LatencyCritical
        });
        let used = open.map(|(_, tracked)| tracked.spec.needs);
        let used = used.fold(job.spec.needs, add);
        job.spec.class == Class::LatencyCritical || used.fits(share)
    }

    /// Returns the workers that may take a task by the rules, with capacity or without.
    fn open_workers<'a>(
        &'a self,
        fleet: &'a Fleet,
        job: &Tracked,
    ) -> impl Iterator<Item = (&'a WorkerName, &'a FakeWorker)> {
        let now = fleet.now;
        let is_batch = job.spec.class == Class::Batch;
        let prefix = format!("{}-", job.cell.domain);
        fleet.workers.iter().filter(move |(name, worker)| {
            let is_paused = self.paused_until.get(*name).is_some_and(|at| now < *at);
            name.as_str().starts_with(&prefix)
                && worker.health == Health::Good
                && !worker.is_unreachable
                && self.settled_at.get(*name).is_none_or(|at| now >= *at)
                && !self.suspects.contains(*name)
                && !(is_batch && is_paused)
        })
    }

    /// Returns whether less than half of the capacity of the workers that may take the task is in
    /// use, and there is capacity for the task twice over.
    fn has_capacity(&self, fleet: &Fleet, job: &Tracked) -> bool {
        let (mut total, mut sum, mut places) = (Resources::default(), Resources::default(), 0);
        for (_, worker) in self.open_workers(fleet, job) {
            let used = used_before(worker, job.spec.class);
            total = add(total, worker.capacity);
            sum = add(sum, used);
            let mut free = worker.capacity.saturating_sub(used);
            while places < 2 && job.spec.needs.fits(free) {
                free = free.saturating_sub(job.spec.needs);
                places += 1;
            }
        }
        let is_busy =
            |used: u32, total: u32| u64::from(used) * 100 >= u64::from(total) * BUSY_PERCENT;
        places == 2 && !is_busy(sum.cpu, total.cpu) && !is_busy(sum.mem, total.mem)
    }

    /// Describes a task that waits, with the explanations of its owner.
    fn describe(&self, fleet: &mut Fleet, id: &JobId, since: Millis) -> String {
        let job = &self.jobs[id];
        let open = self.open_workers(fleet, job);
        let open: Vec<WorkerName> = open.map(|(name, _)| name.clone()).collect();
        let subjects = open.into_iter().map(Subject::Worker);
        let subjects = std::iter::once(Subject::Job(id.clone())).chain(subjects);
        let mut lines = Vec::new();
        for subject in subjects {
            let reasons = match fleet.call_and_wait(&job.cell, JobCall::Explain(subject.clone())) {
                JobReply::Explained(list) => list,
                _ => Vec::new(),
            };
            let last = reasons.iter().rev().take(4);
            lines.extend(last.map(|e| format!("\n    {subject:?}: {} {}", e.at, e.reason)));
        }
        format!(
            "{id} ({:?}, {:?}) in {} since {} could run from {since} to {} and does not; attempt on {:?}{}",
            job.spec.class,
            job.spec.needs,
            job.cell,
            job.accepted_at,
            fleet.now,
            job.worker,
            lines.concat()
        )
    }
}

/// Returns what a worker's tasks hold that a task of the class cannot displace.
fn used_before(worker: &FakeWorker, class: Class) -> Resources {
    let tasks = worker.tasks.values();
    let tasks = tasks.filter(|task| {
        let is_evictable = task.order.class == Class::Batch && task.order.service.as_str() != "fix";
        class == Class::Batch || !is_evictable
    });
    tasks
        .map(|task| task.order.needs)
        .fold(Resources::default(), add)
}

fn add(a: Resources, b: Resources) -> Resources {
    a.checked_add(b).expect("sum")
}

/// Applies a record of a cell's stream. Records of terms that have ended are not told apart, so
/// that a task may be taken for ended by mistake, but never for waiting.
fn apply(jobs: &mut BTreeMap<JobId, Tracked>, now: Millis, cell: &CellId, body: &CellRecord) {
    // A job that has moved is followed in the cell that accepted it last.
    let known = |jobs: &BTreeMap<JobId, Tracked>, job: &JobId| {
        jobs.get(job).is_some_and(|tracked| tracked.cell == *cell)
    };
    match body {
        CellRecord::Accepted { spec, .. } => {
            let tracked = Tracked {
                spec: spec.clone(),
                cell: cell.clone(),
                accepted_at: now,
                worker: None,
                failures: 0,
                not_before: now,
            };
            jobs.insert(spec.id.clone(), tracked);
        }
        CellRecord::Intents(intents) => {
            for intent in intents {
                let job = jobs.get_mut(&intent.job);
                if let Some(job) = job.filter(|job| job.cell == *cell) {
                    job.worker = Some(intent.worker.clone());
                }
            }
        }
        CellRecord::Released { job, .. } if known(jobs, job) => close(jobs, job, now),
        CellRecord::Lost { job, .. } if known(jobs, job) => {
            close(jobs, job, now + Millis(LOST_JITTER_MS));
        }
        CellRecord::Failed { job, .. } if known(jobs, job) => {
            let failures = jobs.get(job).map_or(0, |job| job.failures).min(16);
            let delay = (BACKOFF_MS.0 << failures).min(BACKOFF_MS.1);
            close(jobs, job, now + Millis(delay + delay / 2) + ORDER_TTL);
            if let Some(job) = jobs.get_mut(job) {
                job.failures += 1;
            }
        }
        CellRecord::Finished { job, .. }
        | CellRecord::Abandoned { job, .. }
        | CellRecord::Cancelled { job }
        | CellRecord::Moved { job, .. }
            if known(jobs, job) =>
        {
            jobs.remove(job);
        }
        _ => {}
    }
}

fn close(jobs: &mut BTreeMap<JobId, Tracked>, job: &JobId, not_before: Millis) {
    if let Some(job) = jobs.get_mut(job) {
        job.worker = None;
        job.not_before = not_before;
    }
}

//! Placement of waiting jobs on workers.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::limits::INTENT_BATCH_INTERVAL;
use hyssop_core::{
    CellRecord, Class, Intent, JobId, Millis, RackName, Reason, RecordId, Resources, ServiceName,
    TeamName, Term, WorkerName,
};
use smallvec::SmallVec;

use crate::Cell;
use crate::crashes::{APART_REASON, RestartRule};
use crate::groups::Group;
use crate::jobs::Job;
use crate::protections::HARMFUL_SLOWDOWN_PERCENT;
use crate::queues::{Head, Queue};
use crate::quotas::add_resources;
use crate::workers::Worker;

/// Intents in one record at most. With one record per `INTENT_BATCH_INTERVAL` this limits the rate
/// of starts after a mass restart.
const MAX_INTENTS_PER_BATCH: usize = 32;

/// Time for which a batch job waits for a worker on which no harmful slowdown is expected.
pub(crate) const HARMLESS_WORKER_WAIT: Millis = Millis(10_000);
/// Step to which expected slowdowns are rounded down before they are compared.
const SLOWDOWN_STEP_PERCENT: u32 = 3;
/// Interval between placement rounds when nothing has changed.
const PLACEMENT_INTERVAL: Millis = Millis(1_000);

/// Urgent jobs and service tasks without capacity that are tried in one round, at most.
const MAX_UNPLACED_PER_ROUND: usize = 16;

/// An intent that was written and is not yet read back.
#[derive(Clone, Debug)]
pub(crate) struct PendingIntent {
    pub(crate) worker: WorkerName,
    pub(crate) needs: Resources,
    pub(crate) record: RecordId,
}

/// Free capacity of a worker during one placement round.
#[derive(Clone, Debug)]
pub(crate) struct WorkerCapacity {
    pub(crate) name: WorkerName,
    pub(crate) rack: Option<RackName>,
    pub(crate) free: Resources,
    /// Whether placements of batch jobs are paused to protect latency-critical tasks.
    pub(crate) has_paused_placements: bool,
    /// Whether the worker is in quarantine and takes one batch job as a probe.
    pub(crate) is_quarantined: bool,
    /// Numbers of recent suspects and of all runs on the worker.
    pub(crate) crowding: (usize, usize),
    /// Whether a suspect may start apart from others: nothing was started a moment ago.
    pub(crate) is_settled: bool,
}

/// Reason for which a job is skipped in a round.
enum SkipReason {
    /// No worker has free capacity, so that no job with the same needs or more can be placed.
    NoCapacity,
    /// Workers have free capacity, but not for this job: it is reserved for others, or the job may
    /// not run there. Each other job needs a search of its own.
    NoSuitableWorker,
    /// A reason that depends on the job, such as its quota.
    Job,
}

impl Cell {
    /// Returns the free capacity of each worker that takes tasks.
    pub(crate) fn free_capacities(&self, now: Millis) -> Vec<WorkerCapacity> {
        let mut pending: BTreeMap<&WorkerName, Resources> = BTreeMap::new();
        for pending_intent in self.pending_intents.values() {
            let needs = pending.entry(&pending_intent.worker).or_default();
            *needs = add_resources(*needs, pending_intent.needs);
        }
        let usable = self.workers.iter();
        let usable = usable.filter(|(name, worker)| {
            let is_closed = self.is_quarantined(name) && !self.is_probe_due(now, name);
            let is_closed = is_closed || self.has_probation(name);
            worker.is_usable() && !worker.is_refusing(now) && !is_closed
        });
        usable
            .map(|(name, worker)| {
                let allocated = add_resources(
                    self.allocated(name),
                    pending.get(name).copied().unwrap_or_default(),
                );
                WorkerCapacity {
                    name: name.clone(),
                    rack: worker.rack.clone(),
                    free: worker.capacity.saturating_sub(allocated),
                    has_paused_placements: self.has_paused_placements(now, name),
                    is_quarantined: self.is_quarantined(name),
                    crowding: self.crowding(name),
                    is_settled: self.is_settled(name) && !pending.contains_key(name),
                }
            })
            .collect()
    }

    /// Returns the allocated capacity of a worker: open attempts, and orphaned runs until they end.
    pub(crate) fn allocated(&self, name: &WorkerName) -> Resources {
        let Some(worker) = self.workers.get(name) else {
            return Resources::default();
        };
        let tasks = worker.tasks.iter().filter_map(|job| self.tasks.get(job));
        let orphans = worker.orphaned_runs.values().map(|orphan| orphan.needs);
        let needs = tasks.map(|task| task.needs).chain(orphans);
        needs.fold(Resources::default(), add_resources)
    }

    /// Returns the capacity of a worker that is allocated to latency-critical tasks.
    pub(crate) fn allocated_critical(&self, worker: &Worker) -> Resources {
        let tasks = worker.tasks.iter().filter_map(|job| self.tasks.get(job));
        let critical = tasks.filter(|task| task.class == Class::LatencyCritical);
        let needs = critical.map(|task| task.needs);
        needs.fold(Resources::default(), add_resources)
    }

    /// Writes intents for the waiting jobs that fit, and frees capacity for important ones that do
    /// not.
    pub(crate) fn place_jobs(&mut self, now: Millis, term: Term) {
        if !self.may_start() || !self.is_placement_due(now) {
            return;
        }
        self.last_placement_at = Some(now);
        self.needs_placement = false;
        let max_intents = self.domain_phase.start_limit(now, MAX_INTENTS_PER_BATCH);
        let mut queue = self.build_queue(now);
        let mut capacities = self.free_capacities(now);
        let mut unplaced = Vec::new();
        let mut usage = self.team_usage();
        let mut unplaceable_needs = Vec::new();
        let mut chosen: SmallVec<[Intent; 4]> = SmallVec::new();
        while chosen.len() < max_intents
            && let Some(head) = queue.next(&usage)
        {
            let job = self.ledger.jobs.get(&head.id).map(|job| &job.spec);
            let Some((needs, class)) = job.map(|spec| (spec.needs, spec.class)) else {
                continue;
            };
            if unplaceable_needs
                .iter()
                .any(|smallest: &Resources| smallest.fits(needs))
            {
                continue;
            }
            // If a job cannot be placed, the rest of its group is skipped in this round.
            match self.place_job(now, &head.id, &mut capacities, &mut usage) {
                Ok(intent) => {
                    chosen.push(intent);
                    self.enqueue_next(now, &head, &mut queue);
                }
                Err(SkipReason::Job) => {}
                Err(reason) if class == Class::Batch => {
                    if matches!(reason, SkipReason::NoCapacity) {
                        unplaceable_needs.push(needs);
                    }
                    if self.is_job_pause_half_over(now, &head.id) {
                        self.reserve_for_long_paused(now, &head.id, &capacities);
                    }
                }
                Err(_) => {
                    unplaced.push(head.id.clone());
                    if unplaced.len() < MAX_UNPLACED_PER_ROUND {
                        self.enqueue_next(now, &head, &mut queue);
                    }
                }
            }
        }
        let is_cut_short = chosen.len() == max_intents;
        self.needs_placement |= self.suspects.end_round(is_cut_short) || is_cut_short;
        self.write_intents(term, &chosen);
        self.preempt_for_jobs(now, &unplaced, &capacities);
    }

    /// Returns whether a round is due: soon after a change, and at intervals for jobs whose backoff
    /// has ended.
    fn is_placement_due(&self, now: Millis) -> bool {
        let Some(last) = self.last_placement_at else {
            return true;
        };
        let elapsed = now.since(last);
        elapsed >= PLACEMENT_INTERVAL || self.needs_placement && elapsed >= INTENT_BATCH_INTERVAL
    }

    /// Writes the intents of a round in one record.
    fn write_intents(&mut self, term: Term, intents: &SmallVec<[Intent; 4]>) {
        if intents.is_empty() {
            return;
        }
        let body = CellRecord::Intents(intents.clone());
        let record = self.journal.write(term, body);
        for intent in intents {
            if let Some(pending_intent) = self.pending_intents.get_mut(&intent.job) {
                pending_intent.record = record;
            }
        }
    }

    /// Returns the first job of each group that may be placed now.
    fn build_queue(&self, now: Millis) -> Queue {
        let mut queue = Queue::new(self.total_capacity());
        for (group, members) in self.waiting_groups.iter() {
            self.enqueue(now, group, members.iter(), &mut queue);
        }
        // A job with a reservation is tried even if jobs before it in its group cannot be placed.
        for id in self.reservations.keys() {
            if let (Some(job), Some(since)) = (self.ledger.jobs.get(id), self.ready_since(now, id))
            {
                let is_long_paused = self.is_pause_half_over(now, job, since);
                let head = Head {
                    waiting_since: since,
                    id: id.clone(),
                    group: None,
                };
                queue.add(job.spec.class, &job.spec.team, is_long_paused, head);
            }
        }
        queue
    }

    /// Adds the job that follows `head` in its group.
    fn enqueue_next(&self, now: Millis, head: &Head, queue: &mut Queue) {
        if let Some(group) = &head.group {
            let last = (head.waiting_since, head.id.clone());
            self.enqueue(now, group, self.waiting_groups.after(group, &last), queue);
        }
    }

    /// Adds the first of `members` that may be placed now.
    fn enqueue<'a>(
        &self,
        now: Millis,
        group: &Arc<Group>,
        members: impl Iterator<Item = &'a (Millis, JobId)>,
        queue: &mut Queue,
    ) {
        let is_ready =
            |id: &JobId| self.ready_since(now, id).is_some() && !self.reservations.contains_key(id);
        let mut ready = members.filter(|(_, id)| is_ready(id));
        let Some((since, id)) = ready.next() else {
            return;
        };
        let job = self.ledger.jobs.get(id);
        let is_long_paused = group.has_run_before
            && job.is_some_and(|job| self.is_pause_half_over(now, job, *since));
        let head = Head {
            waiting_since: *since,
            id: id.clone(),
            group: Some(group.clone()),
        };
        queue.add(group.class, &group.team, is_long_paused, head);
    }

    /// Returns whether a job has waited for half of the pause that its document allows.
    fn is_job_pause_half_over(&self, now: Millis, id: &JobId) -> bool {
        let job = self.ledger.jobs.get(id);
        let since = job.and_then(|job| self.paused_since(id, job));
        job.is_some_and(|job| since.is_some_and(|since| self.is_pause_half_over(now, job, since)))
    }

    /// Returns since when a waiting job waits; `None` while it backs off, has a pending intent or has
    /// finished late.
    fn ready_since(&self, now: Millis, id: &JobId) -> Option<Millis> {
        if self.pending_intents.contains_key(id) || self.late_results.contains_key(id) {
            return None;
        }
        let wait = self.waits.get(id);
        let wait = wait.copied().unwrap_or_default();
        (wait.not_before <= now && !wait.is_ending).then_some(wait.waiting_since)
    }

    /// Returns the total capacity of the workers that may take tasks.
    pub(crate) fn total_capacity(&self) -> Resources {
        let usable = self.workers.values().filter(|w| w.is_usable());
        usable
            .map(|w| w.capacity)
            .fold(Resources::default(), add_resources)
    }

    /// Chooses a worker for a job and allocates its needs there, or explains why it is skipped.
    fn place_job(
        &mut self,
        now: Millis,
        id: &JobId,
        capacities: &mut [WorkerCapacity],
        usage: &mut BTreeMap<TeamName, Resources>,
    ) -> Result<Intent, SkipReason> {
        let job = self.ledger.jobs.get(id).ok_or(SkipReason::Job)?;
        let spec = &job.spec;
        if !self.is_allowed(spec, &self.options.cell.domain) {
            if let Some(cause) = self.permanent_refusal(spec) {
                self.explain_job(now, id, Reason::NeverRuns(cause));
            }
            return Err(SkipReason::Job);
        }
        let team = spec.team.clone();
        let new_usage = add_resources(usage.get(&team).copied().unwrap_or_default(), spec.needs);
        if self.is_quota_full(job, usage) {
            self.explain_job(now, id, Reason::QuotaFull);
            return Err(SkipReason::Job);
        }
        let Some((index, candidates)) = self.choose_worker(now, id, job, capacities) else {
            let reason = match self.permanent_refusal(spec) {
                Some(cause) if !job.is_service_task() => Reason::NeverRuns(cause),
                _ => Reason::NoCapacity {
                    missing: missing_resources(spec.needs, capacities),
                },
            };
            let has_capacity = capacities.iter().any(|c| spec.needs.fits(c.free));
            if self.record_apart_wait(now, id, has_capacity) {
                self.explain_job(now, id, Reason::Other(APART_REASON.to_owned()));
                return Err(SkipReason::Job);
            }
            self.explain_job(now, id, reason);
            return Err(if has_capacity {
                SkipReason::NoSuitableWorker
            } else {
                SkipReason::NoCapacity
            });
        };
        let intent = Intent {
            job: id.clone(),
            attempt: job.attempt.next(),
            worker: capacities[index].name.clone(),
        };
        capacities[index].free = capacities[index].free.saturating_sub(spec.needs);
        if capacities[index].is_quarantined {
            // Only one probe runs at a time.
            capacities[index].free = Resources::default();
            self.quarantine.start_probe(&intent.worker, id);
        }
        let rule = self.restart_rule(now, id, job);
        if rule != RestartRule::Anywhere && capacities[index].is_settled {
            // Nothing else starts on the worker during the probation.
            capacities[index].free = Resources::default();
            self.suspects.start_probation(&intent, job.crashes);
        }
        capacities[index].is_settled = false;
        if !job.is_service_task() {
            usage.insert(team, new_usage);
        }
        let slowdown = self.expected_slowdown(&intent.worker, job);
        // The record's identifier is filled in when all intents of the round are written.
        let pending_intent = PendingIntent {
            worker: intent.worker.clone(),
            needs: spec.needs,
            record: RecordId(0),
        };
        self.pending_intents.insert(id.clone(), pending_intent);
        let reason = Reason::Placed {
            attempt: intent.attempt,
            worker: intent.worker.clone(),
            candidates,
            slowdown,
        };
        self.explain_job(now, id, reason);
        Ok(intent)
    }

    /// Chooses a worker with enough free capacity: no failed attempt of the job, few tasks of the
    /// same service on the worker and in the rack, little expected slowdown, then best fit. Returns
    /// its index and the number of workers that fit.
    pub(crate) fn choose_worker(
        &self,
        now: Millis,
        id: &JobId,
        job: &Job,
        capacities: &[WorkerCapacity],
    ) -> Option<(usize, u32)> {
        let waited = now.since(self.waits.get(id).map_or(now, |wait| wait.waiting_since));
        let candidates = capacities.iter().enumerate();
        let is_suspect = !job.crashes.is_empty();
        let needs_apart = self.restart_rule(now, id, job) == RestartRule::Apart;
        let candidates: Vec<_> = candidates
            .filter(|(_, capacity)| capacity.is_settled || !needs_apart)
            .filter(|(_, capacity)| self.may_take_job(id, job, capacity, waited))
            .collect();
        let count = u32::try_from(candidates.len()).unwrap_or(u32::MAX);
        let spread = self.spread(&job.spec.service, job.is_service_task());
        let best = candidates.into_iter().min_by_key(|(_, capacity)| {
            let rack = capacity.rack.as_ref();
            let in_rack = rack.map_or(0, |r| spread.racks.get(r).copied().unwrap_or(0));
            let on_worker = spread.workers.get(&capacity.name).copied().unwrap_or(0);
            let has_failed = self.has_failed_on(id, &capacity.name);
            let slowdown = self.expected_slowdown(&capacity.name, job) / SLOWDOWN_STEP_PERCENT;
            let left = capacity.free.saturating_sub(job.spec.needs);
            // Batch jobs are probes first, the others only if no other worker takes them.
            let is_probe = capacity.is_quarantined;
            let is_batch = job.spec.class == Class::Batch;
            (
                is_probe && !is_batch,
                has_failed,
                is_suspect && !capacity.is_settled,
                is_suspect.then_some(capacity.crowding),
                !is_probe,
                on_worker,
                in_rack,
                slowdown,
                left.cpu,
                left.mem,
                capacity.name.clone(),
            )
        });
        best.map(|(index, _)| (index, count))
    }

    /// Returns whether a job may run on a worker and fits beside the reservations of other jobs.
    fn may_take_job(
        &self,
        id: &JobId,
        job: &Job,
        capacity: &WorkerCapacity,
        waited: Millis,
    ) -> bool {
        let free = capacity.free.saturating_sub(self.reserved_for_others(
            &capacity.name,
            id,
            job.spec.class,
        ));
        if !job.spec.needs.fits(free) {
            return false;
        }
        let has_clean_record = job.failure_count == 0 && job.crashes.is_empty();
        let may_probe = has_clean_record || !capacity.is_quarantined;
        if job.spec.class != Class::Batch {
            return may_probe;
        }
        let is_harmful = self.expected_slowdown(&capacity.name, job) >= HARMFUL_SLOWDOWN_PERCENT
            && waited < HARMLESS_WORKER_WAIT;
        !capacity.has_paused_placements && !is_harmful && may_probe
    }

    /// Counts the service tasks of a service by worker and rack. Other jobs are packed instead of
    /// spread, so that the counts are empty for them.
    fn spread(&self, service: &ServiceName, is_service_task: bool) -> Spread<'_> {
        let mut spread = Spread::default();
        if !is_service_task {
            return spread;
        }
        let open_attempts = self.tasks.iter().map(|(id, task)| (id, &task.worker));
        let pending_intents = self.pending_intents.iter().map(|(id, p)| (id, &p.worker));
        for (id, worker) in open_attempts.chain(pending_intents) {
            let is_same_service = |job: &Job| job.spec.service == *service && job.is_service_task();
            if !self.ledger.jobs.get(id).is_some_and(is_same_service) {
                continue;
            }
            *spread.workers.entry(worker).or_default() += 1;
            if let Some(rack) = self.workers.get(worker).and_then(|w| w.rack.as_ref()) {
                *spread.racks.entry(rack).or_default() += 1;
            }
        }
        spread
    }

    /// Returns whether an attempt of the job has failed on the worker or was refused by it.
    fn has_failed_on(&self, id: &JobId, name: &WorkerName) -> bool {
        self.failed_workers
            .get(id)
            .is_some_and(|names| names.contains(name))
    }
}

/// Number of tasks of one service by worker and rack.
#[derive(Debug, Default)]
struct Spread<'a> {
    workers: BTreeMap<&'a WorkerName, u32>,
    racks: BTreeMap<&'a RackName, u32>,
}

/// Returns which resource is missing on the worker with the most free processors, for an
/// explanation.
pub(crate) fn missing_resources(needs: Resources, capacities: &[WorkerCapacity]) -> String {
    let Some(capacity) = capacities
        .iter()
        .max_by_key(|capacity| (capacity.free.cpu, Reverse(&capacity.name)))
    else {
        return "workers that take work".to_owned();
    };
    let missing = needs.saturating_sub(capacity.free);
    match (missing.cpu, missing.mem) {
        (0, 0) if missing.accel == 0 => "capacity that is not reserved for other work".to_owned(),
        (0, 0) => format!("{} accelerators", missing.accel),
        (0, mem) => format!("{mem} MiB of memory"),
        (cpu, _) => format!("{cpu} thousandths of a core"),
    }
}

//! Placement: which waiting jobs get which worker.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::limits::INTENT_BATCH;
use hyssop_core::{
    CellRecord, Class, Intent, JobId, Millis, RackName, Reason, RecordId, Resources, ServiceName,
    TeamName, Term, WorkerName,
};
use smallvec::SmallVec;

use crate::Cell;
use crate::groups::Group;
use crate::jobs::Job;
use crate::protections::HARMFUL_SLOWDOWN_PERCENT;
use crate::queues::{Head, Queue};
use crate::quotas::add_resources;

/// Intents in one record. With one record per `INTENT_BATCH` it bounds the starts of a cell after
/// a mass restart.
const INTENTS_PER_BATCH: usize = 32;

/// Time for which a batch job waits for a worker on which it is not expected to disturb others.
const HARMLESS_WORKER_WAIT: Millis = Millis(10_000);
/// Expected slowdowns that differ by less, in percent, count as equal.
const SLOWDOWN_STEP_PERCENT: u32 = 3;
/// Interval of placement rounds when nothing has changed.
const PLACEMENT_INTERVAL: Millis = Millis(1_000);

/// Jobs without room for which others are evicted in one round, at most.
const MAX_UNPLACED_PER_ROUND: usize = 16;

/// An intent that is not yet read back.
#[derive(Clone, Debug)]
pub(crate) struct PendingIntent {
    pub(crate) worker: WorkerName,
    pub(crate) needs: Resources,
    pub(crate) record: RecordId,
}

/// Room on a worker during one round of placement.
#[derive(Clone, Debug)]
pub(crate) struct WorkerCapacity {
    pub(crate) name: WorkerName,
    pub(crate) rack: Option<RackName>,
    pub(crate) free: Resources,
    /// Whether batch work is kept away to protect latency-critical tasks.
    pub(crate) is_held: bool,
    /// Whether the worker is in quarantine and one batch job may probe it.
    pub(crate) is_probe: bool,
}

/// Why a job is passed over in a round.
enum SkipReason {
    /// No worker has room, so that nothing as large needs to be tried.
    NoCapacity,
    /// A reason that holds for the job alone.
    Job,
}

impl Cell {
    /// Returns the room on each worker that takes work.
    pub(crate) fn free_capacities(&self, now: Millis) -> Vec<WorkerCapacity> {
        let mut promised: BTreeMap<&WorkerName, Resources> = BTreeMap::new();
        for proposed in self.pending_intents.values() {
            let entry = promised.entry(&proposed.worker).or_default();
            *entry = add_resources(*entry, proposed.needs);
        }
        let usable = self.workers.iter();
        let usable = usable.filter(|(name, worker)| {
            let shut = self.is_quarantined(name) && !self.is_probe_due(now, name);
            worker.is_usable() && !shut
        });
        usable
            .map(|(name, worker)| {
                let taken = add_resources(
                    self.allocated(name),
                    promised.get(name).copied().unwrap_or_default(),
                );
                WorkerCapacity {
                    name: name.clone(),
                    rack: worker.rack.clone(),
                    free: worker.capacity.saturating_sub(taken),
                    is_held: self.is_placement_held(now, name),
                    is_probe: self.is_quarantined(name),
                }
            })
            .collect()
    }

    /// Returns what a worker is promised to: open attempts, and strays until they are gone.
    pub(crate) fn allocated(&self, name: &WorkerName) -> Resources {
        let Some(worker) = self.workers.get(name) else {
            return Resources::default();
        };
        let tasks = worker.tasks.iter().filter_map(|job| self.tasks.get(job));
        let strays = worker.orphaned_runs.values().map(|stray| stray.needs);
        let needs = tasks.map(|task| task.needs).chain(strays);
        needs.fold(Resources::default(), add_resources)
    }

    /// Writes intents for the waiting jobs that fit.
    pub(crate) fn place_jobs(&mut self, now: Millis, term: Term) {
        if !self.may_start() || !self.is_place_due(now) {
            return;
        }
        self.last_placement_at = Some(now);
        self.needs_placement = false;
        let most = self.domain_phase.start_limit(now, INTENTS_PER_BATCH);
        let mut queue = self.queue(now);
        let mut rooms = self.free_capacities(now);
        let mut short = Vec::new();
        let mut used = self.team_usage();
        let mut full = Vec::new();
        let mut chosen: SmallVec<[Intent; 4]> = SmallVec::new();
        while chosen.len() < most
            && let Some(head) = queue.next(&used)
        {
            let job = self.ledger.jobs.get(&head.id).map(|job| &job.spec);
            let Some((needs, class)) = job.map(|spec| (spec.needs, spec.class)) else {
                continue;
            };
            if full.iter().any(|least: &Resources| least.fits(needs)) {
                continue;
            }
            // The answer for one job holds for the rest of its group.
            match self.place_job(now, &head.id, &mut rooms, &mut used) {
                Ok(intent) => {
                    chosen.push(intent);
                    self.enqueue_next(now, &head, &mut queue);
                }
                Err(SkipReason::NoCapacity) if class == Class::Batch => {
                    full.push(needs);
                    if self.is_job_overdue(now, &head.id) {
                        self.reserve_for_overdue(now, &head.id, &rooms);
                    }
                }
                Err(SkipReason::NoCapacity) => {
                    short.push(head.id.clone());
                    if short.len() < MAX_UNPLACED_PER_ROUND {
                        self.enqueue_next(now, &head, &mut queue);
                    }
                }
                Err(SkipReason::Job) => {}
            }
        }
        self.needs_placement |= chosen.len() == most;
        self.write_intents(term, &chosen);
        self.preempt_for_jobs(now, &short, &rooms);
    }

    /// Placement is tried when something changed, and now and then for jobs that back off.
    fn is_place_due(&self, now: Millis) -> bool {
        let Some(last) = self.last_placement_at else {
            return true;
        };
        let passed = now.since(last);
        passed >= PLACEMENT_INTERVAL || self.needs_placement && passed >= INTENT_BATCH
    }

    fn write_intents(&mut self, term: Term, intents: &SmallVec<[Intent; 4]>) {
        if intents.is_empty() {
            return;
        }
        let body = CellRecord::Intents(intents.clone());
        let record = self.journal.write(term, body);
        for intent in intents {
            if let Some(proposed) = self.pending_intents.get_mut(&intent.job) {
                proposed.record = record;
            }
        }
    }

    /// Returns the first job of each group that may be placed now.
    fn queue(&self, now: Millis) -> Queue {
        let mut queue = Queue::new(self.total_capacity());
        for (group, members) in self.waiting_groups.iter() {
            self.enqueue(now, group, members.iter(), &mut queue);
        }
        // Room that is kept for a job must not wait for those before it in its group.
        for id in self.reservations.keys() {
            if let (Some(job), Some(since)) = (self.ledger.jobs.get(id), self.ready_since(now, id))
            {
                let overdue = self.is_pause_overdue(now, job, since);
                let head = Head {
                    waiting_since: since,
                    id: id.clone(),
                    group: None,
                };
                queue.add(job.spec.class, &job.spec.team, overdue, head);
            }
        }
        queue
    }

    /// Adds the job that follows in a group.
    fn enqueue_next(&self, now: Millis, head: &Head, queue: &mut Queue) {
        if let Some(group) = &head.group {
            let last = (head.waiting_since, head.id.clone());
            self.enqueue(now, group, self.waiting_groups.after(group, &last), queue);
        }
    }

    /// Adds the first of some members of a group that may be placed now.
    fn enqueue<'a>(
        &self,
        now: Millis,
        group: &Arc<Group>,
        members: impl Iterator<Item = &'a (Millis, JobId)>,
        queue: &mut Queue,
    ) {
        let able =
            |id: &JobId| self.ready_since(now, id).is_some() && !self.reservations.contains_key(id);
        let mut able = members.filter(|(_, id)| able(id));
        let Some((since, id)) = able.next() else {
            return;
        };
        let job = self.ledger.jobs.get(id);
        let overdue =
            group.is_resumed && job.is_some_and(|job| self.is_pause_overdue(now, job, *since));
        let head = Head {
            waiting_since: *since,
            id: id.clone(),
            group: Some(group.clone()),
        };
        queue.add(group.class, &group.team, overdue, head);
    }

    fn is_job_overdue(&self, now: Millis, id: &JobId) -> bool {
        let job = self.ledger.jobs.get(id);
        let since = job.and_then(|job| self.paused_since(id, job));
        job.is_some_and(|job| since.is_some_and(|since| self.is_pause_overdue(now, job, since)))
    }

    /// Returns since when a waiting job could be placed; `None` while it backs off or is on its
    /// way to a worker.
    fn ready_since(&self, now: Millis, id: &JobId) -> Option<Millis> {
        if self.pending_intents.contains_key(id) {
            return None;
        }
        let wait = self.waits.get(id);
        let wait = wait.copied().unwrap_or_default();
        (wait.not_before <= now && !wait.is_ending).then_some(wait.waiting_since)
    }

    /// Returns the capacity of the workers that answer.
    pub(crate) fn total_capacity(&self) -> Resources {
        let usable = self.workers.values().filter(|w| w.is_usable());
        usable
            .map(|w| w.capacity)
            .fold(Resources::default(), add_resources)
    }

    fn place_job(
        &mut self,
        now: Millis,
        id: &JobId,
        rooms: &mut [WorkerCapacity],
        used: &mut BTreeMap<TeamName, Resources>,
    ) -> Result<Intent, SkipReason> {
        let job = self.ledger.jobs.get(id).ok_or(SkipReason::Job)?;
        let spec = &job.spec;
        if !self.is_allowed(spec, &self.options.cell.domain) {
            if let Some(why) = self.permanent_refusal(spec) {
                self.explain_job(now, id, Reason::Never(why));
            }
            return Err(SkipReason::Job);
        }
        let team = spec.team.clone();
        let wanted = add_resources(used.get(&team).copied().unwrap_or_default(), spec.needs);
        if self.is_quota_full(job, used) {
            self.explain_job(now, id, Reason::QuotaFull);
            return Err(SkipReason::Job);
        }
        let Some((place, candidates)) = self.choose_worker(now, id, job, rooms) else {
            let reason = match self.permanent_refusal(spec) {
                Some(why) if !job.is_service_task() => Reason::Never(why),
                _ => Reason::NoRoom {
                    lacks: missing_resources(spec.needs, rooms),
                },
            };
            self.explain_job(now, id, reason);
            return Err(SkipReason::NoCapacity);
        };
        let intent = Intent {
            job: id.clone(),
            attempt: job.attempt.next(),
            worker: rooms[place].name.clone(),
        };
        rooms[place].free = rooms[place].free.saturating_sub(spec.needs);
        if rooms[place].is_probe {
            // One probe at a time.
            rooms[place].free = Resources::default();
            self.quarantine.start_probe(&intent.worker, id);
        }
        if !job.is_service_task() {
            used.insert(team, wanted);
        }
        let slowdown = self.expected_slowdown(&intent.worker, job);
        // The record is chosen when the batch is complete.
        let proposed = PendingIntent {
            worker: intent.worker.clone(),
            needs: spec.needs,
            record: RecordId(0),
        };
        self.pending_intents.insert(id.clone(), proposed);
        let reason = Reason::Placed {
            attempt: intent.attempt,
            worker: intent.worker.clone(),
            candidates,
            slowdown,
        };
        self.explain_job(now, id, reason);
        Ok(intent)
    }

    /// Chooses a worker with room: few tasks of the same service in the rack and on the worker,
    /// little slowdown expected, then best fit.
    pub(crate) fn choose_worker(
        &self,
        now: Millis,
        id: &JobId,
        job: &Job,
        rooms: &[WorkerCapacity],
    ) -> Option<(usize, u32)> {
        let waited = now.since(self.waits.get(id).map_or(now, |wait| wait.waiting_since));
        let fitting = rooms.iter().enumerate();
        let fitting: Vec<_> = fitting
            .filter(|(_, room)| self.may_take_job(id, job, room, waited))
            .collect();
        let count = u32::try_from(fitting.len()).unwrap_or(u32::MAX);
        let spread = self.spread(&job.spec.service, job.is_service_task());
        let best = fitting.into_iter().min_by_key(|(_, room)| {
            let rack = room.rack.as_ref();
            let near = rack.map_or(0, |r| spread.racks.get(r).copied().unwrap_or(0));
            let here = spread.workers.get(&room.name).copied().unwrap_or(0);
            let failed = self.has_failed_on(id, &room.name);
            let slowdown = self.expected_slowdown(&room.name, job) / SLOWDOWN_STEP_PERCENT;
            let left = room.free.saturating_sub(job.spec.needs);
            (
                failed,
                !room.is_probe,
                here,
                near,
                slowdown,
                left.cpu,
                left.mem,
                room.name.clone(),
            )
        });
        best.map(|(place, _)| (place, count))
    }

    /// Tells whether a job may go to a room and fits there beside what is kept for others.
    fn may_take_job(&self, id: &JobId, job: &Job, room: &WorkerCapacity, waited: Millis) -> bool {
        let free = room
            .free
            .saturating_sub(self.reserved_for_others(&room.name, id));
        if !job.spec.needs.fits(free) {
            return false;
        }
        if job.spec.class != Class::Batch {
            return !room.is_probe;
        }
        let harmful = self.expected_slowdown(&room.name, job) >= HARMFUL_SLOWDOWN_PERCENT
            && waited < HARMLESS_WORKER_WAIT;
        let untried = job.failure_count == 0 || !room.is_probe;
        !room.is_held && !harmful && untried
    }

    /// Counts the standing tasks of a service by worker and rack. Jobs are packed, not spread.
    fn spread(&self, service: &ServiceName, standing: bool) -> Spread<'_> {
        let mut spread = Spread::default();
        if !standing {
            return spread;
        }
        let open = self.tasks.iter().map(|(id, task)| (id, &task.worker));
        let proposed = self.pending_intents.iter().map(|(id, p)| (id, &p.worker));
        for (id, worker) in open.chain(proposed) {
            let same = |job: &Job| job.spec.service == *service && job.is_service_task();
            if !self.ledger.jobs.get(id).is_some_and(same) {
                continue;
            }
            *spread.workers.entry(worker).or_default() += 1;
            if let Some(rack) = self.workers.get(worker).and_then(|w| w.rack.as_ref()) {
                *spread.racks.entry(rack).or_default() += 1;
            }
        }
        spread
    }

    /// Tells whether an attempt of the job has failed on the worker.
    fn has_failed_on(&self, id: &JobId, name: &WorkerName) -> bool {
        self.failed_workers
            .get(id)
            .is_some_and(|names| names.contains(name))
    }
}

/// Tasks of one service by worker and rack.
#[derive(Debug, Default)]
struct Spread<'a> {
    workers: BTreeMap<&'a WorkerName, u32>,
    racks: BTreeMap<&'a RackName, u32>,
}

/// Returns what the worker with the most free processors lacks.
pub(crate) fn missing_resources(needs: Resources, rooms: &[WorkerCapacity]) -> String {
    let Some(room) = rooms
        .iter()
        .max_by_key(|room| (room.free.cpu, Reverse(&room.name)))
    else {
        return "workers that take work".to_owned();
    };
    let lacks = needs.saturating_sub(room.free);
    match (lacks.cpu, lacks.mem) {
        (0, 0) if lacks.accel == 0 => "room that is not kept for other work".to_owned(),
        (0, 0) => format!("{} accelerators", lacks.accel),
        (0, mem) => format!("{mem} MiB of memory"),
        (cpu, _) => format!("{cpu} thousandths of a core"),
    }
}

//! Placement: which waiting jobs get which worker.

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
use crate::buckets::Group;
use crate::jobs::Job;
use crate::protect::AVOID;
use crate::queues::{Head, Queue};
use crate::quotas::add;

/// Intents in one record. With one record per `INTENT_BATCH` it bounds the starts of a cell after
/// a mass restart.
const INTENTS_PER_BATCH: usize = 32;

/// Time for which a batch job waits for a worker on which it is not expected to disturb others.
const AVOID_TIME: Millis = Millis(10_000);
/// Expected slowdowns that differ by less, in percent, count as equal.
const SLOWDOWN_STEP: u32 = 3;
/// Interval of placement rounds when nothing has changed.
const PLACE_INTERVAL: Millis = Millis(1_000);

/// Jobs without room for which others are evicted in one round, at most.
const SHORT_LIMIT: usize = 16;

/// An intent that is not yet read back.
#[derive(Clone, Debug)]
pub(crate) struct Proposed {
    pub(crate) worker: WorkerName,
    pub(crate) needs: Resources,
    pub(crate) record: RecordId,
}

/// Room on a worker during one round of placement.
#[derive(Clone, Debug)]
pub(crate) struct Room {
    pub(crate) name: WorkerName,
    pub(crate) rack: Option<RackName>,
    pub(crate) free: Resources,
    /// Whether batch work is kept away to protect latency-critical tasks.
    pub(crate) held: bool,
    /// Whether the worker is in quarantine and one batch job may probe it.
    pub(crate) probe: bool,
}

/// Why a job is passed over in a round.
enum Skip {
    /// No worker has room, so that nothing as large needs to be tried.
    NoRoom,
    /// A reason that holds for the job alone.
    Job,
}

impl Cell {
    /// Returns the room on each worker that takes work.
    pub(crate) fn rooms(&self, now: Millis) -> Vec<Room> {
        let mut promised: BTreeMap<&WorkerName, Resources> = BTreeMap::new();
        for proposed in self.proposed.values() {
            let entry = promised.entry(&proposed.worker).or_default();
            *entry = add(*entry, proposed.needs);
        }
        let usable = self.workers.iter();
        let usable = usable.filter(|(name, worker)| {
            let shut = self.is_quarantined(name) && !self.is_probe_due(now, name);
            worker.is_usable() && !shut
        });
        usable
            .map(|(name, worker)| {
                let taken = add(
                    self.promised(name),
                    promised.get(name).copied().unwrap_or_default(),
                );
                Room {
                    name: name.clone(),
                    rack: worker.rack.clone(),
                    free: worker.capacity.saturating_sub(taken),
                    held: self.is_held(now, name),
                    probe: self.is_quarantined(name),
                }
            })
            .collect()
    }

    /// Returns what a worker is promised to: open attempts, and strays until they are gone.
    pub(crate) fn promised(&self, name: &WorkerName) -> Resources {
        let Some(worker) = self.workers.get(name) else {
            return Resources::default();
        };
        let tasks = worker.tasks.iter().filter_map(|job| self.tasks.get(job));
        let strays = worker.strays.values().map(|stray| stray.needs);
        let needs = tasks.map(|task| task.needs).chain(strays);
        needs.fold(Resources::default(), add)
    }

    /// Writes intents for the waiting jobs that fit.
    pub(crate) fn place(&mut self, now: Millis, term: Term) {
        if !self.may_start() || !self.is_place_due(now) {
            return;
        }
        self.batched = Some(now);
        self.place_due = false;
        let most = self.life.pace(now, INTENTS_PER_BATCH);
        let mut queue = self.queue(now);
        let mut rooms = self.rooms(now);
        let mut short = Vec::new();
        let mut used = self.used();
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
            match self.place_one(now, &head.id, &mut rooms, &mut used) {
                Ok(intent) => {
                    chosen.push(intent);
                    self.follow(now, &head, &mut queue);
                }
                Err(Skip::NoRoom) if class == Class::Batch => {
                    full.push(needs);
                    if self.is_late(now, &head.id) {
                        self.reserve(now, &head.id, &rooms);
                    }
                }
                Err(Skip::NoRoom) => {
                    short.push(head.id.clone());
                    if short.len() < SHORT_LIMIT {
                        self.follow(now, &head, &mut queue);
                    }
                }
                Err(Skip::Job) => {}
            }
        }
        self.place_due |= chosen.len() == most;
        self.propose(term, &chosen);
        self.preempt(now, &short, &rooms);
    }

    /// Placement is tried when something changed, and now and then for jobs that back off.
    fn is_place_due(&self, now: Millis) -> bool {
        let Some(last) = self.batched else {
            return true;
        };
        let passed = now.since(last);
        passed >= PLACE_INTERVAL || self.place_due && passed >= INTENT_BATCH_INTERVAL
    }

    fn propose(&mut self, term: Term, intents: &SmallVec<[Intent; 4]>) {
        if intents.is_empty() {
            return;
        }
        let body = CellRecord::Intents(intents.clone());
        let record = self.journal.write(term, body);
        for intent in intents {
            if let Some(proposed) = self.proposed.get_mut(&intent.job) {
                proposed.record = record;
            }
        }
    }

    /// Returns the first job of each group that may be placed now.
    fn queue(&self, now: Millis) -> Queue {
        let mut queue = Queue::new(self.total());
        for (group, members) in self.buckets.iter() {
            self.enqueue(now, group, members.iter(), &mut queue);
        }
        // Room that is kept for a job must not wait for those before it in its group.
        for id in self.claims.keys() {
            if let (Some(job), Some(since)) = (self.ledger.jobs.get(id), self.ready(now, id)) {
                let overdue = self.is_overdue(now, job, since);
                let head = Head {
                    since,
                    id: id.clone(),
                    group: None,
                };
                queue.add(job.spec.class, &job.spec.team, overdue, head);
            }
        }
        queue
    }

    /// Adds the job that follows in a group.
    fn follow(&self, now: Millis, head: &Head, queue: &mut Queue) {
        if let Some(group) = &head.group {
            let last = (head.since, head.id.clone());
            self.enqueue(now, group, self.buckets.after(group, &last), queue);
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
        let able = |id: &JobId| self.ready(now, id).is_some() && !self.claims.contains_key(id);
        let mut able = members.filter(|(_, id)| able(id));
        let Some((since, id)) = able.next() else {
            return;
        };
        let job = self.ledger.jobs.get(id);
        let overdue = group.resumed && job.is_some_and(|job| self.is_overdue(now, job, *since));
        let head = Head {
            since: *since,
            id: id.clone(),
            group: Some(group.clone()),
        };
        queue.add(group.class, &group.team, overdue, head);
    }

    fn is_late(&self, now: Millis, id: &JobId) -> bool {
        let job = self.ledger.jobs.get(id);
        let since = job.and_then(|job| self.pause_since(id, job));
        job.is_some_and(|job| since.is_some_and(|since| self.is_overdue(now, job, since)))
    }

    /// Returns since when a waiting job could be placed; `None` while it backs off or is on its
    /// way to a worker.
    fn ready(&self, now: Millis, id: &JobId) -> Option<Millis> {
        if self.proposed.contains_key(id) {
            return None;
        }
        let wait = self.waits.get(id);
        let wait = wait.copied().unwrap_or_default();
        (wait.until <= now && !wait.ending).then_some(wait.since)
    }

    /// Returns the capacity of the workers that answer.
    pub(crate) fn total(&self) -> Resources {
        let usable = self.workers.values().filter(|w| w.is_usable());
        usable.map(|w| w.capacity).fold(Resources::default(), add)
    }

    fn place_one(
        &mut self,
        now: Millis,
        id: &JobId,
        rooms: &mut [Room],
        used: &mut BTreeMap<TeamName, Resources>,
    ) -> Result<Intent, Skip> {
        let job = self.ledger.jobs.get(id).ok_or(Skip::Job)?;
        let spec = &job.spec;
        if !self.is_allowed(spec, &self.options.cell.domain) {
            if let Some(why) = self.never(spec) {
                self.explain_job(now, id, Reason::NeverRuns(why));
            }
            return Err(Skip::Job);
        }
        let team = spec.team.clone();
        let wanted = add(used.get(&team).copied().unwrap_or_default(), spec.needs);
        if self.is_quota_full(job, used) {
            self.explain_job(now, id, Reason::QuotaFull);
            return Err(Skip::Job);
        }
        let Some((place, candidates)) = self.choose_room(now, id, job, rooms) else {
            let reason = match self.never(spec) {
                Some(why) if !job.is_standing() => Reason::NeverRuns(why),
                _ => Reason::NoCapacity {
                    missing: lacking(spec.needs, rooms),
                },
            };
            self.explain_job(now, id, reason);
            return Err(Skip::NoRoom);
        };
        let intent = Intent {
            job: id.clone(),
            attempt: job.attempt.next(),
            worker: rooms[place].name.clone(),
        };
        rooms[place].free = rooms[place].free.saturating_sub(spec.needs);
        if rooms[place].probe {
            // One probe at a time.
            rooms[place].free = Resources::default();
            self.quarantine.note_probe(&intent.worker, id);
        }
        if !job.is_standing() {
            used.insert(team, wanted);
        }
        let slowdown = self.estimate(&intent.worker, job);
        // The record is chosen when the batch is complete.
        let proposed = Proposed {
            worker: intent.worker.clone(),
            needs: spec.needs,
            record: RecordId(0),
        };
        self.proposed.insert(id.clone(), proposed);
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
    pub(crate) fn choose_room(
        &self,
        now: Millis,
        id: &JobId,
        job: &Job,
        rooms: &[Room],
    ) -> Option<(usize, u32)> {
        let waited = now.since(self.waits.get(id).map_or(now, |wait| wait.since));
        let fitting = rooms.iter().enumerate();
        let fitting: Vec<_> = fitting
            .filter(|(_, room)| self.is_open_to(id, job, room, waited))
            .collect();
        let count = u32::try_from(fitting.len()).unwrap_or(u32::MAX);
        let spread = self.spread(&job.spec.service, job.is_standing());
        let best = fitting.into_iter().min_by_key(|(_, room)| {
            let rack = room.rack.as_ref();
            let near = rack.map_or(0, |r| spread.racks.get(r).copied().unwrap_or(0));
            let here = spread.workers.get(&room.name).copied().unwrap_or(0);
            let failed = self.has_failed(id, &room.name);
            let slowdown = self.estimate(&room.name, job) / SLOWDOWN_STEP;
            let left = room.free.saturating_sub(job.spec.needs);
            (
                failed,
                !room.probe,
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
    fn is_open_to(&self, id: &JobId, job: &Job, room: &Room, waited: Millis) -> bool {
        let free = room.free.saturating_sub(self.claimed(&room.name, id));
        if !job.spec.needs.fits(free) {
            return false;
        }
        if job.spec.class != Class::Batch {
            return !room.probe;
        }
        let harmful = self.estimate(&room.name, job) >= AVOID && waited < AVOID_TIME;
        let untried = job.failures == 0 || !room.probe;
        !room.held && !harmful && untried
    }

    /// Counts the standing tasks of a service by worker and rack. Jobs are packed, not spread.
    fn spread(&self, service: &ServiceName, standing: bool) -> Spread<'_> {
        let mut spread = Spread::default();
        if !standing {
            return spread;
        }
        let open = self.tasks.iter().map(|(id, task)| (id, &task.worker));
        let proposed = self.proposed.iter().map(|(id, p)| (id, &p.worker));
        for (id, worker) in open.chain(proposed) {
            let same = |job: &Job| job.spec.service == *service && job.is_standing();
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
    fn has_failed(&self, id: &JobId, name: &WorkerName) -> bool {
        self.failed
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
pub(crate) fn lacking(needs: Resources, rooms: &[Room]) -> String {
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

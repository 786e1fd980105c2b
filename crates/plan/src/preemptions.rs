//! Pre-emption: batch work that makes way for urgent work and standing tasks.

use hyssop_core::{Class, EvictionCause, JobId, Millis, Resources, WorkerName};

use crate::Cell;
use crate::placements::WorkerCapacity;

/// Pre-empting jobs in one round.
const PREEMPTIONS_PER_ROUND: usize = 4;
/// Time for a worker to checkpoint and for the release to settle. Room that was made for a job is
/// kept for it that long.
const RESERVATION_TIMEOUT: Millis = Millis(4_000);

/// Room that is being made for a job.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) worker: WorkerName,
    pub(crate) needs: Resources,
    reserved_at: Millis,
}

/// Batch tasks to evict on a worker, and the work that they lose.
struct EvictionPlan {
    worker: WorkerName,
    lost_work: u64,
    victims: Vec<JobId>,
}

impl Cell {
    /// Makes room for jobs that found none.
    pub(crate) fn preempt_for_jobs(
        &mut self,
        now: Millis,
        jobs: &[JobId],
        rooms: &[WorkerCapacity],
    ) {
        let mut made = 0;
        for id in jobs {
            if made == PREEMPTIONS_PER_ROUND {
                return;
            }
            if self.reservations.contains_key(id) {
                continue;
            }
            let needs = self.ledger.jobs.get(id).map(|job| job.spec.needs);
            let Some(plan) = needs.and_then(|needs| self.plan_eviction(id, needs, rooms)) else {
                continue;
            };
            self.reserve_capacity(now, id, plan.worker, needs.unwrap_or_default());
            for victim in plan.victims {
                self.evict(now, &victim, EvictionCause::Preempt);
            }
            made += 1;
        }
    }

    pub(crate) fn reserve_capacity(
        &mut self,
        now: Millis,
        id: &JobId,
        worker: WorkerName,
        needs: Resources,
    ) {
        let claim = Reservation {
            worker,
            needs,
            reserved_at: now,
        };
        self.reservations.insert(id.clone(), claim);
    }

    /// Chooses the worker on which the least work is lost.
    fn plan_eviction(
        &self,
        id: &JobId,
        needs: Resources,
        rooms: &[WorkerCapacity],
    ) -> Option<EvictionPlan> {
        let claimed =
            |room: &&WorkerCapacity| self.reservations.values().all(|c| c.worker != room.name);
        let rooms = rooms.iter().filter(|room| !room.is_held && !room.is_probe);
        let plans = rooms
            .filter(claimed)
            .filter_map(|r| self.plan_eviction_on(id, needs, r));
        plans.min_by(|a, b| (a.lost_work, &a.worker).cmp(&(b.lost_work, &b.worker)))
    }

    fn plan_eviction_on(
        &self,
        _id: &JobId,
        needs: Resources,
        room: &WorkerCapacity,
    ) -> Option<EvictionPlan> {
        let worker = self.workers.get(&room.name)?;
        let mut victims: Vec<(u64, &JobId)> = worker
            .tasks
            .iter()
            .filter(|id| self.is_preemptible(id))
            .map(|id| (self.unsaved_work(id), id))
            .collect();
        victims.sort();
        let mut free = room.free;
        let mut plan = EvictionPlan {
            worker: room.name.clone(),
            lost_work: 0,
            victims: Vec::new(),
        };
        for (lost, id) in victims {
            if needs.fits(free) {
                break;
            }
            free = crate::quotas::add_resources(free, self.tasks.get(id)?.needs);
            plan.lost_work += lost;
            plan.victims.push(id.clone());
        }
        needs.fits(free).then_some(plan)
    }

    /// Tells whether a task may be evicted for more important work.
    fn is_preemptible(&self, id: &JobId) -> bool {
        let task = self.tasks.get(id);
        task.is_some_and(|t| {
            t.class == Class::Batch && t.is_started && !t.is_closing && t.eviction_cause.is_none()
        }) && self.is_movable(id)
    }

    /// Forgets claims that were met, are void or have taken too long.
    pub(crate) fn expire_reservations(&mut self, now: Millis) {
        let ledger = &self.ledger;
        let proposed = &self.pending_intents;
        self.reservations.retain(|id, claim| {
            ledger.waiting_jobs.contains(id)
                && !proposed.contains_key(id)
                && now.since(claim.reserved_at) < RESERVATION_TIMEOUT
        });
    }

    /// Returns what is kept on a worker for jobs other than `id`.
    pub(crate) fn reserved_for_others(&self, name: &WorkerName, id: &JobId) -> Resources {
        let claims = self.reservations.iter();
        let others = claims.filter(|(job, claim)| *job != id && claim.worker == *name);
        others
            .map(|(_, claim)| claim.needs)
            .fold(Resources::default(), crate::quotas::add_resources)
    }
}

//! Preemption: evicting batch tasks to free capacity for urgent jobs and service tasks.

use hyssop_core::{Class, EvictionCause, JobId, Millis, Resources, WorkerName};

use crate::Cell;
use crate::placements::WorkerCapacity;

/// Jobs in one round for which others are evicted, at most.
const PREEMPTIONS_PER_ROUND: usize = 4;
/// Time after which a reservation expires. It covers the checkpoints of the evicted tasks and the
/// commit of their release.
const RESERVATION_TIMEOUT: Millis = Millis(4_000);

/// Capacity reserved for a job on one worker.
#[derive(Clone, Debug)]
pub(crate) struct Reservation {
    pub(crate) worker: WorkerName,
    class: Class,
    pub(crate) needs: Resources,
    reserved_at: Millis,
}

/// Batch tasks to evict on a worker, and the work in milliseconds that they lose.
struct EvictionPlan {
    worker: WorkerName,
    lost_work: u64,
    victims: Vec<JobId>,
}

impl Cell {
    /// Evicts batch tasks to free capacity for jobs that found none.
    pub(crate) fn preempt_for_jobs(
        &mut self,
        now: Millis,
        jobs: &[JobId],
        capacities: &[WorkerCapacity],
    ) {
        let mut planned = 0;
        for id in jobs {
            if planned == PREEMPTIONS_PER_ROUND {
                return;
            }
            if self.reservations.contains_key(id) {
                continue;
            }
            let needs = self.ledger.jobs.get(id).map(|job| job.spec.needs);
            let Some(plan) = needs.and_then(|needs| self.plan_eviction(needs, capacities)) else {
                continue;
            };
            self.reserve_capacity(now, id, plan.worker);
            for victim in plan.victims {
                self.evict(now, &victim, EvictionCause::Preempt);
            }
            planned += 1;
        }
    }

    /// Reserves capacity of a worker for a job, free or about to be freed.
    pub(crate) fn reserve_capacity(&mut self, now: Millis, id: &JobId, worker: WorkerName) {
        let Some(job) = self.ledger.jobs.get(id) else {
            return;
        };
        let reservation = Reservation {
            worker,
            class: job.spec.class,
            needs: job.spec.needs,
            reserved_at: now,
        };
        self.reservations.insert(id.clone(), reservation);
    }

    /// Chooses the worker on which evictions lose the least work. Workers with a reservation of
    /// another such job or in quarantine are left out; a pause of placements concerns batch jobs only.
    fn plan_eviction(
        &self,
        needs: Resources,
        capacities: &[WorkerCapacity],
    ) -> Option<EvictionPlan> {
        let is_unreserved = |capacity: &&WorkerCapacity| {
            let mut reservations = self.reservations.values();
            reservations.all(|r| r.worker != capacity.name || r.class == Class::Batch)
        };
        let capacities = capacities.iter();
        let plans = capacities
            .filter(|capacity| !capacity.is_quarantined)
            .filter(is_unreserved)
            .filter_map(|r| self.plan_eviction_on(needs, r));
        plans.min_by(|a, b| (a.lost_work, &a.worker).cmp(&(b.lost_work, &b.worker)))
    }

    /// Returns the evictions that free enough capacity on a worker; `None` if even all are not
    /// enough.
    fn plan_eviction_on(
        &self,
        needs: Resources,
        capacity: &WorkerCapacity,
    ) -> Option<EvictionPlan> {
        let worker = self.workers.get(&capacity.name)?;
        let mut victims: Vec<(u64, &JobId)> = worker
            .tasks
            .iter()
            .filter(|id| self.is_preemptible(id))
            .map(|id| (self.unsaved_work(id), id))
            .collect();
        victims.sort();
        let mut free = capacity.free;
        let mut plan = EvictionPlan {
            worker: capacity.name.clone(),
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

    /// Returns whether a task may be evicted for a more important job.
    fn is_preemptible(&self, id: &JobId) -> bool {
        let task = self.tasks.get(id);
        task.is_some_and(|t| {
            t.class == Class::Batch && t.is_started && !t.is_closing && t.eviction_cause.is_none()
        }) && self.is_movable(id)
    }

    /// Removes reservations of jobs that have a worker or have ended, and those that have expired.
    pub(crate) fn expire_reservations(&mut self, now: Millis) {
        let ledger = &self.ledger;
        let proposed = &self.pending_intents;
        self.reservations.retain(|id, reservation| {
            ledger.waiting_jobs.contains(id)
                && !proposed.contains_key(id)
                && now.since(reservation.reserved_at) < RESERVATION_TIMEOUT
        });
    }

    /// Returns the number of reservations of batch jobs.
    pub(crate) fn batch_reservations(&self) -> usize {
        let reservations = self.reservations.values();
        reservations.filter(|r| r.class == Class::Batch).count()
    }

    /// Returns the capacity of a worker that is reserved for jobs other than `id`, which has this
    /// class. Reservations of batch jobs keep only other batch jobs away.
    pub(crate) fn reserved_for_others(
        &self,
        name: &WorkerName,
        id: &JobId,
        class: Class,
    ) -> Resources {
        let reservations = self.reservations.iter();
        let others = reservations.filter(|(job, reservation)| {
            let is_respected = class == Class::Batch || reservation.class != Class::Batch;
            is_respected && *job != id && reservation.worker == *name
        });
        others
            .map(|(_, reservation)| reservation.needs)
            .fold(Resources::default(), crate::quotas::add_resources)
    }
}

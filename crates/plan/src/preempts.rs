//! Pre-emption: batch work that makes way for urgent work and standing tasks.

use hyssop_core::{Class, EvictionCause, JobId, Millis, Resources, WorkerName};

use crate::Cell;
use crate::places::Room;

/// Pre-empting jobs in one round.
const PREEMPTS_PER_ROUND: usize = 4;
/// Time for a worker to checkpoint and for the release to settle. Room that was made for a job is
/// kept for it that long.
const CLAIM_TIME: Millis = Millis(4_000);

/// Room that is being made for a job.
#[derive(Clone, Debug)]
pub(crate) struct Claim {
    pub(crate) worker: WorkerName,
    pub(crate) needs: Resources,
    since: Millis,
}

/// Batch tasks to evict on a worker, and the work that they lose.
struct Plan {
    worker: WorkerName,
    lost: u64,
    victims: Vec<JobId>,
}

impl Cell {
    /// Makes room for jobs that found none.
    pub(crate) fn preempt(&mut self, now: Millis, jobs: &[JobId], rooms: &[Room]) {
        let mut made = 0;
        for id in jobs {
            if made == PREEMPTS_PER_ROUND {
                return;
            }
            if self.claims.contains_key(id) {
                continue;
            }
            let needs = self.ledger.jobs.get(id).map(|job| job.spec.needs);
            let Some(plan) = needs.and_then(|needs| self.plan(id, needs, rooms)) else {
                continue;
            };
            self.claim_room(now, id, plan.worker, needs.unwrap_or_default());
            for victim in plan.victims {
                self.evict(now, &victim, EvictionCause::Preempt);
            }
            made += 1;
        }
    }

    pub(crate) fn claim_room(
        &mut self,
        now: Millis,
        id: &JobId,
        worker: WorkerName,
        needs: Resources,
    ) {
        let claim = Claim {
            worker,
            needs,
            since: now,
        };
        self.claims.insert(id.clone(), claim);
    }

    /// Chooses the worker on which the least work is lost.
    fn plan(&self, id: &JobId, needs: Resources, rooms: &[Room]) -> Option<Plan> {
        let claimed = |room: &&Room| self.claims.values().all(|c| c.worker != room.name);
        let rooms = rooms.iter().filter(|room| !room.held && !room.probe);
        let plans = rooms
            .filter(claimed)
            .filter_map(|r| self.plan_on(id, needs, r));
        plans.min_by(|a, b| (a.lost, &a.worker).cmp(&(b.lost, &b.worker)))
    }

    fn plan_on(&self, _id: &JobId, needs: Resources, room: &Room) -> Option<Plan> {
        let worker = self.workers.get(&room.name)?;
        let mut victims: Vec<(u64, &JobId)> = worker
            .tasks
            .iter()
            .filter(|id| self.is_victim(id))
            .map(|id| (self.work_lost(id), id))
            .collect();
        victims.sort();
        let mut free = room.free;
        let mut plan = Plan {
            worker: room.name.clone(),
            lost: 0,
            victims: Vec::new(),
        };
        for (lost, id) in victims {
            if needs.fits(free) {
                break;
            }
            free = crate::quotas::add(free, self.tasks.get(id)?.needs);
            plan.lost += lost;
            plan.victims.push(id.clone());
        }
        needs.fits(free).then_some(plan)
    }

    /// Tells whether a task may be evicted for more important work.
    fn is_victim(&self, id: &JobId) -> bool {
        let task = self.tasks.get(id);
        task.is_some_and(|t| {
            t.class == Class::Batch && t.started && !t.closing && t.evicting.is_none()
        }) && self.is_movable(id)
    }

    /// Forgets claims that were met, are void or have taken too long.
    pub(crate) fn sweep_claims(&mut self, now: Millis) {
        let ledger = &self.ledger;
        let proposed = &self.proposed;
        self.claims.retain(|id, claim| {
            ledger.waiting.contains(id)
                && !proposed.contains_key(id)
                && now.since(claim.since) < CLAIM_TIME
        });
    }

    /// Returns what is kept on a worker for jobs other than `id`.
    pub(crate) fn claimed(&self, name: &WorkerName, id: &JobId) -> Resources {
        let claims = self.claims.iter();
        let others = claims.filter(|(job, claim)| *job != id && claim.worker == *name);
        others
            .map(|(_, claim)| claim.needs)
            .fold(Resources::default(), crate::quotas::add)
    }
}

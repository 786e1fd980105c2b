//! Gangs: tasks that work only together, starting when all of them are there.
//!
//! A gang starts at once or not at all, with one run number. When a member ends in any other way than
//! done, the others are stopped, and the gang starts again when all members have ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::limits::{GANG_RACK_WAIT, GANG_RESERVE_WAIT, GANG_START_TIMEOUT};
use crate::owners::Owner;
use crate::starts::Unplaced;
use crate::workers::Worker;
use crate::{RunId, StepId, TaskId};

/// Gangs that were ordered to start and of which not all members have been listed.
pub(crate) type PendingGangs = BTreeMap<StepId, Millis>;

impl Owner {
    /// Starts a gang if there is room for all of it.
    pub(crate) fn start_gang(&mut self, at: StepId, unplaced: &mut Unplaced) {
        let now = self.now;
        let Some(job) = self.jobs.get(at.job) else {
            return;
        };
        let service = Arc::clone(&job.rule.service);
        let spec = job.spec.steps[usize::from(at.step)].clone();
        let Some(step) = job.step(at.task(0)) else {
            return;
        };
        if step.waiting.len() < step.tasks.len() {
            // A member was lost; the others have to end before the gang starts again.
            self.stop_gang(at.task(0));
            return;
        }
        let is_paused = step.tasks.iter().any(|task| task.not_before > now);
        if is_paused || unplaced.is_reserved(&service) {
            return;
        }
        let blocked_since = step.blocked_since;
        let may_spread =
            !spec.prefers_one_rack || blocked_since.is_some_and(|at| now >= at + GANG_RACK_WAIT);
        let racks = if spec.prefers_one_rack {
            self.candidate_racks(at)
        } else {
            Vec::new()
        };
        let mut choices: Vec<Option<Arc<str>>> = racks.into_iter().map(Some).collect();
        if may_spread {
            choices.push(None);
        }
        for rack in choices {
            if let Some(places) = self.reserve_gang(at, rack.as_ref()) {
                for (worker, run) in places {
                    self.order_start(&worker, run, 100);
                }
                self.gangs.insert(at, now);
                self.set_blocked_since(at, None);
                return;
            }
        }
        if self
            .placement_request(at.task(0), None)
            .is_some_and(|n| n.needs_ticket())
        {
            self.request_advice(at);
        }
        let since = blocked_since.unwrap_or(now);
        self.set_blocked_since(at, Some(since));
        if now >= since + GANG_RESERVE_WAIT && self.fits_beside_services(at) {
            unplaced.reserve_for_gang(&service);
        }
    }

    /// Returns the racks whose workers the gang may run on, the one with the most room first.
    fn candidate_racks(&self, at: StepId) -> Vec<Arc<str>> {
        let Some(request) = self.placement_request(at.task(0), None) else {
            return Vec::new();
        };
        let mut rooms: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for worker in self
            .workers
            .values()
            .filter(|worker| request.is_eligible(worker))
        {
            if let Some(rack) = worker.info.rack() {
                *rooms.entry(rack).or_default() += worker.free().cpu;
            }
        }
        let mut racks: Vec<_> = rooms.into_iter().collect();
        racks.sort_by_key(|&(_, room)| std::cmp::Reverse(room));
        racks
            .into_iter()
            .map(|(rack, _)| Arc::clone(rack))
            .collect()
    }

    /// Sets aside room for all members, or for none.
    fn reserve_gang(
        &mut self,
        at: StepId,
        rack: Option<&Arc<str>>,
    ) -> Option<Vec<(Arc<str>, RunId)>> {
        let count = self.jobs.get(at.job)?.step(at.task(0))?.tasks.len();
        // Gangs have few members, and any of them may have the highest number.
        let known = (0..count as u16).filter_map(|index| self.next_run.get(&at.task(index)));
        let number = known
            .copied()
            .max()
            .unwrap_or(0)
            .max(self.last_inherited_run())
            + 1;
        let mut places: Vec<(Arc<str>, RunId)> = Vec::with_capacity(count);
        for index in 0..count as u16 {
            let task = at.task(index);
            let request = self.placement_request(task, rack)?;
            let Some(worker) = request.choose_worker(&self.workers) else {
                for (worker, run) in places {
                    if let Some(worker) = self.workers.get_mut(&worker) {
                        worker.remove_run(run);
                    }
                }
                return None;
            };
            let run = RunId { task, run: number };
            self.reserve_run(&worker, run, 100, 0);
            places.push((worker, run));
        }
        for (_, run) in &places {
            self.next_run.insert(run.task, number);
        }
        Some(places)
    }

    /// Returns whether the gang would fit if all that ends by itself had ended.
    fn fits_beside_services(&self, at: StepId) -> bool {
        let Some(request) = self.placement_request(at.task(0), None) else {
            return false;
        };
        let spec = request.spec();
        let reserved = spec.reserved();
        let max_per_worker = if spec.max_per_worker == 0 {
            u32::MAX
        } else {
            spec.max_per_worker
        };
        let members = |worker: &Worker| {
            let is_service = worker.runs.values().filter(|entry| entry.is_service);
            let mut free = is_service.fold(worker.info.capacity, |room, entry| {
                room.minus(&entry.reserved)
            });
            let mut count = 0;
            while count < max_per_worker.min(spec.count) && free.covers(&reserved) {
                free = free.minus(&reserved);
                count += 1;
            }
            count
        };
        let workers = self
            .workers
            .values()
            .filter(|worker| request.is_eligible(worker));
        workers.map(members).sum::<u32>() >= spec.count
    }

    /// Stops what is left of a gang.
    pub(crate) fn stop_gang(&mut self, member: TaskId) {
        let at = member.of_step();
        self.gangs.remove(&at);
        let Some(job) = self.jobs.get(at.job) else {
            return;
        };
        for (worker, run) in job.assigned_step_runs(at.occurrence, at.step) {
            self.stop_run(&worker, run);
        }
    }

    /// Stops gangs of which a member has not been listed for so long that the others would soon give
    /// up waiting for it.
    pub(crate) fn stop_incomplete_gangs(&mut self) {
        let started: Vec<(StepId, Millis)> = self.gangs.iter().map(|(&a, &b)| (a, b)).collect();
        for (at, since) in started {
            let Some(job) = self.jobs.get(at.job) else {
                self.gangs.remove(&at);
                continue;
            };
            let runs = job.assigned_step_runs(at.occurrence, at.step);
            let unlisted = runs.iter().filter(|(worker, run)| {
                let entry = self.workers.get(worker).and_then(|w| w.runs.get(run));
                entry.is_none_or(|entry| !entry.is_listed)
            });
            let unlisted: BTreeSet<&Arc<str>> = unlisted.map(|(worker, _)| worker).collect();
            if unlisted.is_empty() {
                self.gangs.remove(&at);
            } else if self.now >= since + GANG_START_TIMEOUT {
                let first = unlisted.first().map_or("", |worker| worker);
                self.log(format!(
                    "gang {at} stopped: {} workers have not listed a member, among them {first}",
                    unlisted.len()
                ));
                self.stop_gang(at.task(0));
            }
        }
    }
}

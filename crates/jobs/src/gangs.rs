//! Gangs: tasks that work only while all of them run.
//!
//! A gang starts completely or not at all, with one run number. If a member ends with any other
//! outcome than done, the others are stopped, and the gang starts again once all members have
//! ended.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::{LossCause, WaitCause};
use crate::advice::AdviceSearch;
use crate::limits::{GANG_HOLD_TIME, GANG_RACK_WAIT, GANG_RESERVE_WAIT, GANG_START_TIMEOUT};
use crate::owners::Owner;
use crate::placements::PlacementRequest;
use crate::shares::Share;
use crate::starts::Unplaced;
use crate::workers::{Worker, WorkerRun};
use crate::{RunId, StepId, TaskId};

/// Gangs that were ordered to start and have members that no report has listed yet, with the times
/// of the orders.
pub(crate) type PendingGangs = BTreeMap<StepId, Millis>;

/// Worker and speed in percent of each member of a gang.
pub(crate) type Members = Vec<(Arc<str>, u32)>;

/// Services of which workers keep capacity for a waiting gang, with the times since when they have
/// had spare capacity meanwhile.
pub(crate) type KeptServices = BTreeMap<Arc<str>, Millis>;

impl Owner {
    /// Starts a gang if there is free capacity for all members.
    pub(crate) fn start_gang(&mut self, step_id: StepId, unplaced: &mut Unplaced) {
        let now = self.now;
        let Some(job) = self.jobs.get(step_id.job) else {
            return;
        };
        let service = Arc::clone(&job.current_rule(&self.policy).service);
        let spec = job.spec.steps[usize::from(step_id.step)].clone();
        let Some(step) = job.step(step_id.task(0)) else {
            return;
        };
        if step.waiting.len() < step.tasks.len() {
            // A member has ended. The others must end before the gang can start again.
            self.stop_gang(step_id.task(0));
            return;
        }
        let is_paused = step.tasks.iter().any(|task| task.not_before > now);
        if is_paused {
            return;
        }
        if step.is_suspect(0) {
            self.start_suspect_gang(step_id);
            return;
        }
        let blocked_since = step.blocked_since();
        let may_spread = !spec.prefers_one_rack
            || blocked_since.is_some_and(|since| now >= since + GANG_RACK_WAIT);
        let racks = if spec.prefers_one_rack {
            self.candidate_racks(step_id)
        } else {
            Vec::new()
        };
        let mut choices: Vec<Option<Arc<str>>> = racks.into_iter().map(Some).collect();
        if may_spread {
            choices.push(None);
        }
        for rack in choices {
            let members = self.place_gang(step_id, rack.as_ref(), |request, workers| {
                Some((request.choose_worker(workers)?, 100))
            });
            if let Some(members) = members {
                self.start_members(step_id, members, Share::Unused);
                return;
            }
        }
        if self
            .placement_request(step_id.task(0), None)
            .is_some_and(|request| request.needs_ticket())
        {
            self.want_advice(step_id.task(0), AdviceSearch::Regular);
        }
        let since = blocked_since.unwrap_or(now);
        self.extend_wait(step_id, WaitCause::Capacity);
        // One gang of each service at a time, so that capacity remains for other tasks.
        if now >= since + GANG_RESERVE_WAIT
            && !unplaced.is_reserved(&service)
            && self.hold_capacity(step_id)
        {
            unplaced.reserve_for_gang(&service);
            self.update_kept_service(step_id, service);
        }
    }

    /// Records that a service keeps capacity for a gang. While most of it is reserved, others would
    /// have to wait without the gang, too.
    fn update_kept_service(&mut self, step_id: StepId, service: Arc<str>) {
        let now = self.now;
        let request = self.placement_request(step_id.task(0), None);
        let has_spare_capacity =
            request.is_some_and(|request| request.has_spare_capacity(&self.workers));
        let spare_since = self.kept_services.entry(service).or_insert(now);
        if !has_spare_capacity {
            *spare_since = now;
        }
    }

    /// Returns whether an idle job may use capacity that is kept for a gang, because its service has
    /// had spare capacity for [`GANG_HOLD_TIME`]. The gang may wait for a long run elsewhere.
    ///
    /// Keeping and yielding the capacity alternate, so that a gang does not starve because of jobs
    /// that arrive one after the other and whose tasks end within that time.
    pub(crate) fn may_use_kept(&self, request: &PlacementRequest<'_>) -> bool {
        let Some(&spare_since) = self.kept_services.get(request.service()) else {
            return false;
        };
        let is_yielding = self.now.since(spare_since).0 / GANG_HOLD_TIME.0 % 2 == 1;
        is_yielding
            && request.job.is_idle()
            && self.now >= request.job.inactive_since(request.step_id.occurrence) + GANG_HOLD_TIME
            && request.has_spare_capacity(&self.workers)
    }

    /// Returns whether the running time of a task decides whether it may use capacity that is kept
    /// for a gang.
    pub(crate) fn depends_on_duration(&self, request: &PlacementRequest<'_>) -> bool {
        self.kept_services.contains_key(request.service()) && !request.may_use_kept
    }

    /// Returns the racks with eligible workers, the one with the most free processors first.
    fn candidate_racks(&self, step_id: StepId) -> Vec<Arc<str>> {
        let Some(request) = self.placement_request(step_id.task(0), None) else {
            return Vec::new();
        };
        let mut free_cpus: BTreeMap<&Arc<str>, u64> = BTreeMap::new();
        for worker in self
            .workers
            .values()
            .filter(|worker| request.is_eligible(worker))
        {
            if let Some(rack) = worker.info.rack() {
                let free_cpu = free_cpus.entry(rack).or_default();
                *free_cpu = free_cpu.saturating_add(worker.free().cpu);
            }
        }
        let mut racks: Vec<_> = free_cpus.into_iter().collect();
        racks.sort_by_key(|&(_, free_cpu)| std::cmp::Reverse(free_cpu));
        racks
            .into_iter()
            .map(|(rack, _)| Arc::clone(rack))
            .collect()
    }

    /// Chooses a worker and a speed in percent for each member, beside those chosen before it.
    /// Returns none if a member finds no worker.
    pub(crate) fn place_gang(
        &mut self,
        step_id: StepId,
        rack: Option<&Arc<str>>,
        choose: impl Fn(&PlacementRequest<'_>, &BTreeMap<Arc<str>, Worker>) -> Option<(Arc<str>, u32)>,
    ) -> Option<Members> {
        let count = self.member_count(step_id);
        let number = self.next_gang_run(step_id);
        let mut members = Members::with_capacity(count);
        for index in 0..count as u16 {
            let task = step_id.task(index);
            let chosen = self.placement_request(task, rack).and_then(|request| {
                let (worker, speed_percent) = choose(&request, &self.workers)?;
                let worker_run = WorkerRun::new(self.now, request.spec());
                Some((worker, speed_percent, worker_run))
            });
            let Some((id, speed_percent, worker_run)) = chosen else {
                break;
            };
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.add_run(RunId { task, run: number }, worker_run);
            }
            members.push((id, speed_percent));
        }
        for (index, (id, _)) in (0_u16..).zip(&members) {
            let task = step_id.task(index);
            if let Some(worker) = self.workers.get_mut(id) {
                worker.remove_run(RunId { task, run: number });
            }
        }
        (members.len() == count).then_some(members)
    }

    /// Starts all members on the workers chosen for them, with one run number.
    pub(crate) fn start_members(&mut self, step_id: StepId, members: Members, share: Share) {
        let number = self.next_gang_run(step_id);
        let runs = (0_u16..).map(|index| RunId {
            task: step_id.task(index),
            run: number,
        });
        let members: Vec<_> = runs.zip(members).collect();
        for (run, (worker, speed_percent)) in &members {
            let request = self.placement_request(run.task, None);
            let start_cost = request.map_or(0, |request| request.start_cost(&self.workers[worker]));
            self.reserve_run(worker, *run, *speed_percent, start_cost);
            self.next_run.insert(run.task, number);
        }
        for (run, (worker, speed_percent)) in members {
            self.order_start(&worker, run, speed_percent);
        }
        self.gangs.insert(step_id, self.now);
        self.end_wait(step_id);
        if let Some(job) = self.jobs.get_mut(step_id.job) {
            job.share = share;
        }
    }

    fn member_count(&self, step_id: StepId) -> usize {
        let job = self.jobs.get(step_id.job);
        let step = job.and_then(|job| job.step(step_id.task(0)));
        step.map_or(0, |step| step.tasks.len())
    }

    /// Returns the run number for the next start of a gang. Gangs have few members, and any of them
    /// may have the highest run number so far.
    fn next_gang_run(&self, step_id: StepId) -> u64 {
        let indices = 0..self.member_count(step_id) as u16;
        let known = indices.filter_map(|index| self.next_run.get(&step_id.task(index)));
        let last = known.copied().max().unwrap_or(0);
        last.max(self.last_inherited_run()) + 1
    }

    /// Keeps capacity for a gang, if it would fit beside the service tasks: on the workers that have
    /// enough now, and then on those where the other runs are expected to end first. Returns whether
    /// the gang would fit.
    ///
    /// The workers where it waits for others get no new tasks that would outlast those, so that it
    /// waits for fewer with each tick.
    fn hold_capacity(&mut self, step_id: StepId) -> bool {
        let now = self.now;
        let Some(request) = self.placement_request(step_id.task(0), None) else {
            return false;
        };
        let spec = request.spec().clone();
        let reserved = spec.reserved();
        let limit = match spec.max_per_worker {
            0 => spec.count,
            limit => limit.min(spec.count),
        };
        let eligible = self.workers.values().filter(|w| request.is_eligible(w));
        let mut places = Vec::new();
        for worker in eligible {
            let count_now = worker.free().count_fitting(&reserved, limit);
            let free_later = worker.free_beside_services();
            let count_later = free_later.count_fitting(&reserved, limit);
            let id = &worker.info.id;
            places.push((now, Arc::clone(id), count_now));
            // Behind all workers with enough capacity, also if the runs there are overdue.
            let end = worker.expected_end().max(now + Millis(1));
            places.push((end, Arc::clone(id), count_later.saturating_sub(count_now)));
        }
        places.sort_unstable();
        let mut missing = spec.count;
        let mut held: Vec<(Arc<str>, u32)> = Vec::new();
        let mut starts_at = now;
        for (at, id, count) in places {
            let count = count.min(missing);
            if count > 0 {
                missing -= count;
                starts_at = at;
                held.push((id, count));
            }
        }
        if missing > 0 {
            return false;
        }
        for (id, count) in held {
            if let Some(worker) = self.workers.get_mut(&id) {
                let members = (0..count).fold(worker.held, |held, _| held.plus(&reserved));
                worker.held = members;
                worker.held_until = starts_at;
            }
        }
        true
    }

    /// Stops the remaining members of a gang.
    pub(crate) fn stop_gang(&mut self, member: TaskId) {
        let step_id = member.of_step();
        self.gangs.remove(&step_id);
        let Some(job) = self.jobs.get(step_id.job) else {
            return;
        };
        for (worker, run) in job.assigned_step_runs(step_id.occurrence, step_id.step) {
            self.stop_run(&worker, run, LossCause::Stopped);
        }
    }

    /// Stops gangs with a member that has not been listed for so long that the others would soon
    /// time out.
    pub(crate) fn stop_incomplete_gangs(&mut self) {
        let started: Vec<(StepId, Millis)> = self
            .gangs
            .iter()
            .map(|(&step_id, &since)| (step_id, since))
            .collect();
        for (step_id, since) in started {
            let Some(job) = self.jobs.get(step_id.job) else {
                self.gangs.remove(&step_id);
                continue;
            };
            let runs = job.assigned_step_runs(step_id.occurrence, step_id.step);
            let unlisted = runs.iter().filter(|(worker, run)| {
                let worker_run = self.workers.get(worker).and_then(|w| w.runs.get(run));
                worker_run.is_none_or(|worker_run| !worker_run.is_listed)
            });
            let unlisted: BTreeSet<&Arc<str>> = unlisted.map(|(worker, _)| worker).collect();
            if unlisted.is_empty() {
                self.gangs.remove(&step_id);
            } else if self.now >= since + GANG_START_TIMEOUT {
                let first = unlisted.first().map_or("", |worker| worker);
                self.log(format!(
                    "gang {step_id} stopped: {} workers did not list a member, among them {first}",
                    unlisted.len()
                ));
                self.stop_gang(step_id.task(0));
            }
        }
    }
}

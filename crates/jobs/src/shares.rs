//! Minimum share of each best-effort job: while its service has spare capacity, a job that has had
//! nothing running for some time gets one task, or one gang, before other jobs of its priority get
//! more. Each service task that has been away for some time gets the same, however full the service
//! is.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::WaitCause;
use crate::advice::AdviceSearch;
use crate::jobs::Job;
use crate::limits::{BEST_EFFORT_WAIT, MAX_IDLE_SEARCHES, SPARE_CAPACITY_PERCENT};
use crate::owners::Owner;
use crate::placements::{PlacementRequest, SearchLevel};
use crate::starts::{Requirement, Unplaced};
use crate::workers::Worker;
use crate::{Resources, TaskId};

/// Use of a job's minimum share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Share {
    /// The last task of the job was placed as any other, or the share was given up because its task
    /// was stopped.
    Unused,
    /// This task was started for the share.
    Used(TaskId),
    /// The task that was started for the share is complete. The next one takes its place without a
    /// wait, unless none could start for some time.
    Vacant,
}

/// Task that may be started for the minimum share of its job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct IdleTask {
    priority: u32,
    /// Since when nothing of the job has run, or the service task.
    since: Millis,
    task: TaskId,
}

impl Owner {
    /// Returns the tasks of best-effort jobs that have had nothing running for too long, and the
    /// service tasks that have been away for too long, by priority, and those that have waited
    /// longest first.
    pub(crate) fn list_idle_tasks(&mut self) -> Vec<IdleTask> {
        let now = self.now;
        let is_takeover_complete = self.unconfirmed_workers.is_empty();
        let ranking = self.jobs.ranked_occurrences(now);
        let mut idle = Vec::new();
        for &(id, occurrence) in ranking.iter() {
            let Some(job) = self.jobs.get(id).filter(|job| job.is_stored) else {
                continue;
            };
            if job.is_inherited && !is_takeover_complete {
                continue;
            }
            idle.extend(job.idle_tasks(now, occurrence));
        }
        idle.sort_unstable();
        idle
    }

    /// Starts one task of each idle best-effort job of this priority, and the service tasks that have
    /// been away.
    ///
    /// Other best-effort tasks may hold all idle processors for a long time, above all while they
    /// are slowed down, and late jobs are placed behind all others. Neither may keep a job from
    /// progressing while most of its service's capacity is not reserved. More urgent jobs are placed
    /// before, so that they get the capacity that they wait for.
    pub(crate) fn start_idle_tasks(&mut self, priority: u32, idle: &[IdleTask]) {
        let first = idle.partition_point(|candidate| candidate.priority < priority);
        let end = idle.partition_point(|candidate| candidate.priority <= priority);
        let idle = &idle[first..end];
        // The search goes on behind the last job that was tried in the previous tick, so that jobs
        // that fit on no worker keep no others from being tried.
        let last_try = self.last_idle_tries.remove(&priority);
        let next = last_try.map_or(0, |last| {
            idle.partition_point(|candidate| *candidate <= last)
        });
        let mut has_spare_capacity: BTreeMap<Arc<str>, bool> = BTreeMap::new();
        let mut unplaced = Unplaced::default();
        let mut tries = 0;
        for &candidate in idle[next..].iter().chain(&idle[..next]) {
            let request = self.placement_request(candidate.task, None);
            // Another step of the job may just have started.
            let is_wanted =
                |request: &PlacementRequest<'_>| request.spec().is_service || request.job.is_idle();
            let Some(request) = request.filter(is_wanted) else {
                continue;
            };
            let is_spare = *has_spare_capacity
                .entry(Arc::clone(request.service()))
                .or_insert_with(|| request.has_spare_capacity(&self.workers));
            let is_allowed = is_spare || request.spec().is_service;
            if is_allowed && self.start_idle_task(candidate, &mut unplaced) {
                tries += 1;
            }
            if tries == MAX_IDLE_SEARCHES {
                self.last_idle_tries.insert(priority, candidate);
                return;
            }
        }
    }

    /// Starts a task for the minimum share of its job if a worker can run it. Returns whether one
    /// was searched for.
    fn start_idle_task(&mut self, candidate: IdleTask, unplaced: &mut Unplaced) -> bool {
        let IdleTask { since, task, .. } = candidate;
        let Some(mut request) = self.placement_request(task, None) else {
            return false;
        };
        let is_vacant = request.job.has_vacant_share(self.now, since);
        if is_vacant {
            // The share was in use until now, so that using it again adds no load.
            request.level = SearchLevel::Relaxed;
        }
        let mut requirement = Requirement::new(request.service(), request.spec(), request.level);
        if request.level >= SearchLevel::Relaxed {
            requirement = requirement.with_overcommitted_cpu();
        }
        if self.depends_on_duration(&request) {
            requirement = requirement.with_duration(request.spec());
        }
        if unplaced.covering(&requirement).is_some() {
            return false;
        }
        let level = request.level;
        if request.spec().is_gang {
            let members = self.place_gang(task.of_step(), None, |request, workers| {
                PlacementRequest { level, ..*request }.choose_slowed(workers)
            });
            if let Some(members) = members {
                self.log(format!(
                    "gang {} starts for the share of its job",
                    task.of_step()
                ));
                self.start_members(task.of_step(), members, Share::Used(task));
            }
            return true;
        }
        let placement = request.choose_slowed(&self.workers);
        if let Some((worker, speed_percent)) = placement {
            if !is_vacant {
                self.log(format!(
                    "task {task} gets the share of its job on {worker} idle_ms={} \
                     speed_percent={speed_percent}",
                    self.now.since(since)
                ));
            }
            self.start_task(task, &worker, speed_percent, Share::Used(task));
        } else if request.needs_ticket() {
            self.want_advice(task, AdviceSearch::Overdue);
        } else if request.is_unconstrained() {
            unplaced.add(requirement, WaitCause::Capacity);
        }
        true
    }
}

impl PlacementRequest<'_> {
    /// Returns the reserved shares of the processors and the memory of the service's workers, in
    /// percent; 100 without any worker. Workers that hold back or cannot be reached are counted, as
    /// callers count them: nothing tells that they have ended, and what they ran has ended with their
    /// leases.
    pub(crate) fn reserved_percent(&self, workers: &BTreeMap<Arc<str>, Worker>) -> (u64, u64) {
        let workers = workers.values().filter(|worker| self.is_in_service(worker));
        percents(sum_reserved(workers))
    }

    /// Returns whether so little of the service is reserved that a job may not remain idle.
    pub(crate) fn has_spare_capacity(&self, workers: &BTreeMap<Arc<str>, Worker>) -> bool {
        let (cpu, mem) = self.reserved_percent(workers);
        cpu.max(mem) < SPARE_CAPACITY_PERCENT
    }
}

/// Returns what is reserved of some workers, and their capacity.
pub(crate) fn sum_reserved<'a>(
    workers: impl Iterator<Item = &'a Worker>,
) -> (Resources, Resources) {
    let none = Resources::default();
    workers.fold((none, none), |(reserved, total), worker| {
        // Runs may exceed the capacity of one worker, which leaves that of the others free.
        let capacity = &worker.info.capacity;
        let used = capacity.minus(&capacity.minus(&worker.reserved));
        (reserved.plus(&used), total.plus(capacity))
    })
}

/// Returns the reserved shares of processors and memory, in percent; 100 without any worker.
pub(crate) fn percents((reserved, total): (Resources, Resources)) -> (u64, u64) {
    let percent = |part: u64, total: u64| {
        let share = (u128::from(part) * 100).checked_div(u128::from(total));
        share.map_or(100, |share| share as u64)
    };
    (
        percent(reserved.cpu, total.cpu),
        percent(reserved.mem, total.mem),
    )
}

impl Job {
    /// Returns whether a task that was started for the job's share has just completed.
    fn has_vacant_share(&self, now: Millis, idle_since: Millis) -> bool {
        self.share == Share::Vacant && now < idle_since + BEST_EFFORT_WAIT
    }

    /// Returns since when nothing of the job runs although the occurrence is due, or none while a
    /// task is assigned to a worker. A start that no worker has confirmed does not end the time.
    fn idle_since(&self, occurrence: u32) -> Option<Millis> {
        self.is_idle().then(|| self.inactive_since(occurrence))
    }

    /// Returns the best-effort tasks of the occurrence that may start now for the share of the job: one
    /// of each step while the job is idle, and each service task that is away.
    fn idle_tasks(&self, now: Millis, occurrence: u32) -> impl Iterator<Item = IdleTask> {
        let idle_since = self.idle_since(occurrence);
        let idle_since = idle_since
            .filter(|&since| self.has_vacant_share(now, since) || now >= since + BEST_EFFORT_WAIT);
        let state = self.occurrences.get(&occurrence);
        let steps = state.into_iter().flat_map(|state| {
            let steps = self.spec.steps.iter().zip(&state.steps);
            (0_u16..).zip(steps.map(move |(spec, step)| (state, spec, step)))
        });
        steps.flat_map(move |(number, (state, spec, step))| {
            let is_wanted = spec.is_service || idle_since.is_some();
            let is_due = move |index: &u16| step.tasks[usize::from(*index)].not_before <= now;
            // The members of a gang start together.
            let is_complete =
                || step.waiting.len() == step.tasks.len() && step.waiting.iter().all(is_due);
            let is_eligible = is_wanted
                && spec.is_best_effort
                && state.is_ready(spec)
                && (!spec.is_gang || is_complete());
            let count = match (is_eligible, spec.is_service) {
                (false, _) => 0,
                (true, false) => 1,
                (true, true) => usize::MAX,
            };
            let since = move |task: TaskId| match spec.is_service {
                true => {
                    Some(self.away_since(task)).filter(|&since| now >= since + BEST_EFFORT_WAIT)
                }
                false => idle_since,
            };
            // Suspects start apart from others first, see `start_suspects`.
            let startable = step.startable(now);
            let is_startable = move |index: &u16| {
                is_due(index) && !step.is_suspect(*index) && startable.contains(*index)
            };
            let due = step.waiting.iter().filter(move |index| is_startable(index));
            let idle = due.filter_map(move |&index| {
                let task = TaskId {
                    job: self.id,
                    occurrence,
                    step: number,
                    index,
                };
                Some(IdleTask {
                    priority: self.rule.priority,
                    since: since(task)?,
                    task,
                })
            });
            idle.take(count)
        })
    }
}

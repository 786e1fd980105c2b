//! Minimum share of each best-effort job: while its service has spare capacity, a job that has had
//! nothing running for some time gets one task, or one gang, before other jobs of its priority get
//! more.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::TaskId;
use crate::accounts::WaitCause;
use crate::jobs::Job;
use crate::limits::{BEST_EFFORT_WAIT, MAX_IDLE_JOB_STARTS, OVERCOMMIT_WAIT};
use crate::owners::Owner;
use crate::placements::PlacementRequest;
use crate::starts::{Requirement, Unplaced};
use crate::workers::Worker;

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
    /// Since when nothing of the job has run.
    since: Millis,
    task: TaskId,
}

impl Owner {
    /// Returns the tasks of best-effort jobs that have had nothing running for too long, by
    /// priority, and those that have waited longest first.
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
            if let Some(since) = job.idle_since(occurrence)
                && (job.has_vacant_share(now, since) || now >= since + BEST_EFFORT_WAIT)
            {
                let tasks = job.startable_best_effort_tasks(now, occurrence);
                idle.extend(tasks.map(|task| IdleTask {
                    priority: job.rule.priority,
                    since,
                    task,
                }));
            }
        }
        idle.sort_unstable();
        idle
    }

    /// Starts one task of each idle best-effort job of this priority.
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
            let Some(request) = request.filter(|request| request.job.is_idle()) else {
                continue;
            };
            let is_spare = *has_spare_capacity
                .entry(Arc::clone(request.service()))
                .or_insert_with(|| request.has_spare_capacity(&self.workers));
            if is_spare && self.start_idle_task(candidate, &mut unplaced) {
                tries += 1;
            }
            if tries == MAX_IDLE_JOB_STARTS {
                self.last_idle_tries.insert(priority, candidate);
                return;
            }
        }
    }

    /// Starts a task for the minimum share of its job if a worker can run it. Returns whether one
    /// was searched for.
    fn start_idle_task(&mut self, candidate: IdleTask, unplaced: &mut Unplaced) -> bool {
        let IdleTask { since, task, .. } = candidate;
        let Some(request) = self.placement_request(task, None) else {
            return false;
        };
        let is_vacant = request.job.has_vacant_share(self.now, since);
        // A vacant share was in use until now, so that using it again adds no load.
        let may_overcommit = is_vacant || self.now >= since + OVERCOMMIT_WAIT;
        let mut requirement = Requirement::new(request.service(), request.spec());
        if may_overcommit {
            requirement = requirement.with_overcommitted_cpu();
        }
        if self.depends_on_duration(&request) {
            requirement = requirement.with_duration(request.spec());
        }
        if unplaced.covering(&requirement).is_some() {
            return false;
        }
        if request.spec().is_gang {
            let members = self.place_gang(task.of_step(), None, |request, workers| {
                request.choose_for_share(workers, may_overcommit)
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
        let placement = request.choose_for_share(&self.workers, may_overcommit);
        if let Some((worker, speed_percent)) = placement {
            if !is_vacant {
                self.log(format!(
                    "job {} gets one task on {worker}: nothing of it has run idle_ms={} \
                     speed_percent={speed_percent}",
                    task.job,
                    self.now.since(since)
                ));
            }
            self.start_task(task, &worker, speed_percent, Share::Used(task));
        } else if request.needs_ticket() {
            self.request_advice(task.of_step());
        } else if request.is_unconstrained() {
            unplaced.add(requirement, WaitCause::Capacity);
        }
        true
    }
}

impl PlacementRequest<'_> {
    /// Chooses the worker for a task that is started for the minimum share of its job, and the speed
    /// in percent at which it starts.
    fn choose_for_share(
        &self,
        workers: &BTreeMap<Arc<str>, Worker>,
        may_overcommit: bool,
    ) -> Option<(Arc<str>, u32)> {
        // Better a reduced speed than another start on a worker that refused the task or failed it.
        let others = PlacementRequest {
            allows_avoided: false,
            ..*self
        };
        let others_or_stuck = PlacementRequest {
            allows_stuck: true,
            ..others
        };
        let any = PlacementRequest {
            allows_stuck: may_overcommit,
            ..*self
        };
        let has_avoided = self.task.avoided_worker.is_some();
        let searches = [
            (others, true),
            (others_or_stuck, may_overcommit),
            (any, has_avoided),
        ];
        let mut searches = searches.iter().filter(|(_, is_allowed)| *is_allowed);
        searches.find_map(|(request, _)| {
            let full_speed = request.choose_worker(workers);
            full_speed
                .map(|worker| (worker, 100))
                .or_else(|| request.choose_throttled(workers, may_overcommit))
        })
    }
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

    /// Returns a best-effort task of each step of the occurrence of which one may start now.
    fn startable_best_effort_tasks(
        &self,
        now: Millis,
        occurrence: u32,
    ) -> impl Iterator<Item = TaskId> {
        let state = self.occurrences.get(&occurrence);
        let steps = state.into_iter().flat_map(|state| {
            let steps = self.spec.steps.iter().zip(&state.steps);
            (0_u16..).zip(steps.map(move |(spec, step)| (state, spec, step)))
        });
        steps.filter_map(move |(number, (state, spec, step))| {
            let is_due = |index: &&u16| step.tasks[usize::from(**index)].not_before <= now;
            // The members of a gang start together.
            let is_complete = || {
                step.waiting.len() == step.tasks.len() && step.waiting.iter().all(|i| is_due(&i))
            };
            let is_eligible =
                spec.is_best_effort && state.is_ready(spec) && (!spec.is_gang || is_complete());
            let index = step.waiting.iter().filter(|_| is_eligible).find(is_due)?;
            Some(TaskId {
                job: self.id,
                occurrence,
                step: number,
                index: *index,
            })
        })
    }
}

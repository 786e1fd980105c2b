//! Minimum share of each best-effort job: while its service has spare capacity, a job that has had
//! nothing running for some time gets one task before others get more.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::TaskId;
use crate::accounts::WaitCause;
use crate::jobs::Job;
use crate::limits::{BEST_EFFORT_WAIT, MAX_IDLE_JOB_STARTS, OVERCOMMIT_WAIT, SPARE_CPU_PERCENT};
use crate::owners::Owner;
use crate::starts::{Requirement, Unplaced};

/// Use of a job's minimum share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Share {
    /// The last task of the job was placed as any other, or the share was given up because its task
    /// was stopped.
    Unused,
    /// This task was started for the share.
    Used(TaskId),
    /// The task that was started for the share is complete. The next one takes its place without a
    /// wait.
    Vacant,
}

impl Owner {
    /// Starts one task of each best-effort job that has had nothing running for too long, beginning
    /// with those that have waited longest.
    ///
    /// Other best-effort tasks may hold all idle processors for a long time, above all while they
    /// are slowed down, and late jobs are placed behind all others. Neither may keep a job from
    /// progressing while most of its service's capacity is not reserved.
    pub(crate) fn start_idle_jobs(&mut self) {
        let now = self.now;
        let is_takeover_complete = self.unconfirmed_workers.is_empty();
        let ranking = self.jobs.ranked_occurrences(now);
        let mut idle: Vec<(Millis, TaskId)> = Vec::new();
        for &(id, occurrence) in ranking.iter() {
            let Some(job) = self.jobs.get(id).filter(|job| job.is_stored) else {
                continue;
            };
            if job.is_inherited && !is_takeover_complete {
                continue;
            }
            if let Some(since) = job.idle_since(occurrence)
                && (job.share == Share::Vacant || now >= since + BEST_EFFORT_WAIT)
            {
                let tasks = job.startable_best_effort_tasks(now, occurrence);
                idle.extend(tasks.map(|task| (since, task)));
            }
        }
        idle.sort_unstable();
        // The search goes on behind the last job that was tried in the previous tick, so that jobs
        // that fit on no worker keep no others from being tried.
        let first = self.last_idle_try.take().map_or(0, |last| {
            idle.partition_point(|candidate| *candidate <= last)
        });
        idle.rotate_left(first);
        let mut has_spare_cpu: BTreeMap<Arc<str>, bool> = BTreeMap::new();
        let mut unplaced = Unplaced::default();
        let mut tries = 0;
        for (since, task) in idle {
            let request = self.placement_request(task, None);
            // Another step of the job may just have started.
            let Some(request) = request.filter(|request| request.job.is_idle()) else {
                continue;
            };
            let is_spare = *has_spare_cpu
                .entry(Arc::clone(request.service()))
                .or_insert_with(|| request.reserved_percent(&self.workers).0 < SPARE_CPU_PERCENT);
            if !is_spare {
                continue;
            }
            let is_vacant = request.job.share == Share::Vacant;
            // A vacant share was in use until now, so that using it again adds no load.
            let may_overcommit = is_vacant || now >= since + OVERCOMMIT_WAIT;
            let requirement = Requirement::new(request.service(), request.spec());
            let requirement = match may_overcommit {
                true => requirement.with_overcommitted_cpu(),
                false => requirement,
            };
            if unplaced.covering(&requirement).is_some() {
                continue;
            }
            tries += 1;
            let full_speed = request.choose_worker(&self.workers);
            let placement = full_speed
                .map(|worker| (worker, 100))
                .or_else(|| request.choose_throttled(&self.workers, may_overcommit));
            if let Some((worker, speed_percent)) = placement {
                if !is_vacant {
                    self.log(format!(
                        "job {} gets one task on {worker}: nothing of it has run idle_ms={} \
                         speed_percent={speed_percent}",
                        task.job,
                        now.since(since)
                    ));
                }
                self.start_task(task, &worker, speed_percent, Share::Used(task));
            } else if request.needs_ticket() {
                self.request_advice(task.of_step());
            } else if request.is_unconstrained() {
                unplaced.add(requirement, WaitCause::Capacity);
            }
            if tries == MAX_IDLE_JOB_STARTS {
                self.last_idle_try = Some((since, task));
                return;
            }
        }
    }
}

impl Job {
    /// Returns since when nothing of the job runs although the occurrence is due, or none while a
    /// task is assigned to a worker. A start that no worker has confirmed does not end the time.
    fn idle_since(&self, occurrence: u32) -> Option<Millis> {
        let due_at = self.occurrences.get(&occurrence)?.due_at;
        self.is_idle().then(|| self.active_at.max(due_at))
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
            let is_eligible = spec.is_best_effort && !spec.is_gang && state.is_ready(spec);
            let is_due = |index: &&u16| step.tasks[usize::from(**index)].not_before <= now;
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

//! Limit on the worker crashes that one job causes.
//!
//! A worker process that ends without a planned end takes all its runs down, and does not say which
//! of them was the cause. Recent runs are suspects. A suspect is restarted on probation, apart from
//! other starts, so that a further crash is its own. Such a job is given up.

use std::collections::BTreeMap;

use hyssop_core::{
    Attempt, CellRecord, Class, Crash, Crashes, Intent, JobId, Millis, Reason, Version, WorkerName,
};

use crate::Cell;
use crate::jobs::{End, Job};
use crate::placements::HARMLESS_WORKER_WAIT;

/// Crashes after which a job is given up if one of them was apart from others. An innocent run may
/// be on a worker that crashes, but hardly ever in the moment of its own probation as well.
const MAX_CRASHES_WITH_APART: u16 = 2;
/// Crashes after which a job is given up in any case. After three it may be started two more times
/// at most; one of these is left for a start that ends in another way.
const MAX_CRASHES: u16 = 4;
/// Age of a run from which on it is not blamed for a crash. Faulty runs crash within 100 ms.
const MAX_BLAMED_AGE: Millis = Millis(10_000);
/// Duration of a probation, and age of the youngest run on a worker from which on a suspect may
/// start there: several times the age at which faulty runs crash.
const PROBATION_TIME: Millis = Millis(500);
/// Duration of a probation after `LATE_CRASHES`, for runs that crash later. Others wait for no
/// longer than for a reservation.
const LONG_PROBATION_TIME: Millis = Millis(4_000);
/// Crashes, none of them apart, after which a probation is long.
const LATE_CRASHES: u16 = 3;
/// Time for which a suspect starts only apart, and then for as long apart if it can, before it
/// starts anywhere. After a first crash, and for urgent work, it leaves time for the start within
/// 5.8 s.
const SHORT_APART_WAIT: Millis = Millis(2_000);
/// The same for batch jobs after two crashes, and twice as long after more. Both parts after two
/// crashes add up to the wait of other relaxed searches. It is longer because innocent runs have to
/// be told apart before `MAX_CRASHES`.
const LONG_APART_WAIT: Millis = Millis(HARMLESS_WORKER_WAIT.0 / 2);

/// Explanation of a suspect that waits for a worker.
pub(crate) const APART_REASON: &str =
    "waits for a worker without recent starts, because a worker has crashed under it";

/// How a job may start after crashes of its workers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartRule {
    /// On probation, on a worker on which nothing was started a moment ago.
    Apart,
    /// On probation on such a worker, or on any other without.
    PreferApart,
    /// On any worker without probation.
    Anywhere,
}

/// A run during which nothing else starts on its worker.
#[derive(Clone, Debug)]
struct Probation {
    job: JobId,
    attempt: Attempt,
    duration: Millis,
}

/// Probations, and service tasks that were given up.
#[derive(Debug, Default)]
pub(crate) struct Suspects {
    probations: BTreeMap<WorkerName, Probation>,
    /// Time since which there have been suspects in each placement round for which no worker was
    /// free of probations and recent starts. Waits are counted from it, because a round tries only
    /// one of the suspects that placement treats alike.
    blocked_since: Option<Millis>,
    /// Whether there was one in this round.
    is_blocked: bool,
    /// Versions of the documents in force when service tasks were found to be given up.
    given_up: BTreeMap<JobId, Version>,
}

impl Suspects {
    /// Ends a placement round, which may not have come to all jobs. Returns whether suspects wait
    /// for a worker, so that the next round follows soon.
    pub(crate) fn end_round(&mut self, is_cut_short: bool) -> bool {
        let is_blocked = std::mem::take(&mut self.is_blocked);
        if !is_blocked && !is_cut_short {
            self.blocked_since = None;
        }
        is_blocked
    }

    /// Begins a probation with the intent of a start.
    pub(crate) fn start_probation(&mut self, intent: &Intent, crashes: Crashes) {
        let is_long = crashes.count >= LATE_CRASHES;
        let probation = Probation {
            job: intent.job.clone(),
            attempt: intent.attempt,
            duration: if is_long {
                LONG_PROBATION_TIME
            } else {
                PROBATION_TIME
            },
        };
        self.probations.insert(intent.worker.clone(), probation);
    }
}

/// Returns whether a job with these crashes is given up.
fn is_given_up(crashes: Crashes) -> bool {
    crashes.count >= MAX_CRASHES || crashes.has_apart && crashes.count >= MAX_CRASHES_WITH_APART
}

impl Cell {
    /// Returns whether nothing may start on a worker because of a probation.
    pub(crate) fn has_probation(&self, name: &WorkerName) -> bool {
        self.suspects.probations.contains_key(name)
    }

    /// Returns whether a worker has reported a run for a time after its start.
    fn has_run_for(&self, name: &WorkerName, job: &JobId, time: Millis) -> bool {
        let seen_at = self.workers.get(name).and_then(|w| w.incarnation_seen_at);
        let task = self.tasks.get(job);
        task.is_some_and(|task| {
            task.is_started && seen_at.is_some_and(|at| at >= task.running_since + time)
        })
    }

    /// Returns whether every run on a worker has outlived the time of a probation.
    pub(crate) fn is_settled(&self, name: &WorkerName) -> bool {
        let worker = self.workers.get(name);
        worker.is_some_and(|worker| {
            let mut jobs = worker.tasks.iter();
            jobs.all(|job| self.has_run_for(name, job, PROBATION_TIME))
        })
    }

    /// Returns the numbers of suspects on a worker that have not outlived a long probation, and of
    /// all its runs. A suspect is restarted where they are lowest.
    pub(crate) fn crowding(&self, name: &WorkerName) -> (usize, usize) {
        let Some(worker) = self.workers.get(name) else {
            return (0, 0);
        };
        let rivals = worker.tasks.iter().filter(|id| {
            let job = self.ledger.jobs.get(*id);
            job.is_some_and(|job| !job.crashes.is_empty())
                && !self.has_run_for(name, id, LONG_PROBATION_TIME)
        });
        (rivals.count(), worker.tasks.len())
    }

    /// Ends the probations of runs that have ended or outlived them. They have no other bound:
    /// while the worker does not report, nothing can start there, and its attempts are lost after
    /// their leases.
    pub(crate) fn update_probations(&mut self) {
        let mut probations = std::mem::take(&mut self.suspects.probations);
        let count = probations.len();
        probations.retain(|name, probation| {
            let job = &probation.job;
            let task = self.tasks.get(job);
            let is_placed = self.pending_intents.contains_key(job)
                || task.is_some_and(|t| t.attempt == probation.attempt && !t.is_closing);
            is_placed && !self.has_run_for(name, job, probation.duration)
        });
        self.needs_placement |= probations.len() < count;
        self.suspects.probations = probations;
    }

    /// Returns how a job may start after crashes of its workers.
    pub(crate) fn restart_rule(&self, now: Millis, id: &JobId, job: &Job) -> RestartRule {
        // With a single worker the restarts would follow one after the other, also after a restart
        // of the host, which is the most common cause of a first crash.
        let is_first_alone = job.crashes.count == 1 && self.workers.len() == 1;
        if job.crashes.is_empty() || is_first_alone {
            return RestartRule::Anywhere;
        }
        let wait = match (job.crashes.count, job.spec.class) {
            (1, _) | (_, Class::Urgent | Class::LatencyCritical) => SHORT_APART_WAIT,
            (2, Class::Batch) => LONG_APART_WAIT,
            (_, Class::Batch) => LONG_APART_WAIT + LONG_APART_WAIT,
        };
        let ready = self.waits.get(id).copied().unwrap_or_default();
        let ready_at = ready.waiting_since.max(ready.not_before);
        let since = self.suspects.blocked_since;
        match since.map_or(Millis(0), |since| now.since(since.max(ready_at))) {
            waited if waited < wait => RestartRule::Apart,
            waited if waited < wait + wait => RestartRule::PreferApart,
            _ => RestartRule::Anywhere,
        }
    }

    /// Records that a suspect has found no worker on which it is apart, although one has capacity
    /// or is kept by a probation. Returns whether it has to wait for one.
    pub(crate) fn record_apart_wait(
        &mut self,
        now: Millis,
        id: &JobId,
        has_capacity: bool,
    ) -> bool {
        let Some(job) = self.ledger.jobs.get(id) else {
            return false;
        };
        let rule = self.restart_rule(now, id, job);
        let is_kept = has_capacity || !self.suspects.probations.is_empty();
        if rule == RestartRule::Anywhere || !is_kept {
            return false;
        }
        self.suspects.is_blocked = true;
        self.suspects.blocked_since.get_or_insert(now);
        has_capacity && rule == RestartRule::Apart
    }

    /// Returns the runs that are blamed for the crash of a worker, which was seen last at
    /// `seen_at`. A run on probation is blamed alone, unless other suspects run there that have
    /// not outlived a long one.
    pub(crate) fn crashes_under(
        &self,
        name: &WorkerName,
        seen_at: Option<Millis>,
    ) -> BTreeMap<JobId, Crash> {
        let mut crashes = BTreeMap::new();
        let Some(worker) = self.workers.get(name) else {
            return crashes;
        };
        // Workers of a domain that is out of service are restarted as planned.
        if self.is_own_domain_out() {
            return crashes;
        }
        let seen_at = seen_at.unwrap_or_default();
        let is_younger = |job: &JobId, age: Millis| {
            let task = self.tasks.get(job);
            task.is_some_and(|t| {
                // An inherited run has outlived the change of the owner, so that it is not recent.
                let may_have_started = t.start_timestamp.is_some();
                !t.is_started && may_have_started
                    || t.is_started && !t.is_inherited && seen_at.since(t.running_since) <= age
            })
        };
        let is_suspect = |job: &JobId| {
            let job = self.ledger.jobs.get(job);
            job.is_some_and(|job| !job.crashes.is_empty())
        };
        let has_run_for_long = |job: &JobId| {
            let task = self.tasks.get(job);
            task.is_some_and(|t| t.is_started && !t.is_inherited)
                && !is_younger(job, MAX_BLAMED_AGE)
        };
        let long = worker.tasks.iter();
        let long = long.filter(|job| is_suspect(job) && has_run_for_long(job));
        crashes.extend(long.map(|job| (job.clone(), Crash::LongRun)));
        let probation = self.suspects.probations.get(name);
        if let Some(Probation { job, .. }) = probation
            && self.tasks.get(job).is_some_and(|t| t.is_started)
        {
            // A suspect that crashes late may have outlived a short probation of its own.
            let rivals = worker.tasks.iter().filter(|other| {
                *other != job && is_suspect(other) && is_younger(other, LONG_PROBATION_TIME)
            });
            crashes.extend(rivals.map(|other| (other.clone(), Crash::Shared)));
            let is_apart = crashes.is_empty();
            let crash = if is_apart {
                Crash::Apart
            } else {
                Crash::Shared
            };
            crashes.insert(job.clone(), crash);
            return crashes;
        }
        // Older runs are less likely the cause, and may be suspects that have outlived a long
        // probation.
        let is_any_young = worker
            .tasks
            .iter()
            .any(|job| is_younger(job, LONG_PROBATION_TIME));
        let max_age = if is_any_young {
            LONG_PROBATION_TIME
        } else {
            MAX_BLAMED_AGE
        };
        let recent = worker.tasks.iter().filter(|job| is_younger(job, max_age));
        crashes.extend(recent.map(|job| (job.clone(), Crash::Shared)));
        crashes
    }

    /// Ends a job under which too many workers have crashed.
    pub(crate) fn give_up_crashing_job(&mut self, now: Millis, id: &JobId) {
        let Some(term) = self.deciding_term() else {
            return;
        };
        let Some(job) = self.ledger.jobs.get(id) else {
            return;
        };
        let is_ending = self.waits.get(id).is_some_and(|wait| wait.is_ending);
        if is_ending || !is_given_up(job.crashes) {
            return;
        }
        let cause = format!("{} workers crashed under it", job.crashes.count);
        self.explain_job(now, id, Reason::Other(cause.clone()));
        self.waits.entry(id.clone()).or_default().is_ending = true;
        let job = id.clone();
        self.journal
            .write(term, CellRecord::Abandoned { job, cause });
    }

    /// Returns whether a service task was given up. It is tried again with the next version of its
    /// document.
    pub(crate) fn is_service_given_up(&mut self, id: &JobId, version: Version) -> bool {
        let job = self.ledger.jobs.get(id);
        if !job.is_some_and(|job| matches!(job.end, Some(End::Failed { .. }))) {
            self.suspects.given_up.remove(id);
            return false;
        }
        let given_up = self.suspects.given_up.entry(id.clone());
        *given_up.or_insert(version) == version
    }
}

//! Why a job waits, a worker takes nothing and a service lacks instances, told when asked.
//!
//! The rings of explanations hold what was decided. What holds at present is worked out here for
//! the subject that is asked about, because writing it down for every waiting job in every round
//! would cost more than placement.

use std::collections::BTreeMap;
use std::mem::discriminant;

use hyssop_core::{
    Explanation, JobId, Millis, Reason, Resources, ServiceName, Subject, TeamName, WorkerName,
};

use crate::Cell;
use crate::jobs::{End, Job, SERVICE_TASK_PREFIX};
use crate::placements::{WorkerCapacity, missing_resources};
use crate::quotas::add_resources;

/// Waiting jobs of a service that are looked at for an explanation of the service.
const MAX_EXPLAINED_JOBS: usize = 256;

/// Room and use of quotas at the time of a question.
pub(crate) struct PlacementView {
    rooms: Vec<WorkerCapacity>,
    used: BTreeMap<TeamName, Resources>,
}

impl Cell {
    pub(crate) fn placement_view(&self, now: Millis) -> PlacementView {
        PlacementView {
            rooms: self.free_capacities(now),
            used: self.team_usage(),
        }
    }

    /// Returns the explanations of a subject, the present reason last.
    pub(crate) fn current_explanations(&self, now: Millis, subject: &Subject) -> Vec<Explanation> {
        let mut list = self.explanations.get(subject);
        match subject {
            Subject::Job(id) => {
                if let Some(job) = self.ledger.jobs.get(id) {
                    let reason = self.waiting_reason(now, id, job, &self.placement_view(now));
                    append_reason(&mut list, now, reason);
                }
            }
            Subject::Worker(name) => {
                append_reason(&mut list, now, self.idle_worker_reason(now, name))
            }
            Subject::Service(service) => {
                for reason in self.service_reasons(now, service) {
                    append_reason(&mut list, now, Some(reason));
                }
            }
        }
        list
    }

    /// Returns why a job has not started; `None` if it has, or never will here.
    pub(crate) fn waiting_reason(
        &self,
        now: Millis,
        id: &JobId,
        job: &Job,
        view: &PlacementView,
    ) -> Option<Reason> {
        if let Some(name) = &job.open_worker {
            let silent = self
                .workers
                .get(name)
                .is_some_and(|w| self.is_worker_unconfirmed(now, w));
            return silent.then_some(Reason::InDoubt(job.attempt));
        }
        if let Some(end) = &job.end {
            let dropped = matches!(
                end,
                End::Finished {
                    is_dropped: true,
                    ..
                }
            );
            return dropped.then_some(Reason::ResultDropped);
        }
        let wait = self.waits.get(id).copied().unwrap_or_default();
        Some(if self.confirmed_term().is_none() {
            Reason::Stale
        } else if wait.is_ending || self.pending_intents.contains_key(id) {
            Reason::Unsettled
        } else if self.is_own_domain_out() {
            Reason::DomainOut(self.options.cell.domain.clone())
        } else if let Some(why) = self
            .permanent_refusal(&job.spec)
            .filter(|_| !job.is_service_task())
        {
            Reason::Never(why)
        } else if wait.not_before > now {
            Reason::Backoff(wait.not_before.since(now))
        } else if !self.is_allowed(&job.spec, &self.options.cell.domain) {
            self.not_moved_reason(job)
        } else if self.is_quota_full(job, &view.used) {
            Reason::QuotaFull
        } else {
            self.no_capacity_reason(now, id, job, &view.rooms)
        })
    }

    /// Returns why a job that may not run here was not handed to another cell.
    fn not_moved_reason(&self, job: &Job) -> Reason {
        let cells = self.options.cells.iter();
        let mut allowed = cells.filter(|cell| self.is_allowed(&job.spec, &cell.domain));
        let out = allowed.find(|cell| self.is_domain_out(&cell.domain));
        out.map_or(Reason::Queued, |cell| {
            Reason::DomainOut(cell.domain.clone())
        })
    }

    pub(crate) fn is_quota_full(&self, job: &Job, used: &BTreeMap<TeamName, Resources>) -> bool {
        let team = &job.spec.team;
        let wanted = add_resources(used.get(team).copied().unwrap_or_default(), job.spec.needs);
        let full = self
            .quota_share(team)
            .is_some_and(|most| !wanted.fits(most));
        full && !job.is_service_task()
    }

    fn no_capacity_reason(
        &self,
        now: Millis,
        id: &JobId,
        job: &Job,
        rooms: &[WorkerCapacity],
    ) -> Reason {
        if self.choose_worker(now, id, job, rooms).is_some() {
            return Reason::Queued;
        }
        let needs = job.spec.needs;
        let fits = |room: &WorkerCapacity| {
            needs.fits(
                room.free
                    .saturating_sub(self.reserved_for_others(&room.name, id)),
            ) && !room.is_probe
        };
        // A room that fits and is not offered is kept from batch work.
        if let Some(room) = rooms.iter().find(|room| fits(room)) {
            return Reason::Held(room.name.clone());
        }
        let mut shut = self.workers.iter().filter(|(name, worker)| {
            let free = worker.capacity.saturating_sub(self.allocated(name));
            worker.is_usable() && self.is_quarantined(name) && needs.fits(free)
        });
        if let Some((name, _)) = shut.next() {
            return self.quarantine_reason(name);
        }
        Reason::NoRoom {
            lacks: missing_resources(needs, rooms),
        }
    }

    fn quarantine_reason(&self, name: &WorkerName) -> Reason {
        let evidence = self.quarantine.evidence(name).unwrap_or_default();
        Reason::Quarantined(name.clone(), evidence.to_owned())
    }

    /// Returns why a worker takes no work; `None` if it does.
    pub(crate) fn idle_worker_reason(&self, now: Millis, name: &WorkerName) -> Option<Reason> {
        let worker = self.workers.get(name)?;
        if self.confirmed_term().is_none() {
            Some(Reason::Stale)
        } else if let Some(term) = worker.rejected_term {
            Some(Reason::TermUnknown(name.clone(), term))
        } else if !worker.is_usable() {
            Some(Reason::Silent(name.clone()))
        } else if self.is_own_domain_out() {
            Some(Reason::DomainOut(self.options.cell.domain.clone()))
        } else if self.is_quarantined(name) {
            Some(self.quarantine_reason(name))
        } else if self.is_placement_held(now, name) {
            Some(Reason::Held(name.clone()))
        } else {
            None
        }
    }

    /// Returns the reasons for which instances and jobs of a service have not started, one of
    /// each type.
    fn service_reasons(&self, now: Millis, service: &ServiceName) -> Vec<Reason> {
        let view = self.placement_view(now);
        let first = JobId::new(SERVICE_TASK_PREFIX).into_iter();
        let standing = first.flat_map(|first| self.ledger.jobs.range(first..));
        let standing = standing
            .take_while(|(id, _)| id.as_str().starts_with(SERVICE_TASK_PREFIX))
            .filter(|(_, job)| job.spec.service == *service);
        let waiting = self.ledger.waiting_jobs.iter();
        let waiting = waiting
            .filter_map(|id| self.ledger.jobs.get_key_value(id))
            .filter(|(_, job)| job.spec.service == *service && !job.is_service_task());
        let mut reasons: Vec<Reason> = Vec::new();
        for (id, job) in standing.chain(waiting.take(MAX_EXPLAINED_JOBS)) {
            if let Some(reason) = self.waiting_reason(now, id, job, &view)
                && reasons
                    .iter()
                    .all(|r| discriminant(r) != discriminant(&reason))
            {
                reasons.push(reason);
            }
        }
        reasons
    }

    /// Writes down for each worker that the proof of freshness was lost.
    pub(crate) fn explain_unconfirmed(&mut self, now: Millis) {
        let stale = self.owned_term().is_some() && self.confirmed_term().is_none();
        if std::mem::replace(&mut self.is_unconfirmed, stale) || !stale {
            return;
        }
        for name in self.workers.keys() {
            let subject = Subject::Worker(name.clone());
            self.explanations.add(now, subject, Reason::Stale);
        }
    }
}

/// Appends a reason unless it repeats the last one.
pub(crate) fn append_reason(list: &mut Vec<Explanation>, at: Millis, reason: Option<Reason>) {
    let Some(reason) = reason else {
        return;
    };
    if list.last().is_none_or(|last| last.reason != reason) {
        list.push(Explanation { at, reason });
    }
}

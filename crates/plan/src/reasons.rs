//! Current reasons why a job waits, a worker takes no tasks, or a service lacks instances.
//!
//! The log of explanations has past decisions. The current reason is computed on request for one
//! subject, because logging it for every waiting job in every round would cost more than placement.

use std::collections::BTreeMap;
use std::mem::discriminant;

use hyssop_core::{
    Explanation, JobId, Millis, Reason, Resources, ServiceName, Subject, TeamName, WorkerName,
};

use crate::Cell;
use crate::jobs::{End, Job, SERVICE_TASK_PREFIX};
use crate::placements::{WorkerCapacity, missing_resources};
use crate::quotas::add_resources;

/// Waiting jobs of a service that are examined for an explanation of the service, at most.
const MAX_EXPLAINED_JOBS: usize = 256;

/// Free capacity and use of quotas, computed once for a request.
pub(crate) struct PlacementView {
    capacities: Vec<WorkerCapacity>,
    usage: BTreeMap<TeamName, Resources>,
}

impl Cell {
    pub(crate) fn placement_view(&self, now: Millis) -> PlacementView {
        PlacementView {
            capacities: self.free_capacities(now),
            usage: self.team_usage(),
        }
    }

    /// Returns the logged explanations of a subject, followed by the current reasons.
    pub(crate) fn current_explanations(&self, now: Millis, subject: &Subject) -> Vec<Explanation> {
        let mut list = self.explanations.get(subject);
        match subject {
            Subject::Job(id) => {
                if let Some(job) = self.ledger.jobs.get(id) {
                    let reason = self.waiting_reason(now, id, job, &self.placement_view(now));
                    append_reason(&mut list, now, reason);
                }
            }
            Subject::Worker(name) => append_reason(&mut list, now, self.idle_reason(now, name)),
            Subject::Service(service) => {
                for reason in self.service_reasons(now, service) {
                    append_reason(&mut list, now, Some(reason));
                }
            }
        }
        list
    }

    /// Returns why a job has not started or is unconfirmed; `None` if it runs or has ended.
    pub(crate) fn waiting_reason(
        &self,
        now: Millis,
        id: &JobId,
        job: &Job,
        view: &PlacementView,
    ) -> Option<Reason> {
        if let Some(name) = &job.attempt_worker {
            let is_unconfirmed = self
                .workers
                .get(name)
                .is_some_and(|w| self.is_worker_unconfirmed(now, w));
            return is_unconfirmed.then_some(Reason::InDoubt(job.attempt));
        }
        if let Some(end) = &job.end {
            let is_dropped = matches!(
                end,
                End::Finished {
                    is_dropped: true,
                    ..
                }
            );
            return is_dropped.then_some(Reason::ResultDropped);
        }
        let wait = self.waits.get(id).copied().unwrap_or_default();
        Some(if self.confirmed_term().is_none() {
            Reason::StaleConfig
        } else if wait.is_ending || self.pending_intents.contains_key(id) {
            Reason::Uncommitted
        } else if self.is_own_domain_out() {
            Reason::DomainOut(self.options.cell.domain.clone())
        } else if let Some(cause) = self
            .permanent_refusal(&job.spec)
            .filter(|_| !job.is_service_task())
        {
            Reason::NeverRuns(cause)
        } else if wait.not_before > now {
            Reason::Backoff(wait.not_before.since(now))
        } else if !self.is_allowed(&job.spec, &self.options.cell.domain) {
            self.not_moved_reason(job)
        } else if self.is_quota_full(job, &view.usage) {
            Reason::QuotaFull
        } else {
            self.no_capacity_reason(now, id, job, &view.capacities)
        })
    }

    /// Returns why a job that may not run here was not moved to another cell.
    fn not_moved_reason(&self, job: &Job) -> Reason {
        let cells = self.options.cells.iter();
        let mut allowed = cells.filter(|cell| self.is_allowed(&job.spec, &cell.domain));
        let out = allowed.find(|cell| self.is_domain_out(&cell.domain));
        out.map_or(Reason::Queued, |cell| {
            Reason::DomainOut(cell.domain.clone())
        })
    }

    /// Returns whether one more job would exceed its team's quota share; never for service tasks.
    pub(crate) fn is_quota_full(&self, job: &Job, usage: &BTreeMap<TeamName, Resources>) -> bool {
        let team = &job.spec.team;
        let new_usage = add_resources(usage.get(team).copied().unwrap_or_default(), job.spec.needs);
        let is_full = self
            .quota_share(team)
            .is_some_and(|limit| !new_usage.fits(limit));
        is_full && !job.is_service_task()
    }

    /// Returns why no worker takes a job that is ready to be placed.
    fn no_capacity_reason(
        &self,
        now: Millis,
        id: &JobId,
        job: &Job,
        capacities: &[WorkerCapacity],
    ) -> Reason {
        if self.choose_worker(now, id, job, capacities).is_some() {
            return Reason::Queued;
        }
        let needs = job.spec.needs;
        let has_capacity = |capacity: &WorkerCapacity| {
            needs.fits(capacity.free.saturating_sub(self.reserved_for_others(
                &capacity.name,
                id,
                job.spec.class,
            ))) && !capacity.is_quarantined
        };
        // On a worker with enough free capacity that was not chosen, placements are paused.
        if let Some(capacity) = capacities.iter().find(|capacity| has_capacity(capacity)) {
            return Reason::PlacementsPaused(capacity.name.clone());
        }
        let mut quarantined = self.workers.iter().filter(|(name, worker)| {
            let free = worker.capacity.saturating_sub(self.allocated(name));
            worker.is_usable() && self.is_quarantined(name) && needs.fits(free)
        });
        if let Some((name, _)) = quarantined.next() {
            return self.quarantine_reason(name);
        }
        Reason::NoCapacity {
            missing: missing_resources(needs, capacities),
        }
    }

    fn quarantine_reason(&self, name: &WorkerName) -> Reason {
        let evidence = self.quarantine.evidence(name).unwrap_or_default();
        Reason::Quarantined(name.clone(), evidence.to_owned())
    }

    /// Returns why a worker takes no tasks; `None` if it does.
    pub(crate) fn idle_reason(&self, now: Millis, name: &WorkerName) -> Option<Reason> {
        let worker = self.workers.get(name)?;
        if self.confirmed_term().is_none() {
            Some(Reason::StaleConfig)
        } else if let Some(term) = worker.rejected_term {
            Some(Reason::TermUnknown(name.clone(), term))
        } else if !worker.is_usable() {
            Some(Reason::Unresponsive(name.clone()))
        } else if self.is_own_domain_out() {
            Some(Reason::DomainOut(self.options.cell.domain.clone()))
        } else if self.is_quarantined(name) {
            Some(self.quarantine_reason(name))
        } else if self.has_paused_placements(now, name) {
            Some(Reason::PlacementsPaused(name.clone()))
        } else {
            None
        }
    }

    /// Returns why instances and jobs of a service have not started, one reason of each type.
    fn service_reasons(&self, now: Millis, service: &ServiceName) -> Vec<Reason> {
        let view = self.placement_view(now);
        let first = JobId::new(SERVICE_TASK_PREFIX).into_iter();
        let service_tasks = first.flat_map(|first| self.ledger.jobs.range(first..));
        let service_tasks = service_tasks
            .take_while(|(id, _)| id.as_str().starts_with(SERVICE_TASK_PREFIX))
            .filter(|(_, job)| job.spec.service == *service);
        let waiting = self.ledger.waiting_jobs.iter();
        let waiting = waiting
            .filter_map(|id| self.ledger.jobs.get_key_value(id))
            .filter(|(_, job)| job.spec.service == *service && !job.is_service_task());
        let mut reasons: Vec<Reason> = Vec::new();
        for (id, job) in service_tasks.chain(waiting.take(MAX_EXPLAINED_JOBS)) {
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

    /// Logs for each worker when the ownership or the configuration ceases to be confirmed.
    pub(crate) fn explain_unconfirmed(&mut self, now: Millis) {
        let is_unconfirmed = self.owned_term().is_some() && self.confirmed_term().is_none();
        if std::mem::replace(&mut self.is_unconfirmed, is_unconfirmed) || !is_unconfirmed {
            return;
        }
        for name in self.workers.keys() {
            let subject = Subject::Worker(name.clone());
            self.explanations.add(now, subject, Reason::StaleConfig);
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

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
use crate::jobs::{End, Job, STANDING};
use crate::places::{Room, lacking};
use crate::quotas::add;

/// Waiting jobs of a service that are looked at for an explanation of the service.
const JOBS_LIMIT: usize = 256;

/// Room and use of quotas at the time of a question.
pub(crate) struct View {
    rooms: Vec<Room>,
    used: BTreeMap<TeamName, Resources>,
}

impl Cell {
    pub(crate) fn view(&self, now: Millis) -> View {
        View {
            rooms: self.rooms(now),
            used: self.used(),
        }
    }

    /// Returns the explanations of a subject, the present reason last.
    pub(crate) fn explained(&self, now: Millis, subject: &Subject) -> Vec<Explanation> {
        let mut list = self.explains.get(subject);
        match subject {
            Subject::Job(id) => {
                if let Some(job) = self.ledger.jobs.get(id) {
                    let reason = self.why(now, id, job, &self.view(now));
                    append(&mut list, now, reason);
                }
            }
            Subject::Worker(name) => append(&mut list, now, self.why_idle(now, name)),
            Subject::Service(service) => {
                for reason in self.why_short(now, service) {
                    append(&mut list, now, Some(reason));
                }
            }
        }
        list
    }

    /// Returns why a job has not started; `None` if it has, or never will here.
    pub(crate) fn why(&self, now: Millis, id: &JobId, job: &Job, view: &View) -> Option<Reason> {
        if let Some(name) = &job.open {
            let silent = self
                .workers
                .get(name)
                .is_some_and(|w| self.is_doubtful(now, w));
            return silent.then_some(Reason::InDoubt(job.attempt));
        }
        if let Some(end) = &job.end {
            let dropped = matches!(end, End::Finished { dropped: true, .. });
            return dropped.then_some(Reason::ResultDropped);
        }
        let wait = self.waits.get(id).copied().unwrap_or_default();
        Some(if self.proved().is_none() {
            Reason::StaleConfig
        } else if wait.ending || self.proposed.contains_key(id) {
            Reason::Uncommitted
        } else if self.is_out() {
            Reason::DomainOut(self.options.cell.domain.clone())
        } else if let Some(why) = self.never(&job.spec).filter(|_| !job.is_standing()) {
            Reason::NeverRuns(why)
        } else if wait.until > now {
            Reason::Backoff(wait.until.since(now))
        } else if !self.is_allowed(&job.spec, &self.options.cell.domain) {
            self.why_away(job)
        } else if self.is_quota_full(job, &view.used) {
            Reason::QuotaFull
        } else {
            self.why_roomless(now, id, job, &view.rooms)
        })
    }

    /// Returns why a job that may not run here was not handed to another cell.
    fn why_away(&self, job: &Job) -> Reason {
        let cells = self.options.cells.iter();
        let mut allowed = cells.filter(|cell| self.is_allowed(&job.spec, &cell.domain));
        let out = allowed.find(|cell| self.is_domain_out(&cell.domain));
        out.map_or(Reason::Queued, |cell| {
            Reason::DomainOut(cell.domain.clone())
        })
    }

    pub(crate) fn is_quota_full(&self, job: &Job, used: &BTreeMap<TeamName, Resources>) -> bool {
        let team = &job.spec.team;
        let wanted = add(used.get(team).copied().unwrap_or_default(), job.spec.needs);
        let full = self.slice(team).is_some_and(|most| !wanted.fits(most));
        full && !job.is_standing()
    }

    fn why_roomless(&self, now: Millis, id: &JobId, job: &Job, rooms: &[Room]) -> Reason {
        if self.choose_room(now, id, job, rooms).is_some() {
            return Reason::Queued;
        }
        let needs = job.spec.needs;
        let fits = |room: &Room| {
            needs.fits(room.free.saturating_sub(self.claimed(&room.name, id))) && !room.probe
        };
        // A room that fits and is not offered is kept from batch work.
        if let Some(room) = rooms.iter().find(|room| fits(room)) {
            return Reason::PlacementsPaused(room.name.clone());
        }
        let mut shut = self.workers.iter().filter(|(name, worker)| {
            let free = worker.capacity.saturating_sub(self.promised(name));
            worker.is_usable() && self.is_quarantined(name) && needs.fits(free)
        });
        if let Some((name, _)) = shut.next() {
            return self.why_quarantined(name);
        }
        Reason::NoCapacity {
            missing: lacking(needs, rooms),
        }
    }

    fn why_quarantined(&self, name: &WorkerName) -> Reason {
        let evidence = self.quarantine.evidence(name).unwrap_or_default();
        Reason::Quarantined(name.clone(), evidence.to_owned())
    }

    /// Returns why a worker takes no work; `None` if it does.
    pub(crate) fn why_idle(&self, now: Millis, name: &WorkerName) -> Option<Reason> {
        let worker = self.workers.get(name)?;
        if self.proved().is_none() {
            Some(Reason::StaleConfig)
        } else if let Some(term) = worker.denied {
            Some(Reason::TermUnknown(name.clone(), term))
        } else if !worker.is_usable() {
            Some(Reason::Unresponsive(name.clone()))
        } else if self.is_out() {
            Some(Reason::DomainOut(self.options.cell.domain.clone()))
        } else if self.is_quarantined(name) {
            Some(self.why_quarantined(name))
        } else if self.is_held(now, name) {
            Some(Reason::PlacementsPaused(name.clone()))
        } else {
            None
        }
    }

    /// Returns the reasons for which instances and jobs of a service have not started, one of
    /// each type.
    fn why_short(&self, now: Millis, service: &ServiceName) -> Vec<Reason> {
        let view = self.view(now);
        let first = JobId::new(STANDING).into_iter();
        let standing = first.flat_map(|first| self.ledger.jobs.range(first..));
        let standing = standing
            .take_while(|(id, _)| id.as_str().starts_with(STANDING))
            .filter(|(_, job)| job.spec.service == *service);
        let waiting = self.ledger.waiting.iter();
        let waiting = waiting
            .filter_map(|id| self.ledger.jobs.get_key_value(id))
            .filter(|(_, job)| job.spec.service == *service && !job.is_standing());
        let mut reasons: Vec<Reason> = Vec::new();
        for (id, job) in standing.chain(waiting.take(JOBS_LIMIT)) {
            if let Some(reason) = self.why(now, id, job, &view)
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
    pub(crate) fn note_stale(&mut self, now: Millis) {
        let stale = self.term().is_some() && self.proved().is_none();
        if std::mem::replace(&mut self.stale, stale) || !stale {
            return;
        }
        for name in self.workers.keys() {
            let subject = Subject::Worker(name.clone());
            self.explains.add(now, subject, Reason::StaleConfig);
        }
    }
}

/// Appends a reason unless it repeats the last one.
pub(crate) fn append(list: &mut Vec<Explanation>, at: Millis, reason: Option<Reason>) {
    let Some(reason) = reason else {
        return;
    };
    if list.last().is_none_or(|last| last.reason != reason) {
        list.push(Explanation { at, reason });
    }
}

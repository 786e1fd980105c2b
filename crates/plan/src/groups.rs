//! Waiting jobs in groups that placement treats alike: if one job of a group cannot be placed, none
//! of the others needs to be tried.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::{Class, DomainName, JobId, Millis, Resources, ServiceName, TeamName};
use smallvec::SmallVec;

use crate::jobs::Job;

/// All properties of a waiting job that placement depends on, except its waiting time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Group {
    pub(crate) class: Class,
    /// Whether the job was evicted or has a checkpoint.
    pub(crate) has_run_before: bool,
    /// Whether an attempt of the job has failed; such a job is no probe of a quarantined worker.
    pub(crate) has_failures: bool,
    /// Whether a worker has crashed under an attempt of the job; such a job is restarted apart.
    has_crashes: bool,
    pub(crate) team: TeamName,
    service: ServiceName,
    kind: ServiceName,
    /// Processor, memory and accelerators, in the units of `Resources`.
    needs: (u32, u32, u32),
    domains: SmallVec<[DomainName; 4]>,
}

impl Group {
    fn new(job: &Job) -> Self {
        let spec = &job.spec;
        Self {
            class: spec.class,
            has_run_before: job.has_run_before(),
            has_failures: job.failure_count > 0,
            has_crashes: !job.crashes.is_empty(),
            team: spec.team.clone(),
            service: spec.service.clone(),
            kind: spec.kind.clone(),
            needs: (spec.needs.cpu, spec.needs.mem, spec.needs.accel),
            domains: spec.domains.clone(),
        }
    }

    pub(crate) fn needs(&self) -> Resources {
        Resources::new(self.needs.0, self.needs.1, self.needs.2)
    }
}

/// Jobs of a group with the start of their waiting time, longest waiting first.
pub(crate) type Members = BTreeSet<(Millis, JobId)>;

/// All waiting jobs by group.
#[derive(Debug, Default)]
pub(crate) struct WaitingGroups {
    groups: BTreeMap<Arc<Group>, Members>,
    group_of_job: BTreeMap<JobId, (Arc<Group>, Millis)>,
}

impl WaitingGroups {
    /// Adds a waiting job, or moves it to the group that it belongs to now.
    pub(crate) fn add(&mut self, id: &JobId, job: &Job, since: Millis) {
        let group = Group::new(job);
        if let Some((earlier, at)) = self.group_of_job.get(id) {
            if **earlier == group && *at == since {
                return;
            }
            self.remove(id);
        }
        let group = match self.groups.get_key_value(&group) {
            Some((known, _)) => known.clone(),
            None => Arc::new(group),
        };
        let members = self.groups.entry(group.clone()).or_default();
        members.insert((since, id.clone()));
        self.group_of_job.insert(id.clone(), (group, since));
    }

    pub(crate) fn remove(&mut self, id: &JobId) {
        let Some((group, since)) = self.group_of_job.remove(id) else {
            return;
        };
        if let Some(members) = self.groups.get_mut(&group) {
            members.remove(&(since, id.clone()));
            if members.is_empty() {
                self.groups.remove(&group);
            }
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = (&Arc<Group>, &Members)> {
        self.groups.iter()
    }

    /// Returns the waiting jobs that have run before.
    pub(crate) fn jobs_run_before(&self) -> impl Iterator<Item = &JobId> {
        let groups = self.groups.iter().filter(|(group, _)| group.has_run_before);
        groups.flat_map(|(_, members)| members.iter().map(|(_, id)| id))
    }

    /// Returns the members of a group that come after the member `last`.
    pub(crate) fn after<'a>(
        &'a self,
        group: &Group,
        last: &(Millis, JobId),
    ) -> impl Iterator<Item = &'a (Millis, JobId)> {
        use std::ops::Bound::{Excluded, Unbounded};
        let members = self.groups.get(group).into_iter();
        let bounds = (Excluded(last.clone()), Unbounded);
        members.flat_map(move |members| members.range(bounds.clone()))
    }
}

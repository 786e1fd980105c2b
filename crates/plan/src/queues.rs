//! Order of waiting jobs: by class, then by fair share between teams, then by time of waiting.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use hyssop_core::{Class, JobId, Millis, Resources, TeamName};

use crate::jobs::Job;

type Teams = BTreeMap<TeamName, BTreeSet<(Millis, JobId)>>;

/// Waiting jobs of one round of placement.
#[derive(Debug)]
pub(crate) struct Queue {
    total: Resources,
    /// Jobs by class, those whose pause is nearly used up first.
    classes: BTreeMap<(Class, bool), Teams>,
    /// Teams of the class in turn, each with its jobs in order.
    turn: BTreeMap<TeamName, VecDeque<JobId>>,
}

impl Queue {
    pub(crate) fn new(total: Resources) -> Self {
        Self {
            total,
            classes: BTreeMap::new(),
            turn: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, job: &Job, since: Millis, id: JobId, overdue: bool) {
        let teams = self.classes.entry((job.spec.class, !overdue)).or_default();
        let jobs = teams.entry(job.spec.team.clone()).or_default();
        jobs.insert((since, id));
    }

    /// Takes the next job: of the team with the least dominant share in the highest class.
    pub(crate) fn next(&mut self, used: &BTreeMap<TeamName, Resources>) -> Option<JobId> {
        while self.turn.is_empty() {
            let (_, teams) = self.classes.pop_first()?;
            let teams = teams.into_iter();
            self.turn = teams
                .map(|(team, jobs)| (team, jobs.into_iter().map(|(_, id)| id).collect()))
                .collect();
        }
        let share = |team: &TeamName| {
            let used = used.get(team).copied().unwrap_or_default();
            dominant(used, self.total)
        };
        let team = self.turn.keys().min_by_key(|team| share(team))?.clone();
        let jobs = self.turn.get_mut(&team)?;
        let id = jobs.pop_front();
        if jobs.is_empty() {
            self.turn.remove(&team);
        }
        id
    }
}

/// Returns the largest part of any resource that a team uses, in millionths of the total.
pub(crate) fn dominant(used: Resources, total: Resources) -> u64 {
    let part = |used: u32, total: u32| u64::from(used) * 1_000_000 / u64::from(total.max(1));
    let cpu = part(used.cpu, total.cpu);
    let mem = part(used.mem, total.mem);
    cpu.max(mem).max(part(used.accel, total.accel))
}

//! Order of waiting jobs: by class, then by fair share between teams, then by waiting time.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::{Class, JobId, Millis, Resources, TeamName};

use crate::groups::Group;

/// The next job of a group; without a group, a job with a reservation.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Head {
    /// Time since which the job waits.
    pub(crate) waiting_since: Millis,
    pub(crate) id: JobId,
    pub(crate) group: Option<Arc<Group>>,
}

type Teams = BTreeMap<TeamName, BTreeSet<Head>>;

/// Heads of the groups in one round of placement.
#[derive(Debug)]
pub(crate) struct Queue {
    /// Capacity of the cell, to which shares refer.
    total: Resources,
    /// Heads by class; within a class, jobs that were paused for long come first, so that the flag
    /// is negated.
    classes: BTreeMap<(Class, bool), Teams>,
}

impl Queue {
    pub(crate) fn new(total: Resources) -> Self {
        Self {
            total,
            classes: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, class: Class, team: &TeamName, is_long_paused: bool, head: Head) {
        let teams = self.classes.entry((class, !is_long_paused)).or_default();
        teams.entry(team.clone()).or_default().insert(head);
    }

    /// Removes and returns the next head: in the highest class, the longest waiting one of the team
    /// with the smallest dominant share.
    pub(crate) fn next(&mut self, used: &BTreeMap<TeamName, Resources>) -> Option<Head> {
        let share = |team: &TeamName| {
            let used = used.get(team).copied().unwrap_or_default();
            dominant_share(used, self.total)
        };
        let mut entry = self.classes.first_entry()?;
        let teams = entry.get_mut();
        let team = teams.keys().min_by_key(|team| share(team))?.clone();
        let heads = teams.get_mut(&team)?;
        let head = heads.pop_first();
        if heads.is_empty() {
            teams.remove(&team);
        }
        if teams.is_empty() {
            entry.remove();
        }
        head
    }
}

/// Returns the largest share of any resource that a team uses, in millionths of the total.
pub(crate) fn dominant_share(used: Resources, total: Resources) -> u64 {
    let part = |used: u32, total: u32| u64::from(used) * 1_000_000 / u64::from(total.max(1));
    let cpu = part(used.cpu, total.cpu);
    let mem = part(used.mem, total.mem);
    cpu.max(mem).max(part(used.accel, total.accel))
}

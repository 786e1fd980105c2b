//! Order of waiting jobs: by class, then by fair share between teams, then by time of waiting.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::{Class, JobId, Millis, Resources, TeamName};

use crate::groups::Group;

/// The next job of a group; without a group, one for which room is kept.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Head {
    pub(crate) waiting_since: Millis,
    pub(crate) id: JobId,
    pub(crate) group: Option<Arc<Group>>,
}

type Teams = BTreeMap<TeamName, BTreeSet<Head>>;

/// Heads of the groups in one round of placement.
#[derive(Debug)]
pub(crate) struct Queue {
    total: Resources,
    /// Heads by class, those whose pause is nearly used up first.
    classes: BTreeMap<(Class, bool), Teams>,
}

impl Queue {
    pub(crate) fn new(total: Resources) -> Self {
        Self {
            total,
            classes: BTreeMap::new(),
        }
    }

    pub(crate) fn add(&mut self, class: Class, team: &TeamName, overdue: bool, head: Head) {
        let teams = self.classes.entry((class, !overdue)).or_default();
        teams.entry(team.clone()).or_default().insert(head);
    }

    /// Takes the next head: of the team with the least dominant share in the highest class.
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

/// Returns the largest part of any resource that a team uses, in millionths of the total.
pub(crate) fn dominant_share(used: Resources, total: Resources) -> u64 {
    let part = |used: u32, total: u32| u64::from(used) * 1_000_000 / u64::from(total.max(1));
    let cpu = part(used.cpu, total.cpu);
    let mem = part(used.mem, total.mem);
    cpu.max(mem).max(part(used.accel, total.accel))
}

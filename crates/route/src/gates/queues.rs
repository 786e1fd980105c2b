//! Waiting requests, served in turn by team.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Millis, TeamName};

/// A queue that takes one request of each team in turn and keeps each team's own order.
#[derive(Debug)]
pub(crate) struct FairQueue<T> {
    teams: BTreeMap<TeamName, VecDeque<Waiting<T>>>,
    turns: VecDeque<TeamName>,
    len: usize,
}

/// A waiting request and the time at which it must have started.
#[derive(Debug)]
pub(crate) struct Waiting<T> {
    /// Deadline.
    pub(crate) deadline: Millis,
    /// Request.
    pub(crate) item: T,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub(crate) const fn new() -> Self {
        Self {
            teams: BTreeMap::new(),
            turns: VecDeque::new(),
            len: 0,
        }
    }

    /// Returns the number of waiting requests.
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Adds a request behind the others of its team.
    pub(crate) fn push(&mut self, team: &TeamName, waiting: Waiting<T>) {
        if !self.teams.contains_key(team) {
            self.turns.push_back(team.clone());
        }
        self.teams
            .entry(team.clone())
            .or_default()
            .push_back(waiting);
        self.len += 1;
    }

    /// Takes the oldest request of the team whose turn it is.
    pub(crate) fn pop(&mut self) -> Option<Waiting<T>> {
        let team = self.turns.pop_front()?;
        let queue = self.teams.get_mut(&team)?;
        let waiting = queue.pop_front();
        if queue.is_empty() {
            self.teams.remove(&team);
        } else {
            self.turns.push_back(team);
        }
        self.len -= usize::from(waiting.is_some());
        waiting
    }

    /// Makes room for a request of `team` by taking the newest request of the team that has the
    /// most, provided that it stays at least as well served as `team`.
    pub(crate) fn displace(&mut self, team: &TeamName) -> Option<Waiting<T>> {
        let own = self.teams.get(team).map_or(0, VecDeque::len);
        let (most, queue) = self
            .teams
            .iter_mut()
            .max_by_key(|(_, queue)| queue.len())
            .filter(|(_, queue)| queue.len() > own + 1)?;
        let waiting = queue.pop_back();
        let emptied = queue.is_empty().then(|| most.clone());
        self.len -= usize::from(waiting.is_some());
        if let Some(team) = emptied {
            self.forget(&team);
        }
        waiting
    }

    /// Takes every request whose deadline has passed.
    pub(crate) fn expired(&mut self, now: Millis) -> Vec<Waiting<T>> {
        let mut taken = Vec::new();
        for queue in self.teams.values_mut() {
            if queue.iter().all(|waiting| waiting.deadline > now) {
                continue;
            }
            let all = std::mem::take(queue).into_iter();
            let (late, kept): (VecDeque<_>, VecDeque<_>) = all.partition(|w| w.deadline <= now);
            *queue = kept;
            taken.extend(late);
        }
        if taken.is_empty() {
            return taken;
        }
        self.len -= taken.len();
        self.teams.retain(|_, queue| !queue.is_empty());
        self.turns.retain(|team| self.teams.contains_key(team));
        taken
    }

    /// Takes all requests.
    pub(crate) fn drain(&mut self) -> Vec<Waiting<T>> {
        self.expired(Millis(u64::MAX))
    }

    /// Returns the earliest deadline.
    pub(crate) fn earliest(&self) -> Option<Millis> {
        let all = self.teams.values().flatten();
        all.map(|waiting| waiting.deadline).min()
    }

    fn forget(&mut self, team: &TeamName) {
        self.teams.remove(team);
        self.turns.retain(|other| other != team);
    }
}

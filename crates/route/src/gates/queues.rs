//! Requests waiting for a slot, served in turn by team.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Millis, TeamName};

/// A round-robin queue over the teams that is first-in first-out within each team.
#[derive(Debug)]
pub(crate) struct FairQueue<T> {
    /// Queues of the teams that have waiting requests; none is empty.
    teams: BTreeMap<TeamName, VecDeque<Waiting<T>>>,
    /// The same teams in the order in which they are served next.
    turns: VecDeque<TeamName>,
    /// Waiting requests of all teams.
    len: usize,
}

/// A waiting request.
#[derive(Debug)]
pub(crate) struct Waiting<T> {
    /// Time after which the request must not start any more.
    pub(crate) deadline: Millis,
    /// The request.
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

    /// Returns the number of waiting requests of all teams.
    pub(crate) const fn len(&self) -> usize {
        self.len
    }

    /// Appends a request to the queue of its team.
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

    /// Removes the oldest request of the team whose turn it is.
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

    /// Frees capacity for a request of `team` by removing the newest request of the team with the
    /// longest queue, provided that this team still has at least as many waiting requests as
    /// `team` will have.
    pub(crate) fn displace(&mut self, team: &TeamName) -> Option<Waiting<T>> {
        let own = self.teams.get(team).map_or(0, VecDeque::len);
        let (longest, queue) = self
            .teams
            .iter_mut()
            .max_by_key(|(_, queue)| queue.len())
            .filter(|(_, queue)| queue.len() > own + 1)?;
        let waiting = queue.pop_back();
        let emptied = queue.is_empty().then(|| longest.clone());
        self.len -= usize::from(waiting.is_some());
        if let Some(team) = emptied {
            self.remove_team(&team);
        }
        waiting
    }

    /// Removes and returns every request whose deadline has passed.
    pub(crate) fn remove_expired(&mut self, now: Millis) -> Vec<Waiting<T>> {
        let mut removed = Vec::new();
        for queue in self.teams.values_mut() {
            if queue.iter().all(|waiting| waiting.deadline > now) {
                continue;
            }
            let all = std::mem::take(queue).into_iter();
            let (late, kept): (VecDeque<_>, VecDeque<_>) = all.partition(|w| w.deadline <= now);
            *queue = kept;
            removed.extend(late);
        }
        if removed.is_empty() {
            return removed;
        }
        self.len -= removed.len();
        self.teams.retain(|_, queue| !queue.is_empty());
        self.turns.retain(|team| self.teams.contains_key(team));
        removed
    }

    /// Removes and returns all requests.
    pub(crate) fn drain(&mut self) -> Vec<Waiting<T>> {
        self.remove_expired(Millis(u64::MAX))
    }

    /// Returns the earliest deadline of all waiting requests.
    pub(crate) fn earliest_deadline(&self) -> Option<Millis> {
        let all = self.teams.values().flatten();
        all.map(|waiting| waiting.deadline).min()
    }

    fn remove_team(&mut self, team: &TeamName) {
        self.teams.remove(team);
        self.turns.retain(|other| other != team);
    }
}

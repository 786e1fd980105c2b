//! Simulated candidates and the topic with the owner record.

use std::net::SocketAddr;

use hyssop_core::Millis;
use hyssop_fleet::{Election, ElectionEvent, ElectionOptions, ElectionStep, OwnerRecord};

/// Topic of the owner record: its end and its newest record.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topic {
    pub(crate) end: u64,
    pub(crate) owner: Option<OwnerRecord>,
}

/// Simulated candidate with the ownership that its events report.
pub(crate) struct Entry {
    pub(crate) election: Election,
    /// Epoch in which the candidate owns the jobs.
    pub(crate) owned_epoch: Option<u64>,
    /// When its last renewal was sent, if it has sent one in its epoch.
    pub(crate) renewed_at: Option<Millis>,
    /// Whether its calls to the store succeed.
    pub(crate) is_store_reachable: bool,
    /// Whether the process is running, that is neither killed nor frozen.
    pub(crate) is_running: bool,
    /// Whether the process stands still. Probes get no reply then, and it resumes with its state.
    pub(crate) is_frozen: bool,
}

/// Returns a running candidate that reaches the store.
pub(crate) fn entry(node: &str, incarnation: u64, delay: u64) -> Entry {
    let options = ElectionOptions {
        node: node.into(),
        incarnation,
        address: SocketAddr::from(([10, 0, 0, 1], 7_720)),
        claim_delay: Millis(delay),
    };
    Entry {
        election: Election::new(Millis(0), options),
        owned_epoch: None,
        renewed_at: None,
        is_store_reachable: true,
        is_running: true,
        is_frozen: false,
    }
}

impl Entry {
    /// Applies the events of the election.
    pub(crate) fn apply(&mut self, events: Vec<ElectionEvent>) {
        for event in events {
            match event {
                ElectionEvent::Acquired(owner) => {
                    self.owned_epoch = Some(owner.epoch);
                    self.renewed_at = None;
                }
                ElectionEvent::Lost => self.owned_epoch = None,
                ElectionEvent::Renewed(at) => self.renewed_at = Some(at),
                ElectionEvent::Confirmed(_) | ElectionEvent::OwnerChanged(_) => {}
            }
        }
    }
}

/// Executes the next step of one candidate. Probes of the owner are answered by its `Election`.
pub(crate) fn step(now: u64, index: usize, entries: &mut [Entry], topic: &mut Topic) {
    let now = Millis(now);
    let step = entries[index].election.next_step(now);
    let is_store_reachable = entries[index].is_store_reachable;
    let events = match step {
        ElectionStep::Sleep(_) => Vec::new(),
        ElectionStep::ProbeOwner(owner) => {
            let is_lost = !is_owner_confirmed(now, &owner, entries);
            entries[index]
                .election
                .on_owner_probe(now, owner.epoch, is_lost);
            Vec::new()
        }
        _ if !is_store_reachable => {
            entries[index].election.on_failure(now);
            Vec::new()
        }
        ElectionStep::ReadNewest => {
            let election = &mut entries[index].election;
            election.on_newest(now, now, topic.end, topic.owner.clone())
        }
        ElectionStep::Follow(from) => {
            let owner = topic.owner.clone().filter(|_| from < topic.end);
            entries[index]
                .election
                .on_follow(now, now, topic.end, owner)
        }
        ElectionStep::Append(expected, _) if expected != topic.end => {
            entries[index].election.on_end_moved();
            Vec::new()
        }
        ElectionStep::Append(_, owner) => {
            topic.end += 1;
            topic.owner = Some(owner.clone());
            entries[index].election.on_append(now, now, owner)
        }
    };
    entries[index].apply(events);
}

/// Probes the owner and returns whether a running process still owns the jobs in its epoch.
fn is_owner_confirmed(now: Millis, owner: &OwnerRecord, entries: &mut [Entry]) -> bool {
    for entry in entries.iter_mut() {
        let is_owner = entry.owned_epoch == Some(owner.epoch);
        if entry.is_frozen && is_owner {
            // A missing reply does not show that the owner has lost the ownership.
            return true;
        }
        if !entry.is_running || !is_owner {
            continue;
        }
        let events = entry.election.yield_if_unreachable(now, owner.epoch);
        entry.apply(events);
        return entry.election.owns(owner.epoch);
    }
    // No running process has this epoch: nothing listens at the address, or another process denies
    // it.
    false
}

/// Runs all candidates for a time, with a step of each every 10 ms. Returns the time at the end.
pub(crate) fn run(from: u64, millis: u64, entries: &mut [Entry], topic: &mut Topic) -> u64 {
    for now in (from..from + millis).step_by(10) {
        for index in 0..entries.len() {
            if entries[index].is_running && !entries[index].is_frozen {
                step(now, index, entries, topic);
            }
        }
    }
    from + millis
}

//! Candidates and the record that they compete for.

use std::net::SocketAddr;

use hyssop_core::Millis;
use hyssop_fleet::{ClaimEvent, ClaimOptions, Claims, Lead, Step};

/// The topic: its end and its newest record.
#[derive(Clone, Debug, Default)]
pub(crate) struct Topic {
    pub(crate) end: u64,
    pub(crate) lead: Option<Lead>,
}

/// A candidate with what it believes.
pub(crate) struct Entry {
    pub(crate) claims: Claims,
    /// Epoch in which it owns the jobs.
    pub(crate) owns: Option<u64>,
    pub(crate) proved: Millis,
    /// Whether its calls to the store succeed.
    pub(crate) reaches: bool,
    /// Whether it answers others.
    pub(crate) alive: bool,
}

/// Returns a candidate.
pub(crate) fn entry(node: &str, life: u64, delay: u64) -> Entry {
    let options = ClaimOptions {
        node: node.into(),
        life,
        address: SocketAddr::from(([10, 0, 0, 1], 7_720)),
        delay: Millis(delay),
    };
    Entry {
        claims: Claims::new(Millis(0), options),
        owns: None,
        proved: Millis(0),
        reaches: true,
        alive: true,
    }
}

impl Entry {
    /// Takes in events.
    pub(crate) fn take(&mut self, events: Vec<ClaimEvent>) {
        for event in events {
            match event {
                ClaimEvent::Owned(lead) => self.owns = Some(lead.epoch),
                ClaimEvent::Deposed => self.owns = None,
                ClaimEvent::Proved(at) => self.proved = at,
                ClaimEvent::Follows(_) => {}
            }
        }
    }
}

/// Lets one candidate take its next step. `others` answer for themselves.
pub(crate) fn step(now: u64, at: usize, entries: &mut [Entry], topic: &mut Topic) {
    let now = Millis(now);
    let step = entries[at].claims.step(now);
    let reaches = entries[at].reaches;
    let events = match step {
        Step::Sleep(_) => Vec::new(),
        Step::Ask(lead) => {
            let is_gone = !owner_says(now, &lead, entries);
            entries[at].claims.asked(now, lead.epoch, is_gone);
            Vec::new()
        }
        _ if !reaches => {
            entries[at].claims.failed(now);
            Vec::new()
        }
        Step::Newest => {
            let claims = &mut entries[at].claims;
            claims.newest(now, now, topic.end, topic.lead.clone())
        }
        Step::Follow(from) => {
            let lead = topic.lead.clone().filter(|_| from < topic.end);
            entries[at].claims.followed(now, now, topic.end, lead)
        }
        Step::Append(expected, _) if expected != topic.end => {
            entries[at].claims.moved();
            Vec::new()
        }
        Step::Append(_, lead) => {
            topic.end += 1;
            topic.lead = Some(lead.clone());
            entries[at].claims.appended(now, now, lead)
        }
    };
    entries[at].take(events);
}

/// Returns whether the owner's process is there and owns the jobs, or does not answer.
fn owner_says(now: Millis, lead: &Lead, entries: &mut [Entry]) -> bool {
    for entry in entries.iter_mut() {
        let is_it = entry.owns == Some(lead.epoch);
        if !entry.alive || !is_it {
            continue;
        }
        let events = entry.claims.give_way(now, lead.epoch);
        entry.take(events);
        return entry.claims.owns(lead.epoch);
    }
    // No process has this epoch any more: nothing listens, or another process says so.
    false
}

/// Runs all candidates for a while, each every 10 ms.
pub(crate) fn run(from: u64, millis: u64, entries: &mut [Entry], topic: &mut Topic) -> u64 {
    for now in (from..from + millis).step_by(10) {
        for at in 0..entries.len() {
            if entries[at].alive {
                step(now, at, entries, topic);
            }
        }
    }
    from + millis
}

//! Heartbeats between entries, confirmations by the log, and the inputs that follow from them.

use hyssop_core::limits::{FRESHNESS_LIMIT, PEER_TIMEOUT};
use hyssop_core::{CellId, Connectivity, Millis};
use hyssop_plan::Input;

use crate::fleet::Fleet;

impl Fleet {
    /// Exchanges heartbeats between the entries that reach one another, and confirms the entries
    /// that reach the log.
    pub(crate) fn exchange_heartbeats(&mut self) {
        let count = self.entries.len();
        for n in 0..count {
            if !self.entries[n].is_running {
                continue;
            }
            if self.is_log_up && self.entries[n].reaches_log {
                self.entries[n].confirmed_at = Some(self.now);
            }
            for m in (0..count).filter(|m| *m != n) {
                let (to, from) = (&self.entries[n], &self.entries[m]);
                if to.reaches_peers && from.reaches_peers && from.is_running {
                    let states = from.cell_cores.values();
                    let states = states.filter_map(|core| core.cell.state()).collect();
                    self.entries[n]
                        .last_heartbeats
                        .insert(m, (self.now, states));
                }
            }
        }
    }

    pub(crate) fn connectivity(&self, n: usize) -> Input {
        let entry = &self.entries[n];
        let task = |at: Millis, limit: Millis| self.now.since(at) <= limit;
        let received = entry.last_heartbeats.iter();
        let received = received.filter(|(_, (at, _))| task(*at, PEER_TIMEOUT));
        let received: Vec<usize> = received.map(|(m, _)| *m).collect();
        let has_majority = (received.len() + 1) * 2 > self.entries.len();
        let connectivity = if entry
            .confirmed_at
            .is_some_and(|at| task(at, FRESHNESS_LIMIT))
        {
            Connectivity::Confirmed
        } else if has_majority {
            Connectivity::MajorityReachable
        } else {
            Connectivity::Isolated
        };
        let rank = received.iter().filter(|m| **m < n).count();
        Input::Connectivity {
            connectivity,
            has_majority,
            has_recent_start: self.has_recent_start,
            rank: u32::try_from(rank).expect("rank"),
        }
    }

    pub(crate) fn peer_states(&self, n: usize, cell: &CellId) -> Input {
        let entry = &self.entries[n];
        let received = entry.last_heartbeats.values();
        let received = received.filter(|(at, _)| self.now.since(*at) <= PEER_TIMEOUT);
        let mut states: Vec<_> = received.flat_map(|(_, states)| states.clone()).collect();
        let own = entry.cell_cores.iter().filter(|(other, _)| *other != cell);
        states.extend(own.filter_map(|(_, core)| core.cell.state()));
        Input::Peers(states)
    }
}

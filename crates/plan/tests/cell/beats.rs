//! Beats between entries, proofs of freshness and what follows from them.

use hyssop_core::limits::{FRESH_LIMIT, PEER_TIMEOUT};
use hyssop_core::{CellId, Millis, Standing};
use hyssop_plan::Input;

use crate::fleet::Fleet;

impl Fleet {
    /// Exchanges beats between the entries that reach one another, and proofs with the log.
    pub(crate) fn beat(&mut self) {
        let count = self.entries.len();
        for n in 0..count {
            if !self.entries[n].running {
                continue;
            }
            if self.log && self.entries[n].log {
                self.entries[n].proof = Some(self.now);
            }
            for m in (0..count).filter(|m| *m != n) {
                let (to, from) = (&self.entries[n], &self.entries[m]);
                if to.peers && from.peers && from.running {
                    let states = from.cores.values();
                    let states = states.filter_map(|core| core.cell.state()).collect();
                    self.entries[n].heard.insert(m, (self.now, states));
                }
            }
        }
    }

    pub(crate) fn standing(&self, n: usize) -> Input {
        let entry = &self.entries[n];
        let live = |at: Millis, limit: Millis| self.now.since(at) <= limit;
        let heard = entry.heard.iter();
        let heard = heard.filter(|(_, (at, _))| live(*at, PEER_TIMEOUT));
        let heard: Vec<usize> = heard.map(|(m, _)| *m).collect();
        let majority = (heard.len() + 1) * 2 > self.entries.len();
        let standing = if entry.proof.is_some_and(|at| live(at, FRESH_LIMIT)) {
            Standing::Proved
        } else if majority {
            Standing::Heard
        } else {
            Standing::Isolated
        };
        let before = heard.iter().filter(|m| **m < n).count();
        Input::Connectivity {
            connectivity: standing,
            has_majority: majority,
            has_recent_start: self.young,
            rank: u32::try_from(before).expect("rank"),
        }
    }

    pub(crate) fn peers(&self, n: usize, cell: &CellId) -> Input {
        let entry = &self.entries[n];
        let heard = entry.heard.values();
        let heard = heard.filter(|(at, _)| self.now.since(*at) <= PEER_TIMEOUT);
        let mut states: Vec<_> = heard.flat_map(|(_, states)| states.clone()).collect();
        let own = entry.cores.iter().filter(|(other, _)| *other != cell);
        states.extend(own.filter_map(|(_, core)| core.cell.state()));
        Input::Peers(states)
    }
}

//! One session of the agent: its lease, the orders under way, and what the last look showed.

use std::collections::BTreeMap;

use hyssop_core::Millis;
use hyssop_jobs::{Order, Refusal, RunEnd, RunId, RunStatus, Start};

use super::io::AgentOutput;

/// Clocks of workers run at this share of the true speed at least, in percent.
const SLOWEST_CLOCK: u64 = 98;

#[derive(Debug)]
pub(super) struct Starting {
    pub(super) start: Start,
    pub(super) tries: u32,
    pub(super) in_flight: bool,
    pub(super) not_before: Millis,
}

#[derive(Debug)]
pub(super) struct Stopping {
    pub(super) in_flight: bool,
    pub(super) not_before: Millis,
}

/// What the agent knows within one session.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) id: u64,
    /// End of the lease on the agent's clock.
    pub(super) lease: Millis,
    /// Number of the last order that was taken in.
    pub(super) seen: u64,
    /// Number of the last end that may be forgotten.
    pub(super) acknowledged: u64,
    /// The worker's clock, and when it was read.
    pub(super) clock: Option<(Millis, Millis)>,
    /// Whether the complete report was answered.
    pub(super) complete: bool,
    pub(super) starts: BTreeMap<RunId, Starting>,
    pub(super) stops: BTreeMap<RunId, Stopping>,
    /// Runs of which an answer says that they are there; the next look has to list them.
    pub(super) expected: BTreeMap<RunId, Millis>,
    pub(super) refused: Vec<(RunId, Refusal)>,
    pub(super) rows: Vec<RunStatus>,
    pub(super) ended: Vec<RunEnd>,
    pub(super) rows_new: bool,
    pub(super) rows_sent: Millis,
    /// Highest end that a report has carried.
    pub(super) told: u64,
    pub(super) looking: bool,
    pub(super) missed: u32,
    pub(super) look_at: Millis,
}

impl Session {
    pub(super) fn new(id: u64) -> Self {
        Self {
            id,
            lease: Millis(0),
            seen: 0,
            acknowledged: 0,
            clock: None,
            complete: false,
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            expected: BTreeMap::new(),
            refused: Vec::new(),
            rows: Vec::new(),
            ended: Vec::new(),
            rows_new: false,
            rows_sent: Millis(0),
            told: 0,
            looking: false,
            missed: 0,
            look_at: Millis(0),
        }
    }

    /// Returns the end of the lease on the worker's clock, assuming that it is as slow as allowed:
    /// by the end of the lease on the agent's clock it then shows at least this.
    pub(super) fn worker_lease(&self, now: Millis) -> Option<Millis> {
        let (clock, read) = self.clock?;
        if self.lease <= now {
            return None;
        }
        Some(clock + Millis(self.lease.since(read).0 * SLOWEST_CLOCK / 100))
    }

    pub(super) fn has_news(&self) -> bool {
        let last = self.ended.last().map_or(0, |row| row.number);
        last > self.told || !self.refused.is_empty()
    }
}

impl Session {
    pub(super) fn take_order(&mut self, order: Order, outputs: &mut Vec<AgentOutput>) {
        match order {
            Order::Start(start) => {
                let run = start.run;
                let start = Starting {
                    start,
                    tries: 0,
                    in_flight: false,
                    not_before: Millis(0),
                };
                self.starts.insert(run, start);
            }
            Order::Stop(run) => {
                self.starts.remove(&run);
                self.stop(run);
            }
            Order::Pace(run, percent) => {
                outputs.push(AgentOutput::Pace {
                    session: self.id,
                    run,
                    percent,
                });
            }
        }
    }

    pub(super) fn stop(&mut self, run: RunId) {
        let stop = Stopping {
            in_flight: false,
            not_before: Millis(0),
        };
        self.stops.entry(run).or_insert(stop);
    }

    /// Compares a look with the runs that have to be in it. One that is neither running nor ended
    /// was never there, or its end is forgotten; the owner is told in both cases.
    pub(super) fn check_expected(&mut self, sent: Millis, running: &[RunStatus], ended: &[RunEnd]) {
        let due: Vec<RunId> = self
            .expected
            .iter()
            .filter(|&(_, &at)| at < sent)
            .map(|(&run, _)| run)
            .collect();
        for run in due {
            let is_running = running.iter().any(|row| row.run == run);
            if is_running && self.stops.contains_key(&run) {
                continue;
            }
            self.expected.remove(&run);
            let has_ended = ended.iter().any(|row| row.run == run);
            if !is_running && !has_ended {
                self.refused.push((run, Refusal::Other));
            }
        }
    }
}

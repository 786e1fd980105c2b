//! One session of the agent: its lease, the orders under way, and what the last look showed.

use std::collections::BTreeMap;

use hyssop_core::Millis;
use hyssop_jobs::{EndRow, Order, Refusal, RunId, RunRow, Start};

use super::io::AgentOutput;

/// Clocks of workers run at this share of the true speed at least, in percent.
const SLOWEST_CLOCK_PERCENT: u64 = 98;

#[derive(Debug)]
pub(super) struct PendingStart {
    pub(super) start: Start,
    pub(super) tries: u32,
    pub(super) is_in_flight: bool,
    pub(super) not_before: Millis,
}

#[derive(Debug)]
pub(super) struct PendingStop {
    pub(super) is_in_flight: bool,
    pub(super) not_before: Millis,
}

/// What the agent knows within one session.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) id: u64,
    /// End of the lease on the agent's clock.
    pub(super) lease_until: Millis,
    /// Number of the last order that was taken in.
    pub(super) applied_order: u64,
    /// Number of the last end that may be forgotten.
    pub(super) acknowledged_end: u64,
    /// The worker's clock, and when it was read.
    pub(super) worker_clock: Option<(Millis, Millis)>,
    /// Whether the complete report was answered.
    pub(super) has_reported_fully: bool,
    pub(super) starts: BTreeMap<RunId, PendingStart>,
    pub(super) stops: BTreeMap<RunId, PendingStop>,
    /// Runs of which an answer says that they are there; the next look has to list them.
    pub(super) expected: BTreeMap<RunId, Millis>,
    pub(super) refused: Vec<(RunId, Refusal)>,
    pub(super) rows: Vec<RunRow>,
    pub(super) ended: Vec<EndRow>,
    pub(super) has_new_rows: bool,
    pub(super) rows_sent_at: Millis,
    /// Highest end that a report has carried.
    pub(super) reported_end: u64,
    pub(super) is_probing: bool,
    pub(super) failed_probes: u32,
    pub(super) next_probe_at: Millis,
}

impl Session {
    pub(super) fn new(id: u64) -> Self {
        Self {
            id,
            lease_until: Millis(0),
            applied_order: 0,
            acknowledged_end: 0,
            worker_clock: None,
            has_reported_fully: false,
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            expected: BTreeMap::new(),
            refused: Vec::new(),
            rows: Vec::new(),
            ended: Vec::new(),
            has_new_rows: false,
            rows_sent_at: Millis(0),
            reported_end: 0,
            is_probing: false,
            failed_probes: 0,
            next_probe_at: Millis(0),
        }
    }

    /// Returns the end of the lease on the worker's clock, assuming that it is as slow as allowed:
    /// by the end of the lease on the agent's clock it then shows at least this.
    pub(super) fn worker_lease(&self, now: Millis) -> Option<Millis> {
        let (worker_clock, read_at) = self.worker_clock?;
        if self.lease_until <= now {
            return None;
        }
        Some(worker_clock + Millis(self.lease_until.since(read_at).0 * SLOWEST_CLOCK_PERCENT / 100))
    }

    pub(super) fn has_news(&self) -> bool {
        let last = self.ended.last().map_or(0, |row| row.number);
        last > self.reported_end || !self.refused.is_empty()
    }
}

impl Session {
    pub(super) fn apply_order(&mut self, order: Order, outputs: &mut Vec<AgentOutput>) {
        match order {
            Order::Start(start) => {
                let run = start.run;
                let start = PendingStart {
                    start,
                    tries: 0,
                    is_in_flight: false,
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
        let stop = PendingStop {
            is_in_flight: false,
            not_before: Millis(0),
        };
        self.stops.entry(run).or_insert(stop);
    }

    /// Compares a look with the runs that have to be in it. One that is neither running nor ended
    /// was never there, or its end is forgotten; the owner is told in both cases.
    pub(super) fn check_expected(&mut self, sent_at: Millis, running: &[RunRow], ended: &[EndRow]) {
        let due: Vec<RunId> = self
            .expected
            .iter()
            .filter(|&(_, &at)| at < sent_at)
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

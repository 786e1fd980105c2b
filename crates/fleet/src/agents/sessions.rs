//! Session of an agent: its lease, its pending orders and the result of the last probe.

use std::collections::BTreeMap;

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, Order, Refusal, RunEnd, RunId, RunStatus, SLOWEST_CLOCK_PERCENT, Start,
};
use hyssop_platform::UnreadableRow;

use super::canaries::{Canaries, CanarySteps};
use super::io::{AgentOutput, SpeedError};
use super::late_starts::{AnsweredProbe, LateStarts};
use super::probes::ProbesInFlight;

/// Time without a response after which the lease of a worker is not renewed any more. One probe
/// without a response and its repetition take about as long.
const MAX_SILENCE: Millis = Millis(2_000);
/// Maximum number of ends in one response of a worker. It lists the others once these are acknowledged.
pub(super) const MAX_LISTED_ENDS: usize = 500;
/// Delay before an unanswered order is repeated.
pub(super) const ORDER_RETRY_DELAY: Millis = Millis(100);

/// Time after which a worker refuses the start of a canary, so that a slow call does not start a run that
/// nobody is about to pause.
const CANARY_START_TIME: Millis = Millis(250);

/// Returns how far the slowest clock of a worker has surely advanced after a time.
pub(super) fn slowest_share(time: Millis) -> Millis {
    Millis(time.0 * SLOWEST_CLOCK_PERCENT / 100)
}

/// Start of a run that the worker has not answered.
#[derive(Debug)]
pub(super) struct PendingStart {
    pub(super) start: Start,
    pub(super) tries: u32,
    /// Whether the worker may have received a call without answering it.
    pub(super) is_unanswered: bool,
    pub(super) is_in_flight: bool,
    pub(super) not_before: Millis,
}

/// Stop of a run that the worker has not answered.
#[derive(Debug)]
pub(super) struct PendingStop {
    pub(super) is_in_flight: bool,
    pub(super) not_before: Millis,
}

/// Speed of a run that the worker has not acknowledged. One call of each run is in flight at a time,
/// so that calls do not overtake each other.
#[derive(Debug)]
pub(super) struct PendingSpeed {
    /// Latest speed that the owner has ordered, in percent of the full speed.
    pub(super) percent: u32,
    pub(super) is_in_flight: bool,
    pub(super) not_before: Millis,
}

/// Lease of a worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Lease {
    /// End on the agent's clock.
    pub(super) until: Millis,
    /// End on the worker's clock. Assumes the slowest clock allowed, so that the worker's lease
    /// never ends after the agent's.
    pub(super) worker_until: Millis,
}

/// State of one session with the owner.
#[derive(Debug)]
pub(super) struct Session {
    pub(super) id: u64,
    pub(super) opened_at: Millis,
    /// End of the lease on the agent's clock.
    pub(super) lease_until: Millis,
    /// Number of the last order that was applied.
    pub(super) applied_order: u64,
    /// Number of the last end that the owner has stored.
    pub(super) acknowledged_end: u64,
    /// The worker's clock, and when it was read on the agent's clock.
    pub(super) worker_clock: Option<(Millis, Millis)>,
    /// Whether the complete report, the first of a session, was sent.
    pub(super) has_reported_fully: bool,
    /// Number of the complete report.
    pub(super) complete_report: Option<u64>,
    /// Whether the complete report lacked ends, so that another one has to follow.
    pub(super) needs_complete_report: bool,
    pub(super) starts: BTreeMap<RunId, PendingStart>,
    pub(super) stops: BTreeMap<RunId, PendingStop>,
    pub(super) speeds: BTreeMap<RunId, PendingSpeed>,
    /// Runs that should be on the worker according to its responses, and when each response came.
    /// The next probe has to list them.
    pub(super) expected: BTreeMap<RunId, Millis>,
    /// Runs whose start the worker has confirmed and that no probe has listed yet, each with whether the
    /// incarnation that the call was for has confirmed it.
    pub(super) started: BTreeMap<RunId, bool>,
    pub(super) refused: Vec<(RunId, Refusal)>,
    /// Position in `runs` of the next checkpoint to report, if not all fit into one report.
    pub(super) next_checkpoint: usize,
    /// Whether a checkpoint was found that no report can contain.
    pub(super) has_oversized: bool,
    pub(super) runs: Vec<RunStatus>,
    pub(super) ended: Vec<RunEnd>,
    /// Unreadable rows of the last lists that are not settled.
    pub(super) unreadable: Vec<UnreadableRow>,
    /// Whether the last lists may lack runs or ends, so that what they lack proves nothing.
    pub(super) is_list_partial: bool,
    /// Whether `runs` changed since they were last reported.
    pub(super) has_new_runs: bool,
    pub(super) runs_sent_at: Millis,
    /// Number of the last end that a report has contained.
    pub(super) reported_end: u64,
    /// Probes in flight.
    pub(super) probes: ProbesInFlight,
    /// Consecutive failed probes.
    pub(super) failed_probes: u32,
    pub(super) next_probe_at: Millis,
}

impl Session {
    pub(super) fn new(id: u64, now: Millis) -> Self {
        Self {
            id,
            opened_at: now,
            lease_until: Millis(0),
            applied_order: 0,
            acknowledged_end: 0,
            worker_clock: None,
            has_reported_fully: false,
            complete_report: None,
            needs_complete_report: false,
            starts: BTreeMap::new(),
            stops: BTreeMap::new(),
            speeds: BTreeMap::new(),
            expected: BTreeMap::new(),
            started: BTreeMap::new(),
            refused: Vec::new(),
            next_checkpoint: 0,
            has_oversized: false,
            runs: Vec::new(),
            ended: Vec::new(),
            unreadable: Vec::new(),
            is_list_partial: false,
            has_new_runs: false,
            runs_sent_at: Millis(0),
            reported_end: 0,
            probes: ProbesInFlight::default(),
            failed_probes: 0,
            next_probe_at: Millis(0),
        }
    }

    /// Returns the lease to send to the worker, or none if it has ended. `sent_until` is the end of
    /// the latest lease that the worker was sent. It is not renewed while the worker does not
    /// respond: any call may still reach it, and the worker counts as lost only after the end of
    /// its lease.
    pub(super) fn worker_lease(&self, now: Millis, sent_until: Millis) -> Option<Lease> {
        let (worker_clock, read_at) = self.worker_clock?;
        let until = match now > read_at + MAX_SILENCE {
            true => self.lease_until.min(sent_until),
            false => self.lease_until,
        };
        if until <= now {
            return None;
        }
        let worker_until = worker_clock + slowest_share(until.since(read_at));
        Some(Lease {
            until,
            worker_until,
        })
    }

    /// Returns the end of the lease to send with the start of a canary. The worker refuses a call that
    /// arrives after it. That does not shorten its lease.
    fn canary_lease(&self, lease: Millis, now: Millis) -> Millis {
        let read = self.worker_clock;
        let until =
            read.map(|(clock, at)| clock + slowest_share((now + CANARY_START_TIME).since(at)));
        until.map_or(lease, |until| until.min(lease))
    }

    /// Returns the number of the last end that the next probe acknowledges, or 0. A later incarnation of
    /// the worker counts its ends anew, and a probe that reaches it discards those up to the number.
    /// So none is sent after a failed probe, and none for longer than the worker lists ends to forget.
    pub(super) fn end_to_acknowledge(&self, late_starts: &LateStarts) -> u64 {
        // Another start of a run that has ended may still be executed by a later incarnation. No run may
        // start after an acknowledged end as done.
        let is_late = |end: &&RunEnd| end.kind == EndKind::Done && late_starts.contains(end.run);
        let late = self.ended.iter().find(is_late);
        let last_end = late.map_or(u64::MAX, |end| end.number.saturating_sub(1));
        let number = self.acknowledgeable_end().min(last_end);
        let is_listed = self.ended.iter().any(|end| end.number <= number);
        match is_listed && self.failed_probes == 0 {
            true => number,
            false => 0,
        }
    }

    /// Returns the last probe of this session that was answered.
    pub(super) fn last_answered_probe(&self) -> Option<AnsweredProbe> {
        self.worker_clock
            .map(|(worker_clock, answered_at)| AnsweredProbe {
                sent_at: self.probes.last_answered(),
                answered_at,
                worker_clock,
            })
    }

    /// Returns whether the worker has answered a probe of this session.
    pub(super) const fn has_answered(&self) -> bool {
        self.worker_clock.is_some()
    }

    /// Returns the number of the last end that the worker may forget. An unreadable row may be an end
    /// as done, so that it is not acknowledged with the ends after it.
    fn acknowledgeable_end(&self) -> u64 {
        let before = self.unreadable.iter().filter_map(|row| row.end_before);
        before.min().map_or(self.acknowledged_end, |before| {
            before.min(self.acknowledged_end)
        })
    }

    /// Returns whether a list has ends that the last one lacked, with numbers that the reports of this
    /// session have passed: their rows could not be read. The owner passes over them, and counts them
    /// in another session.
    pub(super) fn has_passed_over(&self, ended: &[RunEnd]) -> bool {
        let is_known = |number: u64| self.ended.iter().any(|end| end.number == number);
        let mut reported = ended.iter().filter(|end| end.number <= self.reported_end);
        reported.any(|end| !is_known(end.number))
    }

    /// Returns whether there are ends or refusals that were not reported.
    pub(super) fn has_updates(&self) -> bool {
        let last = self.ended.last().map_or(0, |end| end.number);
        last > self.reported_end || !self.refused.is_empty()
    }
}

impl Session {
    pub(super) fn apply_order(&mut self, order: Order) {
        match order {
            Order::Start(start) | Order::Canary(start) => {
                let run = start.run;
                let start = PendingStart {
                    start,
                    tries: 0,
                    is_unanswered: false,
                    is_in_flight: false,
                    not_before: Millis(0),
                };
                self.starts.insert(run, start);
            }
            Order::Stop(run) => {
                self.starts.remove(&run);
                self.stop(run);
            }
            Order::Pace(run, _) if self.stops.contains_key(&run) => {}
            Order::Pace(run, percent) => self.set_speed(run, percent),
        }
    }

    /// Returns whether a start of a run was sent in this session and is not settled.
    pub(super) fn has_sent_start(&self, run: RunId) -> bool {
        self.starts.get(&run).is_some_and(|start| start.tries > 0)
    }

    /// Returns whether the last list has shown a run.
    pub(super) fn lists(&self, run: RunId) -> bool {
        self.runs.iter().any(|status| status.run == run)
    }

    /// Returns whether an answer or a list is expected to tell what has become of a run.
    pub(super) fn awaits(&self, run: RunId) -> bool {
        self.starts.contains_key(&run)
            || self.stops.contains_key(&run)
            || self.expected.contains_key(&run)
    }

    /// Sets the wanted speed of a run.
    pub(super) fn set_speed(&mut self, run: RunId, percent: u32) {
        let speed = PendingSpeed {
            percent,
            is_in_flight: false,
            not_before: Millis(0),
        };
        self.speeds.entry(run).or_insert(speed).percent = percent;
    }

    pub(super) fn stop(&mut self, run: RunId) {
        let stop = PendingStop {
            is_in_flight: false,
            not_before: Millis(0),
        };
        self.stops.entry(run).or_insert(stop);
        self.speeds.remove(&run);
    }

    /// Emits the starts that are due and returns whether there are any.
    pub(super) fn send_starts(
        &mut self,
        lease: Millis,
        canaries: &Canaries,
        now: Millis,
        outputs: &mut Vec<AgentOutput>,
    ) -> bool {
        let is_fresh = self.probes.is_fresh(now);
        let canary_lease = self.canary_lease(lease, now);
        let mut has_started = false;
        for (&run, start) in &mut self.starts {
            let is_canary = canaries.contains(run);
            // A run whose worker falls silent before it is paused may end as done.
            let waits_for_probe = start.tries == 0 && !is_fresh && is_canary;
            if start.is_in_flight || now < start.not_before || waits_for_probe {
                continue;
            }
            start.is_in_flight = true;
            start.tries += 1;
            has_started = true;
            outputs.push(AgentOutput::Start {
                session: self.id,
                start: start.start.clone(),
                lease: match is_canary {
                    true => canary_lease,
                    false => lease,
                },
            });
        }
        has_started
    }

    /// Drops the starts of runs that the worker lists. Their responses were lost, and a repeated start
    /// of a run that has ended would be executed by a later incarnation.
    pub(super) fn drop_executed_starts(&mut self, running: &[RunStatus], ended: &[RunEnd]) {
        let running = running.iter().map(|status| status.run);
        for run in running.chain(ended.iter().map(|end| end.run)) {
            self.starts.remove(&run);
            self.started.remove(&run);
        }
    }

    /// Returns the runs that may be on the worker, each with whether that is certain.
    pub(super) fn present_runs(&self) -> Vec<(RunId, bool)> {
        let listed = self.runs.iter().map(|status| status.run);
        let listed = listed.map(|run| (run, true));
        let started = self.started.iter().map(|(&run, &is_known)| (run, is_known));
        let starts = self.starts.iter();
        let unanswered = starts.filter(|(_, start)| start.is_in_flight || start.is_unanswered);
        let unanswered = unanswered.map(|(&run, _)| (run, false));
        listed.chain(started).chain(unanswered).collect()
    }

    /// Emits the stops that are due.
    pub(super) fn send_stops(&mut self, now: Millis, outputs: &mut Vec<AgentOutput>) {
        for (&run, stop) in &mut self.stops {
            if !stop.is_in_flight && now >= stop.not_before {
                stop.is_in_flight = true;
                let session = self.id;
                outputs.push(AgentOutput::Stop { session, run });
            }
        }
    }

    /// Emits the speed calls that are due. A run gets none before it is known to be on the worker:
    /// the call could otherwise arrive before the start and have no effect.
    pub(super) fn send_speeds(&mut self, now: Millis, outputs: &mut Vec<AgentOutput>) {
        for (&run, speed) in &mut self.speeds {
            let is_on_worker = self.expected.contains_key(&run)
                || self.runs.iter().any(|status| status.run == run);
            // A pause is repeated while its call is in flight: no other speed can overtake it.
            let is_pause = speed.percent == 0;
            let may_send = !speed.is_in_flight || is_pause;
            if is_on_worker && may_send && now >= speed.not_before {
                speed.is_in_flight = true;
                if is_pause {
                    speed.not_before = now + ORDER_RETRY_DELAY;
                }
                outputs.push(AgentOutput::SetSpeed {
                    session: self.id,
                    run,
                    percent: speed.percent,
                });
            }
        }
    }

    /// Applies the result of a speed call. If another speed was ordered during the call, that one
    /// is sent next.
    pub(super) fn on_speed_set(
        &mut self,
        run: RunId,
        percent: u32,
        result: Result<(), SpeedError>,
        now: Millis,
    ) {
        let Some(speed) = self.speeds.get_mut(&run) else {
            return;
        };
        speed.is_in_flight = false;
        if result == Err(SpeedError::Unknown) {
            speed.not_before = now + ORDER_RETRY_DELAY;
        } else if speed.percent == percent {
            self.speeds.remove(&run);
        }
    }

    /// Forgets the wanted speeds of runs that have ended: their end is listed, or neither the last
    /// probe nor an order shows that they are or will be on the worker.
    pub(super) fn forget_speeds_of_ended_runs(&mut self) {
        self.speeds.retain(|run, _| {
            let is_present = self.runs.iter().any(|status| status.run == *run)
                || self.expected.contains_key(run)
                || self.starts.contains_key(run);
            is_present && self.ended.iter().all(|end| end.run != *run)
        });
    }

    /// Takes the steps that the lists of the worker call for.
    pub(super) fn advance_canaries(&mut self, steps: &CanarySteps) {
        for &run in &steps.paused {
            self.set_speed(run, 0);
        }
        for &run in &steps.stopped {
            self.stop(run);
        }
        for &(run, refusal) in &steps.hidden {
            self.starts.remove(&run);
            self.stops.remove(&run);
            self.speeds.remove(&run);
            self.expected.remove(&run);
            self.started.remove(&run);
            self.refused.push((run, refusal));
        }
        let unsettled = steps.unsettled.iter();
        self.refused
            .extend(unsettled.map(|&run| (run, Refusal::EndUnknown)));
    }

    /// Compares the result of a probe with the runs that it should contain. A run that is neither
    /// running nor ended was never started, or its end was forgotten. Both are reported to the
    /// owner as refusals.
    pub(super) fn check_expected(
        &mut self,
        sent_at: Millis,
        running: &[RunStatus],
        ended: &[RunEnd],
        late_starts: &LateStarts,
    ) {
        if self.is_list_partial {
            return;
        }
        let due: Vec<RunId> = self
            .expected
            .iter()
            .filter(|&(_, &at)| at < sent_at)
            .map(|(&run, _)| run)
            .collect();
        for run in due {
            let is_running = running.iter().any(|status| status.run == run);
            // Its result tells whether the start may still be executed, which the refusal has to name.
            let is_starting = late_starts.is_in_flight(run);
            if is_starting || is_running && self.stops.contains_key(&run) {
                continue;
            }
            self.expected.remove(&run);
            let has_ended = ended.iter().any(|end| end.run == run);
            if !is_running && !has_ended {
                self.refused.push((run, Refusal::Other));
            }
        }
    }
}

//! Requests at the advice service, and the time that they take.
//!
//! The service handles the requests of a host one at a time, in turn, and its time for a request grows
//! with the workers that it names. It goes on with a request that nobody waits for any more. A request
//! therefore counts until it is answered, and its answer is used however late it comes.

use std::collections::BTreeMap;

use hyssop_core::Millis;

use crate::limits::{
    ADVICE_PATIENCE, ADVICE_QUEUE_TIME, ADVICE_REJECTION_DELAY, ADVICE_TIMEOUT,
    ASSUMED_ADVICE_COST, MAX_ADVICE_CALLS, MAX_ADVICE_DOUBLINGS, MAX_ADVICE_PATIENCE,
    MAX_ADVICE_WORKERS, MAX_FOLLOW_UP_TIME, MAX_OPEN_ADVICE_CALLS, MIN_ADVICE_SAMPLE,
    PIPELINED_ADVICE_TIME,
};
use crate::workers::WorkerIncarnation;
use crate::{AdviceCost, StepId};

/// Weight of a new sample in the moving average of the share of workers that may run a step. Requests on
/// few workers give coarse samples.
const SHARE_SAMPLE_WEIGHT: f64 = 0.2;

/// Smallest and largest share that is expected.
const MIN_ELIGIBLE_SHARE: f64 = 0.02;
const MAX_ELIGIBLE_SHARE: f64 = 0.95;

/// Request that has not been answered.
#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) step: StepId,
    pub(crate) sent_at: Millis,
    /// Workers that the request names.
    pub(crate) incarnations: Vec<WorkerIncarnation>,
    /// Number of them that are known to be eligible.
    known: usize,
    /// Time that the service takes for the request according to the operators' settings.
    stated_time: Millis,
    /// Time that the service is expected to take.
    expected_time: Millis,
    /// When the answer is expected, behind those of earlier requests.
    expected_at: Millis,
    /// Time from which the answer counts as overdue.
    overdue_at: Millis,
    is_overdue: bool,
}

/// Requests that are open, and what their answers tell about the service.
#[derive(Debug)]
pub(crate) struct AdviceCalls {
    open: BTreeMap<u64, Call>,
    last_number: u64,
    /// Ratios of the time that the service took for the last two requests to the time that the operators'
    /// settings tell.
    slowdowns: [f64; 2],
    /// Share of the workers in requests that may run the step.
    eligible_share: f64,
    /// When the last answer came.
    answered_at: Millis,
    /// Time from the request to the answer of the last one that was answered.
    pub(crate) call_time: Millis,
    /// Number of times that requests have become overdue since the last answer.
    overdue_count: u32,
    /// Rejections since the last answer.
    rejection_count: u32,
    /// Time until which the service gets no requests, because it has rejected one.
    blocked_until: Millis,
}

impl Default for AdviceCalls {
    fn default() -> Self {
        Self {
            open: BTreeMap::new(),
            last_number: 0,
            slowdowns: [1.0; 2],
            eligible_share: 1.0,
            answered_at: Millis(0),
            call_time: Millis(0),
            overdue_count: 0,
            rejection_count: 0,
            blocked_until: Millis(0),
        }
    }
}

impl AdviceCalls {
    /// Returns the number of requests that the service has not answered.
    pub(crate) fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns whether an answer on a step is expected.
    pub(crate) fn is_asking(&self, step: StepId) -> bool {
        let mut live = self.open.values().filter(|call| !call.is_overdue);
        live.any(|call| call.step == step)
    }

    /// Returns whether the service may get another request. A second one is sent early to a service that
    /// answers quickly, so that it need not wait for it; elsewhere it would only delay urgent ones and
    /// shorten the validity of its tickets.
    pub(crate) fn has_capacity(&self, now: Millis) -> bool {
        if now < self.blocked_until || self.open.len() >= MAX_OPEN_ADVICE_CALLS {
            return false;
        }
        let live = self.open.values().filter(|call| !call.is_overdue);
        let (count, time) = live.fold((0, Millis(0)), |(count, time), call| {
            (count + 1, time + call.expected_time)
        });
        count == 0 || (count < MAX_ADVICE_CALLS && time <= PIPELINED_ADVICE_TIME)
    }

    /// Returns the share of workers that are expected to be eligible. Neither none nor all are certain
    /// to be.
    pub(crate) fn eligible_share(&self) -> f64 {
        self.eligible_share
            .clamp(MIN_ELIGIBLE_SHARE, MAX_ELIGIBLE_SHARE)
    }

    /// Returns whether the service is expected to answer a request so soon that it delays no other.
    pub(crate) fn is_quick(&self, cost: AdviceCost, workers: usize) -> bool {
        self.expected_time(cost, workers) <= PIPELINED_ADVICE_TIME
    }

    /// Returns the time that the service is expected to take for a request.
    pub(crate) fn expected_time(&self, cost: AdviceCost, workers: usize) -> Millis {
        Millis((self.slowdown() * cost.time_ms(workers)).ceil() as u64)
    }

    /// Returns how much longer the service takes than the operators' settings tell. One late answer alone
    /// does not make it slow.
    fn slowdown(&self) -> f64 {
        self.slowdowns[0].min(self.slowdowns[1])
    }

    /// Adds a request that is sent now. Returns its number and its timeout.
    pub(crate) fn add(
        &mut self,
        now: Millis,
        step: StepId,
        cost: AdviceCost,
        incarnations: Vec<WorkerIncarnation>,
        known: usize,
    ) -> (u64, Millis) {
        let expected_time = self.expected_time(cost, incarnations.len());
        let live = self.open.values().filter(|call| !call.is_overdue);
        let free_at = live.map(|call| call.expected_at).max();
        let expected_at = free_at.map_or(now, |at| at.max(now)) + expected_time;
        let doublings = self.overdue_count.min(MAX_ADVICE_DOUBLINGS);
        let expected_wait = Millis(2 * expected_at.since(now).0);
        let patience = Millis(ADVICE_PATIENCE.0 << doublings).max(expected_wait);
        let patience = patience.min(MAX_ADVICE_PATIENCE);
        self.last_number += 1;
        self.open.insert(
            self.last_number,
            Call {
                step,
                sent_at: now,
                stated_time: Millis(cost.time_ms(incarnations.len()).ceil() as u64),
                incarnations,
                known,
                expected_time,
                expected_at,
                overdue_at: now + patience,
                is_overdue: false,
            },
        );
        let timeout = ADVICE_TIMEOUT.max(Millis(4 * patience.0));
        (self.last_number, timeout)
    }

    /// Removes a request whose outcome is known.
    pub(crate) fn remove(&mut self, number: u64) -> Option<Call> {
        self.open.remove(&number)
    }

    /// Marks the requests whose answers are overdue, and returns their numbers. They may be lost, or the
    /// service is slower than known: the next request waits longer before it is overdue.
    pub(crate) fn mark_overdue(&mut self, now: Millis) -> Vec<u64> {
        let due = self.open.iter_mut();
        let due = due.filter(|(_, call)| !call.is_overdue && now >= call.overdue_at);
        let due = due.map(|(&number, call)| {
            call.is_overdue = true;
            number
        });
        let numbers: Vec<u64> = due.collect();
        if !numbers.is_empty() {
            self.overdue_count = self.overdue_count.saturating_add(1);
        }
        numbers
    }

    pub(crate) fn get(&self, number: u64) -> Option<&Call> {
        self.open.get(&number)
    }

    /// Learns from an answer to a request that is no longer open.
    pub(crate) fn note_answer(&mut self, now: Millis, call: &Call, eligible: usize) {
        // The service handles a request when it has answered the one before.
        let handled_from = call.sent_at.max(self.answered_at.min(now));
        let time = now.since(handled_from).max(MIN_ADVICE_SAMPLE);
        let stated = call.stated_time.max(MIN_ADVICE_SAMPLE);
        self.slowdowns = [self.slowdowns[1], time.0 as f64 / stated.0 as f64];
        let unknown = call.incarnations.len() - call.known;
        if unknown > 0 {
            let share = eligible.saturating_sub(call.known) as f64 / unknown as f64;
            self.eligible_share += SHARE_SAMPLE_WEIGHT * (share - self.eligible_share);
        }
        self.answered_at = now;
        self.call_time = now.since(call.sent_at);
        self.overdue_count = 0;
        self.rejection_count = 0;
    }

    /// Lets the service work off the requests that wait there, after it has rejected one for them.
    pub(crate) fn note_rejection(&mut self, now: Millis) {
        let doublings = self.rejection_count.min(MAX_ADVICE_DOUBLINGS);
        self.rejection_count = self.rejection_count.saturating_add(1);
        self.blocked_until = now + Millis(ADVICE_REJECTION_DELAY.0 << doublings);
    }

    /// Returns the number of workers that a request names.
    pub(crate) fn request_size(&self, need: &AdviceNeed) -> usize {
        let cost = need.cost.scaled(self.slowdown());
        let smallest = match need.is_follow_up {
            // Other steps wait while the service handles a long request.
            true => need.useful.min(cost.workers_within(MAX_FOLLOW_UP_TIME)),
            false => need.smallest,
        };
        let waiting = need.waiting_steps.max(1) as u64;
        let affordable = cost.workers_within(Millis(ADVICE_QUEUE_TIME.0 / waiting));
        let size = smallest.max(affordable.min(MAX_ADVICE_WORKERS));
        size.clamp(1, need.largest)
    }
}

/// What the size of a request depends on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdviceNeed {
    pub(crate) cost: AdviceCost,
    /// Workers that are expected to be enough for one task, or for a gang.
    pub(crate) smallest: usize,
    /// Workers that are expected to be enough for all waiting tasks of the step.
    pub(crate) useful: usize,
    /// Largest number of workers.
    pub(crate) largest: usize,
    /// Whether the step is no gang, and other tasks of the job run.
    pub(crate) is_follow_up: bool,
    /// Steps that wait for advice.
    pub(crate) waiting_steps: usize,
}

impl AdviceCost {
    fn time_ms(&self, workers: usize) -> f64 {
        self.decide_ms + self.per_worker_ms * workers as f64
    }

    fn scaled(&self, factor: f64) -> Self {
        Self {
            decide_ms: self.decide_ms * factor,
            per_worker_ms: self.per_worker_ms * factor,
        }
    }

    /// Returns the largest number of workers with which a request takes no longer than `time`.
    fn workers_within(&self, time: Millis) -> usize {
        let rest = time.0 as f64 - self.decide_ms;
        if rest < 0.0 {
            return 0;
        }
        (rest / self.per_worker_ms.max(f64::MIN_POSITIVE)) as usize
    }

    /// Returns the number of workers with which finding one that may run a step takes the least time on
    /// average, if requests go on until one is found. `shares` has the probability of each worker.
    pub(crate) fn best_size(&self, shares: impl Iterator<Item = f64>) -> usize {
        let mut best = (f64::INFINITY, 0);
        let mut all_miss = 1.0;
        for (size, share) in (1..).zip(shares) {
            all_miss *= 1.0 - share;
            let mean_time = self.time_ms(size) / (1.0 - all_miss);
            if mean_time < best.0 {
                best = (mean_time, size);
            }
        }
        best.1
    }
}

impl Default for AdviceCost {
    /// Returns the times that are assumed where the operators' settings tell none.
    fn default() -> Self {
        ASSUMED_ADVICE_COST
    }
}

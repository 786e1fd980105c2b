//! The advice service of the model.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{Advice, AdviceReply, Input, StepId, WorkerInfo};
use rand::Rng;

use super::Model;

/// Share of the workers that may run a step that needs tickets, in percent.
const ELIGIBLE_PERCENT: u64 = 70;
/// Share of the steps that need tickets that no worker may run, in percent.
const REJECTED_STEP_PERCENT: u64 = 10;
/// Number of requests of one host that wait at the service from which it rejects further ones.
const MAX_WAITING: usize = 32;

/// Times of a service that handles the requests of one host one at a time, in turn.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AdviceTimes {
    pub(crate) decide_ms: u64,
    pub(crate) per_worker_ms: u64,
    /// Time for which tickets are valid, from the answer on.
    pub(crate) valid_ms: u64,
}

impl AdviceTimes {
    /// Returns the time of a request that names this number of workers.
    pub(crate) fn time_ms(&self, workers: u64) -> u64 {
        self.decide_ms + self.per_worker_ms * workers
    }
}

/// Request for advice whose caller waits.
#[derive(Debug)]
struct AdviceCall {
    call: u64,
    reply_at: u64,
    timeout_at: u64,
    step: StepId,
    workers: Vec<Arc<str>>,
    /// Whether the service rejects the request.
    is_rejected: bool,
}

/// Advice service. Without times, it answers all requests side by side, as a quick one seems to.
#[derive(Debug, Default)]
pub(super) struct Advisor {
    pub(super) times: Option<AdviceTimes>,
    calls: Vec<AdviceCall>,
    /// Times at which the requests of the owner's host are done, also those whose caller has gone.
    done_at: Vec<u64>,
}

impl Advisor {
    /// Ends the waits of an owner that is gone. The next one inherits the queue if it is on the same
    /// host.
    pub(super) fn drop_owner(&mut self, is_same_host: bool) {
        self.calls.clear();
        if !is_same_host {
            self.done_at.clear();
        }
    }

    /// Returns when the service is done with a request that arrives now, or none if it rejects it.
    fn accept(&mut self, now: u64, times: AdviceTimes, workers: usize) -> Option<u64> {
        self.done_at.retain(|done_at| *done_at > now);
        if self.done_at.len() >= MAX_WAITING {
            return None;
        }
        let free_at = self.done_at.last().copied().unwrap_or(now);
        let done_at = free_at + times.time_ms(workers as u64);
        self.done_at.push(done_at);
        Some(done_at)
    }
}

impl Model {
    /// Takes up a request for advice. One in twenty is answered late by a service without times.
    pub(super) fn take_advice_call(
        &mut self,
        call: u64,
        step: StepId,
        workers: Vec<Arc<str>>,
        timeout: Millis,
    ) {
        let now = self.now;
        let reply_at = match self.advisor.times {
            Some(times) => self.advisor.accept(now, times, workers.len()),
            None if self.rng.random_bool(0.05) => Some(now + self.rng.random_range(150..1_000)),
            None => Some(now + self.rng.random_range(10..100)),
        };
        self.advisor.calls.push(AdviceCall {
            call,
            reply_at: reply_at.unwrap_or(now),
            timeout_at: now + timeout.0,
            step,
            workers,
            is_rejected: reply_at.is_none(),
        });
    }

    pub(super) fn answer_advice(&mut self) {
        let now = self.now;
        let calls = std::mem::take(&mut self.advisor.calls);
        let is_due = |call: &AdviceCall| now >= call.reply_at.min(call.timeout_at);
        let (due, later) = calls.into_iter().partition(is_due);
        self.advisor.calls = later;
        let due: Vec<AdviceCall> = due;
        for AdviceCall {
            call,
            reply_at,
            step,
            workers,
            is_rejected,
            ..
        } in due
        {
            let is_failed = self.rng.random_bool(self.outages.failed_advice) || now < reply_at;
            let (valid_ms, issued_at) = match self.advisor.times {
                Some(times) => (times.valid_ms, reply_at),
                None => (self.rng.random_range(400..4_000), now),
            };
            let named = workers.into_iter().filter(|id| {
                let mut known = self.workers.iter();
                known.any(|worker| worker.info.id == *id && is_eligible(step, &worker.info))
            });
            // The text holds what the worker checks: itself and the end of the ticket.
            let tickets = named.map(|id| {
                let text = format!("{id} {}", issued_at + valid_ms);
                (id, text.into())
            });
            let advice = Advice {
                tickets: tickets.collect(),
                valid_for: Millis(valid_ms),
            };
            let reply = match is_failed {
                _ if is_rejected => AdviceReply::Overloaded,
                true => AdviceReply::Failed,
                false => AdviceReply::Answered(advice),
            };
            self.inputs.push(Input::AdviceReply { call, reply });
        }
    }

    /// Lets the service handle requests in turn, with these times.
    pub(crate) fn set_advice_times(&mut self, times: AdviceTimes) {
        self.advisor.times = Some(times);
    }

    /// Returns the times of a service that handles requests in turn.
    pub(crate) fn advice_times(&self) -> Option<AdviceTimes> {
        self.advisor.times
    }
}

/// Returns whether the advice service lets a worker run a step. The decision never changes.
pub(crate) fn is_eligible(step: StepId, worker: &WorkerInfo) -> bool {
    let mix = |seed: u64, part: u64| (seed ^ part).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 7;
    let job = mix(step.job.0, u64::from(step.step));
    let of_worker = worker
        .id
        .bytes()
        .fold(job, |seed, byte| mix(seed, u64::from(byte)));
    job % 100 >= REJECTED_STEP_PERCENT && mix(of_worker, 1) % 100 < ELIGIBLE_PERCENT
}

/// Returns whether a worker accepts a ticket.
pub(super) fn is_valid_ticket(ticket: &str, worker: &str, now: u64) -> bool {
    ticket.split_once(' ').is_some_and(|(id, until)| {
        id == worker && until.parse().is_ok_and(|until: u64| now <= until)
    })
}

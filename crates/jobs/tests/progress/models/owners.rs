//! The owner of the model, its store, and the services that it calls.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    Advice, AdviceReply, Input, Output, Owner, OwnerOptions, Record, StepId, StoredRecords,
    WorkerInfo,
};
use rand::Rng;

use super::{CLOCK_ORIGIN, LOG_LINES, Model};

/// Share of the workers that may run a step that needs tickets, in percent.
const ELIGIBLE_PERCENT: u64 = 70;
/// Share of the steps that need tickets that no worker may run, in percent.
const REJECTED_STEP_PERCENT: u64 = 10;

/// Request for advice that the service has not answered.
#[derive(Debug)]
pub(super) struct AdviceCall {
    call: u64,
    reply_at: u64,
    step: StepId,
    workers: Vec<Arc<str>>,
}

/// Faults of the store and of the services that the owner calls.
#[derive(Debug, Default)]
pub(crate) struct Outages {
    /// Time until which the ownership is not confirmed.
    pub(crate) unconfirmed_until: u64,
    /// Time that the store takes for a write.
    pub(crate) write_ms: u64,
    /// Share of advice requests that fail.
    pub(crate) failed_advice: f64,
}

impl Model {
    pub(super) fn start_owner(&mut self) {
        if self.owner.is_some() || self.now < self.owner_at {
            return;
        }
        self.epoch += 1;
        let options = OwnerOptions {
            epoch: self.epoch,
            acquired_at: Millis(self.now),
            clock_origin: CLOCK_ORIGIN,
            max_lease: Millis(10_000),
            max_record_bytes: 262_143,
        };
        let stored: StoredRecords = self
            .store
            .iter()
            .map(|(key, value)| (key.clone(), value.clone()))
            .collect();
        let (owner, errors) = Owner::new(Millis(self.now), options, &stored);
        assert!(errors.is_empty(), "{errors:?}");
        self.owner = Some(owner);
        self.inputs
            .push(Input::Policy(Arc::new(self.policy.clone())));
    }

    pub(super) fn tick(&mut self) {
        self.answer_advice();
        let now = Millis(self.now);
        let Some(mut owner) = self.owner.take() else {
            return;
        };
        let mut inputs = std::mem::take(&mut self.inputs);
        if self.now >= self.outages.unconfirmed_until {
            inputs.push(Input::OwnershipRenewed(now));
        }
        let outputs = owner.tick(now, inputs);
        self.owner = Some(owner);
        self.apply(outputs);
    }

    pub(super) fn store_writes(&mut self) {
        while let Some((_, _, due_at)) = self.writes.front()
            && *due_at <= self.now
            && let Some((number, records, _)) = self.writes.pop_front()
        {
            self.store_records(records);
            let Some(mut owner) = self.owner.take() else {
                return;
            };
            let outputs = owner.tick(Millis(self.now), vec![Input::WriteCompleted(number)]);
            self.owner = Some(owner);
            self.apply(outputs);
        }
    }

    fn store_records(&mut self, records: Vec<Record>) {
        for record in records {
            match record.value {
                Some(value) => self.store.insert(record.key.text(), value),
                None => self.store.remove(&record.key.text()),
            };
        }
    }

    fn apply(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Write { number, records } => {
                    let due_at = self.now + self.outages.write_ms;
                    self.writes.push_back((number, records, due_at));
                }
                Output::Response(request, response) => self.respond(request, &response),
                Output::Orders { session, orders } => self.deliver(session, orders),
                Output::Acknowledge { session, number } => {
                    let worker = self.session_worker(session);
                    if let Some(worker) = worker {
                        worker.ends.retain(|end| end.number > number);
                    }
                }
                Output::CloseSession(session) => {
                    let at = self.now + 100;
                    if let Some(worker) = self.session_worker(session) {
                        worker.session = None;
                        worker.attach_at = at;
                    }
                }
                Output::Log(text) => {
                    self.logs.push_back((self.now, text));
                    if self.logs.len() > LOG_LINES {
                        self.logs.pop_front();
                    }
                }
                Output::RequestAdvice {
                    call,
                    step,
                    workers,
                    timeout: _,
                } => self.take_advice_call(call, step, workers),
                Output::LostTime { .. }
                | Output::CrashedRun { .. }
                | Output::ListMachines
                | Output::StartMaintenance { .. }
                | Output::WaveStatus { .. } => {}
            }
        }
    }

    /// Takes up a request for advice. One in twenty is answered late.
    fn take_advice_call(&mut self, call: u64, step: StepId, workers: Vec<Arc<str>>) {
        let delay_ms = match self.rng.random_bool(0.05) {
            true => self.rng.random_range(150..1_000),
            false => self.rng.random_range(10..100),
        };
        self.advice_calls.push(AdviceCall {
            call,
            reply_at: self.now + delay_ms,
            step,
            workers,
        });
    }

    fn answer_advice(&mut self) {
        let now = self.now;
        let calls = std::mem::take(&mut self.advice_calls);
        let (due, later) = calls.into_iter().partition(|call| call.reply_at <= now);
        self.advice_calls = later;
        let due: Vec<AdviceCall> = due;
        for AdviceCall {
            call,
            step,
            workers,
            ..
        } in due
        {
            let is_failed = self.rng.random_bool(self.outages.failed_advice);
            let valid_ms = self.rng.random_range(400..4_000);
            let named = workers.into_iter().filter(|id| {
                let mut known = self.workers.iter();
                known.any(|worker| worker.info.id == *id && is_eligible(step, &worker.info))
            });
            // The text holds what the worker checks: itself and the end of the ticket.
            let tickets = named.map(|id| {
                let text = format!("{id} {}", now + valid_ms);
                (id, text.into())
            });
            let advice = Advice {
                tickets: tickets.collect(),
                valid_for: Millis(valid_ms),
            };
            let reply = match is_failed {
                true => AdviceReply::Failed,
                false => AdviceReply::Answered(advice),
            };
            self.inputs.push(Input::AdviceReply { call, reply });
        }
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

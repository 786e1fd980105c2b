//! The owner of the model, its store, and the services that it calls.

use std::sync::Arc;

use super::{CLOCK_ORIGIN, LOG_LINES, Model};
use hyssop_core::Millis;
use hyssop_jobs::{Input, Output, Owner, OwnerOptions, Record, StoredRecords};

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
                    timeout,
                } => self.take_advice_call(call, step, workers, timeout),
                Output::LostTime { .. }
                | Output::CrashedRun { .. }
                | Output::LateStartWait { .. }
                | Output::ListMachines
                | Output::StartMaintenance { .. }
                | Output::WaveStatus { .. } => {}
            }
        }
    }
}

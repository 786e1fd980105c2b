//! Test fixture: an owner with an in-memory store, driven by explicit inputs.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    AdviceReply, CallerRequest, CallerResponse, EndKind, Error, Input, JobId, JobSpec, JobState,
    LateStartCause, Order, Output, Owner, OwnerOptions, Policy, QueueRule, RenewalProof, Report,
    Resources, RunEnd, RunId, RunStatus, StepId, StepSpec, StoredRecords, WorkerInfo, WorkerState,
};

/// Job used by most tests.
pub(crate) const JOB: JobId = JobId(0xaa);

/// Request for advice.
#[derive(Clone, Debug)]
pub(crate) struct AdviceCall {
    pub(crate) call: u64,
    pub(crate) step: StepId,
    pub(crate) workers: Vec<Arc<str>>,
    pub(crate) timeout: Millis,
}

/// Owner, its store, and the outputs that tests inspect.
pub(crate) struct Fleet {
    pub(crate) owner: Owner,
    pub(crate) now: u64,
    /// Stored records by key.
    pub(crate) store: BTreeMap<String, Vec<u8>>,
    /// Whether the store completes writes.
    pub(crate) is_store_up: bool,
    /// Keys whose records the store refuses for good.
    pub(crate) refused_keys: BTreeSet<String>,
    /// Orders by session.
    pub(crate) orders: BTreeMap<u64, Vec<Order>>,
    /// Highest acknowledged end of a run, by session.
    pub(crate) acknowledged_ends: BTreeMap<u64, u64>,
    /// Responses to callers, by request.
    pub(crate) responses: BTreeMap<u64, CallerResponse>,
    /// Number of requests for the list of machines.
    pub(crate) list_count: u32,
    /// Maintenance orders as (wave, machine).
    pub(crate) shutdowns: Vec<(u64, Arc<str>)>,
    /// Proof of the ownership that came with the last maintenance order.
    pub(crate) last_proof: Option<RenewalProof>,
    /// Last reported status by wave: whether it is complete.
    pub(crate) wave_statuses: BTreeMap<u64, bool>,
    /// Advice requests.
    pub(crate) advice_calls: Vec<AdviceCall>,
    /// Number of the newest advice request by step.
    newest_advice: BTreeMap<StepId, u64>,
    /// Time that each ended job has lost, by cause.
    pub(crate) lost_times: Vec<Vec<(&'static str, Millis)>>,
    /// Waits of tasks for starts that might still have been executed.
    pub(crate) late_start_waits: Vec<(LateStartCause, Millis)>,
    /// Log lines.
    pub(crate) logs: Vec<String>,
    pending_writes: Vec<(u64, Vec<hyssop_jobs::Record>)>,
}

/// Returns rules of a queue that allows this number of attempts.
/// Longest lease of the workers in milliseconds, on the slowest clock that they may have.
pub(crate) const LONGEST_LEASE: u64 = 10_000 * 100 / 98;

pub(crate) fn rule(attempts: u32) -> QueueRule {
    QueueRule {
        name: "queue".into(),
        service: "planner".into(),
        priority: 0,
        attempts,
        stretch: 1.5,
        margin_ms: 250,
        needs_tickets: false,
    }
}

/// Returns a step of tasks that request half a core each.
pub(crate) fn step(count: u32, after: &[u16]) -> StepSpec {
    StepSpec {
        count,
        resources: Resources {
            cpu: 500,
            mem: 100,
            gpu: 0,
        },
        estimate: Millis(500),
        after: after.to_vec(),
        ..StepSpec::default()
    }
}

/// Returns a job with these steps and no schedule.
pub(crate) fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "text".into(),
        steps,
        schedule: None,
    }
}

/// Returns the description of a ready worker with 16 cores.
pub(crate) fn worker(id: &str, incarnation: u64) -> WorkerInfo {
    WorkerInfo {
        id: id.into(),
        incarnation,
        address: format!("{id}:8080").into(),
        service: "planner".into(),
        domain: "bergen-a".into(),
        labels: vec!["a".into(), "r1".into()],
        capacity: Resources {
            cpu: 16_000,
            mem: 64_000,
            gpu: 0,
        },
        state: WorkerState::Ready,
    }
}

/// Returns the status of an active run.
pub(crate) fn run_status(run: RunId) -> RunStatus {
    RunStatus {
        run,
        checkpoint: None,
        percent_done: 100,
        measurement: 0,
    }
}

/// Returns the end of a run.
pub(crate) fn run_end(number: u64, run: RunId, kind: EndKind) -> RunEnd {
    RunEnd {
        number,
        run,
        kind,
        checkpoint: None,
    }
}

/// Returns a report that lists only these ends.
pub(crate) fn ends_report(ended: Vec<RunEnd>) -> Report {
    Report {
        ended,
        ..Report::default()
    }
}

/// Returns a complete report.
pub(crate) fn complete_report(running: Vec<RunStatus>, ended: Vec<RunEnd>) -> Report {
    Report {
        running: Some(running),
        is_complete: true,
        ended,
        ..Report::default()
    }
}

impl Fleet {
    /// Creates the first owner with an empty store.
    pub(crate) fn new() -> Self {
        Self::with_epoch(1, BTreeMap::new(), 10_000)
    }

    /// Creates the owner of an epoch from stored records.
    pub(crate) fn with_epoch(epoch: u64, store: BTreeMap<String, Vec<u8>>, now: u64) -> Self {
        let (fleet, errors) = Self::with_odd_records(epoch, store, now);
        assert!(errors.is_empty(), "{errors:?}");
        fleet
    }

    /// Creates the owner of an epoch from stored records, and returns the errors of those that
    /// cannot be read.
    pub(crate) fn with_odd_records(
        epoch: u64,
        store: BTreeMap<String, Vec<u8>>,
        now: u64,
    ) -> (Self, Vec<Error>) {
        let stored: StoredRecords = store.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        let options = OwnerOptions {
            epoch,
            acquired_at: Millis(now),
            clock_origin: 1_000_000,
            max_lease: Millis(10_000),
            max_record_bytes: 262_143,
        };
        let (owner, errors) = Owner::new(Millis(now), options, &stored);
        let mut fleet = Self {
            owner,
            now,
            store,
            is_store_up: true,
            refused_keys: BTreeSet::new(),
            orders: BTreeMap::new(),
            acknowledged_ends: BTreeMap::new(),
            responses: BTreeMap::new(),
            list_count: 0,
            shutdowns: Vec::new(),
            last_proof: None,
            wave_statuses: BTreeMap::new(),
            advice_calls: Vec::new(),
            newest_advice: BTreeMap::new(),
            lost_times: Vec::new(),
            late_start_waits: Vec::new(),
            logs: Vec::new(),
            pending_writes: Vec::new(),
        };
        let mut policy = Policy {
            version: 1,
            ..Policy::default()
        };
        policy.queues.insert("queue".into(), Arc::new(rule(2)));
        fleet.step(vec![
            Input::Policy(Arc::new(policy)),
            Input::OwnershipRenewed(Millis(now)),
        ]);
        (fleet, errors)
    }

    /// Creates the next owner from the records stored so far.
    pub(crate) fn successor(&self, epoch: u64) -> Self {
        Self::with_epoch(epoch, self.store.clone(), self.now)
    }

    /// Advances the clock by 1 ms and applies the inputs. Completes all writes if the store is up.
    pub(crate) fn step(&mut self, inputs: Vec<Input>) {
        self.now += 1;
        let outputs = self.owner.tick(Millis(self.now), inputs);
        self.apply_outputs(outputs);
        while self.is_store_up && !self.pending_writes.is_empty() {
            let (number, records) = self.pending_writes.remove(0);
            let mut refused = Vec::new();
            for record in records {
                let key = record.key.text();
                match record.value {
                    _ if self.refused_keys.contains(&key) => {
                        refused.push(record.key);
                        continue;
                    }
                    Some(value) => self.store.insert(key, value),
                    None => self.store.remove(&key),
                };
            }
            let written = match refused.is_empty() {
                true => Input::WriteCompleted(number),
                false => Input::WriteRefused { number, refused },
            };
            let outputs = self.owner.tick(Millis(self.now), vec![written]);
            self.apply_outputs(outputs);
        }
    }

    fn apply_outputs(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Write { number, records } => self.pending_writes.push((number, records)),
                Output::Response(request_id, response) => {
                    self.responses.insert(request_id, response);
                }
                Output::Orders { session, orders } => {
                    self.orders.entry(session).or_default().extend(orders);
                }
                Output::Acknowledge { session, number } => {
                    self.acknowledged_ends.insert(session, number);
                }
                Output::RequestAdvice {
                    call,
                    step,
                    workers,
                    timeout,
                } => {
                    self.newest_advice.insert(step, call);
                    self.advice_calls.push(AdviceCall {
                        call,
                        step,
                        workers,
                        timeout,
                    });
                }
                Output::ListMachines => self.list_count += 1,
                Output::StartMaintenance {
                    wave,
                    machine,
                    proof,
                } => {
                    self.shutdowns.push((wave, machine));
                    self.last_proof = Some(proof);
                }
                Output::WaveStatus { wave, is_complete } => {
                    self.wave_statuses.insert(wave, is_complete);
                }
                Output::LostTime { queue: _, lost } => self.lost_times.push(lost),
                Output::Log(text) => self.logs.push(text),
                Output::LateStartWait { cause, time } => self.late_start_waits.push((cause, time)),
                Output::CrashedRun { .. } | Output::CloseSession(_) => {}
            }
        }
    }

    /// Replies to the newest advice request on a step.
    pub(crate) fn reply_advice(&mut self, step: StepId, reply: AdviceReply) {
        self.reply_call(self.newest_advice[&step], reply);
    }

    /// Replies to an advice request.
    pub(crate) fn reply_call(&mut self, call: u64, reply: AdviceReply) {
        self.step(vec![Input::AdviceReply { call, reply }]);
    }

    /// Advances the clock in steps of 100 ms, confirming the ownership and renewing the leases of
    /// the sessions.
    pub(crate) fn advance(&mut self, millis: u64, sessions: &[u64]) {
        for _ in 0..millis.div_ceil(100) {
            self.advance_by(100, sessions);
        }
    }

    /// Advances the clock once, confirming the ownership and renewing the leases of the sessions.
    pub(crate) fn advance_by(&mut self, millis: u64, sessions: &[u64]) {
        self.now += millis;
        for &session in sessions {
            self.owner.renew_lease(Millis(self.now), session);
        }
        self.step(vec![Input::OwnershipRenewed(Millis(self.now))]);
    }

    /// Opens a session for a worker and sends its first report.
    pub(crate) fn connect(&mut self, session: u64, info: WorkerInfo, report: Report) {
        self.step(vec![Input::Attach {
            session,
            worker: info,
        }]);
        self.step(vec![Input::Report { session, report }]);
        self.step(vec![]);
    }

    /// Sends a report in a session.
    pub(crate) fn report(&mut self, session: u64, report: Report) {
        self.step(vec![Input::Report { session, report }]);
    }

    /// Lists the runs that a session's worker is ordered to start, without removing the orders.
    pub(crate) fn list_started(&mut self, session: u64) {
        let orders = self.orders.get(&session).into_iter().flatten();
        let started = orders.filter_map(|order| match order {
            Order::Start(start) => Some(run_status(start.run)),
            Order::Stop(_) | Order::Pace(..) | Order::Canary(_) => None,
        });
        let running = Some(started.collect());
        self.report(
            session,
            Report {
                running,
                ..Report::default()
            },
        );
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, id: JobId, rule: QueueRule, spec: JobSpec) {
        let request_id = self.responses.len() as u64 + 1_000;
        self.step(vec![Input::Request(
            request_id,
            CallerRequest::Submit {
                job: id,
                rule,
                spec,
            },
        )]);
    }

    /// Sends a request and returns the response, if there is one already.
    pub(crate) fn request(&mut self, request: CallerRequest) -> Option<CallerResponse> {
        self.responses.remove(&1);
        self.step(vec![Input::Request(1, request)]);
        self.responses.get(&1).cloned()
    }

    /// Returns the state of a job as reported to callers.
    pub(crate) fn state(&mut self, id: JobId) -> Option<JobState> {
        match self.request(CallerRequest::Show(id)) {
            Some(CallerResponse::State(state)) => Some(state),
            _ => None,
        }
    }

    /// Removes all orders of a session and returns the runs that they start.
    pub(crate) fn take_started(&mut self, session: u64) -> Vec<RunId> {
        let orders = self.orders.remove(&session).unwrap_or_default();
        let start = |order| match order {
            Order::Start(start) => Some(start.run),
            Order::Stop(_) | Order::Pace(..) | Order::Canary(_) => None,
        };
        orders.into_iter().filter_map(start).collect()
    }

    /// Removes all orders of a session and returns the runs that they stop.
    pub(crate) fn take_stopped(&mut self, session: u64) -> Vec<RunId> {
        let orders = self.orders.remove(&session).unwrap_or_default();
        let stop = |order| match order {
            Order::Stop(run) => Some(run),
            Order::Start(_) | Order::Pace(..) | Order::Canary(_) => None,
        };
        orders.into_iter().filter_map(stop).collect()
    }
}

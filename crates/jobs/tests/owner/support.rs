//! An owner, its store and its workers, driven by hand.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    CallerRequest, CallerResponse, EndKind, Input, JobId, JobSpec, JobState, Order, Output, Owner,
    OwnerOptions, Policy, QueueRule, Report, Resources, RunEnd, RunId, RunStatus, StepId, StepSpec,
    StoredRecords, WorkerInfo, WorkerState,
};

/// Job of most tests.
pub(crate) const JOB: JobId = JobId(0xaa);

/// An owner with what it stores.
pub(crate) struct Fleet {
    pub(crate) owner: Owner,
    pub(crate) now: u64,
    /// Records by key, as the store has them.
    pub(crate) store: BTreeMap<String, Vec<u8>>,
    /// Whether the store takes writes.
    pub(crate) store_up: bool,
    /// Orders by session.
    pub(crate) orders: BTreeMap<u64, Vec<Order>>,
    /// Ends that workers may forget, by session.
    pub(crate) acknowledged: BTreeMap<u64, u64>,
    /// Answers by tag.
    pub(crate) answers: BTreeMap<u64, CallerResponse>,
    /// How often the machines were to be listed.
    pub(crate) lists: u32,
    /// Machines that were to go down: wave and name.
    pub(crate) upkeeps: Vec<(u64, Arc<str>)>,
    /// Waves, and whether they are complete.
    pub(crate) statuses: BTreeMap<u64, bool>,
    /// Questions for advice: step and workers.
    pub(crate) questions: Vec<(StepId, Vec<Arc<str>>)>,
    waiting: Vec<(u64, Vec<hyssop_jobs::Record>)>,
}

/// Returns the rules of a queue.
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

/// Returns a step of tasks of half a core.
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

/// Returns a job of these steps.
pub(crate) fn job(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        payload: "text".into(),
        steps,
        schedule: None,
    }
}

/// Returns a worker of 16 cores.
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

/// Returns the row of a run.
pub(crate) fn row(run: RunId) -> RunStatus {
    RunStatus {
        run,
        checkpoint: None,
        percent_done: 100,
        measurement: 0,
    }
}

/// Returns the end of a run.
pub(crate) fn end(number: u64, run: RunId, kind: EndKind) -> RunEnd {
    RunEnd {
        number,
        run,
        kind,
        checkpoint: None,
    }
}

/// Returns a report of ends.
pub(crate) fn ends(ended: Vec<RunEnd>) -> Report {
    Report {
        ended,
        ..Report::default()
    }
}

/// Returns a complete report.
pub(crate) fn complete(running: Vec<RunStatus>, ended: Vec<RunEnd>) -> Report {
    Report {
        running: Some(running),
        is_complete: true,
        ended,
        ..Report::default()
    }
}

impl Fleet {
    /// Creates the first owner.
    pub(crate) fn new() -> Self {
        Self::with_epoch(1, BTreeMap::new(), 10_000)
    }

    /// Creates the owner of an epoch from a store.
    pub(crate) fn with_epoch(epoch: u64, store: BTreeMap<String, Vec<u8>>, now: u64) -> Self {
        let stored: StoredRecords = store.iter().map(|(k, v)| (k.clone(), v.clone())).collect();
        let options = OwnerOptions {
            epoch,
            acquired_at: Millis(now),
            clock_origin: 1_000_000,
        };
        let (owner, errors) = Owner::new(Millis(now), options, &stored);
        assert!(errors.is_empty(), "{errors:?}");
        let mut fleet = Self {
            owner,
            now,
            store,
            store_up: true,
            orders: BTreeMap::new(),
            acknowledged: BTreeMap::new(),
            answers: BTreeMap::new(),
            lists: 0,
            upkeeps: Vec::new(),
            statuses: BTreeMap::new(),
            questions: Vec::new(),
            waiting: Vec::new(),
        };
        let mut policy = Policy {
            version: 1,
            ..Policy::default()
        };
        policy.queues.insert("queue".into(), Arc::new(rule(2)));
        fleet.step(vec![Input::Policy(Arc::new(policy))]);
        fleet
    }

    /// Creates the owner that takes over.
    pub(crate) fn taken_over(&self, epoch: u64) -> Self {
        Self::with_epoch(epoch, self.store.clone(), self.now)
    }

    /// Lets a millisecond pass and takes in what happened, writes included.
    pub(crate) fn step(&mut self, inputs: Vec<Input>) {
        self.now += 1;
        let outputs = self.owner.tick(Millis(self.now), inputs);
        self.take(outputs);
        while self.store_up && !self.waiting.is_empty() {
            let (number, records) = self.waiting.remove(0);
            for record in records {
                match record.value {
                    Some(value) => self.store.insert(record.key.text(), value),
                    None => self.store.remove(&record.key.text()),
                };
            }
            let outputs = self
                .owner
                .tick(Millis(self.now), vec![Input::WriteCompleted(number)]);
            self.take(outputs);
        }
    }

    fn take(&mut self, outputs: Vec<Output>) {
        for output in outputs {
            match output {
                Output::Write { number, records } => self.waiting.push((number, records)),
                Output::Response(tag, answer) => {
                    self.answers.insert(tag, answer);
                }
                Output::Orders { session, orders } => {
                    self.orders.entry(session).or_default().extend(orders);
                }
                Output::Acknowledge { session, number } => {
                    self.acknowledged.insert(session, number);
                }
                Output::RequestAdvice { step, workers } => self.questions.push((step, workers)),
                Output::ListMachines => self.lists += 1,
                Output::StartMaintenance { wave, machine } => self.upkeeps.push((wave, machine)),
                Output::WaveStatus { wave, is_complete } => {
                    self.statuses.insert(wave, is_complete);
                }
                Output::CloseSession(_) | Output::Log(_) => {}
            }
        }
    }

    /// Lets time pass with an ownership that stays proved and leases that stay extended.
    pub(crate) fn pass(&mut self, millis: u64, sessions: &[u64]) {
        for _ in 0..millis.div_ceil(100) {
            self.now += 100;
            for &session in sessions {
                self.owner.renew_lease(Millis(self.now), session);
            }
            self.step(vec![Input::OwnershipConfirmed(Millis(self.now))]);
        }
    }

    /// Attaches a worker that reports completely.
    pub(crate) fn attach(&mut self, session: u64, info: WorkerInfo, report: Report) {
        self.step(vec![Input::Attach {
            session,
            worker: info,
        }]);
        self.step(vec![Input::Report { session, report }]);
        self.step(vec![]);
    }

    /// Reports of a worker.
    pub(crate) fn report(&mut self, session: u64, report: Report) {
        self.step(vec![Input::Report { session, report }]);
    }

    /// Submits a job.
    pub(crate) fn submit(&mut self, id: JobId, rule: QueueRule, spec: JobSpec) {
        let tag = self.answers.len() as u64 + 1_000;
        self.step(vec![Input::Request(
            tag,
            CallerRequest::Submit {
                job: id,
                rule,
                spec,
            },
        )]);
    }

    /// Returns the answer to a request.
    pub(crate) fn ask(&mut self, ask: CallerRequest) -> Option<CallerResponse> {
        self.answers.remove(&1);
        self.step(vec![Input::Request(1, ask)]);
        self.answers.get(&1).cloned()
    }

    /// Returns the state of a job.
    pub(crate) fn state(&mut self, id: JobId) -> Option<JobState> {
        match self.ask(CallerRequest::Show(id)) {
            Some(CallerResponse::State(state)) => Some(state),
            _ => None,
        }
    }

    /// Takes the runs that were ordered to start on a session since the last call.
    pub(crate) fn started(&mut self, session: u64) -> Vec<RunId> {
        let orders = self.orders.remove(&session).unwrap_or_default();
        let start = |order| match order {
            Order::Start(start) => Some(start.run),
            Order::Stop(_) | Order::Pace(..) => None,
        };
        orders.into_iter().filter_map(start).collect()
    }

    /// Takes the runs that were ordered to stop on a session since the last call.
    pub(crate) fn stopped(&mut self, session: u64) -> Vec<RunId> {
        let orders = self.orders.remove(&session).unwrap_or_default();
        let stop = |order| match order {
            Order::Stop(run) => Some(run),
            Order::Start(_) | Order::Pace(..) => None,
        };
        orders.into_iter().filter_map(stop).collect()
    }
}

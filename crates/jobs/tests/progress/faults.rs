//! Random faults of workers, the store and the owner, and changes by operators.

use hyssop_jobs::{JobId, QueueRule, Resources, WorkerState};
use rand::Rng;
use rand::rngs::StdRng;
use std::sync::Arc;

use crate::loads::worker;
use crate::models::{Health, Model};
use crate::scenarios::Scenario;

/// Names of the failure domains.
pub(crate) const DOMAINS: [&str; 3] = ["bergen-a", "bergen-b", "forde"];
/// Service to which operators move queues.
pub(crate) const OTHER_SERVICE: &str = "analyst";

/// Time of a run from which faults that last begin.
const LASTING_FROM_MS: u64 = 4_000;
/// Time by which they have begun: early enough that leases end and new owners know it before the
/// check.
const LASTING_UNTIL_MS: u64 = 14_000;

/// Event that follows from an earlier fault or change.
#[derive(Clone, Debug)]
enum Event {
    /// A fault that lasts begins.
    Begin(usize, Health),
    /// The owner is replaced.
    ReplaceOwner,
    /// The store takes no time for a write.
    HealStore,
    /// A worker that has drained leaves.
    Leave(usize),
    /// A frozen worker answers again.
    Resume(usize),
    /// A worker has its full capacity again.
    Grow(usize),
    /// Operators open a failure domain.
    Open(&'static str),
}

/// Faults of one run.
#[derive(Debug, Default)]
pub(crate) struct Faults {
    /// Workers whose faults last to the end of the run.
    lasting: Vec<usize>,
    /// Times of further events.
    events: Vec<(u64, Event)>,
}

impl Faults {
    /// Chooses the workers whose faults will last.
    pub(crate) fn new(scenario: &Scenario, model: &Model, rng: &mut StdRng) -> Self {
        let now = model.now;
        let (mut lasting, mut events) = (Vec::new(), Vec::new());
        if !scenario.lasting.is_empty() {
            let first = rng.random_range(0..3);
            for index in (first..model.workers.len()).step_by(3) {
                let health = scenario.lasting[rng.random_range(0..scenario.lasting.len())];
                let begins_at = now + rng.random_range(LASTING_FROM_MS..LASTING_UNTIL_MS);
                lasting.push(index);
                events.push((begins_at, Event::Begin(index, health)));
            }
        }
        Self { lasting, events }
    }

    /// Ends all faults that do not last.
    pub(crate) fn end(&mut self, model: &mut Model) {
        for index in 0..model.workers.len() {
            if !self.is_lasting(index) {
                model.set_health(index, Health::Good);
            }
        }
        model.outages.unconfirmed_until = 0;
        model.outages.write_ms = 0;
        self.events
            .retain(|(_, event)| matches!(event, Event::Leave(_) | Event::Open(_)));
    }

    fn is_lasting(&self, index: usize) -> bool {
        self.lasting.contains(&index)
    }

    /// Plays the events that are due.
    pub(crate) fn advance(&mut self, model: &mut Model) {
        let now = model.now;
        let events = std::mem::take(&mut self.events);
        let (due, later): (Vec<_>, Vec<_>) = events.into_iter().partition(|(at, _)| *at <= now);
        self.events = later;
        for (_, event) in due {
            match event {
                Event::Begin(index, health) => model.set_health(index, health),
                Event::ReplaceOwner => model.replace_owner(100),
                Event::HealStore => model.outages.write_ms = 0,
                Event::Leave(index) => model.lose_worker(index, None),
                Event::Grow(index) => {
                    let capacity = model.workers[index].full_capacity;
                    model.set_capacity(index, capacity);
                }
                Event::Resume(index) => model.set_health(index, Health::Good),
                Event::Open(domain) => model.change_policy(|policy| {
                    policy.closed_domains.remove(domain);
                }),
            }
        }
    }

    /// Injects a fault of a worker or of the owner, or cancels a job.
    pub(crate) fn inject(&mut self, model: &mut Model, scenario: &Scenario, rng: &mut StdRng) {
        let index = rng.random_range(0..model.workers.len());
        if self.is_lasting(index) || !model.workers[index].is_alive {
            return;
        }
        match rng.random_range(0..10) {
            0 if scenario.has_takeovers => model.replace_owner(rng.random_range(50..2_500)),
            0 | 1 => model.lose_worker(index, Some(rng.random_range(100..3_000))),
            2 => model.set_health(index, Health::Failing),
            3 => model.set_health(index, Health::Hanging),
            4 => model.set_health(index, Health::Refusing),
            5 => model.set_health(index, Health::CutOff),
            6 => {
                let open: Vec<JobId> = model.jobs.keys().copied().collect();
                if !open.is_empty() {
                    model.cancel(open[rng.random_range(0..open.len())]);
                }
            }
            _ => model.set_health(index, Health::Good),
        }
    }

    /// Lets a worker stop answering its agent for some time.
    pub(crate) fn freeze(&mut self, model: &mut Model, rng: &mut StdRng) {
        let index = rng.random_range(0..model.workers.len());
        if !self.is_lasting(index) {
            model.set_health(index, Health::Frozen);
            let at = model.now + rng.random_range(200..9_000);
            self.events.push((at, Event::Resume(index)));
        }
    }

    /// Lets the capacity of a worker shrink, in most cases for some time, or return to what it was.
    pub(crate) fn resize(&mut self, model: &mut Model, rng: &mut StdRng) {
        let index = rng.random_range(0..model.workers.len());
        if rng.random_bool(0.2) {
            self.events.push((model.now, Event::Grow(index)));
            return;
        }
        let full = model.workers[index].full_capacity;
        let mut shrink = |amount: u64| amount * rng.random_range(0..5) / 4;
        let capacity = Resources {
            cpu: shrink(full.cpu),
            mem: shrink(full.mem),
            gpu: full.gpu,
        };
        model.set_capacity(index, capacity);
        if rng.random_bool(0.8) {
            let grows_at = model.now + rng.random_range(300..8_000);
            self.events.push((grows_at, Event::Grow(index)));
        }
    }

    /// Stops the confirmations of the ownership, slows the store down, or replaces the owner
    /// several times in a row.
    pub(crate) fn begin_outage(&mut self, model: &mut Model, rng: &mut StdRng) {
        let now = model.now;
        match rng.random_range(0..3) {
            0 => model.outages.unconfirmed_until = now + rng.random_range(1_000..8_000),
            1 => {
                model.outages.write_ms = rng.random_range(500..4_000);
                let end = now + rng.random_range(1_000..8_000);
                self.events.push((end, Event::HealStore));
            }
            _ => {
                let mut at = now;
                for _ in 0..rng.random_range(2..6) {
                    at += rng.random_range(100..2_500);
                    self.events.push((at, Event::ReplaceOwner));
                }
            }
        }
    }

    /// Loses a worker for good, if most are left.
    pub(crate) fn lose(&mut self, model: &mut Model, rng: &mut StdRng) {
        let index = rng.random_range(0..model.workers.len());
        let alive = model.workers.iter().filter(|worker| worker.is_alive);
        if model.workers[index].is_alive && alive.count() * 3 > model.workers.len() * 2 {
            model.lose_worker(index, None);
        }
    }

    /// Lets operators change the settings or the workers.
    pub(crate) fn change(&mut self, model: &mut Model, rng: &mut StdRng) {
        let now = model.now;
        match rng.random_range(0..5) {
            0 => {
                let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
                model.change_policy(|policy| {
                    policy.closed_domains.insert(domain.into());
                });
                let opened_at = now + rng.random_range(1_000..12_000);
                self.events.push((opened_at, Event::Open(domain)));
            }
            1 => change_queue(model, rng, |rule, _| {
                rule.service = match &*rule.service {
                    OTHER_SERVICE => "planner".into(),
                    _ => OTHER_SERVICE.into(),
                };
            }),
            2 => change_queue(model, rng, |rule, rng| {
                rule.attempts = rng.random_range(1..6);
            }),
            3 => {
                let index = rng.random_range(0..model.workers.len());
                model.set_state(index, WorkerState::Draining);
                match rng.random_bool(0.3) {
                    true => model.set_state(index, WorkerState::Ready),
                    false => {
                        let left_at = now + rng.random_range(1_000..10_000);
                        self.events.push((left_at, Event::Leave(index)));
                    }
                }
            }
            _ => {
                let info = worker(model.workers.len(), rng);
                model.add_worker(info);
            }
        }
    }
}

fn change_queue(
    model: &mut Model,
    rng: &mut StdRng,
    change: impl FnOnce(&mut QueueRule, &mut StdRng),
) {
    let names: Vec<Arc<str>> = model.policy.queues.keys().cloned().collect();
    let name = &names[rng.random_range(0..names.len())];
    model.change_policy(|policy| {
        if let Some(rule) = policy.queues.get_mut(name) {
            change(Arc::make_mut(rule), rng);
        }
    });
}

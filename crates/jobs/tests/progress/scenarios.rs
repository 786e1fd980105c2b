//! Random fleets, jobs and faults.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    JobId, JobSpec, Policy, QueueRule, Resources, StepSpec, WorkerInfo, WorkerState,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::checks::Checker;
use crate::models::{Health, Model};

/// Time for which jobs are submitted.
const LOAD_MS: u64 = 20_000;
/// Time after the last fault from which the promise holds.
const CALM_MS: u64 = 4_000;
/// Time for which the promise is checked.
const CHECKED_MS: u64 = 20_000;

/// Load and faults of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    /// Workers of the fleet.
    pub(crate) workers: usize,
    /// Mean number of best-effort jobs a second.
    pub(crate) best_effort: f64,
    /// Mean number of urgent jobs a second.
    pub(crate) urgent: f64,
    /// Number of service jobs.
    pub(crate) services: u64,
    /// Share of gangs among the urgent jobs.
    pub(crate) gangs: f64,
    /// Share of the pairs of images that interfere strongly.
    pub(crate) heavy: f64,
    /// Share of jobs of which every run fails.
    pub(crate) poisoned: f64,
    /// Mean number of faults a second.
    pub(crate) faults: f64,
    /// Whether the owner is replaced now and then.
    pub(crate) has_takeovers: bool,
}

/// Plays a scenario and returns the violations, one description each.
pub(crate) fn play(scenario: &Scenario, seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let workers = (0..scenario.workers)
        .map(|index| worker(index, &mut rng))
        .collect();
    let mut model = Model::new(seed ^ 1, workers, policy());
    for service in 0..5 {
        for image in 0..9 {
            let weight = match rng.random_bool(scenario.heavy) {
                true => rng.random_range(1.0..6.0),
                false => rng.random_range(0.0..0.2),
            };
            let images = (service_image(service), batch_image(image));
            model.weights.insert(images, weight);
        }
    }
    for _ in 0..20 {
        model.step();
    }
    let mut next_job = 1;
    for _ in 0..scenario.services {
        submit(
            &mut model,
            &mut next_job,
            "watch",
            service_job(&mut rng),
            false,
        );
    }
    let end_of_load = model.now + LOAD_MS;
    let step_s = 0.05;
    while model.now < end_of_load {
        model.step();
        if rng.random_bool((scenario.best_effort * step_s).min(1.0)) {
            let is_poisoned = rng.random_bool(scenario.poisoned);
            submit(
                &mut model,
                &mut next_job,
                "plan",
                best_effort_job(&mut rng),
                is_poisoned,
            );
        }
        if rng.random_bool((scenario.urgent * step_s).min(1.0)) {
            let is_poisoned = rng.random_bool(scenario.poisoned);
            let spec = match rng.random_bool(scenario.gangs) {
                true => gang_job(&mut rng),
                false => urgent_job(&mut rng),
            };
            submit(&mut model, &mut next_job, "check", spec, is_poisoned);
        }
        if rng.random_bool(scenario.faults * step_s) {
            inject(&mut model, scenario, &mut rng);
        }
    }
    for index in 0..model.workers.len() {
        model.set_health(index, Health::Good);
    }
    let calm = model.now + CALM_MS;
    while model.now < calm {
        model.step();
    }
    let mut checker = Checker::default();
    let end = model.now + CHECKED_MS;
    while model.now < end {
        model.step();
        checker.check(&model);
    }
    checker.violations.into_values().collect()
}

fn inject(model: &mut Model, scenario: &Scenario, rng: &mut StdRng) {
    let index = rng.random_range(0..model.workers.len());
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

fn submit(model: &mut Model, next: &mut u64, queue: &str, spec: JobSpec, is_poisoned: bool) {
    let rule = QueueRule::clone(&model.policy.queues[queue]);
    model.submit(JobId(*next), rule, spec, is_poisoned);
    *next += 1;
}

fn worker(index: usize, rng: &mut StdRng) -> WorkerInfo {
    let size = if rng.random_bool(0.33) { 3 } else { 2 };
    WorkerInfo {
        id: format!("i-{index}").into(),
        incarnation: 1,
        address: format!("10.0.0.{index}:8080").into(),
        service: "planner".into(),
        domain: ["bergen-a", "bergen-b", "forde"][index % 3].into(),
        labels: vec!["a".into(), format!("r{}", index / 3).into()],
        capacity: Resources {
            cpu: 8_000 * size,
            mem: 32_000 * size,
            gpu: 0,
        },
        state: WorkerState::Ready,
    }
}

fn policy() -> Policy {
    let queue = |name: &str, priority: u32, attempts: u32, margin_ms: u64| {
        let rule = QueueRule {
            name: name.into(),
            service: "planner".into(),
            priority,
            attempts,
            stretch: 2.0,
            margin_ms,
            needs_tickets: false,
        };
        (Arc::from(name), Arc::new(rule))
    };
    Policy {
        version: 1,
        queues: [
            queue("check", 0, 2, 250),
            queue("watch", 0, 3, 2_500),
            queue("plan", 2, 3, 1_000),
        ]
        .into(),
        ..Policy::default()
    }
}

fn service_image(number: u32) -> Arc<str> {
    format!("service-{number}").into()
}

fn batch_image(number: u32) -> Arc<str> {
    format!("batch-{number}").into()
}

fn chain(mut steps: Vec<StepSpec>) -> JobSpec {
    for (before, step) in (0_u16..).zip(steps.iter_mut().skip(1)) {
        step.after = vec![before];
    }
    JobSpec {
        payload: "text".into(),
        steps,
        schedule: None,
    }
}

fn best_effort_job(rng: &mut StdRng) -> JobSpec {
    let image = batch_image(rng.random_range(0..9));
    let has_checkpoints = rng.random_bool(0.85);
    let resources = Resources {
        cpu: rng.random_range(700..3_500),
        mem: rng.random_range(1_600..6_400),
        gpu: 0,
    };
    let steps = (0..rng.random_range(1..4)).map(|_| StepSpec {
        count: rng.random_range(1..32),
        resources,
        estimate: Millis(rng.random_range(800..6_800)),
        has_checkpoints,
        is_best_effort: true,
        image: Some(Arc::clone(&image)),
        ..StepSpec::default()
    });
    chain(steps.collect())
}

fn urgent_job(rng: &mut StdRng) -> JobSpec {
    let steps = (0..rng.random_range(1..4)).map(|_| StepSpec {
        count: rng.random_range(1..18),
        resources: Resources {
            cpu: rng.random_range(100..720),
            mem: rng.random_range(200..960),
            gpu: 0,
        },
        estimate: Millis(rng.random_range(200..1_600)),
        max_per_worker: if rng.random_bool(0.15) { 2 } else { 0 },
        ..StepSpec::default()
    });
    chain(steps.collect())
}

fn gang_job(rng: &mut StdRng) -> JobSpec {
    chain(vec![StepSpec {
        count: rng.random_range(2..8),
        resources: Resources {
            cpu: rng.random_range(1_000..9_000),
            mem: rng.random_range(200..960),
            gpu: 0,
        },
        estimate: Millis(rng.random_range(400..3_000)),
        max_per_worker: if rng.random_bool(0.5) { 1 } else { 0 },
        is_gang: true,
        prefers_one_rack: rng.random_bool(0.3),
        ..StepSpec::default()
    }])
}

fn service_job(rng: &mut StdRng) -> JobSpec {
    chain(vec![StepSpec {
        count: rng.random_range(2..9),
        resources: Resources {
            cpu: rng.random_range(2_000..4_500),
            mem: rng.random_range(4_000..10_000),
            gpu: 0,
        },
        estimate: Millis(400),
        max_per_worker: if rng.random_bool(0.5) { 2 } else { 0 },
        is_service: true,
        image: Some(service_image(rng.random_range(0..5))),
        latency_target: Some(Millis(50)),
        max_unavailable: Some(1),
        ..StepSpec::default()
    }])
}

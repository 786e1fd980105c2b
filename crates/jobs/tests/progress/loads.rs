//! Random workers and jobs.

use std::sync::Arc;

use hyssop_core::Millis;
use hyssop_jobs::{
    JobSpec, Policy, QueueRule, Resources, Schedule, StepSpec, WorkerInfo, WorkerState,
};
use rand::Rng;
use rand::rngs::StdRng;

use crate::faults::DOMAINS;

pub(crate) fn worker(index: usize, rng: &mut StdRng) -> WorkerInfo {
    let size = if rng.random_bool(0.33) { 3 } else { 2 };
    WorkerInfo {
        id: format!("i-{index}").into(),
        incarnation: 1,
        address: format!("10.0.0.{index}:8080").into(),
        service: "planner".into(),
        domain: DOMAINS[index % 3].into(),
        labels: vec!["a".into(), format!("r{}", index / 3).into()],
        capacity: Resources {
            cpu: 8_000 * size,
            mem: 32_000 * size,
            gpu: 0,
        },
        state: WorkerState::Ready,
    }
}

pub(crate) fn policy() -> Policy {
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
    let with_tickets = |(name, mut rule): (Arc<str>, Arc<QueueRule>)| {
        Arc::make_mut(&mut rule).needs_tickets = true;
        (name, rule)
    };
    Policy {
        version: 1,
        queues: [
            queue("check", 0, 2, 250),
            queue("watch", 0, 3, 2_500),
            queue("plan", 2, 3, 1_000),
            with_tickets(queue("ticketed-check", 0, 2, 250)),
            with_tickets(queue("ticketed-plan", 2, 3, 1_000)),
        ]
        .into(),
        ..Policy::default()
    }
}

pub(crate) fn service_image(number: u32) -> Arc<str> {
    format!("service-{number}").into()
}

pub(crate) fn batch_image(number: u32) -> Arc<str> {
    format!("batch-{number}").into()
}

pub(crate) fn chain(mut steps: Vec<StepSpec>) -> JobSpec {
    for (before, step) in (0_u16..).zip(steps.iter_mut().skip(1)) {
        step.after = vec![before];
    }
    JobSpec {
        payload: "text".into(),
        steps,
        schedule: None,
    }
}

pub(crate) fn best_effort_job(rng: &mut StdRng) -> JobSpec {
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

pub(crate) fn urgent_job(rng: &mut StdRng) -> JobSpec {
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

pub(crate) fn gang_job(rng: &mut StdRng) -> JobSpec {
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

pub(crate) fn service_job(rng: &mut StdRng) -> JobSpec {
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

/// Returns a job that no worker can run: it needs more than any of them has, or a label that none
/// has.
pub(crate) fn unplaceable_job(rng: &mut StdRng) -> JobSpec {
    let mut spec = match rng.random_bool(0.3) {
        true => gang_job(rng),
        false => urgent_job(rng),
    };
    for step in &mut spec.steps {
        match rng.random_range(0..3) {
            0 => step.label = Some("z".into()),
            1 => step.resources.mem = 200_000,
            _ => step.resources.cpu = 100_000,
        }
    }
    spec
}

/// Gives a job a schedule, of which occurrences may overlap. `now` is in milliseconds since 1970.
pub(crate) fn with_schedule(spec: JobSpec, now: u64, rng: &mut StdRng) -> JobSpec {
    let schedule = Schedule {
        count: rng.random_range(1..8),
        first_due: now + rng.random_range(0..4_000),
        interval: Millis(rng.random_range(200..6_000)),
    };
    JobSpec {
        schedule: Some(schedule),
        ..spec
    }
}

//! Random runs: jobs and faults for some time, and then calm until all jobs have ended.

use hyssop_core::Millis;
use hyssop_jobs::{JobId, JobSpec, Policy, QueueRule, Resources, StepSpec};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::sync::Arc;

use crate::faults::Faults;
use crate::judges::Finding;
use crate::models::{BEST_EFFORT_CPU, LATENCY_TARGET, Model, Options, Rates};

/// Time at which jobs and faults begin.
const BEGIN_MS: u64 = 13_000;
/// Time for which jobs are submitted and faults injected.
const LOAD_MS: u64 = 15_000;
/// Least time after that, in which late calls arrive.
const CALM_MS: u64 = 20_000;
/// Time within which all jobs have to end: the last outage (12 s), the wait of a new owner (8.3 s) and
/// that for a late call (12 s), and two steps with the longest runs (12 s each).
const MAX_CALM_MS: u64 = 60_000;
/// Interval at which faults are injected and jobs submitted.
const STEP_MS: u64 = 20;

/// Load and faults of one run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Scenario {
    pub(crate) options: Options,
    pub(crate) faults: Faults,
    /// Mean number of jobs a second.
    pub(crate) jobs: f64,
    /// Least and greatest number of tasks of a step.
    pub(crate) tasks: (u32, u32),
    /// Estimated running time of all tasks, in place of a short one that is drawn for each step.
    pub(crate) estimate: Option<Millis>,
    /// Least and greatest processors of a task, in thousandths of a core.
    pub(crate) cpu: (u64, u64),
    /// Number of failed runs of one task after which its job fails.
    pub(crate) attempts: u32,
    /// Share of jobs that are more urgent than the others and soon preempt them.
    pub(crate) urgent_share: f64,
    /// Number of latency-critical service tasks, which run until the faults are over.
    pub(crate) services: u32,
    /// Share of jobs that are best-effort work, and are stopped beside service tasks that are slow.
    pub(crate) best_effort_share: f64,
}

/// Result of one run.
pub(crate) struct Played {
    pub(crate) findings: Vec<Finding>,
    pub(crate) starts: usize,
    pub(crate) complete: usize,
    pub(crate) jobs: usize,
    /// Jobs that were reported failed.
    pub(crate) failed: usize,
    /// Starts after the end of their task or the report that their job is complete, by calls that were
    /// sent before.
    pub(crate) late_starts: usize,
    /// Ends as done that were acknowledged while another run of their task was under way.
    pub(crate) repeated: usize,
    /// Runs that were stopped.
    pub(crate) stopped: usize,
    /// Time after the last faults at which all jobs had ended, or the run was given up.
    pub(crate) ended_after_ms: u64,
}

fn rule(attempts: u32) -> QueueRule {
    QueueRule {
        name: "check".into(),
        service: "planner".into(),
        priority: 1,
        attempts,
        stretch: 2.0,
        margin_ms: 2_000,
        needs_tickets: false,
    }
}

/// Returns the rules of a queue whose jobs have little time to start, so that they preempt others.
fn urgent_rule(attempts: u32) -> QueueRule {
    QueueRule {
        name: "urgent".into(),
        priority: 0,
        stretch: 1.0,
        margin_ms: 500,
        ..rule(attempts)
    }
}

fn draw_job(scenario: &Scenario, rng: &mut StdRng) -> JobSpec {
    let steps = (0..rng.random_range(1..3)).map(|number: u16| StepSpec {
        count: rng.random_range(scenario.tasks.0..=scenario.tasks.1),
        resources: Resources {
            cpu: rng.random_range(scenario.cpu.0..=scenario.cpu.1),
            mem: 50,
            gpu: 0,
        },
        estimate: scenario
            .estimate
            .unwrap_or(Millis(rng.random_range(200..1_500))),
        after: number.checked_sub(1).into_iter().collect(),
        ..StepSpec::default()
    });
    JobSpec {
        payload: "text".into(),
        steps: steps.collect(),
        schedule: None,
    }
}

fn service_job(count: u32) -> JobSpec {
    let step = StepSpec {
        count,
        resources: Resources {
            cpu: 6_000,
            mem: 50,
            gpu: 0,
        },
        estimate: Millis(200),
        max_per_worker: 1,
        is_service: true,
        latency_target: Some(LATENCY_TARGET),
        image: Some("service".into()),
        ..StepSpec::default()
    };
    JobSpec {
        payload: "text".into(),
        steps: vec![step],
        schedule: None,
    }
}

/// Turns a job into best-effort work. With checkpoints, its tasks are stopped rather than slowed down.
fn make_best_effort(spec: &mut JobSpec) {
    for step in &mut spec.steps {
        step.resources.cpu = BEST_EFFORT_CPU;
        step.is_best_effort = true;
        step.has_checkpoints = true;
        step.image = Some("best-effort".into());
    }
}

/// Plays a scenario with a seed.
pub(crate) fn play(scenario: &Scenario, seed: u64) -> Played {
    let mut rng = StdRng::seed_from_u64(seed);
    let attempts = scenario.attempts;
    let policy = Policy {
        version: 1,
        queues: [rule(attempts), urgent_rule(attempts)]
            .map(|rule| (Arc::clone(&rule.name), Arc::new(rule)))
            .into(),
        ..Policy::default()
    };
    let mut model = Model::new(seed ^ 0x5eed, scenario.options, policy);
    model.advance(BEGIN_MS);
    model.rates = scenario.faults.rates;
    let mut next_job = 1;
    let service = (scenario.services > 0).then_some(JobId(0));
    if let Some(id) = service {
        model.submit(id, rule(attempts), service_job(scenario.services));
    }
    while model.now < BEGIN_MS + LOAD_MS {
        if rng.random_bool((scenario.jobs * STEP_MS as f64 / 1_000.0).min(1.0)) {
            let mut spec = draw_job(scenario, &mut rng);
            let share = scenario.best_effort_share;
            if share > 0.0 && rng.random_bool(share) {
                make_best_effort(&mut spec);
            }
            let share = scenario.urgent_share;
            let rule = match share > 0.0 && rng.random_bool(share) {
                true => urgent_rule(attempts),
                false => rule(attempts),
            };
            model.submit(JobId(next_job), rule, spec);
            next_job += 1;
        }
        scenario.faults.inject(&mut model, &mut rng, STEP_MS);
        model.advance(model.now + STEP_MS);
    }
    model.rates = Rates::default();
    if let Some(job) = service.and_then(|id| model.jobs.get_mut(&id)) {
        job.is_cancelled = true;
    }
    let calm_at = model.now;
    model.advance(calm_at + CALM_MS);
    while model.jobs.values().any(|job| !job.is_ended) && model.now < calm_at + MAX_CALM_MS {
        model.advance(model.now + STEP_MS);
    }
    let ended_after_ms = model.now - calm_at;
    for (&id, job) in model.jobs.iter().filter(|(_, job)| !job.is_ended) {
        model.judge.miss_end(model.now, id, &job.spec);
    }
    Played {
        findings: model.judge.finish(),
        starts: model.judge.start_count,
        complete: model.judge.complete_count,
        jobs: model.jobs.len(),
        failed: model.judge.failed_count,
        late_starts: model.judge.late_count(),
        repeated: model.judge.repeated_count,
        stopped: model.judge.stopped_count,
        ended_after_ms,
    }
}

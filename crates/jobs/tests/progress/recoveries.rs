//! Workers that run what they are ordered to again: none stays unused while tasks wait.
//!
//! The checker of the other scenarios asks whether a whole job stands still. A job of which nothing
//! runs for 2 s is also offered workers that hold back, so that it cannot tell for how long these stay
//! unused while other tasks of the jobs run. Here the jobs have more tasks than the fleet can run, so
//! that none ever stands still.

use std::collections::BTreeMap;

use hyssop_core::Millis;
use hyssop_jobs::{JobId, QueueRule, Resources, StepSpec};
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::loads;
use crate::models::{Health, Model};

const WORKERS: usize = 11;
/// Jobs. Each worker runs tasks of most of them, as a quarantine takes failures of several jobs.
const JOBS: u64 = 6;
/// Workers with a fault, as many as may be in quarantine at a time.
const FAULTY: [usize; 2] = [3, 7];
/// Time for which the fault lasts.
const FAULT_MS: u64 = 24_000;
/// Time for which the workers are watched afterwards.
const WATCHED_MS: u64 = 12_000;
/// Time within which urgent work must start, so that a worker that could run it may not stay unused
/// for longer.
const MAX_UNUSED_MS: u64 = 5_800;
const SEEDS: u64 = 4;

/// Submits a job of tasks of two cores. No number of failed runs ends it.
fn submit(model: &mut Model, id: u64) {
    let step = StepSpec {
        count: 2_000,
        resources: Resources {
            cpu: 2_000,
            mem: 100,
            gpu: 0,
        },
        estimate: Millis(1_000),
        max_per_worker: 2,
        ..StepSpec::default()
    };
    let rule = QueueRule {
        attempts: 1_000_000,
        ..QueueRule::clone(&model.policy.queues["check"])
    };
    model.submit(JobId(id), rule, loads::chain(vec![step]), false);
}

/// Plays a fault that ends, and returns each worker that stayed unused afterwards although a task of
/// the jobs would have fit.
fn play(fault: Health, seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let workers = (0..WORKERS).map(|index| loads::worker(index, &mut rng));
    let mut model = Model::new(seed ^ 1, workers.collect(), loads::policy());
    for _ in 0..20 {
        model.step();
    }
    for index in FAULTY {
        model.set_health(index, fault);
    }
    for id in 1..=JOBS {
        submit(&mut model, id);
    }
    let healed_at = model.now + FAULT_MS;
    while model.now < healed_at {
        model.step();
    }
    for index in FAULTY {
        model.set_health(index, Health::Good);
    }
    let mut unused: BTreeMap<usize, u64> = BTreeMap::new();
    let mut violations = BTreeMap::new();
    while model.now < healed_at + WATCHED_MS {
        model.step();
        for (index, worker) in model.workers.iter().enumerate() {
            if !worker.runs.is_empty() {
                unused.remove(&index);
                continue;
            }
            let since = *unused.entry(index).or_insert(model.now);
            if model.now >= since + MAX_UNUSED_MS {
                let text = format!("{} is unused from {since} ms on", worker.info.id);
                violations.entry(index).or_insert(text);
            }
        }
    }
    let mut jobs = model.jobs.values();
    assert!(
        jobs.all(|job| job.is_accepted && !job.is_ended && job.open_count(0, 0) > 400),
        "the jobs leave the workers idle"
    );
    violations.into_values().collect()
}

fn check(fault: Health) {
    for seed in 0..SEEDS {
        let violations = play(fault, seed);
        assert!(
            violations.is_empty(),
            "{fault:?}, seed {seed}: {violations:?}"
        );
    }
}

/// Guards against workers that refused starts and hold back for long after they accept them again.
#[test]
fn worker_that_refused_starts_is_used_again() {
    check(Health::Refusing);
}

/// Guards against workers whose quarantine lasts long after their runs have ceased to fail.
#[test]
fn worker_on_which_runs_failed_is_used_again() {
    check(Health::Failing);
}

/// Guards against workers on which runs hung and that hold back for long after they make progress
/// again.
#[test]
fn worker_on_which_runs_hung_is_used_again() {
    check(Health::Hanging);
}

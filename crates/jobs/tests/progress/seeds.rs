//! Scenarios that are played with several seeds each.

use crate::scenarios::{Scenario, play};

/// Seeds that each scenario is played with. More are played by hand with `PROGRESS_SEEDS`.
const SEEDS: u64 = 12;

const CALM: Scenario = Scenario {
    workers: 11,
    best_effort: 0.9,
    urgent: 5.0,
    services: 3,
    gangs: 0.0,
    heavy: 0.6,
    poisoned: 0.0,
    faults: 0.0,
    has_takeovers: false,
};

fn check(name: &str, scenario: &Scenario) {
    let seeds = std::env::var("PROGRESS_SEEDS").ok();
    let count = seeds.and_then(|seeds| seeds.parse().ok()).unwrap_or(SEEDS);
    let mut broken = Vec::new();
    for seed in 0..count {
        let violations = play(scenario, seed);
        if let Some(first) = violations.first() {
            broken.push(format!("seed {seed}: {} jobs, {first}", violations.len()));
        }
    }
    let broken_count = broken.len();
    let shown = broken
        .iter()
        .take(3)
        .cloned()
        .collect::<Vec<_>>()
        .join("\n");
    assert!(
        broken.is_empty(),
        "{name}: {broken_count} of {count} seeds\n{shown}"
    );
}

#[test]
fn jobs_progress_under_normal_load() {
    check("normal load", &CALM);
}

#[test]
fn jobs_progress_while_best_effort_work_fills_the_fleet() {
    check(
        "best-effort backlog",
        &Scenario {
            best_effort: 4.0,
            ..CALM
        },
    );
}

#[test]
fn jobs_progress_with_waiting_gangs() {
    check("gangs", &Scenario { gangs: 0.3, ..CALM });
}

#[test]
fn jobs_progress_beside_jobs_that_always_fail() {
    check(
        "poisoned jobs",
        &Scenario {
            poisoned: 0.3,
            ..CALM
        },
    );
}

#[test]
fn jobs_progress_after_faults_of_workers() {
    check(
        "faults of workers",
        &Scenario {
            faults: 1.0,
            ..CALM
        },
    );
}

#[test]
fn jobs_progress_after_takeovers() {
    let scenario = Scenario {
        faults: 1.0,
        has_takeovers: true,
        gangs: 0.1,
        ..CALM
    };
    check("takeovers", &scenario);
}

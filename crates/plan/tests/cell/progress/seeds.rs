//! Scenarios that are played with several seeds each.

use super::models::{Scenario, play};
use crate::worker::Health;

/// Seeds that each scenario is played with. More are played by hand with `PROGRESS_SEEDS`.
const SEEDS: u64 = 2;

const CALM: Scenario = Scenario {
    batch: 2.0,
    urgent: 0.5,
    noisy: 0.0,
    own_slowdown: 0,
    unhealthy: (Health::Good, 0.0),
    lost: 0.0,
    crashing: 0.0,
    drains: 0.0,
    takeovers: 0.0,
    has_quotas: false,
};

/// Plays a scenario and fails with the first tasks that waited for too long.
fn check(name: &str, scenario: &Scenario) {
    let number = |variable: &str| std::env::var(variable).ok()?.parse::<u64>().ok();
    let first = number("PROGRESS_FIRST").unwrap_or(0);
    let count = number("PROGRESS_SEEDS").unwrap_or(SEEDS);
    let mut broken = Vec::new();
    for seed in first..first + count {
        let violations = play(scenario, seed);
        if let Some(text) = violations.first() {
            broken.push(format!("seed {seed}: {} tasks, {text}", violations.len()));
        }
    }
    let shown: Vec<String> = broken.iter().take(3).cloned().collect();
    assert!(
        broken.is_empty(),
        "{name}: {} of {count} seeds\n{}",
        broken.len(),
        shown.join("\n")
    );
}

#[test]
fn tasks_progress_under_normal_load() {
    check("normal load", &CALM);
}

#[test]
fn tasks_progress_beside_a_batch_backlog() {
    check(
        "backlog",
        &Scenario {
            batch: 8.0,
            urgent: 2.0,
            ..CALM
        },
    );
}

#[test]
fn tasks_progress_beside_noisy_jobs() {
    check("noisy jobs", &Scenario { noisy: 0.4, ..CALM });
}

#[test]
fn tasks_progress_beside_services_that_are_slow_by_themselves() {
    check(
        "slow services",
        &Scenario {
            own_slowdown: 30,
            ..CALM
        },
    );
}

#[test]
fn tasks_progress_beside_workers_that_refuse_starts() {
    check(
        "refusing workers",
        &Scenario {
            unhealthy: (Health::Refusing, 0.2),
            ..CALM
        },
    );
}

#[test]
fn tasks_progress_beside_workers_that_get_orders_late() {
    check(
        "late orders",
        &Scenario {
            unhealthy: (Health::Late, 0.2),
            ..CALM
        },
    );
}

#[test]
fn tasks_progress_beside_workers_that_fail_runs() {
    check(
        "failing workers",
        &Scenario {
            unhealthy: (Health::Failing, 0.05),
            ..CALM
        },
    );
}

#[test]
fn tasks_progress_after_losses_of_workers() {
    check("lost workers", &Scenario { lost: 0.2, ..CALM });
}

#[test]
fn tasks_progress_beside_jobs_that_crash_workers() {
    check(
        "crashing jobs",
        &Scenario {
            crashing: 0.1,
            ..CALM
        },
    );
}

#[test]
fn tasks_progress_beside_jobs_that_crash_workers_and_takeovers() {
    check(
        "crashing jobs and takeovers",
        &Scenario {
            crashing: 0.1,
            drains: 0.03,
            takeovers: 0.03,
            ..CALM
        },
    );
}

#[test]
fn tasks_progress_through_drains_within_quotas() {
    check(
        "drains and quotas",
        &Scenario {
            drains: 0.1,
            has_quotas: true,
            ..CALM
        },
    );
}

#[test]
fn tasks_progress_through_all_faults_and_takeovers() {
    check(
        "all faults",
        &Scenario {
            noisy: 0.2,
            unhealthy: (Health::Refusing, 0.1),
            lost: 0.1,
            drains: 0.05,
            takeovers: 0.03,
            has_quotas: true,
            ..CALM
        },
    );
}

//! Scenarios in which a run ends as done while its agent is cut off from owners, for longer than the
//! worker's lease lasts, and another run of its task is ended before it is done.

use crate::faults::{Faults, NO_FAULTS};
use crate::models::Options;
use crate::scenarios::Scenario;
use crate::seeds::{CALM, OPTIONS, check};

/// Agents that are cut off from owners for longer than the lease of a worker, which is 4 s.
const LONG_CUTS: Faults = Faults {
    agent_cuts: 0.3,
    cut_ms: (4_500, 8_000),
    ..NO_FAULTS
};

/// Jobs of two priorities that need more processors than the workers have.
const FULL_WORKERS: Scenario = Scenario {
    options: Options {
        run_ms: (300, 4_000),
        ..OPTIONS
    },
    faults: LONG_CUTS,
    jobs: 1.6,
    tasks: (1, 4),
    cpu: (3_000, 9_000),
    urgent_share: 0.4,
    ..CALM
};

/// Guards against a task that starts again after an acknowledged end as done, because its second run
/// was preempted for a more urgent task.
#[test]
fn tasks_run_once_while_late_ends_meet_preempted_runs() {
    check("late ends and preemptions", &FULL_WORKERS);
}

/// Guards against a task that starts again after an acknowledged end as done, because the worker of its
/// second run has drained and left.
#[test]
fn tasks_run_once_while_late_ends_meet_draining_workers() {
    let faults = Faults {
        departures: 0.3,
        ..LONG_CUTS
    };
    let options = Options {
        run_ms: (300, 4_000),
        ..OPTIONS
    };
    let scenario = Scenario {
        options,
        faults,
        ..CALM
    };
    check("late ends and draining workers", &scenario);
}

/// As the first one, also with agents that restart and freeze, owners that change and workers that
/// drain.
#[test]
fn tasks_run_once_while_late_ends_meet_preempted_runs_and_other_owners() {
    let faults = Faults {
        agent_kills: 0.1,
        agent_freezes: 0.1,
        owner_kills: 0.05,
        owner_freezes: 0.05,
        departures: 0.1,
        ..LONG_CUTS
    };
    let scenario = Scenario {
        faults,
        ..FULL_WORKERS
    };
    check("late ends, preemptions and owners", &scenario);
}

/// Guards against a task that starts again after an acknowledged end as done, because its second run,
/// of best effort, was stopped beside a latency-critical task that was slow.
#[test]
fn tasks_run_once_while_late_ends_meet_throttled_runs() {
    let scenario = Scenario {
        jobs: 3.0,
        services: 3,
        best_effort_share: 0.6,
        cpu: (200, 2_000),
        urgent_share: 0.0,
        ..FULL_WORKERS
    };
    check("late ends and throttling", &scenario);
}

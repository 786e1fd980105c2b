//! Scenarios with queues that allow few failed runs of a task, and with many runs that fail. No worker
//! crashes in them, since jobs may also fail because of crashes.

use crate::faults::{Faults, NO_FAULTS};
use crate::models::Options;
use crate::scenarios::Scenario;
use crate::seeds::{CALM, OPTIONS, check, check_found};

/// Two attempts for each task, of which one in five fails.
const FEW_ATTEMPTS: Scenario = Scenario {
    options: Options {
        failed_percent: 20,
        ..OPTIONS
    },
    attempts: 2,
    ..CALM
};

/// Guards against a job that is failed too early or too late without faults.
#[test]
fn failed_runs_count_as_attempts_without_faults() {
    check("attempts", &FEW_ATTEMPTS);
}

/// Guards against a failed end that is acknowledged and not counted, because its agent was cut off from
/// owners for longer than the worker's lease lasts, and another run of its task is current: the task
/// starts more often than its queue allows.
#[test]
fn failed_runs_count_as_attempts_while_agents_are_cut_off() {
    let faults = Faults {
        agent_cuts: 0.3,
        cut_ms: (4_500, 8_000),
        ..NO_FAULTS
    };
    let scenario = Scenario {
        faults,
        ..FEW_ATTEMPTS
    };
    check_found("attempts and cuts", &scenario, &[25, 51, 199]);
}

/// As above, with agents that restart and freeze, and owners that change or cannot store.
#[test]
fn failed_runs_count_as_attempts_while_agents_and_owners_change() {
    let faults = Faults {
        agent_kills: 0.1,
        agent_freezes: 0.2,
        agent_cuts: 0.2,
        owner_kills: 0.1,
        owner_freezes: 0.1,
        write_outages: 0.1,
        ..NO_FAULTS
    };
    let scenario = Scenario {
        faults,
        ..FEW_ATTEMPTS
    };
    check_found("attempts, agents and owners", &scenario, &[44, 178, 245]);
}

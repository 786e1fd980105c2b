//! Scenarios of workers that restart under their identifiers while no owner replies to their agents,
//! beside other faults and beside service tasks. Other runs last for about as long as a lease.

use hyssop_core::Millis;

use crate::faults::{Faults, NO_FAULTS};
use crate::models::{Options, Rates};
use crate::scenarios::Scenario;
use crate::seeds::{CALM, check_found};

/// Calls that take at most 1.5 s, of which some are lost or executed up to 12 s late.
const LATE_CALLS: Rates = Rates {
    no_response: 0.02,
    has_late_calls: true,
    slow: 0.15,
    slow_ms: 1_500,
    ..NO_FAULTS.rates
};

const CUT_RESTARTS: Faults = Faults {
    rates: LATE_CALLS,
    same_id_crashes: 0.5,
    silent_share: 0.5,
    agent_cuts: 0.5,
    cut_ms: (3_000, 12_000),
    owner_kills: 0.2,
    ..NO_FAULTS
};

fn check_long_runs(name: &str, faults: Faults, found: &[u64]) {
    let options = Options {
        run_ms: (6_000, 12_000),
        failed_percent: 0,
        ..CALM.options
    };
    let scenario = Scenario {
        options,
        faults,
        jobs: 1.0,
        tasks: (1, 3),
        estimate: Some(Millis(9_000)),
        cpu: (200, 1_500),
        ..CALM
    };
    check_found(name, &scenario, found);
}

/// Guards against two runs of one task: reports and their replies are also lost or late, so that an agent
/// and its owner disagree on which incarnation is reported and until when it is leased.
#[test]
fn tasks_run_once_while_workers_restart_behind_cuts_and_reports_are_late() {
    let rates = Rates {
        report_lost: 0.03,
        report_late: 0.1,
        ..LATE_CALLS
    };
    let faults = Faults {
        rates,
        ..CUT_RESTARTS
    };
    let found = [20_274, 20_385, 20_423, 20_518, 20_654, 20_983];
    check_long_runs("cuts, restarts and late reports", faults, &found);
}

/// Guards against two runs of one task: the agent that has to end the first one freezes, and goes on with
/// answers of its worker from before.
#[test]
fn tasks_run_once_while_workers_restart_behind_cuts_and_agents_freeze() {
    let faults = Faults {
        agent_freezes: 0.6,
        ..CUT_RESTARTS
    };
    let found = [
        20_157, 20_333, 20_392, 20_425, 20_539, 20_587, 20_637, 20_686, 20_746,
    ];
    check_long_runs("cuts, restarts and frozen agents", faults, &found);
}

/// Guards against two runs of one task: heartbeats are late or come from other writers, and workers also
/// leave or come back under other identifiers, so that the agent takes another worker for its own.
#[test]
fn tasks_run_once_while_workers_restart_behind_cuts_and_heartbeats_mislead() {
    let rates = Rates {
        heartbeat_late: 0.3,
        ..LATE_CALLS
    };
    let faults = Faults {
        rates,
        other_id_crashes: 0.2,
        departures: 0.1,
        foreign_heartbeats: 0.2,
        ..CUT_RESTARTS
    };
    let found = [
        20_046, 20_090, 20_312, 20_428, 20_605, 20_626, 20_656, 20_763, 20_842,
    ];
    check_long_runs("cuts, restarts and heartbeats", faults, &found);
}

/// Guards against two runs of a service task, which nothing but its owner or its agent ends, and of tasks
/// beside it.
#[test]
fn service_tasks_run_once_while_workers_restart_behind_cuts() {
    let scenario = Scenario {
        faults: CUT_RESTARTS,
        services: 3,
        best_effort_share: 0.4,
        jobs: 2.0,
        ..CALM
    };
    let found = [
        20_008, 20_188, 20_192, 20_193, 20_343, 20_365, 20_437, 20_582, 20_752, 20_796, 20_917,
    ];
    check_found("cuts, restarts and services", &scenario, &found);
}

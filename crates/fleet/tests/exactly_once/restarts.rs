//! Scenarios of workers that restart under their identifiers while calls to them are slow: a call
//! that was sent to one incarnation reaches the next one.

use hyssop_core::Millis;

use crate::faults::{Faults, NO_FAULTS};
use crate::models::{Options, Rates};
use crate::scenarios::Scenario;
use crate::seeds::{CALM, check_found};

/// Calls that take at most 1.5 s, of which none is lost.
const SLOW_CALLS: Rates = Rates {
    no_response: 0.0,
    slow: 0.15,
    slow_ms: 1_500,
    ..NO_FAULTS.rates
};

const RESTARTS: Faults = Faults {
    rates: SLOW_CALLS,
    same_id_crashes: 0.5,
    silent_share: 0.5,
    silences: 0.5,
    ..NO_FAULTS
};

/// Guards against runs that overlap, or start again after they were done, because a probe or a start
/// that was meant for the incarnation before reaches a restarted worker.
#[test]
fn tasks_run_once_while_slow_calls_reach_restarted_workers() {
    let scenario = Scenario {
        faults: RESTARTS,
        ..CALM
    };
    check_found("slow calls", &scenario, &[33, 61, 99, 102, 243, 249]);
}

/// As above, while owners are killed: the next one has not seen the restart. With seeds 848 and 2969, three
/// of four workers may hide ends after a time, and jobs stand still for good unless canaries end that.
#[test]
fn tasks_run_once_while_slow_calls_reach_restarted_workers_and_owners_change() {
    let faults = Faults {
        owner_kills: 0.3,
        ..RESTARTS
    };
    let scenario = Scenario { faults, ..CALM };
    check_found(
        "slow calls and owners",
        &scenario,
        &[35, 131, 182, 207, 222, 294, 848, 2_969],
    );
}

/// As above, while agents are cut off from owners: the lease of a restarted worker must have ended
/// before its tasks start elsewhere.
#[test]
fn tasks_run_once_while_slow_calls_reach_restarted_workers_that_are_cut_off() {
    let faults = Faults {
        agent_cuts: 0.4,
        cut_ms: (3_000, 9_000),
        ..RESTARTS
    };
    let scenario = Scenario { faults, ..CALM };
    let found = [79, 138, 154, 215, 261, 759, 7_061, 7_273, 8_026, 8_228];
    check_found("slow calls and cuts", &scenario, &found);
}

/// As above, with owners that are killed beside it, and calls that are lost or executed up to 12 s late.
#[test]
fn tasks_run_once_while_late_calls_reach_restarted_workers_that_are_cut_off() {
    let faults = Faults {
        rates: Rates {
            no_response: 0.02,
            has_late_calls: true,
            ..SLOW_CALLS
        },
        owner_kills: 0.3,
        agent_cuts: 0.4,
        cut_ms: (3_000, 9_000),
        ..RESTARTS
    };
    let scenario = Scenario { faults, ..CALM };
    let found = [43, 66, 73, 81, 117, 258, 282, 300, 457, 8_126, 8_824];
    check_found("late calls, cuts and owners", &scenario, &found);
}

/// Guards against tasks that start elsewhere while a restarted worker still runs them under a lease that
/// a probe for its earlier incarnation has set: the owner that gives the worker up has not seen the
/// restart. Runs last for longer than any lease.
#[test]
fn long_tasks_run_once_while_restarted_workers_are_cut_off_and_owners_change() {
    let options = Options {
        run_ms: (6_000, 12_000),
        failed_percent: 0,
        ..CALM.options
    };
    let faults = Faults {
        owner_kills: 0.3,
        agent_cuts: 0.6,
        cut_ms: (6_000, 14_000),
        silences: 0.0,
        ..RESTARTS
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
    check_found(
        "long runs, cuts and owners",
        &scenario,
        &[209, 1_752, 2_676, 7_005],
    );
}

/// Guards against tasks that start elsewhere while a worker that restarted behind a cut runs them: its
/// agent knows of the restart, and no owner does. Runs last for about as long as a lease, and no call is
/// lost.
#[test]
fn long_tasks_run_once_while_workers_restart_and_their_agents_are_cut_off() {
    let scenario = long_runs_behind_cuts(SLOW_CALLS);
    check_found("long runs behind cuts", &scenario, &[7_056, 8_675]);
}

/// As above, with calls that are lost or executed up to 12 s late.
#[test]
fn long_tasks_run_once_while_late_calls_reach_workers_that_restart_behind_cuts() {
    let rates = Rates {
        no_response: 0.02,
        has_late_calls: true,
        ..SLOW_CALLS
    };
    let scenario = long_runs_behind_cuts(rates);
    let found = [7_168, 7_204, 8_158, 9_274];
    check_found("long runs and late calls behind cuts", &scenario, &found);
}

fn long_runs_behind_cuts(rates: Rates) -> Scenario {
    let options = Options {
        run_ms: (6_000, 12_000),
        failed_percent: 0,
        ..CALM.options
    };
    let faults = Faults {
        rates,
        owner_kills: 0.4,
        agent_cuts: 0.6,
        cut_ms: (3_000, 12_000),
        silences: 0.0,
        ..RESTARTS
    };
    Scenario {
        options,
        faults,
        jobs: 1.0,
        tasks: (1, 3),
        estimate: Some(Millis(9_000)),
        cpu: (200, 1_500),
        ..CALM
    }
}

//! Scenarios that are played with several seeds each.

use std::collections::BTreeMap;

use crate::faults::{ALL_FAULTS, Faults, NO_FAULTS};
use crate::judges::Finding;
use crate::models::{AckRule, Options, Rates};
use crate::scenarios::{Scenario, play};

/// Seeds that each scenario is played with. More are played by hand with `EXACTLY_ONCE_SEEDS`; a
/// range such as `100..200` plays those.
const SEEDS: u64 = 6;

pub(crate) const OPTIONS: Options = Options {
    hosts: 4,
    ack_rule: AckRule::DropAtCall,
    max_lease_ms: 10_000,
    run_ms: (30, 2_500),
    failed_percent: 4,
    odd_rows: 0.0,
};

pub(crate) const CALM: Scenario = Scenario {
    options: OPTIONS,
    faults: NO_FAULTS,
    jobs: 4.0,
    tasks: (1, 6),
    estimate: None,
    cpu: (200, 4_000),
    attempts: 1_000,
    urgent_share: 0.0,
    services: 0,
    best_effort_share: 0.0,
};

/// Returns the seeds to play: the first ones and those that have found faults, or those that
/// `EXACTLY_ONCE_SEEDS` names.
fn seeds(found: &[u64]) -> Vec<u64> {
    let parse = |text: &str| text.parse().ok();
    let Ok(text) = std::env::var("EXACTLY_ONCE_SEEDS") else {
        return (0..SEEDS).chain(found.iter().copied()).collect();
    };
    let range = match text.split_once("..") {
        Some((first, end)) => parse(first).unwrap_or(0)..parse(end).unwrap_or(SEEDS),
        None => 0..parse(&text).unwrap_or(SEEDS),
    };
    range.collect()
}

/// Checks that the tasks of a scenario run once and that its jobs end.
pub(crate) fn check(name: &str, scenario: &Scenario) {
    check_found(name, scenario, &[]);
}

/// As [`check`], also with seeds that have found faults. Plays a scenario with both variants of
/// acknowledgements and of the longest lease.
pub(crate) fn check_found(name: &str, scenario: &Scenario, found: &[u64]) {
    let mut kinds: BTreeMap<String, (u64, u64, Finding)> = BTreeMap::new();
    let (mut starts, mut complete, mut jobs) = (0, 0, 0);
    let (mut late_starts, mut ended_after_ms) = (0, 0);
    let (mut repeated, mut stopped, mut failed) = (0, 0, 0);
    let (mut broken, mut count) = (Vec::new(), 0);
    for seed in seeds(found) {
        let mut scenario = *scenario;
        if seed % 2 == 1 {
            scenario.options.ack_rule = AckRule::HighWater;
        }
        if seed % 4 >= 2 {
            scenario.options.max_lease_ms = 6_000;
        }
        let played = play(&scenario, seed);
        starts += played.starts;
        complete += played.complete;
        jobs += played.jobs;
        late_starts += played.late_starts;
        repeated += played.repeated;
        stopped += played.stopped;
        failed += played.failed;
        ended_after_ms = ended_after_ms.max(played.ended_after_ms);
        count += 1;
        if !played.findings.is_empty() {
            broken.push(seed);
        }
        for finding in played.findings {
            let entry = kinds.entry(finding.kind.clone());
            let (found, best_seed, best) = entry.or_insert_with(|| (0, seed, finding.clone()));
            *found += 1;
            if finding.trace.len() < best.trace.len() {
                (*best_seed, *best) = (seed, finding);
            }
        }
    }
    println!(
        "{name}: {count} seeds, {starts} starts, {complete} of {jobs} jobs complete, {failed} failed; the last seed \
         ended {ended_after_ms} ms after its faults; {late_starts} starts after ends as done or \
         complete jobs by calls that were sent before; {repeated} ends as done were acknowledged beside \
         another run; {stopped} runs were stopped"
    );
    assert!(
        starts > 0 && complete * 2 > jobs,
        "{name}: hardly any work was done"
    );
    let shown = kinds.values().map(|(found, seed, finding)| {
        format!(
            "[{found} times, seed {seed}, {} ms] {}",
            finding.at, finding.trace
        )
    });
    let shown: Vec<String> = shown.collect();
    assert!(
        kinds.is_empty(),
        "{name}: {} of {count} seeds: {broken:?}\n{}",
        broken.len(),
        shown.join("\n")
    );
}

#[test]
fn tasks_run_once_without_faults() {
    check("calm", &CALM);
}

/// Guards against runs that start again when a worker restarts under its identifier: its calls reach
/// the new incarnation before its agent knows it.
#[test]
fn tasks_run_once_while_workers_restart_under_their_identifiers() {
    let faults = Faults {
        same_id_crashes: 0.4,
        ..NO_FAULTS
    };
    let scenario = Scenario { faults, ..CALM };
    check_found("same identifier", &scenario, &[400, 664, 899, 1_181, 1_262]);
}

/// As above, with responses that come after the agent has sent another probe, in any order.
#[test]
fn tasks_run_once_while_workers_restart_and_answers_overtake_each_other() {
    let rates = Rates {
        no_response: 0.1,
        slow: 0.3,
        slow_ms: 400,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        same_id_crashes: 0.4,
        ..NO_FAULTS
    };
    let scenario = Scenario { faults, ..CALM };
    check_found("answers that overtake", &scenario, &[7, 26, 32]);
}

/// Guards against a session that an owner has opened for one worker and that an agent uses for the
/// next one: the reply to the request is late, because the owner loads the jobs or was frozen.
#[test]
fn tasks_run_once_while_workers_restart_and_owners_change() {
    let rates = Rates {
        report_late: 0.1,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        same_id_crashes: 0.1,
        other_id_crashes: 0.3,
        owner_kills: 0.15,
        owner_freezes: 0.15,
        write_outages: 0.1,
        ..NO_FAULTS
    };
    let scenario = Scenario { faults, ..CALM };
    check_found("restarts and owners", &scenario, &[235, 254, 256]);
}

/// Guards against late calls and probes of an earlier incarnation that a restarted worker executes.
#[test]
fn tasks_run_once_while_calls_reach_later_incarnations() {
    let rates = Rates {
        no_response: 0.03,
        has_late_calls: true,
        slow: 0.1,
        heartbeat_late: 0.2,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        same_id_crashes: 0.4,
        silent_share: 0.5,
        ..NO_FAULTS
    };
    let scenario = Scenario { faults, ..CALM };
    let found = [11, 13, 24, 25, 111, 115, 168, 171, 197, 198];
    check_found("calls to later incarnations", &scenario, &found);
}

#[test]
fn tasks_run_once_while_workers_are_replaced_under_other_identifiers() {
    let faults = Faults {
        other_id_crashes: 0.4,
        ..NO_FAULTS
    };
    check("other identifier", &Scenario { faults, ..CALM });
}

#[test]
fn tasks_run_once_while_workers_crash_silently() {
    let faults = Faults {
        same_id_crashes: 0.3,
        other_id_crashes: 0.1,
        silent_share: 1.0,
        ..NO_FAULTS
    };
    let scenario = Scenario { faults, ..CALM };
    check_found("silent crashes", &scenario, &[27, 48, 153, 186]);
}

/// Guards against calls that a worker executes seconds after its agent has given them up.
#[test]
fn tasks_run_once_while_calls_are_executed_late() {
    let rates = Rates {
        no_response: 0.04,
        has_late_calls: true,
        slow: 0.1,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        silences: 0.2,
        ..NO_FAULTS
    };
    check("late calls", &Scenario { faults, ..CALM });
}

/// As above, with so little free capacity that repeated starts are refused.
#[test]
fn tasks_run_once_while_calls_are_executed_late_on_full_workers() {
    let rates = Rates {
        no_response: 0.06,
        has_late_calls: true,
        slow: 0.1,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        silences: 0.2,
        agent_kills: 0.1,
        ..NO_FAULTS
    };
    let scenario = Scenario {
        faults,
        cpu: (3_000, 9_000),
        jobs: 2.0,
        ..CALM
    };
    check("late calls on full workers", &scenario);
}

/// Guards against a first start that is executed late, after its repetition was refused.
#[test]
fn tasks_run_once_while_workers_refuse_repeated_starts() {
    let rates = Rates {
        no_response: 0.04,
        has_late_calls: true,
        slow: 0.1,
        refused: 0.2,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        silences: 0.3,
        ..NO_FAULTS
    };
    check("refused repetitions", &Scenario { faults, ..CALM });
}

/// Guards against heartbeats and notices of departure that arrive after their sender has ended.
#[test]
fn tasks_run_once_while_heartbeats_and_departures_are_delayed() {
    let rates = Rates {
        heartbeat_late: 0.3,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        departures: 0.3,
        other_id_crashes: 0.15,
        ..NO_FAULTS
    };
    check("delayed heartbeats", &Scenario { faults, ..CALM });
}

/// Guards against heartbeats of other writers, which may name any worker and address.
#[test]
fn tasks_run_once_while_foreign_heartbeats_arrive() {
    let faults = Faults {
        foreign_heartbeats: 0.3,
        ..NO_FAULTS
    };
    check("foreign heartbeats", &Scenario { faults, ..CALM });
}

#[test]
fn tasks_run_once_while_agents_restart_and_freeze() {
    let rates = Rates {
        report_lost: 0.03,
        report_late: 0.05,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        agent_kills: 0.2,
        agent_freezes: 0.3,
        agent_cuts: 0.2,
        ..NO_FAULTS
    };
    check("agents", &Scenario { faults, ..CALM });
}

#[test]
fn tasks_run_once_while_owners_change() {
    let rates = Rates {
        store_slow: 0.1,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        owner_kills: 0.1,
        owner_freezes: 0.1,
        owner_cuts: 0.1,
        ..NO_FAULTS
    };
    check("owners", &Scenario { faults, ..CALM });
}

#[test]
fn tasks_run_once_while_the_store_is_away() {
    let rates = Rates {
        store_slow: 0.3,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        store_outages: 0.1,
        write_outages: 0.1,
        outage_ms: 12_000,
        ..NO_FAULTS
    };
    check("store", &Scenario { faults, ..CALM });
}

/// Guards against ends that a worker cannot list because more than 500 others are not acknowledged.
#[test]
fn tasks_run_once_beside_many_unacknowledged_ends() {
    let faults = Faults {
        write_outages: 0.3,
        agent_kills: 0.1,
        outage_ms: 3_500,
        ..NO_FAULTS
    };
    let options = Options {
        hosts: 2,
        run_ms: (30, 300),
        ..OPTIONS
    };
    let scenario = Scenario {
        options,
        faults,
        jobs: 4.0,
        tasks: (60, 160),
        cpu: (50, 150),
        ..CALM
    };
    check("many ends", &scenario);
}

/// Guards against tasks that run twice, or again after an acknowledged end as done, because the row of
/// a run or of an end cannot be read. Half of the workers also list such rows for good.
#[test]
fn tasks_run_once_beside_unreadable_rows() {
    let faults = Faults {
        agent_kills: 0.05,
        owner_kills: 0.05,
        ..NO_FAULTS
    };
    let options = Options {
        odd_rows: 0.02,
        ..OPTIONS
    };
    let scenario = Scenario {
        options,
        faults,
        ..CALM
    };
    check("unreadable rows", &scenario);
}

#[test]
fn tasks_run_once_with_all_faults() {
    let faults = ALL_FAULTS;
    let scenario = Scenario { faults, ..CALM };
    check_found("all faults", &scenario, &[23, 53, 156]);
}

/// All faults but those that confuse workers: no identifier is used twice, and no heartbeat is late
/// or foreign.
#[test]
fn tasks_run_once_with_all_faults_but_confused_workers() {
    let rates = Rates {
        refused: 0.0,
        heartbeat_late: 0.0,
        ..ALL_FAULTS.rates
    };
    let faults = Faults {
        rates,
        same_id_crashes: 0.0,
        other_id_crashes: 0.2,
        departures: 0.0,
        foreign_heartbeats: 0.0,
        silences: 0.1,
        agent_kills: 0.1,
        agent_freezes: 0.1,
        owner_freezes: 0.08,
        owner_cuts: 0.08,
        ..ALL_FAULTS
    };
    let scenario = Scenario { faults, ..CALM };
    check_found("no confused workers", &scenario, &[258, 2_813]);
}

/// Guards against a job that is reported as complete and runs again: an end as done was acknowledged
/// after the worker's lease had ended. The end counts, since the run has done the work.
#[test]
fn nothing_starts_after_a_job_is_complete_while_agents_restart() {
    let faults = Faults {
        agent_kills: 0.2,
        agent_freezes: 0.2,
        agent_cuts: 0.2,
        ..NO_FAULTS
    };
    check("leases and agents", &Scenario { faults, ..CALM });
}

/// As above, while the store does not respond for longer than a lease and a confirmation last.
#[test]
fn nothing_starts_after_a_job_is_complete_while_the_store_is_away() {
    let faults = Faults {
        store_outages: 0.1,
        outage_ms: 12_000,
        ..NO_FAULTS
    };
    check("leases and the store", &Scenario { faults, ..CALM });
}

/// Guards against starts whose connection was closed, so that they counted as lost, and that the next
/// incarnation of the worker executes while the task runs elsewhere.
#[test]
fn tasks_run_once_while_calls_on_closed_connections_are_executed_late() {
    let rates = Rates {
        closed_late: 0.05,
        ..NO_FAULTS.rates
    };
    let faults = Faults {
        rates,
        same_id_crashes: 0.4,
        ..NO_FAULTS
    };
    let scenario = Scenario { faults, ..CALM };
    let found = [7, 9, 17, 25, 29, 32, 44, 48, 56];
    check_found("closed connections", &scenario, &found);
}

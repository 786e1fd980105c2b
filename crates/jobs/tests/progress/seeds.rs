//! Scenarios that are played with several seeds each.

use crate::models::Health;
use crate::scenarios::{Scenario, play};

/// Seeds that each scenario is played with. More are played by hand with `PROGRESS_SEEDS`.
const SEEDS: u64 = 12;
/// Seeds of the scenarios with a load that lasts, which take longer.
const LASTING_SEEDS: u64 = 2;

const CALM: Scenario = Scenario {
    workers: 11,
    best_effort: 0.9,
    urgent: 5.0,
    unplaceable: 0.0,
    services: 3,
    gangs: 0.0,
    scheduled: 0.0,
    ticketed: 0.0,
    slow_advice: false,
    heavy: 0.6,
    poisoned: 0.0,
    crashing: 0.0,
    crashing_tasks: 1,
    faults: 0.0,
    freezes: 0.0,
    losses: 0.0,
    resizes: 0.0,
    outages: 0.0,
    changes: 0.0,
    has_takeovers: false,
    lasting: &[],
    is_load_lasting: false,
};

fn check(name: &str, scenario: &Scenario) {
    let default_count = match scenario.is_load_lasting {
        true => LASTING_SEEDS,
        false => SEEDS,
    };
    check_seeds(name, scenario, default_count);
}

/// Plays a scenario with this number of seeds, unless `PROGRESS_SEEDS` says otherwise.
fn check_seeds(name: &str, scenario: &Scenario, default_count: u64) {
    let seeds = std::env::var("PROGRESS_SEEDS").ok();
    let count = seeds
        .and_then(|seeds| seeds.parse().ok())
        .unwrap_or(default_count);
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

/// Guards also against starts beyond a capacity that has shrunk, which some workers do not refuse.
#[test]
fn jobs_progress_while_capacities_of_workers_change() {
    let scenario = Scenario {
        resizes: 2.0,
        freezes: 0.2,
        faults: 0.3,
        has_takeovers: true,
        gangs: 0.1,
        ..CALM
    };
    check("capacities that change", &scenario);
}

const LASTING: Scenario = Scenario {
    gangs: 0.1,
    is_load_lasting: true,
    ..CALM
};

#[test]
fn jobs_progress_beside_workers_on_which_runs_hang() {
    let scenario = Scenario {
        lasting: &[Health::Hanging],
        ..LASTING
    };
    check("hanging workers", &scenario);
}

#[test]
fn jobs_progress_beside_workers_on_which_every_run_fails() {
    let scenario = Scenario {
        lasting: &[Health::Failing],
        ..LASTING
    };
    check("failing workers", &scenario);
}

#[test]
fn jobs_progress_after_workers_did_not_answer_their_agents() {
    let scenario = Scenario {
        freezes: 0.7,
        has_takeovers: true,
        faults: 0.2,
        ..LASTING
    };
    check("workers that freeze", &scenario);
}

#[test]
fn jobs_progress_in_queues_that_need_tickets() {
    let scenario = Scenario {
        ticketed: 0.5,
        ..LASTING
    };
    check("tickets", &scenario);
}

#[test]
fn best_effort_jobs_progress_in_queues_that_need_tickets() {
    let scenario = Scenario {
        ticketed: 0.8,
        best_effort: 4.0,
        urgent: 2.0,
        ..LASTING
    };
    check("best-effort backlog with tickets", &scenario);
}

#[test]
fn scheduled_jobs_progress() {
    let scenario = Scenario {
        scheduled: 0.7,
        urgent: 2.0,
        ..LASTING
    };
    check("schedules", &scenario);
}

#[test]
fn jobs_progress_while_operators_change_queues_domains_and_workers() {
    let scenario = Scenario {
        workers: 15,
        changes: 0.6,
        ..LASTING
    };
    check("changes by operators", &scenario);
}

#[test]
fn jobs_progress_after_outages_of_the_store_and_several_takeovers() {
    let scenario = Scenario {
        outages: 0.3,
        ..LASTING
    };
    check("outages", &scenario);
}

#[test]
fn service_tasks_return_while_workers_are_lost() {
    let scenario = Scenario {
        best_effort: 0.0,
        urgent: 0.0,
        services: 7,
        losses: 0.15,
        ..LASTING
    };
    check("services on a nearly full fleet", &scenario);
}

#[test]
fn service_tasks_return_while_workers_are_lost_beside_other_work() {
    let scenario = Scenario {
        best_effort: 2.0,
        services: 6,
        losses: 0.15,
        ..LASTING
    };
    check("services beside other work", &scenario);
}

#[test]
fn jobs_progress_beside_urgent_jobs_that_no_worker_can_run() {
    let scenario = Scenario {
        unplaceable: 2.0,
        ..LASTING
    };
    check("jobs that fit nowhere", &scenario);
}

#[test]
fn jobs_progress_beside_unreachable_workers() {
    let scenario = Scenario {
        lasting: &[Health::CutOff],
        ..LASTING
    };
    check("unreachable workers", &scenario);
}

#[test]
fn jobs_progress_beside_workers_that_do_not_answer_their_agents() {
    let scenario = Scenario {
        lasting: &[Health::Frozen],
        ..LASTING
    };
    check("frozen workers", &scenario);
}

#[test]
fn jobs_progress_beside_workers_that_refuse_every_start() {
    let scenario = Scenario {
        lasting: &[Health::Refusing],
        ..LASTING
    };
    check("refusing workers", &scenario);
}

#[test]
fn jobs_progress_while_most_jobs_fail() {
    let scenario = Scenario {
        poisoned: 0.8,
        urgent: 8.0,
        ..LASTING
    };
    check("mostly poisoned jobs", &scenario);
}

#[test]
fn jobs_progress_beside_workers_with_different_lasting_faults() {
    let scenario = Scenario {
        lasting: &[
            Health::Refusing,
            Health::Hanging,
            Health::Failing,
            Health::CutOff,
            Health::Frozen,
        ],
        faults: 0.5,
        ..LASTING
    };
    check("lasting faults", &scenario);
}

/// Guards against jobs that stand still or fail because of others whose tasks crash workers, and
/// against tasks that go on crashing them.
#[test]
fn jobs_progress_beside_jobs_that_crash_workers() {
    let scenario = Scenario {
        crashing: 0.03,
        ..CALM
    };
    check("crashing jobs", &scenario);
}

/// Guards against the same if all tasks of such a job crash workers, on most of the fleet at once.
#[test]
fn jobs_progress_beside_jobs_whose_tasks_all_crash_workers() {
    let scenario = Scenario {
        crashing: 0.03,
        crashing_tasks: u16::MAX,
        ..CALM
    };
    check("jobs whose tasks all crash workers", &scenario);
}

/// Guards against the same while they keep arriving, with gangs.
#[test]
fn jobs_progress_beside_jobs_that_crash_workers_to_the_end() {
    let scenario = Scenario {
        crashing: 0.02,
        gangs: 0.1,
        workers: 24,
        ..LASTING
    };
    check("crashing jobs that last", &scenario);
}

#[test]
fn service_tasks_return_beside_waiting_gangs() {
    let scenario = Scenario {
        gangs: 0.5,
        services: 6,
        losses: 0.1,
        urgent: 6.0,
        ..LASTING
    };
    check("services beside gangs", &scenario);
}

/// Fails with seed 5.
#[test]
fn jobs_progress_in_queues_that_need_tickets_beside_lasting_faults() {
    let scenario = Scenario {
        ticketed: 0.8,
        gangs: 0.2,
        lasting: &[Health::Refusing, Health::CutOff, Health::Hanging],
        ..LASTING
    };
    check_seeds("tickets beside lasting faults", &scenario, 6);
}

/// Guards against jobs that starve behind requests that the advice service handles for nobody, or that
/// name more workers than needed, and against steps that are passed over.
#[test]
fn jobs_progress_at_an_advice_service_that_answers_in_turn() {
    let scenario = Scenario {
        ticketed: 1.0,
        slow_advice: true,
        best_effort: 0.1,
        urgent: 0.4,
        gangs: 0.1,
        ..LASTING
    };
    check("advice in turn", &scenario);
}

/// Guards against the same after jobs were cancelled, workers came and went, and owners inherited the
/// requests of earlier ones at the service.
#[test]
fn jobs_progress_at_an_advice_service_that_answers_in_turn_after_faults_and_takeovers() {
    let scenario = Scenario {
        ticketed: 1.0,
        slow_advice: true,
        best_effort: 0.2,
        urgent: 1.0,
        gangs: 0.1,
        faults: 1.0,
        has_takeovers: true,
        ..CALM
    };
    check("advice in turn after faults", &scenario);
}

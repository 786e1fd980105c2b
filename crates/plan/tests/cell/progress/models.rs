//! Random callers, operators and faults over virtual time.

use hyssop_core::{CellRecord, Class, DomainState, JobCall, Millis, Resources, WorkerName};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use super::checks::Checker;
use crate::crashes::started_too_often;
use crate::fleet::Fleet;
use crate::samples::{batch, doc, service, team};
use crate::worker::Health;

/// Domains of the model, with one cell each.
const DOMAINS: [&str; 3] = ["a", "b", "c"];
/// Workers in each cell.
const WORKERS: usize = 4;
/// Steps between two checks.
const CHECK_STEPS: u64 = 5;
/// Prefix of the identifiers of jobs that crash workers.
const CRASHING_PREFIX: &str = "crashing-";
/// Virtual time of one play, in milliseconds.
const PLAY_MS: u64 = 120_000;

/// Load and faults of a scenario. Rates are per second of virtual time.
#[derive(Clone, Copy)]
pub(crate) struct Scenario {
    /// Batch jobs.
    pub(crate) batch: f64,
    /// Urgent jobs.
    pub(crate) urgent: f64,
    /// Share of the batch jobs that slow services down.
    pub(crate) noisy: f64,
    /// Slowdown of services that no other task causes, in percent.
    pub(crate) own_slowdown: u32,
    /// Changes of a worker to this health and back.
    pub(crate) unhealthy: (Health, f64),
    /// Workers that are lost or restarted.
    pub(crate) lost: f64,
    /// Batch jobs that crash every worker that starts them.
    pub(crate) crashing: f64,
    /// Domains that are taken out of service and brought back.
    pub(crate) drains: f64,
    /// Entries that are replaced.
    pub(crate) takeovers: f64,
    /// Whether some teams have quotas.
    pub(crate) has_quotas: bool,
}

/// Plays a scenario and returns the descriptions of the tasks that waited for too long.
pub(crate) fn play(scenario: &Scenario, seed: u64) -> Vec<String> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut fleet = Fleet::new(3, &DOMAINS, WORKERS);
    set_up(&mut fleet, scenario);
    fleet.run(8_000);
    let mut checker = Checker::default();
    let mut submitted = 0;
    let end = fleet.now + Millis(PLAY_MS);
    let mut steps = 0;
    while fleet.now < end {
        fleet.step();
        fleet.trace.clear();
        steps += 1;
        submit_jobs(&mut fleet, scenario, &mut rng, &mut submitted);
        cause_faults(&mut fleet, scenario, &mut rng);
        if steps % CHECK_STEPS == 0 {
            checker.check(&mut fleet);
        }
    }
    let mut violations: Vec<String> = checker.violations.into_values().collect();
    if scenario.crashing > 0.0 {
        violations.extend(crash_violations(&fleet));
    }
    violations
}

/// Returns descriptions of the innocent jobs that were given up, and of the jobs that were started
/// too often after the crashes that they caused.
fn crash_violations(fleet: &Fleet) -> Vec<String> {
    let records = fleet.streams.values().flat_map(|stream| &stream.records);
    let innocent = records.filter_map(|record| match &record.body {
        CellRecord::Abandoned { job, cause } if !job.as_str().starts_with(CRASHING_PREFIX) => {
            Some(format!("innocent {job} was given up: {cause}"))
        }
        _ => None,
    });
    let repeated = started_too_often(fleet).into_iter();
    let repeated = repeated.map(|job| format!("{job} was started too often after three crashes"));
    innocent.chain(repeated).collect()
}

fn set_up(fleet: &mut Fleet, scenario: &Scenario) {
    let mut quick = doc("quick", Class::Batch, 0);
    quick.moves.pause = 4;
    fleet.set_doc(quick);
    let mut fixed = doc("fix", Class::Batch, 0);
    fixed.moves.movable = false;
    fleet.set_doc(fixed);
    for name in ["planner", "sheets"] {
        let mut critical = doc(name, Class::LatencyCritical, 12);
        critical.needs.resources = Resources::new(2_000, 8_000, 0);
        fleet.set_doc(critical);
    }
    if scenario.has_quotas {
        fleet.set_quota("small", Resources::new(24_000, 60_000, 0));
        fleet.set_quota("other", Resources::new(36_000, 90_000, 0));
    }
    for worker in fleet.workers.values_mut() {
        worker.interference_percent = 20;
        worker.own_slowdown_percent = scenario.own_slowdown;
    }
}

fn submit_jobs(fleet: &mut Fleet, scenario: &Scenario, rng: &mut StdRng, submitted: &mut u64) {
    for (class, rate) in [
        (Class::Batch, scenario.batch),
        (Class::Urgent, scenario.urgent),
    ] {
        if !rng.random_bool((rate / 20.0).min(1.0)) {
            continue;
        }
        *submitted += 1;
        let mut spec = batch(&format!("j{submitted}"), rng.random_range(500..15_000));
        spec.class = class;
        spec.team = team(["haugland", "small", "other"][rng.random_range(0..3)]);
        spec.service = service(["cuts", "quick", "fix"][rng.random_range(0..3)]);
        spec.needs = Resources::new(
            1_000 * rng.random_range(1..=4),
            1_000 * rng.random_range(1..=8),
            0,
        );
        if class == Class::Batch && rng.random_bool(scenario.noisy) {
            spec.payload = "noisy".to_owned();
            spec.kind = service("route-plan");
        }
        let cell = fleet.cells[rng.random_range(0..fleet.cells.len())].clone();
        fleet.call(&cell, JobCall::Submit(spec));
    }
    if scenario.crashing > 0.0 && rng.random_bool((scenario.crashing / 20.0).min(1.0)) {
        *submitted += 1;
        let mut spec = batch(&format!("{CRASHING_PREFIX}{submitted}"), 60_000);
        spec.payload = "crash".to_owned();
        let cell = fleet.cells[rng.random_range(0..fleet.cells.len())].clone();
        fleet.call(&cell, JobCall::Submit(spec));
    }
}

fn cause_faults(fleet: &mut Fleet, scenario: &Scenario, rng: &mut StdRng) {
    let mut happens = |rate: f64| rate > 0.0 && rng.random_bool((rate / 20.0).min(1.0));
    let (is_unhealthy, is_lost) = (happens(scenario.unhealthy.1), happens(scenario.lost));
    let (is_drained, is_replaced) = (happens(scenario.drains), happens(scenario.takeovers));
    let name = |fleet: &Fleet, rng: &mut StdRng| -> WorkerName {
        let n = rng.random_range(0..fleet.workers.len());
        fleet.workers.keys().nth(n).cloned().expect("worker")
    };
    if is_unhealthy {
        let worker = fleet.workers.get_mut(&name(fleet, rng)).expect("worker");
        worker.health = match worker.health {
            Health::Good => scenario.unhealthy.0,
            _ => Health::Good,
        };
    }
    if is_lost {
        let worker = fleet.workers.get_mut(&name(fleet, rng)).expect("worker");
        if rng.random_bool(0.3) {
            worker.restart();
        } else {
            worker.is_unreachable = !worker.is_unreachable;
        }
    }
    if is_drained {
        let domain = DOMAINS[rng.random_range(0..DOMAINS.len())];
        let is_out = fleet.out_since.keys().any(|out| out.as_str() == domain);
        if is_out {
            fleet.set_domain(domain, DomainState::In);
        } else if fleet.out_since.is_empty() {
            fleet.set_domain(domain, DomainState::Out);
        }
    }
    if is_replaced {
        fleet.replace_entry(rng.random_range(0..fleet.entries.len()));
    }
}

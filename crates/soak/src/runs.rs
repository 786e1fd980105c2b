//! One run: executes a plan against a fleet with callers, and verifies the guarantees.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use hyssop_platform_standins::{Fault as CallFault, job};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::fleets::{Fleet, FleetOptions};
use crate::plans::{Fault, FaultMix, FleetSize, Plan};
use crate::proxies::ProxyMode;

/// Attempts of one submission or cancellation.
const MAX_ATTEMPTS: usize = 4;
/// Delay between two attempts.
const RETRY_DELAY: Duration = Duration::from_millis(150);
/// Longest delay of a caller between two jobs.
const MAX_IDLE_MS: u64 = 300;
/// Share of the accepted jobs that are cancelled.
const CANCELLED_PERCENT: u32 = 15;
/// Number of jobs that are asked for when an owner resumes.
const QUERIED_JOBS: usize = 4;
/// Time from SIGTERM to the restart of an entry; longer than its grace period of 2 s.
const RESTART_DELAY: Duration = Duration::from_millis(2_500);

/// Settings of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Settings of the processes.
    pub fleet: FleetOptions,
    /// Seed of the random faults and of the random jobs.
    pub seed: u64,
    /// Number of faults to inject.
    pub fault_count: usize,
    /// Faults to choose from.
    pub mix: FaultMix,
}

impl RunOptions {
    /// Returns the settings of a short run against the given `hyssop-fleet` program.
    #[must_use]
    pub fn new(program: impl Into<PathBuf>, seed: u64) -> Self {
        Self {
            fleet: FleetOptions::new(program),
            seed,
            fault_count: 8,
            mix: FaultMix::Any,
        }
    }

    /// Returns the fault plan, which depends on the settings only.
    #[must_use]
    pub fn plan(&self) -> Plan {
        let fleet_size = FleetSize {
            entry_count: usize::from(self.fleet.entry_count),
            agent_count: usize::from(self.fleet.worker_count),
        };
        Plan::generate(self.mix, self.seed, self.fault_count, fleet_size)
    }
}

/// Result of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Number of accepted jobs.
    pub accepted_count: usize,
    /// Number of jobs that were rejected on every attempt.
    pub rejected_count: usize,
    /// Number of jobs without an accepted attempt and with at least one of unknown outcome.
    pub unknown_count: usize,
    /// Number of tasks that the workers completed.
    pub task_count: usize,
    /// One description for each violated guarantee; empty if the run passed.
    pub violations: Vec<String>,
}

/// Outcome of a job as its caller observed it.
#[derive(Clone, Copy, Debug, Default)]
struct ObservedJob {
    is_accepted: bool,
    /// Whether the outcome of an attempt is unknown, so that the job may have been accepted.
    has_unknown_attempt: bool,
    is_cancelled: bool,
    /// Whether an entry has answered after the acceptance that there is no such job.
    is_denied: bool,
}

/// Executes the plan against a fleet and verifies the guarantees.
pub async fn run(options: &RunOptions) -> Report {
    let mut fleet = Fleet::start(&options.fleet).await;
    let mut jobs = BTreeMap::new();
    let mut rng = StdRng::seed_from_u64(options.seed ^ 1);
    for (delay, fault) in options.plan().steps {
        let calls = run_callers(&fleet, &mut jobs, &mut rng, delay);
        calls.await;
        inject_fault(&mut fleet, &fault, &mut jobs, &mut rng).await;
    }
    for entry in 0..fleet.entry_count() {
        fleet.restart_exited_entry(entry);
    }
    verify_guarantees(&fleet, &jobs).await
}

/// Submits and cancels jobs for at least the given duration.
async fn run_callers(
    fleet: &Fleet,
    jobs: &mut BTreeMap<u64, ObservedJob>,
    rng: &mut StdRng,
    duration: Duration,
) {
    let end = tokio::time::Instant::now() + duration;
    while tokio::time::Instant::now() < end {
        submit_random_job(fleet, jobs, rng).await;
        sleep(Duration::from_millis(rng.random_range(0..=MAX_IDLE_MS))).await;
    }
}

/// Submits one job, and cancels some of the accepted ones.
async fn submit_random_job(fleet: &Fleet, jobs: &mut BTreeMap<u64, ObservedJob>, rng: &mut StdRng) {
    let id = jobs.len() as u64 + 1;
    let steps = rng.random_range(1..=3);
    let steps: Vec<u32> = (0..steps).map(|_| rng.random_range(1..=4)).collect();
    let body = job(&steps, rng.random_range(20..=400));
    let mut observed = ObservedJob::default();
    let mut entry = rng.random_range(0..fleet.entry_count());
    for _ in 0..MAX_ATTEMPTS {
        match fleet.try_submit(entry, id, &body).await {
            Some(200) => observed.is_accepted = true,
            Some(429 | 503) => {}
            Some(_) | None => observed.has_unknown_attempt = true,
        }
        if observed.is_accepted {
            break;
        }
        entry = (entry + 1) % fleet.entry_count();
        sleep(RETRY_DELAY).await;
    }
    if observed.is_accepted && rng.random_ratio(CANCELLED_PERCENT, 100) {
        for _ in 0..MAX_ATTEMPTS {
            if fleet.try_cancel(entry, id).await == Some(200) {
                observed.is_cancelled = true;
                break;
            }
            entry = (entry + 1) % fleet.entry_count();
            sleep(RETRY_DELAY).await;
        }
    }
    jobs.insert(id, observed);
}

/// Injects a fault and runs callers until it ends.
async fn inject_fault(
    fleet: &mut Fleet,
    fault: &Fault,
    jobs: &mut BTreeMap<u64, ObservedJob>,
    rng: &mut StdRng,
) {
    match *fault {
        Fault::KillEntry(entry) => fleet.restart_entry(entry),
        Fault::StopEntry(entry) => {
            fleet.signal_entry(entry, Signal::SIGTERM);
            run_callers(fleet, jobs, rng, RESTART_DELAY).await;
            fleet.restart_exited_entry(entry);
        }
        Fault::FreezeEntry(entry, duration) => {
            fleet.signal_entry(entry, Signal::SIGSTOP);
            run_callers(fleet, jobs, rng, duration).await;
            fleet.signal_entry(entry, Signal::SIGCONT);
        }
        Fault::FreezeOwner(duration) => {
            let Some(entry) = fleet.find_owner().await else {
                return;
            };
            fleet.signal_entry(entry, Signal::SIGSTOP);
            run_callers(fleet, jobs, rng, duration).await;
            fleet.signal_entry(entry, Signal::SIGCONT);
            query_accepted_jobs(fleet, entry, jobs).await;
        }
        Fault::KillAgent(agent) => fleet.restart_agent(agent),
        Fault::FreezeAgent(agent, duration) => {
            fleet.signal_agent(agent, Signal::SIGSTOP);
            run_callers(fleet, jobs, rng, duration).await;
            fleet.signal_agent(agent, Signal::SIGCONT);
        }
        Fault::LoseWorker(worker) => fleet.restart_worker(worker).await,
        Fault::StoreDown(status, duration) => {
            fleet.store.set_unavailable(Some(status));
            run_callers(fleet, jobs, rng, duration).await;
            fleet.store.set_unavailable(None);
        }
        Fault::LoseAnswers(count) => {
            for _ in 0..count {
                fleet.store.inject_fault(CallFault::LoseResponse);
            }
        }
        Fault::CutEntry(entry, mode, duration) => {
            fleet.set_entry_proxy(entry, mode);
            run_callers(fleet, jobs, rng, duration).await;
            fleet.set_entry_proxy(entry, ProxyMode::Open);
        }
        Fault::CutAgent(agent, mode, duration) => {
            fleet.set_agent_proxy(agent, mode);
            run_callers(fleet, jobs, rng, duration).await;
            fleet.set_agent_proxy(agent, ProxyMode::Open);
        }
    }
}

/// Asks one entry for the last accepted jobs, one after the other.
async fn query_accepted_jobs(fleet: &Fleet, entry: usize, jobs: &mut BTreeMap<u64, ObservedJob>) {
    let accepted = jobs.iter_mut().rev().filter(|(_, job)| job.is_accepted);
    for (&id, observed) in accepted.take(QUERIED_JOBS) {
        observed.is_denied |= fleet.try_show(entry, id).await == Some(410);
    }
}

/// Waits until all accepted jobs have ended, and compares what callers and workers observed.
async fn verify_guarantees(fleet: &Fleet, jobs: &BTreeMap<u64, ObservedJob>) -> Report {
    let mut report = Report::default();
    for (&id, observed) in jobs {
        if observed.is_accepted {
            report.accepted_count += 1;
            if observed.is_denied {
                let violation = format!("job {id:016x} was accepted and then shown as unknown");
                report.violations.push(violation);
            }
            let state = fleet.wait_finished(id).await;
            let is_expected = match state.as_str() {
                "complete" => true,
                "cancelled" => observed.is_cancelled || observed.has_unknown_attempt,
                _ => false,
            };
            if !is_expected {
                let violation = format!("job {id:016x} was accepted but ended as {state}");
                report.violations.push(violation);
            }
        } else if observed.has_unknown_attempt {
            report.unknown_count += 1;
        } else {
            report.rejected_count += 1;
            if fleet.ledger.has_started(id) {
                let violation =
                    format!("job {id:016x} was rejected on every attempt but was started");
                report.violations.push(violation);
            }
        }
    }
    report.violations.extend(fleet.ledger.violations());
    report.task_count = fleet.ledger.done_count();
    report
}

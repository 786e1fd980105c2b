//! One run: a fleet, a plan, callers, and what they may rely on.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use hyssop_platform_standins::{Fault as CallFault, job};
use nix::sys::signal::Signal;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::fleets::{Fleet, FleetOptions};
use crate::plans::{Fault, FleetSize, Plan};
use crate::proxies::ProxyMode;

/// Tries of one submission or cancellation.
const TRIES: usize = 4;
/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(150);
/// Longest pause of a caller between two jobs.
const MOST_IDLE: u64 = 300;
/// Share of jobs that are cancelled, in percent.
const CANCELLED: u32 = 15;
/// Time from SIGTERM to the new start of an entry, beyond its grace period.
const STOP: Duration = Duration::from_millis(2_500);

/// What a run is made of.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Fleet.
    pub fleet: FleetOptions,
    /// Seed of the faults and of the callers.
    pub seed: u64,
    /// Faults.
    pub fault_count: usize,
}

impl RunOptions {
    /// Returns the options of a short run.
    #[must_use]
    pub fn new(program: impl Into<PathBuf>, seed: u64) -> Self {
        Self {
            fleet: FleetOptions::new(program),
            seed,
            fault_count: 8,
        }
    }

    /// Returns the faults of the run.
    #[must_use]
    pub fn plan(&self) -> Plan {
        let shape = FleetSize {
            entry_count: usize::from(self.fleet.entry_count),
            agent_count: usize::from(self.fleet.worker_count),
        };
        Plan::generate(self.seed, self.fault_count, shape)
    }
}

/// What came of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Jobs that were accepted.
    pub accepted_count: usize,
    /// Jobs whose every try was refused.
    pub rejected_count: usize,
    /// Jobs with a try that was not answered, and none that was accepted.
    pub unknown_count: usize,
    /// Tasks that were done.
    pub task_count: usize,
    /// Broken promises.
    pub violations: Vec<String>,
}

/// What a caller knows of its job.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    accepted: bool,
    /// Whether a try had no answer, so that the job may have been accepted.
    unanswered: bool,
    cancelled: bool,
}

/// Plays a plan against a fleet and checks the promises.
pub async fn run(options: &RunOptions) -> Report {
    let mut fleet = Fleet::start(&options.fleet).await;
    let mut jobs = BTreeMap::new();
    let mut rng = StdRng::seed_from_u64(options.seed ^ 1);
    for (pause, fault) in options.plan().steps {
        let calls = call_for(&fleet, &mut jobs, &mut rng, pause);
        calls.await;
        strike(&mut fleet, &fault, &mut jobs, &mut rng).await;
    }
    for entry in 0..fleet.entry_count() {
        fleet.restart_exited_entry(entry);
    }
    check(&fleet, &jobs).await
}

/// Submits and cancels jobs for at least a time.
async fn call_for(
    fleet: &Fleet,
    jobs: &mut BTreeMap<u64, Known>,
    rng: &mut StdRng,
    time: Duration,
) {
    let end = tokio::time::Instant::now() + time;
    while tokio::time::Instant::now() < end {
        call(fleet, jobs, rng).await;
        sleep(Duration::from_millis(rng.random_range(0..=MOST_IDLE))).await;
    }
}

/// Submits one job, and cancels it at times.
async fn call(fleet: &Fleet, jobs: &mut BTreeMap<u64, Known>, rng: &mut StdRng) {
    let id = jobs.len() as u64 + 1;
    let steps = rng.random_range(1..=3);
    let steps: Vec<u32> = (0..steps).map(|_| rng.random_range(1..=4)).collect();
    let body = job(&steps, rng.random_range(20..=400));
    let mut known = Known::default();
    let mut entry = rng.random_range(0..fleet.entry_count());
    for _ in 0..TRIES {
        match fleet.try_submit(entry, id, &body).await {
            Some(200) => known.accepted = true,
            Some(429 | 503) => {}
            Some(_) | None => known.unanswered = true,
        }
        if known.accepted {
            break;
        }
        entry = (entry + 1) % fleet.entry_count();
        sleep(PAUSE).await;
    }
    if known.accepted && rng.random_ratio(CANCELLED, 100) {
        for _ in 0..TRIES {
            if fleet.try_cancel(entry, id).await == Some(200) {
                known.cancelled = true;
                break;
            }
            entry = (entry + 1) % fleet.entry_count();
            sleep(PAUSE).await;
        }
    }
    jobs.insert(id, known);
}

/// Lets a fault happen, with callers at work while it lasts.
async fn strike(
    fleet: &mut Fleet,
    fault: &Fault,
    jobs: &mut BTreeMap<u64, Known>,
    rng: &mut StdRng,
) {
    match *fault {
        Fault::KillEntry(entry) => fleet.restart_entry(entry),
        Fault::StopEntry(entry) => {
            fleet.signal_entry(entry, Signal::SIGTERM);
            call_for(fleet, jobs, rng, STOP).await;
            fleet.restart_exited_entry(entry);
        }
        Fault::FreezeEntry(entry, time) => {
            fleet.signal_entry(entry, Signal::SIGSTOP);
            call_for(fleet, jobs, rng, time).await;
            fleet.signal_entry(entry, Signal::SIGCONT);
        }
        Fault::KillAgent(agent) => fleet.restart_agent(agent),
        Fault::FreezeAgent(agent, time) => {
            fleet.signal_agent(agent, Signal::SIGSTOP);
            call_for(fleet, jobs, rng, time).await;
            fleet.signal_agent(agent, Signal::SIGCONT);
        }
        Fault::LoseWorker(worker) => fleet.restart_worker(worker).await,
        Fault::StoreDown(status, time) => {
            fleet.store.set_down(Some(status));
            call_for(fleet, jobs, rng, time).await;
            fleet.store.set_down(None);
        }
        Fault::LoseAnswers(count) => {
            for _ in 0..count {
                fleet.store.fail(CallFault::LoseAnswer);
            }
        }
        Fault::CutEntry(entry, mode, time) => {
            fleet.set_entry_proxy(entry, mode);
            call_for(fleet, jobs, rng, time).await;
            fleet.set_entry_proxy(entry, ProxyMode::Open);
        }
        Fault::CutAgent(agent, mode, time) => {
            fleet.set_agent_proxy(agent, mode);
            call_for(fleet, jobs, rng, time).await;
            fleet.set_agent_proxy(agent, ProxyMode::Open);
        }
    }
}

/// Waits for all accepted jobs and checks what callers and workers saw.
async fn check(fleet: &Fleet, jobs: &BTreeMap<u64, Known>) -> Report {
    let mut report = Report::default();
    for (&id, known) in jobs {
        if known.accepted {
            report.accepted_count += 1;
            let state = fleet.wait_finished(id).await;
            let is_right = match state.as_str() {
                "complete" => true,
                "cancelled" => known.cancelled || known.unanswered,
                _ => false,
            };
            if !is_right {
                let broken = format!("job {id:016x} was accepted and is shown as {state}");
                report.violations.push(broken);
            }
        } else if known.unanswered {
            report.unknown_count += 1;
        } else {
            report.rejected_count += 1;
            if fleet.ledger.has_started(id) {
                let broken = format!("job {id:016x} was refused by every try and has started");
                report.violations.push(broken);
            }
        }
    }
    report.violations.extend(fleet.ledger.faults());
    report.task_count = fleet.ledger.done();
    report
}

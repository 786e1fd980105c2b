//! One run: executes a plan against a fleet with callers, and verifies the guarantees.

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use hyssop_platform_standins::{AckRule, AdviceTimes, Fault as CallFault, RestartOptions};
use nix::sys::signal::Signal;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::callers::{Callers, ObservedJob};
use crate::fleets::{Fleet, FleetOptions};
use crate::plans::{Fault, FaultMix, FleetSize, Plan, random_millis};
use crate::progress::check_progress;
use crate::proxies::ProxyMode;

/// Number of jobs that are asked for when an owner resumes.
const QUERIED_JOBS: usize = 4;
/// Time from SIGTERM to the restart of an entry; longer than its grace period of 2 s.
const RESTART_DELAY: Duration = Duration::from_millis(2_500);

/// Time for which callers may ask for a job after its end.
const SHOWN_TIME: Duration = Duration::from_secs(120);
/// Longest leases of the users' deployments: most name theirs, and the others have the default.
const NAMED_LEASE: Duration = Duration::from_secs(6);
const DEFAULT_LEASE: Duration = Duration::from_secs(10);

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
    /// Whether the queue's steps need tickets of an advisor that handles requests in turn. The seed
    /// selects its times.
    pub slow_advice: bool,
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
            slow_advice: false,
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

    /// Returns the settings of the processes and of the workers, some of which depend on the seed.
    fn fleet(&self) -> FleetOptions {
        let mut fleet = self.fleet.clone();
        if self.mix == FaultMix::RestartedWorkers {
            fleet.names_lease = self.seed.is_multiple_of(2);
            fleet.max_lease = match fleet.names_lease {
                true => NAMED_LEASE,
                false => DEFAULT_LEASE,
            };
            fleet.ack_rule = match (self.seed / 2).is_multiple_of(2) {
                true => AckRule::HighWater,
                false => AckRule::DropAtCall,
            };
        }
        if self.slow_advice {
            let mut rng = StdRng::seed_from_u64(self.seed ^ 2);
            fleet.advice = Some(AdviceTimes {
                decide: random_millis(&mut rng, 0, 120),
                per_worker: random_millis(&mut rng, 0, 60),
                valid: random_millis(&mut rng, 600, 5_000),
            });
        }
        fleet
    }

    /// Returns the worker that is silent during the check for progress.
    fn silent_worker(&self) -> usize {
        (self.seed % u64::from(self.fleet.worker_count)) as usize
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
    /// Number of jobs that were checked for progress.
    pub checked_count: usize,
    /// Number of times that the check for progress began anew because a process was kept from
    /// running.
    pub starved_count: usize,
    /// Number of calls that a worker executed after a restart, although an earlier incarnation had
    /// received them.
    pub late_call_count: usize,
    /// One description for each violated guarantee; empty if the run passed.
    pub violations: Vec<String>,
}

/// Executes the plan against a fleet and verifies the guarantees.
pub async fn run(options: &RunOptions) -> Report {
    let mut fleet = Fleet::start(&options.fleet()).await;
    let callers = Callers::new(options.seed ^ 1, options.mix);
    callers.submit_services(&fleet).await;
    for (delay, fault) in options.plan().steps {
        callers.run(&fleet, delay).await;
        inject_fault(&mut fleet, &fault, &callers).await;
    }
    for entry in 0..fleet.entry_count() {
        fleet.restart_exited_entry(entry);
    }
    let silent_worker = (options.mix == FaultMix::SilentWorkers).then(|| options.silent_worker());
    if let Some(worker) = silent_worker {
        fleet.set_worker_silent(worker, true);
    }
    let progress = check_progress(&fleet, &callers).await;
    if let Some(worker) = silent_worker {
        fleet.set_worker_silent(worker, false);
    }
    callers.cancel_services(&fleet).await;
    callers.query_open_jobs(&fleet).await;
    let mut report = verify_guarantees(&fleet, &callers.jobs()).await;
    report.checked_count = progress.checked_count;
    report.starved_count = progress.starved_count;
    report.violations.extend(progress.violations);
    report
}

/// Injects a fault and runs callers until it ends.
async fn inject_fault(fleet: &mut Fleet, fault: &Fault, callers: &Callers) {
    match *fault {
        Fault::RestartWorker(ref restart) => restart.inject(fleet, callers).await,
        Fault::KillEntry(entry) => fleet.restart_entry(entry),
        Fault::StopEntry(entry) => {
            fleet.signal_entry(entry, Signal::SIGTERM);
            callers.run(fleet, RESTART_DELAY).await;
            // Its grace period is over; a process that still runs is killed, as on the platform.
            fleet.restart_entry(entry);
        }
        Fault::FreezeEntry(entry, duration) => {
            fleet.signal_entry(entry, Signal::SIGSTOP);
            callers.run(fleet, duration).await;
            fleet.signal_entry(entry, Signal::SIGCONT);
        }
        Fault::FreezeOwner(duration) => {
            let Some(entry) = fleet.find_owner().await else {
                return;
            };
            fleet.signal_entry(entry, Signal::SIGSTOP);
            callers.run(fleet, duration).await;
            fleet.signal_entry(entry, Signal::SIGCONT);
            query_accepted_jobs(fleet, entry, callers).await;
        }
        Fault::KillAgent(agent) => fleet.restart_agent(agent),
        Fault::FreezeAgent(agent, duration) => {
            fleet.signal_agent(agent, Signal::SIGSTOP);
            callers.run(fleet, duration).await;
            fleet.signal_agent(agent, Signal::SIGCONT);
        }
        Fault::LoseWorker(worker) => fleet.restart_worker(worker, &RestartOptions::default()),
        Fault::SilenceWorker(worker, duration) => {
            fleet.set_worker_silent(worker, true);
            callers.run(fleet, duration).await;
            fleet.set_worker_silent(worker, false);
        }
        Fault::StoreDown(status, duration) => {
            fleet.store.set_unavailable(Some(status));
            callers.run(fleet, duration).await;
            fleet.store.set_unavailable(None);
        }
        Fault::LoseAnswers(count) => {
            for _ in 0..count {
                fleet.store.inject_fault(CallFault::LoseResponse);
            }
        }
        Fault::CutEntry(entry, mode, duration) => {
            fleet.set_entry_proxy(entry, mode);
            callers.run(fleet, duration).await;
            fleet.set_entry_proxy(entry, ProxyMode::Open);
        }
        Fault::CutAgent(agent, mode, duration) => {
            fleet.set_agent_proxy(agent, mode);
            callers.run(fleet, duration).await;
            fleet.set_agent_proxy(agent, ProxyMode::Open);
        }
    }
}

/// Asks one entry for the last accepted jobs, one after the other.
async fn query_accepted_jobs(fleet: &Fleet, entry: usize, callers: &Callers) {
    let jobs = callers.jobs();
    let accepted = jobs.into_iter().rev().filter(|(_, job)| job.is_accepted);
    for (id, _) in accepted.take(QUERIED_JOBS) {
        let is_denied = fleet.try_show(entry, id).await == Some(410);
        callers.update(id, |job| job.is_denied |= is_denied);
    }
}

/// Waits until all accepted jobs have ended, and compares what callers and workers observed.
async fn verify_guarantees(fleet: &Fleet, jobs: &BTreeMap<u64, ObservedJob>) -> Report {
    let mut report = Report::default();
    // Ended jobs come first, since they need not be known for longer than `SHOWN_TIME`.
    let (ended, open): (Vec<_>, Vec<_>) = jobs.iter().partition(|(_, job)| job.shown_end.is_some());
    for (&id, observed) in ended.into_iter().chain(open) {
        if observed.is_accepted {
            report.accepted_count += 1;
            if observed.is_denied {
                let violation = format!("job {id:016x} was accepted and then shown as unknown");
                report.violations.push(violation);
            }
            let state = match &observed.shown_end {
                Some((at, state)) if at.elapsed() > SHOWN_TIME => state.clone(),
                _ => fleet.wait_finished(id).await,
            };
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
    fleet.settle_repetitions().await;
    report.violations.extend(fleet.ledger.violations());
    report.late_call_count = fleet.ledger.late_call_count();
    report.task_count = fleet.ledger.done_count();
    report
}

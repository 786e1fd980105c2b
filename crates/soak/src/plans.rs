//! Random series of faults, reproducible by their seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxies::ProxyMode;
use crate::restarts::Restart;

/// Number of processes that a plan can inject faults into.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of entries; at least 1.
    pub entry_count: usize,
    /// Number of agents, one per worker; at least 1.
    pub agent_count: usize,
}

/// One fault. The first index selects the entry, agent or worker, counted from 0.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kill an entry and restart it at once.
    KillEntry(usize),
    /// Send SIGTERM to an entry, and restart it after it has exited.
    StopEntry(usize),
    /// Suspend an entry with SIGSTOP for the given duration.
    FreezeEntry(usize, Duration),
    /// Suspend the entry that owns the jobs with SIGSTOP for the given duration.
    FreezeOwner(Duration),
    /// Kill an agent and restart it at once.
    KillAgent(usize),
    /// Suspend an agent with SIGSTOP for the given duration.
    FreezeAgent(usize, Duration),
    /// Terminate a worker with its runs, and start its next incarnation.
    LoseWorker(usize),
    /// Restart a worker under its identifier, with calls in flight and further faults beside it.
    RestartWorker(Restart),
    /// Let the calls to a worker wait for the given duration; its agent is well.
    SilenceWorker(usize, Duration),
    /// Reject every call to the store with an HTTP status for the given duration.
    StoreDown(u16, Duration),
    /// Drop the responses of the given number of calls to the store.
    LoseAnswers(usize),
    /// Set the mode of the proxy between an entry and the store for the given duration.
    CutEntry(usize, ProxyMode, Duration),
    /// Set the mode of the proxy between an agent and the store for the given duration.
    CutAgent(usize, ProxyMode, Duration),
}

/// Faults that a plan consists of.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FaultMix {
    /// Every kind of fault but silent workers, equally often. The plans of recorded seeds stay the
    /// same.
    #[default]
    Any,
    /// Mostly frozen owners, with other faults in between.
    FrozenOwners,
    /// Mostly silent workers, with other faults in between. One worker is silent until the end of
    /// the check for progress.
    SilentWorkers,
    /// Mostly workers that restart under their identifiers and execute late calls, with other faults in
    /// between. The seed also selects the longest lease and how workers treat acknowledged ends.
    RestartedWorkers,
}

/// A series of faults.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Each fault with the delay before it, in order of execution.
    pub steps: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Generates a plan. The same arguments always give the same plan.
    #[must_use]
    pub fn generate(mix: FaultMix, seed: u64, fault_count: usize, fleet_size: FleetSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        // With a generator of its own, the other values of recorded seeds stay the same.
        let mut lead_rng = StdRng::seed_from_u64(seed ^ 3);
        let steps = (0..fault_count).map(|_| {
            // Some faults overlap, others are up to a second apart.
            let delay = random_millis(&mut rng, 0, 900);
            if mix == FaultMix::FrozenOwners && rng.random_ratio(2, 3) {
                // The shortest freeze ends before another entry claims, the longest well after.
                return (
                    delay,
                    Fault::FreezeOwner(random_millis(&mut rng, 600, 2_800)),
                );
            }
            if mix == FaultMix::SilentWorkers && rng.random_ratio(2, 3) {
                return (delay, random_silence(&mut rng, fleet_size));
            }
            if mix == FaultMix::RestartedWorkers && rng.random_ratio(2, 3) {
                let worker = rng.random_range(0..fleet_size.agent_count);
                let restart = Restart::random(&mut rng, worker).with_random_lead(&mut lead_rng);
                return (delay, Fault::RestartWorker(restart));
            }
            (delay, random_fault(&mut rng, fleet_size))
        });
        Self {
            steps: steps.collect(),
        }
    }
}

pub(crate) fn random_millis(rng: &mut impl Rng, min: u64, max: u64) -> Duration {
    Duration::from_millis(rng.random_range(min..=max))
}

/// Returns the silence of a worker. The longest takes twice the longest lease that a worker accepts.
fn random_silence(rng: &mut impl Rng, fleet_size: FleetSize) -> Fault {
    let worker = rng.random_range(0..fleet_size.agent_count);
    Fault::SilenceWorker(worker, random_millis(rng, 300, 12_000))
}

fn random_fault(rng: &mut impl Rng, fleet_size: FleetSize) -> Fault {
    let entry = rng.random_range(0..fleet_size.entry_count);
    let agent = rng.random_range(0..fleet_size.agent_count);
    // The longest durations exceed an owner failover and the expiry of a lease.
    let duration = random_millis(rng, 200, 2_500);
    match rng.random_range(0..10) {
        0 => Fault::KillEntry(entry),
        1 => Fault::StopEntry(entry),
        2 => Fault::FreezeEntry(entry, duration),
        3 => Fault::KillAgent(agent),
        4 => Fault::FreezeAgent(agent, duration * 2),
        5 => Fault::LoseWorker(agent),
        6 => Fault::StoreDown(if rng.random() { 503 } else { 429 }, duration),
        7 => Fault::LoseAnswers(rng.random_range(1..6)),
        8 => Fault::CutEntry(entry, random_proxy_mode(rng), duration),
        _ => Fault::CutAgent(agent, random_proxy_mode(rng), duration),
    }
}

fn random_proxy_mode(rng: &mut impl Rng) -> ProxyMode {
    match rng.random_range(0..4) {
        0 => ProxyMode::Reset,
        1 => ProxyMode::Silent,
        2 => ProxyMode::OneWay,
        _ => ProxyMode::Delayed(random_millis(rng, 20, 400)),
    }
}

//! Series of faults, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxies::ProxyMode;

/// Size of the fleet that a plan is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FleetSize {
    /// Entries.
    pub entry_count: usize,
    /// Agents, one beside each worker.
    pub agent_count: usize,
}

/// One fault. Processes and workers are meant by their number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Kill an entry and start it again.
    KillEntry(usize),
    /// Ask an entry to stop, and start it again when it has ended.
    StopEntry(usize),
    /// Freeze an entry for a time.
    FreezeEntry(usize, Duration),
    /// Kill an agent and start it again.
    KillAgent(usize),
    /// Freeze an agent for a time.
    FreezeAgent(usize, Duration),
    /// End a worker with all that runs on it, and start another life of it.
    LoseWorker(usize),
    /// Refuse every call to the store with a status for a time.
    StoreDown(u16, Duration),
    /// Lose the answers of so many calls to the store.
    LoseAnswers(usize),
    /// Let the connections of an entry to the store fail for a time.
    CutEntry(usize, ProxyMode, Duration),
    /// Let the connections of an agent to the store fail for a time.
    CutAgent(usize, ProxyMode, Duration),
}

/// A series of faults with the pauses before them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// Pauses and faults.
    pub steps: Vec<(Duration, Fault)>,
}

impl Plan {
    /// Draws a plan.
    #[must_use]
    pub fn generate(seed: u64, fault_count: usize, shape: FleetSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let steps = (0..fault_count).map(|_| {
            // Some faults come together, others a second apart.
            let pause = millis(&mut rng, 0, 900);
            (pause, draw(&mut rng, shape))
        });
        Self {
            steps: steps.collect(),
        }
    }
}

fn millis(rng: &mut impl Rng, least: u64, most: u64) -> Duration {
    Duration::from_millis(rng.random_range(least..=most))
}

fn draw(rng: &mut impl Rng, shape: FleetSize) -> Fault {
    let entry = rng.random_range(0..shape.entry_count);
    let agent = rng.random_range(0..shape.agent_count);
    // Up to what takes another owner, or the end of a lease, and beyond.
    let time = millis(rng, 200, 2_500);
    match rng.random_range(0..10) {
        0 => Fault::KillEntry(entry),
        1 => Fault::StopEntry(entry),
        2 => Fault::FreezeEntry(entry, time),
        3 => Fault::KillAgent(agent),
        4 => Fault::FreezeAgent(agent, time * 2),
        5 => Fault::LoseWorker(agent),
        6 => Fault::StoreDown(if rng.random() { 503 } else { 429 }, time),
        7 => Fault::LoseAnswers(rng.random_range(1..6)),
        8 => Fault::CutEntry(entry, mode(rng), time),
        _ => Fault::CutAgent(agent, mode(rng), time),
    }
}

fn mode(rng: &mut impl Rng) -> ProxyMode {
    match rng.random_range(0..4) {
        0 => ProxyMode::Reset,
        1 => ProxyMode::Silent,
        2 => ProxyMode::OneWay,
        _ => ProxyMode::Delayed(millis(rng, 20, 400)),
    }
}

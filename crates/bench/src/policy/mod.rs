//! The policy against three baselines, in virtual time behind the cores' interfaces.
//!
//! The fixture is no cluster simulator: workers answer polls, a stream in memory takes records,
//! and a table of pairwise slowdowns that the policy cannot see makes neighbours slow each other
//! down. The baselines see the whole fleet at once and write no records, which gives them shorter
//! delays than any real scheduler of their kind has.

mod baselines;
mod callers;
mod fleets;
mod mixes;
mod scenarios;
mod schedulers;
mod tables;
mod workers;

use std::sync::Mutex;

pub use fleets::Measured;
pub use mixes::Mix;
pub use scenarios::Scenario;
pub use schedulers::Policy;
pub use tables::Row;

/// Seconds before the measurement begins.
const WARM: u64 = 60;
/// Policies in the order of the table.
pub const POLICIES: [Policy; 4] = [
    Policy::Hyssop,
    Policy::FirstFit,
    Policy::Separation,
    Policy::EvictAtOnce,
];

/// Settings of a call.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of seeds.
    pub seeds: u64,
    /// Seconds measured in each run.
    pub seconds: u64,
    /// Factor on all slowdowns that batch jobs cause.
    pub noise: f64,
    /// Threads.
    pub threads: usize,
}

/// Measures one run.
#[must_use]
pub fn run(mix: &Mix, policy: Policy, scenario: Scenario, seed: u64, options: Options) -> Measured {
    let fleet = fleets::Fleet::new(mix, policy, scenario, seed, options.noise);
    fleet.run(WARM, options.seconds)
}

/// Measures all users, scenarios and policies, and returns one row for each.
///
/// # Panics
///
/// Panics if a thread of the measurement panics.
#[must_use]
pub fn measure(options: Options) -> Vec<Row> {
    let mut runs = Vec::new();
    for mix in [Mix::haugland(), Mix::morski()] {
        for scenario in Scenario::ALL {
            for policy in POLICIES {
                runs.push((mix.clone(), scenario, policy));
            }
        }
    }
    let next = Mutex::new(0..runs.len());
    let rows: Mutex<Vec<(usize, Row)>> = Mutex::new(Vec::new());
    std::thread::scope(|scope| {
        for _ in 0..options.threads.max(1) {
            scope.spawn(|| {
                while let Some(n) = { next.lock().expect("no thread panics").next() } {
                    let (mix, scenario, policy) = &runs[n];
                    let seeds = 1..=options.seeds;
                    let results: Vec<Measured> = seeds
                        .map(|seed| run(mix, *policy, *scenario, seed, options))
                        .collect();
                    let row = Row::new(mix.name, *scenario, *policy, &results);
                    rows.lock().expect("no thread panics").push((n, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().expect("no thread panics");
    rows.sort_by_key(|(n, _)| *n);
    rows.into_iter().map(|(_, row)| row).collect()
}

/// Writes the table and the verdict on each target.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    tables::table(rows)
}

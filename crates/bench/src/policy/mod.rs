//! Measurement of the scheduling policy against three baselines, in virtual time.
//!
//! The fixture drives the cores through their inputs and outputs and does not simulate a whole
//! cluster: workers reply to polls, an in-memory stream stores records, and a table of pairwise
//! slowdowns, which the policy cannot see, determines how much tasks on one worker slow each other
//! down. The baselines see the whole fleet at once and write no records, so their delays are
//! shorter than those of any real scheduler of their kind.

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

/// Virtual time before the measurement begins.
const WARMUP_SECONDS: u64 = 60;
/// Policies in the order of the table.
pub const POLICIES: [Policy; 4] = [
    Policy::Hyssop,
    Policy::FirstFit,
    Policy::Separation,
    Policy::EvictAtOnce,
];

/// Settings of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Options {
    /// Number of runs of each user, scenario and policy, with the seeds 1, 2 and so on.
    pub seeds: u64,
    /// Virtual time measured in each run, after the warm-up.
    pub seconds: u64,
    /// Factor on all slowdowns caused by batch jobs.
    pub noise: f64,
    /// Number of threads that runs are spread over, at least one.
    pub threads: usize,
}

/// Runs one user, scenario and policy with one seed.
#[must_use]
pub fn run(mix: &Mix, policy: Policy, scenario: Scenario, seed: u64, options: Options) -> Measured {
    let fleet = fleets::Fleet::new(mix, policy, scenario, seed, options.noise);
    fleet.run(WARMUP_SECONDS, options.seconds)
}

/// Runs all users, scenarios and policies, and returns one row for each combination.
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
                while let Some(index) = { next.lock().expect("no thread panics").next() } {
                    let (mix, scenario, policy) = &runs[index];
                    let seeds = 1..=options.seeds;
                    let results: Vec<Measured> = seeds
                        .map(|seed| run(mix, *policy, *scenario, seed, options))
                        .collect();
                    let row = Row::new(mix.name, *scenario, *policy, &results);
                    rows.lock().expect("no thread panics").push((index, row));
                }
            });
        }
    });
    let mut rows = rows.into_inner().expect("no thread panics");
    rows.sort_by_key(|(index, _)| *index);
    rows.into_iter().map(|(_, row)| row).collect()
}

/// Formats the table and the result for each target.
#[must_use]
pub fn table(rows: &[Row]) -> String {
    tables::table(rows)
}

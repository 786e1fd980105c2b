//! Runs two faults in one run, or the same fault twice. Guards against a recovery that fails if
//! another fault happens during it.
//!
//! `HYSSOP_SEEDS` runs that many further pairs; each pair depends on its seed alone. `HYSSOP_PAIR`
//! runs the pair of one seed, and `HYSSOP_TRACE` prints all messages if it fails.

mod common;

use hyssop_proofs::matrix::{Case, Fault, SecondFault, cases, run};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Seed of the first pair.
const SEED: u64 = 1_000;
/// Number of pairs in every run.
const PAIRS: u64 = 300;

/// Chooses a case and a second fault at random from the seed.
fn choose_pair(seed: u64) -> (Case, SecondFault) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let cells = cases().into_iter();
    let cells: Vec<Case> = cells
        .filter(|case| case.not_applicable().is_none())
        .collect();
    let first = cells[rng.random_range(0..cells.len())];
    let other = cells[rng.random_range(0..cells.len())];
    // One in four pairs is the same fault twice.
    let fault = match rng.random_range(0..4) {
        0 => first.fault,
        _ => other.fault,
    };
    let case = Case {
        step: first.step,
        fault,
        side: other.side,
    };
    let delay_ms = rng.random_range(0..12_000);
    (first, SecondFault { case, delay_ms })
}

/// Returns whether the pair loses data by design: if all processes are replaced while the log loses
/// records, data that was only in the log is lost (section 4.6 of the design; seeds 2707 and 3701).
fn has_documented_loss(first: Case, second: Case) -> bool {
    let faults = [first.fault, second.fault];
    faults.contains(&Fault::LogBeyond) && faults.contains(&Fault::ReplaceAll)
}

#[test]
fn pairs_of_faults() {
    let single_seed = std::env::var("HYSSOP_PAIR").ok();
    let seeds: Vec<u64> = match single_seed.and_then(|text| text.parse().ok()) {
        Some(seed) => vec![seed],
        None => (SEED..SEED + PAIRS + common::further_seeds()).collect(),
    };
    println!("pairs: {}", seeds.len());
    common::run_all(&seeds, |seed| {
        let (first, second) = choose_pair(*seed);
        if has_documented_loss(first, second.case) {
            println!("pair {seed}: not applicable, the loss is documented");
            return;
        }
        let result = std::panic::catch_unwind(|| run(first, *seed, Some(second)));
        if let Err(cause) = result {
            let text = cause.downcast_ref::<String>().cloned().unwrap_or_default();
            panic!(
                "{first}, then {} after {} ms: {text}",
                second.case, second.delay_ms
            );
        }
    });
}

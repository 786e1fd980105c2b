//! Runs every fault at every step. Guards against a guarantee that holds only without faults, and
//! against work that stalls after a fault.
//!
//! `HYSSOP_CASE` selects the cases whose name contains its text, `HYSSOP_SEEDS` runs each case with
//! that many further seeds, and `HYSSOP_TRACE` prints all messages of a case that fails.

mod common;

use std::collections::BTreeMap;

use hyssop_proofs::matrix::{Case, cases, run};

/// First seed of all cases; a case that fails prints its seed.
const SEED: u64 = 20_261_204;

#[test]
fn every_fault_at_every_step() {
    let name_filter = std::env::var("HYSSOP_CASE").unwrap_or_default();
    let all = cases();
    let selected = all
        .iter()
        .filter(|case| case.to_string().contains(&name_filter));
    let (cells, not_applicable): (Vec<Case>, Vec<Case>) =
        selected.partition(|case| case.not_applicable().is_none());
    let mut reasons: BTreeMap<&str, usize> = BTreeMap::new();
    for case in &not_applicable {
        let reason = case.not_applicable().unwrap_or_default();
        *reasons.entry(reason).or_default() += 1;
    }
    println!(
        "matrix: {} cells, {} not applicable",
        cells.len(),
        not_applicable.len()
    );
    for (reason, count) in reasons {
        println!("  {count}: {reason}");
    }
    let seeds = SEED..=SEED + common::further_seeds();
    let runs: Vec<(Case, u64)> = seeds
        .flat_map(|seed| cells.iter().map(move |case| (*case, seed)))
        .collect();
    common::run_all(&runs, |(case, seed)| run(*case, *seed, None));
}

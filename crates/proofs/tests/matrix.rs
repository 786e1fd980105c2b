//! Every fault at every step. Guards against a guarantee that holds in the quiet case only, and
//! against work that never goes on after a fault.

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use hyssop_proofs::matrix::{Case, cases, run};

/// Seed of all cells; a run prints it when it fails.
const SEED: u64 = 20_261_204;

/// Runs cells on all processors and returns those that failed, with what they said.
fn run_all(cases: &[Case]) -> Vec<(String, String)> {
    let next = AtomicUsize::new(0);
    let failed = Mutex::new(Vec::new());
    let threads = std::thread::available_parallelism().map_or(4, usize::from);
    std::thread::scope(|scope| {
        for _ in 0..threads.min(10) {
            scope.spawn(|| {
                while let Some(case) = cases.get(next.fetch_add(1, Ordering::Relaxed)) {
                    let result = catch_unwind(AssertUnwindSafe(|| run(*case, SEED, None)));
                    if let Err(cause) = result {
                        let text = cause.downcast_ref::<String>().cloned().unwrap_or_default();
                        failed.lock().unwrap().push((case.to_string(), text));
                    }
                }
            });
        }
    });
    failed.into_inner().unwrap()
}

#[test]
fn every_fault_at_every_step() {
    let only = std::env::var("HYSSOP_CASE").unwrap_or_default();
    let all = cases();
    let chosen = all.iter().filter(|case| case.to_string().contains(&only));
    let (cells, meaningless): (Vec<Case>, Vec<Case>) =
        chosen.partition(|case| case.not_applicable().is_none());
    let mut reasons: BTreeMap<&str, usize> = BTreeMap::new();
    for case in &meaningless {
        *reasons
            .entry(case.not_applicable().unwrap_or_default())
            .or_default() += 1;
    }
    println!(
        "matrix: {} cells, {} not applicable",
        cells.len(),
        meaningless.len()
    );
    for (reason, count) in reasons {
        println!("  {count}: {reason}");
    }
    let failed = run_all(&cells);
    for (case, text) in &failed {
        println!("FAILED {case}\n{text}\n");
    }
    assert!(
        failed.is_empty(),
        "{} of {} cells failed",
        failed.len(),
        cells.len()
    );
}

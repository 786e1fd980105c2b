//! Random histories of one cell's owner against small references, and answers of workers that
//! lie. Only the public interface of the crate is used.

mod drains;
mod ledger;
mod lies;
mod owner;

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Returns the settings of all properties: a fixed seed, and more cases with `HYSSOP_CASES`.
fn config(cases: u32) -> ProptestConfig {
    let more = std::env::var("HYSSOP_CASES").ok();
    ProptestConfig {
        cases: more.map_or(cases, |cases| cases.parse().expect("a number")),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}

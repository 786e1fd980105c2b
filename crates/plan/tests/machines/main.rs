//! Random histories of one cell's owner against small reference models, and false replies of a
//! worker. Only the public interface of the crate is used.

mod drains;
mod false_replies;
mod ledger;
mod owner;

use proptest::prelude::ProptestConfig;
use proptest::test_runner::RngSeed;

/// Returns the settings of all tests: a fixed seed, and `cases` unless `HYSSOP_CASES` sets another
/// number.
fn config(cases: u32) -> ProptestConfig {
    let more = std::env::var("HYSSOP_CASES").ok();
    ProptestConfig {
        cases: more.map_or(cases, |cases| cases.parse().expect("a number")),
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(20_261_204),
        ..ProptestConfig::default()
    }
}

//! Tests of the fixture of the policy measurement.

use hyssop_bench::policy::{Mix, Options, POLICIES, Scenario, run};

const OPTIONS: Options = Options {
    seeds: 1,
    seconds: 30,
    noise: 1.0,
    threads: 1,
};

/// Guards against randomness or time outside the seed. Policies would then face different loads,
/// and results could not be reproduced.
#[test]
fn the_same_seed_gives_the_same_run() {
    let mix = Mix::haugland();
    for policy in POLICIES {
        let first_run = run(&mix, policy, Scenario::Waves, 3, OPTIONS);
        let second_run = run(&mix, policy, Scenario::Waves, 3, OPTIONS);
        assert_eq!(
            format!("{first_run:?}"),
            format!("{second_run:?}"),
            "{policy:?}"
        );
    }
}

/// Guards against a fixture that measures nothing because no request is served or no batch work is
/// done.
#[test]
fn every_policy_serves_callers_and_does_work() {
    for mix in [Mix::haugland(), Mix::morski()] {
        for policy in POLICIES {
            let measured = run(&mix, policy, Scenario::Calm, 1, OPTIONS);
            assert!(measured.latency.len() > 1_000, "{policy:?}: {measured:?}");
            assert!(measured.work > 0.0, "{policy:?}: {measured:?}");
        }
    }
}

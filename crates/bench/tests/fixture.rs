//! The fixture of the policy measurement.

use hyssop_bench::policy::{Mix, Options, POLICIES, Scenario, run};

const OPTIONS: Options = Options {
    seeds: 1,
    seconds: 30,
    noise: 1.0,
    threads: 1,
};

/// Guards against hidden randomness or time, with which two policies would face different loads
/// and a table could not be repeated.
#[test]
fn the_same_seed_gives_the_same_run() {
    let mix = Mix::haugland();
    for policy in POLICIES {
        let one = run(&mix, policy, Scenario::Waves, 3, OPTIONS);
        let two = run(&mix, policy, Scenario::Waves, 3, OPTIONS);
        assert_eq!(format!("{one:?}"), format!("{two:?}"), "{policy:?}");
    }
}

/// Guards against a fixture that measures nothing: callers are served and work is done.
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

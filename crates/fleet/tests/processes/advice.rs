//! Queues whose steps need tickets of an advisor that handles the requests of a host in turn.

use std::time::Duration;

use hyssop_platform_standins::{AdviceTimes, job};
use hyssop_soak::{Fleet, FleetOptions, RunOptions};

use crate::{PROGRAM, run_without_violations};

/// Guards against accepted jobs that never start on an idle fleet, because the request of each waits at
/// the advisor for longer than the owner counts it, and its repetition stands behind it. The second half
/// waits when the owner is killed.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_that_come_at_once_start_in_turn_at_a_slow_advisor() {
    let options = FleetOptions {
        advice: Some(AdviceTimes {
            decide: Duration::from_millis(500),
            per_worker: Duration::from_millis(400),
            valid: Duration::from_secs(3),
        }),
        ..FleetOptions::new(PROGRAM)
    };
    let mut fleet = Fleet::start(&options).await;
    for number in 1..=6 {
        fleet.submit(number, &job(&[1], 200)).await;
    }
    for number in 1..=6 {
        assert_eq!(fleet.wait_finished(number).await, "complete");
    }
    for number in 7..=10 {
        fleet.submit(number, &job(&[1, 1], 200)).await;
    }
    for entry in 0..2 {
        fleet.restart_entry_and_wait(entry).await;
    }
    for number in 7..=10 {
        assert_eq!(fleet.wait_finished(number).await, "complete");
    }
    assert_eq!(fleet.rejected_advice(), 0);
    assert_eq!(fleet.ledger.violations(), Vec::<String>::new());
}

/// Guards against jobs that stand still beside faults while each waits for its turn at the advisor.
#[tokio::test(flavor = "multi_thread")]
async fn no_job_stands_still_at_a_slow_advisor_after_random_faults() {
    run_without_violations(RunOptions {
        fault_count: 2,
        slow_advice: true,
        ..RunOptions::new(PROGRAM, 5)
    })
    .await;
}

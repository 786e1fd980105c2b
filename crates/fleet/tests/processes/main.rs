//! The programs as processes, against stand-ins of the platform, while they are killed, frozen and
//! cut off from the store.

use std::time::Duration;

use hyssop_platform_standins::job;
use hyssop_soak::{Fleet, FleetOptions, RunOptions, Signal, run};
use tokio::time::sleep;

const PROGRAM: &str = env!("CARGO_BIN_EXE_hyssop-fleet");

async fn start() -> Fleet {
    Fleet::start(&FleetOptions::new(PROGRAM)).await
}

/// Guards against a way of a job from its caller to the workers and back that is broken anywhere:
/// each part is tested for itself elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_pass_through_entries_agents_and_workers() {
    let fleet = start().await;
    for number in 1..=6 {
        fleet.submit(number, &job(&[2, 3], 60)).await;
    }
    for number in 1..=6 {
        assert_eq!(fleet.wait_finished(number).await, "complete");
    }
    assert_eq!(fleet.ledger.done(), 30);
    assert_eq!(fleet.ledger.faults(), Vec::<String>::new());
}

/// Guards against jobs that are lost, and tasks that run twice, when entries and agents are killed
/// one after the other, the owner among them.
#[tokio::test(flavor = "multi_thread")]
async fn killed_processes_lose_no_job_and_repeat_none() {
    let mut fleet = start().await;
    let mut number = 0;
    for round in 0..2 {
        for _ in 0..3 {
            number += 1;
            fleet.submit(number, &job(&[3, 2], 300)).await;
        }
        fleet.restart_entry_and_wait(round).await;
        fleet.restart_agent(round);
    }
    for number in 1..=number {
        assert_eq!(fleet.wait_finished(number).await, "complete");
    }
    assert_eq!(fleet.ledger.done(), 30);
    assert_eq!(fleet.ledger.faults(), Vec::<String>::new());
}

/// Guards against a frozen owner that goes on when it wakes, although another entry has taken the
/// jobs over.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_owner_starts_nothing_when_it_wakes() {
    let fleet = start().await;
    fleet.submit(1, &job(&[4], 1_500)).await;
    for entry in 0..2 {
        fleet.signal_entry(entry, Signal::SIGSTOP);
        fleet
            .submit_at(1 - entry, 2 + entry as u64, &job(&[3, 3], 200))
            .await;
        sleep(Duration::from_millis(1_500)).await;
        fleet.signal_entry(entry, Signal::SIGCONT);
    }
    for number in 1..=3 {
        assert_eq!(fleet.wait_finished(number).await, "complete");
    }
    assert_eq!(fleet.ledger.done(), 16);
    assert_eq!(fleet.ledger.faults(), Vec::<String>::new());
}

/// Guards against accepted jobs that are lost in an outage of the store, and against ones that are
/// accepted without it.
#[tokio::test(flavor = "multi_thread")]
async fn outage_of_the_store_loses_no_accepted_job() {
    let fleet = start().await;
    fleet.submit(1, &job(&[3, 3], 400)).await;
    fleet.store.set_down(Some(503));
    let status = fleet.try_submit(0, 2, &job(&[1], 50)).await;
    assert!(status.is_none_or(|status| status >= 400), "{status:?}");
    sleep(Duration::from_millis(1_500)).await;
    fleet.store.set_down(None);
    fleet.submit(3, &job(&[2], 100)).await;
    assert_eq!(fleet.wait_finished(1).await, "complete");
    assert_eq!(fleet.wait_finished(3).await, "complete");
    assert_eq!(fleet.ledger.faults(), Vec::<String>::new());
}

/// Guards against processes that keep the settings with which they were started: the store moves to
/// another address, and nothing serves the old one.
#[tokio::test(flavor = "multi_thread")]
async fn changed_settings_are_taken_in() {
    let fleet = start().await;
    fleet.submit(1, &job(&[2], 200)).await;
    fleet.move_store();
    fleet.submit(2, &job(&[2, 2], 100)).await;
    for number in 1..=2 {
        assert_eq!(fleet.wait_finished(number).await, "complete");
    }
    assert_eq!(fleet.ledger.faults(), Vec::<String>::new());
}

/// Guards against promises that hold for single faults and not for series of them.
#[tokio::test(flavor = "multi_thread")]
async fn random_faults_break_no_promise() {
    let options = RunOptions {
        fault_count: 4,
        ..RunOptions::new(PROGRAM, 1)
    };
    let report = run(&options).await;
    assert_eq!(
        report.violations,
        Vec::<String>::new(),
        "{:?}",
        options.plan()
    );
    assert!(report.accepted_count > 0, "{report:?}");
}

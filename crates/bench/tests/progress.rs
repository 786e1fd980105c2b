//! Tests that accepted jobs progress in the load model of the owner, in virtual time.

use hyssop_bench::owners::{Outcome, Pattern, play};

fn assert_progress(outcome: &Outcome) {
    assert!(
        outcome.busy_percent < 1.0,
        "the capacity is in use, so that the check proves nothing: {outcome:?}"
    );
    assert_eq!(outcome.stalled_jobs, 0, "{}", outcome.stalls.join("\n"));
}

/// Guards against jobs that stand still while best-effort tasks of others hold all idle processors.
#[test]
fn no_job_stands_still_in_a_backlog() {
    let outcome = play(30, Pattern::Backlog(6.0));
    assert!(outcome.open_jobs > 30, "no backlog: {outcome:?}");
    assert_progress(&outcome);
}

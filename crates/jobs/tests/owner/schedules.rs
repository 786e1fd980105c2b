//! Occurrences of recurring jobs.

use hyssop_core::Millis;
use hyssop_jobs::{CallerRequest, CallerResponse, EndKind, Input, JobSpec, JobState, Schedule};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

/// Clock origin of the owners in the tests, in milliseconds since 1970.
const CLOCK_ORIGIN: u64 = 1_000_000;

fn scheduled_job(count: u32, first: u64, interval: u64) -> JobSpec {
    JobSpec {
        schedule: Some(Schedule {
            count,
            first_due: CLOCK_ORIGIN + first,
            interval: Millis(interval),
        }),
        ..job(vec![step(1, &[])])
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet
}

/// Guards against an occurrence that starts before its due time, is skipped, or waits for the
/// previous one.
#[test]
fn occurrences_start_when_due_and_overlap() {
    let mut fleet = fleet();
    let first = fleet.now + 1_000;
    fleet.submit(JOB, rule(2), scheduled_job(2, first, 500));
    fleet.advance(900, &[1]);
    assert!(fleet.take_started(1).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Queued));
    fleet.advance(200, &[1]);
    let one = fleet.take_started(1);
    assert_eq!(one.len(), 1);
    assert_eq!(one[0].task.occurrence, 0);
    fleet.advance(500, &[1]);
    let two = fleet.take_started(1);
    assert_eq!(two.len(), 1);
    assert_eq!(two[0].task.occurrence, 1);
    fleet.report(1, ends_report(vec![run_end(1, two[0], EndKind::Done)]));
    fleet.advance(400, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
    fleet.report(1, ends_report(vec![run_end(2, one[0], EndKind::Done)]));
    fleet.advance(400, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
    assert!(fleet.take_started(1).is_empty());
}

/// Guards against an occurrence that runs twice or never after a change of owners.
#[test]
fn later_owner_continues_open_occurrences() {
    let mut fleet = fleet();
    let first = fleet.now + 100;
    fleet.submit(JOB, rule(2), scheduled_job(3, first, 300));
    fleet.advance(500, &[1]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 2);
    fleet.report(1, ends_report(vec![run_end(1, runs[0], EndKind::Done)]));
    fleet.advance(300, &[1]);
    let third = fleet.take_started(1);
    assert_eq!(third.len(), 1);
    let mut later = fleet.successor(2);
    let statuses = vec![run_status(runs[1]), run_status(third[0])];
    later.connect(1, worker("i-1", 1), complete_report(statuses, vec![]));
    later.advance(500, &[1]);
    assert!(later.orders.is_empty(), "{:?}", later.orders);
    later.report(
        1,
        ends_report(vec![
            run_end(2, runs[1], EndKind::Done),
            run_end(3, third[0], EndKind::Done),
        ]),
    );
    later.advance(400, &[1]);
    assert_eq!(later.state(JOB), Some(JobState::Complete));
}

/// Guards against losing a run because the next owner's clock is behind. Its completion would be
/// dropped, and the task would run again.
#[test]
fn run_of_a_future_occurrence_is_adopted() {
    let mut fleet = fleet();
    let first = fleet.now + 5_000;
    fleet.submit(JOB, rule(2), scheduled_job(1, first, 0));
    let ahead = CLOCK_ORIGIN + 10_000;
    fleet.step(vec![Input::ClockOrigin(ahead)]);
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 1);
    let mut later = fleet.successor(2);
    let ended = vec![run_end(1, runs[0], EndKind::Done)];
    later.connect(1, worker("i-1", 1), complete_report(vec![], ended));
    later.advance(6_000, &[1]);
    assert!(later.take_started(1).is_empty());
    assert_eq!(later.state(JOB), Some(JobState::Complete));
}

/// Guards against occurrences that start too early after the wall clock was set back.
#[test]
fn clock_adjustment_moves_occurrences() {
    let mut fleet = fleet();
    let first = fleet.now + 1_000;
    fleet.submit(JOB, rule(2), scheduled_job(1, first, 0));
    fleet.step(vec![Input::ClockOrigin(CLOCK_ORIGIN - 2_000)]);
    fleet.advance(2_500, &[1]);
    assert!(fleet.take_started(1).is_empty());
    fleet.advance(600, &[1]);
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a cancelled job whose later occurrences still run.
#[test]
fn cancelled_job_has_no_further_occurrences() {
    let mut fleet = fleet();
    let first = fleet.now + 500;
    fleet.submit(JOB, rule(2), scheduled_job(5, first, 100));
    assert_eq!(
        fleet.request(CallerRequest::Cancel(JOB)),
        Some(CallerResponse::Cancelled)
    );
    fleet.advance(2_000, &[1]);
    assert!(fleet.take_started(1).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Cancelled));
}

/// Guards against an occurrence that counts as stalled as soon as it is due, because nothing of the
/// job ran before.
#[test]
fn occurrence_stalls_only_after_it_is_due() {
    let mut fleet = Fleet::new();
    let due_at = fleet.now + 6_000;
    fleet.submit(JOB, rule(2), scheduled_job(1, due_at, 500));
    fleet.advance(7_000, &[]);
    assert_eq!(fleet.owner.stalled_jobs(), 0);
    fleet.advance(2_000, &[]);
    assert_eq!(fleet.owner.stalled_jobs(), 1);
}

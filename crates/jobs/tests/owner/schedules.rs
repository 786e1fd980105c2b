//! Occurrences of jobs at set times.

use hyssop_core::Millis;
use hyssop_jobs::{CallerRequest, CallerResponse, EndKind, Input, JobSpec, JobState, Schedule};

use crate::support::{Fleet, JOB, complete, end, ends, job, row, rule, step, worker};

/// Start of the clock of the tests' owners, in milliseconds since 1970.
const DAY_START: u64 = 1_000_000;

fn timed(count: u32, first: u64, interval: u64) -> JobSpec {
    JobSpec {
        schedule: Some(Schedule {
            count,
            first_due: DAY_START + first,
            interval: Millis(interval),
        }),
        ..job(vec![step(1, &[])])
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet
}

/// Guards against a start before its time, and against an occurrence that is left out or waits for
/// the one before it.
#[test]
fn occurrences_start_at_their_times_and_overlap() {
    let mut fleet = fleet();
    let first = fleet.now + 1_000;
    fleet.submit(JOB, rule(2), timed(2, first, 500));
    fleet.pass(900, &[1]);
    assert!(fleet.started(1).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Queued));
    fleet.pass(200, &[1]);
    let one = fleet.started(1);
    assert_eq!(one.len(), 1);
    assert_eq!(one[0].task.occurrence, 0);
    fleet.pass(500, &[1]);
    let two = fleet.started(1);
    assert_eq!(two.len(), 1);
    assert_eq!(two[0].task.occurrence, 1);
    fleet.report(1, ends(vec![end(1, two[0], EndKind::Done)]));
    fleet.pass(400, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
    fleet.report(1, ends(vec![end(2, one[0], EndKind::Done)]));
    fleet.pass(400, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
    assert!(fleet.started(1).is_empty());
}

/// Guards against an occurrence that runs twice, or not at all, after a takeover.
#[test]
fn later_owner_goes_on_with_the_occurrences_that_are_left() {
    let mut fleet = fleet();
    let first = fleet.now + 100;
    fleet.submit(JOB, rule(2), timed(3, first, 300));
    fleet.pass(500, &[1]);
    let runs = fleet.started(1);
    assert_eq!(runs.len(), 2);
    fleet.report(1, ends(vec![end(1, runs[0], EndKind::Done)]));
    fleet.pass(300, &[1]);
    let third = fleet.started(1);
    assert_eq!(third.len(), 1);
    let mut later = fleet.taken_over(2);
    let rows = vec![row(runs[1]), row(third[0])];
    later.attach(1, worker("i-1", 1), complete(rows, vec![]));
    later.pass(500, &[1]);
    assert!(later.orders.is_empty(), "{:?}", later.orders);
    later.report(
        1,
        ends(vec![
            end(2, runs[1], EndKind::Done),
            end(3, third[0], EndKind::Done),
        ]),
    );
    later.pass(400, &[1]);
    assert_eq!(later.state(JOB), Some(JobState::Complete));
}

/// Guards against a run that a later owner does not know because its clock is behind: its end as
/// done would be dropped, and the task would run again.
#[test]
fn run_of_an_occurrence_that_is_not_due_yet_is_adopted() {
    let mut fleet = fleet();
    let first = fleet.now + 5_000;
    fleet.submit(JOB, rule(2), timed(1, first, 0));
    let ahead = DAY_START + 10_000;
    fleet.step(vec![Input::ClockOrigin(ahead)]);
    fleet.step(vec![]);
    let runs = fleet.started(1);
    assert_eq!(runs.len(), 1);
    let mut later = fleet.taken_over(2);
    let ended = vec![end(1, runs[0], EndKind::Done)];
    later.attach(1, worker("i-1", 1), complete(vec![], ended));
    later.pass(6_000, &[1]);
    assert!(later.started(1).is_empty());
    assert_eq!(later.state(JOB), Some(JobState::Complete));
}

/// Guards against occurrences that follow a time of day that was set back.
#[test]
fn change_of_the_time_of_day_moves_what_is_left() {
    let mut fleet = fleet();
    let first = fleet.now + 1_000;
    fleet.submit(JOB, rule(2), timed(1, first, 0));
    fleet.step(vec![Input::ClockOrigin(DAY_START - 2_000)]);
    fleet.pass(2_500, &[1]);
    assert!(fleet.started(1).is_empty());
    fleet.pass(600, &[1]);
    assert_eq!(fleet.started(1).len(), 1);
}

/// Guards against a cancelled job whose later occurrences still run.
#[test]
fn cancelled_job_has_no_further_occurrences() {
    let mut fleet = fleet();
    let first = fleet.now + 500;
    fleet.submit(JOB, rule(2), timed(5, first, 100));
    assert_eq!(
        fleet.ask(CallerRequest::Cancel(JOB)),
        Some(CallerResponse::Cancelled)
    );
    fleet.pass(2_000, &[1]);
    assert!(fleet.started(1).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Cancelled));
}

//! Acceptance, cancellation and the states that callers are shown.

use hyssop_jobs::{CallerRequest, CallerResponse, EndKind, Input, JobId, JobState};

use crate::support::{Fleet, JOB, complete, end, ends, job, rule, step, worker};

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet
}

/// Guards against an accepted job that is lost: the caller hears of the acceptance, and tasks start,
/// only after it is stored.
#[test]
fn job_is_accepted_after_it_is_stored() {
    let mut fleet = fleet();
    fleet.store_up = false;
    let spec = job(vec![step(1, &[])]);
    fleet.step(vec![Input::Request(
        5,
        CallerRequest::Submit {
            job: JOB,
            rule: rule(2),
            spec,
        },
    )]);
    fleet.pass(300, &[1]);
    assert_eq!(fleet.answers.get(&5), None);
    assert!(fleet.started(1).is_empty());
    fleet.store_up = true;
    fleet.pass(100, &[1]);
    assert_eq!(fleet.answers.get(&5), Some(&CallerResponse::Accepted));
    assert_eq!(fleet.started(1).len(), 1);
}

/// Guards against a job that runs twice because its caller asked again.
#[test]
fn repeated_submission_is_one_job() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.started(1);
    assert_eq!(run.len(), 1);
    fleet.report(1, ends(vec![end(1, run[0], EndKind::Done)]));
    fleet.pass(400, &[1]);
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.pass(400, &[1]);
    assert!(fleet.started(1).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
}

/// Guards against a step that starts before the steps that it waits for are done.
#[test]
fn step_waits_for_all_tasks_before_it() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(2, &[]), step(1, &[0])]));
    fleet.step(vec![]);
    let first = fleet.started(1);
    assert_eq!(first.len(), 2);
    fleet.report(1, ends(vec![end(1, first[0], EndKind::Done)]));
    assert!(fleet.started(1).is_empty());
    fleet.report(
        1,
        ends(vec![
            end(1, first[0], EndKind::Done),
            end(2, first[1], EndKind::Done),
        ]),
    );
    assert_eq!(fleet.started(1).len(), 1);
}

/// Guards against a job that goes on after its cancellation was acknowledged.
#[test]
fn cancelled_job_stops_and_starts_nothing() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(1, &[]), step(1, &[0])]));
    fleet.step(vec![]);
    let run = fleet.started(1)[0];
    fleet.store_up = false;
    assert_eq!(fleet.ask(CallerRequest::Cancel(JOB)), None);
    assert_eq!(fleet.stopped(1), [run]);
    fleet.store_up = true;
    fleet.pass(100, &[1]);
    assert_eq!(fleet.answers.get(&1), Some(&CallerResponse::Cancelled));
    fleet.report(1, ends(vec![end(1, run, EndKind::Stopped)]));
    fleet.pass(400, &[1]);
    assert!(fleet.started(1).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Cancelled));
    assert_eq!(
        fleet.ask(CallerRequest::Cancel(JobId(1))),
        Some(CallerResponse::Unknown)
    );
}

/// Guards against a job that is called failed before a task has failed as often as allowed, and
/// against one that never ends.
#[test]
fn job_fails_with_the_last_attempt_of_a_task() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let first = fleet.started(1)[0];
    fleet.report(1, ends(vec![end(1, first, EndKind::Failed)]));
    fleet.pass(400, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
    let second = fleet.started(1)[0];
    fleet.report(1, ends(vec![end(2, second, EndKind::Failed)]));
    fleet.pass(400, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against a standing task that is not restarted, however it ended and however often.
#[test]
fn standing_task_is_restarted() {
    let mut fleet = fleet();
    let mut standing = step(1, &[]);
    standing.is_service = true;
    fleet.submit(JOB, rule(1), job(vec![standing]));
    fleet.step(vec![]);
    for number in 1..4 {
        let run = fleet.started(1)[0];
        let kind = if number == 2 {
            EndKind::Done
        } else {
            EndKind::Failed
        };
        fleet.report(1, ends(vec![end(number, run, kind)]));
        fleet.pass(400, &[1]);
    }
    assert_eq!(fleet.started(1).len(), 1);
}

/// Guards against a count of waiting jobs that leaves out some of them.
#[test]
fn pending_counts_the_jobs_that_have_not_begun() {
    let mut fleet = Fleet::new();
    for id in 1..=3 {
        fleet.submit(JobId(id), rule(2), job(vec![step(1, &[])]));
    }
    assert_eq!(
        fleet.ask(CallerRequest::Pending("queue".into())),
        Some(CallerResponse::Pending(3))
    );
    assert_eq!(
        fleet.ask(CallerRequest::Pending("other".into())),
        Some(CallerResponse::Pending(0))
    );
}

/// Guards against bad input that is accepted or that loses other work.
#[test]
fn invalid_job_is_refused_with_its_reason() {
    let mut fleet = fleet();
    for spec in [
        job(vec![]),
        job(vec![step(0, &[])]),
        job(vec![step(1, &[0])]),
    ] {
        let ask = CallerRequest::Submit {
            job: JOB,
            rule: rule(2),
            spec,
        };
        assert!(matches!(fleet.ask(ask), Some(CallerResponse::Invalid(_))));
    }
    assert_eq!(
        fleet.ask(CallerRequest::Show(JOB)),
        Some(CallerResponse::Unknown)
    );
}

/// Guards against callers that wait for a store that is down until it is too late to try again: a
/// job that comes then is refused at once, truthfully, and is accepted when it comes again.
#[test]
fn job_is_refused_while_the_store_does_not_answer() {
    let mut fleet = fleet();
    fleet.store_up = false;
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.pass(1_000, &[1]);
    let late = JobId(0xbb);
    let spec = job(vec![step(1, &[])]);
    let ask = CallerRequest::Submit {
        job: late,
        rule: rule(2),
        spec: spec.clone(),
    };
    assert!(matches!(
        fleet.ask(ask.clone()),
        Some(CallerResponse::Refused { .. })
    ));
    fleet.store_up = true;
    fleet.pass(200, &[1]);
    assert_eq!(
        fleet.ask(CallerRequest::Show(late)),
        Some(CallerResponse::Unknown)
    );
    assert_eq!(fleet.started(1).len(), 1);
    assert_eq!(fleet.ask(ask), Some(CallerResponse::Accepted));
}

//! Acceptance and cancellation of jobs, and the states reported to callers.

use hyssop_jobs::{CallerRequest, CallerResponse, EndKind, Input, JobId, JobState};

use crate::support::{Fleet, JOB, complete_report, ends_report, job, rule, run_end, step, worker};

fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet
}

/// Guards against losing an accepted job: its caller is notified, and its tasks start, only after
/// the acceptance is stored.
#[test]
fn job_is_accepted_after_it_is_stored() {
    let mut fleet = fleet();
    fleet.is_store_up = false;
    let spec = job(vec![step(1, &[])]);
    fleet.step(vec![Input::Request(
        5,
        CallerRequest::Submit {
            job: JOB,
            rule: rule(2),
            spec,
        },
    )]);
    fleet.advance(300, &[1]);
    assert_eq!(fleet.responses.get(&5), None);
    assert!(fleet.take_started(1).is_empty());
    fleet.is_store_up = true;
    fleet.advance(100, &[1]);
    assert_eq!(fleet.responses.get(&5), Some(&CallerResponse::Accepted));
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a job that runs twice because its caller repeated the submission.
#[test]
fn repeated_submission_is_one_job() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.take_started(1);
    assert_eq!(run.len(), 1);
    fleet.report(1, ends_report(vec![run_end(1, run[0], EndKind::Done)]));
    fleet.advance(400, &[1]);
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.advance(400, &[1]);
    assert!(fleet.take_started(1).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
}

/// Guards against a step that starts before the steps it depends on are complete.
#[test]
fn step_waits_for_its_dependencies() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(2, &[]), step(1, &[0])]));
    fleet.step(vec![]);
    let first = fleet.take_started(1);
    assert_eq!(first.len(), 2);
    fleet.report(1, ends_report(vec![run_end(1, first[0], EndKind::Done)]));
    assert!(fleet.take_started(1).is_empty());
    fleet.report(
        1,
        ends_report(vec![
            run_end(1, first[0], EndKind::Done),
            run_end(2, first[1], EndKind::Done),
        ]),
    );
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a job that continues after its cancellation was confirmed.
#[test]
fn cancelled_job_stops_and_starts_nothing() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(1, &[]), step(1, &[0])]));
    fleet.step(vec![]);
    let run = fleet.take_started(1)[0];
    fleet.is_store_up = false;
    assert_eq!(fleet.request(CallerRequest::Cancel(JOB)), None);
    assert_eq!(fleet.take_stopped(1), [run]);
    fleet.is_store_up = true;
    fleet.advance(100, &[1]);
    assert_eq!(fleet.responses.get(&1), Some(&CallerResponse::Cancelled));
    fleet.report(1, ends_report(vec![run_end(1, run, EndKind::Stopped)]));
    fleet.advance(400, &[1]);
    assert!(fleet.take_started(1).is_empty());
    assert_eq!(fleet.state(JOB), Some(JobState::Cancelled));
    assert_eq!(
        fleet.request(CallerRequest::Cancel(JobId(1))),
        Some(CallerResponse::Unknown)
    );
}

/// Guards against a job that fails before a task has used up its attempts, and against one that
/// never fails.
#[test]
fn job_fails_with_the_last_attempt_of_a_task() {
    let mut fleet = fleet();
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let first = fleet.take_started(1)[0];
    fleet.report(1, ends_report(vec![run_end(1, first, EndKind::Failed)]));
    fleet.advance(400, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
    let second = fleet.take_started(1)[0];
    fleet.report(1, ends_report(vec![run_end(2, second, EndKind::Failed)]));
    fleet.advance(400, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Failed));
}

/// Guards against a service task that is not restarted, for any outcome and number of restarts.
#[test]
fn service_task_is_restarted() {
    let mut fleet = fleet();
    let mut service_step = step(1, &[]);
    service_step.is_service = true;
    fleet.submit(JOB, rule(1), job(vec![service_step]));
    fleet.step(vec![]);
    for number in 1..4 {
        let run = fleet.take_started(1)[0];
        let kind = if number == 2 {
            EndKind::Done
        } else {
            EndKind::Failed
        };
        fleet.report(1, ends_report(vec![run_end(number, run, kind)]));
        fleet.advance(400, &[1]);
    }
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against jobs missing from the count of pending ones.
#[test]
fn pending_count_includes_all_waiting_jobs() {
    let mut fleet = Fleet::new();
    for id in 1..=3 {
        fleet.submit(JobId(id), rule(2), job(vec![step(1, &[])]));
    }
    assert_eq!(
        fleet.request(CallerRequest::Pending("queue".into())),
        Some(CallerResponse::Pending(3))
    );
    assert_eq!(
        fleet.request(CallerRequest::Pending("other".into())),
        Some(CallerResponse::Pending(0))
    );
}

/// Guards against accepting an invalid job.
#[test]
fn invalid_job_is_refused_with_its_reason() {
    let mut fleet = fleet();
    for spec in [
        job(vec![]),
        job(vec![step(0, &[])]),
        job(vec![step(1, &[0])]),
    ] {
        let request = CallerRequest::Submit {
            job: JOB,
            rule: rule(2),
            spec,
        };
        assert!(matches!(
            fleet.request(request),
            Some(CallerResponse::Invalid(_))
        ));
    }
    assert_eq!(
        fleet.request(CallerRequest::Show(JOB)),
        Some(CallerResponse::Unknown)
    );
}

/// Guards against callers that wait for an unresponsive store until it is too late to retry: a job
/// submitted then is refused immediately, is not accepted later, and can be submitted again.
#[test]
fn job_is_refused_while_the_store_is_unresponsive() {
    let mut fleet = fleet();
    fleet.is_store_up = false;
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.advance(1_000, &[1]);
    let late = JobId(0xbb);
    let spec = job(vec![step(1, &[])]);
    let request = CallerRequest::Submit {
        job: late,
        rule: rule(2),
        spec: spec.clone(),
    };
    assert!(matches!(
        fleet.request(request.clone()),
        Some(CallerResponse::Refused { .. })
    ));
    fleet.is_store_up = true;
    fleet.advance(200, &[1]);
    assert_eq!(
        fleet.request(CallerRequest::Show(late)),
        Some(CallerResponse::Unknown)
    );
    assert_eq!(fleet.take_started(1).len(), 1);
    assert_eq!(fleet.request(request), Some(CallerResponse::Accepted));
}

/// Guards against callers that get no definite answer in an outage: submissions that wait behind an
/// unanswered write are refused, do not run later, and can be submitted again.
#[test]
fn submissions_behind_an_unanswered_write_are_refused() {
    let mut fleet = fleet();
    fleet.is_store_up = false;
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.advance(200, &[1]);
    let late = JobId(0xbb);
    let submit = CallerRequest::Submit {
        job: late,
        rule: rule(2),
        spec: job(vec![step(1, &[])]),
    };
    assert_eq!(fleet.request(submit.clone()), None);
    fleet.advance(800, &[1]);
    assert!(matches!(
        fleet.responses.get(&1),
        Some(CallerResponse::Refused { .. })
    ));
    fleet.is_store_up = true;
    fleet.advance(500, &[1]);
    assert_eq!(fleet.take_started(1).len(), 1);
    let show = CallerRequest::Show(late);
    assert_eq!(fleet.request(show), Some(CallerResponse::Unknown));
    assert_eq!(fleet.request(submit), Some(CallerResponse::Accepted));
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a refused submission whose cancellation was already promised to another caller.
#[test]
fn cancelled_submission_behind_an_unanswered_write_is_not_refused() {
    let mut fleet = fleet();
    fleet.is_store_up = false;
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.advance(200, &[1]);
    let late = JobId(0xbb);
    fleet.submit(late, rule(2), job(vec![step(1, &[])]));
    assert_eq!(fleet.request(CallerRequest::Cancel(late)), None);
    fleet.advance(800, &[1]);
    assert_eq!(fleet.responses.get(&1), None);
    fleet.is_store_up = true;
    fleet.advance(500, &[1]);
    assert_eq!(fleet.responses.get(&1), Some(&CallerResponse::Cancelled));
}

//! Answers of an owner that may have been replaced without knowing.

use hyssop_core::Millis;
use hyssop_jobs::{CallerRequest, CallerResponse, Input, JobId, JobState};

use crate::support::{Fleet, JOB, complete_report, ends_report, job, rule, run_end, step, worker};

/// Job that the owner does not know, because a later owner accepted it.
const OTHER: JobId = JobId(0xbb);

/// Time for which the owner's process stands still: long enough for another entry to claim.
const FREEZE_MS: u64 = 2_150;

fn frozen_fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(2, &[])]));
    fleet.step(vec![]);
    fleet.list_started(1);
    fleet.advance(500, &[1]);
    fleet.now += FREEZE_MS;
    fleet
}

fn confirm(fleet: &mut Fleet) {
    let now = Millis(fleet.now);
    fleet.step(vec![Input::OwnershipConfirmed(now)]);
}

fn queries() -> [CallerRequest; 3] {
    [
        CallerRequest::Show(OTHER),
        CallerRequest::Cancel(OTHER),
        CallerRequest::Pending("queue".into()),
    ]
}

/// Guards against an accepted job that is shown as unknown: an owner resumes after a freeze, and
/// answers from its own tables before it learns that a later owner accepted the job.
#[test]
fn absence_is_not_claimed_before_a_confirmation() {
    for query in queries() {
        let mut fleet = frozen_fleet();
        assert_eq!(fleet.request(query.clone()), None, "{query:?}");
        fleet.now += 10;
        confirm(&mut fleet);
        assert!(fleet.responses.contains_key(&1), "{query:?}");
    }
}

/// Guards against a confirmation from before the question, which says nothing about jobs that were
/// accepted since.
#[test]
fn an_earlier_confirmation_proves_nothing() {
    let mut fleet = frozen_fleet();
    let before = Millis(fleet.now);
    fleet.now += 5;
    assert_eq!(fleet.request(CallerRequest::Show(OTHER)), None);
    fleet.step(vec![Input::OwnershipConfirmed(before)]);
    assert_eq!(fleet.responses.get(&1), None);
    confirm(&mut fleet);
    assert_eq!(fleet.responses.get(&1), Some(&CallerResponse::Unknown));
}

/// Guards against callers that wait until their deadline although the owner cannot prove that it
/// still is the owner. Their entry asks again or tells them when to come back.
#[test]
fn unproved_answer_is_given_up_soon() {
    for query in queries() {
        let mut fleet = frozen_fleet();
        assert_eq!(fleet.request(query.clone()), None);
        for _ in 0..8 {
            fleet.now += 50;
            fleet.step(vec![]);
        }
        let response = fleet.responses.get(&1);
        assert_eq!(response, Some(&CallerResponse::Unconfirmed), "{query:?}");
    }
}

/// Guards against a state that goes back: the later owner has shown the job as complete, and the
/// resumed one still shows it as running.
#[test]
fn state_waits_for_a_confirmation_after_a_freeze() {
    let mut fleet = frozen_fleet();
    assert_eq!(fleet.request(CallerRequest::Show(JOB)), None);
    confirm(&mut fleet);
    let running = CallerResponse::State(JobState::Running);
    assert_eq!(fleet.responses.get(&1), Some(&running));
}

/// Guards against a submission that is refused as never run although the store is well: the write
/// in flight looks old after a freeze.
#[test]
fn submission_is_not_refused_right_after_a_freeze() {
    let mut fleet = Fleet::new();
    fleet.is_store_up = false;
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.now += FREEZE_MS;
    let submit = CallerRequest::Submit {
        job: OTHER,
        rule: rule(2),
        spec: job(vec![step(1, &[])]),
    };
    assert_eq!(fleet.request(submit), None);
    fleet.is_store_up = true;
    confirm(&mut fleet);
    fleet.step(vec![]);
    assert_eq!(fleet.responses.get(&1), Some(&CallerResponse::Accepted));
}

/// Guards against an outage of the store that stops answers which stay true whoever owns the jobs,
/// and against one that stops the state of running jobs although the process never stood still.
#[test]
fn lasting_answers_need_no_confirmation() {
    let mut fleet = frozen_fleet();
    let runs = fleet.take_started(1);
    let ends = (1..).zip(runs);
    let ends = ends.map(|(number, run)| run_end(number, run, hyssop_jobs::EndKind::Done));
    confirm(&mut fleet);
    fleet.report(1, ends_report(ends.collect()));
    fleet.advance(500, &[1]);
    fleet.submit(OTHER, rule(2), job(vec![step(1, &[])]));
    fleet.list_started(1);
    fleet.advance(300, &[1]);
    fleet.now += FREEZE_MS;
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
    for _ in 0..20 {
        fleet.now += 50;
        fleet.step(vec![]);
    }
    assert_eq!(fleet.state(OTHER), Some(JobState::Running));
}

//! Records that the store refuses for good: what depends on them does not happen, all else goes on.

use hyssop_jobs::{CallerRequest, CallerResponse, EndKind, JobId, JobState, RunId};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

const PROGRESS: &str = "p/00000000000000aa";
const OTHER: JobId = JobId(0xbb);

fn refuse(fleet: &mut Fleet, key: &str) {
    fleet.refused_keys.insert(key.to_owned());
}

/// Returns a fleet with one worker and two running jobs of one task each, and their runs.
fn running() -> (Fleet, RunId, RunId) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    for id in [JOB, OTHER] {
        fleet.submit(id, rule(2), job(vec![step(1, &[])]));
    }
    fleet.advance(300, &[1]);
    let runs = fleet.take_started(1);
    let find = |id| *runs.iter().find(|run| run.task.job == id).unwrap();
    let (run, other) = (find(JOB), find(OTHER));
    let listed = vec![run_status(run), run_status(other)];
    fleet.report(1, complete_report(listed, vec![]));
    fleet.advance(300, &[1]);
    (fleet, run, other)
}

/// Guards against a caller that gets no answer, a job that runs although it is not stored, and a stored
/// cancellation that ends a later job with the same identifier.
#[test]
fn refused_acceptance_is_answered_and_leaves_nothing() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    refuse(&mut fleet, "j/00000000000000aa");
    fleet.is_store_up = false;
    fleet.submit(OTHER, rule(2), job(vec![step(1, &[])]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.request(CallerRequest::Cancel(JOB));
    fleet.is_store_up = true;
    fleet.step(vec![]);
    let refused = fleet.responses.values();
    let refused = refused.filter(|r| matches!(r, CallerResponse::Refused { .. }));
    assert_eq!(refused.count(), 1, "{:?}", fleet.responses);
    assert_eq!(fleet.responses[&1], CallerResponse::Unknown);
    fleet.advance(300, &[1]);
    assert_eq!(fleet.take_started(1).len(), 1);
    assert!(!fleet.store.contains_key(PROGRESS));

    fleet.refused_keys.clear();
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.advance(160_000, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Queued));
    assert!(fleet.store.contains_key("j/00000000000000aa"));
}

/// Guards against an end of a run that its worker forgets although it is not stored, so that a later
/// owner starts the task again, and against another job whose end is held up.
#[test]
fn ends_wait_for_refused_progress_and_hold_up_no_other_job() {
    let (mut fleet, run, other) = running();
    refuse(&mut fleet, PROGRESS);
    let done = run_end(1, run, EndKind::Done);
    fleet.report(1, ends_report(vec![done.clone()]));
    fleet.advance(300, &[1]);
    let other_done = run_end(2, other, EndKind::Done);
    fleet.report(1, ends_report(vec![done.clone(), other_done.clone()]));
    fleet.advance(300, &[1]);
    assert_eq!(fleet.acknowledged_ends.get(&1), None);
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
    assert_eq!(fleet.state(OTHER), Some(JobState::Complete));

    fleet.refused_keys.clear();
    fleet.advance(6_000, &[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Complete));
    fleet.report(1, ends_report(vec![done, other_done]));
    fleet.advance(300, &[1]);
    assert_eq!(fleet.acknowledged_ends.get(&1), Some(&2));
}

/// Guards against a cancellation that is acknowledged although it is not stored, against an accepted job
/// that is forgotten meanwhile, and against a record that is sent with every tick.
#[test]
fn cancellation_is_acknowledged_once_it_is_stored() {
    let (mut fleet, run, _) = running();
    refuse(&mut fleet, PROGRESS);
    assert_eq!(fleet.request(CallerRequest::Cancel(JOB)), None);
    assert_eq!(fleet.take_stopped(1), [run]);
    fleet.advance(200_000, &[1]);
    assert_eq!(fleet.responses.get(&1), None);
    let refusals = fleet.logs.iter().filter(|line| line.contains("refuses p/"));
    assert!(refusals.count() < 60);
    fleet.refused_keys.clear();
    fleet.advance(6_000, &[1]);
    assert_eq!(fleet.responses[&1], CallerResponse::Cancelled);
    assert_eq!(fleet.successor(2).state(JOB), Some(JobState::Cancelled));
}

/// Guards against starts on a worker of which later owners do not know.
#[test]
fn worker_without_a_stored_record_gets_no_starts() {
    let mut fleet = Fleet::new();
    refuse(&mut fleet, "w/i-1");
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(40, &[])]));
    fleet.advance(3_000, &[1, 2]);
    assert_eq!(fleet.take_started(1), []);
    assert!(!fleet.take_started(2).is_empty());
}

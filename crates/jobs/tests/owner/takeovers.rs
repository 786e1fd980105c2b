//! Changes of owners: runs, ends and workers of earlier owners.

use hyssop_core::Millis;
use hyssop_jobs::{
    EndKind, Input, JobState, MAX_CONFIRMATION_AGE, Output, Report, RunId, TAKEOVER_WAIT,
    WORKER_LEASE,
};

use crate::support::{
    Fleet, JOB, LONGEST_LEASE, complete_report, ends_report, job, rule, run_end, run_status, step,
    worker,
};

/// Guards against starting a task again after its last attempt. The store was unreachable when runs
/// 1 and 2 failed, so two workers report their ends, the later run first.
#[test]
fn unstored_failures_count_in_any_order() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let first: Vec<_> = [old.take_started(1), old.take_started(2)].concat();
    let first = first[0];
    let second = hyssop_jobs::RunId {
        run: first.run + 1,
        ..first
    };

    let mut new = old.successor(50);
    new.connect(
        11,
        worker("i-2", 1),
        complete_report(vec![], vec![run_end(1, second, EndKind::Failed)]),
    );
    new.connect(
        12,
        worker("i-1", 1),
        complete_report(vec![], vec![run_end(1, first, EndKind::Failed)]),
    );
    new.advance(1_000, &[11, 12]);
    assert_eq!(new.state(JOB), Some(JobState::Failed));
    assert!(new.take_started(11).is_empty() && new.take_started(12).is_empty());
}

/// Guards against the same fault if the later run is still running and is adopted first.
#[test]
fn failure_counts_with_an_adopted_run() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let first = [old.take_started(1), old.take_started(2)].concat()[0];
    let second = hyssop_jobs::RunId {
        run: first.run + 1,
        ..first
    };

    let mut new = old.successor(50);
    new.connect(
        11,
        worker("i-2", 1),
        complete_report(vec![run_status(second)], vec![]),
    );
    new.connect(
        12,
        worker("i-1", 1),
        complete_report(vec![], vec![run_end(1, first, EndKind::Failed)]),
    );
    new.advance(300, &[11, 12]);
    new.report(11, ends_report(vec![run_end(1, second, EndKind::Failed)]));
    new.advance(1_000, &[11, 12]);
    assert_eq!(new.state(JOB), Some(JobState::Failed));
}

/// Guards against counting a failure twice, once from the store and once from a worker's report.
#[test]
fn stored_failure_counts_once() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let run = old.take_started(1)[0];
    let ended = vec![run_end(1, run, EndKind::Failed)];
    old.report(1, ends_report(ended.clone()));
    old.advance(100, &[1]);
    old.advance(300, &[1]);
    let mut new = old.successor(50);
    new.connect(11, worker("i-1", 1), complete_report(vec![], ended));
    new.advance(1_000, &[11]);
    assert_ne!(new.state(JOB), Some(JobState::Failed));
    assert_eq!(new.take_started(11).len(), 1);
}

/// Guards against two runs of one task: a task that an earlier owner may have started does not
/// start again while one of that owner's workers is unreachable and may hold a lease.
#[test]
fn inherited_task_waits_for_unreachable_workers() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    let mut new = old.successor(50);
    new.connect(11, worker("i-1", 1), complete_report(vec![], vec![]));
    new.advance(TAKEOVER_WAIT.0 - 100, &[11]);
    assert!(new.take_started(11).is_empty());
    new.advance(800, &[11]);
    assert_eq!(new.take_started(11).len(), 1);
}

/// Guards against delaying jobs that no earlier owner can have started.
#[test]
fn newly_accepted_job_starts_immediately() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    let mut new = old.successor(50);
    new.connect(11, worker("i-1", 1), complete_report(vec![], vec![]));
    new.submit(JOB, rule(2), job(vec![step(2, &[])]));
    new.step(vec![]);
    assert_eq!(new.take_started(11).len(), 2);
}

/// Guards against losing work at a change of owners: runs in progress are adopted.
#[test]
fn run_of_an_earlier_owner_is_adopted() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[]), step(1, &[0])]));
    old.step(vec![]);
    let run = old.take_started(1)[0];
    let mut new = old.successor(50);
    new.connect(
        11,
        worker("i-1", 1),
        complete_report(vec![run_status(run)], vec![]),
    );
    new.advance(300, &[11]);
    assert!(new.take_started(11).is_empty());
    new.report(11, ends_report(vec![run_end(1, run, EndKind::Done)]));
    assert_eq!(new.take_started(11).len(), 1);
}

/// Guards against a run that continues although its job was cancelled or never stored.
#[test]
fn run_of_an_unknown_job_is_stopped() {
    let mut fleet = Fleet::new();
    let run = hyssop_jobs::RunId {
        task: "00000000000000bb.0.0.0".parse().unwrap(),
        run: 1,
    };
    fleet.connect(
        1,
        worker("i-1", 1),
        complete_report(vec![run_status(run)], vec![]),
    );
    assert_eq!(fleet.take_stopped(1), [run]);
}

/// Guards against waiting for the lease of a worker that has ended, as another worker has its
/// address.
#[test]
fn later_worker_at_an_address_replaces_the_earlier_one() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    let mut new = old.successor(50);
    let mut other = worker("i-2", 2);
    other.address = worker("i-1", 1).address;
    new.connect(11, other, complete_report(vec![], vec![]));
    new.step(vec![]);
    assert_eq!(new.take_started(11).len(), 1);
    new.connect(12, worker("i-1", 1), complete_report(vec![], vec![]));
    new.advance(300, &[11, 12]);
    assert!(new.take_started(12).is_empty());
}

/// Guards against overcommitting a worker: an orphaned run reserves resources until it has ended,
/// even if its task is not open or is unknown.
#[test]
fn orphaned_run_reserves_resources_until_its_end() {
    for is_known in [true, false] {
        let mut old = Fleet::new();
        old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
        let mut large_step = step(1, &[]);
        large_step.resources.cpu = 16_000;
        old.submit(JOB, rule(2), job(vec![large_step.clone()]));
        old.step(vec![]);
        let run = old.take_started(1)[0];
        old.request(hyssop_jobs::CallerRequest::Cancel(JOB));
        if !is_known {
            old.store.retain(|key, _| key.starts_with("w/"));
        }
        let mut new = old.successor(2);
        new.connect(
            11,
            worker("i-1", 1),
            complete_report(vec![run_status(run)], vec![]),
        );
        new.submit(hyssop_jobs::JobId(7), rule(2), job(vec![large_step]));
        new.advance(300, &[11]);
        assert!(new.take_started(11).is_empty(), "known: {is_known}");
        new.report(11, ends_report(vec![run_end(1, run, EndKind::Stopped)]));
        new.advance(300, &[11]);
        assert_eq!(new.take_started(11).len(), 1, "known: {is_known}");
    }
}

/// Guards against a later owner that repeats starts with known interference: the estimates of the
/// earlier owner are stored.
#[test]
fn interference_estimates_survive_a_change_of_owners() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut critical_spec = step(1, &[]);
    critical_spec.is_service = true;
    critical_spec.image = Some("serving".into());
    critical_spec.latency_target = Some(hyssop_core::Millis(50));
    old.submit(JOB, rule(2), job(vec![critical_spec]));
    old.step(vec![]);
    let critical_run = old.take_started(1)[0];
    let mut best_effort_spec = step(1, &[]);
    best_effort_spec.is_best_effort = true;
    best_effort_spec.has_checkpoints = true;
    best_effort_spec.image = Some("heavy".into());
    best_effort_spec.resources.cpu = 1_000;
    let report = |latency: u64, best_effort_run: Option<hyssop_jobs::RunId>| {
        let mut statuses = vec![hyssop_jobs::RunStatus {
            measurement: latency,
            ..run_status(critical_run)
        }];
        statuses.extend(best_effort_run.map(|run| hyssop_jobs::RunStatus {
            measurement: 1_000,
            percent_done: 10,
            ..run_status(run)
        }));
        hyssop_jobs::Report {
            running: Some(statuses),
            ..hyssop_jobs::Report::default()
        }
    };
    for _ in 0..3 {
        old.advance(400, &[1]);
        old.report(1, report(15, None));
    }
    old.submit(
        hyssop_jobs::JobId(2),
        rule(2),
        job(vec![best_effort_spec.clone()]),
    );
    old.step(vec![]);
    let best_effort_run = old.take_started(1)[0];
    for _ in 0..3 {
        old.advance(400, &[1]);
        old.report(1, report(150, Some(best_effort_run)));
    }
    let stopped = vec![run_end(1, best_effort_run, EndKind::Stopped)];
    old.report(1, ends_report(stopped));
    old.advance(4_000, &[1]);
    old.submit(hyssop_jobs::JobId(3), rule(2), job(vec![step(1, &[])]));
    old.advance(100, &[1]);
    assert!(old.store.contains_key("f/weights"));

    let mut new = old.successor(2);
    let statuses = report(15, None).running.unwrap_or_default();
    new.connect(11, worker("i-1", 1), complete_report(statuses, vec![]));
    new.advance(500, &[11]);
    let heavy = |run: &hyssop_jobs::RunId| run.task.job == hyssop_jobs::JobId(2);
    assert!(!new.take_started(11).iter().any(heavy));
}

/// Guards against a later owner that waits for a worker that has ended under an earlier one: nothing
/// of the jobs that it inherits starts meanwhile.
#[test]
fn later_owner_does_not_wait_for_workers_that_have_ended() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    old.connect(3, worker("i-3", 1), complete_report(vec![], vec![]));
    let dead = Report {
        is_dead: true,
        ..Report::default()
    };
    old.report(1, dead);
    // The lease of the second worker expires.
    old.advance(WORKER_LEASE.0 + 500, &[3]);
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    let mut new = old.successor(50);
    new.connect(11, worker("i-3", 1), complete_report(vec![], vec![]));
    new.step(vec![]);
    assert_eq!(new.take_started(11).len(), 1);
}

/// Guards against a worker that comes back after its lease has expired and is missing from the
/// store: a later owner would not wait for what runs there.
#[test]
fn later_owner_waits_for_a_worker_that_came_back() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    old.advance(WORKER_LEASE.0 + 500, &[2]);
    old.connect(3, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(40, &[])]));
    old.step(vec![]);
    assert!(!old.take_started(3).is_empty());
    let mut new = old.successor(50);
    new.connect(11, worker("i-2", 1), complete_report(vec![], vec![]));
    new.advance(TAKEOVER_WAIT.0 - 500, &[11]);
    assert!(new.take_started(11).is_empty());
}

/// Guards against starts on a worker that came back before its record is stored again.
#[test]
fn worker_that_came_back_gets_tasks_once_it_is_stored() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.advance(WORKER_LEASE.0 + 500, &[]);
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.is_store_up = false;
    fleet.connect(2, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.step(vec![]);
    assert!(fleet.take_started(2).is_empty());
    fleet.is_store_up = true;
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(2).len(), 1);
}

/// Guards against a task that a later owner starts again although it is done: the end did not fit
/// into the list of ends of the complete report.
#[test]
fn complete_report_that_lacks_ends_confirms_nothing() {
    let (fleet, run) = fleet_with_run_on_first();
    let report = Report {
        has_more_ends: true,
        ..complete_report(vec![], vec![])
    };
    // In the session of the same owner, and in that of a later one.
    for mut fleet in [fleet.successor(2), fleet] {
        fleet.connect(7, worker("i-2", 1), complete_report(vec![], vec![]));
        fleet.connect(8, worker("i-1", 1), report.clone());
        fleet.advance(1_000, &[7, 8]);
        assert!(fleet.take_started(7).is_empty());
        assert!(fleet.take_started(8).is_empty());
        let ended = vec![run_end(501, run, EndKind::Done)];
        fleet.connect(9, worker("i-1", 1), complete_report(vec![], ended));
        fleet.advance(1_000, &[7, 9]);
        assert_eq!(fleet.state(JOB), Some(JobState::Complete));
    }
}

fn fleet_with_run_on_first() -> (Fleet, hyssop_jobs::RunId) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.take_started(1)[0];
    (fleet, run)
}

/// Completes the write in flight, whatever its number, and returns the outputs.
fn complete_write(fleet: &mut Fleet) -> Vec<Output> {
    fleet.now += 1;
    // The owner ignores the numbers of other writes.
    let completed = (1..50).map(Input::WriteCompleted);
    let mut outputs = Vec::new();
    for input in completed {
        let next = fleet.owner.tick(Millis(fleet.now), vec![input]);
        let is_completed = next.iter().any(|o| matches!(o, Output::Write { .. }));
        outputs.extend(next);
        if is_completed {
            return outputs;
        }
    }
    outputs
}

/// Guards against two runs of one task after a change of owners: the store had no record of a worker
/// that was ordered to start it, because an earlier write that dropped the record counted for the
/// later one that restores it.
#[test]
fn nothing_starts_before_the_record_of_a_returned_worker_is_stored() {
    let mut fleet = Fleet::new();
    fleet.is_store_up = false;
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    let dead = Report {
        is_dead: true,
        ..Report::default()
    };
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.report(1, dead);
    // The first write is done, and the one that adds and drops the record is in flight.
    complete_write(&mut fleet);
    fleet.connect(2, worker("i-1", 1), complete_report(vec![], vec![]));
    let outputs = complete_write(&mut fleet);
    let is_order = |output: &Output| matches!(output, Output::Orders { .. });
    assert!(!outputs.iter().any(is_order), "{outputs:?}");
    let outputs = complete_write(&mut fleet);
    assert!(outputs.iter().any(is_order), "{outputs:?}");
}

/// Guards against two runs of one task: calls for an earlier incarnation have leased the worker for longer
/// than owners grant. The owner has taken over since and has not seen the restart; the agent has.
#[test]
fn task_waits_for_the_lease_that_the_complete_report_names() {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let run = old.take_started(1)[0];
    let mut new = old.successor(50);
    let report = Report {
        lease_remaining: Millis(LONGEST_LEASE),
        ..complete_report(vec![run_status(run)], vec![])
    };
    new.connect(11, worker("i-1", 1), report);
    new.connect(12, worker("i-2", 1), complete_report(vec![], vec![]));
    new.advance(LONGEST_LEASE - 100, &[12]);
    assert!(new.take_started(12).is_empty());
    new.advance(600, &[12]);
    assert_eq!(new.take_started(12).len(), 1);
}

/// Creates an owner of which worker i-1 has restarted with a run, and an idle worker i-2.
fn fleet_with_restarted_worker() -> Fleet {
    restarted_worker_with_run().0
}

/// As above, with the run.
fn restarted_worker_with_run() -> (Fleet, RunId) {
    let mut old = Fleet::new();
    old.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let run = old.take_started(1)[0];
    let report = complete_report(vec![run_status(run)], vec![]);
    old.connect(2, worker("i-1", 2), report);
    (old, run)
}

/// Guards against two runs of one task: the next owner cannot reach the restarted worker, so that only the
/// record tells that calls for the earlier incarnation may have leased it for longer.
#[test]
fn next_owner_waits_for_the_lease_of_a_restarted_worker() {
    let old = fleet_with_restarted_worker();
    let mut new = old.successor(50);
    new.connect(12, worker("i-2", 1), complete_report(vec![], vec![]));
    new.advance(MAX_CONFIRMATION_AGE.0 + LONGEST_LEASE - 100, &[12]);
    assert!(new.take_started(12).is_empty());
    new.advance(1_000, &[12]);
    assert_eq!(new.take_started(12).len(), 1);
}

/// Guards against the longer wait for a worker that has restarted long before.
#[test]
fn next_owner_does_not_wait_longer_once_such_a_lease_has_ended() {
    let mut old = fleet_with_restarted_worker();
    old.advance(LONGEST_LEASE + 1_000, &[2]);
    let mut new = old.successor(50);
    new.connect(12, worker("i-2", 1), complete_report(vec![], vec![]));
    new.advance(TAKEOVER_WAIT.0 + 700, &[12]);
    assert_eq!(new.take_started(12).len(), 1);
}

/// Guards against tasks that start on a worker that is cut off, because an earlier call may have leased it
/// for longer than its owner has.
#[test]
fn lease_of_earlier_calls_lets_no_task_start() {
    let mut fleet = Fleet::new();
    let report = Report {
        lease_remaining: Millis(LONGEST_LEASE),
        ..complete_report(vec![], vec![])
    };
    fleet.connect(1, worker("i-1", 1), report);
    fleet.advance(WORKER_LEASE.0 + 500, &[]);
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    assert!(fleet.take_started(1).is_empty());
}

/// Guards against tasks that wait for 10 s in place of 4 s: an agent that has restarted cannot tell whether
/// its worker had, and names the longest lease, although the owner has known the incarnation for long.
#[test]
fn restarted_agent_does_not_extend_the_lease_of_a_known_incarnation() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.advance(60_000, &[1, 2]);
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let mut runs = fleet.take_started(1);
    let (mut session, mut id, mut other): (u64, _, u64) = (1, "i-1", 2);
    if runs.is_empty() {
        runs = fleet.take_started(2);
        (session, id, other) = (2, "i-2", 1);
    }
    let report = Report {
        lease_remaining: Millis(LONGEST_LEASE),
        ..complete_report(vec![run_status(runs[0])], vec![])
    };
    fleet.connect(session + 10, worker(id, 1), report);
    fleet.advance(WORKER_LEASE.0 + 1_000, &[other]);
    assert_eq!(fleet.take_started(other).len(), 1);
}

/// Guards against tasks that wait for longer than the agent's statement: a new owner assumes the longest
/// lease for a restarted worker, and keeps to that after the complete report has named a shorter one.
#[test]
fn complete_report_shortens_the_assumed_lease_of_a_restarted_worker() {
    let (mut old, run) = restarted_worker_with_run();
    old.advance(LONGEST_LEASE - 500, &[2]);
    let mut new = old.successor(50);
    let report = Report {
        lease_remaining: WORKER_LEASE,
        ..complete_report(vec![run_status(run)], vec![])
    };
    new.connect(11, worker("i-1", 2), report);
    new.connect(12, worker("i-2", 1), complete_report(vec![], vec![]));
    new.advance(TAKEOVER_WAIT.0 + 700, &[12]);
    assert_eq!(new.take_started(12).len(), 1);
}

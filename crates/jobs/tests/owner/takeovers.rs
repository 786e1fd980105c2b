//! What a new owner finds: runs, ends and workers of an earlier one.

use hyssop_jobs::{EndKind, JobState, TAKEOVER_WAIT};

use crate::support::{Fleet, JOB, complete, end, ends, job, row, rule, step, worker};

/// Guards against a task that is started again after its last attempt: the store was out of reach
/// when runs 1 and 2 failed, so that their ends are found with two workers, the later one first.
#[test]
fn failures_that_were_not_stored_all_count_in_any_order() {
    let mut old = Fleet::new();
    old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    old.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let first: Vec<_> = [old.started(1), old.started(2)].concat();
    let first = first[0];
    let second = hyssop_jobs::RunId {
        run: first.run + 1,
        ..first
    };

    let mut new = old.taken_over(50);
    new.attach(
        11,
        worker("i-2", 1),
        complete(vec![], vec![end(1, second, EndKind::Failed)]),
    );
    new.attach(
        12,
        worker("i-1", 1),
        complete(vec![], vec![end(1, first, EndKind::Failed)]),
    );
    new.pass(1_000, &[11, 12]);
    assert_eq!(new.state(JOB), Some(JobState::Failed));
    assert!(new.started(11).is_empty() && new.started(12).is_empty());
}

/// Guards against the same where the later run still runs and is adopted first.
#[test]
fn failure_counts_beside_an_adopted_run() {
    let mut old = Fleet::new();
    old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    old.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let first = [old.started(1), old.started(2)].concat()[0];
    let second = hyssop_jobs::RunId {
        run: first.run + 1,
        ..first
    };

    let mut new = old.taken_over(50);
    new.attach(11, worker("i-2", 1), complete(vec![row(second)], vec![]));
    new.attach(
        12,
        worker("i-1", 1),
        complete(vec![], vec![end(1, first, EndKind::Failed)]),
    );
    new.pass(300, &[11, 12]);
    new.report(11, ends(vec![end(1, second, EndKind::Failed)]));
    new.pass(1_000, &[11, 12]);
    assert_eq!(new.state(JOB), Some(JobState::Failed));
}

/// Guards against a failure that counts twice, once as stored and once as listed again.
#[test]
fn failure_that_was_stored_counts_once() {
    let mut old = Fleet::new();
    old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    old.step(vec![]);
    let run = old.started(1)[0];
    let ended = vec![end(1, run, EndKind::Failed)];
    old.report(1, ends(ended.clone()));
    old.pass(100, &[1]);
    old.pass(300, &[1]);
    let mut new = old.taken_over(50);
    new.attach(11, worker("i-1", 1), complete(vec![], ended));
    new.pass(1_000, &[11]);
    assert_ne!(new.state(JOB), Some(JobState::Failed));
    assert_eq!(new.started(11).len(), 1);
}

/// Guards against two runs of one task: nothing that an earlier owner may have started starts again
/// while one of its workers is out of reach and its lease may last.
#[test]
fn task_of_an_earlier_owner_waits_for_the_workers_out_of_reach() {
    let mut old = Fleet::new();
    old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    old.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    let mut new = old.taken_over(50);
    new.attach(11, worker("i-1", 1), complete(vec![], vec![]));
    new.pass(TAKEOVER_WAIT.0 - 100, &[11]);
    assert!(new.started(11).is_empty());
    new.pass(800, &[11]);
    assert_eq!(new.started(11).len(), 1);
}

/// Guards against a wait that blocks jobs which no earlier owner can have started.
#[test]
fn job_that_the_new_owner_accepts_starts_at_once() {
    let mut old = Fleet::new();
    old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    old.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    let mut new = old.taken_over(50);
    new.attach(11, worker("i-1", 1), complete(vec![], vec![]));
    new.submit(JOB, rule(2), job(vec![step(2, &[])]));
    new.step(vec![]);
    assert_eq!(new.started(11).len(), 2);
}

/// Guards against work that is thrown away at a change of owners: a run that is found is kept.
#[test]
fn run_of_an_earlier_owner_is_adopted() {
    let mut old = Fleet::new();
    old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[]), step(1, &[0])]));
    old.step(vec![]);
    let run = old.started(1)[0];
    let mut new = old.taken_over(50);
    new.attach(11, worker("i-1", 1), complete(vec![row(run)], vec![]));
    new.pass(300, &[11]);
    assert!(new.started(11).is_empty());
    new.report(11, ends(vec![end(1, run, EndKind::Done)]));
    assert_eq!(new.started(11).len(), 1);
}

/// Guards against a run that goes on for a job that was cancelled or never stored.
#[test]
fn run_of_an_unknown_job_is_stopped() {
    let mut fleet = Fleet::new();
    let run = hyssop_jobs::RunId {
        task: "00000000000000bb.0.0.0".parse().unwrap(),
        run: 1,
    };
    fleet.attach(1, worker("i-1", 1), complete(vec![row(run)], vec![]));
    assert_eq!(fleet.stopped(1), [run]);
}

/// Guards against a wait for the lease of a worker that has ended: another one has its address.
#[test]
fn later_worker_at_an_address_ends_the_wait_for_the_earlier_one() {
    let mut old = Fleet::new();
    old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    old.submit(JOB, rule(2), job(vec![step(1, &[])]));
    let mut new = old.taken_over(50);
    let mut other = worker("i-2", 2);
    other.address = worker("i-1", 1).address;
    new.attach(11, other, complete(vec![], vec![]));
    new.step(vec![]);
    assert_eq!(new.started(11).len(), 1);
    new.attach(12, worker("i-1", 1), complete(vec![], vec![]));
    new.pass(300, &[11, 12]);
    assert!(new.started(12).is_empty());
}

/// Guards against a worker that is overfilled: what is being stopped takes room until it has ended,
/// also if no open task asks for it or nothing is known of it.
#[test]
fn stray_run_takes_room_until_it_has_ended() {
    for is_known in [true, false] {
        let mut old = Fleet::new();
        old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
        let mut wide = step(1, &[]);
        wide.resources.cpu = 16_000;
        old.submit(JOB, rule(2), job(vec![wide.clone()]));
        old.step(vec![]);
        let run = old.started(1)[0];
        old.ask(hyssop_jobs::CallerRequest::Cancel(JOB));
        if !is_known {
            old.store.retain(|key, _| key.starts_with("w/"));
        }
        let mut new = old.taken_over(2);
        new.attach(11, worker("i-1", 1), complete(vec![row(run)], vec![]));
        new.submit(hyssop_jobs::JobId(7), rule(2), job(vec![wide]));
        new.pass(300, &[11]);
        assert!(new.started(11).is_empty(), "known: {is_known}");
        new.report(11, ends(vec![end(1, run, EndKind::Stopped)]));
        new.pass(300, &[11]);
        assert_eq!(new.started(11).len(), 1, "known: {is_known}");
    }
}

/// Guards against a later owner that tries all pairs of images again beside serving tasks: what an
/// earlier one has learned of fillers is stored.
#[test]
fn later_owner_knows_which_fillers_do_harm() {
    let mut old = Fleet::new();
    old.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    let mut serves = step(1, &[]);
    serves.is_service = true;
    serves.image = Some("serving".into());
    serves.latency_target = Some(hyssop_core::Millis(50));
    old.submit(JOB, rule(2), job(vec![serves]));
    old.step(vec![]);
    let serving = old.started(1)[0];
    let mut fills = step(1, &[]);
    fills.is_best_effort = true;
    fills.has_checkpoints = true;
    fills.image = Some("heavy".into());
    fills.resources.cpu = 1_000;
    let report = |latency: u64, filler: Option<hyssop_jobs::RunId>| {
        let mut rows = vec![hyssop_jobs::RunStatus {
            measurement: latency,
            ..row(serving)
        }];
        rows.extend(filler.map(|run| hyssop_jobs::RunStatus {
            measurement: 1_000,
            percent_done: 10,
            ..row(run)
        }));
        hyssop_jobs::Report {
            running: Some(rows),
            ..hyssop_jobs::Report::default()
        }
    };
    for _ in 0..3 {
        old.pass(400, &[1]);
        old.report(1, report(15, None));
    }
    old.submit(hyssop_jobs::JobId(2), rule(2), job(vec![fills.clone()]));
    old.step(vec![]);
    let filler = old.started(1)[0];
    for _ in 0..3 {
        old.pass(400, &[1]);
        old.report(1, report(150, Some(filler)));
    }
    let stopped = vec![end(1, filler, EndKind::Stopped)];
    old.report(1, ends(stopped));
    old.pass(4_000, &[1]);
    old.submit(hyssop_jobs::JobId(3), rule(2), job(vec![step(1, &[])]));
    old.pass(100, &[1]);
    assert!(old.store.contains_key("f/weights"));

    let mut new = old.taken_over(2);
    let rows = report(15, None).running.unwrap_or_default();
    new.attach(11, worker("i-1", 1), complete(rows, vec![]));
    new.pass(500, &[11]);
    let heavy = |run: &hyssop_jobs::RunId| run.task.job == hyssop_jobs::JobId(2);
    assert!(!new.started(11).iter().any(heavy));
}

//! Sizes of records: the store refuses records above a limit, each time they are sent.

use hyssop_jobs::{
    CallerResponse, EndKind, JobState, OccurrenceProgress, RunEnd, RunId, StepSpec, TaskId, TaskSet,
};

use crate::support::{Fleet, JOB, complete_report, ends_report, job, rule, run_end, step, worker};

const PROGRESS: &str = "p/00000000000000aa";

const fn run(index: u16, run: u64) -> RunId {
    RunId {
        task: TaskId {
            job: JOB,
            occurrence: 0,
            step: 0,
            index,
        },
        run,
    }
}

/// Returns the ends of failed runs of the first task.
fn failures(runs: impl Iterator<Item = u64>) -> Vec<RunEnd> {
    let numbered = (1..).zip(runs);
    let ends = numbered.map(|(number, n)| run_end(number, run(0, n), EndKind::Failed));
    ends.collect()
}

fn connected(attempts: u32, spec: StepSpec) -> Fleet {
    let mut fleet = Fleet::new();
    fleet.submit(JOB, rule(attempts), job(vec![spec]));
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet
}

/// Guards against a record that grows with each failure of a service task, whose attempts are not
/// limited, until the store refuses it.
#[test]
fn failures_of_service_tasks_do_not_lengthen_the_progress() {
    let service = StepSpec {
        is_service: true,
        ..step(1, &[])
    };
    let mut fleet = connected(2, service);
    let mut sizes = Vec::new();
    for failed in [10, 2_000] {
        // Some numbers are missing, as those of runs that were stopped are.
        let ends = failures((1..=failed).filter(|n| n % 3 > 0));
        fleet.report(1, ends_report(ends));
        fleet.advance(300, &[1]);
        sizes.push(fleet.store[PROGRESS].len());
        assert!(fleet.acknowledged_ends[&1] > 0);
    }
    assert_eq!(sizes[0], sizes[1]);
    assert_eq!(fleet.state(JOB), Some(JobState::Running));
}

/// Guards against failures that are counted twice or not at all once their run numbers are stored as a
/// range: a job fails with its last attempt, also if an end is listed again to a later owner.
#[test]
fn stored_ranges_of_failed_runs_count_each_attempt_once() {
    let mut fleet = connected(6, step(1, &[]));
    fleet.report(1, ends_report(failures([3, 1, 2, 5].into_iter())));
    fleet.advance(300, &[1]);
    let text = String::from_utf8(fleet.store[PROGRESS].clone()).unwrap();
    assert!(text.contains("[0,0,[[1,3],5]]"), "{text}");

    let mut next = fleet.successor(2);
    next.connect(2, worker("i-1", 1), complete_report(vec![], vec![]));
    next.report(2, ends_report(failures([2, 3, 5, 1, 4].into_iter())));
    next.advance(300, &[2]);
    assert_ne!(next.state(JOB), Some(JobState::Failed));
    let last = run_end(6, run(0, 7), EndKind::Failed);
    next.report(2, ends_report(vec![last]));
    next.advance(300, &[2]);
    assert_eq!(next.state(JOB), Some(JobState::Failed));
}

/// Guards against jobs that are held or start from the beginning because an earlier version has stored
/// their progress.
#[test]
fn progress_of_earlier_versions_is_read() {
    let old = r#"{"number":0,"done":[[0,2],[]],"fails":[[0,1,[7,5,6]]],"saved":[]}"#;
    let new = r#"{"number":0,"done":["05",[]],"fails":[[0,1,[[5,7]]]],"saved":[]}"#;
    let old: OccurrenceProgress = serde_json::from_str(old).unwrap();
    let new: OccurrenceProgress = serde_json::from_str(new).unwrap();
    assert_eq!(old, new);
    assert_eq!(old.failed_runs[0].2.len(), 3);
    for invalid in [r#"["0"]"#, r#"["0x"]"#, r#"["é"]"#, "[[70000]]"] {
        assert!(serde_json::from_str::<Vec<TaskSet>>(invalid).is_err());
    }
}

/// Guards against a job whose progress exceeds the limit once most of its tasks are done: the largest
/// job has ten steps of 10,000 tasks.
#[test]
fn many_done_tasks_take_little_space() {
    for done in [
        (0..10_000).collect::<TaskSet>(),
        (0..5_000).map(|i| 2 * i).collect(),
    ] {
        let text = serde_json::to_string(&done).unwrap();
        assert!(text.len() <= 2_502, "{}", text.len());
        assert_eq!(serde_json::from_str::<TaskSet>(&text).unwrap(), done);
    }
    let mut fleet = connected(2, step(60, &[]));
    let ends = (0..50).map(|i| run_end(u64::from(i) + 1, run(i, 1), EndKind::Done));
    fleet.report(1, ends_report(ends.collect()));
    fleet.advance(300, &[1]);
    let text = String::from_utf8(fleet.store[PROGRESS].clone()).unwrap();
    assert!(text.contains(r#""done":["ffffffffffff03"]"#), "{text}");

    let mut next = fleet.successor(2);
    next.connect(2, worker("i-1", 1), complete_report(vec![], vec![]));
    next.advance(300, &[2]);
    let mut started: Vec<u16> = next
        .take_started(2)
        .iter()
        .map(|run| run.task.index)
        .collect();
    started.sort_unstable();
    assert_eq!(started, (50..60).collect::<Vec<_>>());
}

/// Guards against a job that is accepted although the store refuses its record every time, which is
/// found out only when nothing can be written any more.
#[test]
fn job_that_is_larger_than_a_record_is_refused_at_once() {
    let image = |n: usize| StepSpec {
        image: Some(format!("registry/image-{n:04}").into()),
        ..step(1, &[])
    };
    let mut fleet = Fleet::new();
    let spec = job((0..1_000).map(image).collect());
    let size = serde_json::to_vec(&spec).unwrap().len();
    assert!(size > 262_143, "{size}");
    fleet.is_store_up = false;
    fleet.submit(JOB, rule(2), spec);
    let Some(CallerResponse::TooLarge(reason)) = fleet.responses.values().next() else {
        panic!("{:?}", fleet.responses);
    };
    assert!(reason.contains("must be at most 262143"), "{reason}");
    fleet.is_store_up = true;
    fleet.step(vec![]);
    assert!(fleet.store.is_empty(), "{:?}", fleet.store.keys());
    let smaller = job((0..500).map(image).collect());
    fleet.submit(JOB, rule(2), smaller);
    assert_eq!(fleet.state(JOB), Some(JobState::Queued));
}

/// Guards against a limit that refuses a job of the largest number of tasks, whose progress fits.
#[test]
fn job_with_the_most_tasks_is_accepted() {
    for spec in [
        job(vec![step(10_000, &[]); 10]),
        job(vec![step(100, &[]); 1_000]),
        job(vec![step(33, &[]); 1_000]),
    ] {
        let mut fleet = Fleet::new();
        fleet.submit(JOB, rule(2), spec);
        assert_eq!(fleet.state(JOB), Some(JobState::Queued));
    }
}

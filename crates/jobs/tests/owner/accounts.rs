//! Account of the time that jobs lose.

use hyssop_core::Millis;
use hyssop_jobs::{EndKind, JobId, Resources, RunId};

use crate::support::{Fleet, JOB, complete_report, ends_report, job, rule, run_end, step, worker};

/// Returns the time that a job has lost for a cause.
fn lost(fleet: &Fleet, cause: &str) -> u64 {
    let times = fleet.lost_times.last().expect("a job has ended");
    let time = times.iter().find(|(name, _)| *name == cause);
    time.map_or(0, |(_, Millis(millis))| *millis)
}

fn end(fleet: &mut Fleet, number: u64, run: RunId, kind: EndKind) {
    fleet.report(1, ends_report(vec![run_end(number, run, kind)]));
}

/// Guards against a late job whose log does not say that the workers were full.
#[test]
fn wait_for_reserved_capacity_is_counted() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut large = step(1, &[]);
    large.resources = Resources {
        cpu: 16_000,
        mem: 100,
        gpu: 0,
    };
    fleet.submit(JobId(1), rule(2), job(vec![large.clone()]));
    fleet.submit(JobId(2), rule(2), job(vec![large]));
    let first = fleet.take_started(1)[0];
    fleet.advance(1_000, &[1]);
    end(&mut fleet, 1, first, EndKind::Done);
    fleet.advance(300, &[1]);
    let second = fleet.take_started(1)[0];
    end(&mut fleet, 2, second, EndKind::Done);
    fleet.advance(300, &[1]);
    let waited = lost(&fleet, "capacity");
    assert!((1_000..1_300).contains(&waited), "{waited}");
}

/// Guards against runs without a result that are missing from the account, and against a pause after
/// a failure that is taken for a lack of capacity.
#[test]
fn failed_runs_and_the_pause_after_them_are_counted() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(3), job(vec![step(1, &[])]));
    let run = fleet.take_started(1)[0];
    fleet.advance(700, &[1]);
    end(&mut fleet, 1, run, EndKind::Failed);
    fleet.advance(400, &[1]);
    let run = fleet.take_started(1)[0];
    end(&mut fleet, 2, run, EndKind::Done);
    fleet.advance(300, &[1]);
    let failed = lost(&fleet, "failed");
    assert!((700..800).contains(&failed), "{failed}");
    let retry = lost(&fleet, "retry");
    assert!((100..400).contains(&retry), "{retry}");
    assert_eq!(lost(&fleet, "capacity"), 0);
}

//! Workers with more unacknowledged ends than one response lists.

use hyssop_jobs::{EndKind, RunEnd};

use crate::support::{Agent, SESSION, end, refused, reports, run, start, start_answered};

/// Returns as many ends as one response of a worker lists at most.
fn full_list() -> Vec<RunEnd> {
    let ends = (1..=500).map(|n| end(n, run(9, n), EndKind::Failed));
    ends.collect()
}

/// Guards against a task that runs again after it was done: its end did not fit into the list of 500
/// ends, so that the run counted as never started.
#[test]
fn run_that_a_full_list_lacks_is_not_refused() {
    let mut agent = Agent::attached();
    agent.reply(vec![(1, start(run(0, 1)))], true);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    agent.now += 1;
    let outputs = agent.probed(vec![], full_list());
    assert_eq!(refused(&outputs), []);
}

/// Guards against a complete report that lacks ends and is taken as complete. The owner learns that,
/// and gets another one in another session once the list is complete.
#[test]
fn complete_report_with_a_full_list_is_followed_by_another() {
    let mut agent = Agent::located();
    agent.reply(vec![], false);
    let outputs = agent.probed(vec![], full_list());
    let is_marked = |outputs: &[_]| {
        let mut reported = reports(outputs).into_iter();
        reported.any(|report| report.report.is_complete && report.report.has_more_ends)
    };
    assert!(is_marked(&outputs));
    assert_eq!(agent.core.session(), Some(SESSION));
    agent.probed(vec![], vec![end(501, run(9, 501), EndKind::Done)]);
    assert_eq!(agent.core.session(), None);
}

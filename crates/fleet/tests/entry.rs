//! Requests of callers at an entry.

use std::time::Duration;

use hyssop_fleet::entries::request_timeout;
use hyssop_jobs::{Ask, JobId, JobSpec, QueueRule};

fn submit() -> Ask {
    Ask::Submit {
        job: JobId(1),
        rule: QueueRule {
            name: "queue".into(),
            service: "planner".into(),
            priority: 0,
            attempts: 2,
            stretch: 1.5,
            target: 250,
            advised: false,
        },
        spec: JobSpec::default(),
    }
}

/// Guards against submissions that are held until their callers have no time for another try while
/// the store or the owner does not answer.
#[test]
fn submissions_leave_time_for_another_try() {
    for millis in [200, 1_000, 3_000, 30_000] {
        let deadline = Duration::from_millis(millis);
        let limit = request_timeout(&submit(), deadline);
        assert!(limit * 2 < deadline, "{limit:?} of {deadline:?}");
    }
}

/// Guards against requests without effect, and cancellations, that are given up while their callers
/// still wait: no other entry knows more.
#[test]
fn other_requests_use_their_time() {
    let deadline = Duration::from_millis(3_000);
    for ask in [Ask::Show(JobId(1)), Ask::Cancel(JobId(1))] {
        let limit = request_timeout(&ask, deadline);
        assert!(limit < deadline && limit * 2 > deadline, "{limit:?}");
    }
}

/// Guards against requests that are given up before they are sent because their deadline is short
/// or missing.
#[test]
fn every_request_gets_some_time() {
    assert!(request_timeout(&submit(), Duration::ZERO) > Duration::ZERO);
}

//! Timeouts of callers' requests at an entry.

use std::time::Duration;

use hyssop_fleet::entries::request_timeout;
use hyssop_jobs::{CallerRequest, JobId, JobSpec, QueueRule};

fn submit() -> CallerRequest {
    CallerRequest::Submit {
        job: JobId(1),
        rule: QueueRule {
            name: "queue".into(),
            service: "planner".into(),
            priority: 0,
            attempts: 2,
            stretch: 1.5,
            margin_ms: 250,
            needs_tickets: false,
        },
        spec: JobSpec::default(),
    }
}

/// Guards against submissions that wait for the store or the owner for so long that their callers
/// have no time for another try.
#[test]
fn submissions_leave_time_for_another_try() {
    for millis in [200, 1_000, 3_000, 30_000] {
        let deadline = Duration::from_millis(millis);
        let limit = request_timeout(&submit(), deadline);
        assert!(limit * 2 < deadline, "{limit:?} of {deadline:?}");
    }
}

/// Guards against queries and cancellations that time out while their callers still wait. Another
/// try at another entry would not help them.
#[test]
fn other_requests_use_most_of_their_deadline() {
    let deadline = Duration::from_millis(3_000);
    for ask in [
        CallerRequest::Show(JobId(1)),
        CallerRequest::Cancel(JobId(1)),
    ] {
        let limit = request_timeout(&ask, deadline);
        assert!(limit < deadline && limit * 2 > deadline, "{limit:?}");
    }
}

/// Guards against requests that time out before they are sent because their deadline is short or
/// zero.
#[test]
fn every_request_has_a_minimum_timeout() {
    assert!(request_timeout(&submit(), Duration::ZERO) > Duration::ZERO);
}

//! Tests with a log that keeps records for a short time only.

use hyssop_core::api::{ApplyReply, DocumentReply, HistoryReply};
use hyssop_core::limits::CONF_STREAM;
use hyssop_core::{JobPhase, JobStatus, Millis, Offset};
use hyssop_standins::LogFaults;
use reqwest::Method;

use super::fleet::{CUT_LISTS, Fleet, TEAM_TOKEN, reply, wait_for};
use super::restarts::{submit, wait_until_finished};

/// Time for which the log keeps records in these tests; short enough for them to expire.
const RETENTION: Millis = Millis(4_000);

fn first_offset(fleet: &Fleet, stream: &str) -> Offset {
    fleet.log.read(stream, Offset(0), 1).first
}

/// Guards against documents and jobs that are lost when their records have expired and every entry
/// is replaced. They must be restored from snapshots.
#[tokio::test(flavor = "multi_thread")]
async fn state_outlives_the_records_that_set_it() {
    let mut fleet = Fleet::start_with_retention(1, 1, RETENTION).await;
    fleet.wait_until_ready(0).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.wait_for_owners(0).await;
    let before: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    let job = submit(&fleet, 0, "order-1").await;
    wait_until_finished(&fleet, 0, &job).await;
    let heads: Vec<_> = ["cell.bergen-a.0", "cell.bergen-b.0", "cell.forde.0"]
        .map(|cell| (cell, fleet.log.read(cell, Offset(0), 1).head))
        .to_vec();
    wait_for("the records have expired", || async {
        let cells = heads
            .iter()
            .all(|(cell, head)| first_offset(&fleet, cell) >= *head);
        (cells && first_offset(&fleet, CONF_STREAM).0 > before.version.0).then_some(())
    })
    .await;
    fleet.entries[0] = None;
    fleet.start_entry(0).await;
    fleet.wait_until_ready(0).await;
    let after: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    assert_eq!(before, after);
    fleet.wait_for_owners(0).await;
    let path = format!("/v1/jobs/{}", job.id);
    let status: JobStatus = fleet.get(0, &path).await;
    assert_eq!(status.phase, JobPhase::Finished);
}

/// G10: guards against changes that are reverted after an outage longer than the log's retention.
/// The running entries have the state and must write it first, and versions must continue from it.
#[tokio::test(flavor = "multi_thread")]
async fn outage_beyond_the_retention_reverts_nothing() {
    let mut fleet = Fleet::start_with_retention(1, 0, RETENTION).await;
    fleet.wait_until_ready(0).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    let before: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    fleet.log.set_faults(LogFaults::default().with_down());
    wait_for("all records have expired", || async {
        let kept = fleet.log.read(CONF_STREAM, Offset(0), 1);
        (kept.first == kept.head).then_some(())
    })
    .await;
    fleet.log.set_faults(LogFaults::default());
    let changed = CUT_LISTS.replace("cpu = 2000", "cpu = 3000");
    let path = format!("/v1/documents/cut-lists?base={}", before.version);
    let applied = wait_for("a change is accepted", || async {
        let request = fleet.request(0, Method::PUT, &path, TEAM_TOKEN);
        let response = request.body(changed.clone()).send().await.unwrap();
        reply::<ApplyReply>(response).await.ok()
    })
    .await;
    assert!(applied.has_changed && applied.version > before.version);
    fleet.entries[0] = None;
    fleet.start_entry(0).await;
    fleet.wait_until_ready(0).await;
    let after: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    assert_eq!(after.version, applied.version);
    let history: HistoryReply = fleet.get(0, "/v1/documents/cut-lists/history").await;
    assert_eq!(history.versions.last().unwrap().version, applied.version);
}

//! The log keeps records for a limited time only.

use hyssop_core::api::{ApplyReply, DocumentReply, HistoryReply};
use hyssop_core::limits::CONF_STREAM;
use hyssop_core::{JobPhase, JobStatus, Millis, Offset};
use hyssop_standins::LogFaults;
use reqwest::Method;

use super::fleet::{CUT_LISTS, Fleet, TEAM_TOKEN, reply, until};
use super::restarts::{finished, submit};

/// Time for which the log keeps records in these tests.
const KEEP: Millis = Millis(4_000);

fn first(fleet: &Fleet, stream: &str) -> Offset {
    fleet.log.read(stream, Offset(0), 1).first
}

/// Documents and jobs whose own records have expired must come back from snapshots when every
/// entry is replaced.
#[tokio::test(flavor = "multi_thread")]
async fn state_outlives_the_records_that_set_it() {
    let mut fleet = Fleet::start_keeping(1, 1, KEEP).await;
    fleet.ready(0).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.owned(0).await;
    let before: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    let job = submit(&fleet, 0, "order-1").await;
    finished(&fleet, 0, &job).await;
    let heads: Vec<_> = ["cell.bergen-a.0", "cell.bergen-b.0", "cell.forde.0"]
        .map(|cell| (cell, fleet.log.read(cell, Offset(0), 1).head))
        .to_vec();
    until("the records have expired", || async {
        let cells = heads
            .iter()
            .all(|(cell, head)| first(&fleet, cell) >= *head);
        (cells && first(&fleet, CONF_STREAM).0 > before.version.0).then_some(())
    })
    .await;
    fleet.entries[0] = None;
    fleet.start_entry(0).await;
    fleet.ready(0).await;
    let after: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    assert_eq!(before, after);
    fleet.owned(0).await;
    let path = format!("/v1/jobs/{}", job.id);
    let status: JobStatus = fleet.get(0, &path).await;
    assert_eq!(status.phase, JobPhase::Finished);
}

/// G10: an outage longer than the retention must revert nothing: the entries that run hold the
/// state and write it first, and versions go on from there.
#[tokio::test(flavor = "multi_thread")]
async fn outage_beyond_the_retention_reverts_nothing() {
    let mut fleet = Fleet::start_keeping(1, 0, KEEP).await;
    fleet.ready(0).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    let before: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    fleet.log.set_faults(LogFaults::default().with_down());
    until("all records have expired", || async {
        let kept = fleet.log.read(CONF_STREAM, Offset(0), 1);
        (kept.first == kept.head).then_some(())
    })
    .await;
    fleet.log.set_faults(LogFaults::default());
    let changed = CUT_LISTS.replace("cpu = 2000", "cpu = 3000");
    let path = format!("/v1/documents/cut-lists?base={}", before.version);
    let applied = until("a change is accepted", || async {
        let request = fleet.request(0, Method::PUT, &path, TEAM_TOKEN);
        let response = request.body(changed.clone()).send().await.unwrap();
        reply::<ApplyReply>(response).await.ok()
    })
    .await;
    assert!(applied.has_changed && applied.version > before.version);
    fleet.entries[0] = None;
    fleet.start_entry(0).await;
    fleet.ready(0).await;
    let after: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    assert_eq!(after.version, applied.version);
    let history: HistoryReply = fleet.get(0, "/v1/documents/cut-lists/history").await;
    assert_eq!(history.versions.last().unwrap().version, applied.version);
}

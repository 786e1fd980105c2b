//! Tests of jobs from submission to result.

use hyssop_core::api::{ErrorCode, JobSubmit, ResultReply, ResultRequest};
use hyssop_core::{Class, JobPhase, JobStatus, Millis, Resources};
use reqwest::Method;
use smallvec::SmallVec;

use super::fleet::{CUT_LISTS, Fleet, OTHER_TOKEN, TEAM_TOKEN, service, wait_for};

pub(crate) fn cut_list_job(key: &str) -> JobSubmit {
    JobSubmit {
        key: key.to_owned(),
        service: service("cut-lists"),
        kind: service("cut-list"),
        class: Class::Batch,
        needs: Resources::new(1_000, 1_024, 0),
        work: Millis(200),
        domains: SmallVec::new(),
        payload: String::new(),
    }
}

/// Guards against a job that runs twice when its submission is repeated, and against a result that
/// is returned for a second receipt or to another team.
#[tokio::test(flavor = "multi_thread")]
async fn result_of_a_job_goes_to_one_receipt() {
    let fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.wait_for_owners(0).await;
    let job = cut_list_job("order-1");
    let send = || fleet.send::<JobStatus>(0, Method::POST, "/v1/jobs", TEAM_TOKEN, &job);
    let first = send().await.unwrap();
    let repeated = send().await.unwrap();
    assert_eq!(first.id, repeated.id);
    let path = format!("/v1/jobs/{}", first.id);
    wait_for("the job has finished", || async {
        let status: JobStatus = fleet.try_get(0, &path).await?;
        (status.phase == JobPhase::Finished).then_some(())
    })
    .await;
    let fetch = async |receipt: &str, token: &str| {
        let body = ResultRequest {
            receipt: receipt.to_owned(),
        };
        let path = format!("{path}/result");
        fleet
            .send::<ResultReply>(0, Method::POST, &path, token, &body)
            .await
    };
    let foreign = fetch("office", OTHER_TOKEN).await.unwrap_err();
    assert_eq!(foreign.code, ErrorCode::Forbidden);
    let result = fetch("office", TEAM_TOKEN).await.unwrap();
    assert_eq!(fetch("office", TEAM_TOKEN).await.unwrap(), result);
    let conflict = fetch("warehouse", TEAM_TOKEN).await.unwrap_err();
    assert_eq!(conflict.code, ErrorCode::AlreadyFetched);
    let starts = fleet
        .workers
        .values()
        .flat_map(|worker| worker.ledger().entries);
    let starts = starts.filter(|entry| entry.job == first.id);
    let starts = starts.filter(|e| e.change == hyssop_standins::TaskChange::Started);
    assert_eq!(starts.count(), 1);
}

//! Tests of the entry's metrics.

use hyssop_core::api::{DomainChange, DomainReply, ResultReply, ResultRequest};
use hyssop_core::{DomainState, Version};
use reqwest::Method;

use super::fleet::{CUT_LISTS, Fleet, OPERATOR_TOKEN, PLANNER, TEAM_TOKEN};
use super::restarts::{submit, wait_until_finished};

/// Sums the samples of a metric that have all these labels, over all entries.
async fn metric_sum(fleet: &Fleet, name: &str, labels: &[&str]) -> f64 {
    let mut sum = 0.0;
    for at in 0..fleet.entries.len() {
        let request = fleet.request(at, Method::GET, "/metrics", OPERATOR_TOKEN);
        let text = request.send().await.unwrap().text().await.unwrap();
        let lines = text.lines().filter(|line| {
            let rest = line.strip_prefix(name);
            let is_metric = rest.is_some_and(|rest| rest.starts_with(['{', ' ']));
            is_metric && labels.iter().all(|label| line.contains(label))
        });
        sum += lines
            .map(|line| line.rsplit(' ').next().unwrap().parse::<f64>().unwrap())
            .sum::<f64>();
    }
    sum
}

/// Guards against a job that is counted as completed more than once, because its result is first
/// fetched through two entries at the same time and later again with the same receipt.
#[tokio::test(flavor = "multi_thread")]
async fn completed_work_is_counted_once() {
    let fleet = Fleet::start(2, 1).await;
    for at in 0..2 {
        fleet.wait_until_ready(at).await;
        fleet.wait_for_owners(at).await;
    }
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    let mut jobs = Vec::new();
    for number in 0..4 {
        jobs.push(submit(&fleet, 0, &format!("order-{number}")).await);
    }
    let body = ResultRequest {
        receipt: "office".to_owned(),
    };
    for job in &jobs {
        wait_until_finished(&fleet, 0, job).await;
        let path = format!("/v1/jobs/{}/result", job.id);
        let fetch = |at| fleet.send::<ResultReply>(at, Method::POST, &path, TEAM_TOKEN, &body);
        let (first, second) = tokio::join!(fetch(0), fetch(1));
        assert_eq!(first.unwrap(), second.unwrap());
        fetch(1).await.unwrap();
    }
    let kind = ["kind=\"cut-list\""];
    let completed = metric_sum(&fleet, "hyssop_work_completed_total", &kind).await;
    assert_eq!(completed, jobs.len() as f64);
    let name = "hyssop_work_completed_domain_out_total";
    assert_eq!(metric_sum(&fleet, name, &kind).await, 0.0);

    let out = DomainChange {
        state: DomainState::Out,
        base: Version(0),
        force: false,
        dry_run: false,
    };
    let path = "/v1/domains/forde";
    let changed = fleet.send::<DomainReply>(0, Method::PUT, path, OPERATOR_TOKEN, &out);
    changed.await.unwrap();
    let job = submit(&fleet, 0, "order-out").await;
    wait_until_finished(&fleet, 0, &job).await;
    let path = format!("/v1/jobs/{}/result", job.id);
    let fetched = fleet.send::<ResultReply>(0, Method::POST, &path, TEAM_TOKEN, &body);
    fetched.await.unwrap();
    assert_eq!(metric_sum(&fleet, name, &kind).await, 1.0);
}

/// Guards against requests that are missing from the metrics: routed ones are counted with their
/// latency, and those refused before routing by their reason.
#[tokio::test(flavor = "multi_thread")]
async fn requests_and_refusals_are_counted() {
    let mut fleet = Fleet::start(1, 1).await;
    fleet.wait_until_ready(0).await;
    fleet.apply(0, "planner", PLANNER).await;
    fleet.start_backend("planner", "bergen-a").await;
    fleet.wait_for_members(0, 1).await;
    let refused = [
        (
            Method::GET,
            "/v1/call/planner/day-sheets",
            "unknown",
            "unauthenticated",
        ),
        (Method::GET, "/v1/call/nowhere/x", TEAM_TOKEN, "no-service"),
        (
            Method::POST,
            "/v1/call/planner/bookings",
            TEAM_TOKEN,
            "ticket-missing",
        ),
    ];
    for (method, path, token, reason) in refused {
        fleet.request(0, method, path, token).send().await.unwrap();
        let reason = format!("reason=\"{reason}\"");
        let counted = metric_sum(&fleet, "hyssop_requests_refused_total", &[&reason]).await;
        assert_eq!(counted, 1.0, "{reason}");
    }
    let request = fleet.request(0, Method::GET, "/v1/call/planner/day-sheets", TEAM_TOKEN);
    request.send().await.unwrap();
    let labels = ["team=\"haugland\"", "class=\"latency-critical\""];
    let name = "hyssop_request_latency_seconds_count";
    assert_eq!(metric_sum(&fleet, name, &labels).await, 1.0);
}

/// Guards against a readiness metric that differs from `/readyz`.
#[tokio::test(flavor = "multi_thread")]
async fn readiness_is_in_the_metrics() {
    let fleet = Fleet::start(1, 0).await;
    fleet.wait_until_ready(0).await;
    super::fleet::wait_for("the entry is ready", || async {
        let request = fleet.request(0, Method::GET, "/readyz", OPERATOR_TOKEN);
        (request.send().await.ok()?.status() == 200).then_some(())
    })
    .await;
    assert_eq!(metric_sum(&fleet, "hyssop_ready", &[]).await, 1.0);
}

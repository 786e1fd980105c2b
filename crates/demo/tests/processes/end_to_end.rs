//! Tests of requests and jobs through all processes.

use std::time::{SystemTime, UNIX_EPOCH};

use hyssop_core::api::{ApiError, ErrorCode, JobSubmit, ResultReply, ResultRequest};
use hyssop_core::limits::TASK_LEASE;
use hyssop_core::{Class, JobPhase, JobStatus, Millis, Resources, ServiceName};
use hyssop_demo::callers::{CallOutcome, Caller, CallerRequest};
use hyssop_demo::checks;
use hyssop_demo::processes::{Fleet, FleetOptions, TEAM_TOKEN};
use hyssop_demo::waits::wait_until;
use hyssop_standins::{Echo, LedgerEntry, TaskChange};
use reqwest::{Method, StatusCode};

use crate::support::{CUT_LISTS, Ctl, PLANNER, WAIT_TIMEOUT, wait_converged};

async fn check_requests_and_jobs(options: FleetOptions) {
    let fleet = Fleet::start(options).await.unwrap();
    let ctl = Ctl::new(&fleet);
    ctl.apply(PLANNER);
    ctl.apply(CUT_LISTS);
    wait_converged(&fleet, 2, fleet.options.domains.len()).await;
    let caller = Caller::new(TEAM_TOKEN).unwrap();
    check_response(&fleet, &caller).await;
    check_single_run(&fleet, &caller).await;
    check_single_result(&fleet, &caller).await;
    check_log_volume(&fleet);
    fleet.stop().await.unwrap();
}

/// Checks that a backend server receives a request unchanged, and that its response is complete.
async fn check_response(fleet: &Fleet, caller: &Caller) {
    for entry in fleet.entry_urls() {
        let request = CallerRequest::get("/day-sheets/7?fitter=3");
        let outcome = caller.call(&entry, "planner", &request).await;
        let echo: Echo = serde_json::from_slice(outcome.complete_body().unwrap()).unwrap();
        assert_eq!(echo.method, "GET");
        assert_eq!(echo.path, "/day-sheets/7");
    }
}

/// Checks that a non-idempotent request that is sent through all entries at once, and then again,
/// runs once.
async fn check_single_run(fleet: &Fleet, caller: &Caller) {
    let urls = fleet.entry_urls();
    let tickets = caller.tickets(&urls[0], "planner", 4).await.unwrap();
    for ticket in &tickets {
        let request = CallerRequest::post("/bookings", ticket, format!("booking {ticket}"));
        let calls = urls
            .iter()
            .map(|entry| caller.call(entry, "planner", &request));
        let mut outcomes = futures::future::join_all(calls).await;
        outcomes.push(caller.call(&urls[0], "planner", &request).await);
        for outcome in &outcomes {
            let echo: Echo = serde_json::from_slice(outcome.complete_body().unwrap()).unwrap();
            assert_eq!(echo.key.as_ref(), Some(ticket));
            assert_eq!(outcome, &outcomes[0]);
        }
        let other = CallerRequest::post("/bookings", ticket, "another booking");
        let refused = caller.call(&urls[1], "planner", &other).await;
        assert_eq!(refused, CallOutcome::NotRun("ticket-reused".to_owned()));
    }
    let ledgers = fleet.backend_ledgers().await.unwrap();
    checks::check_requests(&ledgers, &tickets, &[]).unwrap();
}

/// Checks that a job finishes once, and that only the first receipt gets its result.
async fn check_single_result(fleet: &Fleet, caller: &Caller) {
    let urls = fleet.entry_urls();
    let submit = JobSubmit {
        key: "roll-7".to_owned(),
        service: ServiceName::new("cut-lists").unwrap(),
        kind: ServiceName::new("cut-list").unwrap(),
        class: Class::Batch,
        needs: Resources::new(1_000, 512, 0),
        work: Millis(500),
        domains: Default::default(),
        payload: "roll 7".to_owned(),
    };
    let mut jobs = Vec::new();
    for entry in &urls {
        // The same key identifies the same job at every entry. Entries respond with 503 until the
        // cells have owners.
        let job = wait_until("the job is accepted", WAIT_TIMEOUT, async || {
            let request = caller
                .request(Method::POST, entry, "/v1/jobs")
                .json(&submit);
            let response = request.send().await.unwrap();
            if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                return None;
            }
            assert!(
                response.status().is_success(),
                "{}",
                response.text().await.unwrap()
            );
            Some(response.json::<JobStatus>().await.unwrap())
        });
        jobs.push(job.await.unwrap().id);
    }
    assert!(jobs.windows(2).all(|pair| pair[0] == pair[1]), "{jobs:?}");
    let path = format!("/v1/jobs/{}", jobs[0]);
    wait_until("the job has finished", WAIT_TIMEOUT, async || {
        let request = caller.request(Method::GET, &urls[1], &path);
        let job: JobStatus = request.send().await.ok()?.json().await.ok()?;
        (job.phase == JobPhase::Finished).then_some(())
    })
    .await
    .unwrap();
    check_fetches(caller, &urls, &path).await;
    let ledgers = fleet.worker_ledgers().await.unwrap();
    let entries = ledgers.iter().flat_map(|ledger| &ledger.entries);
    let changes = entries.filter(|entry| entry.job == jobs[0]);
    let changes: Vec<_> = changes.map(|entry| entry.change).collect();
    assert_eq!(changes, [TaskChange::Started, TaskChange::Finished]);
}

async fn check_fetches(caller: &Caller, urls: &[String], job: &str) {
    let fetch = async |entry: &str, receipt: &str| {
        let request = caller.request(Method::POST, entry, &format!("{job}/result"));
        let receipt = receipt.to_owned();
        request
            .json(&ResultRequest { receipt })
            .send()
            .await
            .unwrap()
    };
    let first = fetch(&urls[0], "saw-1").await;
    assert_eq!(first.status(), StatusCode::OK);
    let first: ResultReply = first.json().await.unwrap();
    let again: ResultReply = fetch(&urls[1], "saw-1").await.json().await.unwrap();
    assert_eq!(again, first);
    for entry in urls {
        let other = fetch(entry, "saw-2").await;
        assert_eq!(other.status(), StatusCode::CONFLICT);
        let error: ApiError = other.json().await.unwrap();
        assert_eq!(error.code, ErrorCode::AlreadyFetched);
    }
}

/// Checks that the daemons log no line for each RPC message.
fn check_log_volume(fleet: &Fleet) {
    let entries = fleet.entries.iter().map(|entry| &entry.process);
    let agents = fleet.agents.iter().map(|agent| &agent.process);
    for process in entries.chain(agents) {
        let output = process.output();
        let calls = output.lines().filter(|line| line.contains("tarpc"));
        assert_eq!(calls.count(), 0, "{}:\n{output}", process.name());
    }
}

/// Guards against leases that are not renewed while nothing else happens. Each task that ran for
/// longer than a lease was then stopped and started again every 15 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_outlives_its_first_lease() {
    let fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let ctl = Ctl::new(&fleet);
    ctl.apply(PLANNER);
    wait_until(
        "a task has run for two leases, or ended",
        WAIT_TIMEOUT,
        async || {
            let ledgers = fleet.worker_ledgers().await.ok()?;
            let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
            let is_old_enough = ledgers.iter().any(|ledger| {
                let first = ledger.entries.first();
                let start = first.map(|entry| entry.at + ledger.clock_start);
                start.is_some_and(|start| now.as_millis() > u128::from(start.0 + 2 * TASK_LEASE.0))
            });
            let entries = ledgers.iter().flat_map(|ledger| &ledger.entries);
            let mut ends = entries.filter(|entry| entry.change != TaskChange::Started);
            (is_old_enough || ends.next().is_some()).then_some(())
        },
    )
    .await
    .unwrap();
    let ledgers = fleet.worker_ledgers().await.unwrap();
    let entries = ledgers.iter().flat_map(|ledger| &ledger.entries);
    let lapsed = entries.filter(|entry| entry.change == TaskChange::Lapsed);
    assert_eq!(lapsed.collect::<Vec<_>>(), Vec::<&LedgerEntry>::new());
}

/// Guards against components that work alone but not together.
#[tokio::test(flavor = "multi_thread")]
async fn two_entries_serve_requests_and_jobs() {
    check_requests_and_jobs(FleetOptions::default()).await;
}

/// Guards against behaviour that holds for two entries but not for a majority of three.
#[tokio::test(flavor = "multi_thread")]
async fn three_entries_serve_requests_and_jobs() {
    let options = FleetOptions {
        entries: 3,
        ..FleetOptions::default()
    };
    check_requests_and_jobs(options).await;
}

//! The path of one request and one job through all processes.

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

use crate::support::{CUT_LISTS, Ctl, LIMIT, PLANNER, settled};

async fn thin_path(options: FleetOptions) {
    let fleet = Fleet::start(options).await.unwrap();
    let ctl = Ctl::new(&fleet);
    ctl.apply(PLANNER);
    ctl.apply(CUT_LISTS);
    settled(&fleet, 2, fleet.options.domains.len()).await;
    let caller = Caller::new(TEAM_TOKEN).unwrap();
    whole_response(&fleet, &caller).await;
    one_run(&fleet, &caller).await;
    one_result(&fleet, &caller).await;
    quiet(&fleet);
    fleet.stop().await.unwrap();
}

/// A request arrives at a backend server as it was sent, and its response comes back whole.
async fn whole_response(fleet: &Fleet, caller: &Caller) {
    for entry in fleet.entry_urls() {
        let ask = CallerRequest::get("/day-sheets/7?fitter=3");
        let answer = caller.call(&entry, "planner", &ask).await;
        let echo: Echo = serde_json::from_slice(answer.complete_body().unwrap()).unwrap();
        assert_eq!(echo.method, "GET");
        assert_eq!(echo.path, "/day-sheets/7");
    }
}

/// A non-idempotent request that is sent through all entries at once, and again, runs once.
async fn one_run(fleet: &Fleet, caller: &Caller) {
    let bases = fleet.entry_urls();
    let tickets = caller.tickets(&bases[0], "planner", 4).await.unwrap();
    for ticket in &tickets {
        let ask = CallerRequest::post("/bookings", ticket, format!("booking {ticket}"));
        let calls = bases
            .iter()
            .map(|entry| caller.call(entry, "planner", &ask));
        let mut answers = futures::future::join_all(calls).await;
        answers.push(caller.call(&bases[0], "planner", &ask).await);
        for answer in &answers {
            let echo: Echo = serde_json::from_slice(answer.complete_body().unwrap()).unwrap();
            assert_eq!(echo.key.as_ref(), Some(ticket));
            assert_eq!(answer, &answers[0]);
        }
        let other = CallerRequest::post("/bookings", ticket, "another booking");
        let refused = caller.call(&bases[1], "planner", &other).await;
        assert_eq!(refused, CallOutcome::NotRun("ticket-reused".to_owned()));
    }
    let ledgers = fleet.backend_ledgers().await.unwrap();
    checks::check_requests(&ledgers, &tickets, &[]).unwrap();
}

/// A job runs to completion once, and its result goes to the first receipt only.
async fn one_result(fleet: &Fleet, caller: &Caller) {
    let bases = fleet.entry_urls();
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
    for entry in &bases {
        // The same key names the same job through every entry. Until the cells have owners the
        // job is refused as not accepted.
        let job = wait_until("the job is accepted", LIMIT, async || {
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
    wait_until("the job has finished", LIMIT, async || {
        let request = caller.request(Method::GET, &bases[1], &path);
        let job: JobStatus = request.send().await.ok()?.json().await.ok()?;
        (job.phase == JobPhase::Finished).then_some(())
    })
    .await
    .unwrap();
    fetch_once(caller, &bases, &path).await;
    let ledgers = fleet.worker_ledgers().await.unwrap();
    let entries = ledgers.iter().flat_map(|ledger| &ledger.entries);
    let changes = entries.filter(|entry| entry.job == jobs[0]);
    let changes: Vec<_> = changes.map(|entry| entry.change).collect();
    assert_eq!(changes, [TaskChange::Started, TaskChange::Finished]);
}

async fn fetch_once(caller: &Caller, bases: &[String], job: &str) {
    let fetch = async |entry: &str, receipt: &str| {
        let request = caller.request(Method::POST, entry, &format!("{job}/result"));
        let receipt = receipt.to_owned();
        request
            .json(&ResultRequest { receipt })
            .send()
            .await
            .unwrap()
    };
    let first = fetch(&bases[0], "saw-1").await;
    assert_eq!(first.status(), StatusCode::OK);
    let first: ResultReply = first.json().await.unwrap();
    let again: ResultReply = fetch(&bases[1], "saw-1").await.json().await.unwrap();
    assert_eq!(again, first);
    for entry in bases {
        let other = fetch(entry, "saw-2").await;
        assert_eq!(other.status(), StatusCode::CONFLICT);
        let error: ApiError = other.json().await.unwrap();
        assert_eq!(error.code, ErrorCode::AlreadyFetched);
    }
}

/// The daemons write no line for each request or message.
fn quiet(fleet: &Fleet) {
    let entries = fleet.entries.iter().map(|entry| &entry.process);
    let agents = fleet.agents.iter().map(|agent| &agent.process);
    for process in entries.chain(agents) {
        let output = process.output();
        let calls = output.lines().filter(|line| line.contains("tarpc"));
        assert_eq!(calls.count(), 0, "{}:\n{output}", process.name());
    }
}

/// Guards against leases that are not renewed while nothing else happens: each task that runs for
/// longer than a lease was stopped and started again every 15 s.
#[tokio::test(flavor = "multi_thread")]
async fn a_task_outlives_its_first_lease() {
    let fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let ctl = Ctl::new(&fleet);
    ctl.apply(PLANNER);
    wait_until(
        "a task has run for two leases, or ended",
        LIMIT,
        async || {
            let ledgers = fleet.worker_ledgers().await.ok()?;
            let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?;
            let aged = ledgers.iter().any(|ledger| {
                let first = ledger.entries.first();
                let start = first.map(|entry| entry.at + ledger.clock_start);
                start.is_some_and(|start| now.as_millis() > u128::from(start.0 + 2 * TASK_LEASE.0))
            });
            let entries = ledgers.iter().flat_map(|ledger| &ledger.entries);
            let mut ends = entries.filter(|entry| entry.change != TaskChange::Started);
            (aged || ends.next().is_some()).then_some(())
        },
    )
    .await
    .unwrap();
    let ledgers = fleet.worker_ledgers().await.unwrap();
    let entries = ledgers.iter().flat_map(|ledger| &ledger.entries);
    let lapsed = entries.filter(|entry| entry.change == TaskChange::Lapsed);
    assert_eq!(lapsed.collect::<Vec<_>>(), Vec::<&LedgerEntry>::new());
}

/// Guards against parts that work alone but not together.
#[tokio::test(flavor = "multi_thread")]
async fn two_entries_serve_requests_and_jobs() {
    thin_path(FleetOptions::default()).await;
}

/// Guards against a rule for two entries that does not hold for a majority of three.
#[tokio::test(flavor = "multi_thread")]
async fn three_entries_serve_requests_and_jobs() {
    let options = FleetOptions {
        entries: 3,
        ..FleetOptions::default()
    };
    thin_path(options).await;
}

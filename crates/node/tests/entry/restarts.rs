//! Tests of requests and jobs while entries and agents start, stop or fail.

use std::time::Duration;

use hyssop_core::api::{
    self, ApiError, DocumentReply, ExplainReply, JobList, ResultReply, ResultRequest, StatusReply,
    TicketsReply, TicketsRequest,
};
use hyssop_core::{Connectivity, EntryName, JobPhase, JobStatus};
use hyssop_standins::{BackendFaults, LogFaults, TaskChange};
use reqwest::Method;

use super::fleet::{CUT_LISTS, Fleet, OPERATOR_TOKEN, PLANNER, TEAM_TOKEN, wait_for};
use super::jobs::cut_list_job;

async fn status(fleet: &Fleet, entry_index: usize) -> Option<StatusReply> {
    fleet.try_get(entry_index, "/v1/status").await
}

/// Waits until all cells have owners, none of which is `lost`.
async fn wait_for_other_owners(fleet: &Fleet, entry_index: usize, lost: &EntryName) {
    wait_for("the cells have other owners", || async {
        let status = status(fleet, entry_index).await?;
        let others = status.cells.iter().all(|cell| cell.owner != *lost);
        (status.cells.len() == 3 && others).then_some(())
    })
    .await;
}

pub(crate) async fn submit(fleet: &Fleet, entry_index: usize, key: &str) -> JobStatus {
    let job = cut_list_job(key);
    wait_for("the job is accepted", || async {
        let sent = fleet.send(entry_index, Method::POST, "/v1/jobs", TEAM_TOKEN, &job);
        sent.await.ok()
    })
    .await
}

pub(crate) async fn wait_until_finished(fleet: &Fleet, entry_index: usize, job: &JobStatus) {
    let path = format!("/v1/jobs/{}", job.id);
    wait_for("the job has finished", || async {
        let status: JobStatus = fleet.try_get(entry_index, &path).await?;
        (status.phase == JobPhase::Finished).then_some(())
    })
    .await;
}

async fn ticket(fleet: &Fleet, entry_index: usize) -> String {
    let body = TicketsRequest { count: 1 };
    let path = "/v1/services/planner/tickets";
    let sent = fleet.send::<TicketsReply>(entry_index, Method::POST, path, TEAM_TOKEN, &body);
    sent.await.unwrap().tickets.remove(0)
}

fn booking(fleet: &Fleet, entry_index: usize, ticket: &str) -> reqwest::RequestBuilder {
    fleet
        .request(
            entry_index,
            Method::POST,
            "/v1/call/planner/bookings",
            TEAM_TOKEN,
        )
        .header(api::IDEMPOTENCY_KEY, ticket)
        .body("a fitting")
}

fn outcome(response: &reqwest::Response) -> &str {
    response.headers()[api::OUTCOME].to_str().unwrap()
}

async fn start_with_planner(entries: usize) -> Fleet {
    let mut fleet = Fleet::start(entries, 1).await;
    for entry_index in 0..entries {
        fleet.wait_until_ready(entry_index).await;
    }
    fleet.apply(0, "planner", PLANNER).await;
    fleet.start_backend("planner", "bergen-a").await;
    for entry_index in 0..entries {
        fleet.wait_for_members(entry_index, 1).await;
    }
    fleet
}

/// Guards against a job that can only be found, or its result only be fetched, through the owner of
/// its cell.
#[tokio::test(flavor = "multi_thread")]
async fn jobs_are_reached_through_every_entry() {
    let fleet = Fleet::start(3, 1).await;
    for entry_index in 0..3 {
        fleet.wait_until_ready(entry_index).await;
    }
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    for entry_index in 0..3 {
        fleet.wait_for_owners(entry_index).await;
    }
    let mut jobs = Vec::new();
    for number in 0..6 {
        jobs.push(submit(&fleet, number % 3, &format!("order-{number}")).await);
    }
    for (number, job) in jobs.iter().enumerate() {
        let entry_index = (number + 1) % 3;
        wait_until_finished(&fleet, entry_index, job).await;
        let body = ResultRequest {
            receipt: "office".to_owned(),
        };
        let path = format!("/v1/jobs/{}/result", job.id);
        let entry_index = (number + 2) % 3;
        let result = fleet.send::<ResultReply>(entry_index, Method::POST, &path, TEAM_TOKEN, &body);
        assert_eq!(result.await.unwrap().job, job.id);
    }
    let request = fleet.request(1, Method::GET, "/v1/jobs", TEAM_TOKEN);
    let list: JobList = super::fleet::reply(request.send().await.unwrap())
        .await
        .unwrap();
    assert_eq!(list.jobs.len(), jobs.len());
}

/// Guards against cells that stay without an owner when an entry is killed, and against jobs that
/// are lost or run twice in the failover.
#[tokio::test(flavor = "multi_thread")]
async fn cells_of_a_killed_entry_fail_over() {
    let mut fleet = Fleet::start(3, 1).await;
    for entry_index in 0..3 {
        fleet.wait_until_ready(entry_index).await;
    }
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    let owners = fleet.wait_for_owners(0).await;
    let victim = owners.cells[0].owner.clone();
    let entry_index = (0..3)
        .find(|entry_index| victim.as_str() == format!("entry-{entry_index}"))
        .unwrap();
    let mut jobs = Vec::new();
    for number in 0..6 {
        jobs.push(submit(&fleet, entry_index, &format!("order-{number}")).await);
    }
    drop(fleet.entries[entry_index].take());
    let other = (entry_index + 1) % 3;
    wait_for_other_owners(&fleet, other, &victim).await;
    for job in &jobs {
        wait_until_finished(&fleet, other, job).await;
        let entries = fleet
            .workers
            .values()
            .flat_map(|worker| worker.ledger().entries);
        let ends = entries.filter(|e| e.job == job.id && e.change == TaskChange::Finished);
        assert_eq!(ends.count(), 1, "{}", job.id);
    }
}

/// Guards against a cell that stays without an owner when all entries that read its stream ahead are
/// killed: the first ones in election rank. The others must claim the cell with its jobs.
#[tokio::test(flavor = "multi_thread")]
async fn cell_fails_over_when_all_candidates_are_killed() {
    const ENTRIES: usize = 7;
    let mut fleet = Fleet::start(ENTRIES, 1).await;
    for entry_index in 0..ENTRIES {
        fleet.wait_until_ready(entry_index).await;
    }
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    let owners = fleet.wait_for_owners(0).await;
    let cell = &owners.cells[0].cell;
    let weight = |entry_index: &usize| {
        xxhash_rust::xxh3::xxh3_64(format!("entry-{entry_index}\n{cell}").as_bytes())
    };
    let mut order: Vec<_> = (0..ENTRIES).collect();
    order.sort_by_key(|entry_index| std::cmp::Reverse(weight(entry_index)));
    let mut jobs = Vec::new();
    for number in 0..4 {
        jobs.push(submit(&fleet, order[6], &format!("order-{number}")).await);
    }
    for entry_index in &order[..3] {
        drop(fleet.entries[*entry_index].take());
    }
    let other = order[6];
    for entry_index in &order[..3] {
        let lost = EntryName::new(format!("entry-{entry_index}")).unwrap();
        wait_for_other_owners(&fleet, other, &lost).await;
    }
    for job in &jobs {
        wait_until_finished(&fleet, other, job).await;
    }
}

/// Guards against requests about a cell without a known owner that fail for good. They must be
/// refused as not run with a `Retry-After` header, and succeed once there is an owner.
#[tokio::test(flavor = "multi_thread")]
async fn requests_about_a_cell_without_owner_are_retried_later() {
    let mut fleet = Fleet::start(3, 1).await;
    for entry_index in 0..3 {
        fleet.wait_until_ready(entry_index).await;
    }
    let owners = fleet.wait_for_owners(0).await;
    // The other entries learn of the owners from heartbeats of their own.
    for other in 1..3 {
        fleet.wait_for_owners(other).await;
    }
    let state = owners.cells[0].clone();
    let entry_index = (0..3)
        .find(|entry_index| state.owner.as_str() == format!("entry-{entry_index}"))
        .unwrap();
    let path = format!("/v1/explain/worker/{}.w0", state.cell.domain);
    for other in 0..3 {
        let _reply: ExplainReply = fleet.get(other, &path).await;
    }
    drop(fleet.entries[entry_index].take());
    let other = (entry_index + 1) % 3;
    let refused = wait_for("the owner is not known", || async {
        let request = fleet.request(other, Method::GET, &path, OPERATOR_TOKEN);
        let response = request.send().await.unwrap();
        (response.status() == 503).then_some(response)
    })
    .await;
    assert_eq!(refused.headers()["Retry-After"], "1");
    assert_eq!(outcome(&refused), api::OUTCOME_NOT_RUN);
    wait_for_other_owners(&fleet, other, &state.owner).await;
    wait_for("the new owner responds", || async {
        fleet.try_get::<ExplainReply>(other, &path).await
    })
    .await;
}

/// Returns the error of a request that an entry refused as not run, to be repeated after a second.
async fn not_run(request: reqwest::RequestBuilder) -> ApiError {
    let refused = request.send().await.unwrap();
    assert_eq!(refused.status(), 503);
    assert_eq!(refused.headers()["Retry-After"], "1");
    assert_eq!(outcome(&refused), api::OUTCOME_NOT_RUN);
    let error = super::fleet::reply::<serde_json::Value>(refused).await;
    error.unwrap_err()
}

/// Guards against an entry that responds with anything but "not run" while it does not know the
/// owner of a cell, although the other entries do, and against a job that runs twice or never when
/// its submission is repeated there.
#[tokio::test(flavor = "multi_thread")]
async fn entry_without_heartbeats_does_not_run_requests_about_cells() {
    const CUT_OFF: usize = 2;
    let mut fleet = Fleet::start(3, 1).await;
    for entry_index in 0..3 {
        fleet.wait_until_ready(entry_index).await;
    }
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    drop(fleet.entries[CUT_OFF].take());
    let lost = EntryName::new(format!("entry-{CUT_OFF}")).unwrap();
    for other in 0..CUT_OFF {
        wait_for_other_owners(&fleet, other, &lost).await;
    }
    let links = fleet.start_cut_off_entry(CUT_OFF).await;
    let _document: DocumentReply = wait_for("the entry knows the configuration", || {
        fleet.try_get(CUT_OFF, "/v1/documents/cut-lists")
    })
    .await;
    let path = "/v1/explain/worker/bergen-a.w0";
    let _reply: ExplainReply = fleet.get(0, path).await;
    let explain = fleet.request(CUT_OFF, Method::GET, path, OPERATOR_TOKEN);
    let error = not_run(explain).await;
    let message = "not the owner: no owner of cell bergen-a/0 is known";
    assert_eq!(error.message, message);
    let job = cut_list_job("order-1");
    let submission = fleet.request(CUT_OFF, Method::POST, "/v1/jobs", TEAM_TOKEN);
    let error = not_run(submission.json(&job)).await;
    assert!(error.message.contains("no owner of cell"), "{error}");
    links.connect();
    wait_for("the entry explains the worker", || {
        fleet.try_get::<ExplainReply>(CUT_OFF, path)
    })
    .await;
    let request = fleet.request(0, Method::GET, "/v1/jobs", TEAM_TOKEN);
    let list: JobList = super::fleet::reply(request.send().await.unwrap())
        .await
        .unwrap();
    assert!(list.jobs.is_empty(), "{list:?}");
    let job = submit(&fleet, CUT_OFF, "order-1").await;
    wait_until_finished(&fleet, CUT_OFF, &job).await;
    let changes = fleet.workers.values();
    let changes = changes.flat_map(|worker| worker.ledger().entries);
    let starts = changes.filter(|entry| entry.change == TaskChange::Started);
    assert_eq!(starts.count(), 1);
}

/// G9: guards against a graceful stop that aborts requests in flight, accepts new ones, or keeps the
/// cells. New requests must be refused as not run, and the cells must be resigned, so that the
/// next owner need not wait for a timeout.
#[tokio::test(flavor = "multi_thread")]
async fn stopped_entry_finishes_requests_and_resigns() {
    let mut fleet = start_with_planner(3).await;
    let slow = BackendFaults::default().with_added_delay(hyssop_core::Millis(1_500));
    fleet.backends[0].set_faults(slow);
    let ticket = ticket(&fleet, 0).await;
    let request = booking(&fleet, 0, &ticket).header(api::DEADLINE_MS, "10000");
    let inflight = tokio::spawn(request.send());
    wait_for("the request runs", || async {
        (fleet.backends[0].ledger().runs.len() == 1).then_some(())
    })
    .await;
    let base = format!("http://{}", fleet.entry(0).http_address());
    let client = reqwest::Client::builder().no_proxy().build().unwrap();
    let stop = tokio::spawn(fleet.entries[0].take().unwrap().stop());
    wait_for("the entry is not ready", || async {
        let ready = client.get(format!("{base}/readyz")).send().await.ok()?;
        (ready.status() == 503).then_some(())
    })
    .await;
    let refused = client
        .get(format!("{base}/v1/call/planner/day-sheets"))
        .bearer_auth(TEAM_TOKEN)
        .send()
        .await
        .unwrap();
    assert_eq!(
        (refused.status().as_u16(), outcome(&refused)),
        (503, api::OUTCOME_NOT_RUN)
    );
    let response = inflight.await.unwrap().unwrap();
    assert_eq!(response.status(), 200);
    stop.await.unwrap();
    wait_for_other_owners(&fleet, 1, &EntryName::new("entry-0").unwrap()).await;
}

/// Guards against documents and jobs that are lost when every entry is replaced at once. Hosts have
/// no disks, so the state must be restored from the log.
#[tokio::test(flavor = "multi_thread")]
async fn state_survives_the_replacement_of_every_entry() {
    let mut fleet = Fleet::start(2, 1).await;
    for entry_index in 0..2 {
        fleet.wait_until_ready(entry_index).await;
    }
    fleet.apply(0, "cut-lists", CUT_LISTS).await;
    fleet.wait_for_owners(0).await;
    let job = submit(&fleet, 0, "order-1").await;
    let before: DocumentReply = fleet.get(0, "/v1/documents/cut-lists").await;
    fleet.entries = vec![None, None];
    for entry_index in 0..2 {
        fleet.start_entry(entry_index).await;
    }
    for entry_index in 0..2 {
        fleet.wait_until_ready(entry_index).await;
    }
    let after: DocumentReply = fleet.get(1, "/v1/documents/cut-lists").await;
    assert_eq!(before, after);
    wait_until_finished(&fleet, 1, &job).await;
    let resubmitted = submit(&fleet, 1, "order-1").await;
    assert_eq!(resubmitted.phase, JobPhase::Finished);
}

/// G7: guards against two runs of a request that is sent with one ticket through two entries at the
/// same time.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_runs_once_through_two_entries_at_once() {
    let fleet = start_with_planner(2).await;
    let ticket = ticket(&fleet, 0).await;
    let (a, b) = tokio::join!(
        booking(&fleet, 0, &ticket).send(),
        booking(&fleet, 1, &ticket).send()
    );
    let (a, b) = (a.unwrap(), b.unwrap());
    assert_eq!((a.status().as_u16(), b.status().as_u16()), (200, 200));
    assert_eq!(a.bytes().await.unwrap(), b.bytes().await.unwrap());
    assert_eq!(fleet.backends[0].ledger().runs.len(), 1);
}

/// G6: guards against the outcome "not run" for a ticket whose agent is lost. Whether the request ran
/// is unknown then.
#[tokio::test(flavor = "multi_thread")]
async fn ticket_of_a_lost_agent_has_an_unknown_outcome() {
    let mut fleet = start_with_planner(1).await;
    let ticket = ticket(&fleet, 0).await;
    drop(fleet.agents.remove(0));
    let response = booking(&fleet, 0, &ticket).send().await.unwrap();
    assert_eq!(
        (response.status().as_u16(), outcome(&response)),
        (504, api::OUTCOME_UNKNOWN)
    );
}

/// Guards against running a non-idempotent request without a ticket, which could run twice. Dot
/// segments in a path must not make such a request look idempotent.
#[tokio::test(flavor = "multi_thread")]
async fn non_idempotent_request_without_ticket_is_not_run() {
    let fleet = start_with_planner(1).await;
    let request = fleet.request(0, Method::POST, "/v1/call/planner/bookings", TEAM_TOKEN);
    let response = request.send().await.unwrap();
    assert_eq!(
        (response.status().as_u16(), outcome(&response)),
        (400, api::OUTCOME_NOT_RUN)
    );
    let hidden_path = "/v1/call/planner/day-sheets/%2e%2e/bookings";
    let url = format!("http://{}{hidden_path}", fleet.entry(0).http_address());
    // The client would resolve the dot segments, so the request is written to the socket directly.
    let status = raw_post(&url, fleet.entry(0).http_address()).await;
    assert_eq!(status, 400);
    assert!(fleet.backends[0].ledger().runs.is_empty());
}

async fn raw_post(url: &str, address: std::net::SocketAddr) -> u16 {
    use tokio::io::{AsyncReadExt, AsyncWriteExt};
    let path = url.split_once(&address.to_string()).unwrap().1;
    let mut stream = tokio::net::TcpStream::connect(address).await.unwrap();
    let head = format!(
        "POST {path} HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {TEAM_TOKEN}\r\n\
         Content-Length: 0\r\nConnection: close\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    response.split(' ').nth(1).unwrap().parse().unwrap()
}

/// Guards against requests that are refused during a full outage of the log, although a majority of
/// the entries is reachable.
#[tokio::test(flavor = "multi_thread")]
async fn callers_are_served_while_the_log_is_down() {
    let fleet = start_with_planner(2).await;
    fleet.log.set_faults(LogFaults::default().with_down());
    wait_for("the confirmation has expired", || async {
        let status = status(&fleet, 0).await?;
        (status.connectivity == Connectivity::MajorityReachable).then_some(())
    })
    .await;
    let ticket = ticket(&fleet, 0).await;
    let response = booking(&fleet, 1, &ticket).send().await.unwrap();
    assert_eq!(response.status(), 200);
}

/// G8, G10: guards against an isolated entry that serves callers. Without the log and a majority of
/// the entries it cannot know the configuration in force.
#[tokio::test(flavor = "multi_thread")]
async fn isolated_entry_refuses_callers() {
    let mut fleet = start_with_planner(2).await;
    fleet.log.set_faults(LogFaults::default().with_down());
    drop(fleet.entries[1].take());
    wait_for("the entry is isolated", || async {
        let status = status(&fleet, 0).await?;
        (status.connectivity == Connectivity::Isolated).then_some(())
    })
    .await;
    let request = fleet.request(0, Method::GET, "/v1/call/planner/day-sheets", TEAM_TOKEN);
    let response = request.send().await.unwrap();
    assert_eq!(
        (response.status().as_u16(), outcome(&response)),
        (503, api::OUTCOME_NOT_RUN)
    );
    let ready = fleet.request(0, Method::GET, "/readyz", OPERATOR_TOKEN);
    assert_eq!(ready.send().await.unwrap().status(), 503);
}

/// Guards against a request that outlasts its deadline because its backend server is slow.
#[tokio::test(flavor = "multi_thread")]
async fn request_ends_at_its_deadline() {
    let fleet = start_with_planner(1).await;
    let slow = BackendFaults::default().with_added_delay(hyssop_core::Millis(20_000));
    fleet.backends[0].set_faults(slow);
    let ticket = ticket(&fleet, 0).await;
    let request = booking(&fleet, 0, &ticket).header(api::DEADLINE_MS, "300");
    let response = tokio::time::timeout(Duration::from_secs(10), request.send()).await;
    let response = response
        .expect("ends long before the backend server")
        .unwrap();
    assert_eq!(
        (response.status().as_u16(), outcome(&response)),
        (504, api::OUTCOME_UNKNOWN)
    );
}

//! Tests that kill or freeze processes under a load of non-idempotent requests.
//!
//! The outcomes are checked against the ledgers of the backend servers. Whatever the callers
//! received, and in any order, no key ran twice, each complete response belongs to its key, and
//! requests reported as "not run" did not run.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use futures::future::join_all;
use hyssop_core::Connectivity;
use hyssop_core::api::StatusReply;
use hyssop_demo::callers::{CallOutcome, Caller, CallerRequest};
use hyssop_demo::checks;
use hyssop_demo::processes::{Fleet, FleetOptions, OPERATOR_TOKEN, TEAM_TOKEN};
use hyssop_demo::waits::wait_until;
use hyssop_standins::Echo;
use nix::sys::signal::Signal;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::support::{Ctl, PLANNER, WAIT_TIMEOUT, get_json, wait_converged};

/// Number of concurrent callers.
const CALLER_COUNT: usize = 8;
/// Number of complete responses that each phase of a test waits for.
const PHASE_RESPONSES: usize = 60;
/// Deadline of a booking, in milliseconds. It is short, so that requests to a frozen process end.
const DEADLINE_MS: u64 = 1_500;

/// Tickets of the bookings by outcome.
#[derive(Debug, Default)]
struct Outcomes {
    complete: Vec<String>,
    not_run: Vec<String>,
    unknown: Vec<String>,
}

/// Concurrent callers that send bookings until they are stopped. Each booking has a new ticket and
/// is sent through the entries in turn.
struct Bookings {
    stop: Arc<AtomicBool>,
    complete_count: watch::Receiver<usize>,
    callers: Vec<JoinHandle<Outcomes>>,
}

impl Bookings {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let (count, complete_count) = watch::channel(0);
        let callers = (0..CALLER_COUNT).map(|number| {
            let mut entries = fleet.entry_urls();
            // Half of the callers use the entries in another order.
            entries.rotate_left(number % 2);
            tokio::spawn(send_bookings(entries, Arc::clone(&stop), count.clone()))
        });
        Self {
            callers: callers.collect(),
            stop,
            complete_count,
        }
    }

    /// Waits until further bookings have complete responses; `what` describes the phase.
    async fn wait_for_progress(&self, what: &str) {
        let target = *self.complete_count.borrow() + PHASE_RESPONSES;
        let what = format!("{PHASE_RESPONSES} bookings {what}");
        let result = wait_until(&what, WAIT_TIMEOUT, async || {
            (*self.complete_count.borrow() >= target).then_some(())
        });
        result.await.unwrap();
    }

    async fn stop(self) -> Outcomes {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Outcomes::default();
        for outcomes in join_all(self.callers).await {
            let outcomes = outcomes.unwrap();
            all.complete.extend(outcomes.complete);
            all.not_run.extend(outcomes.not_run);
            all.unknown.extend(outcomes.unknown);
        }
        all
    }
}

async fn send_bookings(
    entries: Vec<String>,
    stop: Arc<AtomicBool>,
    complete_count: watch::Sender<usize>,
) -> Outcomes {
    let caller = Caller::new(TEAM_TOKEN).unwrap();
    let mut outcomes = Outcomes::default();
    while !stop.load(Ordering::Relaxed) {
        let Some(ticket) = request_ticket(&caller, &entries).await else {
            continue;
        };
        let body = format!("booking with {ticket}");
        let request = CallerRequest::post("/bookings", &ticket, body).with_deadline_ms(DEADLINE_MS);
        match caller.call_in_turn(&entries, "planner", &request).await {
            CallOutcome::Complete { body, .. } => {
                let echo: Echo = serde_json::from_slice(&body).unwrap();
                assert_eq!(
                    echo.key.as_ref(),
                    Some(&ticket),
                    "another request's response"
                );
                outcomes.complete.push(ticket);
                complete_count.send_modify(|count| *count += 1);
            }
            CallOutcome::NotRun(_) => outcomes.not_run.push(ticket),
            CallOutcome::Unknown(_) => outcomes.unknown.push(ticket),
        }
    }
    outcomes
}

/// Requests a ticket from the entries in turn. Returns `None` if none of them issues one.
async fn request_ticket(caller: &Caller, entries: &[String]) -> Option<String> {
    for entry in entries {
        let tickets = caller
            .tickets_with_deadline(entry, "planner", 1, DEADLINE_MS)
            .await;
        if let Some(ticket) = tickets.ok().and_then(|tickets| tickets.into_iter().next()) {
            return Some(ticket);
        }
    }
    None
}

async fn start_fleet() -> Fleet {
    let options = FleetOptions {
        entries: 3,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await.unwrap();
    Ctl::new(&fleet).apply(PLANNER);
    wait_converged(&fleet, 1, 3).await;
    fleet
}

/// Waits until the other entries report an entry as not alive.
async fn wait_entry_lost(fleet: &Fleet, index: usize) {
    let name = fleet.entries[index].name.clone();
    wait_for_statuses(fleet, Some(index), &format!("{name} is lost"), |status| {
        let mut peers = status.peers.iter();
        peers.any(|peer| peer.entry.as_str() == name && !peer.is_alive)
    })
    .await;
}

/// Waits until each entry lists `count` backend servers.
async fn wait_for_members(fleet: &Fleet, count: usize) {
    let what = format!("{count} backend servers are known");
    wait_for_statuses(fleet, None, &what, |status| status.members.len() == count).await;
}

/// Waits until no entry has a confirmation of its freshness from the log.
async fn wait_unconfirmed(fleet: &Fleet) {
    let is_unconfirmed =
        |status: &StatusReply| status.connectivity == Connectivity::MajorityReachable;
    wait_for_statuses(
        fleet,
        None,
        "no entry has a confirmation of freshness",
        is_unconfirmed,
    )
    .await;
}

/// Waits until the status of each entry satisfies a condition; `except` is the index of an entry
/// that is left out.
async fn wait_for_statuses(
    fleet: &Fleet,
    except: Option<usize>,
    what: &str,
    condition: impl Fn(&StatusReply) -> bool,
) {
    let operator = Caller::new(OPERATOR_TOKEN).unwrap();
    for (index, entry) in fleet.entries.iter().enumerate() {
        if Some(index) == except {
            continue;
        }
        let check = async || {
            let status: StatusReply = get_json(&operator, &entry.base_url, "/v1/status").await?;
            condition(&status).then_some(())
        };
        wait_until(what, WAIT_TIMEOUT, check).await.unwrap();
    }
}

/// Stops the bookings and checks their outcomes against the ledgers.
async fn check_outcomes(fleet: &Fleet, bookings: Bookings) {
    let outcomes = bookings.stop().await;
    let ledgers = wait_until("no request runs", WAIT_TIMEOUT, async || {
        let ledgers = fleet.backend_ledgers().await.ok()?;
        let mut runs = ledgers.iter().flat_map(|ledger| &ledger.runs);
        runs.all(|run| run.ended_at.is_some()).then_some(ledgers)
    });
    let ledgers = ledgers.await.unwrap();
    println!(
        "{} complete, {} not run, {} unknown",
        outcomes.complete.len(),
        outcomes.not_run.len(),
        outcomes.unknown.len()
    );
    checks::check_requests(&ledgers, &outcomes.complete, &outcomes.not_run).unwrap();
}

/// Guards against a request that runs twice, or whose response is lost for good, because the entry
/// that forwarded it was killed.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_killed_and_restarted() {
    let mut fleet = start_fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.wait_for_progress("before the kill").await;
    fleet.entries[0].process.kill().unwrap();
    wait_entry_lost(&fleet, 0).await;
    bookings.wait_for_progress("without the entry").await;
    fleet.restart_entry(0).await.unwrap();
    fleet.entries[0].wait_ready().await.unwrap();
    bookings.wait_for_progress("after the restart").await;
    check_outcomes(&fleet, bookings).await;
}

/// Guards against a frozen entry that, when it resumes, forwards requests that its callers have
/// repeated through other entries.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_frozen_and_resumes() {
    let mut fleet = start_fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.wait_for_progress("before the freeze").await;
    fleet.entries[0].process.signal(Signal::SIGSTOP).unwrap();
    wait_entry_lost(&fleet, 0).await;
    bookings.wait_for_progress("past the frozen entry").await;
    fleet.entries[0].process.signal(Signal::SIGCONT).unwrap();
    fleet.entries[0].wait_ready().await.unwrap();
    bookings.wait_for_progress("after it resumes").await;
    check_outcomes(&fleet, bookings).await;
}

/// Guards against a ticket that is accepted again by a restarted agent of the same backend server.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_killed_and_restarted() {
    let mut fleet = start_fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.wait_for_progress("before the kill").await;
    fleet.agents[0].process.kill().unwrap();
    wait_for_members(&fleet, 2).await;
    bookings.wait_for_progress("without the agent").await;
    fleet.restart_agent(0).await.unwrap();
    wait_converged(&fleet, 1, 3).await;
    bookings.wait_for_progress("after the restart").await;
    check_outcomes(&fleet, bookings).await;
}

/// Guards against a frozen agent that, when it resumes, starts calls past their deadline although
/// they were reported as not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_frozen_and_resumes() {
    let mut fleet = start_fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.wait_for_progress("before the freeze").await;
    fleet.agents[0].process.signal(Signal::SIGSTOP).unwrap();
    wait_for_members(&fleet, 2).await;
    bookings.wait_for_progress("past the frozen agent").await;
    fleet.agents[0].process.signal(Signal::SIGCONT).unwrap();
    wait_converged(&fleet, 1, 3).await;
    bookings.wait_for_progress("after it resumes").await;
    check_outcomes(&fleet, bookings).await;
}

/// Guards against requests that fail during an outage of the log.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_is_frozen_and_resumes() {
    let mut fleet = start_fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.wait_for_progress("before the outage").await;
    fleet.log.process.signal(Signal::SIGSTOP).unwrap();
    // Changes need the log, so a change that fails shows that the outage has taken effect.
    let ctl = Ctl::new(&fleet);
    let changed = PLANNER.replace("deadline = 5000", "deadline = 4000");
    wait_until("a change is not accepted", WAIT_TIMEOUT, async || {
        let code = ctl.run(&["apply", "--", "-"], &changed).status.code();
        (code != Some(0)).then_some(())
    })
    .await
    .unwrap();
    wait_unconfirmed(&fleet).await;
    bookings.wait_for_progress("without the log").await;
    fleet.log.process.signal(Signal::SIGCONT).unwrap();
    for entry in &fleet.entries {
        entry.wait_ready().await.unwrap();
    }
    bookings.wait_for_progress("after the outage").await;
    check_outcomes(&fleet, bookings).await;
}

//! Processes that are killed or frozen under load of non-idempotent requests.
//!
//! Verdicts come from the ledgers of the backend servers: whatever the callers were told in which
//! order, no key ran twice, each complete response belongs to its key, and "not run" left no
//! trace.

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

use crate::support::{Ctl, LIMIT, PLANNER, get, settled};

/// Callers that book at the same time.
const CALLERS: usize = 8;
/// Answers that are awaited in each part of a test.
const SOME: usize = 60;
/// Deadline of a booking, in milliseconds; short, so that requests to a frozen process end.
const DEADLINE: u64 = 1_500;

/// What the callers were told.
#[derive(Debug, Default)]
struct Told {
    whole: Vec<String>,
    not_run: Vec<String>,
    unknown: Vec<String>,
}

/// Callers that book until they are stopped, each try with a ticket of its own that is sent through
/// all entries in turn.
struct Bookings {
    stop: Arc<AtomicBool>,
    whole: watch::Receiver<usize>,
    callers: Vec<JoinHandle<Told>>,
}

impl Bookings {
    fn start(fleet: &Fleet) -> Self {
        let stop = Arc::<AtomicBool>::default();
        let (count, whole) = watch::channel(0);
        let callers = (0..CALLERS).map(|number| {
            let mut entries = fleet.entry_urls();
            // Half of the callers know the entries in another order.
            entries.rotate_left(number % 2);
            tokio::spawn(book(entries, Arc::clone(&stop), count.clone()))
        });
        Self {
            callers: callers.collect(),
            stop,
            whole,
        }
    }

    /// Waits until some more bookings were answered whole.
    async fn progress(&self, what: &str) {
        let goal = *self.whole.borrow() + SOME;
        let what = format!("{SOME} bookings {what}");
        let done = wait_until(&what, LIMIT, async || {
            (*self.whole.borrow() >= goal).then_some(())
        });
        done.await.unwrap();
    }

    async fn stop(self) -> Told {
        self.stop.store(true, Ordering::Relaxed);
        let mut all = Told::default();
        for told in join_all(self.callers).await {
            let told = told.unwrap();
            all.whole.extend(told.whole);
            all.not_run.extend(told.not_run);
            all.unknown.extend(told.unknown);
        }
        all
    }
}

async fn book(entries: Vec<String>, stop: Arc<AtomicBool>, whole: watch::Sender<usize>) -> Told {
    let caller = Caller::new(TEAM_TOKEN).unwrap();
    let mut told = Told::default();
    while !stop.load(Ordering::Relaxed) {
        let Some(ticket) = ticket(&caller, &entries).await else {
            continue;
        };
        let body = format!("booking with {ticket}");
        let ask = CallerRequest::post("/bookings", &ticket, body).with_deadline_ms(DEADLINE);
        match caller.call_in_turn(&entries, "planner", &ask).await {
            CallOutcome::Complete { body, .. } => {
                let echo: Echo = serde_json::from_slice(&body).unwrap();
                assert_eq!(
                    echo.key.as_ref(),
                    Some(&ticket),
                    "another request's response"
                );
                told.whole.push(ticket);
                whole.send_modify(|count| *count += 1);
            }
            CallOutcome::NotRun(_) => told.not_run.push(ticket),
            CallOutcome::Unknown(_) => told.unknown.push(ticket),
        }
    }
    told
}

/// Asks the entries in turn for a ticket; `None` if none has one.
async fn ticket(caller: &Caller, entries: &[String]) -> Option<String> {
    for entry in entries {
        let tickets = caller
            .tickets_with_deadline(entry, "planner", 1, DEADLINE)
            .await;
        if let Some(ticket) = tickets.ok().and_then(|tickets| tickets.into_iter().next()) {
            return Some(ticket);
        }
    }
    None
}

async fn fleet() -> Fleet {
    let options = FleetOptions {
        entries: 3,
        ..FleetOptions::default()
    };
    let fleet = Fleet::start(options).await.unwrap();
    Ctl::new(&fleet).apply(PLANNER);
    settled(&fleet, 1, 3).await;
    fleet
}

/// Waits until the other entries miss an entry.
async fn missed(fleet: &Fleet, index: usize) {
    let name = fleet.entries[index].name.clone();
    statuses(fleet, Some(index), &format!("{name} is missed"), |status| {
        let mut peers = status.peers.iter();
        peers.any(|peer| peer.entry.as_str() == name && !peer.is_alive)
    })
    .await;
}

/// Waits until each entry knows `count` backend servers.
async fn members(fleet: &Fleet, count: usize) {
    let what = format!("{count} backend servers are known");
    statuses(fleet, None, &what, |status| status.members.len() == count).await;
}

/// Waits until no entry has a proof of freshness.
async fn heard(fleet: &Fleet) {
    let is_heard = |status: &StatusReply| status.connectivity == Connectivity::MajorityReachable;
    statuses(fleet, None, "no entry has a proof of freshness", is_heard).await;
}

/// Waits until the status of each entry, but for one, satisfies a condition.
async fn statuses(
    fleet: &Fleet,
    except: Option<usize>,
    what: &str,
    is_so: impl Fn(&StatusReply) -> bool,
) {
    let operator = Caller::new(OPERATOR_TOKEN).unwrap();
    for (index, entry) in fleet.entries.iter().enumerate() {
        if Some(index) == except {
            continue;
        }
        let look = async || {
            let status: StatusReply = get(&operator, &entry.base_url, "/v1/status").await?;
            is_so(&status).then_some(())
        };
        wait_until(what, LIMIT, look).await.unwrap();
    }
}

/// Ends the load and checks it against what ran.
async fn check(fleet: &Fleet, bookings: Bookings) {
    let told = bookings.stop().await;
    let quiet = wait_until("no request runs", LIMIT, async || {
        let ledgers = fleet.backend_ledgers().await.ok()?;
        let mut runs = ledgers.iter().flat_map(|ledger| &ledger.runs);
        runs.all(|run| run.ended_at.is_some()).then_some(ledgers)
    });
    let ledgers = quiet.await.unwrap();
    println!(
        "{} whole, {} not run, {} unknown",
        told.whole.len(),
        told.not_run.len(),
        told.unknown.len()
    );
    checks::check_requests(&ledgers, &told.whole, &told.not_run).unwrap();
}

/// Guards against a request that runs again, or whose answer is lost for good, because the entry
/// that carried it died.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_killed_and_restarted() {
    let mut fleet = fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.progress("before the kill").await;
    fleet.entries[0].process.kill().unwrap();
    missed(&fleet, 0).await;
    bookings.progress("without the entry").await;
    fleet.restart_entry(0).await.unwrap();
    fleet.entries[0].wait_ready().await.unwrap();
    bookings.progress("after the restart").await;
    check(&fleet, bookings).await;
}

/// Guards against a frozen entry that sends late what its callers have repeated elsewhere.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_is_frozen_and_resumes() {
    let mut fleet = fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.progress("before the freeze").await;
    fleet.entries[0].process.signal(Signal::SIGSTOP).unwrap();
    missed(&fleet, 0).await;
    bookings.progress("past the frozen entry").await;
    fleet.entries[0].process.signal(Signal::SIGCONT).unwrap();
    fleet.entries[0].wait_ready().await.unwrap();
    bookings.progress("after it resumes").await;
    check(&fleet, bookings).await;
}

/// Guards against a ticket that a new process beside the same backend server honours again.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_killed_and_restarted() {
    let mut fleet = fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.progress("before the kill").await;
    fleet.agents[0].process.kill().unwrap();
    members(&fleet, 2).await;
    bookings.progress("without the agent").await;
    fleet.restart_agent(0).await.unwrap();
    settled(&fleet, 1, 3).await;
    bookings.progress("after the restart").await;
    check(&fleet, bookings).await;
}

/// Guards against a frozen agent that starts calls past their deadline when it resumes, although
/// their callers were told that they did not run.
#[tokio::test(flavor = "multi_thread")]
async fn an_agent_is_frozen_and_resumes() {
    let mut fleet = fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.progress("before the freeze").await;
    fleet.agents[0].process.signal(Signal::SIGSTOP).unwrap();
    members(&fleet, 2).await;
    bookings.progress("past the frozen agent").await;
    fleet.agents[0].process.signal(Signal::SIGCONT).unwrap();
    settled(&fleet, 1, 3).await;
    bookings.progress("after it resumes").await;
    check(&fleet, bookings).await;
}

/// Guards against callers that notice an outage of the log.
#[tokio::test(flavor = "multi_thread")]
async fn the_log_is_frozen_and_resumes() {
    let mut fleet = fleet().await;
    let bookings = Bookings::start(&fleet);
    bookings.progress("before the outage").await;
    fleet.log.process.signal(Signal::SIGSTOP).unwrap();
    // Changes need the log; the outage is in force once one is refused.
    let ctl = Ctl::new(&fleet);
    let changed = PLANNER.replace("deadline = 5000", "deadline = 4000");
    wait_until("a change is not accepted", LIMIT, async || {
        let code = ctl.run(&["apply", "--", "-"], &changed).status.code();
        (code != Some(0)).then_some(())
    })
    .await
    .unwrap();
    heard(&fleet).await;
    bookings.progress("without the log").await;
    fleet.log.process.signal(Signal::SIGCONT).unwrap();
    for entry in &fleet.entries {
        entry.wait_ready().await.unwrap();
    }
    bookings.progress("after the outage").await;
    check(&fleet, bookings).await;
}

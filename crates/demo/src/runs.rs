//! The main job: one run of a whole fleet with everything that it is for.

use std::collections::BTreeSet;
use std::time::Duration;

use eyre::{Result, bail, ensure};
use hyssop_core::api::DomainPhase;
use hyssop_core::{DomainName, DomainState, JobId};
use hyssop_standins::TaskChange;
use tokio::time::Instant;

use crate::batches::{self, Batch};
use crate::callers::Caller;
use crate::checks;
use crate::fleets::{BACKENDS_PER_DOMAIN, DOMAINS, Fleet, SERVICE, WORKERS_PER_DOMAIN};
use crate::loads::{Load, LoadReport, Stage};
use crate::operators::Operator;
use crate::processes::{OPERATOR_TOKEN, TEAM_TOKEN};
use crate::summaries::{Summary, sum_counter};
use crate::waits::wait_until;

/// Failure domain that leaves and returns.
const DOMAIN: &str = DOMAINS[0];
/// Longest wait for a number of responses.
const LIMIT: Duration = Duration::from_secs(60);
/// Seconds' worth of responses that are awaited in each stage.
const STEADY_SECONDS: u32 = 5;
const OUT_SECONDS: u32 = 4;

const PLANNER: &str = r#"
service = "planner"
team = "haugland"
class = "latency-critical"
domains = ["bergen-a", "bergen-b", "forde"]

[needs]
instances = 6
resources = { cpu = 4000, mem = 8192 }

[moves]
away = 2
drain = 5

[limits]
slots = 8
connections = 64
inflight = 256
deadline = 2000
"#;

const ROUTE_PLANS: &str = r#"
service = "route-plans"
team = "haugland"
class = "batch"
domains = ["bergen-a", "bergen-b", "forde"]

[needs]
resources = { cpu = 2000, mem = 4096 }

[moves]
movable = true
pause = 60
"#;

/// Options of a run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Requests per second.
    pub rate: u32,
}

/// Starts a fleet, gives it work, empties and refills a failure domain, and checks the result.
///
/// # Errors
///
/// Returns an error if anything does not happen as expected.
pub async fn run(options: RunOptions) -> Result<Summary> {
    let fleet = Fleet::start().await?;
    let operator = Operator::new(OPERATOR_TOKEN, fleet.entry_urls())?;
    prepare(&operator).await?;

    let caller = Caller::new(TEAM_TOKEN)?;
    let load = Load::start(caller.clone(), fleet.entry_urls(), options.rate);
    let batch = Batch::start(caller, fleet.entry_urls());
    let start = Instant::now();
    responses(&load, options.rate * STEADY_SECONDS).await?;
    load.set_stage(Stage::Maintenance);
    let moved = empty_and_refill(&fleet, &operator, &load, options.rate).await?;
    load.set_stage(Stage::Steady);
    responses(&load, options.rate * STEADY_SECONDS).await?;

    let seen = load.stop().await?;
    println!(
        "the load has ended: {} complete responses",
        seen.complete_count()
    );
    let received = batch.stop().await?;
    let took = start.elapsed();
    println!("all jobs have ended: {} results received", received.len());
    check(&fleet, &seen, &received)?;
    println!("checked: each booking ran once, each job finished once, nothing else ran");
    let metrics = operator.metrics().await?;
    let completed = sum_counter(&metrics, "hyssop_work_completed_total");
    ensure!(
        completed == received.len() as u64,
        "{} results were received and the entries counted {completed}",
        received.len()
    );
    let evictions = sum_counter(&metrics, "hyssop_evictions_total");
    let evicted = evicted(&fleet);
    ensure!(
        evictions == evicted,
        "the workers evicted {evicted} tasks and the entries counted {evictions}"
    );
    fleet.stop().await;
    let refused: u64 = seen.refusals.values().sum();
    Ok(Summary {
        rate: options.rate,
        domain: DOMAIN,
        not_run_count: refused + seen.not_run_tickets.len() as u64,
        latencies: seen.latencies.into_iter().collect(),
        completed,
        elapsed: took,
        evictions,
        jobs_while_out: sum_counter(&metrics, "hyssop_work_completed_domain_out_total"),
        requests_while_out: moved.requests,
        emptied_after: moved.emptied,
        refilled_after: moved.refilled,
    })
}

/// Applies the documents and waits until the fleet knows them and itself.
async fn prepare(operator: &Operator) -> Result<()> {
    let start = Instant::now();
    operator.wait_ready().await?;
    for (service, document) in [(SERVICE, PLANNER), (batches::SERVICE, ROUTE_PLANS)] {
        let reply = operator.apply(service, document).await?;
        println!(
            "document of {service} accepted as version {}",
            reply.version
        );
    }
    let members = DOMAINS.len() * BACKENDS_PER_DOMAIN;
    operator
        .wait_converged(2, WORKERS_PER_DOMAIN as u32, members)
        .await?;
    let taken = start.elapsed().as_secs_f64();
    println!(
        "in force at {} entries, with {members} backend servers and {} workers, after {taken:.1} s",
        DOMAINS.len(),
        DOMAINS.len() * WORKERS_PER_DOMAIN
    );
    Ok(())
}

/// What happened while the failure domain was away.
struct Moved {
    emptied: Duration,
    refilled: Duration,
    requests: u64,
}

async fn empty_and_refill(
    fleet: &Fleet,
    operator: &Operator,
    load: &Load,
    rate: u32,
) -> Result<Moved> {
    let start = Instant::now();
    let before = load.complete_count();
    operator.set_domain(DOMAIN, DomainState::Out).await?;
    operator.wait_phase(DOMAIN, DomainPhase::Empty).await?;
    let emptied = start.elapsed();
    println!("{DOMAIN} is empty after {:.1} s", emptied.as_secs_f64());
    let left = activity(fleet)?;
    ensure!(
        left.running == 0,
        "{} tasks run in {DOMAIN}, which is empty",
        left.running
    );
    responses(load, rate * OUT_SECONDS).await?;
    ensure!(
        left == activity(fleet)?,
        "work was done in {DOMAIN} while it was empty"
    );
    let requests = load.complete_count() - before;

    let back = Instant::now();
    operator.set_domain(DOMAIN, DomainState::In).await?;
    operator.wait_phase(DOMAIN, DomainPhase::InService).await?;
    wait_until(
        "requests are served in the domain again",
        LIMIT,
        async || (activity(fleet).ok()?.requests > left.requests).then_some(()),
    )
    .await?;
    let refilled = back.elapsed();
    println!(
        "{DOMAIN} is back in service after {:.1} s",
        refilled.as_secs_f64()
    );
    Ok(Moved {
        emptied,
        refilled,
        requests,
    })
}

/// What ran in the domain so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Activity {
    running: usize,
    started: usize,
    requests: usize,
}

fn activity(fleet: &Fleet) -> Result<Activity> {
    let domain = DomainName::new(DOMAIN)?;
    let workers = fleet.worker_ledgers().into_iter();
    let workers = workers.filter(|(of, _)| *of == domain);
    let entries: Vec<_> = workers.flat_map(|(_, ledger)| ledger.entries).collect();
    let backends = fleet.backend_ledgers().into_iter();
    let backends = backends.filter(|(of, _)| *of == domain);
    Ok(Activity {
        running: checks::count_running(&entries),
        started: checks::count_changes(&entries, TaskChange::Started),
        requests: backends.map(|(_, ledger)| ledger.runs.len()).sum(),
    })
}

/// Waits for a number of further complete responses.
async fn responses(load: &Load, count: u32) -> Result<()> {
    let goal = load.complete_count() + u64::from(count);
    let what = format!("{count} further responses");
    wait_until(&what, LIMIT, async || {
        (load.complete_count() >= goal).then_some(())
    })
    .await
}

/// Returns the number of tasks that the workers checkpointed and stopped by order.
fn evicted(fleet: &Fleet) -> u64 {
    let ledgers = fleet.worker_ledgers().into_iter();
    let evicted =
        ledgers.map(|(_, l)| checks::count_changes(&l.entries, TaskChange::Evicted) as u64);
    evicted.sum()
}

fn check(fleet: &Fleet, seen: &LoadReport, received: &[JobId]) -> Result<()> {
    if let Some(failure) = seen.failures.first() {
        bail!(
            "{} requests failed, the first one: {failure}",
            seen.failures.len()
        );
    }
    if let Some(unknown) = seen.unknown_outcomes.first() {
        let count = seen.unknown_outcomes.len();
        bail!("{count} requests without a known outcome, the first one: {unknown}");
    }
    let backends = fleet.backend_ledgers();
    checks::check_requests(
        backends.iter().map(|(_, l)| l),
        &seen.completed_tickets,
        &seen.not_run_tickets,
    )?;
    let workers = fleet.worker_ledgers();
    let jobs = BTreeSet::from_iter(received.iter().cloned());
    checks::check_jobs(workers.iter().map(|(_, ledger)| ledger), &jobs)
}

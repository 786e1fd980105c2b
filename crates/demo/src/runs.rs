//! Run of the demo: a fleet under load while a failure domain is emptied and refilled.

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

/// Failure domain that is taken out of service and put back.
const DOMAIN: &str = DOMAINS[0];
/// Timeout of each wait for responses.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Length of the load before and after the change of the failure domain, in seconds' worth of
/// responses.
const STEADY_SECONDS: u32 = 5;
/// Length of the load while the failure domain is empty, in seconds' worth of responses.
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

/// Options of a demo run.
#[derive(Clone, Copy, Debug)]
pub struct RunOptions {
    /// Request load, in requests per second.
    pub rate: u32,
}

/// Starts a fleet, puts it under load, empties and refills a failure domain, and checks the ledgers
/// and metrics.
///
/// # Errors
///
/// Returns an error if a step fails or times out, or if a check finds a violation.
pub async fn run(options: RunOptions) -> Result<Summary> {
    let fleet = Fleet::start().await?;
    let operator = Operator::new(OPERATOR_TOKEN, fleet.entry_urls())?;
    apply_documents(&operator).await?;

    let caller = Caller::new(TEAM_TOKEN)?;
    let load = Load::start(caller.clone(), fleet.entry_urls(), options.rate);
    let batch = Batch::start(caller, fleet.entry_urls());
    let start = Instant::now();
    wait_for_responses(&load, options.rate * STEADY_SECONDS).await?;
    load.set_stage(Stage::Maintenance);
    let change = empty_and_refill(&fleet, &operator, &load, options.rate).await?;
    load.set_stage(Stage::Steady);
    wait_for_responses(&load, options.rate * STEADY_SECONDS).await?;

    let report = load.stop().await?;
    println!(
        "the load has ended: {} complete responses",
        report.complete_count()
    );
    let received = batch.stop().await?;
    let elapsed = start.elapsed();
    println!("all jobs have ended: {} results received", received.len());
    check_report(&fleet, &report, &received)?;
    println!("checked: each booking ran once, each job finished once, nothing else ran");
    let metrics = operator.metrics().await?;
    let completed = sum_counter(&metrics, "hyssop_work_completed_total");
    ensure!(
        completed == received.len() as u64,
        "{} results were received and the entries counted {completed}",
        received.len()
    );
    let evictions = sum_counter(&metrics, "hyssop_evictions_total");
    let evicted = count_evictions(&fleet);
    ensure!(
        evictions == evicted,
        "the workers evicted {evicted} tasks and the entries counted {evictions}"
    );
    fleet.stop().await;
    let refused: u64 = report.refusals.values().sum();
    Ok(Summary {
        rate: options.rate,
        domain: DOMAIN,
        not_run_count: refused + report.not_run_tickets.len() as u64,
        latencies: report.latencies.into_iter().collect(),
        completed,
        elapsed,
        evictions,
        jobs_while_out: sum_counter(&metrics, "hyssop_work_completed_domain_out_total"),
        requests_while_out: change.request_count,
        emptied_after: change.emptied_after,
        refilled_after: change.refilled_after,
    })
}

/// Applies the documents and waits until every entry lists them and all members of the fleet.
async fn apply_documents(operator: &Operator) -> Result<()> {
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
    let secs = start.elapsed().as_secs_f64();
    println!(
        "in force at {} entries, with {members} backend servers and {} workers, after {secs:.1} s",
        DOMAINS.len(),
        DOMAINS.len() * WORKERS_PER_DOMAIN
    );
    Ok(())
}

/// Times and requests of the change of the failure domain.
struct DomainChange {
    emptied_after: Duration,
    refilled_after: Duration,
    request_count: u64,
}

async fn empty_and_refill(
    fleet: &Fleet,
    operator: &Operator,
    load: &Load,
    rate: u32,
) -> Result<DomainChange> {
    let start = Instant::now();
    let before = load.complete_count();
    operator.set_domain(DOMAIN, DomainState::Out).await?;
    operator.wait_phase(DOMAIN, DomainPhase::Empty).await?;
    let emptied_after = start.elapsed();
    println!(
        "{DOMAIN} is empty after {:.1} s",
        emptied_after.as_secs_f64()
    );
    let empty = activity(fleet)?;
    ensure!(
        empty.running_tasks == 0,
        "{} tasks run in {DOMAIN}, which is empty",
        empty.running_tasks
    );
    wait_for_responses(load, rate * OUT_SECONDS).await?;
    ensure!(
        empty == activity(fleet)?,
        "work was done in {DOMAIN} while it was empty"
    );
    let request_count = load.complete_count() - before;

    let refill_start = Instant::now();
    operator.set_domain(DOMAIN, DomainState::In).await?;
    operator.wait_phase(DOMAIN, DomainPhase::InService).await?;
    wait_until(
        "requests are served in the domain again",
        WAIT_TIMEOUT,
        async || (activity(fleet).ok()?.requests > empty.requests).then_some(()),
    )
    .await?;
    let refilled_after = refill_start.elapsed();
    println!(
        "{DOMAIN} is back in service after {:.1} s",
        refilled_after.as_secs_f64()
    );
    Ok(DomainChange {
        emptied_after,
        refilled_after,
        request_count,
    })
}

/// Counts of what has run in the failure domain so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Activity {
    running_tasks: usize,
    started_tasks: usize,
    requests: usize,
}

fn activity(fleet: &Fleet) -> Result<Activity> {
    let domain = DomainName::new(DOMAIN)?;
    let workers = fleet.worker_ledgers().into_iter();
    let workers = workers.filter(|(other, _)| *other == domain);
    let entries: Vec<_> = workers.flat_map(|(_, ledger)| ledger.entries).collect();
    let backends = fleet.backend_ledgers().into_iter();
    let backends = backends.filter(|(other, _)| *other == domain);
    Ok(Activity {
        running_tasks: checks::count_running(&entries),
        started_tasks: checks::count_changes(&entries, TaskChange::Started),
        requests: backends.map(|(_, ledger)| ledger.runs.len()).sum(),
    })
}

/// Waits for a number of further complete responses.
async fn wait_for_responses(load: &Load, count: u32) -> Result<()> {
    let target = load.complete_count() + u64::from(count);
    let what = format!("{count} further responses");
    wait_until(&what, WAIT_TIMEOUT, async || {
        (load.complete_count() >= target).then_some(())
    })
    .await
}

/// Returns the number of evictions in the ledgers of the workers.
fn count_evictions(fleet: &Fleet) -> u64 {
    let ledgers = fleet.worker_ledgers().into_iter();
    let evicted =
        ledgers.map(|(_, l)| checks::count_changes(&l.entries, TaskChange::Evicted) as u64);
    evicted.sum()
}

fn check_report(fleet: &Fleet, report: &LoadReport, received: &[JobId]) -> Result<()> {
    if let Some(failure) = report.failures.first() {
        bail!(
            "{} requests failed, the first one: {failure}",
            report.failures.len()
        );
    }
    if let Some(unknown) = report.unknown_calls.first() {
        let count = report.unknown_calls.len();
        bail!("{count} requests without a known outcome, the first one: {unknown}");
    }
    let backends = fleet.backend_ledgers();
    checks::check_requests(
        backends.iter().map(|(_, l)| l),
        &report.completed_tickets,
        &report.not_run_tickets,
    )?;
    let workers = fleet.worker_ledgers();
    let jobs = BTreeSet::from_iter(received.iter().cloned());
    checks::check_jobs(workers.iter().map(|(_, ledger)| ledger), &jobs)
}

//! Test of operators who empty and refill a failure domain.

use hyssop_core::api::{DomainList, DomainPhase};
use hyssop_demo::callers::{Caller, CallerRequest};
use hyssop_demo::checks::count_running;
use hyssop_demo::processes::{Fleet, FleetOptions, OPERATOR_TOKEN, TEAM_TOKEN};
use hyssop_demo::waits::wait_until;

use crate::support::{Ctl, PLANNER, WAIT_TIMEOUT, get_json, wait_converged};

const DOMAIN: &str = "bergen-a";

/// Guards against a domain that is reported empty while tasks or requests still run there, and
/// against one that gets no work after it is back in service.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_is_emptied_and_refilled() {
    let fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let ctl = Ctl::new(&fleet);
    ctl.apply(PLANNER);
    let operator = Caller::new(OPERATOR_TOKEN).unwrap();
    wait_converged(&fleet, 1, 3).await;
    wait_for_tasks(&fleet, &operator, 3).await;

    ctl.run_ok(&["domain", "out", DOMAIN, "--wait", "--wait-limit", "120"]);
    let index = domain_index(&fleet);
    let ledgers = fleet.worker_ledgers().await.unwrap();
    assert_eq!(count_running(&ledgers[index].entries), 0);
    let before = fleet.backend_ledgers().await.unwrap()[index].runs.len();
    send_requests(&fleet, 40).await;
    let after = fleet.backend_ledgers().await.unwrap()[index].runs.len();
    assert_eq!(
        after, before,
        "requests ran in a domain that was out of service"
    );
    let phases = domain_phases(&operator, &fleet.entry_urls()[1])
        .await
        .unwrap();
    assert!(
        phases.contains(&(DOMAIN.to_owned(), DomainPhase::Empty)),
        "{phases:?}"
    );

    ctl.run_ok(&["domain", "back", DOMAIN, "--wait", "--wait-limit", "120"]);
    wait_for_tasks(&fleet, &operator, 3).await;
    wait_converged(&fleet, 1, 3).await;
    wait_until(
        "the domain serves requests again",
        WAIT_TIMEOUT,
        async || {
            send_requests(&fleet, 10).await;
            let ledgers = fleet.backend_ledgers().await.ok()?;
            (ledgers[index].runs.len() > after).then_some(())
        },
    )
    .await
    .unwrap();
    fleet.stop().await.unwrap();
}

fn domain_index(fleet: &Fleet) -> usize {
    let mut domains = fleet.options.domains.iter();
    domains.position(|domain| domain == DOMAIN).unwrap()
}

/// Sends idempotent requests through every entry; each must get a complete response.
async fn send_requests(fleet: &Fleet, count: usize) {
    let caller = Caller::new(TEAM_TOKEN).unwrap();
    for number in 0..count {
        for entry in fleet.entry_urls() {
            let request = CallerRequest::get(format!("/day-sheets/{number}"));
            let outcome = caller.call(&entry, "planner", &request).await;
            outcome.complete_body().unwrap();
        }
    }
}

/// Waits until the workers together run `count` tasks.
async fn wait_for_tasks(fleet: &Fleet, operator: &Caller, count: usize) {
    let what = format!("{count} service tasks run");
    let result = wait_until(&what, WAIT_TIMEOUT, async || {
        let ledgers = fleet.worker_ledgers().await.ok()?;
        let running = ledgers.iter().map(|ledger| count_running(&ledger.entries));
        (running.sum::<usize>() == count).then_some(())
    });
    if let Err(error) = result.await {
        let phases = domain_phases(operator, &fleet.entry_urls()[0]).await;
        panic!("{error}; {phases:?}");
    }
}

async fn domain_phases(operator: &Caller, entry: &str) -> Option<Vec<(String, DomainPhase)>> {
    let list: DomainList = get_json(operator, entry, "/v1/domains").await?;
    let phases = list.domains.into_iter();
    Some(phases.map(|d| (d.domain.to_string(), d.phase)).collect())
}

//! Operators empty and refill a failure domain.

use hyssop_core::api::{DomainList, DomainPhase};
use hyssop_demo::callers::{Caller, CallerRequest};
use hyssop_demo::checks::count_running;
use hyssop_demo::processes::{Fleet, FleetOptions, OPERATOR_TOKEN, TEAM_TOKEN};
use hyssop_demo::waits::wait_until;

use crate::support::{Ctl, LIMIT, PLANNER, get, settled};

const DOMAIN: &str = "bergen-a";

/// Guards against a domain that is reported empty while tasks or requests still run there, and
/// against one that stays empty after its return.
#[tokio::test(flavor = "multi_thread")]
async fn a_domain_is_emptied_and_refilled() {
    let fleet = Fleet::start(FleetOptions::default()).await.unwrap();
    let ctl = Ctl::new(&fleet);
    ctl.apply(PLANNER);
    let operator = Caller::new(OPERATOR_TOKEN).unwrap();
    settled(&fleet, 1, 3).await;
    standing(&fleet, &operator, 3).await;

    ctl.ok(&["domain", "out", DOMAIN, "--wait", "--wait-limit", "120"]);
    let index = place(&fleet);
    let ledgers = fleet.worker_ledgers().await.unwrap();
    assert_eq!(count_running(&ledgers[index].entries), 0);
    let before = fleet.backend_ledgers().await.unwrap()[index].runs.len();
    serve(&fleet, 40).await;
    let after = fleet.backend_ledgers().await.unwrap()[index].runs.len();
    assert_eq!(
        after, before,
        "requests ran in a domain that was out of service"
    );
    let phases = domains(&operator, &fleet.entry_urls()[1]).await.unwrap();
    assert!(
        phases.contains(&(DOMAIN.to_owned(), DomainPhase::Empty)),
        "{phases:?}"
    );

    ctl.ok(&["domain", "back", DOMAIN, "--wait", "--wait-limit", "120"]);
    standing(&fleet, &operator, 3).await;
    settled(&fleet, 1, 3).await;
    wait_until("the domain serves requests again", LIMIT, async || {
        serve(&fleet, 10).await;
        let ledgers = fleet.backend_ledgers().await.ok()?;
        (ledgers[index].runs.len() > after).then_some(())
    })
    .await
    .unwrap();
    fleet.stop().await.unwrap();
}

fn place(fleet: &Fleet) -> usize {
    let mut domains = fleet.options.domains.iter();
    domains.position(|domain| domain == DOMAIN).unwrap()
}

/// Sends idempotent requests, each of which has to be answered whole.
async fn serve(fleet: &Fleet, count: usize) {
    let caller = Caller::new(TEAM_TOKEN).unwrap();
    for number in 0..count {
        for entry in fleet.entry_urls() {
            let ask = CallerRequest::get(format!("/day-sheets/{number}"));
            let answer = caller.call(&entry, "planner", &ask).await;
            answer.complete_body().unwrap();
        }
    }
}

/// Waits until the workers run `count` tasks altogether.
async fn standing(fleet: &Fleet, operator: &Caller, count: usize) {
    let what = format!("{count} standing tasks run");
    let done = wait_until(&what, LIMIT, async || {
        let ledgers = fleet.worker_ledgers().await.ok()?;
        let running = ledgers.iter().map(|ledger| count_running(&ledger.entries));
        (running.sum::<usize>() == count).then_some(())
    });
    if let Err(error) = done.await {
        let domains = domains(operator, &fleet.entry_urls()[0]).await;
        panic!("{error}; {domains:?}");
    }
}

async fn domains(operator: &Caller, entry: &str) -> Option<Vec<(String, DomainPhase)>> {
    let list: DomainList = get(operator, entry, "/v1/domains").await?;
    let phases = list.domains.into_iter();
    Some(phases.map(|d| (d.domain.to_string(), d.phase)).collect())
}

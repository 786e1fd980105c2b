//! Limits of documents on moving their instances and jobs.

use hyssop_core::{Class, DomainState, JobCall, JobReply, Millis, Reason, Resources, Subject};

use crate::checks::{check, finished_jobs};
use crate::fleet::Fleet;
use crate::samples::{batch, doc, service, worker_name};

fn owned(domains: &[&str], workers: usize) -> Fleet {
    let mut fleet = Fleet::new(1, domains, workers);
    let cells = fleet.cells.clone();
    assert!(fleet.run_until(8_000, |f| cells.iter().all(|c| f.owner(c).is_some())));
    fleet.run(2_000);
    fleet
}

fn service_tasks(fleet: &Fleet, prefix: &str) -> usize {
    let workers = fleet.workers.iter();
    let own = workers.filter(|(w, _)| w.as_str().starts_with(prefix));
    let tasks = own.flat_map(|(_, w)| w.tasks.values());
    tasks
        .filter(|task| task.order.class == Class::LatencyCritical)
        .count()
}

/// Guards against a drain that stops more instances of a service at once than its document allows.
#[test]
fn a_drain_stops_no_more_instances_than_may_be_unavailable() {
    let mut fleet = owned(&["a", "b"], 4);
    let mut planner = doc("planner", Class::LatencyCritical, 8);
    planner.moves.away = 2;
    fleet.set_doc(planner);
    assert!(fleet.run_until(6_000, |f| service_tasks(f, "a-") == 4));
    fleet.set_domain("a", DomainState::Out);
    let (mut stops, mut left) = (Vec::new(), 4);
    while left > 0 {
        fleet.step();
        let now = service_tasks(&fleet, "a-");
        stops.extend((now..left).map(|_| fleet.now));
        left = now;
        assert!(stops.len() < 4 || left == 0, "{stops:?}");
    }
    for pair in stops.windows(3) {
        assert!(pair[2].since(pair[0]) >= Millis(2_000), "{stops:?}");
    }
    assert_eq!(stops.len(), 4);
}

/// Guards against a change of needs that stops all instances of a service at once.
#[test]
fn a_change_of_needs_replaces_one_instance_after_another() {
    let mut fleet = owned(&["a"], 4);
    let mut planner = doc("planner", Class::LatencyCritical, 4);
    fleet.set_doc(planner.clone());
    assert!(fleet.run_until(6_000, |f| service_tasks(f, "a-") == 4));
    planner.needs.resources = Resources::new(6_000, 8_000, 0);
    fleet.set_doc(planner);
    let replaced = |f: &Fleet| {
        let tasks = f.workers.values().flat_map(|w| w.tasks.values());
        tasks.filter(|task| task.order.needs.cpu == 6_000).count()
    };
    let mut least = 4;
    for _ in 0..800 {
        fleet.step();
        least = least.min(service_tasks(&fleet, "a-"));
    }
    assert_eq!((least, replaced(&fleet)), (3, 4));
}

/// Guards against a resumed job that waits for longer than the pause of its document because
/// smaller jobs take the capacity that becomes free.
#[test]
fn a_job_restarts_within_its_pause() {
    let mut fleet = owned(&["a"], 1);
    let mut cuts = doc("cuts", Class::Batch, 0);
    cuts.moves.pause = 12;
    fleet.set_doc(cuts);
    let cell = fleet.cells[0].clone();
    let mut large = batch("large", 60_000);
    large.needs = Resources::new(8_000, 8_000, 0);
    fleet.call_and_wait(&cell, JobCall::Submit(large));
    assert!(fleet.run_until(4_000, |f| f.workers.values().any(|w| w.tasks.len() == 1)));
    fleet.run(2_000);
    let mut fixed = doc("fixed", Class::Batch, 0);
    fixed.moves.movable = false;
    fleet.set_doc(fixed);
    fleet.run(200);
    for n in 0..60 {
        let mut spec = batch(&format!("s{n}"), 4_000 + 300 * (n % 7));
        spec.service = service("fixed");
        fleet.call(&cell, JobCall::Submit(spec));
    }
    fleet.run(1_500);
    for n in 0..4 {
        let mut urgent = batch(&format!("now{n}"), 1_000 + 1_500 * n);
        urgent.class = Class::Urgent;
        urgent.service = service("fixed");
        fleet.call(&cell, JobCall::Submit(urgent));
    }
    let name = worker_name(&cell, 0);
    let is_running = |f: &Fleet| f.workers[&name].tasks.keys().any(|j| j.as_str() == "large");
    assert!(fleet.run_until(20_000, |f| !is_running(f)), "never evicted");
    let paused = fleet.now;
    assert!(fleet.run_until(60_000, is_running), "never resumed");
    let pause = fleet.now.since(paused);
    assert!(pause <= Millis(12_000), "paused for {pause} ms");
    assert!(fleet.run_until(120_000, |f| {
        check(f);
        finished_jobs(f).len() == 65
    }));
}

/// Guards against a drain that evicts more jobs at once than can be moved within the pause of their
/// document, and against one that waits for jobs which no cell accepts.
#[test]
fn a_drain_pauses_no_more_jobs_than_can_be_moved() {
    let mut fleet = owned(&["a"], 8);
    let mut cuts = doc("cuts", Class::Batch, 0);
    cuts.moves.pause = 1;
    fleet.set_doc(cuts);
    let cell = fleet.cells[0].clone();
    for n in 0..64 {
        fleet.call(&cell, JobCall::Submit(batch(&format!("j{n}"), 60_000)));
    }
    let tasks = |f: &Fleet| f.workers.values().map(|w| w.tasks.len()).sum::<usize>();
    assert!(fleet.run_until(6_000, |f| tasks(f) == 64));
    fleet.run(1_000);
    fleet.set_domain("a", DomainState::Out);
    fleet.run(1_100);
    assert!((24..=40).contains(&tasks(&fleet)), "{}", tasks(&fleet));
    assert!(fleet.run_until(4_000, |f| tasks(f) == 0));
}

/// Guards against an exceeded pause without an explanation.
#[test]
fn an_exceeded_pause_is_explained() {
    let mut fleet = owned(&["a"], 1);
    let mut cuts = doc("cuts", Class::Batch, 0);
    cuts.moves.pause = 2;
    fleet.set_doc(cuts);
    let cell = fleet.cells[0].clone();
    fleet.call_and_wait(&cell, JobCall::Submit(batch("j", 60_000)));
    fleet.run(2_000);
    fleet.set_domain("a", DomainState::Out);
    fleet.run(8_000);
    let status = fleet.status(&cell, "j");
    let mut reasons = status.history.iter().map(|e| &e.reason);
    let is_exceeded = |r: &Reason| matches!(r, Reason::PauseExceeded { allowed: 2 });
    assert_eq!(reasons.by_ref().filter(|r| is_exceeded(r)).count(), 1);
    let subject = Subject::Service(service("cuts"));
    let reply = fleet.call_and_wait(&cell, JobCall::Explain(subject));
    let JobReply::Explained(list) = reply else {
        panic!("{reply:?}");
    };
    assert!(list.iter().any(|e| is_exceeded(&e.reason)), "{list:?}");
}

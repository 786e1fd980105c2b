//! Explanations on request: reasons for waiting jobs, workers without new tasks and missing
//! instances of services.

use hyssop_core::{Class, DomainState, JobCall, JobReply, Reason, Resources, Subject, WorkerName};

use crate::fleet::Fleet;
use crate::samples::{batch, doc, job_id, service, team, worker_name};
use crate::worker::Health;

/// Starts a cell with one worker of 16 cores, and waits until it has an owner.
fn fleet_with_owner() -> Fleet {
    let mut fleet = Fleet::new(1, &["a"], 1);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(8_000, |f| f.owner(&cell).is_some()));
    fleet.run(2_000);
    fleet
}

fn reasons(fleet: &mut Fleet, subject: Subject) -> Vec<Reason> {
    let cell = fleet.cells[0].clone();
    let token = fleet.call_at(0, &cell, JobCall::Explain(subject));
    assert!(fleet.run_until(1_000, |f| f.replies.contains_key(&token)));
    match fleet.replies.remove(&token) {
        Some(JobReply::Explained(list)) => list.into_iter().map(|e| e.reason).collect(),
        other => panic!("{other:?}"),
    }
}

fn last_reason(fleet: &mut Fleet, subject: Subject) -> Option<Reason> {
    reasons(fleet, subject).pop()
}

fn job_reason(fleet: &mut Fleet, name: &str) -> Reason {
    let subject = Subject::Job(job_id(name));
    last_reason(fleet, subject).unwrap_or_else(|| panic!("{name} waits without a reason"))
}

fn worker(fleet: &Fleet) -> WorkerName {
    worker_name(&fleet.cells[0], 0)
}

/// Guards against a waiting job without an explanation when there is no free capacity, the quota is
/// used up, the domain is out of service, or the configuration is not confirmed.
#[test]
fn each_waiting_job_has_its_reason() {
    let mut fleet = fleet_with_owner();
    fleet.set_quota("small", Resources::new(2_000, 60_000, 0));
    fleet.run(100);
    let cell = fleet.cells[0].clone();
    for name in ["small", "haugland"] {
        for n in 0..30 {
            let mut spec = batch(&format!("{name}{n}"), 60_000);
            spec.team = team(name);
            fleet.call(&cell, JobCall::Submit(spec));
        }
    }
    fleet.run(4_000);
    let running: Vec<String> = fleet.workers[&worker(&fleet)]
        .tasks
        .keys()
        .map(ToString::to_string)
        .collect();
    // Eight jobs fill the worker.
    assert_eq!(running.len(), 8);
    for n in 0..30 {
        for name in ["small", "haugland"] {
            let name = format!("{name}{n}");
            if running.contains(&name) {
                continue;
            }
            let reason = job_reason(&mut fleet, &name);
            if name.starts_with("small") {
                assert_eq!(reason, Reason::QuotaFull, "{name}");
            } else {
                assert!(
                    matches!(reason, Reason::NoCapacity { .. }),
                    "{name}: {reason}"
                );
            }
        }
    }
    fleet.set_domain("a", DomainState::Out);
    fleet.run(300);
    let out = Reason::DomainOut(cell.domain.clone());
    assert_eq!(job_reason(&mut fleet, "haugland29"), out);
    let name = worker(&fleet);
    assert_eq!(
        last_reason(&mut fleet, Subject::Worker(name.clone())),
        Some(out)
    );
    fleet.is_log_up = false;
    fleet.run(4_000);
    assert_eq!(job_reason(&mut fleet, "haugland29"), Reason::StaleConfig);
    fleet.is_log_up = true;
    fleet.run(1_000);
    let list = reasons(&mut fleet, Subject::Worker(name));
    assert!(list.contains(&Reason::StaleConfig), "{list:?}");
}

/// Guards against a failed job in backoff, and a worker that fails or does not reply, without an
/// explanation.
#[test]
fn failures_and_missing_replies_are_explained() {
    let mut fleet = fleet_with_owner();
    let name = worker(&fleet);
    let cell = fleet.cells[0].clone();
    fleet.workers.get_mut(&name).expect("worker").health = Health::Failing;
    fleet.call_and_wait(&cell, JobCall::Submit(batch("j", 1_000)));
    let mut seen = false;
    // Each request lets time pass until its reply arrives.
    for _ in 0..60 {
        seen |= matches!(job_reason(&mut fleet, "j"), Reason::Backoff(_));
    }
    assert!(seen, "no backoff");
    fleet.workers.get_mut(&name).expect("worker").health = Health::Good;
    fleet.call_and_wait(&cell, JobCall::Submit(batch("k", 60_000)));
    assert!(fleet.run_until(5_000, |f| f.workers[&name].tasks.contains_key(&job_id("k"))));
    fleet.workers.get_mut(&name).expect("worker").is_unreachable = true;
    fleet.run(5_000);
    assert!(matches!(job_reason(&mut fleet, "k"), Reason::InDoubt(_)));
    let no_reply = Some(Reason::Unresponsive(name.clone()));
    assert_eq!(last_reason(&mut fleet, Subject::Worker(name)), no_reply);
}

/// Guards against a service that lacks instances, or a job that waits because placements on a
/// worker are paused, without an explanation.
#[test]
fn paused_placements_and_missing_instances_are_explained() {
    let mut fleet = fleet_with_owner();
    let cell = fleet.cells[0].clone();
    fleet.set_doc(doc("planner", Class::LatencyCritical, 3));
    fleet.run(5_000);
    let planner = Subject::Service(service("planner"));
    let list = reasons(&mut fleet, planner);
    let is_no_capacity = |r: &Reason| matches!(r, Reason::NoCapacity { .. });
    assert!(list.iter().any(is_no_capacity), "{list:?}");
    fleet.set_doc(doc("planner", Class::LatencyCritical, 1));
    let name = worker(&fleet);
    fleet
        .workers
        .get_mut(&name)
        .expect("worker")
        .interference_percent = 40;
    for n in 0..2 {
        let mut spec = batch(&format!("j{n}"), 90_000);
        spec.payload = "noisy".to_owned();
        fleet.call(&cell, JobCall::Submit(spec));
    }
    let paused = Some(Reason::PlacementsPaused(name.clone()));
    let mut tries = 0;
    while last_reason(&mut fleet, Subject::Worker(name.clone())) != paused {
        fleet.run(100);
        tries += 1;
        assert!(tries < 200, "never paused");
    }
    fleet.call_and_wait(&cell, JobCall::Submit(batch("late", 1_000)));
    fleet.run(300);
    assert_eq!(Some(job_reason(&mut fleet, "late")), paused);
}

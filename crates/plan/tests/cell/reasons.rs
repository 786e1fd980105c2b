//! Why something has not started, told when asked.

use hyssop_core::{Class, DomainState, JobCall, JobReply, Reason, Resources, Subject, WorkerName};

use crate::fleet::Fleet;
use crate::samples::{batch, doc, job_id, service, team, worker_name};
use crate::worker::Health;

/// Starts a cell with one worker of 16 cores.
fn owned() -> Fleet {
    let mut fleet = Fleet::new(1, &["a"], 1);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(8_000, |f| f.owner(&cell).is_some()));
    fleet.run(2_000);
    fleet
}

fn explained(fleet: &mut Fleet, subject: Subject) -> Vec<Reason> {
    let cell = fleet.cells[0].clone();
    let token = fleet.call_at(0, &cell, JobCall::Explain(subject));
    assert!(fleet.run_until(1_000, |f| f.replies.contains_key(&token)));
    match fleet.replies.remove(&token) {
        Some(JobReply::Explained(list)) => list.into_iter().map(|e| e.reason).collect(),
        other => panic!("{other:?}"),
    }
}

fn last(fleet: &mut Fleet, subject: Subject) -> Option<Reason> {
    explained(fleet, subject).pop()
}

fn job(fleet: &mut Fleet, name: &str) -> Reason {
    let subject = Subject::Job(job_id(name));
    last(fleet, subject).unwrap_or_else(|| panic!("{name} waits without a reason"))
}

fn worker(fleet: &Fleet) -> WorkerName {
    worker_name(&fleet.cells[0], 0)
}

/// Guards against a waiting job whose owner cannot say why: no room, a full quota, a domain that
/// is out and a configuration without proof.
#[test]
fn each_waiting_job_has_its_reason() {
    let mut fleet = owned();
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
    assert_eq!(running.len(), 8);
    for n in 0..30 {
        for name in ["small", "haugland"] {
            let name = format!("{name}{n}");
            if running.contains(&name) {
                continue;
            }
            let reason = job(&mut fleet, &name);
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
    assert_eq!(job(&mut fleet, "haugland29"), out);
    let name = worker(&fleet);
    assert_eq!(last(&mut fleet, Subject::Worker(name.clone())), Some(out));
    fleet.log = false;
    fleet.run(4_000);
    assert_eq!(job(&mut fleet, "haugland29"), Reason::StaleConfig);
    fleet.log = true;
    fleet.run(1_000);
    let list = explained(&mut fleet, Subject::Worker(name));
    assert!(list.contains(&Reason::StaleConfig), "{list:?}");
}

/// Guards against a failed job that waits without a word, and a worker that takes nothing
/// because of its failures or its silence and does not say so.
#[test]
fn failures_and_silence_are_reasons() {
    let mut fleet = owned();
    let name = worker(&fleet);
    let cell = fleet.cells[0].clone();
    fleet.workers.get_mut(&name).expect("worker").health = Health::Failing;
    fleet.ask(&cell, JobCall::Submit(batch("j", 1_000)));
    let mut seen = false;
    for _ in 0..60 {
        seen |= matches!(job(&mut fleet, "j"), Reason::Backoff(_));
    }
    assert!(seen, "no backoff");
    fleet.workers.get_mut(&name).expect("worker").health = Health::Good;
    fleet.ask(&cell, JobCall::Submit(batch("k", 60_000)));
    assert!(fleet.run_until(5_000, |f| f.workers[&name].tasks.contains_key(&job_id("k"))));
    fleet.workers.get_mut(&name).expect("worker").silent = true;
    fleet.run(5_000);
    assert!(matches!(job(&mut fleet, "k"), Reason::InDoubt(_)));
    let silent = Some(Reason::Unresponsive(name.clone()));
    assert_eq!(last(&mut fleet, Subject::Worker(name)), silent);
}

/// Guards against a service that lacks instances, or a job kept away from a protected worker,
/// without a reason.
#[test]
fn held_workers_and_missing_instances_are_reasons() {
    let mut fleet = owned();
    let cell = fleet.cells[0].clone();
    fleet.set_doc(doc("planner", Class::LatencyCritical, 3));
    fleet.run(5_000);
    let planner = Subject::Service(service("planner"));
    let list = explained(&mut fleet, planner);
    let short = |r: &Reason| matches!(r, Reason::NoCapacity { .. });
    assert!(list.iter().any(short), "{list:?}");
    fleet.set_doc(doc("planner", Class::LatencyCritical, 1));
    let name = worker(&fleet);
    fleet.workers.get_mut(&name).expect("worker").noise = 40;
    for n in 0..2 {
        let mut spec = batch(&format!("j{n}"), 90_000);
        spec.payload = "noisy".to_owned();
        fleet.call(&cell, JobCall::Submit(spec));
    }
    let held = Some(Reason::PlacementsPaused(name.clone()));
    let mut tries = 0;
    while last(&mut fleet, Subject::Worker(name.clone())) != held {
        fleet.run(100);
        tries += 1;
        assert!(tries < 200, "never held");
    }
    fleet.ask(&cell, JobCall::Submit(batch("late", 1_000)));
    fleet.run(300);
    assert_eq!(Some(job(&mut fleet, "late")), held);
}

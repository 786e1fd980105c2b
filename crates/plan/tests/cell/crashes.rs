//! Limit on the worker crashes that one job causes.

use std::collections::BTreeSet;

use hyssop_core::{
    Attempt, CellRecord, Class, Crashes, DomainState, JobCall, JobId, JobPhase, JobSpec, Millis,
    Resources,
};

use crate::checks::{check, finished_jobs};
use crate::fleet::Fleet;
use crate::samples::{batch, doc, job_id};
use crate::worker::{FakeWorker, Health};

/// Time after which the crashes of a few jobs are dealt with.
const SETTLE_MS: u64 = 120_000;

/// Creates a fleet that owns its cells and has the workers' inventories.
fn owned(entries: u64, domains: &[&str], workers: usize) -> Fleet {
    let mut fleet = Fleet::new(entries, domains, workers);
    let cells = fleet.cells.clone();
    assert!(fleet.run_until(8_000, |f| cells.iter().all(|c| f.owner(c).is_some())));
    fleet.run(2_000);
    fleet
}

fn submit(fleet: &mut Fleet, spec: JobSpec) {
    let cell = fleet.cells[0].clone();
    fleet.call(&cell, JobCall::Submit(spec));
}

/// Returns a job whose runs crash their workers in the way that the payload says.
fn crashing(name: &str, payload: &str) -> JobSpec {
    JobSpec {
        payload: payload.to_owned(),
        ..batch(name, 60_000)
    }
}

/// Returns the times of all crashes that a job has caused.
fn crash_times(fleet: &Fleet, job: &JobId) -> Vec<Millis> {
    let crashes = fleet.workers.values().flat_map(|w| &w.crashes);
    let own = crashes.filter(|(_, culprit)| culprit == job);
    let mut times: Vec<Millis> = own.map(|(at, _)| *at).collect();
    times.sort();
    times
}

/// Returns the jobs that were started more than twice after the third crash that they caused.
pub(crate) fn started_too_often(fleet: &Fleet) -> Vec<JobId> {
    let crashes = fleet.workers.values().flat_map(|w| &w.crashes);
    let culprits: BTreeSet<JobId> = crashes.map(|(_, job)| job.clone()).collect();
    let is_broken = |job: &JobId| {
        let Some(third) = crash_times(fleet, job).get(2).copied() else {
            return false;
        };
        let starts = fleet.workers.values().flat_map(|w| &w.starts);
        starts
            .filter(|(at, other, _)| other == job && *at > third)
            .count()
            > 2
    };
    culprits.into_iter().filter(is_broken).collect()
}

fn assert_given_up(fleet: &mut Fleet, job: &str) {
    let cell = fleet.cells[0].clone();
    let status = fleet.status(&cell, job);
    assert_eq!(status.phase, JobPhase::Failed, "{job}: {status:?}");
    assert_eq!(started_too_often(fleet), Vec::new());
}

/// Guards against a job that is started again without limit after each crash of its worker, and
/// against innocent jobs that are given up or stand still because of it.
#[test]
fn a_job_that_crashes_workers_is_given_up() {
    for payload in ["crash", "crash-late"] {
        for workers in [1, 4] {
            let mut fleet = owned(1, &["a"], workers);
            for n in 0..6 {
                submit(&mut fleet, batch(&format!("j{n}"), 3_000 + n % 2 * 27_000));
            }
            submit(&mut fleet, crashing("bad", payload));
            fleet.run(SETTLE_MS);
            check(&fleet);
            assert_given_up(&mut fleet, "bad");
            assert_eq!(finished_jobs(&fleet).len(), 6, "{payload}, {workers}");
        }
    }
}

/// Guards against several jobs that crash workers at the same time, so that each seems to have
/// caused the crashes of the others and innocent jobs seem to have caused them all.
#[test]
fn several_jobs_that_crash_workers_are_told_from_innocent_ones() {
    let mut fleet = owned(1, &["a"], 4);
    for n in 0..3 {
        submit(&mut fleet, crashing(&format!("bad{n}"), "crash"));
    }
    for n in 0..12 {
        submit(&mut fleet, batch(&format!("j{n}"), 3_000));
    }
    fleet.run(SETTLE_MS);
    check(&fleet);
    for n in 0..3 {
        assert_given_up(&mut fleet, &format!("bad{n}"));
    }
    assert_eq!(finished_jobs(&fleet).len(), 12);
}

/// Guards against a new owner that begins to count anew, from the records as well as from a
/// snapshot.
#[test]
fn a_later_owner_knows_the_crashes() {
    for snapshot_wait in [0, 40_000] {
        let mut fleet = owned(2, &["a"], 3);
        let cell = fleet.cells[0].clone();
        submit(&mut fleet, crashing("bad", "crash"));
        let crashes = |f: &Fleet| crash_times(f, &job_id("bad")).len();
        assert!(fleet.run_until(10_000, |f| crashes(f) == 1));
        // The crash is known when the job waits again, on workers that take no starts meanwhile.
        for worker in fleet.workers.values_mut() {
            worker.crash_downtime = Millis(2_000);
            worker.health = Health::Refusing;
        }
        fleet.run(5_000 + snapshot_wait);
        let owner = fleet.owner(&cell).expect("owner");
        fleet.shut_down(owner);
        assert!(fleet.run_until(10_000, |f| f.owner(&cell) == Some(1 - owner)));
        for worker in fleet.workers.values_mut() {
            worker.health = Health::Good;
        }
        fleet.run(SETTLE_MS);
        assert_given_up(&mut fleet, "bad");
        assert_eq!(crashes(&fleet), 2);
    }
}

/// Guards against a count that is lost when the job moves to another cell.
#[test]
fn a_job_that_moves_keeps_its_crashes() {
    let mut fleet = owned(1, &["a", "b"], 2);
    submit(&mut fleet, crashing("bad", "crash"));
    let crashes = |f: &Fleet| crash_times(f, &job_id("bad")).len();
    assert!(fleet.run_until(10_000, |f| crashes(f) == 1));
    // The crash is known before the domain is taken out of service.
    let prefix = fleet.cells[0].domain.to_string() + "-";
    let workers = fleet.workers.iter_mut();
    workers.for_each(|(name, worker)| {
        if name.as_str().starts_with(&prefix) {
            worker.health = Health::Refusing;
        }
    });
    fleet.run(5_000);
    fleet.set_domain("a", DomainState::Out);
    fleet.run(SETTLE_MS);
    assert_eq!(crashes(&fleet), 2);
    let cell = fleet.cells[1].clone();
    assert!(fleet.is_phase(&cell, "bad", JobPhase::Failed));
}

/// Guards against a long run that is blamed for restarts of its workers.
#[test]
fn runs_that_have_gone_for_long_are_not_blamed() {
    let mut fleet = owned(1, &["a"], 1);
    submit(&mut fleet, batch("long", 100_000));
    for _ in 0..6 {
        assert!(fleet.run_until(10_000, |f| f.workers.values().any(|w| !w.tasks.is_empty())));
        fleet.run(13_000);
        fleet.workers.values_mut().for_each(FakeWorker::restart);
        fleet.run(500);
    }
    assert!(fleet.run_until(90_000, |f| finished_jobs(f).len() == 1));
}

/// Guards against an expired lease or a drained domain that counts as a crash: a job that is hit by
/// them again and again is not given up.
#[test]
fn planned_ends_and_unreachable_workers_are_no_crashes() {
    let mut fleet = owned(1, &["a"], 1);
    submit(&mut fleet, batch("long", 60_000));
    let is_running = |f: &Fleet| f.workers.values().any(|w| !w.tasks.is_empty());
    for n in 0..6 {
        assert!(fleet.run_until(10_000, is_running));
        fleet.run(1_000);
        if n % 2 == 0 {
            fleet
                .workers
                .values_mut()
                .for_each(|w| w.is_unreachable = true);
            fleet.run(22_000);
            fleet
                .workers
                .values_mut()
                .for_each(|w| w.is_unreachable = false);
        } else {
            fleet.set_domain("a", DomainState::Out);
            fleet.run(300);
            fleet.workers.values_mut().for_each(FakeWorker::restart);
            fleet.run(3_000);
            fleet.set_domain("a", DomainState::In);
        }
    }
    assert!(fleet.run_until(120_000, |f| finished_jobs(f).len() == 1));
}

/// Guards against a suspect that is started beside others, so that its crash takes them down and
/// does not tell which run has caused it.
#[test]
fn suspects_are_restarted_apart() {
    let mut fleet = owned(1, &["a"], 4);
    for n in 0..6 {
        submit(&mut fleet, batch(&format!("j{n}"), 30_000));
    }
    submit(&mut fleet, crashing("bad", "crash"));
    let crashes = |f: &Fleet| crash_times(f, &job_id("bad")).len();
    assert!(fleet.run_until(10_000, |f| crashes(f) == 1));
    let first = fleet.now;
    for n in 0..40 {
        submit(&mut fleet, batch(&format!("k{n}"), 500));
        fleet.run(250);
    }
    fleet.run(20_000);
    for worker in fleet.workers.values() {
        let starts: Vec<_> = worker.starts.iter().filter(|s| s.0 > first).collect();
        for (at, job, _) in &starts {
            if !job.as_str().starts_with('j') && job.as_str() != "bad" {
                continue;
            }
            let beside = starts
                .iter()
                .filter(|s| s.1 != *job && s.0 + Millis(450) > *at && s.0 < *at + Millis(450));
            assert_eq!(beside.count(), 0, "{job} at {at} beside {starts:?}");
        }
    }
}

/// Guards against service tasks and urgent jobs that crash workers without limit.
#[test]
fn service_tasks_and_urgent_jobs_are_given_up_too() {
    let mut fleet = owned(1, &["a"], 4);
    for worker in fleet.workers.values_mut() {
        worker.crash_downtime = Millis(1_500);
    }
    let mut bad = doc("crashing", Class::LatencyCritical, 1);
    bad.needs.resources = Resources::new(1_000, 1_000, 0);
    fleet.set_doc(bad.clone());
    fleet.run(SETTLE_MS);
    let service_task = job_id("standing-crashing-a.0-0");
    assert_eq!(crash_times(&fleet, &service_task).len(), 2);
    // A new version of the document is tried again.
    fleet.set_doc(bad);
    let is_tried = |f: &Fleet| crash_times(f, &service_task).len() > 2;
    assert!(fleet.run_until(10_000, is_tried));
    fleet.run(SETTLE_MS);
    submit(
        &mut fleet,
        JobSpec {
            class: Class::Urgent,
            ..crashing("bad", "crash")
        },
    );
    fleet.run(SETTLE_MS);
    assert_given_up(&mut fleet, "bad");
}

/// Guards against stored data of earlier versions that can no longer be read, and against a change
/// of the format where no worker has crashed.
#[test]
fn records_of_earlier_versions_are_read() {
    let lost = r#"{"Lost":{"job":"j","attempt":2,"checkpoint":500}}"#;
    let record: CellRecord = serde_json::from_str(lost).expect("record");
    assert!(matches!(record, CellRecord::Lost { crash: None, .. }));
    assert_eq!(serde_json::to_string(&record).expect("text"), lost);
    let accepted = CellRecord::Accepted {
        spec: batch("j", 1_000),
        attempt: Attempt(0),
        checkpoint: 0,
        crashes: Crashes::default(),
    };
    let text = serde_json::to_string(&accepted).expect("text");
    assert!(text.ends_with(r#""attempt":0,"checkpoint":0}}"#), "{text}");
    let read: CellRecord = serde_json::from_str(&text).expect("record");
    assert_eq!(read, accepted);
}

/// Guards against jobs in snapshots that earlier versions cannot read although no worker has
/// crashed, and against snapshots without the crashes.
#[test]
fn snapshots_contain_crashes_only_where_there_are_some() {
    let mut fleet = owned(1, &["a"], 3);
    submit(&mut fleet, crashing("bad", "crash"));
    assert!(fleet.run_until(20_000, |f| crash_times(f, &job_id("bad")).len() == 2));
    submit(&mut fleet, batch("good", 600_000));
    fleet.run(40_000);
    let records = fleet.streams.values().flat_map(|stream| &stream.records);
    let mut states = records.filter_map(|record| match &record.body {
        CellRecord::Snapshot { state, .. } => Some(state.clone()),
        _ => None,
    });
    let state: serde_json::Value =
        serde_json::from_str(&states.next_back().expect("snapshot")).expect("state");
    let jobs = state["jobs"].as_array().expect("jobs");
    let job = |id: &str| {
        let mut found = jobs.iter().filter(|job| job[0][0] == id);
        found.next().and_then(|job| job.as_array()).expect("job")
    };
    assert_eq!(job("good").len(), 9);
    assert_eq!(job("bad").len(), 10);
    assert_eq!(job("bad")[9]["count"], 2);
}

/// Guards against service tasks that crash workers without limit because they are replaced before
/// their worker is back with another incarnation.
#[test]
fn a_service_task_is_given_up_while_its_workers_are_away() {
    let mut fleet = owned(1, &["a"], 6);
    for worker in fleet.workers.values_mut() {
        worker.crash_downtime = Millis(20_000);
    }
    let mut bad = doc("crashing", Class::LatencyCritical, 1);
    bad.needs.resources = Resources::new(1_000, 1_000, 0);
    fleet.set_doc(bad);
    fleet.run(SETTLE_MS);
    assert_eq!(started_too_often(&fleet), Vec::new());
    let service_task = job_id("standing-crashing-a.0-0");
    assert_eq!(crash_times(&fleet, &service_task).len(), 2);
}

/// Guards against a job that crashes one worker after the other, each of which stays away for longer
/// than a lease.
#[test]
fn a_job_is_given_up_while_its_workers_are_away() {
    let mut fleet = owned(1, &["a"], 6);
    for worker in fleet.workers.values_mut() {
        worker.crash_downtime = Millis(40_000);
    }
    submit(&mut fleet, crashing("bad", "crash"));
    fleet.run(SETTLE_MS);
    assert_given_up(&mut fleet, "bad");
    assert_eq!(crash_times(&fleet, &job_id("bad")).len(), 2);
}

/// Guards against a task that is given up because it adds up the restarts of its hosts over its
/// whole life, or because a new owner takes its old run for a recent one.
#[test]
fn a_service_task_does_not_add_up_restarts_of_its_hosts() {
    let mut fleet = owned(2, &["a"], 2);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 1));
    let cell = fleet.cells[0].clone();
    let is_running = |f: &Fleet| f.workers.values().any(|w| !w.tasks.is_empty());
    for n in 0..20 {
        assert!(fleet.run_until(10_000, is_running));
        fleet.run(if n % 2 == 0 { 2_000 } else { 15_000 });
        if n > 12 {
            let owner = fleet.owner(&cell).expect("owner");
            fleet.shut_down(owner);
            assert!(fleet.run_until(10_000, |f| f.owner(&cell) == Some(1 - owner)));
            fleet.replace_entry(owner);
            fleet.run(2_000);
        }
        let workers = fleet.workers.values_mut();
        workers.for_each(FakeWorker::restart);
        fleet.run(1_500);
    }
    fleet.run(10_000);
    assert!(is_running(&fleet));
    let records = fleet.streams.values().flat_map(|stream| &stream.records);
    let given_up = records.filter(|r| matches!(r.body, CellRecord::Abandoned { .. }));
    assert_eq!(given_up.count(), 0);
}

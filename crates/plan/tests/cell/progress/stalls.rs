//! Smallest cases in which a task waited without bound although a worker had capacity for it.

use hyssop_core::{Attempt, Class, JobCall, JobId, JobSpec, Resources};

use super::checks::{BATCH_START_MS, URGENT_START_MS};
use crate::checks::finished_jobs;
use crate::fleet::Fleet;
use crate::samples::{batch, doc, job_id, service, team};
use crate::worker::{FakeWorker, Health};

/// Time after which a job looks for another cell, with all doublings.
const MAX_MOVE_DELAY_MS: u64 = 128_000;

/// Creates a fleet of one entry that owns its cells and has the workers' inventories.
fn owned(domains: &[&str], workers: usize) -> Fleet {
    let mut fleet = Fleet::new(1, domains, workers);
    let cells = fleet.cells.clone();
    assert!(fleet.run_until(8_000, |f| cells.iter().all(|c| f.owner(c).is_some())));
    fleet.run(2_000);
    fleet
}

fn submit(fleet: &mut Fleet, spec: JobSpec) {
    let cell = fleet.cells[0].clone();
    fleet.call(&cell, JobCall::Submit(spec));
}

fn worker<'a>(fleet: &'a mut Fleet, name: &str) -> &'a mut FakeWorker {
    let mut workers = fleet.workers.iter_mut();
    let found = workers.find(|(worker, _)| worker.as_str() == name);
    found.map(|(_, worker)| worker).expect("worker")
}

fn is_running(fleet: &Fleet, job: &JobId) -> bool {
    fleet.workers.values().any(|w| w.tasks.contains_key(job))
}

/// Advances the time until a job runs, by at most `limit` milliseconds.
fn starts_within(fleet: &mut Fleet, job: &str, limit: u64) -> bool {
    let id = job_id(job);
    fleet.run_until(limit, |f| is_running(f, &id))
}

/// Returns a batch or urgent job that needs this many thousandths of a core.
fn job(name: &str, class: Class, cpu: u32, work: u64) -> JobSpec {
    JobSpec {
        class,
        needs: Resources::new(cpu, 1_000, 0),
        ..batch(name, work)
    }
}

/// Guards against a job that is ordered again and again to the worker that fits best and refuses
/// every start, while other workers are empty.
#[test]
fn a_worker_that_refuses_starts_keeps_no_job_from_others() {
    let mut fleet = owned(&["a"], 3);
    submit(&mut fleet, job("long", Class::Batch, 4_000, 600_000));
    assert!(starts_within(&mut fleet, "long", URGENT_START_MS));
    for worker in fleet.workers.values_mut() {
        if !worker.tasks.is_empty() {
            worker.health = Health::Refusing;
        }
    }
    submit(&mut fleet, job("next", Class::Urgent, 2_000, 60_000));
    assert!(starts_within(&mut fleet, "next", URGENT_START_MS));
}

/// Guards against a job whose start order reaches its worker too late each time and is repeated
/// there without end, while other workers are empty.
#[test]
fn a_worker_that_gets_orders_late_keeps_no_job_from_others() {
    let mut fleet = owned(&["a"], 3);
    submit(&mut fleet, job("long", Class::Batch, 4_000, 600_000));
    assert!(starts_within(&mut fleet, "long", URGENT_START_MS));
    for worker in fleet.workers.values_mut() {
        if !worker.tasks.is_empty() {
            worker.health = Health::Late;
        }
    }
    submit(&mut fleet, job("next", Class::Urgent, 2_000, 60_000));
    assert!(starts_within(&mut fleet, "next", URGENT_START_MS));
}

/// Guards against a wait that begins anew with each refused start: a job that every worker of its
/// cell refuses does not move to another cell with free capacity.
#[test]
fn a_job_that_all_workers_refuse_moves_to_another_cell() {
    let mut fleet = owned(&["a", "b"], 2);
    for name in ["a-w0", "a-w1"] {
        worker(&mut fleet, name).health = Health::Refusing;
    }
    submit(&mut fleet, job("next", Class::Batch, 2_000, 60_000));
    let limit = MAX_MOVE_DELAY_MS + BATCH_START_MS;
    assert!(starts_within(&mut fleet, "next", limit));
}

/// Guards against a search that answers for other jobs: new noisy jobs that still look for a worker
/// on which they harm no service rule out the quiet jobs of another team.
#[test]
fn jobs_that_would_harm_a_service_keep_no_quiet_job_from_its_workers() {
    let mut fleet = owned(&["a"], 1);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 1));
    fleet.run(4_000);
    worker(&mut fleet, "a-w0").interference_percent = 30;
    let noisy = |n: u32| JobSpec {
        payload: "noisy".to_owned(),
        kind: service("route-plan"),
        ..job(&format!("n{n}"), Class::Batch, 1_000, 12_000)
    };
    submit(&mut fleet, noisy(0));
    // The harm is learned, the job has ended and the pause of placements is over.
    assert!(fleet.run_until(60_000, |f| finished_jobs(f).len() == 1));
    fleet.run(20_000);
    let quiet = JobSpec {
        team: team("other"),
        ..job("quiet", Class::Batch, 1_000, 1_000)
    };
    // The team with the smaller name comes first while neither uses anything.
    submit(&mut fleet, noisy(1));
    submit(&mut fleet, quiet);
    // Only the start itself may take time: the quiet job harms nothing.
    assert!(starts_within(&mut fleet, "quiet", URGENT_START_MS));
}

/// Returns a fleet of two full workers with more resumed jobs of a service with a short pause than
/// workers, all of which wait with reservations.
fn with_paused_jobs() -> Fleet {
    let mut fleet = owned(&["a"], 2);
    let mut quick = doc("quick", Class::Batch, 0);
    quick.moves.pause = 1;
    fleet.set_doc(quick);
    fleet.run(500);
    for n in 0..8 {
        let mut spec = job(&format!("q{n}"), Class::Batch, 4_000, 600_000);
        spec.service = service("quick");
        submit(&mut fleet, spec);
    }
    for n in 0..8 {
        assert!(starts_within(&mut fleet, &format!("q{n}"), URGENT_START_MS));
    }
    fleet.run(2_000);
    for n in 0..3 {
        let name = format!("u{n}");
        submit(&mut fleet, job(&name, Class::Urgent, 8_000, 600_000));
        assert!(starts_within(&mut fleet, &name, URGENT_START_MS));
    }
    fleet.run(5_000);
    fleet
}

/// Guards against reservations of paused batch jobs that keep urgent jobs from evicting others.
#[test]
fn paused_jobs_keep_no_urgent_job_waiting() {
    let mut fleet = with_paused_jobs();
    submit(&mut fleet, job("now", Class::Urgent, 4_000, 1_000));
    assert!(starts_within(&mut fleet, "now", URGENT_START_MS));
}

/// Guards against reservations of paused jobs on all workers, beside which smaller jobs never start
/// although there is capacity for them.
#[test]
fn paused_jobs_reserve_few_workers() {
    let mut fleet = owned(&["a"], 4);
    let mut quick = doc("quick", Class::Batch, 0);
    quick.moves.pause = 1;
    fleet.set_doc(quick);
    fleet.run(500);
    // Each worker has one core left.
    for n in 0..8 {
        let cpu = 8_000 - 1_000 * (n % 2);
        submit(
            &mut fleet,
            job(&format!("f{n}"), Class::Batch, cpu, 600_000),
        );
    }
    for n in 0..8 {
        assert!(starts_within(&mut fleet, &format!("f{n}"), URGENT_START_MS));
    }
    for n in 0..4 {
        let mut spec = job(&format!("q{n}"), Class::Batch, 6_000 - 1_000 * n, 60_000);
        spec.service = service("quick");
        let cell = fleet.cells[0].clone();
        let call = JobCall::Transfer {
            spec,
            attempt: Attempt(1),
            checkpoint: 1_000,
        };
        fleet.call(&cell, call);
        fleet.run(500);
    }
    fleet.run(5_000);
    submit(&mut fleet, job("small", Class::Batch, 1_000, 1_000));
    assert!(starts_within(&mut fleet, "small", BATCH_START_MS));
}

/// Guards against urgent jobs that are submitted together and start one after the other, because
/// only one at a time may evict others from a worker.
#[test]
fn urgent_jobs_on_one_worker_start_together() {
    let mut fleet = owned(&["a"], 1);
    for n in 0..8 {
        submit(&mut fleet, batch(&format!("j{n}"), 600_000));
    }
    for n in 0..8 {
        assert!(starts_within(&mut fleet, &format!("j{n}"), URGENT_START_MS));
    }
    for n in 0..8 {
        submit(
            &mut fleet,
            job(&format!("u{n}"), Class::Urgent, 2_000, 60_000),
        );
    }
    let started = |f: &Fleet| {
        let tasks = f.workers.values().flat_map(|w| w.tasks.values());
        tasks
            .filter(|task| task.order.class == Class::Urgent)
            .count()
    };
    fleet.run(URGENT_START_MS);
    assert_eq!(started(&fleet), 8);
}

/// Guards against a pause of batch placements that keeps urgent jobs from evicting batch jobs.
#[test]
fn urgent_jobs_evict_while_placements_are_paused() {
    let mut fleet = owned(&["a"], 1);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 1));
    fleet.run(4_000);
    for n in 0..4 {
        submit(&mut fleet, batch(&format!("j{n}"), 600_000));
    }
    for n in 0..4 {
        assert!(starts_within(&mut fleet, &format!("j{n}"), URGENT_START_MS));
    }
    worker(&mut fleet, "a-w0").own_slowdown_percent = 18;
    fleet.run(2_000);
    let is_paused = |f: &Fleet| f.workers.values().all(|w| w.slowdown() > 115);
    assert!(is_paused(&fleet));
    submit(&mut fleet, job("now", Class::Urgent, 8_000, 1_000));
    assert!(starts_within(&mut fleet, "now", URGENT_START_MS));
}

/// Guards against a pause of placements without end beside a service that is slow although no
/// batch job runs on its worker.
#[test]
fn a_service_that_is_slow_by_itself_keeps_no_batch_job_waiting() {
    let mut fleet = owned(&["a"], 1);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 1));
    worker(&mut fleet, "a-w0").own_slowdown_percent = 30;
    fleet.run(10_000);
    submit(&mut fleet, batch("next", 1_000));
    assert!(starts_within(&mut fleet, "next", BATCH_START_MS));
}

/// Guards against a job that moves to and fro between two cells with much free capacity in pieces
/// that are too small, while a worker of a third cell has room.
#[test]
fn a_job_reaches_the_cell_that_has_a_worker_for_it() {
    let mut fleet = owned(&["a", "b", "c"], 4);
    let cells = fleet.cells.clone();
    // Each worker of the first two cells has 4 cores left, 16 together, and that of the third 8.
    for (n, cell) in cells[..2].iter().enumerate() {
        for m in 0..8 {
            let mut spec = job(&format!("f{n}-{m}"), Class::Batch, 6_000, 900_000);
            spec.domains = std::iter::once(cell.domain.clone()).collect();
            fleet.call(cell, JobCall::Submit(spec));
        }
    }
    for (name, cpu) in [("c-w0", 8_000), ("c-w1", 500), ("c-w2", 500), ("c-w3", 500)] {
        worker(&mut fleet, name).capacity = Resources::new(cpu, 60_000, 0);
    }
    fleet.run(10_000);
    submit(&mut fleet, job("wide", Class::Batch, 8_000, 1_000));
    // The delays of the moves there and back, and of the move to the third cell.
    let limit = 2_000 + 4_000 + 8_000 + BATCH_START_MS;
    assert!(starts_within(&mut fleet, "wide", limit));
}

/// Guards against a probe that runs for hours and keeps its worker in quarantine for as long.
#[test]
fn a_long_probe_restores_its_worker() {
    let mut fleet = owned(&["a"], 4);
    worker(&mut fleet, "a-w0").health = Health::Failing;
    for n in 0..40 {
        submit(&mut fleet, batch(&format!("j{n}"), 1_000));
    }
    assert!(fleet.run_until(60_000, |f| finished_jobs(f).len() == 40));
    worker(&mut fleet, "a-w0").health = Health::Good;
    for n in 0..32 {
        submit(&mut fleet, batch(&format!("l{n}"), 3_600_000));
    }
    let are_running = |f: &Fleet| f.workers.values().map(|w| w.tasks.len()).sum::<usize>() == 32;
    // The second delay of a probe, two probes, and the start of the other jobs.
    let limit = 60_000 + 2 * (30_000 + URGENT_START_MS) + BATCH_START_MS;
    assert!(fleet.run_until(limit, are_running));
}

/// Guards against a repaired worker that stays in quarantine without end, because there are no
/// batch jobs that could be its probes.
#[test]
fn urgent_jobs_are_probes_where_no_batch_jobs_are() {
    let mut fleet = owned(&["a"], 2);
    worker(&mut fleet, "a-w0").health = Health::Failing;
    for n in 0..20 {
        submit(&mut fleet, job(&format!("u{n}"), Class::Urgent, 2_000, 500));
    }
    assert!(fleet.run_until(60_000, |f| finished_jobs(f).len() == 20));
    worker(&mut fleet, "a-w0").health = Health::Good;
    for n in 0..10 {
        submit(
            &mut fleet,
            job(&format!("l{n}"), Class::Urgent, 2_000, 3_600_000),
        );
    }
    let are_running = |f: &Fleet| f.workers.values().map(|w| w.tasks.len()).sum::<usize>() == 10;
    // The second delay of a probe, two probes, and the start of the other jobs.
    let limit = 60_000 + 2 * (30_000 + URGENT_START_MS) + URGENT_START_MS;
    assert!(fleet.run_until(limit, are_running));
}

//! Waves of upkeep.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_jobs::{
    EndKind, Input, JobId, Machine, MachineState, MaintenanceReply, MaintenanceWave, Policy, RunId,
    RunStatus, StepSpec,
};

use crate::support::{Fleet, JOB, complete, end, ends, job, row, rule, step, worker};

fn wave(machines: &[&str], max_down: u32) -> Input {
    let wave = MaintenanceWave {
        machines: machines.iter().map(|name| Arc::from(*name)).collect(),
        max_down,
    };
    waves(BTreeMap::from([(1, wave)]))
}

fn waves(waves: BTreeMap<u64, MaintenanceWave>) -> Input {
    let queues = [("queue".into(), Arc::new(rule(2)))];
    Input::Policy(Arc::new(Policy {
        version: 2,
        queues: BTreeMap::from(queues),
        waves,
        ..Policy::default()
    }))
}

/// Lists machines that are up with these workers, and ones that are down.
fn list(up: &[(&str, &str)], down: &[&str]) -> Input {
    let up = up.iter().map(|&(name, worker)| Machine {
        name: name.into(),
        state: MachineState::Up,
        worker: Some(worker.into()),
    });
    let down = down.iter().map(|&name| Machine {
        name: name.into(),
        state: MachineState::InMaintenance,
        worker: None,
    });
    Input::MachineList(Some(up.chain(down).collect()))
}

fn answered(fleet: &mut Fleet, machine: &str, reply: MaintenanceReply) {
    fleet.step(vec![Input::MaintenanceReply {
        wave: 1,
        machine: machine.into(),
        reply,
    }]);
}

/// Returns a fleet of two workers in a wave that takes one machine at a time.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    fleet.step(vec![wave(&["m-1", "m-2"], 1)]);
    assert_eq!(fleet.lists, 1);
    fleet.step(vec![list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet.step(vec![]);
    fleet
}

fn names(fleet: &Fleet) -> Vec<&str> {
    fleet.upkeeps.iter().map(|(_, name)| &**name).collect()
}

/// Guards against more machines down than the wave allows, and against a wave that is said to be
/// complete too early.
#[test]
fn machines_go_down_one_after_the_other() {
    let mut fleet = fleet();
    assert_eq!(names(&fleet), ["m-1"]);
    assert!(!fleet.statuses[&1]);
    fleet.pass(3_000, &[1, 2]);
    assert_eq!(names(&fleet), ["m-1"]);
    answered(&mut fleet, "m-1", MaintenanceReply::Begun);
    fleet.step(vec![list(&[("m-2", "i-2")], &["m-1"])]);
    fleet.pass(1_000, &[2]);
    assert_eq!(names(&fleet), ["m-1"]);
    fleet.step(vec![list(&[("m-1", "i-3"), ("m-2", "i-2")], &[])]);
    fleet.pass(100, &[2]);
    assert_eq!(names(&fleet), ["m-1", "m-2"]);
    assert!(!fleet.statuses[&1]);
    answered(&mut fleet, "m-2", MaintenanceReply::Begun);
    fleet.step(vec![]);
    assert!(fleet.statuses[&1]);
}

/// Guards against a machine that is left out because the answer to its order was lost, and against
/// another one that goes down meanwhile.
#[test]
fn unanswered_order_is_repeated() {
    let mut fleet = fleet();
    answered(&mut fleet, "m-1", MaintenanceReply::Unknown);
    fleet.pass(1_000, &[1, 2]);
    assert_eq!(names(&fleet), ["m-1", "m-1"]);
    answered(&mut fleet, "m-1", MaintenanceReply::Gone);
    fleet.pass(100, &[1, 2]);
    assert_eq!(names(&fleet), ["m-1", "m-1", "m-2"]);
}

/// Guards against a later owner that takes machines down again, or more at once than allowed.
#[test]
fn later_owner_goes_on_with_the_wave() {
    let mut fleet = fleet();
    answered(&mut fleet, "m-1", MaintenanceReply::Begun);
    fleet.step(vec![]);
    let mut later = fleet.taken_over(2);
    later.attach(1, worker("i-2", 1), complete(vec![], vec![]));
    later.step(vec![wave(&["m-1", "m-2"], 1)]);
    later.step(vec![list(&[("m-2", "i-2")], &["m-1"])]);
    later.pass(1_000, &[1]);
    assert!(later.upkeeps.is_empty());
    later.step(vec![list(&[("m-1", "i-3"), ("m-2", "i-2")], &[])]);
    later.pass(100, &[1]);
    assert_eq!(names(&later), ["m-2"]);
}

/// Guards against new tasks on a machine that is about to go down, and against work that is thrown
/// away although it ends soon.
#[test]
fn short_tasks_end_before_their_machine_goes_down() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.started(1)[0];
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![list(&[("m-1", "i-1")], &[])]);
    fleet.submit(JobId(2), rule(2), job(vec![step(1, &[])]));
    fleet.pass(500, &[1]);
    assert!(fleet.upkeeps.is_empty() && fleet.started(1).is_empty());
    fleet.report(1, ends(vec![end(1, run, EndKind::Done)]));
    fleet.pass(100, &[1]);
    assert_eq!(names(&fleet), ["m-1"]);
}

/// Guards against more unavailable tasks of a standing step than its caller allows: they move one
/// after the other before their machine goes down.
#[test]
fn standing_tasks_move_as_far_as_they_may() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    let standing = StepSpec {
        is_service: true,
        max_unavailable: Some(1),
        ..step(2, &[])
    };
    fleet.submit(JOB, rule(2), job(vec![standing]));
    fleet.step(vec![]);
    let runs = fleet.started(1);
    let at_work = |fleet: &mut Fleet, session: u64, runs: &[RunId]| {
        let rows: Vec<RunStatus> = runs.iter().map(|&run| row(run)).collect();
        let report = hyssop_jobs::Report {
            running: Some(rows),
            ..hyssop_jobs::Report::default()
        };
        fleet.report(session, report);
    };
    at_work(&mut fleet, 1, &runs);
    fleet.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet.step(vec![]);
    let first = fleet.stopped(1);
    assert_eq!(first.len(), 1);
    fleet.report(1, ends(vec![end(1, first[0], EndKind::Stopped)]));
    fleet.pass(5_000, &[1, 2]);
    assert!(fleet.upkeeps.is_empty() && fleet.stopped(1).is_empty());
    let moved = fleet.started(2);
    at_work(&mut fleet, 2, &moved);
    fleet.pass(100, &[1, 2]);
    let second = fleet.stopped(1);
    assert_eq!(second.len(), 1);
    fleet.report(1, ends(vec![end(2, second[0], EndKind::Stopped)]));
    fleet.pass(100, &[1, 2]);
    assert_eq!(names(&fleet), ["m-1"]);
}

/// Guards against a worker that gets no tasks any more after operators have dropped the wave for
/// which it was being vacated.
#[test]
fn dropped_wave_gives_its_workers_back() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    assert_eq!(fleet.started(1).len(), 1);
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![list(&[("m-1", "i-1")], &[])]);
    fleet.submit(JobId(2), rule(2), job(vec![step(1, &[])]));
    fleet.pass(500, &[1]);
    assert!(fleet.started(1).is_empty());
    fleet.step(vec![waves(BTreeMap::new())]);
    fleet.pass(100, &[1]);
    assert_eq!(fleet.started(1).len(), 1);
}

/// Guards against a wave that stands still because a machine that was being vacated has been removed
/// from the fleet.
#[test]
fn removed_machine_makes_way_for_the_next() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    fleet.attach(2, worker("i-2", 1), complete(vec![], vec![]));
    fleet.step(vec![wave(&["m-1", "m-2"], 1)]);
    fleet.step(vec![list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet.pass(500, &[1, 2]);
    assert!(fleet.upkeeps.is_empty());
    fleet.step(vec![list(&[("m-2", "i-2")], &[])]);
    fleet.pass(500, &[1, 2]);
    assert_eq!(names(&fleet), ["m-2"]);
}

/// Guards against an order that ends the tasks of a machine's next worker, which nobody vacated.
#[test]
fn next_worker_of_a_machine_is_vacated_anew() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![list(&[("m-1", "i-1")], &[])]);
    fleet.pass(500, &[1]);
    assert!(fleet.upkeeps.is_empty());
    let next = hyssop_jobs::WorkerInfo {
        address: "i-1:8080".into(),
        ..worker("i-2", 2)
    };
    fleet.attach(2, next, complete(vec![], vec![]));
    fleet.pass(200, &[2]);
    assert_eq!(fleet.started(2).len(), 1, "the lost task starts anew");
    fleet.step(vec![list(&[("m-1", "i-2")], &[])]);
    fleet.pass(500, &[2]);
    assert!(fleet.upkeeps.is_empty(), "{:?}", fleet.upkeeps);
}

/// Guards against an owner that ends tasks which it does not know yet, because their worker has not
/// reported to it.
#[test]
fn later_owner_waits_for_the_report_of_a_worker() {
    let mut fleet = Fleet::new();
    fleet.attach(1, worker("i-1", 1), complete(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.started(1)[0];
    let mut later = fleet.taken_over(2);
    later.step(vec![wave(&["m-1"], 1)]);
    later.step(vec![list(&[("m-1", "i-1")], &[])]);
    later.pass(500, &[]);
    assert!(later.upkeeps.is_empty(), "{:?}", later.upkeeps);
    later.attach(1, worker("i-1", 1), complete(vec![row(run)], vec![]));
    later.pass(500, &[1]);
    assert!(later.upkeeps.is_empty(), "{:?}", later.upkeeps);
    later.report(1, ends(vec![end(1, run, EndKind::Done)]));
    later.pass(100, &[1]);
    assert_eq!(names(&later), ["m-1"]);
}

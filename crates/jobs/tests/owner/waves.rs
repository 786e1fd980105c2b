//! Maintenance waves.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_jobs::{
    EndKind, Input, JobId, Machine, MachineState, MaintenanceReply, MaintenanceWave, Policy, RunId,
    RunStatus, StepSpec,
};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

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

/// Returns a list of machines: those that are up, with their workers, and those in maintenance.
fn machine_list(up: &[(&str, &str)], down: &[&str]) -> Input {
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

fn reply_to_order(fleet: &mut Fleet, machine: &str, reply: MaintenanceReply) {
    fleet.step(vec![Input::MaintenanceReply {
        wave: 1,
        machine: machine.into(),
        reply,
    }]);
}

/// Returns a fleet of two workers in a wave that takes down one machine at a time.
fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.step(vec![wave(&["m-1", "m-2"], 1)]);
    assert_eq!(fleet.list_count, 1);
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet.step(vec![]);
    fleet
}

fn ordered_machines(fleet: &Fleet) -> Vec<&str> {
    fleet.shutdowns.iter().map(|(_, name)| &**name).collect()
}

/// Guards against more machines down than the wave allows, and against reporting the wave complete
/// too early.
#[test]
fn machines_go_down_one_at_a_time() {
    let mut fleet = fleet();
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
    assert!(!fleet.wave_statuses[&1]);
    fleet.advance(3_000, &[1, 2]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::Begun);
    fleet.step(vec![machine_list(&[("m-2", "i-2")], &["m-1"])]);
    fleet.advance(1_000, &[2]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
    fleet.step(vec![machine_list(&[("m-1", "i-3"), ("m-2", "i-2")], &[])]);
    fleet.advance(100, &[2]);
    assert_eq!(ordered_machines(&fleet), ["m-1", "m-2"]);
    assert!(!fleet.wave_statuses[&1]);
    reply_to_order(&mut fleet, "m-2", MaintenanceReply::Begun);
    fleet.step(vec![]);
    assert!(fleet.wave_statuses[&1]);
}

/// Guards against skipping a machine because the reply to its order was lost, and against taking
/// down another one in the meantime.
#[test]
fn order_without_a_reply_is_repeated() {
    let mut fleet = fleet();
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::Unknown);
    fleet.advance(1_000, &[1, 2]);
    assert_eq!(ordered_machines(&fleet), ["m-1", "m-1"]);
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::Gone);
    fleet.advance(100, &[1, 2]);
    assert_eq!(ordered_machines(&fleet), ["m-1", "m-1", "m-2"]);
}

/// Guards against a later owner that takes machines down again, or more at once than allowed.
#[test]
fn later_owner_continues_the_wave() {
    let mut fleet = fleet();
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::Begun);
    fleet.step(vec![]);
    let mut later = fleet.successor(2);
    later.connect(1, worker("i-2", 1), complete_report(vec![], vec![]));
    later.step(vec![wave(&["m-1", "m-2"], 1)]);
    later.step(vec![machine_list(&[("m-2", "i-2")], &["m-1"])]);
    later.advance(1_000, &[1]);
    assert!(later.shutdowns.is_empty());
    later.step(vec![machine_list(&[("m-1", "i-3"), ("m-2", "i-2")], &[])]);
    later.advance(100, &[1]);
    assert_eq!(ordered_machines(&later), ["m-2"]);
}

/// Guards against starting tasks on a machine that is about to go down, and against losing the work
/// of tasks that end soon.
#[test]
fn machine_waits_for_short_tasks() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.take_started(1)[0];
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1")], &[])]);
    fleet.submit(JobId(2), rule(2), job(vec![step(1, &[])]));
    fleet.advance(500, &[1]);
    assert!(fleet.shutdowns.is_empty() && fleet.take_started(1).is_empty());
    fleet.report(1, ends_report(vec![run_end(1, run, EndKind::Done)]));
    fleet.advance(100, &[1]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
}

/// Guards against exceeding the limit of unavailable tasks of a service step: they move one after
/// the other before their machine goes down.
#[test]
fn service_tasks_move_within_their_limit() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let service_step = StepSpec {
        is_service: true,
        max_unavailable: Some(1),
        ..step(2, &[])
    };
    fleet.submit(JOB, rule(2), job(vec![service_step]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    let report_active = |fleet: &mut Fleet, session: u64, runs: &[RunId]| {
        let statuses: Vec<RunStatus> = runs.iter().map(|&run| run_status(run)).collect();
        let report = hyssop_jobs::Report {
            running: Some(statuses),
            ..hyssop_jobs::Report::default()
        };
        fleet.report(session, report);
    };
    report_active(&mut fleet, 1, &runs);
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet.step(vec![]);
    let first = fleet.take_stopped(1);
    assert_eq!(first.len(), 1);
    fleet.report(1, ends_report(vec![run_end(1, first[0], EndKind::Stopped)]));
    fleet.advance(5_000, &[1, 2]);
    assert!(fleet.shutdowns.is_empty() && fleet.take_stopped(1).is_empty());
    let moved = fleet.take_started(2);
    report_active(&mut fleet, 2, &moved);
    fleet.advance(100, &[1, 2]);
    let second = fleet.take_stopped(1);
    assert_eq!(second.len(), 1);
    fleet.report(
        1,
        ends_report(vec![run_end(2, second[0], EndKind::Stopped)]),
    );
    fleet.advance(100, &[1, 2]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
}

/// Guards against a worker that stays vacated after operators have removed the wave.
#[test]
fn removed_wave_releases_its_workers() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    assert_eq!(fleet.take_started(1).len(), 1);
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1")], &[])]);
    fleet.submit(JobId(2), rule(2), job(vec![step(1, &[])]));
    fleet.advance(500, &[1]);
    assert!(fleet.take_started(1).is_empty());
    fleet.step(vec![waves(BTreeMap::new())]);
    fleet.advance(100, &[1]);
    assert_eq!(fleet.take_started(1).len(), 1);
}

/// Guards against a wave that stalls because a machine was removed from the fleet while it was
/// being vacated.
#[test]
fn removed_machine_does_not_stall_the_wave() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.step(vec![wave(&["m-1", "m-2"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet.advance(500, &[1, 2]);
    assert!(fleet.shutdowns.is_empty());
    fleet.step(vec![machine_list(&[("m-2", "i-2")], &[])]);
    fleet.advance(500, &[1, 2]);
    assert_eq!(ordered_machines(&fleet), ["m-2"]);
}

/// Guards against an order that ends tasks on a machine's next worker, which was not vacated.
#[test]
fn next_worker_of_a_machine_is_vacated_too() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1")], &[])]);
    fleet.advance(500, &[1]);
    assert!(fleet.shutdowns.is_empty());
    let next = hyssop_jobs::WorkerInfo {
        address: "i-1:8080".into(),
        ..worker("i-2", 2)
    };
    fleet.connect(2, next, complete_report(vec![], vec![]));
    fleet.advance(200, &[2]);
    assert_eq!(fleet.take_started(2).len(), 1, "the lost task starts again");
    fleet.step(vec![machine_list(&[("m-1", "i-2")], &[])]);
    fleet.advance(500, &[2]);
    assert!(fleet.shutdowns.is_empty(), "{:?}", fleet.shutdowns);
}

/// Guards against an owner that takes a machine down before its worker has reported the runs of an
/// earlier owner.
#[test]
fn later_owner_waits_for_the_workers_report() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(1, &[])]));
    fleet.step(vec![]);
    let run = fleet.take_started(1)[0];
    let mut later = fleet.successor(2);
    later.step(vec![wave(&["m-1"], 1)]);
    later.step(vec![machine_list(&[("m-1", "i-1")], &[])]);
    later.advance(500, &[]);
    assert!(later.shutdowns.is_empty(), "{:?}", later.shutdowns);
    later.connect(
        1,
        worker("i-1", 1),
        complete_report(vec![run_status(run)], vec![]),
    );
    later.advance(500, &[1]);
    assert!(later.shutdowns.is_empty(), "{:?}", later.shutdowns);
    later.report(1, ends_report(vec![run_end(1, run, EndKind::Done)]));
    later.advance(100, &[1]);
    assert_eq!(ordered_machines(&later), ["m-1"]);
}

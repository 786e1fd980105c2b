//! Maintenance waves.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_jobs::{
    EndKind, Input, JobId, Machine, MachineState, MaintenanceReply, MaintenanceWave, Order, Policy,
    RunId, RunStatus, StepSpec, WorkerInfo, WorkerState,
};

use crate::support::{
    Fleet, JOB, complete_report, ends_report, job, rule, run_end, run_status, step, worker,
};

pub(crate) fn wave(machines: &[&str], max_down: u32) -> Input {
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
pub(crate) fn machine_list(up: &[(&str, &str)], down: &[&str]) -> Input {
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

pub(crate) fn reply_to_order(fleet: &mut Fleet, machine: &str, reply: MaintenanceReply) {
    fleet.step(vec![Input::MaintenanceReply {
        wave: 1,
        machine: machine.into(),
        reply,
    }]);
}

/// Returns a fleet of two workers in a wave that takes down one machine at a time.
pub(crate) fn fleet() -> Fleet {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.step(vec![wave(&["m-1", "m-2"], 1)]);
    assert_eq!(fleet.list_count, 1);
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet.step(vec![]);
    fleet
}

pub(crate) fn ordered_machines(fleet: &Fleet) -> Vec<&str> {
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

/// Guards against service tasks that are stopped for a wave, fit on no other worker, and stay away
/// because further tasks of their step must stay on the machine, which never goes down.
#[test]
fn service_tasks_start_again_if_their_machine_cannot_be_vacated() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    let mut service = step(6, &[]);
    service.is_service = true;
    service.max_per_worker = 3;
    service.max_unavailable = Some(2);
    fleet.submit(JOB, rule(2), job(vec![service]));
    fleet.step(vec![]);
    let mut running = [fleet.take_started(1), fleet.take_started(2)];
    assert_eq!(running.concat().len(), 6);
    let statuses = |runs: &[RunId]| runs.iter().map(|&run| run_status(run)).collect();
    for (session, runs) in (1..).zip(&running) {
        fleet.report(session, complete_report(statuses(runs), vec![]));
    }
    fleet.step(vec![wave(&["m-1", "m-2"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    let mut end_count = 0;
    for _ in 0..100 {
        fleet.advance(100, &[1, 2]);
        let orders = fleet.orders.remove(&1).unwrap_or_default();
        for order in orders {
            match order {
                Order::Start(start) | Order::Canary(start) => running[0].push(start.run),
                Order::Stop(run) => {
                    running[0].retain(|&other| other != run);
                    end_count += 1;
                    let end = run_end(end_count, run, EndKind::Stopped);
                    fleet.report(1, ends_report(vec![end]));
                }
                Order::Pace(..) => {}
            }
        }
        running[1].extend(fleet.take_started(2));
        for (session, runs) in (1..).zip(&running) {
            fleet.report(session, complete_report(statuses(runs), vec![]));
        }
    }
    let is_down = !ordered_machines(&fleet).is_empty();
    assert!(is_down || running.concat().len() == 6, "{running:?}");
}

/// Returns a fleet of two workers in a wave that takes down one machine at a time. All capacity of
/// the first is reserved by two service tasks, of which one may be unavailable.
fn fleet_with_full_first_worker() -> (Fleet, Vec<RunId>) {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut service = step(2, &[]);
    service.is_service = true;
    service.resources.cpu = 8_000;
    service.max_unavailable = Some(1);
    fleet.submit(JOB, rule(2), job(vec![service]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 2);
    let statuses = runs.iter().map(|&run| run_status(run)).collect();
    fleet.report(1, complete_report(statuses, vec![]));
    let mut small = worker("i-2", 1);
    small.capacity.cpu = 4_000;
    fleet.connect(2, small, complete_report(vec![], vec![]));
    fleet.step(vec![wave(&["m-1", "m-2"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    (fleet, runs)
}

/// Guards against a machine that cannot be vacated and keeps the others of its wave from their
/// maintenance, and against one that is not tried again once its service tasks can move.
#[test]
fn machine_that_cannot_be_vacated_is_tried_again_after_the_others() {
    let (mut fleet, runs) = fleet_with_full_first_worker();
    fleet.advance(1_000, &[1, 2]);
    assert!(fleet.take_stopped(1).is_empty());
    assert_eq!(ordered_machines(&fleet), ["m-2"]);
    reply_to_order(&mut fleet, "m-2", MaintenanceReply::Begun);
    fleet.connect(3, worker("i-3", 1), complete_report(vec![], vec![]));
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-3")], &[])]);
    assert!(!fleet.wave_statuses[&1]);
    let mut moved = Vec::new();
    for number in 1..=2 {
        fleet.advance(6_000, &[1, 3]);
        let stopped = fleet.take_stopped(1);
        assert_eq!(stopped.len(), 1, "{moved:?}");
        assert!(runs.contains(&stopped[0]));
        let end = run_end(number, stopped[0], EndKind::Stopped);
        fleet.report(1, ends_report(vec![end]));
        fleet.advance(100, &[1, 3]);
        moved.extend(fleet.take_started(3));
        let statuses = moved.iter().map(|&run| run_status(run)).collect();
        fleet.report(3, complete_report(statuses, vec![]));
    }
    fleet.advance(100, &[1, 3]);
    assert_eq!(ordered_machines(&fleet), ["m-2", "m-1"]);
}

/// Guards against a worker that accepts no tasks while its machine cannot go down: they may have
/// capacity nowhere else.
#[test]
fn worker_that_cannot_be_vacated_accepts_tasks() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut service = step(2, &[]);
    service.is_service = true;
    service.max_unavailable = Some(1);
    fleet.submit(JOB, rule(2), job(vec![service]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    assert_eq!(runs.len(), 2);
    let statuses = runs.iter().map(|&run| run_status(run)).collect();
    fleet.report(1, complete_report(statuses, vec![]));
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1")], &[])]);
    fleet.submit(JobId(2), rule(2), job(vec![step(1, &[])]));
    fleet.advance(2_900, &[1]);
    let orders = fleet.orders.remove(&1).unwrap_or_default();
    assert!(
        matches!(&orders[..], [Order::Start(start)] if start.run.task.job == JobId(2)),
        "{orders:?}"
    );
}

/// Guards against a machine that never goes down because its service tasks fit on no other worker,
/// although their step may miss all of them.
#[test]
fn machine_goes_down_if_its_service_tasks_may_be_missed() {
    let mut fleet = Fleet::new();
    fleet.connect(1, worker("i-1", 1), complete_report(vec![], vec![]));
    let mut service = step(2, &[]);
    service.is_service = true;
    service.max_unavailable = Some(2);
    fleet.submit(JOB, rule(2), job(vec![service]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    let statuses = runs.iter().map(|&run| run_status(run)).collect();
    fleet.report(1, complete_report(statuses, vec![]));
    fleet.submit(JobId(2), rule(2), job(vec![step(1, &[])]));
    let short = fleet.take_started(1);
    assert_eq!(short.len(), 1);
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1")], &[])]);
    fleet.advance(1_000, &[1]);
    assert!(
        fleet.take_stopped(1).is_empty(),
        "stopped before the machine can go down"
    );
    fleet.report(1, ends_report(vec![run_end(1, short[0], EndKind::Done)]));
    fleet.advance(100, &[1]);
    let mut stopped = fleet.take_stopped(1);
    stopped.sort_unstable();
    assert_eq!(stopped, runs);
    let ends = (2..).zip(stopped);
    let ends = ends.map(|(number, run)| run_end(number, run, EndKind::Stopped));
    fleet.report(1, ends_report(ends.collect()));
    fleet.advance(100, &[1]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
}

/// Starts two service tasks, of which one may be unavailable, on the first of two workers, begins to
/// vacate it. The order to stop the first of them is left in the fleet.
fn fleet_with_one_task_stopped() -> Fleet {
    let mut fleet = Fleet::new();
    let mut first = worker("i-1", 1);
    first.labels.push("b".into());
    fleet.connect(1, first, complete_report(vec![], vec![]));
    let mut service = step(2, &[]);
    service.is_service = true;
    service.max_unavailable = Some(1);
    fleet.submit(JOB, rule(2), job(vec![service]));
    fleet.step(vec![]);
    let runs = fleet.take_started(1);
    let statuses = runs.iter().map(|&run| run_status(run)).collect();
    fleet.report(1, complete_report(statuses, vec![]));
    fleet.connect(2, worker("i-2", 1), complete_report(vec![], vec![]));
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet
}

/// Guards against a stopped service task that stays away because the capacity that it was stopped
/// for is gone, while its former worker accepts nothing.
#[test]
fn stopped_service_task_starts_again_if_its_next_worker_leaves() {
    let mut fleet = fleet_with_one_task_stopped();
    let stopped = fleet.take_stopped(1);
    assert_eq!(stopped.len(), 1);
    fleet.step(vec![Input::WorkerChanged {
        session: 2,
        worker: WorkerInfo {
            state: WorkerState::Draining,
            ..worker("i-2", 1)
        },
    }]);
    let end = run_end(1, stopped[0], EndKind::Stopped);
    fleet.report(1, ends_report(vec![end]));
    fleet.advance(5_000, &[1, 2]);
    let started = fleet.take_started(1);
    assert_eq!(started.len(), 1);
    assert_eq!(started[0].task, stopped[0].task);
}

/// Guards against a worker that accepts no tasks for as long as a task that was moved away from it
/// does not become active.
#[test]
fn worker_accepts_tasks_if_a_moved_task_does_not_become_active() {
    let mut fleet = fleet_with_one_task_stopped();
    let stopped = fleet.take_stopped(1);
    let end = run_end(1, stopped[0], EndKind::Stopped);
    fleet.report(1, ends_report(vec![end]));
    fleet.advance(100, &[1, 2]);
    assert_eq!(fleet.take_started(2).len(), 1);
    let mut labelled = step(1, &[]);
    labelled.label = Some("b".into());
    fleet.submit(JobId(2), rule(2), job(vec![labelled]));
    fleet.advance(5_000, &[1, 2]);
    assert!(fleet.take_started(1).is_empty());
    fleet.advance(6_000, &[1, 2]);
    let started = fleet.take_started(1);
    assert!(started.iter().any(|run| run.task.job == JobId(2)));
}

/// Returns a fleet whose first machine was ordered to go down, and whose worker has come back under the
/// same identifier before the reply to the order arrives.
fn fleet_with_restarted_worker() -> Fleet {
    let mut fleet = fleet();
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
    fleet.connect(3, worker("i-1", 2), complete_report(vec![], vec![]));
    fleet
}

/// Guards against two runs of one task: a late reply to the order, or the reply to its repetition, was
/// taken for the end of the worker that had come back from the maintenance, and its tasks started
/// elsewhere.
#[test]
fn late_reply_does_not_end_the_restarted_worker() {
    for is_repeated in [false, true] {
        let mut fleet = fleet_with_restarted_worker();
        if is_repeated {
            reply_to_order(&mut fleet, "m-1", MaintenanceReply::Unknown);
            fleet.advance(1_000, &[2, 3]);
            assert_eq!(ordered_machines(&fleet), ["m-1", "m-1"]);
        }
        fleet.submit(JOB, rule(2), job(vec![step(40, &[])]));
        fleet.advance(100, &[2, 3]);
        let mut started = fleet.take_started(3);
        let statuses = started.iter().map(|&run| run_status(run)).collect();
        fleet.report(3, complete_report(statuses, vec![]));
        reply_to_order(&mut fleet, "m-1", MaintenanceReply::Begun);
        fleet.advance(1_000, &[2, 3]);
        started.extend(fleet.take_started(3));
        assert!(
            !started.is_empty(),
            "the worker accepts tasks after the reply"
        );
        started.extend(fleet.take_started(2));
        let mut tasks: Vec<_> = started.iter().map(|run| run.task).collect();
        tasks.sort_unstable();
        tasks.dedup();
        assert_eq!(tasks.len(), started.len(), "{started:?}");
    }
}

/// Guards against a wave that stands still, and a machine that counts as down for good, because its
/// worker has come back under the same identifier. Until the machine is listed as up again it counts
/// as down, also if an older list shows it as up.
#[test]
fn machine_whose_worker_keeps_its_identifier_comes_back() {
    for is_reply_late in [false, true] {
        let mut fleet = fleet();
        let restart = |fleet: &mut Fleet| {
            fleet.connect(3, worker("i-1", 2), complete_report(vec![], vec![]));
        };
        if is_reply_late {
            restart(&mut fleet);
        }
        reply_to_order(&mut fleet, "m-1", MaintenanceReply::Begun);
        fleet.step(vec![machine_list(&[("m-2", "i-2")], &["m-1"])]);
        if !is_reply_late {
            restart(&mut fleet);
        }
        fleet.advance(1_500, &[2, 3]);
        assert_eq!(ordered_machines(&fleet), ["m-1"], "{is_reply_late}");
        fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
        fleet.advance(200, &[2, 3]);
        assert_eq!(ordered_machines(&fleet), ["m-1", "m-2"], "{is_reply_late}");
        reply_to_order(&mut fleet, "m-2", MaintenanceReply::Begun);
        fleet.advance(200, &[2, 3]);
        assert!(fleet.wave_statuses[&1]);
    }
}

/// Guards against more machines down than the wave allows: the list that shows the machine as up was
/// requested before its maintenance began.
#[test]
fn earlier_list_does_not_show_that_a_machine_is_back() {
    let mut fleet = fleet_with_restarted_worker();
    fleet.advance(1_100, &[2, 3]);
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::Begun);
    fleet.step(vec![machine_list(&[("m-1", "i-1"), ("m-2", "i-2")], &[])]);
    fleet.advance(300, &[2, 3]);
    assert_eq!(ordered_machines(&fleet), ["m-1"]);
}

/// Guards against tasks that are lost with a machine: its worker has restarted after the order to go
/// down was sent, and accepted tasks although the order may be carried out at any moment.
#[test]
fn restarted_worker_stays_vacated_until_the_reply() {
    let mut fleet = fleet_with_restarted_worker();
    fleet.submit(JOB, rule(2), job(vec![step(40, &[])]));
    fleet.advance(500, &[2, 3]);
    assert!(fleet.take_started(3).is_empty());
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::Gone);
    fleet.advance(1_000, &[2, 3]);
    assert!(!fleet.take_started(3).is_empty());
}

/// Guards against a worker that accepts no tasks for good: its machine is not listed, so that the wave
/// is complete and the order is not repeated.
#[test]
fn restarted_worker_of_a_complete_wave_accepts_tasks() {
    let mut fleet = fleet();
    fleet.step(vec![wave(&["m-1"], 1)]);
    fleet.step(vec![machine_list(&[("m-2", "i-2")], &[])]);
    fleet.advance(100, &[1, 2]);
    assert!(fleet.wave_statuses[&1]);
    reply_to_order(&mut fleet, "m-1", MaintenanceReply::Unknown);
    fleet.connect(3, worker("i-1", 2), complete_report(vec![], vec![]));
    fleet.submit(JOB, rule(2), job(vec![step(40, &[])]));
    fleet.advance(1_000, &[2, 3]);
    assert!(!fleet.take_started(3).is_empty());
}

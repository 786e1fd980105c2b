//! Single faults: crashed and suspended owners, unreachable workers, outages and late messages.

use hyssop_core::{
    Attempt, Class, DomainState, JobCall, JobPhase, JobReply, Millis, Offset, Refusal, WorkerName,
};

use crate::checks::{check, check_no_orphans, finished_jobs};
use crate::fleet::Fleet;
use crate::samples::{batch, doc, job_id, worker_name};

/// Starts a fleet and runs it until all cells have owners.
fn owned(entries: u64, domains: &[&str], workers: usize) -> Fleet {
    let mut fleet = Fleet::new(entries, domains, workers);
    let cells = fleet.cells.clone();
    let ready = fleet.run_until(8_000, |f| cells.iter().all(|c| f.owner(c).is_some()));
    assert!(ready, "cells without owner");
    fleet.run(2_000);
    fleet
}

fn submit(fleet: &mut Fleet, count: usize, work: u64) {
    let cell = fleet.cells[0].clone();
    for n in 0..count {
        let reply = fleet.call_and_wait(&cell, JobCall::Submit(batch(&format!("j{n}"), work)));
        assert!(matches!(reply, JobReply::Status(_)), "{reply:?}");
    }
}

fn finish(fleet: &mut Fleet, count: usize, limit: u64) {
    let done = fleet.run_until(limit, |f| {
        check(f);
        finished_jobs(f).len() == count
    });
    assert!(done, "{} of {count} finished", finished_jobs(fleet).len());
}

fn running(fleet: &Fleet, prefix: &str) -> usize {
    let workers = fleet.workers.iter();
    let own = workers.filter(|(w, _)| w.as_str().starts_with(prefix));
    own.map(|(_, w)| w.tasks.len()).sum()
}

/// Guards against tasks that stop, are lost or run twice when the owner crashes.
#[test]
fn another_entry_takes_over_from_a_crashed_owner() {
    let mut fleet = owned(3, &["a"], 3);
    submit(&mut fleet, 20, 12_000);
    fleet.run(1_000);
    let cell = fleet.cells[0].clone();
    let owner = fleet.owner(&cell).expect("owner");
    fleet.entries[owner].is_running = false;
    let crashed_at = fleet.now;
    assert!(fleet.run_until(5_000, |f| f.owner(&cell).is_some()));
    assert!(fleet.now.since(crashed_at) >= Millis(2_900));
    finish(&mut fleet, 20, 60_000);
    let starts = fleet.workers.values().map(|w| w.starts.len());
    assert_eq!(starts.sum::<usize>(), 20, "a takeover restarts nothing");
}

/// Guards against an owner that acts on outdated state after its process was suspended.
#[test]
fn a_suspended_owner_loses_the_cell_when_it_resumes() {
    let mut fleet = owned(3, &["a"], 3);
    submit(&mut fleet, 20, 8_000);
    let cell = fleet.cells[0].clone();
    let owner = fleet.owner(&cell).expect("owner");
    fleet.entries[owner].is_running = false;
    assert!(fleet.run_until(6_000, |f| f.owner(&cell).is_some()));
    fleet.run(3_000);
    fleet.entries[owner].is_running = true;
    let token = fleet.call_at(owner, &cell, JobCall::Submit(batch("late", 1_000)));
    finish(&mut fleet, 20, 60_000);
    let reply = &fleet.replies[&token];
    assert!(matches!(reply, JobReply::Refused(Refusal::NotOwner(_))));
    let owners = fleet.entries.iter();
    let owners = owners.filter(|e| e.cell_cores[&cell].cell.state().is_some());
    assert_eq!(owners.count(), 1);
}

/// Guards against a second attempt while the first still runs on an unreachable worker.
#[test]
fn attempts_on_an_unreachable_worker_are_lost_after_their_lease() {
    let mut fleet = owned(1, &["a"], 2);
    submit(&mut fleet, 4, 40_000);
    fleet.run(1_500);
    let name = fleet
        .workers
        .iter()
        .find(|(_, w)| !w.tasks.is_empty())
        .map(|(name, _)| name.clone())
        .expect("worker");
    fleet.workers.get_mut(&name).expect("worker").is_unreachable = true;
    let cell = fleet.cells[0].clone();
    let unreachable_at = fleet.now;
    fleet.run(6_000);
    assert!(fleet.is_phase(&cell, "j0", JobPhase::InDoubt));
    let other: Vec<WorkerName> = fleet
        .workers
        .keys()
        .filter(|w| **w != name)
        .cloned()
        .collect();
    let moved = fleet.run_until(20_000, |f| {
        check(f);
        other.iter().any(|w| !f.workers[w].tasks.is_empty())
    });
    assert!(moved);
    let waited = fleet.now.since(unreachable_at);
    assert!(
        waited >= Millis(14_000) && waited <= Millis(19_000),
        "{waited}"
    );
    fleet.workers.get_mut(&name).expect("worker").is_unreachable = false;
    finish(&mut fleet, 4, 90_000);
}

/// Guards against waiting for the leases of attempts that ended with the worker's earlier
/// incarnation.
#[test]
fn attempts_on_a_restarted_worker_are_lost_at_once() {
    let mut fleet = owned(1, &["a"], 1);
    submit(&mut fleet, 4, 10_000);
    assert!(fleet.run_until(3_000, |f| running(f, "a-") == 4));
    let name = worker_name(&fleet.cells[0], 0);
    fleet.workers.get_mut(&name).expect("worker").restart();
    assert!(fleet.run_until(3_000, |f| running(f, "a-") == 4));
    finish(&mut fleet, 4, 30_000);
}

/// Guards against a new owner that marks the attempts on an unreachable worker as lost while the
/// earlier owner may still renew their leases.
#[test]
fn a_new_owner_waits_longer_for_an_unreachable_worker() {
    for (has_recent_start, least, most) in [(false, 22_500, 26_000), (true, 3_616_000, 3_625_000)] {
        let mut fleet = owned(2, &["a"], 2);
        fleet.has_recent_start = has_recent_start;
        submit(&mut fleet, 4, 10_000_000);
        fleet.run(1_500);
        let cell = fleet.cells[0].clone();
        let name = fleet
            .workers
            .iter()
            .find(|(_, w)| !w.tasks.is_empty())
            .map(|(name, _)| name.clone())
            .expect("worker");
        let owner = fleet.owner(&cell).expect("owner");
        fleet.entries[owner].is_running = false;
        fleet.workers.get_mut(&name).expect("worker").is_unreachable = true;
        // One of two entries is no majority, so the crashed entry is removed from the fleet.
        fleet.entries.remove(owner);
        assert!(fleet.run_until(6_000, |f| f.owner(&cell).is_some()));
        let acquired_at = fleet.now;
        let started = |f: &Fleet| {
            let others = f.workers.iter().filter(|(w, _)| **w != name);
            others.map(|(_, w)| w.tasks.len()).sum::<usize>()
        };
        assert!(fleet.run_until(most, |f| started(f) > 0));
        let waited = fleet.now.since(acquired_at);
        assert!(
            waited >= Millis(least),
            "recent start {has_recent_start}: {waited}"
        );
    }
}

/// Guards against a second attempt beside one that still has a lease, on a worker that replied to
/// the new owner once: the earlier owner had renewed the lease shortly before.
#[test]
fn attempts_stay_open_for_a_lease_after_the_only_reply() {
    let mut fleet = owned(2, &["a"], 2);
    submit(&mut fleet, 4, 10_000_000);
    fleet.run(1_500);
    let cell = fleet.cells[0].clone();
    let name = fleet
        .workers
        .iter()
        .find(|(_, w)| !w.tasks.is_empty())
        .map(|(name, _)| name.clone())
        .expect("worker");
    let owner = fleet.owner(&cell).expect("owner");
    fleet.shut_down(owner);
    assert!(fleet.run_until(4_000, |f| f.owner(&cell) == Some(1 - owner)));
    let term = |f: &Fleet| {
        f.entries[1 - owner].cell_cores[&cell]
            .cell
            .state()
            .map(|s| s.term)
    };
    let own_term = term(&fleet).expect("term");
    assert!(fleet.run_until(1_000, |f| f.workers[&name].term() == own_term));
    fleet.run(50);
    let replied_at = fleet.now;
    fleet.workers.get_mut(&name).expect("worker").is_unreachable = true;
    let moved = fleet.run_until(25_000, |f| {
        check(f);
        let others = f.workers.iter().filter(|(w, _)| **w != name);
        others.map(|(_, w)| w.tasks.len()).sum::<usize>() > 0
    });
    assert!(moved);
    assert!(fleet.now.since(replied_at) >= Millis(15_500));
}

/// Guards against starts without a confirmed configuration, and against tasks that stop during an
/// outage of the log.
#[test]
fn running_tasks_survive_an_outage_of_the_log() {
    let mut fleet = owned(3, &["a"], 2);
    submit(&mut fleet, 12, 30_000);
    assert!(fleet.run_until(3_000, |f| running(f, "a-") == 12));
    fleet.is_log_up = false;
    let cell = fleet.cells[0].clone();
    let early = fleet.call(&cell, JobCall::Submit(batch("early", 1_000)));
    fleet.run(6_000);
    assert_eq!(fleet.replies[&early], JobReply::Unknown);
    let late = fleet.call(&cell, JobCall::Submit(batch("late", 1_000)));
    fleet.run(54_000);
    let reply = &fleet.replies[&late];
    assert!(matches!(reply, JobReply::Refused(Refusal::NotOwner(_))));
    let starts = fleet.workers.values().map(|w| w.starts.len());
    assert_eq!(starts.sum::<usize>(), 12);
    fleet.is_log_up = true;
    finish(&mut fleet, 13, 10_000);
}

/// Guards against records that take effect twice when a repeated append stores them twice.
#[test]
fn doubled_records_change_nothing() {
    let mut fleet = owned(1, &["a"], 2);
    fleet.doubles_appends = true;
    submit(&mut fleet, 20, 3_000);
    finish(&mut fleet, 20, 60_000);
    let starts = fleet.workers.values().map(|w| w.starts.len());
    assert_eq!(starts.sum::<usize>(), 20);
}

/// Guards against tasks that stay or start in a domain out of service, and against jobs that are
/// lost or restarted from the beginning when they move to another domain.
#[test]
fn a_domain_out_of_service_is_emptied_and_filled_again() {
    let mut fleet = owned(2, &["a", "b"], 2);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 2));
    submit(&mut fleet, 8, 20_000);
    assert!(fleet.run_until(5_000, |f| running(f, "a-") == 9));
    fleet.run(4_000);
    fleet.set_domain("a", DomainState::Out);
    let emptied = fleet.run_until(6_000, |f| running(f, "a-") == 0);
    assert!(emptied, "{} tasks left", running(&fleet, "a-"));
    assert!(
        fleet.run_until(8_000, |f| running(f, "b-") >= 9),
        "{}",
        running(&fleet, "b-")
    );
    let moved = fleet.workers.values().flat_map(|w| w.tasks.values());
    let moved = moved.filter(|task| task.order.class == Class::Batch);
    assert!(moved.into_iter().all(|task| task.order.checkpoint >= 3_000));
    let cell = fleet.cells[0].clone();
    let state = fleet.entries[0].cell_cores[&cell].cell.state();
    let state = state.or_else(|| fleet.entries[1].cell_cores[&cell].cell.state());
    assert_eq!(state.map(|s| s.summary.evictions.drain), Some(8));
    let reply = fleet.call_and_wait(&cell, JobCall::Show(job_id("j0")));
    assert_eq!(reply, JobReply::Redirect(fleet.cells[1].clone()));
    fleet.set_domain("a", DomainState::In);
    assert!(fleet.run_until(6_000, |f| running(f, "a-") == 1));
    finish(&mut fleet, 8, 60_000);
}

/// Guards against a drain that continues after operators have reversed it.
#[test]
fn a_reversed_drain_keeps_the_domain_in_use() {
    let mut fleet = owned(1, &["a"], 4);
    submit(&mut fleet, 30, 15_000);
    assert!(fleet.run_until(5_000, |f| running(f, "a-") == 30));
    fleet.set_domain("a", DomainState::Out);
    fleet.run(400);
    fleet.set_domain("a", DomainState::In);
    finish(&mut fleet, 30, 60_000);
}

/// Guards against jobs that are missing when a new process starts from a snapshot because the
/// earlier records have expired.
#[test]
fn a_new_process_starts_from_a_snapshot() {
    let mut fleet = owned(1, &["a"], 2);
    submit(&mut fleet, 6, 400_000);
    // A snapshot is due after a quarter of the retention of 60 s.
    fleet.run(40_000);
    let cell = fleet.cells[0].clone();
    let stream = fleet.streams.get_mut(&cell).expect("stream");
    stream.expire();
    assert!(stream.first_kept > 3, "no snapshot");
    fleet.replace_entry(0);
    assert!(fleet.run_until(6_000, |f| f.owner(&cell).is_some()));
    assert!(fleet.entries[0].cell_cores[&cell].cell.next_offset() > Offset(3));
    finish(&mut fleet, 6, 400_000);
    let starts = fleet.workers.values().map(|w| w.starts.len());
    assert_eq!(starts.sum::<usize>(), 6, "nothing is started again");
}

/// Guards against a shutdown that leaves the cell without an owner for the whole heartbeat timeout.
#[test]
fn another_entry_takes_over_at_once_after_a_shutdown() {
    let mut fleet = owned(2, &["a"], 1);
    submit(&mut fleet, 4, 5_000);
    let cell = fleet.cells[0].clone();
    let owner = fleet.owner(&cell).expect("owner");
    fleet.shut_down(owner);
    assert!(fleet.run_until(1_000, |f| f.entries[owner].cell_cores[&cell].is_stopped));
    assert!(fleet.run_until(2_000, |f| f.owner(&cell) == Some(1 - owner)));
    finish(&mut fleet, 4, 30_000);
    let starts = fleet.workers.values().map(|w| w.starts.len());
    assert_eq!(starts.sum::<usize>(), 4);
}

/// Guards against latency-critical instances that are not replaced until a lease expires when their
/// worker is unreachable.
#[test]
fn service_tasks_are_replaced_at_once() {
    let mut fleet = owned(1, &["a"], 4);
    fleet.set_doc(doc("planner", Class::LatencyCritical, 2));
    assert!(fleet.run_until(4_000, |f| running(f, "a-") == 2));
    let workers = fleet.workers.iter_mut();
    let (_, worker) = workers
        .into_iter()
        .find(|(_, w)| !w.tasks.is_empty())
        .expect("worker");
    worker.is_unreachable = true;
    // The unreachable worker still runs its task; with the replacement there are three.
    assert!(fleet.run_until(6_000, |f| running(f, "a-") == 3));
    for worker in fleet.workers.values_mut() {
        worker.is_unreachable = false;
    }
    assert!(fleet.run_until(4_000, |f| running(f, "a-") == 2));
}

/// Guards against orders that are never sent again after a lost message, or that take effect twice.
#[test]
fn orders_survive_lost_messages() {
    let mut fleet = owned(1, &["a"], 2);
    submit(&mut fleet, 10, 3_000);
    for _ in 0..10 {
        fleet.messages_to_drop = 3;
        fleet.run(700);
        check(&fleet);
    }
    fleet.messages_to_drop = 0;
    finish(&mut fleet, 10, 60_000);
}

/// Guards against a second attempt when a start order arrives late, after an inventory without its
/// task.
#[test]
fn late_start_orders_make_no_second_attempt() {
    let mut fleet = Fleet::new(1, &["a"], 2);
    // Short enough that an inventory arrives before a late order whose timestamp is still valid.
    fleet.poll_interval = Millis(100);
    fleet.replace_entry(0);
    let cell = fleet.cells[0].clone();
    assert!(fleet.run_until(8_000, |f| f.owner(&cell).is_some()));
    fleet.run(2_000);
    for n in 0..24 {
        let spec = batch(&format!("j{n}"), 4_000);
        fleet.call(&cell, JobCall::Submit(spec));
        for step in 0..n + 4 {
            if step == n {
                fleet.polls_to_delay = 2;
            }
            fleet.step();
            check_no_orphans(&fleet);
        }
        // Cancels the pending start orders.
        fleet.set_domain("a", DomainState::Out);
        for _ in 0..16 {
            fleet.step();
            check_no_orphans(&fleet);
        }
        fleet.polls_to_delay = 0;
        fleet.set_domain("a", DomainState::In);
        for _ in 0..30 {
            fleet.step();
            check_no_orphans(&fleet);
        }
    }
    finish(&mut fleet, 24, 120_000);
}

/// Guards against a job that cannot return to a cell that it has left, and against a late copy of
/// an earlier transfer that creates a second job.
#[test]
fn a_job_moves_back_and_late_transfers_change_nothing() {
    let mut fleet = owned(1, &["a", "b"], 1);
    let cells = fleet.cells.clone();
    let spec = batch("j", 30_000);
    fleet.call_and_wait(&cells[0], JobCall::Submit(spec.clone()));
    fleet.set_domain("a", DomainState::Out);
    assert!(fleet.run_until(10_000, |f| running(f, "b-") == 1));
    fleet.set_domain("a", DomainState::In);
    fleet.run(500);
    fleet.set_domain("b", DomainState::Out);
    assert!(fleet.run_until(10_000, |f| running(f, "a-") == 1));
    fleet.set_domain("b", DomainState::In);
    let late = JobCall::Transfer {
        spec,
        attempt: Attempt(1),
        checkpoint: 0,
    };
    let reply = fleet.call_and_wait(&cells[1], late);
    let JobReply::Status(status) = reply else {
        panic!("{reply:?}");
    };
    assert_eq!(status.phase, JobPhase::Moved);
    finish(&mut fleet, 1, 60_000);
    fleet.run(2_000);
    assert_eq!(running(&fleet, "b-"), 0);
}

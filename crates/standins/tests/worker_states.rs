//! Tests of the worker's fencing, stamps, leases, room and events, without sockets.

use hyssop_core::limits::{ORDER_TTL, TASK_LEASE};
use hyssop_core::{
    Attempt, Class, EntryName, EventKind, Fenced, Incarnation, JobId, Millis, Order, OrderReject,
    PollReply, PollRequest, RackName, Renewal, Resources, ServiceName, StartOrder, Term,
    WorkerName, WorkerTimestamp,
};
use hyssop_standins::{TaskChange, WorkerFaults, WorkerOptions, WorkerState};
use proptest::prelude::*;

const LIFE: Incarnation = Incarnation(11);

fn options() -> WorkerOptions {
    let name = WorkerName::new("w-1").unwrap();
    let rack = RackName::new("r-1").unwrap();
    WorkerOptions::new(name, rack, Resources::new(4_000, 1_000, 1))
}

fn worker() -> WorkerState {
    WorkerState::new(options(), LIFE)
}

fn job(name: &str) -> JobId {
    JobId::new(name).unwrap()
}

fn start(name: &str, attempt: u32) -> StartOrder {
    StartOrder {
        job: job(name),
        attempt: Attempt(attempt),
        service: ServiceName::new("cut-list").unwrap(),
        class: Class::Batch,
        needs: Resources::new(1_000, 100, 0),
        work: Millis(60_000),
        checkpoint: 0,
        payload: String::new(),
    }
}

fn critical(name: &str) -> StartOrder {
    StartOrder {
        class: Class::LatencyCritical,
        work: Millis(0),
        ..start(name, 1)
    }
}

fn stamp(at: u64) -> Option<WorkerTimestamp> {
    Some(WorkerTimestamp {
        incarnation: LIFE,
        at: Millis(at),
    })
}

fn poll(term: u64, stamp: Option<WorkerTimestamp>, orders: Vec<Order>) -> PollRequest {
    PollRequest {
        term: Term(term),
        owner: EntryName::new("entry-1").unwrap(),
        timestamp: stamp,
        renewal: Renewal::All,
        wants_inventory: false,
        acked_seq: 0,
        orders,
    }
}

/// Polls with a stamp taken at the same time.
fn order(worker: &mut WorkerState, now: u64, order: Order) -> PollReply {
    let request = poll(1, stamp(now), vec![order]);
    worker.handle_poll(Millis(now), &request).unwrap()
}

fn rejects(reply: &PollReply) -> Vec<OrderReject> {
    reply.rejected.iter().map(|(_, reject)| *reject).collect()
}

fn kinds(reply: &PollReply) -> Vec<EventKind> {
    reply.events.iter().map(|e| e.kind.clone()).collect()
}

fn changes(worker: &WorkerState) -> Vec<(TaskChange, Millis)> {
    let entries = worker.ledger(Millis(0)).entries;
    entries.iter().map(|e| (e.change, e.at)).collect()
}

/// Guards against orders of a deposed owner taking effect.
#[test]
fn a_lower_term_is_fenced_and_changes_nothing() {
    let mut worker = worker();
    worker
        .handle_poll(Millis(0), &poll(5, None, Vec::new()))
        .unwrap();
    let late = poll(4, stamp(0), vec![Order::Start(start("a", 1))]);
    assert_eq!(
        worker.handle_poll(Millis(1), &late),
        Err(Fenced { term: Term(5) })
    );
    assert!(worker.running().is_empty());
}

/// Guards against a deposed owner that keeps its tasks alive.
#[test]
fn a_lower_term_renews_no_lease() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(start("a", 1)));
    worker
        .handle_poll(Millis(10), &poll(2, None, Vec::new()))
        .unwrap();
    let late = poll(1, stamp(10), Vec::new());
    worker.handle_poll(Millis(20), &late).unwrap_err();
    worker.advance(TASK_LEASE);
    assert!(worker.running().is_empty());
}

/// Guards against a new owner that does not learn what runs.
#[test]
fn a_new_term_gets_the_inventory() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(start("a", 1)));
    let reply = worker.handle_poll(Millis(1), &poll(1, stamp(0), Vec::new()));
    assert_eq!(reply.unwrap().inventory, None);
    let reply = worker
        .handle_poll(Millis(2), &poll(2, None, Vec::new()))
        .unwrap();
    let inventory = reply.inventory.unwrap();
    assert_eq!(inventory.len(), 1);
    assert_eq!(inventory[0].job, job("a"));
    let mut full = poll(2, None, Vec::new());
    full.wants_inventory = true;
    let reply = worker.handle_poll(Millis(3), &full).unwrap();
    assert!(reply.inventory.is_some());
}

/// Guards against delayed orders, orders to an earlier life, and orders without a stamp.
#[test]
fn orders_need_a_fresh_stamp_of_this_life() {
    let ttl = ORDER_TTL.0;
    let other = Some(WorkerTimestamp {
        incarnation: Incarnation(12),
        at: Millis(5_000),
    });
    let cases = [
        (None, true),
        (other, true),
        (stamp(5_000 - ttl - 1), true),
        (stamp(5_001), true),
        (stamp(5_000 - ttl), false),
        (stamp(5_000), false),
    ];
    for (stamp, refused) in cases {
        let mut worker = worker();
        worker.advance(Millis(5_000));
        let request = poll(1, stamp, vec![Order::Start(start("a", 1))]);
        let reply = worker.handle_poll(Millis(5_000), &request).unwrap();
        let stale = rejects(&reply) == [OrderReject::StaleTimestamp];
        assert_eq!(stale, refused, "{stamp:?}");
        assert_eq!(worker.running().is_empty(), refused, "{stamp:?}");
    }
}

/// Guards against a lease counted from the receipt of a late renewal.
#[test]
fn a_lease_ends_counted_from_the_stamp() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(start("a", 1)));
    let renewal = poll(1, stamp(400), Vec::new());
    worker.handle_poll(Millis(1_300), &renewal).unwrap();
    let end = Millis(400) + TASK_LEASE;
    worker.advance(end - Millis(1));
    assert_eq!(worker.running().len(), 1);
    worker.advance(Millis(60_000));
    assert_eq!(changes(&worker)[1], (TaskChange::Lapsed, end));
    let reply = worker.handle_poll(Millis(60_000), &poll(1, None, Vec::new()));
    let checkpoint = end.0;
    assert_eq!(kinds(&reply.unwrap())[1], EventKind::Evicted { checkpoint });
}

/// Guards against renewals that come after the lease has ended, and against stale renewals.
#[test]
fn a_late_renewal_extends_nothing() {
    let mut lapsed = worker();
    order(&mut lapsed, 0, Order::Start(start("a", 1)));
    let now = TASK_LEASE.0 + 10;
    let renewal = poll(1, stamp(now - 5), Vec::new());
    lapsed.handle_poll(Millis(now), &renewal).unwrap();
    assert!(lapsed.running().is_empty());

    // An old stamp counts in full, but the lease ends a lease after the stamp, not after receipt.
    let mut stale = worker();
    order(&mut stale, 0, Order::Start(start("a", 1)));
    let renewal = poll(1, stamp(10_000), Vec::new());
    let late = Millis(10_000) + ORDER_TTL + Millis(1);
    stale.handle_poll(late, &renewal).unwrap();
    stale.advance(Millis(10_000) + TASK_LEASE - Millis(1));
    assert_eq!(stale.running().len(), 1);
    stale.advance(Millis(10_000) + TASK_LEASE);
    assert!(stale.running().is_empty());
}

/// Guards against batch tasks kept alive by an owner that has been without the log for too long.
#[test]
fn a_critical_renewal_spares_only_critical_tasks() {
    let mut worker = worker();
    let orders = vec![
        Order::Start(start("batch", 1)),
        Order::Start(critical("planner")),
    ];
    worker
        .handle_poll(Millis(0), &poll(1, stamp(0), orders))
        .unwrap();
    let mut renewal = poll(1, stamp(14_000), Vec::new());
    renewal.renewal = Renewal::Critical;
    worker.handle_poll(Millis(14_000), &renewal).unwrap();
    worker.advance(TASK_LEASE);
    let running = worker.running();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].job, job("planner"));
    renewal.timestamp = stamp(15_500);
    renewal.renewal = Renewal::Nothing;
    worker.handle_poll(Millis(15_500), &renewal).unwrap();
    worker.advance(Millis(14_000) + TASK_LEASE);
    assert!(worker.running().is_empty());
}

/// Guards against an attempt that runs twice.
#[test]
fn an_attempt_runs_only_if_its_number_is_new() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(start("a", 2)));
    for attempt in [1, 2] {
        let reply = order(&mut worker, 1, Order::Start(start("a", attempt)));
        assert_eq!(rejects(&reply), [OrderReject::OldAttempt]);
    }
    let stop = Order::Stop {
        job: job("a"),
        attempt: Attempt(2),
    };
    order(&mut worker, 2, stop);
    let reply = order(&mut worker, 3, Order::Start(start("a", 2)));
    assert_eq!(rejects(&reply), [OrderReject::OldAttempt]);
    let reply = order(&mut worker, 4, Order::Start(start("a", 3)));
    assert!(reply.rejected.is_empty());
}

/// Guards against two attempts of one job side by side on one worker.
#[test]
fn a_later_attempt_replaces_the_earlier_one() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(start("a", 1)));
    order(&mut worker, 1, Order::Start(start("a", 2)));
    let running = worker.running();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].attempt, Attempt(2));
    assert_eq!(changes(&worker)[1].0, TaskChange::Stopped);
}

/// Guards against memory that grows with every job ever run, and against forgetting a job that
/// still runs.
#[test]
fn ended_jobs_are_forgotten_beyond_the_bound() {
    let mut worker = WorkerState::new(options().with_max_remembered_jobs(2), LIFE);
    order(&mut worker, 0, Order::Start(start("runs", 1)));
    for name in ["a", "b", "c"] {
        order(&mut worker, 1, Order::Start(start(name, 1)));
        let stop = Order::Stop {
            job: job(name),
            attempt: Attempt(1),
        };
        order(&mut worker, 1, stop);
    }
    let reply = order(&mut worker, 2, Order::Start(start("runs", 1)));
    assert_eq!(rejects(&reply), [OrderReject::OldAttempt]);
    let reply = order(&mut worker, 2, Order::Start(start("c", 1)));
    assert_eq!(rejects(&reply), [OrderReject::OldAttempt]);
    let reply = order(&mut worker, 2, Order::Start(start("a", 1)));
    assert!(reply.rejected.is_empty());
}

/// Guards against promises above the capacity in any resource.
#[test]
fn a_start_that_does_not_fit_is_refused() {
    let cases = [
        Resources::new(3_001, 1, 0),
        Resources::new(1, 901, 0),
        Resources::new(1, 1, 2),
        Resources::new(u32::MAX, 1, 0),
    ];
    for needs in cases {
        let mut worker = worker();
        order(&mut worker, 0, Order::Start(start("a", 1)));
        let large = StartOrder {
            needs,
            ..start("b", 1)
        };
        let reply = order(&mut worker, 0, Order::Start(large));
        assert_eq!(rejects(&reply), [OrderReject::NoCapacity], "{needs:?}");
        // A refused attempt has not run, so that its number stays usable.
        let reply = order(&mut worker, 0, Order::Start(start("b", 1)));
        assert!(reply.rejected.is_empty());
    }
}

/// Guards against events lost before they are settled, and against acknowledgements of an
/// earlier life's events.
#[test]
fn events_are_repeated_until_acknowledged_by_this_life() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(start("a", 1)));
    let mut request = poll(1, stamp(0), Vec::new());
    for _ in 0..2 {
        let reply = worker.handle_poll(Millis(1), &request).unwrap();
        assert_eq!(kinds(&reply), [EventKind::Started]);
    }
    request.acked_seq = 100;
    request.timestamp = Some(WorkerTimestamp {
        incarnation: Incarnation(10),
        at: Millis(0),
    });
    let reply = worker.handle_poll(Millis(2), &request).unwrap();
    assert_eq!(reply.events.len(), 1);
    request.acked_seq = 1;
    request.timestamp = stamp(2);
    let reply = worker.handle_poll(Millis(3), &request).unwrap();
    assert!(reply.events.is_empty());
}

/// Guards against work lost or repeated by an eviction.
#[test]
fn an_evicted_task_resumes_from_its_checkpoint() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(start("a", 1)));
    let evict = Order::Evict {
        job: job("a"),
        attempt: Attempt(1),
    };
    let reply = order(&mut worker, 10_000, evict);
    let checkpoint = 10_000;
    assert_eq!(kinds(&reply)[1], EventKind::Evicted { checkpoint });
    let next = StartOrder {
        checkpoint,
        work: Millis(20_000),
        ..start("a", 2)
    };
    order(&mut worker, 10_000, Order::Start(next));
    worker.advance(Millis(20_000));
    let finished = changes(&worker)[3];
    assert_eq!(finished, (TaskChange::Finished, Millis(20_000)));
    let reply = worker.handle_poll(Millis(20_000), &poll(1, None, Vec::new()));
    let result = "cut-list:a:2".to_owned();
    assert_eq!(kinds(&reply.unwrap())[3], EventKind::Finished { result });
}

/// Guards against orders that hit another attempt than the one meant.
#[test]
fn orders_for_another_attempt_are_refused() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(start("a", 2)));
    let (job, attempt) = (job("a"), Attempt(1));
    let orders = vec![
        Order::Evict {
            job: job.clone(),
            attempt,
        },
        Order::Stop {
            job: job.clone(),
            attempt,
        },
        Order::Throttle {
            job,
            attempt,
            percent: 10,
        },
    ];
    let reply = worker
        .handle_poll(Millis(0), &poll(1, stamp(0), orders))
        .unwrap();
    assert_eq!(rejects(&reply), [OrderReject::NoTask; 3]);
    assert_eq!(worker.running().len(), 1);
}

/// Guards against a throttle or a speed that changes nothing.
#[test]
fn throttle_and_speed_stretch_the_work() {
    let mut worker = worker();
    let short = StartOrder {
        work: Millis(3_000),
        ..start("a", 1)
    };
    order(&mut worker, 0, Order::Start(short));
    let throttle = Order::Throttle {
        job: job("a"),
        attempt: Attempt(1),
        percent: 50,
    };
    order(&mut worker, 1_000, throttle);
    worker.set_faults(
        Millis(2_000),
        WorkerFaults::default().with_speed_percent(50),
    );
    worker.advance(Millis(10_000));
    // 1,000 ms at full, 1,000 ms at half and 6,000 ms at a quarter of the speed.
    assert_eq!(changes(&worker)[1], (TaskChange::Finished, Millis(8_000)));
}

/// Guards against measurements that are not delayed, and against reports that say nothing new.
#[test]
fn usage_comes_late_and_only_when_it_changes() {
    let mut worker = WorkerState::new(options().with_report_delay(Millis(2_000)), LIFE);
    let noisy = StartOrder {
        payload: r#"{"used": 150, "noise": 40}"#.to_owned(),
        ..start("noisy", 1)
    };
    order(&mut worker, 0, Order::Start(critical("planner")));
    order(&mut worker, 0, Order::Start(noisy));
    let mut usage = Vec::new();
    for now in (0..=4_000).step_by(500) {
        let request = poll(1, stamp(now), Vec::new());
        let reply = worker.handle_poll(Millis(now), &request).unwrap();
        usage.extend(reply.usage.into_iter().map(|usage| (now, usage)));
    }
    assert_eq!(usage.len(), 2);
    for (now, usage) in &usage {
        assert_eq!(*now, 2_500);
        assert_eq!(usage.sample_age, Millis(2_000));
    }
    let (noisy, planner) = (&usage[0].1, &usage[1].1);
    assert_eq!(noisy.used.cpu, 1_500);
    assert_eq!((planner.slowdown, noisy.slowdown), (140, 100));
}

/// Guards against a bad worker that reports no failures.
#[test]
fn a_failing_worker_fails_every_start() {
    let faults = WorkerFaults::default().with_failing_tasks();
    let mut worker = WorkerState::new(options().with_faults(faults), LIFE);
    let reply = order(&mut worker, 0, Order::Start(start("a", 1)));
    assert!(matches!(kinds(&reply)[1], EventKind::Failed { .. }));
    assert!(worker.running().is_empty());
}

/// Guards against a standing task that ends by itself.
#[test]
fn a_task_without_work_never_finishes() {
    let mut worker = worker();
    order(&mut worker, 0, Order::Start(critical("planner")));
    for now in (0..3_600_000).step_by(10_000) {
        let renewal = poll(1, stamp(now), Vec::new());
        worker.handle_poll(Millis(now), &renewal).unwrap();
    }
    assert_eq!(worker.running().len(), 1);
}

proptest! {
    /// Guards against results that depend on how often the clock is looked at.
    #[test]
    fn steps_of_time_do_not_change_the_outcome(
        cuts in prop::collection::vec(1_u64..20_000, 0..20),
        works in prop::collection::vec(1_u64..20_000, 1..6),
    ) {
        let run = |times: &[u64]| {
            let mut worker = worker();
            for (i, work) in works.iter().enumerate() {
                let task = StartOrder {
                    work: Millis(*work),
                    needs: Resources::new(500, 100, 0),
                    payload: r#"{"used": 200, "noise": 0}"#.to_owned(),
                    ..start(&format!("j-{i}"), 1)
                };
                order(&mut worker, 0, Order::Start(task));
            }
            times.iter().for_each(|at| worker.advance(Millis(*at)));
            worker.advance(Millis(20_000));
            changes(&worker)
        };
        let mut cuts = cuts;
        cuts.sort_unstable();
        let whole = run(&[]);
        let cut = run(&cuts);
        prop_assert_eq!(whole.len(), cut.len());
        for (a, b) in whole.iter().zip(&cut) {
            prop_assert_eq!(a, b);
        }
    }

    /// Guards against promises above the capacity and two attempts of a job at once, whatever
    /// two owners with current and old terms order.
    #[test]
    fn promises_never_exceed_the_capacity(
        polls in prop::collection::vec((0_u64..3, 0_u64..5, 0_u32..5, 1_u32..4, 0_u64..3_000, 0_u64..1_500), 1..80),
    ) {
        let mut worker = worker();
        let mut now = 0;
        for (term, name, attempt, size, passed, age) in polls {
            now += passed;
            let task = StartOrder {
                needs: Resources::new(size * 700, size * 150, 0),
                ..start(&format!("j-{name}"), attempt)
            };
            let stamp = stamp(now.saturating_sub(age));
            let request = poll(term, stamp, vec![Order::Start(task)]);
            // Fenced and refused orders are part of the test.
            let _fenced = worker.handle_poll(Millis(now), &request);
            prop_assert!(worker.allocated().fits(Resources::new(4_000, 1_000, 1)));
        }
        let mut open = std::collections::BTreeMap::new();
        for entry in worker.ledger(Millis(0)).entries {
            if entry.change == TaskChange::Started {
                prop_assert_eq!(open.insert(entry.job, entry.attempt), None);
            } else {
                prop_assert_eq!(open.remove(&entry.job), Some(entry.attempt));
            }
        }
    }
}

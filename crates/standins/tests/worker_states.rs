//! Tests of the worker's fencing, timestamps, leases, capacity checks and events, without sockets.

use hyssop_core::limits::{ORDER_TTL, TASK_LEASE};
use hyssop_core::{
    Attempt, Class, EntryName, EventKind, Fenced, Incarnation, JobId, Millis, Order, OrderReject,
    PollReply, PollRequest, RackName, Renewal, Resources, ServiceName, StartOrder, Term,
    WorkerName, WorkerTimestamp,
};
use hyssop_standins::{TaskChange, WorkerFaults, WorkerOptions, WorkerState};
use proptest::prelude::*;

const INCARNATION: Incarnation = Incarnation(11);

fn options() -> WorkerOptions {
    let name = WorkerName::new("w-1").unwrap();
    let rack = RackName::new("r-1").unwrap();
    WorkerOptions::new(name, rack, Resources::new(4_000, 1_000, 1))
}

fn new_worker() -> WorkerState {
    WorkerState::new(options(), INCARNATION)
}

fn job(name: &str) -> JobId {
    JobId::new(name).unwrap()
}

fn batch_start(name: &str, attempt: u32) -> StartOrder {
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

fn critical_start(name: &str) -> StartOrder {
    StartOrder {
        class: Class::LatencyCritical,
        work: Millis(0),
        ..batch_start(name, 1)
    }
}

fn timestamp(at: u64) -> Option<WorkerTimestamp> {
    Some(WorkerTimestamp {
        incarnation: INCARNATION,
        at: Millis(at),
    })
}

fn poll_request(term: u64, timestamp: Option<WorkerTimestamp>, orders: Vec<Order>) -> PollRequest {
    PollRequest {
        term: Term(term),
        owner: EntryName::new("entry-1").unwrap(),
        timestamp,
        renewal: Renewal::All,
        wants_inventory: false,
        acked_seq: 0,
        orders,
    }
}

/// Sends one order in a poll of term 1 with a current timestamp.
fn send_order(worker: &mut WorkerState, now: u64, order: Order) -> PollReply {
    let request = poll_request(1, timestamp(now), vec![order]);
    worker.handle_poll(Millis(now), &request).unwrap()
}

fn rejections(reply: &PollReply) -> Vec<OrderReject> {
    reply.rejected.iter().map(|(_, reject)| *reject).collect()
}

fn event_kinds(reply: &PollReply) -> Vec<EventKind> {
    reply.events.iter().map(|e| e.kind.clone()).collect()
}

fn task_changes(worker: &WorkerState) -> Vec<(TaskChange, Millis)> {
    let entries = worker.ledger(Millis(0)).entries;
    entries.iter().map(|e| (e.change, e.at)).collect()
}

/// Guards against orders of a former owner that take effect.
#[test]
fn a_lower_term_is_fenced_and_changes_nothing() {
    let mut worker = new_worker();
    worker
        .handle_poll(Millis(0), &poll_request(5, None, Vec::new()))
        .unwrap();
    let late = poll_request(4, timestamp(0), vec![Order::Start(batch_start("a", 1))]);
    assert_eq!(
        worker.handle_poll(Millis(1), &late),
        Err(Fenced { term: Term(5) })
    );
    assert!(worker.running().is_empty());
}

/// Guards against a former owner that renews the leases of its tasks.
#[test]
fn a_lower_term_renews_no_lease() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(batch_start("a", 1)));
    worker
        .handle_poll(Millis(10), &poll_request(2, None, Vec::new()))
        .unwrap();
    let late = poll_request(1, timestamp(10), Vec::new());
    worker.handle_poll(Millis(20), &late).unwrap_err();
    worker.advance(TASK_LEASE);
    assert!(worker.running().is_empty());
}

/// Guards against a new owner that does not learn which tasks are running.
#[test]
fn a_new_term_gets_the_inventory() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(batch_start("a", 1)));
    let reply = worker.handle_poll(Millis(1), &poll_request(1, timestamp(0), Vec::new()));
    assert_eq!(reply.unwrap().inventory, None);
    let reply = worker
        .handle_poll(Millis(2), &poll_request(2, None, Vec::new()))
        .unwrap();
    let inventory = reply.inventory.unwrap();
    assert_eq!(inventory.len(), 1);
    assert_eq!(inventory[0].job, job("a"));
    let mut full = poll_request(2, None, Vec::new());
    full.wants_inventory = true;
    let reply = worker.handle_poll(Millis(3), &full).unwrap();
    assert!(reply.inventory.is_some());
}

/// Guards against delayed orders, orders to an earlier incarnation, and orders without a timestamp.
#[test]
fn orders_need_a_fresh_timestamp_of_this_incarnation() {
    let ttl = ORDER_TTL.0;
    let other = Some(WorkerTimestamp {
        incarnation: Incarnation(12),
        at: Millis(5_000),
    });
    let cases = [
        (None, true),
        (other, true),
        (timestamp(5_000 - ttl - 1), true),
        (timestamp(5_001), true),
        (timestamp(5_000 - ttl), false),
        (timestamp(5_000), false),
    ];
    for (timestamp, is_refused) in cases {
        let mut worker = new_worker();
        worker.advance(Millis(5_000));
        let request = poll_request(1, timestamp, vec![Order::Start(batch_start("a", 1))]);
        let reply = worker.handle_poll(Millis(5_000), &request).unwrap();
        let is_stale = rejections(&reply) == [OrderReject::StaleTimestamp];
        assert_eq!(is_stale, is_refused, "{timestamp:?}");
        assert_eq!(worker.running().is_empty(), is_refused, "{timestamp:?}");
    }
}

/// Guards against a lease that starts when a delayed renewal is received.
#[test]
fn a_lease_starts_at_the_timestamp() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(batch_start("a", 1)));
    let renewal = poll_request(1, timestamp(400), Vec::new());
    worker.handle_poll(Millis(1_300), &renewal).unwrap();
    let end = Millis(400) + TASK_LEASE;
    worker.advance(end - Millis(1));
    assert_eq!(worker.running().len(), 1);
    worker.advance(Millis(60_000));
    assert_eq!(task_changes(&worker)[1], (TaskChange::Lapsed, end));
    let reply = worker.handle_poll(Millis(60_000), &poll_request(1, None, Vec::new()));
    let checkpoint = end.0;
    assert_eq!(
        event_kinds(&reply.unwrap())[1],
        EventKind::Evicted { checkpoint }
    );
}

/// Guards against a renewal that revives a task after its lease has expired, and against a delayed
/// renewal that prolongs the lease.
#[test]
fn a_late_renewal_does_not_prolong_a_lease() {
    let mut expired = new_worker();
    send_order(&mut expired, 0, Order::Start(batch_start("a", 1)));
    let now = TASK_LEASE.0 + 10;
    let renewal = poll_request(1, timestamp(now - 5), Vec::new());
    expired.handle_poll(Millis(now), &renewal).unwrap();
    assert!(expired.running().is_empty());

    // A renewal with an old timestamp is valid, but its lease starts at the timestamp, not on
    // receipt.
    let mut delayed = new_worker();
    send_order(&mut delayed, 0, Order::Start(batch_start("a", 1)));
    let renewal = poll_request(1, timestamp(10_000), Vec::new());
    let late = Millis(10_000) + ORDER_TTL + Millis(1);
    delayed.handle_poll(late, &renewal).unwrap();
    delayed.advance(Millis(10_000) + TASK_LEASE - Millis(1));
    assert_eq!(delayed.running().len(), 1);
    delayed.advance(Millis(10_000) + TASK_LEASE);
    assert!(delayed.running().is_empty());
}

/// Guards against batch tasks that stay alive under an owner that has lost the log for too long.
#[test]
fn a_critical_renewal_renews_only_critical_tasks() {
    let mut worker = new_worker();
    let orders = vec![
        Order::Start(batch_start("batch", 1)),
        Order::Start(critical_start("planner")),
    ];
    worker
        .handle_poll(Millis(0), &poll_request(1, timestamp(0), orders))
        .unwrap();
    let mut renewal = poll_request(1, timestamp(14_000), Vec::new());
    renewal.renewal = Renewal::Critical;
    worker.handle_poll(Millis(14_000), &renewal).unwrap();
    worker.advance(TASK_LEASE);
    let running = worker.running();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].job, job("planner"));
    renewal.timestamp = timestamp(15_500);
    renewal.renewal = Renewal::Nothing;
    worker.handle_poll(Millis(15_500), &renewal).unwrap();
    worker.advance(Millis(14_000) + TASK_LEASE);
    assert!(worker.running().is_empty());
}

/// Guards against an attempt that runs twice.
#[test]
fn an_attempt_runs_only_if_its_number_is_new() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(batch_start("a", 2)));
    for attempt in [1, 2] {
        let reply = send_order(&mut worker, 1, Order::Start(batch_start("a", attempt)));
        assert_eq!(rejections(&reply), [OrderReject::OldAttempt]);
    }
    let stop = Order::Stop {
        job: job("a"),
        attempt: Attempt(2),
    };
    send_order(&mut worker, 2, stop);
    let reply = send_order(&mut worker, 3, Order::Start(batch_start("a", 2)));
    assert_eq!(rejections(&reply), [OrderReject::OldAttempt]);
    let reply = send_order(&mut worker, 4, Order::Start(batch_start("a", 3)));
    assert!(reply.rejected.is_empty());
}

/// Guards against two attempts of one job that run on one worker at the same time.
#[test]
fn a_later_attempt_replaces_the_earlier_one() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(batch_start("a", 1)));
    send_order(&mut worker, 1, Order::Start(batch_start("a", 2)));
    let running = worker.running();
    assert_eq!(running.len(), 1);
    assert_eq!(running[0].attempt, Attempt(2));
    assert_eq!(task_changes(&worker)[1].0, TaskChange::Stopped);
}

/// Guards against memory that grows with each job ever run, and against a running job whose attempt
/// is forgotten.
#[test]
fn attempts_of_ended_jobs_are_forgotten_beyond_the_limit() {
    let mut worker = WorkerState::new(options().with_max_remembered_jobs(2), INCARNATION);
    send_order(&mut worker, 0, Order::Start(batch_start("runs", 1)));
    for name in ["a", "b", "c"] {
        send_order(&mut worker, 1, Order::Start(batch_start(name, 1)));
        let stop = Order::Stop {
            job: job(name),
            attempt: Attempt(1),
        };
        send_order(&mut worker, 1, stop);
    }
    let reply = send_order(&mut worker, 2, Order::Start(batch_start("runs", 1)));
    assert_eq!(rejections(&reply), [OrderReject::OldAttempt]);
    let reply = send_order(&mut worker, 2, Order::Start(batch_start("c", 1)));
    assert_eq!(rejections(&reply), [OrderReject::OldAttempt]);
    let reply = send_order(&mut worker, 2, Order::Start(batch_start("a", 1)));
    assert!(reply.rejected.is_empty());
}

/// Guards against allocations above the capacity in any resource.
#[test]
fn a_start_that_does_not_fit_is_refused() {
    let cases = [
        Resources::new(3_001, 1, 0),
        Resources::new(1, 901, 0),
        Resources::new(1, 1, 2),
        Resources::new(u32::MAX, 1, 0),
    ];
    for needs in cases {
        let mut worker = new_worker();
        send_order(&mut worker, 0, Order::Start(batch_start("a", 1)));
        let large = StartOrder {
            needs,
            ..batch_start("b", 1)
        };
        let reply = send_order(&mut worker, 0, Order::Start(large));
        assert_eq!(rejections(&reply), [OrderReject::NoCapacity], "{needs:?}");
        // A refused attempt has not run, so its number can still be used.
        let reply = send_order(&mut worker, 0, Order::Start(batch_start("b", 1)));
        assert!(reply.rejected.is_empty());
    }
}

/// Guards against events that are removed before the owner has committed them, and against
/// acknowledgements for an earlier incarnation.
#[test]
fn events_are_repeated_until_acknowledged_for_this_incarnation() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(batch_start("a", 1)));
    let mut request = poll_request(1, timestamp(0), Vec::new());
    for _ in 0..2 {
        let reply = worker.handle_poll(Millis(1), &request).unwrap();
        assert_eq!(event_kinds(&reply), [EventKind::Started]);
    }
    request.acked_seq = 100;
    request.timestamp = Some(WorkerTimestamp {
        incarnation: Incarnation(10),
        at: Millis(0),
    });
    let reply = worker.handle_poll(Millis(2), &request).unwrap();
    assert_eq!(reply.events.len(), 1);
    request.acked_seq = 1;
    request.timestamp = timestamp(2);
    let reply = worker.handle_poll(Millis(3), &request).unwrap();
    assert!(reply.events.is_empty());
}

/// Guards against work that is lost or repeated after an eviction.
#[test]
fn an_evicted_task_resumes_from_its_checkpoint() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(batch_start("a", 1)));
    let evict = Order::Evict {
        job: job("a"),
        attempt: Attempt(1),
    };
    let reply = send_order(&mut worker, 10_000, evict);
    let checkpoint = 10_000;
    assert_eq!(event_kinds(&reply)[1], EventKind::Evicted { checkpoint });
    let next = StartOrder {
        checkpoint,
        work: Millis(20_000),
        ..batch_start("a", 2)
    };
    send_order(&mut worker, 10_000, Order::Start(next));
    worker.advance(Millis(20_000));
    let finished = task_changes(&worker)[3];
    assert_eq!(finished, (TaskChange::Finished, Millis(20_000)));
    let reply = worker.handle_poll(Millis(20_000), &poll_request(1, None, Vec::new()));
    let result = "cut-list:a:2".to_owned();
    assert_eq!(
        event_kinds(&reply.unwrap())[3],
        EventKind::Finished { result }
    );
}

/// Guards against orders that are applied to another attempt of the job.
#[test]
fn orders_for_another_attempt_are_refused() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(batch_start("a", 2)));
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
        .handle_poll(Millis(0), &poll_request(1, timestamp(0), orders))
        .unwrap();
    assert_eq!(rejections(&reply), [OrderReject::NoTask; 3]);
    assert_eq!(worker.running().len(), 1);
}

/// Guards against a throttle or a speed that has no effect on the run time.
#[test]
fn throttle_and_speed_prolong_the_run_time() {
    let mut worker = new_worker();
    let short = StartOrder {
        work: Millis(3_000),
        ..batch_start("a", 1)
    };
    send_order(&mut worker, 0, Order::Start(short));
    let throttle = Order::Throttle {
        job: job("a"),
        attempt: Attempt(1),
        percent: 50,
    };
    send_order(&mut worker, 1_000, throttle);
    worker.set_faults(
        Millis(2_000),
        WorkerFaults::default().with_speed_percent(50),
    );
    worker.advance(Millis(10_000));
    // 1,000 ms at full speed, 1,000 ms at half and 6,000 ms at a quarter of it.
    assert_eq!(
        task_changes(&worker)[1],
        (TaskChange::Finished, Millis(8_000))
    );
}

/// Guards against measurements that are reported without the delay, and against repeated reports
/// without changes.
#[test]
fn usage_is_reported_after_the_delay_and_on_changes() {
    let mut worker = WorkerState::new(options().with_report_delay(Millis(2_000)), INCARNATION);
    let noisy = StartOrder {
        payload: r#"{"used": 150, "noise": 40}"#.to_owned(),
        ..batch_start("noisy", 1)
    };
    send_order(&mut worker, 0, Order::Start(critical_start("planner")));
    send_order(&mut worker, 0, Order::Start(noisy));
    let mut usage = Vec::new();
    for now in (0..=4_000).step_by(500) {
        let request = poll_request(1, timestamp(now), Vec::new());
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

/// Guards against a failing worker that reports no failures.
#[test]
fn a_failing_worker_fails_every_start() {
    let faults = WorkerFaults::default().with_failing_tasks();
    let mut worker = WorkerState::new(options().with_faults(faults), INCARNATION);
    let reply = send_order(&mut worker, 0, Order::Start(batch_start("a", 1)));
    assert!(matches!(event_kinds(&reply)[1], EventKind::Failed { .. }));
    assert!(worker.running().is_empty());
}

/// Guards against a service task that finishes by itself.
#[test]
fn a_task_without_work_never_finishes() {
    let mut worker = new_worker();
    send_order(&mut worker, 0, Order::Start(critical_start("planner")));
    for now in (0..3_600_000).step_by(10_000) {
        let renewal = poll_request(1, timestamp(now), Vec::new());
        worker.handle_poll(Millis(now), &renewal).unwrap();
    }
    assert_eq!(worker.running().len(), 1);
}

proptest! {
    /// Guards against results that depend on how often time advances.
    #[test]
    fn the_number_of_time_steps_does_not_change_the_outcome(
        step_times in prop::collection::vec(1_u64..20_000, 0..20),
        works in prop::collection::vec(1_u64..20_000, 1..6),
    ) {
        let run = |times: &[u64]| {
            let mut worker = new_worker();
            for (i, work) in works.iter().enumerate() {
                let task = StartOrder {
                    work: Millis(*work),
                    needs: Resources::new(500, 100, 0),
                    payload: r#"{"used": 200, "noise": 0}"#.to_owned(),
                    ..batch_start(&format!("j-{i}"), 1)
                };
                send_order(&mut worker, 0, Order::Start(task));
            }
            times.iter().for_each(|at| worker.advance(Millis(*at)));
            worker.advance(Millis(20_000));
            task_changes(&worker)
        };
        let mut step_times = step_times;
        step_times.sort_unstable();
        let one_step = run(&[]);
        let many_steps = run(&step_times);
        prop_assert_eq!(one_step.len(), many_steps.len());
        for (a, b) in one_step.iter().zip(&many_steps) {
            prop_assert_eq!(a, b);
        }
    }

    /// Guards against allocations above the capacity and against two attempts of a job at the same
    /// time, whatever owners with current and old terms order.
    #[test]
    fn allocations_never_exceed_the_capacity(
        polls in prop::collection::vec((0_u64..3, 0_u64..5, 0_u32..5, 1_u32..4, 0_u64..3_000, 0_u64..1_500), 1..80),
    ) {
        let mut worker = new_worker();
        let mut now = 0;
        for (term, name, attempt, size, passed, age) in polls {
            now += passed;
            let task = StartOrder {
                needs: Resources::new(size * 700, size * 150, 0),
                ..batch_start(&format!("j-{name}"), attempt)
            };
            let stamp = timestamp(now.saturating_sub(age));
            let request = poll_request(term, stamp, vec![Order::Start(task)]);
            // Fenced polls and refused orders are expected.
            let _result = worker.handle_poll(Millis(now), &request);
            prop_assert!(worker.allocated().fits(Resources::new(4_000, 1_000, 1)));
        }
        let mut running = std::collections::BTreeMap::new();
        for entry in worker.ledger(Millis(0)).entries {
            if entry.change == TaskChange::Started {
                prop_assert_eq!(running.insert(entry.job, entry.attempt), None);
            } else {
                prop_assert_eq!(running.remove(&entry.job), Some(entry.attempt));
            }
        }
    }
}

//! Broken variants, each without one mechanism. Guards against a proof that passes whatever the
//! system does: the invariants must flag each of them, and the same run without the break is
//! clean.

use std::panic::catch_unwind;

use bytes::Bytes;
use hyssop_core::limits::CONF_STREAM;
use hyssop_core::{
    CellRecord, CompleteResponse, DomainState, EntryName, Envelope, JobCall, JobId, NotRun, Order,
    Outcome, ReadReply, Resources, Term,
};
use hyssop_proofs::matrix::{Case, Fault, Side, Step, run_in};
use hyssop_proofs::world::{Body, Inside, Message, Node, Tamper, Wanted, World, batch};
use rstest::rstest;

const SEED: u64 = 7;

/// What is taken away or added to the quiet world.
type Break = fn(&mut World);

fn nothing(_: &mut World) {}

fn settle(world: &mut World) {
    world.strict = false;
    assert!(world.run_until(20_000, World::is_owned), "no owners");
    world.run(2_000);
}

fn tamper(world: &mut World, change: impl FnMut(&mut Message, &Inside<'_>) + 'static) {
    let change: Tamper = Box::new(change);
    world.tamper(change);
}

fn found(world: &World) -> Vec<u8> {
    let violations = world.violations().iter();
    let mut found: Vec<u8> = violations.map(|violation| violation.guarantee).collect();
    found.sort_unstable();
    found.dedup();
    found
}

fn is_start(order: &Order) -> bool {
    matches!(order, Order::Start(start) if start.job.as_str() == "job")
}

fn starts(message: &Message) -> bool {
    matches!(&message.body, Body::Poll(_, request) if request.orders.iter().any(is_start))
}

/// Workers that claim twice what they have.
#[rstest]
#[case(8_000, &[])]
#[case(16_000, &[1])]
fn worker_that_claims_too_much(#[case] cpu: u32, #[case] expected: &[u8]) {
    let mut world = World::with_capacity(SEED, Resources::new(cpu, 2 * cpu, 0));
    settle(&mut world);
    for n in 0..30 {
        let cell = world.cell(0);
        world.submit(batch(&format!("job-{n}"), 20_000), &cell);
    }
    world.run(10_000);
    assert_eq!(found(&world), expected);
}

/// Sends a second copy of a start to a worker that has lost its memory meanwhile.
fn late_start(world: &mut World) {
    settle(world);
    let inject = |world: &mut World, message: &Message| {
        world.repeat(message, 20_000);
    };
    world.arm(Box::new(|_, message| starts(message)), Box::new(inject));
    let cell = world.cell(0);
    world.submit(batch("job", 60_000), &cell);
    assert!(world.run_until(5_000, |world| world.worker_of("job").is_some()));
    let worker = world.worker_of("job").unwrap();
    // The lease lapses, and the next attempt starts on another worker before this one is back.
    world.kill(Node::Worker(worker), Some(18_000));
    world.run(25_000);
    assert!(world.reached.is_some());
}

/// A worker that accepts orders whatever their stamp, so that late ones take effect.
fn ignores_stamps(world: &mut World) {
    tamper(world, |message, inside| {
        let late = starts(message);
        if let (Node::Worker(n), Body::Poll(_, request)) = (message.to, &mut message.body)
            && late
        {
            request.timestamp = Some(inside.stamp(n));
        }
    });
}

#[rstest]
#[case(nothing, &[])]
#[case(ignores_stamps, &[2, 3])]
fn worker_that_ignores_stamps(#[case] broken: Break, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    broken(&mut world);
    late_start(&mut world);
    assert_eq!(found(&world), expected);
}

/// A worker that takes the orders of a deposed owner, with a stamp of its own.
fn ignores_terms(world: &mut World) {
    tamper(world, |message, inside| {
        let late = starts(message);
        if let (Node::Worker(n), Body::Poll(_, request)) = (message.to, &mut message.body)
            && late
        {
            request.timestamp = Some(inside.stamp(n));
            request.term = Term(1 << 40);
        }
    });
}

#[rstest]
#[case(nothing, &[])]
#[case(ignores_terms, &[2])]
fn worker_that_ignores_terms(#[case] broken: Break, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    broken(&mut world);
    settle(&mut world);
    let inject = |world: &mut World, message: &Message| {
        // The new owner waits for `TAKEOVER_WAIT` before it starts the next attempt.
        world.repeat(message, 32_000);
        world.kill(message.to, Some(30_000));
        world.kill(message.from, None);
    };
    world.arm(Box::new(|_, message| starts(message)), Box::new(inject));
    let cell = world.cell(0);
    world.submit(batch("job", 60_000), &cell);
    world.run(40_000);
    assert!(world.reached.is_some());
    assert_eq!(found(&world), expected);
}

/// Hides the intents of other writers from a reader.
fn hide_intents(reader: &EntryName, reply: &mut ReadReply) {
    for stored in &mut reply.records {
        let Ok(mut record) = serde_json::from_str::<Envelope<CellRecord>>(&stored.record) else {
            continue;
        };
        if record.writer != *reader && matches!(record.body, CellRecord::Intents(_)) {
            let job = JobId::new("none").unwrap();
            record.body = CellRecord::Delivered { job };
            stored.record = serde_json::to_string(&record).unwrap();
        }
    }
}

/// An owner that starts without an intent in the log.
fn places_without_intents(world: &mut World) {
    tamper(world, |message, _| {
        if let (Node::Entry(n), Body::Records(reply)) = (message.to, &mut message.body) {
            let reader = EntryName::new(format!("entry-{n}")).unwrap();
            hide_intents(&reader, reply);
        }
    });
}

#[rstest]
#[case(nothing, &[])]
#[case(places_without_intents, &[2, 3])]
fn placer_without_intents(#[case] broken: Break, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    broken(&mut world);
    settle(&mut world);
    let cell = world.cell(0);
    world.submit(batch("job", 60_000), &cell);
    assert!(world.run_until(5_000, |world| world.worker_of("job").is_some()));
    let worker = Node::Worker(world.worker_of("job").unwrap());
    let owner = world.owner(&cell).unwrap();
    world.cut(worker);
    world.kill(Node::Entry(owner), None);
    world.run(14_000);
    assert!(world.is_owned(), "nobody took over");
    let found = found(&world);
    assert_eq!(found.is_empty(), expected.is_empty(), "{found:?}");
    assert!(
        found.iter().all(|guarantee| expected.contains(guarantee)),
        "{found:?}"
    );
}

/// Keeps the configuration from the owner of the first cell.
fn hide_conf(world: &mut World) {
    let owner = world.owner(&world.cell(0)).unwrap();
    world.touch(Node::Entry(owner));
    let mut hidden = Vec::new();
    tamper(world, move |message, _| {
        if let Body::Read(stream, _) = &message.body
            && message.from == Node::Entry(owner)
            && stream == CONF_STREAM
        {
            hidden.push(message.rpc);
        }
        if message.to != Node::Entry(owner) {
            return;
        }
        match &mut message.body {
            Body::Beat(beat) | Body::Beaten(beat) => {
                beat.view = None;
                beat.confirmation_age = None;
            }
            Body::Records(_) if hidden.contains(&message.rpc) => message.body = Body::Refused,
            _ => {}
        }
    });
}

/// Guards against an owner that trusts an old configuration.
#[rstest]
#[case(false, &[])]
#[case(true, &[4])]
fn owner_that_trusts_an_old_configuration(#[case] gullible: bool, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    settle(&mut world);
    let cell = world.cell(0);
    let owner = world.owner(&cell).unwrap();
    hide_conf(&mut world);
    if gullible {
        world.make_gullible(owner);
    }
    let out = Wanted::Domain(cell.domain.clone(), DomainState::Out);
    world.want(out, (owner + 1) % 3);
    world.run(8_000);
    assert!(world.are_goals_met());
    world.submit(batch("job", 4_000), &cell);
    world.run(5_000);
    assert_eq!(found(&world), expected);
}

/// Resumes every task from the beginning.
fn forgets_checkpoints(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::Poll(_, request) = &mut message.body {
            for order in &mut request.orders {
                if let Order::Start(start) = order {
                    start.checkpoint = 0;
                }
            }
        }
    });
}

#[rstest]
#[case(nothing, &[])]
#[case(forgets_checkpoints, &[3])]
fn owner_that_forgets_checkpoints(#[case] broken: Break, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    broken(&mut world);
    settle(&mut world);
    let cell = world.cell(0);
    world.submit(batch("job", 8_000), &cell);
    world.run(4_000);
    assert!(world.worker_of("job").is_some());
    world.want(Wanted::Domain(cell.domain, DomainState::Out), 0);
    world.run(10_000);
    assert_eq!(found(&world), expected);
}

/// Replaces every response by that of another request.
fn swaps_answers(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::Called(reply) = &mut message.body {
            let body = Bytes::from_static(b"answer to 0");
            reply.outcome = Outcome::Complete(CompleteResponse::new(200, Vec::new(), body));
        }
    });
}

/// Calls a request not run whose response got lost.
fn denies_runs(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::Called(reply) = &mut message.body {
            reply.outcome = Outcome::NotRun(NotRun::QueueFull);
        }
    });
}

/// Runs each request with a ticket as if it had none.
fn forgets_tickets(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::Call(call) = &mut message.body {
            call.ticket = None;
            call.is_idempotent = true;
        }
    });
}

#[rstest]
#[case(nothing, &[])]
#[case(swaps_answers, &[5])]
#[case(denies_runs, &[6])]
#[case(forgets_tickets, &[7])]
fn agent_with_wrong_answers(#[case] broken: Break, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    broken(&mut world);
    settle(&mut world);
    for entry in 0..6 {
        world.eager_request(entry, 0);
    }
    world.run(5_000);
    let found = found(&world);
    for guarantee in expected {
        assert!(found.contains(guarantee), "{found:?}");
    }
    assert_eq!(found.is_empty(), expected.is_empty(), "{found:?}");
}

/// Guards against an agent that goes on when its domain is out.
#[rstest]
#[case(false, &[])]
#[case(true, &[8])]
fn agent_that_ignores_a_removal(#[case] ignores: bool, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    settle(&mut world);
    if ignores {
        (0..3).for_each(|n| world.make_deaf(n));
    }
    for entry in 0..9 {
        world.eager_request(entry, 15_000);
    }
    world.run(1_000);
    let domain = world.cell(0).domain;
    world.want(Wanted::Domain(domain, DomainState::Out), 0);
    world.run(20_000);
    assert_eq!(found(&world), expected);
}

/// Guards against a stop that waits for nothing.
#[rstest]
#[case(false, &[])]
#[case(true, &[9])]
fn stop_that_cuts_requests_off(#[case] hasty: bool, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    settle(&mut world);
    world.hasty = hasty;
    let domain = world.cell(0).domain;
    world.want(Wanted::Domain(domain, DomainState::Out), 0);
    for n in 0..120 {
        world.eager_request(n, 25 * n as u64);
    }
    world.run(8_000);
    assert_eq!(found(&world), expected);
}

/// Answers every announcement with the first configuration.
fn sends_old_views(world: &mut World) {
    let mut first = None;
    tamper(world, move |message, _| {
        if let Body::Announced(reply) = &mut message.body
            && message.to == Node::Agent(0)
            && reply.view.is_some()
        {
            let view = first.get_or_insert_with(|| reply.view.clone());
            reply.view.clone_from(view);
        }
    });
}

/// Guards against a store that takes lower versions.
#[rstest]
#[case(false, &[])]
#[case(true, &[10])]
fn store_that_takes_lower_versions(#[case] forgets: bool, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    settle(&mut world);
    let domain = world.cell(1).domain;
    if forgets {
        world.make_forgetful(0);
        sends_old_views(&mut world);
    }
    for state in [DomainState::Out, DomainState::In, DomainState::Out] {
        world.want(Wanted::Domain(domain.clone(), state), 0);
        world.run(3_000);
    }
    assert_eq!(found(&world), expected);
}

/// Hands the result out under any receipt.
fn ignores_receipts(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::Job(_, JobCall::Fetch { receipt, .. }) = &mut message.body {
            "first".clone_into(receipt);
        }
    });
}

#[rstest]
#[case(nothing, &[])]
#[case(ignores_receipts, &[0])]
fn owner_that_ignores_receipts(#[case] broken: Break, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    broken(&mut world);
    settle(&mut world);
    let cell = world.cell(0);
    world.submit(batch("job", 1_000), &cell);
    world.run(6_000);
    assert_eq!(found(&world), expected);
}

/// Guards against a driver that drops records which expired before the core has read them: the
/// core waits for them for ever.
#[rstest]
#[case(false)]
#[case(true)]
fn driver_that_drops_lost_records(#[case] drops: bool) {
    let case = Case {
        step: Step::Append,
        fault: Fault::LogBeyond,
        side: Side::Actor,
    };
    let result = catch_unwind(|| {
        let mut world = World::new(20_261_204);
        if drops {
            world.drop_lost_records();
        }
        run_in(world, case, None);
    });
    let text = result
        .err()
        .and_then(|cause| cause.downcast_ref::<String>().cloned());
    assert_eq!(text.is_some_and(|text| text.contains("stalled")), drops);
}

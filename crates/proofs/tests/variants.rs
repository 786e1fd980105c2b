//! Broken variants of the system, each without one mechanism. Guards against invariants that pass
//! regardless of the system's behavior: they must report each variant, and the same run of the
//! unmodified system must have no violation.

use std::panic::catch_unwind;

use bytes::Bytes;
use hyssop_core::limits::CONF_STREAM;
use hyssop_core::{
    CellRecord, CompleteResponse, DomainState, EntryName, Envelope, JobCall, JobId, NotRun, Order,
    Outcome, ReadReply, Resources, Term,
};
use hyssop_proofs::matrix::{Case, Fault, Side, Step, run_in};
use hyssop_proofs::world::{
    Body, DesiredState, Message, Node, Tamper, TamperContext, World, batch,
};
use rstest::rstest;

const SEED: u64 = 7;

/// Change that turns the world into a broken variant.
type Mutation = fn(&mut World);

fn no_mutation(_: &mut World) {}

fn start_with_owners(world: &mut World) {
    world.stops_on_violation = false;
    assert!(world.run_until(20_000, World::is_owned), "no owners");
    world.run(2_000);
}

fn tamper(world: &mut World, change: impl FnMut(&mut Message, &TamperContext<'_>) + 'static) {
    let change: Tamper = Box::new(change);
    world.tamper(change);
}

fn guarantees(world: &World) -> Vec<u8> {
    let violations = world.violations().iter();
    let mut guarantees: Vec<u8> = violations.map(|violation| violation.guarantee).collect();
    guarantees.sort_unstable();
    guarantees.dedup();
    guarantees
}

fn is_start(order: &Order) -> bool {
    matches!(order, Order::Start(start) if start.job.as_str() == "job")
}

fn has_start(message: &Message) -> bool {
    matches!(&message.body, Body::Poll(_, request) if request.orders.iter().any(is_start))
}

/// Guards against undetected overload: workers report twice their real capacity.
#[rstest]
#[case(8_000, &[])]
#[case(16_000, &[1])]
fn worker_that_claims_too_much(#[case] cpu: u32, #[case] expected: &[u8]) {
    let mut world = World::with_capacity(SEED, Resources::new(cpu, 2 * cpu, 0));
    start_with_owners(&mut world);
    for n in 0..30 {
        let cell = world.cell(0);
        world.submit_job(batch(&format!("job-{n}"), 20_000), &cell);
    }
    world.run(10_000);
    assert_eq!(guarantees(&world), expected);
}

/// Delivers a second copy of a start order to a worker that restarted meanwhile and lost its state.
fn deliver_late_start(world: &mut World) {
    start_with_owners(world);
    let inject = |world: &mut World, message: &Message| {
        world.deliver_copy(message, 20_000);
    };
    world.arm(Box::new(|_, message| has_start(message)), Box::new(inject));
    let cell = world.cell(0);
    world.submit_job(batch("job", 60_000), &cell);
    assert!(world.run_until(5_000, |world| world.worker_running("job").is_some()));
    let worker = world.worker_running("job").unwrap();
    // The lease expires, and the next attempt starts on another worker before this one is back.
    world.kill(Node::Worker(worker), Some(18_000));
    world.run(25_000);
    assert!(world.injected_at.is_some());
}

/// Makes workers accept start orders regardless of their timestamp, so that late ones take effect.
fn ignores_timestamps(world: &mut World) {
    tamper(world, |message, context| {
        let is_start_poll = has_start(message);
        if let (Node::Worker(n), Body::Poll(_, request)) = (message.to, &mut message.body)
            && is_start_poll
        {
            request.timestamp = Some(context.timestamp(n));
        }
    });
}

#[rstest]
#[case(no_mutation, &[])]
#[case(ignores_timestamps, &[2, 3])]
fn worker_that_ignores_stamps(#[case] mutation: Mutation, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    mutation(&mut world);
    deliver_late_start(&mut world);
    assert_eq!(guarantees(&world), expected);
}

/// Makes workers accept the start orders of a deposed owner, with a valid timestamp.
fn ignores_terms(world: &mut World) {
    tamper(world, |message, context| {
        let is_start_poll = has_start(message);
        if let (Node::Worker(n), Body::Poll(_, request)) = (message.to, &mut message.body)
            && is_start_poll
        {
            request.timestamp = Some(context.timestamp(n));
            request.term = Term(1 << 40);
        }
    });
}

#[rstest]
#[case(no_mutation, &[])]
#[case(ignores_terms, &[2])]
fn worker_that_ignores_terms(#[case] mutation: Mutation, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    mutation(&mut world);
    start_with_owners(&mut world);
    let inject = |world: &mut World, message: &Message| {
        // The new owner waits for `FAILOVER_WAIT` before it starts the next attempt.
        world.deliver_copy(message, 32_000);
        world.kill(message.to, Some(30_000));
        world.kill(message.from, None);
    };
    world.arm(Box::new(|_, message| has_start(message)), Box::new(inject));
    let cell = world.cell(0);
    world.submit_job(batch("job", 60_000), &cell);
    world.run(40_000);
    assert!(world.injected_at.is_some());
    assert_eq!(guarantees(&world), expected);
}

/// Replaces the intents of other writers in a reply to a reader.
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

/// Makes owners ignore the intents of earlier owners in the log.
fn starts_without_intents(world: &mut World) {
    tamper(world, |message, _| {
        if let (Node::Entry(n), Body::Records(reply)) = (message.to, &mut message.body) {
            let reader = EntryName::new(format!("entry-{n}")).unwrap();
            hide_intents(&reader, reply);
        }
    });
}

#[rstest]
#[case(no_mutation, &[])]
#[case(starts_without_intents, &[2, 3])]
fn placer_without_intents(#[case] mutation: Mutation, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    mutation(&mut world);
    start_with_owners(&mut world);
    let cell = world.cell(0);
    world.submit_job(batch("job", 60_000), &cell);
    assert!(world.run_until(5_000, |world| world.worker_running("job").is_some()));
    let worker = Node::Worker(world.worker_running("job").unwrap());
    let owner = world.owner(&cell).unwrap();
    world.block_outgoing(worker);
    world.kill(Node::Entry(owner), None);
    world.run(14_000);
    assert!(world.is_owned(), "no entry claimed the cell");
    let guarantees = guarantees(&world);
    assert_eq!(guarantees.is_empty(), expected.is_empty(), "{guarantees:?}");
    assert!(
        guarantees
            .iter()
            .all(|guarantee| expected.contains(guarantee)),
        "{guarantees:?}"
    );
}

/// Withholds the configuration from the owner of the first cell.
fn hide_conf(world: &mut World) {
    let owner = world.owner(&world.cell(0)).unwrap();
    world.mark_affected(Node::Entry(owner));
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
            Body::Heartbeat(heartbeat) | Body::HeartbeatReply(heartbeat) => {
                heartbeat.view = None;
                heartbeat.confirmation_age = None;
            }
            Body::Records(_) if hidden.contains(&message.rpc) => message.body = Body::Refused,
            _ => {}
        }
    });
}

/// Guards against an owner that starts tasks on the basis of an outdated configuration.
#[rstest]
#[case(false, &[])]
#[case(true, &[4])]
fn owner_that_trusts_an_old_configuration(#[case] ignores_conf_age: bool, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    start_with_owners(&mut world);
    let cell = world.cell(0);
    let owner = world.owner(&cell).unwrap();
    hide_conf(&mut world);
    if ignores_conf_age {
        world.ignore_conf_age(owner);
    }
    let out = DesiredState::Domain(cell.domain.clone(), DomainState::Out);
    world.request_change(out, (owner + 1) % 3);
    world.run(8_000);
    assert!(world.are_goals_met());
    world.submit_job(batch("job", 4_000), &cell);
    world.run(5_000);
    assert_eq!(guarantees(&world), expected);
}

/// Removes the checkpoints from all start orders.
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
#[case(no_mutation, &[])]
#[case(forgets_checkpoints, &[3])]
fn owner_that_forgets_checkpoints(#[case] mutation: Mutation, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    mutation(&mut world);
    start_with_owners(&mut world);
    let cell = world.cell(0);
    world.submit_job(batch("job", 8_000), &cell);
    world.run(4_000);
    assert!(world.worker_running("job").is_some());
    world.request_change(DesiredState::Domain(cell.domain, DomainState::Out), 0);
    world.run(10_000);
    assert_eq!(guarantees(&world), expected);
}

/// Replaces every response by that of another request.
fn swaps_responses(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::CallReply(reply) = &mut message.body {
            let body = Bytes::from_static(b"answer to 0");
            reply.outcome = Outcome::Complete(CompleteResponse::new(200, Vec::new(), body));
        }
    });
}

/// Replaces every response by the outcome "not run".
fn reports_not_run(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::CallReply(reply) = &mut message.body {
            reply.outcome = Outcome::NotRun(NotRun::QueueFull);
        }
    });
}

/// Removes the ticket of each call, so that the agent can't detect repeats.
fn forgets_tickets(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::Call(call) = &mut message.body {
            call.ticket = None;
            call.is_idempotent = true;
        }
    });
}

#[rstest]
#[case(no_mutation, &[])]
#[case(swaps_responses, &[5])]
#[case(reports_not_run, &[6])]
#[case(forgets_tickets, &[7])]
fn agent_with_wrong_answers(#[case] mutation: Mutation, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    mutation(&mut world);
    start_with_owners(&mut world);
    for entry in 0..6 {
        world.start_duplicated_request(entry, 0);
    }
    world.run(5_000);
    let guarantees = guarantees(&world);
    for guarantee in expected {
        assert!(guarantees.contains(guarantee), "{guarantees:?}");
    }
    assert_eq!(guarantees.is_empty(), expected.is_empty(), "{guarantees:?}");
}

/// Guards against an agent that continues to run requests after its domain is out of service.
#[rstest]
#[case(false, &[])]
#[case(true, &[8])]
fn agent_that_ignores_a_removal(#[case] ignores_conf: bool, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    start_with_owners(&mut world);
    if ignores_conf {
        (0..3).for_each(|n| world.ignore_confs(n));
    }
    for entry in 0..9 {
        world.start_duplicated_request(entry, 15_000);
    }
    world.run(1_000);
    let domain = world.cell(0).domain;
    world.request_change(DesiredState::Domain(domain, DomainState::Out), 0);
    world.run(20_000);
    assert_eq!(guarantees(&world), expected);
}

/// Guards against a planned stop that doesn't wait for requests in flight.
#[rstest]
#[case(false, &[])]
#[case(true, &[9])]
fn stop_that_cuts_requests_off(#[case] skips_wait: bool, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    start_with_owners(&mut world);
    world.skips_stop_wait = skips_wait;
    let domain = world.cell(0).domain;
    world.request_change(DesiredState::Domain(domain, DomainState::Out), 0);
    for n in 0..120 {
        world.start_duplicated_request(n, 25 * n as u64);
    }
    world.run(8_000);
    assert_eq!(guarantees(&world), expected);
}

/// Sends the first configuration in every reply to an announcement of the first agent.
fn sends_old_views(world: &mut World) {
    let mut first = None;
    tamper(world, move |message, _| {
        if let Body::AnnounceReply(reply) = &mut message.body
            && message.to == Node::Agent(0)
            && reply.view.is_some()
        {
            let view = first.get_or_insert_with(|| reply.view.clone());
            reply.view.clone_from(view);
        }
    });
}

/// Guards against a store that accepts lower versions.
#[rstest]
#[case(false, &[])]
#[case(true, &[10])]
fn store_that_takes_lower_versions(#[case] accepts_old_confs: bool, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    start_with_owners(&mut world);
    let domain = world.cell(1).domain;
    if accepts_old_confs {
        world.accept_old_confs(0);
        sends_old_views(&mut world);
    }
    for state in [DomainState::Out, DomainState::In, DomainState::Out] {
        world.request_change(DesiredState::Domain(domain.clone(), state), 0);
        world.run(3_000);
    }
    assert_eq!(guarantees(&world), expected);
}

/// Makes owners return the result under any receipt.
fn ignores_receipts(world: &mut World) {
    tamper(world, |message, _| {
        if let Body::JobCall(_, JobCall::Fetch { receipt, .. }) = &mut message.body {
            "first".clone_into(receipt);
        }
    });
}

#[rstest]
#[case(no_mutation, &[])]
#[case(ignores_receipts, &[0])]
fn owner_that_ignores_receipts(#[case] mutation: Mutation, #[case] expected: &[u8]) {
    let mut world = World::new(SEED);
    mutation(&mut world);
    start_with_owners(&mut world);
    let cell = world.cell(0);
    world.submit_job(batch("job", 1_000), &cell);
    world.run(6_000);
    assert_eq!(guarantees(&world), expected);
}

/// Guards against a driver that drops records which expired before the core read them, so that the
/// core waits for them forever.
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
            world.drop_expired_records();
        }
        run_in(world, case, None);
    });
    let text = result
        .err()
        .and_then(|cause| cause.downcast_ref::<String>().cloned());
    assert_eq!(text.is_some_and(|text| text.contains("stalled")), drops);
}

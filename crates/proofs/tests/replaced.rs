//! Owners that still receive heartbeats from a majority after another entry has claimed their cell.
//!
//! This happens when an entry is replaced under its name while the earlier process continues to run
//! in a partition. It is the only case in which two majorities of names need not share a process.

use hyssop_core::Millis;
use hyssop_proofs::world::{Body, Node, World, batch};
use rstest::rstest;

/// Guards against a new owner that assumes the earlier owner has stopped renewing leases, although
/// that one still receives heartbeats from a majority. With an uptime that hides the replacement (a
/// broken variant) the job runs twice.
#[rstest]
#[case(false, &[])]
#[case(true, &[2])]
fn earlier_process_renews_its_leases(#[case] hides_uptime: bool, #[case] expected: &[u8]) {
    let mut world = World::new(3);
    world.stops_on_violation = false;
    assert!(world.run_until(20_000, World::is_owned), "no owners");
    world.run(2_000);
    let cell = world.cell(0);
    world.submit_job(batch("job", 300_000), &cell);
    assert!(world.run_until(5_000, |world| world.worker_running("job").is_some()));
    world.run(2_000);
    let worker = world.worker_running("job").unwrap();
    let owner = world.owner(&cell).unwrap();
    let started = if hides_uptime { Millis(0) } else { world.now() };
    world.replace_in_partition(owner, (owner + 1) % 3, worker, started);
    let replaced = 3;
    let has_new_owner = |world: &World| world.owner(&cell).is_some_and(|n| n != replaced);
    assert!(
        world.run_until(20_000, has_new_owner),
        "no entry claims the cell"
    );
    world.run(60_000);
    assert!(world.is_running(Node::Entry(replaced)));
    let mut guarantees: Vec<u8> = world.violations().iter().map(|v| v.guarantee).collect();
    guarantees.dedup();
    assert_eq!(
        guarantees,
        expected,
        "{:?}\n{}",
        world.violations(),
        world.trace()
    );
    // The earlier owner still has a majority and continues to renew the lease.
    assert!(world.worker_running("job").is_some());
}

/// Guards against a new owner that relies on a majority from before its claim. The entry shared by
/// both majorities is cut off before it can forward the claim, so the earlier owner receives its
/// heartbeats again and continues to renew leases.
#[test]
fn shared_entry_is_cut_off_right_after_the_claim() {
    let mut world = World::new(5);
    assert!(world.run_until(20_000, World::is_owned), "no owners");
    world.run(2_000);
    let cell = world.cell(0);
    world.submit_job(batch("job", 300_000), &cell);
    assert!(world.run_until(5_000, |world| world.worker_running("job").is_some()));
    world.run(2_000);
    let owner = world.owner(&cell).unwrap();
    let worker = Node::Worker(world.worker_running("job").unwrap());
    world.partition(&[Node::Entry(owner), worker]);
    let claims = |_: &World, message: &hyssop_proofs::world::Message| match &message.body {
        Body::Append(_, records) => records.iter().any(|record| record.contains("\"Claim\"")),
        _ => false,
    };
    world.arm(
        Box::new(claims),
        Box::new(move |world, message| {
            let entries = (0..3).map(Node::Entry);
            let mut others = entries.filter(|n| *n != message.from && *n != Node::Entry(owner));
            let shared = others.next().unwrap();
            world.partition(&[Node::Entry(owner), shared, worker]);
        }),
    );
    world.run(60_000);
    assert!(world.injected_at.is_some(), "no entry claims the cell");
    // The run would have panicked at a violation. The job still has its only attempt.
    assert!(world.worker_running("job").is_some());
}

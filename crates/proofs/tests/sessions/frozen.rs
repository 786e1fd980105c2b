//! The owner of a cell is frozen and resumes after another entry has claimed the cell. Guards
//! against orders of the earlier owner that still take effect.

use hyssop_core::Order;
use hyssop_proofs::world::{Body, Message, Node, Stage, World, batch};

const JOB: &str = "cut-list-0";
/// Time until a late copy of the order arrives: after the failover, before the owner resumes.
const COPY_DELAY_MS: u64 = 8_000;
/// Time for which the owner is frozen.
const FREEZE_MS: u64 = 9_000;

fn has_start(message: &Message) -> bool {
    let starts = |order: &Order| matches!(order, Order::Start(start) if start.job.as_str() == JOB);
    match &message.body {
        Body::Poll(_, request) => request.orders.iter().any(starts),
        _ => false,
    }
}

pub(crate) fn run_session() -> World {
    let mut world = super::world_with_owners(6);
    world.start_recording("the owner orders the start of a cut list and is frozen");
    let cell = world.cell(0);
    let owner = world.owner(&cell).expect("an owner");
    world.submit_job(batch(JOB, 12_000), &cell);
    world.arm(
        Box::new(|_, message| has_start(message)),
        Box::new(move |world, message| {
            world.freeze(Node::Entry(owner), FREEZE_MS);
            world.deliver_again(message, COPY_DELAY_MS);
        }),
    );
    assert!(world.run_until(5_000, |world| world.injected_at.is_some()));
    world.start_section("another entry takes the cell");
    let has_new_owner = |world: &World| (0..3).any(|n| n != owner && world.owns(n, &cell));
    assert!(
        world.run_until(COPY_DELAY_MS, has_new_owner),
        "no entry claims the cell"
    );
    world.start_section("a late copy of the order arrives, the earlier owner wakes");
    assert!(world.run_until(FREEZE_MS, World::is_healed));
    world.run(3_000);
    let session = world.session_text();
    assert!(session.contains("fenced"), "no order was refused");
    let owners = (0..3).filter(|n| world.owns(*n, &cell));
    assert_eq!(owners.count(), 1, "the earlier owner has not resigned");
    world.start_section("the cut list finishes once");
    let done = |world: &World| world.job_stage(JOB) == Some(Stage::Done);
    assert!(world.run_until(60_000, done), "{:?}", world.waiting_jobs());
    let runs = format!("{JOB}#1 begins\n");
    assert_eq!(world.session_text().matches(&runs).count(), 1);
    assert!(!world.session_text().contains(&format!("{JOB}#2 begins")));
    world
}

//! The owner of a cell is frozen and wakes after another has taken over. Guards against orders of
//! the earlier owner that still take effect.

use hyssop_core::Order;
use hyssop_proofs::world::{Body, Message, Node, Stage, World, batch};

const JOB: &str = "cut-list-0";
/// Time until a late copy of the order arrives: after the takeover, before the owner wakes.
const LATE: u64 = 8_000;
/// Time for which the owner is frozen.
const FROZEN: u64 = 9_000;

fn is_start(message: &Message) -> bool {
    let starts = |order: &Order| matches!(order, Order::Start(start) if start.job.as_str() == JOB);
    match &message.body {
        Body::Poll(_, request) => request.orders.iter().any(starts),
        _ => false,
    }
}

pub(crate) fn play() -> World {
    let mut world = super::owned(6);
    world.record("the owner orders the start of a cut list and is frozen");
    let cell = world.cell(0);
    let owner = world.owner(&cell).expect("an owner");
    world.submit(batch(JOB, 12_000), &cell);
    world.arm(
        Box::new(|_, message| is_start(message)),
        Box::new(move |world, message| {
            world.freeze(Node::Entry(owner), FROZEN);
            world.deliver_again(message, LATE);
        }),
    );
    assert!(world.run_until(5_000, |world| world.reached.is_some()));
    world.chapter("another entry takes the cell");
    let taken = |world: &World| (0..3).any(|n| n != owner && world.owns(n, &cell));
    assert!(world.run_until(LATE, taken), "nobody takes the cell");
    world.chapter("a late copy of the order arrives, the earlier owner wakes");
    assert!(world.run_until(FROZEN, World::is_healed));
    world.run(3_000);
    let session = world.session();
    assert!(session.contains("fenced"), "no order was refused");
    let owners = (0..3).filter(|n| world.owns(*n, &cell));
    assert_eq!(owners.count(), 1, "the earlier owner has not resigned");
    world.chapter("the cut list finishes once");
    let done = |world: &World| world.stage(JOB) == Some(Stage::Done);
    assert!(world.run_until(60_000, done), "{:?}", world.waiting_jobs());
    let runs = format!("{JOB}#1 begins\n");
    assert_eq!(world.session().matches(&runs).count(), 1);
    assert!(!world.session().contains(&format!("{JOB}#2 begins")));
    world
}

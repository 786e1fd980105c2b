//! An entry is killed while bookings are in flight, and the callers repeat them under the same
//! tickets through another entry. Guards against a booking that runs twice or gets no response.

use hyssop_core::Outcome;
use hyssop_proofs::world::{Body, Node, World};

/// Number of bookings in flight.
const BOOKINGS: usize = 3;

pub(crate) fn run_session() -> World {
    let mut world = super::world_with_owners(5);
    world.start_recording("bookings through entry-0, which is killed after it has passed them on");
    let bookings: Vec<u64> = (0..BOOKINGS)
        .map(|_| world.start_request(false, 0))
        .collect();
    bookings
        .iter()
        .for_each(|number| world.list_request(*number));
    let last = bookings[BOOKINGS - 1].to_string();
    // The last booking is about to reach its agent, and no response has been sent yet.
    world.arm(
        Box::new(move |_, message| match &message.body {
            Body::Call(call) => call.body == last.as_bytes(),
            _ => false,
        }),
        Box::new(|world, _| world.kill(Node::Entry(0), Some(10_000))),
    );
    let killed = |world: &World| world.injected_at.is_some();
    assert!(world.run_until(5_000, killed), "no booking under way");
    world.start_section("the callers repeat their bookings through another entry");
    let ended = |world: &World| bookings.iter().all(|n| world.outcome(*n).is_some());
    assert!(world.run_until(15_000, ended), "a booking has no outcome");
    for number in &bookings {
        let outcome = world.outcome(*number);
        assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
        let runs = format!("runs R{number}\n");
        assert_eq!(world.session_text().matches(&runs).count(), 1, "R{number}");
    }
    world.start_section("the cells of entry-0 get another owner, entry-0 returns");
    assert!(world.run_until(20_000, |world| world.is_owned() && world.is_healed()));
    world.run(3_000);
    world
}

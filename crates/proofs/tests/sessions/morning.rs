//! An ordinary morning at Haugland: fittings are booked, day sheets fetched, cut lists made.

use hyssop_core::Outcome;
use hyssop_proofs::world::{Stage, World, batch};

pub(crate) fn play() -> World {
    let mut world = World::new(1);
    world.record("the processes start, the owners claim their cells");
    assert!(world.run_until(super::OWNED, World::is_owned), "no owners");
    world.run(3_000);
    // One claim for each cell: nobody takes a cell from an owner that has just claimed it.
    assert_eq!(world.session().matches("claim by ").count(), 3);
    world.chapter("two fittings are booked and a day sheet is fetched");
    let fittings = [world.request(false, 0), world.request(false, 1)];
    let sheet = world.request(true, 2);
    let all = [fittings[0], fittings[1], sheet];
    all.iter().for_each(|number| world.follow(*number));
    let answered = |world: &World| all.iter().all(|number| world.outcome(*number).is_some());
    assert!(world.run_until(5_000, answered), "no outcome");
    for number in all {
        let outcome = world.outcome(number);
        assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
    }
    world.chapter("cut lists for each domain while bookings go on");
    world.load = true;
    for n in 0..3 {
        let cell = world.cell(n);
        world.submit(batch(&format!("cut-list-{n}"), 4_000), &cell);
    }
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(20_000, done), "{:?}", world.waiting_jobs());
    world.load = false;
    world.run(1_000);
    for n in 0..3 {
        let job = format!("cut-list-{n}");
        assert_eq!(world.stage(&job), Some(Stage::Done), "{job}");
    }
    world
}

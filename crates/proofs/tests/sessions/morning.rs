//! Ordinary operation at Haugland: fittings are booked, day sheets fetched and cut lists made.
//! Guards against repeated claims and failed requests without faults.

use hyssop_core::Outcome;
use hyssop_proofs::world::{Stage, World, batch};

pub(crate) fn run_session() -> World {
    let mut world = World::new(1);
    world.start_recording("the processes start, the owners claim their cells");
    assert!(
        world.run_until(super::ELECTION_TIMEOUT_MS, World::is_owned),
        "no owners"
    );
    world.run(3_000);
    // One claim for each cell: no entry claims a cell from an owner that has just claimed it.
    assert_eq!(world.session_text().matches("claim by ").count(), 3);
    world.start_section("two fittings are booked and a day sheet is fetched");
    let fittings = [world.start_request(false, 0), world.start_request(false, 1)];
    let sheet = world.start_request(true, 2);
    let all = [fittings[0], fittings[1], sheet];
    all.iter().for_each(|number| world.list_request(*number));
    let answered = |world: &World| all.iter().all(|number| world.outcome(*number).is_some());
    assert!(world.run_until(5_000, answered), "no outcome");
    for number in all {
        let outcome = world.outcome(number);
        assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
    }
    world.start_section("cut lists for each domain while bookings go on");
    world.has_load = true;
    for n in 0..3 {
        let cell = world.cell(n);
        world.submit_job(batch(&format!("cut-list-{n}"), 4_000), &cell);
    }
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(20_000, done), "{:?}", world.waiting_jobs());
    world.has_load = false;
    world.run(1_000);
    for n in 0..3 {
        let job = format!("cut-list-{n}");
        assert_eq!(world.job_stage(&job), Some(Stage::Done), "{job}");
    }
    world
}

//! Runs the world without faults. Guards against a simulation that reports violations or stalls by
//! itself.

use hyssop_core::Outcome;
use hyssop_proofs::world::{Stage, World, batch};

#[test]
fn world_without_faults_finishes_its_work() {
    let mut world = World::new(1);
    assert!(world.run_until(20_000, World::is_owned), "no owners");
    world.has_load = true;
    for n in 0..6 {
        let cell = world.cell(n % 3);
        world.submit_job(batch(&format!("job-{n}"), 4_000), &cell);
    }
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(
        world.run_until(30_000, done),
        "{:?} {:?}",
        world.waiting_jobs(),
        world.client_errors()
    );
    assert_eq!(world.job_stage("job-0"), Some(Stage::Done));
    for entry in 0..3 {
        for is_idempotent in [true, false] {
            let number = world.start_request(is_idempotent, entry);
            let answered = |world: &World| world.outcome(number).is_some();
            assert!(world.run_until(5_000, answered), "no outcome");
            let outcome = world.outcome(number);
            assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
        }
    }
}

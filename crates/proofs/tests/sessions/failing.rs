//! A worker fails all that it starts. Guards against jobs that fail for good because of it, and
//! against a worker that goes on getting work.

use hyssop_proofs::world::{Stage, World, batch};

/// Cut lists of each wave. A worker has room for more than three, but gets three at once.
const WAVES: [usize; 3] = [6, 5, 4];

/// Submits a wave and waits until all of it has finished.
fn wave(world: &mut World, name: &str, count: usize) {
    let cell = world.cell(2);
    let jobs: Vec<String> = (0..count).map(|n| format!("{name}-{n}")).collect();
    for job in &jobs {
        world.submit(batch(job, 2_000), &cell);
    }
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(60_000, done), "{:?}", world.waiting_jobs());
    for job in &jobs {
        assert_eq!(world.stage(job), Some(Stage::Done), "{job}");
    }
}

/// Returns how many tasks the worker has started.
fn begun(world: &World) -> usize {
    let session = world.session();
    let lines = session.lines();
    let begun = lines.filter(|line| line.contains("forde-w1: ") && line.ends_with(" begins"));
    begun.count()
}

pub(crate) fn play() -> World {
    let mut world = super::owned(7);
    world.record("forde-w1 fails all that it starts; its jobs finish elsewhere");
    world.fail_worker(7, true);
    wave(&mut world, "early", WAVES[0]);
    world.chapter("more work, more evidence");
    wave(&mut world, "more", WAVES[1]);
    let before = begun(&world);
    assert!(before > 0, "the worker got no work");
    world.chapter("the worker is in quarantine");
    wave(&mut world, "late", WAVES[2]);
    assert_eq!(begun(&world), before, "a worker in quarantine gets work");
    world
}

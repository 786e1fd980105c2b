//! A worker fails every task that it starts. Guards against jobs that fail permanently because of
//! it, and against a failing worker that continues to get work.

use hyssop_proofs::world::{Stage, World, batch};

/// Number of cut list jobs in each batch. A worker has free capacity for more than three, but gets
/// three at once.
const WAVE_SIZES: [usize; 3] = [6, 5, 4];

/// Submits a batch of jobs and waits until all of them have finished.
fn run_wave(world: &mut World, name: &str, count: usize) {
    let cell = world.cell(2);
    let jobs: Vec<String> = (0..count).map(|n| format!("{name}-{n}")).collect();
    for job in &jobs {
        world.submit_job(batch(job, 2_000), &cell);
    }
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(60_000, done), "{:?}", world.waiting_jobs());
    for job in &jobs {
        assert_eq!(world.job_stage(job), Some(Stage::Done), "{job}");
    }
}

/// Returns the number of tasks that forde-w1 has started.
fn started_tasks(world: &World) -> usize {
    let session = world.session_text();
    let lines = session.lines();
    let started_tasks =
        lines.filter(|line| line.contains("forde-w1: ") && line.ends_with(" begins"));
    started_tasks.count()
}

pub(crate) fn run_session() -> World {
    let mut world = super::world_with_owners(7);
    world.start_recording("forde-w1 fails all that it starts; its jobs finish elsewhere");
    world.fail_worker(7, true);
    run_wave(&mut world, "early", WAVE_SIZES[0]);
    world.start_section("more work, more evidence");
    run_wave(&mut world, "more", WAVE_SIZES[1]);
    let before = started_tasks(&world);
    assert!(before > 0, "the worker got no work");
    world.start_section("the worker is in quarantine");
    run_wave(&mut world, "late", WAVE_SIZES[2]);
    assert_eq!(
        started_tasks(&world),
        before,
        "a worker in quarantine gets work"
    );
    world
}

//! Results of attempts that were given up because their worker could not be reached.

use hyssop_proofs::world::{Node, Stage, World, batch};
use rstest::rstest;

/// Work of the job: it ends while its worker cannot be reached, and before its lease expires.
const WORK_MS: u64 = 13_000;

/// Guards against a job that runs again, although the result of an attempt that was given up has
/// arrived and was acknowledged: the second attempt is lost with its worker. The owner that has
/// received the result may end before it is recorded.
#[rstest]
fn late_result_finishes_its_job(#[values(false, true)] kills_owner: bool) {
    for seed in 1..=8 {
        let mut world = World::new(seed);
        assert!(world.run_until(20_000, World::is_owned), "no owners");
        world.run(2_000);
        let cell = world.cell(0);
        world.submit_job(batch("job", WORK_MS), &cell);
        assert!(world.run_until(5_000, |world| world.worker_running("job").is_some()));
        world.run(2_000);
        let first = world.worker_running("job").unwrap();
        world.partition(&[Node::Worker(first)]);
        assert!(world.run_until(15_000, |world| world.worker_running("job").is_none()));
        assert!(world.run_until(10_000, |world| world.worker_running("job").is_some()));
        let second = world.worker_running("job").unwrap();
        // The second attempt can be stopped by the owner no more.
        world.kill(Node::Worker(second), None);
        world.end_faults_after(0);
        world.run(2_000);
        if kills_owner {
            let owner = world.owner(&cell).unwrap();
            world.kill(Node::Entry(owner), None);
        }
        let has_run_again =
            |world: &World| world.worker_running("job").is_some_and(|n| n != second);
        let again = world.run_until(60_000, has_run_again);
        assert!(!again, "seed {seed}: a third attempt\n{}", world.trace());
        assert_eq!(world.job_stage("job"), Some(Stage::Done), "seed {seed}");
    }
}

/// Guards against a job that runs again in the cell that it has moved to, although the cell that it
/// came from has acknowledged its result. The owner of either cell may end before it is recorded.
#[rstest]
fn late_result_finishes_its_job_in_another_cell(
    #[values(None, Some(0), Some(1))] kills: Option<usize>,
) {
    for seed in 1..=8 {
        let mut world = World::new(seed);
        assert!(world.run_until(20_000, World::is_owned), "no owners");
        world.run(2_000);
        let cell = world.cell(0);
        world.submit_job(batch("job", WORK_MS), &cell);
        assert!(world.run_until(5_000, |world| world.worker_running("job").is_some()));
        world.run(2_000);
        // All workers of the cell.
        world.partition(&[0, 1, 2].map(Node::Worker));
        assert!(world.run_until(15_000, |world| world.worker_running("job").is_none()));
        assert!(world.run_until(20_000, |world| world.worker_running("job").is_some()));
        let second = world.worker_running("job").unwrap();
        assert!(second > 2, "seed {seed}: the job has not moved");
        // The second attempt can be stopped by the owner no more.
        world.kill(Node::Worker(second), None);
        world.end_faults_after(0);
        world.run(2_000);
        if let Some(n) = kills {
            let cell = world.cell(if n == 0 { 0 } else { second / 3 });
            let owner = world.owner(&cell).unwrap();
            world.kill(Node::Entry(owner), None);
        }
        let has_run_again =
            |world: &World| world.worker_running("job").is_some_and(|n| n != second);
        let again = world.run_until(60_000, has_run_again);
        assert!(!again, "seed {seed}: a third attempt\n{}", world.trace());
        assert_eq!(world.job_stage("job"), Some(Stage::Done), "seed {seed}");
    }
}

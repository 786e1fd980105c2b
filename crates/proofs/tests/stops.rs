//! Planned stops under load. Guards against a stop that cuts off a request in flight, loses a job
//! or leaves tasks behind.

use hyssop_core::{DomainState, Outcome};
use hyssop_proofs::world::{DesiredState, Node, World, batch};

/// Returns a world under load, with jobs in every cell.
fn world_under_load(seed: u64) -> World {
    let mut world = World::new(seed);
    assert!(world.run_until(20_000, World::is_owned), "no owners");
    world.run(2_000);
    world.has_load = true;
    for n in 0..6 {
        let cell = world.cell(n % 3);
        world.submit_job(batch(&format!("job-{n}"), 10_000), &cell);
    }
    world.run(3_000);
    world
}

fn finish_jobs(world: &mut World) {
    let done = |world: &World| world.waiting_jobs().is_empty();
    let finished = world.run_until(60_000, done);
    assert!(finished, "seed {}: {:?}", world.seed, world.waiting_jobs());
    assert_eq!(world.client_errors(), [] as [&str; 0]);
}

/// Checks that each request ended with a known outcome, so that none was cut off.
fn check_outcomes(world: &mut World, numbers: std::ops::Range<u64>) {
    world.has_load = false;
    world.run(8_000);
    for number in numbers {
        let outcome = world.outcome(number);
        let unknown = matches!(outcome, Some(Outcome::Unknown(_)) | None);
        assert!(!unknown, "request {number}: {outcome:?}");
    }
}

#[test]
fn agents_stop_in_turn() {
    let mut world = world_under_load(11);
    let first = world.start_request(true, 0);
    for n in 0..3 {
        world.stop_agent(n);
        let stopped = |world: &World| !world.is_running(Node::Agent(n));
        assert!(world.run_until(75_000, stopped), "agent {n} does not stop");
        let back = |world: &World| world.is_running(Node::Agent(n));
        assert!(world.run_until(3_000, back), "agent {n} does not return");
        world.run(5_000);
    }
    finish_jobs(&mut world);
    let last = world.start_request(true, 0);
    check_outcomes(&mut world, first..last);
}

#[test]
fn entries_stop_in_turn() {
    let mut world = world_under_load(12);
    world.has_load = false;
    for n in 0..3 {
        world.shut_down_entry(n);
        let stopped = |world: &World| world.has_shut_down(n);
        assert!(world.run_until(10_000, stopped), "entry {n} does not stop");
        world.kill(Node::Entry(n), Some(1_000));
        // No entry waits for the heartbeat timeout of an owner that has resigned.
        assert!(world.run_until(3_000, World::is_owned), "no owner");
        world.run(8_000);
    }
    finish_jobs(&mut world);
}

#[test]
fn domains_are_drained_in_turn() {
    let mut world = world_under_load(13);
    let first = world.start_request(true, 0);
    for n in 0..3 {
        let domain = world.cell(n).domain;
        world.request_change(DesiredState::Domain(domain.clone(), DomainState::Out), n);
        let empty = |world: &World| {
            let left = world.running_in(&domain);
            world.are_goals_met() && left.is_empty() && !world.is_running(Node::Agent(n))
        };
        assert!(world.run_until(90_000, empty), "{domain} does not empty");
        world.request_change(DesiredState::Domain(domain.clone(), DomainState::In), n);
        let back = |world: &World| world.are_goals_met() && world.is_running(Node::Agent(n));
        assert!(world.run_until(10_000, back), "{domain} does not return");
        world.run(8_000);
    }
    finish_jobs(&mut world);
    let last = world.start_request(true, 0);
    check_outcomes(&mut world, first..last);
}

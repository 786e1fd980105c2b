//! A burst of interfering route plan jobs runs beside the planner service. Guards against a planner
//! that stays slowed down, and against plans that are lost or run twice when they are throttled or
//! evicted.

use std::cell::Cell;
use std::rc::Rc;

use hyssop_core::{JobSpec, PollReply};
use hyssop_proofs::world::{Body, Stage, World, batch};

/// Number of route plan jobs.
const PLANS: usize = 6;
/// Largest accepted slowdown of the planner, in percent of its latency without interference. The
/// goal for tail latency is within 10% of strict isolation, and the protection acts above 115.
const MAX_SLOWDOWN_PERCENT: u32 = 115;
/// Time within which the planner must recover. Three plans beside it are throttled and evicted one
/// after the other, each after a measurement delay of 1 s, the poll interval of 1 s and 1.5 s until
/// the effect of an action is visible; doubled as a margin.
const PROTECTION_TIMEOUT_MS: u64 = 28_000;

/// Returns a route plan job that slows down the tasks beside it by its `noise`.
fn route_plan(n: usize, noise: u32) -> JobSpec {
    JobSpec {
        payload: format!(r#"{{"noise": {noise}}}"#),
        ..batch(&format!("route-plan-{n}"), 12_000)
    }
}

/// Tracks the latest reported slowdown of the planner in the first domain.
fn track_slowdown(world: &mut World) -> Rc<Cell<u32>> {
    let latest = Rc::new(Cell::new(100));
    let tracked = Rc::clone(&latest);
    let read_usage = move |reply: &PollReply| {
        let first = |job: &str| job.starts_with("standing-planner-bergen-a");
        for usage in reply.usage.iter().filter(|u| first(u.job.as_str())) {
            tracked.set(usage.slowdown);
        }
    };
    world.tamper(Box::new(move |message, _| {
        if let Body::PollReply(Ok(reply)) = &message.body {
            read_usage(reply);
        }
    }));
    latest
}

fn submit_plans(world: &mut World, noise: u32) {
    let cell = world.cell(0);
    for n in 0..PLANS {
        world.submit_job(route_plan(n, noise), &cell);
    }
}

pub(crate) fn run_session() -> World {
    let mut world = super::world_with_owners(2);
    let slowdown = track_slowdown(&mut world);
    world.start_recording("a wave of route plans arrives while fittings are booked");
    world.has_load = true;
    submit_plans(&mut world, 10);
    let slow = |_: &World| slowdown.get() > MAX_SLOWDOWN_PERCENT;
    assert!(world.run_until(10_000, slow), "{}", slowdown.get());
    world.start_section("the planner is slowed down");
    let protected = |_: &World| slowdown.get() <= MAX_SLOWDOWN_PERCENT;
    assert!(
        world.run_until(PROTECTION_TIMEOUT_MS, protected),
        "{}",
        slowdown.get()
    );
    world.start_section("the planner is protected, the plans finish");
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(120_000, done), "{:?}", world.waiting_jobs());
    assert!(slowdown.get() <= MAX_SLOWDOWN_PERCENT, "{}", slowdown.get());
    world.has_load = false;
    world.run(1_000);
    for n in 0..PLANS {
        assert_eq!(
            world.job_stage(&format!("route-plan-{n}")),
            Some(Stage::Done)
        );
    }
    world
}

/// Guards against a protection that stops at throttling although throttling is not sufficient.
pub(crate) fn run_very_noisy_session() {
    let mut world = super::world_with_owners(2);
    let slowdown = track_slowdown(&mut world);
    submit_plans(&mut world, 60);
    let slow = |_: &World| slowdown.get() > MAX_SLOWDOWN_PERCENT;
    assert!(world.run_until(10_000, slow), "{}", slowdown.get());
    let protected = |_: &World| slowdown.get() <= MAX_SLOWDOWN_PERCENT;
    let protected = world.run_until(PROTECTION_TIMEOUT_MS, protected);
    let left = slowdown.get();
    assert!(
        protected,
        "seed {}: the planner reports {left} percent {PROTECTION_TIMEOUT_MS} ms after the wave",
        world.seed
    );
}

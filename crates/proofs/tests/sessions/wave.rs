//! A wave of noisy route plans beside the planner. Guards against a planner that stays slowed down,
//! and against plans that are lost or run twice when they are restrained.

use std::cell::Cell;
use std::rc::Rc;

use hyssop_core::{JobSpec, PollReply};
use hyssop_proofs::world::{Body, Stage, World, batch};

/// Route plans of the wave.
const PLANS: usize = 6;
/// Slowdown in percent of an unhindered planner. The goal for tail latency is within 10% of strict
/// isolation, and the protection acts above 115.
const SLOW: u32 = 115;
/// Time within which the planner is no longer slow: three plans beside it are throttled and evicted
/// one after the other, each after the lag of 1 s, the poll interval of 1 s, and the 1.5 s in
/// which the effect of an action can be seen; twice that.
const PROTECTED: u64 = 28_000;

/// A plan that slows each neighbour down.
fn plan(n: usize, noise: u32) -> JobSpec {
    JobSpec {
        payload: format!(r#"{{"noise": {noise}}}"#),
        ..batch(&format!("route-plan-{n}"), 12_000)
    }
}

/// Notes the latest reported slowdown of the planner in the first domain.
fn watch(world: &mut World) -> Rc<Cell<u32>> {
    let latest = Rc::new(Cell::new(100));
    let note = Rc::clone(&latest);
    let look = move |reply: &PollReply| {
        let first = |job: &str| job.starts_with("standing-planner-bergen-a");
        for usage in reply.usage.iter().filter(|u| first(u.job.as_str())) {
            note.set(usage.slowdown);
        }
    };
    world.tamper(Box::new(move |message, _| {
        if let Body::Polled(Ok(reply)) = &message.body {
            look(reply);
        }
    }));
    latest
}

fn submit(world: &mut World, noise: u32) {
    let cell = world.cell(0);
    for n in 0..PLANS {
        world.submit(plan(n, noise), &cell);
    }
}

pub(crate) fn play() -> World {
    let mut world = super::owned(2);
    let slowdown = watch(&mut world);
    world.record("a wave of route plans arrives while fittings are booked");
    world.load = true;
    submit(&mut world, 10);
    let slow = |_: &World| slowdown.get() > SLOW;
    assert!(world.run_until(10_000, slow), "{}", slowdown.get());
    world.chapter("the planner is slowed down");
    let protected = |_: &World| slowdown.get() <= SLOW;
    assert!(world.run_until(PROTECTED, protected), "{}", slowdown.get());
    world.chapter("the planner is protected, the plans finish");
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(120_000, done), "{:?}", world.waiting_jobs());
    assert!(slowdown.get() <= SLOW, "{}", slowdown.get());
    world.load = false;
    world.run(1_000);
    for n in 0..PLANS {
        assert_eq!(world.stage(&format!("route-plan-{n}")), Some(Stage::Done));
    }
    world
}

/// Guards against a protection that stops at throttling although it does not suffice.
pub(crate) fn play_very_noisy() {
    let mut world = super::owned(2);
    let slowdown = watch(&mut world);
    submit(&mut world, 60);
    let slow = |_: &World| slowdown.get() > SLOW;
    assert!(world.run_until(10_000, slow), "{}", slowdown.get());
    let protected = |_: &World| slowdown.get() <= SLOW;
    let protected = world.run_until(PROTECTED, protected);
    let left = slowdown.get();
    assert!(
        protected,
        "seed {}: the planner reports {left} percent {PROTECTED} ms after the wave",
        world.seed
    );
}

//! Golden files of whole sessions: what callers and operators were told and what every process
//! sent. Guards against changes of what users see that no other test names.
//!
//! Each session also asserts in code what it is about, so that an accepted file cannot hide a
//! broken guarantee, and every event is judged by the invariants. To accept a change on purpose,
//! run `INSTA_UPDATE=always cargo test -p hyssop-proofs --test sessions` and read the difference.

#[path = "sessions/cleaning.rs"]
mod cleaning;
#[path = "sessions/edit.rs"]
mod edit;
#[path = "sessions/failing.rs"]
mod failing;
#[path = "sessions/frozen.rs"]
mod frozen;
#[path = "sessions/killed.rs"]
mod killed;
#[path = "sessions/morning.rs"]
mod morning;
#[path = "sessions/morski.rs"]
mod morski;
#[path = "sessions/wave.rs"]
mod wave;

use hyssop_proofs::world::World;

/// Most lines of a golden file, so that a person can read it.
const MAX_LINES: usize = 300;
/// Longest time until all cells have owners.
const ELECTION_TIMEOUT_MS: u64 = 20_000;

/// Returns a world in which every cell has an owner.
fn world_with_owners(seed: u64) -> World {
    let mut world = World::new(seed);
    assert!(
        world.run_until(ELECTION_TIMEOUT_MS, World::is_owned),
        "no owners"
    );
    world.run(3_000);
    world
}

/// Checks that no caller of a request noticed anything.
fn check_no_caller_affected(world: &World) {
    let session = world.session_text();
    for outcome in ["not run", "outcome unknown", "no ticket"] {
        assert!(!session.contains(outcome), "{outcome}:\n{session}");
    }
    assert!(session.contains("answered at the first try"), "no load");
}

/// Plays a session twice and compares it with itself and with its golden file.
fn compare_with_golden(name: &str, play: fn() -> World) {
    let world = play();
    assert_eq!(world.violations(), []);
    assert_eq!(world.client_errors(), &[] as &[String]);
    let text = world.session_text();
    let repeated = play().session_text();
    assert_eq!(text, repeated, "the session differs between two runs");
    let lines = text.lines().count();
    assert!(lines <= MAX_LINES, "{lines} lines:\n{text}");
    insta::assert_snapshot!(name, text);
}

#[test]
fn morning() {
    compare_with_golden("morning", morning::play);
}

#[test]
fn wave() {
    compare_with_golden("wave", wave::play);
}

#[test]
fn very_noisy_wave_is_evicted() {
    wave::play_very_noisy();
}

#[test]
fn cleaning() {
    compare_with_golden("cleaning", cleaning::play);
}

#[test]
fn edit() {
    compare_with_golden("edit", edit::play);
}

#[test]
fn killed() {
    compare_with_golden("killed", killed::play);
}

#[test]
fn frozen() {
    compare_with_golden("frozen", frozen::play);
}

#[test]
fn failing() {
    compare_with_golden("failing", failing::play);
}

#[test]
fn morski() {
    compare_with_golden("morski", morski::play);
}

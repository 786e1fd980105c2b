//! Golden files of whole sessions: responses to callers and operators and the messages of every
//! process. Guards against changes visible to users that no other test detects.
//!
//! Each session also asserts its purpose in code, so that an accepted file can't hide a violated
//! guarantee, and the invariants check every event. To accept an intended change, run
//! `INSTA_UPDATE=always cargo test -p hyssop-proofs --test sessions` and review the difference.

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

/// Largest number of lines of a golden file, so that a person can review it.
const MAX_LINES: usize = 300;
/// Time within which all cells have owners after the start.
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

/// Checks that every request got a complete response and every ticket request a ticket.
fn check_no_caller_affected(world: &World) {
    let session = world.session_text();
    for outcome in ["not run", "outcome unknown", "no ticket"] {
        assert!(!session.contains(outcome), "{outcome}:\n{session}");
    }
    assert!(session.contains("answered at the first try"), "no load");
}

/// Runs a session twice and compares the texts of both runs and the golden file.
fn compare_with_golden(name: &str, run_session: fn() -> World) {
    let world = run_session();
    assert_eq!(world.violations(), []);
    assert_eq!(world.client_errors(), &[] as &[String]);
    let text = world.session_text();
    let repeated = run_session().session_text();
    assert_eq!(text, repeated, "the session differs between two runs");
    let lines = text.lines().count();
    assert!(lines <= MAX_LINES, "{lines} lines:\n{text}");
    insta::assert_snapshot!(name, text);
}

#[test]
fn morning() {
    compare_with_golden("morning", morning::run_session);
}

#[test]
fn wave() {
    compare_with_golden("wave", wave::run_session);
}

#[test]
fn very_noisy_wave_is_evicted() {
    wave::run_very_noisy_session();
}

#[test]
fn cleaning() {
    compare_with_golden("cleaning", cleaning::run_session);
}

#[test]
fn edit() {
    compare_with_golden("edit", edit::run_session);
}

#[test]
fn killed() {
    compare_with_golden("killed", killed::run_session);
}

#[test]
fn frozen() {
    compare_with_golden("frozen", frozen::run_session);
}

#[test]
fn failing() {
    compare_with_golden("failing", failing::run_session);
}

#[test]
fn morski() {
    compare_with_golden("morski", morski::run_session);
}

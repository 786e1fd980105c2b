//! The log is down while two operators edit the same document. Guards against the report of a
//! change as accepted that was not, and against the acceptance of both changes.

use hyssop_conf::ApplyOutcome;
use hyssop_core::{Class, RecordId, ServiceDoc, ServiceName};
use hyssop_proofs::world::{World, batch, doc};

/// Time without the log after which no entry has a confirmed configuration.
const CONFIRMATION_LOSS_MS: u64 = 4_000;

/// Returns the document of the cut lists with the given pause in seconds.
fn edited_doc(pause: u32) -> ServiceDoc {
    let mut doc = doc(&ServiceName::new("cuts").expect("service"), Class::Batch, 0);
    doc.moves.pause = pause;
    doc
}

/// Lets an operator send an edit to an entry and records the immediate response.
fn send_edit(world: &mut World, who: &str, entry: usize, pause: u32) -> Option<RecordId> {
    let record = world.submit_doc(entry, &edited_doc(pause));
    let response = match record {
        Some(_) => "the change is under way",
        None => "not accepted: the log is not reachable",
    };
    let text = format!("entry-{entry}, pause {pause} s for cuts, please: {response}");
    world.record_note(who, &text);
    record
}

/// Records the final response to an operator and returns whether the change was accepted.
fn record_outcome(world: &mut World, who: &str, entry: usize, id: RecordId) -> bool {
    let decision = world.change_outcome(entry, id);
    let (text, is_accepted) = match decision {
        Some(ApplyOutcome::Accepted { version }) => {
            (format!("accepted as version {version}"), true)
        }
        Some(ApplyOutcome::Conflict { current, winner }) => {
            let winner = winner.expect("the conflict names its winner");
            (
                format!("conflict with version {current} by {winner}"),
                false,
            )
        }
        other => panic!("unexpected outcome for {who}: {other:?}"),
    };
    world.record_note(who, &format!("told by entry-{entry}: {text}"));
    is_accepted
}

pub(crate) fn run_session() -> World {
    let mut world = super::world_with_owners(4);
    world.start_recording("the log goes down, two operators edit the document of the cut lists");
    world.has_load = true;
    let cell = world.cell(0);
    world.submit_job(batch("cut-list-0", 8_000), &cell);
    world.run(2_000);
    world.log_down();
    world.run(100);
    let first = send_edit(&mut world, "Astrid", 0, 10)
        .expect("entry-0 still has a confirmed configuration");
    let second = send_edit(&mut world, "Bjarne", 1, 20)
        .expect("entry-1 still has a confirmed configuration");
    world.run(1_000);
    // No outcome is reported before the record is in the log.
    assert_eq!(world.change_outcome(0, first), None);
    assert_eq!(world.change_outcome(1, second), None);
    world.start_section("the proofs of the configuration grow old");
    world.run(CONFIRMATION_LOSS_MS);
    assert_eq!(send_edit(&mut world, "Astrid", 0, 30), None);
    assert_eq!(send_edit(&mut world, "Bjarne", 1, 40), None);
    world.start_section("the log returns");
    world.end_faults_after(0);
    world.run(6_000);
    let astrid = record_outcome(&mut world, "Astrid", 0, first);
    let bjarne = record_outcome(&mut world, "Bjarne", 1, second);
    assert!(astrid != bjarne, "exactly one change is accepted");
    let pause = if astrid { 10 } else { 20 };
    assert!(
        world.is_doc_active(&edited_doc(pause)),
        "the accepted change is active"
    );
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(30_000, done), "{:?}", world.waiting_jobs());
    world.has_load = false;
    world.run(1_000);
    super::check_no_caller_affected(&world);
    world
}

//! Morski: quota summaries for an inspector, a result fetched under two receipts, and an outage of
//! the domain gdynia. Guards against logbook entries, reports or results that are lost or
//! duplicated.

use hyssop_core::{JobSpec, Outcome};
use hyssop_proofs::world::{Fleet, Node, Stage, World, batch};

/// Number of quota summary jobs.
const SUMMARIES: usize = 4;
/// Duration of the domain's outage, longer than the wait for tasks that its workers may still run.
const DOMAIN_OUTAGE_MS: u64 = 30_000;

fn report(kind: &str, name: &str, work: u64) -> JobSpec {
    Fleet::MORSKI.job(kind, batch(name, work))
}

fn finish_jobs(world: &mut World) {
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(120_000, done), "{:?}", world.waiting_jobs());
}

/// Files a logbook entry through each entry and waits for all outcomes.
fn file_entries(world: &mut World) {
    let numbers: Vec<u64> = (0..3)
        .map(|entry| world.start_request(false, entry))
        .collect();
    let ended = |world: &World| numbers.iter().all(|n| world.outcome(*n).is_some());
    assert!(world.run_until(10_000, ended), "no outcome");
    for number in numbers {
        let outcome = world.outcome(number);
        assert!(matches!(outcome, Some(Outcome::Complete(_))), "{outcome:?}");
    }
}

pub(crate) fn run_session() -> World {
    let mut world = World::with_fleet(8, Fleet::MORSKI);
    assert!(
        world.run_until(super::ELECTION_TIMEOUT_MS, World::is_owned),
        "no owners"
    );
    world.run(3_000);
    let cell = world.cell(0);
    assert_eq!(cell.domain.as_str(), "gdynia");
    world.start_recording("an inspector asks for quota summaries, skippers file entries");
    for n in 0..SUMMARIES {
        let spec = report("quota-summary", &format!("quota-{n}"), 4_000);
        world.submit_job(spec, &cell);
    }
    file_entries(&mut world);
    finish_jobs(&mut world);
    for n in 0..SUMMARIES {
        let job = format!("quota-{n}");
        assert_eq!(world.job_stage(&job), Some(Stage::Done), "{job}");
        let session = world.session_text();
        let taken = format!("taken {job} under receipt first");
        assert_eq!(session.matches(&taken).count(), 1, "{job}");
        assert!(!session.contains(&format!("taken {job} under receipt second")));
    }
    world.start_section("a franchisee's reconciliation runs in gdynia");
    world.submit_job(report("reconciliation", "landings-0", 20_000), &cell);
    world.run(8_000);
    assert_eq!(world.running_in(&cell.domain).len(), 1);
    world.start_section("gdynia is lost");
    let lost = [
        Node::Entry(0),
        Node::Agent(0),
        Node::Worker(0),
        Node::Worker(1),
        Node::Worker(2),
    ];
    lost.iter()
        .for_each(|node| world.kill(*node, Some(DOMAIN_OUTAGE_MS)));
    // Two callers use the lost entry or agent first and repeat their requests through another
    // entry.
    world.run(5_000);
    file_entries(&mut world);
    world.start_section("the reconciliation goes on elsewhere");
    finish_jobs(&mut world);
    assert_eq!(world.job_stage("landings-0"), Some(Stage::Done));
    let session = world.session_text();
    let resumed = session
        .lines()
        .find(|line| line.contains(": start landings-0#3"));
    assert!(
        resumed.is_some_and(|line| line.contains(" from ")),
        "not resumed from a checkpoint: {resumed:?}"
    );
    world.start_section("gdynia returns");
    assert!(world.run_until(60_000, World::is_healed), "not healed");
    world.run(3_000);
    world.submit_job(report("reconciliation", "landings-1", 2_000), &cell);
    file_entries(&mut world);
    finish_jobs(&mut world);
    world
}

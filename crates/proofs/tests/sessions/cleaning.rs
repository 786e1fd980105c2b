//! bergen-b is taken out of service and brought back while requests and jobs continue. Guards
//! against failed requests and against work that starts in the domain meanwhile.

use hyssop_core::DomainState;
use hyssop_proofs::world::{DesiredState, Stage, World, batch};

/// Number of cut list jobs that run when the domain is taken out of service.
const CUT_LISTS: usize = 4;

pub(crate) fn run_session() -> World {
    let mut world = super::world_with_owners(3);
    let cell = world.cell(1);
    let domain = cell.domain.clone();
    assert_eq!(domain.as_str(), "bergen-b");
    world.start_recording("cut lists run in bergen-b while fittings are booked");
    world.has_load = true;
    for n in 0..CUT_LISTS {
        world.submit_job(batch(&format!("cut-list-{n}"), 8_000), &cell);
    }
    world.run(5_000);
    assert_eq!(world.running_in(&domain).len(), CUT_LISTS);
    world.start_section("bergen-b is taken out of service");
    world.request_change(DesiredState::Domain(domain.clone(), DomainState::Out), 0);
    world.record_note("operators", "bergen-b out of service, please");
    let empty = |world: &World| world.running_in(&domain).is_empty();
    assert!(world.run_until(10_000, empty), "bergen-b does not drain");
    world.start_section("bergen-b is clean; the cut lists finish elsewhere");
    let done = |world: &World| world.waiting_jobs().is_empty();
    assert!(world.run_until(60_000, done), "{:?}", world.waiting_jobs());
    assert!(world.running_in(&domain).is_empty());
    world.start_section("bergen-b comes back");
    world.request_change(DesiredState::Domain(domain.clone(), DomainState::In), 1);
    world.record_note("operators", "bergen-b back in service, please");
    assert!(world.run_until(10_000, World::are_goals_met));
    world.submit_job(batch("cut-list-after", 2_000), &cell);
    let back = |world: &World| world.job_stage("cut-list-after") == Some(Stage::Done);
    assert!(world.run_until(20_000, back), "{:?}", world.waiting_jobs());
    world.has_load = false;
    world.run(1_000);
    super::check_no_caller_affected(&world);
    let session = world.session_text();
    let resumed = session.matches("#3 begins").count();
    assert_eq!(resumed, CUT_LISTS, "cut lists resumed once each");
    world
}

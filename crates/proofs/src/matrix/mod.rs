//! The fault matrix: every fault at every step, and the run of a single case.

mod faults;
mod steps;

use std::fmt;

use hyssop_core::limits::{FAILOVER_WAIT, HEARTBEAT_INTERVAL, PEER_TIMEOUT};
use hyssop_core::{DomainState, Millis, Outcome};

pub use faults::{FAULTS, Fault};
pub use steps::{STEPS, Step};

use crate::world::{DesiredState, World, batch};

/// Work of each job that runs in the background of a step.
const JOB_WORK_MS: u64 = 6_000;
/// Time within which the step's message must be sent. A snapshot is written every quarter of the
/// retention of 60 s, and the other steps take a few seconds.
const STEP_TIMEOUT_MS: u64 = 30_000;
/// Longest additional wait of a new owner that does not know the history of its stream.
const UNKNOWN_HISTORY_WAIT_MS: u64 = 60_000;
/// Time after the end of all faults within which all work must finish: the entry with the lowest
/// election rank claims the cells, the leases of unreachable workers expire, and each job runs at
/// most twice more while it competes with the other jobs.
pub const COMPLETION_TIMEOUT_MS: u64 = UNKNOWN_HISTORY_WAIT_MS
    + PEER_TIMEOUT.0
    + 4 * HEARTBEAT_INTERVAL.0
    + FAILOVER_WAIT.0
    + 4 * JOB_WORK_MS;
/// Time between the end of a fault and the checks of its effects.
const RECOVERY_MS: u64 = 3_000;
/// Time within which a request must be answered after all faults have ended.
const REQUEST_TIMEOUT_MS: u64 = 5_000;

/// The process of a step that a fault hits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Side {
    /// The process that sends the step's message.
    Actor,
    /// The receiver of the message, or the process that the appended record concerns.
    Other,
}

/// A case of the matrix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Case {
    /// Step at which the fault is injected.
    pub step: Step,
    /// Kind of the fault.
    pub fault: Fault,
    /// Process that the fault hits; must be `Actor` for faults without a side.
    pub side: Side,
}

impl fmt::Display for Case {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:?} at {:?} ({:?})", self.fault, self.step, self.side)
    }
}

impl Case {
    /// Returns why the combination is not applicable, or `None` if it is.
    #[must_use]
    pub fn not_applicable(&self) -> Option<&'static str> {
        if self.side == Side::Other && !self.fault.has_side() {
            return Some("the fault is not that of one process");
        }
        match (self.step, self.fault, self.side) {
            (Step::Announcement, Fault::LogOneSide, _)
            | (Step::Request | Step::Ticketed, Fault::LogOneSide, Side::Other) => {
                Some("agents do not read the log")
            }
            (Step::Request, Fault::Lapsed, Side::Other) => {
                Some("an idempotent request holds neither ticket nor lease")
            }
            _ => None,
        }
    }
}

/// Returns all combinations, including those that are not applicable.
#[must_use]
pub fn cases() -> Vec<Case> {
    let mut cases = Vec::new();
    for step in STEPS {
        for fault in FAULTS {
            for side in [Side::Actor, Side::Other] {
                cases.push(Case { step, fault, side });
            }
        }
    }
    cases
}

/// A second fault in the same run.
#[derive(Clone, Copy, Debug)]
pub struct SecondFault {
    /// Fault and side; the step selects the process that the fault hits.
    pub case: Case,
    /// Time after the first fault, in milliseconds.
    pub delay_ms: u64,
}

/// Runs a case. Panics if a guarantee is violated, the step is not reached or work stalls.
pub fn run(case: Case, seed: u64, second: Option<SecondFault>) {
    run_in(World::new(seed), case, second);
}

/// Runs a case in a given world. Panics like [`run`].
pub fn run_in(mut world: World, case: Case, second: Option<SecondFault>) {
    let fail = |world: &World, text: &str| fail(case, world, text);
    prepare(&mut world, case.step);
    steps::arm(&mut world, case);
    steps::perform(&mut world, case.step);
    if !world.run_until(STEP_TIMEOUT_MS, |world| world.injected_at.is_some()) {
        fail(&world, "the step was not reached");
    }
    if let Some(second) = second {
        world.run(second.delay_ms);
        faults::inject_now(&mut world, second.case);
    }
    if !world.run_until(2 * Fault::MAX_DURATION_MS, World::is_healed) {
        fail(&world, "the fault did not end");
    }
    // Lets the entries read the log again and decide the racing changes.
    world.run(RECOVERY_MS);
    if second.is_none() {
        faults::check_injected(&world, case);
        steps::check_race(&world);
    }
    steps::request_final_state(&mut world, case.step);
    let is_done = |world: &World| {
        let drained =
            !steps::ends_drained(case.step) || world.running_in(&world.cell(0).domain).is_empty();
        world.waiting_jobs().is_empty() && world.are_goals_met() && drained && world.is_owned()
    };
    if !world.run_until(COMPLETION_TIMEOUT_MS, is_done) {
        let text = format!(
            "stalled: jobs {:?}, goals met {}, owned {}, client errors {:?}",
            world.waiting_jobs(),
            world.are_goals_met(),
            world.is_owned(),
            world.client_errors()
        );
        fail(&world, &text);
    }
    if !world.client_errors().is_empty() {
        fail(&world, &format!("{:?}", world.client_errors()));
    }
    finish(&mut world, case);
}

fn fail(case: Case, world: &World, text: &str) -> ! {
    let trace = world.trace();
    panic!(
        "{case}, seed {}, at {}: {text}\n{trace}",
        world.seed,
        world.now()
    );
}

/// Starts the jobs and requests that run in the background of the step.
fn prepare(world: &mut World, step: Step) {
    assert!(
        world.run_until(20_000, World::is_owned),
        "seed {}: no owners",
        world.seed
    );
    world.run(2_000);
    world.has_load = true;
    for n in 0..4 {
        let cell = world.cell(n % 3);
        world.submit_job(batch(&format!("beside-{n}"), JOB_WORK_MS), &cell);
    }
    steps::prepare(world, step);
}

/// Brings the domain back into service and checks that requests are answered through every entry.
fn finish(world: &mut World, case: Case) {
    let domain = world.cell(0).domain;
    world.request_change(DesiredState::Domain(domain, DomainState::In), 0);
    if !world.run_until(COMPLETION_TIMEOUT_MS, World::are_goals_met) {
        fail(case, world, "the domain does not come back");
    }
    world.has_load = false;
    world.run(REQUEST_TIMEOUT_MS);
    for entry in 0..3 {
        for is_idempotent in [true, false] {
            let number = world.start_request(is_idempotent, entry);
            world.run_until(REQUEST_TIMEOUT_MS, |world| world.outcome(number).is_some());
            let outcome = world.outcome(number).cloned();
            if !matches!(outcome, Some(Outcome::Complete(_))) {
                let text = format!("request {number} through entry {entry}: {outcome:?}");
                fail(case, world, &text);
            }
        }
    }
}

/// Returns the duration of a fault.
pub(crate) const fn duration(fault: Fault) -> Millis {
    Millis(fault.duration_ms())
}

//! Steps of the matrix: their preconditions, how each is triggered, and the message that identifies
//! it.

use hyssop_conf::ApplyOutcome;
use hyssop_core::{Class, DomainState, JobId, Order, ServiceName};

use super::{Case, Side, faults};
use crate::world::{Body, DesiredState, Message, Node, Stage, Trigger, World, batch, doc};

/// Name of the job that the step acts on.
const JOB: &str = "step-job";

/// A step of the system, identified by the message that a process sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// An entry appends the acceptance of a job.
    Append,
    /// An entry appends a document.
    Change,
    /// An agent announces itself.
    Announcement,
    /// An entry sends an idempotent request to an agent.
    Request,
    /// An entry sends a request with a ticket to an agent.
    Ticketed,
    /// An owner orders a worker to start a task.
    Start,
    /// An owner orders a worker to checkpoint and stop a task.
    Eviction,
    /// An owner orders a worker to start an evicted task.
    Resume,
    /// An owner appends a cancellation.
    Cancellation,
    /// An entry appends the removal of a domain from service.
    Drain,
    /// An entry appends the return of a domain to service.
    Return,
    /// An entry appends a claim of a cell.
    Takeover,
    /// An owner appends a snapshot.
    Snapshot,
}

/// All steps, in the order of the matrix.
pub const STEPS: [Step; 13] = [
    Step::Append,
    Step::Change,
    Step::Announcement,
    Step::Request,
    Step::Ticketed,
    Step::Start,
    Step::Eviction,
    Step::Resume,
    Step::Cancellation,
    Step::Drain,
    Step::Return,
    Step::Takeover,
    Step::Snapshot,
];

/// Returns whether the first domain is out of service at the end of a step.
pub(crate) const fn ends_drained(step: Step) -> bool {
    matches!(step, Step::Eviction | Step::Resume | Step::Drain)
}

fn domain(world: &World, state: DomainState) -> DesiredState {
    DesiredState::Domain(world.cell(0).domain, state)
}

/// Establishes the preconditions of the step.
pub(crate) fn prepare(world: &mut World, step: Step) {
    match step {
        Step::Eviction | Step::Resume | Step::Cancellation | Step::Drain | Step::Takeover => {
            let cell = world.cell(0);
            world.submit_job(batch(JOB, 8_000), &cell);
            let is_running = world.run_until(5_000, |world| world.worker_running(JOB).is_some());
            assert!(is_running, "seed {}: the job does not run", world.seed);
            // Runs past the first checkpoint, so that a resumed task starts from it.
            world.run(2_500);
        }
        Step::Return => {
            let out = domain(world, DomainState::Out);
            world.request_change(out, 0);
            world.run(6_000);
            let cell = world.cell(0);
            let left = world.running_in(&cell.domain);
            assert!(left.is_empty(), "seed {}: {left:?} run", world.seed);
        }
        _ => {}
    }
}

/// Triggers the step.
pub(crate) fn perform(world: &mut World, step: Step) {
    let cell = world.cell(0);
    match step {
        Step::Append | Step::Start => world.submit_job(batch(JOB, 4_000), &cell),
        Step::Change => {
            let name = ServiceName::new("cuts").expect("service");
            let mut doc = doc(&name, Class::Batch, 0);
            doc.moves.pause = 30;
            world.request_change(DesiredState::Doc(doc), 1);
        }
        Step::Eviction | Step::Resume | Step::Drain => {
            let out = domain(world, DomainState::Out);
            world.request_change(out, 1);
        }
        Step::Return => {
            let back = domain(world, DomainState::In);
            world.request_change(back, 1);
        }
        Step::Cancellation => world.cancel_job(JOB),
        Step::Takeover => {
            if let Some(owner) = world.owner(&cell) {
                // Longer than any wait before the claim, so that the restart does not interfere
                // with it.
                world.kill(Node::Entry(owner), Some(12_000));
            }
        }
        Step::Ticketed => {
            world.start_duplicated_request(0, 0);
        }
        Step::Announcement | Step::Request | Step::Snapshot => {}
    }
}

/// Requests the state that the step leads to, in case a fault prevented it.
pub(crate) fn request_final_state(world: &mut World, step: Step) {
    let state = if ends_drained(step) {
        DomainState::Out
    } else {
        DomainState::In
    };
    let desired = domain(world, state);
    world.request_change(desired, 2);
    if step == Step::Cancellation && world.job_stage(JOB) == Some(Stage::Watch) {
        world.cancel_job(JOB);
    }
}

/// Checks that at most one of two racing changes was accepted and the others conflicted.
pub(crate) fn check_race(world: &World) {
    let Some(race) = world.racing_records else {
        return;
    };
    let outcomes = race.map(|(entry, id)| world.change_outcome(entry, id));
    let is_accepted = |d: &Option<ApplyOutcome>| matches!(d, Some(ApplyOutcome::Accepted { .. }));
    let accepted_count = outcomes.iter().filter(|d| is_accepted(d)).count();
    let is_conflict = |d: &Option<ApplyOutcome>| matches!(d, Some(ApplyOutcome::Conflict { .. }));
    let conflict_count = outcomes.iter().filter(|d| is_conflict(d)).count();
    assert!(
        accepted_count <= 1 && accepted_count + conflict_count == 2,
        "seed {}: racing changes ended as {outcomes:?}",
        world.seed
    );
}

/// Arms the fault of a case for the message of its step.
pub(crate) fn arm(world: &mut World, case: Case) {
    let trigger = trigger(case.step);
    let inject = Box::new(move |world: &mut World, message: &Message| {
        faults::inject(world, case, message);
    });
    world.arm(trigger, inject);
}

fn trigger(step: Step) -> Trigger {
    match step {
        Step::Append => appends_with(&["\"Accepted\"", JOB]),
        Step::Change => appends_with(&["\"Put\"", "\"cuts\""]),
        Step::Announcement => Box::new(|_, message| matches!(message.body, Body::Announce(_))),
        Step::Request => Box::new(|_, message| match &message.body {
            Body::Call(call) => call.is_idempotent,
            _ => false,
        }),
        Step::Ticketed => Box::new(|_, message| match &message.body {
            Body::Call(call) => call.ticket.is_some(),
            _ => false,
        }),
        Step::Start => polls_with(|order| match order {
            Order::Start(start) => is_job(&start.job),
            _ => false,
        }),
        Step::Eviction => polls_with(|order| match order {
            Order::Evict { job, .. } => is_job(job),
            _ => false,
        }),
        Step::Resume => polls_with(|order| match order {
            Order::Start(start) => is_job(&start.job) && start.checkpoint > 0,
            _ => false,
        }),
        Step::Cancellation => appends_with(&["\"Cancelled\"", JOB]),
        Step::Drain => appends_with(&["\"Domain\"", "\"out\""]),
        Step::Return => appends_with(&["\"Domain\"", "\"in\""]),
        Step::Takeover => appends_with(&["\"Claim\""]),
        Step::Snapshot => appends_with(&["\"Snapshot\""]),
    }
}

fn is_job(job: &JobId) -> bool {
    job.as_str() == JOB
}

/// Matches an append with a record whose text contains all `parts`.
fn appends_with(parts: &'static [&'static str]) -> Trigger {
    Box::new(move |_, message| match &message.body {
        Body::Append(_, records) => {
            let has_all = |record: &String| parts.iter().all(|part| record.contains(part));
            records.iter().any(has_all)
        }
        _ => false,
    })
}

/// Matches a poll with an order that satisfies the predicate.
fn polls_with(is_wanted: fn(&Order) -> bool) -> Trigger {
    Box::new(move |_, message| match &message.body {
        Body::Poll(_, request) => request.orders.iter().any(is_wanted),
        _ => false,
    })
}

/// Returns the process that a fault hits at the step's message.
pub(crate) fn target(world: &World, case: Case, message: &Message) -> Node {
    match (case.side, message.to) {
        (Side::Actor, _) => message.from,
        (Side::Other, Node::Log) => affected_node(world, case.step, message.from),
        (Side::Other, to) => to,
    }
}

/// Returns the process other than the writer that a record in the log concerns.
fn affected_node(world: &World, step: Step, writer: Node) -> Node {
    match step {
        Step::Change | Step::Drain => Node::Agent(0),
        // The agent of the returning domain is stopped.
        Step::Return => Node::Worker(0),
        Step::Snapshot => {
            let mut others = (0..3).map(Node::Entry).filter(|node| *node != writer);
            others.next().unwrap_or(writer)
        }
        _ => Node::Worker(world.worker_running(JOB).unwrap_or(0)),
    }
}

/// Returns the target of a second fault: the owner of the first cell, or the process that the step
/// concerns.
pub(crate) fn second_target(world: &World, case: Case) -> Node {
    let owner = Node::Entry(world.owner(&world.cell(0)).unwrap_or(0));
    match case.side {
        Side::Actor => owner,
        Side::Other => affected_node(world, case.step, owner),
    }
}

//! Orders that are repeated, not answered, or received out of order.

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput, StartError};
use hyssop_jobs::{EndKind, Order, Refusal};

use crate::support::{
    Agent, SESSION, end, refused, reports, run, run_status, start, start_answered,
};

fn start_count(outputs: &[AgentOutput]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, AgentOutput::Start { .. }))
        .count()
}

fn stop_count(outputs: &[AgentOutput]) -> usize {
    outputs
        .iter()
        .filter(|output| matches!(output, AgentOutput::Stop { .. }))
        .count()
}

/// Guards against an order that is executed twice because the owner's reply that contains it was
/// repeated.
#[test]
fn repeated_order_is_applied_once() {
    let mut agent = Agent::attached();
    let outputs = agent.reply(vec![(1, start(run(0, 1)))], true);
    assert_eq!(start_count(&outputs), 1);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    let outputs = agent.reply(vec![(1, start(run(0, 1)))], true);
    assert_eq!(start_count(&outputs), 0);
}

/// Guards against an order that is lost because a later reply arrived first.
#[test]
fn order_waits_for_the_orders_before_it() {
    let mut agent = Agent::attached();
    let outputs = agent.reply(vec![(2, start(run(1, 1)))], true);
    assert_eq!(start_count(&outputs), 0);
    let outputs = agent.reply(vec![(1, start(run(0, 1))), (2, start(run(1, 1)))], true);
    assert_eq!(start_count(&outputs), 2);
}

/// Guards against two runs of one task. The worker may still execute a start that it has not
/// answered. The agent therefore stops the run first, and reports it as refused only after the
/// worker has answered the stop.
#[test]
fn unanswered_start_is_stopped_before_it_is_reported() {
    let mut agent = Agent::attached();
    let mut outputs = agent.reply(vec![(1, start(run(0, 1)))], true);
    let mut tries = 0;
    while stop_count(&outputs) == 0 {
        assert_eq!(refused(&outputs), []);
        tries += start_count(&outputs);
        assert!(tries < 10, "never stopped");
        agent.now += 200;
        let result = Err(StartError::Unknown);
        let input = start_answered(run(0, 1), result);
        outputs = agent.step(vec![input]);
        agent.now += 200;
        outputs.extend(agent.step(vec![]));
    }
    let input = AgentInput::Stopped {
        session: SESSION,
        run: run(0, 1),
        is_answered: true,
    };
    agent.step(vec![input]);
    agent.now += 1;
    let outputs = agent.probed(vec![], vec![]);
    assert_eq!(refused(&outputs), [(run(0, 1), Refusal::Other)]);
}

/// Guards against a start that is repeated after the owner has ordered to stop the run.
#[test]
fn stop_ends_the_repetition_of_a_start() {
    let mut agent = Agent::attached();
    agent.reply(vec![(1, start(run(0, 1)))], true);
    let outputs = agent.reply(vec![(2, Order::Stop(run(0, 1)))], true);
    assert_eq!(stop_count(&outputs), 1);
    let result = Err(StartError::Unknown);
    agent.step(vec![start_answered(run(0, 1), result)]);
    // Later than the delay before an unanswered start is repeated.
    agent.now += 400;
    assert_eq!(start_count(&agent.step(vec![])), 0);
}

/// Guards against a run that starts after its task was done elsewhere: the agent stood still with the
/// order, and the owner's stop could not reach it meanwhile.
#[test]
fn order_from_before_a_standstill_waits_for_a_new_reply() {
    let mut agent = Agent::attached();
    agent.step(vec![]);
    let sent_at = Millis(agent.now);
    agent.now += 1_000;
    let orders = vec![(1, start(run(0, 1))), (2, start(run(1, 1)))];
    let outputs = agent.reply_to(sent_at, SESSION, orders, true);
    assert_eq!(start_count(&outputs), 0);
    let outputs = agent.reply(vec![(3, Order::Stop(run(0, 1)))], true);
    assert_eq!(start_count(&outputs), 1);
}

/// Guards against runs that start on a worker whose lease the owner has not renewed.
#[test]
fn nothing_starts_without_a_lease() {
    let mut agent = Agent::attached();
    // Later than the end of the first lease, which lasts 4 s. The process does not stand still.
    for _ in 0..25 {
        agent.now += 400;
        agent.step(vec![]);
    }
    agent.probed(vec![run_status(run(1, 1))], vec![]);
    let outputs = agent.reply(vec![(1, start(run(0, 1)))], false);
    assert_eq!(start_count(&outputs), 0);
}

/// Guards against a task that runs again after it was done. A repeated start may be refused because
/// the run of the first, unanswered start may have ended already. The next probe shows whether it
/// has.
#[test]
fn refusal_of_a_repeated_start_is_not_reported() {
    let mut agent = Agent::attached();
    agent.reply(vec![(1, start(run(0, 1)))], true);
    let unknown = Err(StartError::Unknown);
    agent.step(vec![start_answered(run(0, 1), unknown)]);
    // Later than the delay before an unanswered start is repeated.
    agent.now += 200;
    assert_eq!(start_count(&agent.step(vec![])), 1);
    let old = Err(StartError::Refused(Refusal::Old));
    let outputs = agent.step(vec![start_answered(run(0, 1), old)]);
    assert_eq!(refused(&outputs), []);
    agent.now += 1;
    let ended = vec![end(1, run(0, 1), EndKind::Done)];
    let outputs = agent.probed(vec![], ended.clone());
    let reported = reports(&outputs);
    assert!(
        reported
            .iter()
            .all(|report| report.report.refused.is_empty())
    );
    assert!(reported.iter().any(|report| report.report.ended == ended));
}

/// Guards against a task that runs again after it was done. A repeated start was refused for want of
/// room, the task was done elsewhere, and then the worker had room and executed the first,
/// unanswered start. Only a stop rules the run out.
#[test]
fn run_is_stopped_when_its_repeated_start_is_refused_for_now() {
    for refusal in [Refusal::NoRoom, Refusal::Other, Refusal::Ticket] {
        let mut agent = Agent::attached();
        agent.reply(vec![(1, start(run(0, 1)))], true);
        let started = |result| start_answered(run(0, 1), result);
        agent.step(vec![started(Err(StartError::Unknown))]);
        // Later than the delay before an unanswered start is repeated.
        agent.now += 200;
        agent.step(vec![]);
        let outputs = agent.step(vec![started(Err(StartError::Refused(refusal)))]);
        assert_eq!(stop_count(&outputs), 1, "{refusal:?}");
        let outputs = agent.probed(vec![], vec![]);
        assert_eq!(refused(&outputs), []);
        agent.step(vec![AgentInput::Stopped {
            session: SESSION,
            run: run(0, 1),
            is_answered: true,
        }]);
        agent.now += 1;
        let outputs = agent.probed(vec![], vec![]);
        assert_eq!(refused(&outputs), [(run(0, 1), Refusal::Other)]);
    }
}

/// Guards against a task that runs again after it was done. The response to its start was lost, the
/// run was listed and has ended, and the start was repeated: the same incarnation refuses it, and a
/// later one executes it.
#[test]
fn start_of_a_listed_run_is_not_repeated() {
    for has_ended in [false, true] {
        let mut agent = Agent::attached();
        agent.reply(vec![(1, start(run(0, 1)))], true);
        let (running, ended) = match has_ended {
            true => (vec![], vec![end(1, run(0, 1), EndKind::Done)]),
            false => (vec![run_status(run(0, 1))], vec![]),
        };
        agent.probed(running, ended);
        agent.step(vec![start_answered(run(0, 1), Err(StartError::Unknown))]);
        // Later than the delay before an unanswered start is repeated.
        agent.now += 400;
        assert_eq!(start_count(&agent.step(vec![])), 0);
    }
}

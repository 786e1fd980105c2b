//! Speed calls: when they are sent, repeated and given up.

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput, SpeedError, StartError};
use hyssop_jobs::{EndKind, Order, Refusal, RunId};

use crate::support::{Agent, SESSION, end, run, run_status, start, start_answered};

/// Longer than the delay before an unanswered order is repeated.
const RETRY_MS: u64 = 200;

fn speeds(outputs: &[AgentOutput]) -> Vec<(RunId, u32)> {
    let speed = |output: &AgentOutput| match output {
        AgentOutput::SetSpeed { run, percent, .. } => Some((*run, *percent)),
        _ => None,
    };
    outputs.iter().filter_map(speed).collect()
}

fn started(result: Result<(), StartError>) -> AgentInput {
    start_answered(run(0, 1), result)
}

fn speed_set(percent: u32, is_answered: bool) -> AgentInput {
    AgentInput::SpeedSet {
        session: SESSION,
        run: run(0, 1),
        percent,
        result: is_answered.then_some(()).ok_or(SpeedError::Unknown),
    }
}

/// Returns an agent whose worker has answered the start of a run, and whose call that sets the
/// speed of the run to 40% is under way.
fn agent_with_slowed_run() -> Agent {
    let mut agent = Agent::attached();
    let orders = vec![(1, start(run(0, 1))), (2, Order::Pace(run(0, 1), 40))];
    agent.reply(orders, true);
    let outputs = agent.step(vec![started(Ok(()))]);
    assert_eq!(speeds(&outputs), [(run(0, 1), 40)]);
    agent
}

/// Returns the speed calls of the next two seconds, in which the lease is renewed.
fn later_speeds(agent: &mut Agent) -> Vec<(RunId, u32)> {
    let mut later = Vec::new();
    for _ in 0..10 {
        agent.now += RETRY_MS;
        later.extend(speeds(&agent.reply(vec![], true)));
    }
    later
}

/// Guards against a speed call that reaches the worker before the run exists, so that the run works
/// at full speed.
#[test]
fn speed_waits_for_the_answer_to_the_start() {
    let mut agent = Agent::attached();
    let orders = vec![(1, start(run(0, 1))), (2, Order::Pace(run(0, 1), 40))];
    let outputs = agent.reply(orders, true);
    assert_eq!(speeds(&outputs), []);
    let outputs = agent.step(vec![started(Err(StartError::Unknown))]);
    assert_eq!(speeds(&outputs), []);
    assert_eq!(later_speeds(&mut agent), []);
    let outputs = agent.step(vec![started(Ok(()))]);
    assert_eq!(speeds(&outputs), [(run(0, 1), 40)]);
}

/// Guards against a run that keeps a speed which the owner changed before the run was started.
#[test]
fn latest_speed_is_sent_after_the_start() {
    let mut agent = Agent::attached();
    let orders = vec![(1, start(run(0, 1))), (2, Order::Pace(run(0, 1), 40))];
    agent.reply(orders, true);
    let outputs = agent.reply(vec![(3, Order::Pace(run(0, 1), 60))], true);
    assert_eq!(speeds(&outputs), []);
    let outputs = agent.step(vec![started(Ok(()))]);
    assert_eq!(speeds(&outputs), [(run(0, 1), 60)]);
}

/// Guards against a run that works at full speed because the answer to its start was lost.
#[test]
fn speed_is_sent_when_a_probe_lists_the_run() {
    let mut agent = Agent::attached();
    let orders = vec![(1, start(run(0, 1))), (2, Order::Pace(run(0, 1), 40))];
    let outputs = agent.reply(orders, true);
    assert_eq!(speeds(&outputs), []);
    let outputs = agent.probed(vec![run_status(run(0, 1))], vec![]);
    assert_eq!(speeds(&outputs), [(run(0, 1), 40)]);
}

/// Guards against a run that stays slow for good because the call that restores full speed was lost,
/// and against one that keeps its speed because it was started in an earlier session.
#[test]
fn lost_return_to_full_speed_is_repeated() {
    let mut agent = Agent::attached();
    agent.probed(vec![run_status(run(0, 1))], vec![]);
    let outputs = agent.reply(vec![(1, Order::Pace(run(0, 1), 100))], true);
    assert_eq!(speeds(&outputs), [(run(0, 1), 100)]);
    agent.step(vec![speed_set(100, false)]);
    agent.now += RETRY_MS;
    assert_eq!(speeds(&agent.step(vec![])), [(run(0, 1), 100)]);
}

/// Guards against a run that keeps its speed because the call was lost, and against calls without
/// end for a speed that is set.
#[test]
fn speed_is_repeated_until_it_is_answered() {
    let mut agent = agent_with_slowed_run();
    assert_eq!(later_speeds(&mut agent), []);
    for _ in 0..5 {
        let outputs = agent.step(vec![speed_set(40, false)]);
        assert_eq!(speeds(&outputs), []);
        // Shorter than the delay before an unanswered order is repeated.
        agent.now += 50;
        assert_eq!(speeds(&agent.step(vec![])), []);
        agent.now += RETRY_MS;
        assert_eq!(speeds(&agent.step(vec![])), [(run(0, 1), 40)]);
    }
    agent.step(vec![speed_set(40, true)]);
    assert_eq!(later_speeds(&mut agent), []);
}

/// Guards against two speed calls of one run that overtake each other, and against an answer to the
/// earlier one that counts for the later one.
#[test]
fn later_speed_waits_for_the_call_under_way() {
    for is_answered in [true, false] {
        let mut agent = agent_with_slowed_run();
        let outputs = agent.reply(vec![(3, Order::Pace(run(0, 1), 60))], true);
        assert_eq!(speeds(&outputs), []);
        let outputs = agent.reply(vec![(4, Order::Pace(run(0, 1), 100))], true);
        assert_eq!(speeds(&outputs), []);
        let mut sent = speeds(&agent.step(vec![speed_set(40, is_answered)]));
        assert_eq!(sent.len(), usize::from(is_answered));
        sent.extend(later_speeds(&mut agent));
        assert_eq!(sent, [(run(0, 1), 100)]);
        agent.step(vec![speed_set(100, true)]);
        assert_eq!(later_speeds(&mut agent), []);
    }
}

/// Guards against speed calls for a run that is being stopped or was stopped.
#[test]
fn stop_ends_the_repetition_of_a_speed() {
    let mut agent = agent_with_slowed_run();
    agent.reply(vec![(3, Order::Stop(run(0, 1)))], true);
    let outputs = agent.step(vec![speed_set(40, false)]);
    assert_eq!(speeds(&outputs), []);
    let outputs = agent.reply(vec![(4, Order::Pace(run(0, 1), 60))], true);
    assert_eq!(speeds(&outputs), []);
    assert_eq!(later_speeds(&mut agent), []);
}

/// Guards against a speed call after a run was stopped because its start was not answered.
#[test]
fn unanswered_start_ends_the_wait_for_a_speed() {
    let mut agent = Agent::attached();
    let orders = vec![(1, start(run(0, 1))), (2, Order::Pace(run(0, 1), 40))];
    let mut outputs = agent.reply(orders, true);
    for _ in 0..3 {
        outputs.extend(agent.step(vec![started(Err(StartError::Unknown))]));
        agent.now += RETRY_MS;
        outputs.extend(agent.step(vec![]));
    }
    let is_stop = |output: &AgentOutput| matches!(output, AgentOutput::Stop { .. });
    assert!(outputs.iter().any(is_stop));
    let stopped = AgentInput::Stopped {
        session: SESSION,
        run: run(0, 1),
        is_answered: true,
    };
    outputs.extend(agent.step(vec![stopped]));
    assert_eq!(speeds(&outputs), []);
    assert_eq!(later_speeds(&mut agent), []);
}

/// Guards against speed calls without end for a run that has ended: its end is listed, also by a
/// probe that was sent before the start was answered, or it is not listed at all.
#[test]
fn end_ends_the_repetition_of_a_speed() {
    let ended = vec![end(1, run(0, 1), EndKind::Done)];
    for (is_earlier, ended) in [(false, ended.clone()), (true, ended), (false, vec![])] {
        let mut agent = agent_with_slowed_run();
        let started_at = agent.now;
        agent.step(vec![speed_set(40, false)]);
        let sent_at = if is_earlier { started_at } else { agent.now };
        agent.probed_at(Millis(sent_at), vec![], ended);
        assert_eq!(later_speeds(&mut agent), []);
    }
}

/// Guards against speed calls for a run that was refused, whether or not an earlier start of it was
/// left unanswered.
#[test]
fn refusal_ends_the_wait_for_a_speed() {
    for tries in [1, 2] {
        let mut agent = Agent::attached();
        let orders = vec![(1, start(run(0, 1))), (2, Order::Pace(run(0, 1), 40))];
        let mut outputs = agent.reply(orders, true);
        for _ in 1..tries {
            outputs.extend(agent.step(vec![started(Err(StartError::Unknown))]));
            agent.now += RETRY_MS;
            outputs.extend(agent.step(vec![]));
        }
        let refused = Err(StartError::Refused(Refusal::Old));
        outputs.extend(agent.step(vec![started(refused)]));
        assert_eq!(speeds(&outputs), []);
        assert_eq!(later_speeds(&mut agent), []);
    }
}

/// Guards against a wanted speed that is forgotten because of a probe that the worker executed
/// before it started the run.
#[test]
fn earlier_probe_does_not_end_the_repetition_of_a_speed() {
    let mut agent = Agent::attached();
    let orders = vec![(1, start(run(0, 1))), (2, Order::Pace(run(0, 1), 40))];
    agent.reply(orders, true);
    agent.probed(vec![], vec![]);
    let outputs = agent.step(vec![started(Ok(()))]);
    assert_eq!(speeds(&outputs), [(run(0, 1), 40)]);
    let started_at = Millis(agent.now);
    agent.step(vec![speed_set(40, false)]);
    agent.probed_at(started_at, vec![], vec![]);
    agent.now += RETRY_MS;
    assert_eq!(speeds(&agent.step(vec![])), [(run(0, 1), 40)]);
}

//! Canaries: runs that show whether the worker lists its ends.

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput, ProbeError, SpeedError, StartError};
use hyssop_jobs::{EndKind, Order, Refusal, RunId};

use crate::support::{
    Agent, SESSION, SPEED_DELAY, end, pauses, refused, reports, run, run_status, start,
    start_answered, starts, stops, worker,
};

fn canary(run: RunId) -> Order {
    match start(run) {
        Order::Start(start) => Order::Canary(start),
        order => order,
    }
}

fn paused(result: Result<(), SpeedError>) -> AgentInput {
    AgentInput::SpeedSet {
        session: SESSION,
        run: run(0, 1),
        percent: 0,
        result,
    }
}

/// Returns an agent whose canary is ordered right after the worker has answered a probe.
fn agent_with_canary() -> (Agent, Vec<AgentOutput>) {
    let mut agent = Agent::attached();
    agent.probed(vec![], vec![]);
    let outputs = agent.reply(vec![(1, canary(run(0, 1)))], true);
    (agent, outputs)
}

/// Returns an agent whose worker has answered the start of the canary.
fn agent_with_started_canary() -> (Agent, Vec<AgentOutput>) {
    let (mut agent, _) = agent_with_canary();
    let outputs = agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    (agent, outputs)
}

/// Returns the runs that the next reports name as gone, once the worker lists nothing.
fn gone(agent: &mut Agent) -> Vec<(RunId, Refusal)> {
    agent.now += 10;
    let mut outputs = agent.probed(vec![], vec![]);
    outputs.extend(agent.reply(vec![], true));
    refused(&outputs)
}

/// Guards against a task that starts again after its canary was done: the canary was not stopped in time,
/// or its end counts as that of a stopped run although it was not known to be paused.
#[test]
fn canary_is_paused_and_stopped_once_a_list_shows_it_paused() {
    let (mut agent, outputs) = agent_with_canary();
    assert_eq!(starts(&outputs), 1);
    let outputs = agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    assert_eq!((pauses(&outputs), stops(&outputs)), (1, 0));
    agent.step(vec![paused(Ok(()))]);
    // The speed is not in force yet.
    let outputs = agent.probed(vec![run_status(run(0, 1))], vec![]);
    assert_eq!(stops(&outputs), 0);
    agent.now += SPEED_DELAY + 10;
    let outputs = agent.probed(vec![run_status(run(0, 1))], vec![]);
    assert_eq!(stops(&outputs), 1);
    agent.step(vec![AgentInput::Stopped {
        session: SESSION,
        run: run(0, 1),
        is_answered: true,
    }]);
    let expected = (run(0, 1), Refusal::EndHidden);
    assert_eq!(gone(&mut agent), [expected]);
    assert_eq!(gone(&mut agent), []);
}

/// Guards against a task that starts again although its canary may have done it, and against one that a
/// later session forgets.
#[test]
fn canary_that_is_gone_before_it_is_paused_has_an_unknown_end() {
    let (mut agent, _) = agent_with_started_canary();
    agent.step(vec![paused(Ok(()))]);
    let expected = (run(0, 1), Refusal::EndUnknown);
    assert_eq!(gone(&mut agent), [expected]);
    let outputs = restart_session(&mut agent, 1);
    assert_eq!(refused(&outputs), [expected]);
}

/// Opens another session with an incarnation of the worker, which lists nothing.
fn restart_session(agent: &mut Agent, incarnation: u64) -> Vec<AgentOutput> {
    agent.close_session();
    agent.step(vec![AgentInput::Heartbeat(worker(incarnation))]);
    let session = SESSION + 1;
    agent.open_session(session);
    let mut outputs = agent.probed_in(session, vec![], vec![]);
    outputs.extend(agent.reply_in(session, vec![], true));
    outputs
}

/// Guards against a task that is held up although its canary runs on: of two probes, the one that was sent
/// first has arrived last and shows the run, and the answer to the other one comes later. Found by seed 26
/// of `tasks_run_once_while_workers_restart_and_answers_overtake_each_other`.
#[test]
fn list_from_before_the_start_does_not_show_that_a_canary_is_gone() {
    let (mut agent, _) = agent_with_canary();
    let ordered_at = agent.now;
    agent.now += 100;
    agent.probed_at(Millis(ordered_at - 2), vec![run_status(run(0, 1))], vec![]);
    agent.now += 100;
    let mut outputs = agent.probed_at(Millis(ordered_at - 1), vec![], vec![]);
    outputs.extend(agent.reply(vec![], true));
    assert_eq!(refused(&outputs), []);
}

/// Guards against a task that is held up because of a canary that has not started, or that has ended with
/// its worker.
#[test]
fn canary_without_a_start_has_no_unknown_end() {
    let (mut agent, _) = agent_with_canary();
    let refusal = Err(StartError::Refused(Refusal::NoRoom));
    let outputs = agent.step(vec![start_answered(run(0, 1), refusal)]);
    assert_eq!(refused(&outputs), [(run(0, 1), Refusal::NoRoom)]);
    assert_eq!(gone(&mut agent), []);

    let (mut unanswered, _) = agent_with_canary();
    unanswered.step(vec![start_answered(run(0, 1), Err(StartError::Unknown))]);
    let outputs = restart_session(&mut unanswered, 1);
    assert_eq!(refused(&outputs), []);

    let (mut crashed, _) = agent_with_started_canary();
    let outputs = restart_session(&mut crashed, 2);
    assert_eq!(refused(&outputs), []);
}

/// Guards against a start that counts as never executed: the worker has refused its repetition because the
/// run has ended.
#[test]
fn canary_whose_repeated_start_is_old_has_an_unknown_end() {
    let (mut agent, _) = agent_with_canary();
    for _ in 0..4 {
        agent.step(vec![start_answered(run(0, 1), Err(StartError::Unknown))]);
        agent.now += 100;
        let outputs = agent.reply(vec![], true);
        assert_eq!((starts(&outputs), stops(&outputs)), (1, 0));
    }
    agent.step(vec![start_answered(
        run(0, 1),
        Err(StartError::Refused(Refusal::Old)),
    )]);
    assert_eq!(gone(&mut agent), [(run(0, 1), Refusal::EndUnknown)]);
}

/// Guards against a canary that never ends on a worker that cannot pause runs, and against one whose end
/// is listed and reported as missing as well.
#[test]
fn canary_that_cannot_be_paused_is_stopped() {
    let (mut agent, _) = agent_with_started_canary();
    let outputs = agent.step(vec![paused(Err(SpeedError::Refused))]);
    assert_eq!(stops(&outputs), 1);
    agent.now += 10;
    let ended = vec![end(1, run(0, 1), EndKind::Stopped)];
    let mut outputs = agent.probed(vec![], ended.clone());
    outputs.extend(agent.reply(vec![], true));
    let reports = reports(&outputs);
    assert!(reports.iter().any(|request| request.report.ended == ended));
    assert!(
        reports
            .iter()
            .all(|request| request.report.refused.is_empty())
    );
}

/// Guards against a canary that goes on after it counts as paused, or is stopped before that.
#[test]
fn orders_for_a_canary_do_not_count() {
    let (mut agent, _) = agent_with_started_canary();
    agent.step(vec![paused(Ok(()))]);
    let orders = vec![(2, Order::Pace(run(0, 1), 60)), (3, Order::Stop(run(0, 1)))];
    let outputs = agent.reply(orders, true);
    let is_order = |output: &&AgentOutput| {
        matches!(
            output,
            AgentOutput::SetSpeed { .. } | AgentOutput::Stop { .. }
        )
    };
    assert_eq!(outputs.iter().filter(is_order).count(), 0);
}

/// Guards against a canary that outlasts its session and runs on at full speed.
#[test]
fn canary_is_paused_in_the_next_session() {
    let (mut agent, _) = agent_with_started_canary();
    agent.step(vec![paused(Err(SpeedError::Unknown))]);
    agent.close_session();
    let session = SESSION + 1;
    agent.open_session(session);
    let mut outputs = agent.probed_in(session, vec![run_status(run(0, 1))], vec![]);
    outputs.extend(agent.reply_in(session, vec![], true));
    assert_eq!((pauses(&outputs), stops(&outputs)), (1, 0));
}

/// Guards against a canary that cannot be paused because its worker has fallen silent.
#[test]
fn canary_waits_for_an_answer_of_the_worker() {
    let mut agent = Agent::attached();
    agent.now += 300;
    let outputs = agent.reply(vec![(1, canary(run(0, 1)))], true);
    let is_probe = |output: &&AgentOutput| matches!(output, AgentOutput::Probe { .. });
    assert_eq!(starts(&outputs), 0);
    assert_eq!(outputs.iter().filter(is_probe).count(), 1);
    agent.step(vec![AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::NoResponse,
    }]);
    agent.now += 10;
    assert_eq!(starts(&agent.probed(vec![], vec![])), 1);
}

/// Guards against a canary that starts long after it was ordered, when nobody is about to pause it: its
/// call is slow, and the worker has to refuse it then.
#[test]
fn start_of_a_canary_has_little_time_to_arrive() {
    let (agent, outputs) = agent_with_canary();
    let lease = outputs.iter().find_map(|output| match output {
        AgentOutput::Start { lease, .. } => Some(lease.0),
        _ => None,
    });
    // The worker's clock is that far ahead in its answers.
    let worker_now = agent.now + 500_000;
    let lease = lease.expect("the canary starts");
    assert!(
        (worker_now + 200..=worker_now + 250).contains(&lease),
        "{lease}"
    );
}

/// Guards against a canary that is not paused in time because one call is slow or lost.
#[test]
fn pause_is_repeated_while_it_is_not_answered() {
    let (mut agent, outputs) = agent_with_started_canary();
    assert_eq!(pauses(&outputs), 1);
    agent.now += 50;
    assert_eq!(pauses(&agent.step(vec![])), 0);
    agent.now += 60;
    assert_eq!(pauses(&agent.step(vec![])), 1);
    agent.step(vec![paused(Ok(()))]);
    agent.now += 110;
    assert_eq!(pauses(&agent.step(vec![])), 0);
}

/// Guards against a canary that counts as never started: the repetition came too late, and the first call
/// may have been executed.
#[test]
fn late_repetition_of_a_canary_is_repeated() {
    let (mut agent, _) = agent_with_canary();
    for error in [StartError::Unknown, StartError::Refused(Refusal::Late)] {
        agent.step(vec![start_answered(run(0, 1), Err(error))]);
        agent.now += 100;
        let outputs = agent.reply(vec![], true);
        assert_eq!((starts(&outputs), stops(&outputs)), (1, 0));
    }
    let old = Err(StartError::Refused(Refusal::Old));
    agent.step(vec![start_answered(run(0, 1), old)]);
    assert_eq!(gone(&mut agent), [(run(0, 1), Refusal::EndUnknown)]);
}

//! What an agent does with its worker while no owner replies.

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput, Inspection, ProbeError};
use hyssop_jobs::{RunEnd, RunId, RunStatus, WORKER_LEASE};

use crate::support::{Agent, SESSION, run, run_status, start};

/// Token of the calls that the agent sends on its own.
const TOKEN: u64 = SESSION + 1;

/// Creates an agent whose owner has received the complete report of its worker.
fn reported_agent() -> Agent {
    let mut agent = Agent::attached();
    agent.reply(vec![], true);
    agent
}

/// Lets some time pass in which no report is answered, and returns all outputs.
fn wait_without_reply(agent: &mut Agent, time: u64) -> Vec<AgentOutput> {
    let until = agent.now + time;
    let mut outputs = Vec::new();
    while agent.now < until {
        agent.now += 49;
        outputs.extend(agent.step(vec![]));
    }
    outputs
}

fn restart(agent: &mut Agent) -> Vec<AgentOutput> {
    agent.step(vec![AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::Restarted,
    }])
}

fn inspected(incarnation: u64, running: Vec<RunStatus>, ended: Vec<RunEnd>) -> AgentInput {
    let inspection = Inspection {
        incarnation,
        worker_clock: Millis(900),
        running,
        ended,
    };
    AgentInput::Inspected {
        token: TOKEN,
        inspection,
    }
}

fn inspection_count(outputs: &[AgentOutput]) -> usize {
    let is_inspection = |output: &&AgentOutput| matches!(output, AgentOutput::Inspect { token, .. } if *token == TOKEN);
    outputs.iter().filter(is_inspection).count()
}

fn ended_runs(outputs: &[AgentOutput]) -> Vec<RunId> {
    let run = |output: &AgentOutput| match output {
        AgentOutput::EndRun { token, run, .. } if *token == TOKEN => Some(*run),
        _ => None,
    };
    outputs.iter().filter_map(run).collect()
}

/// Guards against two runs of one task: a start that was sent to an incarnation is executed by the next
/// one, which no report tells of, so that the owner starts the task elsewhere.
#[test]
fn run_of_an_unreported_incarnation_is_ended_while_no_owner_replies() {
    let mut agent = reported_agent();
    agent.reply(vec![(1, start(run(0, 1)))], true);
    assert_eq!(inspection_count(&restart(&mut agent)), 0);
    assert!(inspection_count(&wait_without_reply(&mut agent, 1_000)) > 0);
    let listed = vec![run_status(run(0, 1))];
    let outputs = agent.step(vec![inspected(2, listed.clone(), vec![])]);
    assert_eq!(ended_runs(&outputs), [run(0, 1)]);
    // The call may have been lost.
    assert!(inspection_count(&wait_without_reply(&mut agent, 300)) > 0);
    let outputs = agent.step(vec![inspected(2, listed, vec![])]);
    assert_eq!(ended_runs(&outputs), [run(0, 1)]);
}

/// Guards against runs that end although an owner covers them: the agent is cut off for less than the
/// lease.
#[test]
fn runs_go_on_until_the_granted_lease_ends() {
    let mut agent = reported_agent();
    let listed = vec![run_status(run(0, 1))];
    agent.probed(listed.clone(), vec![]);
    agent.reply(vec![], true);
    let granted_at = agent.now;
    agent.fail_report();
    wait_without_reply(&mut agent, 1_000);
    let outputs = agent.step(vec![inspected(1, listed.clone(), vec![])]);
    assert_eq!(ended_runs(&outputs), []);
    agent.now = granted_at + WORKER_LEASE.0;
    let outputs = agent.step(vec![inspected(1, listed, vec![])]);
    assert_eq!(ended_runs(&outputs), [run(0, 1)]);
}

/// Guards against runs of a restarted worker that end although its owner can adopt them, and against a
/// token that voids the calls of a session in use.
#[test]
fn worker_is_not_inspected_while_an_owner_replies() {
    let mut agent = reported_agent();
    for _ in 0..100 {
        agent.now += 49;
        let outputs = agent.reply(vec![], true);
        assert_eq!(inspection_count(&outputs), 0);
    }
    restart(&mut agent);
    let mut outputs = agent.close_session();
    outputs.extend(wait_without_reply(&mut agent, 500));
    assert_eq!(inspection_count(&outputs), 0);
}

/// Guards against runs that end because an answer of an earlier incarnation was overtaken.
#[test]
fn answer_of_an_earlier_incarnation_is_ignored() {
    let mut agent = reported_agent();
    restart(&mut agent);
    wait_without_reply(&mut agent, 1_000);
    agent.step(vec![inspected(2, vec![], vec![])]);
    let outputs = agent.step(vec![inspected(1, vec![run_status(run(0, 1))], vec![])]);
    assert_eq!(ended_runs(&outputs), []);
}

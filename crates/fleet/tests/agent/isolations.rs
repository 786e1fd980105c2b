//! What an agent does with its worker while no owner replies.

use hyssop_core::Millis;
use hyssop_fleet::ReportReply;
use hyssop_fleet::agents::{AgentInput, AgentOutput, Core, Inspection, ProbeError};
use hyssop_jobs::{EndKind, RunEnd, RunId, RunStatus, WORKER_LEASE};

use crate::support::{
    Agent, SESSION, end, numbered_reports, reports, run, run_status, start, worker,
};

/// Token of the calls that the agent sends on its own.
const TOKEN: u64 = SESSION + 1;
/// Longest lease that the workers grant.
const MAX_LEASE: Millis = Millis(6_000);

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

/// Returns the incarnations for which the reports among outputs ask for a session.
fn requested(outputs: &[AgentOutput]) -> Vec<u64> {
    let openings = reports(outputs).into_iter();
    let openings = openings.filter(|report| report.session.is_none());
    let workers = openings.filter_map(|report| report.worker.as_ref());
    workers.map(|worker| worker.incarnation).collect()
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

/// Guards against two runs of one task after a change of owners: the next owner waits until 0.3 s after the
/// last lease that the earlier one can have granted, and a late call has leased the worker for longer.
#[test]
fn runs_under_a_longer_lease_have_ended_with_the_granted_one() {
    let mut agent = Agent::located();
    agent.core = std::mem::take(&mut agent.core).with_max_lease(MAX_LEASE);
    agent.reply(vec![], false);
    let listed = vec![run_status(run(0, 1))];
    agent.probed(listed.clone(), vec![]);
    agent.reply(vec![], true);
    let granted_until = agent.now + WORKER_LEASE.0;
    agent.fail_report();
    wait_without_reply(&mut agent, 1_000);
    agent.now = granted_until - 501;
    let outputs = agent.step(vec![inspected(1, listed.clone(), vec![])]);
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

/// Cuts an agent off for some time, in which its worker restarts and a late start of a run is executed to
/// its end. Returns it with what it has sent since its next session lists the end.
fn reconnect(cut: u64) -> (Agent, Vec<AgentOutput>) {
    let mut agent = Agent::attached();
    agent.core = std::mem::take(&mut agent.core).with_max_lease(MAX_LEASE);
    agent.reply(vec![], true);
    restart(&mut agent);
    wait_without_reply(&mut agent, cut);
    agent.fail_report();
    agent.step(vec![AgentInput::Heartbeat(worker(2))]);
    let outputs = wait_without_reply(&mut agent, 200);
    let (number, _) = numbered_reports(&outputs)[0];
    let reply = ReportReply {
        is_owner: true,
        epoch: 1,
        session: Some(TOKEN),
        ..ReportReply::default()
    };
    let sent_at = Millis(agent.now);
    agent.step(vec![AgentInput::ReportAnswered {
        epoch: 1,
        sent_at,
        number,
        reply,
    }]);
    let done = vec![end(1, run(0, 1), EndKind::Done)];
    let outputs = agent.probed_in(TOKEN, vec![], done);
    (agent, outputs)
}

/// Guards against an end as done that counts although the task has started again elsewhere: it is
/// acknowledged while the lease that a late start has set goes on. The worker is neither leased nor used
/// before that has ended.
#[test]
fn ends_behind_a_long_cut_are_reported_after_the_lease() {
    let (mut agent, mut outputs) = reconnect(5_000);
    assert_eq!(agent.core.session(), None);
    outputs.extend(wait_without_reply(&mut agent, 5_500));
    assert!(reports(&outputs).is_empty(), "{outputs:?}");
    let outputs = wait_without_reply(&mut agent, 1_500);
    assert_eq!(requested(&outputs), [2]);
}

/// Guards against workers that are not used for seconds although no owner can have given them up.
#[test]
fn ends_behind_a_short_cut_are_reported_at_once() {
    let (agent, outputs) = reconnect(1_000);
    assert_eq!(agent.core.session(), Some(TOKEN));
    let reported = reports(&outputs);
    let report = reported.first().expect("the complete report");
    assert!(report.report.is_complete && !report.report.ended.is_empty());
}

/// Guards against workers that are not used for seconds after each restart of their agent.
#[test]
fn ends_are_reported_at_once_after_a_restart_of_the_agent() {
    let mut agent = Agent::located();
    agent.core = std::mem::replace(&mut agent.core, Core::new()).with_max_lease(MAX_LEASE);
    agent.reply(vec![], false);
    let outputs = agent.probed(vec![], vec![end(1, run(0, 1), EndKind::Done)]);
    assert!(
        reports(&outputs)
            .iter()
            .any(|report| report.report.is_complete)
    );
}

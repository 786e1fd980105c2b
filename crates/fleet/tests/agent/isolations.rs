//! What an agent does with its worker while no owner replies.

use hyssop_core::Millis;
use hyssop_fleet::ReportReply;
use hyssop_fleet::agents::{AgentInput, AgentOutput, Core, Inspection, ProbeError};
use hyssop_jobs::{EndKind, RunEnd, RunId, RunStatus, WORKER_LEASE, WorkerInfo};

use crate::support::{Agent, SESSION, end, reports, run, run_status, start, worker};

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
    // Beyond the lease that the owner has granted, which would cover the runs.
    wait_without_reply(&mut agent, WORKER_LEASE.0 + 1_000);
    agent.step(vec![inspected(2, vec![], vec![])]);
    let outputs = agent.step(vec![inspected(1, vec![run_status(run(0, 1))], vec![])]);
    assert_eq!(ended_runs(&outputs), []);
}

/// Answers the last report that was sent, which asks for a session.
fn open(agent: &mut Agent, session: u64) {
    let reply = ReportReply {
        is_owner: true,
        epoch: 1,
        session: Some(session),
        ..ReportReply::default()
    };
    let input = AgentInput::ReportAnswered {
        epoch: 1,
        sent_at: Millis(agent.now),
        number: agent.last_report(),
        reply,
    };
    agent.step(vec![input]);
}

/// Cuts an agent off for some time, in which its worker restarts and a late start of a run is executed to
/// its end. Returns it with what it has sent since its next session lists the end.
fn reconnect(cut: u64) -> (Agent, Vec<AgentOutput>) {
    reconnect_with(cut, EndKind::Done)
}

/// As [`reconnect`], with a kind of the end.
fn reconnect_with(cut: u64, kind: EndKind) -> (Agent, Vec<AgentOutput>) {
    let mut agent = Agent::attached();
    agent.core = std::mem::take(&mut agent.core).with_max_lease(MAX_LEASE);
    agent.reply(vec![], true);
    restart(&mut agent);
    wait_without_reply(&mut agent, cut);
    agent.fail_report();
    agent.step(vec![AgentInput::Heartbeat(worker(2))]);
    wait_without_reply(&mut agent, 200);
    open(&mut agent, TOKEN);
    let ended = vec![end(1, run(0, 1), kind)];
    let outputs = agent.probed_in(TOKEN, vec![], ended);
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

/// Guards against a token that voids the calls of a session in use: a report waits for its reply for longer
/// than the agent waits before it acts on its own.
#[test]
fn worker_of_a_session_in_use_is_not_inspected() {
    let mut agent = reported_agent();
    let outputs = wait_without_reply(&mut agent, 1_300);
    assert_eq!(agent.core.session(), Some(SESSION));
    assert_eq!(inspection_count(&outputs), 0);
}

/// Guards against a flood of calls to a worker whose agent is cut off.
#[test]
fn worker_is_inspected_at_intervals() {
    let mut agent = reported_agent();
    restart(&mut agent);
    wait_without_reply(&mut agent, 1_000);
    let count = inspection_count(&wait_without_reply(&mut agent, 3_000));
    assert!((8..=12).contains(&count), "{count}");
}

/// Guards against a run that lives on beside the next one because another one is listed before it.
#[test]
fn all_runs_of_an_unreported_incarnation_are_ended() {
    let mut agent = reported_agent();
    restart(&mut agent);
    wait_without_reply(&mut agent, 1_000);
    let listed = [run(0, 1), run(1, 1)];
    let running = listed.map(run_status).to_vec();
    let outputs = agent.step(vec![inspected(2, running, vec![])]);
    assert_eq!(ended_runs(&outputs), listed);
}

/// Guards against a delayed heartbeat of the earlier incarnation that is taken for a worker of its own after
/// an inspection has shown the later one.
#[test]
fn inspection_shows_that_an_incarnation_is_over() {
    let mut agent = reported_agent();
    restart(&mut agent);
    wait_without_reply(&mut agent, 1_000);
    agent.step(vec![inspected(2, vec![], vec![])]);
    agent.step(vec![AgentInput::Heartbeat(worker(1))]);
    assert_eq!(agent.core.worker(), None);
    agent.step(vec![AgentInput::Heartbeat(worker(2))]);
    assert_eq!(agent.core.worker(), Some(&worker(2)));
}

/// Guards against runs that a late answer ends although an owner has opened a session meanwhile, or has
/// closed it again.
#[test]
fn answer_to_an_inspection_before_the_last_session_is_ignored() {
    let mut agent = reported_agent();
    restart(&mut agent);
    wait_without_reply(&mut agent, 1_000);
    agent.fail_report();
    agent.step(vec![AgentInput::Heartbeat(worker(2))]);
    wait_without_reply(&mut agent, 200);
    open(&mut agent, TOKEN);
    assert_eq!(agent.core.session(), Some(TOKEN));
    let listed = vec![run_status(run(0, 1))];
    let outputs = agent.step(vec![inspected(2, listed.clone(), vec![])]);
    assert_eq!(ended_runs(&outputs), []);
    agent.step(vec![AgentInput::ProbeFailed {
        session: TOKEN,
        error: ProbeError::Restarted,
    }]);
    assert_eq!(agent.core.session(), None);
    let outputs = agent.step(vec![inspected(2, listed, vec![])]);
    assert_eq!(ended_runs(&outputs), []);
}

/// Guards against workers that are not used for seconds although their owner knows of their lease: their
/// agent is cut off for longer than the lease of the owner and for less than the wait of the next one.
#[test]
fn ends_of_a_reported_worker_behind_a_cut_are_reported_at_once() {
    let (mut agent, cut) = (Agent::located(), 5_000);
    agent.core = std::mem::take(&mut agent.core).with_max_lease(Millis(10_000));
    agent.reply(vec![], false);
    agent.probed(vec![], vec![]);
    agent.reply(vec![], true);
    agent.fail_report();
    wait_without_reply(&mut agent, cut);
    open(&mut agent, TOKEN);
    let done = vec![end(1, run(0, 1), EndKind::Done)];
    let outputs = agent.probed_in(TOKEN, vec![], done);
    assert_eq!(agent.core.session(), Some(TOKEN));
    assert!(reports(&outputs)[0].report.is_complete);
}

/// Guards against workers that are not used for seconds although no end of theirs counts as done.
#[test]
fn other_ends_behind_a_long_cut_are_reported_at_once() {
    let (agent, outputs) = reconnect_with(5_000, EndKind::Stopped);
    assert_eq!(agent.core.session(), Some(TOKEN));
    assert!(reports(&outputs)[0].report.is_complete);
}

/// Guards against late starts that are executed and run beside others while the agent lets the lease of its
/// worker end: a worker that restarts meanwhile is inspected, although the owner replies.
#[test]
fn worker_is_inspected_while_its_lease_ends() {
    let (mut agent, _) = reconnect(5_000);
    let outputs = wait_without_reply(&mut agent, 1_000);
    let is_inspection = |output: &AgentOutput| matches!(output, AgentOutput::Inspect { .. });
    assert!(outputs.iter().any(is_inspection));
}

/// Guards against a complete report that reaches the owner just after it has given the worker up.
#[test]
fn ends_shortly_before_the_granted_lease_ends_are_reported_after_the_lease() {
    let (agent, _) = reconnect(3_500);
    assert_eq!(agent.core.session(), None);
}

/// Guards against a worker that is not used for seconds because of the lease of another one.
#[test]
fn ends_of_another_worker_behind_a_long_cut_are_reported_at_once() {
    let mut agent = Agent::attached();
    agent.core = std::mem::take(&mut agent.core).with_max_lease(MAX_LEASE);
    agent.reply(vec![], true);
    restart(&mut agent);
    wait_without_reply(&mut agent, 5_000);
    agent.fail_report();
    let other = WorkerInfo {
        id: "i-2".into(),
        ..worker(3)
    };
    agent.step(vec![AgentInput::Heartbeat(other)]);
    wait_without_reply(&mut agent, 200);
    open(&mut agent, TOKEN);
    let outputs = agent.probed_in(TOKEN, vec![], vec![end(1, run(0, 1), EndKind::Done)]);
    assert_eq!(agent.core.session(), Some(TOKEN));
    assert!(reports(&outputs)[0].report.is_complete);
}

/// Returns a heartbeat of another writer, with an identifier and an address of its own.
fn foreign_heartbeat() -> AgentInput {
    let mut other = worker(3);
    other.id = "foreign".into();
    other.address = "10.9.9.9:1".into();
    AgentInput::Heartbeat(other)
}

/// Guards against two runs of one task: a session for a worker that another writer has announced, and that
/// never answers, hid the worker that has restarted behind the cut.
#[test]
fn worker_that_never_answers_does_not_hide_the_one_before() {
    let mut agent = reported_agent();
    restart(&mut agent);
    wait_without_reply(&mut agent, 500);
    agent.fail_report();
    agent.step(vec![foreign_heartbeat()]);
    wait_without_reply(&mut agent, 200);
    open(&mut agent, TOKEN);
    let lost = AgentInput::ProbeFailed {
        session: TOKEN,
        error: ProbeError::Lost,
    };
    agent.step(vec![lost]);
    let outputs = wait_without_reply(&mut agent, 1_500);
    let is_of_worker = |output: &AgentOutput| matches!(output, AgentOutput::Inspect { worker, .. } if worker.id == crate::support::worker(1).id);
    assert!(outputs.iter().any(is_of_worker), "{outputs:?}");
}

/// Guards against runs that end because a new process of the agent cannot know that they belong to a lease
/// that its predecessor was granted: the owner changes before it receives the first complete report.
#[test]
fn runs_go_on_after_a_restart_of_the_agent_until_an_earlier_lease_has_ended() {
    let mut agent = Agent::located();
    agent.reply(vec![], false);
    let listed = vec![run_status(run(0, 1))];
    agent.probed(listed.clone(), vec![]);
    wait_without_reply(&mut agent, 1_400);
    assert!(inspection_count(&agent.fail_report()) > 0);
    let outputs = agent.step(vec![inspected(1, listed.clone(), vec![])]);
    assert_eq!(ended_runs(&outputs), []);
    wait_without_reply(&mut agent, 2_600);
    let outputs = agent.step(vec![inspected(1, listed, vec![])]);
    assert_eq!(ended_runs(&outputs), [run(0, 1)]);
}

/// Guards against inspections without end, and runs that end although the owner is well: the agent reports
/// to nobody, because its worker has not announced itself again.
#[test]
fn inspections_end_with_a_change_of_owners_or_with_all_calls() {
    let mut agent = reported_agent();
    restart(&mut agent);
    let owner = AgentInput::OwnerLocated(Some(crate::support::owner_record(2)));
    agent.step(vec![owner]);
    assert_eq!(inspection_count(&wait_without_reply(&mut agent, 3_000)), 0);

    let mut agent = reported_agent();
    restart(&mut agent);
    assert!(inspection_count(&wait_without_reply(&mut agent, 5_000)) > 0);
    // A call takes at most 12 s, and the lease that it has set ends within a further 4.1 s.
    wait_without_reply(&mut agent, 12_000);
    assert_eq!(inspection_count(&wait_without_reply(&mut agent, 60_000)), 0);
}

/// Guards against a worker that is not used because the one before it was to let its lease end.
#[test]
fn another_worker_does_not_wait_for_the_lease_of_the_one_before() {
    let (mut agent, _) = reconnect(5_000);
    let mut outputs = agent.step(vec![foreign_heartbeat()]);
    outputs.extend(wait_without_reply(&mut agent, 200));
    assert_eq!(requested(&outputs), [3]);
}

/// Guards against two runs of one task after the agent has stood still: the granted lease is over, and the
/// owner may give the worker up before 0.6 s have passed without a reply.
#[test]
fn worker_is_inspected_soon_when_the_granted_lease_is_over() {
    let mut agent = reported_agent();
    let sent_at = Millis(agent.now);
    agent.now += WORKER_LEASE.0;
    agent.reply_to(sent_at, SESSION, vec![], true);
    // The reply to the request for a session takes some milliseconds.
    assert_eq!(inspection_count(&restart(&mut agent)), 0);
    let outputs = wait_without_reply(&mut agent, 200);
    assert!(inspection_count(&outputs) > 0);
}

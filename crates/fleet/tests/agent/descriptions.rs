//! Delivery of a worker's changed description to the owner.

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput};
use hyssop_jobs::{EndKind, WorkerInfo};

use crate::support::{
    Agent, SESSION, answer, end, numbered_reports, owner_record, reports, run, worker,
};

/// Returns the description of the worker with this many cores.
fn with_cores(cores: u64) -> WorkerInfo {
    let mut info = worker(1);
    info.capacity.cpu = cores * 1_000;
    info
}

fn heartbeat(agent: &mut Agent, cores: u64) -> Vec<AgentOutput> {
    agent.step(vec![AgentInput::Heartbeat(with_cores(cores))])
}

/// Returns the numbers of cores in the descriptions that are sent.
fn sent_cores(outputs: &[AgentOutput]) -> Vec<u64> {
    let workers = reports(outputs)
        .into_iter()
        .filter_map(|report| report.worker.as_ref());
    workers.map(|info| info.capacity.cpu / 1_000).collect()
}

/// Guards against a change that waits until the report in flight is answered, which may take 0.4 s.
#[test]
fn change_is_sent_beside_a_report_that_waits() {
    let mut agent = Agent::attached();
    assert_eq!(sent_cores(&heartbeat(&mut agent, 4)), [4]);
}

/// Guards against a change that is lost with the report that carries it: the session that is opened
/// afterwards starts with the present description.
#[test]
fn change_in_a_failed_report_opens_the_next_session() {
    let mut agent = Agent::attached();
    assert_eq!(sent_cores(&heartbeat(&mut agent, 4)), [4]);
    agent.fail_report();
    agent.now += 100;
    let outputs = agent.step(vec![]);
    assert_eq!(sent_cores(&outputs), [4]);
    assert_eq!(reports(&outputs)[0].session, None);
}

/// Guards against a change that an earlier owner was told and the next one was not.
#[test]
fn next_owner_is_told_the_present_description() {
    let mut agent = Agent::attached();
    heartbeat(&mut agent, 4);
    let outputs = agent.step(vec![AgentInput::OwnerLocated(Some(owner_record(2)))]);
    assert_eq!(sent_cores(&outputs), [4]);
}

/// Guards against an older description that the owner applies over a newer one, because the report
/// with the newer one has overtaken the other: tasks would start on a worker that has no room until its
/// next change. Of the reports in flight, one at most carries a description.
#[test]
fn second_change_waits_for_the_report_with_the_first() {
    let mut agent = Agent::attached();
    let outputs = heartbeat(&mut agent, 8);
    let first = numbered_reports(&outputs);
    assert_eq!(sent_cores(&outputs), [8]);
    // The other report in flight, which was sent before, is answered.
    agent.reply(vec![], true);
    let mut outputs = heartbeat(&mut agent, 4);
    outputs.extend(agent.probed(vec![], vec![end(1, run(0, 1), EndKind::Done)]));
    assert_eq!(sent_cores(&outputs), Vec::<u64>::new());
    assert_eq!(reports(&outputs).len(), 1, "the end is reported at once");
    let outputs = answer(&mut agent, first[0].0, SESSION);
    assert_eq!(sent_cores(&outputs), [4]);
}

/// Guards against an older description with which the owner opened the session: two requests to open
/// one may overtake each other, of which the first counts as failed at the agent. Its session is not
/// used, and the complete report repeats the description.
#[test]
fn complete_report_repeats_the_description() {
    let mut agent = Agent::new();
    let outputs = agent.step(vec![
        AgentInput::Heartbeat(with_cores(16)),
        AgentInput::OwnerLocated(Some(owner_record(1))),
    ]);
    let early = numbered_reports(&outputs);
    agent.fail_report();
    heartbeat(&mut agent, 4);
    agent.now += 100;
    let outputs = agent.step(vec![]);
    let late = numbered_reports(&outputs);
    assert_eq!(sent_cores(&outputs), [4]);
    // The later request has overtaken the earlier one, which opened another session of the worker.
    answer(&mut agent, late[0].0, SESSION);
    answer(&mut agent, early[0].0, SESSION + 1);
    let outputs = agent.step(vec![AgentInput::Probed {
        session: SESSION,
        sent_at: Millis(agent.now),
        worker_clock: Millis(agent.now),
        running: vec![],
        ended: vec![],
        unreadable: vec![],
    }]);
    let complete = reports(&outputs);
    assert!(complete[0].report.is_complete);
    assert_eq!(complete[0].session, Some(SESSION));
    assert_eq!(sent_cores(&outputs), [4]);
}

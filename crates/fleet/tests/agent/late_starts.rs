//! Start calls without a response that a later incarnation of the worker may still execute.

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, AgentOutput, ProbeError, StartError};
use hyssop_jobs::{EndKind, Order, Report, RunId};

use crate::support::{
    Agent, CLOCK_LEAD, SESSION, answered, end, reports, run, run_status, start, start_answered,
    worker,
};

/// Longest time that a task may wait for a call, from when it was sent.
const MAX_CALL_DELAY: u64 = 12_000;

/// Creates an agent that was ordered to start two runs.
fn agent_with_starts() -> Agent {
    let mut agent = Agent::attached();
    let orders = vec![(1, start(run(0, 1))), (2, start(run(1, 1)))];
    agent.reply(orders, true);
    agent
}

/// Lets the worker's address refuse connections, and returns the late starts of the report that tells
/// the owner.
fn late_starts_after_loss(agent: &mut Agent) -> Vec<(RunId, Millis)> {
    report_of_loss(agent).late_starts
}

/// Lets the worker's address refuse connections, and returns the report that tells the owner.
fn report_of_loss(agent: &mut Agent) -> Report {
    let error = ProbeError::Lost;
    let mut outputs = agent.step(vec![AgentInput::ProbeFailed {
        session: SESSION,
        error,
    }]);
    for _ in 0..4 {
        outputs.extend(agent.reply(vec![], true));
    }
    let reports = reports(&outputs);
    let lost = reports.iter().find(|report| report.report.is_dead);
    lost.unwrap().report.clone()
}

fn has_start(outputs: &[AgentOutput], expected: RunId) -> bool {
    let is_start = |output: &AgentOutput| match output {
        AgentOutput::Start { start, .. } => start.run == expected,
        _ => false,
    };
    outputs.iter().any(is_start)
}

fn acknowledged(outputs: &[AgentOutput]) -> Option<u64> {
    outputs.iter().find_map(|output| match output {
        AgentOutput::Probe {
            acknowledged_end, ..
        } => Some(*acknowledged_end),
        _ => None,
    })
}

/// Guards against two runs of one task: a start that got no response was executed after the worker's
/// loss. The other start was answered and a later probe has listed its run, so that its task need not
/// wait.
#[test]
fn loss_names_the_starts_without_an_answer() {
    let mut agent = agent_with_starts();
    let sent_at = agent.now;
    agent.step(vec![
        start_answered(run(0, 1), Err(StartError::Unknown)),
        start_answered(run(1, 1), Ok(())),
    ]);
    agent.probed(vec![run_status(run(1, 1))], vec![]);
    let late = late_starts_after_loss(&mut agent);
    assert_eq!(late.len(), 1);
    assert_eq!(late[0].0, run(0, 1));
    assert!(late[0].1.0 <= sent_at + MAX_CALL_DELAY - (agent.now - 5));
    assert!(late[0].1.0 >= MAX_CALL_DELAY - 1_000);
}

/// Guards against two runs of one task: the next incarnation executed and answered a start that was in
/// flight when the worker crashed, and the agent took the answer for one of the earlier incarnation.
#[test]
fn loss_names_the_starts_whose_answers_no_probe_has_confirmed() {
    let mut agent = agent_with_starts();
    agent.step(vec![
        start_answered(run(0, 1), Ok(())),
        start_answered(run(1, 1), Err(StartError::NotConnected)),
    ]);
    let late = late_starts_after_loss(&mut agent);
    let late: Vec<RunId> = late.into_iter().map(|(run, _)| run).collect();
    assert_eq!(late, [run(0, 1)]);
}

/// Guards against tasks that wait for 12 s after an ordinary crash: no probe was answered between the answer
/// to their start and the crash, but its clock shows that the incarnation that has crashed had started them.
#[test]
fn crash_soon_after_an_answer_of_the_known_incarnation_names_no_start() {
    for delay in [50, 150, 300, 600] {
        let mut agent = agent_with_starts();
        agent.now += 20;
        let clock = agent.now + CLOCK_LEAD;
        agent.step(vec![answered(run(0, 1), clock), answered(run(1, 1), clock)]);
        agent.now += delay;
        let report = report_of_loss(&mut agent);
        assert_eq!(report.late_starts, [], "crash after {delay} ms");
        let crashed = [(run(0, 1), true), (run(1, 1), true)];
        assert_eq!(report.crashed_runs.as_deref(), Some(&crashed[..]));
    }
}

/// Guards against two runs of one task: the next incarnation has answered its start, which the reading of
/// its clock shows, or does not rule out. Such a run is not certainly one under which the worker has crashed.
#[test]
fn answer_that_a_later_incarnation_may_have_given_does_not_settle_a_start() {
    // The call is sent 300 ms after the answer to the last probe and answered 20 ms later. Readings are given
    // as those of the probe, and of the start.
    let readings = [
        (CLOCK_LEAD, 3, "of a process that has just started"),
        (CLOCK_LEAD, CLOCK_LEAD - 1, "below that of the probe"),
        (
            CLOCK_LEAD,
            CLOCK_LEAD + 100,
            "of a clock that has hardly advanced",
        ),
        (CLOCK_LEAD, CLOCK_LEAD + 2_000, "of a clock that is ahead"),
        (
            100,
            420,
            "of a worker that had not run for longer than since the probe",
        ),
    ];
    for (probed, read, reading) in readings {
        let mut agent = Agent::located();
        agent.worker_clock = Some(Millis(probed));
        agent.reply(vec![], false);
        agent.probed(vec![], vec![]);
        agent.reply(vec![], true);
        agent.now += 300;
        agent.reply(vec![(1, start(run(0, 1)))], true);
        agent.now += 20;
        agent.step(vec![answered(run(0, 1), read)]);
        let report = report_of_loss(&mut agent);
        let late: Vec<RunId> = report.late_starts.iter().map(|l| l.0).collect();
        assert_eq!(late, [run(0, 1)], "reading {reading}");
        assert_eq!(report.answered_starts, [run(0, 1)]);
        assert_eq!(report.crashed_runs, Some(vec![(run(0, 1), false)]));
    }
}

/// Guards against two runs of one task: an answered repetition settled the first transmission of a start,
/// which the next incarnation may still execute.
#[test]
fn answer_of_the_known_incarnation_does_not_settle_an_earlier_call() {
    let mut agent = agent_with_starts();
    agent.step(vec![
        start_answered(run(0, 1), Err(StartError::Unknown)),
        answered(run(1, 1), agent.now + CLOCK_LEAD),
    ]);
    agent.now += 200;
    assert!(has_start(&agent.step(vec![]), run(0, 1)));
    let clock = agent.now + CLOCK_LEAD;
    agent.step(vec![answered(run(0, 1), clock)]);
    let late = late_starts_after_loss(&mut agent);
    assert_eq!(late.iter().map(|l| l.0).collect::<Vec<_>>(), [run(0, 1)]);
}

/// Guards against two runs of one task: the answer of the next incarnation came after the loss of the
/// earlier one, and the report of the loss was repeated without the start.
#[test]
fn answer_after_the_loss_does_not_settle_a_start() {
    let mut agent = agent_with_starts();
    agent.step(vec![start_answered(
        run(1, 1),
        Err(StartError::NotConnected),
    )]);
    agent.step(vec![AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::Lost,
    }]);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    let mut outputs = agent.fail_report();
    for _ in 0..4 {
        agent.now += 100;
        outputs.extend(agent.step(vec![]));
    }
    let reports = reports(&outputs);
    let lost = reports.iter().find(|report| report.report.is_dead);
    let late = &lost.unwrap().report.late_starts;
    assert_eq!(late.iter().map(|l| l.0).collect::<Vec<_>>(), [run(0, 1)]);
}

/// Guards against two runs of one task: a probe that was sent before the answer to a start came does not
/// show that the incarnation that has answered the probe has executed the start.
#[test]
fn answer_to_an_earlier_probe_does_not_confirm_a_start() {
    let mut agent = agent_with_starts();
    let sent_at = Millis(agent.now);
    agent.now += 50;
    agent.step(vec![
        start_answered(run(0, 1), Ok(())),
        start_answered(run(1, 1), Err(StartError::NotConnected)),
    ]);
    agent.probed_at(sent_at, vec![], vec![]);
    let late = late_starts_after_loss(&mut agent);
    let late: Vec<RunId> = late.into_iter().map(|(run, _)| run).collect();
    assert_eq!(late, [run(0, 1)]);
}

/// Guards against two runs of one task: a start whose connection was closed by the worker's crash was
/// executed by its next incarnation. The driver reports such a start as unknown. Also guards against
/// tasks that wait although no process can receive their start: its connection was refused.
#[test]
fn loss_names_the_starts_that_were_sent_only() {
    let mut agent = agent_with_starts();
    agent.step(vec![
        start_answered(run(0, 1), Err(StartError::Unknown)),
        start_answered(run(1, 1), Err(StartError::NotConnected)),
    ]);
    let late = late_starts_after_loss(&mut agent);
    let late: Vec<RunId> = late.into_iter().map(|(run, _)| run).collect();
    assert_eq!(late, [run(0, 1)]);
}

/// Guards against a call that is held to be open without end.
#[test]
fn unanswered_start_counts_as_lost_after_some_time() {
    let mut agent = agent_with_starts();
    agent.step(vec![
        start_answered(run(0, 1), Err(StartError::Unknown)),
        start_answered(run(1, 1), Ok(())),
    ]);
    agent.now += 200;
    assert!(has_start(&agent.step(vec![]), run(0, 1)));
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    agent.probed(vec![run_status(run(0, 1)), run_status(run(1, 1))], vec![]);
    agent.now += MAX_CALL_DELAY;
    assert_eq!(late_starts_after_loss(&mut agent), []);
}

/// Guards against two runs of one task: the first transmission of a start was forgotten once a
/// repetition was answered, and reached the worker after its restart.
#[test]
fn transmission_that_was_overtaken_by_a_repetition_is_reported() {
    let mut agent = agent_with_starts();
    agent.step(vec![
        start_answered(run(0, 1), Err(StartError::Unknown)),
        start_answered(run(1, 1), Ok(())),
    ]);
    agent.now += 200;
    assert!(has_start(&agent.step(vec![]), run(0, 1)));
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    let ended = vec![end(1, run(0, 1), EndKind::Failed)];
    let outputs = agent.probed(vec![], ended);
    let reports = reports(&outputs);
    assert_eq!(reports[0].report.late_starts.len(), 1);
    assert_eq!(reports[0].report.late_starts[0].0, run(0, 1));
}

/// Guards against tasks that wait although their start was executed: the only call was, since the
/// worker lists the run. The owner knows the start as late until it is told.
#[test]
fn listed_run_with_one_call_is_reported_as_executed() {
    let mut agent = agent_with_starts();
    agent.step(vec![start_answered(run(0, 1), Err(StartError::Unknown))]);
    agent.probed(vec![run_status(run(0, 1)), run_status(run(1, 1))], vec![]);
    let executed = [(run(0, 1), Millis(0))];
    assert_eq!(late_starts_after_loss(&mut agent), executed);
}

/// Guards against a run that starts after the end of the same run as done was acknowledged: another
/// transmission of its start reached the worker after its restart.
#[test]
fn end_is_not_acknowledged_while_its_start_may_be_executed_again() {
    let mut agent = agent_with_starts();
    agent.step(vec![
        start_answered(run(0, 1), Err(StartError::Unknown)),
        start_answered(run(1, 1), Ok(())),
    ]);
    agent.now += 200;
    agent.step(vec![]);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    let ended = vec![
        end(1, run(1, 1), EndKind::Done),
        end(2, run(0, 1), EndKind::Done),
    ];
    agent.probed(vec![], ended.clone());
    agent.acknowledge(2);
    agent.probed(vec![], ended.clone());
    // After a lost call, nothing is acknowledged for 3 s.
    agent.now += 3_000;
    assert_eq!(acknowledged(&agent.step(vec![])), Some(1));
    agent.probed(vec![], ended);
    agent.now += MAX_CALL_DELAY;
    assert_eq!(acknowledged(&agent.step(vec![])), Some(2));
}

/// Guards against tasks that wait without need: the next incarnation has answered a call with a higher
/// token, so that it refuses the late start. Also guards against two runs of one task: that incarnation
/// crashed in turn, and the one after it executed the start, which the agent had forgotten.
#[test]
fn answer_of_a_later_incarnation_rules_late_starts_out() {
    let mut agent = agent_with_starts();
    agent.step(vec![start_answered(run(0, 1), Err(StartError::Unknown))]);
    agent.step(vec![AgentInput::Heartbeat(worker(2))]);
    let error = ProbeError::Restarted;
    agent.step(vec![AgentInput::ProbeFailed {
        session: SESSION,
        error,
    }]);
    agent.step(vec![AgentInput::Heartbeat(worker(2))]);
    for _ in 0..4 {
        agent.now += 200;
        agent.reply_in(SESSION + 1, vec![], false);
    }
    assert_eq!(agent.core.session(), Some(SESSION + 1));
    let outputs = agent.probed_in(SESSION + 1, vec![], vec![]);
    let reports = reports(&outputs);
    assert!(reports[0].report.is_complete);
    assert_eq!(reports[0].report.late_starts, []);
    let void: Vec<RunId> = reports[0].report.void_starts.iter().map(|l| l.0).collect();
    assert_eq!(void, [run(0, 1), run(1, 1)]);

    let error = ProbeError::Lost;
    agent.step(vec![AgentInput::ProbeFailed {
        session: SESSION + 1,
        error,
    }]);
    let mut outputs = Vec::new();
    for _ in 0..4 {
        agent.now += 100;
        outputs.extend(agent.reply_in(SESSION + 1, vec![], false));
    }
    let reports = crate::support::reports(&outputs);
    let lost = reports.iter().find(|report| report.report.is_dead);
    let late = &lost.unwrap().report.late_starts;
    assert_eq!(late.iter().map(|l| l.0).collect::<Vec<_>>(), void);
}

/// Guards against two runs of one task: the owner started it again because the complete report of the
/// next session lacked the run, while a start of the earlier session was still in flight.
#[test]
fn complete_report_names_the_starts_in_flight() {
    let mut agent = agent_with_starts();
    agent.step(vec![start_answered(run(1, 1), Ok(()))]);
    agent.fail_report();
    for _ in 0..4 {
        agent.now += 100;
        agent.reply_in(SESSION + 1, vec![], false);
    }
    assert_eq!(agent.core.session(), Some(SESSION + 1));
    let outputs = agent.probed_in(SESSION + 1, vec![run_status(run(1, 1))], vec![]);
    let reports = reports(&outputs);
    assert!(reports[0].report.is_complete);
    let late: Vec<RunId> = reports[0].report.late_starts.iter().map(|l| l.0).collect();
    assert_eq!(late, [run(0, 1)]);
}

/// Guards against two runs of one task: a run was stopped while its start call was in flight, the report of
/// its refusal did not name that call, and the worker's next incarnation executed it after the task had
/// started elsewhere.
#[test]
fn refusal_of_a_stopped_run_names_its_start_in_flight() {
    let mut agent = agent_with_starts();
    agent.step(vec![start_answered(run(1, 1), Ok(()))]);
    agent.reply(vec![(3, Order::Stop(run(0, 1)))], true);
    agent.step(vec![AgentInput::Stopped {
        session: SESSION,
        run: run(0, 1),
        is_answered: true,
    }]);
    agent.now += 100;
    let mut outputs = agent.probed(vec![run_status(run(1, 1))], vec![]);
    outputs.extend(agent.step(vec![start_answered(run(0, 1), Err(StartError::Unknown))]));
    agent.now += 100;
    outputs.extend(agent.probed(vec![run_status(run(1, 1))], vec![]));
    let reports = reports(&outputs);
    let is_refused = |(refused, _): &(RunId, _)| *refused == run(0, 1);
    let mut reports = reports.into_iter().map(|request| &request.report);
    let refusal = reports.find(|report| report.refused.iter().any(is_refused));
    let late = &refusal.unwrap().late_starts;
    assert_eq!(late.iter().map(|l| l.0).collect::<Vec<_>>(), [run(0, 1)]);
}

//! Conclusions that the agent draws from probes of the worker.

use hyssop_core::Millis;
use hyssop_fleet::ReportReply;
use hyssop_fleet::agents::{AgentInput, AgentOutput, ProbeError, StartError};
use hyssop_jobs::{EndKind, Refusal, WorkerInfo, WorkerState};

use crate::support::{
    Agent, CLOCK_LEAD, SESSION, acknowledged, answer, answered, end, numbered_reports,
    owner_record, refused, reports, run, run_status, start, start_answered, worker,
};

/// Guards against two runs of one task. A probe that was sent in the same millisecond in which the
/// start was answered may have been executed before the start, so that the missing run is no
/// evidence of its loss.
#[test]
fn probe_of_the_same_millisecond_does_not_report_a_missing_run() {
    let mut agent = Agent::attached();
    agent.reply(vec![(1, start(run(0, 1)))], true);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    let started_at = Millis(agent.now);
    let outputs = agent.probed_at(started_at, vec![], vec![]);
    assert_eq!(refused(&outputs), []);
    let outputs = agent.probed(vec![], vec![]);
    assert_eq!(refused(&outputs), [(run(0, 1), Refusal::Other)]);
}

/// Guards against lost ends. An end is reported repeatedly until the owner has stored it, and the
/// worker may not forget it earlier.
#[test]
fn end_is_acknowledged_only_after_the_owner() {
    let mut agent = Agent::attached();
    let ended = vec![end(1, run(0, 1), EndKind::Done)];
    let outputs = agent.probed(vec![], ended.clone());
    assert!(
        reports(&outputs)
            .iter()
            .any(|report| report.report.ended == ended)
    );
    agent.now += 100;
    let outputs = agent.step(vec![]);
    assert!(acknowledged(&outputs).into_iter().all(|end| end == 0));
}

/// Guards against a lease that ends later on the worker than on the owner. The worker's clock may
/// be 2% slow, so that its deadline is set that much earlier. The lease starts when the report was
/// sent.
#[test]
fn lease_allows_for_a_slow_clock() {
    let mut agent = Agent::attached();
    let sent_at = agent.now;
    agent.reply(vec![(1, start(run(0, 1)))], true);
    let outputs = agent.probed(vec![run_status(run(0, 1))], vec![]);
    let lease = outputs.iter().find_map(|output| match output {
        AgentOutput::Probe { lease, .. } => *lease,
        _ => None,
    });
    // The worker's clock was 500,000 ms ahead of the agent's when the probe was answered.
    let (read_at, remaining) = (agent.now, sent_at + 4_000 - agent.now);
    let expected = read_at - 1 + 500_000 + remaining * 98 / 100;
    assert!(
        lease.is_some_and(|lease| lease.0 <= expected + 1),
        "{lease:?} {expected}"
    );
}

/// Guards against tasks that wait for the lease of a lost worker to end, and against a running
/// worker that is marked lost: a refused connection shows the loss, a missing response does not.
#[test]
fn only_a_refused_connection_marks_a_worker_lost() {
    let mut agent = Agent::attached();
    let unanswered = AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::NoResponse,
    };
    let outputs = agent.step(vec![unanswered]);
    assert!(
        reports(&outputs)
            .iter()
            .all(|report| !report.report.is_dead)
    );
    let refused = AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::Lost,
    };
    agent.reply(vec![], true);
    let mut outputs = agent.step(vec![refused]);
    outputs.extend(agent.reply(vec![], true));
    assert!(reports(&outputs).iter().any(|report| report.report.is_dead));
}

/// Returns whether an agent reports a crash after these inputs, once its reports are answered.
fn reports_crash(inputs: Vec<AgentInput>) -> bool {
    let mut agent = Agent::attached();
    let mut outputs = agent.step(inputs);
    outputs.extend(agent.reply(vec![], true));
    assert!(is_reported_lost(&outputs));
    let mut reports = reports(&outputs).into_iter();
    reports.any(|report| report.report.has_crashed)
}

fn refused_probe() -> AgentInput {
    AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::Lost,
    }
}

/// Guards against a task that is started again and again although each worker that starts it
/// crashes: the owner counts crashes by this report.
#[test]
fn refused_connection_is_reported_as_crash() {
    assert!(reports_crash(vec![refused_probe()]));
}

/// Guards against tasks that are blamed for a worker that has ended as planned: it has deregistered
/// or was draining.
#[test]
fn planned_end_of_a_worker_is_not_reported_as_crash() {
    let left = AgentInput::WorkerLeft("i-1".into());
    assert!(!reports_crash(vec![left, refused_probe()]));
    let draining = WorkerInfo {
        state: WorkerState::Draining,
        ..worker(1)
    };
    let draining = AgentInput::Heartbeat(draining);
    assert!(!reports_crash(vec![draining, refused_probe()]));
}

/// Guards against orders for an earlier incarnation of a worker that reach a later one, and against a
/// heartbeat of another writer that ends the session of a live worker: a heartbeat makes the next probe
/// due at once, and the answer of the later incarnation ends the session.
#[test]
fn later_incarnation_opens_another_session() {
    let mut agent = Agent::attached();
    agent.probed(vec![], vec![end(1, run(0, 1), EndKind::Done)]);
    agent.probed(vec![], vec![end(1, run(0, 1), EndKind::Done)]);
    let outputs = agent.step(vec![AgentInput::Heartbeat(worker(2))]);
    let is_probe = |output: &AgentOutput| matches!(output, AgentOutput::Probe { .. });
    assert!(outputs.iter().any(is_probe));
    let outputs = agent.step(vec![AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::Restarted,
    }]);
    assert_eq!(agent.core.session(), None);
    assert_eq!(agent.core.worker(), Some(&worker(2)));
    assert!(
        reports(&outputs)
            .iter()
            .all(|report| report.report.ended.is_empty())
    );
    agent.step(vec![AgentInput::Heartbeat(worker(1))]);
    assert_eq!(agent.core.session(), None);
    assert_eq!(agent.core.worker(), Some(&worker(2)));
}

/// Guards against a worker that is locked out: a heartbeat of another writer with its identifier and a
/// later incarnation ended its session, and its own heartbeats counted as outdated from then on.
#[test]
fn announced_incarnation_alone_does_not_end_a_session() {
    let mut agent = agent_with_run();
    agent.step(vec![AgentInput::Heartbeat(worker(9))]);
    let is_start = |output: &AgentOutput| matches!(output, AgentOutput::Start { .. });
    let outputs = agent.reply(vec![(2, start(run(1, 1)))], true);
    assert!(
        !outputs.iter().any(is_start),
        "the later incarnation could execute it"
    );
    let outputs = agent.probed(vec![run_status(run(0, 1))], vec![]);
    assert!(outputs.iter().any(is_start));
    agent.step(vec![AgentInput::Heartbeat(worker(1))]);
    assert_eq!(agent.core.session(), Some(SESSION));
    assert_eq!(agent.core.worker(), Some(&worker(1)));
}

/// Guards against an agent that continues to report to an owner which has lost the ownership.
#[test]
fn later_owner_replaces_the_session() {
    let mut agent = Agent::attached();
    agent.step(vec![AgentInput::OwnerLocated(Some(owner_record(1)))]);
    assert_eq!(agent.core.session(), Some(SESSION));
    let outputs = agent.step(vec![AgentInput::OwnerLocated(Some(owner_record(2)))]);
    assert_eq!(agent.core.session(), None);
    assert!(
        reports(&outputs)
            .iter()
            .any(|report| report.worker.is_some())
    );
}

/// Guards against tasks that start on a draining worker. It started to drain while its session was
/// being opened, after the description that opens the session had been sent.
#[test]
fn change_during_the_opening_of_a_session_is_reported() {
    let mut agent = Agent::located();
    let mut leaving = worker(1);
    leaving.state = WorkerState::Draining;
    agent.step(vec![AgentInput::Heartbeat(leaving.clone())]);
    agent.reply(vec![], false);
    let outputs = agent.probed(vec![], vec![]);
    assert!(
        reports(&outputs)
            .iter()
            .any(|report| report.worker == Some(leaving.clone()))
    );
}

/// Guards against two runs of one task. A late reply must not reopen a session that the agent has
/// dropped, because its second complete report would lack what the owner has ordered since.
#[test]
fn late_reply_does_not_reopen_a_session() {
    let mut agent = Agent::attached();
    agent.fail_report();
    assert_eq!(agent.core.session(), None);
    agent.reply(vec![], true);
    assert_eq!(agent.core.session(), None);
}

/// Guards against a session that is dropped although its connection works: a report that was sent on
/// an earlier, silent connection fails after another one on it, whose failure has already ended the
/// session of both.
#[test]
fn report_that_counted_as_failed_ends_no_later_session() {
    let mut agent = Agent::attached();
    let outputs = agent.probed(vec![], vec![end(1, run(0, 1), EndKind::Done)]);
    let second = numbered_reports(&outputs);
    assert_eq!(second.len(), 1, "two reports are in flight");
    agent.fail_report();
    assert_eq!(agent.core.session(), None);
    agent.now += 100;
    let opening = numbered_reports(&agent.step(vec![]));
    answer(&mut agent, opening[0].0, SESSION + 1);
    assert_eq!(agent.core.session(), Some(SESSION + 1));
    agent.step(vec![AgentInput::ReportFailed {
        epoch: 1,
        number: second[0].0,
    }]);
    assert_eq!(agent.core.session(), Some(SESSION + 1));
}

/// Creates an agent whose worker has listed a run.
fn agent_with_run() -> Agent {
    let mut agent = Agent::attached();
    agent.reply(vec![(1, start(run(0, 1)))], true);
    agent.probed(vec![run_status(run(0, 1))], vec![]);
    agent
}

/// Lets a probe time out and the next one start. The owner renews the lease meanwhile.
fn miss_probe(agent: &mut Agent) -> Vec<AgentOutput> {
    agent.now += 1_200;
    let unanswered = AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::NoResponse,
    };
    let mut outputs = agent.step(vec![unanswered]);
    agent.now += 200;
    outputs.extend(agent.reply(vec![], true));
    outputs
}

fn is_reported_lost(outputs: &[AgentOutput]) -> bool {
    reports(outputs).iter().any(|report| report.report.is_dead)
}

/// Guards against tasks that stay assigned to a worker for as long as it does not respond: each
/// unanswered probe may have renewed its lease, so that the lease never ended. Guards also against
/// a worker that counts as lost while a probe that it may have received lets it run.
#[test]
fn silent_worker_is_lost_after_its_last_lease() {
    let mut agent = agent_with_run();
    let silent_since = agent.now;
    let mut lease_end = silent_since;
    let mut lost_at = None;
    while lost_at.is_none() && agent.now < silent_since + 20_000 {
        let outputs = miss_probe(&mut agent);
        let leases = outputs.iter().filter_map(|output| match output {
            AgentOutput::Probe { lease, .. } => *lease,
            _ => None,
        });
        for lease in leases {
            // The worker's clock was 500,000 ms ahead of the agent's and may be 2% slow.
            let remaining = lease.0 - 500_000 - silent_since;
            lease_end = lease_end.max(silent_since + remaining * 100 / 98);
        }
        lost_at = is_reported_lost(&outputs).then_some(agent.now);
    }
    // Two unanswered probes, the lease of 4 s, and one more probe.
    let limit = silent_since + 8_200;
    assert!(lost_at.is_some_and(|at| at <= limit), "{lost_at:?} {limit}");
    assert!(
        lost_at.is_some_and(|at| at > lease_end),
        "{lost_at:?} {lease_end}"
    );
}

/// Guards against tasks that are blamed for a worker that does not respond until its lease has ended.
#[test]
fn silent_worker_is_not_reported_as_crash() {
    let mut agent = agent_with_run();
    let silent_since = agent.now;
    let mut outputs = Vec::new();
    while !is_reported_lost(&outputs) && agent.now < silent_since + 20_000 {
        outputs = miss_probe(&mut agent);
    }
    assert!(is_reported_lost(&outputs));
    let reports = reports(&outputs);
    assert!(reports.iter().all(|report| !report.report.has_crashed));
}

/// Guards against ends that are learned late from a worker of which some probes get no response: the
/// probe after a failed one asks for the present state and does not wait for an end.
#[test]
fn probe_after_a_failed_one_does_not_wait() {
    let mut agent = agent_with_run();
    let waits = |outputs: &[AgentOutput]| -> Vec<u64> {
        let waits = outputs.iter().filter_map(|output| match output {
            AgentOutput::Probe { wait, .. } => Some(wait.0),
            _ => None,
        });
        waits.collect()
    };
    assert_eq!(waits(&miss_probe(&mut agent)), [0]);
    let outputs = agent.probed(vec![run_status(run(0, 1))], vec![]);
    assert_eq!(waits(&outputs), [500]);
}

/// Guards against workers that lose their tasks because some probes are not answered.
#[test]
fn lease_is_renewed_again_after_a_response() {
    let mut agent = agent_with_run();
    for _ in 0..10 {
        for _ in 0..2 {
            assert!(!is_reported_lost(&miss_probe(&mut agent)));
        }
        agent.probed(vec![run_status(run(0, 1))], vec![]);
    }
}

/// Returns the waits and acknowledged ends of the probes among outputs.
fn probes(outputs: &[AgentOutput]) -> Vec<(u64, u64)> {
    let probes = outputs.iter().filter_map(|output| match output {
        AgentOutput::Probe {
            wait,
            acknowledged_end,
            ..
        } => Some((wait.0, *acknowledged_end)),
        _ => None,
    });
    probes.collect()
}

/// Guards against tasks that are lost on a worker that answers only some of its calls. The agent
/// waited for the timeout of each probe, so that three in a row without an answer ended the lease.
#[test]
fn another_probe_is_sent_beside_one_without_an_answer() {
    let mut agent = agent_with_run();
    let sent_at = agent.now;
    agent.acknowledge(3);
    let mut sent = Vec::new();
    while agent.now < sent_at + 1_200 {
        let outputs = agent.step(vec![]);
        let probes = probes(&outputs).into_iter();
        sent.extend(probes.map(|probe| (agent.now - sent_at, probe)));
    }
    // The first one waits for 500 ms. The others may reach a later incarnation.
    assert_eq!(sent, [(800, (0, 0)), (1_100, (0, 0))]);
}

/// Guards against tasks that are lost on a worker that answers one of ten probes.
#[test]
fn worker_that_answers_few_probes_keeps_its_lease() {
    let mut agent = agent_with_run();
    // The probe that was sent with the last answer gets none.
    let mut calls = vec![(agent.now + 1_200, None)];
    let mut number = 0;
    for _ in 0..60_000 {
        let now = agent.now;
        let due = calls.iter().position(|&(ends_at, _)| ends_at <= now);
        let input = due.map(|index| match calls.remove(index) {
            (_, Some(sent_at)) => AgentInput::Probed {
                session: SESSION,
                sent_at: Millis(sent_at),
                worker_clock: Millis(now + 500_000),
                running: vec![run_status(run(0, 1))],
                ended: vec![],
                unreadable: vec![],
            },
            (_, None) => AgentInput::ProbeFailed {
                session: SESSION,
                error: ProbeError::NoResponse,
            },
        });
        let mut outputs = agent.step(input.into_iter().collect());
        if now.is_multiple_of(400) {
            outputs.extend(agent.reply(vec![], true));
        }
        assert!(!is_reported_lost(&outputs), "lost at {now} ms");
        for (wait, _) in probes(&outputs) {
            number += 1;
            calls.push(match number % 10 {
                0 => (agent.now + wait + 1, Some(agent.now)),
                _ => (agent.now + wait + 700, None),
            });
        }
    }
}

/// Guards against runs that start again: the answer to an earlier probe, which lacks a run, comes
/// after the answer to a later one, which lists it.
#[test]
fn answer_overtaken_by_a_later_one_is_ignored() {
    let mut agent = Agent::attached();
    let sent_at = agent.now;
    agent.reply(vec![(1, start(run(0, 1)))], true);
    agent.now = sent_at + 900;
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    let mut outputs = agent.probed(vec![run_status(run(0, 1))], vec![]);
    outputs.extend(agent.probed_at(Millis(sent_at), vec![], vec![]));
    agent.now += 500;
    outputs.extend(agent.reply(vec![], true));
    outputs.extend(agent.probed_at(Millis(agent.now), vec![run_status(run(0, 1))], vec![]));
    for report in reports(&outputs) {
        assert_eq!(report.report.refused, []);
        let running = report.report.running.as_ref();
        assert!(running.is_none_or(|running| !running.is_empty()));
    }
    let mut lists = reports(&outputs).into_iter();
    assert!(lists.any(|report| report.report.running.is_some()));
}

/// Guards against ends that nobody has read and that a restarted worker forgets: the last probe has
/// failed, so that the next one may reach a later incarnation, and the answer to an earlier one was
/// taken for an answer since.
#[test]
fn nothing_is_acknowledged_after_a_failed_probe_beside_an_answered_one() {
    let mut agent = agent_with_run();
    let earlier = agent.now;
    agent.acknowledge(3);
    while agent.now < earlier + 800 {
        agent.step(vec![]);
    }
    agent.now += 50;
    let listed = vec![end(3, run(1, 1), EndKind::Done)];
    agent.probed_at(Millis(earlier), vec![run_status(run(0, 1))], listed.clone());
    agent.now += 50;
    let mut outputs = agent.step(vec![AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::NoResponse,
    }]);
    assert!(probes(&outputs).is_empty());
    // After a lost call, nothing is acknowledged for 3 s.
    agent.now += 3_000;
    while probes(&outputs).is_empty() {
        outputs = agent.step(vec![]);
    }
    assert_eq!(probes(&outputs)[0].1, 0);
    agent.probed(vec![run_status(run(0, 1))], listed);
    agent.now += 50;
    assert_eq!(probes(&agent.step(vec![]))[0].1, 3);
}

/// Guards against a worker that counts as responding although its probe has failed: a probe had failed
/// before an earlier one was answered, and its entry stayed and stood for the next one that failed.
#[test]
fn failed_probe_counts_after_one_that_failed_out_of_order() {
    let mut agent = agent_with_run();
    let unanswered = || AgentInput::ProbeFailed {
        session: SESSION,
        error: ProbeError::NoResponse,
    };
    let earlier = agent.now;
    while agent.now < earlier + 800 {
        agent.step(vec![]);
    }
    agent.step(vec![unanswered()]);
    let mut outputs = agent.probed_at(Millis(earlier), vec![run_status(run(0, 1))], vec![]);
    while probes(&outputs).is_empty() {
        outputs = agent.step(vec![]);
    }
    agent.probed(vec![run_status(run(0, 1))], vec![]);
    agent.reply(vec![], true);
    agent.now += 100;
    let mut outputs = agent.step(vec![unanswered()]);
    agent.now += 200;
    outputs.extend(agent.reply(vec![], true));
    let mut reports = reports(&outputs).into_iter();
    assert!(reports.any(|report| report.report.is_unresponsive));
}

/// Guards against tasks that are blamed for the crash of a worker that never received them: their
/// starts found no connection.
#[test]
fn crash_report_names_the_runs_that_may_have_been_there() {
    let mut agent = Agent::attached();
    let orders = (0..5).map(|n| (u64::from(n) + 1, start(run(n, 1))));
    agent.reply(orders.collect(), true);
    let started = |n, result| start_answered(run(n, 1), result);
    // Run 3 is listed, and the start of run 4 is in flight.
    let outputs = agent.step(vec![
        answered(run(0, 1), agent.now + CLOCK_LEAD),
        started(1, Err(StartError::NotConnected)),
        started(2, Err(StartError::Unknown)),
    ]);
    let mut outputs = [
        outputs,
        agent.probed(vec![run_status(run(3, 1))], vec![]),
        agent.step(vec![refused_probe()]),
    ]
    .concat();
    outputs.extend(agent.reply(vec![], true));
    outputs.extend(agent.reply(vec![], true));
    let crashed = reports(&outputs)
        .into_iter()
        .find(|report| report.report.has_crashed);
    let mut runs = crashed.and_then(|report| report.report.crashed_runs.clone());
    if let Some(runs) = &mut runs {
        runs.sort_unstable();
    }
    let expected = [(0, true), (2, false), (3, true), (4, false)];
    let expected = expected.map(|(n, is_certain)| (run(n, 1), is_certain));
    assert_eq!(runs, Some(expected.to_vec()));
}

/// Guards against a session that is dropped although its connection works: a report of an earlier
/// session, which counted as failed with another one, is answered later with the notice that its own
/// session is closed.
#[test]
fn late_answer_to_a_report_of_an_earlier_session_ends_no_later_one() {
    let mut agent = Agent::attached();
    let outputs = agent.probed(vec![], vec![end(1, run(0, 1), EndKind::Done)]);
    let second = numbered_reports(&outputs);
    assert_eq!(second.len(), 1, "two reports are in flight");
    agent.fail_report();
    agent.now += 100;
    let opening = numbered_reports(&agent.step(vec![]));
    answer(&mut agent, opening[0].0, SESSION + 1);
    assert_eq!(agent.core.session(), Some(SESSION + 1));
    let reply = ReportReply {
        is_owner: true,
        epoch: 1,
        ..ReportReply::default()
    };
    agent.step(vec![AgentInput::ReportAnswered {
        epoch: 1,
        sent_at: Millis(agent.now),
        number: second[0].0,
        reply,
    }]);
    assert_eq!(agent.core.session(), Some(SESSION + 1));
}

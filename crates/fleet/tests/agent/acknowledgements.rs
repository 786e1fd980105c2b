//! Acknowledgements of ends that a later incarnation of the worker may execute.

use hyssop_core::Millis;
use hyssop_fleet::agents::{AgentInput, ProbeError, StartError};
use hyssop_jobs::{EndKind, Order, Refusal, Report, RunEnd, RunId, RunStatus};

use crate::support::{
    Agent, SESSION, SPEED_DELAY, acknowledged, end, pauses, reports, run, run_status, start,
    start_answered, starts, stops, worker,
};

/// Longest time after which a call without a response may be executed.
const MAX_CALL_DELAY: u64 = 12_000;
/// Least time between two acknowledgements while calls get lost.
const SPARSE_INTERVAL: u64 = 3_000;

fn ends(last: u64) -> Vec<RunEnd> {
    vec![end(last, run(9, last), EndKind::Done)]
}

fn probe_failed(error: ProbeError) -> AgentInput {
    let session = SESSION;
    AgentInput::ProbeFailed { session, error }
}

/// Lets the worker list these ends for a time, answering each probe at once, until the agent
/// acknowledges one. Returns the time that it took.
fn time_until_acknowledged(agent: &mut Agent, listed: &[RunEnd], millis: u64) -> Option<u64> {
    let from = agent.now;
    let mut is_waiting = false;
    while agent.now <= from + millis {
        let outputs = match std::mem::take(&mut is_waiting) {
            true => agent.probed(vec![], listed.to_vec()),
            false => agent.step(vec![]),
        };
        let sent = acknowledged(&outputs);
        is_waiting = !sent.is_empty();
        if sent.iter().any(|&number| number > 0) {
            return Some(agent.now - from);
        }
    }
    None
}

/// Creates an agent whose acknowledgement of end 3 is in flight.
fn agent_that_acknowledges() -> Agent {
    let mut agent = Agent::attached();
    agent.probed(vec![], ends(3));
    agent.acknowledge(3);
    agent.probed(vec![], ends(3));
    let time = time_until_acknowledged(&mut agent, &ends(3), 100);
    assert!(time.is_some_and(|time| time <= 50), "{time:?}");
    agent
}

/// Creates an agent of which an acknowledgement and then the start of a run got no answer.
fn agent_with_late_start(run: RunId) -> Agent {
    let mut agent = agent_that_acknowledges();
    agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    agent.probed(vec![], ends(3));
    let outputs = agent.reply(vec![(1, start(run))], true);
    assert_eq!(starts(&outputs), 1);
    agent.step(vec![start_answered(run, Err(StartError::Unknown))]);
    agent
}

/// Lets an incarnation of the worker answer in a new session. Returns whether the first report tells
/// that its ends may be hidden.
fn restart(agent: &mut Agent, incarnation: u64, listed: Vec<RunEnd>) -> bool {
    report_of_restart(agent, incarnation, vec![], listed).may_hide_ends
}

/// As [`restart`], with runs that the incarnation lists. Returns the first report.
fn report_of_restart(
    agent: &mut Agent,
    incarnation: u64,
    running: Vec<RunStatus>,
    listed: Vec<RunEnd>,
) -> Report {
    if let Some(session) = agent.core.session() {
        let error = ProbeError::Restarted;
        agent.step(vec![AgentInput::ProbeFailed { session, error }]);
    }
    agent.step(vec![AgentInput::Heartbeat(worker(incarnation))]);
    let session = SESSION + incarnation;
    agent.open_session(session);
    let mut outputs = agent.probed_in(session, running, listed);
    outputs.extend(agent.reply_in(session, vec![], true));
    let first = reports(&outputs)[0].report.clone();
    assert!(first.is_complete);
    first
}

/// Guards against a task that starts again after it was done: a restarted worker executes a start and
/// an acknowledgement that were in flight together, and the end of the run is hidden.
#[test]
fn acknowledgement_waits_for_starts_in_flight() {
    let mut agent = Agent::attached();
    agent.probed(vec![], ends(3));
    agent.reply(vec![(1, start(run(0, 1)))], true);
    agent.acknowledge(3);
    agent.probed(vec![], ends(3));
    assert_eq!(time_until_acknowledged(&mut agent, &ends(3), 400), None);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    let time = time_until_acknowledged(&mut agent, &ends(3), 400);
    assert!(time.is_some_and(|time| time <= 100), "{time:?}");
}

/// As above: the later incarnation has answered the start, and no probe has shown that it was not the
/// intended one.
#[test]
fn acknowledgement_waits_for_a_probe_after_starts() {
    let mut agent = Agent::attached();
    agent.probed(vec![], ends(3));
    agent.acknowledge(3);
    agent.probed(vec![], ends(3));
    agent.reply(vec![(1, start(run(0, 1)))], true);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    agent.now += 50;
    assert_eq!(acknowledged(&agent.step(vec![])), [0]);
    agent.probed(vec![run_status(run(0, 1))], ends(3));
    agent.now += 50;
    assert_eq!(acknowledged(&agent.step(vec![])), [3]);
}

/// As above, with a start that is ordered later.
#[test]
fn start_waits_for_an_acknowledgement_in_flight() {
    let mut agent = agent_that_acknowledges();
    let outputs = agent.reply(vec![(1, start(run(0, 1)))], true);
    assert_eq!(starts(&outputs), 0);
    assert_eq!(starts(&agent.probed(vec![], vec![])), 1);
}

/// As above, with a start that is ordered after the acknowledgement got no answer, because the worker has
/// restarted.
#[test]
fn start_waits_for_a_probe_after_an_unanswered_acknowledgement() {
    let mut agent = agent_that_acknowledges();
    let outputs = agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    assert_eq!(acknowledged(&outputs), [0; 0]);
    assert_eq!(starts(&agent.reply(vec![(1, start(run(0, 1)))], true)), 0);
    agent.now += 150;
    let outputs = agent.step(vec![]);
    assert_eq!((acknowledged(&outputs), starts(&outputs)), (vec![0], 0));
    // The acknowledgement may still be under way.
    assert_eq!(starts(&agent.probed(vec![], ends(3))), 1);
}

/// Guards against ends that stay unacknowledged because there is always a start in flight.
#[test]
fn steady_starts_do_not_hold_up_an_acknowledgement() {
    let mut agent = Agent::attached();
    agent.probed(vec![], ends(3));
    agent.reply(vec![(1, start(run(0, 1)))], true);
    agent.acknowledge(3);
    agent.probed(vec![], ends(3));
    assert_eq!(time_until_acknowledged(&mut agent, &ends(3), 300), None);
    let outputs = agent.reply(vec![(2, start(run(1, 1)))], true);
    assert_eq!(starts(&outputs), 0);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    assert!(time_until_acknowledged(&mut agent, &ends(3), 100).is_some());
    assert_eq!(starts(&agent.probed(vec![], vec![])), 1);
}

/// Guards against a result that is taken for that of the acknowledgement, and against more calls than
/// necessary that a restarted worker may execute. Also guards against an agent that never probes again
/// because the result of one is missing.
#[test]
fn no_probe_is_sent_beside_an_acknowledgement() {
    let mut agent = agent_that_acknowledges();
    let sent_at = agent.now;
    while agent.now < sent_at + 700 {
        assert_eq!(acknowledged(&agent.step(vec![])), [0; 0]);
    }
    agent.now += 400;
    assert_eq!(acknowledged(&agent.step(vec![])), [0]);
}

/// Guards against ends that a worker lists for long, or that its agent reads again and again.
#[test]
fn acknowledgements_follow_at_once_while_all_calls_are_answered() {
    let mut agent = agent_that_acknowledges();
    for number in 4..8 {
        agent.probed(vec![], ends(number));
        agent.acknowledge(number);
        agent.probed(vec![], ends(number));
        let time = time_until_acknowledged(&mut agent, &ends(number), 100);
        assert!(time.is_some_and(|time| time <= 50), "{time:?}");
    }
}

/// Guards against many acknowledgements that a restarted worker may execute late: each that is sent
/// while calls get lost may be one of them.
#[test]
fn acknowledgements_are_rare_while_calls_get_lost() {
    let mut agent = agent_that_acknowledges();
    agent.probed(vec![], ends(4));
    agent.reply(vec![(1, start(run(0, 1)))], true);
    let lost_at = agent.now;
    agent.step(vec![start_answered(run(0, 1), Err(StartError::Unknown))]);
    agent.now += 100;
    assert_eq!(starts(&agent.step(vec![])), 1);
    agent.step(vec![start_answered(run(0, 1), Ok(()))]);
    agent.acknowledge(4);
    agent.probed(vec![], ends(4));
    assert!(time_until_acknowledged(&mut agent, &ends(4), 4_000).is_some());
    let waited = agent.now - lost_at;
    assert!(
        (SPARSE_INTERVAL..SPARSE_INTERVAL + 100).contains(&waited),
        "{waited}"
    );
    agent.now = lost_at + MAX_CALL_DELAY + 10;
    agent.probed(vec![], ends(5));
    agent.acknowledge(5);
    agent.probed(vec![], ends(5));
    assert!(time_until_acknowledged(&mut agent, &ends(5), 100).is_some());
    agent.probed(vec![], ends(6));
    agent.acknowledge(6);
    agent.probed(vec![], ends(6));
    assert!(time_until_acknowledged(&mut agent, &ends(6), 100).is_some());
}

/// Guards against a task that starts again after it was done: the worker's next incarnation has
/// received an acknowledgement that got no answer, and never lists the end.
#[test]
fn restarted_worker_may_hide_ends_after_an_unanswered_acknowledgement() {
    let mut agent = agent_that_acknowledges();
    agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    assert!(restart(&mut agent, 2, vec![]));
}

/// As above: the next incarnation has answered the acknowledgement.
#[test]
fn restarted_worker_may_hide_ends_if_it_has_answered_an_acknowledgement() {
    let mut agent = agent_that_acknowledges();
    agent.step(vec![probe_failed(ProbeError::Restarted)]);
    assert!(restart(&mut agent, 2, vec![]));
}

/// As above: the session has ended while the acknowledgement was in flight.
#[test]
fn restarted_worker_may_hide_ends_if_the_session_ended_during_an_acknowledgement() {
    let mut agent = agent_that_acknowledges();
    agent.fail_report();
    assert!(restart(&mut agent, 2, vec![]));
    // The result of an earlier session changes nothing.
    agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    assert!(restart(&mut agent, 3, vec![]));
}

/// As above: the next incarnation has started within the time of the acknowledgement, and no session could
/// be opened before that was over, because the agent was cut off from the owner.
#[test]
fn restarted_worker_may_hide_ends_if_its_session_opens_late() {
    let mut agent = agent_that_acknowledges();
    agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    agent.close_session();
    agent.now += MAX_CALL_DELAY + 3_000;
    agent.worker_clock = Some(Millis(MAX_CALL_DELAY));
    assert!(restart(&mut agent, 2, vec![]));
}

/// Guards against a mark that the second of two restarts loses, while the acknowledgement may still be
/// executed, and against one that a mere new session sets for an incarnation that cannot execute it.
#[test]
fn only_later_incarnations_may_hide_ends() {
    let mut agent = agent_that_acknowledges();
    agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    agent.close_session();
    assert!(!restart(&mut agent, 1, ends(3)));
    assert!(restart(&mut agent, 2, vec![]));
    assert!(restart(&mut agent, 3, vec![]));
}

/// Guards against restarted workers that get no tasks although no acknowledgement can have reached
/// them: it was answered, not sent, or is too old.
#[test]
fn restarted_worker_hides_no_ends_if_no_acknowledgement_can_have_reached_it() {
    let mut answered = agent_that_acknowledges();
    answered.probed(vec![], vec![]);
    assert!(!restart(&mut answered, 2, vec![]));

    let mut refused = agent_that_acknowledges();
    refused.step(vec![probe_failed(ProbeError::Lost)]);
    refused.reply(vec![], true);
    refused.close_session();
    assert!(!restart(&mut refused, 2, vec![]));

    let mut old = agent_that_acknowledges();
    old.step(vec![probe_failed(ProbeError::NoResponse)]);
    old.close_session();
    old.now += MAX_CALL_DELAY + 100;
    old.worker_clock = Some(Millis(50));
    assert!(!restart(&mut old, 2, vec![]));

    // The incarnation that it was meant for has answered after its time.
    let mut survived = agent_that_acknowledges();
    survived.step(vec![probe_failed(ProbeError::NoResponse)]);
    survived.now += MAX_CALL_DELAY + 100;
    survived.probed(vec![], ends(3));
    survived.now += 1_000;
    assert!(!restart(&mut survived, 2, vec![]));

    let mut without = Agent::attached();
    without.probed(vec![run_status(run(0, 1))], vec![]);
    without.step(vec![probe_failed(ProbeError::NoResponse)]);
    assert!(!restart(&mut without, 2, vec![]));
}

/// Guards against a task that starts again after it was done (`review/7`): a restarted worker executed its
/// late start and then a late acknowledgement, and the owner did not know that its end may be hidden.
#[test]
fn late_start_of_a_worker_that_may_hide_ends_is_reported_as_unsettled() {
    for is_listed in [false, true] {
        let late = run(0, 1);
        let mut agent = agent_with_late_start(late);
        let running = if is_listed {
            vec![run_status(late)]
        } else {
            vec![]
        };
        let first = report_of_restart(&mut agent, 2, running, vec![]);
        assert!(first.may_hide_ends);
        let expected = if is_listed { vec![] } else { vec![late] };
        assert_eq!(first.unsettled_starts, expected);
        // Another owner is told, too.
        agent.now += 13_000;
        agent.fail_report();
        agent.step(vec![]);
        let session = SESSION + 3;
        agent.open_session(session);
        let outputs = agent.probed_in(session, vec![], vec![]);
        assert_eq!(reports(&outputs)[0].report.unsettled_starts, expected);
    }
}

/// Guards against a task that starts again after it was done, once another end is listed: its number shows
/// that an end was hidden before. Also guards against a task that does not start again without need.
#[test]
fn first_listed_end_settles_late_starts() {
    for (first, refusal) in [(1, None), (2, Some(Refusal::EndUnknown))] {
        let late = run(0, 1);
        let mut agent = agent_with_late_start(late);
        assert!(restart(&mut agent, 2, vec![]));
        agent.now += 100;
        let session = SESSION + 2;
        let mut outputs = agent.probed_in(session, vec![], ends(first));
        outputs.extend(agent.reply_in(session, vec![], true));
        outputs.extend(agent.reply_in(session, vec![], true));
        let refused = reports(&outputs)
            .iter()
            .flat_map(|report| report.report.refused.clone())
            .collect::<Vec<_>>();
        assert_eq!(refused, refusal.map(|refusal| (late, refusal)).as_slice());
    }
}

/// Guards against a worker that gets no tasks although it lists its ends.
#[test]
fn listed_end_shows_that_the_worker_hides_no_later_ones() {
    let mut agent = agent_that_acknowledges();
    agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    assert!(restart(&mut agent, 2, vec![]));
    let session = SESSION + 2;
    agent.now += 400;
    let mut outputs = agent.probed_in(session, vec![], ends(1));
    outputs.extend(agent.reply_in(session, vec![], true));
    outputs.extend(agent.reply_in(session, vec![], true));
    let reports = reports(&outputs);
    let listed = reports.iter().find(|r| !r.report.ended.is_empty());
    assert!(listed.is_some_and(|report| !report.report.may_hide_ends));

    let mut agent = agent_that_acknowledges();
    agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    assert!(!restart(&mut agent, 2, ends(4)));
}

/// Guards against restarted workers that get no tasks although no acknowledgement can have reached
/// them: the earlier incarnation has executed the only call, whose answer was lost. An end that is
/// still listed proves nothing, nor one that an earlier call may have removed.
#[test]
fn acknowledgement_whose_end_is_gone_was_executed() {
    let mut executed = agent_that_acknowledges();
    executed.step(vec![probe_failed(ProbeError::NoResponse)]);
    executed.probed(vec![], vec![]);
    assert!(!restart(&mut executed, 2, vec![]));

    let mut listed = agent_that_acknowledges();
    listed.step(vec![probe_failed(ProbeError::NoResponse)]);
    listed.probed(vec![], ends(3));
    assert!(restart(&mut listed, 2, vec![]));

    let mut repeated = agent_that_acknowledges();
    repeated.step(vec![probe_failed(ProbeError::NoResponse)]);
    let time = time_until_acknowledged(&mut repeated, &ends(3), 4_000);
    assert!(time.is_some());
    repeated.step(vec![probe_failed(ProbeError::NoResponse)]);
    repeated.probed(vec![], vec![]);
    assert!(restart(&mut repeated, 2, vec![]));
}

/// Guards against a task that starts again after it was done: its run ends as done before the stop reaches
/// it, and the worker hides the end. Once the run is paused, it cannot.
#[test]
fn run_of_a_worker_that_may_hide_ends_is_paused_before_it_is_stopped() {
    let mut agent = agent_that_acknowledges();
    agent.step(vec![probe_failed(ProbeError::NoResponse)]);
    assert!(restart(&mut agent, 2, vec![]));
    let session = SESSION + 2;
    agent.now += 10;
    agent.probed_in(session, vec![run_status(run(0, 1))], vec![]);
    let outputs = agent.reply_in(session, vec![(1, Order::Stop(run(0, 1)))], true);
    assert_eq!((pauses(&outputs), stops(&outputs)), (1, 0));
    agent.step(vec![AgentInput::SpeedSet {
        session,
        run: run(0, 1),
        percent: 0,
        result: Ok(()),
    }]);
    agent.now += SPEED_DELAY + 10;
    let outputs = agent.probed_in(session, vec![run_status(run(0, 1))], vec![]);
    assert_eq!(stops(&outputs), 1);
}

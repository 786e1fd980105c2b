//! Reports whose texts exceed the frame limit.

use std::collections::BTreeSet;
use std::pin::pin;

use hyssop_core::limits::MAX_FRAME_BYTES;
use hyssop_fleet::ReportRequest;
use hyssop_fleet::agents::AgentOutput;
use hyssop_jobs::{EndKind, RunEnd, RunId, RunStatus};
use tarpc::tokio_serde::Serializer;
use tarpc::tokio_serde::formats::Bincode;

use crate::support::{Agent, end, reports, run, run_status};

/// Space in a frame for the header of a call.
const HEADER_BYTES: usize = 1_024;

/// Returns the reports in outputs, which have to fit into a frame.
fn framed_reports(outputs: &[AgentOutput]) -> Vec<ReportRequest> {
    let reports: Vec<ReportRequest> = reports(outputs).into_iter().cloned().collect();
    for report in &reports {
        let codec = pin!(Bincode::<ReportRequest, ReportRequest>::default());
        let bytes = codec.serialize(report).unwrap().len();
        assert!(bytes + HEADER_BYTES <= MAX_FRAME_BYTES, "{bytes} bytes");
    }
    reports
}

fn checkpoint(bytes: usize) -> Option<std::sync::Arc<str>> {
    Some("x".repeat(bytes).into())
}

/// Returns ends whose checkpoints exceed the frame limit together.
fn large_ends() -> Vec<RunEnd> {
    let ends = (1..=100).map(|n| RunEnd {
        checkpoint: checkpoint(100_000),
        ..end(n, run(9, n), EndKind::Stopped)
    });
    ends.collect()
}

/// Guards against ends that are never acknowledged: together they exceed the frame limit, so that each
/// report fails. They have to arrive in the order of their numbers, since the owner ignores lower
/// numbers after higher ones. The complete report is marked as partial and followed by another one
/// once all ends fit.
#[test]
fn ends_above_the_frame_limit_are_reported_in_turn() {
    let mut agent = Agent::located();
    agent.reply(vec![], false);
    let mut outputs = agent.probed(vec![], large_ends());
    let first = framed_reports(&outputs);
    assert!(first.iter().any(|report| report.report.is_complete));
    assert!(first.iter().all(|report| report.report.has_more_ends));
    let mut reported = 0;
    let mut rounds = 0;
    while reported < 100 {
        rounds += 1;
        assert!(rounds < 100, "only {reported} ends reported");
        for report in framed_reports(&outputs) {
            for end in &report.report.ended {
                if end.number <= reported {
                    continue;
                }
                assert_eq!(end.number, reported + 1, "end skipped");
                assert_eq!(end.checkpoint, checkpoint(100_000));
                reported = end.number;
            }
        }
        outputs = agent.acknowledge(reported);
    }
    let session = agent.core.session();
    agent.now += 1;
    agent.probed(vec![], large_ends().split_off(98));
    assert_ne!(agent.core.session(), session, "no other complete report");
}

/// Guards against a worker that is cut off from the owner because the checkpoints of its runs exceed
/// the frame limit. All runs have to be listed, since a complete report proves that others are gone,
/// and each checkpoint has to be reported in turn.
#[test]
fn checkpoints_above_the_frame_limit_are_reported_in_turn() {
    let large = |n| RunStatus {
        checkpoint: checkpoint(4_000),
        ..run_status(run(n, 1))
    };
    let runs: Vec<RunStatus> = (0..3_000).map(large).collect();
    let mut agent = Agent::located();
    agent.reply(vec![], false);
    let mut outputs = agent.probed(runs.clone(), vec![]);
    let first = framed_reports(&outputs);
    let complete = first.iter().find(|report| report.report.is_complete);
    assert!(!complete.unwrap().report.has_more_ends);
    let mut saved: BTreeSet<RunId> = BTreeSet::new();
    let mut rounds = 0;
    while saved.len() < runs.len() {
        rounds += 1;
        assert!(rounds < 100, "only {} checkpoints reported", saved.len());
        for report in framed_reports(&outputs) {
            let Some(listed) = report.report.running else {
                continue;
            };
            assert!(listed.iter().map(|s| s.run).eq(runs.iter().map(|s| s.run)));
            let with_checkpoint = listed.iter().filter(|s| s.checkpoint.is_some());
            saved.extend(with_checkpoint.map(|status| status.run));
        }
        agent.now += 500;
        outputs = agent.probed(runs.clone(), vec![]);
        outputs.extend(agent.reply(vec![], true));
    }
}

/// Guards against an end that no frame can hold with its checkpoint: the ends after it would never be
/// reported.
#[test]
fn end_above_the_frame_limit_is_reported_without_its_checkpoint() {
    let mut agent = Agent::attached();
    let large = RunEnd {
        checkpoint: checkpoint(MAX_FRAME_BYTES),
        ..end(1, run(0, 1), EndKind::Stopped)
    };
    agent.now += 1;
    let ends = vec![large, end(2, run(1, 1), EndKind::Done)];
    let outputs = agent.probed(vec![], ends);
    let ended: Vec<RunEnd> = framed_reports(&outputs)
        .into_iter()
        .flat_map(|report| report.report.ended)
        .collect();
    let without = end(1, run(0, 1), EndKind::Stopped);
    assert_eq!(ended, [without, end(2, run(1, 1), EndKind::Done)]);
    let is_logged = |output: &AgentOutput| matches!(output, AgentOutput::Log(text) if text.contains("too large for a report"));
    assert!(outputs.iter().any(is_logged));
}

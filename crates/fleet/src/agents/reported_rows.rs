//! Rows of a report, cut to what fits into one message.
//!
//! All runs of the worker are listed, since their absence is a proof. Only their checkpoints and the
//! ends are left to later reports.

use hyssop_jobs::{Refusal, RunEnd, RunId, RunStatus};

use super::sessions::Session;
use crate::sizes::{MAX_BATCH_BYTES, MAX_REFUSALS, ROW_BYTES, checkpoint_bytes, end_bytes};

/// Returns whether all of these ends fit into one report.
pub(super) fn do_ends_fit(ends: &[RunEnd]) -> bool {
    ends.iter().map(sendable_end_bytes).sum::<usize>() <= MAX_BATCH_BYTES
}

/// Returns the size of an end as it is sent: without a checkpoint that no report could contain.
fn sendable_end_bytes(end: &RunEnd) -> usize {
    Some(end_bytes(end))
        .filter(|&bytes| bytes <= MAX_BATCH_BYTES)
        .unwrap_or(ROW_BYTES)
}

impl Session {
    /// Returns the ends for the next report. If not all fit, they are the first ones that the owner has
    /// not acknowledged: it ignores ends with lower numbers than the last one it has received.
    pub(super) fn reported_ends(&self) -> Vec<RunEnd> {
        let mut bytes = 0;
        let first = match do_ends_fit(&self.ended) {
            true => 0,
            false => self.acknowledged_end + 1,
        };
        let ends = self.ended.iter().filter(|end| end.number >= first);
        let fits = |end: &&RunEnd| {
            bytes += sendable_end_bytes(end);
            bytes <= MAX_BATCH_BYTES
        };
        let sendable = |end: &RunEnd| RunEnd {
            checkpoint: end
                .checkpoint
                .clone()
                .filter(|_| end_bytes(end) <= MAX_BATCH_BYTES),
            ..end.clone()
        };
        ends.take_while(fits).map(sendable).collect()
    }

    /// Returns all runs for the next report. If their checkpoints do not fit into one, each report
    /// contains the next ones in turn, and the owner keeps the others that it knows.
    pub(super) fn reported_runs(&mut self) -> Vec<RunStatus> {
        let mut runs = self.runs.clone();
        if runs.iter().map(checkpoint_bytes).sum::<usize>() <= MAX_BATCH_BYTES {
            return runs;
        }
        let count = runs.len();
        let first = self.next_checkpoint % count;
        let (mut bytes, mut is_full) = (0, false);
        for position in (first..count).chain(0..first) {
            let size = checkpoint_bytes(&runs[position]);
            let is_oversized = size > MAX_BATCH_BYTES;
            is_full |= !is_oversized && bytes + size > MAX_BATCH_BYTES;
            match is_full || is_oversized {
                true => runs[position].checkpoint = None,
                false => bytes += size,
            }
            if !is_full {
                self.next_checkpoint = position + 1;
            }
        }
        runs
    }

    /// Takes the refused starts for the next report.
    pub(super) fn take_refused(&mut self) -> Vec<(RunId, Refusal)> {
        let count = self.refused.len().min(MAX_REFUSALS);
        self.refused.drain(..count).collect()
    }

    /// Returns a run whose checkpoint no report can contain, once in a session.
    pub(super) fn find_oversized(&mut self) -> Option<RunId> {
        if self.has_oversized {
            return None;
        }
        let mut runs = self.runs.iter();
        let run = runs.find(|status| checkpoint_bytes(status) > MAX_BATCH_BYTES);
        let mut ends = self.ended.iter();
        let end = ends.find(|end| end_bytes(end) > MAX_BATCH_BYTES);
        let found = run.map(|status| status.run).or(end.map(|end| end.run));
        self.has_oversized = found.is_some();
        found
    }
}

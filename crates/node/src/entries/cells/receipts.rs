//! Detects the first fetch of each job's result, so that completed jobs are counted once.
//!
//! The core of the owner commits the first receipt of a job, so the process that owns the cell does
//! the counting. Each fetch is preceded by a status call to the core. Of all fetches that were sent
//! while the job had no receipt, the first one that returns the result counts.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{JobCall, JobId, JobPhase, JobReply, ServiceName};

/// Fetches in progress.
#[derive(Debug, Default)]
pub(crate) struct Receipts {
    /// Tokens of the status calls in progress.
    status_tokens: BTreeSet<u64>,
    /// Kinds of the jobs that had no receipt at the last status call.
    without_receipt: BTreeMap<JobId, ServiceName>,
}

impl Receipts {
    /// Returns the status call that has to precede a call, if that is a fetch. `token` is the token
    /// of the status call.
    pub(crate) fn status_call_before(&mut self, token: u64, call: &JobCall) -> Option<JobCall> {
        let JobCall::Fetch { job, .. } = call else {
            return None;
        };
        self.status_tokens.insert(token);
        Some(JobCall::Show(job.clone()))
    }

    /// Handles a reply if it belongs to such a status call, and returns whether it does.
    pub(crate) fn on_status_reply(&mut self, token: u64, reply: &JobReply) -> bool {
        if !self.status_tokens.remove(&token) {
            return false;
        }
        if let JobReply::Status(status) = reply
            && status.phase == JobPhase::Finished
        {
            self.without_receipt
                .insert(status.id.clone(), status.kind.clone());
        }
        true
    }

    /// Returns the kind of the job if a reply returns its result for the first time.
    pub(crate) fn on_result_reply(&mut self, reply: &JobReply) -> Option<ServiceName> {
        match reply {
            JobReply::Result { job, .. } => self.without_receipt.remove(job),
            _ => None,
        }
    }

    /// Forgets all fetches when the ownership ends, because the next owner commits the receipts.
    pub(crate) fn clear(&mut self) {
        self.without_receipt.clear();
    }
}

//! Counts the jobs whose result is received, each once.
//!
//! The core of the owner settles the first receipt, so the count belongs to the process that owns
//! the cell. The core is asked for the state of a job just before each fetch; of all fetches that
//! found the job without a receipt, the first one answered with the result counts it.

use std::collections::{BTreeMap, BTreeSet};

use hyssop_core::{JobCall, JobId, JobPhase, JobReply, ServiceName};

/// Jobs with a fetch under way.
#[derive(Debug, Default)]
pub(crate) struct Receipts {
    /// Numbers of the questions for the state of a job.
    asked: BTreeSet<u64>,
    /// Kinds of the jobs that had no receipt when they were asked for.
    open: BTreeMap<JobId, ServiceName>,
}

impl Receipts {
    /// Returns the question that has to precede a call, if the call is a fetch. `token` is the
    /// number of the question.
    pub(crate) fn precede(&mut self, token: u64, call: &JobCall) -> Option<JobCall> {
        let JobCall::Fetch { job, .. } = call else {
            return None;
        };
        self.asked.insert(token);
        Some(JobCall::Show(job.clone()))
    }

    /// Takes the answer to a question. Returns whether it is one.
    pub(crate) fn answered(&mut self, token: u64, reply: &JobReply) -> bool {
        if !self.asked.remove(&token) {
            return false;
        }
        if let JobReply::Status(status) = reply
            && status.phase == JobPhase::Finished
        {
            self.open.insert(status.id.clone(), status.kind.clone());
        }
        true
    }

    /// Returns the kind of the job whose result a reply hands out for the first time.
    pub(crate) fn received(&mut self, reply: &JobReply) -> Option<ServiceName> {
        match reply {
            JobReply::Result { job, .. } => self.open.remove(job),
            _ => None,
        }
    }

    /// Forgets all fetches when the cell is given up: the next owner settles them.
    pub(crate) fn clear(&mut self) {
        self.open.clear();
    }
}

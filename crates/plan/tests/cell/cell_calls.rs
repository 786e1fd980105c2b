//! Calls between the cells of a simulated fleet, and faults of those that carry late results.

use std::collections::VecDeque;

use hyssop_core::{CellId, JobCall, JobId, JobReply, Millis, Refusal};
use hyssop_plan::Input;

use crate::fleet::Fleet;

/// Delay after which the second copy of a late result arrives, after all that was sent meanwhile.
const REPEAT_DELAY: Millis = Millis(5_000);

/// What happens to the calls that carry late results.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) enum CallFault {
    #[default]
    None,
    /// They do not arrive.
    Lost,
    /// They arrive, and their replies do not.
    ReplyLost,
    /// They arrive a second time after `REPEAT_DELAY`.
    Repeated,
    /// The called cell does not know the job any more.
    NotFound,
}

/// Calls from one cell to another.
#[derive(Default)]
pub(crate) struct CellCalls {
    /// Calls without a reply: token, sender, its cell and the job.
    pending: Vec<(u64, usize, CellId, JobId)>,
    /// Fault of the late results that are sent from now on.
    pub(crate) fault: CallFault,
    /// Late results that were sent: times and called cells.
    pub(crate) late_results: Vec<(Millis, CellId)>,
    /// Second copies, with the times at which they arrive.
    repeated: VecDeque<(Millis, CellId, JobCall)>,
}

impl Fleet {
    /// Calls the owner of the other cell about a job. The reply is delivered in a later step.
    pub(crate) fn call_cell(
        &mut self,
        n: usize,
        cell: &CellId,
        to: &CellId,
        job: JobId,
        call: JobCall,
    ) {
        let mut fault = CallFault::None;
        if matches!(call, JobCall::LateResult { .. }) {
            self.cell_calls.late_results.push((self.now, to.clone()));
            fault = self.cell_calls.fault;
        }
        match fault {
            CallFault::None => {}
            CallFault::Lost => return,
            CallFault::NotFound => {
                let reply = JobReply::Refused(Refusal::NotFound(job.clone()));
                return self.entries[n].push(cell, Input::Transferred { job, reply });
            }
            CallFault::ReplyLost => {
                self.call(to, call);
                return;
            }
            CallFault::Repeated => {
                let copy = (self.now + REPEAT_DELAY, to.clone(), call.clone());
                self.cell_calls.repeated.push_back(copy);
            }
        }
        let token = self.call(to, call);
        let pending = (token, n, cell.clone(), job);
        self.cell_calls.pending.push(pending);
    }

    /// Makes the calls that arrive a second time now, and passes the replies to the cores that made
    /// the calls.
    pub(crate) fn deliver_cell_calls(&mut self) {
        while let Some((_, to, call)) = self
            .cell_calls
            .repeated
            .pop_front_if(|(at, ..)| *at <= self.now)
        {
            self.call(&to, call);
        }
        for (token, n, cell, job) in std::mem::take(&mut self.cell_calls.pending) {
            match self.replies.remove(&token) {
                Some(reply) => self.entries[n].push(&cell, Input::Transferred { job, reply }),
                None => self.cell_calls.pending.push((token, n, cell, job)),
            }
        }
    }
}

//! Delivery of late results to the cells that their jobs have moved to.
//!
//! The worker keeps the event until it is acknowledged, and reports it to each later owner. So
//! nothing is stored in this cell: the owner repeats the call until the other cell has recorded the
//! end of the job, and acknowledges the event after that.

use hyssop_core::{Attempt, CellId, JobId, JobPhase, JobReply, Millis, Reason, Refusal};

use crate::jobs::End;
use crate::late_ends::LateResult;
use crate::{Cell, Output};

/// Events of one worker, from a result in delivery on, at which the result is dropped. All of them
/// are in each of the worker's replies, and a worker reports a limited number of events.
pub(crate) const MAX_HELD_EVENTS: u64 = 128;
/// Bytes of late results above which no more are kept for delivery.
const MAX_DELIVERY_BYTES: usize = 1024 * 1024;
/// Interval after the first call; it doubles with each further one.
const FIRST_CALL_INTERVAL: Millis = Millis(1_000);
/// Longest interval between calls while there is no reply.
const MAX_CALL_INTERVAL: Millis = Millis(30_000);
/// Longest time from a reply of the job's cell to the next call. A new owner of that cell knows of
/// the result only from the next call.
const MAX_RECORD_WAIT: Millis = Millis(4_000);
/// Calls that count for the interval after such a reply: the next one is `MAX_RECORD_WAIT`.
const CALLS_AFTER_REPLY: u32 = 2;
/// Calls in one tick at most, so that an owner is not sent all results at once.
const MAX_CALLS_PER_TICK: usize = 8;
/// Replies that the job is not known, after which its result is dropped: the job has ended and was
/// removed, or the records of its moves were.
const MAX_NOT_FOUND_REPLIES: u32 = 8;
/// Cells that are asked one after the other before the search begins again.
const MAX_REDIRECTS: u32 = 8;

/// State of the calls that send a late result to another cell.
#[derive(Clone, Debug, Default)]
pub(crate) struct Delivery {
    /// Cell that the job was moved to from here; `None` while the job is in this cell.
    to: Option<CellId>,
    /// Whether that cell has accepted the job. Before that it does not know it.
    is_accepted: bool,
    /// Cell that the last reply has named.
    redirect: Option<CellId>,
    /// Cells named by replies since the search began.
    redirect_count: u32,
    /// Time from which on the next call is due.
    next_call_at: Millis,
    /// Calls that count for the interval.
    call_count: u32,
    not_found_count: u32,
}

impl Delivery {
    /// Updates the cell that the job was moved to from here.
    fn update_route(&mut self, to: &CellId, is_accepted: bool) {
        if self.to.as_ref() != Some(to) {
            *self = Self {
                to: Some(to.clone()),
                ..Self::default()
            };
        }
        self.is_accepted = is_accepted;
    }

    /// Returns the cell to call, and sets when the next call is due.
    fn begin_call(&mut self, now: Millis) -> Option<CellId> {
        let interval = FIRST_CALL_INTERVAL.0 << self.call_count.min(16);
        self.next_call_at = now + Millis(interval).min(MAX_CALL_INTERVAL);
        self.call_count = self.call_count.saturating_add(1);
        self.redirect.clone().or_else(|| self.to.clone())
    }

    /// Begins again with the cell that the job was moved to from here.
    fn restart_search(&mut self) {
        self.redirect = None;
        self.redirect_count = 0;
    }

    /// Follows a redirect at once, unless there were too many.
    fn follow(&mut self, now: Millis, to: &CellId) {
        if self.redirect_count >= MAX_REDIRECTS {
            return self.restart_search();
        }
        self.redirect = Some(to.clone());
        self.redirect_count += 1;
        self.next_call_at = now;
    }
}

impl LateResult {
    /// Returns whether the job has moved, so that the result goes to another cell.
    pub(crate) const fn is_in_delivery(&self) -> bool {
        self.delivery.to.is_some()
    }

    fn is_call_due(&self, now: Millis) -> bool {
        self.is_in_delivery() && self.delivery.is_accepted && now >= self.delivery.next_call_at
    }
}

impl Cell {
    /// Returns whether a further result may be kept for delivery.
    pub(crate) fn has_room_for_delivery(&self, result: &str) -> bool {
        let kept = self.late_results.values().map(|late| late.result.len());
        kept.sum::<usize>() + result.len() <= MAX_DELIVERY_BYTES
    }

    pub(crate) fn explain_dropped_result(&mut self, now: Millis, job: &JobId, attempt: Attempt) {
        let text = format!(
            "the result of attempt {attempt}, which was given up, was dropped: the job has moved"
        );
        self.explain_job(now, job, Reason::Other(text));
    }

    /// Drops the late results of jobs that have ended, and updates where the jobs have moved to. A
    /// job that was removed after its move is still looked for in the other cell.
    pub(crate) fn drop_settled_results(&mut self) {
        let jobs = &self.ledger.jobs;
        self.late_results
            .retain(|id, late| match jobs.get(id).map(|job| &job.end) {
                Some(None) => {
                    late.delivery = Delivery::default();
                    true
                }
                Some(Some(End::Moved { to, is_delivered })) => {
                    late.delivery.update_route(to, *is_delivered);
                    true
                }
                Some(Some(_)) => false,
                None => late.is_in_delivery(),
            });
    }

    /// Sends the late results that are due to the cells of their jobs.
    pub(crate) fn send_late_results(&mut self, now: Millis) {
        let due = self
            .late_results
            .iter_mut()
            .filter(|(_, late)| late.is_call_due(now))
            .take(MAX_CALLS_PER_TICK);
        for (job, late) in due {
            let Some(to) = late.delivery.begin_call(now) else {
                continue;
            };
            self.outputs.push(Output::SendResult {
                to,
                job: job.clone(),
                attempt: late.attempt,
                result: late.result.clone(),
            });
        }
    }

    /// Applies the reply of another cell to a late result. The result is kept until the job has ended
    /// there.
    pub(crate) fn apply_result_reply(&mut self, now: Millis, id: &JobId, reply: &JobReply) {
        let late = self.late_results.get_mut(id);
        let Some(late) = late.filter(|late| late.is_in_delivery() && late.delivery.call_count > 0)
        else {
            return;
        };
        let delivery = &mut late.delivery;
        match reply {
            JobReply::Status(status) if status.id == *id => match status.phase {
                JobPhase::Finished | JobPhase::Fetched | JobPhase::Failed | JobPhase::Cancelled => {
                    self.late_results.remove(id);
                }
                JobPhase::Pending | JobPhase::Running | JobPhase::InDoubt => {
                    let latest = now + MAX_RECORD_WAIT;
                    delivery.next_call_at = delivery.next_call_at.min(latest);
                    delivery.call_count = delivery.call_count.min(CALLS_AFTER_REPLY);
                    delivery.not_found_count = 0;
                }
                JobPhase::Moved => delivery.restart_search(),
            },
            JobReply::Redirect(to) if *to != self.options.cell => delivery.follow(now, to),
            JobReply::Refused(Refusal::NotFound(_)) => {
                delivery.restart_search();
                delivery.not_found_count += 1;
                if delivery.not_found_count >= MAX_NOT_FOUND_REPLIES {
                    let attempt = late.attempt;
                    self.late_results.remove(id);
                    self.explain_dropped_result(now, id, attempt);
                }
            }
            _ => delivery.restart_search(),
        }
    }

    /// Handles the result of an attempt that another cell had given up before the job came here. The
    /// reply is the status of the job, which shows when its end is recorded.
    pub(crate) fn receive_late_result(
        &mut self,
        now: Millis,
        token: u64,
        id: &JobId,
        attempt: Attempt,
        result: String,
    ) {
        let Some(job) = self.ledger.jobs.get(id) else {
            if self.pending_submits.contains_key(id) || self.ledger.is_partial {
                return self.send_reply(token, JobReply::Unknown);
            }
            return self.refuse(token, Refusal::NotFound(id.clone()));
        };
        if let Some(End::Moved { to, is_delivered }) = &job.end {
            // The next cell may not know the job yet.
            let reply = if *is_delivered {
                JobReply::Redirect(to.clone())
            } else {
                JobReply::Unknown
            };
            return self.send_reply(token, reply);
        }
        let status = self.status(now, id, job);
        let was_given_up = attempt > Attempt::default() && attempt < job.attempt;
        let is_open = job.end.is_none() && !job.is_service_task();
        if is_open && was_given_up && !self.late_results.contains_key(id) {
            let late_result = LateResult::new(attempt, result);
            self.late_results.insert(id.clone(), late_result);
            let text = format!("attempt {attempt} was given up in another cell and has finished");
            self.explain_job(now, id, Reason::Other(text));
        }
        self.send_reply(token, JobReply::Status(status));
    }
}

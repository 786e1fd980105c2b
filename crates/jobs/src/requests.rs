//! Requests of callers: submissions, cancellations and queries.
//!
//! An owner that another process has replaced may not know it yet, above all after a freeze. What
//! it says then about jobs that it does not know may be wrong, so such answers wait for a proof of
//! the ownership.

use hyssop_core::Millis;

use crate::io::{CallerRequest, CallerResponse, RequestId};
use crate::jobs::Job;
use crate::limits::{CONFIRMATION_WAIT, MAX_OPEN_JOBS};
use crate::owners::Owner;
use crate::records::{JobRecord, Key, Progress, Record};
use crate::writes::Effect;
use crate::{JobId, JobSpec, QueueRule};

/// Delay before a caller may repeat a submission that was refused because of too many open jobs.
const OVERLOAD_RETRY_DELAY: Millis = Millis(1_000);

/// Delay before a caller may repeat a submission that was refused because the store did not reply.
const STALL_RETRY_DELAY: Millis = Millis(1_000);

/// Request that waits for a proof of the ownership.
#[derive(Clone, Debug)]
pub(crate) struct HeldRequest {
    id: RequestId,
    request: CallerRequest,
    asked_at: Millis,
}

/// Proof of the ownership that an answer needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Evidence {
    /// The answer is true whoever owns the jobs, or waits for the store, which rejects the writes of
    /// an owner that was replaced.
    None,
    /// The answer may be out of date, which matters only after a freeze.
    Recent,
    /// The answer denies that a job exists, or counts jobs. A later owner may know better.
    Proof,
}

impl Owner {
    /// Answers a request, or holds it until the ownership is proved.
    pub(crate) fn handle_request(&mut self, id: RequestId, request: CallerRequest) {
        let asked_at = self.now;
        let held = HeldRequest {
            id,
            request,
            asked_at,
        };
        if self.may_answer(&held) {
            self.answer(held);
        } else {
            self.held_requests.push(held);
        }
    }

    /// Answers the held requests that are proved by now, and gives up those that have waited too
    /// long.
    pub(crate) fn answer_held_requests(&mut self) {
        for held in std::mem::take(&mut self.held_requests) {
            if self.may_answer(&held) {
                self.answer(held);
            } else if self.now >= held.asked_at + CONFIRMATION_WAIT {
                let age = self.now.since(self.proof.confirmed_at);
                self.log(format!(
                    "request not answered: ownership not confirmed since_ms={age}"
                ));
                self.respond(held.id, CallerResponse::Unconfirmed);
            } else {
                self.held_requests.push(held);
            }
        }
    }

    fn may_answer(&self, held: &HeldRequest) -> bool {
        if self.proof.covers(self.now, held.asked_at) {
            return true;
        }
        match self.needed_evidence(&held.request) {
            Evidence::None => true,
            Evidence::Recent => !self.proof.has_just_resumed(self.now),
            Evidence::Proof => false,
        }
    }

    fn needed_evidence(&self, request: &CallerRequest) -> Evidence {
        match request {
            CallerRequest::Submit { job, spec, .. } => {
                let is_known = self.jobs.get(*job).is_some();
                let is_refused = || spec.check().is_ok() && self.refusal().is_some();
                match !is_known && is_refused() {
                    true => Evidence::Recent,
                    false => Evidence::None,
                }
            }
            CallerRequest::Show(id) => match self.jobs.get(*id).filter(|job| job.is_stored) {
                Some(job) if job.final_state.is_some() => Evidence::None,
                Some(_) => Evidence::Recent,
                None => Evidence::Proof,
            },
            CallerRequest::Cancel(id) => match self.jobs.get(*id) {
                Some(_) => Evidence::None,
                None => Evidence::Proof,
            },
            CallerRequest::Pending(_) => Evidence::Proof,
        }
    }

    fn answer(&mut self, held: HeldRequest) {
        let id = held.id;
        match held.request {
            CallerRequest::Submit { job, rule, spec } => self.submit(id, job, rule, spec),
            CallerRequest::Show(job) => self.show(id, job),
            CallerRequest::Cancel(job) => self.cancel(id, job),
            CallerRequest::Pending(queue) => {
                let waiting = |job: &&Job| {
                    job.rule.name == queue && job.is_stored && job.is_open() && !job.has_started
                };
                let count = self.jobs.values().filter(waiting).count() as u64;
                self.respond(id, CallerResponse::Pending(count));
            }
        }
    }

    fn show(&mut self, request_id: RequestId, id: JobId) {
        let job = self.jobs.get(id).filter(|job| job.is_stored);
        match job.map(Job::visible_state) {
            Some(state) => self.respond(request_id, CallerResponse::State(state)),
            None => self.respond_unknown(request_id, id),
        }
    }

    fn respond_unknown(&mut self, request_id: RequestId, id: JobId) {
        let age = self.now.since(self.proof.confirmed_at);
        self.log(format!("job {id} unknown confirmed_ms_ago={age}"));
        self.respond(request_id, CallerResponse::Unknown);
    }

    /// Returns the refusal of new jobs, if none can be accepted now.
    fn refusal(&self) -> Option<CallerResponse> {
        if self.jobs.open_count() >= MAX_OPEN_JOBS {
            return Some(CallerResponse::Refused {
                reason: format!("limit of {MAX_OPEN_JOBS} open jobs reached"),
                retry_after: OVERLOAD_RETRY_DELAY,
            });
        }
        let is_stalled = self.writes.is_stalled(self.now, self.proof.resumed_at);
        is_stalled.then(stall_refusal)
    }

    fn submit(&mut self, request_id: RequestId, id: JobId, rule: QueueRule, spec: JobSpec) {
        if let Some(job) = self.jobs.get_mut(id) {
            if job.is_stored {
                self.respond(request_id, CallerResponse::Accepted);
            } else {
                job.submit_requests.push(request_id);
            }
            return;
        }
        let accepted_at = self.now.0 + self.clock_origin;
        if let Err(error) = spec.check().and_then(|()| spec.check_due(accepted_at)) {
            self.log(format!("job {id} rejected: {error}"));
            self.respond(request_id, CallerResponse::Invalid(error.to_string()));
            return;
        }
        let sequence = self.jobs.next_sequence();
        let record = JobRecord {
            rule: rule.clone(),
            spec: spec.clone(),
            sequence,
            accepted_at,
        };
        let record = Record::put(Key::Job(id), &record);
        if let Some(reason) = self.size_refusal(&record, &spec) {
            self.log(format!("job {id} rejected: {reason}"));
            self.respond(request_id, CallerResponse::TooLarge(reason));
            return;
        }
        if let Some(refusal) = self.refusal() {
            self.respond(request_id, refusal);
            return;
        }
        let mut job = Job::new(self.now, id, rule, spec, sequence);
        job.submit_requests.push(request_id);
        self.jobs.insert(job, self.clock_origin);
        self.writes
            .add(self.now, record, Some(Effect::Accepted(id)));
    }

    /// Returns why the store would never take a job: its record is too long, or its progress would be,
    /// at the latest with most tasks done. The store refuses such a record every time.
    fn size_refusal(&self, record: &Record, spec: &JobSpec) -> Option<String> {
        let limit = self.options.max_record_bytes;
        let (size, progress_size) = (record.size(), Progress::size_when_done(spec));
        if size > limit {
            return Some(format!(
                "the job takes {size} bytes as stored, must be at most {limit}"
            ));
        }
        (progress_size > limit).then(|| {
            format!("the progress of the job takes {progress_size} bytes as stored, must be at most {limit}")
        })
    }

    /// Refuses the submissions that wait behind a write without a reply. They are in no write yet, so
    /// that they certainly do not run.
    pub(crate) fn refuse_stalled_submissions(&mut self) {
        if !self.writes.is_stalled(self.now, self.proof.resumed_at) {
            return;
        }
        for id in self.writes.pending_acceptances() {
            let is_cancelled = self.jobs.get(id).is_none_or(|job| job.is_cancelled);
            if is_cancelled {
                continue;
            }
            self.writes.drop_acceptance(id);
            let Some(job) = self.jobs.remove(id) else {
                continue;
            };
            self.log(format!("job {id} refused: the store does not respond"));
            for request_id in job.submit_requests {
                self.respond(request_id, stall_refusal());
            }
        }
    }

    fn cancel(&mut self, request_id: RequestId, id: JobId) {
        let now = self.now;
        let Some(job) = self.jobs.get_mut(id) else {
            self.respond_unknown(request_id, id);
            return;
        };
        if job.final_state.is_some() {
            self.respond(request_id, CallerResponse::Cancelled);
            return;
        }
        job.cancel_requests.push(request_id);
        if job.ended_at.is_none() {
            job.is_cancelled = true;
            self.log(format!("job {id} cancelled"));
            self.end_job(id);
        }
        self.writes.mark_progress(now, id, true);
    }
}

fn stall_refusal() -> CallerResponse {
    CallerResponse::Refused {
        reason: "the store does not respond".to_owned(),
        retry_after: STALL_RETRY_DELAY,
    }
}

//! Handling of calls: submitting, showing, listing, cancelling, fetching, transferring and
//! explaining.

use hyssop_core::{
    CellRecord, Crashes, JobCall, JobId, JobPhase, JobReply, JobSpec, JobStatus, Millis, Reason,
    RecordId, Refusal, Subject, TeamName, Term,
};

use crate::encodings::snapshot_bytes;
use crate::jobs::{End, Job, Past, hash_spec};
use crate::journal::PendingReply;
use crate::ledger::LIVE_BYTES_LIMIT;
use crate::reasons::append_reason;
use crate::{Cell, Output};

/// Jobs that may wait in one cell; further submissions are refused.
const MAX_WAITING_JOBS: usize = 20_000;
/// Longest payload of a job, so that a few jobs do not fill a snapshot.
const MAX_PAYLOAD_BYTES: usize = 32 * 1024;
/// Longest receipt of a fetch.
const MAX_RECEIPT_BYTES: usize = 256;

/// An accepted job whose record is not yet read back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingSubmit {
    /// Record of the acceptance.
    pub(crate) record: RecordId,
    /// Hash of the specification, to recognise a repeated submission.
    pub(crate) spec_hash: u64,
    /// Bytes that the job will take in a snapshot.
    pub(crate) snapshot_bytes: usize,
}

impl Cell {
    /// Stores an acceptance that was written, and counts its size.
    pub(crate) fn add_pending_submit(&mut self, job: JobId, submit: PendingSubmit) {
        self.pending_bytes += submit.snapshot_bytes;
        if let Some(earlier) = self.pending_submits.insert(job, submit) {
            self.pending_bytes -= earlier.snapshot_bytes;
        }
    }

    pub(crate) fn send_reply(&mut self, token: u64, reply: JobReply) {
        self.outputs.push(Output::Reply { token, reply });
    }

    pub(crate) fn refuse(&mut self, token: u64, refusal: Refusal) {
        self.send_reply(token, JobReply::Refused(refusal));
    }

    pub(crate) fn handle_call(&mut self, now: Millis, token: u64, call: JobCall) {
        if let (Some(_), JobCall::Explain(subject)) = (self.owned_term(), &call) {
            // Explained also while the ownership is not confirmed, because the reply says why
            // nothing starts.
            return self.explain(now, token, subject);
        }
        let Some(term) = self.confirmed_term() else {
            let cause = if self.owned_term().is_none() {
                "another entry decides for the cell"
            } else {
                "the configuration is not proved fresh"
            };
            return self.refuse(token, Refusal::NotOwner(cause.to_owned()));
        };
        match call {
            JobCall::Submit(spec) => self.submit(now, term, token, spec),
            JobCall::Show(job) => self.show(now, token, &job),
            JobCall::List(team) => self.list(now, token, &team),
            JobCall::Cancel(job) => self.cancel(now, term, token, job),
            JobCall::Fetch { job, receipt } => self.fetch(now, term, token, job, receipt),
            JobCall::Transfer {
                spec,
                attempt,
                checkpoint,
            } => {
                let past = Past {
                    attempt,
                    checkpoint,
                    crashes: Crashes::default(),
                };
                self.transfer(now, term, token, spec, past);
            }
            JobCall::TransferWithCrashes {
                spec,
                attempt,
                checkpoint,
                crashes,
            } => {
                let past = Past {
                    attempt,
                    checkpoint,
                    crashes,
                };
                self.transfer(now, term, token, spec, past);
            }
            JobCall::Explain(subject) => self.explain(now, token, &subject),
            JobCall::LateResult {
                job,
                attempt,
                result,
            } => self.receive_late_result(now, token, &job, attempt, result),
        }
    }

    fn submit(&mut self, now: Millis, term: Term, token: u64, spec: JobSpec) {
        if let Some(job) = self.ledger.jobs.get(&spec.id) {
            if job.spec_hash != hash_spec(&spec) {
                return self.refuse(token, Refusal::Reused);
            }
            return self.show(now, token, &spec.id);
        }
        if let Some(submit) = self.pending_submits.get(&spec.id) {
            if submit.spec_hash != hash_spec(&spec) {
                return self.refuse(token, Refusal::Reused);
            }
            let record = submit.record;
            return self
                .journal
                .add_waiter(now, record, token, PendingReply::Status(spec.id));
        }
        if let Some(cause) = self.permanent_refusal(&spec) {
            return self.refuse(token, Refusal::NeverRuns(cause));
        }
        if let Some(refusal) = self.snapshot_refusal(&spec) {
            return self.refuse(token, refusal);
        }
        if self.ledger.waiting_jobs.len() + self.pending_submits.len() >= MAX_WAITING_JOBS {
            let limit = format!("{MAX_WAITING_JOBS} jobs wait in cell {}", self.options.cell);
            return self.refuse(token, Refusal::Limit(limit));
        }
        self.accept(now, term, token, spec, Past::default());
    }

    /// Returns a refusal if one more job would not fit in a snapshot.
    fn snapshot_refusal(&self, spec: &JobSpec) -> Option<Refusal> {
        if spec.payload.len() > MAX_PAYLOAD_BYTES {
            let limit = format!("payload: at most {MAX_PAYLOAD_BYTES} bytes");
            return Some(Refusal::Limit(limit));
        }
        (self.ledger.sizes.live + self.pending_bytes >= LIVE_BYTES_LIMIT).then(|| {
            let cell = &self.options.cell;
            Refusal::Limit(format!(
                "{LIVE_BYTES_LIMIT} bytes of open jobs in cell {cell}"
            ))
        })
    }

    fn accept(&mut self, now: Millis, term: Term, token: u64, spec: JobSpec, past: Past) {
        let job = spec.id.clone();
        let spec_hash = hash_spec(&spec);
        let snapshot_bytes = snapshot_bytes(&Job::new(spec.clone(), past));
        let body = CellRecord::Accepted {
            spec,
            attempt: past.attempt,
            checkpoint: past.checkpoint,
            crashes: past.crashes,
        };
        let id = self.journal.write(term, body);
        let submit = PendingSubmit {
            record: id,
            spec_hash,
            snapshot_bytes,
        };
        self.add_pending_submit(job.clone(), submit);
        self.journal
            .add_waiter(now, id, token, PendingReply::Status(job));
    }

    /// Accepts a job from another cell. A repeated or late transfer has an attempt number that this
    /// cell knows already and changes nothing; its reply is the job's status.
    fn transfer(&mut self, now: Millis, term: Term, token: u64, spec: JobSpec, past: Past) {
        if let Some(submit) = self.pending_submits.get(&spec.id) {
            let record = submit.record;
            return self
                .journal
                .add_waiter(now, record, token, PendingReply::Status(spec.id));
        }
        let known = self.ledger.jobs.get(&spec.id);
        let is_returning =
            |job: &Job| matches!(job.end, Some(End::Moved { .. })) && past.attempt > job.attempt;
        match known {
            Some(job) if !is_returning(job) => {
                let status = self.status(now, &spec.id, job);
                self.send_reply(token, JobReply::Status(status));
            }
            _ => match self.snapshot_refusal(&spec) {
                Some(refusal) => self.refuse(token, refusal),
                None => self.accept(now, term, token, spec, past),
            },
        }
    }

    /// Returns a job of this cell, or replies that it is unknown or in another cell.
    fn find_job(&mut self, token: u64, id: &JobId) -> Option<&Job> {
        match self.ledger.jobs.get(id).map(|job| &job.end) {
            None => {
                self.refuse(token, Refusal::NotFound(id.clone()));
                None
            }
            Some(Some(End::Moved { to, .. })) => {
                let to = to.clone();
                self.send_reply(token, JobReply::Redirect(to));
                None
            }
            Some(_) => self.ledger.jobs.get(id),
        }
    }

    fn show(&mut self, now: Millis, token: u64, id: &JobId) {
        if self.find_job(token, id).is_none() {
            return;
        }
        if let Some(job) = self.ledger.jobs.get(id) {
            let mut status = self.status(now, id, job);
            let reason = self.waiting_reason(now, id, job, &self.placement_view(now));
            append_reason(&mut status.history, now, reason);
            self.send_reply(token, JobReply::Status(status));
        }
    }

    /// Replies to a call whose record is committed with the status of its job.
    fn reply_with_status(&mut self, now: Millis, token: u64, id: &JobId) {
        if self.find_job(token, id).is_some()
            && let Some(job) = self.ledger.jobs.get(id)
        {
            let status = self.status(now, id, job);
            self.send_reply(token, JobReply::Status(status));
        }
    }

    fn list(&mut self, now: Millis, token: u64, team: &TeamName) {
        let jobs = self.ledger.jobs.iter();
        let jobs = jobs.filter(|(_, job)| job.spec.team == *team && !job.is_service_task());
        let view = self.placement_view(now);
        let list = jobs.map(|(id, job)| {
            let mut status = self.status(now, id, job);
            append_reason(
                &mut status.history,
                now,
                self.waiting_reason(now, id, job, &view),
            );
            status
        });
        let list = list.collect();
        self.send_reply(token, JobReply::List(list));
    }

    fn cancel(&mut self, now: Millis, term: Term, token: u64, id: JobId) {
        let Some(job) = self.find_job(token, &id) else {
            return;
        };
        if job.end.is_some() {
            return self.show(now, token, &id);
        }
        if job.is_service_task() {
            let cause = "a service task ends when its document asks for fewer instances";
            return self.refuse(token, Refusal::Limit(cause.to_owned()));
        }
        let record = self
            .journal
            .write(term, CellRecord::Cancelled { job: id.clone() });
        self.journal
            .add_waiter(now, record, token, PendingReply::Status(id));
    }

    fn fetch(&mut self, now: Millis, term: Term, token: u64, id: JobId, receipt: String) {
        if receipt.is_empty() || receipt.len() > MAX_RECEIPT_BYTES {
            let limit = format!("receipt: 1 to {MAX_RECEIPT_BYTES} bytes");
            return self.refuse(token, Refusal::Limit(limit));
        }
        let Some(job) = self.find_job(token, &id) else {
            return;
        };
        let Some(End::Finished {
            receipt: known_receipt,
            is_dropped,
            ..
        }) = &job.end
        else {
            return self.refuse(token, Refusal::NotFinished);
        };
        if *is_dropped {
            return self.refuse(token, Refusal::Limit(Reason::ResultDropped.to_string()));
        }
        if known_receipt.is_some() {
            return self.reply_with_result(token, &id, &receipt);
        }
        let body = CellRecord::Fetched {
            job: id.clone(),
            receipt: receipt.clone(),
        };
        let record = self.journal.write(term, body);
        self.journal
            .add_waiter(now, record, token, PendingReply::Result(id, receipt));
    }

    /// Replies with a result if `receipt` is the one recorded by the first fetch.
    fn reply_with_result(&mut self, token: u64, id: &JobId, receipt: &str) {
        let end = self.ledger.jobs.get(id).and_then(|job| job.end.as_ref());
        let Some(End::Finished {
            attempt,
            result,
            receipt: known_receipt,
            ..
        }) = end
        else {
            return self.refuse(token, Refusal::NotFinished);
        };
        let reply = if known_receipt.as_deref() == Some(receipt) {
            JobReply::Result {
                job: id.clone(),
                attempt: *attempt,
                result: result.clone(),
            }
        } else {
            JobReply::Refused(Refusal::AlreadyFetched)
        };
        self.send_reply(token, reply);
    }

    fn explain(&mut self, now: Millis, token: u64, subject: &Subject) {
        let list = self.current_explanations(now, subject);
        self.send_reply(token, JobReply::Explained(list));
    }

    /// Replies to the calls that waited for a record which was read back.
    pub(crate) fn reply_to_waiters(&mut self, now: Millis, waiters: Vec<(u64, PendingReply)>) {
        for (token, reply) in waiters {
            match reply {
                PendingReply::Status(id) => self.reply_with_status(now, token, &id),
                PendingReply::Result(id, receipt) => self.reply_with_result(token, &id, &receipt),
            }
        }
    }

    pub(crate) fn status(&self, now: Millis, id: &JobId, job: &Job) -> JobStatus {
        JobStatus {
            id: id.clone(),
            team: job.spec.team.clone(),
            service: job.spec.service.clone(),
            kind: job.spec.kind.clone(),
            class: job.spec.class,
            phase: self.phase(now, job),
            attempt: job.attempt,
            worker: job.last_worker.clone(),
            evictions: job.eviction_count,
            history: self.explanations.get(&Subject::Job(id.clone())),
        }
    }

    fn phase(&self, now: Millis, job: &Job) -> JobPhase {
        match (&job.end, &job.attempt_worker) {
            (Some(End::Finished { receipt: None, .. }), _) => JobPhase::Finished,
            (Some(End::Finished { .. }), _) => JobPhase::Fetched,
            (Some(End::Failed { .. }), _) => JobPhase::Failed,
            (Some(End::Cancelled), _) => JobPhase::Cancelled,
            (Some(End::Moved { .. }), _) => JobPhase::Moved,
            (None, None) => JobPhase::Pending,
            (None, Some(worker)) => {
                let is_unconfirmed = |w| self.is_worker_unconfirmed(now, w);
                if self.workers.get(worker).is_some_and(is_unconfirmed) {
                    JobPhase::InDoubt
                } else {
                    JobPhase::Running
                }
            }
        }
    }
}

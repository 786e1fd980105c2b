//! Calls about jobs.

use hyssop_core::{
    Attempt, CellRecord, JobCall, JobId, JobPhase, JobReply, JobSpec, JobStatus, Millis, Reason,
    RecordId, Refusal, Subject, TeamName, Term,
};

use crate::jobs::{End, Job, digest};
use crate::journal::Answer;
use crate::ledger::LIVE_LIMIT;
use crate::packs::weigh;
use crate::reasons::append;
use crate::{Cell, Output};

/// Jobs that may wait in one cell; more are refused.
const WAITING_LIMIT: usize = 20_000;
/// Longest input of a job, in bytes, so that a few jobs do not fill a snapshot.
const MAX_PAYLOAD: usize = 32 * 1024;
/// Longest receipt, in bytes.
const MAX_RECEIPT: usize = 256;

/// An acceptance that is not yet read back.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Submit {
    pub(crate) record: RecordId,
    /// Hash of the specification.
    pub(crate) hash: u64,
    /// Bytes that the job will take in a snapshot.
    pub(crate) size: usize,
}

impl Cell {
    /// Notes an acceptance that was written.
    pub(crate) fn pledge(&mut self, job: JobId, submit: Submit) {
        self.pledged += submit.size;
        if let Some(earlier) = self.submits.insert(job, submit) {
            self.pledged -= earlier.size;
        }
    }

    pub(crate) fn answer(&mut self, token: u64, reply: JobReply) {
        self.out.push(Output::Reply { token, reply });
    }

    fn refuse(&mut self, token: u64, refusal: Refusal) {
        self.answer(token, JobReply::Refused(refusal));
    }

    pub(crate) fn call(&mut self, now: Millis, token: u64, call: JobCall) {
        if let (Some(_), JobCall::Explain(subject)) = (self.term(), &call) {
            // Also without a proof: why nothing starts is part of the answer.
            return self.explain(now, token, subject);
        }
        let Some(term) = self.proved() else {
            let why = if self.term().is_none() {
                "another entry decides for the cell"
            } else {
                "the configuration is not proved fresh"
            };
            return self.refuse(token, Refusal::NotOwner(why.to_owned()));
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
            } => self.transfer(now, term, token, spec, attempt, checkpoint),
            JobCall::Explain(subject) => self.explain(now, token, &subject),
        }
    }

    fn submit(&mut self, now: Millis, term: Term, token: u64, spec: JobSpec) {
        if let Some(job) = self.ledger.jobs.get(&spec.id) {
            if job.digest != digest(&spec) {
                return self.refuse(token, Refusal::Reused);
            }
            return self.show(now, token, &spec.id);
        }
        if let Some(submit) = self.submits.get(&spec.id) {
            if submit.hash != digest(&spec) {
                return self.refuse(token, Refusal::Reused);
            }
            let record = submit.record;
            return self
                .journal
                .wait(now, record, token, Answer::Status(spec.id));
        }
        if let Some(why) = self.never(&spec) {
            return self.refuse(token, Refusal::NeverRuns(why));
        }
        if let Some(refusal) = self.overfull(&spec) {
            return self.refuse(token, refusal);
        }
        if self.ledger.waiting.len() + self.submits.len() >= WAITING_LIMIT {
            let limit = format!("{WAITING_LIMIT} jobs wait in cell {}", self.options.cell);
            return self.refuse(token, Refusal::Limit(limit));
        }
        self.accept(now, term, token, spec, Attempt(0), 0);
    }

    /// Returns why one more job would not fit in a snapshot.
    fn overfull(&self, spec: &JobSpec) -> Option<Refusal> {
        if spec.payload.len() > MAX_PAYLOAD {
            let limit = format!("payload: at most {MAX_PAYLOAD} bytes");
            return Some(Refusal::Limit(limit));
        }
        (self.ledger.sizes.live + self.pledged >= LIVE_LIMIT).then(|| {
            let cell = &self.options.cell;
            Refusal::Limit(format!("{LIVE_LIMIT} bytes of open jobs in cell {cell}"))
        })
    }

    fn accept(
        &mut self,
        now: Millis,
        term: Term,
        token: u64,
        spec: JobSpec,
        attempt: Attempt,
        checkpoint: u64,
    ) {
        let job = spec.id.clone();
        let hash = digest(&spec);
        let size = weigh(&Job::new(spec.clone(), attempt, checkpoint));
        let body = CellRecord::Accepted {
            spec,
            attempt,
            checkpoint,
        };
        let id = self.journal.write(term, body);
        let submit = Submit {
            record: id,
            hash,
            size,
        };
        self.pledge(job.clone(), submit);
        self.journal.wait(now, id, token, Answer::Status(job));
    }

    /// Takes over a job from another cell. A repeated or late transfer carries an attempt number
    /// that this cell has already seen and is answered without a change.
    fn transfer(
        &mut self,
        now: Millis,
        term: Term,
        token: u64,
        spec: JobSpec,
        attempt: Attempt,
        checkpoint: u64,
    ) {
        if let Some(submit) = self.submits.get(&spec.id) {
            let record = submit.record;
            return self
                .journal
                .wait(now, record, token, Answer::Status(spec.id));
        }
        let known = self.ledger.jobs.get(&spec.id);
        let back = |job: &Job| matches!(job.end, Some(End::Moved { .. })) && attempt > job.attempt;
        match known {
            Some(job) if !back(job) => {
                let status = self.status(now, &spec.id, job);
                self.answer(token, JobReply::Status(status));
            }
            _ => match self.overfull(&spec) {
                Some(refusal) => self.refuse(token, refusal),
                None => self.accept(now, term, token, spec, attempt, checkpoint),
            },
        }
    }

    fn find(&mut self, token: u64, id: &JobId) -> Option<&Job> {
        match self.ledger.jobs.get(id).map(|job| &job.end) {
            None => {
                self.refuse(token, Refusal::NotFound(id.clone()));
                None
            }
            Some(Some(End::Moved { to, .. })) => {
                let to = to.clone();
                self.answer(token, JobReply::Redirect(to));
                None
            }
            Some(_) => self.ledger.jobs.get(id),
        }
    }

    fn show(&mut self, now: Millis, token: u64, id: &JobId) {
        if self.find(token, id).is_none() {
            return;
        }
        if let Some(job) = self.ledger.jobs.get(id) {
            let mut status = self.status(now, id, job);
            let reason = self.why(now, id, job, &self.view(now));
            append(&mut status.history, now, reason);
            self.answer(token, JobReply::Status(status));
        }
    }

    /// Answers a call whose record is settled.
    fn confirm_call(&mut self, now: Millis, token: u64, id: &JobId) {
        if self.find(token, id).is_some()
            && let Some(job) = self.ledger.jobs.get(id)
        {
            let status = self.status(now, id, job);
            self.answer(token, JobReply::Status(status));
        }
    }

    fn list(&mut self, now: Millis, token: u64, team: &TeamName) {
        let jobs = self.ledger.jobs.iter();
        let jobs = jobs.filter(|(_, job)| job.spec.team == *team && !job.is_standing());
        let view = self.view(now);
        let list = jobs.map(|(id, job)| {
            let mut status = self.status(now, id, job);
            append(&mut status.history, now, self.why(now, id, job, &view));
            status
        });
        let list = list.collect();
        self.answer(token, JobReply::List(list));
    }

    fn cancel(&mut self, now: Millis, term: Term, token: u64, id: JobId) {
        let Some(job) = self.find(token, &id) else {
            return;
        };
        if job.end.is_some() {
            return self.show(now, token, &id);
        }
        if job.is_standing() {
            let why = "a standing task ends when its document asks for fewer instances";
            return self.refuse(token, Refusal::Limit(why.to_owned()));
        }
        let record = self
            .journal
            .write(term, CellRecord::Cancelled { job: id.clone() });
        self.journal.wait(now, record, token, Answer::Status(id));
    }

    fn fetch(&mut self, now: Millis, term: Term, token: u64, id: JobId, receipt: String) {
        if receipt.is_empty() || receipt.len() > MAX_RECEIPT {
            let limit = format!("receipt: 1 to {MAX_RECEIPT} bytes");
            return self.refuse(token, Refusal::Limit(limit));
        }
        let Some(job) = self.find(token, &id) else {
            return;
        };
        let Some(End::Finished {
            receipt: taken,
            dropped,
            ..
        }) = &job.end
        else {
            return self.refuse(token, Refusal::NotFinished);
        };
        if *dropped {
            return self.refuse(token, Refusal::Limit(Reason::ResultDropped.to_string()));
        }
        if taken.is_some() {
            return self.hand_out(token, &id, &receipt);
        }
        let body = CellRecord::Fetched {
            job: id.clone(),
            receipt: receipt.clone(),
        };
        let record = self.journal.write(term, body);
        self.journal
            .wait(now, record, token, Answer::Result(id, receipt));
    }

    /// Hands out a result if `receipt` is the one that took it.
    fn hand_out(&mut self, token: u64, id: &JobId, receipt: &str) {
        let end = self.ledger.jobs.get(id).and_then(|job| job.end.as_ref());
        let Some(End::Finished {
            attempt,
            result,
            receipt: taken,
            ..
        }) = end
        else {
            return self.refuse(token, Refusal::NotFinished);
        };
        let reply = if taken.as_deref() == Some(receipt) {
            JobReply::Result {
                job: id.clone(),
                attempt: *attempt,
                result: result.clone(),
            }
        } else {
            JobReply::Refused(Refusal::AlreadyFetched)
        };
        self.answer(token, reply);
    }

    fn explain(&mut self, now: Millis, token: u64, subject: &Subject) {
        let list = self.explained(now, subject);
        self.answer(token, JobReply::Explained(list));
    }

    /// Answers the calls that waited for a record which was read back.
    pub(crate) fn answer_settled(&mut self, now: Millis, waiters: Vec<(u64, Answer)>) {
        for (token, answer) in waiters {
            match answer {
                Answer::Status(id) => self.confirm_call(now, token, &id),
                Answer::Result(id, receipt) => self.hand_out(token, &id, &receipt),
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
            worker: job.worker.clone(),
            evictions: job.evictions,
            history: self.explains.get(&Subject::Job(id.clone())),
        }
    }

    fn phase(&self, now: Millis, job: &Job) -> JobPhase {
        match (&job.end, &job.open) {
            (Some(End::Finished { receipt: None, .. }), _) => JobPhase::Finished,
            (Some(End::Finished { .. }), _) => JobPhase::Fetched,
            (Some(End::Failed { .. }), _) => JobPhase::Failed,
            (Some(End::Cancelled), _) => JobPhase::Cancelled,
            (Some(End::Moved { .. }), _) => JobPhase::Moved,
            (None, None) => JobPhase::Pending,
            (None, Some(worker)) => {
                let silent = |w| self.is_doubtful(now, w);
                if self.workers.get(worker).is_some_and(silent) {
                    JobPhase::InDoubt
                } else {
                    JobPhase::Running
                }
            }
        }
    }
}

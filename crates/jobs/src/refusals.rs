//! Records that the store refuses for good, for example because they are too long.
//!
//! What depends on such a record does not happen: a job is not accepted, a worker gets no starts, an
//! end of a run is not acknowledged, and callers do not see a state. The owner goes on with what it
//! knows, and sends the progress of the job again after a time and when the job has ended, which makes
//! it short.

use crate::JobId;
use crate::io::CallerResponse;
use crate::limits::REFUSED_WRITE_RETRY_DELAY;
use crate::owners::Owner;
use crate::records::{Key, Record};

impl Owner {
    /// Completes the write in flight. The records with the keys in `refused` are not stored.
    pub(crate) fn complete_write(&mut self, number: u64, refused: &[Key]) {
        let accepted = self.writes.written_acceptances(number);
        let now = self.now;
        let Some(effects) = self.writes.complete_write(now, number, refused) else {
            return;
        };
        for key in refused {
            match key {
                Key::Job(id) if accepted.contains(id) => self.refuse_acceptance(*id),
                Key::Job(_) | Key::Wave(_) | Key::Interference => {}
                Key::Progress(id) | Key::HeldEnds(id) => self.log(format!(
                    "job {id}: the store refuses {}; its ends are not acknowledged until it is stored",
                    key.text()
                )),
                Key::Worker(id) => self.log(format!(
                    "worker {id}: the store refuses its record; it gets no starts"
                )),
            }
        }
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    /// Forgets a job whose acceptance the store refuses. Nothing of it has started.
    fn refuse_acceptance(&mut self, id: JobId) {
        let Some(job) = self.jobs.remove(id) else {
            return;
        };
        self.log(format!("job {id} refused: the store refuses its record"));
        for request_id in job.submit_requests {
            let refusal = CallerResponse::Refused {
                reason: "the store refuses the record of the job".to_owned(),
                retry_after: REFUSED_WRITE_RETRY_DELAY,
            };
            self.respond(request_id, refusal);
        }
        for request_id in job.cancel_requests {
            self.respond(request_id, CallerResponse::Unknown);
        }
        self.writes.forget_job(id);
        // An earlier try of the append may have been executed after its timeout, and what is stored of
        // a cancellation would end a later job with this identifier.
        for key in [Key::Job(id), Key::Progress(id)] {
            self.writes.add(self.now, Record::drop_key(key), None);
        }
    }

    /// Sends refused records of jobs again, in their present form.
    pub(crate) fn retry_refused_writes(&mut self) {
        for key in self.writes.take_due_retries(self.now) {
            match &key {
                Key::Progress(id) if self.jobs.get(*id).is_some() => {
                    self.writes.mark_progress(self.now, *id, false);
                }
                Key::HeldEnds(id) if self.held_ends.contains_key(id) => {
                    let record = Record::put(key.clone(), &self.held_ends[id]);
                    self.writes.add(self.now, record, None);
                }
                Key::Progress(id) | Key::HeldEnds(id) => self.writes.forget_job(*id),
                Key::Job(_) | Key::Worker(_) | Key::Wave(_) | Key::Interference => {}
            }
        }
    }
}

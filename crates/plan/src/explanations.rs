//! Bounded log of the reasons for decisions about jobs, workers and services.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Explanation, JobId, Millis, Reason, Subject};

use crate::Cell;

/// Explanations kept for each job, worker or service.
const MAX_EXPLANATIONS: usize = 16;
/// Subjects in the log; the one that was added first is dropped first.
const MAX_SUBJECTS: usize = 4_096;

/// Latest explanations of each subject, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ExplanationLog {
    by_subject: BTreeMap<Subject, VecDeque<Explanation>>,
    subject_order: VecDeque<Subject>,
}

impl ExplanationLog {
    /// Adds a reason unless it repeats the latest one.
    pub(crate) fn add(&mut self, at: Millis, subject: Subject, reason: Reason) {
        if !self.by_subject.contains_key(&subject) {
            self.add_subject(&subject);
        }
        let entries = self.by_subject.entry(subject).or_default();
        if let Some(last) = entries.back_mut() {
            let is_no_room = |r: &Reason| matches!(r, Reason::NoCapacity { .. });
            if last.reason == reason || is_no_room(&last.reason) && is_no_room(&reason) {
                // The missing amount changes in each round and would push out all other entries.
                last.reason = reason;
                return;
            }
        }
        if entries.len() == MAX_EXPLANATIONS {
            entries.pop_front();
        }
        entries.push_back(Explanation { at, reason });
    }

    /// Adds a subject, and drops the oldest one above the limit.
    fn add_subject(&mut self, subject: &Subject) {
        if self.subject_order.len() == MAX_SUBJECTS
            && let Some(old) = self.subject_order.pop_front()
        {
            self.by_subject.remove(&old);
        }
        self.subject_order.push_back(subject.clone());
    }

    pub(crate) fn get(&self, subject: &Subject) -> Vec<Explanation> {
        let entries = self.by_subject.get(subject);
        entries.map_or_else(Vec::new, |entries| entries.iter().cloned().collect())
    }
}

impl Cell {
    /// Logs a reason for a decision about a job.
    pub(crate) fn explain_job(&mut self, now: Millis, job: &JobId, reason: Reason) {
        self.explanations
            .add(now, Subject::Job(job.clone()), reason);
    }
}

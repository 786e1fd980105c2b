//! Bounded log of the reasons for decisions about jobs, workers and services.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Explanation, JobId, Millis, Reason, Subject};

use crate::Cell;

/// Explanations kept for each job, worker or service.
const MAX_EXPLANATIONS_PER_SUBJECT: usize = 16;
/// Subjects in the log; the one that was added first is dropped first.
const MAX_SUBJECTS: usize = 4_096;

/// Latest explanations of each subject, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ExplanationLog {
    by_subject: BTreeMap<Subject, VecDeque<Explanation>>,
    subject_order: VecDeque<Subject>,
}

impl ExplanationLog {
    /// Adds a reason unless it repeats the latest one. A further lack of capacity replaces the
    /// amount in the latest reason and keeps its time.
    pub(crate) fn add(&mut self, at: Millis, subject: Subject, reason: Reason) {
        if !self.by_subject.contains_key(&subject) {
            self.add_subject(&subject);
        }
        let explanations = self.by_subject.entry(subject).or_default();
        if let Some(last) = explanations.back_mut() {
            let is_no_capacity = |r: &Reason| matches!(r, Reason::NoCapacity { .. });
            if last.reason == reason || is_no_capacity(&last.reason) && is_no_capacity(&reason) {
                // The missing amount changes in each round and would push out all other
                // explanations.
                last.reason = reason;
                return;
            }
        }
        if explanations.len() == MAX_EXPLANATIONS_PER_SUBJECT {
            explanations.pop_front();
        }
        explanations.push_back(Explanation { at, reason });
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
        let explanations = self.by_subject.get(subject);
        explanations.map_or_else(Vec::new, |list| list.iter().cloned().collect())
    }
}

impl Cell {
    /// Logs a reason for a decision about a job.
    pub(crate) fn explain_job(&mut self, now: Millis, job: &JobId, reason: Reason) {
        self.explanations
            .add(now, Subject::Job(job.clone()), reason);
    }
}

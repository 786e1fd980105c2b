//! Bounded memory of the reasons for decisions.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Explanation, JobId, Millis, Reason, Subject};

use crate::Cell;

/// Explanations kept for each job, worker or service.
const MAX_EXPLANATIONS: usize = 16;
/// Subjects remembered; the one first explained is dropped first.
const MAX_SUBJECTS: usize = 4_096;

/// Latest explanations of each subject.
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
        let ring = self.by_subject.entry(subject).or_default();
        if let Some(last) = ring.back_mut() {
            let short = |r: &Reason| matches!(r, Reason::NoRoom { .. });
            if last.reason == reason || short(&last.reason) && short(&reason) {
                // What lacks changes in each round and would push out everything else.
                last.reason = reason;
                return;
            }
        }
        if ring.len() == MAX_EXPLANATIONS {
            ring.pop_front();
        }
        ring.push_back(Explanation { at, reason });
    }

    fn add_subject(&mut self, subject: &Subject) {
        if self.subject_order.len() == MAX_SUBJECTS
            && let Some(old) = self.subject_order.pop_front()
        {
            self.by_subject.remove(&old);
        }
        self.subject_order.push_back(subject.clone());
    }

    pub(crate) fn get(&self, subject: &Subject) -> Vec<Explanation> {
        let ring = self.by_subject.get(subject);
        ring.map_or_else(Vec::new, |ring| ring.iter().cloned().collect())
    }
}

impl Cell {
    pub(crate) fn explain_job(&mut self, now: Millis, job: &JobId, reason: Reason) {
        self.explanations
            .add(now, Subject::Job(job.clone()), reason);
    }
}

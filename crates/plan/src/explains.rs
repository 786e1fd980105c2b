//! Bounded memory of the reasons for decisions.

use std::collections::{BTreeMap, VecDeque};

use hyssop_core::{Explanation, JobId, Millis, Reason, Subject};

use crate::Cell;

/// Explanations kept for each job, worker or service.
const KEPT: usize = 16;
/// Subjects remembered; the one first explained is dropped first.
const SUBJECTS: usize = 4_096;

/// Latest explanations of each subject.
#[derive(Debug, Default)]
pub(crate) struct Explains {
    rings: BTreeMap<Subject, VecDeque<Explanation>>,
    order: VecDeque<Subject>,
}

impl Explains {
    /// Adds a reason unless it repeats the latest one.
    pub(crate) fn add(&mut self, at: Millis, subject: Subject, reason: Reason) {
        if !self.rings.contains_key(&subject) {
            self.admit(&subject);
        }
        let ring = self.rings.entry(subject).or_default();
        if let Some(last) = ring.back_mut() {
            let short = |r: &Reason| matches!(r, Reason::NoCapacity { .. });
            if last.reason == reason || short(&last.reason) && short(&reason) {
                // What lacks changes in each round and would push out everything else.
                last.reason = reason;
                return;
            }
        }
        if ring.len() == KEPT {
            ring.pop_front();
        }
        ring.push_back(Explanation { at, reason });
    }

    fn admit(&mut self, subject: &Subject) {
        if self.order.len() == SUBJECTS
            && let Some(old) = self.order.pop_front()
        {
            self.rings.remove(&old);
        }
        self.order.push_back(subject.clone());
    }

    pub(crate) fn get(&self, subject: &Subject) -> Vec<Explanation> {
        let ring = self.rings.get(subject);
        ring.map_or_else(Vec::new, |ring| ring.iter().cloned().collect())
    }
}

impl Cell {
    pub(crate) fn explain_job(&mut self, now: Millis, job: &JobId, reason: Reason) {
        self.explains.add(now, Subject::Job(job.clone()), reason);
    }
}

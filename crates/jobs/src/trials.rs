//! Trials of steps: tasks of a step run the same program, so that after a crash of a worker they start
//! one at a time until a run shows that not all of them crash their workers.
//!
//! Without that, each of the tasks of a job crashes a worker of its own before one of them is given
//! up, and a job of thirty tasks takes all workers of a small fleet down several times.

use std::cmp::Reverse;

use hyssop_core::Millis;

use crate::limits::{MAX_SHARED_CRASHES, TRIAL_INTERVAL};
use crate::occurrences::Step;

/// What is known of whether the tasks of a step crash their workers soon after their starts.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Trial {
    /// Whether a worker has crashed soon after the start of a task.
    has_crashed: bool,
    /// Whether a run has settled or has ended by itself.
    is_passed: bool,
    /// When the last start was ordered.
    started_at: Millis,
}

impl Trial {
    /// Records that a worker has crashed soon after the start of a task.
    pub(crate) const fn note_crash(&mut self) {
        self.has_crashed = true;
    }

    /// Records that a run has settled or has ended by itself.
    pub(crate) const fn pass(&mut self) {
        self.is_passed = true;
    }

    /// Records that the start of a task was ordered.
    pub(crate) const fn begin(&mut self, now: Millis) {
        self.started_at = now;
    }
}

/// Waiting tasks of a step that may start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Startable {
    /// All of them.
    All,
    /// At most this one, because the step is on trial.
    One(Option<u16>),
}

impl Startable {
    /// Returns whether a task may start.
    pub(crate) fn contains(self, index: u16) -> bool {
        match self {
            Self::All => true,
            Self::One(next) => next == Some(index),
        }
    }
}

impl Step {
    /// Returns which of the waiting tasks may start. While the step is on trial, this is one at a
    /// time: the next one starts when none is assigned, or when the last one should have settled.
    /// Suspects come first, since one more crash shows them to be a cause, and of these the one with
    /// the fewest crashes, so that crashes that others cause do not all count for the same task. The
    /// members of a gang start together in any case.
    pub(crate) fn startable(&self, now: Millis) -> Startable {
        self.startable_before(now, now)
    }

    /// Returns the same among the tasks that may start before a time.
    pub(crate) fn startable_before(&self, now: Millis, due_before: Millis) -> Startable {
        let trial = self.trial;
        if !trial.has_crashed || trial.is_passed || self.is_gang() {
            return Startable::All;
        }
        if self.assigned_count() > 0 && now < trial.started_at + TRIAL_INTERVAL {
            return Startable::One(None);
        }
        let due = self.waiting.iter().copied();
        let due = due.filter(|&index| self.tasks[usize::from(index)].not_before <= due_before);
        Startable::One(due.min_by_key(|&index| {
            let count = self.tasks[usize::from(index)].crashes.early_count();
            (
                count == 0,
                count >= MAX_SHARED_CRASHES,
                Reverse(count),
                index,
            )
        }))
    }
}

//! State of one job, and its rank among others.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::Account;
use crate::limits::{EXPIRY_FACTOR, MAX_CLOCK_DIFFERENCE};
use crate::occurrences::{Occurrence, Phase, Step, Task};
use crate::shares::Share;
use crate::{
    JobId, JobRecord, JobSpec, JobState, Policy, Progress, QueueRule, RequestId, RunId, TaskId,
};

/// How late an occurrence will be if its tasks start now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Lateness {
    /// It can still be in time.
    InTime,
    /// It is late, and its result is still useful to the caller.
    Late,
    /// It is so late that others go first, except for the turns of
    /// [`PASSED_OVER_LIMIT`](crate::limits::PASSED_OVER_LIMIT).
    Expired,
}

/// State of one job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) rule: Arc<QueueRule>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) sequence: u64,
    /// Time of acceptance by the owner's clock.
    pub(crate) accepted_at: Millis,
    /// Occurrences that have become due and are not complete.
    pub(crate) occurrences: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to become due.
    next_occurrence: u32,
    /// Whether the acceptance is stored. No task starts before that.
    pub(crate) is_stored: bool,
    /// Whether an earlier owner accepted the job. Runs that it started may still exist.
    pub(crate) is_inherited: bool,
    /// Whether this owner has ordered a start of the job.
    pub(crate) is_start_ordered: bool,
    /// Whether a worker has listed a run of the job or the end of one.
    pub(crate) has_started: bool,
    /// Whether it is stored that the job has started.
    pub(crate) is_start_stored: bool,
    /// Whether the stored progress of the job cannot be read, so that it is not known which of its
    /// tasks are done. Nothing of it runs, and its progress is not stored, until it is cancelled or
    /// an owner reads a repaired record.
    pub(crate) is_held: bool,
    /// Whether the job was passed over for long enough to go first until it ends.
    pub(crate) is_in_turn: bool,
    pub(crate) is_cancelled: bool,
    pub(crate) is_failed: bool,
    /// Time at which the job ended.
    pub(crate) ended_at: Option<Millis>,
    /// Final state, set once it is stored.
    pub(crate) final_state: Option<JobState>,
    /// Submissions that wait until the acceptance is stored.
    pub(crate) submit_requests: Vec<RequestId>,
    /// Cancellations that wait until they are stored.
    pub(crate) cancel_requests: Vec<RequestId>,
    /// Time, from the due time on, within which an occurrence is in time.
    occurrence_time: Millis,
    /// Time that the job has lost under this owner.
    pub(crate) account: Account,
    /// When a worker last listed a run of the job or its end, or when the acceptance was stored.
    pub(crate) active_at: Millis,
    /// When a worker last crashed under a run of the job.
    pub(crate) last_crash_at: Millis,
    /// Use of the job's minimum share.
    pub(crate) share: Share,
    /// When the owner last logged that nothing of the job runs.
    pub(crate) stall_logged_at: Option<Millis>,
}

impl Job {
    /// Creates a job when it is accepted.
    pub(crate) fn new(
        now: Millis,
        id: JobId,
        rule: QueueRule,
        spec: JobSpec,
        sequence: u64,
    ) -> Self {
        let stretched = spec.critical_path(|_| true).0 as f64 * rule.stretch;
        let occurrence_time = Millis(stretched as u64) + Millis(rule.margin_ms);
        let mut job = Self {
            id,
            occurrence_time,
            rule: Arc::new(rule),
            spec: Arc::new(spec),
            sequence,
            accepted_at: now,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            is_stored: false,
            is_inherited: false,
            is_start_ordered: false,
            has_started: false,
            is_start_stored: false,
            is_held: false,
            is_in_turn: false,
            is_cancelled: false,
            is_failed: false,
            ended_at: None,
            final_state: None,
            submit_requests: Vec::new(),
            cancel_requests: Vec::new(),
            account: Account::default(),
            active_at: now,
            last_crash_at: Millis(0),
            share: Share::Unused,
            stall_logged_at: None,
        };
        if job.spec.schedule.is_none() {
            job.open_occurrence(now);
        }
        job
    }

    /// Restores a job that an earlier owner stored.
    pub(crate) fn restore(
        (now, accepted_at): (Millis, Millis),
        id: JobId,
        record: JobRecord,
        progress: &Progress,
        clock_origin: u64,
    ) -> Self {
        let mut job = Self::new(accepted_at, id, record.rule, record.spec, record.sequence);
        job.is_stored = true;
        job.is_inherited = true;
        job.active_at = now;
        job.has_started = progress.has_started;
        job.is_start_stored = progress.has_started;
        job.is_cancelled = progress.is_cancelled;
        job.is_failed = progress.is_failed;
        if progress.opened_count > 0 {
            job.occurrences.clear();
            job.next_occurrence = progress.opened_count;
        }
        for occurrence in &progress.occurrences {
            let due_at = job.due_at(occurrence.number, clock_origin);
            let restored = Occurrence::restore((now, due_at), &job.spec, occurrence);
            job.occurrences.insert(occurrence.number, restored);
        }
        for occurrence in job.occurrences.values_mut() {
            occurrence.advanced_at = occurrence.advanced_at.max(now);
        }
        job.final_state = job.reached_state();
        job.ended_at = job.final_state.map(|_| now);
        job
    }

    /// Holds a job whose progress cannot be read: without occurrences, it has no tasks to run.
    pub(crate) fn hold(&mut self) {
        self.is_held = true;
        self.is_start_stored = true;
        self.has_started = true;
        self.occurrences.clear();
        self.next_occurrence = self.spec.occurrences();
    }

    /// Returns the progress of the job, to be stored.
    pub(crate) fn progress(&self) -> Progress {
        let open = self
            .occurrences
            .iter()
            .filter(|_| self.reached_state().is_none());
        Progress {
            is_cancelled: self.is_cancelled,
            is_failed: self.is_failed,
            has_started: self.has_started,
            opened_count: self.next_occurrence,
            occurrences: open
                .map(|(&n, occurrence)| occurrence.progress(&self.spec, n))
                .collect(),
        }
    }

    /// Returns the due time of an occurrence by the owner's clock, which read 0 at `clock_origin`,
    /// in milliseconds since 1970.
    fn due_at(&self, occurrence: u32, clock_origin: u64) -> Millis {
        match &self.spec.schedule {
            Some(schedule) => Millis(schedule.due_at(occurrence).saturating_sub(clock_origin)),
            None => self.accepted_at,
        }
    }

    fn open_occurrence(&mut self, due_at: Millis) {
        self.occurrences
            .insert(self.next_occurrence, Occurrence::new(due_at, &self.spec));
        self.next_occurrence += 1;
    }

    /// Adds the occurrences that are due, and those up to `through`, which an earlier owner added,
    /// as far as they are due within [`MAX_CLOCK_DIFFERENCE`]. Returns whether there were any.
    pub(crate) fn open_occurrences(
        &mut self,
        now: Millis,
        clock_origin: u64,
        through: Option<u32>,
    ) -> bool {
        let previous_count = self.next_occurrence;
        while self.next_occurrence < self.spec.occurrences() {
            let due_at = self.due_at(self.next_occurrence, clock_origin);
            let is_reported = through.is_some_and(|through| {
                self.next_occurrence <= through && due_at <= now + MAX_CLOCK_DIFFERENCE
            });
            if due_at > now && !is_reported {
                break;
            }
            self.open_occurrence(due_at);
        }
        self.next_occurrence > previous_count
    }

    /// Returns the due time of the next occurrence.
    pub(crate) fn next_due_at(&self, clock_origin: u64) -> Option<Millis> {
        let has_next = self.next_occurrence < self.spec.occurrences();
        has_next.then(|| self.due_at(self.next_occurrence, clock_origin))
    }

    /// Returns the rules of the job's queue in force, or those from the acceptance of the job if the
    /// queue was removed. The service may differ from that at the acceptance.
    pub(crate) fn current_rule<'a>(&'a self, policy: &'a Policy) -> &'a QueueRule {
        policy.queues.get(&self.rule.name).unwrap_or(&self.rule)
    }

    /// Returns the final state that the job has reached, stored or not.
    pub(crate) fn reached_state(&self) -> Option<JobState> {
        if self.is_cancelled {
            Some(JobState::Cancelled)
        } else if self.is_failed {
            Some(JobState::Failed)
        } else if !self.is_held
            && self.next_occurrence >= self.spec.occurrences()
            && self.occurrences.values().all(Occurrence::is_complete)
        {
            Some(JobState::Complete)
        } else {
            None
        }
    }

    /// Returns the state that is reported to callers. Whatever they have seen is stored, so that a
    /// later owner does not fall back behind it.
    pub(crate) fn visible_state(&self) -> JobState {
        match self.final_state {
            Some(state) => state,
            None if self.is_start_stored => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Returns whether tasks may still start.
    pub(crate) const fn is_open(&self) -> bool {
        !self.is_cancelled && !self.is_failed && self.ended_at.is_none()
    }

    /// Returns the rank of an occurrence among those of equal priority: first those that are next in
    /// turn after they were passed over, then the others by their lateness.
    pub(crate) fn rank(&self, now: Millis, occurrence: &Occurrence) -> (Lateness, Millis) {
        match self.is_in_turn {
            true => (Lateness::InTime, Millis(0)),
            false => self.lateness(now, occurrence),
        }
    }

    /// Returns how late an occurrence will be, and the time by which equally late occurrences
    /// are ordered. Service tasks are never late, because their users wait whenever they are not
    /// running.
    fn lateness(&self, now: Millis, occurrence: &Occurrence) -> (Lateness, Millis) {
        let allowed_time = self.occurrence_time;
        let remaining_time = occurrence.remaining_path;
        let deadline = occurrence.due_at + allowed_time;
        let expires_at = occurrence.due_at + Millis(allowed_time.0.saturating_mul(EXPIRY_FACTOR));
        let has_service_tasks = self.spec.steps.iter().any(|step| step.is_service);
        if has_service_tasks || now + remaining_time <= deadline {
            (Lateness::InTime, deadline)
        } else if now + remaining_time <= expires_at {
            (Lateness::Late, expires_at)
        } else {
            (Lateness::Expired, expires_at)
        }
    }

    /// Returns the time from its acceptance within which the job is in time, or none if it has a
    /// schedule or service tasks.
    pub(crate) fn allowed_time(&self) -> Option<Millis> {
        let is_service = self.spec.steps.iter().any(|step| step.is_service);
        let is_measured = self.spec.schedule.is_none() && !is_service;
        is_measured.then_some(self.occurrence_time)
    }

    /// Returns how long an occurrence may still wait and end in time, or none if it is late.
    pub(crate) fn start_margin(&self, now: Millis, occurrence: &Occurrence) -> Option<Millis> {
        let end = now + occurrence.remaining_path;
        let deadline = occurrence.due_at + self.occurrence_time;
        (end <= deadline).then(|| deadline.since(end))
    }

    /// Returns whether an occurrence can still end while its result is useful to the caller.
    pub(crate) fn is_still_useful(&self, now: Millis, occurrence: &Occurrence) -> bool {
        self.lateness(now, occurrence).0 != Lateness::Expired
    }

    /// Returns the due time of the oldest expired occurrence that waits for workers, if the job has
    /// had no turn yet. Best-effort jobs get none: they reserve nothing that others would leave to
    /// them, and a large one in front delays all others of its queue.
    pub(crate) fn passed_over_since(&self, now: Millis) -> Option<Millis> {
        if self.spec.steps.iter().any(|step| step.is_best_effort) {
            return None;
        }
        let occurrences = self.occurrences.values();
        let expired = occurrences.filter(|occurrence| {
            let is_waiting = |step: &Step| !step.waiting.is_empty();
            !self.is_in_turn
                && self.lateness(now, occurrence).0 == Lateness::Expired
                && occurrence.steps.iter().any(is_waiting)
        });
        expired.map(|occurrence| occurrence.due_at).min()
    }

    /// Returns since when no worker has listed a run of the job although the occurrence is due.
    pub(crate) fn inactive_since(&self, occurrence: u32) -> Millis {
        let due_at = self
            .occurrences
            .get(&occurrence)
            .map(|occurrence| occurrence.due_at);
        due_at.unwrap_or_default().max(self.active_at)
    }

    /// Returns since when no worker has listed a run of the task although it could run.
    pub(crate) fn away_since(&self, id: TaskId) -> Millis {
        let occurrence = self.occurrences.get(&id.occurrence);
        let ready_at = occurrence.map_or(self.accepted_at, |occurrence| occurrence.advanced_at);
        let listed_at = self.task(id).map(|task| task.listed_at);
        listed_at.unwrap_or_default().max(ready_at)
    }

    /// Returns whether no task is assigned to a worker.
    pub(crate) fn is_idle(&self) -> bool {
        let mut steps = self
            .occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps);
        steps.all(|step| step.assigned_count() == 0)
    }

    /// Returns the runs of all assigned tasks, with their workers.
    pub(crate) fn assigned_runs(&self) -> Vec<(Arc<str>, RunId)> {
        let mut runs = Vec::new();
        for (&number, occurrence) in &self.occurrences {
            for step in (0_u16..).take(occurrence.steps.len()) {
                runs.extend(self.assigned_step_runs(number, step));
            }
        }
        runs
    }

    /// Returns the runs of one step's assigned tasks, with their workers.
    pub(crate) fn assigned_step_runs(&self, occurrence: u32, step: u16) -> Vec<(Arc<str>, RunId)> {
        let steps = self
            .occurrences
            .get(&occurrence)
            .map(|occurrence| &occurrence.steps);
        let Some(step_state) = steps.and_then(|steps| steps.get(usize::from(step))) else {
            return Vec::new();
        };
        let job = self.id;
        let tasks = (0_u16..).zip(&step_state.tasks);
        let run_of = |(index, task): (u16, &Task)| match &task.phase {
            Phase::Assigned { worker, run } => {
                let task = TaskId {
                    job,
                    occurrence,
                    step,
                    index,
                };
                Some((Arc::clone(worker), RunId { task, run: *run }))
            }
            Phase::Waiting | Phase::Done => None,
        };
        tasks.filter_map(run_of).collect()
    }

    /// Returns whether members of the gang of a run are assigned to workers in another run.
    pub(crate) fn has_other_gang_run(&self, run: RunId) -> bool {
        let step = self.gang_of(run.task);
        let members = step.map(|step| self.assigned_step_runs(step.occurrence, step.step));
        members.is_some_and(|members| members.iter().any(|(_, member)| member.run != run.run))
    }

    /// Records that the acceptance is stored. The job counts as inactive from then on, because no task
    /// may start before.
    pub(crate) fn mark_stored(&mut self, now: Millis) {
        self.is_stored = true;
        self.active_at = self.active_at.max(now);
        for occurrence in self.occurrences.values_mut() {
            occurrence.advanced_at = occurrence.advanced_at.max(now);
        }
    }

    /// Records that a worker has listed the current run of a task or its end.
    pub(crate) fn note_listed(&mut self, now: Millis, id: TaskId) {
        self.active_at = now;
        if let Some(task) = self.task_mut(id) {
            task.listed_at = now;
        }
        if let Some(crashes) = self.crashes_mut(id) {
            crashes.note_listed();
        }
    }

    /// Marks a task complete.
    pub(crate) fn finish_task(&mut self, now: Millis, id: TaskId) {
        let Some(occurrence) = self.occurrences.get_mut(&id.occurrence) else {
            return;
        };
        let Some(step) = occurrence.steps.get_mut(usize::from(id.step)) else {
            return;
        };
        step.finish(id.index);
        // One complete member completes its gang.
        let is_gang = self.spec.steps[usize::from(id.step)].is_gang;
        if let Share::Used(used) = self.share
            && (used == id || is_gang && used.of_step() == id.of_step())
        {
            self.share = Share::Vacant;
        }
        if step.remaining == 0 {
            occurrence.advanced_at = now;
            occurrence.update_remaining_path(&self.spec);
        }
    }

    /// Returns the step that contains a task.
    pub(crate) fn step(&self, id: TaskId) -> Option<&Step> {
        self.occurrences
            .get(&id.occurrence)?
            .steps
            .get(usize::from(id.step))
    }

    /// Returns the step that contains a task.
    pub(crate) fn step_mut(&mut self, id: TaskId) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(&id.occurrence)?;
        occurrence.steps.get_mut(usize::from(id.step))
    }

    /// Returns the state of a task.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id)?.tasks.get_mut(usize::from(id.index))
    }

    /// Returns the state of a task.
    pub(crate) fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id)?.tasks.get(usize::from(id.index))
    }
}

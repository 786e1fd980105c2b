//! Table of jobs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::limits::{EXPIRY_FACTOR, RANK_INTERVAL};
use crate::occurrences::{Occurrence, Phase, Step, Task};
use crate::{JobId, JobRecord, JobSpec, JobState, Progress, QueueRule, RequestId, RunId, TaskId};

/// One job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) rule: Arc<QueueRule>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) sequence: u64,
    /// When it was accepted.
    pub(crate) accepted_at: Millis,
    /// Occurrences that have opened and are not over.
    pub(crate) occurrences: BTreeMap<u32, Occurrence>,
    /// Number of the next occurrence to open.
    next_occurrence: u32,
    /// Whether its acceptance is stored.
    pub(crate) is_stored: bool,
    /// Whether it was accepted by an earlier owner, whose orders may still run.
    pub(crate) is_inherited: bool,
    pub(crate) has_started: bool,
    pub(crate) is_cancelled: bool,
    pub(crate) is_failed: bool,
    /// Time at which it ended.
    pub(crate) ended_at: Option<Millis>,
    /// State that callers are shown once it is stored.
    pub(crate) final_state: Option<JobState>,
    /// Callers that wait until the acceptance is stored.
    pub(crate) submit_requests: Vec<RequestId>,
    /// Callers that wait until the cancellation is stored.
    pub(crate) cancel_requests: Vec<RequestId>,
}

impl Job {
    /// Creates a job as accepted.
    pub(crate) fn new(
        now: Millis,
        id: JobId,
        rule: QueueRule,
        spec: JobSpec,
        sequence: u64,
    ) -> Self {
        let mut job = Self {
            id,
            rule: Arc::new(rule),
            spec: Arc::new(spec),
            sequence,
            accepted_at: now,
            occurrences: BTreeMap::new(),
            next_occurrence: 0,
            is_stored: false,
            is_inherited: false,
            has_started: false,
            is_cancelled: false,
            is_failed: false,
            ended_at: None,
            final_state: None,
            submit_requests: Vec::new(),
            cancel_requests: Vec::new(),
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
        job.has_started = progress.has_started;
        job.is_cancelled = progress.is_cancelled;
        job.is_failed = progress.is_failed;
        if progress.opened_count > 0 {
            job.occurrences.clear();
            job.next_occurrence = progress.opened_count;
        }
        for occurrence in &progress.occurrences {
            let due = job.due_time(occurrence.number, clock_origin);
            let restored = Occurrence::restore(due, &job.spec, occurrence);
            job.occurrences.insert(occurrence.number, restored);
        }
        job.final_state = job.reached_state();
        job.ended_at = job.final_state.map(|_| now);
        job
    }

    /// Returns what is stored of the job.
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
                .map(|(&n, occurrence)| occurrence.progress(n))
                .collect(),
        }
    }

    /// Returns when an occurrence is due on the owner's clock, which started at `day_start`,
    /// in milliseconds since 1970.
    fn due_time(&self, occurrence: u32, clock_origin: u64) -> Millis {
        match &self.spec.schedule {
            Some(schedule) => Millis(schedule.due_at(occurrence).saturating_sub(clock_origin)),
            None => self.accepted_at,
        }
    }

    fn open_occurrence(&mut self, due: Millis) {
        self.occurrences
            .insert(self.next_occurrence, Occurrence::new(due, &self.spec));
        self.next_occurrence += 1;
    }

    /// Opens the occurrences that are due, and those up to `through` that an earlier owner opened.
    /// Returns whether there were any.
    pub(crate) fn open_occurrences(
        &mut self,
        now: Millis,
        clock_origin: u64,
        through: Option<u32>,
    ) -> bool {
        let before = self.next_occurrence;
        while self.next_occurrence < self.spec.occurrences() {
            let due = self.due_time(self.next_occurrence, clock_origin);
            if due > now && through.is_none_or(|through| self.next_occurrence > through) {
                break;
            }
            self.open_occurrence(due);
        }
        self.next_occurrence > before
    }

    /// Returns when the next occurrence opens.
    pub(crate) fn next_due(&self, clock_origin: u64) -> Option<Millis> {
        let is_left = self.next_occurrence < self.spec.occurrences();
        is_left.then(|| self.due_time(self.next_occurrence, clock_origin))
    }

    /// Returns the final state that the job has reached, stored or not.
    pub(crate) fn reached_state(&self) -> Option<JobState> {
        if self.is_cancelled {
            Some(JobState::Cancelled)
        } else if self.is_failed {
            Some(JobState::Failed)
        } else if self.next_occurrence >= self.spec.occurrences()
            && self.occurrences.values().all(Occurrence::is_over)
        {
            Some(JobState::Complete)
        } else {
            None
        }
    }

    /// Returns the state that callers are shown.
    pub(crate) fn visible_state(&self) -> JobState {
        match self.final_state {
            Some(state) => state,
            None if self.has_started => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Returns whether tasks may still start.
    pub(crate) const fn is_open(&self) -> bool {
        !self.is_cancelled && !self.is_failed && self.ended_at.is_none()
    }

    /// Returns how an occurrence ranks among others of its priority: those that can still be in time
    /// come first, then those that are late but still worth something, each by their deadlines.
    /// Standing tasks are never late: their users wait for as long as they are not at work.
    pub(crate) fn rank(&self, now: Millis, occurrence: &Occurrence) -> (u8, Millis) {
        let allowed_time = self.allowed_time(occurrence);
        let left = occurrence.critical_path(&self.spec, false);
        let deadline = occurrence.due + allowed_time;
        let last = occurrence.due + Millis(allowed_time.0 * EXPIRY_FACTOR);
        let stands = self.spec.steps.iter().any(|step| step.is_service);
        if stands || now + left <= deadline {
            (0, deadline)
        } else if now + left <= last {
            (1, last)
        } else {
            (2, last)
        }
    }

    /// Returns the time within which an occurrence is in time.
    fn allowed_time(&self, occurrence: &Occurrence) -> Millis {
        let stretched = occurrence.critical_path(&self.spec, true).0 as f64 * self.rule.stretch;
        Millis(stretched as u64 + self.rule.margin_ms)
    }

    /// Returns how long an occurrence may still wait and end in time, if it can.
    pub(crate) fn start_margin(&self, now: Millis, occurrence: &Occurrence) -> Option<Millis> {
        let end = now + occurrence.critical_path(&self.spec, false);
        let deadline = occurrence.due + self.allowed_time(occurrence);
        (end <= deadline).then(|| deadline.since(end))
    }

    /// Returns whether an occurrence can still end before it is worth nothing to its caller.
    pub(crate) fn is_still_useful(&self, now: Millis, occurrence: &Occurrence) -> bool {
        self.rank(now, occurrence).0 < 2
    }

    /// Returns whether none of its tasks is assigned to a worker.
    pub(crate) fn is_idle(&self) -> bool {
        let steps = self
            .occurrences
            .values()
            .flat_map(|occurrence| &occurrence.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.all(|task| !task.is_assigned())
    }

    /// Returns the runs of its tasks and their workers.
    pub(crate) fn assigned_runs(&self) -> Vec<(Arc<str>, RunId)> {
        let mut runs = Vec::new();
        for (&occurrence, entry) in &self.occurrences {
            for step in (0_u16..).take(entry.steps.len()) {
                runs.extend(self.assigned_step_runs(occurrence, step));
            }
        }
        runs
    }

    /// Returns the runs of one step's tasks and their workers.
    pub(crate) fn assigned_step_runs(&self, occurrence: u32, step: u16) -> Vec<(Arc<str>, RunId)> {
        let steps = self
            .occurrences
            .get(&occurrence)
            .map(|occurrence| &occurrence.steps);
        let Some(entry) = steps.and_then(|steps| steps.get(usize::from(step))) else {
            return Vec::new();
        };
        let job = self.id;
        let tasks = (0_u16..).zip(&entry.tasks);
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

    /// Returns the step of a task.
    pub(crate) fn step(&self, id: TaskId) -> Option<&Step> {
        self.occurrences
            .get(&id.occurrence)?
            .steps
            .get(usize::from(id.step))
    }

    /// Returns the step of a task.
    pub(crate) fn step_mut(&mut self, id: TaskId) -> Option<&mut Step> {
        let occurrence = self.occurrences.get_mut(&id.occurrence)?;
        occurrence.steps.get_mut(usize::from(id.step))
    }

    /// Returns a task.
    pub(crate) fn task_mut(&mut self, id: TaskId) -> Option<&mut Task> {
        self.step_mut(id)?.tasks.get_mut(usize::from(id.index))
    }

    /// Returns a task.
    pub(crate) fn task(&self, id: TaskId) -> Option<&Task> {
        self.step(id)?.tasks.get(usize::from(id.index))
    }
}

/// All jobs.
#[derive(Debug, Default)]
pub(crate) struct JobTable {
    by_id: HashMap<JobId, Job>,
    /// Jobs that have not ended, by priority and order of acceptance.
    open: BTreeMap<(u32, u64), JobId>,
    /// Open occurrences of jobs that have not ended, in the order in which they get room.
    ranking: Vec<(JobId, u32)>,
    ranked_at: Millis,
    /// Whether a job was added or ended since, or an occurrence opened.
    is_stale: bool,
    /// Times at which further occurrences open.
    opening: BTreeSet<(Millis, JobId)>,
    /// Jobs that have ended, in the order of their ends.
    ended: BTreeSet<(Millis, JobId)>,
    next_sequence: u64,
}

impl JobTable {
    pub(crate) fn get(&self, id: JobId) -> Option<&Job> {
        self.by_id.get(&id)
    }

    pub(crate) fn get_mut(&mut self, id: JobId) -> Option<&mut Job> {
        self.by_id.get_mut(&id)
    }

    pub(crate) fn values(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values()
    }

    /// Returns the number that the next job gets.
    pub(crate) const fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Returns the open occurrences in the order in which they get room.
    pub(crate) fn ranked_occurrences(&mut self, now: Millis) -> Vec<(JobId, u32)> {
        if self.is_stale || now >= self.ranked_at + RANK_INTERVAL {
            let jobs = self.open.values().filter_map(|id| self.by_id.get(id));
            let mut ranks: Vec<_> = jobs
                .flat_map(|job| {
                    let priority = job.rule.priority;
                    let occurrences = job.occurrences.iter();
                    occurrences.map(move |(&n, occurrence)| {
                        (priority, job.rank(now, occurrence), job.sequence, job.id, n)
                    })
                })
                .collect();
            ranks.sort_unstable();
            self.ranking = ranks
                .into_iter()
                .map(|(.., id, occurrence)| (id, occurrence))
                .collect();
            self.ranked_at = now;
            self.is_stale = false;
        }
        self.ranking.clone()
    }

    /// Opens the occurrences that are due. `day_start` is the start of the owner's clock in
    /// milliseconds since 1970. Returns their jobs.
    pub(crate) fn open_due_occurrences(&mut self, now: Millis, clock_origin: u64) -> Vec<JobId> {
        let mut opened = Vec::new();
        while let Some(&(at, id)) = self.opening.first() {
            if at > now {
                break;
            }
            self.opening.pop_first();
            let Some(job) = self.by_id.get_mut(&id).filter(|job| job.is_open()) else {
                continue;
            };
            if job.open_occurrences(now, clock_origin, None) {
                opened.push(id);
                self.is_stale = true;
            }
            self.opening
                .extend(job.next_due(clock_origin).map(|due| (due, id)));
        }
        opened
    }

    /// Sets anew when occurrences open, after the owner's time of day has changed.
    pub(crate) fn reschedule_openings(&mut self, clock_origin: u64) {
        let jobs = self.open.values().filter_map(|id| self.by_id.get(id));
        let dues = jobs.filter_map(|job| Some((job.next_due(clock_origin)?, job.id)));
        self.opening = dues.collect();
    }

    /// Opens the occurrences of a job up to one that an earlier owner opened.
    pub(crate) fn open_occurrences_through(
        &mut self,
        now: Millis,
        id: JobId,
        occurrence: u32,
        clock_origin: u64,
    ) {
        if let Some(job) = self.by_id.get_mut(&id)
            && job.is_open()
        {
            self.is_stale |= job.open_occurrences(now, clock_origin, Some(occurrence));
        }
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn insert(&mut self, job: Job, clock_origin: u64) {
        self.is_stale = true;
        let due = job.next_due(clock_origin).filter(|_| job.is_open());
        self.opening.extend(due.map(|due| (due, job.id)));
        self.next_sequence = self.next_sequence.max(job.sequence + 1);
        match job.ended_at {
            Some(at) => {
                self.ended.insert((at, job.id));
            }
            None => {
                self.open.insert((job.rule.priority, job.sequence), job.id);
            }
        }
        self.by_id.insert(job.id, job);
    }

    /// Takes note that a job has ended.
    pub(crate) fn mark_ended(&mut self, now: Millis, id: JobId) {
        self.is_stale = true;
        if let Some(job) = self.by_id.get_mut(&id) {
            job.ended_at = Some(now);
            self.open.remove(&(job.rule.priority, job.sequence));
            self.ended.insert((now, id));
        }
    }

    /// Removes and returns a job that ended before `limit`.
    pub(crate) fn remove_expired(&mut self, limit: Millis) -> Option<JobId> {
        let &(at, id) = self.ended.first()?;
        if at >= limit {
            return None;
        }
        self.ended.pop_first();
        self.by_id.remove(&id);
        Some(id)
    }

    /// Returns the worker on which a run is, if it is the current run of its task.
    pub(crate) fn worker_of_run(&self, run: RunId) -> Option<&Arc<str>> {
        match &self.get(run.task.job)?.task(run.task)?.phase {
            Phase::Assigned { worker, run: r, .. } if *r == run.run => Some(worker),
            _ => None,
        }
    }
}

//! Table of jobs.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;

use hyssop_core::Millis;

use crate::limits::{LATE_FACTOR, RANK_INTERVAL};
use crate::turns::{Phase, Step, Task, Turn};
use crate::{JobId, JobRecord, JobSpec, JobState, Progress, QueueRule, RunId, Tag, TaskId};

/// One job.
#[derive(Clone, Debug)]
pub(crate) struct Job {
    pub(crate) id: JobId,
    pub(crate) rule: Arc<QueueRule>,
    pub(crate) spec: Arc<JobSpec>,
    pub(crate) order: u64,
    /// When it was accepted.
    pub(crate) accepted: Millis,
    /// Occurrences that have opened and are not over.
    pub(crate) turns: BTreeMap<u32, Turn>,
    /// Number of the next occurrence to open.
    next_turn: u32,
    /// Whether its acceptance is stored.
    pub(crate) stored: bool,
    /// Whether it was accepted by an earlier owner, whose orders may still run.
    pub(crate) inherited: bool,
    pub(crate) begun: bool,
    pub(crate) cancelled: bool,
    pub(crate) failed: bool,
    /// Time at which it ended.
    pub(crate) ended: Option<Millis>,
    /// State that callers are shown once it is stored.
    pub(crate) final_state: Option<JobState>,
    /// Callers that wait until the acceptance is stored.
    pub(crate) submitters: Vec<Tag>,
    /// Callers that wait until the cancellation is stored.
    pub(crate) cancellers: Vec<Tag>,
}

impl Job {
    /// Creates a job as accepted.
    pub(crate) fn new(now: Millis, id: JobId, rule: QueueRule, spec: JobSpec, order: u64) -> Self {
        let mut job = Self {
            id,
            rule: Arc::new(rule),
            spec: Arc::new(spec),
            order,
            accepted: now,
            turns: BTreeMap::new(),
            next_turn: 0,
            stored: false,
            inherited: false,
            begun: false,
            cancelled: false,
            failed: false,
            ended: None,
            final_state: None,
            submitters: Vec::new(),
            cancellers: Vec::new(),
        };
        if job.spec.times.is_none() {
            job.open_turn(now);
        }
        job
    }

    /// Restores a job that an earlier owner stored.
    pub(crate) fn restore(
        (now, accepted): (Millis, Millis),
        id: JobId,
        record: JobRecord,
        progress: &Progress,
        day_start: u64,
    ) -> Self {
        let mut job = Self::new(accepted, id, record.rule, record.spec, record.order);
        job.stored = true;
        job.inherited = true;
        job.begun = progress.begun;
        job.cancelled = progress.cancelled;
        job.failed = progress.failed;
        if progress.opened > 0 {
            job.turns.clear();
            job.next_turn = progress.opened;
        }
        for turn in &progress.turns {
            let due = job.due_of(turn.number, day_start);
            let restored = Turn::restore(due, &job.spec, turn);
            job.turns.insert(turn.number, restored);
        }
        job.final_state = job.reached();
        job.ended = job.final_state.map(|_| now);
        job
    }

    /// Returns what is stored of the job.
    pub(crate) fn progress(&self) -> Progress {
        let open = self.turns.iter().filter(|_| self.reached().is_none());
        Progress {
            cancelled: self.cancelled,
            failed: self.failed,
            begun: self.begun,
            opened: self.next_turn,
            turns: open.map(|(&n, turn)| turn.progress(n)).collect(),
        }
    }

    /// Returns when an occurrence is due on the owner's clock, which started at `day_start`,
    /// in milliseconds since 1970.
    fn due_of(&self, turn: u32, day_start: u64) -> Millis {
        match &self.spec.times {
            Some(times) => Millis(times.due(turn).saturating_sub(day_start)),
            None => self.accepted,
        }
    }

    fn open_turn(&mut self, due: Millis) {
        self.turns
            .insert(self.next_turn, Turn::new(due, &self.spec));
        self.next_turn += 1;
    }

    /// Opens the occurrences that are due, and those up to `through` that an earlier owner opened.
    /// Returns whether there were any.
    pub(crate) fn open_turns(&mut self, now: Millis, day_start: u64, through: Option<u32>) -> bool {
        let before = self.next_turn;
        while self.next_turn < self.spec.turns() {
            let due = self.due_of(self.next_turn, day_start);
            if due > now && through.is_none_or(|through| self.next_turn > through) {
                break;
            }
            self.open_turn(due);
        }
        self.next_turn > before
    }

    /// Returns when the next occurrence opens.
    pub(crate) fn next_due(&self, day_start: u64) -> Option<Millis> {
        let is_left = self.next_turn < self.spec.turns();
        is_left.then(|| self.due_of(self.next_turn, day_start))
    }

    /// Returns the final state that the job has reached, stored or not.
    pub(crate) fn reached(&self) -> Option<JobState> {
        if self.cancelled {
            Some(JobState::Cancelled)
        } else if self.failed {
            Some(JobState::Failed)
        } else if self.next_turn >= self.spec.turns() && self.turns.values().all(Turn::is_over) {
            Some(JobState::Complete)
        } else {
            None
        }
    }

    /// Returns the state that callers are shown.
    pub(crate) fn shown(&self) -> JobState {
        match self.final_state {
            Some(state) => state,
            None if self.begun => JobState::Running,
            None => JobState::Queued,
        }
    }

    /// Returns whether tasks may still start.
    pub(crate) const fn is_open(&self) -> bool {
        !self.cancelled && !self.failed && self.ended.is_none()
    }

    /// Returns how an occurrence ranks among others of its priority: those that can still be in time
    /// come first, then those that are late but still worth something, each by their deadlines.
    /// Standing tasks are never late: their users wait for as long as they are not at work.
    pub(crate) fn rank(&self, now: Millis, turn: &Turn) -> (u8, Millis) {
        let allowed = self.allowed(turn);
        let left = turn.chain(&self.spec, false);
        let deadline = turn.due + allowed;
        let last = turn.due + Millis(allowed.0 * LATE_FACTOR);
        let stands = self.spec.steps.iter().any(|step| step.standing);
        if stands || now + left <= deadline {
            (0, deadline)
        } else if now + left <= last {
            (1, last)
        } else {
            (2, last)
        }
    }

    /// Returns the time within which an occurrence is in time.
    fn allowed(&self, turn: &Turn) -> Millis {
        let stretched = turn.chain(&self.spec, true).0 as f64 * self.rule.stretch;
        Millis(stretched as u64 + self.rule.target)
    }

    /// Returns how long an occurrence may still wait and end in time, if it can.
    pub(crate) fn slack(&self, now: Millis, turn: &Turn) -> Option<Millis> {
        let end = now + turn.chain(&self.spec, false);
        let deadline = turn.due + self.allowed(turn);
        (end <= deadline).then(|| deadline.since(end))
    }

    /// Returns whether an occurrence can still end before it is worth nothing to its caller.
    pub(crate) fn is_in_time(&self, now: Millis, turn: &Turn) -> bool {
        self.rank(now, turn).0 < 2
    }

    /// Returns whether none of its tasks is assigned to a worker.
    pub(crate) fn is_idle(&self) -> bool {
        let steps = self.turns.values().flat_map(|turn| &turn.steps);
        let mut tasks = steps.flat_map(|step| &step.tasks);
        tasks.all(|task| !task.is_assigned())
    }

    /// Returns the runs of its tasks and their workers.
    pub(crate) fn assigned(&self) -> Vec<(Arc<str>, RunId)> {
        let mut runs = Vec::new();
        for (&turn, entry) in &self.turns {
            for step in (0_u16..).take(entry.steps.len()) {
                runs.extend(self.assigned_in(turn, step));
            }
        }
        runs
    }

    /// Returns the runs of one step's tasks and their workers.
    pub(crate) fn assigned_in(&self, turn: u32, step: u16) -> Vec<(Arc<str>, RunId)> {
        let steps = self.turns.get(&turn).map(|turn| &turn.steps);
        let Some(entry) = steps.and_then(|steps| steps.get(usize::from(step))) else {
            return Vec::new();
        };
        let job = self.id;
        let tasks = (0_u16..).zip(&entry.tasks);
        let run_of = |(index, task): (u16, &Task)| match &task.phase {
            Phase::Assigned { worker, run } => {
                let task = TaskId {
                    job,
                    turn,
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
        self.turns.get(&id.turn)?.steps.get(usize::from(id.step))
    }

    /// Returns the step of a task.
    pub(crate) fn step_mut(&mut self, id: TaskId) -> Option<&mut Step> {
        let turn = self.turns.get_mut(&id.turn)?;
        turn.steps.get_mut(usize::from(id.step))
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
pub(crate) struct Jobs {
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
    next_order: u64,
}

impl Jobs {
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
    pub(crate) const fn next_order(&self) -> u64 {
        self.next_order
    }

    /// Returns the open occurrences in the order in which they get room.
    pub(crate) fn ranked(&mut self, now: Millis) -> Vec<(JobId, u32)> {
        if self.is_stale || now >= self.ranked_at + RANK_INTERVAL {
            let jobs = self.open.values().filter_map(|id| self.by_id.get(id));
            let mut ranks: Vec<_> = jobs
                .flat_map(|job| {
                    let priority = job.rule.priority;
                    let turns = job.turns.iter();
                    turns.map(move |(&n, turn)| {
                        (priority, job.rank(now, turn), job.order, job.id, n)
                    })
                })
                .collect();
            ranks.sort_unstable();
            self.ranking = ranks.into_iter().map(|(.., id, turn)| (id, turn)).collect();
            self.ranked_at = now;
            self.is_stale = false;
        }
        self.ranking.clone()
    }

    /// Opens the occurrences that are due. `day_start` is the start of the owner's clock in
    /// milliseconds since 1970. Returns their jobs.
    pub(crate) fn open_due(&mut self, now: Millis, day_start: u64) -> Vec<JobId> {
        let mut opened = Vec::new();
        while let Some(&(at, id)) = self.opening.first() {
            if at > now {
                break;
            }
            self.opening.pop_first();
            let Some(job) = self.by_id.get_mut(&id).filter(|job| job.is_open()) else {
                continue;
            };
            if job.open_turns(now, day_start, None) {
                opened.push(id);
                self.is_stale = true;
            }
            self.opening
                .extend(job.next_due(day_start).map(|due| (due, id)));
        }
        opened
    }

    /// Sets anew when occurrences open, after the owner's time of day has changed.
    pub(crate) fn reschedule(&mut self, day_start: u64) {
        let jobs = self.open.values().filter_map(|id| self.by_id.get(id));
        let dues = jobs.filter_map(|job| Some((job.next_due(day_start)?, job.id)));
        self.opening = dues.collect();
    }

    /// Opens the occurrences of a job up to one that an earlier owner opened.
    pub(crate) fn open_through(&mut self, now: Millis, id: JobId, turn: u32, day_start: u64) {
        if let Some(job) = self.by_id.get_mut(&id)
            && job.is_open()
        {
            self.is_stale |= job.open_turns(now, day_start, Some(turn));
        }
    }

    pub(crate) fn open_count(&self) -> usize {
        self.open.len()
    }

    pub(crate) fn insert(&mut self, job: Job, day_start: u64) {
        self.is_stale = true;
        let due = job.next_due(day_start).filter(|_| job.is_open());
        self.opening.extend(due.map(|due| (due, job.id)));
        self.next_order = self.next_order.max(job.order + 1);
        match job.ended {
            Some(at) => {
                self.ended.insert((at, job.id));
            }
            None => {
                self.open.insert((job.rule.priority, job.order), job.id);
            }
        }
        self.by_id.insert(job.id, job);
    }

    /// Takes note that a job has ended.
    pub(crate) fn end(&mut self, now: Millis, id: JobId) {
        self.is_stale = true;
        if let Some(job) = self.by_id.get_mut(&id) {
            job.ended = Some(now);
            self.open.remove(&(job.rule.priority, job.order));
            self.ended.insert((now, id));
        }
    }

    /// Removes and returns a job that ended before `limit`.
    pub(crate) fn expire(&mut self, limit: Millis) -> Option<JobId> {
        let &(at, id) = self.ended.first()?;
        if at >= limit {
            return None;
        }
        self.ended.pop_first();
        self.by_id.remove(&id);
        Some(id)
    }

    /// Returns the worker on which a run is, if it is the current run of its task.
    pub(crate) fn place_of(&self, run: RunId) -> Option<&Arc<str>> {
        match &self.get(run.task.job)?.task(run.task)?.phase {
            Phase::Assigned { worker, run: r, .. } if *r == run.run => Some(worker),
            _ => None,
        }
    }
}

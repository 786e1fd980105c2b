//! State of workers: sessions, leases, reserved resources, and statistics of their runs.

use std::collections::BTreeMap;
use std::sync::Arc;

use hyssop_core::Millis;

use crate::accounts::LossCause;
use crate::crashes::Probation;
use crate::hidden_ends::EndLists;
use crate::interference::Loads;
use crate::limits::{
    CRITICAL_UNUSED_PERCENT, MAX_REFUSAL_BACKOFF, SPEED_HALF_LIFE_MS, SPEED_SAMPLE_WEIGHT,
    TASK_RETRY_DELAY,
};
use crate::quarantines::Outcomes;
use crate::records::WorkerRecord;
use crate::{Resources, RunId, StepId, StepSpec, WorkerInfo, WorkerState};

/// Returns a share of a time, in percent.
pub(crate) const fn percent_of(time: Millis, percent: u64) -> Millis {
    Millis(time.0.saturating_mul(percent) / 100)
}

/// Run that a worker was ordered to start or has reported.
#[derive(Clone, Debug)]
pub(crate) struct WorkerRun {
    /// Resources that the run reserves.
    pub(crate) reserved: Resources,
    /// Image that the run executes, empty if the step names none.
    pub(crate) image: Arc<str>,
    /// Processors that a best-effort run requests, in thousandths of a core; 0 for others.
    pub(crate) best_effort_cpu: u64,
    /// Whether the run uses idle processors without reserving them.
    pub(crate) is_best_effort: bool,
    /// Whether a stop loses only the work since the last checkpoint.
    pub(crate) has_checkpoints: bool,
    /// Latency target. Present for latency-critical runs.
    pub(crate) latency_target: Option<Millis>,
    /// Last reported tail latency in milliseconds of a latency-critical run; for others, the
    /// processors in use in thousandths of a core.
    pub(crate) measurement: u64,
    /// Whether a report has shown the run as active, after its startup.
    pub(crate) is_active: bool,
    /// Last reported progress in percent.
    pub(crate) percent_done: u32,
    /// When the reported progress last rose, or when the start was ordered.
    pub(crate) progressed_at: Millis,
    /// Estimated running time of the task.
    pub(crate) estimate: Millis,
    /// Whether the run lasts until its job is cancelled.
    pub(crate) is_service: bool,
    /// Last ordered speed in percent.
    pub(crate) speed_percent: u32,
    /// Whether the run is throttled rather than stopped if it interferes with latency-critical
    /// ones.
    pub(crate) prefers_throttling: bool,
    /// Whether any report has listed the run.
    pub(crate) is_listed: bool,
    /// Whether the run was ordered to stop.
    pub(crate) is_stopping: bool,
    /// Why the run was ordered to stop.
    pub(crate) stop_cause: Option<LossCause>,
    /// When the start was ordered, or the run was found on its worker.
    pub(crate) started_at: Millis,
    /// Whether a report has listed the run some time after its start was ordered.
    pub(crate) is_settled: bool,
    /// Probation of the run. Present while it is apart from others.
    pub(crate) probation: Option<Probation>,
    /// Whether no other task may start on the worker during the probation, however long it has waited.
    pub(crate) is_exclusive: bool,
}

impl WorkerRun {
    /// Creates the state of a run that is about to be ordered or was found on its worker.
    pub(crate) fn new(now: Millis, step: &StepSpec) -> Self {
        Self {
            percent_done: 0,
            progressed_at: now,
            estimate: step.estimate,
            is_service: step.is_service,
            reserved: step.reserved(),
            image: step.image.clone().unwrap_or_else(|| Arc::from("")),
            best_effort_cpu: if step.is_best_effort {
                step.resources.cpu
            } else {
                0
            },
            is_best_effort: step.is_best_effort,
            has_checkpoints: step.has_checkpoints,
            latency_target: step.latency_target.filter(|_| step.is_latency_critical()),
            measurement: 0,
            is_active: false,
            speed_percent: 100,
            prefers_throttling: !step.has_checkpoints,
            is_listed: false,
            is_stopping: false,
            stop_cause: None,
            started_at: now,
            is_settled: false,
            probation: None,
            is_exclusive: false,
        }
    }

    /// Returns the processors that a best-effort run uses, or requests if no report has listed it
    /// yet.
    pub(crate) const fn cpu_in_use(&self) -> u64 {
        if self.is_active {
            self.measurement
        } else {
            self.best_effort_cpu
        }
    }

    /// Returns the reported tail latency of a latency-critical run as a share of its target, or
    /// none before it is active.
    pub(crate) fn latency_ratio(&self) -> Option<f32> {
        let target = self.latency_target?.0.max(1) as f32;
        self.is_active.then_some(self.measurement as f32 / target)
    }
}

/// State of one worker.
#[derive(Clone, Debug)]
pub(crate) struct Worker {
    pub(crate) info: WorkerInfo,
    /// Session of the worker's agent, or none while the agent is not connected.
    pub(crate) session: Option<u64>,
    /// Whether a complete report of the current session was received.
    pub(crate) has_reported: bool,
    /// Whether a complete report of any session was received, so that the worker has answered at its
    /// address.
    pub(crate) has_answered: bool,
    /// Whether the worker's record was written and not dropped since.
    pub(crate) has_record: bool,
    /// Whether an earlier owner's record of the worker cannot be read. The first session identifies
    /// the worker.
    pub(crate) is_unidentified: bool,
    /// Whether the worker's record is stored. No task starts there before that.
    pub(crate) is_stored: bool,
    /// End of the lease that owners have granted. No task starts on the worker after that.
    pub(crate) lease_end: Millis,
    /// Time until which the worker may hold a lease that no call of its session has set.
    pub(crate) stale_until: Millis,
    /// Whether the worker's record tells later owners of such a lease.
    pub(crate) stale_record: bool,
    /// Current runs, including those being stopped.
    pub(crate) runs: BTreeMap<RunId, WorkerRun>,
    /// Resources reserved by all runs.
    pub(crate) reserved: Resources,
    /// Resources kept for a waiting gang while the other tasks of this tick are placed.
    pub(crate) held: Resources,
    /// When the gang is expected to start. Tasks that end before that may use what is kept for it,
    /// and so may service tasks.
    pub(crate) held_until: Millis,
    /// Processors requested by best-effort runs, in thousandths of a core.
    pub(crate) best_effort_cpu: u64,
    /// Cores that best-effort runs use, by image, normalized to a worker of 16 cores.
    pub(crate) best_effort_loads: Loads,
    /// Number of latency-critical runs.
    pub(crate) critical_count: u32,
    /// Sequence number of the last end of a run that was applied.
    pub(crate) last_end: u64,
    /// Whether the worker lists all ends of its runs.
    pub(crate) end_lists: EndLists,
    /// Steps with tasks that the worker may have done without listing the end.
    pub(crate) unsettled_steps: Vec<StepId>,
    /// Number of canaries that have ended here without a listed end.
    pub(crate) hidden_ends: usize,
    /// Sequence number of the last end that was acknowledged to the agent.
    pub(crate) acknowledged_end: u64,
    /// Processors reserved by latency-critical runs, in thousandths of a core.
    pub(crate) critical_cpu: u64,
    /// Remainder of `START_BUDGET_PER_REPORT` until the next report.
    pub(crate) start_budget: u32,
    /// When best-effort runs were last throttled or stopped here.
    pub(crate) throttled_at: Millis,
    /// When a best-effort run last ended or was slowed.
    pub(crate) load_dropped_at: Millis,
    /// When a best-effort run last started beside latency-critical ones.
    pub(crate) load_added_at: Millis,
    /// Highest tail latency in the last report, as a share of the target.
    pub(crate) last_max_ratio: f32,
    /// Whether the machine is about to go down, so that no task starts there.
    pub(crate) is_vacating: bool,
    /// When the worker last accepted tasks, if it has.
    pub(crate) accepted_at: Option<Millis>,
    /// Time before which no task starts there.
    pub(crate) backoff_until: Millis,
    /// End of the worker's quarantine. No task starts there before.
    pub(crate) quarantined_until: Millis,
    /// Time before which only tasks that have waited long start there, because runs made no progress
    /// or starts were refused.
    pub(crate) suspect_until: Millis,
    /// Time before which only a suspect starts there, see [`Crashes`](crate::crashes::Crashes), and
    /// tasks that have waited long.
    pub(crate) apart_until: Millis,
    /// Number of further suspects that may start there in this tick, together with another.
    pub(crate) cohort_room: usize,
    /// Whether the suspects there are of a single crash, so that others may join them.
    pub(crate) is_cohort: bool,
    /// When a report last listed the worker's runs.
    pub(crate) listed_at: Millis,
    /// Number of pauses after refused starts since a run has started there.
    refusal_count: u32,
    /// Speed of the worker's tasks as a share of the expected speed, and when it was updated.
    speed: (f32, Millis),
    /// Outcomes of the worker's recent runs.
    pub(crate) outcomes: Outcomes,
}

/// Identifier and incarnation of a worker.
pub(crate) type WorkerIncarnation = (Arc<str>, u64);

impl Worker {
    /// Creates the state of a worker without a session or runs.
    pub(crate) fn new(info: WorkerInfo) -> Self {
        Self {
            info,
            session: None,
            has_reported: false,
            has_answered: false,
            has_record: false,
            is_unidentified: false,
            is_stored: false,
            lease_end: Millis(0),
            stale_until: Millis(0),
            stale_record: false,
            runs: BTreeMap::new(),
            reserved: Resources::default(),
            held: Resources::default(),
            held_until: Millis(0),
            best_effort_cpu: 0,
            best_effort_loads: Loads::new(),
            critical_count: 0,
            last_end: 0,
            end_lists: EndLists::default(),
            unsettled_steps: Vec::new(),
            hidden_ends: 0,
            acknowledged_end: 0,
            critical_cpu: 0,
            start_budget: 0,
            throttled_at: Millis(0),
            load_dropped_at: Millis(0),
            load_added_at: Millis(0),
            last_max_ratio: 0.0,
            is_vacating: false,
            accepted_at: None,
            backoff_until: Millis(0),
            quarantined_until: Millis(0),
            suspect_until: Millis(0),
            apart_until: Millis(0),
            cohort_room: 0,
            is_cohort: false,
            listed_at: Millis(0),
            refusal_count: 0,
            speed: (1.0, Millis(0)),
            outcomes: Outcomes::default(),
        }
    }

    /// Takes over the runs of an earlier incarnation with the same identifier, until the complete report
    /// tells which of them exist: starts that were meant for the earlier one may have reached this one.
    pub(crate) fn inherit_runs(&mut self, earlier: &mut Self) {
        self.session = earlier.session;
        self.lease_end = earlier.lease_end;
        self.stale_until = earlier.stale_until;
        self.accepted_at = earlier.accepted_at;
        for (run, state) in earlier.remove_all_runs() {
            self.add_run(run, state);
        }
    }

    /// Returns the record of the worker for later owners.
    pub(crate) fn record(&self) -> WorkerRecord {
        WorkerRecord {
            incarnation: self.info.incarnation,
            address: Arc::clone(&self.info.address),
            stale_lease: self.stale_record,
            may_hide_ends: self.end_lists.may_lack_ends(),
        }
    }

    /// Returns when the worker certainly runs nothing any more, unless its lease is renewed.
    pub(crate) fn lapses_at(&self) -> Millis {
        self.lease_end.max(self.stale_until)
    }

    /// Returns whether the worker is not about to leave, as far as known.
    pub(crate) fn is_staying(&self) -> bool {
        self.info.state == WorkerState::Ready && !self.is_vacating
    }

    /// Returns whether the worker is connected, holds a lease and is not about to leave.
    pub(crate) fn is_ready(&self, now: Millis) -> bool {
        self.session.is_some()
            && self.has_reported
            && self.is_stored
            && self.is_staying()
            && now < self.lease_end
    }

    /// Returns whether the worker is ready and does not hold back after refused or unanswered starts.
    pub(crate) fn accepts_tasks(&self, now: Millis) -> bool {
        self.is_ready(now) && now >= self.backoff_until
    }

    /// Returns the identifier and the incarnation.
    pub(crate) fn incarnation(&self) -> WorkerIncarnation {
        (Arc::clone(&self.info.id), self.info.incarnation)
    }

    /// Returns whether all runs fit. They do not after the capacity has shrunk below what they
    /// reserve, and while there is a run of unknown size.
    pub(crate) const fn is_within_capacity(&self) -> bool {
        self.info.capacity.covers(&self.reserved)
    }

    /// Returns the resources that are not reserved: none while the runs exceed any of them.
    pub(crate) fn free(&self) -> Resources {
        match self.is_within_capacity() {
            true => self.info.capacity.minus(&self.reserved),
            false => Resources::default(),
        }
    }

    /// Returns the resources that are neither reserved nor kept for a waiting gang that the task
    /// would delay. Service tasks may delay it, because a gang may wait for long, and their users
    /// wait whenever they are not running.
    pub(crate) fn available(&self, now: Millis, spec: &StepSpec) -> Resources {
        let ends_before_gang = now + spec.estimate <= self.held_until;
        match spec.is_service || ends_before_gang {
            true => self.free(),
            false => self.free().minus(&self.held),
        }
    }

    /// Returns the resources that are not reserved by service runs.
    pub(crate) fn free_beside_services(&self) -> Resources {
        let runs = self.runs.values().filter(|run| run.is_service);
        runs.fold(self.info.capacity, |free, run| free.minus(&run.reserved))
    }

    /// Returns when all runs but those of service tasks are expected to have ended, counted from
    /// their last progress. The time does not move while a run makes none.
    pub(crate) fn expected_end(&self) -> Millis {
        let runs = self.runs.values().filter(|run| !run.is_service);
        let ends = runs.map(|run| {
            let percent_left = 100_u64.saturating_sub(u64::from(run.percent_done));
            run.progressed_at + percent_of(run.estimate, percent_left)
        });
        ends.max().unwrap_or_default()
    }

    /// Returns the processors available to further best-effort runs: those that are not reserved,
    /// plus the unused share of those reserved by latency-critical runs, minus those that
    /// best-effort runs have requested.
    pub(crate) fn unused_cpu(&self) -> u64 {
        let unused = self.critical_cpu.saturating_mul(CRITICAL_UNUSED_PERCENT) / 100;
        let idle = self.free().cpu.saturating_add(unused);
        idle.saturating_sub(self.best_effort_cpu)
    }

    /// Returns the latency-critical runs.
    pub(crate) fn critical_runs(&self) -> impl Iterator<Item = (&RunId, &WorkerRun)> {
        self.runs
            .iter()
            .filter(|(_, run)| run.latency_target.is_some())
    }

    /// Updates the cores that best-effort runs use, after runs were added or removed or have
    /// reported.
    pub(crate) fn update_loads(&mut self) {
        let mut loads = Loads::new();
        for run in self.runs.values().filter(|run| run.is_best_effort) {
            let load = loads.entry(Arc::clone(&run.image)).or_insert(0.0);
            *load += self.normalized_cores(run.cpu_in_use());
        }
        self.best_effort_loads = loads;
    }

    /// Converts thousandths of a core to cores, normalized to a worker of 16 cores.
    pub(crate) fn normalized_cores(&self, cpu: u64) -> f32 {
        cpu as f32 * 16.0 / self.info.capacity.cpu.max(1) as f32
    }

    /// Adds a run, replacing its earlier state if there is one.
    pub(crate) fn add_run(&mut self, run: RunId, state: WorkerRun) {
        self.remove_run(run);
        self.reserved = self.reserved.plus(&state.reserved);
        self.best_effort_cpu = self.best_effort_cpu.saturating_add(state.best_effort_cpu);
        if state.latency_target.is_some() {
            self.critical_count += 1;
            self.critical_cpu = self.critical_cpu.saturating_add(state.reserved.cpu);
        }
        let is_best_effort = state.is_best_effort;
        self.runs.insert(run, state);
        if is_best_effort {
            self.update_loads();
        }
    }

    /// Removes and returns a run.
    pub(crate) fn remove_run(&mut self, run: RunId) -> Option<WorkerRun> {
        let state = self.runs.remove(&run)?;
        self.sum_runs();
        if state.is_best_effort {
            self.update_loads();
        }
        if state.probation.is_some() && !self.has_probation() {
            self.apart_until = Millis(0);
        }
        if state.latency_target.is_some() {
            self.critical_count -= 1;
        }
        Some(state)
    }

    /// Adds up what the runs use. After a sum has reached its largest value, subtracting one run would
    /// lose others.
    fn sum_runs(&mut self) {
        self.reserved = Resources::default();
        self.best_effort_cpu = 0;
        self.critical_cpu = 0;
        for run in self.runs.values() {
            self.reserved = self.reserved.plus(&run.reserved);
            self.best_effort_cpu = self.best_effort_cpu.saturating_add(run.best_effort_cpu);
            if run.latency_target.is_some() {
                self.critical_cpu = self.critical_cpu.saturating_add(run.reserved.cpu);
            }
        }
    }

    /// Removes and returns all runs.
    pub(crate) fn remove_all_runs(&mut self) -> Vec<(RunId, WorkerRun)> {
        let runs: Vec<RunId> = self.runs.keys().copied().collect();
        let removed = runs.into_iter();
        removed
            .filter_map(|run| Some((run, self.remove_run(run)?)))
            .collect()
    }

    /// Returns the number of runs of a step on the worker.
    pub(crate) fn step_run_count(&self, step: StepId) -> u32 {
        let runs = self.runs.keys();
        let step_runs = runs.filter(|run| run.task.of_step() == step);
        u32::try_from(step_runs.count()).unwrap_or(u32::MAX)
    }

    /// Returns the speed of the worker's tasks as a share of the expected speed.
    pub(crate) fn relative_speed(&self, now: Millis) -> f32 {
        let (speed, updated_at) = self.speed;
        let remaining_share = 0.5_f32.powf(now.since(updated_at).0 as f32 / SPEED_HALF_LIFE_MS);
        1.0 + (speed - 1.0) * remaining_share
    }

    /// Adds the speed of one run to the moving average.
    pub(crate) fn update_speed(&mut self, now: Millis, sample: f32) {
        let previous_speed = self.relative_speed(now);
        self.speed = (
            previous_speed + (sample.min(1.5) - previous_speed) * SPEED_SAMPLE_WEIGHT,
            now,
        );
    }

    /// Lets the worker hold back after a refused start: each time for twice as long while it refuses
    /// everything, because its unused capacity attracts all tasks that wait. Several refusals within
    /// one pause count once.
    pub(crate) fn record_refusal(&mut self, now: Millis) {
        if now >= self.backoff_until {
            self.refusal_count += 1;
        }
        let doublings = self.refusal_count.saturating_sub(1).min(16);
        let pause = Millis(TASK_RETRY_DELAY.0 << doublings).min(MAX_REFUSAL_BACKOFF);
        self.backoff_until = self.backoff_until.max(now + TASK_RETRY_DELAY);
        self.suspect_until = self.suspect_until.max(now + pause);
    }

    /// Records that a run has started, so that the worker does not refuse everything.
    pub(crate) const fn record_start(&mut self) {
        self.refusal_count = 0;
    }
}

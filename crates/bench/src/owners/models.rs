//! Model of workers and callers around one owner.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use hyssop_core::Millis;
use hyssop_jobs::{
    CallerRequest, CallerResponse, EndKind, Input, JobId, JobSpec, Order, Output, Owner,
    OwnerOptions, Report, RunEnd, Start,
};

use super::checks::Checker;
use super::loads::{Kind, Load, policy, rule};
use super::workers::{ModelRun, ModelWorker};
use crate::clocks::thread_cpu_time;

/// Interval at which each worker reports all of its runs, in milliseconds.
const REPORT_INTERVAL_MS: u64 = 400;
/// Interval at which the progress of jobs is checked, in milliseconds. Far below the 3 s for which a
/// job may stand still.
const CHECK_INTERVAL_MS: u64 = 50;
/// Number of the owner's lines on stalled jobs that are kept for the description of a stand-still.
const STALL_LINES: usize = 1_000;

/// Job as its caller and the workers know it.
#[derive(Debug)]
pub(super) struct ModelJob {
    pub(super) spec: JobSpec,
    pub(super) is_accepted: bool,
    /// Indices of the tasks that are complete, by step.
    done: Vec<HashSet<u16>>,
}

impl ModelJob {
    fn is_step_complete(&self, step: u16) -> bool {
        let step = usize::from(step);
        self.done[step].len() >= self.spec.steps[step].count as usize
    }

    /// Returns whether a step has tasks that are not complete, and all steps before it are complete.
    pub(super) fn is_ready(&self, step: u16) -> bool {
        let mut before = self.spec.steps[usize::from(step)].after.iter();
        !self.is_step_complete(step) && before.all(|&before| self.is_step_complete(before))
    }

    fn is_complete(&self) -> bool {
        (0_u16..)
            .take(self.spec.steps.len())
            .all(|step| self.is_step_complete(step))
    }
}

/// Owner with its workers and callers.
pub(super) struct Model {
    pub(super) now: u64,
    pub(super) workers: Vec<ModelWorker>,
    /// Jobs with tasks that are not complete.
    pub(super) jobs: BTreeMap<JobId, ModelJob>,
    owner: Owner,
    load: Load,
    inputs: Vec<Input>,
    /// Jobs whose submission has no response yet, by request.
    submissions: HashMap<u64, JobId>,
    next_job: u64,
    next_request: u64,
    /// Jobs that are due but not submitted yet, as fractions.
    due: (f64, f64),
    starts: u64,
    /// Newest lines of the owner on jobs that have no running task.
    stall_lines: VecDeque<String>,
}

impl Model {
    pub(super) fn new(load: Load) -> Self {
        let options = OwnerOptions {
            epoch: 1,
            acquired_at: Millis(0),
            clock_origin: 1_000_000,
            max_lease: Millis(10_000),
            max_record_bytes: 262_143,
        };
        let (owner, _) = Owner::new(Millis(0), options, &Vec::new());
        let mut model = Self {
            now: 0,
            workers: (0..load.workers).map(ModelWorker::new).collect(),
            jobs: BTreeMap::new(),
            owner,
            load,
            inputs: vec![Input::Policy(Arc::new(policy()))],
            submissions: HashMap::new(),
            next_job: 0,
            next_request: 0,
            due: (0.0, 0.0),
            starts: 0,
            stall_lines: VecDeque::new(),
        };
        for (session, worker) in (1..).zip(&model.workers) {
            let worker = worker.info.clone();
            model.inputs.push(Input::Attach { session, worker });
            let report = Report {
                running: Some(Vec::new()),
                is_complete: true,
                ..Report::default()
            };
            model.inputs.push(Input::Report { session, report });
        }
        for _ in 0..load.service_jobs() {
            model.submit(Kind::Service);
        }
        model
    }

    /// Returns the number of starts that the owner has ordered.
    pub(super) const fn start_count(&self) -> u64 {
        self.starts
    }

    /// Lets no further best-effort jobs arrive.
    pub(super) const fn stop_best_effort(&mut self) {
        self.load.best_effort_rate = 0.0;
    }

    /// Returns the newest line of the owner on a job that has no running task.
    pub(super) fn stall_line(&self, job: JobId) -> Option<&str> {
        let start = format!("job {job} ");
        let mut lines = self.stall_lines.iter().rev();
        let line = lines.find(|line| line.starts_with(&start));
        line.map(String::as_str)
    }

    /// Advances the model, checks the progress of jobs and returns the processor time that the
    /// owner took.
    pub(super) fn run(&mut self, millis: u64, tick: u64, checker: &mut Checker) -> Duration {
        let mut cpu = Duration::ZERO;
        for _ in 0..millis / tick {
            self.now += tick;
            self.submit_due_jobs(tick);
            self.report_runs(tick);
            let now = Millis(self.now);
            self.inputs.push(Input::OwnershipRenewed(now));
            let inputs = std::mem::take(&mut self.inputs);
            let started_at = thread_cpu_time();
            let outputs = self.owner.tick(now, inputs);
            for session in 1..=self.workers.len() as u64 {
                if self.is_report_due(session - 1, tick) {
                    self.owner.renew_lease(now, session);
                }
            }
            cpu += thread_cpu_time() - started_at;
            for output in outputs {
                self.apply(output);
            }
            if self.now.is_multiple_of(CHECK_INTERVAL_MS) {
                checker.check(self);
            }
        }
        cpu
    }

    fn submit_due_jobs(&mut self, tick: u64) {
        let seconds = tick as f64 / 1e3;
        self.due.0 += self.load.short_rate * seconds;
        self.due.1 += self.load.best_effort_rate * seconds;
        while self.due.0 >= 1.0 {
            self.due.0 -= 1.0;
            self.submit(Kind::Short);
        }
        while self.due.1 >= 1.0 {
            self.due.1 -= 1.0;
            self.submit(Kind::BestEffort);
        }
    }

    fn submit(&mut self, kind: Kind) {
        self.next_job += 1;
        self.next_request += 1;
        let (id, spec) = (JobId(self.next_job), self.load.spec(kind, self.next_job));
        let request = CallerRequest::Submit {
            job: id,
            rule: rule(kind),
            spec: spec.clone(),
        };
        let job = ModelJob {
            done: vec![HashSet::new(); spec.steps.len()],
            is_accepted: false,
            spec,
        };
        self.jobs.insert(id, job);
        self.submissions.insert(self.next_request, id);
        self.inputs.push(Input::Request(self.next_request, request));
    }

    /// Returns whether a worker reports all of its runs in this tick. Workers take turns.
    fn is_report_due(&self, worker: u64, tick: u64) -> bool {
        let ticks = REPORT_INTERVAL_MS / tick;
        (self.now / tick) % ticks == worker % ticks
    }

    fn report_runs(&mut self, tick: u64) {
        for number in 0..self.workers.len() {
            let includes_runs = self.is_report_due(number as u64, tick);
            let worker = &mut self.workers[number];
            worker.work(tick, self.load.is_backlog);
            let ended = worker.take_ends();
            if ended.is_empty() && !includes_runs {
                continue;
            }
            let report = Report {
                running: includes_runs.then(|| worker.statuses()),
                ended,
                ..Report::default()
            };
            for end in &report.ended {
                self.complete_task(end);
            }
            let session = number as u64 + 1;
            self.inputs.push(Input::Report { session, report });
        }
    }

    fn complete_task(&mut self, end: &RunEnd) {
        let task = end.run.task;
        if end.kind != EndKind::Done {
            return;
        }
        let Some(job) = self.jobs.get_mut(&task.job) else {
            return;
        };
        job.done[usize::from(task.step)].insert(task.index);
        if job.is_complete() {
            self.jobs.remove(&task.job);
        }
    }

    fn apply(&mut self, output: Output) {
        match output {
            Output::Write { number, .. } => self.inputs.push(Input::WriteCompleted(number)),
            Output::Orders { session, orders } => {
                for order in orders {
                    self.apply_order(session as usize - 1, order);
                }
            }
            Output::Response(request, response) => self.respond(request, &response),
            Output::Log(line) if line.contains("has no running task") => {
                self.stall_lines.push_back(line);
                if self.stall_lines.len() > STALL_LINES {
                    self.stall_lines.pop_front();
                }
            }
            _ => {}
        }
    }

    fn respond(&mut self, request: u64, response: &CallerResponse) {
        let Some(id) = self.submissions.remove(&request) else {
            return;
        };
        match response {
            CallerResponse::Accepted => {
                if let Some(job) = self.jobs.get_mut(&id) {
                    job.is_accepted = true;
                }
            }
            _ => {
                self.jobs.remove(&id);
            }
        }
    }

    fn apply_order(&mut self, worker: usize, order: Order) {
        let runs = &mut self.workers[worker].runs;
        match order {
            Order::Start(start) | Order::Canary(start) => {
                self.starts += 1;
                let task = start.run.task;
                let job = self.jobs.get(&task.job);
                let job = job.expect("only tasks that are not complete start");
                let spec = &job.spec.steps[usize::from(task.step)];
                runs.insert(start.run, ModelRun::new(start.run, kind(&start), spec));
            }
            Order::Stop(run) => {
                if let Some(run) = runs.get_mut(&run) {
                    run.is_stopped = true;
                }
            }
            Order::Pace(run, percent) => {
                if let Some(run) = runs.get_mut(&run) {
                    run.speed_percent = percent;
                }
            }
        }
    }
}

fn kind(start: &Start) -> Kind {
    let kinds = [Kind::Service, Kind::Short, Kind::BestEffort];
    let kind = kinds
        .into_iter()
        .find(|kind| kind.name() == &*start.payload);
    kind.expect("the payload names the kind")
}
